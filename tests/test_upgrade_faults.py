"""What becomes of requests, calls and the folder when a hand-over goes wrong at one of its steps."""

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
    """Both ends of a TCP connection: a client's and a server's."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        theirs = socket.create_connection(server.getsockname(), PATIENCE)
        ours, _ = server.accept()
    theirs.settimeout(PATIENCE)
    return theirs, ours


class Rig:
    """A client side whose owner answers each hand-in with `verdict`, in this process."""

    def __init__(self, verdict=Verdict.MOVED):
        self.clock, self.lifecycle = Clock(), SharedLifecycle()
        self.log = Log(self.clock, "t0", stream=open(os.devnull, "w", encoding="utf-8"))  # noqa: SIM115
        self.lifecycle.tell(Event.LISTED, self.clock.now())
        self.verdict = verdict
        self.client_side = ClientSide(CONFIG, self.clock, self.log, self, self, start, self.lifecycle)

    def post(self, item):
        """The owner's queue."""
        if isinstance(item, HandIn):
            item.pending.claim()
            item.pending.settle(Answer(self.verdict))

    def keep(self, taken, patience, last=False):
        """The body store's: all bodies stay in memory."""
        return taken

    def close(self):
        self.client_side.listener.close()
        self.log.stream.close()


@pytest.fixture
def rig():
    made = Rig()
    yield made
    made.close()


def link_to(rig, sock):
    """The new process's side of a link."""
    return PredecessorLink(ReceivedHandover(Link(sock), None, None, []), rig.log, rig, None, rig.client_side)


def predecessor_of(rig, folder, lifecycle, decision_loop, endpoint_side=None):
    """The old process's side, with parts that are made up."""
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
    """The head of the answer and whether the connection ended behind it."""
    parser = http.Parser(answer=True)
    while (found := parser.next()) is None:
        assert not parser.eof, "the connection ended without an answer"
        parser.feed(sock.recv(65536))
    return found[0]


def test_a_request_that_nobody_takes_is_answered_503_with_a_close(rig):
    """The other process is gone, or does not read: whoever has read a request owes it an answer."""
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
    """Evidence 1: adopted in one upgrade and passed on in the next, it was shut down at its next request."""
    taken = []
    rig.client_side.redirect(lambda sock, *_: bool(taken.append(sock.dup())) or True)
    theirs, ours = pair()
    assert rig.client_side.adopt(ours, b"", None, 1)
    until(lambda: any(client.stage is Stage.IDLE for client in rig.client_side._clients) or taken)
    rig.client_side.pass_on_idle()
    until(lambda: taken)
    theirs.sendall(request())  # wakes the thread that had it
    until(lambda: not rig.client_side._clients)
    taken[0].sendall(http.write_answer(202))
    assert answer_of(theirs).status == 202
    theirs.close()
    taken[0].close()


class Standstill:
    """An owner that hands over and, once it is decided, deals with what had come in meanwhile."""

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


def test_what_is_let_go_by_the_owner_has_where_to_go(rig, tmp_path, monkeypatch):
    """Evidence 2: the owner answered `moved` before the client side was told where connections go."""
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    decision_loop, endpoint_side = (
        Standstill(),
        type(
            "EndpointSide",
            (),
            {
                "lend": lambda self, most: [],
                "waits": {},
                "leave": lambda self: None,
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
    other.send(Kind.TOOK, LOCK_WANTED)
    before = decision_loop.forward
    assert predecessor._handle_request(Link(ours))
    until(lambda: decision_loop.seen)
    ((forward, elsewhere),) = decision_loop.seen
    assert forward is not before and elsewhere is not None
    assert other.receive(PATIENCE_SPAN).kind is Kind.STATE
    given = other.receive(PATIENCE_SPAN)
    assert given.kind is Kind.HANDED_OVER and len(given.fds) == 1
    theirs.close()


PATIENCE_SPAN = passing.ADOPT_TIMEOUT
PAST_LAST_REQUESTS = 3.2  # s after SIGTERM: clients have been let go by then


def test_a_frame_that_cannot_be_written_whole_ends_the_link():
    """What came behind half a frame was read as its rest: a request that no client had sent."""
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
        assert other.receive(PATIENCE_SPAN).data == b"x" * 1000
    link.send(Kind.HANDED_OVER)
    assert other.receive(PATIENCE_SPAN).kind is Kind.HANDED_OVER
    link.close()
    theirs.close()


@pytest.mark.parametrize("number", sorted(wire.SHORTAGE_ERRORS - {errno.EINTR}))
def test_a_shortage_of_the_kernel_is_waited_out(number, monkeypatch):
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    link, tries, send_fds = Link(ours), [], socket.send_fds

    def short(*arguments):
        tries.append(1)
        if len(tries) < 3:
            raise OSError(number, "short")
        return send_fds(*arguments)

    monkeypatch.setattr(socket, "send_fds", short)
    link.send(Kind.CLIENT, b"a", (ours.fileno(),))
    frame = Link(theirs).receive(PATIENCE_SPAN)
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
        Successor._read(None, Frame(Kind.PLAIN, b"", (), truncated=True))


def test_a_client_that_cannot_be_taken_is_answered_by_who_has_read_its_request(rig):
    """The new process has no descriptor or no thread left: it says so, and nothing is shut there."""
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    passes = ClientPassing(Link(ours), rig.clock, rig.log)
    predecessor_link = link_to(rig, theirs)
    client, server = pair()
    found = []
    start("pass", lambda: found.append(passes.pass_on(server, request(), None, 0)))
    frame = predecessor_link.link.receive(PATIENCE_SPAN)
    for descriptor in frame.fds:
        os.close(descriptor)
    predecessor_link._adopt(Frame(frame.kind, frame.data, (), truncated=True))
    said = passes.link.receive(PATIENCE_SPAN)
    assert said.kind is Kind.NOT_ADOPTED
    passes.answered(wire_number(said), False)
    until(lambda: found)
    assert found == [False]
    rig.client_side.start = no_thread
    start("pass", lambda: found.append(passes.pass_on(server, request(), None, 0)))
    predecessor_link._adopt(predecessor_link.link.receive(PATIENCE_SPAN))
    said = passes.link.receive(PATIENCE_SPAN)
    assert said.kind is Kind.NOT_ADOPTED
    passes.answered(wire_number(said), False)
    until(lambda: len(found) == 2)
    server.sendall(http.write_answer(503))  # the connection is whole
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
    passes = ClientPassing(Link(ours), rig.clock, rig.log)
    client, server = pair()
    found = []
    start("pass", lambda: found.append(passes.pass_on(server, request(), None, 0)))
    until(lambda: passes._pending)
    theirs.close()  # with the frame in it
    passes.end()
    until(lambda: found)
    assert found == [False] and not passes.pass_on(server, request(), None, 0)
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


class Chains:
    """A sender, its endpoint, and all processes that were upgraded away."""

    def __init__(self):
        self.host = Host()
        self.discovery = Discovery([self.host])
        self.sender = Sender(self.discovery, env={"LB_MANAGEMENT": "127.0.0.1:0"})
        self.sender.ready()
        self.old = []

    def out(self, cls):
        self.host.held.clear()
        ref, head = self.sender.hand_in(cls)
        assert head.status == 202
        until(lambda: ref in self.host.refs())
        return ref

    def upgrade(self):
        old, said = self.sender.upgrade()
        self.old.append((old, said))
        self.sender.ready()
        return old, said

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
    made = Chains()
    yield made
    made.close()


def test_a_call_that_is_out_two_processes_back_is_heard_of(chain):
    """The middle process dropped what the first one told: the call counted as broken, and was ended or made
    again."""
    fee, status = chain.out("fee"), chain.out("status")
    first, _ = chain.upgrade()
    second, said = chain.upgrade()
    assert any("2 calls out in the process before" in line for line in chain.sender.lines)
    assert (first.poll(), second.poll()) == (None, None)
    chain.host.held.set()
    chain.sender.settled()
    assert (first.wait(PATIENCE), second.wait(PATIENCE)) == (0, 0)
    assert (chain.host.refs().count(fee), chain.host.refs().count(status)) == (1, 1)
    assert chain.discovery.notices == []


def test_a_call_two_processes_back_is_called_off_there(chain):
    """At its deadline the call is not waited for any more, whoever has it out."""
    chain.host.held.clear()
    ref, head = chain.sender.hand_in("status", left=2500)
    assert head.status == 202
    until(lambda: ref in chain.host.refs())
    first, _ = chain.upgrade()
    chain.upgrade()
    until(lambda: any(n["message"] == ref for n in chain.discovery.notices))
    assert first.wait(PATIENCE) == 0  # its call has ended, and nothing else keeps it


def test_the_old_process_ends_with_the_new_one_that_dies(chain):
    """Its calls' ends could be told to nobody, and the next process may make them again."""
    chain.out("status")
    first, _ = chain.upgrade()
    chain.sender.process.kill()
    assert first.wait(2.0) == 0


def test_two_processes_that_ask_at_the_same_time_follow_one_another(chain):
    """The lock was free for a moment between two processes: the third took it, and found the address used."""
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
    found = [line for _, said in chain.old for line in said if "start: listening on" in line]
    return int(found[-1].split("listening on ")[1].split(",")[0].rsplit(":", 1)[1])


def test_a_stop_that_comes_while_all_is_given_loses_no_call(chain):
    """SIGTERM in the middle of a hand-over: the process ends as one that has given everything away."""
    fee = chain.out("fee")
    old, said = chain.sender.upgrade_unready()
    chain.old.append((old, said))
    until(lambda: any("handing over to another process" in line for line in said))
    old.send_signal(signal.SIGTERM)
    until(lambda: chain.sender.port)
    chain.sender.ready()
    time.sleep(PAST_LAST_REQUESTS)  # a stopping process would have closed its side by then
    assert old.poll() is None
    chain.host.held.set()
    assert old.wait(PATIENCE) == 0
    chain.sender.settled()
    assert any("ended after the hand-over" in line for line in said)
    assert (chain.host.refs().count(fee), chain.discovery.notices) == (1, [])


def test_no_hand_over_begins_once_a_stop_is_under_way():
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


def test_who_asks_while_all_goes_to_another_is_refused_at_once(chain):
    """It waited in the old process's backlog for as long as that had calls out, and was late to be ready."""
    chain.out("status")
    link = ask(chain)
    late = ask(chain)  # in the backlog: one is dealt with after the other
    assert link.receive(PATIENCE_SPAN).kind is Kind.STATE
    link.send(Kind.TOOK)
    assert link.receive(PATIENCE_SPAN).kind is Kind.HANDED_OVER
    began = time.monotonic()
    with pytest.raises(ConnectionResetError):
        late.receive(PATIENCE_SPAN)
    assert time.monotonic() - began < 1.0 and chain.sender.process.poll() is None
    link.close()


def ask(chain):
    sock = socket.socket(socket.AF_UNIX)
    sock.connect(str(chain.sender.state / "handover"))
    link = Link(sock)
    link.send(Kind.HELLO, version())
    return link


def test_a_call_off_goes_on_to_the_process_that_has_the_call(rig, tmp_path):
    import msgspec

    class Recorder:
        def __init__(self):
            self.calls = []

        def cancel_by_id(self, *call):
            self.calls.append(call)

        cancel_remote = cancel_by_id

    decision_loop, endpoint_side = Recorder(), Recorder()
    predecessor = predecessor_of(rig, tmp_path, rig.lifecycle, decision_loop, endpoint_side)
    predecessor._handle_frame(Frame(Kind.CALL_OFF, msgspec.msgpack.encode(["m1", 3])))
    assert decision_loop.calls == endpoint_side.calls == [("m1", 3)]


def connected(path):
    """A connection to a process that listens there; None while it does not: the path is there before that."""
    sock = socket.socket(socket.AF_UNIX)
    try:
        sock.connect(str(path))
    except OSError:
        sock.close()
        return None
    return sock


def test_a_process_that_could_not_be_asked_at_first_can_be_asked_later(rig, tmp_path, monkeypatch):
    """One failure at its start left it without any upgrade for good."""
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
        assert link.receive(PATIENCE_SPAN).kind is Kind.NOT_NOW  # it is not ready


def test_a_sender_with_a_control_socket_can_be_upgraded_and_shows_its_counters(tmp_path):
    """The new process found the socket used by the old one, and did not start."""
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


def test_the_end_of_a_process_tells_what_was_counted(chain):
    """More lines of one sort than the log passes were told of by nothing."""
    sock = chain.sender.connect()
    for _ in range(12):
        chain.sender.exchange(chain.sender.request("GET", "/nowhere"))
    old, said = chain.upgrade()
    assert old.wait(PATIENCE) == 0
    until(lambda: any("log line (bad) 12" in line for line in said))
    sock.close()


def test_the_middle_of_three_processes_stays_for_what_the_first_passes_on(chain):
    """It ended with a connection of the first one in hand: that one answered 503 to a request that the third
    had accepted (soak, seed 108)."""
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
    """The old process is stopped with a call out: its message and its key wait for the call's time alone."""
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


def test_a_log_that_nobody_reads_holds_nothing_up():
    """A write to a full pipe waits for good, with the lock that every thread's line needs."""
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
    """With no time left an interrupted poll gives nothing: the line with the operators' address was lost
    (soak, seed 304)."""

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


def test_a_head_that_grew_as_it_was_written_again_is_read_by_the_next_process():
    made = Rig(Verdict.ACCEPTED)
    theirs, ours = pair()
    size = http.MAX_HEAD_BYTES - len(request().split(b"\r\n\r\n")[0]) + 20
    grown = request(more=[("X-Filler", "v" * size)])
    assert made.client_side.adopt(ours, grown, None, 1)
    assert answer_of(theirs).status == 202
    theirs.close()
    made.close()


def test_a_configuration_that_changes_while_a_process_takes_over_holds_in_it(chain):
    """Its own reading was older, and the reload that the old process was told of was lost."""
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


def test_a_link_outlasts_a_wait_and_a_read_that_fail_for_a_moment(monkeypatch):
    """ENOMEM in a wait for room on the link ended it, with all connections on their way (soak, seed 327)."""
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
    assert link.receive(PATIENCE_SPAN).kind is Kind.HANDED_OVER and len(reads) == 3
    link.close()
    theirs.close()


def test_a_connection_that_came_with_a_request_is_never_passed_on_without_it(rig):
    """Between two upgrades: adopted, and its thread not begun yet, it was passed on as one that rests."""
    begun, passed = [], []
    rig.client_side.start = lambda name, work: begun.append(work)
    theirs, ours = pair()
    assert rig.client_side.adopt(ours, request("7"), None, 1)
    rig.client_side.redirect(lambda sock, data, *_: bool(passed.append(data)) or True)
    assert rig.client_side.pass_on_idle() == 0
    begun[0]()
    assert len(passed) == 1 and b"request-id: 7" in passed[0]
    theirs.close()


class DiesBeforeItsAnswer(Link):
    """The new process's end of a link: it ends in the moment in which it would say that it has a client."""

    def send(self, kind, data=b"", fds=(), patience=wire.BEGIN_TIMEOUT):
        if kind is Kind.ADOPTED:
            self.sock.shutdown(socket.SHUT_RDWR)
            raise BrokenPipeError(errno.EPIPE, "the process is gone")
        super().send(kind, data, fds, patience)


def test_a_request_that_the_old_process_answers_503_was_not_begun_by_the_new_one(rig):
    """A client was told 503, that its message had not been accepted, and the message was sent all the same.

    In an upgrade the old process passes a client on with the request that it has read, and answers 503 itself
    where the new one does not say that it has it. The new process began to serve the client first and said
    so afterwards. Where it ended in between (killed, or the middle one of three), the message was in the
    journal or with a process after it, while the old one saw the end of the link alone and took the client
    for not passed on: "the other process did not take its request, answered 503". Here the new process's
    owner has the message in each play, and the old one is told to answer 503.
    """
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    passes = ClientPassing(Link(ours), rig.clock, rig.log)
    successor = Rig(Verdict.ACCEPTED)
    handed = []
    successor.client_side.decision_loop = SimpleNamespace(
        post=lambda item: (handed.append(item), successor.post(item))
    )
    link = ReceivedHandover(DiesBeforeItsAnswer(theirs), None, None, [])
    predecessor_link = PredecessorLink(link, rig.log, successor, None, successor.client_side)
    client, server = pair()
    found = []
    start("pass", lambda: found.append(passes.pass_on(server, request(), None, 0)))
    predecessor_link._adopt(predecessor_link.link.receive(PATIENCE_SPAN))
    assert passes.link.receive(PATIENCE_SPAN) is None
    passes.end()
    until(lambda: found and not successor.client_side._clients)
    assert found == [False]  # so the old process answers 503
    assert not handed
    server.sendall(http.write_answer(503))  # the connection is whole
    assert answer_of(client).status == 503
    for sock in (ours, theirs, client, server):
        sock.close()
    successor.close()


def test_a_link_that_fails_for_the_old_process_tells_nothing_of_what_the_new_one_serves(rig, tmp_path):
    """An error on the link is no end of the other process: it may serve what it has confirmed unheard.

    The old process took any error for the other one's end, and answered 503 for the clients on their way.
    What was confirmed before is read all the same; where even that fails, the client is left to the other.
    """
    for readable in (True, False):
        ours, theirs = socket.socketpair(socket.AF_UNIX)
        passes = ClientPassing(Link(ours), rig.clock, rig.log)
        client, server = pair()
        found = []
        start(
            "pass", lambda to=found, by=passes, sock=server: to.append(by.pass_on(sock, request(), None, 0))
        )
        other = Link(theirs)
        frame = other.receive(PATIENCE_SPAN)
        other.send(Kind.ADOPTED, wire_data(frame))
        if not readable:
            theirs.sendall(b"no frame of a hand-over" * 2)
        else:
            passes.link.receive = failing_once(passes.link.receive)
        predecessor = predecessor_of(rig, tmp_path, SharedLifecycle(), rig)
        predecessor._passing = passes if readable else Unheard(passes)
        predecessor._receive_until_end(passes.link)
        until(lambda to=found: to)
        assert found == [True], readable
        with pytest.raises(OSError):
            other.send(Kind.ADOPTED, wire_data(frame))  # nothing more can be confirmed
        for descriptor in frame.fds:
            os.close(descriptor)
        for sock in (ours, theirs, client, server):
            sock.close()


class Unheard:
    """Passing whose confirmations are lost on the way."""

    def __init__(self, passes):
        self.end = passes.end

    def answered(self, number, adopted):
        """Nothing is heard of it."""


def failing_once(receive):
    """As `receive`, but for an error at the first call."""
    failures = [OSError(errno.ENOBUFS, "no buffer space")]

    def receive_or_fail(patience):
        if failures:
            raise failures.pop()
        return receive(patience)

    return receive_or_fail


def wire_data(frame):
    import msgspec

    return msgspec.msgpack.encode(Adopted(msgspec.msgpack.decode(frame.data, type=Client).number))


class LeavesFirst:
    """A client's lock: who asks for it first finds that the client has just left, its socket closed."""

    def __init__(self, lock, leave):
        self.lock, self.leave = lock, leave

    def __enter__(self):
        leave, self.leave = self.leave, lambda: None
        leave()
        self.lock.acquire()

    def __exit__(self, *fault):
        self.lock.release()


def test_a_client_that_leaves_while_the_idle_ones_are_passed_on_leaves_the_link_good(rig):
    """A client was told 503, and its message was sent all the same (soak, seed 108, three upgrades deep).

    The old process passes its idle clients on. One of them ended just then, and its descriptor was closed: "a
    connection could not be passed on: [Errno 9] Bad file descriptor". That error ended the link of the two
    processes: "[Errno 32] the link to the other process is over", once for each client that was left. The
    one request on its way had been accepted by the new process; the old one took the end of the link for the
    end of that process, and answered 503 itself, 4 ms before "202 could not be written for 000020000000016c,
    withdrawn: [Errno 32] Broken pipe", and 19 ms before the message was called.
    """
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    passes, other = ClientPassing(Link(ours), rig.clock, rig.log), Link(theirs)
    (leaving, leaves), (staying, stays) = pair(), pair()
    assert rig.client_side.adopt(leaves, b"", None, 1)
    first = until(lambda: [c for c in rig.client_side._clients if c.stage is Stage.IDLE])[0]
    assert rig.client_side.adopt(stays, b"", None, 1)
    until(lambda: [c for c in rig.client_side._clients if c is not first and c.stage is Stage.IDLE])

    def leave():
        leaving.close()
        until(lambda: first not in rig.client_side._clients)

    first.lock = LeavesFirst(first.lock, leave)
    rig.client_side.redirect(passes.pass_on)
    rig.client_side.pass_on_idle()
    frame = other.receive(PATIENCE_SPAN)
    assert frame.kind is Kind.CLIENT and len(frame.fds) == 1
    assert not passes.link.broken
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
    frame = Link(theirs).receive(PATIENCE_SPAN)
    assert frame.data == b"b" and len(frame.fds) == 1
    os.close(frame.fds[0])
    link.close()
    theirs.close()
