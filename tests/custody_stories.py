"""Stories of faults in a simulated fleet with custody, drawn from whole-number seeds and replayed by them.

By hand: `python tests/custody_stories.py --seeds 0-1999 [--wider] [--proportions cuts]`.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from random import Random

from disk_stories import LONGEST_REFUSAL_S, MOST_REFUSED_WRITES, DiskStory, WiderDiskStory
from test_replica_story import NAMES, Story, Wider

PROPORTIONS = {  # how often each step is drawn, by the name of the proportions
    "mixed": {
        "hand_in": 6,
        "send": 3,
        "give_some_up": 2,
        "time_passes": 4,
        "stall": 2,
        "resume": 2,
        "restart": 2,
        "cut": 4,
        "heal": 1,
        "machines_are_lost": 2,
    },
    "cuts": {
        "hand_in": 6,
        "send": 2,
        "give_some_up": 1,
        "time_passes": 6,
        "restart": 3,
        "cut": 6,
        "heal": 2,
    },
    "stalls": {
        "hand_in": 6,
        "send": 3,
        "give_some_up": 2,
        "time_passes": 6,
        "stall": 4,
        "resume": 3,
        "restart": 4,
        "cut": 2,
        "heal": 2,
    },
    "even": {
        "hand_in": 1,
        "send": 1,
        "give_some_up": 1,
        "time_passes": 1,
        "stall": 1,
        "resume": 1,
        "restart": 1,
        "cut": 1,
        "heal": 1,
        "machines_are_lost": 1,
    },
    "disks": {
        "hand_in": 6,
        "send": 3,
        "give_some_up": 3,
        "time_passes": 5,
        "stall": 2,
        "resume": 2,
        "restart": 3,
        "cut": 2,
        "heal": 2,
        "machines_are_lost": 2,
        "disk_refuses_writes": 4,
        "disk_refuses_for": 3,
    },
}
STEPS = 30
MOST_LOST = 2  # machines that one step may name


def draw_arguments(random: Random, step: str) -> dict[str, object]:
    """Draws the arguments of one step, from the same ranges as `Story`'s rules."""
    if step == "hand_in":
        return {"name": random.choice(NAMES), "number": random.randint(1, 4)}
    if step == "send":
        return {"name": random.choice(NAMES), "share": random.randint(1, 3)}
    if step in ("give_some_up", "stall", "restart"):
        return {"name": random.choice(NAMES)}
    if step == "time_passes":
        return {"span": random.choice([0.01, 0.1, 0.5, 2.0])}
    if step == "cut":
        return {"part": set(random.sample(NAMES, random.randint(1, 3))), "one_way": random.random() < 0.5}
    if step == "heal":
        return {"loss": random.choice([0.0, 0.2])}
    if step == "disk_refuses_writes":
        after, count = random.randint(1, 6), random.randint(1, MOST_REFUSED_WRITES)
        return {"name": random.choice(NAMES), "after": after, "count": count}
    if step == "disk_refuses_for":
        return {"name": random.choice(NAMES), "span": random.choice([0.2, 1.0, LONGEST_REFUSAL_S])}
    if step == "machines_are_lost":
        return {"gone": set(random.sample(NAMES, random.randint(1, MOST_LOST)))}
    return {}


def check_invariants(story: Story) -> None:
    """Checks what has to hold after each step."""
    story.one_holder_a_term()
    story.one_may_act_on_a_book()
    story.nothing_runs_twice()
    story.nothing_ends_twice()


def play(seed: int, wider: bool = False, proportions: str = "mixed") -> Story:
    """Plays one story to its end; raises `AssertionError` where a rule of custody is broken."""
    random = Random(seed)
    weights = PROPORTIONS[proportions]
    if proportions == "disks":
        story = WiderDiskStory() if wider else DiskStory()
    else:
        story = Wider() if wider else Story()
    story.begin(seed=seed)
    for _ in range(STEPS):
        (step,) = random.choices(list(weights), list(weights.values()))
        arguments = draw_arguments(random, step)
        if step == "machines_are_lost" and not story.count:
            continue
        getattr(story, step)(**arguments)
        check_invariants(story)
    story.teardown()
    check_invariants(story)
    return story


def outcome(seed: int, wider: bool, proportions: str) -> tuple[int, str]:
    """Plays a story; returns its seed and what it broke, empty if nothing."""
    try:
        play(seed, wider, proportions)
    except AssertionError as broken:
        return seed, str(broken).splitlines()[0][:300] or "invariant"
    except Exception as fault:  # a fault of the product is told with its seed as well
        return seed, repr(fault)[:300]
    return seed, ""


def main() -> None:
    """Plays stories on several processors and prints the seeds of those that break a rule."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="0-199")
    parser.add_argument("--wider", action="store_true")
    parser.add_argument("--proportions", default="mixed", choices=PROPORTIONS)
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    one = partial(outcome, wider=options.wider, proportions=options.proportions)
    with ProcessPoolExecutor(options.processes) as pool:
        broken = [(seed, what) for seed, what in pool.map(one, seeds, chunksize=4) if what]
    for seed, what in broken:
        print(f"seed {seed}: {what}")
    kind = "three copies, two acknowledged" if options.wider else "two copies, one acknowledged"
    print(f"{len(broken)} of {len(seeds)} stories broke a rule ({options.proportions}; {kind})")
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
