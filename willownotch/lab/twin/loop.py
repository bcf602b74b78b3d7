"""The model's world in real time: the same calls at the same times, and sockets between them."""

from __future__ import annotations

import heapq
import selectors
import socket
import time
from collections.abc import Callable

from willownotch.lab.model.world import World

WAIT_MOST_S = 0.05


class RealWorld(World):
    """Time runs by itself; what cannot keep up is told by `late_s`, the longest that a call was late."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.selector = selectors.DefaultSelector()
        self._began = time.monotonic()
        self.late_s = 0.0

    def begin(self) -> None:
        """Time 0 is now."""
        self._began = time.monotonic()

    def watch(self, sock: socket.socket, ready: Callable[[], None]) -> None:
        """Call `ready` whenever there is something to read or to take."""
        self.selector.register(sock, selectors.EVENT_READ, ready)

    def forget(self, sock: socket.socket) -> None:
        """Watch it no more."""
        try:
            self.selector.unregister(sock)
        except (KeyError, ValueError):
            pass

    def run(self, until: float) -> None:
        """Let real time pass."""
        while (elapsed := time.monotonic() - self._began) < until:
            self.now = elapsed
            while self._queue and self._queue[0][0] <= self.now:
                when, _, call, arguments = heapq.heappop(self._queue)
                self.late_s = max(self.late_s, self.now - when)
                self.events += 1
                call(*arguments)
            due = self._queue[0][0] if self._queue else until
            wait = max(0.0, min(WAIT_MOST_S, due - (time.monotonic() - self._began)))
            for key, _ in self.selector.select(wait):
                self.now = time.monotonic() - self._began
                key.data()
        self.now = until
