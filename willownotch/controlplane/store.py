"""What a member or a follower keeps in its folder: records in one log, each append whole or not there.

A frame is magic, length, checksum, body, as the journal's are; its body is the payloads of one append, so
that a torn write leaves none of them. The first frame says the format's version and whose folder it is.
Everything is synced before an append returns: a voter's promise has to outlast a loss of power, too.

A frame that cannot be read is the torn tail of a write that nobody was told of if no frame comes after it,
and is cut off. Anywhere else it is damage: what a voter has promised is no longer known, so nothing is read.
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
SLACK = 256 * 1024  # bytes of records that are over, beyond as many as are not, before a new file is written
START_OVER_HINT = "wanted: the file as it was, or an emptied folder, with which its owner begins anew"
PIECE = 1 << 20  # bytes of a frame, about, where a file is written anew

_encode = msgspec.msgpack.Encoder().encode


class StoreError(Exception):
    """A folder cannot be used; the text has its path and what to do."""


class BusyError(StoreError):
    """Another process has the folder now."""


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The first frame."""

    format: int
    owner: str = ""


_head = msgspec.msgpack.Decoder(Head).decode
_payloads = msgspec.msgpack.Decoder(list[bytes]).decode


def frame(body: bytes) -> bytes:
    """A body as it stands in the file."""
    return FRAME.pack(MAGIC, len(body), zlib.crc32(body)) + body


def body_at(data: bytes, at: int) -> bytes | None:
    """The body of the frame at an offset, or None if there is no whole one."""
    if not data.startswith(MAGIC, at) or at + FRAME.size > len(data):
        return None
    _, length, checksum = FRAME.unpack_from(data, at)
    body = data[at + FRAME.size : at + FRAME.size + length]
    return body if len(body) == length and zlib.crc32(body) == checksum else None


def bodies(data: bytes) -> tuple[list[bytes], int]:
    """The bodies of all whole frames from the beginning, and where the last of them ends."""
    found, at = [], 0
    while (body := body_at(data, at)) is not None:
        found.append(body)
        at += FRAME.size + len(body)
    return found, at


def another_after(data: bytes, at: int) -> bool:
    """Whether a whole frame comes anywhere after this offset."""
    while (at := data.find(MAGIC, at + 1)) >= 0:
        if body_at(data, at) is not None:
            return True
    return False


class Store:
    """The records of one owner's folder. One thread at a time calls it; one process at a time has it open."""

    def __init__(self, folder: Path, files: Files, owner: str) -> None:
        self.folder, self.files, self.owner = folder, files, owner
        self.path = folder / NAME
        self.size = 0  # bytes of the file
        self.torn_bytes = 0  # bytes of a torn tail that were found and cut off
        self._file = -1
        self._lock: FolderLock | None = None
        self._torn = False  # what a failed write left may stand behind `size`
        self._named = True  # the file's name is known to outlast a loss of power

    def load(self) -> list[bytes]:
        """Open the folder, made if it is not there; the payloads in order, none where it is new.

        `StoreError` if another process, another owner or a newer version has it, or it is damaged before its
        tail; `OSError` if it cannot be read or written.
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
        """The payloads as they are now, without opening the folder: another process may write there.

        `StoreError` and `OSError` as `load`, but that nobody else may have it.
        """
        try:
            return self._parse(self.files.read_whole(self.path))[0]
        except FileNotFoundError:
            return []

    def _parse(self, data: bytes) -> tuple[list[bytes], int]:
        """The payloads of a file, and where the last of its frames ends."""
        found, end = bodies(data)
        self._check_head(found)
        if end < len(data) and another_after(data, end):
            raise StoreError(f"{self.path}: damaged at byte {end}, and more stands behind; {START_OVER_HINT}")
        payloads: list[bytes] = []
        try:
            for body in found[1:]:
                payloads += _payloads(body)
        except msgspec.DecodeError:
            raise StoreError(f"{self.path}: has frames of another kind; {START_OVER_HINT}") from None
        return payloads, end

    def _check_head(self, found: list[bytes]) -> None:
        try:
            head = _head(found[0])
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
        """Keep payloads, all or none; they outlast a loss of power once this returns.

        `OSError` if they could not be kept: none of them is then, except that the next process may find them
        whole where the trouble lasts until this one ends.
        """
        if not payloads:
            return
        self._settle()
        data = frame(_encode(payloads))
        try:
            self.files.append_all(self._file, data)
            self.files.sync(self._file)
        except OSError:
            self._torn = True
            try:
                self._settle()
            except OSError:
                pass  # the next write has to do it first
            raise
        self.size += len(data)

    def _settle(self) -> None:
        """Make good what failed before; `OSError` if that fails again."""
        if self._torn:
            self.files.truncate(self._file, self.size)
            self._torn = False
        if not self._named:
            self._sync_folder()

    def _sync_folder(self) -> None:
        folder = self.files.open_to_read(self.folder)
        try:
            self.files.sync(folder)
        finally:
            self.files.close(folder)
        self._named = True

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Let a new file of these payloads take the place of the old one in one step.

        `OSError` if it could not be, and the old one holds. Where the new one holds and only its name is not
        yet known to outlast a loss of power, the next append sees to that before anything else.
        """
        new = self.folder / NEW_NAME
        file, size = self.files.create(new), 0
        try:
            for body in self._pieces(payloads):
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
                pass  # the next start removes it
            raise
        if self._file >= 0:
            self.files.close(self._file)
        self._file, self.size, self._torn, self._named = file, size, False, False
        try:
            self._sync_folder()
        except OSError:
            pass  # as said above

    def _pieces(self, payloads: Iterable[bytes]) -> Iterator[bytes]:
        yield _encode(Head(FORMAT, self.owner))
        piece: list[bytes] = []
        length = 0
        for payload in payloads:
            piece.append(payload)
            length += len(payload)
            if length >= PIECE:
                yield _encode(piece)
                piece, length = [], 0
        if piece:
            yield _encode(piece)

    def worth_rewriting(self, live_bytes: int) -> bool:
        """Whether more of the file is over than is not, by a slack; `live_bytes` is what a new one would
        have."""
        return self.size > 2 * live_bytes + SLACK

    def close(self) -> None:
        """Let the file and the folder go."""
        if self._file >= 0:
            self.files.close(self._file)
            self._file = -1
        if self._lock is not None:
            self._lock.release()
            self._lock = None
