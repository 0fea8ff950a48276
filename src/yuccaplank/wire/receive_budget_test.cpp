#include "yuccaplank/testing/sockets.hpp"
#include "yuccaplank/testing/test_case.hpp"
#include "yuccaplank/wire/http_server.hpp"
#include "yuccaplank/wire/receive_budget.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <algorithm>

using namespace std::chrono_literals;
using namespace yuccaplank::testing;
using namespace yuccaplank::wire;
using yuccaplank::runtime::time_point;

namespace {

unfinished_request makeRequest(std::uint64_t Id, std::size_t Bytes, time_point Since) {
  unfinished_request Request;
  Request.Bytes = Bytes;
  Request.Since = Since;
  Request.Connection = Id;
  return Request;
}

// Returns "ID:REASON" of the refused requests, in the order of refusal.
std::string refused(std::vector<unfinished_request> Requests) {
  receive_limits Limits;
  Limits.MaxBytes = 1000;
  Limits.MaxTime = 10s;
  chooseRefused(Requests, Limits, time_point(20s));
  std::string Text;
  for (const unfinished_request &Request : Requests)
    if (Request.Refusal != receive_refusal::None)
      Text += fmt::format("{}:{} ", Request.Connection, Request.Refusal == receive_refusal::Time ? 't' : 'm');
  return Text;
}

// Load: a crowd of large bodies, or of bodies that never end, beside ordinary requests. Guards against
// ordinary requests that are refused in place of those that take the memory.
const test_case Choice("receive budget: choice of the requests that are refused", [] {
  time_point Old(15s);
  time_point New(19s);
  if (auto When = section("at the limits, none"))
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         refused({makeRequest(1, 500, time_point(10s)), makeRequest(2, 500, New)}));
  if (auto When = section("over the limit of bytes, the largest ones until the rest fits"))
    CPPUNIT_ASSERT_EQUAL(std::string("2:m 4:m "), refused({makeRequest(1, 100, Old), makeRequest(2, 900, New),
                                                           makeRequest(3, 450, New), makeRequest(4, 400, Old),
                                                           makeRequest(5, 160, Old)}));
  if (auto When = section("of about equal sizes, the oldest one"))
    CPPUNIT_ASSERT_EQUAL(std::string("2:m "), refused({makeRequest(1, 510, New), makeRequest(2, 500, Old)}));
  if (auto When = section("one that has taken too long is refused and leaves its bytes to others"))
    CPPUNIT_ASSERT_EQUAL(std::string("1:t "),
                         refused({makeRequest(1, 900, time_point(9s)), makeRequest(2, 900, New)}));
});

struct budget_fixture {
  budget_fixture() {
    receive_limits Limits;
    Limits.MaxBytes = 100'000;
    Limits.MaxTime = 400ms;
    Budget = makeReceiveBudget(*Loop, Limits);
    Options.Address = std::string("127.0.0.1:0");
    Options.Budget = Budget;
    Options.Http2 = false;
    Options.MaxConnections = 4;
    Options.ReplaceIdleConnections = true;
    http_server_handlers Handlers;
    Handlers.OnRequest = [this](const http_request &Request) {
      ++Delivered;
      http_reply Reply;
      Reply.Body = std::to_string(std::ranges::count(Request.Body, 'x'));
      Loop->after(50ms, [this, Token = Request.Token, Reply] { Server->reply(Token, Reply); });
    };
    auto Created = makeHttpServer(*Loop, Options, std::move(Handlers));
    CPPUNIT_ASSERT(Created.has_value());
    Server = std::move(Created.value());
  }
  budget_fixture(const budget_fixture &) = delete;
  budget_fixture &operator=(const budget_fixture &) = delete;
  ~budget_fixture() {
    Server.reset();
    runFor(*Loop, 20ms);
  }
  raw_socket send(std::size_t Announced, std::size_t Sent) const {
    raw_socket Socket = connectTo(Server->port());
    Socket.send(fmt::format("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n\r\n{}", Announced,
                            std::string(Sent, 'x')));
    return Socket;
  }

  std::unique_ptr<yuccaplank::runtime::loop> Loop = yuccaplank::runtime::makeLoop();
  http_server_options Options;
  std::shared_ptr<receive_budget> Budget;
  std::unique_ptr<http_server> Server;
  int Delivered = 0;
};

// Guards against a server whose limits are chosen rightly but without effect on its connections.
const test_case Servers("receive budget: connections of a server", [] {
  budget_fixture Fixture;
  if (auto When = section("over the limit of bytes, the older body is refused and the newer one is served")) {
    raw_socket First = Fixture.send(80'001, 80'000);
    runFor(*Fixture.Loop, 50ms);
    raw_socket Second = Fixture.send(80'001, 80'000);
    runFor(*Fixture.Loop, 50ms);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), First.receiveMessage().substr(0, 12));
    Second.send("x");
    runFor(*Fixture.Loop, 150ms);
    CPPUNIT_ASSERT(Second.receiveMessage().ends_with("\r\n\r\n80001"));
    CPPUNIT_ASSERT_EQUAL(1, Fixture.Delivered);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Fixture.Budget->counts().RefusedForMemory);
  }
  if (auto When = section("a body that takes too long is refused")) {
    raw_socket Slow = Fixture.send(1000, 10);
    runFor(*Fixture.Loop, 600ms);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 408"), Slow.receiveMessage().substr(0, 12));
    CPPUNIT_ASSERT_EQUAL(0, Fixture.Delivered);
  }
  if (auto When = section("a connection that is idle for longer stays open")) {
    raw_socket Idle = connectTo(Fixture.Server->port());
    runFor(*Fixture.Loop, 600ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Fixture.Server->connections());
  }
  if (auto When = section("at the limit of connections, a new one takes the place of the longest idle one")) {
    std::vector<raw_socket> Idle;
    Idle.reserve(4);
    for (int Count = 0; Count < 4; ++Count)
      Idle.push_back(connectTo(Fixture.Server->port()));
    runFor(*Fixture.Loop, 20ms);
    raw_socket Ordinary = Fixture.send(1, 1);
    runFor(*Fixture.Loop, 200ms);
    CPPUNIT_ASSERT(Ordinary.receiveMessage().ends_with("\r\n\r\n1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Fixture.Server->connections());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Fixture.Server->counts().ConnectionsReplaced);
  }
  if (auto When = section("HTTP/2, whose bodies the limit does not include, is not served")) {
    raw_socket Client = connectTo(Fixture.Server->port());
    Client.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    runFor(*Fixture.Loop, 200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Fixture.Server->connections());
  }
});

} // namespace
