"""Membership, usage counts, leases, shared state and replication, assembled for a running sender.

Loaded only where the settings enable `peers`.
"""

from __future__ import annotations

import secrets
import socket
import threading
import time
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from willownotch.blocks import Blocks
from willownotch.channel.server import Server
from willownotch.files.layer import Files
from willownotch.files.space import BLOCK, Space
from willownotch.peers.core import Membership
from willownotch.peers.keys import load_keys
from willownotch.peers.node import Layer, Node
from willownotch.peers.seal import Seal
from willownotch.peers.transport import Budget, UdpTransport
from willownotch.peers.wire import Address
from willownotch.usage.service import UsageService

if TYPE_CHECKING:
    from willownotch.lease.service import Leases
    from willownotch.replica.service import CustodyService
    from willownotch.shared.service import SharedState, SharedView

LINGER_S = 0.6  # a stopping sender answers peers for so long, so that they get its last counts
UID_BITS = 48
MAX_BIND_ATTEMPTS, BACKLOG = 20, 64
# The holder of this duty has all witnesses forget finished books, so many in one act.
SWEEP_DUTY, SWEEP_INTERVAL_S, MAX_BOOKS_PER_SWEEP = "sweep", 60.0, 16

Start = Callable[[str, Callable[[], None]], None]


def bind(address: Address, both: bool) -> tuple[socket.socket, socket.socket | None]:
    """Binds a UDP socket and, with `both`, a TCP listener at the same address. Port 0 picks a free port."""
    for attempt in range(MAX_BIND_ATTEMPTS):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM) if both else None
        try:
            sock.bind(address)
            if listener is not None:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                listener.bind(sock.getsockname())
                listener.listen(BACKLOG)
            return sock, listener
        except OSError:
            sock.close()
            if listener is not None:
                listener.close()
            if address[1] or attempt + 1 == MAX_BIND_ATTEMPTS:  # a port free for UDP may be taken for TCP
                raise
    raise OSError("no port")


class Mesh:
    """What one sender exchanges with its peers: the socket, the node on it, and the node's layers."""

    def __init__(
        self,
        blocks: Blocks,
        name: str,
        folder: Path,
        files: Files,
        space: Space,
        say: Callable[[str, str], None],
        now: Callable[[], datetime],
        instances: int = 1,
    ) -> None:
        settings = blocks.peers
        self.blocks, self.say, self._space = blocks, say, space
        name = settings.name or name
        keys = load_keys(settings.keys)
        self.sock, listener = bind(settings.listen, blocks.replica.enabled())
        try:
            uid = secrets.randbits(UID_BITS)
            address = settings.advertise or self.sock.getsockname()
            membership = Membership(name, address, uid, settings, Random(secrets.randbits(64)))
            self.counting: UsageService | None = None
            layers: tuple[Layer, ...] = ()
            self.shared: SharedState | None = None
            if blocks.shared.enabled():
                from willownotch.shared.service import SharedState

                self.shared = SharedState(
                    blocks.shared, name, uid, instances, time.monotonic(), Random(secrets.randbits(64))
                )
                layers += (self.shared.layer,)
            self.leases: Leases | None = None
            if blocks.lease.enabled():
                from willownotch.lease.service import Leases

                self.leases = Leases(
                    blocks.lease,
                    name,
                    uid,
                    folder,
                    files,
                    time.monotonic(),
                    Random(secrets.randbits(64)),
                    lambda text: say("lease", text),
                )
                layers += (self.leases.layer,)
                space.settle(0, 2 * BLOCK)  # its file, and the new file that replaces it
            if blocks.usage.count:
                self.counting = UsageService(
                    blocks.usage,
                    name,
                    not settings.seeds,
                    folder,
                    files,
                    space,
                    lambda text: say("usage", text),
                )
                layers += (self.counting.layer,)
        except OSError:
            self.sock.close()
            raise
        self.custody_service: CustodyService | None = None
        if listener is not None:
            from willownotch.links.transport import TcpTransport as Links
            from willownotch.replica.service import LINKS, CustodyService

            links = Links(
                LINKS,
                listener,
                settings.listen[0],
                uid,
                keys,
                lambda message: self.custody_service.post(message),
                lambda name, work: self._start(name, work),
            )
            self.custody_service = CustodyService(
                blocks.replica,
                name,
                uid,
                links,
                folder,
                files,
                space,
                space.room,
                lambda text: say("custody", text),
                now,
            )
            self.custody_service.peers = self.alive_members
        node = Node(membership, layers)
        self.transport = UdpTransport(
            self.sock, node, Seal(uid, keys, node.decode), settings.budget, lambda text: say("peers", text)
        )
        if self.counting is not None:
            self.counting.lock = self.transport.lock
        if self.shared is not None:
            self.shared.lock = self.transport.lock
        if self.leases is not None:
            self.leases.lock = self.transport.lock
            if self.custody_service is not None:
                self.leases.act_handlers["forget"] = self.custody_service.forget
        hooks = [part.before for part in (self.counting, self.shared, self.leases) if part is not None]
        self.transport.before = lambda now: [hook(now) for hook in hooks]

    def alive_members(self) -> dict[str, tuple[int, Address]]:
        """Returns the uid and address of each other member, by name, suspected ones included."""
        with self.transport.lock:
            return {m.name: (m.uid, m.address) for m in self.transport.node.membership.alive()}

    def start(self, start: Start) -> None:
        """Starts the threads. `start` runs a function on a thread whose end stops the sender."""
        self._start = start
        start("peers", lambda: self.transport.run(self.blocks.peers.seeds))
        if self.custody_service is not None:
            start("custody", self.custody_service.run)
            start("custody-in", self.custody_service.transport.run)
        if (
            self.custody_service is not None
            and self.leases is not None
            and SWEEP_DUTY in self.blocks.lease.duty
        ):
            start("sweep", self._sweep)
        if self.counting is not None:
            start("usage", self.counting.run_compaction)
        host, port = self.sock.getsockname()
        self.say("peers", f"{self.transport.node.membership.name} listens for peers on {host}:{port}")

    def _sweep(self) -> None:
        """While this sender holds the duty, has all witnesses forget finished books."""
        while True:
            threading.Event().wait(SWEEP_INTERVAL_S)
            if self.leases.holds(SWEEP_DUTY) and (books := self.custody_service.closed_books()):
                for start in range(0, len(books), MAX_BOOKS_PER_SWEEP):
                    self.leases.act(
                        SWEEP_DUTY,
                        b"forget " + " ".join(books[start : start + MAX_BOOKS_PER_SWEEP]).encode(),
                    )

    def register_handlers(self, server: Server) -> None:
        """Registers the handlers for control requests about peers."""
        server.handlers["peers"] = lambda about: self.transport.view()
        if self.counting is not None:
            server.handlers["usage"] = self.counting.answer
        if self.leases is not None:
            server.handlers["leases"] = lambda about: self.leases.view()
        if self.shared is not None:
            server.handlers["shared"] = lambda about: self._shared_view()
        if self.custody_service is not None:
            server.handlers["replica"] = lambda about: self.custody_service.view()

    def _shared_view(self) -> SharedView:
        with self.transport.lock:
            return self.shared.view(time.monotonic())

    def reload(self, blocks: Blocks) -> str:
        """Applies new settings, including keys; returns those that take effect only at the next start.

        `KeysError` if the keys cannot be read; then nothing has changed.
        """
        old, new = self.blocks, blocks
        keys = load_keys(new.peers.keys) if new.peers.keys else None
        with self.transport.lock:
            if keys is not None:
                self.transport.seal.rotate_keys(keys)
                if self.custody_service is not None:
                    self.custody_service.transport.rotate_keys(keys)
            if self.custody_service is not None:
                self.custody_service.configure(new.replica, self._space.room)
            if new.peers != old.peers:
                self.transport.node.membership.settings = new.peers
                self.transport.budget = Budget(new.peers.budget, time.monotonic())
            if self.leases is not None:
                self.leases.reload(new.lease)
            if self.shared is not None:
                self.shared.reload(new.shared)
            if self.counting is not None:
                self.counting.usage.settings = new.usage
                self.counting.store.tally.max_rows = new.usage.rows
        self.blocks = new
        at_restart = [
            f"peers {word}"
            for word in ("listen", "advertise", "name", "seeds")
            if getattr(old.peers, word) != getattr(new.peers, word)
        ]
        at_restart += ["usage count"] * (bool(old.usage.count) != bool(new.usage.count))
        at_restart += ["lease"] * (old.lease.enabled() != new.lease.enabled())
        at_restart += [
            f"shared {word}"
            for word in ("budgets", "judgements", "instances")
            if getattr(old.shared, word) != getattr(new.shared, word)
        ]
        at_restart += ["replica"] * (old.replica.enabled() != new.replica.enabled())
        return ", ".join(at_restart)

    def stop(self) -> None:
        """Leaves the membership: sends the last counts, then tells the others that this sender is leaving."""
        self._leave(LINGER_S)

    def hand_over(self) -> None:
        """Leaves at once, since the next process of this sender cannot start before it has the addresses.

        That one sends the counts of this one from the folder, so nobody waits for answers from here.
        """
        self._leave(0.0)

    def _leave(self, linger_s: float) -> None:
        if self.leases is not None:
            self.transport.send_last(self.leases.layer.leave)
        if self.custody_service is not None:
            self.custody_service.stop()
        if self.counting is not None:
            self.counting.close()
            if linger_s and self.transport.node.membership.size() > 1:
                threading.Event().wait(linger_s)
        self.transport.stop()
