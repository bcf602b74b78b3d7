"""The list watch alone: reading discovery's list, whole and by differences, and asking it for a destination.

    python benchmarks/capacity/list_watch.py [--quick]

Some two minutes on one core. One endpoint a destination. A list is one line, fed as a socket gives it, a read
at a time; processor time is the thread's. A list refused for its size is not parsed: the cap is in the notes.
"""

from __future__ import annotations

import slopes  # first: it says where the others are

import argparse
import gc
import io
import time
import tracemalloc
from random import Random

import msgspec

from willownotch.net import http
from willownotch.net.clock import Clock
from willownotch.net.config import ListedEndpoint, ListUpdate
from willownotch.net.log import Log
from willownotch.net.registry import Hosts
from willownotch.net.watch_decoder import MAX_WATCH_LIST_BYTES, WatchDecoder

SEED, DESTINATIONS, RATE, CHANGES = 12, 60_000, 121.0, 4.2
WHY = "4.2 changes a second: 1,260 outages of 10 minutes in the mean, begun and ended"
QUIET = Log(Clock(), stream=io.StringIO())


def entry(number: int, status: str = "Ready") -> ListedEndpoint:
    """One endpoint."""
    return ListedEndpoint(
        f"s-{number:06}",
        f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080",
        number,
        status,
        "haulier",
        "walvis-main",
        20.0,
        1_764_000_000_000,
    )


def line(entries: list[ListedEndpoint], snapshot: bool) -> bytes:
    """A list as discovery sends it."""
    return msgspec.json.encode(ListUpdate(7, snapshot, entries)) + b"\n"


def feed(data: bytes) -> tuple[ListUpdate, float]:
    """The list and the CPU s that reading it took; http.BadMessageError where it is too long."""
    news, found = WatchDecoder(), []
    began = time.thread_time()
    for at in range(0, len(data), http.READ_BYTES):
        found += news.feed(data[at : at + http.READ_BYTES])[0]
    return found[0], time.thread_time() - began


def hosts() -> Hosts:
    """An empty table."""
    return Hosts(("haulier",), ("walvis-main",), Clock(), QUIET)


def timed(call, *args) -> float:
    """CPU s of a call."""
    began = time.thread_time()
    call(*args)
    return time.thread_time() - began


def size(number: int, turns: int) -> dict[str, list[float]]:
    """All measures at one size."""
    random, found = Random(SEED), {}
    entries = [entry(n) for n in range(number)]
    data = line(entries, True)
    found["bytes"] = [float(len(data))]
    found["refused"] = [float(len(data) > MAX_WATCH_LIST_BYTES)]
    whole = ListUpdate(7, True, entries)
    if len(data) <= MAX_WATCH_LIST_BYTES:
        found["parse"] = [feed(data)[1] for _ in range(turns)]
    known = hosts()
    found["whole"] = [timed(hosts().read, whole) for _ in range(turns)]
    known.read(whole)
    found["one"], found["asked"] = [], []
    for turn in range(5 * turns):
        n = random.randrange(number)
        change = ListUpdate(8 + turn, False, [entry(n, ("Terminating", "Ready")[turn % 2])])
        found["one"].append(feed(line(change.endpoints, False))[1] + timed(known.read, change))
        found["asked"].append(sum(timed(known.listed, random.randrange(number)) for _ in range(20)) / 20)
    gc.collect()
    tracemalloc.start()
    kept = hosts()
    kept.read(
        feed(data)[0] if len(data) <= MAX_WATCH_LIST_BYTES else msgspec.json.decode(data, type=ListUpdate)
    )
    found["memory"] = [float(tracemalloc.get_traced_memory()[0])]
    found["peak"] = [float(tracemalloc.get_traced_memory()[1])]
    tracemalloc.stop()
    return found


def main() -> None:
    """All slopes of the watch."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="small sizes, nothing is written")
    quick = parser.parse_args().quick
    sizes = (60, 200, 600, 2000, 6000, 20_000, 60_000)[: 6 if quick else 7]
    found = {n: size(n, 2 if quick else 3) for n in sizes}
    for n, some in found.items():
        print(n, {what: f"{sorted(runs)[len(runs) // 2]:.3g}" for what, runs in some.items()}, flush=True)

    def made(what: str, measure: str, unit: str, **more) -> slopes.Slope:
        runs = {n: found[n][what] for n in sizes if what in found[n]}
        return slopes.slope("list-watch", "destinations", measure, unit, runs, target=DESTINATIONS, **more)

    each = found[sizes[-1]]["bytes"][0] / sizes[-1]
    most = int(MAX_WATCH_LIST_BYTES / each)
    if not quick:
        slopes.write(
            "list-watch",
            "python benchmarks/capacity/list_watch.py",
            [
                made("bytes", "a whole list", "bytes", note="at a start, and after a watch that broke"),
                made(
                    "parse",
                    "parsing a whole list",
                    "CPU s",
                    note=f"refused above {MAX_WATCH_LIST_BYTES} bytes",
                ),
                made(
                    "whole", "taking a whole list", "CPU s", budget="stall", note="in one piece, by the owner"
                ),
                made(
                    "one",
                    "a change of one endpoint",
                    "CPU s",
                    budget="control core",
                    scale=CHANGES,
                    scale_why=WHY,
                ),
                made(
                    "asked",
                    "whether a destination is listed",
                    "CPU s",
                    budget="core",
                    scale=RATE,
                    scale_why="121 messages a second, asked once each by the owner",
                ),
                made("memory", "memory", "bytes", budget="memory"),
                made("peak", "memory at a whole list", "bytes", budget="memory"),
            ],
            "one watch a sender, of an agent or a service",
            [SEED],
            [
                "memory: tracemalloc, live bytes and peak, one run; above "
                "the cap the list was decoded past it",
            ],
            [
                slopes.Cap(
                    "destinations",
                    most,
                    DESTINATIONS,
                    f"a list of over {MAX_WATCH_LIST_BYTES} bytes, at {each:.0f} bytes an endpoint, is "
                    "refused, and "
                    "the last one kept",
                )
            ],
        )


if __name__ == "__main__":
    main()
