"""The `member` and `follow` blocks of the settings file: a control plane's member, and who follows it."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated

import msgspec

from willownotch.settings.types import (
    AddressType,
    CountType,
    DurationType,
    ListType,
    NamedBlocks,
    SizeType,
    TextType,
)

TENTH, MINUTE, HOUR = timedelta(milliseconds=100), timedelta(minutes=1), timedelta(hours=1)
FOLDER = TextType("the path of a folder of its own")


class MemberSettings(msgspec.Struct, frozen=True):
    """One member: its folder, the voters, and what it allows its followers. Its name is that of `peers`."""

    folder: Annotated[str, FOLDER] | None = None  # off where it is not set
    voters: Annotated[tuple[str, ...], ListType(TextType("a member's name"))] = ()  # the same everywhere
    followers: Annotated[tuple[str, int], AddressType()] | None = None  # where senders ask, by datagrams
    reference: Annotated[str, TextType("the path of a sender's configuration")] | None = None  # that every
    # change is tried on before it is accepted
    lease: Annotated[timedelta, DurationType(2 * TENTH, MINUTE)] = timedelta(seconds=3)
    history: Annotated[int, CountType(16, 100_000)] = 4096  # changes kept for differences and roll-back
    most_followers: Annotated[int, CountType(1, 10_000)] = 400
    admissions: Annotated[int, CountType(1, 10_000)] = 50  # new followers a second
    copies: Annotated[int, CountType(1, 1000)] = 4  # whole copies served at once
    rate: Annotated[int, SizeType(4096, 10**9)] = 400_000  # bytes a second to all followers together
    remember: Annotated[timedelta, DurationType(TENTH, 24 * HOUR)] = 10 * MINUTE  # who is unheard

    def enabled(self) -> bool:
        """Whether this is a member."""
        return self.folder is not None

    def faults(self) -> list[tuple[str, str]]:
        """What does not go together."""
        found = []
        if len(set(self.voters)) != len(self.voters):
            found.append(("voters", "'voters' names one twice, allowed: each once"))
        if self.enabled() and len(self.voters) % 2 == 0:
            found.append(("voters", f"'voters' has {len(self.voters)} names, wanted: an odd number"))
        if self.enabled() and self.followers is None:
            found.append(("folder", "a member without 'followers', wanted: an address to be asked at"))
        return found


class FollowedSettings(msgspec.Struct, frozen=True):
    """A member that may be followed."""

    address: Annotated[tuple[str, int], AddressType()] | None = None
    zone: Annotated[str, TextType("a zone's name")] = ""
    region: Annotated[str, TextType("a region's name")] = ""

    def faults(self) -> list[tuple[str, str]]:
        """A member that nobody can find."""
        return [] if self.address is not None else [("address", "a member without 'address', wanted: one")]


class FollowSettings(msgspec.Struct, frozen=True):
    """Whom a sender follows, and how often it asks."""

    folder: Annotated[str, FOLDER] | None = None  # off where it is not set
    keys: Annotated[str, TextType("the path of a file with keys")] | None = None
    listen: Annotated[tuple[str, int], AddressType()] = ("127.0.0.1", 0)  # where it asks from
    name: Annotated[str, TextType("a name that no other has")] | None = None  # else the configuration's
    zone: Annotated[str, TextType("a zone's name")] = ""
    region: Annotated[str, TextType("a region's name")] = ""
    member: Annotated[dict[str, FollowedSettings], NamedBlocks(FollowedSettings)] = {}
    period: Annotated[timedelta, DurationType(TENTH, HOUR)] = timedelta(seconds=3)  # between two polls
    patience: Annotated[timedelta, DurationType(timedelta(milliseconds=10), HOUR)] = timedelta(seconds=1)
    # for an answer; three in a row that do not come, and another member is followed
    home: Annotated[timedelta, DurationType(TENTH, HOUR)] = timedelta(
        seconds=60
    )  # between two looks at the own
    # zone's member, where another is followed
    rate: Annotated[int, SizeType(4096, 10**9)] = 200_000  # bytes a second asked for in a whole copy
    budget: Annotated[int, SizeType(1024, 10**9)] = 7000  # bytes a second in all else

    def enabled(self) -> bool:
        """Whether a member is followed."""
        return self.folder is not None

    def faults(self) -> list[tuple[str, str]]:
        """What does not go together."""
        found = []
        if self.enabled() and self.keys is None:
            found.append(("folder", "'folder' without 'keys', wanted: the path of a file with keys"))
        if self.enabled() and not self.member:
            found.append(("folder", "'folder' without a block 'member', wanted: one or more"))
        if self.patience >= self.period:
            found.append(("patience", "'patience' is not below 'period', allowed: less than 'period'"))
        return found
