"""Asks a running sender."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

import msgspec

PATIENCE = 10.0  # s for an answer


class AskError(Exception):
    """No answer; the text says why."""


class AnswerError(AskError):
    """The answer says that the question is none."""


def ask(
    path: str | Path, question: str, about: dict[str, str] | None = None, patience: float = PATIENCE
) -> Any:
    """The answer to a question, as plain values."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(patience)
        try:
            sock.connect(str(path))
            sock.sendall(msgspec.json.encode({"ask": question, "about": about or {}}) + b"\n")
            pieces = []
            while piece := sock.recv(65536):
                pieces.append(piece)
        except OSError as fault:
            raise AskError(f"{path}: {fault.strerror or fault}") from None
    try:
        found = msgspec.json.decode(b"".join(pieces))
    except msgspec.DecodeError:
        raise AskError(f"{path}: an answer that cannot be read") from None
    if isinstance(found, dict) and found.get("error"):
        raise AnswerError(f"{path}: {found['error']}")
    return found
