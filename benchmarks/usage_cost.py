"""What peers and counts cost a sender: memory and CPU when idle, off, alone and among eight; a count's time.

.venv/bin/python benchmarks/usage_cost.py [--seconds 20] [--runs 3]
"""

import argparse
import os
import statistics
import tempfile
import time
from pathlib import Path

from rig import rss_kb, spread, write

from meshed import MeshFleet
from harness import Discovery, Host, Sender

from willownotch.files.layer import REAL
from willownotch.files.space import Space
from willownotch.usage.store import CountStore
from willownotch.usage.core import Session
from willownotch.usage.tally import Tally
from willownotch.usage.wire import CountKind

TICK = os.sysconf("SC_CLK_TCK")
COUNTS = 20_000


def cpu_s(pid):
    """CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def idle(pid, seconds):
    """Share of a core, and memory, of an idle process."""
    time.sleep(1.0)
    before, began = cpu_s(pid), time.monotonic()
    time.sleep(seconds)
    return 100 * (cpu_s(pid) - before) / (time.monotonic() - began), rss_kb(pid)


def off(seconds):
    """A sender without peers."""
    host = Host()
    discovery = Discovery([host])
    sender = Sender(discovery).ready()
    try:
        return idle(sender.process.pid, seconds)
    finally:
        sender.close()
        host.close()
        discovery.close()


def on(number, seconds):
    """One of so many senders that know of each other and count."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = MeshFleet(number, Path(folder), peers="", usage="")
        try:
            fleet.wait_joined(90)
            return idle(fleet.senders[0].process.pid, seconds)
        finally:
            fleet.close()


def count_us():
    """Microseconds of one count, its log written: the client waits for it."""
    with tempfile.TemporaryDirectory() as folder:
        book = CountStore(Path(folder), REAL, Space(100_000_000), print)
        book.begin(Session(1, "here"), Tally(20_000))
        book.compact([], book.read()[1])
        took = []
        for n in range(COUNTS):
            began = time.perf_counter()
            book.count(time.monotonic(), [(f"tenant {n % 1000}", "status", CountKind.TAKEN)])
            took.append(1e6 * (time.perf_counter() - began))
        return sorted(took)


def main():
    """All cases in turn, several times."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--runs", type=int, default=3)
    chosen = parser.parse_args()
    cases = {
        "off": lambda: off(chosen.seconds),
        "peers and counts, alone": lambda: on(1, chosen.seconds),
        "peers and counts, among eight": lambda: on(8, chosen.seconds),
    }
    found = {name: [] for name in cases}
    for _ in range(chosen.runs):
        for name, case in cases.items():
            found[name].append(case())
    lines = ["| sender, idle | CPU, % of a core | memory, KB |", "| --- | --- | --- |"]
    for name, runs in found.items():
        cpu, memory = zip(*runs, strict=True)
        lines.append(f"| {name} | {spread(cpu)} | {spread(memory)} |")
    took = count_us()
    lines += [
        "",
        f"One count, its record in the log: {statistics.median(took):.1f} us (p99 "
        f"{took[int(0.99 * len(took))]:.1f}, worst {took[-1]:.0f}), {COUNTS} counts of 1,000 tenants.",
    ]
    write(
        "usage-cost",
        f"benchmarks/usage_cost.py --seconds {chosen.seconds:g} --runs {chosen.runs}",
        lines,
        {"idle": found, "count_us": took[::100]},
    )


if __name__ == "__main__":
    main()
