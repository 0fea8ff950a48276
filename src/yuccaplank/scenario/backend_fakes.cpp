#include "backend_fakes.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <cstdlib>

namespace yuccaplank::scenario {
namespace {

using runtime::errc;
using wire::attempt_verdict;

node::task_report report(attempt_verdict Verdict, errc Reason, bool Leaving = false) {
  return {{Verdict, Reason, Leaving}, {}};
}

} // namespace

std::string taskResult(const std::string &TaskId, const std::string &Payload) {
  return fmt::format("{}:{:016x}", TaskId, XXH64(Payload.data(), Payload.size(), 0));
}

void backend_fakes::add(const schema::backend_entry &Entry, double Speed) {
  Servers[Entry.id()] = {Entry, Speed, server_mode::Normal, {}};
}

void backend_fakes::start(const node::task_order &Order, std::function<void(node::task_report)> OnDone) {
  server &Server = Servers.at(Order.Server);
  if (Server.Mode == server_mode::Down)
    return OnDone(report(attempt_verdict::NotStarted, errc::ConnectFailed));
  bool Full = Server.Running.size() >= Server.Entry.slots();
  if (Full || Server.Mode == server_mode::Refuse || Server.Mode == server_mode::Leaving)
    return OnDone(report(attempt_verdict::NotStarted, errc::NotStarted, Server.Mode == server_mode::Leaving));
  ++Starts[Order.TaskId];
  ++StartsByServer[Order.Server];
  if (Server.Mode == server_mode::FailAll)
    return OnDone(report(attempt_verdict::StartedAndFailed, errc::ServerError));
  std::uint64_t Run = ++LastRun;
  running_task &Task = Server.Running[Run];
  Task.TaskId = Order.TaskId;
  Task.OnDone = std::move(OnDone);
  bool Stalled = Server.Mode == server_mode::Stall;
  auto RunTime = runtime::fromMs(std::strtod(Order.Payload.c_str(), nullptr) / Server.Speed);
  bool EndsInLease = !Stalled && RunTime <= Order.Lease;
  auto Result = EndsInLease ? node::task_report{{attempt_verdict::Completed, errc::Ok, false},
                                                taskResult(Order.TaskId, Order.Payload)}
                            : report(attempt_verdict::StartedAndFailed, errc::TaskTimeout);
  Task.Timer = Executor.after(EndsInLease ? RunTime : Order.Lease,
                              [this, &Server, Run, Result] { finish(Server, Run, Result); });
}

void backend_fakes::stop(const std::string &TaskId) {
  for (auto &[Id, Server] : Servers)
    for (auto &[Run, Task] : Server.Running)
      if (Task.TaskId == TaskId)
        return finish(Server, Run, report(attempt_verdict::StartedAndFailed, errc::Cancelled));
}

void backend_fakes::setMode(const std::string &Name, server_mode Mode) {
  server &Server = Servers.at(Name);
  Server.Mode = Mode;
  if (Mode != server_mode::Down)
    return;
  while (!Server.Running.empty())
    finish(Server, Server.Running.begin()->first,
           report(attempt_verdict::StartedAndFailed, errc::ConnectionLost));
}

const std::string &backend_fakes::domainOf(const std::string &Server) const {
  return Servers.at(Server).Entry.domain();
}

std::vector<schema::backend_entry> backend_fakes::entries() const {
  std::vector<schema::backend_entry> Entries;
  for (const auto &[Id, Server] : Servers)
    Entries.push_back(Server.Entry);
  return Entries;
}

void backend_fakes::finish(server &Server, std::uint64_t Run, node::task_report Report) {
  auto Node = Server.Running.extract(Run);
  Executor.cancel(Node.mapped().Timer);
  Node.mapped().OnDone(std::move(Report));
}

} // namespace yuccaplank::scenario
