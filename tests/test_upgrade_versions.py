"""Upgrades to a version with other sources, which starts from the journal, while calls hang."""

import shutil
import threading

import harness
import pytest
from harness import PATIENCE, ROOT, SETTINGS, Discovery, Host, Sender, given_up, until
from test_accepted_before_rounds import Rounds

from willownotch.net.decision_loop_handover import REMOTE_CALL_GRACE

LEFT_MS = 20_000
# One copy of a message at a time, as some deployments want it.
ONE_COPY = {**SETTINGS, "policyLimits": {**SETTINGS["policyLimits"], "secondCopies": False}}


class CountingHost(Host):
    """A host that holds its calls, and knows how many of them are out at once, by what `together` names."""

    def __init__(self, together):
        self.together, self.lock = together, threading.Lock()
        self.out, self.most_out = {}, 0
        super().__init__()

    def answer(self, head, body, sock):
        name = self.together(head)
        with self.lock:
            self.out[name] = self.out.get(name, 0) + 1
            self.most_out = max(self.most_out, self.out[name])
        try:
            self.calls.append((0.0, head, body))
            while not self.held.wait(0.005) and not given_up(sock):
                pass
            return harness.http.write_answer(200)
        finally:
            with self.lock:
                self.out[name] -= 1


@pytest.fixture
def next_version(tmp_path):
    """A copy of the program whose decisions have one more comment."""
    for folder in ("willownotch", "tests"):
        shutil.copytree(ROOT / folder, tmp_path / folder, ignore=shutil.ignore_patterns("__pycache__"))
    with (tmp_path / "willownotch" / "control.py").open("a", encoding="utf-8") as file:
        file.write("# the next version\n")
    return tmp_path


def play(host, next_version, hand_ins):
    """Upgrade a sender whose calls hang, and wait until the next process has made a call."""
    discovery = Discovery([host])
    text = {
        "name": "t0",
        "listen": "127.0.0.1:0",
        "discovery": discovery.address,
        "seed": "5f",
        "limits": {"sockets": 1024, "disk_mb": 3},
        "settings": ONE_COPY,
    }
    sender, old = Sender(text=text).ready(), None
    try:
        host.held.clear()
        for cls, key in hand_ins:
            assert sender.hand_in(cls, key, left=LEFT_MS)[1].status == 202
        until(lambda: host.calls)
        before = len(host.calls)
        old, _ = sender.upgrade(next_version)
        sender.ready()
        until(lambda: len(host.calls) > before)
        host.held.set()
        old.wait(PATIENCE)
    finally:
        host.held.set()
        if old is not None:
            old.kill()
            old.wait(PATIENCE)
            old.stderr.close()
        sender.close()
        discovery.close()
        host.close()


def test_no_message_is_out_twice_at_once_after_an_upgrade_to_another_version(next_version):
    """The old process kept its call open, and the new one made it again: two copies were out."""
    host = CountingHost(lambda head: head.headers["request-id"])
    play(host, next_version, [("order", None)])
    assert host.most_out == 1


def test_no_two_fees_of_a_key_are_out_at_once_after_an_upgrade_to_another_version(next_version):
    """The old process still waited for the first one, and the new one sent the next."""
    host = CountingHost(lambda head: "booking")
    play(host, next_version, [("fee", "booking"), ("fee", "booking")])
    assert host.most_out == 1


def test_a_message_is_not_sent_again_while_its_call_is_open_for_others_in_the_old_process(tmp_path):
    """Between equal versions: its own time was over, and the new process took its call for closed."""
    folders = [tmp_path / name for name in ("old", "new")]
    for folder in folders:
        folder.mkdir()
    before, after = map(Rounds, folders)
    before.hand_in("fee")  # waited for until its time is over
    before.hand_in("status", message_class="status")
    fee, status = before.relays
    assert status.begun_at == fee.begun_at  # as in one call
    assert status.ends_at + REMOTE_CALL_GRACE < fee.ends_at
    after.loop.adopt(before.loop._handover_state())
    after.clock.at = status.ends_at + 2 * REMOTE_CALL_GRACE
    after.loop._round([])
    assert after.loop._inbox.empty()  # no end of a call was taken for granted
    after.clock.at = fee.ends_at + 2 * REMOTE_CALL_GRACE
    after.loop._round([])
    assert not after.loop._inbox.empty()
    for rounds in (before, after):
        rounds.journal.close()
