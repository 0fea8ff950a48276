#include "yuccaplank/storage/fake_table.hpp"

#include <pcg_random.hpp>

#include <utility>

namespace yuccaplank::storage {
namespace {

using runtime::errc;

constexpr std::uint32_t Percent = 100;

bool takeOne(std::uint32_t &Count) {
  if (Count == 0)
    return false;
  --Count;
  return true;
}

// One request; at most one of its reply and its timeout reaches the client.
template <typename T> struct exchange {
  std::function<bool()> Blocked;
  bool Write = false;
  std::function<T()> Effect;
  std::function<void(runtime::result<T>)> OnDone;
  runtime::timer_id Timeout = 0;

  [[nodiscard]] bool lost() const { return Blocked && Blocked(); }
};

class fake_platform_impl final : public fake_platform,
                                 public std::enable_shared_from_this<fake_platform_impl> {
public:
  fake_platform_impl(runtime::executor &Executor, const fake_platform_options &Options)
      : Executor(Executor), Options(Options), Vms(Options.ListLag), Random(Options.Seed) {}

  fake_faults &faults() override { return Faults; }
  table_state &state() override { return State; }
  lagging_vm_list &vmList() override { return Vms; }
  [[nodiscard]] table::counters totals() const override { return Totals; }
  std::unique_ptr<table> makeClient(std::function<bool()> Blocked) override;

  [[nodiscard]] schema::vm_list visibleVms() const { return Vms.visible(Executor.clock().now()); }

  // Runs Effect when the request arrives and hands its result to OnDone when the reply arrives.
  template <typename T> void send(exchange<T> Request) {
    auto Exchange = std::make_shared<exchange<T>>(std::move(Request));
    auto Self = shared_from_this();
    Exchange->Timeout = Executor.after(Options.Timeout, [Self, Exchange] {
      finish<T>(Self->Executor, *Exchange, errc::PlatformUnavailable);
    });
    Executor.after(oneWay(), [Self, Exchange] {
      if (!Exchange->lost())
        Self->serve(Exchange);
    });
  }

private:
  [[nodiscard]] runtime::duration oneWay() const { return Options.Delay + Faults.ExtraDelay; }

  // Handles an arriving request.
  template <typename T> void serve(const std::shared_ptr<exchange<T>> &Exchange) {
    bool Write = Exchange->Write;
    ++(Write ? Totals.Writes : Totals.Reads);
    if (Faults.Mode == fake_mode::Hang || (Write && takeOne(Faults.LoseNextRequests)))
      return;
    if (Faults.Mode == fake_mode::Down || (Write && Faults.RefuseTransactions))
      return reply<T>(Exchange, errc::PlatformUnavailable);
    T Result = Exchange->Effect();
    if (Write && (takeOne(Faults.LoseNextReplies) || Random(Percent) < Faults.LoseRepliesPercent))
      return;
    reply<T>(Exchange, std::move(Result));
  }

  template <typename T> void reply(const std::shared_ptr<exchange<T>> &Exchange, runtime::result<T> Result) {
    Executor.after(oneWay(), [Self = shared_from_this(), Exchange,
                              Result = std::make_shared<runtime::result<T>>(std::move(Result))] {
      if (!Exchange->lost())
        finish<T>(Self->Executor, *Exchange, std::move(*Result));
    });
  }

  // Not inlined, because GCC 12 warns of an uninitialized value when it sees an error moved as a result.
  template <typename T>
  [[gnu::noinline]] static void finish(runtime::executor &Executor, exchange<T> &Exchange,
                                       runtime::result<T> Result) {
    if (!Exchange.OnDone)
      return;
    Executor.cancel(Exchange.Timeout);
    std::exchange(Exchange.OnDone, nullptr)(std::move(Result));
  }

  runtime::executor &Executor;
  fake_platform_options Options;
  fake_faults Faults;
  table_state State;
  lagging_vm_list Vms;
  table::counters Totals;
  pcg32 Random;
};

class fake_table final : public table {
public:
  fake_table(std::shared_ptr<fake_platform_impl> Platform, std::function<bool()> Blocked)
      : Platform(std::move(Platform)), Blocked(std::move(Blocked)) {}

  void commit(table_transaction Transaction,
              std::function<void(runtime::result<transaction_reply>)> OnDone) override {
    ++Totals.Writes;
    Platform->send<transaction_reply>({Blocked, true,
                                       [Platform = Platform, Transaction = std::move(Transaction)] {
                                         return Platform->state().commit(Transaction);
                                       },
                                       std::move(OnDone)});
  }
  void read(std::string Key, std::function<void(runtime::result<table_row>)> OnDone) override {
    get<table_row>([Platform = Platform, Key = std::move(Key)] { return Platform->state().read(Key); },
                   std::move(OnDone));
  }
  void rows(std::string Prefix,
            std::function<void(runtime::result<std::vector<table_row>>)> OnDone) override {
    get<std::vector<table_row>>(
        [Platform = Platform, Prefix = std::move(Prefix)] { return Platform->state().rows(Prefix); },
        std::move(OnDone));
  }
  void changes(std::string Prefix, std::uint64_t After,
               std::function<void(runtime::result<table_changes>)> OnDone) override {
    get<table_changes>([Platform = Platform, Prefix = std::move(Prefix),
                        After] { return Platform->state().changes(Prefix, After); },
                       std::move(OnDone));
  }
  void vms(std::function<void(runtime::result<schema::vm_list>)> OnDone) override {
    get<schema::vm_list>([Platform = Platform] { return Platform->visibleVms(); }, std::move(OnDone));
  }
  [[nodiscard]] counters totals() const override { return Totals; }

private:
  template <typename T> void get(std::function<T()> Effect, std::function<void(runtime::result<T>)> OnDone) {
    ++Totals.Reads;
    Platform->send<T>({Blocked, false, std::move(Effect), std::move(OnDone)});
  }

  std::shared_ptr<fake_platform_impl> Platform;
  std::function<bool()> Blocked;
  counters Totals;
};

std::unique_ptr<table> fake_platform_impl::makeClient(std::function<bool()> Blocked) {
  return std::make_unique<fake_table>(shared_from_this(), std::move(Blocked));
}

} // namespace

std::shared_ptr<fake_platform> makeFakePlatform(runtime::executor &Executor, fake_platform_options Options) {
  return std::make_shared<fake_platform_impl>(Executor, Options);
}

} // namespace yuccaplank::storage
