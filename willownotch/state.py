"""What the decision module remembers, as plain records; it makes no decisions and has no tuned values."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum
from math import exp, inf

from willownotch.interface import (
    Decay,
    Endpoint,
    EndpointList,
    Message,
    MessageClass,
    PastAttempt,
    Readiness,
    Settings,
)
from willownotch.slow_start import SlowStart, State

SPARE_DESTINATIONS = 64  # without endpoints, that are remembered
DEMAND_MEAN_S = 10.0  # time constant of the average demand for a destination
MIN_DEMAND_SPAN_S = 1.0  # demand is averaged over at least this, or the first message would be a high rate


class Ran(Enum):
    """Whether an attempt may have been executed by its endpoint."""

    NEVER = 0
    MAYBE = 1
    OUTSTANDING = 2


def ewma(old: float | None, new: float, up: float, down: float) -> float:
    """Exponentially weighted moving average with the weight `up` for higher values and `down` for lower."""
    return new if old is None else old + (up if new > old else down) * (new - old)


@dataclass(slots=True)
class Bucket:
    """A token bucket: one token per call, refilled at a rate."""

    tokens: float
    filled_at: float

    def refill(self, rate: float, now: float, capacity: float) -> bool:
        """Refill up to now at `rate` tokens per second; return whether there is a token."""
        self.tokens = min(capacity, self.tokens + rate * (now - self.filled_at))
        self.filled_at = now
        return self.tokens >= 1.0

    def take(self, rate: float, now: float, capacity: float) -> bool:
        """Refill up to now and take a token; return whether there was one."""
        taken = self.refill(rate, now, capacity)
        self.tokens -= taken
        return taken


@dataclass(slots=True)
class FadingSum:
    """A sum that decays exponentially with a time constant."""

    time_constant_s: float
    total: float = 0.0
    updated_at: float = 0.0

    def at(self, now: float) -> float:
        """The decayed sum at time `now`."""
        return self.total * exp((self.updated_at - now) / self.time_constant_s)

    def add(self, amount: float, now: float) -> None:
        """Add an amount, which may be negative; the sum stays at 0 or above."""
        self.total, self.updated_at = max(0.0, self.at(now) + amount), now


@dataclass(slots=True, eq=False)
class Pool:
    """The endpoints that share one limit: all of a destination, or a single one if it has separate routes.

    Holds the state of the concurrency limit and of the pace of calls to them.
    """

    period_began_at: float
    next_at: float = -inf  # the earliest next call under the pace
    calls: int = 0  # in flight
    min_cost: float | None = None  # average latency, s; follows falls faster than rises
    max_rate: float | None = None  # average calls per second; follows rises faster than falls
    mean_rate: float | None = None  # calls per second, idle periods included
    high_latency: float | None = None  # M of the concurrency limit: smoothed maximum of latencies, s
    expected: float = inf  # expected latency: 2 x the calm p99, s
    costs: list[float] = field(default_factory=list)  # latencies of this period, s
    maxima: list[float] = field(default_factory=list)  # maximum latencies of this period, s
    since_maximum: int = 0  # successes since the last maximum
    recent: list[float] = field(default_factory=list)  # latencies of the last successes, s
    calm: list[float] = field(default_factory=list)  # latencies of periods without failures or overload, s
    lower_cut: float = 0.0
    upper_cut: float = inf  # above all priorities until the first step of the cuts
    cut_messages: int = 0  # messages counted since the last step of the cuts; the next three count the same
    top_messages: int = 0
    middle_admitted: int = 0
    middle_rejected: int = 0
    pace: float = inf  # calls per second
    pace_cut_at: float = -inf
    pace_grown_at: float = -inf
    failed_at: float = -inf
    refused_at: float = -inf
    wait_until: float = -inf
    cold_calls: deque[float] = field(default_factory=deque)  # times of calls to possibly cold endpoints
    limit: float = 0.0  # as last reported by an answer or listed, calls per second; 0 if unknown
    mean_limit: float | None = None  # average of the limits that answers report


@dataclass(slots=True, eq=False)
class Route:
    """This sender's view of an endpoint: its list entry, its health and its slow start."""

    entry: Endpoint
    pool: Pool
    last_ok: float
    slow_start: SlowStart = field(default_factory=SlowStart)
    calls: dict[Call, None] = field(default_factory=dict)
    trial: Call | None = None
    score: float = 0.0  # from 0 to 1, of its recent failures
    refusals: int = 0  # since the last delivery
    refused_since: float = -inf
    last_sent: float = -inf
    lost: float = 0.0  # calls counted as lost on idle connections; taken back if it was not the connection
    idle_since: float = -inf  # since when a connection may be open and idle

    @property
    def failing(self) -> bool:
        """Whether the endpoint is judged to be in an outage."""
        return self.slow_start.state is State.FAILING

    @property
    def returned_at(self) -> float | None:
        """The assumed end of its last outage, while its slow start lasts; else None."""
        recovering = self.slow_start.state in (State.RECOVERING, State.SETTLING)
        return self.slow_start.returned_at if recovering else None

    def serving(self) -> bool:
        """Whether the endpoint list allows new calls to it."""
        return self.entry.readiness is Readiness.SERVING


@dataclass(slots=True, eq=False)
class Call:
    """One call in flight, with `left` messages that have no outcome yet."""

    route: Route
    sent_at: float
    left: int = 0
    idle_s: float | None = None  # how long its connection had been idle; None for a new connection
    counted: bool = False  # its silence or its outcome has been counted as evidence
    has_outcome: bool = False  # at least one of its messages has its outcome
    life: int | None = None  # of the endpoint's process that it went to; None if unknown


@dataclass(slots=True, eq=False)
class Job:
    """A message in hand, with its attempts as [call, whether it may have run]."""

    ref: str
    dest: int
    cls: MessageClass
    key: str | None
    received_at: float
    ends_at: float
    wanted_at: float
    worth: float = 0.0
    priority: float = 0.0
    attempts: list[list] = field(default_factory=list)
    finished: bool = False
    counted: bool = False  # counted for the next step of its pool's cuts
    over_share: bool = False  # it was above its tenant's quota when it was accepted

    def risky(self) -> list[list]:
        """Attempts that may have run or are still out; they decide whether a repeat is allowed."""
        return [a for a in self.attempts if a[1] is not Ran.NEVER]

    def outstanding(self) -> int:
        """The number of attempts without an outcome."""
        return sum(a[1] is Ran.OUTSTANDING for a in self.attempts)

    def worth_at(self, when: float, decay: Decay) -> float:
        """What a delivery at the time `when` is worth."""
        late = when - self.wanted_at
        if late <= 0:
            return self.worth
        if decay is Decay.BY_HALF:
            return self.worth * max(self.cls.late_share, 0.5 ** (late / self.cls.wanted_s))
        return self.worth * (1 - (1 - self.cls.late_share) * min(1.0, late / (self.ends_at - self.wanted_at)))


@dataclass(slots=True, eq=False)
class Destination:
    """A destination as a whole: its routes, its held messages and its calls in flight."""

    routes: dict[int, Route] = field(default_factory=dict)
    held: dict[str, Job] = field(default_factory=dict)
    pool: Pool | None = None  # shared by its endpoints, unless they are separate routes
    calls: int = 0
    degraded: bool = False  # as of the last dispatch
    demand: FadingSum | None = None  # messages handed in for the first time
    demand_since: float = 0.0

    def demand_rate(self, now: float) -> float:
        """New messages per second in recent time."""
        if self.demand is None:
            return 0.0
        seen_share = 1.0 - exp(-max(MIN_DEMAND_SPAN_S, now - self.demand_since) / self.demand.time_constant_s)
        return self.demand.at(now) / (self.demand.time_constant_s * seen_share)

    def restore_demand(self, per_s: float, now: float) -> None:
        """Start from the demand that the previous process recorded."""
        if self.demand is None:
            self.demand, self.demand_since = FadingSum(DEMAND_MEAN_S, per_s * DEMAND_MEAN_S, now), -inf

    def add_demand(self, now: float) -> None:
        """Count one new message."""
        if self.demand is None:
            self.demand, self.demand_since = FadingSum(DEMAND_MEAN_S), now
        self.demand.add(1.0, now)


def job_of(message: Message, cls: MessageClass, now: float, backdated: bool) -> Job:
    """The job of a new message. `backdated`: its wanted time began at its first hand-in, not now."""
    ends_at = now + message.time_left_s
    began_at = ends_at - cls.deadline_s if backdated else now
    wanted_at = began_at + cls.wanted_s + cls.cost_hint_factor * message.cost_hint_s
    key = message.key if cls.in_order else None
    return Job(
        message.ref,
        message.destination,
        cls,
        key,
        now,
        ends_at,
        min(wanted_at, ends_at),
        worth=cls.worth,
        over_share=message.over_share,
    )


class Store:
    """All messages in hand, the endpoint list and the calls in flight.

    A job is kept until it is answered and none of its attempts is out.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.jobs: dict[str, Job] = {}
        self.accepted_before: set[str] = set()  # ids of those jobs that came with their acceptance
        self.destinations: dict[int, Destination] = {}
        self.routes: dict[int, Route] = {}
        self.gone: dict[int, Route] = {}  # no longer listed, but still with calls or a wait
        self.key_queues: dict[str, deque[Job]] = {}  # by key, its jobs in order of arrival
        self.active: dict[int, Destination] = {}  # with held jobs or calls: only these are visited each round
        self.slots_used = 0
        self._max_destinations = SPARE_DESTINATIONS  # before those without endpoints are forgotten

    def update(self, news: EndpointList, now: float) -> list[Route]:
        """Apply an update of the endpoint list and return the routes that it names.

        Routes that a whole list leaves out are gone, and are forgotten once they are idle. The cost of a
        partial update depends only on the entries that it names and on routes gone but not idle.
        """
        named = [self._update_entry(entry, now) for entry in news.entries]
        if news.whole:
            listed = {entry.number for entry in news.entries}
            for number, route in self.routes.items():
                if number not in listed:
                    route.entry = replace(route.entry, readiness=Readiness.GONE)
                    self.gone[number] = route
        for number, route in list(self.gone.items()):
            if not route.calls and now >= route.pool.wait_until:
                self._forget(number)
        self._forget_empty_destinations()
        return named

    def _forget_empty_destinations(self) -> None:
        """Remove destinations without endpoints, messages or calls, once there are many of them.

        Some are kept: a destination that comes back has the limits that were reported for it.
        """
        if len(self.destinations) <= self._max_destinations:
            return
        listed = {route.entry.destination for route in self.routes.values()}
        for number in self.destinations.keys() - listed - self.active.keys():
            del self.destinations[number]
        self._max_destinations = 2 * len(self.destinations) + SPARE_DESTINATIONS

    def _update_entry(self, entry: Endpoint, now: float) -> Route:
        """The route of a list entry, known or new. An endpoint that changes destination gets a new route."""
        route = self.routes.get(entry.number)
        if route is not None and route.entry.destination != entry.destination:
            self._forget(entry.number)
            route = None
        if route is None:
            dest = self.destinations.setdefault(entry.destination, Destination())
            separate = self.settings.kinds[entry.kind].separate_routes
            pool = Pool(now) if separate or dest.pool is None else dest.pool
            dest.pool = None if separate else pool  # kept when its endpoints go: it has the reported limits
            route = self.routes[entry.number] = dest.routes[entry.number] = Route(entry, pool, now)
        route.entry = entry
        if entry.readiness is Readiness.GONE:
            self.gone[entry.number] = route
        else:
            self.gone.pop(entry.number, None)
        return route

    def _forget(self, number: int) -> None:
        """Remove a route; calls in flight to it still end as usual."""
        route = self.routes.pop(number)
        del self.destinations[route.entry.destination].routes[number]
        self.gone.pop(number, None)

    def in_pool(self, route: Route) -> list[Route]:
        """The routes in the pool of this one, itself among them while it is listed."""
        routes = self.destinations[route.entry.destination].routes.values()
        return [r for r in routes if r.pool is route.pool]

    def add(self, job: Job, accepted_before: bool = False) -> None:
        """Hold a new job. `accepted_before`: by a former process or by another sender."""
        self.jobs[job.ref] = job
        if accepted_before:
            self.accepted_before.add(job.ref)
        self.hold(job)
        if job.key is not None:
            self.key_queues.setdefault(job.key, deque()).append(job)

    def hold(self, job: Job) -> None:
        """Add a job to those of its destination that wait to be sent."""
        dest = self.active[job.dest] = self.destinations.setdefault(job.dest, Destination())
        dest.held[job.ref] = job

    def restore_attempts(self, job: Job, past: tuple[PastAttempt, ...], now: float) -> None:
        """Add attempts from before a restart; they take no slot and get no outcome."""
        for attempt in past:
            route = self.routes.get(attempt.endpoint)
            if route is None:  # no longer listed: a route outside any destination stands in for it
                route = Route(Endpoint(attempt.endpoint, job.dest, 0, -1, Readiness.GONE), Pool(now), now)
            call = Call(route, now - attempt.sent_ago_s, counted=True, has_outcome=True)
            job.attempts.append([call, Ran.MAYBE if attempt.may_have_run else Ran.NEVER])

    def deactivate_if_idle(self, number: int) -> None:
        """Remove a destination from the active ones once it has neither held jobs nor calls."""
        if not self.destinations[number].held and not self.destinations[number].calls:
            self.active.pop(number, None)

    def open_call(self, route: Route, now: float) -> Call:
        """Start a call, which takes a slot."""
        call = Call(route, now, life=route.entry.life)
        self.slots_used += 1
        dest = self.active[route.entry.destination] = self.destinations[route.entry.destination]
        dest.calls += 1
        route.pool.calls += 1
        route.calls[call], route.last_sent = None, now
        return call

    def add_to_call(self, job: Job, call: Call) -> None:
        """Put a held job into a call."""
        call.left += 1
        job.attempts.append([call, Ran.OUTSTANDING])
        self.destinations[job.dest].held.pop(job.ref, None)

    def release(self, call: Call) -> None:
        """Record the outcome of one of a call's messages; the last one frees the slot."""
        call.left -= 1
        if call.left == 0:
            self.slots_used -= 1
            self.destinations[call.route.entry.destination].calls -= 1
            call.route.pool.calls -= 1
            del call.route.calls[call]
            if call.route.trial is call:
                call.route.trial = None
            self.deactivate_if_idle(call.route.entry.destination)

    def finish(self, job: Job) -> None:
        """Mark a job as answered: nothing more is sent for it; it is kept until its attempts end."""
        job.finished = True
        self.destinations[job.dest].held.pop(job.ref, None)
        self.deactivate_if_idle(job.dest)
        if not job.outstanding():
            self.jobs.pop(job.ref, None)
            self.accepted_before.discard(job.ref)
            queue = self.key_queues.get(job.key, ())
            if job in queue:
                queue.remove(job)
                if not queue:
                    del self.key_queues[job.key]
