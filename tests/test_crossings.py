"""Where two events cross, in the order that goes wrong: forced by a stand-in or at a seam, never waited for.

docs/crossings.md has a row for each. Connections are real; each test fails with its mend taken out.
"""

import errno
import json
import socket
import threading
from datetime import timedelta
from types import SimpleNamespace

import msgspec
import pytest
from harness import PATIENCE, SETTINGS, Discovery, Host, Sender, until

from willownotch.interface import Outcome
from willownotch.journal.records import AcceptedMessage, Entry, RelayStarted
from willownotch.lifecycle import Event, SharedLifecycle
from willownotch.net import client_side, http, registry, sockets
from willownotch.net import config as configs
from willownotch.net.client_connections import Client, Stage, StageQueues
from willownotch.net.client_side import ClientSide
from willownotch.net.clock import Clock
from willownotch.net.decision_loop import DecisionLoop, Delivery
from willownotch.net.endpoint_side import MAX_START_DELAY, EndpointSide, IdleConnection, Relay
from willownotch.net.events import Answer, HandIn, Verdict
from willownotch.net.log import Log
from willownotch.net.pending import PendingReply
from willownotch.net.registry import EndpointListWatcher, Notice, NoticeSender, Platform

REQUEST = http.write_request(
    "POST",
    "/api",
    "a",
    [
        ("Request-Id", "a1"),
        ("Request-Class", "status"),
        ("Tenant", "acme"),
        ("Request-Timeout-Ms", "900"),
        ("X-Consignee", "dest=7"),
    ],
    b"hello",
)
SPAN = timedelta(seconds=PATIENCE)


def config(**more):
    text = {"settings": SETTINGS, "listen": "127.0.0.1:0", "state": "s", "discovery": "127.0.0.1:1", **more}
    return configs.read_config(json.dumps(text).encode(), {})


def start(name, work, forever=False):
    threading.Thread(target=work, daemon=True, name=name).start()


def waiting(sock, size=1):
    """Wait until so many bytes have come on a connection and nobody has taken them off."""
    until(lambda: len(sock.recv(size, socket.MSG_PEEK | socket.MSG_DONTWAIT)) == size)


def rest(sock):
    """All that comes until the end; a reset is an error."""
    data = b""
    while more := sock.recv(65536):
        data += more
    return data


class Clients:
    """The client side alone. What it hands in is kept, and answered once a test says so."""

    def __init__(self):
        clock = Clock()
        self.handed, self.answer = [], threading.Event()
        self.answer.set()
        bodies = SimpleNamespace(keep=lambda taken, left, last=False: taken)
        self.client_side = ClientSide(config(), clock, Log(clock), self, bodies, start, SharedLifecycle())
        start("listener", self.client_side.run)

    def post(self, item):
        if isinstance(item, HandIn):
            assert item.pending.claim()
            self.handed.append(item)
            start(
                "owner", lambda: (self.answer.wait(PATIENCE), item.pending.settle(Answer(Verdict.ACCEPTED)))
            )

    def connect(self):
        """A connection, and what is known of it on the other side."""
        before = set(self.client_side._clients)
        sock = socket.create_connection(("127.0.0.1", self.client_side.port), PATIENCE)
        return sock, until(lambda: self.client_side._clients - before).pop()

    def resting(self):
        """One on which a request has been answered."""
        sock, client = self.connect()
        sock.sendall(REQUEST)
        assert b"202 Accepted" in sock.recv(65536)
        until(lambda: client.stage is Stage.IDLE)
        return sock, client


@pytest.fixture
def clients():
    found = Clients()
    yield found
    found.client_side.listener.close()


@pytest.mark.parametrize("cut", [False, True])
def test_a_request_that_crosses_the_end_of_a_resting_connection_is_not_taken(clients, monkeypatch, cut):
    """It was read after the end had been told, and sent on; its client had handed it in elsewhere by then."""
    sock, client = clients.resting()
    real = Client.waits

    def crossed(self):
        found = real(self)
        sock.sendall(REQUEST.replace(b"a1", b"a2"))  # after the last look, before the end
        return found

    monkeypatch.setattr(Client, "waits", crossed)
    ClientSide._end(client, cut=cut)
    until(lambda: client not in clients.client_side._clients)
    assert [item.message.ref for item in clients.handed] == ["a1"]
    sock.close()


def test_a_request_that_came_before_the_end_is_answered(clients, monkeypatch):
    """Ended over it, its client would have to hand it in once more."""
    sock, client = clients.resting()
    with client.lock:  # its thread cannot take it off yet
        sock.sendall(REQUEST.replace(b"a1", b"a2"))
        until(lambda: not client.waits())
        monkeypatch.setattr(client, "lock", threading.Lock())
        ClientSide._end(client)
    assert client.ending and not client.shut
    answer = rest(sock)
    assert b"202 Accepted" in answer and b"Connection: close" in answer
    assert [item.message.ref for item in clients.handed] == ["a1", "a2"]


def test_bytes_behind_the_last_request_do_not_eat_its_answer(clients):
    """The connection was closed over them, and the reset took the 202 along."""
    clients.answer.clear()
    sock, client = clients.connect()
    sock.sendall(REQUEST.replace(b"Host: a\r\n", b"Host: a\r\nConnection: close\r\n"))
    until(lambda: clients.handed)
    sock.sendall(b"x" * 100_000)
    waiting(client.sock)
    clients.answer.set()
    assert b"202 Accepted" in rest(sock)


def test_requests_read_together_are_all_answered_before_an_end(clients):
    """The first answer said `Connection: close`; the second request was dropped, though it had been read."""
    clients.answer.clear()
    sock, client = clients.connect()
    sock.sendall(REQUEST + REQUEST.replace(b"a1", b"a2"))
    until(lambda: clients.handed)
    ClientSide._end(client)
    clients.answer.set()
    assert rest(sock).count(b"202 Accepted") == 2


def test_who_ends_connections_never_sees_a_closed_one(clients, monkeypatch):
    """Closed before it was forgotten, it had no descriptor to ask: listener and sender died of that."""
    sock, client = clients.resting()
    closed, seen = socket.socket.close, []

    def looked(self):
        known = client in clients.client_side._clients
        closed(self)
        seen.append(known)

    monkeypatch.setattr(socket.socket, "close", looked)
    with clients.client_side._clients_changed:
        ClientSide._end(client)
    sock.shutdown(socket.SHUT_RDWR)
    until(lambda: seen)
    assert seen == [False]
    closed(sock)


def test_a_crowd_at_the_bound_is_not_looked_through_for_each_that_comes(clients, monkeypatch):
    """300 a second came to 384 that rest, and looking for the idlest took most of the processor: notices of
    messages whose time was up went out too late (brink 110100, herd+crowd)."""
    looks, waits, made = [], [], []

    class Looked(Client):
        def __init__(self, *arguments):
            self._ending = False
            super().__init__(*arguments)
            made.append(self)

        @property
        def ending(self):
            looks.append(self)
            return self._ending

        @ending.setter
        def ending(self, value):
            self._ending = value

    real = clients.client_side._clients_changed.wait
    monkeypatch.setattr(client_side, "Client", Looked)
    monkeypatch.setattr(
        clients.client_side._clients_changed, "wait", lambda span=None: waits.append(span) or real(span)
    )
    clients.client_side.max_clients = 100
    address, socks = ("127.0.0.1", clients.client_side.port), []
    for count in range(1, 141):
        socks.append(socket.create_connection(address, PATIENCE))
        until(lambda count=count: len(made) == count)
        if count == 100:
            looks.clear(), waits.clear()
    assert len(looks) <= 10 * (40 + len(waits))
    for sock in socks:
        sock.close()


def test_who_makes_room_is_the_one_longest_at_the_first_stage_that_has_any_long_enough():
    stages, began, pairs = StageQueues(), Clock().now(), [socket.socketpair() for _ in range(6)]
    steps = [
        (Stage.READING, 0),
        (Stage.IDLE, 20),
        (Stage.SILENT, 40),
        (Stage.SILENT, 30),
        (Stage.ANSWERING, 0),
        (Stage.IDLE, 10),
    ]
    several = [Client(pair[0], began, stages) for pair in pairs]
    for client, (stage, after) in sorted(zip(several, steps, strict=True), key=lambda row: row[1][1]):
        client.at(stage, began + timedelta(milliseconds=after))
    asked = (60, 60, 60, 140, 140, 999, 1000, 9999)
    found = [stages.idlest(began + timedelta(milliseconds=after)) for after in asked]
    assert [client and several.index(client) for client in found] == [5, 1, None, 3, 2, None, 0, None]
    several[0].ending = True
    several[0].at(Stage.LEAVING, began)
    stages.move(several[1], Stage.IDLE, began)
    stages.move(several[2], Stage.IDLE, began)
    several[1].ending = True
    assert stages.idlest(began) is several[2] and stages.idlest(began) is None
    for sock in (sock for pair in pairs for sock in pair):
        sock.close()


def test_a_stop_answers_what_is_read_turns_away_what_is_not_whole_and_reads_nothing_more(clients):
    """Killed 3.73 s after SIGTERM, a sender had just read a request: it was lost."""
    clients.answer.clear()
    asking, _ = clients.connect()
    asking.sendall(REQUEST)
    until(lambda: clients.handed)
    half, reading = clients.connect()
    half.sendall(REQUEST[:-3])
    until(lambda: reading.stage is Stage.READING)
    resting, _ = clients.connect()
    stopping = threading.Thread(target=clients.client_side.stop, args=(timedelta(milliseconds=150),))
    stopping.start()
    assert rest(resting) == b""  # seen before anything else is over
    assert b"503 Service Unavailable" in rest(half)
    clients.answer.set()
    assert b"202 Accepted" in rest(asking)
    for sock in (asking, half, resting):
        sock.close()
    stopping.join(PATIENCE)
    until(lambda: not clients.client_side._clients)
    assert len(clients.handed) == 1


def test_clients_are_let_go_before_the_kill_while_calls_go_on():
    """Clients were served up to SIGKILL, which leaves no time for the last answers."""
    host = Host()
    discovery = Discovery([host])
    sender = Sender(discovery).ready()
    host.held.clear()
    try:
        with sender.connect() as sock:
            sender.exchange(sender.message("status"), sock)
            until(lambda: host.calls)
            sender.process.terminate()
            until(lambda: any("stop: SIGTERM" in line for line in sender.lines))
            assert sender.exchange(sender.message("status"), sock).status == 202
            assert rest(sock) == b""
        until(lambda: any("stop: clients are let go" in line for line in sender.lines))
        assert sender.process.poll() is None
        host.held.set()
        sender.settled()
    finally:
        host.held.set()
        sender.close()
        host.close()
        discovery.close()


def test_an_id_that_the_journal_has_is_taken_on_before_the_start_is_done():
    """Killed before its 202 was out, it came again on a new connection, was turned away as too early, and
    came a third time under another id: two messages were owed for one."""
    clock, known = Clock(), AcceptedMessage("a1", 7, "status", "acme", Clock().now() + SPAN)
    decision_loop = DecisionLoop(
        config(),
        clock,
        Log(clock),
        None,
        SimpleNamespace(listed=lambda dest: False),
        SimpleNamespace(discard=lambda taken: None),
        SharedLifecycle(),
    )
    decision_loop._recovered = [Entry(known, 0)]
    answers = []
    for ref, more in (("a1", {}), ("a2", {}), ("a1", {"destination": 8})):
        pending = PendingReply()
        taken = msgspec.structs.replace(known, ref=ref, **more)
        decision_loop._process_item(HandIn(taken, pending), clock.now(), [], [], [])
        answers.append(pending.wait(SPAN, SPAN).verdict)
    assert answers == [Verdict.ACCEPTED, Verdict.REJECTED, Verdict.REJECTED]


@pytest.mark.parametrize(
    ("message_class", "verdict"), [("fee", Verdict.FAILED), ("status", Verdict.REJECTED)]
)
def test_an_id_whose_attempt_is_still_out_is_not_turned_away_where_it_may_not_run_again(
    message_class, verdict
):
    """Withdrawn while its attempt was out (its 202 could not be written), it came again on a new connection
    and was answered 503: its client would have handed it in under another id, for a second run."""
    clock, lifecycle = Clock(), SharedLifecycle()
    lifecycle.tell(Event.LISTED, clock.now())
    hosts, bodies = SimpleNamespace(listed=lambda dest: True), SimpleNamespace(discard=lambda taken: None)
    decision_loop = DecisionLoop(config(), clock, Log(clock), None, hosts, bodies, lifecycle)
    decision_loop._recovered = None
    taken = AcceptedMessage("a1", 7, message_class, "acme", clock.now() + SPAN)
    relay = Relay(taken, 0, 1, None, clock.now(), clock.now() + SPAN)
    decision_loop._outstanding["a1"] = Delivery(taken, relay_count=1, active_relays={0: relay}, over=True)
    pending = PendingReply()
    decision_loop._process_item(HandIn(taken, pending), clock.now(), [], [], [])
    assert pending.wait(SPAN, SPAN).verdict is verdict


class Gate(socket.socket):
    """A socket that has something happen right before it connects."""

    before = staticmethod(lambda: None)

    def connect(self, address):
        Gate.before()
        super().connect(address)


def test_a_move_of_discovery_right_before_a_connection_to_the_old_one_ends_that(monkeypatch):
    """It had no connection to end yet: the watch went on at the old address for good."""
    old, new = Discovery(), Discovery()
    addresses = [("127.0.0.1", each.listener.getsockname()[1]) for each in (old, new)]
    platform, moved = Platform(addresses[0]), []
    monkeypatch.setattr(registry.socket, "socket", Gate)
    monkeypatch.setattr(Gate, "before", lambda: moved.append(platform.move(addresses[1])))
    with pytest.raises(ConnectionAbortedError):
        platform.connect()
    sock, name, moves = platform.connect()
    assert (sock.getpeername(), moves, moved) == (addresses[1], 1, [True, False])
    platform.close(sock)
    old.close()
    new.close()


class Trickle(Discovery):
    """Its first watch says one list, then half a line, byte by byte for as long as anybody reads."""

    def answer(self, head, body, sock):
        if self.watched:
            return super().answer(head, body, sock)
        self.watched.append(head.target)
        sock.sendall(http.write_head("HTTP/1.1 200 OK", [("Transfer-Encoding", "chunked")]))
        self.chunk(sock, json.dumps(self.known()))
        while True:
            sock.sendall(b"1\r\n \r\n")
            threading.Event().wait(0.005)


def test_a_watch_that_trickles_half_a_line_is_silent(monkeypatch):
    """Each byte counted as a word: what the list had to tell was waited for without end."""
    monkeypatch.setattr(registry, "SILENCE_TIMEOUT", timedelta(milliseconds=100))
    discovery, clock, heard, ended = Trickle(), Clock(), [], []
    where = Platform(("127.0.0.1", discovery.listener.getsockname()[1]))
    watch = EndpointListWatcher(config(), where, Log(clock), clock, heard.append)

    def once():
        try:
            watch._watch()
        except OSError as fault:
            ended.append(fault)

    start("watch", once)
    assert isinstance(until(lambda: ended)[0], registry.SilentError)
    assert (len(heard), watch.index) == (1, 1)
    discovery.close()


class Deaf(Discovery):
    """Answers one notice on its first connection, and nothing there afterwards."""

    def answer(self, head, body, sock):
        if self.notices and sock is self.socks[0]:
            threading.Event().wait(PATIENCE)
        return super().answer(head, body, sock)


def test_a_notice_on_a_connection_that_fell_silent_goes_by_another_one_at_once(monkeypatch):
    """It waited a second for the answer, twice what a message may be late, before it was told again."""
    monkeypatch.setattr(registry, "MAX_NOTICE_TIMEOUT", 10 * SPAN)
    discovery, clock, told = Deaf(), Clock(), []
    where = Platform(("127.0.0.1", discovery.listener.getsockname()[1]))
    notices = NoticeSender(where, Log(clock), told.extend)
    start("notices", notices.run)
    for ref in ("a", "b"):
        notices.post(Notice(ref, "given_up"))
        until(lambda ref=ref: ref in told)
    assert discovery.connections == 2
    discovery.close()


class Calls:
    """The endpoint side alone, with a record that has something happen while it is written."""

    def __init__(self):
        self.host, self.ended, clock = Host(), [], Clock()
        self.listed = registry.Host(1, "s-1", ("127.0.0.1", self.host.listener.getsockname()[1]), 7, True)
        self.hosts, self.meanwhile = {1: self.listed}, lambda: None
        bodies = SimpleNamespace(read=lambda taken: b"hello")
        journal = SimpleNamespace(append=lambda records: self.meanwhile(), live={})
        self.endpoint_side = EndpointSide(
            config(), clock, Log(clock), journal, bodies, self.hosts, self.ended.append, start
        )
        self.now = clock.now

    def kept(self):
        """Put a connection by; its other end."""
        ours = socket.create_connection(self.listed.address)
        until(lambda: self.host.socks)
        self.endpoint_side.adopt({}, [(1, IdleConnection(ours, self.now()))])
        return self.host.socks[-1], ours

    def make(self, **more):
        now = self.now()
        taken = AcceptedMessage("a1", 7, "fee", "acme", now + SPAN)
        begun_at = more.pop("begun_at", now)
        relay = Relay(taken, 0, 1, self.listed, begun_at, now + SPAN, **more)
        self.endpoint_side.submit(relay)
        return relay, until(lambda: self.ended)[0].outcome


@pytest.fixture
def calls():
    found = Calls()
    yield found
    found.host.close()


MEANWHILE = {
    "drained": lambda calls: calls.hosts.clear(),
    "told to wait": lambda calls: calls.endpoint_side.wait(7, SPAN),
    "stopped": lambda calls: setattr(calls.endpoint_side, "stopping", True),
    "called off": lambda calls: calls.endpoint_side.cancel_by_id("a1", 0),
}


@pytest.mark.parametrize("what", MEANWHILE)
def test_what_comes_while_an_attempt_is_put_on_record_holds_at_its_first_byte(calls, what):
    """It was looked at before the record, whose write may take long."""
    calls.meanwhile = lambda: MEANWHILE[what](calls)
    _, outcome = calls.make(repeatable=False)
    assert outcome is Outcome.NOT_SENT and not calls.host.calls


def test_after_sigterm_an_unrepeatable_attempt_begins_only_as_decided(calls):
    """Decided on before the stop was known, or begun much later, it would straddle the kill and be lost."""
    calls.endpoint_side.stopping = True
    table = [
        ({"repeatable": True}, Outcome.DELIVERED),
        ({"repeatable": False}, Outcome.NOT_SENT),
        ({"repeatable": False, "stopping": True}, Outcome.DELIVERED),
        (
            {"repeatable": False, "stopping": True, "begun_at": calls.now() - 2 * MAX_START_DELAY},
            Outcome.NOT_SENT,
        ),
    ]
    for more, outcome in table:
        assert calls.make(**more)[1] is outcome, more
        calls.ended.clear()


def test_a_connection_that_comes_up_late_does_not_outlast_the_window_for_repeats(calls):
    """A repeat was decided on inside a window of 1 s and begun after it."""
    rules = config().rules["order"]  # keyed
    now = calls.now()
    table = [(rules.dedup_window_s - 0.5, Outcome.DELIVERED), (rules.dedup_window_s + 0.5, Outcome.NOT_SENT)]
    for ago, outcome in table:
        taken = AcceptedMessage("a1", 7, "order", "acme", now + SPAN, rules=rules)
        entry = Entry(taken, 0, started={0: RelayStarted("a1", 0, now - timedelta(seconds=ago), "s-1")})
        calls.endpoint_side.journal.live = {"a1": entry}
        calls.endpoint_side.submit(Relay(taken, 1, 1, calls.listed, now, now + SPAN))
        assert until(lambda: calls.ended).pop().outcome is outcome, ago


def test_half_a_line_on_a_kept_connection_is_no_part_of_the_next_answer(calls):
    """It came after the last look at the connection, and made the answer behind it garbled, or a 200."""
    theirs, ours = calls.kept()

    def half():
        theirs.sendall(b"HTTP/1.1 200 O")
        waiting(ours)

    calls.meanwhile = half
    _, outcome = calls.make(repeatable=False)
    assert outcome is Outcome.NOT_SENT and not calls.host.calls
    calls.ended.clear()
    calls.meanwhile = lambda: None
    assert calls.make()[1] is Outcome.DELIVERED


def test_a_new_connection_that_ends_before_the_first_byte_could_not_be_made(calls):
    """Written to it, the call read as broken, and an unrepeatable message was lost by what never ran."""

    def ended():
        sock = next(iter(calls.endpoint_side._relays.values())).sock
        try:
            return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False

    def meanwhile():
        until(lambda: calls.host.socks)[-1].shutdown(socket.SHUT_RDWR)
        until(ended)

    calls.meanwhile = meanwhile
    assert calls.make()[1] is Outcome.UNREACHABLE and not calls.host.calls


def test_two_status_lines_run_into_one_are_no_answer():
    """Half a line of before and the answer behind it read as one line with 200."""
    lines = (b"HTTP/1.1 200 OHTTP/1.1 503 Busy", b"HTTP/1.1 200 HTTP/1.1 500 x", b"HTTP/1.1 2HTTP/1.1 200 OK")
    for line in lines:
        parser = http.Parser(answer=True)
        parser.feed(line + b"\r\nContent-Length: 0\r\n\r\n")
        with pytest.raises(http.BadMessageError):
            parser.next()
        assert parser.status == 0


def test_the_last_answers_are_given_before_a_sender_may_be_killed():
    """What is read of a client last has the time to be decided on and answered."""
    from willownotch import cli
    from willownotch.net.decision_loop import KILL_AFTER

    assert cli.CLIENT_STOP_DELAY + cli.CLIENT_STOP_GRACE + client_side.DECISION_TIMEOUT < KILL_AFTER


def test_a_connection_that_goes_to_another_process_is_not_closed_here_meanwhile(calls):
    """Kept connections go to the other process by their descriptors' numbers. One that was closed here
    between the look and the send ended the hand-over, or its number was another connection's by then."""
    theirs, ours = calls.kept()
    [(number, lent)] = calls.endpoint_side.lend(5)
    theirs.close()  # nothing here looks at it any more: a call goes on a connection of its own
    assert calls.endpoint_side.lend(5) == [] and calls.make()[1] is Outcome.DELIVERED
    assert (number, lent.sock.fileno()) == (1, ours.fileno()) and ours.fileno() != -1
    calls.endpoint_side.adopt({}, [(number, lent)])
    until(lambda: len(calls.endpoint_side.lend(5)) == 2)


def test_no_more_connections_are_lent_than_are_asked_for(calls):
    for _ in range(3):
        calls.endpoint_side.adopt({}, [(1, IdleConnection(socket.socket(), calls.now()))])
    assert len(calls.endpoint_side.lend(2)) == 2 and len(calls.endpoint_side.lend(2)) == 1


@pytest.mark.parametrize("number", [errno.ENOBUFS, errno.EHOSTUNREACH, errno.ETIMEDOUT])
def test_a_look_at_a_connection_that_fails_for_a_moment_says_nothing_of_its_endpoint(number):
    """Before a call's first byte a connection is looked at once more. Where that look failed, for want of
    memory or with an error that the kernel reports once, a new connection counted as one that could not be
    made: two in a row were an outage ("judged failing (unreachable), last answer 0.0 s ago"), and beside a
    sound endpoint 43 to 108 of 150 messages were accepted."""
    failures = [OSError(number, "for a moment"), BlockingIOError()]

    def receive(size, flags):
        raise failures.pop(0)

    looked_at = SimpleNamespace(setblocking=lambda blocks: None, recv=receive)
    assert EndpointSide._is_quiet(looked_at) and failures == []
    failures += [ConnectionResetError(errno.ECONNRESET, "reset")]
    assert not EndpointSide._is_quiet(looked_at)


def test_a_look_that_finds_nothing_at_first_is_made_again_whatever_fails_for_a_moment():
    """A sender ended: "OSError: [Errno 12] Cannot allocate memory" in the second look of a poll that waits
    for nothing (soak, seed 35). The first was made again where it failed for a moment, the second was not."""
    found = [[], OSError(errno.ENOMEM, "no memory"), [(3, 1)]]

    def look(timeout):
        result = found.pop(0)
        if isinstance(result, OSError):
            raise result
        return result

    assert sockets.wait(SimpleNamespace(poll=look), 0) == [(3, 1)]
