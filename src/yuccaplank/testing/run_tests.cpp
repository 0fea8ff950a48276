// Runs all tests, or those whose name contains the argument, and prints "N passed, N failed" at the end. A
// test that KNOWN-RED.txt lists has to fail: its failure does not count, and its success does.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <string>

namespace {

// Returns the names in the first column of KNOWN-RED.txt.
std::set<std::string> readKnownRedTests() {
  std::set<std::string> Names;
  std::ifstream File(YUCCAPLANK_SOURCE_DIR "/KNOWN-RED.txt");
  for (std::string Line; std::getline(File, Line);) {
    std::string Name = Line.substr(0, Line.find(" | "));
    if (!Name.empty() && Name.front() != '#')
      Names.insert(Name);
  }
  return Names;
}

// Counts the failed tests that are not listed, and the listed ones that have run and not failed.
int countUnexpected(const CppUnit::TestResultCollector &Collector) {
  const std::set<std::string> KnownRed = readKnownRedTests();
  std::set<std::string> Failed;
  for (const CppUnit::TestFailure *Failure : Collector.failures())
    Failed.insert(Failure->failedTestName());
  int Unexpected = 0;
  for (const CppUnit::Test *Test : Collector.tests()) {
    bool HasFailed = Failed.contains(Test->getName());
    bool IsKnownRed = KnownRed.contains(Test->getName());
    if (HasFailed == IsKnownRed)
      continue;
    fmt::print("{}: {}\n", Test->getName(), HasFailed ? "failed" : "is listed in KNOWN-RED.txt and passes");
    ++Unexpected;
  }
  return Unexpected;
}

void runMatching(CppUnit::Test &Test, const std::string &Filter, CppUnit::TestResult &Result) {
  if (Test.getChildTestCount() == 0) {
    if (Test.getName().find(Filter) != std::string::npos)
      Test.run(&Result);
    return;
  }
  for (int Index = 0; Index < Test.getChildTestCount(); ++Index)
    runMatching(*Test.getChildTestAt(Index), Filter, Result);
}

} // namespace

int main(int Count, char **Arguments) {
  std::string Filter = Count > 1 ? Arguments[1] : "";
  std::unique_ptr<CppUnit::Test> Suite(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  CppUnit::TestResult Result;
  CppUnit::TestResultCollector Collector;
  CppUnit::BriefTestProgressListener Progress;
  Result.addListener(&Collector);
  Result.addListener(&Progress);
  runMatching(*Suite, Filter, Result);
  CppUnit::CompilerOutputter(&Collector, std::cerr).write();
  int Failed = countUnexpected(Collector);
  fmt::print("{} passed, {} failed\n", Collector.runTests() - Failed, Failed);
  return Failed == 0 ? 0 : 1;
}
