"""Stand-ins for the cases of the second review: the platform's store, workers and clients, on loopback.

They follow ../given/kit/more/system/PROTOCOL.md. Each machine, worker and the store has a loopback address of
its own, so that every daemon is started with the command of deploy/system.toml, whose operator port is fixed.
All parts run in one event loop and write what was sent, answered and run to record.txt.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "huvo11a"
FRONTEND_PORT, CONTROL_PORT, READY_PORT, OPERATOR_PORT = 8161, 8166, 8167, 9464
STORE_PORT, WORKER_PORT = 8169, 8080
# The bounds of sites/sklo-stitky.toml, as its settings file shows them.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_timeout_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4,
    "drain_timeout_ms": 2000, "grace_period_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12, "max_hold_ms": 1000,
    "stop_timeout_ms": 50, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "require_fencing": True, "lease_duration_ms": 3000,
    "thaw_slack_ms": 300, "retransmit_ms": 1300,
}
ZONES = {"kremnica-a": 2, "kremnica-b": 2, "banska-c": 1, "zvolen-d": 1}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


# HTTP/1.1 server with a JSON body in each direction.

async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class HttpServer:
    case = None
    # Name of the machine that sent the request that is being answered.
    sender = None

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.server, self.writers = None, set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, reuse_address=True)

    async def close(self, reset=False):
        self.server.close()
        for writer in list(self.writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        sender = None
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = {key: value[0] for key, value in urllib.parse.parse_qs(url.query).items()}
                document = json.loads(body) if body else None
                self.sender = sender = sender or self.find_sender(writer)
                reply = await self.answer(method, url.path, query, headers, document)
                if reply is None:
                    return
                status, content = reply
                text = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                             f"content-length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def find_sender(self, writer):
        """Returns the name of the machine that the request came from; all of them call from 127.0.0.1."""
        return self.case.find_machine(writer.get_extra_info("peername")) if self.case.tells_senders else None

    async def answer(self, method, path, query, headers, document):
        """Called with self.sender set to the machine that sent the request, if the case tells senders apart."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's metadata store. Transactions are atomic, and reads are linearizable."""

    def __init__(self, case, ip):
        super().__init__(ip, STORE_PORT)
        self.case, self.turned_away = case, set()
        self.version, self.rows, self.history = 0, {}, []
        self.changed = asyncio.Event()

    def put(self, table, key, value, part=""):
        self.version += 1
        row = {"table": table, "part": part, "key": key, "version_number": self.version,
               "value": base64.b64encode(json.dumps(value).encode()).decode()}
        self.apply(row)

    def remove(self, table, key, part=""):
        if (table, part, key) in self.rows:
            self.version += 1
            self.apply({"table": table, "part": part, "key": key, "version_number": self.version,
                        "is_deleted": True})

    def apply(self, row):
        key = (row["table"], row["part"], row["key"])
        if row.get("is_deleted"):
            self.rows.pop(key, None)
        else:
            self.rows[key] = row
        self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def stamp(self):
        return {"version_number": self.version, "now_ms": int(time.monotonic() * 1000)}

    async def answer(self, method, path, query, headers, document):
        sender = self.sender
        if sender in self.turned_away:
            return 503, {}
        await asyncio.sleep(0.004)
        if path == "/yuccaplank/rows-get":
            rows = sorted((row for (table, part, key), row in self.rows.items()
                           if table == query["table"] and part == query.get("part", "")
                           and key >= query.get("from", "")), key=lambda row: row["key"])
            return 200, {"rows": rows[:500], "has_more": len(rows) > 500, **self.stamp()}
        if path == "/yuccaplank/rows-feed":
            after, until = int(query["after"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                newest = {}
                for row in self.history:
                    if row["table"] == query["table"] and row["version_number"] > after:
                        newest[(row["part"], row["key"])] = row
                left = until - time.monotonic()
                if sender in self.turned_away:
                    return 503, {}
                if newest or left <= 0:
                    rows = sorted(newest.values(), key=lambda row: row["version_number"])
                    return 200, {"rows": rows, **self.stamp()}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/yuccaplank/rows-tx":
            for expected in document.get("expected_revision", []):
                key = (expected["table"], expected.get("part", ""), expected["key"])
                if self.rows.get(key, {}).get("version_number", 0) != expected["version_number"]:
                    return 412, {"rows": [], **self.stamp()}
            for row in document.get("puts", []) + document.get("remove", []):
                if row["table"] in ("op", "servers"):
                    return 403, {}
            self.version += 1
            for row in document.get("puts", []):
                self.apply({**row, "part": row.get("part", ""), "version_number": self.version})
            for row in document.get("remove", []):
                self.apply({"table": row["table"], "part": row.get("part", ""), "key": row["key"],
                            "version_number": self.version, "is_deleted": True})
            return 200, self.stamp()
        return 404, {}


class Worker(HttpServer):
    """A worker that starts whatever it is told to (`rejects_overload` false).

    A specification is "CPU MS": the thousandths of a core and the milliseconds that a task takes.
    """

    def __init__(self, case, ip, number, zone, cpu):
        super().__init__(ip, WORKER_PORT)
        self.case, self.id, self.zone, self.cpu = case, f"i-{number:08x}", zone, cpu
        self.rack = f"r{list(ZONES).index(zone) + 1}-1"
        self.alive, self.sequence, self.ticker = False, 0, None

    def clock(self):
        return int((time.monotonic() - self.booted) * 1000)

    async def start(self):
        """Begins a new life under the same id: it holds and knows nothing of before."""
        self.born, self.booted = int(time.time() * 1000), time.monotonic()
        self.runs, self.ended, self.finished, self.number = {}, {}, [], 0
        self.fence, self.lease_end = 0, 0.0
        self.changed = asyncio.Event()
        self.alive = True
        await self.listen()
        self.case.record(f"worker {self.id} up, capacity {self.cpu}, born {self.born}")
        self.beat()
        self.ticker = asyncio.ensure_future(self.tick())

    async def crash(self):
        self.case.record(f"worker {self.id} crashes")
        self.alive = False
        self.ticker.cancel()
        await self.close(reset=True)
        self.runs = {}
        asyncio.ensure_future(self.lapse())

    async def lapse(self):
        """Removes the entry after three heartbeat intervals of silence, unless the worker is back by then."""
        await asyncio.sleep(max(0.0, self.beaten_at + 4.5 - time.monotonic()))
        if not self.alive and time.monotonic() - self.beaten_at >= 4.5:
            self.case.record(f"the entry of worker {self.id} is removed")
            self.case.store.remove("servers", self.id)

    def beat(self):
        self.beaten_at = time.monotonic()
        self.sequence += 1
        self.case.store.put("servers", self.id, {
            "service": SERVICE, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
            "slots": 8, "state": "ready", "cold_remaining_ms": 0, "born": self.born,
            "capacity": {"cpu": self.cpu, "memory_limit_mb": 262144, "gpu": 0},
            "labels": ["a", self.rack], "clock_ms": self.clock(), "sequence": self.sequence})

    async def tick(self):
        next_beat = time.monotonic() + 1.5
        while True:
            await asyncio.sleep(0.004)
            self.advance()
            if time.monotonic() >= next_beat:
                next_beat += 1.5
                self.beat()

    def advance(self):
        now = time.monotonic()
        for task, run in list(self.runs.items()):
            if run["done_at"] <= now:
                self.end(task, "done")
            elif run["stop_at"] and run["stop_at"] <= now:
                self.end(task, "stopped")
            elif self.lease_end <= now:
                self.end(task, "lapsed")

    def end(self, task, how):
        run = self.runs.pop(task)
        self.ended[task] = max(self.ended.get(task, 0), run["run"])
        self.number += 1
        self.finished.append([self.number, task, run["run"], how, ""])
        self.case.record(f"worker {self.id} run {task} #{run['run']} ends {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    def extend(self, deadline_ms):
        end = self.booted + deadline_ms / 1000
        self.lease_end = max(self.lease_end, min(end, time.monotonic() + BOUNDS["max_hold_ms"] / 1000))

    def reply(self, status=200, **fields):
        return status, {"clock_ms": self.clock(), "born": self.born, **fields}

    def fenced(self, document):
        token = document.get("fencing_token", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    async def answer(self, method, path, query, headers, document):
        if path == "/health":
            return 200, {}
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        self.last_sender = self.sender
        delay = await self.case.before_order(self, path, document)
        if delay == "lost":
            await asyncio.sleep(3600)
        self.advance()
        if self.fenced(document):
            return self.reply(409, reason="fence")
        if path == "/yuccaplank/run-start":
            return self.start_run(document)
        if path == "/yuccaplank/run-stop":
            return self.stop_run(document)
        if path == "/yuccaplank/hold":
            return await self.hold(document)
        return 404, {}

    def start_run(self, order):
        task, run = order["task"], order["run"]
        if order["deadline_ms"] <= self.clock():
            return self.reply(409, reason="late")
        self.extend(order["deadline_ms"])
        present = self.runs.get(task)
        if present:
            return self.reply() if present["run"] == run else self.reply(409, reason="old")
        if run <= self.ended.get(task, 0):
            return self.reply(409, reason="old")
        cpu, work_ms = (float(word) for word in order["specification"].split()[:2])
        self.runs[task] = {"run": run, "cpu": cpu, "stop_at": None,
                           "done_at": time.monotonic() + work_ms / 1000}
        used = sum(each["cpu"] for each in self.runs.values())
        self.case.record(f"worker {self.id} starts {task} #{run} of {cpu:.0f}, token {order['fencing_token']}; "
                         f"{used:.0f} of {self.cpu} used")
        self.case.on_start(self, task, run, order, used)
        return self.reply()

    def stop_run(self, order):
        task, run = order["task"], order["run"]
        self.ended[task] = max(self.ended.get(task, 0), run)
        present = self.runs.get(task)
        if present and present["run"] <= run and not present["stop_at"]:
            present["stop_at"] = time.monotonic() + 0.01
        self.case.record(f"worker {self.id} told to stop {task} #{run}")
        return self.reply()

    async def hold(self, order):
        if "deadline_ms" in order:
            self.extend(order["deadline_ms"])
        observed = order.get("observed", 0)
        self.finished = [row for row in self.finished if row[0] > observed]
        until = time.monotonic() + min(order.get("wait_ms", 0), 2000) / 1000
        while not self.finished and time.monotonic() < until and self.alive:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        self.advance()
        if order.get("fencing_token", 0) < self.fence:
            return self.reply(409, reason="fence")
        return self.reply(running_tasks=[[task, run["run"], "", 0] for task, run in self.runs.items()],
                          finished=self.finished[:500])


class Node:
    """A machine with the daemon, started with the command of the deploy file."""

    def __init__(self, case, name, zone, ip):
        self.case, self.name, self.zone, self.ip = case, name, zone, ip
        self.frontend, self.process = f"{ip}:{FRONTEND_PORT}", None

    def settings(self):
        return {
            "node": self.name, "role": "entry", "machine_class": "frontend",
            "serves": ["frontend", "control_plane"], "ip": self.ip, "zone": self.zone, "region": "stredne-sk",
            "zones": {zone: "stredne-sk" for zone in ZONES},
            "listen_addresses": {"frontend": self.frontend, "ready": f"{self.ip}:{READY_PORT}",
                                 "control_plane": f"{self.ip}:{CONTROL_PORT}"},
            "internal_port_range": [7720, 7735],
            "seeds": [f"{node.ip}:{CONTROL_PORT}" for node in self.case.nodes[:3]],
            "bootstrap": True, "loss_counts": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "file_descriptors": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_directory": None, "discovery": "platform", "entry": "virtual_ip",
            "heartbeat_interval_ms": 1500, "contracts": ["base", "drain", "config", "recover", "sched", "platform"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS, "orders": "request",
            "platform": {"address": f"{self.case.store.ip}:{STORE_PORT}", "form": "table", "writes_per_s": 600,
                         "reads_per_s": 2000, "transaction_ms": 8.0, "row_bytes": 65536},
        }

    def start(self):
        path = self.case.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings(), indent=1))
        log = open(self.case.folder / f"{self.name}.log", "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.process = subprocess.Popen(self.case.command, cwd=ROOT, stdout=log, stderr=log,
                                        env={**environment, "YUCCAPLANK_BOOT": str(path)})
        log.close()
        self.case.record(f"machine {self.name} starts at {self.frontend}")

    def signal(self, number):
        self.case.record(f"machine {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ready(self):
        try:
            status, _ = await request(f"{self.ip}:{READY_PORT}", "GET", "/yuccaplank/readiness", timeout=1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def request(address, method, path, body=None, headers=(), timeout=10.0, host=None):
    """Sends one request on a new connection. Returns (status, document)."""
    ip, port = address.split(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            text = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host or address}", "Content-Type: application/json",
                     f"Content-Length: {len(text)}", *(f"{name}: {value}" for name, value in headers)]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
            line, _, content = await read_message(reader)
            return int(line.split(" ")[1]), json.loads(content) if content else None
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Case:
    """A deployment of six machines in four zones, and what a case does with it."""
    worker_count = 8
    worker_cpu = 64000
    # Whether the stand-ins find out which machine a request comes from.
    tells_senders = False

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(self.directory / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["entry"]["run"].split()
        self.nodes, self.workers, self.store, self.breaks = [], [], None, []
        self.starts = []

    # Hooks of the cases.

    async def before_order(self, worker, path, order):
        """Called before a worker carries out an order; "lost" leaves it undone and unanswered."""

    def on_start(self, worker, task, run, order, used):
        self.starts.append((self.record.now(), worker, task, run, order))

    async def play(self):
        raise NotImplementedError

    def broken(self, text):
        self.record(f"BROKEN {text}")
        self.breaks.append(text)

    def find_machine(self, peer):
        """Returns the name of the machine whose process has a connection from this address."""
        ip, port = peer
        local = "".join(f"{int(byte):02X}" for byte in reversed(ip.split("."))) + f":{port:04X}"
        with open("/proc/net/tcp") as table:
            inodes = {line.split()[9] for line in table if line.split()[1] == local}
        for node in self.nodes:
            folder = f"/proc/{node.process.pid}/fd"
            for descriptor in os.listdir(folder):
                try:
                    target = os.readlink(f"{folder}/{descriptor}")
                except OSError:
                    continue
                if target.startswith("socket:[") and target[8:-1] in inodes:
                    return node.name
        return None

    # Set-up.

    def free_network(self):
        """Returns the first three bytes of loopback addresses on which all ports are free."""
        for _ in range(50):
            net = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}"
            try:
                for last in range(1, 60):
                    for port in (FRONTEND_PORT, CONTROL_PORT, READY_PORT, OPERATOR_PORT, STORE_PORT, WORKER_PORT):
                        with socket.socket() as probe:
                            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            probe.bind((f"{net}.{last}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def configuration(self):
        return {"version": 1, "routes": [
            {"name": "r-wrr6x73", "host": HOST, "path_prefix": PREFIX, "kind": "unsafe", "timeout_ms": 60000,
             "target_latency_ms": 60, "priority": 0, "service": SERVICE, "max_attempts": 3, "stretch": 1.6}],
            "services": [{"name": SERVICE, "health_path": "/health", "connection_limit": 64, "protocol": "h1",
                          "tls": False, "rejects_overload": False, "spare": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}

    async def set_up(self):
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is missing; run the build of deploy/system.toml")
        net = self.free_network()
        self.store = Store(self, f"{net}.1")
        await self.store.listen()
        self.store.put("op", "config", self.configuration())
        zones = list(ZONES)
        for number in range(self.worker_count):
            worker = Worker(self, f"{net}.{20 + number}", number + 1, zones[number % len(zones)], self.worker_cpu)
            self.workers.append(worker)
            await worker.start()
        last = 2
        for zone, count in ZONES.items():
            for number in range(1, count + 1):
                self.nodes.append(Node(self, f"frontend-{zone}-{number}", zone, f"{net}.{last}"))
                last += 1
        for node in self.nodes:
            node.start()
        deadline = time.monotonic() + 20
        while not all([await node.ready() for node in self.nodes]):
            if time.monotonic() > deadline:
                raise CannotRun("the machines are not ready after 20 s")
            await asyncio.sleep(0.1)
        # The machines claim the workers. Traffic starts 10 s after the machines do.
        await asyncio.sleep(max(0.0, 8 - self.record.now()))
        self.record("set up")

    def tear_down(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            self.record(f"logs kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Clients.

    async def submit(self, node, job, count, cpu, work_ms, deadline_ms, estimated_ms=None):
        """Hands a job in as a client does. Returns (status, document), or (None, reason) without an answer."""
        body = {"specification": f"{cpu} {work_ms}", "best_effort": True,
                "steps": [{"count": count, "cpu": cpu, "memory_limit_mb": 64,
                           "estimated_ms": estimated_ms or work_ms}]}
        self.record(f"client POST {job} to {node.name}: {count} tasks of {cpu} for {work_ms} ms")
        return await self.call(node, "POST", job, body, deadline_ms)

    async def cancel(self, node, job):
        self.record(f"client DELETE {job} to {node.name}")
        return await self.call(node, "DELETE", job, None, 4000)

    async def call(self, node, method, job, body, deadline_ms):
        try:
            answer = await request(node.frontend, method, PREFIX + job, body, host=HOST, timeout=deadline_ms / 1000,
                                   headers=[("Deadline-Milliseconds", deadline_ms)])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            answer = None, type(error).__name__
        self.record(f"client gets {answer[0]} {json.dumps(answer[1])} for {method} {job} from {node.name}")
        return answer

    def task_running(self, job):
        return [(worker.id, task) for worker in self.workers for task in worker.runs if task.startswith(job)]


def new_job():
    return f"{random.getrandbits(64):016x}"


def main(case_class, directory):
    """Plays a case and ends the process with its exit status."""
    case = case_class(directory)

    def give_up():
        case.tear_down()
        os._exit(COULD_NOT_RUN)

    async def run():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, give_up)
        try:
            await asyncio.wait_for(play_with_machines(case), 110)
            status = BROKEN if case.breaks else HELD
        except CannotRun as error:
            case.record(f"COULD NOT RUN {error}")
            status = COULD_NOT_RUN
        except Exception as error:  # the record has to tell why the case could not run
            case.record(f"COULD NOT RUN {type(error).__name__}: {error}")
            status = COULD_NOT_RUN
        case.tear_down()
        verdict = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "the case could not run"}[status]
        case.record(verdict)
        print(verdict + "".join(f"\n  {text}" for text in case.breaks), flush=True)
        # Ends at once: the open connections of the stand-ins need no orderly end.
        os._exit(status)

    try:
        asyncio.run(run())
    finally:
        case.tear_down()


async def play_with_machines(case):
    await case.set_up()
    await case.play()
    for node in case.nodes:
        if node.process.poll() is not None:
            case.broken(f"machine {node.name} ended by itself with status {node.process.returncode}")
