"""Other policies behind the decision module's interface, from their published descriptions, to be beaten.

All share `Plain`: it holds messages, heeds drains, waits, key order, slots and the holding room, picks the
endpoint with the fewest calls out, gives each message its answer, and repeats only what its class allows.
They differ in how much may be out at a destination, and in when another attempt is made.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf, sqrt

from willownotch import interface as api
from willownotch.control import Controller
from willownotch.interface import Idempotency, Outcome, Readiness
from willownotch.repeats import RAN_BY_OUTCOME
from willownotch.state import Ran

TICK_S, LABEL = 0.02, 1
TIME_OUT_S = 3.0  # for a call: a fixed one, as most clients have
COME_BACK_S = 0.5
ENDS_BEFORE_S = 0.1


@dataclass(slots=True)
class Job:
    """A message in hand."""

    message: api.Message
    cls: api.MessageClass
    ends_at: float
    came_at: float
    order: int
    runs: list[Ran] = field(default_factory=list)
    first_risky_at: float | None = None
    not_before: float = 0.0
    failures: int = 0


@dataclass(slots=True)
class Destination:
    """What is known of one destination."""

    number: int
    endpoints: dict[int, int] = field(default_factory=dict)  # calls out at each
    waiting: deque[Job] = field(default_factory=deque)
    out: int = 0
    wait_until: float = 0.0
    limit: float = inf  # calls out at once, for those policies that have one
    cut_at: float = -inf
    least_s: float = inf
    mean_s: float = 0.0
    over_since: float | None = None  # CoDel: sojourns are above the target since
    drops: int = 0
    drop_at: float = 0.0


class Plain:
    """What all have in common, and by itself the single try."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random, self.now = settings, random.Random(seed), 0.0
        self.jobs: dict[str, Job] = {}
        self.dests: dict[int, Destination] = {}
        self.where: dict[int, int] = {}  # destination of an endpoint
        self.calls: dict[tuple[str, int], tuple[float, int]] = {}  # began, endpoint
        self.keys: dict[str, list[Job]] = {}
        self.quiet: dict[str, float] = {}
        self.out: list[api.Action] = []
        self.later: list[tuple[float, int, Job]] = []
        self._order = 0
        self.slots = settings.slots

    # Hooks

    def may_start(self, dest: Destination) -> bool:
        """Whether one more call may be out at a destination."""
        return dest.out < dest.limit

    def heard(self, dest: Destination, event: api.AttemptEnded) -> None:
        """An attempt has ended."""

    def delay(self, job: Job) -> float | None:
        """How long until the next attempt of a message that failed; None for never."""
        return None

    def look(self, dest: Destination) -> None:
        """Before messages are taken from a destination's queue."""

    # The round

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take a round of events, answer with actions."""
        self.now, self.out = now, []
        for event in events:
            if isinstance(event, api.Message):
                self._message(event)
            elif isinstance(event, api.AttemptEnded):
                self._ended(event)
            elif isinstance(event, api.EndpointList):
                self._list(event)
            elif isinstance(event, api.Withdrawn):
                self._forget(self.jobs.get(event.ref))
        while self.later and self.later[0][0] <= now:
            job = heapq.heappop(self.later)[2]
            if job.message.ref in self.jobs:
                self.dests[job.message.destination].waiting.appendleft(job)
        self._overdue()
        for dest in self.dests.values():
            if dest.waiting:
                self.look(dest)
                self._start(dest)
        if self.jobs:
            self.out.append(api.SetTimer(TICK_S, LABEL))
        return self.out

    def _message(self, message: api.Message) -> None:
        cls = self.settings.classes[message.message_class]
        if len(self.jobs) >= self.settings.holding_room:
            self.out.append(api.Refuse(message.ref, COME_BACK_S))
            return
        self._order += 1
        job = Job(message, cls, self.now + message.time_left_s, self.now, self._order)
        for past in message.past:
            job.runs.append(Ran.MAYBE if past.may_have_run else Ran.NEVER)
            if past.may_have_run and job.first_risky_at is None:
                job.first_risky_at = self.now - past.sent_ago_s
        if Ran.MAYBE in job.runs and message.key is not None:
            self.quiet[message.key] = self.now + self.settings.rules.key_quiet_s
        self.jobs[message.ref] = job
        if message.key is not None and cls.in_order:
            self.keys.setdefault(message.key, []).append(job)
        self.dests.setdefault(message.destination, Destination(message.destination)).waiting.append(job)

    def _list(self, event: api.EndpointList) -> None:
        if event.whole:
            for dest in self.dests.values():
                dest.endpoints.clear()
        for entry in event.entries:
            dest = self.dests.setdefault(entry.destination, Destination(entry.destination))
            self.where[entry.number] = entry.destination
            if entry.readiness is Readiness.SERVING:
                dest.endpoints.setdefault(entry.number, 0)
            else:
                dest.endpoints.pop(entry.number, None)

    def _may_send(self, job: Job) -> bool:
        if len(job.runs) >= self.settings.max_attempts or Ran.OUTSTANDING in job.runs:
            return False
        if job.first_risky_at is None or job.cls.idempotency is Idempotency.SAFE:
            return True
        return (
            job.cls.idempotency is Idempotency.KEYED
            and self.now < job.first_risky_at + job.cls.dedup_window_s
        )

    def _first_of_key(self, job: Job) -> bool:
        key = job.message.key
        if key is None or not job.cls.in_order:
            return True
        return self.keys[key][0] is job and self.now >= self.quiet.get(key, 0.0)

    def _start(self, dest: Destination) -> None:
        kept: deque[Job] = deque()
        while dest.waiting:
            shut = not dest.endpoints or self.now < dest.wait_until
            if self.slots <= 0 or shut or not self.may_start(dest):
                break
            job = dest.waiting.popleft()
            if job.message.ref not in self.jobs:
                continue
            if not self._may_send(job):
                self._give_up(job)
            elif not self._first_of_key(job):
                kept.append(job)
            else:
                self._send(dest, job)
        dest.waiting.extendleft(reversed(kept))

    def _send(self, dest: Destination, job: Job) -> None:
        least = min(dest.endpoints.values())
        endpoint = self.random.choice([n for n, out in dest.endpoints.items() if out == least])
        dest.endpoints[endpoint] += 1
        dest.out += 1
        self.slots -= 1
        self.calls[job.message.ref, len(job.runs)] = self.now, endpoint
        job.runs.append(Ran.OUTSTANDING)
        left = job.ends_at - ENDS_BEFORE_S - self.now
        self.out.append(api.Send(job.message.ref, endpoint, max(0.01, min(TIME_OUT_S, left))))

    def _ended(self, event: api.AttemptEnded) -> None:
        began, endpoint = self.calls.pop((event.ref, event.attempt), (0.0, -1))
        dest = self.dests.get(self.where.get(endpoint, -1))
        if dest is None:
            return
        self.slots += 1
        dest.out -= 1
        if endpoint in dest.endpoints:
            dest.endpoints[endpoint] = max(0, dest.endpoints[endpoint] - 1)
        dest.wait_until = max(dest.wait_until, self.now + event.wait_s)
        self.heard(dest, event)
        job = self.jobs.get(event.ref)
        if job is None:
            return
        job.runs[event.attempt] = RAN_BY_OUTCOME[event.outcome]
        if job.runs[event.attempt] is not Ran.NEVER and job.first_risky_at is None:
            job.first_risky_at = began
        if event.outcome in (Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED) and job.message.key:
            self.quiet[job.message.key] = self.now + self.settings.rules.key_quiet_s
        if event.final or event.outcome is Outcome.DELIVERED:
            self._forget(job)
            return
        job.failures += 1
        wait = self.delay(job)
        if wait is None or not self._may_send(job) or self.now + wait > job.ends_at - ENDS_BEFORE_S:
            self._give_up(job)
        else:
            heapq.heappush(self.later, (self.now + wait, job.order, job))

    def _overdue(self) -> None:
        for job in [j for j in self.jobs.values() if self.now >= j.ends_at - ENDS_BEFORE_S / 2]:
            self._give_up(job)

    def _give_up(self, job: Job) -> None:
        """Its final answer, at once: handed back where a repeat does no harm."""
        risky = [ran for ran in job.runs if ran is not Ran.NEVER]
        harmless = (
            not risky
            or job.cls.idempotency is Idempotency.SAFE
            or (job.cls.idempotency is Idempotency.KEYED and Ran.OUTSTANDING not in job.runs)
        )
        if harmless:
            self.out.append(api.Refuse(job.message.ref, COME_BACK_S))
        else:
            self.out.append(api.Fail(job.message.ref))
        self._forget(job)

    def _forget(self, job: Job | None) -> None:
        if job is None or self.jobs.pop(job.message.ref, None) is None:
            return
        key = job.message.key
        if key is not None and job.cls.in_order:
            self.keys[key].remove(job)
            if not self.keys[key]:
                del self.keys[key]


class Backoff(Plain):
    """Retries with exponential back-off and full jitter (Brooker, "Exponential Backoff and Jitter", 2015)."""

    base_s, most_s = 0.1, 5.0

    def delay(self, job: Job) -> float | None:
        """A random time up to a cap that doubles."""
        return self.random.uniform(0, min(self.most_s, self.base_s * 2 ** min(job.failures, 16)))


class Aimd(Backoff):
    """Additive increase, multiplicative decrease of the calls out at a destination (Chiu and Jain, 1989)."""

    start, least, cut, rest_s = 4.0, 1.0, 0.5, 0.5

    def may_start(self, dest: Destination) -> bool:
        """Within the window."""
        dest.limit = self.start if dest.limit == inf else dest.limit
        return dest.out < dest.limit

    def heard(self, dest: Destination, event: api.AttemptEnded) -> None:
        """One more for each window of successes; half after a failure, once in a while."""
        limit = self.start if dest.limit == inf else dest.limit
        if event.outcome is Outcome.DELIVERED:
            dest.limit = limit + 1 / limit
        elif self.now - dest.cut_at >= self.rest_s:
            dest.limit, dest.cut_at = max(self.least, limit * self.cut), self.now


class Budget(Backoff):
    """Retries within a budget: a token bucket that first attempts fill (Finagle's RetryBudget: 20% of
    requests, and so many a second at the least)."""

    share, least_per_s, most = 0.2, 0.5, 20.0

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.tokens, self.filled_at = self.most / 2, 0.0

    def _message(self, message: api.Message) -> None:
        self.tokens = min(self.most, self.tokens + self.share)
        super()._message(message)

    def delay(self, job: Job) -> float | None:
        """As by back-off, for a token."""
        self.tokens = min(self.most, self.tokens + (self.now - self.filled_at) * self.least_per_s)
        self.filled_at = self.now
        if self.tokens < 1.0:
            return None
        self.tokens -= 1.0
        return super().delay(job)


class Gradient(Backoff):
    """A limit that follows the ratio of the least to the present latency (Netflix's concurrency-limits,
    Gradient2)."""

    start, least, most, smooth, tolerance, long = 8.0, 1.0, 200.0, 0.2, 1.5, 0.02

    def may_start(self, dest: Destination) -> bool:
        """Within the limit."""
        dest.limit = self.start if dest.limit == inf else dest.limit
        return dest.out < dest.limit

    def heard(self, dest: Destination, event: api.AttemptEnded) -> None:
        """Feed a latency; a failure counts as a call that took as long as a time-out."""
        limit = self.start if dest.limit == inf else dest.limit
        if event.outcome in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.TIMED_OUT):
            dest.limit = max(self.least, limit * 0.9)
            return
        took = event.took_s
        dest.mean_s = took if not dest.mean_s else dest.mean_s + self.long * (took - dest.mean_s)
        if dest.out < limit / 2:
            return
        gradient = max(0.5, min(1.0, self.tolerance * dest.mean_s / max(1e-6, took)))
        fresh = limit * gradient + sqrt(limit)
        dest.limit = max(self.least, min(self.most, limit * (1 - self.smooth) + fresh * self.smooth))


class CoDel(Backoff):
    """CoDel on the holding queue: once messages have waited over the target for an interval, the one at the
    head is refused, then more and more often (Nichols and Jacobson, 2012)."""

    target_s, interval_s, limit_start = 0.5, 1.0, 8.0

    def may_start(self, dest: Destination) -> bool:
        """A fixed number of calls out, so that there is a queue to look at."""
        return dest.out < self.limit_start

    def look(self, dest: Destination) -> None:
        """Drop from the head where the control law says so."""
        head = dest.waiting[0]
        if self.now - head.came_at < self.target_s:
            dest.over_since, dest.drops = None, 0
            return
        if dest.over_since is None:
            dest.over_since, dest.drop_at = self.now, self.now + self.interval_s
        elif self.now >= dest.drop_at:
            dest.drops += 1
            dest.drop_at = self.now + self.interval_s / sqrt(dest.drops)
            if head.message.ref in self.jobs and Ran.OUTSTANDING not in head.runs:
                dest.waiting.popleft()
                self._give_up(head)


POLICIES: dict[str, Callable[[api.Settings, int], object]] = {
    "module": Controller,
    "single try": Plain,
    "back-off": Backoff,
    "aimd": Aimd,
    "retry budget": Budget,
    "gradient": Gradient,
    "codel": CoDel,
}
