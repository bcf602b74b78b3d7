"""Take-overs by real processes whose disks refuse writes, or that are killed in the middle of one."""

from __future__ import annotations

import signal

import harness
import pytest
from custody_fleet import PATIENCE, CustodyFleet
from harness import Sender, until

from willownotch.files.layer import REAL
from willownotch.journal import records
from willownotch.net import journal
from willownotch.replica import store

LEFT_MS, FEE_LEFT_MS = 27_000, 19_000  # nearly as long as their classes allow: longer than a held take-over
APPEND, REWRITE = f"append {journal.NAME}", f"create {journal.NEW_NAME}"


class FailingDiskFleet(CustodyFleet):
    """Senders whose disks fail as their tests say."""

    def start_sender(self, n):
        self.senders[n] = Sender(self.discovery.door(f"i{n}"), settings=self.settings(n), faults="")
        self.register_address(n)

    def fail(self, text, among=None):
        for n in among if among is not None else self.running():
            self.senders[n].fail(text)

    def adopting(self):
        """The running senders that write a book to their journals."""
        return [n for n in self.running() if any(b["stage"] == "adopting" for b in self.custody(n)["books"])]

    def all_copied(self, n):
        """Whether each replica of a sender's messages has all of them."""
        books = [book for book in self.custody(n)["books"] if book["messages"]]
        return bool(books) and all(replica["lag"] == 0 for book in books for replica in book["replicas"])

    def journal_ids(self, n):
        """The ids that a process which starts on a sender's folder would find."""
        return set(records.replay(REAL.read_whole(self.senders[n].state / journal.NAME))[0])


@pytest.fixture
def fleet(tmp_path):
    made = FailingDiskFleet(5, tmp_path)
    yield made.wait_joined(PATIENCE).wait_ready()
    made.close()


def declined(fleet):
    return [n for n in fleet.running() if fleet.log_lines(n, "was not taken over")]


@pytest.mark.parametrize("fault", [f"no-space {APPEND}", f"io-error {APPEND}", f"short {APPEND}"])
def test_a_book_that_disks_refuse_is_taken_over_once_they_accept_it(fleet, fault):
    refs = fleet.accept(0, 4, left=LEFT_MS)
    fleet.fail(fault, among=range(1, 5))
    fleet.lose_machines(0)
    until(lambda: declined(fleet), PATIENCE)
    assert not fleet.takeovers()
    fleet.fail("")
    until(fleet.takeovers, PATIENCE)
    fleet.start_serving()
    fleet.assert_delivered_once(refs)
    assert fleet.one_owner_per_term()
    assert not fleet.discovery.notices


@pytest.mark.parametrize("kind", ["no-space", "io-error"])
def test_a_restarted_owner_whose_disk_refuses_its_book_leaves_it_to_others(fleet, kind):
    refs = fleet.accept(0, 4, cls="fee", left=FEE_LEFT_MS)
    until(lambda: not any(book["below"] for book in fleet.custody(0)["books"]), PATIENCE)
    fleet.fail(f"{kind} {REWRITE}", among=[0])
    fleet.senders[0].process.kill()
    fleet.senders[0].process.wait(harness.PATIENCE)
    fleet.senders[0].start()
    fleet.register_address(0)
    until(fleet.takeovers, PATIENCE)
    assert [n for n, _ in fleet.takeovers()] != [0]
    fleet.fail("")
    fleet.start_serving()
    fleet.assert_delivered_once(refs)
    assert not fleet.discovery.notices


def test_a_sender_killed_right_after_it_lost_a_book_sends_no_message_of_it_after_its_restart(fleet):
    # Its folder named the book no more, and its journal still had the messages.
    refs = fleet.accept(0, 4, left=LEFT_MS)
    book = next(b["book"] for b in fleet.custody(0)["books"] if b["messages"])
    fleet.senders[0].process.send_signal(signal.SIGSTOP)
    until(fleet.takeovers, PATIENCE)
    fleet.fail(f"stall {APPEND}", among=[0])
    fleet.senders[0].process.send_signal(signal.SIGCONT)
    until(lambda: all(b["book"] != book for b in fleet.custody(0)["books"]), PATIENCE)
    assert fleet.journal_ids(0) == set(refs)
    fleet.senders[0].process.kill()
    fleet.senders[0].process.wait(harness.PATIENCE)
    fleet.start_serving()
    until(lambda: set(refs) <= set(fleet.host.refs()), PATIENCE)
    fleet.senders[0].fail("")
    fleet.senders[0].start()
    fleet.register_address(0)
    fleet.wait_ready([0])
    fleet.assert_delivered_once(refs)
    assert not fleet.discovery.notices


def test_a_sender_killed_before_it_owned_a_book_sends_no_message_of_it_after_its_restart(fleet):
    # Its journal had the messages and its folder did not say that they were another sender's.
    refs = fleet.accept(0, 4, left=LEFT_MS)
    until(lambda: fleet.all_copied(0), PATIENCE)  # two of the three that hold them are gone for a while
    fleet.fail(f"stall {APPEND}", among=range(1, 5))
    fleet.lose_machines(0)
    taker = until(fleet.adopting, PATIENCE)[0]
    fleet.fail(f"stall append {store.FILE_NAME}", among=[taker])  # what follows the journal's write
    until(lambda: fleet.journal_ids(taker) == set(refs), PATIENCE)
    fleet.senders[taker].process.kill()
    fleet.senders[taker].process.wait(harness.PATIENCE)
    fleet.fail("")
    fleet.start_serving()
    until(lambda: set(refs) <= set(fleet.host.refs()), PATIENCE)
    fleet.senders[taker].fail("")
    fleet.senders[taker].start()
    fleet.register_address(taker)
    fleet.wait_ready([taker])
    fleet.assert_delivered_once(refs)
    assert not fleet.discovery.notices
