"""What comes in through the owner's queue, and the answers that go back: typed values, nothing else."""

from __future__ import annotations

import queue
import threading
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

from willownotch.bodies.plan import Admission
from willownotch.handover.state import HandoverState
from willownotch.journal.records import AcceptedMessage
from willownotch.net.clock import ZERO
from willownotch.net.config import Config, ListUpdate
from willownotch.net.endpoint_side import RelayEnded
from willownotch.net.pending import PendingReply

if TYPE_CHECKING:
    from willownotch.replica.core import Expired, Lost, Won
    from willownotch.shared.service import BudgetParts, EndpointFindings


class Verdict(Enum):
    """The answer to a client's hand-in."""

    ACCEPTED = "taken"
    REJECTED = "back off"
    FAILED = "failed"
    CONFLICT = "conflict"  # the id is another message's
    MOVED = "moved"  # another process decides now: it is to have the request


@dataclass(frozen=True, slots=True)
class Answer:
    """A verdict, and how long to stay away."""

    verdict: Verdict
    retry: timedelta = ZERO
    reason: str = "decided"  # of a rejection, as it is counted


@dataclass(slots=True)
class HandIn:
    """A message from a client, read whole and found valid."""

    message: AcceptedMessage
    pending: PendingReply[Answer]


@dataclass(slots=True)
class MakeRoom:
    """A hand-in's body finds room only if others end. Answered with whether they did."""

    message: AcceptedMessage
    admission: Admission
    pending: PendingReply[bool]


@dataclass(slots=True)
class BodyLost:
    """The body of a message was found missing or damaged."""

    ref: str


@dataclass(slots=True)
class Withdraw:
    """The client was gone before it could hear that its message was taken on; `pending` was its wait."""

    ref: str
    pending: PendingReply | None


@dataclass(slots=True)
class Noticed:
    """These messages' notices were answered."""

    refs: list[str]


@dataclass(slots=True)
class TenantParts:
    """This sender's parts of tenants' quotas, by name, as counted over all senders."""

    parts: dict[str, float]


@dataclass(slots=True)
class HandOver:
    """Another process asks for everything: stand still between two rounds, and go by what is decided."""

    pending: PendingReply[HandoverState | None]
    decided: queue.SimpleQueue[bool]  # whether it has been given away


@dataclass(slots=True)
class RemoteEnded:
    """A call that the process before this one had out has ended, or `gone`: with it, all that were left."""

    ref: str = ""
    number: int = 0
    ended: RelayEnded | None = None
    gone: bool = False


@dataclass(slots=True)
class SharedStateUpdate:
    """What other senders share: parts of budgets, or what they have found of endpoints."""

    found: BudgetParts | EndpointFindings


@dataclass(slots=True)
class Copied:
    """Others hold a message, so its client may be told; or (not `ok`) too few do, and it is turned away."""

    ref: str
    pending: PendingReply | None
    ok: bool


@dataclass(slots=True)
class MayTell:
    """Others hold a message's end: its notice may go out."""

    ref: str


@dataclass(slots=True)
class BookAcquired:
    """A book is this sender's from now on, with what was found in its copies."""

    won: Won


@dataclass(slots=True)
class BookLost:
    """A book is another sender's: nothing in it may be sent or ended here."""

    lost: Lost


@dataclass(slots=True)
class BookExpired:
    """Messages of a book that nobody could be made owner of, at their deadlines."""

    expired: Expired


@dataclass(slots=True)
class Flush:
    """All that was posted before this has been dealt with."""

    done: threading.Event


@dataclass(slots=True)
class SettingsUpdate:
    """A new configuration, read whole and found sound."""

    config: Config


@dataclass(slots=True)
class Stop:
    """SIGTERM has come."""


Item = (
    HandIn
    | MakeRoom
    | BodyLost
    | Withdraw
    | RelayEnded
    | RemoteEnded
    | ListUpdate
    | Noticed
    | TenantParts
    | HandOver
    | SharedStateUpdate
    | Copied
    | MayTell
    | BookAcquired
    | BookLost
    | BookExpired
    | Flush
    | SettingsUpdate
    | Stop
)
