// Surroundings of a scheduler in tests: servers, services, jobs, and the attempts that are running.
#pragma once

#include "yuccaplank/model/scheduler.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace yuccaplank::model {

class scheduler_world {
public:
  explicit scheduler_world(int ServerCount, scheduler_options Options = {})
      : Scheduler(makeScheduler(Clock, std::move(Options))) {
    Service = service("proofs", "glass");
    for (int Index = 0; Index < ServerCount; ++Index)
      addServer(fmt::format("s{}", Index));
    Scheduler->setServers(Servers);
  }

  static schema::service_document service(const std::string &Name, const std::string &Team,
                                          std::uint32_t Weight = 1) {
    schema::service_document Document;
    Document.set_service(Name);
    Document.set_team(Team);
    Document.set_pool("main");
    Document.set_weight(Weight);
    return Document;
  }

  schema::backend_entry &addServer(const std::string &Id, std::uint32_t Slots = 8) {
    auto &Entry = Servers.emplace_back();
    Entry.set_id(Id);
    Entry.set_address(Id + ":1");
    Entry.set_pool("main");
    Entry.set_slots(Slots);
    Entry.set_cores(64);
    Entry.set_memory_mb(1000);
    return Entry;
  }

  schema::job &job(int Tasks, double DeclaredMs = 100, const std::string &Kind = "render") {
    auto &Job = Jobs.emplace_back();
    Job.set_repeatable(true);
    for (int Index = 0; Index < Tasks; ++Index) {
      auto &Task = *Job.add_tasks();
      Task.set_name(fmt::format("t{}", Index));
      Task.set_kind(Kind);
      Task.set_declared_ms(DeclaredMs);
    }
    return Job;
  }

  std::optional<admission_refusal> submit(job_key Key, const schema::job &Job,
                                          const schema::service_document &Document,
                                          runtime::duration Deadline = std::chrono::seconds(10)) {
    auto Refusal = Scheduler->submit({Key, &Job, &Document, Clock.now() + Deadline});
    if (!Refusal)
      Active.insert(Key);
    return Refusal;
  }
  std::optional<admission_refusal> submit(job_key Key, const schema::job &Job,
                                          runtime::duration Deadline = std::chrono::seconds(10)) {
    return submit(Key, Job, Service, Deadline);
  }

  /// Takes decisions and checks what holds of every start and failure.
  scheduler_decisions decide() {
    auto Decisions = Scheduler->takeDecisions();
    for (const auto &Start : Decisions.Starts) {
      auto Task = std::make_pair(Start.Task.Job, Start.Task.Index);
      CPPUNIT_ASSERT_MESSAGE("start for an ended job", Active.contains(Start.Task.Job));
      CPPUNIT_ASSERT_MESSAGE("second start of a task", Started.insert(Task).second);
      Running.emplace(Task, Start.Server);
      auto Entry = std::ranges::find(Servers, Start.Server, &schema::backend_entry::id);
      CPPUNIT_ASSERT_MESSAGE("start on an unlisted server", Entry != Servers.end());
      CPPUNIT_ASSERT_MESSAGE("start on a leaving server", Entry->state() == schema::BACKEND_LIVE);
      CPPUNIT_ASSERT_MESSAGE("too many tasks on a server", runningOn(Start.Server) <= Entry->slots());
    }
    for (const auto &Failure : Decisions.Failures)
      CPPUNIT_ASSERT_MESSAGE("second failure of a job", Active.erase(Failure.Job) == 1);
    return Decisions;
  }

  void end(const task_ref &Task, attempt_end End = attempt_end::Completed) {
    auto Found = Running.find({Task.Job, Task.Index});
    CPPUNIT_ASSERT(Found != Running.end());
    auto Server = Found->second;
    if (End == attempt_end::NotStarted)
      Started.erase(Found->first);
    Running.erase(Found);
    Scheduler->attemptEnded(Task, Server, End);
  }

  std::vector<task_start> cancel(job_key Key) {
    Active.erase(Key);
    return Scheduler->cancel(Key);
  }

  /// Advances in steps of 1 ms; tasks end after RunMs of their server by the outcome that Outcome gives.
  void run(int Ms, const std::function<double(const std::string &)> &RunMs,
           const std::function<attempt_end(const task_ref &, const std::string &)> &Outcome) {
    for (int Step = 0; Step < Ms; ++Step) {
      for (const auto &Start : decide().Starts) {
        ++StartsOn[Start.Server];
        ++StartsOf[Start.Task.Job];
        Due.emplace(runtime::toMs(Clock.now().time_since_epoch()) + RunMs(Start.Server),
                    std::make_pair(Start.Task.Job, Start.Task.Index));
      }
      Clock.advance(std::chrono::milliseconds(1));
      while (!Due.empty() && Due.begin()->first <= runtime::toMs(Clock.now().time_since_epoch())) {
        auto Task = Due.begin()->second;
        Due.erase(Due.begin());
        if (auto Found = Running.find(Task); Found != Running.end())
          end({Task.first, Task.second}, Outcome({Task.first, Task.second}, Found->second));
      }
    }
  }

  [[nodiscard]] std::size_t runningOn(const std::string &Server) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Running, [&](const auto &Item) { return Item.second == Server; }));
  }
  [[nodiscard]] std::string stateOf(const std::string &Server) const {
    for (const auto &View : Scheduler->servers())
      if (View.Id == Server)
        return std::string(View.State);
    return {};
  }
  [[nodiscard]] int quarantined() const {
    return static_cast<int>(
        std::ranges::count(Scheduler->servers(), std::string_view("quarantined"), &server_view::State));
  }

  runtime::manual_clock Clock;
  std::unique_ptr<scheduler> Scheduler;
  schema::service_document Service;
  std::vector<schema::backend_entry> Servers;
  std::deque<schema::job> Jobs;
  std::set<job_key> Active;
  std::set<std::pair<job_key, std::uint32_t>> Started;
  std::map<std::pair<job_key, std::uint32_t>, std::string> Running;
  std::multimap<double, std::pair<job_key, std::uint32_t>> Due;
  std::map<std::string, int> StartsOn;
  std::map<job_key, int> StartsOf;
};

} // namespace yuccaplank::model
