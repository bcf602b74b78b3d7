"""The cases of an experiment, each named by all that its result hangs on, the code among it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec
from xxhash import xxh3_128

from willownotch.lab.experiment.settings import Experiment
from willownotch.lab.model.scenario import Scenario

ROOT = Path(__file__).parents[2]
# What a result hangs on: the policies and the model.
CODE = (
    "control.py",
    "concurrency_limit.py",
    "pacing.py",
    "slow_start.py",
    "state.py",
    "interface.py",
    "lab/model/*.py",
    "lab/load/plan.py",
)


@dataclass(frozen=True, slots=True)
class Case:
    """One story to be played."""

    scenario: str
    load: float
    policy: str
    seed: int
    settings: Scenario

    def key(self, version: str) -> str:
        """The same for the same story of the same code."""
        data = msgspec.msgpack.encode(
            [version, self.load, self.policy, self.seed, self.settings], enc_hook=lambda value: str(value)
        )
        return xxh3_128(data).hexdigest()


def version() -> str:
    """A digest of the code that results hang on."""
    digest = xxh3_128()
    for pattern in CODE:
        for path in sorted(ROOT.glob(pattern)):
            digest.update(path.name.encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()[:16]


def cases(experiment: Experiment) -> list[Case]:
    """All of them, seed by seed, so that a part of an experiment is a whole one with fewer seeds."""
    found = []
    for seed in range(experiment.first_seed, experiment.first_seed + experiment.seeds):
        for name, scenario in experiment.scenario.items():
            for load in experiment.loads or (scenario.load,):
                settings = msgspec.structs.replace(scenario, load=load)
                found += [Case(name, load, policy, seed, settings) for policy in experiment.policies]
    return found
