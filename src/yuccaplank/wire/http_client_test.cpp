#include "yuccaplank/testing/sockets.hpp"
#include "yuccaplank/testing/test_case.hpp"
#include "yuccaplank/wire/http_client.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <map>

using namespace std::chrono_literals;
using namespace yuccaplank::testing;
using namespace yuccaplank::wire;
using yuccaplank::runtime::errc;

namespace {

constexpr std::string_view Answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nX-Kind: Plain\r\n\r\nok";

// Sends the same answer to each request of a connection until the client closes it.
void answerAll(raw_socket &Socket) {
  while (!Socket.receiveMessage().empty())
    Socket.send(Answer);
}

// Reads one request and never answers.
void neverAnswer(raw_socket &Socket) { static_cast<void>(Socket.closedByPeer()); }

struct client_fixture {
  explicit client_fixture(http_client_options Options = {}) : Client(makeHttpClient(*Loop, Options)) {}

  std::unique_ptr<yuccaplank::runtime::loop> Loop = yuccaplank::runtime::makeLoop();
  std::unique_ptr<http_client> Client;
  std::map<int, http_call_result> Results;

  call_id start(int Key, http_call Call) {
    return Client->call(std::move(Call),
                        [this, Key](http_call_result Result) { Results[Key] = std::move(Result); });
  }
  const http_call_result &run(http_call Call) {
    Results.clear();
    start(1, std::move(Call));
    CPPUNIT_ASSERT_MESSAGE("no callback from within call()", Results.empty());
    runUntil(*Loop, [&] { return !Results.empty(); });
    return Results[1];
  }
  void waitFor(std::size_t Count) const {
    runUntil(*Loop, [&] { return Results.size() == Count; });
  }
};

http_call get(const scripted_server &Server) {
  http_call Call;
  Call.Address = Server.address();
  Call.Path = std::string("/");
  return Call;
}

void assertFailed(errc Reason, transfer_stage Stage, const http_call_result &Result) {
  CPPUNIT_ASSERT_EQUAL(std::string(errcName(Reason)), Result.Error.message());
  CPPUNIT_ASSERT_EQUAL(static_cast<int>(Stage), static_cast<int>(Result.Stage));
}

// Guards against requests and replies that are altered on the way.
const test_case Exchange("http client: exchange", [] {
  std::string Seen;
  scripted_server Server({[&](raw_socket &Socket) {
    Seen = Socket.receiveMessage();
    Socket.send(Answer);
    neverAnswer(Socket);
  }});
  client_fixture Fixture;
  http_call Call = get(Server);
  Call.Method = std::string("POST");
  Call.Path = std::string("/a?b=c");
  Call.Headers = {{"x-one", "1"}};
  Call.Body = std::string("a\0b", 3);
  const http_call_result &Result = Fixture.run(Call);
  CPPUNIT_ASSERT(!Result.Error);
  CPPUNIT_ASSERT_EQUAL(200, Result.Status);
  CPPUNIT_ASSERT_EQUAL(std::string("Plain"), std::string(Result.header("x-kind")));
  CPPUNIT_ASSERT_EQUAL(std::string("ok"), Result.Body);
  std::string Expected =
      fmt::format("POST /a?b=c HTTP/1.1\r\nhost: {}\r\ncontent-length: 3\r\nx-one: 1\r\n\r\n{}",
                  Server.address(), Call.Body);
  CPPUNIT_ASSERT_EQUAL(Expected, Seen);
});

// Guards against pooled connections that are not reused.
const test_case Pool("http client: pooled connections", [] {
  http_client_options Options;
  // The timeout must exceed the duration of a section. 200 ms were too short: on a busy machine they expired
  // between the first and the third call.
  Options.IdleTimeout = 10s;
  scripted_server Server({answerAll, answerAll, answerAll, answerAll});
  client_fixture Fixture(Options);
  auto Connections = [&] { return Fixture.Client->connections(Server.address()); };
  if (auto When = section("when calls follow each other")) {
    for (int Count = 0; Count < 3; ++Count)
      CPPUNIT_ASSERT(!Fixture.run(get(Server)).Error);
    CPPUNIT_ASSERT_EQUAL(1, Server.accepted());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Connections());
  }
  if (auto When = section("when a callback makes the next call")) {
    int Left = 5;
    std::function<void(http_call_result)> Next = [&](const http_call_result &) {
      if (--Left > 0)
        Fixture.Client->call(get(Server), Next);
    };
    Fixture.Client->call(get(Server), Next);
    runUntil(*Fixture.Loop, [&] { return Left == 0; });
    CPPUNIT_ASSERT_EQUAL(1, Server.accepted());
  }
  if (auto When = section("when calls overlap")) {
    for (int Key = 0; Key < 3; ++Key)
      Fixture.start(Key, get(Server));
    Fixture.waitFor(3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Connections());
    CPPUNIT_ASSERT_EQUAL(3, Server.accepted());
  }
});

// Guards against connections that are reused after the idle timeout or never closed.
const test_case Idle("http client: idle connections", [] {
  http_client_options Options;
  Options.IdleTimeout = 200ms;
  scripted_server Server({answerAll, answerAll, answerAll, answerAll});
  client_fixture Fixture(Options);
  if (auto When = section("when a connection was idle for longer than the idle timeout")) {
    Fixture.run(get(Server));
    runFor(*Fixture.Loop, 300ms);
    CPPUNIT_ASSERT(!Fixture.run(get(Server)).Error);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the idle connection must not be reused", 2, Server.accepted());
  }
  if (auto When = section("when no further call is made")) {
    Fixture.run(get(Server));
    runUntil(*Fixture.Loop, [&] { return Fixture.Client->connections(Server.address()) == 0; });
  }
});

// Guards against the use of a freed connection pool: pools of unused addresses are freed after some time.
const test_case Retention("http client: calls after a pool was freed", [] {
  http_client_options Options;
  Options.IdleTimeout = 20ms;
  Options.ConnectTimeout = 100ms;
  scripted_server Server({answerAll, answerAll});
  client_fixture Fixture(Options);
  Fixture.run(get(Server));
  // h2o closes idle connections within 1 s. The pool is freed 10 idle timeouts and one connect timeout later.
  runFor(*Fixture.Loop, 2s);
  CPPUNIT_ASSERT(!Fixture.run(get(Server)).Error);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Fixture.Client->connections(Server.address()));
});

// Guards against an event loop that waits for an event although a write of a posted function has already
// completed. Each call then took 100 ms, the maximum wait of the loop.
const test_case Latency("http client: calls from posted functions", [] {
  constexpr int Calls = 200;
  scripted_server Server({answerAll});
  client_fixture Fixture;
  int Done = 0;
  std::function<void()> Next = [&] {
    Fixture.Client->call(get(Server), [&](const http_call_result &) {
      if (++Done < Calls)
        Fixture.Loop->post(Next);
      else
        Fixture.Loop->stop();
    });
  };
  auto Begin = std::chrono::steady_clock::now();
  Fixture.Loop->post(Next);
  Fixture.Loop->run();
  CPPUNIT_ASSERT_EQUAL(Calls, Done);
  CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Begin < Calls * 50ms);
});

// Guards against wrong errors, and against connections that are still counted after their exchange failed.
const test_case Failures("http client: failures", [] {
  scripted_server Server({neverAnswer});
  client_fixture Fixture;
  http_call Call = get(Server);
  if (auto When = section("when the reply does not arrive before the timeout")) {
    Call.Timeout = 50ms;
    assertFailed(errc::RequestTimeout, transfer_stage::MaybeWritten, Fixture.run(Call));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Fixture.Client->connections(Server.address()));
  }
  if (auto When = section("when a header contains a line break")) {
    Call.Headers = {{"x", "1\r\ntask-id: other"}};
    assertFailed(errc::MalformedDocument, transfer_stage::NothingWritten, Fixture.run(Call));
    CPPUNIT_ASSERT_EQUAL(0, Server.accepted());
  }
  if (auto When = section("when the address contains a host name")) {
    Call.Address = std::string("localhost:1");
    assertFailed(errc::MalformedDocument, transfer_stage::NothingWritten, Fixture.run(Call));
  }
  if (auto When = section("when the connection is refused")) {
    std::uint16_t Port = 0;
    listenOn(1, Port).close();
    Call.Address = fmt::format("127.0.0.1:{}", Port);
    assertFailed(errc::ConnectFailed, transfer_stage::NothingWritten, Fixture.run(Call));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Fixture.Client->connections(Call.Address));
  }
  if (auto When = section("when the call is cancelled")) {
    call_id Id = Fixture.start(1, Call);
    runUntil(*Fixture.Loop, [&] { return Server.accepted() == 1; });
    Fixture.Client->cancel(Id);
    runFor(*Fixture.Loop, 20ms);
    CPPUNIT_ASSERT(Fixture.Results.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Fixture.Client->connections(Server.address()));
  }
});

// Guards against replies that exhaust the memory.
const test_case LargeReplies("http client: reply size", [] {
  constexpr std::size_t Limit = 100'000;
  http_client_options Options;
  Options.MaxReplyBytes = Limit;
  auto Reply = [](std::size_t Bytes) {
    return [Bytes](raw_socket &Socket) {
      static_cast<void>(Socket.receiveMessage());
      Socket.send(fmt::format("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", Bytes));
      Socket.send(std::string(Bytes, 'x'));
      neverAnswer(Socket);
    };
  };
  if (auto When = section("when the body size equals the limit")) {
    scripted_server Server({Reply(Limit)});
    client_fixture Fixture(Options);
    CPPUNIT_ASSERT_EQUAL(Limit, Fixture.run(get(Server)).Body.size());
  }
  if (auto When = section("when the body size exceeds the limit")) {
    scripted_server Server({Reply(Limit + 1)});
    client_fixture Fixture(Options);
    assertFailed(errc::BodyTooLarge, transfer_stage::MaybeWritten, Fixture.run(get(Server)));
  }
});

// Guards against the use of a client after one of its callbacks has destroyed it.
const test_case Destruction("http client: destruction in a callback", [] {
  scripted_server Server({answerAll, answerAll});
  client_fixture Fixture;
  int Calls = 0;
  for (int Count = 0; Count < 2; ++Count)
    Fixture.Client->call(get(Server), [&](const http_call_result &) {
      ++Calls;
      Fixture.Client.reset();
    });
  runUntil(*Fixture.Loop, [&] { return !Fixture.Client; });
  runFor(*Fixture.Loop, 20ms);
  CPPUNIT_ASSERT_EQUAL(1, Calls);
});

} // namespace
