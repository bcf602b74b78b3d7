"""The drivers of the fleet's slopes: each at its smallest size, the same seed twice, what is made of it."""

import sys
from pathlib import Path

import pytest

sys.path[:0] = [str(Path(__file__).parent.parent / "benchmarks" / "capacity")]

import config_baselines as baselines  # noqa: E402
import fleet_roles as roles  # noqa: E402

CPU = {"cpu s", "membership cpu s", "repair cpu s", "round"}  # the machine's, not the seed's
SMALL = {
    ("membership", "senders"): lambda loss, seed: roles.membership(3, loss, seed),
    ("usage", "senders"): lambda loss, seed: roles.usage(3, 2, loss, seed),
    ("usage", "rows changed a second"): lambda loss, seed: roles.usage(3, 5, loss, seed),
    ("findings", "endpoints down"): lambda loss, seed: roles.findings(4, 5, loss, seed),
    ("findings", "senders"): lambda loss, seed: roles.findings(3, 2, loss, seed),
    ("findings", "destinations"): lambda loss, seed: roles.round_of(40, loss, seed),
    ("budgets", "tenants"): lambda loss, seed: roles.budgets(4, 3, loss, seed),
    ("budgets", "senders"): lambda loss, seed: roles.budgets(3, 2, loss, seed),
    ("leases", "duties"): lambda loss, seed: roles.leases(4, 2, loss, seed),
    ("leases", "senders"): lambda loss, seed: roles.leases(3, 1, loss, seed),
    ("custody", "messages held"): lambda loss, seed: roles.repair(40, loss, seed),
    ("custody", "events a second"): lambda loss, seed: roles.custody(3, 2, loss, seed),
    ("custody", "senders"): lambda loss, seed: roles.custody(4, 1, loss, seed),
}
SOCKETS = {("membership", "datagrams a second")}  # in real time: its figures are the machine's alone


def test_each_axis_of_each_role_has_a_case_here():
    assert set(SMALL) | SOCKETS == {(role, axis.driver) for role in roles.ROLES for axis in roles.ROLES[role]}


@pytest.mark.parametrize(("role", "driver"), SMALL)
def test_a_driver_tells_all_its_measures_and_the_same_seed_the_same_ones(role, driver):
    play = SMALL[role, driver]
    axis = next(axis for axis in roles.ROLES[role] if axis.driver == driver)
    first, again, other = play(0.05, 1), play(0.05, 1), play(0.05, 2)
    assert set(axis.measures) <= set(first) == set(again) == set(other)
    assert all(value >= 0 for value in first.values())
    known = set(first) - CPU
    assert {m: first[m] for m in known} == {m: again[m] for m in known}
    assert all(first[m] > 0 for m in ("messages", "bytes", "state") if m in axis.measures)


def test_findings_are_known_by_all_and_cost_more_where_more_are_down():
    few, many = roles.findings(4, 5, 0.0, 1), roles.findings(4, 20, 0.0, 1)
    assert few["known"] == many["known"] == 1.0
    assert many["bytes"] > 2 * few["bytes"]
    assert many["state"] > 2 * few["state"]


def test_loss_costs_the_membership_and_is_seen_in_the_age_of_counts():
    assert roles.membership(8, 0.3, 1)["messages"] > 1.5 * roles.membership(8, 0.0, 1)["messages"]
    assert roles.usage(4, 1, 0.3, 1)["median age"] > roles.usage(4, 1, 0.0, 1)["median age"]


def test_the_largest_size_is_held_out_and_two_decades_are_left():
    for role, axes in roles.ROLES.items():
        for axis in axes:
            inside = axis.sizes[:-1]
            assert len(inside) >= roles.slopes.SIZES, (role, axis.driver)
            assert inside[-1] >= 100 * inside[0], (role, axis.driver)
            assert axis.sizes[-1] > inside[-1]


@pytest.mark.parametrize("role", roles.ROLES)
def test_runs_become_one_slope_a_measure_and_loss(role):
    cases = roles.cases(role)
    runs = []
    for _, driver, at, loss, seed in cases:
        axis = next(axis for axis in roles.ROLES[role] if axis.driver == driver)
        runs.append(roles.Run(role, driver, at, loss, seed, dict.fromkeys(axis.measures, 3.0 * at)))
    made = roles.made_of(role, runs)
    wanted = [
        (axis.driver, loss) for axis in roles.ROLES[role] for loss in axis.losses for _ in axis.measures
    ]
    assert [(one.driver, one.loss) for one in made] == wanted
    assert all(abs(one.miss) < 0.01 and one.fit.growth == "linear" for one in made)
    lacking = [run for run in runs if not (run.at == max(r.at for r in runs) and run.loss == 0.0)]
    assert len(roles.made_of(role, lacking)) < len(made)


@pytest.mark.parametrize("way", baselines.WAYS)
@pytest.mark.parametrize("size", [1000, 5000])
def test_a_document_reaches_all_by_both_ways_also_through_loss(way, size):
    cpu = "cpu s a sender and second at rest"
    first, again = (baselines.play(way, 6, size, 0.2, 1) for _ in range(2))
    assert {**first, cpu: 0} == {**again, cpu: 0}
    assert first["without it"] == 0
    assert 0 < first["median s"] <= first["worst s"] < baselines.PATIENCE_S
    assert first["sent a sender for the change"] > size / 2
    (row,) = baselines.summed([first, again])
    assert row["seeds"] == 2 and row["worst s"] == first["worst s"]


def test_who_holds_nothing_asks_and_an_older_piece_changes_nothing():
    held, other = baselines.Holder(), baselines.Holder()
    held.put(1.0, 2, 5000)
    other.put(0.0, 1, 5000)
    assert len(held.lacked(baselines.Version(1, 0, b""))) == 5
    assert held.lacked(baselines.Version(2, 0b10, b"")) == [held.pieces[1]]
    assert other.lacked(baselines.Version(2, 0b10, b"")) == []
    assert not held.take(3.0, other.pieces[0]) and held.version == 2
    for piece in reversed(held.pieces.values()):
        assert other.whole_at != 3.0
        assert other.take(3.0, piece)
    assert other.missing() == 0 and other.whole_at == 3.0
