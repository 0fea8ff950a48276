// Measures the control traffic of membership per VM on a paused clock; prints one JSON object a line.
#include "membership_fleet.hpp"

#include <fmt/format.h>

using namespace yuccaplank;
using bench::fleet_options;
using bench::membership_fleet;

namespace {

constexpr int SettleS = 10;
constexpr int MeasuredS = 20;
constexpr int JoinS = 5;

void print(const std::string &Name, double Value, const char *Unit) {
  fmt::print("{{\"name\":\"{}\",\"value\":{:.2f},\"unit\":\"{}\"}}\n", Name, Value, Unit);
}

void publishSummaries(membership_fleet &Fleet) {
  for (auto &[Id, Vm] : Fleet.all()) {
    if (!Vm.Alive || !Vm.Model->isDispatcher())
      continue;
    schema::domain_summary Summary;
    Summary.set_domain(Vm.Entry.domain());
    *Summary.mutable_dispatcher() = Vm.Entry.self();
    Summary.set_free_slots(300);
    Summary.set_total_slots(1'144);
    Summary.set_backlog_ms(150);
    Summary.set_free_speed(1.5F);
    Vm.Model->setOwnSummary(Summary);
  }
}

void runWithSummaries(membership_fleet &Fleet, int Seconds) {
  for (int Step = 0; Step < 10 * Seconds; ++Step) {
    publishSummaries(Fleet);
    Fleet.run(std::chrono::milliseconds(100));
  }
}

double oldestSummaryMs(membership_fleet &Fleet) {
  double Oldest = 0;
  for (auto &[Id, Vm] : Fleet.all())
    for (const schema::domain_summary &Summary : Vm.Model->summaries())
      Oldest = std::max(Oldest, static_cast<double>(Summary.age_ms()));
  return Oldest;
}

void measure(int Vms, int Domains) {
  fleet_options Options;
  Options.Vms = Vms;
  Options.Domains = Domains;
  membership_fleet Fleet(Options);
  std::string Prefix = fmt::format("membership.{}_vms.", Vms);
  auto PerVm = [&](double Value) { return Value / Vms; };

  Fleet.startAll();
  runWithSummaries(Fleet, SettleS);
  auto Start = Fleet.takeTraffic();
  print(Prefix + "start.bytes_per_vm", PerVm(static_cast<double>(Start.Bytes)), "B");

  print(Prefix + "start.largest_heartbeat", static_cast<double>(Start.LargestHeartbeat), "B");

  runWithSummaries(Fleet, MeasuredS);
  auto Steady = Fleet.takeTraffic();
  print(Prefix + "steady.messages", PerVm(static_cast<double>(Steady.Messages)) / MeasuredS, "1/s per VM");
  print(Prefix + "steady.bytes", PerVm(static_cast<double>(Steady.Bytes)) / MeasuredS, "B/s per VM");
  print(Prefix + "steady.largest_heartbeat", static_cast<double>(Steady.LargestHeartbeat), "B");
  print(Prefix + "steady.oldest_summary", oldestSummaryMs(Fleet), "ms");

  // Traffic of one event, beyond that of the same time without it.
  auto Extra = [&](const std::string &Name, int Seconds) {
    runWithSummaries(Fleet, Seconds);
    auto Traffic = Fleet.takeTraffic();
    double Scale = static_cast<double>(Seconds) / MeasuredS;
    print(Prefix + Name + ".messages",
          PerVm(static_cast<double>(Traffic.Messages) - static_cast<double>(Steady.Messages) * Scale),
          "per VM");
    print(Prefix + Name + ".bytes",
          PerVm(static_cast<double>(Traffic.Bytes) - static_cast<double>(Steady.Bytes) * Scale), "B per VM");
    print(Prefix + Name + ".largest_heartbeat", static_cast<double>(Traffic.LargestHeartbeat), "B");
  };
  Fleet.loseHost("vm03");
  Extra("host_lost", 2);
  Extra("host_still_lost", JoinS);
  Fleet.start("vm03");
  Extra("restart", JoinS);
  Fleet.crash("vm03");
  Extra("crash", 2);
}

} // namespace

int main() {
  measure(7, 4);
  measure(14, 4);
  measure(50, 7);
  measure(100, 7);
}
