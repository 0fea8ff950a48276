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

// Chooses a server by examining all of them, as a reference for the index.
std::optional<std::string> chooseByScan(const std::vector<listed_server> &Servers,
                                        const schema::task_size &Size, double MaxSlowness,
                                        const std::string &Excluded) {
  using rank = std::tuple<bool, int, std::int64_t, std::string>;
  std::optional<rank> Best;
  for (const listed_server &Server : Servers) {
    const pool_index::entry &Entry = Server.Entry;
    if (!Entry.AcceptsTasks || !Entry.Free.fits(Size) || Server.Id == Excluded)
      continue;
    rank Rank{Entry.Slowness > MaxSlowness, static_cast<int>(std::floor(Entry.Slowness / Step)),
              Entry.Free.Cpu, Server.Id};
    if (!Best || Rank < *Best)
      Best = Rank;
  }
  return Best ? std::optional(std::get<3>(*Best)) : std::nullopt;
}

// Guards against an index that loses a server, keeps an outdated entry of a changed one, or chooses another
// server than a scan of all servers would.
const test_case Choices("pool index: chooses the same server as a scan of all servers", [] {
  runtime::random Random(7);
  pool_index Index(Step);
  std::vector<listed_server> Servers(40);
  for (std::size_t Server = 0; Server < Servers.size(); ++Server)
    Servers[Server].Id = fmt::format("s{:02}", Server);
  for (int Round = 0; Round < 20'000; ++Round) {
    listed_server &Changed = Servers[Random.next() % Servers.size()];
    Changed.Entry.Capacity = {64'000, 1000, 0};
    Changed.Entry.Free = {static_cast<std::int64_t>(Random.next() % 65) * 1000,
                          static_cast<std::int64_t>(Random.next() % 1000), 0};
    Changed.Entry.Slowness = static_cast<double>(Random.next() % 100) / 50 - 1;
    Changed.Entry.AcceptsTasks = Random.uniform() < 0.9;
    Index.set(Changed.Id, Changed.Entry);
    schema::task_size Size;
    Size.set_cpu(static_cast<std::uint32_t>(Random.next() % 40'000));
    Size.set_memory_mb(static_cast<std::uint32_t>(Random.next() % 500));
    double MaxSlowness = static_cast<double>(Random.next() % 100) / 50 - 1;
    const std::string &Excluded = Servers[Random.next() % Servers.size()].Id;
    auto Choice =
        Index.chooseServer(Size, MaxSlowness, [&](const std::string &Id) { return Id == Excluded; });
    auto Expected = chooseByScan(Servers, Size, MaxSlowness, Excluded);
    CPPUNIT_ASSERT_EQUAL(Expected.value_or("none"), Choice.Id ? *Choice.Id : "none");
  }
});

// Guards against refusing a job as too large although a server is large enough, and against jobs that wait
// for a size or speed that no server has.
const test_case Sizes("pool index: knows the largest capacity and the fastest server", [] {
  pool_index Index(Step);
  schema::task_size Size;
  Size.set_cpu(80'000);
  CPPUNIT_ASSERT(Index.empty());
  Index.set("small", {{0, 0, 0}, {64'000, 100, 0}, 0.5, true});
  CPPUNIT_ASSERT(Index.fitOf(Size) == pool_index::fit::TooLarge);
  Index.set("large", {{0, 0, 0}, {96'000, 100, 0}, -0.5, false});
  CPPUNIT_ASSERT(Index.fitOf(Size) == pool_index::fit::Fits);
  CPPUNIT_ASSERT(!Index.anyServerFastEnough(0));
  CPPUNIT_ASSERT(Index.anyServerFastEnough(0.5));
  Index.set("large", {{0, 0, 0}, {96'000, 100, 0}, -0.5, false, true});
  CPPUNIT_ASSERT(Index.fitOf(Size) == pool_index::fit::OnlyEvacuated);
  Index.erase("large");
  CPPUNIT_ASSERT(Index.fitOf(Size) == pool_index::fit::TooLarge);
});

// Guards against a view of a rack that includes servers of another one or outdated entries.
const test_case Racks("pool index: views of racks", [] {
  pool_index Index(Step);
  schema::task_size Size;
  Size.set_cpu(10);
  auto None = [](const std::string &) { return false; };
  auto Set = [&](const std::string &Id, const std::string &Rack, std::int64_t Free, double Slowness = 0,
                 bool Accepts = true) {
    Index.set(Id, {{Free, 0, 0}, {100, 0, 0}, Slowness, Accepts, false, Rack});
  };
  Set("s1", "a", 5);
  Set("s2", "a", 20, 0.5);
  Set("s3", "b", 100);
  auto View = Index.viewRack("a", Size, 1, None);
  CPPUNIT_ASSERT(View.Usable && View.Free.FastEnough);
  CPPUNIT_ASSERT_EQUAL(std::string("s2"), *View.Free.Id);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, View.MeanSlowness, 0.001);
  CPPUNIT_ASSERT_EQUAL(std::string("a"), Index.findRackWithRoom(Size, 2));
  CPPUNIT_ASSERT_EQUAL(std::string("b"), Index.findRackWithRoom(Size, 3));
  Set("s2", "b", 20);
  CPPUNIT_ASSERT(!Index.viewRack("a", Size, 1, None).Free.Id);
  Set("s1", "a", 5, 0, false);
  CPPUNIT_ASSERT(!Index.viewRack("a", Size, 1, None).Usable);
  Index.erase("s1");
  CPPUNIT_ASSERT(!Index.viewRack("a", Size, 1, None).Usable);
});

} // namespace
