"""What a traced sender writes: one JSON array a line, behind `MARK`. Times are Unix seconds."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

MARK = "trace "


class Line(msgspec.Struct, frozen=True, array_like=True):
    """One thing that happened."""

    at: float


class Started(Line, tag="started"):
    """A process has begun, with these settings."""

    settings: msgspec.Raw


class Came(Line, tag="came"):
    """A client has handed a message in. `again`: not for the first time; `left_s`: to its deadline."""

    ref: str
    message_class: str
    tenant: str
    destination: int
    again: bool
    left_s: float


class Answered(Line, tag="answered"):
    """Its client has the status of an answer."""

    ref: str
    status: int


class Recalled(Line, tag="recalled"):
    """A restart has found it; so many attempts had begun, and it may have run or not."""

    ref: str
    attempts: int
    may_have_run: bool


class Called(Line, tag="called"):
    """An attempt was decided on."""

    ref: str
    attempt: int
    endpoint: int


class CallEnded(Line, tag="ended"):
    """Its outcome has come, with the wait that it told. `final`: nothing more is owed."""

    ref: str
    attempt: int
    outcome: str
    took_s: float
    wait_s: float
    final: bool


class Over(Line, tag="over"):
    """The module has ended a message: `refused` or `failed`, to come back after `back_s`.

    `held` messages were in hand then, `there` of them for its destination with no call out.
    """

    ref: str
    how: str
    back_s: float
    held: int
    there: int


class Connected(Line, tag="connected"):
    """A new connection was asked for: to an `endpoint`, for a `watch` of the list or for `notices`."""

    where: str


Traced = Started | Came | Answered | Recalled | Called | CallEnded | Over | Connected


def write(line: Traced) -> str:
    """The line as it stands in a log, without its end."""
    return MARK + msgspec.json.encode(line).decode()


def read(log: Iterable[str]) -> Iterator[Traced]:
    """The traced lines among a log's; one that a kill cut short is left out."""
    for text in log:
        _, mark, body = text.partition(MARK)
        if not mark:
            continue
        try:
            yield msgspec.json.decode(body.strip(), type=Traced)
        except msgspec.DecodeError:
            continue
