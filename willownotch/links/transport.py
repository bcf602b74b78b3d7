"""Authenticated frames between members over TCP: one connection for each direction, a bounded queue for each
peer.

A member connects to its peer's address (the port number of its datagrams) and only writes; the answers come
on a connection that the peer opens. When a connection breaks, the frames in flight and in the queue are lost;
the protocols above retry by themselves.

    length 4 | version 1 | key number 1 | sender's uid 6 | counter 8 | message | tag 16

The numbers are bytes.
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

MAX_FRAME_BYTES = 1 << 20
MAX_QUEUE_BYTES = 4 << 20  # waiting for one peer; further messages are dropped and counted
CONNECT_TIMEOUT_S, WRITE_TIMEOUT_S, RETRY_PAUSE_S = 1.0, 3.0, 0.1
IDLE_S = 30.0  # a link with nothing to send for this long ends
SILENT_S = 2 * IDLE_S  # an incoming connection without data for this long is closed
MAX_CONNECTIONS = 256  # incoming ones at a time; further ones are closed and counted
BACKLOG = 64
LENGTH = Struct("!I")

StartThread = Callable[[str, Callable[[], None]], None]
Message = msgspec.Struct


class Link:
    """The outgoing side to one peer: a queue, a thread and a connection."""

    def __init__(self, name: str, address: Address, transport: TcpTransport) -> None:
        self.name, self.address, self.transport = name, address, transport
        self.waiting: queue.SimpleQueue[tuple[Message, int] | None] = queue.SimpleQueue()
        self.waiting_bytes = 0  # estimated by `LinkKind.frame_size`
        self.sock: socket.socket | None = None
        self.ended = False

    def run(self) -> None:
        """Writes the queued messages until None is queued or nothing was for `IDLE_S`."""
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
            with self.transport.lock:
                self.waiting_bytes -= size
            try:
                data = self.transport.close(message)
            except (ValueError, OverflowError):  # too large for a frame: the protocol goes on without it
                self.transport.traffic["not sent: too large"] += 1
                continue
            try:
                if self.sock is None:
                    self.sock = self.transport.connect(self.address)
                self.sock.sendall(data)
                self.transport.traffic["sent"] += 1
                self.transport.traffic["sent bytes"] += len(data)
            except OSError:
                self.transport.traffic["send failed"] += 1
                self._close()
                self._drop_queue()
                pause.wait(RETRY_PAUSE_S)

    def _drop_queue(self) -> None:
        """Drops the queued messages: the protocol replaces them by newer ones after the loss."""
        with self.transport.lock:
            while not self.waiting.empty():
                if (found := self.waiting.get()) is None:
                    self.waiting.put(None)
                    return
                self.waiting_bytes -= found[1]
                self.transport.traffic["dropped"] += 1

    def _close(self) -> None:
        if self.sock is not None:
            self.sock.close()
        self.sock = None


@dataclass(frozen=True)
class LinkKind:
    """What distinguishes the links of one subsystem from those of another."""

    name: str  # prefix of its threads' names
    version: int  # of its frames; unlike that of datagrams, which use the same keys
    decode: Callable[[bytes], Message]
    frame_size: Callable[[Message], int]  # estimated bytes of a message's frame


class TcpTransport:
    """The listener, the incoming connections, and a link to each peer that is sent to."""

    def __init__(
        self,
        kind: LinkKind,
        listener: socket.socket,
        host: str,
        uid: int,
        keys: list[tuple[int, bytes]],
        deliver: Callable[[Message], None],
        start: StartThread,
    ) -> None:
        self.kind, self.listener, self.host, self.deliver, self.start = kind, listener, host, deliver, start
        self.seal = Seal(uid, keys, kind.decode, kind.version, MAX_FRAME_BYTES)
        self.traffic: Counter[str] = Counter()
        self.lock = threading.Lock()
        self.links: dict[str, Link] = {}
        self.connections = 0
        self.addresses: dict[str, Address] = {}

    def close(self, message: Message) -> bytes:
        """A message as a signed frame with its length in front."""
        with self.lock:
            data = self.seal.close(message)
        return LENGTH.pack(len(data)) + data

    def connect(self, address: Address) -> socket.socket:
        """A new connection to a peer, bound to this member's own address."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(CONNECT_TIMEOUT_S)
            if self.host != "0.0.0.0":
                sock.bind((self.host, 0))
            sock.connect(address)
            sock.settimeout(WRITE_TIMEOUT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            sock.close()
            raise
        return sock

    def send(self, name: str, message: Message) -> None:
        """Queues a message for a peer. It is dropped and counted if the peer's address is unknown or its
        queue is full."""
        address = self.addresses.get(name)
        if address is None:
            self.traffic["unknown peer"] += 1
            return
        size = self.kind.frame_size(message)
        with self.lock:
            link = self.links.get(name)
            is_new = link is None or link.ended or link.address != address
            if is_new:
                if link is not None:
                    link.waiting.put(None)
                link = self.links[name] = Link(name, address, self)
            if link.waiting_bytes + size > MAX_QUEUE_BYTES:
                self.traffic["dropped"] += 1
                return
            link.waiting_bytes += size
            link.waiting.put((message, size))
        if is_new:
            self.start(f"{self.kind.name}-to-{name}", link.run)

    def rotate_keys(self, keys: list[tuple[int, bytes]]) -> None:
        """Replaces the keys."""
        with self.lock:
            self.seal.rotate_keys(keys)

    def run(self) -> None:
        """Accepts connections until the listener is closed."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                if self.listener.fileno() < 0:
                    return
                threading.Event().wait(RETRY_PAUSE_S)
                continue
            with self.lock:
                full = self.connections >= MAX_CONNECTIONS
                self.connections += not full
            if full:
                self.traffic["too many connections"] += 1
                sock.close()
            else:
                self.start(f"{self.kind.name}-from", lambda sock=sock: self._serve(sock))

    def _serve(self, sock: socket.socket) -> None:
        try:
            self._read(sock)
        finally:
            with self.lock:
                self.connections -= 1

    def _read(self, sock: socket.socket) -> None:
        """Reads the frames of one connection. A rejected frame ends it, as the frame boundaries after it
        are not reliable."""
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
                    self.deliver(message)
        except OSError:
            pass  # the connection broke, or was silent for too long
