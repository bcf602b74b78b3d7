"""Races between two events, in the order that used to go wrong.

The order is forced by a fake or a hook, never by waiting for it. Connections are real. docs/crossings.md has
a row for each race, and each test fails without the fix that it guards.
"""

import errno
import json
import os
import select
import socket
import struct
import threading
from datetime import timedelta
from types import SimpleNamespace

import msgspec
import pytest
from harness import PATIENCE, SETTINGS, Discovery, Host, Sender, until

from willownotch.files.space import Space
from willownotch.handover import pickled
from willownotch.handover.state import HandoverState
from willownotch.handover.successor import Successor
from willownotch.handover.wire import Frame, Kind
from willownotch.interface import Outcome
from willownotch.journal.records import AcceptedMessage, Entry, RelayStarted
from willownotch.lifecycle import Event, SharedLifecycle
from willownotch.net import client_accepting, client_side, http, list_watch, registry, sockets
from willownotch.net import config as configs
from willownotch.net import notices as notices_module
from willownotch.net.attempts import Relay
from willownotch.net.client_connections import Client, EvictionOrder, Stage
from willownotch.net.client_side import ClientSide
from willownotch.net.clock import Clock
from willownotch.net.decision_loop import DecisionLoop
from willownotch.net.delivery import Delivery
from willownotch.net.endpoint_connections import EndpointConnections
from willownotch.net.endpoint_side import EndpointSide
from willownotch.net.events import Answer, HandIn, Verdict, Withdraw
from willownotch.net.journal import Journal
from willownotch.net.list_watch import EndpointListWatcher
from willownotch.net.log import Log
from willownotch.net.notices import Notice, NoticeSender
from willownotch.net.pending import PendingReply
from willownotch.net.registry import Platform
from willownotch.net.start_conditions import MAX_START_DELAY

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
RESET = struct.pack("ii", 1, 0)  # of SO_LINGER: a close resets the connection
SPAN = timedelta(seconds=PATIENCE)


def config(**more):
    text = {"settings": SETTINGS, "listen": "127.0.0.1:0", "state": "s", "discovery": "127.0.0.1:1", **more}
    return configs.read_config(json.dumps(text).encode(), {})


def start(name, work, forever=False):
    threading.Thread(target=work, daemon=True, name=name).start()


def wait_unread(sock, size=1):
    """Wait until so many bytes are readable on a connection, without reading them."""
    until(lambda: len(sock.recv(size, socket.MSG_PEEK | socket.MSG_DONTWAIT)) == size)


def read_to_end(sock):
    """All bytes until the connection ends. A reset raises."""
    data = b""
    while more := sock.recv(65536):
        data += more
    return data


class ClientRig:
    """A client side without a decision loop. Hand-ins are collected and answered once `answer` is set."""

    def __init__(self):
        clock = Clock()
        self.hand_ins, self.answer = [], threading.Event()
        self.answer.set()
        bodies = SimpleNamespace(keep=lambda message, left, last=False: message)
        self.client_side = ClientSide(config(), clock, Log(clock), self, bodies, start, SharedLifecycle())
        start("listener", self.client_side.run)

    def post(self, item):
        if isinstance(item, HandIn):
            assert item.pending.claim()
            self.hand_ins.append(item)
            start(
                "decision loop",
                lambda: (self.answer.wait(PATIENCE), item.pending.settle(Answer(Verdict.ACCEPTED))),
            )

    def connect(self):
        """A new connection: its socket, and the server's object for it."""
        before = set(self.client_side._clients)
        sock = socket.create_connection(("127.0.0.1", self.client_side.port), PATIENCE)
        return sock, until(lambda: self.client_side._clients - before).pop()

    def connect_idle(self):
        """A new connection on which one request has been answered."""
        sock, client = self.connect()
        sock.sendall(REQUEST)
        assert b"202 Accepted" in sock.recv(65536)
        until(lambda: client.stage is Stage.IDLE)
        return sock, client


@pytest.fixture
def clients():
    rig = ClientRig()
    yield rig
    rig.client_side.listener.close()


@pytest.mark.parametrize("cut", [False, True])
def test_a_request_that_arrives_as_an_idle_connection_is_closed_is_not_accepted(clients, monkeypatch, cut):
    """Such a request was read after the close had been announced, and delivered, while its client had already
    handed it in elsewhere."""
    sock, client = clients.connect_idle()
    real = Client.waits

    def crossed(self):
        found = real(self)
        sock.sendall(REQUEST.replace(b"a1", b"a2"))  # after the last check, before the close
        return found

    monkeypatch.setattr(Client, "waits", crossed)
    ClientSide._end(client, cut=cut)
    until(lambda: client not in clients.client_side._clients)
    assert [item.message.ref for item in clients.hand_ins] == ["a1"]
    sock.close()


def test_a_request_that_arrived_before_the_close_is_answered(clients, monkeypatch):
    """If the connection is closed without an answer, the client has to hand its message in again."""
    sock, client = clients.connect_idle()
    with client.lock:  # its thread cannot read the request yet
        sock.sendall(REQUEST.replace(b"a1", b"a2"))
        until(lambda: not client.waits())
        monkeypatch.setattr(client, "lock", threading.Lock())
        ClientSide._end(client)
    assert client.ending and not client.shut
    answer = read_to_end(sock)
    assert b"202 Accepted" in answer and b"Connection: close" in answer
    assert [item.message.ref for item in clients.hand_ins] == ["a1", "a2"]


def test_bytes_after_the_last_request_do_not_lose_its_answer(clients):
    """The connection was closed with unread bytes, and the resulting reset discarded the 202."""
    clients.answer.clear()
    sock, client = clients.connect()
    sock.sendall(REQUEST.replace(b"Host: a\r\n", b"Host: a\r\nConnection: close\r\n"))
    until(lambda: clients.hand_ins)
    sock.sendall(b"x" * 100_000)
    wait_unread(client.sock)
    clients.answer.set()
    assert b"202 Accepted" in read_to_end(sock)


def test_pipelined_requests_are_all_answered_before_a_close(clients):
    """The first answer carried `Connection: close`, and the second request was dropped after it had been
    read."""
    clients.answer.clear()
    sock, client = clients.connect()
    sock.sendall(REQUEST + REQUEST.replace(b"a1", b"a2"))
    until(lambda: clients.hand_ins)
    ClientSide._end(client)
    clients.answer.set()
    assert read_to_end(sock).count(b"202 Accepted") == 2


def test_a_connection_is_deregistered_before_it_is_closed(clients, monkeypatch):
    """The listener polled a connection that was closed but still registered. The invalid descriptor ended the
    listener thread, and with it the sender."""
    sock, client = clients.connect_idle()
    real_close, registered_at_close = socket.socket.close, []

    def close(self):
        registered = client in clients.client_side._clients
        real_close(self)
        registered_at_close.append(registered)

    monkeypatch.setattr(socket.socket, "close", close)
    with clients.client_side._clients_changed:
        ClientSide._end(client)
    sock.shutdown(socket.SHUT_RDWR)
    until(lambda: registered_at_close)
    assert registered_at_close == [False]
    real_close(sock)


def test_a_new_connection_at_the_limit_does_not_scan_all_connections(clients, monkeypatch):
    """With 384 idle connections and 300 new ones a second, searching for the idlest took most of the CPU, and
    notices were sent too late (seed 110100, herd+crowd)."""
    checks, waits, created = [], [], []

    class CountingClient(Client):
        def __init__(self, *arguments):
            self._ending = False
            super().__init__(*arguments)
            created.append(self)

        @property
        def ending(self):
            checks.append(self)
            return self._ending

        @ending.setter
        def ending(self, value):
            self._ending = value

    real = clients.client_side._clients_changed.wait
    monkeypatch.setattr(client_accepting, "Client", CountingClient)
    monkeypatch.setattr(
        clients.client_side._clients_changed, "wait", lambda span=None: waits.append(span) or real(span)
    )
    clients.client_side.max_clients = 100
    address, socks = ("127.0.0.1", clients.client_side.port), []
    for count in range(1, 141):
        socks.append(socket.create_connection(address, PATIENCE))
        until(lambda count=count: len(created) == count)
        if count == 100:
            checks.clear(), waits.clear()
    assert len(checks) <= 10 * (40 + len(waits))
    for sock in socks:
        sock.close()


def test_a_request_whose_client_was_gone_before_it_was_read_is_not_taken_up(clients):
    """It was sent on with nobody to hear of it, while its client handed the message in elsewhere."""
    sock, client = clients.connect()
    with client.lock:  # so that it is not read yet
        sock.sendall(REQUEST)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()
        probe = select.poll()  # the client's own is its thread's
        probe.register(client.sock, 0)
        until(lambda: probe.poll(0))
    until(lambda: client not in clients.client_side._clients)
    assert clients.hand_ins == []


def test_a_client_that_stops_behind_whole_requests_holds_no_turn_of_others(clients):
    """Few that do not wait for their answers are served at a time; one that stopped kept its turn for 2 s."""
    stopped = [clients.connect() for _ in range(client_side.MAX_PIPELINING + 1)]
    for sock, client in stopped:
        sock.sendall(REQUEST * 2 + REQUEST[:-3])
        until(lambda client=client: client.requests_read == 2 and client.stage is Stage.READING)
    sock, _ = clients.connect()
    sock.sendall(REQUEST * 3)
    data = b""
    while data.count(b"202 Accepted") < 3:
        data += sock.recv(65536)
    assert all(client.stage is Stage.READING for _, client in stopped)
    for each, _ in (*stopped, (sock, None)):
        each.close()


def test_clients_without_a_whole_request_are_ended_before_those_that_were_served():
    """A client that kept its connection was ended for one that had never finished a request."""
    order, began, pairs = EvictionOrder(), Clock().now(), [socket.socketpair() for _ in range(7)]
    steps = [  # stage, since when in ms, whether it was served
        (Stage.READING, 0, False),
        (Stage.IDLE, 20, True),
        (Stage.SILENT, 40, False),
        (Stage.SILENT, 30, False),
        (Stage.ANSWERING, 0, True),
        (Stage.IDLE, 10, True),
        (Stage.READING, 5, True),
    ]
    clients = [Client(pair[0], began, order) for pair in pairs]
    for client, (stage, after, served) in sorted(zip(clients, steps, strict=True), key=lambda row: row[1][1]):
        client.requests_read = int(served)
        client.at(stage, began + timedelta(milliseconds=after))
    asked_ms = (60, 129, 130, 139, 140, 149, 150, 150, 150, 1004, 1005, 9999)
    found = [order.next(began + timedelta(milliseconds=after)) for after in asked_ms]
    expected = [None, None, 3, None, 2, None, 0, 5, 1, None, 6, None]
    assert [client and clients.index(client) for client in found] == expected
    clients[0].ending = True
    clients[0].at(Stage.LEAVING, began)
    order.move(clients[1], Stage.IDLE, began)
    order.move(clients[2], Stage.IDLE, began)
    clients[1].ending = True
    assert order.next(began) is clients[2] and order.next(began) is None
    for sock in (sock for pair in pairs for sock in pair):
        sock.close()


def test_a_served_client_that_rests_long_is_ended_though_others_have_sent_nothing_yet():
    order, began, pairs = EvictionOrder(), Clock().now(), [socket.socketpair() for _ in range(2)]
    served, silent = (Client(pair[0], began, order) for pair in pairs)
    served.requests_read = 1
    served.at(Stage.IDLE, began)
    silent.at(Stage.SILENT, began + timedelta(milliseconds=950))
    assert order.next(began + timedelta(milliseconds=999)) is None
    assert order.next(began + timedelta(milliseconds=1000)) is served
    for sock in (sock for pair in pairs for sock in pair):
        sock.close()


def test_clients_that_have_gone_are_not_kept_in_the_order_of_eviction():
    """Far from the limit nothing asked for the next one, and each connection left an entry for good."""
    order, now = EvictionOrder(), Clock().now()
    ours, theirs = socket.socketpair()
    for _ in range(1000):
        client = Client(ours, now, order)
        client.at(Stage.READING, now)
        order.remove(client)
    assert len(order._by_patience) < 200
    ours.close(), theirs.close()


def test_a_request_that_makes_progress_is_not_ended_to_make_room():
    order, began, (ours, theirs) = EvictionOrder(), Clock().now(), socket.socketpair()
    client = Client(ours, began, order)
    client.at(Stage.READING, began)
    for step in range(1, 20):  # 4 KB each 100 ms
        at = began + timedelta(milliseconds=100 * step)
        assert order.next(at) is None
        client.progress(4096, at)
    for step in range(20, 25):  # a byte each 100 ms
        at = began + timedelta(milliseconds=100 * step)
        found = order.next(at)
        client.progress(1, at)
        if found is client:
            break
    assert found is client and step <= 22
    ours.close(), theirs.close()


def test_a_stop_answers_complete_requests_rejects_partial_ones_and_reads_no_more(clients):
    """A sender that was killed 3.73 s after SIGTERM had just read a request, which was lost."""
    clients.answer.clear()
    asking, _ = clients.connect()
    asking.sendall(REQUEST)
    until(lambda: clients.hand_ins)
    partial, reading = clients.connect()
    partial.sendall(REQUEST[:-3])
    until(lambda: reading.stage is Stage.READING)
    idle, _ = clients.connect()
    stopping = threading.Thread(target=clients.client_side.stop, args=(timedelta(milliseconds=150),))
    stopping.start()
    assert read_to_end(idle) == b""  # closed before the other two are answered
    assert b"503 Service Unavailable" in read_to_end(partial)
    clients.answer.set()
    assert b"202 Accepted" in read_to_end(asking)
    for sock in (asking, partial, idle):
        sock.close()
    stopping.join(PATIENCE)
    until(lambda: not clients.client_side._clients)
    assert len(clients.hand_ins) == 1


def test_clients_are_disconnected_before_the_kill_while_calls_go_on():
    """Clients were served until SIGKILL, which left no time for the last answers."""
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
            assert read_to_end(sock) == b""
        until(lambda: any("stop: clients are let go" in line for line in sender.lines))
        assert sender.process.poll() is None
        host.held.set()
        sender.settled()
    finally:
        host.held.set()
        sender.close()
        host.close()
        discovery.close()


def test_a_repeat_of_a_recovered_message_is_accepted_before_the_start_is_complete():
    """A sender was killed before it had written a 202. The repeated hand-in was rejected as too early, and
    the client's next try came under another id, so that one message was delivered twice."""
    clock, recovered = Clock(), AcceptedMessage("a1", 7, "status", "acme", Clock().now() + SPAN)
    decision_loop = DecisionLoop(
        config(),
        clock,
        Log(clock),
        None,
        SimpleNamespace(listed=lambda dest: False),
        SimpleNamespace(discard=lambda message: None),
        SharedLifecycle(),
    )
    decision_loop._recovered = [Entry(recovered, 0)]
    answers = []
    for ref, more in (("a1", {}), ("a2", {}), ("a1", {"destination": 8})):
        pending = PendingReply()
        message = msgspec.structs.replace(recovered, ref=ref, **more)
        decision_loop._process_item(HandIn(message, pending), clock.now(), [], [], [])
        answers.append(pending.wait(SPAN, SPAN).verdict)
    assert answers == [Verdict.ACCEPTED, Verdict.REJECTED, Verdict.REJECTED]


@pytest.mark.parametrize(
    ("message_class", "verdict"), [("fee", Verdict.FAILED), ("status", Verdict.REJECTED)]
)
def test_a_repeat_during_a_relay_is_failed_and_not_rejected_if_it_must_not_run_again(message_class, verdict):
    """A message was withdrawn during its relay, since its 202 could not be written. Its repeat was answered
    503, after which the client would have handed it in under another id, for a second execution."""
    clock, lifecycle = Clock(), SharedLifecycle()
    lifecycle.tell(Event.LISTED, clock.now())
    hosts, bodies = SimpleNamespace(listed=lambda dest: True), SimpleNamespace(discard=lambda message: None)
    decision_loop = DecisionLoop(config(), clock, Log(clock), None, hosts, bodies, lifecycle)
    decision_loop._recovered = None
    message = AcceptedMessage("a1", 7, message_class, "acme", clock.now() + SPAN)
    relay = Relay(message, 0, 1, None, clock.now(), clock.now() + SPAN)
    decision_loop._outstanding["a1"] = Delivery(message, relay_count=1, active_relays={0: relay}, over=True)
    pending = PendingReply()
    decision_loop._process_item(HandIn(message, pending), clock.now(), [], [], [])
    assert pending.wait(SPAN, SPAN).verdict is verdict


def test_a_repeat_of_an_undecided_message_gets_the_answer_of_the_first_hand_in(tmp_path):
    # It was answered 503, and the message was sent for the first hand-in.
    clock, lifecycle = Clock(), SharedLifecycle()
    lifecycle.tell(Event.LISTED, clock.now())
    hosts = SimpleNamespace(listed=lambda dest: True, by_number={})
    journal = Journal(tmp_path, Space(1 << 20))
    journal.open()
    bodies = SimpleNamespace(discard=lambda message: None)
    decision_loop = DecisionLoop(config(), clock, Log(clock), journal, hosts, bodies, lifecycle)
    decision_loop._recovered = None
    message = AcceptedMessage("a1", 7, "fee", "acme", clock.now() + SPAN)
    items = [HandIn(message, PendingReply()) for _ in range(2)]
    decision_loop._round(items)
    decided = [item.pending.wait(SPAN, SPAN).verdict for item in items]
    assert decided == [Verdict.ACCEPTED, Verdict.ACCEPTED]
    decision_loop._process_item(Withdraw("a1", items[0].pending), clock.now(), [], records := [], [])
    assert records == []  # the repeat's client has its 202


class HookedSocket(socket.socket):
    """A socket with a hook that runs right before it connects."""

    before = staticmethod(lambda: None)

    def connect(self, address):
        HookedSocket.before()
        super().connect(address)


def test_a_change_of_the_address_during_a_connect_ends_that_connection(monkeypatch):
    """The change found no open connection to end, and the watch stayed at the old address for good."""
    old, new = Discovery(), Discovery()
    addresses = [("127.0.0.1", each.listener.getsockname()[1]) for each in (old, new)]
    platform, moved = Platform(addresses[0]), []
    monkeypatch.setattr(registry.socket, "socket", HookedSocket)
    monkeypatch.setattr(HookedSocket, "before", lambda: moved.append(platform.move(addresses[1])))
    with pytest.raises(ConnectionAbortedError):
        platform.connect()
    sock, name, moves = platform.connect()
    assert (sock.getpeername(), moves, moved) == (addresses[1], 1, [True, False])
    platform.close(sock)
    old.close()
    new.close()


class TricklingDiscovery(Discovery):
    """Answers its first watch with one list, then with an endless partial line, byte by byte."""

    def answer(self, head, body, sock):
        if self.watched:
            return super().answer(head, body, sock)
        self.watched.append(head.target)
        sock.sendall(http.write_head("HTTP/1.1 200 OK", [("Transfer-Encoding", "chunked")]))
        self.chunk(sock, json.dumps(self.known()))
        while True:
            sock.sendall(b"1\r\n \r\n")
            threading.Event().wait(0.005)


def test_a_watch_that_trickles_a_partial_line_counts_as_silent(monkeypatch):
    """Each byte counted as data, so that the rest of the update was awaited forever."""
    monkeypatch.setattr(list_watch, "SILENCE_TIMEOUT", timedelta(milliseconds=100))
    discovery, clock, updates, ended = TricklingDiscovery(), Clock(), [], []
    platform = Platform(("127.0.0.1", discovery.listener.getsockname()[1]))
    watch = EndpointListWatcher(config(), platform, Log(clock), clock, updates.append)

    def once():
        try:
            watch._watch()
        except OSError as fault:
            ended.append(fault)

    start("watch", once)
    assert isinstance(until(lambda: ended)[0], list_watch.SilentError)
    assert (len(updates), watch.versions.index) == (1, 1)
    discovery.close()


class DeafDiscovery(Discovery):
    """Answers one notice on its first connection, and none there afterwards."""

    def answer(self, head, body, sock):
        if self.notices and sock is self.socks[0]:
            threading.Event().wait(PATIENCE)
        return super().answer(head, body, sock)


def test_a_notice_on_a_silent_connection_is_sent_again_on_another_at_once(monkeypatch):
    """It waited a second for the answer before it was sent again: twice the time that a notice may be
    late."""
    monkeypatch.setattr(notices_module, "MAX_NOTICE_TIMEOUT", 10 * SPAN)
    discovery, clock, answered = DeafDiscovery(), Clock(), []
    platform = Platform(("127.0.0.1", discovery.listener.getsockname()[1]))
    notices = NoticeSender(platform, Log(clock), answered.extend)
    start("notices", notices.run)
    for ref in ("a", "b"):
        notices.post(Notice(ref, "given_up"))
        until(lambda ref=ref: ref in answered)
    assert discovery.connections == 2
    discovery.close()


class CallRig:
    """An endpoint side without a decision loop. `while_recording` runs while a relay's record is written."""

    def __init__(self):
        self.host, self.ended, clock = Host(), [], Clock()
        self.listed = registry.Host(1, "s-1", ("127.0.0.1", self.host.listener.getsockname()[1]), 7, True)
        self.hosts, self.while_recording = {1: self.listed}, lambda: None
        bodies = SimpleNamespace(read=lambda message: b"hello")
        journal = SimpleNamespace(append=lambda records: self.while_recording(), live={})
        self.endpoint_side = EndpointSide(
            config(), clock, Log(clock), journal, bodies, self.hosts, self.ended.append, start
        )
        self.now = clock.now

    def make_relay(self, **more):
        """Make a relay; it and its outcome."""
        now = self.now()
        message = AcceptedMessage("a1", 7, "fee", "acme", now + SPAN)
        begun_at = more.pop("begun_at", now)
        relay = Relay(message, 0, 1, self.listed, begun_at, now + SPAN, **more)
        self.endpoint_side.submit(relay)
        return relay, until(lambda: self.ended)[0].outcome


@pytest.fixture
def calls():
    rig = CallRig()
    yield rig
    rig.host.close()


CHANGES = {
    "drained": lambda calls: calls.hosts.clear(),
    "waiting": lambda calls: calls.endpoint_side.conditions.wait(7, SPAN),
    "stopped": lambda calls: setattr(calls.endpoint_side.conditions, "stopping", True),
    "cancelled": lambda calls: calls.endpoint_side.cancel_by_id("a1", 0),
}


@pytest.mark.parametrize("what", CHANGES)
def test_a_change_while_a_relay_is_recorded_prevents_its_first_byte(calls, what):
    """Such changes were checked only before the record was written, which may take long."""
    calls.while_recording = lambda: CHANGES[what](calls)
    _, outcome = calls.make_relay(repeatable=False)
    assert outcome is Outcome.NOT_SENT and not calls.host.calls


def test_after_sigterm_an_unrepeatable_relay_starts_only_if_decided_since_and_at_once(calls):
    """One decided on before the stop, or started much later, could be cut off by the kill and be lost."""
    calls.endpoint_side.conditions.stopping = True
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
        assert calls.make_relay(**more)[1] is outcome, more
        calls.ended.clear()


def test_a_repeat_is_not_sent_after_the_deduplication_window(calls):
    """A repeat was decided on within a window of 1 s, and its connection was set up after it."""
    rules = config().rules["order"]  # keyed
    now = calls.now()
    table = [(rules.dedup_window_s - 0.5, Outcome.DELIVERED), (rules.dedup_window_s + 0.5, Outcome.NOT_SENT)]
    for ago, outcome in table:
        message = AcceptedMessage("a1", 7, "order", "acme", now + SPAN, rules=rules)
        entry = Entry(message, 0, started={0: RelayStarted("a1", 0, now - timedelta(seconds=ago), "s-1")})
        calls.endpoint_side.journal.live = {"a1": entry}
        calls.endpoint_side.submit(Relay(message, 1, 1, calls.listed, now, now + SPAN))
        assert until(lambda: calls.ended).pop().outcome is outcome, ago


def test_a_partial_line_on_a_connection_is_no_part_of_the_next_answer(calls):
    """It came after the last check of the connection and corrupted the next answer, or turned it into a
    200."""

    def send_partial_line():
        until(lambda: calls.host.socks)[-1].sendall(b"HTTP/1.1 200 O")
        wait_unread(next(iter(calls.endpoint_side._relays.values())).sock)

    calls.while_recording = send_partial_line
    _, outcome = calls.make_relay(repeatable=False)
    assert outcome is Outcome.UNREACHABLE and not calls.host.calls
    calls.ended.clear()
    calls.while_recording = lambda: None
    assert calls.make_relay()[1] is Outcome.DELIVERED


def test_a_new_connection_that_ends_before_the_first_byte_counts_as_unreachable(calls):
    """The call was written to it and counted as broken, so that an unrepeatable message was given up although
    it had never been executed."""

    def ended():
        sock = next(iter(calls.endpoint_side._relays.values())).sock
        try:
            return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False

    def while_recording():
        until(lambda: calls.host.socks)[-1].shutdown(socket.SHUT_RDWR)
        until(ended)

    calls.while_recording = while_recording
    assert calls.make_relay()[1] is Outcome.UNREACHABLE and not calls.host.calls


def test_two_status_lines_joined_into_one_are_no_answer():
    """A partial line and the answer after it were read as one status line with 200."""
    lines = (b"HTTP/1.1 200 OHTTP/1.1 503 Busy", b"HTTP/1.1 200 HTTP/1.1 500 x", b"HTTP/1.1 2HTTP/1.1 200 OK")
    for line in lines:
        parser = http.Parser(answer=True)
        parser.feed(line + b"\r\nContent-Length: 0\r\n\r\n")
        with pytest.raises(http.BadMessageError):
            parser.next()
        assert parser.status == 0


def test_the_last_answers_are_written_before_a_sender_may_be_killed():
    """The request that is read last still has time to be decided on and answered."""
    from willownotch import cli
    from willownotch.net.decision_loop import KILL_AFTER

    assert cli.CLIENT_STOP_DELAY + cli.CLIENT_STOP_GRACE + client_side.DECISION_TIMEOUT < KILL_AFTER


def test_no_connection_to_an_endpoint_outlives_its_call(calls):
    """A kept connection may hold a second copy of its last answer, which the next call took for its own."""
    for count in (1, 2, 3):
        assert calls.make_relay()[1] is Outcome.DELIVERED
        calls.ended.clear()
        assert calls.host.connections == len(calls.host.calls) == count
    until(lambda: all(sock.fileno() < 0 for sock in calls.host.socks))


def test_connections_that_an_older_process_has_used_are_closed_and_not_taken_over():
    """Kept connections were handed over, and with them what may have come on them since."""
    fields = {name: None for name in HandoverState.__dataclass_fields__}
    state = HandoverState(**{**fields, "idle": [(1, Clock().now())]})
    listener, (kept, peer) = socket.create_server(("127.0.0.1", 0)), socket.socketpair()
    descriptors = (os.dup(listener.fileno()), os.dup(kept.fileno()))
    kept.close()
    received = Successor._read(None, Frame(Kind.STATE, pickled.write(state), descriptors, False))
    assert received.listener.getsockname() == listener.getsockname()
    assert peer.recv(1) == b""
    for sock in (received.listener, listener, peer):
        sock.close()


@pytest.mark.parametrize("number", [errno.ENOBUFS, errno.EHOSTUNREACH, errno.ETIMEDOUT])
def test_a_transient_error_in_a_check_of_a_connection_is_retried(number):
    """A connection is checked right before a call's first byte. If that failed for lack of memory, or with an
    error that the kernel reports once, a new connection counted as unreachable. Two in a row were judged an
    outage, and only 43 to 108 of 150 messages for a healthy endpoint were accepted."""
    failures = [OSError(number, "for a moment"), BlockingIOError()]

    def receive(size, flags):
        raise failures.pop(0)

    checked = SimpleNamespace(setblocking=lambda blocks: None, recv=receive)
    assert EndpointConnections.is_quiet(checked) and failures == []
    failures += [ConnectionResetError(errno.ECONNRESET, "reset")]
    assert not EndpointConnections.is_quiet(checked)


def test_a_transient_error_in_the_second_poll_is_retried_too():
    """A sender ended with "OSError: [Errno 12] Cannot allocate memory" (soak, seed 35). `sockets.wait` polls
    twice for what is readable at once, and only the first poll was retried after a transient error."""
    found = [[], OSError(errno.ENOMEM, "no memory"), [(3, 1)]]

    def look(timeout):
        result = found.pop(0)
        if isinstance(result, OSError):
            raise result
        return result

    assert sockets.wait(SimpleNamespace(poll=look), 0) == [(3, 1)]
