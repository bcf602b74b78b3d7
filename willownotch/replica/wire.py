"""What senders say to each other about custody. Plain values; bytes by msgspec's msgpack, sealed by the edge.

Every message may be lost, late or repeated: a connection that breaks takes with it what was on its way.
"""

from __future__ import annotations

from datetime import datetime

import msgspec

VERSION = 17  # of sealed frames with these messages

Position = tuple[int, int]  # of a log: the term and the number of its last record
START: Position = (0, 0)


class BookConfig(msgspec.Struct, frozen=True, array_like=True):
    """What a book is, as its owner has it. The witnesses stay for as long as the book does."""

    owner: str
    life: int  # of the owner's process
    version: int  # of the set of replicas
    replicas: tuple[str, ...]
    witnesses: tuple[str, ...]


class Claim(msgspec.Struct, tag=1, frozen=True, array_like=True):
    """To a witness: let me own this book at this term, for so long. `release`: I am done with it."""

    source: str
    book: str
    term: int
    config: BookConfig  # with version 0, the set of replicas is to stay as it is
    span_ms: int
    number: int  # of the round of claims, told back
    release: bool = False
    closed: bool = False  # the book is empty and will stay so


class Granted(msgspec.Struct, tag=2, frozen=True, array_like=True):
    """It is yours; what the witness holds of the set of replicas."""

    source: str
    book: str
    term: int
    number: int
    version: int
    replicas: tuple[str, ...]


class Refused(msgspec.Struct, tag=3, frozen=True, array_like=True):
    """It is not: who has it, at which term, and how long that may last."""

    source: str
    book: str
    number: int
    term: int
    owner: str
    life: int
    left_ms: int
    closed: bool


class Append(msgspec.Struct, tag=4, frozen=True, array_like=True):
    """To a replica: records that follow on a position; none, to ask where it is. `now` is the owner's."""

    source: str
    book: str
    term: int
    previous: Position
    frames: tuple[bytes, ...]
    now: datetime
    config: BookConfig | None = None  # with the first ones, and from time to time


class Acked(msgspec.Struct, tag=5, frozen=True, array_like=True):
    """I hold the log up to here."""

    source: str
    book: str
    term: int
    position: Position


class Behind(msgspec.Struct, tag=6, frozen=True, array_like=True):
    """I cannot take it: I am here, and hold this in each range."""

    source: str
    book: str
    term: int
    position: Position
    digests: tuple[int, ...]  # none: I hold nothing


class Fill(msgspec.Struct, tag=7, frozen=True, array_like=True):
    """One part of what is to stand in some ranges, as of a position."""

    source: str
    book: str
    term: int
    position: Position
    told: Position  # where the replica said it was
    ranges: int  # a bit for each
    part: int
    parts: int
    entries: tuple[tuple[int, bytes], ...]  # place in the order, records
    now: datetime
    config: BookConfig


class Higher(msgspec.Struct, tag=8, frozen=True, array_like=True):
    """Your term is over: a higher one is known here. Or, of an owner that is asked: mine is."""

    source: str
    book: str
    term: int


class Fetch(msgspec.Struct, tag=9, frozen=True, array_like=True):
    """I own this book from this term on: take nothing of a lower one, and give me what you hold of it."""

    source: str
    book: str
    term: int


class Held(msgspec.Struct, tag=10, frozen=True, array_like=True):
    """One part of what is held of a book, in its order."""

    source: str
    book: str
    term: int  # that it was fetched for
    position: Position
    sure: bool  # an owner has confirmed the position since this process began
    known: bool  # there is a copy at all
    part: int
    parts: int
    entries: tuple[tuple[int, bytes], ...]
    now: datetime  # by the clock that the entries' times are of
    refs: tuple[tuple[str, int], ...] = ()  # of a keeper: ids that are owed, and ms until their deadlines


class Close(msgspec.Struct, tag=11, frozen=True, array_like=True):
    """Drop what you hold of this book: you are no replica of it any more, or it is over."""

    source: str
    book: str
    term: int


class Refs(msgspec.Struct, tag=12, frozen=True, array_like=True):
    """To a keeper of ids: those that are owed an end from now on, and those that are not any more.

    They follow on a step of the book's list of ids and bring it to another. `after` -1: this is all of it, of
    a book that `about` tells of; without `about`, forget the list.
    """

    source: str
    book: str
    term: int
    after: int
    step: int
    owed: tuple[tuple[str, int], ...]  # and ms until their deadlines
    over: tuple[str, ...]
    config: BookConfig | None = None


class Told(msgspec.Struct, tag=13, frozen=True, array_like=True):
    """I know the ids up to this step (-1: of none); `missed`: what you sent follows on a later one."""

    source: str
    book: str
    term: int
    step: int
    missed: bool = False


Message = (
    Claim | Granted | Refused | Append | Acked | Behind | Fill | Higher | Fetch | Held | Close | Refs | Told
)
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
