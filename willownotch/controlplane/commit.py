"""Agreement among the members: one sequence of revisions, each accepted by a majority of the voters.

One member is the writer, likely one by the lease `config`, and safe whatever the lease does: see `agreement`
for the rules, `voter` for what a member keeps, `writer` for how changes are proposed, `catchup` for members
that lack commits. Here these are one core: messages and times in, messages, results and commits out. No I/O,
no clock, no threads; random numbers and the folder are handed in.

Why not a library: a Raft library was measured for leases (`benchmarks/results/lease-raft.md`); see
`docs/control-plane.md`.

An author asks for a change by its id and gets one outcome. All are final but `UNKNOWN`, after which it asks
again, at any member, by the same id and with the same change: one asking of an id after the other.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

import msgspec

from willownotch.controlplane.agreement import (
    NONE,
    Accept,
    Answer,
    Ballot,
    Beat,
    CommitBatch,
    Message,
    Outcome,
    Piece,
    Prepare,
    Promise,
    Record,
    Recover,
    Recovered,
    Submit,
    Vote,
    Want,
)
from willownotch.controlplane.catchup import CatchUp
from willownotch.controlplane.document import Change, Commit, Document
from willownotch.controlplane.voter import Keep, Recovery, Voter
from willownotch.controlplane.writer import Check, Stage, Writer

__all__ = [
    "AgreementTiming",
    "AgreementView",
    "AgreementCore",
    "Keep",
    "Message",
    "Outcome",
    "Record",
    "Result",
    "Send",
    "Stage",
]


class Result(msgspec.Struct, frozen=True):
    """What became of a change that was asked for here. `revision`: its own, or that of what it lost to."""

    id: bytes
    outcome: Outcome
    revision: int
    text: str


@dataclass(frozen=True, slots=True)
class Send:
    """A message to another member."""

    name: str
    message: Message


@dataclass(frozen=True, slots=True)
class AgreementTiming:
    """Spans in s, and bounds."""

    again: float = 0.3  # until what was not answered is asked again
    beat: float = 1.0  # between two heartbeats of the writer
    patience: float = 10.0  # for an outcome; then it is unknown
    queue: int = 64  # changes that wait at the writer
    asks: int = 64  # that are asked for here and not answered yet
    tell: float = 10.0  # between two lines of a voter that cannot vote


class AgreementView(msgspec.Struct, frozen=True):
    """How agreement goes here, for who asks."""

    name: str
    voting: bool
    why: str  # it does not vote; else empty
    stage: str  # of this member as the writer
    writer: str  # as last heard, empty: of none
    ballot: Ballot  # the writer's
    promised: Ballot
    pending: int  # the revision of what is accepted and not known to be committed, or 0
    revision: int
    token: int
    behind: int  # revisions that others are known to have, and this member lacks
    incarnations: dict[str, int]
    waiting: int  # at this member as the writer
    asking: int  # for authors here
    folder_failing: bool
    counts: dict[str, int]


@dataclass(slots=True)
class Asking:
    """A change that an author waits for here."""

    change: Change
    until: float
    ballot: Ballot = NONE  # of the writer that was asked last
    again_at: float = -1e9


class AgreementCore:
    """One member's part in the agreement: voter, learner, and writer while it holds the lease.

    `document` is empty and is brought up to `restored`, the folder's records in order (`DocumentError` where
    they do not make a document); `keep` adds records to it before anything is answered. `bootstrap` is said
    at the first start of all members alone: without it, an empty folder is taken for one that was lost. `uid`
    is random and this process's own. The caller empties `results`, `committed` and `said`, and looks at
    `installed`: a document that was moved on by a snapshot has no commits to tell.
    """

    def __init__(
        self,
        name: str,
        uid: int,
        voters: tuple[str, ...],
        document: Document,
        keep: Keep,
        now: float,
        random: Random,
        pace: AgreementTiming | None = None,
        check: Check = lambda document, change: None,
        restored: Iterable[Record] = (),
        bootstrap: bool = False,
    ) -> None:
        if name not in voters:
            raise ValueError(f"{name!r} is not one of the voters: {', '.join(voters)}")
        self.name, self.voters, self.document = name, voters, document
        self.pace = pace or AgreementTiming()
        self.voter = Voter(name, voters, document, keep, restored, bootstrap)
        self.writer = Writer(self.voter, uid, check, self.pace.queue, self.pace.again, random, self._send)
        self.catchup = CatchUp(self.voter, self._send)
        self.recovery = None if self.voter.voting else Recovery(self.voter, uid)
        self.results: list[Result] = []
        self.committed: list[Commit] = []
        self.counts, self.log_lines = self.voter.counts, self.voter.log_lines
        self.leader, self.leader_ballot = "", NONE  # the writer, as last heard
        self.asks: dict[bytes, Asking] = {}
        self._out: list[Send] = []
        self._own: deque[Message] = deque()  # to itself
        self._beat_at = self._recover_at = self._due = now
        self._tell_at = now + self.pace.again
        self._beaten = NONE
        self._differs = -1  # revision at which another member's digest was another
        self._takes: dict[type, Callable[[float, str, Message], None]] = {
            Prepare: self._on_prepare,
            Promise: self._on_promise,
            Accept: self._on_accept,
            Vote: self._on_vote,
            Beat: self._on_beat,
            Want: self.catchup.wanted,
            CommitBatch: self.catchup.commits,
            Piece: self.catchup.piece,
            Submit: self._on_submit,
            Answer: self._on_answer,
            Recover: self._on_recover,
            Recovered: self._on_recovered,
        }

    # What the edge calls

    def due(self) -> float:
        """When the next tick is wanted."""
        return self._due

    def tick(self, now: float) -> list[Send]:
        """Let time pass."""
        self.voter.flush()
        self.catchup.tick(now)
        self._recover(now)
        self.writer.tick(now)
        if self.writer.stage is Stage.LEADING and now >= self._beat_at:
            self._beat(now)
        for asking in list(self.asks.values()):
            if now >= asking.until:
                self._result(
                    asking.change.id,
                    Outcome.UNKNOWN,
                    0,
                    ("no answer of the writer" if asking.ballot != NONE else "no writer is known")
                    + f" within {self.pace.patience:g} s: ask again by the id {asking.change.id.hex()}",
                )
            else:
                self._route(now, asking)
        busy = (
            self.asks
            or self.catchup.behind
            or self.recovery is not None
            or self.voter.unkept
            or self.writer.stage is Stage.PREPARING
            or self.writer.proposal is not None
        )
        self._due = now + min(self.pace.again, self.pace.beat) / (3 if busy else 1)
        return self._settle(now)

    def receive(self, now: float, source: str, message: object) -> list[Send]:
        """A message of another member."""
        if source not in self.voters:
            self.counts["from a non-voter"] += 1
            return []
        if type(message) not in self._takes:
            self.counts["unknown message"] += 1
            return []
        self._takes[type(message)](now, source, message)
        return self._settle(now)

    def lead(self, now: float, token: int | None) -> list[Send]:
        """What the lease says at this moment: the token that this member may write under, or None."""
        self.writer.lead(now, token)
        self.writer.tick(now)
        return self._settle(now)

    def submit(self, now: float, change: Change) -> list[Send]:
        """An author asks for a change, or asks again; the outcome comes in `results`."""
        if (revision := self.document.found(change.id)) is not None:
            self._result(change.id, Outcome.COMMITTED, revision, "")
        elif len(self.asks) >= self.pace.asks and change.id not in self.asks:
            self._result(
                change.id,
                Outcome.UNKNOWN,
                0,
                f"{len(self.asks)} changes wait here already: nothing was done, ask again",
            )
        else:
            asking = self.asks.setdefault(change.id, Asking(change, 0.0))
            asking.until = now + self.pace.patience
            self._route(now, asking)
        return self._settle(now)

    @property
    def snapshots_installed(self) -> int:
        """How many snapshots were taken in so far."""
        return self.voter.snapshots_installed

    def records(self) -> list[Record]:
        """All that a new folder needs; `rewritten` is called once it is there."""
        return self.voter.records()

    def on_rewritten(self) -> None:
        """The folder was written anew, with what `records` gave."""
        self.voter.on_rewritten()

    def view(self) -> AgreementView:
        """For who asks."""
        voter, writer = self.voter, self.writer
        return AgreementView(
            self.name,
            voter.voting,
            self.recovery.text() if self.recovery is not None else "",
            writer.stage.value,
            self.leader,
            self.leader_ballot,
            voter.promised,
            voter.pending.revision if voter.pending is not None else 0,
            self.document.revision,
            self.document.token,
            max(0, self.catchup.head - self.document.revision),
            dict(voter.vector),
            len(writer.queue) + (writer.proposal is not None),
            len(self.asks),
            voter.failing,
            dict(self.counts),
        )

    # Inside

    def _send(self, name: str, message: Message) -> None:
        if name == self.name:
            self._own.append(message)
        else:
            self._out.append(Send(name, message))

    def _reply(self, name: str, message: Message | None) -> None:
        if message is not None:
            self._send(name, message)

    def _settle(self, now: float) -> list[Send]:
        """Go on until there is nothing more to do here; what goes to the others."""
        while True:
            if self.recovery is not None:
                self._on_recovery(now)
            self.writer.proceed(now)
            if self.writer.stage is Stage.LEADING and self._beaten != self.writer.ballot:
                self._beat(now)
            if self.voter.committed:
                self._news(now)
            elif self._own:
                message = self._own.popleft()
                self._takes[type(message)](now, self.name, message)
            else:
                break
        sent, self._out = self._out, []
        return sent

    def _news(self, now: float) -> None:
        commits, self.voter.committed = self.voter.committed, []
        self.committed += commits
        for commit in commits:
            if commit.change.id in self.asks:
                self._result(commit.change.id, Outcome.COMMITTED, commit.revision, "")
            if self.writer.stage is Stage.LEADING:
                for name in self.voters:
                    if name != self.name:
                        self._send(name, CommitBatch(self.document.revision, (commit,)))

    def _beat(self, now: float) -> None:
        self._beaten, self._beat_at = self.writer.ballot, now + self.pace.beat
        for name in self.voters:
            self._send(name, Beat(self.writer.ballot, self.document.revision, self.document.digest))

    def _route(self, now: float, asking: Asking) -> None:
        """Ask the writer, again if it has not answered, and the next one at once."""
        if self.leader and (asking.ballot != self.leader_ballot or now >= asking.again_at):
            asking.ballot, asking.again_at = self.leader_ballot, now + self.pace.beat
            self._send(self.leader, Submit(self.leader_ballot, asking.change))

    def _result(self, change_id: bytes, outcome: Outcome, revision: int, text: str) -> None:
        self.asks.pop(change_id, None)
        self.results.append(Result(change_id, outcome, revision, text))

    def _recover(self, now: float) -> None:
        if self.recovery is None:
            return
        if now >= self._recover_at:
            self._recover_at = now + self.pace.again
            self._out += [Send(name, message) for name, message in self.recovery.asks()]
        if now >= self._tell_at:
            self._tell_at = now + self.pace.tell
            self.log_lines.append(self.recovery.text())

    def _on_recovery(self, now: float) -> None:
        before = self.recovery.incarnation
        self.recovery.proceed()
        if self.voter.voting:
            self.recovery = None
        elif self.recovery.incarnation != before:
            self._recover_at = now

    # Messages

    def _on_prepare(self, now: float, source: str, message: Prepare) -> None:
        self._reply(source, self.voter.prepare(message))

    def _on_promise(self, now: float, source: str, message: Promise) -> None:
        self.catchup.heard(now, source, message.revision)
        self.writer.promised(now, source, message)

    def _on_accept(self, now: float, source: str, message: Accept) -> None:
        self.catchup.heard(now, source, message.revision - 1)
        self._reply(source, self.voter.accept(message))

    def _on_vote(self, now: float, source: str, message: Vote) -> None:
        self.catchup.heard(now, source, message.revision)
        self.writer.voted(now, source, message)

    def _on_beat(self, now: float, source: str, message: Beat) -> None:
        if self.voter.voting and message.ballot < self.voter.promised:
            self._send(source, self.voter.overtaken(message.ballot))
        elif message.ballot >= self.leader_ballot:
            self.leader, self.leader_ballot = source, message.ballot
            for asking in list(self.asks.values()):
                self._route(now, asking)
        self.catchup.heard(now, source, message.revision)
        if (
            message.revision == self.document.revision != self._differs
            and message.digest != self.document.digest
        ):
            self._differs = message.revision
            self.counts["digest differs"] += 1
            self.log_lines.append(f"revision {message.revision} has another digest at {source}")

    def _on_submit(self, now: float, source: str, message: Submit) -> None:
        self._reply(source, self.writer.submitted(source, message.ballot, message.change))

    def _on_answer(self, now: float, source: str, message: Answer) -> None:
        asking = self.asks.get(message.id)
        # What an overtaken writer refuses is not final where a later one was asked.
        if asking is not None and (
            message.ballot >= asking.ballot or message.outcome in (Outcome.COMMITTED, Outcome.LOST)
        ):
            self._result(message.id, message.outcome, message.revision, message.text)

    def _on_recover(self, now: float, source: str, message: Recover) -> None:
        self._reply(source, self.voter.recover(source, message))

    def _on_recovered(self, now: float, source: str, message: Recovered) -> None:
        if self.recovery is not None:
            self.catchup.heard(now, source, message.revision)
            self.recovery.answered(source, message)
