"""A network on loopback that loses, delays, repeats, reorders and cuts, from one seed: for UDP and TCP.

Each member has a door here, for datagrams and connections at one port, which is the address that it
advertises. Whatever comes to a door goes on to the member behind it, or does not. Datagrams go on from the
sender's own door, so that answers come through here, too. Who opens a connection is known by its address:
each member has one of its own, such as 127.0.0.11.

A cut holds a connection's bytes until it heals, as a network does whose ends go on trying; what was sent
before the cut may come long after it. Loss breaks connections: a share of their pieces is lost with them.
"""

from __future__ import annotations

import heapq
import itertools
import queue
import select
import socket
import threading
import time
from random import Random

from willownotch.peers.lossy import Conditions

LARGEST = 65535
BIND_TRIES = 20


def both_kinds() -> tuple[socket.socket, socket.socket]:
    """A listener and a socket for datagrams at one port; one that is free of one kind may be taken of the
    other."""
    for attempt in range(BIND_TRIES):
        listener = socket.create_server(("127.0.0.1", 0))
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind(listener.getsockname())
            return listener, sock
        except OSError:
            listener.close()
            sock.close()
            if attempt + 1 == BIND_TRIES:
                raise
    raise OSError("no port")


class Pipe:
    """One connection through a door: bytes one way, each piece when its time has come."""

    def __init__(self, net: Relay, client: socket.socket, source: str, target: str) -> None:
        self.net, self.client, self.source, self.target = net, client, source, target
        self.pieces: queue.SimpleQueue[tuple[float, bytes]] = queue.SimpleQueue()
        self.server: socket.socket | None = None
        for work in (self._read, self._write):
            threading.Thread(target=work, daemon=True).start()

    def _read(self) -> None:
        conditions = self.net.conditions
        try:
            while data := self.client.recv(LARGEST):
                conditions = self.net.conditions
                late = conditions.delay + self.net.random.random() * conditions.jitter
                self.pieces.put((time.monotonic() + late, data))
        except OSError:
            pass
        self.pieces.put((time.monotonic() + conditions.delay, b""))

    def _write(self) -> None:
        try:
            while True:
                due, data = self.pieces.get()
                self.net.wait(due, self.source, self.target)
                if not data or self.net.breaks():
                    break
                if self.server is None:
                    self.server = socket.create_connection(self.net.address(self.target), 1.0)
                    self.server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.server.sendall(data)
                self.net.passed += 1
        except OSError:
            pass
        self.close()

    def close(self) -> None:
        """End both halves."""
        for sock in (self.client, self.server):
            if sock is not None:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # it has ended already
                sock.close()


class Relay:
    """Doors for members; `weather` may change at any time, `cut` by the members' names, one way."""

    def __init__(self, seed: int, conditions: Conditions | None = None) -> None:
        self._changed = threading.Condition()
        self.conditions, self.random = conditions or Conditions(), Random(seed)
        self.passed = self.lost = 0
        self._listeners: list[socket.socket] = []
        self._pipes: list[Pipe] = []
        self._hosts: dict[str, str] = {}  # of members that open connections
        self._doors: dict[int, tuple[socket.socket, str]] = {}  # by descriptor
        self._ports: dict[str, tuple[str, int]] = {}  # of the members themselves
        self._names: dict[tuple[str, int], str] = {}
        self._due: list[tuple[float, int, socket.socket, str, bytes]] = []
        self._count = itertools.count()
        self._poll = select.poll()
        self._ending = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def door(self, name: str) -> tuple[str, int]:
        """A new address for a member, which does not yet stand behind it."""
        listener, sock = both_kinds()
        sock.setblocking(False)
        self._listeners.append(listener)
        threading.Thread(target=self._accept, args=(listener, name), daemon=True).start()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._doors[sock.fileno()] = sock, name
        self._poll.register(sock, select.POLLIN)
        return sock.getsockname()

    def behind(self, name: str, address: tuple[str, int]) -> None:
        """Where the member itself listens; what it sends is known by that."""
        self._ports[name] = address
        self._names[address] = name
        self._hosts[address[0]] = name

    @property
    def conditions(self) -> Conditions:
        """How bad it is now."""
        return self._weather

    @conditions.setter
    def conditions(self, conditions: Conditions) -> None:
        with self._changed:
            self._weather = conditions
            self._changed.notify_all()

    def address(self, name: str) -> tuple[str, int]:
        """Where a member itself listens; `OSError` if it is not known."""
        if name not in self._ports:
            raise OSError(f"nobody stands behind {name}'s door")
        return self._ports[name]

    def wait(self, due: float, source: str, target: str) -> None:
        """Until a piece may go on: its time has come, and the way is not cut."""
        with self._changed:
            while not self._ending:
                left = due - time.monotonic()
                if left <= 0 and not self.conditions.cut(source, target):
                    return
                self._changed.wait(max(left, 0.0) or None)

    def breaks(self) -> bool:
        """Whether this piece is lost, and the connection with it."""
        lost = self.random.random() < self.conditions.loss
        self.lost += lost
        return lost

    def _accept(self, listener: socket.socket, target: str) -> None:
        while not self._ending:
            try:
                client, address = listener.accept()
            except OSError:
                return
            self._pipes.append(Pipe(self, client, self._hosts.get(address[0], ""), target))

    def _run(self) -> None:
        while not self._ending:
            wait = 20.0 if not self._due else max(0.0, self._due[0][0] - time.monotonic()) * 1000
            for number, _ in self._poll.poll(min(wait, 20.0)):
                sock, name = self._doors[number]
                for _ in range(64):
                    try:
                        data, source = sock.recvfrom(LARGEST)
                    except OSError:
                        break
                    self._take(name, self._names.get(source, ""), data)
            now = time.monotonic()
            while self._due and self._due[0][0] <= now:
                _, _, sock, name, data = heapq.heappop(self._due)
                if name in self._ports:
                    try:
                        sock.sendto(data, self._ports[name])
                    except OSError:
                        continue
                    self.passed += 1

    def _take(self, name: str, source: str, data: bytes) -> None:
        conditions, sock = self.conditions, next((s for s, n in self._doors.values() if n == source), None)
        if sock is None:
            return  # of no member
        if conditions.cut(source, name):
            self.lost += 1
            return
        for _ in range(1 + (self.random.random() < conditions.repeat)):
            if self.random.random() < conditions.loss:
                self.lost += 1
                continue
            at = time.monotonic() + conditions.delay + self.random.random() * conditions.jitter
            heapq.heappush(self._due, (at, next(self._count), sock, name, data))

    def close(self) -> None:
        """End it."""
        with self._changed:
            self._ending = True
            self._changed.notify_all()
        self._thread.join()
        for listener in self._listeners:
            listener.close()
        for pipe in self._pipes:
            pipe.close()
        for sock, _ in self._doors.values():
            sock.close()
