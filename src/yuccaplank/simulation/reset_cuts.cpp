#include "reset_cuts.hpp"

#include <fmt/format.h>

namespace yuccaplank::simulation {
namespace {

using runtime::fromMs;

// A cut is longer than the lease of the runs on a server, and the next one begins soon after it.
constexpr double CutMs = 1100;
constexpr double CutIntervalMs = 1200;
// Each third cut concerns the connections of one VM only.
constexpr std::uint64_t OneVmPeriod = 3;

} // namespace

void reset_cuts::start(runtime::time_point End) {
  Until = End;
  beginNext();
}

void reset_cuts::beginNext() {
  if (Context.now() >= Until)
    return;
  bool FromOneVm = ++Count % OneVmPeriod == 0;
  std::string Vm = Context.randomVm();
  for (const std::string &Server : Context.Fleet.servers().names()) {
    if (Context.Random.uniform() >= Context.Options.ResetCutShare)
      continue;
    if (FromOneVm)
      cutFromVm(Server, Vm);
    else
      cutFromAll(Server);
  }
  Context.Executor.after(fromMs(CutIntervalMs), [this] { beginNext(); });
}

void reset_cuts::cutFromAll(const std::string &Server) {
  Context.trace(fmt::format("{} is cut off by resets", Server));
  Context.Fleet.servers().setCut(Server, server_cut::Resets);
  Context.Executor.after(fromMs(CutMs),
                         [this, Server] { Context.Fleet.servers().setCut(Server, server_cut::None); });
}

void reset_cuts::cutFromVm(const std::string &Server, const std::string &Vm) {
  Context.trace(fmt::format("{} is cut off from {} by resets", Server, Vm));
  Context.Fleet.servers().setPathReset(Server, Vm, true);
  Context.Executor.after(fromMs(CutMs),
                         [this, Server, Vm] { Context.Fleet.servers().setPathReset(Server, Vm, false); });
}

} // namespace yuccaplank::simulation
