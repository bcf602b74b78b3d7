"""Places for clients: what the limits give, and that a burst of connections is served where they suffice."""

import errno
import socket
from types import SimpleNamespace

import pytest
from harness import Discovery, Host, Sender, until
from test_crossings import config

from willownotch.net.clock import Clock
from willownotch.net.pending_connections import PendingConnections, Received
from willownotch.net.read_budget import (
    PRIORITY_CLIENTS,
    max_client_connections,
    max_pending_connections,
    max_reading_bytes,
)


@pytest.mark.parametrize("sockets", [64, 72, 128, 384, 1024, 4096])
@pytest.mark.parametrize("memory_mb", [1, 32, 96, 192, 2048])
def test_clients_and_those_that_wait_fit_the_descriptors(sockets, memory_mb):
    limits = {"sockets": sockets, "memory_mb": memory_mb, "disk_mb": 3}
    found = config(limits=limits)
    clients, pending = max_client_connections(found), max_pending_connections(found)
    assert clients >= 8 and pending >= 16
    if sockets >= 128:
        assert clients + PRIORITY_CLIENTS + pending <= sockets - found.settings.slots


def test_a_long_list_takes_its_memory_from_clients():
    found = config(limits={"sockets": 1024, "memory_mb": 32, "disk_mb": 3})
    many, few = max_client_connections(found), max_client_connections(found, 3200)
    assert 8 <= few < many / 3
    assert max_reading_bytes(found.limits, 3200) < max_reading_bytes(found.limits)


@pytest.mark.parametrize("sockets", [128, 384, 1024])
def test_a_burst_of_new_connections_is_answered(sockets):
    """Where the descriptors left no place to wait, all but one of those accepted together were closed."""
    discovery = Discovery([Host()])
    sender = Sender(discovery, limits={"sockets": sockets, "disk_mb": 3, "memory_mb": 96})
    try:
        sender.ready()
        request = sender.request("GET", "/health/live")
        socks = [socket.create_connection(("127.0.0.1", sender.port), 5.0) for _ in range(40)]
        for sock in socks:
            sock.sendall(request)
        assert [sock.recv(100)[:15] for sock in socks] == [b"HTTP/1.1 200 OK"] * 40
        for sock in socks:
            sock.close()
    finally:
        sender.close()
        discovery.close()


class PoorSocket:
    """A connection whose `setsockopt` fails for want of memory as often as told."""

    def __init__(self, sock, failures):
        self.sock, self.failures = sock, failures

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def setsockopt(self, *arguments):
        if self.failures:
            self.failures -= 1
            raise OSError(errno.ENOMEM, "no memory")
        self.sock.setsockopt(*arguments)


@pytest.mark.parametrize("failures", [0, 1, 5, 1000])
def test_the_rest_of_a_request_is_seen_though_setsockopt_fails(failures):
    """Its connection was never looked at again, or its thread was never told of what had come."""
    listener = socket.create_server(("127.0.0.1", 0))
    theirs = socket.create_connection(listener.getsockname())
    ours, now = PoorSocket(listener.accept()[0], failures), Clock().now()
    pending = PendingConnections()
    pending.add(ours, now)
    theirs.sendall(b"POST /api HTTP/1.1\r\nContent-Length: 5\r\n\r\nhe")
    until(lambda: pending.check() or pending.count(Received.PART))
    assert pending.take(Received.WHOLE_REQUEST) is None
    theirs.sendall(b"llo")
    until(lambda: pending.check() or pending.count(Received.WHOLE_REQUEST))
    assert pending.take(Received.WHOLE_REQUEST).sock is ours and not pending
    assert ours.getsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT) == 1
    for sock in (listener, theirs, ours):
        sock.close()


def test_a_look_that_fails_for_want_of_memory_ends_nothing():
    """A stop looks once more at those that wait, on the thread that ends the process."""
    listener = socket.create_server(("127.0.0.1", 0))
    theirs = socket.create_connection(listener.getsockname())
    ours, _ = listener.accept()
    pending = PendingConnections()
    pending.add(ours, Clock().now())
    theirs.sendall(b"GET / HTTP/1.1\r\n\r\n")

    def no_memory(timeout_ms):
        raise OSError(errno.ENOMEM, "no memory")

    real, pending._awaiting = pending._awaiting, SimpleNamespace(poll=no_memory)
    pending.check()
    assert len(pending) == 1 and not pending.with_data()
    pending._awaiting = real
    until(lambda: pending.check() or pending.count(Received.WHOLE_REQUEST))
    for sock in (listener, theirs, ours):
        sock.close()


def test_a_connection_that_stops_in_a_request_is_looked_at_once_for_each_piece():
    listener = socket.create_server(("127.0.0.1", 0))
    theirs = socket.create_connection(listener.getsockname())
    ours, _ = listener.accept()
    pending, looks = PendingConnections(), []
    real = pending._look_at
    pending._look_at = lambda connection: looks.append(connection) or real(connection)
    pending.add(ours, Clock().now())
    for piece in (b"POST /api HTTP/1.1\r\n", b"Content-Length: 5\r\n\r\n"):
        theirs.sendall(piece)
        before = len(looks)
        until(lambda b=before: pending.check() or len(looks) > b)
        for _ in range(50):
            pending.check()
    assert len(looks) == 2
    for sock in (listener, theirs, ours):
        sock.close()
