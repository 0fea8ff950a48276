#include "runtime_estimator.hpp"
#include "yuccaplank/testing/story.hpp"

#include <cppunit/TestAssert.h>
#include <pcg_random.hpp>

#include <cmath>
#include <random>

using namespace yuccaplank::model;
using yuccaplank::testing::section;
using yuccaplank::testing::story;

namespace {

// Guards against run times and speeds that stay wrong: declared times off by 10x, times that vary within a
// kind, undeclared times, and servers that change their speed.
const story Learning("runtime estimator: learning", [] {
  runtime_estimator Estimator;
  pcg32 Random(7);
  auto Kind = Estimator.kind("proofs", "render");
  speed_belief Slow;
  speed_belief Fast;
  auto LogUniform = [&](double Low, double High) {
    return std::exp(std::uniform_real_distribution<>(std::log(Low), std::log(High))(Random));
  };
  auto Ratio = [&](double DeclaredMs, double Ms) {
    return std::exp(Estimator.estimate(Kind, DeclaredMs).Log - Slow.Log) / Ms;
  };
  if (auto When = section("given declared times that are 10x too long")) {
    for (int Task = 0; Task < 400; ++Task) {
      double Ms = LogUniform(50, 5000);
      Estimator.observe(Kind, Ms * 10, Ms, Slow);
      Estimator.observe(Kind, Ms * 10, Ms / 4, Fast);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(std::log(4.0), Fast.Log - Slow.Log, 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Ratio(1000, 100), 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Ratio(20'000, 2000), 0.1);
    CPPUNIT_ASSERT(Estimator.estimate(Kind, 1000).Spread < 0.15);
    if (auto Then = section("a server that is repaired is known to be fast again after 50 tasks")) {
      for (int Task = 0; Task < 50; ++Task) {
        double Ms = LogUniform(50, 5000);
        Estimator.observe(Kind, Ms * 10, Ms / 4, Slow);
      }
      CPPUNIT_ASSERT_DOUBLES_EQUAL(Fast.Log, Slow.Log, 0.2);
    }
  }
  if (auto When = section("given declared times that say nothing")) {
    for (int Task = 0; Task < 1000; ++Task)
      Estimator.observe(Kind, LogUniform(1, 10'000), LogUniform(180, 220), Slow);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Ratio(1, 200), 0.25);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Ratio(10'000, 200), 0.25);
  }
  if (auto When = section("given ever new kinds, memory stays bounded")) {
    kind_id Last = 0;
    for (int Index = 0; Index < 30'000; ++Index)
      Last = Estimator.kind("proofs", std::to_string(Index));
    CPPUNIT_ASSERT(Last <= 20'000);
    CPPUNIT_ASSERT_EQUAL(Kind, Estimator.kind("proofs", "render"));
  }
  if (auto When = section("given no declared times that vary by 2x either way")) {
    for (int Task = 0; Task < 400; ++Task)
      Estimator.observe(Kind, 0, LogUniform(100, 400), Slow);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Ratio(0, 200), 0.2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, Estimator.estimate(Kind, 0).Spread, 0.1);
  }
});

} // namespace
