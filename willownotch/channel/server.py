"""Answers requests on a Unix socket: one request per connection, one JSON line each way."""

from __future__ import annotations

import os
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from willownotch.json_text import decode_json

MAX_LINE_BYTES = 64 * 1024  # of a request
READ_BYTES = 64 * 1024
TIMEOUT_S = 2.0  # for a client to send a piece of its request, and to accept a piece of the answer
BACKLOG = 16
ACCEPT_RETRY_DELAY_S = 0.05  # after an accept that failed


class Request(msgspec.Struct):
    """The request's name, and its arguments."""

    ask: str
    about: dict[str, str] = {}


class BadRequestError(ValueError):
    """A request cannot be answered; the text says why."""


Handler = Callable[[dict[str, str]], Any]  # from the arguments to the answer
Start = Callable[[str, Callable[[], None]], None]


def bind(path: Path, replace: bool = False) -> socket.socket:
    """Binds a listening socket at a path, accessible to this user only.

    A socket left by a dead process is replaced. If a live process listens there, `OSError`, unless `replace`
    says that this process takes over from it.
    """
    if replace:
        path.unlink(missing_ok=True)
    elif path.is_socket():
        with socket.socket(socket.AF_UNIX) as probe:
            try:
                probe.connect(str(path))
            except ConnectionRefusedError:
                path.unlink()
            else:
                raise OSError(f"another process listens on {path}")
    sock = socket.socket(socket.AF_UNIX)
    try:
        sock.bind(str(path))
        os.chmod(path, 0o600)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


class Server:
    """Answers one client after the other; a slow client delays the next by the timeout at most.

    With `start`, which runs a function on a thread, it answers up to `max_concurrent` clients at once, each
    on a thread of its own, so that slow handlers do not delay others. Handlers are then called on several
    threads, and further clients wait. `max_line_bytes` bounds a request.
    """

    def __init__(
        self,
        path: str | Path,
        max_line_bytes: int = MAX_LINE_BYTES,
        start: Start | None = None,
        max_concurrent: int = 32,
        replace: bool = False,
    ) -> None:
        self.path, self.max_line_bytes, self.start = Path(path), max_line_bytes, start
        self.handlers: dict[str, Handler] = {}
        self._slots = threading.BoundedSemaphore(max_concurrent if start is not None else 1)
        self._sock = bind(self.path, replace)

    def run(self) -> None:
        """Serves clients until the socket is closed or the process ends."""
        while True:
            self._slots.acquire()
            try:
                client, _ = self._sock.accept()
            except OSError:
                self._slots.release()
                if self._sock.fileno() < 0:
                    return
                time.sleep(ACCEPT_RETRY_DELAY_S)  # mostly out of descriptors
                continue
            if self.start is None:
                self._serve(client)
            else:
                self.start("control-client", lambda client=client: self._serve(client))

    def _serve(self, client: socket.socket) -> None:
        try:
            with client:
                client.settimeout(TIMEOUT_S)
                client.sendall(self.answer(self._read_line(client)) + b"\n")
        except OSError:
            pass  # the client has gone
        finally:
            self._slots.release()

    def _read_line(self, client: socket.socket) -> bytes:
        data = bytearray()
        while b"\n" not in data[-READ_BYTES:] and len(data) <= self.max_line_bytes:
            piece = client.recv(READ_BYTES)
            if not piece:
                break
            data += piece
        return bytes(data.partition(b"\n")[0])

    def answer(self, line: bytes) -> bytes:
        """Returns the answer to a request as JSON; `{"error": ...}` if the request is invalid."""
        try:
            if len(line) > self.max_line_bytes:
                raise BadRequestError(f"a question of more than {self.max_line_bytes} bytes")
            request = decode_json(line, Request)
            if request.ask not in self.handlers:
                known = ", ".join(sorted(self.handlers)) or "nothing"
                raise BadRequestError(f"unknown question {request.ask!r}, allowed: {known}")
            answer = self.handlers[request.ask](request.about)
        except (msgspec.DecodeError, BadRequestError) as error:
            answer = {"error": str(error)}
        return msgspec.json.encode(answer)

    def close(self) -> None:
        """Closes and removes the socket; open connections are still answered."""
        self._sock.close()
        self.path.unlink(missing_ok=True)
