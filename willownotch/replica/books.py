"""A book that this sender owns or claims: its lease, its replicas, and what they have acknowledged.

The journal keeps the records; this module keeps only those that some replica has not acknowledged. Performs
no I/O and reads no clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from willownotch.journal.records import Entry
from willownotch.replica.placement import majority
from willownotch.replica.wire import LOG_START, BookConfig, Granted, Position, Refused

MAX_CLOCK_DRIFT = 0.05  # share by which two clocks may differ in speed
WINDOW_BYTES = 512 * 1024  # unacknowledged bytes in flight to a replica
BATCH_BYTES = 64 * 1024  # records in one frame
MAX_LOG_BYTES = 2 * 1024 * 1024  # kept for replicas that lag; one further behind is filled
VERSION_TERM_SHIFT = 20  # replica set versions of a term start at term << shift
MIN_RESEND_S, MAX_RESEND_S = 0.1, 1.0  # without an answer before a resend; doubles
INCOMPLETE_BOOK_KEEP_S = 3600.0  # for which a book that may lack messages is kept open for them
MAX_ROUNDS = 32  # latest claim rounds whose grants still count


def resend_delay_s(tries: int) -> float:
    """Returns the seconds to wait for an answer before the next try."""
    return min(MAX_RESEND_S, MIN_RESEND_S * 2**tries)


@dataclass(slots=True)
class Follower:
    """A replica as its owner sees it. `acked` is a record number; None until the replica has reported its
    position."""

    name: str
    acked: int | None = None
    sent: int = 0  # last record sent
    sent_at: float = 0.0
    heard_at: float = 0.0
    reported_position: Position | None = None  # position reported when it could not apply records
    pending_fill: deque = field(default_factory=deque)  # parts of a fill still to be sent
    fill_target: int = 0  # record that the fill brings it to
    fill_sent_at: float = 0.0  # when the last part was sent
    tries: int = 0


@dataclass(slots=True)
class ClaimRound:
    """Claims sent to all witnesses at one time."""

    sent_at: float
    version: int
    granted: set[str] = field(default_factory=set)
    granted_others: set[str] = field(
        default_factory=set
    )  # witnesses that granted this term or a higher one to others
    claimed_by_others: set[str] = field(
        default_factory=set
    )  # witnesses that hold a lease of another claimant, at whichever term
    refused: dict[str, tuple[str, int]] = field(
        default_factory=dict
    )  # by witness: the owner and process it named


@dataclass(slots=True)
class FetchAnswer:
    """What a member holds of a book, collected from its answer to a fetch."""

    position: Position
    confirmed: bool
    has_copy: bool
    parts: int
    clock_offset: timedelta = timedelta(0)  # this clock minus the member's; smallest value seen
    received_parts: dict[int, tuple[tuple[int, bytes], ...]] = field(default_factory=dict)
    refs: dict[str, int] = field(default_factory=dict)
    owner_term: int = 0  # as in `Contents`
    unheard: tuple[str, ...] = ()
    history: tuple[Position, ...] = ()
    holds_all: bool = False

    def is_complete(self) -> bool:
        """Whether all parts have arrived."""
        return len(self.received_parts) == self.parts


class Stage(Enum):
    """Stages of taking ownership."""

    CLAIMING = "claiming"  # asking the witnesses, until a majority grants the term
    # Collecting the contents, if the book was another sender's or process's.
    FETCHING = "fetching"
    ADOPTING = "adopting"  # writing the contents into the journal
    OWNED = "owned"


@dataclass(slots=True)
class OwnedBook:
    """A book that this sender owns or claims, at one term."""

    book: str
    term: int
    config: BookConfig  # as recorded by a majority of witnesses, or proposed by the first claim
    base_position: Position = LOG_START  # position of the log when the term began
    last: int = 0  # number of the last record
    stage: Stage = Stage.CLAIMING
    lease_until: float = 0.0
    rounds: dict[int, ClaimRound] = field(default_factory=dict)
    round_number: int = 0  # number of the last claim round
    next_claim_at: float = 0.0  # when the next claim round is due
    proposed: tuple[str, ...] | None = None  # another replica set, which is being filled
    joint_after: int | None = None  # records behind this one also need copies in the proposed set
    proposal_sent: bool = False  # some witnesses may have recorded the proposed set, so it is final
    followers: dict[str, Follower] = field(default_factory=dict)
    log: dict[int, tuple[bytes, int]] = field(
        default_factory=dict
    )  # records, and bytes of all up to and including each
    bytes_written: int = 0  # bytes of all records so far, trimmed ones included
    open: dict[str, datetime] = field(default_factory=dict)  # outstanding ids and their deadlines
    config_sent_at: float = -1e9  # when `config` was last sent to the replicas
    accepts_messages: bool = True  # new messages may go into it
    created_at: float = 0.0
    fetch_answers: dict[str, FetchAnswer] = field(default_factory=dict)  # by member
    next_fetch_at: float = 0.0  # when members that have not answered are asked again
    fetch_deadline: float = 0.0
    former_owner: tuple[str, int] = ("", 0)  # last known owner and its process, before this one
    adopted_config: BookConfig | None = None  # takes the place of `config` once the contents are written
    contested: bool = False  # a witness granted this term or a higher one to another member
    proposal_sent_at: float = -1e9  # when witnesses were last asked to record the proposed set
    # By witness: the highest terms granted before this one to another process, and to another member.
    previous_terms: dict[str, tuple[int, int]] = field(default_factory=dict)
    highest_copied: dict[int, int] = field(default_factory=dict)  # by W: record that had W copies once
    fetch_began_at: float = 0.0
    known_refs: set[str] = field(default_factory=set)  # ids that were in the log at any time in this term
    orphan_refs: dict[str, float] = field(default_factory=dict)  # ids without contents, and their deadlines
    heard: set[str] = field(default_factory=set)  # members whose late answers are in the log
    late_refs: dict[str, set[str]] = field(default_factory=dict)  # by member: its ids not yet in the log
    ended_refs: set[str] = field(default_factory=set)  # ids that ended since the first term
    # Ids in the contents that the term began with, if these were a replica's copy.
    replicated_refs: set[str] = field(default_factory=set)

    def leased(self, now: float) -> bool:
        """Whether the owner may act on the book at this time."""
        return self.stage is Stage.OWNED and now < self.lease_until

    def history(self) -> tuple[Position, ...]:
        """Returns the positions at which the former terms of the log that this owner begins with ended."""
        return (self.adopted_config or self.config).history

    def replica_sets(self) -> list[tuple[str, ...]]:
        """Returns the replica sets that must each hold W copies.

        A set that is still being filled is left out, so that a member of it that does not answer delays no
        promise.
        """
        return [self.config.replicas] + ([self.proposed] if self.joint_after is not None else [])

    def propose(self, names: tuple[str, ...] | None) -> None:
        """Starts filling another replica set, or (None) stays with the current one."""
        self.proposed, self.joint_after, self.proposal_sent = names, None, False

    def proposal_ready(self) -> bool:
        """Whether the proposed set holds all promised messages, so that witnesses may record it.

        Once all its members are filled, promises wait for copies in both sets. Once it also holds the records
        written up to that point, it lacks nothing that was promised.
        """
        if self.proposed is None:
            return False
        found = [self.followers.get(name) for name in self.proposed if name != self.config.owner]
        if self.joint_after is None and all(
            f is not None and f.acked is not None and not f.pending_fill for f in found
        ):
            self.joint_after = self.last
        return self.joint_after is not None and all(
            f.acked is not None and f.acked >= self.joint_after for f in found
        )

    def next_version(self) -> int:
        """Returns the version for a new replica set: above all of this owner and of all owners before it."""
        return max(self.config.version + 1, self.term << VERSION_TERM_SHIFT)

    def replica_names(self) -> list[str]:
        """Returns all replicas, including those being filled, without the owner."""
        replicas = (*self.config.replicas, *(self.proposed or ()))
        return list(dict.fromkeys(name for name in replicas if name != self.config.owner))

    def copied_up_to(self, wanted: int, counts_own: bool = True) -> int:
        """Returns the record up to which each replica set has `wanted` copies. The owner's own copy counts
        only with `counts_own`, and in a set that it belongs to."""
        lowest = self.last
        for replicas in self.replica_sets():
            names = [name for name in replicas if counts_own or name != self.config.owner]
            acked = sorted(
                (self.last if name == self.config.owner else self._acked(name) for name in names),
                reverse=True,
            )
            lowest = min(lowest, acked[wanted - 1] if len(acked) >= wanted else -1)
        return lowest

    def _acked(self, name: str) -> int:
        follower = self.followers.get(name)
        return -1 if follower is None or follower.acked is None else follower.acked

    def can_replicate(self, now: float, wanted: int, silence: float) -> bool:
        """Whether `wanted` copies can be expected soon: the lease is held, and enough replicas answered
        within `silence` seconds."""

        def answers(name: str) -> bool:
            follower = self.followers.get(name)
            return name == self.config.owner or (
                follower is not None
                and follower.acked is not None
                and not follower.pending_fill
                and now - follower.heard_at < silence
            )

        return self.leased(now) and all(
            sum(map(answers, replicas)) >= wanted for replicas in self.replica_sets()
        )

    def is_promised(self, order: int, entry: Entry) -> bool:
        """Whether an entry of the journal may have been promised: it was taken over, or had enough copies."""
        ref, mark = entry.message.ref, entry.message.custody
        if order <= self.base_position[1] or ref in self.known_refs or mark is None:
            return True
        return order <= self.highest_copied.get(mark.acks, -1)

    def position(self, number: int) -> Position:
        """Returns the position of a record."""
        return (self.term, number) if number > self.base_position[1] else self.base_position

    def append_frames(self, frames: Iterable[bytes]) -> None:
        """Appends written records, in order. Drops the oldest ones above `MAX_LOG_BYTES`."""
        for data in frames:
            self.last += 1
            self.bytes_written += len(data)
            self.log[self.last] = data, self.bytes_written
        while self._log_bytes() > MAX_LOG_BYTES:
            del self.log[next(iter(self.log))]

    def _log_bytes(self) -> int:
        """Returns the bytes in the log."""
        return self.bytes_written - self._bytes_up_to(next(iter(self.log)) - 1) if self.log else 0

    def _bytes_up_to(self, number: int) -> int:
        """Returns the bytes of all records up to this one, if the log still reaches it."""
        if number in self.log:
            return self.log[number][1]
        if number + 1 in self.log:
            data, end = self.log[number + 1]
            return end - len(data)
        return self.bytes_written

    def trim(self) -> None:
        """Drops records that all replicas have acknowledged."""
        lowest = min((self._acked(name) for name in self.replica_names()), default=self.last)
        while self.log and (first := next(iter(self.log))) <= lowest:
            del self.log[first]

    def has_records_after(self, number: int) -> bool:
        """Whether the log still holds all records behind this one."""
        return number >= self.last or number + 1 in self.log

    def next_frames(self, follower: Follower) -> tuple[bytes, ...]:
        """Returns the records to send to a replica now, within the window, and counts them as sent."""
        if follower.acked is None or follower.pending_fill or not self.has_records_after(follower.sent):
            return ()
        in_flight = self._bytes_up_to(follower.sent) - self._bytes_up_to(follower.acked)
        found, size = [], 0
        for number in range(follower.sent + 1, self.last + 1):
            data = self.log[number][0]
            if (
                size + len(data) > BATCH_BYTES
                and found
                or in_flight
                and in_flight + size + len(data) > WINDOW_BYTES
            ):
                break
            found.append(data)
            size += len(data)
        follower.sent += len(found)
        return tuple(found)

    def on_granted(self, now: float, granted: Granted, span: float) -> bool:
        """Counts a witness's grant. Returns True if a majority has granted the round and its lease still
        runs.

        The lease counts from when the round was sent, shortened by the clock drift.
        """
        found = self.rounds.get(granted.round_number)
        if found is None or granted.term != self.term:
            return False
        found.granted.add(granted.source)
        self.previous_terms[granted.source] = granted.previous_term, granted.previous_member_term
        if len(found.granted) < majority(len(self.config.witnesses)):
            return False
        until = found.sent_at + span * (1 - MAX_CLOCK_DRIFT)
        self.lease_until = max(self.lease_until, until)
        return until > now

    def on_refused(self, refused: Refused) -> tuple[str, int] | None:
        """Counts a witness's refusal. Returns the owner and process that a majority of witnesses names, or
        None.

        A single refusal shows only that another member asked that witness.
        """
        found = self.rounds.get(refused.round_number)
        if found is None or not refused.left_ms:  # an owner whose lease has ended may have given up the book
            return None
        found.refused[refused.source] = named = refused.owner, refused.uid
        if named not in (self.former_owner, (self.config.owner, self.config.uid)):
            found.claimed_by_others.add(refused.source)
        agreed = list(found.refused.values()).count(named) >= majority(len(self.config.witnesses))
        return named if agreed else None

    def majority_impossible(self, number: int) -> bool:
        """Whether so many witnesses granted this term or a higher one to others that no majority is left."""
        found = self.rounds.get(number)
        return found is not None and (
            len(found.granted_others) > len(self.config.witnesses) - majority(len(self.config.witnesses))
        )

    def is_split(self) -> bool:
        """Whether other claimants hold some of the witnesses, so that the last round got no majority."""
        found = self.rounds.get(self.round_number)
        return (
            found is not None
            and bool(found.granted_others | found.claimed_by_others)
            and len(found.granted) < majority(len(self.config.witnesses))
        )

    def begin_round(self, now: float, version: int) -> int:
        """Starts a round of claims; returns its number."""
        self.round_number += 1
        self.rounds[self.round_number] = ClaimRound(now, version)
        while len(self.rounds) > MAX_ROUNDS:
            del self.rounds[next(iter(self.rounds))]
        return self.round_number
