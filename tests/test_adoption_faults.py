"""A book is taken over whole or not at all, whichever write of it the disk refuses.

The messages that only the new owner's own copy had, and the marks that a message may have run, were written
behind the others. When the disk refused that second write, they were reported as adopted all the same: they
were in neither the journal nor any copy, since the own copy was dropped then.
"""

from datetime import timedelta
from types import SimpleNamespace

import pytest
from test_crossings import config
from test_journal_faults import open_journal

from willownotch.files.faulty import Fault, Kind
from willownotch.files.layer import REAL
from willownotch.files.space import Space
from willownotch.journal.records import AcceptedMessage, Custody, Entry, MessageEnded, RelayStarted, replay
from willownotch.lifecycle import Event, SharedLifecycle
from willownotch.net.clock import Clock
from willownotch.net.decision_loop import DecisionLoop
from willownotch.net.events import BookAcquired, BookLost, LateEntriesFound
from willownotch.net.journal import NAME, NEW_NAME
from willownotch.net.log import Log
from willownotch.replica.actions import Acquired, LateEntries, Lost, StoreDisowned
from willownotch.replica.service import CustodyService
from willownotch.replica.settings import ReplicaSettings

BOOK = "lost/1"
KINDS = [Kind.NO_SPACE, Kind.IO_ERROR, Kind.SHORT]
# Where neither cutting the file nor rewriting it works either, what a refused write left may be in the file.
NOTHING_WORKS = [Fault(Kind.IO_ERROR, "truncate", NAME), Fault(Kind.IO_ERROR, "create", NEW_NAME)]
MOST_OPERATIONS = 12  # of the disk in one round; a take-over has fewer


class Killed(BaseException):
    """Stands for SIGKILL: nothing runs behind it."""


class RecordingCustody:
    """Keeps what the decision loop reports to replication."""

    def __init__(self):
        self.begun, self.adopted, self.declined, self.discarded, self.settled = [], [], [], [], []
        self.shipped = []
        self.settings = SimpleNamespace(patience=timedelta(seconds=1))
        self.waits = []

    def begin_adoption(self, acquired):
        self.begun.append(acquired.book)

    def adoption_written(self, acquired, refs):
        self.adopted += refs

    def decline_adoption(self, book):
        self.declined.append(book)

    def discard(self, book, refs):
        self.discarded += refs

    def settle_late(self, book, refs):
        self.settled += refs

    def notify_when_copied(self, mark, patience, strict, done):
        self.waits.append(done)

    def is_of_former_process(self, mark):
        return False

    def is_disowned(self, mark):
        return False


class Disk:
    """A folder whose operations fail as `faults` says; `kills` makes the process end in one of them."""

    def __init__(self, folder):
        self.folder, self.faults = folder, []
        self.journal = open_journal(folder, self.faults)
        self.journal.files.die = self.die

    @staticmethod
    def die():
        raise Killed

    def fail(self, kind, number, more=()):
        """Fails the n-th operation from now on."""
        self.faults[:] = [Fault(kind, number=self.journal.files.count + number), *more]

    def heal(self):
        self.faults.clear()

    def found(self):
        """What the next process finds: by id, whether each message may have run."""
        live, _ = replay(REAL.read_whole(self.folder / NAME))
        return summary(live)


def summary(live):
    return {
        ref: [entry.may_have_run(number) for number in range(entry.count())] for ref, entry in live.items()
    }


def entry(ref, started=False, ended=None, message_class="status"):
    message = AcceptedMessage(
        ref,
        7,
        message_class,
        "acme",
        Clock().now() + timedelta(seconds=9),
        body=b"x",
        custody=Custody(BOOK, 1),
    )
    found = Entry(message, 100)
    if started:
        found.started[0] = RelayStarted(ref, 0, Clock().now(), "h")
    if ended is not None:
        found.ended = MessageEnded(ref, ended)
    return found


def acquired(**more):
    """One message from the copies, and two that only this member's own copy has; not all copies answered."""
    given = {
        "entries": ((1, entry("copied")),),
        "late": (entry("own-1"), entry("own-2", started=True)),
        "replicas_answered": 1,
        "replicas_asked": 3,
        **more,
    }
    return Acquired(BOOK, 2, 1, previous_owner="lost", **given)


def make_loop(journal):
    clock, lifecycle = Clock(), SharedLifecycle()
    lifecycle.tell(Event.LISTED, clock.now())
    hosts = SimpleNamespace(listed=lambda dest: True, by_number={}, number=lambda name: 0)
    bodies = SimpleNamespace(discard=lambda message: None)
    loop = DecisionLoop(config(), clock, Log(clock), journal, hosts, bodies, lifecycle)
    loop._recovered, loop.custody = None, RecordingCustody()
    return loop


ALL = {"copied": [True], "own-1": [True], "own-2": [True, True]}


@pytest.mark.parametrize("more", [[], NOTHING_WORKS], ids=["", "and nothing else works"])
@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.value)
@pytest.mark.parametrize("number", range(1, MOST_OPERATIONS + 1))
def test_a_book_that_the_disk_refuses_is_declined_as_a_whole(tmp_path, kind, number, more):
    # The second write was refused: two messages were in no log, and reported as adopted.
    disk = Disk(tmp_path)
    loop = make_loop(disk.journal)
    disk.fail(kind, number, more)
    loop._round([BookAcquired(acquired())])
    custody = loop.custody
    assert (custody.adopted == []) is (custody.declined == [BOOK])
    if custody.adopted:
        assert set(custody.adopted) == set(ALL)
        assert summary(disk.journal.live) == disk.found() == ALL
    else:
        assert summary(disk.journal.live) == {}
        assert not more and disk.found() == {} or more
    assert set(loop._outstanding) == set(custody.adopted)
    disk.heal()
    if custody.declined:  # the book comes back
        loop._round([BookAcquired(acquired())])
        assert set(custody.adopted) == set(ALL)
        assert summary(disk.journal.live) == disk.found() == ALL


FORMER = [entry("copied", started=True), entry("only here", started=True)]
ADOPTED_FORMER = {"copied": [True, True], "only here": [True, True]}


def former_disk(folder):
    """The disk of a restarted owner, whose journal has two messages of its book."""
    disk = Disk(folder)
    disk.journal.append([record for found in FORMER for record in found.records()])
    return disk, disk.found()


@pytest.mark.parametrize("kind", [*KINDS, Kind.DIE, Kind.DIE_TORN], ids=lambda kind: kind.value)
@pytest.mark.parametrize("number", range(1, MOST_OPERATIONS + 1))
def test_a_restarted_owner_keeps_its_journal_unless_it_takes_its_book_over(tmp_path, kind, number):
    # Its entries were removed by one write and those that only it had were put back by another.
    disk, before = former_disk(tmp_path)
    loop = make_loop(disk.journal)
    disk.fail(kind, number)
    try:
        loop._round([BookAcquired(acquired(entries=((1, FORMER[0]),), late=()))])
    except Killed:
        assert disk.found() in (before, ADOPTED_FORMER)
        return
    custody = loop.custody
    assert (custody.adopted == []) is (custody.declined == [BOOK])
    assert summary(disk.journal.live) == disk.found() == (ADOPTED_FORMER if custody.adopted else before)


@pytest.mark.parametrize("kind", [*KINDS, Kind.DIE, Kind.DIE_TORN], ids=lambda kind: kind.value)
@pytest.mark.parametrize("number", range(1, MOST_OPERATIONS + 1))
def test_late_messages_are_written_with_the_marks_that_they_may_have_run(tmp_path, kind, number):
    # A write that was torn by a kill left a message without its mark: the next process would send it again.
    disk = Disk(tmp_path)
    loop = make_loop(disk.journal)
    disk.fail(kind, number)
    wanted = {"own-1": [True], "own-2": [True, True]}
    late = LateEntries(BOOK, "n3", acquired().late)
    try:
        loop._round([LateEntriesFound(late)])
    except Killed:
        assert disk.found() in ({}, wanted)
        return
    taken = summary(disk.journal.live)
    assert taken == disk.found()
    assert taken in ({}, wanted)
    assert set(loop._outstanding) == set(taken)
    assert loop.custody.settled == []
    disk.heal()
    loop._round([LateEntriesFound(late)])  # its holder is asked again
    assert summary(disk.journal.live) == disk.found() == wanted


def test_a_withdrawal_that_the_disk_refused_does_not_end_a_book_that_came_back(tmp_path):
    # The withdrawal was kept for later and written behind the adoption, whose messages were gone then.
    disk = Disk(tmp_path)
    loop = make_loop(disk.journal)
    loop._round([BookAcquired(acquired())])
    disk.faults[:] = [Fault(Kind.NO_SPACE, "append", NAME)]
    loop._round([BookLost(Lost(BOOK, 3, "n5"))])
    disk.heal()
    loop.custody.adopted.clear()
    loop._round([BookAcquired(acquired())])
    loop._round([])
    assert set(loop.custody.adopted) == set(disk.found()) == set(ALL)


def test_the_notice_of_a_replicated_message_waits_until_its_end_is_recorded(tmp_path):
    # It was sent at once: the successor of a sender that was killed then had no record of the end.
    disk = Disk(tmp_path)
    loop = make_loop(disk.journal)
    loop.custody.adoption_written = lambda *more: disk.faults.append(Fault(Kind.NO_SPACE, "append", NAME))
    fee = entry("copied", message_class="fee")  # it may have run, and must not run twice: it is given up
    loop._round([BookAcquired(acquired(entries=((1, fee),), late=()))])
    assert list(loop._unanswered_notices) == ["copied"]
    assert loop.custody.waits == []
    disk.heal()
    loop._round([])
    assert replay(REAL.read_whole(tmp_path / NAME))[0]["copied"].ended.outcome == "given_up"
    assert len(loop.custody.waits) == 1


def test_the_notice_of_a_replicated_message_is_sent_in_the_end_though_the_disk_refuses_its_record(tmp_path):
    disk = Disk(tmp_path)
    loop = make_loop(disk.journal)
    loop.custody.adoption_written = lambda *more: disk.faults.append(Fault(Kind.NO_SPACE, "append", NAME))
    fee = entry("copied", message_class="fee")
    loop._round([BookAcquired(acquired(entries=((1, fee),), late=()))])
    loop._release_written_notices(fee.message.ends_at + timedelta(seconds=2))
    assert len(loop.custody.waits) == 1


class Process:
    """The parts of a sender that take books over, on a folder that outlasts them."""

    def __init__(self, folder, faults=()):
        self.faults = []
        self.journal = open_journal(folder, self.faults)
        self.faults += faults
        self.loop = make_loop(self.journal)
        space = Space(1 << 20)
        transport = SimpleNamespace(send=lambda to, message: None, addresses={})
        self.custody = CustodyService(
            ReplicaSettings(),
            "n1",
            7,
            transport,
            folder / "replica",
            REAL,
            space,
            1 << 20,
            print,
            Clock().now,
        )
        (folder / "replica").mkdir(exist_ok=True)
        self.custody.entries = self.journal.entries
        self.loop.custody, self.loop._recovered = self.custody, []
        self.custody.on_acquired = lambda acquired: self.loop._round([BookAcquired(acquired)])
        self.custody.open(self.journal.live, self.journal.finished)
        self.loop._recover()


@pytest.mark.parametrize("refused", [False, True], ids=["", "and the disk refuses their removal first"])
def test_a_process_killed_before_it_owned_a_book_leaves_no_message_of_it_to_the_next_one(tmp_path, refused):
    # The next process took them for messages of its own, and sent them beside the book's owner.
    process = Process(tmp_path)
    process.custody._carry_out([StoreDisowned(BOOK), acquired()])
    assert set(summary(process.journal.live)) == set(ALL)
    # The first one's custody thread has not gone on: it was killed.
    following = Process(tmp_path, [Fault(Kind.NO_SPACE, "create", NEW_NAME)] * refused)
    assert following.loop._recovered == []
    assert set(summary(following.journal.live)) == (set(ALL) if refused else set())
    following.faults.clear()
    following.loop._round([])
    assert summary(following.journal.live) == {}
    assert not following.loop._outstanding
    assert not following.loop._unanswered_notices


def test_a_book_whose_adoption_is_not_on_record_is_not_taken_over(tmp_path):
    process = Process(tmp_path)
    process.custody.store.write = lambda actions: False
    declined = []
    process.custody.core.on_adoption_declined = lambda now, book: declined.append(book) or []
    process.custody._carry_out([StoreDisowned(BOOK), acquired()])
    assert declined == [BOOK]
    assert summary(process.journal.live) == {}
