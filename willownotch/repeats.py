"""Whether a message may be sent again or handed back, by its class and by what its attempts may have done.

Times are seconds on the caller's clock; there is no clock, socket or thread here.
"""

from __future__ import annotations

from willownotch import interface as api
from willownotch.concurrency_limit import TICK_S
from willownotch.interface import DedupScope, Idempotency, Outcome
from willownotch.state import Job, Ran, Route

# What an outcome proves about the execution of an attempt.
NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT)
RAN_BY_OUTCOME = {outcome: Ran.NEVER if outcome in NEVER_RAN else Ran.MAYBE for outcome in Outcome}


def may_refuse(job: Job) -> bool:
    """Whether a job may be handed back: nothing has run, or a repeat has no effect at any endpoint."""
    dropped = (
        job.cls.idempotency is Idempotency.KEYED
        and job.cls.dedup_scope is DedupScope.ALL
        and not job.outstanding()
    )
    return dropped or job.cls.idempotency is Idempotency.SAFE or not job.risky()


def may_send(job: Job, route: Route | None, now: float, settings: api.Settings) -> bool:
    """Whether one more attempt, or a second copy, is allowed at this route (with None: at any route)."""
    if not job.attempts:
        return True
    spent = len(job.attempts) >= (job.cls.attempts or settings.max_attempts)
    if spent or job.outstanding() > settings.second_copies:
        return False
    risky = job.risky()
    if not risky or job.cls.idempotency is Idempotency.SAFE:
        return True
    first = risky[0][0]
    if job.cls.idempotency is Idempotency.UNSAFE or now > first.sent_at + job.cls.dedup_window_s - TICK_S:
        return False
    # A new process under the endpoint's name remembers nothing of the one before it.
    same = route is first.route and first.life in (None, route.entry.life)
    near = job.cls.dedup_scope is DedupScope.ZONE and route and route.entry.zone == first.route.entry.zone
    return route is None or same or job.cls.dedup_scope is DedupScope.ALL or near
