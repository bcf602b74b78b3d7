"""A token bucket. No clock."""

from __future__ import annotations

NEAR = 1e-6  # what is missing by rounding when it is time


class Rate:
    """A token bucket: so many a second, so many at once."""

    def __init__(self, per_s: float, at_once: float, now: float) -> None:
        self.per_s, self.at_once = per_s, at_once
        self._left, self.at = at_once, now

    def left(self, now: float) -> float:
        """What may be spent; below zero where it was overdrawn."""
        self._left = min(self.at_once, self._left + max(0.0, now - self.at) * self.per_s)
        self.at = max(self.at, now)
        return self._left

    def spend(self, now: float, amount: float = 1.0) -> bool:
        """Spend, if there is so much."""
        if self.left(now) < amount - NEAR:
            return False
        self._left -= amount
        return True

    def force(self, now: float, amount: float) -> None:
        """Spend all the same, up to one second's worth of debt."""
        self._left = max(-self.per_s, self.left(now) - amount)

    def when(self, now: float, amount: float) -> float:
        """When there will be so much."""
        return now + max(0.0, amount - self.left(now)) / self.per_s
