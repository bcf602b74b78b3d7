"""Breadth-first search through all states that can be reached, each kept once."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass

Move = tuple[str, Hashable]  # what happened, and the state behind it


@dataclass(frozen=True)
class Found:
    """What a search came to. `way` leads to the first state in which `broken` did not hold."""

    states: int
    complete: bool  # every state was looked at
    broken: str = ""
    way: tuple[str, ...] = ()


def explore(
    first: Hashable,
    moves: Callable[[Hashable], Iterable[Move]],
    broken: Callable[[Hashable], str],
    most: int = 10**7,
) -> Found:
    """Look at every state, the nearest first, until one is broken or `most` have been seen."""
    before: dict[Hashable, tuple[Hashable | None, str]] = {first: (None, "")}
    waiting = deque([first])
    while waiting:
        state = waiting.popleft()
        if why := broken(state):
            way: list[str] = []
            at: Hashable | None = state
            while at is not None and before[at][0] is not None:
                at, what = before[at]
                way.append(what)
            return Found(len(before), False, why, tuple(reversed(way)))
        for what, following in moves(state):
            if following not in before:
                before[following] = state, what
                waiting.append(following)
        if len(before) > most:
            return Found(len(before), False)
    return Found(len(before), True)
