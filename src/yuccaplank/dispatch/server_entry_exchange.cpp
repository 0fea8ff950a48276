#include "server_entry_exchange.hpp"
#include "server_catalog.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace yuccaplank::dispatch {
namespace {

using runtime::duration;
using runtime::log;
using runtime::log_level;
using runtime::time_point;

class server_entry_exchange_impl final : public server_entry_exchange {
public:
  server_entry_exchange_impl(const runtime::clock &Clock, std::string Vm, server_entry_ports &Ports,
                             server_entry_options Options)
      : Clock(Clock), Ports(Ports), Options(Options), Spread(XXH3_64bits(Vm.data(), Vm.size())) {}

  void setEntries(const std::vector<server_entry> &Entries, std::uint64_t Version) override {
    if (Catalog.replace(Entries, Version))
      Ports.onEntriesChanged(Entries);
  }

  void onRead(std::optional<std::uint64_t> Version, time_point SentAt) override {
    Started = true;
    LastReadFailed = !Version;
    // A read that was sent before a pause tells what was in the store then.
    if (Version && (!PausedAt || SentAt > *PausedAt)) {
      LastReadAt = now();
      // While the reads catch up, the entries are those that other VMs have told.
      if (*Version >= Catalog.version())
        confirmAsOf(now());
    }
    if (Version)
      Catalog.confirm(*Version);
    update();
  }

  void clear() override {
    Catalog.clear();
    Started = false;
    LastReadFailed = false;
    forgetReads();
    update();
  }

  void onPause() override {
    PausedAt = now();
    forgetReads();
    update();
  }

  void update() override {
    bool IsReading = reads();
    if (std::exchange(Reading, IsReading) != IsReading)
      Ports.onReadingChanged(IsReading);
    std::vector<std::string> Sources;
    if (!IsReading)
      Sources = Ports.sources();
    if (!Sources.empty() && !isWithin(LastRequestAt, Options.RequestInterval))
      request(Sources);
    suspendStarts(!Sources.empty() && !isWithin(ConfirmedAt, Options.MaxAge));
  }

  void onRequest(const std::string &Vm, const schema::server_entries_request &Request) override {
    if (!Started || !reads())
      return;
    schema::dispatch_message Message;
    *Message.mutable_server_entries() = Catalog.changesSince(Request.after());
    Message.mutable_server_entries()->set_age_ms(
        static_cast<std::uint32_t>(runtime::toMs(now() - *LastReadAt)));
    Ports.send(Vm, std::move(Message));
  }

  void onChanges(const std::string &Vm, const schema::server_entries &Changes) override {
    if (!Started || reads())
      return;
    std::uint64_t Former = Catalog.version();
    if (!Catalog.apply(Changes))
      return;
    confirmAsOf(now() - std::chrono::milliseconds(Changes.age_ms()));
    if (Changes.changed_size() + Changes.removed_size() > 0) {
      ++Learnt;
      log(log_level::Info, "server_entries_learnt",
          {{"vm", Vm},
           {"version", static_cast<std::int64_t>(Catalog.version())},
           {"former", static_cast<std::int64_t>(Former)},
           {"changed", std::int64_t{Changes.changed_size()}},
           {"removed", std::int64_t{Changes.removed_size()}},
           {"age_ms", std::int64_t{Changes.age_ms()}}});
      Ports.onEntriesChanged(Catalog.entries());
    }
    update();
  }

  [[nodiscard]] server_entry_counters counters() const override {
    server_entry_counters Counters;
    if (ConfirmedAt)
      Counters.Age = now() - *ConfirmedAt;
    Counters.Requests = Requests;
    Counters.Learnt = Learnt;
    Counters.Suspensions = Suspensions;
    return Counters;
  }

private:
  // Entries age while the process is suspended, too.
  [[nodiscard]] time_point now() const { return Clock.sinceBoot(); }

  // A VM that has not tried to read yet is not known to be turned away.
  [[nodiscard]] bool reads() const {
    return !Started || (!LastReadFailed && isWithin(LastReadAt, Options.ReadTimeout));
  }

  // Whether the time is known and has passed no longer ago than Age.
  [[nodiscard]] bool isWithin(std::optional<time_point> Time, duration Age) const {
    return Time && now() - *Time < Age;
  }

  void confirmAsOf(time_point Time) { ConfirmedAt = std::max(ConfirmedAt.value_or(Time), Time); }

  void forgetReads() {
    LastReadAt.reset();
    ConfirmedAt.reset();
  }

  // The VMs that are turned away begin with different sources, and each goes on to the next one, so that no
  // source is asked by all of them and one that does not answer is left.
  void request(const std::vector<std::string> &Sources) {
    LastRequestAt = now();
    schema::dispatch_message Message;
    Message.mutable_server_entries_request()->set_after(Catalog.version());
    Ports.send(Sources.at((Spread + Requests) % Sources.size()), std::move(Message));
    ++Requests;
  }

  void suspendStarts(bool Suspend) {
    if (std::exchange(Suspended, Suspend) == Suspend)
      return;
    Suspensions += Suspend ? 1 : 0;
    log(Suspend ? log_level::Warning : log_level::Info, Suspend ? "starts_suspended" : "starts_resumed",
        {{"reason", std::string("server_entries_outdated")},
         {"version", static_cast<std::int64_t>(Catalog.version())}});
    Ports.onStartsSuspended(Suspend);
  }

  const runtime::clock &Clock;
  server_entry_ports &Ports;
  server_entry_options Options;
  std::uint64_t Spread;
  server_catalog Catalog;
  // Whether a read has ended since the entries are needed.
  bool Started = false;
  bool Reading = true;
  bool LastReadFailed = false;
  bool Suspended = false;
  // End of the latest successful read since the latest pause.
  std::optional<time_point> LastReadAt;
  // Time as of which the entries are known to be those in the store.
  std::optional<time_point> ConfirmedAt;
  std::optional<time_point> LastRequestAt;
  std::optional<time_point> PausedAt;
  std::uint64_t Requests = 0;
  std::uint64_t Learnt = 0;
  std::uint64_t Suspensions = 0;
};

} // namespace

std::unique_ptr<server_entry_exchange> makeServerEntryExchange(const runtime::clock &Clock, std::string Vm,
                                                               server_entry_ports &Ports,
                                                               server_entry_options Options) {
  return std::make_unique<server_entry_exchange_impl>(Clock, std::move(Vm), Ports, Options);
}

} // namespace yuccaplank::dispatch
