"""Reads a connection that carried one request to its end, for `AnswerStream`."""

from __future__ import annotations

import socket
from collections.abc import Callable
from datetime import datetime, timedelta

from willownotch.net import http, sockets
from willownotch.net.answer_stream import AnswerStream, Ending
from willownotch.net.clock import Clock, seconds

# From the first byte of an answer to the end of its connection: peers answer in one go, and close at once.
ANSWER_COMPLETION_TIMEOUT = timedelta(milliseconds=500)
MIN_SOCKET_TIMEOUT = timedelta(milliseconds=1)
CLOSE_HEADER = ("Connection", "close")  # of the request: the peer's end is then part of its answer


class AnswerReader:
    """Feeds a stream from a socket until the peer ends the connection, it breaks, or it is given up."""

    def __init__(self, sock: socket.socket, stream: AnswerStream, clock: Clock) -> None:
        self.sock, self.stream, self.clock = sock, stream, clock
        self.last_byte_at = clock.now()
        self._path_errors = 0  # the kernel reports some of them once

    def read_to_end(self, attend: Callable[[datetime], datetime], is_awaited: Callable[[], bool]) -> Ending:
        """Read, and return how that ended.

        `attend` is called with the time whenever that may matter, and returns when it wants to be called
        again; the connection is given up if that is not in the future. `is_awaited` is false if another
        thread may have shut the connection down here, which reads like the peer's end.
        """
        try:
            self._read(attend)
        except OSError:
            return Ending.RESET
        if not self.stream.ended or not is_awaited():
            return Ending.OPEN
        if self._path_errors and not sockets.closed_by_peer(self.sock):
            return Ending.RESET
        return Ending.BY_PEER

    def _read(self, attend: Callable[[datetime], datetime]) -> None:
        completion_ends: datetime | None = None
        while not self.stream.ended:
            now = self.clock.now()
            until = attend(now)
            if not self.stream.begun:
                completion_ends = None  # a whole interim head does not count
            else:
                completion_ends = completion_ends or now + ANSWER_COMPLETION_TIMEOUT
                until = min(until, completion_ends)
            if until <= now:
                return
            self.sock.settimeout(seconds(max(MIN_SOCKET_TIMEOUT, until - now)))
            try:
                self.stream.feed(sockets.receive(self.sock, http.READ_BYTES, self._note_path_error))
            except TimeoutError as fault:
                if fault.errno is not None:
                    raise  # of the connection, not of `settimeout`
                continue
            self.last_byte_at = self.clock.now()

    def _note_path_error(self, fault: OSError) -> None:
        self._path_errors += fault.errno in sockets.PATH_ERRORS
