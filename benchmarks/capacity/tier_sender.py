"""A whole sender that follows the control plane: what the document costs it, against its entries.

    python benchmarks/capacity/tier_sender.py [FILE]

Some five minutes on two cores. A real sender process with the platform's stand-ins follows one member (the
real serving core, in this process); entries have 200 bytes with their keys. Processor time is the sender
process's own; a whole copy's is what it took from its start to the copy in force, less a start that follows
nothing; idle is less that of a sender that follows nothing, and so is resident memory. The copy is fetched at
2 MB/s, ten times the rate that the settings come with, so that the largest size does not take a minute; a
difference of up to 256 KB goes at 7 KB/s, as every difference does. With a FILE each run is kept there as a
line of JSON, and a later call goes on from it.
"""

from __future__ import annotations

import slopes  # first: it says where the others are

import json
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path

import rig
from following import Fleet
from harness import until

SIZES = (200, 600, 2_000, 6_000, 20_000, 60_000)
TARGET = 60_000
ENTRY = 200  # bytes
CHANGES, IDLE_S, RUNS = 20, 6.0, 3
A_DAY = 1600 / 86_400  # changes a second
TICK = os.sysconf("SC_CLK_TCK")
SPANS = " period 3s\n patience 1s\n rate 2MB\n"


def text(first: int, count: int, word: str = "x") -> str:
    """So many entries."""
    lines = []
    for number in range(first, first + count):
        key = f"data/destination-{number:08}"
        lines.append(f'{key} "{word * (ENTRY - len(key) - 2)}"\n')
    return "".join(lines)


def cpu(pid: int) -> float:
    """Processor s of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def bare() -> tuple[float, float, float]:
    """Of a sender that follows nothing: processor s and KB after its start, processor s in a second."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), members=0, control=False)
        fleet.settings = lambda: ""
        try:
            sender = fleet.start()
            time.sleep(1.0)
            pid = sender.process.pid
            started, memory, at = cpu(pid), rig.rss_kb(pid), time.monotonic()
            time.sleep(IDLE_S)
            return started, memory, (cpu(pid) - started) / (time.monotonic() - at)
        finally:
            fleet.close()


def played(size: int, nothing: tuple[float, float, float]) -> dict[str, float]:
    """One sender from an empty folder to the whole document, through changes, idle, and a restart."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), timings=SPANS, rate=4_000_000)
        try:
            for first in range(0, size, 2000):
                fleet.member.commit_entries(text(first, min(2000, size - first)))
            revision = fleet.member.document.revision
            began = time.monotonic()
            sender = fleet.start()
            pid = sender.process.pid
            said = f"revision {revision} is in force"
            until(lambda: any(said in line for line in sender.lines), 300)
            copied_s, copied = time.monotonic() - began, cpu(pid)
            memory = rig.rss_kb(pid) - nothing[1]
            before = cpu(pid)
            for number in range(CHANGES):
                revision = fleet.member.commit_entries(text(number * (size // CHANGES), 1, "y"))
                time.sleep(0.05)
            until(lambda: fleet.view()["in_force"] == revision, 60)
            changes = (cpu(pid) - before) / CHANGES
            sent = fleet.view()["counters"]
            before, at = cpu(pid), time.monotonic()
            time.sleep(IDLE_S)
            span, idle = time.monotonic() - at, cpu(pid) - before
            after = fleet.view()["counters"]
            wire = sum(after[key] - sent[key] for key in ("sent bytes", "received bytes")) / span
            sender.restart()
            until(lambda: fleet.view() is not None, 60)
            restart = cpu(sender.process.pid) - nothing[0]
            return {
                "copy s": copied_s,
                "copy cpu": max(0.0, copied - nothing[0]),
                "memory": memory * 1024.0,
                "change cpu": changes,
                "idle cpu": max(0.0, idle / span - nothing[2]),
                "wire": wire,
                "restart cpu": max(0.0, restart),
            }
        finally:
            fleet.close()


def main() -> None:
    """Measure, and keep the results."""
    kept = Path(sys.argv[1]) if len(sys.argv) > 1 else None
    lines = kept.read_text(encoding="utf-8").splitlines() if kept is not None and kept.exists() else []
    runs = [json.loads(line) for line in lines]
    bares = [bare() for _ in range(RUNS)]
    nothing = tuple(statistics.median(values) for values in zip(*bares, strict=True))
    for size in SIZES:
        for _ in range(RUNS - sum(run["size"] == size for run in runs)):
            runs.append({"size": size, **played(size, nothing)})
            print(runs[-1], flush=True)
            if kept is not None:
                kept.write_text("".join(f"{json.dumps(run)}\n" for run in runs), encoding="utf-8")
    found = {
        measure: {size: [run[measure] for run in runs if run["size"] == size] for size in SIZES}
        for measure in runs[0]
        if measure != "size"
    }
    told = {
        "copy cpu": ("a whole copy", "s of processor time", {"budget": "restart"}),
        "copy s": ("a whole copy at 2 MB/s", "s", {}),
        "memory": ("memory", "B", {"budget": "memory"}),
        "change cpu": (
            "a change of one entry",
            "of a core",
            {"budget": "control core", "scale": A_DAY, "scale_why": "1,600 changes a day"},
        ),
        "idle cpu": (
            "processor time when idle, beside the sender's own",
            "of a core",
            {"budget": "control core"},
        ),
        "wire": ("bytes when idle", "B/s", {"budget": "wire"}),
        "restart cpu": ("a restart from the folder", "s of processor time", {"budget": "restart"}),
    }
    slopes.write(
        "tier-sender",
        "python benchmarks/capacity/tier_sender.py",
        [
            slopes.slope("tier-sender", "entries", measure, unit, found[key], target=TARGET, **more)
            for key, (measure, unit, more) in told.items()
        ],
        seeds=[],
        mechanism="control tier: a whole sender that follows",
        notes=[
            f"{RUNS} runs a size, entries of {ENTRY} bytes; a sender that "
            f"follows nothing has {nothing[0]:.2f} s "
            f"of processor time and {nothing[1] * 1.024 / 1000:.1f} MB after its start.",
            "Processor time is read in steps of 10 ms: a change's is the mean of 20.",
        ],
    )


if __name__ == "__main__":
    main()
