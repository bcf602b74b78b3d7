"""Copies, terms and books in the folder that lasts: one log, appended to once a round, written anew when most
of it is over.

A record is framed as magic, length, checksum, body, as the journal's are; a torn tail is passed over. Its
room comes from the folder's one limit, and is claimed before a byte is written.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from pathlib import Path

import msgspec

from willownotch.files.layer import Files
from willownotch.files.space import Space, round_to_blocks
from willownotch.journal.records import FRAME
from willownotch.replica import copies, core
from willownotch.replica.copies import Copy
from willownotch.replica.terms import Term
from willownotch.replica.wire import BookConfig, Position

NAME, NEW_NAME = "custody", "custody.new"
MAGIC = b"wnC1"
SLACK = 64 * 1024  # bytes of records that are over, beyond as many as are not, before a new file is written


class WholeCopy(msgspec.Struct, tag="whole", frozen=True, array_like=True):
    """A copy as it stood."""

    book: str
    config: BookConfig
    term: int
    position: Position
    entries: tuple[tuple[int, bytes], ...]


class MoreOfCopy(msgspec.Struct, tag="more", frozen=True, array_like=True):
    """Records that were added to a copy, and where it stood then."""

    book: str
    position: Position
    frames: tuple[bytes, ...]


class NoCopy(msgspec.Struct, tag="gone", frozen=True, array_like=True):
    """A copy is no more."""

    book: str


class TermKept(msgspec.Struct, tag="term", frozen=True, array_like=True):
    """What was granted of a book."""

    term: Term


class BookKept(msgspec.Struct, tag="book", frozen=True, array_like=True):
    """A book that this sender owns."""

    book: str
    config: BookConfig | None
    term: int


Record = WholeCopy | MoreOfCopy | NoCopy | TermKept | BookKept
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Record).decode


def frame(record: Record) -> bytes:
    """A record as it stands in the file."""
    body = _encode(record)
    return FRAME.pack(MAGIC, len(body), zlib.crc32(body)) + body


def read(data: bytes) -> tuple[list[Record], int]:
    """The records of a file, and how many bytes were none."""
    found, at, lost = [], 0, 0
    while at < len(data):
        magic, length, checksum = FRAME.unpack_from(data, at) if at + FRAME.size <= len(data) else (b"", 0, 0)
        body = data[at + FRAME.size : at + FRAME.size + length]
        if magic == MAGIC and len(body) == length and zlib.crc32(body) == checksum:
            try:
                found.append(_decode(body))
                at += FRAME.size + length
                continue
            except msgspec.DecodeError:
                pass
        following = data.find(MAGIC, at + 1)
        following = following if following >= 0 else len(data)
        lost, at = lost + following - at, following
    return found, lost


class Store:
    """The log. One thread calls it."""

    def __init__(self, folder: Path, files: Files, space: Space, say: Callable[[str], None]) -> None:
        self.folder, self.path, self.files, self.space, self.say = folder, folder / NAME, files, space, say
        self.terms: dict[str, Term] = {}
        self.books: dict[str, tuple[BookConfig, int]] = {}
        self.copies: dict[str, Copy] = {}  # those of the core, once it has them
        self.size = self.live = 0
        self._file = -1
        self._claimed = 0  # as the folder's limit counts the file

    def open(self) -> None:
        """Read what is there, and write it anew; `OSError` if the folder cannot be written."""
        self.files.remove(self.folder / NEW_NAME)
        try:
            data = self.files.read_whole(self.path)
        except FileNotFoundError:
            data = b""
        records, lost = read(data)
        if lost:
            self.say(f"{lost} bytes of the custody file are torn or damaged and were passed over")
        for record in records:
            self._replay(record)
        self._claimed, self.size = round_to_blocks(len(data)), len(data)
        self.space.settle(0, self._claimed)
        self._rewrite()

    def _replay(self, record: Record) -> None:
        if isinstance(record, TermKept):
            self.terms[record.term.book] = record.term
        elif isinstance(record, BookKept):
            self.books.pop(record.book, None)
            if record.config is not None:
                self.books[record.book] = record.config, record.term
        elif isinstance(record, NoCopy):
            self.copies.pop(record.book, None)
        elif isinstance(record, WholeCopy):
            copy = self.copies[record.book] = Copy(record.book, record.config, record.term, record.position)
            copy.put(record.entries)
        elif (copy := self.copies.get(record.book)) is not None:
            copy.add(record.frames, record.position)

    def forget(self, books: list[str]) -> None:
        """Grants that nobody will ask for again go when the file is next written anew."""
        for book in books:
            self.terms.pop(book, None)

    def keep(self, actions: list[core.StoreTerm | core.StoreCopy | core.StoreBook]) -> bool:
        """Put a round's changes into the file by one write; False if it could not be."""
        records: list[Record] = []
        # A copy is written as it stands after the round, so what was added to it in the round is in that.
        whole = {a.book for a in actions if isinstance(a, core.StoreCopy) and a.copy and a.frames is None}
        for action in actions:
            if isinstance(action, core.StoreTerm):
                self.terms[action.term.book] = action.term
                records.append(TermKept(action.term))
            elif isinstance(action, core.StoreBook):
                self.books.pop(action.book, None)
                if action.config is not None:
                    self.books[action.book] = action.config, action.term
                records.append(BookKept(action.book, action.config, action.term))
            elif action.copy is None:
                self.copies.pop(action.book, None)
                records.append(NoCopy(action.book))
            elif action.book not in whole:
                records.append(MoreOfCopy(action.book, action.position, action.frames))
            elif action.frames is None:
                self.copies[action.book] = action.copy
                records.append(self._whole(action.copy))
        return self._append(b"".join(map(frame, records)))

    @staticmethod
    def _whole(copy: Copy) -> WholeCopy:
        entries = tuple((order, copies.pack(entry)) for order, entry in copy.entries())
        return WholeCopy(copy.book, copy.config, copy.term, copy.position, entries)

    def _append(self, data: bytes) -> bool:
        try:
            if self.size + len(data) > 2 * self.live + SLACK:
                self._rewrite()  # what is to be added is live here already
                return True
            if not self._claim(self.size + len(data)):
                return False
            self.files.append_all(self._file, data)
            self.size += len(data)
            return True
        except OSError as fault:
            self.say(f"the custody file could not be written: {fault}")
            try:
                self.files.truncate(self._file, self.size)
            except OSError:
                pass  # read again, a torn tail is passed over
            return False

    def _claim(self, size: int) -> bool:
        """Have so many bytes for the file; what it has already counts."""
        more = round_to_blocks(size) - self._claimed
        if more > 0 and not self.space.claim(more):
            return False
        if more > 0:
            self.space.settle(more, more)
            self._claimed += more
        return True

    def _rewrite(self) -> None:
        records: list[Record] = [TermKept(term) for term in self.terms.values()]
        records += [BookKept(book, config, term) for book, (config, term) in self.books.items()]
        records += [self._whole(copy) for copy in self.copies.values()]
        data = b"".join(map(frame, records))
        grown = round_to_blocks(len(data))
        if not self.space.claim(grown):
            raise OSError("no room to write it anew")
        new = self.folder / NEW_NAME
        try:
            file = self.files.create(new)
        except OSError:
            self.space.settle(grown, 0)
            raise
        try:
            self.files.append_all(file, data)
            self.files.replace(new, self.path)
        except OSError:
            self.files.close(file)
            self.space.settle(grown, 0)
            raise
        if self._file >= 0:
            self.files.close(self._file)
        self.space.settle(grown, grown)
        self.space.freed(self._claimed)
        self._file, self.size, self.live, self._claimed = file, len(data), len(data), grown
