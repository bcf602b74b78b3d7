"""The decision module alone: what its rounds, its list and its memory cost.

    python benchmarks/capacity/decision_module.py [--quick]

Some ten minutes on one core. Module time is simulated: messages arrive at the target's mean rate of one
sender, a live endpoint delivers after 50 ms, an endpoint that is down refuses the connection at once and has
been down for five minutes, and rounds are as far apart as the owner keeps them (three times what the last one
took, 40 ms at most). Processor time is the thread's. Memory is what tracemalloc counts as live.
"""

from __future__ import annotations

import slopes  # first: it says where the others are

import argparse
import gc
import heapq
import math
import time
import tracemalloc
from random import Random

from willownotch import interface as api
from willownotch.control import Controller

RATE = 121.0  # messages a second of one sender, at the target
DOWN, DESTINATIONS, HELD = 1260, 60_000, 2_100_000
BACKLOG, FEW = 3000, 30  # held messages where endpoints down are varied; endpoints down where messages are
TOOK_S, OUTAGE_S = 0.05, 300.0
SEED = 11
ROUND_SHARE, GAP_MOST = 3, 0.04  # the owner's: from a round's start to the next's


def settings() -> api.Settings:
    """Those of a sender that would hold millions: room and slots bound nothing here."""
    safe = api.MessageClass("safe", 1.0, 2.0, 7200.0, 0.5, api.Idempotency.SAFE)
    return api.Settings(
        (safe,),
        (api.DestinationKind("one"),),
        slots=2000,
        holding_room=10_000_000,
        max_attempts=1000,
        senders=910,
        may_tell=True,
        keepalive_s=5.0,
    )


class Played:
    """A module between simulated arrivals and endpoints, of which the first `down` are down."""

    def __init__(self, down: int, live: int, held: int) -> None:
        self.control, self.random = Controller(settings(), SEED), Random(SEED)
        self.down, self.live, self.number = down, live, 0
        self.events: list[tuple[float, int, api.Event]] = []
        self.attempts: dict[str, int] = {}
        self.now = self.spent = 0.0
        self.rounds = self.delivered = 0
        self.round(api.EndpointList(tuple(api.Endpoint(n, n, 0, 0) for n in range(down + live)), True))
        for _ in range(3):  # each that is down is judged so
            self.round(*(self.message(n) for n in range(down)))
            self.run(self.now + 1.0, 0.0)
        missing = held - sum(len(d.held) for d in self.control.store.destinations.values())
        self.round(*(self.message(n % down) for n in range(max(0, missing))))
        self.now += OUTAGE_S
        self.round(api.Timer(1))  # a last trial of each, and from then on as rarely as after so long
        self.run(self.now + 3.0, RATE)

    def message(self, destination: int) -> api.Message:
        """A new one."""
        self.number += 1
        return api.Message(f"{self.number:016x}", destination, 0, 3600.0)

    def round(self, *events: api.Event) -> float:
        """One round; its processor time."""
        for event in events:
            if isinstance(event, api.AttemptEnded):
                self.attempts.pop(event.ref, None) if event.final else None
        began = time.thread_time()
        actions = self.control.handle(self.now, list(events))
        took = time.thread_time() - began
        self.spent += took
        self.rounds += 1
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.at(self.now + action.after_s, api.Timer(action.label))
            elif isinstance(action, api.Send):
                tries = self.attempts[action.ref] = self.attempts.get(action.ref, -1) + 1
                fails = action.endpoint < self.down
                outcome = api.Outcome.UNREACHABLE if fails else api.Outcome.DELIVERED
                span = 0.001 if fails else TOOK_S
                self.at(
                    self.now + span,
                    api.AttemptEnded(action.ref, tries, action.endpoint, outcome, span, final=not fails),
                )
                self.delivered += not fails
        return took

    def at(self, when: float, event: api.Event) -> None:
        """Have an event come in then."""
        heapq.heappush(self.events, (when, len(self.events) + self.rounds * 1_000_000, event))

    def run(self, ends: float, rate: float) -> tuple[float, float]:
        """Play until then, with so many messages a second to live endpoints; seconds played, CPU s."""
        began, spent = self.now, self.spent
        at = self.now + self.random.expovariate(rate) if rate else math.inf
        while at < ends:
            self.at(at, self.message(self.down + self.random.randrange(self.live)))
            at += self.random.expovariate(rate)
        took = 0.0
        earliest = self.now
        while self.events and self.events[0][0] <= ends:
            self.now = max(self.events[0][0], earliest)
            due = []
            while self.events and self.events[0][0] <= self.now and len(due) < 256:
                due.append(heapq.heappop(self.events)[2])
            took = self.round(*due)
            earliest = self.now + max(took, min(GAP_MOST, ROUND_SHARE * took))
        self.now = max(ends, self.now)
        return self.now - began, self.spent - spent


def busy(down: int, held: int, span: float) -> tuple[float, float]:
    """CPU s a second at the target's rate, and CPU s a round."""
    played = Played(down, 1000, held)
    gc.collect()
    rounds = played.rounds
    span, spent = played.run(played.now + span, RATE)
    rounds = max(1, played.rounds - rounds)
    print(f"  {down} down, {held} held: {1e3 * spent / span:.1f} ms a s, {rounds} rounds", flush=True)
    return spent / span, spent / rounds


def listed(number: int) -> tuple[Controller, list[float], list[float]]:
    """A module with so many destinations, one endpoint each; CPU s of whole lists, of changes of one."""
    control = Controller(settings(), SEED)
    entries = tuple(api.Endpoint(n, n, 0, 0) for n in range(number))
    whole, one = [], []
    for turn in range(4):
        began = time.thread_time()
        control.handle(float(turn), [api.EndpointList(entries, True)])
        whole.append(time.thread_time() - began)
    random = Random(SEED)
    for turn in range(9):
        n = random.randrange(number)
        readiness = (api.Readiness.DRAINING, api.Readiness.SERVING)[turn % 2]
        began = time.thread_time()
        control.handle(5.0 + turn, [api.EndpointList((api.Endpoint(n, n, 0, 0, readiness),), False)])
        one.append(time.thread_time() - began)
    return control, whole[:1], one


def memory(make) -> float:
    """Bytes live that a call's result holds."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(used)


def held_only(number: int) -> Played:
    """A module with so many held at few endpoints."""
    return Played(FEW, 10, number)


def main() -> None:
    """All slopes of the module."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="small sizes, nothing is written")
    quick = parser.parse_args().quick
    made = []

    def add(measure: str, unit: str, driver: str, runs: dict[int, list[float]], **more) -> None:
        made.append(slopes.slope("decision-module", driver, measure, unit, runs, **more))
        one = made[-1]
        told = ", ".join(f"{p.at:g}: {p.median:.3g}" for p in [*one.points, one.held])
        print(f"{measure} against {driver}: {told} -> {one.fit.growth}, miss {one.miss:+.0f}%", flush=True)

    held = (100, 300, 1000, 3000, 10_000, 30_000, 100_000)[: 6 if quick else 7]
    span, turns = (2.0, 1) if quick else (4.0, 3)
    found = {n: [busy(FEW, n, span) for _ in range(turns)] for n in held}
    add(
        "processor time",
        "CPU s a s",
        "held messages",
        {n: [f[0] for f in found[n]] for n in held},
        target=HELD,
        budget="core",
        note=f"121 messages a second; held at {FEW} endpoints that are down",
    )
    add(
        "a round",
        "CPU s",
        "held messages",
        {n: [f[1] for f in found[n]] for n in held},
        target=HELD,
        budget="stall",
    )
    sizes = (3, 10, 30, 100, 300, 600) if quick else (3, 10, 30, 100, 300, 1260)
    found = {n: [busy(n, BACKLOG, span) for _ in range(turns)] for n in sizes}
    add(
        "processor time",
        "CPU s a s",
        "endpoints down",
        {n: [f[0] for f in found[n]] for n in sizes},
        target=DOWN,
        budget="core",
        note=f"121 messages a second, {BACKLOG} held in all",
    )
    add(
        "a round",
        "CPU s",
        "endpoints down",
        {n: [f[1] for f in found[n]] for n in sizes},
        target=DOWN,
        budget="stall",
    )
    sizes = (60, 200, 600, 2000, 6000, 20_000) if quick else (200, 600, 2000, 6000, 20_000, 60_000)
    whole, one, kept = {}, {}, {}
    for n in sizes:
        runs = [listed(n)[1:] for _ in range(1 if quick else 3)]
        whole[n], one[n] = [w for r in runs for w in r[0]], [o for r in runs for o in r[1]]
        kept[n] = [memory(lambda n=n: listed(n)[0])]
    add("a whole list", "CPU s", "destinations", whole, target=DESTINATIONS, budget="stall")
    add(
        "a change of one endpoint",
        "CPU s",
        "destinations",
        one,
        target=DESTINATIONS,
        budget="control core",
        scale=4.2,
        scale_why="4.2 changes a second: 1,260 outages of 10 minutes in the mean, begun and ended",
    )
    add("memory", "bytes", "destinations", kept, target=DESTINATIONS, budget="memory")
    sizes = (100, 300, 1000, 3000, 10_000, 30_000, 100_000)[: 6 if quick else 7]
    add(
        "memory",
        "bytes",
        "held messages",
        {n: [memory(lambda n=n: held_only(n))] for n in sizes},
        target=HELD,
        budget="memory",
    )
    if not quick:
        slopes.write(
            "decision-module",
            "python benchmarks/capacity/decision_module.py",
            made,
            "the sender's own process",
            [SEED],
            [
                "endpoints: one a destination",
                "memory: tracemalloc, live bytes, one run",
                "a whole list: the first one, three runs; a change: 27 of one endpoint each",
            ],
        )


if __name__ == "__main__":
    main()
