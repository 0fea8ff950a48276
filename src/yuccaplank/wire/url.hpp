// Percent-encoding and query strings of URLs (RFC 3986).
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccaplank::wire {

/// Percent-encodes everything but unreserved characters and those in AlsoPlain.
std::string percentEncode(std::string_view Text, std::string_view SafeCharacters = {});

/// Decodes "%XX"; malformed sequences stay as they are. PlusIsSpace also decodes '+', as in query strings.
std::string percentDecode(std::string_view Text, bool PlusIsSpace);

/// Decoded names and values of "a=1&b=2", in order; a name without '=' has an empty value.
std::vector<std::pair<std::string, std::string>> parseQuery(std::string_view Text);

} // namespace yuccaplank::wire
