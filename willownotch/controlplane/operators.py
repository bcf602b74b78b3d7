"""The requests that operators send to a member's control socket, and its replies. No sockets, no threads.

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
from willownotch.json_text import decode_json

CHANGE_ID_BYTES = 16
DEFAULT_HISTORY_COMMITS = 20  # in a reply, where the request does not say how many
MAX_REVISION, MAX_AUTHOR_CHARS = 2**63 - 1, 1024
MAX_REQUEST_BYTES = 4 << 20  # a change, and what JSON adds to it


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A change as an operator submits it."""

    id: str  # hexadecimal
    author: str
    base: int
    sets: dict[str, Any] = {}
    removes: tuple[str, ...] = ()


class ChangeReply(msgspec.Struct):
    """The outcome of a change. `revision`: the one that the change made, or the one that it lost to."""

    id: str
    outcome: str
    revision: int
    text: str


class EntriesView(msgspec.Struct):
    """All or some of the entries of a revision."""

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
    """The last commits, latest first; `oldest` is the oldest revision that can be shown or rolled back to."""

    revision: int
    oldest: int
    commits: list[CommitLine]


class MemberStatus(msgspec.Struct):
    """The status of a member and its followers. `apart_s`: for how long it has heard no majority (s), or
    None; `heard`: how long ago each other voter was heard (s), None if never."""

    name: str
    writing: bool
    writer: str
    apart_s: float | None
    heard: dict[str, float | None]
    agreement: AgreementView
    serving: StatusView
    traffic: dict[str, int]


def parse_number(parameters: dict[str, str], name: str, default: int) -> int:
    """A request parameter as a whole number. Raises `BadRequestError` if it is not one."""
    text = parameters.get(name)
    if text is None:
        return default
    if not text.isdecimal() or len(text) > 18:
        raise BadRequestError(f"{name} {text!r} is not a whole number")
    return int(text)


def read_change(parameters: dict[str, str]) -> Change:
    """The change in a request's parameters.

    Raises `BadRequestError` if it is missing or malformed, or has more levels than are decoded.
    """
    try:
        request = decode_json(parameters.get("change", ""), ChangeRequest)
        change_id = bytes.fromhex(request.id)
        if len(change_id) != CHANGE_ID_BYTES:
            raise ValueError(f"an id has {2 * CHANGE_ID_BYTES} hexadecimal digits, not {request.id!r}")
        if not 0 <= request.base <= MAX_REVISION or len(request.author) > MAX_AUTHOR_CHARS:
            raise ValueError("its base or its author is out of range")
        sets = {key: encode(value) for key, value in request.sets.items()}
    except (ValueError, OverflowError) as error:  # msgspec's errors are ValueErrors
        raise BadRequestError(f"no change: {error}") from None
    return Change(change_id, request.author, request.base, sets, request.removes)


def reply_of(result: Result) -> ChangeReply:
    """A result as a reply to the operator."""
    return ChangeReply(result.id.hex(), result.outcome.value, result.revision, result.text)


def entries_of(document: Document, parameters: dict[str, str]) -> EntriesView:
    """All entries, or the entry `key`, of the last or of an earlier revision. Raises `BadRequestError` if the
    history does not reach back to that revision."""
    revision = parse_number(parameters, "revision", document.revision)
    try:
        sets, removes = document.edits_to_restore(revision)
    except DocumentError as error:
        raise BadRequestError(str(error)) from None
    if (key := parameters.get("key")) is not None:
        value = sets.get(key, None if key in removes else document.get(key))
        entries = {} if value is None else {key: value}
    else:
        entries = dict(document.items()) | sets
        for removed in removes:
            del entries[removed]
    is_last = revision == document.revision
    token = (
        document.token
        if is_last
        else next((past.commit.token for past in document.history if past.commit.revision == revision), 0)
    )
    digest = (
        document.digest
        if is_last
        else next((past.commit.digest for past in document.history if past.commit.revision == revision), b"")
    )
    return EntriesView(revision, token, digest.hex(), {k: msgspec.Raw(v) for k, v in entries.items()})


def history_of(document: Document, parameters: dict[str, str]) -> HistoryView:
    """The last commits, as many as the parameter `last` says."""
    limit = parse_number(parameters, "last", DEFAULT_HISTORY_COMMITS)
    commits = document.commits(max(document.oldest(), document.revision - limit)) or []
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
