"""Leases beside the lock manager of a Raft library, five processes of each on loopback.

    pip install pysyncobj==0.3.17 && python benchmarks/lease_raft.py [--trials 10]

(The library is needed for this measurement alone, so requirements.txt does not name it.) The same lease
for both, 1 s, and the library's other times as they come. The holder is killed, or stopped for 3 s and let go
on, or nobody is touched while one member's time of day is 5 s ahead. Counted from outside, by one monotonic
clock: the time without a holder, and how often one that had lost the duty held it to be its own.
"""

from __future__ import annotations

import rig  # first: it says where the others are

import argparse
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from test_lease_sockets import LeaseFleet

MEMBERS, LEASE_S, STOPPED_S, STEADY_S = 5, 1.0, 3.0, 10.0
PATIENCE = 30.0


def member(own: str, others: list[str], ahead: float) -> None:
    """One process with the library: says each 10 ms whether it holds the lock, if that changed."""
    import pysyncobj
    from pysyncobj.batteries import ReplLockManager

    if ahead:
        true_time = time.time
        time.time = lambda: true_time() + ahead
    locks = ReplLockManager(autoUnlockTime=LEASE_S)
    pysyncobj.SyncObj(own, others, consumers=[locks])

    def ask() -> None:
        while True:
            if not locks.isAcquired("fold"):
                try:
                    locks.tryAcquire("fold", sync=True, timeout=1.0)
                except pysyncobj.SyncObjException:
                    pass  # nobody leads at the moment
            time.sleep(0.1)

    threading.Thread(target=ask, daemon=True).start()
    before = None
    while True:
        if (now := locks.isAcquired("fold")) != before:
            before = now
            print("held" if now else "not", flush=True)
        time.sleep(0.01)


class Raft:
    """Five processes with the library."""

    def __init__(self, ahead: float = 0.0) -> None:
        socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(MEMBERS)]
        addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in socks]
        for sock in socks:
            sock.close()
        self.holds = [False] * MEMBERS
        self.processes = []
        for n, own in enumerate(addresses):
            others = [a for a in addresses if a != own]
            self.processes.append(
                subprocess.Popen(
                    [sys.executable, __file__, "--member", own, *others, "--ahead", str(ahead * (n == 0))],
                    stdout=subprocess.PIPE,
                    text=True,
                )
            )
            threading.Thread(target=self._read, args=(n,), daemon=True).start()

    def _read(self, n: int) -> None:
        for line in self.processes[n].stdout:
            self.holds[n] = line.strip() == "held"

    def holders(self, among) -> list[int]:
        """Who says that it holds it, of these."""
        return [n for n in among if self.holds[n]]

    def close(self) -> None:
        """End them."""
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait(10)


class Ours:
    """Five senders with one duty."""

    def __init__(self, ahead: float = 0.0) -> None:
        del ahead  # no time of day is read
        self.fleet = LeaseFleet(MEMBERS, Path(tempfile.mkdtemp())).wait_joined(PATIENCE)
        self.processes = [s.process for s in self.fleet.senders]

    def holders(self, among) -> list[int]:
        """Who says that it holds it, of these."""
        return [n for n in among if self.fleet.duty(n)["here"] == "held"]

    def close(self) -> None:
        """End them."""
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
        self.fleet.close()


def wait_for(made, among, patience: float = PATIENCE) -> int:
    """The one who holds it, once somebody does."""
    ends = time.monotonic() + patience
    while time.monotonic() < ends:
        if found := made.holders(among):
            return found[0]
        time.sleep(0.005)
    raise AssertionError("nobody holds it")


def gap(way, stop: bool) -> tuple[float, int]:
    """Seconds without a holder, and how often a stopped one held it to be its own when it went on."""
    made = way()
    try:
        every = range(MEMBERS)
        first = wait_for(made, every)
        time.sleep(1.0)
        first = wait_for(made, every)
        others = [n for n in every if n != first]
        began = time.monotonic()
        made.processes[first].send_signal(signal.SIGSTOP if stop else signal.SIGKILL)
        wait_for(made, others)
        took, wrong = time.monotonic() - began, 0
        if stop:
            time.sleep(max(0.0, STOPPED_S - took))
            made.processes[first].send_signal(signal.SIGCONT)
            ends = time.monotonic() + 0.5
            while time.monotonic() < ends:
                wrong = max(wrong, len(made.holders(every)) - 1)
                time.sleep(0.005)
        return took, wrong
    finally:
        made.close()


def loopback() -> int:
    """Bytes that went through the loopback device."""
    line = next(line for line in Path("/proc/net/dev").read_text().splitlines() if "lo:" in line)
    return int(line.split()[1])


def steady(way, ahead: float) -> dict:
    """What it costs while nothing happens, and how often the holder changes."""
    made = way(ahead)
    try:
        last = wait_for(made, range(MEMBERS))
        time.sleep(2.0)
        token = made.fleet.duty(0)["token"] if way is Ours else 0  # asking is traffic: before and after
        began, before, changes = time.monotonic(), loopback(), 0
        while time.monotonic() < began + STEADY_S:
            found = made.holders(range(MEMBERS)) if way is Raft else []
            if found and found[0] != last:
                changes, last = changes + 1, found[0]
            time.sleep(0.02)
        spent = (loopback() - before) / STEADY_S / MEMBERS
        if way is Ours:
            changes = made.fleet.duty(0)["token"] - token
        memory = [
            int(
                next(
                    line.split()[1]
                    for line in Path(f"/proc/{p.pid}/status").read_text().splitlines()
                    if line.startswith("VmRSS")
                )
            )
            / 1024
            for p in made.processes
        ]
        return {
            "way": way.__name__,
            "ahead": ahead,
            "bytes": spent,
            "changes": changes,
            "memory": max(memory),
        }
    finally:
        made.close()


def main() -> None:
    """All of it."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--trials", type=int, default=10)
    parser.add_argument("--member", nargs="+")
    parser.add_argument("--ahead", type=float, default=0.0)
    chosen = parser.parse_args()
    if chosen.member:
        return member(chosen.member[0], chosen.member[1:], chosen.ahead)
    names = {Raft: "pysyncobj 0.3.17", Ours: "leases of a majority"}
    rows, lines = (
        [],
        [
            f"Five processes, a lease of {LEASE_S:g} s, {chosen.trials} trials in turn.",
            "",
            "| the holder is | by | without a holder | the old one holds it, too |",
            "| --- | --- | --- | --- |",
        ],
    )
    for stop in (False, True):
        found: dict = {way: [] for way in names}
        for _ in range(chosen.trials):
            for way in names:
                found[way].append(gap(way, stop))
                print(way.__name__, stop, found[way][-1], flush=True)
        for way, pairs in found.items():
            rows.append({"way": way.__name__, "stopped": stop, "found": pairs})
            lines.append(
                f"| {'stopped for 3 s' if stop else 'killed'} | {names[way]} | "
                f"{rig.spread([took for took, _ in pairs], ' s')} | "
                f"{sum(wrong for _, wrong in pairs) if stop else '-'} |"
            )
    lines += [
        "",
        "Nobody is touched, for 10 s:",
        "",
        "| by | a member's time of day | changes of holder | bytes a second a member | MB |",
        "| --- | --- | --- | --- | --- |",
    ]
    for way in names:
        for ahead in (0.0, 5.0):
            row = steady(way, ahead)
            rows.append(row)
            lines.append(
                f"| {names[way]} | {'5 s ahead' if ahead else 'right'} | {row['changes']} | "
                f"{row['bytes']:.0f} | {row['memory']:.1f} |"
            )
            print(lines[-1], flush=True)
    lines += [
        "",
        "Bytes are all that went through the loopback device, the membership's, headers and "
        "answers included; memory is a whole process, of ours a whole sender.",
    ]
    rig.write("lease-raft", "python benchmarks/lease_raft.py", lines, {"rows": rows})


if __name__ == "__main__":
    main()
