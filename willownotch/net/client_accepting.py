"""How connections of clients are accepted, and in which order they get a place."""

from __future__ import annotations

import select
import socket
import threading
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from willownotch.net import sockets
from willownotch.net.client_connections import Client, EvictionOrder
from willownotch.net.clock import Clock, millis
from willownotch.net.log import Log
from willownotch.net.memory import resident_mb
from willownotch.net.pending_connections import PendingConnection, PendingConnections, Received
from willownotch.net.read_budget import PRIORITY_CLIENTS, ReadBudget

if TYPE_CHECKING:
    from willownotch.net.client_side import PassOn

PENDING_CHECK_INTERVAL = timedelta(milliseconds=10)  # between two looks at connections that wait for a place
MAX_ACCEPTED_AT_ONCE = 16
ENDED_AT_ONCE = 8  # client connections, to make room for others
# Of the places, how many connections may have that have not sent a whole request yet: one part of so many.
UNPROVEN_PARTS, MIN_UNPROVEN = 4, 8
PRESSURE_LOG_INTERVAL = timedelta(seconds=5)


class AcceptingMixin:
    """The methods of `ClientSide` that accept connections. They are called with `_accepting` held."""

    listener: socket.socket
    clock: Clock
    log: Log
    reading: ReadBudget
    max_clients: int
    max_pending: int
    _accepting: threading.Lock
    _clients: set[Client]
    _clients_changed: threading.Condition
    _order: EvictionOrder
    _pending: PendingConnections
    _redirect_to: PassOn | None
    _stopping: bool
    _pressure_logged_at: datetime | None = None

    def run(self) -> None:
        """Accept connections until the process ends."""
        waiting = select.poll()
        waiting.register(self.listener, select.POLLIN)
        while True:
            try:
                sockets.wait(waiting, millis(PENDING_CHECK_INTERVAL) if self._pending else None)
                if self._stopping or self._redirect_to is not None:
                    threading.Event().wait()  # the process is about to end, or another one accepts them
                with self._accepting:  # an accepted connection is registered before clients are counted
                    if self._redirect_to is not None or self._stopping:
                        continue
                    self._accept_waiting()
            except BlockingIOError:
                continue
            except OSError as fault:
                self.log.say("accept", f"cannot accept a connection: {fault}")
                if fault.errno not in sockets.ACCEPT_RETRY_ERRORS:
                    # Descriptors are short: wait until one is free, or for 0.1 s.
                    with self._clients_changed:
                        self._clients_changed.wait(0.1)

    def _accept(self) -> None:
        """Accept the next connection and serve it. Raises `BlockingIOError` if none is waiting."""
        sock, _ = self.listener.accept()
        self._serve_new(sock, self.clock.now())

    def _serve_new(self, sock: socket.socket, accepted_at: datetime) -> None:
        """Serve a connection that was accepted here."""
        client = Client(sock, self.clock.now(), self._order)
        client.opened = accepted_at
        if not self._start_serving(client):
            self._close(client)

    def _has_room(self) -> bool:
        """Whether one more connection may be served of which nothing is known yet."""
        few_unproven = self._order.unproven_count() < max(MIN_UNPROVEN, self.max_clients // UNPROVEN_PARTS)
        return len(self._clients) < self.max_clients and few_unproven

    def _accept_waiting(self) -> None:
        """Accept all connections that wait, and serve them in the order of `PendingConnections`."""
        now = self.clock.now()
        for sock in self._accept_all():
            if not self._pending and self._has_room():
                self._serve_new(sock, now)
            else:
                self._pending.add(sock, now)
        if self._pending:
            self._serve_pending()
        while len(self._pending) > self.max_pending and self._pending.close_one(now):
            self.log.counters.add("connection closed", "no place")

    def _accept_all(self) -> list[socket.socket]:
        """The connections that were waiting to be accepted, up to some at once."""
        accepted: list[socket.socket] = []
        try:
            while len(accepted) < MAX_ACCEPTED_AT_ONCE:
                accepted.append(self.listener.accept()[0])
        except BlockingIOError:
            pass  # no more are waiting
        except OSError:
            if not accepted:  # otherwise the next call shows it again
                raise
        return accepted

    def _serve_pending(self) -> None:
        """Serve pending connections: all that there is room for, and some more that have whole requests."""
        self._pending.check()
        while (connection := self._next_pending()) is not None:
            self._serve_new(connection.sock, connection.accepted_at)
        if self._pending.with_data() and not self._has_room():
            self._make_room()
        if closed := self._pending.close_old(self.clock.now()):
            self.log.counters.add("connection closed", "no place", closed)
        if self._pending:
            self._log_pressure()

    def _next_pending(self) -> PendingConnection | None:
        if self._has_room():
            return self._pending.take()
        room = self.max_clients + PRIORITY_CLIENTS - len(self._clients)
        return self._pending.take(Received.WHOLE_REQUEST) if room > 0 else None

    def _accept_backlog(self) -> None:
        """Accept the connections that wait in the backlog: closing the listener would reset them."""
        failures = 0
        while len(self._clients) < self.max_clients and failures < sockets.MAX_TRIES:
            try:
                self._accept()
            except BlockingIOError:
                return  # the backlog is empty
            except OSError:
                failures += 1

    def _end_pending(self) -> None:
        """Serve pending connections with requests, as far as there is room, and close the others."""
        self._pending.check()
        while (connection := self._next_pending()) is not None:
            self._serve_new(connection.sock, connection.accepted_at)
        while (connection := self._pending.take()) is not None:
            connection.sock.close()

    def _make_room(self) -> None:
        """At the limit, end connections that are least likely to be in use; their threads close them.

        Hundreds of clients that connect and send nothing must not keep out those that send requests.
        """
        with self._clients_changed:
            ending = sum(client.ending for client in self._clients)
            for _ in range(min(ENDED_AT_ONCE, self._pending.with_data()) - ending):
                if (client := self._next_to_end()) is None:
                    break
                self._end(client, "made room", cut=True)
                self.log.say("crowded", f"{self.max_clients} client connections: ending the least active one")

    def _next_to_end(self) -> Client | None:
        """The client that is ended next: any at the limit of all, else one that has sent no whole request."""
        now = self.clock.now()
        if len(self._clients) < self.max_clients:
            return self._order.next_unserved(now)
        return self._order.next(now, bool(self._pending.count(Received.WHOLE_REQUEST)))

    def _log_pressure(self) -> None:
        """Log what clients hold, at times, while connections wait for a place."""
        now = self.clock.now()
        last = self._pressure_logged_at
        if last is not None and now - last < PRESSURE_LOG_INTERVAL:
            return
        self._pressure_logged_at = now
        self.log.say(
            "pressure",
            f"{len(self._clients)} of {self.max_clients} clients, {len(self._pending)} wait for a place "
            f"({self._pending.with_data()} with data), {self.reading.used} of {self.reading.max_bytes} bytes "
            f"are being read, {resident_mb():.1f} MB resident",
        )
