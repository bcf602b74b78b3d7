"""The error model: bounds for a count, from what is held of it and how old that is.

What is held of another instance is all that it had counted at some moment, at most `age` seconds ago. Counts
never decrease, so what is held is always a lower bound. The upper bound adds what the instance may have
counted since. The model assumes that, while it is not heard of, an instance counts for one tenant and class
at most `growth` times the peak rate that it last reported, as a Poisson process, and one more message. So
after an age a, with peak rate r, the instance has counted at most

    g r a + Z sqrt(g r a) + 1

more messages. This is the normal bound on a Poisson count; Z = 4 is exceeded less than once in 10,000
reports. The last term covers the first message of a tenant and class that was never seen before.

Clocks must run at the same speed within `MAX_CLOCK_DRIFT_SHARE`; they need not agree. The model is wrong for
a load that rises by more than `growth` while nothing is heard of the instance: then the count is above the
interval until the next exchange. It says nothing of instances that this one has never heard of.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf, sqrt

Z_SCORE = 4.0
MAX_CLOCK_DRIFT_SHARE = 0.01  # by which two clocks may differ in speed


@dataclass(frozen=True, slots=True)
class Interval:
    """A count: the value held, and bounds of the true value. `age_s` is the age of the oldest part."""

    count: int
    low: int
    high: float
    age_s: float = 0.0

    def __add__(self, other: Interval) -> Interval:
        """Returns the interval of both counts together: bounds add up, and the higher age is kept."""
        return Interval(
            self.count + other.count,
            self.low + other.low,
            self.high + other.high,
            max(self.age_s, other.age_s),
        )

    def holds(self, truth: int) -> bool:
        """Whether a value lies inside the interval."""
        return self.low <= truth <= self.high


def max_unseen(peak_per_s: float, age_s: float, growth: float) -> float:
    """Returns the most messages that an instance may have counted in `age_s` seconds without contact."""
    if age_s <= 0.0:
        return 0.0
    if age_s == inf:
        return inf
    mean = growth * peak_per_s * age_s * (1 + MAX_CLOCK_DRIFT_SHARE)
    return mean + Z_SCORE * sqrt(mean) + 1.0


def count_interval(held: int, peak_per_s: float, age_s: float, growth: float) -> Interval:
    """Returns the interval of one instance's count, from the value held, its peak rate and its age."""
    return Interval(held, held, held + max_unseen(peak_per_s, age_s, growth), age_s)
