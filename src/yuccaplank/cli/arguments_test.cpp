#include "yuccaplank/testing/cli_run.hpp"
#include "yuccaplank/testing/test_case.hpp"

using namespace std::chrono_literals;
using namespace yuccaplank;
using namespace yuccaplank::cli;
using testing::cli_run;
using testing::section;
using testing::test_case;

namespace {

std::string noEnvironment(const std::string & /*Name*/) { return {}; }

// Guards against a command that runs although its command line is wrong, for example because a misspelled
// option is ignored, and against an exit status other than 2 in such a case.
const test_case UsageErrors("cli: usage errors end with exit status 2 and send no request", [] {
  cli_run Run([](const wire::http_call &) { return testing::refusedConnection(); });
  Run.Files["job.json"] = "{}";
  const std::vector<std::vector<std::string>> WrongCommandLines = {
      {},
      {"nonsense"},
      {"report"},
      {"report", "nonsense"},
      {"submit", "--entry", "127.0.0.1:1"},
      {"submit", "job.json"},
      {"submit", "job.json", "extra", "--entry", "127.0.0.1:1"},
      {"submit", "job.json", "--entry", "localhost:1"},
      {"submit", "job.json", "--entry", "127.0.0.1:0"},
      {"submit", "job.json", "--entry", "127.0.0.1:1,"},
      {"submit", "job.json", "--entry", "[127.0.0.1]:1"},
      {"submit", "job.json", "--entry", "127.0.0.1:1", "--unknown"},
      {"submit", "job.json", "--entry", "127.0.0.1:1", "--wai", "1"},
      {"submit", "job.json", "--entry", "127.0.0.1:1", "--wait", "x"},
      {"submit", "job.json", "--entry", "127.0.0.1:1", "--wait", "-1"},
      {"submit", "job.json", "--entry", "127.0.0.1:1", "--id", "17"},
      {"submit", "job.json", "--entry", "127.0.0.1:1", "--timeout", "0"},
      {"submit", "job.json", "--entry", "127.0.0.1:1", "--timeout", "nan"},
      {"state", "5c0e7a21d94b36f8", "--entry", "127.0.0.1:1"},
      {"state", "5c0e7a21d94b36f8", "--entry", "127.0.0.1:1", "--queue", "jobs.example"},
      {"cancel", "5c0e", "--entry", "127.0.0.1:1", "--queue", "jobs.example/jobs/"},
      {"waiting", "/jobs/", "--entry", "127.0.0.1:1"},
      {"check-configuration"},
      {"check-configuration", "job.json", "--body-limit", "0"},
      {"check-configuration", "-", "--in-force", "-"},
      {"vms"},
      {"vms", "--operator", "[::1]"},
  };
  for (const auto &Arguments : WrongCommandLines) {
    std::string Line = "arguments:";
    for (const std::string &Argument : Arguments)
      Line += " " + Argument;
    Run.Err.clear();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Line, 2, Run.run(Arguments));
    CPPUNIT_ASSERT_MESSAGE(Line, Run.Err.starts_with("yuccaplank: "));
  }
  CPPUNIT_ASSERT(Run.Client.Calls.empty());
});

// Guards against options that are ignored, and against option values that are taken for the command because
// they precede it.
const test_case Parsing("cli: options are read from the command line and the environment", [] {
  if (auto Given = section("given global options that precede the command")) {
    auto Parsed = parseArguments(
        {"--entry", "127.0.0.1:1,[::1]:2", "--json", "--timeout=1.5", "waiting", "ID1"}, noEnvironment);
    const auto &Invocation = std::get<invocation>(Parsed);
    CPPUNIT_ASSERT_EQUAL(std::string("waiting"), std::string(Invocation.Command->Name));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Invocation.Global.Entries.size());
    CPPUNIT_ASSERT(Invocation.Global.Json);
    CPPUNIT_ASSERT(Invocation.Global.Timeout == 1500ms);
    CPPUNIT_ASSERT_EQUAL(std::string("ID1"), Invocation.stringOption("QUEUE"));
  }
  if (auto Given = section("given addresses in the environment, the command line takes precedence")) {
    auto Environment = [](const std::string &Name) {
      return Name == "YUCCAPLANK_ENTRY" ? std::string("127.0.0.1:1") : std::string("value");
    };
    auto Parsed = parseArguments({"submit", "-", "--entry", "127.0.0.1:9"}, [&](const std::string &Name) {
      return Name == "YUCCAPLANK_OPERATOR" ? std::string("127.0.0.1:2") : Environment(Name);
    });
    const auto &Invocation = std::get<invocation>(Parsed);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9"), Invocation.Global.Entries.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:2"), Invocation.Global.Operators.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("-"), Invocation.stringOption("FILE"));
  }
  if (auto Given = section("given --help, each command prints its usage examples")) {
    cli_run Run([](const wire::http_call &) { return testing::refusedConnection(); });
    for (const command &Command : commandTable()) {
      Run.Out.clear();
      std::vector<std::string> Arguments{std::string(Command.Name), "--help"};
      if (auto Space = Arguments[0].find(' '); Space != std::string::npos) {
        Arguments.insert(Arguments.begin() + 1, Arguments[0].substr(Space + 1));
        Arguments[0].resize(Space);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Arguments[0], 0, Run.run(Arguments));
      CPPUNIT_ASSERT(Run.Out.find("Examples:\n  yuccaplank " + std::string(Command.Name)) !=
                     std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(0, Run.run({"--help"}));
  }
});

} // namespace
