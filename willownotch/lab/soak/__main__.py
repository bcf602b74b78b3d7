"""Play seeds by hand: `python -m willownotch.lab.soak --seeds 1-50 --seconds 12 --json FILE`.

Fleets beside a destination that returns cold: `--cold`; whose tenant's quota is in hard parts: `--quota`.

One seed again, with the processes' lines: `python -m willownotch.lab.soak --seeds 17 --lines`.
"""

from __future__ import annotations

import signal
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import click
import msgspec

from willownotch.lab.soak.crowd import CrowdKind
from willownotch.lab.soak.plan import Plan, draw, draw_cold, pressure
from willownotch.lab.soak.processes import ROOT
from willownotch.lab.soak.quota import draw_quota
from willownotch.lab.soak.run import Report, play

TIMES = ("began", "ready", "stop_at", "succeeded_at", "killed_at", "ended")


def seeds_of(text: str) -> list[int]:
    """`3`, `1-50` or `1,4,9`."""
    found = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def processes_of(report: Report) -> dict[str, list[str]]:
    """What the processes said, by their names and times."""
    found = {}
    began = report.records.began
    for life in report.records.lifetimes:
        times = {name: round(at - began, 3) for name in TIMES if (at := getattr(life, name)) is not None}
        found[f"n{life.sender} process {life.number} {times}"] = life.lines
    return found


def play_plan(program: Path, plan: Plan) -> Report:
    """One plan, in a process of its own where several are played beside one another."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # so that no sender is left behind
    return play(plan, program)


def row(report: Report) -> dict:
    """A run as the result file has it."""
    return {
        "seed": report.plan.seed,
        "plan": report.plan.describe(),
        "counts": report.counts(),
        "struck": report.records.struck,
        "actions": report.records.actions,
        "broken": report.rules(),
        "texts": [f"{b.rule}: {b.text}" for b in report.broken[:10]],
        "seconds": round(report.seconds, 1),
        "processes": processes_of(report) if report.broken else {},
    }


@click.command()
@click.option("--seeds", default="1-5", show_default=True, help="Which, as 3, 1-50 or 1,4,9.")
@click.option("--seconds", default=12.0, show_default=True, help="How long each is under load.")
@click.option("--beside", default=1, show_default=True, help="How many are played at the same time.")
@click.option("--cold", is_flag=True, help="Fleets beside a destination that fails and returns cold.")
@click.option("--quota", is_flag=True, help="Fleets that share a quota by hard parts, killed unlisted.")
@click.option("--senders", type=int, help="How many senders, in place of the drawn number.")
@click.option("--crowd", type=click.Choice([kind.value for kind in CrowdKind]), help="One sender beside it.")
@click.option("--count", default=600, show_default=True, help="How many clients the crowd has.")
@click.option("--memory", default=32.0, show_default=True, help="The sender's memory beside a crowd, in MB.")
@click.option("--json", "path", type=click.Path(path_type=Path), help="Where the results go.")
@click.option(
    "--program",
    type=click.Path(path_type=Path),
    default=ROOT,
    help="The folder of the program to play, in place of this one.",
)
@click.option("--lines", is_flag=True, help="Print what the processes said.")
def main(
    seeds: str,
    seconds: float,
    beside: int,
    senders: int | None,
    cold: bool,
    quota: bool,
    crowd: str | None,
    count: int,
    memory: float,
    path: Path | None,
    program: Path,
    lines: bool,
) -> None:
    """Play whole senders with faults drawn from seeds; exit code 1 if a rule was broken."""

    def plan_of(seed: int) -> Plan:
        if crowd is not None:
            return pressure(CrowdKind(crowd), count, memory, seed=seed)
        if quota:
            return draw_quota(seed, seconds, senders)
        return draw_cold(seed, senders) if cold else draw(seed, seconds, senders)

    rows = []
    with ProcessPoolExecutor(beside) as pool:
        for report in pool.map(partial(play_plan, program), map(plan_of, seeds_of(seeds))):
            print(report.text(), flush=True)
            if lines:
                for name, said in processes_of(report).items():
                    print(f"--- {name}", *said, sep="\n")
                print(*report.records.actions, sep="\n")
            rows.append(row(report))
    if path is not None:
        path.write_bytes(msgspec.json.format(msgspec.json.encode(rows), indent=1) + b"\n")
    broken = [r["seed"] for r in rows if r["broken"]]
    print(f"{len(rows)} runs, {len(broken)} with a broken rule: {broken}")
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
