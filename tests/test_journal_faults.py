"""What the journal says of records that it could not write: surely not there, or perhaps there.

A client was answered 503, that its message had not been accepted, and the next process sent the message. A
round's records are one write. Where the disk took a part of it, the first records of the round were whole in
the file; where cutting them off failed, too (EIO for a moment), they stayed there until the next write, and a
process killed before that left them to the next one, which found them owed. The clients of the round had
their 503 by then. Replay of the file showed it: the record of a message that `append` had raised for.
"""

from datetime import timedelta
from types import SimpleNamespace

import pytest
from test_crossings import SPAN, config

from willownotch.files.faulty import Fault, Faulty, Kind
from willownotch.files.layer import REAL
from willownotch.files.space import Space
from willownotch.journal.records import AcceptedMessage, replay
from willownotch.lifecycle import Event, SharedLifecycle
from willownotch.net.clock import Clock
from willownotch.net.decision_loop import DecisionLoop
from willownotch.net.events import HandIn, Verdict
from willownotch.net.journal import NAME, NEW_NAME, Journal, JournalUncertainError
from willownotch.net.log import Log
from willownotch.net.pending import PendingReply

SHORT = Fault(Kind.SHORT, "append", NAME)
NO_CUT = Fault(Kind.IO_ERROR, "truncate", NAME)
NO_NEW = Fault(Kind.IO_ERROR, "create", NEW_NAME)


def opened(folder, faults):
    """A journal whose disk is sound until something is in `faults`."""
    journal = Journal(folder, Space(1 << 20), Faulty(lambda: faults))
    journal.open()
    return journal


def messages(*refs):
    ends_at = Clock().now() + timedelta(seconds=9)
    return [AcceptedMessage(ref, 7, "fee", "acme", ends_at) for ref in refs]


def found(folder):
    """What the next process finds owed."""
    return list(replay(REAL.read_whole(folder / NAME))[0])


@pytest.mark.parametrize("also", [[], [NO_CUT], [NO_NEW]])
def test_what_was_written_in_part_is_not_found_by_the_next_process(tmp_path, also):
    faults = []
    journal = opened(tmp_path, faults)
    journal.append(messages("a"))
    faults += [SHORT, *also]
    with pytest.raises(OSError) as raised:
        journal.append(messages("b", "c", "d", "e"))
    assert not isinstance(raised.value, JournalUncertainError)
    assert found(tmp_path) == ["a"]


def test_where_it_can_neither_be_cut_off_nor_written_anew_that_is_said(tmp_path):
    faults = []
    journal = opened(tmp_path, faults)
    journal.append(messages("a"))
    faults += [SHORT, NO_CUT, NO_NEW]
    with pytest.raises(JournalUncertainError):
        journal.append(messages("b", "c", "d", "e"))
    assert found(tmp_path) == ["a", "b", "c"]  # so nobody may be told that they are not accepted
    faults.clear()
    journal.append(messages("f"))
    assert found(tmp_path) == ["a", "f"]


def test_a_write_that_took_nothing_leaves_no_doubt(tmp_path):
    faults = []
    journal = opened(tmp_path, faults)
    faults += [Fault(Kind.IO_ERROR, "append", NAME), NO_CUT, NO_NEW]
    with pytest.raises(OSError) as raised:
        journal.append(messages("a"))
    assert not isinstance(raised.value, JournalUncertainError)


@pytest.mark.parametrize(
    ("faults", "verdict"),
    [([SHORT], Verdict.REJECTED), ([SHORT, NO_CUT, NO_NEW], Verdict.FAILED)],
)
def test_a_client_is_told_503_only_where_its_message_is_surely_not_on_record(tmp_path, faults, verdict):
    lifecycle, clock, striking = SharedLifecycle(), Clock(), []
    lifecycle.tell(Event.LISTED, clock.now())
    hosts = SimpleNamespace(listed=lambda dest: True, by_number={})
    bodies = SimpleNamespace(discard=lambda taken: None)
    journal = opened(tmp_path, striking)
    decision_loop = DecisionLoop(config(), clock, Log(clock), journal, hosts, bodies, lifecycle)
    decision_loop._recovered = None
    striking += faults
    items = [HandIn(taken, PendingReply()) for taken in messages("a", "b", "c", "d")]
    decision_loop._round(items)
    answers = {item.message.ref: item.pending.wait(SPAN, SPAN).verdict for item in items}
    assert set(answers.values()) == {verdict}
    assert [ref for ref in found(tmp_path) if answers[ref] is Verdict.REJECTED] == []
