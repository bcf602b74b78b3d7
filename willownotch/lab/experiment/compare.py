"""Paired differences: two policies on the same scenario, load and seed.

Both play the same arrivals and troubles, so what the day itself does falls out of the difference. Its mean
has a bootstrap interval (Efron, 1979; percentiles of means of resamples); where that holds zero, the
difference is called noise.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

import numpy as np

from willownotch.lab.experiment.store import Row

RESAMPLES, LEVEL = 4000, 0.95
LEAST = 3  # pairs that an interval needs


@dataclass(frozen=True, slots=True)
class Difference:
    """How much better one policy is than another, over the pairs."""

    mean: float
    low: float
    high: float
    pairs: int

    @property
    def noise(self) -> bool:
        """Whether it may well be none."""
        return self.pairs < LEAST or self.low <= 0.0 <= self.high

    def show(self) -> str:
        """In a table's cell."""
        if self.pairs < LEAST:
            return f"{self.mean:+.3f} (too few seeds)"
        return f"{self.mean:+.3f} ({self.low:+.3f} to {self.high:+.3f})" + ", noise" * self.noise


def paired(values: list[float], seed: int = 1) -> Difference:
    """The mean of paired differences with its interval."""
    data = np.array(values)
    if len(data) < LEAST:
        return Difference(float(data.mean()) if len(data) else 0.0, -np.inf, np.inf, len(data))
    random = np.random.Generator(np.random.PCG64(seed))
    places = (random.random((RESAMPLES, len(data))) * len(data)).astype(int)
    means = np.sort(data[places].mean(axis=1))
    edge = (1 - LEVEL) / 2
    return Difference(
        float(data.mean()),
        float(means[int(edge * RESAMPLES)]),
        float(means[int((1 - edge) * RESAMPLES) - 1]),
        len(data),
    )


def against(rows: list[Row], reference: str) -> dict[tuple[str, float, str], Difference]:
    """Each policy's score less the reference's, by scenario, load and policy."""
    scores: dict[tuple[str, float, int], dict[str, float]] = defaultdict(dict)
    for row in rows:
        scores[row.scenario, row.load, row.seed][row.policy] = row.score
    found: dict[tuple[str, float, str], list[float]] = defaultdict(list)
    for (scenario, load, _), by_policy in sorted(scores.items()):
        if reference in by_policy:
            for policy, score in by_policy.items():
                if policy != reference:
                    found[scenario, load, policy].append(score - by_policy[reference])
    return {key: paired(values) for key, values in found.items()}
