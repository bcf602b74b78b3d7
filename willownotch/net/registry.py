"""The exchange with the platform: a watch that delivers the list of endpoints, and notices of final
outcomes."""

from __future__ import annotations

import queue
import random
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from itertools import takewhile

import msgspec

from willownotch import interface as api
from willownotch.net import http, sockets
from willownotch.net.clock import Clock, seconds
from willownotch.net.config import Config, ConfigError, ListedEndpoint, ListUpdate, read_address
from willownotch.net.log import Log

# A sender that can reach discovery must know a change of the list 6 s later; soon after that nothing more may
# be sent to an endpoint that is gone. A silent watch has to be detected and replaced, and answer, within that
# time.
LIST_CHANGE_GRACE = timedelta(seconds=6)
SILENCE_TIMEOUT = timedelta(seconds=3)  # a watch sends a line every 2 s; 50% more is allowed
CONNECT_TIMEOUT = timedelta(milliseconds=500)
# An agent on this machine answers at once and at no cost, and senders are expected to know what it knows, so
# it is asked often. A service shared by all senders answers them one by one, and with 503 after a long wait.
AGENT_FIRST_DATA_TIMEOUT, SERVICE_FIRST_DATA_TIMEOUT = timedelta(milliseconds=500), timedelta(seconds=2)
AGAIN_FIRST, AGAIN_MOST = (
    timedelta(milliseconds=100),
    timedelta(seconds=1),
)  # bounds of the span from which a delay is drawn, which doubles
MAX_RETRY_DELAY_AGENT = timedelta(milliseconds=300)  # where an agent is asked
CALL_EACH = timedelta(milliseconds=200)  # for each other sender: a busy service answers one in that time
CALL_LEAST = timedelta(milliseconds=5)  # lower bound, however fast the last answer was
AGAIN_LONG = (
    LIST_CHANGE_GRACE - CONNECT_TIMEOUT - SERVICE_FIRST_DATA_TIMEOUT
)  # where a shared service is asked and can answer all
MAX_RETRY_DELAY_AFTER_SILENCE = (
    AGAIN_LONG - SILENCE_TIMEOUT
)  # after a silence, which has used up part of the time
# A service that is down refuses at once. An overloaded one answers late, and its clients have to spread out.
MAX_RETRY_DELAY_BUSY, BUSY_AFTER = timedelta(seconds=30), timedelta(milliseconds=300)
# Notices are answered at once: after a timeout the connection counts as lost. The timeout doubles with each
# try.
NOTICE_FIRST, NOTICE_MOST = timedelta(milliseconds=150), timedelta(seconds=1)
NOTICES_MOST = 64  # in one call
GONE_KEPT = timedelta(seconds=60)  # for which a host that left the list keeps its number
MAX_WATCH_LIST_BYTES = 4 << 20  # of one list
READINESS = {
    "Ready": api.Readiness.SERVING,
    "Terminating": api.Readiness.DRAINING,
    "Gone": api.Readiness.GONE,
}


@dataclass(frozen=True, slots=True)
class Host:
    """The host of an endpoint, as listed. `since_ms` is when it appeared, as discovery tells it."""

    number: int
    name: str
    address: tuple[str, int]
    destination: int
    serving: bool
    kind: int = 0
    zone: int = 0
    since_ms: int = 0


class Hosts:
    """The listed hosts, and the numbers by which the decision module knows them.

    Only the decision loop writes; other threads read, so an entry is replaced and never changed. A name that
    left the list keeps its number for a limited time, so that nothing grows without bound, and no number is
    used twice. Applying a difference costs time by the hosts that it names, not by all that are listed.
    """

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...], clock: Clock, log: Log) -> None:
        self.kinds, self.zones, self.clock, self.log = kinds, zones, clock, log
        self.by_number: dict[int, Host] = {}
        self._numbers: dict[str, int] = {}
        self._last = 0  # last number assigned
        self._gone: dict[str, datetime] = {}  # by name: when it became unlisted, oldest first
        self._at: dict[tuple[str, int], int] = {}  # by address: the number of the one host there
        self._listed: dict[int, int] = {}  # by destination: how many hosts are listed

    def state(self) -> dict:
        """The state for the process that takes over, which has to keep these numbers."""
        return {"by_number": self.by_number, "numbers": self._numbers, "last": self._last, "gone": self._gone}

    def adopt(self, state: dict) -> None:
        """Continue with the hosts and numbers of another process."""
        self.by_number.update(state["by_number"])
        self._numbers, self._last, self._gone = state["numbers"], state["last"], state["gone"]
        self._at, self._listed = {}, {}
        self._displaced(dict.fromkeys(self.by_number))
        self._count(dict.fromkeys(self.by_number))

    def number(self, name: str) -> int:
        """The number of a host; the same one until it has been unlisted for longer than a minute."""
        if name not in self._numbers:
            self._last += 1
            self._numbers[name] = self._last
            self._gone[name] = self.clock.now()  # counts as unlisted until a list names it
        return self._numbers[name]

    def name(self, number: int) -> str | None:
        """The name of a listed host; None for any other number."""
        host = self.by_number.get(number)
        return host.name if host is not None else None

    def number_listed(self, name: str) -> int | None:
        """The number of a listed host; None for any other name."""
        number = self._numbers.get(name)
        return number if number in self.by_number else None

    def read(self, news: ListUpdate) -> tuple[api.EndpointList, list[int]]:
        """Apply an update of the list.

        Returns the module's event, and the numbers of hosts whose idle connections have become useless. An
        entry that is invalid is logged and leaves its host as it was.
        """
        entries, before = [], {}
        for listed in news.endpoints:
            try:
                entries.append(self._entry(listed, before))
            except (ConfigError, ValueError) as fault:
                self.log.say("list", f"entry {listed.name!r} passed over: {fault}")
        if news.snapshot:
            named = {entry.number for entry in entries}
            for number in [n for n in self.by_number if n not in named]:
                before.setdefault(number, self.by_number.pop(number))
        entries += self._displaced(before)
        self._count(before)
        self._forget(before)
        left = [number for number, host in before.items() if host and self.by_number.get(number) != host]
        return api.EndpointList(tuple(entries), news.snapshot), left

    def _displaced(self, before: dict[int, Host | None]) -> list[api.Endpoint]:
        """Remove hosts whose address a newer host has taken over, and return them as gone.

        Calls meant for the old host must not reach the new one. `before` maps each number that may have
        changed to its previous host; displaced hosts are added to it.
        """
        for number, host in before.items():
            if host is not None and self._at.get(host.address) == number:
                del self._at[host.address]
        rivals: dict[tuple[str, int], list[Host]] = {}
        for number in before:
            if (host := self.by_number.get(number)) is not None:
                rivals.setdefault(host.address, []).append(host)
        older = []
        for address, hosts in rivals.items():
            if address in self._at:
                hosts.append(self.by_number[self._at[address]])
            newest = max(hosts, key=lambda host: (host.serving, host.since_ms, host.number))
            self._at[address] = newest.number
            older += [host for host in hosts if host is not newest]
        for host in older:
            before.setdefault(host.number, self.by_number.pop(host.number))
        return [api.Endpoint(h.number, h.destination, h.kind, h.zone, api.Readiness.GONE) for h in older]

    def _count(self, before: dict[int, Host | None]) -> None:
        """Update the number of hosts of each destination. Additions come first, since other threads may read
        the counts meanwhile and must not see a destination vanish."""
        for number in before:
            if (host := self.by_number.get(number)) is not None:
                self._listed[host.destination] = self._listed.get(host.destination, 0) + 1
        for host in before.values():
            if host is not None:
                self._listed[host.destination] -= 1
                if not self._listed[host.destination]:
                    del self._listed[host.destination]

    def _forget(self, before: dict[int, Host | None]) -> None:
        """Forget names that have been unlisted for longer than any relay, wait or slow start may last."""
        now = self.clock.now()
        for number, host in before.items():
            if number in self.by_number:
                self._gone.pop(self.by_number[number].name, None)
            elif host is not None:
                self._gone.setdefault(host.name, now)
        for name, _ in list(takewhile(lambda item: now - item[1] > GONE_KEPT, self._gone.items())):
            del self._gone[name], self._numbers[name]

    def _entry(self, listed: ListedEndpoint, before: dict[int, Host | None]) -> api.Endpoint:
        if listed.type not in self.kinds:
            raise ValueError(f"unknown type {listed.type!r}")
        if listed.status not in READINESS:
            raise ValueError(f"unknown status {listed.status!r}")
        readiness, number = READINESS[listed.status], self.number(listed.name)
        address = read_address(listed.address, "its address")
        zone = self.zones.index(listed.zone) if listed.zone in self.zones else 0
        before.setdefault(number, self.by_number.get(number))
        if readiness is api.Readiness.GONE:
            self.by_number.pop(number, None)
            return api.Endpoint(number, listed.group, self.kinds.index(listed.type), zone, readiness)
        self.by_number[number] = Host(
            number,
            listed.name,
            address,
            listed.group,
            readiness is api.Readiness.SERVING,
            self.kinds.index(listed.type),
            zone,
            listed.since_ms,
        )
        return api.Endpoint(
            number, listed.group, self.kinds.index(listed.type), zone, readiness, listed.weight
        )

    def listed(self, destination: int) -> bool:
        """Whether any host is listed for a destination."""
        return destination in self._listed


class WatchDecoder:
    """Decodes a watch's byte stream into updates of the list. One update may be indented over several
    lines."""

    def __init__(self) -> None:
        self._rest = bytearray()
        self._begun = bytearray()  # complete lines of an incomplete list

    def feed(self, data: bytes) -> tuple[list[ListUpdate], bool]:
        """The lists that are complete now, and whether any line was completed.

        `DecodeError` for what cannot be a list, `BadMessageError` for one that is too long or breaks off.
        """
        self._rest += data
        *lines, rest = self._rest.split(b"\n")
        self._rest = bytearray(rest)
        if len(self._rest) + len(self._begun) > MAX_WATCH_LIST_BYTES:
            raise http.BadMessageError(413, "a list of the watch is too long")
        return [news for line in lines if (news := self._line(bytes(line).strip())) is not None], bool(lines)

    def _line(self, line: bytes) -> ListUpdate | None:
        if not line:
            if self._begun:
                raise http.BadMessageError(400, "a list of the watch breaks off")
            return None
        first, self._begun = not self._begun, self._begun + line
        if not first and not line.endswith(b"}"):  # a list can only end with a closing brace
            return None
        try:
            news = msgspec.json.decode(self._begun, type=ListUpdate)
        except msgspec.DecodeError as fault:
            if "truncated" in str(fault):  # indented: more lines follow
                return None
            raise
        self._begun = bytearray()
        return news


class Backoff:
    """Random delays between tries, whose span doubles up to a bound and is reset after a success.

    The span is wide enough for all senders to be answered one after the other: their watches end together,
    and calls that arrive together are answered with 503 and only keep the platform busy.
    """

    def __init__(self, senders: int = 1, draw: Callable[[], float] = random.random) -> None:
        self.others, self.draw, self.each, self.tries = senders - 1, draw, CALL_EACH, 0

    def next(self, most: timedelta = AGAIN_LONG) -> timedelta:
        """The next delay, at most `most`. If all senders cannot be answered in that time, the bound is that
        of a busy service instead: asking for what it cannot deliver in time would only delay the answers
        further."""
        all_once = self.others * self.each
        span = min(max(AGAIN_MOST, 2 * all_once), 2**self.tries * max(AGAIN_FIRST, all_once))
        self.tries = min(10, self.tries + 1)
        return min(span, most if all_once <= 2 * AGAIN_LONG else MAX_RETRY_DELAY_BUSY) * (1.0 - self.draw())

    def reset(self, took: timedelta = CALL_EACH) -> None:
        """Reset after a success that took so long. A faster answer allows more senders to ask at the same
        time."""
        self.tries, self.each = 0, min(CALL_EACH, max(CALL_LEAST, took))


class Platform:
    """The platform's address, and the open connections to it.

    A new configuration can change the address at any time. Threads that wait on a connection to the old
    address or for their next try are then woken at once: the old agent may keep running without newer
    updates.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address, self.moves = address, 0
        self._changed = threading.Condition()
        self._open: set[socket.socket] = set()

    def move(self, address: tuple[str, int]) -> bool:
        """Use another address from now on. False if it is the current one."""
        with self._changed:
            if address == self.address:
                return False
            self.address, self.moves = address, self.moves + 1
            for sock in self._open:
                try:
                    sock.shutdown(socket.SHUT_RDWR)  # wakes a blocked call; its own thread closes it
                except OSError:
                    pass  # not connected yet, or already closed
            self._changed.notify_all()
        return True

    def connect(self) -> tuple[socket.socket, str, int]:
        """Open a connection to the current address.

        Returns the socket, the value of its Host header, and the number of moves so far.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        with self._changed:
            self._open.add(sock)
            address, moves = self.address, self.moves
        try:
            sock.settimeout(seconds(CONNECT_TIMEOUT))
            sockets.disable_nagle(sock)
            sock.connect(address)
            with self._changed:  # a move during the connect could not shut it down
                if self.moves != moves:
                    raise ConnectionAbortedError("the platform has moved")
        except OSError:
            self.close(sock)
            raise
        return sock, f"{address[0]}:{address[1]}", moves

    def close(self, sock: socket.socket) -> None:
        """Close a connection that `connect` returned."""
        with self._changed:  # not during a move, or its descriptor could be reused
            self._open.discard(sock)
            sock.close()

    def pause(self, span: timedelta, moves: int) -> None:
        """Wait before the next try, but return at once if the address has moved since `moves` was read."""
        with self._changed:
            self._changed.wait_for(lambda: self.moves != moves, seconds(span))


class SilentError(TimeoutError):
    """A watch that had delivered data has fallen silent."""


class BusyError(OSError):
    """A watch was rejected by an overloaded service."""


class EndpointListWatcher:
    """Watches the list of endpoints permanently. A watch that breaks, falls silent or sends invalid data is
    replaced, and the last list stays in force meanwhile."""

    def __init__(
        self, config: Config, platform: Platform, log: Log, clock: Clock, tell: Callable[[ListUpdate], None]
    ) -> None:
        self.platform, self.log, self.clock, self.tell = platform, log, clock, tell
        self.index, self._index_moves = config.known.index if config.known else 0, platform.moves
        self.first_word = SERVICE_FIRST_DATA_TIMEOUT if config.shared_discovery else AGENT_FIRST_DATA_TIMEOUT
        self._backoff = Backoff(config.settings.senders if config.shared_discovery else 1)
        self._again = AGAIN_LONG if config.shared_discovery else MAX_RETRY_DELAY_AGENT

    def run(self) -> None:
        """Watch until the process ends."""
        while True:
            moves, most = self.platform.moves, self._again
            try:
                self._watch()
                why = "it was ended"
            except SilentError as fault:
                why, most = str(fault), min(most, MAX_RETRY_DELAY_AFTER_SILENCE)
            except BusyError as fault:
                why, most = str(fault), MAX_RETRY_DELAY_BUSY
            except (OSError, http.BadMessageError, msgspec.DecodeError, UnicodeDecodeError) as fault:
                why = str(fault) or type(fault).__name__
            self.log.say("watch", f"broken off, the last list is kept: {why}")
            self.platform.pause(self._backoff.next(most), moves)

    def _watch(self) -> None:
        sock, name, moves = self.platform.connect()
        if moves != self._index_moves:
            # The versions of one agent mean nothing to another: asking from one could skip changes.
            self.index, self._index_moves = 0, moves
            self._backoff.reset()
        try:
            # Only complete lines count as data: a connection that trickles bytes is as silent as an idle one.
            asked, heard = self.clock.now(), False
            due = asked + self.first_word
            sock.settimeout(seconds(self.first_word))
            target = f"/registry/instances?watch=1&from={self.index}"
            sockets.send_all(sock, http.write_request("GET", target, name, ()))
            parser, news = http.Parser(answer=True, stream=True), WatchDecoder()
            while not parser.eof:
                try:
                    sock.settimeout(max(0.001, seconds(due - self.clock.now())))
                    parser.feed(sockets.receive(sock, http.READ_BYTES))
                except TimeoutError:
                    raise SilentError("it is silent") if heard else TimeoutError("no first word") from None
                if not parser.read_head():
                    continue
                if parser.head.status == 503 and self.clock.now() - asked >= BUSY_AFTER:
                    raise BusyError("answered with 503 after a wait")
                if parser.head.status != 200:
                    raise http.BadMessageError(400, f"answered with {parser.head.status}")
                lists, whole = news.feed(parser.body_part())
                if whole:
                    now = self.clock.now()
                    if not heard:
                        self._backoff.reset(now - asked)
                    due, heard = now + SILENCE_TIMEOUT, True
                for each in lists:
                    self._take(each)
                if parser.body_done():
                    return
        finally:
            self.platform.close(sock)

    def _take(self, news: ListUpdate) -> None:
        self.index = news.index
        self.tell(news)


class Notice(msgspec.Struct, omit_defaults=True):
    """The final outcome of a message, sent to the platform as one line of JSON."""

    message: str
    outcome: str
    retry_in_ms: int | None = None


class NoticeSender:
    """Sends notices of final outcomes to the platform, and repeats each until it is answered."""

    def __init__(self, platform: Platform, log: Log, told: Callable[[list[str]], None]) -> None:
        self.platform, self.log, self.told = platform, log, told
        self._queue: queue.SimpleQueue[Notice] = queue.SimpleQueue()
        self._sock: socket.socket | None = None
        self._name = ""

    def post(self, notice: Notice) -> None:
        """Queue a notice."""
        self._queue.put(notice)

    def run(self) -> None:
        """Send queued notices until the process ends."""
        while True:
            notices = [self._queue.get()]
            while len(notices) < NOTICES_MOST and not self._queue.empty():
                notices.append(self._queue.get())
            self._send(notices)

    def _send(self, notices: list[Notice]) -> None:
        backoff, patience = Backoff(), NOTICE_FIRST
        while True:
            kept, moves = self._sock is not None, self.platform.moves
            try:
                status = self._exchange(notices, patience)
            except (OSError, http.BadMessageError) as fault:
                patience = min(NOTICE_MOST, 2 * patience)
                if kept:  # it may have been closed while idle: retry at once
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
            self.platform.pause(backoff.next(), moves)

    def _unread(self, notices: list[Notice]) -> None:
        """Handle an answer of 400: send the notices one by one, so that a bad one holds up no other, and give
        up on a single one."""
        if len(notices) > 1:
            for notice in notices:
                self._send([notice])
            return
        self.log.say("notice", f"the platform cannot read the notice of {notices[0].message}: given up")
        self.told([notices[0].message])

    def _exchange(self, notices: list[Notice], patience: timedelta) -> int:
        """Make one call, on the open connection or a new one, and return its status. Duplicates are
        harmless."""
        if self._sock is None:
            self._sock, self._name, _ = self.platform.connect()
        self._sock.settimeout(seconds(patience))
        body = b"".join(msgspec.json.encode(notice) + b"\n" for notice in notices)
        headers = [("Content-Type", "application/x-ndjson")]
        sockets.send_all(self._sock, http.write_request("POST", "/v1/outcomes", self._name, headers, body))
        parser = http.Parser(answer=True)
        while (found := parser.next()) is None:
            if parser.eof:
                raise ConnectionResetError("the connection ended without an answer")
            parser.feed(sockets.receive(self._sock, http.READ_BYTES))
        if not found[0].keeps_alive():
            self._close()
        return found[0].status

    def _close(self) -> None:
        if self._sock is not None:
            self.platform.close(self._sock)
        self._sock = None
