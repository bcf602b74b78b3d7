"""Simulated time and random numbers.

Time is a heap of calls; seconds as floats, rounded to a microsecond where a delay is drawn, so that the
order of events does not hang on the last bit. Random numbers are numpy's PCG64, a stream for each purpose,
so that a change in one part of the model leaves the draws of the others alone (common random numbers, for
paired comparison).
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from math import exp
from zlib import crc32

import numpy as np
from xxhash import xxh3_64

BLOCK = 4096  # numbers drawn at a time


class Draws:
    """A stream of random numbers."""

    def __init__(self, seed: int, purpose: str) -> None:
        self._numpy = np.random.Generator(np.random.PCG64([seed, crc32(purpose.encode())]))
        self._uniform: list[float] = []
        self._normal: list[float] = []

    def uniform(self, low: float = 0.0, high: float = 1.0) -> float:
        """Between two bounds."""
        if not self._uniform:
            self._uniform = self._numpy.random(BLOCK).tolist()
        return low + (high - low) * self._uniform.pop()

    def normal(self) -> float:
        """With mean 0 and deviation 1, by sums of twelve uniform numbers: the tails end at 6 deviations."""
        if not self._normal:
            self._normal = (self._numpy.random((BLOCK, 12)).sum(axis=1) - 6.0).tolist()
        return self._normal.pop()

    def around(self, median: float, spread: float) -> float:
        """Log-normal about a median, to the microsecond."""
        return round(median * exp(spread * self.normal()), 6)

    def chance(self, share: float) -> bool:
        """True so often."""
        return self.uniform() < share

    def whole(self, low: int, high: int) -> int:
        """A whole number from low to high, both included."""
        return min(high, low + int(self.uniform() * (high - low + 1)))


class World:
    """The clock, and what is to come."""

    def __init__(self, seed: int) -> None:
        self.seed, self.now = seed, 0.0
        self.events = 0
        self._queue: list[tuple[float, int, Callable, tuple]] = []
        self._count = 0
        self._digest = xxh3_64()

    def draws(self, purpose: str) -> Draws:
        """A stream of its own for a purpose."""
        return Draws(self.seed, purpose)

    def at(self, when: float, call: Callable, *arguments: object) -> None:
        """Make a call at a time; those of one time in the order in which they were asked for."""
        self._count += 1
        heapq.heappush(self._queue, (when, self._count, call, arguments))

    def after(self, span: float, call: Callable, *arguments: object) -> None:
        """Make a call later."""
        self.at(self.now + span, call, *arguments)

    def run(self, until: float) -> None:
        """Let time pass."""
        queue, pop = self._queue, heapq.heappop
        while queue and queue[0][0] <= until:
            self.now, _, call, arguments = pop(queue)
            self.events += 1
            call(*arguments)
        self.now = until

    def note(self, *what: object) -> None:
        """Add to the story's digest."""
        self._digest.update(f"{self.now:.6f} {what}\n".encode())

    def digest(self) -> str:
        """The same for the same story."""
        return self._digest.hexdigest()
