"""Counters of events by reason. Log lines are limited per second; these count every event."""

from __future__ import annotations

import threading
from collections import Counter

MAX_IN_SUMMARY = 40  # counters in the one-line summary, the largest first


class Counters:
    """Counters by event and reason since the process started. Any thread may add and read."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[tuple[str, str]] = Counter()

    def add(self, event: str, reason: str, count: int = 1) -> None:
        """Add `count` to the counter of an event and a reason."""
        with self._lock:
            self._counts[event, reason] += count

    def snapshot(self) -> dict[str, dict[str, int]]:
        """All counts, by event and then by reason, both sorted."""
        with self._lock:
            counts = sorted(self._counts.items())
        by_event: dict[str, dict[str, int]] = {}
        for (event, reason), count in counts:
            by_event.setdefault(event, {})[reason] = count
        return by_event

    def summary(self) -> str:
        """One line: `event (reason) count`, separated by commas, or `nothing was counted`."""
        with self._lock:
            counts = self._counts.most_common(MAX_IN_SUMMARY)
        texts = [f"{event} ({reason}) {count}" for (event, reason), count in counts]
        return ", ".join(texts) or "nothing was counted"
