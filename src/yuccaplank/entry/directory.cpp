#include "directory.hpp"
#include "table_watch.hpp"
#include "yuccaplank/platform/documents.hpp"
#include "yuccaplank/runtime/lifetime.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace yuccaplank::entry {
namespace {

using runtime::log;
using runtime::log_level;

// Table of this product in the platform's store; one row for each VM that runs.
constexpr const char *VmTable = "yuccaplank_vms";
constexpr auto ConfigurationWait = std::chrono::seconds(1);
// VMs that relay are told of a newer configuration by those that dispatch.
constexpr auto RelayedConfigurationWait = std::chrono::seconds(8);
// New VMs make themselves known to those that they know.
constexpr auto VmWait = std::chrono::seconds(8);
// Servers write their entries all the time; one that begins to leave has to be noticed within 2 s.
constexpr auto ServerInterval = std::chrono::milliseconds(500);

class directory_impl final : public directory {
public:
  directory_impl(runtime::executor &Executor, platform::store_client &Store, dispatch::entry_vm &Vm,
                 directory_options OptionsIn)
      : Executor(Executor), Store(Store), Vm(Vm), Options(std::move(OptionsIn)) {
    table_watch_options Watch;
    Watch.Table = platform::OperatorTable;
    Watch.Wait = RelayedConfigurationWait;
    Configuration = makeTableWatch(Executor, Store, Watch, [this] { readConfiguration(); });
    Watch.Table = VmTable;
    Watch.Wait = VmWait;
    // All VMs of a fleet may register at the same time.
    Watch.Interval = std::chrono::milliseconds(200);
    Vms = makeTableWatch(Executor, Store, Watch, [this] { readVms(); });
  }
  directory_impl(const directory_impl &) = delete;
  directory_impl &operator=(const directory_impl &) = delete;
  ~directory_impl() override = default;

  void followServers(bool Follows) override {
    Configuration->setWait(Follows ? runtime::duration(ConfigurationWait) : RelayedConfigurationWait);
    if (!Follows) {
      Servers.reset();
      Entries.clear();
      Vm.setServers({});
      return;
    }
    table_watch_options Watch;
    Watch.Table = platform::ServerTable;
    Watch.Interval = ServerInterval;
    Servers = makeTableWatch(Executor, Store, Watch, [this] { readServers(); });
  }

  void removeStale(const std::string &Name) override {
    auto Found = Vms->rows().find(Name);
    if (Found == Vms->rows().end() || !Vms->current() || !Removing.insert(Name).second)
      return;
    log(log_level::Warning, "stale_vm_removed", {{"vm", Name}});
    Store.remove(VmTable, Name, Found->second.Version,
                 Lifetime.guard([this, Name](const auto &) { Removing.erase(Name); }));
  }

  void setTerm(std::uint32_t Raised) override {
    Term = std::max(Term, Raised);
    if (Registered && !Writing && WrittenTerm != Term)
      writeLater();
  }

  void unregister(std::function<void()> OnDone) override {
    Leaving = true;
    if (EntryVersion == 0) {
      OnDone();
      return;
    }
    Store.remove(VmTable, Options.Vm, EntryVersion, [OnDone = std::move(OnDone)](const auto &) { OnDone(); });
  }

private:
  void readConfiguration() {
    auto Found = Configuration->rows().find(platform::ConfigurationKey);
    if (Found != Configuration->rows().end())
      applyConfiguration(Vm, Found->second.Value);
  }

  void readServers() {
    runtime::time_point Now = Executor.clock().now();
    std::set<std::string> Listed;
    for (const auto &[Id, Row] : Servers->rows()) {
      known_server &Known = Entries[Id];
      Listed.insert(Id);
      Known.MissingSince.reset();
      if (Known.Version != Row.Version)
        readServer(Id, Row, Known);
    }
    for (auto &[Id, Known] : Entries)
      if (!Listed.contains(Id) && !Known.MissingSince)
        Known.MissingSince = Now;
    publishServers();
  }

  struct known_server {
    std::uint64_t Version = 0;
    std::optional<dispatch::server_entry> Entry;
    std::optional<runtime::time_point> MissingSince;
  };

  // An entry that cannot be read names no server; the server of an earlier entry under the same key is gone.
  void readServer(const std::string &Id, const platform::store_row &Row, known_server &Known) {
    Known.Version = Row.Version;
    auto Decoded = platform::decodeServer(Id, Row.Value);
    Known.Entry.reset();
    if (Decoded) {
      if (Decoded.value().Draining)
        log(log_level::Info, "server_draining", {{"server", Id}});
      Known.Entry = Decoded.value();
    } else {
      log(log_level::Warning, "server_entry_unreadable",
          {{"server", Id}, {"reason", Decoded.error().message()}});
    }
  }

  void publishServers() {
    if (!Servers)
      return;
    runtime::time_point Now = Executor.clock().now();
    bool StoreWasAway =
        Now - Servers->regainedAt() < Options.RegisterAgainTime && Servers->regainedAt() > StartedAt;
    bool Kept = false;
    std::vector<dispatch::server_entry> List;
    for (auto Iterator = Entries.begin(); Iterator != Entries.end();) {
      const known_server &Known = Iterator->second;
      bool Keep =
          !Known.MissingSince || (StoreWasAway && Now - *Known.MissingSince < Options.RegisterAgainTime);
      Kept |= Keep && Known.MissingSince.has_value();
      if (Keep && Known.Entry)
        List.push_back(*Known.Entry);
      Iterator = Keep ? std::next(Iterator) : Entries.erase(Iterator);
    }
    Vm.setServers(List);
    if (Kept && !PublishTimer)
      PublishTimer = Executor.after(Options.RetryDelay, Lifetime.guard([this] {
        PublishTimer = 0;
        publishServers();
      }));
  }

  struct vm_row {
    dispatch::registered_vm Vm;
    std::uint32_t Term = 0;
  };

  struct known_vm_row {
    std::uint64_t Version = 0;
    std::optional<vm_row> Row;
  };

  static std::optional<vm_row> decodeVm(const std::string &Value) {
    auto Document = nlohmann::json::parse(Value, nullptr, false);
    auto Text = [&](const char *Key) {
      return Document.contains(Key) && Document[Key].is_string() ? Document[Key].get<std::string>()
                                                                 : std::string();
    };
    auto Number = [&](const char *Key) {
      bool Fits = Document.contains(Key) && Document[Key].is_number_unsigned();
      return Fits ? Document[Key].get<std::uint32_t>() : 0U;
    };
    if (!Document.is_object() || Text("address").empty())
      return std::nullopt;
    return vm_row{{Text("address"), Text("domain"), Number("strength")}, Number("term")};
  }

  // An entry that cannot be read names no VM.
  void readVm(const std::string &Name, const platform::store_row &Row) {
    known_vm_row &Known = VmRows[Name];
    if (std::exchange(Known.Version, Row.Version) == Row.Version)
      return;
    Known.Row = decodeVm(Row.Value);
    if (!Known.Row) {
      log(log_level::Warning, "vm_entry_unreadable", {{"vm", Name}});
      return;
    }
    Vm.observeTerm(Known.Row->Term);
    Term = std::max(Term, Known.Row->Term);
  }

  void readVms() {
    std::erase_if(VmRows, [this](const auto &Entry) { return !Vms->rows().contains(Entry.first); });
    for (const auto &[Name, Row] : Vms->rows())
      readVm(Name, Row);
    dispatch::registered_vms Others;
    for (const auto &[Name, Known] : VmRows)
      if (Known.Row && Name != Options.Vm)
        Others[Name] = Known.Row->Vm;
    Vm.setRegisteredVms(Others);
    bool Listed = Vms->rows().contains(Options.Vm);
    // After the first read, so that the former entry's term is known before it is overwritten.
    if (!std::exchange(Registering, true)) {
      Returning = Listed;
      writeEntry();
    } else if (Registered && !Listed && !Leaving && !Writing) {
      // Another VM took this one as removed.
      writeLater();
    }
  }

  void writeEntry() {
    Writing = true;
    nlohmann::json Row{{"address", Options.PeerAddress},
                       {"domain", Options.Domain},
                       {"strength", Options.Strength},
                       {"term", Term}};
    Store.put(VmTable, Options.Vm, Row.dump(),
              Lifetime.guard([this](const auto &Version) { onWritten(Version); }));
    WrittenTerm = Term;
  }

  void onWritten(const runtime::result<std::uint64_t> &Version) {
    Writing = false;
    if (Leaving)
      return;
    if (!Version) {
      log(log_level::Warning, "registration_failed", {{"reason", Version.error().message()}});
      WrittenTerm = 0;
      writeLater();
      return;
    }
    EntryVersion = Version.value();
    noteRegistration(Version.value());
    if (WrittenTerm != Term)
      writeLater();
  }

  // The version of the first entry is unique and rises, which makes it the low part of this incarnation's
  // fencing tokens.
  void noteRegistration(std::uint64_t Version) {
    if (std::exchange(Registered, true))
      return;
    log(log_level::Info, "vm_registered", {{"registration", static_cast<std::int64_t>(Version)}});
    Vm.setRegistration(Version, Returning);
  }

  void writeLater() {
    Writing = true;
    Executor.after(Options.RetryDelay, Lifetime.guard([this] {
      if (!Leaving)
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
  std::map<std::string, known_server> Entries;
  std::map<std::string, known_vm_row> VmRows;
  runtime::timer_id PublishTimer = 0;
  // Of the entry in the store; 0 before it is written.
  std::uint64_t EntryVersion = 0;
  std::uint32_t Term = 0;
  std::uint32_t WrittenTerm = 0;
  bool Registering = false;
  // This VM's entry was there before this process wrote one.
  bool Returning = false;
  // Stale entries whose removal is under way.
  std::set<std::string> Removing;
  bool Registered = false;
  // A write is under way or about to be made.
  bool Writing = false;
  bool Leaving = false;
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
