"""The thread that serves operators' calls. It never blocks on a caller, however many are connected."""

from __future__ import annotations

import select
import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from willownotch.management.core import Call, LineBuffer, answer
from willownotch.net import sockets
from willownotch.net.clock import Clock, millis
from willownotch.net.log import Log

MAX_CALLERS = 24  # at once; one more closes the oldest connection
CALL_TIMEOUT = timedelta(seconds=2)  # callers give up after 1 s, so a later request is useless
LINGER = timedelta(milliseconds=500)  # reads on after an answer: a reset on close could discard the answer
READ_BYTES, BACKLOG = 1024, 64
RETRY_DELAY_S = 0.1  # after a failed poll or accept, until memory or a descriptor is free


@dataclass(eq=False)
class Caller:
    """One operator's connection."""

    sock: socket.socket
    ends_at: datetime
    line: LineBuffer = field(default_factory=LineBuffer)
    answered: bool = False


class Server:
    """Serves calls until the process ends. `port` is the listener's."""

    def __init__(self, listener: socket.socket, clock: Clock, log: Log, calls: Mapping[str, Call]) -> None:
        self.listener, self.clock, self.log, self.calls = listener, clock, log, calls
        self.port = listener.getsockname()[1]
        self._callers: dict[int, Caller] = {}
        self._poll = select.poll()
        self._poll.register(listener, select.POLLIN)

    def run(self) -> None:
        """Accepts and answers callers, and closes those that are past their time."""
        while True:
            deadline = min((caller.ends_at for caller in self._callers.values()), default=None)
            wait_ms = None if deadline is None else millis(deadline - self.clock.now()) + 1
            for fd, _ in self._ready(wait_ms):
                if fd == self.listener.fileno():
                    self._accept()
                elif fd in self._callers:
                    self._read(self._callers[fd])
            now = self.clock.now()
            for caller in [c for c in self._callers.values() if c.ends_at <= now]:
                self._close(caller)

    def _ready(self, wait_ms: int | None) -> list[tuple[int, int]]:
        """Waits for events; returns none after an error, such as when the kernel is short of memory."""
        try:
            return sockets.wait(self._poll, wait_ms)
        except OSError as error:
            self.log.say("management", f"poll failed: {error}")
            time.sleep(RETRY_DELAY_S)
            return []

    def _accept(self) -> None:
        try:
            sock, _ = self.listener.accept()
        except BlockingIOError:
            return
        except OSError as error:  # mostly out of descriptors: closing the oldest caller frees one
            self.log.say("management", f"accept failed: {error}")
            if error.errno in sockets.ACCEPT_RETRY_ERRORS:
                return  # poll reports the listener again if another caller waits
            if self._callers:
                self._close(next(iter(self._callers.values())))
            else:
                time.sleep(RETRY_DELAY_S)
            return
        sock.setblocking(False)
        if len(self._callers) >= MAX_CALLERS:
            self._close(next(iter(self._callers.values())))
        caller = self._callers[sock.fileno()] = Caller(sock, self.clock.now() + CALL_TIMEOUT)
        self._poll.register(sock, select.POLLIN)
        self._read(caller)  # its line has mostly arrived already

    def _read(self, caller: Caller) -> None:
        try:
            data = sockets.receive(caller.sock, READ_BYTES)
            if caller.answered:
                if not data:
                    self._close(caller)
                return
            line = caller.line.feed(data, ended=not data)
            if line is None:
                if not data:
                    self._close(caller)
                return
            # One line always fits the empty send buffer of a socket.
            sockets.send_all(caller.sock, answer(line, self.calls))
            caller.answered, caller.ends_at = True, self.clock.now() + LINGER
            caller.sock.shutdown(socket.SHUT_WR)
        except BlockingIOError:
            return
        except OSError:
            self._close(caller)

    def _close(self, caller: Caller) -> None:
        self._callers.pop(caller.sock.fileno(), None)
        try:
            self._poll.unregister(caller.sock)
        except (KeyError, ValueError):
            pass
        caller.sock.close()
