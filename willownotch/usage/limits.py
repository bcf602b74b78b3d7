"""How much of a tenant's limit this instance may let through. Values in, values out; it turns nothing away.

The limit holds for the whole fleet: so many messages in a span. What is left of it is the limit less the
most that may have been counted (the interval's upper end, so that instances unheard of are counted for, not
hoped for). The rest is shared: one part evenly among the instances that are there, the other by the load
that each has had, so that a busy instance gets more and an idle one can still begin. Each instance takes
only its own share of a rest that it cannot have seen too large, so the fleet stays within the limit as long
as the error model holds.

After the way that distributed rate limiting is split by demand (Raghavan and others, 2007, "flow proportional
share"), with the upper end in place of an estimate.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from willownotch.usage.estimate import Interval


@dataclass(frozen=True, slots=True)
class Allowance:
    """What may still be let through here, and why it is no more."""

    messages: int
    rest: float  # of the whole fleet's limit
    share: float  # of the rest, this instance's


def share(own_rate: float, other_rates: Sequence[float], by_load: float) -> float:
    """This instance's part of what is left, 0 to 1. The shares of all instances add up to 1 at the most.

    `other_rates` has one entry for each other instance that may be counting, also one that is not heard of.
    """
    members = 1 + len(other_rates)
    total = own_rate + sum(other_rates)
    loaded = own_rate / total if total > 0 else 1 / members
    return by_load * loaded + (1 - by_load) / members


def allowance(
    limit: int, counted: Interval, own_rate: float, other_rates: Sequence[float], by_load: float = 0.5
) -> Allowance:
    """How many more messages this instance may let through before the fleet could be over its limit.

    `limit` and `counted` are of one span, in messages; rates are messages a second.
    """
    rest = max(0.0, limit - counted.high)
    part = share(own_rate, other_rates, by_load)
    return Allowance(int(rest * part), rest, part)


def pace(limit_per_s: float, own_rate: float, other_rates: Sequence[float], by_load: float = 0.5) -> float:
    """This instance's part of a limit that is a rate: messages a second."""
    return limit_per_s * share(own_rate, other_rates, by_load)
