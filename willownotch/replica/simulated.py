"""Senders with custody in simulated time, beside the truth: a stand-in for tests and rigs.

The cores are the real ones. Journals, disks, membership and the network are played here: who is dead, stalled
or cut off is held for gone by the others after `detect` seconds. The same seed gives the same story.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from random import Random

import msgspec

from willownotch.journal.records import (
    AcceptedMessage,
    Custody,
    Entry,
    MessageEnded,
    Record,
    RelayFailed,
    RelayStarted,
    apply,
    frame,
)
from willownotch.replica import core as cores
from willownotch.replica import wire
from willownotch.replica.copies import Copy
from willownotch.replica.settings import ReplicaSettings
from willownotch.replica.terms import Term
from willownotch.replica.wire import BookConfig

BEGAN = datetime(2026, 1, 1, tzinfo=UTC)
DETECT_S = 1.0


@dataclass
class Disk:
    """What outlasts a process."""

    terms: dict[str, Term] = field(default_factory=dict)
    copies: dict[str, bytes] = field(default_factory=dict)  # as they are encoded
    books: dict[str, tuple[BookConfig, int]] = field(default_factory=dict)
    live: dict[str, Entry] = field(default_factory=dict)
    order: dict[str, int] = field(default_factory=dict)


@dataclass
class Try:
    """A call that waits for its mark to be copied."""

    ref: str
    number: int
    at: int  # its record
    book: str


class Sender:
    """One process: a core, a journal, and what a sender does with them."""

    def __init__(self, fleet: Fleet, name: str, life: int, disk: Disk) -> None:
        self.fleet, self.name, self.life, self.disk = fleet, name, life, disk
        self.core = cores.CustodyCore(
            name, life, fleet.settings, fleet.now, Random(fleet.random.getrandbits(64)), self.snapshot
        )
        self.last: dict[str, int] = {}
        self.waiting: dict[str, tuple[str, int]] = {}  # ids whose clients wait: book, record
        self.tries: list[Try] = []
        self.ends: dict[str, tuple[str, int]] = {}  # ids whose notice waits
        self.stalled = False
        self.held: list[wire.Message] = []  # came while it was stalled
        self.lost: list[str] = []
        owed: dict[str, dict[str, float]] = {}
        for ref, entry in disk.live.items():
            left = (entry.message.ends_at - fleet.wall(name)).total_seconds()
            owed.setdefault(entry.message.custody.book, {})[ref] = left
        kept = [read_copy(data) for data in disk.copies.values()]
        self.core.restore(disk.terms.values(), kept, disk.books, owed)

    def mine(self, ref: str) -> bool:
        """Whether it may act on a message now."""
        entry = self.disk.live.get(ref)
        return entry is not None and self.core.leased(entry.message.custody.book, self.fleet.now)

    def snapshot(self, book: str) -> tuple[int, list[tuple[int, Entry]]]:
        """A book as the journal has it."""
        found = [
            (self.disk.order[ref], entry)
            for ref, entry in self.disk.live.items()
            if entry.message.custody.book == book
        ]
        return self.last.get(book, 0), sorted(found, key=lambda pair: pair[0])

    def write(self, book: str, records: list[Record]) -> int:
        """Put records of one book into the journal, and have them copied; the last one's number."""
        opened, over = {}, []
        for record in records:
            self.last[book] = self.last.get(book, 0) + 1
            if isinstance(record, AcceptedMessage):
                opened[record.ref] = record.ends_at
                self.disk.order[record.ref] = self.last[book]
            apply(self.disk.live, record)
            if isinstance(record, MessageEnded) and record.ref not in self.disk.live:
                self.disk.order.pop(record.ref, None)
                over.append(record.ref)
        self.carry(self.core.wrote(self.fleet.now, book, tuple(map(frame, records)), opened, over))
        return self.last[book]

    def accept(self, ref: str, wanted: int, span: float = 20.0) -> bool:
        """A client hands a message in; whether it is under way to be taken on."""
        book = self.core.usable(wanted, self.fleet.now)
        if book is None or ref in self.disk.live:
            return False
        taken = AcceptedMessage(
            ref,
            7,
            "fee",
            "acme",
            self.fleet.wall(self.name) + timedelta(seconds=span),
            "k",
            body=b"body of " + ref.encode(),
            custody=Custody(book, wanted),
        )
        self.waiting[ref] = book, self.write(book, [taken])
        return True

    def begin_call(self, ref: str) -> None:
        """Mark a call, and make it once the mark is copied."""
        entry = self.disk.live.get(ref)
        if entry is None or ref in self.waiting or entry.ended is not None or not self.mine(ref):
            return
        if any(entry.may_have_run(n) for n in range(entry.count())):
            return  # of a class that must not run twice
        number, book = entry.count(), entry.message.custody.book
        at = self.write(book, [RelayStarted(ref, number, self.fleet.wall(self.name), "h")])
        self.tries.append(Try(ref, number, at, book))

    def give_up(self, ref: str) -> None:
        """End a message by a notice, told once the end is copied."""
        entry = self.disk.live.get(ref)
        if entry is not None and entry.ended is None and self.mine(ref) and ref not in self.waiting:
            book = entry.message.custody.book
            self.ends[ref] = book, self.write(book, [MessageEnded(ref, "given_up")])

    def settle(self) -> None:
        """What waited for copies and has them."""
        now = self.fleet.now
        for ref, (book, at) in list(self.waiting.items()):
            entry = self.disk.live.get(ref)
            if (
                entry is not None
                and self.core.leased(book, now)
                and (self.core.reached(book, entry.message.custody.acks) >= at)
            ):
                self.fleet.promised[ref] = self.name
                del self.waiting[ref]
        for one in list(self.tries):
            entry = self.disk.live.get(one.ref)
            if entry is None:
                self.tries.remove(one)
            elif self.core.leased(one.book, now) and (
                self.core.reached(one.book, entry.message.custody.acks) >= one.at
            ):
                self.tries.remove(one)
                self.fleet.calls.setdefault(one.ref, []).append((self.name, now))
                self.write(one.book, [RelayFailed(one.ref, one.number, True)])
                self.write(one.book, [MessageEnded(one.ref, "delivered")])
        for ref, (book, at) in list(self.ends.items()):
            entry = self.disk.live.get(ref)
            wanted = entry.message.custody.acks if entry is not None else 1
            if self.core.leased(book, now) and self.core.reached(book, wanted) >= at:
                del self.ends[ref]
                self.fleet.told.setdefault(ref, []).append(self.name)
                if entry is not None:
                    self.write(book, [MessageEnded(ref, "withdrawn")])  # its notice was answered

    def carry(self, actions: list[cores.Action]) -> None:
        """Carry actions out, in their order."""
        for action in actions:
            if isinstance(action, cores.Send):
                self.fleet.post(self.name, action.to, action.message)
            elif isinstance(action, cores.StoreTerm):
                self.disk.terms[action.term.book] = action.term
            elif isinstance(action, cores.StoreCopy):
                if action.copy is None:
                    self.disk.copies.pop(action.book, None)
                elif self.fleet.durable:
                    self.disk.copies[action.book] = write_copy(action.copy)
            elif isinstance(action, cores.StoreBook):
                self.disk.books.pop(action.book, None)
                if action.config is not None:
                    self.disk.books[action.book] = action.config, action.term
            elif isinstance(action, cores.Acquired):
                self._won(action)
            elif isinstance(action, cores.Lost):
                self.lost.append(action.book)
                self._forget(action.book)
            elif isinstance(action, cores.Expired):
                for ref in [*(e.message.ref for e in action.entries), *action.refs]:
                    self.fleet.expired.setdefault(ref, []).append(self.name)

    def _forget(self, book: str) -> None:
        for ref in [ref for ref, e in self.disk.live.items() if e.message.custody.book == book]:
            del self.disk.live[ref]
            self.disk.order.pop(ref, None)
            self.waiting.pop(ref, None)
        self.tries = [one for one in self.tries if one.book != book]
        self.ends = {ref: end for ref, end in self.ends.items() if end[0] != book}

    def _won(self, won: cores.Acquired) -> None:
        self.fleet.holders.setdefault((won.book, won.term), []).append(self.name)
        self._forget(won.book)
        self.last[won.book] = won.last
        for order, entry in won.entries:
            ref = entry.message.ref
            if not won.is_complete(entry.message.custody.acks) and entry.ended is None:
                entry.started[entry.count()] = RelayStarted(
                    ref, entry.count(), self.fleet.wall(self.name), "?"
                )
            self.disk.live[ref], self.disk.order[ref] = entry, order
            if entry.ended is not None:
                self.ends[ref] = won.book, won.last
        self.fleet.adopted[won.book] = (won.term, [e.message.ref for _, e in won.entries])
        refs = {e.message.ref: e.message.ends_at for _, e in won.entries}
        self.carry(self.core.adopted(self.fleet.now, won.book, refs))


def write_copy(copy: Copy) -> bytes:
    """A copy as its file would have it."""
    return msgspec.msgpack.encode(
        [
            copy.book,
            copy.config,
            copy.term,
            copy.position,
            [[order, b"".join(map(frame, entry.records()))] for order, entry in copy.entries()],
        ]
    )


def read_copy(data: bytes) -> Copy:
    """And back."""
    book, config, term, position, entries = msgspec.msgpack.decode(data)
    copy = Copy(book, msgspec.convert(config, BookConfig), term, tuple(position))
    copy.put(entries)
    return copy


class Fleet:
    """All senders, the network between them, and what really happened."""

    def __init__(
        self,
        seed: int,
        names: list[str],
        settings: ReplicaSettings,
        detect: float = DETECT_S,
        durable: bool = True,
    ) -> None:
        self.random, self.settings, self.detect, self.durable = Random(seed), settings, detect, durable
        self.now, self._count, self._lives = 0.0, 0, 0
        self.delay, self.loss = 0.002, 0.0
        self.cut: Callable[[str, str], bool] = lambda source, target: False
        self.around: Callable[[str, str], bool] = lambda observer, name: False  # known by way of others
        self.senders: dict[str, Sender] = {}
        self.disks: dict[str, Disk] = {}
        self.skew: dict[str, float] = {}  # s that a member's time of day is off
        self.promised: dict[str, str] = {}
        self.calls: dict[str, list[tuple[str, float]]] = {}
        self.told: dict[str, list[str]] = {}
        self.expired: dict[str, list[str]] = {}
        self.holders: dict[tuple[str, int], list[str]] = {}
        self.adopted: dict[str, tuple[int, list[str]]] = {}
        self.bytes: dict[str, int] = {}  # sent, by kind of frame
        self._queue: list[tuple[float, int, str, wire.Message]] = []
        self._gone_at: dict[tuple[str, str], float] = {}  # observer, member
        self._known: tuple = ()  # what `_there` goes by, when it last changed
        self._known_at = 0.0
        for name in names:
            self.start(name)

    def wall(self, name: str) -> datetime:
        """A member's time of day."""
        return BEGAN + timedelta(seconds=self.now + self.skew.get(name, 0.0))

    def start(self, name: str) -> Sender:
        """Start a process; its disk is the one that is there, or a new one."""
        self._lives += 1
        sender = self.senders[name] = Sender(self, name, self._lives, self.disks.setdefault(name, Disk()))
        return sender

    def kill(self, name: str, disk: bool = False) -> None:
        """SIGKILL; with its disk, if so."""
        self.senders.pop(name, None)
        if disk:
            self.disks.pop(name, None)

    def stall(self, name: str, stalled: bool = True) -> None:
        """SIGSTOP, and SIGCONT."""
        sender = self.senders[name]
        sender.stalled = stalled
        if not stalled:
            held, sender.held = sender.held, []
            for message in held:
                sender.carry(sender.core.receive(self.now, self.wall(name), message))

    def post(self, source: str, target: str, message: wire.Message) -> None:
        """Send a frame."""
        kind = type(message).__name__
        self.bytes[kind] = self.bytes.get(kind, 0) + len(wire.encode(message))
        if self.cut(source, target) or self.random.random() < self.loss:
            return
        self._count += 1
        at = self.now + self.delay * self.random.uniform(0.5, 1.5)
        heapq.heappush(self._queue, (at, self._count, target, message))

    def _there(self, observer: str) -> dict[str, int]:
        found = {}
        for name, sender in self.senders.items():
            if name == observer:
                continue
            heard = not sender.stalled and (
                self.around(observer, name) or not (self.cut(name, observer) or self.cut(observer, name))
            )
            if heard:
                self._gone_at.pop((observer, name), None)
            gone_at = self._gone_at.setdefault((observer, name), self.now) if not heard else self.now
            if self.now - gone_at < self.detect:
                found[name] = sender.life
        return found

    def run(self, span: float, step: float = 0.05) -> None:
        """Let time pass."""
        ends = self.now + span
        while self.now < ends - 1e-9:
            until = min(ends, self.now + step)
            while self._queue and self._queue[0][0] <= until:
                at, _, target, message = heapq.heappop(self._queue)
                self.now = max(self.now, at)
                sender = self.senders.get(target)
                if sender is None:
                    continue
                if sender.stalled:
                    sender.held.append(message)
                    continue
                sender.carry(sender.core.receive(self.now, self.wall(target), message))
            self.now = until
            known = self.cut, self.around, [(name, s.life, s.stalled) for name, s in self.senders.items()]
            if known != self._known:
                self._known, self._known_at = known, self.now
            news = self.now - self._known_at <= self.detect + 2 * step
            for name, sender in list(self.senders.items()):
                if not sender.stalled:
                    if news:
                        sender.carry(sender.core.members(self.now, self._there(name)))
                    sender.carry(sender.core.tick(self.now, self.wall(name)))
                    sender.settle()

    def until(self, condition: Callable[[], bool], most: float = 30.0) -> float:
        """Run until a condition holds; the time it took, or `AssertionError`."""
        began = self.now
        while not condition():
            if self.now - began > most:
                raise AssertionError(f"not within {most} s of simulated time")
            self.run(0.05)
        return self.now - began

    def ready(self, wanted: int) -> bool:
        """Whether every running sender can take messages on."""
        return all(s.core.usable(wanted, self.now) for s in self.senders.values() if not s.stalled)

    def holds(self, ref: str) -> list[str]:
        """Senders that own the message's book and have it in their journals."""
        return [n for n, s in self.senders.items() if not s.stalled and s.mine(ref)]
