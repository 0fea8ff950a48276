#include "yuccaplank/testing/corpus.hpp"
#include "yuccaplank/testing/test_case.hpp"
#include "yuccaplank/wire/fuzz/fuzz_targets.hpp"

using namespace yuccaplank;
using testing::fuzzCorpus;
using testing::section;
using testing::test_case;

namespace {

// Guards against documents that crash a reader, and against accepted documents that change when they are
// written and read again.
const test_case Fuzz("fuzz: document readers on the corpora and their mutations", [] {
  if (auto When = section("with settings documents"))
    fuzzCorpus("settings", wire::fuzzSettings);
  if (auto When = section("with job documents"))
    fuzzCorpus("job", wire::fuzzJob);
});

} // namespace
