"""What instances say to each other of their counts. Plain values; bytes by msgspec's msgpack."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

LIFE_BITS = 63  # of a random number that no two processes share
COUNT_MOST = 2**63 - 1  # what the wire carries; a count stops there rather than begin anew


class CountKind(IntEnum):
    """What is counted, and the place of its figure in a row."""

    TAKEN = 0
    DELIVERED = 1
    HANDED_BACK = 2
    GIVEN_UP = 3
    WITHDRAWN = 4


Key = tuple[bytes, str]  # tenant, class
Amount = Annotated[int, msgspec.Meta(ge=0, le=COUNT_MOST)]
Counts = tuple[Amount, Amount, Amount, Amount, Amount]  # one for each sort
NOTHING: Counts = (0,) * len(CountKind)


def tenant_key(name: str) -> bytes:
    """A tenant as rows have it, whatever bytes its name came as."""
    return name.encode("utf-8", "surrogateescape")


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One tenant and class of one life. `version` is the life's when it last changed; `peak` the most that
    any of its counts grew in a second of late, in thousandths."""

    tenant: bytes
    cls: str
    version: Amount
    counts: Counts
    peak: Amount = 0

    @property
    def key(self) -> Key:
        """What it counts."""
        return self.tenant, self.cls


class Part(msgspec.Struct, frozen=True, array_like=True):
    """All rows of a life that changed after version `after`, up to `upto`.

    `age_ms` is how long ago, at the most, the life stood at `upto`; None if more of it is to follow.
    """

    life: Amount
    name: str
    closed: bool  # its process is over: it counts nothing more
    after: Amount
    upto: Amount
    age_ms: Amount | None
    rows: tuple[Row, ...] = ()


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """A piece of a settled part: lives folded into it with the version each was folded at, and rows."""

    digest: Amount
    at: Amount  # place of the first item
    total: Amount  # items in all
    sessions: tuple[tuple[Amount, Amount], ...] = ()
    rows: tuple[tuple[bytes, str, Counts], ...] = ()


class Ask(msgspec.Struct, tag=33, frozen=True, array_like=True):
    """What is newer than this? `held` are all lives between `low` and `high` with the versions held of them.

    `stamp` is a time on the asker's own clock, and comes back unread.
    """

    source: str
    life: Amount
    stamp: int
    low: Amount
    high: Amount
    held: tuple[tuple[Amount, Amount], ...] = ()
    settled: Amount = 0  # digest of its settled part
    candidate: tuple[Amount, Amount] = (0, 0)  # another settled part, and how many items of it are there


class Tell(msgspec.Struct, tag=34, frozen=True, array_like=True):
    """An answer to an ask, or a part of it."""

    source: str
    life: Amount  # of the asker
    stamp: int  # of its ask
    parts: tuple[Part, ...] = ()
    chunk: Chunk | None = None


Message = Ask | Tell
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
