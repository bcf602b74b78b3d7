"""An attempt to deliver a message, called a relay here, and how it ended."""

from __future__ import annotations

import socket
import threading
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from willownotch.interface import Outcome
from willownotch.journal.records import AcceptedMessage
from willownotch.net.clock import ZERO
from willownotch.net.registry import Host

DEADLINE_MARGIN = timedelta(milliseconds=100)  # a message's time started before its first byte was read here


@dataclass(slots=True, eq=False)
class Relay:
    """One attempt at a delivery, as the decision loop hands it out."""

    message: AcceptedMessage
    number: int
    endpoint: int  # the decision module's number of the host
    host: Host | None  # as listed at that time; never None for a relay that reaches a worker
    begun_at: datetime
    ends_at: datetime  # when it stops being waited for
    cancelled: bool = False
    started: bool = False  # its record is written, so its first byte may have been sent
    sock: socket.socket | None = None
    lock: threading.Lock = field(default_factory=threading.Lock)
    remote: bool = False  # made by the previous process, which reports its end
    reported: bool = False  # its end was reported
    same_call: tuple[Relay, ...] = ()  # all relays of its call, if there are several
    overdue: bool = False  # its time is up, but its call goes on for others
    repeatable: bool = True
    stopping: bool = False  # it was decided on after SIGTERM

    def is_awaited(self) -> bool:
        """Whether its call is still kept open on its account."""
        return not (self.reported or self.overdue or self.cancelled)

    def next_deadline(self) -> datetime:
        """The next time at which it needs attention while its call goes on."""
        return self.ends_at if self.is_awaited() else self.message.ends_at - DEADLINE_MARGIN


@dataclass(slots=True)
class RelayEnded:
    """How a relay ended. `over`: the host has finished with the message too, so nothing is left to do."""

    relay: Relay
    outcome: Outcome
    took: timedelta = ZERO
    wait: timedelta = ZERO
    no_slot: bool = False
    over: bool = False
    room_left: float | None = None
    limit_per_s: float | None = None
    unreadable: bool = False  # an answer came, but it could not be parsed
    lost: bool = False  # the message's body is missing or damaged
