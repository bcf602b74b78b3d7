"""What members say to each other, and how it is told apart. Plain values; bytes by msgspec's msgpack."""

from __future__ import annotations

from enum import IntEnum

import msgspec

Address = tuple[str, int]


class State(IntEnum):
    """What is held of a member. Of two rumours of one incarnation the higher one counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Rumour(msgspec.Struct, frozen=True, array_like=True):
    """What is said of a member: `by` says it, `uid` tells one process under the name from the next."""

    name: str
    state: State
    incarnation: int
    uid: int
    host: str
    port: int
    by: str

    @property
    def address(self) -> Address:
        """Where it is."""
        return self.host, self.port


class Ping(msgspec.Struct, tag=1, frozen=True, array_like=True):
    """Are you there? `name` is who is meant: an address may be another's by now."""

    sequence: int
    name: str
    source: str
    rumours: tuple[Rumour, ...] = ()


class PingRequest(msgspec.Struct, tag=2, frozen=True, array_like=True):
    """Ask another for me, and say also if it does not answer."""

    sequence: int
    name: str
    host: str
    port: int
    source: str
    rumours: tuple[Rumour, ...] = ()


class Ack(msgspec.Struct, tag=3, frozen=True, array_like=True):
    """I am, or the other is."""

    sequence: int
    source: str
    rumours: tuple[Rumour, ...] = ()


class Nack(msgspec.Struct, tag=4, frozen=True, array_like=True):
    """I asked for you, and heard nothing yet: who gets this is not cut off itself."""

    sequence: int
    source: str


class Sync(msgspec.Struct, tag=5, frozen=True, array_like=True):
    """A part of all that is known; `wanted`: send yours."""

    source: str
    wanted: bool
    rumours: tuple[Rumour, ...] = ()


Message = Ping | PingRequest | Ack | Nack | Sync
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
