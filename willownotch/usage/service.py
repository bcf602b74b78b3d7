"""Usage counting in a running sender: its own counts in the state folder, the replicated state, and replies
to operators' queries."""

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
from willownotch.usage.layer import UsageLayer
from willownotch.usage.limits import share_of_limit
from willownotch.usage.settings import UsageSettings
from willownotch.usage.settled import SettledCounts
from willownotch.usage.store import CountStore
from willownotch.usage.tally import Tally
from willownotch.usage.wire import SESSION_ID_BITS, CountKind, tenant_key

COMPACTION_CHECK_INTERVAL_S = 1.0
QUOTA_SHARE_INTERVAL_S = 1.0  # between reports of quota shares to the decision module
MIN_SHARE_CHANGE = 0.02  # smaller changes of a quota share are not reported
DEFAULT_LINES = 1000  # of a reply, unless the query sets another number
KIND_BY_NAME = {kind.name.lower(): kind for kind in CountKind}


class IntervalView(msgspec.Struct, frozen=True):
    """A count and its bounds; `high` is null where there is no upper bound."""

    count: int
    low: int
    high: float | None


class LineView(msgspec.Struct, frozen=True):
    """Usage of one tenant and class; rates are messages a second."""

    tenant: str
    cls: str
    counts: dict[str, IntervalView]
    short_rate: float
    long_rate: float


class UsageView(msgspec.Struct, frozen=True):
    """What an instance knows of the fleet's usage, as it is written to operators."""

    name: str
    lines: list[LineView]
    left_out: int  # lines beyond the requested number
    lives: int  # sessions
    settled: int  # sessions folded into the settled counts
    oldest_s: float | None
    oldest: str
    unheard: list[str]
    counters: dict[str, int]
    broken: str  # why counts are in memory only; "" if they are not


class UsageService:
    """The usage counts of one sender. The transport's thread drives the replicated state; any thread may
    count messages and query."""

    def __init__(
        self,
        settings: UsageSettings,
        name: str,
        is_alone: bool,
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
            name, secrets.randbits(SESSION_ID_BITS) or 1, settings, Random(secrets.randbits(64)), now
        )
        self.usage.is_alone = is_alone
        self.usage.load([session for session in sessions if session.name == name], settled)
        former = max(sessions, key=lambda session: session.version, default=None)
        self.store.begin(
            Session(self.usage.own.id, name),
            Tally(settings.rows, former=former.rows if former else None, now=now),
        )
        self.layer = UsageLayer(self.usage, now)
        self.lock = threading.Lock()  # replaced by the transport's lock once there is one
        self.on_quota_shares: Callable[[dict[str, float]], None] | None = None  # by tenant
        self.tenants: tuple[str, ...] = ()  # those with a quota
        self.classes: tuple[str, ...] = ()
        self._reported_shares: dict[str, float] = {}
        self._next_report_at = now
        self.store.compact(self._former_sessions(), settled)

    def _former_sessions(self) -> list[Session]:
        """Returns copies of the former sessions of this name."""
        own = self.usage.own
        return [
            Session(session.id, session.name, session.closed, session.version, dict(session.rows))
            for session in self.usage.sessions.values()
            if session.name == own.name and session is not own
        ]

    def count_messages(self, messages: Iterable[tuple[str, str, str]]) -> None:
        """Counts messages that were just written to the journal, each given by its tenant, its class and the
        name of a `CountKind`. Any thread may call it."""
        self.store.count(
            time.monotonic(), [(tenant, cls, KIND_BY_NAME[kind]) for tenant, cls, kind in messages]
        )

    def before(self, now: float) -> None:
        """Passes new counts on to the replicated state; the transport calls it first in each round."""
        if self.usage.renewal_reason:
            with self.store.lock:
                self._drain_rows(now)
                self.usage.renew(now)
                self.store.renew(self.usage.own)
        self._drain_rows(now)
        if (
            self.usage.settings.share_quotas
            and self.on_quota_shares is not None
            and now >= self._next_report_at
        ):
            self._next_report_at = now + QUOTA_SHARE_INTERVAL_S
            self._report_quota_shares()
        while self.usage.log:
            self.say(self.usage.log.pop(0))

    def _report_quota_shares(self) -> None:
        """Reports this instance's share of each quota where it has changed."""
        by_load, changed = self.usage.settings.own_share, {}
        for tenant in self.tenants:
            keys = [(tenant_key(tenant), cls) for cls in self.classes]
            share = round(share_of_limit(*self.usage.peak_rates(keys), by_load), 3)
            if abs(share - self._reported_shares.get(tenant, inf)) >= MIN_SHARE_CHANGE:
                changed[tenant] = self._reported_shares[tenant] = share
                self.say(f"the part of {tenant}'s quota here is {share:g}")
        if changed:
            self.on_quota_shares(changed)

    def _drain_rows(self, now: float) -> None:
        while not self.store.pending_rows.empty():
            self.usage.add_own_row(now, self.store.pending_rows.get())

    def run_compaction(self) -> None:
        """Compacts the files whenever needed, on a thread of its own because a disk may be slow."""
        pause = threading.Event()
        while True:
            pause.wait(COMPACTION_CHECK_INTERVAL_S)
            self.compact_if_needed()

    def compact_if_needed(self) -> None:
        """Compacts the files if something is unsaved or the log is incomplete or too large."""
        if not (self.usage.unsaved or self.store.needs_compaction()):
            return
        with self.lock:
            former = self._former_sessions()
            settled = SettledCounts(dict(self.usage.settled.sessions), dict(self.usage.settled.rows))
            self.usage.unsaved = False
        if not self.store.compact(former, settled):
            self.usage.unsaved = True

    def close(self) -> None:
        """Ends the session when the process ends; from now on its counts are sent as final."""
        self.store.close()
        with self.lock:
            self._drain_rows(time.monotonic())
            self.usage.close()

    def answer(self, query: dict[str, str]) -> UsageView:
        """Returns the fleet's usage. The query may limit it: `tenant` to one tenant, `lines` to a number."""
        unknown = set(query) - {"tenant", "lines"}
        if unknown:
            raise BadRequestError(f"unknown word {min(unknown)!r}, allowed: lines, tenant")
        try:
            max_lines = int(query.get("lines", DEFAULT_LINES))
        except ValueError:
            raise BadRequestError("'lines' is not a whole number") from None
        tenant = tenant_key(query["tenant"]) if "tenant" in query else None
        with self.lock:
            now = time.monotonic()
            self._drain_rows(now)
            report = self.usage.report(now, tenant, max_lines)
            counters = dict(self.usage.counters)
        lines = [
            LineView(
                line.tenant.decode("utf-8", "backslashreplace"),
                line.cls,
                {kind.name.lower(): _view(line.counts[kind]) for kind in CountKind},
                round(line.short_rate, 3),
                round(line.long_rate, 3),
            )
            for line in report.lines
        ]
        return UsageView(
            self.usage.name,
            lines,
            report.left_out,
            report.sessions,
            report.settled,
            None if report.oldest_s == inf else round(report.oldest_s, 3),
            report.oldest,
            list(report.unheard),
            counters,
            self.store.incomplete_reason,
        )


def _view(interval: Interval) -> IntervalView:
    high = None if interval.high == inf else round(interval.high, 1)
    return IntervalView(interval.count, interval.low, high)
