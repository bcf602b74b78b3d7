"""Settled counts: sessions that are over, folded into one sum so that they need no rows of their own.

Folding is local. An instance folds a session into its own settled counts once it knows that every member
holds that session at the same version. So every instance folds the same figures, and the sum depends only on
the set of folded sessions. Two settled counts are compared by these sets: the larger one replaces the smaller
one, which is also how a new instance gets it. The ids of folded sessions are kept, so that none is counted
twice.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from willownotch.usage.wire import ZERO_COUNTS, Counts, Key, Row, SettledChunk

SESSION_BYTES, ROW_OVERHEAD_BYTES = 20, 24  # of an item on the wire, without its variable part
encode = msgspec.msgpack.Encoder().encode


def add_counts(one: Counts, other: Counts) -> Counts:
    """Returns the sums, position by position."""
    return tuple(a + b for a, b in zip(one, other, strict=True))


@dataclass(slots=True)
class SettledCounts:
    """The folded sessions, each with its version when it was folded, and the sum of their rows."""

    sessions: dict[int, int] = field(default_factory=dict)
    rows: dict[Key, Counts] = field(default_factory=dict)
    digest: int = 0  # of the sessions; 0 for none

    def fold(self, session: int, version: int, rows: Iterable[Row]) -> None:
        """Adds a session's rows, unless it is folded already."""
        if session in self.sessions:
            return
        self.sessions[session] = version
        for row in rows:
            self.rows[row.key] = add_counts(self.rows.get(row.key, ZERO_COUNTS), row.counts)
        self.digest = digest_of(self.sessions)

    def covers(self, other: dict[int, int]) -> bool:
        """Whether all these sessions are folded here, at the same versions."""
        return all(self.sessions.get(session) == version for session, version in other.items())

    def item_count(self) -> int:
        """Returns the number of items that chunks carry: sessions first, then rows."""
        return len(self.sessions) + len(self.rows)

    def chunk(self, first_index: int, max_bytes: int) -> SettledChunk:
        """Returns the items from `first_index` on that fit into `max_bytes`. Their order is the same at all
        instances."""
        sessions, rows = sorted(self.sessions.items()), sorted(self.rows.items())
        chunk_sessions, chunk_rows, index = [], [], first_index
        while index < len(sessions) + len(rows) and max_bytes > 0:
            if index < len(sessions):
                chunk_sessions.append(sessions[index])
                max_bytes -= SESSION_BYTES
            else:
                (tenant, cls), counts = rows[index - len(sessions)]
                row = tenant, cls, counts
                max_bytes -= len(encode(row))
                if max_bytes < 0 and (chunk_rows or chunk_sessions):
                    break
                chunk_rows.append(row)
            index += 1
        return SettledChunk(
            self.digest, first_index, self.item_count(), tuple(chunk_sessions), tuple(chunk_rows)
        )


def digest_of(sessions: dict[int, int]) -> int:
    """Returns a number that identifies a set of folded sessions: the same at all instances, never 0."""
    from xxhash import xxh3_64_intdigest

    return xxh3_64_intdigest(encode(sorted(sessions.items()))) >> 1 or 1


@dataclass(slots=True)
class SettledDownload:
    """Settled counts of another instance, while their chunks arrive."""

    digest: int
    total_items: int
    last_chunk_at: float
    counts: SettledCounts = field(default_factory=SettledCounts)
    received_items: int = 0

    def add_chunk(self, now: float, chunk: SettledChunk) -> bool:
        """Adds a chunk if it is the next one; returns whether that completes the download."""
        if chunk.digest != self.digest or chunk.first_index != self.received_items or self.is_complete():
            return False
        self.last_chunk_at = now
        self.counts.sessions.update(chunk.sessions)
        self.counts.rows.update({(tenant, cls): counts for tenant, cls, counts in chunk.rows})
        self.received_items += len(chunk.sessions) + len(chunk.rows)
        self.counts.digest = self.digest
        return self.is_complete()

    def is_complete(self) -> bool:
        """Whether all items have arrived."""
        return self.received_items >= self.total_items
