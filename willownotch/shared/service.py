"""Shared state in a running sender: the layer, fed by the owner, and what the decisions are told of it.

The membership's thread runs it, under that thread's lock; the owner only counts and posts.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import msgspec

from willownotch.shared.budgets import Budgets
from willownotch.shared.judgements import Judgements
from willownotch.shared.layer import SharingLayer
from willownotch.shared.settings import SharedSettings

LEAD_S = 0.15  # parts are told as they will be so much later, so that none is spent beyond its end
TELL_S, STALE_S = 0.1, 1.0  # between two words on parts; after so long without one, only what is never lent
LIMIT_MOVED = 0.1  # share by which a limit must have changed to be told again


@dataclass(frozen=True, slots=True)
class BudgetParts:
    """This sender's parts of budgets, and what is left of them should no more be heard."""

    parts: dict[str, float]
    floor: float
    hard: frozenset[str]
    until: float  # on the monotonic clock


@dataclass(frozen=True, slots=True)
class EndpointFindings:
    """What others have found of endpoints, as it changed: works or not, and limits."""

    works: tuple[tuple[str, bool], ...]
    limits: tuple[tuple[str, float], ...]


class BudgetView(msgspec.Struct, frozen=True):
    """One budget here."""

    name: str
    per_s: float
    part: float
    lent: float
    borrowed: float
    demand: float


class RowView(msgspec.Struct, frozen=True):
    """What one sender has found of an endpoint."""

    endpoint: str
    source: str
    failing: bool | None
    limit: float | None
    age_s: float


class VerdictView(msgspec.Struct, frozen=True):
    """What counts here of an endpoint on the word of others."""

    endpoint: str
    failing: bool
    sources: int
    age_s: float


class SharedView(msgspec.Struct, frozen=True):
    """All of it, with the bounds past which it counts no more."""

    name: str
    own: float
    loan_s: float
    judgement_s: float
    budgets: tuple[BudgetView, ...]
    rows: tuple[RowView, ...]
    verdicts: tuple[VerdictView, ...]
    left_out: int


class SharedState:
    """Both halves for one sender. `lock` is the membership's, set before it is started."""

    def __init__(
        self, settings: SharedSettings, name: str, life: int, instances: int, now: float, random: Random
    ) -> None:
        self.settings, self.name, self.lock = settings, name, threading.Lock()
        number = settings.instances or instances
        self.budgets = (
            Budgets(name, number, now, random, settings.loan.total_seconds(), settings.keep)
            if settings.budgets
            else None
        )
        self.judgements = (
            Judgements(
                name,
                life,
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
        self.endpoints: Callable[[], dict[str, int]] = dict  # those that are listed, with their destinations
        self.tell: Callable[[BudgetParts | EndpointFindings], None] = lambda found: None
        self._demand: Counter[str] = Counter()
        self._told_at, self._told = -1e9, {}
        self._verdicts: dict[str, bool] = {}
        self._limits: dict[str, float] = {}

    # What the owner says; any thread

    def configure(self, quotas: dict[str, float]) -> None:
        """The tenants and their quotas."""
        with self.lock:
            if self.budgets is not None:
                self.budgets.configure(quotas)

    def record_demand(self, name: str) -> None:
        """A message of a tenant has come, whatever becomes of it."""
        self._demand[name] += 1

    def found(self, now: float, endpoint: str, works: bool) -> None:
        """The decision module's own verdict."""
        with self.lock:
            if self.judgements is not None:
                self.judgements.told(now, endpoint, works)

    def limit(self, now: float, endpoint: str, limit: float) -> None:
        """An answer told a limit."""
        with self.lock:
            if self.judgements is not None:
                self.judgements.limit(now, endpoint, limit)

    # Its rounds, under the lock

    def before(self, now: float) -> None:
        """Take what was counted, and tell what has changed."""
        if self.budgets is not None:
            counted, self._demand = self._demand, Counter()
            self.budgets.record_demand(now, counted.items())
            self._tell_parts(now)
        if self.judgements is not None:
            self._tell_findings(now)

    def _tell_parts(self, now: float) -> None:
        parts = {name: self.budgets.part(name, now, LEAD_S) / 1e6 for name in self.budgets.budgets}
        less = any(part < self._told.get(name, 1.0) for name, part in parts.items())
        if less or now - self._told_at >= TELL_S:
            self._told, self._told_at = parts, now
            floor = self.budgets.own() * self.budgets.keep / 1e6
            self.tell(BudgetParts(parts, floor, frozenset(self.settings.hard), now + STALE_S))

    def _tell_findings(self, now: float) -> None:
        listed = self.endpoints()
        verdicts = self.judgements.verdicts(now, listed)
        works: list[tuple[str, bool]] = []
        for endpoint, verdict in verdicts.items():
            if self._verdicts.get(endpoint) is not verdict.failing:
                works.append((endpoint, not verdict.failing))
        for endpoint, failing in self._verdicts.items():
            own = self.judgements.own.get(endpoint)
            if failing and endpoint not in verdicts and endpoint in listed and not (own and own.failing):
                works.append((endpoint, True))  # nobody says so any more: what is found here alone counts
        self._verdicts = {endpoint: verdict.failing for endpoint, verdict in verdicts.items()}
        limits = []
        for endpoint, limit in self.judgements.limits(listed).items():
            own, known = self.judgements.own.get(endpoint), self._limits.get(endpoint, 0.0)
            if abs(limit - known) > LIMIT_MOVED * known and not (own and own.limit is not None):
                self._limits[endpoint] = limit
                limits.append((endpoint, limit))
        if len(self._limits) > 2 * len(listed) + 64:
            self._limits.clear()
        if works or limits:
            self.tell(EndpointFindings(tuple(works), tuple(limits)))

    def reload(self, settings: SharedSettings) -> None:
        """Take other settings; what is on stays so."""
        self.settings = settings
        if self.budgets is not None:
            self.budgets.span, self.budgets.keep = settings.loan.total_seconds(), settings.keep
        if self.judgements is not None:
            own = self.judgements
            own.span, own.sources = settings.judgement.total_seconds(), settings.sources
            own.most_share, own.rows_most = settings.most_share, settings.rows

    def view(self, now: float) -> SharedView:
        """For who asks, under the lock."""
        budgets, rows, verdicts = [], [], []
        if self.budgets is not None:
            for name, budget in self.budgets.budgets.items():
                part = self.budgets.part(name, now)
                budgets.append(
                    BudgetView(
                        name,
                        budget.per_s,
                        part / 1e6,
                        sum(n.amount for n in budget.lent.values()) / 1e6,
                        sum(n.amount for n in budget.borrowed.values()) / 1e6,
                        round(budget.demand, 3),
                    )
                )
        if self.judgements is not None:
            rows = [
                RowView(h.row.endpoint, h.row.source, h.row.failing, h.row.limit, round(now - h.at, 3))
                for _, h in sorted(self.judgements.held.items())
            ]
            found = self.judgements.verdicts(now, self.endpoints())
            verdicts = [
                VerdictView(v.endpoint, v.failing, v.sources, round(v.age, 3)) for v in found.values()
            ]
        own = self.budgets.own() / 1e6 if self.budgets else 0.0
        return SharedView(
            self.name,
            own,
            self.settings.loan.total_seconds(),
            self.settings.judgement.total_seconds(),
            tuple(budgets),
            tuple(rows),
            tuple(verdicts),
            self.judgements.left_out if self.judgements else 0,
        )
