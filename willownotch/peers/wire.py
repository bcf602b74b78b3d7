"""The messages between members and their encoding. Plain values, encoded as msgpack by msgspec."""

from __future__ import annotations

from enum import IntEnum

import msgspec

Address = tuple[str, int]


class State(IntEnum):
    """The state of a member. Of two rumours with the same incarnation, the one with the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Rumour(msgspec.Struct, frozen=True, array_like=True):
    """The state of a member as reported by `by`. `uid` distinguishes the processes that used its name."""

    name: str
    state: State
    incarnation: int
    uid: int
    host: str
    port: int
    by: str

    @property
    def address(self) -> Address:
        """The member's address."""
        return self.host, self.port


class Ping(msgspec.Struct, tag=1, frozen=True, array_like=True):
    """A probe of the member `name`; a member of another name at this address ignores it."""

    sequence: int
    name: str
    source: str
    rumours: tuple[Rumour, ...] = ()


class PingRequest(msgspec.Struct, tag=2, frozen=True, array_like=True):
    """Asks the receiver to probe the member `name`, and to report a missing answer by a `Nack`."""

    sequence: int
    name: str
    host: str
    port: int
    source: str
    rumours: tuple[Rumour, ...] = ()


class Ack(msgspec.Struct, tag=3, frozen=True, array_like=True):
    """The answer to a probe, direct or passed on; `source` is the member that was probed."""

    sequence: int
    source: str
    rumours: tuple[Rumour, ...] = ()


class Nack(msgspec.Struct, tag=4, frozen=True, array_like=True):
    """An indirect probe has no answer yet. It shows the requester that it is not cut off itself."""

    sequence: int
    source: str


class Sync(msgspec.Struct, tag=5, frozen=True, array_like=True):
    """Some of the sender's known members; `wanted` asks the receiver for its full state."""

    source: str
    wanted: bool
    rumours: tuple[Rumour, ...] = ()


Message = Ping | PingRequest | Ack | Nack | Sync
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
