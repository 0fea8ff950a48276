// The record of one server is kept by five parts: claims (server_claims), starts and stops (run_orders),
// holds and lists (run_lists), ends (run_ends) and health (server_watch). They share a ledger_state.
#include "yuccaplank/dispatch/server_ledger.hpp"
#include "run_ends.hpp"
#include "run_lists.hpp"
#include "run_orders.hpp"
#include "server_claims.hpp"
#include "server_watch.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <set>

namespace yuccaplank::dispatch {
namespace {

class server_ledger_impl final : public server_ledger {
public:
  server_ledger_impl(runtime::executor &Executor, ledger_ports &Ports, server_entry Entry,
                     const ledger_options &Options, std::shared_ptr<fleet_shares> Fleet)
      : Ledger(Executor, Ports, std::move(Entry), Options),
        Watch(Ledger, Parts, Fleet ? std::move(Fleet) : std::make_shared<fleet_shares>()) {}
  server_ledger_impl(const server_ledger_impl &) = delete;
  server_ledger_impl &operator=(const server_ledger_impl &) = delete;
  ~server_ledger_impl() override = default;

  void claim() override { Claims.claim(); }
  void onClaimedElsewhere(std::uint64_t OtherToken) override { Claims.onClaimedElsewhere(OtherToken); }
  void requestRunList() override { Lists.requestRunList(); }
  void release() override { Claims.release(); }

  void update(const server_entry &Updated) override {
    server_entry &Entry = Ledger.Entry;
    bool Returned = std::exchange(Ledger.Delisted, false);
    if (!areEqual(Updated.Capacity, Entry.Capacity))
      runtime::log(runtime::log_level::Info, "server_capacity_changed",
                   {{"server", Entry.Target.Id},
                    {"cpu", std::int64_t{Updated.Capacity.cpu()}},
                    {"former_cpu", std::int64_t{Entry.Capacity.cpu()}}});
    bool Changed = Returned || Updated.Draining != Entry.Draining ||
                   Updated.Target.Address != Entry.Target.Address ||
                   Updated.IncarnationStartMs != Entry.IncarnationStartMs || Updated.Rack != Entry.Rack ||
                   !areEqual(Updated.Capacity, Entry.Capacity);
    Entry = Updated;
    Ledger.updateDraining();
    if (Changed)
      Ledger.onCapacityChanged();
    // The server may have restarted since its latest list.
    if (owned() && !Ledger.entryDescribesIncarnation())
      requestRunList();
  }

  void setEvacuated(bool IsEvacuated) override {
    if (std::exchange(Ledger.Evacuated, IsEvacuated) != IsEvacuated)
      Ledger.onCapacityChanged();
  }

  void suspendStarts(bool Suspend) override {
    if (std::exchange(Ledger.StartsSuspended, Suspend) != Suspend)
      Ledger.onCapacityChanged();
  }

  void delist() override { Ends.delist(); }
  [[nodiscard]] bool mayBeRemoved() const override { return Ledger.Delisted && Ledger.Runs.empty(); }

  void start(const std::string &Coordinator, const schema::start_task &Request) override {
    Orders.start(Coordinator, Request);
  }

  void stop(const std::string &Coordinator, const run_key &Run) override {
    server_run *Found = Ledger.Runs.find(Run);
    if (Found && Found->Coordinator == Coordinator)
      Orders.stopRun(Run, *Found, "asked");
  }

  void adopt(const std::string &Coordinator, const schema::adopt_reply &Reply) override {
    Claims.adopt(Coordinator, Reply);
  }
  bool resendAdoption(const std::string &Coordinator) override { return Claims.resendAdoption(Coordinator); }

  void stopRunsOf(const std::string &Coordinator) override {
    for (auto &[Run, State] : Ledger.Runs)
      if (State.Coordinator == Coordinator)
        Orders.stopRun(Run, State, "coordinator_lost");
  }

  void resume(const std::string &Coordinator, const schema::resume_session &Session) override {
    std::set<run_key> ExpectedRuns;
    for (const schema::counted_run &Run : Session.runs())
      ExpectedRuns.insert(toRunKey(Run.task()));
    for (auto &[Run, State] : Ledger.Runs) {
      bool IsExpected = ExpectedRuns.contains(Run);
      // A run that was found at a takeover may be claimed late. Its coordinator then receives the run's end.
      if (State.Coordinator.empty() && IsExpected && owned())
        State.Coordinator = Coordinator;
      if (State.Coordinator == Coordinator && !IsExpected)
        Orders.stopRun(Run, State, "not_counted_on");
    }
  }

  [[nodiscard]] bool idle() const override { return Ledger.Runs.empty(); }
  [[nodiscard]] bool containsRun(const run_key &Run) const override { return Ledger.Runs.contains(Run); }
  [[nodiscard]] std::uint64_t highestToken() const override { return Claims.highestToken(); }
  [[nodiscard]] bool owned() const override { return Ledger.Ownership == ownership::Owned; }
  [[nodiscard]] bool unowned() const override { return Ledger.Ownership == ownership::None; }

  [[nodiscard]] schema::server_state state() const override {
    schema::server_state State;
    State.set_server(Ledger.Entry.Target.Id);
    State.set_domain(Ledger.Entry.Domain);
    State.set_pool(Ledger.Entry.Pool);
    State.set_rack(Ledger.Entry.Rack);
    *State.mutable_capacity() = Ledger.Entry.Capacity;
    *State.mutable_used() = Ledger.Runs.used(Ledger.Entry.Capacity);
    State.set_usable(Orders.usable());
    State.set_removed(unowned());
    State.set_tasks(static_cast<std::uint32_t>(Ledger.Runs.size()));
    State.set_token(Ledger.Token);
    State.set_evacuated(Ledger.Evacuated);
    Watch.describe(State);
    return State;
  }

  void tick() override {
    time_point Now = Ledger.now();
    Orders.forgetOldStarts(Now);
    if (unowned())
      return;
    Ends.endExpiredRuns(Now);
    Watch.updateLongRuns(Now);
    Watch.stopOverdueRuns(Now);
    Orders.updateStopsOverdue(Now);
    Lists.refreshIdleList(Now);
    Watch.endExpiredJudgements(Now);
  }

private:
  ledger_state Ledger;
  ledger_parts Parts{Claims, Orders, Lists, Ends, Watch};
  server_claims Claims{Ledger, Parts};
  run_orders Orders{Ledger, Parts};
  run_lists Lists{Ledger, Parts};
  run_ends Ends{Ledger, Parts};
  server_watch Watch;
};

} // namespace

std::unique_ptr<server_ledger> makeServerLedger(runtime::executor &Executor, ledger_ports &Ports,
                                                server_entry Entry, ledger_options Options,
                                                std::shared_ptr<fleet_shares> Fleet) {
  return std::make_unique<server_ledger_impl>(Executor, Ports, std::move(Entry), Options, std::move(Fleet));
}

} // namespace yuccaplank::dispatch
