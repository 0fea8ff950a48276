#include "link_filter.hpp"

#include <unordered_map>

namespace yuccaplank::daemon {
namespace {

using runtime::errc;
using wire::http_call;
using wire::http_call_result;

// Connecting through a partition fails by timeout.
constexpr runtime::duration BlockedConnectTimeout = std::chrono::milliseconds(500);

http_call_result failure(errc Reason, wire::transfer_stage Stage) {
  http_call_result Result;
  Result.Error = Reason;
  Result.Stage = Stage;
  return Result;
}

class link_filter_impl final : public link_filter {
public:
  link_filter_impl(runtime::executor &Executor, std::unique_ptr<wire::http_client> Client)
      : Executor(Executor), Client(std::move(Client)) {}

  wire::call_id call(http_call Call, std::function<void(http_call_result)> OnDone) override {
    if (Blocked.empty())
      return Client->call(std::move(Call), std::move(OnDone));
    if (Blocked.contains(Call.Address)) {
      Executor.after(BlockedConnectTimeout, [OnDone = std::move(OnDone)] {
        OnDone(failure(errc::ConnectFailed, wire::transfer_stage::NothingWritten));
      });
      return 0;
    }
    std::string Address = Call.Address;
    return Client->call(
        std::move(Call), [this, Address, OnDone = std::move(OnDone)](http_call_result Result) {
          OnDone(Blocked.contains(Address) ? failure(errc::ConnectionLost, wire::transfer_stage::MaybeWritten)
                                           : std::move(Result));
        });
  }

  void abandon(wire::call_id Call) override { Client->abandon(Call); }
  [[nodiscard]] std::size_t connections(const std::string &Address) const override {
    return Client->connections(Address);
  }
  void setBlocked(std::set<std::string> Addresses) override { Blocked = std::move(Addresses); }

private:
  runtime::executor &Executor;
  std::unique_ptr<wire::http_client> Client;
  std::set<std::string> Blocked;
};

} // namespace

std::unique_ptr<link_filter> makeLinkFilter(runtime::executor &Executor,
                                            std::unique_ptr<wire::http_client> Client) {
  return std::make_unique<link_filter_impl>(Executor, std::move(Client));
}

} // namespace yuccaplank::daemon
