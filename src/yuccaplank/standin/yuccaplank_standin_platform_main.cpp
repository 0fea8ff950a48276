// Stand-in for the platform, see platform.hpp.
#include "platform.hpp"
#include "yuccaplank/runtime/log.hpp"
#include "yuccaplank/standin/program.hpp"
#include "yuccaplank/wire/settings_reader.hpp"

#include <boost/program_options.hpp>

#include <fstream>
#include <iterator>

namespace {

namespace po = boost::program_options;
using namespace yuccaplank;

void readVmList(const std::string &File, schema::vm_list &List) {
  std::ifstream Stream(File);
  if (!Stream)
    throw po::error("cannot read " + File);
  std::string Text((std::istreambuf_iterator<char>(Stream)), std::istreambuf_iterator<char>());
  auto Issues = wire::readDocument(Text, List);
  if (!Issues.empty())
    throw po::error(File + ": " + wire::formatIssues(Issues));
}

int runPlatform(const standin::platform_options &Options) {
  auto Loop = runtime::makeLoop();
  auto Platform = standin::makePlatformServer(*Loop, Options);
  if (!Platform) {
    log(runtime::log_level::Error, "listen_failed",
        {{"address", Options.Listen}, {"reason", Platform.error().message()}});
    return 1;
  }
  log(runtime::log_level::Info, "platform_ready", {{"port", std::int64_t{Platform.value()->port()}}});
  standin::runUntilSignal(*Loop);
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  standin::platform_options Options;
  std::string VmListFile;
  std::uint32_t ListLagMs = 2000;
  po::options_description Description("yuccaplank-standin-platform: table and VM list for tests");
  auto Add = Description.add_options();
  Add("help", "show this text");
  Add("listen", po::value(&Options.Listen)->default_value("127.0.0.1:9000"), "address, ip:port");
  Add("vm-list", po::value(&VmListFile), "JSON file with the VM list that is visible from the start");
  Add("list-lag-ms", po::value(&ListLagMs)->default_value(ListLagMs),
      "time after which a new VM list is visible, in milliseconds");
  return standin::runProgram(Count, Arguments, Description, [&](const po::variables_map &) {
    Options.ListLag = std::chrono::milliseconds(ListLagMs);
    if (!VmListFile.empty())
      readVmList(VmListFile, Options.Vms);
    return runPlatform(Options);
  });
}
