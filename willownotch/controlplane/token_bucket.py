"""A token bucket. No clock."""

from __future__ import annotations

ROUNDING_SLACK = 1e-6  # what is missing by rounding when it is time


class TokenBucket:
    """A token bucket: so many a second, so many at once."""

    def __init__(self, per_s: float, burst: float, now: float) -> None:
        self.per_s, self.burst = per_s, burst
        self._left, self.at = burst, now

    def available(self, now: float) -> float:
        """What may be spent; below zero where it was overdrawn."""
        self._left = min(self.burst, self._left + max(0.0, now - self.at) * self.per_s)
        self.at = max(self.at, now)
        return self._left

    def try_spend(self, now: float, amount: float = 1.0) -> bool:
        """Spend, if there is so much."""
        if self.available(now) < amount - ROUNDING_SLACK:
            return False
        self._left -= amount
        return True

    def spend_into_debt(self, now: float, amount: float) -> None:
        """Spend all the same, up to one second's worth of debt."""
        self._left = max(-self.per_s, self.available(now) - amount)

    def ready_at(self, now: float, amount: float) -> float:
        """When there will be so much."""
        return now + max(0.0, amount - self.available(now)) / self.per_s
