"""What one request may cost before it is whole: its lines, its chunks, and the memory for its body."""

import threading

import pytest

from willownotch.net import http
from willownotch.net.client_connections import Stage
from willownotch.net.clock import Clock
from willownotch.net.config import Limits
from willownotch.net.pending_connections import Received, classify
from willownotch.net.read_budget import ALLOWANCE_BYTES, ReadBudget, max_reading_bytes

POST = b"POST /api HTTP/1.1\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


def feed(data, size):
    parser = http.Parser(answer=False)
    for at in range(0, len(data), size):
        parser.feed(data[at : at + size])
        if (found := parser.next()) is not None:
            return found
    return parser


@pytest.mark.parametrize("size", [1, 2, 3, 1000])
def test_a_head_of_too_many_fields_is_refused_before_its_end(size):
    with pytest.raises(http.BadMessageError) as caught:
        feed(POST + b"a:b\r\n" * 150, size)
    assert caught.value.status == 431
    assert feed(POST + b"a:b\r\n" * 99 + b"Content-Length: 0\r\n\r\n", size)[1] == b""


def test_chunks_of_one_byte_are_refused_and_small_ones_are_not():
    with pytest.raises(http.BadMessageError) as caught:
        feed(CHUNKED + b"1\r\nx\r\n" * 5000, 4096)
    assert caught.value.status == 400
    with pytest.raises(http.BadMessageError):
        feed(CHUNKED + b"1;" + b"x" * 1000 + b"\r\ny\r\n", 4096)
    for size, count in ((1, 40), (8, 8000), (500, 120)):
        chunk = b"%x\r\n" % size + b"x" * size + b"\r\n"
        assert feed(CHUNKED + chunk * count + b"0\r\n\r\n", 4096)[1] == b"x" * size * count


def test_empty_lines_before_a_request_are_bounded():
    assert feed(b"\r\n" * 10 + b"GET / HTTP/1.1\r\n\r\n", 1)[1] == b""
    with pytest.raises(http.BadMessageError):
        feed(b"\r\n" * 100, 1)


@pytest.mark.parametrize("size", [1, 100, 5000])
def test_a_body_read_into_its_space_is_the_body(size):
    body = bytes(range(256)) * 200
    data = POST + b"Content-Length: %d\r\n\r\n" % len(body) + body + POST
    parser, at, found = http.Parser(answer=False), 0, None
    while found is None:
        space = parser.body_space()
        if space is None:
            parser.feed(data[at : at + size])
            at += len(data[at : at + size])
        else:
            part = data[at : at + min(size, len(space))]
            space[: len(part)] = part
            space.release()
            parser.received(len(part))
            at += len(part)
        assert parser.memory_needed() <= len(body) + size + 100
        found = parser.next()
    assert found[1] == body
    assert not parser.eof
    assert bytes(parser.buffer) + data[at:] == POST


class Reader:
    """A client as the budget sees it."""

    def __init__(self, now, slow=False):
        self.stage, self.patience_until, self.slow = Stage.READING, now, slow

    def is_slow(self, now):
        return self.slow


def test_requests_that_are_read_hold_no_more_than_the_budget_together():
    clock, cut = Clock(), []
    budget = ReadBudget(200_000, clock, cut.append)
    readers = [Reader(clock.now()) for _ in range(5)]
    found = [budget.reserve(reader, 60_000 + ALLOWANCE_BYTES) for reader in readers]
    assert found == [True, True, True, False, False] and not cut
    assert budget.reserve(readers[4], ALLOWANCE_BYTES)  # a small one needs no room
    budget.release(readers[0])
    assert budget.reserve(readers[4], 60_000 + ALLOWANCE_BYTES)
    for reader in readers:
        budget.release(reader)
    assert budget.used == 0


def test_a_slow_request_is_ended_for_one_that_needs_its_room():
    clock = Clock()
    slow, sound, asking = Reader(clock.now(), slow=True), Reader(clock.now()), Reader(clock.now())

    def cut(client):  # its thread answers 408 and gives the room back
        assert client is slow
        threading.Thread(target=budget.release, args=(client,)).start()

    budget = ReadBudget(100_000, clock, cut)
    assert budget.reserve(slow, 60_000) and budget.reserve(sound, 40_000)
    assert budget.reserve(asking, 50_000)


@pytest.mark.parametrize(("memory", "most"), [(0.0, 200_000), (32.0, 2_000_000), (1e9, 16_000_000)])
def test_the_budget_follows_the_memory(memory, most):
    assert 65_536 < max_reading_bytes(Limits(memory_mb=memory)) <= most


def test_a_pending_connection_is_judged_by_what_has_come():
    request = POST + b"content-length: 5\r\n\r\nhello"
    assert classify(request, len(request)) is Received.WHOLE_REQUEST
    assert classify(request[:-1], len(request) - 1) is Received.PART
    assert classify(request * 2, 2 * len(request)) is Received.SEVERAL
    large = POST + b"Content-Length: 60000\r\n\r\n" + b"x" * 100
    assert classify(large, len(large) + 59_900) is Received.WHOLE_REQUEST
    assert classify(large, len(large)) is Received.PART
    assert classify(CHUNKED + b"0\r\n\r\n", 0) is Received.PART
    assert classify(b"GET / HTTP/1.1\r\n", 0) is Received.PART
    assert classify(b"GET / HTTP/1.1\r\n\r\n", 0) is Received.WHOLE_REQUEST
