"""Types, events and actions of the decision module: everything that crosses its boundary.

A *message* goes to a *destination* by a call (an *attempt*) to one of its *endpoints*. Times are seconds on
the caller's clock. This module holds data only and makes no decisions.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf


class Idempotency(Enum):
    """What a repeated delivery of a message does at the destination."""

    SAFE = "safe"  # a repeat has no further effect
    KEYED = "keyed"  # the destination drops repeats of the same key for some time
    UNSAFE = "unsafe"  # a repeat takes effect again


class DedupScope(Enum):
    """Which endpoints of a destination drop a repeat of a keyed message that one of them has had."""

    ALL = "all"
    ZONE = "zone"  # those in the same zone
    ENDPOINT = "cell"  # that endpoint alone


class Decay(Enum):
    """How the worth of a message falls once its wanted time has passed."""

    EVEN = "even"  # linearly, until the deadline
    BY_HALF = "by_half"  # by half in each further wanted time


class Outcome(Enum):
    """How an attempt or a probe ended."""

    DELIVERED = "delivered"
    ERROR = "error"  # answered, but not delivered
    REJECTED = "turned away"  # the endpoint did not accept the call, e.g. over its limit
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"  # no connection could be opened
    BROKEN = "broken"  # the connection was lost before an answer
    CANCELLED = "called off"  # given up by this sender
    NOT_SENT = "not sent"  # ended before any of it was written


class CallPhase(Enum):
    """The state of its endpoint in which an attempt was sent."""

    ORDINARY = "ordinary"
    TRIAL = "trial"  # the endpoint is failing: one call at a time checks whether it has recovered
    SLOW_START = "slow start"  # the endpoint may be cold


class Readiness(Enum):
    """The readiness of an endpoint according to the endpoint list."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class MessageClass:
    """A class of messages: what a delivery is worth, by when, and what a repeat does.

    A delivery within `wanted_s` has the full `worth`. At the deadline `late_share` of it is left.
    """

    name: str
    worth: float
    wanted_s: float
    deadline_s: float
    late_share: float
    idempotency: Idempotency
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_s: float = 0.0  # how long the destination remembers a key
    in_order: bool = False  # messages of one key are sent one at a time, in order of arrival
    cost_hint_factor: float = 0.0  # x a message's cost hint: added to its wanted time
    attempts: int = 0  # most attempts for a message; 0: as in the settings


@dataclass(slots=True, frozen=True)
class DestinationKind:
    """A kind of destination: most messages in one call, and whether each endpoint has limits of its own."""

    name: str
    batch: int = 1
    separate_routes: bool = False


@dataclass(slots=True, frozen=True)
class Tenant:
    """A client account and its quota over all senders; messages above it are worth less."""

    name: str
    quota_per_s: float


@dataclass(slots=True, frozen=True)
class Rules:
    """Parameters of the service rules.

    After an outage an endpoint has `cold_share` of its capacity, and all of it after `cold_s`. It fails again
    under more than `fall_multiple` x its present capacity within `fall_s`.
    """

    answer_grace_s: float = 0.0
    cold_share: float = 0.2
    cold_s: float = 10.0
    fall_multiple: float = 2.0
    fall_s: float = 1.5
    key_quiet_s: float = 0.0  # an ordered key rests so long after an attempt that may still be running
    ask_within_s: float = 10.0  # after a failure the endpoint list is asked for again within this time


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one sender. Prices are in the unit of `MessageClass.worth`; 0 where none is charged."""

    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...]
    slots: int  # most calls in flight
    holding_room: int  # most messages held
    tenants: tuple[Tenant, ...] = ()
    senders: int = 1
    max_attempts: int = 1
    decay: Decay = Decay.EVEN
    over_share_worth: float = 1.0  # x worth of a message above its tenant's quota
    zone_fees: tuple[float, ...] = ()
    refusal_price: float = 0.0
    waste_price: float = 0.0
    handshake_price: float = 0.0
    keepalive_s: float = inf  # endpoints close connections that are idle for longer
    max_retry_after_s: float = 0.0
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False  # senders share their judgements of endpoints
    second_copies: bool = False  # a second attempt may start while the first one is out
    must_subscribe: bool = False  # the endpoint list comes only after a subscription
    listed_rates: bool = False  # the endpoint list has rate limits
    clients_mark_retries: bool = False
    rules: Rules = field(default_factory=Rules)

    def __post_init__(self) -> None:
        """Reject impossible settings at construction rather than fail on them in service."""
        checks = [
            (self.slots < 1, "slots must be 1 or more"),
            (self.holding_room < 1, "holding room must be 1 or more"),
            (self.max_attempts < 1, "attempts for a message must be 1 or more"),
            (self.senders < 1, "senders must be 1 or more"),
            (not self.classes, "no message class"),
            (not self.kinds, "no kind of destination"),
            (self.rules.cold_s <= 0 or not 0 < self.rules.cold_share <= 1, "cold share or time out of range"),
            (any(c.deadline_s <= 0 or c.wanted_s <= 0 for c in self.classes), "a class without time"),
            (any(c.worth < 0 for c in self.classes), "a class with a negative worth"),
            (any(k.batch < 1 for k in self.kinds), "a kind with no message in a call"),
        ]
        errors = [text for wrong, text in checks if wrong]
        if errors:
            raise ValueError("impossible settings: " + "; ".join(errors))


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list.

    `rate` is the listed limit of its destination in calls per second, or of this endpoint if its kind has
    separate routes; 0 if none is listed. `life` differs between two processes that are listed under one name.
    """

    number: int
    destination: int
    kind: int
    zone: int
    readiness: Readiness = Readiness.SERVING
    rate: float = 0.0
    life: int = 0


# Events


@dataclass(slots=True, frozen=True)
class EndpointList:
    """An update of the endpoint list: changed entries, or with `whole` the complete list."""

    entries: tuple[Endpoint, ...]
    whole: bool


@dataclass(slots=True, frozen=True)
class ListFailed:
    """A subscription or a request for the endpoint list failed, or the subscription was lost."""


@dataclass(slots=True, frozen=True)
class SlowStartRecord:
    """What a process knew of an endpoint that was not healthy or was paced; stored across restarts.

    Times are seconds on the caller's clock. `usual` and `limit` are calls per second, 0 if unknown.
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
    pace: float  # calls per second; infinite if the endpoint was not paced


@dataclass(slots=True, frozen=True)
class SlowStartRecords:
    """What the previous process knew of endpoints; sent before the first endpoint list.

    `saved_at` is when it last stored this, None if nothing is known: then any endpoint may be cold. A sender
    that never gets this event assumes that the endpoints of its lists are healthy.
    """

    records: tuple[SlowStartRecord, ...]
    saved_at: float | None


@dataclass(slots=True, frozen=True)
class PastAttempt:
    """An attempt from before a restart. Its outcome will not arrive; only `may_have_run` is known."""

    endpoint: int
    sent_ago_s: float
    may_have_run: bool


@dataclass(slots=True, frozen=True)
class Message:
    """A message, which must get one final answer within `time_left_s`.

    `tenant` is None for a client account that the settings do not name any more: no quota applies.
    `is_retry`: its client has handed it in before. `accepted`: no client waits, since a former process or
    another sender accepted it; what a hand-in is decided by is not decided again. `over_share`: it was above
    its tenant's quota then. `past` has its attempts from before then, which count from 0 like all others.
    `rules`, if set, replace the class of that number: those in force when the message was accepted.
    """

    ref: str
    destination: int
    message_class: int
    time_left_s: float
    tenant: int | None = 0
    key: str | None = None
    cost_hint_s: float = 0.0
    is_retry: bool = False
    past: tuple[PastAttempt, ...] = ()
    rules: MessageClass | None = None
    accepted: bool = False
    over_share: bool = False


@dataclass(slots=True, frozen=True)
class QuotaSpent:
    """How long ago, in seconds, the former process accepted messages by a tenant's quota, one of it each."""

    tenant: int
    ago_s: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class Withdrawn:
    """The client no longer wants this message delivered."""

    ref: str


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The single outcome of an attempt. `final`: the message has its answer and needs no other.

    `unreadable`: an answer came but cannot be parsed, so the call may still be running, as with no answer.
    """

    ref: str
    attempt: int
    endpoint: int
    outcome: Outcome
    took_s: float
    final: bool = False
    wait_s: float = 0.0  # the endpoint asked for no calls for so long
    no_slot: bool = False
    room_left: float | None = None  # share of the endpoint's limit that is unused
    limit_per_s: float | None = None
    unreadable: bool = False


@dataclass(slots=True, frozen=True)
class AnswerStarted:
    """A streamed answer has begun: neither the time-out nor the deadline applies any longer."""

    ref: str
    attempt: int


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    """The result of a probe. `room_left` and `limit_per_s` are as in `AttemptEnded`."""

    endpoint: int
    outcome: Outcome
    took_s: float
    room_left: float | None = None
    limit_per_s: float | None = None


@dataclass(slots=True, frozen=True)
class PeerJudgement:
    """Another sender reports that an endpoint fails, or works again."""

    endpoint: int
    works: bool


@dataclass(slots=True, frozen=True)
class TenantPart:
    """This sender's part of a tenant's quota, from 0 to 1, as counted over all senders.

    `hard`: messages above the part are refused, rather than only worth less.
    """

    tenant: int
    part: float
    hard: bool = False


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings apply from now on, with the same kinds and zones. Messages in hand keep their class."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class Stopping:
    """This sender may be killed at any time from `after_s` on; the messages that it holds are kept."""

    after_s: float


@dataclass(slots=True, frozen=True)
class Timer:
    """A timer has fired."""

    label: int


# Actions


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; the attempts of a message are numbered from 0 in this order."""

    ref: str
    endpoint: int
    time_out_s: float
    phase: CallPhase = CallPhase.ORDINARY


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: handed back; the client may retry without harm, best after `retry_after_s`."""

    ref: str
    retry_after_s: float


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: given up; whether the message took effect is unknown."""

    ref: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    ref: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a health check to an endpoint."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class PublishJudgement:
    """Report to all other senders that an endpoint fails, or works again; the report may be lost."""

    endpoint: int
    works: bool


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a `Timer` event."""

    after_s: float
    label: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Subscribe to changes of the endpoint list."""


@dataclass(slots=True, frozen=True)
class FetchList:
    """Request the whole endpoint list once."""


@dataclass(slots=True, frozen=True)
class Log:
    """A log line for the operators, about one endpoint or none."""

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
