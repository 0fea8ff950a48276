#include "known_backlogs.hpp"

namespace yuccaplank::dispatch::admission {

using runtime::time_point;
using std::chrono::milliseconds;

namespace {

std::uint32_t toWholeMs(runtime::duration Time) { return static_cast<std::uint32_t>(runtime::toMs(Time)); }

bool isVoid(time_point PredictedAt, time_point Now) { return Now - PredictedAt > known_backlogs::MaxAge; }

} // namespace

void known_backlogs::learn(time_point Now,
                           const google::protobuf::RepeatedPtrField<schema::pool_backlog> &Received) {
  for (const schema::pool_backlog &Message : Received) {
    time_point PredictedAt = Now - milliseconds(Message.age_ms());
    if (isVoid(PredictedAt, Now))
      continue;
    backlog &Known = Backlogs[{Message.pool(), Message.priority()}];
    if (Known.PredictedAt < PredictedAt)
      Known = {milliseconds(Message.wait_ms()), milliseconds(Message.drain_ms()), PredictedAt};
  }
  std::erase_if(Backlogs, [&](const auto &Entry) { return isVoid(Entry.second.PredictedAt, Now); });
}

void known_backlogs::setOwn(time_point Now,
                            const std::map<std::string, std::vector<backlog_summary>> &Predicted) {
  Backlogs.clear();
  for (const auto &[Pool, Summaries] : Predicted)
    for (const backlog_summary &Summary : Summaries)
      Backlogs[{Pool, Summary.Priority}] = {Summary.Wait, Summary.Drain, Now};
}

void known_backlogs::addTo(time_point Now,
                           google::protobuf::RepeatedPtrField<schema::pool_backlog> &Message) const {
  for (const auto &[Key, Known] : Backlogs) {
    if (isVoid(Known.PredictedAt, Now))
      continue;
    schema::pool_backlog &Backlog = *Message.Add();
    Backlog.set_pool(Key.first);
    Backlog.set_priority(Key.second);
    Backlog.set_wait_ms(toWholeMs(Known.Wait));
    Backlog.set_drain_ms(toWholeMs(Known.Drain));
    Backlog.set_age_ms(toWholeMs(Now - Known.PredictedAt) + 1);
  }
}

std::optional<known_backlogs::backlog> known_backlogs::find(time_point Now, const std::string &Pool,
                                                            std::uint32_t Priority) const {
  auto Found = Backlogs.find({Pool, Priority});
  if (Found == Backlogs.end() || isVoid(Found->second.PredictedAt, Now))
    return std::nullopt;
  return Found->second;
}

} // namespace yuccaplank::dispatch::admission
