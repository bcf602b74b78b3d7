"""The one thread that answers operators. It never waits for a caller, however many there are."""

from __future__ import annotations

import select
import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from willownotch.management.core import Call, Line, answer
from willownotch.net import sockets
from willownotch.net.clock import Clock, millis
from willownotch.net.log import Log

CALLERS = 24  # at once; one more ends the one that came first
CALL_TIME = timedelta(seconds=2)  # a caller waits 1 s: who has not asked by then never will
LINGER = timedelta(milliseconds=500)  # read on after an answer, lest a reset eat it
READ, BACKLOG = 1024, 64
REST = 0.1  # s after an accept that failed: until a descriptor is free


@dataclass(eq=False)
class Caller:
    """One connection."""

    sock: socket.socket
    ends_at: datetime
    line: Line = field(default_factory=Line)
    answered: bool = False


class Server:
    """Answers calls until the process ends."""

    def __init__(self, listener: socket.socket, clock: Clock, log: Log, calls: Mapping[str, Call]) -> None:
        self.listener, self.clock, self.log, self.calls = listener, clock, log, calls
        self.port = listener.getsockname()[1]
        self._callers: dict[int, Caller] = {}
        self._poll = select.poll()
        self._poll.register(listener, select.POLLIN)

    def run(self) -> None:
        """Take calls, and give each a moment of its own."""
        while True:
            ends = min((caller.ends_at for caller in self._callers.values()), default=None)
            left = None if ends is None else millis(ends - self.clock.now()) + 1
            for number, _ in self._ready(left):
                if number == self.listener.fileno():
                    self._accept()
                elif number in self._callers:
                    self._hear(self._callers[number])
            now = self.clock.now()
            for caller in [c for c in self._callers.values() if c.ends_at <= now]:
                self._leave(caller)

    def _ready(self, left: int | None) -> list[tuple[int, int]]:
        """What something has come on; nothing where the kernel is short of memory for the moment."""
        try:
            return sockets.wait(self._poll, left)
        except OSError as fault:
            self.log.say("management", f"nothing could be waited for: {fault}")
            time.sleep(REST)
            return []

    def _accept(self) -> None:
        try:
            sock, _ = self.listener.accept()
        except BlockingIOError:
            return
        except OSError as fault:  # descriptors are short: the oldest caller gives up its own
            self.log.say("management", f"no call could be taken: {fault}")
            if fault.errno in sockets.ACCEPT_RETRY_ERRORS:
                return  # the listener is ready still if another one waits
            if self._callers:
                self._leave(next(iter(self._callers.values())))
            else:
                time.sleep(REST)
            return
        sock.setblocking(False)
        if len(self._callers) >= CALLERS:
            self._leave(next(iter(self._callers.values())))
        caller = self._callers[sock.fileno()] = Caller(sock, self.clock.now() + CALL_TIME)
        self._poll.register(sock, select.POLLIN)
        self._hear(caller)  # mostly its line is there already

    def _hear(self, caller: Caller) -> None:
        try:
            data = sockets.receive(caller.sock, READ)
            if caller.answered:
                if not data:
                    self._leave(caller)
                return
            line = caller.line.feed(data, ended=not data)
            if line is None:
                if not data:
                    self._leave(caller)
                return
            # A line: it fits the empty buffer of any socket.
            sockets.send_all(caller.sock, answer(line, self.calls))
            caller.answered, caller.ends_at = True, self.clock.now() + LINGER
            caller.sock.shutdown(socket.SHUT_WR)
        except BlockingIOError:
            return
        except OSError:
            self._leave(caller)

    def _leave(self, caller: Caller) -> None:
        self._callers.pop(caller.sock.fileno(), None)
        try:
            self._poll.unregister(caller.sock)
        except (KeyError, ValueError):
            pass
        caller.sock.close()
