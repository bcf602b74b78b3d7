"""The `member` and `follow` blocks of the settings file: a member of the control plane, and its followers."""

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

TENTH_SECOND, MINUTE, HOUR = timedelta(milliseconds=100), timedelta(minutes=1), timedelta(hours=1)
FOLDER = TextType("the path of a folder of its own")


class MemberSettings(msgspec.Struct, frozen=True):
    """One member: its folder, the voters, and the limits for its followers. Its name is in `peers`."""

    folder: Annotated[str, FOLDER] | None = None  # without it, no member runs
    voters: Annotated[tuple[str, ...], ListType(TextType("a member's name"))] = ()  # the same at all members
    followers: Annotated[tuple[str, int], AddressType()] | None = None  # UDP address for followers
    # Every change is applied to the reference configuration, and refused if the result is not valid.
    reference: Annotated[str, TextType("the path of a sender's configuration")] | None = None
    lease: Annotated[timedelta, DurationType(2 * TENTH_SECOND, MINUTE)] = timedelta(seconds=3)
    history: Annotated[int, CountType(16, 100_000)] = 4096  # commits kept for deltas and rollbacks
    most_followers: Annotated[int, CountType(1, 10_000)] = 400
    admissions: Annotated[int, CountType(1, 10_000)] = 50  # new followers admitted a second
    copies: Annotated[int, CountType(1, 1000)] = 4  # full copies served at once
    rate: Annotated[int, SizeType(4096, 10**9)] = 400_000  # bytes a second to all followers together
    remember: Annotated[timedelta, DurationType(TENTH_SECOND, 24 * HOUR)] = 10 * MINUTE  # unheard followers

    def enabled(self) -> bool:
        """Whether the process runs a member."""
        return self.folder is not None

    def faults(self) -> list[tuple[str, str]]:
        """Settings that contradict each other: the name of the setting, and the message."""
        found = []
        if len(set(self.voters)) != len(self.voters):
            found.append(("voters", "'voters' names one twice, allowed: each once"))
        if self.enabled() and len(self.voters) % 2 == 0:
            found.append(("voters", f"'voters' has {len(self.voters)} names, wanted: an odd number"))
        if self.enabled() and self.followers is None:
            found.append(("folder", "a member without 'followers', wanted: an address to be asked at"))
        return found


class FollowedSettings(msgspec.Struct, frozen=True):
    """A member that a sender can follow."""

    address: Annotated[tuple[str, int], AddressType()] | None = None
    zone: Annotated[str, TextType("a zone's name")] = ""
    region: Annotated[str, TextType("a region's name")] = ""

    def faults(self) -> list[tuple[str, str]]:
        """The missing address, if it is: the name of the setting, and the message."""
        return [] if self.address is not None else [("address", "a member without 'address', wanted: one")]


class FollowSettings(msgspec.Struct, frozen=True):
    """The members that a sender can follow, and how often it polls."""

    folder: Annotated[str, FOLDER] | None = None  # without it, the sender follows no member
    keys: Annotated[str, TextType("the path of a file with keys")] | None = None
    listen: Annotated[tuple[str, int], AddressType()] = ("127.0.0.1", 0)  # the local UDP address
    name: Annotated[str, TextType("a name that no other has")] | None = None  # default: the configuration's
    zone: Annotated[str, TextType("a zone's name")] = ""
    region: Annotated[str, TextType("a region's name")] = ""
    member: Annotated[dict[str, FollowedSettings], NamedBlocks(FollowedSettings)] = {}
    period: Annotated[timedelta, DurationType(TENTH_SECOND, HOUR)] = timedelta(seconds=3)  # between polls
    # How long to wait for a reply; after three missed replies in a row another member is followed.
    patience: Annotated[timedelta, DurationType(timedelta(milliseconds=10), HOUR)] = timedelta(seconds=1)
    # Between probes of the member in the own zone, while a member elsewhere is followed.
    home: Annotated[timedelta, DurationType(TENTH_SECOND, HOUR)] = timedelta(seconds=60)
    rate: Annotated[int, SizeType(4096, 10**9)] = 200_000  # bytes a second requested of a full copy
    budget: Annotated[int, SizeType(1024, 10**9)] = 7000  # bytes a second of all other traffic

    def enabled(self) -> bool:
        """Whether the sender follows a member."""
        return self.folder is not None

    def faults(self) -> list[tuple[str, str]]:
        """Settings that contradict each other: the name of the setting, and the message."""
        found = []
        if self.enabled() and self.keys is None:
            found.append(("folder", "'folder' without 'keys', wanted: the path of a file with keys"))
        if self.enabled() and not self.member:
            found.append(("folder", "'folder' without a block 'member', wanted: one or more"))
        if self.patience >= self.period:
            found.append(("patience", "'patience' is not below 'period', allowed: less than 'period'"))
        return found
