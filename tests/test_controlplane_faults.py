"""The control plane in real processes with faults between them: nine members, a dozen followers.

The tests rely only on the outcomes that authors received and on the revisions, with all entries, that came
into force at each follower. `Plane.check` compares the two: no follower goes back to an older revision, each
revision has the entries that the committed changes make, and none contains a change that was refused or lost.
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


reusable = []  # the plane of a test that ended well, for the next test


@pytest.fixture(scope="module", autouse=True)
def close_reusable():
    """Closes the last plane. It outlives a passed test, since nine processes take seconds to start."""
    yield
    for each in reusable:
        each.close()


@pytest.fixture
def plane(tmp_path, tmp_path_factory):
    made = []

    def make(conditions=None, member=None):
        if member is None and reusable:
            made.append(reusable.pop())
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
        print(f"seed {SEED}, starts at revision {made[-1].last()}")
        return made[-1]

    yield make
    for each in made:
        if each not in reusable:
            each.show()
            each.close()


def finish(plane, authors=None):
    """Waits until all outcomes are known and the last revision is in force everywhere, checks the plane, and
    keeps it for the next test."""
    if authors is not None:
        authors.end()
    plane.resolve_outcomes()
    plane.wait_in_force().check()
    reusable.append(plane)


def test_a_writer_paused_during_a_change_leaves_nothing_partly_in_force(plane):
    made = plane(
        conditions=Conditions(delay=0.02)
    )  # a change takes two message delays, so one is always in progress
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


def test_a_change_whose_writer_is_killed_after_the_majority_accepted_is_committed_once(plane):
    made = plane()
    for count in range(2):
        made.commit(made.members[0], {"data/before": str(count)})
        first = made.writer()
        others = [m for m in made.running() if m is not first]
        # Its frames go out, and none reaches it.
        made.cut(lambda a, b, name=first.name: b == name)
        change, thread = made.submit_in_background(first, {"data/key": str(count)})
        until(lambda change=change, others=others: sum(m.holds(change) for m in others) >= 5, PATIENCE)
        first.kill()
        thread.join()
        assert change.outcome == "unknown"
        made.heal()
        other = made.change(others[0], {"data/key": "late"}, base=change.base)
        made.resolve_outcomes()
        assert change.outcome == "committed"
        assert (other.outcome, other.revision) == ("lost", change.revision)
        made.restart(first)
    finish(made)


def test_an_accepted_change_survives_four_members_that_lose_their_folders(plane):
    made = plane()
    made.commit(made.members[0], {"data/all": "1"})
    made.wait_in_force()
    first = made.writer()
    rest = [m for m in made.members if m is not first]
    apart, few, last = rest[:4], rest[4:7], rest[7]
    # Only five members know the change: four lose their folders, the fifth is cut off when they return.
    made.cut_off({m.name for m in apart})
    made.commit(first, {"data/five": "2"})
    for member in (first, *few):
        member.kill()
    made.cut_off({last.name})
    for member in (first, *few):
        made.restart(member, emptied=True)
    # Eight members run. A revision that they committed without the fifth would replace its change.
    assert made.change(apart[0], {"data/eight": "3"}, patience=3.0).outcome != "committed"
    made.heal()
    before, authors = made.last(), Authors(made)
    until(lambda: made.last() >= before + 6, PATIENCE)
    finish(made, authors)


def test_a_region_cut_off_accepts_no_change_and_catches_up_afterwards(plane):
    made = plane()
    made.commit(made.members[0], {"data/before": "0"})
    made.wait_in_force()
    south = made.in_region("south")
    made.cut_off(south)
    sides = [[m for m in made.members if (m.name in south) is side] for side in (False, True)]
    north, cut = Authors(made, 2, sides[0]), Authors(made, 2, sides[1], seed=SEED + 1)
    before = made.last()
    inside = [h for h in made.followers if h.name in south]
    outside = [h for h in made.followers if h.name not in south]
    until(lambda: made.last() >= before + 5, PATIENCE)
    made.wait_in_force(outside)
    assert {h.revision for h in inside} == {before}
    assert not [
        a for a in made.changes if a.outcome == "committed" and a.revision > before and a.member in south
    ]
    made.heal()
    until(lambda: all(h.revision > before for h in inside), PATIENCE)
    cut.end()
    finish(made, north)


def test_a_member_that_is_behind_moves_no_follower_back(plane):
    made = plane()
    made.commit(made.members[0], {"data/before": "0"})
    made.wait_in_force()
    late = made.members[8].name
    made.cut(lambda a, b: a[0] == b[0] == "m" and late in (a, b))  # from the members, not from the followers
    for count in range(3):
        made.commit(made.members[0], {"data/late": str(count)})

    def ahead():
        return [h for h in made.followers if h.revision == made.last()]

    until(lambda: len(ahead()) >= 9, PATIENCE)
    earlier = {h: h.follower.counters["behind"] for h in ahead()}
    made.cut(
        lambda a, b: late in (a, b) if a[0] == b[0] else late not in (a, b)
    )  # only this member can be reached
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
def test_delayed_repeated_or_dropped_frames_do_not_change_the_result(plane, conditions):
    made = plane(conditions=conditions)
    before, authors = made.last(), Authors(made)
    until(lambda: made.last() >= before + 20, 2 * PATIENCE)
    made.heal()
    finish(made, authors)


def test_real_senders_apply_each_change_once_over_kills_of_members_and_senders(plane):
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
        until(lambda: senders[1].revision >= held, PATIENCE)  # while cut off from all members
        made.heal()
        authors.end()
        made.resolve_outcomes()
        for sender in senders:
            until(lambda sender=sender: sender.revision == made.last(), PATIENCE)
            revisions = sender.revisions
            assert all(a < b for a, b in itertools.pairwise(revisions[: sender.starts[-1]]))
            assert all(a < b for a, b in itertools.pairwise(revisions[sender.starts[-1] :]))
            assert set(revisions) <= {a.revision for a in made.changes if a.outcome == "committed"}
        finish(made)
    finally:
        for sender in senders:
            sender.close()


def test_a_follower_with_an_old_folder_begins_with_that_and_goes_forward_alone(plane, tmp_path):
    made = plane(member=HISTORY)
    for count in range(3):
        made.commit(made.members[0], {f"data/{count}": str(count)})
    made.wait_in_force()
    one, two = made.followers[:2]
    copies = {}
    for follower in (one, two):
        made.end_follower(follower)
        copies[follower.name] = shutil.copytree(follower.folder, tmp_path / f"{follower.name}.old")
        made.begin_follower(follower)
    for count in range(5):
        made.commit(made.members[0], {"data/few": str(count)})
    made.wait_in_force()
    made.end_follower(one)
    shutil.rmtree(one.folder)
    shutil.copytree(copies[one.name], one.folder)
    made.begin_follower(one)  # the missing revisions are still served as a delta
    made.wait_in_force()
    for count in range(20):
        made.commit(made.members[0], {"data/many": str(count)})
    made.wait_in_force()
    made.end_follower(two)
    shutil.rmtree(two.folder)
    shutil.copytree(copies[two.name], two.folder)
    made.begin_follower(two)  # the missing entries of this one are found by comparing digests
    made.wait_in_force()
    for follower in (one, two):
        assert follower.history[follower.starts[-1]].revision == 3
    made.check(restored={one, two})
