// Stand-in for backend servers, see servers.hpp.
#include "servers.hpp"
#include "yuccaplank/runtime/descriptor_limit.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <csignal>
#include <exception>
#include <sstream>

namespace {

namespace po = boost::program_options;
using namespace yuccaplank;

constexpr int UsageStatus = 2;

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
  Loop->onSignal([&](int Signal) {
    if (Signal != SIGHUP)
      Loop->stop();
  });
  log(runtime::log_level::Info, "servers_ready",
      {{"servers", std::int64_t{Options.Count}},
       {"first_port", std::int64_t{Servers.value()->port(0)}},
       {"control_port", std::int64_t{Servers.value()->controlPort()}}});
  Loop->run();
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  standin::servers_options Options;
  std::string Speeds = "1";
  std::string Domains = "d1";
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
  Add("speeds", po::value(&Speeds)->default_value(Speeds), "speed factors, given to the servers in turn");
  Add("domains", po::value(&Domains)->default_value(Domains), "failure domains, given in turn");
  Add("pool", po::value(&Options.Pool)->default_value(Options.Pool), "pool of all servers");
  Add("cores", po::value(&Options.Cores)->default_value(Options.Cores), "cores in the VM list");
  Add("memory-mb", po::value(&Options.MemoryMb)->default_value(Options.MemoryMb), "memory in the VM list");
  Add("accelerators", po::value(&Options.Accelerators)->default_value(Options.Accelerators),
      "accelerators in the VM list");
  Add("print-vm-list", "print the servers' part of the VM list as JSON and exit");
  try {
    po::variables_map Values;
    po::store(po::parse_command_line(Count, Arguments, Description), Values);
    po::notify(Values);
    Options.Speeds.clear();
    for (const std::string &Part : splitList(Speeds))
      Options.Speeds.push_back(std::stod(Part));
    Options.Domains = splitList(Domains);
    if (Options.Speeds.empty() || Options.Domains.empty() || Options.Count == 0)
      throw po::error("count, speeds and domains must not be empty");
    if (Values.contains("help")) {
      fmt::print("{}\n", (std::ostringstream() << Description).str());
      return 0;
    }
    if (Values.contains("print-vm-list")) {
      fmt::print("{}\n", standin::vmListJson(Options));
      return 0;
    }
    return runServers(Options);
  } catch (const std::exception &Error) {
    fmt::print(stderr, "{}\n{}\n", Error.what(), (std::ostringstream() << Description).str());
    return UsageStatus;
  }
}
