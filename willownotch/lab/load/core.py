"""The generator without I/O: a time and what connections tell in, sends and connections to open out.

Open loop: a message goes out when the plan has it, whatever became of those before. If no connection is free
and no more may be opened, it waits for one, and its latency runs on. Times are microseconds from the start
of the run.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass

from willownotch.lab.load.plan import Plan
from willownotch.lab.load.record import Record

UNANSWERED, NO_CONNECTION, BROKEN, UNREADABLE = "unanswered", "no connection", "broken", "unreadable"
TAKEN, TURNED_AWAY = "taken", "turned away"


@dataclass(frozen=True, slots=True)
class Send:
    """Write message `number` to a connection."""

    connection: int
    number: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Open:
    """Make a connection."""

    connection: int


@dataclass(frozen=True, slots=True)
class Close:
    """Close a connection."""

    connection: int


Action = Send | Open | Close


@dataclass(slots=True)
class Out:
    """A message on a connection."""

    number: int
    attempt: int
    began_us: int


def outcome_of(status: int) -> str:
    """What a sender's answer means for a message."""
    if status == 202:
        return TAKEN
    if status in (429, 503):
        return TURNED_AWAY
    return f"answered {status}"


class Generator:
    """Sends a plan. Feed it by `tick`, `opened`, `answered` and `broken`; each returns what is to be done."""

    def __init__(
        self, plan: Plan, connections: int, patience_us: int, retries: int = 0, retry_wait_us: int = 500_000
    ) -> None:
        self.plan, self.most, self.patience_us = plan, connections, patience_us
        self.retries, self.retry_wait_us = retries, retry_wait_us
        self.record = Record(planned=len(plan))
        self._at = plan.at_us.tolist()
        self._next = 0
        self._waiting: deque[tuple[int, int, int]] = deque()  # number, attempt, since when
        self._again: list[tuple[int, int, int]] = []  # when, number, attempt
        self._out: dict[int, Out] = {}
        self._free: list[int] = []
        self._opening: set[int] = set()
        self._count = 0
        self._over = 0

    def done(self) -> bool:
        """Whether every message is over."""
        return self._over == len(self.plan)

    def due(self) -> int | None:
        """When the next tick is wanted."""
        times = [self._at[self._next]] if self._next < len(self._at) else []
        if self._again:
            times.append(self._again[0][0])
        if self._out:
            times.append(next(iter(self._out.values())).began_us + self.patience_us)
        if self._waiting:
            times.append(self._waiting[0][2] + self.patience_us)
        return min(times, default=None)

    def tick(self, now: int) -> list[Action]:
        """Let time pass."""
        actions: list[Action] = []
        while self._next < len(self._at) and self._at[self._next] <= now:
            self._begin(now, self._next, 0, actions)
            self._next += 1
        while self._again and self._again[0][0] <= now:
            _, number, attempt = heapq.heappop(self._again)
            self.record.retried += 1
            self._begin(now, number, attempt, actions)
        while self._out:
            connection, out = next(iter(self._out.items()))
            if out.began_us + self.patience_us > now:
                break
            del self._out[connection]
            self._end(now, out.number, UNANSWERED)
            self._gone(connection)
            actions.append(Close(connection))
        while self._waiting and self._waiting[0][2] + self.patience_us <= now:
            number, _, _ = self._waiting.popleft()
            self._end(now, number, NO_CONNECTION)
        self._open_more(actions)
        return actions

    def _begin(self, now: int, number: int, attempt: int, actions: list[Action]) -> None:
        if self._free:
            self._send(now, self._free.pop(), number, attempt, now, actions)
        else:
            self._waiting.append((number, attempt, now))
            self._open_more(actions)

    def _open_more(self, actions: list[Action]) -> None:
        """A connection for each message that waits, as far as allowed."""
        total = len(self._out) + len(self._free) + len(self._opening)
        while len(self._opening) < len(self._waiting) and total < self.most:
            self._count += 1
            self._opening.add(self._count)
            self.record.connections += 1
            total += 1
            actions.append(Open(self._count))

    def _send(
        self, now: int, connection: int, number: int, attempt: int, since: int, actions: list[Action]
    ) -> None:
        if attempt == 0:
            self.record.sent(now, since - self._at[number], now - since)
        self._out[connection] = Out(number, attempt, now)
        actions.append(Send(connection, number, attempt))

    def opened(self, now: int, connection: int) -> list[Action]:
        """A connection stands."""
        self._opening.discard(connection)
        actions: list[Action] = []
        self._give(now, connection, actions)
        return actions

    def _give(self, now: int, connection: int, actions: list[Action]) -> None:
        if self._waiting:
            number, attempt, since = self._waiting.popleft()
            self._send(now, connection, number, attempt, since, actions)
        else:
            self._free.append(connection)

    def answered(
        self, now: int, connection: int, status: int, keeps: bool, wait_us: int | None = None
    ) -> list[Action]:
        """An answer has come. `wait_us` is how long it tells to stay away."""
        out = self._out.pop(connection, None)
        actions: list[Action] = []
        if out is None:  # nothing was asked
            self._gone(connection)
            actions.append(Close(connection))
        else:
            outcome = outcome_of(status)
            if outcome == TURNED_AWAY and out.attempt < self.retries:
                wait = self.retry_wait_us if wait_us is None else wait_us
                heapq.heappush(self._again, (now + wait, out.number, out.attempt + 1))
            else:
                self._end(now, out.number, outcome)
            if keeps:
                self._give(now, connection, actions)
            else:
                actions.append(Close(connection))
        self._open_more(actions)
        return actions

    def broken(self, now: int, connection: int, why: str = BROKEN) -> list[Action]:
        """A connection is gone, or never came to be."""
        out = self._out.pop(connection, None)
        never = connection in self._opening
        self._gone(connection)
        actions: list[Action] = []
        if out is not None:
            self._end(now, out.number, why)
        elif never and self._waiting and len(self._opening) < len(self._waiting):
            # Whom it was opened for hears of it; else a target that refuses would be asked for ever.
            number, _, _ = self._waiting.popleft()
            self._end(now, number, NO_CONNECTION)
        self._open_more(actions)
        return actions

    def _gone(self, connection: int) -> None:
        self._opening.discard(connection)
        if connection in self._free:
            self._free.remove(connection)

    def _end(self, now: int, number: int, outcome: str) -> None:
        self._over += 1
        self.record.answer(self.plan.classes[self.plan.cls[number]], outcome, now - self._at[number])
