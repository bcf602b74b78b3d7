"""The decision loop's part in hand-ins: which messages are accepted, and what a repeat is answered."""

from __future__ import annotations

from datetime import datetime

import msgspec

from willownotch import interface as api
from willownotch.journal.records import AcceptedMessage, Record
from willownotch.net.decision_loop_replication import DEFAULT_RETRY_AFTER
from willownotch.net.delivery import Delivery, same_message
from willownotch.net.events import Answer, HandIn, Verdict


class HandInMixin:
    """The methods of `DecisionLoop` that take messages up."""

    def _hand_in(
        self,
        item: HandIn,
        now: datetime,
        events: list[api.Event],
        records: list[Record],
        new_deliveries: list[Delivery],
    ) -> None:
        """Add a message to this round, or answer its client at once if it is a repeat or is rejected.

        Its record, event and delivery are added to the lists; its client is answered after the round.
        """
        message = item.message
        if not item.pending.claim():
            self.bodies.discard(message)
            return
        if self.shared is not None:
            self.shared.record_demand(message.tenant)
        if self._answer_known(item, now):
            self.bodies.discard(message)
            return
        custody = self.custody.custody_for(message.message_class) if self.custody is not None else None
        rejection = self._find_rejection(message, custody is False)
        if rejection is None and not self._record_fits(message, new_deliveries, now, events):
            rejection = "full", "the disk space for the journal is used up"
        if rejection is not None:
            self._reject_hand_in(item, *rejection)
            return
        if custody:
            message = msgspec.structs.replace(message, custody=custody)
        delivery = self._outstanding[message.ref] = Delivery(
            message, pending=item.pending, accepted_by=item.pending
        )
        self._outstanding_count += 1
        new_deliveries.append(delivery)
        records.append(message)
        events.append(self._message_event(message, now))

    def _answer_known(self, item: HandIn, now: datetime) -> bool:
        """Answer a hand-in whose id is known: a repeat, a conflict, or one that may have run already."""
        message = item.message
        existing = self._outstanding.get(message.ref)
        if existing is not None and not existing.over:
            self._hand_in_repeat(item, existing)
            return True
        # Its client has no answer yet; if rejected, it would hand the message in under another id.
        recovered = next((e.message for e in self._recovered or () if e.message.ref == message.ref), None)
        owed = recovered or self._left_to_others.get(message.ref)
        if owed is not None and same_message(message, owed):
            item.pending.settle(Answer(Verdict.ACCEPTED))
            return True
        if self._ended_ids.get(message.ref, now) > now:
            item.pending.settle(Answer(Verdict.ACCEPTED))
            return True
        if self._id_in_use(message) and self._may_have_run(message):
            # 503 would invite a second execution under another id.
            item.pending.settle(Answer(Verdict.FAILED))
            self.log.say("conflict", f"{message.ref} was handed in before and may have been executed: failed")
            return True
        return False

    def _id_in_use(self, message: AcceptedMessage) -> bool:
        """Whether an id cannot be accepted now.

        A message that was handed back may be handed in again under its id, but not while one of its relays is
        in progress or its notice is unanswered.
        """
        tables = (self._outstanding, self._unanswered_notices, self._left_to_others)
        return any(message.ref in table for table in tables)

    def _find_rejection(self, message: AcceptedMessage, too_few_copies: bool) -> tuple[str, str] | None:
        """Why a message cannot be accepted now, as an event word and a text; None if it can."""
        checks = [
            (not self.lifecycle.current.listed, "early", "the sender is not ready yet"),
            (not self.hosts.listed(message.destination), "unlisted", "no endpoint of it is listed"),
            (self._id_in_use(message), "full", "its id is still in use"),
            (self._outstanding_count >= self.settings.holding_room, "full", "too many messages outstanding"),
            (too_few_copies, "custody", "too few other senders can hold a copy"),
        ]
        return next(((event, reason) for failed, event, reason in checks if failed), None)

    def _reject_hand_in(self, item: HandIn, event: str, reason: str) -> None:
        """Answer a client that its message is not accepted, and may be handed in again."""
        message = item.message
        self.bodies.discard(message)
        item.pending.settle(Answer(Verdict.REJECTED, DEFAULT_RETRY_AFTER, event))
        self.log.say(
            event,
            f"rejected {message.ref} for destination {message.destination}: {reason}, "
            f"{self._outstanding_count} of {self.settings.holding_room} outstanding",
        )

    def _may_have_run(self, message: AcceptedMessage) -> bool:
        """Whether a finished message, still remembered, may have been executed and must not be repeated."""
        if self._repeatable(message):
            return False
        existing, ended = (
            self._outstanding.get(message.ref),
            self._unanswered_notices.get(message.ref, (None, None))[1],
        )
        return (existing is not None and bool(existing.active_relays)) or (
            ended is not None and ended.outcome == "given_up"
        )

    def _hand_in_repeat(self, item: HandIn, existing: Delivery) -> None:
        """Answer a hand-in of an id that is outstanding: a repeat of the same message, or a conflict."""
        if not same_message(item.message, existing.message):
            self.log.say("conflict", f"{item.message.ref} is outstanding with other content: answered 409")
            item.pending.settle(Answer(Verdict.CONFLICT))
        elif existing.pending is not None:  # 503 would be wrong if the first hand-in is accepted after it
            existing.repeats.append(item.pending)
        else:
            existing.confirmed = True
            item.pending.settle(Answer(Verdict.ACCEPTED))
