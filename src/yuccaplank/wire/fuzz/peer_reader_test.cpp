#include "peer_reader.hpp"
#include "yuccaplank/runtime/random.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace yuccaplank;
using yuccaplank::testing::section;
using yuccaplank::testing::test_case;

namespace {

constexpr std::uint64_t Seed = 20'260'401;
constexpr int MutationsPerInput = 3'000;
constexpr int MaxChangesPerMutation = 4;
constexpr std::size_t MaxInputBytes = 4'096;

std::vector<std::string> readCorpus() {
  std::vector<std::filesystem::path> Paths;
  for (const auto &Entry : std::filesystem::directory_iterator(YUCCAPLANK_SOURCE_DIR "/fuzz/peer"))
    Paths.push_back(Entry.path());
  std::ranges::sort(Paths);
  std::vector<std::string> Inputs;
  for (const auto &Path : Paths) {
    std::ifstream File(Path, std::ios::binary);
    Inputs.emplace_back(std::istreambuf_iterator<char>(File), std::istreambuf_iterator<char>());
  }
  return Inputs;
}

std::string toHex(const std::string &Bytes) {
  std::string Text;
  for (char Byte : Bytes) {
    Text += "0123456789abcdef"[static_cast<unsigned char>(Byte) >> 4U];
    Text += "0123456789abcdef"[static_cast<unsigned char>(Byte) & 15U];
  }
  return Text;
}

void assertRulesKept(const std::string &Input) {
  int Result = wire::fuzzPeerReader(reinterpret_cast<const std::uint8_t *>(Input.data()), Input.size());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(toHex(Input), 0, Result);
}

class mutator {
public:
  explicit mutator(std::vector<std::string> Corpus) : Corpus(std::move(Corpus)), Random(Seed) {}

  std::string mutate(std::string Text) {
    for (std::size_t Change = 0; Change <= randomBelow(MaxChangesPerMutation); ++Change)
      mutateOnce(Text);
    Text.resize(std::min(Text.size(), MaxInputBytes));
    return Text;
  }

private:
  std::size_t randomBelow(std::size_t Limit) { return Limit == 0 ? 0 : Random.next() % Limit; }

  void mutateOnce(std::string &Text) {
    std::size_t Position = randomBelow(Text.size());
    switch (randomBelow(6)) {
    case 0:
      if (!Text.empty())
        Text[Position] = static_cast<char>(Random.next());
      break;
    case 1:
      if (!Text.empty())
        Text[Position] =
            static_cast<char>(static_cast<unsigned char>(Text[Position]) ^ (1U << randomBelow(8)));
      break;
    case 2:
      Text.insert(Position, 1, static_cast<char>(Random.next()));
      break;
    case 3:
      Text.erase(Position, randomBelow(8));
      break;
    case 4:
      Text.resize(Position);
      break;
    default: {
      const std::string &Other = Corpus[randomBelow(Corpus.size())];
      Text.insert(Position, Other, randomBelow(Other.size()), randomBelow(64));
      break;
    }
    }
  }

  std::vector<std::string> Corpus;
  runtime::random Random;
};

// Guards against bytes from a peer that crash the reader or bypass authentication.
const test_case PeerReader("fuzz: peer protocol on the corpus and its mutations", [] {
  auto Corpus = readCorpus();
  CPPUNIT_ASSERT(Corpus.size() >= 10);
  if (auto Given = section("given the corpus"))
    for (const std::string &Input : Corpus)
      assertRulesKept(Input);
  if (auto Given = section("given mutations of the corpus")) {
    mutator Mutator(Corpus);
    for (const std::string &Input : Corpus)
      for (int Index = 0; Index < MutationsPerInput; ++Index)
        assertRulesKept(Mutator.mutate(Input));
  }
});

} // namespace
