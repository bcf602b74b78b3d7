"""The client side of a member's control socket: requests, the text of outcomes, and exit codes."""

from __future__ import annotations

import getpass
import os
import secrets
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from willownotch.channel.client import AnswerError, AskError, ask
from willownotch.controlplane.entries import encode

REPLY_TIMEOUT_S = 30.0  # a member reports the outcome of a change within 20 s
EXIT_DONE, EXIT_REFUSED, EXIT_UNKNOWN = 0, 1, 3
EXIT_CODES = {"committed": EXIT_DONE, "lost": EXIT_REFUSED, "refused": EXIT_REFUSED}


@dataclass(frozen=True)
class ProposedChange:
    """A change that is based on a revision."""

    base: int
    sets: dict[str, bytes]
    removes: tuple[str, ...]

    def __bool__(self) -> bool:
        """Whether it sets or removes anything."""
        return bool(self.sets or self.removes)


def author() -> str:
    """The user's name, or number, as the author in the history."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return str(os.getuid())


def fetch_entries(path: str, revision: int | None = None, key: str | None = None) -> dict[str, Any]:
    """A member's reply with all entries, or the entry `key`, of a revision (the last if None). Raises
    `AskError`."""
    parameters = {} if revision is None else {"revision": str(revision)}
    return ask(path, "entries", parameters if key is None else parameters | {"key": key}, REPLY_TIMEOUT_S)


def encoded_entries(reply: Mapping[str, Any]) -> dict[str, bytes]:
    """The entries of a reply, encoded as members store them."""
    return {key: encode(value) for key, value in reply["entries"].items()}


def changes_toward(
    reply: Mapping[str, Any], wanted: Mapping[str, bytes], merge: bool = False
) -> ProposedChange:
    """The change that turns the entries of a reply into the wanted ones; with `merge` it removes nothing."""
    current = encoded_entries(reply)
    return ProposedChange(
        reply["revision"],
        {key: value for key, value in wanted.items() if current.get(key) != value},
        () if merge else tuple(sorted(current.keys() - wanted.keys())),
    )


def new_change_id() -> str:
    """A random id, in hexadecimal."""
    return secrets.token_hex(16)


def submit(path: str, change_id: str, wanted: ProposedChange) -> dict[str, Any]:
    """Submits a change and returns the member's reply. Raises `AnswerError` if the member rejects the
    request, in which case nothing was done; any other error is the outcome `unknown`."""
    text = msgspec.json.encode(
        {
            "id": change_id,
            "author": author(),
            "base": wanted.base,
            "removes": wanted.removes,
            "sets": {key: msgspec.Raw(value) for key, value in wanted.sets.items()},
        }
    ).decode()
    try:
        return ask(path, "change", {"change": text}, REPLY_TIMEOUT_S)
    except AnswerError:
        raise
    except AskError as error:
        return {"id": change_id, "outcome": "unknown", "revision": 0, "text": str(error)}


def outcome(reply: Mapping[str, Any], wanted: ProposedChange) -> str:
    """The outcome in a reply, as a sentence for the operator."""
    if reply["outcome"] == "committed":
        return (
            f"revision {reply['revision']} is committed: {len(wanted.sets)} set, {len(wanted.removes)} "
            f"removed, change {reply['id']}"
        )
    if reply["outcome"] == "lost":
        return f"lost to revision {reply['revision']}: {reply['text']}"
    if reply["outcome"] == "refused":
        return f"refused: {reply['text']}"
    return (
        f"not known whether it was committed: {reply['text']}; ask again by the same command with "
        f"--id {reply['id']} --expect {wanted.base}"
    )
