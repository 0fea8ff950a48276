#include "yuccaplank/model/scheduler.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <numeric>
#include <set>
#include <unordered_map>

namespace yuccaplank::model {
namespace {

using runtime::errc;

struct server {
  schema::backend_entry Entry;
  std::uint32_t Slots = 0;
  std::uint32_t Running = 0;
  bool Listed = true;
  bool Leaving = false;
  [[nodiscard]] bool open() const { return Listed && !Leaving && Running < Slots; }
};

struct task_state {
  std::uint32_t Attempts = 0;
  std::string LastServer;
};

struct job_state {
  scheduler_job Job;
  std::vector<task_state> Tasks;
  /// Indexes of the queued tasks, the longest at the back.
  std::vector<std::uint32_t> Queued;
  std::map<std::uint32_t, task_start> Running;
  bool Started = false;
};

bool fits(const schema::backend_entry &Entry, const schema::task &Task) {
  return Entry.cores() >= Task.cores() && Entry.memory_mb() >= Task.memory_mb() &&
         Entry.accelerators() >= Task.accelerators();
}

/// First come, first served; the longest declared task first; any free server.
class fifo_scheduler final : public scheduler {
public:
  fifo_scheduler(const runtime::clock &Clock, scheduler_options Options)
      : Clock(Clock), Options(std::move(Options)) {}

  void setServers(const std::vector<schema::backend_entry> &Entries) override {
    for (auto &[Id, Server] : Servers)
      Server.Listed = false;
    for (const auto &Entry : Entries) {
      auto &Server = Servers[Entry.id()];
      Server.Entry = Entry;
      Server.Slots = std::min(Entry.slots(), Options.MaxConnectionsPerServer);
      Server.Listed = true;
      Server.Leaving = Entry.state() == schema::BACKEND_LEAVING;
    }
    std::erase_if(Servers, [](const auto &Item) { return !Item.second.Listed && Item.second.Running == 0; });
  }

  void markLeaving(const std::string &Id) override {
    if (auto Found = Servers.find(Id); Found != Servers.end())
      Found->second.Leaving = true;
  }

  void setQuotaShare(double Share) override { Options.QuotaShare = Share; }

  std::optional<admission_refusal> submit(const scheduler_job &Job) override {
    if (auto Refusal = checkFit(Job))
      return Refusal;
    const auto &Tasks = Job.Job->tasks();
    if (QueuedTasks + Tasks.size() > Options.MaxQueuedTasks)
      return admission_refusal{errc::QueueFull, "max_queued_tasks", 1000};
    job_state State;
    State.Job = Job;
    State.Tasks.resize(Tasks.size());
    State.Queued.resize(Tasks.size());
    std::iota(State.Queued.begin(), State.Queued.end(), 0U);
    std::ranges::stable_sort(State.Queued, {}, [&](std::uint32_t I) { return Tasks[I].declared_ms(); });
    QueuedTasks += Tasks.size();
    Order.push_back(Job.Key);
    Jobs.emplace(Job.Key, std::move(State));
    return std::nullopt;
  }

  std::vector<task_start> cancel(job_key Key) override {
    std::vector<task_start> Running;
    auto Found = Jobs.find(Key);
    if (Found == Jobs.end())
      return takeAbandoned(Key);
    for (auto &[Index, Start] : Found->second.Running)
      Running.push_back(Start);
    forget(Found);
    return Running;
  }

  void attemptEnded(const task_ref &Task, const std::string &ServerId, attempt_end End) override {
    if (auto Found = Servers.find(ServerId); Found != Servers.end() && Found->second.Running > 0)
      --Found->second.Running;
    auto Abandoned = AbandonedStarts.find(Task.Job);
    if (Abandoned != AbandonedStarts.end()) {
      std::erase_if(Abandoned->second, [&](const task_start &Start) { return Start.Task == Task; });
      if (Abandoned->second.empty())
        AbandonedStarts.erase(Abandoned);
    }
    auto Found = Jobs.find(Task.Job);
    if (Found == Jobs.end() || Found->second.Running.erase(Task.Index) == 0)
      return;
    auto &Job = Found->second;
    if (End == attempt_end::Failed)
      return fail(Found, errc::ServerError, ServerId);
    if (End == attempt_end::Completed) {
      if (Job.Running.empty() && Job.Queued.empty())
        forget(Found);
      return;
    }
    ++Refused;
    auto MaxAttempts = Job.Job.Service->retry().max_attempts();
    if (Job.Tasks[Task.Index].Attempts >= (MaxAttempts == 0 ? 3 : MaxAttempts))
      return fail(Found, errc::RetriesExhausted, Job.Job.Job->tasks(static_cast<int>(Task.Index)).name());
    Job.Tasks[Task.Index].LastServer = ServerId;
    Job.Queued.push_back(Task.Index);
    ++QueuedTasks;
  }

  std::vector<job_failure> dropQueued(errc Reason) override {
    std::vector<job_failure> Dropped;
    for (auto Key : std::deque<job_key>(Order))
      if (auto Found = Jobs.find(Key); Found != Jobs.end() && !Found->second.Queued.empty()) {
        Dropped.push_back({Key, Reason, {}, Found->second.Started});
        abandon(Found);
      }
    return Dropped;
  }

  scheduler_decisions takeDecisions() override {
    expire();
    scheduler_decisions Decisions;
    Decisions.Failures.swap(Failures);
    for (auto Key : Order) {
      auto &Job = Jobs.at(Key);
      for (std::size_t Position = Job.Queued.size(); Position-- > 0;)
        if (auto *Server = choose(Job, Job.Queued[Position])) {
          Decisions.Starts.push_back(start(Job, Job.Queued[Position], *Server));
          Job.Queued.erase(Job.Queued.begin() + static_cast<std::ptrdiff_t>(Position));
        }
    }
    return Decisions;
  }

  [[nodiscard]] std::optional<runtime::time_point> nextWakeup() const override {
    if (!Failures.empty())
      return Clock.now();
    std::optional<runtime::time_point> Earliest;
    for (const auto &[Key, Job] : Jobs)
      if (!Earliest || Job.Job.Deadline < *Earliest)
        Earliest = Job.Job.Deadline;
    return Earliest;
  }

  [[nodiscard]] double predictResponseMs(const schema::job &Job,
                                         const schema::service_document &) const override {
    double Longest = 0;
    for (const auto &Task : Job.tasks())
      Longest = std::max(Longest, Task.declared_ms());
    return Longest;
  }

  [[nodiscard]] scheduler_load load() const override {
    scheduler_load Load;
    for (const auto &[Id, Server] : Servers) {
      Load.RunningTasks += Server.Running;
      if (!Server.Listed || Server.Leaving)
        continue;
      Load.TotalSlots += Server.Slots;
      Load.FreeSlots += Server.Slots - std::min(Server.Slots, Server.Running);
    }
    Load.QueuedTasks = static_cast<std::uint32_t>(QueuedTasks);
    Load.FreeSpeed = 1;
    Load.Started = Started;
    Load.RefusedStarts = Refused;
    return Load;
  }

  [[nodiscard]] std::vector<server_view> servers() const override {
    std::vector<server_view> Views;
    for (const auto &[Id, Server] : Servers)
      if (Server.Listed)
        Views.push_back({Id, 1, Server.Running, Server.Slots, Server.Leaving ? "leaving" : "live"});
    return Views;
  }

private:
  using job_iterator = std::unordered_map<job_key, job_state>::iterator;

  [[nodiscard]] std::optional<admission_refusal> checkFit(const scheduler_job &Job) const {
    bool PoolKnown = std::ranges::any_of(Servers, [&](const auto &Item) {
      return Item.second.Listed && Item.second.Entry.pool() == Job.Service->pool();
    });
    if (!PoolKnown)
      return admission_refusal{errc::NoFitServer, Job.Service->pool(), 1000};
    for (const auto &Task : Job.Job->tasks()) {
      bool Fit = std::ranges::any_of(Servers, [&](const auto &Item) {
        return Item.second.Listed && Item.second.Entry.pool() == Job.Service->pool() &&
               fits(Item.second.Entry, Task);
      });
      if (!Fit)
        return admission_refusal{errc::NoFitServer, Task.name(), 0};
    }
    return std::nullopt;
  }

  server *choose(const job_state &Job, std::uint32_t Index) {
    server *Fallback = nullptr;
    const auto &Task = Job.Job.Job->tasks(static_cast<int>(Index));
    for (auto &[Id, Server] : Servers) {
      if (!Server.open() || Server.Entry.pool() != Job.Job.Service->pool() || !fits(Server.Entry, Task))
        continue;
      if (Id != Job.Tasks[Index].LastServer)
        return &Server;
      Fallback = &Server;
    }
    return Fallback;
  }

  task_start start(job_state &Job, std::uint32_t Index, server &Server) {
    ++Server.Running;
    ++Job.Tasks[Index].Attempts;
    ++Started;
    --QueuedTasks;
    Job.Started = true;
    task_start Start{{Job.Job.Key, Index}, Server.Entry.id(), Server.Entry.address()};
    Job.Running.emplace(Index, Start);
    return Start;
  }

  void expire() {
    for (auto Key : std::deque<job_key>(Order))
      if (auto Found = Jobs.find(Key); Found->second.Job.Deadline <= Clock.now())
        fail(Found, errc::TaskTimeout, {});
  }

  void fail(job_iterator Found, errc Reason, std::string Subject) {
    Failures.push_back({Found->first, Reason, std::move(Subject), Found->second.Started});
    abandon(Found);
  }

  /// Keeps the running tasks until the user asks for them by cancel() or they end.
  void abandon(job_iterator Found) {
    auto &Starts = AbandonedStarts[Found->first];
    for (auto &[Index, Start] : Found->second.Running)
      Starts.push_back(Start);
    if (Starts.empty())
      AbandonedStarts.erase(Found->first);
    forget(Found);
  }

  void forget(job_iterator Found) {
    QueuedTasks -= Found->second.Queued.size();
    std::erase(Order, Found->first);
    Jobs.erase(Found);
  }

  std::vector<task_start> takeAbandoned(job_key Key) {
    auto Found = AbandonedStarts.find(Key);
    if (Found == AbandonedStarts.end())
      return {};
    auto Starts = std::move(Found->second);
    AbandonedStarts.erase(Found);
    return Starts;
  }

  const runtime::clock &Clock;
  scheduler_options Options;
  std::map<std::string, server> Servers;
  std::unordered_map<job_key, job_state> Jobs;
  std::deque<job_key> Order;
  std::unordered_map<job_key, std::vector<task_start>> AbandonedStarts;
  std::vector<job_failure> Failures;
  std::size_t QueuedTasks = 0;
  std::uint64_t Started = 0;
  std::uint64_t Refused = 0;
};

} // namespace

std::unique_ptr<scheduler> makeScheduler(const runtime::clock &Clock, scheduler_options Options) {
  return std::make_unique<fifo_scheduler>(Clock, std::move(Options));
}

} // namespace yuccaplank::model
