"""One case: a fleet, its traffic, one destination, what goes wrong there, and which senders are restarted."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from math import exp, log
from random import Random

from willownotch.interface import Outcome, Rules

WARM_UP_S = 8.0  # of traffic before the outage begins
QUIET_S = 60.0  # the same, where the trouble comes after a long quiet time


class OutageKind(Enum):
    """What calls meet while the destination is out."""

    UNREACHABLE = "unreachable"  # connections are refused
    RESET = "reset"  # connections end under calls
    ERROR = "error"  # every call fails
    HANG = "hang"  # calls are taken and never answered
    REFUSED = "refused"  # every call is turned away


OUTCOMES = {
    OutageKind.UNREACHABLE: Outcome.UNREACHABLE,
    OutageKind.RESET: Outcome.BROKEN,
    OutageKind.ERROR: Outcome.ERROR,
    OutageKind.HANG: Outcome.TIMED_OUT,
    OutageKind.REFUSED: Outcome.REJECTED,
}


@dataclass(frozen=True)
class Outage:
    """A span in which the destination answers nothing of use. Seconds from the first outage's begin."""

    from_s: float
    to_s: float
    kind: OutageKind
    seen_by: float = 1.0  # share of the senders that meet it; a partition hides the destination from some


@dataclass(frozen=True)
class Restart:
    """Senders that are replaced by new processes. Seconds from the last return of the destination."""

    at_s: float
    share: float
    down_s: float = 0.6
    keeps_folder: bool = True
    upgrade: bool = False  # the state goes over whole, and nothing is down


@dataclass(frozen=True)
class Case:
    """All that a run needs; the same case plays the same way each time."""

    seed: int
    senders: int = 45
    limit_per_s: float = 60.0  # of all senders together
    capacity: float = 1.2  # x the limit: what the destination can do when it is warm
    tells_limit: bool = True
    enforces: bool = True  # turns away what is above its limit, where it tells one
    listed: float = 0.0  # x the limit: the rate that the list names; 0 for none
    load: float = 0.8  # x the limit
    uneven: float = 0.0  # spread of traffic over the senders: the deviation of its logarithm
    outages: tuple[Outage, ...] = (Outage(0.0, 11.7, OutageKind.UNREACHABLE),)
    restarts: tuple[Restart, ...] = ()
    held_s: tuple[float, float, float] = (0.0, 0.0, 0.0)  # share of senders stopped, and from when to when
    endpoints: int = 1
    failing_endpoints: int = 1  # how many of them fail
    quiet_s: float = WARM_UP_S
    batch: int = 1
    burst: float = 0.0  # messages of one sender at the return, in seconds of the destination's limit
    cold_s: float = 10.0  # until the destination is warm in truth; the rules may say later
    rules: Rules = Rules(cold_share=0.2, cold_s=10.0, fall_multiple=2.0, fall_s=2.0)

    @property
    def returned_s(self) -> float:
        """When the destination is back for good."""
        return max(outage.to_s for outage in self.outages)

    def describe(self) -> str:
        """One line."""
        outages = ", ".join(
            f"{o.kind.value} {o.from_s:.1f}-{o.to_s:.1f} s" + f" for {o.seen_by:.0%}" * (o.seen_by < 1)
            for o in self.outages
        )
        restarts = ", ".join(
            f"{r.share:.0%} {'upgraded' if r.upgrade else 'restarted'} at {r.at_s:+.1f} s"
            + f" after {r.down_s:.1f} s {'with' if r.keeps_folder else 'without'} folder" * (not r.upgrade)
            for r in self.restarts
        )
        told = ("kept" if self.enforces else "told") if self.tells_limit else "not told"
        return (
            f"seed {self.seed}: {self.senders} senders, limit {self.limit_per_s:.1f} {told}, "
            f"listed x {self.listed:.2f}, load {self.load:.2f}, uneven {self.uneven:.1f}, "
            f"{self.failing_endpoints} of {self.endpoints} endpoints out: {outages}; "
            f"restarts: {restarts or 'none'}; held: {self.held_s}; batch {self.batch}, "
            f"burst {self.burst:.1f}, quiet {self.quiet_s:.0f} s"
        )


def _log_uniform(random: Random, low: float, high: float) -> float:
    return exp(random.uniform(log(low), log(high)))


def _draw_outages(random: Random) -> tuple[Outage, ...]:
    kinds = list(OutageKind)
    kind = random.choices(kinds, (5, 1, 2, 3, 1))[0]
    length = _log_uniform(random, 2.5, 40.0)
    seen_by = random.choice((1.0, 1.0, 1.0, 0.5))
    first = Outage(0.0, length, kind, seen_by)
    if random.random() > 0.2:
        return (first,)
    begin = length + random.uniform(1.0, 9.0)
    return first, Outage(begin, begin + random.uniform(2.5, 15.0), random.choice(kinds))


def _draw_restarts(random: Random, outages: tuple[Outage, ...], cold_s: float) -> tuple[Restart, ...]:
    if random.random() < 0.4:
        return ()
    length = max(o.to_s for o in outages)
    found = []
    for _ in range(random.choice((1, 1, 2))):
        at = random.choice(
            (
                random.uniform(-length, 0.0),  # in the outage
                random.uniform(-0.8, 0.0),  # right before its end
                random.uniform(0.0, cold_s),  # in the slow start
                random.uniform(cold_s - 2.0, cold_s + 1.0),  # at its end
            )
        )
        found.append(
            Restart(
                at,
                random.choice((0.1, 0.3, 0.7, 1.0)),
                random.choice((0.6, 0.6, 4.0)),
                random.random() < 0.7,
                random.random() < 0.3,
            )
        )
    return tuple(sorted(found, key=lambda restart: restart.at_s))


def draw(seed: int) -> Case:
    """The case of a seed."""
    random = Random(seed)
    rules = Rules(
        cold_share=random.choice((0.18, 0.2, 0.3)),
        cold_s=random.choice((10.0, 14.0)),
        fall_multiple=2.0,
        fall_s=random.choice((1.0, 2.0)),
    )
    senders = random.choice((1, 2, 3, 5, 10, 24, 30, 45, 45, 60, 100, 200, 500, 1000))
    limit = _log_uniform(random, 3.0, 120.0)
    tells = random.random() < 0.6
    # Without a limit of its own a destination takes what it can: the list then names its capacity.
    outages = _draw_outages(random)
    case = Case(
        seed,
        senders,
        limit,
        capacity=random.choice((1.2, 1.2, 1.5)) if tells else 1.2,
        tells_limit=tells,
        enforces=random.random() < 0.7,
        listed=random.choice((0.0, random.uniform(0.67, 1.5))),
        load=random.choice((0.4, 0.8, 0.8, 1.1, 1.5)),
        uneven=random.choice((0.0, 0.7, 1.2)),
        outages=outages,
        restarts=_draw_restarts(random, outages, rules.cold_s),
        endpoints=random.choice((1, 1, 2, 3)),
        quiet_s=random.choice((WARM_UP_S, WARM_UP_S, WARM_UP_S, QUIET_S)),
        batch=random.choice((1, 1, 1, 8)),
        burst=random.choice((0.0, 0.0, 0.0, 1.0)),
        cold_s=rules.cold_s * random.choice((0.8, 1.0)),
        rules=rules,
    )
    if random.random() < 0.15:
        begin = random.uniform(-6.0, 2.0)
        case = replace(case, held_s=(random.choice((0.3, 1.0)), begin, begin + random.uniform(0.15, 6.0)))
    all_fail = random.random() < 0.75
    return replace(case, failing_endpoints=case.endpoints if all_fail else 1)
