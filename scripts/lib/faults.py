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
    """Injects faults of each group one after the other, groups at the same time, until told to stop."""

    def __init__(self, system, seed, names):
        self.system = system
        self.stopping = threading.Event()
        self.counts = {}
        groups = {"vms": [self.kill, self.replace, self.terminate, self.pause, self.long_pause],
                  "platform": [self.platform_down, self.platform_slow, self.lose_replies],
                  "servers": [self.break_servers, self.servers_leave],
                  "links": [self.separate],
                  "drain": [self.terminate],
                  "leave": [self.servers_leave]}
        self.threads = [threading.Thread(target=self.run, args=(groups[name], random.Random(seed + index)))
                        for index, name in enumerate(names)]

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

    def replace(self, generator):
        """Ends two VMs at once and starts them again at the same addresses."""
        for vm in generator.sample(list(self.system.vms.values()), 2):
            vm.signal(signal.SIGKILL)
            self.restart(vm, 0)

    def terminate(self, generator):
        vm = self.vm(generator)
        vm.signal(signal.SIGTERM)
        try:
            vm.process.wait(30)
        except subprocess.TimeoutExpired:
            vm.process.kill()
        self.restart(vm, generator.uniform(0, 1))

    def pause_for(self, generator, seconds):
        vm = self.vm(generator)
        vm.signal(signal.SIGSTOP)
        self.sleep(seconds)
        vm.signal(signal.SIGCONT)

    def pause(self, generator):
        self.pause_for(generator, generator.uniform(0.1, 1.2))

    def long_pause(self, generator):
        self.pause_for(generator, generator.uniform(2.5, 5))

    def platform_fault(self, generator, fault):
        fleet.http("POST", self.system.platform_address, "/fault", fault)
        self.sleep(generator.uniform(1, 5))
        fleet.http("POST", self.system.platform_address, "/fault",
                   {"mode": "normal", "delay_ms": 0, "lose_replies_percent": 0})

    def platform_down(self, generator):
        self.platform_fault(generator, {"mode": generator.choice(["down", "hang"])})

    def platform_slow(self, generator):
        self.platform_fault(generator, {"mode": "slow", "delay_ms": generator.choice([50, 400, 2000])})

    def lose_replies(self, generator):
        self.platform_fault(generator, {"mode": "normal", "lose_replies_percent": 50})

    def break_servers(self, generator):
        mode = generator.choice(["fail_all", "stall", "refuse", "late", "crossed", "down", "drop_answer",
                                   "drop_request"])
        self.server_fault(generator, mode, generator.randint(1, 3), generator.uniform(0.5, 4))

    def servers_leave(self, generator):
        self.server_fault(generator, "leaving", generator.randint(1, 4), generator.uniform(2, 6))

    def server_fault(self, generator, mode, count, seconds):
        names = [f"s{number}" for number in generator.sample(range(1, SERVERS + 1), count)]
        fleet.http("POST", self.system.control_address, "/fault",
                   {"servers": names, "mode": mode, "delay_ms": 300})
        self.sleep(seconds)
        fleet.http("POST", self.system.control_address, "/fault",
                   {"servers": names, "mode": "normal", "delay_ms": 0})

    def separate(self, generator):
        cut = generator.choice(list(DOMAINS))
        others = [domain for domain in DOMAINS if domain != cut]
        with_platform = generator.random() < 0.5
        self.set_links(lambda vm: {"domains": others, "platform": with_platform} if vm.domain == cut
                       else {"domains": [cut]})
        self.sleep(generator.uniform(0.5, 6))
        self.set_links(lambda vm: {})

    def set_links(self, links_of):
        for vm in self.system.vms.values():
            try:
                fleet.http("POST", vm.operators, "/v1/test/links", links_of(vm), fleet.TOKEN, timeout=1)
            except OSError:
                pass  # The VM is down or paused.


def offer(system, options):
    command = [str(system.build / "yuccaplank-load"), "--entries", system.entries(), "--rate", str(options.rate),
               "--seconds", str(options.seconds), "--seed", str(options.seed), "--tasks", "1-20",
               "--time-scale", "0.2", "--resubmit-percent", "20", "--cancel-waves", str(max(1, options.seconds // 10)),
               "--ids-block", "16", "--service", "proofs", "--check", system.control_address]
    return subprocess.run(command, capture_output=True, text=True, timeout=options.seconds + LOAD_LIMIT_S)


def main():
    parser = argparse.ArgumentParser(prog="scripts/faults")
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 31))
    parser.add_argument("--rate", type=float, default=150, help="jobs a second")
    parser.add_argument("--base-port", type=int, default=8100)
    parser.add_argument("--build", default="build", help="folder of the programs")
    parser.add_argument("--groups", default="vms,platform,servers,links",
                        help="faults to inject at the same time: vms, platform, servers, links, drain, leave")
    parser.add_argument("--one-dispatcher", action="store_true", help="all failure domains share a dispatcher")
    parser.add_argument("--no-faults", action="store_true", help="only offer the load")
    options = parser.parse_args()
    print(json.dumps({"name": "seed", "value": options.seed, "unit": ""}), flush=True)
    with tempfile.TemporaryDirectory(prefix="yuccaplank-faults-") as directory:
        system = fleet.Fleet(directory, DOMAINS, SERVERS, base_port=options.base_port, build=options.build,
                             one_dispatcher=options.one_dispatcher)
        injector = FaultInjector(system, options.seed, options.groups.split(","))
        try:
            system.start()
            system.apply({"service": "proofs", "team": "engraving", "pool": "default",
                          "objective": {"percent": 99, "within_ms": 2000}})
            time.sleep(1)
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
