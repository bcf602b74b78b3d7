"""How a member gets commits that it lacks, and sends others the commits that they lack. No I/O.

A member that hears of a later revision asks for it. It gets batches of commits or, if the other member's
history does not reach back far enough, a snapshot, one part at a time. Requests without a reply are repeated;
after several tries for a part, the transfer starts over at the member that last reported the latest revision.
"""

from __future__ import annotations

from collections.abc import Callable

from willownotch.controlplane.agreement import (
    CatchUpRequest,
    CommitBatch,
    Message,
    SnapshotPart,
    SnapshotReply,
)
from willownotch.controlplane.document import Commit
from willownotch.controlplane.voter import MAX_SNAPSHOT_PART_BYTES, Voter, snapshot_parts

REPLY_TIMEOUT_S = 1.0
MAX_TRIES = 4  # requests for one part of a snapshot
SNAPSHOT_RETENTION_S = 30.0  # how long a snapshot to serve is kept after its last request


def approximate_size(commit: Commit) -> int:
    """The approximate size of a commit in a frame, in bytes."""
    change = commit.change
    return (
        100 + sum(len(key) + len(value) for key, value in change.sets.items()) + sum(map(len, change.removes))
    )


class CatchUp:
    """One member's exchange of missing commits with the others."""

    def __init__(self, voter: Voter, send: Callable[[str, Message], None]) -> None:
        self.voter, self.send = voter, send
        self.latest_known, self.source = 0, ""  # the latest revision heard of, and the member that has it
        self._retry_at = -1e9
        self._received_parts: list[SnapshotPart] = []  # of a snapshot being received
        self._parts_source, self._tries = "", 0
        self._served_parts: list[SnapshotPart] = []  # snapshot to serve
        self._served_at = -1e9

    @property
    def behind(self) -> bool:
        """Whether this member lacks a revision that another has."""
        return self.latest_known > self.voter.document.revision

    # Revisions that this member lacks

    def note_revision(self, now: float, source: str, revision: int) -> None:
        """Note that another member has a revision."""
        if source != self.voter.name and revision >= self.latest_known:
            self.latest_known, self.source = revision, source
        self.request(now)

    def request(self, now: float, immediately: bool = False) -> None:
        """Ask for the next missing commits or part, unless a reply is still awaited."""
        if not self.behind or (now < self._retry_at and not immediately):
            return
        self._retry_at = now + REPLY_TIMEOUT_S
        self._tries += 1
        if self._received_parts and self._tries <= MAX_TRIES:
            self.send(
                self._parts_source,
                CatchUpRequest(
                    self.voter.document.revision, self._received_parts[0].revision, len(self._received_parts)
                ),
            )
            return
        self._received_parts, self._tries = [], 0
        self.send(self.source, CatchUpRequest(self.voter.document.revision))

    def on_commits(self, now: float, source: str, message: CommitBatch) -> None:
        """Handle commits that were asked for, or that the writer sends to all members."""
        before = self.voter.document.revision
        self.voter.apply_commits(message.commits)
        if message.revision > self.latest_known:
            self.latest_known, self.source = message.revision, source
        self.request(now, immediately=self.voter.document.revision > before)

    def on_snapshot_reply(self, now: float, source: str, message: SnapshotReply) -> None:
        """Handle one part of a snapshot."""
        part = message.part
        if part.revision <= self.voter.document.revision:
            return
        if message.part_number == 0 and not (
            self._received_parts
            and source == self._parts_source
            and self._received_parts[0].digest == part.digest
        ):
            self._received_parts, self._parts_source = [], source
        if (
            message.part_number != len(self._received_parts)
            or source != self._parts_source
            or (self._received_parts and self._received_parts[0].digest != part.digest)
        ):
            return
        self._received_parts.append(part)
        self._tries = 0
        if part.last:
            parts, self._received_parts = self._received_parts, []
            self.voter.install_snapshot(parts)
        self.request(now, immediately=True)

    # Revisions that others lack

    def on_request(self, now: float, source: str, message: CatchUpRequest) -> None:
        """Reply with one batch of commits or one part of a snapshot, each in one frame."""
        document = self.voter.document
        if (
            message.snapshot_revision
            and self._served_parts
            and self._served_parts[0].revision == message.snapshot_revision
        ):
            self._served_at = now
            if 0 <= message.part_number < len(self._served_parts):
                self.send(source, SnapshotReply(message.part_number, self._served_parts[message.part_number]))
        elif message.since >= document.revision:
            pass
        elif (commits := document.commits(message.since)) is not None:
            batch, size = [], 0
            for commit in commits:
                size += approximate_size(commit)
                if batch and size > MAX_SNAPSHOT_PART_BYTES:
                    break
                batch.append(commit)
            self.send(source, CommitBatch(document.revision, tuple(batch)))
        else:
            if (
                not self._served_parts
                or not max(document.oldest(), message.since + 1) <= self._served_parts[0].revision
            ):
                self._served_parts = snapshot_parts(
                    document.items(), document.revision, document.token, document.digest
                )
            self._served_at = now
            self.send(source, SnapshotReply(0, self._served_parts[0]))

    def tick(self, now: float) -> None:
        """Discard an unused snapshot, and repeat requests without a reply."""
        if self._served_parts and now > self._served_at + SNAPSHOT_RETENTION_S:
            self._served_parts = []
        self.request(now)
