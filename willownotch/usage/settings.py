"""The `usage` block of the settings file. Off unless `count yes`; needs the `peers` block to reach others."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated

import msgspec

from willownotch.settings.types import CountType, DurationType, Flag, ShareType, YesNo

TENTH, HOUR, DAY = timedelta(milliseconds=100), timedelta(hours=1), timedelta(days=1)


class UsageSettings(msgspec.Struct, frozen=True):
    """How usage is counted, and how the counts are exchanged."""

    count: YesNo = Flag.NO
    exchange: Annotated[timedelta, DurationType(timedelta(milliseconds=20), HOUR)] = timedelta(
        milliseconds=200
    )  # time between exchanges
    fanout: Annotated[int, CountType(1, 16)] = 3  # instances asked in each exchange
    pieces: Annotated[int, CountType(1, 64)] = 8  # most datagrams in a reply
    rows: Annotated[int, CountType(1, 10**6)] = 20_000  # tenants x classes counted separately
    short_window: Annotated[timedelta, DurationType(timedelta(seconds=1), HOUR)] = timedelta(seconds=10)
    long_window: Annotated[timedelta, DurationType(timedelta(seconds=1), DAY)] = timedelta(seconds=60)
    growth: Annotated[float, ShareType(1.0, 10.0)] = 1.5  # x the peak rate: assumed while nothing is heard
    settle: Annotated[timedelta, DurationType(timedelta(seconds=1), DAY)] = HOUR  # until closed sessions fold
    gone: Annotated[timedelta, DurationType(timedelta(seconds=2), 30 * DAY)] = (
        DAY  # without news of a session, until it counts as over
    )
    share_quotas: YesNo = Flag.NO  # whether the decision module is told this instance's share of each quota
    own_share: Annotated[float, ShareType()] = 0.5  # portion of a quota's rest shared by load, not evenly

    def faults(self) -> list[tuple[str, str]]:
        """Returns the settings that contradict each other, each with a message."""
        found = []
        if self.short_window > self.long_window:
            found.append(
                ("short_window", "'short-window' is above 'long-window', allowed: at most 'long-window'")
            )
        if self.settle > self.gone:
            found.append(("settle", "'settle' is above 'gone', allowed: at most 'gone'"))
        return found
