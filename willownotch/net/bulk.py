"""The format of a call that carries several messages: its body, and an answer with a line for each."""

from __future__ import annotations

from collections.abc import Iterable

from willownotch.interface import Outcome

TARGET = "/inbox/bulk"
# Word of the answer: the message's outcome, and whether the host has finished with the message.
OUTCOME_BY_WORD = {
    "delivered": (Outcome.DELIVERED, True),
    "failed": (Outcome.ERROR, False),
    "refused": (Outcome.REJECTED, False),
    "over": (Outcome.NOT_SENT, True),
    "spent": (Outcome.NOT_SENT, False),
}


def write_body(messages: Iterable[tuple[str, str | None, bytes]]) -> bytes:
    """The body of a call, from the id, the idempotency key and the body of each message."""
    parts = []
    for ref, key, body in messages:
        parts += [f"{ref} {key or '-'} {len(body)}\r\n".encode("latin-1"), body, b"\r\n"]
    return b"".join(parts)


def max_overhead_bytes(ref: str, key: str | None) -> int:
    """Upper bound of the bytes that a message takes besides its body."""
    return len(ref) + len(key or "-") + 16


def read_answer(body: bytes, refs: Iterable[str]) -> dict[str, tuple[Outcome, bool]]:
    """The outcome of each message, and whether the host has finished with it.

    A message that is omitted, named twice or has an unknown word may have been executed, so it is an error.
    """
    words_by_ref: dict[str, list[str]] = {}
    for line in body.decode("latin-1").splitlines():
        ref, _, word = line.strip().partition(" ")
        words_by_ref.setdefault(ref, []).append(word.strip())
    return {
        ref: OUTCOME_BY_WORD.get(words[0], (Outcome.ERROR, False))
        if len(words := words_by_ref.get(ref, [])) == 1
        else (Outcome.ERROR, False)
        for ref in refs
    }
