"""The south side: one relay is one call to a south side host, made by a worker on a blocking socket.

What came back becomes an outcome by PROTOCOL's table, and nothing is ever sent a second time from here.
"""

from __future__ import annotations

import queue
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from willownotch.bodies.store import Bodies, BodyLostError
from willownotch.interface import Idempotency, Outcome
from willownotch.journal.records import AcceptedMessage, RelayStarted
from willownotch.net import bulk, http, sockets
from willownotch.net.clock import ZERO, Clock, millis, seconds
from willownotch.net.config import Config
from willownotch.net.journal import Journal, JournalFullError, JournalGivenError
from willownotch.net.log import Log
from willownotch.net.registry import Host

if TYPE_CHECKING:
    from willownotch.replica.service import Keeper

IDLE_MARGIN = timedelta(milliseconds=300)  # a host counts idle time from earlier than is known here
IDLE_MOST, IDLE_SHARE = 128, 0.25  # connections kept open without a relay; share of the descriptors
LEAST_TIME = timedelta(milliseconds=1)
END_MARGIN = timedelta(milliseconds=100)  # a message's time began before its first byte was read here
COPY_TIME = timedelta(seconds=1)  # that a relay waits for copies of its mark
DISK_REST = timedelta(seconds=1)  # between two relays of a message that the disk did not let be made
BEGIN_LATE = timedelta(milliseconds=200)  # what the kill of a stop comes later than the module counts on
WINDOW_MARGIN = timedelta(milliseconds=20)  # of a window for repeats, for the call's way to its host
SHORTAGE_TIME = timedelta(milliseconds=300)  # for a connection that this machine has no room for
SHORTAGE_PAUSE = timedelta(milliseconds=10)
REST_TIME = timedelta(milliseconds=500)  # an answer comes in one go: what stays unfinished is spoilt


@dataclass(slots=True, eq=False)
class Relay:
    """One attempt, as the owner hands it out."""

    message: AcceptedMessage
    number: int
    endpoint: int  # the module's number for the host
    host: Host | None  # as the list had it then; never None for a relay that is handed to a worker
    begun_at: datetime
    ends_at: datetime  # when waiting stops
    cancelled: bool = False
    started: bool = False  # its first byte may have been written
    sock: socket.socket | None = None
    lock: threading.Lock = field(default_factory=threading.Lock)
    remote: bool = False  # made by the process before this one, which tells its end
    told: bool = False  # its end was told
    together: tuple[Relay, ...] = ()  # all of its call, where it is not alone in one
    late: bool = False  # it is not waited for any more, but its call goes on for others
    repeatable: bool = True
    stopping: bool = False  # it was decided on with the end of the process in sight
    reused: bool = False  # its connection is a kept one

    def waited_for(self) -> bool:
        """Whether its call is kept open for it."""
        return not (self.told or self.late or self.cancelled)

    def next_at(self) -> datetime:
        """When there is something to do about it while its call goes on."""
        return self.ends_at if self.waited_for() else self.message.ends_at - END_MARGIN


@dataclass(slots=True)
class RelayEnded:
    """What became of a relay. `over`: the message is over for the host too, and nothing more is owed."""

    relay: Relay
    outcome: Outcome
    took: timedelta = ZERO
    wait: timedelta = ZERO
    no_slot: bool = False
    over: bool = False
    room_left: float | None = None
    limit_per_s: float | None = None
    unreadable: bool = False  # an answer came, and nothing can be made of it
    lost: bool = False  # there is no body to send any more


@dataclass(slots=True)
class IdleConnection:
    """A kept connection."""

    sock: socket.socket
    since: datetime


def read_load(text: str | None) -> tuple[float | None, float | None]:
    """The report in an answer, as `x0=0.4,x1=25`: share of the limit left, and the limit."""
    values: dict[str, float] = {}
    for part in (text or "").split(","):
        name, equals, value = part.strip().partition("=")
        try:
            values[name] = float(value) if equals else 0.0
        except ValueError:
            continue
    finite = {n: v for n, v in values.items() if 0.0 <= v < 1e9}
    return finite.get("x0"), finite.get("x1")


def read_wait(text: str | None) -> timedelta:
    """A `Retry-After` in seconds, whole or decimal; nothing where it cannot be read."""
    try:
        told = float(text or 0.0)
    except ValueError:
        return ZERO
    return timedelta(seconds=told) if 0.0 < told < 86400.0 else ZERO


def read_outcome(relay: Relay, status: int, headers: dict[str, str]) -> RelayEnded:
    """PROTOCOL's table, row by row. What is in no row may have run."""
    ended = RelayEnded(relay, Outcome.ERROR)
    ended.room_left, ended.limit_per_s = read_load(headers.get("server-load"))
    if status == 200:
        ended.outcome, ended.over = Outcome.DELIVERED, True
    elif status == 429:
        ended.outcome, ended.wait = Outcome.REJECTED, read_wait(headers.get("retry-after"))
    elif status == 503 and headers.get("x-line-busy") == "1":
        ended.outcome, ended.no_slot = Outcome.NOT_SENT, True
    elif status == 503:
        ended.outcome = Outcome.REJECTED
    elif status in (504, 410):
        ended.outcome, ended.over = Outcome.NOT_SENT, status == 410
    return ended


def max_idle_connections(config: Config) -> int:
    """How many connections may be kept open without a relay."""
    return min(IDLE_MOST, int(IDLE_SHARE * config.limits.sockets))


class EndpointSide:
    """The workers and the connections that they keep."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        log: Log,
        journal: Journal,
        bodies: Bodies,
        hosts: dict[int, Host],
        ended: Callable[[RelayEnded], None],
        start: Callable[[str, Callable[[], None]], None],
    ):
        self.config, self.clock, self.log, self.journal, self.hosts = config, clock, log, journal, hosts
        self.bodies = bodies
        self.ended, self.start = ended, start
        self.waits: dict[int, datetime] = {}  # of a destination, until when it told to wait
        self._queue: queue.SimpleQueue[list[Relay]] = queue.SimpleQueue()  # each of one call
        self._lock = threading.Lock()
        self._done = threading.Condition(self._lock)  # a relay has ended
        self.stopping = False  # SIGTERM has come
        self._closing = False
        self._parked: list[list[Relay]] = []  # that were not begun for it
        self._idle: dict[int, list[IdleConnection]] = {}  # by host: a new one at an old address is another
        self._workers = 0
        self._busy = 0
        self._out: dict[tuple[str, int], Relay] = {}
        self.connects = 0
        self._pause = threading.Event()  # never set: a wait of a moment
        self.max_idle_connections = max_idle_connections(config)
        self.custody: Keeper | None = None  # where marks are copied to other senders

    def apply_settings(self, config: Config) -> None:
        """Go by these settings from now on."""
        self.config, self.max_idle_connections = config, max_idle_connections(config)

    def submit(self, *relays: Relay) -> None:
        """Have relays made in one call; there is a worker for each call that is out."""
        with self._lock:
            self._busy += 1
            for relay in relays:
                self._out[relay.message.ref, relay.number] = relay
            fresh = self._busy > self._workers
            self._workers += fresh
        self._queue.put(list(relays))
        if fresh:
            self._start_worker()

    def _start_worker(self) -> None:
        """One more thread; where none can be had the others do its work, one call after the other."""
        try:
            self.start(f"relay-{self._workers}", self._work)
        except RuntimeError as fault:
            with self._lock:
                self._workers -= 1
                alone = not self._workers
            self.log.say("relay", f"no thread for a call, which waits for another: {fault}")
            if alone:
                raise

    def cancel_by_id(self, ref: str, number: int) -> None:
        """The same, for who knows only what it is called."""
        with self._lock:
            relay = self._out.get((ref, number))
        if relay is not None:
            self.cancel(relay)

    def cancel(self, relay: Relay) -> None:
        """Stop waiting for a relay: its connection is closed, unless its call goes on for others.

        Then its end is told with the call's: until the connection is closed it would be out twice if it were
        sent again."""
        with relay.lock:
            relay.cancelled = True
            if relay.sock is not None and not any(other.waited_for() for other in relay.together):
                self._shut(relay.sock)

    def close_idle(self, number: int) -> None:
        """Close the kept connections to a host, listed or not."""
        with self._lock:
            closing = self._idle.pop(number, [])
        for kept in closing:
            kept.sock.close()

    def _work(self) -> None:
        while True:
            relays = self._queue.get()
            with self._lock:
                if self._closing:  # stays owed in the journal: an outcome would only have it sent again
                    self._busy -= 1
                    for relay in relays:
                        self._out.pop((relay.message.ref, relay.number), None)
                    self._parked.append(relays)
                    continue
            for ended in [self._relay(*relays)] if len(relays) == 1 else self._together(relays):
                self._tell(ended)
            with self._lock:
                self._busy -= 1
                self._done.notify_all()

    def _tell(self, ended: RelayEnded) -> None:
        """Tell a relay's end, once."""
        relay = ended.relay
        with self._lock:
            if relay.told:
                return
            relay.told = True
            self._out.pop((relay.message.ref, relay.number), None)
        ended.took = self.clock.now() - relay.begun_at
        self.log.counters.add("retry ended" if relay.number else "attempt ended", ended.outcome.name.lower())
        if ended.wait:
            # Told to the other workers now: a relay may already have left the owner's hands.
            self.wait(relay.host.destination, ended.wait)
        self.ended(ended)

    def wait(self, destination: int, wait: timedelta) -> None:
        """Keep a wait until it has run out, and forget those that have."""
        now = self.clock.now()
        with self._lock:
            for number in [n for n, until in self.waits.items() if until <= now]:
                del self.waits[number]
            self.waits[destination] = max(now + wait, self.waits.get(destination, now))

    def finish(self, patience: timedelta) -> None:
        """Begin no more relays, and wait for those that are out."""
        ends = self.clock.now() + patience
        with self._lock:
            self._closing = True
            while self._busy and (left := ends - self.clock.now()) > ZERO:
                self._done.wait(seconds(left))

    def reopen(self) -> None:
        """Begin relays again, those first that were not begun."""
        with self._lock:
            self._closing, parked, self._parked = False, self._parked, []
        for relays in parked:
            self.submit(*relays)

    def calls_in_progress(self) -> int:
        """Relays in hand."""
        with self._lock:
            return self._busy

    def lend(self, most: int) -> list[tuple[int, IdleConnection]]:
        """Kept connections for another process, by host: none of them is used or closed here from now on.

        They come back by `adopt`, or are closed by who has them once the other process has them too.
        """
        lent: list[tuple[int, IdleConnection]] = []
        with self._lock:
            for number, line in list(self._idle.items()):
                while line and len(lent) < most:
                    lent.append((number, line.pop(0)))
                if not line:
                    del self._idle[number]
        return lent

    def leave(self) -> None:
        """Close them all: another process has them."""
        with self._lock:
            line, self._idle = [idle for kept in self._idle.values() for idle in kept], {}
        for idle in line:
            idle.sock.close()

    def adopt(self, waits: dict[int, datetime], kept: list[tuple[int, IdleConnection]]) -> None:
        """Go on with another process's waits and kept connections."""
        with self._lock:
            self.waits.update(waits)
            for number, idle in kept:
                self._idle.setdefault(number, []).append(idle)

    def _body(self, relay: Relay) -> bytes | RelayEnded:
        """What is to be sent, or the end of a relay whose body is not to be had."""
        try:
            return self.bodies.read(relay.message)
        except BodyLostError as fault:
            self.log.say("bodies", f"{fault}: a relay was not made")
            return RelayEnded(relay, Outcome.NOT_SENT, lost=True)
        except OSError as fault:
            self.log.say("bodies", f"a relay was not made, since its body could not be read: {fault}")
            self._rest(relay)
            return RelayEnded(relay, Outcome.NOT_SENT)

    def _relay(self, relay: Relay) -> RelayEnded:
        """One attempt from its body to its outcome."""
        body = [self._body(relay)]  # a box: whoever writes it takes it out, and lets it go
        if isinstance(body[0], RelayEnded):
            return body[0]
        try:
            sock = self._connection(relay)
        except OSError:
            outcome = Outcome.NOT_SENT if relay.cancelled else Outcome.UNREACHABLE
            return RelayEnded(relay, outcome)
        if sock is None or self._barred(relay):
            if sock is not None:
                self._keep(relay, sock)
            return RelayEnded(relay, Outcome.NOT_SENT)
        if not self._opened(sock, relay):
            return RelayEnded(relay, Outcome.NOT_SENT)
        if self._barred(relay):  # the record, and copies, took a moment
            self._keep(relay, sock)
            return RelayEnded(relay, Outcome.NOT_SENT)
        if not self._quiet(sock):  # what came before a call is no answer to it, and would garble the answer
            self._drop(relay, sock)
            return RelayEnded(relay, Outcome.NOT_SENT if relay.reused else Outcome.UNREACHABLE)
        return self._exchange(relay, sock, body)

    def _opened(self, sock: socket.socket, *relays: Relay) -> bool:
        """Put on record that they may run, before the first byte: a kill right after it finds it."""
        now, first = self.clock.now(), relays[0]
        try:
            self.journal.append([RelayStarted(r.message.ref, r.number, now, r.host.name) for r in relays])
        except JournalGivenError:  # it was never begun: the process that has it now may do so at once
            self._drop(first, sock)
            return False
        except (OSError, JournalFullError) as fault:
            self.log.say("journal", f"a relay was not made, since it could not be recorded: {fault}")
            self._keep(first, sock)
            self._rest(first)
            return False
        if self.custody is not None and not self._copied(relays):
            self._keep(first, sock)
            self._rest(first)
            return False
        for relay in relays:
            relay.started = True
        return True

    def _copied(self, relays: tuple[Relay, ...]) -> bool:
        """Whether others hold these marks and nobody else may act on the messages: else none is begun."""
        marks = [relay.message.custody for relay in relays if relay.message.custody is not None]
        left = min(relay.ends_at for relay in relays) - self.clock.now()
        return not marks or self.custody.cleared(marks, max(ZERO, min(COPY_TIME, left)))

    def _together(self, relays: list[Relay]) -> list[RelayEnded]:
        """Several messages in one call. Some end on the way; the rest as the answer says, or all alike."""
        bodies = {relay: self._body(relay) for relay in relays}
        for body in bodies.values():
            if isinstance(body, RelayEnded):
                self._tell(body)
        left = [relay for relay in relays if not relay.told]
        if not left:
            return []
        try:
            sock = self._connection(left[0])
        except OSError:
            return [
                RelayEnded(relay, Outcome.NOT_SENT if relay.cancelled else Outcome.UNREACHABLE)
                for relay in left
            ]
        going = [relay for relay in left if sock is not None and not relay.told and not self._barred(relay)]
        for relay in left:
            if relay not in going:
                self._tell(RelayEnded(relay, Outcome.NOT_SENT))
        if not going or not self._opened(sock, *going):
            if not going and sock is not None:
                self._keep(left[0], sock)
            return [RelayEnded(relay, Outcome.NOT_SENT) for relay in going]
        if barred := [r for r in going if self._barred(r)]:
            for relay in barred:  # the record, and copies, took a moment
                self._tell(RelayEnded(relay, Outcome.NOT_SENT))
            going = [relay for relay in going if relay not in barred]
            if not going:
                self._keep(left[0], sock)
                return []
        if not self._quiet(sock):
            self._drop(left[0], sock)
            return [
                RelayEnded(relay, Outcome.NOT_SENT if left[0].reused else Outcome.UNREACHABLE)
                for relay in going
            ]
        for relay in going:
            with relay.lock:
                relay.sock, relay.together = sock, tuple(going)
        try:
            return self._exchange_together(going, sock, [bodies[relay] for relay in going])
        finally:
            for relay in left:
                with relay.lock:
                    relay.sock = None

    def _exchange_together(
        self, relays: list[Relay], sock: socket.socket, bodies: list[bytes]
    ) -> list[RelayEnded]:
        first, whole = relays[0], False
        parser = http.Parser(answer=True, optional=(b"server-load",))
        body = bulk.write_body(
            (relay.message.ref, relay.message.idempotency_key, data)
            for relay, data in zip(relays, bodies, strict=True)
        )
        bodies.clear()
        ends_at = max(relay.ends_at for relay in relays)
        try:
            left = ends_at - self.clock.now()
            headers = [("Request-Timeout-Ms", str(max(1, millis(left))))]
            host, port = first.host.address
            sock.settimeout(seconds(max(LEAST_TIME, left)))
            sockets.send_all(sock, http.write_request("POST", bulk.TARGET, f"{host}:{port}", headers, body))
            whole = True
            while (found := parser.next()) is None:
                if parser.eof:
                    raise ConnectionResetError
                now = self.clock.now()
                for relay in relays:
                    relay.late = relay.late or relay.ends_at <= now
                    if relay.next_at() <= now:  # nobody sends it again: its end need not wait for the others
                        self._tell(RelayEnded(relay, Outcome.TIMED_OUT))
                if not any(relay.waited_for() for relay in relays):
                    raise TimeoutError
                soonest = min(relay.next_at() for relay in relays if not relay.told)
                sock.settimeout(seconds(max(LEAST_TIME, soonest - now)))
                try:
                    parser.feed(sockets.receive(sock, http.READ_BYTES))
                except TimeoutError:
                    continue
        except (OSError, http.BadMessageError) as fault:
            self._drop(first, sock)
            return [self._broken(relay, fault, whole, parser, many=True) for relay in relays]
        head, answer = found
        if head.keeps_alive() and not parser.begun and not parser.eof:
            self._keep(first, sock)
        else:
            self._drop(first, sock)
        ends = [self._in_time(read_outcome(relay, head.status, head.headers)) for relay in relays]
        if head.status == 200:
            said = bulk.read_answer(answer, [relay.message.ref for relay in relays])
            for n, ended in enumerate(ends):
                outcome, over = said[ended.relay.message.ref]
                wait = read_wait(head.headers.get("retry-after"))
                ends[n] = self._in_time(replace(ended, outcome=outcome, over=over, wait=wait))
        return ends

    def _rest(self, relay: Relay) -> None:
        """Wait before a fault of the disk is told: told at once, it uses up a message's attempts."""
        self._pause.wait(seconds(max(ZERO, min(DISK_REST, relay.ends_at - self.clock.now()))))

    def _barred(self, relay: Relay) -> bool:
        """Drains, waits, time and a stop are looked at again right here: the queue may have aged.

        Asked once before the record, which then need not be written, and again before the first byte.
        """
        host, now = self.hosts.get(relay.host.number), self.clock.now()
        if self._outside_window(relay, now):
            return True
        waits = self.waits.get(relay.host.destination)
        return (
            relay.cancelled
            or host is None
            or not host.serving
            or host.address != relay.host.address
            or (waits is not None and now < waits)
            or now >= relay.ends_at
            # The module counts on its decision being carried out at once: begun later, or decided on before
            # the stop was known, it could straddle the kill and would be lost by it.
            or (
                self.stopping
                and not relay.repeatable
                and (not relay.stopping or now - relay.begun_at > BEGIN_LATE)
            )
        )

    def _outside_window(self, relay: Relay, now: datetime) -> bool:
        """Whether repeats may be dropped no more, counted from the first attempt that may have run.

        The module asked as it decided; a connection that comes up late can outlast a short window.
        """
        rules, entry = relay.message.rules, self.journal.live.get(relay.message.ref)
        if rules is None or rules.idempotency is not Idempotency.KEYED or entry is None:
            return False
        others = [
            opened.at
            for number, opened in list(entry.started.items())
            if number != relay.number and entry.may_have_run(number)
        ]
        return bool(others) and now > min(others) + timedelta(seconds=rules.dedup_window_s) - WINDOW_MARGIN

    def _connection(self, relay: Relay) -> socket.socket | None:
        """A kept connection that is still good, or a new one; None if called off meanwhile."""
        sock = self._kept(relay.host.number)
        relay.reused = sock is not None
        if sock is not None:
            with relay.lock:
                relay.sock = sock
                if relay.cancelled:
                    relay.sock = None
                    sock.close()
                    return None
            return sock
        ends = self.clock.now() + SHORTAGE_TIME
        while True:
            try:
                return self._connect(relay)
            except OSError as fault:
                if fault.errno not in sockets.LOCAL_SHORTAGES:
                    raise
                self.log.say(
                    "connect",
                    f"no connection to {relay.host.name} for {relay.message.ref} "
                    f"attempt {relay.number}: {fault}",
                )
                if self.clock.now() >= min(ends, relay.ends_at):
                    return None  # nothing was learnt of the host, and nothing has left this machine
            self._pause.wait(seconds(SHORTAGE_PAUSE))

    def _connect(self, relay: Relay) -> socket.socket | None:
        """A new connection; None if the attempt was called off meanwhile."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            with relay.lock:
                if relay.cancelled:
                    sock.close()
                    return None
                relay.sock = sock
            sockets.disable_nagle(sock)
            left = min(self.config.connect_timeout, relay.ends_at - self.clock.now())
            sock.settimeout(seconds(max(LEAST_TIME, left)))
            self.connects += 1
            sock.connect(relay.host.address)
        except OSError:
            self._drop(relay, sock)
            raise
        return sock

    def _kept(self, number: int) -> socket.socket | None:
        """The kept connection used last, unless its host may be about to close it or already has."""
        closing, found = [], None
        oldest = self.clock.now() - (self.config.keepalive - IDLE_MARGIN)
        with self._lock:
            line = self._idle.pop(number, [])
            while line and found is None:
                kept = line.pop()
                if kept.since > oldest and self._quiet(kept.sock):
                    found = kept.sock
                else:
                    closing.append(kept.sock)
            if line:
                self._idle[number] = line
        for sock in closing:
            sock.close()
        return found

    @staticmethod
    def _quiet(sock: socket.socket) -> bool:
        """Whether nothing has come on an idle connection: its end would have, or an answer too many."""
        try:
            sock.setblocking(False)
            sockets.retry_transient("recv", lambda: sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def _keep(self, relay: Relay, sock: socket.socket) -> None:
        """Put a connection by, and drop those that have stood idle for too long, wherever they lead."""
        now, closing = self.clock.now(), []
        with relay.lock:
            relay.sock = None
        with self._lock:
            for number, line in list(self._idle.items()):
                while line and line[0].since <= now - (self.config.keepalive - IDLE_MARGIN):
                    closing.append(line.pop(0).sock)
                if not line:
                    del self._idle[number]
            host = self.hosts.get(relay.host.number)
            wanted = host is not None and host.serving and host.address == relay.host.address
            wanted = wanted and not relay.cancelled
            if wanted and sum(map(len, self._idle.values())) < self.max_idle_connections:
                self._idle.setdefault(relay.host.number, []).append(IdleConnection(sock, now))
            else:
                closing.append(sock)
        for old in closing:
            old.close()

    def _drop(self, relay: Relay, sock: socket.socket) -> None:
        with relay.lock:
            relay.sock = None
        sock.close()

    @staticmethod
    def _shut(sock: socket.socket) -> None:
        """Wake whoever waits on a connection by ending it."""
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # not connected yet, or no longer

    def _exchange(self, relay: Relay, sock: socket.socket, body: list[bytes]) -> RelayEnded:
        """Write the call and read its answer. A break before the last byte is written proves it never ran."""
        message, whole, begun = relay.message, False, False
        parser = http.Parser(answer=True, optional=(b"server-load",))
        try:
            left = relay.ends_at - self.clock.now()
            headers = [("Request-Id", message.ref), ("Request-Timeout-Ms", str(max(1, millis(left))))]
            if message.idempotency_key is not None:
                headers.append(("Idempotency-Key", message.idempotency_key))
            host, port = relay.host.address
            data = http.write_request("POST", "/inbox", f"{host}:{port}", headers, body.pop())
            sock.settimeout(seconds(max(LEAST_TIME, left)))
            sockets.send_all(sock, data)
            del data  # a host may be silent for long
            whole, ends_at = True, relay.ends_at
            while (found := parser.next()) is None:
                if parser.eof:
                    raise ConnectionResetError
                now = self.clock.now()
                if parser.begun and not begun:  # a 1xx head that is whole begins nothing
                    ends_at = min(relay.ends_at, now + REST_TIME)
                elif not parser.begun:
                    ends_at = relay.ends_at
                begun = parser.begun
                if ends_at <= now:
                    raise TimeoutError
                sock.settimeout(seconds(ends_at - now))
                parser.feed(sockets.receive(sock, http.READ_BYTES))
        except (OSError, http.BadMessageError) as fault:
            self._drop(relay, sock)
            return self._broken(relay, fault, whole, parser)
        head, _ = found
        if head.keeps_alive() and not parser.begun and not parser.eof:
            self._keep(relay, sock)
        else:
            self._drop(relay, sock)
        return self._in_time(read_outcome(relay, head.status, head.headers))

    def _in_time(self, ended: RelayEnded) -> RelayEnded:
        """What is read after the message's time may have been written after it: that delivers nothing.

        A process short of CPU wakes late and finds an answer that was not there when its time ran out. Taken
        for a delivery, it would leave the message without an end; a notice for one that is over does no harm.
        """
        late = self.clock.now() >= ended.relay.message.ends_at - END_MARGIN
        if late and ended.outcome is Outcome.DELIVERED:
            return RelayEnded(ended.relay, Outcome.TIMED_OUT)
        return ended

    def _broken(
        self, relay: Relay, fault: Exception, whole: bool, parser: http.Parser, many: bool = False
    ) -> RelayEnded:
        """No sound answer, and the connection is not used again.

        A first line with 200 is true in any case. All else that is spoilt proves nothing, a refusal no less:
        the call may have run, and an unrepeatable message sent again on its word could run twice.
        """
        if not whole:
            return RelayEnded(relay, Outcome.NOT_SENT if relay.cancelled else Outcome.UNREACHABLE)
        if parser.status == 200 and not many:  # of many it takes the whole answer to know
            return self._in_time(read_outcome(relay, 200, parser.head.headers if parser.head else {}))
        if relay.cancelled:
            return RelayEnded(relay, Outcome.CANCELLED)
        if isinstance(fault, http.BadMessageError) or (isinstance(fault, TimeoutError) and parser.begun):
            self.log.say(
                "spoilt",
                f"the answer of {relay.host.name} on {relay.message.ref} cannot be used: "
                f"{fault or type(fault).__name__}",
            )
            return RelayEnded(relay, Outcome.ERROR, unreadable=True)
        if isinstance(fault, TimeoutError):
            return RelayEnded(relay, Outcome.TIMED_OUT)
        return RelayEnded(relay, Outcome.BROKEN)
