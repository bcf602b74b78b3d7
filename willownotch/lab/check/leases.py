"""A model of leases and fencing, small enough to look at every state of it.

`python -m willownotch.lab.check.leases [--long]`. Three electors, two candidates, one who takes acts. Time
is in ticks. The electors' rule is the program's own (`lease.register.decide`). What can happen, in any
order: a candidate asks, for a new token or to renew; each message is delivered, however late, or never: so
it is lost; a tick passes, which a candidate's clock may miss (drift); a candidate does nothing for any
number of ticks, also between looking at its lease and acting: so it stands still; an elector restarts with
what it kept.

What must hold: no two candidates have a lease by their own clocks at once; acts are never taken under a lower
token than one taken before. Each safeguard can be left out, to see that the check finds what it is for.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from willownotch.lab.check.states import Found, Move, explore
from willownotch.lease.register import Grant, GrantRequest, decide

ELECTORS, MAJORITY = 3, 2


@dataclass(frozen=True)
class Bounds:
    """How far the model goes, and what is left out of the protocol."""

    span: int = 3  # ticks of a lease
    margin: int = 1  # that a holder counts less
    drift: int = 1  # ticks that a candidate's clock misses at the most
    rounds: int = 2  # that a candidate asks in
    tokens: int = 2
    restarts: int = 1  # of electors, all together
    fencing: bool = True
    remembered: bool = True  # an elector's grants outlast its restart


class Elector(NamedTuple):
    """What it granted last, and how many ticks of that are left."""

    token: int = 0
    holder: int = 0
    left: int = 0


class Candidate(NamedTuple):
    """One that wants the duty. `asks` and `answers` are on their way, by round, a bit for each elector."""

    token: int = 0
    held: bool = False
    left: int = 0  # of its lease, by its own clock
    age: int = 0  # of its last round, by its own clock
    missed: int = 0  # ticks so far
    granted: int = 0
    asks: tuple[int, ...] = ()
    answers: tuple[int, ...] = ()
    tokens: tuple[int, ...] = ()  # of each round
    armed: int = 0  # it has looked at its lease and is about to act


class State(NamedTuple):
    """All of it."""

    electors: tuple[Elector, ...]
    candidates: tuple[Candidate, ...]
    taken: int = 0  # the highest token of an act that was taken
    wrong: bool = False  # an act of a lower one was taken after it
    restarts: int = 0


def replaced(items: tuple, at: int, item) -> tuple:
    """The same with one item changed."""
    return items[:at] + (item,) + items[at + 1 :]


def bare(state: State, bounds: Bounds) -> State:
    """The same state without what can change nothing any more, so that states that differ by it are one."""
    candidates = []
    for n, one in enumerate(state.candidates):
        last, asks, answers = len(one.asks) - 1, list(one.asks), [0] * len(one.asks)
        if one.asks and one.age < bounds.span - bounds.margin:
            answers[last] = one.answers[last]  # those of an older round, or too old, count for nothing
        for number, token in enumerate(one.tokens):
            for at, elector in enumerate(state.electors):
                # A token is one holder's for good and only grows, unless an elector forgets.
                if bounds.remembered and (
                    elector.token > token or (elector.token == token and elector.holder != n + 1)
                ):
                    asks[number] &= ~(1 << at)
        hoped = bool(one.asks) and one.age < bounds.span - bounds.margin and asks[last] | answers[last]
        tokens = [
            token if asks[number] or (number == last and hoped) else 0
            for number, token in enumerate(one.tokens)
        ]
        candidates.append(
            one._replace(
                asks=tuple(asks),
                answers=tuple(answers),
                tokens=tuple(tokens),
                token=one.token if one.held or hoped else 0,
                age=one.age if hoped else bounds.span,
                granted=one.granted if hoped else 0,
                armed=0 if bounds.fencing and one.armed < state.taken else one.armed,
            )
        )
    return state._replace(candidates=tuple(candidates))


def swapped(state: State) -> State:
    """The same with the candidates in each other's place: which is which changes nothing either."""
    other = (0, 2, 1)
    return state._replace(
        candidates=state.candidates[::-1],
        electors=tuple(elector._replace(holder=other[elector.holder]) for elector in state.electors),
    )


def canonical(state: State, bounds: Bounds) -> State:
    """One state for all that are alike."""
    state = bare(state, bounds)
    return min(sorted_out(state), sorted_out(swapped(state)))


def sorted_out(state: State) -> State:
    """The same state with the electors in one order: which is which changes nothing."""

    def of(at: int) -> tuple:
        return state.electors[at], tuple(
            (*(mask >> at & 1 for mask in (*one.asks, *one.answers)), one.granted >> at & 1)
            for one in state.candidates
        )

    line = sorted(range(ELECTORS), key=of)
    if line == list(range(ELECTORS)):
        return state

    def turned(mask: int) -> int:
        return sum((mask >> old & 1) << new for new, old in enumerate(line))

    return state._replace(
        electors=tuple(state.electors[at] for at in line),
        candidates=tuple(
            one._replace(
                asks=tuple(map(turned, one.asks)),
                answers=tuple(map(turned, one.answers)),
                granted=turned(one.granted),
            )
            for one in state.candidates
        ),
    )


def moves_of(bounds: Bounds):
    """All that can happen in a state."""

    def all_moves(state: State) -> Iterator[Move]:
        for what, following in moves(state):
            yield what, canonical(following, bounds)

    def moves(state: State) -> Iterator[Move]:
        for n, one in enumerate(state.candidates):

            def changed(fresh: Candidate, n: int = n, **more) -> State:
                return state._replace(candidates=replaced(state.candidates, n, fresh), **more)

            if len(one.asks) < bounds.rounds:
                known = max(e.token for e in state.electors)
                token = one.token if one.held else known + 1
                if token <= bounds.tokens:
                    yield (
                        f"{n} asks for token {token}",
                        changed(
                            one._replace(
                                token=token,
                                age=0,
                                granted=0,
                                asks=one.asks + (0b111,),
                                answers=one.answers + (0,),
                                tokens=one.tokens + (token,),
                            )
                        ),
                    )
            yield from heard(state, n, one, changed, bounds)
            if one.held and one.left > 0 and one.armed != one.token:
                yield f"{n} looks at its lease", changed(one._replace(armed=one.token))
            if one.armed:
                fresh = one._replace(armed=0)
                if one.armed >= state.taken or not bounds.fencing:
                    yield (
                        f"{n}'s act under {one.armed} is taken",
                        changed(fresh, taken=max(one.armed, state.taken), wrong=one.armed < state.taken),
                    )
            yield from asked(state, n, one, changed, bounds)
        yield from ticked(state, bounds)
        if state.restarts < bounds.restarts:
            for n, elector in enumerate(state.electors):
                # Its lease counts anew: it may have been granted a moment before.
                back = elector._replace(left=bounds.span) if bounds.remembered else Elector()
                yield (
                    f"elector {n} restarts",
                    state._replace(electors=replaced(state.electors, n, back), restarts=state.restarts + 1),
                )

    return all_moves


def asked(state: State, n: int, one: Candidate, changed, bounds: Bounds) -> Iterator[Move]:
    """Questions that reach an elector, in any order, or are lost."""
    for number, mask in enumerate(one.asks):
        for at in range(ELECTORS):
            if not mask >> at & 1:
                continue
            fresh = one._replace(asks=replaced(one.asks, number, mask & ~(1 << at)))
            elector = state.electors[at]
            grant = Grant(elector.token, str(elector.holder), 0, elector.left) if elector.token else None
            found = decide(grant, 0, GrantRequest(one.tokens[number], str(n + 1), 0, bounds.span))
            if found is None:
                continue
            fresh = fresh._replace(answers=replaced(one.answers, number, one.answers[number] | 1 << at))
            yield (
                f"elector {at} grants {n}'s round {number}",
                changed(
                    fresh,
                    electors=replaced(state.electors, at, Elector(found.token, n + 1, int(found.until))),
                ),
            )


def heard(state: State, n: int, one: Candidate, changed, bounds: Bounds) -> Iterator[Move]:
    """Grants that reach a candidate, or are lost. Those of an older round count for nothing."""
    for number, mask in enumerate(one.answers):
        for at in range(ELECTORS):
            if not mask >> at & 1:
                continue
            fresh = one._replace(answers=replaced(one.answers, number, mask & ~(1 << at)))
            if number != len(one.asks) - 1:
                continue
            granted = one.granted | 1 << at
            fresh = fresh._replace(granted=granted)
            left = bounds.span - bounds.margin - one.age
            if granted.bit_count() >= MAJORITY and left > 0:
                fresh = fresh._replace(held=True, left=max(left, one.left))
            yield f"{n} hears elector {at}'s grant of round {number}", changed(fresh)


def ticked(state: State, bounds: Bounds) -> Iterator[Move]:
    """Time passes; each candidate's clock may miss it."""
    electors = tuple(e._replace(left=max(0, e.left - 1)) for e in state.electors)
    for misses in range(4):
        candidates = []
        for n, one in enumerate(state.candidates):
            if misses >> n & 1:
                if one.missed >= bounds.drift or not one.asks:
                    break
                candidates.append(one._replace(missed=one.missed + 1))
                continue
            left = max(0, one.left - 1)
            candidates.append(
                one._replace(left=left, age=min(one.age + 1, bounds.span), held=one.held and left > 0)
            )
        else:
            missing = ", ".join(str(n) for n in range(2) if misses >> n & 1)
            yield (
                f"a tick{' that ' + missing + ' misses' if missing else ''}",
                state._replace(electors=electors, candidates=tuple(candidates)),
            )


def broken(state: State) -> str:
    """What must hold, and does not."""
    if sum(one.held and one.left > 0 for one in state.candidates) > 1:
        return "two hold the duty"
    return "an older act was taken after a newer" if state.wrong else ""


def check(bounds: Bounds, most: int = 10**7) -> Found:
    """All states of the model."""
    first = State((Elector(),) * ELECTORS, (Candidate(),) * 2)
    return explore(canonical(first, bounds), moves_of(bounds), broken, most)


TINY = Bounds(span=2, rounds=1, restarts=0)  # seconds; the others take a minute, and some
SMALL = Bounds(rounds=1, restarts=0)
LONG = Bounds(rounds=2, tokens=3, restarts=0)
WITHOUT = (
    ("no fencing", {"fencing": False}),
    ("no margin for drift", {"margin": 0}),
    ("electors that forget", {"remembered": False, "restarts": 1}),
)


def main() -> None:
    """The check, and those with a safeguard left out; `--long` for the larger bounds, some minutes."""
    base = LONG if "--long" in sys.argv else SMALL
    cases = [("as it is", base), *((name, replace(base, **left_out)) for name, left_out in WITHOUT)]
    for what, bounds in cases:
        began = time.monotonic()
        found = check(bounds)
        said = found.broken or ("nothing broken" if found.complete else "nothing broken so far")
        print(f"{what}: {found.states} states in {time.monotonic() - began:.0f} s: {said}", flush=True)
        for step in found.way:
            print(f"    {step}")


if __name__ == "__main__":
    main()
