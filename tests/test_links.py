"""Links over TCP by themselves: what is cut, oversized, forged or foreign, and what is bounded."""

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
)  # more than it is


class End:
    """One side, with all that came to it."""

    def __init__(self, uid, kind=KIND, keys=KEYS):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.got = []
        self.transport = TcpTransport(
            kind, self.listener, "127.0.0.1", uid, keys, self.got.append, self.start
        )
        self.address = self.listener.getsockname()
        self.start("in", self.transport.run)

    @staticmethod
    def start(name, work):
        threading.Thread(target=work, name=name, daemon=True).start()

    def texts(self):
        return [note.text for note in self.got]

    def close(self):
        self.listener.close()


@pytest.fixture
def ends():
    made = [End(1), End(2)]
    for one, other in (made, made[::-1]):
        one.transport.addresses["other"] = other.address
    yield made
    for end in made:
        end.close()


def raw(end, data):
    """A connection that says this."""
    sock = socket.create_connection(end.address, 10)
    sock.sendall(data)
    return sock


def framed(seal, text=b"x"):
    data = seal.close(Note(text))
    return pack("!I", len(data)) + data


def sealed(uid=9, version=KIND.version, keys=KEYS):
    return Seal(uid, keys, KIND.decode, version, links.MAX_FRAME_BYTES)


def test_messages_arrive_in_order_both_ways(ends):
    one, other = ends
    for n in range(200):
        one.transport.send("other", Note(b"%d" % n))
        other.transport.send("other", Note(b"%d" % -n))
    until(lambda: len(other.got) == len(one.got) == 200)
    assert other.texts() == [b"%d" % n for n in range(200)]
    assert one.texts() == [b"%d" % -n for n in range(200)]


def test_what_was_sent_counts_as_waiting_no_more_however_long_a_link_lasts(ends, monkeypatch):
    one, other = ends
    monkeypatch.setattr(links, "QUEUE_MOST", 40_000)
    for n in range(40):
        for _ in range(50):
            one.transport.send("other", Note(b"x"))
        until(lambda n=n: len(other.got) == 50 * (n + 1))
    assert one.transport.traffic["dropped"] == 0
    until(lambda: one.transport.links["other"].bytes == 0)


def test_what_waits_for_a_peer_that_does_not_read_is_bounded(ends, monkeypatch):
    one, _ = ends
    monkeypatch.setattr(links, "QUEUE_MOST", 2_000_000)
    with socket.create_server(("127.0.0.1", 0)) as deaf:
        one.transport.addresses["deaf"] = deaf.getsockname()
        for _ in range(200):
            one.transport.send("deaf", Note(b"x" * 100_000))
        assert one.transport.links["deaf"].bytes <= 2_000_000
        assert one.transport.traffic["dropped"] > 100


def test_to_whom_no_way_is_known_nothing_is_sent(ends):
    one, _ = ends
    one.transport.send("stranger", Note(b"x"))
    assert one.transport.traffic["unknown peer"] == 1 and not one.transport.links


@pytest.mark.parametrize("at", [1, 3, 4, 5, 30, -1])
def test_a_stream_cut_inside_a_frame_is_counted_and_what_came_before_is_taken(ends, at):
    one, _ = ends
    seal = sealed()
    data = framed(seal, b"whole") + framed(seal, b"cut")[:at]
    raw(one, data).close()
    until(lambda: one.transport.traffic["cut off"] == 1)
    assert one.texts() == [b"whole"]


def test_a_frame_that_is_too_long_ends_its_connection_before_it_is_read(ends):
    one, _ = ends
    with raw(one, pack("!I", links.MAX_FRAME_BYTES + 1) + b"x" * 10) as sock:
        sock.settimeout(10)
        assert sock.recv(1) == b""
    assert one.transport.traffic["too long"] == 1 and not one.got


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (framed(sealed(version=17)), "other version"),
        (framed(sealed(keys=[(1, b"o" * 32)])), "not authentic"),
        (framed(sealed(keys=[(2, b"k" * 32)])), "unknown key"),
        (framed(sealed(uid=1)), "own"),
        (pack("!I", 3) + b"abc", "too short"),
    ],
)
def test_forged_and_foreign_frames_end_their_connection_and_are_counted(ends, data, why):
    one, _ = ends
    with raw(one, data) as sock:
        sock.settimeout(10)
        assert sock.recv(1) == b""
    assert dict(one.transport.seal.refused) == {why: 1} and not one.got


def test_a_message_of_another_kind_is_unreadable(ends):
    class Other(msgspec.Struct, tag=2, array_like=True):
        text: bytes

    one, _ = ends
    data = sealed().close(Other(b"x"))
    with raw(one, pack("!I", len(data)) + data) as sock:
        sock.settimeout(10)
        assert sock.recv(1) == b""
    assert dict(one.transport.seal.refused) == {"unreadable": 1}


def test_connections_are_bounded_and_silent_ones_closed(ends, monkeypatch):
    one, _ = ends
    monkeypatch.setattr(links, "CONNECTIONS_MOST", 3)
    held = [raw(one, b"") for _ in range(3)]
    until(lambda: one.transport.connections == 3)
    with raw(one, b"") as sock:
        sock.settimeout(10)
        assert sock.recv(1) == b""
    assert one.transport.traffic["too many connections"] == 1
    monkeypatch.setattr(links, "SILENT_S", 0.05)
    for sock in held:
        sock.close()
    until(lambda: one.transport.connections == 0)
    with raw(one, b"") as sock:
        sock.settimeout(10)
        assert sock.recv(1) == b""  # it said nothing
    one.transport.addresses["self"] = one.address
    seal = sealed()
    monkeypatch.setattr(links, "SILENT_S", 30.0)
    raw(one, framed(seal, b"next")).close()
    until(lambda: one.texts() == [b"next"])
