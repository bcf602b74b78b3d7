"""What the decision module remembers, as plain records; it decides nothing and holds no tuned value."""

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

DEMAND_S = 10.0  # what is wanted of a destination is averaged over so long
DEMAND_LEAST_S = 1.0  # the first message tells no higher rate than one in this


class Ran(Enum):
    """What an attempt may have done."""

    NEVER = 0
    MAYBE = 1
    OUTSTANDING = 2


def follow(old: float | None, new: float, up: float, down: float) -> float:
    """An average that leans to one side: `up` is its step for a higher value, `down` for a lower."""
    return new if old is None else old + (up if new > old else down) * (new - old)


@dataclass(slots=True)
class Bucket:
    """An allowance of calls that fills at a rate."""

    left: float
    filled_at: float

    def fill(self, rate: float, now: float, most: float) -> bool:
        """Fill up to now; whether one is left."""
        self.left = min(most, self.left + rate * (now - self.filled_at))
        self.filled_at = now
        return self.left >= 1.0


@dataclass(slots=True)
class Fading:
    """A sum that fades with a time constant."""

    over_s: float
    total: float = 0.0
    added_at: float = 0.0

    def at(self, now: float) -> float:
        """The sum as of now."""
        return self.total * exp((self.added_at - now) / self.over_s)

    def add(self, amount: float, now: float) -> None:
        """Add to it; it does not fall below nothing."""
        self.total, self.added_at = max(0.0, self.at(now) + amount), now


@dataclass(slots=True, eq=False)
class Unit:
    """What shares a limit: a destination, or one route where routes are apart."""

    period_at: float
    next_at: float = -inf  # the next call that the pace lets go
    calls: int = 0  # in flight
    min_cost: float | None = None  # seconds
    max_rate: float | None = None  # calls a second
    mean_rate: float | None = None  # calls a second, empty spans counted
    measured: float | None = None  # the design's M
    expected: float = inf
    costs: list[float] = field(default_factory=list)  # of this period, as are the maxima
    maxima: list[float] = field(default_factory=list)
    since: int = 0  # successes since the last maximum
    last: list[float] = field(default_factory=list)
    calm: list[float] = field(default_factory=list)
    lower: float = 0.0
    upper: float = inf  # as high as the cuts go, until their first step
    seen: int = 0  # jobs counted for the next step of the cuts, as are the next three
    top: int = 0
    passed: int = 0
    missed: int = 0
    pace: float = inf  # calls a second
    cut_at: float = -inf
    grown_at: float = -inf
    failed_at: float = -inf
    refused_at: float = -inf
    wait_until: float = -inf
    cold_calls: deque[float] = field(default_factory=deque)  # times of the last ones to what may be cold
    told_limit: float = 0.0
    mean_limit: float | None = None  # of those that answers told


@dataclass(slots=True, eq=False)
class Route:
    """An endpoint as seen from here: its entry, its health and its slow start."""

    entry: Endpoint
    unit: Unit
    last_ok: float
    slow_start: SlowStart = field(default_factory=SlowStart)
    calls: dict[Call, None] = field(default_factory=dict)
    trial: Call | None = None
    sick: float = 0.0
    refusals: int = 0  # since the last answer, and since when
    refused_since: float = -inf
    last_sent: float = -inf
    lost: float = 0.0  # calls counted as lost on idle connections here, unless it turns out otherwise
    idle_at: float = -inf  # since when a connection may be open and idle

    @property
    def failing(self) -> bool:
        """Whether it is taken for out."""
        return self.slow_start.state is State.FAILING

    @property
    def back_at(self) -> float | None:
        """The assumed end of its last outage while its calls are bound by that."""
        bound = self.slow_start.state in (State.RECOVERING, State.SETTLING)
        return self.slow_start.returned_at if bound else None

    def serving(self) -> bool:
        """Whether the list lets new work go there."""
        return self.entry.readiness is Readiness.SERVING


@dataclass(slots=True, eq=False)
class Call:
    """One call in flight: `left` messages lack their outcome.

    `judged`: it no longer counts as silent; `heard`: its first outcome has come.
    """

    route: Route
    sent_at: float
    left: int = 0
    idle_s: float | None = None  # how long its connection had been idle; None for a new one
    judged: bool = False
    heard: bool = False


@dataclass(slots=True, eq=False)
class Job:
    """A message in hand, with its attempts as [call, what it may have done]."""

    ref: str
    dest: int
    cls: MessageClass
    key: str | None
    came_at: float
    ends_at: float
    wanted_at: float
    worth: float = 0.0
    priority: float = 0.0
    attempts: list[list] = field(default_factory=list)
    over: bool = False
    judged: bool = False  # counted for its unit's cuts

    def tainted(self) -> list[list]:
        """Attempts that may have run or are still out: all questions on repeats ask for these."""
        return [a for a in self.attempts if a[1] is not Ran.NEVER]

    def outstanding(self) -> int:
        """How many attempts still lack their outcome."""
        return sum(a[1] is Ran.OUTSTANDING for a in self.attempts)

    def worth_at(self, when: float, decay: Decay) -> float:
        """Worth still to be won if delivered at that time, as the settings count it."""
        late = when - self.wanted_at
        if late <= 0:
            return self.worth
        if decay is Decay.BY_HALF:
            return self.worth * max(self.cls.late_share, 0.5 ** (late / self.cls.wanted_s))
        return self.worth * (1 - (1 - self.cls.late_share) * min(1.0, late / (self.ends_at - self.wanted_at)))


@dataclass(slots=True, eq=False)
class Destination:
    """A destination as a whole: its routes, its held jobs, its calls in flight."""

    routes: dict[int, Route] = field(default_factory=dict)
    held: dict[str, Job] = field(default_factory=dict)
    unit: Unit | None = None  # what its endpoints share, unless they are routes apart
    calls: int = 0
    sick: bool = False  # as of the last dispatch
    demand: Fading | None = None  # messages that were handed in for it the first time
    demand_since: float = 0.0

    def wanted(self, now: float) -> float:
        """Messages a second that were handed in for it lately."""
        if self.demand is None:
            return 0.0
        seen = 1.0 - exp(-max(DEMAND_LEAST_S, now - self.demand_since) / self.demand.over_s)
        return self.demand.at(now) / (self.demand.over_s * seen)

    def restore_demand(self, per_s: float, now: float) -> None:
        """Go on from what a process before this one was handed."""
        if self.demand is None:
            self.demand, self.demand_since = Fading(DEMAND_S, per_s * DEMAND_S, now), -inf

    def add_demand(self, now: float) -> None:
        """One more was handed in."""
        if self.demand is None:
            self.demand, self.demand_since = Fading(DEMAND_S), now
        self.demand.add(1.0, now)


def job_of(message: Message, cls: MessageClass, now: float, dated_back: bool) -> Job:
    """The record of a new message on this sender's clock, dated back to its first hand-in or not."""
    ends_at = now + message.time_left_s
    began_at = ends_at - cls.deadline_s if dated_back else now
    wanted_at = began_at + cls.wanted_s + cls.cost_hint_factor * message.cost_hint_s
    key = message.key if cls.in_order else None
    return Job(
        message.ref, message.destination, cls, key, now, ends_at, min(wanted_at, ends_at), worth=cls.worth
    )


class Store:
    """All that is in hand: jobs until answered and without attempts out, the list, calls in flight."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.jobs: dict[str, Job] = {}
        self.destinations: dict[int, Destination] = {}
        self.routes: dict[int, Route] = {}
        self.leaving: dict[int, Route] = {}  # those that are gone from the list and not forgotten yet
        self.lines: dict[str, deque[Job]] = {}  # of a key, its jobs in the order they came
        self.active: dict[int, Destination] = {}  # those with held jobs or calls: a round walks no others
        self.slots_used = 0

    def update(self, news: EndpointList, now: float) -> list[Route]:
        """Take news of the list: the routes it names. What a whole list leaves out is gone, and forgotten
        once it is idle. A difference costs by what it names, and by what is gone and not idle yet."""
        named = [self._take(entry, now) for entry in news.entries]
        if news.whole:
            listed = {entry.number for entry in news.entries}
            for number, route in self.routes.items():
                if number not in listed:
                    route.entry = replace(route.entry, readiness=Readiness.GONE)
                    self.leaving[number] = route
        for number, route in list(self.leaving.items()):
            if not route.calls and now >= route.unit.wait_until:
                self._drop(number)
        return named

    def _take(self, entry: Endpoint, now: float) -> Route:
        """The route of an entry, known or new. One that is another destination's now is another route."""
        route = self.routes.get(entry.number)
        if route is not None and route.entry.destination != entry.destination:
            self._drop(entry.number)
            route = None
        if route is None:
            dest = self.destinations.setdefault(entry.destination, Destination())
            apart = self.settings.kinds[entry.kind].separate_routes
            unit = Unit(now) if apart or dest.unit is None else dest.unit
            dest.unit = None if apart else unit  # what was told outlives the endpoints that told it
            route = self.routes[entry.number] = dest.routes[entry.number] = Route(entry, unit, now)
        route.entry = entry
        if entry.readiness is Readiness.GONE:
            self.leaving[entry.number] = route
        else:
            self.leaving.pop(entry.number, None)
        return route

    def _drop(self, number: int) -> None:
        """Forget a route; calls that are out there still end."""
        route = self.routes.pop(number)
        del self.destinations[route.entry.destination].routes[number]
        self.leaving.pop(number, None)

    def alike(self, route: Route) -> list[Route]:
        """The routes that share a unit with this one, itself among them while it is listed."""
        routes = self.destinations[route.entry.destination].routes.values()
        return [r for r in routes if r.unit is route.unit]

    def add(self, job: Job) -> None:
        """Hold a new job."""
        self.jobs[job.ref] = job
        self.hold(job)
        if job.key is not None:
            self.lines.setdefault(job.key, deque()).append(job)

    def hold(self, job: Job) -> None:
        """Put a job among those of its destination that wait to be sent."""
        dest = self.active[job.dest] = self.destinations.setdefault(job.dest, Destination())
        dest.held[job.ref] = job

    def recall(self, job: Job, past: tuple[PastAttempt, ...], now: float) -> None:
        """Put attempts from before a restart on the record; they hold no slot, and nothing comes of them."""
        for attempt in past:
            route = self.routes.get(attempt.endpoint)
            if route is None:  # no longer listed: it stands for itself alone
                route = Route(Endpoint(attempt.endpoint, job.dest, 0, -1, Readiness.GONE), Unit(now), now)
            call = Call(route, now - attempt.sent_ago_s, judged=True, heard=True)
            job.attempts.append([call, Ran.MAYBE if attempt.may_have_run else Ran.NEVER])

    def rest(self, number: int) -> None:
        """Drop a destination from the active ones once it has neither held jobs nor calls."""
        if not self.destinations[number].held and not self.destinations[number].calls:
            self.active.pop(number, None)

    def start(self, route: Route, now: float) -> Call:
        """Open a call: it takes a slot."""
        call = Call(route, now)
        self.slots_used += 1
        dest = self.active[route.entry.destination] = self.destinations[route.entry.destination]
        dest.calls += 1
        route.unit.calls += 1
        route.calls[call], route.last_sent = None, now
        return call

    def join(self, job: Job, call: Call) -> None:
        """Put a held job into a call."""
        call.left += 1
        job.attempts.append([call, Ran.OUTSTANDING])
        self.destinations[job.dest].held.pop(job.ref, None)

    def release(self, call: Call) -> None:
        """One of a call's messages has its outcome; with the last one the slot is free."""
        call.left -= 1
        if call.left == 0:
            self.slots_used -= 1
            self.destinations[call.route.entry.destination].calls -= 1
            call.route.unit.calls -= 1
            del call.route.calls[call]
            if call.route.trial is call:
                call.route.trial = None
            self.rest(call.route.entry.destination)

    def finish(self, job: Job) -> None:
        """The job has its final answer: nothing more goes out for it; it stays until its attempts end."""
        job.over = True
        self.destinations[job.dest].held.pop(job.ref, None)
        self.rest(job.dest)
        if not job.outstanding():
            self.jobs.pop(job.ref, None)
            line = self.lines.get(job.key, ())
            if job in line:
                line.remove(job)
                if not line:
                    del self.lines[job.key]
