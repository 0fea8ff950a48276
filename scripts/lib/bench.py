"""Measures the daemon in real processes, and the dispatch code in simulated time."""
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
SERVER_COUNT = 48
SIMULATED_DAYS = 200


def print_figure(name, value, unit):
    print(json.dumps({"name": name, "value": round(value, 4), "unit": unit}), flush=True)


def read_cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1)) / 1024


def run_load(system, *arguments, timeout=300):
    command = [str(system.build / "yuccaplank-load"), "--entries", system.entry_addresses(), "--queue", fleet.QUEUE,
               *arguments]
    result = subprocess.run(command, capture_output=True, text=True, timeout=timeout)
    values = {entry["name"]: entry["value"] for entry in map(json.loads, result.stdout.splitlines())}
    if "latency_p50" not in values:
        raise RuntimeError(f"load tool: {result.stderr}")
    return values


def run_calm_section(options):
    """Runs a fault-free load on six entry VMs and 48 backend servers of equal speed.

    Measures the latency added to the running time of the tasks, and the processor time and memory of a VM."""
    with tempfile.TemporaryDirectory(prefix="yuccaplank-bench-") as directory:
        system = fleet.Fleet(directory, DOMAINS, SERVER_COUNT, first_port=options.first_port, equal=True)
        try:
            system.start()
            processes = [vm.process.pid for vm in system.vms.values()]
            cpu_start_s, start = sum(map(read_cpu_seconds, processes)), time.monotonic()
            values = run_load(system, "--rate", "80", "--seconds", str(options.seconds), "--tasks", "1-4",
                              "--task-spread", "0", "--declared-spread", "0", "--seed", str(options.seed))
            elapsed = time.monotonic() - start
            cpu_used_s = sum(map(read_cpu_seconds, processes)) - cpu_start_s
            for name in ("added_p50", "added_p90", "added_p99"):
                print_figure(f"calm_{name}", values[name], "ms")
            print_figure("calm_jobs_in_time_share", values["jobs_in_time"] / max(1, values["jobs_completed"]), "ratio")
            print_figure("calm_vm_processor", cpu_used_s / elapsed / len(processes) * 100, "% of a core")
            print_figure("calm_vm_memory", max(map(read_resident_mb, processes)), "MB")
        finally:
            system.stop()


def run_simulate_section(options):
    """Simulates random days with faults, and measures the speed of the simulation."""
    start = time.monotonic()
    result = subprocess.run([str(fleet.ROOT / "build" / "yuccaplank-simulate"), "--seed", str(options.seed), "--days",
                             str(SIMULATED_DAYS)], capture_output=True, text=True)
    elapsed = time.monotonic() - start
    starts = int(re.search(r"(\d+) starts", result.stdout).group(1))
    print_figure("simulated_days_per_s", SIMULATED_DAYS / elapsed, "1/s")
    print_figure("simulated_starts_per_s", starts / elapsed, "1/s")
    print_figure("simulated_breaches", result.returncode, "count")


SECTIONS = {"calm": run_calm_section, "simulate": run_simulate_section}


def main():
    parser = argparse.ArgumentParser(prog="scripts/bench")
    parser.add_argument("--only", default=",".join(SECTIONS), help="sections: " + ", ".join(SECTIONS))
    parser.add_argument("--seconds", type=int, default=15)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--first-port", type=int, default=8600,
                        help="the first free block of ports from here on is used")
    options = parser.parse_args()
    for name in options.only.split(","):
        SECTIONS[name](options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
