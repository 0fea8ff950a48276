#include "decoders.hpp"
#include "yuccaplank/testing/corpus.hpp"
#include "yuccaplank/testing/test_case.hpp"

using namespace yuccaplank;
using testing::test_case;

namespace {

// Guards against documents and replies that crash the decoders, or that are accepted although the decoded
// value violates an invariant.
const test_case Fuzz("fuzz: decoders of platform documents and replies",
                     [] { testing::fuzzCorpus("platform", platform::fuzzDecoders); });

} // namespace
