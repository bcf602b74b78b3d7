"""The `peers` block of the settings file. The membership is off unless `listen` is set."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated

import msgspec

from willownotch.settings.types import AddressType, CountType, DurationType, ListType, SizeType, TextType

TENTH, HOUR = timedelta(milliseconds=100), timedelta(hours=1)


class PeersSettings(msgspec.Struct, frozen=True):
    """Settings of the membership protocol. Timeouts are those of a healthy member; one whose probes go
    unanswered lengthens its own."""

    listen: Annotated[tuple[str, int], AddressType()] | None = None  # off without it
    advertise: Annotated[tuple[str, int], AddressType()] | None = None  # if others reach it elsewhere
    name: Annotated[str, TextType("a name that no other has")] | None = None  # default: the configuration's
    keys: Annotated[str, TextType("the path of a file with keys")] | None = None
    seeds: Annotated[tuple[tuple[str, int], ...], ListType(AddressType())] = ()
    budget: Annotated[int, SizeType(4096, 10**9)] = 128_000  # bytes sent per second at most
    period: Annotated[timedelta, DurationType(TENTH, HOUR)] = timedelta(seconds=1)  # between two probes
    patience: Annotated[timedelta, DurationType(timedelta(milliseconds=10), HOUR)] = timedelta(
        milliseconds=500
    )  # for the answer to a direct probe
    indirect: Annotated[int, CountType(0, 10)] = 3  # members asked for an indirect probe
    suspicion: Annotated[int, CountType(1, 20)] = 4  # x period x log10(members): until a suspect is dead
    suspicion_most: Annotated[int, CountType(1, 20)] = 6  # x that, while no other member suspects it too
    health_most: Annotated[int, CountType(0, 20)] = 8  # timeouts grow up to this number + 1 times
    gossip: Annotated[timedelta, DurationType(timedelta(milliseconds=10), HOUR)] = timedelta(milliseconds=200)
    fanout: Annotated[int, CountType(0, 10)] = 3  # members that rumours are sent to in each gossip interval
    retransmit: Annotated[int, CountType(1, 20)] = 4  # x log10(members): times that a rumour is passed on
    sync: Annotated[timedelta, DurationType(TENTH, HOUR)] = timedelta(seconds=30)  # between full-state syncs
    rejoin: Annotated[timedelta, DurationType(TENTH, HOUR)] = timedelta(seconds=10)  # between retries of the
    # dead
    remember: Annotated[timedelta, DurationType(TENTH, timedelta(days=30))] = timedelta(hours=24)  # the dead

    def faults(self) -> list[tuple[str, str]]:
        """Settings that contradict each other: the name of one, and the message."""
        found = []
        if self.patience >= self.period:
            found.append(("patience", "'patience' is not below 'period', allowed: less than 'period'"))
        if self.listen is not None and self.keys is None:
            found.append(("listen", "'listen' without 'keys', wanted: the path of a file with keys"))
        return found
