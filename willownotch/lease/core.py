"""The lease protocol as a state machine: takes messages, members and a time; returns messages, leases and
acts. It does no I/O and reads no clock.

A duty is held by the member that has a grant of it from a majority of the electors, a fixed set of members
named in the settings. The holder renews its lease. It counts the lease from before the request was sent, less
the greatest difference in speed between two clocks; an elector counts it from when the request arrived. So
the holder stops by its own clock before another member can start. Each act also carries the duty's token as a
fencing token: receivers refuse tokens lower than any that they have accepted or granted. A holder that was
suspended between checking its lease and acting therefore does no harm."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

import msgspec

from willownotch.lease.register import GrantRequest, GrantTable
from willownotch.lease.settings import LeaseSettings
from willownotch.peers.core import Membership, Send
from willownotch.peers.node import alive_members
from willownotch.peers.wire import Address

DRIFT_SHARE = 0.05  # how much two clocks may differ in speed
MAX_ROUNDS = 8  # the latest rounds of requests, whose answers still count
MAX_BODY_BYTES = 900  # of an act, so that it fits into a datagram
TICK_S = 0.05
RESENDS = 4  # of an act, to a member that has not answered


class LeaseRequest(msgspec.Struct, tag=50, frozen=True, array_like=True):
    """Asks an elector to grant a duty for `span_ms`, or (`release`) to end the grant."""

    source: str
    duty: str
    token: int
    uid: int
    span_ms: int
    number: int
    release: bool = False


class LeaseAnswer(msgspec.Struct, tag=51, frozen=True, array_like=True):
    """An elector's answer: whether it granted the request, and who holds its grant for how long."""

    source: str
    duty: str
    number: int
    granted: bool
    token: int
    holder: str
    uid: int
    left_ms: int


class DutyReleased(msgspec.Struct, tag=52, frozen=True, array_like=True):
    """The holder has released a duty, so that candidates need not wait for the end of the lease."""

    source: str
    duty: str
    token: int


class Act(msgspec.Struct, tag=53, frozen=True, array_like=True):
    """A command of a duty's holder to another member. Without a body it only announces the holder."""

    source: str
    duty: str
    token: int
    number: int
    uid: int
    left_ms: int
    body: bytes | None


class ActReply(msgspec.Struct, tag=54, frozen=True, array_like=True):
    """Whether an act was accepted. If not, `token` is the lowest token that the member accepts."""

    source: str
    duty: str
    token: int
    number: int
    accepted: bool


class Stage(Enum):
    """This member's stage in getting a duty."""

    IDLE = "idle"
    ASKING = "asking"
    HELD = "held"


@dataclass(slots=True)
class Round:
    """One round of requests to the electors, and who has answered it how."""

    sent_at: float
    token: int
    granted: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)


@dataclass(slots=True)
class PendingAct:
    """An act that some members have not answered."""

    message: Act
    resends_left: dict[str, int]  # by member
    resend_at: float


@dataclass(slots=True)
class Duty:
    """This member's state for one duty."""

    name: str
    stage: Stage = Stage.IDLE
    token: int = 0  # requested or held
    highest: int = 0  # known token
    until: float = 0.0  # end of the own lease
    ask_at: float = 0.0  # time of the next request
    rounds: dict[int, Round] = field(default_factory=dict)
    number: int = 0  # of the last round
    began_at: float = 0.0  # first request with this token
    contests: int = 0  # attempts in a row that split the electors' grants
    fence: int = 0  # acts with a lower token are refused
    holder: str = ""  # as last reported
    holder_until: float = 0.0
    acts: int = 0  # performed by this member
    accepted: int = 0  # acts of any member, this one included
    refused: int = 0
    announced_at: float = -1e9
    canary_at: float = 0.0
    pending: dict[int, PendingAct] = field(default_factory=dict)
    last_acts: dict[tuple[str, int], int] = field(default_factory=dict)  # number by process


Store = Callable[[str, int, str, int], bool]  # duty, token, holder (empty: a fence), uid; True if stored


class Duties:
    """One member's part in the protocol, as elector, candidate, holder and receiver; a layer of the node.

    `store` makes a grant or a fence durable before it takes effect. `on_act` is called for each act that is
    accepted here."""

    messages = (LeaseRequest, LeaseAnswer, DutyReleased, Act, ActReply)

    def __init__(
        self,
        name: str,
        uid: int,
        settings: LeaseSettings,
        now: float,
        random: Random,
        store: Store = lambda duty, token, holder, uid: True,
        on_act: Callable[[str, int, str, bytes], None] = lambda *act: None,
    ) -> None:
        self.name, self.uid, self.settings, self.random = name, uid, settings, random
        self.store, self.on_act = store, on_act
        self.register = GrantTable(now, self._span())
        self.duties: dict[str, Duty] = {}
        self.log_lines: list[str] = []
        self._alive: dict[str, Address] = {}  # the other members that are alive or suspected
        self._addresses: dict[str, Address] = {}  # all other known members, dead ones included
        self._answered_at: dict[str, float] = {}  # last answer of each elector
        self._outbox: list[Send] = []
        self._due, self._last_tick = now, now
        self._leaving = False
        self.configure(settings)

    def _span(self) -> float:
        return self.settings.span.total_seconds()

    def configure(self, settings: LeaseSettings) -> None:
        """Applies new settings. A duty that they no longer have is released."""
        self.settings = settings
        self.register.span = max(self.register.span, self._span())
        for name in settings.duty:
            self.duties.setdefault(name, Duty(name))
        for name in [name for name in self.duties if name not in settings.duty]:
            self._release(self.duties.pop(name))

    def restore(self, duty: str, token: int, holder: str, uid: int) -> None:
        """Takes over a stored grant, or a stored fence if `holder` is empty."""
        if holder:
            self.register.restore(duty, token, holder, uid)
        if duty in self.duties:
            known = self.duties[duty]
            known.fence = known.highest = max(known.fence, token)

    # Use of a lease

    def token(self, duty: str, now: float) -> int | None:
        """The token under which this member may act now; None if it does not hold the duty."""
        known = self.duties.get(duty)
        held = known is not None and known.stage is Stage.HELD and now < known.until
        return known.token if held else None

    def act(self, now: float, duty: str, body: bytes) -> int | None:
        """Sends an act to all members, and returns its number; None if the duty is not held or the body is
        longer than `MAX_BODY_BYTES`."""
        token = self.token(duty, now)
        if token is None or len(body) > MAX_BODY_BYTES:
            return None
        known = self.duties[duty]
        known.acts += 1
        number = known.acts
        left_ms = max(0, round((known.until - now) * 1000))
        message = Act(self.name, duty, token, number, self.uid, left_ms, body)
        known.pending[number] = PendingAct(message, dict.fromkeys(self._alive, RESENDS), now + TICK_S)
        while len(known.pending) > 256:
            del known.pending[next(iter(known.pending))]
        for address in self._alive.values():
            self._outbox.append(Send(address, message))
        self._accept(now, message)
        return number

    # Interface of a layer

    def due(self) -> float:
        """The time by which `tick` has to be called."""
        return self._due

    def tick(self, now: float, membership: Membership) -> list[Send]:
        """Runs what is due for each duty, and returns the messages to send."""
        self._due, self._alive = now + TICK_S, dict(alive_members(membership))
        self._addresses = {member.name: member.address for member in membership.members.values()}
        if not self._leaving:
            for duty in self.duties.values():
                self._advance(now, duty)
        self._last_tick = now
        sent, self._outbox = self._outbox, []
        return sent

    def receive(self, now: float, address: Address, message: msgspec.Struct) -> list[Send]:
        """Handles a message of another member, and returns the messages to send."""
        if isinstance(message, LeaseRequest):
            self._handle_request(now, address, message)
        elif isinstance(message, LeaseAnswer):
            self._handle_answer(now, message)
        elif isinstance(message, DutyReleased):
            self._handle_released(now, message)
        elif isinstance(message, Act):
            accepted = self._accept(now, message)
            if message.body is not None or not accepted:
                token = message.token if accepted else self._fence(message.duty)
                self._outbox.append(
                    Send(address, ActReply(self.name, message.duty, token, message.number, accepted))
                )
        else:
            self._handle_reply(now, message)
        sent, self._outbox = self._outbox, []
        return sent

    def leave(self, now: float) -> list[Send]:
        """Releases all duties before this member leaves, and returns the messages to send."""
        self._leaving = True
        for duty in self.duties.values():
            self._release(duty)
        sent, self._outbox = self._outbox, []
        return sent

    # Elector

    def _handle_request(self, now: float, address: Address, request: LeaseRequest) -> None:
        if self.name not in self.settings.electors:
            return
        known = self.register.grants.get(request.duty)
        wanted = GrantRequest(
            request.token, request.source, request.uid, request.span_ms / 1000, request.release
        )
        grant = self.register.ask(now, request.duty, wanted)
        if (
            grant is not None
            and (known is None or grant.token != known.token)
            and not self.store(request.duty, grant.token, grant.holder, grant.uid)
        ):
            # The grant would not survive a restart of this process, so it is taken back.
            if known is None:
                self.register.forget(request.duty)
            else:
                self.register.grants[request.duty] = known
            grant, known = None, known
        shown = grant or self.register.grants.get(request.duty)
        left_ms = round(self.register.left(now, request.duty) * 1000)
        answer = LeaseAnswer(
            self.name,
            request.duty,
            request.number,
            grant is not None,
            shown.token if shown else 0,
            shown.holder if shown else "",
            shown.uid if shown else 0,
            left_ms,
        )
        if request.source == self.name:
            self._handle_answer(now, answer)
        else:
            self._outbox.append(Send(address, answer))

    def _fence(self, duty: str) -> int:
        """The lowest token of acts that are accepted here: the highest one granted or accepted so far."""
        known = self.duties.get(duty)
        return max(known.fence if known else 0, self.register.token(duty))

    # Candidate

    def _candidates(self, duty: str) -> list[str]:
        """The alive members, this one included, in an order that differs by duty but not by member."""
        from xxhash import xxh64_intdigest

        names = [*self._alive, self.name]
        return sorted(names, key=lambda name: (xxh64_intdigest(f"{duty}\0{name}".encode()), name))

    def _advance(self, now: float, duty: Duty) -> None:
        """Keeps a held duty; otherwise requests it if this member is one of the first candidates."""
        if duty.stage is Stage.HELD:
            self._hold(now, duty)
        elif now >= duty.ask_at:
            candidates = self._candidates(duty.name)
            rank = candidates.index(self.name)
            if rank < self.settings.candidates:
                self._try(now, duty, rank)
            else:
                duty.stage, duty.ask_at = Stage.IDLE, now + self._span()

    def _try(self, now: float, duty: Duty, rank: int) -> None:
        """Requests the next token, after a delay that grows with this candidate's rank.

        A member that sees no majority of the electors does not request: its higher tokens would only
        disturb a holder on the other side of a partition.
        """
        recent = now - 2 * self._span()
        seen = sum(
            name == self.name or name in self._alive or self._answered_at.get(name, recent) > recent
            for name in self.settings.electors
        )
        if seen < self._majority():
            duty.stage, duty.ask_at = Stage.IDLE, now + self._span() / 4
            # A request with token 0 is never granted, but its answers show which electors are reachable.
            self._to_electors(LeaseRequest(self.name, duty.name, 0, self.uid, 0, 0))
            return
        if duty.stage is Stage.IDLE and rank:
            duty.stage, duty.ask_at = Stage.ASKING, now + rank * min(1.0, self._span() / 5)
            duty.token = 0
            return
        duty.highest = max(duty.highest, self.register.token(duty.name))
        if duty.stage is Stage.IDLE or not duty.token:
            duty.token, duty.began_at = duty.highest + 1, now
        elif duty.token < duty.highest or now - duty.began_at > self._span():
            # Two candidates with some of the electors each would block each other for good.
            return self._back_off(now, duty, 0.0)
        # Otherwise the same token is requested again: answers to the last round may still be in flight.
        duty.stage = Stage.ASKING
        duty.ask_at = now + min(0.3, self._span() / 4) * self.random.uniform(1.0, 1.5)
        self._ask(now, duty)

    def _majority(self) -> int:
        return len(self.settings.electors) // 2 + 1

    def _ask(self, now: float, duty: Duty, release: bool = False, token: int = 0) -> None:
        """Starts a round: sends a request to all electors, this member included."""
        token = token or duty.token
        duty.number += 1
        duty.rounds[duty.number] = Round(now, token)
        while len(duty.rounds) > MAX_ROUNDS:
            del duty.rounds[next(iter(duty.rounds))]
        span_ms = round(self._span() * 1000)
        request = LeaseRequest(self.name, duty.name, token, self.uid, span_ms, duty.number, release)
        if self.name in self.settings.electors:
            self._handle_request(now, ("", 0), request)
        self._to_electors(request)

    def _to_electors(self, request: LeaseRequest) -> None:
        """Sends to the other electors, also to those considered dead: the membership may be wrong or late."""
        self._outbox += [
            Send(self._addresses[name], request)
            for name in self.settings.electors
            if name != self.name and name in self._addresses
        ]

    def _handle_answer(self, now: float, answer: LeaseAnswer) -> None:
        duty = self.duties.get(answer.duty)
        if duty is None:
            return
        self._answered_at[answer.source] = now
        duty.highest = max(duty.highest, answer.token)
        own = (answer.holder, answer.uid) == (self.name, self.uid)
        if not own and answer.left_ms and answer.holder:
            duty.holder, duty.holder_until = answer.holder, now + answer.left_ms / 1000
        found = duty.rounds.get(answer.number)
        if found is None or duty.stage is Stage.IDLE:
            return
        if answer.granted and answer.token == found.token >= duty.token:
            found.granted.add(answer.source)
            if len(found.granted) >= self._majority():
                self._win(now, duty, found)
        elif not answer.granted:
            found.refused.add(answer.source)
            if (
                duty.stage is Stage.ASKING
                and len(found.refused) > len(self.settings.electors) - self._majority()
            ):
                self._back_off(now, duty, answer.left_ms / 1000)

    def _back_off(self, now: float, duty: Duty, left_s: float) -> None:
        """Without a majority in reach, releases the grants received and retries after the present lease."""
        contested = any(found.granted for found in duty.rounds.values())
        if contested:
            self._ask(now, duty, release=True)
        duty.stage = Stage.IDLE
        duty.rounds.clear()
        # Repeated contests widen the range of delays, so that the one that waits least has enough time.
        duty.contests = min(duty.contests + 1, 4) if contested else 0
        duty.ask_at = now + left_s + self.random.uniform(0.0, 0.05 * 2**duty.contests) * self._span()

    def _handle_released(self, now: float, released: DutyReleased) -> None:
        duty = self.duties.get(released.duty)
        if duty is not None and duty.stage is not Stage.HELD:
            duty.highest = max(duty.highest, released.token)
            duty.holder, duty.ask_at = "", now

    # Holder

    def _win(self, now: float, duty: Duty, found: Round) -> None:
        """Takes or extends the lease after a majority has granted it."""
        until = found.sent_at + self._span() * (1 - DRIFT_SHARE)
        if until <= now:
            return
        if duty.stage is not Stage.HELD or found.token > duty.token:
            if not self._raise_fence(duty, found.token):
                return
            self.log_lines.append(f"{duty.name} is held here under token {found.token}")
            if duty.stage is not Stage.HELD:
                duty.canary_at, duty.ask_at = now, now + self._span() / 3
            duty.stage, duty.token, duty.announced_at, duty.contests = Stage.HELD, found.token, -1e9, 0
            duty.pending.clear()
        duty.until = max(duty.until, until)
        duty.holder, duty.holder_until = self.name, duty.until

    def _hold(self, now: float, duty: Duty) -> None:
        """Renews the lease, announces the holder and resends acts; gives the duty up if the lease is over."""
        if now >= duty.until:
            self._lose(now, duty, "its lease ran out")
            return
        if now >= duty.ask_at:
            duty.ask_at = now + self._span() / 6
            # Electors that granted a higher token to another candidate grant only one higher than that.
            self._ask(now, duty, token=duty.highest + 1 if duty.highest > duty.token else duty.token)
        if now - duty.announced_at >= self._span() / 3:
            duty.announced_at = now
            left_ms = round((duty.until - now) * 1000)
            announcement = Act(self.name, duty.name, duty.token, 0, self.uid, left_ms, None)
            self._outbox += [Send(address, announcement) for address in self._alive.values()]
        canary = self.settings.duty[duty.name].canary
        if canary is not None and now >= duty.canary_at:
            duty.canary_at = now + canary.total_seconds()
            self.act(now, duty.name, b"canary")
        for number, pending in list(duty.pending.items()):
            if now >= pending.resend_at:
                pending.resend_at = now + 4 * TICK_S
                for name, left in list(pending.resends_left.items()):
                    if left <= 0 or name not in self._alive:
                        del pending.resends_left[name]
                        continue
                    pending.resends_left[name] = left - 1
                    self._outbox.append(Send(self._alive[name], pending.message))
                if not pending.resends_left:
                    del duty.pending[number]

    def _lose(self, now: float, duty: Duty, why: str) -> None:
        """Gives up a duty that was not released, and schedules the next request."""
        self.log_lines.append(f"{duty.name} is no longer held here (token {duty.token}): {why}")
        duty.stage, duty.until = Stage.IDLE, 0.0
        duty.pending.clear()
        duty.rounds.clear()
        duty.ask_at = now + self.random.uniform(0.0, 0.2) * min(1.0, self._span())

    def _release(self, duty: Duty) -> None:
        """Releases a held or requested duty, and tells all members if it was held."""
        if duty.stage is not Stage.IDLE:
            self._ask(self._last_tick, duty, release=True)
        if duty.stage is Stage.HELD:
            self.log_lines.append(f"{duty.name} is handed on (token {duty.token})")
            for address in self._alive.values():
                self._outbox.append(Send(address, DutyReleased(self.name, duty.name, duty.token)))
        duty.stage, duty.until = Stage.IDLE, 0.0
        duty.pending.clear()

    # Receiver of acts

    def _raise_fence(self, duty: Duty, token: int) -> bool:
        """Refuses lower tokens from now on; False if this could not be made durable."""
        if token > duty.fence:
            known = self.register.grants.get(duty.name)
            if (known is None or known.token < token) and not self.store(duty.name, token, "", 0):
                return False
            duty.fence = token
        duty.highest = max(duty.highest, token)
        return True

    def _accept(self, now: float, act: Act) -> bool:
        """Applies an act, once for each number of its process; False if its token is refused."""
        duty = self.duties.get(act.duty)
        if duty is None:
            return False
        if act.token < self._fence(act.duty) or not self._raise_fence(duty, act.token):
            duty.refused += 1
            return False
        if act.source != self.name:
            if duty.stage is Stage.HELD and act.token > duty.token:
                self._lose(now, duty, f"{act.source} has token {act.token}")
            duty.holder, duty.holder_until = act.source, now + act.left_ms / 1000
            if duty.stage is Stage.IDLE:
                duty.ask_at = max(duty.ask_at, now + act.left_ms / 1000)
        if act.body is not None:
            process = act.source, act.uid
            if duty.last_acts.get(process, 0) < act.number:
                if len(duty.last_acts) > 64:
                    duty.last_acts.clear()
                duty.last_acts[process] = act.number
                duty.accepted += 1
                self.on_act(act.duty, act.token, act.source, act.body)
        return True

    def _handle_reply(self, now: float, reply: ActReply) -> None:
        duty = self.duties.get(reply.duty)
        if duty is None:
            return
        pending = duty.pending.get(reply.number)
        if pending is not None:
            pending.resends_left.pop(reply.source, None)
        duty.highest = max(duty.highest, reply.token)  # a refusal does not end the lease, only its time does
