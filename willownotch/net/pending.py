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
        self._box: queue.SimpleQueue[T] = queue.SimpleQueue()
        self.claimed = self.abandoned = False

    def claim(self) -> bool:
        """Commit to answering. False if the waiting thread has given up."""
        with self._lock:
            self.claimed = not self.abandoned
            return self.claimed

    def settle(self, answer: T) -> None:
        """Give the answer."""
        self._box.put(answer)

    def wait(self, patience: timedelta, claimed_patience: timedelta) -> T | None:
        """The answer. None if nobody claimed it within the first timeout, or it was claimed and not given
        within the second. After the first case it can no longer be claimed."""
        try:
            return self._box.get(timeout=seconds(max(ZERO, patience)))
        except queue.Empty:
            with self._lock:
                self.abandoned = not self.claimed
                if self.abandoned:
                    return None
        try:  # claimed, so an answer is on its way
            return self._box.get(timeout=seconds(claimed_patience))
        except queue.Empty:
            return None
