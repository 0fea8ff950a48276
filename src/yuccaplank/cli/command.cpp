#include "yuccaplank/cli/command.hpp"

#include <fmt/format.h>

#include <array>

namespace yuccaplank::cli {
namespace {

namespace po = boost::program_options;

void declareNothing(po::options_description & /*Options*/) {}

void declareSubmit(po::options_description &Options) {
  Options.add_options()("key", po::value<std::string>()->value_name("KEY"),
                        "submit under a key of your own, for example an order number");
  Options.add_options()("id", po::value<std::string>()->value_name("ID"),
                        "submit under an id taken earlier; repeats a submission whose outcome is open");
  Options.add_options()("async", po::bool_switch(), "return as soon as the job is accepted");
  Options.add_options()("resubmit", po::value<unsigned>()->value_name("N")->default_value(0),
                        "submit a repeatable job again, under a new id, at most N times after it failed or "
                        "its outcome is unknown");
  Options.add_options()("wait", po::value<double>()->value_name("SECONDS")->default_value(0),
                        "time in which a refused job is submitted again when the refusal says when");
}

void declareGet(po::options_description &Options) {
  Options.add_options()("wait", po::value<double>()->value_name("SECONDS")->default_value(0),
                        "wait up to this time for the job to end");
}

void declareIds(po::options_description &Options) {
  Options.add_options()("count", po::value<unsigned>()->value_name("N")->default_value(1),
                        "number of ids, 1 to 1000");
}

void declareChange(po::options_description &Options) {
  Options.add_options()("yes", po::bool_switch(), "apply without asking");
  Options.add_options()("dry-run", po::bool_switch(), "show the changes only");
  Options.add_options()("wait", po::bool_switch(), "wait until every VM has the new revision");
  Options.add_options()("change", po::value<std::string>()->value_name("ID"),
                        "change id; repeats an apply whose outcome is open");
}

void declareBurn(po::options_description &Options) {
  Options.add_options()("html", po::value<std::string>()->value_name("FILE"),
                        "write the report as one HTML page");
}

constexpr auto Commands = std::to_array<command>({
    {"submit", "FILE", "Submits a job document ('-' reads standard input) and prints its answer.",
     "yuccaplank submit job.json --entry 127.0.0.1:7100,127.0.0.1:7101\n"
     "yuccaplank submit reorder.json --key order-20417\n"
     "yuccaplank submit proofs.json --resubmit 2 --wait 10\n",
     command_target::Entry, declareSubmit, runSubmit},
    {"get", "ID", "Prints the state or the answer of a job.",
     "yuccaplank get i.d1.vm1.1700000000000-7.12 --wait 5\n", command_target::Entry, declareGet, runGet},
    {"cancel", "ID", "Cancels a job.", "yuccaplank cancel k.order-20417\n", command_target::Entry,
     declareNothing, runCancel},
    {"ids", "", "Takes job ids.", "yuccaplank ids --count 100\n", command_target::Entry, declareIds, runIds},
    {"service apply", "FILE", "Shows what a service document changes and commits it.",
     "yuccaplank service apply proofs.json --wait\n"
     "yuccaplank service apply proofs.json --dry-run\n",
     command_target::Operator, declareChange, runServiceApply},
    {"service show", "NAME", "Prints the current revision of a service.", "yuccaplank service show proofs\n",
     command_target::Operator, declareNothing, runServiceShow},
    {"service list", "", "Lists the services.", "yuccaplank service list --operator 127.0.0.1:7200\n",
     command_target::Operator, declareNothing, runServiceList},
    {"service diff", "FILE", "Shows what a service document changes.",
     "yuccaplank service diff proofs.json\n", command_target::Operator, declareNothing, runServiceDiff},
    {"service history", "NAME", "Lists the revisions of a service, oldest first.",
     "yuccaplank service history proofs\n", command_target::Operator, declareNothing, runServiceHistory},
    {"service rollback", "NAME REVISION", "Commits the document of an earlier revision as a new revision.",
     "yuccaplank service rollback proofs 41 --yes --wait\n", command_target::Operator, declareChange,
     runServiceRollback},
    {"service validate", "FILE", "Checks a service document without contacting a VM.",
     "yuccaplank service validate proofs.json\n", command_target::None, declareNothing, runServiceValidate},
    {"vms", "", "Lists the entry VMs.", "yuccaplank vms\n", command_target::Operator, declareNothing, runVms},
    {"servers", "", "Lists the backend servers.", "yuccaplank servers --json\n", command_target::Operator,
     declareNothing, runServers},
    {"report burn", "", "Reports how the services meet their objectives.",
     "yuccaplank report burn\n"
     "yuccaplank report burn --html burn.html\n",
     command_target::Operator, declareBurn, runReportBurn},
    {"top", "", "Shows VMs, backend servers and objectives, refreshed each second.", "yuccaplank top\n",
     command_target::Operator, declareNothing, runTop},
});

} // namespace

std::span<const command> commandTable() { return Commands; }

exit_status runCli(const std::vector<std::string> &Arguments, const environment &Environment,
                   const console &Console, requester &Requester, std::function<std::string()> MakeChangeId) {
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
  command_context Context{Invocation, Console, Requester, std::move(MakeChangeId)};
  return Invocation.Command->Run(Context);
}

} // namespace yuccaplank::cli
