"""`willownotch experiment` and `willownotch play`."""

from __future__ import annotations

import os
import sys
from dataclasses import asdict
from pathlib import Path

import msgspec

from willownotch.columns import table
from willownotch.lab.experiment.report import report
from willownotch.lab.experiment.run import run
from willownotch.lab.experiment.settings import ExperimentFile
from willownotch.lab.experiment.store import Store
from willownotch.lab.model.baselines import POLICIES
from willownotch.lab.model.scenario import ScenarioFile
from willownotch.lab.model.story import play
from willownotch.settings.reader import SettingsError, load

FINE, FAULTY, BROKEN = 0, 2, 4  # exit codes; the last: a rule was broken


def experiment(path: str, database: str | None, workers: int | None, out: str | None) -> int:
    """Play what is missing of an experiment, and write its report."""
    from tqdm import tqdm

    try:
        wanted = load(path, ExperimentFile).experiment
    except SettingsError as fault:
        print(fault, file=sys.stderr)
        return FAULTY
    source = Path(path)
    store = Store(database or source.with_suffix(".sqlite"))
    total = wanted.seeds * len(wanted.scenario) * max(1, len(wanted.loads)) * len(wanted.policies)
    with tqdm(total=total, unit="story", file=sys.stderr, disable=None) as bar:
        keys = run(wanted, store, workers or os.cpu_count() or 1, bar.update)
    target = Path(out) if out else source.with_suffix(".md")
    target.write_text(report(store.rows(keys), wanted, source.stem, target.with_suffix("")), encoding="utf-8")
    store.close()
    print(target)
    return FINE


def one(path: str | None, policy: str, seed: int, as_json: bool, sockets: bool = False) -> int:
    """Play one scenario once, in simulated time or on sockets."""
    try:
        scenario = load(path, ScenarioFile).scenario if path else ScenarioFile().scenario
    except SettingsError as fault:
        print(fault, file=sys.stderr)
        return FAULTY
    if policy not in POLICIES:
        print(f"willownotch: unknown policy {policy!r}, allowed: {', '.join(POLICIES)}", file=sys.stderr)
        return FAULTY
    if sockets and policy != "module":
        print("willownotch: on sockets real senders decide, allowed: --policy module", file=sys.stderr)
        return FAULTY
    if sockets:
        from willownotch.lab.twin.play import play as play_on_sockets

        result = play_on_sockets(scenario, seed)
    else:
        result = play(scenario, policy, seed)
    if as_json:
        print(msgspec.json.encode(asdict(result)).decode())
    else:
        rows = [
            [cls, f"{result.classes[cls]:.3f}", *(str(ends.get(what, 0)) for what in ENDS)]
            for cls, ends in result.outcomes.items()
        ]
        print(
            f"score {result.score:.3f}: "
            + ", ".join(f"{k} {v:.3f}" for k, v in result.parts.items())
            + "; less "
            + ", ".join(f"{k} {v:.3f}" for k, v in result.deductions.items())
        )
        print(table(["CLASS", "WORTH KEPT", *(what.upper() for what in ENDS)], rows))
        print(
            f"{result.messages} messages, {result.attempts} attempts, {result.connections} connections, "
            f"{result.events} events, digest {result.digest}"
        )
        for breach in result.breaches:
            print(f"broken: {breach.rule}, {breach.ref} at {breach.at:.3f} s, {breach.call}")
    return BROKEN if result.breaches else FINE


ENDS = ("delivered", "refused", "failed", "open")
