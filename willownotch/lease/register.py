"""The grants of one elector: who holds what, for how long, under a token that only grows. No I/O, no clock.

`decide` is the complete rule on plain values. It is used here, by the witnesses of custody and by the
model check."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Grant:
    """The last grant. `until` is the latest time, by this elector's clock, at which the lease may end."""

    token: int
    holder: str
    uid: int  # of the holder's process
    until: float
    closed: bool = False  # never to be granted again


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """A request for a grant. `release` ends the lease at once, `close` also rules out any later grant."""

    token: int
    holder: str
    uid: int
    span: float
    release: bool = False
    close: bool = False


def decide(grant: Grant | None, now: float, request: GrantRequest) -> Grant | None:
    """The new grant; None if the request is refused.

    A token belongs to one holder for good. A higher token is granted once the lease has run out, or to the
    present holder."""
    if grant is None:
        grant = Grant(0, "", 0, now)
    own = (grant.holder, grant.uid) == (request.holder, request.uid)
    if grant.closed or request.token < grant.token:
        return None
    if request.token == grant.token and not own:
        return None
    if request.token > grant.token and not own and now < grant.until:
        return None
    if request.release or request.close:
        until = now
    else:
        until = now + request.span
        if own and request.token == grant.token:  # a renewal that arrives late does not shorten the lease
            until = max(until, grant.until)
    return Grant(request.token, request.holder, request.uid, until, request.close)


@dataclass(slots=True)
class GrantTable:
    """All grants of one elector. `began` is the start of this process, `span` the longest lease that may have
    been granted before it."""

    began: float
    span: float
    grants: dict[str, Grant] = field(default_factory=dict)

    def restore(self, name: str, token: int, holder: str, uid: int, closed: bool = False) -> None:
        """Takes over a stored grant. Its lease may have begun just before the earlier process ended."""
        self.grants[name] = Grant(token, holder, uid, self.began + self.span, closed)

    def ask(self, now: float, name: str, request: GrantRequest, new: bool = False) -> Grant | None:
        """Decides on a request, and records a grant; None if it is refused.

        For a name without a grant, an earlier one may have been lost, so that nothing is granted until the
        longest lease is over. `new` says that the name cannot have been granted before."""
        known = self.grants.get(name)
        if known is None and not new and now < self.began + self.span:
            return None
        found = decide(known, now, request)
        if found is not None:
            self.grants[name] = found
        return found

    def left(self, now: float, name: str) -> float:
        """Seconds until another holder may be granted this name."""
        known = self.grants.get(name)
        return max(0.0, (known.until if known is not None else self.began + self.span) - now)

    def token(self, name: str) -> int:
        """The highest token granted here; 0 if there is none."""
        known = self.grants.get(name)
        return known.token if known is not None else 0

    def forget(self, name: str) -> None:
        """Removes the grant of a name that will not be requested again."""
        self.grants.pop(name, None)
