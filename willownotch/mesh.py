"""Peers and what travels on them, put together for a running sender. Loaded only where the settings ask for
it."""

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
from willownotch.peers.edge import Budget, Edge
from willownotch.peers.keys import load_keys
from willownotch.peers.node import Layer, Node
from willownotch.peers.seal import Seal
from willownotch.peers.wire import Address
from willownotch.usage.service import Counting

if TYPE_CHECKING:
    from willownotch.lease.service import Leases
    from willownotch.replica.service import Keeper
    from willownotch.shared.service import SharedState, SharedView

LINGER_S = 0.6  # that a leaving instance still answers for, so that the others have its last counts
UID_BITS = 48
BIND_TRIES, BACKLOG = 20, 64
SWEEP, SWEEP_S, SWEEP_MOST = "sweep", 60.0, 16  # a duty: books in custody that are over are forgotten

Start = Callable[[str, Callable[[], None]], None]


def bind(address: Address, both: bool) -> tuple[socket.socket, socket.socket | None]:
    """A socket for datagrams and, if so, a listener for connections at the same address."""
    for attempt in range(BIND_TRIES):
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
            if address[1] or attempt + 1 == BIND_TRIES:  # a free port of one kind may be taken of the other
                raise
    raise OSError("no port")


class Mesh:
    """The peers of one sender: the socket, the node on it, its layers, and the questions it answers."""

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
            self.counting: Counting | None = None
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
                space.settle(0, 2 * BLOCK)  # its file, and the one that takes its place
            if blocks.usage.count:
                self.counting = Counting(
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
        self.keeper: Keeper | None = None
        if listener is not None:
            from willownotch.links.edge import Edge as Links
            from willownotch.replica.service import LINKS, Keeper

            edge = Links(
                LINKS,
                listener,
                settings.listen[0],
                uid,
                keys,
                lambda message: self.keeper.post(message),
                lambda name, work: self._start(name, work),
            )
            self.keeper = Keeper(
                blocks.replica,
                name,
                uid,
                edge,
                folder,
                files,
                space,
                space.room,
                lambda text: say("custody", text),
                now,
            )
            self.keeper.there = self.there
        node = Node(membership, layers)
        self.edge = Edge(
            self.sock, node, Seal(uid, keys, node.decode), settings.budget, lambda text: say("peers", text)
        )
        if self.counting is not None:
            self.counting.lock = self.edge.lock
        if self.shared is not None:
            self.shared.lock = self.edge.lock
        if self.leases is not None:
            self.leases.lock = self.edge.lock
            if self.keeper is not None:
                self.leases.does["forget"] = self.keeper.forget
        firsts = [part.before for part in (self.counting, self.shared, self.leases) if part is not None]
        self.edge.before = lambda now: [first(now) for first in firsts]

    def there(self) -> dict[str, tuple[int, Address]]:
        """The others that are there, suspects among them: their processes and addresses."""
        with self.edge.lock:
            return {m.name: (m.uid, m.address) for m in self.edge.node.membership.alive()}

    def start(self, start: Start) -> None:
        """Start its threads; `start` makes one that must not end."""
        self._start = start
        start("peers", lambda: self.edge.run(self.blocks.peers.seeds))
        if self.keeper is not None:
            start("custody", self.keeper.run)
            start("custody-in", self.keeper.edge.run)
        if self.keeper is not None and self.leases is not None and SWEEP in self.blocks.lease.duty:
            start("sweep", self._sweep)
        if self.counting is not None:
            start("usage", self.counting.keep)
        host, port = self.sock.getsockname()
        self.say("peers", f"{self.edge.node.membership.name} listens for peers on {host}:{port}")

    def _sweep(self) -> None:
        """Who holds the duty has all witnesses forget books that are over."""
        while True:
            threading.Event().wait(SWEEP_S)
            if self.leases.holds(SWEEP) and (books := self.keeper.over()):
                for at in range(0, len(books), SWEEP_MOST):
                    self.leases.act(SWEEP, b"forget " + " ".join(books[at : at + SWEEP_MOST]).encode())

    def register_handlers(self, server: Server) -> None:
        """Register the questions that it answers."""
        server.handlers["peers"] = lambda about: self.edge.view()
        if self.counting is not None:
            server.handlers["usage"] = self.counting.answer
        if self.leases is not None:
            server.handlers["leases"] = lambda about: self.leases.view()
        if self.shared is not None:
            server.handlers["shared"] = lambda about: self._shared_view()
        if self.keeper is not None:
            server.handlers["replica"] = lambda about: self.keeper.view()

    def _shared_view(self) -> SharedView:
        with self.edge.lock:
            return self.shared.view(time.monotonic())

    def reload(self, blocks: Blocks) -> str:
        """Take other settings, keys among them; which of them hold only from the next start.

        `KeysError`, and nothing changed, if the keys cannot be read.
        """
        old, fresh = self.blocks, blocks
        keys = load_keys(fresh.peers.keys) if fresh.peers.keys else None
        with self.edge.lock:
            if keys is not None:
                self.edge.seal.roll(keys)
                if self.keeper is not None:
                    self.keeper.edge.roll(keys)
            if self.keeper is not None:
                self.keeper.configure(fresh.replica, self._space.room)
            if fresh.peers != old.peers:
                self.edge.node.membership.settings = fresh.peers
                self.edge.budget = Budget(fresh.peers.budget, time.monotonic())
            if self.leases is not None:
                self.leases.reload(fresh.lease)
            if self.shared is not None:
                self.shared.reload(fresh.shared)
            if self.counting is not None:
                self.counting.usage.settings = fresh.usage
                self.counting.book.tally.most = fresh.usage.rows
        self.blocks = fresh
        later = [
            f"peers {word}"
            for word in ("listen", "advertise", "name", "seeds")
            if getattr(old.peers, word) != getattr(fresh.peers, word)
        ]
        later += ["usage count"] * (bool(old.usage.count) != bool(fresh.usage.count))
        later += ["lease"] * (old.lease.enabled() != fresh.lease.enabled())
        later += [
            f"shared {word}"
            for word in ("budgets", "judgements", "instances")
            if getattr(old.shared, word) != getattr(fresh.shared, word)
        ]
        later += ["replica"] * (old.replica.enabled() != fresh.replica.enabled())
        return ", ".join(later)

    def stop(self) -> None:
        """Leave: the last counts are still told, then the others hear that this instance goes."""
        if self.leases is not None:
            self.edge.last(self.leases.layer.leave)
        if self.keeper is not None:
            self.keeper.stop()
        if self.counting is not None:
            self.counting.close()
            if self.edge.node.membership.size() > 1:
                threading.Event().wait(LINGER_S)
        self.edge.stop()
