"""What senders have found of endpoints, merged and forgotten by age. No I/O, no clock.

A row says what one process holds of one endpoint: that it fails or works again, or a limit that its answers
tell. Only that process writes it, under a version that grows; of two rows the higher version counts (a
last-writer-wins register for each source, joined over all: Shapiro and others, 2011). So merging is
idempotent, commutative and associative, whatever is lost, late or repeated. Rows travel as deltas, those
changed or affirmed lately.

Ages travel, times do not: a row comes with how long ago its source last affirmed it, and the way adds to that
only what it takes. A source affirms what it still holds; what nobody affirms is over after `span`.

Where enough say the same of an endpoint, nobody else affirms it or passes it on: what is sent grows with the
endpoints that there is something to say of, not with the members that have found it.

What others say counts here only once `sources` of them say so, and never for more than a share of a
destination's endpoints. So one that is wrong, or lies, changes nothing; many change no more than that share.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median_low

import msgspec

ROWS_MOST = 40  # in one message


class Row(msgspec.Struct, frozen=True, array_like=True):
    """What a process holds of an endpoint. `age_ms`: since it said so, as whoever passes this on has it."""

    life: int
    source: str  # its name
    endpoint: str
    version: int
    failing: bool | None  # None: nothing of the kind
    limit: float | None  # calls a second, as answers told it
    age_ms: int


@dataclass(slots=True)
class Held:
    """A row, and when its source affirmed it by this clock."""

    row: Row
    at: float


@dataclass(frozen=True, slots=True)
class Verdict:
    """What others together say of an endpoint, as far as it counts here."""

    endpoint: str
    failing: bool
    sources: int
    age: float  # of the oldest of them that is needed


@dataclass(slots=True)
class Own:
    """What this process holds itself."""

    version: int = 0
    failing: bool | None = None
    limit: float | None = None
    changed_at: float = 0.0
    limit_at: float = 0.0


@dataclass(slots=True)
class Judgements:
    """One sender's part: its own rows, those of others, and what they come to."""

    name: str
    life: int
    span: float
    sources: int
    most_share: float
    rows_most: int
    own: dict[str, Own] = field(default_factory=dict)
    held: dict[tuple[int, str], Held] = field(default_factory=dict)
    fresh: dict[tuple[int, str], int] = field(default_factory=dict)  # still to be passed on so often
    left_out: int = 0  # rows of others that found no room
    _lives: dict[str, set[int]] = field(default_factory=dict)  # of each endpoint, whose rows are held

    # Its own

    def told(self, now: float, endpoint: str, works: bool) -> None:
        """The decision module has found that an endpoint fails, or works again."""
        own = self.own.setdefault(endpoint, Own())
        own.failing, own.changed_at = not works, now
        self._affirm(now, endpoint)

    def limit(self, now: float, endpoint: str, limit: float) -> None:
        """An answer told a limit."""
        own = self.own.setdefault(endpoint, Own())
        moved = own.limit is None or abs(limit - own.limit) > 0.1 * own.limit
        own.limit, own.limit_at = limit, now
        if moved:
            self._affirm(now, endpoint)

    def _affirm(self, now: float, endpoint: str) -> None:
        own = self.own[endpoint]
        own.version += 1
        row = Row(self.life, self.name, endpoint, own.version, own.failing, own.limit, 0)
        self.held[self.life, endpoint] = Held(row, now)
        self._lives.setdefault(endpoint, set()).add(self.life)
        self.fresh[self.life, endpoint] = 0

    def _agree(self, now: float, row: Row) -> int:
        """How many others have said as much lately."""
        lately, count = self.span / 3, 0
        for life in self._lives.get(row.endpoint, ()):
            held = self.held[life, row.endpoint]
            same = held.row.failing == row.failing and (row.limit is None or held.row.limit is not None)
            count += life != row.life and same and now - held.at < lately
        return count

    def tick(self, now: float) -> None:
        """Affirm what is still held here, and forget what nobody has affirmed in time."""
        for endpoint, own in list(self.own.items()):
            # That something works again is news, and nothing that is held: the next failure tells for itself.
            if own.failing is False and now - own.changed_at > self.span:
                own.failing = None
            if own.limit is not None and now - own.limit_at > self.span:
                own.limit = None
            if own.failing is None and own.limit is None:
                del self.own[endpoint]
                continue
            held = self.held.get((self.life, endpoint))
            if held is None or now - held.at >= self.span / 3:
                row = Row(self.life, self.name, endpoint, own.version, own.failing, own.limit, 0)
                if self._agree(now, row) <= self.sources:
                    self._affirm(now, endpoint)
        for key in [key for key, held in self.held.items() if now - held.at > self.span]:
            del self.held[key]
            self.fresh.pop(key, None)
            self._lives[key[1]].discard(key[0])
            if not self._lives[key[1]]:
                del self._lives[key[1]]

    # Those of others

    def merge(self, now: float, rows: Iterable[Row]) -> int:
        """Take what is newer; how many rows were."""
        taken = 0
        for row in rows:
            key, at = (row.life, row.endpoint), now - max(0, row.age_ms) / 1000
            if row.life == self.life or now - at > self.span:
                continue
            known = self.held.get(key)
            if known is not None and row.version <= known.row.version:
                if row.version == known.row.version:
                    known.at = max(known.at, at)
                continue
            if known is None and len(self.held) >= self.rows_most:
                self.left_out += 1
                continue
            self.held[key] = Held(row, at)
            self._lives.setdefault(row.endpoint, set()).add(row.life)
            taken += 1
            if self._agree(now, row) <= self.sources:
                self.fresh[key] = 0
        return taken

    def news(self, now: float, times: int) -> tuple[Row, ...]:
        """Rows to pass on, each so many times, those told least often first."""
        chosen = sorted(self.fresh.items(), key=lambda item: item[1])[:ROWS_MOST]
        rows = []
        for key, told in chosen:
            held = self.held.get(key)
            if held is None or told + 1 >= times:
                self.fresh.pop(key, None)
            else:
                self.fresh[key] = told + 1
            if held is not None:
                rows.append(aged(held, now))
        return tuple(rows)

    def some(self, now: float, offset: int) -> tuple[Row, ...]:
        """A stretch of all rows, for whoever missed news: anti-entropy a message at a time."""
        keys = sorted(key for key, held in self.held.items() if now - held.at < self.span / 2)
        start = offset * ROWS_MOST % max(1, len(keys))
        return tuple(aged(self.held[key], now) for key in keys[start : start + ROWS_MOST])

    # What it comes to

    def verdicts(self, now: float, endpoints: dict[str, int]) -> dict[str, Verdict]:
        """What counts here of the endpoints that are listed, with their destinations.

        Sources are counted by name: a process that begins again is the same one that may be wrong.
        """
        said: dict[str, dict[str, Held]] = {}
        for (life, endpoint), held in self.held.items():
            if life == self.life or endpoint not in endpoints or held.row.failing is None:
                continue
            known = said.setdefault(endpoint, {}).get(held.row.source)
            if known is None or held.at > known.at:
                said[endpoint][held.row.source] = held
        found: dict[str, Verdict] = {}
        for endpoint, by_source in said.items():
            for failing in (True, False):
                ages = sorted(now - h.at for h in by_source.values() if h.row.failing is failing)
                if len(ages) >= self.sources and len(ages) > len(by_source) / 2:
                    found[endpoint] = Verdict(endpoint, failing, len(ages), ages[self.sources - 1])
        return self._bounded(found, endpoints)

    def _bounded(self, found: dict[str, Verdict], endpoints: dict[str, int]) -> dict[str, Verdict]:
        """No more than a share of a destination's endpoints is held for down on the word of others."""
        of: dict[int, list[str]] = {}
        for endpoint, destination in endpoints.items():
            of.setdefault(destination, []).append(endpoint)
        for names in of.values():
            down = sorted(
                (v for name in names if (v := found.get(name)) is not None and v.failing),
                key=lambda v: (-v.sources, v.age, v.endpoint),
            )
            for verdict in down[int(self.most_share * len(names)) :]:
                del found[verdict.endpoint]
        return found

    def limits(self, endpoints: Iterable[str]) -> dict[str, float]:
        """Limits that enough others were told, the middle of what they say."""
        said: dict[str, dict[str, tuple[float, float]]] = {}
        listed = set(endpoints)
        for (life, endpoint), held in self.held.items():
            if life == self.life or endpoint not in listed or held.row.limit is None:
                continue
            known = said.setdefault(endpoint, {}).get(held.row.source)
            if known is None or held.at > known[0]:
                said[endpoint][held.row.source] = held.at, held.row.limit
        return {
            endpoint: median_low(limit for _, limit in told.values())
            for endpoint, told in said.items()
            if len(told) >= self.sources
        }


def aged(held: Held, now: float) -> Row:
    """As it is passed on."""
    return msgspec.structs.replace(held.row, age_ms=max(0, round((now - held.at) * 1000)))
