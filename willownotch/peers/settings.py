"""The `peers` block of the settings file. Off unless it names a listener."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated

import msgspec

from willownotch.settings.types import AddressType, CountType, DurationType, ListType, SizeType, TextType

TENTH, HOUR = timedelta(milliseconds=100), timedelta(hours=1)


class PeersSettings(msgspec.Struct, frozen=True):
    """How members look after each other. Spans are those of a healthy member; a slow one stretches its
    own."""

    listen: Annotated[tuple[str, int], AddressType()] | None = None  # off where it is not set
    advertise: Annotated[tuple[str, int], AddressType()] | None = None  # where others reach it, if elsewhere
    name: Annotated[str, TextType("a name that no other has")] | None = None  # else the configuration's
    keys: Annotated[str, TextType("the path of a file with keys")] | None = None
    seeds: Annotated[tuple[tuple[str, int], ...], ListType(AddressType())] = ()
    budget: Annotated[int, SizeType(4096, 10**9)] = 128_000  # bytes sent a second at the most
    period: Annotated[timedelta, DurationType(TENTH, HOUR)] = timedelta(seconds=1)  # between two probes
    patience: Annotated[timedelta, DurationType(timedelta(milliseconds=10), HOUR)] = timedelta(
        milliseconds=500
    )
    indirect: Annotated[int, CountType(0, 10)] = 3  # members asked to probe for us
    suspicion: Annotated[int, CountType(1, 20)] = 4  # x period x log10(members): until a suspect is dead
    suspicion_most: Annotated[int, CountType(1, 20)] = 6  # x that, while no other member suspects it too
    health_most: Annotated[int, CountType(0, 20)] = 8  # by how much a slow member may stretch its own spans
    gossip: Annotated[timedelta, DurationType(timedelta(milliseconds=10), HOUR)] = timedelta(milliseconds=200)
    fanout: Annotated[int, CountType(0, 10)] = 3  # members that fresh rumours are sent to, beside the probes
    retransmit: Annotated[int, CountType(1, 20)] = 4  # x log10(members): times that a rumour is passed on
    sync: Annotated[timedelta, DurationType(TENTH, HOUR)] = timedelta(seconds=30)  # between two whole states
    rejoin: Annotated[timedelta, DurationType(TENTH, HOUR)] = timedelta(seconds=10)  # of the dead
    remember: Annotated[timedelta, DurationType(TENTH, timedelta(days=30))] = timedelta(hours=24)  # the dead

    def faults(self) -> list[tuple[str, str]]:
        """What does not go together."""
        found = []
        if self.patience >= self.period:
            found.append(("patience", "'patience' is not below 'period', allowed: less than 'period'"))
        if self.listen is not None and self.keys is None:
            found.append(("listen", "'listen' without 'keys', wanted: the path of a file with keys"))
        return found
