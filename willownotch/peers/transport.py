"""Runs a node on a UDP socket: one thread that receives, runs timers and sends, within a budget of bytes a
second.

The membership has priority: layers may send only while a quarter of a second's budget is left. A datagram
that cannot be sent is dropped and counted; the protocols retry by themselves.
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

MAX_DATAGRAMS_PER_ROUND = 64  # received before the timers are checked again
MAX_WAIT_S = 1.0  # for a datagram or a timer, so that `stop` is noticed
RESERVE_SHARE = 0.25  # of a second's budget, which only the membership may use


class Budget:
    """A token bucket for bytes, which holds at most one second's budget."""

    def __init__(self, per_s: int, now: float) -> None:
        self.per_s = per_s
        self._left, self._at = float(per_s), now

    def spend(self, now: float, size: int, reserve: float = 0.0) -> bool:
        """Takes `size` bytes from the budget; False, and nothing taken, if less than the share `reserve` of
        one second's budget would be left."""
        self._left = min(float(self.per_s), self._left + (now - self._at) * self.per_s)
        self._at = now
        if self._left - size < reserve * self.per_s:
            return False
        self._left -= size
        return True


@dataclass(frozen=True, slots=True)
class PeerView:
    """A member as operators see it."""

    name: str
    address: str
    state: str
    why: str
    since_s: float  # time since this member recorded the state
    heard_s: float | None  # time since its last direct message
    incarnation: int


@dataclass(frozen=True, slots=True)
class PeersView:
    """All other members, this member's own state, and counts of its datagrams."""

    name: str
    address: str
    health: int  # 0 is healthy; its timeouts are multiplied by health + 1
    incarnation: int
    members: tuple[PeerView, ...]
    traffic: dict[str, int]
    refused: dict[str, int]


def format_address(address: Address) -> str:
    """The address as `host:port`."""
    return f"{address[0]}:{address[1]}"


class UdpTransport:
    """Runs a node on a socket. Each round begins with a call of `before` with the time."""

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
        """Joins through the seeds and runs rounds until `stop` is called; then the address is free."""
        with self.lock:
            self.before(time.monotonic())
            self._carry_out(self.node.start(time.monotonic(), seeds))
        while not self._stopping:
            self.round()
        self.sock.close()
        self._stopped.set()

    def round(self) -> None:
        """Waits for a datagram or a timer, then handles the datagrams that have arrived and due timers."""
        due = self.node.due()
        wait = MAX_WAIT_S if due is None else min(MAX_WAIT_S, max(0.0, due - time.monotonic()))
        received = self._receive(max(wait, 0.0005))
        with self.lock:
            self.before(time.monotonic())
            handled = 0
            while received is not None:
                self._handle(*received)
                handled += 1
                received = self._receive(0.0) if handled < MAX_DATAGRAMS_PER_ROUND else None
            now = time.monotonic()
            if (due := self.node.due()) is not None and due <= now:
                self._carry_out(self.node.tick(now))

    def _receive(self, wait_s: float) -> tuple[bytes, Address] | None:
        self.sock.settimeout(wait_s)
        try:
            return self.sock.recvfrom(2 * MAX_DATAGRAM_BYTES)
        except (BlockingIOError, TimeoutError):
            return None
        except OSError:  # the ICMP error for an earlier datagram, such as a closed port
            self.traffic["receive failed"] += 1
            return None

    def _handle(self, data: bytes, address: Address) -> None:
        if self._stopping and not data:
            return  # of `_wake`
        self.traffic["received"] += 1
        self.traffic["received bytes"] += len(data)
        message = self.seal.open(data)
        if message is not None:
            self._carry_out(self.node.receive(time.monotonic(), address, message))

    def _carry_out(self, actions: list[Action]) -> None:
        """Sends the messages and logs the events."""
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
        reserve = 0.0 if isinstance(message, Message) else RESERVE_SHARE
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

    def send_last(self, farewell: Callable[[float], list[Action]]) -> None:
        """Sends a layer's last messages, which `farewell` returns. May be called from any thread."""
        with self.lock:
            self._carry_out(farewell(time.monotonic()))

    def stop(self, most_s: float = 2.0) -> None:
        """Leaves, and waits up to `most_s` until the address is free. May be called from any thread."""
        with self.lock:
            self._carry_out(self.node.leave(time.monotonic()))
        self._stopping = True
        self._wake()
        self._stopped.wait(most_s)

    def _wake(self) -> None:
        """Ends the wait for a datagram by sending an empty one."""
        try:
            self.sock.sendto(b"", self.sock.getsockname())
        except OSError:
            pass  # the round ends after `MAX_WAIT_S` all the same

    def view(self) -> PeersView:
        """The present state for operators. May be called from any thread."""
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
