"""The `load` block of a settings file: what arrives, when and for whom."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import Annotated

import msgspec

from willownotch.settings.types import (
    ChoiceType,
    CountType,
    DurationType,
    NamedBlocks,
    NestedBlock,
    NumberType,
    ShareType,
    SizeType,
)

MS, HOUR, DAY = timedelta(milliseconds=1), timedelta(hours=1), timedelta(days=1)
Span = Annotated[timedelta, DurationType(timedelta(0), DAY)]
Part = Annotated[float, ShareType(0.0, 1.0)]


class Arrivals(Enum):
    """How arrivals are spread at a steady rate."""

    POISSON = "poisson"  # independent of each other
    CONSTANT = "constant"  # evenly


class Jump(msgspec.Struct, frozen=True):
    """For a while the rate is so many times the usual."""

    at: Span = timedelta(0)
    for_: Annotated[timedelta, DurationType(MS, DAY)] = timedelta(seconds=5)
    times: Annotated[float, NumberType(0.0, 1000.0)] = 2.0


class Ramp(msgspec.Struct, frozen=True):
    """The rate goes evenly from one multiple to another, and stays there."""

    at: Span = timedelta(0)
    for_: Annotated[timedelta, DurationType(MS, DAY)] = timedelta(seconds=30)
    from_: Annotated[float, NumberType(0.0, 1000.0)] = 0.0
    to: Annotated[float, NumberType(0.0, 1000.0)] = 1.0


class Clump(msgspec.Struct, frozen=True):
    """A share of all messages comes in clumps, each for one destination."""

    share: Part = 0.1
    size: Annotated[int, CountType(2, 100_000)] = 10
    over: Annotated[timedelta, DurationType(timedelta(0), HOUR)] = timedelta(milliseconds=200)


class LoadClass(msgspec.Struct, frozen=True):
    """A class of message."""

    share: Part | None = None  # else evenly what the others leave
    time: Annotated[timedelta, DurationType(MS, HOUR)] = timedelta(seconds=16)  # its time left at hand-in
    size: Annotated[int, SizeType(0, 64 * 1024)] = 512
    keys: Annotated[int, CountType(0, 10**7)] = 0  # keys that its messages are spread over; 0 for none
    hot_key: Part = 0.0  # share of them that have one and the same key


class Shared(msgspec.Struct, frozen=True):
    """A destination or a tenant with a share of its own."""

    share: Part = 0.0


class LoadSettings(msgspec.Struct, frozen=True):
    """All that a plan is drawn from."""

    duration: Annotated[timedelta, DurationType(MS, DAY)] = timedelta(seconds=60)
    rate: Annotated[float, NumberType(0.0, 1e6)] = 30.0  # messages a second
    arrivals: Annotated[Arrivals, ChoiceType(Arrivals)] = Arrivals.POISSON
    seed: Annotated[int, CountType()] = 1
    first_destination: Annotated[int, CountType()] = 0
    destinations: Annotated[int, CountType(1, 10**6)] = 1
    connections: Annotated[int, CountType(1, 60_000)] = 256  # to the target, of all workers together
    patience: Annotated[timedelta, DurationType(MS, HOUR)] = timedelta(seconds=30)  # for an answer
    retries: Annotated[int, CountType(0, 100)] = 0  # times that a message turned away comes again
    retry_wait: Annotated[timedelta, DurationType(MS, HOUR)] = timedelta(
        milliseconds=500
    )  # where none is told
    late_most: Annotated[timedelta, DurationType(MS, HOUR)] = timedelta(milliseconds=5)  # p99 of own lateness
    jump: Annotated[dict[str, Jump], NamedBlocks(Jump)] = {}
    ramp: Annotated[dict[str, Ramp], NamedBlocks(Ramp)] = {}
    clump: Annotated[dict[str, Clump], NamedBlocks(Clump)] = {}
    class_: Annotated[dict[str, LoadClass], NamedBlocks(LoadClass)] = {}
    destination: Annotated[dict[str, Shared], NamedBlocks(Shared)] = {}
    tenant: Annotated[dict[str, Shared], NamedBlocks(Shared)] = {}

    def faults(self) -> list[tuple[str, str]]:
        """What does not go together."""
        found = []
        for field in ("class_", "destination", "tenant", "clump"):
            if sum(each.share or 0.0 for each in getattr(self, field).values()) > 1.0 + 1e-9:
                word = field.rstrip("_")
                found.append(
                    (field, f"the shares of all blocks '{word}' are over 100% together, " "allowed: 100%")
                )
        first, last = self.first_destination, self.first_destination + self.destinations - 1
        strange = [name for name in self.destination if not name.isdigit() or not first <= int(name) <= last]
        if strange:
            found.append(("destination", f"unknown destination {strange[0]!r}, allowed: {first} to {last}"))
        return found


class LoadFile(msgspec.Struct, frozen=True):
    """A file for the generator holds the one block."""

    load: Annotated[LoadSettings, NestedBlock(LoadSettings)] = LoadSettings()
