"""One thread's wait for another's answer, either claimed in time or abandoned, never both."""

from __future__ import annotations

import queue
import threading
from datetime import timedelta
from typing import Generic, TypeVar

from willownotch.net.clock import ZERO, seconds

T = TypeVar("T")


class PendingReply(Generic[T]):
    """Either who answers claims it in time or who waits abandons it, never both."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._box: queue.SimpleQueue[T] = queue.SimpleQueue()
        self.claimed = self.abandoned = False

    def claim(self) -> bool:
        """Take it up; False if nobody waits any more."""
        with self._lock:
            self.claimed = not self.abandoned
            return self.claimed

    def settle(self, answer: T) -> None:
        """Give the answer."""
        self._box.put(answer)

    def wait(self, patience: timedelta, claimed_patience: timedelta) -> T | None:
        """The answer; None if it was not taken up in time and now never will."""
        try:
            return self._box.get(timeout=seconds(max(ZERO, patience)))
        except queue.Empty:
            with self._lock:
                self.abandoned = not self.claimed
                if self.abandoned:
                    return None
        try:  # being decided this moment
            return self._box.get(timeout=seconds(claimed_patience))
        except queue.Empty:
            return None
