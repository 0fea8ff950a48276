#include "socket_ports.hpp"

#include <fmt/format.h>

namespace yuccaplank::daemon {
namespace {

// A server that neither answers nor closes is given up this long after its lease has ended.
constexpr runtime::duration AnswerGrace = std::chrono::milliseconds(500);
constexpr runtime::duration StopTimeout = std::chrono::seconds(1);

class socket_ports_impl final : public socket_ports {
public:
  explicit socket_ports_impl(wire::http_client &Client) : Client(Client) {}

  void setTransport(wire::peer_transport *Given) override { Transport = Given; }

  void sendToPeer(const std::string &Vm, const std::string &Address, schema::envelope Message) override {
    if (Transport != nullptr && !(Vm.empty() && Address.empty()))
      Transport->send(Vm, Address, std::move(Message));
  }

  void disconnectPeer(const std::string &Vm) override {
    if (Transport != nullptr)
      Transport->disconnect(Vm);
  }

  void startTask(node::task_order Order, std::function<void(node::task_report)> OnDone) override {
    wire::http_call Call;
    Call.Method = "POST";
    Call.Address = std::move(Order.Address);
    Call.Path = "/task";
    Call.Headers = {
        {"task-id", Order.TaskId},
        {"task-kind", std::move(Order.Kind)},
        {"task-lease-ms", fmt::format_int(static_cast<std::int64_t>(runtime::toMs(Order.Lease))).str()}};
    Call.Body = std::move(Order.Payload);
    Call.Timeout = Order.Lease + AnswerGrace;
    Client.call(std::move(Call), [TaskId = std::move(Order.TaskId),
                                  OnDone = std::move(OnDone)](wire::http_call_result Result) {
      node::task_report Report;
      Report.Outcome = wire::judgeAttempt(Result, TaskId);
      Report.Payload = std::move(Result.Body);
      OnDone(std::move(Report));
    });
  }

  void stopTask(const std::string &TaskId, const std::string &Address) override {
    wire::http_call Call;
    Call.Method = "DELETE";
    Call.Address = Address;
    Call.Path = "/task/" + TaskId;
    Call.Timeout = StopTimeout;
    Client.call(std::move(Call), [](const wire::http_call_result &) {});
  }

  void checkServer(const std::string &Address, std::function<void(bool)> OnDone) override {
    wire::http_call Call;
    Call.Address = Address;
    Call.Path = "/status";
    Call.Timeout = StopTimeout;
    Client.call(std::move(Call), [OnDone = std::move(OnDone)](const wire::http_call_result &Result) {
      OnDone(!Result.Error || Result.Stage == wire::transfer_stage::MaybeWritten);
    });
  }

private:
  wire::http_client &Client;
  wire::peer_transport *Transport = nullptr;
};

} // namespace

std::unique_ptr<socket_ports> makeSocketPorts(wire::http_client &Client) {
  return std::make_unique<socket_ports_impl>(Client);
}

} // namespace yuccaplank::daemon
