"""A sender's side: whom it follows, how it gets to a newer revision, what it never does. No I/O, no clock.

Only a member's word moves it, and only forward: (token, revision) never falls, whoever is followed and over
restarts. A revision counts once it is whole, its digest is right, and it is in the folder; then it is
offered, and comes in force or is refused by who applies it. Nothing here ends what is in force: who hears of
no member goes on, and `unheard_s` tells for how long.

What a member does, and what comes of it (spans by this process' clock; a member that is shunned may be asked
again after its span):

- does not answer three polls (a new one: two): shunned for 5 s, doubled each time in a row, up to 30 s;
- refuses with a time: waited for, if that is up to 5 s and it has room; else shunned for that time;
- tells an older revision or token than is held, three times in a row: shunned for 30 s;
- tells the revision that is held with another digest or token: shunned for 60 s;
- sends what has a wrong digest or cannot be read: nothing changes, and what differs is looked for by the tree
  of digests; where that is wrong too: shunned for 60 s, doubled each time up to 600 s;
- tells a newer revision and delivers nothing of it for 15 s (as a part in pieces; 120 s while it says that it
  is busy, an hour while it says that other copies come first) or 30 s (otherwise): the same;
- says that it has heard no majority for 10 s: followed on, and each 10 s another is looked at that may have.

Never: an older revision, one that is not whole, has a wrong digest or is not kept; two members at once; a
question to a member before the time that it told to come back.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import msgspec
from blake3 import blake3

from willownotch.controlplane.comparison import FIRST, Buckets, Comparison
from willownotch.controlplane.document import Delta, DocumentError
from willownotch.controlplane.fetching import Fetching
from willownotch.controlplane.held import HeldDocument, InForce, encode, records_of
from willownotch.controlplane.settings import FollowSettings
from willownotch.controlplane.wire import (
    MAX_TEXT_CHARS,
    PIECE_BYTES,
    Leave,
    Message,
    Part,
    PartKind,
    Piece,
    Poll,
    PollReply,
    Push,
    RefusalReason,
    Refused,
    UpdateMethod,
    read_delta,
)
from willownotch.peers.core import Send
from willownotch.peers.wire import Address

UNANSWERED, UNANSWERED_NEW = 3, 2  # polls in a row, and another member is followed
SILENT_S, SILENT_MOST_S = 5.0, 30.0  # for which who does not answer is shunned
WAIT_S = 5.0  # that a follower waits at a member that is to take it
BEHIND, BEHIND_S = 3, 30.0  # answers that are behind, and s that their member is shunned for
WRONG_S, WRONG_MOST_S = 60.0, 600.0  # for which who tells what is not so is shunned
STUCK_S, BUSY_S, COPIES_S = 15.0, 120.0, 3600.0  # without a piece; while the member says that it is busy,
# that other copies come first
PROMISED_S = 30.0  # since a newer revision was told, and nothing came
APART_S = 10.0  # without a majority, and another member is looked for, as often
SOON_S, POLL_LEAST_S = 0.2, 0.25  # until an unusual poll, at most; between two polls, at least
START_S = 1.0  # over which the first polls are spread
MOVE_S = 1.0  # over which moves to another member are spread


@dataclass(frozen=True, slots=True)
class Offer:
    """A revision to be applied; `changed`: keys that may differ from what is in force."""

    revision: int
    token: int
    digest: bytes
    changed: frozenset[str]


@dataclass(slots=True)
class Standing:
    """What this follower remembers of a member."""

    until: float = 0.0  # it is shunned
    silent: int = 0  # times in a row
    wrong: int = 0


@dataclass(slots=True)
class Look:
    """A question to another member, whether it would be better to follow."""

    member: str
    number: int
    until: float


class FollowView(msgspec.Struct, frozen=True):
    """A follower as an operator sees it."""

    name: str
    member: str
    revision: int
    token: int
    digest: str
    entries: int
    in_force: int
    refused: int
    text: str
    unheard_s: float
    copying: bool
    counters: dict[str, int]


def ranked(name: str, settings: FollowSettings) -> list[str]:
    """All members: those of the own zone, then of the own region, then the others; among equals by rendezvous
    hashing (Thaler and Ravishankar, 1998), so that followers spread evenly and few move with a member."""

    def distance(member: str) -> int:
        there = settings.member[member]
        return 0 if there.zone == settings.zone else 1 if there.region == settings.region else 2

    return sorted(
        settings.member,
        key=lambda member: (
            distance(member),
            blake3(f"{len(name)}:{name}{member}".encode()).digest(length=8),
        ),
    )


class Follower:
    """One sender's. `keep` puts records into its folder: False, if that failed."""

    def __init__(
        self,
        name: str,
        uid: int,
        held: HeldDocument,
        settings: FollowSettings,
        now: float,
        random: Random,
        keep: Callable[[list[bytes]], bool] = lambda records: True,
    ) -> None:
        self.name, self.uid, self.held, self.random, self.keep = name, uid, held, random, keep
        self.counters: Counter[str] = Counter()
        self.offered: list[Offer] = []
        self.member: str | None = None
        self._standing: dict[str, Standing] = {}
        self._heard_at = now  # of a member that has heard a majority, as far as this one can tell
        self._number = 0  # of the last question, whoever was asked
        self._answered = 0
        self._asked_at: float | None = None  # an answer is awaited since then
        self._polled_at = now - POLL_LEAST_S
        self._unanswered, self._behind, self._new = 0, 0, True
        self._poll_at = self._choose_at = now + random.uniform(0.0, START_S)
        self._look: Look | None = None
        self._apart = 0.0  # s that the member followed has not heard a majority
        self._refusal = (0, "")
        self._kept = held.document.revision, held.document.token
        self._unkept: list[bytes] = []
        self._keep_at = now
        self._fetching: Fetching | None = None
        self._comparison: Comparison | None = None
        self._buckets: Buckets = {}  # that were fetched for one
        self._distrust = False  # of differences: the tree is asked for
        self._part = 1 << 32  # number of the last part that was asked for
        self._waits: RefusalReason | None = None  # why the member does not send
        self._promised_at: float | None = None  # since when it tells a newer revision, and nothing came
        self._closed_until = now  # the member followed said so
        self.configure(settings, now)
        self._look_at = now + self._home()
        if held.document.revision > held.in_force:
            self._offer()

    def configure(self, settings: FollowSettings, now: float) -> None:
        """Other members or spans."""
        self.settings = settings
        self.period = settings.period.total_seconds()
        self.patience = settings.patience.total_seconds()
        self.ranked = ranked(self.name, settings)
        if self.member is not None and self.member not in settings.member:
            self._leave(now, 0.0)
        self._look = None

    # What whoever applies it tells

    def in_force(self, now: float, revision: int) -> None:
        """An offered revision was applied."""
        self.held.applied(revision)
        if self._refusal[0] <= revision:
            self._refusal = 0, ""
        if not self.keep([encode(InForce(revision))]):
            self.counters["not kept"] += 1
        self._soon(now)

    def refused(self, now: float, revision: int, text: str) -> None:
        """An offered revision could not be applied; the one before stays in force."""
        self.counters["refused here"] += 1
        self._refusal = revision, text[:MAX_TEXT_CHARS]
        self._soon(now)

    def stop(self, now: float) -> list[Send]:
        """Take leave."""
        return self._leave(now, 0.0)

    def unheard_s(self, now: float) -> float:
        """For how long there was no word of a member that hears a majority and is not behind."""
        return now - self._heard_at

    def view(self, now: float) -> FollowView:
        """For who asks."""
        document = self.held.document
        return FollowView(
            self.name,
            self.member or "",
            document.revision,
            document.token,
            document.digest.hex(),
            document.count,
            self.held.in_force,
            *self._refusal,
            round(self.unheard_s(now), 3),
            self._comparison is not None,
            dict(self.counters),
        )

    # Time and messages

    def due(self) -> float:
        """When the next tick is wanted."""
        times = [self._look.until if self._look else self._look_at]
        if self.member is None:
            times.append(self._choose_at)
        else:
            times.append(self._poll_at if self._asked_at is None else self._asked_at + self.patience)
        if self._fetching is not None:
            times.append(self._stuck_at())
            if (due := self._fetching.due()) is not None:
                times.append(due)
        if self._unkept:
            times.append(self._keep_at)
        return min(times)

    def tick(self, now: float) -> list[Send]:
        """Let time pass."""
        sends: list[Send] = []
        if self._unkept and now >= self._keep_at:
            self._keep_on(now)
        if self.member is None and now >= self._choose_at:
            self._choose(now)
        if self._asked_at is not None and now >= self._asked_at + self.patience:
            self._miss(now)
        if self._fetching is not None and now >= self._stuck_at():
            self.counters["undelivered"] += 1
            sends += self._wrong_member(now)
        if self.member is not None and self._asked_at is None and now >= self._poll_at:
            sends.append(self._poll(now))
        return [*sends, *self._look_round(now), *self._fetch_on(now)]

    def receive(self, now: float, address: Address, message: Message) -> list[Send]:
        """A datagram of a member, found authentic."""
        source = message.source
        if isinstance(message, PollReply) and self._look is not None and message.number == self._look.number:
            return self._looked(now, message) if source == self._look.member else []
        if (
            isinstance(message, Refused)
            and self._look is not None
            and ((source, message.number) == (self._look.member, self._look.number))
        ):
            self._shun(now, source, message.after_ms / 1000)
            self._look = None
            return []
        if source != self.member:
            self.counters["not followed"] += 1
            return []
        if isinstance(message, PollReply):
            return self._news(now, message)
        if isinstance(message, Push):
            return self._pushed(now, message)
        if isinstance(message, Refused):
            return self._turned_away(now, message)
        if isinstance(message, Piece):
            return self._piece(now, message)
        self.counters["unexpected"] += 1
        return []

    # The member followed

    def _standing_of(self, member: str) -> Standing:
        return self._standing.setdefault(member, Standing())

    def _shun(self, now: float, member: str, span: float) -> None:
        self._standing_of(member).until = now + span

    def _choose(self, now: float) -> None:
        """Follow the first that is not shunned; nobody, until one is not."""
        free = [member for member in self.ranked if self._standing_of(member).until <= now]
        if not free:
            ends = [self._standing_of(member).until for member in self.ranked]
            self._choose_at = min(ends, default=now + SILENT_MOST_S) + self.random.uniform(0.0, MOVE_S)
            return
        self._follow(now, free[0])

    def _follow(self, now: float, member: str) -> None:
        self.member, self._new, self._unanswered, self._behind, self._apart = member, True, 0, 0, 0.0
        self._asked_at, self._poll_at, self._answered = None, now, self._number
        self._promised_at, self._closed_until = None, now
        self._look, self._look_at = None, now + self._home()
        self.counters["followed"] += 1

    def _leave(self, now: float, span: float) -> list[Send]:
        """Follow another; this one is shunned for so long."""
        left, self.member = self.member, None
        self._drop()
        self._asked_at = None
        self._choose_at = now + self.random.uniform(0.0, MOVE_S)
        if left is None or left not in self.settings.member:
            return []
        self._shun(now, left, span)
        return [Send(self.settings.member[left].address, Leave(self.name, self.uid, left))]

    def _wrong_member(self, now: float) -> list[Send]:
        standing = self._standing_of(self.member)
        standing.wrong += 1
        self._distrust = False
        return self._leave(now, min(WRONG_MOST_S, WRONG_S * 2 ** (standing.wrong - 1)))

    def _poll(self, now: float, member: str | None = None) -> Send:
        """Ask the member followed; another one: only look."""
        self._number += 1
        target = member or self.member
        if member is None:
            self._asked_at = self._polled_at = now
            self.counters["polls"] += 1
        return Send(
            self.settings.member[target].address,
            Poll(
                self.name,
                self.uid,
                self._number,
                target,
                round(self.period * 1000),
                *self._kept,
                self.held.in_force,
                *self._refusal,
                member is not None,
            ),
        )

    def _soon(self, now: float) -> None:
        """Poll before it is time."""
        at = max(self._polled_at + POLL_LEAST_S, now + self.random.uniform(0.0, SOON_S), self._closed_until)
        self._poll_at = min(self._poll_at, at)

    def _miss(self, now: float) -> None:
        self._asked_at = None
        self._unanswered += 1
        self.counters["unanswered"] += 1
        self._poll_at = now
        if self._unanswered >= (UNANSWERED_NEW if self._new else UNANSWERED):
            standing = self._standing_of(self.member)
            standing.silent += 1
            self._leave(now, min(SILENT_MOST_S, SILENT_S * 2 ** (standing.silent - 1)))

    def _answer(self, now: float, number: int) -> bool:
        """Whether this answers a poll of the member followed that was not answered yet."""
        if not self._answered < number <= self._number:
            self.counters["late"] += 1
            return False
        self._answered, self._unanswered, self._asked_at = number, 0, None
        self._poll_at = now + self.period * self.random.uniform(0.9, 1.1)
        return True

    def _turned_away(self, now: float, refused: Refused) -> list[Send]:
        after = refused.after_ms / 1000
        if refused.reason is RefusalReason.BUSY or refused.reason is RefusalReason.COPIES:
            if self._fetching is not None:
                self.counters["told to wait"] += 1
                self._waits = refused.reason
                self._fetching.busy(now, after)
            return []
        if refused.reason is RefusalReason.GONE:
            if self._fetching is not None and refused.number in self._fetching.wanted:
                self._drop()
                self._soon(now)
            return []
        if not self._answer(now, refused.number):
            return []
        self.counters["turned away"] += 1
        if refused.reason is RefusalReason.RATE and after <= WAIT_S:
            self._closed_until = now + after
            self._poll_at = self._closed_until + self.random.uniform(0.0, SOON_S)
            return []
        self._leave(now, after)
        return []

    def _home(self) -> float:
        """s until another member is looked at."""
        span = APART_S if self._apart >= APART_S else self.settings.home.total_seconds()
        return span * self.random.uniform(0.5, 1.5)

    def _look_round(self, now: float) -> list[Send]:
        """Ask a nearer member, now and then, whether it is there; any other, while the one followed hears no
        majority."""
        if self._look is not None:
            if now < self._look.until:
                return []
            standing = self._standing_of(self._look.member)
            standing.silent += 1
            self._shun(now, self._look.member, min(SILENT_MOST_S, SILENT_S * 2 ** (standing.silent - 1)))
            self._look, self._look_at = None, now  # the next one
        if now < self._look_at:
            return []
        self._look_at = now + self._home()
        if self.member is None or self._new or self._comparison is not None:
            return []
        others = [member for member in self.ranked if member != self.member]
        if self._apart < APART_S:
            others = self.ranked[: self.ranked.index(self.member)]
        free = [member for member in others if self._standing_of(member).until <= now]
        if not free:
            return []
        send = self._poll(now, free[0])
        self._look = Look(free[0], self._number, now + self.patience)
        return [send]

    def _looked(self, now: float, news: PollReply) -> list[Send]:
        self._look = None
        apart = news.isolated_ms / 1000
        self._standing_of(news.source).silent = 0
        if (news.token, news.revision) < (self.held.document.token, self.held.document.revision) or (
            apart >= APART_S and apart >= self._apart
        ):
            self._shun(now, news.source, BEHIND_S)
            return []
        sends = self._leave(now, 0.0)
        self.counters["moved nearer"] += 1
        self._follow(now, news.source)
        return [*sends, *self.tick(now)]

    # Revisions

    def _news(self, now: float, news: PollReply) -> list[Send]:
        if not self._answer(now, news.number):
            return []
        document = self.held.document
        self._new, self._apart = False, news.isolated_ms / 1000
        if self._apart >= APART_S:
            self._look_at = min(self._look_at, now + self._home())
        standing = self._standing_of(news.source)
        standing.silent = 0
        if news.revision < document.revision or news.token < document.token:
            self.counters["behind"] += 1
            self._behind += 1
            return self._leave(now, BEHIND_S) if self._behind >= BEHIND else []
        self._behind = 0
        if news.revision == document.revision:
            if (news.token, news.digest) != (document.token, document.digest):
                self.counters["disagrees"] += 1
                return self._leave(now, WRONG_S)
            standing.wrong = 0
            self._heard_at = max(self._heard_at, now - self._apart)
            return []
        self._heard_at = max(self._heard_at, now - self._apart)
        if self._unkept or self._fetching is not None:
            return self._fetch_on(now)
        if self._promised_at is None:
            self._promised_at = now
        elif now - self._promised_at >= PROMISED_S:
            self.counters["undelivered"] += 1
            return self._wrong_member(now)
        if news.method is UpdateMethod.INLINE and not self._distrust:
            return self._delta(now, news.delta)
        if news.method is UpdateMethod.DELTA and not self._distrust:
            part = Part(PartKind.DELTA, news.revision, document.revision)
            return self._start(now, part, -(-news.size // PIECE_BYTES))
        return [] if news.method is UpdateMethod.NOTHING else self._start(now, FIRST, 1)

    def _pushed(self, now: float, push: Push) -> list[Send]:
        if push.revision <= self.held.document.revision or self._new:
            return []
        if push.delta and not self._unkept and not self._distrust:
            return self._delta(now, push.delta)
        self._soon(now)
        return []

    def _delta(self, now: float, data: bytes) -> list[Send]:
        """A difference came whole."""
        try:
            delta = read_delta(data)
        except ValueError:
            return self._wrong(now)
        if delta.revision <= self.held.document.revision:
            self.counters["repeat"] += 1
            return []
        if delta.since > self.held.document.revision:
            self.counters["gap"] += 1
            self._soon(now)
            return []
        return self._lead(now, delta)

    def _lead(self, now: float, delta: Delta) -> list[Send]:
        try:
            self.held.lead(delta)
        except DocumentError:
            return self._wrong(now)
        self._drop()
        self._distrust, self._promised_at = False, None
        self._buckets.clear()
        self._unkept = records_of(delta)
        self._keep_on(now)
        return []

    def _wrong(self, now: float) -> list[Send]:
        """What came is not what was told: find by digests what differs; if that was it, leave the member."""
        self.counters["wrong digest"] += 1
        if self._distrust:
            return self._wrong_member(now)
        self._drop()
        self._distrust = True
        return self._start(now, FIRST, 1)

    def _keep_on(self, now: float) -> None:
        if not self.keep(self._unkept):
            self.counters["not kept"] += 1
            self._keep_at = now + self.period
            return
        self._unkept = []
        self._kept = self.held.document.revision, self.held.document.token
        self._offer()

    def _offer(self) -> None:
        document = self.held.document
        self.offered.append(Offer(document.revision, document.token, document.digest, self.held.changed()))

    # Parts

    def _start(self, now: float, part: Part, pieces: int) -> list[Send]:
        whole = part.kind is not PartKind.DELTA or part.node == 0
        rate = self.settings.rate if whole else self.settings.budget
        self._fetching = Fetching(self.name, self.member, rate, self.patience, now, self._part)
        self._fetching.want(part, pieces)
        self._comparison = (
            None if part.kind is PartKind.DELTA else Comparison(self.held.document, self._buckets)
        )
        self._waits = None
        return self._fetch_on(now)

    def _drop(self) -> None:
        if self._fetching is not None:
            self._part = self._fetching.number
        self._fetching = self._comparison = None

    def _stuck_at(self) -> float:
        since, most = self._fetching.progress_at, COPIES_S if self._waits is RefusalReason.COPIES else BUSY_S
        return min(max(since, self._fetching.wait_until) + STUCK_S, since + most)

    def _fetch_on(self, now: float) -> list[Send]:
        if self._fetching is None:
            return []
        address = self.settings.member[self._fetching.member].address
        return [Send(address, fetch) for fetch in self._fetching.asks(now)]

    def _piece(self, now: float, piece: Piece) -> list[Send]:
        if self._fetching is None:
            return []
        whole = self._fetching.take(now, piece)
        if self._fetching.progress_at == now:
            self._waits, self._promised_at = None, None
        if whole is None:
            return self._fetch_on(now)
        part, data = whole
        if part.kind is PartKind.DELTA:
            self._drop()
            return self._delta(now, data)
        try:
            for wanted, pieces in self._comparison.take(part, data):
                self._fetching.want(wanted, pieces)
        except ValueError:
            self.counters["wrong digest"] += 1
            return self._wrong_member(now)
        return self._joined(now, self._comparison) if self._comparison.whole() else self._fetch_on(now)

    def _joined(self, now: float, comparison: Comparison) -> list[Send]:
        """All that differs is there."""
        document, top = self.held.document, comparison.top
        if (top.token, top.revision) <= (document.token, document.revision):
            self.counters["repeat"] += 1
            self._drop()
            return []
        self.counters["copied"] += 1
        self._distrust = True  # of this: nothing more can be asked of the member, if it is wrong
        sends = self._lead(now, comparison.delta())
        self._soon(now)
        return sends
