"""The quick start: submits a job, and prints its answer, the fleet and the burn report."""
import argparse
import json
import os
import signal
import subprocess
import sys
import time

import fleet

DIRECTORY = fleet.ROOT / ".quickstart"
STATE = DIRECTORY / "processes.json"


def run_cli(system, *arguments):
    command = [str(system.build / "yuccaplank"), *arguments]
    print("\n$ yuccaplank " + " ".join(arguments), flush=True)
    environment = dict(os.environ, YUCCAPLANK_ENTRY=system.entries(), YUCCAPLANK_OPERATOR=system.operators())
    status = subprocess.run(command, env=environment, cwd=fleet.ROOT).returncode
    if status != 0:
        raise RuntimeError(f"exit status {status}")


def is_ours(pid):
    """Whether the process is one that an earlier quick start left running."""
    try:
        with open(f"/proc/{pid}/cmdline", "rb") as line:
            return b"yuccaplank" in line.read()
    except OSError:
        return False


def stop_kept():
    if not STATE.exists():
        return False
    pids = [pid for pid in json.loads(STATE.read_text()) if is_ours(pid)]
    for pid in pids:
        os.kill(pid, signal.SIGTERM)
    end = time.monotonic() + fleet.STOP_TIMEOUT_S
    while any(is_ours(pid) for pid in pids) and time.monotonic() < end:
        time.sleep(0.05)
    STATE.unlink()
    return True


def show(system):
    run_cli(system, "submit", "examples/proof.job.json")
    run_cli(system, "waiting", fleet.QUEUE)
    run_cli(system, "vms")
    run_cli(system, "servers")
    run_cli(system, "report", "burn")


def main():
    parser = argparse.ArgumentParser(prog="scripts/quickstart")
    parser.add_argument("--keep", action="store_true", help="leave everything running and print the addresses")
    parser.add_argument("--stop", action="store_true", help="stop what --keep has left running")
    options = parser.parse_args()
    if options.stop:
        print("stopped" if stop_kept() else "nothing is running")
        return 0
    if stop_kept():
        print("An earlier quick start was still running and has been stopped.")
    system = fleet.Fleet(DIRECTORY, {"d1": 2, "d2": 1}, workers=6)
    try:
        system.start()
        print(f"Three entry VMs in two failure domains and {system.workers} backend servers are up.")
        show(system)
    except (RuntimeError, OSError) as error:
        print(f"quick start failed: {error}; logs are in {DIRECTORY}", file=sys.stderr)
        system.stop()
        return 1
    if not options.keep:
        system.stop()
        print("\nAll stopped. scripts/quickstart --keep leaves it running.")
        return 0
    STATE.write_text(json.dumps([process.pid for process in system.processes]))
    print("\nStill running. To use it:")
    print(f"  export YUCCAPLANK_ENTRY={system.entries()} YUCCAPLANK_OPERATOR={system.operators()}")
    print("  build/yuccaplank --help")
    print(f"Store {system.store_address}, control of the stand-in {system.control_address}, logs {DIRECTORY}")
    print("scripts/quickstart --stop ends it.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
