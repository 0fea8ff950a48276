#include "table_watch.hpp"
#include "yuccaplank/runtime/lifetime.hpp"
#include "yuccaplank/runtime/log.hpp"

namespace yuccaplank::entry {
namespace {

using platform::store_page;
using platform::store_row;
using runtime::log;
using runtime::log_level;

class table_watch_impl final : public table_watch {
public:
  table_watch_impl(runtime::executor &Executor, platform::store_client &Store, table_watch_options Options,
                   std::function<void()> OnChange, std::function<void(const table_read &)> OnRead)
      : Executor(Executor), Store(Store), Options(std::move(Options)), OnChange(std::move(OnChange)),
        OnRead(std::move(OnRead)) {
    readPage("");
  }
  table_watch_impl(const table_watch_impl &) = delete;
  table_watch_impl &operator=(const table_watch_impl &) = delete;
  ~table_watch_impl() override = default;

  void setLongPollTimeout(runtime::duration Timeout) override { Options.LongPollTimeout = Timeout; }
  [[nodiscard]] const std::map<std::string, store_row> &rows() const override { return Rows; }
  [[nodiscard]] std::uint64_t version() const override { return Version; }
  [[nodiscard]] bool lastCallSucceeded() const override { return Reachable; }
  [[nodiscard]] runtime::time_point reconnectedAt() const override { return ReconnectedAt; }

private:
  void readPage(const std::string &From) {
    if (From.empty())
      PendingRows.clear();
    CallSentAt = Executor.clock().sinceBoot();
    Store.rows(Options.Table, From, Lifetime.guard([this](const auto &Page) { onPage(Page); }));
  }

  void onPage(const runtime::result<store_page> &Page) {
    if (!recordOutcome(Page)) {
      reportRead(false);
      schedule(Options.RetryDelay, [this] { readPage(""); });
      return;
    }
    // The feed is polled from the version of the first page on, so it delivers rows changed during later
    // pages.
    if (PendingRows.empty())
      Version = Page.value().Version;
    for (const store_row &Row : Page.value().Rows)
      PendingRows[Row.Key] = Row;
    if (Page.value().HasMore && !Page.value().Rows.empty()) {
      // The next page starts at the smallest key after the last one read.
      readPage(Page.value().Rows.back().Key + '\x01');
      return;
    }
    Rows.swap(PendingRows);
    PendingRows.clear();
    OnChange();
    reportRead(true);
    poll();
  }

  void schedulePoll() {
    runtime::duration Delay = LastPollAt + Options.MinInterval - Executor.clock().now();
    if (Delay <= runtime::duration::zero())
      poll();
    else
      schedule(Delay, [this] { poll(); });
  }

  void poll() {
    LastPollAt = Executor.clock().now();
    CallSentAt = Executor.clock().sinceBoot();
    Store.changes(Options.Table, Version, Options.LongPollTimeout,
                  Lifetime.guard([this](const auto &Page) { onChanges(Page); }));
  }

  void onChanges(const runtime::result<store_page> &Page) {
    bool HistoryGone = !Page && Page.error() == runtime::errc::NotFound;
    if (HistoryGone) {
      log(log_level::Info, "store_history_gone",
          {{"table", Options.Table}, {"version", static_cast<std::int64_t>(Version)}});
      recordReachable(true, "");
      readPage("");
      return;
    }
    if (!recordOutcome(Page)) {
      reportRead(false);
      schedule(Options.RetryDelay, [this] { poll(); });
      return;
    }
    const std::vector<store_row> &Changed = Page.value().Rows;
    // A full page may end before the newest version. The next poll then starts at once, because a watch that
    // waits between full pages falls behind.
    bool Full = !Changed.empty() && (Page.value().HasMore || Changed.size() >= platform::MaxPageRows);
    Version = std::max(Version, Full ? Changed.back().Version : Page.value().Version);
    for (const store_row &Row : Changed)
      applyRow(Row);
    if (!Changed.empty())
      OnChange();
    reportRead(true);
    if (Full)
      poll();
    else
      schedulePoll();
  }

  void applyRow(const store_row &Row) {
    auto Found = Rows.find(Row.Key);
    if (Found != Rows.end() && Found->second.Version >= Row.Version)
      return;
    if (Row.Deleted)
      Rows.erase(Row.Key);
    else
      Rows[Row.Key] = Row;
  }

  void reportRead(bool Succeeded) const {
    if (OnRead)
      OnRead({Succeeded, CallSentAt});
  }

  bool recordOutcome(const runtime::result<store_page> &Page) {
    recordReachable(Page.has_value(), Page ? "" : Page.error().message());
    return Page.has_value();
  }

  void recordReachable(bool IsReachable, const std::string &Reason) {
    if (IsReachable == Reachable && ReachabilityKnown)
      return;
    if (IsReachable && ReachabilityKnown)
      ReconnectedAt = Executor.clock().now();
    ReachabilityKnown = true;
    Reachable = IsReachable;
    if (IsReachable)
      log(log_level::Info, "store_reached", {{"table", Options.Table}});
    else
      log(log_level::Warning, "store_lost", {{"table", Options.Table}, {"reason", Reason}});
  }

  void schedule(runtime::duration Delay, std::function<void()> Function) {
    Executor.after(Delay, Lifetime.guard(std::move(Function)));
  }

  runtime::executor &Executor;
  platform::store_client &Store;
  table_watch_options Options;
  std::function<void()> OnChange;
  std::function<void(const table_read &)> OnRead;
  std::map<std::string, store_row> Rows;
  std::map<std::string, store_row> PendingRows;
  std::uint64_t Version = 0;
  bool Reachable = false;
  bool ReachabilityKnown = false;
  runtime::time_point ReconnectedAt{};
  runtime::time_point LastPollAt{};
  // When the call under way was sent, on the clock that counts suspension.
  runtime::time_point CallSentAt{};
  runtime::lifetime Lifetime;
};

} // namespace

std::unique_ptr<table_watch> makeTableWatch(runtime::executor &Executor, platform::store_client &Store,
                                            table_watch_options Options, std::function<void()> OnChange,
                                            std::function<void(const table_read &)> OnRead) {
  return std::make_unique<table_watch_impl>(Executor, Store, std::move(Options), std::move(OnChange),
                                            std::move(OnRead));
}

} // namespace yuccaplank::entry
