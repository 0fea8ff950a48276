// Writes protobuf messages as JSON that readDocument() can read back.
#pragma once

#include <google/protobuf/message.h>

#include <cstdint>
#include <string>

namespace yuccaplank::wire {

enum class json_layout : std::uint8_t { Compact, Pretty };

/// Returns the JSON text of a message. Unset fields are omitted, and so are fields without presence tracking
/// that hold their default. Invalid UTF-8 in strings is replaced by replacement characters.
std::string writeDocument(const google::protobuf::Message &Message,
                          json_layout Layout = json_layout::Compact);

} // namespace yuccaplank::wire
