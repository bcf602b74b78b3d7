"""Costs of the body store itself: start-up, memory for each body in files, time at a spill and a read-back.

    .venv/bin/python benchmarks/bodies_store.py [--bodies 100000] [--bytes 1073741824]

Beside it the way that was left: one file for each body (write, close, unlink), in the same run and folder.
"""

import argparse
import gc
import os
import shutil
import statistics
import tempfile
import threading
import time
import tracemalloc
from datetime import timedelta
from pathlib import Path

from rig import spread, write

from body_store_rig import CLASSES, Clock, Lines
from willownotch.bodies.settings import BodiesSettings
from willownotch.files.layer import REAL
from willownotch.net.folder import open_folder
from willownotch.journal.records import MessageEnded, AcceptedMessage

DISK = 8_000_000_000


def opened(folder, **settings):
    """A store and its journal, with its thread."""
    made = BodiesSettings(memory=0, inline=0, inline_low=0, destination_share=1.0, **settings)
    journal, bodies, lost = open_folder(Path(folder), DISK, REAL, Clock(), Lines(), CLASSES, made)
    return journal, bodies, lost


def message(n, body, clock):
    """One of many."""
    return AcceptedMessage(
        f"{n:016x}",
        n % 1000,
        "order",
        "acme",
        clock.now() + timedelta(seconds=20),
        None,
        None,
        body=body,
        at=clock.now(),
    )


def fill(folder, count, size):
    """So many bodies in files; times of writes as the client sees them, of the owner's part, of appends."""
    journal, bodies, _ = opened(folder)
    threading.Thread(target=bodies.run, daemon=True).start()
    waits, owner, appends, body, write_one = [], [], [], os.urandom(size), bodies._write

    def timed(*arguments, **more):
        at = time.perf_counter()
        place = write_one(*arguments, **more)
        appends.append((time.perf_counter() - at) * 1e6)
        return place

    bodies._write = timed
    for n in range(count):
        taken = message(n, body, bodies.clock)
        at = time.perf_counter()
        kept = bodies.keep(taken, timedelta(seconds=1))
        waits.append((time.perf_counter() - at) * 1e6)
        assert kept.place is not None
        at = time.perf_counter()
        journal.bodies.body_recorded(kept)  # all that the owner does for a body when it takes the message on
        owner.append((time.perf_counter() - at) * 1e6)
        journal.append([kept])
    reads = []
    for n in range(0, count, max(1, count // 1000)):
        taken = journal.live[f"{n:016x}"].message
        at = time.perf_counter()
        bodies.read(taken)
        reads.append((time.perf_counter() - at) * 1e6)
    journal.close()
    return waits, owner, reads, appends


def start(folder):
    """Seconds to open a full folder: journal and store, and of it the store's part alone."""
    gc.collect()
    at = time.perf_counter()
    journal, bodies, lost = opened(folder)
    took = time.perf_counter() - at
    assert not lost
    live = [entry.message for entry in journal.live.values()]
    again = type(bodies)(
        bodies.folder, REAL, bodies.space, bodies.clock, bodies.log, CLASSES, bodies.settings
    )
    at = time.perf_counter()
    again.open(live)
    store = time.perf_counter() - at
    journal.close()
    return took, store, len(live)


def memory(folder):
    """Bytes for each body in files: what its place adds to its message, and the store's index."""

    def live_size(strip):
        tracemalloc.start()
        journal, bodies, _ = opened(folder)
        if strip:  # the same messages without any body
            import msgspec

            for entry in journal.live.values():
                entry.message = msgspec.structs.replace(entry.message, place=None)
            bodies.segments.clear()
        gc.collect()
        size, count = tracemalloc.get_traced_memory()[0], len(journal.live)
        tracemalloc.stop()
        journal.close()
        return size, count

    whole, count = live_size(False)
    bare, _ = live_size(True)
    return (whole - bare) / count


def end_all(folder, count):
    """The owner's part of ends: microseconds for each, and until the files are gone."""
    journal, bodies, _ = opened(folder)
    threading.Thread(target=bodies.run, daemon=True).start()
    times = []
    for n in range(min(count, 2000)):
        taken = journal.live[f"{n:016x}"].message
        at = time.perf_counter()
        bodies.body_released(taken)
        times.append((time.perf_counter() - at) * 1e6)
        bodies.usage.add(taken.message_class, taken.destination, taken.place.size)  # told again below
        journal.append([MessageEnded(taken.ref, "delivered")])
    journal.close()
    return times


def one_file_each(folder, count, size):
    """The way left behind: create, write, close; then unlink."""
    body, writes, unlinks = os.urandom(size), [], []
    for n in range(count):
        at = time.perf_counter()
        file = REAL.create(Path(folder) / f"one-{n}")
        REAL.append_all(file, body)
        REAL.close(file)
        writes.append((time.perf_counter() - at) * 1e6)
    for n in range(count):
        at = time.perf_counter()
        REAL.remove(Path(folder) / f"one-{n}")
        unlinks.append((time.perf_counter() - at) * 1e6)
    return writes, unlinks


def main():
    """All of it."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bodies", type=int, default=100_000)
    parser.add_argument("--bytes", type=int, default=2**30)
    chosen = parser.parse_args()
    size = chosen.bytes // chosen.bodies
    folder = tempfile.mkdtemp(prefix="bodies-bench-", dir=os.environ.get("TMPDIR"))
    try:
        waits, owner, reads, appends = fill(folder, chosen.bodies, size)
        files = len([f for f in os.listdir(folder) if f.startswith("bodies-")])
        starts = [start(folder) for _ in range(5)]
        bytes_each = memory(folder)
        ends = end_all(folder, chosen.bodies)
        singles = tempfile.mkdtemp(prefix="one-", dir=folder)
        writes, unlinks = one_file_each(singles, min(chosen.bodies, 20_000), size)
    finally:
        shutil.rmtree(folder)

    def us(values):
        cut = statistics.quantiles(values, n=100)
        return f"{statistics.median(values):.1f} | {cut[98]:.1f} | {max(values):.0f}"

    lines = [
        f"{chosen.bodies} bodies of {size} bytes in {files} files.",
        "",
        "| microseconds for each body | median | p99 | worst |",
        "| --- | --- | --- | --- |",
        f"| the owner, when it takes the message on | {us(owner)} |",
        f"| the owner, at its end | {us(ends)} |",
        f"| the client's thread, until the body is in its file | {us(waits)} |",
        f"| of it the append, on the store's thread | {us(appends)} |",
        f"| a relay's read-back, checksum included | {us(reads)} |",
        f"| one file each: create, write, close (left) | {us(writes)} |",
        f"| one file each: unlink (left) | {us(unlinks)} |",
        "",
        f"- Start-up, journal and index: {spread([s[0] for s in starts], ' s')}; of it the store's index "
        f"{spread([s[1] for s in starts], ' s')}.",
        f"- Memory for each body in files, beside its message: {bytes_each:.0f} bytes.",
        f"- Files: {files}, against {chosen.bodies} with one file each.",
    ]
    command = f"benchmarks/bodies_store.py --bodies {chosen.bodies} --bytes {chosen.bytes}"
    write(
        "bodies-store",
        command,
        lines,
        {
            "size": size,
            "files": files,
            "starts_s": starts,
            "bytes_for_each": bytes_each,
            "owner_us": statistics.median(owner),
            "ends_us": statistics.median(ends),
            "put_us": statistics.median(waits),
            "append_us": statistics.median(appends),
            "read_us": statistics.median(reads),
            "one_file_write_us": statistics.median(writes),
            "one_file_unlink_us": statistics.median(unlinks),
        },
    )


if __name__ == "__main__":
    main()
