"""One client connection and the stage that it is at, and who makes room at the bound."""

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
from willownotch.net.endpoint_side import max_idle_connections

SILENT_TIME = timedelta(milliseconds=100)  # at the bound, who connects and says nothing so long makes room
SLOW_TIME = timedelta(seconds=1)  # and so does a request that takes longer than this
ANSWER_TIME = timedelta(seconds=2)
OTHERS = 32  # descriptors for files, discovery and the listener
MOST = 384  # client connections, whatever the descriptors allow: each has a thread
BASE_MB, CLIENT_MB = 24.0, 0.04  # of memory, for all that is no client connection, and for each that is


class Stage(Enum):
    """What a client connection is at. At the bound, the earlier ones here make room first."""

    LEAVING = 0  # our side is ended: only read on lest a reset eat the last answer
    SILENT = 1  # connected, and no byte has come yet
    IDLE = 2  # between two requests
    READING = 3  # part of a request has come
    ANSWERING = 4  # never ended to make room


# How long a client may be at a stage before it is the one to make room, the first to go first.
PATIENCES = {Stage.LEAVING: ZERO, Stage.SILENT: SILENT_TIME, Stage.IDLE: ZERO, Stage.READING: SLOW_TIME}


class StageQueues:
    """The clients at each stage that may make room, who has been there longest first.

    At the bound every connection that comes asks for one: hundreds must not be looked at each time.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()  # held for a few steps; no other is taken under it
        self._lines: dict[Stage, OrderedDict[Client, None]] = {stage: OrderedDict() for stage in PATIENCES}

    def move(self, client: Client, stage: Stage, now: datetime) -> None:
        """A client has come to a stage."""
        with self._lock:
            self._leave(client)
            client.stage, client.since = stage, now
            if stage in self._lines and not client.ending:
                self._lines[stage][client] = None

    def leave(self, client: Client) -> None:
        """It makes room, or is gone."""
        with self._lock:
            self._leave(client)

    def _leave(self, client: Client) -> None:
        if client.stage in self._lines:
            self._lines[client.stage].pop(client, None)

    def idlest(self, now: datetime) -> Client | None:
        """Who makes room, and is not asked again; None if nobody has been at a stage for long enough."""
        with self._lock:
            for stage, line in self._lines.items():
                while line and next(iter(line)).ending:  # for another reason
                    line.popitem(last=False)
                if line and now - next(iter(line)).since >= PATIENCES[stage]:
                    return line.popitem(last=False)[0]
        return None


class Client:
    """One client connection. `number` names it in the log of its process."""

    _numbers = itertools.count(1)

    def __init__(self, sock: socket.socket, now: datetime, stages: StageQueues | None = None) -> None:
        self.number = next(self._numbers)
        self.sock, self.opened, self.since = sock, now, now  # since when it is at its stage
        self.stage, self.asked, self.bad = Stage.SILENT, 0, 0  # requests read whole; bad ones in a row
        self.ending = False  # it makes room, or the sender stops: the request that it has is its last
        self.shut = False  # nothing that comes from now on is read as a request: the client sees the end
        self.why = "ended by the client"  # or why it is closed here
        self.told = False  # something was written on it, which a reset could eat
        self.lock = threading.Lock()  # held while bytes are taken off it, it is ended, or it goes elsewhere
        self.gone = False  # it is being closed here: nobody may pass it on any more
        self.moved = False  # another process reads it from now on
        self.passed = False  # and has got it
        self.shared = False  # the process before this one may still have it open, too
        self.arrived: datetime | None = None  # of a request that came with it, when its first byte came
        self.read_at: datetime | None = None  # and when it had been read whole, in the process before
        self.poll = select.poll()
        self.poll.register(sock, select.POLLIN)
        sock.settimeout(seconds(ANSWER_TIME))
        self.stages = stages or StageQueues()  # all clients' where it is one of many
        self.at(Stage.SILENT, now)

    def readable(self, patience: timedelta) -> bool:
        """Wait until something has come, or the connection has ended."""
        return bool(sockets.wait(self.poll, max(1, millis(patience))))

    def waits(self) -> bool:
        """Whether it rests and nothing has come that could be a request. Any thread may ask."""
        poll = select.poll()  # one object serves one thread at a time
        poll.register(self.sock, select.POLLIN)
        return self.stage in (Stage.SILENT, Stage.IDLE) and not sockets.wait(poll, 0)

    def write(self, data: bytes) -> None:
        """Write an answer."""
        self.told = True
        sockets.send_all(self.sock, data)

    def at(self, stage: Stage, now: datetime) -> None:
        """It has come to a stage."""
        self.stages.move(self, stage, now)


def clients_most(config: Config) -> int:
    """How many client connections descriptors and memory allow."""
    endpoint_side = config.settings.slots + max_idle_connections(config)
    memory = int((config.limits.memory_mb - BASE_MB) / CLIENT_MB)
    return max(8, min(MOST, config.limits.sockets - endpoint_side - OTHERS, memory))
