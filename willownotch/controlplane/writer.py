"""The writer: while a lease is held, it asks for promises and proposes one change after the other. No I/O.

A writer keeps nothing: whatever it began is in the voters' folders, and the next one goes on from there.
Before anything of its own it commits again what a majority shows under the highest ballot (phase 1 of Paxos;
Raft's rule that nothing of an older term is committed by counting has the same cause).

A change is refused only once a majority has accepted, under the writer's ballot, that there is no proposal
for the revision yet: an earlier try of it, which some voter may have accepted, can never come back then, and
no writer that was overtaken refuses anything.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from willownotch.controlplane.agreement import (
    NONE,
    Accept,
    Answer,
    Ballot,
    Outcome,
    Prepare,
    Promise,
    Vector,
    Vote,
    current_answers,
    highest_accepted,
    majority,
)
from willownotch.controlplane.document import Change, Commit, DocumentError, check_change
from willownotch.controlplane.voter import Voter

Check = Callable[..., None]  # (document, change): `DocumentError` where the change is unsound
REMEMBERED = 1024  # refusals, so that a doubled question gets the same answer


class Stage(Enum):
    """How far a writer is."""

    IDLE = "idle"  # another is the writer, or none
    PREPARING = "preparing"  # asks for promises
    LEADING = "leading"


@dataclass(slots=True)
class Asked:
    """A change that waits, and who has asked for it."""

    change: Change
    sources: set[str]


@dataclass(slots=True)
class Proposal:
    """What the voters are asked to accept. No `asked`: an earlier writer's, committed again."""

    accept: Accept
    asked: Asked | None
    refusal: str = ""
    votes: dict[str, Vector] = field(default_factory=dict)

    @property
    def id(self) -> bytes:
        """Of its change; empty where there is none."""
        return self.accept.commit.change.id if self.accept.commit is not None else b""


class Writer:
    """One member as the writer. `send(name, message)` takes what it says, also to its own voter."""

    def __init__(
        self,
        voter: Voter,
        uid: int,
        check: Check,
        queue_most: int,
        again_s: float,
        random: Random,
        send: Callable[[str, object], None],
    ) -> None:
        self.voter, self.uid, self.check, self.queue_most = voter, uid, check, queue_most
        self.again_s, self.random, self.send = again_s, random, send
        self.stage = Stage.IDLE
        self.token: int | None = None  # of the lease
        self.ballot = NONE
        self.highest = 0  # token of a ballot that was heard of or used
        self.promises: dict[str, Promise] = {}
        self.proposal: Proposal | None = None
        self.queue: deque[Asked] = deque()
        self.refused: dict[bytes, Answer] = {}
        self.begin_at = self.again_at = 0.0
        self.tries = 0
        self.counts = voter.counts

    # The lease

    def lead(self, now: float, token: int | None) -> None:
        """What the lease says at this moment."""
        if token is None and self.token is not None:
            self._stand_down()
        elif token is not None and token != self.token:
            self._stand_down()
            self.begin_at, self.tries = now, 0
        self.token = token
        if token is not None and self.stage is Stage.IDLE and now >= self.begin_at:
            self._begin(now)

    def _begin(self, now: float) -> None:
        # A lease's tokens may have been forgotten with folders, what was promised is not: the ballot is above
        # both. One ballot is never begun twice, as it may have proposed something already.
        known = max(self.voter.promised.token, self.voter.document.token, self.highest)
        self.highest = max(self.token or 0, known + 1 if known >= (self.token or 0) else 0)
        self.ballot, self.stage = Ballot(self.highest, self.uid), Stage.PREPARING
        self.again_at = now
        self.counts["ballots begun"] += 1

    def _stand_down(self) -> None:
        """Stop. Who has asked asks the next writer, which finds out what became of it."""
        self.stage, self.proposal = Stage.IDLE, None
        self.promises.clear()
        self.queue.clear()
        self.refused.clear()

    def overtaken(self, now: float, promised: Ballot) -> None:
        """A voter has promised a higher ballot. If the lease says otherwise, it is tried again, above that,
        after a while that two writers do not share."""
        self.highest = max(self.highest, promised.token)
        if self.stage is Stage.IDLE:
            return
        self.counts["overtaken"] += 1
        self._stand_down()
        self.tries += 1
        self.begin_at = now + self.again_s * 2 ** min(self.tries, 5) * self.random.uniform(0.2, 1.0)

    # Answers of voters

    def promised(self, now: float, source: str, message: Promise) -> None:
        """Phase 1b has come."""
        if self.stage is Stage.IDLE or message.ballot != self.ballot:
            return
        if message.promised != self.ballot:
            self.overtaken(now, message.promised)
        elif self.stage is Stage.PREPARING:
            self.promises[source] = message

    def voted(self, now: float, source: str, message: Vote) -> None:
        """Phase 2b has come."""
        if self.stage is Stage.IDLE or message.ballot != self.ballot:
            return
        proposal = self.proposal
        if message.promised > self.ballot:
            self.overtaken(now, message.promised)
        elif (
            message.accepted
            and proposal is not None
            and message.voted == proposal.accept.revision
            and message.id == proposal.id
        ):
            proposal.votes[source] = message.vector

    # Changes

    def submitted(self, source: str, ballot: Ballot, change: Change) -> Answer | None:
        """Somebody asks for a change; the answer, if it is known at once."""
        if self.stage is not Stage.LEADING or ballot != self.ballot:
            return None
        if change.id in self.refused:
            return self.refused[change.id]
        waiting = list(self.queue)
        if self.proposal is not None and self.proposal.asked is not None:
            waiting.append(self.proposal.asked)
        for asked in waiting:
            if asked.change.id == change.id:
                asked.sources.add(source)
                return None
        if len(self.queue) >= self.queue_most:
            self.counts["queue full"] += 1
            return Answer(
                self.ballot,
                change.id,
                Outcome.UNKNOWN,
                0,
                f"{len(self.queue)} changes wait already: nothing was done, ask again",
            )
        self.queue.append(Asked(change, {source}))
        return None

    def _answer(self, asked: Asked, outcome: Outcome, revision: int, text: str) -> None:
        answer = Answer(self.ballot, asked.change.id, outcome, revision, text)
        if outcome is Outcome.REFUSED:
            self.refused[asked.change.id] = answer
            while len(self.refused) > REMEMBERED:
                del self.refused[next(iter(self.refused))]
        for source in sorted(asked.sources):
            self.send(source, answer)

    def proceed(self, now: float) -> None:
        """Go on as far as possible."""
        document = self.voter.document
        if self.stage is Stage.PREPARING:
            names = current_answers({name: promise.vector for name, promise in self.promises.items()})
            if len(names) < majority(len(self.voter.voters)):
                return
            promises = [self.promises[name] for name in names]
            latest = max(promise.revision for promise in promises)
            if document.revision < latest:
                return  # it is caught up with first
            self.stage, self.tries = Stage.LEADING, 0
            found = highest_accepted(document.revision, (promise.pending for promise in promises))
            self.promises.clear()
            if found is not None and found.commit is not None:
                self.counts["committed again"] += 1
                self._propose(now, found.commit, None)
        while self.stage is Stage.LEADING:
            if self.proposal is not None:
                if not self._carried(self.proposal):
                    break
            elif self.queue:
                self._consider(now, self.queue.popleft())
            else:
                break

    def _carried(self, proposal: Proposal) -> bool:
        """Whether there is nothing more to do about the proposal."""
        accept, document = proposal.accept, self.voter.document
        if accept.revision <= document.revision:
            # It was learnt from another: this one, or what another writer proposed.
            self.proposal = None
            if proposal.asked is not None:
                self.queue.appendleft(proposal.asked)
            return True
        if len(current_answers(proposal.votes)) < majority(len(self.voter.voters)):
            return False
        if accept.commit is None:
            self.proposal = None
            if proposal.asked is not None:
                self._answer(proposal.asked, Outcome.REFUSED, 0, proposal.refusal)
            return True
        self.voter.learn([accept.commit])
        return document.revision >= accept.revision

    def _consider(self, now: float, asked: Asked) -> None:
        document, change = self.voter.document, asked.change
        if (revision := document.found(change.id)) is not None:
            return self._answer(asked, Outcome.COMMITTED, revision, "")
        if change.base > document.revision or change.base < document.oldest():
            # Whether it is in is not known here: of old changes the ids are forgotten.
            return self._answer(
                asked,
                Outcome.UNKNOWN,
                0,
                (
                    f"it is based on revision {change.base}, known are {document.oldest()} to "
                    f"{document.revision}: look at the last one, and ask for what is lacking as a new change"
                ),
            )
        if (lost_to := document.conflict(change)) is not None:
            key = min(change.touched() & lost_to.change.touched())
            return self._answer(
                asked,
                Outcome.LOST,
                lost_to.revision,
                (
                    f"revision {lost_to.revision} by {lost_to.change.author} has changed {key!r} since "
                    f"revision {change.base}"
                ),
            )
        try:
            check_change(change)
            self.check(document, change)
        except DocumentError as fault:
            return self._propose(now, None, asked, str(fault))
        if document.token > self.ballot.token:
            # A later writer's commit: what is proposed under this ballot would fall back behind it.
            return self.overtaken(now, Ballot(document.token, 0))
        self._propose(
            now,
            Commit(document.revision + 1, self.ballot.token, change, document.digest_after(change)),
            asked,
        )

    def _propose(self, now: float, commit: Commit | None, asked: Asked | None, refusal: str = "") -> None:
        accept = Accept(self.ballot, self.voter.document.revision + 1, commit)
        self.proposal, self.again_at = Proposal(accept, asked, refusal), now
        self._ask(now)

    # Time

    def _ask(self, now: float) -> None:
        """Ask all that have not answered, or whose answer does not count."""
        if self.stage is Stage.PREPARING:
            done = current_answers({name: promise.vector for name, promise in self.promises.items()})
            message: Prepare | Accept = Prepare(self.ballot)
        elif self.proposal is not None:
            done, message = current_answers(self.proposal.votes), self.proposal.accept
        else:
            return
        self.again_at = now + self.again_s
        for name in self.voter.voters:
            if name not in done:
                self.send(name, message)

    def tick(self, now: float) -> None:
        """Ask again what was not answered."""
        if self.stage is not Stage.IDLE and now >= self.again_at:
            self._ask(now)
