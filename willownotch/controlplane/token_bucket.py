"""A token bucket that is told the time by its caller."""

from __future__ import annotations

ROUNDING_SLACK = 1e-6  # tokens that floating-point rounding may leave missing at the time of `ready_at`


class TokenBucket:
    """A token bucket that refills at `per_s` tokens a second, up to `burst` tokens."""

    def __init__(self, per_s: float, burst: float, now: float) -> None:
        self.per_s, self.burst = per_s, burst
        self._tokens, self.at = burst, now

    def available(self, now: float) -> float:
        """The tokens available at `now`; negative after an overdraft."""
        self._tokens = min(self.burst, self._tokens + max(0.0, now - self.at) * self.per_s)
        self.at = max(self.at, now)
        return self._tokens

    def try_spend(self, now: float, amount: float = 1.0) -> bool:
        """Spends tokens and returns True, or returns False if there are too few."""
        if self.available(now) < amount - ROUNDING_SLACK:
            return False
        self._tokens -= amount
        return True

    def spend_into_debt(self, now: float, amount: float) -> None:
        """Spends tokens even if there are too few, down to a debt of one second's refill."""
        self._tokens = max(-self.per_s, self.available(now) - amount)

    def ready_at(self, now: float, amount: float) -> float:
        """The time at which `amount` tokens will be available."""
        return now + max(0.0, amount - self.available(now)) / self.per_s
