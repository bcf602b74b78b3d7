"""The endpoint side: worker threads that make calls to the hosts of endpoints, on blocking sockets.

A relay is one attempt to deliver a message. Most calls carry one relay; some carry several to the same host.
`read_outcome` turns an answer into an outcome. Nothing here retries: the decision module does.
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
from willownotch.net.journal import Journal, JournalFullError, JournalHandedOverError
from willownotch.net.log import Log
from willownotch.net.registry import Host

if TYPE_CHECKING:
    from willownotch.replica.service import CustodyService

IDLE_SAFETY_MARGIN = timedelta(milliseconds=300)  # the host's idle timer started earlier than ours
MAX_IDLE_CONNECTIONS, IDLE_DESCRIPTOR_SHARE = 128, 0.25  # the lower of the number and the share applies
MIN_SOCKET_TIMEOUT = timedelta(milliseconds=1)
DEADLINE_MARGIN = timedelta(milliseconds=100)  # a message's time started before its first byte was read here
MAX_REPLICATION_WAIT = timedelta(seconds=1)  # for other senders to store a relay's record
DISK_ERROR_DELAY = timedelta(seconds=1)  # before the end of a relay that a disk error prevented is reported
# After SIGTERM, the longest time from the decision on a relay to its start: the kill comes this much later
# than the module assumes.
MAX_START_DELAY = timedelta(milliseconds=200)
DEDUP_WINDOW_MARGIN = timedelta(milliseconds=20)  # kept of the window, for the call to reach its host
SHORTAGE_TIMEOUT = timedelta(milliseconds=300)  # to obtain a socket or port that this machine is short of
SHORTAGE_RETRY_DELAY = timedelta(milliseconds=10)
MAX_ROUTE_TRIES = 3  # without a route to the host, before it counts as unreachable
ANSWER_COMPLETION_TIMEOUT = timedelta(milliseconds=500)  # from first to last byte; hosts answer in one go


@dataclass(slots=True, eq=False)
class Relay:
    """One attempt at a delivery, as the decision loop hands it out."""

    message: AcceptedMessage
    number: int
    endpoint: int  # the decision module's number of the host
    host: Host | None  # as listed at that time; never None for a relay that reaches a worker
    begun_at: datetime
    ends_at: datetime  # when it stops being waited for
    cancelled: bool = False
    started: bool = False  # its record is written, so its first byte may have been sent
    sock: socket.socket | None = None
    lock: threading.Lock = field(default_factory=threading.Lock)
    remote: bool = False  # made by the previous process, which reports its end
    reported: bool = False  # its end was reported
    same_call: tuple[Relay, ...] = ()  # all relays of its call, if there are several
    overdue: bool = False  # its time is up, but its call goes on for others
    repeatable: bool = True
    stopping: bool = False  # it was decided on after SIGTERM
    reused: bool = False  # its connection was kept alive from an earlier call

    def is_awaited(self) -> bool:
        """Whether its call is still kept open on its account."""
        return not (self.reported or self.overdue or self.cancelled)

    def next_deadline(self) -> datetime:
        """The next time at which it needs attention while its call goes on."""
        return self.ends_at if self.is_awaited() else self.message.ends_at - DEADLINE_MARGIN


@dataclass(slots=True)
class RelayEnded:
    """How a relay ended. `over`: the host has finished with the message too, so nothing is left to do."""

    relay: Relay
    outcome: Outcome
    took: timedelta = ZERO
    wait: timedelta = ZERO
    no_slot: bool = False
    over: bool = False
    room_left: float | None = None
    limit_per_s: float | None = None
    unreadable: bool = False  # an answer came, but it could not be parsed
    lost: bool = False  # the message's body is missing or damaged


@dataclass(slots=True)
class IdleConnection:
    """A kept-alive connection that no relay uses."""

    sock: socket.socket
    since: datetime


def parse_load_report(text: str | None) -> tuple[float | None, float | None]:
    """Parse a load report such as `x0=0.4,x1=25`: the share of the limit that is left, and the limit.

    None for what is absent or cannot be read.
    """
    values: dict[str, float] = {}
    for part in (text or "").split(","):
        name, equals, value = part.strip().partition("=")
        try:
            values[name] = float(value) if equals else 0.0
        except ValueError:
            continue
    finite = {n: v for n, v in values.items() if 0.0 <= v < 1e9}
    return finite.get("x0"), finite.get("x1")


def parse_retry_after(text: str | None) -> timedelta:
    """Parse a `Retry-After` in seconds, integer or decimal. Zero if absent, unreadable or a day or more."""
    try:
        delay_s = float(text or 0.0)
    except ValueError:
        return ZERO
    return timedelta(seconds=delay_s) if 0.0 < delay_s < 86400.0 else ZERO


def read_outcome(relay: Relay, status: int, headers: dict[str, str]) -> RelayEnded:
    """The outcome of a relay by the status of its answer, from the protocol's table.

    After any status that is not in the table the call may have been executed.
    """
    ended = RelayEnded(relay, Outcome.ERROR)
    ended.room_left, ended.limit_per_s = parse_load_report(headers.get("server-load"))
    if status == 200:
        ended.outcome, ended.over = Outcome.DELIVERED, True
    elif status == 429:
        ended.outcome, ended.wait = Outcome.REJECTED, parse_retry_after(headers.get("retry-after"))
    elif status == 503 and headers.get("x-line-busy") == "1":
        ended.outcome, ended.no_slot = Outcome.NOT_SENT, True
    elif status == 503:
        ended.outcome = Outcome.REJECTED
    elif status in (504, 410):
        ended.outcome, ended.over = Outcome.NOT_SENT, status == 410
    return ended


def max_idle_connections(config: Config) -> int:
    """How many idle connections may be kept open."""
    return min(MAX_IDLE_CONNECTIONS, int(IDLE_DESCRIPTOR_SHARE * config.limits.sockets))


class EndpointSide:
    """The worker threads that make calls, and the idle connections that they keep alive."""

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
        self.waits: dict[int, datetime] = {}  # by destination: end of its Retry-After
        self._queue: queue.SimpleQueue[list[Relay]] = queue.SimpleQueue()  # the relays of one call each
        self._lock = threading.Lock()
        self._call_ended = threading.Condition(self._lock)
        self.stopping = False  # SIGTERM was received
        self._closing = False
        self._held_calls: list[list[Relay]] = []  # calls not started because of `_closing`
        self._idle: dict[int, list[IdleConnection]] = {}  # by host number, as addresses may be reused
        self._worker_count = 0
        self._calls_in_progress = 0
        self._relays: dict[tuple[str, int], Relay] = {}
        self.connects = 0
        self._never_set = threading.Event()  # never set; used for interruptible sleeps
        self.max_idle_connections = max_idle_connections(config)
        self.custody: CustodyService | None = None  # set if records are replicated to other senders

    def apply_settings(self, config: Config) -> None:
        """Apply new settings from now on."""
        self.config, self.max_idle_connections = config, max_idle_connections(config)

    def submit(self, *relays: Relay) -> None:
        """Queue relays that go together in one call. There is one worker for each call in progress."""
        with self._lock:
            self._calls_in_progress += 1
            for relay in relays:
                self._relays[relay.message.ref, relay.number] = relay
            new_worker = self._calls_in_progress > self._worker_count
            self._worker_count += new_worker
        self._queue.put(list(relays))
        if new_worker:
            self._start_worker()

    def _start_worker(self) -> None:
        """Start one more worker. If no thread is available, the existing workers take its call in turn."""
        try:
            self.start(f"relay-{self._worker_count}", self._run_worker)
        except RuntimeError as fault:
            with self._lock:
                self._worker_count -= 1
                no_workers = not self._worker_count
            self.log.say("relay", f"no thread for a call, which waits for another worker: {fault}")
            if no_workers:
                raise

    def cancel_by_id(self, ref: str, number: int) -> None:
        """Like `cancel`, by a message's id and the number of its relay."""
        with self._lock:
            relay = self._relays.get((ref, number))
        if relay is not None:
            self.cancel(relay)

    def cancel(self, relay: Relay) -> None:
        """Stop waiting for a relay. Its connection is closed, unless its call goes on for other relays.

        In that case its end is reported with the call's: until the connection is closed, sending the message
        again would have it in progress twice.
        """
        with relay.lock:
            relay.cancelled = True
            if relay.sock is not None and not any(other.is_awaited() for other in relay.same_call):
                self._shut_down(relay.sock)

    def close_idle(self, number: int) -> None:
        """Close the idle connections to a host, listed or not."""
        with self._lock:
            closing = self._idle.pop(number, [])
        for idle in closing:
            idle.sock.close()

    def _run_worker(self) -> None:
        """Make queued calls, one after the other, for as long as the process lives."""
        while True:
            relays = self._queue.get()
            with self._lock:
                if self._closing:  # stays outstanding in the journal; an outcome would trigger a retry
                    self._calls_in_progress -= 1
                    for relay in relays:
                        self._relays.pop((relay.message.ref, relay.number), None)
                    self._held_calls.append(relays)
                    continue
            for ended in [self._relay_single(*relays)] if len(relays) == 1 else self._relay_batch(relays):
                self._report(ended)
            with self._lock:
                self._calls_in_progress -= 1
                self._call_ended.notify_all()

    def _report(self, ended: RelayEnded) -> None:
        """Report a relay's end, at most once."""
        relay = ended.relay
        with self._lock:
            if relay.reported:
                return
            relay.reported = True
            self._relays.pop((relay.message.ref, relay.number), None)
        ended.took = self.clock.now() - relay.begun_at
        self.log.counters.add(
            "retry ended" if relay.number else "attempt ended", ended.outcome.value.replace(" ", "_")
        )
        if ended.wait:
            # Seen by the other workers at once: the decision loop may already have handed out more relays.
            self.wait(relay.host.destination, ended.wait)
        self.ended(ended)

    def wait(self, destination: int, wait: timedelta) -> None:
        """Start no relays to a destination for this time. Expired entries are purged."""
        now = self.clock.now()
        with self._lock:
            for number in [n for n, until in self.waits.items() if until <= now]:
                del self.waits[number]
            self.waits[destination] = max(now + wait, self.waits.get(destination, now))

    def finish(self, timeout: timedelta) -> None:
        """Start no more calls, and wait for those in progress for `timeout` at most."""
        deadline = self.clock.now() + timeout
        with self._lock:
            self._closing = True
            while self._calls_in_progress and (left := deadline - self.clock.now()) > ZERO:
                self._call_ended.wait(seconds(left))

    def reopen(self) -> None:
        """Start calls again, first those that were held back."""
        with self._lock:
            self._closing, held_calls, self._held_calls = False, self._held_calls, []
        for relays in held_calls:
            self.submit(*relays)

    def calls_in_progress(self) -> int:
        """How many calls are queued or in progress."""
        with self._lock:
            return self._calls_in_progress

    def lend(self, limit: int) -> list[tuple[int, IdleConnection]]:
        """Remove up to `limit` idle connections and return them with their host numbers, for another process.

        The caller owns them: it returns them by `adopt`, or closes them once the other process has them.
        """
        lent: list[tuple[int, IdleConnection]] = []
        with self._lock:
            for number, connections in list(self._idle.items()):
                while connections and len(lent) < limit:
                    lent.append((number, connections.pop(0)))
                if not connections:
                    del self._idle[number]
        return lent

    def leave(self) -> None:
        """Close all idle connections here, since another process has them."""
        with self._lock:
            closing, self._idle = [idle for kept in self._idle.values() for idle in kept], {}
        for idle in closing:
            idle.sock.close()

    def adopt(self, waits: dict[int, datetime], kept: list[tuple[int, IdleConnection]]) -> None:
        """Take over the waits and idle connections of another process."""
        with self._lock:
            self.waits.update(waits)
            for number, idle in kept:
                self._idle.setdefault(number, []).append(idle)

    def _read_body(self, relay: Relay) -> bytes | RelayEnded:
        """The body of a relay's message, or the relay's end if the body cannot be read."""
        try:
            return self.bodies.read(relay.message)
        except BodyLostError as fault:
            self.log.say("bodies", f"{fault}: a relay was not made")
            return RelayEnded(relay, Outcome.NOT_SENT, lost=True)
        except OSError as fault:
            self.log.say("bodies", f"a relay was not made, since its body could not be read: {fault}")
            self._delay_disk_error(relay)
            return RelayEnded(relay, Outcome.NOT_SENT)

    def _relay_single(self, relay: Relay) -> RelayEnded:
        """Make a relay that has a call of its own, from reading the body to its outcome."""
        body = [self._read_body(relay)]  # in a list, so that its memory can be freed once it is written
        if isinstance(body[0], RelayEnded):
            return body[0]
        try:
            sock = self._connection(relay)
        except OSError:
            outcome = Outcome.NOT_SENT if relay.cancelled else Outcome.UNREACHABLE
            return RelayEnded(relay, outcome)
        if sock is None or self._must_not_start(relay):
            if sock is not None:
                self._keep_idle(relay, sock)
            return RelayEnded(relay, Outcome.NOT_SENT)
        if not self._record_start(sock, relay):
            return RelayEnded(relay, Outcome.NOT_SENT)
        if self._must_not_start(relay):  # writing and replicating the record took time
            self._keep_idle(relay, sock)
            return RelayEnded(relay, Outcome.NOT_SENT)
        if not self._is_quiet(sock):  # bytes that came before the call would corrupt its answer
            self._close(relay, sock)
            return RelayEnded(relay, Outcome.NOT_SENT if relay.reused else Outcome.UNREACHABLE)
        return self._exchange(relay, sock, body)

    def _record_start(self, sock: socket.socket, *relays: Relay) -> bool:
        """Record, before the first byte is sent, that these relays may be executed; whether that succeeded.

        After a kill the next process learns from the journal which messages may have been executed.
        """
        now, first = self.clock.now(), relays[0]
        try:
            self.journal.append([RelayStarted(r.message.ref, r.number, now, r.host.name) for r in relays])
        except JournalHandedOverError:  # not started: the process that has it now may do so
            self._close(first, sock)
            return False
        except (OSError, JournalFullError) as fault:
            self.log.say("journal", f"a relay was not made, since it could not be recorded: {fault}")
            self._keep_idle(first, sock)
            self._delay_disk_error(first)
            return False
        if self.custody is not None and not self._replicated(relays):
            self._keep_idle(first, sock)
            self._delay_disk_error(first)
            return False
        for relay in relays:
            relay.started = True
        return True

    def _replicated(self, relays: tuple[Relay, ...]) -> bool:
        """Whether enough senders hold these records and no other sender may act on the messages.

        Otherwise none of the relays may be started.
        """
        custodies = [relay.message.custody for relay in relays if relay.message.custody is not None]
        left = min(relay.ends_at for relay in relays) - self.clock.now()
        return not custodies or self.custody.wait_for_copies(
            custodies, max(ZERO, min(MAX_REPLICATION_WAIT, left))
        )

    def _relay_batch(self, relays: list[Relay]) -> list[RelayEnded]:
        """Make several relays in one call. Those that cannot be sent are reported at once; the ends of the
        others, taken from the answer or from the failure of the call, are returned."""
        bodies = {relay: self._read_body(relay) for relay in relays}
        for body in bodies.values():
            if isinstance(body, RelayEnded):
                self._report(body)
        left = [relay for relay in relays if not relay.reported]
        if not left:
            return []
        try:
            sock = self._connection(left[0])
        except OSError:
            return [
                RelayEnded(relay, Outcome.NOT_SENT if relay.cancelled else Outcome.UNREACHABLE)
                for relay in left
            ]
        sendable = [
            relay
            for relay in left
            if sock is not None and not relay.reported and not self._must_not_start(relay)
        ]
        for relay in left:
            if relay not in sendable:
                self._report(RelayEnded(relay, Outcome.NOT_SENT))
        if not sendable or not self._record_start(sock, *sendable):
            if not sendable and sock is not None:
                self._keep_idle(left[0], sock)
            return [RelayEnded(relay, Outcome.NOT_SENT) for relay in sendable]
        if stopped := [r for r in sendable if self._must_not_start(r)]:
            for relay in stopped:  # writing and replicating the record took time
                self._report(RelayEnded(relay, Outcome.NOT_SENT))
            sendable = [relay for relay in sendable if relay not in stopped]
            if not sendable:
                self._keep_idle(left[0], sock)
                return []
        if not self._is_quiet(sock):
            self._close(left[0], sock)
            return [
                RelayEnded(relay, Outcome.NOT_SENT if left[0].reused else Outcome.UNREACHABLE)
                for relay in sendable
            ]
        for relay in sendable:
            with relay.lock:
                relay.sock, relay.same_call = sock, tuple(sendable)
        try:
            return self._exchange_batch(sendable, sock, [bodies[relay] for relay in sendable])
        finally:
            for relay in left:
                with relay.lock:
                    relay.sock = None

    def _exchange_batch(
        self, relays: list[Relay], sock: socket.socket, bodies: list[bytes]
    ) -> list[RelayEnded]:
        """Write a call with several messages and read its answer. Relays whose message's time runs out
        meanwhile are reported at once, and the call is given up once no relay is waited for."""
        first, sent = relays[0], False
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
            sock.settimeout(seconds(max(MIN_SOCKET_TIMEOUT, left)))
            sockets.send_all(sock, http.write_request("POST", bulk.TARGET, f"{host}:{port}", headers, body))
            sent = True
            while (found := parser.next()) is None:
                if parser.eof:
                    raise ConnectionResetError
                now = self.clock.now()
                for relay in relays:
                    relay.overdue = relay.overdue or relay.ends_at <= now
                    if relay.next_deadline() <= now:  # its message's time is over, so no retry can overlap
                        self._report(RelayEnded(relay, Outcome.TIMED_OUT))
                if not any(relay.is_awaited() for relay in relays):
                    raise TimeoutError
                soonest = min(relay.next_deadline() for relay in relays if not relay.reported)
                sock.settimeout(seconds(max(MIN_SOCKET_TIMEOUT, soonest - now)))
                try:
                    parser.feed(sockets.receive(sock, http.READ_BYTES))
                except TimeoutError:
                    continue
        except (OSError, http.BadMessageError) as fault:
            self._close(first, sock)
            return [self._failed_end(relay, fault, sent, parser, batch=True) for relay in relays]
        head, answer = found
        if head.keeps_alive() and not parser.begun and not parser.eof:
            self._keep_idle(first, sock)
        else:
            self._close(first, sock)
        ends = [self._check_deadline(read_outcome(relay, head.status, head.headers)) for relay in relays]
        if head.status == 200:
            results = bulk.read_answer(answer, [relay.message.ref for relay in relays])
            for n, ended in enumerate(ends):
                outcome, over = results[ended.relay.message.ref]
                wait = parse_retry_after(head.headers.get("retry-after"))
                ends[n] = self._check_deadline(replace(ended, outcome=outcome, over=over, wait=wait))
        return ends

    def _delay_disk_error(self, relay: Relay) -> None:
        """Delay the report of a disk error. Reported at once, it would use up the message's attempts."""
        self._never_set.wait(seconds(max(ZERO, min(DISK_ERROR_DELAY, relay.ends_at - self.clock.now()))))

    def _must_not_start(self, relay: Relay) -> bool:
        """Whether a relay must not be started any more: the list, waits, time and a stop may have changed
        since it was decided on.

        Checked before the record is written, to save it, and again before the first byte.
        """
        host, now = self.hosts.get(relay.host.number), self.clock.now()
        if self._past_dedup_window(relay, now):
            return True
        waits = self.waits.get(relay.host.destination)
        return (
            relay.cancelled
            or host is None
            or not host.serving
            or host.address != relay.host.address
            or (waits is not None and now < waits)
            or now >= relay.ends_at
            # The module assumes that its decisions are carried out at once. A relay that is started later, or
            # was decided on before the stop was known, could still be in progress at the kill and be lost.
            or (
                self.stopping
                and not relay.repeatable
                and (not relay.stopping or now - relay.begun_at > MAX_START_DELAY)
            )
        )

    def _past_dedup_window(self, relay: Relay, now: datetime) -> bool:
        """Whether the window in which the destination drops repeats may have ended.

        It starts with the first attempt that may have been executed. The module checked it when it decided,
        but setting up a connection can take longer than a short window.
        """
        rules, entry = relay.message.rules, self.journal.live.get(relay.message.ref)
        if rules is None or rules.idempotency is not Idempotency.KEYED or entry is None:
            return False
        others = [
            started.at
            for number, started in list(entry.started.items())
            if number != relay.number and entry.may_have_run(number)
        ]
        return bool(others) and (
            now > min(others) + timedelta(seconds=rules.dedup_window_s) - DEDUP_WINDOW_MARGIN
        )

    def _connection(self, relay: Relay) -> socket.socket | None:
        """An idle connection that is still usable, or a new one. None if the relay was cancelled meanwhile,
        or this machine had no socket or port for it. Raises `OSError` if the host cannot be reached."""
        sock = self._take_idle(relay.host.number)
        relay.reused = sock is not None
        if sock is not None:
            with relay.lock:
                relay.sock = sock
                if relay.cancelled:
                    relay.sock = None
                    sock.close()
                    return None
            return sock
        shortage_ends, missing_routes = self.clock.now() + SHORTAGE_TIMEOUT, 0
        while True:
            try:
                return self._connect(relay)
            except OSError as fault:
                missing_routes += fault.errno in sockets.ROUTE_ERRORS
                if fault.errno in sockets.ROUTE_ERRORS and missing_routes < MAX_ROUTE_TRIES:
                    self._never_set.wait(seconds(SHORTAGE_RETRY_DELAY))
                    continue
                if fault.errno not in sockets.LOCAL_SHORTAGES:
                    raise
                self.log.say(
                    "connect",
                    f"no connection to {relay.host.name} for {relay.message.ref} "
                    f"attempt {relay.number}: {fault}",
                )
                if self.clock.now() >= min(shortage_ends, relay.ends_at):
                    return None  # a local shortage, which says nothing about the host
            self._never_set.wait(seconds(SHORTAGE_RETRY_DELAY))

    def _connect(self, relay: Relay) -> socket.socket | None:
        """A new connection; None if the relay was cancelled meanwhile."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            with relay.lock:
                if relay.cancelled:
                    sock.close()
                    return None
                relay.sock = sock
            sockets.disable_nagle(sock)
            left = min(self.config.connect_timeout, relay.ends_at - self.clock.now())
            sock.settimeout(seconds(max(MIN_SOCKET_TIMEOUT, left)))
            self.connects += 1
            sock.connect(relay.host.address)
        except OSError:
            self._close(relay, sock)
            raise
        return sock

    def _take_idle(self, number: int) -> socket.socket | None:
        """The most recently used idle connection that its host has not closed and is not about to close."""
        closing, found = [], None
        oldest = self.clock.now() - (self.config.keepalive - IDLE_SAFETY_MARGIN)
        with self._lock:
            connections = self._idle.pop(number, [])
            while connections and found is None:
                idle = connections.pop()
                if idle.since > oldest and self._is_quiet(idle.sock):
                    found = idle.sock
                else:
                    closing.append(idle.sock)
            if connections:
                self._idle[number] = connections
        for sock in closing:
            sock.close()
        return found

    @staticmethod
    def _is_quiet(sock: socket.socket) -> bool:
        """Whether nothing is readable on an idle connection. Its end would be, or a surplus answer."""
        try:
            sock.setblocking(False)
            sockets.retry_transient("recv", lambda: sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def _keep_idle(self, relay: Relay, sock: socket.socket) -> None:
        """Keep a connection alive if its host is still served. Closes all that have been idle for too
        long."""
        now, closing = self.clock.now(), []
        with relay.lock:
            relay.sock = None
        with self._lock:
            for number, connections in list(self._idle.items()):
                while connections and connections[0].since <= now - (
                    self.config.keepalive - IDLE_SAFETY_MARGIN
                ):
                    closing.append(connections.pop(0).sock)
                if not connections:
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

    def _close(self, relay: Relay, sock: socket.socket) -> None:
        """Close a relay's connection, so that `cancel` no longer finds it."""
        with relay.lock:
            relay.sock = None
        sock.close()

    @staticmethod
    def _shut_down(sock: socket.socket) -> None:
        """Shut a connection down, which wakes the thread that waits on it."""
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # not connected yet, or already closed

    def _exchange(self, relay: Relay, sock: socket.socket, body: list[bytes]) -> RelayEnded:
        """Write the call and read its answer.

        A failure before the last byte is written proves that the call was not executed.
        """
        message, sent, begun = relay.message, False, False
        parser = http.Parser(answer=True, optional=(b"server-load",))
        try:
            left = relay.ends_at - self.clock.now()
            headers = [("Request-Id", message.ref), ("Request-Timeout-Ms", str(max(1, millis(left))))]
            if message.idempotency_key is not None:
                headers.append(("Idempotency-Key", message.idempotency_key))
            host, port = relay.host.address
            data = http.write_request("POST", "/inbox", f"{host}:{port}", headers, body.pop())
            sock.settimeout(seconds(max(MIN_SOCKET_TIMEOUT, left)))
            sockets.send_all(sock, data)
            del data  # frees the memory while the host takes its time
            sent, ends_at = True, relay.ends_at
            while (found := parser.next()) is None:
                if parser.eof:
                    raise ConnectionResetError
                now = self.clock.now()
                if parser.begun and not begun:  # a complete 1xx head does not count
                    ends_at = min(relay.ends_at, now + ANSWER_COMPLETION_TIMEOUT)
                elif not parser.begun:
                    ends_at = relay.ends_at
                begun = parser.begun
                if ends_at <= now:
                    raise TimeoutError
                sock.settimeout(seconds(ends_at - now))
                parser.feed(sockets.receive(sock, http.READ_BYTES))
        except (OSError, http.BadMessageError) as fault:
            self._close(relay, sock)
            return self._failed_end(relay, fault, sent, parser)
        head, _ = found
        if head.keeps_alive() and not parser.begun and not parser.eof:
            self._keep_idle(relay, sock)
        else:
            self._close(relay, sock)
        return self._check_deadline(read_outcome(relay, head.status, head.headers))

    def _check_deadline(self, ended: RelayEnded) -> RelayEnded:
        """Treat a delivery that is read after the message's deadline as a timeout: it may have come too late.

        A process short of CPU wakes late and finds an answer that was not there in time. Taken as a delivery,
        it would leave the message without a final outcome; a notice for a delivered message does no harm.
        """
        late = self.clock.now() >= ended.relay.message.ends_at - DEADLINE_MARGIN
        if late and ended.outcome is Outcome.DELIVERED:
            return RelayEnded(ended.relay, Outcome.TIMED_OUT)
        return ended

    def _failed_end(
        self, relay: Relay, fault: Exception, sent: bool, parser: http.Parser, batch: bool = False
    ) -> RelayEnded:
        """The end of a relay whose call failed without a valid answer. `sent`: all of the call was written.

        A status line with 200 is trusted on its own. Any other damaged answer proves nothing, not even a
        rejection: the call may have been executed, and an unrepeatable message must not be sent again.
        """
        if not sent:
            return RelayEnded(relay, Outcome.NOT_SENT if relay.cancelled else Outcome.UNREACHABLE)
        if parser.status == 200 and not batch:  # a call of several messages needs the whole answer
            return self._check_deadline(read_outcome(relay, 200, parser.head.headers if parser.head else {}))
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
