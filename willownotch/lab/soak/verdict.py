"""The rules, counted from records alone: what was broken, a line each."""

from __future__ import annotations

import re
from collections import defaultdict
from dataclasses import dataclass

from willownotch.lab.soak import restarts
from willownotch.lab.soak.crowd import REF_PREFIX
from willownotch.lab.soak.records import Call, Ending, Lifetime, Records, Request

READY_MOST_S = 10.0  # for a restarted process
UPGRADE_READY_MOST_S = 6.0
END_SLACK_S = 0.35  # after a message's time, for its end
AFTER_READY_S = 1.5  # after a restart no notice is overdue for so long
LOAD_SLACK_S = 0.5  # of the harness itself, which shares the machine
LET_GO_S = 2.5  # from SIGTERM on, connections may be ended between two requests
REST_S = 2.0  # a connection that has been idle for longer may be ended
DRAINED_REST_S, DRAIN_MOST_S = 0.35, 3.0  # the same in a drain, which is over after so long
NEW_UNTIL_S = 0.4  # from SIGTERM on, no front sends new connections any more
KILL_MARGIN_S = 0.05  # before a kill: what was written then can have met it
MEMORY_SPAN_S = 15.0  # of the keyed class
AWARE_MOST = 2 / 3  # of the calls under which a cold destination falls
BAD_LINE = re.compile(r"\S+Z \S+ (?:error|dead): |Traceback")


@dataclass(frozen=True)
class Broken:
    """One rule, broken once."""

    rule: str
    text: str


def judge(records: Records, now: float) -> list[Broken]:
    """Everything that was broken by the time `now`, when the run had ended."""
    return [
        *_requests(records),
        *_endings(records, now),
        *_calls(records),
        *_order(records),
        *(Broken("second answer", text) for text in records.surplus),
        *_processes(records),
        *_falls(records),
        *(Broken("refused, may have run", text) for text in restarts.refused_though_run(records)),
        *(Broken("ended untried", text) for text in restarts.ended_untried(records)),
        *(Broken("over quota", text) for text in restarts.over_quota(records)),
    ]


def _windows(records: Records, sender: int) -> list[tuple[float, float]]:
    """When no answer can be expected: from a kill of the process that serves until the next one is ready."""
    lives = sorted((life for life in records.lifetimes if life.sender == sender), key=lambda x: x.began)
    found = []
    for n, life in enumerate(lives):
        if life.succeeded_at is not None and n + 1 < len(lives) and lives[n + 1].ready is not None:
            continue  # the one after it served by then
        down = min((t for t in (life.killed_at, life.ended) if t is not None), default=None)
        if down is None:
            continue
        up = next((x.ready for x in lives[n + 1 :] if x.ready is not None), float("inf"))
        found.append((down - KILL_MARGIN_S, up))
    return found


def _stops(records: Records, sender: int) -> list[tuple[float, float]]:
    """When processes were told to end, and when they had ended."""
    return [
        (life.stop_at, life.ended or float("inf"))
        for life in records.lifetimes
        if life.sender == sender and life.stop_at is not None and life.succeeded_at is None
    ]


def _requests(records: Records) -> list[Broken]:
    found = []
    windows = {life.sender: _windows(records, life.sender) for life in records.lifetimes}
    stops = {life.sender: _stops(records, life.sender) for life in records.lifetimes}
    drains = {
        life.sender: [at for x in records.lifetimes if x.sender == life.sender for at in x.drained_at]
        for life in records.lifetimes
    }
    for request in records.requests:
        if request.ending not in (Ending.ENDED, Ending.SILENT):
            if request.ending is Ending.ANSWERED and request.status not in (202, 503):
                found.append(Broken("answer", f"{request.ref} was answered {request.status}"))
            continue
        spans = windows[request.sender]
        if any(began <= request.ended and request.began <= ended for began, ended in spans):
            continue
        crossing = request.ending is Ending.ENDED and any(
            (stop + LET_GO_S <= request.ended if request.reused else stop + NEW_UNTIL_S <= request.began)
            and request.ended <= ended
            for stop, ended in stops[request.sender]
        )
        if (
            not crossing
            and not _rested(request, drains[request.sender])
            and not _killed_with_its_process(request, records)
        ):
            began = records.began
            found.append(
                Broken(
                    "lost request",
                    f"n{request.sender} {request.ref} written at "
                    f"{request.written - began:.3f}, {request.ending.value} at "
                    f"{request.ended - began:.3f}, on a {'kept' if request.reused else 'new'} "
                    f"connection{f' of process {request.holders}' if request.holders else ''}",
                )
            )
    return found


def _killed_with_its_process(request: Request, records: Records) -> bool:
    """Whether all processes that had its connection were killed before it was written, with no successor."""
    having = [
        life for life in records.lifetimes if life.sender == request.sender and life.number in request.holders
    ]
    return bool(having) and all(
        life.succeeded_at is None
        and life.killed_at is not None
        and life.ended is not None
        and life.ended <= request.written
        for life in having
    )


def _rested(request: Request, drains: list[float]) -> bool:
    """Whether its connection had been idle for so long that the sender may have been about to end it."""
    drained = any(at <= request.ended <= at + DRAIN_MOST_S for at in drains)
    least = DRAINED_REST_S if drained else REST_S
    return request.reused and request.ending is Ending.ENDED and request.rested_s > least


def _endings(records: Records, now: float) -> list[Broken]:
    """Each accepted message has its end by its deadline; what is refused has none and is not sent."""
    accepted = {r.ref: r for r in records.requests if r.status in (200, 202)}
    refused = {r.ref for r in records.requests if r.ending is Ending.ANSWERED and r.status in (429, 503)}
    ends: dict[str, float] = {}
    for at, ref in [
        *((c.ended, c.ref) for c in records.calls if c.status == 200),
        *((n.at, n.ref) for n in records.notices),
    ]:
        ends[ref] = min(at, ends.get(ref, at))
    found = []
    lost_at: dict[int, float] = defaultdict(float)
    for life in records.lifetimes:
        lost_at[life.sender] = max(lost_at[life.sender], life.folder_lost_at or 0.0)
    for ref, request in accepted.items():
        if request.began <= lost_at[request.sender]:
            continue  # what it owed went with its folder
        slack = LOAD_SLACK_S + 2 * records.late_s  # once for the end, once for what it is counted from
        due = request.written + request.left_s + END_SLACK_S + slack
        for began, ended in _windows(records, request.sender):
            if began <= due:
                due = max(due, ended + AFTER_READY_S + slack)
        for life in records.lifetimes:
            if life.sender == request.sender and life.stop_at is not None and life.stop_at <= due:
                following = [
                    x.ready
                    for x in records.lifetimes
                    if x.sender == life.sender and x.began > life.began and x.ready is not None
                ]
                due = max(due, min(following, default=due) + AFTER_READY_S + slack)
        if ref not in ends and now > due:
            found.append(
                Broken(
                    "no ending",
                    f"n{request.sender} {ref} ({request.message_class}) accepted at "
                    f"{request.ended:.3f}, due at {due:.3f}",
                )
            )
        elif ref in ends and ends[ref] > due:
            found.append(Broken("late ending", f"n{request.sender} {ref} ended {ends[ref] - due:.3f} s late"))
    for call in records.calls:
        if call.ref in refused:
            asked = next(r for r in records.requests if r.ref == call.ref)
            began = records.began
            found.append(
                Broken(
                    "refused and sent",
                    f"n{asked.sender} {call.ref} written at {asked.written - began:.3f}, answered "
                    f"{asked.status} at {asked.ended - began:.3f} on a {'kept' if asked.reused else 'new'} "
                    f"connection, called at {call.began - began:.3f}: {call.status}",
                )
            )
    return found


def _calls(records: Records) -> list[Broken]:
    """What endpoints were sent: only what a client handed in, and nothing beyond its class's allowance."""
    found = []
    classes = {r.ref: r.message_class for r in records.requests}
    by_ref: dict[str, list[Call]] = defaultdict(list)
    for call in records.calls:
        content = records.contents.get(call.ref)
        if call.ref.startswith(REF_PREFIX):
            continue  # of a crowd, whose messages may be repeated
        if content is None or (content.body, content.idempotency_key) != (call.body, call.idempotency_key):
            found.append(Broken("foreign", f"{call.ref!r} with {len(call.body)} bytes was never handed in"))
        by_ref[call.ref].append(call)
    for ref, calls in by_ref.items():
        may_have_run = None
        for call in sorted(calls, key=lambda x: x.began):
            if may_have_run is not None:
                cls = classes.get(ref)
                late = call.began - may_have_run > MEMORY_SPAN_S
                if cls == "fee" or (cls == "order" and late):
                    found.append(
                        Broken(
                            "run twice",
                            f"{ref} ({cls}) called again {call.began:.3f}, had been "
                            f"at {may_have_run:.3f}",
                        )
                    )
            elif call.status not in restarts.NEVER_RAN:
                may_have_run = call.began
    return found


def _order(records: Records) -> list[Broken]:
    """Accepted messages of a key are sent one at a time: each once the one before it has its end."""
    lost_at = {
        life.sender: life.folder_lost_at for life in records.lifetimes if life.folder_lost_at is not None
    }
    ends: dict[str, float] = {}
    first_calls: dict[str, float] = {}
    for at, ref in [
        *((call.ended, call.ref) for call in records.calls if call.status == 200),
        *((notice.at, notice.ref) for notice in records.notices),
    ]:
        ends[ref] = min(at, ends.get(ref, at))
    for call in records.calls:
        first_calls[call.ref] = min(call.began, first_calls.get(call.ref, call.began))
    by_key: dict[tuple[int, str], list[Request]] = defaultdict(list)
    for request in sorted(records.requests, key=lambda request: request.written):
        kept = request.began > lost_at.get(request.sender, 0.0)
        if request.key is not None and request.status in (200, 202) and kept:
            by_key[request.sender, request.key].append(request)
    found = []
    for (sender, key), requests in by_key.items():
        open_until, before = 0.0, ""  # the latest end of the messages so far
        for request in requests:
            first = first_calls.get(request.ref)
            if first is not None and first < open_until:
                found.append(
                    Broken(
                        "out of turn",
                        f"n{sender} {request.ref} of {key} sent at {first - records.began:.3f}, "
                        f"{before} was not over then",
                    )
                )
            end = ends.get(request.ref, float("inf"))
            if end > open_until:
                open_until, before = end, request.ref
    return found


def _falls(records: Records) -> list[Broken]:
    """A cold destination fell, over two thirds of it by senders that could have known."""
    return [
        Broken(
            "cold endpoint",
            f"fell {fall.since_s:.2f} s after its return: {fall.calls} calls in a window of at most "
            f"{fall.granted:.1f}, {fall.aware:.0%} by senders that had seen the outage; by sender: "
            f"{fall.by_sender}",
        )
        for fall in records.falls
        if fall.aware > AWARE_MOST
    ]


def _processes(records: Records) -> list[Broken]:
    found = []
    for life in records.lifetimes:
        name = f"n{life.sender} process {life.number}"
        if life.ended is not None and not life.meant_to_end:
            found.append(Broken("crash", f"{name} ended by itself with {life.code}: {life.lines[-3:]}"))
        elif life.code not in (None, 0) and life.killed_at is None:
            found.append(Broken("crash", f"{name} ended with {life.code}: {life.lines[-3:]}"))
        found += [Broken("bad line", f"{name}: {line}") for line in life.lines if BAD_LINE.match(line)]
        if life.peak_mb > life.memory_mb:
            found.append(Broken("memory", f"{name} had {life.peak_mb:.1f} MB of {life.memory_mb:g}"))
        found += _ready(life, name, records)
    return found


def _ready(life: Lifetime, name: str, records: Records) -> list[Broken]:
    before = [x for x in records.lifetimes if x.sender == life.sender and x.number == life.number - 1]
    upgrade = any(x.succeeded_at is not None for x in before)
    most = UPGRADE_READY_MOST_S if upgrade else READY_MOST_S
    if any(
        x.stop_at is not None and x.succeeded_at is None and x.ended is not None and life.began < x.ended
        for x in before
    ):
        most += max(x.ended for x in before) - life.began  # it had to wait for the folder
    if life.ready is None:
        if life.killed_at is None or life.killed_at - life.began > most:
            return [Broken("not ready", f"{name} was never ready: {life.lines[-4:]}")]
        return []
    took = life.ready - life.began
    return [Broken("late to be ready", f"{name} after {took:.1f} s")] if took > most else []
