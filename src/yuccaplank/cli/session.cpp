#include "yuccaplank/cli/session.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace yuccaplank::cli {
namespace {

// Pause after a round in which no entry VM gave an answer.
constexpr runtime::duration RoundPause = std::chrono::milliseconds(200);

// A reply that is not JSON comes from something between the tool and the entry VM, for example a proxy that
// lost its own connection, and says nothing about the request.
bool isAnswer(const wire::http_call_result &Result) {
  return !Result.Error && nlohmann::json::accept(Result.Body);
}

} // namespace

entry_reply entry_session::send(const entry_request &Request) {
  entry_reply Reply;
  runtime::time_point End = Requester.clock().now() + Request.Timeout;
  for (std::size_t Attempt = 1;; ++Attempt) {
    runtime::duration Left = End - Requester.clock().now();
    if (Left <= runtime::duration::zero())
      return Reply;
    wire::http_call_result Result = Requester.exchange(
        {Request.Method, Entries[Next], Request.Path, Request.Headers, Request.Body, Left});
    if (isAnswer(Result)) {
      Reply.Answered = true;
      Reply.Error = {};
      Reply.Status = Result.Status;
      Reply.Body = std::move(Result.Body);
      return Reply;
    }
    bool Written = !Result.Error || Result.Stage == wire::transfer_stage::MaybeWritten;
    Reply.MaybeWritten = Reply.MaybeWritten || Written;
    Reply.Error = Result.Error ? Result.Error : make_error_code(runtime::errc::MalformedDocument);
    advance();
    if (Attempt % Entries.size() != 0)
      continue;
    if (!Reply.MaybeWritten)
      return Reply;
    Requester.pause(std::min(RoundPause, std::max(End - Requester.clock().now(), runtime::duration::zero())));
  }
}

wire::http_call_result operator_session::send(std::string Method, std::string Path, std::string Body,
                                              runtime::duration Timeout) {
  wire::http_call Call{std::move(Method), Address, std::move(Path), {}, std::move(Body), Timeout};
  if (!Token.empty())
    Call.Headers.push_back({"authorization", "Bearer " + Token});
  return Requester.exchange(std::move(Call));
}

} // namespace yuccaplank::cli
