"""What the two processes send each other after the hand-over, besides connections."""

from __future__ import annotations

from datetime import datetime, timedelta

import msgspec

from willownotch.interface import Outcome
from willownotch.net.attempts import RelayEnded


class CallEnded(msgspec.Struct, array_like=True):
    """The result of a call that was in progress in the old process."""

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

    def as_relay_ended(self) -> RelayEnded:
        """Return the event for the decision loop, which fills in the relay."""
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
    """The new process does not wait for a call any more."""

    ref: str
    number: int


class Client(msgspec.Struct, array_like=True):
    """A client's connection: its unanswered request, when that began to arrive, and how many came before it.

    `number` identifies the connection in the new process's answer; 0 from an older version, which does not
    wait for one. `read_at` is when the request was read completely; the time to answer it starts then.
    """

    request: bytes
    arrived: datetime | None
    asked: int
    number: int = 0
    read_at: datetime | None = None


class Adopted(msgspec.Struct, array_like=True):
    """The answer to `Client`; the frame's kind says whether the connection was adopted."""

    number: int


class Withdrawn(msgspec.Struct, array_like=True):
    """A client disconnected before it could be told that its message was accepted."""

    ref: str


def call_ended(ended: RelayEnded) -> CallEnded:
    """Return what the new process needs to know about the end of a call."""
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
