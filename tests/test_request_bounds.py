"""What one request may cost before it is whole: its lines, its chunks, and the memory for its body."""

import pytest

from willownotch.net import http

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
