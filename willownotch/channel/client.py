"""The client of a running sender's control socket."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

import msgspec

TIMEOUT_S = 10.0  # for connecting and for each piece of the answer


class AskError(Exception):
    """There is no answer; the text says why."""


class AnswerError(AskError):
    """The answer says that the request is invalid."""


def ask(
    path: str | Path, request: str, about: dict[str, str] | None = None, timeout_s: float = TIMEOUT_S
) -> Any:
    """Sends a request to the socket at `path` and returns the answer as plain values."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(timeout_s)
        try:
            sock.connect(str(path))
            sock.sendall(msgspec.json.encode({"ask": request, "about": about or {}}) + b"\n")
            pieces = []
            while piece := sock.recv(65536):
                pieces.append(piece)
        except OSError as error:
            raise AskError(f"{path}: {error.strerror or error}") from None
    try:
        answer = msgspec.json.decode(b"".join(pieces))
    except msgspec.DecodeError:
        raise AskError(f"{path}: the answer is not valid JSON") from None
    if isinstance(answer, dict) and answer.get("error"):
        raise AnswerError(f"{path}: {answer['error']}")
    return answer
