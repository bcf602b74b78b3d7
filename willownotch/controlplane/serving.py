"""A member's side towards its followers: answers, pushes, parts in pieces, who has what in force. No I/O.

What is bounded, by name: `most-followers` that are heard; `admissions` of new ones a second, each of the
others told a time of its own to come back (the slots follow each other at that rate); `copies` of more than
`WHOLE_FROM` at once, in the order in which they were asked for; `rate` bytes a second, first to answers and
pushes, then to pieces; `ASKS` questions a second of one follower; `BUILDS` differences a second that are made
anew. A question beyond a bound costs a look-up and a refusal or nothing.

A whole copy is of a snapshot that is kept for the transfer; followers share it while the difference from it
to the last revision is small.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

import msgspec

from willownotch.controlplane.document import GROUPS, Commit, Delta, Document
from willownotch.controlplane.settings import MemberSettings
from willownotch.controlplane.token_bucket import ROUNDING_SLACK, TokenBucket
from willownotch.controlplane.wire import (
    MAX_DATAGRAM_BYTES,
    MAX_INLINE_BYTES,
    PIECE_BYTES,
    Fetch,
    FollowerCounts,
    Laggard,
    Leave,
    Message,
    Nack,
    Part,
    PartKind,
    Piece,
    Poll,
    PollReply,
    Push,
    RefusalReason,
    Refused,
    SnapshotDigests,
    UpdateMethod,
    encode,
)
from willownotch.peers.core import Send
from willownotch.peers.wire import Address

SILENT = 4.0  # of its periods without a word, and a follower is unheard
SILENT_S = 10.0  # at the least
ASKS, ASKS_AT_ONCE = 50.0, 100  # questions a second of one follower
BUILDS, BUILDS_AT_ONCE = 50.0, 100  # differences a second
SLOT_MOST_S, SLOT_LATE_S = 30.0, 10.0  # for how far ahead slots are given; how late a slot still counts
FULL_S = 30.0  # to come back after, to who finds the member full; jittered
WHOLE_FROM = 256 * 1024  # bytes of a difference that is served as a whole copy is
COPY_SILENT_S = 10.0  # a copy that is not asked for any more
COPY_AGAIN_S, COPY_NEXT_S = 5.0, 1.0  # when to ask for a copy again; for those that are next
SNAPSHOT_BEHIND = 64  # revisions that a shared snapshot may be behind
PARTS_MOST = 96  # in memory
QUEUE_S, QUEUE_LEAST = 3.0, 64  # s of the rate that may wait as pieces; pieces at the least
QUEUE_EACH = 32  # pieces of one follower
PUSH_AGAIN_S, PUSHES = 1.0, 3  # until what was not acknowledged is pushed again; pushes in all
OVERHEAD = 120  # bytes of a datagram beside what it carries, near enough for the rate
REMEMBERED_FACTOR = 3  # times `most-followers`: as many are remembered, those heard longest ago go first
LISTED, ARRIVED, RECENT_ARRIVAL_S = 32, 1000, 5.0  # names in counts; who came lately, for how long
MEMBER_SILENT_S = 10.0  # counts of another member that are older say nothing


@dataclass(slots=True)
class Followed:
    """A follower as it told of itself."""

    address: Address
    uid: int
    came_at: float
    heard_at: float
    asks: TokenBucket
    period: float = 3.0
    number: int = -1
    revision: int = 0
    token: int = 0
    in_force: int = 0
    refused: int = 0
    text: str = ""
    behind_at: float | None = None  # since when the last revision is not in force there
    waiting: int = 0  # pieces in the queue

    def silent(self) -> float:
        """s without a word after which it is unheard."""
        return max(SILENT_S, SILENT * self.period)


@dataclass(slots=True)
class Copying:
    """A whole copy under way."""

    snapshot: Document
    at: float  # when it was last asked for


class MemberView(msgspec.Struct, frozen=True):
    """Another member, as its last counts told."""

    name: str
    revision: int
    followers: int
    unheard: int
    apart_s: float
    ago_s: float


class StatusView(msgspec.Struct, frozen=True):
    """What a member can tell of all followers. `missing`: members whose counts are too old to say anything;
    `known`: followers that are heard or remembered, of all members that are not missing."""

    name: str
    revision: int
    token: int
    digest: str
    entries: int
    known: int
    in_force: dict[str, int]  # by revision, latest first; "older"
    lagging: int
    laggards: list[tuple[str, str, int, float]]  # member, follower, revision in force, s
    nacked: int
    nacks: list[tuple[str, str, int, str]]  # member, follower, revision, text
    unheard: int
    unheard_names: list[tuple[str, str, int, float]]
    members: list[MemberView]
    missing: list[str]
    counters: dict[str, int]


class FollowerService:
    """One member's followers. The edge moves `document` on by commits and then tells `committed`, and sets
    `apart_since` while the member hears no majority."""

    def __init__(
        self, name: str, document: Document, settings: MemberSettings, now: float, random: Random
    ) -> None:
        self.name, self.document, self.settings, self.random = name, document, settings, random
        self.isolated_since: float | None = None
        self.counters: Counter[str] = Counter()
        self.followers: dict[str, Followed] = {}
        self.members: dict[str, tuple[float, FollowerCounts]] = {}
        self._bytes = TokenBucket(settings.rate, max(settings.rate / 4, MAX_DATAGRAM_BYTES), now)
        self._builds = TokenBucket(BUILDS, BUILDS_AT_ONCE, now)
        self._slots: OrderedDict[str, float] = OrderedDict()  # who was refused, and when it is to come
        self._slot_at = now - 1.0
        self._pushes: dict[str, int] = {}  # who is to be told of the last revision, and how often at most
        self._again: deque[tuple[float, str, int, int]] = deque()  # when to push to whom what, how often yet
        self._pieces: deque[tuple[str, Address, int, Part, int]] = deque()
        self._queued: set[tuple[str, int, int]] = set()
        self._parts: OrderedDict[Part, bytes] = OrderedDict()
        self._copies: dict[str, Copying] = {}
        self._line: dict[str, float] = {}  # who waits for a copy, and when it last asked
        self._swept_at = now

    def configure(self, settings: MemberSettings, now: float) -> None:
        """Other bounds."""
        self.settings = settings
        self._bytes = TokenBucket(settings.rate, max(settings.rate / 4, MAX_DATAGRAM_BYTES), now)

    def receive(self, now: float, address: Address, message: Message) -> list[Send]:
        """A datagram of a follower, found authentic."""
        if not isinstance(message, Poll | Fetch | Leave):
            self.counters["unexpected"] += 1
            return []
        if message.member != self.name:
            self.counters["for another"] += 1
            return []
        if isinstance(message, Leave):
            follower = self.followers.get(message.source)
            if follower is not None and follower.uid == message.uid:
                self._forget(message.source)
            return []
        if isinstance(message, Fetch):
            return self._fetch(now, address, message)
        return self._probed(now, address, message) if message.probe else self._polled(now, address, message)

    def committed(self, now: float, commit: Commit | None = None) -> list[Send]:
        """The document has moved on, by a commit or (None) as a whole: tell all, as the rate allows."""
        for name, follower in self.followers.items():
            if now - follower.heard_at <= follower.silent():
                self._pushes[name] = PUSHES
            if follower.behind_at is None:
                follower.behind_at = now
        return self._send_on(now)

    def tick(self, now: float) -> list[Send]:
        """Let time pass."""
        if now >= self._swept_at + 1.0:
            self._sweep(now)
        return self._send_on(now)

    def due(self) -> float | None:
        """When the next tick is wanted."""
        due = self._swept_at + 1.0
        if self._again:
            due = min(due, self._again[0][0])
        if self._pushes or self._pieces:
            size = self._push_size() if self._pushes else PIECE_BYTES + OVERHEAD
            due = min(due, self._bytes.ready_at(self._bytes.at, size))
        return due

    # Followers

    def _admits(self, now: float, name: str) -> tuple[RefusalReason, float] | None:
        """None: come in. Else why not, and s after which to come back."""
        heard = sum(now - other.heard_at <= other.silent() for other in self.followers.values())
        if heard >= self.settings.most_followers:
            return RefusalReason.FULL, FULL_S * self.random.uniform(0.5, 1.5)
        pause = 1.0 / self.settings.admissions
        slot = self._slots.get(name)
        if slot is None or now > slot + SLOT_LATE_S:
            self._slots.pop(name, None)
            slot = max(self._slot_at, now - 1.0) + pause  # a second's worth may come at once
            if slot - now > SLOT_MOST_S:
                return RefusalReason.FULL, FULL_S * self.random.uniform(0.5, 1.5)
            self._slot_at = slot
        if slot > now + ROUNDING_SLACK:
            self._slots[name] = slot
            return RefusalReason.RATE, slot - now
        self._slots.pop(name, None)
        return None

    def _probed(self, now: float, address: Address, poll: Poll) -> list[Send]:
        heard = sum(now - other.heard_at <= other.silent() for other in self.followers.values())
        if heard >= self.settings.most_followers or self._slot_at > now + ROUNDING_SLACK:
            return [self._refuse(now, address, poll.number, RefusalReason.FULL, FULL_S)]
        return [
            Send(
                address,
                PollReply(
                    self.name,
                    poll.number,
                    self.document.revision,
                    self.document.token,
                    self.document.digest,
                    isolated_ms=self._apart(now),
                ),
            )
        ]

    def _polled(self, now: float, address: Address, poll: Poll) -> list[Send]:
        follower = self.followers.get(poll.source)
        if follower is None or now - follower.heard_at > follower.silent():
            if refusal := self._admits(now, poll.source):
                return [self._refuse(now, address, poll.number, *refusal)]
            if follower is None:
                follower = Followed(address, poll.uid, now, now, TokenBucket(ASKS, ASKS_AT_ONCE, now))
                self.followers[poll.source] = follower
            follower.came_at = now
            self.counters["admitted"] += 1
        if not follower.asks.try_spend(now):
            self.counters["too often"] += 1
            return []
        if follower.uid != poll.uid:
            follower.uid, follower.number = poll.uid, -1
            self.counters["other process"] += 1
        follower.heard_at = now
        if poll.number > follower.number:  # else it was overtaken
            self._told(now, poll.source, follower, address, poll)
        news = self._news(now, poll.number, poll.revision)
        self._bytes.spend_into_debt(now, OVERHEAD + len(news.delta))
        self._pushes.pop(poll.source, None)
        return [Send(address, news)]

    def _told(self, now: float, name: str, follower: Followed, address: Address, poll: Poll) -> None:
        follower.address, follower.number, follower.period = address, poll.number, poll.period_ms / 1000
        follower.revision, follower.token, follower.in_force = poll.revision, poll.token, poll.in_force
        if poll.refused and poll.refused != follower.refused:
            self.counters["nacks"] += 1
        follower.refused, follower.text = poll.refused, poll.text
        if poll.in_force >= self.document.revision:
            follower.behind_at = None
        elif follower.behind_at is None:
            follower.behind_at = now
        copying = self._copies.get(name)
        if copying is not None and poll.revision >= copying.snapshot.revision:
            del self._copies[name]

    def _news(self, now: float, number: int, since: int) -> PollReply:
        document = self.document
        news = PollReply(
            self.name,
            number,
            document.revision,
            document.token,
            document.digest,
            isolated_ms=self._apart(now),
        )
        if since >= document.revision:
            return news
        how, data = self._way(now, since)
        return msgspec.structs.replace(
            news, method=how, size=len(data), delta=data if how is UpdateMethod.INLINE else b""
        )

    def _way(self, now: float, since: int) -> tuple[UpdateMethod, bytes]:
        """How a follower gets to the last revision, and the difference."""
        if since < self.document.oldest() and (since > 0 or self.document.size > WHOLE_FROM):
            return UpdateMethod.TREE, b""
        data = self._delta(now, since)
        if data is None:
            return UpdateMethod.NOTHING, b""
        if len(data) > WHOLE_FROM:
            return UpdateMethod.TREE, b""
        return (UpdateMethod.INLINE if len(data) <= MAX_INLINE_BYTES else UpdateMethod.DELTA), data

    def _delta(self, now: float, since: int) -> bytes | None:
        """The difference to the last revision, from nothing all of it; None: too many were made lately."""
        document = self.document
        part = Part(PartKind.DELTA, document.revision, since)
        if part not in self._parts:
            if not self._builds.try_spend(now):
                self.counters["difference put off"] += 1
                return None
            self._keep(
                part,
                encode(
                    document.delta(since)
                    or Delta(
                        0, document.revision, document.token, dict(document.items()), (), document.digest
                    )
                ),
            )
        self._parts.move_to_end(part)
        return self._parts[part]

    def _keep(self, part: Part, data: bytes) -> None:
        self._parts[part] = data
        while len(self._parts) > PARTS_MOST:
            self._parts.popitem(last=False)

    def _refuse(self, now: float, address: Address, number: int, why: RefusalReason, after: float) -> Send:
        self.counters[f"refused: {why.name.lower()}"] += 1
        self._bytes.spend_into_debt(now, OVERHEAD)
        return Send(address, Refused(self.name, number, why, round(after * 1000)))

    def _apart(self, now: float) -> int:
        return 0 if self.isolated_since is None else max(1, round((now - self.isolated_since) * 1000))

    def _forget(self, name: str) -> None:
        self.followers.pop(name, None)
        self._pushes.pop(name, None)
        self._copies.pop(name, None)
        self._line.pop(name, None)

    # Parts

    def _fetch(self, now: float, address: Address, fetch: Fetch) -> list[Send]:
        name, part = fetch.source, fetch.part
        follower = self.followers.get(name)
        if follower is None or not follower.asks.try_spend(now):
            self.counters["too often" if follower else "stranger"] += 1
            return []
        follower.heard_at = now
        if part.kind is not PartKind.DELTA:
            if refusal := self._copy(now, name, part):
                return [self._refuse(now, address, fetch.number, *refusal)]
        elif part not in self._parts:
            return [self._refuse(now, address, fetch.number, RefusalReason.GONE, 0.0)]
        data = self._part(name, part)
        if data is None:
            return [self._refuse(now, address, fetch.number, RefusalReason.GONE, 0.0)]
        pieces = max(1, -(-len(data) // PIECE_BYTES))
        most = max(QUEUE_LEAST, int(QUEUE_S * self.settings.rate / (PIECE_BYTES + OVERHEAD)))
        for piece in fetch.pieces:
            key = name, fetch.number, piece
            if not 0 <= piece < pieces or key in self._queued:
                continue
            if len(self._pieces) >= most or follower.waiting >= QUEUE_EACH:
                return [
                    *self._send_on(now),
                    self._refuse(now, address, fetch.number, RefusalReason.BUSY, QUEUE_S / 2),
                ]
            self._pieces.append((name, address, fetch.number, part, piece))
            self._queued.add(key)
            follower.waiting += 1
        return self._send_on(now)

    def _copy(self, now: float, name: str, part: Part) -> tuple[RefusalReason, float] | None:
        """Whether a whole copy may begin or go on; why not, and s after which to ask again."""
        copying = self._copies.get(name)
        if copying is None:
            if part.kind is not PartKind.GROUPS:
                return RefusalReason.GONE, 0.0
            self._line[name] = now  # keeps its place, if it had one
            ahead = 0
            for other in self._line:
                if other == name:
                    break
                ahead += 1
            if ahead >= self.settings.copies - len(self._copies):
                span = COPY_NEXT_S if ahead < 2 * self.settings.copies else COPY_AGAIN_S
                return RefusalReason.COPIES, span * self.random.uniform(0.8, 1.2)
            del self._line[name]
            self._copies[name] = copying = Copying(self._snapshot(self.followers[name].revision), now)
            self.counters["copies"] += 1
        copying.at = now
        if part.kind is PartKind.GROUPS:
            return None
        return None if part.revision == copying.snapshot.revision else (RefusalReason.GONE, 0.0)

    def _snapshot(self, held: int) -> Document:
        """One that is in use, near enough and beyond what is held, or a new one."""
        found = max((c.snapshot for c in self._copies.values()), key=lambda s: s.revision, default=None)
        least = max(self.document.revision - SNAPSHOT_BEHIND, self.document.oldest(), held + 1)
        if found is not None and found.revision >= least:
            return found
        return self.document.copy()

    def _part(self, name: str, part: Part) -> bytes | None:
        if part.kind is PartKind.DELTA:
            return self._parts.get(part)
        snapshot = self._copies[name].snapshot
        if part.kind is PartKind.GROUPS:
            part = Part(PartKind.GROUPS, snapshot.revision)
        elif not 0 <= part.node < GROUPS or not 0 <= part.mask < 1 << GROUPS:
            return None
        if part not in self._parts:
            self._keep(part, self._encoded(snapshot, part))
        self._parts.move_to_end(part)
        return self._parts[part]

    @staticmethod
    def _encoded(snapshot: Document, part: Part) -> bytes:
        if part.kind is PartKind.GROUPS:
            return encode(
                SnapshotDigests(
                    snapshot.revision, snapshot.token, snapshot.digest, b"".join(snapshot.groups())
                )
            )
        if part.kind is PartKind.BUCKETS:
            return b"".join(
                digest for at in range(GROUPS) if part.mask >> at & 1 for digest in snapshot.buckets(at)
            )
        entries: dict[str, bytes] = {}
        for at in range(GROUPS):
            if part.mask >> at & 1:
                entries |= snapshot.bucket(part.node * GROUPS + at)
        return encode(entries)

    # What goes out as the rate allows

    def _push_size(self) -> int:
        return OVERHEAD + MAX_INLINE_BYTES // 2

    def _send_on(self, now: float) -> list[Send]:
        sends: list[Send] = []
        while self._again and self._again[0][0] <= now:
            _, name, revision, left = self._again.popleft()
            if (follower := self.followers.get(name)) is not None and follower.revision < revision:
                self._pushes.setdefault(name, left)
        while self._pushes and self._bytes.available(now) >= self._push_size() - ROUNDING_SLACK:
            name = next(iter(self._pushes))
            left = self._pushes.pop(name) - 1
            follower = self.followers.get(name)
            if follower is None or follower.revision >= self.document.revision:
                continue
            how, data = self._way(now, follower.revision)
            push = Push(
                self.name,
                self.document.revision,
                self.document.token,
                data if how is UpdateMethod.INLINE else b"",
            )
            self._bytes.spend_into_debt(now, OVERHEAD + len(push.delta))
            self.counters["pushes"] += 1
            sends.append(Send(follower.address, push))
            if left:
                self._again.append((now + PUSH_AGAIN_S, name, push.revision, left))
        while self._pieces and not self._pushes and self._bytes.try_spend(now, PIECE_BYTES + OVERHEAD):
            name, address, number, part, piece = self._pieces.popleft()
            self._queued.discard((name, number, piece))
            if (follower := self.followers.get(name)) is not None:
                follower.waiting = max(0, follower.waiting - 1)
            data = self._part(name, part) if part.kind is PartKind.DELTA or name in self._copies else None
            if follower is None or data is None:
                continue
            pieces = max(1, -(-len(data) // PIECE_BYTES))
            self.counters["pieces"] += 1
            sends.append(
                Send(
                    address,
                    Piece(
                        self.name,
                        number,
                        piece,
                        pieces,
                        data[piece * PIECE_BYTES : (piece + 1) * PIECE_BYTES],
                    ),
                )
            )
        return sends

    def _sweep(self, now: float) -> None:
        """Let go of what is over."""
        self._swept_at = now
        remember = self.settings.remember.total_seconds()
        for name in [n for n, f in self.followers.items() if now - f.heard_at > max(remember, f.silent())]:
            self._forget(name)
        surplus = len(self.followers) - REMEMBERED_FACTOR * self.settings.most_followers
        if surplus > 0:
            for name in sorted(self.followers, key=lambda n: self.followers[n].heard_at)[:surplus]:
                self._forget(name)
        for name in [n for n, c in self._copies.items() if now - c.at > COPY_SILENT_S]:
            del self._copies[name]
        for name in [n for n, at in self._line.items() if now - at > 2 * COPY_AGAIN_S + SILENT_S]:
            del self._line[name]
        for name in [n for n, at in self._slots.items() if now > at + SLOT_LATE_S]:
            del self._slots[name]

    # Counts

    def counts(self, now: float) -> FollowerCounts:
        """What this member knows of its followers."""
        force: Counter[int] = Counter()
        lagging, nacks, unheard = [], [], []
        for name, follower in self.followers.items():
            force[follower.in_force] += 1
            silent = now - follower.heard_at
            if silent > follower.silent():
                unheard.append(Laggard(name, follower.in_force, round(silent * 1000)))
            elif follower.in_force < self.document.revision:
                behind = now - (now if follower.behind_at is None else follower.behind_at)
                lagging.append(Laggard(name, follower.in_force, round(behind * 1000)))
            if follower.refused > follower.in_force:
                nacks.append(Nack(name, follower.refused, follower.text))
        listed = sorted(force.items(), reverse=True)
        arrived = [
            (name, round((now - f.came_at) * 1000))
            for name, f in self.followers.items()
            if now - f.came_at <= RECENT_ARRIVAL_S
        ]
        return FollowerCounts(
            self.name,
            self.document.revision,
            self.document.token,
            self._apart(now),
            len(self.followers),
            tuple(listed[:LISTED]),
            sum(n for _, n in listed[LISTED:]),
            len(lagging),
            _longest(lagging),
            len(nacks),
            tuple(nacks[:LISTED]),
            len(unheard),
            _longest(unheard),
            tuple(arrived[:ARRIVED]),
        )

    def heard(self, now: float, source: str, counts: FollowerCounts) -> None:
        """Another member's counts. A follower that came to it after it was last heard here is its own now."""
        self.members[source] = now, counts
        for name, ago in counts.arrived:
            follower = self.followers.get(name)
            if follower is not None and now - follower.heard_at >= ago / 1000:
                self._forget(name)

    def status(self, now: float) -> StatusView:
        """All followers, as far as the members that are heard know them."""
        known = {name: counts for name, (at, counts) in self.members.items() if now - at <= MEMBER_SILENT_S}
        known[self.name] = self.counts(now)
        force: Counter[int] = Counter()
        for counts in known.values():
            force.update(dict(counts.in_force))
        in_force = {str(revision): n for revision, n in sorted(force.items(), reverse=True)}
        if older := sum(counts.older for counts in known.values()):
            in_force["older"] = older
        voters = self.settings.voters or tuple(self.members)
        return StatusView(
            self.name,
            self.document.revision,
            self.document.token,
            self.document.digest.hex(),
            self.document.count,
            sum(counts.followers for counts in known.values()),
            in_force,
            sum(counts.lagging for counts in known.values()),
            _named(known, lambda c: c.laggards),
            sum(counts.nacked for counts in known.values()),
            [(member, n.name, n.revision, n.text) for member, c in sorted(known.items()) for n in c.nacks],
            sum(counts.unheard for counts in known.values()),
            _named(known, lambda c: c.unheard_names),
            [
                MemberView(
                    name,
                    c.revision,
                    c.followers,
                    c.unheard,
                    c.isolated_ms / 1000,
                    0.0 if name == self.name else round(now - self.members[name][0], 3),
                )
                for name, c in sorted(known.items())
            ],
            sorted(set(voters) - set(known)),
            dict(self.counters),
        )


def _longest(laggards: Iterable[Laggard]) -> tuple[Laggard, ...]:
    return tuple(sorted(laggards, key=lambda one: -one.for_ms)[:LISTED])


def _named(known: dict[str, FollowerCounts], of) -> list[tuple[str, str, int, float]]:
    return [
        (member, one.name, one.in_force, one.for_ms / 1000)
        for member, counts in sorted(known.items())
        for one in of(counts)
    ]
