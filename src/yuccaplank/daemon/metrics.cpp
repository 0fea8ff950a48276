#include "metrics.hpp"
#include "yuccaplank/runtime/metric_family.hpp"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace yuccaplank::daemon {
namespace {

using prometheus::MetricFamily;
using prometheus::MetricType;

struct counter_entry {
  const char *Name;
  const char *Help;
  std::uint64_t node::node_counters::*Member;
};

constexpr auto NodeCounters = std::to_array<counter_entry>({
    {"yuccaplank_jobs_done_total", "Submissions answered completely.", &node::node_counters::JobsDone},
    {"yuccaplank_jobs_failed_total", "Submissions that failed and may have run.",
     &node::node_counters::JobsFailed},
    {"yuccaplank_jobs_refused_total", "Submissions refused, not run.", &node::node_counters::JobsRefused},
    {"yuccaplank_jobs_unknown_total", "Submissions whose outcome is unknown.",
     &node::node_counters::JobsUnknown},
    {"yuccaplank_jobs_forwarded_total", "Submissions forwarded to their authority.",
     &node::node_counters::JobsForwarded},
    {"yuccaplank_jobs_overflowed_total", "Jobs run by another dispatcher for this authority.",
     &node::node_counters::JobsOverflowed},
    {"yuccaplank_tasks_started_total", "Attempts to start a task.", &node::node_counters::TasksStarted},
    {"yuccaplank_tasks_completed_total", "Tasks with a complete result.",
     &node::node_counters::TasksCompleted},
    {"yuccaplank_tasks_failed_total", "Tasks that may have started and have no result.",
     &node::node_counters::TasksFailed},
    {"yuccaplank_starts_refused_total", "Attempts that certainly did not start.",
     &node::node_counters::StartsRefused},
    {"yuccaplank_stops_sent_total", "Stop requests for running tasks.", &node::node_counters::StopsSent},
    {"yuccaplank_peer_messages_sent_total", "Envelopes sent to other entry VMs.",
     &node::node_counters::PeerMessagesSent},
});

struct load_entry {
  const char *Name;
  const char *Help;
  double (*Value)(const model::scheduler_load &);
};

constexpr auto LoadGauges = std::to_array<load_entry>({
    {"yuccaplank_slots_free", "Free slots of the failure domain as this VM sees them.",
     [](const model::scheduler_load &Load) { return static_cast<double>(Load.FreeSlots); }},
    {"yuccaplank_slots", "Slots of the failure domain.",
     [](const model::scheduler_load &Load) { return static_cast<double>(Load.TotalSlots); }},
    {"yuccaplank_tasks_running", "Tasks that occupy a slot.",
     [](const model::scheduler_load &Load) { return static_cast<double>(Load.RunningTasks); }},
    {"yuccaplank_tasks_queued", "Tasks that wait for a slot.",
     [](const model::scheduler_load &Load) { return static_cast<double>(Load.QueuedTasks); }},
    {"yuccaplank_queued_bytes", "Bytes of queued job documents.",
     [](const model::scheduler_load &Load) { return static_cast<double>(Load.QueuedBytes); }},
    {"yuccaplank_backlog_seconds", "Queued work divided by the capacity.",
     [](const model::scheduler_load &Load) { return Load.BacklogMs / 1000; }},
});

const prometheus::Histogram::BucketBoundaries JobBuckets{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75,
                                                         1,    1.5,   2,    3,   5,    10,  30};

class metrics_impl final : public metrics {
public:
  explicit metrics_impl(metrics_sources Sources)
      : Sources(Sources), JobSeconds(prometheus::BuildHistogram()
                                         .Name("yuccaplank_job_response_seconds")
                                         .Help("Time from a submission to its answer.")
                                         .Register(Registry)) {
    for (const char *Outcome : {"unspecified", "done", "failed", "refused", "unknown", "pending"})
      Histograms.push_back(&JobSeconds.Add({{"outcome", Outcome}}, JobBuckets));
  }

  void observeJob(schema::outcome_kind Outcome, double Seconds) override {
    Histograms[static_cast<std::size_t>(Outcome)]->Observe(Seconds);
  }

  std::string text() override {
    std::vector<MetricFamily> Families = Registry.Collect();
    node::node_counters Counters = Sources.Node.counters();
    for (const counter_entry &Entry : NodeCounters)
      addCounter(Families, Entry.Name, Entry.Help, Counters.*Entry.Member);
    model::scheduler_load Load = Sources.Node.load();
    for (const load_entry &Entry : LoadGauges)
      addGauge(Families, Entry.Name, Entry.Help, Entry.Value(Load));
    addGauge(Families, "yuccaplank_dispatcher", "1 when this VM is the dispatcher of its failure domain.",
             Sources.Node.isDispatcher() ? 1 : 0);
    addGauge(Families, "yuccaplank_jobs_in_progress", "Jobs that run or are awaited here.",
             static_cast<double>(Sources.Node.jobsInProgress()));
    addGauge(Families, "yuccaplank_outcomes_retained_bytes", "Bytes of kept outcomes.",
             static_cast<double>(Sources.Node.jobUsage().RetainedBytes));
    auto Platform = Sources.Table.totals();
    addCounter(Families, "yuccaplank_platform_reads_total", "Reads of the platform's table.", Platform.Reads);
    addCounter(Families, "yuccaplank_platform_writes_total", "Writes to the platform's table.",
               Platform.Writes);
    if (Sources.Transport) {
      auto Peers = Sources.Transport->totals();
      addCounter(Families, "yuccaplank_peer_bytes_sent_total", "Bytes sent to other entry VMs.",
                 Peers.BytesSent);
      addCounter(Families, "yuccaplank_peer_bytes_received_total", "Bytes received from other entry VMs.",
                 Peers.BytesReceived);
    }
    return prometheus::TextSerializer().Serialize(Families);
  }

private:
  static void addCounter(std::vector<MetricFamily> &Families, const char *Name, const char *Help,
                         std::uint64_t Value) {
    Families.push_back(
        runtime::makeMetricFamily(Name, Help, MetricType::Counter, static_cast<double>(Value)));
  }
  static void addGauge(std::vector<MetricFamily> &Families, const char *Name, const char *Help,
                       double Value) {
    Families.push_back(runtime::makeMetricFamily(Name, Help, MetricType::Gauge, Value));
  }

  metrics_sources Sources;
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Histogram> &JobSeconds;
  std::vector<prometheus::Histogram *> Histograms;
};

} // namespace

std::unique_ptr<metrics> makeMetrics(metrics_sources Sources) {
  return std::make_unique<metrics_impl>(Sources);
}

} // namespace yuccaplank::daemon
