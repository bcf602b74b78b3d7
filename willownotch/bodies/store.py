"""The body store on the disk: append-only segments, one thread that writes and reclaims, an index in memory.

A body is written before its message is handed to the owner, so that the 202 finds it there. The message's
journal record says where it stands; nothing else does, so a start reads the journal and no body. A segment
file goes once nothing in it is live; one that is mostly dead is written anew, body by body, each move a
journal record. The lock here is never held while a file is touched.
"""

from __future__ import annotations

import queue
import threading
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from math import inf
from pathlib import Path
from typing import Protocol

import msgspec

from willownotch.bodies import plan
from willownotch.bodies.plan import Admission, ClassPlan, DeliveryForecast, Limits, Place, Verdict
from willownotch.bodies.settings import BodiesSettings, for_class
from willownotch.files.layer import Files
from willownotch.files.space import Space, round_to_blocks
from willownotch.interface import MessageClass, Outcome
from willownotch.net.clock import Clock, seconds
from willownotch.net.log import Log
from willownotch.net.pending import PendingReply

PREFIX, OLD_PREFIX = "bodies-", "body-"
SEGMENT_LEAST, SEGMENT_MOST = 64 * 1024, 8 * 1024 * 1024  # bytes of a file, where the settings leave it open
SEGMENTS = 32  # files that the room is cut into, where that gives a size between these
MEMORY_SHARE, MEMORY_MOST = 1 / 24, 8_000_000  # of the machine's memory; bytes
COPY_MOST, COPY_SHARE = 64 * 1024, 1 / 8  # of the room, left to reclaiming: else nothing could be won back
IDLE = timedelta(seconds=1)  # a file in which nothing lives goes after so long without work
PAUSE = timedelta(milliseconds=500)  # after the disk refused a write, until it is tried again
NO_ROOM = "the disk's part for bodies is used up"
CLAIMED_PATIENCE = timedelta(seconds=2)
READS = 3  # tries, should a body be moved while it is read


class BodyLostError(Exception):
    """A body is missing or damaged: there is nothing to deliver."""


class TakenBody(Protocol):
    """What the store knows of a message."""

    ref: str
    destination: int
    message_class: str
    body: bytes
    place: Place | None
    unkept: bool
    legacy_file: str | None
    checksum: int


@dataclass(slots=True)
class Put:
    """A body on its way to the disk."""

    message: TakenBody  # without its body
    body: bytes
    checksum: int
    pending: PendingReply[Place | str]
    size: int = 0

    def __post_init__(self) -> None:
        self.size = len(self.body)


@dataclass(slots=True)
class Segment:
    """One file, and its live bodies by message."""

    number: int
    path: Path
    size: int = 0
    file: int = -1  # open while bodies are appended
    places: dict[str, Place] = field(default_factory=dict)
    live: int = 0


@dataclass(frozen=True, slots=True)
class Remove:
    """Nothing in this segment is live any more."""

    number: int


def size_and_checksum(message: TakenBody) -> tuple[int, int]:
    """Size and checksum of a body, wherever it stands."""
    if message.place is not None:
        return message.place.size, message.place.checksum
    return len(message.body), checksum(message.body)


def checksum(body: bytes) -> int:
    """XXH3-64. The library is loaded with the first body that needs it."""
    import xxhash

    return xxhash.xxh3_64_intdigest(body)


def copy_room(space: Space) -> int:
    """Bytes of the bodies' part that only reclaiming may use."""
    return min(COPY_MOST, int(COPY_SHARE * space.bodies_most))


def limits_of(settings: BodiesSettings, memory_mb: float, space: Space) -> Limits:
    """The settings as bytes, where they are left open as parts of what the machine has."""
    memory = (
        settings.memory
        if settings.memory is not None
        else int(min(MEMORY_MOST, MEMORY_SHARE * memory_mb * 1_000_000))
    )
    room = space.bodies_most - copy_room(space)
    return Limits(
        memory,
        int(settings.memory_low * memory),
        room,
        int(settings.disk_low * room),
        int(settings.destination_share * room),
        settings.inline,
        settings.inline_low,
    )


class Bodies:
    """The store. `keep` is called by client threads, `read` by relays, the rest by whoever writes the
    journal."""

    def __init__(
        self,
        folder: Path,
        files: Files,
        space: Space,
        clock: Clock,
        log: Log,
        classes: Iterable[MessageClass],
        settings: BodiesSettings,
        memory_mb: float = 192.0,
    ) -> None:
        self.folder, self.files, self.space, self.clock, self.log = folder, files, space, clock, log
        self.classes, self.memory_mb = tuple(classes), memory_mb
        # Where a message's body stands now, by the journal; a move is a record there.
        self.place_of: Callable[[str], Place | None] = lambda ref: None
        self.moved: Callable[[str, Place], None] = lambda ref, place: None
        self.compact_journal: Callable[[], None] = lambda: None
        self.lost: Callable[[str], None] = lambda ref: None
        self.would_reject: Callable[[TakenBody], bool] = lambda message: False
        self.usage, self.steps = plan.Usage(), plan.Steps()
        self.inline = plan.Usage()  # of bodies that stand in journal records
        self.unkept = plan.Usage()  # of bodies that are in memory for one try
        self.forecasts: dict[int, DeliveryForecast] = {}
        self.segments: dict[int, Segment] = {}
        self.copy_room = copy_room(space)
        self.moves = 0  # bodies copied by reclaiming
        self._lock = threading.Lock()
        self._hand = threading.Lock()  # held while files are changed
        self._halted = False
        self._queue: queue.SimpleQueue[Put | Remove | None] = queue.SimpleQueue()
        self._active: Segment | None = None
        self._last = 0  # segment number given
        self._cache: dict[Place, bytes] = {}  # an id may be handed in twice, with different bodies
        self._lines: dict[int, dict[Place, None]] = {}  # of a destination, those in the cache, oldest first
        self._refused = False  # the disk did not take the last body, whatever the ledger says
        self._blocked_until = clock.now()  # then: until when none is tried
        self._stuck: set[int] = set()  # segments that could not be written anew
        self.configure(settings)

    def configure(self, settings: BodiesSettings) -> None:
        """Take settings, at the start or in service. The journal's share of the disk is fixed at the
        start."""
        limits = limits_of(settings, self.memory_mb, self.space)
        share = limits.room // SEGMENTS
        with self._lock:
            self.settings, self.limits = settings, limits
            self.segment_size = settings.segment or max(SEGMENT_LEAST, min(SEGMENT_MOST, share))
            self.plans = {
                c.name: ClassPlan(c.name, c.worth, c.idempotency, for_class(settings, c.name, c.idempotency))
                for c in self.classes
            }
        self._queue.put(None)

    def apply_settings(self, classes: Iterable[MessageClass]) -> None:
        """Other classes are taken from now on. Of the last ones, bodies may be on their way in; of any, be
        owed."""
        before, last, self.classes = self.plans, {c.name for c in self.classes}, tuple(classes)
        self.configure(self.settings)
        with self._lock:
            kept = {name for name in before if name in last or self.usage.classes.get(name)}
            self.plans = {**{name: before[name] for name in kept}, **self.plans}

    # The start

    def open(self, live: Iterable[TakenBody]) -> list[str]:
        """Index what the journal names. The messages whose body is missing or cut off are returned.

        Only names and sizes of files are read: the work grows with the number of bodies, not with their
        bytes.
        """
        self.files.make_folder(self.folder)
        names = self.files.names(self.folder)
        sizes: dict[int, int] = {}
        for name in names:
            if name.startswith(PREFIX) and name[len(PREFIX) :].isdigit():
                sizes[int(name[len(PREFIX) :])] = self.files.size(self.folder / name)
        lost, old = [], set()
        for message in live:
            place = message.place
            if message.legacy_file:
                lost += self._open_old(message, names, old)
            elif place is not None:
                self.usage.add(message.message_class, message.destination, place.size)
                if sizes.get(place.segment, -1) < place.offset + place.size:
                    lost.append(message.ref)
                    continue
                segment = self.segments.get(place.segment)
                if segment is None:
                    segment = self._known(place.segment, sizes[place.segment])
                segment.places[message.ref] = place
                segment.live += place.size
            elif message.body:
                self._count_inline(message, len(message.body))
        for number, size in sizes.items():
            self._last = max(self._last, number)
            if number not in self.segments:  # nobody's: taken on was nothing of it
                self.space.settle(0, round_to_blocks(size))
                self._remove_file(self.folder / f"{PREFIX}{number}", size)
        for name in names:
            if name.startswith(OLD_PREFIX) and name not in old:
                self.files.remove(self.folder / name)
        return lost

    def _known(self, number: int, size: int) -> Segment:
        self.segments[number] = Segment(number, self.folder / f"{PREFIX}{number}", size)
        self.space.settle(0, round_to_blocks(size))
        return self.segments[number]

    def _open_old(self, message: TakenBody, names: list[str], old: set[str]) -> list[str]:
        """A body in a file of its own, as earlier versions kept it."""
        if message.legacy_file not in names:
            return [message.ref]
        old.add(message.legacy_file)
        self.space.settle(0, round_to_blocks(self.files.size(self.folder / message.legacy_file)))
        return []

    # A hand-in

    def keep(self, message: TakenBody, patience: timedelta, last: bool = False) -> TakenBody | Admission:
        """The message with its body where it is to stand, or why it cannot be taken on as things are.

        DROP_FIRST asks for room from others and one `last` call. `patience` ends the wait for the disk.
        """
        size = len(message.body)
        if size <= plan.inline_most(self.steps.now, self.limits):
            return message  # counted once it is taken on
        if self.would_reject(message):  # the owner will say so: nothing is written for it
            return message
        with self._lock:
            admission = self._admit(message, size)
            if admission.verdict is Verdict.DROP_FIRST and last:
                admission = plan.after_failure(self.plans[message.message_class], admission.reason)
            if admission.verdict is Verdict.KEEP:
                self.usage.add(message.message_class, message.destination, size)
            elif admission.destination is None and admission.verdict is not Verdict.DROP_FIRST:
                self._room_ran_out(admission.reason)
        if admission.verdict is Verdict.KEEP:
            bare = msgspec.structs.replace(message, body=b"")
            put = Put(bare, message.body, checksum(message.body), PendingReply())
            self._queue.put(put)
            found = put.pending.wait(min(patience, self.settings.write_patience), CLAIMED_PATIENCE)
            if isinstance(found, Place):
                return msgspec.structs.replace(bare, place=found)
            put.body = b""  # should it still be in the queue
            reason = found or "the disk did not take its body in time"
            if not put.pending.abandoned:
                self._unused(message, size)
            admission = plan.after_failure(self.plans[message.message_class], reason)
            if found == NO_ROOM and not last:
                with self._lock:
                    admission = plan.without_room(
                        self.plans, self.limits, self.usage, message.message_class, size, reason
                    )
        if admission.verdict is Verdict.ONE_TRY:
            return self._one_try(message, admission.reason)
        return admission

    def _admit(self, message: TakenBody, size: int) -> Admission:
        """The plan's word; after a failure of the disk, one body in a while tries it again."""
        full = self.steps.full and not self._refused
        admission = plan.admit(
            self.plans, self.limits, self.usage, full, message.message_class, message.destination, size
        )
        if self._refused and admission.verdict is Verdict.KEEP:
            now = self.clock.now()
            if now < self._blocked_until:
                return plan.after_failure(
                    self.plans[message.message_class], "the disk refused the last write"
                )
            self._blocked_until = now + PAUSE
        return admission

    def _one_try(self, message: TakenBody, reason: str) -> TakenBody | Admission:
        size = len(message.body)
        with self._lock:
            # What stands in a file, too, gives way to what stands nowhere else, whenever that is wanted.
            while self._cache and self.usage.memory + size > self.limits.memory:
                self._spill_one(-inf)
            if not plan.one_try_fits(self.limits, self.usage, self.unkept, message.destination, size):
                return Admission(Verdict.REFUSE, f"{reason}, and no memory for one try")
            self._count_unkept(message, size)
        self.log.say("unkept", f"{message.ref} is taken for one try, its body kept nowhere: {reason}")
        return msgspec.structs.replace(message, unkept=True)

    def _unused(self, message: TakenBody, size: int) -> None:
        with self._lock:
            self.usage.add(message.message_class, message.destination, -size)

    def discard(self, message: TakenBody) -> None:
        """A message that was not taken on after all: its body goes."""
        if message.unkept:
            with self._lock:
                self._count_unkept(message, -len(message.body))
        elif message.place is not None:
            self._release(message)

    # What the journal tells, under its lock

    def body_recorded(self, message: TakenBody) -> None:
        """A message is on record."""
        if message.place is None and not message.unkept and message.body:
            with self._lock:
                self._count_inline(message, len(message.body))
                if self.usage.memory > self.limits.memory:
                    self._memory_ran_out()

    def body_released(self, message: TakenBody) -> None:
        """It needs its body no more."""
        if message.place is not None:
            self._release(message)
        elif message.legacy_file:
            self._remove_file(self.folder / message.legacy_file, self._old_size(message.legacy_file))
        elif message.body:
            with self._lock:
                if message.unkept:
                    self._count_unkept(message, -len(message.body))
                else:
                    self._count_inline(message, -len(message.body))
                self._look()

    def _count_inline(self, message: TakenBody, size: int) -> None:
        self.usage.memory += size
        self.inline.add(message.message_class, message.destination, size)

    def body_relocated(self, message: TakenBody, place: Place) -> None:
        """A move is on record: the old place is dead."""
        with self._lock:
            self._uncache(message.place, message.destination)
            self._drop_place(message.ref, message.place)

    def _count_unkept(self, message: TakenBody, size: int) -> None:
        self.usage.memory += size
        self.unkept.add(message.message_class, message.destination, size)

    def _old_size(self, name: str) -> int:
        try:
            return self.files.size(self.folder / name)
        except OSError:
            return 0

    def _release(self, message: TakenBody) -> None:
        with self._lock:
            self.usage.add(message.message_class, message.destination, -message.place.size)
            self._uncache(message.place, message.destination)
            self._drop_place(message.ref, message.place)
            self._look()

    def _drop_place(self, ref: str, place: Place) -> None:
        segment = self.segments.get(place.segment)
        if segment is None:
            return
        for key in (ref, f"{ref}\0{place.offset}"):
            if segment.places.get(key) == place:
                del segment.places[key]
                segment.live -= place.size
                break
        if not segment.places and segment is not self._active:
            self._queue.put(Remove(segment.number))

    # Memory

    def _memory_ran_out(self) -> None:
        if self.steps.memory_ran_out():
            self.log.say(
                "bodies",
                f"step files: {self.usage.memory} of {self.limits.memory} bytes of memory "
                f"are used; bodies over {self.limits.inline_low} bytes stand in files only",
            )

    def _room_ran_out(self, reason: str) -> None:
        if self.steps.room_ran_out():
            self.log.say("bodies", f"step unkept: {reason}; bodies are not kept beyond the classes' shares")

    def _look(self) -> None:
        if self._refused:
            return
        for text in self.steps.look(self.limits, self.usage):
            self.log.say("bodies", f"step {self.steps.now.name.lower()}: {text}")

    def _remember(self, place: Place, destination: int, body: bytes) -> None:
        """Keep a body in memory beside its file if there is room, or if another is wanted later than it."""
        size, now = place.size, self.clock.module_s(self.clock.now())
        if size > self.limits.memory:
            return
        new_s = self._outlook(destination).expected_wait_s(now, len(self._lines.get(destination, ())))
        while self.usage.memory + size > self.limits.memory:
            self._memory_ran_out()
            if not self._spill_one(new_s):
                return
        self._cache[place] = body
        self._lines.setdefault(destination, {})[place] = None
        self.usage.memory += size

    def _spill_one(self, new_s: float) -> bool:
        """The body that is wanted last leaves memory for one wanted in `new_s`; False if that is the last."""
        now = self.clock.module_s(self.clock.now())
        lines = [
            plan.Line(d, self._outlook(d).expected_wait_s(now, len(line) - 1))
            for d, line in self._lines.items()
        ]
        victim = plan.spill_from(lines, new_s)
        if victim is None:
            return False
        self._uncache(next(reversed(self._lines[victim])), victim)
        return True

    def _uncache(self, place: Place, destination: int) -> None:
        body = self._cache.pop(place, None)
        if body is not None:
            self.usage.memory -= len(body)
            line = self._lines[destination]
            del line[place]
            if not line:
                del self._lines[destination]

    def _outlook(self, destination: int) -> DeliveryForecast:
        return self.forecasts.get(destination) or DeliveryForecast()

    def observe(self, destination: int, outcome: Outcome, wait: timedelta = timedelta(0)) -> None:
        """What a relay came to."""
        now = self.clock.module_s(self.clock.now())
        with self._lock:
            outlook = self.forecasts.setdefault(destination, DeliveryForecast())
            if outcome is Outcome.DELIVERED:
                outlook.delivered(now)
            elif outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
                outlook.failed(now, seconds(wait))

    def forget_destinations(self, listed: set[int]) -> None:
        """Destinations come and go: what no list names any more is not remembered."""
        with self._lock:
            for destination in [d for d in self.forecasts if d not in listed]:
                del self.forecasts[destination]

    def expected_wait_s(self, destination: int) -> float:
        """How long until a destination is likely to take anything."""
        with self._lock:
            return self._outlook(destination).expected_wait_s(self.clock.module_s(self.clock.now()), 0)

    def victims(
        self,
        cls: str,
        need: int,
        candidates: Iterable[plan.Candidate],
        destination: int | None = None,
        inline: bool = False,
    ) -> list[plan.Candidate]:
        """Who makes room, on the disk's part for bodies, or among those that stand in records."""
        usage = self.inline if inline else self.usage
        room = int(self.space.journal_share * self.space.room) // 2 if inline else self.limits.room
        with self._lock:
            return plan.victims(self.plans, room, usage, cls, need, candidates, destination)

    # A relay

    def read(self, message: TakenBody) -> bytes:
        """The body's bytes. `LostError` where they are missing or damaged, `OSError` where the disk fails."""
        if message.legacy_file:
            return self._read_old(message)
        if message.place is None:
            return message.body
        body = self._cache.get(message.place)
        if body is not None:
            return body
        for _ in range(READS):
            place = self.place_of(message.ref) or message.place
            try:
                return self._read_at(place)
            except (FileNotFoundError, BodyLostError):
                if self.place_of(message.ref) in (None, place):
                    break  # not moved meanwhile
        raise BodyLostError(f"the body of {message.ref} is missing or damaged")

    def _read_at(self, place: Place) -> bytes:
        file = self.files.open_to_read(self.folder / f"{PREFIX}{place.segment}")
        try:
            parts, at = [], 0
            while at < place.size:
                part = self.files.read_at(file, place.size - at, place.offset + at)
                if not part:
                    break
                parts.append(part)
                at += len(part)
        finally:
            self.files.close(file)
        body = parts[0] if len(parts) == 1 else b"".join(parts)
        if len(body) != place.size or checksum(body) != place.checksum:
            raise BodyLostError
        return body

    def _read_old(self, message: TakenBody) -> bytes:
        try:
            body = self.files.read_whole(self.folder / message.legacy_file)
        except FileNotFoundError:
            raise BodyLostError(f"the body of {message.ref} is missing") from None
        if zlib.crc32(body) != message.checksum:
            raise BodyLostError(f"the body of {message.ref} is damaged")
        return body

    # The store's own thread

    def run(self) -> None:
        """Write, remove and reclaim until the process ends."""
        while not self._halted:
            self.work(block=True)
        threading.Event().wait()  # the process ends once its calls have

    def work(self, block: bool = False) -> bool:
        """One piece of work; False if there was none and none was waited for."""
        due = self._due()
        try:
            timeout = seconds(IDLE) if self._active is not None else None
            item = self._queue.get(block=block and due is None, timeout=timeout)
        except queue.Empty:
            item = None
            if due is None:
                with self._hand:
                    if not self._halted:
                        self._close_active(void_only=True)
                return False
        with self._hand:
            if self._halted:  # the files are another process's
                return False
            if isinstance(item, Put):
                self._put(item)
            elif isinstance(item, Remove):
                self._remove(item.number)
            elif item is None and due is not None:
                return self._rewrite(due)
        return True

    def freeze(self) -> None:
        """Change no file until `thaw`."""
        self._hand.acquire()

    def thaw(self, halted: bool = False) -> None:
        """Go on, or with `halted` never change a file again: they are another process's."""
        self._halted = halted
        self._hand.release()

    def _due(self, pressed: bool = False) -> int | None:
        """The segment to write anew."""
        with self._lock:
            views = [
                plan.SegmentView(s.number, s.size, s.live, len(s.places))
                for s in self.segments.values()
                if s is not self._active and s.places and s.number not in self._stuck
            ]
        return plan.choose_segment(views, self.settings.reclaim, pressed, self.copy_room)

    def _put(self, put: Put) -> None:
        """Write one body and answer who waits for it."""
        message, body, found = put.message, put.body, "nobody waits for it"
        if put.pending.abandoned:
            self._unused(message, put.size)
            return
        self._stuck.clear()
        try:
            found = self._write(message.ref, body, put.checksum, lambda: not put.pending.abandoned)
        except OSError as fault:
            self._refused, self._blocked_until = True, self.clock.now() + PAUSE
            found = f"the disk refused its body ({fault.strerror or fault})"
        with self._lock:
            if isinstance(found, Place):
                self._refused = False
                self._look()
            elif not put.pending.abandoned:
                self._room_ran_out(found)
        if not put.pending.claim():
            self._unused(message, put.size)
            if isinstance(found, Place):
                with self._lock:
                    self._drop_place(message.ref, found)
            return
        if isinstance(found, Place):
            with self._lock:
                self._remember(found, message.destination, body)
        put.pending.settle(found)

    def _write(
        self,
        ref: str,
        body: bytes,
        digest: int,
        wanted: Callable[[], bool] = lambda: True,
        reserve: int | None = None,
    ) -> Place | str:
        """Append a body to the active segment, or to a new one; a text if there is no room for it."""
        size, reserve = len(body), self.copy_room if reserve is None else reserve
        while True:
            # Anew each time: what makes room appends copies, too.
            active = self._active
            if active is not None and active.size and active.size + size > self.segment_size:
                self._close_active()
                active = None
            old = active.size if active is not None else 0
            grown = round_to_blocks(old + size) - round_to_blocks(old)
            if self.space.claim(grown, reserve):
                break
            if self.space.blocked_by_journal(grown):
                self.compact_journal()
                if self.space.claim(grown, reserve):
                    break
            if not reserve or not wanted() or not self._make_room():
                return NO_ROOM
        written = 0
        try:
            if active is None:
                active = self._begin_segment()
            self.files.append_all(active.file, body)
            written = grown
        except OSError:
            self._cut_off(active, old)
            raise
        finally:
            self.space.settle(grown, written)
        place = Place(active.number, old, size, digest)
        with self._lock:
            active.size = old + size
            key = f"{ref}\0{old}" if ref in active.places else ref  # the same id handed in twice at once
            active.places[key] = place
            active.live += size
        return place

    def _begin_segment(self) -> Segment:
        self._last += 1
        segment = Segment(self._last, self.folder / f"{PREFIX}{self._last}")
        segment.file = self.files.create(segment.path)
        with self._lock:
            self.segments[segment.number] = self._active = segment
        return segment

    def _cut_off(self, segment: Segment | None, size: int) -> None:
        """What a failed write left behind goes; where it cannot, the file takes nothing more."""
        if segment is None:
            return
        try:
            self.files.truncate(segment.file, size)
        except OSError as fault:
            body_released = self._old_size(segment.path.name)
            self.log.say("bodies", f"{segment.path.name} keeps what a failed write left: {fault.strerror}")
            self.space.settle(0, round_to_blocks(body_released) - round_to_blocks(size))
            segment.size = max(size, body_released)
            self._close_active()
            return
        if not size:
            self._close_active()

    def _make_room(self) -> bool:
        """Win room back at once: remove what is dead, else write one segment anew; False if there is none."""
        with self._lock:
            dead = [s.number for s in self.segments.values() if not s.places and s is not self._active]
        if dead:
            self._remove(dead[0])
            return True
        if self._active is not None and not self._active.places and self._active.size:
            self._close_active()
            return True
        due = self._due(pressed=True)
        return due is not None and self._rewrite(due)

    def _close_active(self, void_only: bool = False) -> None:
        """No more goes into the active segment; with `void_only` only if nothing in it lives."""
        with self._lock:
            active = self._active
            if active is None or (void_only and active.places):
                return
            self._active = None
            void = not active.places
        self.files.close(active.file)
        if void:
            self._remove(active.number)

    def _remove(self, number: int) -> None:
        """Remove a segment in which nothing lives."""
        with self._lock:
            segment = self.segments.get(number)
            if segment is None or segment.places or segment is self._active:
                return
            del self.segments[number]
            self._stuck.clear()
        self._remove_file(segment.path, segment.size)

    def _remove_file(self, path: Path, size: int) -> None:
        try:
            self.files.remove(path)
            self.space.freed(round_to_blocks(size))
        except OSError as fault:  # the next start removes it
            self.log.say("bodies", f"{path.name} could not be removed: {fault.strerror}")

    def _rewrite(self, number: int) -> bool:
        """Copy one live body out of a segment; its last one lets the file go. False if that cannot be done
        now.

        The copy is written, then the move is recorded, then the old place is dead: whenever the process dies,
        one whole copy is on record.
        """
        with self._lock:
            segment = self.segments.get(number)
            key, place = next(iter(segment.places.items()), (None, None)) if segment else (None, None)
        if key is None:
            return True
        ref = key.partition("\0")[0]
        if self.place_of(ref) != place:  # not on record yet, or no longer: it decides itself in a moment
            self._stuck.add(number)
            return False
        try:
            body = self._read_at(place)
        except (BodyLostError, FileNotFoundError):
            self.log.say("bodies", f"the body of {ref} is missing or damaged")
            self._stuck.add(number)
            self.lost(ref)
            return False
        except OSError as fault:
            self.log.say("bodies", f"{segment.path.name} cannot be read: {fault.strerror}")
            self._stuck.add(number)
            return False
        try:
            copy = self._write(ref, body, place.checksum, reserve=0)
            if isinstance(copy, str):
                self._stuck.add(number)
                return False
            self.moved(ref, copy)  # the journal then tells that the old place is dead
        except (OSError, RuntimeError) as fault:
            self.log.say("bodies", f"a body could not be moved: {fault}")
            self._stuck.add(number)
            return False
        self.moves += 1
        if self.place_of(ref) != copy:  # it ended meanwhile
            with self._lock:
                self._drop_place(ref, copy)
        return True
