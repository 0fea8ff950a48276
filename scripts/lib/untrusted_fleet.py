"""Crowds of callers at many entry VMs: each VM keeps its own limits, and the dispatching VMs get the sum."""
import dataclasses
import json
import signal
import time

import fleet
from caller_requests import job, whole
from crowds import ReturningCrowd
from process_watch import ProcessWatch, read_receive_queues

SAMPLE_INTERVAL_S = 0.1
# Refused jobs whose runs are looked up.
CHECKED_REFUSALS = 200
# Numbers of jobs of ordinary callers; those of the crowd are smaller.
ORDINARY_JOBS = 1 << 40


@dataclasses.dataclass
class FleetCase:
    name: str
    vms: int
    # VMs whose callers misbehave; 0 means all.
    crowded_vms: int
    callers_per_vm: int
    tasks: int
    limits: dict
    seconds: int = 12
    specification_bytes: int = 4000
    # Thousandths of a core that a task takes. The servers have 4 times 64 cores.
    cpu: int = 40_000
    run_ms: int = 200
    # What happens to the VMs meanwhile, one after the other.
    disturbance: type = None


class Restarts:
    """Stops a VM with SIGTERM and starts it again when it has ended."""

    def __init__(self, vms):
        self.waiting, self.stopping = list(vms), None

    def step(self):
        """Returns a VM that has a new process, or None."""
        if self.stopping is None and self.waiting:
            self.stopping = self.waiting.pop(0)
            self.stopping.signal(signal.SIGTERM)
        if self.stopping is None or self.stopping.process.poll() is None:
            return None
        started, self.stopping = self.stopping, None
        started.start()
        return started

    def end(self):
        """Waits until no VM is stopping."""
        self.waiting.clear()
        while self.stopping:
            self.step()
            time.sleep(SAMPLE_INTERVAL_S)


class Pauses:
    """Pauses a VM for longer than the others wait for it."""

    PAUSE_S = 1.5

    def __init__(self, vms):
        self.waiting, self.paused, self.until = list(vms), None, 0.0

    def step(self):
        if self.paused and time.monotonic() >= self.until:
            self.paused.signal(signal.SIGCONT)
            self.paused = None
        elif not self.paused and self.waiting:
            self.paused, self.until = self.waiting.pop(0), time.monotonic() + self.PAUSE_S
            self.paused.signal(signal.SIGSTOP)
        return None

    def end(self):
        if self.paused:
            self.paused.signal(signal.SIGCONT)


LIMITS = {"cpu_share": 0.25, "memory_mb": 40, "file_descriptors": 700}
CASES = [
    FleetCase("many jobs at all VMs", vms=24, crowded_vms=0, callers_per_vm=50, tasks=190, limits=LIMITS),
    FleetCase("many jobs at half of the VMs", vms=24, crowded_vms=12, callers_per_vm=100, tasks=95, limits=LIMITS),
    FleetCase("many jobs at all VMs, which are restarted in turn", vms=12, crowded_vms=0, callers_per_vm=50, tasks=190,
              limits=LIMITS, disturbance=Restarts),
    FleetCase("many jobs at all VMs, which pause in turn", vms=12, crowded_vms=0, callers_per_vm=50, tasks=190,
              limits=LIMITS, disturbance=Pauses),
    FleetCase("many small tasks at all VMs", vms=12, crowded_vms=0, callers_per_vm=50, tasks=190, limits=LIMITS, cpu=1,
              run_ms=2000),
]


def large_job(case):
    """A legal job whose caller has time, so that its tasks may wait."""
    specification = f"{case.cpu} {case.run_ms} ".ljust(case.specification_bytes, "x")
    return job(specification=specification, count=case.tasks, cpu=case.cpu, memory_limit_mb=0, estimated_ms=20_000)


def check(case, system, find_unanswered):
    """Runs the crowd. Then, while the crowd of some VMs goes on, asks an ordinary caller at each of the other VMs;
    after a crowd at all VMs one at each."""
    vms = list(system.vms.values())
    relaying = relaying_vms(vms)
    crowded = relaying[:case.crowded_vms] if case.crowded_vms else vms
    watches = {vm.name: ProcessWatch(vm) for vm in vms}
    body = large_job(case)
    crowd = ReturningCrowd([vm.caller_address for vm in crowded for _ in range(case.callers_per_vm)],
                           lambda number: whole(number, body, "Deadline-Milliseconds: 60000"), 1)
    crowd.start()
    ended = run_crowd(case, vms, watches)
    others = [vm for vm in vms if vm not in crowded]
    faults = ordinary_faults(others, watches, find_unanswered)
    crowd.stop()
    faults += ordinary_faults(crowded, watches, find_unanswered)
    sample(watches.values())
    faults += [f"{name}: {fault}" for name, watch in watches.items() for fault in find_faults(watch, case.limits)]
    faults += ended
    faults += broken_promises(system, crowd)
    live = [watch for watch in watches.values() if watch.lives()]
    largest = max(live, key=ProcessWatch.memory_mb).figures() if live else {}
    return {"case": case.name, "relaying": len(relaying), "replies": crowd.replies, "largest": largest, "faults": faults}


def run_crowd(case, vms, watches):
    """Watches the VMs for the time of the crowd. Returns the faults of the processes that were replaced meanwhile."""
    disturbance = case.disturbance(vms) if case.disturbance else None
    faults = []
    end = time.monotonic() + case.seconds
    while time.monotonic() < end:
        sample(watches.values())
        started = disturbance.step() if disturbance else None
        if started:
            faults += replace_watch(started, watches, case.limits)
        time.sleep(SAMPLE_INTERVAL_S)
    if disturbance:
        disturbance.end()
    for vm in vms:
        if watches[vm.name].process is not vm.process:
            faults += replace_watch(vm, watches, case.limits)
    return faults


def replace_watch(vm, watches, limits):
    """Watches the new process of the VM. Returns the faults of the former one."""
    former = watches[vm.name]
    watches[vm.name] = ProcessWatch(vm)
    faults = [] if former.process.returncode == 0 else ["ended"]
    faults += former.bounds_exceeded(limits["memory_mb"], limits["file_descriptors"])
    return [f"{vm.name}, before its restart: {fault}" for fault in faults]


def relaying_vms(vms):
    """The VMs that pass their jobs to others."""
    def dispatches(vm):
        return "\nyuccaplank_dispatching 1" in fleet.send_request("GET", vm.operator_address, "/metrics")[1]
    return [vm for vm in vms if not dispatches(vm)]


def sample(watches):
    queues = read_receive_queues()
    for watch in watches:
        watch.sample(queues)


def ordinary_faults(vms, watches, find_unanswered):
    faults = []
    for vm in vms:
        if watches[vm.name].lives():
            number = ORDINARY_JOBS + int(vm.caller_address.rsplit(":", 1)[1])
            faults += [f"{vm.name}: no answer on the {port} port" for port in find_unanswered(vm, number)]
    return faults


def find_faults(watch, limits):
    return ([] if watch.lives() else ["ended"]) + watch.bounds_exceeded(limits["memory_mb"], limits["file_descriptors"])


def broken_promises(system, crowd):
    """Refused jobs must not have run, and the servers must have seen no breach."""
    faults = [json.dumps(breach) for breach in
              fleet.send_request("GET", system.control_address, "/summary")[1]["breaches"]]
    for number in crowd.refused[-CHECKED_REFUSALS:]:
        starts = fleet.send_request("GET", system.control_address, f"/job?id={number:016x}")[1]["starts"]
        if starts:
            faults.append(f"job {number:016x} was refused as not run and started {starts} times")
    return faults
