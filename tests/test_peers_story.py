"""Stateful test of membership and usage counts: kills, restarts, partitions and loss, then a good network."""

from __future__ import annotations

from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from willownotch.peers.lossy import Conditions, Network
from willownotch.peers.settings import PeersSettings
from willownotch.peers.wire import State
from willownotch.usage.layer import UsageLayer
from willownotch.usage.settings import UsageSettings
from willownotch.usage.simulated import Fleet

NAMES = [f"m{n}" for n in range(5)]
QUICK = PeersSettings(sync=timedelta(seconds=5), rejoin=timedelta(seconds=2))
names = st.sampled_from(NAMES)


class PeersMachine(RuleBasedStateMachine):
    """Five members under random faults. The counts travel over the membership, so one machine tests both."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(
            1, Conditions(), UsageSettings(settle=timedelta(seconds=20), gone=timedelta(hours=1)), QUICK
        )
        self.folders, self.incarnations, self.last_totals = {}, {}, {}
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
    def member_is_killed(self, name):
        if name in self.fleet.running:
            self.folders[name] = self.fleet.kill(name)
            self.last_totals.pop(name, None)

    @rule(name=names, folder=st.booleans())
    def member_comes_back(self, name, folder):
        if name not in self.fleet.running:
            seeds = tuple(n for n in NAMES if n != name and n in self.net.members)
            # An empty folder loses counts that no other member holds, so it is used only if there are none.
            saved = self.folders.pop(name)
            if not folder and not self.is_known_to_others(name, saved):
                folder = True
            self.fleet.start(name, seeds, saved if folder else None)
            self.incarnations.pop(name, None)

    def is_known_to_others(self, name, folder):
        sessions = {session.id: session.version for session in folder.sessions}
        return any(
            all(
                i.usage.sessions.get(session_id) is not None
                and i.usage.sessions[session_id].version >= version
                or session_id in i.usage.settled.sessions
                for session_id, version in sessions.items()
            )
            for i in self.fleet.running.values()
        )

    @rule(side=st.sets(names, min_size=1, max_size=4))
    def network_is_partitioned(self, side):
        self.net.conditions.cut = lambda a, b: (a in side) != (b in side)

    @rule(one=names, other=names)
    def one_direction_is_cut(self, one, other):
        self.net.conditions.cut = lambda a, b: (a, b) == (one, other)

    @rule()
    def network_recovers(self):
        self.net.conditions.cut = lambda a, b: False

    @rule(loss=st.sampled_from([0.0, 0.2, 0.5]))
    def datagrams_are_lost(self, loss):
        self.net.conditions.loss = loss

    @rule(name=names, number=st.integers(1, 1000))
    def member_counts(self, name, number):
        if name in self.fleet.running:
            self.fleet.count(name, (b"acme", "status"), number)

    @invariant()
    def cluster_size_matches_the_members_considered_alive(self):
        for member in self.net.members.values():
            assert member.size() == 1 + len(member.alive())

    @invariant()
    def no_incarnation_decreases(self):
        for name in self.fleet.running:
            now = self.net.members[name].incarnation
            assert now >= self.incarnations.get(name, 0)
            self.incarnations[name] = now

    @invariant()
    def no_count_decreases_or_exceeds_the_true_count(self):
        for name in self.fleet.running:
            total = self.fleet.totals(name).get((b"acme", "status"), 0)
            assert self.last_totals.get(name, 0) <= total <= self.fleet.truth.get((b"acme", "status"), 0)
            self.last_totals[name] = total

    def teardown(self):
        """Once the network is sound again, all members agree on who is running and on all counts."""
        self.net.conditions.cut, self.net.conditions.loss = lambda a, b: False, 0.0
        for name in list(self.folders):
            self.member_comes_back(name, True)
        running = set(self.fleet.running)
        deadline = self.fleet.now + 120
        while not (self.net.all_know(running) and self.fleet.agreed()):
            assert self.fleet.now < deadline, {
                n: (
                    self.fleet.totals(n),
                    sorted(m.name for m in self.net.members[n].members.values() if m.state <= State.SUSPECT),
                )
                for n in running
            }
            self.fleet.run(self.fleet.now + 1)
        assert all(isinstance(node.layers[0], UsageLayer) for node in self.net.nodes.values())


TestPeersMachine = PeersMachine.TestCase
TestPeersMachine.settings = settings(max_examples=40, stateful_step_count=20, deadline=None, derandomize=True)
