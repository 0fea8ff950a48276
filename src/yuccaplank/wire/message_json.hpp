// Conversion of protobuf messages to JSON values.
#pragma once

#include <google/protobuf/message.h>
#include <nlohmann/json.hpp>

#include <string>

namespace yuccaplank::wire {

/// Converts a message; its fields keep the order of the schema.
nlohmann::ordered_json messageToJson(const google::protobuf::Message &Message);

/// Returns whether Text is valid UTF-8, as a JSON string has to be.
bool isUtf8(const std::string &Text);

} // namespace yuccaplank::wire
