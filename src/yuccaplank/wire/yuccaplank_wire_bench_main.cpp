// Measures how many task requests a second one HTTP client makes, against running stand-in servers:
//
//     yuccaplank-standin-servers --count 50 & yuccaplank-wire-bench --servers 50
#include "yuccaplank/wire/start_certainty.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <exception>

namespace {

namespace po = boost::program_options;
using namespace yuccaplank;

constexpr int UsageStatus = 2;
constexpr int TasksPerJob = 32;
constexpr auto CallTimeout = std::chrono::seconds(5);

struct bench_options {
  std::uint16_t FirstPort = 9100;
  std::uint32_t Servers = 50;
  std::uint32_t Concurrency = 4;
  std::uint64_t Calls = 300'000;
  std::string Payload = "x";
};

class bench {
public:
  explicit bench(bench_options Options) : Options(std::move(Options)) {}

  int run() {
    runtime::time_point Begin = Loop->clock().now();
    for (std::uint32_t Server = 0; Server < Options.Servers; ++Server)
      for (std::uint32_t Count = 0; Count < Options.Concurrency; ++Count)
        start(Server);
    Loop->run();
    report(runtime::toMs(Loop->clock().now() - Begin) / 1000);
    return Bad == 0 ? 0 : 1;
  }

private:
  void start(std::uint32_t Server) {
    if (Started == Options.Calls)
      return;
    wire::http_call Call;
    Call.Method = "POST";
    Call.Address = fmt::format("127.0.0.1:{}", Options.FirstPort + Server);
    Call.Path = "/task";
    Call.Body = Options.Payload;
    Call.Timeout = CallTimeout;
    // Ids of usual length, unique over runs.
    std::string Id =
        fmt::format("i.d1.vm1.{}-{}.{}/t{}", RunMs, getpid(), Started / TasksPerJob, Started % TasksPerJob);
    Call.Headers = {{"task-id", Id}, {"task-kind", "bench"}, {"task-lease-ms", "5000"}};
    ++Started;
    runtime::time_point Begin = Loop->clock().now();
    Client->call(std::move(Call), [this, Server, Begin, Id](const wire::http_call_result &Result) {
      LatencyMs.push_back(runtime::toMs(Loop->clock().now() - Begin));
      if (wire::judgeAttempt(Result, Id).Verdict != wire::attempt_verdict::Completed)
        ++Bad;
      if (LatencyMs.size() == Options.Calls)
        Loop->stop();
      start(Server);
    });
  }

  void report(double Seconds) {
    std::ranges::sort(LatencyMs);
    rusage Usage{};
    getrusage(RUSAGE_SELF, &Usage);
    auto Cpu = static_cast<double>(Usage.ru_utime.tv_sec + Usage.ru_stime.tv_sec) +
               static_cast<double>(Usage.ru_utime.tv_usec + Usage.ru_stime.tv_usec) / 1e6;
    auto Calls = static_cast<double>(LatencyMs.size());
    fmt::print("{} calls, {:.0f}/s, {:.1f} us processor time per call, p50 {:.2f} ms, p99 {:.2f} ms, "
               "{} not completed, {} MB\n",
               LatencyMs.size(), Calls / Seconds, Cpu * 1e6 / Calls, LatencyMs[LatencyMs.size() / 2],
               LatencyMs[LatencyMs.size() * 99 / 100], Bad, Usage.ru_maxrss / 1024);
  }

  bench_options Options;
  std::unique_ptr<runtime::loop> Loop = runtime::makeLoop();
  std::unique_ptr<wire::http_client> Client = wire::makeHttpClient(*Loop);
  std::int64_t RunMs = Loop->clock().unixMs();
  std::vector<double> LatencyMs;
  std::uint64_t Started = 0;
  std::uint64_t Bad = 0;
};

} // namespace

int main(int Count, char **Arguments) {
  bench_options Options;
  po::options_description Description("yuccaplank-wire-bench: task requests per second of one client");
  auto Add = Description.add_options();
  Add("first-port", po::value(&Options.FirstPort)->default_value(Options.FirstPort),
      "port of the first server");
  Add("servers", po::value(&Options.Servers)->default_value(Options.Servers), "number of servers");
  Add("concurrency", po::value(&Options.Concurrency)->default_value(Options.Concurrency), "calls per server");
  Add("calls", po::value(&Options.Calls)->default_value(Options.Calls), "calls in total");
  Add("payload", po::value(&Options.Payload)->default_value(Options.Payload), "payload of each task");
  try {
    po::variables_map Values;
    po::store(po::parse_command_line(Count, Arguments, Description), Values);
    po::notify(Values);
    if (Options.Calls == 0 || Options.Servers == 0 || Options.Concurrency == 0)
      throw po::error("servers, concurrency and calls must not be 0");
    return bench(Options).run();
  } catch (const std::exception &Error) {
    fmt::print(stderr, "{}\n", Error.what());
    return UsageStatus;
  }
}
