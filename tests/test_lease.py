"""Leases in simulated time: grants, release and fencing under loss, partitions, stalls and restarts."""

from __future__ import annotations

import time
from datetime import timedelta
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from willownotch.files.layer import REAL
from willownotch.lease.core import Act, Duties, Stage
from willownotch.lease.register import Grant, GrantRequest, decide
from willownotch.lease.service import Leases
from willownotch.lease.settings import DutySettings, LeaseSettings
from willownotch.peers.lossy import Conditions, Network
from willownotch.peers.settings import PeersSettings

ELECTORS = tuple(f"m{n}" for n in range(5))
LEASE = LeaseSettings(electors=ELECTORS, span=timedelta(seconds=1), duty={"fold": DutySettings()})
PEERS = PeersSettings(
    period=timedelta(milliseconds=200),
    patience=timedelta(milliseconds=100),
    suspicion=2,
    gossip=timedelta(milliseconds=50),
    sync=timedelta(seconds=1),
    rejoin=timedelta(milliseconds=500),
)


@pytest.mark.parametrize(
    ("grant", "now", "wanted", "granted"),
    [
        (None, 0.0, GrantRequest(1, "a", 1, 1.0), True),
        (Grant(1, "a", 1, 1.0), 0.5, GrantRequest(2, "b", 2, 1.0), False),  # the lease is running
        (Grant(1, "a", 1, 1.0), 1.0, GrantRequest(2, "b", 2, 1.0), True),
        (Grant(1, "a", 1, 1.0), 5.0, GrantRequest(1, "b", 2, 1.0), False),  # one holder per token
        (Grant(1, "a", 1, 1.0), 0.5, GrantRequest(1, "a", 9, 1.0), False),  # another process with this name
        (Grant(2, "b", 2, 1.0), 5.0, GrantRequest(1, "a", 1, 1.0), False),  # an old token
        (Grant(1, "a", 1, 1.0), 0.5, GrantRequest(1, "a", 1, 1.0), True),  # a renewal
        (Grant(1, "a", 1, 1.0, True), 5.0, GrantRequest(2, "a", 1, 1.0), False),  # closed
    ],
)
def test_which_requests_are_granted(grant, now, wanted, granted):
    assert (decide(grant, now, wanted) is not None) == granted


def test_a_late_renewal_does_not_shorten_the_lease_and_a_release_ends_it():
    assert decide(Grant(1, "a", 1, 2.0), 0.1, GrantRequest(1, "a", 1, 1.0)).until == 2.0
    assert decide(Grant(1, "a", 1, 2.0), 0.1, GrantRequest(1, "a", 1, 1.0, release=True)).until == 0.1


class Fleet:
    """Members with one duty, their stored grants, and the acts that each accepted."""

    def __init__(self, seed, number=5, conditions=None, lease=LEASE):
        self.net, self.lease, self.seed = Network(seed, conditions or Conditions(), PEERS), lease, seed
        self.folders = {f"m{n}": {} for n in range(number)}
        self.accepted, self.duties, self.starts = [], {}, 0
        for n in range(number):
            self.start(f"m{n}", tuple(f"m{k}" for k in range(n)))

    def start(self, name, seeds=(), folder=None):
        folder = self.folders[name] if folder is None else folder
        self.folders[name] = folder
        self.starts += 1
        offset = self.net.offsets.get(name, 7.0 * self.starts)

        def store(duty, token, holder, uid):
            folder[duty, bool(holder)] = token, holder, uid
            return True

        random = Random(self.starts * 100 + self.seed)
        made = Duties(
            name,
            self.starts,
            self.lease,
            self.net.now + offset,
            random,
            store,
            lambda duty, token, source, body: self.accepted.append((name, token, source, body)),
        )
        for (duty, _), stored in folder.items():
            made.restore(duty, *stored)
        self.duties[name] = made
        self.net.add(name, seeds, offset=offset, layers=(made,))

    def own_time(self, name):
        return self.net.now + self.net.offsets[name]

    def holders(self):
        return [
            n
            for n in self.net.running_members()
            if self.duties[n].token("fold", self.own_time(n)) is not None
        ]

    def act(self, name, body=b"x"):
        return self.duties[name].act(self.own_time(name), "fold", body)

    def wait_held(self, most=10.0):
        """Waits for one holder; its name, and the seconds that this took."""
        took = self.net.until(lambda: len(self.holders()) == 1, most, 0.02)
        return self.holders()[0], took


def test_a_dead_holder_is_replaced_within_its_lease_and_the_suspicion():
    fleet = Fleet(1)
    first, _ = fleet.wait_held()
    token = fleet.duties[first].duties["fold"].token
    fleet.net.kill(first)
    second, took = fleet.wait_held()
    assert second != first
    assert fleet.duties[second].duties["fold"].token > token
    assert took < 1.0 + 2.0


def test_a_holder_that_leaves_releases_its_duty_to_another():
    fleet = Fleet(2)
    first, _ = fleet.wait_held()
    for send in fleet.duties[first].leave(fleet.own_time(first)):
        fleet.net._post(first, send.address, send.message)
    assert fleet.holders() == []
    fleet.net.until(lambda: fleet.holders() and fleet.holders() != [first], 1.0, 0.02)


def test_only_the_majority_side_of_a_partition_has_a_holder():
    fleet = Fleet(3)
    first, _ = fleet.wait_held()
    few = {first, next(n for n in ELECTORS if n != first)}
    fleet.net.conditions.cut = lambda a, b: (a in few) != (b in few)
    fleet.net.run(fleet.net.now + 1.0)  # the lease ends
    second, _ = fleet.wait_held()
    assert second not in few
    for _ in range(200):
        fleet.net.run(fleet.net.now + 0.05)
        assert not set(fleet.holders()) & few
        assert len(fleet.holders()) <= 1
    fleet.net.conditions.cut = lambda a, b: False
    fleet.net.run(fleet.net.now + 5.0)
    assert len(fleet.holders()) == 1


def test_a_suspended_holder_loses_its_lease_and_its_stale_act_is_refused():
    fleet = Fleet(4)
    first, _ = fleet.wait_held()
    old = fleet.duties[first].duties["fold"].token
    stale = Act(first, "fold", old, 99, fleet.duties[first].uid, 1000, b"stale")
    fleet.net.kill(first)  # suspended
    second, _ = fleet.wait_held()
    fleet.act(second)
    fleet.net.run(fleet.net.now + 1.0)
    fleet.net.paused.discard(first)  # resumed
    assert fleet.duties[first].token("fold", fleet.own_time(first)) is None
    for name in set(fleet.duties) - {first}:
        fleet.net._post(first, fleet.net.addresses[name], stale)
    fleet.net.run(fleet.net.now + 2.0)
    assert not [act for act in fleet.accepted if act[3] == b"stale"]
    assert sum(d.duties["fold"].refused for d in fleet.duties.values()) >= 4


def test_a_member_that_restarts_with_an_old_folder_gets_no_old_token():
    fleet = Fleet(5)
    first, _ = fleet.wait_held()
    old = dict(fleet.folders[first])
    fleet.net.kill(first)
    second, _ = fleet.wait_held()
    fleet.act(second)
    token = fleet.duties[second].duties["fold"].token
    fleet.start(first, (second,), folder=old)
    for _ in range(100):
        fleet.net.run(fleet.net.now + 0.05)
        assert len(fleet.holders()) <= 1
    assert fleet.duties[second].duties["fold"].token >= token


def test_an_elector_that_cannot_store_a_grant_refuses_it():
    alone = LeaseSettings(electors=("m0",), span=timedelta(seconds=1), duty={"fold": DutySettings()})
    fleet = Fleet(6, number=1, lease=alone)
    fleet.duties["m0"].store = lambda *grant: False
    fleet.net.run(5.0)
    assert fleet.holders() == []
    fleet.duties["m0"].store = lambda *grant: True
    fleet.wait_held()


def test_a_duty_removed_from_the_settings_is_released():
    fleet = Fleet(7)
    first, _ = fleet.wait_held()
    fleet.duties[first].configure(LeaseSettings(electors=ELECTORS, span=timedelta(seconds=1)))
    assert fleet.duties[first].token("fold", fleet.own_time(first)) is None
    second, took = fleet.wait_held()
    assert second != first
    assert took < 1.0


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 2**20),
    moves=st.lists(
        st.tuples(
            st.sampled_from(["kill", "stop", "go", "cut", "heal", "restart", "storm", "act"]),
            st.integers(0, 4),
        ),
        max_size=14,
    ),
)
def test_there_are_never_two_holders_and_acts_are_accepted_in_token_order(seed, moves):
    fleet, stopped = Fleet(seed), set()
    fleet.net.run(2.0)
    for what, n in moves:
        name, conditions = f"m{n}", fleet.net.conditions
        if what in ("kill", "stop"):
            fleet.net.kill(name)
            stopped |= {name} if what == "stop" else set()
        elif what == "go" and name in stopped:
            fleet.net.paused.discard(name)
            fleet.net._carry(name, fleet.net.nodes[name].tick(fleet.own_time(name)))
        elif what == "cut":
            conditions.cut = lambda a, b, n=n: (int(a[1]) > n) != (int(b[1]) > n)
        elif what == "heal":
            conditions.cut, conditions.loss, conditions.delay = (lambda a, b: False), 0.0, 0.001
        elif what == "storm":
            conditions.loss, conditions.delay, conditions.repeat = 0.3, 0.3, 0.1
        elif what == "restart" and name in fleet.net.paused:
            stopped.discard(name)
            fleet.start(name, tuple(k for k in ELECTORS if k != name))
        for _ in range(12):
            fleet.net.run(fleet.net.now + 0.1)
            holders = fleet.holders()
            assert len(holders) <= 1, (seed, moves, holders)
            for holder in holders:
                fleet.act(holder)
    for name in fleet.duties:
        tokens = [token for at, token, _, _ in fleet.accepted if at == name]
        assert tokens == sorted(tokens), (seed, moves)


def test_a_lapsed_lease_is_not_shown_as_held(tmp_path):
    lines = []
    leases = Leases(
        LeaseSettings(electors=ELECTORS, duty={"fold": DutySettings()}),
        "m0",
        1,
        tmp_path,
        REAL,
        time.monotonic(),
        Random(1),
        lines.append,
    )
    duty = leases.layer.duties["fold"]
    duty.stage, duty.token = Stage.HELD, 3
    shown = []
    for left in (60.0, -0.001):  # a resumed process is queried before its next tick
        duty.until = time.monotonic() + left
        shown.append(leases.view().duties[0].here)
    assert shown == ["held", "lapsed"]
