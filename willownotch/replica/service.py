"""Runs custody in a sender: one thread feeds the core and publishes its state to the other threads.

The journal passes on the records that it has written, in order and under its lock. The decision loop and the
endpoint side ask which messages may be accepted and which calls made; they read plain values that the custody
thread publishes, so that only a thread that waits for copies is blocked.
"""

from __future__ import annotations

import queue
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path
from random import Random

import msgspec

from willownotch.bodies.store import BodyLostError
from willownotch.files.layer import Files
from willownotch.files.space import Space
from willownotch.journal.records import (
    AcceptedMessage,
    Custody,
    Entry,
    MessageEnded,
    NoticeAnswered,
    Record,
    frame,
)
from willownotch.links.transport import LinkKind, TcpTransport
from willownotch.replica import wire
from willownotch.replica.actions import (
    Acquired,
    Action,
    Expired,
    LateEntries,
    Lost,
    Report,
    Send,
    StoreCopy,
    Stored,
)
from willownotch.replica.books import Stage
from willownotch.replica.core import CustodyCore
from willownotch.replica.settings import ReplicaSettings
from willownotch.replica.store import Store

MAX_BATCH = 256  # inbox items handled before the results are stored and sent
STOP_WAIT_S = 0.2  # for the last messages of a sender that stops
LOG_INTERVAL_S = 10.0  # between two log lines about messages with too few copies
DURABLE_REPLIES = (wire.Granted, wire.Acked)  # sent only after the state behind them is stored

LINKS = LinkKind(
    "custody", wire.VERSION, wire.decode, lambda message: sum(map(len, getattr(message, "frames", ()))) + 200
)


class FollowerView(msgspec.Struct, frozen=True):
    """A replica of a book that this sender owns."""

    name: str
    lag: int | None  # records not acknowledged; None: its position is unknown
    filling: int  # parts of a fill still to be sent
    heard_s: float


class BookView(msgspec.Struct, frozen=True):
    """A book that this sender owns or claims."""

    book: str
    term: int
    stage: str
    lease_s: float
    messages: int
    below: int  # records with fewer copies than the class with the highest W requires
    witnesses: tuple[str, ...]
    replicas: tuple[FollowerView, ...]


class CopyView(msgspec.Struct, frozen=True):
    """A copy that this sender holds of another sender's book."""

    book: str
    owner: str
    term: int
    messages: int
    bytes: int
    sure: bool
    heard_s: float


class ReplicaView(msgspec.Struct, frozen=True):
    """The state of replication in this sender."""

    name: str
    current: str | None
    books: tuple[BookView, ...]
    copies: tuple[CopyView, ...]
    terms: int  # number of books that this sender is a witness of
    ids: dict[str, int]  # by book without a copy here: number of outstanding ids known
    traffic: dict[str, int]
    refused: dict[str, int]
    counts: dict[str, int]


@dataclass(slots=True)
class WrittenRecords:
    """Records of one book that the journal has written."""

    book: str
    records: list[Record]


@dataclass(slots=True)
class CopyWait:
    """A callback that waits until a record has enough copies."""

    book: str
    record: int
    acks: int
    deadline: float  # then the wait fails if `strict`, else the lease is enough
    strict: bool  # the wait fails at the deadline, with or without a lease
    callback: Callable[[bool], None]


class CustodyService:
    """Custody for one sender. Its caller starts a thread on `run`; the other methods may be called from any
    thread."""

    def __init__(
        self,
        settings: ReplicaSettings,
        name: str,
        uid: int,
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
        self.core = CustodyCore(
            name,
            uid,
            settings,
            time.monotonic(),
            Random(uid),
            self._snapshot,
            int(settings.room * room / 3),
        )
        self.read_body: Callable[[AcceptedMessage], bytes] = lambda message: message.body
        self.entries: Callable[[Callable[[], int]], tuple[int, list[Entry]]] = lambda number: (number(), [])
        self.peers: Callable[[], dict[str, tuple[int, tuple[str, int]]]] = dict
        self.on_acquired: Callable[[Acquired], None] = lambda acquired: None
        self.on_late_entries: Callable[[LateEntries], None] = lambda late: None
        self.on_lost: Callable[[Lost], None] = lambda lost: None
        self.on_expired: Callable[[Expired], None] = lambda expired: None
        self.counts: Counter[str] = Counter()
        self._disowned_books: frozenset[str] = frozenset()  # in the journal that a former process left
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._lock = threading.Lock()  # guards the fields below
        self._changed = threading.Condition(self._lock)
        self._last_records: dict[str, int] = {}  # by book, the number of its last record in the journal
        self._order: dict[str, dict[str, int]] = {}  # by book, each id's place in the order
        self._leases: dict[str, float] = {}
        self._copied_up_to: dict[tuple[str, int], int] = {}
        self._usable_books: dict[int, str | None] = {}
        self._waits: list[CopyWait] = []
        self._last_turn_at = time.monotonic()
        self._running_since = time.monotonic()  # end of the last pause of this thread
        self._logged_at = -LOG_INTERVAL_S

    # Queries from other threads

    def custody_for(self, name: str) -> Custody | None | bool:
        """Returns the custody for a new message of a class: None if the class is not replicated, False if
        there are too few replicas at this time."""
        wanted = self.settings.required_acks(name)
        if not wanted:
            return None
        book = self._usable_books.get(wanted)
        if book is None or not self.may_act(book):
            self.counts["turned away"] += 1
            return False
        return Custody(book, wanted)

    def may_act(self, book: str) -> bool:
        """Whether this sender holds the lease of a book at this time."""
        return time.monotonic() < self._leases.get(book, 0.0)

    def wait_for_copies(self, marks: list[Custody], patience: timedelta) -> bool:
        """Waits until all records written so far for these books have enough copies; returns whether a call
        may be made."""
        ends = time.monotonic() + patience.total_seconds()
        with self._changed:
            wanted = [(m.book, m.acks, self._last_records.get(m.book, 0)) for m in marks]
            while not all(
                self._copied_up_to.get((book, acks), -1) >= at and self.may_act(book)
                for book, acks, at in wanted
            ):
                left = ends - time.monotonic()
                if left <= 0 or any(self._lease_lapsed(book) for book, _, _ in wanted):
                    return False
                self._changed.wait(left)
        return all(self.may_act(book) for book, _, _ in wanted)

    def _lease_lapsed(self, book: str) -> bool:
        """Whether the lease of a book has lapsed. A book that was just acquired has no published lease
        yet."""
        return book not in self._last_records or (book in self._leases and not self.may_act(book))

    def notify_when_copied(
        self, mark: Custody, patience: timedelta, strict: bool, done: Callable[[bool], None]
    ) -> None:
        """Calls `done(True)` once all records written so far have enough copies, or `done(False)` if that
        failed.

        After `patience` the wait fails if `strict`. Otherwise the lease alone is enough from then on, since
        no other sender can own the book; without a lease, `done(True)` is called three lease
        durations later, unless another sender is found to own the book.
        """
        with self._lock:
            self._waits.append(
                CopyWait(
                    mark.book,
                    self._last_records.get(mark.book, 0),
                    mark.acks,
                    time.monotonic() + patience.total_seconds(),
                    strict,
                    done,
                )
            )
        self._inbox.put(None)

    # Events from other threads

    def on_written(self, pairs: list[tuple[str, Record]]) -> None:
        """Takes records, with their books, that the journal has written. The journal calls it under its
        lock."""
        with self._lock:
            found: dict[str, list[Record]] = {}
            for book, record in pairs:
                if book not in self._last_records and not self._begin_book(book):
                    continue  # another sender owns the book
                found.setdefault(book, []).append(record)
                self._last_records[book] += 1
                if isinstance(record, AcceptedMessage):
                    self._order.setdefault(book, {})[record.ref] = self._last_records[book]
                elif is_finished(record):
                    self._order.get(book, {}).pop(record.ref, None)
            for book, records in found.items():
                self._inbox.put(WrittenRecords(book, records))

    def _begin_book(self, book: str) -> bool:
        if book not in self._leases:
            return False
        self._last_records[book] = 0
        return True

    def begin_adoption(self, acquired: Acquired) -> None:
        """Numbers the journal's next records of this book after the acquired ones."""
        with self._lock:
            self._last_records[acquired.book] = acquired.last
            self._order[acquired.book] = {entry.message.ref: order for order, entry in acquired.entries}

    def adoption_written(self, acquired: Acquired, refs: dict[str, datetime]) -> None:
        """All entries of an acquired book are in the journal."""
        self._inbox.put(lambda: self.core.on_adopted(time.monotonic(), acquired.book, refs))

    def settle_late(self, book: str, refs: list[str]) -> None:
        """This sender has late messages already, or has ended them."""
        self._inbox.put(lambda: self.core.on_late_settled(time.monotonic(), book, refs))

    def decline_adoption(self, book: str) -> None:
        """The journal has no space for an acquired book."""
        self._inbox.put(lambda: self.core.on_adoption_declined(time.monotonic(), book))

    def discard(self, book: str, refs: list[str]) -> None:
        """Ends ids of a book that the journal has no records of."""
        self.on_written([(book, MessageEnded(ref, "withdrawn")) for ref in refs])

    def closed_books(self) -> list[str]:
        """Returns books that this sender was a witness of and that no member will claim again."""
        box: queue.SimpleQueue[list[str]] = queue.SimpleQueue()

        def look() -> list[Action]:
            box.put(self.core.register.finished_books(time.monotonic()))
            return []

        self._inbox.put(look)
        return box.get()

    def forget(self, names: bytes) -> None:
        """Drops the named books (separated by spaces) if they are finished here as well."""

        def take() -> list[Action]:
            known = set(self.core.register.finished_books(time.monotonic()))
            books = [book for book in names.decode("utf-8", "replace").split() if book in known]
            self.core.register.forget(books)
            self.store.forget(books)
            return []

        self._inbox.put(take)

    def configure(self, settings: ReplicaSettings, room: int) -> None:
        """Applies changed settings."""

        def take() -> list[Action]:
            self.settings = self.core.settings = settings
            self.core.max_copy_bytes = int(settings.room * room / 3)
            return []

        self._inbox.put(take)

    # The custody thread

    def open(self, live: dict[str, Entry], finished: Iterable[str]) -> None:
        """Restores the stored state. Entries of the journal (`live`) in unknown books are not replicated any
        more.

        A process that was killed may have written ends to the journal that it had not yet stored here, so the
        ids that the journal names as `finished` count as ended in former books of which members may still
        bring messages.
        """
        self.store.open()
        in_journal = {entry.message.custody.book for entry in live.values() if entry.message.custody}
        self.store.disowned_books &= in_journal
        self._disowned_books = frozenset(self.store.disowned_books)
        self._books_at_start = frozenset(self.store.books)
        outstanding: dict[str, dict[str, float]] = {}
        for ref, entry in live.items():
            mark = entry.message.custody
            if mark is not None and mark.book in self.store.books:
                left = (entry.message.ends_at - self.now()).total_seconds()
                outstanding.setdefault(mark.book, {})[ref] = left
                order = self._order.setdefault(mark.book, {})
                order[ref] = len(order) + 1
        ended = {
            book: {*self.store.ended.get(book, ()), *(finished if config.unheard else ())}
            for book, (config, _) in self.store.books.items()
        }
        self.core.restore(
            self.store.terms.values(), self.store.copies.values(), self.store.books, outstanding, ended
        )

    def is_of_former_process(self, mark: Custody | None) -> bool:
        """Whether a former process left a message in a book that had not been lost when this one began.

        Others may have taken it over since: this process learns that by an event, behind its start.
        """
        return mark is not None and mark.book in self._books_at_start

    def is_disowned(self, mark: Custody) -> bool:
        """Whether a message was left in the journal by a former process that did not own its book."""
        return mark.book in self._disowned_books

    def post(self, message: wire.Message) -> None:
        """Queues a received frame."""
        self._inbox.put(message)

    def run(self) -> None:
        """Feeds the core until the process ends."""
        due = 0.0
        while True:
            items = []
            try:
                items.append(self._inbox.get(timeout=max(0.0005, due - time.monotonic())))
                while len(items) < MAX_BATCH and not self._inbox.empty():
                    items.append(self._inbox.get())
            except queue.Empty:
                pass
            now = time.monotonic()
            if now - self._last_turn_at > self.settings.lease.total_seconds() / 2:
                self._running_since = now
            self._last_turn_at = now
            actions: list[Action] = []
            for item in items:
                actions += self._feed(item)
            if now >= due:
                actions += self._tick(now)
                due = self.core.next_tick_at()
            self._carry_out(actions)
            self._publish()
            if any(isinstance(item, threading.Event) for item in items):
                for item in items:
                    if isinstance(item, threading.Event):
                        item.set()

    def _feed(self, item) -> list[Action]:
        now = time.monotonic()
        if isinstance(item, WrittenRecords):
            opened = {r.ref: r.ends_at for r in item.records if isinstance(r, AcceptedMessage)}
            ended = [r.ref for r in item.records if is_finished(r)]
            frames = tuple(
                frame(self._with_body(r) if isinstance(r, AcceptedMessage) else r) for r in item.records
            )
            return self.core.on_written(now, item.book, frames, opened, ended)
        if isinstance(item, threading.Event):
            return self.core.release(now)
        if callable(item):
            return item()
        return [] if item is None else self.core.receive(now, self.now(), item)

    def _with_body(self, message: AcceptedMessage) -> AcceptedMessage:
        """Returns a message with its body read in, or marked `unkept` if the body is lost."""
        if message.place is None and message.legacy_file is None:
            return message
        try:
            body = self.read_body(message)
        except (BodyLostError, OSError):
            return msgspec.structs.replace(message, place=None, legacy_file=None, unkept=True)
        return msgspec.structs.replace(message, body=body, place=None, legacy_file=None)

    def _tick(self, now: float) -> list[Action]:
        there = self.peers()
        self.transport.addresses = {name: address for name, (_, address) in there.items()}
        actions = self.core.members(now, {name: uid for name, (uid, _) in there.items()})
        return actions + self.core.tick(now, self.now())

    def _carry_out(self, actions: list[Action]) -> None:
        """Stores the changes in one write first, then carries out the other actions."""
        while actions:
            keeping = [a for a in actions if isinstance(a, Stored)]
            kept, more = not keeping or self.store.write(keeping), []
            if not kept:
                self.counts["not kept"] += 1
                for action in keeping:
                    if isinstance(action, StoreCopy) and action.copy is not None:
                        more += self.core.on_copy_not_stored(time.monotonic(), action.book)
            for action in actions:
                if isinstance(action, Send):
                    if kept or not isinstance(action.message, DURABLE_REPLIES):
                        self.transport.send(action.to, action.message)
                elif isinstance(action, Report):
                    self.say(action.text)
                elif isinstance(action, Acquired) and not kept:
                    more += self.core.on_adoption_declined(time.monotonic(), action.book)
                elif isinstance(action, Acquired):
                    self.counts["taken over"] += 1
                    self.on_acquired(action)
                elif isinstance(action, LateEntries):
                    self.counts["late"] += len(action.entries)
                    self.on_late_entries(action)
                elif isinstance(action, Lost):
                    self._lose(action)
                elif isinstance(action, Expired):
                    self.counts["ended for others"] += len(action.entries) + len(action.refs)
                    self.on_expired(action)
            actions = more

    def _lose(self, lost: Lost) -> None:
        with self._changed:
            self._last_records.pop(lost.book, None)
            self._order.pop(lost.book, None)
            self._leases.pop(lost.book, None)
            self._changed.notify_all()
        self.counts["lost"] += 1
        self.on_lost(lost)

    def _publish(self) -> None:
        """Publishes the state to other threads, and finishes the waits that are due."""
        now, done = time.monotonic(), []
        asked = self.settings.ack_levels()
        with self._changed:
            self._leases = {
                book: o.lease_until for book, o in self.core.owned.items() if o.stage is Stage.OWNED
            }
            wanted = asked | {wait.acks for wait in self._waits}
            self._copied_up_to = {
                (book, w): self.core.copied_up_to(book, w) for book in self.core.owned for w in wanted
            }
            self._usable_books = {w: self.core.usable_book(w, now) for w in asked}
            waits, self._waits = self._waits, []
            for wait in waits:
                result = self._wait_result(wait, now)
                if result is None:
                    self._waits.append(wait)
                else:
                    done.append((wait, result))
            self._changed.notify_all()
        for wait, ok in done:
            self.counts["promised" if ok else "not copied in time"] += 1
            if not ok and now - self._logged_at > LOG_INTERVAL_S:
                self._logged_at = now
                self.say(f"{wait.book} got too few copies in time")
            wait.callback(ok)

    def _wait_result(self, wait: CopyWait, now: float) -> bool | None:
        """Returns the result of a wait, or None if it goes on."""
        if wait.book not in self._last_records:
            return False  # another sender owns the book
        may_act = now < self._leases.get(wait.book, 0.0)
        if may_act and self._copied_up_to.get((wait.book, wait.acks), -1) >= wait.record:
            return True
        if now < wait.deadline:
            return None
        if wait.strict:
            return False
        # Cut off from the other members; none of them has reported another owner.
        span = 3 * self.settings.lease.total_seconds()
        return True if may_act or (now - wait.deadline > span and now - self._running_since > span) else None

    def _snapshot(self, book: str) -> tuple[int, list[tuple[int, Entry]]]:
        """Returns the number of a book's last record, and its entries, as the journal has them."""
        orders: dict[str, int] = {}

        def number() -> int:
            with self._lock:
                orders.update(self._order.get(book, {}))
                return self._last_records.get(book, 0)

        last, found = self.entries(number)
        entries = []
        for entry in found:
            mark = entry.message.custody
            if mark is not None and mark.book == book and entry.message.ref in orders:
                if entry.ended is None:
                    entry = Entry(
                        self._with_body(entry.message),
                        entry.message_record_size,
                        dict(entry.started),
                        dict(entry.failed),
                        entry.counted_relays,
                        entry.ended,
                    )
                entries.append((orders[entry.message.ref], entry))
        last = max([last, *orders.values()])  # a former process's records are not counted
        return last, sorted(entries, key=lambda pair: pair[0])

    def stop(self) -> None:
        """Releases the leases, so that other senders can take over the books, and waits for the messages to
        go out."""
        told = threading.Event()
        self._inbox.put(told)
        told.wait(STOP_WAIT_S)
        threading.Event().wait(STOP_WAIT_S)

    def view(self) -> ReplicaView:
        """Returns the state for operators, as read by the custody thread."""
        box: queue.SimpleQueue[ReplicaView] = queue.SimpleQueue()

        def look() -> list[Action]:
            box.put(self._view(time.monotonic()))
            return []

        self._inbox.put(look)
        return box.get(timeout=5.0)

    def _view(self, now: float) -> ReplicaView:
        most = max(self.settings.ack_levels(), default=0)
        books = []
        for book, owned in self.core.owned.items():
            followers = [owned.followers[n] for n in owned.replica_names() if n in owned.followers]
            books.append(
                BookView(
                    book,
                    owned.term,
                    owned.stage.value,
                    round(max(0.0, owned.lease_until - now), 3),
                    len(owned.open),
                    max(0, owned.last - self.core.copied_up_to(book, most)),
                    owned.config.witnesses,
                    tuple(
                        FollowerView(
                            f.name,
                            None if f.acked is None else owned.last - f.acked,
                            len(f.pending_fill),
                            round(now - f.heard_at, 3),
                        )
                        for f in followers
                    ),
                )
            )
        copies = [
            CopyView(
                c.book, c.config.owner, c.term, len(c.live), c.size, c.confirmed, round(now - c.heard_at, 3)
            )
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


def is_finished(record: Record) -> bool:
    """Whether nothing remains to be done for a message after this record."""
    return isinstance(record, NoticeAnswered) or (
        isinstance(record, MessageEnded) and not record.owes_notice()
    )
