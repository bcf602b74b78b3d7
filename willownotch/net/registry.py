"""What is said with the platform: the list of south side hosts by a watch, and notices of ended messages."""
from __future__ import annotations

import queue
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from willownotch import interface as face
from willownotch.net import http
from willownotch.net.clock import Clock, seconds
from willownotch.net.config import Config, ConfigError, ListedEndpoint, ListNews, read_address
from willownotch.net.log import Log

SILENCE = timedelta(seconds=5)  # a watch says something every 2 s: two lines missed and it is made anew
FIRST_WORD = timedelta(seconds=2)  # a watch is answered at once
CONNECT = timedelta(seconds=1)
AGAIN_FIRST, AGAIN_MOST = timedelta(milliseconds=100), timedelta(seconds=1)  # between tries, doubling
NOTICE_TIME = timedelta(seconds=1)  # a notice is answered at once: what takes longer is lost
NOTICES_MOST = 64  # notices in one call
LINE_MOST = 4 << 20  # bytes of one line of a watch
READINESS = {
    "Ready": face.Readiness.SERVING, "Terminating": face.Readiness.DRAINING, "Gone": face.Readiness.GONE,
}


@dataclass(frozen=True, slots=True)
class Host:
    """A south side host as the list has it."""

    number: int
    name: str
    address: tuple[str, int]
    destination: int
    serving: bool


class Hosts:
    """Names of the list to the module's numbers. The owner writes, relays read; an entry is never changed."""

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...], log: Log) -> None:
        self.kinds, self.zones, self.log = kinds, zones, log
        self.by_number: dict[int, Host] = {}
        self._numbers: dict[str, int] = {}

    def number(self, name: str) -> int:
        """The module's number for a host; the same for as long as this process runs."""
        return self._numbers.setdefault(name, len(self._numbers) + 1)

    def read(self, news: ListNews) -> face.EndpointList:
        """Discovery's news for the module. An entry that makes no sense is named and left as it was."""
        entries = []
        for listed in news.endpoints:
            try:
                entries.append(self._entry(listed))
            except (ConfigError, ValueError) as fault:
                self.log.say("list", f"entry {listed.name!r} passed over: {fault}")
        if news.snapshot:
            named = {entry.number for entry in entries}
            for number in [n for n in self.by_number if n not in named]:
                del self.by_number[number]
        return face.EndpointList(tuple(entries), news.snapshot)

    def _entry(self, listed: ListedEndpoint) -> face.Endpoint:
        if listed.type not in self.kinds:
            raise ValueError(f"unknown type {listed.type!r}")
        if listed.status not in READINESS:
            raise ValueError(f"unknown status {listed.status!r}")
        readiness, number = READINESS[listed.status], self.number(listed.name)
        address = read_address(listed.address, "its address")
        zone = self.zones.index(listed.zone) if listed.zone in self.zones else 0
        if readiness is face.Readiness.GONE:
            self.by_number.pop(number, None)
            return face.Endpoint(number, listed.group, self.kinds.index(listed.type), zone, readiness)
        self.by_number[number] = Host(
            number, listed.name, address, listed.group, readiness is face.Readiness.SERVING
        )
        return face.Endpoint(
            number, listed.group, self.kinds.index(listed.type), zone, readiness, listed.weight
        )

    def listed(self, destination: int) -> bool:
        """Whether the list has anything for a destination."""
        return any(host.destination == destination for host in list(self.by_number.values()))


class Lines:
    """Cuts bytes into lines as they come."""

    def __init__(self) -> None:
        self._rest = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole now."""
        self._rest += data
        *lines, rest = self._rest.split(b"\n")
        self._rest = bytearray(rest)
        if len(self._rest) > LINE_MOST:
            raise http.BadMessageError(413, "a line of the watch is too long")
        return [bytes(line).strip() for line in lines]


class Backoff:
    """Waits between tries: they double up to a second, and begin anew after a success."""

    def __init__(self) -> None:
        self.span = AGAIN_FIRST

    def next(self) -> timedelta:
        """How long to wait now."""
        span, self.span = self.span, min(AGAIN_MOST, 2 * self.span)
        return span


class Registry:
    """Watches the list for good: a watch that breaks, is silent or talks nonsense is made anew."""

    def __init__(self, config: Config, log: Log, tell: Callable[[ListNews], None]) -> None:
        self.config, self.log, self.tell = config, log, tell
        self.index = config.known.index if config.known else 0
        self._backoff = Backoff()
        self._pause = threading.Event()

    def run(self) -> None:
        """Watch until the process ends."""
        while True:
            try:
                self._watch()
                why = "it was ended"
            except (OSError, http.BadMessageError, msgspec.DecodeError, UnicodeDecodeError) as fault:
                why = str(fault) or type(fault).__name__
            self.log.say("watch", f"broken off, the last list is kept: {why}")
            self._pause.wait(seconds(self._backoff.next()))

    def _watch(self) -> None:
        host, port = self.config.discovery
        with socket.create_connection((host, port), seconds(CONNECT)) as sock:
            sock.settimeout(seconds(FIRST_WORD))
            target = f"/registry/instances?watch=1&from={self.index}"
            sock.sendall(http.write_request("GET", target, f"{host}:{port}", ()))
            parser, lines = http.Parser(answer=True, stream=True), Lines()
            while not parser.eof:
                parser.feed(sock.recv(65536))
                if not parser.read_head():
                    continue
                sock.settimeout(seconds(SILENCE))
                if parser.head.status != 200:
                    raise http.BadMessageError(400, f"answered with {parser.head.status}")
                for line in lines.feed(parser.body_part()):
                    if line:
                        self._take(line)
                if parser.body_done():
                    return

    def _take(self, line: bytes) -> None:
        """One line of news. Nonsense breaks the watch off: what it would have said is asked for again."""
        news = msgspec.json.decode(line, type=ListNews)
        self.index = news.index
        self._backoff = Backoff()
        self.tell(news)


class Notice(msgspec.Struct, omit_defaults=True):
    """One line to the platform."""

    message: str
    outcome: str
    retry_in_ms: int | None = None


class Notices:
    """Tells the platform of ended messages, over and over until it has answered."""

    def __init__(self, config: Config, clock: Clock, log: Log, told: Callable[[list[str]], None]) -> None:
        self.config, self.clock, self.log, self.told = config, clock, log, told
        self._queue: queue.SimpleQueue[Notice] = queue.SimpleQueue()
        self._sock: socket.socket | None = None
        self._pause = threading.Event()

    def post(self, notice: Notice) -> None:
        """Have a notice sent."""
        self._queue.put(notice)

    def run(self) -> None:
        """Send what comes until the process ends."""
        while True:
            notices = [self._queue.get()]
            while len(notices) < NOTICES_MOST and not self._queue.empty():
                notices.append(self._queue.get())
            self._send(notices)

    def _send(self, notices: list[Notice]) -> None:
        backoff = Backoff()
        while True:
            kept = self._sock is not None
            try:
                status = self._exchange(notices)
            except (OSError, http.BadMessageError) as fault:
                if kept:  # it may have been closed while idle: that is no reason to wait
                    self._close()
                    continue
                self.log.say("notice", f"not answered, tried again: {fault or type(fault).__name__}")
            else:
                if 200 <= status < 300:
                    return self.told([notice.message for notice in notices])
                if status == 400:
                    return self._unread(notices)
                self.log.say("notice", f"answered with {status}, tried again")
            self._close()
            self._pause.wait(seconds(backoff.next()))

    def _unread(self, notices: list[Notice]) -> None:
        """Found unreadable: one by one, so that a single bad line holds up no other."""
        if len(notices) > 1:
            for notice in notices:
                self._send([notice])
            return
        self.log.say("notice", f"the platform cannot read the notice of {notices[0].message}: given up")
        self.told([notices[0].message])

    def _exchange(self, notices: list[Notice]) -> int:
        """One call on the kept connection, or on a new one. Told twice does no harm."""
        host, port = self.config.discovery
        if self._sock is None:
            self._sock = socket.create_connection((host, port), seconds(CONNECT))
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.settimeout(seconds(NOTICE_TIME))
        body = b"".join(msgspec.json.encode(notice) + b"\n" for notice in notices)
        headers = [("Content-Type", "application/x-ndjson")]
        self._sock.sendall(http.write_request("POST", "/v1/outcomes", f"{host}:{port}", headers, body))
        parser = http.Parser(answer=True)
        while (found := parser.next()) is None:
            if parser.eof:
                raise ConnectionResetError("the connection ended without an answer")
            parser.feed(self._sock.recv(65536))
        if not found[0].keeps_alive():
            self._close()
        return found[0].status

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
        self._sock = None
