"""Peers and usage counts on real sockets: counts across restarts, lost state folders and a bad network."""

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
from willownotch.peers.lossy import Conditions


@pytest.fixture
def new_fleet(tmp_path):
    fleets = []

    def make(*arguments, **options):
        fleets.append(MeshFleet(*arguments, tmp_path, **options))
        return fleets[-1].wait_joined()

    yield make
    for fleet in fleets:
        fleet.close()


def test_each_sender_counts_the_messages_accepted_and_delivered_by_all(new_fleet):
    fleet = new_fleet(3, conditions=Conditions(loss=0.2, jitter=0.02, repeat=0.1))
    for n, sender in enumerate(fleet.senders):
        for _ in range(n + 2):
            assert sender.hand_in("status")[1].status == 202
    fleet.wait_counted(9)
    until(lambda: all(fleet.taken(n, "delivered") == 9 for n in range(3)))


def test_counts_survive_a_kill_and_a_restart(new_fleet):
    fleet = new_fleet(2)
    for _ in range(5):
        fleet.senders[1].hand_in("status")
    fleet.restart(1)
    fleet.senders[1].hand_in("status")
    fleet.wait_counted(6)
    fleet.restart(0)
    fleet.wait_counted(6)


def test_a_restart_with_an_old_or_empty_state_folder_loses_no_count(new_fleet, tmp_path):
    fleet = new_fleet(3, conditions=Conditions(loss=0.2))
    sender = fleet.senders[1]

    def replace_state(folder=None):
        """Kills the sender and starts it with a copy of `folder`, or with an empty state folder."""
        sender.process.kill()
        sender.process.wait(harness.PATIENCE)
        shutil.rmtree(sender.state)
        if folder is not None:
            shutil.copytree(folder, sender.state)
        sender.start()
        fleet.register_address(1)

    for _ in range(3):
        sender.hand_in("status")
    fleet.wait_counted(3)
    shutil.copytree(sender.state, tmp_path / "old", ignore=shutil.ignore_patterns("handover"))  # a socket
    for _ in range(4):
        sender.hand_in("status")
    fleet.wait_counted(7)
    replace_state(tmp_path / "old")  # which has a count of three
    sender.hand_in("status")
    fleet.wait_counted(8)
    replace_state()
    sender.hand_in("status")
    fleet.wait_counted(9)


def test_a_stopping_sender_sends_its_last_counts_and_leaves(new_fleet):
    fleet = new_fleet(2)
    fleet.senders[1].hand_in("status")
    for _ in range(2):  # after the first it waits for a SIGKILL, the second ends that
        fleet.senders[1].process.send_signal(signal.SIGTERM)
        until(lambda: any("stop: SIGTERM" in line for line in fleet.senders[1].lines))
    fleet.senders[1].process.wait(harness.PATIENCE)
    until(lambda: ask(fleet.socket(0), "peers")["members"][0]["state"] == "left")
    found = ask(fleet.socket(0), "usage")
    taken = found["lines"][0]["counts"]["taken"]
    assert taken["low"] == taken["high"] == 1


def test_a_sender_that_is_cut_off_is_marked_dead_with_a_reason_and_joins_again(new_fleet):
    fleet = new_fleet(2)
    fleet.relay.conditions = Conditions(cut=lambda a, b: True)
    until(lambda: ask(fleet.socket(0), "peers")["members"][0]["state"] == "dead")
    assert "not refuted" in ask(fleet.socket(0), "peers")["members"][0]["why"]
    fleet.senders[1].hand_in("status")
    fleet.relay.conditions = Conditions()
    fleet.wait_joined().wait_counted(1)


def test_keys_are_rotated_without_interruption(new_fleet):
    fleet = new_fleet(2)
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
    fleet.keys.write_text(KEYS)  # one sender gets the old key again, which is no longer accepted
    fleet.senders[0].process.send_signal(signal.SIGHUP)
    until(lambda: all(ask(fleet.socket(n), "peers")["refused"].get("unknown key", 0) > 3 for n in range(2)))


def test_invalid_keys_at_a_reload_change_nothing(new_fleet):
    fleet = new_fleet(2)
    fleet.keys.write_text("no key\n")
    sender = fleet.senders[0]
    sender.process.send_signal(signal.SIGHUP)
    until(lambda: any("old settings stay" in line and "keys:1:1" in line for line in sender.lines))
    sender.hand_in("status")
    fleet.wait_counted(1)


def test_invalid_datagrams_are_counted_and_change_nothing(new_fleet):
    fleet = new_fleet(2)
    port = fleet.relay._ports["i0"]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        tail = b"y" * 98
        for data in (b"", b"x", b"x" * 100, bytes([1, 1]) + tail, b"z" * 1500, bytes([1, 9]) + tail):
            sock.sendto(data, port)
    expected = {"too short", "other version", "not authentic", "too long", "unknown key"}
    until(lambda: expected <= set(ask(fleet.socket(0), "peers")["refused"]))
    assert [m["state"] for m in ask(fleet.socket(0), "peers")["members"]] == ["alive"]


def test_counts_are_written_to_the_state_folder(new_fleet, tmp_path):
    fleet = new_fleet(1)
    fleet.senders[0].hand_in("status")
    fleet.wait_counted(1)
    log = next((fleet.senders[0].state / "usage").glob("log.*"))
    assert log.stat().st_size > 0


def test_the_commands_print_tables_and_json(new_fleet):
    fleet = new_fleet(2)
    fleet.senders[0].hand_in("status")
    fleet.wait_counted(1)

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
    settings_file = Path(fleet.folder / "w.conf")
    settings_file.write_text(fleet.settings(1))
    assert run("peers", "--settings", str(settings_file)).returncode == 0
    missing = run("peers", "--socket", str(fleet.folder / "none"))
    assert missing.returncode == 2
    assert missing.stderr.count("\n") == 1
    assert run("usage").returncode == 2


def test_invalid_control_requests_get_an_error(new_fleet):
    fleet = new_fleet(1)
    for request, about, expected in (
        ("nothing", {}, "allowed: counters, peers, usage"),
        ("usage", {"x": "1"}, "unknown word"),
        ("usage", {"lines": "many"}, "not a whole number"),
    ):
        with pytest.raises(AskError, match=expected):
            ask(fleet.socket(0), request, about)


def test_the_control_socket_of_a_dead_sender_is_replaced_and_of_a_live_one_is_not(new_fleet):
    fleet = new_fleet(1)
    fleet.restart(0)
    second = Sender(fleet.discovery, settings=fleet.settings(0))
    try:
        assert second.process.wait(harness.PATIENCE) == 2
        until(lambda: any("another process listens" in line for line in second.lines))
    finally:
        second.close()
    assert ask(fleet.socket(0), "peers")["name"] == "i0"


@pytest.mark.parametrize(
    ("text", "expected"),
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
def test_invalid_settings_are_reported_with_their_position(tmp_path, text, expected):
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
    assert expected in found.stderr


def test_serve_without_peers_loads_none_of_their_modules():
    code = (
        "import sys, willownotch.cli; "
        "print([m for m in sys.modules if m in ('blake3', 'xxhash', 'lark') or "
        "m.startswith('willownotch.peers.core') or m.startswith('willownotch.usage.core') or "
        "m in ('willownotch.replica.core', 'willownotch.replica.service', 'willownotch.links.transport')])"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True, timeout=harness.PATIENCE
    )
    assert found.stdout.strip() == "[]"


def test_with_share_quotas_each_sender_gets_its_part_of_a_quota(new_fleet):
    fleet = new_fleet(2, usage=" exchange 50ms\n share-quotas yes\n")
    for _ in range(20):
        fleet.senders[0].hand_in("status")
    fleet.wait_counted(20)
    parts = {}

    def parts_follow_load():
        for n, sender in enumerate(fleet.senders):
            found = [line for line in sender.lines if "part of acme's quota here is" in line]
            if found:
                parts[n] = float(found[-1].rsplit(" ", 1)[1])
        return parts.get(0, 0.0) > 0.6 > 0.4 > parts.get(1, 1.0)

    until(parts_follow_load)
    assert sum(parts.values()) <= 1.001
