#include "pool_index.hpp"
#include "yuccaplank/runtime/random.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <cmath>
#include <optional>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using testing::test_case;

namespace {

constexpr double Step = 0.15;

struct listed_server {
  std::string Id;
  pool_index::entry Entry;
};

// Looks at every server, as the index must not.
std::optional<std::string> scan(const std::vector<listed_server> &Servers, const schema::task_size &Size,
                                double MaxSlowness, const std::string &Skipped) {
  using rank = std::tuple<bool, int, std::int64_t, std::string>;
  std::optional<rank> Best;
  for (const listed_server &Server : Servers) {
    const pool_index::entry &Entry = Server.Entry;
    if (!Entry.Admits || !Entry.Free.fits(Size) || Server.Id == Skipped)
      continue;
    rank Rank{Entry.Slowness > MaxSlowness, static_cast<int>(std::floor(Entry.Slowness / Step)),
              Entry.Free.Cpu, Server.Id};
    if (!Best || Rank < *Best)
      Best = Rank;
  }
  return Best ? std::optional(std::get<3>(*Best)) : std::nullopt;
}

// Guards against an index that forgets a server, keeps one that has changed, or chooses another than a look
// at all of them would.
const test_case Choices("pool index: the same choices as a look at every server", [] {
  runtime::random Random(7);
  pool_index Index(Step);
  std::vector<listed_server> Servers(40);
  for (std::size_t Server = 0; Server < Servers.size(); ++Server)
    Servers[Server].Id = fmt::format("s{:02}", Server);
  for (int Turn = 0; Turn < 20'000; ++Turn) {
    listed_server &Changed = Servers[Random.next() % Servers.size()];
    Changed.Entry.Capacity = {64'000, 1000, 0};
    Changed.Entry.Free = {static_cast<std::int64_t>(Random.next() % 65) * 1000,
                          static_cast<std::int64_t>(Random.next() % 1000), 0};
    Changed.Entry.Slowness = static_cast<double>(Random.next() % 100) / 50 - 1;
    Changed.Entry.Admits = Random.uniform() < 0.9;
    Index.set(Changed.Id, Changed.Entry);
    schema::task_size Size;
    Size.set_cpu(static_cast<std::uint32_t>(Random.next() % 40'000));
    Size.set_memory_mb(static_cast<std::uint32_t>(Random.next() % 500));
    double MaxSlowness = static_cast<double>(Random.next() % 100) / 50 - 1;
    const std::string &Skipped = Servers[Random.next() % Servers.size()].Id;
    auto Choice = Index.best(Size, MaxSlowness, [&](const std::string &Id) { return Id == Skipped; });
    auto Expected = scan(Servers, Size, MaxSlowness, Skipped);
    CPPUNIT_ASSERT_EQUAL(Expected.value_or("none"), Choice.Id ? *Choice.Id : "none");
  }
});

// Guards against jobs that are refused as too large although a server is large enough, or wait for none.
const test_case Sizes("pool index: sizes and speeds", [] {
  pool_index Index(Step);
  schema::task_size Size;
  Size.set_cpu(80'000);
  CPPUNIT_ASSERT(Index.empty());
  Index.set("small", {{0, 0, 0}, {64'000, 100, 0}, 0.5, true});
  CPPUNIT_ASSERT(!Index.fitsAnywhere(Size));
  Index.set("large", {{0, 0, 0}, {96'000, 100, 0}, -0.5, false});
  CPPUNIT_ASSERT(Index.fitsAnywhere(Size));
  CPPUNIT_ASSERT(!Index.anyWithin(0));
  CPPUNIT_ASSERT(Index.anyWithin(0.5));
  Index.erase("large");
  CPPUNIT_ASSERT(!Index.fitsAnywhere(Size));
});

} // namespace
