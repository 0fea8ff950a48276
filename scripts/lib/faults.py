"""Offers jobs while processes die, pause, and leave, the store fails, and servers misbehave."""
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
WORKERS = 24
# The load tool waits for late answers before it checks.
LOAD_LIMIT_S = 60


class FaultInjector:
    """Injects faults of each group one after the other, groups at the same time, until told to stop."""

    def __init__(self, system, seed, names):
        self.system = system
        self.stopping = threading.Event()
        self.counts = {}
        groups = {"vms": [self.kill, self.replace, self.terminate, self.pause, self.long_pause,
                          self.change_settings],
                  "store": [self.store_away, self.store_slow, self.lose_answers, self.forget_history,
                            self.configure],
                  "servers": [self.break_servers, self.crash_servers, self.servers_leave, self.late_orders],
                  "all": [self.kill_all]}
        self.threads = [threading.Thread(target=self.run, args=(groups[name], random.Random(seed + index)))
                        for index, name in enumerate(names)]
        self.version = 1

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            if thread.is_alive():
                thread.join()

    def run(self, faults, generator):
        while not self.stopping.is_set():
            fault = generator.choice(faults)
            self.counts[fault.__name__] = self.counts.get(fault.__name__, 0) + 1
            try:
                fault(generator)
            except OSError as error:
                print(f"fault {fault.__name__}: {error}", file=sys.stderr)
            self.sleep(generator.uniform(0.2, 2))

    def sleep(self, seconds):
        self.stopping.wait(seconds)

    def vm(self, generator):
        return generator.choice(list(self.system.vms.values()))

    def restart(self, vm, delay):
        self.sleep(delay)
        vm.process.wait()
        vm.start()

    def kill(self, generator):
        vm = self.vm(generator)
        vm.signal(signal.SIGKILL)
        self.restart(vm, generator.uniform(0, 4))

    def kill_all(self, generator):
        for vm in self.system.vms.values():
            vm.signal(signal.SIGKILL)
        for vm in self.system.vms.values():
            self.restart(vm, 0)
        self.sleep(5)

    def replace(self, generator):
        """Ends two VMs at once and starts them again at the same addresses."""
        for vm in generator.sample(list(self.system.vms.values()), 2):
            vm.signal(signal.SIGKILL)
            self.restart(vm, 0)

    def terminate(self, generator):
        vm = self.vm(generator)
        vm.signal(signal.SIGTERM)
        try:
            vm.process.wait(8)
        except subprocess.TimeoutExpired:
            vm.process.kill()
        self.restart(vm, generator.uniform(0, 1))

    def change_settings(self, generator):
        """Rewrites a VM's settings file, as the platform does at times without a signal."""
        vm = self.vm(generator)
        vm.write_settings(generator.sample([other.peers for other in self.system.vms.values()], 3))

    def pause_for(self, generator, seconds):
        vm = self.vm(generator)
        vm.signal(signal.SIGSTOP)
        self.sleep(seconds)
        vm.signal(signal.SIGCONT)

    def pause(self, generator):
        self.pause_for(generator, generator.uniform(0.1, 1.2))

    def long_pause(self, generator):
        self.pause_for(generator, generator.uniform(2.5, 5))

    def store_fault(self, generator, fault):
        self.system.control("/store", fault)
        self.sleep(generator.uniform(1, 5))
        self.system.control("/store", {"mode": "normal"})

    def store_away(self, generator):
        self.store_fault(generator, {"mode": generator.choice(["down", "reset", "silent"])})

    def store_slow(self, generator):
        self.store_fault(generator, {"delay_ms": generator.choice([50, 400, 2000])})

    def lose_answers(self, generator):
        self.store_fault(generator, {"lost_answers": 0.5, "late_writes": 0.2})

    def forget_history(self, generator):
        self.system.control("/history/forget", {})

    def configure(self, generator):
        self.version += generator.randint(1, 5)
        self.system.control("/configuration", {
            "version": self.version,
            "routes": [{"name": "jobs", "host": "jobs.example", "path_prefix": "/jobs/", "service": "pool",
                        "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 60}],
            "services": [{"name": "pool"}], "limits": {"max_body_bytes": 100000}})

    def names(self, generator, most):
        return [f"w{number}" for number in generator.sample(range(1, WORKERS + 1), generator.randint(1, most))]

    def server_fault(self, generator, names, fault, seconds):
        self.system.control("/workers", {"names": names, **fault})
        self.sleep(seconds)
        self.system.control("/workers", {"names": names})

    def break_servers(self, generator):
        mode = generator.choice([{"mode": "silent"}, {"mode": "failing"}, {"mode": "hanging"}, {"slowdown": 6}])
        self.server_fault(generator, self.names(generator, 3), mode, generator.uniform(0.5, 4))

    def late_orders(self, generator):
        fault = {"late_orders": 0.1, "lost_answers": 0.2}
        self.server_fault(generator, self.names(generator, 8), fault, generator.uniform(1, 4))

    def servers_leave(self, generator):
        self.server_fault(generator, self.names(generator, 4), {"draining": True}, generator.uniform(2, 6))

    def crash_servers(self, generator):
        names = self.names(generator, 2)
        self.system.control("/workers/crash", {"names": names})
        self.sleep(generator.uniform(0, 3))
        self.system.control("/workers/start", {"names": names})


def offer(system, options):
    command = [str(system.build / "yuccaplank-load"), "--entries", system.entries(), "--queue", fleet.QUEUE,
               "--rate", str(options.rate), "--seconds", str(options.seconds), "--seed", str(options.seed),
               "--leave-percent", "5", "--cancel-percent", "3", "--check", system.control_address]
    return subprocess.run(command, capture_output=True, text=True, timeout=options.seconds + LOAD_LIMIT_S)


def main():
    parser = argparse.ArgumentParser(prog="scripts/faults")
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 31))
    parser.add_argument("--rate", type=float, default=60, help="jobs a second")
    parser.add_argument("--base-port", type=int, default=8100)
    parser.add_argument("--build", default="build", help="folder of the programs")
    parser.add_argument("--groups", default="vms,store,servers",
                        help="faults to inject at the same time: vms, store, servers, all")
    parser.add_argument("--no-faults", action="store_true", help="only offer the load")
    parser.add_argument("--keep-logs", default="", help="folder in which the logs stay")
    options = parser.parse_args()
    print(json.dumps({"name": "seed", "value": options.seed, "unit": ""}), flush=True)
    with tempfile.TemporaryDirectory(prefix="yuccaplank-faults-") as directory:
        system = fleet.Fleet(options.keep_logs or directory, DOMAINS, WORKERS, base_port=options.base_port,
                             build=options.build, seed=options.seed)
        injector = FaultInjector(system, options.seed, options.groups.split(","))
        try:
            system.start()
            if not options.no_faults:
                injector.start()
            result = offer(system, options)
        finally:
            injector.stop()
            system.stop()
        print(result.stdout, end="")
        print(result.stderr, end="", file=sys.stderr)
        print(json.dumps({"name": "faults", "value": injector.counts, "unit": "count"}))
        return result.returncode


if __name__ == "__main__":
    sys.exit(main())
