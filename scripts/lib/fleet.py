"""Starts entry VMs and the stand-in of the platform on loopback, for the quick start, the benchmark, and the fault test."""
import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 10
QUEUE = "jobs.example/jobs/"


def http(method, address, path, body=None, timeout=5):
    """Returns (status, JSON or text); raises OSError when the connection fails."""
    data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
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
        self.ready = f"127.0.0.1:{port + 1}"
        self.peers = f"127.0.0.1:{port + 2}"
        self.operator_port = port + 3
        self.operators = f"127.0.0.1:{self.operator_port}"
        self.process = None

    def settings(self, seeds):
        """The file as the platform writes it."""
        return {
            "node": self.name,
            "zone": self.domain,
            "ip": "127.0.0.1",
            "listen_addresses": {"frontend": self.callers, "ready": self.ready, "control_plane": self.peers},
            "seeds": seeds,
            "orders": "request",
            "platform": {"address": self.fleet.store_address},
            "limits": {"cpu_share": 0.25, "memory_mb": 260},
            "bounds": {"grace_period_s": 6},
        }

    def write_settings(self, seeds):
        path = self.fleet.directory / f"{self.name}.json"
        path.with_suffix(".new").write_text(json.dumps(self.settings(seeds), indent=2))
        path.with_suffix(".new").rename(path)
        return path

    def start(self):
        path = self.write_settings([vm.peers for vm in list(self.fleet.vms.values())[:3]])
        self.process = self.fleet.spawn(self.name, ["yuccaplankd", "--settings", str(path), "--operator-port",
                                                    str(self.operator_port)])

    def signal(self, number):
        if self.process and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def serving(self):
        try:
            return http("GET", self.ready, "/yuccaplank/readiness", timeout=1)[0] == 200
        except OSError:
            return False


class Fleet:
    """Entry VMs and the stand-in site. domains maps each failure domain to its number of VMs."""

    def __init__(self, directory, domains, workers, base_port=7100, build="build", seed=1, equal=False):
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.build = ROOT / build
        self.workers, self.domains, self.seed, self.equal = workers, list(domains), seed, equal
        self.base_port = base_port
        self.store_address = f"127.0.0.1:{base_port}"
        self.control_address = f"127.0.0.1:{base_port + 1}"
        self.processes = []
        self.vms = {}
        for domain, count in domains.items():
            for number in range(1, count + 1):
                name = f"{domain}-{number}"
                self.vms[name] = EntryVm(self, name, domain, base_port + 10 + 4 * len(self.vms))

    def spawn(self, name, command):
        log = open(self.directory / f"{name}.log", "ab")
        process = subprocess.Popen([str(self.build / command[0]), *command[1:]], stdout=log, stderr=log,
                                   start_new_session=True)
        log.close()
        self.processes.append(process)
        return process

    def start(self):
        self.site = self.spawn("site", [
            "yuccaplank-standin-site", "--store-port", str(self.base_port), "--control-port", str(self.base_port + 1),
            "--first-worker-port", str(self.base_port + 200), "--workers", str(self.workers), "--domains",
            ",".join(self.domains), "--seed", str(self.seed), *(["--equal"] if self.equal else [])])
        self.wait(lambda: self.answers(self.control_address, "/summary"), "stand-in")
        for vm in self.vms.values():
            vm.start()
        self.wait_serving()
        # Until the servers are claimed.
        time.sleep(1)

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

    def control(self, path, body):
        return http("POST", self.control_address, path, body)

    def entries(self):
        return ",".join(vm.callers for vm in self.vms.values())

    def operators(self):
        return ",".join(vm.operators for vm in self.vms.values())

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
