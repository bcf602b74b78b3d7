"""Custody as a state machine: takes frames, records, members and the time; returns frames and decisions.

Performs no I/O and reads no clock. One core plays all the roles of a sender: owner of books, replica of other
senders' books, witness of terms and holder of ids.
Times named `now` are seconds on a monotonic clock; those named `wall` are the sender's own time of day, which
need not agree with that of other senders.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta

from willownotch.replica import wire
from willownotch.replica.actions import Action, StoreBook, StoreCopy, StoreEnded
from willownotch.replica.books import Stage
from willownotch.replica.copies import Copy
from willownotch.replica.ids import IdIndex, IdLog
from willownotch.replica.roles.acquisition import AcquisitionRole
from willownotch.replica.roles.claims import ClaimRole
from willownotch.replica.roles.id_holders import IdHolderRole
from willownotch.replica.roles.orphans import OrphanRole
from willownotch.replica.roles.ownership import OwnershipRole
from willownotch.replica.roles.replica import ReplicaRole
from willownotch.replica.roles.replica_sets import ReplicaSetRole
from willownotch.replica.roles.replication import ReplicationRole
from willownotch.replica.roles.witness import WitnessRole
from willownotch.replica.terms import Term
from willownotch.replica.wire import FIRST_TERM, BookConfig

TICK_S = 0.05  # between two ticks
DECLINED_BOOK_WAIT_LEASES = 4  # before a book that the disk refused is claimed again


class CustodyCore(
    OwnershipRole,
    ReplicationRole,
    ReplicaSetRole,
    IdHolderRole,
    AcquisitionRole,
    OrphanRole,
    ClaimRole,
    ReplicaRole,
    WitnessRole,
):
    """Custody of one sender: queries and events of its caller. The roles have the protocol."""

    # Queries

    def leased(self, book: str, now: float) -> bool:
        """Whether this sender holds the lease of a book."""
        owned = self.owned.get(book)
        return owned is not None and owned.leased(now)

    def copied_up_to(self, book: str, wanted: int) -> int:
        """Returns the record up to which a book has `wanted` copies and an id holder knows its ids; -1: none.

        Id holders that do not answer within half of the patience are not waited for.
        """
        owned = self.owned.get(book)
        if owned is None:
            return -1
        # A new owner is in the set that it took over, until others have replaced it there.
        counts_own = self.name in owned.config.replicas and len(self._eligible()) < wanted
        copied, ids = owned.copied_up_to(wanted, counts_own), self._id_logs.get(book)
        owned.highest_copied[wanted] = max(copied, owned.highest_copied.get(wanted, -1))
        limit = (
            ids.promise_limit(self.now, self.settings.patience.total_seconds() / 2)
            if ids is not None
            else None
        )
        return copied if limit is None else min(copied, limit)

    def usable_book(self, wanted: int, now: float) -> str | None:
        """Returns the book for new messages if `wanted` copies can be expected, else None."""
        owned = self.owned.get(self.current or "")
        return (
            self.current if owned is not None and owned.can_replicate(now, wanted, self._lease_s()) else None
        )

    # Events

    def restore(
        self,
        terms: Iterable[Term],
        kept: Iterable[Copy],
        books: dict[str, tuple[BookConfig, int]],
        outstanding: dict[str, dict[str, float]],
        ended: dict[str, set[str]],
    ) -> None:
        """Restores the stored state. Copies are unconfirmed until an owner has confirmed their positions.

        `books` belong to former processes with this folder; `outstanding` holds their outstanding ids, with
        seconds until their deadlines, and `ended` the ids that ended in them since their first terms.
        """
        for term in terms:
            self.register.restore(term)
        for copy in kept:
            copy.confirmed, copy.heard_at = False, self.now
            self.copies[copy.book] = copy
        self._former_books = dict(books)
        self._former_ended = {book: set(ended.get(book, ())) for book in books}
        for book, (config, term) in books.items():
            refs = {ref: self.now + left for ref, left in outstanding.get(book, {}).items()}
            self.id_indexes[book] = IdIndex(config, term, self.now, refs)

    def members(self, now: float, peers: dict[str, int]) -> list[Action]:
        """Updates the members that the membership lists, without this sender."""
        self.now = max(self.now, now)
        if peers != self.peers:
            self.peers = dict(peers)
            self._update_placement()
        return self._drain_actions()

    def on_written(
        self, now: float, book: str, frames: tuple[bytes, ...], opened: dict[str, datetime], ended: list[str]
    ) -> list[Action]:
        """Replicates records of a book that the journal has written. `opened` are new outstanding ids with
        their deadlines, `ended` the ids that ended."""
        self.now = max(self.now, now)
        owned = self.owned.get(book)
        if owned is None:
            return self._drain_actions()
        before = owned.last
        owned.append_frames(frames)
        owned.open.update(opened)
        for ref in ended:
            owned.open.pop(ref, None)
        if owned.term > FIRST_TERM and ended:
            owned.ended_refs.update(ended)
            self._emit(StoreEnded(book, tuple(ended)))
        if owned.config.unheard or owned.orphan_refs:
            self._settle_late(owned, [*opened, *ended])
        for name in owned.replica_names():
            self._send_records(owned, name)
        ids = self._id_logs.setdefault(book, IdLog())
        ids.note(opened, ended)
        if opened and owned.stage is Stage.OWNED:
            ids.flush(before)
            self._send_id_changes(owned, ids)
        return self._drain_actions()

    def on_adopted(self, now: float, book: str, refs: dict[str, datetime]) -> list[Action]:
        """The entries of an acquired book are in the journal, so its ownership begins."""
        self.now = max(self.now, now)
        owned = self.owned.get(book)
        if owned is not None and owned.stage is Stage.ADOPTING:
            owned.stage = Stage.OWNED
            owned.config = owned.adopted_config
            self.id_indexes.pop(book, None)
            owned.open = dict(refs)
            owned.known_refs |= set(refs)
            for ref, at in owned.orphan_refs.items():
                owned.open[ref] = self._wall + timedelta(seconds=at - self.now)
            self._id_logs[book] = IdLog(1)  # id holders get the acquired ids as a whole list
            self._former_books.pop(book, None)
            self._emit(StoreBook(book, owned.config, owned.term))
            if book in self.copies:
                self._drop_copy(book)
            if owned.ended_refs:
                self._emit(StoreEnded(book, tuple(owned.ended_refs)))
            self._update_placement()
        return self._drain_actions()

    def on_adoption_declined(self, now: float, book: str) -> list[Action]:
        """The disk refused an acquired book: releases it to other members, and claims it later.

        What this member had of the book stays as it was, since it has not acted on it at this term.
        """
        self.now = max(self.now, now)
        owned = self.owned.get(book)
        if owned is not None and owned.stage is Stage.ADOPTING:
            self._withdraw_claim(owned, DECLINED_BOOK_WAIT_LEASES * self._lease_s())
        return self._drain_actions()

    def on_copy_not_stored(self, now: float, book: str) -> list[Action]:
        """A copy could not be stored: drops it, and accepts no new one for one second."""
        self.now = max(self.now, now)
        copy = self.copies.get(book)
        if copy is not None and not copy.owner_term:  # one that was this sender's journal stays in memory
            del self.copies[book]
            self._full_until[book] = self.now + 1.0
            self._emit(StoreCopy(book, None))
        return self._drain_actions()

    def release(self, now: float) -> list[Action]:
        """Stops all activity and releases the leases, so that other members need not wait for them to end."""
        self.now, self._stopping = max(self.now, now), True
        for owned in self.owned.values():
            self._claim(owned, release=True)
            owned.lease_until = 0.0
        return self._drain_actions()

    def tick(self, now: float, wall: datetime) -> list[Action]:
        """Does the periodic work."""
        self.now, self._wall = max(self.now, now), wall
        if not self._stopping:
            if self.now - self._ticked_at > self._lease_s() / 2:
                self._on_pause_ended()
            if any(until <= self.now for until in self._avoided_until.values()):
                self._avoided_until = {
                    name: until for name, until in self._avoided_until.items() if until > self.now
                }
                self._update_placement()
            for owned in list(self.owned.values()):
                self._maintain(owned)
            self._choose_current_book()
            self._claim_orphans()
            for owned in self.owned.values():
                self._maintain_id_holders(owned)
        self._ticked_at = self.now
        return self._drain_actions()

    def _on_pause_ended(self) -> None:
        """After a pause of this process, its missed messages do not count as silence of other members."""
        for item in (*self.copies.values(), *self.id_indexes.values()):
            item.heard_at = self.now
        for owned in self.owned.values():
            for follower in owned.followers.values():
                follower.heard_at = self.now

    def next_tick_at(self) -> float:
        """Returns the time of the next tick."""
        return self.now + TICK_S

    def receive(self, now: float, wall: datetime, message: wire.Message) -> list[Action]:
        """Handles a frame of another member, authenticated by the transport."""
        self.now, self._wall = max(self.now, now), wall
        if not self._stopping:
            getattr(self, f"_on_{type(message).__name__.lower()}")(message)
        return self._drain_actions()
