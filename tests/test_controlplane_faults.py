"""The control plane in real processes with faults between them: nine members, a dozen followers.

What is counted comes from outside: what authors were told, and the revisions that came into force at each
follower, with all entries. `Plane.check` holds one against the other: no revision goes back, each is what the
accepted changes make of it, and nothing of a change that was refused or lost is in any.
"""

from __future__ import annotations

import itertools
import shutil
import signal
from datetime import timedelta

import pytest
from harness import until
from plane import PATIENCE, PLACES, Authors, Plane

from willownotch.peers.lossy import Conditions

FOLLOWERS = tuple(dict.fromkeys(PLACES)) * 2 + PLACES[:2]  # a dozen
HISTORY = " history 16\n"
FAST = {
    "period": timedelta(milliseconds=300),
    "patience": timedelta(milliseconds=200),
    "home": timedelta(seconds=2),
}
SEED = 35


whole = []  # a plane that a test has left as it found it, for the next one


@pytest.fixture(scope="module", autouse=True)
def last_one():
    """Nine processes take seconds to start: they outlive a test that ends well."""
    yield
    for each in whole:
        each.close()


@pytest.fixture
def plane(tmp_path, tmp_path_factory):
    made = []

    def make(conditions=None, member=None):
        if member is None and whole:
            made.append(whole.pop())
            made[-1].relay.conditions = conditions or Conditions()
        else:
            path = tmp_path if member else tmp_path_factory.mktemp("plane")
            made.append(
                Plane(
                    path,
                    followers=FOLLOWERS,
                    seed=SEED,
                    follow=FAST,
                    conditions=conditions,
                    member=member or "",
                )
            )
            made[-1].writer()
            made[-1].start_followers()
        print(f"seed {SEED}, begins at revision {made[-1].last()}")
        return made[-1]

    yield make
    for each in made:
        if each not in whole:
            each.show()
            each.close()


def finish(plane, authors=None):
    """All outcomes are known, the last revision is in force everywhere, and all of it holds together."""
    if authors is not None:
        authors.end()
    plane.settle()
    plane.arrive().check()
    whole.append(plane)


def test_a_writer_stopped_in_mid_change_and_continued_has_nothing_half_in_force(plane):
    made = plane(conditions=Conditions(delay=0.02))  # a change takes two ways: one is always under way
    authors = Authors(made)
    before = made.last()
    until(lambda: made.last() >= before + 5, PATIENCE)
    for _ in range(2):
        first = made.writer()
        first.signal(signal.SIGSTOP)
        others = [m for m in made.running() if m is not first]
        second = made.writer(others)
        assert second is not first
        before = made.last()
        until(lambda before=before: made.last() >= before + 3, PATIENCE)
        first.signal(signal.SIGCONT)
        before = made.last()
        until(lambda before=before: made.last() >= before + 3, PATIENCE)
    finish(made, authors)


def test_a_writer_killed_between_majority_and_answer_has_its_change_accepted_once(plane):
    made = plane()
    for count in range(2):
        made.commit(made.members[0], {"data/before": str(count)})
        first = made.writer()
        others = [m for m in made.running() if m is not first]
        # What it says goes out, and nothing that is said to it comes back.
        made.cut(lambda a, b, name=first.name: b == name)
        asked, thread = made.later(first, {"data/key": str(count)})
        until(lambda asked=asked, others=others: sum(m.holds(asked) for m in others) >= 5, PATIENCE)
        first.kill()
        thread.join()
        assert asked.outcome == "unknown"
        made.heal()
        other = made.change(others[0], {"data/key": "late"}, base=asked.base)
        made.settle()
        assert asked.outcome == "committed"
        assert (other.outcome, other.revision) == ("lost", asked.revision)
        made.restart(first)
    finish(made)


def test_four_members_that_lose_their_folders_take_no_accepted_change_with_them(plane):
    made = plane()
    made.commit(made.members[0], {"data/all": "1"})
    made.arrive()
    first = made.writer()
    rest = [m for m in made.members if m is not first]
    apart, few, last = rest[:4], rest[4:7], rest[7]
    # The change is known to five alone: four of them are lost, the fifth is away when they come back.
    made.cut_off({m.name for m in apart})
    made.commit(first, {"data/five": "2"})
    for member in (first, *few):
        member.kill()
    made.cut_off({last.name})
    for member in (first, *few):
        made.restart(member, emptied=True)
    # Eight are there; all that they could make without the fifth would go back behind it.
    assert made.change(apart[0], {"data/eight": "3"}, patience=3.0).outcome != "committed"
    made.heal()
    before, authors = made.last(), Authors(made)
    until(lambda: made.last() >= before + 6, PATIENCE)
    finish(made, authors)


def test_a_region_cut_off_takes_no_change_and_has_the_others_after_it(plane):
    made = plane()
    made.commit(made.members[0], {"data/before": "0"})
    made.arrive()
    south = made.in_region("south")
    made.cut_off(south)
    sides = [[m for m in made.members if (m.name in south) is side] for side in (False, True)]
    north, cut = Authors(made, 2, sides[0]), Authors(made, 2, sides[1], seed=SEED + 1)
    before = made.last()
    inside = [h for h in made.followers if h.name in south]
    outside = [h for h in made.followers if h.name not in south]
    until(lambda: made.last() >= before + 5, PATIENCE)
    made.arrive(outside)
    assert {h.revision for h in inside} == {before}
    assert not [
        a for a in made.asked if a.outcome == "committed" and a.revision > before and a.member in south
    ]
    made.heal()
    until(lambda: all(h.revision > before for h in inside), PATIENCE)
    cut.end()
    finish(made, north)


def test_a_member_that_is_behind_moves_nobody_back(plane):
    made = plane()
    made.commit(made.members[0], {"data/before": "0"})
    made.arrive()
    late = made.members[8].name
    made.cut(lambda a, b: a[0] == b[0] == "m" and late in (a, b))  # from the members alone
    for count in range(3):
        made.commit(made.members[0], {"data/late": str(count)})

    def ahead():
        return [h for h in made.followers if h.revision == made.last()]

    until(lambda: len(ahead()) >= 9, PATIENCE)
    earlier = {h: h.follower.counters["behind"] for h in ahead()}
    made.cut(lambda a, b: late in (a, b) if a[0] == b[0] else late not in (a, b))  # it is all that there is
    until(lambda: sum(h.follower.counters["behind"] > n for h, n in earlier.items()) >= 3, PATIENCE)
    made.heal()
    made.commit(made.members[0], {"data/after": "0"})
    finish(made)


@pytest.mark.parametrize(
    "conditions",
    [
        Conditions(delay=0.03, jitter=0.05, repeat=0.2),
        Conditions(loss=0.05, delay=0.005, jitter=0.02, repeat=0.05),
    ],
    ids=["delayed and doubled", "dropped"],
)
def test_what_is_delayed_doubled_or_dropped_makes_no_difference(plane, conditions):
    made = plane(conditions=conditions)
    before, authors = made.last(), Authors(made)
    until(lambda: made.last() >= before + 20, 2 * PATIENCE)
    made.heal()
    finish(made, authors)


def test_real_senders_have_each_change_once_over_kills_of_members_and_of_themselves(plane):
    made = plane()
    senders = [made.add_sender(60 + n, *PLACES[place]) for n, place in enumerate((0, 8))]
    try:
        made.commit(made.members[0], {"config/settings/services/status/promiseS": 2.25, "data/real": "0"})
        for sender in senders:
            until(lambda sender=sender: sender.revision == made.last(), PATIENCE)
        authors = Authors(made)
        killed = next(m for m in made.members if m.name == senders[0].follows())
        killed.kill()
        made.cut_off({senders[1].name})
        held, before = senders[1].revision, made.last()
        senders[1].process.kill()
        until(lambda: made.last() >= before + 5 and senders[0].follows() != killed.name, PATIENCE)
        made.restart(killed)
        senders[1].process.wait(PATIENCE)
        senders[1].start()
        until(lambda: senders[1].revision >= held, PATIENCE)  # with nobody to ask
        made.heal()
        authors.end()
        made.settle()
        for sender in senders:
            until(lambda sender=sender: sender.revision == made.last(), PATIENCE)
            revisions = sender.revisions
            assert all(a < b for a, b in itertools.pairwise(revisions[: sender.lives[-1]]))
            assert all(a < b for a, b in itertools.pairwise(revisions[sender.lives[-1] :]))
            assert set(revisions) <= {a.revision for a in made.asked if a.outcome == "committed"}
        finish(made)
    finally:
        for sender in senders:
            sender.close()


def test_a_follower_with_an_old_folder_begins_with_that_and_goes_forward_alone(plane, tmp_path):
    made = plane(member=HISTORY)
    for count in range(3):
        made.commit(made.members[0], {f"data/{count}": str(count)})
    made.arrive()
    one, two = made.followers[:2]
    copies = {}
    for hollow in (one, two):
        made.end_follower(hollow)
        copies[hollow.name] = shutil.copytree(hollow.folder, tmp_path / f"{hollow.name}.old")
        made.begin_follower(hollow)
    for count in range(5):
        made.commit(made.members[0], {"data/few": str(count)})
    made.arrive()
    made.end_follower(one)
    shutil.rmtree(one.folder)
    shutil.copytree(copies[one.name], one.folder)
    made.begin_follower(one)  # what it lacks is still a difference
    made.arrive()
    for count in range(20):
        made.commit(made.members[0], {"data/many": str(count)})
    made.arrive()
    made.end_follower(two)
    shutil.rmtree(two.folder)
    shutil.copytree(copies[two.name], two.folder)
    made.begin_follower(two)  # and what this one lacks is found by digests
    made.arrive()
    for hollow in (one, two):
        assert hollow.history[hollow.lives[-1]].revision == 3
    made.check(restored={one, two})
