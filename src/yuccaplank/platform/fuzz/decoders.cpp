#include "decoders.hpp"
#include "yuccaplank/platform/documents.hpp"
#include "yuccaplank/platform/server_client.hpp"
#include "yuccaplank/platform/settings.hpp"

#include <algorithm>
#include <string>

namespace yuccaplank::platform {
namespace {

bool settingsInvariantsHold(std::string_view Text) {
  settings Settings;
  return !readSettings(Text, Settings).empty() || !Settings.Vm.empty() || Text.find("\"node\"") != Text.npos;
}

bool serverInvariantsHold(std::string_view Text) {
  auto Server = decodeServer("i-1", Text);
  return !Server || (Server.value().Target.Id == "i-1" && !Server.value().Rack.empty());
}

bool runInvariantsHold(const dispatch::run_key &Run) {
  return Run.Run > 0 && parseTaskName(taskName(Run.Task)) == Run.Task;
}

bool replyInvariantsHold(std::string_view Text) {
  wire::http_call_result Reply;
  Reply.Body = Text;
  Reply.Status = 200;
  auto Hold = decodeHoldReply(Reply);
  bool Complete =
      Hold.Outcome == dispatch::order_outcome::Accepted || (Hold.Running.empty() && Hold.Ended.empty());
  Reply.Status = 409;
  return Complete && decodeOrderReply(Reply).Outcome != dispatch::order_outcome::Accepted &&
         std::ranges::all_of(Hold.Running, runInvariantsHold) &&
         std::ranges::all_of(Hold.Ended,
                             [](const dispatch::listed_end &End) { return runInvariantsHold(End.Run); });
}

bool queueInvariantsHold(const dispatch::configuration &Configuration) {
  return std::ranges::all_of(Configuration.Queues, [&](const dispatch::queue_settings &Queue) {
    return Configuration.findQueue(Queue.Host, Queue.PathPrefix) != nullptr;
  });
}

} // namespace

int fuzzDecoders(const std::uint8_t *Data, std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  auto Configuration = decodeConfiguration(Text);
  auto Job = decodeJob(Text);
  bool InvariantsHold =
      settingsInvariantsHold(Text) && serverInvariantsHold(Text) && replyInvariantsHold(Text);
  if (Configuration)
    InvariantsHold &= queueInvariantsHold(Configuration.value());
  if (Job)
    InvariantsHold &= std::ranges::all_of(
        Job.value().Steps, [](const step_document &Step) { return Step.TaskSize.cpu() < ~0U; });
  return InvariantsHold ? 0 : 1;
}

} // namespace yuccaplank::platform
