"""The membership protocol as a state machine: takes times and messages, returns messages and events. It does
no I/O and reads no clock.

The protocol is SWIM (Das, Gupta, Motivala, 2002): probes, indirect probes, suspicion, incarnation numbers,
and rumours piggybacked on the probes. Three refinements come from Lifeguard (Dadgar, Phillips, Currey, 2017):
a member that receives few answers lengthens its own timeouts before it suspects others (local health); a
suspicion lasts longer while no other member confirms it; and a probe tells a suspected member that it is
suspected. Two additions let a healed partition recover without an operator: members exchange their full
states from time to time, and dead members are contacted again.

Times are seconds on the caller's clock. It must not step back; it need not agree with any other clock.
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

MAX_MESSAGE_BYTES = 1200  # without the header and the tag that the transport adds
NACK_SHARE = 0.8  # of the probe timeout; an indirect probe without an answer by then is reported by a Nack


@dataclass(frozen=True, slots=True)
class Send:
    """A message to be sent to an address."""

    address: Address
    message: Message


class Change(Enum):
    """What changed about a member."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    TRUSTED = "trusted"  # no longer suspected
    DIED = "died"
    LEFT = "left"
    CONFLICT = "conflict"  # another process claims its name
    MOVED = "moved"  # same process, other address


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """A change of one member and its reason, for the log."""

    name: str
    change: Change
    why: str


Action = Send | MembershipEvent


@dataclass(slots=True)
class Member:
    """What this member knows of another one. `since` is when it recorded the present state."""

    name: str
    address: Address
    uid: int
    incarnation: int
    state: State
    since: float
    why: str
    heard_at: float | None = None  # time of its last direct message
    suspected_by: set[str] = field(default_factory=set)  # names of the members that suspect it

    def to_rumour(self, by: str) -> Rumour:
        """The present state as a rumour reported by `by`."""
        return Rumour(self.name, self.state, self.incarnation, self.uid, *self.address, by)


@dataclass(slots=True)
class Probe:
    """A probe that has not been answered yet."""

    name: str
    sequence: int
    started_at: float
    indirect: bool = False
    nacks_expected: int = 0
    nacks: int = 0


@dataclass(slots=True)
class IndirectProbe:
    """A probe made on behalf of another member."""

    sequence: int  # the requester's own number for it
    address: Address  # of the requester


class Membership:
    """One member's view of all members. `start`, `tick` and `receive` feed it and return the actions to take.

    `uid` must differ for each process that ever runs under the name. `random` must not be shared.
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
        self.health = 0  # 0 is healthy; this member's timeouts are multiplied by health + 1
        self.leaving = False
        self.seeds: tuple[Address, ...] = ()
        self._rumours = Rumours()
        self._actions: list[Action] = []
        self._timers: list[tuple[float, int, str, object]] = []
        self._numbers = itertools.count(1)
        self._probe_round: list[str] = []  # names still to be probed in this round
        self._probes: dict[int, Probe] = {}
        self._indirect_probes: dict[int, IndirectProbe] = {}
        self._alive_count = 1  # alive and suspected members, this one included
        self.now = 0.0

    # Queries

    def alive(self) -> list[Member]:
        """The other members that are alive or suspected."""
        return [m for m in self.members.values() if m.state <= State.SUSPECT]

    def size(self) -> int:
        """The number of members that are alive or suspected, this one included."""
        return self._alive_count

    # Inputs

    def start(self, now: float, seeds: Iterable[Address] = ()) -> list[Action]:
        """Joins through the seeds and starts probing. Seeds are retried until another member is known."""
        self.now, self.seeds = now, tuple(s for s in seeds if s != self.address)
        self._spread(self._alive_rumour())
        self._set_timer(self.random.uniform(0, self._period()), "probe")
        self._set_timer(0.0, "seeds")
        self._set_timer(self.settings.gossip.total_seconds(), "gossip")
        self._set_timer(self.random.uniform(0.5, 1.5) * self.settings.sync.total_seconds(), "sync")
        self._set_timer(self.settings.rejoin.total_seconds(), "rejoin")
        return self.tick(now)

    def leave(self, now: float) -> list[Action]:
        """Announces that this member leaves, so that the others need no failure detection."""
        self.now, self.leaving = max(self.now, now), True
        departure = Rumour(self.name, State.LEFT, self.incarnation, self.uid, *self.address, self.name)
        self._spread(departure)
        receivers = self._sample(len(self.members), lambda m: m.state <= State.SUSPECT)
        for member in receivers[: max(3, self.settings.retransmit)]:
            self._send(member.address, Sync(self.name, False, (departure,)))
        return self._take_actions()

    def tick(self, now: float) -> list[Action]:
        """Runs the timers that are due. To be called no later than `due()`."""
        self.now = max(self.now, now)
        while self._timers and self._timers[0][0] <= self.now:
            _, _, kind, argument = heapq.heappop(self._timers)
            getattr(self, f"_on_{kind}")(argument)
        return self._take_actions()

    def due(self) -> float | None:
        """The time by which `tick` has to be called; None without timers."""
        return self._timers[0][0] if self._timers else None

    def receive(self, now: float, address: Address, message: Message) -> list[Action]:
        """Handles a message of another member that the transport has authenticated."""
        self.now = max(self.now, now)
        if not self.leaving:
            for rumour in getattr(message, "rumours", ()):
                self._apply(rumour)
            member = self.members.get(message.source)
            if member is not None:
                member.heard_at = self.now
            if isinstance(message, Ping):
                self._handle_ping(address, message)
            elif isinstance(message, PingRequest):
                self._handle_ping_request(address, message)
            elif isinstance(message, Ack):
                self._handle_ack(message)
            elif isinstance(message, Nack):
                probe = self._probes.get(message.sequence)
                if probe is not None:
                    probe.nacks += 1
            elif message.wanted:
                self._send_full_state(address, wanted=False)
        return self._take_actions()

    # Probing

    def _period(self) -> float:
        """Seconds between two probes, lengthened while this member is unhealthy."""
        return self.settings.period.total_seconds() * (self.health + 1)

    def _patience(self) -> float:
        """Seconds that a direct probe waits for its answer, lengthened while this member is unhealthy."""
        return self.settings.patience.total_seconds() * (self.health + 1)

    def _on_probe(self, _: object) -> None:
        """Probes the next member of the round; each member is probed once before any is probed again."""
        self._set_timer(self._period(), "probe")
        if self.leaving:
            return
        while self._probe_round or self._new_round():
            member = self.members.get(self._probe_round.pop())
            if member is not None and member.state <= State.SUSPECT:
                self._probe(member)
                return

    def _new_round(self) -> bool:
        """Starts a round in random order; False if there is no member to probe."""
        self._probe_round = [m.name for m in self.alive()]
        self.random.shuffle(self._probe_round)
        return bool(self._probe_round)

    def _probe(self, member: Member) -> None:
        sequence = next(self._numbers)
        self._probes[sequence] = Probe(member.name, sequence, self.now)
        self._ping(member, sequence)
        self._set_timer(self._patience(), "unanswered", sequence)
        self._set_timer(self._period(), "missed", sequence)

    def _ping(self, member: Member, sequence: int) -> None:
        # A suspected member is told first of all, so that it can refute the suspicion in its answer.
        first = member.to_rumour(self.name) if member.state is State.SUSPECT else None
        bare = Ping(sequence, member.name, self.name)
        self._send(member.address, Ping(sequence, member.name, self.name, self._piggyback(bare, first)))

    def _on_unanswered(self, sequence: int) -> None:
        """Asks other members for indirect probes after a timeout: only the path from here may have failed."""
        probe = self._probes.get(sequence)
        member = self.members.get(probe.name) if probe else None
        if member is None:
            return
        probe.indirect = True
        others = self._sample(
            self.settings.indirect, lambda m: m.state is State.ALIVE and m.name != member.name
        )
        for other in others:
            probe.nacks_expected += 1
            bare = PingRequest(sequence, member.name, *member.address, self.name)
            self._send(
                other.address,
                PingRequest(sequence, member.name, *member.address, self.name, self._piggyback(bare)),
            )

    def _on_missed(self, sequence: int) -> None:
        """Suspects a member that answered neither directly nor indirectly by the end of the period.

        Nacks that are missing as well lower this member's own health: it may be the one that is cut off.
        """
        probe = self._probes.pop(sequence, None)
        member = self.members.get(probe.name) if probe else None
        if member is None:
            return
        missing = probe.nacks_expected - probe.nacks
        self._change_health(missing if probe.nacks_expected else 1)
        if member.state is State.ALIVE:
            others = f" nor to {probe.nacks_expected} indirect ones" if probe.nacks_expected else ""
            self._apply(
                Rumour(
                    member.name, State.SUSPECT, member.incarnation, member.uid, *member.address, self.name
                ),
                f"no answer to a probe{others}",
            )

    def _handle_ping(self, address: Address, ping: Ping) -> None:
        if ping.name != self.name:
            return  # for the process that had this address before
        bare = Ack(ping.sequence, self.name)
        self._send(address, Ack(ping.sequence, self.name, self._piggyback(bare)))

    def _handle_ping_request(self, address: Address, request: PingRequest) -> None:
        sequence = next(self._numbers)
        self._indirect_probes[sequence] = IndirectProbe(request.sequence, address)
        bare = Ping(sequence, request.name, self.name)
        self._send(
            (request.host, request.port), Ping(sequence, request.name, self.name, self._piggyback(bare))
        )
        self._set_timer(NACK_SHARE * self.settings.patience.total_seconds(), "unheard", sequence)
        self._set_timer(self.settings.period.total_seconds(), "forget", sequence)

    def _on_unheard(self, sequence: int) -> None:
        """Sends the requester a Nack: this member is reachable, the probed one has not answered yet."""
        indirect = self._indirect_probes.get(sequence)
        if indirect is not None:
            self._send(indirect.address, Nack(indirect.sequence, self.name))

    def _on_forget(self, sequence: int) -> None:
        """Drops an indirect probe; a later answer is ignored."""
        self._indirect_probes.pop(sequence, None)

    def _handle_ack(self, ack: Ack) -> None:
        indirect = self._indirect_probes.pop(ack.sequence, None)
        if indirect is not None:
            self._send(indirect.address, Ack(indirect.sequence, ack.source))
            return
        probe = self._probes.get(ack.sequence)
        if probe is not None and probe.name == ack.source:
            del self._probes[ack.sequence]
            self._change_health(-1)

    def _change_health(self, worse: int) -> None:
        self.health = max(0, min(self.settings.health_most, self.health + worse))

    # Suspicion

    def _suspicion_timeout(self, member: Member) -> float:
        """Seconds from suspicion to death; shrinks from the longest to the shortest as others confirm it."""
        shortest = self.settings.suspicion * max(1.0, log10(self.size())) * self._period()
        longest = self.settings.suspicion_most * shortest
        wanted = max(0, min(self.settings.indirect, self.size() - 2))
        if not wanted:
            return shortest
        confirmed = log(len(member.suspected_by)) / log(wanted + 1) if member.suspected_by else 0.0
        return max(shortest, longest - (longest - shortest) * confirmed)

    def _on_suspect(self, suspicion: tuple[str, int]) -> None:
        """Declares a member dead if the suspicion of this incarnation has lasted for its timeout."""
        name, incarnation = suspicion
        member = self.members.get(name)
        if member is None or member.state is not State.SUSPECT or member.incarnation != incarnation:
            return
        ends = member.since + self._suspicion_timeout(member)
        if ends > self.now:
            self._set_timer(ends - self.now, "suspect", suspicion)
            return
        self._apply(
            Rumour(name, State.DEAD, incarnation, member.uid, *member.address, self.name),
            f"suspected by {len(member.suspected_by)} for {self.now - member.since:.1f} s and not refuted",
        )

    # Rumours

    def _apply(self, rumour: Rumour, why: str | None = None) -> None:
        """Applies a rumour, whether received or made here, if it is newer than what is known."""
        if rumour.name == self.name:
            self._apply_to_self(rumour)
            return
        why = why or f"{rumour.by} reported it"
        member = self.members.get(rumour.name)
        if member is None:
            self._add_member(rumour, why)
        elif rumour.uid != member.uid:
            self._apply_other_process(member, rumour, why)
        elif (rumour.incarnation, rumour.state) > (member.incarnation, member.state):
            self._update_member(member, rumour, why)
        elif rumour.state is State.SUSPECT and rumour.incarnation < member.incarnation:
            self._rumours.add(member.to_rumour(self.name))  # its sender lacks the newer incarnation
        elif rumour.state is State.SUSPECT is member.state and rumour.incarnation == member.incarnation:
            self._confirm_suspicion(member, rumour)

    def _confirm_suspicion(self, member: Member, rumour: Rumour) -> None:
        """Counts another member that suspects this one; each confirmation shortens the timeout."""
        if rumour.by not in member.suspected_by and len(member.suspected_by) <= self.settings.indirect:
            member.suspected_by.add(rumour.by)
            self._rumours.add(rumour)
            self._on_suspect((member.name, member.incarnation))

    def _add_member(self, rumour: Rumour, why: str) -> None:
        member = Member(
            rumour.name, rumour.address, rumour.uid, rumour.incarnation, rumour.state, self.now, why
        )
        former = self.members.get(rumour.name)
        self._alive_count += (member.state <= State.SUSPECT) - (
            former is not None and former.state <= State.SUSPECT
        )
        self.members[rumour.name] = member
        self._rumours.add(rumour)
        if rumour.state <= State.SUSPECT:
            self._report(member, Change.JOINED, why)
            self._probe_round.insert(self.random.randint(0, len(self._probe_round)), member.name)
        if rumour.state is State.SUSPECT:
            self._begin_suspicion(member, rumour)

    def _update_member(self, member: Member, rumour: Rumour, why: str) -> None:
        old_state, old_address = member.state, member.address
        self._alive_count += (rumour.state <= State.SUSPECT) - (old_state <= State.SUSPECT)
        member.incarnation, member.state, member.address = rumour.incarnation, rumour.state, rumour.address
        self._rumours.add(rumour)
        if rumour.address != old_address:
            self._report(member, Change.MOVED, f"from {old_address}")
        if old_state is member.state and old_state is not State.SUSPECT:
            return
        member.since, member.why = self.now, why
        member.suspected_by.clear()
        if member.state is State.ALIVE:
            self._report(member, Change.TRUSTED if old_state is State.SUSPECT else Change.JOINED, why)
        elif member.state is State.SUSPECT:
            self._begin_suspicion(member, rumour)
            self._report(member, Change.SUSPECTED, why)
        else:
            self._report(member, Change.DIED if member.state is State.DEAD else Change.LEFT, why)

    def _begin_suspicion(self, member: Member, rumour: Rumour) -> None:
        member.suspected_by.add(rumour.by)
        self._set_timer(self._suspicion_timeout(member), "suspect", (member.name, member.incarnation))

    def _apply_other_process(self, member: Member, rumour: Rumour, why: str) -> None:
        """Handles a known name under another uid: a restart, or a second process with the same name.

        The name stays with its first process until that one is gone. If both appear alive, the lower uid
        gets the name, so that all members decide alike.
        """
        if rumour.state > State.SUSPECT:
            return  # about an earlier process that is no longer known here
        if member.state > State.SUSPECT or rumour.address == member.address:
            # The known process is gone: an address belongs to one process at a time.
            self._alive_count -= member.state <= State.SUSPECT
            member.uid, member.state, member.incarnation = rumour.uid, State.DEAD, -1
            self._update_member(member, rumour, why)
            return
        self._report(member, Change.CONFLICT, f"{rumour.address} claims its name, {member.address} has it")
        if rumour.uid < member.uid:
            member.uid, member.incarnation = rumour.uid, -1
            self._update_member(member, rumour, why)

    def _apply_to_self(self, rumour: Rumour) -> None:
        """Refutes a wrong rumour about this member by a higher incarnation."""
        if rumour.uid != self.uid:
            # About an earlier process of this name, or a second one. Only one that appears alive matters.
            if rumour.state <= State.SUSPECT and rumour.address != self.address:
                self._actions.append(
                    MembershipEvent(self.name, Change.CONFLICT, f"{rumour.address} claims this name")
                )
            return
        if rumour.state is State.ALIVE and rumour.incarnation <= self.incarnation:
            return
        if rumour.incarnation >= self.incarnation:
            self.incarnation = rumour.incarnation + 1
            self._change_health(1)
        # An older suspicion is answered as well: it shows that the last refutation was lost.
        self._spread(self._alive_rumour())

    def own_rumour(self) -> Rumour:
        """The rumour by which this member says that it is alive."""
        return self._alive_rumour()

    def forget_rumours(self) -> None:
        """Stops passing on the rumours received so far."""
        self._rumours = Rumours()

    def _alive_rumour(self) -> Rumour:
        return Rumour(self.name, State.ALIVE, self.incarnation, self.uid, *self.address, self.name)

    def _spread(self, rumour: Rumour) -> None:
        self._rumours.add(rumour)

    def _piggyback(self, bare: Message, first: Rumour | None = None) -> tuple[Rumour, ...]:
        """The rumours that fit into this message, `first` among them in any case."""
        room = MAX_MESSAGE_BYTES - len(encode(bare)) - 8
        return self._rumours.take(room, max_transmissions(self.size(), self.settings.retransmit), first)

    def _on_gossip(self, _: object) -> None:
        """Sends rumours without waiting for the next probe: a refutation must arrive before the suspect is
        declared dead, even where probes are slow."""
        self._set_timer(self.settings.gossip.total_seconds(), "gossip")
        if not len(self._rumours):
            return
        bare = Sync(self.name, False)
        for member in self._sample(self.settings.fanout, lambda m: m.state <= State.SUSPECT):
            if rumours := self._piggyback(bare):
                self._send(member.address, Sync(self.name, False, rumours))

    # Exchange of full states

    def _on_seeds(self, _: object) -> None:
        """Asks the seeds for their full state until another member is known."""
        if self.leaving or any(m.state <= State.SUSPECT for m in self.members.values()):
            return
        for seed in self.seeds:
            self._send_full_state(seed, wanted=True)
        if self.seeds:
            self._set_timer(self._period(), "seeds")

    def _on_sync(self, _: object) -> None:
        """Exchanges full states with one member, which recovers what no rumour delivered."""
        self._set_timer(self.random.uniform(0.5, 1.5) * self.settings.sync.total_seconds(), "sync")
        for member in self._sample(1, lambda m: m.state is State.ALIVE):
            self._send_full_state(member.address, wanted=True)

    def _on_rejoin(self, _: object) -> None:
        """Contacts one dead member and one seed that is not a known member: an answer shows that a partition
        has healed. Also removes members that have been gone for longer than `remember`."""
        self._set_timer(self.settings.rejoin.total_seconds(), "rejoin")
        if self.leaving:
            return
        for member in self._sample(1, lambda m: m.state is State.DEAD):
            self._send_full_state(member.address, wanted=True)
        known = {m.address for m in self.alive()}
        missing = [seed for seed in self.seeds if seed not in known]
        if missing:
            self._send_full_state(self.random.choice(missing), wanted=True)
        remember_s = self.settings.remember.total_seconds()
        for member in [m for m in self.members.values() if m.state > State.SUSPECT]:
            if self.now - member.since > remember_s:
                del self.members[member.name]

    def _send_full_state(self, address: Address, wanted: bool) -> None:
        """Sends all known members, split into messages of one datagram each.

        With `wanted`, the first of them asks the receiver for its own full state.
        """
        part: list[Rumour] = [self._alive_rumour()]
        room = MAX_MESSAGE_BYTES - len(encode(Sync(self.name, wanted, ()))) - 8
        left = room - len(encode(part[0]))
        for member in self.members.values():
            rumour = member.to_rumour(self.name)
            size = len(encode(rumour))
            if size > left:
                self._send(address, Sync(self.name, wanted, tuple(part)))
                part, left, wanted = [], room, False
            part.append(rumour)
            left -= size
        self._send(address, Sync(self.name, wanted, tuple(part)))

    # Helpers

    def _sample(self, count: int, matches) -> list[Member]:
        """Up to `count` members that match, chosen at random."""
        found = [m for m in self.members.values() if matches(m)]
        return self.random.sample(found, min(count, len(found)))

    def _set_timer(self, delay_s: float, kind: str, argument: object = None) -> None:
        """Calls `_on_<kind>(argument)` after `delay_s`."""
        heapq.heappush(self._timers, (self.now + delay_s, next(self._numbers), kind, argument))

    def _send(self, address: Address, message: Message) -> None:
        self._actions.append(Send(address, message))

    def _report(self, member: Member, change: Change, why: str) -> None:
        self._actions.append(MembershipEvent(member.name, change, why))

    def _take_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
