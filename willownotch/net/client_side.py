"""The HTTP server that clients hand messages in to, with one thread for each connection."""

from __future__ import annotations

import errno
import socket
import threading
import traceback
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from typing import Protocol
from urllib.parse import urlsplit

import msgspec

from willownotch.bodies.plan import Admission
from willownotch.bodies.plan import Verdict as BodyVerdict
from willownotch.bodies.store import Bodies
from willownotch.journal.records import AcceptedMessage
from willownotch.lifecycle import SharedLifecycle
from willownotch.net import http, sockets
from willownotch.net.client_accepting import AcceptingMixin
from willownotch.net.client_connections import SILENT_TIMEOUT, Client, EvictionOrder, Stage
from willownotch.net.client_requests import RefusedError, read_message, rewrite_request
from willownotch.net.clock import ZERO, Clock, millis, seconds
from willownotch.net.config import Config
from willownotch.net.decision_loop import DecisionLoop
from willownotch.net.events import HandIn, MakeRoom, Verdict, Withdraw
from willownotch.net.listening import listen
from willownotch.net.log import Log
from willownotch.net.pending import PendingReply
from willownotch.net.pending_connections import PendingConnections
from willownotch.net.read_budget import (
    ReadBudget,
    Turns,
    max_client_connections,
    max_pending_connections,
    max_reading_bytes,
)
from willownotch.net.rules import Rules

# A client waits 400 ms for its answer. What the decision loop has not picked up by then is rejected.
DECISION_TIMEOUT = timedelta(milliseconds=250)
# For a request that another process has read, and passed on late.
MIN_DECISION_TIMEOUT = timedelta(milliseconds=50)
# Once the decision loop has picked a request up, its message may already be accepted: the answer is awaited.
CLAIMED_DECISION_TIMEOUT = timedelta(seconds=5)
IDLE_TIMEOUT = timedelta(seconds=3)  # between requests: some clients send one and never close
# From connecting, or from a later request's first byte, to its last byte.
REQUEST_READ_TIMEOUT = timedelta(seconds=2)
READ_BYTES = 4096  # asked of a socket at once: a head with a small body; larger bodies are read into place
LINGER_TIMEOUT, MAX_LINGER_BYTES = timedelta(milliseconds=300), 256 * 1024  # read after the last answer
LISTED_STEP = 32  # endpoints more or fewer, before the limits are set anew
# Clients served at the same time that do not wait for their answers; the same while others wait for a place.
MAX_PIPELINING, MAX_PIPELINING_CROWDED = 8, 1
TURN_CHECK_INTERVAL, PIPELINING_WRITE_TIMEOUT = timedelta(milliseconds=50), timedelta(milliseconds=250)
STOP_CHECK_INTERVAL = timedelta(milliseconds=25)
# During a drain: between two looks at idle connections, and the time for a new connection's first request.
DRAIN_CHECK_INTERVAL, DRAIN_FIRST_REQUEST_GRACE = timedelta(milliseconds=100), timedelta(milliseconds=800)
BAD_REQUEST_DELAY, MAX_BAD_REQUEST_DELAY = timedelta(milliseconds=10), timedelta(milliseconds=500)  # doubles
MAX_BAD_REQUESTS_WHEN_ENDING = 8  # in a row, before the rest of what was read is left without an answer
# Messages of a class that a reload removes may still be on their way.
REMOVED_CLASS_GRACE = timedelta(seconds=1)
DEFAULT_RETRY_AFTER = timedelta(milliseconds=500)  # where the decision loop gives no time
BACKLOG = 512


class ConnectionMovedError(Exception):
    """Another process has taken over this client's connection."""


class CrowdedError(http.BadMessageError):
    """A request is not answered now for want of memory or of a turn. Handing it in again is harmless."""

    def __init__(self, text: str) -> None:
        super().__init__(503, text)


def retry_after_header(span: timedelta) -> tuple[str, str]:
    """The header that tells a client when it may try again."""
    return "Retry-After", f"{millis(span) / 1000:.3f}"


class PassOn(Protocol):
    """Passes a connection, with the request read from it if any, to another process; whether it was taken."""

    def __call__(
        self,
        sock: socket.socket,
        request: bytes,
        arrived: datetime | None,
        requests_read: int,
        read_at: datetime | None = None,
    ) -> bool:
        """Any thread may call.

        Returns within a client's waiting time, unless the other process has taken it.
        """


@dataclass(slots=True)
class Reply:
    """An answer to a client.

    `message` is the id of the message that it accepts; that is withdrawn if the answer cannot be written.
    """

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    message: str | None = None
    pending: PendingReply | None = None


class ClientSide(AcceptingMixin):
    """The listener for clients, and the connections that it has accepted."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        log: Log,
        decision_loop: DecisionLoop,
        bodies: Bodies,
        start: Callable[[str, Callable[[], None]], None],
        lifecycle: SharedLifecycle,
        listener: socket.socket | None = None,
    ) -> None:
        self.bodies, self.lifecycle = bodies, lifecycle
        self.config, self.clock, self.log, self.decision_loop, self.start = (
            config,
            clock,
            log,
            decision_loop,
            start,
        )
        self._listed = 0  # endpoints, as far as the limits reckon with them
        self.max_clients = max_client_connections(config)
        self._removed_classes: tuple[dict[str, Rules], datetime] = ({}, datetime.max.replace(tzinfo=UTC))
        self._clients: set[Client] = set()
        self._order = EvictionOrder()
        self._clients_changed = threading.Condition()
        self.reading = ReadBudget(max_reading_bytes(config.limits), clock, self._cut_slow_request)
        self._turns = Turns()
        self._pipelining = threading.Semaphore(MAX_PIPELINING)
        self._pipelining_crowded = threading.Semaphore(MAX_PIPELINING_CROWDED)
        self._accepting = threading.Lock()
        self._pending = PendingConnections()  # guarded by `_accepting`
        self.max_pending = max_pending_connections(config)
        self.listener = listener or listen(config.listen, BACKLOG)
        self.port = self.listener.getsockname()[1]
        self._stopping = False
        self._redirect_to: PassOn | None = None
        self._never_set = threading.Event()  # used to sleep

    def apply_settings(self, config: Config) -> None:
        """Use these settings for new requests. Classes that they remove are accepted for a short while."""
        removed = {name: rules for name, rules in self.config.rules.items() if name not in config.rules}
        if removed:
            self._removed_classes = removed, self.clock.now() + REMOVED_CLASS_GRACE
        self.config = config
        self._set_limits()

    def endpoints_listed(self, count: int) -> None:
        """Leave memory for so many endpoints. Thread-safe."""
        if abs(count - self._listed) >= LISTED_STEP or not count:
            self._listed = count
            self._set_limits()

    def _set_limits(self) -> None:
        """Set how many clients are served and wait, and how much is read, by memory and descriptors."""
        self.max_clients = max_client_connections(self.config, self._listed)
        self.max_pending = max_pending_connections(self.config)
        self.reading.max_bytes = max_reading_bytes(self.config.limits, self._listed)

    def stop(self, read_time: timedelta) -> None:
        """Accept no more connections, and let each open one finish its current request.

        A request that is still incomplete after `read_time` is rejected. Nothing is read after that, as the
        process may be killed before it could answer.
        """
        self._stopping = True
        with self._accepting:
            self._accept_backlog()
            self._end_pending()
            self.listener.close()
        cut_at = self.clock.now() + read_time
        ends = cut_at + DECISION_TIMEOUT
        with self._clients_changed:
            while self._clients and (now := self.clock.now()) < ends:
                for client in self._clients:
                    # A client that has just connected is about to send a request.
                    if (
                        now >= cut_at
                        or client.stage is not Stage.SILENT
                        or now - client.opened >= SILENT_TIMEOUT
                    ):
                        self._end(client, "stop", cut=now >= cut_at)
                self._clients_changed.wait(seconds(STOP_CHECK_INTERVAL))

    @staticmethod
    def _end(client: Client, why: str = "ended here", cut: bool = False) -> None:
        """Read no request after the current one. Shut down an idle connection; with `cut` also a reading one.

        The caller holds the lock of all clients. Connections are shut down only here, where no byte can be
        read from them at the same time. A request that arrives at this moment is never read: its client sees
        the connection end, and hands the message in again elsewhere. Our sending side is shut down, so that
        the client closes; with `cut` only the receiving side, which wakes the connection's thread at once.
        """
        with client.lock:
            if client.moved or client.shut:  # it is another process's, or shut down already
                return
            client.ending = True
            if not client.waits() and (not cut or client.stage is Stage.ANSWERING):
                return
            client.shut = True
            client.close_reason = why
            try:
                client.sock.shutdown(socket.SHUT_RD if cut else socket.SHUT_WR)
            except OSError:
                pass  # the connection is closed already

    def _start_serving(
        self, client: Client, data: bytes = b"", confirm: Callable[[], bool] | None = None
    ) -> bool:
        """Serve a connection on a new thread; False if there is no thread. `data` was read from it before."""
        with self._clients_changed:
            self._clients.add(client)
        try:
            self.start("client", lambda: self._serve(client, data, confirm))
        except RuntimeError as fault:  # nothing has been read from it
            client.close_reason = "no thread"
            self.log.say("accept", f"cannot start a thread for a connection: {fault}")
            return False
        return True

    def adopt(
        self,
        sock: socket.socket,
        request: bytes,
        arrived: datetime | None,
        requests_read: int,
        read_at: datetime | None = None,
        confirm: Callable[[], bool] | None = None,
    ) -> bool:
        """Continue with a client connection of the previous process; False if there is no thread for it.

        `request` has been read from it, its first byte at `arrived` and its last at `read_at`. `confirm` is
        called before anything is read here. It tells the previous process that the connection is served here;
        if it returns False, the connection still belongs to that process.
        """
        client = Client(sock, self.clock.now(), self._order)
        client.requests_read, client.shared_with_predecessor, client.arrived, client.read_at = (
            requests_read,
            True,
            arrived,
            read_at,
        )
        if request:  # set before any thread can see it as idle, and pass it on without its request
            client.at(Stage.READING, client.stage_since)
        if self._start_serving(client, request, confirm):
            return True
        client.moved = True  # it still belongs to the other process
        self._close(client)
        return False

    def redirect(self, pass_on: PassOn) -> None:
        """Pass clients to another process from now on. Called before any client can know of it."""
        with self._accepting, self._clients_changed:
            self._redirect_to = pass_on

    def pass_on_idle(self) -> int:
        """Pass on the idle clients, after `redirect`; how many.

        The others are passed on with their request.
        """
        with self._clients_changed:
            clients = list(self._clients)
        count = self._pass_on_pending()
        for client in clients:
            with client.lock:
                if client.stage in (Stage.IDLE, Stage.SILENT):
                    count += self._move_connection(client)
        return count

    def _pass_on_pending(self) -> int:
        """Pass on the connections that wait for a place; how many. Those that are not taken are closed."""
        count = 0
        with self._accepting:
            while (connection := self._pending.take()) is not None:
                count += self._redirect_to(connection.sock, b"", None, 0)
                connection.sock.close()
        return count

    def connection_count(self) -> int:
        """How many client connections this process serves."""
        with self._clients_changed:
            return sum(not client.passed_on for client in self._clients)

    def _move_connection(
        self,
        client: Client,
        request: bytes = b"",
        arrived: datetime | None = None,
        read_at: datetime | None = None,
    ) -> bool:
        """Pass a connection, with the request read from it if any, to the other process.

        Returns whether that has taken it.
        """
        if client.closing or client.moved or (client.ending and not request):
            return client.moved
        client.moved = True
        passed_on = self._redirect_to is not None and self._redirect_to(
            client.sock, request, arrived, client.requests_read, read_at
        )
        client.moved = passed_on
        client.passed_on = passed_on  # set last: this process ends once it is true for all
        self.log.counters.add(
            "client passed on" if passed_on else "client not passed on",
            "with a request" if request else "idle",
        )
        return passed_on

    def _pass_on_request(
        self, client: Client, ref: str, request: bytes, arrived: datetime, read_at: datetime
    ) -> None:
        """Pass on a request that was read here. Returns if the other process did not take it.

        Raises `ConnectionMovedError` if it did.
        """
        if self._move_connection(client, request, arrived, read_at):
            raise ConnectionMovedError
        self.log.say(
            "upgrade",
            f"connection {client.number}: the other process did not take {ref}, answered 503",
        )

    def close_idle_while_draining(self) -> None:
        """Shut down connections that stay idle during a drain. Returns when it is over or all are closed."""
        while self.lifecycle.current.draining_since is not None:
            with self._clients_changed:
                now, current = self.clock.now(), self.lifecycle.current
                for client in self._clients:
                    idle = client.stage in (Stage.IDLE, Stage.SILENT) and not client.ending
                    # A client that has just connected is about to send a request, and gets time for it.
                    grace = DRAIN_FIRST_REQUEST_GRACE if client.stage is Stage.SILENT else ZERO
                    if idle and current.closes_idle(client.stage_since + grace, now):
                        self._end(client, "drain")
                if not self._clients and not current.accepts_messages(now):
                    return
                self._clients_changed.wait(seconds(DRAIN_CHECK_INTERVAL))

    def _cut_slow_request(self, client: Client) -> None:
        """End a request that makes too little progress, for others that need its memory."""
        with self._clients_changed:
            if client not in self._clients:  # it has ended meanwhile
                return
            self._end(client, "made room", cut=True)
        self.log.say("crowded", f"{self.reading.used} bytes of requests are being read: ending a slow one")

    def _serve(self, client: Client, data: bytes = b"", confirm: Callable[[], bool] | None = None) -> None:
        try:
            # Before anything is read: until it is told so, the previous process answers the request with 503.
            if confirm is not None and not confirm():
                client.moved, client.close_reason = True, "left to the process before"
                return
            sockets.disable_nagle(client.sock)
            parser = http.Parser(answer=False)
            if data:
                parser.slack = http.REWRITTEN_HEAD_SLACK_BYTES  # for the request that was passed on with it
                parser.feed(data)
            while self._exchange(client, parser):
                pass
        except ConnectionMovedError:
            client.close_reason = "passed on"
        except OSError as fault:
            client.close_reason = f"broken: {errno.errorcode.get(fault.errno or 0, type(fault).__name__)}"
        except Exception:  # an error on one connection must not end the sender
            client.close_reason = "error"
            self.log.say("error", f"closed connection {client.number}: {traceback.format_exc()}")
        finally:
            self._close(client)

    def _close(self, client: Client) -> None:
        """Close a connection; every connection ends here."""
        # Otherwise `pass_on_idle` could pass on a closed descriptor, or one that another connection reuses.
        with client.lock:
            client.closing = True
        self.reading.release(client)
        self.log.counters.add("connection closed", client.close_reason)
        if client.answered and not client.moved:
            self._linger(client)
        # Closing alone does not end a connection that another process has open, too.
        if client.shared_with_predecessor and not client.moved:
            try:
                client.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # the client has closed it
        # Those that end connections go through them under this lock: they never see a closed one.
        with self._clients_changed:
            self._clients.discard(client)
            self._order.remove(client)
            client.sock.close()
            self._clients_changed.notify_all()

    def _linger(self, client: Client) -> None:
        """Shut our sending side down and read for a short time before the close.

        Closing with unread bytes resets the connection, and the client may lose the last answer. What is read
        here came after the last answer, and is never accepted.
        """
        client.at(Stage.LEAVING, self.clock.now())
        ends, read = client.stage_since + LINGER_TIMEOUT, 0
        try:
            client.sock.shutdown(socket.SHUT_WR)
            while (left := ends - self.clock.now()) > ZERO and read < MAX_LINGER_BYTES:
                client.sock.settimeout(max(0.001, seconds(left)))
                if not (data := client.sock.recv(READ_BYTES)):
                    break
                read += len(data)
        except OSError:
            pass  # the client has closed, or sends nothing

    @contextmanager
    def _turn(self, client: Client) -> Iterator[None]:
        """A turn to answer a request that was read: few clients at a time that do not wait for their answers.

        Raises `CrowdedError` if the client's place is needed before it has a turn.
        """
        if not client.pipelines:
            yield
            return
        client.at(Stage.READING, self.clock.now())  # while it waits it may be ended to make room
        gate = self._pipelining_crowded if self._pending else self._pipelining
        while not gate.acquire(timeout=seconds(TURN_CHECK_INTERVAL)):
            if client.ending:
                raise CrowdedError("requests were sent without waiting for answers")
        try:
            client.at(Stage.ANSWERING, self.clock.now())
            client.sock.settimeout(seconds(PIPELINING_WRITE_TIMEOUT))
            yield
        finally:
            gate.release()

    def _exchange(self, client: Client, parser: http.Parser) -> bool:
        """Read one request and answer it; whether the connection is kept."""
        try:
            found, arrived = self._read(client, parser)
            if found is None:
                return False
            with self._turn(client):
                kept = self._answer_request(client, parser, *found, arrived)
        except http.BadMessageError as fault:
            self._answer_unreadable(client, fault)
            return False
        finally:
            self.reading.release(client)
        if kept and client.bad_in_a_row:
            # A client that repeats a bad request at once must not take processor time from the others.
            delay = min(MAX_BAD_REQUEST_DELAY, BAD_REQUEST_DELAY * 2 ** min(client.bad_in_a_row - 1, 10))
            client.at(Stage.LEAVING, self.clock.now())
            client.wait_ended(delay)
        return kept

    def _answer_unreadable(self, client: Client, fault: http.BadMessageError) -> None:
        """Give the last answer on a connection: it is unknown where its next request begins."""
        headers = [("Connection", "close")]
        if isinstance(fault, CrowdedError):
            self.log.say("crowded", f"connection {client.number}: {fault}, answered {fault.status}")
            self.log.counters.add("request refused", "crowded")
            headers.append(retry_after_header(DEFAULT_RETRY_AFTER))
        else:
            self.log.say("bad", f"{fault}, answered {fault.status}")
        client.close_reason = "bad or slow request"
        client.write(http.write_answer(fault.status, headers, f"{fault}\n".encode()))

    def _answer_request(
        self, client: Client, parser: http.Parser, head: http.Head, body: bytes, arrived: datetime
    ) -> bool:
        """Answer one request that was read; whether the connection is kept."""
        if client.is_gone():
            client.close_reason = "gone before its request was taken up"
            self.log.counters.add("request refused", "its client has gone")
            return False
        read_at, client.read_at = client.read_at or self.clock.now(), None
        try:
            reply = self._answer(client, head, body, arrived, read_at)
            client.bad_in_a_row = 0
            client.requests_read += 1
        except ConnectionMovedError:
            ref = head.headers.get("request-id", "its request")
            self._pass_on_request(
                client, ref, rewrite_request(head, body, bytes(parser.buffer)), arrived, read_at
            )
            reply = self._reject(DEFAULT_RETRY_AFTER, "not passed on")  # the last answer on this connection
            client.ending = True
        except RefusedError as fault:
            self.log.say("bad", f"{fault}, answered {fault.status}")
            reply = Reply(fault.status, f"{fault}\n".encode())
            client.bad_in_a_row += 1
            client.requests_read += 1
        except Exception as fault:  # the request must be answered, and must not end the sender
            self.log.say(
                "error",
                f"connection {client.number}: answered 500: "
                f"{type(fault).__name__}: {fault}: {traceback.format_exc()}",
            )
            reply = Reply(500)
            client.requests_read += 1
        # If part of a further request has been read, it is answered, too, before the connection is closed,
        # unless its client sends bad ones without an end and its place is needed.
        ends = (client.ending or self.lifecycle.current.closes_after_answer()) and not parser.begun
        ends = ends or (client.ending and client.bad_in_a_row >= MAX_BAD_REQUESTS_WHEN_ENDING)
        last = [] if head.keeps_alive() and not ends else [("Connection", "close")]
        data = http.write_answer(reply.status, [*reply.headers, *last], reply.body)
        try:
            client.write(data[: -len(reply.body)] if head.method == "HEAD" and reply.body else data)
        except OSError as fault:
            client.close_reason = "gone before its answer"
            self.log.say(
                "unanswered",
                f"connection {client.number}: cannot write the answer {reply.status}"
                f"{f' for {reply.message}, which is withdrawn' if reply.message else ''}: {fault}",
            )
            if reply.message is not None:
                self.decision_loop.post(Withdraw(reply.message, reply.pending))
            return False
        if last:
            client.close_reason = "last answer"
        return not last

    def _read(self, client: Client, parser: http.Parser) -> tuple[tuple[http.Head, bytes] | None, datetime]:
        """The next request, None at the connection's end, and when its first byte came."""
        arrived, expect_seen = client.arrived or self.clock.now(), False
        passed_on = client.arrived is not None  # with a request that another process has read
        first, client.arrived = not client.requests_read, None
        client.pipelines = parser.begun and not first and not passed_on
        with client.lock:
            if self._redirect_to is not None and not parser.begun:
                self._move_connection(client)
            if client.ending and not client.moved and not parser.begun:
                return None, arrived
            client.at(Stage.READING if parser.begun else Stage.SILENT if first else Stage.IDLE, arrived)
        while (found := self._turns.run(parser.next, first or client.pipelines)) is None:
            if client.ending and client.pipelines:
                raise http.BadMessageError(408, "requests were sent without waiting for answers")
            if parser.eof:
                if parser.begun:
                    raise http.BadMessageError(400, "the connection ended inside a request")
                return None, arrived
            if parser.head is not None and not expect_seen and parser.head.headers.get("expect"):
                expect_seen = True
                if parser.head.headers["expect"].lower() != "100-continue":
                    raise http.BadMessageError(417, "unknown expectation")
                self._reserve(client, parser)
                client.write(http.write_answer(100))
            self._reserve(client, parser)
            # Clients are promised an answer or a close within 3 s of connecting, whatever they send.
            began, timeout = (client.opened, REQUEST_READ_TIMEOUT) if first else (arrived, IDLE_TIMEOUT)
            ends = arrived + REQUEST_READ_TIMEOUT if parser.begun and not first else began + timeout
            if not client.moved and not client.readable(ends - self.clock.now()):
                if parser.begun:
                    raise http.BadMessageError(408, "a request came too slowly")
                client.close_reason = "idle"
                return None, arrived
            with client.lock:  # bytes meant for another process must not be read here
                if client.moved:
                    raise ConnectionMovedError
                if client.shut and parser.begun:
                    raise http.BadMessageError(503 if self._stopping else 408, "a request came too slowly")
                if client.shut:
                    return None, arrived
                count = self._receive(client, parser)
                now = self.clock.now()
                if client.stage is not Stage.READING and parser.begun:
                    arrived = now
                    client.at(Stage.READING, arrived)
                client.progress(count, now)
        client.at(Stage.ANSWERING, self.clock.now())
        return found, arrived

    @staticmethod
    def _receive(client: Client, parser: http.Parser) -> int:
        """Read what has come into the parser; how many bytes."""
        if (space := parser.body_space()) is not None:
            count = sockets.receive_into(client.sock, space)
            parser.received(count)
            return count
        data = sockets.receive(client.sock, READ_BYTES)
        parser.feed(data)
        return len(data)

    def _reserve(self, client: Client, parser: http.Parser) -> None:
        """Reserve the memory that a request needs. Raises `CrowdedError` if there is none for it now."""
        needed = parser.memory_needed()
        if not self.reading.reserve(client, needed):
            raise CrowdedError(f"no room to read a request of {needed} bytes now")

    def _answer(
        self, client: Client, head: http.Head, body: bytes, arrived: datetime, read_at: datetime
    ) -> Reply:
        """The answer to a complete request, whose last byte was read at `read_at`."""
        if self._redirect_to is not None:
            raise ConnectionMovedError
        found = self._turns.run(lambda: self._read_request(head, body, arrived), client.pipelines)
        return found if isinstance(found, Reply) else self._hand_in(found, read_at)

    def _read_request(self, head: http.Head, body: bytes, arrived: datetime) -> Reply | AcceptedMessage:
        """The message that a request hands in, or the answer to any other request. Never waits."""
        try:
            path = urlsplit(head.target).path
        except ValueError:
            raise RefusedError(400, "the target is malformed") from None
        routes = {"/api": ("POST",), "/health/ready": ("GET", "HEAD"), "/health/live": ("GET", "HEAD")}
        if path not in routes:
            raise RefusedError(404, f"nothing is at {path!r}")
        if head.method not in routes[path]:
            return Reply(405, headers=[("Allow", ", ".join(routes[path]))])
        if path == "/api":
            return read_message(head, body, arrived, self._reading_config())
        healthy = path == "/health/live" or self.lifecycle.current.ready()
        return Reply(200, b"ok\n") if healthy else Reply(503, b"not ready\n")

    def _reading_config(self) -> Config:
        """The configuration to read requests by: with the classes removed a moment ago."""
        removed, until = self._removed_classes
        if not removed or self.clock.now() >= until:
            return self.config
        return msgspec.structs.replace(self.config, rules={**removed, **self.config.rules})

    def _hand_in(self, message: AcceptedMessage, read_at: datetime) -> Reply:
        """Store the body, post the message to the decision loop, and return its verdict as an answer."""
        if not self.lifecycle.current.accepts_messages(self.clock.now()):
            self.log.say("drained", f"rejected {message.ref}: this sender is drained")
            return self._reject(DEFAULT_RETRY_AFTER, "drained")
        # Counted from the last byte: a large body alone may take longer than this to arrive.
        due = max(read_at + DECISION_TIMEOUT, self.clock.now() + MIN_DECISION_TIMEOUT)
        found = self._store_body(message, due)
        if isinstance(found, Admission):
            self.log.say(
                "full",
                f"rejected {message.ref} for destination {message.destination}: {found.reason}",
            )
            return self._reject(DEFAULT_RETRY_AFTER, "no room for its body")
        message, pending = found, PendingReply()
        self.decision_loop.post(HandIn(message, pending))
        answer = pending.wait(due - self.clock.now(), CLAIMED_DECISION_TIMEOUT)
        if answer is not None and answer.verdict is Verdict.MOVED:
            raise ConnectionMovedError
        if answer is None and pending.claimed:
            raise RuntimeError(f"the decision loop picked up {message.ref} and did not answer")
        if answer is None:
            self.log.say("late", f"rejected {message.ref}: the decision loop did not pick it up in time")
            return self._reject(DEFAULT_RETRY_AFTER, "not taken up in time")
        if answer.verdict is Verdict.ACCEPTED:
            return Reply(202, message=message.ref, pending=pending)
        if answer.verdict is Verdict.CONFLICT:
            raise RefusedError(409, f"{message.ref} is the id of another message")
        if answer.verdict is Verdict.REJECTED:
            return self._reject(answer.retry, answer.reason)
        return Reply(500, b"given up\n")

    def _reject(self, retry_after: timedelta, reason: str) -> Reply:
        """A 503 with the time after which the client may try again."""
        self.log.counters.add("request refused", reason)
        return Reply(503, headers=[retry_after_header(retry_after)])

    def _store_body(self, message: AcceptedMessage, due: datetime) -> AcceptedMessage | Admission:
        """Store the message's body; the message with the body's place, or why there is no room.

        If necessary the decision loop first ends other messages to make room.
        """
        found = self.bodies.keep(message, due - self.clock.now())
        if isinstance(found, Admission) and found.verdict is BodyVerdict.DROP_FIRST:
            pending: PendingReply[bool] = PendingReply()
            self.decision_loop.post(MakeRoom(msgspec.structs.replace(message, body=b""), found, pending))
            if pending.wait(due - self.clock.now(), CLAIMED_DECISION_TIMEOUT):
                found = self.bodies.keep(message, due - self.clock.now(), last=True)
        return found
