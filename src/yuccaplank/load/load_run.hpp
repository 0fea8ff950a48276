// Submits jobs as callers do and checks each answer.
#pragma once

#include "yuccaplank/load/measurements.hpp"
#include "yuccaplank/load/options.hpp"
#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/wire/http_client.hpp"

#include <functional>
#include <memory>
#include <string_view>

namespace yuccaplank::load {

/// One run of the load tool. It checks that no job is answered before its end and, if a stand-in site is
/// given, that no refused job has run, no task had two concurrent runs, and no server was given more than its
/// capacity.
class load_run {
public:
  virtual ~load_run() = default;
  /// Starts the run. OnDone is called when all jobs have ended and the final checks are complete.
  virtual void start(std::function<void()> OnDone) = 0;
  /// Stops submitting new jobs.
  virtual void stopArrivals() = 0;
  /// Returns the measurements, which are complete once OnDone has been called.
  virtual measurements &result() = 0;
  /// Returns 3 after a violation, 1 if a check failed to complete or no job was submitted, otherwise 0.
  [[nodiscard]] virtual int exitStatus() const = 0;
};

/// Creates a run. Print receives the lines of the timeline.
std::unique_ptr<load_run> makeLoadRun(runtime::executor &Executor, wire::http_client &Client,
                                      const load_options &Options,
                                      std::function<void(std::string_view)> Print);

} // namespace yuccaplank::load
