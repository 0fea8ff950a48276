#include "yuccaplank/testing/scripted_http_client.hpp"

#include <algorithm>

namespace yuccaplank::testing {
namespace {

scripted_reply failure(runtime::errc Code, wire::transfer_stage Stage) {
  scripted_reply Reply;
  Reply.Result.Error = make_error_code(Code);
  Reply.Result.Stage = Stage;
  return Reply;
}

} // namespace

scripted_reply replyWith(int Status, std::string Body) {
  scripted_reply Reply;
  Reply.Result.Status = Status;
  Reply.Result.Body = std::move(Body);
  return Reply;
}

scripted_reply lostConnection() {
  return failure(runtime::errc::ConnectionLost, wire::transfer_stage::MaybeWritten);
}

scripted_reply refusedConnection() {
  return failure(runtime::errc::ConnectFailed, wire::transfer_stage::NothingWritten);
}

scripted_reply noReply() {
  scripted_reply Reply = failure(runtime::errc::RequestTimeout, wire::transfer_stage::MaybeWritten);
  Reply.Delay = runtime::duration::max();
  return Reply;
}

wire::call_id scripted_http_client::call(wire::http_call Call,
                                         std::function<void(wire::http_call_result)> OnDone) {
  Calls.push_back(Call);
  wire::call_id Id = Calls.size();
  scripted_reply Reply = Script(Call);
  bool TimedOut = Call.Timeout > runtime::duration::zero() && Reply.Delay > Call.Timeout;
  if (TimedOut)
    Reply = failure(runtime::errc::RequestTimeout, wire::transfer_stage::MaybeWritten);
  Executor.after(TimedOut ? Call.Timeout : Reply.Delay, [this, Id, Result = Reply.Result, OnDone] {
    if (!Abandoned.contains(Id))
      OnDone(Result);
  });
  return Id;
}

std::vector<std::string> scripted_http_client::lines() const {
  std::vector<std::string> Lines;
  for (const wire::http_call &Call : Calls)
    Lines.push_back(Call.Method + " " + Call.Address + " " + Call.Path);
  return Lines;
}

} // namespace yuccaplank::testing
