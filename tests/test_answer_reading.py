"""How the end of a connection with one request is told apart from what only reads like it."""

import errno
import socket
from datetime import timedelta

import pytest

from willownotch.net import answers, http, sockets
from willownotch.net.answer_reading import ANSWER_COMPLETION_TIMEOUT, AnswerReader
from willownotch.net.answer_stream import AnswerStream, Ending, Evidence
from willownotch.net.clock import Clock

OK = http.write_answer(200)
LONG = timedelta(seconds=10)


class ScriptedSocket:
    """Returns or raises what its script has, one after the other, in the TCP state that is given."""

    def __init__(self, *script, state=sockets.TCP_CLOSE_WAIT):
        self.script, self.state, self.timeouts_s = list(script), state, []

    def settimeout(self, timeout_s):
        self.timeouts_s.append(timeout_s)

    def recv(self, size):
        found = self.script.pop(0)
        if isinstance(found, OSError):
            raise found
        return found

    def getsockopt(self, level, option, size):
        return bytes([self.state])


def read(sock, is_awaited=lambda: True, left=LONG):
    clock, stream = Clock(), AnswerStream()
    ends_at = clock.now() + left
    ending = AnswerReader(sock, stream, clock).read_to_end(lambda now: ends_at, is_awaited)
    return ending, stream.evidence(ending, answers.meaning)


TCP_CLOSE = 7  # the state of a connection that broke


@pytest.mark.parametrize("number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EPROTO])
def test_a_connection_that_broke_with_an_error_is_not_ended_by_its_peer(number):
    """The kernel reports the error once. The read after it returned nothing, as at the end of an answer."""
    broken = ScriptedSocket(OK, OSError(number, "broke"), b"", state=TCP_CLOSE)
    assert read(broken) == (Ending.RESET, Evidence.RESET)
    passing = ScriptedSocket(OSError(number, "for a moment"), OK, b"")
    assert read(passing) == (Ending.BY_PEER, Evidence.ANSWERED)


def test_a_connection_that_was_shut_down_here_is_not_ended_by_its_peer():
    assert read(ScriptedSocket(OK, b""), is_awaited=lambda: False) == (Ending.OPEN, Evidence.NOT_ENDED)


def test_a_reset_behind_an_answer_is_no_end():
    reset = ConnectionResetError(errno.ECONNRESET, "reset")
    assert read(ScriptedSocket(OK, reset)) == (Ending.RESET, Evidence.RESET)
    assert read(ScriptedSocket(reset)) == (Ending.RESET, Evidence.NO_ANSWER)


def test_the_end_is_waited_for_half_a_second_from_the_first_byte_of_an_answer():
    """An answer that never ends held its slot for as long as the message had."""
    ours, theirs = socket.socketpair()
    theirs.sendall(OK)
    clock, stream = Clock(), AnswerStream()
    began = clock.now()
    ending = AnswerReader(ours, stream, clock).read_to_end(lambda now: began + LONG, lambda: True)
    assert (ending, stream.evidence(ending, answers.meaning)) == (Ending.OPEN, Evidence.NOT_ENDED)
    assert ANSWER_COMPLETION_TIMEOUT <= clock.now() - began < LONG
    ours.close()
    theirs.close()


def test_whole_interim_heads_do_not_start_that_wait():
    hints = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    sock = ScriptedSocket(hints, hints, OK, b"")
    assert read(sock) == (Ending.BY_PEER, Evidence.ANSWERED)
    longest_s = ANSWER_COMPLETION_TIMEOUT.total_seconds()
    assert [timeout_s > longest_s for timeout_s in sock.timeouts_s] == [True, True, True, False]


def test_a_call_whose_time_is_up_is_given_up():
    assert read(ScriptedSocket(), left=timedelta(0)) == (Ending.OPEN, Evidence.NO_ANSWER)
