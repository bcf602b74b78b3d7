"""Parses and answers the lines of operators' calls. No sockets and no clock."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

MAX_LINE_BYTES = 256  # without the line end
PLAIN_TEXT = re.compile(rb"[\x20-\x7e\t]*\Z")
MAX_ECHOED_CHARS = 40  # of an unknown call, repeated in its answer

Call = Callable[[], str]  # carries a call out and returns the text for +OK; `CallError` for -ERR


class CallError(Exception):
    """A call cannot be carried out; the text says why."""


def ok(text: str) -> bytes:
    """Returns the answer to a call that was carried out."""
    return f"+OK {text}".rstrip().encode("ascii", "replace") + b"\r\n"


def err(text: str) -> bytes:
    """Returns the answer to a call that was not carried out."""
    return f"-ERR {text}".encode("ascii", "replace") + b"\r\n"


class LineBuffer:
    """Collects the bytes of one call, which may arrive in pieces of any size."""

    def __init__(self) -> None:
        self._data = bytearray()

    def feed(self, data: bytes, ended: bool = False) -> bytes | None:
        """Adds bytes; returns the line without its end once it is complete or too long, else None.

        The end of the caller's side (`ended`) completes a line as well.
        """
        self._data += data
        line, end, _ = self._data.partition(b"\n")
        if end or len(line) > MAX_LINE_BYTES + 1 or (ended and line):
            return bytes(line).removesuffix(b"\r")
        return None


def answer(line: bytes, calls: Mapping[str, Call]) -> bytes:
    """Carries out the call in a line and returns the answer."""
    if len(line) > MAX_LINE_BYTES:
        return err(f"the call is longer than {MAX_LINE_BYTES} bytes")
    if not PLAIN_TEXT.match(line):
        return err("the call is not plain text")
    name, *rest = line.decode("ascii").split() or [""]
    allowed = ", ".join(sorted(calls))
    if not name:
        return err(f"an empty call, allowed: {allowed}")
    if name.lower() not in calls:
        return err(f"unknown call {name[:MAX_ECHOED_CHARS]!r}, allowed: {allowed}")
    if rest:
        return err(f"{name.lower()} takes no arguments")
    try:
        return ok(calls[name.lower()]())
    except CallError as error:
        return err(str(error))
