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


class AcceptedMessage(msgspec.Struct, tag="taken", frozen=True, array_like=True):
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
    legacy_file: str | None = None  # the file that holds the body, where an earlier version wrote it
    checksum: int = 0  # of a body that stands apart so
    place: Place | None = None  # of a body in the store
    unkept: bool = False  # its body is in memory for one relay, and nowhere else
    at: datetime | None = None  # when it was handed in
    rules: Rules | None = None  # that it was taken under; none in the records of an earlier version
    custody: Custody | None = None  # none: this journal alone has it

    def body_size(self) -> int:
        """Bytes of its body, in its record or in the store; 0 where it is not kept."""
        return self.place.size if self.place is not None else len(self.body)


class RelayStarted(msgspec.Struct, tag="opened", frozen=True, array_like=True):
    """A relay is about to write its first byte: from now on it may have run."""

    ref: str
    number: int
    at: datetime
    host: str


class RelayFailed(msgspec.Struct, tag="closed", frozen=True, array_like=True):
    """A relay has ended without delivery."""

    ref: str
    number: int
    ran: bool


class MessageEnded(msgspec.Struct, tag="ended", frozen=True, array_like=True):
    """A message is over here. Unless nothing is owed any more, a notice has still to be answered."""

    ref: str
    outcome: str  # a notice's word, or "delivered" or "withdrawn"
    retry_in_ms: int | None = None

    def owes_notice(self) -> bool:
        """Whether the platform is still to be told."""
        return self.outcome in ("given_up", "handed_back")


class NoticeAnswered(msgspec.Struct, tag="noticed", frozen=True, array_like=True):
    """A message's notice was answered."""

    ref: str


class RelaysCounted(msgspec.Struct, tag="counted", frozen=True, array_like=True):
    """So many relays there were by then; those that no other record names never ran."""

    ref: str
    count: int


class BodyMoved(msgspec.Struct, tag="moved", frozen=True, array_like=True):
    """A message's body stands elsewhere in the store from now on."""

    ref: str
    place: Place


Record = (
    AcceptedMessage | RelayStarted | RelayFailed | MessageEnded | NoticeAnswered | RelaysCounted | BodyMoved
)


class Entry(msgspec.Struct):
    """What the journal knows of one message."""

    message: AcceptedMessage
    message_record_size: int  # of the first record
    started: dict[int, RelayStarted] = {}
    failed: dict[int, RelayFailed] = {}
    counted_relays: int = 0  # relays, those that never ran among them: nothing else is kept of these
    ended: MessageEnded | None = None

    def size(self) -> int:
        """Bytes to keep for its records, those that may follow among them."""
        ref = self.message.ref
        return (
            self.message_record_size + end_room(ref) + (AHEAD + len(self.started)) * relay_record_bytes(ref)
        )

    def records(self) -> Iterator[Record]:
        """The fewest records that say the same."""
        yield self.message
        yield from self.started.values()
        yield from self.failed.values()
        if self.counted_relays > max(self.started, default=-1) + 1:
            yield RelaysCounted(self.message.ref, self.counted_relays)
        if self.ended is not None:
            yield self.ended

    def count(self) -> int:
        """How many relays there were, as far as any left a trace."""
        return max(self.counted_relays, max(self.started, default=-1) + 1)

    def may_have_run(self, number: int) -> bool:
        """A relay that was open at the end of the process may have run."""
        closed = self.failed.get(number)
        return closed.ran if closed is not None else number in self.started


def rebase_future_times(entry: Entry, now: datetime) -> bool:
    """Whether a message was handed in after `now`, by a clock that has been set back since.

    Its times are moved back to it: it lives no longer than it was given.
    """
    message = entry.message
    if message.at is None or message.at <= now:
        return False
    late = message.at - now
    entry.message = msgspec.structs.replace(message, at=now, ends_at=message.ends_at - late)
    for number, opened in entry.started.items():
        entry.started[number] = msgspec.structs.replace(opened, at=min(now, opened.at))
    return True


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Record).decode


def frame(record: Record) -> bytes:
    """A record as it stands in the file."""
    if isinstance(record, AcceptedMessage) and (record.legacy_file or record.unkept):
        record = msgspec.structs.replace(record, body=b"")
    body = _encode(record)
    return FRAME.pack(MAGIC, len(body), zlib.crc32(body)) + body


def relay_record_bytes(ref: str) -> int:
    """Bytes that one relay may take: its beginning, with its host's name, and its end."""
    return 2 * len(ref) + 160


def end_room(ref: str) -> int:
    """Bytes that a message's end may take, the answer to its notice and the count of its relays included."""
    return 3 * (len(ref) + 48)


def bytes_to_reserve(message: AcceptedMessage) -> int:
    """Bytes to keep for a message not taken on yet; a body in the store is not among them."""
    return Entry(message, len(frame(message))).size()


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
    if isinstance(record, AcceptedMessage):
        entry = live[record.ref] = Entry(record, len(frame(record)))
        return entry.size()
    if entry is None:
        return 0
    before = entry.size()
    if isinstance(record, RelayStarted):
        entry.started[record.number] = record
    elif isinstance(record, RelayFailed) and record.ran:
        entry.failed[record.number] = record
    elif isinstance(record, RelayFailed):
        # Most relays that are tried again were turned away: kept whole, they filled the disk.
        entry.started.pop(record.number, None)
        entry.counted_relays = max(entry.counted_relays, record.number + 1)
    elif isinstance(record, RelaysCounted):
        entry.counted_relays = max(entry.counted_relays, record.count)
    elif isinstance(record, BodyMoved):
        if entry.message.place is not None:  # else it is over, and its notice is all that is owed
            entry.message = msgspec.structs.replace(entry.message, place=record.place)
            entry.message_record_size = len(frame(entry.message))
    elif isinstance(record, MessageEnded) and record.owes_notice():
        # What ends by a notice keeps its place, for its key's sake, but needs its body no more.
        entry.ended = record
        entry.message = msgspec.structs.replace(
            entry.message, body=b"", legacy_file=None, place=None, unkept=False
        )
        entry.message_record_size = len(frame(entry.message))
    else:
        del live[record.ref]
        return -before
    return entry.size() - before
