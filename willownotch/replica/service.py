"""Custody in a running sender: one thread feeds the core, and tells the sender's others what it found.

The journal hands over what it has written, in its order and under its lock. The owner and the workers ask
what may be promised and done; the answers are plain values that this thread publishes, so nobody waits for it
but those who wait for copies.
"""

from __future__ import annotations

import queue
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path
from random import Random

import msgspec

from willownotch.bodies.store import BodyLostError
from willownotch.files.layer import Files
from willownotch.files.space import Space
from willownotch.journal.records import AcceptedMessage, Entry, MessageEnded, NoticeAnswered, Record, frame
from willownotch.journal.records import Custody as Mark
from willownotch.links.transport import LinkKind, TcpTransport
from willownotch.replica import core as cores
from willownotch.replica import wire
from willownotch.replica.books import Stage
from willownotch.replica.settings import ReplicaSettings
from willownotch.replica.store import Store

BATCH = 256  # things taken before what they led to is kept and sent
LAST_S = 0.2  # for the last words of a sender that ends
LOG_S = 10.0  # between two lines on messages that no copies can be had for
WITNESS_OF = (wire.Granted, wire.Acked)  # what may be said only once it is in the folder

LINKS = LinkKind(
    "custody", wire.VERSION, wire.decode, lambda message: sum(map(len, getattr(message, "frames", ()))) + 200
)


class FollowerView(msgspec.Struct, frozen=True):
    """A replica of a book of this sender's."""

    name: str
    lag: int | None  # records that it has not acknowledged; None: where it is is not known
    filling: int  # parts still to be sent
    heard_s: float


class BookView(msgspec.Struct, frozen=True):
    """A book of this sender's."""

    book: str
    term: int
    stage: str
    lease_s: float
    messages: int
    below: int  # records that are not yet in as many copies as the class with the highest W asks for
    witnesses: tuple[str, ...]
    replicas: tuple[FollowerView, ...]


class CopyView(msgspec.Struct, frozen=True):
    """What this sender holds for another."""

    book: str
    owner: str
    term: int
    messages: int
    bytes: int
    sure: bool
    heard_s: float


class ReplicaView(msgspec.Struct, frozen=True):
    """All of it."""

    name: str
    current: str | None
    books: tuple[BookView, ...]
    copies: tuple[CopyView, ...]
    terms: int  # books that this sender is a witness of
    ids: dict[str, int]  # of books without a copy here: how many ids are known to be owed an end
    traffic: dict[str, int]
    refused: dict[str, int]
    counts: dict[str, int]


@dataclass(slots=True)
class Wrote:
    """Records of one book that the journal has taken."""

    book: str
    records: list[Record]


@dataclass(slots=True)
class Wait:
    """Somebody waits until a record is in enough copies."""

    book: str
    at: int
    wanted: int
    by: float  # then it is over, or the lease alone is enough
    strict: bool  # it is over then, whatever the lease
    done: Callable[[bool], None]


class CustodyService:
    """Custody for one sender. `start` its threads, ask from any."""

    def __init__(
        self,
        settings: ReplicaSettings,
        name: str,
        life: int,
        transport: TcpTransport,
        folder: Path,
        files: Files,
        space: Space,
        room: int,
        say: Callable[[str], None],
        now: Callable[[], datetime],
    ) -> None:
        self.settings, self.name, self.transport, self.say, self.now = settings, name, transport, say, now
        self.store = Store(folder, files, space, say)
        self.core = cores.CustodyCore(
            name,
            life,
            settings,
            time.monotonic(),
            Random(life),
            self._snapshot,
            int(settings.room * room / 3),
        )
        self.read_body: Callable[[AcceptedMessage], bytes] = lambda message: message.body
        self.entries: Callable[[Callable[[], int]], tuple[int, list[Entry]]] = lambda number: (number(), [])
        self.peers: Callable[[], dict[str, tuple[int, tuple[str, int]]]] = dict
        self.on_acquired: Callable[[cores.Acquired], None] = lambda won: None
        self.on_lost: Callable[[cores.Lost], None] = lambda lost: None
        self.on_expired: Callable[[cores.Expired], None] = lambda expired: None
        self.counts: Counter[str] = Counter()
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._lock = threading.Lock()  # of what follows
        self._changed = threading.Condition(self._lock)
        self._last: dict[str, int] = {}  # the number of a book's last record in the journal
        self._order: dict[str, dict[str, int]] = {}  # of a book, each id's place
        self._leases: dict[str, float] = {}
        self._reached: dict[tuple[str, int], int] = {}
        self._usable: dict[int, str | None] = {}
        self._waits: list[Wait] = []
        self._asleep = time.monotonic()
        self._awake = time.monotonic()  # since when this thread has not stood still
        self._said_at = -LOG_S

    # What the sender asks

    def custody_for(self, name: str) -> Mark | None | bool:
        """What a message of a class is taken on under: None, nothing of the kind; False, it cannot be now."""
        wanted = self.settings.wanted(name)
        if not wanted:
            return None
        book = self._usable.get(wanted)
        if book is None or not self.acting(book):
            self.counts["turned away"] += 1
            return False
        return Mark(book, wanted)

    def acting(self, book: str) -> bool:
        """Whether this sender may act on a book at this moment."""
        return time.monotonic() < self._leases.get(book, 0.0)

    def wait_for_copies(self, marks: list[Mark], patience: timedelta) -> bool:
        """Wait until all that was written of these books is in enough copies; whether a relay may begin."""
        ends = time.monotonic() + patience.total_seconds()
        with self._changed:
            wanted = [(m.book, m.acks, self._last.get(m.book, 0)) for m in marks]
            while not all(
                self._reached.get((book, acks), -1) >= at and self.acting(book) for book, acks, at in wanted
            ):
                left = ends - time.monotonic()
                if left <= 0 or any(self._lapsed(book) for book, _, _ in wanted):
                    return False
                self._changed.wait(left)
        return all(self.acting(book) for book, _, _ in wanted)

    def _lapsed(self, book: str) -> bool:
        """Whether a book is no more to be acted on. One that was just won is about to be."""
        return book not in self._last or (book in self._leases and not self.acting(book))

    def notify_when_copied(
        self, mark: Mark, patience: timedelta, strict: bool, done: Callable[[bool], None]
    ) -> None:
        """Have `done` called once all written so far is in enough copies, or with False: it never will be.

        After `patience` it is over if `strict`; else the lease alone is enough from then on, since nobody
        else can own the book, and without a lease it is told in the end all the same.
        """
        with self._lock:
            self._waits.append(
                Wait(
                    mark.book,
                    self._last.get(mark.book, 0),
                    mark.acks,
                    time.monotonic() + patience.total_seconds(),
                    strict,
                    done,
                )
            )
        self._inbox.put(None)

    # What it tells

    def on_written(self, pairs: list[tuple[str, Record]]) -> None:
        """The journal has these records of books, under its lock."""
        with self._lock:
            found: dict[str, list[Record]] = {}
            for book, record in pairs:
                if book not in self._last and not self._begins(book):
                    continue  # it is another's by now
                found.setdefault(book, []).append(record)
                self._last[book] += 1
                if isinstance(record, AcceptedMessage):
                    self._order.setdefault(book, {})[record.ref] = self._last[book]
                elif over(record):
                    self._order.get(book, {}).pop(record.ref, None)
            for book, records in found.items():
                self._inbox.put(Wrote(book, records))

    def _begins(self, book: str) -> bool:
        if book not in self._leases:
            return False
        self._last[book] = 0
        return True

    def begin_adoption(self, won: cores.Acquired) -> None:
        """From here on what the journal writes of this book follows on what was won."""
        with self._lock:
            self._last[won.book] = won.last
            self._order[won.book] = {entry.message.ref: order for order, entry in won.entries}

    def adoption_written(self, won: cores.Acquired, refs: dict[str, datetime]) -> None:
        """All of it is in the journal."""
        self._inbox.put(lambda: self.core.adopted(time.monotonic(), won.book, refs))

    def decline_adoption(self, book: str) -> None:
        """It could not be put there."""
        self._inbox.put(lambda: self.core.declined(time.monotonic(), book))

    def discard(self, book: str, refs: list[str]) -> None:
        """These ids of a book need nobody any more; the journal has no records of them."""
        self.on_written([(book, MessageEnded(ref, "withdrawn")) for ref in refs])

    def closed_books(self) -> list[str]:
        """Books that this sender was a witness of and that nobody will ask for again; any thread."""
        box: queue.SimpleQueue[list[str]] = queue.SimpleQueue()

        def look() -> list[cores.Action]:
            box.put(self.core.register.over(time.monotonic()))
            return []

        self._inbox.put(look)
        return box.get()

    def forget(self, words: bytes) -> None:
        """Forget these books, as far as they are over here, too."""

        def take() -> list[cores.Action]:
            known = set(self.core.register.over(time.monotonic()))
            books = [book for book in words.decode("utf-8", "replace").split() if book in known]
            self.core.register.forget(books)
            self.store.forget(books)
            return []

        self._inbox.put(take)

    def configure(self, settings: ReplicaSettings, room: int) -> None:
        """Take other settings."""

        def take() -> list[cores.Action]:
            self.settings = self.core.settings = settings
            self.core.room = int(settings.room * room / 3)
            return []

        self._inbox.put(take)

    # Its thread

    def open(self, live: dict[str, Entry]) -> None:
        """Read what the folder has; entries of books that nobody knows are this journal's alone again."""
        self.store.open()
        owed: dict[str, dict[str, float]] = {}
        for ref, entry in live.items():
            mark = entry.message.custody
            if mark is not None and mark.book in self.store.books:
                left = (entry.message.ends_at - self.now()).total_seconds()
                owed.setdefault(mark.book, {})[ref] = left
        self.core.restore(self.store.terms.values(), self.store.copies.values(), self.store.books, owed)

    def is_of_former_process(self, mark: Mark | None) -> bool:
        """Whether a message stands in a book of a former process, which is not this one's yet."""
        return mark is not None and mark.book in self.store.books

    def post(self, message: wire.Message) -> None:
        """A frame has come; any thread."""
        self._inbox.put(message)

    def run(self) -> None:
        """Feed the core until the process ends."""
        due = 0.0
        while True:
            items = []
            try:
                items.append(self._inbox.get(timeout=max(0.0005, due - time.monotonic())))
                while len(items) < BATCH and not self._inbox.empty():
                    items.append(self._inbox.get())
            except queue.Empty:
                pass
            now = time.monotonic()
            if now - self._asleep > self.settings.lease.total_seconds() / 2:
                self._awake = now
            self._asleep = now
            actions: list[cores.Action] = []
            for item in items:
                actions += self._feed(item)
            if now >= due:
                actions += self._look(now)
                due = self.core.due()
            self._carry(actions)
            self._publish()
            if any(isinstance(item, threading.Event) for item in items):
                for item in items:
                    if isinstance(item, threading.Event):
                        item.set()

    def _feed(self, item) -> list[cores.Action]:
        now = time.monotonic()
        if isinstance(item, Wrote):
            opened = {r.ref: r.ends_at for r in item.records if isinstance(r, AcceptedMessage)}
            ended = [r.ref for r in item.records if over(r)]
            frames = tuple(
                frame(self._whole(r) if isinstance(r, AcceptedMessage) else r) for r in item.records
            )
            return self.core.wrote(now, item.book, frames, opened, ended)
        if isinstance(item, threading.Event):
            return self.core.release(now)
        if callable(item):
            return item()
        return [] if item is None else self.core.receive(now, self.now(), item)

    def _whole(self, message: AcceptedMessage) -> AcceptedMessage:
        """A message with its body, wherever that stands; without, if there is none any more."""
        if message.place is None and message.legacy_file is None:
            return message
        try:
            body = self.read_body(message)
        except (BodyLostError, OSError):
            return msgspec.structs.replace(message, place=None, legacy_file=None, unkept=True)
        return msgspec.structs.replace(message, body=body, place=None, legacy_file=None)

    def _look(self, now: float) -> list[cores.Action]:
        there = self.peers()
        self.transport.addresses = {name: address for name, (_, address) in there.items()}
        actions = self.core.members(now, {name: uid for name, (uid, _) in there.items()})
        return actions + self.core.tick(now, self.now())

    def _carry(self, actions: list[cores.Action]) -> None:
        """What is to be kept first, by one write; then what is said."""
        while actions:
            keeping = [
                a for a in actions if isinstance(a, cores.StoreTerm | cores.StoreCopy | cores.StoreBook)
            ]
            kept, more = not keeping or self.store.keep(keeping), []
            if not kept:
                self.counts["not kept"] += 1
                for action in keeping:
                    if isinstance(action, cores.StoreCopy) and action.copy is not None:
                        more += self.core.unkept(time.monotonic(), action.book)
            for action in actions:
                if isinstance(action, cores.Send):
                    if kept or not isinstance(action.message, WITNESS_OF):
                        self.transport.send(action.to, action.message)
                elif isinstance(action, cores.Say):
                    self.say(action.text)
                elif isinstance(action, cores.Acquired):
                    self.counts["taken over"] += 1
                    self.on_acquired(action)
                elif isinstance(action, cores.Lost):
                    self._lose(action)
                elif isinstance(action, cores.Expired):
                    self.counts["ended for others"] += len(action.entries) + len(action.refs)
                    self.on_expired(action)
            actions = more

    def _lose(self, lost: cores.Lost) -> None:
        with self._changed:
            self._last.pop(lost.book, None)
            self._order.pop(lost.book, None)
            self._leases.pop(lost.book, None)
            self._changed.notify_all()
        self.counts["lost"] += 1
        self.on_lost(lost)

    def _publish(self) -> None:
        """Let the others see how things are, and tell those who wait."""
        now, done = time.monotonic(), []
        asked = self.settings.asked()
        with self._changed:
            self._leases = {
                book: o.lease_until for book, o in self.core.owned.items() if o.stage is Stage.OWNED
            }
            wanted = asked | {wait.wanted for wait in self._waits}
            self._reached = {
                (book, w): self.core.reached(book, w) for book in self.core.owned for w in wanted
            }
            self._usable = {w: self.core.usable(w, now) for w in asked}
            waits, self._waits = self._waits, []
            for wait in waits:
                over_with = self._over_with(wait, now)
                if over_with is None:
                    self._waits.append(wait)
                else:
                    done.append((wait, over_with))
            self._changed.notify_all()
        for wait, ok in done:
            self.counts["promised" if ok else "not copied in time"] += 1
            if not ok and now - self._said_at > LOG_S:
                self._said_at = now
                self.say(f"{wait.book} found too few copies in time")
            wait.done(ok)

    def _over_with(self, wait: Wait, now: float) -> bool | None:
        """How a wait ends, if it does now."""
        if wait.book not in self._last:
            return False  # it is another's
        acting = now < self._leases.get(wait.book, 0.0)
        if acting and self._reached.get((wait.book, wait.wanted), -1) >= wait.at:
            return True
        if now < wait.by:
            return None
        if wait.strict:
            return False
        # Nobody hears this sender, nor has anybody told it that another has the book.
        span = 3 * self.settings.lease.total_seconds()
        return True if acting or (now - wait.by > span and now - self._awake > span) else None

    def _snapshot(self, book: str) -> tuple[int, list[tuple[int, Entry]]]:
        """A book as the journal has it."""
        orders: dict[str, int] = {}

        def number() -> int:
            with self._lock:
                orders.update(self._order.get(book, {}))
                return self._last.get(book, 0)

        last, found = self.entries(number)
        entries = []
        for entry in found:
            mark = entry.message.custody
            if mark is not None and mark.book == book and entry.message.ref in orders:
                if entry.ended is None:
                    entry = Entry(
                        self._whole(entry.message),
                        entry.message_record_size,
                        dict(entry.started),
                        dict(entry.failed),
                        entry.counted_relays,
                        entry.ended,
                    )
                entries.append((orders[entry.message.ref], entry))
        return last, sorted(entries, key=lambda pair: pair[0])

    def stop(self) -> None:
        """This sender acts no more: let others have what it holds."""
        told = threading.Event()
        self._inbox.put(told)
        told.wait(LAST_S)
        threading.Event().wait(LAST_S)

    def view(self) -> ReplicaView:
        """For who asks; any thread. What is read while it changes may be a moment apart."""
        box: queue.SimpleQueue[ReplicaView] = queue.SimpleQueue()

        def look() -> list[cores.Action]:
            box.put(self._view(time.monotonic()))
            return []

        self._inbox.put(look)
        return box.get(timeout=5.0)

    def _view(self, now: float) -> ReplicaView:
        most = max(self.settings.asked(), default=0)
        books = []
        for book, owned in self.core.owned.items():
            followers = [owned.followers[n] for n in owned.names() if n in owned.followers]
            books.append(
                BookView(
                    book,
                    owned.term,
                    owned.stage.value,
                    round(max(0.0, owned.lease_until - now), 3),
                    len(owned.open),
                    max(0, owned.last - self.core.reached(book, most)),
                    owned.config.witnesses,
                    tuple(
                        FollowerView(
                            f.name,
                            None if f.acked is None else owned.last - f.acked,
                            len(f.fill),
                            round(now - f.heard_at, 3),
                        )
                        for f in followers
                    ),
                )
            )
        copies = [
            CopyView(c.book, c.config.owner, c.term, len(c.live), c.size, c.sure, round(now - c.heard_at, 3))
            for c in self.core.copies.values()
        ]
        return ReplicaView(
            self.name,
            self.core.current,
            tuple(books),
            tuple(copies),
            len(self.core.register),
            {book: len(index.refs) for book, index in self.core.id_indexes.items()},
            dict(self.transport.traffic),
            dict(self.transport.seal.refused),
            dict(self.counts),
        )


def over(record: Record) -> bool:
    """Whether nothing is owed of a message behind this record."""
    return isinstance(record, NoticeAnswered) or (
        isinstance(record, MessageEnded) and not record.owes_notice()
    )
