"""Submits jobs while entry VMs are killed and paused, the store fails and backend servers misbehave."""
import argparse
import json
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time

import fleet

DOMAINS = {"d1": 2, "d2": 2, "d3": 2, "d4": 1}
SERVER_COUNT = 24
# The load tool waits for late answers before it checks the results.
LOAD_EXTRA_TIMEOUT_S = 60


class FaultInjector:
    """Injects random faults until it is stopped.

    Faults of one group follow each other; the groups run in parallel. The counts of the faults are printed under
    the names of the methods.
    """

    def __init__(self, system, seed, group_names):
        self.system = system
        self.stop_requested = threading.Event()
        self.fault_counts = {}
        groups = {"vms": [self.kill, self.replace, self.terminate, self.pause, self.long_pause,
                          self.change_settings],
                  "store": [self.store_away, self.store_slow, self.lose_answers, self.forget_history,
                            self.configure],
                  "servers": [self.break_servers, self.crash_servers, self.servers_leave, self.late_orders],
                  "all": [self.kill_all]}
        self.threads = [threading.Thread(target=self.run, args=(groups[name], random.Random(seed + index)))
                        for index, name in enumerate(group_names)]
        self.configuration_version = 1

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stop_requested.set()
        for thread in self.threads:
            if thread.is_alive():
                thread.join()

    def run(self, faults, generator):
        while not self.stop_requested.is_set():
            fault = generator.choice(faults)
            self.fault_counts[fault.__name__] = self.fault_counts.get(fault.__name__, 0) + 1
            try:
                fault(generator)
            except OSError as error:
                print(f"fault {fault.__name__}: {error}", file=sys.stderr)
            self.sleep(generator.uniform(0.2, 2))

    def sleep(self, seconds):
        self.stop_requested.wait(seconds)

    def choose_vm(self, generator):
        return generator.choice(list(self.system.vms.values()))

    def restart(self, vm, delay):
        self.sleep(delay)
        vm.process.wait()
        vm.start()

    def kill(self, generator):
        vm = self.choose_vm(generator)
        vm.signal(signal.SIGKILL)
        self.restart(vm, generator.uniform(0, 4))

    def kill_all(self, generator):
        for vm in self.system.vms.values():
            vm.signal(signal.SIGKILL)
        for vm in self.system.vms.values():
            self.restart(vm, 0)
        self.sleep(5)

    def replace(self, generator):
        """Kills two VMs, one after the other, and restarts each at once at the same addresses."""
        for vm in generator.sample(list(self.system.vms.values()), 2):
            vm.signal(signal.SIGKILL)
            self.restart(vm, 0)

    def terminate(self, generator):
        vm = self.choose_vm(generator)
        vm.signal(signal.SIGTERM)
        try:
            vm.process.wait(8)
        except subprocess.TimeoutExpired:
            vm.process.kill()
        self.restart(vm, generator.uniform(0, 1))

    def change_settings(self, generator):
        """Rewrites a VM's settings file without a signal, as the platform sometimes does."""
        vm = self.choose_vm(generator)
        vm.write_settings(generator.sample([other.peer_address for other in self.system.vms.values()], 3))

    def pause_vm(self, generator, seconds):
        vm = self.choose_vm(generator)
        vm.signal(signal.SIGSTOP)
        self.sleep(seconds)
        vm.signal(signal.SIGCONT)

    def pause(self, generator):
        self.pause_vm(generator, generator.uniform(0.1, 1.2))

    def long_pause(self, generator):
        self.pause_vm(generator, generator.uniform(2.5, 5))

    def inject_store_fault(self, generator, fault):
        self.system.send_control_request("/store", fault)
        self.sleep(generator.uniform(1, 5))
        self.system.send_control_request("/store", {"mode": "normal"})

    def store_away(self, generator):
        self.inject_store_fault(generator, {"mode": generator.choice(["down", "reset", "silent"])})

    def store_slow(self, generator):
        self.inject_store_fault(generator, {"delay_ms": generator.choice([50, 400, 2000])})

    def lose_answers(self, generator):
        self.inject_store_fault(generator, {"lost_answers": 0.5, "late_writes": 0.2})

    def forget_history(self, generator):
        self.system.send_control_request("/history/forget", {})

    def configure(self, generator):
        self.configuration_version += generator.randint(1, 5)
        self.system.send_control_request("/configuration", {
            "version": self.configuration_version,
            "routes": [{"name": "jobs", "host": "jobs.example", "path_prefix": "/jobs/", "service": "pool",
                        "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 60}],
            "services": [{"name": "pool"}], "limits": {"max_body_bytes": 100000}})

    def choose_servers(self, generator, max_count):
        return [f"w{number}"
                for number in generator.sample(range(1, SERVER_COUNT + 1), generator.randint(1, max_count))]

    def inject_server_fault(self, generator, names, fault, seconds):
        self.system.send_control_request("/workers", {"names": names, **fault})
        self.sleep(seconds)
        self.system.send_control_request("/workers", {"names": names})

    def break_servers(self, generator):
        mode = generator.choice([{"mode": "silent"}, {"mode": "failing"}, {"mode": "hanging"}, {"slowdown": 6}])
        self.inject_server_fault(generator, self.choose_servers(generator, 3), mode, generator.uniform(0.5, 4))

    def late_orders(self, generator):
        fault = {"late_orders": 0.1, "lost_answers": 0.2}
        self.inject_server_fault(generator, self.choose_servers(generator, 8), fault, generator.uniform(1, 4))

    def servers_leave(self, generator):
        self.inject_server_fault(generator, self.choose_servers(generator, 4), {"draining": True},
                                 generator.uniform(2, 6))

    def crash_servers(self, generator):
        names = self.choose_servers(generator, 2)
        self.system.send_control_request("/workers/crash", {"names": names})
        self.sleep(generator.uniform(0, 3))
        self.system.send_control_request("/workers/start", {"names": names})


def run_load(system, options):
    command = [str(system.build / "yuccaplank-load"), "--entries", system.entry_addresses(), "--queue", fleet.QUEUE,
               "--rate", str(options.rate), "--seconds", str(options.seconds), "--seed", str(options.seed),
               "--leave-percent", "5", "--cancel-percent", "3", "--capitals-percent", "30",
               "--check", system.control_address]
    return subprocess.run(command, capture_output=True, text=True, timeout=options.seconds + LOAD_EXTRA_TIMEOUT_S)


def main():
    parser = argparse.ArgumentParser(prog="scripts/faults")
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 31))
    parser.add_argument("--rate", type=float, default=60, help="jobs per second")
    parser.add_argument("--first-port", type=int, default=8100,
                        help="the first free block of ports from here on is used")
    parser.add_argument("--build", default="build", help="directory of the programs")
    parser.add_argument("--groups", default="vms,store,servers",
                        help="faults to inject at the same time: vms, store, servers, all")
    parser.add_argument("--no-faults", action="store_true", help="run the load without faults")
    parser.add_argument("--keep-logs", default="", help="directory in which the logs are kept")
    options = parser.parse_args()
    print(json.dumps({"name": "seed", "value": options.seed, "unit": ""}), flush=True)
    with tempfile.TemporaryDirectory(prefix="yuccaplank-faults-") as directory:
        system = fleet.Fleet(options.keep_logs or directory, DOMAINS, SERVER_COUNT, first_port=options.first_port,
                             build=options.build, seed=options.seed)
        injector = FaultInjector(system, options.seed, options.groups.split(","))
        try:
            system.start()
            if not options.no_faults:
                injector.start()
            result = run_load(system, options)
        finally:
            injector.stop()
            system.stop()
        print(result.stdout, end="")
        print(result.stderr, end="", file=sys.stderr)
        print(json.dumps({"name": "faults", "value": injector.fault_counts, "unit": "count"}))
        return result.returncode


if __name__ == "__main__":
    sys.exit(main())
