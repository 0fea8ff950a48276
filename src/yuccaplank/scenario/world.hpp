// Surroundings of a scenario: entry nodes with the real decision code, and fakes at their interfaces, on a
// paused clock.
#pragma once

#include "backend_fakes.hpp"
#include "vm_executor.hpp"
#include "yuccaplank/node/entry_node.hpp"
#include "yuccaplank/storage/fake_table.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace yuccaplank::scenario {

struct world_options {
  std::vector<std::string> Domains{"d1", "d2"};
  int VmsPerDomain = 2;
  int ServersPerDomain = 4;
  int Slots = 8;
  std::vector<double> Speeds{1, 2, 4};
  std::uint64_t Seed = 1;
  double LatencyMs = 0.5;
  /// One dispatcher for all failure domains.
  bool OneDispatcher = false;
};

/// A submission as its caller sees it.
struct submission_record {
  std::string Id;
  std::string Vm;
  schema::job Job;
  bool Answered = false;
  // The VM ended before it answered: the caller's connection closed.
  bool ConnectionLost = false;
  schema::job_answer Answer;
  double TookMs = 0;
};

struct apply_record {
  bool Answered = false;
  std::string Outcome;
  std::uint64_t Revision = 0;
};

class world {
  // Declared first, since the fakes are made with it.
  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();

public:
  explicit world(const world_options &Options);
  ~world();

  // Time.
  void run(double Milliseconds);
  [[nodiscard]] double nowMs() const;

  // VMs are named "<domain>-<number>", servers "<domain>-s<number>".
  void startVm(const std::string &Name);
  void killVm(const std::string &Name, bool Silent);
  void pauseVm(const std::string &Name);
  void resumeVm(const std::string &Name);
  void drainVm(const std::string &Name);
  void listVm(const std::string &Name, bool Listed);
  void separate(const std::string &Domain, bool FromPlatform);
  void heal();

  node::entry_node &node(const std::string &Vm);
  [[nodiscard]] bool drained(const std::string &Vm) const { return Drained.contains(Vm); }

  // Callers.
  std::vector<std::string> issueIds(const std::string &Vm, int Count);
  std::size_t submit(const std::string &Vm, const std::string &Id, const schema::job &Job);
  void cancel(const std::string &Vm, const std::string &Id);
  std::size_t query(const std::string &Vm, const std::string &Id);

  // Operators.
  std::size_t apply(const std::string &Vm, const schema::service_document &Document, std::uint64_t Expected,
                    const std::string &ChangeId);

  /// Every breach of a promise so far, one line each.
  [[nodiscard]] std::vector<std::string> breaches() const;

  runtime::manual_executor &executor() { return *Executor; }
  storage::fake_platform &platformFake() { return *Platform; }
  void backup() { Backup = storage::writeBackup(Platform->state()); }
  void restore();
  backend_fakes Servers{*Executor};
  std::vector<submission_record> Submissions;
  std::vector<apply_record> Applies;

private:
  struct vm;
  class vm_ports;
  friend class vm_ports;

  [[nodiscard]] bool connected(const std::string &DomainA, const std::string &DomainB) const;
  void deliver(vm &From, const std::string &Vm, const std::string &Address, schema::envelope Message);
  vm *findVm(const std::string &Vm, const std::string &Address);
  void updateVmList();
  std::size_t record(const std::string &Vm, const std::string &Id, const schema::job &Job);
  node::answer_function recorder(std::size_t Index);

  world_options Options;
  std::shared_ptr<storage::fake_platform> Platform;
  std::string Backup;
  std::map<std::string, std::unique_ptr<vm>> Vms;
  // Ended VMs are kept, since callbacks of the fakes may still name them.
  std::vector<std::unique_ptr<vm>> Ended;
  std::set<std::string> Separated;
  std::set<std::string> CutFromPlatform;
  std::set<std::string> Listed;
  std::set<std::string> Drained;
  std::uint32_t LastNonce = 0;
};

} // namespace yuccaplank::scenario
