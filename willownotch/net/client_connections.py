"""Client connections, their stages, and which of them is ended first at the limit of connections."""

from __future__ import annotations

import heapq
import itertools
import select
import socket
import threading
from collections import OrderedDict
from datetime import datetime, timedelta
from enum import Enum

from willownotch.net import sockets
from willownotch.net.clock import ZERO, millis, seconds

SILENT_TIMEOUT = timedelta(milliseconds=100)  # at the limit, a new connection may stay silent for so long
# At the limit, a request that is read has to go on: each byte buys time at `MIN_READ_RATE`, at most so much.
MAX_PATIENCE = timedelta(milliseconds=150)
MIN_READ_RATE_BYTES_PER_S = 32 * 1024  # the largest body takes as long as any request may take
# At the limit, a connection that has been served may rest for so long while others have sent no request yet.
SERVED_IDLE_TIMEOUT = timedelta(seconds=1)
SLOW_REQUEST_TIMEOUT = timedelta(seconds=1)  # the same for a later request of it to arrive
WRITE_TIMEOUT = timedelta(seconds=2)  # for writing an answer
OTHER_DESCRIPTORS = 32  # for files, discovery and the listener
SPARE_ENTRIES = 64  # of closed clients, kept in the order of eviction until they are purged
MAX_CLIENTS = 384  # whatever descriptors and memory allow: each has a thread


class Stage(Enum):
    """What a client connection is doing."""

    LEAVING = 0  # our sending side is shut down; still read, since a reset could lose the last answer
    SILENT = 1  # connected, nothing received yet
    IDLE = 2  # between two requests
    READING = 3  # part of a request has been received
    ANSWERING = 4  # never ended to make room for others


class EvictionOrder:
    """The clients that may be ended at the limit of connections, and which one is next.

    Those that have got their last answer go first, then those that have never sent a whole request and make
    too little progress, then those that send requests without waiting for answers, then those that rest
    between two requests, and last those whose later request is slow. At the limit each new connection asks
    for one, so nothing goes through all clients.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()  # held briefly; no other lock is taken under it
        self._queues: dict[Stage, OrderedDict[Client, None]] = {
            stage: OrderedDict() for stage in (Stage.LEAVING, Stage.IDLE, Stage.READING)
        }
        self._pipelining: OrderedDict[Client, None] = OrderedDict()  # longest ago first
        self._unserved: set[Client] = set()  # at SILENT, or at READING with their first request
        # One entry for each of `_unserved`, and old ones; an entry may be earlier than its client's time.
        self._by_patience: list[tuple[datetime, int, Client]] = []
        self._entries = itertools.count()

    def move(self, client: Client, stage: Stage, now: datetime) -> None:
        """Set a client's stage and when it was reached, and queue it there."""
        with self._lock:
            self._remove(client)
            client.stage, client.stage_since = stage, now
            client.patience_until = now + (MAX_PATIENCE if stage is Stage.READING else SILENT_TIMEOUT)
            if client.ending:
                return
            if stage is Stage.SILENT or (stage is Stage.READING and not client.requests_read):
                self._unserved.add(client)
                self._push(client)
            elif client.pipelines and stage is not Stage.LEAVING:
                self._pipelining[client] = None
            elif stage in self._queues:
                self._queues[stage][client] = None

    def remove(self, client: Client) -> None:
        """Remove a client that is closed."""
        with self._lock:
            self._remove(client)

    def _remove(self, client: Client) -> None:
        self._unserved.discard(client)
        self._pipelining.pop(client, None)
        if client.stage in self._queues:
            self._queues[client.stage].pop(client, None)

    def _push(self, client: Client) -> None:
        if len(self._by_patience) > 2 * len(self._unserved) + SPARE_ENTRIES:  # mostly of closed clients
            self._by_patience = [
                (other.patience_until, next(self._entries), other)
                for other in self._unserved
                if other is not client
            ]
            heapq.heapify(self._by_patience)
        heapq.heappush(self._by_patience, (client.patience_until, next(self._entries), client))

    def unproven_count(self) -> int:
        """How many clients have sent no whole request, or have got their last answer."""
        return len(self._unserved) + len(self._queues[Stage.LEAVING])

    def next_unserved(self, now: datetime) -> Client | None:
        """Take out a client that has sent no whole request and makes too little progress, if there is one."""
        with self._lock:
            return self._slowest_unserved(now)

    def next(self, now: datetime, for_request: bool = True) -> Client | None:
        """Take out the client to end; None if there is none that may be ended yet.

        `for_request`: the place is for a connection that has sent a whole request. It goes before one that
        has been served and rests, unless others may soon be ended that have not.
        """
        rested = ZERO if for_request and not self._unserved else SERVED_IDLE_TIMEOUT
        with self._lock:
            return (
                self._oldest(self._queues[Stage.LEAVING], now)
                or self._slowest_unserved(now)
                or self._oldest(self._pipelining, now)
                or self._oldest(self._queues[Stage.IDLE], now - rested)
                or self._oldest(self._queues[Stage.READING], now - SLOW_REQUEST_TIMEOUT)
            )

    @staticmethod
    def _oldest(queue: OrderedDict[Client, None], until: datetime) -> Client | None:
        """The client that has been in a queue for longest, if at its stage since `until` or before."""
        while queue and next(iter(queue)).ending:  # it is being ended already
            queue.popitem(last=False)
        if queue and next(iter(queue)).stage_since <= until:
            return queue.popitem(last=False)[0]
        return None

    def _slowest_unserved(self, now: datetime) -> Client | None:
        """The client without a whole request whose patience ended first, if it has."""
        while self._by_patience and self._by_patience[0][0] <= now:
            _, _, client = heapq.heappop(self._by_patience)
            if client not in self._unserved:
                continue
            if client.ending:
                self._unserved.discard(client)
            elif client.patience_until > now:  # it has made progress since
                self._push(client)
            else:
                self._unserved.discard(client)
                return client
        return None


class Client:
    """One client connection. `number` identifies it in the log of its process."""

    _numbers = itertools.count(1)

    def __init__(self, sock: socket.socket, now: datetime, order: EvictionOrder | None = None) -> None:
        self.number = next(self._numbers)
        self.sock, self.opened, self.stage_since = sock, now, now
        # How many requests were read completely, and how many in a row were bad.
        self.stage, self.requests_read, self.bad_in_a_row = Stage.SILENT, 0, 0
        self.patience_until = now  # until when its request may go on without more bytes
        self.pipelines = False  # its next request had begun before it was answered
        self.ending = False  # its current request is its last
        self.shut = False  # shut down: nothing that arrives from now on is read as a request
        self.close_reason = "ended by the client"
        self.answered = False  # something was written, which a reset could discard before the client reads it
        self.lock = threading.Lock()  # held while reading from it, ending it, or passing it on
        self.closing = False  # it must not be passed on any more
        self.moved = False  # another process reads from it from now on
        self.passed_on = False  # the other process has confirmed it
        self.shared_with_predecessor = False  # the previous process may still have it open, too
        # Of a request that came with the connection from the previous process:
        self.arrived: datetime | None = None  # when its first byte came
        self.read_at: datetime | None = None  # when it had been read completely
        self.poll = select.poll()
        self.poll.register(sock, select.POLLIN)
        sock.settimeout(seconds(WRITE_TIMEOUT))
        self.order = order or EvictionOrder()  # shared by all clients of a listener
        self.at(Stage.SILENT, now)

    def readable(self, timeout: timedelta) -> bool:
        """Wait until there is something to read, or the connection's end; False after `timeout`."""
        return bool(sockets.wait(self.poll, max(1, millis(timeout))))

    def waits(self) -> bool:
        """Whether it is idle and has nothing to read. Any thread may call."""
        poll = select.poll()  # a poll object cannot be used by two threads at once
        poll.register(self.sock, select.POLLIN)
        return self.stage in (Stage.SILENT, Stage.IDLE) and not sockets.wait(poll, 0)

    def wait_ended(self, timeout: timedelta) -> None:
        """Wait for so long, or until the connection is ended from either side."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        sockets.wait(poll, millis(timeout))

    def is_gone(self) -> bool:
        """Whether the connection was reset, so that nobody can read an answer. Only its own thread calls."""
        broken = select.POLLHUP | select.POLLERR
        return any(events & broken for _, events in sockets.wait(self.poll, 0))

    def progress(self, count: int, now: datetime) -> None:
        """Record that so many bytes of a request have come."""
        bought = timedelta(seconds=count / MIN_READ_RATE_BYTES_PER_S)
        self.patience_until = min(now + MAX_PATIENCE, max(now, self.patience_until) + bought)

    def is_slow(self, now: datetime) -> bool:
        """Whether its request has made too little progress to be waited for where others need the room."""
        return self.stage is Stage.READING and now >= self.patience_until

    def write(self, data: bytes) -> None:
        """Write an answer."""
        self.answered = True
        sockets.send_all(self.sock, data)

    def at(self, stage: Stage, now: datetime) -> None:
        """Set the stage."""
        self.order.move(self, stage, now)
