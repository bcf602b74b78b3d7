"""Agreement among the members: one sequence of revisions, each accepted by a majority of the voters.

The lease `config` makes it likely that exactly one member is the writer; agreement stays safe if several
members believe that they hold it. `agreement` has the rules, `voter` the state that a member stores, `writer`
how changes are proposed, and `catchup` how members get commits that they lack. `AgreementCore` joins these:
it takes messages and times, and returns messages, results and commits. It has no I/O, no clock and no
threads; its random numbers and the function that writes to the folder are passed in.

Why not a library: a Raft library was measured for leases (`benchmarks/results/lease-raft.md`); see
`docs/control-plane.md`.

An author submits a change under an id and gets one outcome. All are final but `UNKNOWN`, after which the
author submits the same change under the same id again, at any member. It must not submit one id twice at a
time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

import msgspec

from willownotch.controlplane.agreement import (
    NO_BALLOT,
    Accept,
    Ballot,
    CatchUpRequest,
    CommitBatch,
    Heartbeat,
    Message,
    Outcome,
    Prepare,
    Promise,
    Record,
    Recover,
    Recovered,
    SnapshotReply,
    Submit,
    SubmitReply,
    Vote,
)
from willownotch.controlplane.catchup import CatchUp
from willownotch.controlplane.document import Change, Commit, Document
from willownotch.controlplane.voter import Persist, Recovery, Voter
from willownotch.controlplane.writer import ChangeCheck, Stage, Writer

__all__ = [
    "AgreementTiming",
    "AgreementView",
    "AgreementCore",
    "Persist",
    "Message",
    "Outcome",
    "Record",
    "Result",
    "Send",
    "Stage",
]


class Result(msgspec.Struct, frozen=True):
    """The outcome of a change submitted here. `revision` is its own, or that of the commit it lost to."""

    id: bytes
    outcome: Outcome
    revision: int
    text: str


@dataclass(frozen=True, slots=True)
class Send:
    """A message to another member, by that member's name."""

    name: str
    message: Message


@dataclass(frozen=True, slots=True)
class AgreementTiming:
    """Timing and queue limits of the agreement."""

    retry_s: float = 0.3  # between retries of requests that were not answered
    heartbeat_s: float = 1.0  # between heartbeats of the writer
    patience: float = 10.0  # seconds to wait for an outcome, which is unknown after that
    max_queued: int = 64  # changes that wait at the writer
    max_submissions: int = 64  # changes submitted at this member without an outcome yet
    status_interval_s: float = 10.0  # between log lines of a voter that cannot vote


class AgreementView(msgspec.Struct, frozen=True):
    """The state of the agreement at this member, for operators."""

    name: str
    voting: bool
    why: str  # why it does not vote; empty if it does
    stage: str  # of this member as a writer
    writer: str  # as last heard of; empty if none is known
    ballot: Ballot  # the writer's
    promised: Ballot
    pending: int  # revision of what is accepted and not known to be committed, or 0
    revision: int
    token: int
    behind: int  # number of revisions that this member is known to lack
    incarnations: dict[str, int]
    waiting: int  # changes queued or proposed at this member as the writer
    asking: int  # changes submitted here without an outcome yet
    folder_failing: bool
    counts: dict[str, int]


@dataclass(slots=True)
class Submission:
    """A change that was submitted at this member and has no outcome yet."""

    change: Change
    expires_at: float
    ballot: Ballot = NO_BALLOT  # of the writer that it was last sent to
    resubmit_at: float = -1e9


class AgreementCore:
    """One member's part in the agreement: voter, learner, and writer while it holds the lease.

    `document` is empty; the constructor applies `restored`, the folder's records in order, and raises
    `DocumentError` if they do not form a document. `persist` stores records before any reply depends on
    them. `bootstrap` is set only when all members start for the first time: without it, an empty folder
    counts as a lost one. `uid` is random and unique to this process. The caller drains `results`,
    `committed` and `log_lines`, and watches `snapshots_installed`: a snapshot advances the document without
    adding to `committed`.
    """

    def __init__(
        self,
        name: str,
        uid: int,
        voters: tuple[str, ...],
        document: Document,
        persist: Persist,
        now: float,
        random: Random,
        timing: AgreementTiming | None = None,
        check: ChangeCheck = lambda document, change: None,
        restored: Iterable[Record] = (),
        bootstrap: bool = False,
    ) -> None:
        if name not in voters:
            raise ValueError(f"{name!r} is not one of the voters: {', '.join(voters)}")
        self.name, self.voters, self.document = name, voters, document
        self.pace = timing or AgreementTiming()
        self.voter = Voter(name, voters, document, persist, restored, bootstrap)
        self.writer = Writer(
            self.voter, uid, check, self.pace.max_queued, self.pace.retry_s, random, self._send
        )
        self.catchup = CatchUp(self.voter, self._send)
        self.recovery = None if self.voter.voting else Recovery(self.voter, uid)
        self.results: list[Result] = []
        self.committed: list[Commit] = []
        self.counts, self.log_lines = self.voter.counts, self.voter.log_lines
        self.leader, self.leader_ballot = "", NO_BALLOT  # of the writer that was last heard of
        self.submissions: dict[bytes, Submission] = {}
        self._outbox: list[Send] = []
        self._to_self: deque[Message] = deque()  # messages to this member
        self._heartbeat_at = self._recovery_at = self._due = now
        self._status_at = now + self.pace.retry_s
        self._announced_ballot = NO_BALLOT
        self._differing_revision = -1  # the last revision at which another member's digest differed
        self._handlers: dict[type, Callable[[float, str, Message], None]] = {
            Prepare: self._on_prepare,
            Promise: self._on_promise,
            Accept: self._on_accept,
            Vote: self._on_vote,
            Heartbeat: self._on_heartbeat,
            CatchUpRequest: self.catchup.on_request,
            CommitBatch: self.catchup.on_commits,
            SnapshotReply: self.catchup.on_snapshot_reply,
            Submit: self._on_submit,
            SubmitReply: self._on_submit_reply,
            Recover: self._on_recover,
            Recovered: self._on_recovered,
        }

    # Called by the member

    def due(self) -> float:
        """The time of the next tick."""
        return self._due

    def tick(self, now: float) -> list[Send]:
        """Handle timeouts and retries that are due; returns the messages to send."""
        self.voter.flush()
        self.catchup.tick(now)
        self._tick_recovery(now)
        self.writer.tick(now)
        if self.writer.stage is Stage.LEADING and now >= self._heartbeat_at:
            self._send_heartbeat(now)
        for submission in list(self.submissions.values()):
            if now >= submission.expires_at:
                self._finish(
                    submission.change.id,
                    Outcome.UNKNOWN,
                    0,
                    ("the writer did not answer" if submission.ballot != NO_BALLOT else "no writer is known")
                    + f" within {self.pace.patience:g} s: "
                    f"submit the change again by the id {submission.change.id.hex()}",
                )
            else:
                self._forward(now, submission)
        busy = (
            self.submissions
            or self.catchup.behind
            or self.recovery is not None
            or self.voter.unpersisted
            or self.writer.stage is Stage.PREPARING
            or self.writer.proposal is not None
        )
        self._due = now + min(self.pace.retry_s, self.pace.heartbeat_s) / (3 if busy else 1)
        return self._process(now)

    def receive(self, now: float, source: str, message: object) -> list[Send]:
        """Handle a message from another member; returns the messages to send."""
        if source not in self.voters:
            self.counts["from a non-voter"] += 1
            return []
        if type(message) not in self._handlers:
            self.counts["unknown message"] += 1
            return []
        self._handlers[type(message)](now, source, message)
        return self._process(now)

    def lead(self, now: float, token: int | None) -> list[Send]:
        """Update the lease: `token` is the one that this member may write under, None without the lease."""
        self.writer.lead(now, token)
        self.writer.tick(now)
        return self._process(now)

    def submit(self, now: float, change: Change) -> list[Send]:
        """Submit a change, or submit it again; the outcome is added to `results`."""
        if (revision := self.document.committed_revision(change.id)) is not None:
            self._finish(change.id, Outcome.COMMITTED, revision, "")
        elif len(self.submissions) >= self.pace.max_submissions and change.id not in self.submissions:
            self._finish(
                change.id,
                Outcome.UNKNOWN,
                0,
                f"{len(self.submissions)} changes already wait at this member: nothing was done, try again",
            )
        else:
            submission = self.submissions.setdefault(change.id, Submission(change, 0.0))
            submission.expires_at = now + self.pace.patience
            self._forward(now, submission)
        return self._process(now)

    @property
    def snapshots_installed(self) -> int:
        """The number of snapshots that were installed so far."""
        return self.voter.snapshots_installed

    def records(self) -> list[Record]:
        """All records that the folder needs, for a rewrite; call `on_rewritten` once they are stored."""
        return self.voter.records()

    def on_rewritten(self) -> None:
        """The folder was rewritten with the result of `records`."""
        self.voter.on_rewritten()

    def view(self) -> AgreementView:
        """The state to show to operators."""
        voter, writer = self.voter, self.writer
        return AgreementView(
            self.name,
            voter.voting,
            self.recovery.status() if self.recovery is not None else "",
            writer.stage.value,
            self.leader,
            self.leader_ballot,
            voter.promised,
            voter.pending.revision if voter.pending is not None else 0,
            self.document.revision,
            self.document.token,
            max(0, self.catchup.latest_known - self.document.revision),
            dict(voter.vector),
            len(writer.queue) + (writer.proposal is not None),
            len(self.submissions),
            voter.persist_failing,
            dict(self.counts),
        )

    # Internals

    def _send(self, name: str, message: Message) -> None:
        if name == self.name:
            self._to_self.append(message)
        else:
            self._outbox.append(Send(name, message))

    def _reply(self, name: str, message: Message | None) -> None:
        if message is not None:
            self._send(name, message)

    def _process(self, now: float) -> list[Send]:
        """Process messages to this member until none are left; returns the messages to send to others."""
        while True:
            if self.recovery is not None:
                self._advance_recovery(now)
            self.writer.advance(now)
            if self.writer.stage is Stage.LEADING and self._announced_ballot != self.writer.ballot:
                self._send_heartbeat(now)
            if self.voter.committed:
                self._publish_commits(now)
            elif self._to_self:
                message = self._to_self.popleft()
                self._handlers[type(message)](now, self.name, message)
            else:
                break
        sent, self._outbox = self._outbox, []
        return sent

    def _publish_commits(self, now: float) -> None:
        commits, self.voter.committed = self.voter.committed, []
        self.committed += commits
        for commit in commits:
            if commit.change.id in self.submissions:
                self._finish(commit.change.id, Outcome.COMMITTED, commit.revision, "")
            if self.writer.stage is Stage.LEADING:
                for name in self.voters:
                    if name != self.name:
                        self._send(name, CommitBatch(self.document.revision, (commit,)))

    def _send_heartbeat(self, now: float) -> None:
        self._announced_ballot, self._heartbeat_at = self.writer.ballot, now + self.pace.heartbeat_s
        for name in self.voters:
            self._send(name, Heartbeat(self.writer.ballot, self.document.revision, self.document.digest))

    def _forward(self, now: float, submission: Submission) -> None:
        """Send a change to the writer: at once to a new one, again if it has not answered."""
        if self.leader and (submission.ballot != self.leader_ballot or now >= submission.resubmit_at):
            submission.ballot, submission.resubmit_at = self.leader_ballot, now + self.pace.heartbeat_s
            self._send(self.leader, Submit(self.leader_ballot, submission.change))

    def _finish(self, change_id: bytes, outcome: Outcome, revision: int, text: str) -> None:
        self.submissions.pop(change_id, None)
        self.results.append(Result(change_id, outcome, revision, text))

    def _tick_recovery(self, now: float) -> None:
        if self.recovery is None:
            return
        if now >= self._recovery_at:
            self._recovery_at = now + self.pace.retry_s
            self._outbox += [Send(name, message) for name, message in self.recovery.requests()]
        if now >= self._status_at:
            self._status_at = now + self.pace.status_interval_s
            self.log_lines.append(self.recovery.status())

    def _advance_recovery(self, now: float) -> None:
        before = self.recovery.incarnation
        self.recovery.advance()
        if self.voter.voting:
            self.recovery = None
        elif self.recovery.incarnation != before:
            self._recovery_at = now

    # Message handlers

    def _on_prepare(self, now: float, source: str, message: Prepare) -> None:
        self._reply(source, self.voter.prepare(message))

    def _on_promise(self, now: float, source: str, message: Promise) -> None:
        self.catchup.note_revision(now, source, message.revision)
        self.writer.on_promise(now, source, message)

    def _on_accept(self, now: float, source: str, message: Accept) -> None:
        self.catchup.note_revision(now, source, message.revision - 1)
        self._reply(source, self.voter.accept(message))

    def _on_vote(self, now: float, source: str, message: Vote) -> None:
        self.catchup.note_revision(now, source, message.revision)
        self.writer.on_vote(now, source, message)

    def _on_heartbeat(self, now: float, source: str, message: Heartbeat) -> None:
        if self.voter.voting and message.ballot < self.voter.promised:
            self._send(source, self.voter.reject_ballot(message.ballot))
        elif message.ballot >= self.leader_ballot:
            self.leader, self.leader_ballot = source, message.ballot
            for submission in list(self.submissions.values()):
                self._forward(now, submission)
        self.catchup.note_revision(now, source, message.revision)
        if (
            message.revision == self.document.revision != self._differing_revision
            and message.digest != self.document.digest
        ):
            self._differing_revision = message.revision
            self.counts["digest differs"] += 1
            self.log_lines.append(f"revision {message.revision} has a different digest at {source}")

    def _on_submit(self, now: float, source: str, message: Submit) -> None:
        self._reply(source, self.writer.on_submit(source, message.ballot, message.change))

    def _on_submit_reply(self, now: float, source: str, message: SubmitReply) -> None:
        submission = self.submissions.get(message.change_id)
        # A refusal by a superseded writer is not final if the change was sent to a later writer.
        if submission is not None and (
            message.ballot >= submission.ballot or message.outcome in (Outcome.COMMITTED, Outcome.LOST)
        ):
            self._finish(message.change_id, message.outcome, message.revision, message.text)

    def _on_recover(self, now: float, source: str, message: Recover) -> None:
        self._reply(source, self.voter.on_recover(source, message))

    def _on_recovered(self, now: float, source: str, message: Recovered) -> None:
        if self.recovery is not None:
            self.catchup.note_revision(now, source, message.revision)
            self.recovery.on_reply(source, message)
