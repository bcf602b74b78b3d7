"""How a member becomes the owner of a book, and how it loses one."""

from __future__ import annotations

import msgspec

from willownotch.replica import takeover, wire
from willownotch.replica.actions import Lost, StoreBook, StoreCopy, StoreDisowned
from willownotch.replica.books import OwnedBook, Stage
from willownotch.replica.copies import Copy
from willownotch.replica.ids import IdIndex
from willownotch.replica.roles.state import CoreState
from willownotch.replica.wire import LOG_START


class OwnershipRole(CoreState):
    """Handles the answers of witnesses, and keeps what the journal held of a lost book."""

    def _on_granted(self, granted: wire.Granted) -> None:
        owned = self.owned.get(granted.book)
        if owned is None or granted.term != owned.term:
            return
        self._witness_answers.setdefault(granted.book, {})[granted.source] = self.now
        found = owned.rounds.get(granted.round_number)
        if granted.version > owned.config.version and owned.stage is Stage.CLAIMING:
            owned.config = msgspec.structs.replace(
                owned.config, version=granted.version, replicas=granted.replicas
            )
        if not owned.on_granted(self.now, granted, self._lease_s()):
            return
        if owned.stage is Stage.CLAIMING:
            self._claim_times.pop(owned.book, None)
            if (
                owned.book in self.copies
                or owned.base_position != LOG_START
                or owned.term > 1
                or not owned.accepts_messages
            ):
                self._begin_fetch(owned)
            else:
                owned.stage = Stage.OWNED
                self._emit(StoreBook(owned.book, owned.config, owned.term))
                for name in owned.replica_names():
                    self._follower(owned, name)
                    self._probe(owned, name)
        elif owned.proposed is not None and found is not None and found.version > owned.config.version:
            self._commit_replicas(owned, found.version)

    def _on_refused(self, refused: wire.Refused) -> None:
        book, owned = refused.book, self.owned.get(refused.book)
        self._highest_terms[book] = max(self._highest_terms.get(book, 0), refused.term)
        self._witness_answers.setdefault(book, {})[refused.source] = self.now
        if owned is None:
            return
        named = owned.on_refused(refused)
        # A late refusal may name the owner of a lower term than the one granted here since.
        late = owned.stage is not Stage.CLAIMING and refused.term <= owned.term
        other = named is not None and named not in (owned.former_owner, (self.name, self.uid)) and not late
        if other and owned.stage is Stage.OWNED and not refused.closed:
            return self._reclaim(owned)  # the claim fails if that member keeps the lease
        if refused.closed or other:
            self._lose(owned, refused.term, refused.owner)
            self._record_new_owner(book, refused)
            copy = self.copies.get(book)
            if copy is not None and copy.owner_term:  # the new owner may be waiting for it
                self._send_behind(copy, refused.owner)
            return
        if refused.term >= owned.term and (refused.owner, refused.uid) != (self.name, self.uid):
            owned.contested = True
            if refused.round_number in owned.rounds:
                owned.rounds[refused.round_number].granted_others.add(refused.source)
            undecided = owned.stage in (Stage.CLAIMING, Stage.FETCHING)
            if undecided and owned.majority_impossible(refused.round_number):
                self._withdraw_claim(owned, refused.left_ms / 1000)
            elif (
                owned.stage is Stage.OWNED
                and owned.majority_impossible(refused.round_number)
                and (self.now > owned.lease_until + self._lease_s())
            ):
                self._reclaim(owned)
        elif owned.stage is Stage.CLAIMING and refused.left_ms:
            wait = min(refused.left_ms / 1000, self._lease_s())
            owned.next_claim_at = max(owned.next_claim_at, self.now + wait)

    def _reclaim(self, owned: OwnedBook) -> None:
        """Claims a book again whose witnesses granted others a claim while this owner was cut off.

        Another member may own it or have owned it, so it is claimed like any book without an owner, and its
        content is fetched from the copies.
        """
        refs_at = dict(owned.open)
        self._lose(owned, owned.term, self.name)
        refs = {ref: self.now + (at - self._wall).total_seconds() for ref, at in refs_at.items()}
        self._former_books[owned.book] = owned.config, owned.term
        self.id_indexes[owned.book] = IdIndex(owned.config, owned.term, self.now, refs)
        self._emit(StoreBook(owned.book, owned.config, owned.term))

    def _record_new_owner(self, book: str, refused: wire.Refused) -> None:
        """Records the owner that a refusal names."""
        for table in (self.copies, self.id_indexes):
            if book in table:
                table[book].config = msgspec.structs.replace(
                    table[book].config, owner=refused.owner, uid=refused.uid
                )
        if refused.closed and book in self.copies:
            self._drop_copy(book)
        index = self.id_indexes.get(book)
        if index is None:
            return
        index.closed, index.successor_term = refused.closed, refused.term
        if refused.holds_all:
            del self.id_indexes[book]
        elif not refused.closed:
            self._send_ids(book, index)

    def _on_superseded(self, superseded: wire.Superseded) -> None:
        owned = self.owned.get(superseded.book)
        if owned is not None and superseded.term > owned.term:
            self._lose(owned, superseded.term, superseded.source)
        copy = self.copies.get(superseded.book)
        for held in (copy, self.id_indexes.get(superseded.book)):
            if held is not None and held.config.owner == superseded.source:  # it owns the book no more
                held.config = msgspec.structs.replace(held.config, owner="", uid=0)

    def _lose(self, owned: OwnedBook, term: int, owner: str) -> None:
        """Another member was granted a book. What the journal holds of it stays as a copy until the new owner
        needs it no more."""
        if owned.stage is Stage.OWNED:
            self.copies[owned.book] = self._copy_of_owned(owned)
            self._emit(StoreCopy(owned.book, self.copies[owned.book]))
        elif owned.book in self._former_books:
            self._keep_former_journal(owned.book)
            self._emit(StoreCopy(owned.book, self.copies[owned.book]))
        self._drop_owned(owned.book)
        self._highest_terms[owned.book] = max(self._highest_terms.get(owned.book, 0), term)
        if self.current == owned.book:
            self.current = None
        is_former = self._former_books.pop(owned.book, None) is not None
        if is_former:
            self.id_indexes.pop(owned.book, None)
        self._emit(StoreBook(owned.book, None))
        if is_former or owned.stage in (Stage.ADOPTING, Stage.OWNED):  # the journal still has its messages
            self._emit(StoreDisowned(owned.book))
        self._emit(Lost(owned.book, term, owner))

    def _lose_former_book(self, book: str, term: int, owner: str) -> None:
        """Another member owns a book of this sender's former process, which this process has not claimed."""
        self._keep_former_journal(book)
        self._emit(StoreCopy(book, self.copies[book]))
        self._highest_terms[book] = max(self._highest_terms.get(book, 0), term)
        del self._former_books[book]
        self.id_indexes.pop(book, None)
        self._emit(StoreBook(book, None))
        self._emit(StoreDisowned(book))  # the journal still has its messages
        self._emit(Lost(book, term, owner))

    def _copy_of_owned(self, owned: OwnedBook) -> Copy:
        """Returns a copy of what the journal holds of an owned book, without messages that nobody was
        promised: their clients are answered that they were rejected."""
        last, entries = self.snapshot(owned.book)
        promised = [(order, entry) for order, entry in entries if owned.is_promised(order, entry)]
        changed = len(promised) < len(entries) or last != owned.last
        copy = takeover.copy_of_journal(
            owned.book, owned.config, owned.term, owned.position(owned.last), promised, changed
        )
        copy.ended_refs = set(owned.ended_refs)
        copy.heard_at = self.now
        return copy

    def _keep_former_journal(self, book: str) -> None:
        """Makes a copy of what a former process left in the journal of a book, unless there is one."""
        if book not in self.copies:
            config, term = self._former_books[book]
            last, entries = self.snapshot(book)
            copy = takeover.copy_of_journal(book, config, term, (term, last), entries, True)
            copy.ended_refs = set(self._former_ended.get(book, ()))
            copy.heard_at = self.now
            self.copies[book] = copy
