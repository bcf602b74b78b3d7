"""Experiments: resumption after a kill, paired comparison, reports."""

from __future__ import annotations

import os
import signal
import sqlite3
import subprocess
import sys
from datetime import timedelta

import numpy as np
import pytest
from harness import ROOT, until
from hypothesis import given
from hypothesis import strategies as st

from willownotch.lab.experiment.cases import Case, cases, version
from willownotch.lab.experiment.compare import against, paired
from willownotch.lab.experiment.report import recovery_s, report
from willownotch.lab.experiment.run import run
from willownotch.lab.experiment.settings import Experiment, ExperimentFile
from willownotch.lab.experiment.store import Row, Store
from willownotch.lab.model.ledger import Result
from willownotch.lab.model.scenario import Scenario, Trouble, TroubleBlock
from willownotch.settings.reader import SettingsError, read

S = timedelta(seconds=1)
FILE = """experiment {
    seeds 4
    policies module "single try"
    loads 80% 120%
    scenario calm {
        duration 8s
        partners 4
    }
    scenario silence {
        duration 8s
        partners 4
        trouble a {
            at 2s
            for 3s
        }
    }
}
"""


def command(*words):
    return subprocess.run(
        [sys.executable, "-m", "willownotch", *words], cwd=ROOT, text=True, capture_output=True, timeout=100
    )


def test_an_experiment_killed_halfway_goes_on_and_ends_with_the_same_table(tmp_path):
    path, whole, halves = tmp_path / "e.conf", tmp_path / "whole.md", tmp_path / "halves.md"
    path.write_text(FILE)
    found = command("experiment", path, "--database", tmp_path / "a", "--report", whole, "--workers", "2")
    assert found.returncode == 0
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "willownotch",
            "experiment",
            path,
            "--database",
            tmp_path / "b",
            "--workers",
            "1",
        ],
        cwd=ROOT,
        start_new_session=True,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )

    def kept():
        try:
            with sqlite3.connect(f"file:{tmp_path / 'b'}?mode=ro", uri=True) as db:
                return db.execute("select count(*) from cases").fetchone()[0]
        except sqlite3.OperationalError:
            return 0

    until(lambda: kept() >= 3, 60)
    os.killpg(process.pid, signal.SIGKILL)
    process.wait()
    before = kept()
    assert 3 <= before < 32
    assert command("experiment", path, "--database", tmp_path / "b", "--report", halves).returncode == 0
    assert kept() == 32
    wanted = whole.read_text().replace("whole", "halves")
    assert halves.read_text() == wanted


def test_what_is_there_is_not_played_again_and_other_settings_are_other_cases(tmp_path):
    wanted = read(FILE, ExperimentFile).experiment
    store, told = Store(tmp_path / "db"), []
    keys = run(wanted, store, 2, told.append)
    assert sum(told) == len(keys) == 32
    took = [row.took_s for row in store.rows(keys)]
    run(wanted, store, 2, told.append)
    assert [row.took_s for row in store.rows(keys)] == took
    calm = wanted.scenario["calm"]
    one = Case("calm", 0.8, "module", 1, calm)
    assert one.key("v") != Case("calm", 0.8, "module", 2, calm).key("v") != one.key("w")
    assert one.key(version()) in {case.key(version()) for case in cases(wanted)} or calm.load != 0.8


@given(st.floats(-1, 1), st.integers(3, 30), st.integers(0, 100))
def test_a_difference_without_spread_is_certain_and_one_around_zero_is_noise(mean, pairs, seed):
    certain = paired([mean] * pairs)
    assert certain.mean == pytest.approx(mean) and certain.noise == (mean == 0.0)
    around = np.random.default_rng(seed).normal(0.0, 1.0, pairs)
    balanced = paired([*around, *-around])
    assert balanced.noise and balanced.low <= 0.0 <= balanced.high


def row(scenario, policy, seed, score):
    result = Result(
        score,
        score,
        {"run": score},
        {},
        {"a": {"delivered": 10}},
        {"a": score},
        [],
        [],
        10,
        10,
        1,
        {"a": [100.0] * 10},
    )
    return Row(scenario, 0.8, policy, seed, "v", score, "d", 1.0, result)


def test_the_same_seeds_are_compared_and_days_that_differ_much_hide_nothing():
    days = [0.1, 0.9, 0.5, 0.3, 0.7, 0.2]
    rows = [row("s", "module", n, day) for n, day in enumerate(days)]
    rows += [row("s", "better", n, day + 0.01) for n, day in enumerate(days)]
    rows += [row("s", "unsteady", n, day + (0.1 if n % 2 else -0.1)) for n, day in enumerate(days)]
    found = against(rows, "module")
    assert not found["s", 0.8, "better"].noise
    assert found["s", 0.8, "unsteady"].noise
    wanted = Experiment(policies=("module", "better", "unsteady"), scenario={"s": Scenario()})
    text = report(rows, wanted, "x")
    assert "| s | 80% | better | +0.010 (+0.010 to +0.010) |" in text
    assert "| s | 80% | unsteady |" not in text.split("## Broken rules")[0].split("loses")[1]


def test_too_few_seeds_are_no_proof():
    assert paired([0.1, 0.1]).noise


def test_recovery_is_counted_from_the_end_of_the_trouble():
    scenario = Scenario(trouble={"a": TroubleBlock(kind=Trouble.SILENCE, at=10 * S, for_=5 * S)})
    made, delivered = row("s", "module", 1, 0.5), 0
    series = []
    for n in range(1, 80):
        at = n * 0.5
        delivered += 0 if 10 < at <= 20 else 5
        series.append((at, 0, 0, delivered, delivered))
    made.result.series = series
    assert recovery_s(made, scenario)["a"] == pytest.approx(8.0, abs=0.6)


def test_charts_and_the_report_of_a_real_experiment(tmp_path):
    path = tmp_path / "e.conf"
    path.write_text(FILE.replace("seeds 4", "seeds 1"))
    assert command("experiment", path).returncode == 0
    assert (tmp_path / "e.md").read_text().count(".svg)") == len(list((tmp_path / "e").glob("*.svg"))) == 6
    first = {chart.name: chart.read_bytes() for chart in (tmp_path / "e").glob("*.svg")}
    assert command("experiment", path).returncode == 0
    assert first == {chart.name: chart.read_bytes() for chart in (tmp_path / "e").glob("*.svg")}


def test_the_play_command_tells_breaches_by_its_exit_code(tmp_path):
    found = command("play", "--policy", "single try", "--json")
    assert found.returncode in (0, 4)
    assert command("play", "--policy", "luck").returncode == 2
    path = tmp_path / "s.conf"
    path.write_text("scenario {\n duration 5s\n}\n")
    found = command("play", path)
    assert (found.returncode, found.stdout[:5]) == (0, "score")


@pytest.mark.parametrize(
    ("text", "wanted"),
    [
        ("experiment {\n policies luck\n scenario a {\n }\n}\n", "unknown policy 'luck', allowed: module"),
        ("experiment {\n policies aimd\n scenario a {\n }\n}\n", "'reference' is none of the policies"),
        ("experiment {\n}\n", "no scenario"),
    ],
)
def test_bad_experiments_are_told(text, wanted):
    with pytest.raises(SettingsError) as fault:
        read(text, ExperimentFile, "f")
    assert wanted in str(fault.value)
