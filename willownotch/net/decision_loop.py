"""The one thread that owns the decision module: a queue in, timers in a heap, actions out.

A message comes in by `HandIn` and goes out by exactly one ending. Nothing here knows how either travels: a
second protocol hands in the same `Taken`, waits on the same `PendingReply` and keeps the same rules.
"""

from __future__ import annotations

import heapq
import itertools
import queue
import threading
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta
from itertools import islice
from typing import TYPE_CHECKING

import msgspec

from willownotch import interface as api
from willownotch.bodies.plan import Candidate, outcome_without_body
from willownotch.bodies.store import Bodies, size_and_checksum
from willownotch.control import Controller
from willownotch.handover.state import HandoverState, OutstandingCall, OutstandingMessage
from willownotch.journal import records as kept_records
from willownotch.journal.records import AcceptedMessage, Entry, MessageEnded, Record, RelayFailed
from willownotch.lifecycle import Event, SharedLifecycle
from willownotch.net import bulk, http
from willownotch.net.clock import ZERO, Clock, millis, seconds, span
from willownotch.net.config import Config, ListUpdate
from willownotch.net.decision_loop_replication import BACK_OFF, REMEMBERED, ReplicationMixin
from willownotch.net.endpoint_side import END_MARGIN, Relay, RelayEnded
from willownotch.net.events import (
    Answer,
    BodyLost,
    BookAcquired,
    BookExpired,
    BookLost,
    Copied,
    Flush,
    HandIn,
    HandOver,
    Item,
    MakeRoom,
    MayTell,
    Noticed,
    RemoteEnded,
    SettingsUpdate,
    SharedStateUpdate,
    TenantParts,
    Verdict,
    Withdraw,
)
from willownotch.net.journal import Journal, JournalFullError, JournalUnsureError
from willownotch.net.log import Log
from willownotch.net.pending import PendingReply
from willownotch.net.registry import Hosts, Notice
from willownotch.net.rules import class_of
from willownotch.net.slow_start_file import SlowStartFile
from willownotch.repeats import RAN_BY_OUTCOME
from willownotch.state import Ran

if TYPE_CHECKING:
    from willownotch.replica.service import Keeper
    from willownotch.shared.service import BudgetParts, EndpointFindings, SharedState

FIRST_NEWS = timedelta(milliseconds=300)  # recovered messages wait so long for the watch's first word
KILL_AFTER = timedelta(milliseconds=3500)  # SIGKILL comes no sooner after SIGTERM, with some margin
REMOTE_GRACE = timedelta(seconds=1)  # after a call's time, for the process before to tell its end
BATCH_MOST = 256
OUTLOOKS_SPARE = 64  # destinations remembered beyond the listed ones before they are forgotten
BULK_MOST = http.MAX_BODY_BYTES  # bytes of one call, whatever a kind takes
LOOKED_AT = 2000  # owed messages that are looked at for room in one go
WRITE_AGAIN = timedelta(milliseconds=500)  # records that could not be written are tried again so often
ROUND_SHARE, GAP_MOST = 3, timedelta(milliseconds=40)  # x the last round's time from its start to the next's


@dataclass(slots=True)
class Owed:
    """A message in the module's hands, its relays counted as the module counts them."""

    message: AcceptedMessage
    count: int = 0
    active_relays: dict[int, Relay] = field(default_factory=dict)
    over: bool = False
    pending: PendingReply | None = None  # until its client has its answer
    by: PendingReply | None = None  # of the hand-in that it was taken on by
    confirmed: bool = False  # another hand-in of it was answered: a failed first answer withdraws nothing
    unwritten: bool = False  # its record could not be written: its client was turned away
    copying: bool = False  # its client waits until others hold it
    parked: list[Relay] = field(default_factory=list)  # and so do its relays


def same_message(one: AcceptedMessage, other: AcceptedMessage) -> bool:
    """Whether two hand-ins under one id are of the same message; its time left differs each time."""
    fields = ("destination", "message_class", "tenant", "key", "idempotency_key")
    return all(getattr(one, name) == getattr(other, name) for name in fields) and (
        one.body == other.body
        if one.place is None is other.place
        else size_and_checksum(one) == size_and_checksum(other)
    )


def soonest_first(entries: list[Entry]) -> list[Entry]:
    """Recovered messages as the module is told of them: all come in one round, and among equals it goes by
    their order. What has a key keeps the journal's, which is its key's."""
    keyed = [entry for entry in entries if entry.message.key is not None]
    return keyed + sorted((e for e in entries if e.message.key is None), key=lambda e: e.message.ends_at)


class DecisionLoop(ReplicationMixin):
    """Owns the module. All that sockets have to say reaches it through `post`."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        log: Log,
        journal: Journal,
        hosts: Hosts,
        bodies: Bodies,
        lifecycle: SharedLifecycle,
        tells: bool = False,
    ) -> None:
        self.lifecycle, self.tells = lifecycle, tells
        self.config, self.clock, self.log, self.journal, self.hosts = config, clock, log, journal, hosts
        self.bodies = bodies
        self.settings = self._settings_of(config)
        self.controller = Controller(self.settings, config.seed)
        self._index()
        self.submit: Callable[..., None] = lambda *relays: None  # in one call
        self.cancel: Callable[[Relay], None] = lambda relay: None
        self.close_idle: Callable[[int], None] = lambda number: None
        self.notify: Callable[[Notice], None] = lambda notice: None
        self.forward: Callable[[RelayEnded | Withdraw], None] = lambda item: None  # to who has it all now
        self.list_index = config.known.index if config.known is not None else 0
        self.retuned: Callable[[Config], None] = lambda config: None  # has the sockets' sides follow
        self.shared: SharedState | None = None  # where budgets and judgements are shared
        self._parts: BudgetParts | None = None  # of budgets, as last told
        self.custody: Keeper | None = None  # where messages are copied to other senders
        self.slow_starts: SlowStartFile | None = None  # where they outlast the process
        self.stopped_at: datetime | None = None
        self._inbox: queue.SimpleQueue[Item] = queue.SimpleQueue()
        self._timers: list[tuple[datetime, int, int | Relay]] = []
        self._order = itertools.count()
        self._outstanding: dict[str, Owed] = {}
        self._unanswered: dict[
            str, tuple[AcceptedMessage, MessageEnded]
        ] = {}  # messages whose notice is not answered yet
        self._gates: dict[str, set[str]] = {}  # of a key, those of them: its next relay waits
        self._gated: dict[str, list[Relay]] = {}
        self._ended: dict[str, datetime] = {}  # ids that are over, until when they are remembered
        self._recovered: list[Entry] | None = []
        self.lost_bodies: list[str] = []  # messages whose body the start did not find
        self._listed = False
        self._began = clock.now()
        self._round_at = self._began  # when the last round began
        self._took = ZERO  # by it
        self._pause = threading.Event()  # never set: a wait of a moment
        self._open = 0  # messages that are not over
        self._leaving: list[Relay] = []  # begun in this round
        self._unwritten: list[Record] = []  # records that the disk did not take
        self._dropped: list[tuple[Owed, MessageEnded]] = []  # ended in this round for the sake of others

    def _settings_of(self, config: Config) -> api.Settings:
        """Those of the module: whether others can be told is not the platform's to say where peers are."""
        return replace(config.settings, may_tell=True) if self.tells else config.settings

    def _index(self) -> None:
        self.classes = {c.name: n for n, c in enumerate(self.settings.classes)}
        self.tenants = {t.name: n for n, t in enumerate(self.settings.tenants)}

    def post(self, item: Item) -> None:
        """Put something in the owner's queue; any thread may."""
        self._inbox.put(item)

    def notices_answered(self, refs: list[str]) -> None:
        """These messages' notices were answered; any thread may say so."""
        self.post(Noticed(refs))

    def would_reject(self, message: AcceptedMessage) -> bool:
        """Whether a hand-in would be turned away as things are, whatever its body; any thread may ask."""
        return (
            not self.lifecycle.current.listed
            or self._open >= self.settings.holding_room
            or not self.hosts.listed(message.destination)
        )

    def run(self) -> None:
        """Recover what the journal has, then take rounds until the process ends or another takes over."""
        if self._recovered is not None:
            self._recover()
        while True:
            items = self._next_items()
            self._round([item for item in items if not isinstance(item, HandOver)])
            for order in items:
                if isinstance(order, HandOver) and self._stand_still(order):
                    self._pass_on()

    def _stand_still(self, order: HandOver) -> bool:
        """Hand out everything and change nothing until it is decided; whether it is another's now."""
        if self._recovered is not None or not order.pending.claim():
            order.pending.settle(None)
            return False
        self.journal.freeze()
        try:
            state = self._state()
        except Exception as fault:  # nothing is given away, and nothing has changed
            self.log.say("error", f"the state could not be put together: {type(fault).__name__}: {fault}")
            state = None
        order.pending.settle(state)
        if order.decided.get():
            self.journal.give()
            return True
        self.journal.thaw()
        return False

    def _state(self) -> HandoverState:
        gated = {relay for line in self._gated.values() for relay in line}
        return HandoverState(
            config=self.config,
            clock=self.clock.origin(),
            controller=self.controller,
            hosts=self.hosts.state(),
            live=self.journal.live,
            ended=self._ended,
            unwritten=self._unwritten,
            timers=[(when, thing) for when, _, thing in self._timers if not isinstance(thing, Relay)],
            outstanding=[
                OutstandingMessage(
                    owed.message,
                    owed.count,
                    owed.over,
                    owed.confirmed,
                    owed.unwritten,
                    [
                        OutstandingCall(r.number, r.endpoint, r.host, r.begun_at, r.ends_at, r in gated)
                        for r in owed.active_relays.values()
                    ],
                )
                for owed in self._outstanding.values()
            ],
            unanswered=list(self._unanswered.values()),
            discovery=self.config.discovery,
            list_index=self.list_index,
        )

    def _pass_on(self) -> None:
        """Another process decides: whatever still comes in is for it."""
        while True:
            item = self._inbox.get()
            if isinstance(item, HandIn) and item.pending.claim():
                item.pending.settle(Answer(Verdict.MOVED))
            elif isinstance(item, MakeRoom) and item.pending.claim():
                item.pending.settle(False)
            elif isinstance(item, HandOver):
                item.pending.settle(None)
            elif isinstance(item, RelayEnded | Withdraw):
                self.forward(item)
            elif isinstance(item, RemoteEnded):
                # Of the process before this one, which has calls out still and knows of no third.
                for ended in self._remote_ended(item, self.clock.now()):
                    self._outstanding[ended.relay.message.ref].active_relays.pop(ended.relay.number, None)
                    self.forward(ended)
            elif isinstance(item, Flush):
                item.done.set()

    def remote_calls(self) -> int:
        """Calls that the process before this one has out; any thread may ask."""
        return sum(
            relay.remote
            for owed in list(self._outstanding.values())
            for relay in list(owed.active_relays.values())
        )

    def cancel_remote(self, ref: str, number: int) -> None:
        """Have the process before this one stop waiting for a call, if it is one of its; any thread may."""
        owed = self._outstanding.get(ref)
        relay = owed.active_relays.get(number) if owed is not None else None
        if relay is not None and relay.remote:
            self.cancel(relay)

    def adopt(self, state: HandoverState) -> None:
        """Go on with what another process has handed over, as if it had been this one's all the time.

        Called once, before `run` and before any client is served.
        """
        self._recovered, self._listed = None, True
        self.controller, self._ended, self._unwritten = state.controller, state.ended, state.unwritten
        self.hosts.adopt(state.hosts)
        self.list_index = state.list_index
        for when, label in state.timers:
            heapq.heappush(self._timers, (when, next(self._order), label))
        for known in state.outstanding:
            owed = self._outstanding[known.message.ref] = Owed(known.message, known.count, over=known.over)
            owed.confirmed, owed.unwritten = known.confirmed, known.unwritten
            self._open += not owed.over
            for out in known.active_relays:
                relay = Relay(
                    known.message,
                    out.number,
                    out.endpoint,
                    out.host,
                    out.begun_at,
                    out.ends_at,
                    remote=not out.gated,
                    repeatable=self._repeatable(known.message),
                )
                owed.active_relays[out.number] = relay
                if out.gated:
                    self._gate(relay)
                else:  # should the other process say nothing: hung, or held up
                    heapq.heappush(self._timers, (out.ends_at + REMOTE_GRACE, next(self._order), relay))
        for message, ended in state.unanswered:
            self._owe_notice(message, ended)
        for ref in self.lost_bodies:
            self.post(BodyLost(ref))
        remote = sum(
            relay.remote for owed in self._outstanding.values() for relay in owed.active_relays.values()
        )
        self.log.say(
            "upgrade",
            f"taken over: {self._open} messages owed, {remote} calls out in the process "
            f"before, {len(self._unanswered)} notices unanswered",
        )
        self._round([SettingsUpdate(self.config)] if state.config.settings != self.settings else [])

    def _next_items(self) -> list[Item]:
        """What has come in; waits for the first of it, or for the next timer."""
        due = self._timers[0][0] if self._timers else None
        news_due = self._began + FIRST_NEWS
        if self._recovered is not None and self.clock.now() < news_due:
            due = news_due if due is None else min(due, news_due)
        if self._unwritten:
            due = min(due or datetime.max.replace(tzinfo=UTC), self._round_at + WRITE_AGAIN)
        try:
            left = None if due is None else max(0.0, seconds(due - self.clock.now()))
            items = [self._inbox.get(timeout=left)]
        except queue.Empty:
            items = []
        # A round costs much the same for one event as for many: under load they share it, and the decisions
        # leave most of the CPU to the sockets, or answers, ends and notices come late.
        gap = max(self.config.period, min(GAP_MOST, ROUND_SHARE * self._took))
        if (early := self._round_at + gap - self.clock.now()) > ZERO:
            self._pause.wait(seconds(early))
        while len(items) < BATCH_MOST and not self._inbox.empty():
            items.append(self._inbox.get())
        return items

    def _recover(self) -> None:
        """Notices that are unanswered go out at once; owed messages wait a moment for the list."""
        self._recovered, lost = [], set(self.lost_bodies)
        if self.slow_starts is not None:
            known = self.slow_starts.read(self.hosts.number)
            self.controller.handle(self.clock.module_s(self.clock.now()), [known])
        if self.shared is not None:
            self.shared.configure({t.name: t.quota_per_s for t in self.settings.tenants})
        for entry in list(self.journal.live.values()):
            if entry.message.custody is not None:
                if self.custody is not None and self.custody.former(entry.message.custody):
                    continue  # perhaps another's by now: it is claimed first
                entry.message = msgspec.structs.replace(entry.message, custody=None)
            if self._still_owed(entry, lost):
                self._recovered.append(entry)
        owed, open_notices = len(self._recovered), len(self._unanswered)
        self.log.say("recover", f"{owed} messages owed and {open_notices} notices unanswered from before")
        if self.config.known is not None:
            self._round([self.config.known])

    def _still_owed(self, entry: Entry, lost: Collection[str] = ()) -> bool:
        """Whether a recovered message can go on; else its end is written, and its notice owed."""
        ref = entry.message.ref
        if entry.ended is not None:
            self._owe_notice(entry.message, entry.ended)
            return False
        if entry.message.rules is None and entry.message.message_class not in self.classes:
            self.log.say("recover", f"{ref} given up: class no longer configured")
            ended = MessageEnded(ref, "given_up")
        elif entry.message.unkept or ref in lost:
            # Its end is still owed, but what to deliver is lost.
            ran = any(entry.may_have_run(n) for n in range(entry.count()))
            ended = self._body_ended(entry.message, ran)
            why = "was never kept" if entry.message.unkept else "is missing or cut off"
            self.log.say("recover", f"{ref} {ended.outcome}: its body {why}")
        else:
            return True
        self._write([ended])
        self._owe_notice(entry.message, ended)
        return False

    def _round(self, items: list[Item]) -> None:
        """Events in, one decision, the journal, then the actions: nothing is told before it is written."""
        now = self._round_at = self.clock.now()
        events: list[api.Event] = []
        records: list[Record] = []
        fresh: list[Owed] = []
        if self._parts is not None and time.monotonic() > self._parts.until:
            self._unheard(events)
        for item in items:
            self._take(item, now, events, records, fresh)
        waited = now - self._began >= FIRST_NEWS
        if self._recovered is not None and (waited or (self._listed and self._heard_news(items))):
            # Also without any list: their time runs on, and their ends are owed.
            for entry in soonest_first(self._recovered):
                events.append(self._recall(entry, now))
            self._recovered = None
        if self._recovered is None and self._listed and not self.lifecycle.current.listed:
            self.lifecycle.tell(Event.LISTED, now)
        self._ring(now, events)
        actions = self.controller.handle(self.clock.module_s(now), events) if events else []
        ends = self._endings(actions, records, fresh)
        self._write(records)
        self._settle(fresh, ends)
        for owed, ended in self._dropped:
            self._owe_notice(owed.message, ended)
        self._dropped.clear()
        for item in items:
            if isinstance(item, MakeRoom):
                item.pending.settle(True)
        for ref, ended in ends.items():
            owed = self._outstanding[ref]
            if owed.copying:  # nothing was promised yet
                self._answer_end(owed, ended)
            elif owed.pending is None:
                self._owe_notice(owed.message, ended)
            self._forget(owed, now, remember=ended.outcome == "given_up" and owed.pending is None)
        for action in actions:
            self._act(action, now)
        for relays in self._calls():
            self.submit(*relays)
        if self.slow_starts is not None and self.slow_starts.due(now):
            self.slow_starts.write(self.controller.slow_starts(), self.hosts.name, now)
        self._took = self.clock.now() - now

    def _heard_news(self, items: list[Item]) -> bool:
        """Whether the watch itself has spoken; the configured list is not its word."""
        return any(isinstance(item, ListUpdate) and item is not self.config.known for item in items)

    def _take(
        self, item: Item, now: datetime, events: list[api.Event], records: list[Record], fresh: list[Owed]
    ) -> None:
        """One item of the queue, as an event for the module where it is one."""
        if isinstance(item, HandIn):
            self._hand_in(item, now, events, records, fresh)
        elif isinstance(item, RelayEnded):
            self._relay_ended(item, now, events, records)
        elif isinstance(item, RemoteEnded):
            for ended in self._remote_ended(item, now):
                self._relay_ended(ended, now, events, records)
        elif isinstance(item, Flush):
            item.done.set()
        elif isinstance(item, ListUpdate):
            news, left = self.hosts.read(item)
            self.list_index = item.index
            self._listed = self._listed or bool(news.entries)
            events.append(news)
            for number in left:
                self.close_idle(number)
            if len(self.bodies.forecasts) > 2 * len(self.hosts.by_number) + OUTLOOKS_SPARE:
                self.bodies.forget_destinations({host.destination for host in self.hosts.by_number.values()})
        elif isinstance(item, Noticed):
            for ref in item.refs:
                self._noticed(ref, records)
        elif isinstance(item, MakeRoom):
            self._make_room(item, now, events)
        elif isinstance(item, TenantParts):
            events += [
                api.TenantPart(self.tenants[name], part)
                for name, part in item.parts.items()
                if name in self.tenants
            ]
        elif isinstance(item, SharedStateUpdate):
            self._hear(item.found, now, events)
        elif isinstance(item, Copied):
            self._copied(item, now, events, records)
        elif isinstance(item, MayTell):
            if item.ref in self._unanswered:
                _, ended = self._unanswered[item.ref]
                self.notify(Notice(item.ref, ended.outcome, ended.retry_in_ms))
        elif isinstance(item, BookAcquired):
            self._take_over(item.won, now, events)
        elif isinstance(item, BookLost):
            self._lose_book(item.lost, now, events)
        elif isinstance(item, BookExpired):
            self._expire(item.expired, now)
        elif isinstance(item, SettingsUpdate):
            self._retune(item.config, events)
        elif isinstance(item, BodyLost):
            owed = self._outstanding.get(item.ref)
            idle = owed is not None and not owed.over and not owed.active_relays and not owed.copying
            if idle:  # else its next relay finds it so
                self._end_without_body(owed, "is missing or damaged", now, events)
        elif isinstance(item, Withdraw):
            owed = self._outstanding.get(item.ref)
            # Only who handed it in may: the id alone is known to anybody.
            if owed is not None and owed.by is item.pending and not owed.over and not owed.confirmed:
                records.append(MessageEnded(item.ref, "withdrawn"))
                events.append(api.Withdrawn(item.ref))
                self._forget(owed, now)
        else:
            self.stopped_at = now
            self.log.say("stop", "SIGTERM: taking and delivering on until killed")
            events.append(api.Stopping(seconds(KILL_AFTER)))

    def _hear(self, found: BudgetParts | EndpointFindings, now: datetime, events: list[api.Event]) -> None:
        """What other senders share, as events for the module."""
        if hasattr(found, "parts"):
            self._parts = found
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

    def _unheard(self, events: list[api.Event]) -> None:
        """Nothing was heard of budgets for too long: only what is never lent may be spent."""
        told, self._parts = self._parts, None
        events += [
            api.TenantPart(self.tenants[name], min(part, told.floor), name in told.hard)
            for name, part in told.parts.items()
            if name in self.tenants
        ]
        self.log.say("shared", "parts of budgets are not told any more: only what is never lent is spent")

    def _retune(self, config: Config, events: list[api.Event]) -> None:
        """Other settings hold from this round on. Messages in hand keep the rules they were taken under."""
        self.config, self.settings = config, self._settings_of(config)
        self._index()
        self.retuned(config)
        if self.shared is not None:
            self.shared.configure({t.name: t.quota_per_s for t in self.settings.tenants})
        events.append(api.SettingsChanged(self.settings))
        self.log.say(
            "retune",
            f"new settings hold: classes {', '.join(self.classes)}, "
            f"{self.settings.max_attempts} attempts, {self.settings.slots} slots, room for "
            f"{self.settings.holding_room}; {self._open} messages in hand keep the rules they have",
        )

    def _class(self, message: AcceptedMessage) -> api.MessageClass:
        """The rules that a message was taken under."""
        if message.rules is not None:
            return class_of(message.message_class, message.rules)
        return self.settings.classes[self.classes[message.message_class]]

    def _repeatable(self, message: AcceptedMessage) -> bool:
        return self._class(message).idempotency is not api.Idempotency.UNSAFE

    def _hand_in(
        self, item: HandIn, now: datetime, events: list[api.Event], records: list[Record], fresh: list[Owed]
    ) -> None:
        message = item.message
        if not item.pending.claim():
            self.bodies.discard(message)
            return
        if self.shared is not None:
            self.shared.record_demand(message.tenant)
        known = self._outstanding.get(message.ref)
        if known is not None and not known.over:
            self._hand_in_again(item, known)
            self.bodies.discard(message)
            return
        found = next((e.message for e in self._recovered or () if e.message.ref == message.ref), None)
        if found is not None and same_message(message, found):  # turned away, it would come under another id
            self.bodies.discard(message)
            item.pending.settle(Answer(Verdict.ACCEPTED))
            return
        if self._ended.get(message.ref, now) > now:
            self.bodies.discard(message)
            item.pending.settle(Answer(Verdict.ACCEPTED))
            return
        mark = self.custody.mark(message.message_class) if self.custody is not None else None
        # What was handed back may come again under its id, but not while a relay or its notice is still out.
        lasting = known is not None or message.ref in self._unanswered
        faults = [
            (not self.lifecycle.current.listed, "early", "not ready yet"),
            (not self.hosts.listed(message.destination), "unlisted", "it has no host"),
            (lasting, "full", "its id is not free yet"),
            (self._open >= self.settings.holding_room, "full", "the holding room is used up"),
            (mark is False, "custody", "too few copies of it can be had"),
        ]
        if lasting and self._may_have_run(message):  # 503 would invite a second run under another id
            self.bodies.discard(message)
            item.pending.settle(Answer(Verdict.FAILED))
            self.log.say("conflict", f"{message.ref} was handed in before and may have run: failed")
            return
        refusal = next(((sort, why) for wrong, sort, why in faults if wrong), None)
        if refusal is None and not self._record_fits(message, fresh, now, events):
            refusal = "full", "the disk is used up"
        if refusal is not None:
            sort, why = refusal
            self.bodies.discard(message)
            item.pending.settle(Answer(Verdict.REJECTED, BACK_OFF, sort))
            text = f"back-off answer to {message.ref} for destination {message.destination}"
            self.log.say(sort, f"{text}: {why}, {self._open} of {self.settings.holding_room} held")
            return
        if mark:
            message = msgspec.structs.replace(message, custody=mark)
        owed = self._outstanding[message.ref] = Owed(message, pending=item.pending, by=item.pending)
        self._open += 1
        fresh.append(owed)
        records.append(message)
        events.append(self._message(message, now))

    def _may_have_run(self, message: AcceptedMessage) -> bool:
        """Whether an id that is over, and not forgotten yet, is one that may not run again and may have."""
        if self._repeatable(message):
            return False
        known, ended = self._outstanding.get(message.ref), self._unanswered.get(message.ref, (None, None))[1]
        return (known is not None and bool(known.active_relays)) or (
            ended is not None and ended.outcome == "given_up"
        )

    def _record_fits(
        self, message: AcceptedMessage, fresh: list[Owed], now: datetime, events: list[api.Event]
    ) -> bool:
        """Whether a message's record has room, if need be at the cost of what may be dropped."""
        wanted = [*(owed.message for owed in fresh), message]
        if self.journal.fits(wanted):
            return True
        candidates = [c for c in self._candidates() if self._outstanding[c.ref].message.body]
        need = kept_records.bytes_to_reserve(message)
        for candidate in self.bodies.victims(message.message_class, need, candidates, inline=True):
            self._drop(candidate, message, now, events)
        return self.journal.fits(wanted)

    def _candidates(self) -> list[Candidate]:
        """Owed messages that may have to make room: answered, with no relay out, of a class that is
        dropped."""
        plans, found, expected_wait_s = self.bodies.plans, [], {}
        for owed in islice(self._outstanding.values(), LOOKED_AT):
            message = owed.message
            plan = plans.get(message.message_class)
            if (
                plan is None
                or not plan.body_settings.drop
                or owed.over
                or owed.active_relays
                or owed.pending is not None
            ):
                continue
            dest = message.destination
            if dest not in expected_wait_s:
                expected_wait_s[dest] = self.bodies.expected_wait_s(dest)
            found.append(
                Candidate(
                    message.ref, message.message_class, dest, message.body_size(), expected_wait_s[dest]
                )
            )
        return found

    def _make_room(self, item: MakeRoom, now: datetime, events: list[api.Event]) -> None:
        """End what may be dropped, so that a body worth more finds room."""
        if not item.pending.claim():
            return
        admission, message = item.admission, item.message
        chosen = self.bodies.victims(
            message.message_class,
            admission.bytes_needed,
            [c for c in self._candidates() if self._outstanding[c.ref].message.place],
            admission.destination,
        )
        for candidate in chosen:
            self._drop(candidate, message, now, events)

    def _drop(
        self, candidate: Candidate, message: AcceptedMessage, now: datetime, events: list[api.Event]
    ) -> None:
        self._end_without_body(
            self._outstanding[candidate.ref],
            f"of {candidate.size} bytes makes room for {message.message_class} " f"{message.ref}",
            now,
            events,
        )

    def _end_without_body(
        self, owed: Owed, why: str, now: datetime, events: list[api.Event], last: RelayEnded | None = None
    ) -> None:
        """A message that has no body any more ends here: at once, by a notice, and never as a guess.

        Its record is written by itself: what is taken on in this round may need the room.
        """
        ref, entry = owed.message.ref, self.journal.live.get(owed.message.ref)
        number = last.relay.number if last is not None else -1
        ran = (
            bool(owed.active_relays)
            or entry is None
            or any(entry.may_have_run(n) for n in range(entry.count()) if n != number)
        )
        ran = ran or (last is not None and RAN_BY_OUTCOME[last.outcome] is not Ran.NEVER)
        ended = self._body_ended(owed.message, ran)
        self.log.say("dropped", f"{ref} {ended.outcome}: its body {why}")
        self._write([ended])
        events.append(api.Withdrawn(ref))
        self._dropped.append((owed, ended))
        self._forget(owed, now, remember=ended.outcome == "given_up")

    def _body_ended(self, message: AcceptedMessage, ran: bool) -> MessageEnded:
        outcome = outcome_without_body(self._class(message).idempotency, ran)
        most = span(self.settings.max_retry_after_s)
        retry = millis(min(most, self.bodies.settings.come_back)) if outcome == "handed_back" else 0
        return MessageEnded(message.ref, outcome, retry or None)

    def _hand_in_again(self, item: HandIn, known: Owed) -> None:
        """An id that is open: the same message, its connection closed under it, or a stranger's."""
        if not same_message(item.message, known.message):
            self.log.say("conflict", f"{item.message.ref} is open with another content, answered 409")
            item.pending.settle(Answer(Verdict.CONFLICT))
        elif known.pending is not None:  # not decided yet: to be told what the first is told would be a guess
            item.pending.settle(Answer(Verdict.REJECTED, BACK_OFF, "its id is being decided"))
        else:
            known.confirmed = True
            item.pending.settle(Answer(Verdict.ACCEPTED))

    def _message(
        self, message: AcceptedMessage, now: datetime, past: tuple[api.PastAttempt, ...] = ()
    ) -> api.Message:
        return api.Message(
            message.ref,
            message.destination,
            self.classes.get(message.message_class, 0),
            seconds(message.ends_at - now),
            self.tenants.get(message.tenant, 0),
            message.key,
            is_retry=message.is_retry or bool(past),
            past=past,
            rules=self._class(message),
        )

    def _recall(self, entry: Entry, now: datetime) -> api.Message:
        """A recovered message. What was out at the end may have run; what left no trace never began."""
        past = []
        for number in range(entry.count()):
            opened = entry.started.get(number)
            ago = seconds(now - opened.at) if opened else 0.0
            host = self.hosts.number(opened.host) if opened else 0
            past.append(api.PastAttempt(host, ago, entry.may_have_run(number)))
        self._outstanding[entry.message.ref] = Owed(entry.message, count=len(past))
        self._open += 1
        return self._message(entry.message, now, tuple(past))

    def _remote_ended(self, item: RemoteEnded, now: datetime) -> list[RelayEnded]:
        """What the process before this one tells of its calls. Untold at its end, they may have run."""
        if item.gone:
            left = [
                relay
                for owed in self._outstanding.values()
                for relay in owed.active_relays.values()
                if relay.remote
            ]
            if left:
                self.log.say(
                    "upgrade", f"the process before is gone with {len(left)} calls out: they may " "have run"
                )
            return [RelayEnded(relay, api.Outcome.BROKEN, now - relay.begun_at) for relay in left]
        relay = (
            self._outstanding[item.ref].active_relays.get(item.number)
            if item.ref in self._outstanding
            else None
        )
        if relay is None or not relay.remote:
            return []
        item.ended.relay = relay
        return [item.ended]

    def _relay_ended(
        self, ended: RelayEnded, now: datetime, events: list[api.Event], records: list[Record]
    ) -> None:
        relay, ref = ended.relay, ended.relay.message.ref
        owed = self._outstanding.get(ref)
        if owed is None or owed.active_relays.pop(relay.number, None) is None:
            return
        if not owed.over:
            if ended.over:
                delivered = ended.outcome is api.Outcome.DELIVERED
                records.append(MessageEnded(ref, "delivered" if delivered else "withdrawn"))
            else:
                records.append(RelayFailed(ref, relay.number, RAN_BY_OUTCOME[ended.outcome] is not Ran.NEVER))
        self.bodies.observe(owed.message.destination, ended.outcome, ended.wait)
        if self.shared is not None and ended.limit_per_s and relay.host is not None:
            self.shared.limit(time.monotonic(), relay.host.name, ended.limit_per_s)
        if not owed.over and not ended.over and not owed.active_relays:
            # Before the outcome: told of it alone, the module could want the next relay.
            if ended.lost:
                self._end_without_body(owed, "is missing or damaged", now, events, ended)
            elif owed.message.unkept and relay.started:
                self._end_without_body(owed, "was kept for one relay only", now, events, ended)
        final = owed.over or ended.over
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
            self._forget(owed, now, remember=ended.outcome is api.Outcome.DELIVERED)

    def _ring(self, now: datetime, events: list[api.Event]) -> None:
        """Timers that are due: the module's, and those of relays still behind a gate."""
        while self._timers and self._timers[0][0] <= now:
            thing = heapq.heappop(self._timers)[2]
            if isinstance(thing, Relay) and thing.remote:
                self._give_up_remote(thing, now)
            elif isinstance(thing, Relay):
                waiting = self._gated.get(thing.message.key or "", [])
                if thing in waiting:
                    waiting.remove(thing)
                    self.post(RelayEnded(thing, api.Outcome.NOT_SENT, now - thing.begun_at))
            else:
                events.append(api.Timer(thing))

    def _give_up_remote(self, relay: Relay, now: datetime) -> None:
        """Wait no longer for the process before to tell a call's end: it holds a slot and its key."""
        owed = self._outstanding.get(relay.message.ref)
        if owed is not None and owed.active_relays.get(relay.number) is relay:
            self.log.say(
                "upgrade",
                f"the process before has not told the end of attempt {relay.number} of "
                f"{relay.message.ref}: it may have run",
            )
            self.post(RelayEnded(relay, api.Outcome.TIMED_OUT, now - relay.begun_at))

    def _endings(
        self, actions: list[api.Action], records: list[Record], fresh: list[Owed]
    ) -> dict[str, MessageEnded]:
        """The module's final answers. One given in the hand-in's own round needs no record and no notice."""
        ends = {}
        for action in actions:
            if isinstance(action, api.Refuse):
                retry = millis(span(action.retry_after_s)) or None
                ends[action.ref] = MessageEnded(action.ref, "handed_back", retry)
            elif isinstance(action, api.Fail):
                ends[action.ref] = MessageEnded(action.ref, "given_up")
        refused = {owed.message.ref for owed in fresh if owed.message.ref in ends}
        for owed in fresh:
            if owed.message.ref in refused:
                self.bodies.discard(owed.message)
        records[:] = [r for r in records if not (isinstance(r, AcceptedMessage) and r.ref in refused)]
        records += [
            MessageEnded(ref, "withdrawn") if self._outstanding[ref].copying else ended
            for ref, ended in ends.items()
            if ref not in refused
        ]
        return ends

    def _write(self, records: list[Record]) -> None:
        records, self._unwritten = [*self._unwritten, *records], []
        if not records:
            return
        try:
            self.journal.append(records)
        except (OSError, JournalFullError) as fault:
            # Nothing new may be promised on a record that is not there; endings are still told.
            unwritten = {r.ref for r in records if isinstance(r, AcceptedMessage)}
            # A record that is perhaps in the file is the next process's message: no 503 may be told for it.
            unsure = isinstance(fault, JournalUnsureError)
            answer = Answer(Verdict.FAILED) if unsure else Answer(Verdict.REJECTED, BACK_OFF, "not written")
            self.log.say(
                "journal",
                f"{len(records)} records could not be written: {fault}; "
                f"{'failed' if unsure else 'turned away'}: {', '.join(sorted(unwritten)) or 'no message'}",
            )
            # What was owed before is told as it ends; that it ended is written as soon as there is room.
            self._unwritten = [r for r in records if r.ref not in unwritten]
            for owed in [self._outstanding[ref] for ref in unwritten if ref in self._outstanding]:
                if owed.pending is not None:
                    owed.pending.settle(answer)
                    owed.pending = None
                owed.unwritten = True
                self.bodies.discard(owed.message)
                self.post(Withdraw(owed.message.ref, owed.by))

    def _settle(self, fresh: list[Owed], ends: dict[str, MessageEnded]) -> None:
        """Answer the clients of this round."""
        for owed in fresh:
            ended = ends.get(owed.message.ref)
            if owed.pending is None:
                continue
            if ended is not None:
                self._answer_end(owed, ended)
            elif owed.message.custody is not None and self.custody is not None:
                self._await_copies(owed)
            else:
                owed.pending.settle(Answer(Verdict.ACCEPTED))
                owed.pending = None

    @staticmethod
    def _answer_end(owed: Owed, ended: MessageEnded) -> None:
        """Tell a client, who waits, what became of its message."""
        if ended.outcome == "handed_back":
            retry = timedelta(milliseconds=ended.retry_in_ms) if ended.retry_in_ms else BACK_OFF
            owed.pending.settle(Answer(Verdict.REJECTED, retry))
        else:
            owed.pending.settle(Answer(Verdict.FAILED))

    def _owe_notice(self, message: AcceptedMessage, ended: MessageEnded) -> None:
        """Tell the platform. The next relay of its key waits until that is answered."""
        ref = message.ref
        self._unanswered[ref] = message, ended
        if message.key is not None:
            self._gates.setdefault(message.key, set()).add(ref)
        if message.custody is None or self.custody is None:
            self.notify(Notice(ref, ended.outcome, ended.retry_in_ms))
            return
        left = max(ZERO, message.ends_at - self.clock.now()) + self.custody.settings.patience
        self.custody.wait(message.custody, left, False, lambda ok: self.post(MayTell(ref)) if ok else None)

    def _noticed(self, ref: str, records: list[Record]) -> None:
        message, _ = self._unanswered.pop(ref, (None, None))
        if message is None:
            return
        records.append(kept_records.NoticeAnswered(ref))
        self._open_gate(message.key, ref)

    def _open_gate(self, key: str | None, ref: str) -> None:
        """The next relay of a key need not wait for this message's notice any more."""
        gate = self._gates.get(key or "", set())
        gate.discard(ref)
        if key is not None and not gate:
            self._gates.pop(key, None)
            for relay in self._gated.pop(key, []):
                self.submit(relay)

    def _forget(self, owed: Owed, now: datetime, remember: bool = False) -> None:
        """The message is over. It stays known while relays are out; an id that must not run again, longer."""
        self._open -= not owed.over
        owed.over = True
        if not owed.active_relays:
            self._outstanding.pop(owed.message.ref, None)
        if remember:
            self._ended[owed.message.ref] = now + REMEMBERED
        while self._ended:
            oldest = next(iter(self._ended))
            if self._ended[oldest] > now:
                break
            del self._ended[oldest]

    def _act(self, action: api.Action, now: datetime) -> None:
        """Carry one action out."""
        if isinstance(action, api.Send):
            self._send(action, now)
        elif isinstance(action, api.SetTimer):
            heapq.heappush(self._timers, (now + span(action.after_s), next(self._order), action.label))
        elif isinstance(action, api.CancelAttempt):
            relay = (
                self._outstanding[action.ref].active_relays.get(action.attempt)
                if action.ref in self._outstanding
                else None
            )
            if relay is not None:
                self.cancel(relay)
        elif isinstance(action, api.CloseIdle):
            self.close_idle(action.endpoint)
        elif isinstance(action, api.PublishJudgement) and self.shared is not None:
            host = self.hosts.by_number.get(action.endpoint)
            if host is not None:
                self.shared.found(time.monotonic(), host.name, action.works)
        elif isinstance(action, api.Log):
            self._log_of_module(action)
        elif not isinstance(action, api.Refuse | api.Fail):
            self.log.say("module", f"no way to carry out {type(action).__name__} here")

    def _log_of_module(self, action: api.Log) -> None:
        """A line of the module's, with the name that others know the endpoint by."""
        host = self.hosts.by_number.get(action.endpoint) if action.endpoint is not None else None
        about = f" ({host.name}, destination {host.destination})" if host is not None else ""
        self.log.say("module", action.text + about)

    def _send(self, action: api.Send, now: datetime) -> None:
        owed, host = self._outstanding[action.ref], self.hosts.by_number.get(action.endpoint)
        ends_at = min(now + span(action.time_out_s), owed.message.ends_at - END_MARGIN)
        relay = Relay(
            owed.message,
            owed.count,
            action.endpoint,
            host,
            now,
            ends_at,
            repeatable=self._repeatable(owed.message),
            stopping=self.stopped_at is not None,
        )
        owed.count += 1
        owed.active_relays[relay.number] = relay
        self.log.counters.add("attempt sent", action.phase.value)
        if host is None or owed.unwritten:  # it left the list in this very round
            self.post(RelayEnded(relay, api.Outcome.NOT_SENT))
        elif owed.copying:
            owed.parked.append(relay)
        else:
            self._launch(relay)

    def _launch(self, relay: Relay) -> None:
        """Have a relay made, or wait for its key."""
        if relay.message.key is not None and self._gates.get(relay.message.key):
            self._gate(relay)
        else:
            self._leaving.append(relay)

    def _calls(self) -> list[list[Relay]]:
        """This round's relays, those to one host together as far as its kind takes them."""
        calls: list[list[Relay]] = []
        open_calls: dict[int, tuple[list[Relay], int]] = {}  # by host: the last one, and its bytes
        for relay in self._leaving:
            most = self.settings.kinds[relay.host.kind].batch
            size = relay.message.body_size() + bulk.line_room(
                relay.message.ref, relay.message.idempotency_key
            )
            line, bytes_before = open_calls.get(relay.host.number, ([], 0))
            if not line or len(line) >= most or bytes_before + size > BULK_MOST:
                line, bytes_before = [], 0
                calls.append(line)
            line.append(relay)
            open_calls[relay.host.number] = line, bytes_before + size
        self._leaving = []
        return calls

    def _gate(self, relay: Relay) -> None:
        """Have a relay wait until the notice of the message before it, of the same key, is answered."""
        self._gated.setdefault(relay.message.key, []).append(relay)
        heapq.heappush(self._timers, (relay.ends_at, next(self._order), relay))
