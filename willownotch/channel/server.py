"""Answers on a Unix socket: one question a connection, one JSON line each way."""

from __future__ import annotations

import os
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

LINE_MOST = 64 * 1024  # bytes of a question
PIECE = 64 * 1024  # bytes read at once
PATIENCE = 2.0  # s that a client may take for its question, and to read a piece of its answer
BACKLOG = 16
ACCEPT_REST = 0.05  # s after an accept that failed


class Question(msgspec.Struct):
    """What is asked, and of what."""

    ask: str
    about: dict[str, str] = {}


class BadRequestError(ValueError):
    """A question that cannot be answered; the text says why."""


Answerer = Callable[[dict[str, str]], Any]
Start = Callable[[str, Callable[[], None]], None]


def bind(path: Path, replace: bool = False) -> socket.socket:
    """A listening socket at a path, for this user alone. One left by a dead process is replaced; `OSError`
    if a living one has it, unless with `replace`: then that one has handed over to this process."""
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
    """Answers one client after the other; a slow one costs the next no more than the patience.

    With `start` it answers up to `at_once`, each on a thread of its own, so that an answer may take its time;
    answerers are called by several threads then, and who comes on top waits its turn. `line_most`: bytes of a
    question.
    """

    def __init__(
        self,
        path: str | Path,
        line_most: int = LINE_MOST,
        start: Start | None = None,
        at_once: int = 32,
        replace: bool = False,
    ) -> None:
        self.path, self.line_most, self.start = Path(path), line_most, start
        self.handlers: dict[str, Answerer] = {}
        self._places = threading.BoundedSemaphore(at_once if start is not None else 1)
        self._sock = bind(self.path, replace)

    def run(self) -> None:
        """Answer until the process ends."""
        while True:
            self._places.acquire()
            try:
                client, _ = self._sock.accept()
            except OSError:
                self._places.release()
                if self._sock.fileno() < 0:
                    return
                time.sleep(ACCEPT_REST)  # descriptors are short: until one is free
                continue
            if self.start is None:
                self._serve(client)
            else:
                self.start("control-client", lambda client=client: self._serve(client))

    def _serve(self, client: socket.socket) -> None:
        try:
            with client:
                client.settimeout(PATIENCE)
                client.sendall(self.answer(self._line(client)) + b"\n")
        except OSError:
            pass  # it went away
        finally:
            self._places.release()

    def _line(self, client: socket.socket) -> bytes:
        data = bytearray()
        while b"\n" not in data[-PIECE:] and len(data) <= self.line_most:
            piece = client.recv(PIECE)
            if not piece:
                break
            data += piece
        return bytes(data.partition(b"\n")[0])

    def answer(self, line: bytes) -> bytes:
        """A question's answer; what is wrong with it, if anything is."""
        try:
            if len(line) > self.line_most:
                raise BadRequestError(f"a question of more than {self.line_most} bytes")
            question = msgspec.json.decode(line, type=Question)
            if question.ask not in self.handlers:
                known = ", ".join(sorted(self.handlers)) or "nothing"
                raise BadRequestError(f"unknown question {question.ask!r}, allowed: {known}")
            found = self.handlers[question.ask](question.about)
        except (msgspec.DecodeError, BadRequestError) as fault:
            found = {"error": str(fault)}
        return msgspec.json.encode(found)

    def close(self) -> None:
        """Answer no more."""
        self._sock.close()
        self.path.unlink(missing_ok=True)
