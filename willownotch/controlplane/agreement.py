"""What members say to each other to agree, what they keep, and the rules by which they vote. No I/O.

Each revision is one instance of single-decree Paxos (Lamport, "The Part-Time Parliament", 1998); a promise
holds for all revisions to come. A voter that lost its folder is let in again by crash vectors (Michael,
Ports, Sharma, Szekeres, "Recovering Shared Objects Without Stable Storage", DISC 2017).

`may_promise`, `decide`, `again` and `counted` are the whole of it, over plain values: voters, writers and the
model check use them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum

import msgspec

from willownotch.controlplane.document import Change, Commit

FIRST = 1  # incarnation of a voter whose folder was never lost
Vector = dict[str, int]  # crash vector: of each voter, the latest incarnation known; left out: `FIRST`


class Ballot(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One writer's attempt: at least its lease's token, and what no other process has."""

    token: int
    uid: int


NONE = Ballot(0, 0)


class Outcome(Enum):
    """What became of a change. All but `UNKNOWN` are final."""

    COMMITTED = "committed"
    LOST = "lost"  # to an earlier commit
    REFUSED = "refused"  # unsound
    UNKNOWN = "unknown"  # ask again by the same id


# Kept in the folder


class Promised(msgspec.Struct, tag=72, frozen=True, array_like=True):
    """No lower ballot is answered any more."""

    ballot: Ballot


class Accepted(msgspec.Struct, tag=73, frozen=True, array_like=True):
    """What was accepted for a revision. No commit: nothing of a lower ballot counts for this revision."""

    ballot: Ballot
    revision: int
    commit: Commit | None


class Committed(msgspec.Struct, tag=74, frozen=True, array_like=True):
    """The next revision."""

    commit: Commit


class Whole(msgspec.Struct, tag=75, frozen=True, array_like=True):
    """A part of all entries of a revision; they count once the `last` part is there."""

    revision: int
    token: int
    digest: bytes
    last: bool
    entries: dict[str, bytes]


class Incarnations(msgspec.Struct, tag=76, frozen=True, array_like=True):
    """The crash vector. It has the voter's own entry from the moment on that it votes."""

    vector: Vector


Record = Promised | Accepted | Committed | Whole | Incarnations


# Said to other members


class Prepare(msgspec.Struct, tag=60, frozen=True, array_like=True):
    """Phase 1a: promise to answer no lower ballot."""

    ballot: Ballot


class Promise(msgspec.Struct, tag=61, frozen=True, array_like=True):
    """Phase 1b. Refused where `promised` is another ballot than the one asked for."""

    ballot: Ballot
    promised: Ballot
    revision: int
    pending: Accepted | None
    vector: Vector


class Accept(msgspec.Struct, tag=62, frozen=True, array_like=True):
    """Phase 2a: accept this for a revision, or (no commit) forget what lower ballots proposed for it."""

    ballot: Ballot
    revision: int
    commit: Commit | None


class Vote(msgspec.Struct, tag=63, frozen=True, array_like=True):
    """Phase 2b. `revision` is the voter's last; `id` is of the change accepted, empty where there is none."""

    ballot: Ballot
    promised: Ballot
    accepted: bool
    revision: int
    voted: int  # the revision that was voted on
    id: bytes
    vector: Vector


class Beat(msgspec.Struct, tag=64, frozen=True, array_like=True):
    """The writer's heartbeat."""

    ballot: Ballot
    revision: int
    digest: bytes


class Want(msgspec.Struct, tag=65, frozen=True, array_like=True):
    """Send commits after `since`; or the part `number` of the snapshot of `revision`."""

    since: int
    revision: int = 0
    number: int = 0


class CommitBatch(msgspec.Struct, tag=66, frozen=True, array_like=True):
    """Some commits in order; `revision` is the sender's last."""

    revision: int
    commits: tuple[Commit, ...]


class Piece(msgspec.Struct, tag=67, frozen=True, array_like=True):
    """One part of a snapshot."""

    number: int
    part: Whole


class Submit(msgspec.Struct, tag=68, frozen=True, array_like=True):
    """To the writer: commit this under this ballot of yours."""

    ballot: Ballot
    change: Change


class Answer(msgspec.Struct, tag=69, frozen=True, array_like=True):
    """The writer's. `revision`: of the commit, or of the one that it was lost to."""

    ballot: Ballot
    id: bytes
    outcome: Outcome
    revision: int
    text: str


class Recover(msgspec.Struct, tag=70, frozen=True, array_like=True):
    """From a voter without a folder: what do you know? `incarnation`: which it is, 0 while it has none."""

    uid: int
    incarnation: int


class Recovered(msgspec.Struct, tag=71, frozen=True, array_like=True):
    """The answer. Who does not vote itself says only so."""

    uid: int
    incarnation: int
    voting: bool
    promised: Ballot
    revision: int
    pending: Accepted | None
    vector: Vector


Message = (
    Prepare
    | Promise
    | Accept
    | Vote
    | Beat
    | Want
    | CommitBatch
    | Piece
    | Submit
    | Answer
    | Recover
    | Recovered
)


# The rules


def majority(voters: int) -> int:
    """How many of all voters it takes."""
    return voters // 2 + 1


def may_promise(promised: Ballot, ballot: Ballot) -> bool:
    """Whether a voter promises a ballot."""
    return ballot >= promised


def apply_accept(
    promised: Ballot, pending: Accepted | None, revision: int, accept: Accept
) -> Accepted | None:
    """What a voter at `revision` has accepted after an accept; None: it is refused.

    One without a commit never takes the place of what its own ballot proposed: messages may be reordered.
    """
    if accept.ballot < promised or accept.revision != revision + 1:
        return None
    if accept.commit is None and pending is not None and pending.ballot == accept.ballot:
        return pending
    return Accepted(accept.ballot, accept.revision, accept.commit)


def highest_accepted(revision: int, pendings: Iterable[Accepted | None]) -> Accepted | None:
    """What was accepted under the highest ballot for the revision after `revision`: a new writer commits it
    again before anything else, a voter without a folder takes it over. A ballot proposes nothing before it
    proposes a commit, so of one ballot the commit goes first."""
    found = [pending for pending in pendings if pending is not None and pending.revision == revision + 1]
    return max(found, key=lambda pending: (pending.ballot, pending.commit is not None), default=None)


def current_answers(vectors: Mapping[str, Vector]) -> set[str]:
    """Whose answers count, by name: not those of an incarnation that another answer knows to be replaced."""
    known = merged(vectors.values())
    return {name for name, vector in vectors.items() if vector.get(name, FIRST) >= known.get(name, FIRST)}


def merged(vectors: Iterable[Vector]) -> Vector:
    """The latest incarnation of each voter."""
    known: Vector = {}
    for vector in vectors:
        for name, incarnation in vector.items():
            known[name] = max(incarnation, known.get(name, FIRST))
    return known
