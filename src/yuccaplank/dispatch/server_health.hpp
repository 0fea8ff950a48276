// Speed of one backend server, and its quarantine after faults.
#pragma once

#include "server_evidence.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace yuccaplank::dispatch {

/// What a server's health learns from a run that has ended.
struct finished_run {
  job_id Job;
  std::uint32_t DeclaredMs = 0;
  runtime::time_point StartedAt{};
  bool IsLong = false;
};

/// Learns from the runs of a server. A server that fails runs, or restarts over and over, is quarantined for
/// a time that doubles when it happens again. It is then on probation, with one run at a time, until one run
/// is done for each quarantine.
class server_health {
public:
  server_health(fleet_shares &Fleet, runtime::duration Initial, runtime::duration Max)
      : Initial(Initial), Max(Max), Failures(Fleet), LongRuns(Fleet) {}

  /// Natural logarithm of run time divided by declared time.
  [[nodiscard]] double slowness() const { return Speed.slowness(); }
  [[nodiscard]] bool usable() const { return !QuarantinedUntil; }
  [[nodiscard]] bool onProbation() const { return Probation; }
  [[nodiscard]] std::uint32_t quarantines() const { return Quarantines; }
  [[nodiscard]] std::uint32_t outages() const { return Outages; }
  /// Evidence of failures at the start of the latest quarantine; see recent_outcomes.
  [[nodiscard]] double quarantineEvidence() const { return QuarantineEvidence; }
  [[nodiscard]] const long_run_evidence &longRuns() const { return LongRuns; }

  /// Records a run that is done. Run.IsLong tells whether onLong was called for it.
  void onDone(const finished_run &Run, runtime::time_point Now) {
    Failures.onDone(Now);
    if (!Run.IsLong)
      LongRuns.onDoneInTime(Now);
    Speed.onDone(Run.Job, runtime::toMs(Now - Run.StartedAt), Run.DeclaredMs, Now);
    if (Probation && !Run.IsLong && Run.StartedAt >= ReleasedAt &&
        ++SoundRuns >= std::min(Quarantines, MaxSoundRuns))
      Probation = false;
  }

  /// Called when a run in progress has begun to take longer than long_run_evidence::limit.
  void onLong(job_id Job, runtime::time_point Now) { LongRuns.onLong(Job, Now); }

  /// Records a run that ended without a result. Returns whether this failure starts a quarantine.
  bool onFailure(const finished_run &Run, runtime::time_point Now) {
    // The run is among those that led to the latest quarantine.
    if (Probation && Run.StartedAt < ReleasedAt)
      return false;
    Failures.onFailure(Run.Job, Now);
    if (QuarantinedUntil || (!Probation && !Failures.isFaulty(Now)))
      return false;
    QuarantineEvidence = Failures.value(Now);
    // A server that stayed sound for a while is treated like one without earlier quarantines.
    if (Now - ReleasedAt > ForgetAfter)
      Quarantines = 0;
    quarantine(Now, Quarantines);
    return true;
  }

  /// Records that the server is back after it had ended. Returns whether this starts or prolongs a
  /// quarantine: a server that ends over and over gets no runs until it has stayed for some time.
  bool onReturn(runtime::time_point Now) {
    Outages = Now < OutageWindowEndsAt ? Outages + 1 : 1;
    OutageWindowEndsAt = Now + OutageWindow;
    if (Outages < 2)
      return false;
    QuarantineEvidence = 0;
    quarantine(Now, Outages - 2);
    return true;
  }

  /// Ends a quarantine that has expired, and returns whether it did.
  bool endExpiredQuarantine(runtime::time_point Now) {
    if (!QuarantinedUntil || Now < *QuarantinedUntil)
      return false;
    QuarantinedUntil.reset();
    ReleasedAt = Now;
    Failures.clear();
    LongRuns.clear();
    return true;
  }

  /// Puts a server on probation whose low speed has not been confirmed for some time, and returns whether it
  /// did.
  bool endStaleSlowness(runtime::time_point Now) {
    if (!Speed.resetStaleStep(Now))
      return false;
    Probation = true;
    SoundRuns = 0;
    Quarantines = std::max(Quarantines, 1U);
    return true;
  }

private:
  void quarantine(runtime::time_point Now, std::uint32_t Doublings) {
    constexpr std::uint32_t MaxDoublings = 4;
    runtime::duration Length = std::min(Initial * (1U << std::min(Doublings, MaxDoublings)), Max);
    QuarantinedUntil = std::max(QuarantinedUntil.value_or(Now), Now + Length);
    ++Quarantines;
    SoundRuns = 0;
    Probation = true;
  }

  // A server that still fails half of its runs passes this many runs of a probation in one of eight cases.
  static constexpr std::uint32_t MaxSoundRuns = 3;
  // Faults of a server last up to 8 s. A later one has no longer the same cause.
  static constexpr runtime::duration ForgetAfter = std::chrono::seconds(10);
  // Longer than the longest quarantine, so that a server that ends again after it keeps its count.
  static constexpr runtime::duration OutageWindow = std::chrono::seconds(5);

  runtime::duration Initial;
  runtime::duration Max;
  speed_estimate Speed;
  failure_evidence Failures;
  long_run_evidence LongRuns;
  std::uint32_t Quarantines = 0;
  std::uint32_t SoundRuns = 0;
  std::uint32_t Outages = 0;
  bool Probation = false;
  double QuarantineEvidence = 0;
  // A return before this time counts as a further outage.
  runtime::time_point OutageWindowEndsAt = runtime::time_point::min();
  runtime::time_point ReleasedAt{};
  std::optional<runtime::time_point> QuarantinedUntil;
};

} // namespace yuccaplank::dispatch
