"""The `lease` block of the settings file. Leases are off unless it names electors and duties; they need the
`peers` block."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated

import msgspec

from willownotch.settings.types import CountType, DurationType, ListType, NamedBlocks, TextType

MAX_SPAN = timedelta(minutes=10)


class DutySettings(msgspec.Struct, frozen=True):
    """Settings of one duty."""

    canary: Annotated[timedelta, DurationType(timedelta(milliseconds=10), MAX_SPAN)] | None = None  # between
    # acts whose only purpose is to show that the duty is held


class LeaseSettings(msgspec.Struct, frozen=True):
    """Which members grant duties, which duties there are, and how long a lease is."""

    electors: Annotated[tuple[str, ...], ListType(TextType("a sender's name"))] = ()  # alike on all senders
    span: Annotated[timedelta, DurationType(timedelta(milliseconds=200), MAX_SPAN)] = timedelta(seconds=3)
    candidates: Annotated[int, CountType(1, 64)] = 3  # best-ranked alive members that may request a duty
    duty: Annotated[dict[str, DutySettings], NamedBlocks(DutySettings)] = {}

    def enabled(self) -> bool:
        """Whether both electors and duties are set."""
        return bool(self.electors) and bool(self.duty)

    def faults(self) -> list[tuple[str, str]]:
        """Settings that contradict each other: the name of one, and the message."""
        found = []
        if len(set(self.electors)) != len(self.electors):
            found.append(("electors", "'electors' names one twice, allowed: each once"))
        if self.duty and not self.electors:
            found.append(("duty", "a duty without 'electors', wanted: the names of three or five senders"))
        if self.electors and len(self.electors) % 2 == 0:
            found.append(("electors", f"'electors' has {len(self.electors)} names, wanted: an odd number"))
        return found
