"""How a member gets commits that it lacks, and serves those that others lack. No I/O.

Whoever hears of a later revision asks for it: commits by the batch, or where the other's history does not go
back so far, a snapshot, one part after the other. What does not come is asked for again; after some tries,
of whoever was heard to have it last.
"""

from __future__ import annotations

from collections.abc import Callable

from willownotch.controlplane.agreement import CommitBatch, Message, Piece, Want, Whole
from willownotch.controlplane.document import Commit
from willownotch.controlplane.voter import PIECE_MOST, Voter, parts

PATIENCE_S = 1.0  # for an answer
TRIES = 4  # for one part of a snapshot
SNAPSHOT_S = 30.0  # that a snapshot is kept after it was last asked for


def size_of(commit: Commit) -> int:
    """About how many bytes it takes."""
    change = commit.change
    return (
        100 + sum(len(key) + len(value) for key, value in change.sets.items()) + sum(map(len, change.removes))
    )


class CatchUp:
    """One member's part."""

    def __init__(self, voter: Voter, send: Callable[[str, Message], None]) -> None:
        self.voter, self.send = voter, send
        self.head, self.source = 0, ""  # the latest revision heard of, and who has it
        self._ask_at = -1e9
        self._got: list[Whole] = []  # parts of a snapshot
        self._from, self._tries = "", 0
        self._made: list[Whole] = []  # that is served
        self._used_at = -1e9

    @property
    def behind(self) -> bool:
        """Whether something is lacking."""
        return self.head > self.voter.document.revision

    # What is lacking here

    def heard(self, now: float, source: str, revision: int) -> None:
        """Somebody has a revision."""
        if source != self.voter.name and revision >= self.head:
            self.head, self.source = revision, source
        self.ask(now)

    def ask(self, now: float, at_once: bool = False) -> None:
        """Ask for what is lacking, if it is time."""
        if not self.behind or (now < self._ask_at and not at_once):
            return
        self._ask_at = now + PATIENCE_S
        self._tries += 1
        if self._got and self._tries <= TRIES:
            self.send(self._from, Want(self.voter.document.revision, self._got[0].revision, len(self._got)))
            return
        self._got, self._tries = [], 0
        self.send(self.source, Want(self.voter.document.revision))

    def commits(self, now: float, source: str, message: CommitBatch) -> None:
        """Commits that were asked for, or that the writer tells everybody."""
        before = self.voter.document.revision
        self.voter.learn(message.commits)
        if message.revision > self.head:
            self.head, self.source = message.revision, source
        self.ask(now, at_once=self.voter.document.revision > before)

    def piece(self, now: float, source: str, message: Piece) -> None:
        """One part of a snapshot."""
        part = message.part
        if part.revision <= self.voter.document.revision:
            return
        if message.number == 0 and not (
            self._got and source == self._from and self._got[0].digest == part.digest
        ):
            self._got, self._from = [], source
        if (
            message.number != len(self._got)
            or source != self._from
            or (self._got and self._got[0].digest != part.digest)
        ):
            return
        self._got.append(part)
        self._tries = 0
        if part.last:
            got, self._got = self._got, []
            self.voter.install(got)
        self.ask(now, at_once=True)

    # What others lack

    def wanted(self, now: float, source: str, message: Want) -> None:
        """Answer by one frame."""
        document = self.voter.document
        if message.revision and self._made and self._made[0].revision == message.revision:
            self._used_at = now
            if 0 <= message.number < len(self._made):
                self.send(source, Piece(message.number, self._made[message.number]))
        elif message.since >= document.revision:
            pass
        elif (commits := document.commits(message.since)) is not None:
            taken, size = [], 0
            for commit in commits:
                size += size_of(commit)
                if taken and size > PIECE_MOST:
                    break
                taken.append(commit)
            self.send(source, CommitBatch(document.revision, tuple(taken)))
        else:
            if not self._made or not max(document.oldest(), message.since + 1) <= self._made[0].revision:
                self._made = parts(document.items(), document.revision, document.token, document.digest)
            self._used_at = now
            self.send(source, Piece(0, self._made[0]))

    def tick(self, now: float) -> None:
        """Let time pass."""
        if self._made and now > self._used_at + SNAPSHOT_S:
            self._made = []
        self.ask(now)
