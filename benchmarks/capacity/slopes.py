"""Slopes: what a role costs against what drives it, its fit, and what the fit says beyond the measured.

A slope is measured at four or more sizes over two decades or more; one larger size is held out of the fit
and predicted, and the miss is kept. Within the measured range a figure is read between the measured points,
beyond it from the fit, raised by the miss where the fit was too low. More than `LIMIT` times beyond the
largest measured size nothing is claimed.

A role's script collects runs with `slope(...)` and ends with `write(role, command, slopes, ...)`, which makes
`benchmarks/results/capacity/ROLE.json`. `benchmarks/capacity/page.py` reads these files alone.
"""

from __future__ import annotations

import place  # first: it says where the others are

import math
import statistics
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from pathlib import Path

import msgspec
import rig

RESULTS = place.RESULTS
COMMIT = rig.commit()  # as this process loaded it; the tree may move on while a run lasts
LIMIT = 10.0  # times the largest measured size, beyond which nothing is claimed
SIZES, DECADES = 4, 2.0  # the least that makes a slope
LINEAR = (0.9, 1.1)  # exponents that may be called linear
FLAT = 0.1  # exponents nearer to zero than this are no growth
CAPPED_AFTER, STEP = 0.5, 1.0  # exponent before a cap; exponent above the fitted one that is a step

BUDGETS = {
    "control core": 0.015,  # of a core, a sender, for control
    "core": 0.5,  # of a core: one interpreter runs one thread at a time; decisions and sockets get half each
    "memory": 256e6,  # bytes, a sender, for control
    "wire": 7_000.0,  # bytes a second, a sender, for control, sent and received
    "age": 11.0,  # seconds until in force, or how old what is acted on may be
    "stall": 0.25,  # seconds of processor time in one piece: what is not taken up by then is turned away
    "restart": 10.0,  # seconds of processor time until a restarted sender is ready
    "": math.inf,  # told only
}
FAILURES = (
    "one machine",
    "300 restarts a day",
    "a rack",
    "a zone",
    "two regions apart for minutes",
    "all senders at once",
)


class Point(msgspec.Struct, frozen=True):
    """A measured size: the driver's value; of its runs median, range (largest less least) and worst."""

    at: float
    median: float
    spread: float
    worst: float
    runs: int = 1


class Fit(msgspec.Struct, frozen=True):
    """How it grows.

    kind: "power" (factor * at ** exponent), "linear" (fixed + each * at, exponent within `LINEAR`), "affine"
    (the same line with a fixed part that bends it: the exponent is not linear), "capped" (no growth any more
    above some size: `cap`), "constant" (`cap`). growth: the same in words, with a step where one is.
    error: root mean square of the logarithms' distance from the fit (0.1 is some 10%).
    """

    kind: str
    growth: str
    exponent: float
    factor: float
    fixed: float
    each: float
    cap: float
    error: float


class Slope(msgspec.Struct, frozen=True):
    """One measure of one role against one driver.

    budget: a name in `BUDGETS`, whose unit `measure * scale` has; scale_why says what the scale is (121
    messages a second, say). target: the driver's value at the target. where: "sender" or "control machine".
    held is the largest size, out of the fit; predicted is what the fit says there; miss, in percent, positive
    where the fit was too high.
    """

    role: str
    driver: str
    measure: str
    unit: str
    points: list[Point]
    held: Point
    fit: Fit
    predicted: float
    miss: float
    loss: float | None = None
    target: float | None = None
    budget: str = ""
    scale: float = 1.0
    scale_why: str = ""
    where: str = "sender"
    note: str = ""


class Cap(msgspec.Struct, frozen=True):
    """A bound that something refuses at, whatever it costs: so much of the driver, and why."""

    driver: str
    most: float
    target: float
    why: str


class Failure(msgspec.Struct, frozen=True):
    """What one of the target's failures does to a role, as it was measured.

    failure: a name in `FAILURES`. recover: seconds of each run until the role was whole again; lost and
    stale: what was lost, and what was old meanwhile and how old, in words with their figures.
    """

    failure: str
    size: str
    recover: list[float]
    lost: str
    stale: str
    note: str = ""


class Role(msgspec.Struct, frozen=True):
    """A result file. mechanism: what carries the role today, in a phrase, or "none yet"."""

    role: str
    date: str
    commit: str
    machine: str
    command: str
    seeds: list[int]
    mechanism: str
    slopes: list[Slope]
    notes: list[str] = []
    caps: list[Cap] = []
    failures: list[Failure] = []


class Prediction(msgspec.Struct, frozen=True):
    """A figure at a size; beyond: times the largest measured size, 1.0 within; claimed: within `LIMIT`."""

    value: float
    beyond: float
    claimed: bool


def point(at: float, runs: Sequence[float]) -> Point:
    """A size from its runs; worst is the largest."""
    return Point(at, statistics.median(runs), max(runs) - min(runs), max(runs), len(runs))


def _line(xs: Sequence[float], ys: Sequence[float], weights: Sequence[float]) -> tuple[float, float]:
    """Weighted least squares: (fixed, each)."""
    total = sum(weights)
    mx = sum(w * x for w, x in zip(weights, xs, strict=True)) / total
    my = sum(w * y for w, y in zip(weights, ys, strict=True)) / total
    across = sum(w * (x - mx) ** 2 for w, x in zip(weights, xs, strict=True))
    each = sum(w * (x - mx) * (y - my) for w, x, y in zip(weights, xs, ys, strict=True)) / across
    return my - each * mx, each


def _error(ys: Sequence[float], fitted: Sequence[float]) -> float:
    """Root mean square distance of the logarithms; infinite where a fit is not positive."""
    if min(fitted) <= 0.0:
        return math.inf
    return math.sqrt(statistics.fmean(math.log(f / y) ** 2 for f, y in zip(fitted, ys, strict=True)))


def fit(points: Sequence[Point]) -> Fit:
    """The growth over the points, by medians: a power law by least squares on logarithms, and a straight line
    whose squares are weighted by 1/y**2 (relative distance), whichever is nearer, named as `Fit` says.
    """
    points = sorted(points, key=lambda p: p.at)
    xs, ys = [p.at for p in points], [p.median for p in points]
    if len(xs) < SIZES or xs[0] <= 0 or math.log10(xs[-1] / xs[0]) < DECADES - 1e-9:
        raise ValueError(f"a slope takes {SIZES} sizes over {DECADES:g} decades, here are {xs}")
    if max(ys) <= 0.0:
        return Fit("constant", "none measured", 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
    floor = max(ys) * 1e-6
    ys = [max(y, floor) for y in ys]
    lx, ly = [math.log(x) for x in xs], [math.log(y) for y in ys]
    fixed, exponent = _line(lx, ly, [1.0] * len(lx))
    factor = math.exp(fixed)
    power = _error(ys, [factor * x**exponent for x in xs])
    fixed, each = _line(xs, ys, [1.0 / y**2 for y in ys])
    line = _error(ys, [fixed + each * x for x in xs])
    local = [(b - a) / (d - c) for a, b, c, d in zip(ly, ly[1:], lx, lx[1:], strict=False)]

    def made(kind: str, growth: str, error: float, cap: float = 0.0) -> Fit:
        steps = [n for n, e in enumerate(local) if e > max(exponent, 0.0) + STEP]
        growth += "".join(f", step between {xs[n]:g} and {xs[n + 1]:g}" for n in steps)
        return Fit(kind, growth, exponent, factor, fixed, each, cap, error)

    middle = statistics.median(ys)
    flat = _error(ys, [middle] * len(ys))
    if abs(exponent) < FLAT and max(ys) < 1.5 * min(ys) and flat < 2 * min(line, power) + 1e-9:
        return made("constant", "no growth", flat, middle)
    if abs(local[-1]) < FLAT and max(local[:-1]) > CAPPED_AFTER:
        tail = next((n for n, e in enumerate(local) if all(abs(f) < FLAT for f in local[n:])), len(local) - 1)
        cap = statistics.median(ys[tail:])
        return made("capped", f"capped from {xs[tail]:g}", power, cap)
    if each > 0 and LINEAR[0] <= exponent <= LINEAR[1]:
        return made("linear", "linear", line) if line <= power else made("power", "linear", power)
    if each > 0 and fixed > 0 and line < power:
        return made("affine", f"a fixed part and a line (exponent {exponent:.2f} over the sizes)", line)
    return made("power", f"exponent {exponent:.2f}", power)


def fitted(how: Fit, at: float) -> float:
    """What a fit says at a size."""
    if how.kind in ("constant", "capped"):
        return how.cap
    if how.kind == "power":
        return how.factor * at**how.exponent
    return max(how.fixed + how.each * at, 0.0)


def slope(
    role: str, driver: str, measure: str, unit: str, runs: Mapping[float, Sequence[float]], **more
) -> Slope:
    """A slope of `{size: values of its runs}`; the largest size is held out. `more`: the other fields."""
    points = [point(float(at), runs[at]) for at in sorted(runs)]
    *inside, held = points
    how = fit(inside)
    predicted = fitted(how, held.at)
    miss = 100.0 * (predicted / held.median - 1.0) if held.median else 0.0
    return Slope(role, driver, measure, unit, inside, held, how, predicted, miss, **more)


def predict(made: Slope, at: float) -> Prediction:
    """The figure at a size, in the slope's unit: between measured points by logarithms, beyond by the fit,
    below the smallest that one's."""
    points = [*made.points, made.held]
    if at >= made.held.at:
        raised = max(made.held.median / made.predicted, 1.0) if made.predicted > 0 else 1.0
        value = made.held.median if at == made.held.at else fitted(made.fit, at) * raised
        beyond = at / made.held.at
        return Prediction(value, beyond, beyond <= LIMIT)
    if at <= points[0].at:
        return Prediction(points[0].median, 1.0, True)
    low, high = next((a, b) for a, b in zip(points, points[1:], strict=False) if a.at <= at <= b.at)
    part = math.log(at / low.at) / math.log(high.at / low.at)
    if low.median <= 0 or high.median <= 0:
        return Prediction(low.median + part * (high.median - low.median), 1.0, True)
    return Prediction(low.median * (high.median / low.median) ** part, 1.0, True)


def write(
    role: str,
    command: str,
    slopes: Sequence[Slope],
    mechanism: str,
    seeds: Sequence[int] = (),
    notes: Sequence[str] = (),
    caps: Sequence[Cap] = (),
    failures: Sequence[Failure] = (),
) -> Path:
    """The role's result file; returns its path."""
    made = Role(
        role,
        f"{datetime.now(UTC):%Y-%m-%d}",
        COMMIT,
        rig.machine(),
        command,
        list(seeds),
        mechanism,
        list(slopes),
        list(notes),
        list(caps),
        list(failures),
    )
    RESULTS.mkdir(parents=True, exist_ok=True)
    path = RESULTS / f"{role}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(made), indent=1) + b"\n")
    for one in made.slopes:
        print(
            f"{one.measure} against {one.driver}: {one.fit.growth}, "
            f"miss {one.miss:+.0f}% at {one.held.at:g}"
        )
    return path


def read(path: Path) -> Role:
    """A result file; msgspec.ValidationError if it is none."""
    return msgspec.json.decode(path.read_bytes(), type=Role)
