"""Client connections on their way to the other process, until it has answered for each.

A connection is closed here only once the other process has it. What it could not take, or what was on its way
when it ended, is still open here, so that a request that was read is answered by somebody.
"""

from __future__ import annotations

import itertools
import socket
import threading
from dataclasses import dataclass, field
from datetime import datetime, timedelta

import msgspec

from willownotch.handover.messages import Client
from willownotch.handover.wire import Kind, Link
from willownotch.net.clock import Clock, seconds
from willownotch.net.log import Log

PASS_TIME = timedelta(milliseconds=200)  # to begin a frame: a client waits 400 ms for its answer
ADOPT_TIME = timedelta(seconds=3)  # for the answer; an older version of the other process gives none


@dataclass(slots=True)
class Pending:
    """A connection that was sent and is not answered for."""

    answered: threading.Event = field(default_factory=threading.Event)
    adopted: bool = False


class ClientPassing:
    """Sends client connections over the link. Any thread may call."""

    def __init__(self, link: Link, clock: Clock, log: Log) -> None:
        self.link, self.clock, self.log = link, clock, log
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._pending: dict[int, Pending] = {}
        self._over = False

    def pass_on(
        self,
        sock: socket.socket,
        request: bytes,
        arrived: datetime | None,
        asked: int,
        read_at: datetime | None = None,
    ) -> bool:
        """Whether the other process goes on with this connection. One without a request is not waited for."""
        number, pending = next(self._numbers), Pending()
        with self._lock:
            if self._over:
                return False
            if request:
                self._pending[number] = pending
        frame = msgspec.msgpack.encode(Client(request, arrived, asked, number, read_at))
        try:
            self.link.send(Kind.CLIENT, frame, (sock.fileno(),), PASS_TIME)
        except OSError as fault:
            self.log.say("upgrade", f"a connection could not be passed on: {fault}")
            with self._lock:
                self._pending.pop(number, None)
            return False
        if not request:
            return True
        if not pending.answered.wait(seconds(ADOPT_TIME)):
            with self._lock:
                self._pending.pop(number, None)
            return True
        return pending.adopted

    def answered(self, number: int, adopted: bool) -> None:
        """The other process has taken a connection, or could not."""
        with self._lock:
            pending = self._pending.pop(number, None)
        if pending is not None:
            pending.adopted = adopted
            pending.answered.set()

    def end(self, certain: bool = True) -> None:
        """The other process is not heard any more. What it has not confirmed it has not begun to serve.

        `certain`: all that it confirmed was read. Otherwise it may serve any of those that are on their way,
        and this process answers none of them.
        """
        with self._lock:
            self._over, left = True, list(self._pending.values())
            self._pending.clear()
        for pending in left:
            pending.adopted = not certain
            pending.answered.set()
        if left and not certain:
            self.log.say("upgrade", f"{len(left)} clients are left to the other process: it may serve them")
