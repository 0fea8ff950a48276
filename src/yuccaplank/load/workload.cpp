#include "yuccaplank/load/workload.hpp"

#include <boost/math/distributions/lognormal.hpp>
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace yuccaplank::load {
namespace {

constexpr int UsualKinds = 20;
constexpr int LongKinds = 4;
constexpr double LeastUsualMs = 50;
constexpr double MostUsualMs = 1000;
constexpr double MostLongMs = 6000;
constexpr double MedianUsualMs = 200;
// Standard deviation of the logarithm: 95 % of the kinds lie within 50 to 800 ms.
constexpr double UsualSigma = 0.7;
constexpr double LongShare = 0.02;
constexpr int SampleTasks = 20'000;

// Deterministic number in [0, 1) that belongs to a name.
double fraction(const std::string &Name) {
  constexpr double Range = 18446744073709551616.0; // 2^64
  return static_cast<double>(XXH64(Name.data(), Name.size(), 0)) / Range;
}

task_kind makeKind(std::string Name, double MeanMs, double LeastMs, double MostMs, double DeclaredFactor) {
  task_kind Kind{std::move(Name), MeanMs, LeastMs, MostMs, 0};
  Kind.DeclaredMs = MeanMs * std::pow(DeclaredFactor, 2 * fraction(Kind.Name) - 1);
  return Kind;
}

double drawMs(const task_kind &Kind, double Spread, pcg64 &Random) {
  std::uniform_real_distribution<double> Exponent(-1, 1);
  return std::clamp(Kind.MeanMs * std::pow(Spread, Exponent(Random)), Kind.LeastMs, Kind.MostMs);
}

const task_kind &drawKind(const kind_table &Kinds, pcg64 &Random) {
  bool Long = std::bernoulli_distribution(LongShare)(Random);
  const std::vector<task_kind> &List = Long ? Kinds.Long : Kinds.Usual;
  return List[std::uniform_int_distribution<std::size_t>(0, List.size() - 1)(Random)];
}

} // namespace

kind_table makeKinds(double DeclaredFactor) {
  kind_table Kinds;
  boost::math::lognormal_distribution<double> Usual(std::log(MedianUsualMs), UsualSigma);
  for (int Index = 0; Index < UsualKinds; ++Index) {
    double MeanMs = boost::math::quantile(Usual, (Index + 0.5) / UsualKinds);
    Kinds.Usual.push_back(makeKind(fmt::format("kind{}", Index),
                                   std::clamp(MeanMs, LeastUsualMs, MostUsualMs), LeastUsualMs, MostUsualMs,
                                   DeclaredFactor));
  }
  for (int Index = 0; Index < LongKinds; ++Index) {
    double MeanMs = MostUsualMs + (MostLongMs - MostUsualMs) * (Index + 0.5) / LongKinds;
    Kinds.Long.push_back(
        makeKind(fmt::format("long{}", Index), MeanMs, MostUsualMs, MostLongMs, DeclaredFactor));
  }
  return Kinds;
}

workload::workload(const load_options &Options)
    : Options(Options), Kinds(makeKinds(Options.DeclaredFactor)), Random(Options.Seed) {}

planned_job workload::next() {
  planned_job Planned;
  schema::job &Job = Planned.Job;
  Job.set_service(Options.Service);
  Job.set_repeatable(Options.Repeatable);
  Job.set_deadline_ms(Options.DeadlineMs);
  std::uint64_t Number = ++Sequence;
  auto Count = std::uniform_int_distribution<std::uint32_t>(Options.MinTasks, Options.MaxTasks)(Random);
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    schema::task &Task = *Job.add_tasks();
    Task.set_name(fmt::format("t{}", Index));
    // Payloads differ, so that the result of one task is never right for another.
    if (Options.EmptyTasks) {
      Task.set_kind("empty");
      Task.set_payload(fmt::format("{}.{}.{}", Options.Seed, Number, Index));
      continue;
    }
    const task_kind &Kind = drawKind(Kinds, Random);
    double Ms = drawMs(Kind, Options.TaskSpread, Random);
    Task.set_kind(Kind.Name);
    Task.set_declared_ms(Kind.DeclaredMs);
    Task.set_payload(fmt::format(R"({{"ms":{:.3f},"n":"{}.{}.{}"}})", Ms, Options.Seed, Number, Index));
    Planned.LongestMs = std::max(Planned.LongestMs, Ms);
    Planned.TotalMs += Ms;
  }
  return Planned;
}

double workload::idealMs(const planned_job &Planned) const {
  constexpr int RoundTrips = 2;
  return Planned.LongestMs / Options.SpeedMax + RoundTrips * Options.RoundTripMs;
}

double workload::meanTaskMs() const {
  if (Options.EmptyTasks)
    return 0;
  pcg64 Sampler(1);
  double Sum = 0;
  for (int Index = 0; Index < SampleTasks; ++Index)
    Sum += drawMs(drawKind(Kinds, Sampler), Options.TaskSpread, Sampler);
  return Sum / SampleTasks;
}

} // namespace yuccaplank::load
