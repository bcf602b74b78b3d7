"""The journal in the folder that lasts: what is owed, what may have run, which notices are unanswered.

Records are framed as magic, length, checksum, body and appended by one write each round. The file is written
anew, live records only, before it would outgrow its half of the disk: old and new stand side by side then.
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

NAME, NEW_NAME = "journal", "journal.new"
FRAME = Struct("<4sII")
MAGIC = b"wnJ1"
BLOCK = 512  # bytes in which files are counted
MOST_RECORD = 1 << 20
ALLOWANCE = 1536  # bytes kept for all the small records that a message can still cause
LIVE_SHARE = 0.9  # of the file's room that may be live: the rest keeps rewriting from being constant


class Taken(msgspec.Struct, tag="taken", frozen=True):
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


class Opened(msgspec.Struct, tag="opened", frozen=True):
    """A relay is about to write its first byte: from now on it may have run."""

    ref: str
    number: int
    at: datetime
    host: str


class Closed(msgspec.Struct, tag="closed", frozen=True):
    """A relay has ended without delivery."""

    ref: str
    number: int
    ran: bool


class Ended(msgspec.Struct, tag="ended", frozen=True):
    """A message is over here. Unless nothing is owed any more, a notice has still to be answered."""

    ref: str
    outcome: str  # a notice's word, or "delivered" or "withdrawn"
    retry_in_ms: int | None = None

    def owes_notice(self) -> bool:
        """Whether the platform is still to be told."""
        return self.outcome in ("given_up", "handed_back")


class Noticed(msgspec.Struct, tag="noticed", frozen=True):
    """A message's notice was answered."""

    ref: str


Record = Taken | Opened | Closed | Ended | Noticed


class Entry(msgspec.Struct):
    """What the journal knows of one message."""

    taken: Taken
    size: int
    opened: dict[int, Opened] = {}
    closed: dict[int, Closed] = {}
    ended: Ended | None = None

    def records(self) -> Iterator[Record]:
        """The fewest records that say the same."""
        yield self.taken
        yield from self.opened.values()
        yield from self.closed.values()
        if self.ended is not None:
            yield self.ended

    def count(self) -> int:
        """How many relays there were, as far as any left a trace."""
        return max([*self.opened, *self.closed], default=-1) + 1

    def may_have_run(self, number: int) -> bool:
        """A relay that was open at the end of the process may have run."""
        closed = self.closed.get(number)
        return closed.ran if closed is not None else number in self.opened


class JournalFullError(Exception):
    """The folder's limit does not allow this record."""


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Record).decode


def frame(record: Record) -> bytes:
    """A record as it stands in the file."""
    body = _encode(record)
    return FRAME.pack(MAGIC, len(body), zlib.crc32(body)) + body


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
    if isinstance(record, Taken):
        size = len(record.body) + ALLOWANCE
        live[record.ref] = Entry(record, size)
        return size
    entry = live.get(record.ref)
    if entry is None:
        return 0
    if isinstance(record, Opened):
        entry.opened[record.number] = record
    elif isinstance(record, Closed):
        entry.closed[record.number] = record
    elif isinstance(record, Ended) and record.owes_notice():
        # What ends by a notice keeps its place, for its key's sake, but needs its body no more.
        entry.ended, entry.taken = record, msgspec.structs.replace(entry.taken, body=b"")
        freed, entry.size = entry.size - ALLOWANCE, ALLOWANCE
        return -freed
    else:
        del live[record.ref]
        return -entry.size
    return 0


class Journal:
    """The live entries, in order, and the file that holds them. Any thread may append."""

    def __init__(self, folder: Path, disk_bytes: int) -> None:
        self.folder, self.path = folder, folder / NAME
        self.room = max(BLOCK, disk_bytes // 2 // BLOCK * BLOCK - BLOCK)
        self.live: dict[str, Entry] = {}
        self.live_size = 0
        self.size = 0  # of the file
        self.faults: list[str] = []  # what replay found wrong, in plain words
        self._lock = threading.Lock()
        self._file = -1

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
        self.live_size = sum(entry.size for entry in self.live.values())
        if damaged:
            self.faults.append(f"{damaged} bytes of the journal are torn or damaged and were passed over")
        self.size = len(data)
        self._rewrite()

    def fits(self, taken: Taken) -> bool:
        """Whether one more message may be owed without the folder ever outgrowing its limit."""
        wanted = len(taken.body) + ALLOWANCE
        return self.live_size + wanted <= LIVE_SHARE * self.room

    def append(self, records: Iterable[Record]) -> None:
        """Write these records, in this order, by one write."""
        records = list(records)
        data = b"".join(map(frame, records))
        with self._lock:
            if self.size + len(data) > self.room:
                self._rewrite()
                if self.size + len(data) > self.room:
                    raise JournalFullError(f"{self.size} bytes are live, {len(data)} more do not fit")
            written = os.write(self._file, data)
            self.size += written
            if written < len(data):
                raise OSError(f"only {written} of {len(data)} bytes were written")
            for record in records:
                self.live_size += apply(self.live, record)

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
