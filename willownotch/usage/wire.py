"""Messages that instances exchange about their counts: plain values, encoded as msgpack by msgspec."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

SESSION_ID_BITS = 63  # enough random bits that no two processes draw the same id
MAX_COUNT = 2**63 - 1  # the largest value on the wire; a count stops there instead of wrapping around


class CountKind(IntEnum):
    """What is counted; the value is the position of the count in a row."""

    TAKEN = 0
    DELIVERED = 1
    HANDED_BACK = 2
    GIVEN_UP = 3
    WITHDRAWN = 4


Key = tuple[bytes, str]  # tenant, class
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Counts = tuple[Amount, Amount, Amount, Amount, Amount]  # one for each CountKind
ZERO_COUNTS: Counts = (0,) * len(CountKind)


def tenant_key(name: str) -> bytes:
    """Returns a tenant's name as rows hold it; names that are not valid UTF-8 keep their bytes."""
    return name.encode("utf-8", "surrogateescape")


class Row(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one tenant and class in one session.

    `version` is the session's version at the row's last change. `peak_milli_per_s` is the most that any of
    the counts grew in one recent second, in thousandths of a message a second.
    """

    tenant: bytes
    cls: str
    version: Amount
    counts: Counts
    peak_milli_per_s: Amount = 0

    @property
    def key(self) -> Key:
        """The tenant and class that the row counts."""
        return self.tenant, self.cls


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """All rows of a session that changed after `from_version`, up to and including `to_version`.

    `age_ms` bounds from above how long ago the session was at `to_version`; None if more deltas of the
    session follow.
    """

    session: Amount
    name: str
    closed: bool  # the process has ended and counts nothing more
    from_version: Amount
    to_version: Amount
    age_ms: Amount | None
    rows: tuple[Row, ...] = ()


class SettledChunk(msgspec.Struct, frozen=True, array_like=True):
    """A piece of an instance's settled counts: folded sessions, each with its version when it was folded,
    and summed rows."""

    digest: Amount
    first_index: Amount  # position of the chunk's first item
    total_items: Amount
    sessions: tuple[tuple[Amount, Amount], ...] = ()
    rows: tuple[tuple[bytes, str, Counts], ...] = ()


class DeltaRequest(msgspec.Struct, tag=33, frozen=True, array_like=True):
    """Asks for everything newer than `versions`: all sessions with ids from `first_id` to `last_id` that the
    requester holds, and the version that it holds of each.

    `sent_at_us` is a time on the requester's own clock. The reply returns it unchanged; nobody else reads it.
    """

    source: str
    session: Amount
    sent_at_us: int
    first_id: Amount
    last_id: Amount
    versions: tuple[tuple[Amount, Amount], ...] = ()
    settled_digest: Amount = 0  # digest of the requester's settled counts
    incoming: tuple[Amount, Amount] = (0, 0)  # other settled counts in transfer: digest, items received


class DeltaReply(msgspec.Struct, tag=34, frozen=True, array_like=True):
    """One datagram of the reply to a `DeltaRequest`."""

    source: str
    session: Amount  # the requester's
    sent_at_us: int  # of the request
    deltas: tuple[Delta, ...] = ()
    chunk: SettledChunk | None = None


Message = DeltaRequest | DeltaReply
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
