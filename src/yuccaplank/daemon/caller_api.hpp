// HTTP interface for callers, docs/API.md.
#pragma once

#include "yuccaplank/node/entry_node.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <functional>
#include <unordered_map>

namespace yuccaplank::daemon {

class caller_api {
public:
  using reply_function = std::function<void(wire::request_token, wire::http_reply)>;

  /// Response time of a submission in seconds.
  using observe_function = std::function<void(schema::outcome_kind, double)>;

  caller_api(node::entry_node &Node, const runtime::clock &Clock, reply_function Reply,
             observe_function Observe)
      : Node(Node), Clock(Clock), Reply(std::move(Reply)), Observe(std::move(Observe)) {}
  void onRequest(const wire::http_request &Request);
  void onClosed(wire::request_token Token);

private:
  void health(const wire::http_request &Request);
  void preferred(const wire::http_request &Request);
  void issueIds(const wire::http_request &Request);
  void jobs(const wire::http_request &Request);
  void submit(const wire::http_request &Request, const std::string &Id);
  void query(const wire::http_request &Request, const std::string &Id);
  void cancel(const wire::http_request &Request, const std::string &Id);
  void refuse(const wire::http_request &Request, runtime::errc Reason, const std::string &Subject = {});
  void remember(wire::request_token Token, std::uint64_t Handle);

  node::entry_node &Node;
  const runtime::clock &Clock;
  reply_function Reply;
  observe_function Observe;
  std::unordered_map<wire::request_token, std::uint64_t> Handles;
};

} // namespace yuccaplank::daemon
