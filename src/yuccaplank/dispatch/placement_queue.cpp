#include "yuccaplank/dispatch/placement_queue.hpp"
#include "admission/admission_control.hpp"
#include "admission/known_backlogs.hpp"
#include "job_memory.hpp"
#include "locality/advisor.hpp"
#include "memory_budget.hpp"
#include "outstanding_grants.hpp"
#include "pool_index.hpp"
#include "resource_amounts.hpp"
#include "unplaceable_sizes.hpp"
#include "waiting_job.hpp"
#include "yuccaplank/dispatch/job_answer.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace yuccaplank::dispatch {
namespace {

using runtime::duration;
using runtime::time_point;
using std::chrono::milliseconds;

struct known_server {
  std::string Owner;
  schema::server_state State;
  // As last reported to admission control.
  admission::core_usage Usage;
  // Thousandths of a core in use, as last reported to the locality advisor.
  std::int64_t ReportedCpu = 0;
};

class placement_queue_impl final : public placement_queue {
public:
  placement_queue_impl(const runtime::clock &Clock, send_function Send, placement_options OptionsIn)
      : Clock(Clock), Send(std::move(Send)), Options(std::move(OptionsIn)), Admission(Options.Admission),
        WaitingMemory(Options.MaxWaitingBytes), Locality(Clock, Options.Locality) {}

  void enqueue(const std::string &Coordinator, const schema::place_job &Request) override {
    time_point Now = Clock.now();
    if (!Locality.observesRacks() && Locality.concerns(Request)) {
      Locality.observeRacks();
      for (auto &[Id, Server] : Servers)
        reportRackUsage(Server);
    }
    auto [Entry, IsNew] = Jobs.try_emplace({Coordinator, jobOf(Request)});
    waiting_job &Job = Entry->second;
    if (IsNew) {
      Job.Coordinator = Coordinator;
      Job.ArrivedAt = Now;
    }
    Job.Started = Request.started();
    Job.ObjectiveEndsAt = Now + milliseconds(Request.objective_left_ms());
    Job.UsefulUntil = Now + milliseconds(Request.late_left_ms());
    Job.Deadline = Now + milliseconds(Request.deadline_left_ms());
    for (const schema::task_run &Task : Request.tasks()) {
      Job.WaitingRuns[Task.index()] = Task.run();
      Job.Suspects.erase(Task.index());
    }
    Job.Suspects.insert(Request.suspects().begin(), Request.suspects().end());
    Job.Request = Request;
    // The tasks are kept in WaitingRuns and Suspects.
    google::protobuf::RepeatedPtrField<schema::task_run>().Swap(Job.Request.mutable_tasks());
    Job.Request.clear_suspects();
    if (!IsNew)
      return;
    if (!reserveMemory(Job)) {
      reject(Job, schema::REJECT_MEMORY_LIMIT, Now);
      Jobs.erase(Entry);
    } else if (!Job.Started) {
      Admission.onArrival(Now, makeDemand(Job, Now));
    }
  }

  void withdraw(const std::string &Coordinator, const schema::withdraw_job &Withdrawal) override {
    auto Found = Jobs.find({Coordinator, jobOf(Withdrawal)});
    if (Found == Jobs.end())
      return;
    for (std::uint32_t Index : Withdrawal.indexes())
      Found->second.WaitingRuns.erase(Index);
    if (Withdrawal.indexes().empty() || Found->second.WaitingRuns.empty())
      Jobs.erase(Found);
  }

  void decline(const std::string &Coordinator, const schema::decline_grant &Declined) override {
    releaseGrant(Declined.id());
    if (!Declined.unreachable_owner().empty())
      UnreachableUntil[{Coordinator, Declined.unreachable_owner()}] =
          Clock.now() + Options.UnreachableOwnerTimeout;
  }

  void updateServer(const std::string &Owner, const schema::server_state &State) override {
    auto Found = Servers.find(State.server());
    bool Outdated = Found != Servers.end() && Found->second.Owner != Owner &&
                    (State.removed() || Found->second.State.token() > State.token());
    // The state includes the tasks of the handled grants, so that their cores stay in use.
    for (std::uint64_t Grant : State.handled())
      Grants.remove(Grant);
    if (Outdated) {
      updateIndex(Found->second);
      return;
    }
    if (State.removed()) {
      if (Found != Servers.end())
        eraseServer(Found);
      return;
    }
    if (Found != Servers.end() &&
        (Found->second.State.pool() != State.pool() || Found->second.State.rack() != State.rack()))
      eraseServer(Found);
    known_server &Server = Servers[State.server()];
    if (State.evacuated() && !Server.State.evacuated())
      LastEvacuatedAt[State.pool()] = Clock.now();
    Server.Owner = Owner;
    Server.State = State;
    Server.State.clear_handled();
    updateIndex(Server);
    reportRackUsage(Server);
  }

  void removeVm(const std::string &Vm) override {
    for (auto Server = Servers.begin(); Server != Servers.end();)
      Server = Server->second.Owner == Vm ? eraseServer(Server) : std::next(Server);
    std::erase_if(Jobs, [&](const auto &Entry) { return Entry.first.Coordinator == Vm; });
    for (std::uint64_t Id : Grants.ofCoordinator(Vm))
      releaseGrant(Id);
  }

  void schedule() override {
    time_point Now = Clock.now();
    expireGrants(Now);
    std::erase_if(UnreachableUntil, [&](const auto &Entry) { return Entry.second <= Now; });
    Locality.beginPass(Unplaceable.pools());
    Unplaceable.clear();
    Admission.beginPass();
    for (waiting_job *Job : sortJobs(Now)) {
      if (rejectIfNotServable(*Job, Now))
        continue;
      grantTasks(*Job, Now);
      // A job that waits for the rack of its data by choice does not wait for those before it.
      if (!Job->WaitingRuns.empty() && !Job->Place.Waits)
        rejectIfBacklogTooLong(*Job, Now);
    }
    std::erase_if(Jobs, [](const auto &Entry) { return Entry.second.WaitingRuns.empty(); });
  }

  [[nodiscard]] std::size_t waitingJobs() const override { return Jobs.size(); }

  [[nodiscard]] placement_counters counters() const override {
    placement_counters Result = Counters;
    for (const auto &[Key, Job] : Jobs)
      Result.WaitingTasks += Job.WaitingRuns.size();
    Result.Servers = Servers.size();
    Result.Locality = Locality.count();
    return Result;
  }

  void restartObservation() override {
    Admission = admission::admission_control(Options.Admission);
    for (auto &[Id, Server] : Servers)
      Server.Usage = {};
  }

  void predictBacklogs(admission::known_backlogs &Backlogs) const override {
    Backlogs.setOwn(Clock.now(), Admission.backlogs(Clock.now()));
  }

private:
  [[nodiscard]] duration expectedRunTime(const waiting_job &Job) const {
    return runtime::fromMs(Job.Request.estimate_ms() * Locality.expectedFactor(Job.Request, Job.Place));
  }

  [[nodiscard]] prospect estimateProspect(const waiting_job &Job, time_point Now) const {
    time_point End = Now + expectedRunTime(Job);
    if (End <= Job.ObjectiveEndsAt)
      return prospect::InTime;
    return End <= Job.latestEnd() ? prospect::Late : prospect::TooLate;
  }

  // Late jobs are served after all others.
  [[nodiscard]] static std::uint32_t servicePriority(const waiting_job &Job, prospect Prospect) {
    return Prospect == prospect::InTime ? Job.Request.priority() : std::numeric_limits<std::uint32_t>::max();
  }

  // The job's tasks have to start in time for its objective or, if that is out of reach, for any value.
  [[nodiscard]] admission::waiting_demand makeDemand(const waiting_job &Job, time_point Now) const {
    prospect Prospect = estimateProspect(Job, Now);
    std::uint32_t Priority = servicePriority(Job, Prospect);
    std::uint32_t Urgency = Job.OwedShare ? 0 : Priority;
    time_point LatestEnd = Prospect == prospect::InTime ? Job.ObjectiveEndsAt : Job.latestEnd();
    time_point LatestStart = LatestEnd - expectedRunTime(Job);
    return {Job.Request.pool(), jobOf(Job.Request), Priority, Urgency, Job.waitingCpu(), LatestStart};
  }

  [[nodiscard]] service_rank rankOf(const waiting_job &Job, time_point Now) const {
    prospect Prospect = estimateProspect(Job, Now);
    if (Prospect != prospect::InTime)
      return Prospect == prospect::Late ? service_rank::Late : service_rank::TooLate;
    if (Job.Started)
      return service_rank::Started;
    return Job.OwedShare ? service_rank::OwedShare : service_rank::InTime;
  }

  // Marks the jobs that come before others because of their queue's guaranteed share: the earliest ones, as
  // far as they use up what the queue is owed.
  void markOwedShares(time_point Now) {
    if (!Admission.hasShares())
      return;
    std::map<std::string, std::vector<waiting_job *>> JobsByQueue;
    for (auto &[Key, Job] : Jobs) {
      Job.OwedShare = false;
      if (!Job.Started && estimateProspect(Job, Now) == prospect::InTime)
        JobsByQueue[Job.Request.queue()].push_back(&Job);
    }
    for (auto &[Queue, Waiting] : JobsByQueue) {
      const schema::place_job &Request = Waiting.front()->Request;
      double Owed = Admission.accrueShare(Now, Request.pool(), Queue, Request.priority());
      std::ranges::sort(Waiting, {}, &waiting_job::ArrivedAt);
      for (waiting_job *Job : Waiting) {
        Job->OwedShare = Owed > 0;
        Owed -= static_cast<double>(Job->waitingCpu()) * Job->Request.estimate_ms();
      }
    }
  }

  std::vector<waiting_job *> sortJobs(time_point Now) {
    markOwedShares(Now);
    std::vector<std::pair<service_rank, waiting_job *>> RankedJobs;
    RankedJobs.reserve(Jobs.size());
    for (auto &[Key, Job] : Jobs)
      RankedJobs.emplace_back(rankOf(Job, Now), &Job);
    std::ranges::sort(RankedJobs, [](const auto &Left, const auto &Right) {
      if (Left.first != Right.first)
        return Left.first < Right.first;
      if (Left.second->Started != Right.second->Started)
        return Left.second->Started;
      if (Left.second->Request.priority() != Right.second->Request.priority())
        return Left.second->Request.priority() < Right.second->Request.priority();
      return Left.second->ArrivedAt < Right.second->ArrivedAt;
    });
    std::vector<waiting_job *> Result;
    Result.reserve(RankedJobs.size());
    for (const auto &[Rank, Job] : RankedJobs)
      Result.push_back(Job);
    return Result;
  }

  // Returns false when the memory of the job would exceed the limit. The memory of a job that has begun is
  // reserved in any case: what has run would be lost.
  bool reserveMemory(waiting_job &Job) {
    const std::string &Origin = Job.Request.origin().empty() ? Job.Coordinator : Job.Request.origin();
    std::uint64_t Bytes = waitingBytes(Job.WaitingRuns.size());
    if (Job.Started) {
      Job.Memory = WaitingMemory.takeAnyway(Origin, Bytes);
      return true;
    }
    auto Reserved = WaitingMemory.take(Origin, Bytes);
    if (Reserved)
      Job.Memory = std::move(*Reserved);
    return Reserved.has_value();
  }

  // Rejects a job without a started task as soon as it cannot be served in time. Returns whether it did.
  bool rejectIfNotServable(waiting_job &Job, time_point Now) {
    if (Job.Started)
      return false;
    if (auto Reason = capacityRejection(Job.Request)) {
      reject(Job, *Reason, Now);
      return true;
    }
    auto MaxWait =
        std::chrono::duration_cast<duration>((Job.Deadline - Job.ArrivedAt) * Options.MaxWaitShare);
    // A job that waits for its rack by choice finds a server elsewhere when it gives up waiting.
    prospect Prospect = estimateProspect(Job, Now);
    bool WaitsForRack = Job.Place.Waits || (Job.Place.WaitingSince && Prospect == prospect::InTime);
    if (Prospect != prospect::TooLate && (Now - Job.ArrivedAt <= MaxWait || WaitsForRack))
      return false;
    reject(Job, schema::REJECT_NO_ROOM_IN_TIME, Now);
    return true;
  }

  // Rejects a job without a started task if the jobs before it take the capacity until it is too late for it.
  void rejectIfBacklogTooLong(waiting_job &Job, time_point Now) {
    admission::waiting_demand Demand = makeDemand(Job, Now);
    Admission.addWaiting(Demand);
    if (Job.Started)
      return;
    if (auto Refusal = Admission.judge(Now, Demand))
      reject(Job, schema::REJECT_BACKLOG, Now, Refusal);
  }

  // Returns why no server of the pool can run the job's tasks even when it has no other runs.
  [[nodiscard]] std::optional<schema::reject_reason>
  capacityRejection(const schema::place_job &Request) const {
    // Until the owners have reported the servers of the pool, their sizes are unknown.
    auto Pool = Pools.find(Request.pool());
    if (Pool == Pools.end() || Pool->second.empty())
      return std::nullopt;
    switch (Pool->second.fitOf(Request.size())) {
    case pool_index::fit::TooLarge:
      return schema::REJECT_NO_SERVER_LARGE_ENOUGH;
    case pool_index::fit::OnlyEvacuated:
      return schema::REJECT_EVACUATED;
    case pool_index::fit::Fits:
      break;
    }
    return std::nullopt;
  }

  [[nodiscard]] std::uint32_t retryAfterMs(const waiting_job &Job, schema::reject_reason Reason,
                                           time_point Now) const {
    if (Reason == schema::REJECT_MEMORY_LIMIT)
      return static_cast<std::uint32_t>(
          runtime::toMs(admission::spreadRetryAfter(milliseconds(DefaultRetryAfterMs), jobOf(Job.Request))));
    if (Reason != schema::REJECT_EVACUATED)
      return DefaultRetryAfterMs;
    // Nothing tells how long an evacuation lasts. The longer it has lasted, the longer it is expected to
    // last.
    auto Evacuated = LastEvacuatedAt.find(Job.Request.pool());
    duration Age = Evacuated == LastEvacuatedAt.end() ? duration::zero() : Now - Evacuated->second;
    return static_cast<std::uint32_t>(
        runtime::toMs(std::clamp<duration>(Age, MinEvacuationRetryAfter, MaxEvacuationRetryAfter)));
  }

  void reject(waiting_job &Job, schema::reject_reason Reason, time_point Now,
              const std::optional<admission::refusal> &Refusal = std::nullopt) {
    std::uint32_t RetryAfterMs = Refusal ? static_cast<std::uint32_t>(runtime::toMs(Refusal->RetryAfter))
                                         : retryAfterMs(Job, Reason, Now);
    admission::core_usage Usage = Admission.usage(Job.Request.pool());
    schema::dispatch_message Message;
    schema::reject_job &Rejection = *Message.mutable_reject();
    setJob(Rejection, jobOf(Job.Request));
    Rejection.set_reason(Reason);
    Rejection.set_retry_after_ms(RetryAfterMs);
    Send(Job.Coordinator, std::move(Message));
    ++Counters.Rejected;
    Counters.RejectedByBacklog += Refusal ? 1 : 0;
    Counters.RejectedForMemory += Reason == schema::REJECT_MEMORY_LIMIT ? 1 : 0;
    runtime::log(runtime::log_level::Info, "job_rejected",
                 {{"job", formatJob(jobOf(Job.Request))},
                  {"reason", std::string(endReasonName(toEndReason(Reason)))},
                  {"waited_ms", runtime::toMs(Now - Job.ArrivedAt)},
                  {"estimate_ms", std::int64_t{Job.Request.estimate_ms()}},
                  {"objective_left_ms", runtime::toMs(Job.ObjectiveEndsAt - Now)},
                  {"predicted_wait_ms", Refusal ? runtime::toMs(Refusal->PredictedWait) : 0.0},
                  {"retry_after_ms", std::int64_t{RetryAfterMs}},
                  {"waiting_jobs", static_cast<std::int64_t>(Jobs.size())},
                  {"busy_cores", Usage.Busy / ThousandthsPerCore},
                  {"usable_cores", Usage.Capacity / ThousandthsPerCore},
                  {"servers", static_cast<std::int64_t>(Servers.size())}});
    Job.WaitingRuns.clear();
  }

  void grantTasks(waiting_job &Job, time_point Now) {
    if (Locality.keepsWaiting(Job.Request, Job.Place, Job.WaitingRuns.size()))
      return;
    bool SuspectsWait = Now - Job.ArrivedAt < Options.SuspectWait;
    for (auto Waiting = Job.WaitingRuns.begin(); Waiting != Job.WaitingRuns.end();) {
      if (Grants.coordinatorIsFull(Job.Coordinator))
        return;
      auto [Index, Run] = *Waiting;
      bool IsSuspect = Job.Suspects.contains(Index);
      const std::string *Server = IsSuspect ? chooseIdleServer(Job, Now) : nullptr;
      bool Alone = Server != nullptr;
      if (IsSuspect && !Server && SuspectsWait) {
        ++Waiting;
        continue;
      }
      if (!Server)
        Server = chooseServer(Job, Now);
      if (!Server && Job.Place.Waits) {
        ++Waiting;
        continue;
      }
      if (!Server)
        return;
      Waiting = Job.WaitingRuns.erase(Waiting);
      grantTask(Job, {{jobOf(Job.Request), Index}, Run}, *Server, Alone, Now);
    }
  }

  [[nodiscard]] resource_amounts freeCapacity(const known_server &Server) const {
    resource_amounts Free = toResourceAmounts(Server.State.capacity());
    Free.subtract(Server.State.used());
    Grants.subtractFrom(Server.State.server(), Free);
    return Free;
  }

  [[nodiscard]] bool acceptsTasks(const known_server &Server) const {
    const std::string &Id = Server.State.server();
    if (!Server.State.usable() || Grants.anyAlone(Id) || Grants.serverIsFull(Id))
      return false;
    std::size_t Tasks = Server.State.tasks() + Grants.countOfServer(Id);
    return Server.State.task_limit() == 0 || Tasks < Server.State.task_limit();
  }

  using server_iterator = std::map<std::string, known_server>::iterator;

  void updateIndex(known_server &Server) {
    const schema::server_state &State = Server.State;
    resource_amounts Free = freeCapacity(Server);
    auto [Pool, IsNew] = Pools.try_emplace(State.pool(), Options.SlownessStep);
    // Faster servers than the declared times assume have a negative slowness.
    double Slowness = State.overdue_slowness() > 0 ? std::max(State.slowness(), State.overdue_slowness())
                                                   : State.slowness();
    Pool->second.set(State.server(), {Free, toResourceAmounts(State.capacity()), Slowness,
                                      acceptsTasks(Server), State.evacuated(), State.rack()});
    std::int64_t Capacity = State.capacity().cpu();
    reportPoolUsage(Server, State.usable() ? admission::core_usage{Capacity, Capacity - Free.Cpu}
                                           : admission::core_usage{});
  }

  void reportPoolUsage(known_server &Server, const admission::core_usage &Usage) {
    Admission.onServerChange(Clock.now(), Server.State.pool(), Server.Usage, Usage);
    Server.Usage = Usage;
  }

  // Reports the cores that runs and grants use on the server's rack. Not called between the release of a
  // handled grant and the report of its run, which would look like the end of a run.
  void reportRackUsage(known_server &Server) {
    if (!Locality.observesRacks())
      return;
    std::int64_t Used = Server.State.capacity().cpu() - freeCapacity(Server).Cpu;
    Locality.onUsedChanged(Server.State.pool(), Server.State.rack(),
                           Used - std::exchange(Server.ReportedCpu, Used));
  }

  server_iterator eraseServer(server_iterator Server) {
    const schema::server_state &State = Server->second.State;
    reportPoolUsage(Server->second, {});
    Locality.onServerRemoved(State.pool(), State.rack(), Server->second.ReportedCpu);
    Pools.at(State.pool()).erase(Server->first);
    Grants.removeOfServer(Server->first);
    return Servers.erase(Server);
  }

  // Returns the highest slowness (natural logarithm) of a server on which a task still ends within the
  // objective.
  [[nodiscard]] double computeMaxSlowness(const waiting_job &Job, time_point Now) const {
    double LeftMs = runtime::toMs(Job.ObjectiveEndsAt - Now);
    double EstimateMs = Job.Request.estimate_ms() * Options.EstimateMargin;
    if (LeftMs <= 0)
      return -std::numeric_limits<double>::infinity();
    return EstimateMs > 0 ? std::log(LeftMs / EstimateMs) : std::numeric_limits<double>::infinity();
  }

  // Returns the best server with free capacity, or null. A server that the job should avoid is chosen only if
  // there is no other. If the best server is too slow for the objective but the pool has a server that is
  // fast enough, the task waits for that one and leaves the slow one to other jobs.
  const std::string *chooseServer(waiting_job &Job, time_point Now) {
    Job.Place.Waits = false;
    auto Pool = Pools.find(Job.Request.pool());
    if (Pool == Pools.end() || Unplaceable.contains(Job.Request))
      return nullptr;
    double MaxSlowness = computeMaxSlowness(Job, Now);
    auto OwnerUnreachable = [&](const std::string &Id) { return isOwnerUnreachable(Job, Id); };
    auto AvoidedOrUnreachable = [&](const std::string &Id) { return OwnerUnreachable(Id) || Job.avoids(Id); };
    pool_index::choice Choice =
        Pool->second.chooseServer(Job.Request.size(), MaxSlowness, AvoidedOrUnreachable);
    if (!Choice.Id && !Job.Request.avoid().empty())
      Choice = Pool->second.chooseServer(Job.Request.size(), MaxSlowness, OwnerUnreachable);
    if (!Choice.Id && UnreachableUntil.empty())
      Unplaceable.add(Job.Request);
    if (!Choice.Id)
      return nullptr;
    if (Locality.concerns(Job.Request))
      return chooseByLocality(Job, Pool->second, Choice, AvoidedOrUnreachable, Now);
    // The string that Choice.Id points to is destroyed when the server's entry in the index changes.
    const std::string &Server = Servers.find(*Choice.Id)->first;
    bool WaitForFasterServer =
        !Choice.FastEnough && Pool->second.anyServerFastEnough(MaxSlowness) && paysToWait(Job, Server, Now);
    return WaitForFasterServer ? nullptr : &Server;
  }

  // Whether a task should leave a slow server to others and wait for a faster one. That does not pay if the
  // slow server suffices without a safety margin, or if the jobs before this one take the faster servers for
  // too long.
  [[nodiscard]] bool paysToWait(const waiting_job &Job, const std::string &SlowServer, time_point Now) const {
    auto Wait = Admission.predictWait(Now, makeDemand(Job, Now));
    if (!Wait)
      return true;
    double LeftMs = runtime::toMs(Job.ObjectiveEndsAt - Now);
    double EstimateMs = Job.Request.estimate_ms();
    double SlowMs = EstimateMs * std::exp(Pools.at(Job.Request.pool()).slownessOf(SlowServer));
    double WaitMs = runtime::toMs(*Wait);
    bool SlowInTime = SlowMs <= LeftMs;
    bool FastInTime = WaitMs + EstimateMs * Options.EstimateMargin <= LeftMs;
    return FastInTime && !(SlowInTime && WaitMs > MaxOptionalWaitMs);
  }

  // Returns the server that a task with a preferred rack gets, given the best free server of the pool; null
  // if the task waits.
  const std::string *chooseByLocality(waiting_job &Job, const pool_index &Pool,
                                      const pool_index::choice &Best,
                                      const std::function<bool(const std::string &)> &IsExcluded,
                                      time_point Now) {
    locality::job_times Times{computeMaxSlowness(Job, Now), runtime::toMs(Job.ObjectiveEndsAt - Now),
                              runtime::toMs(Job.latestEnd() - Now)};
    auto Choice = Locality.choose(Job.Request, Job.Place, Job.WaitingRuns.size(), Times, Pool, Best,
                                  Servers.at(*Best.Id).State.rack(), IsExcluded);
    return Choice.Id ? &Servers.find(*Choice.Id)->first : nullptr;
  }

  // Returns the best server without tasks, or null.
  const std::string *chooseIdleServer(const waiting_job &Job, time_point Now) {
    auto Pool = Pools.find(Job.Request.pool());
    if (Pool == Pools.end())
      return nullptr;
    auto IsExcluded = [&](const std::string &Id) {
      const known_server &Server = Servers.at(Id);
      bool IsIdle = Server.State.tasks() == 0 && Grants.countOfServer(Id) == 0;
      return !IsIdle || isOwnerUnreachable(Job, Id) || Job.avoids(Id);
    };
    auto Choice = Pool->second.chooseServer(Job.Request.size(), computeMaxSlowness(Job, Now), IsExcluded);
    return Choice.Id ? &Servers.find(*Choice.Id)->first : nullptr;
  }

  [[nodiscard]] bool isOwnerUnreachable(const waiting_job &Job, const std::string &Server) const {
    return !UnreachableUntil.empty() &&
           UnreachableUntil.contains({Job.Coordinator, Servers.at(Server).Owner});
  }

  void grantTask(waiting_job &Job, const run_key &Run, const std::string &ServerId, bool Alone,
                 time_point Now) {
    known_server &Server = Servers.at(ServerId);
    std::uint64_t Id =
        Grants.add({Job.Coordinator, ServerId, Job.Request.size(), Alone, Now + Options.GrantTimeout});
    updateIndex(Server);
    reportRackUsage(Server);
    double ExpectedFactor = Locality.onGranted(Job.Request, Job.Place, Server.State.rack());
    Job.Started = true;
    ++Counters.Granted;
    Counters.GrantedByShare += Job.OwedShare ? 1 : 0;
    Admission.onGranted(Now, Job.Request, servicePriority(Job, estimateProspect(Job, Now)));
    schema::dispatch_message Message;
    schema::grant &Grant = *Message.mutable_grant();
    Grant.set_id(Id);
    *Grant.mutable_task() = toMessage(Run);
    Grant.set_server(ServerId);
    Grant.set_owner(Server.Owner);
    Grant.set_token(Server.State.token());
    Grant.set_alone(Alone);
    if (ExpectedFactor > 1)
      Grant.set_expected_factor(static_cast<float>(ExpectedFactor));
    if (Job.Request.same_rack())
      Grant.set_rack(Server.State.rack());
    Send(Job.Coordinator, std::move(Message));
  }

  void expireGrants(time_point Now) {
    for (std::uint64_t Id : Grants.expired(Now)) {
      const outstanding_grant &Grant = Grants.get(Id);
      runtime::log(runtime::log_level::Warning, "grant_expired",
                   {{"server", Grant.Server}, {"coordinator", Grant.Coordinator}});
      ++Counters.GrantsExpired;
      releaseGrant(Id);
    }
  }

  void releaseGrant(std::uint64_t Id) {
    auto Server = Servers.find(Grants.remove(Id));
    if (Server != Servers.end())
      updateIndex(Server->second);
  }

  static constexpr std::int64_t ThousandthsPerCore = 1000;
  // A task that may be in time on a slow server waits at most this long for a faster one.
  static constexpr double MaxOptionalWaitMs = 10;
  // Most jobs that hold the capacity at the time of a rejection have ended after this time.
  static constexpr std::uint32_t DefaultRetryAfterMs = 1000;
  static constexpr duration MinEvacuationRetryAfter = std::chrono::seconds(1);
  static constexpr duration MaxEvacuationRetryAfter = std::chrono::seconds(30);

  const runtime::clock &Clock;
  send_function Send;
  placement_options Options;
  admission::admission_control Admission;
  // Declared before the jobs, whose reservations refer to it.
  memory_budget WaitingMemory;
  std::map<job_key, waiting_job> Jobs;
  std::map<std::string, known_server> Servers;
  std::map<std::string, pool_index> Pools;
  // When a server of a pool last became evacuated, by pool.
  std::map<std::string, time_point> LastEvacuatedAt;
  // Task sizes for which a pool had no free capacity during this call of schedule().
  unplaceable_sizes Unplaceable;
  // The ids start at the clock's time, so that grants of an earlier incarnation of this VM have other ids.
  outstanding_grants Grants{static_cast<std::uint64_t>(Clock.unixMs()) << 20U};
  // The time until which a coordinator gets no servers of an owner that it could not reach, by coordinator
  // and owner.
  std::map<std::pair<std::string, std::string>, time_point> UnreachableUntil;
  locality::advisor Locality;
  placement_counters Counters;
};

} // namespace

std::unique_ptr<placement_queue> makePlacementQueue(const runtime::clock &Clock, send_function Send,
                                                    placement_options Options) {
  return std::make_unique<placement_queue_impl>(Clock, std::move(Send), std::move(Options));
}

} // namespace yuccaplank::dispatch
