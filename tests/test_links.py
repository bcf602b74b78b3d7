"""Links over TCP: truncated, oversized, forged and foreign frames; bounds on queues and connections."""

from __future__ import annotations

import socket
import threading
from struct import pack

import msgspec
import pytest
from harness import until

from willownotch.links import transport as links
from willownotch.links.transport import LinkKind, TcpTransport
from willownotch.peers.seal import Seal

KEYS = [(1, b"k" * 32)]


class Note(msgspec.Struct, tag=1, array_like=True):
    text: bytes


KIND = LinkKind(
    "note", 200, msgspec.msgpack.Decoder(Note).decode, lambda note: len(note.text) + 400
)  # overestimates


class Endpoint:
    """One member's transport and the messages that it received."""

    def __init__(self, uid, kind=KIND, keys=KEYS):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.received = []
        self.transport = TcpTransport(
            kind, self.listener, "127.0.0.1", uid, keys, self.received.append, self.start
        )
        self.address = self.listener.getsockname()
        self.start("in", self.transport.run)

    @staticmethod
    def start(name, work):
        threading.Thread(target=work, name=name, daemon=True).start()

    def texts(self):
        return [note.text for note in self.received]

    def close(self):
        self.listener.close()


@pytest.fixture
def ends():
    made = [Endpoint(1), Endpoint(2)]
    for one, other in (made, made[::-1]):
        one.transport.addresses["other"] = other.address
    yield made
    for end in made:
        end.close()


def connect_raw(end, data):
    """A connection on which these bytes were sent."""
    sock = socket.create_connection(end.address, 10)
    sock.sendall(data)
    return sock


def frame_of(seal, text=b"x"):
    data = seal.close(Note(text))
    return pack("!I", len(data)) + data


def make_seal(uid=9, version=KIND.version, keys=KEYS):
    return Seal(uid, keys, KIND.decode, version, links.MAX_FRAME_BYTES)


def test_messages_arrive_in_order_both_ways(ends):
    one, other = ends
    for n in range(200):
        one.transport.send("other", Note(b"%d" % n))
        other.transport.send("other", Note(b"%d" % -n))
    until(lambda: len(other.received) == len(one.received) == 200)
    assert other.texts() == [b"%d" % n for n in range(200)]
    assert one.texts() == [b"%d" % -n for n in range(200)]


def test_sent_messages_no_longer_count_as_queued(ends, monkeypatch):
    one, other = ends
    monkeypatch.setattr(links, "MAX_QUEUE_BYTES", 40_000)
    for n in range(40):
        for _ in range(50):
            one.transport.send("other", Note(b"x"))
        until(lambda n=n: len(other.received) == 50 * (n + 1))
    assert one.transport.traffic["dropped"] == 0
    until(lambda: one.transport.links["other"].waiting_bytes == 0)


def test_the_queue_for_a_peer_that_does_not_read_is_bounded(ends, monkeypatch):
    one, _ = ends
    monkeypatch.setattr(links, "MAX_QUEUE_BYTES", 2_000_000)
    with socket.create_server(("127.0.0.1", 0)) as stuck:
        one.transport.addresses["stuck"] = stuck.getsockname()
        for _ in range(200):
            one.transport.send("stuck", Note(b"x" * 100_000))
        assert one.transport.links["stuck"].waiting_bytes <= 2_000_000
        assert one.transport.traffic["dropped"] > 100


def test_a_message_for_a_peer_without_an_address_is_counted_and_dropped(ends):
    one, _ = ends
    one.transport.send("unknown", Note(b"x"))
    assert one.transport.traffic["unknown peer"] == 1 and not one.transport.links


@pytest.mark.parametrize("at", [1, 3, 4, 5, 30, -1])
def test_a_truncated_frame_is_counted_and_the_frames_before_it_are_delivered(ends, at):
    one, _ = ends
    seal = make_seal()
    data = frame_of(seal, b"whole") + frame_of(seal, b"cut")[:at]
    connect_raw(one, data).close()
    until(lambda: one.transport.traffic["cut off"] == 1)
    assert one.texts() == [b"whole"]


def test_a_frame_that_is_too_long_ends_its_connection_unread(ends):
    one, _ = ends
    with connect_raw(one, pack("!I", links.MAX_FRAME_BYTES + 1) + b"x" * 10) as sock:
        sock.settimeout(10)
        assert sock.recv(1) == b""
    assert one.transport.traffic["too long"] == 1 and not one.received


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (frame_of(make_seal(version=17)), "other version"),
        (frame_of(make_seal(keys=[(1, b"o" * 32)])), "not authentic"),
        (frame_of(make_seal(keys=[(2, b"k" * 32)])), "unknown key"),
        (frame_of(make_seal(uid=1)), "own"),
        (pack("!I", 3) + b"abc", "too short"),
    ],
)
def test_forged_and_foreign_frames_end_their_connection_and_are_counted(ends, data, why):
    one, _ = ends
    with connect_raw(one, data) as sock:
        sock.settimeout(10)
        assert sock.recv(1) == b""
    assert dict(one.transport.seal.refused) == {why: 1} and not one.received


def test_a_message_of_another_type_is_unreadable(ends):
    class Other(msgspec.Struct, tag=2, array_like=True):
        text: bytes

    one, _ = ends
    data = make_seal().close(Other(b"x"))
    with connect_raw(one, pack("!I", len(data)) + data) as sock:
        sock.settimeout(10)
        assert sock.recv(1) == b""
    assert dict(one.transport.seal.refused) == {"unreadable": 1}


def test_connections_are_bounded_and_silent_ones_closed(ends, monkeypatch):
    one, _ = ends
    monkeypatch.setattr(links, "MAX_CONNECTIONS", 3)
    open_connections = [connect_raw(one, b"") for _ in range(3)]
    until(lambda: one.transport.connections == 3)
    with connect_raw(one, b"") as sock:
        sock.settimeout(10)
        assert sock.recv(1) == b""
    assert one.transport.traffic["too many connections"] == 1
    monkeypatch.setattr(links, "SILENT_S", 0.05)
    for sock in open_connections:
        sock.close()
    until(lambda: one.transport.connections == 0)
    with connect_raw(one, b"") as sock:
        sock.settimeout(10)
        assert sock.recv(1) == b""  # closed after SILENT_S without data
    one.transport.addresses["self"] = one.address
    seal = make_seal()
    monkeypatch.setattr(links, "SILENT_S", 30.0)
    connect_raw(one, frame_of(seal, b"next")).close()
    until(lambda: one.texts() == [b"next"])
