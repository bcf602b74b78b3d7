"""The decision loop's part in replication: waits for copies on other senders, and changes of a book's owner.

A book is a set of messages that are replicated together. Nothing here runs unless replication is configured.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

import msgspec

from willownotch import interface as api
from willownotch.journal.records import AcceptedMessage, Custody, Entry, MessageEnded, Record
from willownotch.net.adoption import may_have_run_marks, plan_adoption
from willownotch.net.attempts import RelayEnded
from willownotch.net.clock import ZERO
from willownotch.net.events import Answer, NoticeReplicated, ReplicationEnded, Verdict
from willownotch.net.journal import Adoption, JournalFullError

if TYPE_CHECKING:
    from willownotch.net.delivery import Delivery
    from willownotch.replica.actions import Acquired, Expired, LateEntries, Lost

DEFAULT_RETRY_AFTER = timedelta(milliseconds=500)  # told with a rejection for which the module gave no time
# How long a client waits for copies: at least this long, and at most this long since its message came.
MIN_COPY_WAIT, MAX_COPY_WAIT = timedelta(milliseconds=10), timedelta(milliseconds=320)
REMEMBER_TIME = timedelta(seconds=15)  # for which finished ids are kept, to recognise repeated hand-ins


@dataclass(frozen=True, slots=True)
class LeftToOthers:
    """A timer: the time of a message that was left to other senders is up."""

    ref: str


class ReplicationMixin:
    """The methods of `DecisionLoop` that deal with replicated messages."""

    def _is_left_to_others(self, entry: Entry) -> bool:
        """Whether a replicated message is left to other senders, at a start without replication."""
        message = entry.message
        known = message.rules is not None or message.message_class in self.classes
        if entry.ended is not None or not known or self._repeatable(message):
            return False
        self._leave_to_others(message)
        return True

    def _leave_to_others(self, message: AcceptedMessage) -> None:
        """Keep a message without sending it, since it must not run twice and replication is off now.

        Its copies are with other senders, which take this process for gone and go on with it. If none does,
        the notice at its deadline ends it; a notice for a message that was delivered does no harm.
        """
        self._left_to_others[message.ref] = message
        if message.key is not None:
            self._key_blockers.setdefault(message.key, set()).add(message.ref)
        heapq.heappush(self._timers, (message.ends_at, next(self._timer_order), LeftToOthers(message.ref)))

    def _end_left_to_others(self, ref: str) -> None:
        """End a message that was left to other senders, as its time is up."""
        message = self._left_to_others.pop(ref, None)
        if message is None:
            return
        self.log.say("recover", f"{ref} given up at its deadline: it was left to the holders of its copies")
        ended = MessageEnded(ref, "given_up")
        self._write([ended])
        self._send_notice(message, ended)

    def _await_copies(self, delivery: Delivery) -> None:
        """Answer a message's client and start its relays only once enough other senders hold a copy."""
        ref, pending, delivery.replicating = delivery.message.ref, delivery.pending, True
        age = self.clock.now() - (delivery.message.at or self.clock.now())
        timeout = max(MIN_COPY_WAIT, min(self.custody.settings.patience, MAX_COPY_WAIT - age))
        self.custody.notify_when_copied(
            delivery.message.custody, timeout, True, lambda ok: self.post(ReplicationEnded(ref, pending, ok))
        )

    def _replication_ended(
        self, item: ReplicationEnded, now: datetime, events: list[api.Event], records: list[Record]
    ) -> None:
        """Accept a message that enough senders hold and start its relays; reject it otherwise."""
        delivery = self._outstanding.get(item.ref)
        if delivery is None or not delivery.replicating or delivery.accepted_by is not item.pending:
            return
        delivery.replicating, held_relays, delivery.held_relays = False, delivery.held_relays, []
        if item.ok and not delivery.over:
            delivery.answer(Answer(Verdict.ACCEPTED))
            for relay in held_relays:
                self._launch(relay)
        else:
            for relay in held_relays:
                self.post(RelayEnded(relay, api.Outcome.NOT_SENT, now - relay.begun_at))
            if not delivery.over:
                self._rejected_when_written.append(delivery)
                records.append(MessageEnded(item.ref, "withdrawn"))
                events.append(api.Withdrawn(item.ref))
                self._forget(delivery, now)
                return
        delivery.pending = None

    def _answer_withdrawn(self) -> None:
        """Answer the clients of messages that were recorded, and withdrawn since.

        503 only once the withdrawal is recorded: before, a process that starts after a kill would send them.
        """
        unwritten = {record.ref for record in self._unwritten_records}
        for delivery in self._rejected_when_written:
            written = delivery.message.ref not in unwritten
            rejected = Answer(Verdict.REJECTED, DEFAULT_RETRY_AFTER, "custody")
            delivery.answer(rejected if written else Answer(Verdict.FAILED))
            delivery.pending = None
        self._rejected_when_written.clear()

    def _send_replicated_notice(self, message: AcceptedMessage) -> None:
        """Notify the platform of an end once it is recorded and enough other senders hold a copy.

        If the disk refuses the record, the notice waits for it as long as it would wait for copies.
        """
        left = max(ZERO, message.ends_at - self.clock.now()) + self.custody.settings.patience
        if any(record.ref == message.ref for record in self._unwritten_records):
            self._notices_to_write[message.ref] = self.clock.now() + left
        else:
            self._notify_when_copied(message, left)

    def _notify_when_copied(self, message: AcceptedMessage, patience: timedelta) -> None:
        """Notify the platform once the records written so far have enough copies."""
        ref = message.ref
        self.custody.notify_when_copied(
            message.custody, patience, False, lambda ok: self.post(NoticeReplicated(ref)) if ok else None
        )

    def _release_written_notices(self, now: datetime) -> None:
        """Send the notices whose ends the disk has accepted since, or has refused for too long."""
        if not self._notices_to_write:
            return
        unwritten = {record.ref for record in self._unwritten_records}
        for ref, latest in list(self._notices_to_write.items()):
            if ref in unwritten and now < latest:
                continue
            del self._notices_to_write[ref]
            message, _ = self._unanswered_notices.get(ref, (None, None))
            if message is not None:
                self._notify_when_copied(message, max(ZERO, latest - now))

    def _in_book(self, book: str) -> dict[str, Entry]:
        """The journal's live entries of a book, by id."""
        return {
            ref: entry
            for ref, entry in self.journal.live.items()
            if entry.message.custody is not None and entry.message.custody.book == book
        }

    def _is_known(self, ref: str) -> bool:
        """Whether this sender delivers a message already, or has ended it."""
        return ref in self._outstanding or ref in self._ended_ids or ref in self._unanswered_notices

    def _take_over(self, acquired: Acquired, now: datetime, events: list[api.Event]) -> None:
        """Continue the deliveries of a book that another sender, or a former process of this one, owned.

        If the disk refuses the messages, none is taken over, and this sender keeps what it had of the book.
        """
        local = self._in_book(acquired.book)
        plan = plan_adoption(acquired, local, self._refused_withdrawals(), self._is_known, now)
        try:
            self.journal.adopt_entries(
                Adoption(plan.removed, plan.copied, plan.new, lambda: self.custody.begin_adoption(acquired))
            )
        except (OSError, JournalFullError) as fault:
            self.log.say(
                "custody", f"{acquired.book} was not taken over, as the journal cannot hold it: {fault}"
            )
            self.custody.decline_adoption(acquired.book)
            return
        self._drop_unwritten(plan.deadlines)
        self.custody.adoption_written(acquired, plan.deadlines)
        self.custody.discard(acquired.book, [*plan.known, *acquired.ended])
        self._continue_book(acquired, list(plan.deadlines), now, events)

    def _discard_disowned(self) -> list[str]:
        """Drop the messages of books that a former process did not own when it ended; return their ids.

        It was about to own them, and whoever owns them now has them from the copies.
        """
        refs = [
            ref
            for ref, entry in self.journal.live.items()
            if entry.message.custody is not None and self.custody.is_disowned(entry.message.custody)
        ]
        if not refs:
            return refs
        self.log.say(
            "custody", f"{len(refs)} messages of books that this sender did not own are dropped here"
        )
        try:
            self.journal.adopt_entries(Adoption(removed=tuple(refs)))
        except (OSError, JournalFullError) as fault:
            self.log.say("journal", f"{len(refs)} dropped messages stay in the journal for now: {fault}")
            self._unwritten_records += [MessageEnded(ref, "withdrawn") for ref in refs]
        return refs

    def _refused_withdrawals(self) -> set[str]:
        """The ids of messages that were withdrawn here, though the disk has refused to record it so far."""
        return {
            record.ref
            for record in self._unwritten_records
            if isinstance(record, MessageEnded) and record.outcome == "withdrawn"
        }

    def _drop_unwritten(self, refs: Collection[str]) -> None:
        """Drop records of these messages that the disk refused and that would still be written later."""
        self._unwritten_records = [record for record in self._unwritten_records if record.ref not in refs]

    def _continue_book(
        self, acquired: Acquired, refs: list[str], now: datetime, events: list[api.Event]
    ) -> None:
        """Continue the deliveries of an acquired book that the journal has, and log the takeover."""
        entries = [self.journal.live[ref] for ref in refs if ref in self.journal.live]
        outstanding = self._continue_entries(entries, now, events)
        if not entries and acquired.is_complete(1):
            return  # an empty book, which is only closed
        completeness = (
            "no accepted message is missing"
            if acquired.is_complete(1)
            else (
                f"{acquired.replicas_answered} of {acquired.replicas_asked} copies answered, "
                f"so some may be missing, "
                "and all may have been executed"
            )
        )
        self.log.say(
            "custody",
            f"{acquired.book} of {acquired.previous_owner or 'nobody'} is taken over "
            f"at term {acquired.term}: "
            f"{len(outstanding)} messages, {len(entries) - len(outstanding)} final outcomes; {completeness}",
        )

    def _continue_entries(self, entries: list[Entry], now: datetime, events: list[api.Event]) -> list[Entry]:
        """Continue the deliveries of acquired entries; return those that are still to be delivered."""
        outstanding = [entry for entry in entries if self._can_continue(entry)]
        if self._recovered is not None:
            self._recovered += outstanding
        else:
            events += [self._restore(entry, now) for entry in outstanding]
        return outstanding

    def _take_in_late(self, late: LateEntries, now: datetime, events: list[api.Event]) -> None:
        """Continue deliveries that the takeover of a book did not bring. Each may have been executed.

        Those that a former owner ended are withdrawn without a notice: it has reported their ends.
        """
        self._withdraw_ended(late, now, events)
        settled = [entry.message.ref for entry in late.entries if self._is_known(entry.message.ref)]
        if settled:
            self.custody.settle_late(late.book, settled)
        new = [entry for entry in late.entries if entry.message.ref not in settled]
        records = [record for entry in new for record in entry.records()]
        records += may_have_run_marks(new, now)
        try:
            if records:
                self.journal.adopt_entries(Adoption(new=tuple(records), survives_kill=True))
        except (OSError, JournalFullError) as fault:
            self.log.say("custody", f"what {late.source} held of {late.book} cannot be written yet: {fault}")
            return  # its holder is asked again
        self._drop_unwritten([entry.message.ref for entry in new])
        added = [self.journal.live[entry.message.ref] for entry in new]
        outstanding = self._continue_entries(added, now, events)
        self.log.say(
            "custody",
            f"{late.book}: {late.source} held {len(outstanding)} messages and "
            f"{len(added) - len(outstanding)} final outcomes that the takeover did not bring",
        )

    def _withdraw_ended(self, late: LateEntries, now: datetime, events: list[api.Event]) -> None:
        """Withdraw the messages of a book that a former owner ended, and replicate that they ended."""
        live = {ref: entry for ref, entry in self._in_book(late.book).items() if ref in late.ended}
        for ref, entry in live.items():
            self._withdraw(ref, entry, now, events)
        if live:
            self._write([MessageEnded(ref, "withdrawn") for ref in live])
        self.custody.discard(late.book, [ref for ref in late.ended if ref not in live])

    def _withdraw(self, ref: str, entry: Entry, now: datetime, events: list[api.Event]) -> bool:
        """Drop a message that is neither sent nor ended here any more; return whether its notice was owed."""
        delivery = self._outstanding.get(ref)
        if delivery is not None and not delivery.over:
            if delivery.replicating:
                self._rejected_when_written.append(delivery)
                delivery.replicating = False
                for relay in delivery.held_relays:
                    self.post(RelayEnded(relay, api.Outcome.NOT_SENT, now - relay.begun_at))
            events.append(api.Withdrawn(ref))
            self._forget(delivery, now)
        if self._unanswered_notices.pop(ref, None) is None:
            return False
        self._unblock_key(entry.message.key, ref)
        return True

    def _lose_book(self, lost: Lost, now: datetime, events: list[api.Event]) -> None:
        """Drop the messages of a book that another sender owns now; they are neither sent nor ended here."""
        local = self._in_book(lost.book)
        self._recovered = self._recovered and [e for e in self._recovered if e.message.ref not in local]
        self._drop_unwritten(local)
        notices = sum(self._withdraw(ref, entry, now, events) for ref, entry in local.items())
        if local:
            self._write([MessageEnded(ref, "withdrawn") for ref in local])
            self.log.say(
                "custody",
                f"{lost.book} is {lost.owner}'s from term {lost.term} on: "
                f"{len(local) - notices} messages and {notices} notices are dropped here",
            )

    def _expire_book(self, expired: Expired, now: datetime) -> None:
        """Send the notices that no other sender will: after its deadline no sender delivers a message."""
        if expired.acks:
            self._end_expired_ids(expired, now)
            return
        recorded = {e.message.ref: e.ended for e in expired.entries if e.ended is not None}
        messages = [entry.message for entry in expired.entries] + [
            entry.message
            if (entry := self.journal.live.get(ref)) is not None
            else AcceptedMessage(ref, 0, "", "", now)
            for ref in expired.refs
        ]
        notified = 0
        for message in messages:
            ref, entry = message.ref, self.journal.live.get(message.ref)
            if ref in self._outstanding or ref in self._unanswered_notices or ref in self._ended_ids:
                continue
            bare = msgspec.structs.replace(message, body=b"", place=None, legacy_file=None, custody=None)
            ended = recorded.get(ref) or (entry.ended if entry is not None else None)
            ended = ended or MessageEnded(ref, "given_up")
            self._write([bare, ended] if entry is None else [ended] if entry.ended is None else [])
            self._ended_ids[ref] = now + REMEMBER_TIME
            self._send_notice(bare, ended)
            notified += 1
        self._log_expired(expired.book, notified)

    def _end_expired_ids(self, expired: Expired, now: datetime) -> None:
        """End messages of an owned book of which only the ids are known, by records of the book."""
        mark = Custody(expired.book, expired.acks)
        refs = [ref for ref in expired.refs if not self._is_known(ref)]
        messages = [AcceptedMessage(ref, 0, "", "", now, custody=mark) for ref in refs]
        ends = [MessageEnded(ref, "given_up") for ref in refs]
        self._write([*messages, *ends])
        # The book has to hold the ends of the others, too: known by other means, or refused by the disk.
        self.custody.discard(expired.book, [ref for ref in expired.refs if ref not in self.journal.live])
        for message, ended in zip(messages, ends, strict=True):
            self._ended_ids[message.ref] = now + REMEMBER_TIME
            self._send_notice(message, ended)
        self._log_expired(expired.book, len(refs))

    def _log_expired(self, book: str, count: int) -> None:
        if count:
            self.log.say(
                "custody",
                f"{count} messages of {book} are given up at their deadlines: no sender could take them over",
            )
