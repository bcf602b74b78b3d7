"""A voter: what it has promised and accepted, the document, and its way back after its folder was lost.

No I/O: `keep` puts records into the folder. What was learnt may run ahead of the folder (others have it),
what is promised, accepted or answered never does.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from willownotch.controlplane.agreement import (
    FIRST,
    NONE,
    Accept,
    Accepted,
    Ballot,
    Committed,
    Incarnations,
    Prepare,
    Promise,
    Promised,
    Record,
    Recover,
    Recovered,
    Vector,
    Vote,
    Whole,
    apply_accept,
    current_answers,
    highest_accepted,
    majority,
    may_promise,
    merged,
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

Keep = Callable[[list[Record]], bool]  # puts records into the folder, all or none; whether it could
PIECE_MOST = 256 * 1024  # bytes of entries in one part of a snapshot
UNKEPT_MOST = 256  # records that are learnt ahead of the folder


def parts(entries: Iterable[tuple[str, bytes]], revision: int, token: int, digest: bytes) -> list[Whole]:
    """A snapshot in parts that fit a frame each."""
    made: list[dict[str, bytes]] = [{}]
    size = 0
    for key, value in entries:
        size += len(key.encode()) + len(value) + 8
        if size > PIECE_MOST:
            made.append({})
            size = len(key.encode()) + len(value) + 8
        made[-1][key] = value
    return [Whole(revision, token, digest, at == len(made) - 1, part) for at, part in enumerate(made)]


class Voter:
    """One member's own state. `restored`: the folder's records in order; `bootstrap`: an empty folder is that
    of a member that has never voted, and not a lost one."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        document: Document,
        keep: Keep,
        restored: Iterable[Record],
        bootstrap: bool,
    ) -> None:
        self.name, self.voters, self.document, self.keep = name, voters, document, keep
        self.promised: Ballot = NONE
        self.pending: Accepted | None = None
        self.vector: Vector = {}
        self.committed: list[Commit] = []  # since it was last taken away
        self.snapshots_installed = 0  # snapshots
        self.counts: Counter[str] = Counter()
        self.log_lines: list[str] = []
        self.unkept: list[Record] = []
        self.failing = False  # the folder
        records = 0
        self._parts: list[Whole] = []
        for record in restored:
            records += 1
            self._restore(record)
        if bootstrap and not records:
            self.vector = {name: FIRST}
            self.unkept.append(Incarnations(self.vector))
            self.flush()

    @property
    def voting(self) -> bool:
        """Whether it knows what it has promised."""
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
            # Parts whose last one was not written any more are followed by those of another try, if any.
            if self._parts and self._parts[0].digest != record.digest:
                self._parts = []
            self._parts.append(record)
            if record.last:
                self._replace(self._parts)
                self._parts = []
        self._forget_pending()

    def _forget_pending(self) -> None:
        if self.pending is not None and self.pending.revision <= self.document.revision:
            self.pending = None

    # The folder

    def _kept(self, records: list[Record]) -> bool:
        """Keep these and all that waits to be kept."""
        waiting = [*self.unkept, *records]
        if not waiting:
            return not self.failing
        kept = self.keep(waiting)
        if kept:
            self.unkept.clear()
        else:
            self.counts["keep failed"] += 1
        if kept == self.failing:
            self.log_lines.append(
                "the folder can be written again"
                if kept
                else "the folder cannot be written: no vote until it can"
            )
        self.failing = not kept
        return kept

    def flush(self) -> bool:
        """Keep what waits to be kept, and see whether a folder that failed still does."""
        return self._kept([Promised(self.promised)] if self.failing and not self.unkept else [])

    def records(self) -> list[Record]:
        """All that the folder needs, in fewest records; with the history of the document."""
        document = self.document
        oldest = document.oldest()
        sets, removes = document.edits_to_restore(oldest)
        gone = set(removes)
        then = {key: value for key, value in document.items() if key not in gone} | sets
        total = int.from_bytes(document.digest, "big")
        for key in (*sets, *removes):
            if (now := document.get(key)) is not None:
                total -= entry_hash(key, now)
            if (before := sets.get(key)) is not None:
                total += entry_hash(key, before)
        token = document.history[0].commit.token if document.history else document.token
        digest = (total % MODULUS).to_bytes(DIGEST_BYTES, "big")
        made: list[Record] = list(parts(then.items(), oldest, token, digest)) if oldest else []
        made += [Committed(past.commit) for past in document.history]
        made.append(Promised(self.promised))
        if self.pending is not None:
            made.append(self.pending)
        if self.vector:
            made.append(Incarnations(self.vector))
        return made

    def on_rewritten(self) -> None:
        """The folder has what `records` gave."""
        self.unkept.clear()
        self.failing = False

    def adopt(self, vector: Vector, promised: Ballot, pending: Accepted | None) -> None:
        """Vote from now on, as a new incarnation that knows this."""
        records: list[Record] = [Promised(promised), Incarnations(vector)]
        if self._kept(records if pending is None else [*records, pending]):
            self.vector, self.promised, self.pending = vector, promised, pending
            self.log_lines.append(f"votes again, as incarnation {vector[self.name]}")

    # Learning

    def learn(self, commits: Iterable[Commit]) -> None:
        """Move on by commits that are known to be committed; those that do not follow are left."""
        for commit in commits:
            if commit.revision <= self.document.revision:
                continue
            if commit.revision > self.document.revision + 1 or len(self.unkept) >= UNKEPT_MOST:
                break
            try:
                self.document.commit(commit)
            except DocumentError as fault:
                self._unsound(str(fault))
                break
            self.unkept.append(Committed(commit))
            self.committed.append(commit)
        self._forget_pending()
        self.flush()

    def install(self, snapshot: list[Whole]) -> None:
        """Move on by all parts of a snapshot of a later revision."""
        if snapshot[0].revision <= self.document.revision or len(self.unkept) >= UNKEPT_MOST:
            return
        try:
            self._replace(snapshot)
        except DocumentError as fault:
            return self._unsound(str(fault))
        self.unkept += snapshot
        self.snapshots_installed += 1
        self._forget_pending()
        self.flush()

    def _replace(self, snapshot: list[Whole]) -> None:
        entries: dict[str, bytes] = {}
        for part in snapshot:
            entries |= part.entries
        head, document = snapshot[0], self.document
        sets = {key: value for key, value in entries.items() if document.get(key) != value}
        removes = tuple(key for key, _ in document.items() if key not in entries)
        document.apply(Delta(document.revision, head.revision, head.token, sets, removes, head.digest))

    def _unsound(self, text: str) -> None:
        self.counts["unsound commit"] += 1
        self.log_lines.append(f"a commit was not taken: {text}")

    # Voting

    def prepare(self, message: Prepare) -> Promise | None:
        """Phase 1b; None: no answer."""
        if not self.voting:
            return None
        if may_promise(self.promised, message.ballot):
            if not self._kept([Promised(message.ballot)] if message.ballot != self.promised else []):
                return None
            self.promised = message.ballot
        else:
            self.counts["promise refused"] += 1
        return Promise(message.ballot, self.promised, self.document.revision, self.pending, self.vector)

    def accept(self, message: Accept) -> Vote | None:
        """Phase 2b; None: no answer."""
        if not self.voting:
            return None
        found = apply_accept(self.promised, self.pending, self.document.revision, message)
        if found is None:
            self.counts["accept refused"] += 1
        else:
            if not self._kept([found] if found != self.pending else []):
                return None
            self.promised, self.pending = message.ballot, found
        return self._vote(
            message.ballot,
            found is not None,
            message.revision,
            message.commit.change.id if message.commit is not None else b"",
        )

    def _vote(self, ballot: Ballot, accepted: bool, voted: int, change_id: bytes) -> Vote:
        return Vote(ballot, self.promised, accepted, self.document.revision, voted, change_id, self.vector)

    def overtaken(self, ballot: Ballot) -> Vote:
        """To a writer whose ballot is below what was promised."""
        return self._vote(ballot, False, 0, b"")

    # Other voters without a folder

    def recover(self, source: str, message: Recover) -> Recovered | None:
        """What a voter that lost its folder needs; its new incarnation is kept before. None: no answer."""
        if self.voting and message.incarnation > self.vector.get(source, FIRST):
            vector = self.vector | {source: message.incarnation}
            if not self._kept([Incarnations(vector)]):
                return None
            self.vector = vector
        if self.voting and 0 < message.incarnation < self.vector.get(source, FIRST):
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
    """The way back of a voter whose folder was lost: it asks the others and votes once a majority of all
    voters, itself not counted, has told it what they know. First which incarnation it is, then the rest."""

    def __init__(self, voter: Voter, uid: int) -> None:
        self.voter, self.uid, self.incarnation = voter, uid, 0
        self.answers: dict[str, Recovered] = {}
        self.without: set[str] = set()  # that have lost theirs, too

    def current_answers(self) -> set[str]:
        """Whose answers count."""
        return current_answers({name: answer.vector for name, answer in self.answers.items()})

    def asks(self) -> Iterator[tuple[str, Recover]]:
        """What to send to whom, again and again."""
        done = self.current_answers()
        for name in self.voter.voters:
            if name != self.voter.name and name not in done:
                yield name, Recover(self.uid, self.incarnation)

    def text(self) -> str:
        """How far it is, for the operators."""
        wanted, all_of_them = majority(len(self.voter.voters)), len(self.voter.voters)
        line = (
            f"no vote: the folder was empty, {len(self.current_answers())} of the {wanted} voters needed "
            "have answered"
        )
        if all_of_them - 1 - len(self.without) < wanted:
            line += (
                f"; {len(self.without) + 1} of {all_of_them} voters have lost their folder, no majority "
                "is left that remembers: bring one of these folders back"
            )
        return line

    def answered(self, source: str, answer: Recovered) -> None:
        """An answer has come."""
        if answer.uid != self.uid or answer.incarnation != self.incarnation:
            return
        if not answer.voting:
            self.without.add(source)
            return
        self.without.discard(source)
        self.answers[source] = answer

    def proceed(self) -> None:
        """Go on if enough have answered."""
        voter, done = self.voter, self.current_answers()
        if len(done) < majority(len(voter.voters)):
            return
        answers = [self.answers[name] for name in done]
        vector = merged(answer.vector for answer in answers)
        if not self.incarnation:
            self.incarnation = vector.get(voter.name, FIRST) + 1
            self.answers = {}
            return
        latest = max(answer.revision for answer in answers)
        if voter.document.revision < latest:
            return  # it is caught up with first
        voter.adopt(
            vector | {voter.name: self.incarnation},
            max(answer.promised for answer in answers),
            highest_accepted(voter.document.revision, (answer.pending for answer in answers)),
        )
