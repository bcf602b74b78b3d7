"""Requests, calls and the folder when a hand-over fails at one of its steps."""

import errno
import json
import os
import select
import signal
import socket
import subprocess
import sys
import threading
import time
from types import SimpleNamespace

import pytest
from harness import PATIENCE, ROOT, SETTINGS, Discovery, Host, Sender, until

from willownotch.handover import passing, wire
from willownotch.handover import predecessor as predecessor_module
from willownotch.handover.lock import FolderLock
from willownotch.handover.messages import Adopted, Client
from willownotch.handover.passing import ClientPassing
from willownotch.handover.predecessor import Predecessor
from willownotch.handover.successor import PredecessorLink, ReceivedHandover, Successor
from willownotch.handover.version import version
from willownotch.handover.wire import HEAD, LOCK_WANTED, MAGIC, BadFrameError, Frame, Frames, Kind, Link
from willownotch.lifecycle import Event, SharedLifecycle
from willownotch.net import http, sockets
from willownotch.net.client_connections import Stage
from willownotch.net.client_side import ClientSide
from willownotch.net.clock import Clock
from willownotch.net.config import read_config
from willownotch.net.events import Answer, HandIn, HandOver, Verdict
from willownotch.net.log import Log

CONFIG = read_config(
    json.dumps(
        {"settings": SETTINGS, "listen": "127.0.0.1:0", "state": "s", "discovery": "127.0.0.1:1"}
    ).encode(),
    {},
)


def start(name, work):
    threading.Thread(target=work, daemon=True).start()


def pair():
    """Return both ends of a TCP connection: the client's and the server's."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        theirs = socket.create_connection(server.getsockname(), PATIENCE)
        ours, _ = server.accept()
    theirs.settimeout(PATIENCE)
    return theirs, ours


class Rig:
    """A client side whose decision loop, in this process, answers each hand-in with `verdict`."""

    def __init__(self, verdict=Verdict.MOVED):
        self.clock, self.lifecycle = Clock(), SharedLifecycle()
        self.log = Log(self.clock, "t0", stream=open(os.devnull, "w", encoding="utf-8"))  # noqa: SIM115
        self.lifecycle.tell(Event.LISTED, self.clock.now())
        self.verdict = verdict
        self.client_side = ClientSide(CONFIG, self.clock, self.log, self, self, start, self.lifecycle)

    def post(self, item):
        """Act as the decision loop's queue."""
        if isinstance(item, HandIn):
            item.pending.claim()
            item.pending.settle(Answer(self.verdict))

    def keep(self, message, patience, last=False):
        """Act as a body store that leaves all bodies in memory."""
        return message

    def close(self):
        self.client_side.listener.close()
        self.log.stream.close()


@pytest.fixture
def rig():
    made = Rig()
    yield made
    made.close()


def link_to(rig, sock):
    """Return the new process's side of a link."""
    return PredecessorLink(ReceivedHandover(Link(sock), None, None), rig.log, rig, None, rig.client_side)


def predecessor_of(rig, folder, lifecycle, decision_loop, endpoint_side=None):
    """Return the old process's side, with the given stand-ins."""
    lock = FolderLock(folder)
    return Predecessor(
        folder,
        lock,
        rig.clock,
        rig.log,
        lifecycle,
        decision_loop,
        endpoint_side,
        rig.client_side,
        None,
        start,
    )


def request(ref="1", more=()):
    return http.write_request(
        "POST",
        "/api",
        "a",
        [
            ("Request-Id", ref),
            ("Request-Class", "status"),
            ("Tenant", "acme"),
            ("Request-Timeout-Ms", "800"),
            ("X-Consignee", "dest=7"),
            *more,
        ],
        b"hello",
    )


def answer_of(sock):
    """Return the head of the next answer."""
    parser = http.Parser(answer=True)
    while (found := parser.next()) is None:
        assert not parser.eof, "the connection ended without an answer"
        parser.feed(sock.recv(65536))
    return found[0]


def test_a_request_that_cannot_be_passed_on_is_answered_503_with_a_close(rig):
    """The other process is gone or does not read: the process that has read a request must answer it."""
    rig.client_side.redirect(lambda *_: False)
    theirs, ours = pair()
    assert rig.client_side.adopt(ours, b"", None, 1)
    theirs.sendall(request())
    head = answer_of(theirs)
    assert (head.status, head.keeps_alive()) == (503, False) and float(head.headers["retry-after"]) > 0
    assert theirs.recv(1) == b""
    theirs.close()
    until(lambda: not rig.client_side._clients)


def test_a_connection_that_is_passed_on_again_is_not_shut_by_who_had_it(rig):
    """A connection adopted in one upgrade and passed on in the next was shut down at its next request."""
    passed = []
    rig.client_side.redirect(lambda sock, *_: bool(passed.append(sock.dup())) or True)
    theirs, ours = pair()
    assert rig.client_side.adopt(ours, b"", None, 1)
    until(lambda: any(client.stage is Stage.IDLE for client in rig.client_side._clients) or passed)
    rig.client_side.pass_on_idle()
    until(lambda: passed)
    theirs.sendall(request())  # wakes the thread that served it
    until(lambda: not rig.client_side._clients)
    passed[0].sendall(http.write_answer(202))
    assert answer_of(theirs).status == 202
    theirs.close()
    passed[0].close()


class PausingLoop:
    """A decision loop that hands over and, once that is decided, notes where later events would go."""

    def __init__(self):
        self.forward = lambda item: self.dropped.append(item)
        self.dropped, self.seen = [], []
        self.client_side = None

    def post(self, order):
        assert isinstance(order, HandOver)
        start("owner", lambda: self._hand_over(order))

    def _hand_over(self, order):
        order.pending.claim()
        order.pending.settle(type("State", (), {"outstanding": []})())
        order.decided.get()
        self.seen.append((self.forward, self.client_side._redirect_to))


def test_forwarding_is_set_up_before_the_decision_loop_resumes(rig, tmp_path, monkeypatch):
    """The decision loop answered `moved` before the client side knew where to pass connections on."""
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    decision_loop, endpoint_side = (
        PausingLoop(),
        type(
            "EndpointSide",
            (),
            {
                "conditions": SimpleNamespace(waits={}),
                "calls_in_progress": lambda self: 0,
            },
        )(),
    )
    decision_loop.client_side = rig.client_side
    bodies = type("Bodies", (), {"freeze": lambda self: None, "thaw": lambda self, stop=False: None})()
    monkeypatch.setattr("willownotch.handover.pickled.write", lambda state: b"state")
    predecessor = Predecessor(
        tmp_path,
        FolderLock(tmp_path),
        rig.clock,
        rig.log,
        rig.lifecycle,
        decision_loop,
        endpoint_side,
        rig.client_side,
        bodies,
        start,
    )
    other = Link(theirs)
    other.send(Kind.HELLO, version())
    other.send(Kind.STATE_READ, LOCK_WANTED)
    before = decision_loop.forward
    assert predecessor._handle_request(Link(ours))
    until(lambda: decision_loop.seen)
    ((forward, redirect_to),) = decision_loop.seen
    assert forward is not before and redirect_to is not None
    assert other.receive(RECEIVE_TIMEOUT).kind is Kind.STATE
    given = other.receive(RECEIVE_TIMEOUT)
    assert given.kind is Kind.HANDED_OVER and len(given.fds) == 1
    theirs.close()


RECEIVE_TIMEOUT = passing.ADOPT_TIMEOUT
CLIENTS_CLOSED_BY_S = 3.2  # after SIGTERM: a stopping process has closed its client connections by then


def test_a_frame_that_cannot_be_written_whole_ends_the_link():
    """The bytes after a partial frame were read as its rest: a request that no client had sent."""
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    link = Link(ours)
    old, wire.FINISH_TIMEOUT = wire.FINISH_TIMEOUT, wire.RETRY_DELAY
    try:
        with pytest.raises(BrokenPipeError):
            link.send(Kind.CLIENT, b"x" * (4 << 20))
    finally:
        wire.FINISH_TIMEOUT = old
    with pytest.raises(BrokenPipeError):
        link.send(Kind.CLIENT, b"next")
    frames, theirs_data = Frames(), b""
    while data := theirs.recv(1 << 20):
        theirs_data += data
        assert frames.feed(data, []) == []
    assert len(theirs_data) < 4 << 20
    theirs.close()


def test_a_link_that_is_full_for_a_moment_stays_good():
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    link, sent = Link(ours), 0
    with pytest.raises(TimeoutError):
        while True:
            link.send(Kind.CLIENT, b"x" * 1000, patience=wire.RETRY_DELAY)
            sent += 1
    other = Link(theirs)
    for _ in range(sent):
        assert other.receive(RECEIVE_TIMEOUT).data == b"x" * 1000
    link.send(Kind.HANDED_OVER)
    assert other.receive(RECEIVE_TIMEOUT).kind is Kind.HANDED_OVER
    link.close()
    theirs.close()


@pytest.mark.parametrize("number", sorted(wire.SHORTAGE_ERRORS - {errno.EINTR}))
def test_a_kernel_shortage_is_waited_out(number, monkeypatch):
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    link, tries, send_fds = Link(ours), [], socket.send_fds

    def short(*arguments):
        tries.append(1)
        if len(tries) < 3:
            raise OSError(number, "short")
        return send_fds(*arguments)

    monkeypatch.setattr(socket, "send_fds", short)
    link.send(Kind.CLIENT, b"a", (ours.fileno(),))
    frame = Link(theirs).receive(RECEIVE_TIMEOUT)
    assert frame.data == b"a" and len(frame.fds) == 1
    os.close(frame.fds[0])
    link.close()
    theirs.close()


def test_descriptors_that_were_dropped_are_not_taken_from_the_next_frame():
    client = HEAD.pack(MAGIC, Kind.CLIENT, 1, 3) + b"abc"
    frames = Frames()
    assert frames.feed(client[:-1], [], truncated=True) == []
    assert frames.feed(client[-1:] + client, [7]) == [
        Frame(Kind.CLIENT, b"abc", (), truncated=True),
        Frame(Kind.CLIENT, b"abc", (7,)),
    ]
    state = HEAD.pack(MAGIC, Kind.STATE, 3, 0)
    assert Frames().feed(state, [4, 5], truncated=True) == [Frame(Kind.STATE, b"", (4, 5), truncated=True)]
    with pytest.raises(BadFrameError):
        Successor._read(None, Frame(Kind.LISTENER_ONLY, b"", (), truncated=True))


def test_a_client_that_cannot_be_taken_is_answered_by_the_process_that_read_its_request(rig):
    """The new process has no descriptor or thread left: it reports that and does not shut the connection."""
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    client_passing = ClientPassing(Link(ours), rig.clock, rig.log)
    predecessor_link = link_to(rig, theirs)
    client, server = pair()
    found = []
    start("pass", lambda: found.append(client_passing.pass_on(server, request(), None, 0)))
    frame = predecessor_link.link.receive(RECEIVE_TIMEOUT)
    for descriptor in frame.fds:
        os.close(descriptor)
    predecessor_link._adopt(Frame(frame.kind, frame.data, (), truncated=True))
    answer = client_passing.link.receive(RECEIVE_TIMEOUT)
    assert answer.kind is Kind.NOT_ADOPTED
    client_passing.answered(wire_number(answer), False)
    until(lambda: found)
    assert found == [False]
    rig.client_side.start = no_thread
    start("pass", lambda: found.append(client_passing.pass_on(server, request(), None, 0)))
    predecessor_link._adopt(predecessor_link.link.receive(RECEIVE_TIMEOUT))
    answer = client_passing.link.receive(RECEIVE_TIMEOUT)
    assert answer.kind is Kind.NOT_ADOPTED
    client_passing.answered(wire_number(answer), False)
    until(lambda: len(found) == 2)
    server.sendall(http.write_answer(503))  # the connection is still usable
    assert found == [False, False] and answer_of(client).status == 503
    for sock in (ours, theirs, client, server):
        sock.close()


def no_thread(name, work):
    raise RuntimeError("can't start new thread")


def wire_number(frame):
    import msgspec

    return msgspec.msgpack.decode(frame.data, type=Adopted).number


def test_a_new_process_that_dies_with_connections_on_their_way_leaves_them_here(rig):
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    client_passing = ClientPassing(Link(ours), rig.clock, rig.log)
    client, server = pair()
    found = []
    start("pass", lambda: found.append(client_passing.pass_on(server, request(), None, 0)))
    until(lambda: client_passing._pending)
    theirs.close()  # with the frame in it
    client_passing.end()
    until(lambda: found)
    assert found == [False] and not client_passing.pass_on(server, request(), None, 0)
    client.close()
    server.close()
    ours.close()


def test_an_older_version_waits_for_no_answer(rig):
    import msgspec

    ours, theirs = socket.socketpair(socket.AF_UNIX)
    predecessor_link = link_to(rig, theirs)
    client, server = pair()
    old = msgspec.msgpack.encode([b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n", None, 0])
    predecessor_link._adopt(Frame(Kind.CLIENT, old, (server.detach(),)))
    assert answer_of(client).status == 200
    ours.setblocking(False)
    with pytest.raises(BlockingIOError):
        ours.recv(1)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(Client(b"", None, 2, 9)), type=Client).number == 9
    for sock in (ours, theirs, client):
        sock.close()


def test_the_lock_goes_over_without_a_moment_in_which_a_third_process_could_have_it(tmp_path):
    one, two, three = (FolderLock(tmp_path) for _ in range(3))
    assert one.take()
    two.adopt(os.dup(one.fileno()))
    assert not three.take()
    one.leave()
    assert not three.take() and two.take()
    two.leave()
    assert three.take()


class UpgradeChain:
    """A sender, its endpoint, and all old processes of its upgrades."""

    def __init__(self):
        self.host = Host()
        self.discovery = Discovery([self.host])
        self.sender = Sender(self.discovery, env={"LB_MANAGEMENT": "127.0.0.1:0"})
        self.sender.ready()
        self.old = []

    def call_in_progress(self, cls):
        self.host.held.clear()
        ref, head = self.sender.hand_in(cls)
        assert head.status == 202
        until(lambda: ref in self.host.refs())
        return ref

    def upgrade(self):
        old, log_lines = self.sender.upgrade()
        self.old.append((old, log_lines))
        self.sender.ready()
        return old, log_lines

    def close(self):
        self.host.held.set()
        for old, _ in self.old:
            old.kill()
            old.wait(PATIENCE)
            old.stderr.close()
        for thing in (self.sender, self.discovery, self.host):
            thing.close()


@pytest.fixture
def chain():
    made = UpgradeChain()
    yield made
    made.close()


def test_the_result_of_a_call_two_processes_back_is_received(chain):
    """The middle process dropped the first one's results: the call counted as failed, and its message was
    ended or sent again."""
    fee, status = chain.call_in_progress("fee"), chain.call_in_progress("status")
    first, _ = chain.upgrade()
    second, log_lines = chain.upgrade()
    assert any("2 calls out in the process before" in line for line in chain.sender.lines)
    assert (first.poll(), second.poll()) == (None, None)
    chain.host.held.set()
    chain.sender.settled()
    assert (first.wait(PATIENCE), second.wait(PATIENCE)) == (0, 0)
    assert (chain.host.refs().count(fee), chain.host.refs().count(status)) == (1, 1)
    assert chain.discovery.notices == []


def test_a_call_two_processes_back_is_cancelled_there(chain):
    """At its deadline a call is not awaited any more, whichever process made it."""
    chain.host.held.clear()
    ref, head = chain.sender.hand_in("status", left=2500)
    assert head.status == 202
    until(lambda: ref in chain.host.refs())
    first, _ = chain.upgrade()
    chain.upgrade()
    until(lambda: any(n["message"] == ref for n in chain.discovery.notices))
    assert first.wait(PATIENCE) == 0  # its call has ended, and it has no other work


def test_the_old_process_ends_with_the_new_one_that_dies(chain):
    """Nobody would receive the results of its calls, and the next process may make them again."""
    chain.call_in_progress("status")
    first, _ = chain.upgrade()
    chain.sender.process.kill()
    assert first.wait(2.0) == 0


def test_two_processes_that_ask_at_the_same_time_follow_one_another(chain):
    """The lock was free for a moment between two processes: a third took it and found the address in use."""
    idle = chain.sender.connect()
    assert chain.sender.exchange(chain.sender.message(), idle).status == 202
    first, one = chain.sender.process, chain.sender.upgrade_unready()
    second = chain.sender.process
    chain.old += [one, chain.sender.upgrade_unready()]
    until(lambda: first.poll() is not None)
    until(lambda: second.poll() is not None or chain.sender.process.poll() is not None)
    ended = {process: process.poll() for process in (first, second, chain.sender.process)}
    left = [process for process, code in ended.items() if code is None]
    assert len(left) == 1 and [code for code in ended.values() if code is not None] == [0, 0], ended
    chain.sender.port = chain.sender.port or json_port(chain)
    assert chain.sender.exchange(chain.sender.message(), idle).status == 202
    idle.close()


def json_port(chain):
    found = [line for _, log_lines in chain.old for line in log_lines if "start: listening on" in line]
    return int(found[-1].split("listening on ")[1].split(",")[0].rsplit(":", 1)[1])


def test_a_stop_that_comes_while_all_is_given_loses_no_call(chain):
    """After SIGTERM during a hand-over the process still waits for its calls, as after any hand-over."""
    fee = chain.call_in_progress("fee")
    old, log_lines = chain.sender.upgrade_unready()
    chain.old.append((old, log_lines))
    until(lambda: any("handing over to another process" in line for line in log_lines))
    old.send_signal(signal.SIGTERM)
    until(lambda: chain.sender.port)
    chain.sender.ready()
    time.sleep(CLIENTS_CLOSED_BY_S)  # a stopping process would have closed its side by then
    assert old.poll() is None
    chain.host.held.set()
    assert old.wait(PATIENCE) == 0
    chain.sender.settled()
    assert any("ended after the hand-over" in line for line in log_lines)
    assert (chain.host.refs().count(fee), chain.discovery.notices) == (1, [])


def test_no_hand_over_begins_during_a_stop():
    clock, lifecycle = Clock(), SharedLifecycle()
    lifecycle.tell(Event.LISTED, clock.now())
    lifecycle.tell(Event.STOP, clock.now())
    assert not lifecycle.tell(Event.HAND_OVER, clock.now()).handing_over and not lifecycle.wait_handed_over()


def test_a_stop_waits_until_a_hand_over_is_decided():
    clock, lifecycle, found = Clock(), SharedLifecycle(), []
    lifecycle.tell(Event.LISTED, clock.now())
    lifecycle.tell(Event.HAND_OVER, clock.now())
    lifecycle.tell(Event.STOP, clock.now())
    waiting = threading.Thread(target=lambda: found.append(lifecycle.wait_handed_over()))
    waiting.start()
    waiting.join(0.05)
    assert not found
    lifecycle.tell(Event.HANDED_OVER, clock.now())
    waiting.join(PATIENCE)
    assert found == [True]


def test_a_request_during_a_hand_over_to_another_process_is_refused_at_once(chain):
    """It waited in the old process's backlog until that had finished its calls, and was ready late."""
    chain.call_in_progress("status")
    link = ask(chain)
    late = ask(chain)  # in the backlog: requests are handled one after the other
    assert link.receive(RECEIVE_TIMEOUT).kind is Kind.STATE
    link.send(Kind.STATE_READ)
    assert link.receive(RECEIVE_TIMEOUT).kind is Kind.HANDED_OVER
    began = time.monotonic()
    with pytest.raises(ConnectionResetError):
        late.receive(RECEIVE_TIMEOUT)
    assert time.monotonic() - began < 1.0 and chain.sender.process.poll() is None
    link.close()


def ask(chain):
    sock = socket.socket(socket.AF_UNIX)
    sock.connect(str(chain.sender.state / "handover"))
    link = Link(sock)
    link.send(Kind.HELLO, version())
    return link


def test_a_cancellation_is_forwarded_to_the_process_that_makes_the_call(rig, tmp_path):
    import msgspec

    class Recorder:
        def __init__(self):
            self.calls = []

        def cancel_by_id(self, *call):
            self.calls.append(call)

        cancel_remote = cancel_by_id

    decision_loop, endpoint_side = Recorder(), Recorder()
    predecessor = predecessor_of(rig, tmp_path, rig.lifecycle, decision_loop, endpoint_side)
    predecessor._handle_frame(Frame(Kind.CANCEL, msgspec.msgpack.encode(["m1", 3])))
    assert decision_loop.calls == endpoint_side.calls == [("m1", 3)]


def connected(path):
    """Return a connection to the process that listens there; None until it does, though the path exists."""
    sock = socket.socket(socket.AF_UNIX)
    try:
        sock.connect(str(path))
    except OSError:
        sock.close()
        return None
    return sock


def test_the_hand_over_socket_is_opened_later_if_that_fails_at_first(rig, tmp_path, monkeypatch):
    """A single failure at its start made a process impossible to upgrade."""
    monkeypatch.setattr(predecessor_module, "LISTEN_RETRY_DELAY", wire.RETRY_DELAY)
    real, failures = os.open, []

    def failing(path, *arguments, **more):
        if str(path) == str(tmp_path) and len(failures) < 3:
            failures.append(path)
            raise OSError(errno.ENFILE, "no descriptor")
        return real(path, *arguments, **more)

    monkeypatch.setattr(os, "open", failing)
    predecessor = predecessor_of(rig, tmp_path, SharedLifecycle(), rig)
    start("upgrade", predecessor.run)
    with until(lambda: connected(tmp_path / "handover")) as sock:
        assert len(failures) == 3
        link = Link(sock)
        link.send(Kind.HELLO, version())
        assert link.receive(RECEIVE_TIMEOUT).kind is Kind.NOT_NOW  # it is not ready


def test_a_sender_with_a_control_socket_can_be_upgraded_and_shows_its_counters(tmp_path):
    """The new process found the control socket in use by the old one and did not start."""
    from willownotch.channel.client import ask as ask_control

    host = Host()
    discovery = Discovery([host])
    control = tmp_path / "control"
    sender = Sender(
        discovery, settings=f"control {{\n socket {control}\n}}\n", env={"LB_MANAGEMENT": "127.0.0.1:0"}
    )
    sender.ready()
    idle = sender.connect()
    assert sender.exchange(sender.message(), idle).status == 202
    old, _ = sender.upgrade()
    assert sender.process.poll() is None, sender.lines
    sender.ready()
    assert old.wait(PATIENCE) == 0
    sender.exchange(sender.request("GET", "/nowhere"))
    until(lambda: "connection closed" in ask_control(control, "counters", {})["counters"])
    found = ask_control(control, "counters", {})
    assert found["process"] == sender.process.pid and found["counters"]["log line"]["bad"] == 1
    with sender.operator() as caller:
        caller.sendall(b"counters\n")
        assert caller.recv(10_000).startswith(b"+OK process %d: " % sender.process.pid)
    idle.close()
    old.stderr.close()
    for thing in (sender, discovery, host):
        thing.close()


def test_the_last_log_line_of_a_process_has_its_counters(chain):
    """Log lines that were suppressed as too frequent were not reported anywhere."""
    sock = chain.sender.connect()
    for _ in range(12):
        chain.sender.exchange(chain.sender.request("GET", "/nowhere"))
    old, log_lines = chain.upgrade()
    assert old.wait(PATIENCE) == 0
    until(lambda: any("log line (bad) 12" in line for line in log_lines))
    sock.close()


def test_the_middle_of_three_processes_stays_for_what_the_first_passes_on(chain):
    """It exited with a connection of the first process in transit: the first one answered 503 to a request
    that the third had accepted (soak, seed 108)."""
    half = chain.sender.connect()
    data = chain.sender.message("status")
    half.sendall(data[:60])
    first, _ = chain.upgrade()
    second, _ = chain.upgrade()
    assert (first.poll(), second.poll()) == (None, None)
    assert chain.sender.exchange(data[60:], half).status == 202
    assert (first.wait(PATIENCE), second.wait(PATIENCE)) == (0, 0)
    half.close()


def test_a_call_whose_process_is_held_up_is_waited_for_no_longer_than_its_time(chain):
    """The old process is stopped during a call: the message and its key wait only for the call's time."""
    chain.host.held.clear()
    fee, head = chain.sender.hand_in("fee", key="k", left=3000)
    assert head.status == 202
    until(lambda: fee in chain.host.refs())
    first, _ = chain.upgrade()
    first.send_signal(signal.SIGSTOP)
    try:
        until(lambda: any(n["message"] == fee for n in chain.discovery.notices))
        until(lambda: any("has not told the end of attempt" in line for line in chain.sender.lines))
        chain.host.held.set()
        after, head = chain.sender.hand_in("fee", key="k")
        assert head.status == 202
        until(lambda: after in chain.host.refs())
        assert chain.host.refs().count(fee) == 1
    finally:
        first.send_signal(signal.SIGCONT)


def test_a_log_that_nobody_reads_blocks_nothing():
    """A write to a full pipe blocks forever, holding the lock that every thread needs to log."""
    reading, writing = os.pipe()
    program = """
import sys
from willownotch.net.clock import Clock
from willownotch.net.log import Log
log = Log(Clock())
for n in range(2000):
    log.say(f"sort{n}", "x" * 100)
print(log.counters.snapshot()["log line lost"]["nobody reads them"])
"""
    done = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        stderr=writing,
        stdout=subprocess.PIPE,
        timeout=PATIENCE,
        check=True,
    )
    assert int(done.stdout) > 500
    for descriptor in (reading, writing):
        os.close(descriptor)


def test_an_interrupted_poll_is_not_taken_for_a_full_pipe_or_a_silent_client(monkeypatch):
    """An interrupted poll with no time left returns nothing: the log line with the operators' address was
    lost (soak, seed 304)."""

    class Interrupted:
        def __init__(self):
            self.calls = 0

        def poll(self, timeout_ms):
            self.calls += 1
            return [] if self.calls == 1 else [(2, select.POLLOUT)]

    log = Log(Clock())
    log._pipe = Interrupted()
    assert log._writable()
    assert sockets.wait(Interrupted(), 0) == [(2, select.POLLOUT)]


def test_a_head_that_grew_when_rewritten_is_read_by_the_next_process():
    made = Rig(Verdict.ACCEPTED)
    theirs, ours = pair()
    size = http.MAX_HEAD_BYTES - len(request().split(b"\r\n\r\n")[0]) + 20
    grown = request(more=[("X-Filler", "v" * size)])
    assert made.client_side.adopt(ours, grown, None, 1)
    assert answer_of(theirs).status == 202
    theirs.close()
    made.close()


def test_a_configuration_changed_during_a_hand_over_applies_in_the_new_process(chain):
    """The new process had read the old file, and the reload that the old process received was lost."""
    old = chain.sender.process
    old.send_signal(signal.SIGSTOP)
    chain.old.append(chain.sender.upgrade_unready())
    until(lambda: chain.sender.managed)  # it has read its configuration, and waits
    added = {**SETTINGS["services"][1], "name": "extra"}
    text = {
        **chain.sender.text,
        "settings": {**chain.sender.text["settings"], "services": [*SETTINGS["services"], added]},
    }
    chain.sender.config.write_text(json.dumps(text), encoding="utf-8")
    old.send_signal(signal.SIGCONT)
    until(lambda: chain.sender.port)
    chain.sender.ready()
    until(lambda: chain.sender.hand_in("extra")[1].status == 202)


def test_a_link_survives_a_wait_and_a_read_that_fail_for_a_moment(monkeypatch):
    """ENOMEM while waiting to write ended the link, with all connections in transit (soak, seed 327)."""
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    link, failures = Link(ours), []

    class Short:
        def register(self, *_):
            pass

        def poll(self, timeout_ms):
            failures.append(timeout_ms)
            if len(failures) < 3:
                raise OSError(errno.ENOMEM, "no memory")
            return [(1, select.POLLOUT)]

    monkeypatch.setattr(wire.select, "poll", Short)
    link._wait_writable(0.1)
    assert len(failures) == 3
    monkeypatch.undo()
    recv_fds, reads = socket.recv_fds, []

    def failing(*arguments):
        reads.append(1)
        if len(reads) < 3:
            raise OSError(errno.ENOBUFS, "no memory")
        return recv_fds(*arguments)

    monkeypatch.setattr(socket, "recv_fds", failing)
    Link(theirs).send(Kind.HANDED_OVER)
    assert link.receive(RECEIVE_TIMEOUT).kind is Kind.HANDED_OVER and len(reads) == 3
    link.close()
    theirs.close()


def test_a_connection_adopted_with_a_request_is_never_passed_on_without_it(rig):
    """Adopted in one upgrade, with its thread not running yet, it was passed on as idle in the next."""
    begun, passed = [], []
    rig.client_side.start = lambda name, work: begun.append(work)
    theirs, ours = pair()
    assert rig.client_side.adopt(ours, request("7"), None, 1)
    rig.client_side.redirect(lambda sock, data, *_: bool(passed.append(data)) or True)
    assert rig.client_side.pass_on_idle() == 0
    begun[0]()
    assert len(passed) == 1 and b"request-id: 7" in passed[0]
    theirs.close()


class EndsBeforeConfirming(Link):
    """The new process's end of a link, which ends just when it would confirm a client."""

    def send(self, kind, data=b"", fds=(), patience=wire.BEGIN_TIMEOUT):
        if kind is Kind.ADOPTED:
            self.sock.shutdown(socket.SHUT_RDWR)
            raise BrokenPipeError(errno.EPIPE, "the process is gone")
        super().send(kind, data, fds, patience)


def test_a_request_that_the_old_process_answers_503_was_not_begun_by_the_new_one(rig):
    """A client was answered 503, not accepted, and its message was sent all the same.

    The old process passes a client on with the request that it has read, and answers 503 itself if the new
    one does not confirm it. The new process served the client first and confirmed afterwards. If it ended in
    between (killed, or the middle one of three), the message was in the journal or with a later process,
    while the old one only saw the link end. Here the link ends when the new process confirms: the old one
    answers 503, so the new one must not have handed the message to its decision loop.
    """
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    client_passing = ClientPassing(Link(ours), rig.clock, rig.log)
    successor = Rig(Verdict.ACCEPTED)
    handed = []
    successor.client_side.decision_loop = SimpleNamespace(
        post=lambda item: (handed.append(item), successor.post(item))
    )
    link = ReceivedHandover(EndsBeforeConfirming(theirs), None, None)
    predecessor_link = PredecessorLink(link, rig.log, successor, None, successor.client_side)
    client, server = pair()
    found = []
    start("pass", lambda: found.append(client_passing.pass_on(server, request(), None, 0)))
    predecessor_link._adopt(predecessor_link.link.receive(RECEIVE_TIMEOUT))
    assert client_passing.link.receive(RECEIVE_TIMEOUT) is None
    client_passing.end()
    until(lambda: found and not successor.client_side._clients)
    assert found == [False]  # so the old process answers 503
    assert not handed
    server.sendall(http.write_answer(503))  # the connection is still usable
    assert answer_of(client).status == 503
    for sock in (ours, theirs, client, server):
        sock.close()
    successor.close()


def test_a_link_that_fails_for_the_old_process_tells_nothing_of_what_the_new_one_serves(rig, tmp_path):
    """After an error on the link the other process may still serve clients whose confirmation was not read.

    The old process took any error for the end of the other one, and answered 503 to the clients in transit.
    Confirmations sent before the error are still read; if that fails too, the clients are left to the other
    process.
    """
    for readable in (True, False):
        ours, theirs = socket.socketpair(socket.AF_UNIX)
        client_passing = ClientPassing(Link(ours), rig.clock, rig.log)
        client, server = pair()
        found = []
        start(
            "pass",
            lambda to=found, by=client_passing, sock=server: to.append(by.pass_on(sock, request(), None, 0)),
        )
        other = Link(theirs)
        frame = other.receive(RECEIVE_TIMEOUT)
        other.send(Kind.ADOPTED, wire_data(frame))
        if not readable:
            theirs.sendall(b"no frame of a hand-over" * 2)
        else:
            client_passing.link.receive = failing_once(client_passing.link.receive)
        predecessor = predecessor_of(rig, tmp_path, SharedLifecycle(), rig)
        predecessor._passing = client_passing if readable else LostConfirmations(client_passing)
        predecessor._receive_until_end(client_passing.link)
        until(lambda to=found: to)
        assert found == [True], readable
        with pytest.raises(OSError):
            other.send(Kind.ADOPTED, wire_data(frame))  # nothing more can be confirmed
        for descriptor in frame.fds:
            os.close(descriptor)
        for sock in (ours, theirs, client, server):
            sock.close()


class LostConfirmations:
    """A `ClientPassing` whose confirmations are lost in transit."""

    def __init__(self, client_passing):
        self.end = client_passing.end

    def answered(self, number, adopted):
        """Drop the confirmation."""


def failing_once(receive):
    """Return `receive` with an error at its first call."""
    failures = [OSError(errno.ENOBUFS, "no buffer space")]

    def receive_or_fail(patience):
        if failures:
            raise failures.pop()
        return receive(patience)

    return receive_or_fail


def wire_data(frame):
    import msgspec

    return msgspec.msgpack.encode(Adopted(msgspec.msgpack.decode(frame.data, type=Client).number))


class DisconnectFirst:
    """A client's lock. Before it is first acquired, the client disconnects and its socket is closed."""

    def __init__(self, lock, leave):
        self.lock, self.leave = lock, leave

    def __enter__(self):
        leave, self.leave = self.leave, lambda: None
        leave()
        self.lock.acquire()

    def __exit__(self, *fault):
        self.lock.release()


def test_a_client_that_leaves_while_the_idle_ones_are_passed_on_leaves_the_link_good(rig):
    """A client was answered 503, and its message was sent all the same (soak, seed 108, third upgrade).

    While the old process passed its idle clients on, one of them disconnected and its descriptor was closed.
    The resulting EBADF ended the link, and every remaining client failed with EPIPE. The one request in
    transit had been accepted by the new process; the old one took the end of the link for the end of that
    process and answered 503 itself, 4 ms before the new one failed to write its 202 and withdrew the message,
    and 19 ms before the call was made.
    """
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    client_passing, other = ClientPassing(Link(ours), rig.clock, rig.log), Link(theirs)
    (leaving, leaves), (staying, stays) = pair(), pair()
    assert rig.client_side.adopt(leaves, b"", None, 1)
    first = until(lambda: [c for c in rig.client_side._clients if c.stage is Stage.IDLE])[0]
    assert rig.client_side.adopt(stays, b"", None, 1)
    until(lambda: [c for c in rig.client_side._clients if c is not first and c.stage is Stage.IDLE])

    def leave():
        leaving.close()
        until(lambda: first not in rig.client_side._clients)

    first.lock = DisconnectFirst(first.lock, leave)
    rig.client_side.redirect(client_passing.pass_on)
    rig.client_side.pass_on_idle()
    frame = other.receive(RECEIVE_TIMEOUT)
    assert frame.kind is Kind.CLIENT and len(frame.fds) == 1
    assert not client_passing.link.broken
    for descriptor in frame.fds:
        os.close(descriptor)
    for sock in (ours, theirs, staying):
        sock.close()


def test_a_descriptor_that_cannot_be_passed_does_not_end_the_link():
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    link = Link(ours)
    with pytest.raises(OSError):
        link.send(Kind.CLIENT, b"a", (-1,))
    link.send(Kind.CLIENT, b"b", (ours.fileno(),))
    frame = Link(theirs).receive(RECEIVE_TIMEOUT)
    assert frame.data == b"b" and len(frame.fds) == 1
    os.close(frame.fds[0])
    link.close()
    theirs.close()
