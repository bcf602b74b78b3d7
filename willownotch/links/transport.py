"""Frames between members over TCP: sealed, one connection a direction, each peer's queue bounded.

Whoever has something to say connects to the member's address (the port of its datagrams) and writes; answers
come on a connection of the other's own. A connection that breaks loses what was on its way: the core asks
again.

    length 4 | version 1 | key number 1 | sender's uid 6 | counter 8 | message | tag 16
"""

from __future__ import annotations

import queue
import socket
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from struct import Struct

import msgspec

from willownotch.peers.seal import Seal
from willownotch.peers.wire import Address

MAX_FRAME_BYTES = 1 << 20  # bytes of a frame
QUEUE_MOST = 4 << 20  # bytes that wait for one peer; what comes on top is dropped and counted
CONNECT_S, WRITE_S, PAUSE_S = 1.0, 3.0, 0.1
IDLE_S = 30.0  # a link that nothing was sent on for so long ends
SILENT_S = 2 * IDLE_S  # a connection that nothing came on for so long is closed
CONNECTIONS_MOST = 256  # that are read from at once; who comes on top is closed and counted
BACKLOG = 64
LENGTH = Struct("!I")

Start = Callable[[str, Callable[[], None]], None]
Message = msgspec.Struct


class Link:
    """What goes to one peer: a queue, a thread, a connection."""

    def __init__(self, name: str, address: Address, transport: TcpTransport) -> None:
        self.name, self.address, self.transport = name, address, transport
        self.waiting: queue.SimpleQueue[tuple[Message, int] | None] = queue.SimpleQueue()
        self.bytes = 0  # of frames that wait, as `Kind.size` has it
        self.sock: socket.socket | None = None
        self.ended = False

    def run(self) -> None:
        """Write what comes, until nothing has for a while."""
        pause = threading.Event()
        while True:
            try:
                found = self.waiting.get(timeout=IDLE_S)
            except queue.Empty:
                found = None
            if found is None:
                with self.transport.lock:
                    if not self.waiting.empty():
                        continue
                    self.ended = True
                    if self.transport.links.get(self.name) is self:
                        del self.transport.links[self.name]
                return self._close()
            message, size = found
            data = self.transport.close(message)
            with self.transport.lock:
                self.bytes -= size
            try:
                if self.sock is None:
                    self.sock = self.transport.connect(self.address)
                self.sock.sendall(data)
                self.transport.traffic["sent"] += 1
                self.transport.traffic["sent bytes"] += len(data)
            except OSError:
                self.transport.traffic["send failed"] += 1
                self._close()
                self._drop()
                pause.wait(PAUSE_S)

    def _drop(self) -> None:
        """What waits is older than what the core will say once it notices: it goes, too."""
        with self.transport.lock:
            while not self.waiting.empty():
                if (found := self.waiting.get()) is None:
                    self.waiting.put(None)
                    return
                self.bytes -= found[1]
                self.transport.traffic["dropped"] += 1

    def _close(self) -> None:
        if self.sock is not None:
            self.sock.close()
        self.sock = None


@dataclass(frozen=True)
class LinkKind:
    """What tells one subsystem's links from another's."""

    name: str  # begins the names of its threads
    version: int  # of its frames, told apart from datagrams, which the same keys seal
    decode: Callable[[bytes], Message]
    size: Callable[[Message], int]  # bytes of a message's frame, about


class TcpTransport:
    """The listener, the connections that were taken, and a link for each peer that is spoken to."""

    def __init__(
        self,
        kind: LinkKind,
        listener: socket.socket,
        host: str,
        uid: int,
        keys: list[tuple[int, bytes]],
        got: Callable[[Message], None],
        start: Start,
    ) -> None:
        self.kind, self.listener, self.host, self.got, self.start = kind, listener, host, got, start
        self.seal = Seal(uid, keys, kind.decode, kind.version, MAX_FRAME_BYTES)
        self.traffic: Counter[str] = Counter()
        self.lock = threading.Lock()
        self.links: dict[str, Link] = {}
        self.connections = 0
        self.addresses: dict[str, Address] = {}

    def close(self, message: Message) -> bytes:
        """A frame, with its length."""
        with self.lock:
            data = self.seal.close(message)
        return LENGTH.pack(len(data)) + data

    def connect(self, address: Address) -> socket.socket:
        """A connection to a peer, from this member's own address."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(CONNECT_S)
            if self.host != "0.0.0.0":
                sock.bind((self.host, 0))
            sock.connect(address)
            sock.settimeout(WRITE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            sock.close()
            raise
        return sock

    def send(self, name: str, message: Message) -> None:
        """Put a frame in a peer's queue. To whom no way is known, or who is too slow, nothing is sent."""
        address = self.addresses.get(name)
        if address is None:
            self.traffic["unknown peer"] += 1
            return
        size = self.kind.size(message)
        with self.lock:
            link = self.links.get(name)
            fresh = link is None or link.ended or link.address != address
            if fresh:
                if link is not None:
                    link.waiting.put(None)
                link = self.links[name] = Link(name, address, self)
            if link.bytes + size > QUEUE_MOST:
                self.traffic["dropped"] += 1
                return
            link.bytes += size
            link.waiting.put((message, size))
        if fresh:
            self.start(f"{self.kind.name}-to-{name}", link.run)

    def rotate_keys(self, keys: list[tuple[int, bytes]]) -> None:
        """Use other keys from now on."""
        with self.lock:
            self.seal.rotate_keys(keys)

    def run(self) -> None:
        """Take connections until the listener is closed."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                if self.listener.fileno() < 0:
                    return
                threading.Event().wait(PAUSE_S)
                continue
            with self.lock:
                full = self.connections >= CONNECTIONS_MOST
                self.connections += not full
            if full:
                self.traffic["too many connections"] += 1
                sock.close()
            else:
                self.start(f"{self.kind.name}-from", lambda sock=sock: self._take(sock))

    def _take(self, sock: socket.socket) -> None:
        try:
            self._read(sock)
        finally:
            with self.lock:
                self.connections -= 1

    def _read(self, sock: socket.socket) -> None:
        """Frames of one connection. One that cannot be read ends it: its place in the stream is lost."""
        try:
            sock.settimeout(SILENT_S)
            with sock, sock.makefile("rb") as stream:
                while head := stream.read(LENGTH.size):
                    if len(head) < LENGTH.size:
                        self.traffic["cut off"] += 1
                        return
                    length = LENGTH.unpack(head)[0]
                    if length > MAX_FRAME_BYTES:
                        self.traffic["too long"] += 1
                        return
                    data = stream.read(length)
                    if len(data) < length:
                        self.traffic["cut off"] += 1
                        return
                    with self.lock:
                        message = self.seal.open(data)
                    self.traffic["received"] += 1
                    self.traffic["received bytes"] += len(data)
                    if message is None:
                        return
                    self.got(message)
        except OSError:
            pass  # it broke off
