"""System calls of a sender process that fail temporarily, at its start and in service; a stepped wall clock.

Results are judged from outside: by what clients, endpoints and the platform have received.
"""

import errno
import json
import os
import signal
import threading
import time

import pytest
from harness import PATIENCE, Discovery, Host, Sender, until

from willownotch.lab.faults import shim
from willownotch.lab.faults.shim import SHORT, SLOW, CallFault
from willownotch.net import sockets

LONG = bool(os.environ.get("WILLOWNOTCH_LONG"))
READY_TIME = 10.0  # s that a restarted process has


class Environment:
    """A fake endpoint, fake discovery, and senders that are started with failing calls."""

    def __init__(self):
        self.host = Host()
        self.discovery = Discovery([self.host])
        self.closed_at_end = [self.host, self.discovery]

    def sender(self, **more):
        made = Sender(self.discovery, env={"LB_MANAGEMENT": "127.0.0.1:0"}, **more)
        self.closed_at_end.insert(0, made)
        return made

    def close(self):
        self.host.held.set()
        for thing in self.closed_at_end:
            thing.close()


@pytest.fixture
def environment():
    made = Environment()
    yield made
    made.close()


def sender_with_outstanding_message(environment, cls="status", **more):
    """A killed sender that has accepted a message whose call was not answered, and the message's id."""
    environment.host.held.clear()
    sender = environment.sender()
    sender.ready()
    ref, head = sender.hand_in(cls, **more)
    assert head.status == 202
    until(lambda: ref in environment.host.refs())
    sender.process.send_signal(signal.SIGKILL)
    sender.process.wait(PATIENCE)
    environment.host.held.set()
    return sender, ref


def each_nth(call, *effects, most=3):
    return [[CallFault(call, effect, nth=n)] for effect in effects for n in range(1, most + 1)]


# Each temporary failure at a start, at each of the first calls of its kind.
START = [
    *each_nth("bind", "EADDRNOTAVAIL", "EADDRINUSE", most=2),
    *each_nth("listen", "EADDRINUSE", most=2),
    *each_nth("socket", "ENOBUFS", "ENFILE"),
    *each_nth("setsockopt", "ENOMEM", "ENOBUFS"),
    *each_nth("open", "EIO", "ENFILE", "ENOSPC", most=6),
    *each_nth("read", "EIO", "EINTR", SHORT),
    *each_nth("write", "ENOSPC", "EIO", SHORT),
    *each_nth("rename", "EIO", most=1),
    *each_nth("flock", "ENOLCK", most=1),
    *each_nth("poll", "ENOMEM", most=4),
    *each_nth("connect", "ENETUNREACH", "EADDRNOTAVAIL", most=2),
]
# In CI a few starts meet several of them; `make long` tests each alone.
START_SHORT = [
    [
        CallFault("bind", "EADDRNOTAVAIL", nth=1),
        CallFault("listen", "EADDRINUSE", nth=2),
        CallFault("socket", "ENFILE", nth=3),
        CallFault("open", "EIO", nth=2),
    ],
    [
        CallFault("bind", "EADDRINUSE", nth=2),
        CallFault("socket", "ENOBUFS", nth=1),
        CallFault("read", "EIO", nth=1),
        CallFault("read", "EIO", nth=3),
        CallFault("write", "ENOSPC", nth=1),
    ],
    [CallFault("open", "ENFILE", nth=n) for n in (1, 3, 5)]
    + [
        CallFault("rename", "EIO", nth=1),
        CallFault("flock", "ENOLCK", nth=1),
        CallFault("poll", "ENOMEM", nth=2),
    ],
    [CallFault("setsockopt", "ENOBUFS", rate=1.0, to_s=1.0), CallFault("write", "EIO", to_s=2.0, rate=1.0)],
]


@pytest.mark.parametrize(
    "calls",
    START if LONG else START_SHORT,
    ids=lambda calls: "+".join(f"{c.call}-{c.effect}-{c.nth or c.rate}" for c in calls),
)
def test_a_start_outlasts_a_failure_of_the_moment(environment, calls):
    """The start ended with `cannot start`, or took a journal that it could not read for an empty one."""
    sender, ref = sender_with_outstanding_message(environment)
    sender.calls = calls
    began = time.monotonic()
    sender.start()
    assert sender.process.poll() is None, sender.lines
    sender.ready()
    assert time.monotonic() - began < READY_TIME
    # Outstanding: it may have run, and may be repeated.
    until(lambda: environment.host.refs().count(ref) == 2)

    def accepted():
        return sender.hand_in()[1].status == 202

    until(accepted)
    with sender.operator() as caller:
        caller.sendall(b"health\n")
        assert caller.recv(100) == b"+OK ready\r\n"
    assert len(shim.struck(sender.fault_log)) > 0 or not LONG


def test_a_journal_that_cannot_be_read_is_waited_for_and_never_written_over(environment):
    sender, ref = sender_with_outstanding_message(environment)
    before = (sender.state / "journal").read_bytes()
    sender.calls = [CallFault("read", "EIO", rate=1.0, to_s=3.0)]
    sender.launch()
    until(lambda: any("waits for the folder" in line for line in sender.lines))
    assert (sender.state / "journal").read_bytes() == before
    with sender.operator() as caller:
        caller.sendall(b"health\n")
        assert caller.recv(100) == b"-ERR starting\r\n"
    until(lambda: sender.port)
    sender.ready()
    until(lambda: environment.host.refs().count(ref) == 2)


def test_a_disk_that_takes_nothing_does_not_keep_a_sender_from_answering(environment):
    """It becomes ready, rejects new messages, and ends its outstanding ones."""
    sender, ref = sender_with_outstanding_message(environment, left=4000)
    sender.calls = [CallFault("write", "ENOSPC", rate=1.0)]
    sender.start()
    sender.ready()
    assert sender.hand_in()[1].status == 503
    until(lambda: any(n["message"] == ref for n in environment.discovery.notices))


def test_an_address_is_free_for_the_next_process_whatever_failed_in_this_one(environment):
    """A listener without SO_REUSEADDR left closing connections that kept its address (soak, seed 408)."""
    sender = environment.sender(calls=[CallFault("setsockopt", "ENOBUFS", nth=n) for n in (1, 2, 3)])
    sender.ready()
    text = {**sender.text, "listen": f"127.0.0.1:{sender.port}"}
    sender.config.write_text(json.dumps(text), encoding="utf-8")
    with sender.connect() as sock:
        sender.exchange(sender.request("GET", "/health/ready", [("Connection", "close")]), sock)
        sock.recv(1)  # the sender has closed first, so its side stays in TIME_WAIT
    port, sender.calls = sender.port, []
    began = time.monotonic()
    sender.restart()
    assert sender.port == port and time.monotonic() - began < 4.0


def test_a_stop_ends_a_start_that_waits(environment):
    sender, _ = sender_with_outstanding_message(environment)
    sender.calls = [CallFault("read", "EIO", rate=1.0)]
    sender.launch()
    until(lambda: any("waits for the folder" in line for line in sender.lines))
    sender.process.send_signal(signal.SIGTERM)
    assert sender.process.wait(PATIENCE) == 0


def test_what_an_operator_has_to_change_ends_the_start(environment):
    began = time.monotonic()
    sender = environment.sender(calls=[CallFault("open", "EACCES", rate=1.0)])
    assert sender.process.wait(PATIENCE) == 2
    assert time.monotonic() - began < 4.0  # at once, and not after the time for temporary errors
    until(lambda: any("cannot start" in line for line in sender.lines))


# In service: each kind of call, with the temporary errors that Linux documents for it.
SERVICE = {
    "accept": [
        CallFault("accept", effect, rate=0.1)
        for effect in ("ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "EINTR")
    ],
    "client and endpoint connections": [
        *(
            CallFault("recv", effect, rate=0.02)
            for effect in ("EINTR", "ENOBUFS", "ENOMEM", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH")
        ),
        *(
            CallFault("send", effect, rate=0.02)
            for effect in ("EINTR", "ENOBUFS", "ENOMEM", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH")
        ),
        CallFault("recv", SHORT, rate=0.3),
        CallFault("send", SHORT, rate=0.3),
    ],
    "connect": [
        *(
            CallFault("connect", effect, rate=0.05)
            for effect in ("ENETUNREACH", "EHOSTUNREACH", "EADDRNOTAVAIL", "ETIMEDOUT", "ENOBUFS")
        ),
        *(CallFault("socket", effect, rate=0.05) for effect in ("ENFILE", "EMFILE", "ENOBUFS", "ENOMEM")),
        CallFault("setsockopt", "ENOBUFS", rate=0.3),
    ],
    "waits": [
        CallFault("poll", "ENOMEM", rate=0.02),
        CallFault("poll", "EINTR", rate=0.1),
        CallFault("poll", SLOW, rate=0.05),
        CallFault("recv", SLOW, rate=0.05),
    ],
    "folder": [
        CallFault("write", "ENOSPC", rate=0.03),
        CallFault("write", "EIO", rate=0.03),
        CallFault("write", SHORT, rate=0.03),
        CallFault("ftruncate", "EIO", rate=0.2),
        CallFault("rename", "EIO", rate=0.2),
        CallFault("open", "EMFILE", rate=0.1),
    ],
}
CLIENTS, REQUESTS = 6, 25
# The endpoint works, so no message is rejected because of it. Where the folder fails, messages that cannot be
# recorded are rejected.
ACCEPTED_LEAST = {"folder": 0.25}
SOUND_LEAST = 0.95


@pytest.mark.parametrize("kind", SERVICE)
def test_calls_that_fail_for_a_moment_lose_no_request_and_no_message(environment, kind):
    sender = environment.sender(
        calls=[CallFault(f.call, f.effect, rate=f.rate, from_s=1.0) for f in SERVICE[kind]]
    )
    sender.ready()
    until(lambda: time.monotonic() - process_began(sender) > 1.0)
    accepted, unanswered = [], []

    def client():
        with sender.connect() as sock:
            for _ in range(REQUESTS):
                ref = f"{len(refs):016x}"
                refs.append(ref)
                try:
                    head = sender.exchange(sender.message(ref=ref), sock)
                except OSError as fault:
                    unanswered.append((ref, repr(fault)))
                    return
                if head.status == 202:
                    accepted.append(ref)
                elif head.status != 503:
                    unanswered.append((ref, head.status))
                time.sleep(0.01)

    refs = []
    threads = [threading.Thread(target=client) for _ in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(3 * PATIENCE)
    assert not unanswered, (unanswered, sender.lines[-10:])
    assert sender.process.poll() is None, sender.lines[-10:]
    until(
        lambda: set(accepted)
        <= set(environment.host.refs()) | {n["message"] for n in environment.discovery.notices},
        2 * PATIENCE,
    )
    assert len(accepted) > ACCEPTED_LEAST.get(kind, SOUND_LEAST) * CLIENTS * REQUESTS, len(accepted)
    assert shim.struck(sender.fault_log)


class ShortageSocket:
    """Accepts three bytes at a time, after some failures."""

    def __init__(self, failures):
        self.failures, self.left, self.sent = failures, failures, b""

    def gettimeout(self):
        return None

    def send(self, data):
        if self.left:
            self.left -= 1
            raise OSError(errno.ENOBUFS, "no buffer space")
        self.left = self.failures
        self.sent += bytes(data[:3])
        return min(3, len(data))


def test_an_answer_is_written_through_a_shortage_of_some_tens_of_milliseconds():
    # After four failures in a row, 14 ms, the connection was ended and its message withdrawn.
    sock = ShortageSocket(sockets.MAX_TRIES - 1)
    sockets.send_all(sock, b"answer")
    assert sock.sent == b"answer"
    assert sockets.MAX_TRIES > 4
    with pytest.raises(OSError, match="no buffer space"):
        sockets.send_all(ShortageSocket(sockets.MAX_TRIES), b"answer")


def process_began(sender):
    """About when the sender's process began, on this process's monotonic clock."""
    if not hasattr(sender, "began"):
        sender.began = time.monotonic()
    return sender.began


LEFT_MS = 5000
STEPS = [3600, -3600, 30] if LONG else [3600, -3600]


@pytest.mark.parametrize("step_s", STEPS)
def test_a_wall_clock_stepped_between_two_processes_changes_no_span(environment, step_s):
    """After a kill and a restart, a message with 5 s to go ended at once, or lived for an hour."""
    sender, ref = sender_with_outstanding_message(environment, left=LEFT_MS)
    sender.step_s = step_s
    environment.host.held.clear()
    accepted = time.monotonic()
    sender.start()
    sender.ready()
    until(lambda: environment.host.refs().count(ref) == 2)  # it is sent again
    assert environment.discovery.notices == []
    until(lambda: any(n["message"] == ref for n in environment.discovery.notices))  # and ends at its deadline
    assert time.monotonic() - accepted < LEFT_MS / 1000
    assert any("the wall clock was stepped" in line for line in sender.lines)


def test_a_wall_clock_stepped_in_service_changes_no_span(environment):
    environment.host.held.clear()
    sender = environment.sender(step_s=3600, step_from_s=1.5)
    sender.ready()
    accepted = time.monotonic()
    ref, _ = sender.hand_in(left=3000)
    until(lambda: any(n["message"] == ref for n in environment.discovery.notices))
    assert 1.0 < time.monotonic() - accepted < 4.0
    assert sender.exchange(sender.request("GET", "/nowhere")).status == 404
    line = until(lambda: next((line for line in sender.lines if " bad: " in line), None))
    assert line[:13] != sender.lines[0][:13]  # the log shows the stepped wall clock
