#include "yuccaplank/model/burn.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace yuccaplank::model {
namespace {

// Resolution of the windows. 361 buckets of 1 minute take less than 6 KB per service.
constexpr std::uint32_t BucketS = 60;
constexpr std::uint32_t LongestWindowS = BurnWindowsS[std::size(BurnWindowsS) - 1];
// One bucket more than the longest window, since the current one is partial.
constexpr std::size_t Buckets = LongestWindowS / BucketS + 1;
// Names come from the catalog; the bound holds even if a caller of record() passes arbitrary ones.
constexpr std::size_t MaxServices = 4096;

// Counts of one minute. Minute tells a current bucket from one of an earlier turn of the ring.
struct bucket {
  std::int64_t Minute = -1;
  std::uint32_t Good = 0;
  std::uint32_t Total = 0;
};

using ring = std::array<bucket, Buckets>;

class burn_recorder_impl final : public burn_recorder {
public:
  explicit burn_recorder_impl(const runtime::clock &Clock) : Clock(Clock) {}

  void record(const std::string &Service, bool Good) override {
    if (Services.size() >= MaxServices && !Services.contains(Service))
      return;
    std::int64_t Now = minute();
    bucket &Bucket = Services[Service][static_cast<std::size_t>(Now) % Buckets];
    if (Bucket.Minute != Now)
      Bucket = {Now, 0, 0};
    Bucket.Good += Good ? 1 : 0;
    ++Bucket.Total;
  }

  [[nodiscard]] std::vector<schema::burn_service> windows() const override {
    std::vector<schema::burn_service> Result;
    for (const auto &[Name, Ring] : Services) {
      schema::burn_service &Service = Result.emplace_back();
      Service.set_service(Name);
      for (std::uint32_t WindowS : BurnWindowsS)
        fillWindow(Ring, WindowS, *Service.add_windows());
    }
    return Result;
  }

private:
  [[nodiscard]] std::int64_t minute() const {
    auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Clock.now().time_since_epoch()).count();
    return Seconds / BucketS;
  }

  void fillWindow(const ring &Ring, std::uint32_t WindowS, schema::burn_window &Window) const {
    std::int64_t Newest = minute();
    std::int64_t Oldest = Newest - WindowS / BucketS;
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
  std::map<std::string, ring> Services;
};

burn_line makeLine(const schema::service_document &Service, std::uint32_t WindowS, std::uint64_t Good,
                   std::uint64_t Total) {
  constexpr double Percent = 100;
  burn_line Line;
  Line.Service = Service.service();
  Line.ObjectivePercent = Service.objective().percent();
  Line.WindowS = WindowS;
  Line.Good = Good;
  Line.Total = Total;
  if (Total == 0)
    return Line;
  Line.AttainedPercent = Percent * static_cast<double>(Good) / static_cast<double>(Total);
  double AllowedPercent = Percent - Line.ObjectivePercent;
  if (AllowedPercent <= 0)
    return Line;
  Line.BurnRate = (Percent - Line.AttainedPercent) / AllowedPercent;
  Line.BudgetLeftPercent = Percent * (1 - Line.BurnRate);
  return Line;
}

struct counts {
  std::uint64_t Good = 0;
  std::uint64_t Total = 0;
};

} // namespace

std::unique_ptr<burn_recorder> makeBurnRecorder(const runtime::clock &Clock) {
  return std::make_unique<burn_recorder_impl>(Clock);
}

std::vector<burn_line> mergeBurn(const std::vector<schema::burn_reply> &Replies,
                                 const std::vector<schema::service_document> &Services) {
  std::map<std::pair<std::string, std::uint32_t>, counts> Sums;
  for (const schema::burn_reply &Reply : Replies)
    for (const schema::burn_service &Service : Reply.services())
      for (const schema::burn_window &Window : Service.windows()) {
        counts &Sum = Sums[{Service.service(), Window.window_s()}];
        Sum.Good += Window.good();
        Sum.Total += Window.total();
      }
  std::vector<burn_line> Lines;
  for (const schema::service_document &Service : Services) {
    if (!Service.has_objective())
      continue;
    for (std::uint32_t WindowS : BurnWindowsS) {
      const counts &Sum = Sums[{Service.service(), WindowS}];
      Lines.push_back(makeLine(Service, WindowS, Sum.Good, Sum.Total));
    }
  }
  return Lines;
}

} // namespace yuccaplank::model
