// Offers jobs, resubmits and cancels them, and checks every answer.
#pragma once

#include "yuccaplank/load/checks.hpp"
#include "yuccaplank/load/measurements.hpp"
#include "yuccaplank/load/options.hpp"
#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/wire/http_client.hpp"

#include <functional>
#include <memory>
#include <string_view>

namespace yuccaplank::load {

/// What a run has measured and found.
struct load_result {
  measurements Measurements;
  outcome_ledger Ledger;
  /// Replies of the stand-in servers that were missing or malformed; the checks are then incomplete.
  std::uint64_t CheckErrors = 0;
};

/// One run: offers jobs, checks every answer, and ends with checks at the stand-in servers.
class load_run {
public:
  virtual ~load_run() = default;
  /// OnDone runs when all submissions have ended and the final checks are done.
  virtual void start(std::function<void()> OnDone) = 0;
  /// Offers no further jobs.
  virtual void stopArrivals() = 0;
  /// Complete once OnDone has run.
  virtual load_result &result() = 0;
};

/// Print receives the timeline.
std::unique_ptr<load_run> makeLoadRun(runtime::executor &Executor, wire::http_client &Client,
                                      const load_options &Options,
                                      std::function<void(std::string_view)> Print);

/// Asks the stand-in servers' control listener and adds what it finds to Result.
void runFinalChecks(wire::http_client &Client, const std::string &Control, load_result &Result,
                    std::function<void()> OnDone);

/// 0, 3 on any breach, or 1 when the checks are incomplete or no job was submitted.
int exitStatusOf(const load_result &Result);

} // namespace yuccaplank::load
