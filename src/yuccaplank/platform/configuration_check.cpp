#include "yuccaplank/platform/configuration_check.hpp"

#include <boost/algorithm/string/case_conv.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <locale>
#include <map>
#include <set>

namespace yuccaplank::platform {
namespace {

using dispatch::queue_settings;

constexpr auto LevelNames = std::to_array<std::string_view>({"error", "warning", "change"});

std::string_view levelName(finding_level Level) { return LevelNames.at(static_cast<std::size_t>(Level)); }

// Returns the text as a JSON string, so that control characters cannot break an output line.
std::string quote(const std::string &Text) { return nlohmann::json(Text).dump(); }

// Returns no names if the document has no list of services.
std::set<std::string> serviceNames(const configuration_document &Document) {
  if (!Document.Services)
    return {};
  return {Document.Services->begin(), Document.Services->end()};
}

struct queue_field {
  const char *Name;
  std::string (*Format)(const queue_settings &Queue);
};

// Fields that are compared with the version in force. Of "advice" VMs only read whether it is present.
constexpr auto QueueFields = std::to_array<queue_field>({
    {"host", [](const queue_settings &Queue) { return quote(Queue.Host); }},
    {"path_prefix", [](const queue_settings &Queue) { return quote(Queue.PathPrefix); }},
    {"service", [](const queue_settings &Queue) { return quote(Queue.Pool); }},
    {"priority", [](const queue_settings &Queue) { return std::to_string(Queue.Priority); }},
    {"max_attempts", [](const queue_settings &Queue) { return std::to_string(Queue.MaxAttempts); }},
    {"stretch", [](const queue_settings &Queue) { return fmt::format("{}", Queue.Stretch); }},
    {"target_latency_ms", [](const queue_settings &Queue) { return std::to_string(Queue.LatencyMs); }},
    {"timeout_ms", [](const queue_settings &Queue) { return std::to_string(Queue.TimeoutMs); }},
    {"advice",
     [](const queue_settings &Queue) { return std::string(Queue.NeedsAdvice ? "present" : "absent"); }},
});

class configuration_checker {
public:
  configuration_checker(const configuration_document &Document, const configuration_check_options &Options)
      : Document(Document), Configuration(Document.Configuration), Options(Options) {}

  std::vector<configuration_finding> run(const configuration_document *InForce) {
    Findings = Document.Errors;
    if (InForce)
      for (const configuration_finding &Error : InForce->Errors)
        error(Error.Path, Error.Text + " (in the version in force)");
    if (!Findings.empty())
      return std::move(Findings);
    if (InForce && Configuration.Version <= InForce->Configuration.Version)
      error("version", fmt::format("{} does not exceed {}, the version in force; VMs ignore it",
                                   Configuration.Version, InForce->Configuration.Version));
    checkNames();
    checkMatches();
    checkServices();
    for (std::size_t Index = 0; Index < Configuration.Queues.size(); ++Index)
      checkQueueLimits(Configuration.Queues[Index], Index);
    checkBodyLimit();
    if (InForce) {
      compareQueues(InForce->Configuration);
      compareServices(*InForce);
      compareLimits(InForce->Configuration);
    }
    return std::move(Findings);
  }

private:
  void error(std::string Path, std::string Text) {
    Findings.push_back({finding_level::Error, std::move(Path), std::move(Text)});
  }
  void warn(std::string Path, std::string Text) {
    Findings.push_back({finding_level::Warning, std::move(Path), std::move(Text)});
  }
  void change(std::string Path, std::string Text) {
    Findings.push_back({finding_level::Change, std::move(Path), std::move(Text)});
  }

  static std::string routePath(std::size_t Index, std::string_view Field = "") {
    return fmt::format("routes[{}]{}{}", Index, Field.empty() ? "" : ".", Field);
  }

  void checkNames() {
    std::map<std::string, std::size_t> FirstByName;
    for (std::size_t Index = 0; Index < Configuration.Queues.size(); ++Index) {
      const std::string &Name = Configuration.Queues[Index].Name;
      auto [First, IsNew] = FirstByName.try_emplace(Name, Index);
      if (!IsNew)
        error(routePath(Index, "name"),
              fmt::format("{} is also the name of {}", quote(Name), routePath(First->second)));
    }
  }

  // configuration::findQueue takes the first of several routes with the same host and prefix.
  void checkMatches() {
    std::map<std::pair<std::string, std::string>, std::size_t> FirstByAddress;
    for (std::size_t Index = 0; Index < Configuration.Queues.size(); ++Index) {
      const queue_settings &Queue = Configuration.Queues[Index];
      auto [First, IsNew] = FirstByAddress.try_emplace(
          {boost::to_lower_copy(Queue.Host, std::locale::classic()), Queue.PathPrefix}, Index);
      if (!IsNew)
        warn(routePath(Index),
             fmt::format("never matches: {} has the same host and path_prefix", routePath(First->second)));
      // A request's path begins with '/', and what follows the prefix must be a job id.
      if (!Queue.PathPrefix.starts_with('/'))
        warn(routePath(Index, "path_prefix"),
             fmt::format("never matches: {} does not begin with '/'", quote(Queue.PathPrefix)));
      // The port in a request's Host header is removed before the comparison.
      if (Queue.Host.find(':') != std::string::npos)
        warn(routePath(Index, "host"), fmt::format("never matches: {} contains ':'", quote(Queue.Host)));
    }
  }

  void checkServices() {
    if (!Document.Services) {
      warn("services", "is missing; the services of the routes are not checked");
      return;
    }
    std::set<std::string> Known = serviceNames(Document);
    std::set<std::string> Used;
    for (std::size_t Index = 0; Index < Configuration.Queues.size(); ++Index) {
      const std::string &Service = Configuration.Queues[Index].Pool;
      Used.insert(Service);
      if (!Known.contains(Service))
        warn(routePath(Index, "service"), fmt::format("{} is not among the services", quote(Service)));
    }
    for (const std::string &Service : Known)
      if (!Used.contains(Service))
        warn("services", fmt::format("{} is not used by any route", quote(Service)));
  }

  void checkQueueLimits(const queue_settings &Queue, std::size_t Index) {
    if (Queue.MaxAttempts == 0)
      warn(routePath(Index, "max_attempts"), "is 0; a task is run once all the same");
    if (Queue.Stretch < 1)
      warn(
          routePath(Index, "stretch"),
          fmt::format("{} is below 1; the objective of a long task is shorter than the task", Queue.Stretch));
    // The objective of any task is at least the target latency. A time-out of 0 means none.
    if (Queue.TimeoutMs > 0 && Queue.LatencyMs >= Queue.TimeoutMs)
      warn(routePath(Index, "timeout_ms"),
           fmt::format("{} does not exceed target_latency_ms, {}; every task times out before its objective",
                       Queue.TimeoutMs, Queue.LatencyMs));
  }

  void checkBodyLimit() {
    std::size_t Limit = Configuration.Limits.MaxBodyBytes;
    if (Limit == 0)
      error("limits.max_body_bytes", "is 0; every job is refused");
    else if (Limit > Options.VmBodyBytes)
      warn("limits.max_body_bytes", fmt::format("{} has no effect above {}, the limit of the VMs "
                                                "(setting limits.body_bytes)",
                                                Limit, Options.VmBodyBytes));
  }

  static const queue_settings *findByName(const dispatch::configuration &In, const std::string &Name) {
    auto Found = std::ranges::find(In.Queues, Name, &queue_settings::Name);
    return Found == In.Queues.end() ? nullptr : &*Found;
  }

  void compareQueues(const dispatch::configuration &InForce) {
    for (std::size_t Index = 0; Index < Configuration.Queues.size(); ++Index) {
      const queue_settings &Queue = Configuration.Queues[Index];
      const queue_settings *Former = findByName(InForce, Queue.Name);
      if (!Former) {
        change(routePath(Index), fmt::format("queue {} is added", quote(Queue.Name)));
        continue;
      }
      for (const queue_field &Field : QueueFields)
        if (std::string From = Field.Format(*Former), To = Field.Format(Queue); From != To)
          change(routePath(Index, Field.Name),
                 fmt::format("queue {}: {} -> {}", quote(Queue.Name), From, To));
    }
    for (const queue_settings &Former : InForce.Queues)
      if (!findByName(Configuration, Former.Name))
        change("routes", fmt::format("queue {} is removed", quote(Former.Name)));
  }

  void compareServices(const configuration_document &InForce) {
    std::set<std::string> Now = serviceNames(Document);
    std::set<std::string> Before = serviceNames(InForce);
    for (const std::string &Service : Now)
      if (!Before.contains(Service))
        change("services", fmt::format("service {} is added", quote(Service)));
    for (const std::string &Service : Before)
      if (!Now.contains(Service))
        change("services", fmt::format("service {} is removed", quote(Service)));
  }

  void compareLimits(const dispatch::configuration &InForce) {
    std::size_t From = InForce.Limits.MaxBodyBytes;
    std::size_t To = Configuration.Limits.MaxBodyBytes;
    if (From != To)
      change("limits.max_body_bytes", fmt::format("{} -> {}", From, To));
  }

  const configuration_document &Document;
  const dispatch::configuration &Configuration;
  const configuration_check_options &Options;
  std::vector<configuration_finding> Findings;
};

} // namespace

std::vector<configuration_finding> checkConfiguration(const configuration_document &Document,
                                                      const configuration_document *InForce,
                                                      const configuration_check_options &Options) {
  return configuration_checker(Document, Options).run(InForce);
}

std::string formatFinding(const configuration_finding &Finding) {
  return fmt::format("{}: {}{}{}", levelName(Finding.Level), Finding.Path, Finding.Path.empty() ? "" : ": ",
                     Finding.Text);
}

std::string formatFindingJson(const configuration_finding &Finding) {
  return nlohmann::ordered_json{
      {"level", levelName(Finding.Level)}, {"path", Finding.Path}, {"text", Finding.Text}}
      .dump();
}

} // namespace yuccaplank::platform
