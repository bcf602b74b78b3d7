"""A reply that one thread waits for and another gives; it is either claimed in time or abandoned."""

from __future__ import annotations

import queue
import threading
from datetime import timedelta
from typing import Generic, TypeVar

from willownotch.net.clock import ZERO, seconds

T = TypeVar("T")


class PendingReply(Generic[T]):
    """A one-time reply. The answering thread claims it, or the waiting thread abandons it; never both."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._answer: queue.SimpleQueue[T] = queue.SimpleQueue()
        self.claimed = self.abandoned = False

    def claim(self) -> bool:
        """Commit to answering. False if the waiting thread has given up."""
        with self._lock:
            self.claimed = not self.abandoned
            return self.claimed

    def settle(self, answer: T) -> None:
        """Give the answer."""
        self._answer.put(answer)

    def wait(self, timeout: timedelta, claimed_timeout: timedelta) -> T | None:
        """Wait for the answer. None if it was not claimed within `timeout`, after which it cannot be, or
        if it was claimed but not given within `claimed_timeout` more."""
        try:
            return self._answer.get(timeout=seconds(max(ZERO, timeout)))
        except queue.Empty:
            with self._lock:
                self.abandoned = not self.claimed
                if self.abandoned:
                    return None
        try:  # claimed, so an answer is on its way
            return self._answer.get(timeout=seconds(claimed_timeout))
        except queue.Empty:
            return None
