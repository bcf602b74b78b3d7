"""The state of a sender, and what it means for clients, readiness and relays. No I/O, no clock.

Signals, operators' calls, the decision loop and a hand-over report events, in any order. `Lifecycle` is
immutable; `after_event` returns the next one. Every question about a state is answered here and nowhere else.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from enum import Enum

# After `quiesce`, clients that do not know of it yet may still connect.
QUIESCE_GRACE = timedelta(milliseconds=1500)
REQUEST_TRANSIT_TIME = timedelta(milliseconds=400)  # a request may still be on its way to an idle connection


class State(Enum):
    """The states, with the names that operators see."""

    STARTING = "starting"
    READY = "ready"
    QUIESCING = "quiescing"
    QUIESCED = "quiesced"
    HANDING_OVER = "handing over"
    RETIRED = "retired"
    STOPPING = "stopping"


class Event(Enum):
    """What can happen to a sender."""

    LISTED = "listed"  # the journal is replayed and there is a usable list of endpoints
    QUIESCE = "quiesce"
    RESUME = "resume"
    HAND_OVER = "hand over"  # another process asks for everything: nothing is decided until it has answered
    HAND_OVER_FAILED = "kept"  # this process continues with everything
    HANDED_OVER = "given"  # the other process has everything
    STOP = "stop"  # SIGTERM


@dataclass(frozen=True, slots=True)
class Lifecycle:
    """What has happened to a sender so far, as far as its state depends on it."""

    listed: bool = False
    draining_since: datetime | None = None  # when an operator asked for it to become empty
    handing_over: bool = False
    handed_over: bool = False
    stopping: bool = False

    def after_event(self, event: Event, now: datetime) -> Lifecycle:
        """The lifecycle after an event; the same object if nothing changes, as each order may be repeated."""
        if event is Event.LISTED:
            return replace(self, listed=True)
        if event is Event.QUIESCE:
            return self if self.draining_since is not None else replace(self, draining_since=now)
        if event is Event.RESUME:
            return replace(self, draining_since=None)
        if event is Event.STOP:
            return replace(self, stopping=True)
        if self.handed_over:  # a hand-over is never taken back
            return self
        if event is Event.HAND_OVER and self.stopping:  # a process that is about to end begins none
            return self
        return replace(self, handing_over=event is Event.HAND_OVER, handed_over=event is Event.HANDED_OVER)

    def state(self, now: datetime) -> State:
        """The state to report: the first entry of the table that applies hides those below it."""
        quiescing = self.draining_since is not None and now < self.draining_since + QUIESCE_GRACE
        table = [
            (self.handed_over, State.RETIRED),
            (self.handing_over, State.HANDING_OVER),
            (self.stopping, State.STOPPING),
            (quiescing, State.QUIESCING),
            (self.draining_since is not None, State.QUIESCED),
            (not self.listed, State.STARTING),
        ]
        return next((state for applies, state in table if applies), State.READY)

    def ready(self) -> bool:
        """What the readiness check answers.

        A sender that stops or hands over still serves, so it is ready.
        """
        return self.listed and self.draining_since is None and not self.handed_over

    def accepts_messages(self, now: datetime) -> bool:
        """Whether hand-ins are decided on; otherwise they are rejected at once."""
        return self.handed_over or self.draining_since is None or now < self.draining_since + QUIESCE_GRACE

    def closes_after_answer(self) -> bool:
        """Whether a client connection is closed after the answer that is being written."""
        return self.draining_since is not None

    def closes_idle(self, idle_since: datetime, now: datetime) -> bool:
        """Whether a client connection that has been idle since then is to be closed."""
        began = self.draining_since
        return began is not None and now - max(idle_since, began) >= REQUEST_TRANSIT_TIME


class SharedLifecycle:
    """The current lifecycle, shared by all threads: one immutable value that is replaced as a whole."""

    def __init__(self) -> None:
        self.current = Lifecycle()
        self.on_change: Callable[[State, State, Event], None] = lambda before, after, event: None
        self._changed = threading.Condition()

    def tell(self, event: Event, now: datetime) -> Lifecycle:
        """Apply an event and return the lifecycle after it; calls `on_change` if it differs."""
        with self._changed:
            before, current = self.current, self.current.after_event(event, now)
            self.current = current
            self._changed.notify_all()
        if current != before:
            self.on_change(before.state(now), current.state(now), event)
        return current

    def wait_handed_over(self) -> bool:
        """Whether another process has everything; waits for the outcome if a hand-over is in progress."""
        with self._changed:
            self._changed.wait_for(lambda: self.current.handed_over or not self.current.handing_over)
            return self.current.handed_over
