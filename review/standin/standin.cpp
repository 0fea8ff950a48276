// Stand-ins of the review's cases, and the cases themselves. One program, so that a case has one thing to
// build.
#include "common.hpp"
#include "deployment.hpp"
#include "record.hpp"
#include "store.hpp"
#include "worker.hpp"

#include <iostream>

[[noreturn]] void failCase(const std::string &Reason) {
  std::cerr << "the case could not run: " << Reason << "\n";
  std::_Exit(2);
}

namespace {

bool troubled() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

int verdict(bool Broken, const std::string &Rule) {
  std::cout << Rule << (Broken ? " broken" : " held") << "\n";
  return Broken ? 1 : 0;
}

// Counts the workers' orders in the disruptions, and ends the case if more of them were late than the site
// allows.
void checkLateShare(const record &Record, const std::vector<double> &Begins, double LateForMs) {
  std::size_t Orders = 0, LateOrders = 0;
  for (const auto &Word : Record.Lines) {
    double Time = std::stod(Word[0]);
    if ((Word[1] != "order" && Word[1] != "start") ||
        std::ranges::none_of(Begins, [&](double Begin) { return Time >= Begin && Time < Begin + LateForMs; }))
      continue;
    ++Orders;
    LateOrders += Word[1] == "order" && Word[3] == "late" ? 1 : 0;
  }
  double Share = static_cast<double>(LateOrders) / static_cast<double>(std::max<std::size_t>(Orders, 1));
  std::cout << "runs " << Record.Runs.size() << ", orders in the disruptions " << Orders
            << ", carried out late " << LateOrders << " (share " << Share << ")\n";
  if (Record.Runs.size() < 1000)
    failCase("too few runs");
  if (Share > 0.055)
    failCase("more orders were late than the site's largest dose");
}

int checkOverlaps(const record &Record) {
  auto Overlaps = Record.overlaps(20);
  for (const std::string &Overlap : Overlaps)
    std::cout << "two runs at the same time: " << Overlap << "\n";
  return verdict(!Overlaps.empty(), "TWICE");
}

// TWICE: for 3.2 s, the stops of one task stay without an answer and are carried out 2.5 s late, while its
// worker goes on to answer holds. The client has its 504 and sends the job again 1.3 s later.
//
// With KillVm, the client loses its VM instead: it is killed 0.4 s after the job was sent. The owner of the
// worker, another VM, stops the run and limits its lease, but goes on to start other tasks there.
int lateStops(const std::string &Self, const std::string &Folder, bool KillVm) {
  constexpr double LateMs = 2500, LateForMs = 3200, PeriodMs = 9000;
  constexpr int Rounds = 7;
  deployment Site(Self, Folder + "/record.txt");
  std::string LateFile = Site.Folder + "/late";
  std::vector<std::string> Words;
  if (troubled())
    Words = {"--late-stops-of", "1a7e", "--late-ms", std::to_string(LateMs), "--late-file", LateFile};
  Site.startAll(20, 64000, Words);
  client Client(Site);
  background Load(Site, KillVm ? 0.45 : 0.35);
  sleepMs(2000);
  std::vector<double> Begins;
  double From = nowMs();
  for (int Round = 0; Round < Rounds; ++Round) {
    sleepMs(From + Round * PeriodMs - nowMs());
    Begins.push_back(nowMs());
    std::ofstream(LateFile + ".new") << std::to_string(Begins.back()) << " "
                                     << std::to_string(Begins.back() + LateForMs);
    std::filesystem::rename(LateFile + ".new", LateFile);
    int Vm = Round % Site.vms();
    std::thread Killer;
    if (KillVm && troubled())
      Killer = std::thread([&, Vm] {
        sleepMs(400);
        Site.killVm(Vm);
        sleepMs(3500);
        Site.startVm(Vm);
      });
    std::string Id = client::newId("1a7e");
    Client.submit(Vm, Id, {"plate-prep", 1, 3600, 900}, 2);
    if (Killer.joinable())
      Killer.join();
  }
  sleepMs(2000);
  Load.stop();
  Site.stopAll();
  record Record(Site.LogFile);
  checkLateShare(Record, Begins, LateForMs);
  return checkOverlaps(Record);
}

// UNASKED: the VM to which a client has sent a large job freezes for 0.9 s. Meanwhile the job is cancelled at
// another VM, which acknowledges that with 410. The VM wakes, and the system goes on to start the job's
// tasks.
int missedCancel(const std::string &Self, const std::string &Folder) {
  constexpr double FreezeMs = 900, CancelMs = 3000, ContactTimeoutMs = 3000;
  deployment Site(Self, Folder + "/record.txt");
  for (queue &Queue : Site.Queues)
    Queue.TimeoutMs = 8000;
  Site.startAll(8, 64000);
  client Client(Site);
  struct round {
    std::string Id;
    double AckedAt = 0, AwakeAt = 0;
    int Status = 0;
  };
  std::vector<round> Rounds;
  for (int Vm = 0; Vm < Site.vms(); ++Vm) {
    round Round;
    Round.Id = client::newId();
    // 96 tasks of 0.9 s on 16 places.
    std::thread Caller([&] { Client.post(Vm, Round.Id, {"plate-prep", 96, 900, 900, 27000, 1024, 8000}); });
    sleepMs(400);
    if (troubled())
      Site.signalVm(Vm, SIGSTOP);
    double FrozenAt = nowMs();
    sleepMs(750);
    Round.Status = Client.cancel((Vm + 1) % Site.vms(), Round.Id, "plate-prep");
    Round.AckedAt = nowMs();
    sleepMs(FrozenAt + FreezeMs - nowMs());
    if (troubled())
      Site.signalVm(Vm, SIGCONT);
    Round.AwakeAt = nowMs();
    Caller.join();
    Rounds.push_back(Round);
    sleepMs(4000);
  }
  Site.stopAll();
  record Record(Site.LogFile);
  bool Broken = false;
  std::size_t Tasks = 0;
  for (const round &Round : Rounds) {
    // Only starts while all machines are in touch.
    double From = std::max(Round.AckedAt + CancelMs, Round.AwakeAt + ContactTimeoutMs);
    int Late = 0;
    double Last = 0;
    for (const run_interval &Run : Record.Runs)
      if (Run.Task.starts_with(Round.Id)) {
        ++Tasks;
        Late += Run.Begin > From ? 1 : 0;
        Last = std::max(Last, Run.Begin - Round.AckedAt);
      }
    std::cout << Round.Id << ": cancelled with " << Round.Status << "; tasks started over 3 s later: " << Late
              << "; last start " << static_cast<int>(Last) << " ms after the answer\n";
    bool Acknowledged = Round.Status == 410 || Round.Status / 100 == 2;
    Broken = Broken || (Acknowledged && Late > 0);
  }
  if (Tasks < 50)
    failCase("too few runs");
  return verdict(Broken, "UNASKED");
}

struct served_count {
  int Sent = 0, Served = 0;
};

// Sends a job each 100 ms to the given VMs in turn, as the platform does when none of them is in rotation.
served_count sendJobs(deployment &Site, const std::vector<int> &Vms, double Seconds) {
  client Client(Site);
  std::atomic<int> Served{0};
  std::vector<std::thread> Threads;
  double From = nowMs();
  int Sent = 0;
  for (; nowMs() - From < Seconds * 1000; ++Sent) {
    int Vm = Vms[static_cast<std::size_t>(Sent) % Vms.size()];
    Threads.emplace_back([&, Vm] {
      std::string Answer;
      if (Client.post(Vm, client::newId(), {"price-quote", 2, 200, 200}, &Answer) == 200 &&
          Answer.find("completed") != std::string::npos)
        ++Served;
    });
    sleepMs(From + (Sent + 1) * 100 - nowMs());
  }
  for (std::thread &Thread : Threads)
    Thread.join();
  return {Sent, Served};
}

// RECOVER: all entry VMs lose power and do not come back. As many new ones come in their places, under names
// and addresses of their own.
int allReplaced(const std::string &Self, const std::string &Folder) {
  constexpr double RecoveryS = 12;
  deployment Site(Self, Folder + "/record.txt");
  Site.VmZones.clear();
  std::vector<int> First, Second;
  for (int Generation = 0; Generation < 2; ++Generation)
    for (const char *Zone : {"kremnica-a", "kremnica-b", "banska-c", "zvolen-d"})
      for (int Machine = 0; Machine < 3; ++Machine) {
        (Generation == 0 ? First : Second).push_back(Site.vms());
        Site.VmZones.push_back(Zone);
      }
  Site.startStore();
  for (int Worker = 0; Worker < 12; ++Worker)
    Site.startWorker(Worker, 64000);
  for (int Vm : First)
    Site.startVm(Vm);
  Site.waitReady();
  sleepMs(8000);
  served_count Before = sendJobs(Site, First, 8);
  std::vector<int> Machines = First;
  if (troubled()) {
    for (int Vm : First)
      Site.killVm(Vm);
    sleepMs(1000);
    for (int Vm : Second)
      Site.startVm(Vm);
    Machines = Second;
  }
  sendJobs(Site, Machines, RecoveryS);
  served_count After = sendJobs(Site, Machines, 40);
  int Ready = 0;
  for (int Vm : Machines)
    Ready += Site.ready(Vm) ? 1 : 0;
  Site.stopAll();
  std::cout << "before: served " << Before.Served << " of " << Before.Sent
            << "; from 12 s to 52 s after the machines were back: served " << After.Served << " of "
            << After.Sent << "; VMs ready at the end: " << Ready << " of " << Machines.size() << "\n";
  if (Before.Served * 4 < Before.Sent)
    failCase("too little was served before the fault");
  return verdict(After.Served * 4 < After.Sent, "RECOVER");
}

} // namespace

int main(int Count, char **Words) {
  std::signal(SIGPIPE, SIG_IGN);
  std::string Mode = Count > 1 ? Words[1] : "";
  arguments Options(Count, Words);
  if (Mode == "store")
    runStore(Options);
  if (Mode == "worker")
    runWorker(Options);
  endProcessesOnSignals();
  std::string Self = std::filesystem::read_symlink("/proc/self/exe");
  std::string Folder = Count > 2 ? Words[2] : ".";
  if (Mode == "late-stops")
    return lateStops(Self, Folder, false);
  if (Mode == "late-stops-killed-vm")
    return lateStops(Self, Folder, true);
  if (Mode == "missed-cancel")
    return missedCancel(Self, Folder);
  if (Mode == "all-replaced")
    return allReplaced(Self, Folder);
  std::cerr << "unknown mode\n";
  return 2;
}
