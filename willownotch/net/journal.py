"""The journal in the folder that lasts: what is owed, what may have run, which notices are unanswered.

Records are framed as magic, length, checksum, body and appended by one write each round. The file is written
anew, live records only, while old and new still fit the disk side by side. A large message body stands in a
file of its own, written before the record that names it: it goes at once when its message is over.
"""
from __future__ import annotations

import os
import threading
import zlib
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from struct import Struct

import msgspec

NAME, NEW_NAME, BODY_PREFIX = "journal", "journal.new", "body-"
FRAME = Struct("<4sII")
MAGIC = b"wnJ1"
BLOCK = 512  # bytes in which files are counted
MOST_RECORD = 1 << 20
AHEAD = 1  # attempts for which room is kept beyond those on record
INLINE = 2048  # bytes of the largest body that stands in the journal itself
SPARE_SHARE = 0.1  # of the disk, left free of live records: it keeps rewriting from being constant


class Taken(msgspec.Struct, tag="taken", frozen=True, array_like=True):
    """A message that is owed its end. Its place in the file is its place in its key's order."""

    ref: str
    destination: int
    message_class: str
    tenant: str
    ends_at: datetime
    key: str | None = None
    idempotency_key: str | None = None
    again: bool = False
    body: bytes = b""
    apart: str | None = None  # the file that holds the body
    checksum: int = 0  # of a body that stands apart


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


Record = Taken | Opened | Closed | Ended | Noticed | Counted


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

    def body_size(self) -> int:
        """What a file for the body takes on the disk."""
        return blocks(len(self.taken.body)) if self.taken.apart else 0

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


class JournalFullError(Exception):
    """The folder's limit does not allow this record."""


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Record).decode


def blocks(size: int) -> int:
    """A file's size as the limit counts it."""
    return -(-size // BLOCK) * BLOCK


def frame(record: Record) -> bytes:
    """A record as it stands in the file."""
    if isinstance(record, Taken) and record.apart:
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
    """Bytes to keep for a message not taken on yet; a large body stands apart and is not among them."""
    inline = taken if len(taken.body) <= INLINE else msgspec.structs.replace(taken, body=b"", apart=" " * 32)
    return Entry(taken, len(_encode(inline)) + FRAME.size).size()


def read_frames(data: bytes) -> Iterator[Record | int]:
    """The records of a file; a whole number stands for so many bytes that are none, passed over."""
    at, lost = 0, 0
    while at < len(data):
        record = None
        if data.startswith(MAGIC, at) and at + FRAME.size <= len(data):
            _, length, checksum = FRAME.unpack_from(data, at)
            body = data[at + FRAME.size:at + FRAME.size + length]
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
    elif isinstance(record, Ended) and record.owes_notice():
        # What ends by a notice keeps its place, for its key's sake, but needs its body no more.
        entry.ended, entry.taken = record, msgspec.structs.replace(entry.taken, body=b"", apart=None)
        entry.own_size = len(frame(entry.taken))
    else:
        del live[record.ref]
        return -before
    return entry.size() - before


class Journal:
    """The live entries, in order, and the file that holds them. Any thread may append."""

    def __init__(self, folder: Path, disk_bytes: int) -> None:
        self.folder, self.path = folder, folder / NAME
        self.room = disk_bytes // BLOCK * BLOCK - 2 * BLOCK
        self.live: dict[str, Entry] = {}
        self.live_size = 0  # of the records, with all that may still follow
        self.bodies_size = 0  # of the files with bodies
        self.size = 0  # of the file
        self.faults: list[str] = []  # what replay found wrong, in plain words
        self._lock = threading.Lock()
        self._file = -1
        self._made = 0  # body files of this process

    def open(self) -> None:
        """Replay what is there, then write it anew: a torn tail never stays before new records."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / NEW_NAME).unlink(missing_ok=True)
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            data = b""
            self.faults.append("no journal found: starting with nothing owed")
        except OSError as fault:
            data = b""
            self.faults.append(f"the journal cannot be read ({fault}): starting with nothing owed")
        self.live, damaged = replay(data)
        self.live_size = sum(entry.size() for entry in self.live.values())
        if damaged:
            self.faults.append(f"{damaged} bytes of the journal are torn or damaged and were passed over")
        self._read_bodies()
        self.size = len(data)
        self._rewrite()

    def fits(self, wanted: Iterable[Taken]) -> bool:
        """Whether these messages may be owed, too, without the folder ever outgrowing its limit."""
        records, bodies = self.live_size, self.bodies_size
        for taken in wanted:
            apart = len(taken.body) > INLINE
            records += reserve(taken)
            bodies += blocks(len(taken.body)) if apart else 0
        return 2 * records + bodies <= (1 - SPARE_SHARE) * self.room

    def append(self, records: Iterable[Record]) -> None:
        """Write these records, in this order, by one write."""
        records = [self._apart(r) if isinstance(r, Taken) else r for r in records]
        try:
            self._write(records, b"".join(map(frame, records)))
        except (OSError, JournalFullError):
            for record in records:
                if isinstance(record, Taken) and record.apart:
                    (self.folder / record.apart).unlink(missing_ok=True)
            raise

    def _write(self, records: list[Record], data: bytes) -> None:
        with self._lock:
            # The file may only grow so far that a new one still fits beside it.
            most = self.room - self.bodies_size - self.live_size
            if isinstance(records[0], Opened) and most < self.live_size + relay_room(records[0].ref):
                raise JournalFullError("what is left is kept for the ends of messages")
            if self.size + len(data) > most:
                self._rewrite()
                if self.size + len(data) > most:
                    raise JournalFullError(f"{self.size} bytes are live, {len(data)} more do not fit")
            written = os.write(self._file, data)
            self.size += written
            if written < len(data):
                raise OSError(f"only {written} of {len(data)} bytes were written")
            for record in records:
                before = self.live.get(record.ref)
                apart, size = (before.taken.apart, before.body_size()) if before else (None, 0)
                self.live_size += apply(self.live, record)
                after = self.live.get(record.ref)
                self.bodies_size += (after.body_size() if after else 0) - size
                if apart and (after is None or not after.taken.apart):
                    (self.folder / apart).unlink(missing_ok=True)

    def _apart(self, taken: Taken) -> Taken:
        """Write a large body to its own file, before any record names it; a file no record names is void."""
        if len(taken.body) <= INLINE:
            return taken
        self._made += 1
        name = f"{BODY_PREFIX}{os.getpid()}-{self._made}"
        file = os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            view = memoryview(taken.body)
            while view:
                view = view[os.write(file, view):]
        finally:
            os.close(file)
        return msgspec.structs.replace(taken, apart=name, checksum=zlib.crc32(taken.body))

    def _read_bodies(self) -> None:
        """Bodies back into their entries, and away with files that belong to none."""
        named = set()
        for entry in list(self.live.values()):
            taken = entry.taken
            if not taken.apart:
                continue
            named.add(taken.apart)
            try:
                body = (self.folder / taken.apart).read_bytes()
            except OSError:
                body = None
            if body is None or zlib.crc32(body) != taken.checksum:
                # Its end is still owed, but what to deliver is lost.
                self.faults.append(f"the body of {taken.ref} is missing or damaged: given up")
                self.live_size += apply(self.live, Ended(taken.ref, "given_up"))
                continue
            entry.taken = msgspec.structs.replace(taken, body=body)
            self.bodies_size += entry.body_size()
        for file in self.folder.glob(BODY_PREFIX + "*"):
            if file.name not in named:
                file.unlink(missing_ok=True)

    def _rewrite(self) -> None:
        """Put the live records into a new file and let it take the old one's place in one step."""
        new = self.folder / NEW_NAME
        data = b"".join(frame(r) for entry in self.live.values() for r in entry.records())
        file = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(file, view):]
            os.replace(new, self.path)
        except OSError:
            os.close(file)
            new.unlink(missing_ok=True)
            raise
        if self._file >= 0:
            os.close(self._file)
        self._file, self.size = file, len(data)

    def close(self) -> None:
        """Close the file."""
        with self._lock:
            if self._file >= 0:
                os.close(self._file)
            self._file = -1
