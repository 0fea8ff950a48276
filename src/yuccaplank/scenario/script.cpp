#include "script.hpp"
#include "world.hpp"

#include <fmt/format.h>
#include <lua5.4/lua.hpp>

#include <array>
#include <memory>

namespace yuccaplank::scenario {
namespace {

// State of one script, found through the Lua registry.
struct script_state {
  std::unique_ptr<world> World;
  std::vector<scenario_result> Results;
  std::string Filter;
  std::string Step;
};

constexpr runtime::duration SlowPlatformDelay = std::chrono::milliseconds(400);
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
    luaL_error(Lua, "world{} has to be called first");
  return *State.World;
}

std::string text(lua_State *Lua, int Index) { return luaL_checkstring(Lua, Index); }
int number(lua_State *Lua, int Index) { return static_cast<int>(luaL_checkinteger(Lua, Index)); }

// Fields of the table at the top-level argument Index.
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

bool boolField(lua_State *Lua, int Index, const char *Key, bool Default) {
  lua_getfield(Lua, Index, Key);
  bool Value = lua_isnil(Lua, -1) ? Default : lua_toboolean(Lua, -1) != 0;
  lua_pop(Lua, 1);
  return Value;
}

template <typename Function> void eachItem(lua_State *Lua, int Index, const char *Key, Function Visit) {
  lua_getfield(Lua, Index, Key);
  if (lua_istable(Lua, -1)) {
    for (lua_Integer Item = 1; lua_geti(Lua, -1, Item) != LUA_TNIL; ++Item) {
      Visit();
      lua_pop(Lua, 1);
    }
    lua_pop(Lua, 1);
  }
  lua_pop(Lua, 1);
}

// Narrative

int luaScenario(lua_State *Lua) {
  script_state &State = stateOf(Lua);
  scenario_result Result;
  Result.Name = text(Lua, 1);
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
  stateOf(Lua).Step = text(Lua, 1);
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
  auto Breaches = worldOf(Lua).breaches();
  if (Breaches.empty())
    return 0;
  return luaL_error(Lua, "%d breaches, first: %s", static_cast<int>(Breaches.size()),
                    Breaches.front().c_str());
}

// World and time

int luaWorld(lua_State *Lua) {
  world_options Options;
  if (lua_istable(Lua, 1)) {
    std::vector<std::string> Domains;
    eachItem(Lua, 1, "domains", [&] { Domains.emplace_back(luaL_checkstring(Lua, -1)); });
    if (!Domains.empty())
      Options.Domains = Domains;
    std::vector<double> Speeds;
    eachItem(Lua, 1, "speeds", [&] { Speeds.push_back(luaL_checknumber(Lua, -1)); });
    if (!Speeds.empty())
      Options.Speeds = Speeds;
    Options.VmsPerDomain = static_cast<int>(numberField(Lua, 1, "vms", Options.VmsPerDomain));
    Options.ServersPerDomain = static_cast<int>(numberField(Lua, 1, "servers", Options.ServersPerDomain));
    Options.Slots = static_cast<int>(numberField(Lua, 1, "slots", Options.Slots));
    Options.Seed = static_cast<std::uint64_t>(numberField(Lua, 1, "seed", 1));
    Options.OneDispatcher = boolField(Lua, 1, "one_dispatcher", false);
  }
  script_state &State = stateOf(Lua);
  State.World = std::make_unique<world>(Options);
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

int luaStart(lua_State *Lua) {
  worldOf(Lua).startVm(text(Lua, 1));
  return 0;
}
int luaKill(lua_State *Lua) {
  worldOf(Lua).killVm(text(Lua, 1), lua_toboolean(Lua, 2) != 0);
  return 0;
}
int luaPause(lua_State *Lua) {
  worldOf(Lua).pauseVm(text(Lua, 1));
  return 0;
}
int luaResume(lua_State *Lua) {
  worldOf(Lua).resumeVm(text(Lua, 1));
  return 0;
}
int luaDrain(lua_State *Lua) {
  worldOf(Lua).drainVm(text(Lua, 1));
  return 0;
}
int luaDrained(lua_State *Lua) {
  lua_pushboolean(Lua, worldOf(Lua).drained(text(Lua, 1)) ? 1 : 0);
  return 1;
}
int luaList(lua_State *Lua) {
  worldOf(Lua).listVm(text(Lua, 1), lua_toboolean(Lua, 2) != 0);
  return 0;
}
int luaSeparate(lua_State *Lua) {
  worldOf(Lua).separate(text(Lua, 1), lua_toboolean(Lua, 2) != 0);
  return 0;
}
int luaHeal(lua_State *Lua) {
  worldOf(Lua).heal();
  return 0;
}
int luaServing(lua_State *Lua) {
  lua_pushboolean(Lua, worldOf(Lua).node(text(Lua, 1)).serving() ? 1 : 0);
  return 1;
}
int luaIsDispatcher(lua_State *Lua) {
  lua_pushboolean(Lua, worldOf(Lua).node(text(Lua, 1)).isDispatcher() ? 1 : 0);
  return 1;
}
// State of a VM as another one sees it.
int luaStateOf(lua_State *Lua) {
  constexpr std::array<const char *, 4> Names{"unknown", "live", "draining", "unreachable"};
  for (const model::member_view &Member : worldOf(Lua).node(text(Lua, 1)).members())
    if (Member.Entry.self().vm() == text(Lua, 2)) {
      lua_pushstring(Lua, Names[static_cast<std::size_t>(Member.Entry.state())]);
      return 1;
    }
  lua_pushstring(Lua, "unlisted");
  return 1;
}

// Backend servers and platform

int luaServer(lua_State *Lua) {
  constexpr std::array<const char *, 7> Names{"normal", "fail_all", "stall", "refuse",
                                              "down",   "leaving",  nullptr};
  int Mode = luaL_checkoption(Lua, 2, "normal", Names.data());
  worldOf(Lua).Servers.setMode(text(Lua, 1), static_cast<server_mode>(Mode));
  return 0;
}

int luaPlatform(lua_State *Lua) {
  constexpr std::array<const char *, 6> Names{"normal", "down", "hang", "slow", "lose_replies", nullptr};
  int Mode = luaL_checkoption(Lua, 1, "normal", Names.data());
  storage::fake_faults Faults;
  if (Mode <= 2)
    Faults.Mode = static_cast<storage::fake_mode>(Mode);
  if (Mode == 3)
    Faults.ExtraDelay = SlowPlatformDelay;
  if (Mode == 4)
    Faults.LoseRepliesPercent = 100;
  worldOf(Lua).platformFake().faults() = Faults;
  return 0;
}

int luaPlatformWrites(lua_State *Lua) {
  lua_pushinteger(Lua, static_cast<lua_Integer>(worldOf(Lua).platformFake().totals().Writes));
  return 1;
}

int luaBackup(lua_State *Lua) {
  worldOf(Lua).backup();
  return 0;
}
int luaRestore(lua_State *Lua) {
  worldOf(Lua).restore();
  return 0;
}

// Callers

int luaIds(lua_State *Lua) {
  auto Ids = worldOf(Lua).issueIds(text(Lua, 1), static_cast<int>(luaL_optinteger(Lua, 2, 1)));
  lua_createtable(Lua, static_cast<int>(Ids.size()), 0);
  lua_Integer Position = 0;
  for (const std::string &Id : Ids) {
    lua_pushstring(Lua, Id.c_str());
    lua_seti(Lua, -2, ++Position);
  }
  return 1;
}

schema::job jobFrom(lua_State *Lua, int Index) {
  schema::job Job;
  Job.set_service(textField(Lua, Index, "service", "proofs"));
  Job.set_repeatable(boolField(Lua, Index, "repeatable", false));
  Job.set_deadline_ms(static_cast<std::uint32_t>(numberField(Lua, Index, "deadline_ms", 10000)));
  int Tasks = static_cast<int>(numberField(Lua, Index, "tasks", 1));
  std::string Payload = fmt::format("{}", numberField(Lua, Index, "ms", 100));
  for (int Task = 1; Task <= Tasks; ++Task) {
    schema::task &Added = *Job.add_tasks();
    Added.set_name(fmt::format("t{}", Task));
    Added.set_kind(textField(Lua, Index, "kind", "render"));
    Added.set_payload(Payload);
    Added.set_declared_ms(numberField(Lua, Index, "declared_ms", 0));
    Added.set_cores(static_cast<std::uint32_t>(numberField(Lua, Index, "cores", 0)));
  }
  return Job;
}

int luaSubmit(lua_State *Lua) {
  std::string Vm = text(Lua, 1);
  std::string Id = luaL_optstring(Lua, 2, "");
  luaL_checktype(Lua, 3, LUA_TTABLE);
  std::size_t Index = worldOf(Lua).submit(Vm, Id, jobFrom(Lua, 3));
  lua_pushinteger(Lua, static_cast<lua_Integer>(Index));
  return 1;
}

int luaCancel(lua_State *Lua) {
  worldOf(Lua).cancel(text(Lua, 1), text(Lua, 2));
  return 0;
}

int luaQuery(lua_State *Lua) {
  lua_pushinteger(Lua, static_cast<lua_Integer>(worldOf(Lua).query(text(Lua, 1), text(Lua, 2))));
  return 1;
}

const submission_record &submission(lua_State *Lua) {
  return worldOf(Lua).Submissions.at(static_cast<std::size_t>(number(Lua, 1)));
}

int luaOutcome(lua_State *Lua) {
  constexpr std::array<const char *, 6> Names{"none", "done", "failed", "refused", "unknown", "pending"};
  const submission_record &Record = submission(Lua);
  if (Record.Answered)
    lua_pushstring(Lua, Names[static_cast<std::size_t>(Record.Answer.outcome())]);
  else
    lua_pushstring(Lua, Record.ConnectionLost ? "lost" : "none");
  return 1;
}
int luaReason(lua_State *Lua) {
  lua_pushstring(Lua, submission(Lua).Answer.reason().c_str());
  return 1;
}
int luaRetryAfter(lua_State *Lua) {
  lua_pushinteger(Lua, submission(Lua).Answer.retry_after_ms());
  return 1;
}
int luaTook(lua_State *Lua) {
  lua_pushnumber(Lua, submission(Lua).TookMs);
  return 1;
}
int luaIdOf(lua_State *Lua) {
  lua_pushstring(Lua, submission(Lua).Id.c_str());
  return 1;
}
// Starts of all tasks whose id begins with the argument.
int luaStarts(lua_State *Lua) {
  std::string Prefix = text(Lua, 1);
  int Sum = 0;
  for (const auto &[Task, Count] : worldOf(Lua).Servers.Starts)
    if (Task.starts_with(Prefix))
      Sum += Count;
  lua_pushinteger(Lua, Sum);
  return 1;
}
int luaServerStarts(lua_State *Lua) {
  lua_pushinteger(Lua, worldOf(Lua).Servers.StartsByServer[text(Lua, 1)]);
  return 1;
}

// Operators

schema::service_document documentFrom(lua_State *Lua, int Index) {
  schema::service_document Document;
  Document.set_service(textField(Lua, Index, "service", "proofs"));
  Document.set_team(textField(Lua, Index, "team", "engraving"));
  Document.set_pool(textField(Lua, Index, "pool", "default"));
  Document.set_weight(static_cast<std::uint32_t>(numberField(Lua, Index, "weight", 1)));
  Document.mutable_quota()->set_max_running_tasks(
      static_cast<std::uint32_t>(numberField(Lua, Index, "max_running_tasks", 0)));
  Document.mutable_limits()->set_max_tasks_per_job(
      static_cast<std::uint32_t>(numberField(Lua, Index, "max_tasks", 100)));
  if (textField(Lua, Index, "placement", "response") == "messages")
    Document.set_placement(schema::messages);
  return Document;
}

int luaApply(lua_State *Lua) {
  std::string Vm = text(Lua, 1);
  luaL_checktype(Lua, 2, LUA_TTABLE);
  auto Expected = static_cast<std::uint64_t>(numberField(Lua, 2, "expected", 0));
  std::string Change = textField(Lua, 2, "change", "change-1");
  lua_pushinteger(Lua,
                  static_cast<lua_Integer>(worldOf(Lua).apply(Vm, documentFrom(Lua, 2), Expected, Change)));
  return 1;
}
int luaApplyOutcome(lua_State *Lua) {
  const apply_record &Record = worldOf(Lua).Applies.at(static_cast<std::size_t>(number(Lua, 1)));
  lua_pushstring(Lua, Record.Answered ? Record.Outcome.c_str() : "none");
  lua_pushinteger(Lua, static_cast<lua_Integer>(Record.Revision));
  return 2;
}
// Revision of a service in force on a VM; 0 when unknown.
int luaRevision(lua_State *Lua) {
  std::uint64_t Revision = 0;
  for (const auto &Service : worldOf(Lua).node(text(Lua, 1)).services())
    if (Service->document().service() == text(Lua, 2))
      Revision = Service->revision();
  lua_pushinteger(Lua, static_cast<lua_Integer>(Revision));
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
    {"drain", luaDrain},
    {"drained", luaDrained},
    {"list", luaList},
    {"separate", luaSeparate},
    {"heal", luaHeal},
    {"serving", luaServing},
    {"is_dispatcher", luaIsDispatcher},
    {"state_of", luaStateOf},
    {"server", luaServer},
    {"platform", luaPlatform},
    {"platform_writes", luaPlatformWrites},
    {"backup", luaBackup},
    {"restore", luaRestore},
    {"ids", luaIds},
    {"submit", luaSubmit},
    {"cancel", luaCancel},
    {"query", luaQuery},
    {"outcome", luaOutcome},
    {"reason", luaReason},
    {"retry_after", luaRetryAfter},
    {"took", luaTook},
    {"id_of", luaIdOf},
    {"starts", luaStarts},
    {"server_starts", luaServerStarts},
    {"apply", luaApply},
    {"apply_outcome", luaApplyOutcome},
    {"revision", luaRevision},
});

} // namespace

std::vector<scenario_result> runScript(const std::string &File, const std::string &Filter) {
  script_state State;
  State.Filter = Filter;
  std::unique_ptr<lua_State, void (*)(lua_State *)> Lua(luaL_newstate(), lua_close);
  // Scripts get no input, output or system functions, so that every run is the same.
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
