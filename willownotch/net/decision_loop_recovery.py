"""The decision loop's part in a start: continues the messages and notices that the journal has."""

from __future__ import annotations

from collections.abc import Collection
from datetime import datetime

import msgspec

from willownotch import interface as api
from willownotch.journal.records import Entry, MessageEnded
from willownotch.net.clock import seconds
from willownotch.net.decision_loop_replication import REMEMBER_TIME
from willownotch.net.delivery import Delivery


class RecoveryMixin:
    """The methods of `DecisionLoop` for messages that were accepted before it had them."""

    def _recover(self) -> None:
        """Restore the state from the journal. Unanswered notices are sent at once; outstanding messages wait
        briefly for the list of endpoints."""
        self._recovered, lost = [], set(self.lost_bodies)
        now = self.clock.now()
        self._ended_ids.update(dict.fromkeys(self.journal.finished, now + REMEMBER_TIME))
        known: list[api.Event] = []
        self._share_budgets(now, known)
        known += self._spent_quotas(now)
        if self.slow_starts is not None:
            known.append(self.slow_starts.read(self.hosts.number))
        if known:
            self.controller.handle(self.clock.module_s(now), known)
        disowned = self._discard_disowned() if self.custody is not None else ()
        for entry in list(self.journal.live.values()):
            if entry.message.ref in disowned:
                continue  # the disk refused their removal, which is tried again
            if entry.message.custody is not None:
                if self.custody is not None and self.custody.is_of_former_process(entry.message.custody):
                    continue  # another sender may own its book by now: claimed first
                if self.custody is None and self._is_left_to_others(entry):
                    continue
                entry.message = msgspec.structs.replace(entry.message, custody=None)
            if self._can_continue(entry, lost):
                self._recovered.append(entry)
        if self._left_to_others:
            self.log.say(
                "recover",
                f"{len(self._left_to_others)} messages that must not run twice are left to the holders of "
                "their copies: replication is off",
            )
        outstanding, unanswered = len(self._recovered), len(self._unanswered_notices)
        self.log.say(
            "recover", f"{outstanding} messages owed and {unanswered} notices unanswered from before"
        )
        if self.config.known is not None:
            self._round([self.config.known])

    def _spent_quotas(self, now: datetime) -> list[api.QuotaSpent]:
        """What was spent of quotas before this process on messages that are still owed, by tenant."""
        ago_s: dict[str, list[float]] = {}
        for entry in self.journal.live.values():
            if entry.ended is None and not entry.message.over_share:
                accepted_at = entry.message.at or now
                ago_s.setdefault(entry.message.tenant, []).append(max(0.0, seconds(now - accepted_at)))
        return [
            api.QuotaSpent(self.tenants[name], tuple(spans))
            for name, spans in ago_s.items()
            if name in self.tenants
        ]

    def _can_continue(self, entry: Entry, lost: Collection[str] = ()) -> bool:
        """Whether delivery of a recovered message can continue. If not, its outcome is recorded and its
        notice is sent."""
        ref = entry.message.ref
        if entry.ended is not None:
            self._send_notice(entry.message, entry.ended)
            return False
        if entry.message.rules is None and entry.message.message_class not in self.classes:
            self.log.say("recover", f"{ref} given up: its class is no longer configured")
            ended = MessageEnded(ref, "given_up")
        elif entry.message.unkept or ref in lost:
            # There is nothing left to deliver, but the platform still has to learn the outcome.
            ran = any(entry.may_have_run(n) for n in range(entry.count()))
            ended = self._end_record(entry.message, ran)
            reason = "was held in memory only" if entry.message.unkept else "is missing or truncated"
            self.log.say("recover", f"{ref} {ended.outcome}: its body {reason}")
        else:
            return True
        self._write([ended])
        self._send_notice(entry.message, ended)
        return False

    def _restore(self, entry: Entry, now: datetime) -> api.Message:
        """The event for a recovered message, with its past attempts.

        A relay that was in progress when the process ended may have been executed; one without a record was
        never started.
        """
        past = []
        for number in range(entry.count()):
            started = entry.started.get(number)
            ago_s = seconds(now - started.at) if started else 0.0
            host = self.hosts.number(started.host) if started else 0
            past.append(api.PastAttempt(host, ago_s, entry.may_have_run(number)))
        self._outstanding[entry.message.ref] = Delivery(entry.message, relay_count=len(past))
        self._outstanding_count += 1
        return self._message_event(entry.message, now, tuple(past), accepted=True)
