"""Messages that were accepted before a restart, for a tenant whose part of a shared quota is hard."""

import signal
import threading

import harness
import pytest
from harness import SETTINGS, Discovery, Host, Sender, until
from meshed import KEYS

from willownotch.channel.client import ask
from willownotch.control import DEST_HELD_SHARE, DEST_SHARE
from willownotch.quotas import TENANT_BURST_S

PATIENCE = 20.0
QUOTA_PER_S = 8.0  # of all senders; the burst of 2 s of one sender's half is eight messages
FEES = 8
LEFT_MS = 20_000
# As many messages of one destination as a sender holds beside those whose calls are out.
OUT = int(DEST_SHARE * SETTINGS["familyInfo"]["slots"])
HELD = int(DEST_HELD_SHARE * SETTINGS["policyLimits"]["maxOpen"])


class SilentDiscovery(Discovery):
    """A discovery service that answers no request for the list while `up` is cleared, but takes notices."""

    def __init__(self, hosts):
        self.up = threading.Event()
        self.up.set()
        super().__init__(hosts)

    def answer(self, head, body, sock, caller=None):
        if head.method == "GET":
            self.up.wait(PATIENCE * 3)
        return super().answer(head, body, sock, caller)

    def outcomes(self):
        return {notice["message"]: notice["outcome"] for notice in self.notices}


class QuotaSender(Sender):
    """One of two senders that share a quota by hard parts; the other one is never started."""

    def __init__(self, discovery, folder):
        (folder / "keys").write_text(KEYS, encoding="utf-8")
        self.control = folder / "control"
        text = {
            "name": "t0",
            "listen": "127.0.0.1:0",
            "discovery": discovery.address,
            "seed": "5f",
            "limits": {"sockets": 1024, "disk_mb": 3},
            "settings": {**SETTINGS, "orgs": [{"name": "acme", "quotaPerS": QUOTA_PER_S}]},
        }
        settings = (
            f"peers {{\n listen 127.0.0.1:0\n keys {folder / 'keys'}\n}}\n"
            "shared {\n budgets yes\n instances 2\n hard acme\n}\n"
            f"control {{\n socket {self.control}\n}}\n"
        )
        super().__init__(text=text, settings=settings)

    def part(self):
        """The part of the quota that may be spent now."""
        return self.budgets()[0]["part"]

    def budgets(self):
        return ask(self.control, "shared")["budgets"]

    def start_after_kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait(harness.PATIENCE)
        self.start()


@pytest.fixture
def host():
    host = Host()
    yield host
    host.close()


@pytest.fixture
def discovery(host):
    discovery = SilentDiscovery([host])
    yield discovery
    discovery.close()


@pytest.fixture
def sender(discovery, tmp_path):
    sender = QuotaSender(discovery, tmp_path)
    sender.ready()
    until(lambda: sender.part() == 0.5, PATIENCE)  # at first only what is never lent may be spent
    yield sender
    sender.close()


def hand_in_fees(sender, count, key=None):
    """Hand in fees, each until it is accepted within the sender's part; return the accepted ids."""
    accepted = []

    def hand_in():
        ref, answer = sender.hand_in("fee", key, left=LEFT_MS)
        accepted.extend([ref] if answer.status == 202 else [])
        return answer.status == 202

    for _ in range(count):
        until(hand_in)
    return accepted


def test_fees_that_may_have_run_are_not_handed_back_above_the_part_of_a_restarted_sender(
    host, discovery, sender
):
    """They were refused above the little that a new process may spend, and ran again under other ids."""
    host.held.clear()
    fees = hand_in_fees(sender, 3)
    until(lambda: len(host.calls) == len(fees))
    discovery.up.clear()
    sender.start_after_kill()
    until(lambda: len(discovery.outcomes()) == len(fees))
    assert discovery.outcomes() == dict.fromkeys(fees, "given_up")


def test_accepted_fees_that_were_never_tried_are_tried_after_a_restart_above_its_part(
    host, discovery, sender
):
    """All behind the one that hung were handed back without a call, though their quota was spent before."""
    host.held.clear()
    fees = hand_in_fees(sender, FEES, key="booking")
    until(lambda: host.calls)
    discovery.up.clear()
    sender.start_after_kill()
    host.held.set()
    until(lambda: discovery.outcomes().get(fees[0]) == "given_up")  # its call may have run
    discovery.up.set()
    until(lambda: len(host.refs()) + len(discovery.outcomes()) > FEES, PATIENCE)
    assert (host.refs(), discovery.outcomes()) == (fees, {fees[0]: "given_up"})


def test_messages_that_were_accepted_are_not_shed_when_a_restart_brings_them_all_back(host, discovery):
    """Those whose calls were out came back beside those that were held, and the least of them were shed."""
    host.held.clear()
    sender = Sender(discovery).ready()
    try:
        answers = [sender.hand_in("status", left=LEFT_MS) for _ in range(OUT + HELD)]
        accepted = {ref for ref, answer in answers if answer.status == 202}
        assert len(accepted) == OUT + HELD
        until(lambda: len(host.calls) == OUT)
        discovery.up.clear()
        sender.process.kill()
        sender.process.wait(harness.PATIENCE)
        sender.start()
        discovery.up.set()
        host.held.set()
        until(lambda: accepted <= set(host.refs()[OUT:]) | discovery.outcomes().keys(), PATIENCE)
        assert discovery.outcomes() == {}
    finally:
        sender.close()


def test_a_restarted_sender_accepts_no_more_than_its_part_before_it_has_heard_of_it(discovery, sender):
    """Until its parts were first reported none of them was hard, and all hand-ins were accepted."""
    sender.restart()
    answers = [sender.hand_in("status", left=LEFT_MS)[1].status for _ in range(20)]
    assert answers.count(202) <= 1 + sender.part() * QUOTA_PER_S * TENANT_BURST_S
    assert 503 in answers


def test_an_upgraded_sender_goes_on_sharing_its_quota(sender):
    """The next process had no budgets: it spent the last part that the one before had heard of for ever."""
    old, _ = sender.upgrade()
    try:
        sender.ready()
        assert [budget["name"] for budget in sender.budgets()] == ["acme"]
        until(lambda: sender.part() == 0.5, PATIENCE)
    finally:
        old.kill()
        old.wait(harness.PATIENCE)
        old.stderr.close()
