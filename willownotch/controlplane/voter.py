"""A voter: its promises, what it accepted, the document, and its recovery after its folder was lost.

No I/O: the function `persist` writes records to the folder. Commits may be applied before they are stored, as
other voters have them; promises, accepted proposals and replies never precede their records in the folder.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from willownotch.controlplane.agreement import (
    FIRST_INCARNATION,
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Committed,
    CrashVector,
    Incarnations,
    Prepare,
    Promise,
    Promised,
    Record,
    Recover,
    Recovered,
    SnapshotPart,
    Vote,
    apply_accept,
    current_answers,
    highest_accepted,
    majority,
    may_promise,
    merge_vectors,
)
from willownotch.controlplane.document import (
    DIGEST_BYTES,
    MODULUS,
    Commit,
    Delta,
    Document,
    DocumentError,
    entry_hash,
)

Persist = Callable[[list[Record]], bool]  # stores all of the records or none; returns whether it did
MAX_SNAPSHOT_PART_BYTES = 256 * 1024  # of keys and values, so that a part fits in a frame
MAX_UNPERSISTED = 256  # records of applied commits that are not stored yet


def snapshot_parts(
    entries: Iterable[tuple[str, bytes]], revision: int, token: int, digest: bytes
) -> list[SnapshotPart]:
    """Split a snapshot into parts that fit in a frame each."""
    parts: list[dict[str, bytes]] = [{}]
    size = 0
    for key, value in entries:
        size += len(key.encode()) + len(value) + 8
        if size > MAX_SNAPSHOT_PART_BYTES:
            parts.append({})
            size = len(key.encode()) + len(value) + 8
        parts[-1][key] = value
    return [
        SnapshotPart(revision, token, digest, index == len(parts) - 1, part)
        for index, part in enumerate(parts)
    ]


class Voter:
    """One member's state as a voter.

    `restored` are the folder's records in order. With `bootstrap`, an empty folder is that of a member that
    has never voted; without it, the folder counts as lost.
    """

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        document: Document,
        persist: Persist,
        restored: Iterable[Record],
        bootstrap: bool,
    ) -> None:
        self.name, self.voters, self.document, self.persist = name, voters, document, persist
        self.promised: Ballot = NO_BALLOT
        self.pending: Accepted | None = None
        self.vector: CrashVector = {}
        self.committed: list[Commit] = []  # drained by the caller
        self.snapshots_installed = 0
        self.counts: Counter[str] = Counter()
        self.log_lines: list[str] = []
        self.unpersisted: list[Record] = []
        self.persist_failing = False
        restored_count = 0
        self._parts: list[SnapshotPart] = []
        for record in restored:
            restored_count += 1
            self._restore(record)
        if bootstrap and not restored_count:
            self.vector = {name: FIRST_INCARNATION}
            self.unpersisted.append(Incarnations(self.vector))
            self.flush()

    @property
    def voting(self) -> bool:
        """Whether it may vote, which it may if it knows what it has promised."""
        return self.name in self.vector

    def _restore(self, record: Record) -> None:
        if isinstance(record, Promised):
            self.promised = max(self.promised, record.ballot)
        elif isinstance(record, Accepted):
            self.promised, self.pending = max(self.promised, record.ballot), record
        elif isinstance(record, Committed):
            self.document.commit(record.commit)
        elif isinstance(record, Incarnations):
            self.vector = record.vector
        else:
            # An incomplete series of parts may precede the series of another snapshot.
            if self._parts and self._parts[0].digest != record.digest:
                self._parts = []
            self._parts.append(record)
            if record.last:
                self._apply_snapshot(self._parts)
                self._parts = []
        self._forget_pending()

    def _forget_pending(self) -> None:
        if self.pending is not None and self.pending.revision <= self.document.revision:
            self.pending = None

    # Storage

    def _persist(self, records: list[Record]) -> bool:
        """Store these records and all that are still unstored; returns whether it succeeded."""
        unstored = [*self.unpersisted, *records]
        if not unstored:
            return not self.persist_failing
        stored = self.persist(unstored)
        if stored:
            self.unpersisted.clear()
        else:
            self.counts["keep failed"] += 1
        if stored == self.persist_failing:
            self.log_lines.append(
                "the folder can be written again"
                if stored
                else "the folder cannot be written: no vote until it can"
            )
        self.persist_failing = not stored
        return stored

    def flush(self) -> bool:
        """Store unstored records, or test whether a folder that failed can be written again."""
        return self._persist(
            [Promised(self.promised)] if self.persist_failing and not self.unpersisted else []
        )

    def records(self) -> list[Record]:
        """The fewest records that restore this voter, with the history of the document."""
        document = self.document
        oldest = document.oldest()
        sets, removes = document.edits_to_restore(oldest)
        removed = set(removes)
        oldest_entries = {key: value for key, value in document.items() if key not in removed} | sets
        total = int.from_bytes(document.digest, "big")
        for key in (*sets, *removes):
            if (now := document.get(key)) is not None:
                total -= entry_hash(key, now)
            if (before := sets.get(key)) is not None:
                total += entry_hash(key, before)
        token = document.history[0].commit.token if document.history else document.token
        digest = (total % MODULUS).to_bytes(DIGEST_BYTES, "big")
        records: list[Record] = (
            list(snapshot_parts(oldest_entries.items(), oldest, token, digest)) if oldest else []
        )
        records += [Committed(entry.commit) for entry in document.history]
        records.append(Promised(self.promised))
        if self.pending is not None:
            records.append(self.pending)
        if self.vector:
            records.append(Incarnations(self.vector))
        return records

    def on_rewritten(self) -> None:
        """The folder was rewritten with the result of `records`."""
        self.unpersisted.clear()
        self.persist_failing = False

    def resume_voting(self, vector: CrashVector, promised: Ballot, pending: Accepted | None) -> None:
        """Vote from now on, as a new incarnation with this state, if it can be stored."""
        records: list[Record] = [Promised(promised), Incarnations(vector)]
        if self._persist(records if pending is None else [*records, pending]):
            self.vector, self.promised, self.pending = vector, promised, pending
            self.log_lines.append(f"votes again, as incarnation {vector[self.name]}")

    # Applying commits

    def apply_commits(self, commits: Iterable[Commit]) -> None:
        """Apply commits that are known to be chosen, as far as they continue the document without a gap."""
        for commit in commits:
            if commit.revision <= self.document.revision:
                continue
            if commit.revision > self.document.revision + 1 or len(self.unpersisted) >= MAX_UNPERSISTED:
                break
            try:
                self.document.commit(commit)
            except DocumentError as error:
                self._reject_commit(str(error))
                break
            self.unpersisted.append(Committed(commit))
            self.committed.append(commit)
        self._forget_pending()
        self.flush()

    def install_snapshot(self, snapshot: list[SnapshotPart]) -> None:
        """Replace the document by a complete snapshot, if it is of a later revision."""
        if snapshot[0].revision <= self.document.revision or len(self.unpersisted) >= MAX_UNPERSISTED:
            return
        try:
            self._apply_snapshot(snapshot)
        except DocumentError as error:
            return self._reject_commit(str(error))
        self.unpersisted += snapshot
        self.snapshots_installed += 1
        self._forget_pending()
        self.flush()

    def _apply_snapshot(self, snapshot: list[SnapshotPart]) -> None:
        entries: dict[str, bytes] = {}
        for part in snapshot:
            entries |= part.entries
        head, document = snapshot[0], self.document
        sets = {key: value for key, value in entries.items() if document.get(key) != value}
        removes = tuple(key for key, _ in document.items() if key not in entries)
        document.apply(Delta(document.revision, head.revision, head.token, sets, removes, head.digest))

    def _reject_commit(self, text: str) -> None:
        self.counts["unsound commit"] += 1
        self.log_lines.append(f"a commit was not applied: {text}")

    # Voting

    def prepare(self, message: Prepare) -> Promise | None:
        """Phase 1b. Returns the reply, or None if it may not vote or cannot store the promise."""
        if not self.voting:
            return None
        if may_promise(self.promised, message.ballot):
            if not self._persist([Promised(message.ballot)] if message.ballot != self.promised else []):
                return None
            self.promised = message.ballot
        else:
            self.counts["promise refused"] += 1
        return Promise(message.ballot, self.promised, self.document.revision, self.pending, self.vector)

    def accept(self, message: Accept) -> Vote | None:
        """Phase 2b. Returns the reply, or None if it may not vote or cannot store what it accepted."""
        if not self.voting:
            return None
        accepted = apply_accept(self.promised, self.pending, self.document.revision, message)
        if accepted is None:
            self.counts["accept refused"] += 1
        else:
            if not self._persist([accepted] if accepted != self.pending else []):
                return None
            self.promised, self.pending = message.ballot, accepted
        return self._vote(
            message.ballot,
            accepted is not None,
            message.revision,
            message.commit.change.id if message.commit is not None else b"",
        )

    def _vote(self, ballot: Ballot, accepted: bool, voted_revision: int, change_id: bytes) -> Vote:
        return Vote(
            ballot, self.promised, accepted, self.document.revision, voted_revision, change_id, self.vector
        )

    def reject_ballot(self, ballot: Ballot) -> Vote:
        """The reply to a writer whose ballot is below the promised one."""
        return self._vote(ballot, False, 0, b"")

    # Recovery of other voters

    def on_recover(self, source: str, message: Recover) -> Recovered | None:
        """The state for a voter that lost its folder, whose new incarnation is stored first.

        None if it cannot be stored, or if the request comes from an incarnation that was replaced.
        """
        if self.voting and message.incarnation > self.vector.get(source, FIRST_INCARNATION):
            vector = self.vector | {source: message.incarnation}
            if not self._persist([Incarnations(vector)]):
                return None
            self.vector = vector
        if self.voting and 0 < message.incarnation < self.vector.get(source, FIRST_INCARNATION):
            return None
        if not self.flush():
            return None
        return Recovered(
            message.uid,
            message.incarnation,
            self.voting,
            self.promised,
            self.document.revision,
            self.pending,
            self.vector,
        )


class Recovery:
    """Recovers a voter whose folder was lost.

    It asks the other voters in two rounds, each of which takes replies from a majority of all voters without
    itself. The first gives it a new incarnation. In the second, the others store that incarnation and send
    their state, with which it votes again.
    """

    def __init__(self, voter: Voter, uid: int) -> None:
        self.voter, self.uid, self.incarnation = voter, uid, 0
        self.answers: dict[str, Recovered] = {}
        self.voters_without_folder: set[str] = set()  # other voters that lost theirs, too

    def current_answers(self) -> set[str]:
        """The names of voters whose answers count."""
        return current_answers({name: answer.vector for name, answer in self.answers.items()})

    def requests(self) -> Iterator[tuple[str, Recover]]:
        """The requests to send now, with the names of their voters; repeated until these answer."""
        answered = self.current_answers()
        for name in self.voter.voters:
            if name != self.voter.name and name not in answered:
                yield name, Recover(self.uid, self.incarnation)

    def status(self) -> str:
        """The progress of the recovery as a line of text, for operators."""
        needed, total = majority(len(self.voter.voters)), len(self.voter.voters)
        line = (
            f"no vote: the folder was empty, {len(self.current_answers())} of the {needed} voters needed "
            "have answered"
        )
        if total - 1 - len(self.voters_without_folder) < needed:
            line += (
                f"; {len(self.voters_without_folder) + 1} of {total} voters have lost their folder, no "
                "majority is left that knows what was committed: restore one of these folders"
            )
        return line

    def on_reply(self, source: str, answer: Recovered) -> None:
        """Handle a reply of another voter."""
        if answer.uid != self.uid or answer.incarnation != self.incarnation:
            return
        if not answer.voting:
            self.voters_without_folder.add(source)
            return
        self.voters_without_folder.discard(source)
        self.answers[source] = answer

    def advance(self) -> None:
        """Finish the current round if enough voters have answered."""
        voter, answered = self.voter, self.current_answers()
        if len(answered) < majority(len(voter.voters)):
            return
        answers = [self.answers[name] for name in answered]
        vector = merge_vectors(answer.vector for answer in answers)
        if not self.incarnation:
            self.incarnation = vector.get(voter.name, FIRST_INCARNATION) + 1
            self.answers = {}
            return
        latest = max(answer.revision for answer in answers)
        if voter.document.revision < latest:
            return  # `CatchUp` gets the missing revisions first
        voter.resume_voting(
            vector | {voter.name: self.incarnation},
            max(answer.promised for answer in answers),
            highest_accepted(voter.document.revision, (answer.pending for answer in answers)),
        )
