"""Membership as a state machine under any story: kills, returns, partitions, loss; then all is well again."""

from __future__ import annotations

from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from willownotch.peers.lossy import Conditions, Network
from willownotch.peers.settings import PeersSettings
from willownotch.peers.wire import State
from willownotch.usage.layer import Exchanges
from willownotch.usage.settings import UsageSettings
from willownotch.usage.simulated import Fleet

NAMES = [f"m{n}" for n in range(5)]
QUICK = PeersSettings(sync=timedelta(seconds=5), rejoin=timedelta(seconds=2))
names = st.sampled_from(NAMES)


class Story(RuleBasedStateMachine):
    """Five members, and all that may befall them. Counts travel on top, so both are told in one story."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(
            1, Conditions(), UsageSettings(settle=timedelta(seconds=20), gone=timedelta(hours=1)), QUICK
        )
        self.folders, self.incarnations, self.held = {}, {}, {}
        for name in NAMES:
            self.fleet.start(name, tuple(n for n in NAMES if n != name and n in self.fleet.running))
        self.fleet.run(5)

    @property
    def net(self) -> Network:
        return self.fleet.net

    @rule(span=st.sampled_from([0.1, 1.0, 7.0]))
    def time_passes(self, span):
        self.fleet.run(self.fleet.now + span)

    @rule(name=names)
    @precondition(lambda self: len(self.fleet.running) > 2)
    def one_is_killed(self, name):
        if name in self.fleet.running:
            self.folders[name] = self.fleet.kill(name)
            self.held.pop(name, None)

    @rule(name=names, folder=st.booleans())
    def one_comes_back(self, name, folder):
        if name not in self.fleet.running:
            seeds = tuple(n for n in NAMES if n != name and n in self.net.members)
            # An empty folder loses what nobody else had heard: only what was told may be claimed.
            kept = self.folders.pop(name)
            if not folder and not self.told(name, kept):
                folder = True
            self.fleet.start(name, seeds, kept if folder else None)
            self.incarnations.pop(name, None)

    def told(self, name, folder):
        sessions = {life.id: life.upto for life in folder.sessions}
        return any(
            all(
                i.usage.sessions.get(life) is not None
                and i.usage.sessions[life].upto >= upto
                or life in i.usage.settled.sessions
                for life, upto in sessions.items()
            )
            for i in self.fleet.running.values()
        )

    @rule(half=st.sets(names, min_size=1, max_size=4))
    def the_network_is_cut(self, half):
        self.net.conditions.cut = lambda a, b: (a in half) != (b in half)

    @rule(one=names, other=names)
    def one_direction_fails(self, one, other):
        self.net.conditions.cut = lambda a, b: (a, b) == (one, other)

    @rule()
    def the_network_heals(self):
        self.net.conditions.cut = lambda a, b: False

    @rule(loss=st.sampled_from([0.0, 0.2, 0.5]))
    def datagrams_are_lost(self, loss):
        self.net.conditions.loss = loss

    @rule(name=names, number=st.integers(1, 1000))
    def one_counts(self, name, number):
        if name in self.fleet.running:
            self.fleet.count(name, (b"acme", "status"), number)

    @invariant()
    def its_size_is_what_it_holds_to_be_there(self):
        for member in self.net.members.values():
            assert member.size() == 1 + len(member.alive())

    @invariant()
    def no_incarnation_goes_down(self):
        for name in self.fleet.running:
            now = self.net.members[name].incarnation
            assert now >= self.incarnations.get(name, 0)
            self.incarnations[name] = now

    @invariant()
    def no_count_goes_down_or_above_the_truth(self):
        for name in self.fleet.running:
            held = self.fleet.held(name).get((b"acme", "status"), 0)
            assert self.held.get(name, 0) <= held <= self.fleet.truth.get((b"acme", "status"), 0)
            self.held[name] = held

    def teardown(self):
        """Whatever happened: with the network well again all know just who is there, and all counts."""
        self.net.conditions.cut, self.net.conditions.loss = lambda a, b: False, 0.0
        for name in list(self.folders):
            self.one_comes_back(name, True)
        there = set(self.fleet.running)
        ends = self.fleet.now + 120
        while not (self.net.all_know(there) and self.fleet.agreed()):
            assert self.fleet.now < ends, {
                n: (
                    self.fleet.held(n),
                    sorted(m.name for m in self.net.members[n].members.values() if m.state <= State.SUSPECT),
                )
                for n in there
            }
            self.fleet.run(self.fleet.now + 1)
        assert all(isinstance(node.layers[0], Exchanges) for node in self.net.nodes.values())


TestStory = Story.TestCase
TestStory.settings = settings(max_examples=40, stateful_step_count=20, deadline=None, derandomize=True)
