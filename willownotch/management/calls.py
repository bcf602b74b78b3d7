"""What operators can call on this sender."""

from __future__ import annotations

import os
from collections.abc import Callable

from willownotch.lifecycle import Event, SharedLifecycle
from willownotch.management.core import Call, CallError
from willownotch.net.clock import Clock
from willownotch.net.log import Log
from willownotch.net.sockets import RETRIES


class Calls:
    """The table of calls. Each only reads or sets the wanted state; whoever it concerns follows it."""

    def __init__(self, lifecycle: SharedLifecycle, clock: Clock, log: Log) -> None:
        self.lifecycle, self.clock, self.log = lifecycle, clock, log
        self.empty: Callable[[], None] = lambda: None  # has idle connections ended, once there can be any
        self.table: dict[str, Call] = {
            "health": self.health,
            "quiesce": self.quiesce,
            "resume": self.resume,
            "counters": self.counters,
        }

    def _state(self) -> str:
        return self.lifecycle.current.state(self.clock.now()).value

    def health(self) -> str:
        """Whether this process is ready to serve."""
        if not self.lifecycle.current.ready():
            raise CallError(self._state())
        return self._state()

    def counters(self) -> str:
        """What was counted since this process began, on one line."""
        return f"process {os.getpid()}: {self.log.counters.summary()}; {RETRIES.summary()}"

    def quiesce(self) -> str:
        """Empty the sender."""
        if self._told(Event.QUIESCE):
            self.log.say("drain", "an operator wants this sender empty: readiness says no from now on")
            self.empty()
        return self._state()

    def resume(self) -> str:
        """Take clients again."""
        if self._told(Event.RESUME):
            self.log.say("drain", "an operator wants this sender back: it takes clients again")
        return self._state()

    def _told(self, event: Event) -> bool:
        before = self.lifecycle.current
        return self.lifecycle.tell(event, self.clock.now()) != before
