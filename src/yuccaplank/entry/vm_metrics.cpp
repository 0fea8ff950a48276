#include "vm_metrics.hpp"
#include "yuccaplank/runtime/metric_family.hpp"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <initializer_list>
#include <utility>
#include <vector>

namespace yuccaplank::entry {
namespace {

using dispatch::entry_vm_state;
using prometheus::MetricFamily;
using prometheus::MetricType;

struct metric_entry {
  const char *Name;
  const char *Help;
  MetricType Type;
  double (*Value)(const entry_vm_state &);
};

constexpr double MsPerSecond = 1000;

template <typename Number> double toDouble(Number Value) { return static_cast<double>(Value); }

constexpr auto Metrics = std::to_array<metric_entry>({
    {"yuccaplank_jobs_submitted_total", "Jobs taken from callers.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Coordinator.Submitted); }},
    {"yuccaplank_jobs_completed_total", "Jobs answered as completed.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Coordinator.Completed); }},
    {"yuccaplank_jobs_failed_total", "Jobs answered as failed.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Coordinator.Failed); }},
    {"yuccaplank_jobs_refused_total", "Jobs refused of which nothing ran.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Coordinator.Refused); }},
    {"yuccaplank_jobs_timed_out_total", "Jobs that ended at their deadline.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Coordinator.TimedOut); }},
    {"yuccaplank_jobs_cancelled_total", "Jobs whose caller left or cancelled.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Coordinator.Cancelled); }},
    {"yuccaplank_tasks_placed_again_total", "Tasks that waited for a server once more.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Coordinator.TasksPlacedAgain); }},
    {"yuccaplank_placements_delayed_total", "Tasks whose placement was delayed after two refusals.",
     MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Coordinator.PlacementsDelayed); }},
    {"yuccaplank_runs_orphaned_total", "Runs whose owner was lost.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Coordinator.Orphaned); }},
    {"yuccaplank_runs_adopted_total", "Runs that went on under a new owner.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Coordinator.Adopted); }},
    {"yuccaplank_starts_total", "Start orders sent to servers.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Ledger.Started); }},
    {"yuccaplank_starts_refused_total", "Starts refused by the owner.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Ledger.Refused); }},
    {"yuccaplank_server_entries_age_seconds",
     "Time for which the entries of servers that decide starts may have been outdated.", MetricType::Gauge,
     [](const entry_vm_state &State) { return runtime::toMs(State.ServerEntries.Age) / 1000; }},
    {"yuccaplank_server_entries_requests_total",
     "Requests to other VMs for changes of servers' entries, because the store turns this VM away.",
     MetricType::Counter, [](const entry_vm_state &State) { return toDouble(State.ServerEntries.Requests); }},
    {"yuccaplank_server_entries_learnt_total", "Answers to these requests that told a change.",
     MetricType::Counter, [](const entry_vm_state &State) { return toDouble(State.ServerEntries.Learnt); }},
    {"yuccaplank_starts_suspended_total",
     "Times that starts waited because another VM may have known newer entries of servers.",
     MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.ServerEntries.Suspensions); }},
    {"yuccaplank_runs_done_total", "Runs that ended well.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Ledger.Done); }},
    {"yuccaplank_runs_failed_total", "Runs that ended as failed.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Ledger.Failed); }},
    {"yuccaplank_runs_gone_total", "Runs stopped or lapsed.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Ledger.Gone); }},
    {"yuccaplank_runs_overdue_total", "Runs stopped because they took too long.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Ledger.Overdue); }},
    {"yuccaplank_runs_overdue_early_total", "Runs stopped sooner because their server probably hangs.",
     MetricType::Counter, [](const entry_vm_state &State) { return toDouble(State.Ledger.OverdueEarly); }},
    {"yuccaplank_servers_quarantined_total", "Quarantines of owned servers.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Ledger.Quarantines); }},
    {"yuccaplank_stops_total", "Stop orders sent to servers.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Ledger.Stops); }},
    {"yuccaplank_holds_total", "Renewals of leases sent to servers.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Ledger.Holds); }},
    {"yuccaplank_orders_unanswered_total", "Orders without an answer in time.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Ledger.UnansweredOrders); }},
    {"yuccaplank_starts_suspected_total", "Start orders whose reply was overdue.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Ledger.SuspectedStarts); }},
    {"yuccaplank_starts_confirmed_total", "Overdue start orders that a server's list showed to be running.",
     MetricType::Counter, [](const entry_vm_state &State) { return toDouble(State.Ledger.ConfirmedStarts); }},
    {"yuccaplank_servers_crashed_total", "Servers that have restarted while tasks ran there.",
     MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Ledger.ServersRestarted); }},
    {"yuccaplank_servers_refused_total",
     "Servers that refused connections until the lease of the tasks there had expired.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Ledger.ServersRefused); }},
    {"yuccaplank_servers_silent_total",
     "Servers that did not reply until the lease of the tasks there had expired.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Ledger.ServersSilent); }},
    {"yuccaplank_runs_lost_total", "Runs that were lost with their server, or with the path to it.",
     MetricType::Counter, [](const entry_vm_state &State) { return toDouble(State.Coordinator.RunsLost); }},
    {"yuccaplank_jobs_suspended_total",
     "Jobs that had to wait until it was known whether their servers had crashed.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Coordinator.Suspended); }},
    {"yuccaplank_grants_total", "Servers granted to tasks by this VM as placer.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Placement.Granted); }},
    {"yuccaplank_grants_expired_total", "Grants of which nothing was heard.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Placement.GrantsExpired); }},
    {"yuccaplank_placements_rejected_total", "Jobs for which no server was found in time.",
     MetricType::Counter, [](const entry_vm_state &State) { return toDouble(State.Placement.Rejected); }},
    {"yuccaplank_placements_rejected_by_backlog_total",
     "Jobs that the placer refused because they would not begin in time.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Placement.RejectedByBacklog); }},
    {"yuccaplank_placements_rejected_for_memory_total",
     "Jobs that the placer refused because the memory for waiting tasks was in use.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Placement.RejectedForMemory); }},
    {"yuccaplank_grants_by_share_total", "Servers granted to jobs of queues below their guaranteed share.",
     MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Placement.GrantedByShare); }},
    {"yuccaplank_jobs_shed_total",
     "Jobs that this VM refused without a message because of the placer's backlog.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.ShedJobs); }},
    {"yuccaplank_tasks_placed_on_rack_total", "Tasks placed on the rack of their data.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Placement.Locality.PlacedOnRack); }},
    {"yuccaplank_tasks_placed_off_rack_total", "Tasks placed outside the rack of their data.",
     MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Placement.Locality.PlacedElsewhere); }},
    {"yuccaplank_rack_waits_paid_total", "Tasks placed on the rack of their data after a wait for it.",
     MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Placement.Locality.WaitsPaid); }},
    {"yuccaplank_rack_waits_given_up_total",
     "Tasks placed elsewhere after a wait for the rack of their data.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.Placement.Locality.WaitsGivenUp); }},
    {"yuccaplank_tasks_waiting", "Tasks that wait at this VM as placer.", MetricType::Gauge,
     [](const entry_vm_state &State) { return toDouble(State.Placement.WaitingTasks); }},
    {"yuccaplank_jobs", "Jobs in progress that this VM coordinates.", MetricType::Gauge,
     [](const entry_vm_state &State) { return toDouble(State.Jobs); }},
    {"yuccaplank_relayed_jobs", "Jobs in progress of callers of this VM that other VMs coordinate.",
     MetricType::Gauge, [](const entry_vm_state &State) { return toDouble(State.RelayedJobs); }},
    {"yuccaplank_dispatching", "Whether this VM dispatches.", MetricType::Gauge,
     [](const entry_vm_state &State) { return State.Dispatching ? 1.0 : 0.0; }},
    {"yuccaplank_servers_owned", "Servers that this VM orders.", MetricType::Gauge,
     [](const entry_vm_state &State) { return toDouble(State.Servers.Owned); }},
    {"yuccaplank_servers_usable", "Owned servers that take work.", MetricType::Gauge,
     [](const entry_vm_state &State) { return toDouble(State.Servers.Usable); }},
    {"yuccaplank_runs", "Runs on the owned servers.", MetricType::Gauge,
     [](const entry_vm_state &State) { return toDouble(State.Servers.Runs); }},
    {"yuccaplank_vms_in_contact", "Other entry VMs in contact.", MetricType::Gauge,
     [](const entry_vm_state &State) { return toDouble(State.VmsInContact); }},
    {"yuccaplank_oldest_answer_seconds",
     "Age of the oldest heartbeat that is the last one answered by a VM in contact; contact ends at 0.56.",
     MetricType::Gauge,
     [](const entry_vm_state &State) { return runtime::toMs(State.OldestAnswer) / MsPerSecond; }},
    {"yuccaplank_echoes_ignored_total", "Answers to heartbeats that were too old or never sent.",
     MetricType::Counter, [](const entry_vm_state &State) { return toDouble(State.IgnoredEchoes); }},
    {"yuccaplank_relayed_jobs_declined_total", "Jobs of VMs out of contact, which were not taken.",
     MetricType::Counter, [](const entry_vm_state &State) { return toDouble(State.DeclinedJobs); }},
    {"yuccaplank_relayed_jobs_refused_total",
     "Jobs of other VMs that were refused because the memory for them was in use.", MetricType::Counter,
     [](const entry_vm_state &State) { return toDouble(State.RelayedJobsRefused); }},
    {"yuccaplank_placing", "Whether this VM places tasks.", MetricType::Gauge,
     [](const entry_vm_state &State) { return State.Placing ? 1.0 : 0.0; }},
});

// Runs that are left on the owned servers of each evacuated failure domain; no value for other domains.
MetricFamily makeEvacuationFamily(const entry_vm_state &State) {
  MetricFamily Family{"yuccaplank_evacuated_domain_runs",
                      "Runs left on the servers of an evacuated domain that this VM owns.",
                      MetricType::Gauge,
                      {}};
  for (const auto &[Domain, Runs] : State.RunsInEvacuatedDomains) {
    prometheus::ClientMetric Metric;
    Metric.label = {{"domain", Domain}};
    Metric.gauge.value = Runs;
    Family.metric.push_back(Metric);
  }
  return Family;
}

// Returns a family of counters that differ in their label "reason".
MetricFamily makeReasonFamily(const char *Name, const char *Help,
                              std::initializer_list<std::pair<const char *, std::uint64_t>> Counts) {
  MetricFamily Family{Name, Help, MetricType::Counter, {}};
  for (const auto &[Reason, Count] : Counts) {
    prometheus::ClientMetric Metric;
    Metric.label = {{"reason", Reason}};
    Metric.counter.value = toDouble(Count);
    Family.metric.push_back(Metric);
  }
  return Family;
}

constexpr auto Outcomes = std::to_array({dispatch::job_outcome::Completed, dispatch::job_outcome::Failed,
                                         dispatch::job_outcome::Refused, dispatch::job_outcome::TimedOut,
                                         dispatch::job_outcome::Cancelled});
const prometheus::Histogram::BucketBoundaries AnswerBuckets{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5,
                                                            0.75, 1,     1.5,  2,   3,    5,    10};

class vm_metrics_impl final : public vm_metrics {
public:
  vm_metrics_impl()
      : AnswerSeconds(prometheus::BuildHistogram()
                          .Name("yuccaplank_answer_seconds")
                          .Help("Time from a caller's request to its answer.")
                          .Register(Registry)) {
    for (dispatch::job_outcome Outcome : Outcomes)
      Histograms.push_back(
          &AnswerSeconds.Add({{"outcome", std::string(jobOutcomeName(Outcome))}}, AnswerBuckets));
  }

  void observeAnswer(dispatch::job_outcome Outcome, runtime::duration Latency) override {
    Histograms.at(static_cast<std::size_t>(Outcome))->Observe(runtime::toMs(Latency) / MsPerSecond);
  }

  std::string serialize(const entry_vm_state &State, const process_counts &Counts) override {
    std::vector<MetricFamily> Families = Registry.Collect();
    for (const metric_entry &Entry : Metrics)
      Families.push_back(runtime::makeMetricFamily(Entry.Name, Entry.Help, Entry.Type, Entry.Value(State)));
    Families.push_back(runtime::makeMetricFamily("yuccaplank_callers_waiting",
                                                 "Callers that wait for an answer.", MetricType::Gauge,
                                                 toDouble(Counts.PendingCallers)));
    Families.push_back(
        runtime::makeMetricFamily("yuccaplank_evacuations_ignored_total",
                                  "Requests for evacuations that cannot be read or name no domain.",
                                  MetricType::Counter, toDouble(Counts.IgnoredEvacuations)));
    Families.push_back(makeReasonFamily("yuccaplank_requests_not_passed_on_total",
                                        "Callers' requests that their callers may have sent to another VM.",
                                        {{"connection_closing", Counts.DroppedOnClosing},
                                         {"caller_left", Counts.DroppedCallerLeft},
                                         {"read_late", Counts.JobsReadLate}}));
    Families.push_back(
        makeReasonFamily("yuccaplank_unfinished_requests_refused_total",
                         "Requests refused before they had arrived completely.",
                         {{"memory", Counts.RefusedForMemory}, {"time", Counts.RefusedForTime}}));
    Families.push_back(
        makeReasonFamily("yuccaplank_connection_limit_reached_total",
                         "Callers' connections that met the limit of connections.",
                         {{"replaced", Counts.ConnectionsReplaced}, {"refused", Counts.ConnectionsRefused}}));
    Families.push_back(makeEvacuationFamily(State));
    return prometheus::TextSerializer().Serialize(Families);
  }

private:
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Histogram> &AnswerSeconds;
  std::vector<prometheus::Histogram *> Histograms;
};

} // namespace

std::unique_ptr<vm_metrics> makeVmMetrics() { return std::make_unique<vm_metrics_impl>(); }

} // namespace yuccaplank::entry
