// HTTP client for tests. A function supplies its replies, and it runs on any executor.
#pragma once

#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/wire/http_client.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace yuccaplank::testing {

/// Reply of a scripted server, and the delay until it arrives.
struct scripted_reply {
  wire::http_call_result Result;
  runtime::duration Delay = std::chrono::milliseconds(1);
};

scripted_reply replyWith(int Status, std::string Body);
/// Reply to a call whose connection closes after the request has been written.
scripted_reply lostConnection();
/// Reply to a call for which no connection can be established.
scripted_reply refusedConnection();
/// Reply to a call that receives nothing until its timeout.
scripted_reply noReply();

class scripted_http_client final : public wire::http_client {
public:
  using script = std::function<scripted_reply(const wire::http_call &Call)>;

  scripted_http_client(runtime::executor &Executor, script Script)
      : Executor(Executor), Script(std::move(Script)) {}

  wire::call_id call(wire::http_call Call, std::function<void(wire::http_call_result)> OnDone) override;
  void abandon(wire::call_id Call) override { Abandoned.insert(Call); }
  [[nodiscard]] std::size_t connections(const std::string & /*Address*/) const override { return 0; }

  /// All calls, in order.
  std::vector<wire::http_call> Calls;
  /// Returns one line for each call, such as "PUT 127.0.0.1:1 /v1/jobs/a".
  [[nodiscard]] std::vector<std::string> lines() const;

private:
  runtime::executor &Executor;
  script Script;
  std::set<wire::call_id> Abandoned;
};

} // namespace yuccaplank::testing
