"""A book that this sender owns, or claims: its lease, its replicas, what they have acknowledged. No I/O, no
clock.

The records themselves are the journal's; here are only those that some replica has not acknowledged yet.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from willownotch.replica.placement import majority
from willownotch.replica.wire import START, BookConfig, Granted, Position, Refused

DRIFT = 0.05  # how much two clocks may differ in speed
WINDOW = 512 * 1024  # bytes on their way to a replica, unacknowledged
BATCH = 64 * 1024  # bytes of records in one frame
LOG_MOST = 2 * 1024 * 1024  # bytes kept for replicas that lag; who is further behind is filled
TERM_SHIFT = 20  # a term's versions of the set of replicas begin at the term, shifted by so much
RESEND, RESEND_MOST = 0.1, 1.0  # s without a word before something is sent again; doubles
ROUNDS = 32  # rounds of claims whose grants still count


def resend_after(tries: int) -> float:
    """Seconds to wait for an answer before the next try."""
    return min(RESEND_MOST, RESEND * 2**tries)


@dataclass(slots=True)
class Follower:
    """A replica as its owner knows it. `acked` is the number of a record; None until it has told where it
    is."""

    name: str
    acked: int | None = None
    sent: int = 0  # up to this record
    sent_at: float = 0.0
    heard_at: float = 0.0
    told: Position | None = None  # where it said it was when it could not follow
    fill: deque = field(default_factory=deque)  # parts still to be sent
    fill_at: int = 0  # the record that they bring it to
    filled_at: float = 0.0  # the last part went out
    tries: int = 0


@dataclass(slots=True)
class Round:
    """Claims that were sent to all witnesses at one moment."""

    sent_at: float
    version: int
    granted: set[str] = field(default_factory=set)
    taken: set[str] = field(default_factory=set)  # witnesses that have given the term to another
    refused: dict[str, tuple[str, int]] = field(default_factory=dict)  # by witness: who has it, by that one


@dataclass(slots=True)
class Answer:
    """What a member holds of a book, as it comes in."""

    position: Position
    sure: bool
    known: bool
    parts: int
    ahead: timedelta = timedelta(0)  # this clock ahead of its, as little as was seen
    got: dict[int, tuple[tuple[int, bytes], ...]] = field(default_factory=dict)
    refs: dict[str, int] = field(default_factory=dict)

    def whole(self) -> bool:
        """Whether all of it has come."""
        return len(self.got) == self.parts


class Stage(Enum):
    """How far the ownership has come."""

    CLAIMING = "claiming"  # of a majority of the witnesses
    FETCHING = "fetching"  # what the replicas hold: it was another's, or a former process's
    ADOPTING = "adopting"  # into the journal
    OWNED = "owned"


@dataclass(slots=True)
class Owned:
    """A book at a term of this sender's own."""

    book: str
    term: int
    config: BookConfig  # as it is on record at a majority of witnesses, or will be by the first claim
    base: Position = START  # where the log stood when the term began
    last: int = 0  # the number of the last record
    stage: Stage = Stage.CLAIMING
    lease_until: float = 0.0
    rounds: dict[int, Round] = field(default_factory=dict)
    number: int = 0  # of the last round
    claim_at: float = 0.0  # when the next one is due
    proposed: tuple[str, ...] | None = None  # another set of replicas, being filled
    joint_from: int | None = None  # behind this record a promise needs copies in the proposed set, too
    offered: bool = False  # witnesses were asked to record the proposed set: some may have, so it stays
    followers: dict[str, Follower] = field(default_factory=dict)
    log: dict[int, tuple[bytes, int]] = field(default_factory=dict)  # records, and bytes up to their ends
    written: int = 0  # bytes of all records so far
    open: dict[str, datetime] = field(default_factory=dict)  # ids that are owed an end, and their deadlines
    about_at: float = -1e9  # when the replicas were last told what the book is
    fresh: bool = True  # new messages may go into it
    born: float = 0.0
    answers: dict[str, Answer] = field(default_factory=dict)  # to a fetch
    fetch_at: float = 0.0  # when those who have not answered are asked again
    fetch_ends: float = 0.0
    before: tuple[str, int] = ("", 0)  # who is known to have had it
    contested: bool = False  # a witness has given a higher term to somebody who asked
    set_at: float = -1e9  # when the witnesses were last asked to record another set of replicas

    def leased(self, now: float) -> bool:
        """Whether the owner may act."""
        return self.stage is Stage.OWNED and now < self.lease_until

    def sets(self) -> list[tuple[str, ...]]:
        """The sets of replicas that each have to hold W copies.

        A set that is still being filled is none of them: who does not answer there holds up no promise.
        """
        return [self.config.replicas] + ([self.proposed] if self.joint_from is not None else [])

    def propose(self, names: tuple[str, ...] | None) -> None:
        """Begin to fill another set of replicas, or (None) leave it at the one there is."""
        self.proposed, self.joint_from, self.offered = names, None, False

    def ripe(self) -> bool:
        """Whether the proposed set may be put on record: it holds all that was promised, and always will.

        Once all of it is filled, promises wait for both sets; once it holds what there was by then, nothing
        that was promised is missing in it.
        """
        if self.proposed is None:
            return False
        found = [self.followers.get(name) for name in self.proposed if name != self.config.owner]
        if self.joint_from is None and all(
            f is not None and f.acked is not None and not f.fill for f in found
        ):
            self.joint_from = self.last
        return self.joint_from is not None and all(
            f.acked is not None and f.acked >= self.joint_from for f in found
        )

    def next_version(self) -> int:
        """Of a set that is put on record: above all of this owner's before, and of all owners before it."""
        return max(self.config.version + 1, self.term << TERM_SHIFT)

    def names(self) -> list[str]:
        """All replicas, those that are being filled among them, the owner itself not."""
        line = (*self.config.replicas, *(self.proposed or ()))
        return list(dict.fromkeys(name for name in line if name != self.config.owner))

    def reached(self, wanted: int) -> int:
        """Up to which record there are so many copies, in each set; the owner's own counts in a set that it
        is in."""
        least = self.last
        for line in self.sets():
            acked = sorted(
                (self.last if name == self.config.owner else self._acked(name) for name in line), reverse=True
            )
            least = min(least, acked[wanted - 1] if len(acked) >= wanted else -1)
        return least

    def _acked(self, name: str) -> int:
        follower = self.followers.get(name)
        return -1 if follower is None or follower.acked is None else follower.acked

    def able(self, now: float, wanted: int, silence: float) -> bool:
        """Whether so many copies can be expected soon: the lease is held, and enough replicas answer."""

        def answers(name: str) -> bool:
            follower = self.followers.get(name)
            return name == self.config.owner or (
                follower is not None
                and follower.acked is not None
                and not follower.fill
                and now - follower.heard_at < silence
            )

        return self.leased(now) and all(sum(map(answers, line)) >= wanted for line in self.sets())

    def position(self, number: int) -> Position:
        """The position of a record."""
        return (self.term, number) if number > self.base[1] else self.base

    def add(self, frames: Iterable[bytes]) -> None:
        """Records that were written, in their order."""
        for data in frames:
            self.last += 1
            self.written += len(data)
            self.log[self.last] = data, self.written
        while self._kept() > LOG_MOST:
            del self.log[next(iter(self.log))]

    def _kept(self) -> int:
        """Bytes in the log."""
        return self.written - self._before(next(iter(self.log)) - 1) if self.log else 0

    def _before(self, number: int) -> int:
        """Bytes of all records up to this one, as far as they are still here."""
        if number in self.log:
            return self.log[number][1]
        if number + 1 in self.log:
            data, end = self.log[number + 1]
            return end - len(data)
        return self.written

    def trim(self) -> None:
        """Forget records that all replicas have acknowledged."""
        least = min((self._acked(name) for name in self.names()), default=self.last)
        while self.log and (first := next(iter(self.log))) <= least:
            del self.log[first]

    def covers(self, number: int) -> bool:
        """Whether the records behind this one are still here."""
        return number >= self.last or number + 1 in self.log

    def next_frames(self, follower: Follower) -> tuple[bytes, ...]:
        """Records that go out to a replica now, as far as the window allows."""
        if follower.acked is None or follower.fill or not self.covers(follower.sent):
            return ()
        on_the_way = self._before(follower.sent) - self._before(follower.acked)
        found, size = [], 0
        for number in range(follower.sent + 1, self.last + 1):
            data = self.log[number][0]
            if size + len(data) > BATCH and found or on_the_way and on_the_way + size + len(data) > WINDOW:
                break
            found.append(data)
            size += len(data)
        follower.sent += len(found)
        return tuple(found)

    def granted(self, now: float, granted: Granted, span: float) -> bool:
        """A witness's grant; whether the lease reaches further for it."""
        found = self.rounds.get(granted.number)
        if found is None or granted.term != self.term:
            return False
        found.granted.add(granted.source)
        if len(found.granted) < majority(len(self.config.witnesses)):
            return False
        until = found.sent_at + span * (1 - DRIFT)
        self.lease_until = max(self.lease_until, until)
        return until > now

    def refused(self, refused: Refused) -> tuple[str, int] | None:
        """A witness's refusal; who has the book, once a majority names the same one.

        What one witness says shows only that somebody has asked it.
        """
        found = self.rounds.get(refused.number)
        if found is None or not refused.left_ms:  # whose lease is over may have let go of it
            return None
        found.refused[refused.source] = named = refused.owner, refused.life
        agreed = list(found.refused.values()).count(named) >= majority(len(self.config.witnesses))
        return named if agreed else None

    def hopeless(self, number: int) -> bool:
        """Whether so many have given this term or a higher one to others that no majority is left."""
        found = self.rounds.get(number)
        return found is not None and (
            len(found.taken) > len(self.config.witnesses) - majority(len(self.config.witnesses))
        )

    def begin_round(self, now: float, version: int) -> int:
        """Claims go out now."""
        self.number += 1
        self.rounds[self.number] = Round(now, version)
        while len(self.rounds) > ROUNDS:
            del self.rounds[next(iter(self.rounds))]
        return self.number
