"""Hundreds of drawn stories of custody: fixed seeds, seeds of the version under test, and some of before."""

from __future__ import annotations

import subprocess
import zlib
from functools import cache

import pytest
from custody_stories import outcome
from harness import ROOT
from test_replica_story import Story

FIXED_STORIES, STORIES_A_TEST = 80, 20  # of each kind


@cache
def first_fresh_seed() -> int:
    """Returns a seed that changes with each committed change of the program, and only with these."""
    found = subprocess.run(("git", "rev-parse", "HEAD:willownotch"), cwd=ROOT, capture_output=True, text=True)
    return 10**6 + zlib.crc32(found.stdout.strip().encode()) if found.returncode == 0 else 10**6


def broken_stories(seeds, wider, proportions):
    return [(seed, what) for seed in seeds if (what := outcome(seed, wider, proportions)[1])]


@pytest.mark.parametrize("first", range(0, FIXED_STORIES, STORIES_A_TEST))
@pytest.mark.parametrize("wider", [False, True], ids=["two copies", "three copies"])
def test_no_promise_is_lost_in_stories_of_fixed_seeds(first, wider):
    assert broken_stories(range(first, first + STORIES_A_TEST), wider, "mixed") == []


@pytest.mark.parametrize("proportions", ["mixed", "cuts", "stalls", "even"])
@pytest.mark.parametrize("wider", [False, True], ids=["two copies", "three copies"])
def test_no_promise_is_lost_in_stories_of_fresh_seeds(proportions, wider):
    first = first_fresh_seed()
    assert broken_stories(range(first, first + STORIES_A_TEST), wider, proportions) == []


def test_a_replica_whose_next_record_is_no_longer_in_the_log_is_brought_up_to_date():
    # A member that joined the set at the log's first position confirmed it again and again.
    assert outcome(109, wider=True, proportions="stalls") == (109, "")


def test_a_new_owners_own_copy_brings_back_nothing_that_the_log_has_seen_end():
    # Its copy was compared with the log's history before that was known: a delivered message ended again.
    assert outcome(2810919221, wider=False, proportions="stalls") == (2810919221, "")


def test_a_restarted_owner_keeps_its_journal_while_its_replicas_are_not_heard():
    # The owner took over the empty contents that it heard, and forgot the message that its journal had.
    story = Story()
    story.begin(seed=16856)
    story.cut(one_way=True, part={"m5"})
    story.resume()
    story.cut(one_way=False, part={"m2", "m0"})
    story.stall(name="m0")
    story.resume()
    story.stall(name="m3")
    story.stall(name="m4")
    story.give_some_up(name="m1")
    story.cut(one_way=False, part={"m3"})
    story.cut(one_way=False, part={"m4", "m2", "m0"})
    story.hand_in(name="m4", number=1)
    story.stall(name="m5")
    story.resume()
    story.hand_in(name="m2", number=2)
    story.resume()
    story.cut(one_way=True, part={"m1", "m5", "m0"})
    story.give_some_up(name="m5")
    story.give_some_up(name="m3")
    story.hand_in(name="m5", number=1)
    story.machines_are_lost(gone={"m4", "m2"})
    story.stall(name="m0")
    story.machines_are_lost(gone={"m4"})
    story.cut(one_way=False, part={"m3", "m5", "m2"})
    story.hand_in(name="m5", number=4)
    story.time_passes(span=2.0)
    story.resume()
    story.time_passes(span=0.5)
    story.cut(one_way=True, part={"m4", "m5", "m2"})
    story.give_some_up(name="m4")
    story.teardown()
