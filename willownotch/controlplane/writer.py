"""The writer: while it holds the lease, it asks for promises and proposes one change at a time. No I/O.

A writer stores nothing: whatever it began is in the voters' folders, and the next writer continues from that.
Before it proposes a change of its own, it proposes again what a majority reports under the highest ballot
(phase 1 of Paxos; Raft does not commit entries of older terms by counting replicas for the same reason).

A change is refused only once a majority has accepted, under the writer's ballot, an empty proposal for the
revision. An earlier proposal of the change that some voter may have accepted can no longer be chosen then,
and a superseded writer cannot refuse anything.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from willownotch.controlplane.agreement import (
    NO_BALLOT,
    Accept,
    Ballot,
    CrashVector,
    Outcome,
    Prepare,
    Promise,
    SubmitReply,
    Vote,
    current_answers,
    highest_accepted,
    majority,
)
from willownotch.controlplane.document import Change, Commit, DocumentError, check_change
from willownotch.controlplane.voter import Voter

ChangeCheck = Callable[..., None]  # (document, change): raises `DocumentError` if the change is invalid
MAX_REFUSALS = 1024  # refused changes whose reply is repeated for a duplicate request


class Stage(Enum):
    """The state of a writer."""

    IDLE = "idle"  # it holds no lease, or waits before its next ballot
    PREPARING = "preparing"  # waits for promises of a majority
    LEADING = "leading"


@dataclass(slots=True)
class QueuedChange:
    """A change that waits to be proposed, and the members that have submitted it."""

    change: Change
    requesters: set[str]


@dataclass(slots=True)
class Proposal:
    """The current proposal; without `queued`, it is that of an earlier writer, proposed again."""

    accept: Accept
    queued: QueuedChange | None
    refusal: str = ""
    votes: dict[str, CrashVector] = field(default_factory=dict)

    @property
    def change_id(self) -> bytes:
        """The id of its change; empty if it has none."""
        return self.accept.commit.change.id if self.accept.commit is not None else b""


class Writer:
    """One member as a writer. `send(name, message)` sends to another member or to its own voter."""

    def __init__(
        self,
        voter: Voter,
        uid: int,
        check: ChangeCheck,
        max_queued: int,
        retry_s: float,
        random: Random,
        send: Callable[[str, object], None],
    ) -> None:
        self.voter, self.uid, self.check, self.max_queued = voter, uid, check, max_queued
        self.retry_s, self.random, self.send = retry_s, random, send
        self.stage = Stage.IDLE
        self.token: int | None = None  # of the lease
        self.ballot = NO_BALLOT
        self.highest = 0  # highest ballot token that it used or heard of
        self.promises: dict[str, Promise] = {}
        self.proposal: Proposal | None = None
        self.queue: deque[QueuedChange] = deque()
        self.refusals: dict[bytes, SubmitReply] = {}
        self.prepare_at = self.retry_at = 0.0
        self.failed_ballots = 0
        self.counts = voter.counts

    # The lease

    def lead(self, now: float, token: int | None) -> None:
        """Update the lease: its token, or None if this member does not hold it."""
        if token is None and self.token is not None:
            self._stand_down()
        elif token is not None and token != self.token:
            self._stand_down()
            self.prepare_at, self.failed_ballots = now, 0
        self.token = token
        if token is not None and self.stage is Stage.IDLE and now >= self.prepare_at:
            self._start_ballot(now)

    def _start_ballot(self, now: float) -> None:
        # The ballot exceeds both the lease's token and all known promises, as tokens may restart when folders
        # are lost and promises do not. A ballot is never reused, as it may already have a proposal.
        known = max(self.voter.promised.token, self.voter.document.token, self.highest)
        self.highest = max(self.token or 0, known + 1 if known >= (self.token or 0) else 0)
        self.ballot, self.stage = Ballot(self.highest, self.uid), Stage.PREPARING
        self.retry_at = now
        self.counts["ballots begun"] += 1

    def _stand_down(self) -> None:
        """Stop writing. Members submit their changes to the next writer, which determines the outcomes."""
        self.stage, self.proposal = Stage.IDLE, None
        self.promises.clear()
        self.queue.clear()
        self.refusals.clear()

    def on_higher_ballot(self, now: float, promised: Ballot) -> None:
        """Stand down, as a voter has promised a higher ballot.

        If the lease is still held, a ballot above that one follows after a random, exponential delay, so that
        two writers do not keep displacing each other.
        """
        self.highest = max(self.highest, promised.token)
        if self.stage is Stage.IDLE:
            return
        self.counts["overtaken"] += 1
        self._stand_down()
        self.failed_ballots += 1
        self.prepare_at = now + self.retry_s * 2 ** min(self.failed_ballots, 5) * self.random.uniform(
            0.2, 1.0
        )

    # Replies of voters

    def on_promise(self, now: float, source: str, message: Promise) -> None:
        """Handle a reply of phase 1b."""
        if self.stage is Stage.IDLE or message.ballot != self.ballot:
            return
        if message.promised != self.ballot:
            self.on_higher_ballot(now, message.promised)
        elif self.stage is Stage.PREPARING:
            self.promises[source] = message

    def on_vote(self, now: float, source: str, message: Vote) -> None:
        """Handle a reply of phase 2b."""
        if self.stage is Stage.IDLE or message.ballot != self.ballot:
            return
        proposal = self.proposal
        if message.promised > self.ballot:
            self.on_higher_ballot(now, message.promised)
        elif (
            message.accepted
            and proposal is not None
            and message.voted_revision == proposal.accept.revision
            and message.change_id == proposal.change_id
        ):
            proposal.votes[source] = message.vector

    # Changes

    def on_submit(self, source: str, ballot: Ballot, change: Change) -> SubmitReply | None:
        """Handle a submitted change; returns the reply if the outcome is known at once."""
        if self.stage is not Stage.LEADING or ballot != self.ballot:
            return None
        if change.id in self.refusals:
            return self.refusals[change.id]
        waiting = list(self.queue)
        if self.proposal is not None and self.proposal.queued is not None:
            waiting.append(self.proposal.queued)
        for queued in waiting:
            if queued.change.id == change.id:
                queued.requesters.add(source)
                return None
        if len(self.queue) >= self.max_queued:
            self.counts["queue full"] += 1
            return SubmitReply(
                self.ballot,
                change.id,
                Outcome.UNKNOWN,
                0,
                f"{len(self.queue)} changes already wait at the writer: nothing was done, try again",
            )
        self.queue.append(QueuedChange(change, {source}))
        return None

    def _answer(self, queued: QueuedChange, outcome: Outcome, revision: int, text: str) -> None:
        answer = SubmitReply(self.ballot, queued.change.id, outcome, revision, text)
        if outcome is Outcome.REFUSED:
            self.refusals[queued.change.id] = answer
            while len(self.refusals) > MAX_REFUSALS:
                del self.refusals[next(iter(self.refusals))]
        for source in sorted(queued.requesters):
            self.send(source, answer)

    def advance(self, now: float) -> None:
        """Make all progress that needs no further message."""
        document = self.voter.document
        if self.stage is Stage.PREPARING:
            names = current_answers({name: promise.vector for name, promise in self.promises.items()})
            if len(names) < majority(len(self.voter.voters)):
                return
            promises = [self.promises[name] for name in names]
            latest = max(promise.revision for promise in promises)
            if document.revision < latest:
                return  # `CatchUp` gets the missing revisions first
            self.stage, self.failed_ballots = Stage.LEADING, 0
            found = highest_accepted(document.revision, (promise.pending for promise in promises))
            self.promises.clear()
            if found is not None and found.commit is not None:
                self.counts["committed again"] += 1
                self._propose(now, found.commit, None)
        while self.stage is Stage.LEADING:
            if self.proposal is not None:
                if not self._is_settled(self.proposal):
                    break
            elif self.queue:
                self._handle_change(now, self.queue.popleft())
            else:
                break

    def _is_settled(self, proposal: Proposal) -> bool:
        """Finish the proposal if it can be finished; returns whether it was."""
        accept, document = proposal.accept, self.voter.document
        if accept.revision <= document.revision:
            # The revision came from another member: it is this proposal, or another writer's.
            self.proposal = None
            if proposal.queued is not None:
                self.queue.appendleft(proposal.queued)
            return True
        if len(current_answers(proposal.votes)) < majority(len(self.voter.voters)):
            return False
        if accept.commit is None:
            self.proposal = None
            if proposal.queued is not None:
                self._answer(proposal.queued, Outcome.REFUSED, 0, proposal.refusal)
            return True
        self.voter.apply_commits([accept.commit])
        return document.revision >= accept.revision

    def _handle_change(self, now: float, queued: QueuedChange) -> None:
        document, change = self.voter.document, queued.change
        if (revision := document.committed_revision(change.id)) is not None:
            return self._answer(queued, Outcome.COMMITTED, revision, "")
        if change.base > document.revision or change.base < document.oldest():
            # It may be committed already: the ids of commits older than the history are not stored.
            return self._answer(
                queued,
                Outcome.UNKNOWN,
                0,
                (
                    f"it is based on revision {change.base}, known are {document.oldest()} to "
                    f"{document.revision}: check the latest one, and submit what is missing as a new change"
                ),
            )
        if (conflicting := document.conflict(change)) is not None:
            key = min(change.touched_keys() & conflicting.change.touched_keys())
            return self._answer(
                queued,
                Outcome.LOST,
                conflicting.revision,
                (
                    f"revision {conflicting.revision} by {conflicting.change.author} has changed {key!r} "
                    f"since revision {change.base}"
                ),
            )
        try:
            check_change(change)
            self.check(document, change)
        except DocumentError as error:
            return self._propose(now, None, queued, str(error))
        if document.token > self.ballot.token:
            # A later writer has committed: a proposal under this ballot would have a lower token.
            return self.on_higher_ballot(now, Ballot(document.token, 0))
        self._propose(
            now,
            Commit(document.revision + 1, self.ballot.token, change, document.digest_after(change)),
            queued,
        )

    def _propose(
        self, now: float, commit: Commit | None, queued: QueuedChange | None, refusal: str = ""
    ) -> None:
        accept = Accept(self.ballot, self.voter.document.revision + 1, commit)
        self.proposal, self.retry_at = Proposal(accept, queued, refusal), now
        self._send_requests(now)

    # Retries

    def _send_requests(self, now: float) -> None:
        """Send the current request to all voters without a counted reply."""
        if self.stage is Stage.PREPARING:
            answered = current_answers({name: promise.vector for name, promise in self.promises.items()})
            message: Prepare | Accept = Prepare(self.ballot)
        elif self.proposal is not None:
            answered, message = current_answers(self.proposal.votes), self.proposal.accept
        else:
            return
        self.retry_at = now + self.retry_s
        for name in self.voter.voters:
            if name not in answered:
                self.send(name, message)

    def tick(self, now: float) -> None:
        """Repeat requests that were not answered in time."""
        if self.stage is not Stage.IDLE and now >= self.retry_at:
            self._send_requests(now)
