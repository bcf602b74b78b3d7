"""The outstanding ids of a book, replicated by its owner to id holders: members without a copy.

An id holder ends these messages with a notice if all copies are lost. Each change is a step and steps are
applied in order; the 202 of a message waits until one id holder has the step with the message's id. Performs
no I/O and reads no clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import datetime

from willownotch.replica.books import resend_delay_s
from willownotch.replica.wire import BookConfig

MAX_STEPS = 512  # steps kept for id holders that lag; one further behind gets the whole list
HEARTBEAT_S = 5.0  # between two messages to an id holder that is up to date

Change = tuple[dict[str, datetime], tuple[str, ...]]  # new ids with their deadlines, ended ids


@dataclass(slots=True)
class IdIndex:
    """What an id holder knows of a book. `known_step` is -1 until it has received the whole list."""

    config: BookConfig
    term: int
    heard_at: float
    refs: dict[str, float]  # ids, and their deadlines on this monotonic clock
    known_step: int = -1
    successor_term: int = 0  # of the later owner that `config` names; 0: it names the one that sent the ids
    closed: bool = False  # the book gets no owner any more

    def with_ms_left(self, now: float) -> tuple[tuple[str, int], ...]:
        """Returns the ids with the milliseconds until their deadlines."""
        return tuple((ref, round((at - now) * 1000)) for ref, at in self.refs.items())

    def apply_step(
        self,
        now: float,
        after: int,
        step: int,
        outstanding: tuple[tuple[str, int], ...],
        ended: tuple[str, ...],
    ) -> bool:
        """Applies ids (with ms until their deadlines) that start and end; returns True if earlier steps are
        missing."""
        if self.known_step < after:
            return True
        self.heard_at = now
        if step < self.known_step:
            return False  # a late message; a newer step is known
        if after < 0:
            self.refs.clear()
        self.known_step = step
        for ref in ended:
            self.refs.pop(ref, None)
        for ref, left in outstanding:
            self.refs[ref] = now + left / 1000
        return False


@dataclass(slots=True)
class IdHolder:
    """An id holder as the owner sees it."""

    known_step: int = -1  # last acknowledged step; -1: unknown
    sent: int = -1
    sent_at: float = -1e9
    waiting_since: float | None = None  # since when an acknowledgement is due
    tries: int = 0


@dataclass(slots=True)
class IdLog:
    """The owner's side for one book: its steps, and what each id holder has acknowledged."""

    step: int = 0
    steps: dict[int, Change] = field(default_factory=dict)  # not acknowledged by all id holders
    holders: dict[str, IdHolder] = field(default_factory=dict)
    _new_refs: dict[str, datetime] = field(default_factory=dict)
    _ended_refs: set[str] = field(default_factory=set)
    _awaited: deque[tuple[int, int]] = field(  # steps that promises wait for, and the record before each
        default_factory=lambda: deque(maxlen=MAX_STEPS)
    )

    def note(self, added: dict[str, datetime], gone: list[str]) -> None:
        """Collects ids that become outstanding, and ids that end, for the next step."""
        self._new_refs.update(added)
        for ref in gone:
            if self._new_refs.pop(ref, None) is None:
                self._ended_refs.add(ref)

    def flush(self, before: int | None = None) -> None:
        """Makes one step of the collected changes. Promises of records behind `before` wait for it."""
        if not self._new_refs and not self._ended_refs:
            return
        self.step += 1
        self.steps[self.step] = self._new_refs, tuple(self._ended_refs)
        self._new_refs, self._ended_refs = {}, set()
        if before is not None and self.holders:
            self._awaited.append((self.step, before))
        least = min((k.known_step for k in self.holders.values()), default=self.step)
        while self.steps and ((first := next(iter(self.steps))) <= least or len(self.steps) > MAX_STEPS):
            del self.steps[first]

    def set_holders(self, names: list[str]) -> list[str]:
        """Sets the id holders; returns those that were removed."""
        if not names:
            self._awaited.clear()  # no id holder is left to wait for
        gone = [name for name in self.holders if name not in names]
        for name in gone:
            del self.holders[name]
        for name in names:
            self.holders.setdefault(name, IdHolder())
        return gone

    def is_due(self, now: float, name: str) -> bool:
        """Whether a message to an id holder is due."""
        holder = self.holders[name]
        if 0 <= holder.sent < self.step:
            return True
        wait = resend_delay_s(holder.tries) if holder.known_step < self.step else HEARTBEAT_S
        return now - holder.sent_at >= wait

    def next_changes(self, now: float, name: str) -> tuple[int, Change] | None:
        """Returns the step that an id holder has and the changes since, or None if it needs the whole
        list."""
        holder = self.holders[name]
        if (
            holder.sent >= self.step > holder.known_step
        ):  # no acknowledgement: resend from the last acknowledged step
            holder.sent, holder.tries = holder.known_step, min(holder.tries + 1, 8)
        after, holder.sent, holder.sent_at = holder.sent, self.step, now
        if holder.waiting_since is None:
            holder.waiting_since = now
        if after < 0 or any(n not in self.steps for n in range(after + 1, self.step + 1)):
            return None
        outstanding: dict[str, datetime] = {}
        ended: dict[str, None] = {}
        for n in range(after + 1, self.step + 1):
            added, gone = self.steps[n]
            for ref in gone:
                outstanding.pop(ref, None)
                ended[ref] = None
            outstanding.update(added)
        return after, (outstanding, tuple(ended))

    def on_ack(self, now: float, name: str, known_step: int, missed: bool) -> None:
        """Handles an acknowledgement up to `known_step`; `missed` asks for the steps behind it again."""
        holder = self.holders.get(name)
        if holder is None or known_step > self.step:
            return
        if known_step > holder.known_step:
            holder.waiting_since = now
        if known_step >= self.step:
            holder.waiting_since = None
        if missed:
            holder.sent, holder.sent_at = known_step, -1e9  # resend at once
        holder.known_step, holder.tries = known_step if missed else max(known_step, holder.known_step), 0

    def promise_limit(self, now: float, patience: float) -> int | None:
        """Returns the record up to which an id holder knows the ids.

        None means no limit: all steps are acknowledged, or no id holder has answered within `patience`
        seconds, so that promises do not wait for unresponsive members.
        """
        best = max((k.known_step for k in self.holders.values()), default=-1)
        while self._awaited and self._awaited[0][0] <= best:
            self._awaited.popleft()
        if not self._awaited:
            return None
        answering = any(
            k.known_step >= 0 and (k.waiting_since is None or now - k.waiting_since <= patience)
            for k in self.holders.values()
        )
        return self._awaited[0][1] if answering else None
