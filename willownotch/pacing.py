"""The pace of calls to a destination that refuses: its parts of a told limit, and its cuts.

Times are seconds on the caller's clock; nothing here has a clock, a socket or a thread.
"""

from __future__ import annotations

from math import inf

from willownotch import interface as api
from willownotch.concurrency_limit import FAST_STEP
from willownotch.slow_start import TOGETHER_LEAST
from willownotch.state import Unit, follow

PACE_CUT = 0.6  # x pace at a refusal
PACE_GAP_S = 0.5  # s: refusals this near are one burst
PACE_EVEN = 0.6  # x the even part: its least, where a told limit is what refuses
PACE_TOLD = 0.9  # x the part of a told limit that a pace starts at: refused calls may use it up too
FELL = 0.67  # x the mean of a told limit: more than its noise, so that calls meet a lower limit
PACE_OVER, PACE_TRIES = 2.0, 4.0  # a pace starts at so much x mean rate, or calls in the shortest deadline
USED_UP = 0.05  # share of a limit: all of it goes as it is


def even_part(unit: Unit, settings: api.Settings) -> float:
    """What each sender gets of a told limit if all get the same."""
    return unit.told_limit / settings.senders


def own_part(unit: Unit, settings: api.Settings) -> float:
    """Of the limit as told now, the even part, or what this sender used of it before if that is more."""
    left = min(1.0, unit.told_limit / unit.mean_limit) if unit.mean_limit else 1.0
    return max(even_part(unit, settings), left * (unit.mean_rate or 0.0))


def told_start(settings: api.Settings) -> float:
    """What a pace on a told limit starts at, x the own part: of few senders one may have far more to send."""
    return PACE_TOLD * (1 + 1 / settings.senders)


def told(unit: Unit, limit: float, room: float | None, settings: api.Settings) -> None:
    """Take a limit from an answer. One that fell or is used up paces: refused calls would only hold it so."""
    unit.told_limit = limit
    unit.mean_limit = follow(unit.mean_limit, limit, FAST_STEP, FAST_STEP)
    if unit.pace == inf and (limit < FELL * unit.mean_limit or (room is not None and room < USED_UP)):
        unit.pace = told_start(settings) * own_part(unit, settings)


def refused(unit: Unit, now: float, settings: api.Settings, bound: bool = False, out: bool = False) -> None:
    """Fast refusals leave F infinite: pace the unit by its mean rate. `bound`: by a told limit; `out`: no."""
    unit.refused_at = now
    if now - unit.cut_at >= PACE_GAP_S and not out:
        unit.cut_at = now
        if unit.pace == inf:
            # Where the limit is told, its fair part; else tries while the held message is worth something.
            least = PACE_TRIES / min(cls.deadline_s for cls in settings.classes)
            over = told_start(settings) / PACE_CUT if unit.told_limit else PACE_OVER
            unit.pace = max(0.0 if unit.told_limit else least, over * own_part(unit, settings))
        floor = max(TOGETHER_LEAST / settings.senders, PACE_EVEN * bound * even_part(unit, settings))
        unit.pace = max(floor, PACE_CUT * unit.pace)
