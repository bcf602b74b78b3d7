"""The journal in the folder that lasts: what is owed, what may have run, which notices are unanswered.

Records are framed as magic, length, checksum, body and appended by one write each round. The file is written
anew, live records only, while old and new still fit the disk side by side. A large message body stands in the
body store (`willownotch.bodies`), and its record says where.
"""
from __future__ import annotations

import threading
import zlib
from collections.abc import Callable, Iterable, Iterator
from datetime import datetime
from pathlib import Path
from struct import Struct
from typing import Protocol

import msgspec

from willownotch.bodies.plan import Place
from willownotch.files.layer import REAL, Files
from willownotch.files.space import Space
from willownotch.net.rules import Rules

NAME, NEW_NAME = "journal", "journal.new"
FRAME = Struct("<4sII")
MAGIC = b"wnJ1"
MOST_RECORD = 1 << 20
AHEAD = 1  # attempts for which room is kept beyond those on record


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
    apart: str | None = None  # the file that holds the body, where an earlier version wrote it
    checksum: int = 0  # of a body that stands apart so
    place: Place | None = None  # of a body in the store
    unkept: bool = False  # its body is in memory for one relay, and nowhere else
    at: datetime | None = None  # when it was handed in
    rules: Rules | None = None  # that it was taken under; none in the records of an earlier version

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


class JournalFullError(RuntimeError):
    """The folder's limit does not allow this record."""


class JournalGivenError(JournalFullError):
    """Another process writes the journal now."""


class BodyWatch(Protocol):
    """Who is told, under the journal's lock, which bodies are owed."""

    def entered(self, taken: Taken) -> None:
        """A message is on record."""

    def left(self, taken: Taken) -> None:
        """It needs its body no more."""

    def relocated(self, taken: Taken, place: Place) -> None:
        """Its body stands elsewhere now."""


class NoBodies:
    """Nobody is told."""

    def entered(self, taken: Taken) -> None:
        """Nothing."""

    def left(self, taken: Taken) -> None:
        """Nothing."""

    def relocated(self, taken: Taken, place: Place) -> None:
        """Nothing."""


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


class Journal:
    """The live entries, in order, and the file that holds them. Any thread may append."""

    def __init__(self, folder: Path, space: Space, files: Files = REAL) -> None:
        self.folder, self.path, self.space, self.files = folder, folder / NAME, space, files
        self.bodies: BodyWatch = NoBodies()
        self.counting: Callable[[list[tuple[str, str, str]]], None] | None = None  # tenant, class, what of it
        self.live: dict[str, Entry] = {}
        self.live_size = 0  # of the records, with all that may still follow
        self.size = 0  # of the file
        self.faults: list[str] = []  # what replay found wrong, in plain words
        self._lock = threading.Lock()
        self._given = False  # to another process: nothing is written here any more
        self._file = -1
        self._torn = False  # a failed write may have left something behind the last whole record

    def open(self) -> None:
        """Replay what is there, then write it anew: a torn tail never stays before new records."""
        self.files.make_folder(self.folder)
        self.files.remove(self.folder / NEW_NAME)
        try:
            data = self.files.read_whole(self.path)
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
        self.size = len(data)
        del data
        self._rewrite()

    def adopt(self, live: dict[str, Entry]) -> None:
        """Go on with what another process had live. The file is written anew: what it left may be torn."""
        self.files.make_folder(self.folder)
        self.files.remove(self.folder / NEW_NAME)
        self.live = live
        self.live_size = sum(entry.size() for entry in self.live.values())
        self._rewrite()

    def freeze(self) -> None:
        """Hold every writer up until `thaw` or `give`."""
        self._lock.acquire()

    def thaw(self) -> None:
        """Go on here."""
        self._lock.release()

    def give(self) -> None:
        """Write nothing here any more: whoever was held up is told so."""
        self._given = True
        self._lock.release()

    def place_of(self, ref: str) -> Place | None:
        """Where a live message's body stands in the store."""
        entry = self.live.get(ref)
        return entry.taken.place if entry is not None else None

    def fits(self, wanted: Iterable[Taken]) -> bool:
        """Whether these messages may be owed, too, without the folder ever outgrowing its limit."""
        return self.space.records_fit(self.live_size + sum(map(reserve, wanted)))

    def append(self, records: Iterable[Record]) -> None:
        """Write these records, in this order, by one write."""
        records = list(records)
        self._write(records, b"".join(map(frame, records)))

    def compact(self) -> None:
        """Write the file anew now: others need the room."""
        with self._lock:
            self._held()
            self._rewrite()

    def _held(self) -> None:
        if self._given:
            raise JournalGivenError("another process writes the journal now")

    def _write(self, records: list[Record], data: bytes) -> None:
        counted: list[tuple[str, str, str]] = []
        with self._lock:
            self._held()
            # The file may only grow so far that a new one still fits beside it.
            most = self.space.journal_most(self.live_size)
            if isinstance(records[0], Opened) and most < self.live_size + relay_room(records[0].ref):
                raise JournalFullError("what is left is kept for the ends of messages")
            if self._torn or self.size + len(data) > most:
                self._rewrite()
                if self.size + len(data) > most:
                    raise JournalFullError(f"{self.size} bytes are live, {len(data)} more do not fit")
            self._append(data)
            for record in records:
                before = self.live.get(record.ref)
                old = before.taken if before else None
                self.live_size += apply(self.live, record)
                after = self.live.get(record.ref)
                self._tell(record, old, after.taken if after else None)
                if self.counting is not None and isinstance(record, Taken | Ended):
                    what = "taken" if isinstance(record, Taken) else record.outcome
                    of = record if isinstance(record, Taken) else old
                    if of is not None:
                        counted.append((of.tenant, of.message_class, what))
            self.space.journal_is(self.size, self.live_size)
        if counted:
            self.counting(counted)

    def _append(self, data: bytes) -> None:
        """One write. Of one that failed nothing stays: what follows it could not be told from damage."""
        written = 0
        try:
            written = self.files.append(self._file, data)
            if written < len(data):
                raise OSError(f"only {written} of {len(data)} bytes were written")
            self.size += written
        except OSError:
            try:
                self.files.truncate(self._file, self.size)
            except OSError:
                self._torn = True
            raise

    def _tell(self, record: Record, old: Taken | None, new: Taken | None) -> None:
        """Tell the body store what became of a body."""
        if old is new:
            return
        if isinstance(record, Moved) and old is not None and new is not None:
            self.bodies.relocated(old, record.place)
            return
        if old is not None:
            self.bodies.left(old)
        if isinstance(record, Taken):
            self.bodies.entered(record)

    def _rewrite(self) -> None:
        """Put the live records into a new file and let it take the old one's place in one step."""
        new = self.folder / NEW_NAME
        data = b"".join(frame(r) for entry in self.live.values() for r in entry.records())
        file = self.files.create(new)
        try:
            self.files.append_all(file, data)
            self.files.replace(new, self.path)
        except OSError:
            self.files.close(file)
            try:
                self.files.remove(new)
            except OSError:
                pass  # the next one empties it
            raise
        if self._file >= 0:
            self.files.close(self._file)
        self._file, self.size, self._torn = file, len(data), False
        self.space.journal_is(self.size, self.live_size)

    def close(self) -> None:
        """Close the file."""
        with self._lock:
            if self._file >= 0:
                self.files.close(self._file)
            self._file = -1
