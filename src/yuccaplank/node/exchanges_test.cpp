#include "exchanges.hpp"
#include "yuccaplank/testing/story.hpp"

#include <cppunit/TestAssert.h>

#include <optional>
#include <vector>

using namespace std::chrono_literals;
using namespace yuccaplank;
using node::exchange_failure;
using yuccaplank::testing::section;
using yuccaplank::testing::story;

namespace {

schema::incarnation makeIncarnation(const std::string &Vm, std::uint32_t Nonce = 1) {
  schema::incarnation Value;
  Value.set_vm(Vm);
  Value.set_started_ms(1000);
  Value.set_nonce(Nonce);
  return Value;
}

// One exchange and how it ended.
struct request {
  request(node::exchanges &Exchanges, const schema::incarnation &Peer)
      : Number(Exchanges.open(
            Peer, 1s, [this](const schema::envelope &) { ++Answers; },
            [this](exchange_failure Failure) { Failures.push_back(Failure); })) {}
  request(const request &) = delete;
  request &operator=(const request &) = delete;
  void assertPending() const { assertEnds(0, {}); }
  void assertAnswered() const { assertEnds(1, {}); }
  void assertFailed(exchange_failure Failure) const { assertEnds(0, {Failure}); }
  void assertEnds(int Expected, const std::vector<exchange_failure> &ExpectedFailures) const {
    CPPUNIT_ASSERT(Answers == Expected && Failures == ExpectedFailures);
  }

  int Answers = 0;
  std::vector<exchange_failure> Failures;
  std::uint64_t Number;
};

// Guards against an answer that reaches another request, against two ends of one request, and against a
// request that is taken for not delivered although the peer may have it and run the job.
const story Ends("exchanges: ends", [] {
  auto Executor = runtime::makeManualExecutor();
  node::exchanges Exchanges(*Executor);
  auto Peer = makeIncarnation("vm2");
  request First(Exchanges, Peer);
  request Other(Exchanges, makeIncarnation("vm3"));
  if (auto When = section("when the peer answers twice and the time passes")) {
    Exchanges.answer(Peer, First.Number, {});
    Exchanges.answer(Peer, First.Number, {});
    Exchanges.failPeer(Peer);
    Other.assertPending();
    Executor->advance(2s);
    First.assertAnswered();
    Other.assertFailed(exchange_failure::TimedOut);
  }
  if (auto When = section("when another peer or a later run of the peer answers")) {
    Exchanges.answer(makeIncarnation("vm3"), First.Number, {});
    Exchanges.answer(makeIncarnation("vm2", 2), First.Number, {});
    Exchanges.answer(Peer, 999, {});
    First.assertPending();
    Exchanges.answer(Peer, First.Number, {});
    First.assertAnswered();
  }
  if (auto When = section("when no answer comes in time")) {
    Executor->advance(999ms);
    First.assertPending();
    Executor->advance(1ms);
    First.assertFailed(exchange_failure::TimedOut);
    Exchanges.answer(Peer, First.Number, {});
    First.assertFailed(exchange_failure::TimedOut);
  }
  if (auto When = section("when the peer is lost")) {
    Exchanges.failPeer(makeIncarnation("vm2", 2));
    First.assertPending();
    Exchanges.failPeer(Peer);
    First.assertFailed(exchange_failure::PeerLost);
    Other.assertPending();
  }
  if (auto When = section("when the connect fails")) {
    Exchanges.connectFailed("vm2");
    First.assertFailed(exchange_failure::NotDelivered);
    Other.assertPending();
  }
  if (auto When = section("when there was a connection before the connect that fails")) {
    Exchanges.connected("vm2");
    request Sent(Exchanges, Peer);
    Exchanges.disconnected("vm2");
    request Unsent(Exchanges, Peer);
    Exchanges.connectFailed("vm2");
    // Sent on the connection, or waiting when it came up: the peer may have them.
    Sent.assertPending();
    First.assertPending();
    Unsent.assertFailed(exchange_failure::NotDelivered);
    Exchanges.failPeer(Peer);
    Sent.assertFailed(exchange_failure::PeerLost);
  }
  if (auto When = section("when a connection ended without a message, perhaps to a later run of the VM")) {
    Exchanges.disconnected("vm2");
    Exchanges.connectFailed("vm2");
    First.assertPending();
  }
  if (auto When = section("when it is dropped")) {
    Exchanges.drop(First.Number);
    Exchanges.answer(Peer, First.Number, {});
    Exchanges.failPeer(Peer);
    Executor->advance(2s);
    First.assertPending();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Exchanges.size());
  }
  if (auto When = section("when a handler makes the next request to the lost peer")) {
    std::optional<request> Next;
    Exchanges.open(
        makeIncarnation("vm4"), 1s, [](const auto &) {},
        [&](exchange_failure) { Next.emplace(Exchanges, makeIncarnation("vm4")); });
    Exchanges.failPeer(makeIncarnation("vm4"));
    CPPUNIT_ASSERT(Next.has_value());
    Next->assertPending();
  }
});

} // namespace
