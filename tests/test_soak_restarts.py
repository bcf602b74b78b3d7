"""The soak of senders that share a quota by hard parts and are killed: short runs, and its verdict."""

import pytest
from test_soak import request, rules

from willownotch.lab.soak.quota import draw_quota
from willownotch.lab.soak.records import Call, Content, Lifetime, Notice, Records
from willownotch.lab.soak.run import play

SECONDS = 12.0
KILLED_AT, LEFT_S = 5.0, 8.0


@pytest.mark.parametrize("seed", [4, 5, 10])
def test_a_short_soak_of_senders_killed_beside_a_hard_quota_breaks_no_rule(seed):
    """Owed fees were handed back that may have run, and others without a call."""
    report = play(draw_quota(seed, SECONDS))
    assert not report.broken, report.text()
    assert report.counts()["202"] > 50, report.text()


def test_a_seed_draws_the_same_quota_plan_each_time():
    assert draw_quota(7) == draw_quota(7) and draw_quota(7) != draw_quota(8)


def restarted(notices=(), calls=(), messages=4, **more):
    """Messages accepted at 3 s by a process that is killed at 5 s; by default each may run for 8 s."""
    refs = [f"m{n}" for n in range(messages)]
    lives = [
        Lifetime(0, 0, -1.0, ready=-0.5, killed_at=KILLED_AT, ended=KILLED_AT, meant_to_end=True),
        Lifetime(0, 1, 5.6, ready=6.0),
    ]
    times = {"began": 3.0, "written": 3.0, "ended": 3.05, "left_s": LEFT_S, **more}
    return Records(
        lifetimes=lives,
        requests=[request(ref=ref, **times) for ref in refs],
        contents={ref: Content(b"x", "im") for ref in refs},
        notices=[Notice(f"m{n}", outcome, at) for n, outcome, at in notices],
        calls=[Call(f"m{n}", at, b"x", "im", status, at + 0.1) for n, status, at in calls],
    )


DELIVERED = [(n, 200, 7.0) for n in range(4)]


@pytest.mark.parametrize(
    "found,expected",
    [
        (restarted(calls=DELIVERED), []),
        (restarted([(0, "handed_back", 6.5), (1, "given_up", 6.5)], DELIVERED[2:]), []),
        (restarted([(n, "handed_back", 6.5) for n in range(3)], DELIVERED[3:]), ["ended untried"]),
        (restarted([(n, "given_up", 6.5) for n in range(3)], DELIVERED[3:]), ["ended untried"]),
        (restarted([(n, "given_up", 10.5) for n in range(4)]), []),  # each near the end of its time
        (restarted([(n, "handed_back", 4.5) for n in range(4)]), []),  # before the kill
        (restarted([(n, "given_up", 6.5) for n in range(4)], [(n, 0, 4.0) for n in range(4)]), []),
        (
            restarted([(0, "handed_back", 6.5)], [(0, 0, 4.0), *DELIVERED[1:]]),
            ["refused, may have run"],
        ),
        (restarted([(0, "handed_back", 6.5)], [(0, 503, 4.0), *DELIVERED[1:]]), []),
        (restarted([(0, "handed_back", 6.5)], [(0, 0, 4.0), *DELIVERED[1:]], cls="status"), []),
    ],
)
def test_what_becomes_of_owed_messages_is_judged_from_outside(found, expected):
    assert rules(found) == expected


def test_more_accepted_than_a_quota_its_bursts_and_its_restarts_allow_breaks_a_rule():
    # 1 a second for 2.2 s and the 0.05 s of an answer, 1 for the sender, 1 + 2 for its restart: 6.25.
    for count, expected in ((6, []), (7, ["over quota"])):
        found = restarted(messages=count, calls=[(n, 200, 7.0) for n in range(count)])
        found.quota_per_s = 1.0
        assert rules(found) == expected
