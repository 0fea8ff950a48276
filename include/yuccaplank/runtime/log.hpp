// Structured log with one JSON object per line. It goes to standard error unless logToStandardOutput() is
// called.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace yuccaplank::runtime {

enum class log_level : std::uint8_t { Debug, Info, Warning, Error };

/// Value of a log field.
using log_value = std::variant<std::int64_t, double, bool, std::string>;
struct log_field {
  std::string_view Key;
  log_value Value;
};

/// Writes `{"time_ms":…,"level":…,"event":…,fields…}`. At most 20 lines per second are written for each
/// event; the next line written for the event holds the number of suppressed lines.
void log(log_level Level, std::string_view Event, std::initializer_list<log_field> Fields = {});

/// Redirects the log to standard output. If that is a pipe, writes never block: lines that do not fit are
/// dropped and counted.
void logToStandardOutput();

/// Sets the lowest level that is written; the default is Info.
void setLogLevel(log_level Level);

} // namespace yuccaplank::runtime
