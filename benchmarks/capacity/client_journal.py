"""The client side and the journal: a real sender under rising rates and connections, and replays.

    python benchmarks/capacity/client_journal.py [--quick]

Some seven minutes, the sender on one core and the stand-ins on another. Messages of 500 bytes go to endpoints
that deliver at once, evenly spread in time over kept connections. Processor time is the process's own clock,
whole process; memory its resident set. The journal's bytes are what its records take, read from the file's
growth. Replay is `Journal.open` on a file of messages that are owed, in this process.
"""

from __future__ import annotations

import slopes  # first: it says where the others are

import argparse
import gc
import os
import shutil
import tempfile
import threading
import time
import tracemalloc
from datetime import UTC, datetime, timedelta
from pathlib import Path

import rig
from harness import Discovery, Host, Sender

from willownotch.files.space import Space
from willownotch.journal import records
from willownotch.net.journal import NAME, Journal

RATE, HELD = 121.0, 2_100_000
BODY = b"w" * 500
CONNECTIONS = 8  # where the rate is varied
HOSTS = 4


def cpu_s(pid: int) -> float:
    """CPU time of a process, ended threads included: its own clock, as clock_getcpuclockid(3) numbers it."""
    return time.clock_gettime((~pid << 3) | 2)


class Clients:
    """So many kept connections that hand messages in, evenly in time, until stopped."""

    def __init__(self, sender: Sender, connections: int, rate: float) -> None:
        self.sender, self.gap, self.ends = sender, connections / rate, False
        self.taken = self.others = 0
        self.took: list[float] = []
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.serve, args=(n / rate,)) for n in range(connections)]
        for thread in self.threads:
            thread.start()

    def serve(self, phase: float) -> None:
        """One connection; it is made anew where the sender ends it between two requests."""
        at, sock = time.monotonic() + phase, None
        while not self.ends:
            if (wait := at - time.monotonic()) > 0:
                time.sleep(min(wait, 0.2))
                continue
            at += self.gap
            with self.lock:
                data = self.sender.message(dest=7 + len(self.took) % HOSTS, body=BODY)
            began = time.monotonic()
            for _ in range(2):
                sock = sock or self.sender.connect()
                try:
                    head = self.sender.exchange(data, sock)
                    break
                except OSError:
                    sock.close()
                    sock = None
            else:
                continue
            with self.lock:
                self.took.append(time.monotonic() - began)
                self.taken += head.status == 202
                self.others += head.status != 202
        if sock is not None:
            sock.close()

    def stop(self) -> None:
        """No more messages."""
        self.ends = True
        for thread in self.threads:
            thread.join()


def served(rate: float, connections: int, span: float) -> dict[str, float]:
    """A sender under that: CPU s a s, CPU s a message, resident KB, journal bytes a message, worst answer."""
    hosts = [Host() for _ in range(HOSTS)]
    discovery = Discovery(hosts)
    discovery.entries = [discovery.entry(n, host, group=7 + n) for n, host in enumerate(hosts)]
    sender = Sender(discovery, limits={"sockets": 2048, "disk_mb": 200, "memory_mb": 256})
    cores = sorted(os.sched_getaffinity(0))
    try:
        sender.ready()
        clients = Clients(sender, connections, rate)
        time.sleep(2.0 + connections / rate / 4)
        pid = sender.process.pid
        before, began, taken = cpu_s(pid), time.monotonic(), clients.taken
        size = (sender.state / NAME).stat().st_size
        time.sleep(span)
        used, took, more = cpu_s(pid) - before, time.monotonic() - began, clients.taken - taken
        grown = (sender.state / NAME).stat().st_size - size
        memory = rig.rss_kb(pid) * 1024.0
        clients.stop()
        print(
            f"  {rate:g}/s on {connections}: {1e3 * used / took:.1f} ms a s, {more} taken, "
            f"{clients.others} not, worst {1e3 * max(clients.took):.0f} ms, {len(cores)} cores",
            flush=True,
        )
        return {
            "cpu": used / took,
            "message": used / max(1, more),
            "memory": memory,
            "bytes": grown / max(1, more),
            "rate": more / took,
            "worst": max(clients.took),
            "others": clients.others,
        }
    finally:
        sender.close()
        discovery.close()
        for host in hosts:
            host.close()


def taken(number: int) -> records.AcceptedMessage:
    """A message that is owed."""
    ref = f"{number:016x}"
    now = datetime.now(UTC)
    return records.AcceptedMessage(
        ref,
        number % 60_000,
        "status",
        "acme",
        now + timedelta(hours=2),
        idempotency_key="i" + ref,
        body=BODY,
        at=now,
    )


def replay(number: int, folder: Path) -> dict[str, float]:
    """A journal with so many owed: its size, and CPU s and memory of opening it."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    with (folder / NAME).open("wb") as file:
        for n in range(number):
            file.write(records.frame(taken(n)))
    size = (folder / NAME).stat().st_size
    gc.collect()
    journal = Journal(folder, Space(10 * size + 100_000))
    began = time.thread_time()
    journal.open()
    took = time.thread_time() - began
    assert len(journal.live) == number
    began = time.thread_time()
    journal.compact()
    anew = time.thread_time() - began
    journal.close()
    return {"size": float(size), "open": took, "anew": anew}


def live(number: int) -> float:
    """Bytes that so many owed messages take in memory, by tracemalloc."""
    data = b"".join(records.frame(taken(n)) for n in range(number))
    gc.collect()
    tracemalloc.start()
    kept, _ = records.replay(data)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(kept) == number
    return float(used)


def main() -> None:
    """All slopes of both."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="small sizes and short runs, nothing is written")
    quick = parser.parse_args().quick
    span, turns = (2.0, 1) if quick else (6.0, 2)
    rates = (0.5, 2, 8, 32, 64, 121) if quick else (0.5, 2, 8, 32, 64, 121, 242)
    by_rate = {r: [served(r, CONNECTIONS, span) for _ in range(turns)] for r in rates}
    many = (2, 8, 30, 100, 200, 300)
    by_number = {n: [served(RATE, n, span) for _ in range(turns)] for n in many}
    held = (100, 300, 1000, 3000, 10_000, 30_000, 100_000, 300_000)[: 6 if quick else 8]
    folder = Path(tempfile.mkdtemp())
    replays = {n: [replay(n, folder / "state") for _ in range(turns)] for n in held}
    shutil.rmtree(folder)
    kept = {n: [live(n)] for n in held}

    def one(driver: str, what: str, measure: str, unit: str, runs: dict, **more) -> slopes.Slope:
        return slopes.slope(
            "client-journal",
            driver,
            measure,
            unit,
            {n: [r[what] for r in some] for n, some in runs.items()},
            **more,
        )

    a, b, c = "messages a second", "client connections", "held messages"
    made = [
        one(
            a,
            "cpu",
            "processor time",
            "CPU s a s",
            by_rate,
            target=RATE,
            budget="core",
            note="the whole sender, four destinations, nothing held: hand-in, journal, decision, call",
        ),
        one(a, "message", "processor time of a message", "CPU s", by_rate, target=RATE),
        one(
            a,
            "bytes",
            "journal, written",
            "bytes a message",
            by_rate,
            target=RATE,
            note="body of 500 bytes; taken, opened and ended; the file was not written anew meanwhile",
        ),
        one(a, "memory", "memory, resident", "bytes", by_rate, target=RATE),
        one(b, "cpu", "processor time", "CPU s a s", by_number, note=f"{RATE:g} messages a second in all"),
        one(b, "memory", "memory, resident", "bytes", by_number),
        one(c, "size", "journal, file", "bytes", replays, target=HELD, note="body of 500 bytes"),
        one(c, "open", "replay", "CPU s", replays, target=HELD, budget="restart"),
        one(
            c,
            "anew",
            "the file written anew",
            "CPU s",
            replays,
            target=HELD,
            budget="stall",
            note="in one piece, while every hand-in waits",
        ),
        slopes.slope(
            "client-journal",
            c,
            "memory",
            "bytes",
            kept,
            target=HELD,
            budget="memory",
            note="the journal's live entries, bodies of 500 bytes in them",
        ),
    ]
    for each in made:
        points = {p.at: float(f"{p.median:.3g}") for p in [*each.points, each.held]}
        print(each.measure, "|", each.driver, points, each.fit.growth, f"{each.miss:+.0f}%", flush=True)
    if quick:
        return
    served_runs = [r for some in [*by_rate.values(), *by_number.values()] for r in some]
    worst, others = max(r["worst"] for r in served_runs), sum(r["others"] for r in served_runs)
    slopes.write(
        "client-journal",
        "python benchmarks/capacity/client_journal.py",
        made,
        "the sender's own process and folder",
        (),
        [
            f"the longest that a client waited for its answer in all runs: {1e3 * worst:.0f} ms; "
            f"{others:.0f} messages of all runs were not answered with 202",
            "client connections are bounded at 384: each has a thread",
            "processor time: the process's clock; memory: resident set, tracemalloc for entries",
        ],
    )


if __name__ == "__main__":
    main()
