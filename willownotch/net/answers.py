"""What endpoints answer: load reports, waits, and the outcome of an attempt by the status of its answer."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import timedelta

from willownotch.interface import Outcome
from willownotch.net import bulk
from willownotch.net.answer_stream import Answer, Ending, Evidence
from willownotch.net.attempts import Relay, RelayEnded
from willownotch.net.clock import ZERO


@dataclass(frozen=True, slots=True)
class AnswerMeaning:
    """What an answer means for the messages of its call."""

    outcome: Outcome
    over: bool
    no_slot: bool
    results: tuple[tuple[Outcome, bool], ...] = ()  # of each message, if several shared the call


def parse_load_report(text: str | None) -> tuple[float | None, float | None]:
    """Parse a load report such as `x0=0.4,x1=25`: the share of the limit that is left, and the limit.

    None for what is absent or cannot be read.
    """
    values: dict[str, float] = {}
    for part in (text or "").split(","):
        name, equals, value = part.strip().partition("=")
        try:
            values[name] = float(value) if equals else 0.0
        except ValueError:
            continue
    finite = {n: v for n, v in values.items() if 0.0 <= v < 1e9}
    return finite.get("x0"), finite.get("x1")


def parse_retry_after(text: str | None) -> timedelta:
    """Parse a `Retry-After` in seconds, integer or decimal. Zero if absent, unreadable or a day or more."""
    try:
        delay_s = float(text or 0.0)
    except ValueError:
        return ZERO
    return timedelta(seconds=delay_s) if 0.0 < delay_s < 86400.0 else ZERO


def read_outcome(relay: Relay | None, status: int, headers: dict[str, str]) -> RelayEnded:
    """The outcome of a relay by the status of its answer, from the protocol's table.

    After any status that is not in the table the call may have been executed.
    """
    ended = RelayEnded(relay, Outcome.ERROR)
    ended.room_left, ended.limit_per_s = parse_load_report(headers.get("server-load"))
    if status == 200:
        ended.outcome, ended.over = Outcome.DELIVERED, True
    elif status == 429:
        ended.outcome, ended.wait = Outcome.REJECTED, parse_retry_after(headers.get("retry-after"))
    elif status == 503 and headers.get("x-line-busy") == "1":
        ended.outcome, ended.no_slot = Outcome.NOT_SENT, True
    elif status == 503:
        ended.outcome = Outcome.REJECTED
    elif status in (504, 410):
        ended.outcome, ended.over = Outcome.NOT_SENT, status == 410
    return ended


def meaning(answer: Answer) -> AnswerMeaning:
    """What an answer means for a relay that has a call of its own; answers with equal meanings agree."""
    ended = read_outcome(None, answer.head.status, answer.head.headers)
    return AnswerMeaning(ended.outcome, ended.over, ended.no_slot)


def bulk_meaning(answer: Answer, refs: list[str]) -> AnswerMeaning:
    """As `meaning`, for the messages with these ids that shared a call."""
    found = meaning(answer)
    if answer.head.status != 200:
        return found
    results = bulk.read_answer(answer.body, refs)
    return replace(found, results=tuple(results[ref] for ref in refs))


def answered_end(relay: Relay, answers: list[Answer]) -> RelayEnded:
    """The end of a relay by answers that agree.

    With several the longest wait holds. Their load reports are left out: one that belongs to another call may
    be old.
    """
    ends = [read_outcome(relay, answer.head.status, answer.head.headers) for answer in answers]
    ended = ends[0]
    ended.wait = max(each.wait for each in ends)
    if len(ends) > 1:
        ended.room_left = ended.limit_per_s = None
    return ended


def bulk_ends(relays: list[Relay], answers: list[Answer]) -> list[RelayEnded]:
    """The ends of relays that shared a call, by answers that agree."""
    ends = [answered_end(relay, answers) for relay in relays]
    if answers[0].head.status != 200:
        return ends
    wait = max(parse_retry_after(answer.head.headers.get("retry-after")) for answer in answers)
    results = bulk.read_answer(answers[0].body, [relay.message.ref for relay in relays])
    for ended in ends:
        ended.outcome, ended.over = results[ended.relay.message.ref]
        ended.wait = wait
    return ends


def unanswered_end(relay: Relay, evidence: Evidence, ending: Ending, begun: bool) -> RelayEnded:
    """The end of a relay whose call was written and has no answer that can be believed: it may have run.

    `begun`: part of an answer had come.
    """
    if relay.cancelled:
        return RelayEnded(relay, Outcome.CANCELLED)
    if evidence is Evidence.RESET:
        return RelayEnded(relay, Outcome.BROKEN)
    if evidence is Evidence.NO_ANSWER and ending is not Ending.OPEN:
        return RelayEnded(relay, Outcome.BROKEN)
    if evidence is Evidence.NO_ANSWER and not begun:
        return RelayEnded(relay, Outcome.TIMED_OUT)
    return RelayEnded(relay, Outcome.ERROR, unreadable=True)
