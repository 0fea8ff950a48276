#include "loss_history.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace yuccaplank::dispatch {
namespace {

bool isCrash(schema::server_loss Loss) {
  return Loss == schema::LOSS_REFUSED || Loss == schema::LOSS_RESTARTED;
}

} // namespace

void loss_history::record(const schema::lost_servers &Message) {
  forgetExpired();
  for (const schema::lost_server &Server : Message.servers())
    recordServer(Server);
  while (Losses.size() > Options.MaxServers)
    forgetOldest();
}

void loss_history::recordServer(const schema::lost_server &Server) {
  if (Server.loss() == schema::LOSS_NONE)
    return;
  server_key Key{Server.server(), Server.incarnation_start_ms()};
  auto [Entry, IsNew] = Losses.try_emplace(Key);
  lost_incarnation &Lost = Entry->second;
  if (IsNew) {
    Lost.LostAt = Clock.now() - std::chrono::milliseconds(Server.age_ms());
    Lost.Observer = Server.observer();
  }
  Lost.UpAtClockMs = std::max(Lost.UpAtClockMs, Server.up_at_clock_ms());
  // A refused connection or a restart after the silence shows that the server had crashed.
  if (isCrash(Server.loss()) && Lost.Loss != schema::LOSS_RESTARTED)
    Lost.Loss = Server.loss();
  std::set<std::uint32_t> Unconfirmed(Server.unconfirmed().begin(), Server.unconfirmed().end());
  for (int Index = 0; Index < Server.runs_size(); ++Index) {
    run_key Run = toRunKey(Server.runs(Index));
    lost_run &Known = Lost.Runs[Run];
    Known.Loss = Server.loss();
    Known.Begun |= !Unconfirmed.contains(static_cast<std::uint32_t>(Index));
    Known.LostAtClockMs = std::max(Known.LostAtClockMs, Server.lost_at_clock_ms());
    ServersByTask[Run.Task].insert(Key);
  }
}

std::size_t loss_history::countCrashes(const std::set<server_key> &LostUnderTask) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      LostUnderTask, [this](const server_key &Key) { return isCrash(Losses.at(Key).Loss); }));
}

bool loss_history::isOverLimit(const std::set<server_key> &LostUnderTask) const {
  return countCrashes(LostUnderTask) >= Options.MaxCrashes || LostUnderTask.size() >= Options.MaxLosses;
}

bool loss_history::isSuspect(const task_key &Task) const {
  auto Found = ServersByTask.find(Task);
  return Found != ServersByTask.end() && countCrashes(Found->second) > 0;
}

bool loss_history::isGivenUp(const task_key &Task) const {
  auto Found = ServersByTask.find(Task);
  return Found != ServersByTask.end() && isOverLimit(Found->second);
}

bool loss_history::isAnyTaskGivenUp(job_id Job) const {
  for (auto Task = ServersByTask.lower_bound({Job, 0}); Task != ServersByTask.end() && Task->first.Job == Job;
       ++Task)
    if (isOverLimit(Task->second))
      return true;
  return false;
}

schema::lost_servers loss_history::recent() const {
  schema::lost_servers Message;
  runtime::time_point Now = Clock.now();
  for (const auto &[Key, Lost] : Losses) {
    runtime::duration Age = Now - Lost.LostAt;
    if (Age >= Options.Retention)
      continue;
    schema::lost_server &Server = *Message.add_servers();
    Server.set_server(Key.first);
    Server.set_incarnation_start_ms(Key.second);
    Server.set_loss(Lost.Loss);
    Server.set_age_ms(static_cast<std::uint32_t>(runtime::toMs(Age)));
    Server.set_observer(Lost.Observer);
    Server.set_up_at_clock_ms(Lost.UpAtClockMs);
    for (const auto &[Run, State] : Lost.Runs) {
      if (!State.Begun)
        Server.add_unconfirmed(static_cast<std::uint32_t>(Server.runs_size()));
      Server.set_lost_at_clock_ms(std::max(Server.lost_at_clock_ms(), State.LostAtClockMs));
      *Server.add_runs() = toMessage(Run);
    }
  }
  return Message;
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
  std::string Text = fmt::format("{}@{} {} seen by {}, {:.0f} ms ago, up at {}:", Key.first, Key.second,
                                 schema::server_loss_Name(Lost.Loss), Lost.Observer,
                                 runtime::toMs(Clock.now() - Lost.LostAt), Lost.UpAtClockMs);
  for (auto Run = Lost.Runs.lower_bound({Task, 0}); Run != Lost.Runs.end() && Run->first.Task == Task; ++Run)
    Text +=
        fmt::format(" {} {} {}, over at {}", format(Run->first), schema::server_loss_Name(Run->second.Loss),
                    Run->second.Begun ? "begun" : "unconfirmed", Run->second.LostAtClockMs);
  return Text;
}

void loss_history::forgetExpired() {
  runtime::time_point Before = Clock.now() - Options.Retention;
  for (auto Loss = Losses.begin(); Loss != Losses.end();)
    Loss = Loss->second.LostAt <= Before ? forget(Loss) : std::next(Loss);
}

void loss_history::forgetOldest() {
  forget(std::ranges::min_element(Losses, {}, [](const auto &Entry) { return Entry.second.LostAt; }));
}

loss_history::losses_by_server::iterator loss_history::forget(losses_by_server::iterator Loss) {
  for (const auto &[Run, State] : Loss->second.Runs) {
    auto Task = ServersByTask.find(Run.Task);
    if (Task == ServersByTask.end())
      continue;
    Task->second.erase(Loss->first);
    if (Task->second.empty())
      ServersByTask.erase(Task);
  }
  return Losses.erase(Loss);
}

schema::lost_server toMessage(const server_loss_report &Report) {
  schema::lost_server Message;
  Message.set_server(Report.Server);
  Message.set_incarnation_start_ms(Report.IncarnationStartMs);
  Message.set_loss(Report.Loss);
  Message.set_lost_at_clock_ms(Report.LostAtClockMs);
  for (const server_loss_report::run &Run : Report.Runs) {
    if (!Run.Begun)
      Message.add_unconfirmed(static_cast<std::uint32_t>(Message.runs_size()));
    *Message.add_runs() = toMessage(Run.Key);
  }
  return Message;
}

} // namespace yuccaplank::dispatch
