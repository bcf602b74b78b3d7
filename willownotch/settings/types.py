"""The words that a block is declared with: each reads one value, and says what it would have allowed.

A block is a msgspec struct; a field `write_patience: Span = ...` is the setting `write-patience`. Nothing
here loads the parser, so a subsystem can declare its block without it.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from math import inf
from typing import Annotated, Any, get_args, get_type_hints

import msgspec

SIZES = {"": 1, "b": 1, "kb": 10**3, "mb": 10**6, "gb": 10**9, "kib": 2**10, "mib": 2**20, "gib": 2**30}
SPANS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
NUMBER = re.compile(r"([0-9]+(?:\.[0-9]+)?)([A-Za-z%]*)\Z")


class InvalidValueError(ValueError):
    """A value cannot be read; the text says what is allowed."""


def split(text: str) -> tuple[float, str]:
    """A number and its unit."""
    found = NUMBER.match(text)
    if not found:
        raise InvalidValueError
    return float(found[1]), found[2].lower()


def format_size(size: float) -> str:
    """A size as a person would write it."""
    for unit, factor in (("GB", 10**9), ("MB", 10**6), ("KB", 10**3)):
        if size >= factor and size % factor == 0:
            return f"{size / factor:g}{unit}"
    return f"{size:g}B"


@dataclass(frozen=True)
class SizeType:
    """Bytes, with a unit: `512`, `64KB` (1,000), `64KiB` (1,024)."""

    least: int = 0
    most: float = inf

    def allowed(self) -> str:
        """In words."""
        top = f" and {format_size(self.most)} at most" if self.most < inf else ""
        return f"a size such as 64KB, 4MB or 1GiB, {format_size(self.least)} at least{top}"

    def read(self, text: str) -> int:
        """Whole bytes."""
        number, unit = split(text)
        if unit not in SIZES or not self.least <= number * SIZES[unit] <= self.most:
            raise InvalidValueError
        return int(number * SIZES[unit])


@dataclass(frozen=True)
class DurationType:
    """A time, always with its unit: `150ms`, `2s`, `5min`."""

    least: timedelta = timedelta(0)
    most: timedelta = timedelta(days=365)

    def allowed(self) -> str:
        """In words."""
        least, most = self.least.total_seconds(), self.most.total_seconds()
        return f"a time with its unit (us, ms, s, min, h, d) from {least:g}s to {most:g}s"

    def read(self, text: str) -> timedelta:
        """A span."""
        number, unit = split(text)
        if unit not in SPANS:
            raise InvalidValueError
        span = timedelta(seconds=number * SPANS[unit])
        if not self.least <= span <= self.most:
            raise InvalidValueError
        return span


@dataclass(frozen=True)
class ShareType:
    """A share of a whole: `75%`."""

    least: float = 0.0
    most: float = 1.0

    def allowed(self) -> str:
        """In words."""
        return f"a share from {self.least * 100:g}% to {self.most * 100:g}%"

    def read(self, text: str) -> float:
        """From 0 to 1."""
        number, unit = split(text)
        if unit != "%" or not self.least <= number / 100 <= self.most:
            raise InvalidValueError
        return number / 100


@dataclass(frozen=True)
class CountType:
    """A whole number."""

    least: int = 0
    most: int = 10**9

    def allowed(self) -> str:
        """In words."""
        return f"a whole number from {self.least} to {self.most}"

    def read(self, text: str) -> int:
        """The number."""
        if not re.fullmatch(r"[0-9]{1,10}", text) or not self.least <= int(text) <= self.most:
            raise InvalidValueError
        return int(text)


@dataclass(frozen=True)
class NumberType:
    """Any number that is not below zero: `2.3`."""

    least: float = 0.0
    most: float = inf

    def allowed(self) -> str:
        """In words."""
        return f"a number from {self.least:g} to {self.most:g}"

    def read(self, text: str) -> float:
        """The number."""
        number, unit = split(text)
        if unit or not self.least <= number <= self.most:
            raise InvalidValueError
        return number


@dataclass(frozen=True)
class ChoiceType:
    """One of the values of an enumeration."""

    kind: type[Enum]

    def allowed(self) -> str:
        """In words."""
        return "one of " + ", ".join(str(choice.value) for choice in self.kind)

    def read(self, text: str) -> Enum:
        """The choice."""
        try:
            return self.kind(text)
        except ValueError:
            raise InvalidValueError from None


@dataclass(frozen=True)
class TextType:
    """Any text, in quotes if it has blanks."""

    what: str = "a text"

    def allowed(self) -> str:
        """In words."""
        return self.what

    def read(self, text: str) -> str:
        """As it stands."""
        if not text:
            raise InvalidValueError
        return text


@dataclass(frozen=True)
class AddressType:
    """Where a socket is: `127.0.0.1:7946`."""

    def allowed(self) -> str:
        """In words."""
        return "an IPv4 address and a port from 0 to 65535, such as 127.0.0.1:7946"

    def read(self, text: str) -> tuple[str, int]:
        """Address and port."""
        host, _, port = text.rpartition(":")
        parts = host.split(".")
        if len(parts) != 4 or not all(re.fullmatch(r"[0-9]{1,3}", p) and int(p) < 256 for p in parts):
            raise InvalidValueError
        if not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > 65535:
            raise InvalidValueError
        return host, int(port)


@dataclass(frozen=True)
class ListType:
    """One or more values of one kind in a line."""

    of: Any

    def allowed(self) -> str:
        """In words."""
        return f"one or more of: {self.of.allowed()}"


class Flag(Enum):
    """Yes or no."""

    YES = "yes"
    NO = "no"

    def __bool__(self) -> bool:
        """`yes` is true."""
        return self is Flag.YES


@dataclass(frozen=True)
class NamedBlocks:
    """Blocks with a name of their own, such as `class slot-status { ... }`: a dict of these structs by
    name."""

    block: type[msgspec.Struct]


@dataclass(frozen=True)
class NestedBlock:
    """A block of its own, such as `bodies { ... }`, which stands once."""

    block: type[msgspec.Struct]


Size = Annotated[int, SizeType()]
Span = Annotated[timedelta, DurationType()]
Share = Annotated[float, ShareType()]
Count = Annotated[int, CountType()]
YesNo = Annotated[Flag, ChoiceType(Flag)]


def block_settings(block: type[msgspec.Struct]) -> dict[str, tuple[str, Any]]:
    """What may stand in a block: setting's word to field name and reader."""
    found = {}
    for name, hint in get_type_hints(block, include_extras=True).items():
        parts = [hint, *get_args(hint)]  # also inside `X | None`
        reader = next((p.__metadata__[0] for p in parts if hasattr(p, "__metadata__")), None)
        if reader is not None:
            found[name.rstrip("_").replace("_", "-")] = (name, reader)
    return found
