#include "yuccaplank/dispatch/placement_queue.hpp"
#include "room.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>
#include <vector>

namespace yuccaplank::dispatch {
namespace {

using runtime::duration;
using runtime::time_point;
using std::chrono::milliseconds;

// A waiting job of one coordinator.
struct waiting_job {
  std::string Coordinator;
  schema::place_job Request;
  time_point Arrived;
  time_point Objective;
  time_point Late;
  time_point Deadline;
  bool Started = false;
  // Run numbers of the tasks that wait, by index.
  std::map<std::uint32_t, std::uint32_t> Tasks;
};

// Whether and how well a job can still be served; lower values are served first.
enum class prospect : std::uint8_t { InTime, Late, Hopeless };

struct known_server {
  std::string Owner;
  schema::server_state State;
  std::vector<std::uint64_t> Grants;
};

struct outstanding_grant {
  std::string Coordinator;
  std::string Server;
  schema::task_size Size;
  time_point Expires;
};

struct job_key {
  std::string Coordinator;
  std::uint64_t Job = 0;
  bool operator<(const job_key &Other) const {
    return std::tie(Coordinator, Job) < std::tie(Other.Coordinator, Other.Job);
  }
};

class placement_queue_impl final : public placement_queue {
public:
  placement_queue_impl(const runtime::clock &Clock, send_function Send, placement_options Options)
      : Clock(Clock), Send(std::move(Send)), Options(Options) {}

  void place(const std::string &Coordinator, const schema::place_job &Request) override {
    time_point Now = Clock.now();
    auto [Entry, IsNew] = Jobs.try_emplace({Coordinator, Request.job()});
    waiting_job &Job = Entry->second;
    if (IsNew) {
      Job.Coordinator = Coordinator;
      Job.Arrived = Now;
    }
    Job.Started = Request.started();
    Job.Objective = Now + milliseconds(Request.objective_left_ms());
    Job.Late = Now + milliseconds(Request.late_left_ms());
    Job.Deadline = Now + milliseconds(Request.deadline_left_ms());
    for (const schema::task_run &Task : Request.tasks())
      Job.Tasks[Task.index()] = Task.run();
    Job.Request = Request;
  }

  void withdraw(const std::string &Coordinator, const schema::withdraw_job &Withdrawal) override {
    auto Found = Jobs.find({Coordinator, Withdrawal.job()});
    if (Found == Jobs.end())
      return;
    for (std::uint32_t Index : Withdrawal.indexes())
      Found->second.Tasks.erase(Index);
    if (Withdrawal.indexes().empty() || Found->second.Tasks.empty())
      Jobs.erase(Found);
  }

  void decline(const std::string &Coordinator, const schema::decline_grant &Declined) override {
    forgetGrant(Declined.id());
    if (!Declined.unreachable_owner().empty())
      Unreachable[{Coordinator, Declined.unreachable_owner()}] = Clock.now() + Options.UnreachableTime;
  }

  void updateServer(const std::string &Owner, const schema::server_state &State) override {
    for (std::uint64_t Grant : State.handled())
      forgetGrant(Grant);
    auto Found = Servers.find(State.server());
    if (State.removed()) {
      if (Found != Servers.end() && Found->second.Owner == Owner)
        Servers.erase(Found);
      return;
    }
    if (Found != Servers.end() && Found->second.Owner != Owner && Found->second.State.token() > State.token())
      return;
    known_server &Server = Servers[State.server()];
    Server.Owner = Owner;
    Server.State = State;
    Server.State.clear_handled();
  }

  void dropVm(const std::string &Vm) override {
    std::erase_if(Servers, [&](const auto &Entry) { return Entry.second.Owner == Vm; });
    std::erase_if(Jobs, [&](const auto &Entry) { return Entry.first.Coordinator == Vm; });
    std::vector<std::uint64_t> Void;
    for (const auto &[Id, Grant] : Grants)
      if (Grant.Coordinator == Vm)
        Void.push_back(Id);
    for (std::uint64_t Id : Void)
      forgetGrant(Id);
  }

  void schedule() override {
    time_point Now = Clock.now();
    expireGrants(Now);
    std::erase_if(Unreachable, [&](const auto &Entry) { return Entry.second <= Now; });
    for (waiting_job *Job : ordered(Now))
      if (!rejectIfHopeless(*Job, Now))
        grantTasks(*Job, Now);
    std::erase_if(Jobs, [](const auto &Entry) { return Entry.second.Tasks.empty(); });
  }

  [[nodiscard]] std::size_t waitingJobs() const override { return Jobs.size(); }

  [[nodiscard]] placement_counters counters() const override {
    placement_counters Result = Counters;
    for (const auto &[Key, Job] : Jobs)
      Result.WaitingTasks += Job.Tasks.size();
    Result.Servers = Servers.size();
    return Result;
  }

private:
  [[nodiscard]] static prospect prospectOf(const waiting_job &Job, time_point Now) {
    time_point End = Now + milliseconds(Job.Request.estimate_ms());
    if (End <= Job.Objective)
      return prospect::InTime;
    return End <= std::min(Job.Late, Job.Deadline) ? prospect::Late : prospect::Hopeless;
  }

  std::vector<waiting_job *> ordered(time_point Now) {
    std::vector<std::pair<prospect, waiting_job *>> Order;
    Order.reserve(Jobs.size());
    for (auto &[Key, Job] : Jobs)
      Order.emplace_back(prospectOf(Job, Now), &Job);
    std::ranges::sort(Order, [](const auto &Left, const auto &Right) {
      if (Left.first != Right.first)
        return Left.first < Right.first;
      // A job that has begun holds the room of its finished tasks for nothing until its last task ends.
      if (Left.second->Started != Right.second->Started)
        return Left.second->Started;
      if (Left.second->Request.priority() != Right.second->Request.priority())
        return Left.second->Request.priority() < Right.second->Request.priority();
      return Left.second->Arrived < Right.second->Arrived;
    });
    std::vector<waiting_job *> Result;
    Result.reserve(Order.size());
    for (const auto &[Prospect, Job] : Order)
      Result.push_back(Job);
    return Result;
  }

  // A job of which nothing has run is refused as soon as it cannot be served in time.
  bool rejectIfHopeless(waiting_job &Job, time_point Now) {
    if (Job.Started)
      return false;
    if (!fitsAnywhere(Job.Request)) {
      reject(Job, "no_server_large_enough", Now);
      return true;
    }
    auto Allowed = std::chrono::duration_cast<duration>((Job.Deadline - Job.Arrived) * Options.MaxWaitShare);
    if (prospectOf(Job, Now) != prospect::Hopeless && Now - Job.Arrived <= Allowed)
      return false;
    reject(Job, "no_room_in_time", Now);
    return true;
  }

  [[nodiscard]] bool fitsAnywhere(const schema::place_job &Request) const {
    // Before the owners have told their servers, nothing is known about sizes.
    bool PoolKnown = false;
    for (const auto &[Id, Server] : Servers) {
      if (Server.State.pool() != Request.pool())
        continue;
      PoolKnown = true;
      if (roomOf(Server.State.capacity()).fits(Request.size()))
        return true;
    }
    return !PoolKnown;
  }

  void reject(waiting_job &Job, const char *Reason, time_point Now) {
    schema::dispatch_message Message;
    schema::reject_job &Rejection = *Message.mutable_reject();
    Rejection.set_job(Job.Request.job());
    Rejection.set_reason(Reason);
    Rejection.set_retry_after_ms(RetryAfterMs);
    Send(Job.Coordinator, std::move(Message));
    ++Counters.Rejected;
    runtime::log(runtime::log_level::Info, "job_rejected",
                 {{"job", formatJob(Job.Request.job())},
                  {"reason", std::string(Reason)},
                  {"waited_ms", runtime::toMs(Now - Job.Arrived)},
                  {"estimate_ms", std::int64_t{Job.Request.estimate_ms()}},
                  {"objective_left_ms", runtime::toMs(Job.Objective - Now)},
                  {"waiting_jobs", static_cast<std::int64_t>(Jobs.size())},
                  {"servers", static_cast<std::int64_t>(Servers.size())}});
    Job.Tasks.clear();
  }

  void grantTasks(waiting_job &Job, time_point Now) {
    while (!Job.Tasks.empty()) {
      const std::string *Server = bestServer(Job, Now);
      if (!Server)
        return;
      auto [Index, Run] = *Job.Tasks.begin();
      Job.Tasks.erase(Job.Tasks.begin());
      grantTask(Job, {{Job.Request.job(), Index}, Run}, *Server, Now);
    }
  }

  [[nodiscard]] room freeRoom(const known_server &Server) const {
    room Free = roomOf(Server.State.capacity());
    Free.take(Server.State.used());
    for (std::uint64_t Grant : Server.Grants)
      Free.take(Grants.at(Grant).Size);
    return Free;
  }

  [[nodiscard]] bool admits(const known_server &Server) const {
    if (!Server.State.usable())
      return false;
    std::size_t Tasks = Server.State.tasks() + Server.Grants.size();
    return Server.State.task_limit() == 0 || Tasks < Server.State.task_limit();
  }

  // Lower ranks are better: servers that suffice for the objective before those that do not, faster ones
  // before slower ones, and among equally fast ones the one that the task leaves with the least room.
  struct server_rank {
    bool Avoided = false;
    bool TooSlow = false;
    int Slowness = 0;
    std::int64_t FreeCpu = 0;
    bool operator<(const server_rank &Other) const {
      return std::tie(Avoided, TooSlow, Slowness, FreeCpu) <
             std::tie(Other.Avoided, Other.TooSlow, Other.Slowness, Other.FreeCpu);
    }
  };

  [[nodiscard]] bool suffices(const known_server &Server, const waiting_job &Job, time_point Now) const {
    double TookMs = Job.Request.estimate_ms() * std::exp(Server.State.slowness()) * Options.EstimateMargin;
    return Now + runtime::fromMs(TookMs) <= Job.Objective;
  }

  // The best server that has room. While a server that suffices may still become free in time, one that does
  // not is left to other jobs.
  const std::string *bestServer(const waiting_job &Job, time_point Now) {
    const std::string *Best = nullptr;
    server_rank BestRank;
    bool AnySuffices = false;
    for (const auto &[Id, Server] : Servers) {
      if (Server.State.pool() != Job.Request.pool() || !admits(Server) ||
          Unreachable.contains({Job.Coordinator, Server.Owner}))
        continue;
      bool Suffices = suffices(Server, Job, Now);
      AnySuffices |= Suffices;
      room Free = freeRoom(Server);
      if (!Free.fits(Job.Request.size()))
        continue;
      bool Avoided = std::ranges::find(Job.Request.avoid(), Id) != Job.Request.avoid().end();
      int Step = static_cast<int>(std::floor(Server.State.slowness() / Options.SlownessStep));
      server_rank Rank{Avoided, !Suffices, Step, Free.Cpu};
      if (!Best || Rank < BestRank) {
        Best = &Id;
        BestRank = Rank;
      }
    }
    return Best && BestRank.TooSlow && AnySuffices ? nullptr : Best;
  }

  void grantTask(waiting_job &Job, const run_key &Run, const std::string &ServerId, time_point Now) {
    known_server &Server = Servers.at(ServerId);
    std::uint64_t Id = ++LastGrant;
    Grants.emplace(
        Id, outstanding_grant{Job.Coordinator, ServerId, Job.Request.size(), Now + Options.GrantTimeout});
    Server.Grants.push_back(Id);
    Job.Started = true;
    ++Counters.Granted;
    schema::dispatch_message Message;
    schema::grant &Grant = *Message.mutable_grant();
    Grant.set_id(Id);
    *Grant.mutable_task() = toMessage(Run);
    Grant.set_server(ServerId);
    Grant.set_owner(Server.Owner);
    Grant.set_token(Server.State.token());
    Send(Job.Coordinator, std::move(Message));
  }

  void expireGrants(time_point Now) {
    std::vector<std::uint64_t> Expired;
    for (const auto &[Id, Grant] : Grants)
      if (Grant.Expires <= Now)
        Expired.push_back(Id);
    for (std::uint64_t Id : Expired) {
      runtime::log(runtime::log_level::Warning, "grant_expired",
                   {{"server", Grants.at(Id).Server}, {"coordinator", Grants.at(Id).Coordinator}});
      ++Counters.GrantsExpired;
      forgetGrant(Id);
    }
  }

  void forgetGrant(std::uint64_t Id) {
    auto Found = Grants.find(Id);
    if (Found == Grants.end())
      return;
    auto Server = Servers.find(Found->second.Server);
    if (Server != Servers.end())
      std::erase(Server->second.Grants, Id);
    Grants.erase(Found);
  }

  // Time until the jobs that hold the room now have mostly ended.
  static constexpr std::uint32_t RetryAfterMs = 1000;

  const runtime::clock &Clock;
  send_function Send;
  placement_options Options;
  std::map<job_key, waiting_job> Jobs;
  std::map<std::string, known_server> Servers;
  std::unordered_map<std::uint64_t, outstanding_grant> Grants;
  // Pairs of a coordinator and an owner that it cannot reach, until a time.
  std::map<std::pair<std::string, std::string>, time_point> Unreachable;
  // Grants of an earlier incarnation on this VM have other numbers.
  std::uint64_t LastGrant = static_cast<std::uint64_t>(Clock.unixMs()) << 20U;
  placement_counters Counters;
};

} // namespace

std::unique_ptr<placement_queue> makePlacementQueue(const runtime::clock &Clock, send_function Send,
                                                    placement_options Options) {
  return std::make_unique<placement_queue_impl>(Clock, std::move(Send), Options);
}

} // namespace yuccaplank::dispatch
