"""How a new owner collects the contents of a book, begins with them, and takes in what arrives late."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

import msgspec

from willownotch.journal.records import Entry
from willownotch.replica import copies, takeover, wire
from willownotch.replica.actions import Acquired, Action, LateEntries, StoreBook, StoreCopy, StoreDisowned
from willownotch.replica.books import MIN_RESEND_S, FetchAnswer, OwnedBook, Stage
from willownotch.replica.copies import Ordered
from willownotch.replica.ids import IdLog
from willownotch.replica.roles.state import CoreState

EARLY_SHARE = 0.25  # of the time to the first deadline that an owner waits for whole contents


class AcquisitionRole(CoreState):
    """Collects contents of claimed books."""

    def _begin_fetch(self, owned: OwnedBook) -> None:
        owned.stage = Stage.FETCHING
        owned.fetch_began_at, owned.fetch_deadline = self.now, self.now + self._lease_s()
        book = owned.book
        if book in self._former_books:
            self._keep_former_journal(book)
        copy = self.copies.get(book)
        if copy is not None:
            copy.term = max(copy.term, owned.term)
            if book not in self._former_books:
                self._emit(StoreCopy(book, copy))
            owned.fetch_answers[self.name] = takeover.copy_answer(
                copy, list(copies.split_parts(self._packed(copy)))
            )
        if (index := self.id_indexes.get(book)) is not None:
            owned.orphan_refs.update(index.refs)
        self._fetch_on(owned)

    def _fetch_on(self, owned: OwnedBook) -> None:
        """Takes over the contents if no more are to be waited for, else asks members that have not answered.

        Whole contents wait only for replicas that are present, and no longer than a lease. Others also wait
        for a share of the time to the first deadline, in which a member that was cut off may come back.
        """
        former_owner = owned.former_owner[0]
        holders = {*owned.config.replicas, former_owner} - {self.name, ""}
        complete = takeover.complete_answers(owned)
        contents = takeover.choose_contents(owned, self.name, self._least_acks())
        missing = sorted({*holders, *owned.config.witnesses} - {self.name} - set(complete))
        expected = [name for name in missing if name in self.peers and name in owned.config.replicas]
        waited = self.now >= owned.fetch_deadline
        if contents.whole and (waited or not expected):
            self._acquire(owned, contents)
        elif not contents.whole and waited and self._has_waited_for_absent(owned, contents, holders):
            if contents.base is not None or owned.orphan_refs:
                self._acquire(owned, contents)
            else:
                self._abandon(owned)
        elif self.now >= owned.next_fetch_at:
            owned.next_fetch_at = self.now + max(MIN_RESEND_S, self._lease_s() / 8)
            for name in missing:
                self._send(name, wire.Fetch(self.name, owned.book, owned.term))

    def _least_acks(self) -> int:
        return min(self.settings.ack_levels(), default=1)

    def _has_waited_for_absent(
        self, owned: OwnedBook, contents: takeover.Contents, holders: set[str]
    ) -> bool:
        """Whether an owner without whole contents may begin with those that it has."""
        if holders <= set(takeover.complete_answers(owned)):
            return True  # nobody is left to ask
        entries = takeover.read_entries(contents.base) if contents.base is not None else []
        if not owned.orphan_refs and not entries:
            return True
        if any(at <= self.now for at in owned.orphan_refs.values()):
            return True  # an end is owed of which only the id is known
        if not entries:
            return False
        if any(entry.ended is not None for _, entry in entries):
            return True  # a notice is owed
        first = min(entry.message.ends_at for _, entry in entries)
        left = (first - self._wall).total_seconds()
        waited = self.now - owned.fetch_began_at
        return waited >= EARLY_SHARE * (waited + left)

    def _abandon(self, owned: OwnedBook) -> None:
        """Gives up a book of which this member knows no message; members that hold some will claim it."""
        book = owned.book
        self.id_indexes.pop(book, None)
        if book in self.copies:
            self._drop_copy(book)
        if self._former_books.pop(book, None) is not None:
            self._emit(StoreBook(book, None))
        self._withdraw_claim(owned, 0.0)

    def _on_contents(self, contents: wire.Contents) -> None:
        owned = self.owned.get(contents.book)
        if owned is None and contents.refs and not contents.has_copy:
            term = max(contents.term, self._highest_terms.get(contents.book, 0))
            self._send(contents.source, wire.Superseded(self.name, contents.book, term))
        if owned is None or owned.term != contents.term:
            return
        if owned.stage is Stage.OWNED and contents.refs:
            self._take_in_ids(owned, contents)
        if owned.stage is not Stage.FETCHING and (
            owned.stage is not Stage.OWNED or not owned.config.unheard or contents.source in owned.heard
        ):
            return
        answer = self._collect_answer(owned, contents)
        if not answer.is_complete():
            return
        for ref, left_ms in answer.refs.items():
            if owned.stage is Stage.FETCHING:
                owned.orphan_refs.setdefault(ref, self.now + left_ms / 1000)
        if owned.stage is Stage.FETCHING:
            self._fetch_on(owned)
        else:
            self._take_in_late(owned, contents.source, answer)

    def _collect_answer(self, owned: OwnedBook, contents: wire.Contents) -> FetchAnswer:
        """Adds one part to a member's answer."""
        clock_offset = self._wall - contents.sender_time
        answer = owned.fetch_answers.get(contents.source)
        if answer is None or (answer.position, answer.parts) != (contents.position, contents.parts):
            answer = owned.fetch_answers[contents.source] = FetchAnswer(
                contents.position,
                contents.confirmed,
                contents.has_copy,
                contents.parts,
                clock_offset,
                owner_term=contents.owner_term,
                unheard=contents.unheard,
                history=contents.history,
                holds_all=contents.holds_all,
            )
        answer.clock_offset = min(answer.clock_offset, clock_offset)
        answer.received_parts[contents.part] = contents.entries
        answer.refs.update(contents.refs)
        return answer

    def _acquire(self, owned: OwnedBook, contents: takeover.Contents) -> None:
        """Begins the ownership with these contents."""
        entries: list[Ordered] = []
        ended = self._ended_by_answers(owned)
        history = owned.config.history
        if contents.base is not None:
            owned.base_position, owned.last = contents.base.position, contents.base.position[1]
            entries = takeover.read_entries(contents.base)
            owned.ended_refs = takeover.read_ended(contents.base)
            history = takeover.extend_history(contents.base)
        unheard = takeover.members_without_answer(owned, self.name, contents)
        owned.adopted_config = msgspec.structs.replace(
            owned.config, unheard=unheard, history=history, holds_all=takeover.holds_all(contents)
        )
        known = owned.known_refs = {entry.message.ref for _, entry in entries}
        if contents.base is not None and not contents.base.owner_term:
            owned.replicated_refs = set(known)
        late = self._late_entries_of_own_copy(owned, contents, ended)
        owned.orphan_refs = {
            ref: at
            for ref, at in owned.orphan_refs.items()
            if ref not in known and ref not in ended and not contents.whole
        }
        owned.stage, owned.fetch_answers = Stage.ADOPTING, {}
        previous_owner = (
            self.copies[owned.book].config.owner
            if owned.book in self.copies
            else (self.id_indexes[owned.book].config.owner if owned.book in self.id_indexes else self.name)
        )
        # Until its book is taken over, the journal of a former process counts.
        if owned.book not in self._former_books:
            self._emit(StoreDisowned(owned.book))
        self._emit(
            Acquired(
                owned.book,
                owned.term,
                owned.last,
                tuple((order, entry) for order, entry in entries if entry.message.ref not in ended),
                contents.confirmed_replicas,
                len(owned.config.replicas),
                previous_owner,
                contents.whole,
                tuple(late),
                tuple(sorted(ended - owned.ended_refs)),
            )
        )

    @staticmethod
    def _ended_by_answers(owned: OwnedBook) -> set[str]:
        """Returns the ids of which some member knows that they ended, in whichever later term that was."""
        answers = takeover.complete_answers(owned).values()
        return set().union(*map(takeover.read_ended, answers))

    def _late_entries_of_own_copy(
        self, owned: OwnedBook, contents: takeover.Contents, ended: set[str]
    ) -> list[Entry]:
        """Returns the messages of this member's own copy that the contents may lack."""
        own = owned.fetch_answers.get(self.name)
        if own is None or own is contents.base or not own.has_copy:
            return []
        if contents.whole and (contents.base is None or self.name not in contents.base.unheard):
            return []
        return [entry for entry in takeover.late_entries(owned, own) if entry.message.ref not in ended]

    def _fetch_late(self, owned: OwnedBook) -> None:
        """Asks members that may hold messages which the log lacks."""
        if owned.config.unheard and owned.next_fetch_at <= self.now:
            owned.next_fetch_at = self.now + max(MIN_RESEND_S, self._lease_s() / 2)
            for name in owned.config.unheard:
                self._send(name, wire.Fetch(self.name, owned.book, owned.term))

    def _take_in_ids(self, owned: OwnedBook, contents: wire.Contents) -> None:
        """Takes in what a member knows of the ids of a former owner, and relieves it of them."""
        ids = self._id_logs.setdefault(owned.book, IdLog())
        known = owned.known_refs | owned.ended_refs | owned.orphan_refs.keys()
        lacking = {} if owned.config.holds_all else dict(contents.refs)
        for ref, left_ms in lacking.items():
            if ref not in known:
                owned.orphan_refs[ref] = self.now + left_ms / 1000
                owned.open[ref] = self._wall + timedelta(milliseconds=left_ms)
                ids.note({ref: owned.open[ref]}, [])
        if contents.source not in ids.holders:
            self._dismiss_id_holders(owned, [contents.source])

    def _take_in_late(self, owned: OwnedBook, source: str, answer: FetchAnswer) -> None:
        """Hands on the messages of a late answer that the log lacks."""
        entries = takeover.late_entries(owned, answer) if answer.has_copy else []
        ended = takeover.read_ended(answer) | takeover.ended_in_longer_copy(owned, answer)
        ended -= owned.ended_refs
        entries = [entry for entry in entries if entry.message.ref not in ended]
        if not entries and not ended:
            self._mark_heard(owned, source)
            return
        owned.late_refs[source] = {entry.message.ref for entry in entries} | ended
        del owned.fetch_answers[source]
        self._emit(LateEntries(owned.book, source, tuple(entries), tuple(sorted(ended))))

    def on_late_settled(self, now: float, book: str, refs: Iterable[str]) -> list[Action]:
        """The owner needs no more of late messages: they are known to it by other means."""
        self.now = max(self.now, now)
        owned = self.owned.get(book)
        if owned is not None:
            self._settle_late(owned, refs)
        return self._drain_actions()

    def _settle_late(self, owned: OwnedBook, refs: Iterable[str]) -> None:
        """These ids are in the log; members of which all are need not be heard any more."""
        refs = set(refs)
        owned.known_refs |= refs
        for ref in refs:
            owned.orphan_refs.pop(ref, None)
        for source, awaited in list(owned.late_refs.items()):
            awaited -= refs
            if not awaited:
                self._mark_heard(owned, source)

    def _mark_heard(self, owned: OwnedBook, source: str) -> None:
        """All that a member held is in the log, so it may drop or replace its copy."""
        owned.heard.add(source)
        owned.late_refs.pop(source, None)
        owned.fetch_answers.pop(source, None)
        if source in owned.config.unheard:
            unheard = tuple(name for name in owned.config.unheard if name != source)
            owned.config = msgspec.structs.replace(owned.config, unheard=unheard)
            self._emit(StoreBook(owned.book, owned.config, owned.term))
