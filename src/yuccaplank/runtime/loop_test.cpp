#define H2O_USE_LIBUV 0
extern "C" {
#include <h2o.h>
}

#include "yuccaplank/runtime/loop.hpp"
#include "yuccaplank/testing/sockets.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <vector>

using namespace yuccaplank;
using testing::runFor;
using testing::test_case;

namespace {

constexpr std::size_t LargeBytes = 400'000;

// A socket on the loop whose other end is read only by readAll().
struct socket_pair {
  std::unique_ptr<runtime::loop> Loop = runtime::makeLoop();
  std::array<int, 2> Ends{};
  h2o_socket_t *Socket = nullptr;
  std::string Large = std::string(LargeBytes, 'x');
  std::string Small = "y";
  int Written = 0;

  socket_pair() {
    CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Ends.data()));
    Socket = h2o_evloop_socket_create(Loop->native(), Ends[0], 0);
    Socket->data = this;
  }
  socket_pair(const socket_pair &) = delete;
  socket_pair &operator=(const socket_pair &) = delete;
  ~socket_pair() {
    h2o_socket_close(Socket);
    ::close(Ends[1]);
  }

  void write(std::string &Text) const {
    h2o_iovec_t Vector = h2o_iovec_init(Text.data(), Text.size());
    h2o_socket_write(
        Socket, &Vector, 1, +[](h2o_socket_t *Socket, const char *) {
          auto &Pair = *static_cast<socket_pair *>(Socket->data);
          ++Pair.Written;
          if (Pair.Written == 1)
            Pair.Loop->post([&Pair] { Pair.write(Pair.Small); });
        });
  }

  void readAll() const {
    std::array<char, 65536> Buffer{};
    while (::recv(Ends[1], Buffer.data(), Buffer.size(), 0) > 0)
      continue;
  }
};

// Guards against an abort of the process. It happens when a posted function writes right after a large write
// while the peer's buffer is full again: the socket remains polled for a write that has already completed.
const test_case Writes("loop: a posted function writes to a slow reader", [] {
  socket_pair Pair;
  Pair.write(Pair.Large);
  for (int Turn = 0; Turn < 50 && Pair.Written < 2; ++Turn) {
    Pair.readAll();
    runFor(*Pair.Loop, std::chrono::milliseconds(2));
  }
  CPPUNIT_ASSERT_EQUAL(2, Pair.Written);
  Pair.readAll();
  runFor(*Pair.Loop, std::chrono::milliseconds(20));
  CPPUNIT_ASSERT_EQUAL(2, Pair.Written);
});

// Guards against a signal that ends a process because it arrives before the loop handles signals.
const test_case EarlySignals("loop: signals that arrive before they are handled are received later", [] {
  sigset_t FormerMask;
  sigprocmask(SIG_SETMASK, nullptr, &FormerMask);
  runtime::blockSignals();
  raise(SIGHUP);
  raise(SIGTERM);
  std::vector<int> Received;
  {
    auto Loop = runtime::makeLoop();
    Loop->setSignalHandler([&](int Signal) { Received.push_back(Signal); });
    runFor(*Loop, std::chrono::milliseconds(20));
  }
  sigprocmask(SIG_SETMASK, &FormerMask, nullptr);
  CPPUNIT_ASSERT((std::vector<int>{SIGHUP, SIGTERM} == Received));
});

} // namespace
