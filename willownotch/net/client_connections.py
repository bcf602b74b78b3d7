"""Client connections, their stages, and which of them is ended first at the limit of connections."""

from __future__ import annotations

import itertools
import select
import socket
import threading
from collections import OrderedDict
from datetime import datetime, timedelta
from enum import Enum

from willownotch.net import sockets
from willownotch.net.clock import ZERO, millis, seconds
from willownotch.net.config import Config

SILENT_TIMEOUT = timedelta(milliseconds=100)  # at the limit, a new connection may stay silent for so long
SLOW_REQUEST_TIMEOUT = timedelta(seconds=1)  # at the limit, a request may take so long to arrive
WRITE_TIMEOUT = timedelta(seconds=2)  # for writing an answer
OTHER_DESCRIPTORS = 32  # for files, discovery and the listener
MAX_CLIENTS = 384  # whatever descriptors and memory allow: each has a thread
BASE_MEMORY_MB, MEMORY_PER_CLIENT_MB = 24.0, 0.04  # of the process without clients, and for each client


class Stage(Enum):
    """What a client connection is doing. At the limit, those at the earlier stages here are ended first."""

    LEAVING = 0  # our sending side is shut down; still read, since a reset could lose the last answer
    SILENT = 1  # connected, nothing received yet
    IDLE = 2  # between two requests
    READING = 3  # part of a request has been received
    ANSWERING = 4  # never ended to make room for others


# How long a client must have been at a stage before it may be ended to make room, in the order of ending.
MIN_STAGE_TIMES = {
    Stage.LEAVING: ZERO,
    Stage.SILENT: SILENT_TIMEOUT,
    Stage.IDLE: ZERO,
    Stage.READING: SLOW_REQUEST_TIMEOUT,
}


class StageQueues:
    """The clients at each stage that may be ended, those longest at the stage first.

    At the limit each new connection asks for one, and going through hundreds each time would cost too much.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()  # held briefly; no other lock is taken under it
        self._queues: dict[Stage, OrderedDict[Client, None]] = {
            stage: OrderedDict() for stage in MIN_STAGE_TIMES
        }

    def move(self, client: Client, stage: Stage, now: datetime) -> None:
        """Set a client's stage and when it was reached, and queue it there."""
        with self._lock:
            self._remove(client)
            client.stage, client.stage_since = stage, now
            if stage in self._queues and not client.ending:
                self._queues[stage][client] = None

    def remove(self, client: Client) -> None:
        """Remove a client that is closed."""
        with self._lock:
            self._remove(client)

    def _remove(self, client: Client) -> None:
        if client.stage in self._queues:
            self._queues[client.stage].pop(client, None)

    def idlest(self, now: datetime) -> Client | None:
        """Take out the client to end; None if none has been at its stage for long enough."""
        with self._lock:
            for stage, queue in self._queues.items():
                while queue and next(iter(queue)).ending:  # it is being ended already
                    queue.popitem(last=False)
                if queue and now - next(iter(queue)).stage_since >= MIN_STAGE_TIMES[stage]:
                    return queue.popitem(last=False)[0]
        return None


class Client:
    """One client connection. `number` identifies it in the log of its process."""

    _numbers = itertools.count(1)

    def __init__(self, sock: socket.socket, now: datetime, stages: StageQueues | None = None) -> None:
        self.number = next(self._numbers)
        self.sock, self.opened, self.stage_since = sock, now, now
        # How many requests were read completely, and how many in a row were bad.
        self.stage, self.requests_read, self.bad_in_a_row = Stage.SILENT, 0, 0
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
        self.stages = stages or StageQueues()  # shared by all clients of a listener
        self.at(Stage.SILENT, now)

    def readable(self, timeout: timedelta) -> bool:
        """Wait until there is something to read, or the connection's end; False after `timeout`."""
        return bool(sockets.wait(self.poll, max(1, millis(timeout))))

    def waits(self) -> bool:
        """Whether it is idle and has nothing to read. Any thread may call."""
        poll = select.poll()  # a poll object cannot be used by two threads at once
        poll.register(self.sock, select.POLLIN)
        return self.stage in (Stage.SILENT, Stage.IDLE) and not sockets.wait(poll, 0)

    def write(self, data: bytes) -> None:
        """Write an answer."""
        self.answered = True
        sockets.send_all(self.sock, data)

    def at(self, stage: Stage, now: datetime) -> None:
        """Set the stage."""
        self.stages.move(self, stage, now)


def max_client_connections(config: Config) -> int:
    """How many client connections are allowed by the limits on descriptors and memory."""
    by_memory = int((config.limits.memory_mb - BASE_MEMORY_MB) / MEMORY_PER_CLIENT_MB)
    return max(
        8, min(MAX_CLIENTS, config.limits.sockets - config.settings.slots - OTHER_DESCRIPTORS, by_memory)
    )
