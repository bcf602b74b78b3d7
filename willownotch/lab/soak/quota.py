"""Fleets whose tenant's quota is held in hard parts, killed while calls hang and discovery is silent.

A new process may spend only its reserve of a part at first, and without a list it hears of its parts
before it restores what it owes.
"""

from __future__ import annotations

from pathlib import Path
from random import Random

from willownotch.lab.soak.plan import Action, Conditions, Plan, QuotaPlan, Step

TENANT = "acme"
KEYS = f"1 {'ab' * 32}\n"
QUOTAS_PER_S = (8.0, 40.0, 200.0)  # of each sender
ACTIONS = (
    Action.KILL,
    Action.KILL,
    Action.KILL,
    Action.RESTART,
    Action.UPGRADE,
    Action.UPGRADE_TWICE,
    Action.RELOAD,
    Action.HOLD,
)
HANG_BEFORE_S = 2.0  # calls hang for so long before a kill
SILENT_BEFORE_S = 0.1
SILENT_AFTER_S = (0.7, 1.5, 3.0)  # from a kill until discovery answers again; a process starts after 0.6
REST_S = 4.0  # from there to the next kill, for what is owed


def draw_quota(seed: int, seconds: float = 12.0, senders: int | None = None) -> Plan:
    """The run of a seed."""
    random = Random(f"quota {seed}")
    count = senders or random.randint(1, 4)
    quota = QuotaPlan(count * random.choice(QUOTAS_PER_S))
    steps: list[Step] = []
    spans = [Conditions(0.0)]
    at = random.uniform(2.5, 4.0)
    while at < seconds - 3.0:
        silent_s = random.choice(SILENT_AFTER_S)
        chosen = [n for n in range(count) if random.random() < 0.7] or [0]
        steps += [Step(at + random.uniform(0.0, 0.05), n, random.choice(ACTIONS)) for n in chosen]
        hang = random.choice((0.5, 1.0))
        spans += [
            Conditions(at - HANG_BEFORE_S, hang=hang),
            Conditions(at - SILENT_BEFORE_S, hang=hang, discovery_up=False),
            Conditions(at + silent_s, refuse=random.choice((0.0, 0.2))),
        ]
        at += silent_s + REST_S * random.uniform(0.8, 1.2)
    return Plan(
        seed,
        seconds,
        count,
        random.choice((4, 8)),
        0,
        random.randint(1, 4),
        tuple(sorted(steps, key=lambda step: step.at_s)),
        (*spans, Conditions(seconds)),
        (),
        (),
        quota=quota,
    )


def settings_text(plan: Plan, folder: Path, port: int) -> str:
    """The settings of a sender that owns a hard part of the quota; peers are neither known nor heard."""
    keys = folder / "keys"
    return (
        f"peers {{\n    listen 127.0.0.1:{port}\n    keys {keys}\n}}\n"
        f"shared {{\n    budgets yes\n    instances {plan.senders}\n    hard {TENANT}\n}}\n"
    )
