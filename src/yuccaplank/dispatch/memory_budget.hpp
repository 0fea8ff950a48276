// Divides a limit of memory among the sources of jobs, so that one source cannot shut out the others.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace yuccaplank::dispatch {

/// Follows the rule of dynamic thresholds for shared buffers: a source may take more as long as it has taken
/// less than what is free. So one source alone gets half of the limit, N equally greedy ones get a share of
/// 1 / (N + 1) each, and the same share stays free for sources that have taken nothing yet. The number of
/// sources need not be known.
class memory_budget {
public:
  /// Memory that is taken until this object is destroyed. The budget has to outlive it.
  class reservation {
  public:
    reservation() = default;
    reservation(reservation &&Other) noexcept;
    reservation &operator=(reservation &&Other) noexcept;
    reservation(const reservation &) = delete;
    reservation &operator=(const reservation &) = delete;
    ~reservation() { release(); }

  private:
    friend class memory_budget;
    reservation(memory_budget &Budget, std::string Source, std::uint64_t Bytes);
    void release();

    memory_budget *Budget = nullptr;
    std::string Source;
    std::uint64_t Bytes = 0;
  };

  explicit memory_budget(std::uint64_t MaxBytes) : MaxBytes(MaxBytes) {}
  memory_budget(const memory_budget &) = delete;
  memory_budget &operator=(const memory_budget &) = delete;
  ~memory_budget() = default;

  /// Takes the bytes for the source if the rule allows it. Anything is admitted while nothing else is taken.
  [[nodiscard]] std::optional<reservation> take(const std::string &Source, std::uint64_t Bytes);
  /// Takes the bytes in any case, also beyond the limit.
  [[nodiscard]] reservation takeAnyway(const std::string &Source, std::uint64_t Bytes);

  [[nodiscard]] std::uint64_t taken() const { return Taken; }
  /// Number of requests for memory that were turned down.
  [[nodiscard]] std::uint64_t refusals() const { return Refusals; }

private:
  [[nodiscard]] bool admits(const std::string &Source, std::uint64_t Bytes) const;
  [[nodiscard]] std::uint64_t takenBy(const std::string &Source) const;

  std::uint64_t MaxBytes;
  std::uint64_t Taken = 0;
  std::uint64_t Refusals = 0;
  // Without the sources that have taken nothing.
  std::map<std::string, std::uint64_t> TakenBySource;
};

} // namespace yuccaplank::dispatch
