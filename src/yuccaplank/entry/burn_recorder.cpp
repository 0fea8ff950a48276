#include "burn_recorder.hpp"

#include <array>
#include <map>

namespace yuccaplank::entry {
namespace {

// One bucket covers 1 minute; the 361 buckets of a queue take less than 6 KB.
constexpr std::uint32_t BucketLengthS = 60;
constexpr std::uint32_t LongestWindowS = BurnWindowsS[std::size(BurnWindowsS) - 1];
// One bucket is added to the longest window because the current bucket is partial.
constexpr std::size_t BucketCount = LongestWindowS / BucketLengthS + 1;
// Limits the memory; queue names come from the configuration, and queues beyond this number are not recorded.
constexpr std::size_t MaxQueues = 4096;

// Counts of one minute. Minute tells whether the bucket is current or left from an earlier pass over the
// ring.
struct bucket {
  std::int64_t Minute = -1;
  std::uint32_t Good = 0;
  std::uint32_t Total = 0;
};

using ring = std::array<bucket, BucketCount>;

class burn_recorder_impl final : public burn_recorder {
public:
  explicit burn_recorder_impl(const runtime::clock &Clock) : Clock(Clock) {}

  void record(const std::string &Queue, bool WithinObjective) override {
    if (Queues.size() >= MaxQueues && !Queues.contains(Queue))
      return;
    std::int64_t Now = currentMinute();
    bucket &Bucket = Queues[Queue][static_cast<std::size_t>(Now) % BucketCount];
    if (Bucket.Minute != Now)
      Bucket = {Now, 0, 0};
    Bucket.Good += WithinObjective ? 1 : 0;
    ++Bucket.Total;
  }

  [[nodiscard]] std::vector<schema::burn_queue> windows() const override {
    std::vector<schema::burn_queue> Result;
    for (const auto &[Name, Ring] : Queues) {
      schema::burn_queue &Queue = Result.emplace_back();
      Queue.set_queue(Name);
      for (std::uint32_t WindowS : BurnWindowsS)
        fillWindow(Ring, WindowS, *Queue.add_windows());
    }
    return Result;
  }

private:
  [[nodiscard]] std::int64_t currentMinute() const {
    auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Clock.now().time_since_epoch()).count();
    return Seconds / BucketLengthS;
  }

  void fillWindow(const ring &Ring, std::uint32_t WindowS, schema::burn_window &Window) const {
    std::int64_t Newest = currentMinute();
    std::int64_t Oldest = Newest - WindowS / BucketLengthS;
    std::uint64_t Good = 0;
    std::uint64_t Total = 0;
    for (const bucket &Bucket : Ring) {
      if (Bucket.Minute < 0 || Bucket.Minute < Oldest || Bucket.Minute > Newest)
        continue;
      Good += Bucket.Good;
      Total += Bucket.Total;
    }
    Window.set_window_s(WindowS);
    Window.set_good(Good);
    Window.set_total(Total);
  }

  const runtime::clock &Clock;
  std::map<std::string, ring> Queues;
};

} // namespace

std::unique_ptr<burn_recorder> makeBurnRecorder(const runtime::clock &Clock) {
  return std::make_unique<burn_recorder_impl>(Clock);
}

} // namespace yuccaplank::entry
