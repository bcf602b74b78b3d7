"""A follower of the control plane: chooses a member to follow and fetches newer revisions from it.

No I/O and no clock of its own. The state advances only on what a member sends, and only forward:
(token, revision) never falls, whichever member is followed and across restarts. A revision is accepted once
it is complete, its digest matches and its records are stored; then it is offered to the caller, which applies
or refuses it. Nothing here withdraws the revision in force: without a reachable member the follower goes on
with it, and `unheard_s` returns for how long.

How a member's behaviour is answered (times by this process's clock; a shunned member may be polled again once
its time is over):

- It leaves three polls unanswered (two, if it has not answered yet): shunned for 5 s, doubled each time in a
  row, up to 30 s.
- It refuses with a delay: the follower waits, if the delay is at most 5 s and the reason is the admission
  rate; otherwise the member is shunned for that delay.
- It reports an older revision or token than the one held, three times in a row: shunned for 30 s.
- It reports the held revision with another digest or token: shunned for 60 s.
- It sends data with a wrong digest or data that cannot be decoded: nothing changes, and the differences are
  found by the tree of digests. If that is wrong too: shunned for 60 s, doubled each time, up to 600 s.
- It announces a newer revision and delivers nothing of it: the same, after 15 s for a part in pieces (120 s
  while it answers that it is busy, an hour while it answers that other copies come first) and 30 s otherwise.
- It reports that it has heard no majority for 10 s: still followed, but about every 10 s another member is
  probed that may have heard one.

Never accepted: an older revision, or one that is incomplete, has a wrong digest or could not be stored. The
follower never follows two members at once, and never polls a member before the time that it was told to wait.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import msgspec
from blake3 import blake3

from willownotch.controlplane.comparison import FIRST_PART, Buckets, Comparison
from willownotch.controlplane.document import Delta, DocumentError
from willownotch.controlplane.fetching import PartFetcher
from willownotch.controlplane.held import HeldDocument, InForce, encode, step_records
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

# Unanswered polls in a row until another member is followed; the second holds before the first answer.
MAX_UNANSWERED_POLLS, MAX_UNANSWERED_POLLS_NEW = 3, 2
SHUN_SILENT_S, MAX_SHUN_SILENT_S = 5.0, 30.0  # after unanswered polls; doubled each time in a row
MAX_ADMISSION_WAIT_S = 5.0  # longest wait for admission by the member followed
MAX_BEHIND_REPLIES, SHUN_BEHIND_S = 3, 30.0  # replies with an older revision in a row
SHUN_WRONG_S, MAX_SHUN_WRONG_S = 60.0, 600.0  # after wrong or undelivered data; doubled each time
# Without a piece; in all while the member answers that it is busy, or that other copies come first.
STALL_S, MAX_BUSY_STALL_S, MAX_COPY_QUEUE_S = 15.0, 120.0, 3600.0
DELIVERY_TIMEOUT_S = 30.0  # from the announcement of a newer revision to the first data of it
ISOLATED_S = 10.0  # without a majority, until other members are probed; also the interval of these probes
EARLY_POLL_SPREAD_S, MIN_POLL_GAP_S = 0.2, 0.25  # longest delay of an early poll; between two polls
START_SPREAD_S = 1.0  # first polls are spread over this time
MOVE_SPREAD_S = 1.0  # moves to another member are spread over this time


@dataclass(frozen=True, slots=True)
class Offer:
    """A revision to be applied; `changed` has the keys that may differ from the revision in force."""

    revision: int
    token: int
    digest: bytes
    changed: frozenset[str]


@dataclass(slots=True)
class MemberRecord:
    """What this follower remembers of a member."""

    shunned_until: float = 0.0
    silent_in_row: int = 0  # times that it was left or shunned for silence
    wrong_in_row: int = 0  # times that it was left for wrong or undelivered data


@dataclass(slots=True)
class Probe:
    """A poll of another member that asks whether it is a better one to follow."""

    member: str
    number: int
    answer_due: float


class FollowView(msgspec.Struct, frozen=True):
    """A follower's state as shown to an operator."""

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


def rank_members(name: str, settings: FollowSettings) -> list[str]:
    """All members in order of preference: own zone, own region, others.

    Within each, rendezvous hashing (Thaler and Ravishankar, 1998) spreads followers evenly and moves few of
    them when a member comes or goes.
    """

    def distance(member: str) -> int:
        place = settings.member[member]
        return 0 if place.zone == settings.zone else 1 if place.region == settings.region else 2

    return sorted(
        settings.member,
        key=lambda member: (
            distance(member),
            blake3(f"{len(name)}:{name}{member}".encode()).digest(length=8),
        ),
    )


class Follower:
    """A sender's follower. `persist` writes records to its folder and returns False if that failed."""

    def __init__(
        self,
        name: str,
        uid: int,
        held: HeldDocument,
        settings: FollowSettings,
        now: float,
        random: Random,
        persist: Callable[[list[bytes]], bool] = lambda records: True,
    ) -> None:
        self.name, self.uid, self.held, self.random, self.persist = name, uid, held, random, persist
        self.counters: Counter[str] = Counter()
        self.offered: list[Offer] = []
        self.member: str | None = None
        self._member_records: dict[str, MemberRecord] = {}
        self._heard_at = now  # last word from a member that has heard a majority, by what it reports
        self._poll_number = 0  # of the last poll or probe, to any member
        self._answered_number = 0
        self._awaiting_since: float | None = None  # time of the poll that is not answered yet
        self._polled_at = now - MIN_POLL_GAP_S
        self._unanswered, self._behind, self._is_new = 0, 0, True
        self._poll_at = self._choose_at = now + random.uniform(0.0, START_SPREAD_S)
        self._probe: Probe | None = None
        self._isolated_s = 0.0  # how long the member followed has heard no majority
        self._refusal = (0, "")  # revision that could not be applied, and why
        self._stored = held.document.revision, held.document.token
        self._unstored: list[bytes] = []
        self._store_at = now
        self._fetching: PartFetcher | None = None
        self._comparison: Comparison | None = None
        self._buckets: Buckets = {}  # fetched for a comparison, and kept for the next one
        self._distrust = False  # of differences: the tree of digests is fetched instead
        self._last_part_number = 1 << 32  # of the last part that was requested
        self._wait_reason: RefusalReason | None = None  # reason why the member does not send pieces
        self._announced_at: float | None = None  # of a newer revision, until something of it comes
        self._refused_until = now  # by the member followed
        self.configure(settings, now)
        self._probe_at = now + self._probe_interval_s()
        if held.document.revision > held.in_force:
            self._offer_revision()

    def configure(self, settings: FollowSettings, now: float) -> None:
        """Apply changed members or intervals."""
        self.settings = settings
        self.period = settings.period.total_seconds()
        self.patience = settings.patience.total_seconds()
        self.ranked = rank_members(self.name, settings)
        if self.member is not None and self.member not in settings.member:
            self._leave(now, 0.0)
        self._probe = None

    # Results of applying a revision

    def in_force(self, now: float, revision: int) -> None:
        """Record that an offered revision was applied."""
        self.held.set_in_force(revision)
        if self._refusal[0] <= revision:
            self._refusal = 0, ""
        if not self.persist([encode(InForce(revision))]):
            self.counters["not kept"] += 1
        self._poll_early(now)

    def refused(self, now: float, revision: int, text: str) -> None:
        """Record that an offered revision could not be applied; the one before stays in force."""
        self.counters["refused here"] += 1
        self._refusal = revision, text[:MAX_TEXT_CHARS]
        self._poll_early(now)

    def stop(self, now: float) -> list[Send]:
        """Stop following; the member is told, so that it forgets this follower."""
        return self._leave(now, 0.0)

    def unheard_s(self, now: float) -> float:
        """Seconds since the last answer of a member that hears a majority and is not behind."""
        return now - self._heard_at

    def view(self, now: float) -> FollowView:
        """The follower's state for operators."""
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
        """Time of the next tick that is needed."""
        times = [self._probe.answer_due if self._probe else self._probe_at]
        if self.member is None:
            times.append(self._choose_at)
        else:
            times.append(
                self._poll_at if self._awaiting_since is None else self._awaiting_since + self.patience
            )
        if self._fetching is not None:
            times.append(self._stalled_at())
            if (due := self._fetching.due()) is not None:
                times.append(due)
        if self._unstored:
            times.append(self._store_at)
        return min(times)

    def tick(self, now: float) -> list[Send]:
        """Handle all timers that are due; returns the datagrams to send."""
        sends: list[Send] = []
        if self._unstored and now >= self._store_at:
            self._store(now)
        if self.member is None and now >= self._choose_at:
            self._choose(now)
        if self._awaiting_since is not None and now >= self._awaiting_since + self.patience:
            self._poll_unanswered(now)
        if self._fetching is not None and now >= self._stalled_at():
            self.counters["undelivered"] += 1
            sends += self._leave_wrong_member(now)
        if self.member is not None and self._awaiting_since is None and now >= self._poll_at:
            sends.append(self._poll(now))
        return [*sends, *self._probe_others(now), *self._continue_fetch(now)]

    def receive(self, now: float, address: Address, message: Message) -> list[Send]:
        """Handle an authenticated datagram of a member; returns the datagrams to send."""
        source = message.source
        if (
            isinstance(message, PollReply)
            and self._probe is not None
            and message.number == self._probe.number
        ):
            return self._handle_probe_reply(now, message) if source == self._probe.member else []
        if (
            isinstance(message, Refused)
            and self._probe is not None
            and ((source, message.number) == (self._probe.member, self._probe.number))
        ):
            self._shun(now, source, message.after_ms / 1000)
            self._probe = None
            return []
        if source != self.member:
            self.counters["not followed"] += 1
            return []
        if isinstance(message, PollReply):
            return self._handle_poll_reply(now, message)
        if isinstance(message, Push):
            return self._handle_push(now, message)
        if isinstance(message, Refused):
            return self._handle_refused(now, message)
        if isinstance(message, Piece):
            return self._handle_piece(now, message)
        self.counters["unexpected"] += 1
        return []

    # The member followed

    def _record_of(self, member: str) -> MemberRecord:
        return self._member_records.setdefault(member, MemberRecord())

    def _shun(self, now: float, member: str, duration_s: float) -> None:
        self._record_of(member).shunned_until = now + duration_s

    def _choose(self, now: float) -> None:
        """Follow the first member that is not shunned; if all are, try again when the first time is over."""
        free = [member for member in self.ranked if self._record_of(member).shunned_until <= now]
        if not free:
            ends = [self._record_of(member).shunned_until for member in self.ranked]
            self._choose_at = min(ends, default=now + MAX_SHUN_SILENT_S) + self.random.uniform(
                0.0, MOVE_SPREAD_S
            )
            return
        self._follow(now, free[0])

    def _follow(self, now: float, member: str) -> None:
        self.member, self._is_new, self._unanswered, self._behind, self._isolated_s = member, True, 0, 0, 0.0
        self._awaiting_since, self._poll_at, self._answered_number = None, now, self._poll_number
        self._announced_at, self._refused_until = None, now
        self._probe, self._probe_at = None, now + self._probe_interval_s()
        self.counters["followed"] += 1

    def _leave(self, now: float, shun_s: float) -> list[Send]:
        """Stop following the member and shun it for `shun_s` seconds; another is chosen soon."""
        left, self.member = self.member, None
        self._drop_fetch()
        self._awaiting_since = None
        self._choose_at = now + self.random.uniform(0.0, MOVE_SPREAD_S)
        if left is None or left not in self.settings.member:
            return []
        self._shun(now, left, shun_s)
        return [Send(self.settings.member[left].address, Leave(self.name, self.uid, left))]

    def _leave_wrong_member(self, now: float) -> list[Send]:
        record = self._record_of(self.member)
        record.wrong_in_row += 1
        self._distrust = False
        return self._leave(now, min(MAX_SHUN_WRONG_S, SHUN_WRONG_S * 2 ** (record.wrong_in_row - 1)))

    def _poll(self, now: float, member: str | None = None) -> Send:
        """A poll of the member followed, or a probe of another one if `member` is given."""
        self._poll_number += 1
        target = member or self.member
        if member is None:
            self._awaiting_since = self._polled_at = now
            self.counters["polls"] += 1
        return Send(
            self.settings.member[target].address,
            Poll(
                self.name,
                self.uid,
                self._poll_number,
                target,
                round(self.period * 1000),
                *self._stored,
                self.held.in_force,
                *self._refusal,
                member is not None,
            ),
        )

    def _poll_early(self, now: float) -> None:
        """Poll before the regular time, as soon as the bounds allow."""
        at = max(
            self._polled_at + MIN_POLL_GAP_S,
            now + self.random.uniform(0.0, EARLY_POLL_SPREAD_S),
            self._refused_until,
        )
        self._poll_at = min(self._poll_at, at)

    def _poll_unanswered(self, now: float) -> None:
        self._awaiting_since = None
        self._unanswered += 1
        self.counters["unanswered"] += 1
        self._poll_at = now
        if self._unanswered >= (MAX_UNANSWERED_POLLS_NEW if self._is_new else MAX_UNANSWERED_POLLS):
            record = self._record_of(self.member)
            record.silent_in_row += 1
            self._leave(now, min(MAX_SHUN_SILENT_S, SHUN_SILENT_S * 2 ** (record.silent_in_row - 1)))

    def _accept_answer(self, now: float, number: int) -> bool:
        """Whether `number` answers a poll that is not answered yet; if so, schedules the next poll."""
        if not self._answered_number < number <= self._poll_number:
            self.counters["late"] += 1
            return False
        self._answered_number, self._unanswered, self._awaiting_since = number, 0, None
        self._poll_at = now + self.period * self.random.uniform(0.9, 1.1)
        return True

    def _handle_refused(self, now: float, refused: Refused) -> list[Send]:
        after_s = refused.after_ms / 1000
        if refused.reason is RefusalReason.BUSY or refused.reason is RefusalReason.COPIES:
            if self._fetching is not None:
                self.counters["told to wait"] += 1
                self._wait_reason = refused.reason
                self._fetching.pause(now, after_s)
            return []
        if refused.reason is RefusalReason.GONE:
            if self._fetching is not None and refused.number in self._fetching.wanted:
                self._drop_fetch()
                self._poll_early(now)
            return []
        if not self._accept_answer(now, refused.number):
            return []
        self.counters["turned away"] += 1
        if refused.reason is RefusalReason.RATE and after_s <= MAX_ADMISSION_WAIT_S:
            self._refused_until = now + after_s
            self._poll_at = self._refused_until + self.random.uniform(0.0, EARLY_POLL_SPREAD_S)
            return []
        self._leave(now, after_s)
        return []

    def _probe_interval_s(self) -> float:
        """Seconds until another member is probed."""
        interval_s = ISOLATED_S if self._isolated_s >= ISOLATED_S else self.settings.home.total_seconds()
        return interval_s * self.random.uniform(0.5, 1.5)

    def _probe_others(self, now: float) -> list[Send]:
        """Probe a preferred member from time to time; any other, while the one followed hears no majority."""
        if self._probe is not None:
            if now < self._probe.answer_due:
                return []
            record = self._record_of(self._probe.member)
            record.silent_in_row += 1
            self._shun(
                now,
                self._probe.member,
                min(MAX_SHUN_SILENT_S, SHUN_SILENT_S * 2 ** (record.silent_in_row - 1)),
            )
            self._probe, self._probe_at = None, now  # probe the next one at once
        if now < self._probe_at:
            return []
        self._probe_at = now + self._probe_interval_s()
        if self.member is None or self._is_new or self._comparison is not None:
            return []
        others = [member for member in self.ranked if member != self.member]
        if self._isolated_s < ISOLATED_S:
            others = self.ranked[: self.ranked.index(self.member)]
        free = [member for member in others if self._record_of(member).shunned_until <= now]
        if not free:
            return []
        send = self._poll(now, free[0])
        self._probe = Probe(free[0], self._poll_number, now + self.patience)
        return [send]

    def _handle_probe_reply(self, now: float, reply: PollReply) -> list[Send]:
        self._probe = None
        isolated_s = reply.isolated_ms / 1000
        self._record_of(reply.source).silent_in_row = 0
        if (reply.token, reply.revision) < (self.held.document.token, self.held.document.revision) or (
            isolated_s >= ISOLATED_S and isolated_s >= self._isolated_s
        ):
            self._shun(now, reply.source, SHUN_BEHIND_S)
            return []
        sends = self._leave(now, 0.0)
        self.counters["moved nearer"] += 1
        self._follow(now, reply.source)
        return [*sends, *self.tick(now)]

    # Revisions

    def _handle_poll_reply(self, now: float, reply: PollReply) -> list[Send]:
        if not self._accept_answer(now, reply.number):
            return []
        document = self.held.document
        self._is_new, self._isolated_s = False, reply.isolated_ms / 1000
        if self._isolated_s >= ISOLATED_S:
            self._probe_at = min(self._probe_at, now + self._probe_interval_s())
        record = self._record_of(reply.source)
        record.silent_in_row = 0
        if reply.revision < document.revision or reply.token < document.token:
            self.counters["behind"] += 1
            self._behind += 1
            return self._leave(now, SHUN_BEHIND_S) if self._behind >= MAX_BEHIND_REPLIES else []
        self._behind = 0
        if reply.revision == document.revision:
            if (reply.token, reply.digest) != (document.token, document.digest):
                self.counters["disagrees"] += 1
                return self._leave(now, SHUN_WRONG_S)
            record.wrong_in_row = 0
            self._heard_at = max(self._heard_at, now - self._isolated_s)
            return []
        self._heard_at = max(self._heard_at, now - self._isolated_s)
        if self._unstored or self._fetching is not None:
            return self._continue_fetch(now)
        if self._announced_at is None:
            self._announced_at = now
        elif now - self._announced_at >= DELIVERY_TIMEOUT_S:
            self.counters["undelivered"] += 1
            return self._leave_wrong_member(now)
        if reply.method is UpdateMethod.INLINE and not self._distrust:
            return self._handle_delta(now, reply.delta)
        if reply.method is UpdateMethod.DELTA and not self._distrust:
            part = Part(PartKind.DELTA, reply.revision, document.revision)
            return self._start_fetch(now, part, -(-reply.size // PIECE_BYTES))
        return [] if reply.method is UpdateMethod.NOTHING else self._start_fetch(now, FIRST_PART, 1)

    def _handle_push(self, now: float, push: Push) -> list[Send]:
        if push.revision <= self.held.document.revision or self._is_new:
            return []
        if push.delta and not self._unstored and not self._distrust:
            return self._handle_delta(now, push.delta)
        self._poll_early(now)
        return []

    def _handle_delta(self, now: float, data: bytes) -> list[Send]:
        """Apply a complete difference, if it begins at the held revision or before and leads past it."""
        try:
            delta = read_delta(data)
        except ValueError:
            return self._fall_back_to_digests(now)
        if delta.revision <= self.held.document.revision:
            self.counters["repeat"] += 1
            return []
        if delta.since > self.held.document.revision:
            self.counters["gap"] += 1
            self._poll_early(now)
            return []
        return self._advance(now, delta)

    def _advance(self, now: float, delta: Delta) -> list[Send]:
        try:
            self.held.advance(delta)
        except DocumentError:
            return self._fall_back_to_digests(now)
        self._drop_fetch()
        self._distrust, self._announced_at = False, None
        self._buckets.clear()
        self._unstored = step_records(delta)
        self._store(now)
        return []

    def _fall_back_to_digests(self, now: float) -> list[Send]:
        """Wrong data: find the differences by digests; if those were wrong already, leave the member."""
        self.counters["wrong digest"] += 1
        if self._distrust:
            return self._leave_wrong_member(now)
        self._drop_fetch()
        self._distrust = True
        return self._start_fetch(now, FIRST_PART, 1)

    def _store(self, now: float) -> None:
        if not self.persist(self._unstored):
            self.counters["not kept"] += 1
            self._store_at = now + self.period
            return
        self._unstored = []
        self._stored = self.held.document.revision, self.held.document.token
        self._offer_revision()

    def _offer_revision(self) -> None:
        document = self.held.document
        self.offered.append(
            Offer(document.revision, document.token, document.digest, self.held.changed_keys())
        )

    # Parts

    def _start_fetch(self, now: float, part: Part, pieces: int) -> list[Send]:
        is_copy = part.kind is not PartKind.DELTA or part.node == 0
        rate = self.settings.rate if is_copy else self.settings.budget
        self._fetching = PartFetcher(self.name, self.member, rate, self.patience, now, self._last_part_number)
        self._fetching.add_part(part, pieces)
        self._comparison = (
            None if part.kind is PartKind.DELTA else Comparison(self.held.document, self._buckets)
        )
        self._wait_reason = None
        return self._continue_fetch(now)

    def _drop_fetch(self) -> None:
        if self._fetching is not None:
            self._last_part_number = self._fetching.last_number
        self._fetching = self._comparison = None

    def _stalled_at(self) -> float:
        since, max_wait = (
            self._fetching.progress_at,
            MAX_COPY_QUEUE_S if self._wait_reason is RefusalReason.COPIES else MAX_BUSY_STALL_S,
        )
        return min(max(since, self._fetching.wait_until) + STALL_S, since + max_wait)

    def _continue_fetch(self, now: float) -> list[Send]:
        if self._fetching is None:
            return []
        address = self.settings.member[self._fetching.member].address
        return [Send(address, fetch) for fetch in self._fetching.next_requests(now)]

    def _handle_piece(self, now: float, piece: Piece) -> list[Send]:
        if self._fetching is None:
            return []
        complete = self._fetching.on_piece(now, piece)
        if self._fetching.progress_at == now:
            self._wait_reason, self._announced_at = None, None
        if complete is None:
            return self._continue_fetch(now)
        part, data = complete
        if part.kind is PartKind.DELTA:
            self._drop_fetch()
            return self._handle_delta(now, data)
        try:
            for wanted, pieces in self._comparison.on_part(part, data):
                self._fetching.add_part(wanted, pieces)
        except ValueError:
            self.counters["wrong digest"] += 1
            return self._leave_wrong_member(now)
        return (
            self._finish_comparison(now, self._comparison)
            if self._comparison.is_complete()
            else self._continue_fetch(now)
        )

    def _finish_comparison(self, now: float, comparison: Comparison) -> list[Send]:
        """Apply the differences that a complete comparison found."""
        document, snapshot = self.held.document, comparison.snapshot
        if (snapshot.token, snapshot.revision) <= (document.token, document.revision):
            self.counters["repeat"] += 1
            self._drop_fetch()
            return []
        self.counters["copied"] += 1
        self._distrust = True  # if this is wrong too, the member is left: nothing more can be asked of it
        sends = self._advance(now, comparison.delta())
        self._poll_early(now)
        return sends
