"""A sender around a policy: rounds, connections, time-outs, the list as it hears it, and its own death.

It does what the real sender does around the decision module, without bytes: events are gathered into rounds,
actions are carried out, attempts get exactly one outcome each. What it took on outlives it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Protocol

from willownotch import interface as api
from willownotch.interface import Idempotency, Outcome, Readiness
from willownotch.lab.model.ledger import DRAIN_S, EPSILON, SLACK_S, Item, Ledger
from willownotch.lab.model.partners import Answer, Call, Endpoint, State
from willownotch.lab.model.world import World

MAYBE = (Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED, Outcome.ERROR, Outcome.DELIVERED)
CONNECT_S = 1.0  # until a connection that nobody answers is given up


class Policy(Protocol):
    """The decision module's interface: what any policy here has."""

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take a round of events, answer with actions."""


@dataclass(slots=True)
class Attempt:
    """A call that this sender has out, or had."""

    number: int
    endpoint: Endpoint
    began_at: float
    call: Call
    idle_s: float | None
    outcome: Outcome | None = None
    known: bool = True  # it is from this process, which will hear its outcome


@dataclass(slots=True)
class Held:
    """A message that this sender has taken on."""

    item: Item
    ends_at: float
    attempts: list[Attempt] = field(default_factory=list)
    over: bool = False
    order: int = 0


@dataclass(slots=True)
class Idle:
    """Connections to one endpoint that are free, by when they became so."""

    since: list[float] = field(default_factory=list)


class Node:
    """One sender."""

    def __init__(
        self,
        world: World,
        number: int,
        settings: api.Settings,
        make: Callable[[int], Policy],
        ledger: Ledger,
        endpoints: dict[int, Endpoint],
        way_s: float,
        period_s: float,
        takes_s: Callable[[int], float],
    ) -> None:
        self.world, self.number, self.settings, self.make = world, number, settings, make
        self.ledger, self.endpoints, self.way_s, self.period_s = ledger, endpoints, way_s, period_s
        self.takes_s = takes_s
        self.told: Callable[[Item, str, float], None] = lambda item, what, retry_after_s: None
        self.held: dict[str, Held] = {}
        self.up = True
        self.life = 0
        self.policy = make(0)
        self.told_off: dict[int, float] = {}  # endpoints not to be used any more, since when it was told
        self.listed: dict[int, api.Endpoint] = {}
        self.wait_until: dict[int, float] = {}  # by destination: as told
        self.seen_failing: dict[int, float] = {}  # by destination: when a call failed there last
        self.quiet: dict[str, float] = {}  # keys that rest
        self._events: list[api.Event] = []
        self._round_at = -inf
        self._due = False
        self._idle: dict[int, Idle] = {}
        self._order = 0
        self._by_key: dict[str, list[Held]] = {}
        self.open = self.out = 0  # messages that are not over; calls out

    # What comes in

    def post(self, event: api.Event) -> None:
        """An event for the next round."""
        self._events.append(event)
        if not self._due:
            self._due = True
            self.world.at(max(self.world.now, self._round_at + self.period_s), self._round, self.life)

    def take(self, item: Item, again: bool) -> bool:
        """A client hands a message in; False if nobody listens."""
        if not self.up:
            return False
        now = self.world.now
        known = self.held.get(item.ref)
        running = known is not None and any(a.outcome is None for a in known.attempts)
        if running or self.open >= self.settings.holding_room:
            self.world.after(self.way_s, self.told, item, "refused", 0.5)
            return True
        self._order += 1
        self.open += 1
        held = self.held[item.ref] = Held(item, item.ends_at, order=self._order)
        if item.key is not None:
            self._by_key.setdefault(item.key, []).append(held)
        self.world.at(held.ends_at + SLACK_S, self._check_end, held, self.life)
        self.post(
            api.Message(
                item.ref,
                item.dest,
                item.cls,
                max(0.001, item.ends_at - now),
                item.tenant,
                item.key,
                is_retry=again,
            )
        )
        return True

    def hear_list(self, entries: tuple[api.Endpoint, ...], whole: bool) -> None:
        """News of the list has come."""
        now = self.world.now
        if whole:
            entries = (
                *entries,
                *(
                    api.Endpoint(e.number, e.destination, e.kind, e.zone, Readiness.GONE)
                    for number, e in self.listed.items()
                    if number not in {x.number for x in entries}
                ),
            )
        for entry in entries:
            if entry.readiness is Readiness.SERVING:
                self.told_off.pop(entry.number, None)
                self.listed[entry.number] = entry
            else:
                self.told_off.setdefault(entry.number, now)
        if self.up:
            self.post(api.EndpointList(entries, whole))

    # Rounds

    def _round(self, life: int) -> None:
        if life != self.life or not self.up:
            return
        self._due, self._round_at = False, self.world.now
        events, self._events = self._events, []
        for action in self.policy.handle(self.world.now, events):
            self._act(action)

    def _act(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.SetTimer):
            self.world.after(action.after_s, self._ring, action.label, self.life)
        elif isinstance(action, api.Refuse):
            self._end(action.ref, "refused", action.retry_after_s)
        elif isinstance(action, api.Fail):
            self._end(action.ref, "failed")
        elif isinstance(action, api.CancelAttempt):
            held = self.held.get(action.ref)
            if held is not None and action.attempt < len(held.attempts):
                self._ended(held, held.attempts[action.attempt], Answer(Outcome.CANCELLED), self.life)
        elif isinstance(action, api.CloseIdle):
            self._idle.pop(action.endpoint, None)

    def _ring(self, label: int, life: int) -> None:
        if life == self.life and self.up:
            self.post(api.Timer(label))

    # Attempts

    def _send(self, action: api.Send) -> None:
        held, endpoint = self.held[action.ref], self.endpoints[action.endpoint]
        now, item = self.world.now, held.item
        self._check(held, endpoint)
        number = len(held.attempts)
        idle = self._idle.setdefault(action.endpoint, Idle())
        fresh = True
        idle_s = None
        while idle.since:
            since = idle.since.pop()
            if now - since < self.settings.keepalive_s:
                fresh, idle_s = False, now - since
                break
        way = self.way_s * (3 if fresh else 1)  # a new connection costs a round trip more
        call = Call(item.ref, self.number, number, self.takes_s(item.cls), None)
        attempt = Attempt(number, endpoint, now, call, idle_s)
        held.attempts.append(attempt)
        life = self.life
        call.hear = lambda answer: self.world.after(self.way_s, self._ended, held, attempt, answer, life)
        self.ledger.attempts += 1
        self.out += 1
        self.world.note("send", self.number, item.ref, action.endpoint)
        if fresh:
            self.ledger.connections += 1
            if endpoint.state is State.SILENT or endpoint.partner.down:
                self.world.after(
                    min(CONNECT_S, action.time_out_s),
                    self._ended,
                    held,
                    attempt,
                    Answer(Outcome.UNREACHABLE),
                    life,
                )
                return
        self.world.after(way, endpoint.partner.arrive, endpoint, call)
        self.world.after(action.time_out_s, self._ended, held, attempt, Answer(Outcome.TIMED_OUT), life)

    def _ended(self, held: Held, attempt: Attempt, answer: Answer, life: int) -> None:
        if attempt.outcome is not None or life != self.life:
            return
        now, dest = self.world.now, held.item.dest
        self.out -= 1
        attempt.outcome = answer.outcome
        attempt.call.hear = None
        if answer.outcome in (Outcome.DELIVERED, Outcome.ERROR, Outcome.REJECTED):
            self._idle.setdefault(attempt.endpoint.number, Idle()).since.append(now)
        if answer.outcome is not Outcome.DELIVERED:
            self.seen_failing[dest] = now
        if answer.outcome in (Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED) and held.item.key:
            self.quiet[held.item.key] = now + self.settings.rules.key_quiet_s
        if answer.wait_s:
            self.wait_until[dest] = max(self.wait_until.get(dest, 0.0), now + answer.wait_s)
        delivered = answer.outcome is Outcome.DELIVERED
        if delivered and not held.over:
            self._over(held, "delivered")
        if self.up:
            self.post(
                api.AttemptEnded(
                    held.item.ref,
                    attempt.number,
                    attempt.endpoint.number,
                    answer.outcome,
                    now - attempt.began_at,
                    held.over,
                    answer.wait_s,
                    room_left=answer.room_left,
                    limit_per_s=answer.limit_per_s,
                )
            )

    # Endings

    def _end(self, ref: str, what: str, retry_after_s: float = 0.0) -> None:
        held = self.held.get(ref)
        if held is None or held.over:
            self.ledger.breach("two endings", self.world.now, ref, what)
            return
        risky = [a for a in held.attempts if a.outcome is None or a.outcome in MAYBE]
        if (
            what == "refused"
            and risky
            and self.settings.classes[held.item.cls].idempotency is Idempotency.UNSAFE
        ):
            self.ledger.breach("handed back though it may have run", self.world.now, ref)
        self._over(held, what, retry_after_s)

    def _over(self, held: Held, what: str, retry_after_s: float = 0.0) -> None:
        held.over = True
        self.open -= 1
        if held.item.key is not None:
            self._by_key[held.item.key].remove(held)
        if self.world.now > held.ends_at + SLACK_S + EPSILON:
            self.ledger.breach("ended too late", self.world.now, held.item.ref, what)
        self.world.note(what, self.number, held.item.ref)
        self.told(held.item, what, retry_after_s)

    def _check_end(self, held: Held, life: int) -> None:
        if not held.over and self.up and self.held.get(held.item.ref) is held:
            self.ledger.breach("no ending in time", self.world.now, held.item.ref)
            self._over(held, "none")

    # Rules at the moment of a call

    def _check(self, held: Held, endpoint: Endpoint) -> None:
        now, item, cls = self.world.now, held.item, self.settings.classes[held.item.cls]
        call = f"attempt {len(held.attempts)} to endpoint {endpoint.number}"
        if held.over:
            self.ledger.breach("sent after its end", now, item.ref, call)
        told = self.told_off.get(endpoint.number)
        if told is not None and now > told + DRAIN_S + EPSILON:
            self.ledger.breach("drain", now, item.ref, call)
        if now < self.wait_until.get(item.dest, 0.0) - EPSILON:
            self.ledger.breach("wait", now, item.ref, call)
        risky = [a for a in held.attempts if a.outcome is None or a.outcome in MAYBE]
        if risky and (
            cls.idempotency is Idempotency.UNSAFE
            or (
                cls.idempotency is Idempotency.KEYED
                and now > risky[0].began_at + cls.dedup_window_s + EPSILON
            )
        ):
            self.ledger.breach("repeat", now, item.ref, call)
        if cls.in_order and item.key is not None:
            if now < self.quiet.get(item.key, 0.0) - EPSILON:
                self.ledger.breach("key rests", now, item.ref, call)
            if any(other.order < held.order for other in self._by_key.get(item.key, ())):
                self.ledger.breach("order", now, item.ref, call)

    # Death and return

    def crash(self) -> None:
        """SIGKILL: nobody hears the outcomes of what is out."""
        self.up = False
        self.life += 1
        self.out = 0
        self._events.clear()
        self._due = False
        self._idle.clear()
        self.wait_until.clear()

    def restart(self, entries: tuple[api.Endpoint, ...]) -> None:
        """Back with the folder that lasts: what is owed comes first, in the order it was taken on."""
        self.up = True
        now = self.world.now
        self.policy = self.make(self.life)
        self.seen_failing.clear()
        self.quiet.clear()
        self.post(api.EndpointList(entries, True))
        for held in sorted(self.held.values(), key=lambda each: each.order):
            if held.over:
                continue
            if now >= held.ends_at:
                held.ends_at = now  # nobody was there to end it in time
                self._over(held, "failed")
                continue
            past = []
            for attempt in held.attempts:
                attempt.known = False
                maybe = attempt.outcome is None or attempt.outcome in MAYBE
                if attempt.outcome is None:
                    attempt.outcome = Outcome.BROKEN
                past.append(api.PastAttempt(attempt.endpoint.number, now - attempt.began_at, maybe))
            self.post(
                api.Message(
                    held.item.ref,
                    held.item.dest,
                    held.item.cls,
                    held.ends_at - now,
                    held.item.tenant,
                    held.item.key,
                    is_retry=True,
                    past=tuple(past),
                    accepted=True,
                )
            )
