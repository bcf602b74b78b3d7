"""The decision loop's part in disk space for bodies: ends messages to make room, or without a body."""

from __future__ import annotations

from datetime import datetime
from itertools import islice

from willownotch import interface as api
from willownotch.bodies.plan import Candidate, outcome_without_body
from willownotch.journal import records as journal_records
from willownotch.journal.records import AcceptedMessage, MessageEnded
from willownotch.net.attempts import RelayEnded
from willownotch.net.clock import millis, span
from willownotch.net.delivery import Delivery
from willownotch.net.events import MakeRoom
from willownotch.repeats import RAN_BY_OUTCOME
from willownotch.state import Ran

MAX_MESSAGES_SCANNED = 2000  # outstanding messages examined in one search for space


class BodiesMixin:
    """The methods of `DecisionLoop` that end messages whose bodies are given up or lost."""

    def _record_fits(
        self, message: AcceptedMessage, new_deliveries: list[Delivery], now: datetime, events: list[api.Event]
    ) -> bool:
        """Whether a message's record fits into the journal, if necessary after dropping other messages."""
        wanted = [*(delivery.message for delivery in new_deliveries), message]
        if self.journal.fits(wanted):
            return True
        candidates = [c for c in self._drop_candidates() if self._outstanding[c.ref].message.body]
        need = journal_records.bytes_to_reserve(message)
        for candidate in self.bodies.victims(message.message_class, need, candidates, inline=True):
            self._drop_message(candidate, message, now, events)
        return self.journal.fits(wanted)

    def _drop_candidates(self) -> list[Candidate]:
        """Messages that may be dropped to free space: of a class that allows it, with their client answered
        and no relay in progress."""
        plans, found, expected_wait_s = self.bodies.plans, [], {}
        for delivery in islice(self._outstanding.values(), MAX_MESSAGES_SCANNED):
            message = delivery.message
            plan = plans.get(message.message_class)
            if (
                plan is None
                or not plan.body_settings.drop
                or delivery.over
                or delivery.active_relays
                or delivery.pending is not None
            ):
                continue
            destination = message.destination
            if destination not in expected_wait_s:
                expected_wait_s[destination] = self.bodies.expected_wait_s(destination)
            found.append(
                Candidate(
                    message.ref,
                    message.message_class,
                    destination,
                    message.body_size(),
                    expected_wait_s[destination],
                )
            )
        return found

    def _make_room(self, item: MakeRoom, now: datetime, events: list[api.Event]) -> None:
        """End messages that may be dropped, so that a more valuable body can be stored."""
        if not item.pending.claim():
            return
        admission, message = item.admission, item.message
        chosen = self.bodies.victims(
            message.message_class,
            admission.bytes_needed,
            [c for c in self._drop_candidates() if self._outstanding[c.ref].message.place],
            admission.destination,
        )
        for candidate in chosen:
            self._drop_message(candidate, message, now, events)

    def _drop_message(
        self, candidate: Candidate, message: AcceptedMessage, now: datetime, events: list[api.Event]
    ) -> None:
        """End a message to free the space of its body for `message`."""
        self._end_without_body(
            self._outstanding[candidate.ref],
            f"of {candidate.size} bytes makes room for {message.message_class} " f"{message.ref}",
            now,
            events,
        )

    def _end_without_body(
        self,
        delivery: Delivery,
        reason: str,
        now: datetime,
        events: list[api.Event],
        last: RelayEnded | None = None,
    ) -> None:
        """End a message whose body is gone, at once and with a notice.

        Its record is written right away, since messages accepted in this round may need the space. `last` is
        the relay's end that brought this about, if any: that relay is judged by its outcome, not by its
        journal record, which does not say yet how it ended.
        """
        ref, entry = delivery.message.ref, self.journal.live.get(delivery.message.ref)
        number = last.relay.number if last is not None else -1
        ran = (
            bool(delivery.active_relays)
            or entry is None
            or any(entry.may_have_run(n) for n in range(entry.count()) if n != number)
        )
        ran = ran or (last is not None and RAN_BY_OUTCOME[last.outcome] is not Ran.NEVER)
        ended = self._end_record(delivery.message, ran)
        self.log.say("dropped", f"{ref} {ended.outcome}: its body {reason}")
        self._write([ended])
        events.append(api.Withdrawn(ref))
        self._ended_without_body.append((delivery, ended))
        self._forget(delivery, now, remember=ended.outcome == "given_up")

    def _end_record(self, message: AcceptedMessage, ran: bool) -> MessageEnded:
        """The final outcome of a message without a body. `ran`: it may have been executed."""
        outcome = outcome_without_body(self._class_of_message(message).idempotency, ran)
        limit = span(self.settings.max_retry_after_s)
        retry = millis(min(limit, self.bodies.settings.come_back)) if outcome == "handed_back" else 0
        return MessageEnded(message.ref, outcome, retry or None)
