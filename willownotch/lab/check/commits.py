"""A model of agreement on revisions, small enough to look at every state of it.

`python -m willownotch.lab.check.commits [--long]`. Three voters, two or three writers with a ballot each, one
or two revisions, by the program's own rules (`controlplane.agreement`). What can happen, in any order: a
voter answers a writer's question or proposal, however late, twice or never, so that messages are lost,
doubled and reordered; a writer goes on with any answers that were sent to it, or never, so it stands still or
is dead; a voter learns of a commit; a voter loses its folder, and comes back by what the others tell it.

The first writer wants X. The second refuses X, by a majority that accepts that there is nothing yet, and
wants Y then; the third wants Z. What must hold: one commit a revision; its token is not below the one before;
what was refused is never committed. Each safeguard can be left out, to see that the check finds what it is
for.

States, all of them looked at and nothing broken (2026-12-02): 273,843 with two ballots, one revision and a
folder lost; 426,842 with three ballots and two revisions; 31,409 with three ballots and a refusal. Not
covered: a folder lost together with a third ballot or a second revision, two folders lost, five voters or
more, folders that cannot be written, how commits are caught up with. Which voter is which changes nothing, so
the numbers of voters in what is found are those of their order at that moment.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from functools import cache
from itertools import combinations, product
from typing import NamedTuple

from willownotch.controlplane import agreement
from willownotch.controlplane.agreement import Accept, Accepted
from willownotch.lab.check.states import Found, Move, explore

VOTERS = 3
NOTHING = 0  # what is proposed where a change was refused; a change is 10 x its first ballot + revision


@dataclass(frozen=True)
class Bounds:
    """How far the model goes, and what is left out of the protocol."""

    ballots: int = 2
    revisions: int = 1
    lost: int = 1  # folders, all together
    refusing: bool = True  # the second writer refuses X before it wants Y
    learning: bool = True  # voters hear of commits
    promise: bool = True  # a voter that promised a ballot accepts no lower one
    first_phase: bool = True  # a writer commits again what it finds
    majority: bool = True
    incarnations: bool = True  # an answer of a replaced voter does not count
    recovery: bool = True  # a voter without a folder asks before it votes
    asked_first: bool = True  # a change is refused by a majority, not by the writer alone
    tokens: bool = True  # a writer stops at a commit with a later token than its own

    def need(self) -> int:
        """How many voters it takes."""
        return agreement.majority(VOTERS) if self.majority else 1


class Said(NamedTuple):
    """A promise, or what a voter tells one without a folder. `new`: by a voter that had lost its folder;
    `knows`: that a folder was lost."""

    promised: int
    pending: tuple[int, ...]  # ballot, revision, change; or empty
    revision: int
    new: int
    knows: int


class Cast(NamedTuple):
    """A vote."""

    ballot: int
    revision: int
    change: int
    new: int
    knows: int


class Voter(NamedTuple):
    """One voter, and all that it has said."""

    promised: int = 0
    pending: tuple[int, ...] = ()
    revision: int = 0
    new: int = 0
    knows: int = 0
    voting: int = 1
    promises: tuple[tuple[Said, ...], ...] = ()  # by ballot
    votes: tuple[Cast, ...] = ()
    helped: tuple[Said, ...] = ()  # the one without a folder


class Writer(NamedTuple):
    """One ballot. `sent`: proposals so far, (revision, change); none: it still asks."""

    sent: tuple[tuple[int, int], ...] = ()
    refused: int = 0  # it has found a majority for nothing


class State(NamedTuple):
    """All of it. `chosen`: of each revision, all changes that some writer counted a majority for."""

    voters: tuple[Voter, ...]
    writers: tuple[Writer, ...]
    chosen: tuple[tuple[int, ...], ...]
    left: int  # folders that may still be lost
    refused: int = 0  # X was refused


def replaced(items: tuple, at: int, item) -> tuple:
    """The same with one item changed."""
    return items[:at] + (item,) + items[at + 1 :]


def canonical(state: State) -> State:
    """One state for all that differ by which voter is which, or by answers that nobody waits for."""
    over = [bool(writer.sent) for writer in state.writers]
    return state._replace(
        voters=tuple(
            sorted(
                voter._replace(
                    promises=tuple(
                        () if done else said for done, said in zip(over, voter.promises, strict=True)
                    )
                )
                for voter in state.voters
            )
        )
    )


@cache
def count(answers: tuple[tuple[int, int, int], ...], lost: int) -> int:
    """How many of these answers count, (voter, new, knows) each, where the voter `lost` lost its folder."""
    return len(
        agreement.current_answers(
            {str(voter): {str(lost): 2} if knows else {str(voter): 1 + new} for voter, new, knows in answers}
        )
    )


def enough(answers: Iterable[tuple[int, int, int]], state: State, bounds: Bounds) -> bool:
    """Whether so many of these answers count as it takes."""
    answers = tuple(answers)
    lost = next((at for at, voter in enumerate(state.voters) if voter.new or not voter.voting), 0)
    return (count(answers, lost) if bounds.incarnations else len(answers)) >= bounds.need()


@cache
def decide(
    promised: int,
    pending: tuple[int, ...],
    revision: int,
    accept: tuple[int, int, int],
) -> tuple[int, ...] | None:
    """The program's rule for a voter's vote."""
    ballot, wanted, change = accept
    found = agreement.apply_accept(promised, kept(pending), revision, Accept(ballot, wanted, change or None))
    return None if found is None else (found.ballot, found.revision, found.commit or NOTHING)


def kept(pending: tuple[int, ...]) -> Accepted | None:
    """As the program has it."""
    return Accepted(pending[0], pending[1], pending[2] or None) if pending else None


@cache
def again(revision: int, pendings: tuple[tuple[int, ...], ...]) -> tuple[int, ...]:
    """The program's rule for what is taken over."""
    found = agreement.highest_accepted(revision, map(kept, pendings))
    return () if found is None else (found.ballot, found.revision, found.commit or NOTHING)


def said(voter: Voter) -> Said:
    """What a voter says at this moment."""
    return Said(voter.promised, voter.pending, voter.revision, voter.new, voter.knows)


def moves_of(bounds: Bounds):
    """All that can happen in a state."""

    def moves(state: State) -> Iterator[Move]:
        for at, voter in enumerate(state.voters):
            for what, fresh, more in steps(state, at, voter, bounds):
                following = state._replace(voters=replaced(state.voters, at, fresh), **more)
                yield f"voter {at} {what}", canonical(decided(following, at, bounds))
        for n, writer in enumerate(state.writers):
            for what, fresh, more in writes(state, n + 1, writer, bounds):
                following = state._replace(writers=replaced(state.writers, n, fresh), **more)
                yield f"writer {n + 1} {what}", canonical(following)

    return moves


def steps(state: State, at: int, voter: Voter, bounds: Bounds) -> Iterator[tuple[str, Voter, dict]]:
    """What one voter can do."""
    if not voter.voting:
        yield from comes_back(state, at, voter, bounds)
        return
    for n, writer in enumerate(state.writers):
        ballot = n + 1
        if not writer.sent and agreement.may_promise(voter.promised, ballot):
            fresh = voter._replace(promised=ballot)
            if said(fresh) not in voter.promises[n]:
                yield (
                    f"promises {ballot}",
                    fresh._replace(
                        promises=replaced(voter.promises, n, tuple(sorted({*voter.promises[n], said(fresh)})))
                    ),
                    {},
                )
        for revision, change in writer.sent:
            promised = voter.promised if bounds.promise else 0
            found = decide(promised, voter.pending, voter.revision, (ballot, revision, change))
            if found is None:
                continue
            cast = Cast(ballot, revision, change, voter.new, voter.knows)
            fresh = voter._replace(
                promised=max(voter.promised, ballot), pending=found, votes=tuple(sorted({*voter.votes, cast}))
            )
            if fresh != voter:
                yield f"accepts {change or 'nothing'} under {ballot}", fresh, {}
    if bounds.learning and voter.revision < bounds.revisions and state.chosen[voter.revision]:
        pending = voter.pending if voter.pending and voter.pending[1] > voter.revision + 1 else ()
        yield (
            f"learns revision {voter.revision + 1}",
            voter._replace(revision=voter.revision + 1, pending=pending),
            {},
        )
    if state.left:
        empty = Voter(new=1, voting=0, promises=voter.promises, votes=voter.votes)
        if not bounds.recovery:
            empty = empty._replace(voting=1)
        yield "loses its folder", empty, {"left": state.left - 1}
    if any(not other.voting for other in state.voters) and not voter.helped:
        knows = voter._replace(knows=1)
        yield "tells what it knows", knows._replace(helped=(said(knows),)), {}


def comes_back(state: State, at: int, voter: Voter, bounds: Bounds) -> Iterator[tuple[str, Voter, dict]]:
    """A voter without a folder has been told enough."""
    told = [(n, *other.helped) for n, other in enumerate(state.voters) if other.helped]
    if not enough(((n, one.new, one.knows) for n, one in told), state, bounds):
        return
    latest = max(one.revision for _, one in told)
    yield (
        "votes again",
        voter._replace(
            promised=max(one.promised for _, one in told),
            revision=latest,
            knows=1,
            voting=1,
            pending=again(latest, tuple(one.pending for _, one in told)),
        ),
        {},
    )


def wanted(ballot: int, revision: int) -> int:
    """A writer's own change."""
    return 10 * ballot + revision


def writes(state: State, ballot: int, writer: Writer, bounds: Bounds) -> Iterator[tuple[str, Writer, dict]]:
    """What one writer can do."""
    if not writer.sent:
        yield from begins(state, ballot, writer, bounds)
        return
    revision, change = writer.sent[-1]
    if change == NOTHING:
        if not bounds.asked_first or carried(state, ballot, revision, NOTHING, bounds):
            yield (
                "refuses X and wants its own",
                writer._replace(sent=(*writer.sent, (revision, wanted(ballot, revision))), refused=1),
                {"refused": 1},
            )
    elif revision < bounds.revisions and state.chosen[revision - 1]:
        token = max(state.chosen[revision - 1]) // 10
        if token <= ballot or not bounds.tokens:
            yield (
                f"goes on to revision {revision + 1}",
                writer._replace(sent=(*writer.sent, (revision + 1, wanted(ballot, revision + 1)))),
                {},
            )


def begins(state: State, ballot: int, writer: Writer, bounds: Bounds) -> Iterator[tuple[str, Writer, dict]]:
    """A writer has promises enough, of any voters, and of each any that it gave."""
    seen = set()
    for number in range(1, VOTERS + 1):
        for group in combinations(range(VOTERS), number):
            for answers in product(*(state.voters[at].promises[ballot - 1] for at in group)):
                if not enough(
                    ((at, one.new, one.knows) for at, one in zip(group, answers, strict=True)), state, bounds
                ):
                    continue
                latest = max(one.revision for one in answers)
                for revision in range(latest, bounds.revisions):
                    if revision > latest and not state.chosen[revision - 1]:
                        break  # it has learnt no more
                    found = again(revision, tuple(one.pending for one in answers))
                    if found and found[2] and bounds.first_phase:
                        seen.add((revision + 1, found[2]))
                    elif ballot == 2 and bounds.refusing and revision == 0:
                        seen.add((1, NOTHING))
                    elif not revision or not bounds.tokens or max(state.chosen[revision - 1]) // 10 <= ballot:
                        seen.add((revision + 1, wanted(ballot, revision + 1)))
    for revision, change in sorted(seen):
        yield (
            f"wants {change or 'nothing'} as revision {revision}",
            writer._replace(sent=((revision, change),)),
            {},
        )


def carried(state: State, ballot: int, revision: int, change: int, bounds: Bounds) -> bool:
    """Whether votes enough were cast: any of them may be those that the writer hears."""
    cast = [
        (at, vote.new, vote.knows)
        for at, voter in enumerate(state.voters)
        for vote in voter.votes
        if vote[:3] == (ballot, revision, change)
    ]
    return any(
        enough(group, state, bounds)
        for number in range(1, VOTERS + 1)
        for group in combinations(cast, number)
        if len({at for at, _, _ in group}) == number
    )


def decided(state: State, at: int, bounds: Bounds) -> State:
    """The same with what a voter's last step has chosen."""
    chosen = state.chosen
    for ballot, revision, change, _, _ in state.voters[at].votes:
        if change and change not in chosen[revision - 1] and carried(state, ballot, revision, change, bounds):
            chosen = replaced(chosen, revision - 1, tuple(sorted((*chosen[revision - 1], change))))
    return state._replace(chosen=chosen) if chosen != state.chosen else state


def broken(state: State) -> str:
    """What must hold, and does not."""
    if any(len(changes) > 1 for changes in state.chosen):
        return "two commits of one revision"
    tokens = [changes[0] // 10 for changes in state.chosen if changes]
    if tokens != sorted(tokens):
        return "a commit with an earlier token than the one before"
    if state.refused and any(wanted(1, 1) in changes for changes in state.chosen):
        return "what was refused was committed"
    return ""


def first(bounds: Bounds) -> State:
    """Nothing has happened."""
    return State(
        (Voter(promises=((),) * bounds.ballots),) * VOTERS,
        (Writer(),) * bounds.ballots,
        ((),) * bounds.revisions,
        bounds.lost,
    )


def check(bounds: Bounds, most: int = 10**7) -> Found:
    """All states of the model."""
    return explore(canonical(first(bounds)), moves_of(bounds), broken, most)


TINY = Bounds(lost=0)  # parts of a second, to a few
AFTER = Bounds(lost=0, revisions=2, refusing=False)
NEXT = Bounds(lost=0, ballots=3, learning=False)
LOST = Bounds(refusing=False, learning=False)
LONG = Bounds(lost=0, revisions=2, ballots=3, refusing=False)  # minutes, as the next
LARGE = (LONG, Bounds(lost=0, ballots=3), Bounds())
WITHOUT = (
    ("no promise", TINY, {"promise": False}),
    ("no first phase", TINY, {"first_phase": False}),
    ("no majority", TINY, {"majority": False}),
    ("no incarnations", LOST, {"incarnations": False}),
    ("no recovery", LOST, {"recovery": False}),
    ("refused by the writer alone", NEXT, {"asked_first": False}),
)
WITHOUT_LARGE = (("no tokens", LONG, {"tokens": False}),)


def main() -> None:
    """The check, and those with a safeguard left out; `--long` for the larger bounds, some minutes."""
    bounds, without = [TINY, AFTER, NEXT, LOST], [*WITHOUT]
    if "--long" in sys.argv:
        bounds, without = [*bounds, *LARGE], [*without, *WITHOUT_LARGE]
    for what, base, left_out in [*(("as it is", base, {}) for base in bounds), *without]:
        began = time.monotonic()
        found = check(replace(base, **left_out))
        told = found.broken or ("nothing broken" if found.complete else "nothing broken so far")
        print(f"{what}: {found.states} states in {time.monotonic() - began:.0f} s: {told}", flush=True)
        for step in found.way:
            print(f"    {step}")


if __name__ == "__main__":
    main()
