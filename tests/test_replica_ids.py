"""The list of ids that a book's owner tells its keepers, over a way that loses, repeats and reorders."""

from __future__ import annotations

from datetime import UTC, datetime
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from willownotch.replica.ids import STEPS_MOST, Ids, Index, Keeper

AT = datetime(2026, 1, 1, tzinfo=UTC)


class Way:
    """An owner and one keeper, each message lost, late or there twice; the owner's truth beside them."""

    def __init__(self, seed, loss):
        self.random, self.loss = Random(seed), loss
        self.ids, self.index, self.now = Ids(), Index(None, 1, 0.0, {}), 0.0
        self.owed, self.under_way = set(), []
        self.ids.keep(["k"])

    def change(self, added, gone):
        self.owed = self.owed - set(gone) | set(added)
        self.ids.note(dict.fromkeys(added, AT), gone)
        self.ids.flush(0)

    def post(self, kind, *what):
        for _ in range(1 + (self.random.random() < 0.1)):
            if self.random.random() >= self.loss:
                self.under_way.insert(self.random.randint(0, len(self.under_way)), (kind, *what))

    def step(self):
        self.now += 0.05
        if self.ids.wants(self.now, "k"):
            found = self.ids.next(self.now, "k")
            if found is None:
                self.post("refs", -1, self.ids.step, tuple(self.owed), ())
            else:
                self.post("refs", found[0], self.ids.step, tuple(found[1][0]), found[1][1])
        for _ in range(min(len(self.under_way), 3)):
            kind, *what = self.under_way.pop(0)
            if kind == "told":
                self.ids.told(self.now, "k", *what)
                continue
            after, step, owed, over = what
            missed = self.index.take(self.now, after, step, tuple((ref, 1) for ref in owed), over)
            self.post("told", self.index.at, missed)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 2**32),
    loss=st.sampled_from([0.0, 0.2, 0.5]),
    stories=st.lists(
        st.tuples(st.sets(st.integers(0, 9)), st.sets(st.integers(0, 9)), st.integers(0, 5)), max_size=30
    ),
)
def test_a_keeper_comes_to_know_what_is_owed_whatever_is_lost(seed, loss, stories):
    way = Way(seed, loss)
    for added, gone, steps in stories:
        way.change([f"r{n}" for n in added - gone], [f"r{n}" for n in gone])
        for _ in range(steps):
            way.step()
    for _ in range(4000):
        if way.ids.keepers["k"].at == way.ids.step:
            break
        way.step()
    assert way.ids.keepers["k"].at == way.ids.step
    assert set(way.index.refs) == way.owed


@pytest.mark.parametrize(
    ("keepers", "wanted"),
    [
        ({}, None),  # there is nobody to wait for
        ({"a": Keeper(at=2)}, None),  # it has all of them
        ({"a": Keeper(at=1, since=9.95)}, 7),
        ({"a": Keeper(at=1, since=9.5)}, None),  # it does not answer
        ({"a": Keeper(at=-1)}, None),  # it never has
        ({"a": Keeper(at=1, since=9.5), "b": Keeper(at=1, since=9.95)}, 7),
        ({"a": Keeper(at=0, since=9.95), "b": Keeper(at=2)}, None),
        ({"a": Keeper(at=0, since=9.95)}, 4),
    ],
)
def test_a_promise_waits_for_one_keeper_that_answers(keepers, wanted):
    ids = Ids(keepers={"a": Keeper()})
    for ref, before in (("r", 4), ("s", 7)):
        ids.note({ref: AT}, [])
        ids.flush(before)
    ids.keepers = keepers
    assert ids.floor(10.0, 0.1) == wanted


def test_who_is_too_far_behind_is_told_all_of_it():
    ids = Ids()
    ids.keep(["a"])
    ids.next(0.0, "a")
    ids.told(0.0, "a", 0, False)
    for n in range(STEPS_MOST + 1):
        ids.note({f"r{n}": AT}, [])
        ids.flush(n)
    assert len(ids.steps) == STEPS_MOST
    assert ids.next(1.0, "a") is None
