"""Decodes the byte stream of a watch on the list of endpoints. No sockets, no clocks."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from willownotch.json_text import NestingScanner, decode_json
from willownotch.net import http
from willownotch.net.config import ListedEndpoint, ListUpdate

MAX_WATCH_LIST_BYTES = 4 << 20
MAX_INDEX = 2**63 - 1
MAX_QUOTED_BYTES = 80  # of an invalid entry, in the log


class RawUpdate(msgspec.Struct):
    """An update whose entries are not decoded yet."""

    index: int
    snapshot: bool
    endpoints: list[msgspec.Raw]


class PartialUpdate(ListUpdate):
    """An update of which some entries could not be read."""

    unread: list[str] = []  # names of those, as far as they could be read


class EntryName(msgspec.Struct):
    """The name of an entry that is otherwise invalid."""

    name: str


def ignore_entry(text: str) -> None:
    """Do nothing about an entry that cannot be read."""


def decode_update(data: bytes, on_invalid: Callable[[str], None] = ignore_entry) -> ListUpdate:
    """Decode an update. An entry of wrong types is told to `on_invalid`; the others hold.

    The update is a `PartialUpdate` then. Raises `msgspec.DecodeError` if it cannot be read as a whole.
    """
    raw = None
    try:
        update = decode_json(data, ListUpdate)
    except msgspec.ValidationError:
        update = raw = decode_json(data, RawUpdate)  # raises, if it is not an entry that is wrong
    if not 0 <= update.index <= MAX_INDEX:
        raise msgspec.ValidationError(f"version {update.index} is out of range")
    if raw is None:
        return update
    entries, unread = [], []
    for text in raw.endpoints:
        try:
            entries.append(decode_json(text, ListedEndpoint))
        except msgspec.DecodeError as fault:
            on_invalid(f"an entry is ignored: {fault}: {bytes(text)[:MAX_QUOTED_BYTES]!r}")
            unread += _name_of(text)
    return PartialUpdate(raw.index, raw.snapshot, entries, unread)


def _name_of(text: msgspec.Raw) -> list[str]:
    try:
        return [decode_json(text, EntryName).name]
    except msgspec.DecodeError:
        return []


def check_beginning(line: bytes) -> None:
    """Raise `msgspec.DecodeError` if no update begins with this line."""
    try:
        msgspec.json.decode(line, type=RawUpdate)
    except msgspec.DecodeError as fault:
        if "truncated" not in str(fault):
            raise


class WatchDecoder:
    """Decodes a watch's byte stream into updates of the list. One update may be indented over several
    lines."""

    def __init__(
        self, on_invalid: Callable[[str], None] = ignore_entry, max_bytes: int = MAX_WATCH_LIST_BYTES
    ) -> None:
        self._on_invalid, self._max_bytes = on_invalid, max_bytes
        self._partial_line = bytearray()
        self._partial_list = bytearray()  # complete lines of an incomplete list
        self._nesting = NestingScanner()

    def feed(self, data: bytes) -> tuple[list[ListUpdate], bool]:
        """The updates that are complete now, and whether any line was completed.

        `DecodeError` for what cannot be an update, `BadMessageError` for one that is too long or breaks off.
        """
        self._partial_line += data
        if len(self._partial_line) + len(self._partial_list) > self._max_bytes:
            raise http.BadMessageError(413, "a list of the watch is too long")
        if b"\n" not in data:
            return [], False
        *lines, rest = self._partial_line.split(b"\n")
        self._partial_line = bytearray(rest)
        updates = [self._decode_line(bytes(line).strip()) for line in lines]
        return [update for update in updates if update is not None], True

    def _decode_line(self, line: bytes) -> ListUpdate | None:
        """Add a line to the partial list; the update, if that completes it."""
        if not line:
            if self._partial_list:
                raise http.BadMessageError(400, "a list of the watch breaks off")
            return None
        begins, self._partial_list = not self._partial_list, self._partial_list + line
        if self._nesting.feed(line) > 0:  # indented: more lines follow
            if begins:
                check_beginning(line)
            return None
        update = decode_update(bytes(self._partial_list), self._on_invalid)
        self._partial_list, self._nesting = bytearray(), NestingScanner()
        return update
