// JSON form of service documents: checks beyond types, and structured differences.
#pragma once

#include "service.pb.h"
#include "yuccaplank/wire/settings_reader.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::wire {

/// Longest name of a service, team, pool, VM or failure domain, in characters.
inline constexpr std::size_t MaxNameLength = 64;

/// Fills Document from Text and checks names and limits.
std::vector<document_issue> readService(std::string_view Text, schema::service_document &Document);

/// Issues of a document that did not arrive as text; lines are 0.
std::vector<document_issue> checkService(const schema::service_document &Document);

/// Indented JSON with a final newline.
std::string writeService(const schema::service_document &Document);

/// One field that differs. Values are JSON; a field that is not set is empty.
struct document_difference {
  std::string Path;
  std::string Old;
  std::string New;
  friend bool operator==(const document_difference &, const document_difference &) = default;
};

/// Fields that differ, in the order of the schema.
std::vector<document_difference> diffServices(const schema::service_document &Old,
                                              const schema::service_document &New);

} // namespace yuccaplank::wire
