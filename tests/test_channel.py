"""The control socket by itself: requests one after another or concurrently, large ones and invalid ones."""

from __future__ import annotations

import socket
import threading

import pytest

from willownotch.channel.client import AskError, ask
from willownotch.channel.server import MAX_LINE_BYTES, Server

TIMEOUT_S = 20.0


def start(name, work):
    threading.Thread(target=work, name=name, daemon=True).start()


@pytest.fixture
def serve(tmp_path):
    servers = []

    def make(**options):
        server = Server(tmp_path / f"s{len(servers)}", **options)
        server.handlers["length"] = lambda about: len(about["text"])
        servers.append(server)
        start("control", server.run)
        return server

    yield make
    for server in servers:
        server.close()


def test_a_slow_answer_does_not_delay_others(serve):
    server = serve(start=start)
    started, proceed = threading.Event(), threading.Event()

    def slow(about):
        started.set()
        assert proceed.wait(TIMEOUT_S)
        return "done"

    server.handlers["slow"] = slow
    found = []
    asking = threading.Thread(target=lambda: found.append(ask(server.path, "slow", timeout_s=TIMEOUT_S)))
    asking.start()
    assert started.wait(TIMEOUT_S)
    assert ask(server.path, "length", {"text": "abc"}) == 3
    assert not found
    proceed.set()
    asking.join(TIMEOUT_S)
    assert found == ["done"]


def test_the_number_of_concurrent_answers_is_bounded_and_the_rest_wait(serve):
    server = serve(start=start, max_concurrent=2)
    lock, running, counts = threading.Lock(), [], []
    both, proceed = threading.Barrier(3), threading.Event()

    def slow(about):
        with lock:
            running.append(1)
            counts.append(len(running))
        if len(counts) <= 2:
            both.wait(TIMEOUT_S)
            assert proceed.wait(TIMEOUT_S)
        with lock:
            running.pop()
        return "done"

    server.handlers["slow"] = slow
    found = []
    asking = [
        threading.Thread(target=lambda: found.append(ask(server.path, "slow", timeout_s=TIMEOUT_S)))
        for _ in range(6)
    ]
    for thread in asking:
        thread.start()
    both.wait(TIMEOUT_S)
    assert counts == [1, 2] and not found
    proceed.set()
    for thread in asking:
        thread.join(TIMEOUT_S)
    assert found == ["done"] * 6 and max(counts) == 2


@pytest.mark.parametrize("max_bytes", [MAX_LINE_BYTES, 4 << 20])
def test_the_size_of_a_request_is_bounded(serve, max_bytes):
    server = serve(max_line_bytes=max_bytes, start=start)
    fits = max_bytes - 100
    assert ask(server.path, "length", {"text": "x" * fits}) == fits
    with pytest.raises(AskError):
        ask(server.path, "length", {"text": "x" * (max_bytes + 200_000)})
    assert ask(server.path, "length", {"text": "after"}) == 5


@pytest.mark.parametrize("data", [b"", b"\n", b"noise\n", b'{"ask": 1}\n', b'{"ask": "who"}\n', b'{"ask'])
def test_an_invalid_request_gets_an_error_and_the_next_one_is_answered(serve, data):
    for server in (serve(), serve(start=start)):
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(TIMEOUT_S)
            sock.connect(str(server.path))
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            assert b'"error"' in sock.makefile("rb").read()
        assert ask(server.path, "length", {"text": "abc"}) == 3


def test_a_client_that_disconnects_early_frees_its_slot(serve):
    server = serve(start=start, max_concurrent=2)
    for _ in range(8):
        with socket.socket(socket.AF_UNIX) as sock:
            sock.connect(str(server.path))
            sock.sendall(b'{"ask"')
    assert ask(server.path, "length", {"text": "abc"}, TIMEOUT_S) == 3
