"""What a connection that carried one request proves, from drawn streams of bytes (issue 60)."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from willownotch.net import answers, http
from willownotch.net.answer_stream import MAX_ANSWERS, AnswerStream, Ending, Evidence

OK, BUSY = http.write_answer(200), http.write_answer(503)
LOADED = http.write_answer(200, [("Server-Load", "x0=0.4,x1=25")], b"body")
BODILESS = b"HTTP/1.1 200 OK\r\n\r\n"  # up to the end of the connection
HINTS = b"HTTP/1.1 103 Early Hints\r\n\r\n"
KINDS = [
    OK,
    LOADED,
    BODILESS,
    BUSY,
    http.write_answer(503, [("X-Line-Busy", "1")]),
    http.write_answer(429, [("Retry-After", "0.5")]),
    http.write_answer(500, body=b"failed"),
    http.write_answer(410),
    http.write_answer(504),
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
]


def read(data, ending=Ending.BY_PEER, pieces=()):
    """A stream that has read the data in pieces, and its evidence."""
    stream, at = AnswerStream(optional=(b"server-load",)), 0
    for size in pieces:
        if part := data[at : at + size]:
            stream.feed(part)
        at += size
    if data[at:]:
        stream.feed(data[at:])
    if ending is Ending.BY_PEER:
        stream.feed(b"")
    return stream, stream.evidence(ending, answers.meaning)


def meaning_of(answer):
    stream, evidence = read(answer)
    assert evidence is Evidence.ANSWERED
    return answers.meaning(stream.answers[0])


def test_one_whole_answer_and_the_end_are_believed():
    for answer in KINDS:
        assert read(answer)[1] is Evidence.ANSWERED, answer
        assert read(HINTS * 3 + answer)[1] is Evidence.ANSWERED, answer


@pytest.mark.parametrize(
    "data,ending,expected",
    [
        (b"", Ending.BY_PEER, Evidence.NO_ANSWER),
        (HINTS, Ending.BY_PEER, Evidence.NO_ANSWER),
        (b"", Ending.OPEN, Evidence.NO_ANSWER),
        (b"", Ending.RESET, Evidence.NO_ANSWER),
        (OK, Ending.OPEN, Evidence.NOT_ENDED),
        (OK, Ending.RESET, Evidence.RESET),
        (OK + BUSY, Ending.BY_PEER, Evidence.CONFLICTING),
        (BUSY + OK, Ending.OPEN, Evidence.CONFLICTING),
        (OK + LOADED, Ending.BY_PEER, Evidence.ANSWERED),
        (OK + OK[:9], Ending.BY_PEER, Evidence.DAMAGED),
        (OK[:9] + BUSY, Ending.BY_PEER, Evidence.DAMAGED),
        (OK[:-4], Ending.BY_PEER, Evidence.DAMAGED),
        (OK + b"surplus", Ending.BY_PEER, Evidence.DAMAGED),
        (BODILESS + BUSY, Ending.BY_PEER, Evidence.DAMAGED),
        (http.write_answer(200, body=BUSY), Ending.BY_PEER, Evidence.DAMAGED),
        (http.write_answer(200, body=OK), Ending.BY_PEER, Evidence.ANSWERED),
        (LOADED[: LOADED.index(b"x0=0") + 4] + BUSY, Ending.BY_PEER, Evidence.DAMAGED),
        (b"\x16\x03 noise", Ending.OPEN, Evidence.NO_ANSWER),
        (b"noise\r\n\r\n", Ending.BY_PEER, Evidence.DAMAGED),
    ],
)
def test_what_each_end_of_a_connection_proves(data, ending, expected):
    assert read(data, ending)[1] is expected


def test_a_peer_that_goes_on_answering_fills_no_memory():
    stream = AnswerStream()
    for _ in range(50 * MAX_ANSWERS):
        stream.feed(LOADED)
    assert len(stream.answers) == MAX_ANSWERS
    stream.feed(b"")
    assert stream.ended and stream.evidence(Ending.BY_PEER, answers.meaning) is Evidence.DAMAGED


@st.composite
def spoilt_streams(draw):
    """Copies of answers, whole or in part, and the request's own answer behind them."""
    own = draw(st.sampled_from(KINDS))
    before = b""
    for copy in draw(st.lists(st.sampled_from(KINDS), max_size=3)):
        first, last = sorted((draw(st.integers(0, len(copy))), draw(st.integers(0, len(copy)))))
        before += draw(st.sampled_from([copy, copy[:last], copy[first:last]]))
    return before, own


@given(spoilt_streams(), st.lists(st.integers(1, 40), max_size=8))
@example((OK, BUSY), [])
@example((BODILESS, BUSY), [3, 1])
@settings(max_examples=600)
def test_bytes_in_front_of_a_whole_answer_never_pass_for_it(drawn, pieces):
    """A repeated answer was taken for the answer of the next call, which was lost or run twice."""
    before, own = drawn
    stream, evidence = read(before + own, Ending.BY_PEER, pieces)
    if evidence is Evidence.ANSWERED:
        assert {answers.meaning(answer) for answer in stream.answers} == {meaning_of(own)}


@given(spoilt_streams(), st.integers(0, 400), st.sampled_from(list(Ending)))
@settings(max_examples=600)
def test_nothing_is_believed_without_the_peers_end(drawn, cut, ending):
    before, own = drawn
    _, evidence = read((before + own)[:cut], ending)
    assert evidence is not Evidence.ANSWERED or ending is Ending.BY_PEER


@given(spoilt_streams(), st.lists(st.integers(1, 40), max_size=8))
@settings(max_examples=300)
def test_pieces_change_nothing(drawn, pieces):
    data = b"".join(drawn)
    assert read(data, Ending.BY_PEER, pieces)[1] is read(data)[1]
