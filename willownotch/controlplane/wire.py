"""The messages between a follower and a member, each in one datagram. They carry plain values, encoded by
msgspec's msgpack. Durations are milliseconds of the source's own clock; no message carries a time of day.

    follower                                      member
    Poll(held, in force, refused revision)    ->
                                              <-  PollReply(revision, digest, the delta if it fits)
                                                  or Refused(retry after)
                                              <-  Push(the delta), when a change is committed
    Fetch(a part, piece numbers)              ->
                                              <-  Piece ..., or Refused(retry after)
    Leave                                     ->

Poll and PollReply are the request and response of a subscription with ack and nack (the xDS transport
protocol of Envoy): the revision that is held and in force acknowledges, the refused one with its text is the
nack. A part is the delta between two revisions. Where that is no longer kept or too large, parts are the
digests of a snapshot's groups and buckets and the entries of the buckets that differ (anti-entropy by Merkle
trees; Dynamo, 2007).

`FollowerCounts` travels between members, beside the messages of `commit`.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

import msgspec

from willownotch.controlplane.document import Delta

VERSION = 33  # of the frames: `peers.seal.Seal`
MAX_DATAGRAM_BYTES = 1400  # with the seal
PIECE_BYTES = 1100  # of a part, in one datagram
MAX_INLINE_BYTES = 1150  # of a delta that travels within PollReply or Push
MAX_PIECES_PER_FETCH = 16
MAX_NAME_BYTES, MAX_TEXT_CHARS = 100, 200  # of a follower's or member's name; of the text of a nack


class UpdateMethod(IntEnum):
    """How a follower gets from the revision that it holds to its member's revision."""

    NOTHING = 0  # it is up to date or ahead, or the member cannot build the delta now
    INLINE = 1  # the delta is in this message
    DELTA = 2  # the delta is to be fetched
    TREE = 3  # the differing entries are to be found by comparing digests


class PartKind(IntEnum):
    """What can be fetched."""

    DELTA = 0  # revision: the later one; node: the earlier one
    GROUPS = (
        1  # the snapshot's head with the digests of its groups (`SnapshotDigests`); revision and node are 0
    )
    BUCKETS = 2  # mask: one bit for each group; the concatenated digests of their buckets
    ENTRIES = 3  # node: the group; mask: one bit for each of its buckets; the entries of these buckets


class RefusalReason(IntEnum):
    """Why a member refuses."""

    FULL = 0  # it has its maximum of followers
    RATE = 1  # too many new followers at once
    COPIES = 2  # it serves its maximum of full copies
    BUSY = 3  # too many pieces are queued
    GONE = 4  # the part is no longer available: start again with a new request


class Part(msgspec.Struct, frozen=True, array_like=True):
    """Something that can be fetched; `PartKind` says what the fields mean."""

    kind: PartKind
    revision: int
    node: int = 0
    mask: int = 0


class Poll(msgspec.Struct, tag=80, frozen=True, array_like=True):
    """The revision that a follower holds, the one in force, and the one that it could not apply.

    `member` names the addressee, since an address may be reused by another member. `probe`: asks without
    following. `uid` distinguishes successive processes with the same name.
    """

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
    """A member's revision, and how to get to it. `size`: bytes of the delta. `isolated_ms`: for how long the
    member has heard no majority, in which case its revision may be outdated."""

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
    """A revision was committed. Without a delta, which is then too large to push, the follower is to poll."""

    source: str
    revision: int
    token: int
    delta: bytes = b""


class Refused(msgspec.Struct, tag=83, frozen=True, array_like=True):
    """A refusal, with the delay after which to retry. `number` is that of the Poll or of the Fetch."""

    source: str
    number: int
    reason: RefusalReason
    after_ms: int


class Fetch(msgspec.Struct, tag=84, frozen=True, array_like=True):
    """Asks for pieces of a part; `number` is the follower's number for the part."""

    source: str
    member: str
    number: int
    part: Part
    pieces: tuple[int, ...]


class Piece(msgspec.Struct, tag=85, frozen=True, array_like=True):
    """Piece number `piece`, from 0, of the `pieces` that make the part."""

    source: str
    number: int
    piece: int
    pieces: int
    data: bytes


class Leave(msgspec.Struct, tag=86, frozen=True, array_like=True):
    """The follower ends, or follows another member from now on."""

    source: str
    uid: int
    member: str


Message = Poll | PollReply | Push | Refused | Fetch | Piece | Leave


class SnapshotDigests(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot's revision and digest, and the concatenated digests of its groups."""

    revision: int
    token: int
    digest: bytes
    groups: bytes


class Laggard(msgspec.Struct, frozen=True, array_like=True):
    """A follower without the last revision, or one that is unheard: the revision in force there, and for how
    long it has been behind or unheard."""

    name: str
    in_force: int
    for_ms: int


class Nack(msgspec.Struct, frozen=True, array_like=True):
    """A follower that could not apply a revision."""

    name: str
    revision: int
    text: str


class FollowerCounts(msgspec.Struct, tag=90, frozen=True, array_like=True):
    """The state of a member's followers. The lists are truncated, the counts are complete.

    `in_force`: number of followers by the revision in force there, latest first; `older` counts the followers
    at the revisions beyond the list. `arrived`: followers that arrived recently and how long ago (ms); a
    member that still counts one of them as unheard forgets it.
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
_decode_delta = msgspec.msgpack.Decoder(Delta).decode
_decode_snapshot_digests = msgspec.msgpack.Decoder(SnapshotDigests).decode
_decode_entries = msgspec.msgpack.Decoder(dict[str, bytes]).decode


def decode(data: bytes) -> Message:
    """Decodes a message. Raises `msgspec.DecodeError` if it is malformed or exceeds a limit."""
    message = _decode(data)
    if isinstance(message, Poll | Fetch | Leave):
        _check_names(message.source, message.member)
    if isinstance(message, Fetch) and not 1 <= len(message.pieces) <= MAX_PIECES_PER_FETCH:
        raise msgspec.DecodeError(
            f"{len(message.pieces)} pieces requested, allowed: 1 to {MAX_PIECES_PER_FETCH}"
        )
    if isinstance(message, Poll) and len(message.text) > MAX_TEXT_CHARS:
        raise msgspec.DecodeError("the text of a Poll is too long")
    return message


def _check_names(*names: str) -> None:
    if any(not 1 <= len(name.encode()) <= MAX_NAME_BYTES for name in names):
        raise msgspec.DecodeError(f"a name is empty or too long, allowed bytes: 1 to {MAX_NAME_BYTES}")


def _decode_part(decoder: Callable, data: bytes):
    try:
        return decoder(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"a fetched part cannot be read: {error}") from None


def read_delta(data: bytes) -> Delta:
    """Decodes a fetched delta. Raises `ValueError` if it is malformed."""
    return _decode_part(_decode_delta, data)


def read_snapshot_digests(data: bytes) -> SnapshotDigests:
    """Decodes a snapshot's fetched head. Raises `ValueError` if it is malformed."""
    return _decode_part(_decode_snapshot_digests, data)


def read_entries(data: bytes) -> dict[str, bytes]:
    """Decodes the fetched entries of buckets. Raises `ValueError` if they are malformed."""
    return _decode_part(_decode_entries, data)
