#include "yuccaplank/load/measurements.hpp"
#include "yuccaplank/load/options.hpp"
#include "yuccaplank/load/workload.hpp"
#include "yuccaplank/testing/story.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

using namespace yuccaplank;
using namespace yuccaplank::load;
using testing::story;

namespace {

// Guards against a run with options other than those meant.
const story Options("load options: parsing and usage errors", [] {
  auto Parsed = parseLoadOptions({"--entries", "127.0.0.1:1,127.0.0.1:2", "--tasks", "1-100", "--rate", "50",
                                  "--task-ms", "empty", "--seed", "7"},
                                 3);
  const auto &Options = std::get<load_options>(Parsed);
  CPPUNIT_ASSERT_EQUAL(std::size_t(2), Options.Entries.size());
  CPPUNIT_ASSERT_EQUAL(100U, Options.MaxTasks);
  CPPUNIT_ASSERT(Options.EmptyTasks);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Options.Seed);
  const std::vector<std::vector<std::string>> Wrong = {{},
                                                       {"--tasks", "1-101"},
                                                       {"--tasks", "5-1"},
                                                       {"--tasks", "x"},
                                                       {"--task-ms", "zero"},
                                                       {"--rate", "-1"},
                                                       {"--resubmit-percent", "101"},
                                                       {"--speed-max", "0"},
                                                       {"--seconds", "0"},
                                                       {"--bogus"},
                                                       {"stray"}};
  for (std::vector<std::string> Arguments : Wrong) {
    if (!Arguments.empty())
      Arguments.insert(Arguments.end(), {"--entries", "127.0.0.1:1"});
    CPPUNIT_ASSERT_MESSAGE(Arguments.empty() ? "no arguments" : Arguments[0],
                           std::holds_alternative<load_usage_error>(parseLoadOptions(Arguments, 3)));
  }
});

// Guards against run times outside the stated distribution, and against kinds that cannot be learnt.
const story Workload("workload: run times by kind", [] {
  load_options Options;
  Options.Seed = 11;
  Options.MinTasks = Options.MaxTasks = 100;
  workload Work(Options);
  std::map<std::string, std::pair<double, double>> RangeOfKind;
  int Tasks = 0;
  int Long = 0;
  double WorstDeclared = 1;
  for (int Index = 0; Index < 200; ++Index) {
    planned_job Planned = Work.next();
    for (const schema::task &Task : Planned.Job.tasks()) {
      double Ms = nlohmann::json::parse(Task.payload())["ms"].get<double>();
      CPPUNIT_ASSERT(Ms >= 50 && Ms <= 6000);
      ++Tasks;
      Long += Ms > 1000 ? 1 : 0;
      auto [Range, New] = RangeOfKind.try_emplace(Task.kind(), Ms, Ms);
      Range->second = {std::min(Range->second.first, Ms), std::max(Range->second.second, Ms)};
      WorstDeclared = std::max(WorstDeclared, std::max(Task.declared_ms() / Ms, Ms / Task.declared_ms()));
    }
  }
  CPPUNIT_ASSERT(Long > Tasks / 100 && Long < Tasks * 3 / 100);
  CPPUNIT_ASSERT(WorstDeclared > 4 && WorstDeclared < 10 * 1.3 * 1.001);
  for (const auto &[Kind, Range] : RangeOfKind)
    CPPUNIT_ASSERT_MESSAGE(Kind, Range.second / Range.first <= 1.3 * 1.3 * 1.001);
  // The same seed offers the same jobs.
  CPPUNIT_ASSERT_EQUAL(workload(Options).next().Job.SerializeAsString(),
                       workload(Options).next().Job.SerializeAsString());
});

// Guards against percentiles that leave out the worst samples.
const story Percentiles("measurements: percentiles over all samples", [] {
  std::vector<double> Samples;
  CPPUNIT_ASSERT_EQUAL(0.0, percentile(Samples, 99));
  for (int Value = 1000; Value >= 1; --Value)
    Samples.push_back(Value);
  CPPUNIT_ASSERT_EQUAL(500.0, percentile(Samples, 50));
  CPPUNIT_ASSERT_EQUAL(990.0, percentile(Samples, 99));
  CPPUNIT_ASSERT_EQUAL(1000.0, percentile(Samples, 100));
  CPPUNIT_ASSERT_EQUAL(std::string("{\"name\":\"x\",\"value\":1.5,\"unit\":\"ms\"}\n"),
                       figureLine("x", 1.5, "ms"));
});

} // namespace
