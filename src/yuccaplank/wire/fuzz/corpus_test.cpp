#include "yuccaplank/testing/corpus.hpp"
#include "yuccaplank/testing/test_case.hpp"
#include "yuccaplank/wire/fuzz/fuzz_targets.hpp"

using namespace yuccaplank;
using testing::fuzzCorpus;
using testing::section;
using testing::test_case;

namespace {

// Guards against documents that crash the readers, or that are accepted and then change.
const test_case Fuzz("fuzz: corpora and mutations", [] {
  if (auto When = section("settings"))
    fuzzCorpus("settings", wire::fuzzSettings);
  if (auto When = section("job"))
    fuzzCorpus("job", wire::fuzzJob);
});

} // namespace
