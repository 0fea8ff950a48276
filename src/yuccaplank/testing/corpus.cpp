#include "corpus.hpp"

#include <cppunit/TestAssert.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string_view>
#include <vector>

namespace yuccaplank::testing {
namespace {

constexpr int MutationsPerFile = 3000;
constexpr std::uint64_t Seed = 20260;
constexpr std::uint32_t MaxChanges = 4;
constexpr std::uint32_t MaxRange = 40;

// Tokens whose insertion makes a mutation take other paths through the reader.
constexpr auto Tokens = std::to_array<std::string_view>({"{",
                                                         "}",
                                                         "[",
                                                         "]",
                                                         "\"",
                                                         ",",
                                                         ":",
                                                         "null",
                                                         "true",
                                                         "-1",
                                                         "1.5",
                                                         "1e400",
                                                         "18446744073709551616",
                                                         "-0.0",
                                                         "/*",
                                                         "*/",
                                                         "//",
                                                         "\n",
                                                         "\\u0000",
                                                         "\\ud800",
                                                         "\xff",
                                                         "{}",
                                                         "[[",
                                                         "\"vm\":1",
                                                         "\"tasks\":[]"});

std::vector<std::filesystem::path> corpus(const std::string &Name) {
  std::vector<std::filesystem::path> Files;
  for (const auto &Entry :
       std::filesystem::directory_iterator(std::filesystem::path(YUCCAPLANK_SOURCE_DIR) / "fuzz" / Name))
    Files.push_back(Entry.path());
  // The order of directory entries differs between machines, but the mutations must not.
  std::sort(Files.begin(), Files.end());
  return Files;
}

std::string readFile(const std::filesystem::path &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  return {std::istreambuf_iterator<char>(Stream), std::istreambuf_iterator<char>()};
}

void mutateOnce(std::string &Text, pcg32 &Random) {
  auto Position = Random(static_cast<std::uint32_t>(Text.size()) + 1);
  auto Range = Random(MaxRange) + 1;
  switch (Random(4)) {
  case 0:
    if (Position < Text.size())
      Text[Position] = static_cast<char>(Random(256));
    break;
  case 1:
    Text.erase(Position, Range);
    break;
  case 2:
    Text.insert(Position, Text.substr(Random(static_cast<std::uint32_t>(Text.size()) + 1), Range));
    break;
  default:
    Text.insert(Position, Tokens[Random(Tokens.size())]);
  }
}

} // namespace

void fuzzCorpus(const std::string &Name, int (*Target)(const std::uint8_t *, std::size_t)) {
  auto Run = [Target](const std::string &Text) {
    CPPUNIT_ASSERT_EQUAL(0, Target(reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size()));
  };
  auto Files = corpus(Name);
  CPPUNIT_ASSERT(!Files.empty());
  pcg32 Random(Seed);
  for (const auto &File : Files) {
    std::string Original = readFile(File);
    Run(Original);
    for (int Mutation = 0; Mutation < MutationsPerFile; ++Mutation) {
      std::string Text = Original;
      for (auto Changes = Random(MaxChanges) + 1; Changes > 0; --Changes)
        mutateOnce(Text, Random);
      Run(Text);
    }
  }
}

} // namespace yuccaplank::testing
