"""Measures the daemon on real processes, and the decision code on simulated time."""
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
DOMAINS = {"d1": 2, "d2": 2, "d3": 1, "d4": 1}
WORKERS = 48
SIMULATED_DAYS = 200


def emit(name, value, unit):
    print(json.dumps({"name": name, "value": round(value, 4), "unit": unit}), flush=True)


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1)) / 1024


def load(system, *arguments, timeout=300):
    command = [str(system.build / "yuccaplank-load"), "--entries", system.entries(), "--queue", fleet.QUEUE, *arguments]
    result = subprocess.run(command, capture_output=True, text=True, timeout=timeout)
    values = {entry["name"]: entry["value"] for entry in map(json.loads, result.stdout.splitlines())}
    if "latency_p50" not in values:
        raise RuntimeError(f"load tool: {result.stderr}")
    return values


def calm_section(options):
    """Six entry VMs, 48 servers of equal speed: what an answer adds to its work, and what a VM takes."""
    with tempfile.TemporaryDirectory(prefix="yuccaplank-bench-") as directory:
        system = fleet.Fleet(directory, DOMAINS, WORKERS, base_port=options.base_port, equal=True)
        try:
            system.start()
            processes = [vm.process.pid for vm in system.vms.values()]
            used, begun = sum(map(cpu_seconds, processes)), time.monotonic()
            values = load(system, "--rate", "80", "--seconds", str(options.seconds), "--tasks", "1-4", "--task-spread",
                          "0", "--declared-spread", "0", "--seed", str(options.seed))
            elapsed = time.monotonic() - begun
            used = sum(map(cpu_seconds, processes)) - used
            for name in ("added_p50", "added_p90", "added_p99"):
                emit(f"calm_{name}", values[name], "ms")
            emit("calm_jobs_in_time_share", values["jobs_in_time"] / max(1, values["jobs_completed"]), "ratio")
            emit("calm_vm_processor", used / elapsed / len(processes) * 100, "% of a core")
            emit("calm_vm_memory", max(map(resident_mb, processes)), "MB")
        finally:
            system.stop()


def simulate_section(options):
    """Random days with faults on simulated time."""
    begun = time.monotonic()
    result = subprocess.run([str(fleet.ROOT / "build" / "yuccaplank-simulate"), "--seed", str(options.seed), "--days",
                             str(SIMULATED_DAYS)], capture_output=True, text=True)
    elapsed = time.monotonic() - begun
    starts = int(re.search(r"(\d+) starts", result.stdout).group(1))
    emit("simulated_days_per_s", SIMULATED_DAYS / elapsed, "1/s")
    emit("simulated_starts_per_s", starts / elapsed, "1/s")
    emit("simulated_breaches", result.returncode, "count")


SECTIONS = {"calm": calm_section, "simulate": simulate_section}


def main():
    parser = argparse.ArgumentParser(prog="scripts/bench")
    parser.add_argument("--only", default=",".join(SECTIONS), help="sections: " + ", ".join(SECTIONS))
    parser.add_argument("--seconds", type=int, default=15)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--base-port", type=int, default=8600)
    options = parser.parse_args()
    for name in options.only.split(","):
        SECTIONS[name](options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
