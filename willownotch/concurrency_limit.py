"""The high-percentile concurrency limit (docs/design.md): a window of calls in flight, and cuts by priority.

After "tRPC-Cpp adaptive overload protection based on concurrency (high_percentile)". Times are seconds on the
caller's clock; nothing here has a clock, a socket or a thread.
"""

from __future__ import annotations

from math import inf, sqrt

from willownotch.state import Job, Unit, follow

TICK_S = 0.02  # s; no timer is set nearer than this: short against any time wanted of a message
PERIOD_S = 1.0  # s; the design feeds its averages once a second
SLOW_STEP, FAST_STEP = 0.01, 0.1  # the design's averages: the far side of an extreme moves tenfold slower
M_KEEP, M_EVERY, M_LAST = 0.9, 10, 30  # the design: M's smoothing; every 10 successes the last 30's maximum
LIGHT, EXPECTED_FACTOR = 0.5, 2.0  # the design: no load under half of expected, which is twice the calm p99
CALM_LEAST, CALM_MOST = 20, 200  # latencies that a p99 needs to mean anything, and that are kept
CUT_EVERY, CUT_STEP, TOP = 200, 8.0, 256.0  # the design's period of cuts; a step is 1/32 of the range
MIDDLE_PASS, MIDDLE_TO_TOP = 0.5, 0.1  # the design's aims for the cuts
RECENT_S = 2.0  # s that an outcome is news
PACE_GROW = 1.08  # x pace at a success; with a cut of 0.6 it balances at one refusal in eight
PACE_DONE = 3.0  # x max rate: such a pace says nothing
PACE_BACK = 1.5  # x pace at a success with room left, up to the even part
ROOM_LEFT = 0.5  # share of a limit: with less left, others would be refused what is sent faster


def success(unit: Unit, took: float, now: float, room: float | None = None, even: float = 0.0) -> None:
    """Feed the design's cost, rate and M with one call."""
    if now - unit.period_at >= PERIOD_S:
        close_period(unit, now)
    unit.costs.append(took)
    # A slow pace has few successes to grow by: seconds without refusal count too, while room is left if told.
    idle = (now - max(unit.refused_at, unit.grown_at)) / PERIOD_S
    unit.pace *= PACE_GROW ** (1.0 if room is not None and room < ROOM_LEFT else max(1.0, idle))
    if room is not None and room >= ROOM_LEFT and unit.pace < even:
        unit.pace = min(even, PACE_BACK * unit.pace)  # no sender takes from others by that
    unit.grown_at = now
    unit.last.append(took)
    del unit.last[:-M_LAST]
    unit.since += 1
    if unit.since >= M_EVERY:
        unit.since = 0
        unit.maxima.append(max(unit.last))


def close_period(unit: Unit, now: float) -> None:
    """Close one of the design's periods. It lasts to the next success: few calls are no high rate."""
    span = max(TICK_S, now - unit.period_at)  # a unit may be new in this very round
    step = 1 - (1 - FAST_STEP) ** (span / PERIOD_S)
    unit.mean_rate = follow(unit.mean_rate, len(unit.costs) / span, step, step)
    if unit.costs:
        unit.min_cost = follow(unit.min_cost, sum(unit.costs) / len(unit.costs), SLOW_STEP, FAST_STEP)
        unit.max_rate = follow(unit.max_rate, len(unit.costs) / PERIOD_S, FAST_STEP, SLOW_STEP)
        if max(unit.failed_at, unit.refused_at) < unit.period_at and not slow(unit):
            unit.calm = (unit.calm + unit.costs)[-CALM_MOST:]
            if len(unit.calm) >= CALM_LEAST:
                unit.expected = EXPECTED_FACTOR * sorted(unit.calm)[int(0.99 * (len(unit.calm) - 1))]
    if unit.maxima:
        unit.measured = follow(unit.measured, sum(unit.maxima) / len(unit.maxima), 1 - M_KEEP, 1 - M_KEEP)
    if unit.pace > PACE_DONE * (unit.max_rate or inf):
        unit.pace = inf
    unit.costs, unit.maxima, unit.period_at = [], [], now


def slow(unit: Unit) -> bool:
    """M has passed expected."""
    return unit.measured is not None and unit.measured > unit.expected


def window(unit: Unit, now: float) -> float:
    """F x min cost x max rate; binds once M passes expected or calls fail, never below one."""
    binds = slow(unit) or now - unit.failed_at < RECENT_S
    if not binds or None in (unit.max_rate, unit.measured) or unit.measured < LIGHT * unit.expected:
        return inf
    ratio = unit.expected / unit.measured
    return max(1.0, (ratio if ratio > 1 else sqrt(ratio)) * unit.min_cost * unit.max_rate)


def admits(unit: Unit, job: Job, now: float, limit: float | None = None) -> bool:
    """The design's cuts: at or above upper a job has room under twice the window, else under once."""
    top = job.priority >= unit.upper
    room = unit.calls < (window(unit, now) if limit is None else limit) * (2 if top else 1)
    if not job.judged:
        job.judged = True
        unit.seen += 1
        unit.top += top
        if unit.lower <= job.priority < unit.upper:
            unit.passed += room
            unit.missed += not room
        if unit.seen >= CUT_EVERY:
            step_cuts(unit)
    return room


def step_cuts(unit: Unit) -> None:
    """Half the middle band shall pass, a tenth as many as the top; with no misses the cuts drift back."""
    unit.upper = min(unit.upper, TOP)
    if unit.missed:
        unit.lower += CUT_STEP if unit.passed < MIDDLE_PASS * (unit.passed + unit.missed) else -CUT_STEP
        unit.upper += -CUT_STEP if unit.passed > MIDDLE_TO_TOP * unit.top else CUT_STEP
    else:
        unit.lower -= CUT_STEP
        unit.upper += CUT_STEP
    unit.lower = max(0.0, min(unit.lower, TOP - CUT_STEP))
    unit.upper = max(unit.lower + CUT_STEP, min(unit.upper, TOP))
    unit.seen = unit.top = unit.passed = unit.missed = 0
