"""Notices of final outcomes: sent to the platform until it has answered them."""

from __future__ import annotations

import queue
import time
from collections.abc import Callable
from datetime import timedelta

import msgspec

from willownotch.net import http, sockets
from willownotch.net.answer_reading import CLOSE_HEADER, AnswerReader
from willownotch.net.answer_stream import Answer, AnswerStream, Evidence
from willownotch.net.clock import seconds
from willownotch.net.log import Log
from willownotch.net.registry import Backoff, Platform

# Notices are answered at once: after a timeout the connection counts as lost. Each try doubles the timeout.
NOTICE_TIMEOUT, MAX_NOTICE_TIMEOUT = timedelta(milliseconds=150), timedelta(seconds=1)
MAX_NOTICES_PER_CALL = 64
UNREADABLE = 400  # the status for notices that the platform cannot read


class Notice(msgspec.Struct, omit_defaults=True):
    """The final outcome of a message, sent to the platform as one line of JSON."""

    message: str
    outcome: str
    retry_in_ms: int | None = None


def is_taken(status: int) -> bool:
    """Whether a status says that the platform has the notices."""
    return 200 <= status < 300


def meaning(answer: Answer) -> tuple[bool, bool]:
    """What an answer says of the notices: whether they are taken, and whether they can be read."""
    return is_taken(answer.head.status), answer.head.status != UNREADABLE


class NoticeSender:
    """Sends notices of final outcomes to the platform, and repeats each until it is answered."""

    def __init__(self, platform: Platform, log: Log, on_answered: Callable[[list[str]], None]) -> None:
        self.platform, self.log, self.on_answered = platform, log, on_answered
        self._last_answer_time = timedelta(0)  # that the last answer took
        self._queue: queue.SimpleQueue[Notice] = queue.SimpleQueue()

    def post(self, notice: Notice) -> None:
        """Queue a notice."""
        self._queue.put(notice)

    def run(self) -> None:
        """Send queued notices until the process ends."""
        while True:
            notices = [self._queue.get()]
            while len(notices) < MAX_NOTICES_PER_CALL and not self._queue.empty():
                notices.append(self._queue.get())
            self._send(notices)

    def _send(self, notices: list[Notice]) -> None:
        """Send notices in one call, again and again until it is answered.

        A platform whose last answer was slow is given twice that time at once: asked again before it has
        answered, it would only be slower. Without an answer the notices are sent again at once, on another
        connection, and after that with growing pauses.
        """
        backoff, lost_connections = Backoff(), 0
        timeout = min(MAX_NOTICE_TIMEOUT, max(NOTICE_TIMEOUT, 2 * self._last_answer_time))
        while True:
            moves, began = self.platform.moves, time.monotonic()
            try:
                status = self._exchange(notices, timeout)
            except OSError as fault:
                timeout = min(MAX_NOTICE_TIMEOUT, 2 * timeout)
                self.log.say("notice", f"not answered, retrying: {fault or type(fault).__name__}")
                lost_connections += 1
                if lost_connections == 1:
                    continue
            else:
                self._last_answer_time = timedelta(seconds=time.monotonic() - began)
                if is_taken(status):
                    return self.on_answered([notice.message for notice in notices])
                if status == UNREADABLE:
                    return self._handle_unreadable(notices)
                self.log.say("notice", f"answered with {status}, retrying")
            self.platform.pause(backoff.next(), moves)

    def _handle_unreadable(self, notices: list[Notice]) -> None:
        """Handle an answer of 400. Several notices are sent again one by one, so that a bad one holds up no
        other; a single one is given up."""
        if len(notices) > 1:
            for notice in notices:
                self._send([notice])
            return
        self.log.say("notice", f"the platform cannot read the notice of {notices[0].message}: given up")
        self.on_answered([notices[0].message])

    def _exchange(self, notices: list[Notice], timeout: timedelta) -> int:
        """Make one call on a connection of its own; its status. Duplicates do no harm.

        Raises `OSError` unless the platform wrote one answer, or several that agree, and then the end.
        """
        sock, host_header, moves = self.platform.connect()
        try:
            sock.settimeout(seconds(timeout))
            body = b"".join(msgspec.json.encode(notice) + b"\n" for notice in notices)
            headers = [("Content-Type", "application/x-ndjson"), CLOSE_HEADER]
            sockets.send_all(sock, http.write_request("POST", "/v1/outcomes", host_header, headers, body))
            stream, clock = AnswerStream(), self.log.clock
            ends_at = clock.now() + timeout
            reader = AnswerReader(sock, stream, clock)
            # A move of the platform shuts its connections down.
            ending = reader.read_to_end(lambda now: ends_at, lambda: self.platform.moves == moves)
        finally:
            self.platform.close(sock)
        evidence = stream.evidence(ending, meaning)
        self.log.counters.add("notice answer", evidence.value)
        if evidence is not Evidence.ANSWERED:
            raise ConnectionError(f"{evidence.value}, first line {stream.first_line()}")
        return stream.answers[0].head.status
