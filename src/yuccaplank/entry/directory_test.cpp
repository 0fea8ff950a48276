#include "directory.hpp"
#include "yuccaplank/testing/test_case.hpp"
#include "yuccaplank/testing/unanswered_orders.hpp"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <map>

using namespace yuccaplank;
using namespace yuccaplank::entry;
using platform::store_page;
using platform::store_row;
using runtime::result;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

constexpr const char *VmTable = "yuccaplank_vms";

// A store that holds calls until the test answers them.
struct store final : platform::store_client {
  using page_handler = std::function<void(result<store_page>)>;
  using write_handler = std::function<void(result<std::uint64_t>)>;
  struct write {
    std::string Key;
    std::uint64_t Version = 0;
    write_handler OnDone;
    std::string Value = {};
  };
  std::map<std::string, page_handler> Reads;
  std::map<std::string, page_handler> Feeds;
  std::vector<write> Puts;
  std::vector<write> Replacements;
  std::vector<write> Removals;

  void rows(const std::string &Table, const std::string &, page_handler OnDone) override {
    Reads[Table] = std::move(OnDone);
  }
  void changes(const std::string &Table, std::uint64_t, runtime::duration, page_handler OnDone) override {
    Feeds[Table] = std::move(OnDone);
  }
  void put(const std::string &, const std::string &Key, const std::string &Value,
           write_handler OnDone) override {
    Puts.push_back({Key, 0, std::move(OnDone), Value});
  }
  void replace(const std::string &, const std::string &Key, const std::string &, std::uint64_t Version,
               write_handler OnDone) override {
    Replacements.push_back({Key, Version, std::move(OnDone)});
  }
  void remove(const std::string &, const std::string &Key, std::uint64_t Version,
              write_handler OnDone) override {
    Removals.push_back({Key, Version, std::move(OnDone)});
  }

  static void answer(std::map<std::string, page_handler> &Calls, std::vector<store_row> Rows,
                     std::uint64_t Version, const std::string &Table = VmTable) {
    auto Handler = std::move(Calls.at(Table));
    Calls.erase(Table);
    Handler(store_page{std::move(Rows), Version, false});
  }
};

store_row row(const std::string &Name, std::uint64_t Version, const std::string &Value) {
  store_row Row;
  Row.Key = Name;
  Row.Version = Version;
  Row.Value = Value;
  return Row;
}

struct vm final : dispatch::entry_vm_ports {
  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  store Store;
  testing::unanswered_orders Orders;
  std::vector<std::string> Contacted;
  std::unique_ptr<dispatch::entry_vm> Entry;
  std::unique_ptr<directory> Directory;

  vm() {
    dispatch::entry_vm_options Options;
    Options.Vm = "vm1";
    Options.Address = "vm1:1";
    Options.Domain = "d1";
    Entry = dispatch::makeEntryVm(*Executor, *this, Options);
    Directory = makeDirectory(*Executor, Store, *Entry, {"vm1", "vm1:1", "d1", 500, {"d1", "d2"}});
  }
  void send(const std::string &, const std::string &Address, schema::dispatch_message) override {
    Contacted.push_back(Address);
  }
  void disconnect(const std::string &) override {}
  dispatch::server_orders &orders() override { return Orders; }
  void answer(dispatch::job_id, const dispatch::job_answer &) override {}
  void onTermRaised(std::uint32_t) override {}
  void onServersNeeded(bool Needed) override { Directory->setServerWatch(Needed); }
  void onStaleRegistration(const std::string &Name) override { Directory->removeStaleEntry(Name); }
  void onRollCallNeeded() override { Directory->callRoll(); }
  void onConfigurationOffered(const schema::configuration_copy &) override {}

  [[nodiscard]] bool contacted(const std::string &Address) const {
    return std::ranges::find(Contacted, Address) != Contacted.end();
  }
};

constexpr const char *Configuration = R"({"version":1,"routes":[],"services":{},"limits":{}})";
constexpr const char *OtherEntry = R"({"address":"vm2:1","domain":"d1","strength":500,"term":3})";

// Guards against a VM that the others cannot discover because its entry is missing, and against entries that
// remain in the store after their VMs are gone.
const test_case Entries("directory: the entries of VMs are read, written and removed", [] {
  vm Vm;
  Vm.Store.answer(Vm.Store.Reads, {row("vm2", 4, OtherEntry), row("vm3", 5, "not readable")}, 5);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Store.Puts.size());
  Vm.Store.Puts.front().OnDone(std::uint64_t{6});
  if (auto Then = section("VMs with a readable entry are contacted, others are ignored")) {
    CPPUNIT_ASSERT(Vm.contacted("vm2:1"));
    CPPUNIT_ASSERT_EQUAL(std::string::npos, Vm.Entry->report().DebugString().find("vm3"));
  }
  if (auto When = section("when another VM removes this VM's entry, it is written again")) {
    Vm.Store.answer(Vm.Store.Feeds, {row("vm1", 6, "{}")}, 6);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Store.Puts.size());
    Vm.Executor->advance(milliseconds(300));
    store_row Removed = row("vm1", 9, "");
    Removed.Deleted = true;
    Vm.Store.answer(Vm.Store.Feeds, {Removed}, 9);
    Vm.Executor->advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Vm.Store.Puts.size());
  }
  if (auto When = section(
          "when a VM is reported as gone, its entry is removed once and only at the version that was read")) {
    Vm.Directory->removeStaleEntry("vm2");
    Vm.Directory->removeStaleEntry("vm2");
    Vm.Directory->removeStaleEntry("unknown");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Store.Removals.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, Vm.Store.Removals.front().Version);
  }
});

// Guards against VMs that stay out of the choice of dispatchers although they are alive, and against roll
// calls of several VMs that make each other's answers void.
const test_case RollCalls("directory: a roll call", [] {
  vm Vm;
  if (auto When = section("when another VM calls the roll, this VM registers again, once")) {
    Vm.Store.answer(Vm.Store.Reads, {row("vm2", 4, OtherEntry)}, 5);
    Vm.Store.Puts.front().OnDone(std::uint64_t{6});
    Vm.Store.answer(Vm.Store.Feeds, {row("vm1", 6, OtherEntry)}, 6);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Store.Puts.size());
    Vm.Executor->advance(milliseconds(300));
    Vm.Store.answer(Vm.Store.Feeds, {row("roll_call", 9, "{}")}, 9);
    Vm.Executor->advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Vm.Store.Puts.size());
    Vm.Store.Puts.back().OnDone(std::uint64_t{10});
    Vm.Store.answer(Vm.Store.Feeds, {row("vm1", 10, OtherEntry)}, 10);
    Vm.Executor->advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Vm.Store.Puts.size());
  }
  if (auto Given = section("given a place that only dead VMs have")) {
    std::vector<store_row> Dead;
    for (const char *Name : {"va", "vb", "vc"})
      Dead.push_back(row(Name, 4, R"({"address":"dead:1","domain":"d1","strength":2000,"term":3})"));
    Vm.Store.answer(Vm.Store.Reads, Dead, 5);
    Vm.Store.Puts.front().OnDone(std::uint64_t{6});
    Vm.Executor->advance(milliseconds(4500));
    if (auto Then = section("this VM calls the roll, unless another one has called it meanwhile")) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Store.Replacements.size());
      CPPUNIT_ASSERT_EQUAL(std::string("roll_call"), Vm.Store.Replacements.at(0).Key);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Vm.Store.Replacements.at(0).Version);
    }
    if (auto Then = section("and dispatches when the time to answer is over")) {
      CPPUNIT_ASSERT(!Vm.Entry->state().Dispatching);
      Vm.Store.answer(Vm.Store.Feeds, {row("vm1", 6, OtherEntry), row("roll_call", 9, "{}")}, 9);
      Vm.Executor->advance(milliseconds(2100));
      CPPUNIT_ASSERT(Vm.Entry->state().Dispatching);
    }
  }
});

// Guards against the removal of an entry whose VM this one has just read of and cannot have heard yet.
const test_case NewEntry("directory: the entry of a VM that starts", [] {
  vm Vm;
  Vm.Store.answer(Vm.Store.Reads, {row("config", 3, Configuration)}, 5, "op");
  Vm.Store.answer(Vm.Store.Reads, {}, 5);
  Vm.Store.Puts.front().OnDone(std::uint64_t{6});
  Vm.Executor->advance(milliseconds(20'000));
  CPPUNIT_ASSERT(Vm.Entry->state().Placing);
  Vm.Store.answer(Vm.Store.Feeds, {row("vm2", 7, OtherEntry)}, 7);
  if (auto Then = section("it is not removed before its VM has had time to answer")) {
    Vm.Executor->advance(milliseconds(14'000));
    CPPUNIT_ASSERT(Vm.Store.Removals.empty());
  }
  if (auto Then = section("and removed if its VM stays silent")) {
    Vm.Executor->advance(milliseconds(16'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Store.Removals.size());
  }
});

std::string nested(std::size_t Depth) { return std::string(Depth, '[') + std::string(Depth, ']'); }

// Guards against a process that ends, or stops following a table, because of an entry of another writer.
const test_case OddEntries("directory: odd entries among those of VMs and servers", [] {
  vm Vm;
  // A value of the store has up to 65,536 bytes.
  constexpr std::size_t Depth = 32'000;
  auto Entry = [](const std::string &Fields) {
    return R"({"address":"odd:1","domain":"d1",)" + Fields + "}";
  };
  if (auto Given = section("given numbers out of range in VMs' entries, this VM's own term stays in range")) {
    std::vector<store_row> Rows;
    for (const char *Number : {"4294967295", "4294967296", "9223372036854775808", "18446744073709551615",
                               "18446744073709551616", "1e300", "-1", "1e999", "0.5", "null", "\"7\""}) {
      std::string Name = std::string("odd") + Number;
      Rows.push_back(row(Name + "a", 4, Entry(std::string(R"("strength":500,"term":)") + Number)));
      Rows.push_back(row(Name + "b", 4, Entry(std::string(R"("term":3,"strength":)") + Number)));
    }
    Rows.push_back(row("deep", 4, Entry(R"("term":)" + nested(Depth))));
    Rows.push_back(row("deeper", 4, nested(Depth)));
    Vm.Store.answer(Vm.Store.Reads, Rows, 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Store.Puts.size());
    CPPUNIT_ASSERT(Vm.Store.Puts.at(0).Value.find(R"("term":3)") != std::string::npos);
    Vm.Store.Puts.at(0).OnDone(std::uint64_t{6});
    if (auto Then = section("and the table is followed")) {
      Vm.Executor->advance(milliseconds(300));
      Vm.Store.answer(Vm.Store.Feeds, {row("vm2", 7, R"({"address":"vm2:1","domain":"d2"})")}, 7);
      Vm.Executor->advance(milliseconds(1000));
      CPPUNIT_ASSERT(Vm.contacted("vm2:1"));
    }
  }
  if (auto Given = section("given odd entries of servers, the others are used")) {
    Vm.Store.answer(Vm.Store.Reads, {}, 5);
    Vm.Store.Puts.at(0).OnDone(std::uint64_t{6});
    Vm.Executor->advance(milliseconds(800));
    const std::string Start = R"({"service":"s","zone":"d1","state":"ready",)";
    std::vector<store_row> Rows{
        row("good", 4, Start + R"("address":"10.0.0.1:80","capacity":{"cpu":1000,"memory_limit_mb":1}})")};
    for (const char *Cpu : {"4294967296", "1e300", "-1", "18446744073709551616", "[]"})
      Rows.push_back(row(std::string("cpu") + Cpu, 4,
                         Start + R"("address":"10.0.0.2:80","capacity":{"cpu":)" + Cpu + "}}"));
    for (const char *Born : {"9223372036854775808", "9.3e18", "18446744073709551615", "1e300", "-1"})
      Rows.push_back(
          row(std::string("born") + Born, 4,
              Start + R"("address":"10.0.0.2:80","capacity":{"cpu":1},"born":)" + std::string(Born) + "}"));
    for (const char *Address : {"10.0.0.2:99999", "10.0.0.2:-1", "10.0.0.2:18446744073709551616", "10.0.0.2",
                                ":80", "", "10.0.0.2:80:80", "10.0.0.2\\u0000x:80", "[::1:80"})
      Rows.push_back(row(std::string("at") + Address, 4,
                         Start + R"("capacity":{"cpu":1},"address":")" + Address + R"("})"));
    Rows.push_back(row("deep", 4, Start + R"("capacity":)" + nested(Depth) + "}"));
    Vm.Store.answer(Vm.Store.Reads, Rows, 5, "servers");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Entry->state().Servers.Listed);
  }
});

// Guards against VMs that read the server table without dispatching: the cost of these reads grows with the
// number of VMs times the number of servers.
const test_case Servers("directory: only VMs that dispatch read the servers", [] {
  vm Vm;
  CPPUNIT_ASSERT(!Vm.Store.Reads.contains("servers"));
  Vm.Store.answer(Vm.Store.Reads, {row("vm2", 4, OtherEntry)}, 5);
  CPPUNIT_ASSERT(!Vm.Store.Reads.contains("servers"));
  Vm.Store.Puts.front().OnDone(std::uint64_t{6});
  if (auto When = section(
          "a VM that registers for the first time waits for the other VMs' entries before it reads them"))
    CPPUNIT_ASSERT(!Vm.Store.Reads.contains("servers"));
  if (auto When = section("a VM that has become a dispatcher reads them")) {
    Vm.Executor->advance(milliseconds(800));
    CPPUNIT_ASSERT(Vm.Store.Reads.contains("servers"));
  }
});

std::vector<std::string> evacuatedDomains(const vm &Vm) {
  std::vector<std::string> Domains;
  schema::fleet_report Report = Vm.Entry->report();
  for (const schema::evacuation_report &Evacuation : Report.evacuations())
    Domains.push_back(Evacuation.domain());
  return Domains;
}

using names = std::vector<std::string>;

// Guards against evacuations that the platform's operators request and this VM does not see, against a
// configuration that is in force before them, and against rows that stop a domain by mistake.
const test_case PlatformEvacuations("directory: the platform's evacuations are read", [] {
  vm Vm;
  Vm.Store.answer(Vm.Store.Reads, {row("config", 3, Configuration), row("evacuate/d1", 5, "{}")}, 5, "op");
  CPPUNIT_ASSERT(Vm.Entry->currentConfiguration() != nullptr);
  CPPUNIT_ASSERT((names{"d1"} == evacuatedDomains(Vm)));
  store_row Removed = row("evacuate/d1", 9, "");
  Removed.Deleted = true;
  if (auto When = section("when the row is removed, the domain is taken back")) {
    Vm.Store.answer(Vm.Store.Feeds, {Removed}, 9, "op");
    CPPUNIT_ASSERT(evacuatedDomains(Vm).empty());
  }
  if (auto When = section("when the store has forgotten the removal, a read without the row takes it back")) {
    auto Feed = std::move(Vm.Store.Feeds.at("op"));
    Feed(make_error_code(runtime::errc::NotFound));
    Vm.Store.answer(Vm.Store.Reads, {row("config", 3, Configuration)}, 12, "op");
    CPPUNIT_ASSERT(evacuatedDomains(Vm).empty());
  }
  if (auto When =
          section("when a row names no known domain or cannot be read, it is counted, with no effect")) {
    Vm.Store.answer(Vm.Store.Feeds, {row("evacuate/d7", 10, "{}"), row("evacuate/d2", 11, "not readable")},
                    11, "op");
    CPPUNIT_ASSERT((names{"d1"} == evacuatedDomains(Vm)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Vm.Directory->ignoredEvacuations());
    Vm.Executor->advance(milliseconds(1000));
    Vm.Store.answer(Vm.Store.Feeds, {Removed}, 12, "op");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Vm.Directory->ignoredEvacuations());
  }
});

// Guards against evacuations through this VM that change nothing or the wrong row, and against input that is
// accepted although it means nothing.
const test_case OperatorEvacuations("directory: evacuations through this VM", [] {
  vm Vm;
  Vm.Store.answer(Vm.Store.Reads, {row("evacuate/d2", 4, "{}")}, 4);
  Vm.Store.Puts.clear();
  std::error_code Outcome = runtime::errc::Internal;
  auto Set = [&](const char *Domain, bool Evacuate) {
    Vm.Directory->setEvacuation(Domain, Evacuate, [&](std::error_code Error) { Outcome = Error; });
  };
  CPPUNIT_ASSERT((names{"d2"} == evacuatedDomains(Vm)));
  if (auto When = section("a domain is evacuated by a row in the store")) {
    Set("d1", true);
    CPPUNIT_ASSERT_EQUAL(std::string("evacuate/d1"), Vm.Store.Puts.at(0).Key);
    Vm.Store.Puts.at(0).OnDone(std::uint64_t{6});
    CPPUNIT_ASSERT(!Outcome);
  }
  if (auto When = section("and taken back by removing the row at the version that was read")) {
    Set("d2", false);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, Vm.Store.Removals.at(0).Version);
    Vm.Store.Removals.at(0).OnDone(make_error_code(runtime::errc::PlatformUnavailable));
    CPPUNIT_ASSERT(Outcome == runtime::errc::PlatformUnavailable);
  }
  if (auto When = section("a request that changes nothing is refused with the reason")) {
    Set("d7", true);
    CPPUNIT_ASSERT(Outcome == runtime::errc::UnknownDomain);
    Set("d2", true);
    CPPUNIT_ASSERT(Outcome == runtime::errc::AlreadyEvacuated);
    Set("d1", false);
    CPPUNIT_ASSERT(Outcome == runtime::errc::NotEvacuated);
    CPPUNIT_ASSERT(Vm.Store.Puts.empty() && Vm.Store.Removals.empty());
  }
});

} // namespace
