#include "sockets.hpp"

#include <cppunit/TestAssert.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <utility>

using namespace std::chrono_literals;

namespace yuccaplank::testing {
namespace {

constexpr auto WaitTimeout = 10s;
constexpr auto CheckInterval = 1ms;

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

std::size_t contentLength(std::string_view Message) {
  constexpr std::string_view Name = "content-length: ";
  auto SameLetter = [](char Left, char Right) { return (Left | 0x20) == (Right | 0x20); };
  const auto *Found = std::search(Message.begin(), Message.end(), Name.begin(), Name.end(), SameLetter);
  std::size_t Length = 0;
  if (Found != Message.end())
    std::from_chars(Found + Name.size(), Message.data() + Message.size(), Length);
  return Length;
}

} // namespace

void runUntil(runtime::loop &Loop, const std::function<bool()> &Done) {
  auto End = std::chrono::steady_clock::now() + WaitTimeout;
  bool Expired = false;
  std::function<void()> Check = [&] {
    Expired = std::chrono::steady_clock::now() >= End;
    if (Done() || Expired)
      Loop.stop();
    else
      Loop.after(CheckInterval, Check);
  };
  Loop.post(Check);
  Loop.run();
  CPPUNIT_ASSERT_MESSAGE("the condition holds before the timeout", Done());
}

void runFor(runtime::loop &Loop, runtime::duration Time) {
  Loop.after(Time, [&] { Loop.stop(); });
  Loop.run();
}

raw_socket::raw_socket(int Fd) : Fd(Fd) {
  timeval Timeout{std::chrono::seconds(WaitTimeout).count(), 0};
  setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
}
raw_socket::raw_socket(raw_socket &&Other) noexcept : Fd(std::exchange(Other.Fd, -1)) {}
raw_socket &raw_socket::operator=(raw_socket &&Other) noexcept {
  std::swap(Fd, Other.Fd);
  return *this;
}

void raw_socket::send(std::string_view Text) const {
  while (!Text.empty()) {
    ssize_t Sent = ::send(Fd, Text.data(), Text.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return;
    Text.remove_prefix(static_cast<std::size_t>(Sent));
  }
}

std::string raw_socket::receive(std::size_t Bytes) const {
  std::string Text;
  std::array<char, 4096> Buffer{};
  while (Text.size() < Bytes) {
    ssize_t Count = recv(Fd, Buffer.data(), std::min(Buffer.size(), Bytes - Text.size()), 0);
    if (Count <= 0)
      break;
    Text.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  return Text;
}

std::string raw_socket::receiveMessage() const {
  constexpr std::string_view HeadEnd = "\r\n\r\n";
  std::string Text;
  while (!Text.ends_with(HeadEnd)) {
    std::string Next = receive(1);
    if (Next.empty())
      return Text;
    Text += Next;
  }
  return Text + receive(contentLength(Text));
}

bool raw_socket::closedByPeer() const {
  auto End = std::chrono::steady_clock::now() + WaitTimeout;
  std::array<char, 4096> Buffer{};
  ssize_t Count = 1;
  while (Count > 0 && std::chrono::steady_clock::now() < End)
    Count = recv(Fd, Buffer.data(), Buffer.size(), 0);
  return Count == 0 || (Count < 0 && errno == ECONNRESET);
}

void raw_socket::close() {
  if (Fd >= 0)
    ::close(std::exchange(Fd, -1));
}

raw_socket connectTo(std::uint16_t Port) {
  raw_socket Socket(socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in Address = loopback(Port);
  CPPUNIT_ASSERT_EQUAL(0, connect(Socket.fd(), reinterpret_cast<sockaddr *>(&Address), sizeof(Address)));
  return Socket;
}

raw_socket listenOn(int Backlog, std::uint16_t &Port) {
  raw_socket Socket(socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in Address = loopback(0);
  socklen_t Length = sizeof(Address);
  CPPUNIT_ASSERT_EQUAL(0, bind(Socket.fd(), reinterpret_cast<sockaddr *>(&Address), Length));
  CPPUNIT_ASSERT_EQUAL(0, listen(Socket.fd(), Backlog));
  getsockname(Socket.fd(), reinterpret_cast<sockaddr *>(&Address), &Length);
  Port = ntohs(Address.sin_port);
  return Socket;
}

scripted_server::scripted_server(std::vector<script> ScriptsIn)
    : Scripts(std::move(ScriptsIn)), Listener(listenOn(16, Port)), Thread([this] { serve(); }) {}

scripted_server::~scripted_server() {
  Stopping = true;
  Thread.join();
}

std::string scripted_server::address() const { return "127.0.0.1:" + std::to_string(Port); }

void scripted_server::serve() {
  std::vector<raw_socket> Unscripted;
  std::vector<std::thread> ScriptThreads;
  while (!Stopping) {
    pollfd Poll{Listener.fd(), POLLIN, 0};
    if (poll(&Poll, 1, 10) <= 0)
      continue;
    raw_socket Socket(accept(Listener.fd(), nullptr, nullptr));
    auto Index = static_cast<std::size_t>(Accepted++);
    if (Index < Scripts.size())
      ScriptThreads.emplace_back(
          [Script = Scripts[Index], Connection = std::move(Socket)]() mutable { Script(Connection); });
    else
      Unscripted.push_back(std::move(Socket));
  }
  for (std::thread &ScriptThread : ScriptThreads)
    ScriptThread.join();
}

} // namespace yuccaplank::testing
