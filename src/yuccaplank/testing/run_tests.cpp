// Runs all tests, or those whose name contains the argument, and prints "N passed, N failed" at the end.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <fmt/format.h>

#include <iostream>
#include <memory>
#include <string>

namespace {

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
  int Failed = Collector.testFailuresTotal();
  fmt::print("{} passed, {} failed\n", Collector.runTests() - Failed, Failed);
  return Failed == 0 ? 0 : 1;
}
