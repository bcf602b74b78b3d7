"""The destination of a case: what it answers, and what it was sent."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from itertools import accumulate
from math import sqrt
from random import Random

from willownotch.interface import Outcome
from willownotch.lab.recovery.case import OUTCOMES, Case, Outage, OutageKind

SMALL_BUDGET = 30.0  # calls; below it more is granted to chance
STEP_S = 0.05  # between the windows that are looked at
TOOK_S = (0.1, 0.25)  # a call, from and to
BUCKET_S = 1.0  # the limit's calls that may come at once
FURTHER_MESSAGE_WEIGHT = 0.25  # of a call: the most that a further message in a call counts


def granted(expected: float) -> float:
    """The calls of a window that are still within the rules, where `expected` is what the settings allow."""
    if expected < SMALL_BUDGET:
        return expected + 3 * sqrt(expected) + 3
    return expected + 2 * sqrt(expected) + 2


@dataclass
class Reply:
    """What becomes of a call: an outcome after some time, or none at all."""

    outcome: Outcome
    after_s: float | None
    room_left: float | None = None
    limit_per_s: float | None = None


@dataclass(frozen=True)
class Window:
    """A span of the slow start and what was sent in it."""

    from_s: float  # since the return
    calls: float  # further messages in a call count by their weight
    expected: float  # what the settings allow
    aware: float  # the share of calls from senders that had seen a call fail there

    @property
    def over(self) -> float:
        """Calls over what is granted, as a share of what the settings allow."""
        return (self.calls - granted(self.expected)) / self.expected


@dataclass
class Destination:
    """Counts each call by its sender; times are seconds from the first outage's begin."""

    case: Case
    # Time, whether its sender was aware, and its weight.
    calls: list[tuple[float, bool, float]] = field(default_factory=list)
    delivered: list[float] = field(default_factory=list)
    aware: set[int] = field(default_factory=set)  # senders that saw a call fail in the last outage

    def __post_init__(self) -> None:
        """Fill its allowance."""
        self.random = Random(self.case.seed + 7919)
        self.left, self.filled_at = self.case.limit_per_s * BUCKET_S, -self.case.quiet_s
        lots = [self.random.random() for _ in range(self.case.senders)]
        self.lots = lots  # a sender sees a partition if its lot is under the share that does

    def outage(self, sender: int, endpoint: int, now: float) -> Outage | None:
        """What a sender's call meets at an endpoint."""
        if endpoint > self.case.failing_endpoints:
            return None
        return next(
            (o for o in self.case.outages if o.from_s <= now < o.to_s and self.lots[sender] < o.seen_by), None
        )

    def call(self, sender: int, endpoint: int, now: float, further: bool = False) -> Reply:
        """Take one message of a call; `further`: the call had begun with another one."""
        out = self.outage(sender, endpoint, now)
        if endpoint <= self.case.failing_endpoints:
            self.calls.append((now, sender in self.aware, FURTHER_MESSAGE_WEIGHT if further else 1.0))
        if out is not None:
            return self._fails(sender, out, now)
        took = self.random.uniform(*TOOK_S)
        if not self.case.tells_limit:
            self.delivered.append(now)
            return Reply(Outcome.DELIVERED, took)
        limit = self.case.limit_per_s
        if not self.case.enforces:
            self.delivered.append(now)
            return Reply(Outcome.DELIVERED, took, 1.0, limit)
        self.left = min(limit * BUCKET_S, self.left + limit * (now - self.filled_at))
        self.filled_at = now
        takes = self.left >= 1.0
        self.left -= takes
        self.delivered += [now] * takes
        outcome = Outcome.DELIVERED if takes else Outcome.REJECTED
        return Reply(outcome, took if takes else 0.01, max(0.0, self.left) / limit, limit)

    def learns(self, sender: int, sent_at: float) -> None:
        """A sender has learned that its call failed. An outage before the last one tells nothing of it."""
        if sent_at >= max(outage.from_s for outage in self.case.outages):
            self.aware.add(sender)

    def _fails(self, sender: int, out: Outage, now: float) -> Reply:
        if out.kind is OutageKind.HANG:
            return Reply(Outcome.TIMED_OUT, None)
        self.learns(sender, now)
        return Reply(OUTCOMES[out.kind], 0.02)

    def windows(self) -> list[Window]:
        """Every window of the last slow start; with endpoints that fail alone, their part of the capacity."""
        case, rules = self.case, self.case.rules
        back = case.returned_s
        part = case.failing_endpoints / case.endpoints
        times = [at for at, _, _ in self.calls]
        weights = [0.0, *accumulate(weight for _, _, weight in self.calls)]
        aware = [0.0, *accumulate(known * weight for _, known, weight in self.calls)]
        found = []
        for n in range(int((case.cold_s - rules.fall_s) / STEP_S)):
            begin = n * STEP_S
            share = min(1.0, rules.cold_share + (1 - rules.cold_share) * begin / case.cold_s)
            expected = rules.fall_multiple * case.capacity * case.limit_per_s * part * share * rules.fall_s
            low, high = bisect_left(times, back + begin), bisect_left(times, back + begin + rules.fall_s)
            calls = weights[high] - weights[low]
            known = (aware[high] - aware[low]) / max(1.0, calls)
            found.append(Window(begin, calls, expected, known))
        return found
