"""The `experiment` block of a settings file."""

from __future__ import annotations

from typing import Annotated

import msgspec

from willownotch.lab.model.baselines import POLICIES
from willownotch.lab.model.scenario import Scenario
from willownotch.settings.types import CountType, ListType, NamedBlocks, NestedBlock, ShareType, TextType


class Experiment(msgspec.Struct, frozen=True):
    """What is to be played: each scenario at each load with each policy and each seed."""

    seeds: Annotated[int, CountType(1, 10_000)] = 20
    first_seed: Annotated[int, CountType()] = 1
    policies: Annotated[tuple[str, ...], ListType(TextType("the name of a policy"))] = ("module",)
    loads: Annotated[tuple[float, ...], ListType(ShareType(0.01, 5.0))] = ()  # else each scenario's own
    reference: Annotated[str, TextType("the name of a policy")] = "module"  # what the others are held to
    scenario: Annotated[dict[str, Scenario], NamedBlocks(Scenario)] = {}

    def faults(self) -> list[tuple[str, str]]:
        """What does not go together."""
        found = []
        for policy in self.policies:
            if policy not in POLICIES:
                found.append(("policies", f"unknown policy {policy!r}, allowed: {', '.join(POLICIES)}"))
        if self.reference not in self.policies:
            found.append(
                ("reference", "'reference' is none of the policies, allowed: " f"{', '.join(self.policies)}")
            )
        if not self.scenario:
            found.append(("scenario", "no scenario, wanted: a block 'scenario NAME' at the least"))
        return found


class ExperimentFile(msgspec.Struct, frozen=True):
    """A file with one experiment."""

    experiment: Annotated[Experiment, NestedBlock(Experiment)] = Experiment(scenario={"calm": Scenario()})
