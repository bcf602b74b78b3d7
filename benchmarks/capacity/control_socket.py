"""The control socket: what an answer costs the sender against the rows in it.

    python benchmarks/capacity/control_socket.py [--quick]

Under a minute on one core. A real server on a real socket, asked by the real client in turn; the answers are
those of `peers` (a row a member) and `shared` (a row each of what is found of endpoints), from the structs
that a sender fills. Processor time is the server's thread's; other threads of the sender wait as long.
"""

from __future__ import annotations

import slopes  # first: it says where the others are

import argparse
import gc
import tempfile
import threading
import time
import tracemalloc
from pathlib import Path
from random import Random

from willownotch.channel.client import ask
from willownotch.channel.server import Server
from willownotch.peers.transport import PeersView, PeerView
from willownotch.shared.judgements import Row
from willownotch.shared.service import SharedState
from willownotch.shared.settings import SharedSettings
from willownotch.settings.types import Flag

MEMBERS, DOWN, SOURCES = 910, 1260, 2
ASKED_S = 0.1  # questions a second


def peers(number: int):
    """An answerer with so many members."""

    def answer(about: dict[str, str]) -> PeersView:
        members = tuple(
            PeerView(f"sender-{n:05}", f"10.0.{n >> 8}.{n & 255}:7946", "alive", "", n * 1.5, n * 0.25, n)
            for n in range(number)
        )
        return PeersView("sender-00000", "10.0.0.0:7946", 0, 1, members, {"sent": 1}, {})

    return answer


def shared(number: int):
    """An answerer with so many rows of endpoints, each endpoint by two sources."""
    settings = SharedSettings(judgements=Flag.YES, rows=10**6)
    made = SharedState(settings, "sender-00000", 1, MEMBERS, 0.0, Random(5))
    made.judgements.merge(
        0.0,
        [
            Row(2 + n % SOURCES, f"sender-{n % SOURCES:05}", f"s-{n // SOURCES:06}", 1, True, None, 0)
            for n in range(number)
        ],
    )
    listed = {f"s-{n:06}": n // 2 for n in range(number)}
    made.endpoints = lambda: listed
    return lambda about: made.view(1.0)


def asked(answerer, turns: int) -> dict[str, list[float]]:
    """CPU s of the server's thread for an answer, its bytes, and the peak of memory."""
    path = Path(tempfile.mkdtemp()) / "socket"
    server = Server(path)
    server.handlers["it"] = answerer
    thread = threading.Thread(target=server.run, daemon=True)
    thread.start()
    clock, spent = time.pthread_getcpuclockid(thread.ident), []
    for _ in range(turns):
        began = time.clock_gettime(clock)
        ask(path, "it")
        spent.append(time.clock_gettime(clock) - began)
    gc.collect()
    tracemalloc.start()
    size = len(server.answer(b'{"ask": "it"}'))
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    server.close()
    return {"cpu": spent, "bytes": [float(size)], "peak": [float(peak)]}


def main() -> None:
    """Both answers."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="small sizes, nothing is written")
    quick = parser.parse_args().quick
    sizes = (10, 30, 100, 300, 1000, 3000, 10_000, 30_000)[: 6 if quick else 8]
    turns = 3 if quick else 9
    made = []
    for what, make, target, driver in (
        ("peers", peers, MEMBERS, "members"),
        ("shared", shared, SOURCES * DOWN, "rows of findings"),
    ):
        found = {n: asked(make(n), turns) for n in sizes}

        def one(key: str, measure: str, unit: str, driver=driver, found=found, target=target, **more):
            runs = {n: r[key] for n, r in found.items()}
            return slopes.slope("control-socket", driver, measure, unit, runs, target=target, **more)

        made += [
            one(
                "cpu",
                f"an answer of '{what}'",
                "CPU s",
                budget="control core",
                scale=ASKED_S,
                scale_why="asked every ten seconds",
            ),
            one("bytes", f"an answer of '{what}'", "bytes"),
            one("peak", f"memory at an answer of '{what}'", "bytes", budget="memory"),
        ]
    for each in made:
        points = {p.at: float(f"{p.median:.3g}") for p in [*each.points, each.held]}
        print(each.measure, "|", each.driver, points, each.fit.growth, f"{each.miss:+.0f}%", flush=True)
    if not quick:
        slopes.write(
            "control-socket",
            "python benchmarks/capacity/control_socket.py",
            made,
            "a local Unix socket on each sender",
            [5],
            [
                "one question at a time; an answer is not bounded in rows, but a reader has 2 s",
                "memory: tracemalloc, peak of one answer; processor time: nine answers a size",
            ],
        )


if __name__ == "__main__":
    main()
