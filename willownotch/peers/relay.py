"""A stand-in for a bad network: a UDP relay on loopback that loses, delays, repeats and cuts, from one seed.

Each member has a door here, which is the address that it advertises. Whatever comes to a door goes on to the
member behind it, or does not, and from the sender's own door: so answers come through here, too.
"""
from __future__ import annotations

import heapq
import itertools
import select
import socket
import threading
import time
from random import Random

from willownotch.peers.lossy import Weather

LARGEST = 65535


class Relay:
    """Doors for members; `weather` may change at any time, `cut` by the members' names, one way."""

    def __init__(self, seed: int, weather: Weather | None = None) -> None:
        self.weather, self.random = weather or Weather(), Random(seed)
        self.passed = self.lost = 0
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
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._doors[sock.fileno()] = sock, name
        self._poll.register(sock, select.POLLIN)
        return sock.getsockname()

    def behind(self, name: str, address: tuple[str, int]) -> None:
        """Where the member itself listens; what it sends is known by that."""
        self._ports[name] = address
        self._names[address] = name

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
        weather, sock = self.weather, next((s for s, n in self._doors.values() if n == source), None)
        if sock is None:
            return  # of no member
        if weather.cut(source, name):
            self.lost += 1
            return
        for _ in range(1 + (self.random.random() < weather.repeat)):
            if self.random.random() < weather.loss:
                self.lost += 1
                continue
            at = time.monotonic() + weather.delay + self.random.random() * weather.jitter
            heapq.heappush(self._due, (at, next(self._count), sock, name, data))

    def close(self) -> None:
        """End it."""
        self._ending = True
        self._thread.join()
        for sock, _ in self._doors.values():
            sock.close()
