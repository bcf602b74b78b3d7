"""What the bytes on a connection prove about the one request that it carried.

HTTP/1.1 ties an answer to its request by their order on the connection alone. A second copy of an earlier
answer, or an answer that nobody asked for, is therefore read as the answer of whatever request is out. An
`AnswerStream` takes all that comes on a connection that carried a single request with `Connection: close`, up
to the end that the peer writes behind its answer. Whole answers that agree, and then that end, are believed.
Anything else proves nothing: the request may have been executed.

In: bytes, and how the connection ended. Out: an `Evidence` and the answers. No sockets, no clocks.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from enum import Enum

from willownotch.net import http

FIRST_LINE_BYTES = 80  # of what came, in log lines
MAX_ANSWERS = 16  # that are kept of one connection; a peer that goes on writing must not fill the memory


class Evidence(Enum):
    """What a connection that is over shows of its request."""

    ANSWERED = "answered"  # whole answers that agree, then the peer's end
    CONFLICTING = "conflicting answers"
    DAMAGED = "damaged answer"  # also bytes behind an answer that are none
    NO_ANSWER = "ended without an answer"
    NOT_ENDED = "answered, but not ended"  # in time
    RESET = "reset behind an answer"


class Ending(Enum):
    """How reading a connection ended."""

    BY_PEER = "the peer ended it"
    RESET = "it broke"
    OPEN = "it was given up here"  # a time-out, or a call that was cancelled


@dataclass(frozen=True, slots=True)
class Answer:
    """One whole answer."""

    head: http.Head
    body: bytes


class AnswerStream:
    """Everything that was read on a connection with one request."""

    def __init__(self, optional: tuple[bytes, ...] = ()) -> None:
        self.answers: list[Answer] = []
        self.damage = ""  # why the bytes cannot be split into answers
        self.first_bytes = b""
        self._parser = http.Parser(answer=True, optional=optional)

    @property
    def ended(self) -> bool:
        """Whether the peer has ended the connection."""
        return self._parser.eof

    @property
    def begun(self) -> bool:
        """Whether any of an answer is in; whole interim heads do not count."""
        return bool(self.answers) or self._parser.begun or bool(self.damage)

    def feed(self, data: bytes) -> None:
        """Add bytes; none are the end that the peer has written."""
        if len(self.first_bytes) < FIRST_LINE_BYTES:
            self.first_bytes = (self.first_bytes + data)[:FIRST_LINE_BYTES]
        if self.damage:
            self._parser.eof = self._parser.eof or not data
            return
        self._parser.feed(data)
        try:
            while (found := self._parser.next()) is not None:
                if len(self.answers) == MAX_ANSWERS:
                    raise http.BadMessageError(400, "too many answers")
                self.answers.append(Answer(*found))
        except http.BadMessageError as fault:
            self.damage = str(fault)

    def evidence(self, ending: Ending, meaning: Callable[[Answer], Hashable]) -> Evidence:
        """What is proved now that reading has ended.

        Answers agree if their `meaning` is equal. Several that agree are as good as one: whichever of them is
        the request's own says the same.
        """
        if ending is Ending.BY_PEER and not self.begun:
            return Evidence.NO_ANSWER
        if self.damage or (ending is Ending.BY_PEER and self._parser.begun) or self._hides_an_answer():
            return Evidence.DAMAGED
        if len({meaning(answer) for answer in self.answers}) > 1:
            return Evidence.CONFLICTING
        if ending is Ending.BY_PEER:
            return Evidence.ANSWERED
        if not self.answers:
            return Evidence.NO_ANSWER
        return Evidence.RESET if ending is Ending.RESET else Evidence.NOT_ENDED

    def _hides_an_answer(self) -> bool:
        """Whether an answer holds a status line with another status: it may have broken off there."""
        return any(
            int(status) != answer.head.status
            for answer in self.answers
            for part in (answer.body, *(value.encode("latin-1") for value in answer.head.headers.values()))
            for status in http.EMBEDDED_STATUS_LINE.findall(part)
        )

    def first_line(self) -> str:
        """The first line of what came, for the log."""
        return repr(self.first_bytes.partition(b"\r\n")[0])[2:-1]
