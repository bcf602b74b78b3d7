"""Peers and usage on real sockets: senders that count, a bad network between them, folders that last."""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path

import harness
import pytest
from harness import ROOT, Sender, until
from meshed import KEYS, MeshFleet

from willownotch.channel.client import AskError, ask
from willownotch.peers.lossy import Weather


@pytest.fixture
def meshed(tmp_path):
    made = []

    def make(*arguments, **more):
        made.append(MeshFleet(*arguments, tmp_path, **more))
        return made[-1].wait_joined()

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


def test_an_old_folder_and_an_empty_one_under_an_old_name_lose_no_count(meshed, tmp_path):
    fleet = meshed(3, weather=Weather(loss=0.2))
    one = fleet.senders[1]

    def back(folder=None):
        """It is killed, and begins with another folder."""
        one.process.kill()
        one.process.wait(harness.PATIENCE)
        shutil.rmtree(one.state)
        if folder is not None:
            shutil.copytree(folder, one.state)
        one.start()
        fleet.register_address(1)

    for _ in range(3):
        one.hand_in("status")
    fleet.all_hold(3)
    shutil.copytree(one.state, tmp_path / "old", ignore=shutil.ignore_patterns("handover"))  # a socket
    for _ in range(4):
        one.hand_in("status")
    fleet.all_hold(7)
    back(tmp_path / "old")  # which knows of three
    one.hand_in("status")
    fleet.all_hold(8)
    back()
    one.hand_in("status")
    fleet.all_hold(9)


def test_who_ends_tells_its_last_counts_and_leaves(meshed):
    fleet = meshed(2)
    fleet.senders[1].hand_in("status")
    for _ in range(2):  # the second one ends its waiting for a SIGKILL
        fleet.senders[1].process.send_signal(signal.SIGTERM)
        until(lambda: any("stop: SIGTERM" in line for line in fleet.senders[1].lines))
    fleet.senders[1].process.wait(harness.PATIENCE)
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
    fleet.wait_joined().all_hold(1)


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
    fleet.keys.write_text(KEYS)  # the old one again, for one of them: it is not taken any more
    fleet.senders[0].process.send_signal(signal.SIGHUP)
    until(lambda: all(ask(fleet.socket(n), "peers")["refused"].get("unknown key", 0) > 3 for n in range(2)))


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
        return subprocess.run(
            [sys.executable, "-m", "willownotch", *words],
            cwd=ROOT,
            text=True,
            capture_output=True,
            timeout=harness.PATIENCE,
            env={"PATH": os.environ["PATH"]},
        )

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
        ("nothing", {}, "allowed: counters, peers, usage"),
        ("usage", {"x": "1"}, "unknown word"),
        ("usage", {"lines": "many"}, "no whole number"),
    ):
        with pytest.raises(AskError, match=wanted):
            ask(fleet.socket(0), question, about)


def test_a_socket_left_by_a_dead_sender_is_replaced_and_a_living_ones_is_not(meshed):
    fleet = meshed(1)
    fleet.restart(0)
    second = Sender(fleet.discovery, settings=fleet.settings(0))
    try:
        assert second.process.wait(harness.PATIENCE) == 2
        until(lambda: any("another process listens" in line for line in second.lines))
    finally:
        second.close()
    assert ask(fleet.socket(0), "peers")["name"] == "i0"


@pytest.mark.parametrize(
    ("text", "wanted"),
    [
        ("peers {\n listen 127.0.0.1:0\n}\n", "w.conf:2:2: 'listen' without 'keys'"),
        ("replica {\n acks 1\n}\n", "w.conf:1:1: 'acks' without peers"),
        ("replica {\n acks 3\n}\n", "w.conf:1:1: 'copies' is below 'acks', wanted: 3 at least"),
        ("replica {\n witnesses 4\n}\n", "w.conf:2:2: 'witnesses' is even"),
        ("usage {\n count yes\n}\n", "w.conf:1:1: 'count yes' without peers"),
        ("peers {\n listen localhost:1\n keys k\n}\n", "w.conf:2:9: 'listen' cannot be 'localhost:1'"),
        ("peers {\n seeds 127.0.0.1:1 x\n}\n", "w.conf:2:20: 'seeds' cannot be 'x'"),
        ("peers {\n seeds\n}\n", "w.conf:2:2: 'seeds' has 0 values"),
        ("peers {\n listen 127.0.0.1:0\n keys /no/such/file\n}\n", "/no/such/file:1:1: cannot be read"),
    ],
)
def test_bad_settings_are_told_with_their_place(tmp_path, text, wanted):
    path, config = tmp_path / "w.conf", tmp_path / "c.json"
    path.write_text(text)
    config.write_text(
        json.dumps(
            {
                "name": "t0",
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:1",
                "seed": "5f",
                "limits": {"sockets": 1024, "disk_mb": 3},
                "settings": harness.SETTINGS,
            }
        )
    )
    found = subprocess.run(
        [sys.executable, "-m", "willownotch", "check", "--config", config, "--settings", path],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=harness.PATIENCE,
    )
    assert found.returncode == 2
    assert wanted in found.stderr


def test_serve_without_peers_loads_nothing_of_them():
    code = (
        "import sys, willownotch.cli; "
        "print([m for m in sys.modules if m in ('blake3', 'xxhash', 'lark') or "
        "m.startswith('willownotch.peers.core') or m.startswith('willownotch.usage.core') or "
        "m in ('willownotch.replica.core', 'willownotch.replica.service', 'willownotch.links.edge')])"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True, timeout=harness.PATIENCE
    )
    assert found.stdout.strip() == "[]"


def test_the_decisions_are_told_this_sender_s_part_of_a_quota_where_that_is_set(meshed):
    fleet = meshed(2, usage=" exchange 50ms\n share-quotas yes\n")
    for _ in range(20):
        fleet.senders[0].hand_in("status")
    fleet.all_hold(20)
    parts = {}

    def told():
        for n, sender in enumerate(fleet.senders):
            found = [line for line in sender.lines if "part of acme's quota here is" in line]
            if found:
                parts[n] = float(found[-1].rsplit(" ", 1)[1])
        return parts.get(0, 0.0) > 0.6 > 0.4 > parts.get(1, 1.0)

    until(told)
    assert sum(parts.values()) <= 1.001
