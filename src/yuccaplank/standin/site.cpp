#include "site.hpp"
#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/platform/documents.hpp"
#include "yuccaplank/platform/json_reader.hpp"
#include "yuccaplank/platform/store_client.hpp"
#include "yuccaplank/runtime/lifetime.hpp"
#include "yuccaplank/standin/enum_names.hpp"
#include "yuccaplank/standin/replies.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace yuccaplank::standin {
namespace {

using nlohmann::json;
using platform::field_issue;
using platform::object_reader;
using wire::http_reply;
using wire::http_request;

// Number of missed heartbeats after which the entry of a worker is removed.
constexpr std::uint32_t MaxMissedHeartbeats = 3;
// Names of the modes, indexed by store_mode and worker_mode.
constexpr auto StoreModes = std::to_array<std::string_view>({"normal", "down", "reset", "silent"});
constexpr auto WorkerModes = std::to_array<std::string_view>({"normal", "silent", "failing", "hanging"});

struct site_worker {
  std::unique_ptr<worker> Worker;
  std::uint64_t Sequence = 0;
  std::uint32_t MissedHeartbeats = 0;
  bool Draining = false;
};

class site_impl final : public site {
public:
  site_impl(runtime::loop &Loop, site_options OptionsIn)
      : Loop(Loop), Options(std::move(OptionsIn)), Random(Options.Seed) {}
  site_impl(const site_impl &) = delete;
  site_impl &operator=(const site_impl &) = delete;
  ~site_impl() override = default;

  runtime::result<void> open() {
    store_options StoreOptions;
    StoreOptions.Listen = fmt::format("{}:{}", Options.Ip, Options.StorePort);
    StoreOptions.Seed = Options.Seed;
    auto NewStore = makeStoreService(Loop, StoreOptions);
    if (!NewStore)
      return NewStore.error();
    Store = std::move(NewStore.value());
    for (std::uint32_t Index = 0; Index < Options.Workers; ++Index)
      if (auto Added = addWorker(Index); !Added)
        return Added;
    wire::http_server_options ControlOptions;
    ControlOptions.Address = fmt::format("{}:{}", Options.Ip, Options.ControlPort);
    auto NewControl = wire::makeHttpServer(Loop, ControlOptions,
                                           {[this](const http_request &Request) { onControl(Request); }, {}});
    if (!NewControl)
      return NewControl.error();
    Control = std::move(NewControl.value());
    configure(1);
    writeEntries();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  store_service &store() override { return *Store; }
  [[nodiscard]] std::uint16_t controlPort() const override { return Control->port(); }
  worker &workerAt(std::size_t Index) override { return *Workers.at(Index).Worker; }
  [[nodiscard]] std::uint64_t starts() const override { return Starts; }
  [[nodiscard]] const std::vector<std::string> &violations() const override { return Violations; }

  void configure(std::uint64_t Version) override {
    json Route{{"name", "jobs"}, {"host", SiteHost},  {"path_prefix", SitePath}, {"service", Options.Pool},
               {"priority", 0},  {"max_attempts", 3}, {"stretch", 1.6},          {"target_latency_ms", 60}};
    json Document{{"version", Version},
                  {"routes", json::array({Route})},
                  {"services", json::array({{{"name", Options.Pool}}})},
                  {"limits", {{"max_body_bytes", 100'000}}}};
    Store->put(platform::OperatorTable, platform::ConfigurationKey, Document.dump());
  }

private:
  runtime::result<void> addWorker(std::uint32_t Index) {
    worker_options WorkerOptions;
    WorkerOptions.Id = fmt::format("w{}", Index + 1);
    std::uint32_t Port = Options.FirstWorkerPort ? Options.FirstWorkerPort + Index : 0;
    WorkerOptions.Listen = fmt::format("{}:{}", Options.Ip, Port);
    WorkerOptions.Pool = Options.Pool;
    WorkerOptions.Domain = Options.Domains[Index % Options.Domains.size()];
    WorkerOptions.Rack = fmt::format("r{}-{}", Index % Options.Domains.size() + 1,
                                     Index / (Options.RackSize * Options.Domains.size()) + 1);
    WorkerOptions.RemoteFactor = Options.RemoteFactor;
    WorkerOptions.FirstRackOf = [this](dispatch::job_id Job, const std::string &Rack) {
      return FirstRacks.try_emplace(Job, Rack).first->second;
    };
    WorkerOptions.Slowness = Options.Slowness[Index % Options.Slowness.size()];
    WorkerOptions.Server.ClockRate = 1 - MaxClockDrift * Random.uniform();
    auto NewWorker = makeWorker(Loop, Random, WorkerOptions, [this, Index](const dispatch::run_key &Run) {
      onStart(Workers.at(Index), Run);
    });
    if (!NewWorker)
      return NewWorker.error();
    Workers.push_back({std::move(NewWorker.value()), 0, 0, false});
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  // Checks of started runs.

  void onStart(const site_worker &Worker, const dispatch::run_key &Run) {
    ++Starts;
    ++StartsByJob[Run.Task.Job];
    const worker_options &WorkerOptions = Worker.Worker->options();
    for (const site_worker &Other : Workers)
      if (&Other != &Worker && Other.Worker->isRunning(Run.Task))
        Violations.push_back(fmt::format("{} starts on {} while a run of the task is on {}",
                                         dispatch::format(Run), WorkerOptions.Id,
                                         Other.Worker->options().Id));
    if (Worker.Worker->usedCpu() > WorkerOptions.Cpu)
      Violations.push_back(
          fmt::format("{} starts on {} beyond its capacity", dispatch::format(Run), WorkerOptions.Id));
  }

  // Entries of the workers in the store.

  void writeEntries() {
    for (site_worker &Worker : Workers)
      writeEntries(Worker);
    Loop.after(Options.HeartbeatInterval, Lifetime.guard([this] { writeEntries(); }));
  }

  // Heartbeats are also missed while the store does not work normally.
  void writeEntries(site_worker &Worker) {
    const std::string &Id = Worker.Worker->options().Id;
    if (Worker.Worker->alive() && StoreFaults.Mode == store_mode::Normal) {
      Worker.MissedHeartbeats = 0;
      Store->put(platform::ServerTable, Id, Worker.Worker->makeEntry(++Worker.Sequence, Worker.Draining));
    } else if (++Worker.MissedHeartbeats == MaxMissedHeartbeats) {
      Store->remove(platform::ServerTable, Id);
    }
  }

  // Control requests.

  void onControl(const http_request &Request) {
    using handler = http_reply (site_impl::*)(const http_request &);
    struct route {
      std::string_view Method;
      std::string_view Path;
      handler Handler;
    };
    static constexpr auto Routes = std::to_array<route>({
        {"POST", "/store", &site_impl::setStoreFaults},
        {"POST", "/workers", &site_impl::setWorkerFaults},
        {"POST", "/workers/crash", &site_impl::crashWorkers},
        {"POST", "/workers/start", &site_impl::startWorkers},
        {"POST", "/history/forget", &site_impl::forgetHistory},
        {"POST", "/configuration", &site_impl::setConfiguration},
        {"GET", "/summary", &site_impl::getSummary},
        {"GET", "/job", &site_impl::getJob},
    });
    for (const route &Route : Routes)
      if (Route.Method == Request.Method && Route.Path == Request.Path)
        return Control->reply(Request.Token, (this->*Route.Handler)(Request));
    Control->reply(Request.Token, reasonReply(404, "unknown_path"));
  }

  static http_reply issuesReply(const std::vector<field_issue> &Issues) {
    if (Issues.empty())
      return jsonReply(200, json::object());
    return reasonReply(400, fmt::format("{}: {}", Issues.front().Path, errcName(Issues.front().Reason)));
  }

  http_reply setStoreFaults(const http_request &Request) {
    json Body = platform::parseJson(Request.Body);
    std::vector<field_issue> Issues;
    store_faults Faults;
    std::string Mode = "normal";
    double DelayMs = 0;
    object_reader Reader(Body, "", Issues);
    Reader.optionalText("mode", Mode);
    Reader.optionalNumber("delay_ms", DelayMs);
    Reader.optionalNumber("lost_answers", Faults.LostAnswers);
    Reader.optionalNumber("late_writes", Faults.LateWrites);
    auto ParsedMode = enumFromName<store_mode>(StoreModes, Mode);
    if (!ParsedMode)
      Issues.push_back({runtime::errc::OutOfRange, "mode"});
    if (Issues.empty()) {
      Faults.Mode = *ParsedMode;
      Faults.Delay = runtime::fromMs(DelayMs);
      StoreFaults = Faults;
      Store->setFaults(Faults);
    }
    return issuesReply(Issues);
  }

  http_reply setWorkerFaults(const http_request &Request) {
    json Body = platform::parseJson(Request.Body);
    std::vector<field_issue> Issues;
    worker_faults Faults;
    std::string Mode = "normal";
    bool Draining = false;
    object_reader Reader(Body, "", Issues);
    Reader.optionalText("mode", Mode);
    Reader.optionalNumber("lost_answers", Faults.LostAnswers);
    Reader.optionalNumber("late_orders", Faults.LateOrders);
    Reader.optionalNumber("slowdown", Faults.Slowdown);
    Reader.optionalFlag("draining", Draining);
    auto ParsedMode = enumFromName<worker_mode>(WorkerModes, Mode);
    if (!ParsedMode)
      Issues.push_back({runtime::errc::OutOfRange, "mode"});
    if (!Issues.empty())
      return issuesReply(Issues);
    Faults.Mode = *ParsedMode;
    for (site_worker *Worker : selectWorkers(Reader, Issues)) {
      Worker->Draining = Draining;
      Worker->Worker->setFaults(Faults);
    }
    return issuesReply(Issues);
  }

  http_reply crashWorkers(const http_request &Request) {
    return forSelectedWorkers(Request, [](worker &Worker) {
      if (Worker.alive())
        Worker.crash();
      return true;
    });
  }
  http_reply startWorkers(const http_request &Request) {
    return forSelectedWorkers(
        Request, [](worker &Worker) { return Worker.alive() || static_cast<bool>(Worker.start()); });
  }

  http_reply forSelectedWorkers(const http_request &Request, const std::function<bool(worker &)> &Function) {
    json Body = platform::parseJson(Request.Body);
    std::vector<field_issue> Issues;
    object_reader Reader(Body, "", Issues);
    for (site_worker *Worker : selectWorkers(Reader, Issues))
      if (!Function(*Worker->Worker))
        Issues.push_back({runtime::errc::Internal, Worker->Worker->options().Id});
    return issuesReply(Issues);
  }

  // Returns the workers that a document names, or all workers if it names none.
  std::vector<site_worker *> selectWorkers(object_reader &Reader, std::vector<field_issue> &Issues) {
    std::vector<site_worker *> Result;
    const json &Names = Reader.child("names", false, true);
    for (site_worker &Worker : Workers)
      if (Names.empty() || std::ranges::find(Names, json(Worker.Worker->options().Id)) != Names.end())
        Result.push_back(&Worker);
    if (!Names.empty() && Result.size() != Names.size())
      Issues.push_back({runtime::errc::NotFound, "names"});
    return Result;
  }

  http_reply forgetHistory(const http_request & /*Request*/) {
    Store->forgetHistory();
    return issuesReply({});
  }
  http_reply setConfiguration(const http_request &Request) {
    Store->put(platform::OperatorTable, platform::ConfigurationKey, Request.Body);
    return issuesReply({});
  }

  http_reply getSummary(const http_request & /*Request*/) {
    rack_counts Racks;
    for (const site_worker &Worker : Workers) {
      Racks.OnRack += Worker.Worker->rackCounts().OnRack;
      Racks.Elsewhere += Worker.Worker->rackCounts().Elsewhere;
    }
    return jsonReply(200, {{"starts", Starts},
                           {"starts_on_rack", Racks.OnRack},
                           {"starts_off_rack", Racks.Elsewhere},
                           {"breaches", Violations},
                           {"store_reads", Store->counters().Reads},
                           {"store_writes", Store->counters().Writes},
                           {"store_rejected", Store->counters().Rejected}});
  }

  // Reports how many runs of a job the workers have started.
  http_reply getJob(const http_request &Request) {
    auto Id = dispatch::parseJobId(Request.query("id"));
    if (!Id)
      return reasonReply(400, "id");
    auto Found = StartsByJob.find(*Id);
    return jsonReply(200, {{"starts", Found == StartsByJob.end() ? 0 : Found->second}});
  }

  static constexpr double MaxClockDrift = 0.02;

  runtime::loop &Loop;
  site_options Options;
  runtime::random Random;
  store_faults StoreFaults;
  std::unique_ptr<store_service> Store;
  std::vector<site_worker> Workers;
  std::unique_ptr<wire::http_server> Control;
  std::uint64_t Starts = 0;
  std::map<dispatch::job_id, std::uint64_t> StartsByJob;
  // Rack of the first run of each job whose tasks should share a rack.
  std::map<dispatch::job_id, std::string> FirstRacks;
  std::vector<std::string> Violations;
  runtime::lifetime Lifetime;
};

} // namespace

runtime::result<std::unique_ptr<site>> makeSite(runtime::loop &Loop, site_options Options) {
  auto Site = std::make_unique<site_impl>(Loop, std::move(Options));
  if (auto Opened = Site->open(); !Opened)
    return Opened.error();
  return std::unique_ptr<site>(std::move(Site));
}

} // namespace yuccaplank::standin
