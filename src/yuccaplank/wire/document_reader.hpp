// Streaming JSON reader: writes the parser's events directly into a protobuf message.
#pragma once

#include "yuccaplank/wire/settings_reader.hpp"

namespace yuccaplank::wire {

/// Fills Message from Text and returns the issues found.
std::vector<document_issue> readMessage(std::string_view Text, google::protobuf::Message &Message);

/// Sets the lines of issues that were found after parsing, based on their paths. An issue about a missing
/// field gets the line of the enclosing object. The text is parsed a second time, so that valid documents,
/// which are the common case, do not pay for recording lines.
void locateIssues(std::string_view Text, const google::protobuf::Message &Prototype,
                  std::vector<document_issue> &Issues);

} // namespace yuccaplank::wire
