// Stand-in for the users' platform; see site.hpp.
#include "site.hpp"
#include "yuccaplank/runtime/descriptor_limit.hpp"
#include "yuccaplank/runtime/log.hpp"
#include "yuccaplank/standin/program.hpp"

#include <boost/algorithm/string.hpp>
#include <boost/program_options.hpp>

#include <algorithm>

namespace {

namespace po = boost::program_options;
using namespace yuccaplank;

int runSite(const standin::site_options &Options) {
  // Each worker needs several file descriptors in addition to those of its connections.
  runtime::raiseDescriptorLimit();
  auto Loop = runtime::makeLoop();
  auto Site = standin::makeSite(*Loop, Options);
  if (!Site) {
    log(runtime::log_level::Error, "listen_failed", {{"reason", Site.error().message()}});
    return 1;
  }
  log(runtime::log_level::Info, "site_ready",
      {{"store_port", std::int64_t{Site.value()->store().port()}},
       {"control_port", std::int64_t{Site.value()->controlPort()}}});
  standin::runUntilSignal(*Loop);
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  standin::site_options Options;
  std::string Domains = "d1";
  bool Equal = false;
  po::options_description Description("yuccaplank-standin-site: stand-in for the users' platform, with its "
                                      "store and backend servers, for tests");
  auto Add = Description.add_options();
  Add("help", "print this help");
  Add("ip", po::value(&Options.Ip)->default_value(Options.Ip), "IP address of all listeners");
  Add("store-port", po::value(&Options.StorePort)->default_value(9000), "port of the store");
  Add("control-port", po::value(&Options.ControlPort)->default_value(9001), "port of the control listener");
  Add("first-worker-port", po::value(&Options.FirstWorkerPort)->default_value(9100),
      "port of the first backend server");
  Add("workers", po::value(&Options.Workers)->default_value(Options.Workers), "number of backend servers");
  Add("domains", po::value(&Domains)->default_value(Domains),
      "comma-separated failure domains, assigned to the backend servers in rotation");
  Add("rack-size", po::value(&Options.RackSize)->default_value(Options.RackSize),
      "backend servers of a failure domain that share a rack; racks are named rDOMAIN-NUMBER, from r1-1");
  Add("remote-factor", po::value(&Options.RemoteFactor)->default_value(Options.RemoteFactor, "1.5"),
      "factor on the run time of a task outside the rack of its data");
  Add("equal", po::bool_switch(&Equal), "give all backend servers the same speed");
  Add("seed", po::value(&Options.Seed)->default_value(Options.Seed), "seed for clock rates and faults");
  return standin::runProgram(Count, Arguments, Description, [&](const po::variables_map &) {
    Options.RackSize = std::max(Options.RackSize, 1U);
    if (Equal)
      Options.Slowness = {1};
    boost::split(Options.Domains, Domains, boost::is_any_of(","));
    return runSite(Options);
  });
}
