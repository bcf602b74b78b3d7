"""The `shared` block of the settings file. Nothing is shared unless it says so; it requires `peers`."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated

import msgspec

from willownotch.settings.types import CountType, DurationType, Flag, ListType, ShareType, TextType, YesNo

HALF_S = timedelta(milliseconds=500)


class SharedSettings(msgspec.Struct, frozen=True):
    """What is shared, and how long a value from another sender is valid."""

    budgets: YesNo = Flag.NO  # tenants' quotas are held in parts that senders lend each other
    instances: Annotated[int, CountType(1, 4096)] | None = None  # at once; else the configuration's number
    # Tenants whose messages above the quota are rejected.
    hard: Annotated[tuple[str, ...], ListType(TextType("a tenant's name"))] = ()
    loan: Annotated[timedelta, DurationType(HALF_S, timedelta(minutes=5))] = timedelta(seconds=3)
    exchange: Annotated[timedelta, DurationType(timedelta(milliseconds=20), 20 * HALF_S)] = 0.4 * HALF_S
    keep: Annotated[float, ShareType(0.0, 1.0)] = 0.1  # share of the own part that is never lent
    judgements: YesNo = Flag.NO  # senders tell each other which endpoints fail
    # How long a judgement is valid.
    judgement: Annotated[timedelta, DurationType(HALF_S, timedelta(minutes=10))] = 10 * HALF_S
    # How many other senders must agree before their judgement counts here.
    sources: Annotated[int, CountType(1, 16)] = 2
    # The share of a destination's endpoints that others' judgements may mark as failing.
    most_share: Annotated[float, ShareType(0.0, 1.0)] = 0.5
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
