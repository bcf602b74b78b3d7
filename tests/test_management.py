"""Operators' calls: the line protocol, and a real sender that is drained while clients send messages."""

import signal
import socket
import time
import unittest

import pytest
from harness import PATIENCE, Discovery, Host, Sender, until

from willownotch.management.core import MAX_LINE_BYTES, CallError, LineBuffer, answer


def not_ready():
    raise CallError("starting")


CALLS = {"health": not_ready, "quiesce": lambda: "quiescing"}
ALLOWED = b"allowed: health, quiesce"


@pytest.mark.parametrize(
    "line,start",
    [
        (b"quiesce", b"+OK quiescing"),
        (b"  QUIESCE ", b"+OK quiescing"),
        (b"health", b"-ERR starting"),
        (b"", b"-ERR an empty call, " + ALLOWED),
        (b"   ", b"-ERR an empty call"),
        (b"stop", b"-ERR unknown call 'stop', " + ALLOWED),
        (b"quiesce now", b"-ERR quiesce takes no arguments"),
        (b"\xff\x00health", b"-ERR the call is not plain text"),
        (b"h" * (MAX_LINE_BYTES + 1), b"-ERR the call is longer"),
        (b"h" * MAX_LINE_BYTES, b"-ERR unknown call"),
    ],
)
def test_each_line_gets_a_one_line_answer(line, start):
    found = answer(line, CALLS)
    assert found.startswith(start) and found.endswith(b"\r\n") and found.count(b"\n") == 1


@pytest.mark.parametrize(
    "pieces,ended,line",
    [
        ([b"health\r\n"], False, b"health"),
        ([b"health\n"], False, b"health"),
        ([b"he", b"alth", b"\r", b"\n"], False, b"health"),
        ([b"health"], False, None),
        ([b"health"], True, b"health"),
        ([b""], True, None),
        ([b"\r\n"], False, b""),
        ([b"a\nb\n"], False, b"a"),
        ([b"x" * 300], False, b"x" * 300),
    ],
)
def test_a_line_may_arrive_in_pieces(pieces, ended, line):
    buffer = LineBuffer()
    found = [buffer.feed(piece, ended and n == len(pieces) - 1) for n, piece in enumerate(pieces)]
    assert found[-1] == line and not any(found[:-1])


class ManagementTest(unittest.TestCase):
    def setUp(self):
        self.host = Host()
        self.discovery = Discovery([self.host])
        self.sender = Sender(self.discovery, env={"LB_MANAGEMENT": "127.0.0.1:0"})
        for resource in (self.host, self.discovery, self.sender):
            self.addCleanup(resource.close)
        self.sender.ready()

    def call(self, line, sock=None):
        with sock or self.sender.operator() as sock:
            sock.sendall(line)
            return b"".join(iter(lambda: sock.recv(4096), b"")).decode()

    def readiness(self):
        return self.sender.exchange(self.sender.request("GET", "/health/ready")).status

    def test_a_drain_serves_open_connections_closes_idle_ones_and_can_be_undone(self):
        idle, busy = self.sender.connect(), self.sender.connect()
        for sock in (idle, busy):
            self.assertEqual(self.sender.exchange(self.sender.message(), sock).status, 202)
        self.host.held.clear()
        accepted, _ = self.sender.hand_in()
        self.assertEqual(self.call(b"health\r\n"), "+OK ready\r\n")
        self.assertTrue(self.call(b"quiesce\n").startswith("+OK quiesc"))
        self.assertEqual(self.readiness(), 503)
        self.assertEqual(self.call(b"health\n")[:4], "-ERR")
        # A client that does not know of the drain yet.
        head = self.sender.exchange(self.sender.message(), busy)
        self.assertEqual((head.status, head.headers.get("connection")), (202, "close"))
        self.assertEqual((busy.recv(1), idle.recv(1)), (b"", b""))  # closed, not reset
        until(lambda: self.call(b"health\n") == "-ERR quiesced\r\n")
        head = self.sender.hand_in()[1]
        self.assertEqual((head.status, "retry-after" in head.headers), (503, True))
        self.host.held.set()
        until(lambda: accepted in self.host.refs())  # accepted before the drain, so still delivered
        self.sender.settled()
        self.assertEqual(self.call(b"resume\n"), "+OK ready\r\n")
        self.assertEqual((self.readiness(), self.sender.hand_in()[1].status), (200, 202))
        self.assertEqual([self.call(b"resume\n"), self.discovery.notices], ["+OK ready\r\n", []])

    def test_calls_and_signals_that_contradict_each_other(self):
        self.call(b"quiesce\n")
        self.sender.reload({}, "discovery stays")
        self.assertEqual(self.readiness(), 503)  # a reload does not end a drain
        self.sender.process.send_signal(signal.SIGTERM)
        until(lambda: any("stop: SIGTERM" in line for line in self.sender.lines))
        self.assertEqual((self.call(b"health\n"), self.readiness()), ("-ERR stopping\r\n", 503))
        self.sender.reload({}, "discovery stays")
        self.assertEqual(self.call(b"resume\n"), "+OK stopping\r\n")
        self.assertEqual((self.readiness(), self.sender.hand_in()[1].status), (200, 202))

    def test_messages_and_operators_are_answered_while_all_connections_are_in_use(self):
        sender = Sender(
            self.discovery, env={"LB_MANAGEMENT": "127.0.0.1:0"}, limits={"sockets": 64, "disk_mb": 3}
        )
        self.addCleanup(sender.close)
        sender.ready()
        crowd = [sender.connect() for _ in range(120)]
        for sock in crowd[::2]:
            sock.sendall(b"POST /api HT")
        self.assertEqual(sender.hand_in()[1].status, 202)
        with sender.operator() as sock:
            sock.sendall(b"health\n")
            self.assertEqual(sock.recv(100), b"+OK ready\r\n")
        for sock in crowd:
            sock.close()

    def test_silent_callers_do_not_keep_others_out(self):
        silent = [self.sender.operator() for _ in range(60)]
        for sock in silent[::2]:
            sock.sendall(b"hea")
        started_at = time.monotonic()
        self.assertEqual(self.call(b"health\n"), "+OK ready\r\n")
        self.assertLess(time.monotonic() - started_at, PATIENCE / 2)
        for sock in silent:  # each was closed at its timeout or to make room for another
            try:
                self.assertEqual(sock.recv(100), b"")
            except ConnectionResetError:
                pass  # closed while its bytes were unread
            sock.close()

    def test_an_unusable_address_is_one_line_and_exit_2(self):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            for address in (f"127.0.0.1:{taken.getsockname()[1]}", "nowhere"):
                sender = Sender(self.discovery, env={"LB_MANAGEMENT": address})
                self.addCleanup(sender.close)
                self.assertEqual(sender.process.wait(PATIENCE), 2)
                until(lambda sender=sender: sender.lines)
                lines = [line for line in sender.lines if "starting: waits for" not in line]
                self.assertEqual(len(lines), 1, sender.lines)
                self.assertIn("cannot start" if address != "nowhere" else "management address", lines[0])
                # An address in use may become free, so the sender retries; an invalid one never will.
                self.assertEqual(len(sender.lines) > 1, address != "nowhere")
