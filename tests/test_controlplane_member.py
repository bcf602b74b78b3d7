"""Member processes on loopback: changes, operators' commands, lost processes and folders, malformed input."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import threading
from struct import pack
from types import SimpleNamespace

import msgspec
import pytest
from harness import ROOT, until
from member_processes import TIMEOUT_S, MemberFleet

from willownotch.channel.client import AskError
from willownotch.controlplane import store as stores
from willownotch.controlplane import wire
from willownotch.controlplane.commit import Outcome, Result, Stage
from willownotch.controlplane.document import Change, Commit, Document
from willownotch.controlplane.member import LINK_VERSION, ChangeWaiter, Member
from willownotch.links.transport import MAX_FRAME_BYTES
from willownotch.peers.seal import Seal, read_keys


@pytest.fixture
def start_fleet(tmp_path):
    made = []

    def make(number=3, extra_settings="", start=True):
        made.append(MemberFleet(tmp_path, number, extra_settings))
        return made[0].start() if start else made[0]

    yield make
    for each in made:
        each.close()


class FollowerClient:
    """Sends single messages as a follower."""

    def __init__(self, fleet, name="t0", version=wire.VERSION, keys=None):
        self.name, self.uid = name, 77
        keys = keys or read_keys(fleet.keys.read_text())
        self.seal = Seal(self.uid, keys, wire.decode, version, wire.MAX_DATAGRAM_BYTES)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.number = 0

    def poll(self, member, revision, in_force=None):
        self.number += 1
        return wire.Poll(
            self.name,
            self.uid,
            self.number,
            member.name,
            3000,
            revision,
            0,
            revision if in_force is None else in_force,
        )

    def send(self, member, data):
        host, port = member.followers.split(":")
        self.sock.sendto(data, (host, int(port)))

    def ask(self, member, revision=0, in_force=None):
        """The reply to a poll, which is repeated until one arrives."""
        self.sock.settimeout(0.5)

        def answered():
            self.send(member, self.seal.close(self.poll(member, revision, in_force)))
            try:
                return self.seal.open(self.sock.recv(65535))
            except TimeoutError:
                return None

        return until(answered, TIMEOUT_S)


def test_a_change_is_committed_at_all_members_and_served_to_followers(start_fleet):
    fleet = start_fleet()
    fleet.wait_writer()
    for n, member in enumerate(fleet.members):  # at the writer and at the others
        reply = member.change(n, {f"data/k{n}": {"n": n}})
        assert (reply["outcome"], reply["revision"]) == ("committed", n + 1)
    fleet.wait_revision(3)
    found = [member.ask("entries") for member in fleet.members]
    assert found[0] == found[1] == found[2]
    assert found[0]["entries"] == {f"data/k{n}": {"n": n} for n in range(3)}
    for n, member in enumerate(fleet.members):
        poll_reply = FollowerClient(fleet, f"t{n}").ask(member)
        assert isinstance(poll_reply, wire.PollReply) and poll_reply.revision == 3
        assert poll_reply.digest.hex() == found[0]["digest"]
        delta = wire.read_delta(poll_reply.delta)
        assert delta.sets["data/k1"] == b'{"n":1}' and delta.since == 0
    client = FollowerClient(fleet, "t9")
    client.ask(fleet.members[0], 3)
    # Every member has the status of all followers, and a new commit is pushed at once.
    for member in fleet.members:
        until(lambda m=member: m.status()["serving"]["in_force"] == {"3": 1, "0": 3}, TIMEOUT_S)
    assert fleet.members[1].change(3, {}, ["data/k0"])["outcome"] == "committed"

    def pushed():
        message = client.seal.open(client.sock.recv(65535))
        return isinstance(message, wire.Push) and message.revision == 4

    client.sock.settimeout(TIMEOUT_S)
    until(pushed, TIMEOUT_S)


def test_operators_put_set_unset_show_and_roll_back_with_exit_codes(start_fleet, tmp_path):
    fleet = start_fleet()
    fleet.wait_writer()
    member = fleet.members[1]
    file = tmp_path / "entries"
    file.write_text('# what we run\ndata/a 1\ndata/b {"x": [1, 2]}\n')
    found = member.config("put", str(file))
    assert found.returncode == 0 and "revision 1 is committed: 2 set, 0 removed" in found.stdout, found
    assert "nothing to change: revision 1" in member.config("put", str(file)).stdout
    found = member.config("set", "data/c", "true", "--json")
    assert found.returncode == 0 and json.loads(found.stdout)["revision"] == 2
    # `put` replaces the whole document, unless it merges.
    file.write_text("data/a 5\n")
    assert "revision 3 is committed: 1 set, 0 removed" in member.config("put", str(file), "--merge").stdout
    assert member.config("show", "data/b").stdout == '{"x":[1,2]}\n'
    assert "revision 4 is committed: 0 set, 2 removed" in member.config("put", str(file)).stdout
    assert member.config("show").stdout.splitlines()[1:] == ["data/a 5"]
    found = member.config("rollback", "2")
    assert found.returncode == 0 and "revision 5 is committed: 3 set, 0 removed" in found.stdout
    shown = member.config("show").stdout
    assert shown.splitlines()[1:] == ["data/a 1", 'data/b {"x":[1,2]}', "data/c true"]
    assert member.config("show", "--revision", "2").stdout.splitlines()[1:] == shown.splitlines()[1:]
    file.write_text(shown)  # the output of `show` is valid input for `put`
    assert "nothing to change" in member.config("put", str(file)).stdout
    assert member.config("unset", "data/a").returncode == 0
    history = json.loads(member.config("history", "--json").stdout)
    assert [c["revision"] for c in history["commits"]] == [6, 5, 4, 3, 2, 1]
    assert history["commits"][0]["removes"] == ["data/a"] and history["oldest"] == 0
    status = member.config("status")
    assert status.returncode == 0 and "revision 6" in status.stdout and "the writer is m" in status.stdout
    for words, code, text in (
        (("unset", "data/none"), 1, "has no entry 'data/none'"),
        (("show", "data/none"), 1, "has no entry"),
        (("rollback", "99"), 1, "revision 99 is not remembered, allowed: 0 to 6"),
        (("show", "--revision", "99"), 1, "not remembered"),
        (("put", str(tmp_path / "none")), 2, "No such file"),
        (("rollback", "x"), 2, "is not a valid integer"),
        (("set", "data/a"), 2, "Missing argument"),
    ):
        found = member.config(*words)
        assert found.returncode == code and text in found.stderr, found
    assert member.ask("entries")["revision"] == 6


def test_a_conflicting_change_is_rejected_whole_and_names_the_revision_it_lost_to(start_fleet):
    fleet = start_fleet()
    fleet.wait_writer()
    one, other = fleet.members[:2]
    assert one.change(0, {"data/a": 1})["revision"] == 1
    reply = other.change(0, {"data/a": 2, "data/b": 2})
    assert (reply["outcome"], reply["revision"]) == ("lost", 1) and "'data/a'" in reply["text"]
    found = other.config("set", "data/a", "3", "--expect", "0")
    assert found.returncode == 1 and "lost to revision 1" in found.stderr
    assert other.change(0, {"data/b": 3})["revision"] == 2  # other keys do not conflict
    fleet.wait_revision(2, [one])  # a majority has committed it, and this member may not belong to that
    assert one.ask("entries")["entries"] == {"data/a": 1, "data/b": 3}


def test_a_change_that_is_submitted_again_with_its_id_has_one_outcome(start_fleet):
    fleet = start_fleet()
    fleet.wait_writer()
    change_id = "0f" * 16
    first = fleet.members[0].change(0, {"data/a": 1}, change_id=change_id)
    fleet.members[1].change(1, {"data/a": 2})
    for member in fleet.members:
        assert member.change(0, {"data/a": 1}, change_id=change_id) == first
    assert fleet.members[0].ask("entries")["entries"] == {"data/a": 2}
    found = fleet.members[2].config("set", "data/a", "1", "--expect", "0", "--id", change_id)
    assert found.returncode == 0 and "revision 1 is committed" in found.stdout


def test_invalid_documents_are_refused_with_line_and_column_and_change_nothing(start_fleet, tmp_path):
    fleet = start_fleet()
    fleet.wait_writer()
    member = fleet.members[0]
    member.change(0, {"data/a": 1})
    file = tmp_path / "entries"
    file.write_text("data/a 2\nnope/x 1\ndata/b [1,\n  data/a 3\nconfig/limits/socket 4\n")
    found = member.config("put", str(file))
    assert found.returncode == 2
    lines = found.stderr.splitlines()
    assert len(lines) == 4
    assert f"{file}:2:1: unknown key 'nope/x', allowed" in lines[0]
    assert f"{file}:3:" in lines[1] and "wanted: one JSON text" in lines[1]
    assert f"{file}:4:3: 'data/a' stands twice, allowed: once (line 1 has it)" in lines[2]
    assert f"{file}:5:1: unknown key 'socket' (did you mean 'sockets'?)" in lines[3]
    # Members also check changes that do not come from the command.
    for sets, removes, text in (
        ({"nope/x": 1}, (), "unknown key"),
        ({}, ("data/none",), "no entry"),
        ({}, (), "empty"),
        ({"data/a": 1}, ("data/a",), "both set and removed"),
        ({"data/big": "x" * 70_000}, (), "allowed: up to"),
    ):
        reply = member.change(1, sets, removes)
        assert reply["outcome"] == "refused" and text in reply["text"], reply
    for question in (
        "",
        "{}",
        '{"id": "00"}',
        '{"id": "zz", "author": "a", "base": 1}',
        '{"id": "%s", "author": "a", "base": -1.5}' % ("00" * 16),
        "[" * 2000,
    ):
        with pytest.raises(AskError, match="no change"):
            member.ask("change", change=question)
    fleet.wait_revision(1)
    for each in fleet.members:
        found = each.ask("entries")
        assert (found["revision"], found["entries"]) == (1, {"data/a": 1})


def test_a_change_is_checked_against_the_reference_configuration(start_fleet, tmp_path):
    from harness import SETTINGS

    reference = tmp_path / "reference.json"
    reference.write_text(
        json.dumps(
            {
                "name": "t0",
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:1",
                "seed": "5f",
                "state": "x",
                "limits": {"sockets": 1024, "disk_mb": 3},
                "settings": SETTINGS,
            }
        )
    )
    fleet = start_fleet(extra_settings=f" reference {reference}\n")
    fleet.wait_writer()
    member = fleet.members[0]
    reply = member.change(0, {"config/limits/sockets": 8})
    assert reply["outcome"] == "refused" and "with the reference configuration" in reply["text"], reply
    assert member.change(0, {"config/limits/sockets": 512})["outcome"] == "committed"


def test_bad_datagrams_are_counted_and_logged_and_get_no_reply(start_fleet):
    fleet = start_fleet(1)
    member = fleet.wait_writer()
    client, foreign = FollowerClient(fleet), FollowerClient(fleet, keys=[(1, b"o" * 32)])
    older, other = FollowerClient(fleet, version=1), FollowerClient(fleet, keys=[(9, b"o" * 32)])
    good = client.seal.close(client.poll(member, 0))
    forged = good[:-1] + bytes([good[-1] ^ 1])
    for data in (
        b"",
        b"x",
        good[:20],
        good[:-1],
        good + b"x",
        b"x" * 1400,
        b"x" * 3000,
        forged,
        foreign.seal.close(foreign.poll(member, 0)),
        older.seal.close(older.poll(member, 0)),
        other.seal.close(other.poll(member, 0)),
        good,
        good,
    ):
        client.send(member, data)
    wanted = {
        "too short": 3,
        "too long": 1,
        "not authentic": 4,
        "other version": 2,
        "unknown key": 1,
        "repeat": 1,
    }

    def counted():
        traffic = member.status()["traffic"]
        found = {why: traffic.get(f"datagrams for followers {why}", 0) for why in wanted}
        return found if sum(found.values()) >= sum(wanted.values()) else None

    assert until(counted, TIMEOUT_S) == wanted
    member.wait_for_log("refused:", "datagrams for followers not authentic")
    # Authentic datagrams whose messages are not valid or not expected.
    for message in (
        wire.Poll("", 77, 1, member.name, 3000, 0, 0, 0),
        wire.Fetch("t0", member.name, 1, wire.Part(wire.PartKind.DELTA, 9, 1), ()),
        wire.Fetch("stranger", member.name, 1, wire.Part(wire.PartKind.GROUPS, 0), (0,)),
        wire.Poll("t0", 77, 1, "another", 3000, 0, 0, 0),
        wire.PollReply("t0", 1, 9, 9, b"x" * 16),
    ):
        client.send(member, client.seal.close(message))
    poll_reply = client.ask(member)
    while not isinstance(poll_reply, wire.PollReply):
        poll_reply = client.ask(member)
    until(lambda: member.status()["traffic"].get("datagrams for followers unreadable") == 2, TIMEOUT_S)
    assert member.change(0, {"data/a": 1})["outcome"] == "committed"


def test_bad_streams_are_counted_and_logged_and_their_connections_closed(start_fleet):
    fleet = start_fleet(3)
    fleet.wait_writer()
    member = fleet.members[0]
    host, port = member.peers.split(":")
    keys = read_keys(fleet.keys.read_text())

    def sealed(message, version=LINK_VERSION, keys=keys):
        data = Seal(88, keys, version=version, most=MAX_FRAME_BYTES).close(message)
        return pack("!I", len(data)) + data

    class Strange(msgspec.Struct, array_like=True):
        source: str
        message: str

    for data in (
        b"\0\0",
        pack("!I", 100) + b"x",
        pack("!I", MAX_FRAME_BYTES + 1),
        pack("!I", 5) + b"abcde",
        sealed(Strange("m1", "x")),
        sealed(Strange("m1", "x"), 17),
        sealed(Strange("m1", "x"), keys=[(1, b"o" * 32)]),
    ):
        with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
            sock.settimeout(TIMEOUT_S)
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            assert sock.recv(1) == b""
    wanted = {
        "cut off": 2,
        "too long": 1,
        "too short": 1,
        "unreadable": 1,
        "other version": 1,
        "not authentic": 1,
    }

    def counted():
        traffic = member.status()["traffic"]
        return {why: traffic.get(f"frames of members {why}", 0) for why in wanted} == wanted

    until(counted, TIMEOUT_S)
    member.wait_for_log("refused:", "frames of members")
    assert member.change(0, {"data/a": 1})["outcome"] == "committed"


def test_another_member_becomes_the_writer_after_a_kill(start_fleet):
    fleet = start_fleet(5)
    writer = fleet.wait_writer()
    for n in range(3):
        assert writer.change(n, {"data/n": n})["outcome"] == "committed"
    writer.end(signal.SIGKILL)
    rest = fleet.running()
    change_id = "0a" * 16

    def committed():
        return rest[0].change(3, {"data/n": 3}, change_id=change_id)["outcome"] == "committed"

    until(committed, TIMEOUT_S)
    assert fleet.wait_writer() is not writer
    fleet.wait_revision(4)
    writer.start()
    fleet.wait_revision(4)
    assert writer.ask("entries") == rest[0].ask("entries")


def test_sigterm_hands_the_writer_lease_on(start_fleet):
    fleet = start_fleet()
    writer = fleet.wait_writer()
    assert writer.change(0, {"data/a": 1})["outcome"] == "committed"
    assert writer.end(signal.SIGTERM) == 0
    assert "end: ended" in writer.lines[-1]
    assert any("lease:" in line and "is handed on" in line for line in writer.lines)
    assert not writer.socket.exists()
    other = fleet.wait_writer()
    assert other.change(1, {"data/a": 2})["revision"] == 2


def test_a_restart_of_all_keeps_revision_and_entries(start_fleet):
    fleet = start_fleet()
    fleet.wait_writer()
    for n in range(5):
        fleet.members[n % 3].change(n, {"data/n": n, f"data/k{n}": n})
    fleet.wait_revision(5)
    before = fleet.members[0].ask("entries")
    for member in fleet.members:
        member.end(signal.SIGKILL)
    for member in fleet.members:
        member.peers = None
    for member in fleet.members:
        member.start()
    assert fleet.wait_writer().change(5, {"data/n": 6})["revision"] == 6
    fleet.wait_revision(6)
    found = fleet.members[1].ask("entries", revision="5")
    assert found["entries"] == before["entries"] and found["digest"] == before["digest"]
    history = fleet.members[2].ask("history")
    assert [c["revision"] for c in history["commits"]] == [6, 5, 4, 3, 2, 1]


def test_a_member_without_its_folder_returns_as_a_new_incarnation(start_fleet):
    fleet = start_fleet(5)
    writer = fleet.wait_writer()
    for n in range(3):
        writer.change(n, {"data/n": n})
    lost = next(m for m in fleet.members if m is not writer)
    lost.end(signal.SIGKILL)
    lost.remove_folder()
    lost.start()
    lost.wait_for_log("votes again, as incarnation 2")
    fleet.wait_revision(3)
    assert lost.status()["agreement"]["voting"]
    assert lost.ask("entries") == writer.ask("entries")
    # Its vote counts: with two other members stopped, it is one of the three that are needed.
    rest = [m for m in fleet.members if m not in (lost, writer)]
    for member in rest[:2]:
        member.end(signal.SIGKILL)
    change_id = "0b" * 16
    until(lambda: lost.change(3, {"data/n": 9}, change_id=change_id)["outcome"] == "committed", TIMEOUT_S)


def test_without_a_majority_nothing_is_committed_and_followers_and_operators_see_it(start_fleet):
    fleet = start_fleet()
    writer = fleet.wait_writer()
    assert writer.change(0, {"data/a": 1})["outcome"] == "committed"
    fleet.wait_revision(1)
    others = [m for m in fleet.members if m is not writer]
    for member in others:
        member.send_signal(signal.SIGSTOP)
    found = []
    asking = threading.Thread(target=lambda: found.append(writer.command("set", "data/a", "2")))
    asking.start()
    # A request that waits for an outcome does not block other requests.
    until(lambda: writer.status()["agreement"]["asking"] == 1, TIMEOUT_S)
    writer.wait_for_log("apart:", "no majority of the voters has been heard", "no change is accepted")
    assert writer.status()["apart_s"] > 0
    assert writer.ask("entries")["entries"] == {"data/a": 1}
    poll_reply = FollowerClient(fleet).ask(writer)
    assert poll_reply.revision == 1 and poll_reply.isolated_ms > 0
    asking.join(TIMEOUT_S)
    assert found[0].returncode == 3 and "ask again by the same command with --id" in found[0].stderr, found
    again = found[0].stderr.split("same command with ")[1].split()
    assert again[::2] == ["--id", "--expect"]
    for member in others:
        member.send_signal(signal.SIGCONT)
    writer.wait_for_log("apart:", "a majority of the voters is heard again")
    until(lambda: others[0].config("set", "data/a", "2", *again).returncode == 0, TIMEOUT_S)
    fleet.wait_revision(2)
    history = writer.ask("history")
    assert [c["id"] for c in history["commits"]][:-1] == [again[1]]


def test_a_member_with_a_full_disk_does_not_vote_until_there_is_space(start_fleet):
    fleet = start_fleet()
    writer = fleet.wait_writer()
    full = next(m for m in fleet.members if m is not writer)
    full.faults.write_text("no-space append records\n")
    for n in range(3):
        assert writer.change(n, {"data/n": n})["outcome"] == "committed"
    full.wait_for_log("folder:", "could not be written", "No space left")
    full.wait_for_log("agreement:", "the folder cannot be written: no vote until it can")
    until(lambda: full.status()["agreement"]["folder_failing"], TIMEOUT_S)
    full.faults.unlink()
    until(lambda: not full.status()["agreement"]["folder_failing"], TIMEOUT_S)
    fleet.wait_revision(3)
    full.end(signal.SIGKILL)
    full.start()
    fleet.wait_revision(3)


def test_a_torn_write_is_truncated_and_a_damaged_folder_is_refused(start_fleet):
    fleet = start_fleet()
    fleet.wait_writer()
    member = fleet.members[0]
    for n in range(3):
        fleet.members[1].change(n, {"data/n": n})
    fleet.wait_revision(3)
    member.end(signal.SIGKILL)
    records = member.folder / stores.NAME
    whole = records.read_bytes()
    records.write_bytes(whole + stores.frame(b"x" * 50)[:37])
    member.start()
    member.wait_for_log("folder:", "37 bytes of a torn write were cut off")
    fleet.wait_revision(3)
    member.end(signal.SIGKILL)
    whole = bytearray(records.read_bytes())
    whole[len(whole) // 2] ^= 1
    records.write_bytes(whole)
    assert_refused(member, "damaged at byte")


def assert_refused(member, text, settings=None):
    """Asserts that the member does not start: exit code 2 and one line with `text`."""
    found = subprocess.run(
        [sys.executable, "-m", "willownotch", "member", "--settings", str(settings or member.settings)],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=TIMEOUT_S,
    )
    assert found.returncode == 2, found
    assert len(found.stderr.splitlines()) == 1 and text in found.stderr, found


def test_unusable_settings_and_folders_are_one_line_and_exit_2(start_fleet, tmp_path):
    fleet = start_fleet(start=False)
    member, other = fleet.members[:2]
    member.start(bootstrap=True)
    good = member.settings.read_text()
    other.write_settings()
    bad = tmp_path / "bad.conf"

    def refused(text, *replaced):
        made = good
        for old, new in zip(replaced[::2], replaced[1::2], strict=True):
            assert old in made
            made = made.replace(old, new)
        bad.write_text(made)
        assert_refused(member, text, bad)

    refused("another process has this folder")
    host, port = member.followers.split(":")
    fresh = (f"folder {member.folder}", f"folder {tmp_path / 'fresh'}")
    refused("followers 127.0.0.11", *fresh, "followers 127.0.0.11:0", f"followers {host}:{port}")
    refused("Address already in use", *fresh, "listen 127.0.0.11:0", f"listen {member.peers}")
    refused("another process listens on", *fresh)
    refused("keys", str(fleet.keys), str(tmp_path / "none"))
    refused("'m7' of peers is not one of 'voters'", "name m0", "name m7")
    refused("wanted: an odd number", "voters m0 m1 m2", "voters m0 m1")
    refused("(did you mean 'lease'?)", "lease 600ms", "leese 600ms")
    member.end(signal.SIGKILL)
    refused("belongs to 'member m0 of m0, m1, m2', not to 'member m1 of m0, m1, m2'", "name m0", "name m1")
    refused("not to 'member m0 of m0, m1, m3'", "voters m0 m1 m2", "voters m0 m1 m3")
    (tmp_path / "file").write_text("x")
    refused("file", f"folder {member.folder}", f"folder {tmp_path / 'file'}")
    records = member.folder / stores.NAME
    head, rest = stores.bodies(records.read_bytes())[0][0], records.read_bytes()
    newer = msgspec.msgpack.encode([stores.FORMAT + 1, *msgspec.msgpack.decode(head)[1:]])
    records.write_bytes(stores.frame(newer) + rest[len(stores.frame(head)) :])
    refused("is of format 2, this version reads up to 1")
    found = subprocess.run(
        [sys.executable, "-m", "willownotch", "member"],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=TIMEOUT_S,
    )
    assert found.returncode == 2 and "no block member" in found.stderr


def test_keys_are_rotated_and_a_failed_reload_changes_nothing(start_fleet):
    fleet = start_fleet()
    fleet.wait_writer()
    first, second = f"1 {'ab' * 32}\n", f"2 {'cd' * 32}\n"

    def reload(text):
        fleet.keys.write_text(text)
        for member in fleet.members:
            logged = sum("reload:" in line for line in member.lines)
            member.send_signal(signal.SIGHUP)
            until(lambda m=member, n=logged: sum("reload:" in line for line in m.lines) > n, TIMEOUT_S)

    reload("no keys\n")
    assert all("the old settings stay" in m.wait_for_log("reload:") for m in fleet.members)
    for text in (first + second, second + first, second):
        reload(text)
    assert all("hold now" in [x for x in m.lines if "reload:" in x][-1] for m in fleet.members)
    assert fleet.members[0].change(0, {"data/a": 1})["outcome"] == "committed"
    fleet.wait_revision(1)
    old = FollowerClient(fleet, keys=[(1, b"\xab" * 32)])
    old.send(fleet.members[0], old.seal.close(old.poll(fleet.members[0], 0)))
    fleet.members[0].wait_for_log("refused:", "datagrams for followers unknown key")
    assert FollowerClient(fleet, "t1").ask(fleet.members[0]).revision == 1


def test_frames_of_a_member_with_other_voters_are_ignored(start_fleet):
    fleet = start_fleet(start=False)
    for member in fleet.members[:2]:
        member.start(bootstrap=True)
    stray = fleet.members[2]
    stray.write_settings()
    stray.settings.write_text(stray.settings.read_text().replace("voters m0 m1 m2", "voters m1 m2 m3"))
    stray.launch(bootstrap=True)
    fleet.members[1].wait_for_log("voters:", "m2 has other 'voters' than this member")
    stray.wait_for_log("voters:", "m1 has other 'voters' than this member")
    assert fleet.wait_writer(fleet.members[:2]).change(0, {"data/a": 1})["outcome"] == "committed"
    assert stray.status()["agreement"]["revision"] == 0
    until(lambda: fleet.members[1].status()["traffic"].get("frames of other voters"), TIMEOUT_S)


def test_an_author_is_answered_only_when_the_member_has_the_committed_revision():
    """Otherwise the author's next change of the same key, submitted to this member, would be based on the
    revision before, and would lose to its author's previous change."""
    document, change = Document(), Change(b"c" * 16, "me", 0, {"data/a": b"1"})
    member, waiter = Member.__new__(Member), ChangeWaiter()
    member.document, member._waiting, member._outcomes_ahead = document, {change.id: [waiter]}, []
    member._snapshots_installed, member._writing, member.say = 0, False, lambda *words: None
    member.serving = SimpleNamespace(committed=lambda now, commit: [])
    member._send_to_followers, member.woken = lambda sends: None, SimpleNamespace(notify=lambda: None)
    member.commits = SimpleNamespace(
        committed=[],
        snapshots_installed=0,
        log_lines=[],
        writer=SimpleNamespace(stage=Stage.IDLE),
        results=[Result(change.id, Outcome.COMMITTED, 1, "")],
    )
    member._apply_results(0.0)
    assert not waiter.done.is_set()
    commit = Commit(1, 1, change, document.digest_after(change))
    document.commit(commit)
    member.commits.committed.append(commit)
    member._apply_results(0.1)
    assert waiter.done.is_set()
    assert (waiter.result.outcome, waiter.result.revision) == (Outcome.COMMITTED, 1)


def test_a_thread_that_dies_ends_the_member(start_fleet):
    fleet = start_fleet(1, start=False)
    member = fleet.members[0]
    member.write_settings()
    code = (
        "import sys; from willownotch.controlplane import member as m\n"
        "def dies(*_): raise RuntimeError('a test fault')\n"
        "m.Member._check_periodically = dies\n"
        f"sys.exit(m.main({str(member.settings)!r}, True))"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True, timeout=TIMEOUT_S
    )
    assert found.returncode == 70
    assert "thread member has died, so the member ends" in found.stderr and "a test fault" in found.stderr


def test_the_records_are_compacted_and_stay_small(start_fleet):
    fleet = start_fleet(1, extra_settings=" history 16\n")
    member = fleet.wait_writer()
    sizes = []

    def shrunk():
        reply = member.change(len(sizes), {"data/a": "x" * 30_000 + str(len(sizes))})
        assert reply["outcome"] == "committed"
        sizes.append((member.folder / stores.NAME).stat().st_size)
        return len(sizes) > 60 and sizes[-1] < max(sizes) / 2

    until(shrunk, TIMEOUT_S)
    revision = len(sizes)
    entries = member.ask("entries")
    member.end(signal.SIGKILL)
    member.start()
    assert member.ask("entries") == entries and entries["revision"] == revision
    fleet.wait_writer()
    assert member.ask("history", last="100")["oldest"] <= revision - 16


def test_a_sender_does_not_load_the_member_modules():
    code = (
        "import sys, willownotch.cli; print([m for m in sys.modules if "
        "m.startswith('willownotch.controlplane.') and not m.endswith('.settings') "
        "or m.startswith('willownotch.links')])"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True, timeout=TIMEOUT_S
    )
    assert found.stdout.strip() == "[]"
