"""When a call without an answer counts as failed, and when it is given up. Times are seconds."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from willownotch.concurrency_limit import EXPECTED_FACTOR, M_EVERY
from willownotch.state import Call, Pool, Route

OVERDUE_FACTOR = 1.5  # x expected latency: a call unanswered for longer counts as failed
STUCK_FACTOR = 2.0  # x the longest recent latency: a call overtaken by others for so long gets no answer


def silence_s(pool: Pool, default_s: float) -> float:
    """How long a call may stay unanswered before it counts as failed; `default_s` if nothing is known."""
    if pool.expected == inf and len(pool.recent) >= M_EVERY:
        return min(default_s, OVERDUE_FACTOR * EXPECTED_FACTOR * max(pool.recent))
    return OVERDUE_FACTOR * pool.expected if pool.expected < inf else default_s


def gets_no_answer(call: Call, routes: Iterable[Route], now: float, default_s: float) -> bool:
    """Whether a call in flight will get no answer, as far as other calls show.

    `routes` are those of its message's destination: none, if the list has taken them all away since.
    """
    # A slow route still answers other calls; one that hangs has answered none since.
    hangs = call.counted and call.route.failing and call.route.last_ok < call.sent_at
    # The destination answers others: this call's connection is dead and would keep its slot.
    pool = call.route.pool
    usual = max(STUCK_FACTOR * max(pool.recent, default=inf), silence_s(pool, default_s))
    answered = max((route.last_ok for route in routes), default=-inf)
    return hangs or call.sent_at < min(answered, now - usual)
