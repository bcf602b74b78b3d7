"""Answers on a Unix socket: one question a connection, one JSON line each way."""
from __future__ import annotations

import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

LINE_MOST = 64 * 1024  # bytes of a question
PATIENCE = 2.0  # s that a client may take for its question, and to read a piece of its answer
BACKLOG = 16


class Question(msgspec.Struct):
    """What is asked, and of what."""

    ask: str
    about: dict[str, str] = {}


class BadQuestionError(ValueError):
    """A question that cannot be answered; the text says why."""


Answerer = Callable[[dict[str, str]], Any]


def bind(path: Path) -> socket.socket:
    """A listening socket at a path, for this user alone. One left by a dead process is replaced; `OSError`
    if a living one has it."""
    if path.is_socket():
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
    """Answers one client after the other; a slow one costs the next no more than the patience."""

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)
        self.answers: dict[str, Answerer] = {}
        self._sock = bind(self.path)

    def run(self) -> None:
        """Answer until the process ends."""
        while True:
            try:
                client, _ = self._sock.accept()
            except OSError:
                if self._sock.fileno() < 0:
                    return
                continue
            with client:
                client.settimeout(PATIENCE)
                try:
                    client.sendall(self.answer(_line(client)) + b"\n")
                except OSError:
                    pass  # it went away

    def answer(self, line: bytes) -> bytes:
        """A question's answer; what is wrong with it, if anything is."""
        try:
            question = msgspec.json.decode(line, type=Question)
            if question.ask not in self.answers:
                known = ", ".join(sorted(self.answers)) or "nothing"
                raise BadQuestionError(f"unknown question {question.ask!r}, allowed: {known}")
            found = self.answers[question.ask](question.about)
        except (msgspec.DecodeError, BadQuestionError) as fault:
            found = {"error": str(fault)}
        return msgspec.json.encode(found)

    def close(self) -> None:
        """Answer no more."""
        self._sock.close()
        self.path.unlink(missing_ok=True)


def _line(client: socket.socket) -> bytes:
    data = b""
    while b"\n" not in data and len(data) <= LINE_MOST:
        piece = client.recv(4096)
        if not piece:
            break
        data += piece
    return data.partition(b"\n")[0]
