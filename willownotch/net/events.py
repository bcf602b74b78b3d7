"""The items in the decision loop's queue and the answers that it returns. Plain values without behaviour."""

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
from willownotch.net.attempts import RelayEnded
from willownotch.net.clock import ZERO
from willownotch.net.config import Config, ListUpdate
from willownotch.net.pending import PendingReply

if TYPE_CHECKING:
    from willownotch.replica.actions import Acquired, Expired, LateEntries, Lost
    from willownotch.shared.service import BudgetParts, EndpointFindings


class Verdict(Enum):
    """What was decided on a hand-in; the client side turns it into an HTTP status."""

    ACCEPTED = "taken"
    REJECTED = "back off"
    FAILED = "failed"
    CONFLICT = "conflict"  # the id belongs to a different message
    MOVED = "moved"  # another process decides now; the request has to be passed to it


@dataclass(frozen=True, slots=True)
class Answer:
    """A verdict and, for a rejection, how long the client is told to wait before it retries."""

    verdict: Verdict
    retry: timedelta = ZERO
    reason: str = "decided"  # of a rejection; the label that it is counted under


@dataclass(slots=True)
class HandIn:
    """A message from a client, completely read and validated."""

    message: AcceptedMessage
    pending: PendingReply[Answer]


@dataclass(slots=True)
class MakeRoom:
    """Asks the loop to end less valuable messages, so that the body of `message` can be stored.

    The reply is True once the round that did so is over, and False if another process has taken over.
    """

    message: AcceptedMessage
    admission: Admission
    pending: PendingReply[bool]


@dataclass(slots=True)
class BodyLost:
    """The body of a message is missing or damaged."""

    ref: str


@dataclass(slots=True)
class Withdraw:
    """The client disconnected before it learned that its message was accepted.

    `pending` is the reply of that hand-in and proves that the request comes from it.
    """

    ref: str
    pending: PendingReply | None


@dataclass(slots=True)
class NoticesAnswered:
    """The platform has answered the notices of these messages."""

    refs: list[str]


@dataclass(slots=True)
class TenantParts:
    """This sender's part of each tenant's quota, by tenant name, computed from the usage of all senders."""

    parts: dict[str, float]


@dataclass(slots=True)
class HandOver:
    """Another process asks to take over. The loop pauses between two rounds until `decided` has a value."""

    pending: PendingReply[HandoverState | None]
    decided: queue.SimpleQueue[bool]  # True: the other process has taken over


@dataclass(slots=True)
class RemoteEnded:
    """A call of the previous process has ended. With `gone`, that process exited and its calls ended with
    it."""

    ref: str = ""
    number: int = 0
    ended: RelayEnded | None = None
    gone: bool = False


@dataclass(slots=True)
class SharedStateUpdate:
    """State shared by the other senders: parts of budgets, or judgements on endpoints."""

    found: BudgetParts | EndpointFindings


@dataclass(slots=True)
class ReplicationEnded:
    """Replication of a message has ended. With `ok`, enough senders hold a copy and its client gets its 202;
    otherwise the message is rejected."""

    ref: str
    pending: PendingReply | None
    ok: bool


@dataclass(slots=True)
class NoticeReplicated:
    """Enough senders hold the final outcome of a message, so its notice may be sent."""

    ref: str


@dataclass(slots=True)
class BookAcquired:
    """This sender has become the owner of a book, a set of messages that are replicated together."""

    acquired: Acquired


@dataclass(slots=True)
class LateEntriesFound:
    """Messages of an owned book that a member held and the takeover did not bring."""

    late: LateEntries


@dataclass(slots=True)
class BookLost:
    """Another sender owns a book now: its messages may be neither sent nor ended here."""

    lost: Lost


@dataclass(slots=True)
class BookExpired:
    """Messages of a book that still had no owner when their deadlines passed."""

    expired: Expired


@dataclass(slots=True)
class Flush:
    """Sets `done` once everything that was posted earlier has been processed."""

    done: threading.Event


@dataclass(slots=True)
class SettingsUpdate:
    """A new configuration, completely read and validated."""

    config: Config


@dataclass(slots=True)
class Stop:
    """SIGTERM was received."""


QueueItem = (
    HandIn
    | MakeRoom
    | BodyLost
    | Withdraw
    | RelayEnded
    | RemoteEnded
    | ListUpdate
    | NoticesAnswered
    | TenantParts
    | HandOver
    | SharedStateUpdate
    | ReplicationEnded
    | NoticeReplicated
    | BookAcquired
    | LateEntriesFound
    | BookLost
    | BookExpired
    | Flush
    | SettingsUpdate
    | Stop
)
