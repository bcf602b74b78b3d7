"""The body store's decisions, free of I/O, clocks and threads. Sizes are bytes.

The store degrades in steps: bodies are in memory and on disk, then on disk only, then not stored. Each
threshold has hysteresis, so that a load that swings around it does not change the step each time. The
cost-benefit choice of a segment follows the log-structured file system of Rosenblum and Ousterhout (1992)
without its age term: bodies live for seconds, and an older segment is no less likely to lose more of them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

from willownotch.bodies.settings import AtLimit, ClassBodies
from willownotch.files.space import round_to_blocks
from willownotch.interface import Idempotency

GAP_GAIN = 0.2  # weight of the newest gap between two deliveries in a destination's smoothed gap
INITIAL_GAP_S = 0.2  # assumed before any two deliveries were seen
MAX_VICTIMS = 16  # messages that one hand-in may end


class Place(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Where a body is stored: segment file, offset and size in it, and the XXH3-64 of its bytes."""

    segment: int
    offset: int
    size: int
    checksum: int


class Step(IntEnum):
    """How new bodies are stored."""

    MEMORY = 0
    FILES = 1
    UNKEPT = 2


class Verdict(IntEnum):
    """Decision on a body at its hand-in."""

    KEEP = 0
    DROP_FIRST = 1  # to be stored once other messages have made room
    ONE_TRY = 2  # accepted, its body in memory for one relay
    REFUSE = 3


@dataclass(frozen=True, slots=True)
class Admission:
    """A verdict and its reason. `destination` is set if that destination is at its limit."""

    verdict: Verdict
    reason: str = ""
    bytes_needed: int = 0  # to be freed first, with DROP_FIRST
    destination: int | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """The settings in bytes."""

    memory: int
    memory_low: int
    room: int  # on disk, for all bodies
    room_low: int
    destination: int  # on disk, for one destination
    inline: int
    inline_low: int


@dataclass(frozen=True, slots=True)
class ClassPlan:
    """A message class, its worth, and how its bodies are treated."""

    name: str
    worth: float
    idempotency: Idempotency
    body_settings: ClassBodies

    def share(self, room: int) -> int:
        """Return the bytes that are reserved for the class."""
        return int((self.body_settings.share or 0.0) * room)


@dataclass(slots=True)
class Usage:
    """Live bytes on disk, by class and by destination, and bytes in memory."""

    total: int = 0
    classes: dict[str, int] = field(default_factory=dict)
    destinations: dict[int, int] = field(default_factory=dict)
    memory: int = 0

    def add(self, cls: str, destination: int, size: int) -> None:
        """Add a body, or remove it if the size is negative; a count that reaches zero is deleted."""
        self.total += size
        for table, name in ((self.classes, cls), (self.destinations, destination)):
            table[name] = table.get(name, 0) + size
            if not table[name]:
                del table[name]


def max_inline_bytes(step: Step, limits: Limits) -> int:
    """Return the size up to which a body is stored in its message's journal record, and so in memory."""
    return limits.inline if step is Step.MEMORY else limits.inline_low


def admit(
    plans: dict[str, ClassPlan],
    limits: Limits,
    usage: Usage,
    disk_full: bool,
    cls: str,
    destination: int,
    size: int,
) -> Admission:
    """Decide whether a body may be stored on disk. `disk_full`: the last step is in force.

    A class is always admitted up to its configured share, if necessary at the cost of droppable messages.
    Beyond its share it may use the free room, except for what dropping could not win back: a class that is
    never dropped leaves the shares of all others free. No destination ever exceeds its limit.
    """
    plan = plans[cls]
    class_bytes, destination_bytes = usage.classes.get(cls, 0), usage.destinations.get(destination, 0)
    within_share = class_bytes + size <= plan.share(limits.room)
    excess = destination_bytes + size - limits.destination
    if excess > 0:
        reason = f"destination {destination} uses {destination_bytes} of its {limits.destination} bytes"
        if within_share and size <= limits.destination:
            return Admission(Verdict.DROP_FIRST, reason, excess, destination)
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
    if within_share:
        if size <= free:
            return Admission(Verdict.KEEP)
        return Admission(Verdict.DROP_FIRST, f"{usage.total} of {limits.room} bytes are in use", size - free)
    if disk_full:
        return _at_limit(
            plan, f"{usage.total} of {limits.room} bytes are in use, more than {limits.room_low} bytes"
        )
    if size <= free - reserved:
        return Admission(Verdict.KEEP)
    other_shares = f", {reserved} more are reserved for other classes" if reserved else ""
    return _at_limit(plan, f"{usage.total} of {limits.room} bytes are in use{other_shares}")


def _at_limit(plan: ClassPlan, reason: str, destination: int | None = None) -> Admission:
    """Return the class's configured treatment of a body that finds no room."""
    one_try = plan.body_settings.at_limit is AtLimit.ONE_TRY
    return Admission(Verdict.ONE_TRY if one_try else Verdict.REFUSE, reason, destination=destination)


def after_failure(plan: ClassPlan, reason: str) -> Admission:
    """Decide on a body where the disk failed or no room could be made: as at the limit."""
    return _at_limit(plan, reason)


def when_files_full(
    plans: dict[str, ClassPlan], limits: Limits, usage: Usage, cls: str, size: int, reason: str
) -> Admission:
    """Decide on a body that would fit, but the files have no room.

    Files use whole blocks, and dead bytes until these are reclaimed.
    """
    plan = plans[cls]
    if usage.classes.get(cls, 0) + size <= plan.share(limits.room):
        return Admission(Verdict.DROP_FIRST, reason, size)
    return _at_limit(plan, reason)


def one_try_fits(limits: Limits, usage: Usage, unkept: Usage, destination: int, size: int) -> bool:
    """Return whether a body fits in memory, stored nowhere else, within its destination's share."""
    max_bytes = limits.memory * limits.destination // limits.room if limits.room else 0
    destination_bytes = unkept.destinations.get(destination, 0)
    return usage.memory + size <= limits.memory and destination_bytes + size <= max_bytes


@dataclass(frozen=True, slots=True)
class Candidate:
    """A message that may be ended to make room."""

    ref: str
    cls: str
    destination: int
    size: int
    expected_wait_s: float  # until its next relay, estimated


def victims(
    plans: dict[str, ClassPlan],
    room: int,
    usage: Usage,
    cls: str,
    bytes_needed: int,
    candidates: Iterable[Candidate],
    destination: int | None = None,
) -> list[Candidate]:
    """Choose the messages to end so that one of `cls` gets `bytes_needed` of `room`; none if that is too few.

    Only messages of droppable classes that are worth no more are chosen, and only what their class uses
    beyond its own share. Those whose next relay is furthest off go first, among these the largest.
    """
    plan = plans[cls]
    spare = {
        p.name: usage.classes.get(p.name, 0) - p.share(room)
        for p in plans.values()
        if p.body_settings.drop and p.name != cls and p.worth <= plan.worth
    }
    chosen, freed = [], 0
    for candidate in sorted(candidates, key=lambda c: (-c.expected_wait_s, -c.size, c.ref)):
        if freed >= bytes_needed or len(chosen) == MAX_VICTIMS:
            break
        if destination is not None and candidate.destination != destination:
            continue
        if spare.get(candidate.cls, 0) < candidate.size:
            continue
        spare[candidate.cls] -= candidate.size
        chosen.append(candidate)
        freed += candidate.size
    return chosen if freed >= bytes_needed else []


@dataclass(slots=True)
class Steps:
    """The store's current step, with hysteresis."""

    memory_full: bool = False  # memory was used up, and usage has not fallen to the lower threshold since
    disk_full: bool = False  # the disk was used up, and usage has not fallen to the lower threshold since

    @property
    def current(self) -> Step:
        """The step in force."""
        return Step.UNKEPT if self.disk_full else Step.FILES if self.memory_full else Step.MEMORY

    def set_memory_full(self) -> bool:
        """Record that a body found no room in memory; return whether that changed the state."""
        changed, self.memory_full = not self.memory_full, True
        return changed

    def set_disk_full(self) -> bool:
        """Record that a body found no room on disk; return whether that changed the state."""
        changed, self.disk_full = not self.disk_full, True
        return changed

    def update(self, limits: Limits, usage: Usage) -> list[str]:
        """Leave the states whose lower threshold is reached; return a log text for each."""
        texts = []
        if self.disk_full and usage.total <= limits.room_low:
            self.disk_full = False
            texts.append(f"bodies are stored on disk again: {usage.total} of {limits.room} bytes in use")
        if self.memory_full and usage.memory <= limits.memory_low:
            self.memory_full = False
            texts.append(f"bodies are cached in memory again: {usage.memory} of {limits.memory} bytes in use")
        return texts


@dataclass(slots=True)
class DeliveryForecast:
    """Estimates when a destination will need a body, from the results of its relays. All times in s."""

    gap_s: float = INITIAL_GAP_S  # between two deliveries, smoothed
    delivered_at: float | None = None
    failing_since: float | None = None  # the first failure since the last delivery
    retry_at: float = 0.0

    def delivered(self, now: float) -> None:
        """Record a successful relay."""
        if self.delivered_at is not None:
            self.gap_s += GAP_GAIN * (max(0.0, now - self.delivered_at) - self.gap_s)
        self.delivered_at, self.failing_since = now, None

    def failed(self, now: float, wait_s: float = 0.0) -> None:
        """Record a failed relay and the time that the destination asked to wait, if any."""
        if self.failing_since is None:
            self.failing_since = now
        self.retry_at = max(self.retry_at, now + wait_s)

    def expected_wait_s(self, now: float, ahead: int) -> float:
        """Estimate the seconds until the body behind `ahead` others is needed.

        A destination that has failed for some time is expected to fail for as long again: all that is known
        of an outage is that longer ones last longer.
        """
        failing_s = now - self.failing_since if self.failing_since is not None else 0.0
        return max(self.retry_at - now, failing_s) + (ahead + 1) * self.gap_s


@dataclass(frozen=True, slots=True)
class CachedDestination:
    """A destination with bodies in memory, and the seconds until the last of these is needed."""

    destination: int
    last_expected_wait_s: float


def choose_spill(destinations: Iterable[CachedDestination], new_expected_wait_s: float) -> int | None:
    """Return the destination whose last body leaves memory for a new one; None if that is needed last."""
    furthest = max(destinations, key=lambda d: (d.last_expected_wait_s, -d.destination), default=None)
    if furthest is None or furthest.last_expected_wait_s <= new_expected_wait_s:
        return None
    return furthest.destination


@dataclass(frozen=True, slots=True)
class SegmentView:
    """A segment file: its size, its live bytes and the number of live bodies."""

    number: int
    size: int
    live: int
    count: int


def choose_segment(
    segments: Iterable[SegmentView], reclaim: float, urgent: bool, max_copy_bytes: int
) -> int | None:
    """Return the sealed segment to reclaim next, by bytes freed per byte copied; None if none is worthwhile.

    Unless room has run out (`urgent`), nothing is reclaimed while the dead share of all files is below
    `reclaim`. A segment with more than `max_copy_bytes` live bytes is skipped.
    """
    segments = list(segments)
    size, live = sum(round_to_blocks(s.size) for s in segments), sum(s.live for s in segments)
    if not urgent and (not size or (size - live) / size < reclaim):
        return None
    eligible = [
        s
        for s in segments
        if round_to_blocks(s.size) - round_to_blocks(s.live) > 0 and s.live <= max_copy_bytes
    ]
    best = max(
        eligible, key=lambda s: ((round_to_blocks(s.size) - s.live) / (s.live + 1), -s.number), default=None
    )
    return best.number if best else None


def outcome_without_body(idempotency: Idempotency, may_have_run: bool) -> str:
    """Return the notice's outcome for a message whose body was lost, dropped or never stored.

    A message is handed back only where a second execution would do no harm; otherwise it is given up.
    """
    if idempotency is Idempotency.SAFE or (idempotency is Idempotency.KEYED and not may_have_run):
        return "handed_back"
    return "given_up"
