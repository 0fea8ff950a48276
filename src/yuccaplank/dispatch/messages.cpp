#include "yuccaplank/dispatch/messages.hpp"

#include <fmt/format.h>

namespace yuccaplank::dispatch {

schema::task_run toMessage(const run_key &Run) {
  schema::task_run Message;
  setJob(Message, Run.Task.Job);
  Message.set_index(Run.Task.Index);
  Message.set_run(Run.Run);
  return Message;
}

std::string format(const run_key &Run) {
  return fmt::format("{}/{}#{}", formatJob(Run.Task.Job), Run.Task.Index, Run.Run);
}

std::string formatRuns(const std::vector<run_key> &Runs) {
  std::string Text;
  for (const run_key &Run : Runs) {
    if (!Text.empty())
      Text += ',';
    Text += format(Run);
  }
  return Text;
}

} // namespace yuccaplank::dispatch
