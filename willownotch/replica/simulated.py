"""Simulates senders with custody for tests and benchmarks, and records what really happened to messages.

The cores are the real ones; journals, disks, membership and the network are simulated. Members count as gone
`detect` seconds after they died, stalled or were cut off. A run is determined by its seed.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Container, Iterable
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
from willownotch.replica import wire
from willownotch.replica.actions import (
    Acquired,
    Action,
    Expired,
    LateEntries,
    Lost,
    Send,
    StoreBook,
    StoreCopy,
    StoreEnded,
    StoreTerm,
)
from willownotch.replica.copies import Copy
from willownotch.replica.core import CustodyCore
from willownotch.replica.settings import ReplicaSettings
from willownotch.replica.terms import Term
from willownotch.replica.wire import BookConfig

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
DETECT_S = 1.0


@dataclass
class Disk:
    """State that survives the process, and when writes to it fail.

    Writes of the journal are numbered from 1. Those in `refused_writes` fail, and all before `refuses_until`.
    """

    terms: dict[str, Term] = field(default_factory=dict)
    copies: dict[str, bytes] = field(default_factory=dict)  # encoded
    books: dict[str, tuple[BookConfig, int]] = field(default_factory=dict)
    ended: dict[str, set[str]] = field(default_factory=dict)  # by book
    live: dict[str, Entry] = field(default_factory=dict)
    order: dict[str, int] = field(default_factory=dict)
    write_count: int = 0
    refused_writes: Container[int] = ()
    refuses_until: float = 0.0

    def accepts_write(self, now: float) -> bool:
        """Counts a write; returns whether it succeeds."""
        self.write_count += 1
        return now >= self.refuses_until and self.write_count not in self.refused_writes


@dataclass
class FinalRecord:
    """The last record of a message: it was delivered, or its notice was answered."""

    ref: str
    book: str
    at: int  # its number
    acks: int


@dataclass
class PendingCall:
    """A call that waits until the record of its start is copied."""

    ref: str
    number: int
    at: int  # number of the record of its start
    book: str


class Sender:
    """One sender process: a core, a journal, and the calls it makes."""

    def __init__(self, fleet: Fleet, name: str, uid: int, disk: Disk) -> None:
        self.fleet, self.name, self.uid, self.disk = fleet, name, uid, disk
        self.core = CustodyCore(
            name, uid, fleet.settings, fleet.now, Random(fleet.random.getrandbits(64)), self.snapshot
        )
        self.last: dict[str, int] = {}
        self.waiting: dict[str, tuple[str, int]] = {}  # ids whose clients wait for a 202: book, record
        self.pending_calls: list[PendingCall] = []
        self.pending_ends: dict[str, tuple[str, int]] = {}  # ids whose notices wait for copies: book, record
        self.stalled = False
        self.stalled_messages: list[wire.Message] = []  # received while stalled
        self.final_records: list[FinalRecord] = []  # that do not have their copies yet
        self.expiring: set[str] = set()  # ids in `pending_ends` of which only the id was known
        self.lost: list[str] = []
        self.unwritten: list[tuple[str, list[Record]]] = []  # refused by the disk, with their books
        outstanding: dict[str, dict[str, float]] = {}
        for ref, entry in disk.live.items():
            left = (entry.message.ends_at - fleet.wall(name)).total_seconds()
            outstanding.setdefault(entry.message.custody.book, {})[ref] = left
        kept = [read_copy(data) for data in disk.copies.values()]
        self.core.restore(disk.terms.values(), kept, disk.books, outstanding, disk.ended)

    def may_act(self, ref: str) -> bool:
        """Whether this sender may act on a message now."""
        entry = self.disk.live.get(ref)
        return entry is not None and self.core.leased(entry.message.custody.book, self.fleet.now)

    def snapshot(self, book: str) -> tuple[int, list[tuple[int, Entry]]]:
        """Returns the number of a book's last record, and its entries, as the journal has them."""
        found = [
            (self.disk.order[ref], entry)
            for ref, entry in self.disk.live.items()
            if entry.message.custody.book == book
        ]
        last = max([self.last.get(book, 0), *(order for order, _ in found)])
        return last, sorted(found, key=lambda pair: pair[0])

    def write(self, book: str, records: list[Record]) -> int | None:
        """Writes records of one book to the journal; returns the last one's number, None if it is refused."""
        if not self.write_kept() or not self.disk.accepts_write(self.fleet.now):
            return None
        return self.apply_written(book, records)

    def write_or_keep(self, book: str, records: list[Record]) -> bool:
        """Writes records, or keeps them until the disk accepts writes again; returns whether it did."""
        if self.write(book, records) is not None:
            return True
        self.unwritten.append((book, records))
        return False

    def write_kept(self) -> bool:
        """Writes the records that were refused before; returns whether none is left."""
        if not self.unwritten:
            return True
        if not self.disk.accepts_write(self.fleet.now):
            return False
        kept, self.unwritten = self.unwritten, []
        for book, records in kept:
            at = self.apply_written(book, records)
            refs = {record.ref for record in records}
            self.pending_ends.update({ref: (book, at) for ref in refs & self.pending_ends.keys()})
            for final in self.final_records:
                final.at = at if final.ref in refs else final.at
        return True

    def _drop_kept(self, refs: Container[str]) -> None:
        """Drops records of messages that the disk refused."""
        self.unwritten = [
            (book, left)
            for book, records in self.unwritten
            if (left := [record for record in records if record.ref not in refs])
        ]

    def _is_kept(self, ref: str) -> bool:
        """Whether a record of a message waits for the disk."""
        return any(record.ref == ref for _, records in self.unwritten for record in records)

    def apply_written(self, book: str, records: list[Record]) -> int:
        """Applies records that are in the journal and replicates them; returns the last one's number."""
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
        self.carry_out(self.core.on_written(self.fleet.now, book, tuple(map(frame, records)), opened, over))
        return self.last[book]

    def accept(self, ref: str, wanted: int, span: float = 20.0) -> bool:
        """Takes a message from a client; returns False if it is rejected at once."""
        book = self.core.usable_book(wanted, self.fleet.now)
        if book is None or ref in self.disk.live:
            return False
        message = AcceptedMessage(
            ref,
            7,
            "fee",
            "acme",
            self.fleet.wall(self.name) + timedelta(seconds=span),
            "k",
            body=b"body of " + ref.encode(),
            custody=Custody(book, wanted),
        )
        at = self.write(book, [message])
        if at is None:
            return False
        self.waiting[ref] = book, at
        return True

    def begin_call(self, ref: str) -> None:
        """Records the start of a call, and makes the call once the record is copied."""
        entry = self.disk.live.get(ref)
        if entry is None or ref in self.waiting or entry.ended is not None or not self.may_act(ref):
            return
        if any(entry.may_have_run(n) for n in range(entry.count())):
            return  # its class must not run twice
        number, book = entry.count(), entry.message.custody.book
        at = self.write(book, [RelayStarted(ref, number, self.fleet.wall(self.name), "h")])
        if at is not None:
            self.pending_calls.append(PendingCall(ref, number, at, book))

    def give_up(self, ref: str) -> None:
        """Ends a message; its notice is sent once the end is copied."""
        entry = self.disk.live.get(ref)
        if entry is None or entry.ended is not None or not self.may_act(ref) or ref in self.waiting:
            return
        if not self._is_kept(ref):
            book = entry.message.custody.book
            self._end(book, [self._new_end(ref)])

    def _end(self, book: str, records: list[Record]) -> None:
        """Writes the end of a message; its notice waits for the disk, and for copies of the last record."""
        self.write_or_keep(book, records)
        self.pending_ends[records[-1].ref] = book, self.last.get(book, 0)

    def _new_end(self, ref: str) -> MessageEnded:
        """Returns the record of a new end, with a number by which it is known wherever it is reported."""
        self.fleet.end_count += 1
        return MessageEnded(ref, "given_up", self.fleet.end_count)

    def _write_final(self, book: str, ended: MessageEnded, acks: int) -> None:
        self.write_or_keep(book, [ended])
        self.final_records.append(FinalRecord(ended.ref, book, self.last.get(book, 0), acks))

    def _settle_copied(self) -> None:
        """Counts messages as settled whose final records have their copies."""
        waiting = []
        for final in self.final_records:
            if self._is_kept(final.ref):
                waiting.append(final)
            elif self.core.copied_up_to(final.book, final.acks) >= final.at:
                self.fleet.settled.add(final.ref)
            elif final.book in self.core.owned:
                waiting.append(final)
        self.final_records = waiting

    def finish_copied(self) -> None:
        """Finishes promises, calls and notices that waited for copies and have them."""
        now = self.fleet.now
        self.write_kept()
        for ref, (book, at) in list(self.waiting.items()):
            entry = self.disk.live.get(ref)
            if (
                entry is not None
                and self.core.leased(book, now)
                and (self.core.copied_up_to(book, entry.message.custody.acks) >= at)
            ):
                self.fleet.promised[ref] = self.name
                del self.waiting[ref]
        for call in list(self.pending_calls):
            entry = self.disk.live.get(call.ref)
            if entry is None:
                self.pending_calls.remove(call)
            elif self.core.leased(call.book, now) and (
                self.core.copied_up_to(call.book, entry.message.custody.acks) >= call.at
            ):
                self.pending_calls.remove(call)
                self.fleet.calls.setdefault(call.ref, []).append((self.name, now))
                self.write_or_keep(call.book, [RelayFailed(call.ref, call.number, True)])
                acks = entry.message.custody.acks
                self._write_final(call.book, MessageEnded(call.ref, "delivered"), acks)
        for ref, (book, at) in list(self.pending_ends.items()):
            entry = self.disk.live.get(ref)
            wanted = entry.message.custody.acks if entry is not None else 1
            if (
                not self._is_kept(ref)
                and self.core.leased(book, now)
                and self.core.copied_up_to(book, wanted) >= at
            ):
                del self.pending_ends[ref]
                told = self.fleet.expired if ref in self.expiring else self.fleet.told
                told.setdefault(ref, []).append(self.name)
                self.expiring.discard(ref)
                if entry is not None:
                    self.fleet.note_end(ref, entry.ended.retry_in_ms)
                    self._write_final(book, MessageEnded(ref, "withdrawn"), wanted)  # its notice was answered
        self._settle_copied()

    def carry_out(self, actions: list[Action]) -> None:
        """Carries out actions in order."""
        for action in actions:
            if isinstance(action, Send):
                self.fleet.post(self.name, action.to, action.message)
            elif isinstance(action, StoreTerm):
                self.disk.terms[action.term.book] = action.term
            elif isinstance(action, StoreCopy):
                if action.copy is None:
                    self.disk.copies.pop(action.book, None)
                elif self.fleet.durable:
                    self.disk.copies[action.book] = write_copy(action.copy)
            elif isinstance(action, StoreBook):
                self.disk.books.pop(action.book, None)
                if action.config is not None:
                    self.disk.books[action.book] = action.config, action.term
                else:
                    self.disk.ended.pop(action.book, None)
            elif isinstance(action, StoreEnded):
                self.disk.ended.setdefault(action.book, set()).update(action.refs)
            elif isinstance(action, Acquired):
                self._acquire(action)
            elif isinstance(action, LateEntries):
                self._take_in_late(action)
            elif isinstance(action, Lost):
                self.lost.append(action.book)
                self._forget(action.book)
            elif isinstance(action, Expired) and action.acks:
                self._end_expired_ids(action)
            elif isinstance(action, Expired):
                for ref in [*(e.message.ref for e in action.entries), *action.refs]:
                    self.fleet.expired.setdefault(ref, []).append(self.name)
                    self.fleet.note_end(ref, self._new_end(ref).retry_in_ms)

    def _forget(self, book: str) -> None:
        for ref in [ref for ref, e in self.disk.live.items() if e.message.custody.book == book]:
            del self.disk.live[ref]
            self.disk.order.pop(ref, None)
            self.waiting.pop(ref, None)
        self.unwritten = [(kept, records) for kept, records in self.unwritten if kept != book]
        self.pending_calls = [call for call in self.pending_calls if call.book != book]
        self.pending_ends = {ref: end for ref, end in self.pending_ends.items() if end[0] != book}

    def _acquire(self, acquired: Acquired) -> None:
        """Writes an acquired book to the journal by one write, or declines it."""
        if not self.disk.accepts_write(self.fleet.now):
            self.carry_out(self.core.on_adoption_declined(self.fleet.now, acquired.book))
            return
        self.fleet.holders.setdefault((acquired.book, acquired.term), []).append(self.name)
        self._forget(acquired.book)
        self.last[acquired.book] = acquired.last
        uncertain = []
        for order, entry in acquired.entries:
            ref = entry.message.ref
            if not acquired.is_complete(entry.message.custody.acks) and entry.ended is None:
                uncertain.append(entry)
            self.disk.live[ref], self.disk.order[ref] = entry, order
            if entry.ended is not None:
                self.pending_ends[ref] = acquired.book, acquired.last
        self.fleet.adopted[acquired.book] = (acquired.term, [e.message.ref for _, e in acquired.entries])
        for entry in uncertain:
            ref = entry.message.ref
            mark = RelayStarted(ref, entry.count(), self.fleet.wall(self.name), "?")
            self.apply_written(acquired.book, [mark])
        self._apply_late(acquired.book, acquired.late)
        added = [entry for _, entry in acquired.entries] + list(acquired.late)
        refs = {entry.message.ref: entry.message.ends_at for entry in added}
        self.carry_out(self.core.on_adopted(self.fleet.now, acquired.book, refs))
        self._discard(acquired.book, acquired.ended)

    def _discard(self, book: str, refs: Iterable[str]) -> None:
        """Replicates that ids have ended, and writes it for those that the journal has."""
        for ref in refs:
            self.pending_ends.pop(ref, None)
            if ref in self.disk.live:
                self.write_or_keep(book, [MessageEnded(ref, "withdrawn")])
            else:
                self.apply_written(book, [MessageEnded(ref, "withdrawn")])

    def _end_expired_ids(self, expired: Expired) -> None:
        for ref in expired.refs:
            mark = Custody(expired.book, expired.acks)
            message = AcceptedMessage(ref, 0, "", "", self.fleet.wall(self.name), custody=mark)
            self.expiring.add(ref)
            if self.write(expired.book, [message, self._new_end(ref)]) is None:  # reported without a record
                self.apply_written(expired.book, [MessageEnded(ref, "withdrawn")])
            self.pending_ends[ref] = expired.book, self.last.get(expired.book, 0)

    def _apply_late(self, book: str, entries: Iterable[Entry]) -> None:
        """Applies written entries that a book lacked; each message may have run."""
        for entry in entries:
            ref = entry.message.ref
            records = [*entry.records()]
            if entry.ended is None:
                records.append(RelayStarted(ref, entry.count(), self.fleet.wall(self.name), "?"))
            at = self.apply_written(book, records)
            if entry.ended is not None:
                self.pending_ends[ref] = book, at

    def _take_in_late(self, late: LateEntries) -> None:
        """Writes late entries by one write; if it is refused, their holder is asked again."""
        self._discard(late.book, late.ended)
        new = [entry for entry in late.entries if entry.message.ref not in self.disk.live]
        if new and not self.disk.accepts_write(self.fleet.now):
            return
        self._drop_kept({entry.message.ref for entry in new})
        self._apply_late(late.book, new)
        refs = [entry.message.ref for entry in late.entries]
        self.carry_out(self.core.on_late_settled(self.fleet.now, late.book, refs))


def write_copy(copy: Copy) -> bytes:
    """Encodes a copy."""
    return msgspec.msgpack.encode(
        [
            copy.book,
            copy.config,
            copy.term,
            copy.position,
            copy.packed(),
            copy.owner_term,
        ]
    )


def read_copy(data: bytes) -> Copy:
    """Decodes a copy."""
    book, config, term, position, entries, owner_term = msgspec.msgpack.decode(data)
    copy = Copy(book, msgspec.convert(config, BookConfig), term, tuple(position), owner_term=owner_term)
    copy.put_entries(entries)
    return copy


class Fleet:
    """All senders, the network between them, and a record of promises, calls and notices.

    `promised`, `told` and `expired` name the senders that answered 202, sent a notice and reported an expiry,
    by message id; `holders` names those that acquired a book at a term.
    """

    def __init__(
        self,
        seed: int,
        names: list[str],
        settings: ReplicaSettings,
        detect: float = DETECT_S,
        durable: bool = True,
    ) -> None:
        self.random, self.settings, self.detect, self.durable = Random(seed), settings, detect, durable
        self.now, self._count, self._process_count = 0.0, 0, 0
        self.delay, self.loss = 0.002, 0.0
        self.cut: Callable[[str, str], bool] = lambda source, target: False
        self.reaches_indirectly: Callable[[str, str], bool] = (
            lambda observer, name: False
        )  # membership hears of it through others
        self.senders: dict[str, Sender] = {}
        self.disks: dict[str, Disk] = {}
        self.skew: dict[str, float] = {}  # seconds that a member's time of day is off
        self.promised: dict[str, str] = {}
        self.calls: dict[str, list[tuple[str, float]]] = {}
        self.told: dict[str, list[str]] = {}
        self.expired: dict[str, list[str]] = {}
        self.holders: dict[tuple[str, int], list[str]] = {}
        self.adopted: dict[str, tuple[int, list[str]]] = {}
        self.end_count = 0
        self.ends: dict[str, set[int]] = {}  # by id, the numbers of the ends that were reported
        self.settled: set[str] = set()  # ids whose final records had their copies
        self.ended_again: list[str] = []  # ids of which an end was reported once they were settled
        self.bytes: dict[str, int] = {}  # bytes sent, by type of frame
        self._queue: list[tuple[float, int, str, wire.Message]] = []
        self._unheard_since: dict[tuple[str, str], float] = {}  # by observer and member
        self._network_state: tuple = ()  # input of `_alive_members`
        self._network_changed_at = 0.0
        for name in names:
            self.start(name)

    def note_end(self, ref: str, number: int) -> None:
        """Records that an end was reported; a notice that is repeated has the number of the first."""
        self.ends.setdefault(ref, set()).add(number)
        if ref in self.settled:
            self.ended_again.append(ref)

    def wall(self, name: str) -> datetime:
        """Returns a member's time of day."""
        return EPOCH + timedelta(seconds=self.now + self.skew.get(name, 0.0))

    def start(self, name: str) -> Sender:
        """Starts a process on its existing disk, or on a new one."""
        self._process_count += 1
        sender = self.senders[name] = Sender(
            self, name, self._process_count, self.disks.setdefault(name, Disk())
        )
        return sender

    def kill(self, name: str, disk: bool = False) -> None:
        """Kills a process, and with `disk` loses its disk."""
        self.senders.pop(name, None)
        if disk:
            self.disks.pop(name, None)

    def stall(self, name: str, stalled: bool = True) -> None:
        """Stops a process, or with `stalled` False lets it continue."""
        sender = self.senders[name]
        sender.stalled = stalled
        if not stalled:
            stalled_messages, sender.stalled_messages = sender.stalled_messages, []
            for message in stalled_messages:
                sender.carry_out(sender.core.receive(self.now, self.wall(name), message))

    def post(self, source: str, target: str, message: wire.Message) -> None:
        """Sends a frame, which may be lost."""
        kind = type(message).__name__
        self.bytes[kind] = self.bytes.get(kind, 0) + len(wire.encode(message))
        if self.cut(source, target) or self.random.random() < self.loss:
            return
        self._count += 1
        at = self.now + self.delay * self.random.uniform(0.5, 1.5)
        heapq.heappush(self._queue, (at, self._count, target, message))

    def _alive_members(self, observer: str) -> dict[str, int]:
        found = {}
        for name, sender in self.senders.items():
            if name == observer:
                continue
            heard = not sender.stalled and (
                self.reaches_indirectly(observer, name)
                or not (self.cut(name, observer) or self.cut(observer, name))
            )
            if heard:
                self._unheard_since.pop((observer, name), None)
            gone_at = self._unheard_since.setdefault((observer, name), self.now) if not heard else self.now
            if self.now - gone_at < self.detect:
                found[name] = sender.uid
        return found

    def run(self, span: float, step: float = 0.05) -> None:
        """Advances the simulated time by `span` seconds."""
        pending_ends = self.now + span
        while self.now < pending_ends - 1e-9:
            until = min(pending_ends, self.now + step)
            while self._queue and self._queue[0][0] <= until:
                at, _, target, message = heapq.heappop(self._queue)
                self.now = max(self.now, at)
                sender = self.senders.get(target)
                if sender is None:
                    continue
                if sender.stalled:
                    sender.stalled_messages.append(message)
                    continue
                sender.carry_out(sender.core.receive(self.now, self.wall(target), message))
            self.now = until
            known = (
                self.cut,
                self.reaches_indirectly,
                [(name, s.uid, s.stalled) for name, s in self.senders.items()],
            )
            if known != self._network_state:
                self._network_state, self._network_changed_at = known, self.now
            membership_changed = self.now - self._network_changed_at <= self.detect + 2 * step
            for name, sender in list(self.senders.items()):
                if not sender.stalled:
                    if membership_changed:
                        sender.carry_out(sender.core.members(self.now, self._alive_members(name)))
                    sender.carry_out(sender.core.tick(self.now, self.wall(name)))
                    sender.finish_copied()

    def until(self, condition: Callable[[], bool], max_s: float = 30.0) -> float:
        """Runs until a condition holds; returns the seconds it took, or raises `AssertionError` after
        `max_s`."""
        began = self.now
        while not condition():
            if self.now - began > max_s:
                raise AssertionError(f"not within {max_s} s of simulated time")
            self.run(0.05)
        return self.now - began

    def ready(self, wanted: int) -> bool:
        """Whether every running sender can accept messages with `wanted` copies."""
        return all(s.core.usable_book(wanted, self.now) for s in self.senders.values() if not s.stalled)

    def holds(self, ref: str) -> list[str]:
        """Returns the senders that own the message's book and have the message in their journals."""
        return [n for n, s in self.senders.items() if not s.stalled and s.may_act(ref)]
