// Stand-in for backend servers, see servers.hpp.
#include "servers.hpp"
#include "yuccaplank/runtime/descriptor_limit.hpp"
#include "yuccaplank/runtime/log.hpp"
#include "yuccaplank/standin/program.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <sstream>

namespace {

namespace po = boost::program_options;
using namespace yuccaplank;

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

int runServers(const standin::servers_options &Options) {
  // Each server needs a few descriptors besides its connections.
  runtime::raiseDescriptorLimit();
  auto Loop = runtime::makeLoop();
  auto Servers = standin::makeServers(*Loop, Options);
  if (!Servers) {
    log(runtime::log_level::Error, "listen_failed", {{"reason", Servers.error().message()}});
    return 1;
  }
  log(runtime::log_level::Info, "servers_ready",
      {{"servers", std::int64_t{Options.Count}},
       {"first_port", std::int64_t{Servers.value()->port(0)}},
       {"control_port", std::int64_t{Servers.value()->controlPort()}}});
  standin::runUntilSignal(*Loop);
  return 0;
}

// Options whose text is interpreted after parsing.
struct raw_options {
  std::string Speeds = "1";
  std::string Domains = "d1";
};

po::options_description describe(standin::servers_options &Options, raw_options &Raw) {
  po::options_description Description("yuccaplank-standin-servers: backend servers for tests");
  auto Add = Description.add_options();
  Add("help", "show this text");
  Add("listen", po::value(&Options.Listen)->default_value(Options.Listen), "IP number of all listeners");
  Add("first-port", po::value(&Options.FirstPort)->default_value(9100), "port of the first server");
  Add("control-port", po::value(&Options.ControlPort)->default_value(9099), "port of the control listener");
  Add("count", po::value(&Options.Count)->default_value(Options.Count), "number of servers");
  Add("slots", po::value(&Options.Slots)->default_value(Options.Slots), "slots of each server");
  Add("connections", po::value(&Options.Connections)->default_value(Options.Connections),
      "connections each server accepts");
  Add("speeds", po::value(&Raw.Speeds)->default_value(Raw.Speeds),
      "speed factors, given to the servers in turn");
  Add("domains", po::value(&Raw.Domains)->default_value(Raw.Domains), "failure domains, given in turn");
  Add("pool", po::value(&Options.Pool)->default_value(Options.Pool), "pool of all servers");
  Add("cores", po::value(&Options.Cores)->default_value(Options.Cores), "cores in the VM list");
  Add("memory-mb", po::value(&Options.MemoryMb)->default_value(Options.MemoryMb), "memory in the VM list");
  Add("accelerators", po::value(&Options.Accelerators)->default_value(Options.Accelerators),
      "accelerators in the VM list");
  Add("print-vm-list", "print the servers' part of the VM list as JSON and exit");
  return Description;
}

void interpret(const raw_options &Raw, standin::servers_options &Options) {
  Options.Speeds.clear();
  for (const std::string &Part : splitList(Raw.Speeds))
    Options.Speeds.push_back(std::stod(Part));
  Options.Domains = splitList(Raw.Domains);
  if (Options.Speeds.empty() || Options.Domains.empty() || Options.Count == 0)
    throw po::error("count, speeds and domains must not be empty");
}

} // namespace

int main(int Count, char **Arguments) {
  standin::servers_options Options;
  raw_options Raw;
  return standin::runProgram(Count, Arguments, describe(Options, Raw), [&](const po::variables_map &Given) {
    interpret(Raw, Options);
    if (!Given.contains("print-vm-list"))
      return runServers(Options);
    fmt::print("{}\n", standin::vmListJson(Options));
    return 0;
  });
}
