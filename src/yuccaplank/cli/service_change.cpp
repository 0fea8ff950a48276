#include "yuccaplank/cli/service_change.hpp"
#include "yuccaplank/wire/url.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace yuccaplank::cli {
namespace {

using nlohmann::ordered_json;

constexpr runtime::duration FirstRepeatDelay = std::chrono::milliseconds(250);
constexpr runtime::duration MaxRepeatDelay = std::chrono::seconds(2);
constexpr runtime::duration RolloutPollInterval = std::chrono::milliseconds(250);

change_end endOf(const wire::http_call_result &Result, const ordered_json &Body) {
  if (Result.Error)
    return Result.Stage == wire::transfer_stage::NothingWritten ? change_end::Refused : change_end::Open;
  // A reply that is not JSON was not written by an entry VM.
  if (!Body.is_object())
    return change_end::Open;
  if (Result.Status == 200)
    return change_end::Committed;
  if (Result.Status == 409)
    return change_end::Conflict;
  if (Result.Status < 500)
    return change_end::Rejected;
  // Only these reasons say that the table was not asked.
  auto Reason = Body.find("reason");
  bool NotAsked = Reason != Body.end() && (*Reason == errcName(runtime::errc::Draining) ||
                                           *Reason == errcName(runtime::errc::NoCatalog));
  return NotAsked ? change_end::Refused : change_end::Open;
}

} // namespace

change_result commitChange(operator_session &Session, const change_plan &Plan,
                           const std::function<void(std::string_view)> &Progress) {
  const runtime::clock &Clock = Session.timing().clock();
  runtime::time_point End = Clock.now() + Plan.Timeout;
  std::string Path = fmt::format("/v1/services/{}?expected={}&change={}", wire::percentEncode(Plan.Service),
                                 Plan.ExpectedRevision, wire::percentEncode(Plan.ChangeId));
  change_result Change;
  bool WasOpen = false;
  for (runtime::duration Delay = FirstRepeatDelay;; Delay = std::min(Delay * 2, MaxRepeatDelay)) {
    runtime::duration Left = End - Clock.now();
    if (Left <= runtime::duration::zero())
      return Change;
    wire::http_call_result Result = Session.send("PUT", Path, Plan.Document, Left);
    Change.Body = Result.Error ? ordered_json() : ordered_json::parse(Result.Body, nullptr, false);
    Change.Status = Result.Status;
    Change.Error = Result.Error;
    Change.End = endOf(Result, Change.Body);
    // A refusal of a repetition does not tell what became of the first request.
    if (WasOpen && Change.End == change_end::Refused)
      Change.End = change_end::Open;
    if (Change.End != change_end::Open)
      return Change;
    WasOpen = true;
    Progress(fmt::format("the outcome is open; repeating change {}.", Plan.ChangeId));
    Session.timing().pause(std::clamp(End - Clock.now(), runtime::duration::zero(), Delay));
  }
}

rollout readRollout(const ordered_json &Body, std::uint64_t Revision) {
  rollout Rollout;
  for (const ordered_json &Vm : Body.value("vms", ordered_json::array())) {
    auto &List = Vm.value("revision", std::uint64_t{0}) >= Revision ? Rollout.Reached : Rollout.NotReached;
    List.push_back(Vm.value("vm", "?"));
  }
  for (const ordered_json &Vm : Body.value("silent", ordered_json::array()))
    if (Vm.is_string())
      Rollout.NotReached.push_back(Vm.get<std::string>());
  return Rollout;
}

rollout awaitRollout(operator_session &Session, const std::string &Service, std::uint64_t Revision,
                     runtime::duration Timeout, const std::function<void(std::string_view)> &Progress) {
  const runtime::clock &Clock = Session.timing().clock();
  runtime::time_point End = Clock.now() + Timeout;
  std::string Path = fmt::format("/v1/services/{}/rollout", wire::percentEncode(Service));
  rollout Rollout;
  for (;;) {
    runtime::duration Left = std::max(End - Clock.now(), runtime::duration(std::chrono::seconds(1)));
    wire::http_call_result Result = Session.send("GET", Path, "", Left);
    auto Body = Result.Error ? ordered_json() : ordered_json::parse(Result.Body, nullptr, false);
    if (Result.Status == 200 && Body.is_object())
      Rollout = readRollout(Body, Revision);
    bool Everywhere = !Rollout.Reached.empty() && Rollout.NotReached.empty();
    if (Everywhere || Clock.now() + RolloutPollInterval > End)
      return Rollout;
    Progress(fmt::format("revision {} is on {} VMs, not yet on {}.", Revision, Rollout.Reached.size(),
                         Rollout.NotReached.size()));
    Session.timing().pause(RolloutPollInterval);
  }
}

std::string formatDifferences(const std::vector<wire::document_difference> &Differences) {
  std::string Text;
  for (const wire::document_difference &Difference : Differences) {
    if (Difference.Old.empty())
      Text += fmt::format("+ {}: {}\n", Difference.Path, Difference.New);
    else if (Difference.New.empty())
      Text += fmt::format("- {}: {}\n", Difference.Path, Difference.Old);
    else
      Text += fmt::format("~ {}: {} -> {}\n", Difference.Path, Difference.Old, Difference.New);
  }
  return Text;
}

ordered_json differencesJson(const std::vector<wire::document_difference> &Differences) {
  auto Value = [](const std::string &Text) {
    return Text.empty() ? ordered_json() : ordered_json::parse(Text, nullptr, false);
  };
  auto List = ordered_json::array();
  for (const wire::document_difference &Difference : Differences)
    List.push_back(
        {{"path", Difference.Path}, {"old", Value(Difference.Old)}, {"new", Value(Difference.New)}});
  return List;
}

} // namespace yuccaplank::cli
