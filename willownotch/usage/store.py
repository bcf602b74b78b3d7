"""This instance's own counts, and the settled part, in the folder that lasts.

    usage/log.N    the rows of the present life, one record for each time something was counted
    usage/base     all that stood before log N: former lives of this name, the present one, the settled part

A record is a length, a checksum (xxh3, 64 bits) and msgpack. A count is in the log before its client is
answered, by one write, as the journal's records are: a kill loses at most what the process was about to
count. When a log has grown, the next one is begun, all is written anew as a base beside the old one, and
takes its place in one step. A torn tail is tolerated, damage is said, and what follows a gap in a life's
versions is left out: versions have to stand for the same rows here as at the others.
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
from willownotch.usage.settled import Settled, digest_of
from willownotch.usage.tally import Tally
from willownotch.usage.wire import CountKind, Row, tenant_key

HEAD = Struct("<IQ")
FRAME_MOST = 1 << 20  # bytes
LOG_MOST = 256 * 1024  # bytes of a log, after which all is written anew
PIECE = 200  # rows in one record of a base


class LifeRecord(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A life begins here, or goes on."""

    id: int
    name: str
    closed: bool = False


class RowRecord(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Rows of a life, in the order of their versions."""

    life: int
    rows: tuple[Row, ...]


class SettledRecord(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A piece of the settled part."""

    sessions: tuple[tuple[int, int], ...]
    rows: tuple[tuple[bytes, str, tuple[int, ...]], ...]


class BaseRecord(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The base's end: without it, it was cut off. Logs below `log` are in it."""

    log: int


Record = LifeRecord | RowRecord | SettledRecord | BaseRecord
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Record).decode


def frame(record: Record) -> bytes:
    """A record as it stands in a file."""
    data = encode(record)
    return HEAD.pack(len(data), xxh3_64_intdigest(data)) + data


def frames(data: bytes) -> tuple[list[Record], int]:
    """The records of a file up to the first that cannot be read, and how many bytes follow from there."""
    found, at = [], 0
    while at + HEAD.size <= len(data):
        size, checksum = HEAD.unpack_from(data, at)
        body = data[at + HEAD.size : at + HEAD.size + size]
        if size > FRAME_MOST or len(body) < size or xxh3_64_intdigest(body) != checksum:
            break
        try:
            found.append(decode(body))
        except msgspec.DecodeError:
            break
        at += HEAD.size + size
    return found, len(data) - at


class CountStore:
    """Counts what it is told, writes it down, and puts the rows in a queue for the replicated state.

    Any thread may count.
    """

    def __init__(self, folder: Path, files: Files, space: Space, say: Callable[[str], None]) -> None:
        self.folder, self.files, self.space, self.say = folder / "usage", files, space, say
        self.rows: SimpleQueue[Row] = SimpleQueue()
        self.lock = threading.Lock()
        self.life = Session(0, "")
        self.tally = Tally(0)
        self.broken = ""  # why the log is not whole: all has to be written anew
        self._file: int | None = None
        self._number = 0
        self._size = 0
        self._base_size = 0

    # Reading

    def read(self) -> tuple[list[Session], Settled]:
        """Former lives of this name, and the settled part; what is damaged is said and left out."""
        sessions: dict[int, Session] = {}
        settled, first = Settled(), 0
        try:
            names = self.files.names(self.folder)
        except FileNotFoundError:
            return [], settled
        logs = sorted(int(n[4:]) for n in names if n.startswith("log.") and n[4:].isdigit())
        self._number = logs[-1] if logs else 0
        if "base.new" in names:
            self.files.remove(self.folder / "base.new")
        if "base" in names:
            self._base_size = self.files.size(self.folder / "base")
            records = self._records("base")
            if records and isinstance(records[-1], BaseRecord):
                first = records[-1].log
            else:
                self.say("the base of the counts is cut off or damaged: what can be read of it counts")
            self._apply(records, sessions, settled, contiguous=False)
        for number in logs:
            if number >= first:
                self._apply(self._records(f"log.{number}"), sessions, settled, contiguous=True)
        settled.digest = digest_of(settled.sessions) if settled.sessions else 0
        self._number = max(self._number, first)
        return [life for life in sessions.values() if life.rows or life.closed], settled

    def _records(self, name: str) -> list[Record]:
        data = self.files.read_whole(self.folder / name)
        self.space.settle(0, round_to_blocks(len(data)))
        records, rest = frames(data)
        if rest:
            self.say(f"{name}: the last {rest} bytes cannot be read")
        return records

    def _apply(
        self, records: Iterable[Record], sessions: dict[int, Session], settled: Settled, contiguous: bool
    ) -> None:
        gaps = set()
        for record in records:
            if isinstance(record, LifeRecord):
                life = sessions.setdefault(record.id, Session(record.id, record.name))
                life.closed = record.closed
            elif isinstance(record, SettledRecord):
                settled.sessions.update(record.sessions)
                settled.rows.update({(tenant, cls): counts for tenant, cls, counts in record.rows})
            elif isinstance(record, RowRecord) and record.life in sessions:
                life = sessions[record.life]
                for row in record.rows:
                    if row.version <= life.upto or record.life in gaps:
                        continue
                    if contiguous and row.version != life.upto + 1:
                        gaps.add(record.life)
                        self.say(
                            f"counts from version {life.upto + 1} of a former life are missing: "
                            "what follows is left out"
                        )
                        continue
                    life.put(row)

    # Writing

    def begin(self, life: Session, tally: Tally) -> None:
        """From now on count in this life; `OSError` if the folder cannot be written."""
        self.files.make_folder(self.folder)
        self.life, self.tally = life, tally

    def count(self, now: float, counted: Iterable[tuple[str, str, CountKind]]) -> None:
        """Count messages by tenant, class and sort, and write it down by one write. An error is said and
        kept: counts go on in memory."""
        with self.lock:
            rows = tuple(
                self.tally.count(now, tenant_key(tenant), cls, sort) for tenant, cls, sort in counted
            )
            for row in rows:
                self.rows.put(row)
            if self.broken:
                return
            try:
                self._append(frame(RowRecord(self.life.id, rows)))
            except OSError as fault:
                self._break(f"{fault}")

    def _append(self, data: bytes) -> None:
        grown = round_to_blocks(self._size + len(data)) - round_to_blocks(self._size)
        if grown and not self.space.claim(grown):
            raise OSError("the folder has no room for them")
        try:
            self.files.append_all(self._file, data)
            self._size += len(data)
        finally:
            if grown:
                self.space.settle(grown, grown)

    def _break(self, why: str) -> None:
        if not self.broken:
            self.say(f"counts are in memory only: {why}")
        self.broken = why

    def needs_compaction(self) -> bool:
        """Whether all should be written anew."""
        return bool(self.broken) or self._size > LOG_MOST

    def compact(self, sessions: Iterable[Session], settled: Settled) -> bool:
        """Begin the next log, and write a base of all before it; False, and said, if that fails.

        `lives` are the former lives of this name. Counting waits only while the log is changed.
        """
        base, new = self.folder / "base", self.folder / "base.new"
        old_number = self._number
        try:
            with self.lock:
                file = self.files.create(self.folder / f"log.{old_number + 1}")
                if self._file is not None:
                    self.files.close(self._file)
                self._file, self._number, self._size = file, old_number + 1, 0
                own = sorted(self.tally.rows.values(), key=lambda row: row.version)
                present = LifeRecord(self.life.id, self.life.name, self.life.closed)
                self._append(frame(present))
                self.broken = ""
            data = b"".join(
                frame(r)
                for r in [
                    *(r for life in sessions for r in _records_of(life)),
                    present,
                    *_pieces(self.life.id, own),
                    *_settled(settled),
                    BaseRecord(old_number + 1),
                ]
            )
            self._write_base(new, data)
            self.files.replace(new, base)
        except OSError as fault:
            with self.lock:
                self._break(f"{fault}")
            with suppress(OSError):
                self.files.remove(new)
            return False
        self.space.freed(round_to_blocks(self._base_size))
        self._base_size = len(data)
        for name in self.files.names(self.folder):
            if name.startswith("log.") and name[4:].isdigit() and int(name[4:]) <= old_number:
                size = self.files.size(self.folder / name)
                self.files.remove(self.folder / name)
                self.space.freed(round_to_blocks(size))
        return True

    def _write_base(self, path: Path, data: bytes) -> None:
        size = round_to_blocks(len(data))
        if not self.space.claim(size):
            raise OSError("the folder has no room for them")
        grown = 0
        try:
            file = self.files.create(path)
            try:
                self.files.append_all(file, data)
                grown = size
            finally:
                self.files.close(file)
        finally:
            self.space.settle(size, grown)

    def close(self) -> None:
        """This life counts nothing more."""
        with self.lock:
            self.life.closed = True
            if self.broken:
                return  # there may be no log at all
            try:
                self._append(frame(LifeRecord(self.life.id, self.life.name, True)))
            except OSError as fault:
                self._break(f"{fault}")

    def renew(self, life: Session) -> None:
        """Go on in another life, whose rows are the replicated state's. Hold `lock`; write anew
        afterwards."""
        self.life, self.tally = life, Tally(self.tally.max_rows, life.rows)
        self.broken = "a new life has begun"


def _pieces(life: int, rows: list[Row]) -> Iterable[RowRecord]:
    for at in range(0, len(rows), PIECE):
        yield RowRecord(life, tuple(rows[at : at + PIECE]))


def _records_of(life: Session) -> Iterable[Record]:
    yield LifeRecord(life.id, life.name, life.closed)
    yield from _pieces(life.id, list(life.rows.values()))


def _settled(settled: Settled) -> Iterable[SettledRecord]:
    sessions, rows = (
        sorted(settled.sessions.items()),
        [(*key, counts) for key, counts in settled.rows.items()],
    )
    for at in range(0, max(len(sessions), len(rows)), PIECE):
        yield SettledRecord(tuple(sessions[at : at + PIECE]), tuple(rows[at : at + PIECE]))
