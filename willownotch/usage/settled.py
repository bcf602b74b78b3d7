"""The settled part: counts of lives that are over, folded into one sum so that they cost no memory each.

A fold is local. An instance folds a life into its own settled part once it knows that every instance that is
there holds that life at the same version; so whoever folds it folds the same figures, and the sum depends on
the set of folded lives alone. Two settled parts are compared by that set: the larger one takes the smaller
one's place, which is how who comes new gets it. A folded life is remembered by its number, and never counted
again.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from willownotch.usage.wire import NOTHING, Chunk, Counts, Key, Row

LIFE_SIZE, ROW_SIZE = 20, 24  # bytes of an item on the wire, what varies not counted
encode = msgspec.msgpack.Encoder().encode


def add(one: Counts, other: Counts) -> Counts:
    """Sums, place by place."""
    return tuple(a + b for a, b in zip(one, other, strict=True))


@dataclass(slots=True)
class Settled:
    """The folded lives, each with the version it was folded at, and the sum of their rows."""

    sessions: dict[int, int] = field(default_factory=dict)
    rows: dict[Key, Counts] = field(default_factory=dict)
    digest: int = 0  # of the lives; 0 for none

    def fold(self, life: int, version: int, rows: Iterable[Row]) -> None:
        """Add a life, once."""
        if life in self.sessions:
            return
        self.sessions[life] = version
        for row in rows:
            self.rows[row.key] = add(self.rows.get(row.key, NOTHING), row.counts)
        self.digest = digest_of(self.sessions)

    def covers(self, other: dict[int, int]) -> bool:
        """Whether all these lives are folded here, at the same versions."""
        return all(self.sessions.get(life) == version for life, version in other.items())

    def items(self) -> int:
        """Pieces of it that travel: lives, then rows."""
        return len(self.sessions) + len(self.rows)

    def chunk(self, at: int, room: int) -> Chunk:
        """Its items from place `at` on, as many as fit `room` bytes. The order is the same everywhere."""
        sessions, rows = sorted(self.sessions.items()), sorted(self.rows.items())
        some_lives, some_rows, place = [], [], at
        while place < len(sessions) + len(rows) and room > 0:
            if place < len(sessions):
                some_lives.append(sessions[place])
                room -= LIFE_SIZE
            else:
                (tenant, cls), counts = rows[place - len(sessions)]
                row = tenant, cls, counts
                room -= len(encode(row))
                if room < 0 and (some_rows or some_lives):
                    break
                some_rows.append(row)
            place += 1
        return Chunk(self.digest, at, self.items(), tuple(some_lives), tuple(some_rows))


def digest_of(sessions: dict[int, int]) -> int:
    """A number for a set of folded lives: the same wherever the set is."""
    from xxhash import xxh3_64_intdigest

    return xxh3_64_intdigest(encode(sorted(sessions.items()))) >> 1 or 1


@dataclass(slots=True)
class Candidate:
    """Another's settled part, while it comes in."""

    digest: int
    total: int
    touched: float  # when a piece came last
    part: Settled = field(default_factory=Settled)
    have: int = 0

    def take(self, now: float, chunk: Chunk) -> bool:
        """Add a chunk if it is the next one; whether all is there and adds up."""
        if chunk.digest != self.digest or chunk.at != self.have or self.complete():
            return False
        self.touched = now
        self.part.sessions.update(chunk.sessions)
        self.part.rows.update({(tenant, cls): counts for tenant, cls, counts in chunk.rows})
        self.have += len(chunk.sessions) + len(chunk.rows)
        self.part.digest = self.digest
        return self.complete()

    def complete(self) -> bool:
        """Whether all items have come."""
        return self.have >= self.total
