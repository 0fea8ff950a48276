"""Starts entry VMs and the stand-in of the platform on loopback.

The quick start, the benchmarks and the fault test use it."""
import json
import os
import pathlib
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 10
QUEUE = "jobs.example/jobs/"
# A fleet uses the ports of one block: the first three are its store, its control listener and its reservation.
PORT_BLOCK_SIZE = 500
PORT_BLOCKS_TRIED = 10
FIRST_VM_OFFSET = 10
FIRST_SERVER_OFFSET = 200


def reserve_ports(first_port, tried_blocks):
    """Finds a block of ports that no other fleet uses, from first_port on.

    Returns (first port, socket). The block stays reserved until the socket is closed. The first ports of all callers
    differ by multiples of the block size, so that blocks do not overlap."""
    for number in range(tried_blocks):
        base_port = first_port + number * PORT_BLOCK_SIZE
        reservation = socket.socket()
        try:
            reservation.bind(("127.0.0.1", base_port + 2))
            # Processes of a quick start outlive its reservation.
            for port in (base_port, base_port + 1):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind(("127.0.0.1", port))
            return base_port, reservation
        except OSError:
            reservation.close()
    raise RuntimeError(f"no free block of {PORT_BLOCK_SIZE} ports from {first_port} on")


def send_request(method, address, path, body=None, timeout=5):
    """Sends an HTTP request. Returns (status, JSON or text); raises OSError when the connection fails."""
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
    """A daemon process and its settings."""

    def __init__(self, fleet, name, domain, port):
        self.fleet, self.name, self.domain = fleet, name, domain
        self.caller_address = f"127.0.0.1:{port}"
        self.readiness_address = f"127.0.0.1:{port + 1}"
        self.peer_address = f"127.0.0.1:{port + 2}"
        self.operator_port = port + 3
        self.operator_address = f"127.0.0.1:{self.operator_port}"
        self.process = None

    def settings(self, seeds):
        """Returns the content of the settings file as the platform writes it."""
        return {
            "node": self.name,
            "zone": self.domain,
            "ip": "127.0.0.1",
            "listen_addresses": {"frontend": self.caller_address, "ready": self.readiness_address,
                                 "control_plane": self.peer_address},
            "seeds": seeds,
            "orders": "request",
            "platform": {"address": self.fleet.store_address},
            "limits": self.fleet.limits,
            "bounds": {"grace_period_s": 6},
        }

    def write_settings(self, seeds):
        path = self.fleet.directory / f"{self.name}.json"
        path.with_suffix(".new").write_text(json.dumps(self.settings(seeds), indent=2))
        path.with_suffix(".new").rename(path)
        return path

    def start(self):
        path = self.write_settings([vm.peer_address for vm in list(self.fleet.vms.values())[:3]])
        self.process = self.fleet.start_process(self.name, ["yuccaplankd", "--settings", str(path), "--operator-port",
                                                            str(self.operator_port)])

    def signal(self, number):
        if self.process and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def is_serving(self):
        try:
            return send_request("GET", self.readiness_address, "/yuccaplank/readiness", timeout=1)[0] == 200
        except OSError:
            return False


class Fleet:
    """Entry VMs and the stand-in site. The argument domains maps each failure domain to its number of VMs.

    Other fleets may run at the same time: each reserves its own block of ports, from first_port on."""

    def __init__(self, directory, domains, server_count, first_port=7100, tried_blocks=PORT_BLOCKS_TRIED,
                 build="build", seed=1, equal=False, limits=None):
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.build = ROOT / build
        self.server_count, self.domains, self.seed, self.equal = server_count, list(domains), seed, equal
        self.base_port, self.port_reservation = reserve_ports(first_port, tried_blocks)
        self.limits = limits or {"cpu_share": 0.25, "memory_mb": 260}
        self.store_address = f"127.0.0.1:{self.base_port}"
        self.control_address = f"127.0.0.1:{self.base_port + 1}"
        self.processes = []
        self.vms = {}
        for domain, count in domains.items():
            for number in range(1, count + 1):
                name = f"{domain}-{number}"
                port = self.base_port + FIRST_VM_OFFSET + 4 * len(self.vms)
                self.vms[name] = EntryVm(self, name, domain, port)

    def start_process(self, name, command):
        log = open(self.directory / f"{name}.log", "ab")
        process = subprocess.Popen([str(self.build / command[0]), *command[1:]], stdout=log, stderr=log,
                                   start_new_session=True)
        log.close()
        self.processes.append(process)
        return process

    def start(self):
        self.site = self.start_process("site", [
            "yuccaplank-standin-site", "--store-port", str(self.base_port), "--control-port", str(self.base_port + 1),
            "--first-worker-port", str(self.base_port + FIRST_SERVER_OFFSET), "--workers", str(self.server_count),
            "--domains", ",".join(self.domains), "--seed", str(self.seed), *(["--equal"] if self.equal else [])])
        self.wait_until(lambda: self.is_reachable(self.control_address, "/summary"), "stand-in")
        for vm in self.vms.values():
            vm.start()
        self.wait_until_serving()
        # Gives the VMs time to claim the servers.
        time.sleep(1)

    def wait_until_serving(self):
        self.wait_until(lambda: all(vm.is_serving() for vm in self.vms.values()), "entry VMs")

    def is_reachable(self, address, path):
        try:
            return send_request("GET", address, path, timeout=1)[0] == 200
        except OSError:
            return False

    def wait_until(self, condition, description, timeout=READY_TIMEOUT_S):
        deadline = time.monotonic() + timeout
        while True:
            # Checked first, since a process of another fleet may answer in place of one that could not listen.
            failed = [process.args[0] for process in self.processes if process.poll() not in (None, 0)]
            if failed:
                raise RuntimeError(f"{failed[0]} has ended, see the logs in {self.directory}")
            if condition():
                return
            if time.monotonic() > deadline:
                raise RuntimeError(f"{description} not ready after {timeout} s, see {self.directory}")
            time.sleep(0.02)

    def send_control_request(self, path, body):
        return send_request("POST", self.control_address, path, body)

    def entry_addresses(self):
        return ",".join(vm.caller_address for vm in self.vms.values())

    def operator_addresses(self):
        return ",".join(vm.operator_address for vm in self.vms.values())

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                # A process that is paused by SIGSTOP handles SIGTERM only after SIGCONT.
                os.kill(process.pid, signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.port_reservation.close()
