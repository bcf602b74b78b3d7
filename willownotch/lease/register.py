"""Who holds what, as one elector has it: a grant for a span, under a token that only grows. No I/O, no clock.

`decide` is the whole rule, over plain values: the register, the witnesses of custody and the model check use
it."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Grant:
    """What was granted last. `until` is when the holder's lease may end at the latest, by this clock."""

    token: int
    holder: str
    uid: int  # of the holder's process
    until: float
    closed: bool = False  # never to be granted again


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """What is asked for. `release`: the holder is done; `close`: and so is everybody."""

    token: int
    holder: str
    uid: int
    span: float
    release: bool = False
    close: bool = False


def decide(grant: Grant | None, now: float, wanted: GrantRequest) -> Grant | None:
    """The new grant, or None: it is refused.

    A token is one holder's for good. A higher one is granted once the lease has run out, or to the holder
    itself."""
    if grant is None:
        grant = Grant(0, "", 0, now)
    own = (grant.holder, grant.uid) == (wanted.holder, wanted.uid)
    if grant.closed or wanted.token < grant.token:
        return None
    if wanted.token == grant.token and not own:
        return None
    if wanted.token > grant.token and not own and now < grant.until:
        return None
    if wanted.release or wanted.close:
        until = now
    else:
        until = now + wanted.span
        if own and wanted.token == grant.token:  # one that was overtaken by its successor shortens nothing
            until = max(until, grant.until)
    return Grant(wanted.token, wanted.holder, wanted.uid, until, wanted.close)


@dataclass(slots=True)
class GrantTable:
    """All grants of one elector. `began` is the start of this process, `span` the longest lease before it."""

    began: float
    span: float
    grants: dict[str, Grant] = field(default_factory=dict)

    def restore(self, name: str, token: int, holder: str, uid: int, closed: bool = False) -> None:
        """What the folder has. The lease may have been granted a moment before the end."""
        self.grants[name] = Grant(token, holder, uid, self.began + self.span, closed)

    def ask(self, now: float, name: str, wanted: GrantRequest, new: bool = False) -> Grant | None:
        """The grant, or None. Of what is not `new` by its name, an earlier grant may have been forgotten."""
        known = self.grants.get(name)
        if known is None and not new and now < self.began + self.span:
            return None
        found = decide(known, now, wanted)
        if found is not None:
            self.grants[name] = found
        return found

    def left(self, now: float, name: str) -> float:
        """Seconds until what is not granted now may be."""
        known = self.grants.get(name)
        return max(0.0, (known.until if known is not None else self.began + self.span) - now)

    def token(self, name: str) -> int:
        """The highest token granted here."""
        known = self.grants.get(name)
        return known.token if known is not None else 0

    def forget(self, name: str) -> None:
        """Nobody will ask for it again."""
        self.grants.pop(name, None)
