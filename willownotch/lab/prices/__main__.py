"""`python -m willownotch.lab.prices SITE REPORT...`: what took how much of each day, a column each."""

from __future__ import annotations

import json
import sys
import tomllib
from pathlib import Path

import click

from willownotch.lab.prices.account import Account, Fate, account, taken


def of_messages(found: Account) -> dict[str, str]:
    """The rows that a day's traced messages fill."""
    rows = {"messages, hand-ins": f"{found.messages}, {found.hand_ins}"}
    rows |= {
        f"hand-ins {fate.value}": f"{found.fates[fate][0]} ({found.fates[fate][1]:.3f})"
        for fate in Fate
        if fate in found.fates
    }
    causes = sorted(found.early.items(), key=lambda row: -row[1][1])
    rows |= {
        f"ended early, {cause.value}, {name}": f"{count} ({points:.4f})"
        for (cause, name), (count, points) in causes
    }
    if found.early:
        rows["ended early after a call"] = str(found.calls_early)
    counts = sorted(found.counts.items())
    return rows | {f"in all of the logs: {name}": str(count) for name, count in counts}


@click.command()
@click.argument("site", type=click.Path(exists=True, dir_okay=False))
@click.argument("reports", type=click.Path(exists=True, dir_okay=False), nargs=-1, required=True)
@click.option(
    "--logs",
    type=click.Path(exists=True, file_okay=False),
    multiple=True,
    help="A report's logs of traced senders, as the bench's --logs leaves them.",
)
@click.option("--day", multiple=True, help="Only days of this name.")
def main(site: str, reports: tuple[str, ...], logs: tuple[str, ...], day: tuple[str, ...]) -> None:
    """Print what stands between the share served and G on the days of REPORTS, the bench's `--json` files."""
    goal = tomllib.loads(Path(site).read_text()).get("goal", {})
    columns: dict[str, dict[str, str]] = {}
    for number, report in enumerate(reports):
        told = json.loads(Path(report).read_text())
        for played in told.get("days", [told]):  # the report of one day stands alone
            name = played["name"]
            if day and name not in day:
                continue
            column = {"served": f"{played['whole']:.3f}", "G": f"{played['g']:.3f}"}
            column |= {row: f"{points:.4f}" for row, points in taken(played, goal).items()}
            folder = Path(logs[number]) / name if number < len(logs) and "days" in told else None
            folder = Path(logs[number]) if number < len(logs) and "days" not in told else folder
            if folder is not None and folder.is_dir():
                try:
                    column |= of_messages(
                        account(
                            (log.open(errors="replace") for log in sorted(folder.glob("*.log"))),
                            played.get("requests"),
                        )
                    )
                except ValueError as fault:
                    sys.exit(f"{folder}: {fault}")
            columns[name if name not in columns else f"{name} ({number + 1})"] = column
    names = list(dict.fromkeys(row for column in columns.values() for row in column))
    print("| | " + " | ".join(columns) + " |\n| --- |" + " --- |" * len(columns))
    for row in names:
        print(f"| {row} | " + " | ".join(column.get(row, "") for column in columns.values()) + " |")


if __name__ == "__main__":
    main()
