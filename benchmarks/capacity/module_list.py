"""A change of one endpoint in a long list, from discovery's words to the module: before and after a commit.

    python benchmarks/capacity/module_list.py [--before 033708a] [--quick]

Some four minutes on one core. The tree of `--before` and this one are measured in turn, each in a process of
its own; processor time is the thread's. One endpoint a destination. Measured at each size: a change of one
endpoint in the module (a round with nothing else), the same change in the owner's table of hosts, a question
whether a destination is listed, and a whole list in both; memory is what tracemalloc counts as live after it.
"""

from __future__ import annotations

import place  # first: it says where the others are

import argparse
import gc
import json
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from random import Random

import rig

SIZES, QUICK = (1000, 4000, 16_000, 60_000), (1000, 4000)
TURNS = 3  # processes a tree and size
CHANGES, ASKED, WHOLE = 20, 20, 2  # in each of them: changes, questions, whole lists
SEED = 11
RESULT = rig.RESULTS / "module-list.json"  # no slopes: not among those that the capacity page is written from


def timed(call: Callable, *args) -> float:
    """CPU s of a call."""
    began = time.thread_time()
    call(*args)
    return time.thread_time() - began


def measure(number: int) -> dict[str, float]:
    """Medians at one size, in CPU s and bytes, of the tree that is imported."""
    from willownotch import interface as api
    from willownotch.control import Controller
    from willownotch.net.clock import Clock
    from willownotch.net.config import ListedEndpoint, ListUpdate
    from willownotch.net.log import Log
    from willownotch.net.registry import Hosts

    random = Random(SEED)
    safe = api.MessageClass("safe", 1.0, 2.0, 20.0, 0.5, api.Idempotency.SAFE)
    settings = api.Settings((safe,), (api.DestinationKind("one"),), slots=20, holding_room=100, senders=910)

    def module() -> Controller:
        return Controller(settings, SEED)

    def hosts() -> Hosts:
        return Hosts(("one",), ("here",), Clock(), Log(Clock()))

    def entry(n: int, ready: bool = True) -> ListedEndpoint:
        address = f"127.{n >> 14 & 63}.{n >> 7 & 127}.{n & 127}:7000"
        return ListedEndpoint(f"s-{n}", address, n, "Ready" if ready else "Terminating", "one")

    def endpoint(n: int, ready: bool = True) -> api.Endpoint:
        return api.Endpoint(n, n, 0, 0, api.Readiness.SERVING if ready else api.Readiness.DRAINING)

    whole = api.EndpointList(tuple(endpoint(n) for n in range(number)), True)
    listed = ListUpdate(1, True, [entry(n) for n in range(number)])
    found: dict[str, list[float]] = {
        "module, whole list": [timed(module().handle, 0.0, [whole]) for _ in range(WHOLE)]
    }
    found["hosts, whole list"] = [timed(hosts().read, listed) for _ in range(WHOLE)]
    gc.collect()
    tracemalloc.start()
    control, known = module(), hosts()
    control.handle(0.0, [whole])
    found["module, bytes"] = [tracemalloc.get_traced_memory()[0]]
    known.read(listed)
    found["hosts, bytes"] = [tracemalloc.get_traced_memory()[0] - found["module, bytes"][0]]
    tracemalloc.stop()
    gc.collect()
    found["module, one change"], found["hosts, one change"] = [], []
    for turn in range(CHANGES):
        n, ready = random.randrange(number), bool(turn % 2)
        news = api.EndpointList((endpoint(n, ready),), False)
        found["module, one change"].append(timed(control.handle, 1.0 + turn, [news]))
        found["hosts, one change"].append(timed(known.read, ListUpdate(2 + turn, False, [entry(n, ready)])))
    found["hosts, asked"] = [timed(known.listed, random.randrange(number)) for _ in range(ASKED)]
    return {what: statistics.median(runs) for what, runs in found.items()}


def tree(commit: str, folder: Path) -> Path:
    """The package as of a commit, unpacked into a folder."""
    words = ["git", "archive", commit, "willownotch"]
    packed = subprocess.run(words, cwd=place.ROOT, capture_output=True, check=True).stdout
    subprocess.run(["tar", "-x", "-C", folder], input=packed, check=True)
    return folder


def measured(root: Path, number: int) -> dict[str, float]:
    """`measure` in a process that imports the package from there."""
    words = [sys.executable, __file__, "--tree", str(root), "--at", str(number)]
    return json.loads(subprocess.run(words, capture_output=True, check=True, text=True).stdout)


def main() -> None:
    """Both trees in turn, and the result."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--before", default="033708a", help="the commit to compare with")
    parser.add_argument("--quick", action="store_true", help="small sizes, nothing is written")
    parser.add_argument("--tree", help="for the processes that measure, as is --at")
    parser.add_argument("--at", type=int)
    args = parser.parse_args()
    if args.tree:
        sys.path.insert(0, args.tree)
        print(json.dumps(measure(args.at)))
        return
    runs: dict[str, dict[int, list[dict[str, float]]]] = {"before": {}, "after": {}}
    with tempfile.TemporaryDirectory() as folder:
        trees = {"before": tree(args.before, Path(folder)), "after": place.ROOT}
        for number in QUICK if args.quick else SIZES:
            for _ in range(TURNS):
                for which, root in trees.items():
                    runs[which].setdefault(number, []).append(measured(root, number))
    rows = []
    for what in next(iter(runs["after"].values()))[0]:
        for number in runs["after"]:
            row = {"what": what, "at": number, "unit": "bytes" if "bytes" in what else "CPU s"}
            for which in runs:
                values = [run[what] for run in runs[which][number]]
                row[which] = {"median": statistics.median(values), "least": min(values), "most": max(values)}
            rows.append(row)
            print(
                f"{what:20} {number:6}  "
                + "  ".join(
                    f"{w} {row[w]['median']:.3g} ({row[w]['least']:.3g} to {row[w]['most']:.3g})"
                    for w in runs
                )
            )
    if not args.quick:
        RESULT.write_text(
            json.dumps(
                {
                    "date": f"{datetime.now(UTC):%Y-%m-%d}",
                    "commit": rig.commit(),
                    "before": args.before,
                    "machine": rig.machine(),
                    "command": "python benchmarks/capacity/module_list.py",
                    "seeds": [SEED],
                    "processes": TURNS,
                    "rows": rows,
                },
                indent=1,
            )
            + "\n",
            encoding="utf-8",
        )


if __name__ == "__main__":
    main()
