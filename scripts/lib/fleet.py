"""Starts entry VMs and stand-ins on loopback, for the quick start, the benchmark, and the fault test."""
import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TOKEN = "operator-token-of-the-test-fleet"
PEER_KEY = "peer-key-of-the-test-fleet"
READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 10


def http(method, address, path, body=None, token=None, timeout=5):
    """Returns (status, JSON or text); raises OSError when the connection fails."""
    data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            status, content = reply.status, reply.read().decode()
    except urllib.error.HTTPError as error:
        status, content = error.code, error.read().decode()
    try:
        return status, json.loads(content)
    except ValueError:
        return status, content


class EntryVm:
    """One daemon process and its settings."""

    def __init__(self, fleet, name, domain, port):
        self.fleet, self.name, self.domain = fleet, name, domain
        self.callers = f"127.0.0.1:{port}"
        self.operators = f"127.0.0.1:{port + 1}"
        self.peers = f"127.0.0.1:{port + 2}"
        self.process = None

    def settings(self):
        seeds = [vm.peers for vm in self.fleet.vms.values() if vm is not self]
        settings = {
            "vm": self.name,
            "failure_domain": self.domain,
            "listen": {"callers": self.callers, "operators": self.operators, "peers": self.peers},
            "platform": self.fleet.platform_address,
            "peer_key": PEER_KEY,
            "operator_token": TOKEN,
            "seed_peers": seeds,
            "test_hooks": True,
        }
        if self.fleet.one_dispatcher:
            settings["dispatch_group"] = self.fleet.domains
        settings.update(self.fleet.extra_settings)
        return settings

    def start(self):
        path = self.fleet.directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings(), indent=2))
        self.process = self.fleet.spawn(self.name, ["yuccaplankd", "--settings", str(path)])

    def signal(self, number):
        if self.process and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def serving(self, path="/healthz"):
        try:
            return http("GET", self.callers, path, timeout=1)[0] == 200
        except OSError:
            return False

    def preferred(self):
        return self.serving("/healthz/preferred")


class Fleet:
    """Entry VMs, backend servers, and the platform. domains maps each failure domain to its number of VMs."""

    def __init__(self, directory, domains, servers, slots=8, speeds="1,2,4", base_port=7100, build="build",
                 extra_settings=None, connections=60, pool="default", one_dispatcher=False):
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.build = ROOT / build
        self.servers, self.slots, self.speeds, self.connections = servers, slots, speeds, connections
        self.domains = list(domains)
        self.pool, self.one_dispatcher = pool, one_dispatcher
        self.platform_address = f"127.0.0.1:{base_port}"
        self.control_address = f"127.0.0.1:{base_port + 1}"
        self.first_server_port = base_port + 200
        self.extra_settings = extra_settings or {}
        self.processes = []
        self.vms = {}
        for domain, count in domains.items():
            for number in range(1, count + 1):
                name = f"{domain}-{number}"
                self.vms[name] = EntryVm(self, name, domain, base_port + 10 + 3 * len(self.vms))

    def spawn(self, name, command):
        log = open(self.directory / f"{name}.log", "ab")
        process = subprocess.Popen([str(self.build / command[0]), *command[1:]], stdout=log, stderr=log,
                                   start_new_session=True)
        log.close()
        self.processes.append(process)
        return process

    def server_options(self):
        _, port = self.control_address.split(":")
        return ["--first-port", str(self.first_server_port), "--count", str(self.servers), "--slots",
                str(self.slots), "--connections", str(self.connections), "--speeds", self.speeds, "--domains",
                ",".join(self.domains), "--control-port", port, "--pool", self.pool]

    def vm_list(self):
        printed = subprocess.run([str(self.build / "yuccaplank-standin-servers"), *self.server_options(),
                                  "--print-vm-list"], check=True, capture_output=True, text=True).stdout
        listed = json.loads(printed)
        backends = listed["backends"] if isinstance(listed, dict) else listed
        entries = [{"id": vm.name, "domain": vm.domain, "peer_address": vm.peers} for vm in self.vms.values()]
        return {"version": 1, "entry_vms": entries, "backends": backends}

    def start(self, vms=True):
        path = self.directory / "vm-list.json"
        path.write_text(json.dumps(self.vm_list()))
        self.platform = self.spawn("platform", ["yuccaplank-standin-platform", "--listen", self.platform_address,
                                                "--vm-list", str(path)])
        self.backend = self.spawn("servers", ["yuccaplank-standin-servers", *self.server_options()])
        self.wait(lambda: self.answers(self.platform_address, "/v1/vms") and
                  self.answers(self.control_address, "/summary"), "stand-ins")
        if vms:
            for vm in self.vms.values():
                vm.start()
            self.wait_serving()

    def wait_serving(self):
        self.wait(lambda: all(vm.serving() for vm in self.vms.values()), "entry VMs")

    def answers(self, address, path):
        try:
            return http("GET", address, path, timeout=1)[0] == 200
        except OSError:
            return False

    def wait(self, condition, what, timeout=READY_TIMEOUT_S):
        end = time.monotonic() + timeout
        while not condition():
            ended = [process.args[0] for process in self.processes if process.poll() not in (None, 0)]
            if ended:
                raise RuntimeError(f"{ended[0]} has ended, see the logs in {self.directory}")
            if time.monotonic() > end:
                raise RuntimeError(f"{what} not ready after {timeout} s, see {self.directory}")
            time.sleep(0.02)

    def apply(self, document, expected=0, vm=None):
        vm = vm or next(iter(self.vms.values()))
        path = f"/v1/services/{document['service']}?expected={expected}&change=fleet-{time.time_ns()}"
        status, reply = http("PUT", vm.operators, path, document, TOKEN)
        if status != 200:
            raise RuntimeError(f"apply: {status} {reply}")

    def entries(self, preferred=False):
        vms = [vm for vm in self.vms.values() if not preferred or vm.preferred()]
        return ",".join(vm.callers for vm in vms)

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                # A stopped process handles no signal but SIGKILL before it continues.
                os.kill(process.pid, signal.SIGCONT)
                process.terminate()
        end = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes:
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
