"""Value types that a settings block is declared with: each reads one kind of value and describes what it
allows.

A block is a msgspec struct; a field `write_patience: Duration = ...` is the setting `write-patience`. Nothing
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

SIZE_UNITS = {"": 1, "b": 1, "kb": 10**3, "mb": 10**6, "gb": 10**9, "kib": 2**10, "mib": 2**20, "gib": 2**30}
DURATION_UNITS_S = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
NUMBER_AND_UNIT = re.compile(r"([0-9]+(?:\.[0-9]+)?)([A-Za-z%]*)\Z")


class InvalidValueError(ValueError):
    """A value cannot be read or is out of range; the type's `allowed()` says what would be valid."""


def split_unit(text: str) -> tuple[float, str]:
    """Splits a value into its number and its unit in lower case, which is empty where there is none."""
    found = NUMBER_AND_UNIT.match(text)
    if not found:
        raise InvalidValueError
    return float(found[1]), found[2].lower()


def format_size(size: float) -> str:
    """Formats a size in bytes with the largest decimal unit that divides it evenly."""
    for unit, factor in (("GB", 10**9), ("MB", 10**6), ("KB", 10**3)):
        if size >= factor and size % factor == 0:
            return f"{size / factor:g}{unit}"
    return f"{size:g}B"


@dataclass(frozen=True)
class SizeType:
    """A size in bytes, with an optional unit: `512`, `64KB` (1,000), `64KiB` (1,024)."""

    minimum: int = 0
    maximum: float = inf

    def allowed(self) -> str:
        """Describes the allowed values, for error messages."""
        top = f" and {format_size(self.maximum)} at most" if self.maximum < inf else ""
        return f"a size such as 64KB, 4MB or 1GiB, {format_size(self.minimum)} at least{top}"

    def read(self, text: str) -> int:
        """Returns the size in bytes."""
        number, unit = split_unit(text)
        if unit not in SIZE_UNITS or not self.minimum <= number * SIZE_UNITS[unit] <= self.maximum:
            raise InvalidValueError
        return int(number * SIZE_UNITS[unit])


@dataclass(frozen=True)
class DurationType:
    """A duration, always with its unit: `150ms`, `2s`, `5min`."""

    minimum: timedelta = timedelta(0)
    maximum: timedelta = timedelta(days=365)

    def allowed(self) -> str:
        """Describes the allowed values, for error messages."""
        minimum, maximum = self.minimum.total_seconds(), self.maximum.total_seconds()
        return f"a time with its unit (us, ms, s, min, h, d) from {minimum:g}s to {maximum:g}s"

    def read(self, text: str) -> timedelta:
        """Returns the duration."""
        number, unit = split_unit(text)
        if unit not in DURATION_UNITS_S:
            raise InvalidValueError
        duration = timedelta(seconds=number * DURATION_UNITS_S[unit])
        if not self.minimum <= duration <= self.maximum:
            raise InvalidValueError
        return duration


@dataclass(frozen=True)
class ShareType:
    """A share of a whole, written as a percentage: `75%`. The bounds are fractions from 0 to 1."""

    minimum: float = 0.0
    maximum: float = 1.0

    def allowed(self) -> str:
        """Describes the allowed values, for error messages."""
        return f"a share from {self.minimum * 100:g}% to {self.maximum * 100:g}%"

    def read(self, text: str) -> float:
        """Returns the share as a fraction."""
        number, unit = split_unit(text)
        if unit != "%" or not self.minimum <= number / 100 <= self.maximum:
            raise InvalidValueError
        return number / 100


@dataclass(frozen=True)
class CountType:
    """A whole number."""

    minimum: int = 0
    maximum: int = 10**9

    def allowed(self) -> str:
        """Describes the allowed values, for error messages."""
        return f"a whole number from {self.minimum} to {self.maximum}"

    def read(self, text: str) -> int:
        """Returns the number."""
        if not re.fullmatch(r"[0-9]{1,10}", text) or not self.minimum <= int(text) <= self.maximum:
            raise InvalidValueError
        return int(text)


@dataclass(frozen=True)
class NumberType:
    """A number that is not negative: `2.3`."""

    minimum: float = 0.0
    maximum: float = inf

    def allowed(self) -> str:
        """Describes the allowed values, for error messages."""
        return f"a number from {self.minimum:g} to {self.maximum:g}"

    def read(self, text: str) -> float:
        """Returns the number."""
        number, unit = split_unit(text)
        if unit or not self.minimum <= number <= self.maximum:
            raise InvalidValueError
        return number


@dataclass(frozen=True)
class ChoiceType:
    """One of the values of an enumeration."""

    enum_type: type[Enum]

    def allowed(self) -> str:
        """Describes the allowed values, for error messages."""
        return "one of " + ", ".join(str(choice.value) for choice in self.enum_type)

    def read(self, text: str) -> Enum:
        """Returns the member with this value."""
        try:
            return self.enum_type(text)
        except ValueError:
            raise InvalidValueError from None


@dataclass(frozen=True)
class TextType:
    """Any text that is not empty; in quotes if it contains blanks."""

    description: str = "a text"

    def allowed(self) -> str:
        """Describes the allowed values, for error messages."""
        return self.description

    def read(self, text: str) -> str:
        """Returns the text unchanged."""
        if not text:
            raise InvalidValueError
        return text


@dataclass(frozen=True)
class AddressType:
    """An IPv4 address and a port: `127.0.0.1:7946`."""

    def allowed(self) -> str:
        """Describes the allowed values, for error messages."""
        return "an IPv4 address and a port from 0 to 65535, such as 127.0.0.1:7946"

    def read(self, text: str) -> tuple[str, int]:
        """Returns the address and the port."""
        host, _, port = text.rpartition(":")
        parts = host.split(".")
        if len(parts) != 4 or not all(re.fullmatch(r"[0-9]{1,3}", p) and int(p) < 256 for p in parts):
            raise InvalidValueError
        if not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > 65535:
            raise InvalidValueError
        return host, int(port)


@dataclass(frozen=True)
class ListType:
    """One or more values of one type in a line."""

    item: Any

    def allowed(self) -> str:
        """Describes the allowed values, for error messages."""
        return f"one or more of: {self.item.allowed()}"


class Flag(Enum):
    """The values `yes` and `no`, as an enumeration that is true for `yes`."""

    YES = "yes"
    NO = "no"

    def __bool__(self) -> bool:
        """`yes` is true."""
        return self is Flag.YES


@dataclass(frozen=True)
class NamedBlocks:
    """Blocks that each have a name, such as `class slot-status { ... }`: a dict of structs by name."""

    block: type[msgspec.Struct]


@dataclass(frozen=True)
class NestedBlock:
    """A block without a name, such as `bodies { ... }`, which may appear once."""

    block: type[msgspec.Struct]


Size = Annotated[int, SizeType()]
Duration = Annotated[timedelta, DurationType()]
Share = Annotated[float, ShareType()]
Count = Annotated[int, CountType()]
YesNo = Annotated[Flag, ChoiceType(Flag)]


def block_settings(block: type[msgspec.Struct]) -> dict[str, tuple[str, Any]]:
    """Returns what a block may contain: each setting's word with the name of its field and its value type."""
    found = {}
    for name, hint in get_type_hints(block, include_extras=True).items():
        parts = [hint, *get_args(hint)]  # also inside `X | None`
        value_type = next((p.__metadata__[0] for p in parts if hasattr(p, "__metadata__")), None)
        if value_type is not None:
            found[name.rstrip("_").replace("_", "-")] = (name, value_type)
    return found
