#include "yuccaplank/cli/command.hpp"

#include <fmt/format.h>

#include <array>

namespace yuccaplank::cli {
namespace {

namespace po = boost::program_options;

void declareNothing(po::options_description & /*Options*/) {}

void declareSubmit(po::options_description &Options) {
  Options.add_options()("id", po::value<std::string>()->value_name("ID"),
                        "submit under this id (16 hexadecimal digits); repeats a submission whose outcome is "
                        "open");
  Options.add_options()("wait", po::value<double>()->value_name("SECONDS")->default_value(0),
                        "time in which a refused job is submitted again when the refusal says when");
}

void declareQueue(po::options_description &Options) {
  Options.add_options()("queue", po::value<std::string>()->value_name("HOST/PATH")->required(),
                        "queue of the job");
}

void declareBurn(po::options_description &Options) {
  Options.add_options()("html", po::value<std::string>()->value_name("FILE"),
                        "write the report as one HTML page");
}

constexpr auto Commands = std::to_array<command>({
    {"submit", "FILE", "Submits a job document ('-' reads standard input) and waits for its end.",
     "yuccaplank submit job.json --entry 127.0.0.1:7100,127.0.0.1:7101\n"
     "yuccaplank submit job.json --wait 10\n",
     command_target::Entry, declareSubmit, runSubmit},
    {"state", "ID", "Prints the state of a job; an entry VM knows the jobs of its own callers.",
     "yuccaplank state 5c0e7a21d94b36f8 --queue jobs.example/jobs/\n", command_target::Entry, declareQueue,
     runState},
    {"cancel", "ID", "Cancels a job.", "yuccaplank cancel 5c0e7a21d94b36f8 --queue jobs.example/jobs/\n",
     command_target::Entry, declareQueue, runCancel},
    {"waiting", "QUEUE", "Prints how many jobs of a queue (HOST/PATH) wait.",
     "yuccaplank waiting jobs.example/jobs/\n", command_target::Entry, declareNothing, runWaiting},
    {"vms", "", "Lists the entry VMs as one of them sees them.", "yuccaplank vms\n", command_target::Operator,
     declareNothing, runVms},
    {"servers", "", "Lists the backend servers that the VMs asked own.", "yuccaplank servers --json\n",
     command_target::Operator, declareNothing, runServers},
    {"report burn", "", "Reports how the queues meet their objectives.",
     "yuccaplank report burn\n"
     "yuccaplank report burn --html burn.html\n",
     command_target::Operator, declareBurn, runReportBurn},
    {"top", "", "Shows VMs, objectives and backend servers, refreshed each second.", "yuccaplank top\n",
     command_target::Operator, declareNothing, runTop},
});

} // namespace

std::span<const command> commandTable() { return Commands; }

exit_status runCli(const std::vector<std::string> &Arguments, const environment &Environment,
                   const console &Console, requester &Requester, std::function<std::string()> MakeJobId) {
  parsed_arguments Parsed = parseArguments(Arguments, Environment);
  if (const auto *Help = std::get_if<help_request>(&Parsed)) {
    Console.Out(helpText(Help->Command));
    return exit_status::Done;
  }
  if (const auto *Wrong = std::get_if<usage_error>(&Parsed)) {
    Console.error(Wrong->Message);
    std::string Name = Wrong->Command ? fmt::format(" {}", Wrong->Command->Name) : "";
    Console.error(fmt::format("see 'yuccaplank{} --help'.", Name));
    return exit_status::Usage;
  }
  const auto &Invocation = std::get<invocation>(Parsed);
  command_context Context{Invocation, Console, Requester, std::move(MakeJobId)};
  return Invocation.Command->Run(Context);
}

} // namespace yuccaplank::cli
