// Offers jobs as callers do, and checks every answer.
#pragma once

#include "yuccaplank/load/measurements.hpp"
#include "yuccaplank/load/options.hpp"
#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/wire/http_client.hpp"

#include <functional>
#include <memory>
#include <string_view>

namespace yuccaplank::load {

/// One run. Checks that every job gets one answer, that a refused one has not run, and, at the stand-in site,
/// that no task ran twice at a time and no server got more than its room.
class load_run {
public:
  virtual ~load_run() = default;
  /// OnDone runs when all jobs have ended and the final checks are done.
  virtual void start(std::function<void()> OnDone) = 0;
  /// Offers no further jobs.
  virtual void stopArrivals() = 0;
  /// Complete once OnDone has run.
  virtual measurements &result() = 0;
  /// 0, 3 on any violation, or 1 when the checks are incomplete or no job was offered.
  [[nodiscard]] virtual int exitStatus() const = 0;
};

/// Print receives the timeline.
std::unique_ptr<load_run> makeLoadRun(runtime::executor &Executor, wire::http_client &Client,
                                      const load_options &Options,
                                      std::function<void(std::string_view)> Print);

} // namespace yuccaplank::load
