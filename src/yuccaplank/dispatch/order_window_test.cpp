#include "order_window.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

using namespace yuccaplank::dispatch;
using yuccaplank::testing::section;
using yuccaplank::testing::test_case;

namespace {

using reply_function = std::function<void(order_reply)>;

// Records orders, which the test answers.
struct recorded_orders final : server_orders {
  std::vector<reply_function> Starts;
  std::vector<std::pair<run_key, std::uint64_t>> StopTokens;
  std::vector<reply_function> Stops;

  void start(const server_target &, start_order, reply_function OnDone) override {
    Starts.push_back(std::move(OnDone));
  }
  void stop(const server_target &, const run_key &Run, std::uint64_t Token, reply_function OnDone) override {
    StopTokens.emplace_back(Run, Token);
    Stops.push_back(std::move(OnDone));
  }
  void hold(const server_target &, const hold_order &, std::function<void(hold_reply)>) override {}
};

struct fixture {
  recorded_orders Sent;
  std::vector<std::string> Freed;
  order_window Window{[this]() -> server_orders & { return Sent; },
                      [this](const std::string &Server) { Freed.push_back(Server); }};
  int Replies = 0;

  void start(const std::string &Server) {
    Window.start({Server, ""}, {}, [](const order_reply &) {});
  }
  void stop(std::uint32_t Index, std::uint64_t Token = 1) {
    Window.stop({"s1", ""}, {{job_id(1), Index}, 1}, Token, [this](const order_reply &) { ++Replies; });
  }
};

// Guards against a burst of starts that takes all descriptors, and against a server that stays full.
const test_case Starts("order window: a server with many starts is full", [] {
  fixture Fixture;
  for (std::size_t Count = 0; Count < order_window::MaxStartsPerServer; ++Count) {
    CPPUNIT_ASSERT(!Fixture.Window.isFull("s1"));
    Fixture.start("s1");
  }
  CPPUNIT_ASSERT(Fixture.Window.isFull("s1"));
  CPPUNIT_ASSERT(!Fixture.Window.isFull("s2"));
  if (auto When = section("until half of them are answered")) {
    for (std::size_t Count = 0; Count < order_window::MaxStartsPerServer / 2; ++Count) {
      CPPUNIT_ASSERT(Fixture.Freed.empty());
      Fixture.Sent.Starts[Count]({});
    }
    CPPUNIT_ASSERT(!Fixture.Window.isFull("s1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Fixture.Freed.size());
  }
  if (auto When = section("and with many starts in total, all servers are")) {
    for (std::size_t Count = order_window::MaxStartsPerServer; Count < order_window::MaxStarts; ++Count)
      Fixture.start(fmt::format("s{}", Count));
    CPPUNIT_ASSERT(Fixture.Window.isFull("another"));
  }
});

// Guards against a wave of stops that takes all descriptors, and against stops that are lost.
const test_case Stops("order window: the stops of a server wait for each other", [] {
  fixture Fixture;
  constexpr std::uint32_t Count = 2 * order_window::MaxStopsPerServer;
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    Fixture.stop(Index);
  CPPUNIT_ASSERT_EQUAL(order_window::MaxStopsPerServer, Fixture.Sent.Stops.size());
  if (auto When = section("each reply sends the next one, and all are answered")) {
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      Fixture.Sent.Stops.at(Index)({});
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(Count), Fixture.Replies);
  }
  if (auto When = section("a repeated stop that waits is sent once, under the latest token")) {
    Fixture.stop(Count - 1, 2);
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      Fixture.Sent.Stops.at(Index)({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{Count}, Fixture.Sent.Stops.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Fixture.Sent.StopTokens.back().second);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(Count) + 1, Fixture.Replies);
  }
});

} // namespace
