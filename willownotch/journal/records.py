"""The records of the journal, and what they say of each message. Plain values; nothing here touches a file.

A record is framed as magic, length, checksum, body. `apply` lets one change what is live, so that whoever
sees the same records in the same order holds the same: a file that is read back, or a copy elsewhere.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from datetime import datetime
from struct import Struct

import msgspec

from willownotch.bodies.plan import Place
from willownotch.net.rules import Rules

FRAME = Struct("<4sII")
MAGIC = b"wnJ1"
MOST_RECORD = 1 << 20
AHEAD = 1  # attempts for which room is kept beyond those on record


class Custody(msgspec.Struct, frozen=True, array_like=True):
    """The book that a message is copied in, and how many copies each promise on it waits for."""

    book: str
    acks: int


class Taken(msgspec.Struct, tag="taken", frozen=True, array_like=True):
    """A message that is owed its end. Its place in the file is its place in its key's order."""

    ref: str
    destination: int
    message_class: str
    tenant: str
    ends_at: datetime
    key: str | None = None
    idempotency_key: str | None = None
    is_retry: bool = False
    body: bytes = b""
    apart: str | None = None  # the file that holds the body, where an earlier version wrote it
    checksum: int = 0  # of a body that stands apart so
    place: Place | None = None  # of a body in the store
    unkept: bool = False  # its body is in memory for one relay, and nowhere else
    at: datetime | None = None  # when it was handed in
    rules: Rules | None = None  # that it was taken under; none in the records of an earlier version
    custody: Custody | None = None  # none: this journal alone has it

    def body_size(self) -> int:
        """Bytes of its body, in its record or in the store; 0 where it is not kept."""
        return self.place.size if self.place is not None else len(self.body)


class Opened(msgspec.Struct, tag="opened", frozen=True, array_like=True):
    """A relay is about to write its first byte: from now on it may have run."""

    ref: str
    number: int
    at: datetime
    host: str


class Closed(msgspec.Struct, tag="closed", frozen=True, array_like=True):
    """A relay has ended without delivery."""

    ref: str
    number: int
    ran: bool


class Ended(msgspec.Struct, tag="ended", frozen=True, array_like=True):
    """A message is over here. Unless nothing is owed any more, a notice has still to be answered."""

    ref: str
    outcome: str  # a notice's word, or "delivered" or "withdrawn"
    retry_in_ms: int | None = None

    def owes_notice(self) -> bool:
        """Whether the platform is still to be told."""
        return self.outcome in ("given_up", "handed_back")


class Noticed(msgspec.Struct, tag="noticed", frozen=True, array_like=True):
    """A message's notice was answered."""

    ref: str


class Counted(msgspec.Struct, tag="counted", frozen=True, array_like=True):
    """So many relays there were by then; those that no other record names never ran."""

    ref: str
    count: int


class Moved(msgspec.Struct, tag="moved", frozen=True, array_like=True):
    """A message's body stands elsewhere in the store from now on."""

    ref: str
    place: Place


Record = Taken | Opened | Closed | Ended | Noticed | Counted | Moved


class Entry(msgspec.Struct):
    """What the journal knows of one message."""

    taken: Taken
    own_size: int  # of the first record
    opened: dict[int, Opened] = {}
    closed: dict[int, Closed] = {}
    counted: int = 0  # relays, those that never ran among them: nothing else is kept of these
    ended: Ended | None = None

    def size(self) -> int:
        """Bytes to keep for its records, those that may follow among them."""
        ref = self.taken.ref
        return self.own_size + end_room(ref) + (AHEAD + len(self.opened)) * relay_room(ref)

    def records(self) -> Iterator[Record]:
        """The fewest records that say the same."""
        yield self.taken
        yield from self.opened.values()
        yield from self.closed.values()
        if self.counted > max(self.opened, default=-1) + 1:
            yield Counted(self.taken.ref, self.counted)
        if self.ended is not None:
            yield self.ended

    def count(self) -> int:
        """How many relays there were, as far as any left a trace."""
        return max(self.counted, max(self.opened, default=-1) + 1)

    def may_have_run(self, number: int) -> bool:
        """A relay that was open at the end of the process may have run."""
        closed = self.closed.get(number)
        return closed.ran if closed is not None else number in self.opened


def moved_back(entry: Entry, now: datetime) -> bool:
    """Whether a message was handed in after `now`, by a clock that has been set back since.

    Its times are moved back to it: it lives no longer than it was given.
    """
    taken = entry.taken
    if taken.at is None or taken.at <= now:
        return False
    late = taken.at - now
    entry.taken = msgspec.structs.replace(taken, at=now, ends_at=taken.ends_at - late)
    for number, opened in entry.opened.items():
        entry.opened[number] = msgspec.structs.replace(opened, at=min(now, opened.at))
    return True


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Record).decode


def frame(record: Record) -> bytes:
    """A record as it stands in the file."""
    if isinstance(record, Taken) and (record.apart or record.unkept):
        record = msgspec.structs.replace(record, body=b"")
    body = _encode(record)
    return FRAME.pack(MAGIC, len(body), zlib.crc32(body)) + body


def relay_room(ref: str) -> int:
    """Bytes that one relay may take: its beginning, with its host's name, and its end."""
    return 2 * len(ref) + 160


def end_room(ref: str) -> int:
    """Bytes that a message's end may take, the answer to its notice and the count of its relays included."""
    return 3 * (len(ref) + 48)


def reserve(taken: Taken) -> int:
    """Bytes to keep for a message not taken on yet; a body in the store is not among them."""
    return Entry(taken, len(frame(taken))).size()


def read_frames(data: bytes) -> Iterator[Record | int]:
    """The records of a file; a whole number stands for so many bytes that are none, passed over."""
    at, lost = 0, 0
    while at < len(data):
        record = None
        if data.startswith(MAGIC, at) and at + FRAME.size <= len(data):
            _, length, checksum = FRAME.unpack_from(data, at)
            body = data[at + FRAME.size : at + FRAME.size + length]
            if length <= MOST_RECORD and len(body) == length and zlib.crc32(body) == checksum:
                try:
                    record = _decode(body)
                except msgspec.DecodeError:
                    record = None
        if record is not None:
            if lost:
                yield lost
                lost = 0
            yield record
            at += FRAME.size + length
            continue
        found = data.find(MAGIC, at + 1)
        end = found if found >= 0 else len(data)
        lost, at = lost + end - at, end
    if lost:
        yield lost


def replay(data: bytes) -> tuple[dict[str, Entry], int]:
    """What a file's bytes leave live, in order, and how many of them are damaged."""
    live: dict[str, Entry] = {}
    damaged = 0
    for item in read_frames(data):
        if isinstance(item, int):
            damaged += item
        else:
            apply(live, item)
    return live, damaged


def apply(live: dict[str, Entry], record: Record) -> int:
    """Let one record change what is live; how many bytes of room that takes."""
    entry = live.get(record.ref)
    if isinstance(record, Taken):
        entry = live[record.ref] = Entry(record, len(frame(record)))
        return entry.size()
    if entry is None:
        return 0
    before = entry.size()
    if isinstance(record, Opened):
        entry.opened[record.number] = record
    elif isinstance(record, Closed) and record.ran:
        entry.closed[record.number] = record
    elif isinstance(record, Closed):
        # Most relays that are tried again were turned away: kept whole, they filled the disk.
        entry.opened.pop(record.number, None)
        entry.counted = max(entry.counted, record.number + 1)
    elif isinstance(record, Counted):
        entry.counted = max(entry.counted, record.count)
    elif isinstance(record, Moved):
        if entry.taken.place is not None:  # else it is over, and its notice is all that is owed
            entry.taken = msgspec.structs.replace(entry.taken, place=record.place)
            entry.own_size = len(frame(entry.taken))
    elif isinstance(record, Ended) and record.owes_notice():
        # What ends by a notice keeps its place, for its key's sake, but needs its body no more.
        entry.ended = record
        entry.taken = msgspec.structs.replace(entry.taken, body=b"", apart=None, place=None, unkept=False)
        entry.own_size = len(frame(entry.taken))
    else:
        del live[record.ref]
        return -before
    return entry.size() - before
