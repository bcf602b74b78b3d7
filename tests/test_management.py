"""Operators' calls: the lines as a table, and a real sender that is drained while clients go on."""

import signal
import socket
import time
import unittest

import pytest
from harness import PATIENCE, Discovery, Host, Sender, until

from willownotch.management.core import LINE_MOST, CallError, Line, answer


def refuse():
    raise CallError("starting")


CALLS = {"health": refuse, "quiesce": lambda: "quiescing"}
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
        (b"h" * (LINE_MOST + 1), b"-ERR the call is longer"),
        (b"h" * LINE_MOST, b"-ERR unknown call"),
    ],
)
def test_each_line_has_one_answer_of_one_line(line, start):
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
def test_a_line_may_come_in_pieces(pieces, ended, line):
    reader = Line()
    found = [reader.feed(piece, ended and n == len(pieces) - 1) for n, piece in enumerate(pieces)]
    assert found[-1] == line and not any(found[:-1])


class Draining(unittest.TestCase):
    def setUp(self):
        self.host = Host()
        self.discovery = Discovery([self.host])
        self.sender = Sender(self.discovery, env={"LB_MANAGEMENT": "127.0.0.1:0"})
        for thing in (self.host, self.discovery, self.sender):
            self.addCleanup(thing.close)
        self.sender.ready()

    def call(self, line, sock=None):
        with sock or self.sender.operator() as sock:
            sock.sendall(line)
            return b"".join(iter(lambda: sock.recv(4096), b"")).decode()

    def readiness(self):
        return self.sender.exchange(self.sender.request("GET", "/health/ready")).status

    def test_a_drain_answers_what_comes_ends_what_is_idle_and_can_be_called_off(self):
        idle, busy = self.sender.connect(), self.sender.connect()
        for sock in (idle, busy):
            self.assertEqual(self.sender.exchange(self.sender.message(), sock).status, 202)
        self.host.held.clear()
        owed, _ = self.sender.hand_in()
        self.assertEqual(self.call(b"health\r\n"), "+OK ready\r\n")
        self.assertTrue(self.call(b"quiesce\n").startswith("+OK quiesc"))
        self.assertEqual(self.readiness(), 503)
        self.assertEqual(self.call(b"health\n")[:4], "-ERR")
        head = self.sender.exchange(self.sender.message(), busy)  # one that had not heard of it
        self.assertEqual((head.status, head.headers.get("connection")), (202, "close"))
        self.assertEqual((busy.recv(1), idle.recv(1)), (b"", b""))  # ended, not reset
        until(lambda: self.call(b"health\n") == "-ERR quiesced\r\n")
        head = self.sender.hand_in()[1]
        self.assertEqual((head.status, "retry-after" in head.headers), (503, True))
        self.host.held.set()
        until(lambda: owed in self.host.refs())  # owed before: it goes on to its end
        self.sender.settled()
        self.assertEqual(self.call(b"resume\n"), "+OK ready\r\n")
        self.assertEqual((self.readiness(), self.sender.hand_in()[1].status), (200, 202))
        self.assertEqual([self.call(b"resume\n"), self.discovery.notices], ["+OK ready\r\n", []])

    def test_orders_and_signals_in_each_others_way(self):
        self.call(b"quiesce\n")
        self.sender.reload({}, "discovery stays")
        self.assertEqual(self.readiness(), 503)  # a reload ends no drain
        self.sender.process.send_signal(signal.SIGTERM)
        until(lambda: any("stop: SIGTERM" in line for line in self.sender.lines))
        self.assertEqual((self.call(b"health\n"), self.readiness()), ("-ERR stopping\r\n", 503))
        self.sender.reload({}, "discovery stays")
        self.assertEqual(self.call(b"resume\n"), "+OK stopping\r\n")
        self.assertEqual((self.readiness(), self.sender.hand_in()[1].status), (200, 202))

    def test_with_all_places_taken_messages_and_operators_are_answered(self):
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

    def test_callers_that_say_nothing_keep_nobody_out(self):
        silent = [self.sender.operator() for _ in range(60)]
        for sock in silent[::2]:
            sock.sendall(b"hea")
        began = time.monotonic()
        self.assertEqual(self.call(b"health\n"), "+OK ready\r\n")
        self.assertLess(time.monotonic() - began, PATIENCE / 2)
        for sock in silent:  # each of them is ended by a deadline or for the sake of others
            try:
                self.assertEqual(sock.recv(100), b"")
            except ConnectionResetError:
                pass  # ended with what it had said unread
            sock.close()

    def test_an_address_that_cannot_be_used_is_one_line_and_exit_2(self):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            for address in (f"127.0.0.1:{taken.getsockname()[1]}", "nowhere"):
                sender = Sender(self.discovery, env={"LB_MANAGEMENT": address})
                self.addCleanup(sender.close)
                self.assertEqual(sender.process.wait(PATIENCE), 2)
                until(lambda sender=sender: sender.lines)
                lines = [line for line in sender.lines if "starting: waits for" not in line]
                self.assertEqual(len(lines), 1, sender.lines)
                self.assertIn("cannot start" if address != "nowhere" else "management address", lines[0])
                # One that another program has may be free in a moment; what is none never will be.
                self.assertEqual(len(sender.lines) > 1, address != "nowhere")
