#include "yuccaplank/wire/url.hpp"

#include "yuccaplank/testing/test_case.hpp"

using namespace yuccaplank;
using testing::section;
using testing::test_case;

namespace {

// Guards against encoded names that change the structure of the path or query they are part of, and against
// lost bytes.
const test_case Encoding("url: percent-encoding", [] {
  std::string AllBytes;
  for (int Byte = 0; Byte < 256; ++Byte)
    AllBytes.push_back(static_cast<char>(Byte));
  if (auto When = section("when every byte is encoded")) {
    std::string Encoded = wire::percentEncode(AllBytes);
    CPPUNIT_ASSERT_EQUAL(std::string::npos, Encoded.find_first_of("/?&=+# "));
    CPPUNIT_ASSERT_EQUAL(AllBytes, wire::percentDecode(Encoded, true));
  }
  if (auto When = section("when additional characters are declared safe"))
    CPPUNIT_ASSERT_EQUAL(std::string("claim/a%2Bb%FF"), wire::percentEncode("claim/a+b\xff", "/"));
  if (auto When = section("when sequences are malformed"))
    CPPUNIT_ASSERT_EQUAL(std::string("%, %4, %zz, A+"), wire::percentDecode("%, %4, %zz, %41+", false));
});

// Guards against values that are assigned to the wrong name.
const test_case Query("url: query parsing", [] {
  auto Parsed = wire::parseQuery("a=1&&b&c=x%26y+z=&=4");
  std::vector<std::pair<std::string, std::string>> Expected{
      {"a", "1"}, {"b", ""}, {"c", "x&y z="}, {"", "4"}};
  CPPUNIT_ASSERT(Expected == Parsed);
});

} // namespace
