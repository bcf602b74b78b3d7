"""What operators ask a member by its control socket, and what it answers. No sockets, no threads.

Values of entries travel as plain JSON; a member keeps each as the one text that `entries.encode` makes of it.
"""

from __future__ import annotations

from typing import Any

import msgspec

from willownotch.channel.server import BadRequestError
from willownotch.controlplane.commit import AgreementView, Result
from willownotch.controlplane.document import Change, Document, DocumentError
from willownotch.controlplane.entries import encode
from willownotch.controlplane.serving import StatusView

ID = 16  # bytes of a change's id
HISTORY_SHOWN = 20  # commits, where it is not said how many
QUESTION_MOST = 4 << 20  # bytes: a change, and what JSON adds to it


class Asked(msgspec.Struct, forbid_unknown_fields=True):
    """A change as an operator asks for it."""

    id: str  # hexadecimal
    author: str
    base: int
    sets: dict[str, Any] = {}
    removes: tuple[str, ...] = ()


class Told(msgspec.Struct):
    """What became of a change. `revision`: its own, or that of what it lost to."""

    id: str
    outcome: str
    revision: int
    text: str


class EntriesView(msgspec.Struct):
    """The entries of a revision, or some of them."""

    revision: int
    token: int
    digest: str
    entries: dict[str, msgspec.Raw]


class CommitLine(msgspec.Struct):
    """A commit without its values."""

    revision: int
    token: int
    author: str
    id: str
    sets: list[str]
    removes: list[str]


class HistoryView(msgspec.Struct):
    """The last commits, the latest first; `oldest` is the oldest revision that can be shown or gone back
    to."""

    revision: int
    oldest: int
    commits: list[CommitLine]


class MemberStatus(msgspec.Struct):
    """How a member and its followers are. `apart_s`: for how long it has heard no majority, or None; `heard`:
    how long ago each other voter was, None where it never was."""

    name: str
    writing: bool
    writer: str
    apart_s: float | None
    heard: dict[str, float | None]
    agreement: AgreementView
    serving: StatusView
    traffic: dict[str, int]


def number(about: dict[str, str], word: str, default: int) -> int:
    """A whole number of a question; `BadQuestionError` if it is none."""
    text = about.get(word)
    if text is None:
        return default
    if not text.isdecimal() or len(text) > 18:
        raise BadRequestError(f"{word} {text!r} is no whole number")
    return int(text)


def read_change(about: dict[str, str]) -> Change:
    """The change of a question; `BadQuestionError` if there is none."""
    try:
        asked = msgspec.json.decode(about.get("change", ""), type=Asked)
        change_id = bytes.fromhex(asked.id)
        if len(change_id) != ID:
            raise ValueError(f"an id has {2 * ID} hexadecimal digits, not {asked.id!r}")
        sets = {key: encode(value) for key, value in asked.sets.items()}
    except (ValueError, OverflowError) as fault:  # msgspec's own are ValueErrors
        raise BadRequestError(f"no change: {fault}") from None
    return Change(change_id, asked.author, asked.base, sets, asked.removes)


def told(result: Result) -> Told:
    """An outcome for who asked."""
    return Told(result.id.hex(), result.outcome.value, result.revision, result.text)


def entries_of(document: Document, about: dict[str, str]) -> EntriesView:
    """All entries, or `key`'s, of the last or an earlier revision; `BadQuestionError` where it is not
    remembered."""
    revision = number(about, "revision", document.revision)
    try:
        sets, removes = document.edits_to_restore(revision)
    except DocumentError as fault:
        raise BadRequestError(str(fault)) from None
    if (key := about.get("key")) is not None:
        value = sets.get(key, None if key in removes else document.get(key))
        entries = {} if value is None else {key: value}
    else:
        entries = dict(document.items()) | sets
        for gone in removes:
            del entries[gone]
    last = revision == document.revision
    token = (
        document.token
        if last
        else next((past.commit.token for past in document.history if past.commit.revision == revision), 0)
    )
    digest = (
        document.digest
        if last
        else next((past.commit.digest for past in document.history if past.commit.revision == revision), b"")
    )
    return EntriesView(revision, token, digest.hex(), {k: msgspec.Raw(v) for k, v in entries.items()})


def history_of(document: Document, about: dict[str, str]) -> HistoryView:
    """The `last` so many commits."""
    most = number(about, "last", HISTORY_SHOWN)
    commits = document.commits(max(document.oldest(), document.revision - most)) or []
    return HistoryView(
        document.revision,
        document.oldest(),
        [
            CommitLine(
                c.revision,
                c.token,
                c.change.author,
                c.change.id.hex(),
                sorted(c.change.sets),
                sorted(c.change.removes),
            )
            for c in reversed(commits)
        ],
    )
