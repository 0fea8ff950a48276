"""Quick start: submits a job, and prints its answer, the fleet and the burn report."""
import argparse
import json
import os
import signal
import subprocess
import sys
import time

import fleet

DIRECTORY = fleet.ROOT / ".quickstart"
STATE_FILE = DIRECTORY / "processes.json"


def run_cli(system, *arguments):
    command = [str(system.build / "yuccaplank"), *arguments]
    print("\n$ yuccaplank " + " ".join(arguments), flush=True)
    environment = dict(os.environ, YUCCAPLANK_ENTRY=system.entry_addresses(),
                       YUCCAPLANK_OPERATOR=system.operator_addresses())
    status = subprocess.run(command, env=environment, cwd=fleet.ROOT).returncode
    if status != 0:
        raise RuntimeError(f"yuccaplank {arguments[0]} ended with exit status {status}")


def is_own_process(pid):
    """Returns whether the process is one of this project. Another program may have received the id since."""
    try:
        with open(f"/proc/{pid}/cmdline", "rb") as line:
            return b"yuccaplank" in line.read()
    except OSError:
        return False


def stop_earlier_run():
    if not STATE_FILE.exists():
        return False
    pids = [pid for pid in json.loads(STATE_FILE.read_text()) if is_own_process(pid)]
    for pid in pids:
        os.kill(pid, signal.SIGTERM)
    deadline = time.monotonic() + fleet.STOP_TIMEOUT_S
    while any(is_own_process(pid) for pid in pids) and time.monotonic() < deadline:
        time.sleep(0.05)
    STATE_FILE.unlink()
    return True


def run_demo(system):
    run_cli(system, "submit", "examples/proof.job.json")
    run_cli(system, "waiting", fleet.QUEUE)
    run_cli(system, "vms")
    run_cli(system, "servers")
    run_cli(system, "report", "burn")


def main():
    parser = argparse.ArgumentParser(prog="scripts/quickstart")
    parser.add_argument("--keep", action="store_true", help="leave all processes running and print the addresses")
    parser.add_argument("--stop", action="store_true", help="stop the processes that --keep left running")
    options = parser.parse_args()
    if options.stop:
        print("stopped" if stop_earlier_run() else "nothing is running")
        return 0
    if stop_earlier_run():
        print("An earlier quick start was still running and has been stopped.")
    try:
        # Two quick starts would share the directory, so only one gets its block of ports.
        system = fleet.Fleet(DIRECTORY, {"d1": 2, "d2": 1}, server_count=6, tried_blocks=1)
    except RuntimeError as error:
        print(f"quick start failed: {error}", file=sys.stderr)
        return 1
    try:
        system.start()
        print(f"Three entry VMs in two failure domains and {system.server_count} backend servers are up.")
        run_demo(system)
    except (RuntimeError, OSError) as error:
        print(f"quick start failed: {error}; logs are in {DIRECTORY}", file=sys.stderr)
        system.stop()
        return 1
    if not options.keep:
        system.stop()
        print("\nAll stopped. scripts/quickstart --keep leaves it running.")
        return 0
    STATE_FILE.write_text(json.dumps([process.pid for process in system.processes]))
    print("\nStill running. To use it:")
    print(f"  export YUCCAPLANK_ENTRY={system.entry_addresses()} YUCCAPLANK_OPERATOR={system.operator_addresses()}")
    print("  build/yuccaplank --help")
    print(f"Store {system.store_address}, control of the stand-in {system.control_address}, logs {DIRECTORY}")
    print("scripts/quickstart --stop ends it.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
