"""The client side: clients hand messages in here, each connection on a small thread of its own."""

from __future__ import annotations

import errno
import select
import socket
import threading
import traceback
from collections.abc import Callable
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
from willownotch.net.client_connections import SILENT_TIME, Client, Stage, StageQueues, clients_most
from willownotch.net.client_requests import RefusedError, read_message, rewrite_request
from willownotch.net.clock import ZERO, Clock, millis, seconds
from willownotch.net.config import Config
from willownotch.net.decision_loop import DecisionLoop
from willownotch.net.events import HandIn, MakeRoom, Verdict, Withdraw
from willownotch.net.listening import listen
from willownotch.net.log import Log
from willownotch.net.pending import PendingReply
from willownotch.net.rules import Rules

DECISION_TIMEOUT = timedelta(
    milliseconds=250
)  # a client waits 400 ms: what is not taken up by then is turned away
PATIENCE_LEAST = timedelta(milliseconds=50)  # for what the process before had read, and had no time for
CLAIMED_PATIENCE = timedelta(seconds=5)  # for what is being decided then: it may be owed already
IDLE_TIME = timedelta(seconds=3)  # between requests: some clients ask once and stay for good
REQUEST_TIME = timedelta(seconds=2)  # from connecting, and from a later request's first byte, to its last
LINGER_TIME, LINGER_MOST = timedelta(milliseconds=300), 256 * 1024  # read on before a close; bytes
STOP_LOOK = timedelta(milliseconds=25)
DRAIN_LOOK, SILENT_DRAIN = timedelta(milliseconds=100), timedelta(milliseconds=800)  # while it is emptied
BAD_PAUSE, BAD_PAUSE_MOST = timedelta(milliseconds=10), timedelta(milliseconds=500)  # doubles with each
DROPPED_TIME = timedelta(seconds=1)  # messages of a class that is dropped may be on their way for so long
RETRY = timedelta(milliseconds=500)  # told where nothing better is known
BACKLOG = 512


class MovedError(Exception):
    """This client's connection is another process's now."""


class PassOn(Protocol):
    """Has another process go on with a connection, and with what was asked on it; whether it does."""

    def __call__(
        self,
        sock: socket.socket,
        request: bytes,
        arrived: datetime | None,
        asked: int,
        read_at: datetime | None = None,
    ) -> bool:
        """Any thread may call; it takes no longer than a client waits, unless the other process has it."""


@dataclass(slots=True)
class Reply:
    """What a client is answered. `taken` is the message taken on by it, withdrawn if it cannot be told."""

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    message: str | None = None
    pending: PendingReply | None = None


class ClientSide:
    """The listener and the connections it has taken."""

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
        self.max_clients = clients_most(config)
        self._dropped: tuple[dict[str, Rules], datetime] = ({}, datetime.max.replace(tzinfo=UTC))
        self._clients: set[Client] = set()
        self._stages = StageQueues()
        self._clients_changed = threading.Condition()
        self._accepting = threading.Lock()
        self.listener = listener or listen(config.listen, BACKLOG)
        self.port = self.listener.getsockname()[1]
        self._stopping = False
        self._redirect_to: PassOn | None = None
        self._pause = threading.Event()  # never set: a wait of a moment

    def apply_settings(self, config: Config) -> None:
        """Read messages by these settings from now on; a class that they drop is taken for a moment more."""
        dropped = {name: rules for name, rules in self.config.rules.items() if name not in config.rules}
        if dropped:
            self._dropped = dropped, self.clock.now() + DROPPED_TIME
        self.config, self.max_clients = config, clients_most(config)

    def stop(self, patience: timedelta) -> None:
        """Take no more connections, and let each that is open finish the request it has.

        What is still not whole after `patience` is turned away. Nothing is read after that: the process may
        be killed before it could be answered.
        """
        self._stopping = True
        with self._accepting:
            self._accept_backlog()
            self.listener.close()
        cut = self.clock.now() + patience
        ends = cut + DECISION_TIMEOUT
        with self._clients_changed:
            while self._clients and (now := self.clock.now()) < ends:
                for client in self._clients:
                    # Who has just connected is about to ask.
                    if now >= cut or client.stage is not Stage.SILENT or now - client.opened >= SILENT_TIME:
                        self._end(client, "stop", cut=now >= cut)
                self._clients_changed.wait(seconds(STOP_LOOK))

    def _accept_backlog(self) -> None:
        """Take what waits to be accepted: it would be reset with the listener."""
        failures = 0
        while len(self._clients) < self.max_clients and failures < sockets.TRIES:
            try:
                self._accept()
            except BlockingIOError:
                return  # there is no more
            except OSError:
                failures += 1

    @staticmethod
    def _end(client: Client, why: str = "ended here", cut: bool = False) -> None:
        """Take no request after the one that it has. One that rests is shut; `cut`: also one that reads.
        For who holds the lock of all clients.

        Whoever shuts a connection does so here, where no byte can be taken off it meanwhile. What crosses
        this is never read as a request: its client sees the end, and hands it in again elsewhere. Our sending
        side is ended, so that the client goes; for a cut only the other one, which wakes its thread at once.
        """
        with client.lock:
            if client.moved or client.shut:  # it is not ours to end, or ended
                return
            client.ending = True
            if not client.waits() and (not cut or client.stage is Stage.ANSWERING):
                return
            client.shut = True
            client.why = why
            try:
                client.sock.shutdown(socket.SHUT_RD if cut else socket.SHUT_WR)
            except OSError:
                pass  # it is gone already

    def run(self) -> None:
        """Take connections until the process ends."""
        waiting = select.poll()
        waiting.register(self.listener, select.POLLIN)
        while True:
            self._make_room()
            try:
                sockets.wait(waiting, None)
                if self._stopping or self._redirect_to is not None:
                    threading.Event().wait()  # the process ends in a moment, or another one takes them
                with self._accepting:  # what is accepted here is known here, before clients are counted
                    if self._redirect_to is not None:
                        continue
                    self._accept()
            except BlockingIOError:
                continue
            except OSError as fault:
                self.log.say("accept", f"no connection could be taken: {fault}")
                if fault.errno not in sockets.ACCEPT_RETRY_ERRORS:
                    with (
                        self._clients_changed
                    ):  # descriptors are short: until one is free, or a moment has passed
                        self._clients_changed.wait(0.1)

    def _accept(self) -> None:
        """Take the next connection of the backlog; `BlockingIOError` if there is none."""
        sock, _ = self.listener.accept()
        client = Client(sock, self.clock.now(), self._stages)
        if not self._welcome(client):
            self._leave(client)

    def _welcome(self, client: Client, data: bytes = b"", confirm: Callable[[], bool] | None = None) -> bool:
        """Serve a connection, on which so much has come already; False if there is no thread for it."""
        with self._clients_changed:
            self._clients.add(client)
        try:
            self.start("client", lambda: self._serve(client, data, confirm))
        except RuntimeError as fault:  # it is ended unread
            client.why = "no thread"
            self.log.say("accept", f"no thread for a connection: {fault}")
            return False
        return True

    def adopt(
        self,
        sock: socket.socket,
        request: bytes,
        arrived: datetime | None,
        asked: int,
        read_at: datetime | None = None,
        confirm: Callable[[], bool] | None = None,
    ) -> bool:
        """Go on with a client of the process before this one; False if there is no thread for it.

        `confirm` is called before anything of it is read, and tells the process before that it is served
        here; where it gives False, the client is that process's still.
        """
        client = Client(sock, self.clock.now(), self._stages)
        client.asked, client.shared, client.arrived, client.read_at = asked, True, arrived, read_at
        if request:  # before anybody can take it for one that rests, and pass it on without its request
            client.at(Stage.READING, client.since)
        if self._welcome(client, request, confirm):
            return True
        client.moved = True  # it is the other process's still
        self._leave(client)
        return False

    def redirect(self, elsewhere: PassOn) -> None:
        """Another process takes clients from now on. Called before anybody can be told so."""
        with self._accepting, self._clients_changed:
            self._redirect_to = elsewhere

    def pass_on_idle(self) -> int:
        """Pass on the idle clients, after `redirect`; the others go with the request they make. How many."""
        with self._clients_changed:
            clients = list(self._clients)
        given = 0
        for client in clients:
            with client.lock:
                if client.stage in (Stage.IDLE, Stage.SILENT):
                    given += self._move(client)
        return given

    def connection_count(self) -> int:
        """Client connections that are served here."""
        with self._clients_changed:
            return sum(not client.passed for client in self._clients)

    def _move(
        self,
        client: Client,
        request: bytes = b"",
        arrived: datetime | None = None,
        read_at: datetime | None = None,
    ) -> bool:
        """Let another process go on with a connection, and with what it has asked; whether it does."""
        if client.gone or client.moved or (client.ending and not request):
            return client.moved
        client.moved = True
        passed = self._redirect_to is not None and self._redirect_to(
            client.sock, request, arrived, client.asked, read_at
        )
        client.moved = passed
        client.passed = passed  # only now: this process ends once all are
        self.log.counters.add(
            "client passed on" if passed else "client not passed on", "with a request" if request else "idle"
        )
        return passed

    def _pass_on(
        self, client: Client, ref: str, request: bytes, arrived: datetime, read_at: datetime
    ) -> None:
        """Have the other process answer a request that was read here; what it cannot take is refused."""
        if self._move(client, request, arrived, read_at):
            raise MovedError
        self.log.say(
            "upgrade",
            f"connection {client.number}: the other process did not take {ref}, answered 503",
        )

    def empty(self) -> None:
        """While a drain lasts, end the connections that stay idle; until it is over or all are gone."""
        while self.lifecycle.current.drained_at is not None:
            with self._clients_changed:
                now, current = self.clock.now(), self.lifecycle.current
                for client in self._clients:
                    waits = client.stage in (Stage.IDLE, Stage.SILENT) and not client.ending
                    # Who has just connected is about to ask: it has the time that a first request has.
                    span = SILENT_DRAIN if client.stage is Stage.SILENT else ZERO
                    if waits and current.ends_idle(client.since + span, now):
                        self._end(client, "drain")
                if not self._clients and not current.takes_messages(now):
                    return
                self._clients_changed.wait(seconds(DRAIN_LOOK))

    def _make_room(self) -> None:
        """At the bound, end the connection least likely to be a usual client's, else wait until one ends.

        Hundreds that connect and say nothing must not keep out clients that do ask.
        """
        with self._clients_changed:
            while len(self._clients) >= self.max_clients:
                if (client := self._stages.idlest(self.clock.now())) is not None:
                    self._end(client, "made room", cut=True)
                    self.log.say("crowded", f"{self.max_clients} client connections: the idlest ends")
                self._clients_changed.wait(seconds(SILENT_TIME) / 4)

    def _serve(self, client: Client, data: bytes = b"", confirm: Callable[[], bool] | None = None) -> None:
        try:
            # Not later: the process before answers 503 for what it has not been told to be served here.
            if confirm is not None and not confirm():
                client.moved, client.why = True, "left to the process before"
                return
            sockets.disable_nagle(client.sock)
            parser = http.Parser(answer=False)
            if data:
                parser.slack = http.REWRITTEN_HEAD_SLACK_BYTES  # for the request that came with it
                parser.feed(data)
            while self._exchange(client, parser):
                pass
        except MovedError:
            client.why = "passed on"
        except OSError as fault:
            client.why = f"broken: {errno.errorcode.get(fault.errno or 0, type(fault).__name__)}"
        except Exception:  # a fault in reading one client must not end the sender
            client.why = "error"
            self.log.say("error", f"connection {client.number} was ended: {traceback.format_exc()}")
        finally:
            self._leave(client)

    def _leave(self, client: Client) -> None:
        """The one way in which a connection is closed."""
        # Whoever passes idle clients on would hand over a closed descriptor, or the next connection's.
        with client.lock:
            client.gone = True
        self.log.counters.add("connection closed", client.why)
        if client.told and not client.moved:
            self._part(client)
        if client.shared and not client.moved:  # closing alone does not end what another process has open
            try:
                client.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # the client has ended it
        with (
            self._clients_changed
        ):  # who ends connections looks at them under this lock: never at a closed one
            self._clients.discard(client)
            self._stages.leave(client)
            client.sock.close()
            self._clients_changed.notify_all()

    def _part(self, client: Client) -> None:
        """End our sending side and read on a little: a close over unread bytes resets, and eats the answer.

        What is read here was not asked of this sender any more, and is never taken on.
        """
        client.at(Stage.LEAVING, self.clock.now())
        ends, read = client.since + LINGER_TIME, 0
        try:
            client.sock.shutdown(socket.SHUT_WR)
            while (left := ends - self.clock.now()) > ZERO and read < LINGER_MOST:
                client.sock.settimeout(max(0.001, seconds(left)))
                if not (data := client.sock.recv(http.READ_BYTES)):
                    break
                read += len(data)
        except OSError:
            pass  # it is gone, or says nothing

    def _exchange(self, client: Client, parser: http.Parser) -> bool:
        """One request and its answer; whether the connection goes on."""
        try:
            found, arrived = self._read(client, parser)
        except http.BadMessageError as fault:
            self.log.say("bad", f"{fault}, answered {fault.status}")
            # Framing is lost: this is the last answer.
            client.why = "bad or slow request"
            client.write(http.write_answer(fault.status, [("Connection", "close")], f"{fault}\n".encode()))
            return False
        if found is None:
            return False
        head, body = found
        read_at, client.read_at = client.read_at or self.clock.now(), None
        try:
            reply = self._answer(head, body, arrived, read_at)
            client.bad = 0
            client.asked += 1
        except MovedError:
            ref = head.headers.get("request-id", "its request")
            self._pass_on(client, ref, rewrite_request(head, body, bytes(parser.buffer)), arrived, read_at)
            reply = self._back_off(RETRY, "not passed on")  # and its last answer here
            client.ending = True
        except RefusedError as fault:
            self.log.say("bad", f"{fault}, answered {fault.status}")
            reply = Reply(fault.status, f"{fault}\n".encode())
            client.bad += 1
            client.asked += 1
        except Exception as fault:  # a request must not go unanswered, nor end the sender
            self.log.say(
                "error",
                f"connection {client.number}: a request was answered 500: "
                f"{type(fault).__name__}: {fault}: {traceback.format_exc()}",
            )
            reply = Reply(500)
            client.asked += 1
        # What has been read of a further request is owed its answer, too.
        ends = (client.ending or self.lifecycle.current.last_answer()) and not parser.begun
        last = [] if head.keeps_alive() and not ends else [("Connection", "close")]
        data = http.write_answer(reply.status, [*reply.headers, *last], reply.body)
        try:
            client.write(data[: -len(reply.body)] if head.method == "HEAD" and reply.body else data)
        except OSError as fault:
            client.why = "gone before its answer"
            self.log.say(
                "unanswered",
                f"connection {client.number}: {reply.status} could not be written"
                f"{f' for {reply.message}, withdrawn' if reply.message else ''}: {fault}",
            )
            if reply.message is not None:
                self.decision_loop.post(Withdraw(reply.message, reply.pending))
            return False
        if client.bad and not last:
            # The same thing again as soon as it is turned away: it must not cost the others their share.
            pause = min(BAD_PAUSE_MOST, BAD_PAUSE * 2 ** min(client.bad - 1, 10))
            client.at(Stage.LEAVING, self.clock.now())
            self._pause.wait(seconds(pause))
        if last:
            client.why = "last answer"
        return not last

    def _read(self, client: Client, parser: http.Parser) -> tuple[tuple[http.Head, bytes] | None, datetime]:
        """The next request and when its first byte came; None at the connection's end."""
        arrived, expected = client.arrived or self.clock.now(), False
        first, client.arrived = not client.asked, None
        with client.lock:
            if self._redirect_to is not None and not parser.begun:
                self._move(client)
            if client.ending and not client.moved and not parser.begun:
                return None, arrived
            client.at(Stage.READING if parser.begun else Stage.SILENT if first else Stage.IDLE, arrived)
        while (found := parser.next()) is None:
            if parser.eof:
                if parser.begun:
                    raise http.BadMessageError(400, "the connection ended inside a request")
                return None, arrived
            if parser.head is not None and not expected and parser.head.headers.get("expect"):
                expected = True
                if parser.head.headers["expect"].lower() != "100-continue":
                    raise http.BadMessageError(417, "unknown expectation")
                client.write(http.write_answer(100))
            # An answer or an end is due 3 s after connecting, whatever has come until then.
            began, max_clients = (client.opened, REQUEST_TIME) if first else (arrived, IDLE_TIME)
            ends = arrived + REQUEST_TIME if parser.begun and not first else began + max_clients
            if not client.moved and not client.readable(ends - self.clock.now()):
                if parser.begun:
                    raise http.BadMessageError(408, "a request came too slowly")
                client.why = "idle"
                return None, arrived
            with client.lock:  # what another process is to read must not be read here
                if client.moved:
                    raise MovedError
                if client.shut and parser.begun:
                    raise http.BadMessageError(503 if self._stopping else 408, "a request came too slowly")
                if client.shut:
                    return None, arrived
                data = sockets.receive(client.sock, http.READ_BYTES)
                if not parser.begun and data:
                    arrived = self.clock.now()
                    client.at(Stage.READING, arrived)
            parser.feed(data)
        client.at(Stage.ANSWERING, self.clock.now())
        return found, arrived

    def _answer(self, head: http.Head, body: bytes, arrived: datetime, read_at: datetime) -> Reply:
        """The answer to a whole request, which was read whole at `read_at`."""
        if self._redirect_to is not None:
            raise MovedError
        path = urlsplit(head.target).path
        routes = {"/api": ("POST",), "/health/ready": ("GET", "HEAD"), "/health/live": ("GET", "HEAD")}
        if path not in routes:
            raise RefusedError(404, f"nothing is at {path!r}")
        if head.method not in routes[path]:
            return Reply(405, headers=[("Allow", ", ".join(routes[path]))])
        if path == "/api":
            return self._hand_in(read_message(head, body, arrived, self._rules_now()), read_at)
        up = path == "/health/live" or self.lifecycle.current.ready()
        return Reply(200, b"ok\n") if up else Reply(503, b"not ready\n")

    def _rules_now(self) -> Config:
        """The configuration to read a message by."""
        dropped, until = self._dropped
        if not dropped or self.clock.now() >= until:
            return self.config
        return msgspec.structs.replace(self.config, rules={**dropped, **self.config.rules})

    def _hand_in(self, message: AcceptedMessage, read_at: datetime) -> Reply:
        """Its body into the store, itself into the owner's queue, and the verdict as HTTP has it."""
        if not self.lifecycle.current.takes_messages(self.clock.now()):
            self.log.say("drained", f"back-off answer to {message.ref}: this sender is being kept empty")
            return self._back_off(RETRY, "drained")
        # Counted from the last byte: a large body may have been on its way for longer than all this.
        due = max(read_at + DECISION_TIMEOUT, self.clock.now() + PATIENCE_LEAST)
        found = self._keep(message, due)
        if isinstance(found, Admission):
            self.log.say(
                "full",
                f"back-off answer to {message.ref} for destination {message.destination}: " f"{found.reason}",
            )
            return self._back_off(RETRY, "no room for its body")
        message, pending = found, PendingReply()
        self.decision_loop.post(HandIn(message, pending))
        answer = pending.wait(due - self.clock.now(), CLAIMED_PATIENCE)
        if answer is not None and answer.verdict is Verdict.MOVED:
            raise MovedError
        if answer is None and pending.claimed:
            raise RuntimeError(f"{message.ref} was taken up and never decided")
        if answer is None:
            self.log.say("late", f"{message.ref} was not taken up in time: back-off answer")
            return self._back_off(RETRY, "not taken up in time")
        if answer.verdict is Verdict.ACCEPTED:
            return Reply(202, message=message.ref, pending=pending)
        if answer.verdict is Verdict.CONFLICT:
            raise RefusedError(409, f"{message.ref} is the id of another message")
        if answer.verdict is Verdict.REJECTED:
            return self._back_off(answer.retry, answer.reason)
        return Reply(500, b"given up\n")

    def _back_off(self, retry: timedelta, reason: str) -> Reply:
        self.log.counters.add("request refused", reason)
        return Reply(503, headers=[("Retry-After", f"{millis(retry) / 1000:.3f}")])

    def _keep(self, message: AcceptedMessage, due: datetime) -> AcceptedMessage | Admission:
        """The message with its body where it stands until it is over, others making room if they must."""
        found = self.bodies.keep(message, due - self.clock.now())
        if isinstance(found, Admission) and found.verdict is BodyVerdict.DROP_FIRST:
            pending: PendingReply[bool] = PendingReply()
            self.decision_loop.post(MakeRoom(msgspec.structs.replace(message, body=b""), found, pending))
            if pending.wait(due - self.clock.now(), CLAIMED_PATIENCE):
                found = self.bodies.keep(message, due - self.clock.now(), last=True)
        return found
