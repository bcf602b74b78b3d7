"""Types, events and actions of the decision module: all that crosses its boundary.

The words are the field's: a *message* goes to a *destination* by a call (an *attempt*) to one of its
*endpoints*. Times are seconds on the caller's clock. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf


class Idempotency(Enum):
    """What a repeat of a message does at the destination."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """Which endpoints of a destination drop repeats of a keyed message."""

    ALL = "all"
    ZONE = "zone"
    ENDPOINT = "cell"


class Decay(Enum):
    """How worth falls after the wanted time."""

    EVEN = "even"
    BY_HALF = "by_half"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    DELIVERED = "delivered"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "called off"
    NOT_SENT = "not sent"


class CallPhase(Enum):
    """In which state of its endpoint an attempt was sent."""

    ORDINARY = "ordinary"
    TRIAL = "trial"  # the endpoint is failing: one at a time, to see whether it is back
    SLOW_START = "slow start"  # it may be cold


class Readiness(Enum):
    """What the list says of an endpoint."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class MessageClass:
    """A class of message: what it is worth, until when, and what a repeat does."""

    name: str
    worth: float
    wanted_s: float
    deadline_s: float
    late_share: float
    idempotency: Idempotency
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_s: float = 0.0
    in_order: bool = False
    cost_hint_factor: float = 0.0
    attempts: int = 0  # for a message at most; 0: as the settings have it


@dataclass(slots=True, frozen=True)
class DestinationKind:
    """A kind of destination: messages in one call, and whether its endpoints are routes apart."""

    name: str
    batch: int = 1
    separate_routes: bool = False


@dataclass(slots=True, frozen=True)
class Tenant:
    """A client account and the rate that is within its share, over all senders."""

    name: str
    quota_per_s: float


@dataclass(slots=True, frozen=True)
class Rules:
    """Figures of the rules."""

    answer_grace_s: float = 0.0
    cold_share: float = 0.2
    cold_s: float = 10.0
    fall_multiple: float = 2.0
    fall_s: float = 1.5
    key_quiet_s: float = 0.0
    ask_within_s: float = 10.0


@dataclass(slots=True, frozen=True)
class Settings:
    """What a sender is handed at its start. Prices are points of the result, zero where none is due."""

    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...]
    slots: int
    holding_room: int
    tenants: tuple[Tenant, ...] = ()
    senders: int = 1
    max_attempts: int = 1
    decay: Decay = Decay.EVEN
    over_share_worth: float = 1.0
    zone_fees: tuple[float, ...] = ()
    refusal_price: float = 0.0
    waste_price: float = 0.0
    handshake_price: float = 0.0
    keepalive_s: float = inf
    max_retry_after_s: float = 0.0
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False
    second_copies: bool = False
    must_subscribe: bool = False
    listed_rates: bool = False
    clients_mark_retries: bool = False
    rules: Rules = field(default_factory=Rules)

    def __post_init__(self) -> None:
        """Name what is impossible at the start rather than fail on it in service."""
        faults = [
            (self.slots < 1, "slots must be 1 or more"),
            (self.holding_room < 1, "holding room must be 1 or more"),
            (self.max_attempts < 1, "attempts for a message must be 1 or more"),
            (self.senders < 1, "senders must be 1 or more"),
            (not self.classes, "no class of message"),
            (not self.kinds, "no kind of destination"),
            (self.rules.cold_s <= 0 or not 0 < self.rules.cold_share <= 1, "cold figures out of range"),
            (any(c.deadline_s <= 0 or c.wanted_s <= 0 for c in self.classes), "a class without time"),
            (any(c.worth < 0 for c in self.classes), "a class with worth below zero"),
            (any(k.batch < 1 for k in self.kinds), "a kind with no message in a call"),
        ]
        named = [text for wrong, text in faults if wrong]
        if named:
            raise ValueError("impossible settings: " + "; ".join(named))


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the list. `rate` is the listed rate of its destination or route, where listed."""

    number: int
    destination: int
    kind: int
    zone: int
    readiness: Readiness = Readiness.SERVING
    rate: float = 0.0


# Events


@dataclass(slots=True, frozen=True)
class EndpointList:
    """News of the list: changed entries, or the whole of it."""

    entries: tuple[Endpoint, ...]
    whole: bool


@dataclass(slots=True, frozen=True)
class ListFailed:
    """A subscription or a request for the list failed, or the subscription broke."""


@dataclass(slots=True, frozen=True)
class SlowStartRecord:
    """What a process knew of an endpoint that was not healthy, or was paced: it outlasts the process.

    Times are seconds on the caller's clock; `usual` and `limit` are calls a second, 0 where none is known.
    """

    endpoint: int
    state: str
    failing_since: float
    unreachable_at: float
    returned_at: float
    answered_at: float
    warm_at: float
    assumed: bool
    unknown: bool
    last_answer: float
    usual: float
    limit: float
    pace: float  # infinite where none is kept


@dataclass(slots=True, frozen=True)
class SlowStartRecords:
    """What the process before this one knew of endpoints; told before the first list.

    `alive_at` is when it last said so, None where nothing is known: then any endpoint may be cold. A sender
    that is never told this takes the endpoints of its lists for healthy.
    """

    records: tuple[SlowStartRecord, ...]
    saved_at: float | None


@dataclass(slots=True, frozen=True)
class PastAttempt:
    """An attempt from before a restart. Its outcome will not come; `may_have_run` is all that is known."""

    endpoint: int
    sent_ago_s: float
    may_have_run: bool


@dataclass(slots=True, frozen=True)
class Message:
    """A new message, owed one final answer within `time_left_s`. `again`: not its first hand-in.

    `past` has its attempts from before a restart, numbered from 0 like all others. `rules` go before the
    class of that number: the message was taken under them.
    """

    ref: str
    destination: int
    message_class: int
    time_left_s: float
    tenant: int = 0
    key: str | None = None
    cost_hint_s: float = 0.0
    is_retry: bool = False
    past: tuple[PastAttempt, ...] = ()
    rules: MessageClass | None = None


@dataclass(slots=True, frozen=True)
class Withdrawn:
    """Nobody wants this message any more."""

    ref: str


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The one outcome of an attempt. `final`: the message has its answer, and none is owed.

    `unread`: an answer came that cannot be read; it tells no more than silence whether the call still runs.
    """

    ref: str
    attempt: int
    endpoint: int
    outcome: Outcome
    took_s: float
    final: bool = False
    wait_s: float = 0.0
    no_slot: bool = False
    room_left: float | None = None
    limit_per_s: float | None = None
    unreadable: bool = False


@dataclass(slots=True, frozen=True)
class AnswerStarted:
    """A streamed answer has begun: neither time-out nor deadline runs on."""

    ref: str
    attempt: int


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    """The result of a probe."""

    endpoint: int
    outcome: Outcome
    took_s: float
    room_left: float | None = None
    limit_per_s: float | None = None


@dataclass(slots=True, frozen=True)
class PeerJudgement:
    """Another sender tells that an endpoint fails, or works again."""

    endpoint: int
    works: bool


@dataclass(slots=True, frozen=True)
class TenantPart:
    """This sender's part of a tenant's quota, over 0 to 1, as it was found over all senders.

    `hard`: what is above it is to be turned away, not only worth less.
    """

    tenant: int
    part: float
    hard: bool = False


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """Other settings hold from now on; kinds and zones are the same. Messages in hand keep their class."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class Stopping:
    """This sender may be killed any time from `after_s` on; what it holds outlives it."""

    after_s: float


@dataclass(slots=True, frozen=True)
class Timer:
    """A timer has come due."""

    label: int


# Actions


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; attempts of a message are numbered from 0 in this order."""

    ref: str
    endpoint: int
    time_out_s: float
    phase: CallPhase = CallPhase.ORDINARY


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: handed back, another try does no harm, best after `come_back_s`."""

    ref: str
    retry_after_s: float


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: given up, with no promise."""

    ref: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop awaiting an attempt."""

    ref: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a check to an endpoint."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close idle connections to an endpoint."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class PublishJudgement:
    """Tell all other senders that an endpoint fails, or works again; it may be lost."""

    endpoint: int
    works: bool


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a timer."""

    after_s: float
    label: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for changes of the list from now on."""


@dataclass(slots=True, frozen=True)
class FetchList:
    """Ask for the whole list once."""


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators, on one endpoint or on none."""

    text: str
    endpoint: int | None = None


Event = (
    EndpointList
    | SlowStartRecords
    | ListFailed
    | Message
    | Withdrawn
    | AttemptEnded
    | AnswerStarted
    | ProbeEnded
    | PeerJudgement
    | TenantPart
    | SettingsChanged
    | Stopping
    | Timer
)
Action = (
    Send
    | Refuse
    | Fail
    | CancelAttempt
    | Probe
    | CloseIdle
    | PublishJudgement
    | SetTimer
    | Subscribe
    | FetchList
    | Log
)
