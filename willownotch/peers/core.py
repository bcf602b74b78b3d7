"""The membership protocol as a state machine: a time and messages in, messages and news out. No I/O, no
clock.

After SWIM (Das, Gupta, Motivala, 2002): probe, indirect probe, suspicion, incarnations, rumours on the
probes' back. With the refinements of Lifeguard (Dadgar, Phillips, Currey, 2017): a member that hears little
stretches its own spans before it blames others (local health), suspicion lasts longer while nobody else
shares it, and who is suspected is told so by the next probe. Two things are added so that a healed partition
needs no operator: whole states are exchanged now and then, and the dead are tried again.

Times are seconds on the caller's clock, which need agree with nobody else's and must not step back.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import log, log10
from random import Random

from willownotch.peers.rumours import Rumours, max_transmissions
from willownotch.peers.settings import PeersSettings
from willownotch.peers.wire import Ack, Address, Message, Nack, Ping, PingRequest, Rumour, State, Sync, encode

MAX_MESSAGE_BYTES = 1200  # bytes of a message at the most, what the transport adds not counted
NACK_SHARE = 0.8  # of the patience, after which who was asked says that it heard nothing


@dataclass(frozen=True, slots=True)
class Send:
    """A message for an address."""

    address: Address
    message: Message


class Change(Enum):
    """What became of a member."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    TRUSTED = "trusted"  # again
    DIED = "died"
    LEFT = "left"
    CONFLICT = "conflict"  # another process claims its name
    MOVED = "moved"  # the same member at another address


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """A change, and why."""

    name: str
    change: Change
    why: str


Action = Send | MembershipEvent


@dataclass(slots=True)
class Member:
    """What is held of another member. `since` is when it came to its state here."""

    name: str
    address: Address
    uid: int
    incarnation: int
    state: State
    since: float
    why: str
    heard_at: float | None = None  # a message of its own came
    blamers: set[str] = field(default_factory=set)  # who suspect it

    def rumour(self, by: str) -> Rumour:
        """What is held of it, as it is passed on."""
        return Rumour(self.name, self.state, self.incarnation, self.uid, *self.address, by)


@dataclass(slots=True)
class Probe:
    """A probe that is out."""

    name: str
    sequence: int
    began: float
    indirect: bool = False
    nacks_wanted: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Relayed:
    """A probe made for another member."""

    sequence: int  # of the one who asked
    address: Address  # of the same


class Membership:
    """One member's view of all. Feed it by `start`, `tick` and `receive`; each returns what is to be done.

    `uid` differs for each process that ever takes the name; `random` is its own.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        uid: int,
        settings: PeersSettings,
        random: Random,
        incarnation: int = 0,
    ) -> None:
        self.name, self.address, self.uid, self.incarnation = name, address, uid, incarnation
        self.settings, self.random = settings, random
        self.members: dict[str, Member] = {}
        self.health = 0  # 0 is well; each step stretches this member's own spans once more
        self.leaving = False
        self.seeds: tuple[Address, ...] = ()
        self._rumours = Rumours()
        self._actions: list[Action] = []
        self._timers: list[tuple[float, int, str, object]] = []
        self._count = itertools.count(1)
        self._order: list[str] = []  # those still to be probed in this round
        self._probes: dict[int, Probe] = {}
        self._relayed: dict[int, Relayed] = {}
        self._size = 1  # members that are there, this one counted
        self.now = 0.0

    # What is asked of it

    def alive(self) -> list[Member]:
        """The others that are taken to be there, suspects among them."""
        return [m for m in self.members.values() if m.state <= State.SUSPECT]

    def size(self) -> int:
        """Members that are there, this one counted."""
        return self._size

    # What is fed to it

    def start(self, now: float, seeds: Iterable[Address] = ()) -> list[Action]:
        """Join by the seeds, and begin to probe. Seeds are tried again for as long as nobody is known."""
        self.now, self.seeds = now, tuple(s for s in seeds if s != self.address)
        self._say(self._own())
        self._after(self.random.uniform(0, self._period()), "probe")
        self._after(0.0, "seeds")
        self._after(self.settings.gossip.total_seconds(), "gossip")
        self._after(self.random.uniform(0.5, 1.5) * self.settings.sync.total_seconds(), "sync")
        self._after(self.settings.rejoin.total_seconds(), "rejoin")
        return self.tick(now)

    def leave(self, now: float) -> list[Action]:
        """Say that this member goes: the others need not find out."""
        self.now, self.leaving = max(self.now, now), True
        gone = Rumour(self.name, State.LEFT, self.incarnation, self.uid, *self.address, self.name)
        self._say(gone)
        told = self._some(len(self.members), lambda m: m.state <= State.SUSPECT)
        for member in told[: max(3, self.settings.retransmit)]:
            self._send(member.address, Sync(self.name, False, (gone,)))
        return self._done()

    def tick(self, now: float) -> list[Action]:
        """Let time pass. Call it at `due()` or sooner."""
        self.now = max(self.now, now)
        while self._timers and self._timers[0][0] <= self.now:
            _, _, kind, what = heapq.heappop(self._timers)
            getattr(self, f"_on_{kind}")(what)
        return self._done()

    def due(self) -> float | None:
        """When the next tick is wanted."""
        return self._timers[0][0] if self._timers else None

    def receive(self, now: float, address: Address, message: Message) -> list[Action]:
        """A message of another member, found authentic by the transport."""
        self.now = max(self.now, now)
        if not self.leaving:
            for rumour in getattr(message, "rumours", ()):
                self._hear(rumour)
            member = self.members.get(message.source)
            if member is not None:
                member.heard_at = self.now
            if isinstance(message, Ping):
                self._pinged(address, message)
            elif isinstance(message, PingRequest):
                self._asked(address, message)
            elif isinstance(message, Ack):
                self._acked(message)
            elif isinstance(message, Nack):
                probe = self._probes.get(message.sequence)
                if probe is not None:
                    probe.nacks += 1
            elif message.wanted:
                self._tell_all(address, wanted=False)
        return self._done()

    # Probing

    def _period(self) -> float:
        return self.settings.period.total_seconds() * (self.health + 1)

    def _patience(self) -> float:
        return self.settings.patience.total_seconds() * (self.health + 1)

    def _on_probe(self, _: object) -> None:
        """Probe the next member of the round: each is probed once before any is probed again."""
        self._after(self._period(), "probe")
        if self.leaving:
            return
        while self._order or self._new_round():
            member = self.members.get(self._order.pop())
            if member is not None and member.state <= State.SUSPECT:
                self._probe(member)
                return

    def _new_round(self) -> bool:
        self._order = [m.name for m in self.alive()]
        self.random.shuffle(self._order)
        return bool(self._order)

    def _probe(self, member: Member) -> None:
        sequence = next(self._count)
        self._probes[sequence] = Probe(member.name, sequence, self.now)
        self._ping(member, sequence)
        self._after(self._patience(), "unanswered", sequence)
        self._after(self._period(), "missed", sequence)

    def _ping(self, member: Member, sequence: int) -> None:
        # Who is suspected hears of it first, so that it can say otherwise in its answer.
        first = member.rumour(self.name) if member.state is State.SUSPECT else None
        bare = Ping(sequence, member.name, self.name)
        self._send(member.address, Ping(sequence, member.name, self.name, self._ride(bare, first)))

    def _on_unanswered(self, sequence: int) -> None:
        """No answer in time: ask others to try, who may have a way where there is none from here."""
        probe = self._probes.get(sequence)
        member = self.members.get(probe.name) if probe else None
        if member is None:
            return
        probe.indirect = True
        others = self._some(
            self.settings.indirect, lambda m: m.state is State.ALIVE and m.name != member.name
        )
        for other in others:
            probe.nacks_wanted += 1
            bare = PingRequest(sequence, member.name, *member.address, self.name)
            self._send(
                other.address,
                PingRequest(sequence, member.name, *member.address, self.name, self._ride(bare)),
            )

    def _on_missed(self, sequence: int) -> None:
        """Nor from anybody else. Who also misses the others' word that they tried may be cut off itself."""
        probe = self._probes.pop(sequence, None)
        member = self.members.get(probe.name) if probe else None
        if member is None:
            return
        missing = probe.nacks_wanted - probe.nacks
        self._feel(missing if probe.nacks_wanted else 1)
        if member.state is State.ALIVE:
            others = f" nor to {probe.nacks_wanted} others" if probe.nacks_wanted else ""
            self._hear(
                Rumour(
                    member.name, State.SUSPECT, member.incarnation, member.uid, *member.address, self.name
                ),
                f"no answer to a probe{others}",
            )

    def _pinged(self, address: Address, ping: Ping) -> None:
        if ping.name != self.name:
            return  # meant for who had this address before
        bare = Ack(ping.sequence, self.name)
        self._send(address, Ack(ping.sequence, self.name, self._ride(bare)))

    def _asked(self, address: Address, ask: PingRequest) -> None:
        sequence = next(self._count)
        self._relayed[sequence] = Relayed(ask.sequence, address)
        bare = Ping(sequence, ask.name, self.name)
        self._send((ask.host, ask.port), Ping(sequence, ask.name, self.name, self._ride(bare)))
        self._after(NACK_SHARE * self.settings.patience.total_seconds(), "unheard", sequence)
        self._after(self.settings.period.total_seconds(), "forget", sequence)

    def _on_unheard(self, sequence: int) -> None:
        relayed = self._relayed.get(sequence)
        if relayed is not None:
            self._send(relayed.address, Nack(relayed.sequence, self.name))

    def _on_forget(self, sequence: int) -> None:
        self._relayed.pop(sequence, None)

    def _acked(self, ack: Ack) -> None:
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is not None:
            self._send(relayed.address, Ack(relayed.sequence, ack.source))
            return
        probe = self._probes.get(ack.sequence)
        if probe is not None and probe.name == ack.source:
            del self._probes[ack.sequence]
            self._feel(-1)

    def _feel(self, worse: int) -> None:
        self.health = max(0, min(self.settings.health_most, self.health + worse))

    # Suspicion

    def _suspicion(self, member: Member) -> float:
        """How long it stays a suspect: from the longest span to the shortest as others come to suspect it."""
        shortest = self.settings.suspicion * max(1.0, log10(self.size())) * self._period()
        longest = self.settings.suspicion_most * shortest
        wanted = max(0, min(self.settings.indirect, self.size() - 2))
        if not wanted:
            return shortest
        shared = log(len(member.blamers)) / log(wanted + 1) if member.blamers else 0.0
        return max(shortest, longest - (longest - shortest) * shared)

    def _on_suspect(self, what: tuple[str, int]) -> None:
        name, incarnation = what
        member = self.members.get(name)
        if member is None or member.state is not State.SUSPECT or member.incarnation != incarnation:
            return
        ends = member.since + self._suspicion(member)
        if ends > self.now:
            self._after(ends - self.now, "suspect", what)
            return
        self._hear(
            Rumour(name, State.DEAD, incarnation, member.uid, *member.address, self.name),
            f"suspected by {len(member.blamers)} for {self.now - member.since:.1f} s and not refuted",
        )

    # Rumours

    def _hear(self, rumour: Rumour, why: str | None = None) -> None:
        """What is said of a member, by itself, by another or by this one."""
        if rumour.name == self.name:
            self._hear_of_self(rumour)
            return
        why = why or f"{rumour.by} says so"
        member = self.members.get(rumour.name)
        if member is None:
            self._meet(rumour, why)
        elif rumour.uid != member.uid:
            self._hear_of_namesake(member, rumour, why)
        elif (rumour.incarnation, rumour.state) > (member.incarnation, member.state):
            self._change(member, rumour, why)
        elif rumour.state is State.SUSPECT and rumour.incarnation < member.incarnation:
            self._rumours.add(member.rumour(self.name))  # who says so missed what is known here
        elif rumour.state is State.SUSPECT is member.state and rumour.incarnation == member.incarnation:
            self._share_suspicion(member, rumour)

    def _share_suspicion(self, member: Member, rumour: Rumour) -> None:
        """Another one suspects it, too: the more do, the sooner it is held for dead."""
        if rumour.by not in member.blamers and len(member.blamers) <= self.settings.indirect:
            member.blamers.add(rumour.by)
            self._rumours.add(rumour)
            self._on_suspect((member.name, member.incarnation))

    def _meet(self, rumour: Rumour, why: str) -> None:
        member = Member(
            rumour.name, rumour.address, rumour.uid, rumour.incarnation, rumour.state, self.now, why
        )
        former = self.members.get(rumour.name)
        self._size += (member.state <= State.SUSPECT) - (former is not None and former.state <= State.SUSPECT)
        self.members[rumour.name] = member
        self._rumours.add(rumour)
        if rumour.state <= State.SUSPECT:
            self._tell(member, Change.JOINED, why)
            self._order.insert(self.random.randint(0, len(self._order)), member.name)
        if rumour.state is State.SUSPECT:
            self._begin_suspicion(member, rumour)

    def _change(self, member: Member, rumour: Rumour, why: str) -> None:
        was, moved = member.state, rumour.address != member.address
        self._size += (rumour.state <= State.SUSPECT) - (was <= State.SUSPECT)
        member.incarnation, member.state, member.address = rumour.incarnation, rumour.state, rumour.address
        self._rumours.add(rumour)
        if moved:
            self._tell(member, Change.MOVED, f"from {member.address}")
        if was is member.state and was is not State.SUSPECT:
            return
        member.since, member.why = self.now, why
        member.blamers.clear()
        if member.state is State.ALIVE:
            self._tell(member, Change.TRUSTED if was is State.SUSPECT else Change.JOINED, why)
        elif member.state is State.SUSPECT:
            self._begin_suspicion(member, rumour)
            self._tell(member, Change.SUSPECTED, why)
        else:
            self._tell(member, Change.DIED if member.state is State.DEAD else Change.LEFT, why)

    def _begin_suspicion(self, member: Member, rumour: Rumour) -> None:
        member.blamers.add(rumour.by)
        self._after(self._suspicion(member), "suspect", (member.name, member.incarnation))

    def _hear_of_namesake(self, member: Member, rumour: Rumour, why: str) -> None:
        """Another process under a known name: its next one, or a second one that must not have it.

        A name is its first holder's until that one is gone; of two that are both held to be there the lower
        uid has it, everywhere alike.
        """
        if rumour.state > State.SUSPECT:
            return  # a rumour of one that is not known here any more
        if member.state > State.SUSPECT or rumour.address == member.address:
            # It was gone, or its place has been taken: an address is one process's at a time.
            self._size -= member.state <= State.SUSPECT
            member.uid, member.state, member.incarnation = rumour.uid, State.DEAD, -1
            self._change(member, rumour, why)
            return
        self._tell(member, Change.CONFLICT, f"{rumour.address} claims its name, {member.address} has it")
        if rumour.uid < member.uid:
            member.uid, member.incarnation = rumour.uid, -1
            self._change(member, rumour, why)

    def _hear_of_self(self, rumour: Rumour) -> None:
        """What is said of this member is contradicted where it is wrong, by a higher incarnation."""
        if rumour.uid != self.uid:
            # A former process of this name, or a second one. Spoken of as there: it has to be outlived.
            if rumour.state <= State.SUSPECT and rumour.address != self.address:
                self._actions.append(
                    MembershipEvent(self.name, Change.CONFLICT, f"{rumour.address} claims this name")
                )
            return
        if rumour.state is State.ALIVE and rumour.incarnation <= self.incarnation:
            return
        if rumour.incarnation >= self.incarnation:
            self.incarnation = rumour.incarnation + 1
            self._feel(1)
        # Said again, too, where an older suspicion shows that the last refutation was lost on its way.
        self._say(self._own())

    def own_rumour(self) -> Rumour:
        """What this member says of itself."""
        return self._own()

    def forget_rumours(self) -> None:
        """Pass nothing on of what has been heard so far."""
        self._rumours = Rumours()

    def _own(self) -> Rumour:
        return Rumour(self.name, State.ALIVE, self.incarnation, self.uid, *self.address, self.name)

    def _say(self, rumour: Rumour) -> None:
        self._rumours.add(rumour)

    def _ride(self, bare: Message, first: Rumour | None = None) -> tuple[Rumour, ...]:
        room = MAX_MESSAGE_BYTES - len(encode(bare)) - 8
        return self._rumours.take(room, max_transmissions(self.size(), self.settings.retransmit), first)

    def _on_gossip(self, _: object) -> None:
        """Pass fresh rumours on, also where probes are slow: a refutation must be there before a suspect is
        dead."""
        self._after(self.settings.gossip.total_seconds(), "gossip")
        if not len(self._rumours):
            return
        bare = Sync(self.name, False)
        for member in self._some(self.settings.fanout, lambda m: m.state <= State.SUSPECT):
            if riding := self._ride(bare):
                self._send(member.address, Sync(self.name, False, riding))

    # Whole states

    def _on_seeds(self, _: object) -> None:
        """Ask the seeds for all they know, until somebody is known."""
        if self.leaving or any(m.state <= State.SUSPECT for m in self.members.values()):
            return
        for seed in self.seeds:
            self._tell_all(seed, wanted=True)
        if self.seeds:
            self._after(self._period(), "seeds")

    def _on_sync(self, _: object) -> None:
        """Exchange whole states with one member, lest what every rumour missed stay unknown."""
        self._after(self.random.uniform(0.5, 1.5) * self.settings.sync.total_seconds(), "sync")
        for member in self._some(1, lambda m: m.state is State.ALIVE):
            self._tell_all(member.address, wanted=True)

    def _on_rejoin(self, _: object) -> None:
        """Try one of the dead, and a seed that nobody has: a partition that has healed shows by their
        answer."""
        self._after(self.settings.rejoin.total_seconds(), "rejoin")
        if self.leaving:
            return
        for member in self._some(1, lambda m: m.state is State.DEAD):
            self._tell_all(member.address, wanted=True)
        known = {m.address for m in self.alive()}
        missing = [seed for seed in self.seeds if seed not in known]
        if missing:
            self._tell_all(self.random.choice(missing), wanted=True)
        kept = self.settings.remember.total_seconds()
        for member in [m for m in self.members.values() if m.state > State.SUSPECT]:
            if self.now - member.since > kept:
                del self.members[member.name]

    def _tell_all(self, address: Address, wanted: bool) -> None:
        """All that is known, in pieces of one datagram each; only the first asks for the other's."""
        part: list[Rumour] = [self._own()]
        room = MAX_MESSAGE_BYTES - len(encode(Sync(self.name, wanted, ()))) - 8
        left = room - len(encode(part[0]))
        for member in self.members.values():
            rumour = member.rumour(self.name)
            size = len(encode(rumour))
            if size > left:
                self._send(address, Sync(self.name, wanted, tuple(part)))
                part, left, wanted = [], room, False
            part.append(rumour)
            left -= size
        self._send(address, Sync(self.name, wanted, tuple(part)))

    # Small things

    def _some(self, most: int, wanted) -> list[Member]:
        found = [m for m in self.members.values() if wanted(m)]
        return self.random.sample(found, min(most, len(found)))

    def _after(self, span: float, kind: str, what: object = None) -> None:
        heapq.heappush(self._timers, (self.now + span, next(self._count), kind, what))

    def _send(self, address: Address, message: Message) -> None:
        self._actions.append(Send(address, message))

    def _tell(self, member: Member, change: Change, why: str) -> None:
        self._actions.append(MembershipEvent(member.name, change, why))

    def _done(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
