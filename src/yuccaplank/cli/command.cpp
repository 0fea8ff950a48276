#include "yuccaplank/cli/command.hpp"

#include <fmt/format.h>

#include <array>

namespace yuccaplank::cli {
namespace {

namespace po = boost::program_options;

void declareNoOptions(po::options_description & /*Options*/) {}

void declareSubmitOptions(po::options_description &Options) {
  Options.add_options()("id", po::value<std::string>()->value_name("ID"),
                        "job id (16 hexadecimal digits); reuse it to repeat a submission whose outcome is "
                        "unknown");
  Options.add_options()("wait", po::value<double>()->value_name("SECONDS")->default_value(0),
                        "how long to retry a refused job if the refusal names a delay");
}

void declareQueueOption(po::options_description &Options) {
  Options.add_options()("queue", po::value<std::string>()->value_name("HOST/PATH")->required(),
                        "queue of the job");
}

void declareBurnOptions(po::options_description &Options) {
  Options.add_options()("html", po::value<std::string>()->value_name("FILE"),
                        "write the report as one HTML page");
}

void declareCheckOptions(po::options_description &Options) {
  Options.add_options()("in-force", po::value<std::string>()->value_name("FILE"),
                        "configuration in force, to compare with");
  Options.add_options()("body-limit",
                        po::value<std::int64_t>()->value_name("BYTES")->default_value(256 << 10),
                        "setting limits.body_bytes of the VMs");
}

constexpr auto Commands = std::to_array<command>({
    {"submit", "FILE", "Submits a job document ('-' reads standard input) and waits for its outcome.",
     "yuccaplank submit job.json --entry 127.0.0.1:7100,127.0.0.1:7101\n"
     "yuccaplank submit job.json --wait 10\n",
     command_target::Entry, declareSubmitOptions, runSubmit},
    {"state", "ID", "Prints the state of a job. An entry VM knows only the jobs of its own callers.",
     "yuccaplank state 5c0e7a21d94b36f8 --queue jobs.example/jobs/\n", command_target::Entry,
     declareQueueOption, runState},
    {"cancel", "ID", "Cancels a job.", "yuccaplank cancel 5c0e7a21d94b36f8 --queue jobs.example/jobs/\n",
     command_target::Entry, declareQueueOption, runCancel},
    {"waiting", "QUEUE", "Prints the number of waiting jobs of a queue (HOST/PATH).",
     "yuccaplank waiting jobs.example/jobs/\n", command_target::Entry, declareNoOptions, runWaiting},
    {"vms", "", "Lists the entry VMs as reported by one of them.", "yuccaplank vms\n",
     command_target::Operator, declareNoOptions, runVms},
    {"servers", "", "Lists the backend servers that the queried VMs own.", "yuccaplank servers --json\n",
     command_target::Operator, declareNoOptions, runServers},
    {"evacuations", "", "Lists the evacuated failure domains and the runs that are left there.",
     "yuccaplank evacuations --json\n", command_target::Operator, declareNoOptions, runEvacuations},
    {"evacuate", "DOMAIN", "Stops sending tasks to the servers of a failure domain; runs go on.",
     "yuccaplank evacuate north-1\n", command_target::Operator, declareNoOptions, runEvacuate},
    {"take-back", "DOMAIN", "Ends an evacuation that was requested with 'evacuate'.",
     "yuccaplank take-back north-1\n", command_target::Operator, declareNoOptions, runTakeBack},
    {"report burn", "", "Reports how well the queues meet their objectives.",
     "yuccaplank report burn\n"
     "yuccaplank report burn --html burn.html\n",
     command_target::Operator, declareBurnOptions, runReportBurn},
    {"top", "", "Shows VMs, objectives and backend servers, refreshed every second.", "yuccaplank top\n",
     command_target::Operator, declareNoOptions, runTop},
    {"check-configuration", "FILE",
     "Checks a configuration ('-' reads standard input) before it is sent; connects to nothing.",
     "yuccaplank check-configuration new.json\n"
     "yuccaplank check-configuration new.json --in-force current.json\n",
     command_target::None, declareCheckOptions, runCheckConfiguration},
});

} // namespace

std::span<const command> commandTable() { return Commands; }

exit_status runCli(const std::vector<std::string> &Arguments, const environment &Environment,
                   const console &Console, requester &Requester, std::function<std::string()> MakeJobId) {
  parsed_arguments Parsed = parseArguments(Arguments, Environment);
  if (const auto *Help = std::get_if<help_request>(&Parsed)) {
    Console.Out(formatHelp(Help->Command));
    return exit_status::Done;
  }
  if (const auto *UsageError = std::get_if<usage_error>(&Parsed)) {
    Console.printError(UsageError->Message);
    std::string Name = UsageError->Command ? fmt::format(" {}", UsageError->Command->Name) : "";
    Console.printError(fmt::format("see 'yuccaplank{} --help'.", Name));
    return exit_status::Usage;
  }
  const auto &Invocation = std::get<invocation>(Parsed);
  command_context Context{Invocation, Console, Requester, std::move(MakeJobId)};
  return Invocation.Command->Run(Context);
}

} // namespace yuccaplank::cli
