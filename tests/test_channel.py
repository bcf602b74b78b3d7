"""The control socket by itself: one question after another, or many at once, large ones and bad ones."""

from __future__ import annotations

import socket
import threading

import pytest

from willownotch.channel.client import AskError, ask
from willownotch.channel.server import LINE_MOST, Server

PATIENCE = 20.0


def start(name, work):
    threading.Thread(target=work, name=name, daemon=True).start()


@pytest.fixture
def serve(tmp_path):
    servers = []

    def made(**more):
        server = Server(tmp_path / f"s{len(servers)}", **more)
        server.handlers["length"] = lambda about: len(about["text"])
        servers.append(server)
        start("control", server.run)
        return server

    yield made
    for server in servers:
        server.close()


def test_an_answer_that_takes_its_time_keeps_no_other_waiting(serve):
    server = serve(start=start)
    began, go_on = threading.Event(), threading.Event()

    def slow(about):
        began.set()
        assert go_on.wait(PATIENCE)
        return "done"

    server.handlers["slow"] = slow
    found = []
    asking = threading.Thread(target=lambda: found.append(ask(server.path, "slow", patience=PATIENCE)))
    asking.start()
    assert began.wait(PATIENCE)
    assert ask(server.path, "length", {"text": "abc"}) == 3
    assert not found
    go_on.set()
    asking.join(PATIENCE)
    assert found == ["done"]


def test_no_more_are_answered_at_once_than_is_said_and_the_rest_wait(serve):
    server = serve(start=start, at_once=2)
    lock, at_once, most = threading.Lock(), [], []
    both, go_on = threading.Barrier(3), threading.Event()

    def slow(about):
        with lock:
            at_once.append(1)
            most.append(len(at_once))
        if len(most) <= 2:
            both.wait(PATIENCE)
            assert go_on.wait(PATIENCE)
        with lock:
            at_once.pop()
        return "done"

    server.handlers["slow"] = slow
    found = []
    asking = [
        threading.Thread(target=lambda: found.append(ask(server.path, "slow", patience=PATIENCE)))
        for _ in range(6)
    ]
    for thread in asking:
        thread.start()
    both.wait(PATIENCE)
    assert most == [1, 2] and not found
    go_on.set()
    for thread in asking:
        thread.join(PATIENCE)
    assert found == ["done"] * 6 and max(most) == 2


@pytest.mark.parametrize("most", [LINE_MOST, 4 << 20])
def test_a_question_may_be_as_large_as_is_said_and_no_larger(serve, most):
    server = serve(line_most=most, start=start)
    fits = most - 100
    assert ask(server.path, "length", {"text": "x" * fits}) == fits
    with pytest.raises(AskError):
        ask(server.path, "length", {"text": "x" * (most + 200_000)})
    assert ask(server.path, "length", {"text": "after"}) == 5


@pytest.mark.parametrize("said", [b"", b"\n", b"noise\n", b'{"ask": 1}\n', b'{"ask": "who"}\n', b'{"ask'])
def test_bad_questions_are_told_so_and_the_next_one_is_answered(serve, said):
    for server in (serve(), serve(start=start)):
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(PATIENCE)
            sock.connect(str(server.path))
            sock.sendall(said)
            sock.shutdown(socket.SHUT_WR)
            assert b'"error"' in sock.makefile("rb").read()
        assert ask(server.path, "length", {"text": "abc"}) == 3


def test_who_goes_away_without_an_answer_gives_its_place_back(serve):
    server = serve(start=start, at_once=2)
    for _ in range(8):
        with socket.socket(socket.AF_UNIX) as sock:
            sock.connect(str(server.path))
            sock.sendall(b'{"ask"')
    assert ask(server.path, "length", {"text": "abc"}, PATIENCE) == 3
