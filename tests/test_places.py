"""Places for clients: what the limits give, and that a burst of connections is served where they suffice."""

import socket

import pytest
from harness import Discovery, Host, Sender
from test_crossings import config

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
