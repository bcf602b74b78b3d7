"""Slow start: how many calls may go to an endpoint that is out, has returned, or is not known yet.

An endpoint that returns from an outage is cold: it has a share of its capacity at first and all of it after
some seconds. Many senders call it without knowing of each other, and it fails again under the sum of their
calls. So each sender keeps to its part: of the limit if answers or the list report one, else of the usual
traffic between the two.

`SlowStart` holds states and transitions as data; `SlowStartRecord` is what is stored across restarts. There
is no clock, socket or thread here: times are seconds on the caller's clock, and random numbers are arguments.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from math import ceil, floor, inf, log, sqrt

from willownotch.interface import Rules, SlowStartRecord

USUAL_SPARE = 1.25  # x the cold share of the usual rate: capacity is above the usual rate
LIMIT_SPARE = 2.0  # x the cold share of a reported limit, which is less than the capacity
MIN_FLEET_PER_S = 1.0  # calls that all senders together may always send
MIN_LEARN_PER_S = 3.0  # senders that learn of an outage, at least
MAX_TRIALS_PER_S = 4.0  # calls to an endpoint that is out
PLAN_STEPS = 16  # steps of the plan for the next call within `cold_s`
REPLAN_S = 0.25  # a plan is renewed after this, since more may be known by then
PLAN_HORIZON = 4  # x `cold_s`: a plan looks this far ahead
SEND_LAG_S = 0.15  # a call may leave this long after its decision, and closer to the next one
SMALL_BUDGET_CALLS = 30.0  # below this budget of a window the rule allows a larger margin for chance
FEW_SENDERS = 10  # below this the rule's margin for chance is more than one sender's calls
SUM_DEVIATIONS = 2.0  # standard deviations by which the sum of all senders stays below a window's budget


class State(Enum):
    """The assumed state of an endpoint. Transitions are the methods of `SlowStart`."""

    HEALTHY = "healthy"  # calls are not limited here
    FAILING = "failing"  # out: single calls check whether it has returned
    RECOVERING = "recovering"  # possibly cold: the bound on calls grows with its capacity
    SETTLING = "settling"  # certainly warm: the bound keeps growing until no message waits for it


def allowed_calls(expected: float) -> float:
    """The calls that the rule allows in a window whose expected budget by the settings is `expected`."""
    if expected < SMALL_BUDGET_CALLS:
        return expected + 3 * sqrt(expected) + 3
    return expected + 2 * sqrt(expected) + 2


def warm_share(since_s: float, rules: Rules) -> float:
    """The share of its capacity that an endpoint has `since_s` seconds after its return."""
    slope = (1 - rules.cold_share) / rules.cold_s
    return min(1.0, rules.cold_share + slope * max(0.0, since_s))


def calls_per_sender(calls: float, senders: int) -> float:
    """How many of a window's calls each sender may use, at times of its own, so that the sum stays within.

    The whole part is certain. Of a fraction some senders send one more call and others none, so room for the
    deviation of that sum is left. Returns 0 below one call per sender: chance then needs all of the room.
    """
    part = calls / senders
    if part < 1.0:
        return 0.0
    fraction = part - floor(part)
    return max(float(floor(part)), part - SUM_DEVIATIONS * sqrt(fraction * (1 - fraction) / senders))


@dataclass(frozen=True, slots=True)
class Traffic:
    """What is known of the calls to one endpoint, in calls per second."""

    usual: float  # of this sender
    fair: float  # this sender's part of the limit if all have the same; 0 if no limit is known
    fleet: float  # of all senders
    reported: bool = False  # answers reported the limit: the capacity is above it
    certain: bool = False  # the endpoint was out, not only slow or at its limit


@dataclass(frozen=True, slots=True)
class Bounds:
    """What bounds the calls of all senders to one endpoint."""

    traffic: Traffic
    rules: Rules
    senders: int
    peers: int = 1  # endpoints that share the limit with this one, itself included
    shared: bool = False  # all senders hear of an outage and of its end, not only those that call there
    cold: int = 1  # of those peers, how many may be cold


@dataclass(slots=True)
class SlowStart:
    """The state of one endpoint as this sender sees it, and when its next call may go."""

    state: State = State.HEALTHY
    failing_since: float = -inf  # start of the last outage as far as known
    unreachable_at: float = inf  # the last failed connection; inf if the last failure was of another kind
    returned_at: float = -inf  # assumed end of the last outage
    answered_at: float = -inf  # first answer since
    warm_at: float = -inf  # when it is certainly warm, whenever the outage really ended
    next_at: float = -inf  # earliest next call, as planned
    planned_at: float = -inf
    debt: float = 0.0  # calls for which room must still accrue before the next one
    accrued_at: float = -inf  # time up to which the room is deducted from `debt`
    assumed_at: float = inf  # when the endpoint was assumed to be cold
    burst: float = 0.0  # calls that may go without a wait
    state_before: State = State.HEALTHY  # the state that a failure ended
    assumed_before: bool = False  # whether that state was only assumed
    delivered_before: float = 0.0  # calls per second before the outage; 0 if unknown
    assumed: bool = False  # no outage was seen, but none can be ruled out
    unknown: bool = False  # this process has no usual traffic there yet, and all others may be the same
    suspected: bool = False  # there is a sign of an outage of an endpoint that is only assumed to be cold
    window_calls: int = 0  # calls allowed in any `window_s`; 0: calls go as planned
    window_s: float = 0.0

    def fail(self, now: float, delivered: float) -> None:
        """Enter an outage; `delivered` is the recent rate of deliveries in calls per second."""
        if self.state is State.HEALTHY:  # otherwise the bound itself kept the rate low
            self.delivered_before = delivered
        if self.state is not State.FAILING:
            self.state_before, self.assumed_before = self.state, self.assumed
        self.state, self.failing_since, self.assumed = State.FAILING, now, False

    def recover(self, now: float, rules: Rules, returned_at: float) -> None:
        """Enter the recovery of an endpoint that answers and is estimated to have returned then."""
        self.state, self.returned_at, self.assumed = State.RECOVERING, returned_at, False
        # The estimate is right on average over all senders, so too early for half of them: it is not warm
        # before `cold_s` after its first answer.
        self.answered_at = max(now, returned_at)
        self.warm_at = self.answered_at + rules.cold_s

    def assume(self, now: float, rules: Rules, fair: float) -> None:
        """Assume that an unknown endpoint returned just now. `fair` is as in `Traffic`."""
        self.recover(now, rules, now)
        self.failing_since, self.unreachable_at, self.assumed, self.unknown = -inf, inf, True, True
        self.suspected = False
        self.assumed_at = now
        # The part of one window may go at once: the rule counts calls by windows, and this is no backlog.
        self.burst = min(LIMIT_SPARE, rules.fall_multiple) * rules.cold_share * fair * rules.fall_s

    def suspect(self, sent: int) -> None:
        """Note a sign of an outage, such as messages that clients retry.

        Without one an endpoint that is only assumed to be cold is not limited, since mostly it was never out.
        The `sent` calls made meanwhile are counted from the assumed return on.
        """
        if self.assumed and not self.suspected:
            self.debt, self.accrued_at, self.planned_at, self.burst = float(sent), self.returned_at, -inf, 0.0
        self.suspected = True

    def answer(self, now: float, rules: Rules) -> None:
        """Record an answer. The first one of an unknown endpoint is taken as the time of its return."""
        if self.unheard:
            self.returned_at = self.answered_at = now
            self.warm_at = now + rules.cold_s

    @property
    def unheard(self) -> bool:
        """Whether only its list entry is known: it is assumed to be cold and no call was answered yet."""
        return self.assumed and self.answered_at == self.assumed_at

    @property
    def binds(self) -> bool:
        """Whether it limits calls: not if the endpoint is only assumed to be cold, without a sign of it."""
        return self.state is not State.HEALTHY and (self.suspected or not self.assumed)

    def resume(self) -> None:
        """Return to the state before the failure: the endpoint was not out, only slow or at its limit."""
        self.state, self.assumed = self.state_before, self.assumed_before

    def clear(self) -> None:
        """Set to healthy: the endpoint is warm and nothing waits for it."""
        self.state, self.assumed, self.unknown = State.HEALTHY, False, False

    def estimate_return(self, now: float) -> float:
        """The estimated time of its return, at its first answer.

        Halfway back to the last failed connection is right on average over all senders. A call that hangs or
        fails late gives no date, and an older failure says nothing about this outage.
        """
        since = max(self.unreachable_at, self.failing_since)
        return min(now, (since + now) / 2)

    def advance(self, now: float, waiting: int, recent: Sequence[float] = ()) -> bool:
        """Advance to the time `now` with `waiting` messages; return whether it became healthy by that.

        `recent` is as in `ready_at`. The bound ends when it holds nothing back, never with a backlog behind
        it: otherwise all senders would release theirs at the same time.
        """
        if self.state is State.RECOVERING and now >= self.warm_at:
            self.state = State.SETTLING
        if self.state is State.SETTLING and waiting <= 1 and self.ready_at(recent) <= now:
            self.clear()
            return True
        return False

    def ready_at(self, recent: Sequence[float] = ()) -> float:
        """When the next call may go. `recent`: times of calls to possibly cold endpoints of its pool."""
        if not self.binds:
            return -inf
        # First calls after a return that all senders hear of at once are planned apart from each other.
        begun = bool(recent) and recent[-1] >= self.returned_at
        if begun and self.state is not State.FAILING and self.window_calls:
            return self.window_ready_at(recent)
        return self.next_at

    def window_ready_at(self, recent: Sequence[float]) -> float:
        """When the window has room for one more call; -inf if calls are not counted by windows."""
        if self.window_calls and len(recent) >= self.window_calls:
            return recent[-self.window_calls] + self.window_s
        return -inf

    def charge(self, now: float, calls: float) -> None:
        """Record a call: room for `calls` must accrue before the next one. `plan` computes when."""
        free = self.state is not State.FAILING and self.burst >= 1.0
        self.burst -= free
        self.debt, self.accrued_at, self.planned_at = 0.0 if free else calls, now, -inf

    def plan_outdated(self, now: float) -> bool:
        """Whether its plan is so old that more may be known by now."""
        return self.state is not State.HEALTHY and now - self.planned_at >= REPLAN_S

    def plan(self, now: float, bounds: Bounds) -> None:
        """Set the time of the next call by what is known now; room that accrued before is kept."""
        begin = self.accrued_at if self.state is State.FAILING else max(self.accrued_at, self.returned_at)
        if begin < now:
            self.debt -= self._calls_in(begin, now - begin, bounds)
            self.accrued_at = begin = now
        self.planned_at = now
        step, at, debt = bounds.rules.cold_s / PLAN_STEPS, begin, self.debt
        while debt > 0.0 and at < begin + PLAN_HORIZON * bounds.rules.cold_s:
            accrued = self._calls_in(at, step, bounds)
            if accrued >= debt:
                at += step * debt / accrued
                break
            at, debt = at + step, debt - accrued
        self.next_at = at
        self._plan_window(now, bounds)

    def _plan_window(self, now: float, bounds: Bounds) -> None:
        """Count calls by windows if this sender's part of a window's budget is above what the rate gives."""
        self.window_calls = 0
        if self.state is State.FAILING or bounds.senders >= FEW_SENDERS:
            return
        rules, traffic = bounds.rules, bounds.traffic
        share = self._certain_share(now, rules)
        scale = bounds.senders * bounds.cold * share * rules.fall_s
        part = calls_per_sender(allowed_calls(rules.fall_multiple * scale * traffic.fair), bounds.senders)
        part *= self._growth(now, rules)
        if part < max(1.0, bounds.cold * rules.fall_s * self._rate(now, bounds)):
            return
        self.window_calls = ceil(part)  # a fraction is rounded up, and the window made longer to match
        self.window_s = (rules.fall_s + SEND_LAG_S) * self.window_calls / part

    def _calls_in(self, at: float, span: float, bounds: Bounds) -> float:
        """The calls that may go within `span` from `at` on; `span` is short against `cold_s`."""
        return max(span * self._rate(at, bounds), self._min_calls(at, span, bounds))

    def _rate(self, at: float, bounds: Bounds) -> float:
        """Calls per second that this sender's part allows."""
        rules, traffic = bounds.rules, bounds.traffic
        share = self._share(at, rules)
        most = min(LIMIT_SPARE, rules.fall_multiple)
        # No failure was seen if it is only assumed to be cold: then all that the rule allows, or a start
        # beside a healthy endpoint would suffer.
        own_spare = most if self.assumed else USUAL_SPARE if self.state is not State.FAILING else 1.0
        fair_spare = most if self.assumed or (traffic.certain and traffic.reported) else USUAL_SPARE
        own = min(1.0 if traffic.reported else USUAL_SPARE, own_spare * share) * traffic.usual
        rate = max(own, min(1.0, fair_spare * share) * traffic.fair)
        if self.state is State.FAILING:
            return min(MAX_TRIALS_PER_S, rate)
        return rate * self._growth(at, rules)

    def _share(self, at: float, rules: Rules) -> float:
        """The share of its capacity that it is estimated to have."""
        if self.state is State.FAILING:
            return rules.cold_share
        # A window's budget is that of its beginning, so the rate must not be ahead of that in its middle.
        return warm_share(at - self.returned_at - rules.fall_s / 2, rules)

    def _certain_share(self, at: float, rules: Rules) -> float:
        """The share of its capacity that it certainly had a window ago: it returned by its first answer."""
        return warm_share(at - self.answered_at - rules.fall_s, rules)

    def _growth(self, at: float, rules: Rules) -> float:
        """Factor by which the bound has grown beyond the usual rate since it is certainly warm.

        It grows at the same slope as before.
        """
        slope = (1 - rules.cold_share) / rules.cold_s
        return 1.0 + slope * max(0.0, at - self.warm_at)

    def _min_calls(self, at: float, span: float, bounds: Bounds) -> float:
        """Calls within `span` from `at` on that each sender may send, however small its part is.

        Together they are `MIN_FLEET_PER_S`. Unless outages are shared, only senders that have called since
        the outage began know of it: as many as there were calls.
        """
        # Trials find one endpoint of a destination after the other; those that have returned share the calls.
        peers = 1 if self.state is State.FAILING else bounds.peers
        together = MIN_FLEET_PER_S / peers * self._share(at, bounds.rules) / bounds.rules.cold_share
        most = max(1.0, float(bounds.senders))
        if bounds.shared or self.unknown:
            return together * span / most
        ended = at if self.state is State.FAILING else max(self.returned_at, self.failing_since)
        learn, known = max(MIN_LEARN_PER_S, bounds.traffic.fleet), max(0.0, ended - self.failing_since)
        begin = min(most, 1.0 + learn * known)
        if self.state is not State.FAILING:
            return together * span / begin
        end = min(most, begin + learn * span)
        return together * (log(end / begin) / learn if end > begin else span / begin)

    def record(
        self, endpoint: int, last_answer: float, usual: float, limit: float, pace: float
    ) -> SlowStartRecord:
        """What the next process needs to know of this endpoint."""
        return SlowStartRecord(
            endpoint,
            self.state.value,
            self.failing_since,
            self.unreachable_at,
            self.returned_at,
            self.answered_at,
            self.warm_at,
            self.assumed,
            self.unknown,
            last_answer,
            usual,
            limit,
            pace,
        )

    @classmethod
    def restore(cls, record: SlowStartRecord) -> SlowStart:
        """The state from a record of the previous process; its next call must still be planned."""
        return cls(
            State(record.state),
            record.failing_since,
            record.unreachable_at,
            record.returned_at,
            record.answered_at,
            record.warm_at,
            delivered_before=record.usual,
            assumed=record.assumed,
            unknown=record.unknown,
        )
