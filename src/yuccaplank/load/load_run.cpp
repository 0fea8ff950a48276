#include "yuccaplank/load/load_run.hpp"
#include "yuccaplank/runtime/random.hpp"
#include "yuccaplank/standin/task_server.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <unordered_map>

namespace yuccaplank::load {
namespace {

using platform::caller_answer;
using platform::caller_outcome;
using runtime::fromMs;
using runtime::time_point;

// Delay after which a caller submits a job again if the answer was lost or no entry VM could be reached.
constexpr double ResendDelayMs = 1300;
constexpr double UnreachableRetryDelayMs = 100;
// A call times out some time after the deadline that the caller declared, and a caller gives up a job some
// seconds after the job's deadline.
constexpr double TimeoutSlackMs = 1000;
constexpr double GiveUpDelayMs = 4000;
constexpr double Stretch = 1.6;
constexpr double ObjectiveMs = 60;
constexpr double ThousandthsPerCore = 1000;
constexpr auto CheckTimeout = std::chrono::seconds(30);
constexpr std::size_t MaxConcurrentChecks = 16;
constexpr int ViolationStatus = 3;
constexpr int IncompleteStatus = 1;

struct offered_job {
  platform::caller_job Job;
  double WorkMs = 0;
  time_point FirstSent;
  time_point GiveUpAt;
  // Number of attempts that may have reached an entry VM.
  std::uint32_t OpenAttempts = 0;
  wire::call_id Call = 0;
};

class load_run_impl final : public load_run {
public:
  load_run_impl(runtime::executor &Executor, wire::http_client &Client, const load_options &Options,
                std::function<void(std::string_view)> Print)
      : Executor(Executor), Client(Client), Options(Options), Print(std::move(Print)), Random(Options.Seed) {}

  void start(std::function<void()> Done) override {
    OnDone = std::move(Done);
    StartedAt = now();
    Executor.after(fromMs(Options.Seconds * 1000), [this] { stopArrivals(); });
    if (Options.Timeline)
      scheduleTimeline();
    scheduleArrival();
  }

  void stopArrivals() override {
    if (!std::exchange(Stopping, true))
      finishWhenIdle();
  }

  measurements &result() override { return Result; }

  [[nodiscard]] int exitStatus() const override {
    if (!Result.violations().empty())
      return ViolationStatus;
    return CheckErrors == 0 && Result.attempts() > 0 ? 0 : IncompleteStatus;
  }

private:
  [[nodiscard]] time_point now() const { return Executor.clock().now(); }
  double logNormal(double Spread) {
    return std::exp(std::normal_distribution<double>(0, Spread)(Random.engine()));
  }
  const std::string &randomEntry() { return Options.Entries[Random.next() % Options.Entries.size()]; }

  // Arrival of jobs.

  void scheduleArrival() {
    double GapMs = -std::log(1 - Random.uniform()) * 1000 / Options.Rate;
    Executor.after(fromMs(GapMs), [this] {
      if (Stopping)
        return;
      submitNewJob();
      scheduleArrival();
    });
  }

  void submitNewJob() {
    dispatch::job_id Id = makeJobId();
    offered_job &Offered = Jobs[Id];
    Offered.WorkMs = Options.MedianTaskMs * logNormal(Options.TaskSpread);
    platform::caller_job &Job = Offered.Job;
    Job.Id = Id;
    Job.TaskCount = Options.MinTasks +
                    static_cast<std::uint32_t>(Random.next() % (Options.MaxTasks - Options.MinTasks + 1));
    Job.TaskSize.set_cpu(static_cast<std::uint32_t>(Options.Cores * ThousandthsPerCore));
    Job.TaskSize.set_memory_mb(64);
    Job.EstimateMs = static_cast<std::uint32_t>(Offered.WorkMs * logNormal(Options.DeclaredSpread)) + 1;
    choosePlace(Job);
    standin::run_work Work{Job.TaskSize.cpu(), fromMs(Offered.WorkMs), false};
    Work.Rack = Job.SameRack && Job.Rack.empty() ? standin::AnyOneRack : Job.Rack;
    Job.Specification = standin::encodeWork(Work);
    Job.DeadlineMs = Options.DeadlineMs;
    Offered.FirstSent = now();
    Offered.GiveUpAt = now() + fromMs(Options.DeadlineMs + GiveUpDelayMs);
    sendAttempt(Id);
    if (Random.uniform() * 100 < Options.LeavePercent)
      Executor.after(fromMs(Offered.WorkMs * Random.uniform()), [this, Id] { disconnectCaller(Id); });
    if (Random.uniform() * 100 < Options.CancelPercent)
      Executor.after(fromMs(Offered.WorkMs * Random.uniform()), [this, Id] { cancel(Id); });
  }

  // Ids with capitals draw no further random number, so that the seeds keep their meaning.
  dispatch::job_id makeJobId() {
    std::uint64_t Digits = Random.next();
    bool HasCapitals = static_cast<double>(Digits % 100) < Options.CapitalsPercent;
    return HasCapitals ? dispatch::job_id(Digits, static_cast<std::uint16_t>(~Digits))
                       : dispatch::job_id(Digits);
  }

  // Jobs without a place draw no random number, so that their seeds keep their meaning.
  void choosePlace(platform::caller_job &Job) {
    if (Options.RackPercent > 0 && Random.uniform() * 100 < Options.RackPercent) {
      bool IsHot = Random.uniform() * 100 < Options.HotRackPercent || Options.Racks.size() == 1;
      Job.Rack = Options.Racks[IsHot ? 0 : 1 + Random.next() % (Options.Racks.size() - 1)];
    }
    if (Options.SameRackPercent > 0)
      Job.SameRack = Random.uniform() * 100 < Options.SameRackPercent;
  }

  void sendAttempt(dispatch::job_id Id) {
    auto Found = Jobs.find(Id);
    if (Found == Jobs.end())
      return;
    offered_job &Offered = Found->second;
    ++Offered.OpenAttempts;
    Result.addAttempt();
    wire::http_call Call = makeSubmitCall(randomEntry(), {Options.Host, Options.Path}, Offered.Job);
    Call.Timeout = fromMs(Options.DeadlineMs + TimeoutSlackMs);
    Offered.Call =
        Client.call(std::move(Call), [this, Id](const wire::http_call_result &Reply) { onReply(Id, Reply); });
  }

  void onReply(dispatch::job_id Id, const wire::http_call_result &Reply) {
    offered_job &Offered = Jobs.at(Id);
    Offered.Call = 0;
    caller_answer Answer = platform::decodeCallerAnswer(Reply);
    bool NothingWritten = Reply.Error && Reply.Stage == wire::transfer_stage::NothingWritten;
    if (NothingWritten)
      --Offered.OpenAttempts;
    if (Answer.Outcome != caller_outcome::Unanswered) {
      endJob(Id, Answer);
      return;
    }
    double DelayMs = NothingWritten ? UnreachableRetryDelayMs : ResendDelayMs;
    if (now() + fromMs(DelayMs) >= Offered.GiveUpAt)
      endJob(Id, Answer);
    else
      Executor.after(fromMs(DelayMs), [this, Id] { sendAttempt(Id); });
  }

  void endJob(dispatch::job_id Id, const caller_answer &Answer) {
    offered_job &Offered = Jobs.at(Id);
    job_end End = toJobEnd(Answer.Outcome);
    double TookMs = runtime::toMs(now() - Offered.FirstSent);
    recordEnd(End, TookMs);
    if (End == job_end::Completed && Offered.FirstSent - StartedAt >= fromMs(Options.WarmupSeconds * 1000))
      Result.addCompleted(TookMs, Offered.WorkMs, Stretch * Offered.WorkMs + ObjectiveMs);
    if (Answer.Outcome == caller_outcome::Pending)
      Result.addViolation(fmt::format("job {} was answered before it ended", dispatch::formatJob(Id)));
    // Only this attempt can have reached an entry VM, so the job must not have run.
    if (End == job_end::Refused && Offered.OpenAttempts == 1)
      RefusedJobs.push_back(Id);
    Jobs.erase(Id);
    finishWhenIdle();
  }

  void recordEnd(job_end End, double TookMs) {
    Result.addEnd(End);
    if (Options.Timeline)
      Timeline.add(elapsedSeconds(), End, TookMs);
  }

  void disconnectCaller(dispatch::job_id Id) {
    auto Found = Jobs.find(Id);
    if (Found == Jobs.end())
      return;
    if (Found->second.Call)
      Client.cancel(Found->second.Call);
    recordEnd(job_end::Left, 0);
    Jobs.erase(Found);
    finishWhenIdle();
  }

  void cancel(dispatch::job_id Id) {
    if (!Jobs.contains(Id))
      return;
    wire::http_call Call = platform::makeCancelCall(randomEntry(), {Options.Host, Options.Path}, Id);
    Call.Timeout = fromMs(TimeoutSlackMs);
    Client.call(std::move(Call), [](const wire::http_call_result &) {});
  }

  // End of the run.

  [[nodiscard]] std::int64_t elapsedSeconds() const {
    return std::chrono::duration_cast<std::chrono::seconds>(now() - StartedAt).count();
  }

  void scheduleTimeline() {
    Executor.after(std::chrono::seconds(1), [this] {
      if (Finished)
        return;
      Print(Timeline.takeLinesUntil(elapsedSeconds()));
      scheduleTimeline();
    });
  }

  void finishWhenIdle() {
    if (!Stopping || !Jobs.empty() || std::exchange(Finished, true))
      return;
    if (Options.Timeline)
      Print(Timeline.takeLinesUntil(elapsedSeconds() + 1));
    if (Options.CheckAddress.empty()) {
      Executor.post(OnDone);
      return;
    }
    querySite("/summary", [this](const nlohmann::json &Summary) { readSummary(Summary); });
    checkRefusedJobs();
  }

  void readSummary(const nlohmann::json &Summary) {
    if (!Summary.is_object() || !Summary.contains("breaches") || !Summary["breaches"].is_array()) {
      ++CheckErrors;
      return;
    }
    for (const nlohmann::json &Violation : Summary["breaches"])
      Result.addViolation(Violation.dump());
    Result.setRackStarts(Summary.value("starts_on_rack", std::uint64_t{0}),
                         Summary.value("starts_off_rack", std::uint64_t{0}));
  }

  void checkRefusedJobs() {
    while (OpenChecks < MaxConcurrentChecks && NextRefusedJob < RefusedJobs.size()) {
      dispatch::job_id Id = RefusedJobs[NextRefusedJob++];
      querySite("/job?id=" + dispatch::formatJob(Id), [this, Id](const nlohmann::json &Job) {
        if (!Job.is_object() || !Job.contains("starts") || !Job["starts"].is_number_integer())
          ++CheckErrors;
        else if (Job["starts"].get<std::int64_t>() > 0)
          Result.addViolation(
              fmt::format("job {} was refused although tasks of it were started", dispatch::formatJob(Id)));
      });
    }
  }

  void querySite(const std::string &Path, std::function<void(const nlohmann::json &)> OnReply) {
    ++OpenChecks;
    wire::http_call Call;
    Call.Address = Options.CheckAddress;
    Call.Path = Path;
    Call.Timeout = CheckTimeout;
    Client.call(std::move(Call), [this, OnReply = std::move(OnReply)](const wire::http_call_result &Reply) {
      bool Valid = !Reply.Error && Reply.Status == 200;
      OnReply(Valid ? nlohmann::json::parse(Reply.Body, nullptr, false) : nlohmann::json());
      --OpenChecks;
      checkRefusedJobs();
      if (OpenChecks == 0)
        OnDone();
    });
  }

  runtime::executor &Executor;
  wire::http_client &Client;
  load_options Options;
  std::function<void(std::string_view)> Print;
  runtime::random Random;
  std::function<void()> OnDone;
  time_point StartedAt;
  std::unordered_map<dispatch::job_id, offered_job> Jobs;
  std::vector<dispatch::job_id> RefusedJobs;
  std::size_t NextRefusedJob = 0;
  std::size_t OpenChecks = 0;
  std::uint64_t CheckErrors = 0;
  timeline Timeline;
  measurements Result;
  bool Stopping = false;
  bool Finished = false;
};

} // namespace

std::unique_ptr<load_run> makeLoadRun(runtime::executor &Executor, wire::http_client &Client,
                                      const load_options &Options,
                                      std::function<void(std::string_view)> Print) {
  return std::make_unique<load_run_impl>(Executor, Client, Options, std::move(Print));
}

} // namespace yuccaplank::load
