"""Rates over spans of time, from a few samples of a running total, on the caller's own clock."""

from __future__ import annotations

from collections import deque

from willownotch.usage.wire import CountKind

SAMPLES_PER_WINDOW = 12  # so the window's start is accurate to a twelfth of its length
PEAK_WINDOW_S = 10  # how long a peak is remembered


class RateWindow:
    """Samples of one total over a window: at most one more than `SAMPLES_PER_WINDOW`, the oldest one as old
    as the window is long."""

    __slots__ = ("window_s", "_samples")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self._samples: deque[tuple[float, int]] = deque()

    def add_sample(self, now: float, total: int) -> None:
        """Records the total. Of samples closer together than their spacing, only the earliest is kept."""
        samples = self._samples
        if not samples or now - samples[-1][0] >= self.window_s / SAMPLES_PER_WINDOW:
            samples.append((now, total))
            while len(samples) > 2 and samples[1][0] <= now - self.window_s:
                samples.popleft()

    def rate(self, now: float, total: int) -> float:
        """Returns the total's growth a second over the last window, or since the first sample if that is
        later."""
        samples = self._samples
        while len(samples) > 2 and samples[1][0] <= now - self.window_s:
            samples.popleft()
        if not samples or now <= samples[0][0]:
            return 0.0
        return max(0, total - samples[0][1]) / (now - samples[0][0])


class PeakRate:
    """The most that any `CountKind` grew within one of the last `PEAK_WINDOW_S` seconds, the present one
    included."""

    __slots__ = ("_seconds",)

    def __init__(self) -> None:
        self._seconds: deque[tuple[int, list[int]]] = deque()  # second, counts by kind

    def add(self, now: float, kind: int, number: int) -> None:
        """Adds messages that were counted just now."""
        second, seconds = int(now), self._seconds
        if not seconds or seconds[-1][0] != second:
            seconds.append((second, [0] * len(CountKind)))
        seconds[-1][1][kind] += number
        while seconds[0][0] <= second - PEAK_WINDOW_S:
            seconds.popleft()

    def milli_per_s(self) -> int:
        """Returns the peak in thousandths of a message a second, as rows carry it."""
        return 1000 * max((max(counts) for _, counts in self._seconds), default=0)
