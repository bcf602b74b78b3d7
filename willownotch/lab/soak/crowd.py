"""Hundreds of clients that never finish a request: `python -m willownotch.lab.soak.crowd HOST PORT KIND`.

They run in a process of their own, on non-blocking sockets, so that the clients that are judged are not held
up by them. A client that the sender ends connects again a moment later.
"""

from __future__ import annotations

import errno
import heapq
import itertools
import select
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from random import Random

BODY_BYTES = 65_536
RECONNECT_S = 0.1
ARRIVE_S = 1.0  # in which all clients of a crowd connect first
CONNECT_MOST = 16  # of connects between two looks at the sockets

REF_PREFIX = "crowd-"  # of the ids of a crowd's messages
LEAVE = -1.0  # in place of a pause: the client closes its connection

Piece = tuple[bytes, float]  # bytes to write, and the pause after them in seconds


class CrowdKind(Enum):
    """What the clients of a crowd do."""

    SILENT = "silent"
    FIELDS = "fields"  # heads of very many short fields, slowly
    LONG_FIELD = "long-field"  # one field without an end, slowly
    UNSOUND = "unsound"  # whole unsound requests behind each other, slowly
    HALF_BODY = "half-body"  # most of a large body at once, then nothing
    SLOW_BODY = "slow-body"  # a large body in small pieces
    CHUNKS = "chunks"  # a chunked body of one-byte chunks without an end
    EXPECT = "expect"  # waits for 100 Continue, then sends half a body
    PIPELINE = "pipeline"  # sound requests behind each other, read by nobody
    HAND_INS = "hand-ins"  # messages under ever new ids and keys, at full speed
    NAMES = "names"  # small unsound requests under ever new names, at full speed
    LEAVERS = "leavers"  # messages behind each other, and then gone with all unread
    MIXED = "mixed"  # each client one of these


def _head(length: str, *more: str) -> bytes:
    lines = ("POST /api HTTP/1.1", "Host: api.internal", "Request-Id: crowd", length, *more)
    return "\r\n".join((*lines, "", "")).encode()


def _silent(random: Random) -> Iterator[Piece]:
    yield b"", 60.0


def _fields(random: Random) -> Iterator[Piece]:
    yield b"POST /api HTTP/1.1\r\nHost: a\r\n", 0.01
    for _ in range(32):
        yield b"".join(b"a%d:b\r\n" % random.randrange(10) for _ in range(100)), 0.05


def _long_field(random: Random) -> Iterator[Piece]:
    yield b"POST /api HTTP/1.1\r\nHost: ", 0.01
    for _ in range(15):
        yield b"a" * 1024, 0.1


def _unsound(random: Random) -> Iterator[Piece]:
    request = b"POST /api HTTP/1.1\r\nHost: a\r\nRequest-Class: none\r\nContent-Length: 0\r\n\r\n"
    for _ in range(30):
        yield request * (2048 // len(request)), 0.05


def _half_body(random: Random) -> Iterator[Piece]:
    yield _head(f"Content-Length: {BODY_BYTES}") + b"x" * 65_000, 60.0


def _slow_body(random: Random) -> Iterator[Piece]:
    yield _head(f"Content-Length: {BODY_BYTES}"), 0.01
    for _ in range(640):
        yield b"x" * 100, 0.05


def _chunks(random: Random) -> Iterator[Piece]:
    yield _head("Transfer-Encoding: chunked"), 0.01
    for _ in range(50):
        yield b"1\r\nx\r\n" * 170, 0.05


def _expect(random: Random) -> Iterator[Piece]:
    yield _head(f"Content-Length: {BODY_BYTES}", "Expect: 100-continue"), 0.2
    yield b"x" * (BODY_BYTES // 2), 60.0


def _pipeline(random: Random) -> Iterator[Piece]:
    for _ in itertools.count():
        yield b"GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n" * 50, 0.1


def _message(random: Random) -> bytes:
    number = random.getrandbits(64)
    lines = (
        f"POST /api?thread=k{number % 1000} HTTP/1.1",
        "Host: api.internal",
        f"Request-Id: {REF_PREFIX}{number:016x}",
        "Request-Class: status",
        "Tenant: acme",
        "Request-Timeout-Ms: 2000",
        "X-Consignee: dest=7",
        f"Idempotency-Key: i{number:x}",
        "Content-Length: 5",
    )
    return "\r\n".join((*lines, "", "hello")).encode()


def _hand_ins(random: Random) -> Iterator[Piece]:
    while True:
        yield _message(random), 0.0


def _names(random: Random) -> Iterator[Piece]:
    while True:
        name = f"{random.getrandbits(64):x}"
        lines = (
            f"POST /api?thread={name} HTTP/1.1",
            "Host: api.internal",
            f"Request-Id: {REF_PREFIX}{name}",
            f"Request-Class: {name}",
            f"Tenant: {name}",
            "Request-Timeout-Ms: 2000",
            f"X-Consignee: dest={random.randrange(10**9)}",
            f"X-{name}: {name}",
            "Content-Length: 0",
        )
        yield "\r\n".join((*lines, "", "")).encode(), 0.0


def _leavers(random: Random) -> Iterator[Piece]:
    yield b"".join(_message(random) for _ in range(40)), LEAVE


FULL_SPEED = (CrowdKind.HAND_INS, CrowdKind.NAMES, CrowdKind.LEAVERS)  # a few of these are a crowd

SCRIPTS: dict[CrowdKind, Callable[[Random], Iterator[Piece]]] = {
    CrowdKind.SILENT: _silent,
    CrowdKind.FIELDS: _fields,
    CrowdKind.LONG_FIELD: _long_field,
    CrowdKind.UNSOUND: _unsound,
    CrowdKind.HALF_BODY: _half_body,
    CrowdKind.SLOW_BODY: _slow_body,
    CrowdKind.CHUNKS: _chunks,
    CrowdKind.EXPECT: _expect,
    CrowdKind.PIPELINE: _pipeline,
    CrowdKind.HAND_INS: _hand_ins,
    CrowdKind.NAMES: _names,
    CrowdKind.LEAVERS: _leavers,
}


@dataclass(eq=False, slots=True)
class Member:
    """One client of a crowd."""

    number: int
    sock: socket.socket | None = None
    script: Iterator[Piece] = iter(())
    unwritten: bytes = b""
    pause_s: float = 0.0
    reads: bool = True
    life: int = field(default=0)  # a due time of an earlier connection is ignored


class Crowd:
    """The clients of a crowd, run by one thread."""

    def __init__(self, address: tuple[str, int], kind: CrowdKind, count: int, seed: int) -> None:
        self.address, self.kind, self.random = address, kind, Random(f"crowd {seed}")
        self.epoll = select.epoll()
        self.by_descriptor: dict[int, Member] = {}
        self.due: list[tuple[float, int, Member, int]] = []
        self.order = itertools.count()
        now = time.monotonic()
        for number in range(count):
            self._schedule(Member(number), now + ARRIVE_S * number / count)

    def _schedule(self, member: Member, at: float) -> None:
        heapq.heappush(self.due, (at, next(self.order), member, member.life))

    def run(self, seconds: float) -> None:
        """Trouble the sender for so long, then close all connections."""
        ends = time.monotonic() + seconds
        while (now := time.monotonic()) < ends:
            wait_s = max(0.0, min(0.05, self.due[0][0] - now)) if self.due else 0.05
            for descriptor, events in self.epoll.poll(wait_s):
                if (member := self.by_descriptor.get(descriptor)) is not None:
                    self._ready(member, events)
            for _ in range(CONNECT_MOST):
                if not self.due or self.due[0][0] > time.monotonic():
                    break
                _, _, member, life = heapq.heappop(self.due)
                if life == member.life:
                    self._advance(member)
        for member in list(self.by_descriptor.values()):
            self._end(member)

    def _advance(self, member: Member) -> None:
        """Connect, or write the next piece."""
        if member.sock is None:
            self._connect(member)
            return
        piece = next(member.script, None)
        if piece is None:
            self._schedule(member, time.monotonic() + 60.0)
            return
        member.unwritten, member.pause_s = piece
        self._write(member)

    def _connect(self, member: Member) -> None:
        kinds = [kind for kind in SCRIPTS if kind not in (CrowdKind.SILENT, *FULL_SPEED)]
        kind = self.random.choice(kinds) if self.kind is CrowdKind.MIXED else self.kind
        member.script, member.unwritten, member.pause_s = SCRIPTS[kind](self.random), b"", 0.0
        member.reads = kind is not CrowdKind.PIPELINE
        member.sock = socket.socket()
        member.sock.setblocking(False)
        self.by_descriptor[member.sock.fileno()] = member
        try:
            found = member.sock.connect_ex(self.address)
        except OSError:
            found = errno.ECONNREFUSED
        if found not in (0, errno.EINPROGRESS):
            self._end(member, again=True)
            return
        self.epoll.register(member.sock, select.EPOLLOUT | select.EPOLLIN)

    def _ready(self, member: Member, events: int) -> None:
        if events & (select.EPOLLERR | select.EPOLLHUP):
            self._end(member, again=True)
            return
        if events & select.EPOLLIN and member.reads:
            try:
                ended = not member.sock.recv(65_536)
            except BlockingIOError:
                ended = False
            except OSError:
                ended = True
            if ended:
                self._end(member, again=True)
                return
        if events & select.EPOLLOUT:
            self._write(member)

    def _write(self, member: Member) -> None:
        """Write what is left of a piece; the next one follows after its pause."""
        try:
            sent = member.sock.send(member.unwritten) if member.unwritten else 0
        except BlockingIOError:
            sent = 0
        except OSError:
            self._end(member, again=True)
            return
        member.unwritten = member.unwritten[sent:]
        reads = select.EPOLLIN if member.reads else 0
        self.epoll.modify(member.sock, reads | (select.EPOLLOUT if member.unwritten else 0))
        if not member.unwritten and member.pause_s == LEAVE:
            self._end(member, again=True)
        elif not member.unwritten:
            self._schedule(member, time.monotonic() + member.pause_s)

    def _end(self, member: Member, again: bool = False) -> None:
        self.by_descriptor.pop(member.sock.fileno(), None)
        member.sock.close()
        member.sock, member.life = None, member.life + 1
        if again:
            self._schedule(member, time.monotonic() + RECONNECT_S)


def start(
    address: tuple[str, int], kind: CrowdKind, count: int, seconds: float, seed: int
) -> subprocess.Popen:
    """Start a crowd in a process of its own."""
    words = [address[0], str(address[1]), kind.value, str(count), str(seconds), str(seed)]
    return subprocess.Popen([sys.executable, "-m", "willownotch.lab.soak.crowd", *words])


def main() -> None:
    """Run the crowd that the command line names."""
    host, port, kind, count, seconds, seed = sys.argv[1:]
    Crowd((host, int(port)), CrowdKind(kind), int(count), int(seed)).run(float(seconds))


if __name__ == "__main__":
    main()
