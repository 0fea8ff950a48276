#include "yuccaplank/runtime/lifetime.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <functional>
#include <optional>

using namespace yuccaplank;
using testing::section;
using testing::test_case;

namespace {

// Guards against deferred functions that use an object after its destruction, or after it has discarded them
// by renewing its lifetime.
const test_case Guard("lifetime: guarded functions are disabled with their lifetime", [] {
  std::optional<runtime::lifetime> Lifetime(std::in_place);
  int Sum = 0;
  std::function<void(int)> Add = Lifetime->guard([&Sum](int Value) { Sum += Value; });
  Add(1);
  if (auto When = section("when the lifetime has ended, the function does nothing"))
    Lifetime.reset();
  if (auto When = section("when the lifetime has been renewed, only functions guarded since then run")) {
    Lifetime->renew();
    Lifetime->guard([&Sum](int Value) { Sum += 10 * Value; })(1);
    CPPUNIT_ASSERT_EQUAL(11, Sum);
    Sum = 1;
  }
  Add(1);
  CPPUNIT_ASSERT_EQUAL(1, Sum);
});

} // namespace
