"""Messages that senders exchange to replicate books: plain values, encoded with msgpack, sealed by the
transport.

Each message may be lost, late or repeated, since a broken connection loses what was in flight.
"""

from __future__ import annotations

from datetime import datetime

import msgspec

VERSION = 17  # protocol version of sealed frames that carry these messages

Position = tuple[int, int]  # position in a book's log: term and number of the last record
LOG_START: Position = (0, 0)
UNKNOWN_TERM = -1  # from a witness that does not tell its earlier grants
FIRST_TERM = 1  # of the owner that opened the book; only this one accepts messages into it


class BookConfig(msgspec.Struct, frozen=True, array_like=True):
    """A book's owner, replicas and witnesses, as its owner has them. Witnesses never change during a book's
    life."""

    owner: str
    uid: int  # random id of the owner's process
    version: int  # version of the replica set
    replicas: tuple[str, ...]
    witnesses: tuple[str, ...]
    # Members that may hold messages which the log lacks: an owner took it over without hearing from them.
    unheard: tuple[str, ...] = ()
    # Last position of each earlier term that the log goes on from, oldest first.
    history: tuple[Position, ...] = ()
    holds_all: bool = False  # the log has had every message that was promised


class Claim(msgspec.Struct, tag=1, frozen=True, array_like=True):
    """Asks a witness for the lease of a book at a term, or gives it up (`release`)."""

    source: str
    book: str
    term: int
    config: BookConfig  # version 0: keep the replica set that is on record
    lease_ms: int
    round_number: int  # number of the claim round, repeated in the reply
    release: bool = False
    closed: bool = False  # the book is empty and takes no more messages
    unused: bool = False  # with `release`: the claimant has not acted on the book at this term


class Granted(msgspec.Struct, tag=2, frozen=True, array_like=True):
    """A witness grants a claim. Carries the replica set that it has on record."""

    source: str
    book: str
    term: int
    round_number: int
    version: int
    replicas: tuple[str, ...]
    previous_term: int = UNKNOWN_TERM  # highest term granted here to another process, before this one
    previous_member_term: int = UNKNOWN_TERM  # the same, to another member


class Refused(msgspec.Struct, tag=3, frozen=True, array_like=True):
    """A witness refuses a claim. Carries the current owner, its term and the rest of its lease."""

    source: str
    book: str
    round_number: int
    term: int
    owner: str
    uid: int
    left_ms: int
    closed: bool
    holds_all: bool = False  # as in the owner's `BookConfig`


class Append(msgspec.Struct, tag=4, frozen=True, array_like=True):
    """Sends a replica the records that follow a position. Without records it asks for the replica's
    position."""

    source: str
    book: str
    term: int
    previous: Position
    frames: tuple[bytes, ...]
    sender_time: datetime
    config: BookConfig | None = None  # with the first records and with probes


class Acked(msgspec.Struct, tag=5, frozen=True, array_like=True):
    """A replica holds the log up to this position."""

    source: str
    book: str
    term: int
    position: Position


class Behind(msgspec.Struct, tag=6, frozen=True, array_like=True):
    """A replica cannot apply records: its position, and a digest of the entries in each range."""

    source: str
    book: str
    term: int
    position: Position
    digests: tuple[int, ...]  # empty: the replica has no copy


class Fill(msgspec.Struct, tag=7, frozen=True, array_like=True):
    """One part of the entries that replace those of some ranges and bring a replica to a position."""

    source: str
    book: str
    term: int
    position: Position
    reported_position: Position  # position that the replica reported
    ranges: int  # bit mask of the replaced ranges
    part: int
    parts: int
    entries: tuple[tuple[int, bytes], ...]  # place in the book's order, encoded records
    sender_time: datetime
    config: BookConfig


class Superseded(msgspec.Struct, tag=8, frozen=True, array_like=True):
    """The receiver's term has ended because a higher one is known, or the sender of this owns the book no
    more."""

    source: str
    book: str
    term: int


class Fetch(msgspec.Struct, tag=9, frozen=True, array_like=True):
    """The new owner of a book asks for its contents. The receiver then accepts nothing of a lower term."""

    source: str
    book: str
    term: int


class Contents(msgspec.Struct, tag=10, frozen=True, array_like=True):
    """One part of what a member holds of a book, in the book's order. Answers a fetch."""

    source: str
    book: str
    term: int  # term of the fetch
    position: Position
    confirmed: bool  # an owner has confirmed the position since this process started
    has_copy: bool  # False: the member has no copy
    part: int
    parts: int
    entries: tuple[tuple[int, bytes], ...]
    sender_time: datetime  # by the clock that the entries' times refer to
    refs: tuple[tuple[str, int], ...] = ()  # from an id holder: outstanding ids, ms until their deadlines
    owner_term: int = 0  # the term at which the member owned the book, if this is what its journal held
    unheard: tuple[str, ...] = ()  # as in the copy's `BookConfig`
    history: tuple[Position, ...] = ()  # as in the copy's `BookConfig`
    holds_all: bool = False  # as in the copy's `BookConfig`


class Close(msgspec.Struct, tag=11, frozen=True, array_like=True):
    """Tells a replica to drop its copy: it is no replica of the book any more, or the book is closed."""

    source: str
    book: str
    term: int


class Refs(msgspec.Struct, tag=12, frozen=True, array_like=True):
    """Sends an id holder the ids that became outstanding and those that ended.

    The changes lead from `after_step` to `step` of the book's id log. With `after_step` -1 the list is
    complete and `config` describes the book; without `config` as well, the receiver drops the list.
    """

    source: str
    book: str
    term: int
    after_step: int
    step: int
    outstanding: tuple[tuple[str, int], ...]  # ids, ms until their deadlines
    ended_refs: tuple[str, ...]
    config: BookConfig | None = None


class RefsAcked(msgspec.Struct, tag=13, frozen=True, array_like=True):
    """An id holder knows the ids up to a step (-1: none). `missed`: it lacks steps before the ones
    received."""

    source: str
    book: str
    term: int
    step: int
    missed: bool = False


Message = (
    Claim
    | Granted
    | Refused
    | Append
    | Acked
    | Behind
    | Fill
    | Superseded
    | Fetch
    | Contents
    | Close
    | Refs
    | RefsAcked
)
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
