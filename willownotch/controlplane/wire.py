"""What a follower and a member say to each other, each in one datagram. Plain values; bytes by msgspec's
msgpack. Spans are milliseconds of the teller's own clock; nobody tells a time of day.

    follower                           member
    Poll(held, in force, refused)  ->
                                   <-  News(revision, digest, the difference if it fits) or Refused(come back)
                                   <-  Push(the difference), when a change is committed
    Fetch(a part, pieces of it)    ->
                                   <-  Piece ..., or Refused(come back)
    Leave                          ->

Poll and News are the request and response of a subscription with ack and nack (the xDS transport protocol of
Envoy: the revision that is held and in force acknowledges, the refused one with its text is the nack). A part
is the difference between two revisions, or, where that is gone or too large, one of the tree of digests of a
snapshot and the entries of buckets that differ (anti-entropy by Merkle trees; Dynamo, 2007).

`Counts` travels between members, beside the messages of `commit`.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

import msgspec

from willownotch.controlplane.document import Delta

VERSION = 33  # of the frames: `peers.seal.Seal`
MAX_DATAGRAM_BYTES = 1400  # bytes, with the seal
PIECE_BYTES = 1100  # bytes of a part in one datagram
MAX_INLINE_BYTES = 1150  # bytes of a difference that travels within News or Push
MAX_PIECES_PER_FETCH = 16  # in one Fetch
MAX_NAME_BYTES, MAX_TEXT_CHARS = 100, 200  # bytes of a follower's or member's name; characters of a refusal


class UpdateMethod(IntEnum):
    """How a follower gets from what it holds to what its member has."""

    NOTHING = 0  # it has it, or more; or the member cannot say now
    INLINE = 1  # the difference is in this message
    DELTA = 2  # the difference is to be fetched
    TREE = 3  # what differs is to be found by digests


class PartKind(IntEnum):
    """What can be fetched."""

    DELTA = 0  # revision: to; node: from
    GROUPS = 1  # the snapshot and its groups' digests (`Tree`); revision and node are 0
    BUCKETS = 2  # mask: a bit for each group; the digests of their buckets, one behind the other
    ENTRIES = 3  # node: the group; mask: a bit for each of its buckets; their entries


class RefusalReason(IntEnum):
    """Why a member refuses."""

    FULL = 0  # as many followers as it takes
    RATE = 1  # too many new ones at once
    COPIES = 2  # as many whole copies as it serves at once
    BUSY = 3  # too many pieces wait to be sent
    GONE = 4  # the part is no longer there: ask anew


class Part(msgspec.Struct, frozen=True, array_like=True):
    """Something to be fetched: the fields are as `Kind` says."""

    kind: PartKind
    revision: int
    node: int = 0
    mask: int = 0


class Poll(msgspec.Struct, tag=80, frozen=True, array_like=True):
    """What I hold, what I have in force, what I could not apply; `member`: who is meant, an address may be
    another's by now. A probe asks without following. `uid` tells one process under a name from the next."""

    source: str
    uid: int
    number: int
    member: str
    period_ms: int
    revision: int
    token: int
    in_force: int
    refused: int = 0  # a revision
    text: str = ""
    probe: bool = False


class PollReply(msgspec.Struct, tag=81, frozen=True, array_like=True):
    """The answer: what I have, and how you get there. `size`: bytes of the difference. `apart_ms`: for how
    long I have not heard of a majority; what I have may be old."""

    source: str
    number: int
    revision: int
    token: int
    digest: bytes
    method: UpdateMethod = UpdateMethod.NOTHING
    size: int = 0
    delta: bytes = b""
    isolated_ms: int = 0


class Push(msgspec.Struct, tag=82, frozen=True, array_like=True):
    """A revision was committed. No difference in it: it is too large, poll."""

    source: str
    revision: int
    token: int
    delta: bytes = b""


class Refused(msgspec.Struct, tag=83, frozen=True, array_like=True):
    """Not now: come back after so long. `number` is that of the Poll or of the part."""

    source: str
    number: int
    reason: RefusalReason
    after_ms: int


class Fetch(msgspec.Struct, tag=84, frozen=True, array_like=True):
    """Send these pieces of a part; `number` is the asker's for it."""

    source: str
    member: str
    number: int
    part: Part
    pieces: tuple[int, ...]


class Piece(msgspec.Struct, tag=85, frozen=True, array_like=True):
    """One piece of so many."""

    source: str
    number: int
    piece: int
    pieces: int
    data: bytes


class Leave(msgspec.Struct, tag=86, frozen=True, array_like=True):
    """I follow another now, or end."""

    source: str
    uid: int
    member: str


Message = Poll | PollReply | Push | Refused | Fetch | Piece | Leave


class SnapshotDigests(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot: its revision, and the digests of its groups, one behind the other."""

    revision: int
    token: int
    digest: bytes
    groups: bytes


class Laggard(msgspec.Struct, frozen=True, array_like=True):
    """A follower that has not got the last revision in force, with what it has and for how long it has been
    behind or not been heard."""

    name: str
    in_force: int
    for_ms: int


class Nack(msgspec.Struct, frozen=True, array_like=True):
    """A follower that could not apply a revision."""

    name: str
    revision: int
    text: str


class FollowerCounts(msgspec.Struct, tag=90, frozen=True, array_like=True):
    """What a member knows of its followers; lists are bounded, the counts are whole.

    `in_force`: how many followers have each revision in force, latest first; older ones than are listed are
    the `older`. `arrived`: who came lately and how long ago, so that who named them unheard forgets them.
    """

    source: str
    revision: int
    token: int
    isolated_ms: int
    followers: int
    in_force: tuple[tuple[int, int], ...]
    older: int
    lagging: int
    laggards: tuple[Laggard, ...]
    nacked: int
    nacks: tuple[Nack, ...]
    unheard: int
    unheard_names: tuple[Laggard, ...]
    arrived: tuple[tuple[str, int], ...]


encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode
_delta = msgspec.msgpack.Decoder(Delta).decode
_tree = msgspec.msgpack.Decoder(SnapshotDigests).decode
_entries = msgspec.msgpack.Decoder(dict[str, bytes]).decode


def decode(data: bytes) -> Message:
    """A message; `msgspec.DecodeError` if it is none or breaks a bound."""
    message = _decode(data)
    if isinstance(message, Poll | Fetch | Leave):
        _bounded(message.source, message.member)
    if isinstance(message, Fetch) and not 1 <= len(message.pieces) <= MAX_PIECES_PER_FETCH:
        raise msgspec.DecodeError(
            f"{len(message.pieces)} pieces asked for, allowed: 1 to {MAX_PIECES_PER_FETCH}"
        )
    if isinstance(message, Poll) and len(message.text) > MAX_TEXT_CHARS:
        raise msgspec.DecodeError("the text is too long")
    return message


def _bounded(*names: str) -> None:
    if any(not 1 <= len(name.encode()) <= MAX_NAME_BYTES for name in names):
        raise msgspec.DecodeError(f"a name of no or too many bytes, allowed: 1 to {MAX_NAME_BYTES}")


def _checked(read: Callable, data: bytes):
    try:
        return read(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise ValueError(f"what was fetched cannot be read: {fault}") from None


def read_delta(data: bytes) -> Delta:
    """A difference; `ValueError`."""
    return _checked(_delta, data)


def read_snapshot_digests(data: bytes) -> SnapshotDigests:
    """A snapshot's top; `ValueError`."""
    return _checked(_tree, data)


def read_entries(data: bytes) -> dict[str, bytes]:
    """Entries of buckets; `ValueError`."""
    return _checked(_entries, data)
