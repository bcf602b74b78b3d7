"""A replica's copy of a book: the same records applied in the same order leave the same entries.

Performs no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta

import msgspec

from willownotch.journal.records import (
    AcceptedMessage,
    Entry,
    MessageEnded,
    RelayStarted,
    apply,
    frame,
    read_frames,
)
from willownotch.replica.wire import FIRST_TERM, LOG_START, Append, BookConfig, Fill, Position

RANGE_COUNT = 64  # hash ranges of ids that a fill compares
MAX_PART_BYTES = 48 * 1024  # encoded entries in one frame
NO_TIME = timedelta(0)
ENDED_ID_BYTES = 64  # besides the id itself, of an ended id in memory

Ordered = tuple[int, Entry]  # an entry's place in the book's order, and the entry


def range_of(ref: str) -> int:
    """Returns the hash range that an id belongs to."""
    from xxhash import xxh64_intdigest

    return xxh64_intdigest(ref.encode()) % RANGE_COUNT


def range_digests(entries: Iterable[Ordered]) -> tuple[int, ...]:
    """Returns a digest of each range. Of a body only its size counts, since members may store bodies
    elsewhere."""
    from xxhash import xxh64_intdigest

    found = [0] * RANGE_COUNT
    for order, entry in entries:
        bare = msgspec.structs.replace(
            entry.message, body=b"", legacy_file=None, checksum=0, place=None, unkept=False
        )
        records = sorted(frame(r) for r in entry.records() if not isinstance(r, AcceptedMessage))
        data = b"".join([b"%d %d " % (order, entry.message.body_size()), frame(bare), *records])
        found[range_of(entry.message.ref)] ^= xxh64_intdigest(data)
    return tuple(found)


def pack(entry: Entry) -> bytes:
    """Encodes an entry's records."""
    return b"".join(map(frame, entry.records()))


def unpack(data: bytes) -> Entry | None:
    """Decodes an entry from its records; returns None if they hold none."""
    live: dict[str, Entry] = {}
    for record in read_frames(data):
        if not isinstance(record, int):
            apply(live, record)
    return next(iter(live.values()), None)


def pack_ended(refs: Iterable[str]) -> list[tuple[int, bytes]]:
    """Encodes ids that ended as entries without a message, which older members skip."""
    return [(0, frame(MessageEnded(ref, "withdrawn"))) for ref in sorted(refs)]


def unpack_ended(data: bytes) -> str | None:
    """Returns the id that `pack_ended` encoded, or None if this is a message's entry."""
    record = next(read_frames(data), None)
    return record.ref if isinstance(record, MessageEnded) else None


def split_parts(entries: Iterable[tuple[int, bytes]]) -> Iterator[tuple[tuple[int, bytes], ...]]:
    """Splits entries into parts that fit one frame each. Yields at least one part, which may be empty."""
    part: list[tuple[int, bytes]] = []
    size = 0
    for order, data in entries:
        if part and size + len(data) > MAX_PART_BYTES:
            yield tuple(part)
            part, size = [], 0
        part.append((order, data))
        size += len(data)
    yield tuple(part)


def shift_times(entry: Entry, by: timedelta) -> Entry:
    """Returns the entry with all its times moved by `by`, into another member's clock."""
    message = entry.message
    message = msgspec.structs.replace(
        message, ends_at=message.ends_at + by, at=message.at and message.at + by
    )
    opened = {n: RelayStarted(o.ref, o.number, o.at + by, o.host) for n, o in entry.started.items()}
    return Entry(message, entry.message_record_size, opened, entry.failed, entry.counted_relays, entry.ended)


@dataclass(slots=True)
class PartialFill:
    """Parts of a fill received so far."""

    position: Position
    reported_position: Position
    ranges: int
    parts: int
    received_parts: dict[int, tuple[tuple[int, bytes], ...]] = field(default_factory=dict)


@dataclass(slots=True)
class Copy:
    """What a replica holds of a book. `term` is the highest term known; frames of a lower one are refused."""

    book: str
    config: BookConfig
    term: int
    position: Position = LOG_START
    confirmed: bool = True  # an owner has confirmed the position since this process started
    live: dict[str, Entry] = field(default_factory=dict)
    order: dict[str, int] = field(default_factory=dict)
    clock_offset: timedelta | None = None  # this clock minus the owner's; smallest value seen
    size: int = 0  # approximate bytes of the entries
    partial_fill: PartialFill | None = None
    heard_at: float = 0.0
    reported_refs: set[str] = field(default_factory=set)  # ids reported as given up while there was no owner
    owner_term: int = 0  # term at which this member owned the book, if this is what its journal held then
    ended_refs: set[str] = field(default_factory=set)  # ids that ended since the first term

    def entries(self) -> list[Ordered]:
        """Returns the entries in the book's order."""
        return sorted(((self.order[ref], entry) for ref, entry in self.live.items()), key=lambda o: o[0])

    def packed(self, by: timedelta = NO_TIME) -> list[tuple[int, bytes]]:
        """Returns the encoded entries, their times moved by `by`, and behind them the ids that ended."""
        live = [(order, pack(shift_times(entry, by) if by else entry)) for order, entry in self.entries()]
        return live + pack_ended(self.ended_refs)

    def observe_clock(self, now: datetime, owner_time: datetime) -> None:
        """Updates the clock offset from the owner's time in a received frame; the minimum has the least
        delay."""
        offset = now - owner_time
        self.clock_offset = offset if self.clock_offset is None else min(self.clock_offset, offset)

    def count_held(self, append: Append) -> int | None:
        """Returns how many of the records are held already, or None if they do not follow the copy's
        position."""
        if self.position == append.previous:
            return 0
        last = append.previous[1] + len(append.frames)
        if self.position[0] == append.term and append.previous[1] < self.position[1] <= last:
            return self.position[1] - append.previous[1]  # a term has a single log
        return None

    def append(self, append: Append, held: int) -> None:
        """Applies the records behind the first `held`, and marks the copy as confirmed."""
        new_frames = append.frames[held:]
        if new_frames:
            self.add_frames(new_frames, (append.term, self.position[1] + len(new_frames)))
        self.confirmed, self.owner_term = True, 0

    def add_frames(self, frames: Iterable[bytes], position: Position) -> None:
        """Applies records that bring the copy to a position."""
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
            if self.position[0] > FIRST_TERM:
                self._add_ended(record.ref)

    def _add_ended(self, ref: str) -> None:
        if ref not in self.ended_refs:
            self.ended_refs.add(ref)
            self.size += len(ref) + ENDED_ID_BYTES

    def add_fill_part(self, fill: Fill) -> bool:
        """Adds one part of a fill. Returns True once all parts are in and the copy is at the fill's
        position."""
        if fill.reported_position != self.position:
            return False
        partial_fill = self.partial_fill
        if partial_fill is None or (partial_fill.position, partial_fill.ranges, partial_fill.parts) != (
            fill.position,
            fill.ranges,
            fill.parts,
        ):
            partial_fill = self.partial_fill = PartialFill(
                fill.position, fill.reported_position, fill.ranges, fill.parts
            )
        partial_fill.received_parts[fill.part] = fill.entries
        if len(partial_fill.received_parts) < partial_fill.parts:
            return False
        for ref in [ref for ref in self.live if fill.ranges >> range_of(ref) & 1]:
            del self.live[ref], self.order[ref]
        self.ended_refs.clear()
        self.put_entries(
            entry
            for part in sorted(partial_fill.received_parts)
            for entry in partial_fill.received_parts[part]
        )
        self.position, self.partial_fill, self.confirmed = fill.position, None, True
        self.owner_term = 0
        return True

    def put_entries(self, entries: Iterable[tuple[int, bytes]]) -> None:
        """Adds encoded entries at their places in the order, and ids that ended."""
        for order, data in entries:
            entry = unpack(data)
            if entry is not None:
                self.live[entry.message.ref], self.order[entry.message.ref] = entry, order
            elif (ref := unpack_ended(data)) is not None:
                self.ended_refs.add(ref)
        self.size = sum(entry.size() for entry in self.live.values())
        self.size += sum(len(ref) + ENDED_ID_BYTES for ref in self.ended_refs)
