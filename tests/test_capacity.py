"""Fits of growth: a known growth is found, the held-out size predicted, and no claim made far beyond it."""

import math
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

sys.path[:0] = [str(Path(__file__).parent.parent / "benchmarks" / "capacity")]

import page  # noqa: E402
import slopes  # noqa: E402

SIZES = (10, 30, 100, 300, 1000, 3000)
FACTORS = st.floats(1e-6, 1e6)


def made(growth, sizes=SIZES, **more):
    return slopes.slope("role", "driver", "measure", "s", {at: [growth(at)] for at in sizes}, **more)


@given(FACTORS, st.floats(0.2, 3.0))
def test_a_power_law_is_found_and_predicted(factor, exponent):
    one = made(lambda at: factor * at**exponent)
    assert one.fit.exponent == pytest.approx(exponent, abs=1e-6)
    assert one.miss == pytest.approx(0.0, abs=0.01)
    assert slopes.predict(one, 9000).value == pytest.approx(factor * 9000**exponent, rel=1e-4)
    assert ("linear" in one.fit.growth) <= (0.9 <= exponent <= 1.1)


@given(FACTORS, st.floats(0.01, 100.0))
def test_a_fixed_part_and_a_line_are_found_and_called_linear_by_the_exponent_alone(each, share):
    one = made(lambda at: each * (100 * share + at))
    assert one.miss == pytest.approx(0.0, abs=0.01)
    assert (one.fit.growth == "linear") <= (0.9 <= one.fit.exponent <= 1.1)


@given(FACTORS, st.floats(0.3, 3.0), st.floats(0.2, 5.0))
def test_the_miss_is_what_the_held_out_size_differs_by(factor, exponent, off):
    def growth(at):
        return factor * at**exponent * (off if at == SIZES[-1] else 1.0)

    one = made(growth)
    assert one.miss == pytest.approx(100 * (1 / off - 1), abs=0.01)
    beyond = slopes.predict(one, 2 * SIZES[-1]).value
    assert beyond == pytest.approx(factor * (2 * SIZES[-1]) ** exponent * max(off, 1.0), rel=1e-4)


@given(st.floats(1.0, 100.0))
def test_the_limit_of_what_is_claimed(times):
    told = slopes.predict(made(lambda at: 2.0 * at), SIZES[-1] * times)
    assert told.beyond == pytest.approx(times)
    assert told.claimed == (told.beyond <= slopes.LIMIT)


def test_a_measured_size_is_told_as_measured():
    one = made(lambda at: math.sin(at) + 2.0 * at)
    for at in SIZES:
        assert slopes.predict(one, at).value == pytest.approx(math.sin(at) + 2.0 * at)
        assert slopes.predict(one, at).beyond == 1.0


def test_a_cap_and_a_step_are_named():
    assert made(lambda at: min(at, 150)).fit.kind == "capped"
    assert slopes.predict(made(lambda at: min(at, 150)), 6000).value == 150
    assert "step between 100 and 300" in made(lambda at: at * (20 if at > 100 else 1)).fit.growth
    assert made(lambda at: 7.0).fit.growth == "no growth"


@pytest.mark.parametrize("sizes", [(10, 100, 1000), (10, 20, 30, 40, 50), (10, 100, 900, 950, 5000)])
def test_too_few_sizes_or_decades_make_no_slope(sizes):
    with pytest.raises(ValueError, match="decades"):
        made(float, sizes)


def test_a_result_file_reads_as_written(tmp_path, monkeypatch):
    monkeypatch.setattr(slopes, "RESULTS", tmp_path)
    one = made(lambda at: 3.0 * at, loss=0.05, target=910.0, budget="wire")
    path = slopes.write("role", "command", [one], "gossip", [1, 2], ["cut"])
    assert slopes.read(path).slopes == [one]


# The page


def role(name, *some, mechanism="gossip", **more):
    return slopes.Role(
        name, "2026-12-02", "abc", "1 core", f"python {name}.py", [1], mechanism, list(some), **more
    )


@given(st.floats(0.01, 3.0), st.floats(0.5, 2.0))
def test_the_share_is_where_the_budget_ends(part, exponent):
    target, most = 3000.0, slopes.BUDGETS["wire"]
    one = made(lambda at: most * (at / (part * target)) ** exponent, target=target, budget="wire")
    found = page.share_of(one, "wire")
    assert found.part == pytest.approx(min(1.0, part), rel=0.02)
    assert not found.open


def test_a_slope_that_is_over_at_its_smallest_size_holds_under_that():
    found = page.share_of(made(lambda at: 8000.0 + at, target=1000.0, budget="wire"), "wire")
    assert found.under
    assert found.part == pytest.approx(SIZES[0] / 1000)
    assert page.shown(found) == "under 1%"


def test_the_tier_carries_configuration_once_it_has_results(tmp_path, monkeypatch):
    monkeypatch.setattr(slopes, "RESULTS", tmp_path)
    monkeypatch.setattr(page, "played", dict)
    slopes.write("configuration", "command", [], "none yet")
    row = next(row for row in page.ROWS if row.name == "configuration")
    assert page.shares(row, page.load(tmp_path)["configuration"])[0].part == 0.0
    idle = made(lambda at: 7000.0 * at / 455, target=910.0, budget="wire")
    slopes.write("tier-sender", "command", [idle], "control tier")
    (tmp_path / "raw.json").write_text("[]", encoding="utf-8")
    found = page.load(tmp_path)
    assert not page.carried(row, found)
    assert any(page.NOT in line for line in page.roles(found) if line.startswith("| configuration |"))
    in_force = slopes.slope(
        "tier",
        "senders",
        "in force at the last",
        "s",
        {at: [at / 300] for at in SIZES},
        target=910.0,
        budget="age",
    )
    slopes.write("tier-fleet", "command", [in_force], "control tier")
    assert page.carried(row, page.load(tmp_path))[0].part == pytest.approx(0.5, rel=0.02)


def test_a_fleet_without_a_slope_holds_as_far_as_it_was_played(tmp_path, monkeypatch):
    monkeypatch.setattr(slopes, "RESULTS", tmp_path)
    slopes.write("configuration", "command", [], "none yet")
    slopes.write("tier-sender", "command", [], "control tier")
    row = next(row for row in page.ROWS if row.name == "configuration")
    for late, part in ((10.0, 91 / 910), (12.0, 0.0)):
        runs = {9: {}, 91: {"changes": {"lasts": [1.0]}, "5% loss": {"lasts": [1.0, late]}}}
        monkeypatch.setattr(page, "played", lambda runs=runs: runs)
        (share,) = page.carried(row, page.load(tmp_path))
        assert share.open
        assert share.part == pytest.approx(part)


def test_no_share_is_claimed_beyond_the_limit():
    one = made(lambda at: 1e-9 * at, target=1e6, budget="wire")
    found = page.share_of(one, "wire")
    assert found.open
    assert found.part == pytest.approx(slopes.LIMIT * SIZES[-1] / 1e6, rel=0.02)


def test_a_role_is_no_better_than_its_worst_measure_and_nothing_without_a_mechanism():
    good = made(lambda at: 1e-6 * at, target=910.0, budget="wire", loss=0.0)
    bad = made(lambda at: 70.0 * at, target=910.0, budget="wire", loss=0.05)
    worse = made(lambda at: 700.0 * at, target=910.0, budget="wire", loss=0.3)
    row = page.Row("usage", "usage")
    assert page.shares(row, role("usage", good, bad, worse))[0].part == pytest.approx(100 / 910, rel=0.02)
    assert page.shares(row, role("usage", good, mechanism="none yet"))[0].part == 0.0
    cap = slopes.Cap("senders", 91, 910, "refused above")
    assert page.shares(row, role("usage", good, caps=[cap]))[0].part == pytest.approx(0.1)


def test_bytes_of_copies_are_not_bounded_and_ages_only_of_what_is_brought_into_force():
    wire, old = made(float, budget="wire", target=910.0), made(float, budget="age", target=910.0)
    assert page.budget_of(page.Row("custody", "custody", "copies"), wire) == ""
    assert page.budget_of(page.Row("usage", "usage"), old) == ""
    assert page.budget_of(page.Row("findings", "findings", aged=True), old) == "age"


def test_the_page_says_what_the_results_say():
    text = page.PAGE.read_text(encoding="utf-8")
    assert text == page.written(text, page.load(slopes.RESULTS)), "run: python benchmarks/capacity/page.py"


def test_another_result_makes_another_page():
    text = page.PAGE.read_text(encoding="utf-8")
    found = page.load(slopes.RESULTS)
    one = made(lambda at: 123.0 * at, target=910.0, budget="wire")
    assert page.written(text, {**found, "usage": role("usage", one)}) != text
    assert page.written(text, {**found, "tier-x": role("tier", one)}) != text
    failure = slopes.Failure("a zone", "182 senders", [1.0, 2.0], "nothing", "2 s")
    assert "182 senders" in page.written(text, {**found, "tier-x": role("tier", failures=[failure])})


def test_a_page_without_results_says_so():
    text = page.written(page.PAGE.read_text(encoding="utf-8"), {})
    assert text.count(page.NOT) > len(page.ROWS)
