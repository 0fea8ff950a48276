#include "decoders.hpp"
#include "yuccaplank/testing/corpus.hpp"
#include "yuccaplank/testing/story.hpp"

using namespace yuccaplank;
using testing::story;

namespace {

// Guards against documents and replies that crash the adapter, or that are accepted and say something else.
const story Fuzz("fuzz: platform documents and replies",
                 [] { testing::fuzzCorpus("platform", platform::fuzzDecoders); });

} // namespace
