"""Followers and members in simulated time: a stand-in for tests and rigs.

The cores and the messages are the real ones. The network, the folders and the commits are played here: the
members of the side that has a majority get each commit a few milliseconds after it was made, the others when
they are back. The same seed gives the same story. Counted from outside: when each follower had which revision
in force, that it never went back, bytes on the wire, processor time of the cores.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from willownotch.controlplane import wire
from willownotch.controlplane.document import Change, Commit, Document
from willownotch.controlplane.follower import Follower
from willownotch.controlplane.held import HeldDocument
from willownotch.controlplane.serving import FollowerService
from willownotch.controlplane.settings import FollowedSettings, FollowSettings, MemberSettings
from willownotch.peers.core import Send

ZONES = {"z1": "east", "z2": "east", "z3": "east", "z4": "west", "z5": "west"}
MEMBERS = {f"c{n}": f"z{n // 2 + 1}" for n in range(9)}  # two a zone, one in the last: 6 and 3 by region
FRAME = 32 + 28  # bytes beside a message: the seal's, and those of UDP and IP
COUNTS_S = 1.0  # between a member's counts


@dataclass(slots=True)
class Conditions:
    """How bad the network is. Times are seconds, the rest shares."""

    loss: float = 0.0
    delay: float = 0.002
    jitter: float = 0.003
    repeat: float = 0.0
    cut: Callable[[str, str], bool] = lambda source, target: False  # by zones, both ways


@dataclass(slots=True)
class Node:
    """A member or a follower, its folder, and what it cost."""

    name: str
    zone: str
    core: FollowerService | Follower | None = None
    document: Document | None = None  # a member's
    records: list[bytes] = field(default_factory=list)  # of a follower's folder
    tick_at: float = float("inf")
    life: int = 0
    sent: int = 0  # bytes
    received: int = 0
    cpu: float = 0.0  # s
    forces: list[tuple[float, int]] = field(default_factory=list)  # when which revision came in force


class Plane:
    """All of them. `apply_s`: what a sender takes to apply a revision; `refuses`: whether it cannot."""

    def __init__(
        self,
        seed: int,
        followers: int,
        conditions: Conditions | None = None,
        member: MemberSettings | None = None,
        follow: FollowSettings | None = None,
        entries: int = 0,
        spread: Callable[[int], str] | None = None,
    ) -> None:
        self.random, self.conditions = Random(seed), conditions or Conditions()
        self.member = member or MemberSettings()
        self.now, self.apply_s = 0.0, 0.02
        self.refuses: Callable[[str, Document], str] = lambda name, document: ""
        self.lies: dict[str, Callable[[Send], list[Send]]] = {}  # by member: what it sends instead
        self.truth = Document()
        self.committed: dict[int, float] = {}
        self.dropped = 0
        self._events: list = []
        self._order = 0
        self.follow = follow or FollowSettings()
        self.listed = {name: FollowedSettings((name, 1), zone, ZONES[zone]) for name, zone in MEMBERS.items()}
        if entries:
            self.seed_document(entries)
        self.nodes: dict[str, Node] = {}
        for name, zone in MEMBERS.items():
            node = self.nodes[name] = Node(name, zone, document=self.truth.copy())
            self.start_member(node.name)
        names = list(ZONES)
        for n in range(followers):
            zone = spread(n) if spread else names[n % len(names)]
            self.nodes[f"s{n}"] = Node(f"s{n}", zone)

    # What is played

    def seed_document(self, entries: int, each: int = 200) -> None:
        """Entries of so many bytes, as revision 1."""
        made = {
            f"route/{n:06d}": bytes(self.random.getrandbits(8) for _ in range(8)).hex().encode() * 13
            for n in range(entries)
        }
        made = {key: value[: max(1, each - len(key))] for key, value in made.items()}
        change = Change(self._id(), "seed", 0, made)
        self.truth.commit(Commit(1, 1, change, self.truth.digest_after(change)))
        self.committed[1] = self.now

    def _id(self) -> bytes:
        return self.random.getrandbits(128).to_bytes(16, "big")

    def members(self) -> list[Node]:
        """All members, those that are down too."""
        return [self.nodes[name] for name in MEMBERS]

    def followers(self) -> list[Node]:
        """All followers, those that are down too."""
        return [node for name, node in self.nodes.items() if name not in MEMBERS]

    def start_member(self, name: str) -> None:
        """A member's process begins, on its folder."""
        node = self.nodes[name]
        node.life += 1
        node.core = FollowerService(
            name, node.document, self.member, self.now, Random(self.random.getrandbits(64))
        )
        self._at(self.now + self.random.uniform(0.0, COUNTS_S), "counts", name, node.life)
        self._schedule(node)

    def start(self, name: str, empty: bool = False) -> None:
        """A follower's process begins, on its folder or on an empty one."""
        node = self.nodes[name]
        node.life += 1
        if empty:
            node.records.clear()
        zone = node.zone
        settings = msgspec.structs.replace(self.follow, zone=zone, region=ZONES[zone], member=self.listed)
        node.core = Follower(
            name,
            self.random.getrandbits(48),
            HeldDocument.restored(node.records),
            settings,
            self.now,
            Random(self.random.getrandbits(64)),
            lambda records: self._keep(node, records),
        )
        self._offered(node)
        self._schedule(node)

    @staticmethod
    def _keep(node: Node, records: list[bytes]) -> bool:
        node.records += records
        return True

    def start_all(self, empty: bool = False) -> None:
        """All followers at once."""
        for node in self.followers():
            self.start(node.name, empty)

    def kill(self, name: str) -> None:
        """A process ends without a word; its folder stays."""
        node = self.nodes[name]
        node.core, node.tick_at = None, float("inf")
        node.life += 1

    def change(self, size: int = 200, keys: int = 1) -> int:
        """A change is accepted by the majority; its revision."""
        sets = {
            f"route/{self.random.randrange(60_000):06d}": self.random.randbytes(size // 2).hex().encode()
            for _ in range(keys)
        }
        change = Change(self._id(), "op", self.truth.revision, sets)
        commit = Commit(
            self.truth.revision + 1, self.truth.token + 1, change, self.truth.digest_after(change)
        )
        self.truth.commit(commit)
        self.committed[commit.revision] = self.now
        for node in self.members():
            self._at(self.now + self.random.uniform(0.002, 0.02), "commit", node.name, node.life)
        return commit.revision

    def apart(self, node: Node) -> bool:
        """Whether a member hears no majority."""
        return sum(map(lambda other: self._meet(node, other), self.members())) <= len(MEMBERS) // 2

    def _meet(self, one: Node, other: Node) -> bool:
        cut = self.conditions.cut
        return other.core is not None and not cut(one.zone, other.zone) and not cut(other.zone, one.zone)

    def _catch_up(self, node: Node) -> None:
        serving = node.core
        if self.apart(node):
            if serving.isolated_since is None:
                serving.isolated_since = self.now
            return
        serving.isolated_since = None
        behind = self.truth.commits(node.document.revision) or []
        for commit in behind:
            node.document.commit(commit)
        if behind:
            self._carry(node, self._cost(node, serving.committed, self.now, behind[-1]))

    def _offered(self, node: Node) -> None:
        if node.core.offered:
            node.core.offered.clear()
            self._at(self.now + self.apply_s, "apply", node.name, node.life)

    def _apply(self, node: Node) -> None:
        follower = node.core
        revision = follower.held.document.revision
        if revision == follower.held.in_force:
            return
        if text := self.refuses(node.name, follower.held.document):
            follower.refused(self.now, revision, text)
        else:
            if node.forces and revision < node.forces[-1][1]:
                raise AssertionError(f"{node.name} went back from {node.forces[-1][1]} to {revision}")
            follower.in_force(self.now, revision)
            node.forces.append((self.now, revision))

    # Time

    def _at(self, at: float, kind: str, name: str, payload) -> None:
        self._order += 1
        heapq.heappush(self._events, (at, self._order, kind, name, payload))

    def _cost(self, node: Node, call: Callable, *args):
        began = time.thread_time()
        made = call(*args)
        node.cpu += time.thread_time() - began
        return made

    def _schedule(self, node: Node) -> None:
        due = node.core.due()
        if due is not None and due < node.tick_at - 1e-9:
            node.tick_at = max(due, self.now)
            self._at(node.tick_at, "tick", node.name, node.life)

    def _carry(self, node: Node, sends: list[Send]) -> None:
        for wanted in sends:
            lie = self.lies.get(node.name)
            for send in [wanted] if lie is None else lie(wanted):
                data = self._cost(node, wire.encode, send.message)
                if len(data) + 32 > wire.MAX_DATAGRAM_BYTES:
                    raise AssertionError(f"a message of {len(data)} bytes does not fit a datagram")
                node.sent += len(data) + FRAME
                target = send.address[0]
                conditions, zone = self.conditions, self.nodes[target].zone
                for _ in range(1 + (conditions.repeat > 0 and self.random.random() < conditions.repeat)):
                    if conditions.cut(node.zone, zone) or self.random.random() < conditions.loss:
                        self.dropped += 1
                        continue
                    delay = conditions.delay + self.random.random() * conditions.jitter
                    self._at(self.now + delay, "data", target, (node.name, data))
        self._schedule(node)

    def run(self, until: float) -> None:
        """Go on to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, kind, name, payload = heapq.heappop(self._events)
            node = self.nodes[name]
            if node.core is None:
                continue
            if kind == "data":
                self._data(node, *payload)
            elif payload == node.life:
                self._event(node, kind)
        self.now = until

    def _data(self, node: Node, source: str, data: bytes) -> None:
        node.received += len(data) + FRAME
        message = self._cost(node, wire.decode, data)
        self._carry(node, self._cost(node, node.core.receive, self.now, (source, 1), message))
        if isinstance(node.core, Follower):
            self._offered(node)

    def _event(self, node: Node, kind: str) -> None:
        if kind == "tick":
            if node.tick_at > self.now + 1e-9:  # an earlier one was put in since
                return
            node.tick_at = float("inf")
            self._carry(node, self._cost(node, node.core.tick, self.now))
            if isinstance(node.core, Follower):
                self._offered(node)
        elif kind == "commit":
            self._catch_up(node)
        elif kind == "apply":
            self._cost(node, self._apply, node)
            self._schedule(node)
        elif kind == "counts":
            self._catch_up(node)
            counts = node.core.counts(self.now)
            for other in self.members():
                if other is not node and self._meet(node, other):
                    other.core.heard(self.now, node.name, counts)
            self._at(self.now + COUNTS_S, "counts", node.name, node.life)

    def until(self, true: Callable[[], bool], most: float) -> float:
        """Go on until it holds; the time. `AssertionError` after so many seconds."""
        end = self.now + most
        while not true():
            if self.now >= end:
                raise AssertionError(f"not within {most} s")
            self.run(min(end, self.now + 0.05))
        return self.now

    # What is asked

    def in_force(self, revision: int) -> bool:
        """Whether all followers that run have it or a later one in force."""
        return all(node.core.held.in_force >= revision for node in self.followers() if node.core is not None)

    def propagation_times(self, revision: int) -> list[float]:
        """From a change's commit until it, or a later one, was in force, for each follower that has it."""
        began, found = self.committed[revision], []
        for node in self.followers():
            at = next((at for at, reached in node.forces if reached >= revision), None)
            if at is not None:
                found.append(at - began)
        return found
