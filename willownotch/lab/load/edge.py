"""The generator on sockets: one epoll loop a process, several processes where one core is not enough.

All workers share one start on the monotonic clock, which is the machine's. Each sends every n-th message.
"""

from __future__ import annotations

import errno
import multiprocessing
import re
import selectors
import socket
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from secrets import token_hex

import numpy as np

from willownotch.lab.load.core import UNREADABLE, Close, Generator, Open, Send
from willownotch.lab.load.hand_in import request
from willownotch.lab.load.plan import Plan
from willownotch.lab.load.record import Record
from willownotch.net import http

SPIN_US = 1200  # before a message is due: epoll waits in whole milliseconds
LEAD_S = 0.5  # from the workers' start to the first arrival
WAIT = re.compile(r"[0-9]{1,5}(?:\.[0-9]{1,6})?\Z")  # seconds, whole or decimal
ROUND_MOST = 256  # events taken before the plan is looked at again


@dataclass(frozen=True)
class Target:
    """A sender's north side, and how to talk to it."""

    host: str
    port: int
    connections: int
    patience_us: int
    retries: int = 0
    retry_wait_us: int = 500_000
    path: str = "/api"


@dataclass(slots=True)
class Connection:
    """A connection to the target."""

    number: int
    sock: socket.socket
    parser: http.Parser
    unsent: bytes = b""
    stands: bool = False


class Loop:
    """One worker: its plan on its connections."""

    def __init__(self, plan: Plan, target: Target, mark: str, start_s: float) -> None:
        self.plan, self.target, self.mark, self.start_s = plan, target, mark, start_s
        self.generator = Generator(
            plan, target.connections, target.patience_us, target.retries, target.retry_wait_us
        )
        self.selector = selectors.DefaultSelector()
        self.connections: dict[int, Connection] = {}
        self._bodies: dict[int, bytes] = {}

    def now(self) -> int:
        """Microseconds since the start."""
        return int((time.monotonic() - self.start_s) * 1e6)

    def run(self) -> Record:
        """Send all of it, and wait for the answers as long as is set."""
        while not self.generator.done():
            # What has arrived by a moment is read before anything is given up as of that moment: this process
            # may have been held up for longer than an answer may take.
            now = self.now()
            if (due := self.generator.due()) is not None and due <= now:
                for key, _ in self.selector.select(0):
                    self._event(key.data)
            self._act(self.generator.tick(now))
            due = self.generator.due()
            wait = 0.1 if due is None else max(0.0, (due - SPIN_US - self.now()) / 1e6)
            for number, (key, _) in enumerate(self.selector.select(wait)):
                self._event(key.data)
                if number >= ROUND_MOST:
                    break
        for connection in list(self.connections.values()):
            self._drop(connection)
        self.selector.close()
        return self.generator.record

    def _act(self, actions: list) -> None:
        actions = list(actions)
        while actions:
            action = actions.pop(0)
            if isinstance(action, Send):
                actions += self._send(action)
            elif isinstance(action, Open):
                actions += self._open(action.connection)
            elif isinstance(action, Close) and action.connection in self.connections:
                self._drop(self.connections[action.connection])

    def _open(self, number: int) -> list:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex((self.target.host, self.target.port))
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            return self.generator.broken(self.now(), number)
        connection = self.connections[number] = Connection(number, sock, http.Parser(answer=True))
        self.selector.register(sock, selectors.EVENT_WRITE, connection)
        return []

    def _event(self, connection: Connection) -> None:
        if connection.number not in self.connections:
            return
        if not connection.stands:
            if connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._lose(connection)
                return
            connection.stands = True
            self.selector.modify(connection.sock, selectors.EVENT_READ, connection)
            self._act(self.generator.opened(self.now(), connection.number))
            return
        if connection.unsent:
            self._flush(connection)
        try:
            data = connection.sock.recv(http.READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._lose(connection)
            return
        try:
            if data:
                connection.parser.feed(data)
            self._answers(connection, not data)
        except http.BadMessageError:
            self._lose(connection, UNREADABLE)

    def _answers(self, connection: Connection, ended: bool) -> None:
        found = connection.parser.next()
        if found is not None and found[0].status >= 200:
            head = found[0]
            found_wait = WAIT.match(head.headers.get("retry-after", ""))
            wait = round(1e6 * float(found_wait[0])) if found_wait else None
            # Surplus bytes would be taken for the answer of the next request.
            keeps = head.keeps_alive() and not ended and not connection.parser.begun
            self._act(self.generator.answered(self.now(), connection.number, head.status, keeps, wait))
        elif ended:
            self._lose(connection)

    def _send(self, action: Send) -> list:
        connection = self.connections[action.connection]
        connection.unsent = self._bytes(action)
        return self._flush(connection)

    def _flush(self, connection: Connection) -> list:
        try:
            sent = connection.sock.send(connection.unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._drop(connection)
            return self.generator.broken(self.now(), connection.number)
        connection.unsent = connection.unsent[sent:]
        wanted = selectors.EVENT_READ | (selectors.EVENT_WRITE if connection.unsent else 0)
        if self.selector.get_key(connection.sock).events != wanted:
            self.selector.modify(connection.sock, wanted, connection)
        return []

    def _bytes(self, action: Send) -> bytes:
        plan, n = self.plan, action.number
        size = int(plan.size[n])
        return request(
            self.target.host,
            self.target.path,
            f"{self.mark}{n:08x}",
            plan.classes[plan.cls[n]],
            plan.tenants[plan.tenant[n]],
            int(plan.time_ms[n]),
            int(plan.dest[n]),
            plan.key_name(int(plan.key[n])),
            action.attempt,
            self._bodies.setdefault(size, b"w" * size),
        )

    def _lose(self, connection: Connection, why: str | None = None) -> None:
        self._drop(connection)
        self._act(self.generator.broken(self.now(), connection.number, *([why] if why else [])))

    def _drop(self, connection: Connection) -> None:
        del self.connections[connection.number]
        self.selector.unregister(connection.sock)
        connection.sock.close()


def work(plan: Plan, target: Target, mark: str, start_s: float) -> bytes:
    """One worker's run, as bytes of its record."""
    return Loop(plan, target, mark, start_s).run().to_bytes()


def run(plan: Plan, target: Target, workers: int = 1) -> Record:
    """A whole run, in so many processes."""
    mark = token_hex(4)
    start_s = time.monotonic() + LEAD_S
    if workers == 1:
        return Loop(plan, target, mark + "00", start_s).run()
    start_s += 0.5 * workers  # interpreters take their time to start
    each = Target(**{**target.__dict__, "connections": max(1, target.connections // workers)})
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, mp_context=context) as pool:
        parts = [plan.take(np.arange(n, len(plan), workers)) for n in range(workers)]
        runs = [pool.submit(work, part, each, f"{mark}{n:02x}", start_s) for n, part in enumerate(parts)]
        record = Record()
        for each_run in runs:
            record.add(Record.from_bytes(each_run.result()))
    return record
