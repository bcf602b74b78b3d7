"""Decodes JSON from outside with a bound on its nesting.

The decoder recurses for each level, and threads here have small stacks: a value of some hundred levels ends
the process. Every text that comes from another program is decoded here.
"""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec

MAX_DEPTH = 64
# A string, which may hold brackets, or a bracket. They are matched one by one, since a copy without strings
# takes several times the text. A string without an end goes to the end of the text.
STRING_OR_BRACKET = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"?|[\[\]{}]')
OPENING, CLOSING = b"[{", b"]}"

T = TypeVar("T")


class NestingError(msgspec.DecodeError):
    """A text has more levels than `MAX_DEPTH`."""

    def __init__(self) -> None:
        super().__init__(f"the value has more than {MAX_DEPTH} levels")


class NestingScanner:
    """Counts the levels that are open at the end of a text, which may come in several lines."""

    def __init__(self) -> None:
        self.depth = 0

    def feed(self, line: bytes) -> int:
        """Scan one line, or all of a text. Returns the open levels; raises `NestingError`.

        A string cannot go over a line's end, so each line is scanned by itself.
        """
        depth = self.depth
        for found in STRING_OR_BRACKET.finditer(line):
            first = line[found.start()]
            if first in OPENING:
                depth += 1
                if depth > MAX_DEPTH:
                    raise NestingError
            elif first in CLOSING:
                depth -= 1
        self.depth = depth
        return depth


def check_nesting(data: bytes) -> None:
    """Raise `NestingError` if a text has more than `MAX_DEPTH` levels."""
    if data.count(b"[") + data.count(b"{") > MAX_DEPTH:
        NestingScanner().feed(data)


def decode_json(data: bytes | str, kind: type[T] = Any) -> T:
    """Decode a JSON text to a type. Raises `msgspec.DecodeError` for whatever is wrong with it."""
    encoded = data.encode("utf-8", "surrogatepass") if isinstance(data, str) else bytes(data)
    check_nesting(encoded)
    try:
        return msgspec.json.decode(encoded, type=kind)
    except (UnicodeDecodeError, RecursionError, OverflowError) as fault:
        raise msgspec.DecodeError(f"{type(fault).__name__}: {fault}") from None
