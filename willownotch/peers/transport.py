"""The node on a UDP socket: one thread that receives, ticks and sends, within a bound on bytes a second.

Membership goes first: what travels on top may use the bound only while a quarter of a second's bytes is
left. What cannot be sent is dropped and counted; the protocols ask again.
"""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from willownotch.peers.core import Action, MembershipEvent
from willownotch.peers.node import Node
from willownotch.peers.seal import MAX_DATAGRAM_BYTES, Seal
from willownotch.peers.wire import Address, Message

ROUND_MOST = 64  # datagrams taken before the timers are looked at again
IDLE_S = 1.0  # s between two rounds at the most
RESERVE = 0.25  # of the bytes of a second, left for the membership


class Budget:
    """Bytes a second, a token bucket of one second."""

    def __init__(self, per_s: int, now: float) -> None:
        self.per_s = per_s
        self._left, self._at = float(per_s), now

    def spend(self, now: float, size: int, reserve: float = 0.0) -> bool:
        """Whether so many bytes may be sent and still leave that share of a second's; they are counted
        then."""
        self._left = min(float(self.per_s), self._left + (now - self._at) * self.per_s)
        self._at = now
        if self._left - size < reserve * self.per_s:
            return False
        self._left -= size
        return True


@dataclass(frozen=True, slots=True)
class PeerView:
    """A member as an operator sees it."""

    name: str
    address: str
    state: str
    why: str
    since_s: float  # how long it has been in this state here
    heard_s: float | None  # since a message of its own
    incarnation: int


@dataclass(frozen=True, slots=True)
class PeersView:
    """All members, this one's own state, and its datagrams."""

    name: str
    address: str
    health: int  # 0 is well; each step stretches its own spans once more
    incarnation: int
    members: tuple[PeerView, ...]
    traffic: dict[str, int]
    refused: dict[str, int]


def format_address(address: Address) -> str:
    """As `host:port`."""
    return f"{address[0]}:{address[1]}"


class UdpTransport:
    """Runs a node. `before` is called in each round before anything else, with the time."""

    def __init__(
        self,
        sock: socket.socket,
        node: Node,
        seal: Seal,
        budget: int,
        say: Callable[[str], None],
        before: Callable[[float], None] = lambda now: None,
    ) -> None:
        self.sock, self.node, self.seal, self.say, self.before = sock, node, seal, say, before
        self.budget = Budget(budget, time.monotonic())
        self.traffic: Counter[str] = Counter()
        self.lock = threading.Lock()
        self._stopping = False
        self._stopped = threading.Event()

    def run(self, seeds: tuple[Address, ...]) -> None:
        """Join, and go on until stopped."""
        with self.lock:
            self.before(time.monotonic())
            self._carry(self.node.start(time.monotonic(), seeds))
        while not self._stopping:
            self.round()
        self._stopped.set()

    def round(self) -> None:
        """Wait for a datagram or a timer, and take what there is."""
        due = self.node.due()
        wait = IDLE_S if due is None else min(IDLE_S, max(0.0, due - time.monotonic()))
        found = self._receive(max(wait, 0.0005))
        with self.lock:
            self.before(time.monotonic())
            taken = 0
            while found is not None:
                self._take(*found)
                taken += 1
                found = self._receive(0.0) if taken < ROUND_MOST else None
            now = time.monotonic()
            if (due := self.node.due()) is not None and due <= now:
                self._carry(self.node.tick(now))

    def _receive(self, wait: float) -> tuple[bytes, Address] | None:
        self.sock.settimeout(wait)
        try:
            return self.sock.recvfrom(2 * MAX_DATAGRAM_BYTES)
        except (BlockingIOError, TimeoutError):
            return None
        except OSError:  # an earlier datagram found nobody
            self.traffic["receive failed"] += 1
            return None

    def _take(self, data: bytes, address: Address) -> None:
        self.traffic["received"] += 1
        self.traffic["received bytes"] += len(data)
        message = self.seal.open(data)
        if message is not None:
            self._carry(self.node.receive(time.monotonic(), address, message))

    def _carry(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, MembershipEvent):
                self.say(f"{action.name} {action.change.value}: {action.why}")
            else:
                self._send(action.address, action.message)

    def _send(self, address: Address, message: msgspec.Struct) -> None:
        try:
            data = self.seal.close(message)
        except ValueError:
            self.traffic["too long"] += 1
            return
        reserve = 0.0 if isinstance(message, Message) else RESERVE
        if not self.budget.spend(time.monotonic(), len(data), reserve):
            self.traffic["over budget"] += 1
            return
        try:
            self.sock.sendto(data, address)
        except OSError:
            self.traffic["send failed"] += 1
            return
        self.traffic["sent"] += 1
        self.traffic["sent bytes"] += len(data)

    def send_last(self, words: Callable[[float], list[Action]]) -> None:
        """Send what a layer has to say at the end; any other thread may call it."""
        with self.lock:
            self._carry(words(time.monotonic()))

    def stop(self, most_s: float = 2.0) -> None:
        """Leave, and end the rounds; any other thread may call it."""
        with self.lock:
            self._carry(self.node.leave(time.monotonic()))
        self._stopping = True
        self._stopped.wait(most_s)

    def view(self) -> PeersView:
        """What it knows of the members; any thread may ask."""
        with self.lock:
            now, own = time.monotonic(), self.node.membership
            members = tuple(
                PeerView(
                    m.name,
                    format_address(m.address),
                    m.state.name.lower(),
                    m.why,
                    round(now - m.since, 3),
                    None if m.heard_at is None else round(now - m.heard_at, 3),
                    m.incarnation,
                )
                for m in sorted(own.members.values(), key=lambda m: m.name)
            )
            return PeersView(
                own.name,
                format_address(own.address),
                own.health,
                own.incarnation,
                members,
                dict(self.traffic),
                dict(self.seal.refused),
            )
