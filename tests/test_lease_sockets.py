"""Leases of real senders with faults between them: suspensions, partitions, kills, old folders, loss."""

from __future__ import annotations

import shutil
import signal
import subprocess
import sys

import harness
import pytest
from harness import ROOT, until
from meshed import MeshFleet

from willownotch.channel.client import ask
from willownotch.peers.lossy import Conditions

PATIENCE = 20.0
MEMBERS = 5


class LeaseFleet(MeshFleet):
    """Senders with one duty, whose holder sends ten acts a second."""

    def __init__(self, number, tmp_path, **more):
        super().__init__(number, tmp_path, usage="", **more)

    def settings(self, n):
        electors = " ".join(f"i{k}" for k in range(MEMBERS))
        return super().settings(n).replace("usage {\n count yes\n}\n", "") + (
            f"lease {{\n electors {electors}\n span 800ms\n duty fold {{\n canary 100ms\n }}\n}}\n"
        )

    def running(self):
        return [n for n, s in enumerate(self.senders) if s.process.poll() is None and n not in self.stopped]

    stopped: frozenset = frozenset()

    def kill(self, n):
        self.senders[n].process.kill()
        self.senders[n].process.wait(harness.PATIENCE)

    def duty(self, n):
        return ask(self.socket(n), "leases")["duties"][0]

    def holders(self):
        return [n for n in self.running() if self.duty(n)["here"] == "held"]

    def wait_held(self, among=None):
        """Waits for a holder and returns its number."""
        return until(lambda: [n for n in self.holders() if among is None or n in among], PATIENCE)[0]

    def tokens(self, n):
        """Tokens of the acts that a member accepted last, in that order."""
        return [act["token"] for act in self.duty(n)["last"]]

    def acts_of(self, n, source):
        return [act for act in self.duty(n)["last"] if act["source"] == f"i{source}"]


@pytest.fixture
def make_fleet(tmp_path):
    made = []

    def make(**more):
        made.append(LeaseFleet(MEMBERS, tmp_path, **more))
        return made[-1].wait_joined(PATIENCE)

    yield make
    for each in made:
        each.close()


def test_a_killed_holder_is_replaced_and_its_acts_end(make_fleet):
    fleet = make_fleet()
    first = fleet.wait_held()
    others = [n for n in range(MEMBERS) if n != first]
    until(lambda: all(fleet.acts_of(n, first) for n in others), PATIENCE)
    fleet.kill(first)
    second = fleet.wait_held(others)
    until(lambda: all(fleet.acts_of(n, second) for n in others), PATIENCE)
    for n in others:
        tokens = fleet.tokens(n)
        assert tokens == sorted(tokens)


def test_a_holder_that_was_suspended_beyond_its_lease_sends_no_more_acts(make_fleet):
    fleet = make_fleet()
    first = fleet.wait_held()
    token = fleet.duty(first)["token"]
    fleet.senders[first].process.send_signal(signal.SIGSTOP)
    fleet.stopped = frozenset({first})
    others = [n for n in range(MEMBERS) if n != first]
    second = fleet.wait_held(others)
    until(lambda: all(fleet.acts_of(n, second) for n in others), PATIENCE)
    fleet.senders[first].process.send_signal(signal.SIGCONT)
    fleet.stopped = frozenset()
    lines = fleet.senders[first].lines
    until(lambda: any("fold is no longer held here" in line for line in lines), PATIENCE)
    until(lambda: fleet.acts_of(first, second), PATIENCE)
    for n in others:
        tokens = fleet.tokens(n)
        assert tokens == sorted(tokens)
        assert tokens[-1] > token


def test_only_the_majority_side_of_a_partition_has_a_holder(make_fleet):
    fleet = make_fleet()
    first = fleet.wait_held()
    few = {first, (first + 1) % MEMBERS}
    names = {f"i{n}" for n in few}
    fleet.relay.conditions = Conditions(cut=lambda a, b: (a in names) != (b in names))
    until(lambda: not set(fleet.holders()) & few, PATIENCE)
    second = fleet.wait_held()
    assert second not in few
    until(lambda: any(fleet.acts_of(n, second) for n in range(MEMBERS) if n not in few), PATIENCE)
    assert not set(fleet.holders()) & few
    fleet.relay.conditions = Conditions()
    fleet.wait_joined(PATIENCE)
    until(lambda: len({fleet.duty(n)["holder"] for n in range(MEMBERS)} - {""}) == 1, PATIENCE)
    assert len(fleet.holders()) == 1


def test_a_member_that_restarts_with_an_old_folder_gets_no_old_token(make_fleet, tmp_path):
    fleet = make_fleet()
    first = fleet.wait_held()
    token = fleet.duty(first)["token"]
    sender = fleet.senders[first]
    sender.process.kill()
    sender.process.wait(harness.PATIENCE)
    shutil.copytree(sender.state, tmp_path / "old", ignore=shutil.ignore_patterns("handover"))
    others = [n for n in range(MEMBERS) if n != first]
    second = fleet.wait_held(others)
    shutil.rmtree(sender.state)
    shutil.copytree(tmp_path / "old", sender.state)
    sender.start()
    fleet.register_address(first)
    fleet.kill(second)
    third = fleet.wait_held()
    assert fleet.duty(third)["token"] > token + 1


def test_a_killed_holder_is_replaced_despite_loss_and_delay(make_fleet):
    fleet = make_fleet()
    fleet.relay.conditions = Conditions(loss=0.3, delay=0.15, jitter=0.05)
    first = fleet.wait_held()
    fleet.kill(first)
    second = fleet.wait_held([n for n in range(MEMBERS) if n != first])
    until(lambda: fleet.acts_of(second, second), PATIENCE)


def test_a_holder_that_is_shut_down_releases_its_duty(make_fleet):
    fleet = make_fleet()
    first = fleet.wait_held()
    for _ in range(2):  # a second SIGTERM ends the wait for a SIGKILL
        fleet.senders[first].process.send_signal(signal.SIGTERM)
        until(lambda: any("stop: SIGTERM" in line for line in fleet.senders[first].lines))
    until(lambda: any("fold is handed on" in line for line in fleet.senders[first].lines), PATIENCE)
    fleet.stopped = frozenset({first})  # its control socket is closed
    assert fleet.wait_held([n for n in range(MEMBERS) if n != first]) != first


def test_the_leases_command_shows_the_holder(make_fleet):
    fleet = make_fleet()
    first = fleet.wait_held()
    until(lambda: fleet.duty((first + 1) % MEMBERS)["holder"] == f"i{first}", PATIENCE)
    found = subprocess.run(
        [sys.executable, "-m", "willownotch", "leases", "--socket", str(fleet.socket((first + 1) % MEMBERS))],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=harness.PATIENCE,
    )
    assert found.returncode == 0
    assert "fold" in found.stdout
    assert f"i{first}" in found.stdout
