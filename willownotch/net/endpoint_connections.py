"""Connections to endpoints: a new one for each call, whatever this machine is short of for a moment."""

from __future__ import annotations

import socket
import threading
from datetime import timedelta

from willownotch.net import sockets
from willownotch.net.answer_reading import MIN_SOCKET_TIMEOUT
from willownotch.net.attempts import Relay
from willownotch.net.clock import Clock, seconds
from willownotch.net.config import Config
from willownotch.net.log import Log

SHORTAGE_TIMEOUT = timedelta(milliseconds=300)  # to obtain a socket or port that this machine is short of
SHORTAGE_RETRY_DELAY = timedelta(milliseconds=10)
MAX_ROUTE_TRIES = 3  # without a route to the host, before it counts as unreachable


class EndpointConnections:
    """Opens connections for relays, and closes them so that `cancel` no longer finds them."""

    def __init__(self, config: Config, clock: Clock, log: Log) -> None:
        self.config, self.clock, self.log = config, clock, log
        self.count = 0  # of connections that were begun
        self._never_set = threading.Event()  # never set; used for interruptible sleeps

    def open(self, relay: Relay) -> socket.socket | None:
        """A new connection to a relay's host.

        None if the relay was cancelled meanwhile, or this machine had no socket or port for it. Raises
        `OSError` if the host cannot be reached.
        """
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
            self.count += 1
            sock.connect(relay.host.address)
        except OSError:
            self.close(relay, sock)
            raise
        return sock

    @staticmethod
    def is_quiet(sock: socket.socket) -> bool:
        """Whether nothing is readable on a connection, neither bytes nor its end."""
        try:
            sock.setblocking(False)
            sockets.retry_transient("recv", lambda: sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    @staticmethod
    def close(relay: Relay, sock: socket.socket) -> None:
        """Close a relay's connection, so that `cancel` no longer finds it."""
        with relay.lock:
            relay.sock = None
        sock.close()

    @staticmethod
    def shut_down(sock: socket.socket) -> None:
        """Shut a connection down, which wakes the thread that waits on it."""
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # not connected yet, or already closed
