"""The pace of calls to a destination that refuses: each sender's part of a known limit, and cuts of the pace.

Times are seconds on the caller's clock; there is no clock, socket or thread here.
"""

from __future__ import annotations

from math import inf

from willownotch import interface as api
from willownotch.concurrency_limit import FAST_STEP
from willownotch.slow_start import MIN_FLEET_PER_S
from willownotch.state import Pool, ewma

PACE_CUT = 0.6  # x pace at a refusal
PACE_GAP_S = 0.5  # refusals within this time are one burst
EVEN_FLOOR = 0.6  # x the even share: the lowest pace where a known limit is what refuses
LIMIT_START = 0.9  # x a sender's part of a known limit: first pace, since refused calls may use up the limit
LIMIT_FALL = 0.67  # x the mean of a reported limit: below this it has fallen by more than its noise
START_FACTOR, START_TRIES = 2.0, 4.0  # a pace starts at so much x mean rate, or calls per shortest deadline
USED_UP = 0.05  # share of a limit: with less left it is used up


def even_share(pool: Pool, settings: api.Settings) -> float:
    """Each sender's part of the limit if all have the same, in calls per second."""
    return pool.limit / settings.senders


def own_share(pool: Pool, settings: api.Settings) -> float:
    """The even share, or what this sender used of the limit before if more, scaled to the present limit."""
    scale = min(1.0, pool.limit / pool.mean_limit) if pool.mean_limit else 1.0
    return max(even_share(pool, settings), scale * (pool.mean_rate or 0.0))


def limit_start(settings: api.Settings) -> float:
    """Factor on the own share for the first pace: with few senders one may have far more to send."""
    return LIMIT_START * (1 + 1 / settings.senders)


def record_limit(pool: Pool, limit: float, room: float | None, settings: api.Settings) -> None:
    """Record a limit that an answer reports, with the unused share `room` if reported.

    A limit that has fallen or is used up starts a pace, since refused calls would keep it used up.
    """
    pool.limit = limit
    pool.mean_limit = ewma(pool.mean_limit, limit, FAST_STEP, FAST_STEP)
    if pool.pace == inf and (limit < LIMIT_FALL * pool.mean_limit or (room is not None and room < USED_UP)):
        pool.pace = limit_start(settings) * own_share(pool, settings)


def record_refusal(
    pool: Pool, now: float, settings: api.Settings, by_limit: bool = False, out: bool = False
) -> None:
    """Cut the pace at a refusal, or start one from the mean rate: fast refusals leave the window infinite.

    `by_limit`: the refusal reported a limit as used up. `out`: the endpoint is failing, and nothing is cut.
    """
    pool.refused_at = now
    if now - pool.pace_cut_at >= PACE_GAP_S and not out:
        pool.pace_cut_at = now
        if pool.pace == inf:
            # From its share if a limit is known, else some tries while the held message has worth.
            least = START_TRIES / min(cls.deadline_s for cls in settings.classes)
            factor = limit_start(settings) / PACE_CUT if pool.limit else START_FACTOR
            pool.pace = max(0.0 if pool.limit else least, factor * own_share(pool, settings))
        floor = max(MIN_FLEET_PER_S / settings.senders, EVEN_FLOOR * by_limit * even_share(pool, settings))
        pool.pace = max(floor, PACE_CUT * pool.pace)
