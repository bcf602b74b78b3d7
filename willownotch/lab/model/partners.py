"""Partner systems: endpoints with queues and workers, rate limits, cold starts, and what strikes them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from willownotch.interface import Outcome, Readiness
from willownotch.lab.model.scenario import Partners
from willownotch.lab.model.world import Draws, World

QUEUE = 4  # calls that wait at an endpoint, for each of its workers
SERVICE_SPREAD = 0.25  # of a call's time, log-normal
COLD_SHARE, COLD_S = 0.18, 14.0  # of its capacity right after an outage; until it is whole again
FALL_TIMES, FALL_S, FALL_DOWN_S = 2.0, 2.0, 8.0  # x what it can do, for so long; then it is down for so long
LIMIT_BURST_S = 1.0  # of a limit that may come at once


class State(Enum):
    """How an endpoint treats calls."""

    WELL = "well"
    SILENT = "silent"
    HANGS = "hangs"
    SHUT = "shut"  # every call is turned away
    GONE = "gone"  # nobody listens


@dataclass(slots=True)
class Answer:
    """What a call's sender hears."""

    outcome: Outcome
    wait_s: float = 0.0
    room_left: float | None = None
    limit_per_s: float | None = None


@dataclass(slots=True)
class Call:
    """One attempt on its way. `hear` is None once nobody listens for the answer any more."""

    ref: str
    sender: int
    attempt: int
    takes_s: float
    hear: Callable[[Answer], None] | None
    began: bool = False  # it may have had its effect


@dataclass(slots=True)
class Endpoint:
    """One endpoint: so many workers, and a queue before them."""

    number: int
    partner: Partner
    workers: int
    state: State = State.WELL
    readiness: Readiness = Readiness.SERVING
    busy: int = 0
    queue: deque[Call] = field(default_factory=deque)
    age: int = 0  # outages so far: calls from before one never answer


@dataclass(slots=True)
class Limit:
    """A plain rate over all senders: a bucket that fills."""

    per_s: float
    refused_count: bool
    left: float = 0.0
    filled_at: float = 0.0
    cut: float = 1.0

    def rate(self) -> float:
        """Calls a second, as things are."""
        return self.per_s / self.cut

    def take(self, now: float) -> bool:
        """Whether a call is within it."""
        most = max(1.0, self.rate() * LIMIT_BURST_S)
        self.left = min(most, self.left + (now - self.filled_at) * self.rate())
        self.filled_at = now
        if self.left >= 1.0:
            self.left -= 1.0
            return True
        if self.refused_count:
            self.left = max(-most, self.left - 1.0)
        return False


class Partner:
    """A partner system. `on_fall` hears when it is pushed over while cold, with who sent how much."""

    def __init__(
        self,
        world: World,
        number: int,
        kind: str,
        block: Partners,
        share: float,
        full_rate: float,
        takes_s: float,
        draws: Draws,
        errors: float,
        report_s: tuple[float, float],
    ) -> None:
        self.world, self.number, self.kind, self.block = world, number, kind, block
        self.share, self.draws, self.errors = share, draws, errors
        self.pace = draws.uniform(0.6, 1.6)  # x the usual time of a call
        wanted = full_rate * takes_s * self.pace * draws.uniform(block.room_low, block.room_high)
        count = 1 + (wanted > 1.5) + (wanted > 4) + (wanted > 8)
        workers = max(1, round(wanted / count + 0.5))
        self.endpoints = [Endpoint(-1, self, workers) for _ in range(count)]
        self.limit: Limit | None = None
        if block.limit:
            per_s = max(block.limit_least, full_rate * draws.uniform(block.limit_low, block.limit_high))
            self.limit = Limit(per_s, bool(block.refused_count), per_s)
        self.usual_takes_s = takes_s * self.pace
        self.slow, self.resets = 1.0, 0.0
        self.back_at = -inf  # when its last outage ended
        self.down = False
        self.refusing = False
        self.report_s = draws.uniform(*report_s)
        self._report: tuple[float, float, float] = (-inf, 0.0, 0.0)  # when made, room left, limit
        self._arrivals: deque[tuple[float, int]] = deque()  # of the last seconds while cold: when, who
        self.out_at = -inf  # when its last outage began
        self.on_fall: Callable[[Partner, list[int]], None] = lambda partner, senders: None
        self.began: Callable[[Call], None] = lambda call: None
        self.turned_away = self.taken = 0

    def capacity(self) -> float:
        """Calls a second that it can do at this moment."""
        workers = sum(e.workers for e in self.endpoints if e.state is State.WELL)
        return self.warmth() * workers / (self.usual_takes_s * self.slow)

    def warmth(self) -> float:
        """Share of its capacity: from a small one right after an outage to all of it."""
        since = self.world.now - self.back_at
        return 1.0 if since >= COLD_S else COLD_SHARE + (1 - COLD_SHARE) * since / COLD_S

    def arrive(self, endpoint: Endpoint, call: Call) -> None:
        """A call's first byte is here."""
        state = endpoint.state
        if state is State.GONE:
            self._tell(call, Outcome.UNREACHABLE)
            return
        if state is State.SILENT or self.down:
            return
        self._watch_cold(call)
        if self.down:
            return
        if self.resets and self.draws.chance(self.resets):
            call.began = self.draws.chance(0.5)
            if call.began:
                self.began(call)
            self._tell(call, Outcome.BROKEN)
            return
        shut = state is State.SHUT or self.refusing
        over = not shut and self.limit is not None and not self.limit.take(self.world.now)
        full = endpoint.busy >= self._workers(endpoint) and len(endpoint.queue) >= QUEUE * endpoint.workers
        if shut or over or full:
            self._turn_away(call)
        else:
            endpoint.queue.append(call)
            self._work(endpoint)

    def _workers(self, endpoint: Endpoint) -> int:
        return max(1, round(endpoint.workers * self.warmth()))

    def _work(self, endpoint: Endpoint) -> None:
        while endpoint.queue and endpoint.busy < self._workers(endpoint):
            call = endpoint.queue.popleft()
            endpoint.busy += 1
            call.began = True
            self.began(call)
            takes = self.draws.around(call.takes_s * self.pace * self.slow, SERVICE_SPREAD)
            self.world.after(takes, self._done, endpoint, call, endpoint.age)

    def _done(self, endpoint: Endpoint, call: Call, age: int) -> None:
        if age != endpoint.age:
            return  # it went down with the outage
        endpoint.busy -= 1
        self.taken += 1
        if endpoint.state is not State.HANGS:
            failed = self.errors and self.draws.chance(self.errors)
            self._tell(call, Outcome.ERROR if failed else Outcome.DELIVERED)
        self._work(endpoint)

    def _turn_away(self, call: Call) -> None:
        self.turned_away += 1
        wait = 0.0
        if self.block.tells_wait and self.limit is not None:
            wait = max(0.0, 1.0 - self.limit.left) / self.limit.rate()
        self._tell(call, Outcome.REJECTED, wait)

    def _tell(self, call: Call, outcome: Outcome, wait_s: float = 0.0) -> None:
        if call.hear is None:
            return
        room = limit = None
        if self.limit is not None and outcome in (Outcome.DELIVERED, Outcome.ERROR, Outcome.REJECTED):
            made, room, limit = self._report
            if self.world.now - made >= self.report_s:
                rate = self.limit.rate()
                room = max(0.0, min(1.0, self.limit.left / max(1.0, rate * LIMIT_BURST_S)))
                limit = rate
                self._report = self.world.now, room, limit
        call.hear(Answer(outcome, wait_s, room, limit))

    # What strikes it

    def outage(self, state: State) -> None:
        """All endpoints are silent, hang or are gone. What ran is lost, unless it hangs."""
        self.out_at = self.world.now
        for endpoint in self.endpoints:
            endpoint.state = state
            if state is not State.HANGS:
                self._drop(endpoint)

    def over(self) -> None:
        """The outage is over: it comes back cold."""
        self.down = False
        self.back_at = self.world.now
        self._arrivals.clear()
        for endpoint in self.endpoints:
            if endpoint.state is State.HANGS:
                self._drop(endpoint)  # what it took meanwhile is never answered
            endpoint.state = State.WELL
        for step in range(1, 8):  # workers come back one after the other
            self.world.after(COLD_S * step / 7, self._rewarm)

    def _rewarm(self) -> None:
        for endpoint in self.endpoints:
            if endpoint.state is State.WELL:
                self._work(endpoint)

    @staticmethod
    def _drop(endpoint: Endpoint) -> None:
        endpoint.age += 1
        endpoint.busy = 0
        endpoint.queue.clear()

    def _watch_cold(self, call: Call) -> None:
        """Whether it is sent more, for long enough, than it can do: then it falls over."""
        now = self.world.now
        if now - self.back_at >= COLD_S:
            return
        self._arrivals.append((now, call.sender))
        while self._arrivals[0][0] < now - FALL_S:
            self._arrivals.popleft()
        if now - self.back_at >= FALL_S and len(self._arrivals) / FALL_S > max(
            2 / FALL_S, FALL_TIMES * self.capacity()
        ):
            self.down = True
            self.on_fall(self, [sender for _, sender in self._arrivals])
            for endpoint in self.endpoints:
                self._drop(endpoint)
            self.world.after(FALL_DOWN_S, self.over)
