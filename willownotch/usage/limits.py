"""How much of a tenant's limit this instance may let through. Pure functions; they reject nothing themselves.

The limit holds for the whole fleet: a number of messages in a span of time. What remains of it is the limit
less the interval's upper bound, so messages that other instances may have counted unheard of are already
subtracted. The remainder is shared out: one portion evenly among the instances, the other by the load that
each has had, so that a busy instance gets more and an idle one can still begin. Each instance uses only its
own share of a remainder that it cannot overestimate, so the fleet stays within the limit as long as the
error model holds.

After "flow proportional share", which splits a distributed rate limit by demand (Raghavan and others, 2007),
with the upper bound in place of an estimate.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from willownotch.usage.estimate import Interval


@dataclass(frozen=True, slots=True)
class Allowance:
    """How many messages this instance may still let through, and the values that bound it."""

    messages: int
    fleet_remaining: float  # messages left of the whole fleet's limit
    share: float  # this instance's share of them


def share_of_limit(own_rate: float, other_rates: Sequence[float], by_load: float) -> float:
    """Returns this instance's share of what remains, 0 to 1. All instances' shares add up to at most 1.

    `other_rates` has one entry for each other instance that may be counting, heard of or not. `by_load` is
    the portion that is shared by load instead of evenly.
    """
    members = 1 + len(other_rates)
    total = own_rate + sum(other_rates)
    load_share = own_rate / total if total > 0 else 1 / members
    return by_load * load_share + (1 - by_load) / members


def allowance(
    limit: int, counted: Interval, own_rate: float, other_rates: Sequence[float], by_load: float = 0.5
) -> Allowance:
    """Returns how many more messages this instance may let through without a risk that the fleet exceeds
    its limit.

    `limit` and `counted` are messages in the same span; rates are messages a second.
    """
    fleet_remaining = max(0.0, limit - counted.high)
    own_share = share_of_limit(own_rate, other_rates, by_load)
    return Allowance(int(fleet_remaining * own_share), fleet_remaining, own_share)


def own_rate_limit(
    limit_per_s: float, own_rate: float, other_rates: Sequence[float], by_load: float = 0.5
) -> float:
    """Returns this instance's part of a limit that is a rate, in messages a second."""
    return limit_per_s * share_of_limit(own_rate, other_rates, by_load)
