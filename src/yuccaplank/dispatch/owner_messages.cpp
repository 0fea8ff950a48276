#include "owner_messages.hpp"

namespace yuccaplank::dispatch {

schema::run_event toRunEvent(run_end End) {
  if (End == run_end::Done)
    return schema::RUN_DONE;
  return End == run_end::Failed ? schema::RUN_FAILED : schema::RUN_GONE;
}

schema::dispatch_message makeTaskEvent(const run_key &Run, schema::run_event Event, const std::string &Server,
                                       std::string_view Reason, schema::server_loss Loss) {
  schema::dispatch_message Message;
  schema::task_event &Body = *Message.mutable_event();
  Body.set_loss(Loss);
  *Body.mutable_task() = toMessage(Run);
  Body.set_event(Event);
  Body.set_server(Server);
  Body.set_reason(std::string(Reason));
  return Message;
}

schema::dispatch_message makeAdoptRequest(const std::string &Server, std::uint64_t Token,
                                          const hold_reply &Found) {
  schema::dispatch_message Message;
  schema::adopt_request &Request = *Message.mutable_adopt();
  Request.set_server(Server);
  Request.set_token(Token);
  for (const run_key &Run : Found.Running)
    *Request.add_running() = toMessage(Run);
  for (const listed_end &End : Found.Ended) {
    schema::task_event &Event = *Request.add_ended();
    *Event.mutable_task() = toMessage(End.Run);
    Event.set_event(toRunEvent(End.End));
    Event.set_reason(std::string(runEndName(End.End)));
  }
  return Message;
}

schema::dispatch_message makeYield(const std::string &Server, std::uint64_t Token) {
  schema::dispatch_message Message;
  Message.mutable_yield()->set_server(Server);
  Message.mutable_yield()->set_token(Token);
  return Message;
}

} // namespace yuccaplank::dispatch
