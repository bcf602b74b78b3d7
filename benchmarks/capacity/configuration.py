"""Configuration as it is today, a file on each machine and SIGHUP: what a change costs a sender.

    python benchmarks/capacity/configuration.py [--quick]

Some two minutes on one core. The file grows by its tenants, or by the list of endpoints that it may bring
along. Processor time is the thread's for `load`, `retuned` and the module's `Retuned`, each change read
whole. In force: from SIGHUP until a real process, idle, says that the new settings hold; wall time. Nothing
carries a file over the fleet, so nothing is measured of that.
"""

from __future__ import annotations

import slopes  # first: it says where the others are

import argparse
import gc
import json
import shutil
import tempfile
import time
import tracemalloc
from pathlib import Path

from harness import SETTINGS, Discovery, Host, Sender, until

from willownotch import interface as api
from willownotch.control import Controller
from willownotch.net import config as configs

CHANGES_S = 1600 / 86_400
WHY = "1,600 changes a day, each the file whole"
DESTINATIONS = 60_000


def text(tenants: int, endpoints: int, quota: float = 50.0) -> dict:
    """A file with so many of each."""
    orgs = [{"name": f"tenant-{n:06}", "quotaPerS": quota} for n in range(tenants)]
    known = {
        "index": 7,
        "snapshot": True,
        "endpoints": [
            {
                "name": f"s-{n:06}",
                "address": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8080",
                "zone": "here",
                "type": "haulier",
                "group": n,
                "status": "Ready",
                "weight": 20.0,
                "since_ms": 1_764_000_000_000,
            }
            for n in range(endpoints)
        ],
    }
    return {
        "name": "t0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "5f",
        "state": "/x",
        "known": known,
        "settings": {**SETTINGS, "orgs": orgs},
    }


def changed(folder: Path, tenants: int, endpoints: int, turns: int) -> dict[str, list[float]]:
    """A change: CPU s of reading and taking it, peak bytes of reading it, and the file's size."""
    path = folder / "config.json"
    path.write_text(json.dumps(text(tenants, endpoints)), encoding="utf-8")
    old = configs.load(str(path), {})
    control = Controller(old.settings, 1)
    path.write_text(json.dumps(text(tenants, endpoints, 51.0)), encoding="utf-8")
    took, peak = [], []
    for turn in range(turns):
        gc.collect()
        began = time.thread_time()
        fresh, _ = configs.retuned(old, configs.load(str(path), {}, old))
        control.handle(float(turn), [api.SettingsChanged(fresh.settings)])
        took.append(time.thread_time() - began)
    gc.collect()
    tracemalloc.start()
    configs.load(str(path), {}, old)
    peak.append(float(tracemalloc.get_traced_memory()[1]))
    tracemalloc.stop()
    return {"cpu": took, "peak": peak, "bytes": [float(path.stat().st_size)]}


def in_force(tenants: int, turns: int) -> list[float]:
    """Seconds from SIGHUP until a sender says that the new settings hold."""
    host = Host()
    discovery = Discovery([host])
    sender = Sender(
        text={
            **text(tenants, 0),
            "state": "",
            "discovery": discovery.address,
            "known": None,
            "limits": {"sockets": 1024, "disk_mb": 3},
        }
    )
    try:
        sender.ready()
        found = []
        for turn in range(turns):
            fresh, before = text(tenants, 0, 52.0 + turn)["settings"], len(sender.lines)
            sender.config.write_text(json.dumps({**sender.text, "settings": fresh}), encoding="utf-8")
            began = time.monotonic()
            sender.process.send_signal(1)
            until(
                lambda before=before: any(
                    "retune: new settings hold" in line for line in sender.lines[before:]
                )
            )
            found.append(time.monotonic() - began)
        return found
    finally:
        sender.close()
        discovery.close()
        host.close()


def main() -> None:
    """All slopes of today's way."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="small sizes, nothing is written")
    quick = parser.parse_args().quick
    tenants = (3, 30, 100, 300, 1000, 3000, 10_000)[: 6 if quick else 7]
    endpoints = (60, 200, 600, 2000, 6000, 20_000, 60_000)[: 6 if quick else 7]
    turns, folder = 1 if quick else 5, Path(tempfile.mkdtemp())
    by_tenants = {n: changed(folder, n, 0, turns) for n in tenants}
    by_endpoints = {n: changed(folder, 1, n, turns) for n in endpoints}
    shutil.rmtree(folder)
    force = {n: in_force(n, turns) for n in tenants}

    def one(driver: str, what: str, measure: str, unit: str, runs: dict, **more) -> slopes.Slope:
        return slopes.slope(
            "configuration", driver, measure, unit, {n: r[what] for n, r in runs.items()}, **more
        )

    a, b = "tenants in the file", "endpoints in the file"
    made = [
        one(a, "cpu", "a change", "CPU s", by_tenants, budget="control core", scale=CHANGES_S, scale_why=WHY),
        one(a, "bytes", "the file", "bytes", by_tenants),
        slopes.slope("configuration", a, "in force on one machine", "s", force, budget="age"),
        one(
            b,
            "cpu",
            "a change",
            "CPU s",
            by_endpoints,
            target=DESTINATIONS,
            budget="control core",
            scale=CHANGES_S,
            scale_why=WHY,
        ),
        one(b, "peak", "memory at a change", "bytes", by_endpoints, target=DESTINATIONS, budget="memory"),
        one(b, "bytes", "the file", "bytes", by_endpoints, target=DESTINATIONS),
    ]
    for each in made:
        points = {p.at: float(f"{p.median:.3g}") for p in [*each.points, each.held]}
        print(each.measure, "|", each.driver, points, each.fit.growth, f"{each.miss:+.0f}%", flush=True)
    if not quick:
        slopes.write(
            "configuration",
            "python benchmarks/capacity/configuration.py",
            made,
            "none yet",
            (),
            [
                "a file on each machine and SIGHUP: nothing carries a change "
                "over the fleet, says which senders "
                "have it in force, or refuses the older of two",
                "memory: tracemalloc, peak of one load; in force: wall time of an idle process, five changes",
            ],
        )


if __name__ == "__main__":
    main()
