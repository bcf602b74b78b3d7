"""Books whose owner is gone: claimed by their holders, which report what expires while there is none."""

from __future__ import annotations

from willownotch.replica import copies, wire
from willownotch.replica.actions import Expired
from willownotch.replica.books import INCOMPLETE_BOOK_KEEP_S, OwnedBook, Stage
from willownotch.replica.copies import Copy
from willownotch.replica.ids import IdIndex
from willownotch.replica.placement import majority
from willownotch.replica.roles.claims import CLAIM_TURNS_A_LEASE
from willownotch.replica.roles.state import CoreState
from willownotch.replica.wire import LOG_START, BookConfig

ORPHAN_COPY_KEEP_S = 60.0  # that a copy without an owner is kept after its last deadline
EMPTY_BOOK_WAIT_S = 30.0  # for the owner of a book without messages, before others take it to close it
WITNESS_ANSWER_LEASES = 3  # leases for which a witness that answered a claim counts as present
OWNERLESS_LEASES = 10  # leases without an owner after which holders report expired messages in any case


class OrphanRole(CoreState):
    """Looks after copies, ids and former books without an owner."""

    def _claim_orphans(self) -> None:
        """Claims books whose owner is gone, and reports messages that expire while there is none."""
        self._forget_settled_orphans()
        self._withdraw_claims_of_returned_owners()
        for book, (config, term) in list(self._former_books.items()):
            self._claim_in_turn(book, config, term, 0)
        for copy in list(self.copies.values()):
            self._look_after_copy(copy)
        for book, index in list(self.id_indexes.items()):
            self._look_after_ids(book, index)

    def _forget_settled_orphans(self) -> None:
        """Drops what is known of claims of books that this member no longer has anything of."""
        known = (self.owned, self.copies, self.id_indexes, self._former_books)
        for table in (self._witness_answers, self._orphaned_at):
            for book in [book for book in table if not any(book in books for books in known)]:
                del table[book]

    def _withdraw_claims_of_returned_owners(self) -> None:
        for owned in list(self.owned.values()):
            known = self.copies.get(owned.book) or self.id_indexes.get(owned.book)
            owner_back = known is None or self._is_present(known.config)
            if (
                owned.stage is Stage.CLAIMING
                and not owned.accepts_messages
                and owner_back
                and owned.book not in self._former_books
            ):
                self._withdraw_claim(owned, 0.0)

    def _is_present(self, config: BookConfig) -> bool:
        """Whether the membership lists the owner's process."""
        return self.peers.get(config.owner) == config.uid

    def _look_after_copy(self, copy: Copy) -> None:
        """Asks a silent owner, or claims the book of one that is gone; an empty one is closed then."""
        book, config, silent = copy.book, copy.config, self.now - copy.heard_at
        lacks_some = config.unheard or not config.holds_all
        keep_s = INCOMPLETE_BOOK_KEEP_S if lacks_some else ORPHAN_COPY_KEEP_S
        reported = copy.live.keys() <= copy.reported_refs
        if silent > keep_s and reported and self._time_left(copy) < -ORPHAN_COPY_KEEP_S:
            self._drop_copy(book)
        elif self._is_present(config):
            self._orphaned_at.pop(book, None)
            self._ask_silent(copy)
        elif silent > (self._lease_s() / 2 if copy.live or lacks_some else EMPTY_BOOK_WAIT_S):
            candidates = [name for name in config.replicas if name in self.peers or name == self.name]
            place = candidates.index(self.name) if self.name in candidates else len(candidates)
            self._claim_in_turn(book, config, copy.term, place)
            if self._no_owner_expected(book, config, silent, len(config.replicas)):
                self._expire_copy(copy)

    def _look_after_ids(self, book: str, index: IdIndex) -> None:
        """Hands ids to a later owner, or claims the book of one that is gone."""
        if book in self.copies:
            return
        if self._is_present(index.config) and not index.closed:
            self._orphaned_at.pop(book, None)
            if index.successor_term and index.refs and self._may_ask_again(book):
                self._send_ids(book, index)
        elif not index.refs and book not in self._former_books:
            del self.id_indexes[book]
        elif index.closed:
            self._expire_refs(book, index)
        else:
            self._claim_for_ids(book, index)

    def _claim_for_ids(self, book: str, index: IdIndex) -> None:
        """Claims a book after its replicas, or at once if they are gone, and reports what expires of it."""
        config, silent = index.config, self.now - index.heard_at
        replicas_gone = not any(name in self.peers for name in config.replicas)
        if self._waited(book, silent) > self._turns_s(len(config.replicas)) or (
            silent > self._lease_s() and replicas_gone
        ):
            candidates = sorted(config.witnesses)
            place = 1 + (candidates.index(self.name) if self.name in candidates else len(candidates))
            self._claim_in_turn(book, config, index.term, place)
        if self._no_owner_expected(book, config, silent, len(config.replicas) + 1 + len(config.witnesses)):
            self._expire_refs(book, index)

    def _send_ids(self, book: str, index: IdIndex) -> None:
        """Sends the ids of a former owner to a later one that may not know all of them."""
        self._asked_at[book] = self.now
        self._send(
            index.config.owner,
            wire.Contents(
                self.name,
                book,
                index.successor_term,
                LOG_START,
                False,
                False,
                0,
                1,
                (),
                self._wall,
                index.with_ms_left(self.now),
            ),
        )

    def _waited(self, book: str, silent: float) -> float:
        """Returns the seconds since the owner was found to be gone, at most those of its silence."""
        return min(silent, self.now - self._orphaned_at.setdefault(book, self.now))

    def _turns_s(self, candidates: int) -> float:
        """Returns the seconds in which so many candidates have had their turns to claim a book."""
        return self._lease_s() * (1 + candidates / CLAIM_TURNS_A_LEASE)

    def _no_owner_expected(self, book: str, config: BookConfig, silent: float, candidates: int) -> bool:
        """Whether a book will get no owner soon that ends its messages, `silent` seconds after the last one.

        Each candidate has its turn to claim the book first. If a majority of the witnesses answers the
        claims, one of them will be granted.
        """
        waited = self._waited(book, silent)
        if waited <= self._turns_s(candidates):
            return False
        answered_at = self._witness_answers.get(book, {}).values()
        recent_s = WITNESS_ANSWER_LEASES * self._lease_s()
        answered = sum(self.now - at <= recent_s for at in answered_at)
        return answered < majority(len(config.witnesses)) or waited > OWNERLESS_LEASES * self._lease_s()

    def _is_unowned(self, book: str) -> bool:
        """Whether this member does not own an orphaned book either."""
        owned = self.owned.get(book)
        return owned is None or owned.stage is Stage.CLAIMING

    def _expire_orphans(self, owned: OwnedBook) -> None:
        """Ends messages of a book without whole contents that reached their deadlines and of which only the
        ids are known. They stay open until the log has their ends."""
        expired = tuple(ref for ref, at in owned.orphan_refs.items() if at <= self.now)
        if expired and owned.stage is Stage.OWNED:
            for ref in expired:
                del owned.orphan_refs[ref]
            owned.known_refs.update(expired)
            acks = max(self.settings.ack_levels(), default=1)
            self._emit(Expired(owned.book, (), expired, acks))

    def _expire_copy(self, copy: Copy) -> None:
        """Reports messages of an orphaned copy that reached their deadlines, since no owner will end them."""
        by = copy.clock_offset or copies.NO_TIME
        if not self._is_unowned(copy.book):
            return
        expired = [
            entry
            for ref, entry in copy.live.items()
            if ref not in copy.reported_refs and entry.message.ends_at + by <= self._wall
        ]
        if expired:
            copy.reported_refs.update(entry.message.ref for entry in expired)
            self._emit(Expired(copy.book, tuple(copies.shift_times(entry, by) for entry in expired), ()))

    def _expire_refs(self, book: str, index: IdIndex) -> None:
        expired = tuple(ref for ref, at in index.refs.items() if at <= self.now)
        if expired and self._is_unowned(book):
            for ref in expired:
                del index.refs[ref]
            self._emit(Expired(book, (), expired))

    def _time_left(self, copy: Copy) -> float:
        """Returns the seconds until the last deadline in a copy, by this clock."""
        by = copy.clock_offset or copies.NO_TIME
        ends = max((entry.message.ends_at for entry in copy.live.values()), default=None)
        return (ends + by - self._wall).total_seconds() if ends is not None else -ORPHAN_COPY_KEEP_S - 1.0

    def _ask_silent(self, copy: Copy) -> None:
        """Reports the position to an owner that is present but silent: it may have removed this replica."""
        if self.now - copy.heard_at > self._ask_interval_s() and self._may_ask_again(copy.book):
            self._asked_at[copy.book] = self.now
            self._send_behind(copy, copy.config.owner)

    def _ask_interval_s(self) -> float:
        return max(3 * self._lease_s(), 3.0)

    def _may_ask_again(self, book: str) -> bool:
        return self.now - self._asked_at.get(book, -1e9) > self._ask_interval_s()
