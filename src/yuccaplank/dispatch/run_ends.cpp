#include "run_ends.hpp"
#include "loss_history.hpp"
#include "owner_messages.hpp"
#include "reply_timeout.hpp"
#include "server_watch.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <utility>

namespace yuccaplank::dispatch {

using runtime::log;
using runtime::log_level;

void run_ends::report(const std::string &Coordinator, schema::dispatch_message Event) {
  if (!Coordinator.empty())
    Ledger.Ports.send(Coordinator, std::move(Event));
}

void run_ends::endRun(const run_key &Run, schema::run_event Event, std::string_view Reason,
                      schema::server_loss Loss) {
  server_run *Found = Ledger.Runs.find(Run);
  if (!Found)
    return;
  std::string Coordinator = Found->Coordinator;
  if (Event == schema::RUN_GONE && Found->OnFormerIncarnation)
    Loss = lossWithRestart();
  schema::dispatch_message Message = makeTaskEvent(Run, Event, Ledger.Entry.Target.Id, Reason, Loss);
  Message.mutable_event()->set_overdue(Event == schema::RUN_GONE && Found->Overdue);
  Ledger.Runs.erase(Run);
  if (Event != schema::RUN_DONE)
    log(log_level::Info, "run_ended",
        {{"run", format(Run)},
         {"server", Ledger.Entry.Target.Id},
         {"end", schema::run_event_Name(Event)},
         {"reason", std::string(Reason)}});
  report(Coordinator, std::move(Message));
  Ledger.onCapacityChanged();
  Parts.Watch.updateLongRuns(Ledger.now());
}

void run_ends::countLoss(schema::server_loss Loss) {
  ledger_counters &Counters = Ledger.Ports.counters();
  if (Loss == schema::LOSS_RESTARTED)
    ++Counters.ServersRestarted;
  else if (Loss == schema::LOSS_REFUSED)
    ++Counters.ServersRefused;
  else
    ++Counters.ServersSilent;
}

void run_ends::announceLoss(schema::server_loss Loss, const std::vector<run_key> &LostRuns) {
  if (Loss == schema::LOSS_NONE)
    return;
  countLoss(Loss);
  server_loss_report Report;
  Report.Server = Ledger.Entry.Target.Id;
  Report.IncarnationStartMs = Ledger.IncarnationStartMs;
  Report.Loss = Loss;
  // The clock of a new incarnation tells nothing of the former one.
  if (Loss != schema::LOSS_RESTARTED)
    Report.LostAtClockMs = Ledger.Clock.latestServerMs(Ledger.now()).value_or(0);
  std::vector<run_key> Unconfirmed;
  for (const run_key &Run : LostRuns) {
    Report.Runs.push_back({Run, Ledger.Runs.find(Run)->Begun});
    if (!Report.Runs.back().Begun)
      Unconfirmed.push_back(Run);
  }
  log(log_level::Warning, "server_lost",
      {{"server", Report.Server},
       {"born", Report.IncarnationStartMs},
       {"evidence", schema::server_loss_Name(Loss)},
       {"lost_at_clock_ms", Report.LostAtClockMs},
       {"runs", formatRuns(LostRuns)},
       {"unconfirmed", formatRuns(Unconfirmed)}});
  Ledger.Ports.announceLoss(toMessage(Report));
}

void run_ends::endMissingRuns(std::uint64_t Hold, const std::vector<run_key> &Running) {
  for (const run_key &Run : Ledger.Runs.missingFrom(Running, Hold))
    endRun(Run, schema::RUN_GONE, "not_listed");
}

void run_ends::endExpiredRuns(time_point Now) {
  if ((Ledger.Responsive && !Ledger.Delisted) || Now < Ledger.Clock.expiresAt())
    return;
  std::vector<run_key> LostRuns = Ledger.Runs.endingWithLease(Ledger.Delisted);
  if (LostRuns.empty())
    return;
  schema::server_loss Loss = lossWithoutReply();
  announceLoss(Loss, LostRuns);
  for (const run_key &Run : LostRuns)
    endRun(Run, schema::RUN_GONE, "lease_over", Loss);
}

schema::server_loss run_ends::lossWithoutReply() const {
  if (Ledger.Responsive || Ledger.Draining)
    return schema::LOSS_NONE;
  return Ledger.RefusesConnections ? schema::LOSS_REFUSED : schema::LOSS_SILENT;
}

schema::server_loss run_ends::lossWithRestart() const {
  return Ledger.Draining ? schema::LOSS_NONE : schema::LOSS_RESTARTED;
}

void run_ends::onReleased() {
  std::vector<run_key> LostRuns = Ledger.Runs.keys();
  if (!LostRuns.empty())
    announceLoss(lossWithoutReply(), LostRuns);
}

void run_ends::delist() {
  if (std::exchange(Ledger.Delisted, true))
    return;
  Ledger.onCapacityChanged();
}

void run_ends::onServerReplaced() {
  log(log_level::Warning, "server_replaced",
      {{"server", Ledger.Entry.Target.Id}, {"runs", static_cast<std::int64_t>(Ledger.Runs.size())}});
  // Even without runs here, it tells that the runs that were lost before were lost with a crash.
  schema::server_loss Loss = lossWithRestart();
  std::vector<run_key> LostRuns = Ledger.Runs.keys();
  announceLoss(Loss, LostRuns);
  for (const run_key &Run : LostRuns)
    endRun(Run, schema::RUN_GONE, "server_replaced", Loss);
  delist();
}

} // namespace yuccaplank::dispatch
