"""Sends hostile requests to daemons and checks their memory, their descriptors and their answers to ordinary requests.

The crowds and the limits are small, so that the tests fit on any machine. They were fixed before the daemon had its
limits, when the crowds exceeded the bounds: the memory and the descriptors that the settings give the machine."""
import argparse
import json
import resource
import socket
import sys
import tempfile
import time
from concurrent import futures

import fleet
import untrusted_fleet
from caller_requests import HOST, chunk, chunked, head, job, whole
from crowds import Crowd
from process_watch import ProcessWatch

LIMITS = untrusted_fleet.LIMITS
CROWD = 250
BODY_BYTES = 262_000
SENT_BYTES = 259_000
# Limit of a body; one of this size is legal.
MAX_BODY_BYTES = 262_144
# An ordinary request has to be answered within this time, and a large legal job within the other one.
ORDINARY_TIMEOUT_S = 5
LARGE_JOB_TIMEOUT_S = 60
KNOWN_RED_PREFIX = "untrusted-callers: "
# An ordinary caller that is refused (503, not run) comes back this many times.
ORDINARY_TRIES = 20


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


def jobs_with_more_behind(crowd):
    """Jobs that wait for a server, and the next request of the connection behind each."""
    body = job(specification="40000 20000", cpu=40_000, estimated_ms=20_000)
    following = whole(1 << 32, job(size=BODY_BYTES))
    return texts(crowd, lambda number: whole(number, body, "Deadline-Milliseconds: 60000") + following)


def silent(crowd):
    return [b""] * (4 * crowd)


def many_small_tasks(number, run_ms=50):
    """The caller has time, and the servers have room for all tasks at once."""
    specification = f"1 {run_ms} ".ljust(4000, "x")
    body = job(specification=specification, count=10_000, cpu=1, memory_limit_mb=0, estimated_ms=5000)
    return whole(number, body, "Deadline-Milliseconds: 60000")


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
    ("jobs that wait, with another request behind each", "callers", jobs_with_more_behind, b"", 0),
    ("more connections than descriptors", "callers", silent, b"", 0),
]

# Requests that a single caller may send: bodies of the largest size in the encodings that HTTP/1.1 allows, and the most
# tasks of a job.
LEGAL_REQUESTS = [
    ("a body of the largest size, its length announced", lambda number: whole(number, job(size=MAX_BODY_BYTES))),
    ("a body of the largest size, in one chunk",
     lambda number: chunked(number, job(size=MAX_BODY_BYTES), MAX_BODY_BYTES)),
    ("a body of the largest size, in chunks of 1,000 bytes",
     lambda number: chunked(number, job(size=MAX_BODY_BYTES), 1000)),
    ("a body of the largest size, in chunks of one byte", lambda number: chunked(number, job(size=MAX_BODY_BYTES), 1)),
    ("a job of 10,000 small tasks with a long specification", many_small_tasks),
]
SERVER_CRASH = "a job of 10,000 small tasks on a server that crashes"


def unanswered_requests(vm, number):
    """Submits a job and calls the ports of the operators and of the readiness check. Returns those without a reply."""
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
    request = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
               f"Content-Length: {len(body or b'')}\r\n\r\n")
    return send_text(address, request.encode() + (body or b""), ORDINARY_TIMEOUT_S)


def send_text(address, text, timeout=LARGE_JOB_TIMEOUT_S):
    """Returns the status of the reply, or 0 if there is none."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=timeout) as connection:
        connection.sendall(text)
        reply = connection.recv(4096).split(b" ", 2)
    return int(reply[1]) if len(reply) > 1 else 0


def run_with_fleet(options, domains, limits, check):
    """Starts the processes and calls check(system). Returns its figures."""
    with tempfile.TemporaryDirectory(prefix="yuccaplank-untrusted-") as directory:
        system = fleet.Fleet(options.keep_logs or directory, domains, 4, first_port=options.first_port,
                             build=options.build, limits=limits)
        try:
            system.start()
            system.send_control_request("/configuration", {
                "version": 2, "routes": [{"name": "jobs", "host": HOST, "path_prefix": "/jobs/", "service": "pool",
                                          "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 60}],
                "services": [{"name": "pool"}], "limits": {"max_body_bytes": MAX_BODY_BYTES}})
            time.sleep(1.5)
            return check(system)
        finally:
            system.stop()


def check_crowd(case, index, options, system):
    name, port, make, endless, pause = case
    vm = next(iter(system.vms.values()))
    watch = ProcessWatch(vm)
    figures = {"case": name, "rss_before_mb": round(watch.status_mb("VmRSS"), 1)}
    address = {"callers": vm.caller_address, "operators": vm.operator_address, "readiness": vm.readiness_address}[port]
    crowd = Crowd(address, make(options.crowd), endless)
    try:
        crowd.run(watch.sample, pause)
        figures["open_connections"] = crowd.open
        faults = find_faults(watch, options, lambda: unanswered_requests(vm, 1 << 40 | index))
        if options.watch_s:
            figures["open_until_s"] = wait_until_closed(crowd, watch, options.watch_s)
    finally:
        crowd.close()
    return {**figures, **(watch.figures() if watch.lives() else {}), "faults": faults}


def find_faults(watch, options, find_unanswered):
    """Lists what is wrong with the process after a crowd."""
    if not watch.lives():
        return ["ended"]
    faults = [f"no answer on the {port} port" for port in find_unanswered()]
    if not watch.lives():
        return faults + ["ended"]
    return faults + watch.bounds_exceeded(options.memory_bound_mb or options.memory_mb, options.file_descriptors)


def wait_until_closed(crowd, watch, seconds):
    """Returns the time until the last connection of the crowd was closed; None if some stay open."""
    start = time.monotonic()
    while time.monotonic() - start < seconds:
        if not crowd.open:
            return round(time.monotonic() - start, 1)
        crowd.advance(watch.sample, 0)
    return None


def check_server_crash(options, system):
    """Crashes a server under a job of many small tasks. The caller gets an answer."""
    vm = next(iter(system.vms.values()))
    watch = ProcessWatch(vm)
    with futures.ThreadPoolExecutor() as threads:
        answer = threads.submit(send_text, vm.caller_address, many_small_tasks(1, run_ms=1500))
        time.sleep(0.7)
        system.send_control_request("/workers/crash", {"names": ["w1"]})
        time.sleep(1)
        system.send_control_request("/workers/start", {"names": ["w1"]})
        status = answer.result()
    watch.sample()
    faults = find_faults(watch, options, lambda: unanswered_requests(vm, 1 << 40))
    if not status:
        faults.append("no answer")
    return {"case": SERVER_CRASH, "status": status, **(watch.figures() if watch.lives() else {}), "faults": faults}


def check_legal_request(case, index, options, system):
    """Sends a legal request to an idle system, which has to serve it."""
    name, make = case
    vm = next(iter(system.vms.values()))
    watch = ProcessWatch(vm)
    status = send_text(vm.caller_address, make(index + 1))
    watch.sample()
    faults = find_faults(watch, options, lambda: unanswered_requests(vm, 1 << 40 | index))
    if status != 200:
        faults.append(f"answered with {status}")
    return {"case": name, **(watch.figures() if watch.lives() else {}), "faults": faults}


def cases(options):
    """Lists (name, function that runs the case and returns its figures)."""
    limits = {**LIMITS, "memory_mb": options.memory_mb, "file_descriptors": options.file_descriptors}

    def one_vm(check):
        return lambda: run_with_fleet(options, {"d1": 1}, limits, check)

    def many_vms(case):
        return lambda: run_with_fleet(options, {"d1": case.vms}, case.limits,
                                      lambda system: untrusted_fleet.check(case, system, unanswered_requests))

    listed = [(case[0], one_vm(lambda system, case=case, index=index: check_crowd(case, index, options, system)))
              for index, case in enumerate(CASES)]
    listed += [(case[0], one_vm(lambda system, case=case, index=index: check_legal_request(case, index, options, system)))
               for index, case in enumerate(LEGAL_REQUESTS)]
    listed.append((SERVER_CRASH, one_vm(lambda system: check_server_crash(options, system))))
    return listed + [(case.name, many_vms(case)) for case in untrusted_fleet.CASES]


def read_known_red():
    """The names of this test's cases that KNOWN-RED.txt lists. They run only when --only names them."""
    lines = (fleet.ROOT / "KNOWN-RED.txt").read_text().splitlines()
    entries = [line.split("|")[0].strip() for line in lines]
    return {entry.removeprefix(KNOWN_RED_PREFIX) for entry in entries if entry.startswith(KNOWN_RED_PREFIX)}


def main():
    parser = argparse.ArgumentParser(prog="scripts/untrusted-callers")
    parser.add_argument("--first-port", type=int, default=9600,
                        help="the first free block of ports from here on is used")
    parser.add_argument("--build", default="build", help="directory of the programs")
    parser.add_argument("--only", default="", help="run the cases whose name contains this text")
    parser.add_argument("--keep-logs", default="", help="directory in which the logs are kept")
    parser.add_argument("--crowd", type=int, default=CROWD, help="connections of the crowd")
    parser.add_argument("--memory-mb", type=int, default=LIMITS["memory_mb"], help="memory of the machine")
    parser.add_argument("--memory-bound-mb", type=int, default=0, help="bound of the memory, if not --memory-mb")
    parser.add_argument("--file-descriptors", type=int, default=LIMITS["file_descriptors"])
    parser.add_argument("--watch-s", type=int, default=0, help="wait this long for the daemon to close the crowd")
    options = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    chosen = [case for case in cases(options) if options.only in case[0]]
    chosen = [case for case in chosen if options.only == case[0]] or chosen
    if not options.only:
        known_red = read_known_red()
        for name in sorted(known_red):
            print(f"known red: {name}")
        chosen = [case for case in chosen if case[0] not in known_red]
    passed = 0
    for _, run in chosen:
        figures = run()
        print(json.dumps(figures), flush=True)
        passed += not figures["faults"]
    print(f"{passed} passed, {len(chosen) - passed} failed")
    return 0 if passed == len(chosen) else 1


if __name__ == "__main__":
    sys.exit(main())
