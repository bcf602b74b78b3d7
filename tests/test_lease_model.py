"""Every state of a small model of leases and fencing, with the program's own rule of granting."""

from __future__ import annotations

import os
from dataclasses import replace

import pytest

from willownotch.lab.check import leases
from willownotch.lab.check.leases import SMALL, TINY, Candidate, Elector, State, check
from willownotch.lab.check.states import explore


def test_no_state_breaks_the_leases():
    found = check(SMALL if os.environ.get("WILLOWNOTCH_LONG") else TINY)
    assert found.complete
    assert found.broken == ""
    assert found.states > 4000


@pytest.mark.parametrize("more", [{}, {"margin": 0}, {"fencing": False}, {"restarts": 1, "rounds": 1}])
def test_alike_states_are_one_and_none_is_left_out(more, monkeypatch):
    bounds = replace(TINY, drift=0, **more)
    first = State((Elector(),) * 3, (Candidate(),) * 2)

    def reached():
        seen, waiting = {first}, [first]
        while waiting:
            for _, state in leases.moves_of(bounds)(waiting.pop()):
                if state not in seen:
                    seen.add(state)
                    waiting.append(state)
        return seen

    few = {leases.canonical(state, bounds) for state in reached()}
    monkeypatch.setattr(leases, "canonical", lambda state, bounds: leases.sorted_out(state))
    every = reached()
    monkeypatch.undo()
    assert {leases.canonical(state, bounds) for state in every} == few
    assert len(every) > 10 * len(few)


@pytest.mark.parametrize(
    ("left_out", "wanted"),
    [
        ({"fencing": False}, "an older act was taken after a newer"),
        ({"margin": 0}, "two hold the duty"),
    ],
)
def test_a_safeguard_that_is_left_out_is_found(left_out, wanted):
    found = check(replace(TINY, **left_out))
    assert found.broken == wanted
    assert found.way


def test_the_way_to_what_is_broken_is_the_shortest():
    found = explore(0, lambda n: [("one more", n + 1), ("twice", 2 * n)], lambda n: "ten" if n == 10 else "")
    assert (found.broken, len(found.way)) == ("ten", 5)
    assert not explore(0, lambda n: [("on", (n + 1) % 7)], lambda n: "").broken
