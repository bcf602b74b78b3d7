"""A network in simulated time that loses, delays, repeats and cuts, all from one seed: a stand-in for tests
and rigs.

The members are the real protocol core; nothing here runs on a socket or a clock. The same seed gives the same
story.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from willownotch.peers.core import Action, Change, Membership, MembershipEvent
from willownotch.peers.node import Layer, Node
from willownotch.peers.settings import PeersSettings
from willownotch.peers.wire import Address, Message, Sync, encode


@dataclass(slots=True)
class Conditions:
    """How bad the network is. Times are seconds, the rest shares."""

    loss: float = 0.0
    delay: float = 0.001
    jitter: float = 0.001
    repeat: float = 0.0
    cut: Callable[[str, str], bool] = lambda source, target: False  # by names, one way


@dataclass(slots=True)
class Traffic:
    """What one member has sent; `layers` is the part that was not the membership's own."""

    datagrams: int = 0
    bytes: int = 0
    layers: int = 0  # bytes


@dataclass(order=True, slots=True)
class Due:
    """A datagram on its way, or a member's tick."""

    at: float
    order: int
    name: str
    source: Address | None = field(compare=False, default=None)
    data: bytes = field(compare=False, default=b"")


class Network:
    """All members, and what is on its way between them. `now` is the true time; each member's own is
    offset."""

    def __init__(
        self, seed: int, conditions: Conditions | None = None, settings: PeersSettings | None = None
    ) -> None:
        self.random, self.conditions = Random(seed), conditions or Conditions()
        self.settings = settings or PeersSettings()
        self.now, self._order = 0.0, 0
        self.members: dict[str, Membership] = {}
        self.nodes: dict[str, Node] = {}
        self.offsets: dict[str, float] = {}
        self.paused: set[str] = set()
        self.news: list[tuple[float, str, MembershipEvent]] = []  # when, who noticed, what
        self.traffic: dict[str, Traffic] = {}
        self.addresses: dict[str, Address] = {}
        self._at: dict[Address, str] = {}
        self._queue: list[Due] = []
        self._ticks: dict[str, tuple[float, float]] = {}  # when, and by the member's own clock

    def add(
        self,
        name: str,
        seeds: tuple[str, ...] = (),
        offset: float = 0.0,
        port: int | None = None,
        incarnation: int = 0,
        layers: tuple[Layer, ...] = (),
        uid: int | None = None,
        claims: str | None = None,
    ) -> Membership:
        """Start a member, also one that is back under its name; its clock is `offset` ahead of the true
        time.

        `layers` travel on top of it; their clock is the member's. `claims` is the name it goes by, if that
        is another's.
        """
        old = self.members.get(name)
        address = ("10.0.0.1", port or (old.address[1] if old else 1000 + len(self._at)))
        member = Membership(
            claims or name,
            address,
            self.random.getrandbits(48) if uid is None else uid,
            self.settings,
            Random(self.random.getrandbits(64)),
            incarnation,
        )
        self.members[name], self._at[address], self.offsets[name] = member, name, offset
        self.addresses[name] = address
        self.traffic.setdefault(name, Traffic())
        self.paused.discard(name)
        known = [self.members[seed].address for seed in seeds]
        self.put(name, Node(member, layers), known)
        return member

    def put(self, name: str, node: Node, seeds: list[Address]) -> None:
        """Start any node under a name whose address and clock are known."""
        self.nodes[name] = node
        self._carry(name, node.start(self.now + self.offsets[name], seeds))

    def add_node(self, name: str, node: Node) -> Address:
        """Start a node of another kind, for comparison: an address of its own, and no offset."""
        address = ("10.0.0.1", 1000 + len(self._at))
        self._at[address], self.offsets[name] = name, 0.0
        self.addresses[name] = address
        self.traffic[name] = Traffic()
        self.put(name, node, [])
        return address

    def introduce_all(self) -> None:
        """Let all know of all, as if they had been together for long."""
        for name, member in self.members.items():
            for other in self.members.values():
                if other is not member:
                    member.receive(
                        self.now + self.offsets[name],
                        other.address,
                        Sync(other.name, False, (other.own_rumour(),)),
                    )
            member.forget_rumours()

    def kill(self, name: str) -> None:
        """It says and hears nothing more."""
        self.paused.add(name)

    def run(self, until: float) -> None:
        """Let the true time pass."""
        while self._queue and self._queue[0].at <= until:
            due = heapq.heappop(self._queue)
            self.now = max(self.now, due.at)
            if due.name in self.paused:
                continue
            node, own = self.nodes[due.name], self.now + self.offsets[due.name]
            if due.source is None:
                at, wanted = self._ticks.get(due.name, (None, 0.0))
                if at != due.at:
                    continue  # a later word replaced it
                self._carry(due.name, node.tick(max(own, wanted)))  # sums of floats fall short
            else:
                self._carry(due.name, node.receive(own, due.source, node.decode(due.data)))
        self.now = until

    def until(self, condition: Callable[[], bool], most: float, step: float = 0.1) -> float:
        """Run until a condition holds; the time it took, or `AssertionError` after `most`."""
        began = self.now
        while not condition():
            if self.now - began > most:
                raise AssertionError(f"not within {most} s of simulated time")
            self.run(self.now + step)
        return self.now - began

    def running_members(self) -> list[str]:
        """Names of members that run."""
        return [name for name in self.members if name not in self.paused]

    def all_know(self, names: set[str]) -> bool:
        """Whether every running member takes just these to be there."""
        return all({m.name for m in self.members[n].alive()} | {n} == names for n in self.running_members())

    def count(self, change: Change) -> int:
        """How often any member noticed such a change."""
        return sum(news.change is change for _, _, news in self.news)

    def _carry(self, name: str, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, MembershipEvent):
                self.news.append((self.now, name, action))
            else:
                self._post(name, action.address, action.message)
        due = self.nodes[name].due()
        if due is not None:
            at = max(self.now, due - self.offsets[name])
            self._ticks[name] = at, due
            self._push(Due(at, self._next(), name))

    def _post(self, name: str, address: Address, message: msgspec.Struct) -> None:
        conditions, data = self.conditions, encode(message)
        traffic = self.traffic[name]
        traffic.datagrams += 1
        traffic.bytes += len(data)
        traffic.layers += len(data) * (not isinstance(message, Message))
        target = self._at.get(address)
        if target is None or conditions.cut(name, target):
            return
        for _ in range(1 + (self.random.random() < conditions.repeat)):
            if self.random.random() >= conditions.loss:
                at = self.now + conditions.delay + self.random.random() * conditions.jitter
                self._push(Due(at, self._next(), target, self.addresses[name], data))

    def _push(self, due: Due) -> None:
        heapq.heappush(self._queue, due)

    def _next(self) -> int:
        self._order += 1
        return self._order
