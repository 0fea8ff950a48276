#define H2O_USE_LIBUV 0
extern "C" {
#include <h2o.h>
}

#include "hangup_watch.hpp"

#include <poll.h>
#include <sys/epoll.h>

#include <array>
#include <cerrno>

namespace yuccaplank::wire {
namespace {

constexpr int MaxEvents = 64;

} // namespace

hangup_watch::~hangup_watch() {
  if (Socket)
    h2o_socket_close(Socket);
}

runtime::result<void> hangup_watch::open() {
  Fd = epoll_create1(EPOLL_CLOEXEC);
  if (Fd < 0)
    return std::error_code(errno, std::system_category());
  Socket = h2o_evloop_socket_create(Loop.native(), Fd, H2O_SOCKET_FLAG_DONT_READ);
  Socket->data = this;
  h2o_socket_read_start(Socket, [](h2o_socket_t *Ready, const char *) {
    static_cast<hangup_watch *>(Ready->data)->readEvents();
  });
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void hangup_watch::add(int Connection, std::uint64_t Id) const {
  epoll_event Event{};
  Event.events = EPOLLRDHUP | EPOLLET;
  Event.data.u64 = Id;
  epoll_ctl(Fd, EPOLL_CTL_ADD, Connection, &Event);
}

bool hangup_watch::peerHasClosed(int Connection) {
  pollfd Poll{Connection, POLLRDHUP, 0};
  return poll(&Poll, 1, 0) > 0 && (Poll.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void hangup_watch::readEvents() const {
  std::array<epoll_event, MaxEvents> Events{};
  int Count = epoll_wait(Fd, Events.data(), MaxEvents, 0);
  for (int Index = 0; Index < Count; ++Index)
    OnHangup(Events[static_cast<std::size_t>(Index)].data.u64);
}

} // namespace yuccaplank::wire
