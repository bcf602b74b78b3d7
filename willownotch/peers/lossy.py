"""A simulated network that loses, delays, duplicates and partitions datagrams, for tests and benchmarks.

The members run the real protocol core, in simulated time and without sockets. All randomness comes from one
seed, so that the same seed gives the same run.
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
    """The network's faults. `delay` and `jitter` are seconds, `loss` and `repeat` shares of datagrams."""

    loss: float = 0.0
    delay: float = 0.001
    jitter: float = 0.001
    repeat: float = 0.0
    cut: Callable[[str, str], bool] = lambda source, target: False  # whether this direction is cut, by names


@dataclass(slots=True)
class Traffic:
    """What one member has sent; `layers` is the part that does not belong to the membership."""

    datagrams: int = 0
    bytes: int = 0
    layers: int = 0  # bytes


@dataclass(order=True, slots=True)
class Due:
    """A datagram in flight, or a member's next tick."""

    at: float
    order: int
    name: str
    source: Address | None = field(compare=False, default=None)
    data: bytes = field(compare=False, default=b"")


class Network:
    """All members and the datagrams between them. `now` is the simulated time; each member's clock is ahead
    of it by an offset."""

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
        self.news: list[tuple[float, str, MembershipEvent]] = []  # time, observing member, event
        self.traffic: dict[str, Traffic] = {}
        self.addresses: dict[str, Address] = {}
        self._names: dict[Address, str] = {}
        self._queue: list[Due] = []
        self._ticks: dict[str, tuple[float, float]] = {}  # simulated time, and time of the member's clock

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
        """Starts a member, or restarts the one with this name. Its clock is ahead by `offset` seconds.

        `layers` run on top of it, by its clock. `claims` is the name that it uses if that is not `name`, for
        two members with the same name.
        """
        old = self.members.get(name)
        address = ("10.0.0.1", port or (old.address[1] if old else 1000 + len(self._names)))
        member = Membership(
            claims or name,
            address,
            self.random.getrandbits(48) if uid is None else uid,
            self.settings,
            Random(self.random.getrandbits(64)),
            incarnation,
        )
        self.members[name], self._names[address], self.offsets[name] = member, name, offset
        self.addresses[name] = address
        self.traffic.setdefault(name, Traffic())
        self.paused.discard(name)
        known = [self.members[seed].address for seed in seeds]
        self.put(name, Node(member, layers), known)
        return member

    def put(self, name: str, node: Node, seeds: list[Address]) -> None:
        """Starts a node under a name whose address and clock offset are already set."""
        self.nodes[name] = node
        self._carry(name, node.start(self.now + self.offsets[name], seeds))

    def add_node(self, name: str, node: Node) -> Address:
        """Starts a node with another protocol, for comparison, with an address of its own and no offset."""
        address = ("10.0.0.1", 1000 + len(self._names))
        self._names[address], self.offsets[name] = name, 0.0
        self.addresses[name] = address
        self.traffic[name] = Traffic()
        self.put(name, node, [])
        return address

    def introduce_all(self) -> None:
        """Makes all members known to each other at once, as after a long time together."""
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
        """Stops a member without notice: it sends and receives nothing more."""
        self.paused.add(name)

    def run(self, until: float) -> None:
        """Advances the simulated time."""
        while self._queue and self._queue[0].at <= until:
            due = heapq.heappop(self._queue)
            self.now = max(self.now, due.at)
            if due.name in self.paused:
                continue
            node, own = self.nodes[due.name], self.now + self.offsets[due.name]
            if due.source is None:
                at, wanted = self._ticks.get(due.name, (None, 0.0))
                if at != due.at:
                    continue  # replaced by a later tick
                self._carry(due.name, node.tick(max(own, wanted)))  # `own` may be too early by rounding
            else:
                self._carry(due.name, node.receive(own, due.source, node.decode(due.data)))
        self.now = until

    def until(self, condition: Callable[[], bool], most: float, step: float = 0.1) -> float:
        """Runs until the condition holds, and returns the simulated seconds that this took.

        `AssertionError` if it does not hold within `most` seconds. It is checked every `step` seconds.
        """
        began = self.now
        while not condition():
            if self.now - began > most:
                raise AssertionError(f"condition not met within {most} s of simulated time")
            self.run(self.now + step)
        return self.now - began

    def running_members(self) -> list[str]:
        """Names of the members that are not stopped."""
        return [name for name in self.members if name not in self.paused]

    def all_know(self, names: set[str]) -> bool:
        """Whether every running member takes exactly these members to be alive."""
        return all({m.name for m in self.members[n].alive()} | {n} == names for n in self.running_members())

    def count(self, change: Change) -> int:
        """How many events of this kind all members together reported."""
        return sum(news.change is change for _, _, news in self.news)

    def _carry(self, name: str, actions: list[Action]) -> None:
        """Carries out a member's actions and schedules its next tick."""
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
        """Sends a message under the present conditions."""
        conditions, data = self.conditions, encode(message)
        traffic = self.traffic[name]
        traffic.datagrams += 1
        traffic.bytes += len(data)
        traffic.layers += len(data) * (not isinstance(message, Message))
        target = self._names.get(address)
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
