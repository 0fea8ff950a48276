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
                   std::function<void()> OnChange)
      : Executor(Executor), Store(Store), Options(std::move(Options)), OnChange(std::move(OnChange)) {
    readAll("");
  }
  table_watch_impl(const table_watch_impl &) = delete;
  table_watch_impl &operator=(const table_watch_impl &) = delete;
  ~table_watch_impl() override = default;

  void setWait(runtime::duration Wait) override { Options.Wait = Wait; }
  [[nodiscard]] const std::map<std::string, store_row> &rows() const override { return Rows; }
  [[nodiscard]] bool current() const override { return Reachable; }
  [[nodiscard]] runtime::time_point regainedAt() const override { return RegainedAt; }

private:
  void readAll(const std::string &From) {
    if (From.empty())
      Incoming.clear();
    Store.rows(Options.Table, From, Lifetime.guard([this](const auto &Page) { onAll(Page); }));
  }

  void onAll(const runtime::result<store_page> &Page) {
    if (!noteOutcome(Page)) {
      later(Options.RetryDelay, [this] { readAll(""); });
      return;
    }
    // Changes after the first page are told by the feed.
    if (Incoming.empty())
      Version = Page.value().Version;
    for (const store_row &Row : Page.value().Rows)
      Incoming[Row.Key] = Row;
    if (Page.value().HasMore && !Page.value().Rows.empty()) {
      // The smallest key after the last one read.
      readAll(Page.value().Rows.back().Key + '\x01');
      return;
    }
    Rows.swap(Incoming);
    Incoming.clear();
    OnChange();
    follow();
  }

  void followSoon() {
    runtime::duration Left = FollowedAt + Options.Interval - Executor.clock().now();
    if (Left <= runtime::duration::zero())
      follow();
    else
      later(Left, [this] { follow(); });
  }

  void follow() {
    FollowedAt = Executor.clock().now();
    Store.changes(Options.Table, Version, Options.Wait,
                  Lifetime.guard([this](const auto &Page) { onChanges(Page); }));
  }

  void onChanges(const runtime::result<store_page> &Page) {
    bool HistoryGone = !Page && Page.error() == runtime::errc::NotFound;
    if (HistoryGone) {
      log(log_level::Info, "store_history_gone",
          {{"table", Options.Table}, {"version", static_cast<std::int64_t>(Version)}});
      noteReachable(true, "");
      readAll("");
      return;
    }
    if (!noteOutcome(Page)) {
      later(Options.RetryDelay, [this] { follow(); });
      return;
    }
    const std::vector<store_row> &Changed = Page.value().Rows;
    // A full page may end before the newest version, and a watch that waits between full pages falls behind.
    bool Full = !Changed.empty() && (Page.value().HasMore || Changed.size() >= platform::MaxPageRows);
    Version = std::max(Version, Full ? Changed.back().Version : Page.value().Version);
    for (const store_row &Row : Changed)
      applyRow(Row);
    if (!Changed.empty())
      OnChange();
    if (Full)
      follow();
    else
      followSoon();
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

  bool noteOutcome(const runtime::result<store_page> &Page) {
    noteReachable(Page.has_value(), Page ? "" : Page.error().message());
    return Page.has_value();
  }

  void noteReachable(bool IsReachable, const std::string &Reason) {
    if (IsReachable == Reachable && Contacted)
      return;
    if (IsReachable && Contacted)
      RegainedAt = Executor.clock().now();
    Contacted = true;
    Reachable = IsReachable;
    if (IsReachable)
      log(log_level::Info, "store_reached", {{"table", Options.Table}});
    else
      log(log_level::Warning, "store_lost", {{"table", Options.Table}, {"reason", Reason}});
  }

  void later(runtime::duration Delay, std::function<void()> Function) {
    Executor.after(Delay, Lifetime.guard(std::move(Function)));
  }

  runtime::executor &Executor;
  platform::store_client &Store;
  table_watch_options Options;
  std::function<void()> OnChange;
  std::map<std::string, store_row> Rows;
  std::map<std::string, store_row> Incoming;
  std::uint64_t Version = 0;
  bool Reachable = false;
  bool Contacted = false;
  runtime::time_point RegainedAt{};
  runtime::time_point FollowedAt{};
  runtime::lifetime Lifetime;
};

} // namespace

std::unique_ptr<table_watch> makeTableWatch(runtime::executor &Executor, platform::store_client &Store,
                                            table_watch_options Options, std::function<void()> OnChange) {
  return std::make_unique<table_watch_impl>(Executor, Store, std::move(Options), std::move(OnChange));
}

} // namespace yuccaplank::entry
