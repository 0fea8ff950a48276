#include "server_catalog.hpp"
#include "server_entry_exchange.hpp"
#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

#include <map>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using std::chrono::milliseconds;
using testing::section;
using testing::test_case;

namespace {

server_entry entry(const std::string &Id, std::uint32_t Cpu) {
  server_entry Entry;
  Entry.Target = {Id, Id + ":1"};
  Entry.Pool = "pool";
  Entry.Domain = "d1";
  Entry.Rack = "r1";
  Entry.Capacity.set_cpu(Cpu);
  return Entry;
}

struct vm final : server_entry_ports {
  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  std::vector<std::pair<std::string, schema::dispatch_message>> Sent;
  std::vector<std::string> Sources;
  std::map<std::string, std::uint32_t> Cpu;
  bool Reads = true;
  bool Suspended = false;
  std::unique_ptr<server_entry_exchange> Exchange = makeServerEntryExchange(Executor->clock(), "vm", *this);

  void send(const std::string &Vm, schema::dispatch_message Message) override {
    Sent.emplace_back(Vm, std::move(Message));
  }
  [[nodiscard]] std::vector<std::string> sources() const override { return Sources; }
  void onEntriesChanged(const std::vector<server_entry> &Entries) override {
    Cpu.clear();
    for (const server_entry &Entry : Entries)
      Cpu[Entry.Target.Id] = Entry.Capacity.cpu();
  }
  void onReadingChanged(bool IsReading) override { Reads = IsReading; }
  void onStartsSuspended(bool IsSuspended) override { Suspended = IsSuspended; }

  void read(const std::vector<server_entry> &Entries, std::uint64_t Version) const {
    Exchange->setEntries(Entries, Version);
    Exchange->onRead(Version, Executor->clock().sinceBoot());
  }
  void failToRead() const { Exchange->onRead(std::nullopt, Executor->clock().sinceBoot()); }
  // Lets time pass in which the exchange is updated and the store turns the VM away.
  void advance(milliseconds Time) const {
    for (; Time > milliseconds::zero(); Time -= milliseconds(50)) {
      Executor->advance(milliseconds(50));
      failToRead();
    }
  }
  // Delivers the latest request to Source, and its answer.
  void answerBy(vm &Source) const {
    Source.Exchange->onRequest("vm", Sent.back().second.server_entries_request());
    Exchange->onChanges("source", Source.Sent.back().second.server_entries());
  }
};

// Guards against starts by a capacity that a server no longer has, on a VM that the store turns away while it
// serves others.
const test_case TurnedAway("server entry exchange: the store turns a VM away", [] {
  vm Vm;
  vm Source;
  for (vm *Each : {&Vm, &Source})
    Each->read({entry("s1", 96000), entry("s2", 64000)}, 10);
  Vm.Sources = {"a", "b"};
  Source.read({entry("s1", 52800), entry("s2", 64000)}, 20);
  CPPUNIT_ASSERT(Vm.Sent.empty());
  Vm.failToRead();
  CPPUNIT_ASSERT(!Vm.Reads);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Sent.size());
  if (auto When = section("it learns only what has changed, from one other VM")) {
    Vm.answerBy(Source);
    CPPUNIT_ASSERT_EQUAL(1, Source.Sent.back().second.server_entries().changed_size());
    CPPUNIT_ASSERT_EQUAL(52800U, Vm.Cpu.at("s1"));
    CPPUNIT_ASSERT_EQUAL(64000U, Vm.Cpu.at("s2"));
    if (auto Then = section("and what it reads later undoes nothing while it is older")) {
      Vm.read({entry("s1", 96000), entry("s2", 64000)}, 15);
      CPPUNIT_ASSERT_EQUAL(52800U, Vm.Cpu.at("s1"));
      Vm.read({entry("s1", 80000), entry("s2", 64000)}, 21);
      CPPUNIT_ASSERT_EQUAL(80000U, Vm.Cpu.at("s1"));
      CPPUNIT_ASSERT(Vm.Reads);
    }
    if (auto Then = section("and an answer that comes late undoes nothing")) {
      Source.read({entry("s1", 80000), entry("s2", 64000)}, 30);
      schema::server_entries Late = Source.Sent.back().second.server_entries();
      Vm.advance(milliseconds(500));
      Vm.answerBy(Source);
      Vm.Exchange->onChanges("source", Late);
      CPPUNIT_ASSERT_EQUAL(80000U, Vm.Cpu.at("s1"));
    }
    if (auto Then = section("and a server that is removed is no longer listed, until it is back")) {
      Source.read({entry("s2", 64000)}, 30);
      Vm.advance(milliseconds(500));
      Vm.answerBy(Source);
      CPPUNIT_ASSERT(!Vm.Cpu.contains("s1"));
      Source.read({entry("s1", 40000), entry("s2", 64000)}, 31);
      Vm.advance(milliseconds(500));
      Vm.answerBy(Source);
      CPPUNIT_ASSERT_EQUAL(40000U, Vm.Cpu.at("s1"));
    }
  }
  if (auto When = section("a VM that does not answer is followed by another one")) {
    Vm.advance(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Vm.Sent.size());
    CPPUNIT_ASSERT(Vm.Sent[0].first != Vm.Sent[1].first);
  }
  if (auto When = section("a VM that is turned away, too, answers nothing")) {
    Source.failToRead();
    Source.Exchange->onRequest("vm", Vm.Sent.back().second.server_entries_request());
    CPPUNIT_ASSERT(Source.Sent.empty());
  }
  if (auto When = section("a VM that reads the store again requests nothing")) {
    Vm.read({entry("s1", 52800), entry("s2", 64000)}, 20);
    Vm.Executor->advance(milliseconds(600));
    Vm.Exchange->update();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Vm.Sent.size());
  }
});

// Guards against starts by old entries when other VMs know newer ones and do not answer, and against VMs that
// cease to serve although nobody can know anything newer.
const test_case Suspension("server entry exchange: starts by old entries", [] {
  vm Vm;
  Vm.read({entry("s1", 96000)}, 10);
  if (auto Given = section("given another VM that reads the store and does not answer")) {
    Vm.Sources = {"a"};
    Vm.advance(milliseconds(2350));
    CPPUNIT_ASSERT(!Vm.Suspended);
    Vm.advance(milliseconds(50));
    CPPUNIT_ASSERT(Vm.Suspended);
    if (auto When = section("when it answers, starts go on although nothing has changed")) {
      vm Source;
      Source.read({entry("s1", 96000)}, 12);
      Vm.answerBy(Source);
      CPPUNIT_ASSERT(!Vm.Suspended);
    }
    if (auto When = section("when contact with it ends, starts go on")) {
      Vm.Sources.clear();
      Vm.Exchange->update();
      CPPUNIT_ASSERT(!Vm.Suspended);
    }
    if (auto When = section("when this VM reads the store again, starts go on")) {
      Vm.read({entry("s1", 96000)}, 12);
      CPPUNIT_ASSERT(!Vm.Suspended);
    }
  }
  if (auto Given = section("given a store that serves nobody, starts go on")) {
    Vm.advance(milliseconds(10'000));
    CPPUNIT_ASSERT(!Vm.Suspended);
    CPPUNIT_ASSERT(Vm.Sent.empty());
  }
  if (auto Given = section("given a pause, starts wait for a read that was sent after it")) {
    Vm.Sources = {"a"};
    auto SentAt = Vm.Executor->clock().sinceBoot();
    Vm.Executor->advance(milliseconds(500));
    Vm.Exchange->onPause();
    CPPUNIT_ASSERT(Vm.Suspended);
    Vm.Exchange->onRead(10, SentAt);
    CPPUNIT_ASSERT(Vm.Suspended);
    Vm.Executor->advance(milliseconds(10));
    Vm.read({entry("s1", 96000)}, 10);
    CPPUNIT_ASSERT(!Vm.Suspended);
  }
});

} // namespace
