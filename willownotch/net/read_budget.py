"""The memory of a process for requests that are being read: one budget for all clients together.

Each connection has a small allowance of its own, which the limit of connections reckons with. What a request
needs beyond it is reserved here before it is read, and given back with its answer. Nothing here reads.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from willownotch.net.client_connections import MAX_CLIENTS, OTHER_DESCRIPTORS, Client
from willownotch.net.clock import ZERO, Clock, seconds
from willownotch.net.config import Config, Limits

BYTES_PER_MB = 1_000_000
ALLOWANCE_BYTES = 4096  # that a connection may hold without a reservation
BASE_MEMORY_MB = 23.0  # of the process in service, without clients
ENDPOINT_BYTES = 2500  # of a listed endpoint, all that is known of it
CONNECTION_BYTES = 32_000  # of a thread, its objects and the allowance
CONNECTIONS_SHARE = 0.4  # of the memory beyond the base; the rest is for bodies, lists, notices and records
READING_SHARE, MAX_READING_BYTES = 0.2, 16_000_000  # the same for what is being read
MIN_READING_BYTES = 3 * 65536  # whatever the memory is, the largest request fits
MIN_CONNECTIONS = 8
PRIORITY_CLIENTS = 8  # served beyond the limit, if a whole request has come from them
MIN_PENDING, MAX_PENDING = 16, 512  # connections that wait for a place without a thread
ROOM_TIMEOUT = timedelta(milliseconds=100)  # a request waits for room for so long
CHECK_INTERVAL = timedelta(milliseconds=20)


def spare_bytes(limits: Limits, listed: int = 0) -> float:
    """The memory that the process may use beyond what it needs without clients, with so many endpoints."""
    return max(0.0, (limits.memory_mb - BASE_MEMORY_MB) * BYTES_PER_MB - listed * ENDPOINT_BYTES)


def descriptors_for_clients(config: Config) -> int:
    """How many descriptors served clients may have together."""
    return config.limits.sockets - config.settings.slots - OTHER_DESCRIPTORS - PRIORITY_CLIENTS - MIN_PENDING


def max_client_connections(config: Config, listed: int = 0) -> int:
    """How many client connections the limits on descriptors and memory allow beside so many endpoints."""
    by_memory = int(CONNECTIONS_SHARE * spare_bytes(config.limits, listed) / CONNECTION_BYTES)
    return max(MIN_CONNECTIONS, min(MAX_CLIENTS, descriptors_for_clients(config), by_memory))


def max_pending_connections(config: Config) -> int:
    """How many accepted connections may wait for a place, by the limit on descriptors."""
    spare = descriptors_for_clients(config) - max_client_connections(config)
    return MIN_PENDING + max(0, min(MAX_PENDING, spare))


def max_reading_bytes(limits: Limits, listed: int = 0) -> int:
    """How many bytes of incomplete requests may be held, beyond the connections' allowances."""
    return int(max(MIN_READING_BYTES, min(MAX_READING_BYTES, READING_SHARE * spare_bytes(limits, listed))))


@dataclass(slots=True)
class Reservation:
    """What a client's request may hold."""

    size: int  # bytes
    made_at: datetime
    ended: bool = False  # its request was cut off to make room


class ReadBudget:
    """Reservations for requests that are being read. Any thread may call.

    `cut` ends the request of a client that makes too little progress while others wait for room.
    """

    def __init__(self, max_bytes: int, clock: Clock, cut: Callable[[Client], None]) -> None:
        self.max_bytes, self.clock, self._cut = max_bytes, clock, cut
        self.used = 0  # bytes
        self._changed = threading.Condition()
        self._reservations: dict[Client, Reservation] = {}

    def reserve(self, client: Client, size: int) -> bool:
        """Have a client's request hold `size` bytes; whether there is room for it within a short time."""
        extra = max(0, size - ALLOWANCE_BYTES)
        held = self._reservations.get(client)
        if extra <= (held.size if held is not None else 0):
            return True
        deadline = self.clock.now() + ROOM_TIMEOUT
        while True:
            with self._changed:
                held = self._reservations.get(client)
                more = extra - (held.size if held is not None else 0)
                now = self.clock.now()
                if self.used + more <= self.max_bytes:
                    self.used += more
                    self._reservations[client] = Reservation(extra, held.made_at if held else now)
                    return True
                if now >= deadline:
                    return False
                slow = self._slowest(now, client)
                if slow is None:
                    self._changed.wait(seconds(min(CHECK_INTERVAL, max(ZERO, deadline - now))))
            if slow is not None:  # outside the lock: its thread gives the room back
                self._cut(slow)

    def _slowest(self, now: datetime, asking: Client) -> Client | None:
        """The client that makes the least progress, if that is too little; it is named once."""
        slow = [
            client
            for client, held in self._reservations.items()
            if client is not asking and not held.ended and client.is_slow(now)
        ]
        if not slow:
            return None
        found = min(slow, key=lambda client: client.patience_until)
        self._reservations[found].ended = True
        return found

    def release(self, client: Client) -> None:
        """Give back what a client's request held; nothing, if it held nothing."""
        if client not in self._reservations:
            return
        with self._changed:
            self.used -= self._reservations.pop(client).size
            self._changed.notify_all()


class Turns:
    """Bounds how many requests of unproven clients are parsed at the same time.

    A client is unproven until its first request was answered, and while it sends requests without waiting for
    answers: hundreds of those would take the processor from clients that wait for one answer at a time.
    """

    MAX_AT_ONCE = 1

    def __init__(self) -> None:
        self._free = threading.Semaphore(self.MAX_AT_ONCE)

    def run(self, work: Callable[[], object], unproven: bool) -> object:
        """The result of `work`, which is parsing alone and never waits."""
        if not unproven:
            return work()
        with self._free:
            return work()
