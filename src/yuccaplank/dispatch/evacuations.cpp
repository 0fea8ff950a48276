#include "yuccaplank/dispatch/evacuations.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <algorithm>

namespace yuccaplank::dispatch {
namespace {

void logChange(const char *Event, const std::string &Domain, const schema::evacuation_state &State) {
  runtime::log(runtime::log_level::Info, Event,
               {{"domain", Domain},
                {"source", schema::evacuation_source_Name(State.source())},
                {"version", static_cast<std::int64_t>(State.version())}});
}

} // namespace

bool evacuations::knows(const schema::evacuation_state &State) const {
  if (!schema::evacuation_source_IsValid(State.source()))
    return true;
  const source_state &Source = Sources.at(static_cast<std::size_t>(State.source()));
  return State.version() <= Source.Version && (Source.Shared || State.domains().empty());
}

bool evacuations::apply(const schema::evacuation_state &State) {
  if (knows(State))
    return false;
  source_state &Source = Sources.at(static_cast<std::size_t>(State.source()));
  Source.Shared |= State.domains_size() > 0;
  if (State.version() <= Source.Version)
    return false;
  Source.Version = State.version();
  std::set<std::string> Domains(State.domains().begin(), State.domains().end());
  bool Changed = std::erase_if(Source.Domains, [&](const auto &Entry) {
                   bool Ended = !Domains.contains(Entry.first);
                   if (Ended)
                     logChange("evacuation_ended", Entry.first, State);
                   return Ended;
                 }) > 0;
  for (const std::string &Domain : Domains) {
    auto [Entry, IsNew] =
        Source.Domains.try_emplace(Domain, evacuation{Domain, State.source(), State.version(), Clock.now()});
    if (IsNew)
      logChange("evacuation_begun", Domain, State);
    Changed |= IsNew;
  }
  return Changed;
}

std::set<std::string> evacuations::domains() const {
  std::set<std::string> Result;
  for (const source_state &Source : Sources)
    for (const auto &[Domain, Evacuation] : Source.Domains)
      Result.insert(Domain);
  return Result;
}

std::vector<evacuation> evacuations::list() const {
  std::vector<evacuation> Result;
  for (const source_state &Source : Sources)
    for (const auto &[Domain, Evacuation] : Source.Domains)
      Result.push_back(Evacuation);
  std::ranges::stable_sort(Result, {}, &evacuation::Domain);
  return Result;
}

std::vector<schema::evacuation_state> evacuations::states() const {
  std::vector<schema::evacuation_state> Result;
  for (std::size_t Index = 0; Index < Sources.size(); ++Index) {
    const source_state &Source = Sources.at(Index);
    if (!Source.Shared)
      continue;
    schema::evacuation_state State;
    State.set_source(static_cast<schema::evacuation_source>(Index));
    State.set_version(Source.Version);
    for (const auto &[Domain, Evacuation] : Source.Domains)
      State.add_domains(Domain);
    Result.push_back(std::move(State));
  }
  return Result;
}

} // namespace yuccaplank::dispatch
