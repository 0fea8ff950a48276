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

// Progress of one test case through its sections. A section is done when it was entered and no section within
// it is left. In each run one path from the outermost to an innermost section is entered.
struct story_progress {
  std::set<std::string> Done;
  std::vector<std::string> Path;
  // Whether a section was left in this run; sections that follow it wait for the next run.
  bool LeafRun = false;
  // Whether a section that is not done was passed over in this run.
  bool Skipped = false;
};

story_progress *Current = nullptr;

std::string joinPath(const std::vector<std::string> &Path) {
  std::string Joined;
  for (const std::string &Name : Path)
    Joined += " / " + Name;
  return Joined;
}

class story_case final : public CppUnit::TestCase {
public:
  story_case(const std::string &Name, std::function<void()> Body)
      : CppUnit::TestCase(Name), Body(std::move(Body)) {}

  void runTest() override {
    story_progress Progress;
    Current = &Progress;
    do {
      Progress.Path.clear();
      Progress.LeafRun = false;
      Progress.Skipped = false;
      runOnce(Progress);
    } while (Progress.Skipped);
    Current = nullptr;
  }

private:
  void runOnce(story_progress &Progress) {
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

class story_factory final : public CppUnit::TestFactory {
public:
  story_factory(std::string Name, std::function<void()> Body)
      : Name(std::move(Name)), Body(std::move(Body)) {}
  CppUnit::Test *makeTest() override { return new story_case(Name, Body); }

private:
  std::string Name;
  std::function<void()> Body;
};

} // namespace

test_case::test_case(std::string Name, std::function<void()> Body) {
  // The registry does not own its factories.
  static std::vector<std::unique_ptr<story_factory>> Factories;
  Factories.push_back(std::make_unique<story_factory>(std::move(Name), std::move(Body)));
  CppUnit::TestFactoryRegistry::getRegistry().registerFactory(Factories.back().get());
}

section::section(std::string_view Name) : Entered(false) {
  Current->Path.emplace_back(Name);
  std::string Key = joinPath(Current->Path);
  if (!Current->Done.contains(Key)) {
    if (Current->LeafRun)
      Current->Skipped = true;
    else
      Entered = true;
  }
  if (!Entered)
    Current->Path.pop_back();
}

section::~section() {
  if (!Entered)
    return;
  // A failure keeps the path for its report.
  if (std::uncaught_exceptions() > 0)
    return;
  if (!Current->Skipped)
    Current->Done.insert(joinPath(Current->Path));
  Current->LeafRun = true;
  Current->Path.pop_back();
}

} // namespace yuccaplank::testing
