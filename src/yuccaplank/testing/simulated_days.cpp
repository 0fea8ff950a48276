#include "simulated_days.hpp"
#include "yuccaplank/runtime/log.hpp"

namespace yuccaplank::testing {

simulation::simulation_options siteWithoutFaults(double Seconds, double Load) {
  simulation::simulation_options Options;
  Options.Vms = 6;
  Options.Domains = 4;
  Options.Servers = 48;
  Options.FaultsPerSecond = 0;
  Options.LateOrderShare = 0;
  Options.LostAnswerShare = 0;
  Options.TrafficSeconds = Seconds;
  Options.Kinds = simulation::siteJobKinds(Load);
  return Options;
}

simulation::simulation_result simulateQuietly(const simulation::simulation_options &Options) {
  runtime::setLogLevel(runtime::log_level::Error);
  auto Result = simulation::simulateFleet(Options);
  runtime::setLogLevel(runtime::log_level::Info);
  return Result;
}

} // namespace yuccaplank::testing
