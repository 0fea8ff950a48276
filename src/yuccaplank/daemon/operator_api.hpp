// HTTP interface for operators, docs/API.md.
#pragma once

#include "yuccaplank/node/entry_node.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <functional>
#include <set>
#include <string>

namespace yuccaplank::daemon {

/// What the test hook blocks.
struct blocked_links {
  std::set<std::string> Vms;
  std::set<std::string> Domains;
  bool Platform = false;
};

struct operator_api_options {
  std::string Token;
  bool TestHooks = false;
};

class operator_api {
public:
  using reply_function = std::function<void(wire::request_token, wire::http_reply)>;

  operator_api(node::entry_node &Node, operator_api_options Options, reply_function Reply,
               std::function<std::string()> Metrics, std::function<void(const blocked_links &)> SetLinks);
  void onRequest(const wire::http_request &Request);

private:
  [[nodiscard]] bool authorized(const wire::http_request &Request) const;
  void services(const wire::http_request &Request);
  void service(const wire::http_request &Request);
  void apply(const wire::http_request &Request, const std::string &Name);
  void history(const wire::http_request &Request, const std::string &Name);
  void rollout(const wire::http_request &Request, const std::string &Name);
  void vms(const wire::http_request &Request);
  void servers(const wire::http_request &Request);
  void burn(const wire::http_request &Request);
  void metrics(const wire::http_request &Request);
  void links(const wire::http_request &Request);
  void fail(const wire::http_request &Request, int Status, runtime::errc Reason);
  void send(wire::request_token Token, int Status, const std::string &Body);

  node::entry_node &Node;
  operator_api_options Options;
  reply_function Reply;
  std::function<std::string()> Metrics;
  std::function<void(const blocked_links &)> SetLinks;
};

} // namespace yuccaplank::daemon
