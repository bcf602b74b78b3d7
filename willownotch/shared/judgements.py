"""What senders have found of endpoints: judgements that are merged, and dropped by age. No I/O, no clock.

A row is what one process says of one endpoint: that it fails or works again, or a limit that the endpoint's
answers state. Only that process writes the row, with a version that increases; of two rows the higher version
wins (a last-writer-wins register for each source, joined over all: Shapiro and others, 2011). So merging is
idempotent, commutative and associative, whatever messages are lost, delayed or repeated. Only rows that were
changed or affirmed lately are sent (deltas).

Rows carry ages instead of times: how long ago the source last affirmed the row. The transfer only adds the
time that it takes. A source affirms what it still holds; a row that nobody affirms is dropped after
`lifetime_s`.

Where enough sources say the same of an endpoint, the others neither affirm it nor pass it on. So the traffic
grows with the endpoints that have judgements and not with the members that have made them.

What others say counts here only once `sources` of them agree, and never for more than a share of a
destination's endpoints. So one member that is wrong, or lies, changes nothing, and many change no more than
that share.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median_low

import msgspec

MAX_ROWS_PER_MESSAGE = 40


class Row(msgspec.Struct, frozen=True, array_like=True):
    """What a process says of an endpoint. `age_ms` is the time since it last affirmed it, as of sending."""

    uid: int  # of the process
    source: str  # the member's name
    endpoint: str
    version: int
    failing: bool | None  # None: no judgement
    limit: float | None  # calls a second, as the endpoint's answers state it
    age_ms: int


@dataclass(slots=True)
class StoredRow:
    """A row, and when its source affirmed it by the local clock."""

    row: Row
    affirmed_at: float


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the others together say of an endpoint, where it counts here."""

    endpoint: str
    failing: bool
    sources: int
    age: float  # in seconds, of the oldest row that the verdict needs


@dataclass(slots=True)
class OwnJudgement:
    """What this process itself says of an endpoint."""

    version: int = 0
    failing: bool | None = None
    limit: float | None = None
    changed_at: float = 0.0
    limit_at: float = 0.0


@dataclass(slots=True)
class Judgements:
    """One sender's view: its own judgements, the rows of all, and the verdicts that follow from them."""

    name: str
    uid: int
    lifetime_s: float
    sources: int
    max_failing_share: float
    max_rows: int
    own: dict[str, OwnJudgement] = field(default_factory=dict)
    rows: dict[tuple[int, str], StoredRow] = field(default_factory=dict)  # by process and endpoint
    unsent: dict[tuple[int, str], int] = field(default_factory=dict)  # how often a row to pass on was sent
    left_out: int = 0  # rows of others that exceeded `max_rows`
    _uids: dict[str, set[int]] = field(default_factory=dict)  # by endpoint, the processes with a row

    # This process's judgements

    def told(self, now: float, endpoint: str, works: bool) -> None:
        """Records that the decision module found an endpoint failing, or working again."""
        own = self.own.setdefault(endpoint, OwnJudgement())
        own.failing, own.changed_at = not works, now
        self._affirm(now, endpoint)

    def limit(self, now: float, endpoint: str, limit: float) -> None:
        """Records a limit in calls a second that an endpoint's answer stated."""
        own = self.own.setdefault(endpoint, OwnJudgement())
        changed = own.limit is None or abs(limit - own.limit) > 0.1 * own.limit
        own.limit, own.limit_at = limit, now
        if changed:
            self._affirm(now, endpoint)

    def _affirm(self, now: float, endpoint: str) -> None:
        """Writes the own row under a new version and has it sent."""
        own = self.own[endpoint]
        own.version += 1
        row = Row(self.uid, self.name, endpoint, own.version, own.failing, own.limit, 0)
        self.rows[self.uid, endpoint] = StoredRow(row, now)
        self._uids.setdefault(endpoint, set()).add(self.uid)
        self.unsent[self.uid, endpoint] = 0

    def _agreeing(self, now: float, row: Row) -> int:
        """Counts the other processes that affirmed the same in the last third of a row's lifetime."""
        recent_s, count = self.lifetime_s / 3, 0
        for uid in self._uids.get(row.endpoint, ()):
            stored = self.rows[uid, row.endpoint]
            same = stored.row.failing == row.failing and (row.limit is None or stored.row.limit is not None)
            count += uid != row.uid and same and now - stored.affirmed_at < recent_s
        return count

    def tick(self, now: float) -> None:
        """Affirms the own judgements that still hold and drops rows that were not affirmed in time."""
        for endpoint, own in list(self.own.items()):
            # "Works again" need not be kept up: it only ends a failure, and the next one is a new judgement.
            if own.failing is False and now - own.changed_at > self.lifetime_s:
                own.failing = None
            if own.limit is not None and now - own.limit_at > self.lifetime_s:
                own.limit = None
            if own.failing is None and own.limit is None:
                del self.own[endpoint]
                continue
            stored = self.rows.get((self.uid, endpoint))
            if stored is None or now - stored.affirmed_at >= self.lifetime_s / 3:
                row = Row(self.uid, self.name, endpoint, own.version, own.failing, own.limit, 0)
                if self._agreeing(now, row) <= self.sources:
                    self._affirm(now, endpoint)
        for key in [k for k, stored in self.rows.items() if now - stored.affirmed_at > self.lifetime_s]:
            del self.rows[key]
            self.unsent.pop(key, None)
            self._uids[key[1]].discard(key[0])
            if not self._uids[key[1]]:
                del self._uids[key[1]]

    # Other processes' judgements

    def merge(self, now: float, rows: Iterable[Row]) -> int:
        """Takes the rows that are newer than those stored; returns how many were."""
        taken = 0
        for row in rows:
            key, affirmed_at = (row.uid, row.endpoint), now - max(0, row.age_ms) / 1000
            if row.uid == self.uid or now - affirmed_at > self.lifetime_s:
                continue
            known = self.rows.get(key)
            if known is not None and row.version <= known.row.version:
                if row.version == known.row.version:
                    known.affirmed_at = max(known.affirmed_at, affirmed_at)
                continue
            if known is None and len(self.rows) >= self.max_rows:
                self.left_out += 1
                continue
            self.rows[key] = StoredRow(row, affirmed_at)
            self._uids.setdefault(row.endpoint, set()).add(row.uid)
            taken += 1
            if self._agreeing(now, row) <= self.sources:
                self.unsent[key] = 0
        return taken

    def unsent_rows(self, now: float, times: int) -> tuple[Row, ...]:
        """Returns the next rows to send, the least often sent first; each is returned `times` times."""
        chosen = sorted(self.unsent.items(), key=lambda item: item[1])[:MAX_ROWS_PER_MESSAGE]
        rows = []
        for key, sent in chosen:
            stored = self.rows.get(key)
            if stored is None or sent + 1 >= times:
                self.unsent.pop(key, None)
            else:
                self.unsent[key] = sent + 1
            if stored is not None:
                rows.append(with_age(stored, now))
        return tuple(rows)

    def some_rows(self, now: float, offset: int) -> tuple[Row, ...]:
        """Returns one message's worth of all rows, for members that missed updates (anti-entropy)."""
        keys = sorted(k for k, stored in self.rows.items() if now - stored.affirmed_at < self.lifetime_s / 2)
        start = offset * MAX_ROWS_PER_MESSAGE % max(1, len(keys))
        return tuple(with_age(self.rows[key], now) for key in keys[start : start + MAX_ROWS_PER_MESSAGE])

    # Verdicts

    def verdicts(self, now: float, endpoints: dict[str, int]) -> dict[str, Verdict]:
        """Returns the verdicts that count here, by endpoint; `endpoints` maps those listed to destinations.

        Sources are counted by name, so a wrong member that restarts does not count twice.
        """
        by_endpoint: dict[str, dict[str, StoredRow]] = {}
        for (uid, endpoint), stored in self.rows.items():
            if uid == self.uid or endpoint not in endpoints or stored.row.failing is None:
                continue
            known = by_endpoint.setdefault(endpoint, {}).get(stored.row.source)
            if known is None or stored.affirmed_at > known.affirmed_at:
                by_endpoint[endpoint][stored.row.source] = stored
        found: dict[str, Verdict] = {}
        for endpoint, by_source in by_endpoint.items():
            for failing in (True, False):
                ages = sorted(now - s.affirmed_at for s in by_source.values() if s.row.failing is failing)
                if len(ages) >= self.sources and len(ages) > len(by_source) / 2:
                    found[endpoint] = Verdict(endpoint, failing, len(ages), ages[self.sources - 1])
        return self._limit_failing(found, endpoints)

    def _limit_failing(self, found: dict[str, Verdict], endpoints: dict[str, int]) -> dict[str, Verdict]:
        """Drops verdicts of failure beyond the permitted share of each destination's endpoints."""
        by_destination: dict[int, list[str]] = {}
        for endpoint, destination in endpoints.items():
            by_destination.setdefault(destination, []).append(endpoint)
        for names in by_destination.values():
            failing = sorted(
                (v for name in names if (v := found.get(name)) is not None and v.failing),
                key=lambda v: (-v.sources, v.age, v.endpoint),
            )
            for verdict in failing[int(self.max_failing_share * len(names)) :]:
                del found[verdict.endpoint]
        return found

    def limits(self, endpoints: Iterable[str]) -> dict[str, float]:
        """Returns the limits that enough others were told: the lower median, in calls a second."""
        by_endpoint: dict[str, dict[str, tuple[float, float]]] = {}
        listed = set(endpoints)
        for (uid, endpoint), stored in self.rows.items():
            if uid == self.uid or endpoint not in listed or stored.row.limit is None:
                continue
            known = by_endpoint.setdefault(endpoint, {}).get(stored.row.source)
            if known is None or stored.affirmed_at > known[0]:
                by_endpoint[endpoint][stored.row.source] = stored.affirmed_at, stored.row.limit
        return {
            endpoint: median_low(limit for _, limit in by_source.values())
            for endpoint, by_source in by_endpoint.items()
            if len(by_source) >= self.sources
        }


def with_age(stored: StoredRow, now: float) -> Row:
    """Returns the row as it is sent, with its present age."""
    return msgspec.structs.replace(stored.row, age_ms=max(0, round((now - stored.affirmed_at) * 1000)))
