"""Duties as a state machine: messages, members and a time in; messages, holdings and acts out. No I/O, no
clock.

A duty is held by who has a grant of it from a majority of the electors, a fixed set that the settings name.
Its holder renews it; it counts its lease from before it asked, less what two clocks may differ in speed,
while an elector counts from when it was asked. So the holder stops by its own clock before another can
begin. Every act bears the duty's token, and whoever takes acts refuses a lower token than it has seen or
granted: a holder that stood still between looking at its lease and acting does no harm."""

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

DRIFT = 0.05  # how much two clocks may differ in speed
ROUNDS = 8  # of questions whose answers still count
BODY_MOST = 900  # bytes of an act: it fits a datagram
STEP_S = 0.05  # s between two looks
AGAIN = 4  # times that an act is sent to who has not answered


class Ask(msgspec.Struct, tag=50, frozen=True, array_like=True):
    """To an elector: let me hold this duty for so long, or (`release`) I am done with it."""

    source: str
    duty: str
    token: int
    uid: int
    span_ms: int
    number: int
    release: bool = False


class Answer(msgspec.Struct, tag=51, frozen=True, array_like=True):
    """An elector's: granted or not, and who has it for how long."""

    source: str
    duty: str
    number: int
    granted: bool
    token: int
    holder: str
    uid: int
    left_ms: int


class Free(msgspec.Struct, tag=52, frozen=True, array_like=True):
    """Its holder has let go of a duty: who wants it need not wait."""

    source: str
    duty: str
    token: int


class Act(msgspec.Struct, tag=53, frozen=True, array_like=True):
    """Something that a duty's holder does at another member; no body: it only says who holds it."""

    source: str
    duty: str
    token: int
    number: int
    uid: int
    left_ms: int
    body: bytes | None


class ActReply(msgspec.Struct, tag=54, frozen=True, array_like=True):
    """An act was taken, or it was refused: a higher token is known."""

    source: str
    duty: str
    token: int
    number: int
    taken: bool


class Stage(Enum):
    """How far this member has come with a duty."""

    IDLE = "idle"
    ASKING = "asking"
    HELD = "held"


@dataclass(slots=True)
class Round:
    """Electors that were asked at one moment."""

    sent_at: float
    token: int
    granted: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Pending:
    """An act that some have not answered."""

    message: Act
    left: dict[str, int]  # members, and how often it is still sent
    again_at: float


@dataclass(slots=True)
class Duty:
    """One duty as this member has it."""

    name: str
    stage: Stage = Stage.IDLE
    token: int = 0  # asked for, or held
    highest: int = 0  # heard of
    until: float = 0.0  # of the lease, while it is held
    ask_at: float = 0.0
    rounds: dict[int, Round] = field(default_factory=dict)
    number: int = 0
    began_at: float = 0.0  # to ask for this token
    tries: int = 0  # that came to nothing, one after the other
    fence: int = 0  # no act of a lower token is taken here
    holder: str = ""  # as last heard
    holder_until: float = 0.0
    acts: int = 0  # done here
    taken: int = 0  # acts of others, and of this one
    refused: int = 0
    told_at: float = -1e9
    canary_at: float = 0.0
    pending: dict[int, Pending] = field(default_factory=dict)
    seen: dict[tuple[str, int], int] = field(default_factory=dict)  # of each process, its last act


Keep = Callable[[str, int, str, int], bool]  # duty, token, holder, life; no holder: a fence. Whether it is


class Duties:
    """One member's part: elector, candidate, holder and receiver. A layer of the membership.

    `keep` puts a grant or a fence into the folder before it counts; `took` is told of each act that is taken
    here."""

    messages = (Ask, Answer, Free, Act, ActReply)

    def __init__(
        self,
        name: str,
        uid: int,
        settings: LeaseSettings,
        now: float,
        random: Random,
        keep: Keep = lambda duty, token, holder, uid: True,
        took: Callable[[str, int, str, bytes], None] = lambda *act: None,
    ) -> None:
        self.name, self.uid, self.settings, self.random = name, uid, settings, random
        self.keep, self.took = keep, took
        self.register = GrantTable(now, self._span())
        self.duties: dict[str, Duty] = {}
        self.news: list[str] = []  # lines for the operators
        self._members: dict[str, Address] = {}  # that are there
        self._known: dict[str, Address] = {}  # all that were ever heard of
        self._heard: dict[str, float] = {}  # electors, when they last answered
        self._sent: list[Send] = []
        self._due, self._ticked = now, now
        self._leaving = False
        self.configure(settings)

    def _span(self) -> float:
        return self.settings.span.total_seconds()

    def configure(self, settings: LeaseSettings) -> None:
        """Other settings. A duty that is gone is let go of."""
        self.settings = settings
        self.register.span = max(self.register.span, self._span())
        for name in settings.duty:
            self.duties.setdefault(name, Duty(name))
        for name in [name for name in self.duties if name not in settings.duty]:
            self._let_go(self.duties.pop(name))

    def restore(self, duty: str, token: int, holder: str, uid: int) -> None:
        """What the folder has of a duty: what was granted, or (no holder) a fence."""
        if holder:
            self.register.restore(duty, token, holder, uid)
        if duty in self.duties:
            known = self.duties[duty]
            known.fence = known.highest = max(known.fence, token)

    # What is asked of it

    def token(self, duty: str, now: float) -> int | None:
        """The token that this member may act under now; None: it may not."""
        known = self.duties.get(duty)
        held = known is not None and known.stage is Stage.HELD and now < known.until
        return known.token if held else None

    def act(self, now: float, duty: str, body: bytes) -> int | None:
        """Do something everywhere under a duty; the act's number, or None: it is not held."""
        token = self.token(duty, now)
        if token is None or len(body) > BODY_MOST:
            return None
        known = self.duties[duty]
        known.acts += 1
        number = known.acts
        left = max(0, round((known.until - now) * 1000))
        message = Act(self.name, duty, token, number, self.uid, left, body)
        known.pending[number] = Pending(message, dict.fromkeys(self._members, AGAIN), now + STEP_S)
        while len(known.pending) > 256:
            del known.pending[next(iter(known.pending))]
        for address in self._members.values():
            self._sent.append(Send(address, message))
        self._take(now, message)
        return number

    # The layer

    def due(self) -> float:
        """When the next tick is wanted."""
        return self._due

    def tick(self, now: float, membership: Membership) -> list[Send]:
        """Let time pass."""
        self._due, self._members = now + STEP_S, dict(alive_members(membership))
        self._known = {member.name: member.address for member in membership.members.values()}
        if not self._leaving:
            for duty in self.duties.values():
                self._look(now, duty)
        self._ticked = now
        sent, self._sent = self._sent, []
        return sent

    def receive(self, now: float, address: Address, message: msgspec.Struct) -> list[Send]:
        """A message of another member."""
        if isinstance(message, Ask):
            self._asked(now, address, message)
        elif isinstance(message, Answer):
            self._answered(now, message)
        elif isinstance(message, Free):
            self._freed(now, message)
        elif isinstance(message, Act):
            taken = self._take(now, message)
            if message.body is not None or not taken:
                token = message.token if taken else self._fence(message.duty)
                self._sent.append(
                    Send(address, ActReply(self.name, message.duty, token, message.number, taken))
                )
        else:
            self._told(now, message)
        sent, self._sent = self._sent, []
        return sent

    def leave(self, now: float) -> list[Send]:
        """This member ends in good order: what it holds is handed on."""
        self._leaving = True
        for duty in self.duties.values():
            self._let_go(duty)
        sent, self._sent = self._sent, []
        return sent

    # As an elector

    def _asked(self, now: float, address: Address, ask: Ask) -> None:
        if self.name not in self.settings.electors:
            return
        known = self.register.grants.get(ask.duty)
        wanted = GrantRequest(ask.token, ask.source, ask.uid, ask.span_ms / 1000, ask.release)
        grant = self.register.ask(now, ask.duty, wanted)
        if (
            grant is not None
            and (known is None or grant.token != known.token)
            and not self.keep(ask.duty, grant.token, grant.holder, grant.uid)
        ):
            # It cannot outlast this process, so it was not given.
            if known is None:
                self.register.forget(ask.duty)
            else:
                self.register.grants[ask.duty] = known
            grant, known = None, known
        shown = grant or self.register.grants.get(ask.duty)
        left = round(self.register.left(now, ask.duty) * 1000)
        answer = Answer(
            self.name,
            ask.duty,
            ask.number,
            grant is not None,
            shown.token if shown else 0,
            shown.holder if shown else "",
            shown.uid if shown else 0,
            left,
        )
        if ask.source == self.name:
            self._answered(now, answer)
        else:
            self._sent.append(Send(address, answer))

    def _fence(self, duty: str) -> int:
        """The lowest token that acts are taken of here: what was granted or seen."""
        known = self.duties.get(duty)
        return max(known.fence if known else 0, self.register.token(duty))

    # As a candidate

    def _candidates(self, duty: str) -> list[str]:
        from xxhash import xxh64_intdigest

        names = [*self._members, self.name]
        return sorted(names, key=lambda name: (xxh64_intdigest(f"{duty}\0{name}".encode()), name))

    def _look(self, now: float, duty: Duty) -> None:
        if duty.stage is Stage.HELD:
            self._hold(now, duty)
        elif now >= duty.ask_at:
            line = self._candidates(duty.name)
            place = line.index(self.name)
            if place < self.settings.candidates:
                self._begin(now, duty, place)
            else:
                duty.stage, duty.ask_at = Stage.IDLE, now + self._span()

    def _begin(self, now: float, duty: Duty, place: int) -> None:
        """Ask for the next token. Who is not the best placed leaves the others a moment.

        Who sees no majority does not ask: its tokens would only be in the way of a holder elsewhere.
        """
        lately = now - 2 * self._span()
        seen = sum(
            name == self.name or name in self._members or self._heard.get(name, lately) > lately
            for name in self.settings.electors
        )
        if seen < self._need():
            duty.stage, duty.ask_at = Stage.IDLE, now + self._span() / 4
            # A question that nobody grants, and whose answer shows who is there all the same.
            self._to_electors(Ask(self.name, duty.name, 0, self.uid, 0, 0))
            return
        if duty.stage is Stage.IDLE and place:
            duty.stage, duty.ask_at = Stage.ASKING, now + place * min(1.0, self._span() / 5)
            duty.token = 0
            return
        duty.highest = max(duty.highest, self.register.token(duty.name))
        if duty.stage is Stage.IDLE or not duty.token:
            duty.token, duty.began_at = duty.highest + 1, now
        elif duty.token < duty.highest or now - duty.began_at > self._span():
            # Two that have a part of the electors each would keep it from each other for good.
            return self._stand_back(now, duty, 0.0)
        # Else it is asked for again: answers to the last round may still be on their way.
        duty.stage = Stage.ASKING
        duty.ask_at = now + min(0.3, self._span() / 4) * self.random.uniform(1.0, 1.5)
        self._ask(now, duty)

    def _need(self) -> int:
        return len(self.settings.electors) // 2 + 1

    def _ask(self, now: float, duty: Duty, release: bool = False, token: int = 0) -> None:
        token = token or duty.token
        duty.number += 1
        duty.rounds[duty.number] = Round(now, token)
        while len(duty.rounds) > ROUNDS:
            del duty.rounds[next(iter(duty.rounds))]
        span = round(self._span() * 1000)
        ask = Ask(self.name, duty.name, token, self.uid, span, duty.number, release)
        if self.name in self.settings.electors:
            self._asked(now, ("", 0), ask)
        self._to_electors(ask)

    def _to_electors(self, ask: Ask) -> None:
        """To the others, those that the membership holds for dead too: it may be wrong, or late."""
        self._sent += [
            Send(self._known[name], ask)
            for name in self.settings.electors
            if name != self.name and name in self._known
        ]

    def _answered(self, now: float, answer: Answer) -> None:
        duty = self.duties.get(answer.duty)
        if duty is None:
            return
        self._heard[answer.source] = now
        duty.highest = max(duty.highest, answer.token)
        mine = (answer.holder, answer.uid) == (self.name, self.uid)
        if not mine and answer.left_ms and answer.holder:
            duty.holder, duty.holder_until = answer.holder, now + answer.left_ms / 1000
        found = duty.rounds.get(answer.number)
        if found is None or duty.stage is Stage.IDLE:
            return
        if answer.granted and answer.token == found.token >= duty.token:
            found.granted.add(answer.source)
            if len(found.granted) >= self._need():
                self._won(now, duty, found)
        elif not answer.granted:
            found.refused.add(answer.source)
            if duty.stage is Stage.ASKING and len(found.refused) > len(self.settings.electors) - self._need():
                self._stand_back(now, duty, answer.left_ms / 1000)

    def _stand_back(self, now: float, duty: Duty, left: float) -> None:
        """No majority is to be had: let others have what was granted, and ask when the lease has run out."""
        contested = any(found.granted for found in duty.rounds.values())
        if contested:
            self._ask(now, duty, release=True)
        duty.stage = Stage.IDLE
        duty.rounds.clear()
        # Where several are in each other's way again and again, who waits least must have time enough.
        duty.tries = min(duty.tries + 1, 4) if contested else 0
        duty.ask_at = now + left + self.random.uniform(0.0, 0.05 * 2**duty.tries) * self._span()

    def _freed(self, now: float, free: Free) -> None:
        duty = self.duties.get(free.duty)
        if duty is not None and duty.stage is not Stage.HELD:
            duty.highest = max(duty.highest, free.token)
            duty.holder, duty.ask_at = "", now

    # As a holder

    def _won(self, now: float, duty: Duty, found: Round) -> None:
        until = found.sent_at + self._span() * (1 - DRIFT)
        if until <= now:
            return
        if duty.stage is not Stage.HELD or found.token > duty.token:
            if not self._raise(duty, found.token):
                return
            self.news.append(f"{duty.name} is held here under token {found.token}")
            if duty.stage is not Stage.HELD:
                duty.canary_at, duty.ask_at = now, now + self._span() / 3
            duty.stage, duty.token, duty.told_at, duty.tries = Stage.HELD, found.token, -1e9, 0
            duty.pending.clear()
        duty.until = max(duty.until, until)
        duty.holder, duty.holder_until = self.name, duty.until

    def _hold(self, now: float, duty: Duty) -> None:
        """Renew it in time; past its end it is nobody's that this member knows of."""
        if now >= duty.until:
            self._lost(now, duty, "its lease ran out")
            return
        if now >= duty.ask_at:
            duty.ask_at = now + self._span() / 6
            # Where somebody was granted more by a few, they take a higher token only.
            self._ask(now, duty, token=duty.highest + 1 if duty.highest > duty.token else duty.token)
        if now - duty.told_at >= self._span() / 3:
            duty.told_at = now
            left = round((duty.until - now) * 1000)
            said = Act(self.name, duty.name, duty.token, 0, self.uid, left, None)
            self._sent += [Send(address, said) for address in self._members.values()]
        canary = self.settings.duty[duty.name].canary
        if canary is not None and now >= duty.canary_at:
            duty.canary_at = now + canary.total_seconds()
            self.act(now, duty.name, b"canary")
        for number, pending in list(duty.pending.items()):
            if now >= pending.again_at:
                pending.again_at = now + 4 * STEP_S
                for name, left in list(pending.left.items()):
                    if left <= 0 or name not in self._members:
                        del pending.left[name]
                        continue
                    pending.left[name] = left - 1
                    self._sent.append(Send(self._members[name], pending.message))
                if not pending.left:
                    del duty.pending[number]

    def _lost(self, now: float, duty: Duty, why: str) -> None:
        self.news.append(f"{duty.name} is not held here any more (token {duty.token}): {why}")
        duty.stage, duty.until = Stage.IDLE, 0.0
        duty.pending.clear()
        duty.rounds.clear()
        duty.ask_at = now + self.random.uniform(0.0, 0.2) * min(1.0, self._span())

    def _let_go(self, duty: Duty) -> None:
        if duty.stage is not Stage.IDLE:
            self._ask(self._ticked, duty, release=True)
        if duty.stage is Stage.HELD:
            self.news.append(f"{duty.name} is handed on (token {duty.token})")
            for address in self._members.values():
                self._sent.append(Send(address, Free(self.name, duty.name, duty.token)))
        duty.stage, duty.until = Stage.IDLE, 0.0
        duty.pending.clear()

    # As who takes acts

    def _raise(self, duty: Duty, token: int) -> bool:
        """Take no lower token from now on; False where that cannot outlast this process."""
        if token > duty.fence:
            known = self.register.grants.get(duty.name)
            if (known is None or known.token < token) and not self.keep(duty.name, token, "", 0):
                return False
            duty.fence = token
        duty.highest = max(duty.highest, token)
        return True

    def _take(self, now: float, act: Act) -> bool:
        duty = self.duties.get(act.duty)
        if duty is None:
            return False
        if act.token < self._fence(act.duty) or not self._raise(duty, act.token):
            duty.refused += 1
            return False
        if act.source != self.name:
            if duty.stage is Stage.HELD and act.token > duty.token:
                self._lost(now, duty, f"{act.source} has token {act.token}")
            duty.holder, duty.holder_until = act.source, now + act.left_ms / 1000
            if duty.stage is Stage.IDLE:
                duty.ask_at = max(duty.ask_at, now + act.left_ms / 1000)
        if act.body is not None:
            key = act.source, act.uid
            if duty.seen.get(key, 0) < act.number:
                if len(duty.seen) > 64:
                    duty.seen.clear()
                duty.seen[key] = act.number
                duty.taken += 1
                self.took(act.duty, act.token, act.source, act.body)
        return True

    def _told(self, now: float, took: ActReply) -> None:
        duty = self.duties.get(took.duty)
        if duty is None:
            return
        pending = duty.pending.get(took.number)
        if pending is not None:
            pending.left.pop(took.source, None)
        duty.highest = max(duty.highest, took.token)  # no proof that it is held: the lease is
