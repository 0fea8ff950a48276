#include "yuccaplank/load/load_run.hpp"
#include "yuccaplank/load/id_pool.hpp"
#include "yuccaplank/load/workload.hpp"
#include "yuccaplank/wire/job_codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <unordered_set>

namespace yuccaplank::load {
namespace {

using runtime::duration;
using runtime::time_point;

// Pause before a lost submission is repeated at another entry VM.
constexpr duration RepeatDelay = std::chrono::milliseconds(50);
// Jobs that have waited this long for an id are given up.
constexpr duration MaxIdWait = std::chrono::seconds(5);
// Arrivals begin after this time even if no id has been issued.
constexpr duration MaxStartDelay = std::chrono::seconds(1);
constexpr duration CancelTimeout = std::chrono::seconds(5);
constexpr duration MaxResubmitDelay = std::chrono::milliseconds(500);
constexpr double MinResubmitSpreadMs = 5;

// A job from its arrival until its last submission has ended.
struct active_job {
  planned_job Planned;
  std::string Id;
  std::string Body;
  double IdealMs = 0;
  time_point SentAt;
  std::uint32_t OpenSubmissions = 0;
  // The job is submitted once more after its first answer.
  bool ResubmitAfterEnd = false;
  bool Answered = false;
  // The id was submitted once, and no attempt was lost.
  bool OnlyAttempt = true;
};
using job_pointer = std::shared_ptr<active_job>;

struct waiting_job {
  planned_job Planned;
  time_point ArrivedAt;
};

// One submission, repeated at other entry VMs while its connections are lost.
struct submission {
  job_pointer Job;
  std::size_t Entry = 0;
  time_point End;
  bool First = true;
};

submission_end endOf(schema::outcome_kind Outcome) {
  switch (Outcome) {
  case schema::OUTCOME_DONE:
    return submission_end::Done;
  case schema::OUTCOME_FAILED:
    return submission_end::Failed;
  case schema::OUTCOME_REFUSED:
    return submission_end::Refused;
  default:
    return submission_end::Unknown;
  }
}

class load_run_impl final : public load_run {
public:
  load_run_impl(runtime::executor &Executor, wire::http_client &Client, const load_options &Options,
                std::function<void(std::string_view)> Print)
      : Executor(Executor), Client(Client), Options(Options), Print(std::move(Print)), Work(this->Options),
        Ids(Executor, Client, this->Options.Entries, Options.IdsBlock, [this] { onIds(); }),
        ArrivalRandom(Options.Seed, 1), Random(Options.Seed, 2) {}

  void start(std::function<void()> Done) override {
    OnDone = std::move(Done);
    Ids.refill();
    Executor.after(MaxStartDelay, [this] { startArrivals(); });
  }

  void stopArrivals() override {
    if (Stopping)
      return;
    Stopping = true;
    Started = true;
    finishWhenIdle();
  }

  load_result &result() override { return Result; }

private:
  // Runs once, when the first ids have arrived or could have.
  void startArrivals() {
    if (Started)
      return;
    Started = true;
    StartedAt = Executor.clock().now();
    NextArrival = StartedAt;
    ArrivalsEnd = StartedAt + runtime::fromMs(Options.Seconds * 1000);
    Executor.after(ArrivalsEnd - StartedAt, [this] { stopArrivals(); });
    for (std::uint32_t Wave = 1; Wave <= Options.CancelWaves; ++Wave)
      Executor.after((ArrivalsEnd - StartedAt) * Wave / (Options.CancelWaves + 1), [this] { cancelAll(); });
    if (Options.Timeline)
      scheduleTimeline();
    if (Options.Rate > 0)
      arriveDue();
    else
      fillClosedLoop();
  }

  [[nodiscard]] time_point now() const { return Executor.clock().now(); }
  run_counts &counts() { return Result.Measurements.Counts; }
  std::size_t randomEntry() {
    return std::uniform_int_distribution<std::size_t>(0, Options.Entries.size() - 1)(Random);
  }
  double randomFraction() { return std::uniform_real_distribution<double>(0, 1)(Random); }
  [[nodiscard]] std::size_t inFlight() const { return Active.size() + Waiting.size(); }

  // Arrivals.
  void arriveDue() {
    while (!Stopping && NextArrival <= now()) {
      arrive();
      double GapS = Options.Arrivals == arrival_kind::Fixed
                        ? 1 / Options.Rate
                        : std::exponential_distribution<double>(Options.Rate)(ArrivalRandom);
      NextArrival += runtime::fromMs(GapS * 1000);
    }
    if (!Stopping)
      Executor.after(NextArrival - now(), [this] { arriveDue(); });
  }

  void arrive() {
    if (inFlight() >= Options.Concurrency) {
      ++counts().Skipped;
      return;
    }
    begin({Work.next(), std::min(NextArrival, now())});
  }

  void fillClosedLoop() {
    while (!Stopping && Options.Rate <= 0 && inFlight() < Options.Concurrency)
      begin({Work.next(), now()});
  }

  void begin(waiting_job Arrival) {
    std::size_t Entry = randomEntry();
    std::optional<std::string> Id = Ids.take(Entry);
    if (!Id) {
      Waiting.push_back(std::move(Arrival));
      if (Waiting.size() == 1)
        scheduleIdWait();
      return;
    }
    auto Job = std::make_shared<active_job>();
    Job->Planned = std::move(Arrival.Planned);
    Job->Id = *Id;
    Job->Body = wire::writeJob(Job->Planned.Job);
    Job->IdealMs = Work.idealMs(Job->Planned);
    Job->SentAt = now();
    Result.Measurements.addSendDelay(runtime::toMs(now() - Arrival.ArrivedAt));
    Result.Ledger.addJob(Job->Id);
    Active.insert(Job);
    planResubmission(Job);
    submit({Job, Entry, now() + Options.AnswerTimeout, true});
  }

  void onIds() {
    startArrivals();
    startWaiting();
  }

  void startWaiting() {
    while (!Waiting.empty()) {
      std::size_t Before = Waiting.size();
      waiting_job Job = std::move(Waiting.front());
      Waiting.pop_front();
      begin(std::move(Job));
      if (Waiting.size() >= Before)
        return;
    }
  }

  void scheduleIdWait() {
    Executor.after(MaxIdWait / 10, [this] {
      while (!Waiting.empty() && now() - Waiting.front().ArrivedAt > MaxIdWait) {
        Waiting.pop_front();
        ++counts().WithoutId;
        addJobEnd(submission_end::Refused, 0);
      }
      if (!Waiting.empty())
        scheduleIdWait();
      fillClosedLoop();
      finishWhenIdle();
    });
  }

  // Half of the resubmissions come while the job is in flight, half after its first answer.
  void planResubmission(const job_pointer &Job) {
    if (randomFraction() * 100 >= Options.ResubmitPercent)
      return;
    if (randomFraction() < 0.5) {
      Job->ResubmitAfterEnd = true;
      return;
    }
    double SpreadMs = std::max(Job->IdealMs, MinResubmitSpreadMs);
    scheduleResubmission(Job, runtime::fromMs(SpreadMs * randomFraction()));
  }

  void scheduleResubmission(const job_pointer &Job, duration Delay) {
    ++Job->OpenSubmissions;
    Job->OnlyAttempt = false;
    ++counts().Resubmissions;
    Executor.after(Delay, [this, Job] {
      --Job->OpenSubmissions;
      submit({Job, randomEntry(), now() + Options.AnswerTimeout, false});
    });
  }

  // Submissions.
  void submit(const submission &Submission) {
    ++Submission.Job->OpenSubmissions;
    ++counts().Submissions;
    attempt(Submission);
  }

  void attempt(const submission &Submission) {
    wire::http_call Call;
    Call.Method = "PUT";
    Call.Address = Options.Entries[Submission.Entry];
    Call.Path = "/v1/jobs/" + Submission.Job->Id;
    Call.Headers.push_back({"content-type", "application/json"});
    Call.Body = Submission.Job->Body;
    Call.Timeout = std::max(Submission.End - now(), duration(std::chrono::milliseconds(1)));
    Client.call(std::move(Call),
                [this, Submission](const wire::http_call_result &Reply) { onReply(Submission, Reply); });
  }

  void onReply(const submission &Submission, const wire::http_call_result &Reply) {
    if (Reply.Error)
      return onLost(Submission, Reply.Stage);
    const active_job &Job = *Submission.Job;
    auto Answer = wire::readAnswer(Reply.Body);
    if (!Answer) {
      Result.Measurements.addBreach({breach_kind::WrongAnswer, Job.Id, "not an answer: " + Reply.Body});
      return endSubmission(Submission, submission_end::Unknown);
    }
    if (auto Breach = checkAnswer(Job.Id, Job.Planned.Job, Answer.value()))
      Result.Measurements.addBreach(*Breach);
    // The id's authority may be gone, and with it all ids of the same block.
    if (Answer.value().outcome() == schema::OUTCOME_UNKNOWN ||
        Answer.value().reason() == errcName(runtime::errc::Draining))
      Ids.discard(Submission.Entry);
    if (Job.OnlyAttempt && wire::neverDelivered(Answer.value()))
      return renewId(Submission);
    endSubmission(Submission, endOf(Answer.value().outcome()));
  }

  // Submits the job under another id. Under this one nothing may have run, which is checked as for a refusal.
  void renewId(const submission &Submission) {
    ++counts().IdsRenewed;
    Result.Ledger.addEnd(Submission.Job->Id, submission_end::Refused);
    Active.erase(Submission.Job);
    begin({Submission.Job->Planned, now()});
  }

  void onLost(submission Submission, wire::transfer_stage Stage) {
    ++counts().LostAttempts;
    Submission.Job->OnlyAttempt = false;
    if (Stage == wire::transfer_stage::MaybeWritten)
      Result.Ledger.addLostAttempt(Submission.Job->Id);
    Ids.discard(Submission.Entry);
    if (now() + RepeatDelay >= Submission.End)
      return endSubmission(Submission, submission_end::NoAnswer);
    Submission.Entry = (Submission.Entry + 1) % Options.Entries.size();
    Executor.after(RepeatDelay, [this, Submission] { attempt(Submission); });
  }

  void endSubmission(const submission &Submission, submission_end End) {
    active_job &Job = *Submission.Job;
    --Job.OpenSubmissions;
    Result.Ledger.addEnd(Job.Id, End);
    bool FirstAnswer = !Job.Answered && (End != submission_end::NoAnswer || Job.OpenSubmissions == 0);
    if (FirstAnswer) {
      Job.Answered = true;
      addFirstAnswer(Job, End);
      if (Job.ResubmitAfterEnd)
        scheduleResubmission(Submission.Job,
                             runtime::fromMs(runtime::toMs(MaxResubmitDelay) * randomFraction()));
    }
    if (Job.OpenSubmissions > 0)
      return;
    Active.erase(Submission.Job);
    fillClosedLoop();
    finishWhenIdle();
  }

  void addFirstAnswer(const active_job &Job, submission_end End) {
    double ResponseMs = runtime::toMs(now() - Job.SentAt);
    addJobEnd(End, ResponseMs);
    if (End != submission_end::Done)
      return;
    counts().TasksDone += static_cast<std::uint64_t>(Job.Planned.Job.tasks_size());
    if (runtime::toMs(Job.SentAt - StartedAt) >= Options.WarmupSeconds * 1000)
      Result.Measurements.addDone(ResponseMs, Job.IdealMs);
  }

  void addJobEnd(submission_end End, double ResponseMs) {
    Result.Measurements.addJob(End);
    if (Options.Timeline)
      Timeline.add(elapsedSeconds(), End, ResponseMs);
  }

  void cancelAll() {
    for (const job_pointer &Job : Active) {
      if (Job->Answered)
        continue;
      ++counts().Cancels;
      wire::http_call Call;
      Call.Method = "DELETE";
      Call.Address = Options.Entries[randomEntry()];
      Call.Path = "/v1/jobs/" + Job->Id;
      Call.Timeout = CancelTimeout;
      Client.call(std::move(Call), [](const wire::http_call_result &) {});
    }
  }

  // End of the run.
  [[nodiscard]] std::int64_t elapsedSeconds() const {
    return std::chrono::duration_cast<std::chrono::seconds>(now() - StartedAt).count();
  }

  void scheduleTimeline() {
    Executor.after(std::chrono::seconds(1), [this] {
      if (Finished)
        return;
      Print(Timeline.takeUntil(elapsedSeconds()));
      scheduleTimeline();
    });
  }

  void finishWhenIdle() {
    if (!Stopping || Finished || inFlight() > 0)
      return;
    Finished = true;
    Ids.stop();
    if (Options.Timeline)
      Print(Timeline.takeUntil(elapsedSeconds() + 1));
    for (const breach &Breach : Result.Ledger.withoutOutcome())
      Result.Measurements.addBreach(Breach);
    if (Options.Check.empty())
      Executor.post(OnDone);
    else
      runFinalChecks(Client, Options.Check, Result, OnDone);
  }

  runtime::executor &Executor;
  wire::http_client &Client;
  load_options Options;
  std::function<void(std::string_view)> Print;
  workload Work;
  id_pool Ids;
  // Apart from the other choices, whose order depends on replies: a seed always gives the same arrivals.
  pcg64 ArrivalRandom;
  pcg64 Random;
  std::function<void()> OnDone;
  time_point StartedAt;
  time_point NextArrival;
  time_point ArrivalsEnd;
  std::unordered_set<job_pointer> Active;
  std::deque<waiting_job> Waiting;
  timeline Timeline;
  load_result Result;
  bool Started = false;
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
