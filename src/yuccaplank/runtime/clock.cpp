#include "yuccaplank/runtime/clock.hpp"

#include <ctime>

namespace yuccaplank::runtime {
namespace {

class system_clock final : public clock {
public:
  [[nodiscard]] time_point now() const override {
    return time_point(std::chrono::steady_clock::now().time_since_epoch());
  }
  [[nodiscard]] time_point sinceBoot() const override {
    timespec Now{};
    clock_gettime(CLOCK_BOOTTIME, &Now);
    return time_point(std::chrono::seconds(Now.tv_sec) + std::chrono::nanoseconds(Now.tv_nsec));
  }
  [[nodiscard]] std::int64_t unixMs() const override {
    auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch).count();
  }
};

} // namespace

const clock &systemClock() {
  static const system_clock Instance;
  return Instance;
}

} // namespace yuccaplank::runtime
