"""The decision loop's complete state, as handed over to the next process: plain data."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime

from willownotch.control import Controller
from willownotch.journal.records import AcceptedMessage, Entry, MessageEnded, Record
from willownotch.net.config import Config
from willownotch.net.registry import Host


@dataclass
class OutstandingCall:
    """A call in progress, or one that waits for an earlier message of its key and has not begun (`gated`)."""

    number: int
    endpoint: int
    host: Host | None
    begun_at: datetime
    ends_at: datetime
    gated: bool


@dataclass
class OutstandingMessage:
    """A message without a final outcome, or one that has ended (`over`) with calls still in progress."""

    message: AcceptedMessage
    count: int
    over: bool
    confirmed: bool
    unwritten: bool
    active_relays: list[OutstandingCall]


@dataclass
class HandoverState:
    """The state between two rounds of the decision loop."""

    config: Config
    clock: tuple[datetime, float]
    controller: Controller
    hosts: dict
    timers: list[tuple[datetime, int]]
    outstanding: list[OutstandingMessage]
    live: dict[str, Entry]
    unanswered: list[tuple[AcceptedMessage, MessageEnded]]
    ended: dict[str, datetime]
    unwritten: list[Record]
    discovery: tuple[str, int]
    list_index: int
    left_to_others: list[AcceptedMessage] = field(default_factory=list)
    waits: dict[int, datetime] = field(default_factory=dict)
    # Connections to endpoints that came with the state. Older processes send some, and expect the field.
    idle: list[tuple[int, datetime]] = field(default_factory=list)
