"""The high-percentile concurrency limit (docs/design.md): a window of calls in flight, and cuts by priority.

After "tRPC-Cpp adaptive overload protection based on concurrency (high_percentile)", called the design below.
F is its factor on the window, M its smoothed maximum of latencies, and cost its word for latency. Times are
seconds on the caller's clock; there is no clock, socket or thread here.
"""

from __future__ import annotations

from math import inf, sqrt

from willownotch.state import Job, Pool, ewma

TICK_S = 0.02  # no timer is set nearer than this, which is short against the wanted time of any message
PERIOD_S = 1.0  # the design updates its averages once a second
SLOW_STEP, FAST_STEP = 0.01, 0.1  # weights of the design's averages: tenfold slower away from the extreme
M_KEEP, M_EVERY, M_LAST = 0.9, 10, 30  # the design: M's smoothing; every 10 successes the last 30's maximum
LIGHT_LOAD, EXPECTED_FACTOR = 0.5, 2.0  # the design: no load if M is under half of expected = 2 x calm p99
MIN_CALM, MAX_CALM = 20, 200  # latencies that a p99 needs to be meaningful; latencies kept
CUT_EVERY, CUT_STEP, MAX_PRIORITY = 200, 8.0, 256.0  # the design: messages per step; 1/32 of the range
MIDDLE_PASS, MIDDLE_TO_TOP = 0.5, 0.1  # the design: target shares of the middle band for the cuts
RECENT_S = 2.0  # an outcome counts as recent for this long
PACE_GROWTH = 1.08  # x pace at a success; with a cut of 0.6 it balances at one refusal in eight calls
MAX_GROWTH_STEPS = 1000.0  # of the pace at one success; far above any pace that is still in use
PACE_OFF = 3.0  # x max rate: a pace above this limits nothing and is dropped
PACE_RECOVERY = 1.5  # x pace at a success with room left, up to the even share
ROOM_LEFT = 0.5  # share of a limit: with less left, faster calls would cause refusals for other senders


def record_success(pool: Pool, took: float, now: float, room: float | None = None, even: float = 0.0) -> None:
    """Update the design's latency, rate and M, and the pace, with one successful call.

    `room` is the unused share of the limit if reported, `even` each sender's even share of the limit in
    calls per second.
    """
    if now - pool.period_began_at >= PERIOD_S:
        close_period(pool, now)
    pool.costs.append(took)
    # A slow pace has few successes to grow by, so each second without a refusal counts as one too, unless the
    # reported room is low.
    idle = min(MAX_GROWTH_STEPS, (now - max(pool.refused_at, pool.pace_grown_at)) / PERIOD_S)
    pool.pace *= PACE_GROWTH ** (1.0 if room is not None and room < ROOM_LEFT else max(1.0, idle))
    if room is not None and room >= ROOM_LEFT and pool.pace < even:
        pool.pace = min(even, PACE_RECOVERY * pool.pace)  # takes nothing from other senders
    pool.pace_grown_at = now
    pool.recent.append(took)
    del pool.recent[:-M_LAST]
    pool.since_maximum += 1
    if pool.since_maximum >= M_EVERY:
        pool.since_maximum = 0
        pool.maxima.append(max(pool.recent))


def close_period(pool: Pool, now: float) -> None:
    """Close a period of the design. A period lasts until the next success: a few calls are no high rate."""
    span = max(TICK_S, now - pool.period_began_at)  # the pool may have been created in this round
    step = 1 - (1 - FAST_STEP) ** (span / PERIOD_S)
    pool.mean_rate = ewma(pool.mean_rate, len(pool.costs) / span, step, step)
    if pool.costs:
        pool.min_cost = ewma(pool.min_cost, sum(pool.costs) / len(pool.costs), SLOW_STEP, FAST_STEP)
        pool.max_rate = ewma(pool.max_rate, len(pool.costs) / PERIOD_S, FAST_STEP, SLOW_STEP)
        if max(pool.failed_at, pool.refused_at) < pool.period_began_at and not is_slow(pool):
            pool.calm = (pool.calm + pool.costs)[-MAX_CALM:]
            if len(pool.calm) >= MIN_CALM:
                pool.expected = EXPECTED_FACTOR * sorted(pool.calm)[int(0.99 * (len(pool.calm) - 1))]
    if pool.maxima:
        pool.high_latency = ewma(
            pool.high_latency, sum(pool.maxima) / len(pool.maxima), 1 - M_KEEP, 1 - M_KEEP
        )
    if pool.pace > PACE_OFF * (pool.max_rate or inf):
        pool.pace = inf
    pool.costs, pool.maxima, pool.period_began_at = [], [], now


def is_slow(pool: Pool) -> bool:
    """Whether M is above the expected latency."""
    return pool.high_latency is not None and pool.high_latency > pool.expected


def window(pool: Pool, now: float) -> float:
    """The most calls in flight: F x min cost x max rate, at least 1; inf unless M is high or calls fail."""
    binds = is_slow(pool) or now - pool.failed_at < RECENT_S
    if (
        not binds
        or None in (pool.max_rate, pool.high_latency)
        or pool.high_latency < LIGHT_LOAD * pool.expected
    ):
        return inf
    ratio = pool.expected / pool.high_latency
    return max(1.0, (ratio if ratio > 1 else sqrt(ratio)) * pool.min_cost * pool.max_rate)


def admits(pool: Pool, job: Job, now: float, limit: float | None = None) -> bool:
    """Whether the window has room for a job, twice the window if its priority is above the upper cut.

    `limit` is the window if the caller has it already. Each job counts once for the next step of the cuts.
    """
    top = job.priority >= pool.upper_cut
    room = pool.calls < (window(pool, now) if limit is None else limit) * (2 if top else 1)
    if not job.counted:
        job.counted = True
        pool.cut_messages += 1
        pool.top_messages += top
        if pool.lower_cut <= job.priority < pool.upper_cut:
            pool.middle_admitted += room
            pool.middle_rejected += not room
        if pool.cut_messages >= CUT_EVERY:
            step_cuts(pool)
    return room


def step_cuts(pool: Pool) -> None:
    """Move the cuts so that half of the middle band is admitted, and a tenth as many as are above it.

    Without rejections in the middle band the cuts drift back to the ends of the range.
    """
    pool.upper_cut = min(pool.upper_cut, MAX_PRIORITY)
    if pool.middle_rejected:
        pool.lower_cut += (
            CUT_STEP
            if pool.middle_admitted < MIDDLE_PASS * (pool.middle_admitted + pool.middle_rejected)
            else -CUT_STEP
        )
        pool.upper_cut += -CUT_STEP if pool.middle_admitted > MIDDLE_TO_TOP * pool.top_messages else CUT_STEP
    else:
        pool.lower_cut -= CUT_STEP
        pool.upper_cut += CUT_STEP
    pool.lower_cut = max(0.0, min(pool.lower_cut, MAX_PRIORITY - CUT_STEP))
    pool.upper_cut = max(pool.lower_cut + CUT_STEP, min(pool.upper_cut, MAX_PRIORITY))
    pool.cut_messages = pool.top_messages = pool.middle_admitted = pool.middle_rejected = 0
