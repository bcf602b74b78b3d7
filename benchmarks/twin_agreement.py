"""The model in simulated time beside its socket twin with real senders: the same days, the same seeds.

.venv/bin/python benchmarks/twin_agreement.py [--seeds 2] [--seconds 25]
"""

import argparse
import statistics
import tempfile
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta
from pathlib import Path

from rig import write

from willownotch.lab.model.scenario import Scenario, Trouble, TroubleBlock
from willownotch.lab.model.story import play as simulated
from willownotch.lab.twin.play import Twin

KINDS = [
    None,
    Trouble.SILENCE,
    Trouble.HANG,
    Trouble.SLOW,
    Trouble.REFUSE,
    Trouble.LIMIT,
    Trouble.CRASH,
    Trouble.REPLACE,
]


def scenario(kind, seconds):
    """A short day with one trouble."""
    trouble = (
        {}
        if kind is None
        else {
            "a": TroubleBlock(
                kind=kind,
                at=timedelta(seconds=6),
                for_=timedelta(seconds=8 if kind is not Trouble.CRASH else 1.5),
            )
        }
    )
    return Scenario(duration=timedelta(seconds=seconds), trouble=trouble)


def both(kind, seconds, seed):
    """One day both ways."""
    day = scenario(kind, seconds)
    with tempfile.TemporaryDirectory() as folder:
        twin = Twin(day, seed, Path(folder))
        real, late = twin.run(), twin.world.late_s
    return kind, seed, simulated(day, "module", seed), real, late


def main():
    """All days."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=25.0)
    chosen = parser.parse_args()
    with ProcessPoolExecutor(2) as pool:
        runs = [
            run.result()
            for run in [
                pool.submit(both, kind, chosen.seconds, seed)
                for kind in KINDS
                for seed in range(1, chosen.seeds + 1)
            ]
        ]
    lines = [
        "| trouble | score: model, twin | worth kept: model, twin | attempts a message | "
        "new connections a message | broken rules: model, twin |",
        "| --- " * 6 + "|",
    ]
    data, ranks = [], ([], [])
    for kind in KINDS:
        pairs = [(model, real) for k, _, model, real, _ in runs if k is kind]
        cells = [kind.value if kind else "none"]
        for read in (
            lambda r: r.score,
            lambda r: r.parts["run"],
            lambda r: r.attempts / r.messages,
            lambda r: r.connections / r.messages,
        ):
            means = [statistics.mean(read(pair[n]) for pair in pairs) for n in (0, 1)]
            cells.append(", ".join(f"{m:.3f}" for m in means))
            if len(cells) == 3:
                for rank, mean in zip(ranks, means, strict=True):
                    rank.append((mean, cells[0]))
        cells.append(", ".join(str(sum(len(pair[n].breaches) for pair in pairs)) for n in (0, 1)))
        lines.append(f"| {' | '.join(cells)} |")
        data.append(cells)
    orders = [[name for _, name in sorted(rank, reverse=True)] for rank in ranks]
    lines += [
        "",
        f"Ranked by worth kept: model {', '.join(orders[0])}; twin {', '.join(orders[1])}.",
        f"The twin's loop was late by {max(run[4] for run in runs) * 1000:.0f} ms at the most.",
    ]
    command = f"benchmarks/twin_agreement.py --seeds {chosen.seeds} --seconds {chosen.seconds:g}"
    write("twin-agreement", command, lines, {"rows": data, "orders": orders})


if __name__ == "__main__":
    main()
