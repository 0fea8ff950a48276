#include "base64.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <cstdint>

namespace yuccaplank::platform {
namespace {

constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupCharacters = 4;

const unsigned char *bytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}
unsigned char *bytes(std::string &Text) { return reinterpret_cast<unsigned char *>(Text.data()); }

} // namespace

std::string encodeBase64(std::string_view Bytes) {
  // EVP_EncodeBlock also writes a terminating zero.
  std::string Text((Bytes.size() + GroupBytes - 1) / GroupBytes * GroupCharacters + 1, '\0');
  int Length = EVP_EncodeBlock(bytes(Text), bytes(Bytes), static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.size() % GroupCharacters != 0)
    return std::nullopt;
  std::string Result(Text.size() / GroupCharacters * GroupBytes, '\0');
  int Length = EVP_DecodeBlock(bytes(Result), bytes(Text), static_cast<int>(Text.size()));
  if (Length < 0)
    return std::nullopt;
  // EVP_DecodeBlock counts the padding as zero bytes.
  auto Padding = static_cast<std::size_t>(
      std::count(Text.end() - std::min<std::ptrdiff_t>(2, std::ssize(Text)), Text.end(), '='));
  Result.resize(static_cast<std::size_t>(Length) - Padding);
  return Result;
}

} // namespace yuccaplank::platform
