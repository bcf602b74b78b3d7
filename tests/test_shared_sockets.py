"""Budgets and judgements with real senders, over a network with faults."""

from __future__ import annotations

import json
import secrets
import signal
import socket
import threading
import time
from pathlib import Path
from random import Random

import pytest
from harness import SETTINGS, Host, Sender, until
from meshed import KEYS, MeshFleet

from willownotch.channel.client import ask
from willownotch.net import http
from willownotch.peers.core import Membership
from willownotch.peers.lossy import Conditions
from willownotch.peers.node import Node
from willownotch.peers.seal import Seal, read_keys
from willownotch.peers.settings import PeersSettings
from willownotch.peers.transport import UdpTransport
from willownotch.shared.judgements import Judgements
from willownotch.shared.layer import SharingLayer

PATIENCE = 20.0
QUOTA, BURST_S, MEMBERS = 50.0, 2.0, 4  # messages a second; seconds of quota accepted at once; senders


class SharingFleet(MeshFleet):
    """Senders that share one tenant's budget, and their judgements of endpoints."""

    shared = (
        f" budgets yes\n hard acme\n instances {MEMBERS}\n loan 1s\n exchange 50ms\n"
        " judgements yes\n judgement 2s\n"
    )

    def __init__(self, number, tmp_path, conditions=None, extra_settings=""):
        self.shared += extra_settings
        super().__init__(number, tmp_path, conditions, usage="")

    def settings(self, n):
        return super().settings(n).replace("usage {\n count yes\n}\n", "") + f"shared {{\n{self.shared}}}\n"

    def view(self, n):
        return ask(self.socket(n), "shared")

    def part(self, n):
        return self.view(n)["budgets"][0]["part"]


@pytest.fixture
def new_fleet(tmp_path):
    fleets = []

    def make(number=MEMBERS, conditions=None, extra_settings=""):
        fleets.append(SharingFleet(number, tmp_path, conditions, extra_settings))
        return fleets[-1].wait_joined(PATIENCE)

    yield make
    for fleet in fleets:
        fleet.close()


class Load(threading.Thread):
    """Sends messages as fast as they are answered, until stopped; `taken` has the time of each acceptance."""

    def __init__(self, sender, name):
        super().__init__(daemon=True)
        self.sender, self.client, self.taken, self.refused = sender, name, [], 0
        self.stopping = threading.Event()

    def run(self):
        count = 0
        while not self.stopping.is_set():
            try:
                sock = self.sender.connect()
                while not self.stopping.is_set():
                    count += 1
                    headers = [
                        ("Request-Id", f"{self.client}-{count}"),
                        ("Request-Class", "status"),
                        ("Tenant", "acme"),
                        ("Request-Timeout-Ms", "8000"),
                        ("X-Consignee", "dest=7"),
                    ]
                    head = self.sender.exchange(
                        http.write_request("POST", "/api", "api.internal", headers, b"x"), sock
                    )
                    if head.status == 202:
                        self.taken.append(time.monotonic())
                    else:
                        self.refused += 1
                        self.stopping.wait(0.004)
            except OSError:
                self.stopping.wait(0.05)

    def stop(self):
        self.stopping.set()
        self.join()
        return self.taken


def most_over(times, quota, slack):
    """Returns by how much the messages accepted in any interval exceed the quota and the slack."""
    times, worst, lowest = sorted(times), 0.0, float("inf")
    for n, at in enumerate(times):
        lowest = min(lowest, n - quota * at)  # the start that gives the worst interval up to here
        worst = max(worst, n + 1 - quota * at - lowest)
    return worst - slack


def test_a_partitioned_fleet_stays_within_one_budget_and_recovers(new_fleet):
    fleet = new_fleet()
    until(lambda: all(abs(fleet.part(n) - 0.25) < 0.01 for n in range(MEMBERS)), PATIENCE)
    loads = [Load(sender, f"l{n}") for n, sender in enumerate(fleet.senders)]
    for load in loads:
        load.start()
    until(lambda: sum(len(load.taken) for load in loads) > QUOTA * 4, PATIENCE)
    fleet.relay.conditions = Conditions(cut=lambda a, b: (a in ("i0", "i1")) != (b in ("i0", "i1")))
    before = sum(len(load.taken) for load in loads)
    until(lambda: sum(len(load.taken) for load in loads) > before + QUOTA * 6, PATIENCE)
    fleet.relay.conditions = Conditions()
    before = sum(len(load.taken) for load in loads)
    until(lambda: sum(len(load.taken) for load in loads) > before + QUOTA * 3, PATIENCE)
    times = [at for load in loads for at in load.stop()]
    assert sum(load.refused for load in loads) > 0
    assert most_over(times, QUOTA, QUOTA * BURST_S + MEMBERS + QUOTA * 0.2) <= 0


def test_an_idle_senders_part_is_lent_and_returned_when_it_is_cut_off(new_fleet):
    fleet = new_fleet()
    load = Load(fleet.senders[0], "l0")
    load.start()
    until(lambda: fleet.part(0) > 0.6, PATIENCE)
    fleet.relay.conditions = Conditions(cut=lambda a, b: True)
    until(lambda: fleet.part(0) <= 0.2501, PATIENCE)
    until(lambda: all(abs(fleet.part(n) - 0.25) < 0.01 for n in range(1, MEMBERS)), PATIENCE)
    load.stop()


def test_the_budget_holds_through_loss_delay_and_one_way_links(new_fleet):
    fleet = new_fleet(conditions=Conditions(loss=0.2, delay=0.15, repeat=0.1))
    fleet.relay.conditions = Conditions(loss=0.5, delay=0.1, jitter=0.2, cut=lambda a, b: a == "i3")
    loads = [Load(sender, f"l{n}") for n, sender in enumerate(fleet.senders[:3])]
    for load in loads:
        load.start()
    until(lambda: sum(len(load.taken) for load in loads) > QUOTA * 6, PATIENCE)
    times = [at for load in loads for at in load.stop()]
    assert most_over(times, QUOTA, QUOTA * BURST_S + MEMBERS + QUOTA * 0.2) <= 0


def test_a_restarted_sender_does_not_spend_what_it_had_lent(new_fleet):
    fleet = new_fleet()
    load = Load(fleet.senders[0], "l0")
    load.start()
    until(lambda: fleet.part(0) > 0.6, PATIENCE)
    fleet.restart(1)
    other = Load(fleet.senders[1], "l1")
    other.start()
    until(lambda: len(other.taken) > QUOTA, PATIENCE)
    times = load.stop() + other.stop()
    # A new process allows a burst of its own.
    assert most_over(times, QUOTA, 2 * QUOTA * BURST_S + MEMBERS + QUOTA * 0.2) <= 0


def test_a_paused_sender_spends_only_its_own_part_when_it_continues(new_fleet):
    fleet = new_fleet()
    loads = [Load(fleet.senders[n], f"l{n}") for n in (0, 1)]
    loads[0].start()
    until(lambda: fleet.part(0) > 0.6, PATIENCE)
    fleet.senders[0].process.send_signal(signal.SIGSTOP)
    loads[1].start()
    until(lambda: fleet.part(1) > 0.5, PATIENCE)
    fleet.senders[0].process.send_signal(signal.SIGCONT)
    count = len(loads[0].taken)
    until(lambda: len(loads[0].taken) > count + QUOTA, PATIENCE)
    times = [at for load in loads for at in load.stop()]
    assert most_over(times, QUOTA, 2 * QUOTA * BURST_S + MEMBERS + QUOTA * 0.2) <= 0


def test_a_judgement_reaches_the_others_and_expires_when_its_sources_die(new_fleet):
    fleet = new_fleet(extra_settings=" sources 1\n")
    failing = [Host(), Host()]
    for host in failing:
        host.close()  # refuses connections from now on
    fleet.discovery.index += 1
    fleet.discovery.entries += [fleet.discovery.entry(n + 1, host, group=8) for n, host in enumerate(failing)]
    fleet.discovery.tell(
        json.dumps({"index": fleet.discovery.index, "snapshot": False, "endpoints": fleet.discovery.entries})
    )
    stopping = threading.Event()

    def hand_in():
        while not stopping.wait(0.02):
            for n in (0, 1):
                fleet.senders[n].hand_in("status", left=3000, dest=8)

    thread = threading.Thread(target=hand_in, daemon=True)
    thread.start()
    until(lambda: all(any(v["failing"] for v in fleet.view(n)["verdicts"]) for n in (2, 3)), PATIENCE)
    until(lambda: any("fails, by what others say" in line for line in fleet.senders[2].lines))
    assert len(fleet.view(2)["verdicts"]) == 1  # others can take out no more than half of the two endpoints
    stopping.set()
    thread.join()
    for n in (0, 1):
        fleet.senders[n].process.kill()
    until(lambda: not any(fleet.view(n)["verdicts"] for n in (2, 3)), PATIENCE)
    until(lambda: any("works, by what others say" in line for line in fleet.senders[2].lines))


def start_lying_member(fleet):
    """Starts a member with valid keys that says that a working endpoint fails; returns its edge."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.99", 0))
    uid, address = secrets.randbits(48), fleet.relay.door("liar")
    fleet.relay.behind("liar", sock.getsockname())
    judgements = Judgements("liar", uid, 2.0, 2, 0.5, 1000)
    layer = SharingLayer("liar", lambda: 0.05, Random(1), None, judgements, time.monotonic())
    node = Node(Membership("liar", address, uid, PeersSettings(), Random(2)), (layer,))
    transport = UdpTransport(sock, node, Seal(uid, read_keys(KEYS), node.decode), 10**6, lambda text: None)

    def lie(now):
        judgements.told(now, "s-0", works=False)

    transport.before = lie
    threading.Thread(target=transport.run, args=((fleet.relay_addresses[0],),), daemon=True).start()
    return transport


def test_a_lying_member_does_not_prevent_deliveries(new_fleet):
    fleet = new_fleet(3)
    transport = start_lying_member(fleet)
    try:
        until(
            lambda: all(
                any(r["source"] == "liar" and r["failing"] for r in fleet.view(n)["rows"]) for n in range(3)
            ),
            PATIENCE,
        )
        assert all(not fleet.view(n)["verdicts"] for n in range(3))
        refs = [fleet.senders[n].hand_in("status")[0] for n in range(3)]
        until(lambda: len(fleet.host.calls) == len(refs), PATIENCE)
    finally:
        transport.stop()


def test_without_settings_nothing_is_shared():
    assert SETTINGS["policyLimits"]["maxOpen"]
    sender = None
    try:
        sender = Sender(
            known=None,
            text={
                "name": "t0",
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:1",
                "seed": "5f",
                "limits": {"sockets": 1024, "disk_mb": 3},
                "settings": SETTINGS,
            },
        )
        maps = Path(f"/proc/{sender.process.pid}/maps").read_text(encoding="utf-8")
        assert "xxhash" not in maps
        assert "blake3" not in maps
    finally:
        if sender is not None:
            sender.close()
