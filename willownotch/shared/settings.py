"""The `shared` block of the settings file. Nothing is shared unless it says so; it requires `peers`."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated

import msgspec

from willownotch.settings.types import CountType, DurationType, Flag, ListType, ShareType, TextType, YesNo

HALF_SECOND = timedelta(milliseconds=500)


class SharedSettings(msgspec.Struct, frozen=True):
    """What is shared, and how long a value from another sender is valid."""

    budgets: YesNo = Flag.NO  # tenants' quotas are held in parts that senders lend each other
    instances: Annotated[int, CountType(1, 4096)] | None = None  # at once; else the configuration's number
    hard: Annotated[tuple[str, ...], ListType(TextType("a tenant's name"))] = ()  # rejected above their quota
    loan: Annotated[timedelta, DurationType(HALF_SECOND, timedelta(minutes=5))] = timedelta(seconds=3)
    exchange: Annotated[timedelta, DurationType(timedelta(milliseconds=20), 20 * HALF_SECOND)] = (
        0.4 * HALF_SECOND
    )
    keep: Annotated[float, ShareType(0.0, 1.0)] = 0.1  # share of the own part that is never lent
    judgements: YesNo = Flag.NO  # senders tell each other which endpoints fail
    judgement: Annotated[timedelta, DurationType(HALF_SECOND, timedelta(minutes=10))] = (
        10 * HALF_SECOND
    )  # how long valid
    sources: Annotated[int, CountType(1, 16)] = (
        2  # senders that must agree before their judgement counts here
    )
    most_share: Annotated[float, ShareType(0.0, 1.0)] = (
        0.5  # of a destination's endpoints, taken for failing so
    )
    rows: Annotated[int, CountType(16, 10**6)] = 4096  # judgements kept, one for each source and endpoint

    def enabled(self) -> bool:
        """Whether anything is shared."""
        return bool(self.budgets) or bool(self.judgements)

    def faults(self) -> list[tuple[str, str]]:
        """Returns settings that contradict each other, as field and error text."""
        if self.exchange * 4 > self.loan:
            return [("loan", "'loan' is below 4 x 'exchange', wanted: at least that")]
        if self.hard and not self.budgets:
            return [("hard", "'hard' without 'budgets yes', wanted: 'budgets yes'")]
        return []
