"""A sender that comes back is not taken for the one that had gone: nothing that others own runs twice."""

from types import SimpleNamespace

import pytest
from custody_fleet import PATIENCE, CustodyFleet
from harness import PATIENCE as ENDED_PATIENCE
from harness import until

from willownotch.journal.records import Custody
from willownotch.replica.service import CustodyService


@pytest.fixture
def fleet(tmp_path):
    made = CustodyFleet(3, tmp_path).wait_joined(PATIENCE).wait_ready()
    yield made
    made.close()


def without_replication(fleet, n):
    """Kill a sender, and start it with its folder and without the block that turns replication on."""
    sender = fleet.senders[n]
    sender.process.kill()
    sender.process.wait(ENDED_PATIENCE)
    text = sender.settings.read_text()
    sender.settings.write_text(text[: text.index("replica {")])
    sender.start()
    fleet.register_address(n)


def test_fees_of_a_sender_that_returns_without_replication_run_once(fleet):
    """It went on with them, and so did the sender that took its book over (review case 2)."""
    refs = fleet.accept(0, 8, cls="fee", key="quay-7", left=19_000)
    without_replication(fleet, 0)
    until(fleet.takeovers, PATIENCE)
    fleet.start_serving()
    until(lambda: set(refs) <= set(fleet.host.refs()), PATIENCE)
    until(lambda: not any(b["messages"] for n in (1, 2) for b in fleet.custody(n)["books"]), PATIENCE)
    assert sorted(fleet.host.refs()) == sorted(refs)
    again = fleet.senders[0].hand_in("fee", ref=refs[0], key="quay-7", left=19_000)[1].status
    assert again in (202, 503, 500) and sorted(fleet.host.refs()) == sorted(refs)


def test_fees_left_to_others_end_by_their_deadline_if_nobody_takes_them(fleet):
    refs = fleet.accept(0, 2, cls="fee", key="quay-7", left=4000)
    for n in (1, 2):
        fleet.senders[n].process.kill()
    without_replication(fleet, 0)
    fleet.start_serving()
    told = lambda: {n["message"] for n in fleet.discovery.notices if n["outcome"] == "given_up"}  # noqa: E731
    until(lambda: set(refs) <= told(), PATIENCE)
    assert fleet.host.refs() == []


def test_a_book_that_was_lost_right_behind_a_start_is_still_of_the_former_process():
    """Its messages were taken for the process's own, and sent, since the book had left the store by then."""
    service = object.__new__(CustodyService)
    service.store = SimpleNamespace(
        books={"b": (SimpleNamespace(unheard=False), 1)}, disowned_books=set(), terms={}, copies={}, ended={}
    )
    service.store.open = lambda: None
    service.core = SimpleNamespace(restore=lambda *state: None)
    service._order = {}
    service.open({}, ())
    service.store.books.clear()  # another owner's frame came before the journal was recovered
    assert service.is_of_former_process(Custody("b", 1))
    assert not service.is_of_former_process(Custody("other", 1))
