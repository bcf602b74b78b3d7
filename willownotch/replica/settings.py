"""The `replica` block of the settings file. Off unless a class asks for acknowledgements; needs `peers`."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated

import msgspec

from willownotch.settings.types import CountType, DurationType, NamedBlocks, ShareType, SizeType

MAX_COPIES = 8  # also the maximum of acknowledgements


class ClassReplica(msgspec.Struct, frozen=True):
    """Settings of one class."""

    acks: Annotated[int, CountType(0, MAX_COPIES)] | None = None


class ReplicaSettings(msgspec.Struct, frozen=True):
    """How messages are replicated, and how many copies a 202 waits for."""

    copies: Annotated[int, CountType(1, MAX_COPIES)] = 2  # R: other senders that hold each message
    acks: Annotated[int, CountType(0, MAX_COPIES)] = (
        0  # W: copies that a promise waits for; 0: not copied at all
    )
    witnesses: Annotated[int, CountType(1, 15)] = 5  # members that grant terms, by majority
    lease: Annotated[timedelta, DurationType(timedelta(milliseconds=200), timedelta(minutes=5))] = timedelta(
        seconds=3
    )
    patience: Annotated[timedelta, DurationType(timedelta(milliseconds=10), timedelta(milliseconds=250))] = (
        timedelta(milliseconds=200)
    )  # how long a client's answer waits for copies
    rate: Annotated[int, SizeType(4096, 10**9)] = 1_000_000  # bytes per second for filling replicas
    room: Annotated[float, ShareType(0.01, 0.9)] = (
        0.25  # share of disk_mb for copies of other senders' messages
    )
    class_: Annotated[dict[str, ClassReplica], NamedBlocks(ClassReplica)] = {}

    def required_acks(self, name: str) -> int:
        """Returns W of a class."""
        own = self.class_.get(name)
        return self.acks if own is None or own.acks is None else own.acks

    def ack_levels(self) -> set[int]:
        """Returns every W in use, without 0."""
        return {self.acks, *(own.acks or 0 for own in self.class_.values())} - {0}

    def enabled(self) -> bool:
        """Whether messages are replicated, here and for other senders."""
        return bool(self.ack_levels())

    def faults(self) -> list[tuple[str, str]]:
        """Returns settings that contradict each other, as (name, message)."""
        found = []
        most = max(self.ack_levels(), default=0)
        if most > self.copies:
            found.append(("copies", f"'copies' is below 'acks', wanted: {most} at least"))
        if self.witnesses % 2 == 0:
            found.append(("witnesses", "'witnesses' is even, wanted: an odd number"))
        return found
