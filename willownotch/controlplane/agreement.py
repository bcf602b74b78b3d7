"""The messages and stored records of the agreement among members, and the rules for voting. No I/O.

Each revision is one instance of single-decree Paxos (Lamport, "The Part-Time Parliament", 1998); a promise
applies to all later revisions. A voter that lost its folder rejoins by means of crash vectors (Michael,
Ports, Sharma, Szekeres, "Recovering Shared Objects Without Stable Storage", DISC 2017).

`may_promise`, `apply_accept`, `highest_accepted` and `current_answers` are the rules, as functions of plain
values: voters, writers and the model checker call them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum

import msgspec

from willownotch.controlplane.document import Change, Commit

FIRST_INCARNATION = 1  # of a voter that never lost its folder
CrashVector = dict[str, int]  # latest known incarnation by voter; a missing voter has the first one


class Ballot(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One attempt to lead: a token not below that of the writer's lease, and an id unique to its process.

    Ballots are ordered by token, then by id.
    """

    token: int
    uid: int


NO_BALLOT = Ballot(0, 0)


class Outcome(Enum):
    """The result of a change. All but `UNKNOWN` are final."""

    COMMITTED = "committed"
    LOST = "lost"  # conflicts with an earlier commit
    REFUSED = "refused"  # invalid
    UNKNOWN = "unknown"  # submit the change again under the same id


# Records in the member's folder


class Promised(msgspec.Struct, tag=72, frozen=True, array_like=True):
    """The voter rejects all ballots below this one."""

    ballot: Ballot


class Accepted(msgspec.Struct, tag=73, frozen=True, array_like=True):
    """What the voter accepted for a revision; no commit: all proposals of lower ballots for it are void."""

    ballot: Ballot
    revision: int
    commit: Commit | None


class Committed(msgspec.Struct, tag=74, frozen=True, array_like=True):
    """A commit that is known to be chosen; it makes the next revision."""

    commit: Commit


class SnapshotPart(msgspec.Struct, tag=75, frozen=True, array_like=True):
    """Part of a snapshot of all entries at a revision; it takes effect with the part marked `last`."""

    revision: int
    token: int
    digest: bytes
    last: bool
    entries: dict[str, bytes]


class Incarnations(msgspec.Struct, tag=76, frozen=True, array_like=True):
    """The crash vector. It contains the voter's own entry only while the voter may vote."""

    vector: CrashVector


Record = Promised | Accepted | Committed | SnapshotPart | Incarnations


# Messages between members


class Prepare(msgspec.Struct, tag=60, frozen=True, array_like=True):
    """Phase 1a: asks a voter to promise that it rejects lower ballots."""

    ballot: Ballot


class Promise(msgspec.Struct, tag=61, frozen=True, array_like=True):
    """Phase 1b. The promise is refused if `promised` differs from `ballot`, the one that was asked for."""

    ballot: Ballot
    promised: Ballot
    revision: int
    pending: Accepted | None
    vector: CrashVector


class Accept(msgspec.Struct, tag=62, frozen=True, array_like=True):
    """Phase 2a: asks a voter to accept a commit or, without one, to void what lower ballots proposed."""

    ballot: Ballot
    revision: int
    commit: Commit | None


class Vote(msgspec.Struct, tag=63, frozen=True, array_like=True):
    """Phase 2b. `revision` is the voter's latest; `change_id` is empty where the `Accept` had no commit."""

    ballot: Ballot
    promised: Ballot
    accepted: bool
    revision: int
    voted_revision: int  # the revision that was voted on
    change_id: bytes
    vector: CrashVector


class Heartbeat(msgspec.Struct, tag=64, frozen=True, array_like=True):
    """Tells the other members who the writer is, and its revision and digest."""

    ballot: Ballot
    revision: int
    digest: bytes


class CatchUpRequest(msgspec.Struct, tag=65, frozen=True, array_like=True):
    """Asks for the commits after `since` or, with a `snapshot_revision`, for one part of that snapshot."""

    since: int
    snapshot_revision: int = 0
    part_number: int = 0


class CommitBatch(msgspec.Struct, tag=66, frozen=True, array_like=True):
    """Consecutive commits; `revision` is the latest of the member that sends them."""

    revision: int
    commits: tuple[Commit, ...]


class SnapshotReply(msgspec.Struct, tag=67, frozen=True, array_like=True):
    """One part of a snapshot, and its index from 0."""

    part_number: int
    part: SnapshotPart


class Submit(msgspec.Struct, tag=68, frozen=True, array_like=True):
    """Asks the writer to commit a change, if `ballot` is still its current one."""

    ballot: Ballot
    change: Change


class SubmitReply(msgspec.Struct, tag=69, frozen=True, array_like=True):
    """The writer's reply to `Submit`. `revision` is that of the commit, or of the one the change lost to."""

    ballot: Ballot
    change_id: bytes
    outcome: Outcome
    revision: int
    text: str


class Recover(msgspec.Struct, tag=70, frozen=True, array_like=True):
    """From a voter without a folder: asks for the state of others. `incarnation` is 0 until it has one."""

    uid: int
    incarnation: int


class Recovered(msgspec.Struct, tag=71, frozen=True, array_like=True):
    """The reply to `Recover`. Only `voting` matters in a reply of a member that does not vote itself."""

    uid: int
    incarnation: int
    voting: bool
    promised: Ballot
    revision: int
    pending: Accepted | None
    vector: CrashVector


Message = (
    Prepare
    | Promise
    | Accept
    | Vote
    | Heartbeat
    | CatchUpRequest
    | CommitBatch
    | SnapshotReply
    | Submit
    | SubmitReply
    | Recover
    | Recovered
)


# The rules


def majority(voters: int) -> int:
    """The size of a majority of `voters` voters."""
    return voters // 2 + 1


def may_promise(promised: Ballot, ballot: Ballot) -> bool:
    """Whether a voter that has promised `promised` may promise `ballot`."""
    return ballot >= promised


def apply_accept(
    promised: Ballot, pending: Accepted | None, revision: int, accept: Accept
) -> Accepted | None:
    """What a voter at `revision` has accepted once it has handled `accept`, or None if it rejects it.

    An `Accept` without a commit never replaces a commit of the same ballot: messages may be reordered.
    """
    if accept.ballot < promised or accept.revision != revision + 1:
        return None
    if accept.commit is None and pending is not None and pending.ballot == accept.ballot:
        return pending
    return Accepted(accept.ballot, accept.revision, accept.commit)


def highest_accepted(revision: int, pendings: Iterable[Accepted | None]) -> Accepted | None:
    """What was accepted under the highest ballot for the revision after `revision`, or None.

    A new writer proposes it before anything else, and a voter that lost its folder adopts it. A writer
    proposes an empty `Accept` before it proposes a commit, so within one ballot the commit takes precedence.
    """
    found = [pending for pending in pendings if pending is not None and pending.revision == revision + 1]
    return max(found, key=lambda pending: (pending.ballot, pending.commit is not None), default=None)


def current_answers(vectors: Mapping[str, CrashVector]) -> set[str]:
    """The names of voters whose answers count. Takes the crash vector of each answer, by voter name.

    An answer is stale if another one shows a later incarnation of its voter.
    """
    known = merge_vectors(vectors.values())
    return {
        name
        for name, vector in vectors.items()
        if vector.get(name, FIRST_INCARNATION) >= known.get(name, FIRST_INCARNATION)
    }


def merge_vectors(vectors: Iterable[CrashVector]) -> CrashVector:
    """The latest incarnation of each voter in any of the crash vectors."""
    known: CrashVector = {}
    for vector in vectors:
        for name, incarnation in vector.items():
            known[name] = max(incarnation, known.get(name, FIRST_INCARNATION))
    return known
