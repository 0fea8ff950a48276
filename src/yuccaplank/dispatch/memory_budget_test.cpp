#include "memory_budget.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

#include <vector>

using namespace yuccaplank::dispatch;
using yuccaplank::testing::section;
using yuccaplank::testing::test_case;

namespace {

// Guards against a source that shuts out the others, and against memory that is never free again.
const test_case Shares("memory budget: greedy sources leave room for others", [] {
  memory_budget Budget(1000);
  std::vector<memory_budget::reservation> Taken;
  auto Take = [&](const std::string &Source, std::uint64_t Bytes) {
    auto Reserved = Budget.take(Source, Bytes);
    if (Reserved)
      Taken.push_back(std::move(*Reserved));
    return Reserved.has_value();
  };
  auto TakeAll = [&](const std::string &Source) {
    while (Take(Source, 10)) {
    }
  };
  TakeAll("a");
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{500}, Budget.taken());
  if (auto When = section("each further greedy source gets half of what is left")) {
    TakeAll("b");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{750}, Budget.taken());
    CPPUNIT_ASSERT(Take("c", 250));
    CPPUNIT_ASSERT(!Take("d", 10));
  }
  if (auto When = section("a source that has taken nothing gets no more than is free"))
    CPPUNIT_ASSERT(!Take("b", 510));
  if (auto When = section("what was taken is free again when its reservation ends")) {
    Taken.clear();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Budget.taken());
    CPPUNIT_ASSERT(Take("a", 10));
  }
  if (auto When = section("a single demand beyond the limit is admitted while nothing else is taken")) {
    Taken.clear();
    CPPUNIT_ASSERT(Take("a", 2000));
    CPPUNIT_ASSERT(!Take("b", 10));
  }
});

} // namespace
