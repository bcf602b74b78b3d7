"""Followers and members in simulated time, for tests and benchmarks.

The cores and the messages are the real ones. The network, the folders and the commits are simulated: each
member that is connected to a majority gets a commit a few milliseconds after it was made, the others once
they are connected again. The same seed gives the same run. Measured from outside the cores: when each
follower had which revision in force, that it never went back, bytes on the wire, and the processor time of
the cores.
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
MEMBERS = {f"c{n}": f"z{n // 2 + 1}" for n in range(9)}  # two per zone, one in the last; 6 and 3 by region
FRAME_BYTES = 32 + 28  # added to a message by the seal, and by UDP and IP
COUNTS_INTERVAL_S = 1.0  # between two exchanges of counts among members


@dataclass(slots=True)
class Conditions:
    """How bad the network is: times in seconds, the rest as shares."""

    loss: float = 0.0
    delay: float = 0.002
    jitter: float = 0.003
    repeat: float = 0.0
    cut: Callable[[str, str], bool] = lambda source, target: False  # by zones, from source to target


@dataclass(slots=True)
class Node:
    """A member or a follower, with its folder and what it has used."""

    name: str
    zone: str
    core: FollowerService | Follower | None = None
    document: Document | None = None  # of a member
    records: list[bytes] = field(default_factory=list)  # of a follower's folder
    tick_at: float = float("inf")
    incarnation: int = 0
    sent: int = 0  # bytes
    received: int = 0
    cpu: float = 0.0  # s
    in_force_history: list[tuple[float, int]] = field(default_factory=list)  # times and revisions


class Plane:
    """A simulated control plane with its followers.

    `apply_s` is the time that a sender takes to apply a revision; `refusal_of` returns why it cannot, or "".
    """

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
        self.refusal_of: Callable[[str, Document], str] = lambda name, document: ""
        self.alterations: dict[str, Callable[[Send], list[Send]]] = {}  # by member: replaces what it sends
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

    # Events of the simulation

    def seed_document(self, entries: int, each: int = 200) -> None:
        """Commit `entries` entries of `each` bytes as revision 1."""
        entries_by_key = {
            f"route/{n:06d}": bytes(self.random.getrandbits(8) for _ in range(8)).hex().encode() * 13
            for n in range(entries)
        }
        entries_by_key = {key: value[: max(1, each - len(key))] for key, value in entries_by_key.items()}
        change = Change(self._new_change_id(), "seed", 0, entries_by_key)
        self.truth.commit(Commit(1, 1, change, self.truth.digest_after(change)))
        self.committed[1] = self.now

    def _new_change_id(self) -> bytes:
        return self.random.getrandbits(128).to_bytes(16, "big")

    def members(self) -> list[Node]:
        """All members, including those that are down."""
        return [self.nodes[name] for name in MEMBERS]

    def followers(self) -> list[Node]:
        """All followers, including those that are down."""
        return [node for name, node in self.nodes.items() if name not in MEMBERS]

    def start_member(self, name: str) -> None:
        """Start a member's process with its document."""
        node = self.nodes[name]
        node.incarnation += 1
        node.core = FollowerService(
            name, node.document, self.member, self.now, Random(self.random.getrandbits(64))
        )
        self._add_event(
            self.now + self.random.uniform(0.0, COUNTS_INTERVAL_S), "counts", name, node.incarnation
        )
        self._schedule(node)

    def start(self, name: str, empty: bool = False) -> None:
        """Start a follower's process with its folder, or with an empty one."""
        node = self.nodes[name]
        node.incarnation += 1
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
            lambda records: self._append_records(node, records),
        )
        self._schedule_apply(node)
        self._schedule(node)

    @staticmethod
    def _append_records(node: Node, records: list[bytes]) -> bool:
        node.records += records
        return True

    def start_all(self, empty: bool = False) -> None:
        """Start all followers at once."""
        for node in self.followers():
            self.start(node.name, empty)

    def kill(self, name: str) -> None:
        """End a process without notice; its folder stays."""
        node = self.nodes[name]
        node.core, node.tick_at = None, float("inf")
        node.incarnation += 1

    def change(self, size: int = 200, keys: int = 1) -> int:
        """Commit a random change by the majority; returns its revision."""
        sets = {
            f"route/{self.random.randrange(60_000):06d}": self.random.randbytes(size // 2).hex().encode()
            for _ in range(keys)
        }
        change = Change(self._new_change_id(), "op", self.truth.revision, sets)
        commit = Commit(
            self.truth.revision + 1, self.truth.token + 1, change, self.truth.digest_after(change)
        )
        self.truth.commit(commit)
        self.committed[commit.revision] = self.now
        for node in self.members():
            self._add_event(
                self.now + self.random.uniform(0.002, 0.02), "commit", node.name, node.incarnation
            )
        return commit.revision

    def is_isolated(self, node: Node) -> bool:
        """Whether a member is connected to no majority."""
        return sum(map(lambda other: self._connected(node, other), self.members())) <= len(MEMBERS) // 2

    def _connected(self, one: Node, other: Node) -> bool:
        cut = self.conditions.cut
        return other.core is not None and not cut(one.zone, other.zone) and not cut(other.zone, one.zone)

    def _catch_up(self, node: Node) -> None:
        service = node.core
        if self.is_isolated(node):
            if service.isolated_since is None:
                service.isolated_since = self.now
            return
        service.isolated_since = None
        behind = self.truth.commits(node.document.revision) or []
        for commit in behind:
            node.document.commit(commit)
        if behind:
            self._deliver(node, self._timed(node, service.committed, self.now, behind[-1]))

    def _schedule_apply(self, node: Node) -> None:
        if node.core.offered:
            node.core.offered.clear()
            self._add_event(self.now + self.apply_s, "apply", node.name, node.incarnation)

    def _apply_held(self, node: Node) -> None:
        follower = node.core
        revision = follower.held.document.revision
        if revision == follower.held.in_force:
            return
        if text := self.refusal_of(node.name, follower.held.document):
            follower.refused(self.now, revision, text)
        else:
            if node.in_force_history and revision < node.in_force_history[-1][1]:
                raise AssertionError(
                    f"{node.name} went back from {node.in_force_history[-1][1]} to {revision}"
                )
            follower.in_force(self.now, revision)
            node.in_force_history.append((self.now, revision))

    # Time

    def _add_event(self, at: float, kind: str, name: str, payload) -> None:
        self._order += 1
        heapq.heappush(self._events, (at, self._order, kind, name, payload))

    def _timed(self, node: Node, call: Callable, *args):
        began = time.thread_time()
        result = call(*args)
        node.cpu += time.thread_time() - began
        return result

    def _schedule(self, node: Node) -> None:
        due = node.core.due()
        if due is not None and due < node.tick_at - 1e-9:
            node.tick_at = max(due, self.now)
            self._add_event(node.tick_at, "tick", node.name, node.incarnation)

    def _deliver(self, node: Node, sends: list[Send]) -> None:
        for original in sends:
            alter = self.alterations.get(node.name)
            for send in [original] if alter is None else alter(original):
                data = self._timed(node, wire.encode, send.message)
                if len(data) + 32 > wire.MAX_DATAGRAM_BYTES:
                    raise AssertionError(f"a message of {len(data)} bytes does not fit a datagram")
                node.sent += len(data) + FRAME_BYTES
                target = send.address[0]
                conditions, zone = self.conditions, self.nodes[target].zone
                for _ in range(1 + (conditions.repeat > 0 and self.random.random() < conditions.repeat)):
                    if conditions.cut(node.zone, zone) or self.random.random() < conditions.loss:
                        self.dropped += 1
                        continue
                    delay = conditions.delay + self.random.random() * conditions.jitter
                    self._add_event(self.now + delay, "data", target, (node.name, data))
        self._schedule(node)

    def run(self, until: float) -> None:
        """Advance the simulation to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, kind, name, payload = heapq.heappop(self._events)
            node = self.nodes[name]
            if node.core is None:
                continue
            if kind == "data":
                self._on_datagram(node, *payload)
            elif payload == node.incarnation:
                self._on_event(node, kind)
        self.now = until

    def _on_datagram(self, node: Node, source: str, data: bytes) -> None:
        node.received += len(data) + FRAME_BYTES
        message = self._timed(node, wire.decode, data)
        self._deliver(node, self._timed(node, node.core.receive, self.now, (source, 1), message))
        if isinstance(node.core, Follower):
            self._schedule_apply(node)

    def _on_event(self, node: Node, kind: str) -> None:
        if kind == "tick":
            if node.tick_at > self.now + 1e-9:  # replaced by an earlier tick
                return
            node.tick_at = float("inf")
            self._deliver(node, self._timed(node, node.core.tick, self.now))
            if isinstance(node.core, Follower):
                self._schedule_apply(node)
        elif kind == "commit":
            self._catch_up(node)
        elif kind == "apply":
            self._timed(node, self._apply_held, node)
            self._schedule(node)
        elif kind == "counts":
            self._catch_up(node)
            counts = node.core.counts(self.now)
            for other in self.members():
                if other is not node and self._connected(node, other):
                    other.core.heard(self.now, node.name, counts)
            self._add_event(self.now + COUNTS_INTERVAL_S, "counts", node.name, node.incarnation)

    def until(self, condition: Callable[[], bool], timeout_s: float) -> float:
        """Advance until the condition holds; returns the time. `AssertionError` after `timeout_s` seconds."""
        end = self.now + timeout_s
        while not condition():
            if self.now >= end:
                raise AssertionError(f"condition not met within {timeout_s} s")
            self.run(min(end, self.now + 0.05))
        return self.now

    # Results

    def in_force(self, revision: int) -> bool:
        """Whether all running followers have this revision or a later one in force."""
        return all(node.core.held.in_force >= revision for node in self.followers() if node.core is not None)

    def propagation_times(self, revision: int) -> list[float]:
        """Seconds from a commit until it or a later one was in force, for each follower that has it."""
        committed_at, times = self.committed[revision], []
        for node in self.followers():
            at = next((at for at, reached in node.in_force_history if reached >= revision), None)
            if at is not None:
                times.append(at - committed_at)
        return times
