#include "yuccaplank/testing/sockets.hpp"
#include "yuccaplank/testing/test_case.hpp"
#include "yuccaplank/wire/http_server.hpp"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <sys/socket.h>

#include <array>
#include <future>

using namespace std::chrono_literals;
using namespace yuccaplank::testing;
using namespace yuccaplank::wire;

namespace {

constexpr std::string_view Get = "GET /a%20b?x=1&y=%2F+z&flag HTTP/1.1\r\nhost: h\r\nX-One: 1\r\n\r\n";

struct server_fixture {
  explicit server_fixture(http_server_options Options = {}) {
    Options.Address = std::string("127.0.0.1:0");
    http_server_handlers Handlers;
    Handlers.OnRequest = [this](http_request Request) {
      Requests.push_back(std::move(Request));
      if (AnswerAtOnce)
        Server->reply(Requests.back().Token, ok());
    };
    Handlers.OnClosed = [this](request_token Token) { Closed.push_back(Token); };
    auto NewServer = makeHttpServer(*Loop, std::move(Options), std::move(Handlers));
    CPPUNIT_ASSERT(NewServer.has_value());
    Server = std::move(NewServer.value());
  }
  server_fixture(const server_fixture &) = delete;
  server_fixture &operator=(const server_fixture &) = delete;

  static http_reply ok() {
    http_reply Reply;
    Reply.Body = std::string("{}");
    Reply.Headers.push_back({std::string("Retry-After"), std::string("3")});
    return Reply;
  }
  /// Runs a blocking client in another thread while the loop runs.
  template <typename Function> auto runInThread(Function Client) {
    auto Result = std::async(std::launch::async, std::move(Client));
    runUntil(*Loop, [&] { return Result.wait_for(0s) == std::future_status::ready; });
    return Result.get();
  }
  /// Connects and sends a request, without reading the reply.
  raw_socket request(std::string_view Text = Get) const {
    raw_socket Socket = connectTo(Server->port());
    std::size_t Before = Requests.size();
    Socket.send(Text);
    runUntil(*Loop, [&] { return Requests.size() > Before; });
    return Socket;
  }
  std::string exchange(std::string_view Text) {
    return runInThread([&] {
      raw_socket Socket = connectTo(Server->port());
      Socket.send(Text);
      return Socket.receiveMessage();
    });
  }

  std::unique_ptr<yuccaplank::runtime::loop> Loop = yuccaplank::runtime::makeLoop();
  std::unique_ptr<http_server> Server;
  std::vector<http_request> Requests;
  std::vector<request_token> Closed;
  bool AnswerAtOnce = false;
};

bool contains(std::string_view Text, std::string_view Part) {
  return Text.find(Part) != std::string_view::npos;
}

void assertStatus(int Status, std::string_view Reply) {
  CPPUNIT_ASSERT_EQUAL(fmt::format("HTTP/1.1 {}", Status), std::string(Reply.substr(0, 12)));
}

// Guards against requests and replies that are altered on the way, and against replies that only work from
// within the request handler.
const test_case Exchange("http server: exchange", [] {
  server_fixture Fixture;
  raw_socket Client = Fixture.request();
  if (auto When = section("when a request arrives")) {
    const http_request &Request = Fixture.Requests[0];
    CPPUNIT_ASSERT_EQUAL(std::string("GET"), Request.Method);
    CPPUNIT_ASSERT_EQUAL(std::string("/a b"), Request.Path);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), std::string(Request.query("x")));
    CPPUNIT_ASSERT_EQUAL(std::string("/ z"), std::string(Request.query("y")));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), std::string(Request.header("x-one")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Fixture.Server->pendingRequests());
  }
  if (auto When = section("when the reply is sent after the handler has returned")) {
    runFor(*Fixture.Loop, 50ms);
    Fixture.Server->reply(Fixture.Requests[0].Token, server_fixture::ok());
    std::string Reply = Fixture.runInThread([&] { return Client.receiveMessage(); });
    assertStatus(200, Reply);
    CPPUNIT_ASSERT(contains(Reply, "retry-after: 3\r\n") && Reply.ends_with("\r\n\r\n{}"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Fixture.Server->pendingRequests());
    CPPUNIT_ASSERT(Fixture.Closed.empty());
  }
  if (auto When = section("when the connection is reused")) {
    Fixture.AnswerAtOnce = true;
    Fixture.Server->reply(Fixture.Requests[0].Token, server_fixture::ok());
    std::string Second = Fixture.runInThread([&] {
      static_cast<void>(Client.receiveMessage());
      Client.send("POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc");
      return Client.receiveMessage();
    });
    assertStatus(200, Second);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), Fixture.Requests[1].Body);
  }
  if (auto When = section("when the connection is closed without a reply")) {
    Fixture.Server->closeWithoutReply(Fixture.Requests[0].Token);
    CPPUNIT_ASSERT_EQUAL(std::string(), Fixture.runInThread([&] { return Client.receiveMessage(); }));
    CPPUNIT_ASSERT(Fixture.Closed.empty());
  }
});

// Guards against missed disconnects, which leave work running for callers that are gone, and against replies
// to requests that h2o has freed.
const test_case DisconnectedCallers("http server: disconnected callers", [] {
  server_fixture Fixture;
  raw_socket Client = Fixture.request();
  request_token Token = Fixture.Requests[0].Token;
  if (auto When = section("when the caller closes the connection")) {
    Client.close();
    runUntil(*Fixture.Loop, [&] { return !Fixture.Closed.empty(); });
    CPPUNIT_ASSERT_EQUAL(Token, Fixture.Closed[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Fixture.Server->pendingRequests());
    Fixture.Server->reply(Token, server_fixture::ok());
    runUntil(*Fixture.Loop, [&] { return Fixture.Server->connections() == 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Fixture.Closed.size());
  }
  if (auto When = section("when the caller closes the connection just before the reply")) {
    Client.close();
    Fixture.Server->reply(Token, server_fixture::ok());
    runUntil(*Fixture.Loop, [&] { return Fixture.Server->connections() == 0; });
    CPPUNIT_ASSERT(Fixture.Closed.empty());
  }
  if (auto When = section("when the server object is destroyed first")) {
    Fixture.Server.reset();
    CPPUNIT_ASSERT(Fixture.runInThread([&] { return Client.closedByPeer(); }));
    CPPUNIT_ASSERT(Fixture.Closed.empty());
  }
});

// Guards against callers that exhaust the connections or the memory.
const test_case Limits("http server: limits", [] {
  http_server_options Options;
  Options.MaxBodyBytes = 100;
  Options.MaxConnections = 2;
  Options.RequestTimeout = 200ms;
  server_fixture Fixture(Options);
  Fixture.AnswerAtOnce = true;
  std::string Body(101, 'x');
  if (auto When = section("when the body size equals the limit")) {
    Body.pop_back();
    assertStatus(200, Fixture.exchange(fmt::format("PUT / HTTP/1.1\r\ncontent-length: 100\r\n\r\n{}", Body)));
  }
  if (auto When = section("when the declared body size exceeds the limit")) {
    std::string Reply =
        Fixture.exchange(fmt::format("PUT / HTTP/1.1\r\ncontent-length: 101\r\n\r\n{}", Body));
    assertStatus(413, Reply);
    CPPUNIT_ASSERT(Fixture.Requests.empty());
  }
  if (auto When = section("when the size of a chunked body equals the limit, however it is divided")) {
    Body.pop_back();
    std::string Bytewise;
    for (char Byte : Body)
      Bytewise += fmt::format("1\r\n{}\r\n", Byte);
    for (const std::string &Chunks : {fmt::format("64\r\n{}\r\n", Body), Bytewise}) {
      std::string Reply = Fixture.exchange(
          fmt::format("PUT / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n{}0\r\n\r\n", Chunks));
      assertStatus(200, Reply);
      CPPUNIT_ASSERT_EQUAL(Body, Fixture.Requests.back().Body);
    }
  }
  if (auto When = section("when the size of a chunked body exceeds the limit")) {
    std::string Reply = Fixture.exchange(
        fmt::format("PUT / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n65\r\n{}\r\n0\r\n\r\n", Body));
    assertStatus(413, Reply);
  }
  if (auto When = section("when the header size exceeds the limit")) {
    // The first size exceeds only the limit of this server, the second one also that of h2o.
    for (std::size_t Bytes : {20'000UL, 500'000UL}) {
      std::string Reply =
          Fixture.exchange(fmt::format("GET / HTTP/1.1\r\nx: {}\r\n\r\n", std::string(Bytes, 'x')));
      CPPUNIT_ASSERT(Reply.empty() || Reply.starts_with("HTTP/1.1 4"));
    }
    CPPUNIT_ASSERT(Fixture.Requests.empty());
  }
  if (auto When = section("when there are too many connections")) {
    raw_socket First = connectTo(Fixture.Server->port());
    raw_socket Second = connectTo(Fixture.Server->port());
    raw_socket Third = connectTo(Fixture.Server->port());
    Second.send(Get);
    assertStatus(200, Fixture.runInThread([&] {
      CPPUNIT_ASSERT(Third.closedByPeer());
      return Second.receiveMessage();
    }));
  }
});

// Guards against callers that keep a connection open forever by sending slowly.
const test_case SlowRequests("http server: slow requests", [] {
  http_server_options Options;
  Options.RequestTimeout = 200ms;
  server_fixture Fixture(Options);
  // Sends one byte of the request every 50 ms. Returns whether the server closes the connection within 3 s.
  auto SendSlowly = [&](std::string_view Head, std::string_view Rest) {
    return Fixture.runInThread([&, Head, Rest] {
      raw_socket Socket = connectTo(Fixture.Server->port());
      Socket.send(Head);
      for (int Count = 0; Count < 60; ++Count) {
        char Byte = 0;
        if (recv(Socket.fd(), &Byte, 1, MSG_DONTWAIT) == 0)
          return true;
        Socket.send(Rest.substr(0, 1));
        std::this_thread::sleep_for(50ms);
      }
      return false;
    });
  };
  if (auto When = section("when nothing is sent"))
    CPPUNIT_ASSERT(SendSlowly("", ""));
  if (auto When = section("when the header is sent slowly"))
    CPPUNIT_ASSERT(SendSlowly("GET / HTTP/1.1\r\nx: ", "x"));
  if (auto When = section("when the body is sent slowly"))
    CPPUNIT_ASSERT(SendSlowly("PUT / HTTP/1.1\r\ncontent-length: 1000\r\n\r\n", "x"));
  if (auto When = section("when the reply takes longer than the request timeout")) {
    raw_socket Client = Fixture.request();
    runFor(*Fixture.Loop, 1s);
    Fixture.Server->reply(Fixture.Requests[0].Token, server_fixture::ok());
    assertStatus(200, Fixture.runInThread([&] { return Client.receiveMessage(); }));
  }
});

// Guards against requests that are carried out although their callers have sent them to another server: those
// read after a pause, and those read from a connection that either side has closed.
const test_case LateRequests("http server: requests that are read late", [] {
  http_server_options Options;
  Options.RequestTimeout = 200ms;
  server_fixture Fixture(Options);
  // Runs the function while the loop is held, and then the loop.
  auto HoldLoop = [&](auto Function) {
    Fixture.Loop->post([&] {
      Function();
      std::this_thread::sleep_for(1200ms);
    });
    runFor(*Fixture.Loop, 1300ms);
  };
  if (auto When = section("when callers have left, only the request of the one that stays is delivered")) {
    std::vector<raw_socket> Clients;
    HoldLoop([&] {
      for (int Count = 0; Count < 80; ++Count) {
        Clients.push_back(connectTo(Fixture.Server->port()));
        Clients.back().send(Get);
        if (Count < 79)
          Clients.back().close();
      }
    });
    runUntil(*Fixture.Loop, [&] { return Fixture.Server->connections() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Fixture.Requests.size());
    CPPUNIT_ASSERT(Fixture.Requests[0].MaxUnreadTime >= 1200ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{79}, Fixture.Server->counts().DroppedCallerLeft);
  }
  if (auto When = section("when the server has closed the connection as idle, the request is dropped")) {
    raw_socket Client = connectTo(Fixture.Server->port());
    runFor(*Fixture.Loop, 50ms);
    HoldLoop([&] { Client.send(Get); });
    CPPUNIT_ASSERT(Fixture.Requests.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Fixture.Server->counts().DroppedOnClosing);
    CPPUNIT_ASSERT(Client.closedByPeer());
  }
  if (auto When = section("when the loop has not paused, the request is not regarded as late")) {
    raw_socket Client = connectTo(Fixture.Server->port());
    runFor(*Fixture.Loop, 150ms);
    Client.send(Get);
    runUntil(*Fixture.Loop, [&] { return !Fixture.Requests.empty(); });
    CPPUNIT_ASSERT(Fixture.Requests[0].MaxUnreadTime < 450ms);
  }
});

// Guards against a shutdown that loses requests in progress or leaves connections open.
const test_case Shutdown("http server: shutdown", [] {
  server_fixture Fixture;
  raw_socket Idle = connectTo(Fixture.Server->port());
  raw_socket Client = Fixture.request();
  Fixture.Server->shutdown();
  if (auto When = section("when a request is in progress")) {
    runFor(*Fixture.Loop, 50ms);
    Fixture.Server->reply(Fixture.Requests[0].Token, server_fixture::ok());
    assertStatus(200, Fixture.runInThread([&] { return Client.receiveMessage(); }));
    CPPUNIT_ASSERT(Fixture.runInThread([&] { return Client.closedByPeer(); }));
  }
  if (auto When = section("when a request arrives on an idle connection, it is answered")) {
    Fixture.AnswerAtOnce = true;
    runFor(*Fixture.Loop, 100ms);
    Idle.send(Get);
    std::string Reply = Fixture.runInThread([&] { return Idle.receiveMessage(); });
    assertStatus(200, Reply);
    CPPUNIT_ASSERT(contains(Reply, "Connection: close\r\n"));
  }
  if (auto When = section("when a connection is idle"))
    CPPUNIT_ASSERT(Fixture.runInThread([&] { return Idle.closedByPeer(); }));
  if (auto When = section("when another server listens on the same port")) {
    http_server_options Options;
    Options.Address = fmt::format("127.0.0.1:{}", Fixture.Server->port());
    auto Second = makeHttpServer(*Fixture.Loop, Options, {});
    CPPUNIT_ASSERT(Second.has_value());
  }
});

// Guards against an event loop and sockets that are never freed, when the loop is destroyed right after a
// server whose connections still have something to write or read.
const test_case Destruction("http server: the loop is destroyed right after the server", [] {
  server_fixture Fixture;
  std::vector<raw_socket> Clients;
  Clients.push_back(Fixture.request());
  Clients.push_back(Fixture.request());
  if (auto When = section("when requests are pending"))
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Fixture.Server->pendingRequests());
  if (auto When = section("when replies have just been sent"))
    for (const http_request &Request : Fixture.Requests)
      Fixture.Server->reply(Request.Token, server_fixture::ok());
  if (auto When = section("when a part of a request has not been read")) {
    Clients.push_back(connectTo(Fixture.Server->port()));
    runUntil(*Fixture.Loop, [&] { return Fixture.Server->connections() == 3; });
    Clients.back().send(Get.substr(0, Get.size() / 2));
  }
  Fixture.Server.reset();
  Fixture.Loop.reset();
  for (const raw_socket &Client : Clients)
    CPPUNIT_ASSERT(Client.closedByPeer());
});

// Returns the client preface, an empty SETTINGS frame, and the HEADERS frame of "GET /" on stream 1.
std::string http2Request() {
  constexpr std::string_view Parts[] = {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
                                        {"\0\0\0\x4\0\0\0\0\0", 9},
                                        {"\0\0\x6\x1\x5\0\0\0\x1", 9},
                                        "\x82\x86\x84\x41\x1h"};
  std::string Text;
  for (std::string_view Part : Parts)
    Text.append(Part);
  return Text;
}

// Returns the payload of the first DATA frame.
std::string http2Body(const raw_socket &Socket) {
  for (;;) {
    std::string Head = Socket.receive(9);
    if (Head.size() < 9)
      return {};
    auto Byte = [&](std::size_t Index) { return static_cast<unsigned char>(Head[Index]); };
    std::string Payload = Socket.receive(Byte(0) * 65536U + Byte(1) * 256U + Byte(2));
    if (Byte(3) == 0)
      return Payload;
  }
}

// Guards against HTTP/2 requests that are not answered, and against missed disconnects of HTTP/2 callers.
const test_case Http2("http server: HTTP/2", [] {
  server_fixture Fixture;
  raw_socket Client = Fixture.request(http2Request());
  CPPUNIT_ASSERT_EQUAL(std::string("/"), Fixture.Requests[0].Path);
  if (auto When = section("when the reply is sent")) {
    Fixture.Server->reply(Fixture.Requests[0].Token, server_fixture::ok());
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), Fixture.runInThread([&] { return http2Body(Client); }));
  }
  if (auto When = section("when the connection closes")) {
    Client.close();
    runUntil(*Fixture.Loop, [&] { return !Fixture.Closed.empty(); });
    CPPUNIT_ASSERT_EQUAL(Fixture.Requests[0].Token, Fixture.Closed[0]);
  }
  if (auto When = section("when the server shuts down")) {
    Fixture.Server->shutdown();
    runFor(*Fixture.Loop, 20ms);
    Fixture.Server->reply(Fixture.Requests[0].Token, server_fixture::ok());
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), Fixture.runInThread([&] { return http2Body(Client); }));
    CPPUNIT_ASSERT(Fixture.runInThread([&] { return Client.closedByPeer(); }));
  }
});

} // namespace
