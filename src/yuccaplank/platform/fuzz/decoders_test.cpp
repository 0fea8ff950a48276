#include "decoders.hpp"
#include "yuccaplank/testing/corpus.hpp"
#include "yuccaplank/testing/test_case.hpp"

using namespace yuccaplank;
using testing::test_case;

namespace {

// Guards against documents and replies that crash the adapter, or that are accepted and say something else.
const test_case Fuzz("fuzz: platform documents and replies",
                     [] { testing::fuzzCorpus("platform", platform::fuzzDecoders); });

} // namespace
