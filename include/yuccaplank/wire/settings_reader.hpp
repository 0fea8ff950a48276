// Reads JSON with comments into protobuf messages and reports each problem with its path and line.
#pragma once

#include "yuccaplank/runtime/error.hpp"

#include <google/protobuf/message.h>

#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::wire {

/// One problem in a document.
struct document_issue {
  runtime::errc Code = runtime::errc::MalformedDocument;
  /// JSON path, for example "listen.callers" or "tasks[3].name".
  std::string Path;
  /// Line of the document, counted from 1.
  int Line = 0;
  /// What was expected, for example "string" or "1 to 100".
  std::string Expected;
};

/// Fills Message from Text. Unknown fields, wrong types and numbers outside a field's range are reported as
/// issues; an empty result means success. A field of type bytes takes the JSON string unchanged, and an
/// enumeration takes the name of its value.
std::vector<document_issue> readDocument(std::string_view Text, google::protobuf::Message &Message);

/// Fills DaemonSettings like readDocument(), then checks the ranges of its values and the log level.
std::vector<document_issue> readSettings(std::string_view Text, google::protobuf::Message &DaemonSettings);

/// Formats one issue per line: "line 3: listen.callers: wrong_type, expected string".
std::string formatIssues(const std::vector<document_issue> &Issues);

} // namespace yuccaplank::wire
