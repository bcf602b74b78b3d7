"""Several messages in one call: its body as bytes, and what the answer says of each. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from willownotch.interface import Outcome

TARGET = "/inbox/bulk"
# What the answer says of a message: its outcome, and whether it is over for the host, too.
WORDS = {
    "delivered": (Outcome.DELIVERED, True),
    "failed": (Outcome.ERROR, False),
    "refused": (Outcome.REJECTED, False),
    "over": (Outcome.NOT_SENT, True),
    "spent": (Outcome.NOT_SENT, False),
}


def write_body(messages: Iterable[tuple[str, str | None, bytes]]) -> bytes:
    """Of each message its id, its idempotency key and its bytes."""
    parts = []
    for ref, key, body in messages:
        parts += [f"{ref} {key or '-'} {len(body)}\r\n".encode("latin-1"), body, b"\r\n"]
    return b"".join(parts)


def line_room(ref: str, key: str | None) -> int:
    """Bytes that a message takes besides its body."""
    return len(ref) + len(key or "-") + 16


def read_answer(body: bytes, refs: Iterable[str]) -> dict[str, tuple[Outcome, bool]]:
    """What became of each message. One that is left out, named twice or with another word may have run."""
    said: dict[str, list[str]] = {}
    for line in body.decode("latin-1").splitlines():
        ref, _, word = line.strip().partition(" ")
        said.setdefault(ref, []).append(word.strip())
    return {
        ref: WORDS.get(words[0], (Outcome.ERROR, False))
        if len(words := said.get(ref, [])) == 1
        else (Outcome.ERROR, False)
        for ref in refs
    }
