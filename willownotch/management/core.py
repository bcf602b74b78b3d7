"""Lines of operators' calls and the table of what can be called. No sockets and no clock."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

LINE_MOST = 256  # bytes of a call, its end not counted
WORDS = re.compile(rb"[\x20-\x7e\t]*\Z")
SHOWN = 40  # characters of a bad call that its answer repeats

Call = Callable[[], str]  # does it and says what came of it; `CallError` for -ERR


class CallError(Exception):
    """A call that cannot be carried out; the text says why."""


def ok(text: str) -> bytes:
    """The line for a call that was carried out."""
    return f"+OK {text}".rstrip().encode("ascii", "replace") + b"\r\n"


def err(text: str) -> bytes:
    """The line for one that was not."""
    return f"-ERR {text}".encode("ascii", "replace") + b"\r\n"


class Line:
    """Takes a call's bytes in pieces of any size."""

    def __init__(self) -> None:
        self._data = bytearray()

    def feed(self, data: bytes, ended: bool = False) -> bytes | None:
        """The line, without its end, once it is whole or too long. A caller may end its side instead."""
        self._data += data
        line, end, _ = self._data.partition(b"\n")
        if end or len(line) > LINE_MOST + 1 or (ended and line):
            return bytes(line).removesuffix(b"\r")
        return None


def answer(line: bytes, calls: Mapping[str, Call]) -> bytes:
    """Carry a call out and answer it."""
    if len(line) > LINE_MOST:
        return err(f"the call is longer than {LINE_MOST} bytes")
    if not WORDS.match(line):
        return err("the call is not plain text")
    name, *rest = line.decode("ascii").split() or [""]
    allowed = ", ".join(sorted(calls))
    if not name:
        return err(f"an empty call, allowed: {allowed}")
    if name.lower() not in calls:
        return err(f"unknown call {name[:SHOWN]!r}, allowed: {allowed}")
    if rest:
        return err(f"{name.lower()} takes no arguments")
    try:
        return ok(calls[name.lower()]())
    except CallError as fault:
        return err(str(fault))
