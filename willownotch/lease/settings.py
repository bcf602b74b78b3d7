"""The `lease` block of the settings file. Off unless it names electors and duties; needs `peers`."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated

import msgspec

from willownotch.settings.types import CountType, DurationType, ListType, NamedBlocks, TextType

MOST = timedelta(minutes=10)


class DutySettings(msgspec.Struct, frozen=True):
    """One duty."""

    canary: Annotated[timedelta, DurationType(timedelta(milliseconds=10), MOST)] | None = None  # between acts
    # that do nothing but show that the duty is held


class LeaseSettings(msgspec.Struct, frozen=True):
    """Who grants duties, which there are, and for how long one is granted."""

    electors: Annotated[tuple[str, ...], ListType(TextType("a sender's name"))] = ()  # the same everywhere
    span: Annotated[timedelta, DurationType(timedelta(milliseconds=200), MOST)] = timedelta(seconds=3)
    candidates: Annotated[int, CountType(1, 64)] = 3  # that ask for a duty, the best placed of those there
    duty: Annotated[dict[str, DutySettings], NamedBlocks(DutySettings)] = {}

    def enabled(self) -> bool:
        """Whether there is anything to hold."""
        return bool(self.electors) and bool(self.duty)

    def faults(self) -> list[tuple[str, str]]:
        """What does not go together."""
        found = []
        if len(set(self.electors)) != len(self.electors):
            found.append(("electors", "'electors' names one twice, allowed: each once"))
        if self.duty and not self.electors:
            found.append(("duty", "a duty without 'electors', wanted: the names of three or five senders"))
        if self.electors and len(self.electors) % 2 == 0:
            found.append(("electors", f"'electors' has {len(self.electors)} names, wanted: an odd number"))
        return found
