"""A copy of a book on a replica: the same records in the same order leave the same entries.

No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta

import msgspec

from willownotch.journal.records import AcceptedMessage, Entry, RelayStarted, apply, frame, read_frames
from willownotch.replica.wire import START, Append, BookConfig, Fill, Position

RANGES = 64
PART = 48 * 1024  # bytes of entries in one frame
NO_TIME = timedelta(0)

Ordered = tuple[int, Entry]  # an entry, and its place in the book's order


def range_of(ref: str) -> int:
    """Which range of a book an id is in."""
    from xxhash import xxh64_intdigest

    return xxh64_intdigest(ref.encode()) % RANGES


def digests(entries: Iterable[Ordered]) -> tuple[int, ...]:
    """What each range holds, bodies but for their sizes left out: the holder may keep them elsewhere."""
    from xxhash import xxh64_intdigest

    found = [0] * RANGES
    for order, entry in entries:
        bare = msgspec.structs.replace(
            entry.message, body=b"", legacy_file=None, checksum=0, place=None, unkept=False
        )
        records = sorted(frame(r) for r in entry.records() if not isinstance(r, AcceptedMessage))
        data = b"".join([b"%d %d " % (order, entry.message.body_size()), frame(bare), *records])
        found[range_of(entry.message.ref)] ^= xxh64_intdigest(data)
    return tuple(found)


def pack(entry: Entry) -> bytes:
    """An entry's records as bytes."""
    return b"".join(map(frame, entry.records()))


def unpack(data: bytes) -> Entry | None:
    """An entry from its records; None if there is none."""
    live: dict[str, Entry] = {}
    for record in read_frames(data):
        if not isinstance(record, int):
            apply(live, record)
    return next(iter(live.values()), None)


def parts(entries: Iterable[tuple[int, bytes]]) -> Iterator[tuple[tuple[int, bytes], ...]]:
    """In pieces of a frame each; at least one, which may be empty."""
    part: list[tuple[int, bytes]] = []
    size = 0
    for order, data in entries:
        if part and size + len(data) > PART:
            yield tuple(part)
            part, size = [], 0
        part.append((order, data))
        size += len(data)
    yield tuple(part)


def shifted(entry: Entry, by: timedelta) -> Entry:
    """The same, in the times of another clock."""
    message = entry.message
    message = msgspec.structs.replace(
        message, ends_at=message.ends_at + by, at=message.at and message.at + by
    )
    opened = {n: RelayStarted(o.ref, o.number, o.at + by, o.host) for n, o in entry.started.items()}
    return Entry(message, entry.message_record_size, opened, entry.failed, entry.counted_relays, entry.ended)


@dataclass(slots=True)
class Filling:
    """Parts of a fill that have come."""

    position: Position
    told: Position
    ranges: int
    parts: int
    got: dict[int, tuple[tuple[int, bytes], ...]] = field(default_factory=dict)


@dataclass(slots=True)
class Copy:
    """What a replica holds of a book. `term` is the highest one known: nothing of a lower one is taken."""

    book: str
    config: BookConfig
    term: int
    position: Position = START
    sure: bool = True  # an owner has confirmed the position since this process began
    live: dict[str, Entry] = field(default_factory=dict)
    order: dict[str, int] = field(default_factory=dict)
    ahead: timedelta | None = None  # this clock ahead of the owner's, as little as was ever seen
    size: int = 0  # bytes of the entries, about
    filling: Filling | None = None
    heard_at: float = 0.0
    told: set[str] = field(default_factory=set)  # ends that were told for want of an owner

    def entries(self) -> list[Ordered]:
        """In the book's order."""
        return sorted(((self.order[ref], entry) for ref, entry in self.live.items()), key=lambda o: o[0])

    def met(self, now: datetime, owners: datetime) -> None:
        """A frame of the owner has come, which bears its present time."""
        seen = now - owners
        self.ahead = seen if self.ahead is None else min(self.ahead, seen)

    def matches(self, append: Append) -> int | None:
        """How many of these records are held already; None if they do not follow on what is held."""
        if self.position == append.previous:
            return 0
        last = append.previous[1] + len(append.frames)
        if self.position[0] == append.term and append.previous[1] < self.position[1] <= last:
            return self.position[1] - append.previous[1]  # in one term there is one log
        return None

    def take(self, append: Append, held: int) -> None:
        """Add those that are new."""
        fresh = append.frames[held:]
        if fresh:
            self.add(fresh, (append.term, self.position[1] + len(fresh)))
        self.sure = True

    def add(self, frames: Iterable[bytes], position: Position) -> None:
        """Records that bring the copy to a position."""
        for data in frames:
            self.position = (position[0], self.position[1] + 1)
            for record in read_frames(data):
                if not isinstance(record, int):
                    self._apply(record)
        self.position = position

    def _apply(self, record) -> None:
        self.size += apply(self.live, record)
        if isinstance(record, AcceptedMessage):
            self.order[record.ref] = self.position[1]
        elif record.ref not in self.live:
            self.order.pop(record.ref, None)

    def fill(self, fill: Fill) -> bool:
        """Take one part; whether that was the last one, and its position is held now."""
        if fill.told != self.position:
            return False
        filling = self.filling
        if filling is None or (filling.position, filling.ranges, filling.parts) != (
            fill.position,
            fill.ranges,
            fill.parts,
        ):
            filling = self.filling = Filling(fill.position, fill.told, fill.ranges, fill.parts)
        filling.got[fill.part] = fill.entries
        if len(filling.got) < filling.parts:
            return False
        for ref in [ref for ref in self.live if fill.ranges >> range_of(ref) & 1]:
            del self.live[ref], self.order[ref]
        self.put(entry for part in sorted(filling.got) for entry in filling.got[part])
        self.position, self.filling, self.sure = fill.position, None, True
        return True

    def put(self, entries: Iterable[tuple[int, bytes]]) -> None:
        """Entries with their places in the order."""
        for order, data in entries:
            entry = unpack(data)
            if entry is not None:
                self.live[entry.message.ref], self.order[entry.message.ref] = entry, order
        self.size = sum(entry.size() for entry in self.live.values())
