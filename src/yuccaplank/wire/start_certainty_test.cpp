#include "yuccaplank/testing/sockets.hpp"
#include "yuccaplank/testing/story.hpp"
#include "yuccaplank/wire/start_certainty.hpp"

#include <cppunit/TestAssert.h>

#include <optional>
#include <sys/socket.h>

using namespace std::chrono_literals;
using namespace yuccaplank::testing;
using namespace yuccaplank::wire;
using yuccaplank::runtime::errc;

namespace {

constexpr std::string_view TaskId = "job/t1";
constexpr auto Timeout = 300ms;
// More than socket buffers hold, so that a server that stops reading interrupts the request.
constexpr std::size_t LargeBody = 16U << 20U;

std::string answerText(const std::string &Status, const std::string &Headers,
                       const std::string &Body = "ok") {
  return "HTTP/1.1 " + Status + "\r\ncontent-length: " + std::to_string(Body.size()) + "\r\n" + Headers +
         "\r\n" + Body;
}

std::string goodAnswer() { return answerText("200 OK", "task-id: job/t1\r\n"); }

scripted_server::script answering(std::string Text) {
  return [Text = std::move(Text)](raw_socket &Socket) {
    static_cast<void>(Socket.receiveMessage());
    Socket.send(Text);
    static_cast<void>(Socket.closedByPeer());
  };
}

// Reads the request and sends a beginning of the good answer before it closes.
scripted_server::script cutAfter(std::string Part) {
  return [Part = std::move(Part)](raw_socket &Socket) {
    static_cast<void>(Socket.receiveMessage());
    Socket.send(Part);
  };
}

http_call taskCall(const std::string &Address, std::size_t BodyBytes = 10) {
  http_call Call;
  Call.Method = "POST";
  Call.Address = Address;
  Call.Path = "/task";
  Call.Headers = {{"task-id", std::string(TaskId)}};
  Call.Body = std::string(BodyBytes, 'x');
  Call.Timeout = Timeout;
  return Call;
}

struct attempt_site {
  std::unique_ptr<yuccaplank::runtime::loop> Loop = yuccaplank::runtime::makeLoop();
  std::unique_ptr<http_client> Client = makeHttpClient(*Loop);

  attempt_outcome attempt(const http_call &Call) const {
    std::optional<attempt_outcome> Outcome;
    Client->call(Call, [&](const http_call_result &Result) { Outcome = judgeAttempt(Result, TaskId); });
    runUntil(*Loop, [&] { return Outcome.has_value(); });
    return *Outcome;
  }
};

void assertOutcome(const std::string &Name, attempt_verdict Verdict, errc Reason,
                   const attempt_outcome &Outcome) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, static_cast<int>(Verdict), static_cast<int>(Outcome.Verdict));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, std::string(errcName(Reason)), std::string(errcName(Outcome.Reason)));
}

struct server_case {
  std::string Name;
  scripted_server::script Script;
  attempt_verdict Verdict;
  errc Reason;
  std::size_t BodyBytes = 10;
};

std::vector<server_case> interruptedExchanges() {
  using enum attempt_verdict;
  std::string Good = goodAnswer();
  return {
      {"closes after accept", [](raw_socket &) {}, StartedAndFailed, errc::ConnectionLost},
      {"closes in the request head", [](raw_socket &Socket) { static_cast<void>(Socket.receive(10)); },
       StartedAndFailed, errc::ConnectionLost},
      {"closes in the request body", [](raw_socket &Socket) { static_cast<void>(Socket.receive(100'000)); },
       StartedAndFailed, errc::ConnectionLost, LargeBody},
      {"closes after the request", cutAfter(""), StartedAndFailed, errc::ConnectionLost},
      {"closes in the status line", cutAfter(Good.substr(0, 8)), StartedAndFailed, errc::ConnectionLost},
      {"closes in the answer's head", cutAfter(Good.substr(0, 30)), StartedAndFailed, errc::ConnectionLost},
      {"closes in the answer's body", cutAfter(Good.substr(0, Good.size() - 1)), StartedAndFailed,
       errc::ConnectionLost},
      {"closes in a chunked body",
       cutAfter("HTTP/1.1 200 OK\r\ntask-id: job/t1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n"),
       StartedAndFailed, errc::ConnectionLost},
      {"closes after a body of unknown length", cutAfter("HTTP/1.1 200 OK\r\ntask-id: job/t1\r\n\r\nok"),
       StartedAndFailed, errc::ConnectionLost},
      {"sends two lengths", cutAfter(answerText("200 OK", "task-id: job/t1\r\ncontent-length: 1\r\n")),
       StartedAndFailed, errc::ConnectionLost},
      {"sends no HTTP", cutAfter("nonsense\r\n\r\n"), StartedAndFailed, errc::ConnectionLost},
      {"does not answer", [](raw_socket &Socket) { static_cast<void>(Socket.closedByPeer()); },
       StartedAndFailed, errc::TaskTimeout},
      {"closes after the whole answer", cutAfter(Good), Completed, errc::Ok},
  };
}

std::vector<server_case> completeAnswers() {
  using enum attempt_verdict;
  std::string Id = "task-id: job/t1\r\n";
  std::string Refusal = "task-not-started: 1\r\n";
  return {
      {"good", answering(goodAnswer()), Completed, errc::Ok},
      {"good, chunked",
       answering(
           "HTTP/1.1 200 OK\r\ntask-id: job/t1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
       Completed, errc::Ok},
      {"wrong task id", answering(answerText("200 OK", "task-id: job/t2\r\n")), StartedAndFailed,
       errc::CrossedAnswer},
      {"no task id", answering(answerText("200 OK", "")), StartedAndFailed, errc::CrossedAnswer},
      {"refusal", answering(answerText("503 Busy", Refusal + Id)), NotStarted, errc::NotStarted},
      {"refusal without id", answering(answerText("503 Busy", Refusal)), NotStarted, errc::NotStarted},
      {"refusal of another task", answering(answerText("503 Busy", Refusal + "task-id: job/t2\r\n")),
       StartedAndFailed, errc::ServerError},
      {"refusal with another value", answering(answerText("503 Busy", "task-not-started: 0\r\n")),
       StartedAndFailed, errc::ServerError},
      {"refusal header with another status", answering(answerText("500 Error", Refusal)), StartedAndFailed,
       errc::ServerError},
      {"refusal header on success", answering(answerText("200 OK", Refusal + Id)), Completed, errc::Ok},
      {"503 alone", answering(answerText("503 Busy", Id)), StartedAndFailed, errc::ServerError},
      {"404", answering(answerText("404 Not Found", Id)), StartedAndFailed, errc::ServerError},
      {"202", answering(answerText("202 Accepted", Id)), StartedAndFailed, errc::ServerError},
  };
}

// Guards against a second start of a task whose request may have arrived, wherever the server closes, and
// against a refused start that is taken for a started one.
const story Verdicts("start certainty: verdicts by the server's behaviour", [] {
  auto Check = [](const std::vector<server_case> &Cases) {
    for (const server_case &Case : Cases) {
      scripted_server Server({Case.Script});
      attempt_site Site;
      assertOutcome(Case.Name, Case.Verdict, Case.Reason,
                    Site.attempt(taskCall(Server.address(), Case.BodyBytes)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name + ": one connection", 1, Server.accepted());
    }
  };
  if (auto When = section("when the exchange is interrupted"))
    Check(interruptedExchanges());
  if (auto When = section("when the server answers"))
    Check(completeAnswers());
});

// Guards against counting a task as started that no server can have seen.
const story NoConnection("start certainty: no connection", [] {
  attempt_site Site;
  std::uint16_t Port = 0;
  if (auto When = section("when nothing listens")) {
    listenOn(1, Port).close();
    assertOutcome("refused", attempt_verdict::NotStarted, errc::ConnectFailed,
                  Site.attempt(taskCall("127.0.0.1:" + std::to_string(Port))));
  }
  if (auto When = section("when the connect times out")) {
    // The queue of a listener with backlog 0 holds one connection; further ones stay unanswered.
    raw_socket Listener = listenOn(0, Port);
    raw_socket Queued = connectTo(Port);
    assertOutcome("timed out", attempt_verdict::NotStarted, errc::ConnectFailed,
                  Site.attempt(taskCall("127.0.0.1:" + std::to_string(Port))));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Site.Client->connections("127.0.0.1:" + std::to_string(Port)));
  }
  if (auto When = section("when the listener closes before it accepts")) {
    // The operating system has accepted the connection and its bytes, so nothing is certain.
    auto Listener = std::make_unique<raw_socket>(listenOn(8, Port));
    Site.Loop->after(50ms, [&] { Listener.reset(); });
    assertOutcome("closed", attempt_verdict::StartedAndFailed, errc::ConnectionLost,
                  Site.attempt(taskCall("127.0.0.1:" + std::to_string(Port))));
  }
});

// Guards against a request that is repeated silently, or an answer that is taken from the request before, on
// kept connections.
const story KeptConnections("start certainty: kept connections", [] {
  auto Good = [](attempt_site &Site, const scripted_server &Server) {
    assertOutcome("good", attempt_verdict::Completed, errc::Ok, Site.attempt(taskCall(Server.address())));
  };
  if (auto When = section("when the server closed the connection while it was idle")) {
    scripted_server Server({cutAfter(goodAnswer()), answering(goodAnswer())});
    attempt_site Site;
    Good(Site, Server);
    runFor(*Site.Loop, 50ms);
    Good(Site, Server);
    CPPUNIT_ASSERT_EQUAL(2, Server.accepted());
  }
  if (auto When = section("when the server closes after it read the second request")) {
    scripted_server Server({[](raw_socket &Socket) {
      static_cast<void>(Socket.receiveMessage());
      Socket.send(goodAnswer());
      static_cast<void>(Socket.receiveMessage());
    }});
    attempt_site Site;
    Good(Site, Server);
    assertOutcome("lost", attempt_verdict::StartedAndFailed, errc::ConnectionLost,
                  Site.attempt(taskCall(Server.address())));
    runFor(*Site.Loop, 50ms);
    CPPUNIT_ASSERT_EQUAL(1, Server.accepted());
  }
  if (auto When = section("when an answer too many came with the first")) {
    scripted_server Server({answering(goodAnswer() + answerText("200 OK", "task-id: job/t1\r\n", "stray")),
                            answering(goodAnswer())});
    attempt_site Site;
    Good(Site, Server);
    Good(Site, Server);
  }
  if (auto When = section("when an answer too many came later")) {
    scripted_server Server({[](raw_socket &Socket) {
                              static_cast<void>(Socket.receiveMessage());
                              Socket.send(goodAnswer());
                              std::this_thread::sleep_for(20ms);
                              Socket.send(answerText("500 Error", ""));
                              static_cast<void>(Socket.closedByPeer());
                            },
                            answering(goodAnswer())});
    attempt_site Site;
    Good(Site, Server);
    runFor(*Site.Loop, 100ms);
    Good(Site, Server);
    CPPUNIT_ASSERT_EQUAL(2, Server.accepted());
  }
});

// Guards against new work for a server that has announced its leaving on any kind of reply.
const story Leaving("start certainty: leaving header", [] {
  for (const char *Status : {"200 OK", "503 Busy", "500 Error"}) {
    scripted_server Server(
        {answering(answerText(Status, "task-id: job/t1\r\nserver-leaving: 1\r\n")), answering(goodAnswer())});
    attempt_site Site;
    CPPUNIT_ASSERT_MESSAGE(Status, Site.attempt(taskCall(Server.address())).Leaving);
  }
  scripted_server Server({answering(goodAnswer())});
  attempt_site Site;
  CPPUNIT_ASSERT(!Site.attempt(taskCall(Server.address())).Leaving);
});

} // namespace
