"""The calls that operators can make to this sender."""

from __future__ import annotations

import os
from collections.abc import Callable

from willownotch.lifecycle import Event, SharedLifecycle
from willownotch.management.core import Call, CallError
from willownotch.net.clock import Clock
from willownotch.net.log import Log
from willownotch.net.sockets import RETRIES


class Calls:
    """The table of calls. Each only reads or records the wanted state; other threads act on it."""

    def __init__(self, lifecycle: SharedLifecycle, clock: Clock, log: Log) -> None:
        self.lifecycle, self.clock, self.log = lifecycle, clock, log
        # Closes idle connections while the sender drains; set once clients are accepted.
        self.empty: Callable[[], None] = lambda: None
        self.table: dict[str, Call] = {
            "health": self.health,
            "quiesce": self.quiesce,
            "resume": self.resume,
            "counters": self.counters,
        }

    def _state(self) -> str:
        return self.lifecycle.current.state(self.clock.now()).value

    def health(self) -> str:
        """Returns the state of this process; an error unless it is ready to serve."""
        if not self.lifecycle.current.ready():
            raise CallError(self._state())
        return self._state()

    def counters(self) -> str:
        """Returns all counters since this process started, on one line."""
        return f"process {os.getpid()}: {self.log.counters.summary()}; {RETRIES.summary()}"

    def quiesce(self) -> str:
        """Drains the sender: readiness turns negative and idle connections are closed."""
        if self._record(Event.QUIESCE):
            self.log.say("drain", "an operator has quiesced this sender: it reports not ready from now on")
            self.empty()
        return self._state()

    def resume(self) -> str:
        """Ends the drain: the sender accepts clients again."""
        if self._record(Event.RESUME):
            self.log.say("drain", "an operator has resumed this sender: it accepts clients again")
        return self._state()

    def _record(self, event: Event) -> bool:
        """Records an event of the lifecycle; returns whether it changed the state."""
        before = self.lifecycle.current
        return self.lifecycle.tell(event, self.clock.now()) != before
