"""Accepted connections that wait for a thread, at the limit of client connections.

Nothing is read from them: what has come is only looked at, so that a connection with one whole request goes
before one that has sent several at once, part of a request, or nothing. Used by the listener's thread alone.
"""

from __future__ import annotations

import fcntl
import re
import select
import socket
import termios
from array import array
from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum

from willownotch.net import sockets
from willownotch.net.client_connections import MAX_PATIENCE

PEEK_BYTES = 4096  # looked at: the head of a request
PENDING_TIMEOUT = timedelta(seconds=2)  # after which a connection that is still waiting is closed
CONTENT_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,6})[ \t]*\r\n", re.IGNORECASE)
TRANSFER_ENCODING = re.compile(rb"\r\ntransfer-encoding:", re.IGNORECASE)


class Received(Enum):
    """What has come on a pending connection."""

    NOTHING = 0
    PART = 1  # of a request
    SEVERAL = 2  # more than one request, without waiting for an answer
    WHOLE_REQUEST = 3


def unread_bytes(sock: socket.socket) -> int:
    """How many bytes have come on a connection and were not read; 0 if the system does not tell."""
    count = array("i", [0])
    try:
        fcntl.ioctl(sock, termios.FIONREAD, count)
    except OSError:
        return 0
    return count[0]


def classify(data: bytes, count: int) -> Received:
    """What has come on a connection: `count` bytes, of which `data` are the first."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return Received.PART
    head = data[: end + 2]
    if TRANSFER_ENCODING.search(head):
        return Received.PART
    length = CONTENT_LENGTH.search(head)
    surplus = max(count, len(data)) - end - 4 - (int(length[1]) if length is not None else 0)
    if surplus < 0:
        return Received.PART
    return Received.SEVERAL if surplus else Received.WHOLE_REQUEST


@dataclass(eq=False, slots=True)
class PendingConnection:
    """An accepted connection that waits."""

    sock: socket.socket
    accepted_at: datetime
    received: Received = Received.NOTHING
    count: int = 0  # bytes that have come, as last looked at
    low_water: bool = False  # whether the kernel tells it only once there are more


class PendingConnections:
    """The connections that wait, those with the same kind of data in the order of their arrival."""

    def __init__(self) -> None:
        self._queues: dict[Received, OrderedDict[PendingConnection, None]] = {
            received: OrderedDict() for received in Received
        }
        self._part_is_next = False
        self._awaiting = select.poll()  # those that may still send what matters
        self._by_descriptor: dict[int, PendingConnection] = {}  # of the same

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def count(self, received: Received) -> int:
        """How many have sent this."""
        return len(self._queues[received])

    def with_data(self) -> int:
        """How many have sent something."""
        return len(self) - len(self._queues[Received.NOTHING])

    def add(self, sock: socket.socket, now: datetime) -> None:
        """Have an accepted connection wait."""
        sock.setblocking(False)
        connection = PendingConnection(sock, now)
        self._queues[Received.NOTHING][connection] = None
        self._await_bytes(connection)

    def check(self) -> None:
        """Look at what has come since. A connection that has ended is closed."""
        try:
            ready = sockets.wait(self._awaiting, 0) if self._by_descriptor else []
        except OSError:
            return  # the system is short of memory: the next look tells the same
        for descriptor, _ in ready:
            self._look_at(self._by_descriptor[descriptor])

    def _await_bytes(self, connection: PendingConnection) -> None:
        """Have `check` look at a connection once there are more bytes than were looked at.

        One call asks for all: hundreds of calls, each of which gives other threads the interpreter, would
        keep the listener from its work.
        """
        connection.low_water = connection.count > 0 and self._set_low_water(connection, connection.count + 1)
        self._by_descriptor[connection.sock.fileno()] = connection
        self._awaiting.register(connection.sock, select.POLLIN)

    def _await_no_more(self, connection: PendingConnection) -> None:
        if self._by_descriptor.pop(connection.sock.fileno(), None) is not None:
            self._awaiting.unregister(connection.sock)
        if connection.low_water:
            self._set_low_water(connection, 1)
            connection.low_water = False

    @staticmethod
    def _set_low_water(connection: PendingConnection, count: int) -> bool:
        """Have the kernel tell a connection as readable only with so many bytes; whether it does."""
        level, option = socket.SOL_SOCKET, socket.SO_RCVLOWAT
        try:
            sockets.retry_transient("setsockopt", lambda: connection.sock.setsockopt(level, option, count))
        except OSError:  # the connection is broken, which its thread finds
            return False
        return True

    def _look_at(self, connection: PendingConnection) -> None:
        try:
            data = sockets.retry_transient("recv", lambda: connection.sock.recv(PEEK_BYTES, socket.MSG_PEEK))
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._remove(connection)
            connection.sock.close()
            return
        count = max(unread_bytes(connection.sock), len(data))
        # Told without more bytes, it has ended, or its buffer is full.
        stopped = connection.low_water and count <= connection.count
        received = classify(data, count)
        self._await_no_more(connection)
        connection.count = count
        if received is not connection.received:
            self._queues[connection.received].pop(connection)
            connection.received = received
            self._queues[received][connection] = None
        if received is Received.PART and not stopped:
            self._await_bytes(connection)

    def _remove(self, connection: PendingConnection) -> None:
        self._queues[connection.received].pop(connection, None)
        self._await_no_more(connection)

    def take(self, least: Received = Received.NOTHING) -> PendingConnection | None:
        """Take out the next connection, on which at least this has come; None if there is none.

        Of those with part of a request the latest goes first: most of the older ones have stopped. They take
        turns with those that sent several requests at once.
        """
        self._part_is_next = not self._part_is_next
        middle = (
            (Received.PART, Received.SEVERAL) if self._part_is_next else (Received.SEVERAL, Received.PART)
        )
        for received in (Received.WHOLE_REQUEST, *middle, Received.NOTHING):
            queue = self._queues[received]
            if received.value >= least.value and queue:
                latest = received is Received.PART
                connection = next(reversed(queue) if latest else iter(queue))
                self._remove(connection)
                return connection
        return None

    def close_one(self, now: datetime) -> bool:
        """Close the connection that is least likely to be used; False if all have sent one whole request."""
        silent, partial = self._queues[Received.NOTHING], self._queues[Received.PART]
        stopped = [q for q in (silent, partial) if q and now - next(iter(q)).accepted_at >= MAX_PATIENCE]
        for queue in (*stopped, self._queues[Received.SEVERAL], partial, silent):
            for connection in queue:
                self._remove(connection)
                connection.sock.close()
                return True
        return False

    def close_old(self, now: datetime) -> int:
        """Close those that have waited for too long; how many."""
        closed = 0
        for received in (Received.NOTHING, Received.PART, Received.SEVERAL):
            queue = self._queues[received]
            while queue and now - next(iter(queue)).accepted_at >= PENDING_TIMEOUT:
                connection = next(iter(queue))
                self._remove(connection)
                connection.sock.close()
                closed += 1
        return closed
