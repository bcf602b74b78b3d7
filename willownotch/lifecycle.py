"""What state this sender is in, and what that means for clients, readiness and relays. No I/O, no clock.

Signals, operators' calls, the owner and a hand-over tell it what happened, in any order. `Life` is
immutable, and `happened` gives the next one. Every question about a state is answered here and nowhere else.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from enum import Enum

COMING = timedelta(milliseconds=1500)  # after `quiesce`, clients that have not heard of it may still come
UNDER_WAY = timedelta(milliseconds=400)  # a request may be on its way to a connection that was idle so long


class State(Enum):
    """As operators are told it."""

    STARTING = "starting"
    READY = "ready"
    QUIESCING = "quiescing"
    QUIESCED = "quiesced"
    HANDING_OVER = "handing over"
    RETIRED = "retired"
    STOPPING = "stopping"


class Event(Enum):
    """What can happen to a sender."""

    LISTED = "listed"  # the journal is replayed and there is a usable list
    QUIESCE = "quiesce"
    RESUME = "resume"
    HAND_OVER = "hand over"  # another process asks for everything: nothing is decided here for a moment
    HAND_OVER_FAILED = "kept"  # it went wrong: all goes on here
    HANDED_OVER = "given"  # the other process has it all
    STOP = "stop"  # SIGTERM


@dataclass(frozen=True, slots=True)
class Lifecycle:
    """One moment of it."""

    listed: bool = False
    drained_at: datetime | None = None  # since when an operator wants it empty
    handing_over: bool = False
    handed_over: bool = False
    stopping: bool = False

    def after_event(self, event: Event, now: datetime) -> Lifecycle:
        """The next moment. What changes nothing gives the same one: every order may come twice."""
        if event is Event.LISTED:
            return replace(self, listed=True)
        if event is Event.QUIESCE:
            return self if self.drained_at is not None else replace(self, drained_at=now)
        if event is Event.RESUME:
            return replace(self, drained_at=None)
        if event is Event.STOP:
            return replace(self, stopping=True)
        if self.handed_over:  # a hand-over is never taken back
            return self
        if event is Event.HAND_OVER and self.stopping:  # none is begun with the end in sight
            return self
        return replace(self, handing_over=event is Event.HAND_OVER, handed_over=event is Event.HANDED_OVER)

    def state(self, now: datetime) -> State:
        """The one word for it; what stands further up hides what stands below."""
        coming = self.drained_at is not None and now < self.drained_at + COMING
        table = [
            (self.handed_over, State.RETIRED),
            (self.handing_over, State.HANDING_OVER),
            (self.stopping, State.STOPPING),
            (coming, State.QUIESCING),
            (self.drained_at is not None, State.QUIESCED),
            (not self.listed, State.STARTING),
        ]
        return next((state for holds, state in table if holds), State.READY)

    def ready(self) -> bool:
        """What readiness answers. A stopping sender serves until it is killed; one that hands over, too."""
        return self.listed and self.drained_at is None and not self.handed_over

    def takes_messages(self, now: datetime) -> bool:
        """Whether a message is decided on here, rather than handed back at once."""
        return self.handed_over or self.drained_at is None or now < self.drained_at + COMING

    def last_answer(self) -> bool:
        """Whether a connection ends with the answer that is written now."""
        return self.drained_at is not None

    def ends_idle(self, idle_since: datetime, now: datetime) -> bool:
        """Whether a connection that has been idle since then is ended."""
        began = self.drained_at
        return began is not None and now - max(idle_since, began) >= UNDER_WAY


class SharedLifecycle:
    """The present moment, for all threads: one value that is replaced whole."""

    def __init__(self) -> None:
        self.current = Lifecycle()
        self.changed: Callable[[State, State, Event], None] = lambda before, after, event: None
        self._changed = threading.Condition()

    def tell(self, event: Event, now: datetime) -> Lifecycle:
        """Something happened; the moment after it."""
        with self._changed:
            before, current = self.current, self.current.after_event(event, now)
            self.current = current
            self._changed.notify_all()
        if current != before:
            self.changed(before.state(now), current.state(now), event)
        return current

    def wait_handed_over(self) -> bool:
        """Whether another process has everything; where a hand-over is under way, once that is decided."""
        with self._changed:
            self._changed.wait_for(lambda: self.current.handed_over or not self.current.handing_over)
            return self.current.handed_over
