"""Slow start: how many calls may go to an endpoint that is out, has come back, or is not known yet.

An endpoint that returns from an outage is cold: it takes a share of its capacity and grows warm over some
seconds. Many senders call it, none knows of the others, and it falls under the sum. So each keeps to its
part: of the limit where answers or the list tell one, else of what is usual between the two.

States and transitions are data here (`SlowStart`), what goes over a restart is `SlowStartRecord`. Nothing
here has a clock, a socket or a thread: times are seconds on the caller's clock, random numbers are handed in.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from math import ceil, floor, inf, log, sqrt

from willownotch.interface import Rules, SlowStartRecord

SPARE = 1.25  # x the cold share of what is usual: capacity that is there beside it
SPARE_TOLD = 2.0  # x the cold share of a limit that answers tell: less than the capacity
TOGETHER_LEAST = 1.0  # calls a second that all senders together may send at the least
LEARN_LEAST = 3.0  # senders a second that learn of an outage, at the least
TRIAL_MOST = 4.0  # calls a second to an endpoint that is out
STEPS = 16  # of the solution for the next call, in the time that an endpoint takes to get warm
PLAN_AGAIN_S = 0.25  # what is known grows while a call is waited for
HORIZON = 4  # x that time: as far as it looks
LATE_S = 0.15  # a call may leave so long after its decision, and nearer to the next one
SMALL_BUDGET = 30.0  # calls of a window; below it the rule grants more to chance
FEW_SENDERS = 10  # below it, what the rule grants to chance is more than one sender's calls
CHANCE = 2.0  # standard deviations that the sum of all senders keeps below a window's budget


class State(Enum):
    """What an endpoint is taken for. Transitions are the methods of `SlowStart`."""

    HEALTHY = "healthy"  # no bound here
    FAILING = "failing"  # out: single calls try whether it is back
    RECOVERING = "recovering"  # it may be cold: calls grow with its capacity
    SETTLING = "settling"  # surely warm: the bound goes on growing until nothing waits for it


def granted(expected: float) -> float:
    """The calls of a window that the rule lets pass, where the settings allow so many to be expected."""
    if expected < SMALL_BUDGET:
        return expected + 3 * sqrt(expected) + 3
    return expected + 2 * sqrt(expected) + 2


def share_after(since_s: float, rules: Rules) -> float:
    """The part of its capacity that an endpoint has so long after its return."""
    slope = (1 - rules.cold_share) / rules.cold_s
    return min(1.0, rules.cold_share + slope * max(0.0, since_s))


def part_of(calls: float, senders: int) -> float:
    """How many of a window's calls each sender may take, at any time of its own, so that all keep to them.

    A whole number each is certain. Of a fraction one more is sent by some and not by others: the deviation
    of that sum stays free. 0 where there is less than one call for each: then chance needs all the room.
    """
    part = calls / senders
    if part < 1.0:
        return 0.0
    fraction = part - floor(part)
    return max(float(floor(part)), part - CHANCE * sqrt(fraction * (1 - fraction) / senders))


@dataclass(frozen=True, slots=True)
class Traffic:
    """What is known of the calls to one endpoint, a second."""

    usual: float  # of this sender
    fair: float  # this sender's part of the limit if all have the same; 0 where none is known
    fleet: float  # of all senders
    told: bool = False  # answers have told the limit: the capacity is more than that
    certain: bool = False  # it was out, not only slow or full


@dataclass(frozen=True, slots=True)
class Calls:
    """What bounds the calls of all senders."""

    traffic: Traffic
    rules: Rules
    senders: int
    peers: int = 1  # endpoints that share the limit with this one
    notes: bool = False  # all hear of an outage and of its end, not only those that call there
    cold: int = 1  # of those endpoints, how many may be cold


@dataclass(slots=True)
class SlowStart:
    """One endpoint's state as this sender sees it, and when its next call may go."""

    state: State = State.HEALTHY
    failing_since: float = -inf  # begin of the last outage as far as it is known
    unreachable_at: float = inf  # the last failed connection; inf where what failed last was none
    returned_at: float = -inf  # assumed end of the last outage
    answered_at: float = -inf  # its first answer since
    warm_at: float = -inf  # when it is warm whatever the true end was
    next_at: float = -inf  # the next call that may go, as planned
    planned_at: float = -inf
    left: float = 0.0  # calls' worth of time until then
    counted_at: float = -inf  # as of when
    assumed_at: float = inf  # when that was said of it
    burst: float = 0.0  # calls that may go without a wait
    before: State = State.HEALTHY  # the state that a failure has ended
    assumed_before: bool = False  # and whether that was only assumed
    delivered_before: float = 0.0  # calls a second before the outage; 0 where none are known
    assumed: bool = False  # nothing was seen of an outage, and nothing says that there was none
    unknown: bool = False  # this process has found nothing usual there yet, and so may all others
    doubted: bool = False  # something speaks for an outage of what is only assumed to be cold
    window_calls: int = 0  # calls that may go in any `window_s`; 0: they go as planned
    window_s: float = 0.0

    def fail(self, now: float, delivered: float) -> None:
        """Calls fail, where so many a second were delivered lately."""
        if self.state is State.HEALTHY:  # else the bound itself kept them few
            self.delivered_before = delivered
        if self.state is not State.FAILING:
            self.before, self.assumed_before = self.state, self.assumed
        self.state, self.failing_since, self.assumed = State.FAILING, now, False

    def recover(self, now: float, rules: Rules, returned_at: float) -> None:
        """It answers, and returned then as far as can be told."""
        self.state, self.returned_at, self.assumed = State.RECOVERING, returned_at, False
        # The date is right in the mean of all senders, and too early for half: it is not warm before this.
        self.answered_at = max(now, returned_at)
        self.warm_at = self.answered_at + rules.cold_s

    def assume(self, now: float, rules: Rules, fair: float) -> None:
        """Nothing is known of it: it may have returned this very moment. `fair` is as in `Traffic`."""
        self.recover(now, rules, now)
        self.failing_since, self.unreachable_at, self.assumed, self.unknown = -inf, inf, True, True
        self.doubted = False
        self.assumed_at = now
        # One window's part may come at once: the rule counts windows, and a first burst is no backlog.
        self.burst = min(SPARE_TOLD, rules.fall_multiple) * rules.cold_share * fair * rules.fall_s

    def doubt(self, sent: int) -> None:
        """Messages come again: where nothing is known they may have met an outage.

        Until then what is only assumed to be cold is not held back: mostly it never was out. The calls that
        were sent meanwhile are counted from the assumed return on.
        """
        if self.assumed and not self.doubted:
            self.left, self.counted_at, self.planned_at, self.burst = float(sent), self.returned_at, -inf, 0.0
        self.doubted = True

    def answer(self, now: float, rules: Rules) -> None:
        """A call was answered. Where nothing is known, the first answer dates a return."""
        if self.unheard:
            self.returned_at = self.answered_at = now
            self.warm_at = now + rules.cold_s

    @property
    def unheard(self) -> bool:
        """Whether nothing is known of it but its place on the list: no call was answered yet."""
        return self.assumed and self.answered_at == self.assumed_at

    @property
    def binds(self) -> bool:
        """Whether it holds calls back: not what is assumed to be cold with nothing that speaks for it."""
        return self.state is not State.HEALTHY and (self.doubted or not self.assumed)

    def resume(self) -> None:
        """It was not out, only slow or full: what it was taken for before goes on."""
        self.state, self.assumed = self.before, self.assumed_before

    def clear(self) -> None:
        """It is warm, and nothing waits for it."""
        self.state, self.assumed, self.unknown = State.HEALTHY, False, False

    def date_return(self, now: float) -> float:
        """When it came back, as far as can be told at its first answer.

        Halfway back to the last failed connection is right for all senders together. A call that hangs or
        fails late dates nothing, an older failure says nothing of this outage.
        """
        since = max(self.unreachable_at, self.failing_since)
        return min(now, (since + now) / 2)

    def advance(self, now: float, waiting: int, recent: Sequence[float] = ()) -> bool:
        """Go on with time, with so many messages waiting; whether it is healthy by that. `recent` is as in
        `ready_at`.

        The bound ends when it holds nothing back, never with a backlog behind it: all senders would let go
        of theirs together.
        """
        if self.state is State.RECOVERING and now >= self.warm_at:
            self.state = State.SETTLING
        if self.state is State.SETTLING and waiting <= 1 and self.ready_at(recent) <= now:
            self.clear()
            return True
        return False

    def ready_at(self, recent: Sequence[float] = ()) -> float:
        """When the next call may go. `recent`: the last calls to what may be cold of its destination."""
        if not self.binds:
            return -inf
        # A return that all hear of at once is followed by first calls that are planned apart.
        begun = bool(recent) and recent[-1] >= self.returned_at
        if begun and self.state is not State.FAILING and self.window_calls:
            return self.window_ready_at(recent)
        return self.next_at

    def window_ready_at(self, recent: Sequence[float]) -> float:
        """When the window that is counted has room for one more call; at once where none is."""
        if self.window_calls and len(recent) >= self.window_calls:
            return recent[-self.window_calls] + self.window_s
        return -inf

    def charge(self, now: float, calls: float) -> None:
        """A call goes: the next one may after so many calls' worth of time. `plan` says when that is."""
        free = self.state is not State.FAILING and self.burst >= 1.0
        self.burst -= free
        self.left, self.counted_at, self.planned_at = 0.0 if free else calls, now, -inf

    def stale(self, now: float) -> bool:
        """Whether its plan is so old that more may be known by now."""
        return self.state is not State.HEALTHY and now - self.planned_at >= PLAN_AGAIN_S

    def plan(self, now: float, calls: Calls) -> None:
        """Set when the next call may go, by what is known now; what was waited for before stays counted."""
        begin = self.counted_at if self.state is State.FAILING else max(self.counted_at, self.returned_at)
        if begin < now:
            self.left -= self._worth(begin, now - begin, calls)
            self.counted_at = begin = now
        self.planned_at = now
        step, at, left = calls.rules.cold_s / STEPS, begin, self.left
        while left > 0.0 and at < begin + HORIZON * calls.rules.cold_s:
            worth = self._worth(at, step, calls)
            if worth >= left:
                at += step * left / worth
                break
            at, left = at + step, left - worth
        self.next_at = at
        self._plan_window(now, calls)

    def _plan_window(self, now: float, calls: Calls) -> None:
        """Count calls by windows where this sender's part of a budget is more than the rate gives."""
        self.window_calls = 0
        if self.state is State.FAILING or calls.senders >= FEW_SENDERS:
            return
        rules, traffic = calls.rules, calls.traffic
        share = self._share_for_certain(now, rules)
        scale = calls.senders * calls.cold * share * rules.fall_s
        part = part_of(granted(rules.fall_multiple * scale * traffic.fair), calls.senders)
        part *= self._growth(now, rules)
        if part < max(1.0, calls.cold * rules.fall_s * self._rate(now, calls)):
            return
        self.window_calls = ceil(part)  # of a fraction one more, and the window longer for it
        self.window_s = (rules.fall_s + LATE_S) * self.window_calls / part

    def _worth(self, at: float, span: float, calls: Calls) -> float:
        """The calls that may go in a span from `at` on, short against the time that it takes to get warm."""
        return max(span * self._rate(at, calls), self._least(at, span, calls))

    def _rate(self, at: float, calls: Calls) -> float:
        """Calls a second that this sender's part allows."""
        rules, traffic = calls.rules, calls.traffic
        share = self._share(at, rules)
        most = min(SPARE_TOLD, rules.fall_multiple)
        # Where it is assumed no failure was seen: all that the rule allows, or a calm start would suffer.
        own_spare = most if self.assumed else SPARE if self.state is not State.FAILING else 1.0
        fair_spare = most if self.assumed or (traffic.certain and traffic.told) else SPARE
        own = min(1.0 if traffic.told else SPARE, own_spare * share) * traffic.usual
        rate = max(own, min(1.0, fair_spare * share) * traffic.fair)
        if self.state is State.FAILING:
            return min(TRIAL_MOST, rate)
        return rate * self._growth(at, rules)

    def _share(self, at: float, rules: Rules) -> float:
        """The part of its capacity that it has."""
        if self.state is State.FAILING:
            return rules.cold_share
        # A window's budget is that of its begin: what is sent in its mean must not be ahead of that.
        return share_after(at - self.returned_at - rules.fall_s / 2, rules)

    def _share_for_certain(self, at: float, rules: Rules) -> float:
        """The part of its capacity that it had for certain a window ago: it had returned by its answer."""
        return share_after(at - self.answered_at - rules.fall_s, rules)

    def _growth(self, at: float, rules: Rules) -> float:
        """How far the bound has grown beyond what is usual, as fast as before, since it is surely warm."""
        slope = (1 - rules.cold_share) / rules.cold_s
        return 1.0 + slope * max(0.0, at - self.warm_at)

    def _least(self, at: float, span: float, calls: Calls) -> float:
        """Calls in a span from `at` on that each sender may send, however little its part is.

        Together they are `TOGETHER_LEAST` a second. Without notes only those know that have called since the
        outage began: as many as there were calls.
        """
        # Trials find one endpoint of a destination after the other; what has returned shares its calls.
        peers = 1 if self.state is State.FAILING else calls.peers
        together = TOGETHER_LEAST / peers * self._share(at, calls.rules) / calls.rules.cold_share
        most = max(1.0, float(calls.senders))
        if calls.notes or self.unknown:
            return together * span / most
        ended = at if self.state is State.FAILING else max(self.returned_at, self.failing_since)
        learn, known = max(LEARN_LEAST, calls.traffic.fleet), max(0.0, ended - self.failing_since)
        begin = min(most, 1.0 + learn * known)
        if self.state is not State.FAILING:
            return together * span / begin
        end = min(most, begin + learn * span)
        return together * (log(end / begin) / learn if end > begin else span / begin)

    def record(
        self, endpoint: int, last_answer: float, usual: float, limit: float, pace: float
    ) -> SlowStartRecord:
        """What a process after this one has to know of it."""
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
        """The state that a process before this one had; its next call is still to be planned."""
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
