"""Sends hostile requests to a daemon and checks its memory, its descriptors and its answer to an ordinary request.

The crowd and the limits are small, so that the test fits on any machine. They were fixed before the daemon had its
limits, when the crowd exceeded the bounds."""
import argparse
import json
import pathlib
import resource
import selectors
import socket
import sys
import tempfile
import time

import fleet

# The bounds of each case: resident memory (peak) and descriptors stay below the limits of the machine.
LIMITS = {"cpu_share": 0.25, "memory_mb": 40, "file_descriptors": 700}
CROWD = 250
BODY_BYTES = 262_000
SENT_BYTES = 259_000
HOST = "jobs.example"
SEND_TIMEOUT_S = 6
HOLD_S = 2
# An ordinary caller that is refused (503, not run) comes back this many times.
ORDINARY_TRIES = 20


def job(specification="100 50", size=0):
    body = json.dumps({"specification": specification, "best_effort": True, "steps": [
        {"count": 1, "cpu": 500, "memory_limit_mb": 64, "estimated_ms": 50}]})
    return body.ljust(size).encode()


def head(number, *fields, path="/jobs/"):
    return "\r\n".join([f"POST {path}{number:016x} HTTP/1.1", f"Host: {HOST}", *fields, "", ""]).encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def whole(number, body):
    return head(number, f"Content-Length: {len(body)}") + body


class Crowd:
    """Connections that each send a text, without reading, and stay open. A connection whose text is endless sends the
    last piece again and again."""

    def __init__(self, address, texts, endless=b""):
        host, port = address.split(":")
        self.endless = endless
        self.selector = selectors.DefaultSelector()
        self.open = 0
        for text in texts:
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex((host, int(port)))
            self.selector.register(connection, selectors.EVENT_WRITE | selectors.EVENT_READ, [memoryview(text)])
            self.open += 1

    def drop(self, key):
        self.selector.unregister(key.fileobj)
        key.fileobj.close()
        self.open -= 1

    def step(self, key, events):
        try:
            if events & selectors.EVENT_READ and not key.fileobj.recv(65536):
                return self.drop(key)
            if events & selectors.EVENT_WRITE:
                left = key.data[0][key.fileobj.send(key.data[0]):] if key.data[0] else key.data[0]
                key.data[0] = left or memoryview(self.endless)
                if not key.data[0]:
                    self.selector.modify(key.fileobj, selectors.EVENT_READ, key.data)
        except BlockingIOError:
            pass
        except OSError:
            self.drop(key)

    def is_sending(self):
        return any(key.events & selectors.EVENT_WRITE for key in self.selector.get_map().values())

    def run(self, sample, pause):
        """Sends everything, then holds the connections for a while."""
        end = time.monotonic() + SEND_TIMEOUT_S
        while self.open and self.is_sending() and time.monotonic() < end:
            self.advance(sample, pause)
        end = time.monotonic() + HOLD_S
        while time.monotonic() < end:
            self.advance(sample, pause)

    def advance(self, sample, pause):
        for key, events in self.selector.select(timeout=0.05):
            self.step(key, events)
        sample()
        time.sleep(pause)

    def close(self):
        for key in list(self.selector.get_map().values()):
            self.drop(key)


class Process:
    """Measures a daemon."""

    def __init__(self, process):
        self.process, self.descriptors = process, 0

    def sample(self):
        if self.lives():
            self.descriptors = max(self.descriptors, len(list(pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir())))

    def lives(self):
        return self.process.poll() is None

    def memory_mb(self, field):
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) / 1000
        return 0.0


def texts(count, make):
    return [make(number + 1) for number in range(count)]


def announced_far_over(crowd):
    return texts(crowd, lambda number: whole(number, b" " * 4_000_000))


def sent_far_over(crowd):
    return texts(crowd, lambda number: head(number, "Transfer-Encoding: chunked") + chunk(b" " * 50_000) * 80)


def whole_bodies(crowd):
    return texts(crowd, lambda number: whole(number, job(size=BODY_BYTES)))


def stopping_short(crowd):
    return texts(crowd, lambda number: head(number, f"Content-Length: {BODY_BYTES}") + b" " * SENT_BYTES)


def large_specifications(crowd):
    return texts(crowd, lambda number: whole(number, job(specification="x" * 200_000)))


def endless_chunks(crowd):
    return texts(crowd, lambda number: head(number, "Transfer-Encoding: chunked"))


def silent(crowd):
    return [b""] * (4 * crowd)


# Name, port, texts of the crowd, endless piece, pause between two steps in seconds.
CASES = [
    ("a body far over the limit, announced", "callers", announced_far_over, b"", 0),
    ("a body far over the limit, sent in chunks", "callers", sent_far_over, b"", 0),
    ("many bodies of legal size at once", "callers", whole_bodies, b"", 0),
    ("many bodies that stop short of their end", "callers", stopping_short, b"", 0),
    ("many bodies that stop short of their end, operators' port", "operators", stopping_short, b"", 0),
    ("many bodies that stop short of their end, readiness port", "readiness", stopping_short, b"", 0),
    ("many large specifications", "callers", large_specifications, b"", 0),
    ("chunks without end", "callers", endless_chunks, chunk(b" " * 1000), 0),
    ("small chunks without end", "callers", endless_chunks, chunk(b" "), 0.01),
    ("more connections than descriptors", "callers", silent, b"", 0),
]


def ordinary_requests_answered(vm, number):
    """Whether a job is answered, and the ports of the operators and of the readiness check reply."""
    request = {"caller": ("POST", vm.caller_address, f"/jobs/{number:016x}", job()),
               "operator": ("GET", vm.operator_address, "/metrics", None),
               "readiness": ("GET", vm.readiness_address, "/yuccaplank/readiness", None)}
    return [name for name, call in request.items() if not answered(*call)]


def answered(method, address, path, body):
    for _ in range(ORDINARY_TRIES):
        try:
            if exchange(method, address, path, body) == 200:
                return True
        except OSError:
            pass
        time.sleep(0.5)
    return False


def exchange(method, address, path, body):
    """The host names a queue, so the request is written here rather than by urllib."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        text = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\nContent-Length: {len(body or b'')}\r\n\r\n"
        connection.sendall(text.encode() + (body or b""))
        reply = connection.recv(4096).split(b" ", 2)
    return int(reply[1]) if len(reply) > 1 else 0


def run_case(case, index, options):
    name, port, make, endless, pause = case
    limits = {"cpu_share": 0.25, "memory_mb": options.memory_mb, "file_descriptors": options.file_descriptors}
    with tempfile.TemporaryDirectory(prefix="yuccaplank-untrusted-") as directory:
        system = fleet.Fleet(options.keep_logs or directory, {"d1": 1}, 4, base_port=options.base_port,
                             build=options.build, limits=limits)
        crowd = None
        try:
            system.start()
            system.send_control_request("/configuration", {
                "version": 2, "routes": [{"name": "jobs", "host": HOST, "path_prefix": "/jobs/", "service": "pool",
                                          "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 60}],
                "services": [{"name": "pool"}], "limits": {"max_body_bytes": 262_144}})
            vm = next(iter(system.vms.values()))
            process = Process(vm.process)
            time.sleep(1.5)
            before = process.memory_mb("VmRSS")
            address = {"callers": vm.caller_address, "operators": vm.operator_address,
                       "readiness": vm.readiness_address}[port]
            crowd = Crowd(address, make(options.crowd), endless)
            crowd.run(process.sample, pause)
            faults = [] if process.lives() else ["ended"]
            figures = {"case": name, "rss_before_mb": before, "open_connections": crowd.open,
                       "descriptors": process.descriptors}
            if not faults:
                unanswered = ordinary_requests_answered(vm, 1 << 40 | index)
                faults += [f"no answer on the {port} port" for port in unanswered]
                figures["rss_peak_mb"] = process.memory_mb("VmHWM")
                figures["rss_after_mb"] = process.memory_mb("VmRSS")
                if figures["rss_peak_mb"] > (options.rss_bound_mb or options.memory_mb):
                    faults.append("memory")
            if options.watch_s:
                figures["open_until_s"] = watch(crowd, process, options.watch_s)
            if process.descriptors > options.file_descriptors:
                faults.append("descriptors")
        finally:
            if crowd:
                crowd.close()
            system.stop()
    print(json.dumps({**figures, "faults": faults}), flush=True)
    return not faults


def watch(crowd, process, seconds):
    """Returns the time until the last connection of the crowd was closed; None if some stay open."""
    start = time.monotonic()
    while time.monotonic() - start < seconds:
        if not crowd.open:
            return round(time.monotonic() - start, 1)
        crowd.advance(process.sample, 0)
    return None


def main():
    parser = argparse.ArgumentParser(prog="scripts/untrusted-callers")
    parser.add_argument("--base-port", type=int, default=9500)
    parser.add_argument("--build", default="build", help="directory of the programs")
    parser.add_argument("--only", default="", help="run the cases whose name contains this text")
    parser.add_argument("--keep-logs", default="", help="directory in which the logs are kept")
    parser.add_argument("--crowd", type=int, default=CROWD, help="connections of the crowd")
    parser.add_argument("--memory-mb", type=int, default=LIMITS["memory_mb"], help="memory of the machine")
    parser.add_argument("--rss-bound-mb", type=int, default=0, help="bound of the memory, if not --memory-mb")
    parser.add_argument("--file-descriptors", type=int, default=LIMITS["file_descriptors"])
    parser.add_argument("--watch-s", type=int, default=0, help="wait this long for the daemon to close the crowd")
    options = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    cases = [(index, case) for index, case in enumerate(CASES) if options.only in case[0]]
    cases = [(index, case) for index, case in cases if options.only == case[0]] or cases
    passed = sum(run_case(case, index, options) for index, case in cases)
    print(f"{passed} passed, {len(cases) - passed} failed")
    return 0 if passed == len(cases) else 1


if __name__ == "__main__":
    sys.exit(main())
