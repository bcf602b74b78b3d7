"""What was seen from outside, with times on the monotonic clock of the harness. Plain values."""

from __future__ import annotations

import threading
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class Ending(Enum):
    """How a client's request ended."""

    ANSWERED = "answered"
    REFUSED_CONNECTION = "connection refused"  # nothing was written
    UNWRITTEN = "ended before it was written whole"
    ENDED = "connection ended without an answer"
    SILENT = "no answer"


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a client, and its end."""

    sender: int
    ref: str
    message_class: str
    key: str | None
    began: float
    written: float  # when its last byte was written
    ended: float
    ending: Ending
    status: int = 0
    last: bool = False  # the answer said that the connection ends
    reused: bool = False  # the connection had carried a request before
    rested_s: float = 0.0  # how long it had been idle
    left_s: float = 0.0  # the time that the message was given
    holders: tuple[int, ...] = ()  # processes that had the connection after its first answer; empty: unknown


@dataclass(frozen=True, slots=True)
class Content:
    """What a client handed in under an id."""

    body: bytes
    idempotency_key: str


@dataclass(slots=True)
class Call:
    """One call that an endpoint has read whole."""

    ref: str
    began: float
    body: bytes
    idempotency_key: str
    status: int = 0  # 0: it was not answered
    ended: float = 0.0


@dataclass(frozen=True, slots=True)
class Notice:
    """One line that the platform was told."""

    ref: str
    outcome: str
    at: float


@dataclass(frozen=True, slots=True)
class Fall:
    """The cold destination fell under the calls of one window."""

    since_s: float  # from its return to the window's end
    calls: int
    granted: float
    aware: float  # the share of them from senders that may have seen a call fail there
    by_sender: dict[int, int]


@dataclass(slots=True)
class Lifetime:
    """One process of a sender."""

    sender: int
    number: int
    began: float
    ready: float | None = None
    stop_at: float | None = None  # SIGTERM
    killed_at: float | None = None  # SIGKILL by the harness
    folder_lost_at: float | None = None  # and with the folder all that was owed
    succeeded_at: float | None = None  # when the process after it was started beside it
    drained_at: list[float] = field(default_factory=list)  # `quiesce`
    ended: float | None = None
    code: int | None = None
    lines: list[str] = field(default_factory=list)
    meant_to_end: bool = False
    peak_mb: float = 0.0  # resident memory, as last read
    memory_mb: float = float("inf")  # its limit


NONE_COUNTED = -10.0  # below what any window can come to


@dataclass
class Records:
    """All of one run. Any thread may add."""

    began: float = 0.0  # when the load began
    late_s: float = 0.0  # the most that the harness itself was late
    requests: list[Request] = field(default_factory=list)
    contents: dict[str, Content] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
    lifetimes: list[Lifetime] = field(default_factory=list)
    struck: dict[str, int] = field(default_factory=dict)  # system calls that failed
    struck_answers: Counter[str] = field(default_factory=Counter)  # by fault
    surplus: list[str] = field(default_factory=list)  # bytes that clients got beyond their answers
    actions: list[str] = field(default_factory=list)
    falls: list[Fall] = field(default_factory=list)
    quota_per_s: float = 0.0  # of the tenant, held in hard parts by the senders; 0: not shared
    fullest: float = (
        NONE_COUNTED  # the fullest window of the slow starts: calls over what is granted, as a part of N
    )
    lock: threading.Lock = field(default_factory=threading.Lock)

    def __getstate__(self) -> dict:
        """Without the lock, which stays in its process."""
        return {name: value for name, value in self.__dict__.items() if name != "lock"}
