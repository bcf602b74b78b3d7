"""After a failed write the journal tells whether its records are certainly absent or may be in the file.

A client was answered 503, not accepted, and the next process delivered its message all the same. The records
of a round are written together. After a partial write the first of them were complete in the file, and if
truncating them failed, too (a transient EIO), they stayed there until the next write. A process that was
killed before that left them to the next one, which found the messages outstanding, while their clients had
got their 503.
"""

from datetime import timedelta
from types import SimpleNamespace

import pytest
from test_crossings import SPAN, config

from willownotch.files.faulty import Fault, Faulty, Kind
from willownotch.files.layer import REAL
from willownotch.files.space import Space
from willownotch.journal.records import AcceptedMessage, Custody, MessageEnded, NoticeAnswered, replay
from willownotch.lifecycle import Event, SharedLifecycle
from willownotch.net.clock import Clock
from willownotch.net.decision_loop import DecisionLoop
from willownotch.net.events import HandIn, ReplicationEnded, Verdict
from willownotch.net.journal import (
    MAX_FINISHED_IDS,
    MAX_FINISHED_SHARE,
    NAME,
    NEW_NAME,
    Journal,
    JournalUncertainError,
)
from willownotch.net.log import Log
from willownotch.net.pending import PendingReply

SHORT_WRITE = Fault(Kind.SHORT, "append", NAME)
NO_TRUNCATE = Fault(Kind.IO_ERROR, "truncate", NAME)
NO_REWRITE = Fault(Kind.IO_ERROR, "create", NEW_NAME)


def open_journal(folder, faults):
    """An open journal on a disk that works until there is something in `faults`."""
    journal = Journal(folder, Space(1 << 20), Faulty(lambda: faults))
    journal.open()
    return journal


def listed_loop(journal):
    """A decision loop that has a list of endpoints, and nothing left to recover."""
    lifecycle, clock = SharedLifecycle(), Clock()
    lifecycle.tell(Event.LISTED, clock.now())
    hosts = SimpleNamespace(listed=lambda dest: True, by_number={})
    bodies = SimpleNamespace(discard=lambda message: None)
    decision_loop = DecisionLoop(config(), clock, Log(clock), journal, hosts, bodies, lifecycle)
    decision_loop._recovered = None
    return decision_loop


def messages(*refs):
    ends_at = Clock().now() + timedelta(seconds=9)
    return [AcceptedMessage(ref, 7, "fee", "acme", ends_at) for ref in refs]


def recovered(folder):
    """The ids of the messages that the next process finds outstanding."""
    return list(replay(REAL.read_whole(folder / NAME))[0])


def test_ids_that_ended_for_good_are_known_after_a_kill_and_after_rewrites(tmp_path):
    journal = open_journal(tmp_path, [])
    journal.append(messages("delivered", "given up", "handed back", "withdrawn", "again", "owed"))
    journal.append([MessageEnded("delivered", "delivered"), MessageEnded("again", "delivered")])
    journal.append([MessageEnded("given up", "given_up"), NoticeAnswered("given up")])
    journal.append([MessageEnded("handed back", "handed_back"), NoticeAnswered("handed back")])
    journal.append([MessageEnded("withdrawn", "withdrawn"), *messages("again")])
    for _ in range(3):  # each process rewrites the file as it opens it
        journal = open_journal(tmp_path, [])
        assert list(journal.finished) == ["delivered", "given up"]
        assert list(journal.live) == ["owed", "again"]


def test_finished_ids_leave_the_space_of_the_journal_to_what_is_live(tmp_path):
    journal = Journal(tmp_path, Space(20_000))
    journal.open()
    for n in range(600):
        journal.append(messages(f"r{n}"))
        journal.append([MessageEnded(f"r{n}", "delivered")])
    assert len(journal.finished) == MAX_FINISHED_IDS
    journal.compact()
    assert journal.size <= MAX_FINISHED_SHARE * 20_000
    assert 0 < len(open_journal(tmp_path, []).finished) < MAX_FINISHED_IDS


@pytest.mark.parametrize("more", [[], [NO_TRUNCATE], [NO_REWRITE]])
def test_a_partial_write_is_not_found_by_the_next_process(tmp_path, more):
    faults = []
    journal = open_journal(tmp_path, faults)
    journal.append(messages("a"))
    faults += [SHORT_WRITE, *more]
    with pytest.raises(OSError) as raised:
        journal.append(messages("b", "c", "d", "e"))
    assert not isinstance(raised.value, JournalUncertainError)
    assert recovered(tmp_path) == ["a"]


def test_a_partial_write_that_can_neither_be_truncated_nor_rewritten_is_reported(tmp_path):
    faults = []
    journal = open_journal(tmp_path, faults)
    journal.append(messages("a"))
    faults += [SHORT_WRITE, NO_TRUNCATE, NO_REWRITE]
    with pytest.raises(JournalUncertainError):
        journal.append(messages("b", "c", "d", "e"))
    assert recovered(tmp_path) == ["a", "b", "c"]  # so nobody may be told that they are not accepted
    faults.clear()
    journal.append(messages("f"))
    assert recovered(tmp_path) == ["a", "f"]


def test_a_write_that_wrote_nothing_is_certain(tmp_path):
    faults = []
    journal = open_journal(tmp_path, faults)
    faults += [Fault(Kind.IO_ERROR, "append", NAME), NO_TRUNCATE, NO_REWRITE]
    with pytest.raises(OSError) as raised:
        journal.append(messages("a"))
    assert not isinstance(raised.value, JournalUncertainError)


@pytest.mark.parametrize(("faults", "verdict"), [([], Verdict.REJECTED), ([SHORT_WRITE], Verdict.FAILED)])
def test_a_message_without_copies_is_answered_503_only_once_its_withdrawal_is_recorded(
    tmp_path, faults, verdict
):
    # It was answered first: a process that was killed then left the message to the next one, which sent it.
    active, found = [], []
    journal = open_journal(tmp_path, active)
    decision_loop = listed_loop(journal)
    decision_loop.custody = SimpleNamespace(
        custody_for=lambda name: Custody("book", 1), notify_when_copied=lambda *more: None
    )
    decision_loop.custody.settings = SimpleNamespace(patience=SPAN)
    (message,) = messages("a")
    hand_in = HandIn(message, PendingReply())
    decision_loop._round([hand_in])
    assert recovered(tmp_path) == ["a"]
    hand_in.pending.settle = lambda answer: found.append((answer.verdict, recovered(tmp_path)))
    active += faults
    decision_loop._round([ReplicationEnded("a", hand_in.pending, False)])
    assert found == [(verdict, ["a"] if faults else [])]


@pytest.mark.parametrize(
    ("faults", "verdict"),
    [([SHORT_WRITE], Verdict.REJECTED), ([SHORT_WRITE, NO_TRUNCATE, NO_REWRITE], Verdict.FAILED)],
)
def test_a_client_gets_503_only_if_its_message_is_certainly_not_recorded(tmp_path, faults, verdict):
    active = []
    decision_loop = listed_loop(open_journal(tmp_path, active))
    active += faults
    items = [HandIn(message, PendingReply()) for message in messages("a", "b", "c", "d")]
    decision_loop._round(items)
    answers = {item.message.ref: item.pending.wait(SPAN, SPAN).verdict for item in items}
    assert set(answers.values()) == {verdict}
    assert [ref for ref in recovered(tmp_path) if answers[ref] is Verdict.REJECTED] == []
