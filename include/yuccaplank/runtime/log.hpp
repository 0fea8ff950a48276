// Structured log: one JSON object a line, on standard error unless told otherwise.
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

/// Writes `{"time":…,"level":…,"event":…,fields…}`. At most 20 lines a second per event are written; the
/// next line written for the event then carries the number suppressed.
void log(log_level Level, std::string_view Event, std::initializer_list<log_field> Fields = {});

/// Writes to standard output from now on, without ever waiting for a reader of a pipe; lines that do not fit
/// are counted.
void logToStandardOutput();

/// Lines below Level are dropped; the default is Info.
void setLogLevel(log_level Level);

} // namespace yuccaplank::runtime
