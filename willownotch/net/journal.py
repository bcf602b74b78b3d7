"""The journal in the folder that lasts: what is owed, what may have run, which notices are unanswered.

Records are appended by one write each round. The file is written anew, live records only, while old and new
still fit the disk side by side. A large message body stands in the body store (`willownotch.bodies`), and its
record says where.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from datetime import datetime
from pathlib import Path
from typing import Protocol

import msgspec

from willownotch.bodies.plan import Place
from willownotch.files.layer import REAL, Files
from willownotch.files.space import Space
from willownotch.journal.records import (
    AcceptedMessage,
    BodyMoved,
    Entry,
    MessageEnded,
    Record,
    RelayStarted,
    apply,
    bytes_to_reserve,
    frame,
    rebase_future_times,
    relay_record_bytes,
    replay,
)

NAME, NEW_NAME = "journal", "journal.new"
CUT_TRIES = 3  # to cut off what a failed write has left, before the file is written anew instead


class JournalFullError(RuntimeError):
    """The folder's limit does not allow this record."""


class JournalUnsureError(OSError):
    """Part of a write may be in the file: the next process may find these records all the same."""


class JournalGivenError(JournalFullError):
    """Another process writes the journal now."""


class BodyWatch(Protocol):
    """Who is told, under the journal's lock, which bodies are owed."""

    def body_recorded(self, message: AcceptedMessage) -> None:
        """A message is on record."""

    def body_released(self, message: AcceptedMessage) -> None:
        """It needs its body no more."""

    def body_relocated(self, message: AcceptedMessage, place: Place) -> None:
        """Its body stands elsewhere now."""


class NoBodies:
    """Nobody is told."""

    def body_recorded(self, message: AcceptedMessage) -> None:
        """Nothing."""

    def body_released(self, message: AcceptedMessage) -> None:
        """Nothing."""

    def body_relocated(self, message: AcceptedMessage, place: Place) -> None:
        """Nothing."""


class Journal:
    """The live entries, in order, and the file that holds them. Any thread may append."""

    def __init__(self, folder: Path, space: Space, files: Files = REAL) -> None:
        self.folder, self.path, self.space, self.files = folder, folder / NAME, space, files
        self.bodies: BodyWatch = NoBodies()
        self.counting: Callable[[list[tuple[str, str, str]]], None] | None = None  # tenant, class, what of it
        self.shipping: Callable[[list[tuple[str, Record]]], None] | None = None  # records of books, in order
        self.live: dict[str, Entry] = {}
        self.live_size = 0  # of the records, with all that may still follow
        self.size = 0  # of the file
        self.faults: list[str] = []  # what replay found wrong, in plain words
        self._lock = threading.Lock()
        self._given = False  # to another process: nothing is written here any more
        self._file = -1
        self._torn = False  # a failed write may have left something behind the last whole record

    def open(self, now: datetime | None = None) -> None:
        """Replay what is there, then write it anew: a torn tail never stays before new records.

        `OSError` where it cannot be read: what is owed is not known then, and nothing is written over it.
        Where it can be read and not be written, it is written as soon as that is possible.
        """
        self.files.make_folder(self.folder)
        try:
            data = self.files.read_whole(self.path)
        except FileNotFoundError:
            data = b""
            self.faults.append("no journal found: starting with nothing owed")
        self.live, damaged = replay(data)
        if now is not None:
            late = sum(rebase_future_times(entry, now) for entry in self.live.values())
            if late:
                self.faults.append(f"{late} messages have times after now, which were moved back to it")
        self.live_size = sum(entry.size() for entry in self.live.values())
        if damaged:
            self.faults.append(f"{damaged} bytes of the journal are torn or damaged and were passed over")
        self.size = len(data)
        del data
        self._begin()

    def adopt(self, live: dict[str, Entry]) -> None:
        """Go on with what another process had live. The file is written anew: what it left may be torn."""
        self.files.make_folder(self.folder)
        self.live = live
        self.live_size = sum(entry.size() for entry in self.live.values())
        self.size = self.live_size  # of the other one's file; it matters only until one is written here
        self._begin()

    def _begin(self) -> None:
        """A file of this process's own. Until the disk takes one, the old one stays as it is."""
        try:
            self._rewrite()
        except OSError as fault:
            self._torn = True  # the next write begins by writing it anew
            self.faults.append(f"the journal cannot be written yet, nothing new is accepted: {fault}")

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
        return entry.message.place if entry is not None else None

    def fits(self, wanted: Iterable[AcceptedMessage]) -> bool:
        """Whether these messages may be owed, too, without the folder ever outgrowing its limit."""
        return self.space.records_fit(self.live_size + sum(map(bytes_to_reserve, wanted)))

    def append(self, records: Iterable[Record], adopted: bool = False) -> None:
        """Write these records, in this order, by one write. What is adopted was counted and copied before."""
        records = list(records)
        self._write(records, b"".join(map(frame, records)), adopted)

    def entries(self, number: Callable[[], int]) -> tuple[int, list[Entry]]:
        """What is live at one moment, in order, and what `number` says at the same."""
        with self._lock:
            return number(), [
                msgspec.structs.replace(e, started=dict(e.started), failed=dict(e.failed))
                for e in self.live.values()
            ]

    def compact(self) -> None:
        """Write the file anew now: others need the room."""
        with self._lock:
            self._held()
            self._rewrite()

    def _held(self) -> None:
        if self._given:
            raise JournalGivenError("another process writes the journal now")

    def _write(self, records: list[Record], data: bytes, adopted: bool = False) -> None:
        counted: list[tuple[str, str, str]] = []
        shipped: list[tuple[str, Record]] = []
        with self._lock:
            self._held()
            # The file may only grow so far that a new one still fits beside it.
            most = self.space.max_journal_size(self.live_size)
            if isinstance(records[0], RelayStarted) and most < self.live_size + relay_record_bytes(
                records[0].ref
            ):
                raise JournalFullError("what is left is kept for the ends of messages")
            if self._torn or self.size + len(data) > most:
                self._rewrite()
                if self.size + len(data) > most:
                    raise JournalFullError(f"{self.size} bytes are live, {len(data)} more do not fit")
            self._append(data)
            for record in records:
                before = self.live.get(record.ref)
                old = before.message if before else None
                self.live_size += apply(self.live, record)
                after = self.live.get(record.ref)
                self._tell(record, old, after.message if after else None)
                of = record if isinstance(record, AcceptedMessage) else old
                if adopted or of is None:
                    continue
                if self.counting is not None and isinstance(record, AcceptedMessage | MessageEnded):
                    what = "taken" if isinstance(record, AcceptedMessage) else record.outcome
                    counted.append((of.tenant, of.message_class, what))
                if of.custody is not None and not isinstance(record, BodyMoved):
                    shipped.append((of.custody.book, record))
            if shipped and self.shipping is not None:
                self.shipping(shipped)
            self.space.set_journal_size(self.size, self.live_size)
        if counted:
            self.counting(counted)

    def _append(self, data: bytes) -> None:
        """One write. Of one that failed nothing stays: what follows it could not be told from damage, and
        what it was for is refused."""
        written = 0
        try:
            written = self.files.append(self._file, data)
            if written < len(data):
                raise OSError(f"only {written} of {len(data)} bytes were written")
            self.size += written
        except OSError as fault:
            if not self._cut_off():
                raise JournalUnsureError(f"{fault}, and what was written could not be cut off") from fault
            raise

    def _cut_off(self) -> bool:
        """Remove what a failed write has left; whether it is surely gone."""
        for _ in range(CUT_TRIES):
            try:
                self.files.truncate(self._file, self.size)
                return True
            except OSError:
                continue
        self._torn = True
        try:
            if self.files.size(self.path) <= self.size:
                return True
            self._rewrite()
        except OSError:
            return False
        return True

    def _tell(self, record: Record, old: AcceptedMessage | None, new: AcceptedMessage | None) -> None:
        """Tell the body store what became of a body."""
        if old is new:
            return
        if isinstance(record, BodyMoved) and old is not None and new is not None:
            self.bodies.body_relocated(old, record.place)
            return
        if old is not None:
            self.bodies.body_released(old)
        if isinstance(record, AcceptedMessage):
            self.bodies.body_recorded(record)

    def _rewrite(self) -> None:
        """Put the live records into a new file and let it take the old one's place in one step."""
        new = self.folder / NEW_NAME
        data = b"".join(frame(r) for entry in self.live.values() for r in entry.records())
        file = self.files.create(new)
        try:
            self.files.append_all(file, data)
            self.files.replace(new, self.path)
        except OSError:
            # It may have taken the old one's place all the same: nothing is appended until one surely has.
            self._torn = True
            self._close(file)
            try:
                self.files.remove(new)
            except OSError:
                pass  # the next one empties it
            raise
        old, self._file, self.size, self._torn = self._file, file, len(data), False
        self._close(old)
        self.space.set_journal_size(self.size, self.live_size)

    def _close(self, file: int) -> None:
        """Close a descriptor. An error leaves it closed, too, and says nothing of what was read back."""
        if file >= 0:
            try:
                self.files.close(file)
            except OSError:
                pass

    def close(self) -> None:
        """Close the file."""
        with self._lock:
            file, self._file = self._file, -1
            self._close(file)
