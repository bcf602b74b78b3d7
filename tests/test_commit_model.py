"""Every state of a small model of agreement, with the program's own rules of voting."""

from __future__ import annotations

import os
from dataclasses import replace

import pytest

from willownotch.lab.check import commits
from willownotch.lab.check.commits import (
    AFTER,
    LARGE,
    LONG,
    LOST,
    NEXT,
    TINY,
    WITHOUT,
    canonical,
    check,
    first,
    moves_of,
)

ALL = bool(os.environ.get("WILLOWNOTCH_LONG"))


@pytest.mark.parametrize(
    ("bounds", "states"),
    [
        (TINY, 900),
        (AFTER, 7000),
        (NEXT, 4000),
        (LOST, 11_000),
        *((bounds, 30_000) for bounds in LARGE if ALL),
    ],
)
def test_no_state_breaks_the_agreement(bounds, states):
    found = check(bounds)
    assert found.complete
    assert found.broken == ""
    assert found.states > states


@pytest.mark.parametrize(("what", "base", "left_out"), WITHOUT)
def test_a_safeguard_that_is_left_out_is_found(what, base, left_out):
    found = check(replace(base, **left_out))
    assert found.broken in ("two commits of one revision", "what was refused was committed")
    assert found.way


@pytest.mark.skipif(not ALL, reason="half a minute")
def test_a_writer_that_goes_on_behind_a_later_token_is_found():
    assert check(replace(LONG, tokens=False)).broken == "a commit with an earlier token than the one before"


def test_what_the_model_found_once_it_finds_again(monkeypatch):
    """Of one ballot's proposals, nothing and then a commit, the first one heard of was taken over."""

    def either(revision, pendings):
        found = [pending for pending in pendings if pending and pending[1] == revision + 1]
        return max(found, key=lambda pending: pending[0], default=())

    monkeypatch.setattr(commits, "again", either)
    assert check(NEXT).broken == "two commits of one revision"


@pytest.mark.parametrize(
    "bounds",
    [replace(TINY, learning=False), replace(LOST, ballots=1, learning=True), replace(AFTER, ballots=1)],
)
def test_alike_states_are_one_and_none_is_left_out(bounds, monkeypatch):
    start = first(bounds)

    def reached():
        seen, waiting = {start}, [start]
        while waiting:
            for _, state in moves_of(bounds)(waiting.pop()):
                if state not in seen:
                    seen.add(state)
                    waiting.append(state)
        return seen

    few = {canonical(state) for state in reached()}
    monkeypatch.setattr(commits, "canonical", lambda state: state)
    every = reached()
    monkeypatch.undo()
    assert {canonical(state) for state in every} == few
    assert len(every) > 3 * len(few)
