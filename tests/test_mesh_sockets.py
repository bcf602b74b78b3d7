"""Peers and usage on real sockets: senders that count, a bad network between them, folders that last."""
from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
import toys
from toys import ROOT, Discovery, Host, Sender, until

from willownotch.channel.client import AskError, ask
from willownotch.peers.lossy import Weather
from willownotch.peers.relay import Relay

KEYS = f"1 {'ab' * 32}\n"
FAST = """ period 200ms
 patience 100ms
 suspicion 2
 gossip 50ms
 sync 1s
 rejoin 500ms
"""


class Meshed:
    """Senders with peers behind a relay."""

    def __init__(self, number, tmp_path, weather=None, seed=1, peers=FAST, usage=" exchange 50ms\n"):
        self.relay = Relay(seed, weather)
        self.host = Host()
        self.discovery = Discovery([self.host])
        self.path = tmp_path
        self.keys = tmp_path / "keys"
        self.keys.write_text(KEYS)
        self.doors = [self.relay.door(f"i{n}") for n in range(number)]
        self.peers, self.usage = peers, usage
        self.senders = [None] * number
        for n in range(number):
            self.begin(n)

    def settings(self, n):
        doors = [f"{host}:{port}" for host, port in self.doors]
        seeds = "" if n == 0 else f" seeds {doors[0]}\n"
        return (f"peers {{\n listen 127.0.0.1:0\n advertise {doors[n]}\n name i{n}\n keys {self.keys}\n"
                f"{seeds}{self.peers}}}\nusage {{\n count yes\n{self.usage}}}\n"
                f"control {{\n socket {self.socket(n)}\n}}\n")

    def socket(self, n):
        return self.path / f"s{n}"

    def begin(self, n):
        self.senders[n] = Sender(self.discovery, settings=self.settings(n))
        self.found(n)

    def found(self, n):
        """The relay has to know the new socket."""
        sender = self.senders[n]
        said = f"i{n} listens for peers on "
        until(lambda: any(said in line for line in sender.lines))
        port = next(line.rsplit(":", 1)[1] for line in sender.lines if said in line)
        self.relay.behind(f"i{n}", ("127.0.0.1", int(port)))
        sender.ready()

    def restart(self, n, with_signal=signal.SIGKILL):
        sender = self.senders[n]
        sender.process.send_signal(with_signal)
        sender.process.wait(toys.PATIENCE)
        sender.start()
        self.found(n)

    def taken(self, n, what="taken"):
        """What an instance holds to be taken on."""
        return sum(line["counts"][what]["count"] for line in ask(self.socket(n), "usage")["lines"])

    def all_hold(self, number):
        until(lambda: all(self.taken(n) == number for n in range(len(self.senders))))

    def joined(self):
        until(lambda: all(self.alive(n) == len(self.senders) - 1 for n in range(len(self.senders))))
        return self

    def alive(self, n):
        return sum(m["state"] == "alive" for m in ask(self.socket(n), "peers")["members"])

    def close(self):
        for sender in self.senders:
            sender.close()
        self.relay.close()
        self.host.close()
        self.discovery.close()


@pytest.fixture
def meshed(tmp_path):
    made = []

    def make(*arguments, **more):
        made.append(Meshed(*arguments, tmp_path, **more))
        return made[-1].joined()
    yield make
    for each in made:
        each.close()


def test_each_sender_knows_what_all_have_taken_on_and_delivered(meshed):
    fleet = meshed(3, weather=Weather(loss=0.2, jitter=0.02, repeat=0.1))
    for n, sender in enumerate(fleet.senders):
        for _ in range(n + 2):
            assert sender.hand_in("status")[1].status == 202
    fleet.all_hold(9)
    until(lambda: all(fleet.taken(n, "delivered") == 9 for n in range(3)))


def test_counts_outlast_a_kill_and_a_restart(meshed):
    fleet = meshed(2)
    for _ in range(5):
        fleet.senders[1].hand_in("status")
    fleet.restart(1)
    fleet.senders[1].hand_in("status")
    fleet.all_hold(6)
    fleet.restart(0)
    fleet.all_hold(6)


def test_who_ends_tells_its_last_counts_and_leaves(meshed):
    fleet = meshed(2)
    fleet.senders[1].hand_in("status")
    for _ in range(2):  # the second one ends its waiting for a SIGKILL
        fleet.senders[1].process.send_signal(signal.SIGTERM)
        until(lambda: any("stop: SIGTERM" in line for line in fleet.senders[1].lines))
    fleet.senders[1].process.wait(toys.PATIENCE)
    until(lambda: ask(fleet.socket(0), "peers")["members"][0]["state"] == "left")
    found = ask(fleet.socket(0), "usage")
    taken = found["lines"][0]["counts"]["taken"]
    assert taken["low"] == taken["high"] == 1


def test_a_cut_off_sender_is_held_for_dead_with_a_reason_and_found_again(meshed):
    fleet = meshed(2)
    fleet.relay.weather = Weather(cut=lambda a, b: True)
    until(lambda: ask(fleet.socket(0), "peers")["members"][0]["state"] == "dead")
    assert "not refuted" in ask(fleet.socket(0), "peers")["members"][0]["why"]
    fleet.senders[1].hand_in("status")
    fleet.relay.weather = Weather()
    fleet.joined().all_hold(1)


def test_keys_are_rolled_with_no_gap(meshed):
    fleet = meshed(2)
    new = f"2 {'cd' * 32}\n"
    for text in (KEYS + new, new + KEYS, new):
        fleet.keys.write_text(text)
        for sender in fleet.senders:
            sender.process.send_signal(signal.SIGHUP)
        fleet.senders[0].hand_in("status")
        before = ask(fleet.socket(1), "peers")["members"][0]["heard_s"]
        assert before is not None
        count = fleet.taken(0)
        until(lambda count=count: fleet.taken(1) == count)


def test_bad_keys_at_a_reload_change_nothing(meshed):
    fleet = meshed(2)
    fleet.keys.write_text("no key\n")
    sender = fleet.senders[0]
    sender.process.send_signal(signal.SIGHUP)
    until(lambda: any("old settings stay" in line and "keys:1:1" in line for line in sender.lines))
    sender.hand_in("status")
    fleet.all_hold(1)


def test_noise_on_the_socket_is_counted_and_changes_nothing(meshed):
    fleet = meshed(2)
    port = fleet.relay._ports["i0"]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        rest = b"y" * 98
        for data in (b"", b"x", b"x" * 100, bytes([1, 1]) + rest, b"z" * 1500, bytes([1, 9]) + rest):
            sock.sendto(data, port)
    wanted = {"too short", "other version", "not authentic", "too long", "unknown key"}
    until(lambda: wanted <= set(ask(fleet.socket(0), "peers")["refused"]))
    assert [m["state"] for m in ask(fleet.socket(0), "peers")["members"]] == ["alive"]


def test_a_folder_without_room_costs_counts_on_the_disk_only(meshed, tmp_path):
    fleet = meshed(1)
    fleet.senders[0].hand_in("status")
    fleet.all_hold(1)
    log = next((fleet.senders[0].state / "usage").glob("log.*"))
    assert log.stat().st_size > 0


def test_the_commands_print_tables_and_json(meshed):
    fleet = meshed(2)
    fleet.senders[0].hand_in("status")
    fleet.all_hold(1)

    def run(*words):
        return subprocess.run([sys.executable, "-m", "willownotch", *words], cwd=ROOT, text=True,
                              capture_output=True, timeout=toys.PATIENCE, env={"PATH": os.environ["PATH"]})
    path = str(fleet.socket(1))
    assert "acme" in run("usage", "--socket", path).stdout
    assert "alive" in run("peers", "--socket", path).stdout
    found = json.loads(run("usage", "--socket", path, "--json", "--tenant", "acme").stdout)
    assert found["lines"][0]["counts"]["taken"]["count"] == 1
    assert json.loads(run("usage", "--socket", path, "--json", "--tenant", "nobody").stdout)["lines"] == []
    named = Path(fleet.path / "w.conf")
    named.write_text(fleet.settings(1))
    assert run("peers", "--settings", str(named)).returncode == 0
    missing = run("peers", "--socket", str(fleet.path / "none"))
    assert missing.returncode == 2
    assert missing.stderr.count("\n") == 1
    assert run("usage").returncode == 2


def test_questions_that_cannot_be_answered_are_told_so(meshed):
    fleet = meshed(1)
    for question, about, wanted in (
            ("nothing", {}, "allowed: peers, usage"), ("usage", {"x": "1"}, "unknown word"),
            ("usage", {"lines": "many"}, "no whole number")):
        with pytest.raises(AskError, match=wanted):
            ask(fleet.socket(0), question, about)


def test_a_socket_left_by_a_dead_sender_is_replaced_and_a_living_ones_is_not(meshed):
    fleet = meshed(1)
    fleet.restart(0)
    second = Sender(fleet.discovery, settings=fleet.settings(0))
    try:
        assert second.process.wait(toys.PATIENCE) == 2
        until(lambda: any("another process listens" in line for line in second.lines))
    finally:
        second.close()
    assert ask(fleet.socket(0), "peers")["name"] == "i0"


@pytest.mark.parametrize(("text", "wanted"), [
    ("peers {\n listen 127.0.0.1:0\n}\n", "w.conf:2:2: 'listen' without 'keys'"),
    ("usage {\n count yes\n}\n", "w.conf:1:1: 'count yes' without peers"),
    ("peers {\n listen localhost:1\n keys k\n}\n", "w.conf:2:9: 'listen' cannot be 'localhost:1'"),
    ("peers {\n seeds 127.0.0.1:1 x\n}\n", "w.conf:2:20: 'seeds' cannot be 'x'"),
    ("peers {\n seeds\n}\n", "w.conf:2:2: 'seeds' has 0 values"),
    ("peers {\n listen 127.0.0.1:0\n keys /no/such/file\n}\n", "/no/such/file:1:1: cannot be read"),
])
def test_bad_settings_are_told_with_their_place(tmp_path, text, wanted):
    path, config = tmp_path / "w.conf", tmp_path / "c.json"
    path.write_text(text)
    config.write_text(json.dumps({
        "name": "t0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "5f",
        "limits": {"sockets": 1024, "disk_mb": 3}, "settings": toys.SETTINGS}))
    found = subprocess.run(
        [sys.executable, "-m", "willownotch", "check", "--config", config, "--settings", path],
        cwd=ROOT, text=True, capture_output=True, timeout=toys.PATIENCE)
    assert found.returncode == 2
    assert wanted in found.stderr


def test_serve_without_peers_loads_nothing_of_them():
    code = ("import sys, willownotch.cli; "
            "print([m for m in sys.modules if m in ('blake3', 'xxhash', 'lark') or "
            "m.startswith('willownotch.peers.core') or m.startswith('willownotch.usage.core')])")
    found = subprocess.run([sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True,
                           timeout=toys.PATIENCE)
    assert found.stdout.strip() == "[]"
