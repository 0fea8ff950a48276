// CppUnit tests with nested sections, such as given, when and then.
#pragma once

#include <cppunit/TestAssert.h>

#include <functional>
#include <string>
#include <string_view>

namespace yuccaplank::testing {

/// A test. Its body runs from the start once for every innermost section, so that sections do not share
/// state:
///
///     const test_case Retention("job table: retention", [] {
///       auto Table = …;
///       if (auto Given = section("given a finished job")) {
///         if (auto When = section("when it is submitted again")) { … CPPUNIT_ASSERT_EQUAL(…); }
///         if (auto When = section("when its retention has passed")) { … }
///       }
///     });
class test_case {
public:
  test_case(std::string Name, std::function<void()> Body);
};

/// A section of the running test case. It converts to true in the run that enters it.
class section {
public:
  explicit section(std::string_view Name);
  ~section();
  section(const section &) = delete;
  section &operator=(const section &) = delete;
  explicit operator bool() const { return Entered; }

private:
  bool Entered;
};

} // namespace yuccaplank::testing
