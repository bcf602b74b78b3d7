"""Shared state in a running sender: feeds the layer with what the sender observes and passes on what others
share.

The membership's thread runs it under that thread's lock; the thread of the decision module only counts and
posts.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import msgspec

from willownotch.shared.budgets import Budgets
from willownotch.shared.judgements import Judgements
from willownotch.shared.layer import SharingLayer
from willownotch.shared.settings import SharedSettings

LEAD_S = 0.15  # a part is reported as it will be then, so that no loan is spent beyond its end
# A part that shrinks is reported at once, others at the interval. Without a report for `STALE_S`, only the
# share that is never lent may be spent.
REPORT_INTERVAL_S, STALE_S = 0.1, 1.0
LIMIT_CHANGE_SHARE = 0.1  # a limit is reported again when it has changed by more than this


@dataclass(frozen=True, slots=True)
class BudgetParts:
    """This sender's parts of budgets as shares, and what replaces them once they are out of date."""

    parts: dict[str, float]
    floor: float  # the share that is never lent
    hard: frozenset[str]  # budgets above whose part messages are rejected
    until: float  # on the monotonic clock


@dataclass(frozen=True, slots=True)
class EndpointFindings:
    """Changes in what others say of endpoints: whether they work, and limits in calls a second."""

    works: tuple[tuple[str, bool], ...]
    limits: tuple[tuple[str, float], ...]


class BudgetView(msgspec.Struct, frozen=True):
    """One budget of this sender; parts, loans and borrowings as shares of the whole."""

    name: str
    per_s: float
    part: float
    lent: float
    borrowed: float
    demand: float


class RowView(msgspec.Struct, frozen=True):
    """One sender's judgement of an endpoint."""

    endpoint: str
    source: str
    failing: bool | None
    limit: float | None
    age_s: float


class VerdictView(msgspec.Struct, frozen=True):
    """What counts here of an endpoint because others agree on it."""

    endpoint: str
    failing: bool
    sources: int
    age_s: float


class SharedView(msgspec.Struct, frozen=True):
    """All shared state, and how long loans and judgements are valid."""

    name: str
    own: float
    loan_s: float
    judgement_s: float
    budgets: tuple[BudgetView, ...]
    rows: tuple[RowView, ...]
    verdicts: tuple[VerdictView, ...]
    left_out: int


class SharedState:
    """Budgets and judgements of one sender. `lock` is the membership's, set before the membership starts."""

    def __init__(
        self, settings: SharedSettings, name: str, uid: int, instances: int, now: float, random: Random
    ) -> None:
        self.settings, self.name, self.lock = settings, name, threading.Lock()
        instance_count = settings.instances or instances
        self.budgets = (
            Budgets(name, instance_count, now, random, settings.loan.total_seconds(), settings.keep)
            if settings.budgets
            else None
        )
        self.judgements = (
            Judgements(
                name,
                uid,
                settings.judgement.total_seconds(),
                settings.sources,
                settings.most_share,
                settings.rows,
            )
            if settings.judgements
            else None
        )
        self.layer = SharingLayer(
            name, lambda: self.settings.exchange.total_seconds(), random, self.budgets, self.judgements, now
        )
        self.endpoints: Callable[[], dict[str, int]] = dict  # those listed, with their destinations
        self.tell: Callable[[BudgetParts | EndpointFindings], None] = lambda update: None
        self._demand: Counter[str] = Counter()
        self._parts_reported_at, self._reported_parts = -1e9, {}
        self._reported_verdicts: dict[str, bool] = {}
        self._reported_limits: dict[str, float] = {}

    # Called by the sender, on any thread

    def configure(self, quotas: dict[str, float]) -> BudgetParts | None:
        """Sets the tenants' quotas in messages a second; returns the parts as of now, if budgets are shared.

        Until the next report nothing else says which of them are hard.
        """
        with self.lock:
            if self.budgets is None:
                return None
            self.budgets.configure(quotas)
            return self._parts(time.monotonic())

    def record_demand(self, name: str) -> None:
        """Counts a message of a tenant, whether it is accepted or not."""
        self._demand[name] += 1

    def found(self, now: float, endpoint: str, works: bool) -> None:
        """Records that the decision module found an endpoint failing, or working again."""
        with self.lock:
            if self.judgements is not None:
                self.judgements.told(now, endpoint, works)

    def limit(self, now: float, endpoint: str, limit: float) -> None:
        """Records a limit in calls a second that an endpoint's answer stated."""
        with self.lock:
            if self.judgements is not None:
                self.judgements.limit(now, endpoint, limit)

    # Called by the membership's thread, under the lock

    def before(self, now: float) -> None:
        """Takes the counted demand and reports changes; runs before each round of the membership."""
        if self.budgets is not None:
            counted, self._demand = self._demand, Counter()
            self.budgets.record_demand(now, counted.items())
            self._report_parts(now)
        if self.judgements is not None:
            self._report_findings(now)

    def _report_parts(self, now: float) -> None:
        """Reports the parts at once if one has shrunk, else at the interval."""
        found = self._parts(now)
        shrunk = any(part < self._reported_parts.get(name, 1.0) for name, part in found.parts.items())
        if shrunk or now - self._parts_reported_at >= REPORT_INTERVAL_S:
            self._reported_parts, self._parts_reported_at = found.parts, now
            self.tell(found)

    def _parts(self, now: float) -> BudgetParts:
        """Returns the parts that may be spent. The caller holds the lock."""
        parts = {name: self.budgets.part(name, now, LEAD_S) / 1e6 for name in self.budgets.budgets}
        floor = self.budgets.own_part() * self.budgets.reserved_share / 1e6
        return BudgetParts(parts, floor, frozenset(self.settings.hard), now + STALE_S)

    def _report_findings(self, now: float) -> None:
        """Reports verdicts and limits that have changed since the last report."""
        listed = self.endpoints()
        verdicts = self.judgements.verdicts(now, listed)
        works: list[tuple[str, bool]] = []
        for endpoint, verdict in verdicts.items():
            if self._reported_verdicts.get(endpoint) is not verdict.failing:
                works.append((endpoint, not verdict.failing))
        for endpoint, failing in self._reported_verdicts.items():
            own = self.judgements.own.get(endpoint)
            if failing and endpoint not in verdicts and endpoint in listed and not (own and own.failing):
                works.append((endpoint, True))  # the others' verdict has ended: only local knowledge counts
        self._reported_verdicts = {endpoint: verdict.failing for endpoint, verdict in verdicts.items()}
        limits = []
        for endpoint, limit in self.judgements.limits(listed).items():
            own, reported = self.judgements.own.get(endpoint), self._reported_limits.get(endpoint, 0.0)
            if abs(limit - reported) > LIMIT_CHANGE_SHARE * reported and not (own and own.limit is not None):
                self._reported_limits[endpoint] = limit
                limits.append((endpoint, limit))
        if len(self._reported_limits) > 2 * len(listed) + 64:
            self._reported_limits.clear()
        if works or limits:
            self.tell(EndpointFindings(tuple(works), tuple(limits)))

    def reload(self, settings: SharedSettings) -> None:
        """Applies changed settings; whether budgets and judgements are shared is fixed at the start."""
        self.settings = settings
        if self.budgets is not None:
            self.budgets.loan_s, self.budgets.reserved_share = settings.loan.total_seconds(), settings.keep
        if self.judgements is not None:
            judgements = self.judgements
            judgements.lifetime_s, judgements.sources = settings.judgement.total_seconds(), settings.sources
            judgements.max_failing_share, judgements.max_rows = settings.most_share, settings.rows

    def view(self, now: float) -> SharedView:
        """Returns all shared state for an operator; call it under the lock."""
        budgets, rows, verdicts = [], [], []
        if self.budgets is not None:
            for name, budget in self.budgets.budgets.items():
                part = self.budgets.part(name, now)
                budgets.append(
                    BudgetView(
                        name,
                        budget.per_s,
                        part / 1e6,
                        sum(loan.amount for loan in budget.lent.values()) / 1e6,
                        sum(loan.amount for loan in budget.borrowed.values()) / 1e6,
                        round(budget.demand, 3),
                    )
                )
        if self.judgements is not None:
            rows = [
                RowView(
                    stored.row.endpoint,
                    stored.row.source,
                    stored.row.failing,
                    stored.row.limit,
                    round(now - stored.affirmed_at, 3),
                )
                for _, stored in sorted(self.judgements.rows.items())
            ]
            found = self.judgements.verdicts(now, self.endpoints())
            verdicts = [
                VerdictView(v.endpoint, v.failing, v.sources, round(v.age, 3)) for v in found.values()
            ]
        own_part = self.budgets.own_part() / 1e6 if self.budgets else 0.0
        return SharedView(
            self.name,
            own_part,
            self.settings.loan.total_seconds(),
            self.settings.judgement.total_seconds(),
            tuple(budgets),
            tuple(rows),
            tuple(verdicts),
            self.judgements.left_out if self.judgements else 0,
        )
