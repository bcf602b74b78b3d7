"""Replication of a book's outstanding ids to id holders over a link that loses, repeats and reorders
messages."""

from __future__ import annotations

from datetime import UTC, datetime
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from willownotch.replica.ids import MAX_STEPS, IdHolder, IdIndex, IdLog

AT = datetime(2026, 1, 1, tzinfo=UTC)


class LossyLink:
    """An owner and one id holder; messages between them may be lost, late or repeated. Tracks the true
    ids."""

    def __init__(self, seed, loss):
        self.random, self.loss = Random(seed), loss
        self.ids, self.index, self.now = IdLog(), IdIndex(None, 1, 0.0, {}), 0.0
        self.outstanding, self.in_flight = set(), []
        self.ids.set_holders(["k"])

    def change(self, added, gone):
        self.outstanding = self.outstanding - set(gone) | set(added)
        self.ids.note(dict.fromkeys(added, AT), gone)
        self.ids.flush(0)

    def post(self, kind, *what):
        for _ in range(1 + (self.random.random() < 0.1)):
            if self.random.random() >= self.loss:
                self.in_flight.insert(self.random.randint(0, len(self.in_flight)), (kind, *what))

    def step(self):
        self.now += 0.05
        if self.ids.is_due(self.now, "k"):
            found = self.ids.next_changes(self.now, "k")
            if found is None:
                self.post("refs", -1, self.ids.step, tuple(self.outstanding), ())
            else:
                self.post("refs", found[0], self.ids.step, tuple(found[1][0]), found[1][1])
        for _ in range(min(len(self.in_flight), 3)):
            kind, *what = self.in_flight.pop(0)
            if kind == "told":
                self.ids.on_ack(self.now, "k", *what)
                continue
            after, step, outstanding, over = what
            missed = self.index.apply_step(
                self.now, after, step, tuple((ref, 1) for ref in outstanding), over
            )
            self.post("told", self.index.known_step, missed)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 2**32),
    loss=st.sampled_from([0.0, 0.2, 0.5]),
    stories=st.lists(
        st.tuples(st.sets(st.integers(0, 9)), st.sets(st.integers(0, 9)), st.integers(0, 5)), max_size=30
    ),
)
def test_an_id_holder_learns_the_outstanding_ids_whatever_is_lost(seed, loss, stories):
    link = LossyLink(seed, loss)
    for added, gone, steps in stories:
        link.change([f"r{n}" for n in added - gone], [f"r{n}" for n in gone])
        for _ in range(steps):
            link.step()
    for _ in range(4000):
        if link.ids.holders["k"].known_step == link.ids.step:
            break
        link.step()
    assert link.ids.holders["k"].known_step == link.ids.step
    assert set(link.index.refs) == link.outstanding


@pytest.mark.parametrize(
    ("holders", "wanted"),
    [
        ({}, None),  # there is no id holder to wait for
        ({"a": IdHolder(known_step=2)}, None),  # it has all steps
        ({"a": IdHolder(known_step=1, waiting_since=9.95)}, 7),
        ({"a": IdHolder(known_step=1, waiting_since=9.5)}, None),  # it does not answer
        ({"a": IdHolder(known_step=-1)}, None),  # it never answered
        (
            {"a": IdHolder(known_step=1, waiting_since=9.5), "b": IdHolder(known_step=1, waiting_since=9.95)},
            7,
        ),
        ({"a": IdHolder(known_step=0, waiting_since=9.95), "b": IdHolder(known_step=2)}, None),
        ({"a": IdHolder(known_step=0, waiting_since=9.95)}, 4),
    ],
)
def test_a_promise_waits_for_one_id_holder_that_answers(holders, wanted):
    ids = IdLog(holders={"a": IdHolder()})
    for ref, before in (("r", 4), ("s", 7)):
        ids.note({ref: AT}, [])
        ids.flush(before)
    ids.holders = holders
    assert ids.promise_limit(10.0, 0.1) == wanted


def test_an_id_holder_too_far_behind_gets_the_whole_list():
    ids = IdLog()
    ids.set_holders(["a"])
    ids.next_changes(0.0, "a")
    ids.on_ack(0.0, "a", 0, False)
    for n in range(MAX_STEPS + 1):
        ids.note({f"r{n}": AT}, [])
        ids.flush(n)
    assert len(ids.steps) == MAX_STEPS
    assert ids.next_changes(1.0, "a") is None
