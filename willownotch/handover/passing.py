"""Client connections that are passed to the other process, until it has confirmed each.

A connection is closed here only once the other process has it. One that it could not adopt, or that was in
transit when it ended, is still open here, so that every request that was read is answered by one of the two.
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

PASS_TIMEOUT = timedelta(milliseconds=200)  # to begin writing a frame: a client waits 400 ms for its answer
ADOPT_TIMEOUT = timedelta(seconds=3)  # for the confirmation; an older version of the other process sends none


@dataclass(slots=True)
class Pending:
    """A connection that was sent and not confirmed yet."""

    answered: threading.Event = field(default_factory=threading.Event)
    adopted: bool = False


class ClientPassing:
    """Sends client connections over the link. Thread-safe."""

    def __init__(self, link: Link, clock: Clock, log: Log) -> None:
        self.link, self.clock, self.log = link, clock, log
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._pending: dict[int, Pending] = {}
        self._ended = False

    def pass_on(
        self,
        sock: socket.socket,
        request: bytes,
        arrived: datetime | None,
        asked: int,
        read_at: datetime | None = None,
    ) -> bool:
        """Send a connection; return whether the other process serves it.

        Without a request there is nothing to answer, so the confirmation is not awaited.
        """
        number, pending = next(self._numbers), Pending()
        with self._lock:
            if self._ended:
                return False
            if request:
                self._pending[number] = pending
        frame = msgspec.msgpack.encode(Client(request, arrived, asked, number, read_at))
        try:
            self.link.send(Kind.CLIENT, frame, (sock.fileno(),), PASS_TIMEOUT)
        except OSError as fault:
            self.log.say("upgrade", f"a client connection could not be passed to the other process: {fault}")
            with self._lock:
                self._pending.pop(number, None)
            return False
        if not request:
            return True
        if not pending.answered.wait(seconds(ADOPT_TIMEOUT)):
            with self._lock:
                self._pending.pop(number, None)
            return True
        return pending.adopted

    def answered(self, number: int, adopted: bool) -> None:
        """Record the other process's answer for a connection."""
        with self._lock:
            pending = self._pending.pop(number, None)
        if pending is not None:
            pending.adopted = adopted
            pending.answered.set()

    def end(self, certain: bool = True) -> None:
        """Stop waiting: nothing more is received from the other process.

        With `certain`, all its confirmations were read: it has not begun to serve the remaining connections,
        and this process answers them. Otherwise it may serve any of them, and this process answers none.
        """
        with self._lock:
            self._ended, remaining = True, list(self._pending.values())
            self._pending.clear()
        for pending in remaining:
            pending.adopted = not certain
            pending.answered.set()
        if remaining and not certain:
            self.log.say(
                "upgrade", f"{len(remaining)} clients are left to the other process, which may serve them"
            )
