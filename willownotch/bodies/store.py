"""The body store on disk: append-only segment files, one thread that writes and reclaims, an index in memory.

A body is written before its message reaches the decision loop, so that it is on disk when the 202 goes out.
Only the message's journal record says where the body is; a start reads the journal and no body. A segment
file is removed once it has no live body; one that is mostly dead is reclaimed by copying its live bodies one
at a time, each with a journal record of the move. `_lock` is never held during file operations.
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

PREFIX, LEGACY_PREFIX = "bodies-", "body-"
MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES = 64 * 1024, 8 * 1024 * 1024  # if the settings give no segment size
SEGMENTS = 32  # files that the room is divided into, where that gives a size between these two
MEMORY_SHARE, MAX_MEMORY_BYTES = 1 / 24, 8_000_000  # the default: a share of the machine's memory, at most
MAX_COPY_BYTES, COPY_SHARE = 64 * 1024, 1 / 8  # of the room, set aside for reclaiming, which needs it to copy
IDLE_DELAY = timedelta(
    seconds=1
)  # without work, after which an active segment without live bodies is removed
WRITE_RETRY_DELAY = timedelta(milliseconds=500)  # after the disk refused a write
NO_ROOM = "the disk space for bodies is used up"
CLAIMED_PATIENCE = timedelta(seconds=2)  # for the result, once the store's thread has claimed the request
READ_ATTEMPTS = 3  # a body may be moved while it is read


class BodyLostError(Exception):
    """A body is missing or damaged: there is nothing to deliver."""


class MessageWithBody(Protocol):
    """The fields of a message that the store uses."""

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
    """A request to the store's thread: write a body."""

    message: MessageWithBody  # without its body
    body: bytes
    checksum: int
    pending: PendingReply[Place | str]
    size: int = 0

    def __post_init__(self) -> None:
        self.size = len(self.body)


@dataclass(slots=True)
class Segment:
    """One file, and the places of its live bodies by message."""

    number: int
    path: Path
    size: int = 0
    file: int = -1  # descriptor, open while bodies are appended
    places: dict[str, Place] = field(default_factory=dict)
    live: int = 0  # bytes


@dataclass(frozen=True, slots=True)
class Remove:
    """A request to the store's thread: remove a segment without live bodies."""

    number: int


def size_and_checksum(message: MessageWithBody) -> tuple[int, int]:
    """Return a body's size in bytes and its checksum, wherever the body is stored."""
    if message.place is not None:
        return message.place.size, message.place.checksum
    return len(message.body), checksum(message.body)


def checksum(body: bytes) -> int:
    """Return the XXH3-64 of a body. The library is loaded by the first call."""
    import xxhash

    return xxhash.xxh3_64_intdigest(body)


def copy_reserve(space: Space) -> int:
    """Return the bytes of the bodies' part that only reclaiming may use."""
    return min(MAX_COPY_BYTES, int(COPY_SHARE * space.max_bodies_bytes))


def limits_of(settings: BodiesSettings, memory_mb: float, space: Space) -> Limits:
    """Return the settings in bytes; where they are not set, as shares of the machine's memory and disk."""
    memory = (
        settings.memory
        if settings.memory is not None
        else int(min(MAX_MEMORY_BYTES, MEMORY_SHARE * memory_mb * 1_000_000))
    )
    room = space.max_bodies_bytes - copy_reserve(space)
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
    """The body store.

    `keep` is called by client threads, `read` by relays, the rest by whoever writes the journal.
    """

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
        # Where the journal says that a message's body is, and how a move is recorded there.
        self.place_of: Callable[[str], Place | None] = lambda ref: None
        self.moved: Callable[[str, Place], None] = lambda ref, place: None
        self.compact_journal: Callable[[], None] = lambda: None
        self.lost: Callable[[str], None] = lambda ref: None
        self.would_reject: Callable[[MessageWithBody], bool] = lambda message: False
        self.usage, self.steps = plan.Usage(), plan.Steps()
        self.inline = plan.Usage()  # of bodies in journal records
        self.unkept = plan.Usage()  # of bodies that are only in memory, for one relay
        self.forecasts: dict[int, DeliveryForecast] = {}
        self.segments: dict[int, Segment] = {}
        self.copy_reserve = copy_reserve(space)
        self.moves = 0  # bodies copied by reclaiming
        self._lock = threading.Lock()
        self._file_lock = threading.Lock()  # held while files are changed
        self._stopped = False
        self._queue: queue.SimpleQueue[Put | Remove | None] = queue.SimpleQueue()
        self._active: Segment | None = None
        self._last_number = 0  # of a segment
        self._cache: dict[Place, bytes] = {}  # by place: an id may be handed in twice, with different bodies
        self._cached_places: dict[int, dict[Place, None]] = {}  # by destination, oldest first
        self._disk_failing = False  # the disk refused the last body, although the accounting shows room
        self._next_try = clock.now()  # when the next body is written to a failing disk
        self._skipped: set[int] = set()  # segments that could not be reclaimed
        self.configure(settings)

    def configure(self, settings: BodiesSettings) -> None:
        """Apply settings, at the start or in service; the journal's disk share is fixed at the start."""
        limits = limits_of(settings, self.memory_mb, self.space)
        share = limits.room // SEGMENTS
        with self._lock:
            self.settings, self.limits = settings, limits
            self.segment_size = settings.segment or max(MIN_SEGMENT_BYTES, min(MAX_SEGMENT_BYTES, share))
            self.plans = {
                c.name: ClassPlan(c.name, c.worth, c.idempotency, for_class(settings, c.name, c.idempotency))
                for c in self.classes
            }
        self._queue.put(None)

    def apply_settings(self, classes: Iterable[MessageClass]) -> None:
        """Replace the message classes.

        Plans of former classes are kept while they may be needed: bodies of the last classes may be on their
        way in, and those of any class may be stored.
        """
        before, last, self.classes = self.plans, {c.name for c in self.classes}, tuple(classes)
        self.configure(self.settings)
        with self._lock:
            kept = {name for name in before if name in last or self.usage.classes.get(name)}
            self.plans = {**{name: before[name] for name in kept}, **self.plans}

    # Start

    def open(self, live: Iterable[MessageWithBody]) -> list[str]:
        """Index the bodies that the journal names; return the messages whose body is missing or truncated.

        Only names and sizes of files are read: the work grows with the number of bodies, not their bytes.
        """
        self.files.make_folder(self.folder)
        names = self.files.names(self.folder)
        sizes: dict[int, int] = {}
        for name in names:
            if name.startswith(PREFIX) and name[len(PREFIX) :].isdigit():
                sizes[int(name[len(PREFIX) :])] = self.files.size(self.folder / name)
        lost, legacy_files = [], set()
        for message in live:
            place = message.place
            if message.legacy_file:
                lost += self._open_legacy(message, names, legacy_files)
            elif place is not None:
                self.usage.add(message.message_class, message.destination, place.size)
                if sizes.get(place.segment, -1) < place.offset + place.size:
                    lost.append(message.ref)
                    continue
                segment = self.segments.get(place.segment)
                if segment is None:
                    segment = self._add_existing(place.segment, sizes[place.segment])
                segment.places[message.ref] = place
                segment.live += place.size
            elif message.body:
                self._count_inline(message, len(message.body))
        for number, size in sizes.items():
            self._last_number = max(self._last_number, number)
            if number not in self.segments:  # no accepted message has a body in it
                self.space.settle(0, round_to_blocks(size))
                self._remove_file(self.folder / f"{PREFIX}{number}", size)
        for name in names:
            if name.startswith(LEGACY_PREFIX) and name not in legacy_files:
                self.files.remove(self.folder / name)
        return lost

    def _add_existing(self, number: int, size: int) -> Segment:
        """Index a segment file that was found in the folder."""
        self.segments[number] = Segment(number, self.folder / f"{PREFIX}{number}", size)
        self.space.settle(0, round_to_blocks(size))
        return self.segments[number]

    def _open_legacy(self, message: MessageWithBody, names: list[str], legacy_files: set[str]) -> list[str]:
        """Index a body in a file of its own, as earlier versions wrote it; return its id if it is missing."""
        if message.legacy_file not in names:
            return [message.ref]
        legacy_files.add(message.legacy_file)
        self.space.settle(0, round_to_blocks(self.files.size(self.folder / message.legacy_file)))
        return []

    # Hand-in

    def keep(
        self, message: MessageWithBody, patience: timedelta, last: bool = False
    ) -> MessageWithBody | Admission:
        """Store a message's body; return the message with its place, or why it cannot be accepted now.

        DROP_FIRST asks the caller to make room and to call once more with `last`. `patience` bounds the wait
        for the disk.
        """
        size = len(message.body)
        if size <= plan.max_inline_bytes(self.steps.current, self.limits):
            return message  # counted once it is accepted
        if self.would_reject(message):  # the decision loop rejects it: nothing is written for it
            return message
        with self._lock:
            admission = self._admit(message, size)
            if admission.verdict is Verdict.DROP_FIRST and last:
                admission = plan.after_failure(self.plans[message.message_class], admission.reason)
            if admission.verdict is Verdict.KEEP:
                self.usage.add(message.message_class, message.destination, size)
            elif admission.destination is None and admission.verdict is not Verdict.DROP_FIRST:
                self._set_disk_full(admission.reason)
        if admission.verdict is Verdict.KEEP:
            bare = msgspec.structs.replace(message, body=b"")
            put = Put(bare, message.body, checksum(message.body), PendingReply())
            self._queue.put(put)
            found = put.pending.wait(min(patience, self.settings.write_patience), CLAIMED_PATIENCE)
            if isinstance(found, Place):
                return msgspec.structs.replace(bare, place=found)
            put.body = b""  # frees the memory if the request is still queued
            reason = found or "the disk did not store its body in time"
            if not put.pending.abandoned:
                self._uncount(message, size)
            admission = plan.after_failure(self.plans[message.message_class], reason)
            if found == NO_ROOM and not last:
                with self._lock:
                    admission = plan.when_files_full(
                        self.plans, self.limits, self.usage, message.message_class, size, reason
                    )
        if admission.verdict is Verdict.ONE_TRY:
            return self._accept_for_one_try(message, admission.reason)
        return admission

    def _admit(self, message: MessageWithBody, size: int) -> Admission:
        """Return the plan's decision; while the disk fails, only one body per delay is written to test it."""
        disk_full = self.steps.disk_full and not self._disk_failing
        admission = plan.admit(
            self.plans, self.limits, self.usage, disk_full, message.message_class, message.destination, size
        )
        if self._disk_failing and admission.verdict is Verdict.KEEP:
            now = self.clock.now()
            if now < self._next_try:
                return plan.after_failure(
                    self.plans[message.message_class], "the disk refused the last write"
                )
            self._next_try = now + WRITE_RETRY_DELAY
        return admission

    def _accept_for_one_try(self, message: MessageWithBody, reason: str) -> MessageWithBody | Admission:
        """Keep a body in memory for one relay, if there is room."""
        size = len(message.body)
        with self._lock:
            # Cached bodies are in files too, so they are dropped for one that is stored nowhere else.
            while self._cache and self.usage.memory + size > self.limits.memory:
                self._spill_one(-inf)
            if not plan.one_try_fits(self.limits, self.usage, self.unkept, message.destination, size):
                return Admission(Verdict.REFUSE, f"{reason}, and no memory for one try")
            self._count_unkept(message, size)
        self.log.say("unkept", f"{message.ref} was accepted for one try, its body is not stored: {reason}")
        return msgspec.structs.replace(message, unkept=True)

    def _uncount(self, message: MessageWithBody, size: int) -> None:
        """Take a body that was admitted but not stored out of the usage."""
        with self._lock:
            self.usage.add(message.message_class, message.destination, -size)

    def discard(self, message: MessageWithBody) -> None:
        """Delete the body of a message that was not accepted in the end."""
        if message.unkept:
            with self._lock:
                self._count_unkept(message, -len(message.body))
        elif message.place is not None:
            self._release(message)

    # Calls from the journal, under its lock

    def body_recorded(self, message: MessageWithBody) -> None:
        """Count the body of a message whose record was just written."""
        if message.place is None and not message.unkept and message.body:
            with self._lock:
                self._count_inline(message, len(message.body))
                if self.usage.memory > self.limits.memory:
                    self._set_memory_full()

    def body_released(self, message: MessageWithBody) -> None:
        """Free the body of a message that does not need it any more."""
        if message.place is not None:
            self._release(message)
        elif message.legacy_file:
            self._remove_file(self.folder / message.legacy_file, self._file_size(message.legacy_file))
        elif message.body:
            with self._lock:
                if message.unkept:
                    self._count_unkept(message, -len(message.body))
                else:
                    self._count_inline(message, -len(message.body))
                self._update_step()

    def _count_inline(self, message: MessageWithBody, size: int) -> None:
        self.usage.memory += size
        self.inline.add(message.message_class, message.destination, size)

    def body_relocated(self, message: MessageWithBody, place: Place) -> None:
        """Free the old place of a body whose move was just recorded."""
        with self._lock:
            self._uncache(message.place, message.destination)
            self._drop_place(message.ref, message.place)

    def _count_unkept(self, message: MessageWithBody, size: int) -> None:
        self.usage.memory += size
        self.unkept.add(message.message_class, message.destination, size)

    def _file_size(self, name: str) -> int:
        """Return a file's size in bytes; 0 if it cannot be read."""
        try:
            return self.files.size(self.folder / name)
        except OSError:
            return 0

    def _release(self, message: MessageWithBody) -> None:
        """Free a body in the store."""
        with self._lock:
            self.usage.add(message.message_class, message.destination, -message.place.size)
            self._uncache(message.place, message.destination)
            self._drop_place(message.ref, message.place)
            self._update_step()

    def _drop_place(self, ref: str, place: Place) -> None:
        """Mark a place as dead; a segment without live bodies is queued for removal."""
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

    def _set_memory_full(self) -> None:
        if self.steps.set_memory_full():
            self.log.say(
                "bodies",
                f"step files: {self.usage.memory} of {self.limits.memory} bytes of memory "
                f"are in use; bodies over {self.limits.inline_low} bytes are stored in files only",
            )

    def _set_disk_full(self, reason: str) -> None:
        if self.steps.set_disk_full():
            self.log.say("bodies", f"step unkept: {reason}; beyond the classes' shares no body is stored")

    def _update_step(self) -> None:
        if self._disk_failing:
            return
        for text in self.steps.update(self.limits, self.usage):
            self.log.say("bodies", f"step {self.steps.current.name.lower()}: {text}")

    def _cache_body(self, place: Place, destination: int, body: bytes) -> None:
        """Cache a stored body in memory if there is room, or if a cached one is needed later."""
        size, now = place.size, self.clock.module_s(self.clock.now())
        if size > self.limits.memory:
            return
        new_wait_s = self._forecast(destination).expected_wait_s(
            now, len(self._cached_places.get(destination, ()))
        )
        while self.usage.memory + size > self.limits.memory:
            self._set_memory_full()
            if not self._spill_one(new_wait_s):
                return
        self._cache[place] = body
        self._cached_places.setdefault(destination, {})[place] = None
        self.usage.memory += size

    def _spill_one(self, new_wait_s: float) -> bool:
        """Drop the cached body that is needed last; False if none is needed after `new_wait_s` seconds."""
        now = self.clock.module_s(self.clock.now())
        cached = [
            plan.CachedDestination(d, self._forecast(d).expected_wait_s(now, len(places) - 1))
            for d, places in self._cached_places.items()
        ]
        destination = plan.choose_spill(cached, new_wait_s)
        if destination is None:
            return False
        self._uncache(next(reversed(self._cached_places[destination])), destination)
        return True

    def _uncache(self, place: Place, destination: int) -> None:
        body = self._cache.pop(place, None)
        if body is not None:
            self.usage.memory -= len(body)
            places = self._cached_places[destination]
            del places[place]
            if not places:
                del self._cached_places[destination]

    def _forecast(self, destination: int) -> DeliveryForecast:
        return self.forecasts.get(destination) or DeliveryForecast()

    def observe(self, destination: int, outcome: Outcome, wait: timedelta = timedelta(0)) -> None:
        """Record the result of a relay for the destination's forecast."""
        now = self.clock.module_s(self.clock.now())
        with self._lock:
            forecast = self.forecasts.setdefault(destination, DeliveryForecast())
            if outcome is Outcome.DELIVERED:
                forecast.delivered(now)
            elif outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
                forecast.failed(now, seconds(wait))

    def forget_destinations(self, listed: set[int]) -> None:
        """Delete the forecasts of destinations that no list names any more."""
        with self._lock:
            for destination in [d for d in self.forecasts if d not in listed]:
                del self.forecasts[destination]

    def expected_wait_s(self, destination: int) -> float:
        """Estimate the seconds until a destination accepts a message."""
        with self._lock:
            return self._forecast(destination).expected_wait_s(self.clock.module_s(self.clock.now()), 0)

    def victims(
        self,
        cls: str,
        bytes_needed: int,
        candidates: Iterable[plan.Candidate],
        destination: int | None = None,
        inline: bool = False,
    ) -> list[plan.Candidate]:
        """Choose messages to end, to free room for bodies on disk or, with `inline`, in journal records."""
        usage = self.inline if inline else self.usage
        room = int(self.space.journal_share * self.space.room) // 2 if inline else self.limits.room
        with self._lock:
            return plan.victims(self.plans, room, usage, cls, bytes_needed, candidates, destination)

    # Relays

    def read(self, message: MessageWithBody) -> bytes:
        """Return a body. `BodyLostError` if it is missing or damaged, `OSError` if the disk fails."""
        if message.legacy_file:
            return self._read_legacy(message)
        if message.place is None:
            return message.body
        body = self._cache.get(message.place)
        if body is not None:
            return body
        for _ in range(READ_ATTEMPTS):
            place = self.place_of(message.ref) or message.place
            try:
                return self._read_at(place)
            except (FileNotFoundError, BodyLostError):
                if self.place_of(message.ref) in (None, place):
                    break  # it was not moved in between
        raise BodyLostError(f"the body of {message.ref} is missing or damaged")

    def _read_at(self, place: Place) -> bytes:
        """Read a body from its segment and check it."""
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

    def _read_legacy(self, message: MessageWithBody) -> bytes:
        """Read a body from a file of its own and check it."""
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
        while not self._stopped:
            self.work(block=True)
        threading.Event().wait()  # the process ends once its calls have ended

    def work(self, block: bool = False) -> bool:
        """Do one piece of work; return False if there was none."""
        due = self._due()
        try:
            timeout = seconds(IDLE_DELAY) if self._active is not None else None
            item = self._queue.get(block=block and due is None, timeout=timeout)
        except queue.Empty:
            item = None
            if due is None:
                with self._file_lock:
                    if not self._stopped:
                        self._close_active(empty_only=True)
                return False
        with self._file_lock:
            if self._stopped:  # the files belong to another process
                return False
            if isinstance(item, Put):
                self._put(item)
            elif isinstance(item, Remove):
                self._remove(item.number)
            elif item is None and due is not None:
                return self._reclaim_one(due)
        return True

    def freeze(self) -> None:
        """Change no file until `thaw`."""
        self._file_lock.acquire()

    def thaw(self, stop: bool = False) -> None:
        """Resume after `freeze`; with `stop` never change a file again, as they belong to another process."""
        self._stopped = stop
        self._file_lock.release()

    def _due(self, urgent: bool = False) -> int | None:
        """Return the number of the segment to reclaim next, if any."""
        with self._lock:
            views = [
                plan.SegmentView(s.number, s.size, s.live, len(s.places))
                for s in self.segments.values()
                if s is not self._active and s.places and s.number not in self._skipped
            ]
        return plan.choose_segment(views, self.settings.reclaim, urgent, self.copy_reserve)

    def _put(self, put: Put) -> None:
        """Write one body and answer the client thread that waits for it."""
        message, body, found = put.message, put.body, "the client does not wait for it any more"
        if put.pending.abandoned:
            self._uncount(message, put.size)
            return
        self._skipped.clear()
        try:
            found = self._write(message.ref, body, put.checksum, lambda: not put.pending.abandoned)
        except OSError as fault:
            self._disk_failing, self._next_try = True, self.clock.now() + WRITE_RETRY_DELAY
            found = f"the disk refused its body ({fault.strerror or fault})"
        with self._lock:
            if isinstance(found, Place):
                self._disk_failing = False
                self._update_step()
            elif not put.pending.abandoned:
                self._set_disk_full(found)
        if not put.pending.claim():
            self._uncount(message, put.size)
            if isinstance(found, Place):
                with self._lock:
                    self._drop_place(message.ref, found)
            return
        if isinstance(found, Place):
            with self._lock:
                self._cache_body(found, message.destination, body)
        put.pending.settle(found)

    def _write(
        self,
        ref: str,
        body: bytes,
        digest: int,
        wanted: Callable[[], bool] = lambda: True,
        reserve: int | None = None,
    ) -> Place | str:
        """Append a body to the active or a new segment; return its place, or a text if there is no room."""
        size, reserve = len(body), self.copy_reserve if reserve is None else reserve
        while True:
            # Computed in each round, as making room may append copies to the active segment.
            active = self._active
            if active is not None and active.size and active.size + size > self.segment_size:
                self._close_active()
                active = None
            old_size = active.size if active is not None else 0
            grown = round_to_blocks(old_size + size) - round_to_blocks(old_size)
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
            self._truncate(active, old_size)
            raise
        finally:
            self.space.settle(grown, written)
        place = Place(active.number, old_size, size, digest)
        with self._lock:
            active.size = old_size + size
            key = f"{ref}\0{old_size}" if ref in active.places else ref  # the same id handed in twice at once
            active.places[key] = place
            active.live += size
        return place

    def _begin_segment(self) -> Segment:
        """Create a segment file and make it the active one."""
        self._last_number += 1
        segment = Segment(self._last_number, self.folder / f"{PREFIX}{self._last_number}")
        segment.file = self.files.create(segment.path)
        with self._lock:
            self.segments[segment.number] = self._active = segment
        return segment

    def _truncate(self, segment: Segment | None, size: int) -> None:
        """Remove what a failed write left behind; if that fails, nothing more is appended to the file."""
        if segment is None:
            return
        try:
            self.files.truncate(segment.file, size)
        except OSError as fault:
            actual = self._file_size(segment.path.name)
            self.log.say(
                "bodies", f"{segment.path.name} could not be truncated after a failed write: {fault.strerror}"
            )
            self.space.settle(0, round_to_blocks(actual) - round_to_blocks(size))
            segment.size = max(size, actual)
            self._close_active()
            return
        if not size:
            self._close_active()

    def _make_room(self) -> bool:
        """Free room now by removing a dead segment or copying one body; False if there is none to free."""
        with self._lock:
            dead = [s.number for s in self.segments.values() if not s.places and s is not self._active]
        if dead:
            self._remove(dead[0])
            return True
        if self._active is not None and not self._active.places and self._active.size:
            self._close_active()
            return True
        due = self._due(urgent=True)
        return due is not None and self._reclaim_one(due)

    def _close_active(self, empty_only: bool = False) -> None:
        """Seal the active segment; with `empty_only` only if it has no live body."""
        with self._lock:
            active = self._active
            if active is None or (empty_only and active.places):
                return
            self._active = None
            empty = not active.places
        self.files.close(active.file)
        if empty:
            self._remove(active.number)

    def _remove(self, number: int) -> None:
        """Remove a segment that has no live body."""
        with self._lock:
            segment = self.segments.get(number)
            if segment is None or segment.places or segment is self._active:
                return
            del self.segments[number]
            self._skipped.clear()
        self._remove_file(segment.path, segment.size)

    def _remove_file(self, path: Path, size: int) -> None:
        try:
            self.files.remove(path)
            self.space.freed(round_to_blocks(size))
        except OSError as fault:  # the next start removes it
            self.log.say("bodies", f"{path.name} could not be removed: {fault.strerror}")

    def _reclaim_one(self, number: int) -> bool:
        """Copy one live body out of a segment, whose file is removed after its last; False if that fails.

        The copy is written, then the move is recorded, then the old place is dead: whenever the process dies,
        the journal names one complete copy.
        """
        with self._lock:
            segment = self.segments.get(number)
            key, place = next(iter(segment.places.items()), (None, None)) if segment else (None, None)
        if key is None:
            return True
        ref = key.partition("\0")[0]
        if self.place_of(ref) != place:  # its record is not written yet, or its message has just ended
            self._skipped.add(number)
            return False
        try:
            body = self._read_at(place)
        except (BodyLostError, FileNotFoundError):
            self.log.say("bodies", f"the body of {ref} is missing or damaged")
            self._skipped.add(number)
            self.lost(ref)
            return False
        except OSError as fault:
            self.log.say("bodies", f"{segment.path.name} cannot be read: {fault.strerror}")
            self._skipped.add(number)
            return False
        try:
            copy = self._write(ref, body, place.checksum, reserve=0)
            if isinstance(copy, str):
                self._skipped.add(number)
                return False
            self.moved(ref, copy)  # the journal then reports the old place as dead
        except (OSError, RuntimeError) as fault:
            self.log.say("bodies", f"a body could not be moved: {fault}")
            self._skipped.add(number)
            return False
        self.moves += 1
        if self.place_of(ref) != copy:  # its message has ended in between
            with self._lock:
                self._drop_place(ref, copy)
        return True
