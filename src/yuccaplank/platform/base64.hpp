// Base64, the encoding of values in the platform's store.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace yuccaplank::platform {

std::string encodeBase64(std::string_view Bytes);
/// Returns nullopt for a text that is not base64 with padding.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace yuccaplank::platform
