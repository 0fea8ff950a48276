// Streaming reader behind all JSON documents: JSON events straight into a protobuf message.
#pragma once

#include "yuccaplank/wire/settings_reader.hpp"

namespace yuccaplank::wire {

/// Fills Message from Text.
std::vector<document_issue> readMessage(std::string_view Text, google::protobuf::Message &Message);

/// Sets the lines of issues that were found after reading, from their paths. An absent field gets the line of
/// the object that lacks it. Reads the text a second time, since documents are rarely faulty.
void locateIssues(std::string_view Text, const google::protobuf::Message &Prototype,
                  std::vector<document_issue> &Issues);

} // namespace yuccaplank::wire
