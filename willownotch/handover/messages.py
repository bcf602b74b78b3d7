"""What the two processes tell each other after the hand-over, besides connections."""

from __future__ import annotations

from datetime import datetime, timedelta

import msgspec

from willownotch.interface import Outcome
from willownotch.net.endpoint_side import RelayEnded


class CallEnded(msgspec.Struct, array_like=True):
    """A call that was out in the old process has ended."""

    ref: str
    number: int
    destination: int
    outcome: Outcome
    took: timedelta
    wait: timedelta
    no_slot: bool
    over: bool
    room_left: float | None
    limit_per_s: float | None
    unreadable: bool

    def ended(self) -> RelayEnded:
        """As the owner takes it, the relay still to be filled in."""
        return RelayEnded(
            None,
            self.outcome,
            self.took,
            self.wait,
            self.no_slot,
            self.over,
            self.room_left,
            self.limit_per_s,
            self.unreadable,
        )


class CancelAttempt(msgspec.Struct, array_like=True):
    """The new process waits no more for a call."""

    ref: str
    number: int


class Client(msgspec.Struct, array_like=True):
    """A client's connection: what it asked and is not answered, since when, and how much it asked before.

    `number` is what the new process answers it by; 0 where an older version waits for no answer. `read_at` is
    when the request had been read whole: the time in which it is to be answered runs from there.
    """

    request: bytes
    arrived: datetime | None
    asked: int
    number: int = 0
    read_at: datetime | None = None


class Adopted(msgspec.Struct, array_like=True):
    """The answer to `Client`, whether its connection was taken or not."""

    number: int


class Withdrawn(msgspec.Struct, array_like=True):
    """A client was gone before it could hear that its message was taken on."""

    ref: str


def call_ended(ended: RelayEnded) -> CallEnded:
    """What the new process has to know of a call's end."""
    relay = ended.relay
    return CallEnded(
        relay.message.ref,
        relay.number,
        relay.message.destination,
        ended.outcome,
        ended.took,
        ended.wait,
        ended.no_slot,
        ended.over,
        ended.room_left,
        ended.limit_per_s,
        ended.unreadable,
    )
