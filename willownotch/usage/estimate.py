"""The error model: the interval that a count lies in, from what is held and how old it is.

What is held of another instance was all that it had counted at some moment, at most `age` ago. Counts never
go down, so what is held is a lower bound whatever happens. Above it lies what the instance may have counted
since. The model for that: in any unseen stretch an instance counts for one tenant and class at most `growth`
times the peak rate it last told of, spread as a Poisson process is, and one more message. So after an age a,
with r the peak rate,

    growth(a) = g r a + Z sqrt(g r a) + 1

(the normal bound on a Poisson count, with Z = 4 missed less than once in 10,000 answers; the last term is
for the first message of a pair that was never seen before). It needs that clocks run at the same speed
within DRIFT, and never that they agree. It is wrong for a load that jumps by more than `growth` while
nothing is heard of the instance: then the count is above the interval until the next exchange. It says
nothing of an instance that nobody here has ever heard of.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf, sqrt

Z = 4.0
DRIFT = 0.01  # share by which two clocks may differ in speed


@dataclass(frozen=True, slots=True)
class Interval:
    """A count: what is held, and the bounds it truly lies in. `age_s` is that of the oldest part."""

    count: int
    low: int
    high: float
    age_s: float = 0.0

    def __add__(self, other: Interval) -> Interval:
        """Of two instances together: the bounds add up, and the oldest age counts."""
        return Interval(
            self.count + other.count,
            self.low + other.low,
            self.high + other.high,
            max(self.age_s, other.age_s),
        )

    def holds(self, truth: int) -> bool:
        """Whether a value lies inside."""
        return self.low <= truth <= self.high


def unseen(peak_per_s: float, age_s: float, growth: float) -> float:
    """The most that may have been counted in a stretch of `age_s` seconds that nothing was heard of."""
    if age_s <= 0.0:
        return 0.0
    if age_s == inf:
        return inf
    mean = growth * peak_per_s * age_s * (1 + DRIFT)
    return mean + Z * sqrt(mean) + 1.0


def interval(held: int, peak_per_s: float, age_s: float, growth: float) -> Interval:
    """Of one part: its value, its peak rate, its age."""
    return Interval(held, held, held + unseen(peak_per_s, age_s, growth), age_s)
