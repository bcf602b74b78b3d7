"""What the body store decides, free of I/O, clocks and threads: figures in, decisions out. Sizes are bytes.

The steps: a body stands in memory and on the disk, then on the disk only, then nowhere. Each threshold has a
gap between entry and exit, so that a swinging load changes no step twice in a row. The cost-benefit choice of
a segment follows the log-structured file system of Rosenblum and Ousterhout (1992), without its age term:
bodies live for seconds, and what is old is not colder here.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

from willownotch.bodies.settings import AtLimit, ClassBodies
from willownotch.files.space import round_to_blocks
from willownotch.interface import Idempotency

GAIN = 0.2  # of the newest gap between two deliveries, in a destination's smoothed gap
FIRST_GAP_S = 0.2  # s; before any delivery was seen
VICTIMS_MOST = 16  # messages that one hand-in may end


class Place(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Where a body stands: segment file, offset and size in it, and the XXH3-64 of its bytes."""

    segment: int
    offset: int
    size: int
    checksum: int


class Step(IntEnum):
    """How bodies are kept that come now."""

    MEMORY = 0
    FILES = 1
    UNKEPT = 2


class Verdict(IntEnum):
    """What becomes of a body at its hand-in."""

    KEEP = 0
    DROP_FIRST = 1  # others make room, then it is kept
    ONE_TRY = 2  # taken on, in memory for one relay
    REFUSE = 3


@dataclass(frozen=True, slots=True)
class Admission:
    """A verdict and its reason; with DROP_FIRST how many bytes. `destination`: it is the one at its limit."""

    verdict: Verdict
    reason: str = ""
    bytes_needed: int = 0
    destination: int | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """The settings as bytes."""

    memory: int
    memory_low: int
    room: int  # on the disk, for bodies
    room_low: int
    destination: int  # on the disk, for one destination
    inline: int
    inline_low: int


@dataclass(frozen=True, slots=True)
class ClassPlan:
    """A class, its worth and its treatment."""

    name: str
    worth: float
    idempotency: Idempotency
    body_settings: ClassBodies

    def share(self, room: int) -> int:
        """Bytes that are always to be had for it."""
        return int((self.body_settings.share or 0.0) * room)


@dataclass(slots=True)
class Usage:
    """Live bodies on the disk, by class and by destination, and bodies in memory."""

    total: int = 0
    classes: dict[str, int] = field(default_factory=dict)
    destinations: dict[int, int] = field(default_factory=dict)
    memory: int = 0

    def add(self, cls: str, destination: int, size: int) -> None:
        """A body comes, or goes where the size is below zero; what stands at nothing is forgotten."""
        self.total += size
        for table, name in ((self.classes, cls), (self.destinations, destination)):
            table[name] = table.get(name, 0) + size
            if not table[name]:
                del table[name]


def inline_most(step: Step, limits: Limits) -> int:
    """Up to which size a body stands in its message's own journal record, and so in memory."""
    return limits.inline if step is Step.MEMORY else limits.inline_low


def admit(
    plans: dict[str, ClassPlan],
    limits: Limits,
    usage: Usage,
    full: bool,
    cls: str,
    destination: int,
    size: int,
) -> Admission:
    """Whether a body may stand on the disk. `full`: the last step holds, and has not been left yet.

    A class is always let in up to its stated share, if need be at the cost of what may be dropped. Beyond it,
    the free room is anybody's, but for what dropping could not win back: a class that is not dropped leaves
    the shares of all others untouched. One destination never takes more than its limit.
    """
    plan = plans[cls]
    own, held = usage.classes.get(cls, 0), usage.destinations.get(destination, 0)
    within = own + size <= plan.share(limits.room)
    over = held + size - limits.destination
    if over > 0:
        reason = f"destination {destination} holds {held} of the {limits.destination} bytes it may"
        if within and size <= limits.destination:
            return Admission(Verdict.DROP_FIRST, reason, over, destination)
        return _at_limit(plan, reason, destination)
    free = limits.room - usage.total
    reserved = (
        0
        if plan.body_settings.drop
        else sum(
            max(0, p.share(limits.room) - usage.classes.get(p.name, 0))
            for p in plans.values()
            if p.name != cls
        )
    )
    if within:
        if size <= free:
            return Admission(Verdict.KEEP)
        return Admission(Verdict.DROP_FIRST, f"{usage.total} of {limits.room} bytes are taken", size - free)
    if full:
        return _at_limit(plan, f"{usage.total} of {limits.room} bytes are taken, {limits.room_low} wanted")
    if size <= free - reserved:
        return Admission(Verdict.KEEP)
    kept = f", {reserved} of them kept for other classes" if reserved else ""
    return _at_limit(plan, f"{usage.total} of {limits.room} bytes are taken{kept}")


def _at_limit(plan: ClassPlan, reason: str, destination: int | None = None) -> Admission:
    one_try = plan.body_settings.at_limit is AtLimit.ONE_TRY
    return Admission(Verdict.ONE_TRY if one_try else Verdict.REFUSE, reason, destination=destination)


def after_failure(plan: ClassPlan, reason: str) -> Admission:
    """The disk failed, or others could not make room: as at the limit."""
    return _at_limit(plan, reason)


def without_room(
    plans: dict[str, ClassPlan], limits: Limits, usage: Usage, cls: str, size: int, reason: str
) -> Admission:
    """The files have no room though the bodies would: they hold whole blocks, and dead bytes for a while."""
    plan = plans[cls]
    if usage.classes.get(cls, 0) + size <= plan.share(limits.room):
        return Admission(Verdict.DROP_FIRST, reason, size)
    return _at_limit(plan, reason)


def one_try_fits(limits: Limits, usage: Usage, unkept: Usage, destination: int, size: int) -> bool:
    """Whether memory has room for a body that is kept nowhere; one destination gets its share only."""
    most = limits.memory * limits.destination // limits.room if limits.room else 0
    held = unkept.destinations.get(destination, 0)
    return usage.memory + size <= limits.memory and held + size <= most


@dataclass(frozen=True, slots=True)
class Candidate:
    """An owed message that may have to make room. `next_s`: until its next relay, as far as can be told."""

    ref: str
    cls: str
    destination: int
    size: int
    expected_wait_s: float


def victims(
    plans: dict[str, ClassPlan],
    room: int,
    usage: Usage,
    cls: str,
    bytes_needed: int,
    candidates: Iterable[Candidate],
    destination: int | None = None,
) -> list[Candidate]:
    """Which messages end so that one of `cls` finds `need` bytes of `room`; none where that would not do.

    Only classes that are dropped, worth no more, and only what they hold beyond their own share. First those
    whose next relay is furthest off, of these the largest.
    """
    plan = plans[cls]
    spare = {
        p.name: usage.classes.get(p.name, 0) - p.share(room)
        for p in plans.values()
        if p.body_settings.drop and p.name != cls and p.worth <= plan.worth
    }
    chosen, won = [], 0
    for candidate in sorted(candidates, key=lambda c: (-c.expected_wait_s, -c.size, c.ref)):
        if won >= bytes_needed or len(chosen) == VICTIMS_MOST:
            break
        if destination is not None and candidate.destination != destination:
            continue
        if spare.get(candidate.cls, 0) < candidate.size:
            continue
        spare[candidate.cls] -= candidate.size
        chosen.append(candidate)
        won += candidate.size
    return chosen if won >= bytes_needed else []


@dataclass(slots=True)
class Steps:
    """The store's step, with a gap between entry and exit of each."""

    memory_out: bool = False  # memory is used up, and has not fallen to its lower mark since
    full: bool = False  # the disk is used up, and has not fallen to its lower mark since

    @property
    def now(self) -> Step:
        """The step that holds."""
        return Step.UNKEPT if self.full else Step.FILES if self.memory_out else Step.MEMORY

    def memory_ran_out(self) -> bool:
        """A body found no room in memory; whether that is news."""
        news, self.memory_out = not self.memory_out, True
        return news

    def room_ran_out(self) -> bool:
        """A body found no room on the disk; whether that is news."""
        news, self.full = not self.full, True
        return news

    def look(self, limits: Limits, usage: Usage) -> list[str]:
        """Step back where the lower marks are passed; what was left, in words."""
        left = []
        if self.full and usage.total <= limits.room_low:
            self.full = False
            left.append(f"bodies are kept again: {usage.total} of {limits.room} bytes on the disk")
        if self.memory_out and usage.memory <= limits.memory_low:
            self.memory_out = False
            left.append(f"bodies stay in memory again: {usage.memory} of {limits.memory} bytes")
        return left


@dataclass(slots=True)
class DeliveryForecast:
    """When a destination will want a body, from what its relays came to. Times are seconds on one clock."""

    gap_s: float = FIRST_GAP_S  # smoothed, between two deliveries
    delivered_at: float | None = None
    failed_since: float | None = None  # the first failure since the last delivery
    waits_until: float = 0.0

    def delivered(self, now: float) -> None:
        """A relay was a success."""
        if self.delivered_at is not None:
            self.gap_s += GAIN * (max(0.0, now - self.delivered_at) - self.gap_s)
        self.delivered_at, self.failed_since = now, None

    def failed(self, now: float, wait_s: float = 0.0) -> None:
        """A relay was none, perhaps with a time to wait."""
        if self.failed_since is None:
            self.failed_since = now
        self.waits_until = max(self.waits_until, now + wait_s)

    def expected_wait_s(self, now: float, ahead: int) -> float:
        """How long until the body behind `ahead` others is wanted.

        What has failed for so long is taken to fail for as long again, as nothing is known of outages but
        that the longer ones last.
        """
        silent = now - self.failed_since if self.failed_since is not None else 0.0
        return max(self.waits_until - now, silent) + (ahead + 1) * self.gap_s


@dataclass(frozen=True, slots=True)
class Line:
    """The bodies in memory for one destination: how many, and how long until the last of them is wanted."""

    destination: int
    last_next_s: float


def spill_from(lines: Iterable[Line], new_next_s: float) -> int | None:
    """The destination whose last body leaves memory for a new one; None if the new one is the furthest
    off."""
    furthest = max(lines, key=lambda line: (line.last_next_s, -line.destination), default=None)
    if furthest is None or furthest.last_next_s <= new_next_s:
        return None
    return furthest.destination


@dataclass(frozen=True, slots=True)
class SegmentView:
    """A segment file: its size, the live bytes in it and how many bodies that is."""

    number: int
    size: int
    live: int
    count: int


def choose_segment(
    segments: Iterable[SegmentView], reclaim: float, pressed: bool, copy_most: int
) -> int | None:
    """The sealed segment to write anew next, by what it frees for each byte to be copied; None if none is
    worth it.

    Unless room has run out (`pressed`), only once the dead share of all files has passed `reclaim`. A segment
    whose live bodies need more than `copy_most` bytes at once is passed over.
    """
    segments = list(segments)
    size, live = sum(round_to_blocks(s.size) for s in segments), sum(s.live for s in segments)
    if not pressed and (not size or (size - live) / size < reclaim):
        return None
    worth = [
        s for s in segments if round_to_blocks(s.size) - round_to_blocks(s.live) > 0 and s.live <= copy_most
    ]
    best = max(
        worth, key=lambda s: ((round_to_blocks(s.size) - s.live) / (s.live + 1), -s.number), default=None
    )
    return best.number if best else None


def outcome_without_body(effect: Idempotency, may_have_run: bool) -> str:
    """The notice's word for a message whose body is lost, dropped or was never kept.

    Nothing that may have run is handed back where a repeat could count twice; an unrepeatable message ends as
    failed.
    """
    if effect is Idempotency.SAFE or (effect is Idempotency.KEYED and not may_have_run):
        return "handed_back"
    return "given_up"
