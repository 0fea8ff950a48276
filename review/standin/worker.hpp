// Stand-in of a worker (backend server): one process is one life of it. It guards nothing (rejects_overload
// false): it starts what it is told, and logs each start that brings it over its capacity.
#pragma once

#include "common.hpp"

#include <condition_variable>
#include <fstream>
#include <set>

struct worker_options {
  std::string Id, Address, Service, Zone, Rack, Store;
  std::uint32_t Cpu = 0, MemoryMb = 0;
  double HeartbeatMs = 1500, MaxHoldMs = 1000, StopMs = 15;
  // Orders that are carried out late: stops of tasks whose job id begins so get no answer and are carried out
  // after LateMs, if they arrive in the time that LateFile holds: two figures on the clock of nowMs().
  std::string LatePrefix, LateFile;
  double LateMs = 0;
};

class worker {
public:
  worker(worker_options OptionsIn, event_log &Log)
      : Options(std::move(OptionsIn)), Log(Log), BornMs(unixMs()),
        ClockOrigin(nowMs() - 10000 - std::rand() % 90000) {}

  reply handle(const request &Request) {
    auto Expected = Request.Headers.find("expected-instance");
    if (Expected != Request.Headers.end() && Expected->second != Options.Id)
      return answer(421, "instance");
    if (Request.Path == "/health")
      return {200, "{}", false};
    json Body = json::parse(Request.Body, nullptr, false);
    if (!Body.is_object())
      return answer(400, "");
    if (Request.Path == "/yuccaplank/run-start")
      return start(Body);
    if (Request.Path == "/yuccaplank/run-stop")
      return stop(Body);
    if (Request.Path == "/yuccaplank/hold")
      return hold(Body);
    return {404, "{}", false};
  }

  // Ends runs whose work is done, whose stop has taken effect or whose lease has lapsed.
  void advance() {
    std::lock_guard Guard(Mutex);
    double Now = nowMs();
    bool Lapsed = clockMs() > LeaseEndMs;
    for (auto Run = Runs.begin(); Run != Runs.end();) {
      const char *How = nullptr;
      if (Run->second.StopAt > 0 && Now >= Run->second.StopAt)
        How = "stopped";
      else if (Now >= Run->second.DoneAt)
        How = "done";
      else if (Lapsed)
        How = "lapsed";
      Run = How ? end(Run, How) : std::next(Run);
    }
  }

  void beat() {
    json Entry{{"service", Options.Service},
               {"address", Options.Address},
               {"zone", Options.Zone},
               {"version", "v1"},
               {"slots", 8},
               {"state", "ready"},
               {"cold_remaining_ms", 0},
               {"capacity", {{"cpu", Options.Cpu}, {"memory_limit_mb", Options.MemoryMb}, {"gpu", 0}}},
               {"labels", {"a", Options.Rack}},
               {"clock_ms", clockMs()},
               {"sequence", ++Sequence},
               {"born", BornMs}};
    json Put{{"table", "servers"}, {"key", Options.Id}, {"value", Entry.dump()}};
    call(Options.Store, "POST", "/internal/put", "", Put.dump(), 1000);
  }

private:
  struct run {
    std::uint64_t Number = 0;
    double DoneAt = 0, StopAt = 0;
    std::uint32_t Cpu = 0, MemoryMb = 0;
    std::string Spec;
  };
  using run_map = std::map<std::string, run>; // by task

  [[nodiscard]] std::int64_t clockMs() const { return static_cast<std::int64_t>(nowMs() - ClockOrigin); }

  reply answer(int Status, const std::string &Reason) const {
    json Body{{"clock_ms", clockMs()}};
    if (!Reason.empty())
      Body["reason"] = Reason;
    return {Status, Body.dump(), false};
  }

  bool isFenced(const json &Body) {
    auto Token = Body.value("fencing_token", std::uint64_t{0});
    if (Token < Fence)
      return true;
    Fence = Token;
    return false;
  }

  void extendLease(const json &Body) {
    if (Body.contains("deadline_ms"))
      LeaseEndMs = std::max(LeaseEndMs, std::min(Body["deadline_ms"].get<std::int64_t>(),
                                                 clockMs() + static_cast<std::int64_t>(Options.MaxHoldMs)));
  }

  reply start(const json &Body) {
    advance();
    std::lock_guard Guard(Mutex);
    std::string Task = Body.at("task");
    std::uint64_t Number = Body.at("run");
    std::string Name = Task + " run " + std::to_string(Number) + " at " + Options.Id;
    if (isFenced(Body)) {
      Log.line("refused fence " + Name);
      return answer(409, "fence");
    }
    if (Body.at("deadline_ms").get<std::int64_t>() <= clockMs()) {
      Log.line("refused late " + Name);
      return answer(409, "late");
    }
    extendLease(Body);
    if (auto Found = Runs.find(Task); Found != Runs.end() && Found->second.Number == Number)
      return answer(200, "");
    if (auto Found = Highest.find(Task); Found != Highest.end() && Number <= Found->second) {
      Log.line("refused old " + Name);
      return answer(409, "old");
    }
    // The specification of the stand-in client: "work=MS cpu=N memory=N".
    std::string Spec = Body.value("specification", "");
    auto Figure = [&](const char *Key) {
      std::size_t Position = Spec.find(Key);
      return Position == std::string::npos ? 0.0 : std::stod(Spec.substr(Position + std::strlen(Key)));
    };
    run Run{Number,
            nowMs() + Figure("work="),
            0,
            static_cast<std::uint32_t>(Figure("cpu=")),
            static_cast<std::uint32_t>(Figure("memory=")),
            Spec};
    Runs[Task] = Run;
    Log.line("start " + Name + " spec " + Spec);
    std::uint32_t Cpu = 0, MemoryMb = 0;
    for (const auto &[Other, State] : Runs) {
      Cpu += State.Cpu;
      MemoryMb += State.MemoryMb;
    }
    if (Cpu > Options.Cpu || MemoryMb > Options.MemoryMb)
      Log.line("over " + Name + " cpu " + std::to_string(Cpu) + " of " + std::to_string(Options.Cpu) +
               " memory " + std::to_string(MemoryMb) + " of " + std::to_string(Options.MemoryMb));
    return answer(200, "");
  }

  reply stop(const json &Body) {
    std::string Task = Body.at("task");
    std::uint64_t Number = Body.at("run");
    bool Late = !Options.LatePrefix.empty() && Task.starts_with(Options.LatePrefix) && lateNow();
    Log.line(std::string("order stop ") + (Late ? "late " : "") + Task + " run " + std::to_string(Number) +
             " at " + Options.Id);
    if (!Late)
      return carryOutStop(Body);
    std::thread([this, Body] {
      sleepMs(Options.LateMs);
      carryOutStop(Body);
    }).detach();
    return {0, "", true};
  }

  [[nodiscard]] bool lateNow() const {
    std::ifstream File(Options.LateFile);
    double From = 0, Until = 0;
    return File >> From >> Until && nowMs() >= From && nowMs() < Until;
  }

  reply carryOutStop(const json &Body) {
    std::lock_guard Guard(Mutex);
    if (isFenced(Body))
      return answer(409, "fence");
    std::string Task = Body.at("task");
    std::uint64_t Number = Body.at("run");
    Highest[Task] = std::max(Highest[Task], Number);
    if (auto Found = Runs.find(Task);
        Found != Runs.end() && Found->second.Number == Number && Found->second.StopAt == 0) {
      Found->second.StopAt = nowMs() + Options.StopMs;
      Log.line("stopping " + Task + " run " + std::to_string(Number) + " at " + Options.Id);
    }
    return answer(200, "");
  }

  reply hold(const json &Body) {
    advance();
    std::unique_lock Guard(Mutex);
    Log.line("order hold at " + Options.Id);
    if (isFenced(Body))
      return answer(409, "fence");
    auto Observed = Body.value("observed", std::uint64_t{0});
    std::erase_if(Finished, [&](const json &Row) { return Row[0].get<std::uint64_t>() <= Observed; });
    extendLease(Body);
    double Until = nowMs() + std::min(2000.0, Body.value("wait_ms", 0.0));
    while (Finished.empty() && nowMs() < Until)
      Ended.wait_for(Guard, std::chrono::duration<double, std::milli>(Until - nowMs()));
    json Answer{{"clock_ms", clockMs()}, {"born", BornMs}};
    Answer["running_tasks"] = json::array();
    for (const auto &[Task, Run] : Runs)
      Answer["running_tasks"].push_back({Task, Run.Number, "", 100, Run.Cpu});
    Answer["finished"] = json::array();
    for (std::size_t Index = 0; Index < Finished.size() && Index < 500; ++Index)
      Answer["finished"].push_back(Finished[Index]);
    return {200, Answer.dump(), false};
  }

  run_map::iterator end(run_map::iterator Run, const char *How) {
    Log.line("end " + Run->first + " run " + std::to_string(Run->second.Number) + " at " + Options.Id + " " +
             How);
    Highest[Run->first] = std::max(Highest[Run->first], Run->second.Number);
    Finished.push_back({++LastEnd, Run->first, Run->second.Number, How, ""});
    Ended.notify_all();
    return Runs.erase(Run);
  }

  worker_options Options;
  event_log &Log;
  std::int64_t BornMs;
  double ClockOrigin;
  std::mutex Mutex;
  std::condition_variable Ended;
  run_map Runs;
  std::map<std::string, std::uint64_t> Highest; // highest run stopped or ended, by task
  std::vector<json> Finished;
  std::uint64_t LastEnd = 0, Fence = 0, Sequence = 0;
  std::int64_t LeaseEndMs = 0;
};

[[noreturn]] inline void runWorker(const arguments &Options) {
  std::srand(static_cast<unsigned>(getpid()));
  worker_options Result;
  Result.Id = Options.text("id");
  Result.Address = Options.text("listen");
  Result.Service = Options.text("service");
  Result.Zone = Options.text("zone");
  Result.Rack = Options.text("rack");
  Result.Store = Options.text("store");
  Result.Cpu = static_cast<std::uint32_t>(Options.number("cpu"));
  Result.MemoryMb = static_cast<std::uint32_t>(Options.number("memory"));
  Result.LatePrefix = Options.text("late-stops-of");
  Result.LateMs = Options.number("late-ms");
  Result.LateFile = Options.text("late-file");
  static event_log Log;
  Log.open(Options.text("log"));
  auto *Worker = new worker(Result, Log);
  int Listener = listenOn(Result.Address);
  Log.line("born " + Result.Id + " cpu " + std::to_string(Result.Cpu));
  std::thread([Worker] {
    while (true) {
      sleepMs(2);
      Worker->advance();
    }
  }).detach();
  std::thread([Worker] {
    while (true) {
      Worker->beat();
      sleepMs(1500);
    }
  }).detach();
  serveForever(Listener, [Worker](const request &Request) { return Worker->handle(Request); });
}
