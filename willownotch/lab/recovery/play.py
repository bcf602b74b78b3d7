"""Plays a case: controllers in simulated time, each event in its turn."""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from math import exp
from random import Random
from typing import Any

from willownotch.control import Controller
from willownotch.interface import (
    AttemptEnded,
    CancelAttempt,
    DestinationKind,
    Endpoint,
    EndpointList,
    Event,
    Fail,
    Idempotency,
    Message,
    MessageClass,
    Outcome,
    PastAttempt,
    Refuse,
    Send,
    SetTimer,
    Settings,
    SlowStartRecords,
    Timer,
)
from willownotch.lab.recovery.case import Case, Restart
from willownotch.lab.recovery.destination import STEP_S, Destination, Window
from willownotch.repeats import RAN_BY_OUTCOME
from willownotch.state import Ran

CLASSES = (
    MessageClass("order", 1.0, 2.5, 16.0, 0.3, Idempotency.KEYED, dedup_window_s=15.0),
    MessageClass("status", 1.0, 2.5, 28.0, 0.4, Idempotency.SAFE),
    MessageClass("fee", 3.0, 2.0, 20.0, 0.3, Idempotency.UNSAFE),
)
SHARES = (0.46, 0.43, 0.11)
LEAST_SLOTS, LEAST_ROOM = 8, 40
BUSY_S, HELD_S = 0.5, 10.0  # of a sender's part of the limit, for its slots and its holding room
TRIES, COME_BACK_S, KEEPALIVE_S = 12, 2.0, 5.0
AGAIN_S = (0.39, 1.7)  # until a client hands in again what was refused, or lost with its sender
AGAIN_MOST = 3
AWARE_MOST = 2 / 3  # of the calls under which a destination falls
AFTER_S = 4.0  # played beyond the slow start


@dataclass(slots=True)
class Handed:
    """A message as its client has it."""

    ref: str
    message_class: int
    ends_at: float
    tries: int = 0


@dataclass(slots=True)
class Out:
    """An attempt that is out."""

    handed: Handed
    number: int
    endpoint: int
    sent_at: float


@dataclass(slots=True)
class SimulatedSender:
    """One sender: its process of the moment, and what its folder holds."""

    number: int
    controller: Controller | None
    weight: float
    generation: int = 0  # of its processes: what was meant for an earlier one is dropped
    owed: dict[str, Handed] = field(default_factory=dict)
    attempts: dict[str, list[Out]] = field(default_factory=dict)
    ended: dict[tuple[str, int], Outcome] = field(default_factory=dict)
    saved: SlowStartRecords = SlowStartRecords((), None)  # what the folder has of endpoints


@dataclass(frozen=True)
class Result:
    """What a case came to."""

    case: Case
    worst: Window
    delivered: int  # in the slow start
    offered: float  # what could have been delivered in it, at the destination's pace
    late: int  # messages delivered after their wanted time, of all
    total: int
    grantable: float = 0.0  # messages that were offered in the slow start and fit into its windows' budgets

    @property
    def kept(self) -> bool:
        """Whether no window had more calls than its budget grants."""
        return self.worst.over <= 0

    @property
    def broken(self) -> bool:
        """Whether a window is over its budget, two thirds of it by senders that had seen a failure."""
        return not self.kept and self.worst.aware > AWARE_MOST

    def text(self) -> str:
        """The worst window, what was used of the slow start, and the case."""
        return (
            f"{self.worst.over:+.2f} of N at {self.worst.from_s:.1f} s ({self.worst.calls:g} calls, N "
            f"{self.worst.expected:.1f}, {self.worst.aware:.0%} aware); delivered {self.delivered} of "
            f"{self.offered:.0f}; {self.case.describe()}"
        )


class Play:
    """One case, played once."""

    def __init__(self, case: Case) -> None:
        self.case, self.random = case, Random(case.seed)
        self.destination = Destination(case)
        self.settings = Settings(
            classes=CLASSES,
            kinds=(DestinationKind("partner", case.batch),),
            slots=max(LEAST_SLOTS, int(BUSY_S * case.limit_per_s / case.senders)),
            holding_room=max(LEAST_ROOM, int(HELD_S * case.limit_per_s / case.senders)),
            senders=case.senders,
            max_attempts=TRIES,
            max_retry_after_s=COME_BACK_S,
            handshake_price=0.04,
            keepalive_s=KEEPALIVE_S,
            may_cancel=True,
            listed_rates=case.listed > 0,
            rules=case.rules,
        )
        self.listed = EndpointList(
            tuple(
                Endpoint(n + 1, 1, 0, 0, rate=case.listed * case.limit_per_s) for n in range(case.endpoints)
            ),
            whole=True,
        )
        self._events: list[tuple[float, int, Any, tuple]] = []
        self._order, self._refs = count(), count()
        weights = [exp(self.random.gauss(0.0, case.uneven)) for _ in range(case.senders)]
        self.senders = [SimulatedSender(n, None, weight) for n, weight in enumerate(weights)]
        self.now, self.late, self.total = -case.quiet_s, 0, 0
        self.ends_at = case.returned_s + case.cold_s + AFTER_S

    def run(self) -> Result:
        """Play it, and judge its slow start."""
        case = self.case
        for sender in self.senders:
            self._start(sender)
        self._at(self.now, self._arrive)
        for restart in case.restarts:
            self._at(case.returned_s + restart.at_s, self._restart, restart)
        if case.burst:
            self._at(case.returned_s, self._burst)
        while self._events and self._events[0][0] < self.ends_at:
            self.now, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
        windows = self.destination.windows()
        back = case.returned_s
        delivered = sum(back <= at < back + case.cold_s for at in self.destination.delivered)
        offered = min(1.0, case.load) * case.limit_per_s * case.cold_s
        # A window that breaks the rule goes before a fuller one that does not.
        worst = max(windows, key=lambda window: (window.over > 0 and window.aware > AWARE_MOST, window.over))
        return Result(case, worst, delivered, offered, self.late, self.total, self._grantable(windows))

    def _grantable(self, windows: list[Window]) -> float:
        """What is offered in the slow start, but no more than each window's settings allow without chance."""
        rules, case = self.case.rules, self.case
        a_window = min(1.0, case.load) * case.limit_per_s * rules.fall_s
        part = case.failing_endpoints / case.endpoints
        one_each = windows[:: round(rules.fall_s / STEP_S)]
        bound = sum(min(a_window * part, window.expected) for window in one_each)
        whole = case.cold_s / (len(one_each) * rules.fall_s)  # the last windows are cut off
        return whole * (bound + (1 - part) * a_window * len(one_each))

    def _at(self, when: float, act: Any, *arguments: Any) -> None:
        heapq.heappush(self._events, (when, next(self._order), act, arguments))

    # The senders

    def _start(self, sender: SimulatedSender) -> None:
        sender.controller = Controller(
            self.settings, self.case.seed * 7 + sender.number * 131 + sender.generation
        )
        events: list[Event] = [self.listed]
        events.insert(0, sender.saved)
        for handed in sender.owed.values():
            past = tuple(
                PastAttempt(
                    out.endpoint,
                    self.now - out.sent_at,
                    RAN_BY_OUTCOME[sender.ended.get((handed.ref, out.number), Outcome.TIMED_OUT)]
                    is not Ran.NEVER,
                )
                for out in sender.attempts.get(handed.ref, ())
            )
            events.append(self._message(handed, past, accepted=True))
        self._handle(sender, events)

    def _message(self, handed: Handed, past: tuple[PastAttempt, ...] = (), accepted: bool = False) -> Message:
        return Message(
            handed.ref,
            1,
            handed.message_class,
            handed.ends_at - self.now,
            is_retry=bool(past) or handed.tries > 0,
            past=past,
            accepted=accepted,
        )

    def _restart(self, restart: Restart) -> None:
        chosen = [s for s in self.senders if self.random.random() < restart.share]
        for sender in chosen:
            if sender.controller is None or restart.upgrade:
                continue  # an upgrade hands the whole controller over: nothing changes here
            nothing = SlowStartRecords((), None)
            sender.saved = sender.controller.slow_starts() if restart.keeps_folder else nothing
            sender.controller, sender.generation = None, sender.generation + 1
            if not restart.keeps_folder:
                for handed in sender.owed.values():
                    self._hand_in_later(handed)
                sender.owed, sender.attempts, sender.ended = {}, {}, {}
            self._at(self.now + restart.down_s, self._start, sender)

    def _handle(self, sender: SimulatedSender, events: list[Event]) -> None:
        messages: Counter[int] = Counter()  # sent to each endpoint by this reply, which share calls
        for action in sender.controller.handle(self.now, events):
            if isinstance(action, Send):
                further = messages[action.endpoint] % self.case.batch > 0
                messages[action.endpoint] += 1
                self._send(sender, action, further)
            elif isinstance(action, SetTimer):
                self._at(
                    self.now + action.after_s, self._deliver, sender, sender.generation, Timer(action.label)
                )
            elif isinstance(action, Refuse | Fail):
                handed = self._forget(sender, action.ref)
                if handed is not None and isinstance(action, Refuse):
                    self._hand_in_later(handed)
            elif isinstance(action, CancelAttempt):
                out = sender.attempts[action.ref][action.attempt]
                self._ends(sender, out, Outcome.CANCELLED, 0.02)

    def _deliver(self, sender: SimulatedSender, generation: int, event: Event) -> None:
        """Tell a process something, unless it is gone; one that is held hears it later."""
        if sender.generation != generation:
            return
        share, begin, end = self.case.held_s
        back = self.case.returned_s
        if sender.number < share * self.case.senders and back + begin <= self.now < back + end:
            self._at(back + end, self._deliver, sender, generation, event)
        else:
            self._handle(sender, [event])

    def _forget(self, sender: SimulatedSender, ref: str) -> Handed | None:
        sender.attempts.pop(ref, None)
        return sender.owed.pop(ref, None)

    # Attempts

    def _send(self, sender: SimulatedSender, action: Send, further: bool) -> None:
        handed = sender.owed[action.ref]
        outs = sender.attempts.setdefault(action.ref, [])
        out = Out(handed, len(outs), action.endpoint, self.now)
        outs.append(out)
        reply = self.destination.call(sender.number, action.endpoint, self.now, further)
        if reply.after_s is None or reply.after_s > action.time_out_s:
            self._ends(sender, out, Outcome.TIMED_OUT, action.time_out_s)
        else:
            self._ends(sender, out, reply.outcome, reply.after_s, reply.room_left, reply.limit_per_s)

    def _ends(
        self,
        sender: SimulatedSender,
        out: Out,
        outcome: Outcome,
        after_s: float,
        room_left: float | None = None,
        limit_per_s: float | None = None,
    ) -> None:
        event = AttemptEnded(
            out.handed.ref,
            out.number,
            out.endpoint,
            outcome,
            self.now + after_s - out.sent_at,
            outcome is Outcome.DELIVERED,
            room_left=room_left,
            limit_per_s=limit_per_s,
        )
        self._at(self.now + after_s, self._ended, sender, sender.generation, out, event)

    def _ended(self, sender: SimulatedSender, generation: int, out: Out, event: AttemptEnded) -> None:
        if sender.generation != generation or (out.handed.ref, out.number) in sender.ended:
            return
        sender.ended[out.handed.ref, out.number] = event.outcome
        if event.outcome is Outcome.DELIVERED:
            wanted = out.handed.ends_at - CLASSES[out.handed.message_class].deadline_s
            self.late += self.now - wanted > CLASSES[out.handed.message_class].wanted_s
            self._forget(sender, out.handed.ref)
        elif event.outcome is Outcome.TIMED_OUT:
            self.destination.learns(sender.number, out.sent_at)
        self._deliver(sender, generation, event)

    # Clients

    def _arrive(self) -> None:
        rate = self.case.load * self.case.limit_per_s
        self._at(self.now + self.random.expovariate(rate), self._arrive)
        self._fresh()

    def _burst(self) -> None:
        sender = self.random.choice(self.senders)
        for _ in range(int(self.case.burst * self.case.limit_per_s)):
            self._fresh(sender)

    def _fresh(self, sender: SimulatedSender | None = None) -> None:
        message_class = self.random.choices(range(len(CLASSES)), SHARES)[0]
        handed = Handed(f"m{next(self._refs)}", message_class, self.now + CLASSES[message_class].deadline_s)
        self.total += 1
        self._hand_in(handed, sender)

    def _hand_in_later(self, handed: Handed) -> None:
        after = self.random.uniform(*AGAIN_S)
        if handed.tries < AGAIN_MOST and self.now + after < handed.ends_at:
            again = Handed(f"m{next(self._refs)}", handed.message_class, handed.ends_at, handed.tries + 1)
            self._at(self.now + after, self._hand_in, again)

    def _hand_in(self, handed: Handed, sender: SimulatedSender | None = None) -> None:
        live = [s for s in self.senders if s.controller is not None]
        if not live:
            return
        if sender is None or sender.controller is None:
            sender = self.random.choices(live, [s.weight for s in live])[0]
        if len(sender.owed) >= self.settings.holding_room:
            return self._hand_in_later(handed)
        sender.owed[handed.ref] = handed
        self._deliver(sender, sender.generation, self._message(handed))


def play(case: Case) -> Result:
    """Play a case."""
    return Play(case).run()
