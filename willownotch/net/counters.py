"""Counts of what happened, by event and reason. The log is limited in lines a second; these are not."""

from __future__ import annotations

import threading
from collections import Counter

SHOWN = 40  # counters in the one-line summary, the largest first


class Counters:
    """Counters by event and reason since the start of the process. Any thread may add and read."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[tuple[str, str]] = Counter()

    def add(self, event: str, reason: str, count: int = 1) -> None:
        """Count an event."""
        with self._lock:
            self._counts[event, reason] += count

    def snapshot(self) -> dict[str, dict[str, int]]:
        """All counts, by event and then by reason, both sorted."""
        with self._lock:
            counts = sorted(self._counts.items())
        found: dict[str, dict[str, int]] = {}
        for (event, reason), count in counts:
            found.setdefault(event, {})[reason] = count
        return found

    def summary(self) -> str:
        """One line: `event (reason) count`, separated by commas; `nothing was counted` for none."""
        with self._lock:
            counts = self._counts.most_common(SHOWN)
        texts = [f"{event} ({reason}) {count}" for (event, reason), count in counts]
        return ", ".join(texts) or "nothing was counted"
