// JSON value of a protobuf message, and string helpers of the codecs.
#pragma once

#include <google/protobuf/message.h>
#include <nlohmann/json.hpp>

#include <string>

namespace yuccaplank::wire {

/// Fields keep the order of the schema.
nlohmann::ordered_json messageToJson(const google::protobuf::Message &Message);

/// Whether Text can be a JSON string.
bool isUtf8(const std::string &Text);

} // namespace yuccaplank::wire
