#include "test_case.hpp"

#include <cppunit/Exception.h>
#include <cppunit/TestCase.h>
#include <cppunit/extensions/TestFactory.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <exception>
#include <memory>
#include <set>
#include <vector>

namespace yuccaplank::testing {
namespace {

// Progress of one test case through its sections. Each run of the body enters one path from an outermost to
// an innermost section. A section is done when it has been entered and no section within it remains to be
// entered.
struct test_progress {
  std::set<std::string> Done;
  std::vector<std::string> Path;
  // Whether this run has already left an innermost section; the sections that follow wait for the next run.
  bool LeafDone = false;
  // Whether this run has skipped a section that is not done.
  bool Skipped = false;
};

test_progress *CurrentTest = nullptr;

std::string joinPath(const std::vector<std::string> &Path) {
  std::string Joined;
  for (const std::string &Name : Path)
    Joined += " / " + Name;
  return Joined;
}

class sectioned_test final : public CppUnit::TestCase {
public:
  sectioned_test(const std::string &Name, std::function<void()> Body)
      : CppUnit::TestCase(Name), Body(std::move(Body)) {}

  void runTest() override {
    test_progress Progress;
    CurrentTest = &Progress;
    do {
      Progress.Path.clear();
      Progress.LeafDone = false;
      Progress.Skipped = false;
      runOnce(Progress);
    } while (Progress.Skipped);
    CurrentTest = nullptr;
  }

private:
  void runOnce(test_progress &Progress) {
    try {
      Body();
    } catch (CppUnit::Exception &Failure) {
      CppUnit::Message Message = Failure.message();
      Message.addDetail("in" + joinPath(Progress.Path));
      Failure.setMessage(Message);
      throw;
    }
  }

  std::function<void()> Body;
};

class test_factory final : public CppUnit::TestFactory {
public:
  test_factory(std::string Name, std::function<void()> Body) : Name(std::move(Name)), Body(std::move(Body)) {}
  CppUnit::Test *makeTest() override { return new sectioned_test(Name, Body); }

private:
  std::string Name;
  std::function<void()> Body;
};

} // namespace

test_case::test_case(std::string Name, std::function<void()> Body) {
  // The registry does not own its factories.
  static std::vector<std::unique_ptr<test_factory>> Factories;
  Factories.push_back(std::make_unique<test_factory>(std::move(Name), std::move(Body)));
  CppUnit::TestFactoryRegistry::getRegistry().registerFactory(Factories.back().get());
}

section::section(std::string_view Name) : Entered(false) {
  CurrentTest->Path.emplace_back(Name);
  std::string Key = joinPath(CurrentTest->Path);
  if (!CurrentTest->Done.contains(Key)) {
    if (CurrentTest->LeafDone)
      CurrentTest->Skipped = true;
    else
      Entered = true;
  }
  if (!Entered)
    CurrentTest->Path.pop_back();
}

section::~section() {
  if (!Entered)
    return;
  // A failed assertion reports the path, so the path is kept.
  if (std::uncaught_exceptions() > 0)
    return;
  if (!CurrentTest->Skipped)
    CurrentTest->Done.insert(joinPath(CurrentTest->Path));
  CurrentTest->LeafDone = true;
  CurrentTest->Path.pop_back();
}

} // namespace yuccaplank::testing
