"""Eight real senders on loopback that count under a bad network, against what their clients know.

    .venv/bin/python benchmarks/usage_loopback.py [--senders 8] [--rate 20] [--steady 60]

Each sender takes on messages of two tenants at a steady rate. All are asked for their usage four times a
second. The truth at an answer lies between the messages answered 202 before the question and those handed
in before the answer came; an interval holds the truth if it overlaps that. `missing after 2 s`: what of the
messages answered 202 two seconds before the question was not in the count, as a share of them. Phases: each
fault is on while it is measured and for some seconds after; a fresh one begins when all agree again.
"""

import argparse
import bisect
import itertools
import statistics
import tempfile
import threading
import time
from pathlib import Path

from rig import write

import harness
from meshed import MeshFleet

from willownotch.channel.client import AskError, ask
from willownotch.peers.lossy import Conditions

BAD = {"loss": 0.2, "delay": 0.3, "jitter": 0.02}
PEERS = ""  # the defaults
AGO = 2.0
TENANTS = ("acme", "bolt")


class Truth:
    """Times of hand-ins and of their answers, by tenant."""

    def __init__(self):
        self.lock = threading.Lock()
        self.begun = {tenant: [] for tenant in TENANTS}
        self.answered = {tenant: [] for tenant in TENANTS}

    def note(self, times, tenant, at):
        """A message was handed in, or answered 202."""
        with self.lock:
            bisect.insort(times[tenant], at)

    def at(self, times, tenant, when):
        """How many there were by then."""
        with self.lock:
            return bisect.bisect_right(times[tenant], when)


class Load:
    """A steady stream of hand-ins to one sender, over one connection that is opened again when it breaks."""

    def __init__(self, fleet, n, rate, truth):
        self.fleet, self.n, self.rate, self.truth = fleet, n, rate, truth
        self.ending, self.paused = threading.Event(), threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        """Hand in until told to end."""
        sock, began = None, time.monotonic()
        for count in itertools.count():
            wait = began + count / self.rate - time.monotonic()
            if self.ending.wait(max(0.0, wait)):
                return
            if self.paused.is_set():
                sock = None
                continue
            tenant = TENANTS[count % 3 == 0]
            sender = self.fleet.senders[self.n]
            try:
                sock = sock or sender.connect()
                data = sender.message("status", tenant=tenant, ref=f"{self.n:04x}{count:012x}")
                self.truth.note(self.truth.begun, tenant, time.monotonic())
                if sender.exchange(data, sock).status == 202:
                    self.truth.note(self.truth.answered, tenant, time.monotonic())
            except OSError:
                sock = None


def look(fleet, truth, found):
    """Ask all once; what each answer says against the truth."""
    for n in range(len(fleet.senders)):
        before = time.monotonic()
        try:
            lines = ask(fleet.socket(n), "usage")["lines"]
        except AskError:
            continue  # it is being restarted
        after = time.monotonic()
        for tenant in TENANTS:
            taken = next((line["counts"]["taken"] for line in lines if line["tenant"] == tenant), None)
            if taken is None:
                taken = {"count": 0, "low": 0, "high": 0}
            least = truth.at(truth.answered, tenant, before)
            most = truth.at(truth.begun, tenant, after)
            old = truth.at(truth.answered, tenant, before - AGO)
            high = float("inf") if taken["high"] is None else taken["high"]
            if old:
                found.append(
                    {
                        "missing": max(0, old - taken["count"]) / old,
                        "now": max(0, least - taken["count"]) / least,
                        "inside": taken["low"] <= most and high >= least,
                        "bounded": taken["high"] is not None,
                        "width": (high - taken["low"]) / least,
                    }
                )


def phase(fleet, truth, seconds):
    """Look for some time."""
    found, ends = [], time.monotonic() + seconds
    while time.monotonic() < ends:
        began = time.monotonic()
        look(fleet, truth, found)
        time.sleep(max(0.0, began + 0.25 - time.monotonic()))
    return found


def agree(fleet, loads):
    """Stop the load until all hold the same, then go on."""
    for load in loads:
        load.paused.set()
    time.sleep(0.5)
    harness.until(lambda: len({fleet.taken(n) for n in range(len(fleet.senders))}) == 1, 60)
    for load in loads:
        load.paused.clear()
    time.sleep(AGO + 1)


def main():
    """All phases."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--senders", type=int, default=8)
    parser.add_argument("--rate", type=float, default=20.0)
    parser.add_argument("--steady", type=float, default=60.0)
    chosen = parser.parse_args()
    names = [f"i{n}" for n in range(chosen.senders)]
    half = set(names[::2])
    harness.SETTINGS["orgs"].append({"name": "bolt", "quotaPerS": 50.0})
    with tempfile.TemporaryDirectory() as folder:
        fleet = MeshFleet(chosen.senders, Path(folder), Conditions(**BAD), peers=PEERS, usage="")
        fleet.wait_joined(90)
        truth = Truth()
        loads = [Load(fleet, n, chosen.rate, truth) for n in range(chosen.senders)]
        time.sleep(10.0)
        results = {"20% loss, 300 ms": phase(fleet, truth, chosen.steady)}

        def faulty(name, conditions, seconds=10.0):
            fleet.relay.conditions = conditions
            found = phase(fleet, truth, seconds)
            fleet.relay.conditions = Conditions(**BAD)
            results[name] = found + phase(fleet, truth, 5.0)
            agree(fleet, loads)

        faulty("50% loss, 300 ms", Conditions(**{**BAD, "loss": 0.5}))
        faulty(
            "halves cut apart, then healed", Conditions(**BAD, cut=lambda a, b: (a in half) != (b in half))
        )
        faulty("one way cut, i1 to all", Conditions(**BAD, cut=lambda a, b: a == "i1"))
        faulty("i2 cut off, rejoins with stale counts", Conditions(**BAD, cut=lambda a, b: "i2" in (a, b)))
        fleet.senders[3].process.kill()
        fleet.senders[3].process.wait()
        found = phase(fleet, truth, 3.0)
        fleet.senders[3].start()
        fleet.register_address(3)
        results["i3 killed, back after 3 s"] = found + phase(fleet, truth, 10.0)
        agree(fleet, loads)
        for load in loads:
            load.ending.set()
            load.thread.join()
        harness.until(lambda: len({fleet.taken(n) for n in range(len(fleet.senders))}) == 1, 60)
        agreed = fleet.taken(0)
        answered = sum(len(times) for times in truth.answered.values())
        begun = sum(len(times) for times in truth.begun.values())
        traffic = [ask(fleet.socket(n), "peers")["traffic"] for n in range(chosen.senders)]
        fleet.close()
    lines = [
        "| phase | answers | missing after 2 s: median, p99, worst | missing now: median, p99, worst | "
        "interval held | had an upper bound | its width: median, p99 |",
        "| --- " * 7 + "|",
    ]
    for name, found in results.items():
        cells = [name, str(len(found))]
        for what in ("missing", "now"):
            values = sorted(each[what] for each in found)
            cells.append(
                ", ".join(
                    f"{v:.2%}"
                    for v in (statistics.median(values), values[int(0.99 * len(values))], values[-1])
                )
            )
        cells.append(f"{statistics.mean(each['inside'] for each in found):.4%}")
        widths = sorted(each["width"] for each in found if each["bounded"])
        cells.append(f"{statistics.mean(each['bounded'] for each in found):.2%}")
        cells.append(f"{statistics.median(widths):.2%}, {widths[int(0.99 * len(widths))]:.2%}")
        lines.append(f"| {' | '.join(cells)} |")
    sent = statistics.mean(each["sent bytes"] for each in traffic)
    write(
        "usage-loopback",
        f"benchmarks/usage_loopback.py --senders {chosen.senders} --rate {chosen.rate:g} "
        f"--steady {chosen.steady:g}",
        [
            f"{chosen.senders} senders, {chosen.rate:g} messages a second each, two tenants, default "
            "settings, one machine; every phase but the first has the 20% loss and the 300 ms, too.",
            "",
            *lines,
            "",
            f"In the end all hold {agreed} messages; clients had {answered} answers 202 to {begun} "
            f"hand-ins. Each sender sent {sent / 1000:.0f} KB to its peers.",
        ],
        {"phases": results, "agreed": agreed, "answered": answered, "begun": begun, "traffic": traffic},
    )


if __name__ == "__main__":
    main()
