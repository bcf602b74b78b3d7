"""Which ids of a book are owed an end, as its owner tells members without a copy. No I/O, no clock.

They end these by a notice should all copies be lost. Each change is a step; a keeper applies the steps in
their order, and a promise waits until one of the keepers has the step that the message came with.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import datetime

from willownotch.replica.books import resend_after
from willownotch.replica.wire import BookConfig

STEPS_MOST = 512  # that are kept for keepers that lag; who is further behind is told all
BEAT = 5.0  # s between two words to a keeper that has everything

Change = tuple[dict[str, datetime], tuple[str, ...]]  # ids with their deadlines, ids that are over


@dataclass(slots=True)
class Index:
    """What a keeper knows. `at` is the step up to which it does; -1: it has not been told all of it."""

    config: BookConfig
    term: int
    heard_at: float
    refs: dict[str, float]  # ids, and when their deadlines are by this clock
    at: int = -1

    def take(
        self, now: float, after: int, step: int, owed: tuple[tuple[str, int], ...], over: tuple[str, ...]
    ) -> bool:
        """Take ids in and out, ms left told with each; whether steps before these were missed."""
        if self.at < after:
            return True
        self.heard_at = now
        if step < self.at:
            return False  # an old one, overtaken
        if after < 0:
            self.refs.clear()
        self.at = step
        for ref in over:
            self.refs.pop(ref, None)
        for ref, left in owed:
            self.refs[ref] = now + left / 1000
        return False


@dataclass(slots=True)
class Keeper:
    """A member that is told, as the owner knows it."""

    at: int = -1  # up to this step it has told that it knows; -1: where it is is not known
    sent: int = -1
    sent_at: float = -1e9
    since: float | None = None  # since when it has been owing an answer
    tries: int = 0


@dataclass(slots=True)
class Ids:
    """An owner's side, of one book."""

    step: int = 0
    steps: dict[int, Change] = field(default_factory=dict)  # that some keeper has not acknowledged
    keepers: dict[str, Keeper] = field(default_factory=dict)
    _added: dict[str, datetime] = field(default_factory=dict)
    _gone: set[str] = field(default_factory=set)
    _taken: deque[tuple[int, int]] = field(  # steps, and the record before each one's first
        default_factory=lambda: deque(maxlen=STEPS_MOST)
    )

    def note(self, added: dict[str, datetime], gone: list[str]) -> None:
        """Ids that are owed an end from now on, and that are not any more; told with the next step."""
        self._added.update(added)
        for ref in gone:
            if self._added.pop(ref, None) is None:
                self._gone.add(ref)

    def flush(self, before: int | None = None) -> None:
        """Make one step of what was noted. `before` is the record ahead of what a promise is to wait for."""
        if not self._added and not self._gone:
            return
        self.step += 1
        self.steps[self.step] = self._added, tuple(self._gone)
        self._added, self._gone = {}, set()
        if before is not None and self.keepers:
            self._taken.append((self.step, before))
        least = min((k.at for k in self.keepers.values()), default=self.step)
        while self.steps and ((first := next(iter(self.steps))) <= least or len(self.steps) > STEPS_MOST):
            del self.steps[first]

    def keep(self, names: list[str]) -> list[str]:
        """These are told from now on; who no longer is."""
        if not names:
            self._taken.clear()  # nobody is left to wait for
        gone = [name for name in self.keepers if name not in names]
        for name in gone:
            del self.keepers[name]
        for name in names:
            self.keepers.setdefault(name, Keeper())
        return gone

    def wants(self, now: float, name: str) -> bool:
        """Whether a keeper is to be told something now."""
        keeper = self.keepers[name]
        if 0 <= keeper.sent < self.step:
            return True
        wait = resend_after(keeper.tries) if keeper.at < self.step else BEAT
        return now - keeper.sent_at >= wait

    def next(self, now: float, name: str) -> tuple[int, Change] | None:
        """The step to go on from and what comes behind it; None: tell it all that is owed."""
        keeper = self.keepers[name]
        if keeper.sent >= self.step > keeper.at:  # it does not answer: again from where it was
            keeper.sent, keeper.tries = keeper.at, min(keeper.tries + 1, 8)
        after, keeper.sent, keeper.sent_at = keeper.sent, self.step, now
        if keeper.since is None:
            keeper.since = now
        if after < 0 or any(n not in self.steps for n in range(after + 1, self.step + 1)):
            return None
        owed: dict[str, datetime] = {}
        over: dict[str, None] = {}
        for n in range(after + 1, self.step + 1):
            added, gone = self.steps[n]
            for ref in gone:
                owed.pop(ref, None)
                over[ref] = None
            owed.update(added)
        return after, (owed, tuple(over))

    def told(self, now: float, name: str, at: int, missed: bool) -> None:
        """A keeper says where it is, and whether it missed something behind that."""
        keeper = self.keepers.get(name)
        if keeper is None or at > self.step:
            return
        if at > keeper.at:
            keeper.since = now
        if at >= self.step:
            keeper.since = None
        if missed:
            keeper.sent, keeper.sent_at = at, -1e9  # it is told the rest, or all, at once
        keeper.at, keeper.tries = at if missed else max(at, keeper.at), 0

    def floor(self, now: float, patience: float) -> int | None:
        """Up to which record some keeper knows the ids; None: of all of them, or no keeper answers."""
        best = max((k.at for k in self.keepers.values()), default=-1)
        while self._taken and self._taken[0][0] <= best:
            self._taken.popleft()
        if not self._taken:
            return None
        answering = any(
            k.at >= 0 and (k.since is None or now - k.since <= patience) for k in self.keepers.values()
        )
        return self._taken[0][1] if answering else None
