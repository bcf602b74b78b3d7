"""Rates over spans: a few samples of a running total, on the asker's own clock."""

from __future__ import annotations

from collections import deque

from willownotch.usage.wire import CountKind

STEPS = 12  # samples that cover a span: its edge is known to a twelfth of it
PEAK_SLOTS = 10  # seconds that a peak is remembered


class Series:
    """Samples of one total, no more than `STEPS` and one, the oldest of them a span ago."""

    __slots__ = ("span_s", "_samples")

    def __init__(self, span_s: float) -> None:
        self.span_s = span_s
        self._samples: deque[tuple[float, int]] = deque()

    def note(self, now: float, total: int) -> None:
        """The total as it is now. Notes less than a step apart share a sample: the earlier one stays."""
        samples = self._samples
        if not samples or now - samples[-1][0] >= self.span_s / STEPS:
            samples.append((now, total))
            while len(samples) > 2 and samples[1][0] <= now - self.span_s:
                samples.popleft()

    def rate(self, now: float, total: int) -> float:
        """By how much a second it grew over the last span, or since the first sample, if that is later."""
        samples = self._samples
        while len(samples) > 2 and samples[1][0] <= now - self.span_s:
            samples.popleft()
        if not samples or now <= samples[0][0]:
            return 0.0
        return max(0, total - samples[0][1]) / (now - samples[0][0])


class Peak:
    """The most that one sort of count grew in any one of the last seconds, the present one included."""

    __slots__ = ("_slots",)

    def __init__(self) -> None:
        self._slots: deque[tuple[int, list[int]]] = deque()  # second, counts by sort

    def add(self, now: float, sort: int, number: int) -> None:
        """So much was counted just now."""
        second, slots = int(now), self._slots
        if not slots or slots[-1][0] != second:
            slots.append((second, [0] * len(CountKind)))
        slots[-1][1][sort] += number
        while slots[0][0] <= second - PEAK_SLOTS:
            slots.popleft()

    def milli(self) -> int:
        """In thousandths of a message a second, as it goes over the wire."""
        return 1000 * max((max(counts) for _, counts in self._slots), default=0)
