// Base64, in which the platform's store keeps values.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace yuccaplank::platform {

std::string encodeBase64(std::string_view Bytes);
/// Nothing for text that is not base64 with padding.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace yuccaplank::platform
