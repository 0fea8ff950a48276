#include "script.hpp"
#include "world.hpp"

#include <fmt/format.h>
#include <lua5.4/lua.hpp>

#include <array>
#include <memory>

namespace yuccaplank::scenario {
namespace {

// State of one script, stored in the Lua registry.
struct script_state {
  std::unique_ptr<world> World;
  std::vector<scenario_result> Results;
  std::string Filter;
  std::string Step;
};

constexpr const char *StateKey = "yuccaplank.scenario";

script_state &stateOf(lua_State *Lua) {
  lua_getfield(Lua, LUA_REGISTRYINDEX, StateKey);
  auto *State = static_cast<script_state *>(lua_touserdata(Lua, -1));
  lua_pop(Lua, 1);
  return *State;
}

world &worldOf(lua_State *Lua) {
  script_state &State = stateOf(Lua);
  if (!State.World)
    luaL_error(Lua, "world{} must be called first");
  return *State.World;
}

std::string textArgument(lua_State *Lua, int Index) { return luaL_checkstring(Lua, Index); }
int integerArgument(lua_State *Lua, int Index) { return static_cast<int>(luaL_checkinteger(Lua, Index)); }

// Reads an optional field of the table that is argument Index.
double numberField(lua_State *Lua, int Index, const char *Key, double Default) {
  lua_getfield(Lua, Index, Key);
  double Value = luaL_optnumber(Lua, -1, Default);
  lua_pop(Lua, 1);
  return Value;
}

std::string textField(lua_State *Lua, int Index, const char *Key, const char *Default) {
  lua_getfield(Lua, Index, Key);
  std::string Value = luaL_optstring(Lua, -1, Default);
  lua_pop(Lua, 1);
  return Value;
}

// Scenarios, steps and checks

int luaScenario(lua_State *Lua) {
  script_state &State = stateOf(Lua);
  scenario_result Result;
  Result.Name = textArgument(Lua, 1);
  if (Result.Name.find(State.Filter) == std::string::npos)
    return 0;
  State.World.reset();
  State.Step.clear();
  lua_pushvalue(Lua, 2);
  Result.Passed = lua_pcall(Lua, 0, 0, 0) == LUA_OK;
  if (!Result.Passed) {
    Result.Failure = fmt::format("{}: {}", State.Step, lua_tostring(Lua, -1));
    lua_pop(Lua, 1);
  }
  State.Results.push_back(std::move(Result));
  return 0;
}

int luaStep(lua_State *Lua) {
  stateOf(Lua).Step = textArgument(Lua, 1);
  return 0;
}

int luaCheck(lua_State *Lua) {
  if (lua_toboolean(Lua, 1) == 0)
    return luaL_error(Lua, "%s", luaL_optstring(Lua, 2, "check failed"));
  return 0;
}

int luaCheckEqual(lua_State *Lua) {
  if (lua_compare(Lua, 1, 2, LUA_OPEQ) != 0)
    return 0;
  std::string Actual = luaL_tolstring(Lua, 1, nullptr);
  std::string Expected = luaL_tolstring(Lua, 2, nullptr);
  return luaL_error(Lua, "got %s, expected %s", Actual.c_str(), Expected.c_str());
}

int luaCheckPromises(lua_State *Lua) {
  auto Violations = worldOf(Lua).violations();
  if (Violations.empty())
    return 0;
  return luaL_error(Lua, "%d violations; the first: %s", static_cast<int>(Violations.size()),
                    Violations.front().c_str());
}

// World and time

int luaWorld(lua_State *Lua) {
  world_options Options;
  if (lua_istable(Lua, 1)) {
    Options.Vms = static_cast<std::uint32_t>(numberField(Lua, 1, "vms", Options.Vms));
    Options.Domains = static_cast<std::uint32_t>(numberField(Lua, 1, "domains", Options.Domains));
    Options.Servers = static_cast<std::uint32_t>(numberField(Lua, 1, "servers", Options.Servers));
    Options.DispatchersPerDomain =
        static_cast<std::uint32_t>(numberField(Lua, 1, "dispatchers", Options.DispatchersPerDomain));
    Options.Seed = static_cast<std::uint64_t>(numberField(Lua, 1, "seed", 1));
  }
  stateOf(Lua).World = std::make_unique<world>(Options);
  return 0;
}

int luaRun(lua_State *Lua) {
  worldOf(Lua).run(luaL_checknumber(Lua, 1));
  return 0;
}

int luaNow(lua_State *Lua) {
  lua_pushnumber(Lua, worldOf(Lua).nowMs());
  return 1;
}

// VMs

simulation::simulated_vm &vmOf(lua_State *Lua, int Index) {
  return worldOf(Lua).fleet().vm(textArgument(Lua, Index));
}

int luaStart(lua_State *Lua) {
  worldOf(Lua).fleet().startVm(textArgument(Lua, 1));
  return 0;
}
int luaKill(lua_State *Lua) {
  worldOf(Lua).killVm(textArgument(Lua, 1), lua_toboolean(Lua, 2) != 0);
  return 0;
}
int luaPause(lua_State *Lua) {
  worldOf(Lua).fleet().pauseVm(textArgument(Lua, 1));
  return 0;
}
int luaResume(lua_State *Lua) {
  worldOf(Lua).fleet().resumeVm(textArgument(Lua, 1));
  return 0;
}
int luaLag(lua_State *Lua) {
  simulation::vm_lag Lag;
  Lag.ArrivalDelay = runtime::fromMs(integerArgument(Lua, 2));
  Lag.SendDelay = runtime::fromMs(integerArgument(Lua, 3));
  worldOf(Lua).fleet().vm(textArgument(Lua, 1)).Executor.setLag(Lag);
  return 0;
}
int luaDrain(lua_State *Lua) {
  vmOf(Lua, 1).Vm->drain();
  return 0;
}
int luaReady(lua_State *Lua) {
  lua_pushboolean(Lua, vmOf(Lua, 1).Vm->ready() ? 1 : 0);
  return 1;
}
int luaPlacing(lua_State *Lua) {
  lua_pushboolean(Lua, vmOf(Lua, 1).Vm->state().Placing ? 1 : 0);
  return 1;
}
int luaInContact(lua_State *Lua) {
  bool InContact = false;
  schema::fleet_report Reported = vmOf(Lua, 1).Vm->report();
  for (const schema::vm_report &Report : Reported.vms())
    InContact |= Report.vm() == textArgument(Lua, 2) && Report.in_contact();
  lua_pushboolean(Lua, InContact ? 1 : 0);
  return 1;
}
int luaOwner(lua_State *Lua) {
  lua_pushstring(Lua, worldOf(Lua).ownerOf(textArgument(Lua, 1)).c_str());
  return 1;
}
int luaConfigure(lua_State *Lua) {
  worldOf(Lua).fleet().configure(vmOf(Lua, 1), static_cast<std::uint64_t>(integerArgument(Lua, 2)));
  return 0;
}
int luaVersion(lua_State *Lua) {
  lua_pushinteger(Lua, static_cast<lua_Integer>(vmOf(Lua, 1).Vm->currentConfiguration()->Version));
  return 1;
}

// Links

int luaCut(lua_State *Lua) {
  worldOf(Lua).cutDomain(textArgument(Lua, 1));
  return 0;
}
int luaCutLink(lua_State *Lua) {
  worldOf(Lua).cutLink(textArgument(Lua, 1), textArgument(Lua, 2));
  return 0;
}
int luaEvacuate(lua_State *Lua) {
  worldOf(Lua).setEvacuated(textArgument(Lua, 1), true, luaL_optstring(Lua, 2, ""));
  return 0;
}
int luaTakeBack(lua_State *Lua) {
  worldOf(Lua).setEvacuated(textArgument(Lua, 1), false, luaL_optstring(Lua, 2, ""));
  return 0;
}
int luaReset(lua_State *Lua) {
  worldOf(Lua).fleet().resetConnection(textArgument(Lua, 1), textArgument(Lua, 2));
  return 0;
}
int luaHeal(lua_State *Lua) {
  worldOf(Lua).heal();
  return 0;
}

// Backend servers

struct server_change {
  const char *Name;
  void (*Apply)(simulation::simulated_servers &Servers, const std::string &Server);
};

using simulation::server_cut;
using simulation::simulated_servers;

constexpr double SlowdownFactor = 6;
constexpr auto ServerChanges = std::to_array<server_change>({
    {"normal",
     [](simulated_servers &Servers, const std::string &Server) {
       Servers.setFailing(Server, false);
       Servers.setHanging(Server, false);
       Servers.setCut(Server, server_cut::None);
       Servers.setSlowdown(Server, 1);
     }},
    {"failing",
     [](simulated_servers &Servers, const std::string &Server) { Servers.setFailing(Server, true); }},
    {"hanging",
     [](simulated_servers &Servers, const std::string &Server) { Servers.setHanging(Server, true); }},
    {"slow", [](simulated_servers &Servers,
                const std::string &Server) { Servers.setSlowdown(Server, SlowdownFactor); }},
    {"cut", [](simulated_servers &Servers,
               const std::string &Server) { Servers.setCut(Server, server_cut::Silent); }},
    {"reset", [](simulated_servers &Servers,
                 const std::string &Server) { Servers.setCut(Server, server_cut::Resets); }},
    {"crashed", [](simulated_servers &Servers, const std::string &Server) { Servers.crash(Server); }},
    {"started", [](simulated_servers &Servers, const std::string &Server) { Servers.start(Server); }},
});

int luaBusy(lua_State *Lua) {
  lua_pushboolean(Lua, worldOf(Lua).fleet().servers().usedCpu(textArgument(Lua, 1)) > 0 ? 1 : 0);
  return 1;
}

int luaServer(lua_State *Lua) {
  std::string ChangeName = textArgument(Lua, 2);
  for (const server_change &Change : ServerChanges)
    if (ChangeName == Change.Name) {
      Change.Apply(worldOf(Lua).fleet().servers(), textArgument(Lua, 1));
      return 0;
    }
  return luaL_error(Lua, "unknown change of a server: %s", ChangeName.c_str());
}

// Callers

int luaSubmit(lua_State *Lua) {
  std::string Vm = textArgument(Lua, 1);
  luaL_checktype(Lua, 2, LUA_TTABLE);
  job_spec Spec;
  Spec.Queue = textField(Lua, 2, "queue", simulation::QueueName);
  Spec.Tasks = static_cast<std::uint32_t>(numberField(Lua, 2, "tasks", 1));
  Spec.TaskMs = numberField(Lua, 2, "ms", Spec.TaskMs);
  Spec.DeclaredMs = numberField(Lua, 2, "declared_ms", 0);
  Spec.Cores = numberField(Lua, 2, "cores", Spec.Cores);
  Spec.DeadlineMs = numberField(Lua, 2, "deadline_ms", Spec.DeadlineMs);
  Spec.Crashes = numberField(Lua, 2, "crashes", 0) > 0;
  lua_pushinteger(Lua, static_cast<lua_Integer>(worldOf(Lua).submit(Vm, Spec)));
  return 1;
}

int luaResubmit(lua_State *Lua) {
  std::string Vm = textArgument(Lua, 1);
  lua_pushinteger(Lua, static_cast<lua_Integer>(
                           worldOf(Lua).resubmit(Vm, static_cast<std::size_t>(integerArgument(Lua, 2)))));
  return 1;
}

int luaLeave(lua_State *Lua) {
  worldOf(Lua).leave(static_cast<std::size_t>(integerArgument(Lua, 1)));
  return 0;
}

int luaCancel(lua_State *Lua) {
  worldOf(Lua).cancel(textArgument(Lua, 1), static_cast<std::size_t>(integerArgument(Lua, 2)));
  return 0;
}

const submission_record &submission(lua_State *Lua) {
  return worldOf(Lua).submission(static_cast<std::size_t>(integerArgument(Lua, 1)));
}

int luaOutcome(lua_State *Lua) {
  const submission_record &Record = submission(Lua);
  if (Record.Answered)
    lua_pushstring(Lua, std::string(dispatch::jobOutcomeName(Record.Answer.Outcome)).c_str());
  else
    lua_pushstring(Lua, Record.ConnectionLost ? "lost" : "none");
  return 1;
}
int luaReason(lua_State *Lua) {
  lua_pushstring(Lua, std::string(dispatch::endReasonName(submission(Lua).Answer.Reason)).c_str());
  return 1;
}
int luaRetryAfter(lua_State *Lua) {
  lua_pushinteger(Lua, submission(Lua).Answer.RetryAfterMs);
  return 1;
}
int luaTook(lua_State *Lua) {
  lua_pushnumber(Lua, submission(Lua).LatencyMs);
  return 1;
}
int luaStarts(lua_State *Lua) {
  auto Count = worldOf(Lua).startCount(static_cast<std::size_t>(integerArgument(Lua, 1)));
  lua_pushinteger(Lua, static_cast<lua_Integer>(Count));
  return 1;
}
int luaRunning(lua_State *Lua) {
  lua_pushinteger(Lua, worldOf(Lua).runningTasks(static_cast<std::size_t>(integerArgument(Lua, 1))));
  return 1;
}

constexpr auto Functions = std::to_array<luaL_Reg>({
    {"scenario", luaScenario},
    {"given", luaStep},
    {"when", luaStep},
    {"and_then", luaStep},
    {"check", luaCheck},
    {"check_equal", luaCheckEqual},
    {"check_promises", luaCheckPromises},
    {"world", luaWorld},
    {"run", luaRun},
    {"now", luaNow},
    {"start", luaStart},
    {"kill", luaKill},
    {"pause", luaPause},
    {"resume", luaResume},
    {"lag", luaLag},
    {"drain", luaDrain},
    {"ready", luaReady},
    {"placing", luaPlacing},
    {"in_contact", luaInContact},
    {"owner", luaOwner},
    {"configure", luaConfigure},
    {"version", luaVersion},
    {"cut", luaCut},
    {"cut_link", luaCutLink},
    {"reset", luaReset},
    {"heal", luaHeal},
    {"evacuate", luaEvacuate},
    {"take_back", luaTakeBack},
    {"busy", luaBusy},
    {"server", luaServer},
    {"submit", luaSubmit},
    {"resubmit", luaResubmit},
    {"leave", luaLeave},
    {"cancel", luaCancel},
    {"outcome", luaOutcome},
    {"reason", luaReason},
    {"retry_after", luaRetryAfter},
    {"took", luaTook},
    {"starts", luaStarts},
    {"running", luaRunning},
});

} // namespace

std::vector<scenario_result> runScript(const std::string &File, const std::string &Filter) {
  script_state State;
  State.Filter = Filter;
  std::unique_ptr<lua_State, void (*)(lua_State *)> Lua(luaL_newstate(), lua_close);
  // Scripts get no input, output or system functions, so that every run is reproducible.
  luaL_requiref(Lua.get(), "_G", luaopen_base, 1);
  luaL_requiref(Lua.get(), LUA_STRLIBNAME, luaopen_string, 1);
  luaL_requiref(Lua.get(), LUA_TABLIBNAME, luaopen_table, 1);
  luaL_requiref(Lua.get(), LUA_MATHLIBNAME, luaopen_math, 1);
  lua_pushlightuserdata(Lua.get(), &State);
  lua_setfield(Lua.get(), LUA_REGISTRYINDEX, StateKey);
  for (const luaL_Reg &Function : Functions)
    lua_register(Lua.get(), Function.name, Function.func);
  if (luaL_dofile(Lua.get(), File.c_str()) != LUA_OK)
    State.Results.push_back({File, false, lua_tostring(Lua.get(), -1)});
  return State.Results;
}

} // namespace yuccaplank::scenario
