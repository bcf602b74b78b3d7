"""A second process takes over under load: real processes, and a peer that dies or hangs at each step."""

import shutil
import signal
import socket
import tempfile
import threading
import time
import unittest
from pathlib import Path

import pytest
from harness import PATIENCE, ROOT, Discovery, Host, Sender, until

from willownotch.handover import pickled
from willownotch.handover.lock import FolderLock
from willownotch.handover.version import version
from willownotch.handover.wire import HEAD, MAGIC, BadFrameError, Frame, Frames, Kind, Link
from willownotch.net import http


class Upgrades(unittest.TestCase):
    def setUp(self):
        self.host = Host()
        self.discovery = Discovery([self.host])
        self.sender = Sender(self.discovery, env={"LB_MANAGEMENT": "127.0.0.1:0"})
        for thing in (self.host, self.discovery, self.sender):
            self.addCleanup(thing.close)
        self.addCleanup(self.host.held.set)
        self.sender.ready()

    def upgrade(self, cwd=ROOT):
        """Start a new process and wait until it is ready; return the old one and its log lines.

        The old process is killed at the end of the test at the latest.
        """
        old, log_lines = self.sender.upgrade(cwd)
        self.addCleanup(old.stderr.close)
        self.addCleanup(old.wait)
        self.addCleanup(old.kill)
        self.sender.ready()
        return old, log_lines

    def call_in_progress(self, cls, **more):
        """Hand a message in and return its id once its call is in progress, unanswered."""
        self.host.held.clear()
        ref, head = self.sender.hand_in(cls, **more)
        self.assertEqual(head.status, 202)
        until(lambda: ref in self.host.refs())
        return ref

    def ask(self, hello):
        """Connect as a process that asks the sender for its state; return the link."""
        sock = socket.socket(socket.AF_UNIX)
        self.addCleanup(sock.close)
        sock.connect(str(self.sender.state / "handover"))
        link = Link(sock)
        link.send(Kind.HELLO, hello)
        return link

    def check_delivery(self):
        ref, head = self.sender.hand_in("fee")
        self.assertEqual(head.status, 202)
        until(lambda: ref in self.host.refs())

    def test_clients_and_calls_are_handed_over_and_no_call_is_made_twice(self):
        idle, half = self.sender.connect(), self.sender.connect()
        self.assertEqual(self.sender.exchange(self.sender.message(), idle).status, 202)
        self.sender.settled()
        whole = self.sender.message("order")
        half.sendall(whole[:60])
        fee = self.call_in_progress("fee", key="k")
        next_fee, _ = self.sender.hand_in("fee", key="k")
        old, log_lines = self.upgrade()
        self.assertTrue(any("1 calls out in the process before" in line for line in self.sender.lines))
        self.assertEqual(self.sender.exchange(self.sender.message(), idle).status, 202)
        self.assertEqual(self.sender.exchange(whole[60:], half).status, 202)
        self.assertIsNone(old.poll())  # its call is in progress
        self.assertNotIn(next_fee, self.host.refs())  # it waits for the earlier message of its key
        self.host.held.set()
        until(lambda: next_fee in self.host.refs())
        self.sender.settled()
        self.assertEqual(old.wait(PATIENCE), 0)  # without being stopped
        self.assertEqual((self.host.refs().count(fee), self.discovery.notices), (1, []))
        self.assertEqual(self.sender.exchange(self.sender.message(), idle).status, 202)
        self.assertEqual(len(set(self.host.refs())), len(self.host.refs()))
        next_old, _ = self.upgrade()  # a second upgrade
        self.assertEqual(next_old.wait(PATIENCE), 0)
        self.assertEqual(self.sender.exchange(self.sender.message(), idle).status, 202)

    def test_clients_under_constant_load_notice_nothing(self):
        """Two clients reuse one connection each, and one opens a connection for each request."""
        stop, failed, done = threading.Event(), [], []

        def keep_alive():
            with self.sender.connect() as sock:
                while not stop.is_set():
                    exchange(sock)

        def reconnecting():
            while not stop.is_set():
                exchange(None)

        port, connect = self.sender.port, socket.create_connection

        def exchange(sock):
            if sock is None:
                with connect(("127.0.0.1", port), PATIENCE) as sock:
                    return exchange(sock)
            head = self.sender.exchange(self.sender.request("GET", "/health/ready"), sock)
            return (done if head.status == 200 else failed).append(head.status)

        def run(work):
            try:
                work()
            except OSError as fault:
                failed.append(fault)

        threads = [
            threading.Thread(target=run, args=(work,)) for work in (keep_alive, keep_alive, reconnecting)
        ]
        for thread in threads:
            thread.start()
        old, _ = self.upgrade()
        self.assertEqual(old.wait(PATIENCE), 0)
        count = len(done)
        until(lambda: len(done) > count + 50)
        stop.set()
        for thread in threads:
            thread.join()
        self.assertEqual(failed, [])

    def test_calls_of_an_old_process_that_dies_may_have_run(self):
        fee, status = self.call_in_progress("fee"), self.call_in_progress("status")
        old, _ = self.upgrade()
        old.kill()
        until(lambda: any(n["message"] == fee for n in self.discovery.notices))
        self.host.held.set()
        until(lambda: self.host.refs().count(status) == 2)
        self.sender.settled()
        ends = {n["message"]: n["outcome"] for n in self.discovery.notices}
        self.assertEqual((ends, self.host.refs().count(fee)), ({fee: "given_up"}, 1))

    def test_a_new_process_that_dies_leaves_all_in_the_journal(self):
        fee = self.call_in_progress("fee")
        self.upgrade()
        self.sender.restart()  # by SIGKILL, with the call still in progress in the old process
        until(lambda: any(n["message"] == fee for n in self.discovery.notices))
        self.host.held.set()
        self.check_delivery()
        self.assertEqual(self.host.refs().count(fee), 1)

    def test_a_peer_that_dies_or_hangs_at_any_step_takes_nothing(self):
        self.call_in_progress("status")
        for step in ("hello", "state", "torn"):
            with self.subTest(step=step):
                link = self.ask(version())
                if step != "hello":
                    self.assertIs(link.receive(None).kind, Kind.STATE)
                if step == "torn":
                    link.sock.sendall(HEAD.pack(MAGIC, Kind.STATE_READ, 0, 9) + b"half")
                link.close()
                until(lambda: "this one keeps serving" in "".join(self.sender.lines[-3:]))
                self.assertEqual(self.sender.hand_in()[1].status, 202)
        hung = self.ask(version())
        self.assertIs(hung.receive(None).kind, Kind.STATE)
        before = len(self.sender.lines)
        until(lambda: any("this one keeps serving" in line for line in self.sender.lines[before:]))
        self.host.held.set()
        self.check_delivery()

    def test_a_process_with_different_sources_starts_from_the_journal(self):
        with tempfile.TemporaryDirectory() as folder:
            shutil.copytree(
                ROOT / "willownotch",
                Path(folder) / "willownotch",
                ignore=shutil.ignore_patterns("__pycache__"),
            )
            with open(Path(folder) / "willownotch" / "state.py", "a", encoding="utf-8") as file:
                file.write("# another version\n")
            idle = self.sender.connect()
            self.assertEqual(self.sender.exchange(self.sender.message(), idle).status, 202)
            fee = self.call_in_progress("fee")
            releasing = threading.Timer(0.5, self.host.held.set)
            releasing.start()
            old, log_lines = self.upgrade(folder)
            self.assertTrue(any("which runs different sources" in line for line in log_lines), log_lines)
            self.assertTrue(any("recover: 0 messages owed" in line for line in self.sender.lines))
            self.assertEqual(self.sender.exchange(self.sender.message(), idle).status, 202)
            self.assertEqual(old.wait(PATIENCE), 0)
            self.assertEqual((self.host.refs().count(fee), self.discovery.notices), (1, []))

    def test_relays_resume_after_a_peer_with_different_sources_dies(self):
        link = self.ask(b"another")
        self.assertIs(link.receive(None).kind, Kind.LISTENER_ONLY)
        link.close()
        until(lambda: any("this one keeps serving" in line for line in self.sender.lines))
        self.check_delivery()

    def test_while_the_old_process_hangs_the_new_one_waits_and_takes_the_folder_at_its_end(self):
        status = self.call_in_progress("status")
        self.sender.process.send_signal(signal.SIGSTOP)
        old, _ = self.sender.upgrade_unready()
        self.addCleanup(old.stderr.close)
        until(lambda: self.sender.managed)
        with self.sender.operator() as sock:
            sock.sendall(b"health\n")
            self.assertEqual(sock.recv(100), b"-ERR starting\r\n")
        old.kill()
        old.wait(PATIENCE)
        until(lambda: self.sender.port)
        self.host.held.set()
        self.sender.ready()
        until(lambda: self.host.refs().count(status) == 2)


def test_an_address_in_use_is_reported_before_the_folder_is_touched():
    discovery = Discovery([])
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        sender = Sender(discovery, env={"LB_LISTEN": f"127.0.0.1:{occupied.getsockname()[1]}"})
        assert sender.process.wait(PATIENCE) == 2
        assert not (sender.state / "journal").exists()
        sender.close()
    discovery.close()


def test_the_lock_has_one_holder(tmp_path):
    one, two = FolderLock(tmp_path), FolderLock(tmp_path)
    assert one.take() and not two.take()
    one.release()
    assert two.take() and not one.take()


def test_frames_are_parsed_from_pieces_of_any_size_with_their_descriptors():
    data = HEAD.pack(MAGIC, Kind.CLIENT, 2, 3) + b"abc" + HEAD.pack(MAGIC, Kind.HANDED_OVER, 0, 0)
    for size in (1, 2, 7, len(data)):
        frames, found = Frames(), []
        for at in range(0, len(data), size):
            found += frames.feed(data[at : at + size], [8, 9] if at == 0 else [])
        assert found == [Frame(Kind.CLIENT, b"abc", (8, 9)), Frame(Kind.HANDED_OVER, b"")]
    for bad in (
        b"x" * HEAD.size,
        HEAD.pack(MAGIC, 99, 0, 0),
        HEAD.pack(MAGIC, Kind.CLIENT, 1, 0),
        HEAD.pack(MAGIC, Kind.STATE, 0, 1 << 31),
    ):
        with pytest.raises(BadFrameError):
            Frames().feed(bad, [])


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"junk",
        b"cos\nsystem\n(S'true'\ntR.",
        b"cwillownotch.net.http\nwrite_head\n.",
        b"\x80\x05N.",
    ],
)
def test_a_state_with_other_types_is_refused(data):
    with pytest.raises(ValueError):
        pickled.read(data)


def test_a_rewritten_request_is_equivalent():
    from willownotch.net.client_requests import rewrite_request

    for raw in (
        b"POST /api?thread=k HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nhi",
        b"GET /health/ready HTTP/1.0\r\nHost: a\r\n\r\n",
        b"POST /api HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
    ):
        one, two = http.Parser(answer=False), http.Parser(answer=False)
        one.feed(raw)
        head, body = one.next()
        two.feed(rewrite_request(head, body, b"GET /more HTTP/1.1\r\nHost: a\r\n\r\n"))
        passed, same = two.next()
        assert (passed.method, passed.target, same) == (head.method, head.target, body)
        assert passed.keeps_alive() == head.keeps_alive()
        assert passed.headers.get("request-id") == head.headers.get("request-id")
        assert two.next()[0].target == "/more"


def test_a_request_at_the_size_limit_of_a_head_can_be_passed_on():
    """Rewriting adds a space and a line, so the next process answered 431 to a request that was accepted."""
    from willownotch.net.client_requests import rewrite_request

    lines = b"".join(b"x%d:%s\r\n" % (n, b"v" * 157) for n in range(99))
    bare = b"POST /api HTTP/1.1\r\n" + lines + b"Transfer-Encoding:chunked\r\n"
    raw = bare + b"y" * 0 + b"\r\n2\r\nhi\r\n0\r\n\r\n"
    assert http.MAX_HEAD_BYTES - 300 < len(bare) < http.MAX_HEAD_BYTES
    one, two = http.Parser(answer=False), http.Parser(answer=False)
    one.feed(raw)
    head, body = one.next()
    two.slack = http.REWRITTEN_HEAD_SLACK_BYTES
    two.feed(rewrite_request(head, body, b""))
    passed, same = two.next()
    assert same == body == b"hi" and passed.headers["x98"] == "v" * 157
    plain = http.Parser(answer=False)
    plain.feed(rewrite_request(head, body, b""))
    with pytest.raises(http.BadMessageError):
        plain.next()


def test_a_connection_is_counted_until_the_other_process_has_it():
    """The old process exited after it had marked a connection as passed on and before it had passed it."""
    import json

    from harness import SETTINGS

    from willownotch.lifecycle import SharedLifecycle
    from willownotch.net.client_connections import Stage
    from willownotch.net.client_side import ClientSide
    from willownotch.net.clock import Clock
    from willownotch.net.config import read_config
    from willownotch.net.log import Log

    config = read_config(
        json.dumps(
            {"settings": SETTINGS, "listen": "127.0.0.1:0", "state": "s", "discovery": "127.0.0.1:1"}
        ).encode(),
        {},
    )
    clock = Clock()
    started, allow = threading.Event(), threading.Event()

    def pass_on(*_):
        started.set()
        return allow.wait(PATIENCE)

    client_side = ClientSide(
        config,
        clock,
        Log(clock),
        None,
        None,
        lambda name, work: threading.Thread(target=work, daemon=True).start(),
        SharedLifecycle(),
    )
    with socket.create_server(("127.0.0.1", 0)) as server:
        theirs = socket.create_connection(server.getsockname())
        ours, _ = server.accept()
    client_side.adopt(ours, b"", None, 1)
    until(lambda: any(client.stage is Stage.IDLE for client in client_side._clients))
    client_side.redirect(pass_on)
    passing = threading.Thread(target=client_side.pass_on_idle)
    passing.start()
    assert started.wait(PATIENCE) and client_side.connection_count() == 1
    allow.set()
    passing.join(PATIENCE)
    assert client_side.connection_count() == 0
    theirs.close()
    client_side.listener.close()


def test_the_clock_continues_that_of_the_old_process():
    from willownotch.net.clock import Clock

    one, two = Clock(), Clock()
    time.sleep(0.01)
    two.adopt(one.origin())
    assert abs((one.now() - two.now()).total_seconds()) < 0.005
