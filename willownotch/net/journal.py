"""The journal: outstanding messages, calls that may have been executed, and unanswered notices.

It lives in the state folder and outlasts the process. The records of a round are appended by one write. The
file is compacted to its live records before it grows so far that old and new file would not fit the disk
together. A large message body stands in the body store (`willownotch.bodies`), and its record says where.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
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
    note_finished,
    rebase_future_times,
    relay_record_bytes,
    replay,
)

NAME, NEW_NAME = "journal", "journal.new"
MAX_FINISHED_IDS = 512  # remembered for the next process, newest
MAX_FINISHED_SHARE = 0.25  # of the space that is left beside the live records, for these ids
TRUNCATE_TRIES = 3  # to truncate what a failed write left, before the file is rewritten instead


class JournalFullError(RuntimeError):
    """The folder's limit does not allow this record."""


class JournalUncertainError(OSError):
    """A write failed, but part of it may be in the file, where the next process may find these records."""


class JournalHandedOverError(JournalFullError):
    """Another process has taken over and writes the journal now."""


class BodyListener(Protocol):
    """Notified, under the journal's lock, of which message bodies are still needed."""

    def body_recorded(self, message: AcceptedMessage) -> None:
        """A message was recorded."""

    def body_released(self, message: AcceptedMessage) -> None:
        """A message no longer needs its body."""

    def body_relocated(self, message: AcceptedMessage, place: Place) -> None:
        """The body of a message has moved to another place."""


class NullBodyListener:
    """A listener that ignores everything."""

    def body_recorded(self, message: AcceptedMessage) -> None:
        """Does nothing."""

    def body_released(self, message: AcceptedMessage) -> None:
        """Does nothing."""

    def body_relocated(self, message: AcceptedMessage, place: Place) -> None:
        """Does nothing."""


@dataclass(frozen=True, slots=True)
class Adoption:
    """The records by which messages of a book that another sender owned enter the journal: all, or none."""

    removed: tuple[str, ...] = ()  # ids of live entries that the others replace
    copied: tuple[Record, ...] = ()  # neither counted nor replicated, as they were when first written
    new: tuple[Record, ...] = ()  # counted and replicated, behind the copied ones
    begin: Callable[[], None] = lambda: None  # called between the write and the replication of the new ones
    survives_kill: bool = False  # a kill in the middle of the write, too, leaves all in the file or none

    def records(self) -> list[Record]:
        """Return all records in the order in which they are applied."""
        return [*(MessageEnded(ref, "withdrawn") for ref in self.removed), *self.copied, *self.new]


class Journal:
    """The live entries, in the order in which they were accepted, and their file. Thread-safe."""

    def __init__(self, folder: Path, space: Space, files: Files = REAL) -> None:
        self.folder, self.path, self.space, self.files = folder, folder / NAME, space, files
        self.bodies: BodyListener = NullBodyListener()
        # Called with (tenant, class, event) of each message accepted or ended, to count the usage.
        self.counting: Callable[[list[tuple[str, str, str]]], None] | None = None
        # Called with (book, record) in the order of the journal, to replicate the records.
        self.shipping: Callable[[list[tuple[str, Record]]], None] | None = None
        self.live: dict[str, Entry] = {}
        self.finished: dict[str, None] = {}  # ids of messages that ended for good, oldest first
        self.live_size = 0  # bytes of the live records and of all that may still follow them
        self.size = 0  # of the file, in bytes
        self.faults: list[str] = []  # problems found on opening, as text for the log
        self._lock = threading.Lock()
        self._handed_over = False  # another process has taken over: nothing is written here
        self._file = -1
        self._tail_uncertain = False  # a failed write may have left bytes after the last complete record

    def open(self, now: datetime | None = None) -> None:
        """Replay the file, then rewrite it, so that new records never follow a torn tail.

        Raises `OSError` if it cannot be read: what is outstanding is unknown then, and nothing is
        overwritten. If it can be read but not written, it is rewritten as soon as the disk allows.
        """
        self.files.make_folder(self.folder)
        try:
            data = self.files.read_whole(self.path)
        except FileNotFoundError:
            data = b""
            self.faults.append("no journal found: starting with no outstanding messages")
        self.live, damaged = replay(data, self.finished)
        self._trim_finished()
        if now is not None:
            shifted = sum(rebase_future_times(entry, now) for entry in self.live.values())
            if shifted:
                self.faults.append(f"{shifted} messages have times after now, which were set back to now")
        self.live_size = sum(entry.size() for entry in self.live.values())
        if damaged:
            self.faults.append(f"{damaged} bytes of the journal are torn or damaged and were skipped")
        self.size = len(data)
        del data
        self._rewrite_or_defer()

    def adopt(self, live: dict[str, Entry], finished: Iterable[str] = ()) -> None:
        """Continue with another process's live entries, and the ids that it knows to have ended for good.

        The file is rewritten, since it may be torn.
        """
        self.files.make_folder(self.folder)
        self.live, self.finished = live, dict.fromkeys(finished)
        self._trim_finished()
        self.live_size = sum(entry.size() for entry in self.live.values())
        self.size = self.live_size  # a stand-in for the old file's size until the rewrite
        self._rewrite_or_defer()

    def _rewrite_or_defer(self) -> None:
        """Rewrite the file. If the disk refuses, the old one stays untouched until a later write succeeds."""
        try:
            self._rewrite()
        except OSError as fault:
            self._tail_uncertain = True  # the next write starts with a rewrite
            self.faults.append(f"the journal cannot be written yet, nothing new is accepted: {fault}")

    def freeze(self) -> None:
        """Block all writers until `thaw` or `hand_over`."""
        self._lock.acquire()

    def thaw(self) -> None:
        """Unblock the writers; this process keeps the journal."""
        self._lock.release()

    def hand_over(self) -> None:
        """Leave the journal to another process: blocked and later writers get `JournalHandedOverError`."""
        self._handed_over = True
        self._lock.release()

    def place_of(self, ref: str) -> Place | None:
        """The place of a live message's body in the body store, if it has one."""
        entry = self.live.get(ref)
        return entry.message.place if entry is not None else None

    def fits(self, messages: Iterable[AcceptedMessage]) -> bool:
        """Whether these messages can be accepted, too, without the folder ever exceeding its limit."""
        return self.space.records_fit(self.live_size + sum(map(bytes_to_reserve, messages)))

    def append(self, records: Iterable[Record]) -> None:
        """Append these records, in this order, by one write."""
        records = list(records)
        data = b"".join(map(frame, records))
        with self._lock:
            self._append_whole(records, data)
            counted = self._apply_all(records)
        self._count(counted)

    def adopt_entries(self, adoption: Adoption) -> None:
        """Write messages that another sender owned. A refused write changes no live entry.

        The whole file is replaced where a kill in the middle of an append would do harm: old entries removed
        and new ones missing, or a message without the mark that it may have run.
        """
        records = adoption.records()
        with self._lock:
            if adoption.removed or adoption.survives_kill:
                self._replace_file(records)
            elif records:
                self._append_whole(records, b"".join(map(frame, records)))
            else:
                self._check_not_handed_over()
            copied = len(records) - len(adoption.new)
            self._apply_all(records[:copied], replicated=False)
            adoption.begin()
            counted = self._apply_all(records[copied:])
        self._count(counted)

    def entries(self, number: Callable[[], int]) -> tuple[int, list[Entry]]:
        """The result of `number` and copies of the live entries in order, as of the same moment."""
        with self._lock:
            return number(), [
                msgspec.structs.replace(e, started=dict(e.started), failed=dict(e.failed))
                for e in self.live.values()
            ]

    def compact(self) -> None:
        """Rewrite the file now, to free space that others need."""
        with self._lock:
            self._check_not_handed_over()
            self._rewrite()

    def _check_not_handed_over(self) -> None:
        """Raise if another process writes the journal now."""
        if self._handed_over:
            raise JournalHandedOverError("another process writes the journal now")

    def _append_whole(self, records: list[Record], data: bytes) -> None:
        """Append encoded records to the file. `JournalFullError` if they do not fit."""
        self._check_not_handed_over()
        # The file may only grow as long as a rewritten one still fits beside it.
        max_size = self.space.max_journal_size(self.live_size)
        if isinstance(records[0], RelayStarted) and max_size < self.live_size + relay_record_bytes(
            records[0].ref
        ):
            raise JournalFullError("the remaining space is reserved for final outcomes")
        if self._tail_uncertain or self.size + len(data) > max_size:
            self._rewrite()
            if self.size + len(data) > max_size:
                raise JournalFullError(f"{self.size} bytes are live, {len(data)} more do not fit")
        self._append(data)

    def _replace_file(self, records: list[Record]) -> None:
        """Replace the file by one that has these records applied. `JournalFullError` if it does not fit."""
        self._check_not_handed_over()
        live = dict(self.live)  # each of these records belongs to an entry that begins anew, or ends
        for record in records:
            apply(live, record)
        size = sum(len(frame(record)) for entry in live.values() for record in entry.records())
        if size > self.space.max_journal_size(self.size):
            self._rewrite()
        if size > self.space.max_journal_size(self.size):
            raise JournalFullError(f"{self.size} bytes are live, {size} beside them do not fit")
        self._rewrite(live)

    def _apply_all(self, records: list[Record], replicated: bool = True) -> list[tuple[str, str, str]]:
        """Apply written records to the live entries; return what is to be counted of them.

        Records that are not `replicated` are neither passed on for replication nor counted.
        """
        counted: list[tuple[str, str, str]] = []
        shipped: list[tuple[str, Record]] = []
        for record in records:
            before = self.live.get(record.ref)
            note_finished(self.finished, before, record)
            old = before.message if before else None
            self.live_size += apply(self.live, record)
            after = self.live.get(record.ref)
            self._notify_bodies(record, old, after.message if after else None)
            message = record if isinstance(record, AcceptedMessage) else old
            if not replicated or message is None:
                continue
            if self.counting is not None and isinstance(record, AcceptedMessage | MessageEnded):
                event = "taken" if isinstance(record, AcceptedMessage) else record.outcome
                counted.append((message.tenant, message.message_class, event))
            if message.custody is not None and not isinstance(record, BodyMoved):
                shipped.append((message.custody.book, record))
        if shipped and self.shipping is not None:
            self.shipping(shipped)
        self._trim_finished()
        self.space.set_journal_size(self.size, self.live_size)
        return counted

    def _count(self, counted: list[tuple[str, str, str]]) -> None:
        """Report accepted and ended messages to be counted. Called without the lock."""
        if counted:
            self.counting(counted)

    def _append(self, data: bytes) -> None:
        """Write once. Whatever a failed write left is removed: its records were refused, and records behind a
        torn one could not be told from damage."""
        written = 0
        try:
            written = self.files.append(self._file, data)
            if written < len(data):
                raise OSError(f"only {written} of {len(data)} bytes were written")
            self.size += written
        except OSError as fault:
            if not self._truncate_tail():
                raise JournalUncertainError(f"{fault}, and the partial write could not be removed") from fault
            raise

    def _truncate_tail(self) -> bool:
        """Remove what a failed write left in the file. Returns whether it is certainly gone."""
        for _ in range(TRUNCATE_TRIES):
            try:
                self.files.truncate(self._file, self.size)
                return True
            except OSError:
                continue
        self._tail_uncertain = True
        try:
            if self.files.size(self.path) <= self.size:
                return True
            self._rewrite()
        except OSError:
            return False
        return True

    def _notify_bodies(
        self, record: Record, old: AcceptedMessage | None, new: AcceptedMessage | None
    ) -> None:
        """Notify the body store of what a record means for a message's body."""
        if old is new:
            return
        if isinstance(record, BodyMoved) and old is not None and new is not None:
            self.bodies.body_relocated(old, record.place)
            return
        if old is not None:
            self.bodies.body_released(old)
        if isinstance(record, AcceptedMessage):
            self.bodies.body_recorded(record)

    def _rewrite(self, live: dict[str, Entry] | None = None) -> None:
        """Write the records of these entries, by default the live ones, into a new file that atomically
        replaces the old one."""
        new = self.folder / NEW_NAME
        live = self.live if live is None else live
        data = b"".join(frame(r) for entry in live.values() for r in entry.records())
        data = self._finished_frames(len(data)) + data
        file = self.files.create(new)
        try:
            self.files.append_all(file, data)
            self.files.replace(new, self.path)
        except OSError:
            # The replacement may have happened all the same: nothing is appended until one is certain.
            self._tail_uncertain = True
            self._close(file)
            try:
                self.files.remove(new)
            except OSError:
                pass  # the next rewrite truncates it
            raise
        old, self._file, self.size, self._tail_uncertain = self._file, file, len(data), False
        self._close(old)
        self.space.set_journal_size(self.size, self.live_size)

    def _trim_finished(self) -> None:
        while len(self.finished) > MAX_FINISHED_IDS:
            del self.finished[next(iter(self.finished))]

    def _finished_frames(self, live_bytes: int) -> bytes:
        """The records of the newest finished ids that fit beside the live ones, oldest first.

        A process that starts after a kill answers a repeated hand-in of these as it would have here.
        """
        left = MAX_FINISHED_SHARE * (self.space.max_journal_size(self.live_size) - live_bytes)
        frames: list[bytes] = []
        for ref in reversed(self.finished):
            data = frame(MessageEnded(ref, "delivered"))
            left -= len(data)
            if left < 0:
                break
            frames.append(data)
        return b"".join(reversed(frames))

    def _close(self, file: int) -> None:
        """Close a descriptor. Errors are ignored: it is closed all the same, and an error says nothing about
        data that has been read back."""
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
