"""Offers jobs while processes die, pause, and leave, the platform fails, servers misbehave, and domains separate."""
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
SERVERS = 48
# The load tool waits for late answers before it checks.
LOAD_LIMIT_S = 90


class FaultInjector:
    """Injects one fault after the other, from a seeded generator, until told to stop."""

    def __init__(self, system, seed):
        self.system = system
        self.random = random.Random(seed)
        self.stopping = threading.Event()
        self.counts = {}

    def run(self):
        faults = [self.kill, self.replace, self.terminate, self.pause, self.long_pause, self.platform_down,
                  self.platform_slow, self.lose_replies, self.break_servers, self.servers_leave, self.separate]
        while not self.stopping.is_set():
            fault = self.random.choice(faults)
            self.counts[fault.__name__] = self.counts.get(fault.__name__, 0) + 1
            try:
                fault()
            except OSError as error:
                print(f"fault {fault.__name__}: {error}", file=sys.stderr)
            self.sleep(self.random.uniform(0.2, 1.5))

    def sleep(self, seconds):
        self.stopping.wait(seconds)

    def vm(self):
        return self.random.choice(list(self.system.vms.values()))

    def restart(self, vm, delay):
        self.sleep(delay)
        vm.process.wait()
        vm.start()

    def kill(self):
        vm = self.vm()
        vm.signal(signal.SIGKILL)
        self.restart(vm, self.random.uniform(0, 4))

    def replace(self):
        """Ends two VMs at once and starts them again at the same addresses."""
        for vm in self.random.sample(list(self.system.vms.values()), 2):
            vm.signal(signal.SIGKILL)
            self.restart(vm, 0)

    def terminate(self):
        vm = self.vm()
        vm.signal(signal.SIGTERM)
        try:
            vm.process.wait(30)
        except subprocess.TimeoutExpired:
            vm.process.kill()
        self.restart(vm, self.random.uniform(0, 1))

    def pause_for(self, seconds):
        vm = self.vm()
        vm.signal(signal.SIGSTOP)
        self.sleep(seconds)
        vm.signal(signal.SIGCONT)

    def pause(self):
        self.pause_for(self.random.uniform(0.1, 1.2))

    def long_pause(self):
        self.pause_for(self.random.uniform(2.5, 5))

    def platform_fault(self, fault):
        fleet.http("POST", self.system.platform_address, "/fault", fault)
        self.sleep(self.random.uniform(1, 5))
        fleet.http("POST", self.system.platform_address, "/fault",
                   {"mode": "normal", "delay_ms": 0, "lose_replies_percent": 0})

    def platform_down(self):
        self.platform_fault({"mode": self.random.choice(["down", "hang"])})

    def platform_slow(self):
        self.platform_fault({"mode": "slow", "delay_ms": self.random.choice([50, 400, 2000])})

    def lose_replies(self):
        self.platform_fault({"mode": "normal", "lose_replies_percent": 50})

    def break_servers(self):
        mode = self.random.choice(["fail_all", "stall", "refuse", "late", "crossed", "down", "drop_answer",
                                   "drop_request"])
        self.server_fault(mode, self.random.randint(1, 3), self.random.uniform(0.5, 4))

    def servers_leave(self):
        self.server_fault("leaving", self.random.randint(1, 4), self.random.uniform(2, 6))

    def server_fault(self, mode, count, seconds):
        names = [f"s{number}" for number in self.random.sample(range(1, SERVERS + 1), count)]
        fleet.http("POST", self.system.control_address, "/fault",
                   {"servers": names, "mode": mode, "delay_ms": 300})
        self.sleep(seconds)
        fleet.http("POST", self.system.control_address, "/fault",
                   {"servers": names, "mode": "normal", "delay_ms": 0})

    def separate(self):
        cut = self.random.choice(list(DOMAINS))
        others = [domain for domain in DOMAINS if domain != cut]
        with_platform = self.random.random() < 0.5
        self.set_links(lambda vm: {"domains": others, "platform": with_platform} if vm.domain == cut
                       else {"domains": [cut]})
        self.sleep(self.random.uniform(0.5, 6))
        self.set_links(lambda vm: {})

    def set_links(self, links_of):
        for vm in self.system.vms.values():
            try:
                fleet.http("POST", vm.operators, "/v1/test/links", links_of(vm), fleet.TOKEN, timeout=1)
            except OSError:
                pass  # The VM is down or paused.


def offer(system, options):
    command = [str(system.build / "yuccaplank-load"), "--entries", system.entries(), "--rate", str(options.rate),
               "--seconds", str(options.seconds), "--seed", str(options.seed), "--tasks", "1-20", "--task-ms",
               "10-150", "--resubmit-percent", "20", "--cancel-waves", str(max(1, options.seconds // 10)),
               "--ids-block", "16", "--service", "proofs", "--check", system.control_address]
    return subprocess.run(command, capture_output=True, text=True, timeout=options.seconds + LOAD_LIMIT_S)


def main():
    parser = argparse.ArgumentParser(prog="scripts/faults")
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 31))
    parser.add_argument("--rate", type=float, default=150, help="jobs a second")
    parser.add_argument("--base-port", type=int, default=8100)
    parser.add_argument("--build", default="build", help="folder of the programs")
    parser.add_argument("--no-faults", action="store_true", help="only offer the load")
    options = parser.parse_args()
    print(json.dumps({"name": "seed", "value": options.seed, "unit": ""}), flush=True)
    with tempfile.TemporaryDirectory(prefix="yuccaplank-faults-") as directory:
        system = fleet.Fleet(directory, DOMAINS, SERVERS, base_port=options.base_port, build=options.build)
        injector = FaultInjector(system, options.seed)
        thread = threading.Thread(target=injector.run)
        try:
            system.start()
            system.apply({"service": "proofs", "team": "engraving", "pool": "default",
                          "objective": {"percent": 99, "within_ms": 2000}})
            time.sleep(1)
            if not options.no_faults:
                thread.start()
            result = offer(system, options)
        finally:
            injector.stopping.set()
            if thread.is_alive():
                thread.join()
            time.sleep(0.1)
            system.stop()
        print(result.stdout, end="")
        print(result.stderr, end="", file=sys.stderr)
        print(json.dumps({"name": "faults", "value": injector.counts, "unit": "count"}))
        return result.returncode


if __name__ == "__main__":
    sys.exit(main())
