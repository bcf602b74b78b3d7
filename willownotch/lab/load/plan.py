"""A plan: every arrival of a run, drawn ahead. Same settings, same plan, on any machine.

Arrivals follow a rate that changes with time. A Poisson process with rate r(t) is one with rate 1 on the
axis of R(t), the integral of r (Lewis and Shedler, 1979, section on time-scale transformation); evenly
spread arrivals are the points of R at which it passes whole numbers and a half. R is summed up on a grid of
10 ms.

Random numbers are numpy's PCG64, and of its methods only the uniform one, whose stream is kept the same over
versions; all else is made of those here.
"""

from __future__ import annotations

from dataclasses import dataclass, fields

import numpy as np
from xxhash import xxh3_64_hexdigest

from willownotch.lab.load.settings import Arrivals, LoadClass, LoadSettings

GRID_S = 0.01
MOST = 50_000_000  # arrivals in a plan
NO_KEY = -1


class PlanError(ValueError):
    """No plan can be made of these settings; the text says why."""


@dataclass(frozen=True)
class Plan:
    """Arrivals in the order of their times. All arrays are of one length n.

    `at_us` int64 microseconds from the start; `cls`, `tenant` int32, places in `classes` and `tenants`;
    `dest` int64; `key` int64, NO_KEY for none; `size` int32 bytes; `time_ms` int64 that a message has left
    at hand-in.
    """

    at_us: np.ndarray
    cls: np.ndarray
    dest: np.ndarray
    tenant: np.ndarray
    key: np.ndarray
    size: np.ndarray
    time_ms: np.ndarray
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    keys: tuple[str, ...] = ()  # by number, where they have names

    def __len__(self) -> int:
        return len(self.at_us)

    def take(self, places: slice | np.ndarray) -> Plan:
        """Some of its arrivals."""
        return Plan(*(getattr(self, name)[places] for name in COLUMNS), self.classes, self.tenants, self.keys)

    def faster(self, speed: float) -> Plan:
        """The same arrivals, `speed` times as fast; times that messages have left stay."""
        at_us = np.round(self.at_us / speed).astype(np.int64)
        rest = [getattr(self, name) for name in COLUMNS[1:]]
        return Plan(at_us, *rest, self.classes, self.tenants, self.keys)

    def key_name(self, number: int) -> str | None:
        """A key as it travels."""
        if number == NO_KEY:
            return None
        return self.keys[number] if self.keys else f"k{number}"

    def digest(self) -> str:
        """The same for the same arrivals."""
        data = b"".join(np.ascontiguousarray(getattr(self, name)).astype("<i8").tobytes() for name in COLUMNS)
        return xxh3_64_hexdigest(data + repr((self.classes, self.tenants, self.keys)).encode())

    def rate(self) -> float:
        """Messages a second over its whole length."""
        return len(self) / max(1e-6, float(self.at_us[-1]) / 1e6) if len(self) else 0.0


COLUMNS = tuple(field.name for field in fields(Plan))[:7]


def rates(settings: LoadSettings) -> np.ndarray:
    """The rate in each cell of the grid, messages a second."""
    cells = max(1, round(settings.duration.total_seconds() / GRID_S))
    middle = (np.arange(cells) + 0.5) * GRID_S
    rate = np.full(cells, settings.rate)
    for jump in settings.jump.values():
        began = jump.at.total_seconds()
        rate[(middle >= began) & (middle < began + jump.for_.total_seconds())] *= jump.times
    for ramp in settings.ramp.values():
        part = np.clip((middle - ramp.at.total_seconds()) / ramp.for_.total_seconds(), 0.0, 1.0)
        rate *= ramp.from_ + (ramp.to - ramp.from_) * part
    return rate


def spread(settings: LoadSettings, rate: np.ndarray, random: np.random.Generator) -> np.ndarray:
    """Arrival times in seconds, sorted."""
    total = np.concatenate([[0.0], np.cumsum(rate * GRID_S)])
    if total[-1] > MOST:
        raise PlanError(f"the plan has some {total[-1]:.0f} messages, allowed: {MOST}")
    if settings.arrivals is Arrivals.CONSTANT:
        marks = np.arange(int(np.floor(total[-1] + 0.5 + 1e-9))) + 0.5
    else:
        # A margin of ten standard deviations over the mean: what is too many is cut off.
        number = int(total[-1] + 10 * np.sqrt(total[-1]) + 10)
        marks = np.cumsum(-np.log1p(-random.random(number)))
    marks = marks[marks < total[-1]]
    return np.interp(marks, total, np.arange(len(total)) * GRID_S)


def choose(shares: list[float], number: int, random: np.random.Generator) -> np.ndarray:
    """So many places, each with its share."""
    edges = np.cumsum(shares) / max(sum(shares), 1e-300)
    return np.minimum(np.searchsorted(edges, random.random(number), side="right"), len(shares) - 1)


def filled(shares: list[float | None]) -> list[float]:
    """Shares, those left open evenly from what the others leave."""
    left = max(0.0, 1.0 - sum(share or 0.0 for share in shares))
    open_ = sum(share is None for share in shares)
    return [left / open_ if share is None else share for share in shares] if open_ else list(shares)


def draw(settings: LoadSettings) -> Plan:
    """The plan that these settings describe."""
    random = np.random.Generator(np.random.PCG64(settings.seed))
    rate = rates(settings)
    clumped = sum(clump.share for clump in settings.clump.values())
    times = spread(settings, rate * (1 - clumped), random)
    own = {int(name): shared.share for name, shared in settings.destination.items()}
    shares = filled([own.get(settings.first_destination + n) for n in range(settings.destinations)])
    dest = choose(shares, len(times), random)
    expected = float(np.sum(rate) * GRID_S)
    for clump in settings.clump.values():
        number = int(round(expected * clump.share / clump.size))
        # Clumps begin where messages do: more of them where the rate is higher.
        begin = np.interp(
            random.random(number) * expected,
            np.concatenate([[0.0], np.cumsum(rate * GRID_S)]),
            np.arange(len(rate) + 1) * GRID_S,
        )
        inside = np.sort(random.random((number, clump.size)), axis=1) * clump.over.total_seconds()
        times = np.concatenate([times, (begin[:, None] + inside).ravel()])
        dest = np.concatenate([dest, np.repeat(choose(shares, number, random), clump.size)])
    order = np.argsort(times, kind="stable")
    times, dest, n = times[order], dest[order] + settings.first_destination, len(times)
    classes = settings.class_ or {"status": LoadClass()}
    names, each = tuple(classes), list(classes.values())
    cls = choose(filled([c.share for c in each]), n, random)
    tenants = settings.tenant
    tenant = choose([t.share for t in tenants.values()] or [1.0], n, random)
    key = np.full(n, NO_KEY, dtype=np.int64)
    drawn, hot = random.random(n), random.random(n)
    for place, one in enumerate(each):
        if one.keys:
            mine = cls == place
            key[mine] = np.where(hot[mine] < one.hot_key, 0, (drawn[mine] * one.keys).astype(np.int64))
    return Plan(
        np.round(times * 1e6).astype(np.int64),
        cls.astype(np.int32),
        dest.astype(np.int64),
        tenant.astype(np.int32),
        key,
        np.array([c.size for c in each], dtype=np.int32)[cls],
        np.array([round(c.time.total_seconds() * 1000) for c in each], dtype=np.int64)[cls],
        names,
        tuple(tenants) or ("",),
    )
