"""What became of accepted messages over restarts, and what was accepted of a shared quota."""

from __future__ import annotations

from math import inf

from willownotch.lab.soak.records import Ending, Lifetime, Records, Request

NEVER_RAN = (429, 503)  # statuses of calls that have surely not run
UNREPEATABLE = "fee"
UNTRIED_SHARE = 0.5  # of what a restart found untried, that may be ended early without a call
BURST_S, LATENESS_S = 2.0, 0.2  # of a quota: accepted at once; until a lender's decisions hear of a loan


def refused_though_run(records: Records) -> list[str]:
    """Messages that must not be repeated, may have run and were handed back."""
    told = {notice.ref for notice in records.notices if notice.outcome == "handed_back"}
    classes = {request.ref: request.message_class for request in records.requests}
    return [
        f"{call.ref} was called at {call.began - records.began:.3f}, status {call.status}, and handed back"
        for call in records.calls
        if call.ref in told and classes.get(call.ref) == UNREPEATABLE and call.status not in NEVER_RAN
    ]


def ended_untried(records: Records) -> list[str]:
    """Where over half of what the restarts found untried was ended early, of all and of the unrepeatable."""
    found = _found_untried(records)
    notices = _first({(notice.ref, notice.at) for notice in records.notices})
    called = {call.ref for call in records.calls}
    texts = []
    for name, requests in (
        ("messages", found),
        (f"{UNREPEATABLE}s", [r for r in found if r.message_class == UNREPEATABLE]),
    ):
        early = [
            request.ref
            for request in requests
            if request.ref not in called and _has_half_left(request, notices.get(request.ref, inf))
        ]
        if len(early) > UNTRIED_SHARE * len(requests):
            refs = ", ".join(early[:3])
            texts.append(f"{len(early)} of {len(requests)} untried {name} ended without a call: {refs}")
    return texts


def _found_untried(records: Records) -> list[Request]:
    """Accepted messages that a restart found without a call, with half of their time left."""
    calls = _first({(call.ref, call.began) for call in records.calls})
    notices = _first({(notice.ref, notice.at) for notice in records.notices})
    restarts = [life for life in records.lifetimes if _was_restarted(life)]
    return [
        request
        for request in records.requests
        if request.ending is Ending.ANSWERED
        and request.status in (200, 202)
        and any(
            request.sender == life.sender
            and request.ended < life.killed_at
            and calls.get(request.ref, inf) >= life.killed_at
            and notices.get(request.ref, inf) >= life.killed_at
            and _has_half_left(request, life.killed_at)
            for life in restarts
        )
    ]


def _was_restarted(life: Lifetime) -> bool:
    """Whether a process was killed with its folder kept, and no other had taken over from it."""
    return life.killed_at is not None and life.succeeded_at is None and life.folder_lost_at is None


def _has_half_left(request: Request, at: float) -> bool:
    """Whether a message has half of its time left then."""
    return request.written + request.left_s - at >= request.left_s / 2


def _first(seen: set[tuple[str, float]]) -> dict[str, float]:
    """By id, the earliest of its times."""
    return dict(sorted(seen, key=lambda each: each[1], reverse=True))


def over_quota(records: Records) -> list[str]:
    """Where the fleet accepted more in a span of time than the quota, its bursts and its restarts allow.

    The bound is that of docs/shared-state.md. A client knows the time of its answer, which is later than the
    decision by at most the slowest answer.
    """
    accepted = [r for r in records.requests if r.ending is Ending.ANSWERED and r.status == 202]
    if not records.quota_per_s or not accepted:
        return []
    quota, senders = records.quota_per_s, len({life.sender for life in records.lifetimes})
    restarts = len(records.lifetimes) - senders
    slowest_s = max(request.ended - request.written for request in accepted)
    slack = quota * (BURST_S + LATENESS_S + slowest_s) + senders
    slack += restarts * (1 + BURST_S * quota / senders)
    worst, lowest = 0.0, inf
    for count, at in enumerate(sorted(request.ended for request in accepted)):
        lowest = min(lowest, count - quota * at)  # the start of the fullest span so far
        worst = max(worst, count + 1 - quota * at - lowest)
    return [f"{worst - slack:.1f} messages above {quota:g} a second"] if worst > slack else []
