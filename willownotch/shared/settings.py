"""The `shared` block of the settings file. Off unless it says so; needs `peers`."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated

import msgspec

from willownotch.settings.types import CountType, DurationType, Flag, ListType, ShareType, TextType, YesNo

HALF = timedelta(milliseconds=500)


class SharedSettings(msgspec.Struct, frozen=True):
    """What is shared, and for how long what was heard counts."""

    budgets: YesNo = Flag.NO  # tenants' quotas are held in parts, which senders lend each other
    instances: Annotated[int, CountType(1, 4096)] | None = None  # at once; else the configuration's number
    hard: Annotated[tuple[str, ...], ListType(TextType("a tenant's name"))] = ()  # turned away above quota
    loan: Annotated[timedelta, DurationType(HALF, timedelta(minutes=5))] = timedelta(seconds=3)
    exchange: Annotated[timedelta, DurationType(timedelta(milliseconds=20), 20 * HALF)] = 0.4 * HALF
    keep: Annotated[float, ShareType(0.0, 1.0)] = 0.1  # of the own part, never lent
    judgements: YesNo = Flag.NO  # what is found of endpoints is told to others
    judgement: Annotated[timedelta, DurationType(HALF, timedelta(minutes=10))] = 10 * HALF  # that it counts
    sources: Annotated[int, CountType(1, 16)] = 2  # that must say so before it counts here
    most_share: Annotated[float, ShareType(0.0, 1.0)] = 0.5  # of a destination's endpoints, held for down so
    rows: Annotated[int, CountType(16, 10**6)] = 4096  # sources x endpoints remembered at the most

    def enabled(self) -> bool:
        """Whether anything is shared."""
        return bool(self.budgets) or bool(self.judgements)

    def faults(self) -> list[tuple[str, str]]:
        """What does not go together."""
        if self.exchange * 4 > self.loan:
            return [("loan", "'loan' is below 4 x 'exchange', wanted: at least that")]
        if self.hard and not self.budgets:
            return [("hard", "'hard' without 'budgets yes', wanted: 'budgets yes'")]
        return []
