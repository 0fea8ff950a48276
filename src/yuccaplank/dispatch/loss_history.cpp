#include "loss_history.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace yuccaplank::dispatch {

void loss_history::record(const schema::lost_servers &Message) {
  forgetExpired();
  for (const schema::lost_server &Server : Message.servers())
    recordServer(Server);
  while (Losses.size() > Options.MaxServers)
    forgetOldest();
}

schema::server_loss loss_history::lossOf(const schema::lost_server &Server) {
  bool FromEarlierBuild = Server.loss() == schema::LOSS_RESTARTED && !Server.certain();
  return FromEarlierBuild ? schema::LOSS_REFUSED : Server.loss();
}

void loss_history::recordServer(const schema::lost_server &Server) {
  server_key Key{Server.server(), Server.incarnation_start_ms()};
  runtime::time_point LostAt = Clock.now() - std::chrono::milliseconds(Server.age_ms());
  if (Clock.now() - LostAt >= Options.Retention)
    return;
  auto [Entry, IsNew] = Losses.try_emplace(Key);
  lost_incarnation &Lost = Entry->second;
  Lost.LostAt = IsNew ? LostAt : std::max(Lost.LostAt, LostAt);
  if (Lost.Observer.empty())
    Lost.Observer = Server.observer();
  Lost.UpAtClockMs = std::max(Lost.UpAtClockMs, Server.up_at_clock_ms());
  Lost.Crashed |= lossOf(Server) == schema::LOSS_RESTARTED;
  if (Server.loss() != schema::LOSS_NONE)
    recordRuns(Server, Key, Lost);
  removeOutlivedRuns(Key, Lost);
}

void loss_history::recordRuns(const schema::lost_server &Server, const server_key &Key,
                              lost_incarnation &Lost) {
  std::set<std::uint32_t> Unconfirmed(Server.unconfirmed().begin(), Server.unconfirmed().end());
  std::int64_t LostAtClockMs = Server.lost_at_clock_ms() > 0 ? Server.lost_at_clock_ms() : NotKnown;
  for (int Index = 0; Index < Server.runs_size(); ++Index) {
    run_key Run = toRunKey(Server.runs(Index));
    lost_run &Known = Lost.Runs[Run];
    if (Server.loss() != schema::LOSS_SILENT)
      Known.Loss = lossOf(Server);
    // An earlier build does not tell whether the start was confirmed.
    Known.Begun |= Server.certain() && !Unconfirmed.contains(static_cast<std::uint32_t>(Index));
    // A time that is known counts in place of one that is not.
    bool AreKnown = Known.LostAtClockMs != NotKnown && LostAtClockMs != NotKnown;
    Known.LostAtClockMs = AreKnown ? std::max(Known.LostAtClockMs, LostAtClockMs)
                                   : std::min(Known.LostAtClockMs, LostAtClockMs);
    ServersByTask[Run.Task].insert(Key);
  }
}

void loss_history::removeOutlivedRuns(const server_key &Key, lost_incarnation &Lost) {
  auto Outlived = [&](const auto &Run) { return Run.second.LostAtClockMs < Lost.UpAtClockMs; };
  for (auto Run = Lost.Runs.begin(); Run != Lost.Runs.end();) {
    if (!Outlived(*Run)) {
      ++Run;
      continue;
    }
    task_key Task = Run->first.Task;
    Run = Lost.Runs.erase(Run);
    auto Other = Lost.Runs.lower_bound({Task, 0});
    if (Other == Lost.Runs.end() || Other->first.Task != Task)
      removeTask(Task, Key);
  }
}

void loss_history::removeTask(const task_key &Task, const server_key &Key) {
  auto Found = ServersByTask.find(Task);
  if (Found == ServersByTask.end())
    return;
  Found->second.erase(Key);
  if (Found->second.empty())
    ServersByTask.erase(Found);
}

schema::lost_server loss_history::makeMessage(const server_key &Key, const lost_incarnation &Lost) const {
  schema::lost_server Message;
  Message.set_server(Key.first);
  Message.set_incarnation_start_ms(Key.second);
  Message.set_certain(true);
  // What settles a loss does not prolong the time for which it counts.
  Message.set_age_ms(static_cast<std::uint32_t>(runtime::toMs(Clock.now() - Lost.LostAt)));
  return Message;
}

schema::lost_server loss_history::makeRestart(const server_key &Key, const lost_incarnation &Lost) const {
  schema::lost_server Message = makeMessage(Key, Lost);
  Message.set_loss(schema::LOSS_RESTARTED);
  return Message;
}

std::optional<schema::lost_server>
loss_history::makeSurvival(const server_key &Key, const lost_incarnation &Lost, std::int64_t ClockMs) const {
  schema::lost_server Message = makeMessage(Key, Lost);
  Message.set_up_at_clock_ms(ClockMs);
  bool Outlived = false;
  for (const auto &[Run, State] : Lost.Runs) {
    Outlived |= State.LostAtClockMs < ClockMs;
    if (State.LostAtClockMs != NotKnown || Clock.now() - Lost.LostAt < Options.UnknownEndMargin)
      continue;
    // The run has certainly ended by now, which the clock of the reply alone does not tell the other VMs.
    Message.set_loss(schema::LOSS_REFUSED);
    Message.set_lost_at_clock_ms(ClockMs - 1);
    *Message.add_runs() = toMessage(Run);
  }
  if (!Outlived && Message.runs_size() == 0)
    return std::nullopt;
  return Message;
}

std::optional<schema::lost_server>
loss_history::settle(const std::string &Server, std::int64_t IncarnationStartMs, std::int64_t ClockMs) const {
  if (IncarnationStartMs == 0)
    return std::nullopt;
  for (auto Loss = Losses.lower_bound({Server, 0}); Loss != Losses.end() && Loss->first.first == Server;
       ++Loss) {
    const auto &[Key, Lost] = *Loss;
    if (Key.second < IncarnationStartMs && !Lost.Crashed && !Lost.Runs.empty())
      return makeRestart(Key, Lost);
    if (Key.second != IncarnationStartMs)
      continue;
    if (auto Survival = makeSurvival(Key, Lost, ClockMs))
      return Survival;
  }
  return std::nullopt;
}

loss_history::loss_count loss_history::countLosses(const task_key &Task,
                                                   const std::set<server_key> &Servers) const {
  loss_count Count;
  for (const server_key &Key : Servers) {
    const lost_incarnation &Lost = Losses.at(Key);
    bool Begun = false;
    bool Refused = false;
    for (auto Run = Lost.Runs.lower_bound({Task, 0}); Run != Lost.Runs.end() && Run->first.Task == Task;
         ++Run) {
      Begun |= Run->second.Begun;
      Refused |= Run->second.Loss != schema::LOSS_SILENT;
    }
    // A run whose start was not confirmed may have crashed the server at once, or never have reached it.
    if (Lost.Crashed && Begun)
      ++Count.Crashed;
    else if (Lost.Crashed || Refused)
      ++Count.Suspected;
    else
      ++Count.Silent;
  }
  return Count;
}

loss_verdict loss_history::judge(const loss_count &Count) const {
  if (Count.Crashed >= Options.MaxCrashes)
    return loss_verdict::GivenUp;
  std::uint32_t Suspected = Count.Crashed + Count.Suspected;
  if (Suspected >= Options.MaxCrashes || Suspected + Count.Silent >= Options.MaxLosses)
    return loss_verdict::Suspended;
  return Suspected > 0 ? loss_verdict::Suspect : loss_verdict::Clear;
}

loss_verdict loss_history::verdict(const task_key &Task) const {
  auto Found = ServersByTask.find(Task);
  return Found == ServersByTask.end() ? loss_verdict::Clear : judge(countLosses(Task, Found->second));
}

loss_verdict loss_history::verdict(job_id Job) const {
  loss_verdict Worst = loss_verdict::Clear;
  for (auto Task = ServersByTask.lower_bound({Job, 0}); Task != ServersByTask.end() && Task->first.Job == Job;
       ++Task)
    Worst = std::max(Worst, judge(countLosses(Task->first, Task->second)));
  return Worst;
}

schema::lost_servers loss_history::recent() const {
  schema::lost_servers Message;
  for (const auto &[Key, Lost] : Losses)
    if (Clock.now() - Lost.LostAt < Options.Retention)
      describeRuns(Key, Lost, Message);
  return Message;
}

// Runs that were lost at different times, or by different evidence, are told in one message each.
void loss_history::describeRuns(const server_key &Key, const lost_incarnation &Lost,
                                schema::lost_servers &Message) const {
  std::map<std::pair<schema::server_loss, std::int64_t>, schema::lost_server *> Groups;
  auto AddGroup = [&](schema::server_loss Loss, std::int64_t LostAtClockMs) -> schema::lost_server * {
    schema::lost_server &Server = *Message.add_servers();
    Server = makeMessage(Key, Lost);
    Server.set_loss(Lost.Crashed ? schema::LOSS_RESTARTED : Loss);
    Server.set_lost_at_clock_ms(LostAtClockMs == NotKnown ? 0 : LostAtClockMs);
    Server.set_up_at_clock_ms(Lost.UpAtClockMs);
    Server.set_observer(Lost.Observer);
    return &Server;
  };
  if (Lost.Runs.empty())
    AddGroup(schema::LOSS_NONE, NotKnown);
  for (const auto &[Run, State] : Lost.Runs) {
    schema::lost_server *&Group = Groups[{State.Loss, State.LostAtClockMs}];
    if (!Group)
      Group = AddGroup(State.Loss, State.LostAtClockMs);
    if (!State.Begun)
      Group->add_unconfirmed(static_cast<std::uint32_t>(Group->runs_size()));
    *Group->add_runs() = toMessage(Run);
  }
}

std::string loss_history::describe(job_id Job) const {
  std::string Text;
  for (auto Task = ServersByTask.lower_bound({Job, 0}); Task != ServersByTask.end() && Task->first.Job == Job;
       ++Task)
    for (const server_key &Key : Task->second)
      Text += (Text.empty() ? "" : "; ") + describeLoss(Task->first, Key);
  return Text;
}

std::string loss_history::describeLoss(const task_key &Task, const server_key &Key) const {
  const lost_incarnation &Lost = Losses.at(Key);
  std::string Text = fmt::format("{}@{}{} seen by {}, {:.0f} ms ago, up at {}:", Key.first, Key.second,
                                 Lost.Crashed ? " restarted," : "", Lost.Observer,
                                 runtime::toMs(Clock.now() - Lost.LostAt), Lost.UpAtClockMs);
  for (auto Run = Lost.Runs.lower_bound({Task, 0}); Run != Lost.Runs.end() && Run->first.Task == Task; ++Run)
    Text +=
        fmt::format(" {} {} {}, over at {}", format(Run->first), schema::server_loss_Name(Run->second.Loss),
                    Run->second.Begun ? "begun" : "unconfirmed",
                    Run->second.LostAtClockMs == NotKnown ? 0 : Run->second.LostAtClockMs);
  return Text;
}

bool loss_history::forgetExpired() {
  runtime::time_point Before = Clock.now() - Options.Retention;
  bool Any = false;
  for (auto Loss = Losses.begin(); Loss != Losses.end();) {
    bool Expired = Loss->second.LostAt <= Before;
    Any |= Expired;
    Loss = Expired ? forget(Loss) : std::next(Loss);
  }
  return Any;
}

void loss_history::forgetOldest() {
  // Settled losses no longer count.
  forget(std::ranges::min_element(Losses, {}, [](const auto &Entry) {
    return std::pair(!Entry.second.Runs.empty(), Entry.second.LostAt);
  }));
}

loss_history::losses_by_server::iterator loss_history::forget(losses_by_server::iterator Loss) {
  for (const auto &[Run, State] : Loss->second.Runs)
    removeTask(Run.Task, Loss->first);
  return Losses.erase(Loss);
}

schema::lost_server toMessage(const server_loss_report &Report) {
  schema::lost_server Message;
  Message.set_server(Report.Server);
  Message.set_incarnation_start_ms(Report.IncarnationStartMs);
  Message.set_loss(Report.Loss);
  Message.set_certain(true);
  Message.set_lost_at_clock_ms(Report.LostAtClockMs);
  for (const server_loss_report::run &Run : Report.Runs) {
    if (!Run.Begun)
      Message.add_unconfirmed(static_cast<std::uint32_t>(Message.runs_size()));
    *Message.add_runs() = toMessage(Run.Key);
  }
  return Message;
}

} // namespace yuccaplank::dispatch
