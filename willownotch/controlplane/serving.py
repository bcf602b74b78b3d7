"""A member's side towards its followers: replies, pushes, parts in pieces, and their state. No I/O.

Limits: the setting `most-followers` bounds the followers that are heard at a time. `admissions` bounds the
new ones a second: each of the others is told a retry time of its own, and these slots follow each other at
that rate. `copies` bounds the transfers of more than `FULL_COPY_BYTES` at a time, served in the order in
which they were requested. `rate` bounds the bytes a second, replies and pushes first, then pieces.
`MAX_REQUESTS_PER_S` bounds the requests of one follower, `MAX_DELTAS_PER_S` the deltas that are built. A
request over a limit costs a look-up, and a refusal or nothing.

A full copy is made of a snapshot that is kept for the transfer. Followers share a snapshot while the delta
from it to the last revision is small.
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

UNHEARD_AFTER_PERIODS = 4.0  # a follower that was silent for so many of its poll periods is unheard,
MIN_UNHEARD_S = 10.0  # but not before this time
MAX_REQUESTS_PER_S, REQUEST_BURST = 50.0, 100  # of one follower
MAX_DELTAS_PER_S, DELTA_BURST = 50.0, 100  # that are built
MAX_SLOT_DELAY_S, SLOT_GRACE_S = 30.0, 10.0  # how far ahead slots are given; how late they count
FULL_RETRY_S = 30.0  # retry delay at a member that is full; jittered
FULL_COPY_BYTES = 256 * 1024  # larger deltas are served as full copies
COPY_TIMEOUT_S = 10.0  # a copy of which nothing was requested for so long is dropped
COPY_RETRY_S, COPY_RETRY_NEXT_S = 5.0, 1.0  # retry delay for a copy; for followers at the head of the line
MAX_SNAPSHOT_LAG = 64  # revisions that a shared snapshot may be behind
MAX_CACHED_PARTS = 96
MAX_QUEUE_S, MIN_QUEUE_PIECES = 3.0, 64  # the piece queue's limit: s at the rate, but at least so many pieces
MAX_QUEUED_PER_FOLLOWER = 32  # pieces
PUSH_RETRY_S, MAX_PUSHES = 1.0, 3  # delay before an unacknowledged push is repeated; pushes in total
OVERHEAD_BYTES = 120  # of a datagram beside its payload, approximately
REMEMBERED_FACTOR = 3  # times `most-followers` are remembered; the least recently heard are forgotten first
MAX_LISTED, MAX_ARRIVALS, RECENT_ARRIVAL_S = 32, 1000, 5.0  # names in counts; recent arrivals, and their age
MEMBER_COUNTS_TIMEOUT_S = 10.0  # older counts of another member are ignored


@dataclass(slots=True)
class FollowerState:
    """A follower, as its last messages describe it."""

    address: Address
    uid: int
    arrived_at: float
    heard_at: float
    requests: TokenBucket
    period: float = 3.0
    number: int = -1
    revision: int = 0
    token: int = 0
    in_force: int = 0
    refused: int = 0
    text: str = ""
    behind_since: float | None = None  # since when the last revision is not in force there
    queued_pieces: int = 0

    def unheard_after(self) -> float:
        """Seconds of silence after which it counts as unheard."""
        return max(MIN_UNHEARD_S, UNHEARD_AFTER_PERIODS * self.period)


@dataclass(slots=True)
class CopyTransfer:
    """A full copy that is being transferred to a follower."""

    snapshot: Document
    requested_at: float  # the last request for a part of it


class MemberView(msgspec.Struct, frozen=True):
    """A member, as its last counts describe it. `ago_s`: age of these counts."""

    name: str
    revision: int
    followers: int
    unheard: int
    apart_s: float
    ago_s: float


class StatusView(msgspec.Struct, frozen=True):
    """A member's view of the followers of all members. `missing`: voters whose counts are missing or too old;
    `known`: followers that are heard or remembered by the members that are not missing."""

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
    """The followers of one member. The caller applies commits to `document` and then calls `committed`, and
    sets `isolated_since` while the member hears no majority."""

    def __init__(
        self, name: str, document: Document, settings: MemberSettings, now: float, random: Random
    ) -> None:
        self.name, self.document, self.settings, self.random = name, document, settings, random
        self.isolated_since: float | None = None
        self.counters: Counter[str] = Counter()
        self.followers: dict[str, FollowerState] = {}
        self.members: dict[str, tuple[float, FollowerCounts]] = {}
        self._send_budget = TokenBucket(settings.rate, max(settings.rate / 4, MAX_DATAGRAM_BYTES), now)
        self._delta_budget = TokenBucket(MAX_DELTAS_PER_S, DELTA_BURST, now)
        self._slots: OrderedDict[str, float] = OrderedDict()  # by refused follower: when it is to retry
        self._last_slot_at = now - 1.0
        self._pushes: dict[str, int] = {}  # by follower to be told of the last revision: pushes left
        self._push_retries: deque[tuple[float, str, int, int]] = deque()  # time, name, revision, pushes left
        self._pieces: deque[tuple[str, Address, int, Part, int]] = deque()
        self._queued_keys: set[tuple[str, int, int]] = set()
        self._cached_parts: OrderedDict[Part, bytes] = OrderedDict()
        self._copies: dict[str, CopyTransfer] = {}
        self._copy_line: dict[str, float] = {}  # by follower that waits for a copy: its last request
        self._swept_at = now

    def configure(self, settings: MemberSettings, now: float) -> None:
        """Applies changed limits."""
        self.settings = settings
        self._send_budget = TokenBucket(settings.rate, max(settings.rate / 4, MAX_DATAGRAM_BYTES), now)

    def receive(self, now: float, address: Address, message: Message) -> list[Send]:
        """Handles an authenticated message of a follower; returns the replies."""
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
            return self._on_fetch(now, address, message)
        return (
            self._on_probe(now, address, message) if message.probe else self._on_poll(now, address, message)
        )

    def committed(self, now: float, commit: Commit | None = None) -> list[Send]:
        """Handles a new revision of the document, by a commit or (None) by a snapshot: schedules a push to
        every follower that is heard, and returns those that the rate allows now."""
        for name, follower in self.followers.items():
            if now - follower.heard_at <= follower.unheard_after():
                self._pushes[name] = MAX_PUSHES
            if follower.behind_since is None:
                follower.behind_since = now
        return self._send_within_rate(now)

    def tick(self, now: float) -> list[Send]:
        """Does what is due at `now`; returns the messages to send."""
        if now >= self._swept_at + 1.0:
            self._sweep(now)
        return self._send_within_rate(now)

    def due(self) -> float | None:
        """The time at which `tick` is to be called next."""
        due = self._swept_at + 1.0
        if self._push_retries:
            due = min(due, self._push_retries[0][0])
        if self._pushes or self._pieces:
            size = self._push_estimate_bytes() if self._pushes else PIECE_BYTES + OVERHEAD_BYTES
            due = min(due, self._send_budget.ready_at(self._send_budget.at, size))
        return due

    # Followers

    def _admission_refusal(self, now: float, name: str) -> tuple[RefusalReason, float] | None:
        """None if a new follower is admitted, else the reason and the delay (s) after which to retry."""
        heard = sum(now - other.heard_at <= other.unheard_after() for other in self.followers.values())
        if heard >= self.settings.most_followers:
            return RefusalReason.FULL, FULL_RETRY_S * self.random.uniform(0.5, 1.5)
        interval_s = 1.0 / self.settings.admissions
        slot = self._slots.get(name)
        if slot is None or now > slot + SLOT_GRACE_S:
            self._slots.pop(name, None)
            # The lower bound allows a burst of one second's admissions.
            slot = max(self._last_slot_at, now - 1.0) + interval_s
            if slot - now > MAX_SLOT_DELAY_S:
                return RefusalReason.FULL, FULL_RETRY_S * self.random.uniform(0.5, 1.5)
            self._last_slot_at = slot
        if slot > now + ROUNDING_SLACK:
            self._slots[name] = slot
            return RefusalReason.RATE, slot - now
        self._slots.pop(name, None)
        return None

    def _on_probe(self, now: float, address: Address, poll: Poll) -> list[Send]:
        heard = sum(now - other.heard_at <= other.unheard_after() for other in self.followers.values())
        if heard >= self.settings.most_followers or self._last_slot_at > now + ROUNDING_SLACK:
            return [self._refuse(now, address, poll.number, RefusalReason.FULL, FULL_RETRY_S)]
        return [
            Send(
                address,
                PollReply(
                    self.name,
                    poll.number,
                    self.document.revision,
                    self.document.token,
                    self.document.digest,
                    isolated_ms=self._isolated_ms(now),
                ),
            )
        ]

    def _on_poll(self, now: float, address: Address, poll: Poll) -> list[Send]:
        follower = self.followers.get(poll.source)
        if follower is None or now - follower.heard_at > follower.unheard_after():
            if refusal := self._admission_refusal(now, poll.source):
                return [self._refuse(now, address, poll.number, *refusal)]
            if follower is None:
                follower = FollowerState(
                    address, poll.uid, now, now, TokenBucket(MAX_REQUESTS_PER_S, REQUEST_BURST, now)
                )
                self.followers[poll.source] = follower
            follower.arrived_at = now
            self.counters["admitted"] += 1
        if not follower.requests.try_spend(now):
            self.counters["too often"] += 1
            return []
        if follower.uid != poll.uid:
            follower.uid, follower.number = poll.uid, -1
            self.counters["other process"] += 1
        follower.heard_at = now
        if poll.number > follower.number:  # else a later poll overtook it
            self._update_follower(now, poll.source, follower, address, poll)
        reply = self._poll_reply(now, poll.number, poll.revision)
        self._send_budget.spend_into_debt(now, OVERHEAD_BYTES + len(reply.delta))
        self._pushes.pop(poll.source, None)
        return [Send(address, reply)]

    def _update_follower(
        self, now: float, name: str, follower: FollowerState, address: Address, poll: Poll
    ) -> None:
        follower.address, follower.number, follower.period = address, poll.number, poll.period_ms / 1000
        follower.revision, follower.token, follower.in_force = poll.revision, poll.token, poll.in_force
        if poll.refused and poll.refused != follower.refused:
            self.counters["nacks"] += 1
        follower.refused, follower.text = poll.refused, poll.text
        if poll.in_force >= self.document.revision:
            follower.behind_since = None
        elif follower.behind_since is None:
            follower.behind_since = now
        transfer = self._copies.get(name)
        if transfer is not None and poll.revision >= transfer.snapshot.revision:
            del self._copies[name]

    def _poll_reply(self, now: float, number: int, since: int) -> PollReply:
        document = self.document
        reply = PollReply(
            self.name,
            number,
            document.revision,
            document.token,
            document.digest,
            isolated_ms=self._isolated_ms(now),
        )
        if since >= document.revision:
            return reply
        update_method, data = self._update_for(now, since)
        return msgspec.structs.replace(
            reply,
            method=update_method,
            size=len(data),
            delta=data if update_method is UpdateMethod.INLINE else b"",
        )

    def _update_for(self, now: float, since: int) -> tuple[UpdateMethod, bytes]:
        """How a follower at revision `since` gets to the last revision, and the delta."""
        if since < self.document.oldest() and (since > 0 or self.document.size > FULL_COPY_BYTES):
            return UpdateMethod.TREE, b""
        data = self._delta(now, since)
        if data is None:
            return UpdateMethod.NOTHING, b""
        if len(data) > FULL_COPY_BYTES:
            return UpdateMethod.TREE, b""
        return (UpdateMethod.INLINE if len(data) <= MAX_INLINE_BYTES else UpdateMethod.DELTA), data

    def _delta(self, now: float, since: int) -> bytes | None:
        """The encoded delta from `since` to the last revision, from 0 the whole document; None if too many
        deltas were built lately."""
        document = self.document
        part = Part(PartKind.DELTA, document.revision, since)
        if part not in self._cached_parts:
            if not self._delta_budget.try_spend(now):
                self.counters["difference put off"] += 1
                return None
            self._cache_part(
                part,
                encode(
                    document.delta(since)
                    or Delta(
                        0, document.revision, document.token, dict(document.items()), (), document.digest
                    )
                ),
            )
        self._cached_parts.move_to_end(part)
        return self._cached_parts[part]

    def _cache_part(self, part: Part, data: bytes) -> None:
        self._cached_parts[part] = data
        while len(self._cached_parts) > MAX_CACHED_PARTS:
            self._cached_parts.popitem(last=False)

    def _refuse(
        self, now: float, address: Address, number: int, reason: RefusalReason, after_s: float
    ) -> Send:
        self.counters[f"refused: {reason.name.lower()}"] += 1
        self._send_budget.spend_into_debt(now, OVERHEAD_BYTES)
        return Send(address, Refused(self.name, number, reason, round(after_s * 1000)))

    def _isolated_ms(self, now: float) -> int:
        return 0 if self.isolated_since is None else max(1, round((now - self.isolated_since) * 1000))

    def _forget(self, name: str) -> None:
        self.followers.pop(name, None)
        self._pushes.pop(name, None)
        self._copies.pop(name, None)
        self._copy_line.pop(name, None)

    # Parts

    def _on_fetch(self, now: float, address: Address, fetch: Fetch) -> list[Send]:
        name, part = fetch.source, fetch.part
        follower = self.followers.get(name)
        if follower is None or not follower.requests.try_spend(now):
            self.counters["too often" if follower else "stranger"] += 1
            return []
        follower.heard_at = now
        if part.kind is not PartKind.DELTA:
            if refusal := self._admit_copy(now, name, part):
                return [self._refuse(now, address, fetch.number, *refusal)]
        elif part not in self._cached_parts:
            return [self._refuse(now, address, fetch.number, RefusalReason.GONE, 0.0)]
        data = self._part_data(name, part)
        if data is None:
            return [self._refuse(now, address, fetch.number, RefusalReason.GONE, 0.0)]
        pieces = max(1, -(-len(data) // PIECE_BYTES))
        max_queued = max(
            MIN_QUEUE_PIECES, int(MAX_QUEUE_S * self.settings.rate / (PIECE_BYTES + OVERHEAD_BYTES))
        )
        for piece in fetch.pieces:
            key = name, fetch.number, piece
            if not 0 <= piece < pieces or key in self._queued_keys:
                continue
            if len(self._pieces) >= max_queued or follower.queued_pieces >= MAX_QUEUED_PER_FOLLOWER:
                return [
                    *self._send_within_rate(now),
                    self._refuse(now, address, fetch.number, RefusalReason.BUSY, MAX_QUEUE_S / 2),
                ]
            self._pieces.append((name, address, fetch.number, part, piece))
            self._queued_keys.add(key)
            follower.queued_pieces += 1
        return self._send_within_rate(now)

    def _admit_copy(self, now: float, name: str, part: Part) -> tuple[RefusalReason, float] | None:
        """None if a full copy may start or continue, else the reason and the delay (s) for a retry."""
        transfer = self._copies.get(name)
        if transfer is None:
            if part.kind is not PartKind.GROUPS:
                return RefusalReason.GONE, 0.0
            self._copy_line[name] = now  # a follower that is in the line already keeps its place
            ahead = 0
            for other in self._copy_line:
                if other == name:
                    break
                ahead += 1
            if ahead >= self.settings.copies - len(self._copies):
                retry_s = COPY_RETRY_NEXT_S if ahead < 2 * self.settings.copies else COPY_RETRY_S
                return RefusalReason.COPIES, retry_s * self.random.uniform(0.8, 1.2)
            del self._copy_line[name]
            self._copies[name] = transfer = CopyTransfer(self._snapshot(self.followers[name].revision), now)
            self.counters["copies"] += 1
        transfer.requested_at = now
        if part.kind is PartKind.GROUPS:
            return None
        return None if part.revision == transfer.snapshot.revision else (RefusalReason.GONE, 0.0)

    def _snapshot(self, held_revision: int) -> Document:
        """A recent snapshot that is in use and newer than the held revision, else a new one."""
        latest = max((c.snapshot for c in self._copies.values()), key=lambda s: s.revision, default=None)
        min_revision = max(
            self.document.revision - MAX_SNAPSHOT_LAG, self.document.oldest(), held_revision + 1
        )
        if latest is not None and latest.revision >= min_revision:
            return latest
        return self.document.copy()

    def _part_data(self, name: str, part: Part) -> bytes | None:
        if part.kind is PartKind.DELTA:
            return self._cached_parts.get(part)
        snapshot = self._copies[name].snapshot
        if part.kind is PartKind.GROUPS:
            part = Part(PartKind.GROUPS, snapshot.revision)
        elif not 0 <= part.node < GROUPS or not 0 <= part.mask < 1 << GROUPS:
            return None
        if part not in self._cached_parts:
            self._cache_part(part, self._encoded(snapshot, part))
        self._cached_parts.move_to_end(part)
        return self._cached_parts[part]

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
                digest
                for group in range(GROUPS)
                if part.mask >> group & 1
                for digest in snapshot.buckets(group)
            )
        entries: dict[str, bytes] = {}
        for group in range(GROUPS):
            if part.mask >> group & 1:
                entries |= snapshot.bucket(part.node * GROUPS + group)
        return encode(entries)

    # Sending within the rate

    def _push_estimate_bytes(self) -> int:
        return OVERHEAD_BYTES + MAX_INLINE_BYTES // 2

    def _send_within_rate(self, now: float) -> list[Send]:
        sends: list[Send] = []
        while self._push_retries and self._push_retries[0][0] <= now:
            _, name, revision, pushes_left = self._push_retries.popleft()
            if (follower := self.followers.get(name)) is not None and follower.revision < revision:
                self._pushes.setdefault(name, pushes_left)
        while (
            self._pushes and self._send_budget.available(now) >= self._push_estimate_bytes() - ROUNDING_SLACK
        ):
            name = next(iter(self._pushes))
            pushes_left = self._pushes.pop(name) - 1
            follower = self.followers.get(name)
            if follower is None or follower.revision >= self.document.revision:
                continue
            update_method, data = self._update_for(now, follower.revision)
            push = Push(
                self.name,
                self.document.revision,
                self.document.token,
                data if update_method is UpdateMethod.INLINE else b"",
            )
            self._send_budget.spend_into_debt(now, OVERHEAD_BYTES + len(push.delta))
            self.counters["pushes"] += 1
            sends.append(Send(follower.address, push))
            if pushes_left:
                self._push_retries.append((now + PUSH_RETRY_S, name, push.revision, pushes_left))
        while (
            self._pieces
            and not self._pushes
            and self._send_budget.try_spend(now, PIECE_BYTES + OVERHEAD_BYTES)
        ):
            name, address, number, part, piece = self._pieces.popleft()
            self._queued_keys.discard((name, number, piece))
            if (follower := self.followers.get(name)) is not None:
                follower.queued_pieces = max(0, follower.queued_pieces - 1)
            data = (
                self._part_data(name, part) if part.kind is PartKind.DELTA or name in self._copies else None
            )
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
        """Forgets followers, transfers, places in the line and slots that have expired."""
        self._swept_at = now
        remember = self.settings.remember.total_seconds()
        for name in [
            n for n, f in self.followers.items() if now - f.heard_at > max(remember, f.unheard_after())
        ]:
            self._forget(name)
        surplus = len(self.followers) - REMEMBERED_FACTOR * self.settings.most_followers
        if surplus > 0:
            for name in sorted(self.followers, key=lambda n: self.followers[n].heard_at)[:surplus]:
                self._forget(name)
        for name in [n for n, c in self._copies.items() if now - c.requested_at > COPY_TIMEOUT_S]:
            del self._copies[name]
        for name in [n for n, at in self._copy_line.items() if now - at > 2 * COPY_RETRY_S + MIN_UNHEARD_S]:
            del self._copy_line[name]
        for name in [n for n, at in self._slots.items() if now > at + SLOT_GRACE_S]:
            del self._slots[name]

    # Counts

    def counts(self, now: float) -> FollowerCounts:
        """The counts of this member's followers."""
        by_revision: Counter[int] = Counter()
        lagging, nacks, unheard = [], [], []
        for name, follower in self.followers.items():
            by_revision[follower.in_force] += 1
            silence_s = now - follower.heard_at
            if silence_s > follower.unheard_after():
                unheard.append(Laggard(name, follower.in_force, round(silence_s * 1000)))
            elif follower.in_force < self.document.revision:
                behind_s = now - (now if follower.behind_since is None else follower.behind_since)
                lagging.append(Laggard(name, follower.in_force, round(behind_s * 1000)))
            if follower.refused > follower.in_force:
                nacks.append(Nack(name, follower.refused, follower.text))
        revisions = sorted(by_revision.items(), reverse=True)
        arrived = [
            (name, round((now - f.arrived_at) * 1000))
            for name, f in self.followers.items()
            if now - f.arrived_at <= RECENT_ARRIVAL_S
        ]
        return FollowerCounts(
            self.name,
            self.document.revision,
            self.document.token,
            self._isolated_ms(now),
            len(self.followers),
            tuple(revisions[:MAX_LISTED]),
            sum(n for _, n in revisions[MAX_LISTED:]),
            len(lagging),
            _longest_behind(lagging),
            len(nacks),
            tuple(nacks[:MAX_LISTED]),
            len(unheard),
            _longest_behind(unheard),
            tuple(arrived[:MAX_ARRIVALS]),
        )

    def heard(self, now: float, source: str, counts: FollowerCounts) -> None:
        """Takes another member's counts; forgets followers that have moved to it since."""
        self.members[source] = now, counts
        for name, ago_ms in counts.arrived:
            follower = self.followers.get(name)
            if follower is not None and now - follower.heard_at >= ago_ms / 1000:
                self._forget(name)

    def status(self, now: float) -> StatusView:
        """The status of all followers, summed over the members with recent counts."""
        known = {
            name: counts for name, (at, counts) in self.members.items() if now - at <= MEMBER_COUNTS_TIMEOUT_S
        }
        known[self.name] = self.counts(now)
        by_revision: Counter[int] = Counter()
        for counts in known.values():
            by_revision.update(dict(counts.in_force))
        in_force = {str(revision): n for revision, n in sorted(by_revision.items(), reverse=True)}
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
            _rows(known, lambda c: c.laggards),
            sum(counts.nacked for counts in known.values()),
            [(member, n.name, n.revision, n.text) for member, c in sorted(known.items()) for n in c.nacks],
            sum(counts.unheard for counts in known.values()),
            _rows(known, lambda c: c.unheard_names),
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


def _longest_behind(laggards: Iterable[Laggard]) -> tuple[Laggard, ...]:
    return tuple(sorted(laggards, key=lambda laggard: -laggard.for_ms)[:MAX_LISTED])


def _rows(known: dict[str, FollowerCounts], field) -> list[tuple[str, str, int, float]]:
    return [
        (member, laggard.name, laggard.in_force, laggard.for_ms / 1000)
        for member, counts in sorted(known.items())
        for laggard in field(counts)
    ]
