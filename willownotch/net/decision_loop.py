"""The single thread that runs the decision module: items from a queue and due timers in, actions out.

Each message comes in as a `HandIn` and reaches exactly one final outcome. Nothing here depends on the
transport: another protocol would hand in the same `AcceptedMessage` and wait on the same `PendingReply`.
"""

from __future__ import annotations

import heapq
import itertools
import queue
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

import msgspec

from willownotch import interface as api
from willownotch.bodies.store import Bodies
from willownotch.control import Controller
from willownotch.journal import records as journal_records
from willownotch.journal.records import AcceptedMessage, Entry, MessageEnded, Record, RelayFailed
from willownotch.lifecycle import Event, SharedLifecycle
from willownotch.net import bulk, http
from willownotch.net.attempts import DEADLINE_MARGIN, Relay, RelayEnded
from willownotch.net.clock import ZERO, Clock, millis, seconds, span
from willownotch.net.config import Config, ListUpdate
from willownotch.net.decision_loop_bodies import BodiesMixin
from willownotch.net.decision_loop_hand_in import HandInMixin
from willownotch.net.decision_loop_handover import HandoverMixin
from willownotch.net.decision_loop_recovery import RecoveryMixin
from willownotch.net.decision_loop_replication import (
    DEFAULT_RETRY_AFTER,
    REMEMBER_TIME,
    LeftToOthers,
    ReplicationMixin,
)
from willownotch.net.delivery import Delivery, soonest_first
from willownotch.net.events import (
    Answer,
    BodyLost,
    BookAcquired,
    BookExpired,
    BookLost,
    Flush,
    HandIn,
    HandOver,
    LateEntriesFound,
    MakeRoom,
    NoticeReplicated,
    NoticesAnswered,
    QueueItem,
    RemoteEnded,
    ReplicationEnded,
    SettingsUpdate,
    SharedStateUpdate,
    TenantParts,
    Verdict,
    Withdraw,
)
from willownotch.net.journal import Journal, JournalFullError, JournalUncertainError
from willownotch.net.log import Log
from willownotch.net.notices import Notice
from willownotch.net.registry import Hosts
from willownotch.net.rules import class_of
from willownotch.net.slow_start_file import SlowStartFile
from willownotch.repeats import RAN_BY_OUTCOME
from willownotch.state import Ran

if TYPE_CHECKING:
    from willownotch.replica.service import CustodyService
    from willownotch.shared.service import BudgetParts, EndpointFindings, SharedState

FIRST_LIST_TIMEOUT = timedelta(milliseconds=300)  # for which recovered messages wait for a list of endpoints
KILL_AFTER = timedelta(milliseconds=3500)  # earliest SIGKILL after SIGTERM, less a margin
MAX_ITEMS_PER_ROUND = 256
SPARE_FORECASTS = 64  # forecasts kept for unlisted destinations before they are purged
MAX_BULK_CALL_BYTES = http.MAX_BODY_BYTES  # of one call, whatever batch size its destination kind allows
WRITE_RETRY_DELAY = timedelta(milliseconds=500)  # between attempts to write records that the disk refused
# Time between the starts of two rounds: this many times the last round's duration, within a bound.
ROUND_GAP_FACTOR, MAX_ROUND_GAP = 3, timedelta(milliseconds=40)


class DecisionLoop(BodiesMixin, HandInMixin, HandoverMixin, RecoveryMixin, ReplicationMixin):
    """Runs the decision module. Other threads reach it only through `post` and the methods that say so."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        log: Log,
        journal: Journal,
        hosts: Hosts,
        bodies: Bodies,
        lifecycle: SharedLifecycle,
        shares_judgements: bool = False,
    ) -> None:
        self.lifecycle, self.shares_judgements = lifecycle, shares_judgements
        self.config, self.clock, self.log, self.journal, self.hosts = config, clock, log, journal, hosts
        self.bodies = bodies
        self.settings = self._settings_of(config)
        self.controller = Controller(self.settings, config.seed)
        self._index_names()
        self.submit: Callable[..., None] = lambda *relays: None  # all of them in one call
        self.cancel: Callable[[Relay], None] = lambda relay: None
        self.notify: Callable[[Notice], None] = lambda notice: None
        # To the process that has taken over.
        self.forward: Callable[[RelayEnded | Withdraw], None] = lambda item: None
        self.list_index = config.known.index if config.known is not None else 0
        # Applies new settings to the other parts of the process.
        self.retuned: Callable[[Config], None] = lambda config: None
        self.listed: Callable[[int], None] = lambda count: None  # told how many endpoints are listed
        self.shared: SharedState | None = None  # set if budgets or judgements are shared
        self._budget_parts: BudgetParts | None = None  # parts of budgets last received
        self.custody: CustodyService | None = None  # set if messages are replicated
        self.slow_starts: SlowStartFile | None = None  # set if slow starts outlast the process
        self.stopped_at: datetime | None = None
        self._inbox: queue.SimpleQueue[QueueItem] = queue.SimpleQueue()
        self._timers: list[tuple[datetime, int, int | Relay | LeftToOthers]] = []
        self._timer_order = itertools.count()
        self._outstanding: dict[str, Delivery] = {}
        self._unanswered_notices: dict[str, tuple[AcceptedMessage, MessageEnded]] = {}  # by id
        self._key_blockers: dict[str, set[str]] = {}  # by key: ids whose notice its next relay waits for
        self._blocked_relays: dict[str, list[Relay]] = {}  # by key
        self._ended_ids: dict[str, datetime] = {}  # by id: when a finished message is forgotten
        self._recovered: list[Entry] | None = []
        self._left_to_others: dict[str, AcceptedMessage] = {}  # by id; see `_leave_to_others`
        self.lost_bodies: list[str] = []  # ids of messages whose body was missing at the start
        self._has_list = False
        self._started_at = clock.now()
        self._round_started_at = self._started_at  # the last round's
        self._round_duration = ZERO  # the last round's
        self._never_set = threading.Event()  # never set; used for interruptible sleeps
        self._outstanding_count = 0  # messages without a final outcome
        self._new_relays: list[Relay] = []  # decided on in this round
        self._unwritten_records: list[Record] = []  # refused by the disk
        # By id: notices of replicated messages whose ends are among these, and until when they wait for it.
        self._notices_to_write: dict[str, datetime] = {}
        # Recorded, not copied in time and withdrawn in this round; their clients wait.
        self._rejected_when_written: list[Delivery] = []
        self._ended_without_body: list[tuple[Delivery, MessageEnded]] = []  # in this round

    def _settings_of(self, config: Config) -> api.Settings:
        """The decision module's settings. Where senders share judgements, it may always publish its own."""
        return replace(config.settings, may_tell=True) if self.shares_judgements else config.settings

    def _index_names(self) -> None:
        """Map the names of classes and tenants to the numbers that the decision module uses."""
        self.classes = {c.name: n for n, c in enumerate(self.settings.classes)}
        self.tenants = {t.name: n for n, t in enumerate(self.settings.tenants)}

    def post(self, item: QueueItem) -> None:
        """Append an item to the queue. Thread-safe."""
        self._inbox.put(item)

    def notices_answered(self, refs: list[str]) -> None:
        """Report that the notices of these messages were answered. Thread-safe."""
        self.post(NoticesAnswered(refs))

    def would_reject(self, message: AcceptedMessage) -> bool:
        """Whether a hand-in would be rejected at present, whatever its body. Thread-safe."""
        return (
            not self.lifecycle.current.listed
            or self._outstanding_count >= self.settings.holding_room
            or not self.hosts.listed(message.destination)
        )

    def run(self) -> None:
        """Restore the journal's messages, then run rounds until the process ends or another takes over."""
        if self._recovered is not None:
            self._recover()
        while True:
            items = self._next_items()
            self._round([item for item in items if not isinstance(item, HandOver)])
            for order in items:
                if isinstance(order, HandOver) and self._pause_for_handover(order):
                    self._forward_items()

    def _next_items(self) -> list[QueueItem]:
        """The items of the next round. Blocks until there is one or a timer is due."""
        due = self._timers[0][0] if self._timers else None
        list_due = self._started_at + FIRST_LIST_TIMEOUT
        if self._recovered is not None and self.clock.now() < list_due:
            due = list_due if due is None else min(due, list_due)
        if self._unwritten_records:
            due = min(due or datetime.max.replace(tzinfo=UTC), self._round_started_at + WRITE_RETRY_DELAY)
        try:
            left = None if due is None else max(0.0, seconds(due - self.clock.now()))
            items = [self._inbox.get(timeout=left)]
        except queue.Empty:
            items = []
        # A round costs about the same for one event as for many. Under load events share a round, which
        # leaves most of the CPU to the socket threads; otherwise answers, outcomes and notices come late.
        gap = max(self.config.period, min(MAX_ROUND_GAP, ROUND_GAP_FACTOR * self._round_duration))
        if (early := self._round_started_at + gap - self.clock.now()) > ZERO:
            self._never_set.wait(seconds(early))
        while len(items) < MAX_ITEMS_PER_ROUND and not self._inbox.empty():
            items.append(self._inbox.get())
        return items

    def _round(self, items: list[QueueItem]) -> None:
        """One round: collect events, decide once, write the journal, then act.

        Nothing leaves the process before its record is written.
        """
        now = self._round_started_at = self.clock.now()
        events: list[api.Event] = []
        records: list[Record] = []
        new_deliveries: list[Delivery] = []
        if self._budget_parts is not None and time.monotonic() > self._budget_parts.until:
            self._expire_budget_parts(events)
        for item in items:
            self._process_item(item, now, events, records, new_deliveries)
        waited = now - self._started_at >= FIRST_LIST_TIMEOUT
        if self._recovered is not None and (waited or (self._has_list and self._heard_from_watch(items))):
            # Also without any list: deadlines pass meanwhile, and every message needs an outcome.
            for entry in soonest_first(self._recovered):
                events.append(self._restore(entry, now))
            self._recovered = None
        if self._recovered is None and self._has_list and not self.lifecycle.current.listed:
            self.lifecycle.tell(Event.LISTED, now)
        self._fire_timers(now, events)
        actions = self.controller.handle(self.clock.module_s(now), events) if events else []
        self._note_over_share(new_deliveries, records)
        ends = self._final_outcomes(actions, records, new_deliveries)
        self._write(records)
        self._release_written_notices(now)
        self._answer_withdrawn()
        self._answer_clients(new_deliveries, ends)
        for delivery, ended in self._ended_without_body:
            self._send_notice(delivery.message, ended)
        self._ended_without_body.clear()
        for item in items:
            if isinstance(item, MakeRoom):
                item.pending.settle(True)
        for ref, ended in ends.items():
            delivery = self._outstanding[ref]
            if delivery.replicating:  # its client has not been answered yet
                self._answer_with_end(delivery, ended)
            elif delivery.pending is None:
                self._send_notice(delivery.message, ended)
            self._forget(delivery, now, remember=ended.outcome == "given_up" and delivery.pending is None)
        for action in actions:
            self._carry_out(action, now)
        for relays in self._group_into_calls():
            self.submit(*relays)
        if self.slow_starts is not None and self.slow_starts.due(now):
            self.slow_starts.write(self.controller.slow_starts(), self.hosts.name, now)
        self._round_duration = self.clock.now() - now

    def _heard_from_watch(self, items: list[QueueItem]) -> bool:
        """Whether the watch has delivered a list; the one from the configuration does not count."""
        return any(isinstance(item, ListUpdate) and item is not self.config.known for item in items)

    def _process_item(
        self,
        item: QueueItem,
        now: datetime,
        events: list[api.Event],
        records: list[Record],
        new_deliveries: list[Delivery],
    ) -> None:
        """Process one item of the queue; what concerns the decision module is added to `events`."""
        if isinstance(item, HandIn):
            self._hand_in(item, now, events, records, new_deliveries)
        elif isinstance(item, RelayEnded):
            self._relay_ended(item, now, events, records)
        elif isinstance(item, RemoteEnded):
            for ended in self._remote_ended(item, now):
                self._relay_ended(ended, now, events, records)
        elif isinstance(item, Flush):
            item.done.set()
        elif isinstance(item, ListUpdate):
            endpoint_list, _ = self.hosts.read(item)
            self.list_index = item.index
            self._has_list = self._has_list or bool(endpoint_list.entries)
            self.listed(len(self.hosts.by_number))
            events.append(endpoint_list)
            if len(self.bodies.forecasts) > 2 * len(self.hosts.by_number) + SPARE_FORECASTS:
                self.bodies.forget_destinations({host.destination for host in self.hosts.by_number.values()})
        elif isinstance(item, NoticesAnswered):
            for ref in item.refs:
                self._notice_answered(ref, records)
        elif isinstance(item, MakeRoom):
            self._make_room(item, now, events)
        elif isinstance(item, TenantParts):
            events += [
                api.TenantPart(self.tenants[name], part)
                for name, part in item.parts.items()
                if name in self.tenants
            ]
        elif isinstance(item, SharedStateUpdate):
            self._apply_shared_state(item.found, now, events)
        elif isinstance(item, ReplicationEnded):
            self._replication_ended(item, now, events, records)
        elif isinstance(item, NoticeReplicated):
            if item.ref in self._unanswered_notices:
                _, ended = self._unanswered_notices[item.ref]
                self.notify(Notice(item.ref, ended.outcome, ended.retry_in_ms))
        elif isinstance(item, BookAcquired):
            self._take_over(item.acquired, now, events)
        elif isinstance(item, LateEntriesFound):
            self._take_in_late(item.late, now, events)
        elif isinstance(item, BookLost):
            self._lose_book(item.lost, now, events)
        elif isinstance(item, BookExpired):
            self._expire_book(item.expired, now)
        elif isinstance(item, SettingsUpdate):
            self._apply_settings(item.config, events)
        elif isinstance(item, BodyLost):
            delivery = self._outstanding.get(item.ref)
            idle = (
                delivery is not None
                and not delivery.over
                and not delivery.active_relays
                and not delivery.replicating
            )
            if idle:  # otherwise the relay itself finds that the body is missing
                self._end_without_body(delivery, "is missing or damaged", now, events)
        elif isinstance(item, Withdraw):
            delivery = self._outstanding.get(item.ref)
            # Only the hand-in that started it may withdraw it; the id alone proves nothing.
            if (
                delivery is not None
                and delivery.accepted_by is item.pending
                and not delivery.over
                and not delivery.confirmed
            ):
                records.append(MessageEnded(item.ref, "withdrawn"))
                events.append(api.Withdrawn(item.ref))
                self._forget(delivery, now)
        else:
            self.stopped_at = now
            self.log.say("stop", "SIGTERM: accepting and delivering messages until killed")
            events.append(api.Stopping(seconds(KILL_AFTER)))

    def _apply_shared_state(
        self, found: BudgetParts | EndpointFindings, now: datetime, events: list[api.Event]
    ) -> None:
        """Turn state shared by other senders into events for the decision module."""
        if hasattr(found, "parts"):
            self._budget_parts = found
            events += [
                api.TenantPart(self.tenants[name], part, name in found.hard)
                for name, part in found.parts.items()
                if name in self.tenants
            ]
            return
        for name, works in found.works:
            if (number := self.hosts.number_listed(name)) is not None:
                events.append(api.PeerJudgement(number, works))
                self.log.say("shared", f"{name} {'works' if works else 'fails'}, by what others say")
        events += [
            api.ProbeEnded(number, api.Outcome.NOT_SENT, 0.0, limit_per_s=limit)
            for name, limit in found.limits
            if (number := self.hosts.number_listed(name)) is not None
        ]

    def _share_budgets(self, now: datetime, events: list[api.Event]) -> None:
        """Share the quotas of the present settings, and add the parts, before any hand-in is decided."""
        if self.shared is None:
            return
        parts = self.shared.configure({t.name: t.quota_per_s for t in self.settings.tenants})
        if parts is not None:
            self._apply_shared_state(parts, now, events)

    def _expire_budget_parts(self, events: list[api.Event]) -> None:
        """Fall back to the parts of budgets that are never lent, since the received ones have expired."""
        last, self._budget_parts = self._budget_parts, None
        events += [
            api.TenantPart(self.tenants[name], min(part, last.floor), name in last.hard)
            for name, part in last.parts.items()
            if name in self.tenants
        ]
        self.log.say("shared", "parts of budgets are no longer received: only what is never lent is spent")

    def _apply_settings(self, config: Config, events: list[api.Event]) -> None:
        """Apply new settings from this round on. Outstanding messages keep the rules of their acceptance."""
        self.config, self.settings = config, self._settings_of(config)
        self._index_names()
        self.retuned(config)
        events.append(api.SettingsChanged(self.settings))
        self._share_budgets(self.clock.now(), events)
        self.log.say(
            "retune",
            f"new settings hold: classes {', '.join(self.classes)}, "
            f"{self.settings.max_attempts} attempts, {self.settings.slots} slots, room for "
            f"{self.settings.holding_room}; {self._outstanding_count} outstanding messages keep their rules",
        )

    def _class_of_message(self, message: AcceptedMessage) -> api.MessageClass:
        """The class of a message, with the rules that it was accepted under."""
        if message.rules is not None:
            return class_of(message.message_class, message.rules)
        return self.settings.classes[self.classes[message.message_class]]

    def _repeatable(self, message: AcceptedMessage) -> bool:
        """Whether a message may be executed more than once."""
        return self._class_of_message(message).idempotency is not api.Idempotency.UNSAFE

    def _message_event(
        self,
        message: AcceptedMessage,
        now: datetime,
        past: tuple[api.PastAttempt, ...] = (),
        accepted: bool = False,
    ) -> api.Message:
        """The decision module's event for a message; `accepted` before this process had it, with attempts."""
        return api.Message(
            message.ref,
            message.destination,
            self.classes.get(message.message_class, 0),
            seconds(message.ends_at - now),
            self.tenants.get(message.tenant),
            message.key,
            is_retry=message.is_retry or bool(past),
            past=past,
            rules=self._class_of_message(message),
            accepted=accepted,
            over_share=message.over_share,
        )

    def _relay_ended(
        self, ended: RelayEnded, now: datetime, events: list[api.Event], records: list[Record]
    ) -> None:
        """Record the end of a relay and add its event. If it is `over`, the message ends too."""
        relay, ref = ended.relay, ended.relay.message.ref
        delivery = self._outstanding.get(ref)
        if delivery is None or delivery.active_relays.pop(relay.number, None) is None:
            return
        if not delivery.over:
            if ended.over:
                delivered = ended.outcome is api.Outcome.DELIVERED
                records.append(MessageEnded(ref, "delivered" if delivered else "withdrawn"))
            else:
                records.append(RelayFailed(ref, relay.number, RAN_BY_OUTCOME[ended.outcome] is not Ran.NEVER))
        self.bodies.observe(delivery.message.destination, ended.outcome, ended.wait)
        if self.shared is not None and ended.limit_per_s and relay.host is not None:
            self.shared.limit(time.monotonic(), relay.host.name, ended.limit_per_s)
        if not delivery.over and not ended.over and not delivery.active_relays:
            # Before the event of the relay's end, on which alone the module could ask for another relay.
            if ended.lost:
                self._end_without_body(delivery, "is missing or damaged", now, events, ended)
            elif delivery.message.unkept and relay.started:
                self._end_without_body(delivery, "was held in memory for one relay only", now, events, ended)
        final = delivery.over or ended.over
        events.append(
            api.AttemptEnded(
                ref,
                relay.number,
                relay.endpoint,
                ended.outcome,
                seconds(ended.took),
                final,
                seconds(ended.wait),
                ended.no_slot,
                ended.room_left,
                ended.limit_per_s,
                ended.unreadable,
            )
        )
        if final:
            self._forget(delivery, now, remember=ended.outcome is api.Outcome.DELIVERED)

    def _fire_timers(self, now: datetime, events: list[api.Event]) -> None:
        """Process due timers: those of the decision module, of blocked relays and of remote calls."""
        while self._timers and self._timers[0][0] <= now:
            target = heapq.heappop(self._timers)[2]
            if isinstance(target, LeftToOthers):
                self._end_left_to_others(target.ref)
            elif isinstance(target, Relay) and target.remote:
                self._give_up_remote(target, now)
            elif isinstance(target, Relay):
                waiting = self._blocked_relays.get(target.message.key or "", [])
                if target in waiting:
                    waiting.remove(target)
                    self.post(RelayEnded(target, api.Outcome.NOT_SENT, now - target.begun_at))
            else:
                events.append(api.Timer(target))

    def _note_over_share(self, new_deliveries: list[Delivery], records: list[Record]) -> None:
        """Put it into the record of a message that it is above its tenant's quota: it stays worth less."""
        noted = {}
        for delivery in new_deliveries:
            if self.controller.is_over_share(delivery.message.ref):
                delivery.message = msgspec.structs.replace(delivery.message, over_share=True)
                noted[delivery.message.ref] = delivery.message
        records[:] = [noted.get(r.ref, r) if isinstance(r, AcceptedMessage) else r for r in records]

    def _final_outcomes(
        self, actions: list[api.Action], records: list[Record], new_deliveries: list[Delivery]
    ) -> dict[str, MessageEnded]:
        """The final outcomes among the actions, by id; their records are added to `records`.

        A message rejected in the round of its own hand-in needs neither a record nor a notice.
        """
        ends = {}
        for action in actions:
            if isinstance(action, api.Refuse):
                retry = millis(span(action.retry_after_s)) or None
                ends[action.ref] = MessageEnded(action.ref, "handed_back", retry)
            elif isinstance(action, api.Fail):
                ends[action.ref] = MessageEnded(action.ref, "given_up")
        rejected = {delivery.message.ref for delivery in new_deliveries if delivery.message.ref in ends}
        for delivery in new_deliveries:
            if delivery.message.ref in rejected:
                self.bodies.discard(delivery.message)
        records[:] = [r for r in records if not (isinstance(r, AcceptedMessage) and r.ref in rejected)]
        records += [
            MessageEnded(ref, "withdrawn") if self._outstanding[ref].replicating else ended
            for ref, ended in ends.items()
            if ref not in rejected
        ]
        return ends

    def _write(self, records: list[Record]) -> None:
        """Append records to the journal, after those that it refused before. On failure, reject the messages
        that would have been accepted."""
        records, self._unwritten_records = [*self._unwritten_records, *records], []
        if not records:
            return
        try:
            self.journal.append(records)
        except (OSError, JournalFullError) as fault:
            # Nothing may be accepted without a record. Final outcomes are still reported.
            unwritten = {r.ref for r in records if isinstance(r, AcceptedMessage)}
            # If a record may be in the file, the next process will deliver the message: 503 would be wrong.
            uncertain = isinstance(fault, JournalUncertainError)
            answer = (
                Answer(Verdict.FAILED)
                if uncertain
                else Answer(Verdict.REJECTED, DEFAULT_RETRY_AFTER, "not written")
            )
            self.log.say(
                "journal",
                f"{len(records)} records could not be written: {fault}; "
                f"{'failed' if uncertain else 'rejected'}: {', '.join(sorted(unwritten)) or 'no message'}",
            )
            # Outcomes of earlier messages are reported now and recorded once the disk accepts writes again.
            self._unwritten_records = [r for r in records if r.ref not in unwritten]
            for delivery in [self._outstanding[ref] for ref in unwritten if ref in self._outstanding]:
                if delivery.pending is not None:
                    delivery.answer(answer)
                    delivery.pending = None
                delivery.unwritten = True
                self.bodies.discard(delivery.message)
                self.post(Withdraw(delivery.message.ref, delivery.accepted_by))

    def _answer_clients(self, new_deliveries: list[Delivery], ends: dict[str, MessageEnded]) -> None:
        """Answer the clients whose hand-ins were decided in this round."""
        for delivery in new_deliveries:
            ended = ends.get(delivery.message.ref)
            if delivery.pending is None:
                continue
            if ended is not None:
                self._answer_with_end(delivery, ended)
            elif delivery.message.custody is not None and self.custody is not None:
                self._await_copies(delivery)
            else:
                delivery.answer(Answer(Verdict.ACCEPTED))
                delivery.pending = None

    @staticmethod
    def _answer_with_end(delivery: Delivery, ended: MessageEnded) -> None:
        """Answer a waiting client with the final outcome of its message."""
        if ended.outcome == "handed_back":
            retry = timedelta(milliseconds=ended.retry_in_ms) if ended.retry_in_ms else DEFAULT_RETRY_AFTER
            delivery.answer(Answer(Verdict.REJECTED, retry))
        else:
            delivery.answer(Answer(Verdict.FAILED))

    def _send_notice(self, message: AcceptedMessage, ended: MessageEnded) -> None:
        """Notify the platform of a final outcome. The next relay of its key waits for the answer."""
        ref = message.ref
        self._unanswered_notices[ref] = message, ended
        if message.key is not None:
            self._key_blockers.setdefault(message.key, set()).add(ref)
        if message.custody is None or self.custody is None:
            self.notify(Notice(ref, ended.outcome, ended.retry_in_ms))
        else:
            self._send_replicated_notice(message)

    def _notice_answered(self, ref: str, records: list[Record]) -> None:
        """Record that the platform has answered the notice of a message, and unblock its key."""
        message, _ = self._unanswered_notices.pop(ref, (None, None))
        if message is None:
            return
        records.append(journal_records.NoticeAnswered(ref))
        self._unblock_key(message.key, ref)

    def _unblock_key(self, key: str | None, ref: str) -> None:
        """Stop this message's notice from blocking its key; start the relays that waited for the last one."""
        blockers = self._key_blockers.get(key or "", set())
        blockers.discard(ref)
        if key is not None and not blockers:
            self._key_blockers.pop(key, None)
            for relay in self._blocked_relays.pop(key, []):
                self.submit(relay)

    def _forget(self, delivery: Delivery, now: datetime, remember: bool = False) -> None:
        """Mark a message as finished. It is dropped once no relay is in progress.

        With `remember`, its id is kept for some seconds longer, so that a repeated hand-in is recognised.
        """
        self._outstanding_count -= not delivery.over
        delivery.over = True
        if not delivery.active_relays:
            self._outstanding.pop(delivery.message.ref, None)
        if remember:
            self._ended_ids[delivery.message.ref] = now + REMEMBER_TIME
        while self._ended_ids:
            oldest = next(iter(self._ended_ids))
            if self._ended_ids[oldest] > now:
                break
            del self._ended_ids[oldest]

    def _carry_out(self, action: api.Action, now: datetime) -> None:
        """Carry out one action of the decision module."""
        if isinstance(action, api.Send):
            self._send(action, now)
        elif isinstance(action, api.SetTimer):
            heapq.heappush(self._timers, (now + span(action.after_s), next(self._timer_order), action.label))
        elif isinstance(action, api.CancelAttempt):
            relay = (
                self._outstanding[action.ref].active_relays.get(action.attempt)
                if action.ref in self._outstanding
                else None
            )
            if relay is not None:
                self.cancel(relay)
        elif isinstance(action, api.PublishJudgement) and self.shared is not None:
            host = self.hosts.by_number.get(action.endpoint)
            if host is not None:
                self.shared.found(time.monotonic(), host.name, action.works)
        elif isinstance(action, api.Log):
            self._log_from_module(action)
        elif not isinstance(action, api.Refuse | api.Fail | api.CloseIdle):  # no connection is kept
            self.log.say("module", f"action {type(action).__name__} is not supported")

    def _log_from_module(self, action: api.Log) -> None:
        """Log a line of the decision module, with the listed name of the endpoint that it is about."""
        host = self.hosts.by_number.get(action.endpoint) if action.endpoint is not None else None
        about = f" ({host.name}, destination {host.destination})" if host is not None else ""
        self.log.say("module", action.text + about)

    def _send(self, action: api.Send, now: datetime) -> None:
        """Create the relay that the decision module asks for, and launch it unless it cannot go yet."""
        delivery, host = self._outstanding[action.ref], self.hosts.by_number.get(action.endpoint)
        ends_at = min(now + span(action.time_out_s), delivery.message.ends_at - DEADLINE_MARGIN)
        relay = Relay(
            delivery.message,
            delivery.relay_count,
            action.endpoint,
            host,
            now,
            ends_at,
            repeatable=self._repeatable(delivery.message),
            stopping=self.stopped_at is not None,
        )
        delivery.relay_count += 1
        delivery.active_relays[relay.number] = relay
        self.log.counters.add("attempt sent", action.phase.value)
        if host is None or delivery.unwritten:  # host None: unlisted in this round
            self.post(RelayEnded(relay, api.Outcome.NOT_SENT))
        elif delivery.replicating:
            delivery.held_relays.append(relay)
        else:
            self._launch(relay)

    def _launch(self, relay: Relay) -> None:
        """Queue a relay for sending, or block it behind its key."""
        if relay.message.key is not None and self._key_blockers.get(relay.message.key):
            self._block_relay(relay)
        else:
            self._new_relays.append(relay)

    def _group_into_calls(self) -> list[list[Relay]]:
        """This round's relays grouped into calls: those to one host together, up to its kind's batch size."""
        calls: list[list[Relay]] = []
        open_calls: dict[int, tuple[list[Relay], int]] = {}  # by host: its last call, with its size in bytes
        for relay in self._new_relays:
            batch_size = self.settings.kinds[relay.host.kind].batch
            size = relay.message.body_size() + bulk.max_overhead_bytes(
                relay.message.ref, relay.message.idempotency_key
            )
            call, bytes_before = open_calls.get(relay.host.number, ([], 0))
            if not call or len(call) >= batch_size or bytes_before + size > MAX_BULK_CALL_BYTES:
                call, bytes_before = [], 0
                calls.append(call)
            call.append(relay)
            open_calls[relay.host.number] = call, bytes_before + size
        self._new_relays = []
        return calls

    def _block_relay(self, relay: Relay) -> None:
        """Hold a relay until the preceding notice of its key is answered, or its time is up."""
        self._blocked_relays.setdefault(relay.message.key, []).append(relay)
        heapq.heappush(self._timers, (relay.ends_at, next(self._timer_order), relay))
