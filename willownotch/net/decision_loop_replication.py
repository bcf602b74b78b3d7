"""The owner's part in replication: messages that other senders hold copies of, and books that come and go.

Loaded with the owner; nothing of it runs unless the settings turn replication on.
"""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

import msgspec

from willownotch import interface as api
from willownotch.journal import records as kept_records
from willownotch.journal.records import AcceptedMessage, Entry, MessageEnded, Record
from willownotch.net.endpoint_side import RelayEnded
from willownotch.net.events import Answer, Copied, Verdict
from willownotch.net.journal import JournalFullError

if TYPE_CHECKING:
    from willownotch.net.decision_loop import Owed
    from willownotch.replica.core import Expired, Lost, Won

BACK_OFF = timedelta(milliseconds=500)  # told with a rejection where the module has no better figure
COPY_LEAST, COPY_MOST = timedelta(milliseconds=10), timedelta(milliseconds=320)  # for copies; since it came
REMEMBERED = timedelta(seconds=15)  # ended messages whose id is still known, should it be handed in again
UNKNOWN_HOST = "?"  # of a call that may have been made, by what copies say


class ReplicationMixin:
    """Methods of `Owner` that it calls where messages are replicated."""

    def _await_copies(self, owed: Owed) -> None:
        """Its client is told, and its relays begin, once others hold the message."""
        ref, pending, owed.copying = owed.message.ref, owed.pending, True
        since = self.clock.now() - (owed.message.at or self.clock.now())
        patience = max(COPY_LEAST, min(self.custody.settings.patience, COPY_MOST - since))
        self.custody.wait(
            owed.message.custody, patience, True, lambda ok: self.post(Copied(ref, pending, ok))
        )

    def _copied(self, item: Copied, now: datetime, events: list[api.Event], records: list[Record]) -> None:
        owed = self._outstanding.get(item.ref)
        if owed is None or not owed.copying or owed.by is not item.pending:
            return
        owed.copying, parked, owed.parked = False, owed.parked, []
        if item.ok and not owed.over:
            owed.pending.settle(Answer(Verdict.ACCEPTED))
            for relay in parked:
                self._launch(relay)
        else:
            for relay in parked:
                self.post(RelayEnded(relay, api.Outcome.NOT_SENT, now - relay.begun_at))
            if not owed.over:
                owed.pending.settle(Answer(Verdict.REJECTED, BACK_OFF))
                records.append(MessageEnded(item.ref, "withdrawn"))
                events.append(api.Withdrawn(item.ref))
                self._forget(owed, now)
        owed.pending = None

    def _in_book(self, book: str) -> dict[str, Entry]:
        return {
            ref: entry
            for ref, entry in self.journal.live.items()
            if entry.message.custody is not None and entry.message.custody.book == book
        }

    def _take_over(self, won: Won, now: datetime, events: list[api.Event]) -> None:
        """Go on with what another sender, or a former process of this one, held."""
        local = self._in_book(won.book)
        found = {entry.message.ref: entry for _, entry in won.entries}
        # Of what this folder alone has, enough copies would know if it were still owed.
        kept = {
            ref: e for ref, e in local.items() if ref not in found and not won.sure(e.message.custody.acks)
        }
        known = [
            ref for ref in found if ref in self._outstanding or ref in self._ended or ref in self._unanswered
        ]
        taken = [entry for ref, entry in found.items() if ref not in known]
        unsure = [e for e in taken if e.ended is None and not won.sure(e.message.custody.acks)]
        orphans = [
            ref
            for ref in won.refs
            if ref not in kept
            and ref not in self._outstanding
            and ref not in self._ended
            and ref not in self._unanswered
        ]
        orphans = [] if won.sure(1) else orphans
        try:
            adopted = [
                *(MessageEnded(ref, "withdrawn") for ref in local),
                *(record for entry in taken for record in entry.records()),
            ]
            if adopted:
                self.journal.append(adopted, adopted=True)
        except (OSError, JournalFullError) as fault:
            self.log.say("custody", f"{won.book} was not taken over, for want of room: {fault}")
            self.custody.declined(won.book)
            return
        self.custody.adopting(won)
        self.custody.adopted(won, {entry.message.ref: entry.message.ends_at for entry in taken})
        self.custody.ended(won.book, known)
        ends = {ref: now + timedelta(milliseconds=won.refs[ref]) for ref in orphans}
        more: list[Record] = [r for entry in kept.values() for r in entry.records()]
        more += [kept_records.RelayStarted(e.message.ref, e.count(), now, UNKNOWN_HOST) for e in unsure]
        more += [
            AcceptedMessage(ref, 0, "", "", at, custody=kept_records.Custody(won.book, 1))
            for ref, at in ends.items()
        ]
        more += [MessageEnded(ref, "given_up") for ref in orphans]
        self._write(more)
        entries = [
            self.journal.live[ref]
            for ref in [*(e.message.ref for e in taken), *kept, *orphans]
            if ref in self.journal.live
        ]
        open_ones = [entry for entry in entries if self._still_owed(entry)]
        if self._recovered is not None:
            self._recovered += open_ones
        else:
            events += [self._recall(entry, now) for entry in open_ones]
        sure = (
            "all that was promised is among them"
            if won.sure(1)
            else (f"{won.answers} of {won.of} copies answered, so some may be missing, and all may have run")
        )
        self.log.say(
            "custody",
            f"{won.book} of {won.before or 'nobody'} is taken over at term {won.term}: "
            f"{len(open_ones)} messages, {len(entries) - len(open_ones)} ends; {sure}",
        )

    def _lose_book(self, lost: Lost, now: datetime, events: list[api.Event]) -> None:
        """Drop what another sender has now: it is neither sent nor ended here."""
        local = self._in_book(lost.book)
        self._recovered = self._recovered and [e for e in self._recovered if e.message.ref not in local]
        self._unwritten = [r for r in self._unwritten if r.ref not in local]
        notices = 0
        for ref, entry in local.items():
            owed = self._outstanding.get(ref)
            if owed is not None and not owed.over:
                if owed.copying:
                    owed.pending.settle(Answer(Verdict.REJECTED, BACK_OFF))
                    owed.copying, owed.pending = False, None
                    for relay in owed.parked:
                        self.post(RelayEnded(relay, api.Outcome.NOT_SENT, now - relay.begun_at))
                events.append(api.Withdrawn(ref))
                self._forget(owed, now)
            if self._unanswered.pop(ref, None) is not None:
                notices += 1
                self._open_gate(entry.message.key, ref)
        if local:
            self._write([MessageEnded(ref, "withdrawn") for ref in local])
            self.log.say(
                "custody",
                f"{lost.book} is {lost.owner}'s from term {lost.term} on: "
                f"{len(local) - notices} messages and {notices} notices are dropped here",
            )

    def _expire(self, expired: Expired, now: datetime) -> None:
        """Tell the ends that nobody else will: past a deadline no sender delivers any more."""
        fresh = [entry.message for entry in expired.entries] + [
            entry.message
            if (entry := self.journal.live.get(ref)) is not None
            else AcceptedMessage(ref, 0, "", "", now)
            for ref in expired.refs
        ]
        told = 0
        for taken in fresh:
            ref, entry = taken.ref, self.journal.live.get(taken.ref)
            if ref in self._outstanding or ref in self._unanswered or ref in self._ended:
                continue
            bare = msgspec.structs.replace(taken, body=b"", place=None, legacy_file=None, custody=None)
            ended = (
                entry.ended
                if entry is not None and entry.ended is not None
                else MessageEnded(ref, "given_up")
            )
            self._write([bare, ended] if entry is None else [ended] if entry.ended is None else [])
            self._ended[ref] = now + REMEMBERED
            self._owe_notice(bare, ended)
            told += 1
        if told:
            self.log.say(
                "custody",
                f"{told} messages of {expired.book} are told as given up at their "
                "deadlines: nobody could take them over",
            )
