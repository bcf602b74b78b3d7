"""Play drawn fleets by hand: `python -m willownotch.lab.recovery --cases 0-1000 --json FILE`."""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
import msgspec

from willownotch.lab.recovery.case import draw
from willownotch.lab.recovery.play import Result, play


def play_seed(seed: int) -> Result:
    """The case of a seed, played."""
    return play(draw(seed))


@click.command()
@click.option("--cases", default="0-99", show_default=True, help="The seeds, as 0-99.")
@click.option("--beside", default=4, show_default=True, help="How many are played at the same time.")
@click.option("--json", "path", type=click.Path(path_type=Path), help="Where the results go.")
def main(cases: str, beside: int, path: Path | None) -> None:
    """Print the worst window of each case; exit code 1 if one breaks the rule."""
    first, _, last = cases.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    results = []
    with ProcessPoolExecutor(beside) as pool:
        for result in pool.map(play_seed, seeds, chunksize=2):
            print(("BROKEN " if result.broken else "") + result.text(), flush=True)
            results.append(result)
    broken = [result.case.seed for result in results if result.broken]
    used = sum(result.delivered / result.offered for result in results) / len(results)
    over = sum(not result.kept for result in results)
    summary = f"{len(results)} cases, {over} over a budget, {len(broken)} break the rule: {broken}; "
    print(summary + f"delivered in slow starts, of what was offered: {used:.3f}")
    if path is not None:
        rows = [{"seed": r.case.seed, "broken": r.broken, "text": r.text()} for r in results]
        found = {"summary": summary, "delivered": used, "cases": rows}
        path.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
