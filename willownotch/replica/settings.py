"""The `replica` block of the settings file. Off unless a class asks for acknowledgements; needs `peers`."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated

import msgspec

from willownotch.settings.types import CountType, DurationType, NamedBlocks, ShareType, SizeType

MOST = 8  # replicas and acknowledgements


class ClassReplica(msgspec.Struct, frozen=True):
    """How one class is treated."""

    acks: Annotated[int, CountType(0, MOST)] | None = None


class ReplicaSettings(msgspec.Struct, frozen=True):
    """How messages are copied, and what a promise waits for."""

    copies: Annotated[int, CountType(1, MOST)] = 2  # R: further senders that hold each message
    acks: Annotated[int, CountType(0, MOST)] = 0  # W: copies that a promise waits for; 0: not copied at all
    witnesses: Annotated[int, CountType(1, 15)] = 5  # that grant terms, a majority of them each
    lease: Annotated[timedelta, DurationType(timedelta(milliseconds=200), timedelta(minutes=5))] = timedelta(
        seconds=3
    )
    patience: Annotated[timedelta, DurationType(timedelta(milliseconds=10), timedelta(milliseconds=250))] = (
        timedelta(milliseconds=200)
    )  # that a client's answer waits for copies
    rate: Annotated[int, SizeType(4096, 10**9)] = 1_000_000  # bytes a second of repair
    room: Annotated[float, ShareType(0.01, 0.9)] = 0.25  # of disk_mb, for copies of others' messages
    class_: Annotated[dict[str, ClassReplica], NamedBlocks(ClassReplica)] = {}

    def wanted(self, name: str) -> int:
        """W of a class."""
        own = self.class_.get(name)
        return self.acks if own is None or own.acks is None else own.acks

    def asked(self) -> set[int]:
        """Every W that some class asks for, 0 left out."""
        return {self.acks, *(own.acks or 0 for own in self.class_.values())} - {0}

    def enabled(self) -> bool:
        """Whether anything is to be copied, or held for others."""
        return bool(self.asked())

    def faults(self) -> list[tuple[str, str]]:
        """What does not go together."""
        found = []
        most = max(self.asked(), default=0)
        if most > self.copies:
            found.append(("copies", f"'copies' is below 'acks', wanted: {most} at least"))
        if self.witnesses % 2 == 0:
            found.append(("witnesses", "'witnesses' is even, wanted: an odd number"))
        return found
