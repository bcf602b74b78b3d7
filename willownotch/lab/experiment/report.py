"""Tables in Markdown and charts of an experiment."""

from __future__ import annotations

from collections import Counter, defaultdict
from pathlib import Path
from statistics import fmean, median

import numpy as np

from willownotch.lab.experiment.compare import Difference, against
from willownotch.lab.experiment.settings import Experiment
from willownotch.lab.experiment.store import Row
from willownotch.lab.model.ledger import SAMPLE_S
from willownotch.lab.model.scenario import Scenario, Trouble

RECOVERED = 0.9  # of the rate of deliveries before a trouble
SMOOTH = 6  # samples that a rate of deliveries is taken over


def markdown(rows: list[list[str]]) -> list[str]:
    """Rows as a table, the first one its head."""
    lines = [f"| {' | '.join(row)} |" for row in rows]
    return [lines[0], "| " + " | ".join("---" for _ in rows[0]) + " |", *lines[1:]]


def grouped(rows: list[Row]) -> dict[tuple[str, float, str], list[Row]]:
    """Rows by scenario, load and policy."""
    found: dict[tuple[str, float, str], list[Row]] = defaultdict(list)
    for row in rows:
        found[row.scenario, row.load, row.policy].append(row)
    return found


def scores(rows: list[Row], policies: tuple[str, ...], reference: str) -> list[str]:
    """Mean scores by policy, and the best other policy against the reference."""
    groups, differences = grouped(rows), against(rows, reference)
    table = [["scenario", "load", *policies, f"best other less {reference}"]]
    for scenario, load in sorted({key[:2] for key in groups}):
        means = [groups.get((scenario, load, p)) for p in policies]
        cells = [f"{fmean(r.score for r in each):.3f}" if each else "" for each in means]
        best = best_other(differences, scenario, load)
        told = f"{best[0]} {best[1].show()}" if best else ""
        table.append([scenario, f"{load:.0%}", *cells, told])
    return markdown(table)


def best_other(
    differences: dict[tuple[str, float, str], Difference], scenario: str, load: float
) -> tuple[str, Difference] | None:
    """The policy that does best against the reference."""
    there = [(p, d) for (s, at, p), d in differences.items() if (s, at) == (scenario, load)]
    return max(there, key=lambda each: each[1].mean, default=None)


def losses(rows: list[Row], reference: str) -> list[str]:
    """Where the reference loses, for certain, the largest loss first."""
    found = [
        (d.mean, s, load, p, d)
        for (s, load, p), d in against(rows, reference).items()
        if d.mean > 0 and not d.noise
    ]
    found.sort(key=lambda each: -each[0])
    if not found:
        return [f"{reference} loses to none of them beyond noise."]
    return markdown(
        [
            ["scenario", "load", "policy", f"less {reference}"],
            *[[s, f"{load:.0%}", p, d.show()] for _, s, load, p, d in found],
        ]
    )


def breaches(rows: list[Row]) -> list[str]:
    """Broken rules by policy."""
    counted: dict[str, Counter] = defaultdict(Counter)
    stories: Counter = Counter()
    for row in rows:
        stories[row.policy] += 1
        counted[row.policy].update(b.rule for b in row.result.breaches)
    names = sorted({rule for counter in counted.values() for rule in counter})
    if not names:
        return ["No rule was broken."]
    told = [[p, str(stories[p]), *(str(counted[p][name]) for name in names)] for p in sorted(stories)]
    return markdown([["policy", "stories", *names], *told])


def latencies(rows: list[Row]) -> list[str]:
    """Latency of what was delivered, from the first hand-in, by scenario, load and policy."""
    table = [["scenario", "load", "policy", "delivered", "p50, ms", "p99, ms", "attempts a message"]]
    for (scenario, load, policy), group in sorted(grouped(rows).items()):
        values = np.array([v for row in group for each in row.result.latency_ms.values() for v in each])
        messages = sum(row.result.messages for row in group)
        points = [f"{np.percentile(values, p):.0f}" for p in (50, 99)] if len(values) else ["", ""]
        attempts = sum(row.result.attempts for row in group) / messages
        share = f"{len(values) / messages:.1%}"
        table.append([scenario, f"{load:.0%}", policy, share, *points, f"{attempts:.2f}"])
    return markdown(table)


def outcomes(rows: list[Row]) -> list[str]:
    """What became of messages, by scenario, load, policy and class."""
    table = [["scenario", "load", "policy", "class", "worth kept", "outcomes"]]
    for (scenario, load, policy), group in sorted(grouped(rows).items()):
        for cls in group[0].result.outcomes:
            counter: Counter = Counter()
            for row in group:
                counter.update(row.result.outcomes[cls])
            total = sum(counter.values())
            told = ", ".join(f"{what} {count / total:.1%}" for what, count in counter.most_common())
            kept = fmean(row.result.classes[cls] for row in group)
            table.append([scenario, f"{load:.0%}", policy, cls, f"{kept:.3f}", told])
    return markdown(table)


def recovery_s(row: Row, scenario: Scenario) -> dict[str, float | None]:
    """For each trouble: seconds from its end until deliveries are back at their rate from before; None if
    they never were in this story."""
    times = np.array([s[0] for s in row.result.series])
    delivered = np.array([s[3] for s in row.result.series], dtype=float)
    found: dict[str, float | None] = {}
    if len(times) <= SMOOTH:
        return found
    rate = (delivered[SMOOTH:] - delivered[:-SMOOTH]) / (SMOOTH * SAMPLE_S)
    at = times[SMOOTH:]
    for name, block in scenario.trouble.items():
        if block.kind is Trouble.DRAIN:
            continue
        began, ended = block.at.total_seconds(), (block.at + block.for_).total_seconds()
        before = rate[(at <= began)]
        after = at >= ended + SMOOTH * SAMPLE_S / 2
        if not len(before) or not after.any():
            continue
        well = np.flatnonzero(after & (rate >= RECOVERED * np.mean(before)))
        found[name] = max(0.0, float(at[well[0]] - ended)) if len(well) else None
    return found


def recoveries(rows: list[Row], experiment: Experiment) -> list[str]:
    """Medians of `recovery_s`."""
    table = [["scenario", "load", "policy", "trouble", "back at 90% of its rate, s: median", "never"]]
    for (scenario, load, policy), group in sorted(grouped(rows).items()):
        spans: dict[str, list[float | None]] = defaultdict(list)
        for row in group:
            for name, span in recovery_s(row, experiment.scenario[scenario]).items():
                spans[name].append(span)
        for name, values in spans.items():
            known = [v for v in values if v is not None]
            table.append(
                [
                    scenario,
                    f"{load:.0%}",
                    policy,
                    name,
                    f"{median(known):.1f}" if known else "",
                    str(len(values) - len(known)),
                ]
            )
    return markdown(table)


def charts(rows: list[Row], experiment: Experiment, folder: Path) -> list[str]:
    """Charts as SVG files; their names."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    pyplot.rcParams["svg.hashsalt"] = "willownotch"  # the same file for the same data
    folder.mkdir(parents=True, exist_ok=True)
    groups, names = grouped(rows), []

    def save(figure, name: str) -> None:
        figure.tight_layout()
        figure.savefig(folder / name, metadata={"Date": None})
        pyplot.close(figure)
        names.append(name)

    loads = sorted({row.load for row in rows})
    for scenario in experiment.scenario:
        if len(loads) > 1:
            figure, axes = pyplot.subplots(figsize=(7, 4))
            for policy in experiment.policies:
                there = [
                    (load, groups[scenario, load, policy])
                    for load in loads
                    if (scenario, load, policy) in groups
                ]
                axes.plot(
                    [100 * load for load, _ in there],
                    [fmean(r.result.parts["run"] for r in group) for _, group in there],
                    marker="o",
                    label=policy,
                )
            axes.set(xlabel="load, % of full", ylabel="worth kept", title=f"goodput against load: {scenario}")
            axes.legend(fontsize=7)
            save(figure, f"load-{scenario}.svg")
        load = loads[-1] if len(loads) == 1 else loads[len(loads) // 2]
        figure, axes = pyplot.subplots(figsize=(7, 4))
        for policy in experiment.policies:
            group = groups.get((scenario, load, policy))
            values = np.sort(
                [v for row in group or () for each in row.result.latency_ms.values() for v in each]
            )
            if len(values):
                axes.plot(
                    values / 1000,
                    100 * (np.arange(len(values)) + 1) / sum(row.result.messages for row in group),
                    label=policy,
                )
        axes.set(
            xscale="log",
            xlabel="seconds from the first hand-in",
            ylabel="% of messages delivered",
            title=f"latency: {scenario} at {load:.0%}",
        )
        axes.legend(fontsize=7)
        save(figure, f"latency-{scenario}.svg")
        figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(7, 5), sharex=True)
        for policy in experiment.policies:
            group = groups.get((scenario, load, policy))
            if not group:
                continue
            shortest = min(len(row.result.series) for row in group)
            series = np.mean([np.array(row.result.series[:shortest])[:, 1:4] for row in group], axis=0)
            times = [s[0] for s in group[0].result.series[:shortest]]
            upper.plot(times, series[:, 1], label=policy)
            lower.plot(times[1:], np.diff(series[:, 2]) / SAMPLE_S)
        for block in experiment.scenario[scenario].trouble.values():
            for axes in (upper, lower):
                axes.axvspan(block.at.total_seconds(), (block.at + block.for_).total_seconds(), alpha=0.1)
        upper.set(ylabel="calls out", title=f"over time: {scenario} at {load:.0%}, mean of seeds")
        lower.set(xlabel="s", ylabel="deliveries a second")
        upper.legend(fontsize=7)
        save(figure, f"time-{scenario}.svg")
    return names


def report(rows: list[Row], experiment: Experiment, name: str, folder: Path | None = None) -> str:
    """The whole report; charts go to `folder`, if one is given."""
    seeds = sorted({row.seed for row in rows})
    lines = [
        f"# {name}",
        "",
        f"{len(rows)} stories, seeds {seeds[0]} to {seeds[-1]}, "
        f"code {', '.join(sorted({row.version for row in rows}))}.",
        "",
        "## Scores",
        "",
        *scores(rows, experiment.policies, experiment.reference),
        "",
        f"## Where {experiment.reference} loses",
        "",
        *losses(rows, experiment.reference),
        "",
        "## Broken rules",
        "",
        *breaches(rows),
        "",
        "## Latency",
        "",
        *latencies(rows),
        "",
        "## Outcomes by class",
        "",
        *outcomes(rows),
        "",
        "## Recovery",
        "",
        *recoveries(rows, experiment),
    ]
    if folder is not None:
        made = charts(rows, experiment, folder)
        lines += ["", "## Charts", "", *[f"![{chart}]({folder.name}/{chart})" for chart in made]]
    return "\n".join(lines) + "\n"
