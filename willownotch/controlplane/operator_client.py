"""The operators' side of a member's control socket: what to ask for, what is told, and exit codes."""

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

PATIENCE = 30.0  # s for an outcome; a member gives one within 20
EXIT_DONE, EXIT_REFUSED, EXIT_UNKNOWN = 0, 1, 3  # exit codes
EXIT_CODES = {"committed": EXIT_DONE, "lost": EXIT_REFUSED, "refused": EXIT_REFUSED}


@dataclass(frozen=True)
class ProposedChange:
    """A change as of a revision."""

    base: int
    sets: dict[str, bytes]
    removes: tuple[str, ...]

    def __bool__(self) -> bool:
        """Whether it changes anything."""
        return bool(self.sets or self.removes)


def author() -> str:
    """Who asks, for the history."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return str(os.getuid())


def fetch_entries(path: str, revision: int | None = None, key: str | None = None) -> dict[str, Any]:
    """A revision's entries, the last one's without a number, or one of them; `AskError`."""
    about = {} if revision is None else {"revision": str(revision)}
    return ask(path, "entries", about if key is None else about | {"key": key}, PATIENCE)


def encoded_entries(found: Mapping[str, Any]) -> dict[str, bytes]:
    """Entries of an answer as members keep them."""
    return {key: encode(value) for key, value in found["entries"].items()}


def changes_toward(
    found: Mapping[str, Any], wanted: Mapping[str, bytes], merge: bool = False
) -> ProposedChange:
    """What makes the entries of an answer those that are wanted; with `merge` others stay."""
    now = encoded_entries(found)
    return ProposedChange(
        found["revision"],
        {key: value for key, value in wanted.items() if now.get(key) != value},
        () if merge else tuple(sorted(now.keys() - wanted.keys())),
    )


def new_change_id() -> str:
    """Of a change."""
    return secrets.token_hex(16)


def submit(path: str, change_id: str, wanted: ProposedChange) -> dict[str, Any]:
    """Ask for a change; what was told of it. `AnswerError` where it was not taken for one, nothing was done
    then; any other trouble is the outcome `unknown`."""
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
        return ask(path, "change", {"change": text}, PATIENCE)
    except AnswerError:
        raise
    except AskError as fault:
        return {"id": change_id, "outcome": "unknown", "revision": 0, "text": str(fault)}


def outcome(told: Mapping[str, Any], wanted: ProposedChange) -> str:
    """In words."""
    if told["outcome"] == "committed":
        return (
            f"revision {told['revision']} is committed: {len(wanted.sets)} set, {len(wanted.removes)} "
            f"removed, change {told['id']}"
        )
    if told["outcome"] == "lost":
        return f"lost to revision {told['revision']}: {told['text']}"
    if told["outcome"] == "refused":
        return f"refused: {told['text']}"
    return (
        f"not known whether it was committed: {told['text']}; ask again by the same command with "
        f"--id {told['id']} --expect {wanted.base}"
    )
