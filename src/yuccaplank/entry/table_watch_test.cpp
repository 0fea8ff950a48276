#include "table_watch.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <deque>

using namespace yuccaplank;
using namespace yuccaplank::entry;
using platform::store_page;
using platform::store_row;
using runtime::errc;
using runtime::result;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

// A store that holds calls until the test answers them.
struct store final : platform::store_client {
  using handler = std::function<void(result<store_page>)>;
  std::deque<std::pair<std::string, handler>> Reads;
  std::deque<std::pair<std::uint64_t, handler>> Feeds;

  void rows(const std::string &, const std::string &From, handler OnDone) override {
    Reads.emplace_back(From, std::move(OnDone));
  }
  void changes(const std::string &, std::uint64_t After, runtime::duration, handler OnDone) override {
    Feeds.emplace_back(After, std::move(OnDone));
  }
  void put(const std::string &, const std::string &, const std::string &,
           std::function<void(result<std::uint64_t>)>) override {}
  void replace(const std::string &, const std::string &, const std::string &, std::uint64_t,
               std::function<void(result<std::uint64_t>)>) override {}
  void remove(const std::string &, const std::string &, std::uint64_t,
              std::function<void(result<std::uint64_t>)>) override {}

  void answerRead(const result<store_page> &Page) {
    auto Read = std::move(Reads.front());
    Reads.pop_front();
    Read.second(Page);
  }
  void answerFeed(const result<store_page> &Page) {
    auto Feed = std::move(Feeds.front());
    Feeds.pop_front();
    Feed.second(Page);
  }
};

store_page page(std::vector<store_row> Rows, std::uint64_t Version, bool HasMore = false) {
  return {std::move(Rows), Version, HasMore};
}

// Guards against rows that are missed, that reappear after their removal, or that return to an older version,
// when pages are incomplete, calls fail or the store drops its history.
const test_case Watch("table watch: the rows follow the table", [] {
  auto Executor = runtime::makeManualExecutor();
  store Store;
  int Changes = 0;
  auto Watch = makeTableWatch(*Executor, Store, {}, [&] { ++Changes; });
  auto Value = [&](const std::string &Key) {
    auto Found = Watch->rows().find(Key);
    return Found == Watch->rows().end() ? std::string("none") : Found->second.Value;
  };
  if (auto When = section(
          "a table of two pages is read completely, and the feed is polled from the first page's version")) {
    Store.answerRead(page({{"a", "1", 3}}, 10, true));
    CPPUNIT_ASSERT_EQUAL(0, Changes);
    CPPUNIT_ASSERT_EQUAL(std::string("a\x01"), Store.Reads.front().first);
    Store.answerRead(page({{"b", "2", 4}}, 12));
    CPPUNIT_ASSERT_EQUAL(1, Changes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, Store.Feeds.front().first);
  }
  if (auto When = section("given a table that has been read")) {
    Store.answerRead(page({{"a", "1", 3}, {"b", "2", 4}}, 10));
    if (auto Then = section("changes and removals are applied")) {
      Store.answerFeed(page({{"a", "new", 11}, {"b", "", 12, true}}, 12));
      CPPUNIT_ASSERT_EQUAL(std::string("new"), Value("a"));
      CPPUNIT_ASSERT_EQUAL(std::string("none"), Value("b"));
      Executor->advance(milliseconds(20));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, Store.Feeds.front().first);
    }
    if (auto Then =
            section("after a full page, the feed is polled at once from the version of its last row")) {
      std::vector<store_row> Rows;
      for (std::uint64_t Index = 0; Index < platform::MaxPageRows; ++Index)
        Rows.push_back({fmt::format("s{}", Index), "1", 11 + Index});
      Store.answerFeed(page(Rows, 5000));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Store.Feeds.size());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{510}, Store.Feeds.front().first);
    }
    if (auto Then = section("an older version of a row is ignored")) {
      Store.answerFeed(page({{"a", "old", 2}}, 11));
      CPPUNIT_ASSERT_EQUAL(std::string("1"), Value("a"));
    }
    if (auto Then = section(
            "a failed poll is repeated from the same version, and the time of the reconnection is kept")) {
      Store.answerFeed(make_error_code(errc::PlatformUnavailable));
      CPPUNIT_ASSERT(!Watch->lastCallSucceeded());
      CPPUNIT_ASSERT(Store.Feeds.empty());
      Executor->advance(milliseconds(150));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, Store.Feeds.front().first);
      Store.answerFeed(page({}, 10));
      CPPUNIT_ASSERT(Watch->lastCallSucceeded());
      CPPUNIT_ASSERT(Watch->reconnectedAt() == Executor->clock().now());
    }
    if (auto Then = section("when the history is gone, the whole table is read again")) {
      Store.answerFeed(make_error_code(errc::NotFound));
      CPPUNIT_ASSERT_EQUAL(std::string("1"), Value("a"));
      Store.answerRead(page({{"b", "3", 20}}, 21));
      CPPUNIT_ASSERT_EQUAL(std::string("none"), Value("a"));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{21}, Store.Feeds.front().first);
    }
  }
});

} // namespace
