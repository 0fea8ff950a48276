// Platform in memory for tests and scenarios, with switchable faults. Time passes on the executor's timers.
#pragma once

#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/storage/table_state.hpp"

#include <functional>
#include <memory>

namespace yuccaplank::storage {

/// How the platform answers requests.
enum class fake_mode : std::uint8_t {
  Normal,
  /// Requests fail without effect after one round trip.
  Down,
  /// Requests have no effect and get no reply.
  Hang,
};

/// What the platform does wrong; may be changed at any time.
struct fake_faults {
  fake_mode Mode = fake_mode::Normal;
  /// Added to the delay of each way.
  runtime::duration ExtraDelay{};
  /// Share of commits that take effect and whose reply is lost, in percent.
  std::uint32_t LoseRepliesPercent = 0;
  /// The next commits take effect and their reply is lost.
  std::uint32_t LoseNextReplies = 0;
  /// The next commits are lost on the way and have no effect.
  std::uint32_t LoseNextRequests = 0;
  /// Commits fail without effect, reads work.
  bool RefuseTransactions = false;
};

/// The platform that several clients share.
class fake_platform {
public:
  virtual ~fake_platform() = default;
  virtual fake_faults &faults() = 0;
  virtual table_state &state() = 0;
  virtual lagging_vm_list &vmList() = 0;
  /// Requests that arrived.
  [[nodiscard]] virtual table::counters totals() const = 0;
  /// Client of the platform. A request is lost in both directions while Blocked returns true.
  virtual std::unique_ptr<table> makeClient(std::function<bool()> Blocked = {}) = 0;
};

/// Delays, and the seed of random faults.
struct fake_platform_options {
  /// One way.
  runtime::duration Delay = std::chrono::milliseconds(1);
  /// After which a request without a reply fails.
  runtime::duration Timeout = std::chrono::milliseconds(1500);
  runtime::duration ListLag = std::chrono::seconds(2);
  std::uint64_t Seed = 1;
};

/// Clients may outlive the returned pointer.
std::shared_ptr<fake_platform> makeFakePlatform(runtime::executor &Executor,
                                                fake_platform_options Options = {});

} // namespace yuccaplank::storage
