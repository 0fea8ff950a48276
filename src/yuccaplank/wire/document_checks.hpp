// Checks shared by the readers of settings, services and jobs.
#pragma once

#include "yuccaplank/wire/settings_reader.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::wire {

/// Characters allowed in a name besides digits and lower-case letters.
enum class name_rule : std::uint8_t {
  /// '-'.
  Service,
  /// Upper-case letters, '-' and '_'; no '.', which separates the parts of a job id.
  Vm,
  /// Upper-case letters, '-', '_' and '.'; the name becomes part of an HTTP header.
  Task,
};

bool isName(std::string_view Text, name_rule Rule);

/// Collects the issues of one document.
class document_checks {
public:
  void add(runtime::errc Code, std::string Path, std::string Expected);
  /// Reports an absent or malformed name; returns whether the name is valid.
  bool requireName(const std::string &Path, std::string_view Value, name_rule Rule);
  void requireText(const std::string &Path, std::string_view Value, std::size_t MinLength);
  void requireRange(const std::string &Path, std::uint64_t Value, std::uint64_t Min, std::uint64_t Max);
  /// "ip:port" with an IPv4 address or an IPv6 address in brackets.
  void requireAddress(const std::string &Path, std::string_view Value, bool PortZeroAllowed);

  [[nodiscard]] std::vector<document_issue> take() { return std::move(Issues); }

private:
  std::vector<document_issue> Issues;
};

} // namespace yuccaplank::wire
