"""Journal records and the state that they describe. Plain values; nothing here accesses a file.

A frame in the file is magic, length, checksum and body. `apply` updates the live entries by one record and is
deterministic: whoever applies the same records in the same order (a file read back, a copy on another sender)
has the same entries.
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
MAX_RECORD_BYTES = 1 << 20
RELAYS_RESERVED = 1  # relays for which space is reserved beyond those on record


class Custody(msgspec.Struct, frozen=True, array_like=True):
    """The book that a message is copied in, and the number of copies that each promise on it waits for."""

    book: str
    acks: int


class AcceptedMessage(msgspec.Struct, tag="taken", frozen=True, array_like=True):
    """A message was accepted and needs a final outcome. A key's order is that of these records."""

    ref: str
    destination: int
    message_class: str
    tenant: str
    ends_at: datetime
    key: str | None = None
    idempotency_key: str | None = None
    is_retry: bool = False
    body: bytes = b""
    legacy_file: str | None = None  # name of a file with the body alone, as an earlier version wrote it
    checksum: int = 0  # CRC-32 of the body in `legacy_file`
    place: Place | None = None  # of a body in the store
    unkept: bool = False  # the body is only in memory, for one relay
    at: datetime | None = None  # when the message was handed in
    rules: Rules | None = None  # in force when it was accepted; None in records of an earlier version
    custody: Custody | None = None  # None: only this journal has the message
    over_share: bool = False  # above its tenant's quota; earlier versions neither write nor read it

    def body_size(self) -> int:
        """Return the bytes of the body in the record or in the store; 0 if it is not stored."""
        return self.place.size if self.place is not None else len(self.body)


class RelayStarted(msgspec.Struct, tag="opened", frozen=True, array_like=True):
    """A relay is about to write its first byte: from here on the request may have run."""

    ref: str
    number: int
    at: datetime
    host: str


class RelayFailed(msgspec.Struct, tag="closed", frozen=True, array_like=True):
    """A relay ended without delivery."""

    ref: str
    number: int
    ran: bool


class MessageEnded(msgspec.Struct, tag="ended", frozen=True, array_like=True):
    """A message has its final outcome. Some outcomes require a notice, which has still to be answered."""

    ref: str
    outcome: str  # a notice's outcome, or "delivered" or "withdrawn"
    retry_in_ms: int | None = None

    def owes_notice(self) -> bool:
        """Return whether the platform has still to be notified."""
        return self.outcome in ("given_up", "handed_back")


class NoticeAnswered(msgspec.Struct, tag="noticed", frozen=True, array_like=True):
    """The platform answered a message's notice."""

    ref: str


class RelaysCounted(msgspec.Struct, tag="counted", frozen=True, array_like=True):
    """The number of relays so far. Those without records of their own never ran."""

    ref: str
    count: int


class BodyMoved(msgspec.Struct, tag="moved", frozen=True, array_like=True):
    """A message's body was copied to another place in the store."""

    ref: str
    place: Place


Record = (
    AcceptedMessage | RelayStarted | RelayFailed | MessageEnded | NoticeAnswered | RelaysCounted | BodyMoved
)


class Entry(msgspec.Struct):
    """What the journal's records say about one message."""

    message: AcceptedMessage
    message_record_size: int  # bytes of the message's first record
    started: dict[int, RelayStarted] = {}
    failed: dict[int, RelayFailed] = {}
    counted_relays: int = 0  # includes relays that never ran, of which no other record is kept
    ended: MessageEnded | None = None

    def size(self) -> int:
        """Return the bytes to reserve for the message's records, those that may follow included."""
        ref = self.message.ref
        return (
            self.message_record_size
            + end_record_bytes(ref)
            + (RELAYS_RESERVED + len(self.started)) * relay_record_bytes(ref)
        )

    def records(self) -> Iterator[Record]:
        """Yield the fewest records that give the same entry."""
        yield self.message
        yield from self.started.values()
        yield from self.failed.values()
        if self.counted_relays > max(self.started, default=-1) + 1:
            yield RelaysCounted(self.message.ref, self.counted_relays)
        if self.ended is not None:
            yield self.ended

    def count(self) -> int:
        """Return the number of relays so far, as far as records tell."""
        return max(self.counted_relays, max(self.started, default=-1) + 1)

    def may_have_run(self, number: int) -> bool:
        """Return whether a relay may have run; one that was in progress when the process ended may have."""
        failed = self.failed.get(number)
        return failed.ran if failed is not None else number in self.started


def rebase_future_times(entry: Entry, now: datetime) -> bool:
    """Move the times of a message that was handed in after `now` back to `now`; return whether it was.

    This happens when the wall clock was set back. The message keeps the time to live that it was given.
    """
    message = entry.message
    if message.at is None or message.at <= now:
        return False
    ahead = message.at - now
    entry.message = msgspec.structs.replace(message, at=now, ends_at=message.ends_at - ahead)
    for number, started in entry.started.items():
        entry.started[number] = msgspec.structs.replace(started, at=min(now, started.at))
    return True


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Record).decode


def frame(record: Record) -> bytes:
    """Encode a record as a frame of the file. A body that is stored elsewhere or not at all is left out."""
    if isinstance(record, AcceptedMessage) and (record.legacy_file or record.unkept):
        record = msgspec.structs.replace(record, body=b"")
    body = _encode(record)
    return FRAME.pack(MAGIC, len(body), zlib.crc32(body)) + body


def relay_record_bytes(ref: str) -> int:
    """Return the most bytes that one relay's records take: its start, with the host's name, and its end."""
    return 2 * len(ref) + 160


def end_record_bytes(ref: str) -> int:
    """Return the most bytes that a message's end takes, its notice's answer and the relay count included."""
    return 3 * (len(ref) + 48)


def bytes_to_reserve(message: AcceptedMessage) -> int:
    """Return the bytes to reserve for a message that is not accepted yet, without a body in the store."""
    return Entry(message, len(frame(message))).size()


def read_frames(data: bytes) -> Iterator[Record | int]:
    """Yield the records of a file. An int stands for that many damaged bytes, which are skipped."""
    at, lost = 0, 0
    while at < len(data):
        record = None
        if data.startswith(MAGIC, at) and at + FRAME.size <= len(data):
            _, length, checksum = FRAME.unpack_from(data, at)
            body = data[at + FRAME.size : at + FRAME.size + length]
            if length <= MAX_RECORD_BYTES and len(body) == length and zlib.crc32(body) == checksum:
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


def replay(data: bytes, finished: dict[str, None] | None = None) -> tuple[dict[str, Entry], int]:
    """Return the live entries that a file's bytes describe, in order, and the number of damaged bytes.

    Ids of messages that ended for good are added to `finished`, oldest first.
    """
    live: dict[str, Entry] = {}
    damaged = 0
    for item in read_frames(data):
        if isinstance(item, int):
            damaged += item
            continue
        if finished is not None:
            note_finished(finished, live.get(item.ref), item)
        apply(live, item)
    return live, damaged


def note_finished(finished: dict[str, None], entry: Entry | None, record: Record) -> None:
    """Update the ids that must not be accepted again by a record of the message that stands in `entry`.

    A message that was withdrawn or handed back may be handed in again.
    """
    if isinstance(record, AcceptedMessage):
        finished.pop(record.ref, None)
        return
    ended = entry.ended if entry is not None else None
    delivered = isinstance(record, MessageEnded) and record.outcome == "delivered"
    given_up = isinstance(record, NoticeAnswered) and ended is not None and ended.outcome == "given_up"
    if delivered or given_up:
        finished[record.ref] = None


def apply(live: dict[str, Entry], record: Record) -> int:
    """Update the live entries by one record; return the change in reserved bytes."""
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
        # Most relays that are retried were rejected. Keeping a record of each filled the disk.
        entry.started.pop(record.number, None)
        entry.counted_relays = max(entry.counted_relays, record.number + 1)
    elif isinstance(record, RelaysCounted):
        entry.counted_relays = max(entry.counted_relays, record.count)
    elif isinstance(record, BodyMoved):
        if entry.message.place is not None:  # otherwise it has ended, and only its notice is unanswered
            entry.message = msgspec.structs.replace(entry.message, place=record.place)
            entry.message_record_size = len(frame(entry.message))
    elif isinstance(record, MessageEnded) and record.owes_notice():
        # A message that ends with a notice keeps its position in the key's order, but not its body.
        entry.ended = record
        entry.message = msgspec.structs.replace(
            entry.message, body=b"", legacy_file=None, place=None, unkept=False
        )
        entry.message_record_size = len(frame(entry.message))
    else:
        del live[record.ref]
        return -before
    return entry.size() - before
