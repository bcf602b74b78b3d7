"""Stores copies, terms and books in one log file, which is appended to once a round and rewritten when most
of it is obsolete.

A record is framed like the journal's, as magic, length, checksum and body; a torn tail is skipped. Disk space
counts against the state folder's limit and is claimed before anything is written.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from pathlib import Path

import msgspec

from willownotch.files.layer import Files
from willownotch.files.space import Space, round_to_blocks
from willownotch.journal.records import FRAME
from willownotch.replica.actions import StoreBook, StoreCopy, Stored, StoreDisowned, StoreEnded, StoreTerm
from willownotch.replica.copies import Copy
from willownotch.replica.terms import Term
from willownotch.replica.wire import BookConfig, Position

FILE_NAME, NEW_FILE_NAME = "custody", "custody.new"
MAGIC = b"wnC1"
REWRITE_SLACK_BYTES = 64 * 1024  # obsolete bytes, beyond as many live ones, that start a rewrite


class CopySnapshot(msgspec.Struct, tag="whole", frozen=True, array_like=True):
    """A whole copy."""

    book: str
    config: BookConfig
    term: int
    position: Position
    entries: tuple[tuple[int, bytes], ...]
    owner_term: int = 0


class CopyAppend(msgspec.Struct, tag="more", frozen=True, array_like=True):
    """Records appended to a copy, and the position that they bring it to."""

    book: str
    position: Position
    frames: tuple[bytes, ...]


class CopyRemoved(msgspec.Struct, tag="gone", frozen=True, array_like=True):
    """A copy was dropped."""

    book: str


class TermRecord(msgspec.Struct, tag="term", frozen=True, array_like=True):
    """A term granted by this member as a witness."""

    term: Term


class BookRecord(msgspec.Struct, tag="book", frozen=True, array_like=True):
    """A book that this sender owns; `config` None: it owns the book no more."""

    book: str
    config: BookConfig | None
    term: int


class EndedRecord(msgspec.Struct, tag="over", frozen=True, array_like=True):
    """Ids of a book that this sender owns that ended; an earlier version skips it."""

    book: str
    refs: tuple[str, ...]


class DisownedRecord(msgspec.Struct, tag="disowned", frozen=True, array_like=True):
    """What the journal has of a book is not this sender's to deliver; an earlier version skips it."""

    book: str


Record = CopySnapshot | CopyAppend | CopyRemoved | TermRecord | BookRecord | EndedRecord | DisownedRecord
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Record).decode


def encode_record(record: Record) -> bytes:
    """Encodes a record with its frame."""
    body = _encode(record)
    return FRAME.pack(MAGIC, len(body), zlib.crc32(body)) + body


def read_records(data: bytes) -> tuple[list[Record], int]:
    """Returns the records of a file, and the number of damaged bytes skipped."""
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
    """The log file. Not thread-safe: only the custody thread calls it."""

    def __init__(self, folder: Path, files: Files, space: Space, say: Callable[[str], None]) -> None:
        self.folder, self.path, self.files, self.space, self.say = (
            folder,
            folder / FILE_NAME,
            files,
            space,
            say,
        )
        self.terms: dict[str, Term] = {}
        self.books: dict[str, tuple[BookConfig, int]] = {}
        self.ended: dict[str, set[str]] = {}  # by book in `books`, its ids that ended since its first term
        self.disowned_books: set[str] = set()  # of which the journal may have messages
        self.copies: dict[str, Copy] = {}  # shared with the core after it has restored them
        self.size = self.live_bytes = 0
        self._file = -1
        self._claimed_bytes = 0  # of the folder's limit, in whole blocks

    def open(self) -> None:
        """Reads the file and rewrites it; raises `OSError` if the folder cannot be written."""
        self.files.remove(self.folder / NEW_FILE_NAME)
        try:
            data = self.files.read_whole(self.path)
        except FileNotFoundError:
            data = b""
        records, lost = read_records(data)
        if lost:
            self.say(f"{lost} bytes of the custody file are torn or damaged and were skipped")
        for record in records:
            self._replay(record)
        self._claimed_bytes, self.size = round_to_blocks(len(data)), len(data)
        self.space.settle(0, self._claimed_bytes)
        self._rewrite()

    def _replay(self, record: Record) -> None:
        if isinstance(record, TermRecord):
            self.terms[record.term.book] = record.term
        elif isinstance(record, BookRecord):
            self._set_book(record.book, record.config, record.term)
        elif isinstance(record, EndedRecord):
            self._add_ended(record.book, record.refs)
        elif isinstance(record, DisownedRecord):
            self.disowned_books.add(record.book)
        elif isinstance(record, CopyRemoved):
            self.copies.pop(record.book, None)
        elif isinstance(record, CopySnapshot):
            copy = self.copies[record.book] = Copy(
                record.book, record.config, record.term, record.position, owner_term=record.owner_term
            )
            copy.put_entries(record.entries)
        elif (copy := self.copies.get(record.book)) is not None:
            copy.add_frames(record.frames, record.position)
            copy.owner_term = 0

    def _set_book(self, book: str, config: BookConfig | None, term: int) -> None:
        self.disowned_books.discard(book)
        if config is None:
            self.books.pop(book, None)
            self.ended.pop(book, None)
        else:
            self.books[book] = config, term

    def _add_ended(self, book: str, refs: tuple[str, ...]) -> None:
        if book in self.books:
            self.ended.setdefault(book, set()).update(refs)

    def forget(self, books: list[str]) -> None:
        """Drops terms that no member will claim again; they leave the file with the next rewrite."""
        for book in books:
            self.terms.pop(book, None)

    def write(self, actions: list[Stored]) -> bool:
        """Appends a round's changes in one write; returns False if that failed."""
        records: list[Record] = []
        # A snapshot is taken after the round, so it contains the records appended to the copy in the round.
        whole = {a.book for a in actions if isinstance(a, StoreCopy) and a.copy and a.frames is None}
        for action in actions:
            if isinstance(action, StoreTerm):
                self.terms[action.term.book] = action.term
                records.append(TermRecord(action.term))
            elif isinstance(action, StoreBook):
                self._set_book(action.book, action.config, action.term)
                records.append(BookRecord(action.book, action.config, action.term))
            elif isinstance(action, StoreEnded):
                self._add_ended(action.book, action.refs)
                records.append(EndedRecord(action.book, action.refs))
            elif isinstance(action, StoreDisowned):
                self.disowned_books.add(action.book)
                records.append(DisownedRecord(action.book))
            elif action.copy is None:
                self.copies.pop(action.book, None)
                records.append(CopyRemoved(action.book))
            elif action.book not in whole:
                records.append(CopyAppend(action.book, action.position, action.frames))
            elif action.frames is None:
                self.copies[action.book] = action.copy
                records.append(self._snapshot(action.copy))
        return self._append(b"".join(map(encode_record, records)))

    @staticmethod
    def _snapshot(copy: Copy) -> CopySnapshot:
        entries = tuple(copy.packed())
        return CopySnapshot(copy.book, copy.config, copy.term, copy.position, entries, copy.owner_term)

    def _append(self, data: bytes) -> bool:
        try:
            if self.size + len(data) > 2 * self.live_bytes + REWRITE_SLACK_BYTES:
                self._rewrite()  # the rewrite contains the new records already
                return True
            if not self._claim_space(self.size + len(data)):
                return False
            self.files.append_all(self._file, data)
            self.size += len(data)
            return True
        except OSError as fault:
            self.say(f"the custody file could not be written: {fault}")
            try:
                self.files.truncate(self._file, self.size)
            except OSError:
                pass  # a torn tail is skipped when the file is read
            return False

    def _claim_space(self, size: int) -> bool:
        """Claims disk space for a file of `size` bytes; returns False if there is none."""
        more = round_to_blocks(size) - self._claimed_bytes
        if more > 0 and not self.space.claim(more):
            return False
        if more > 0:
            self.space.settle(more, more)
            self._claimed_bytes += more
        return True

    def _rewrite(self) -> None:
        records: list[Record] = [TermRecord(term) for term in self.terms.values()]
        records += [BookRecord(book, config, term) for book, (config, term) in self.books.items()]
        records += [EndedRecord(book, tuple(sorted(refs))) for book, refs in self.ended.items()]
        records += [DisownedRecord(book) for book in sorted(self.disowned_books)]
        records += [self._snapshot(copy) for copy in self.copies.values()]
        data = b"".join(map(encode_record, records))
        grown = round_to_blocks(len(data))
        if not self.space.claim(grown):
            raise OSError("no space to rewrite it")
        new = self.folder / NEW_FILE_NAME
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
        self.space.freed(self._claimed_bytes)
        self._file, self.size, self.live_bytes, self._claimed_bytes = file, len(data), len(data), grown
