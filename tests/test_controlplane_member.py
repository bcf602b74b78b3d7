"""Members as real processes on loopback: changes, operators' commands, losses, bad input of every kind."""

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
from member_processes import PATIENCE, MemberFleet

from willownotch.channel.client import AskError
from willownotch.controlplane import store as stores
from willownotch.controlplane import wire
from willownotch.controlplane.commit import Outcome, Result, Stage
from willownotch.controlplane.document import Change, Commit, Document
from willownotch.controlplane.member import LINK_VERSION, Member, Waiter
from willownotch.links.transport import MAX_FRAME_BYTES
from willownotch.peers.seal import Seal, read_keys


@pytest.fixture
def tier(tmp_path):
    made = []

    def make(number=3, more="", start=True):
        made.append(MemberFleet(tmp_path, number, more))
        return made[0].start() if start else made[0]

    yield make
    for each in made:
        each.close()


class Asker:
    """A follower's datagrams, by hand."""

    def __init__(self, tier, name="t0", version=wire.VERSION, keys=None):
        self.name, self.uid = name, 77
        keys = keys or read_keys(tier.keys.read_text())
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
        """The answer to a poll, asked until it comes."""
        self.sock.settimeout(0.5)

        def answered():
            self.send(member, self.seal.close(self.poll(member, revision, in_force)))
            try:
                return self.seal.open(self.sock.recv(65535))
            except TimeoutError:
                return None

        return until(answered, PATIENCE)


def test_a_change_is_committed_everywhere_and_served_to_who_follows(tier):
    plane = tier()
    plane.writer()
    for n, member in enumerate(plane.members):  # at any member, the writer or not
        told = member.change(n, {f"data/k{n}": {"n": n}})
        assert (told["outcome"], told["revision"]) == ("committed", n + 1)
    plane.holds(3)
    found = [member.ask("entries") for member in plane.members]
    assert found[0] == found[1] == found[2]
    assert found[0]["entries"] == {f"data/k{n}": {"n": n} for n in range(3)}
    for n, member in enumerate(plane.members):
        news = Asker(plane, f"t{n}").ask(member)
        assert isinstance(news, wire.PollReply) and news.revision == 3
        assert news.digest.hex() == found[0]["digest"]
        delta = wire.read_delta(news.delta)
        assert delta.sets["data/k1"] == b'{"n":1}' and delta.since == 0
    asker = Asker(plane, "t9")
    asker.ask(plane.members[0], 3)
    # Any member can tell the whole, and a new commit is pushed at once.
    for member in plane.members:
        until(lambda m=member: m.status()["serving"]["in_force"] == {"3": 1, "0": 3}, PATIENCE)
    assert plane.members[1].change(3, {}, ["data/k0"])["outcome"] == "committed"

    def pushed():
        message = asker.seal.open(asker.sock.recv(65535))
        return isinstance(message, wire.Push) and message.revision == 4

    asker.sock.settimeout(PATIENCE)
    until(pushed, PATIENCE)


def test_operators_put_set_unset_show_and_roll_back_with_exit_codes(tier, tmp_path):
    plane = tier()
    plane.writer()
    member = plane.members[1]
    file = tmp_path / "entries"
    file.write_text('# what we run\ndata/a 1\ndata/b {"x": [1, 2]}\n')
    found = member.config("put", str(file))
    assert found.returncode == 0 and "revision 1 is committed: 2 set, 0 removed" in found.stdout, found
    assert "nothing to change: revision 1" in member.config("put", str(file)).stdout
    found = member.config("set", "data/c", "true", "--json")
    assert found.returncode == 0 and json.loads(found.stdout)["revision"] == 2
    # A file is the whole document, unless it is merged.
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
    file.write_text(shown)  # what is shown can be put
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


def test_who_loses_is_told_to_which_revision_and_nothing_of_it_is_in(tier):
    plane = tier()
    plane.writer()
    one, other = plane.members[:2]
    assert one.change(0, {"data/a": 1})["revision"] == 1
    told = other.change(0, {"data/a": 2, "data/b": 2})
    assert (told["outcome"], told["revision"]) == ("lost", 1) and "'data/a'" in told["text"]
    found = other.config("set", "data/a", "3", "--expect", "0")
    assert found.returncode == 1 and "lost to revision 1" in found.stderr
    assert other.change(0, {"data/b": 3})["revision"] == 2  # of other keys: no conflict
    assert one.ask("entries")["entries"] == {"data/a": 1, "data/b": 3}


def test_a_change_that_is_asked_for_again_by_its_id_has_one_outcome(tier):
    plane = tier()
    plane.writer()
    change_id = "0f" * 16
    first = plane.members[0].change(0, {"data/a": 1}, change_id=change_id)
    plane.members[1].change(1, {"data/a": 2})
    for member in plane.members:
        assert member.change(0, {"data/a": 1}, change_id=change_id) == first
    assert plane.members[0].ask("entries")["entries"] == {"data/a": 2}
    found = plane.members[2].config("set", "data/a", "1", "--expect", "0", "--id", change_id)
    assert found.returncode == 0 and "revision 1 is committed" in found.stdout


def test_unsound_documents_are_refused_with_line_and_column_and_change_nothing(tier, tmp_path):
    plane = tier()
    plane.writer()
    member = plane.members[0]
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
    # Also where it does not come by the command.
    for sets, removes, text in (
        ({"nope/x": 1}, (), "unknown key"),
        ({}, ("data/none",), "no entry"),
        ({}, (), "empty"),
        ({"data/a": 1}, ("data/a",), "both set and removed"),
        ({"data/big": "x" * 70_000}, (), "allowed: up to"),
    ):
        told = member.change(1, sets, removes)
        assert told["outcome"] == "refused" and text in told["text"], told
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
    plane.holds(1)
    for each in plane.members:
        found = each.ask("entries")
        assert (found["revision"], found["entries"]) == (1, {"data/a": 1})


def test_a_change_is_tried_on_the_reference_configuration(tier, tmp_path):
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
    plane = tier(more=f" reference {reference}\n")
    plane.writer()
    member = plane.members[0]
    told = member.change(0, {"config/limits/sockets": 8})
    assert told["outcome"] == "refused" and "with the reference configuration" in told["text"], told
    assert member.change(0, {"config/limits/sockets": 512})["outcome"] == "committed"


def test_bad_datagrams_are_counted_logged_and_answered_by_nothing(tier):
    plane = tier(1)
    member = plane.writer()
    asker, foreign = Asker(plane), Asker(plane, keys=[(1, b"o" * 32)])
    older, other = Asker(plane, version=1), Asker(plane, keys=[(9, b"o" * 32)])
    good = asker.seal.close(asker.poll(member, 0))
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
        asker.send(member, data)
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

    assert until(counted, PATIENCE) == wanted
    member.says("refused:", "datagrams for followers not authentic")
    # Authentic ones that make no sense.
    for message in (
        wire.Poll("", 77, 1, member.name, 3000, 0, 0, 0),
        wire.Fetch("t0", member.name, 1, wire.Part(wire.PartKind.DELTA, 9, 1), ()),
        wire.Fetch("stranger", member.name, 1, wire.Part(wire.PartKind.GROUPS, 0), (0,)),
        wire.Poll("t0", 77, 1, "another", 3000, 0, 0, 0),
        wire.PollReply("t0", 1, 9, 9, b"x" * 16),
    ):
        asker.send(member, asker.seal.close(message))
    news = asker.ask(member)
    while not isinstance(news, wire.PollReply):
        news = asker.ask(member)
    until(lambda: member.status()["traffic"].get("datagrams for followers unreadable") == 2, PATIENCE)
    assert member.change(0, {"data/a": 1})["outcome"] == "committed"


def test_bad_streams_are_counted_logged_and_end_their_connection(tier):
    plane = tier(3)
    plane.writer()
    member = plane.members[0]
    host, port = member.peers.split(":")
    keys = read_keys(plane.keys.read_text())

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
        with socket.create_connection((host, int(port)), PATIENCE) as sock:
            sock.settimeout(PATIENCE)
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

    until(counted, PATIENCE)
    member.says("refused:", "frames of members")
    assert member.change(0, {"data/a": 1})["outcome"] == "committed"


def test_the_writer_is_killed_and_another_goes_on(tier):
    plane = tier(5)
    writer = plane.writer()
    for n in range(3):
        assert writer.change(n, {"data/n": n})["outcome"] == "committed"
    writer.end(signal.SIGKILL)
    rest = plane.running()
    change_id = "0a" * 16

    def committed():
        return rest[0].change(3, {"data/n": 3}, change_id=change_id)["outcome"] == "committed"

    until(committed, PATIENCE)
    assert plane.writer() is not writer
    plane.holds(4)
    writer.start()
    plane.holds(4)
    assert writer.ask("entries") == rest[0].ask("entries")


def test_told_to_end_it_hands_the_writing_on(tier):
    plane = tier()
    writer = plane.writer()
    assert writer.change(0, {"data/a": 1})["outcome"] == "committed"
    assert writer.end(signal.SIGTERM) == 0
    assert "end: ended" in writer.lines[-1]
    assert any("lease:" in line and "is handed on" in line for line in writer.lines)
    assert not writer.socket.exists()
    other = plane.writer()
    assert other.change(1, {"data/a": 2})["revision"] == 2


def test_a_restart_of_all_keeps_revision_and_entries(tier):
    plane = tier()
    plane.writer()
    for n in range(5):
        plane.members[n % 3].change(n, {"data/n": n, f"data/k{n}": n})
    plane.holds(5)
    before = plane.members[0].ask("entries")
    for member in plane.members:
        member.end(signal.SIGKILL)
    for member in plane.members:
        member.peers = None
    for member in plane.members:
        member.start()
    assert plane.writer().change(5, {"data/n": 6})["revision"] == 6
    plane.holds(6)
    found = plane.members[1].ask("entries", revision="5")
    assert found["entries"] == before["entries"] and found["digest"] == before["digest"]
    history = plane.members[2].ask("history")
    assert [c["revision"] for c in history["commits"]] == [6, 5, 4, 3, 2, 1]


def test_who_lost_its_folder_comes_back_as_a_new_incarnation(tier):
    plane = tier(5)
    writer = plane.writer()
    for n in range(3):
        writer.change(n, {"data/n": n})
    lost = next(m for m in plane.members if m is not writer)
    lost.end(signal.SIGKILL)
    lost.empty()
    lost.start()
    lost.says("votes again, as incarnation 2")
    plane.holds(3)
    assert lost.status()["agreement"]["voting"]
    assert lost.ask("entries") == writer.ask("entries")
    # Its vote counts: with two others gone it is one of the three that are needed.
    rest = [m for m in plane.members if m not in (lost, writer)]
    for member in rest[:2]:
        member.end(signal.SIGKILL)
    change_id = "0b" * 16
    until(lambda: lost.change(3, {"data/n": 9}, change_id=change_id)["outcome"] == "committed", PATIENCE)


def test_without_a_majority_nothing_is_committed_and_all_are_told(tier):
    plane = tier()
    writer = plane.writer()
    assert writer.change(0, {"data/a": 1})["outcome"] == "committed"
    plane.holds(1)
    others = [m for m in plane.members if m is not writer]
    for member in others:
        member.send_signal(signal.SIGSTOP)
    found = []
    asking = threading.Thread(target=lambda: found.append(writer.command("set", "data/a", "2")))
    asking.start()
    # Who waits for an outcome keeps nobody else from an answer.
    until(lambda: writer.status()["agreement"]["asking"] == 1, PATIENCE)
    writer.says("apart:", "no majority of the voters has been heard", "no change is taken")
    assert writer.status()["apart_s"] > 0
    assert writer.ask("entries")["entries"] == {"data/a": 1}
    news = Asker(plane).ask(writer)
    assert news.revision == 1 and news.isolated_ms > 0
    asking.join(PATIENCE)
    assert found[0].returncode == 3 and "ask again by the same command with --id" in found[0].stderr, found
    again = found[0].stderr.split("same command with ")[1].split()
    assert again[::2] == ["--id", "--expect"]
    for member in others:
        member.send_signal(signal.SIGCONT)
    writer.says("apart:", "a majority of the voters is heard again")
    until(lambda: others[0].config("set", "data/a", "2", *again).returncode == 0, PATIENCE)
    plane.holds(2)
    history = writer.ask("history")
    assert [c["id"] for c in history["commits"]][:-1] == [again[1]]


def test_a_full_disk_takes_one_vote_and_room_gives_it_back(tier):
    plane = tier()
    writer = plane.writer()
    full = next(m for m in plane.members if m is not writer)
    full.faults.write_text("no-space append records\n")
    for n in range(3):
        assert writer.change(n, {"data/n": n})["outcome"] == "committed"
    full.says("folder:", "could not be kept", "No space left")
    full.says("agreement:", "the folder cannot be written: no vote until it can")
    until(lambda: full.status()["agreement"]["folder_failing"], PATIENCE)
    full.faults.unlink()
    until(lambda: not full.status()["agreement"]["folder_failing"], PATIENCE)
    plane.holds(3)
    full.end(signal.SIGKILL)
    full.start()
    plane.holds(3)


def test_a_torn_folder_is_cut_and_a_damaged_one_refused(tier):
    plane = tier()
    plane.writer()
    member = plane.members[0]
    for n in range(3):
        plane.members[1].change(n, {"data/n": n})
    plane.holds(3)
    member.end(signal.SIGKILL)
    records = member.folder / stores.NAME
    whole = records.read_bytes()
    records.write_bytes(whole + stores.frame(b"x" * 50)[:37])
    member.start()
    member.says("folder:", "37 bytes of a torn write were cut off")
    plane.holds(3)
    member.end(signal.SIGKILL)
    whole = bytearray(records.read_bytes())
    whole[len(whole) // 2] ^= 1
    records.write_bytes(whole)
    assert_refused(member, "damaged at byte")


def assert_refused(member, text, settings=None):
    """It does not start: exit 2, one line."""
    found = subprocess.run(
        [sys.executable, "-m", "willownotch", "member", "--settings", str(settings or member.settings)],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=PATIENCE,
    )
    assert found.returncode == 2, found
    assert len(found.stderr.splitlines()) == 1 and text in found.stderr, found


def test_what_cannot_be_used_is_one_line_and_exit_2(tier, tmp_path):
    plane = tier(start=False)
    member, other = plane.members[:2]
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
    refused("keys", str(plane.keys), str(tmp_path / "none"))
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
        timeout=PATIENCE,
    )
    assert found.returncode == 2 and "no block member" in found.stderr


def test_keys_are_rolled_and_a_bad_reload_changes_nothing(tier):
    plane = tier()
    plane.writer()
    first, second = f"1 {'ab' * 32}\n", f"2 {'cd' * 32}\n"

    def reload(text):
        plane.keys.write_text(text)
        for member in plane.members:
            said = sum("reload:" in line for line in member.lines)
            member.send_signal(signal.SIGHUP)
            until(lambda m=member, s=said: sum("reload:" in line for line in m.lines) > s, PATIENCE)

    reload("no keys\n")
    assert all("the old settings stay" in m.says("reload:") for m in plane.members)
    for text in (first + second, second + first, second):
        reload(text)
    assert all("hold now" in [x for x in m.lines if "reload:" in x][-1] for m in plane.members)
    assert plane.members[0].change(0, {"data/a": 1})["outcome"] == "committed"
    plane.holds(1)
    old = Asker(plane, keys=[(1, b"\xab" * 32)])
    old.send(plane.members[0], old.seal.close(old.poll(plane.members[0], 0)))
    plane.members[0].says("refused:", "datagrams for followers unknown key")
    assert Asker(plane, "t1").ask(plane.members[0]).revision == 1


def test_a_member_with_other_voters_is_not_listened_to(tier):
    plane = tier(start=False)
    for member in plane.members[:2]:
        member.start(bootstrap=True)
    stray = plane.members[2]
    stray.write_settings()
    stray.settings.write_text(stray.settings.read_text().replace("voters m0 m1 m2", "voters m1 m2 m3"))
    stray.begin(bootstrap=True)
    plane.members[1].says("voters:", "m2 has other 'voters' than this member")
    stray.says("voters:", "m1 has other 'voters' than this member")
    assert plane.writer(plane.members[:2]).change(0, {"data/a": 1})["outcome"] == "committed"
    assert stray.status()["agreement"]["revision"] == 0
    until(lambda: plane.members[1].status()["traffic"].get("frames of other voters"), PATIENCE)


def test_an_author_is_told_only_once_the_member_that_was_asked_has_the_revision():
    """Else the next change of the same key, asked for there, is based on the revision before and loses
    to its author's own."""
    document, change = Document(), Change(b"c" * 16, "me", 0, {"data/a": b"1"})
    member, waiter = Member.__new__(Member), Waiter()
    member.document, member._waiting, member._ahead = document, {change.id: [waiter]}, []
    member._installed, member._writing, member.say = 0, False, lambda *words: None
    member.serving = SimpleNamespace(committed=lambda now, commit: [])
    member._serve, member.woken = lambda sends: None, SimpleNamespace(notify=lambda: None)
    member.commits = SimpleNamespace(
        committed=[],
        snapshots_installed=0,
        log_lines=[],
        writer=SimpleNamespace(stage=Stage.IDLE),
        results=[Result(change.id, Outcome.COMMITTED, 1, "")],
    )
    member._settle(0.0)
    assert not waiter.done.is_set()
    commit = Commit(1, 1, change, document.digest_after(change))
    document.commit(commit)
    member.commits.committed.append(commit)
    member._settle(0.1)
    assert waiter.done.is_set()
    assert (waiter.result.outcome, waiter.result.revision) == (Outcome.COMMITTED, 1)


def test_a_thread_that_dies_ends_the_member(tier):
    plane = tier(1, start=False)
    member = plane.members[0]
    member.write_settings()
    code = (
        "import sys; from willownotch.controlplane import member as m\n"
        "def dies(*_): raise RuntimeError('of old age')\n"
        "m.Member._look = dies\n"
        f"sys.exit(m.main({str(member.settings)!r}, True))"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True, timeout=PATIENCE
    )
    assert found.returncode == 70
    assert "thread member has died, so the member ends" in found.stderr and "of old age" in found.stderr


def test_the_folder_is_written_anew_and_stays_small(tier):
    plane = tier(1, more=" history 16\n")
    member = plane.writer()
    sizes = []

    def shrunk():
        told = member.change(len(sizes), {"data/a": "x" * 30_000 + str(len(sizes))})
        assert told["outcome"] == "committed"
        sizes.append((member.folder / stores.NAME).stat().st_size)
        return len(sizes) > 60 and sizes[-1] < max(sizes) / 2

    until(shrunk, PATIENCE)
    revision = len(sizes)
    entries = member.ask("entries")
    member.end(signal.SIGKILL)
    member.start()
    assert member.ask("entries") == entries and entries["revision"] == revision
    plane.writer()
    assert member.ask("history", last="100")["oldest"] <= revision - 16


def test_a_sender_loads_nothing_of_it():
    code = (
        "import sys, willownotch.cli; print([m for m in sys.modules if "
        "m.startswith('willownotch.controlplane.') and not m.endswith('.settings') "
        "or m.startswith('willownotch.links')])"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True, timeout=PATIENCE
    )
    assert found.stdout.strip() == "[]"
