"""Notices of final outcomes: sent to the platform until it has answered them."""

from __future__ import annotations

import queue
import socket
import time
from collections.abc import Callable
from datetime import timedelta

import msgspec

from willownotch.net import http, sockets
from willownotch.net.clock import seconds
from willownotch.net.log import Log
from willownotch.net.registry import Backoff, Platform

# Notices are answered at once: after a timeout the connection counts as lost. Each try doubles the timeout.
NOTICE_TIMEOUT, MAX_NOTICE_TIMEOUT = timedelta(milliseconds=150), timedelta(seconds=1)
MAX_NOTICES_PER_CALL = 64


class Notice(msgspec.Struct, omit_defaults=True):
    """The final outcome of a message, sent to the platform as one line of JSON."""

    message: str
    outcome: str
    retry_in_ms: int | None = None


class NoticeSender:
    """Sends notices of final outcomes to the platform, and repeats each until it is answered."""

    def __init__(self, platform: Platform, log: Log, on_answered: Callable[[list[str]], None]) -> None:
        self.platform, self.log, self.on_answered = platform, log, on_answered
        self._last_answer_time = timedelta(0)  # that the last answer took
        self._queue: queue.SimpleQueue[Notice] = queue.SimpleQueue()
        self._sock: socket.socket | None = None
        self._host_header = ""

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
        answered, it would only be slower.
        """
        backoff = Backoff()
        timeout = min(MAX_NOTICE_TIMEOUT, max(NOTICE_TIMEOUT, 2 * self._last_answer_time))
        while True:
            reused, moves = self._sock is not None, self.platform.moves
            began = time.monotonic()
            try:
                status = self._exchange(notices, timeout)
            except (OSError, http.BadMessageError) as fault:
                timeout = min(MAX_NOTICE_TIMEOUT, 2 * timeout)
                if reused:  # it may have been closed while idle: retry at once
                    self._close()
                    continue
                self.log.say("notice", f"not answered, retrying: {fault or type(fault).__name__}")
            else:
                self._last_answer_time = timedelta(seconds=time.monotonic() - began)
                if 200 <= status < 300:
                    return self.on_answered([notice.message for notice in notices])
                if status == 400:
                    return self._handle_unreadable(notices)
                self.log.say("notice", f"answered with {status}, retrying")
            self._close()
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
        """Make one call, on the open connection or a new one; its status. Duplicates do no harm."""
        if self._sock is None:
            self._sock, self._host_header, _ = self.platform.connect()
        self._sock.settimeout(seconds(timeout))
        body = b"".join(msgspec.json.encode(notice) + b"\n" for notice in notices)
        headers = [("Content-Type", "application/x-ndjson")]
        sockets.send_all(
            self._sock, http.write_request("POST", "/v1/outcomes", self._host_header, headers, body)
        )
        parser = http.Parser(answer=True)
        while (found := parser.next()) is None:
            if parser.eof:
                raise ConnectionResetError("the connection ended without an answer")
            parser.feed(sockets.receive(self._sock, http.READ_BYTES))
        if not found[0].keeps_alive():
            self._close()
        return found[0].status

    def _close(self) -> None:
        if self._sock is not None:
            self.platform.close(self._sock)
        self._sock = None
