#include "yuccaplank/runtime/log.hpp"
#include "yuccaplank/runtime/clock.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <map>

namespace yuccaplank::runtime {
namespace {

constexpr auto LevelNames = std::to_array<std::string_view>({"debug", "info", "warning", "error"});
constexpr int MaxLinesPerSecond = 20;

struct event_rate {
  std::int64_t Second = 0;
  int Lines = 0;
  std::int64_t Suppressed = 0;
};

int OutputFd = STDERR_FILENO;
// Lines that could not be written because the pipe was full, or because of another error.
std::int64_t DroppedLines = 0;
log_level MinimumLevel = log_level::Info;
std::map<std::string, event_rate, std::less<>> Rates;

// Returns the number of lines suppressed before this one, or -1 when this one is suppressed too.
std::int64_t admitLine(std::string_view Event, std::int64_t Second) {
  auto Found = Rates.find(Event);
  if (Found == Rates.end())
    Found = Rates.emplace(std::string(Event), event_rate{}).first;
  event_rate &Rate = Found->second;
  if (Rate.Second != Second) {
    Rate.Second = Second;
    Rate.Lines = 0;
  }
  if (++Rate.Lines > MaxLinesPerSecond) {
    ++Rate.Suppressed;
    return -1;
  }
  return std::exchange(Rate.Suppressed, 0);
}

void writeLine(std::string Line) {
  Line += '\n';
  if (::write(OutputFd, Line.data(), Line.size()) < 0)
    ++DroppedLines;
}

} // namespace

void logToStandardOutput() {
  OutputFd = STDOUT_FILENO;
  struct stat Status {};
  if (fstat(OutputFd, &Status) == 0 && S_ISFIFO(Status.st_mode))
    fcntl(OutputFd, F_SETFL,
          fcntl(OutputFd, F_GETFL) | O_NONBLOCK); // NOLINT(cppcoreguidelines-pro-type-vararg)
}

void setLogLevel(log_level Level) { MinimumLevel = Level; }

void log(log_level Level, std::string_view Event, std::initializer_list<log_field> Fields) {
  if (Level < MinimumLevel)
    return;
  std::int64_t UnixMs = systemClock().unixMs();
  std::int64_t Suppressed = admitLine(Event, UnixMs / 1000);
  if (Suppressed < 0)
    return;
  nlohmann::ordered_json Line;
  Line["time_ms"] = UnixMs;
  Line["level"] = LevelNames[static_cast<std::size_t>(Level)];
  Line["event"] = Event;
  for (const log_field &Field : Fields)
    std::visit([&](const auto &Value) { Line[std::string(Field.Key)] = Value; }, Field.Value);
  if (Suppressed > 0)
    Line["suppressed"] = Suppressed;
  if (DroppedLines > 0)
    Line["dropped_lines"] = std::exchange(DroppedLines, 0);
  writeLine(Line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

} // namespace yuccaplank::runtime
