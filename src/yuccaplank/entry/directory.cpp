#include "directory.hpp"
#include "evacuation_rows.hpp"
#include "table_watch.hpp"
#include "yuccaplank/platform/documents.hpp"
#include "yuccaplank/runtime/lifetime.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <nlohmann/json.hpp>

#include <limits>
#include <map>
#include <set>

namespace yuccaplank::entry {
namespace {

using runtime::log;
using runtime::log_level;

// Table of this product in the platform's store, with one row for each running VM, one for each evacuation
// that was requested through a VM, and one for the latest roll call.
constexpr const char *VmTable = "yuccaplank_vms";
// Row of this table that asks all VMs to register again.
constexpr const char *RollCallKey = "roll_call";
constexpr auto ConfigurationPollTimeout = std::chrono::seconds(1);
// A VM that relays may notice an unresponsive store later, because the dispatchers notify it of a newer
// configuration.
constexpr auto RelayConfigurationPollTimeout = std::chrono::seconds(8);
// Entries of new VMs may be noticed late, because a new VM itself contacts the VMs that it knows.
constexpr auto VmPollTimeout = std::chrono::seconds(8);
// Servers rewrite their entries continually, so polls are spaced out; a server that starts to drain has to be
// noticed within 2 s.
constexpr auto MinServerPollInterval = std::chrono::milliseconds(500);

class directory_impl final : public directory {
public:
  directory_impl(runtime::executor &Executor, platform::store_client &Store, dispatch::entry_vm &Vm,
                 directory_options OptionsIn)
      : Executor(Executor), Store(Store), Vm(Vm), Options(std::move(OptionsIn)),
        PlatformEvacuations(schema::EVACUATION_PLATFORM, Options.Domains),
        OperatorEvacuations(schema::EVACUATION_OPERATOR, Options.Domains) {
    table_watch_options Watch;
    Watch.Table = platform::OperatorTable;
    Watch.LongPollTimeout = RelayConfigurationPollTimeout;
    Configuration = makeTableWatch(Executor, Store, Watch, [this] { readOperatorTable(); });
    Watch.Table = VmTable;
    Watch.LongPollTimeout = VmPollTimeout;
    // Many rows may change at once, because all VMs of a fleet may register at the same time.
    Watch.MinInterval = std::chrono::milliseconds(200);
    Vms = makeTableWatch(Executor, Store, Watch, [this] { readVms(); });
  }
  directory_impl(const directory_impl &) = delete;
  directory_impl &operator=(const directory_impl &) = delete;
  ~directory_impl() override = default;

  void setServerWatch(bool Enabled) override {
    Configuration->setLongPollTimeout(Enabled ? runtime::duration(ConfigurationPollTimeout)
                                              : RelayConfigurationPollTimeout);
    if (!Enabled) {
      Servers.reset();
      ServerRecords.clear();
      Vm.forgetServers();
      return;
    }
    table_watch_options Watch;
    Watch.Table = platform::ServerTable;
    Watch.MinInterval = MinServerPollInterval;
    Servers = makeTableWatch(
        Executor, Store, Watch, [this] { readServers(); },
        [this](const table_read &Read) {
          Vm.onServersRead(Read.Succeeded ? std::optional(Servers->version()) : std::nullopt, Read.SentAt);
        });
  }

  void removeStaleEntry(const std::string &Name) override {
    auto Found = Vms->rows().find(Name);
    if (Found == Vms->rows().end() || !Vms->lastCallSucceeded() || !PendingRemovals.insert(Name).second)
      return;
    log(log_level::Warning, "stale_vm_removed", {{"vm", Name}});
    Store.remove(VmTable, Name, Found->second.Version,
                 Lifetime.guard([this, Name](const auto &) { PendingRemovals.erase(Name); }));
  }

  void callRoll() override {
    if (std::exchange(RollCallPending, true))
      return;
    nlohmann::json Row{{"called_by", Options.Vm}};
    Store.replace(VmTable, RollCallKey, Row.dump(), rollCallVersion(),
                  Lifetime.guard([this](const auto &Version) {
                    RollCallPending = false;
                    log(log_level::Warning, "roll_called",
                        {{"accepted", Version.has_value()},
                         {"reason", Version ? std::string() : Version.error().message()}});
                  }));
  }

  void setTerm(std::uint32_t NewTerm) override {
    Term = std::max(Term, NewTerm);
    if (Registered && !WritePending && WrittenTerm != Term)
      scheduleWrite();
  }

  void setEvacuation(const std::string &Domain, bool Evacuate,
                     std::function<void(std::error_code)> OnDone) override {
    std::string Key = evacuation_rows::keyOf(Domain);
    auto Row = Vms->rows().find(Key);
    bool Evacuated = Row != Vms->rows().end();
    if (!OperatorEvacuations.isKnown(Domain)) {
      OnDone(runtime::errc::UnknownDomain);
    } else if (Evacuated == Evacuate) {
      OnDone(Evacuate ? runtime::errc::AlreadyEvacuated : runtime::errc::NotEvacuated);
    } else {
      auto OnWritten = [OnDone = std::move(OnDone)](const runtime::result<std::uint64_t> &Version) {
        OnDone(Version ? std::error_code() : Version.error());
      };
      if (Evacuate)
        Store.put(VmTable, Key, "{}", std::move(OnWritten));
      else
        Store.remove(VmTable, Key, Row->second.Version, std::move(OnWritten));
    }
  }

  [[nodiscard]] std::uint64_t ignoredEvacuations() const override {
    return PlatformEvacuations.ignored() + OperatorEvacuations.ignored();
  }

  void unregister(std::function<void()> OnDone) override {
    Unregistering = true;
    if (EntryVersion == 0) {
      OnDone();
      return;
    }
    Store.remove(VmTable, Options.Vm, EntryVersion, [OnDone = std::move(OnDone)](const auto &) { OnDone(); });
  }

private:
  // Evacuations come before the configuration: a VM that has the configuration may start tasks.
  void readOperatorTable() {
    Vm.setEvacuations(PlatformEvacuations.read(Configuration->rows(), Configuration->version()));
    auto Found = Configuration->rows().find(platform::ConfigurationKey);
    if (Found != Configuration->rows().end())
      applyConfiguration(Vm, Found->second.Value);
  }

  void readServers() {
    runtime::time_point Now = Executor.clock().now();
    std::set<std::string> Listed;
    for (const auto &[Id, Row] : Servers->rows()) {
      server_record &Record = ServerRecords[Id];
      Listed.insert(Id);
      Record.MissingSince.reset();
      if (Record.Version != Row.Version)
        readServer(Id, Row, Record);
    }
    for (auto &[Id, Record] : ServerRecords)
      if (!Listed.contains(Id) && !Record.MissingSince)
        Record.MissingSince = Now;
    publishServers();
  }

  struct server_record {
    std::uint64_t Version = 0;
    std::optional<dispatch::server_entry> Entry;
    std::optional<runtime::time_point> MissingSince;
  };

  // An unreadable entry removes the server that an earlier entry under the same key described.
  void readServer(const std::string &Id, const platform::store_row &Row, server_record &Record) {
    Record.Version = Row.Version;
    auto Decoded = platform::decodeServer(Id, Row.Value);
    Record.Entry.reset();
    if (Decoded) {
      if (Decoded.value().Draining)
        log(log_level::Info, "server_draining", {{"server", Id}});
      Record.Entry = Decoded.value();
    } else {
      log(log_level::Warning, "server_entry_unreadable",
          {{"server", Id}, {"reason", Decoded.error().message()}});
    }
  }

  void publishServers() {
    if (!Servers)
      return;
    runtime::time_point Now = Executor.clock().now();
    bool RecentlyReconnected = Now - Servers->reconnectedAt() < Options.ReregistrationTimeout &&
                               Servers->reconnectedAt() > StartedAt;
    bool MissingKept = false;
    std::vector<dispatch::server_entry> List;
    for (auto Iterator = ServerRecords.begin(); Iterator != ServerRecords.end();) {
      const server_record &Record = Iterator->second;
      bool Keep = !Record.MissingSince ||
                  (RecentlyReconnected && Now - *Record.MissingSince < Options.ReregistrationTimeout);
      MissingKept |= Keep && Record.MissingSince.has_value();
      if (Keep && Record.Entry)
        List.push_back(*Record.Entry);
      Iterator = Keep ? std::next(Iterator) : ServerRecords.erase(Iterator);
    }
    Vm.setServers(List, Servers->version());
    if (MissingKept && !PublishTimer)
      PublishTimer = Executor.after(Options.RetryDelay, Lifetime.guard([this] {
        PublishTimer = 0;
        publishServers();
      }));
  }

  [[nodiscard]] std::uint64_t rollCallVersion() const { return rowVersion(RollCallKey); }
  // Version of a row of the VMs' table; 0 if there is none.
  [[nodiscard]] std::uint64_t rowVersion(const std::string &Key) const {
    auto Found = Vms->rows().find(Key);
    return Found == Vms->rows().end() ? 0 : Found->second.Version;
  }

  struct vm_entry {
    dispatch::registered_vm Vm;
    std::uint32_t Term = 0;
  };

  struct vm_record {
    std::uint64_t Version = 0;
    std::optional<vm_entry> Entry;
  };

  static std::optional<vm_entry> decodeVm(const std::string &Value, std::uint64_t Version) {
    auto Document = nlohmann::json::parse(Value, nullptr, false);
    auto Text = [&](const char *Key) {
      return Document.contains(Key) && Document[Key].is_string() ? Document[Key].get<std::string>()
                                                                 : std::string();
    };
    // A number that does not fit counts as missing.
    auto Number = [&](const char *Key) {
      if (!Document.contains(Key) || !Document[Key].is_number_unsigned())
        return 0U;
      auto Value = Document[Key].get<std::uint64_t>();
      return Value <= std::numeric_limits<std::uint32_t>::max() ? static_cast<std::uint32_t>(Value) : 0U;
    };
    if (!Document.is_object() || Text("address").empty())
      return std::nullopt;
    return vm_entry{{Text("address"), Text("domain"), Number("strength"), Version,
                     dispatch::protocol_version{Number("protocol")}},
                    Number("term")};
  }

  // An unreadable entry removes the VM that an earlier entry of the same name described.
  void readVm(const std::string &Name, const platform::store_row &Row) {
    vm_record &Record = VmRecords[Name];
    if (std::exchange(Record.Version, Row.Version) == Row.Version)
      return;
    Record.Entry = decodeVm(Row.Value, Row.Version);
    if (!Record.Entry) {
      log(log_level::Warning, "vm_entry_unreadable", {{"vm", Name}});
      return;
    }
    if (Record.Entry->Term > dispatch::MaxTerm) {
      log(log_level::Warning, "vm_term_ignored",
          {{"vm", Name}, {"term", static_cast<std::int64_t>(Record.Entry->Term)}});
      return;
    }
    Vm.observeTerm(Record.Entry->Term);
    Term = std::max(Term, Record.Entry->Term);
  }

  void readVms() {
    Vm.setEvacuations(OperatorEvacuations.read(Vms->rows(), Vms->version()));
    std::erase_if(VmRecords, [this](const auto &Entry) { return !Vms->rows().contains(Entry.first); });
    for (const auto &[Name, Row] : Vms->rows())
      if (!evacuation_rows::isEvacuationKey(Name) && Name != RollCallKey)
        readVm(Name, Row);
    Vm.setRollCall(rollCallVersion());
    dispatch::registered_vms Others;
    for (const auto &[Name, Record] : VmRecords)
      if (Record.Entry && Name != Options.Vm)
        Others[Name] = Record.Entry->Vm;
    Vm.setRegisteredVms(Others);
    bool Listed = Vms->rows().contains(Options.Vm);
    bool RollCalled = rowVersion(Options.Vm) < rollCallVersion();
    // The entry is written after the first read, so that the term in the former entry is known before it is
    // overwritten.
    if (!std::exchange(FirstReadDone, true)) {
      Returning = Listed;
      writeEntry();
    } else if (Registered && (!Listed || RollCalled) && !Unregistering && !WritePending) {
      // Another VM assumed that this one was gone and removed its entry, or has called the roll.
      scheduleWrite();
    }
  }

  void writeEntry() {
    WritePending = true;
    nlohmann::json Row{{"address", Options.PeerAddress},
                       {"domain", Options.Domain},
                       {"strength", Options.Strength},
                       {"term", Term},
                       {"protocol", static_cast<std::uint32_t>(dispatch::CurrentProtocolVersion)}};
    Store.put(VmTable, Options.Vm, Row.dump(),
              Lifetime.guard([this](const auto &Version) { onWritten(Version); }));
    WrittenTerm = Term;
  }

  void onWritten(const runtime::result<std::uint64_t> &Version) {
    WritePending = false;
    if (Unregistering)
      return;
    if (!Version) {
      log(log_level::Warning, "registration_failed", {{"reason", Version.error().message()}});
      WrittenTerm = 0;
      scheduleWrite();
      return;
    }
    EntryVersion = Version.value();
    reportRegistration(Version.value());
    if (WrittenTerm != Term)
      scheduleWrite();
  }

  // Only the version of the first write is reported: store versions are unique and increase, so it serves as
  // the low part of this incarnation's fencing tokens.
  void reportRegistration(std::uint64_t Version) {
    if (std::exchange(Registered, true))
      return;
    log(log_level::Info, "vm_registered", {{"registration", static_cast<std::int64_t>(Version)}});
    Vm.setRegistration(Version, Returning);
  }

  void scheduleWrite() {
    WritePending = true;
    Executor.after(Options.RetryDelay, Lifetime.guard([this] {
      if (!Unregistering)
        writeEntry();
    }));
  }

  runtime::executor &Executor;
  platform::store_client &Store;
  dispatch::entry_vm &Vm;
  directory_options Options;
  runtime::time_point StartedAt = Executor.clock().now();
  std::unique_ptr<table_watch> Configuration;
  std::unique_ptr<table_watch> Servers;
  std::unique_ptr<table_watch> Vms;
  evacuation_rows PlatformEvacuations;
  evacuation_rows OperatorEvacuations;
  std::map<std::string, server_record> ServerRecords;
  std::map<std::string, vm_record> VmRecords;
  runtime::timer_id PublishTimer = 0;
  // Version of this VM's entry in the store; 0 before the entry is written.
  std::uint64_t EntryVersion = 0;
  std::uint32_t Term = 0;
  std::uint32_t WrittenTerm = 0;
  bool FirstReadDone = false;
  // The store held an entry of this VM before this process wrote one.
  bool Returning = false;
  // Names of VMs whose stale entries are being removed.
  std::set<std::string> PendingRemovals;
  bool Registered = false;
  bool RollCallPending = false;
  // A write is in flight or scheduled.
  bool WritePending = false;
  bool Unregistering = false;
  runtime::lifetime Lifetime;
};

} // namespace

std::unique_ptr<directory> makeDirectory(runtime::executor &Executor, platform::store_client &Store,
                                         dispatch::entry_vm &Vm, directory_options Options) {
  return std::make_unique<directory_impl>(Executor, Store, Vm, std::move(Options));
}

bool applyConfiguration(dispatch::entry_vm &Vm, const std::string &Document) {
  auto Decoded = platform::decodeConfiguration(Document);
  if (!Decoded) {
    log(log_level::Error, "configuration_unreadable", {{"reason", Decoded.error().message()}});
    return false;
  }
  return Vm.setConfiguration(std::move(Decoded.value()), Document);
}

} // namespace yuccaplank::entry
