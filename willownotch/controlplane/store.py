"""The folder of a member or a follower: a log of records with atomic appends.

A frame has a magic number, a length, a checksum and a body, like the frames of the journal. Its body contains
all payloads of one append, so that a torn write leaves none of them. The first frame has the version of the
format and the owner of the folder. An append is synced before it returns, so that a voter's promise survives
a loss of power.

An unreadable frame without another frame after it is the torn tail of an append that was not acknowledged; it
is truncated. Anywhere else it is damage: the voter's promises are no longer known, so nothing is read.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from willownotch.files.layer import Files
from willownotch.handover.lock import FolderLock
from willownotch.journal.records import FRAME

NAME, NEW_NAME = "records", "records.new"
MAGIC = b"wnP1"
FORMAT = 1
REWRITE_SLACK_BYTES = 256 * 1024  # by which obsolete records must exceed the live ones before a rewrite
START_OVER_HINT = "wanted: the file as it was, or an empty folder, with which its owner starts over"
REWRITE_FRAME_BYTES = 1 << 20  # approximate bytes of a frame in a rewritten file

_encode = msgspec.msgpack.Encoder().encode


class StoreError(Exception):
    """A folder cannot be used; the text has its path and how to fix it."""


class BusyError(StoreError):
    """Another process has the folder open."""


class Header(msgspec.Struct, frozen=True, array_like=True):
    """The body of the first frame."""

    format: int
    owner: str = ""


_header = msgspec.msgpack.Decoder(Header).decode
_payloads = msgspec.msgpack.Decoder(list[bytes]).decode


def frame(body: bytes) -> bytes:
    """The frame of a body."""
    return FRAME.pack(MAGIC, len(body), zlib.crc32(body)) + body


def body_at(data: bytes, at: int) -> bytes | None:
    """The body of the frame at an offset, or None if there is no complete frame."""
    if not data.startswith(MAGIC, at) or at + FRAME.size > len(data):
        return None
    _, length, checksum = FRAME.unpack_from(data, at)
    body = data[at + FRAME.size : at + FRAME.size + length]
    return body if len(body) == length and zlib.crc32(body) == checksum else None


def bodies(data: bytes) -> tuple[list[bytes], int]:
    """The bodies of all complete frames from the start of the data, and the offset behind the last one."""
    complete, at = [], 0
    while (body := body_at(data, at)) is not None:
        complete.append(body)
        at += FRAME.size + len(body)
    return complete, at


def has_frame_after(data: bytes, at: int) -> bool:
    """Whether there is a complete frame anywhere after an offset."""
    while (at := data.find(MAGIC, at + 1)) >= 0:
        if body_at(data, at) is not None:
            return True
    return False


class Store:
    """The records in one owner's folder, for one thread and one process at a time."""

    def __init__(self, folder: Path, files: Files, owner: str) -> None:
        self.folder, self.files, self.owner = folder, files, owner
        self.path = folder / NAME
        self.size = 0  # of the file, in bytes
        self.torn_bytes = 0  # size of the torn tail that `load` truncated
        self._file = -1
        self._lock: FolderLock | None = None
        self._tail_torn = False  # the file may have the rest of a failed write behind `size`
        self._name_synced = True  # the folder was synced after the file got its name

    def load(self) -> list[bytes]:
        """Open the folder, which is created if it does not exist; returns its payloads in order.

        Raises `StoreError` if another process has it open, it belongs to another owner or a newer version, or
        it is damaged before its tail; `OSError` if it cannot be read or written.
        """
        self.files.make_folder(self.folder)
        if self._lock is None:
            self._lock = FolderLock(self.folder)
        if not self._lock.take():
            raise BusyError(f"{self.folder}: another process has this folder, wanted: one of its own")
        try:
            return self._read()
        except (OSError, StoreError):
            self.close()
            raise

    def _read(self) -> list[bytes]:
        self.files.remove(self.folder / NEW_NAME)
        try:
            data = self.files.read_whole(self.path)
        except FileNotFoundError:
            self.rewrite([])
            return []
        payloads, end = self._parse(data)
        self._file = self.files.open_to_append(self.path)
        self.size, self.torn_bytes = end, len(data) - end
        if self.torn_bytes:
            self.files.truncate(self._file, end)
            self.files.sync(self._file)
        return payloads

    def peek(self) -> list[bytes]:
        """Read the current payloads without opening the folder, which another process may have open.

        Raises `StoreError` and `OSError` like `load`, except for another process.
        """
        try:
            return self._parse(self.files.read_whole(self.path))[0]
        except FileNotFoundError:
            return []

    def _parse(self, data: bytes) -> tuple[list[bytes], int]:
        """The payloads in the data of a file, and the offset behind the last frame."""
        frame_bodies, end = bodies(data)
        self._check_header(frame_bodies)
        if end < len(data) and has_frame_after(data, end):
            raise StoreError(
                f"{self.path}: damaged at byte {end}, with further frames after it; {START_OVER_HINT}"
            )
        payloads: list[bytes] = []
        try:
            for body in frame_bodies[1:]:
                payloads += _payloads(body)
        except msgspec.DecodeError:
            raise StoreError(f"{self.path}: has frames of another kind; {START_OVER_HINT}") from None
        return payloads, end

    def _check_header(self, frame_bodies: list[bytes]) -> None:
        try:
            head = _header(frame_bodies[0])
        except (IndexError, msgspec.DecodeError):
            raise StoreError(f"{self.path}: damaged at byte 0; {START_OVER_HINT}") from None
        if head.format > FORMAT:
            raise StoreError(
                f"{self.path}: is of format {head.format}, this version reads up to {FORMAT}; "
                "wanted: the newer version of the program"
            )
        if head.owner != self.owner:
            raise StoreError(
                f"{self.path}: belongs to {head.owner!r}, not to {self.owner!r}; "
                "wanted: a folder of its own for each"
            )

    def append(self, payloads: list[bytes]) -> None:
        """Append payloads, all or none; they survive a loss of power once this returns.

        Raises `OSError` if they could not be stored. None of them are kept then, except that the next process
        may find them complete if the file cannot be truncated before this process ends.
        """
        if not payloads:
            return
        self._repair()
        data = frame(_encode(payloads))
        try:
            self.files.append_all(self._file, data)
            self.files.sync(self._file)
        except OSError:
            self._tail_torn = True
            try:
                self._repair()
            except OSError:
                pass  # the next append tries it again first
            raise
        self.size += len(data)

    def _repair(self) -> None:
        """Truncate and sync what an earlier failure left; raises `OSError` if it fails again."""
        if self._tail_torn:
            self.files.truncate(self._file, self.size)
            self._tail_torn = False
        if not self._name_synced:
            self._sync_folder()

    def _sync_folder(self) -> None:
        folder = self.files.open_to_read(self.folder)
        try:
            self.files.sync(folder)
        finally:
            self.files.close(folder)
        self._name_synced = True

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Replace the file atomically by a new one with these payloads.

        Raises `OSError` if that failed; the old file stays in use then. If only the sync of the folder
        failed, the new file is in use, and the next append syncs the folder first.
        """
        new = self.folder / NEW_NAME
        file, size = self.files.create(new), 0
        try:
            for body in self._frame_bodies(payloads):
                data = frame(body)
                self.files.append_all(file, data)
                size += len(data)
            self.files.sync(file)
            self.files.replace(new, self.path)
        except OSError:
            self.files.close(file)
            try:
                self.files.remove(new)
            except OSError:
                pass  # `load` removes it at the next start
            raise
        if self._file >= 0:
            self.files.close(self._file)
        self._file, self.size, self._tail_torn, self._name_synced = file, size, False, False
        try:
            self._sync_folder()
        except OSError:
            pass  # the next append syncs it

    def _frame_bodies(self, payloads: Iterable[bytes]) -> Iterator[bytes]:
        yield _encode(Header(FORMAT, self.owner))
        batch: list[bytes] = []
        length = 0
        for payload in payloads:
            batch.append(payload)
            length += len(payload)
            if length >= REWRITE_FRAME_BYTES:
                yield _encode(batch)
                batch, length = [], 0
        if batch:
            yield _encode(batch)

    def worth_rewriting(self, live_bytes: int) -> bool:
        """Whether obsolete records exceed the live ones by the slack; a new file has about `live_bytes`."""
        return self.size > 2 * live_bytes + REWRITE_SLACK_BYTES

    def close(self) -> None:
        """Close the file and release the folder."""
        if self._file >= 0:
            self.files.close(self._file)
            self._file = -1
        if self._lock is not None:
            self._lock.release()
            self._lock = None
