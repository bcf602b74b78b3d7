"""What each message was worth, and whether the rules were kept.

Worth is counted from a message's first hand-in: whole within the wanted time, then evenly less down to the
class's late share at its deadline, nothing after it. The score weighs the whole run (45%), the worst 10 s
(25%), the worst-served class (20%) and the worst-served tenant within its share (10%), less what new
connections, wasted work and lateness cost.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from willownotch.interface import Idempotency, MessageClass

WINDOW_S, SAMPLE_S = 10.0, 0.5
WEIGHTS = {"run": 0.45, "window": 0.25, "class": 0.20, "tenant": 0.10}
PRICES = {"connections": 0.04, "waste": 0.03, "late": 0.02}
DRAIN_S = 1.0  # after a sender was told
SLACK_S = 0.25  # that a final answer may be late by, the round's length and the way
EPSILON = 1e-6


@dataclass(slots=True)
class Item:
    """A message as its client knows it."""

    ref: str
    dest: int
    cls: int
    tenant: int
    key: str | None
    at: float
    worth: float
    within: bool  # its tenant's share
    ends_at: float
    delivered_at: float | None = None
    ended: str = ""
    effects: int = 0


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that was broken: when, by which message, at which call."""

    rule: str
    at: float
    ref: str
    call: str


@dataclass(slots=True)
class Result:
    """A story in figures. `series` has, each `SAMPLE_S`: seconds, messages held, calls out, messages
    delivered and handed in so far."""

    score: float
    service: float  # before deductions
    parts: dict[str, float]  # by weight, 0 to 1
    deductions: dict[str, float]
    outcomes: dict[str, dict[str, int]]  # by class
    classes: dict[str, float]  # worth kept
    windows: list[float]
    breaches: list[Breach]
    messages: int
    attempts: int
    connections: int
    latency_ms: dict[str, list[float]] = field(default_factory=dict)
    events: int = 0
    digest: str = ""
    series: list[tuple[float, int, int, int, int]] = field(default_factory=list)


class Ledger:
    """Counts for one story."""

    def __init__(self, classes: tuple[MessageClass, ...], tenants: tuple[str, ...]) -> None:
        self.classes, self.tenants = classes, tenants
        self.items: dict[str, Item] = {}
        self.breaches: list[Breach] = []
        self.attempts = self.connections = 0
        self.work_s = self.wasted_s = 0.0

    def breach(self, rule: str, at: float, ref: str, call: str = "") -> None:
        """A rule was broken."""
        self.breaches.append(Breach(rule, round(at, 6), ref, call))

    def worth_at(self, item: Item, when: float) -> float:
        """What a delivery then is worth, as a share of the whole."""
        cls = self.classes[item.cls]
        took = when - item.at
        if took <= cls.wanted_s:
            return 1.0
        if took > cls.deadline_s:
            return 0.0
        return 1 - (1 - cls.late_share) * (took - cls.wanted_s) / (cls.deadline_s - cls.wanted_s)

    def began(self, ref: str, takes_s: float, at: float) -> None:
        """A partner system has begun to carry a call out."""
        item = self.items[ref]
        item.effects += 1
        self.work_s += takes_s
        if item.effects > 1:
            self.wasted_s += takes_s
            if self.classes[item.cls].idempotency is Idempotency.UNSAFE:
                self.breach("effect twice", at, ref)

    def result(self, until: float) -> Result:
        """The story's figures."""
        got, asked = defaultdict(float), defaultdict(float)
        outcomes: dict[str, Counter] = {cls.name: Counter() for cls in self.classes}
        latency: dict[str, list[float]] = {cls.name: [] for cls in self.classes}
        late = delivered = 0
        for item in self.items.values():
            cls = self.classes[item.cls]
            share = self.worth_at(item, item.delivered_at) if item.delivered_at is not None else 0.0
            outcomes[cls.name][item.ended or "open"] += 1
            keys = ["run", ("window", int(item.at // WINDOW_S)), ("class", item.cls)]
            if item.within:
                keys.append(("tenant", item.tenant))
            for key in keys:
                got[key] += share * item.worth
                asked[key] += item.worth
            if item.delivered_at is not None:
                delivered += 1
                late += item.delivered_at - item.at > cls.wanted_s
                latency[cls.name].append(round(1000 * (item.delivered_at - item.at), 3))

        def share_of(key) -> float:
            return got[key] / asked[key] if asked[key] else 1.0

        def worst(what: str) -> float:
            return min((share_of(key) for key in asked if key[0] == what), default=1.0)

        windows = [
            share_of(("window", n))
            for n in range(int(max((i.at for i in self.items.values()), default=0.0) // WINDOW_S) + 1)
        ]
        parts = {
            "run": share_of("run"),
            "window": worst("window"),
            "class": worst("class"),
            "tenant": worst("tenant"),
        }
        service = sum(WEIGHTS[name] * part for name, part in parts.items())
        number = max(1, len(self.items))
        deductions = {
            "connections": PRICES["connections"] * min(1.0, self.connections / number),
            "waste": PRICES["waste"] * min(1.0, self.wasted_s / max(EPSILON, self.work_s - self.wasted_s)),
            "late": PRICES["late"] * late / max(1, delivered),
        }
        return Result(
            round(max(0.0, service - sum(deductions.values())), 6),
            round(service, 6),
            {k: round(v, 6) for k, v in parts.items()},
            {k: round(v, 6) for k, v in deductions.items()},
            {name: dict(sorted(counter.items())) for name, counter in outcomes.items()},
            {cls.name: round(share_of(("class", n)), 6) for n, cls in enumerate(self.classes)},
            [round(w, 6) for w in windows],
            self.breaches,
            len(self.items),
            self.attempts,
            self.connections,
            {name: sorted(values) for name, values in latency.items()},
        )
