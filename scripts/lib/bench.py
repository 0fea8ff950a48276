"""Measures the daemon on real processes and the decision code on the paused clock."""
import argparse
import json
import os
import re
import subprocess
import sys
import tempfile
import time

import fleet

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SPEEDS = [1, 1.5, 2, 3, 4]
SLOTS = 8
DOMAINS = {"d1": 2, "d2": 2, "d3": 2, "d4": 1}
FLEET_SERVERS = 50
# Run times are scaled so that the load tool and 50 stand-in servers fit on one machine beside the entry VMs.
POLICY_SERVICE = {"service": "load", "team": "bench", "pool": "default"}
# Whether all failure domains share one dispatcher, and whether the balancer prefers dispatchers.
LAYOUTS = {"domain": (False, False), "domain_preferred": (False, True), "shared": (True, False),
           "shared_preferred": (True, True)}
NO_WAIT_LIMITS = {"max_stretch_percent": 0, "max_backlog_ms": 0}


def emit(name, value, unit):
    print(json.dumps({"name": name, "value": round(value, 4), "unit": unit}), flush=True)


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1)) / 1024


def metrics(vm):
    _, text = fleet.http("GET", vm.operators, "/metrics")
    values = {}
    for line in text.splitlines():
        if not line.startswith("#") and "{" not in line:
            name, value = line.split()
            values[name] = float(value)
    return values


def total_metrics(system):
    totals = {}
    for vm in system.vms.values():
        for name, value in metrics(vm).items():
            totals[name] = totals.get(name, 0) + value
    return totals


def load(system, *arguments, timeout=300, preferred=False):
    command = [str(system.build / "yuccaplank-load"), "--entries", system.entries(preferred), *arguments]
    result = subprocess.run(command, capture_output=True, text=True, timeout=timeout)
    values = {}
    for line in result.stdout.splitlines():
        entry = json.loads(line)
        values[entry["name"]] = entry["value"]
    if not values:
        raise RuntimeError(f"load tool: {result.stderr}")
    return values


class running_fleet:
    """A fleet that ends with its block."""

    def __init__(self, *arguments, service=None, **options):
        self.arguments, self.options = arguments, options
        self.service = service or POLICY_SERVICE

    def __enter__(self):
        self.directory = tempfile.TemporaryDirectory(prefix="yuccaplank-bench-")
        self.system = fleet.Fleet(self.directory.name, *self.arguments, **self.options)
        try:
            self.system.start()
            self.system.apply(self.service)
            time.sleep(2)
        except BaseException:
            self.system.stop()
            raise
        return self.system

    def __exit__(self, *_):
        self.system.stop()
        self.directory.cleanup()


def daemon_section(options):
    """One daemon with empty tasks: throughput, processor time, latency, memory, and start time."""
    settings = {"backends": {"max_connections": 60}}
    with running_fleet({"d1": 1}, 20, slots=60, connections=200, base_port=options.base_port,
                       extra_settings=settings) as system:
        vm = system.vms["d1-1"]
        common = ["--task-ms", "empty", "--tasks", "20-20", "--seed", str(options.seed)]
        load(system, *common, "--concurrency", "16", "--seconds", "2")
        cpu, started = cpu_seconds(vm.process.pid), time.monotonic()
        values = load(system, *common, "--concurrency", "16", "--seconds", str(options.seconds))
        used, elapsed = cpu_seconds(vm.process.pid) - cpu, time.monotonic() - started
        tasks = values["tasks_done"]
        emit("daemon_task_starts_per_s", tasks / options.seconds, "1/s")
        emit("daemon_processor_us_per_task", used / tasks * 1e6, "us")
        emit("daemon_task_starts_per_core_s", tasks / used, "1/s")
        emit("daemon_core_use", used / elapsed, "cores")
        values = load(system, *common, "--rate", "250", "--seconds", str(options.seconds))
        emit("daemon_job_latency_at_5000_starts_p50", values["latency_p50"], "ms")
        emit("daemon_job_latency_at_5000_starts_p99", values["latency_p99"], "ms")
        single = ["--task-ms", "empty", "--rate", "1000", "--seconds", str(options.seconds)]
        values = load(system, *single)
        emit("daemon_task_latency_at_1000_jobs_p50", values["latency_p50"], "ms")
        emit("daemon_task_latency_at_1000_jobs_p99", values["latency_p99"], "ms")
        vm.signal(9)
        vm.process.wait()
        started = time.monotonic()
        vm.start()
        while not vm.serving():
            time.sleep(0.005)
        emit("daemon_ready_after", time.monotonic() - started, "s")


def memory_section(options):
    """Memory of one daemon with 20,000 tasks in flight."""
    settings = {"backends": {"max_connections": 60}, "limits": {"max_queued_tasks": 50000}}
    service = dict(POLICY_SERVICE, limits=NO_WAIT_LIMITS)
    with running_fleet({"d1": 1}, 400, slots=60, connections=100, base_port=options.base_port,
                       extra_settings=settings, service=service, speeds="1") as system:
        vm = system.vms["d1-1"]
        before = resident_mb(vm.process.pid)
        command = [str(system.build / "yuccaplank-load"), "--entries", system.entries(), "--tasks", "100-100",
                   "--rate", "100", "--arrivals", "fixed", "--seconds", "2.1", "--time-scale", "80",
                   "--deadline-ms", "600000", "--seed", str(options.seed)]
        process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        try:
            time.sleep(6)
            running = metrics(vm)["yuccaplank_tasks_running"] + metrics(vm)["yuccaplank_tasks_queued"]
            after = resident_mb(vm.process.pid)
        finally:
            process.terminate()
            process.wait()
        emit("daemon_tasks_in_flight", running, "count")
        emit("daemon_resident_idle", before, "MB")
        emit("daemon_resident_in_flight", after, "MB")
        emit("daemon_kb_per_task_in_flight", (after - before) * 1024 / max(running, 1), "KB")


def wasted_per_useful(before, after, jobs):
    """Messages that are neither a submission, an answer, nor a task's start or result."""
    change = {name: after[name] - before.get(name, 0) for name in after}
    refused = change["yuccaplank_starts_refused_total"]
    useful = 2 * (change["yuccaplank_tasks_started_total"] - refused) + 2 * jobs
    wasted = (2 * refused + 2 * change["yuccaplank_stops_sent_total"] +
              change["yuccaplank_peer_messages_sent_total"] +
              2 * (change["yuccaplank_platform_reads_total"] + change["yuccaplank_platform_writes_total"]))
    return wasted / useful


def offered_rate(share, servers, mean_task_ms, tasks):
    capacity = sum(SPEEDS[index % len(SPEEDS)] for index in range(servers)) * SLOTS
    return share * capacity * 1000 / mean_task_ms / tasks


def policy_section(options):
    """Response against the ideal and wasted messages: 7 entry VMs, 4 failure domains, 50 servers."""
    probe = subprocess.run([str(fleet.ROOT / "build/yuccaplank-load"), "--entries", "127.0.0.1:1", "--rate", "1",
                            "--seconds", "0.01"], capture_output=True, text=True)
    mean_ms = next(json.loads(line)["value"] for line in probe.stdout.splitlines() if "mean_task_ms" in line)
    speeds = ",".join(str(speed) for speed in SPEEDS)
    for layout in options.layouts.split(","):
        for strategy in options.strategies.split(","):
            measure_policy(options, layout, strategy, speeds, mean_ms)


def measure_policy(options, layout, strategy, speeds, mean_ms):
    one_dispatcher, preferred = LAYOUTS[layout]
    settings = {"scheduler": {"strategy": strategy}}
    service = dict(POLICY_SERVICE, limits=NO_WAIT_LIMITS)
    with running_fleet(DOMAINS, FLEET_SERVERS, speeds=speeds, base_port=options.base_port,
                       extra_settings=settings, service=service, one_dispatcher=one_dispatcher) as system:
        common = ["--tasks", "5-60", "--seed", str(options.seed), "--speed-max", str(max(SPEEDS)), "--ids-block",
                  "50", "--check", system.control_address, "--task-spread", str(options.task_spread)]
        warm = offered_rate(0.4, FLEET_SERVERS, mean_ms, 32.5)
        load(system, *common, "--rate", str(warm), "--seconds", "10", preferred=preferred)
        for share in (0.5, 0.7, 0.9):
            before = total_metrics(system)
            rate = offered_rate(share, FLEET_SERVERS, mean_ms, 32.5)
            values = load(system, *common, "--rate", str(rate), "--seconds", str(options.policy_seconds),
                          preferred=preferred)
            after = total_metrics(system)
            label = f"policy_{layout}_{strategy}_{int(share * 100)}"
            for part in ("p50", "p90", "p99"):
                emit(f"{label}_response_ideal_{part}", values[f"response_ideal_{part}"], "ratio")
            emit(f"{label}_wasted_messages", 100 * wasted_per_useful(before, after, values["submissions"]), "%")
            emit(f"{label}_done", values["jobs_done"], "count")
            emit(f"{label}_not_done", values["jobs_failed"] + values["jobs_refused"] + values["jobs_unknown"],
                 "count")
            emit(f"{label}_breaches", values["breaches"], "count")


def burst_section(options):
    """A tenfold burst: answers of admitted jobs and goodput, then the time to normal."""
    speeds = ",".join(str(speed) for speed in SPEEDS)
    for layout in options.layouts.split(","):
        measure_burst(options, layout, speeds)


def measure_burst(options, layout, speeds):
    one_dispatcher, preferred = LAYOUTS[layout]
    with running_fleet(DOMAINS, FLEET_SERVERS, speeds=speeds, base_port=options.base_port,
                       one_dispatcher=one_dispatcher) as system:
        common = ["--tasks", "5-60", "--seed", str(options.seed), "--speed-max", str(max(SPEEDS)), "--ids-block",
                  "200", "--task-spread", str(options.task_spread)]
        mean_ms = load(system, *common, "--rate", "20", "--seconds", "10")["mean_task_ms"]
        for share, label, seconds in ((7.0, f"burst_{layout}", 15), (0.7, f"after_burst_{layout}", 10)):
            before = total_metrics(system)
            rate = offered_rate(share, FLEET_SERVERS, mean_ms, 32.5)
            values = load(system, *common, "--rate", str(rate), "--seconds", str(seconds), preferred=preferred)
            after = total_metrics(system)
            work = values["tasks_done"] * mean_ms / 1000
            capacity = sum(SPEEDS[index % len(SPEEDS)] for index in range(FLEET_SERVERS)) * SLOTS * seconds
            emit(f"{label}_response_ideal_p50", values["response_ideal_p50"], "ratio")
            emit(f"{label}_response_ideal_p99", values["response_ideal_p99"], "ratio")
            emit(f"{label}_goodput_of_capacity", 100 * work / capacity, "%")
            emit(f"{label}_refused", values["jobs_refused"], "count")
            emit(f"{label}_wasted_messages", 100 * wasted_per_useful(before, after, values["submissions"]), "%")


def idle_section(options):
    """Control cost of an idle VM, and of one under 1,200 configuration changes a day scaled to a few seconds."""
    with running_fleet(DOMAINS, FLEET_SERVERS, base_port=options.base_port) as system:
        time.sleep(3)
        before, started = total_metrics(system), time.monotonic()
        cpu = {name: cpu_seconds(vm.process.pid) for name, vm in system.vms.items()}
        time.sleep(15)
        after, elapsed = total_metrics(system), time.monotonic() - started
        vms = len(system.vms)
        for name, label, unit in (("yuccaplank_peer_messages_sent_total", "messages", "1/s"),
                                  ("yuccaplank_peer_bytes_sent_total", "bytes_sent", "B/s")):
            emit(f"idle_peer_{label}_per_vm", (after[name] - before[name]) / elapsed / vms, unit)
        for name in ("reads", "writes"):
            metric = f"yuccaplank_platform_{name}_total"
            emit(f"idle_platform_{name}", (after[metric] - before[metric]) / elapsed, "1/s")
        used = sum(cpu_seconds(vm.process.pid) - cpu[name] for name, vm in system.vms.items())
        emit("idle_core_share_per_vm", 100 * used / elapsed / vms, "%")
        emit("idle_resident_per_vm", sum(resident_mb(vm.process.pid) for vm in system.vms.values()) / vms, "MB")
        before, started = total_metrics(system), time.monotonic()
        latencies = []
        operators = list(system.vms.values())
        for number in range(1, 21):
            document = dict(POLICY_SERVICE, weight=number)
            begin = time.monotonic()
            system.apply(document, expected=number, vm=operators[number % len(operators)])
            while any(revision(vm) < number + 1 for vm in operators):
                time.sleep(0.002)
            latencies.append(time.monotonic() - begin)
        after = total_metrics(system)
        emit("change_in_force_everywhere_max", 1000 * max(latencies), "ms")
        for name in ("reads", "writes"):
            metric = f"yuccaplank_platform_{name}_total"
            emit(f"change_platform_{name}", (after[metric] - before[metric]) / len(latencies), "count")


def revision(vm):
    _, reply = fleet.http("GET", vm.operators, "/v1/services/load", token=fleet.TOKEN)
    return reply.get("revision", 0)


def model_section(options):
    """The decision code alone, on the paused clock."""
    for program in ("yuccaplank-model-bench", "yuccaplank-membership-bench", "membership-bench"):
        path = fleet.ROOT / "build" / program
        if path.exists():
            subprocess.run([str(path)], check=False)


SECTIONS = {"daemon": daemon_section, "memory": memory_section, "idle": idle_section, "policy": policy_section,
            "burst": burst_section, "model": model_section}


def main():
    parser = argparse.ArgumentParser(prog="scripts/bench")
    parser.add_argument("--only", default=",".join(SECTIONS), help="sections: " + ", ".join(SECTIONS))
    parser.add_argument("--seconds", type=float, default=5, help="of each measurement of the daemon")
    parser.add_argument("--policy-seconds", type=float, default=20, help="of each load of the policy section")
    parser.add_argument("--strategies", default="critical_time,fifo,random,round_robin,least_outstanding")
    parser.add_argument("--layouts", default=",".join(LAYOUTS))
    parser.add_argument("--task-spread", type=float, default=1.0, help="unlearnable factor on run times")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--base-port", type=int, default=9100)
    options = parser.parse_args()
    for name in options.only.split(","):
        SECTIONS[name](options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
