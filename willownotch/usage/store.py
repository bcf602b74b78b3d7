"""This instance's own counts and the settled counts, in the state folder.

    usage/log.N    rows of the present session, one record each time something was counted
    usage/base     everything before log N: former sessions of this name, the present one, the settled counts

A record is a length, a checksum (xxh3, 64 bits) and msgpack. A count is written to the log, in one write,
before its client is answered, as the journal's records are: a kill loses at most the messages whose clients
had no answer yet. When a log has grown too large, a compaction begins the next one, writes everything
before it to a new base beside the old one, and replaces the old one atomically.

A torn tail is tolerated, and damage is logged. Rows after a gap in a session's versions are left out,
because a version has to stand for the same rows here as at the other instances.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path
from queue import SimpleQueue
from struct import Struct

import msgspec
from xxhash import xxh3_64_intdigest

from willownotch.files.layer import Files
from willownotch.files.space import Space, round_to_blocks
from willownotch.usage.core import Session
from willownotch.usage.settled import SettledCounts, digest_of
from willownotch.usage.tally import Tally
from willownotch.usage.wire import CountKind, Row, tenant_key

RECORD_HEADER = Struct("<IQ")  # length, checksum
MAX_RECORD_BYTES = 1 << 20
MAX_LOG_BYTES = 256 * 1024  # a larger log is compacted
MAX_ITEMS_PER_RECORD = 200  # in a base


class SessionRecord(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A session begins or continues here."""

    id: int
    name: str
    closed: bool = False


class RowsRecord(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Rows of a session, in the order of their versions."""

    session: int
    rows: tuple[Row, ...]


class SettledRecord(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Some sessions and rows of the settled counts."""

    sessions: tuple[tuple[int, int], ...]
    rows: tuple[tuple[bytes, str, tuple[int, ...]], ...]


class BaseEndRecord(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The end of a base: without it, the base was cut off. It contains all logs below number `log`."""

    log: int


Record = SessionRecord | RowsRecord | SettledRecord | BaseEndRecord
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Record).decode


def encode_record(record: Record) -> bytes:
    """Returns a record as it is written to a file, with its header."""
    data = encode(record)
    return RECORD_HEADER.pack(len(data), xxh3_64_intdigest(data)) + data


def decode_records(data: bytes) -> tuple[list[Record], int]:
    """Returns a file's records up to the first unreadable one, and the number of bytes from there on."""
    found, at = [], 0
    while at + RECORD_HEADER.size <= len(data):
        size, checksum = RECORD_HEADER.unpack_from(data, at)
        body = data[at + RECORD_HEADER.size : at + RECORD_HEADER.size + size]
        if size > MAX_RECORD_BYTES or len(body) < size or xxh3_64_intdigest(body) != checksum:
            break
        try:
            found.append(decode(body))
        except msgspec.DecodeError:
            break
        at += RECORD_HEADER.size + size
    return found, len(data) - at


class CountStore:
    """Counts messages, writes the counts to the folder, and queues the changed rows in `pending_rows` for the
    replicated state. `count` may be called by any thread."""

    def __init__(self, folder: Path, files: Files, space: Space, say: Callable[[str], None]) -> None:
        self.folder, self.files, self.space, self.say = folder / "usage", files, space, say
        self.pending_rows: SimpleQueue[Row] = SimpleQueue()
        self.lock = threading.Lock()
        self.session = Session(0, "")
        self.tally = Tally(0)
        self.incomplete_reason = ""  # why the log lacks counts until the next compaction; "" if it is whole
        self._log_file: int | None = None
        self._log_number = 0
        self._log_bytes = 0
        self._base_bytes = 0

    # Reading

    def read(self) -> tuple[list[Session], SettledCounts]:
        """Returns the former sessions of this name and the settled counts. Damage is logged and left out."""
        sessions: dict[int, Session] = {}
        settled, first_log = SettledCounts(), 0
        try:
            names = self.files.names(self.folder)
        except FileNotFoundError:
            return [], settled
        logs = sorted(int(n[4:]) for n in names if n.startswith("log.") and n[4:].isdigit())
        self._log_number = logs[-1] if logs else 0
        if "base.new" in names:
            self.files.remove(self.folder / "base.new")
        if "base" in names:
            self._base_bytes = self.files.size(self.folder / "base")
            records = self._read_records("base")
            if records and isinstance(records[-1], BaseEndRecord):
                first_log = records[-1].log
            else:
                self.say("the base of the counts is cut off or damaged: what can be read of it counts")
            self._apply(records, sessions, settled, contiguous=False)
        for number in logs:
            if number >= first_log:
                self._apply(self._read_records(f"log.{number}"), sessions, settled, contiguous=True)
        settled.digest = digest_of(settled.sessions) if settled.sessions else 0
        self._log_number = max(self._log_number, first_log)
        return [session for session in sessions.values() if session.rows or session.closed], settled

    def _read_records(self, name: str) -> list[Record]:
        data = self.files.read_whole(self.folder / name)
        self.space.settle(0, round_to_blocks(len(data)))
        records, unreadable_bytes = decode_records(data)
        if unreadable_bytes:
            self.say(f"{name}: the last {unreadable_bytes} bytes cannot be read")
        return records

    def _apply(
        self,
        records: Iterable[Record],
        sessions: dict[int, Session],
        settled: SettledCounts,
        contiguous: bool,
    ) -> None:
        """Adds records to `sessions` and `settled`. `contiguous` is for logs, where a missing version means
        lost rows; a base holds only the last version of each row."""
        gaps = set()
        for record in records:
            if isinstance(record, SessionRecord):
                session = sessions.setdefault(record.id, Session(record.id, record.name))
                session.closed = record.closed
            elif isinstance(record, SettledRecord):
                settled.sessions.update(record.sessions)
                settled.rows.update({(tenant, cls): counts for tenant, cls, counts in record.rows})
            elif isinstance(record, RowsRecord) and record.session in sessions:
                session = sessions[record.session]
                for row in record.rows:
                    if row.version <= session.version or record.session in gaps:
                        continue
                    if contiguous and row.version != session.version + 1:
                        gaps.add(record.session)
                        self.say(
                            f"counts from version {session.version + 1} of a former session are missing: "
                            "what follows is left out"
                        )
                        continue
                    session.put(row)

    # Writing

    def begin(self, session: Session, tally: Tally) -> None:
        """Starts counting in a session. Raises `OSError` if the folder cannot be written."""
        self.files.make_folder(self.folder)
        self.session, self.tally = session, tally

    def count(self, now: float, counted: Iterable[tuple[str, str, CountKind]]) -> None:
        """Counts messages by tenant, class and kind, and appends them to the log in one write.

        If that fails, the error is logged and kept in `incomplete_reason`, and counting goes on in memory.
        """
        with self.lock:
            rows = tuple(
                self.tally.count(now, tenant_key(tenant), cls, kind) for tenant, cls, kind in counted
            )
            for row in rows:
                self.pending_rows.put(row)
            if self.incomplete_reason:
                return
            try:
                self._append(encode_record(RowsRecord(self.session.id, rows)))
            except OSError as fault:
                self._mark_incomplete(f"{fault}")

    def _append(self, data: bytes) -> None:
        added_bytes = round_to_blocks(self._log_bytes + len(data)) - round_to_blocks(self._log_bytes)
        if added_bytes and not self.space.claim(added_bytes):
            raise OSError("no room left for counts in the state folder")
        try:
            self.files.append_all(self._log_file, data)
            self._log_bytes += len(data)
        finally:
            if added_bytes:
                self.space.settle(added_bytes, added_bytes)

    def _mark_incomplete(self, reason: str) -> None:
        if not self.incomplete_reason:
            self.say(f"counts are in memory only: {reason}")
        self.incomplete_reason = reason

    def needs_compaction(self) -> bool:
        """Whether the log is incomplete or too large."""
        return bool(self.incomplete_reason) or self._log_bytes > MAX_LOG_BYTES

    def compact(self, sessions: Iterable[Session], settled: SettledCounts) -> bool:
        """Begins the next log, and writes everything before it to a new base. Returns False if that fails,
        after logging why.

        `sessions` are the former sessions of this name. Counting waits only while the log is changed.
        """
        base, new_base = self.folder / "base", self.folder / "base.new"
        old_number = self._log_number
        try:
            with self.lock:
                file = self.files.create(self.folder / f"log.{old_number + 1}")
                if self._log_file is not None:
                    self.files.close(self._log_file)
                self._log_file, self._log_number, self._log_bytes = file, old_number + 1, 0
                own_rows = sorted(self.tally.rows.values(), key=lambda row: row.version)
                present = SessionRecord(self.session.id, self.session.name, self.session.closed)
                self._append(encode_record(present))
                self.incomplete_reason = ""
            data = b"".join(
                encode_record(record)
                for record in [
                    *(record for session in sessions for record in _session_records(session)),
                    present,
                    *_rows_records(self.session.id, own_rows),
                    *_settled_records(settled),
                    BaseEndRecord(old_number + 1),
                ]
            )
            self._write_base(new_base, data)
            self.files.replace(new_base, base)
        except OSError as fault:
            with self.lock:
                self._mark_incomplete(f"{fault}")
            with suppress(OSError):
                self.files.remove(new_base)
            return False
        self.space.freed(round_to_blocks(self._base_bytes))
        self._base_bytes = len(data)
        for name in self.files.names(self.folder):
            if name.startswith("log.") and name[4:].isdigit() and int(name[4:]) <= old_number:
                size = self.files.size(self.folder / name)
                self.files.remove(self.folder / name)
                self.space.freed(round_to_blocks(size))
        return True

    def _write_base(self, path: Path, data: bytes) -> None:
        size = round_to_blocks(len(data))
        if not self.space.claim(size):
            raise OSError("no room left for counts in the state folder")
        written_bytes = 0
        try:
            file = self.files.create(path)
            try:
                self.files.append_all(file, data)
                written_bytes = size
            finally:
                self.files.close(file)
        finally:
            self.space.settle(size, written_bytes)

    def close(self) -> None:
        """Ends the session: nothing more is counted in it."""
        with self.lock:
            self.session.closed = True
            if self.incomplete_reason:
                return  # there may be no log file at all
            try:
                self._append(encode_record(SessionRecord(self.session.id, self.session.name, True)))
            except OSError as fault:
                self._mark_incomplete(f"{fault}")

    def renew(self, session: Session) -> None:
        """Continues in another session, with the rows that the replicated state gave it.

        The caller holds `lock`, and compacts afterwards.
        """
        self.session, self.tally = session, Tally(self.tally.max_rows, session.rows)
        self.incomplete_reason = "a new session has started"


def _rows_records(session: int, rows: list[Row]) -> Iterable[RowsRecord]:
    for at in range(0, len(rows), MAX_ITEMS_PER_RECORD):
        yield RowsRecord(session, tuple(rows[at : at + MAX_ITEMS_PER_RECORD]))


def _session_records(session: Session) -> Iterable[Record]:
    yield SessionRecord(session.id, session.name, session.closed)
    yield from _rows_records(session.id, list(session.rows.values()))


def _settled_records(settled: SettledCounts) -> Iterable[SettledRecord]:
    sessions, rows = (
        sorted(settled.sessions.items()),
        [(*key, counts) for key, counts in settled.rows.items()],
    )
    for at in range(0, max(len(sessions), len(rows)), MAX_ITEMS_PER_RECORD):
        yield SettledRecord(
            tuple(sessions[at : at + MAX_ITEMS_PER_RECORD]), tuple(rows[at : at + MAX_ITEMS_PER_RECORD])
        )
