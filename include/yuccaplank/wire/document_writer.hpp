// Writes protobuf messages as JSON that readDocument reads back.
#pragma once

#include <google/protobuf/message.h>

#include <cstdint>
#include <string>

namespace yuccaplank::wire {

enum class json_layout : std::uint8_t { Compact, Pretty };

/// Fields that are unset, or that hold their default without tracking presence, are left out. Strings that
/// are not valid UTF-8 are written with replacement characters.
std::string writeDocument(const google::protobuf::Message &Message,
                          json_layout Layout = json_layout::Compact);

} // namespace yuccaplank::wire
