"""Custody in simulated time on disks that refuse writes: nothing is lost, and nothing ends twice."""

from __future__ import annotations

import pytest
from custody_scenes import NAMES, claim_with_older_copy, finish, promise
from disk_stories import DiskStory, WiderDiskStory
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from test_custody_stories import broken_stories, first_fresh_seed
from test_replica_story import LONG

from willownotch.replica.books import Stage

STORIES, STORIES_A_TEST = 60, 20
SEEDS = range(3)


def refuse(scene, names, until):
    """Has the disks of these members refuse all writes until a time."""
    for name in names:
        scene.fleet.disks[name].refuses_until = until


@pytest.mark.parametrize("number", range(1, 5))
@pytest.mark.parametrize("seed", SEEDS)
def test_what_only_the_new_owners_own_copy_has_survives_a_refused_write(seed, number):
    # Its messages were written behind those of the other copies, and lost if the disk refused them.
    scene, keeper, later = claim_with_older_copy(seed)
    scene.fleet.until(lambda: scene.stage(keeper) is Stage.FETCHING)
    disk = scene.fleet.disks[keeper]
    disk.refused_writes = [disk.write_count + number]
    scene.resume(later)
    scene.fleet.until(lambda: scene.owner() is not None)
    finish(scene)
    assert scene.wrong_ends() == {}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_member_whose_disk_refused_a_book_still_knows_the_ids_of_it(seed):
    # It had dropped them as it began to write, and their ends were reported by nobody.
    scene = promise(seed, copies=2, acks=1, count=3, deadline=20.0)
    fleet = scene.fleet
    holders = [name for name in NAMES if scene.book in fleet.senders[name].core.id_indexes]
    for name in scene.replicas:
        fleet.stall(name)
    fleet.kill("n0", disk=True)
    refuse(scene, holders, scene.deadline + 3.0)
    fleet.until(lambda: set(fleet.expired) == set(scene.refs), max_s=60.0)
    assert {ref: len(told) for ref, told in fleet.expired.items()} == dict.fromkeys(scene.refs, 1)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_journal_of_the_last_owner_is_whole_though_another_member_declined_its_book(seed):
    # The declined term counted as one that was acted on, and the owner's messages as ones that may have run.
    scene = promise(seed, copies=3, acks=1, count=3, deadline=30.0)
    fleet = scene.fleet
    taker, *absent = scene.replicas
    for name in absent:
        fleet.stall(name)
    refuse(scene, [taker], scene.deadline)
    fleet.kill("n0")
    declined = fleet.disks[taker].write_count
    fleet.until(lambda: fleet.disks[taker].write_count > declined)
    fleet.start("n0")
    fleet.until(lambda: scene.owner() == "n0")
    for ref in scene.refs:
        fleet.senders["n0"].begin_call(ref)
    fleet.until(lambda: set(fleet.calls) == set(scene.refs))


@pytest.mark.parametrize("first", range(0, STORIES, STORIES_A_TEST))
@pytest.mark.parametrize("wider", [False, True], ids=["two copies", "three copies"])
def test_no_promise_is_lost_in_stories_of_fixed_seeds_with_disks_that_refuse(first, wider):
    assert broken_stories(range(first, first + STORIES_A_TEST), wider, "disks") == []


@pytest.mark.parametrize("wider", [False, True], ids=["two copies", "three copies"])
def test_no_promise_is_lost_in_stories_of_fresh_seeds_with_disks_that_refuse(wider):
    first = first_fresh_seed()
    assert broken_stories(range(first, first + STORIES_A_TEST), wider, "disks") == []


@pytest.mark.parametrize("story", [DiskStory, WiderDiskStory])
def test_custody_invariants_under_drawn_faults_and_disks_that_refuse(story):
    run_state_machine_as_test(
        story,
        settings=settings(
            max_examples=400 if LONG else 15,
            stateful_step_count=30,
            deadline=None,
            derandomize=not LONG,
            phases=(Phase.explicit, Phase.generate),
        ),
    )  # one example takes seconds, so shrinking would take minutes
