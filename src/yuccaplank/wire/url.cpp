#include "yuccaplank/wire/url.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace yuccaplank::wire {
namespace {

int hexDigit(char Character) {
  if (Character >= '0' && Character <= '9')
    return Character - '0';
  Character = static_cast<char>(Character | 0x20);
  return Character >= 'a' && Character <= 'f' ? Character - 'a' + 10 : -1;
}

bool isUnreserved(char Character) {
  return (Character >= 'a' && Character <= 'z') || (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') ||
         std::string_view("-._~").find(Character) != std::string_view::npos;
}

} // namespace

std::string percentEncode(std::string_view Text, std::string_view SafeCharacters) {
  std::string Encoded;
  for (char Character : Text) {
    if (isUnreserved(Character) || SafeCharacters.find(Character) != std::string_view::npos)
      Encoded += Character;
    else
      Encoded += fmt::format("%{:02X}", static_cast<unsigned char>(Character));
  }
  return Encoded;
}

std::string percentDecode(std::string_view Text, bool PlusIsSpace) {
  std::string Decoded;
  Decoded.reserve(Text.size());
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] == '%' && Index + 2 < Text.size()) {
      int High = hexDigit(Text[Index + 1]);
      int Low = hexDigit(Text[Index + 2]);
      if (High >= 0 && Low >= 0) {
        Decoded.push_back(static_cast<char>(High * 16 + Low));
        Index += 2;
        continue;
      }
    }
    Decoded.push_back(PlusIsSpace && Text[Index] == '+' ? ' ' : Text[Index]);
  }
  return Decoded;
}

std::vector<std::pair<std::string, std::string>> parseQuery(std::string_view Text) {
  std::vector<std::pair<std::string, std::string>> Query;
  while (!Text.empty()) {
    std::string_view Part = Text.substr(0, Text.find('&'));
    Text.remove_prefix(std::min(Part.size() + 1, Text.size()));
    if (Part.empty())
      continue;
    std::size_t Equals = Part.find('=');
    std::string_view Value = Equals == std::string_view::npos ? std::string_view() : Part.substr(Equals + 1);
    Query.emplace_back(percentDecode(Part.substr(0, Equals), true), percentDecode(Value, true));
  }
  return Query;
}

} // namespace yuccaplank::wire
