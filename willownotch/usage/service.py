"""Counting in a running sender: its own counts in the folder, the replicated state, and answers to
questions."""

from __future__ import annotations

import secrets
import threading
import time
from collections.abc import Callable, Iterable
from math import inf
from pathlib import Path
from random import Random

import msgspec

from willownotch.channel.server import BadRequestError
from willownotch.files.layer import Files
from willownotch.files.space import Space
from willownotch.usage.core import Session, Usage
from willownotch.usage.estimate import Interval
from willownotch.usage.layer import Exchanges
from willownotch.usage.limits import share
from willownotch.usage.settings import UsageSettings
from willownotch.usage.settled import Settled
from willownotch.usage.store import CountStore
from willownotch.usage.tally import Tally
from willownotch.usage.wire import LIFE_BITS, CountKind, tenant_key

LOOK_S = 1.0  # between two looks at whether the files want to be written anew
TELL_S = 1.0  # between two words on parts of quotas
NEWS = 0.02  # by which a part has to change to be told
LINES = 1000  # of an answer, unless more are asked for
SORTS = {sort.name.lower(): sort for sort in CountKind}


class IntervalView(msgspec.Struct, frozen=True):
    """A count and its bounds; `high` is null where nothing bounds it."""

    count: int
    low: int
    high: float | None


class LineView(msgspec.Struct, frozen=True):
    """One tenant and class."""

    tenant: str
    cls: str
    counts: dict[str, IntervalView]
    short_rate: float
    long_rate: float


class UsageView(msgspec.Struct, frozen=True):
    """What an instance knows of the fleet's usage."""

    name: str
    lines: list[LineView]
    left_out: int  # lines beyond those asked for
    lives: int
    settled: int
    oldest_s: float | None
    oldest: str
    unheard: list[str]
    counters: dict[str, int]
    broken: str  # why counts are in memory only, if they are


class UsageService:
    """The counts of one sender. The edge's thread runs the state; any thread may count and ask."""

    def __init__(
        self,
        settings: UsageSettings,
        name: str,
        lone: bool,
        folder: Path,
        files: Files,
        space: Space,
        say: Callable[[str], None],
    ) -> None:
        now = time.monotonic()
        self.say = say
        self.store = CountStore(folder, files, space, say)
        sessions, settled = self.store.read()
        self.usage = Usage(
            name, secrets.randbits(LIFE_BITS) or 1, settings, Random(secrets.randbits(64)), now
        )
        self.usage.lone = lone
        self.usage.load([life for life in sessions if life.name == name], settled)
        former = max(sessions, key=lambda life: life.upto, default=None)
        self.store.begin(
            Session(self.usage.own.id, name),
            Tally(settings.rows, former=former.rows if former else None, now=now),
        )
        self.layer = Exchanges(self.usage, now)
        self.lock = threading.Lock()  # the edge's, once there is one
        self.on_quota_shares: Callable[[dict[str, float]], None] | None = (
            None  # the decisions, of parts of quotas
        )
        self.tenants: tuple[str, ...] = ()  # that have a quota
        self.classes: tuple[str, ...] = ()
        self._told: dict[str, float] = {}
        self._tell_at = now
        self.store.compact(self._former(), settled)

    def _former(self) -> list[Session]:
        """Copies of the former lives of this name."""
        own = self.usage.own
        return [
            Session(life.id, life.name, life.closed, life.upto, dict(life.rows))
            for life in self.usage.sessions.values()
            if life.name == own.name and life is not own
        ]

    def count_messages(self, messages: Iterable[tuple[str, str, str]]) -> None:
        """Messages by tenant, class and what became of them, just written to the journal; any thread."""
        self.store.count(time.monotonic(), [(tenant, cls, SORTS[what]) for tenant, cls, what in messages])

    def before(self, now: float) -> None:
        """What the edge does first in each round: let the state know of what was counted meanwhile."""
        if self.usage.overdue:
            with self.store.lock:
                self._drain(now)
                self.usage.renew(now)
                self.store.renew(self.usage.own)
        self._drain(now)
        if self.usage.settings.share_quotas and self.on_quota_shares is not None and now >= self._tell_at:
            self._tell_at = now + TELL_S
            self._tell_parts()
        while self.usage.log:
            self.say(self.usage.log.pop(0))

    def _tell_parts(self) -> None:
        """What part of each quota is this instance's, where that has changed."""
        by_load, parts = self.usage.settings.own_share, {}
        for tenant in self.tenants:
            keys = [(tenant_key(tenant), cls) for cls in self.classes]
            part = round(share(*self.usage.rates(keys), by_load), 3)
            if abs(part - self._told.get(tenant, inf)) >= NEWS:
                parts[tenant] = self._told[tenant] = part
                self.say(f"the part of {tenant}'s quota here is {part:g}")
        if parts:
            self.on_quota_shares(parts)

    def _drain(self, now: float) -> None:
        while not self.store.rows.empty():
            self.usage.count(now, self.store.rows.get())

    def run_compaction(self) -> None:
        """Write the files anew where that is wanted; a thread of its own, as a disk may be slow."""
        pause = threading.Event()
        while True:
            pause.wait(LOOK_S)
            self.look()

    def look(self) -> None:
        """One look at whether the files want to be written anew."""
        if not (self.usage.unsaved or self.store.needs_compaction()):
            return
        with self.lock:
            former = self._former()
            settled = Settled(dict(self.usage.settled.sessions), dict(self.usage.settled.rows))
            self.usage.unsaved = False
        if not self.store.compact(former, settled):
            self.usage.unsaved = True

    def close(self) -> None:
        """The process ends; what it counted is told as final from now on."""
        self.store.close()
        with self.lock:
            self._drain(time.monotonic())
            self.usage.close()

    def answer(self, about: dict[str, str]) -> UsageView:
        """The fleet's usage; `tenant` and `lines` narrow it."""
        unknown = set(about) - {"tenant", "lines"}
        if unknown:
            raise BadRequestError(f"unknown word {min(unknown)!r}, allowed: lines, tenant")
        try:
            most = int(about.get("lines", LINES))
        except ValueError:
            raise BadRequestError("'lines' is no whole number") from None
        tenant = tenant_key(about["tenant"]) if "tenant" in about else None
        with self.lock:
            now = time.monotonic()
            self._drain(now)
            found = self.usage.answer(now, tenant, most)
            counters = dict(self.usage.counters)
        lines = [
            LineView(
                line.tenant.decode("utf-8", "backslashreplace"),
                line.cls,
                {sort.name.lower(): _view(line.counts[sort]) for sort in CountKind},
                round(line.short_rate, 3),
                round(line.long_rate, 3),
            )
            for line in found.lines
        ]
        return UsageView(
            self.usage.name,
            lines,
            found.left_out,
            found.sessions,
            found.settled,
            None if found.oldest_s == inf else round(found.oldest_s, 3),
            found.oldest,
            list(found.unheard),
            counters,
            self.store.broken,
        )


def _view(interval: Interval) -> IntervalView:
    high = None if interval.high == inf else round(interval.high, 1)
    return IntervalView(interval.count, interval.low, high)
