// Percent-encoding and query strings of URLs (RFC 3986).
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccaplank::wire {

/// Percent-encodes all characters except unreserved ones and those in SafeCharacters.
std::string percentEncode(std::string_view Text, std::string_view SafeCharacters = {});

/// Decodes "%XX"; malformed sequences are left unchanged. With PlusIsSpace, '+' is decoded to a space, as in
/// query strings.
std::string percentDecode(std::string_view Text, bool PlusIsSpace);

/// Parses "a=1&b=2" into decoded names and values, in order. A name without '=' has an empty value.
std::vector<std::pair<std::string, std::string>> parseQuery(std::string_view Text);

} // namespace yuccaplank::wire
