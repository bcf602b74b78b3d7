"""Agreement among members: the difficult cases one by one, and seeded schedules of random faults."""

from __future__ import annotations

import heapq
import os
from dataclasses import dataclass
from random import Random

import msgspec
import pytest

from willownotch.controlplane.agreement import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    CommitBatch,
    Heartbeat,
    Prepare,
    Promise,
    Recover,
    Recovered,
    SnapshotReply,
    Submit,
    SubmitReply,
    Vote,
    apply_accept,
    current_answers,
    highest_accepted,
    majority,
    may_promise,
)
from willownotch.controlplane.commit import AgreementCore, AgreementTiming, Message, Outcome, Record
from willownotch.controlplane.document import Change, Commit, Document, DocumentError

LONG = bool(os.environ.get("WILLOWNOTCH_LONG"))
ENCODE = msgspec.msgpack.Encoder().encode
DECODE_MESSAGE, DECODE_RECORD = (
    msgspec.msgpack.Decoder(Message).decode,
    msgspec.msgpack.Decoder(Record).decode,
)
TIMING = AgreementTiming(patience=3.0, max_queued=4)


@dataclass
class Conditions:
    loss: float = 0.0
    duplication: float = 0.0
    delay: tuple[float, float] = (0.001, 0.002)


class AgreementFleet:
    """Simulated members with their folders, the messages in flight, and who believes to hold the lease.

    It checks after each step of a member that no revision has two commits and that none goes backwards.
    """

    def __init__(
        self,
        number=5,
        seed=1,
        timing=TIMING,
        history=4096,
        check=lambda name, document, change: None,
        bootstrap=True,
    ):
        self.random, self.timing, self.history, self.check = Random(seed), timing, history, check
        self.names = tuple(f"m{n}" for n in range(number))
        self.now, self.conditions, self.is_cut = 0.0, Conditions(), lambda a, b: False
        self.folders = {name: [] for name in self.names}
        self.full_folders, self.suspended, self.uids, self.sent = set(), set(), 0, 0
        self.members, self.lease, self.in_flight, self.held_back = (
            {},
            {},
            [],
            {name: [] for name in self.names},
        )
        self.chosen = {}  # revision -> commit, as first reported by any member
        self.digest_by_revision = {0: Document().digest}
        self.outcomes = {}  # change id -> results
        self.seen_revisions = dict.fromkeys(self.names, 0)  # by member
        self.log_lines, self.delivers = [], lambda source, target, message: True
        for name in self.names:
            self.start(name, bootstrap)

    def start(self, name, bootstrap=False):
        self.uids += 1
        folder = self.folders[name]

        def keep(records):
            if name in self.full_folders:
                return False
            folder.extend(map(ENCODE, records))
            return True

        document = Document(self.history)
        self.members[name] = AgreementCore(
            name,
            self.uids * 1000 + self.random.randrange(1000),
            self.names,
            document,
            keep,
            self.now,
            Random(self.random.random()),
            self.timing,
            lambda of, change: self.check(name, of, change),
            [DECODE_RECORD(data) for data in folder],
            bootstrap,
        )
        self.seen_revisions[name] = document.revision
        self._observe(name)

    def kill(self, name, emptied=False):
        del self.members[name]
        self.lease.pop(name, None)
        self.suspended.discard(name)
        self.held_back[name] = []
        if emptied:
            self.folders[name] = []

    def suspend(self, name):
        self.suspended.add(name)

    def resume(self, name):
        """Deliver the messages that came meanwhile, before the member next looks at its lease."""
        self.suspended.discard(name)
        late, self.held_back[name] = self.held_back[name], []
        for source, data in late:
            self._deliver(source, name, data)

    def grant_lease(self, name, token):
        """Give the lease to one member; the others know that they no longer hold it."""
        for other in self.lease:
            self.lease[other] = None
        self.lease[name] = token

    def send_all(self, source, sends):
        for send in sends:
            self.sent += 1
            if not self.delivers(source, send.name, send.message):
                continue
            for _ in range(1 + (self.random.random() < self.conditions.duplication)):
                if self.random.random() >= self.conditions.loss and not self.is_cut(source, send.name):
                    at = self.now + self.random.uniform(*self.conditions.delay)
                    heapq.heappush(
                        self.in_flight,
                        (at, self.sent, self.random.random(), source, send.name, ENCODE(send.message)),
                    )
        self._observe(source)

    def _deliver(self, source, name, data):
        if name in self.suspended:
            self.held_back[name].append((source, data))
        elif name in self.members:
            self.send_all(name, self.members[name].receive(self.now, source, DECODE_MESSAGE(data)))

    def _observe(self, name):
        """Collect and check the output of a member after each of its steps."""
        member = self.members[name]
        for result in member.results:
            self.outcomes.setdefault(result.id, []).append(result)
        for commit in member.committed:
            assert self.chosen.setdefault(commit.revision, commit) == commit, f"two of {commit.revision}"
            self.digest_by_revision[commit.revision] = commit.digest
        self.log_lines += member.log_lines
        member.results.clear()
        member.committed.clear()
        member.log_lines.clear()
        revision = member.document.revision
        assert (
            revision >= self.seen_revisions[name]
        ), f"{name} went back from {self.seen_revisions[name]} to {revision}"
        assert self.digest_by_revision[revision] == member.document.digest
        self.seen_revisions[name] = revision

    def run(self, span):
        ends = self.now + span
        while True:
            awake = [name for name in self.members if name not in self.suspended]
            due = min((self.members[name].due() for name in awake), default=ends)
            at = min(due, self.in_flight[0][0] if self.in_flight else ends)
            if at >= ends:
                self.now = ends
                return
            self.now = max(self.now, at)
            while self.in_flight and self.in_flight[0][0] <= self.now:
                _, _, _, source, name, data = heapq.heappop(self.in_flight)
                self._deliver(source, name, data)
            for name in awake:
                member = self.members.get(name)
                if member is not None and member.due() <= self.now:
                    if name in self.lease:
                        self.send_all(name, member.lead(self.now, self.lease[name]))
                    self.send_all(name, member.tick(self.now))

    def wait_until(self, condition, timeout=20.0, step=0.01):
        ends = self.now + timeout
        while not condition():
            assert self.now < ends, "the condition was not met in time"
            self.run(step)

    def change(self, sets=None, name=None, author="me", base=None):
        """A change based on the latest revision of a member."""
        base = self.members[name].document.revision if base is None else base
        return Change(self.random.randbytes(16), author, base, sets or {"k": b"1"})

    def submit(self, name, change):
        self.send_all(name, self.members[name].submit(self.now, change))
        return change.id

    def outcome(self, change_id):
        return self.outcomes[change_id][-1].outcome if change_id in self.outcomes else None

    def submit_and_wait(self, name, change, timeout=20.0):
        """Submit a change and return its outcome."""
        before = len(self.outcomes.get(change.id, ()))
        self.submit(name, change)
        self.wait_until(lambda: len(self.outcomes.get(change.id, ())) > before, timeout)
        return self.outcomes[change.id][-1]

    def commit_change(self, name, sets=None):
        """Commit a change, and let all members that can be reached learn of it."""
        result = self.submit_and_wait(name, self.change(sets, name))
        assert result.outcome is Outcome.COMMITTED, result
        self.run(2 * self.timing.heartbeat_s)
        return result.revision

    def is_leading(self, name):
        return self.members[name].view().stage == "leading"

    def elect(self, name, token):
        self.grant_lease(name, token)
        self.wait_until(lambda: self.is_leading(name))

    def ids(self):
        return [self.chosen[revision].change.id for revision in sorted(self.chosen)]


def test_a_change_submitted_at_any_member_is_committed_at_all_in_one_order():
    fleet = AgreementFleet(9)
    fleet.elect("m0", 1)
    for n, name in enumerate(fleet.names):
        assert fleet.commit_change(name, {f"k{n}": b"%d" % n}) == n + 1
    assert {m.document.revision for m in fleet.members.values()} == {9}
    assert len({m.document.digest for m in fleet.members.values()}) == 1
    assert [commit.token for commit in fleet.chosen.values()] == [1] * 9


# The voting rules

B1, B2, B3 = Ballot(1, 7), Ballot(2, 3), Ballot(2, 5)
X = Commit(4, 1, Change(b"x" * 16, "a", 3, {"k": b"1"}), b"d" * 16)
Y = Commit(4, 2, Change(b"y" * 16, "b", 3, {"k": b"2"}), b"e" * 16)


@pytest.mark.parametrize(
    ("promised", "ballot", "expected"),
    [(NO_BALLOT, B1, True), (B1, B1, True), (B1, B2, True), (B2, B1, False), (B3, B2, False), (B2, B3, True)],
)
def test_a_voter_promises_no_ballot_below_its_promise(promised, ballot, expected):
    assert may_promise(promised, ballot) == expected


@pytest.mark.parametrize(
    ("promised", "pending", "revision", "accept", "wanted"),
    [
        (NO_BALLOT, None, 3, Accept(B1, 4, X), Accepted(B1, 4, X)),
        (B1, None, 3, Accept(B1, 4, X), Accepted(B1, 4, X)),
        (B2, None, 3, Accept(B1, 4, X), None),  # a higher ballot was promised
        (B3, None, 3, Accept(B2, 4, X), None),  # the same, with the same token
        (B1, Accepted(B1, 4, X), 3, Accept(B2, 4, Y), Accepted(B2, 4, Y)),
        (NO_BALLOT, None, 4, Accept(B1, 4, X), None),  # it has that revision
        (NO_BALLOT, None, 2, Accept(B1, 4, X), None),  # it lacks the one before
        (B1, Accepted(B1, 4, X), 3, Accept(B2, 4, None), Accepted(B2, 4, None)),  # the older proposal is void
        (B2, Accepted(B2, 4, Y), 3, Accept(B2, 4, None), Accepted(B2, 4, Y)),  # a late one has no effect
        (B2, Accepted(B2, 4, None), 3, Accept(B2, 4, Y), Accepted(B2, 4, Y)),
    ],
)
def test_what_a_voter_accepts(promised, pending, revision, accept, wanted):
    assert apply_accept(promised, pending, revision, accept) == wanted


@pytest.mark.parametrize(
    ("pendings", "wanted"),
    [
        ([None, None], None),
        ([Accepted(B1, 4, X), None, Accepted(B2, 4, Y)], Accepted(B2, 4, Y)),
        ([Accepted(B2, 4, Y), Accepted(B1, 4, X)], Accepted(B2, 4, Y)),
        ([Accepted(B1, 4, X), Accepted(B2, 4, None)], Accepted(B2, 4, None)),
        (
            [Accepted(B2, 4, None), Accepted(B2, 4, Y)],
            Accepted(B2, 4, Y),
        ),  # of the same ballot, the commit counts
        ([Accepted(B2, 3, X), Accepted(B2, 5, X), Accepted(B1, 4, X)], Accepted(B1, 4, X)),
    ],
)
def test_a_new_writer_proposes_again_what_the_highest_ballot_proposed(pendings, wanted):
    assert highest_accepted(3, pendings) == wanted


@pytest.mark.parametrize(
    ("vectors", "wanted"),
    [
        ({"a": {}, "b": {}, "c": {}}, {"a", "b", "c"}),
        ({"a": {"a": 1}, "b": {"b": 1, "a": 2}}, {"b"}),
        ({"a": {"a": 2}, "b": {"a": 2}, "c": {"b": 2}}, {"a", "c"}),
        ({"a": {"b": 3}, "b": {"a": 2, "b": 2}}, set()),
    ],
)
def test_an_answer_of_a_replaced_incarnation_does_not_count(vectors, wanted):
    assert current_answers(vectors) == wanted


def test_two_majorities_have_a_voter_in_common():
    assert all(2 * majority(n) > n and 2 * (n - majority(n)) < n for n in range(1, 12))


# Writers that pause, crash or compete


@pytest.mark.parametrize("others", [{}, {"k": b"2"}])
@pytest.mark.parametrize("saw", [("m0",), ("m0", "m1"), ("m0", "m1", "m2")])
def test_a_writer_suspended_during_a_change_commits_nothing_by_itself_when_it_resumes(saw, others):
    fleet = AgreementFleet(5)
    fleet.elect("m0", 1)
    fleet.commit_change("m0")
    fleet.delivers = lambda source, target, message: (
        target in saw if isinstance(message, Accept) and source == "m0" else True
    )
    change = fleet.change({"k": b"x"}, "m0")
    fleet.submit("m0", change)
    fleet.run(0.0015)
    fleet.suspend("m0")
    fleet.run(0.1)  # the voters have accepted, and their votes are not delivered
    unseen = set(saw) & {"m1"}
    fleet.is_cut = lambda a, b: bool({a, b} & unseen)
    fleet.grant_lease("m3", 2)
    fleet.lease["m0"] = 1  # it still believes so when it resumes
    fleet.wait_until(lambda: fleet.is_leading("m3"))
    if others:
        fleet.submit_and_wait("m4", fleet.change(others, "m4"))
    fleet.is_cut = lambda a, b: False
    fleet.delivers = lambda source, target, message: True
    fleet.resume("m0")
    fleet.run(0.001)
    fleet.lease["m0"] = None
    fleet.wait_until(lambda: fleet.outcome(change.id))
    fleet.run(3)
    result = fleet.outcomes[change.id][-1]
    known = "m2" in saw  # the next writer sees the proposal and completes it
    if known or not others:
        assert result.outcome is Outcome.COMMITTED
    else:
        assert (result.outcome, result.revision) == (Outcome.LOST, 2)
    assert fleet.ids().count(change.id) == (result.outcome is Outcome.COMMITTED)
    assert len({m.document.digest for m in fleet.members.values()}) == 1


def test_a_change_survives_a_writer_killed_before_its_reply_and_its_author_learns_the_outcome():
    fleet = AgreementFleet(5)
    fleet.elect("m0", 1)
    fleet.delivers = lambda source, target, message: not (
        source == "m0"
        and isinstance(message, CommitBatch | SubmitReply)
        or isinstance(message, Accept)
        and target in ("m3", "m4")
    )
    change = fleet.change({"k": b"x"}, "m4")
    fleet.submit("m4", change)
    fleet.wait_until(lambda: fleet.members["m0"].document.revision == 1)
    fleet.kill("m0")
    fleet.delivers = lambda source, target, message: True
    fleet.is_cut = lambda a, b: "m1" in (a, b)  # one of the voters that accepted is left
    fleet.elect("m3", 2)
    assert fleet.submit_and_wait("m4", change).outcome is Outcome.COMMITTED
    for name in ("m4", "m2", "m3"):  # submitted again with its id at any member
        result = fleet.submit_and_wait(name, change)
        assert (result.outcome, result.revision) == (Outcome.COMMITTED, 1)
    assert fleet.members["m3"].counts["committed again"] == 1
    assert fleet.commit_change("m2", {"other": b"1"}) == 2
    assert fleet.ids().count(change.id) == 1


@pytest.mark.parametrize("tokens", [(1, 1), (1, 2), (5, 3)])
def test_two_members_that_believe_to_hold_the_lease_agree(tokens):
    fleet = AgreementFleet(5, seed=sum(tokens))
    fleet.lease = {"m0": tokens[0], "m1": tokens[1]}
    submitted = []
    for n in range(12):
        name = fleet.names[n % 5]
        submitted.append(fleet.submit(name, fleet.change({f"k{n % 3}": b"%d" % n}, name)))
        fleet.run(0.3)
    fleet.grant_lease("m1", 6)
    for change_id in submitted:
        fleet.wait_until(lambda at=change_id: fleet.outcome(at))
    assert len(fleet.ids()) == len(set(fleet.ids())) > 3
    for change_id in submitted:
        assert (fleet.outcome(change_id) is Outcome.COMMITTED) <= (change_id in fleet.ids())
        assert (fleet.outcome(change_id) is Outcome.LOST) <= (change_id not in fleet.ids())


def test_a_writer_uses_no_ballot_twice_and_none_below_those_it_knows():
    fleet, ballots = AgreementFleet(3), []
    fleet.delivers = (
        lambda source, target, message: ballots.append(message.ballot) or True
        if isinstance(message, Prepare) and target == "m1"
        else True
    )
    for _ in range(3):
        fleet.elect("m0", 1)
        fleet.lease["m0"] = None
        fleet.run(0.2)
    assert len(set(ballots)) == 3 and ballots == sorted(ballots)
    highest = max(ballots)
    fleet.elect("m2", 1)  # the token is below m0's ballot: tokens may restart when folders are lost
    assert fleet.members["m2"].writer.ballot > highest
    assert fleet.commit_change("m1") == 1


def test_a_writer_proposes_nothing_with_a_token_below_the_document():
    fleet, tokens = AgreementFleet(5), []
    fleet.elect("m0", 1)
    fleet.delivers = lambda source, target, message: not isinstance(message, Accept) or (
        tokens.append(message.commit.token) or True
    )
    document = fleet.members["m0"].document
    change = fleet.change({"a": b"1"}, "m0")
    later = Commit(1, 9, change, document.digest_after(change))  # from a writer unknown to m0
    fleet.send_all("m0", fleet.members["m0"].receive(fleet.now, "m1", CommitBatch(1, (later,))))
    fleet.submit_and_wait("m0", fleet.change({"b": b"1"}, "m0"))
    assert min(tokens) >= 9


def test_promises_for_an_earlier_ballot_do_not_count():
    fleet = AgreementFleet(5)
    captured = []
    fleet.delivers = (
        lambda source, target, message: captured.append((source, message))
        if (target == "m0" and isinstance(message, Promise))
        else True
    )
    fleet.lease["m0"] = 1
    fleet.run(0.1)
    fleet.lease["m0"] = None
    fleet.run(0.4)
    fleet.lease["m0"] = 2
    fleet.is_cut = lambda a, b: True
    fleet.run(0.4)
    assert {message.ballot.token for _, message in captured} == {1}
    for source, message in captured:
        fleet.members["m0"].receive(fleet.now, source, message)
    assert fleet.members["m0"].view().stage == "preparing"


def test_votes_for_an_earlier_ballot_do_not_count():
    fleet, captured = AgreementFleet(5), []
    fleet.elect("m0", 1)
    fleet.delivers = (
        lambda source, target, message: captured.append((source, message))
        if (target == "m0" and isinstance(message, Vote))
        else True
    )
    change = fleet.change({"k": b"1"}, "m0")
    fleet.submit("m0", change)
    fleet.run(0.1)
    fleet.delivers = lambda source, target, message: not isinstance(message, Accept)
    fleet.grant_lease("m0", 2)
    fleet.wait_until(lambda: fleet.members["m0"].counts["committed again"])
    assert len(captured) == 4
    for source, message in captured:
        fleet.members["m0"].receive(fleet.now, source, message)
    assert fleet.members["m0"].document.revision == 0


def test_a_new_writer_catches_up_before_it_looks_at_what_is_pending():
    fleet = AgreementFleet(3)
    fleet.elect("m0", 1)
    fleet.is_cut = lambda a, b: "m2" in (a, b)
    change = fleet.change({"k": b"x"}, "m0")
    assert fleet.submit_and_wait("m0", change).outcome is Outcome.COMMITTED
    fleet.run(1)
    fleet.kill("m0")
    fleet.is_cut = lambda a, b: False
    fleet.delivers = lambda source, target, message: not isinstance(message, CommitBatch)
    fleet.grant_lease("m2", 2)
    fleet.submit("m2", fleet.change({"k": b"y"}, "m2", base=0))
    fleet.run(1)
    assert fleet.members["m2"].view().stage == "preparing"
    fleet.delivers = lambda source, target, message: True
    fleet.wait_until(lambda: fleet.is_leading("m2"))
    assert fleet.submit_and_wait("m1", fleet.change({"k": b"z"}, base=0)).outcome is Outcome.LOST


# Refused changes


def test_a_vote_for_an_empty_proposal_does_not_count_for_a_change():
    fleet = AgreementFleet(3, check=lambda name, document, change: refuse() if "bad" in change.sets else None)

    def refuse():
        raise DocumentError("it is bad")

    fleet.elect("m0", 1)
    captured = []
    fleet.delivers = (
        lambda source, target, message: captured.append((source, message)) or True
        if isinstance(message, Vote)
        else True
    )
    result = fleet.submit_and_wait("m1", fleet.change({"bad": b"1"}, "m1"))
    assert (result.outcome, result.text) == (Outcome.REFUSED, "it is bad")
    fleet.delivers = lambda source, target, message: not isinstance(message, Accept)
    change = fleet.change({"good": b"1"}, "m1")
    fleet.submit("m1", change)
    fleet.run(0.1)
    assert captured and all(message.change_id == b"" for _, message in captured)
    for source, message in captured:  # duplicated and late
        fleet.send_all("m0", fleet.members["m0"].receive(fleet.now, source, message))
    assert fleet.members["m0"].document.revision == 0
    fleet.delivers = lambda source, target, message: True
    fleet.wait_until(lambda: fleet.outcome(change.id) is Outcome.COMMITTED)


def test_a_refused_change_is_not_revived_by_a_voter_that_accepted_an_earlier_proposal_of_it():
    def check(name, document, change):
        if name != "m0" and "picky" in change.sets:
            raise DocumentError("not here")

    fleet = AgreementFleet(5, check=check)
    fleet.elect("m0", 1)
    fleet.delivers = lambda source, target, message: not isinstance(message, Accept) or target == "m1"
    change = fleet.change({"picky": b"1"}, "m0")
    fleet.submit("m0", change)
    fleet.run(0.1)
    assert fleet.members["m1"].voter.pending.commit.change == change
    fleet.kill("m0")
    fleet.delivers = lambda source, target, message: True
    fleet.is_cut = lambda a, b: "m1" in (a, b)
    fleet.elect("m2", 2)
    assert fleet.submit_and_wait("m3", change).outcome is Outcome.REFUSED
    fleet.kill("m2")
    fleet.is_cut = lambda a, b: False
    fleet.elect("m1", 3)
    assert fleet.commit_change("m1", {"other": b"1"}) == 1
    fleet.run(3)
    assert change.id not in fleet.ids()


def test_a_refusal_is_repeated_for_a_duplicate_request_and_a_request_is_for_one_ballot():
    accepting = []

    def check(name, document, change):
        if not accepting:
            raise DocumentError("not now")

    fleet = AgreementFleet(3, check=check)
    fleet.elect("m0", 1)
    ballot = fleet.members["m0"].writer.ballot
    change = fleet.change({"k": b"1"}, "m1")
    assert fleet.submit_and_wait("m1", change).outcome is Outcome.REFUSED
    accepting.append(True)
    for addressed in (ballot, Ballot(ballot.token, ballot.uid + 1), Ballot(0, 1)):
        other = change if addressed == ballot else fleet.change({"k": b"2"}, "m1")
        fleet.send_all("m0", fleet.members["m0"].receive(fleet.now, "m1", Submit(addressed, other)))
        fleet.run(1)
    assert fleet.ids() == []


def test_a_refusal_by_a_superseded_writer_is_ignored_once_the_next_writer_has_the_change():
    fleet = AgreementFleet(3)
    fleet.elect("m0", 1)
    member, old = fleet.members["m1"], fleet.members["m0"].writer.ballot
    fleet.delivers = lambda source, target, message: not isinstance(message, Submit)
    change = fleet.change({"k": b"1"}, "m1")
    fleet.submit("m1", change)
    later = Ballot(7, 7)
    member.receive(fleet.now, "m2", Heartbeat(later, 0, member.document.digest))
    member.receive(fleet.now, "m0", SubmitReply(old, change.id, Outcome.REFUSED, 0, "late"))
    assert fleet.outcome(change.id) is None and not member.results
    member.receive(fleet.now, "m2", SubmitReply(later, change.id, Outcome.REFUSED, 0, "no"))
    assert [result.text for result in member.results] == ["no"]


@pytest.mark.parametrize(
    ("sets", "base", "outcome", "text"),
    [
        ({"a": b"2"}, 0, Outcome.LOST, "revision 1 by me has changed 'a' since revision 0"),
        ({"b": b"2"}, 0, Outcome.COMMITTED, ""),
        ({"a": b"2"}, 1, Outcome.COMMITTED, ""),
        ({"b": b"2"}, 5, Outcome.UNKNOWN, "it is based on revision 5, known are 0 to 1"),
        ({"": b"2"}, 1, Outcome.REFUSED, "the key '' is empty or too long"),
    ],
)
def test_what_becomes_of_a_change(sets, base, outcome, text):
    fleet = AgreementFleet(3)
    fleet.elect("m0", 1)
    fleet.commit_change("m1", {"a": b"1"})
    result = fleet.submit_and_wait("m2", fleet.change(sets, base=base))
    assert result.outcome is outcome
    assert result.text.startswith(text) and bool(text) == bool(result.text)


def test_the_outcome_of_a_change_older_than_the_history_is_unknown():
    fleet = AgreementFleet(3, history=4)
    fleet.elect("m0", 1)
    change = fleet.change({"a": b"1"}, "m0")
    assert fleet.submit_and_wait("m0", change).outcome is Outcome.COMMITTED
    for n in range(6):
        fleet.commit_change("m0", {f"k{n}": b"1"})
    result = fleet.submit_and_wait("m1", change)
    assert result.outcome is Outcome.UNKNOWN and "known are 3 to 7" in result.text


def test_queues_are_bounded_and_a_full_queue_is_reported():
    fleet = AgreementFleet(3, timing=AgreementTiming(max_queued=4, max_submissions=9, patience=3.0))
    fleet.elect("m0", 1)
    fleet.is_cut = lambda a, b: True
    submitted = [fleet.submit("m0", fleet.change({f"k{n}": b"1"}, "m0")) for n in range(12)]
    rejected = [fleet.outcomes[i][-1] for i in submitted if i in fleet.outcomes]
    assert len(rejected) == 12 - 5  # one is proposed, four are queued
    assert all(r.outcome is Outcome.UNKNOWN and "nothing was done" in r.text for r in rejected)
    submitted = [fleet.submit("m1", fleet.change({f"k{n}": b"1"}, "m1")) for n in range(12)]
    assert [i in fleet.outcomes for i in submitted] == [False] * 9 + [True] * 3
    fleet.run(4)
    assert all(fleet.outcome(i) is Outcome.UNKNOWN for i in submitted)
    assert "submit the change again by the id" in fleet.outcomes[submitted[0]][-1].text
    fleet.is_cut = lambda a, b: False
    fleet.wait_until(lambda: fleet.members["m0"].view().waiting == 0)
    assert fleet.commit_change("m2", {"z": b"1"})


# Folders that are lost or full, and restarts


@pytest.mark.parametrize("learnt", [False, True])
def test_a_change_survives_the_loss_of_four_of_nine_folders_at_once(learnt):
    fleet = AgreementFleet(9)
    fleet.elect("m0", 1)
    few = {"m0", "m1", "m2", "m3", "m4"}
    fleet.delivers = lambda source, target, message: (
        target in few
        if isinstance(message, Accept)
        else learnt and target == "m4"
        if isinstance(message, CommitBatch)
        else True
    )
    change = fleet.change({"k": b"x"}, "m0")
    assert fleet.submit_and_wait("m0", change).outcome is Outcome.COMMITTED
    fleet.run(0.05)
    assert fleet.members["m4"].document.revision == learnt
    for name in ("m0", "m1", "m2", "m3"):
        fleet.kill(name, emptied=True)
    for name in ("m0", "m1", "m2", "m3"):
        fleet.start(name)
    # One voter that has the change is left; it answers once and is then isolated.
    fleet.delivers = lambda source, target, message: not isinstance(message, CommitBatch)
    fleet.run(1)
    back = [fleet.members[name].voter.voting for name in ("m0", "m1", "m2", "m3")]
    assert back == [not learnt] * 4  # they catch up before they vote
    fleet.is_cut = lambda a, b: "m4" in (a, b)
    fleet.grant_lease("m5", 2)
    fleet.run(3)
    fleet.delivers = lambda source, target, message: True
    fleet.run(3)
    fleet.is_cut = lambda a, b: False
    result = fleet.submit_and_wait("m6", fleet.change({"k": b"y"}, base=0))
    assert (result.outcome, result.revision) == (Outcome.LOST, 1)
    assert fleet.chosen[1].change.id == change.id
    fleet.wait_until(lambda: {m.document.revision for m in fleet.members.values()} == {1})
    assert [fleet.members[name].voter.vector[name] for name in fleet.names] == [2] * 4 + [1] * 5
    assert any("votes again, as incarnation 2" in line for line in fleet.log_lines)


def test_with_five_of_nine_folders_lost_nobody_votes_and_the_reason_is_logged():
    fleet = AgreementFleet(9)
    fleet.elect("m0", 1)
    fleet.commit_change("m0")
    for name in fleet.names[:5]:
        fleet.kill(name, emptied=True)
        fleet.start(name)
    fleet.grant_lease("m7", 2)
    fleet.run(30)
    assert not any(fleet.members[name].voter.voting for name in fleet.names[:5])
    assert not fleet.is_leading("m7")
    assert any(
        "5 of 9 voters have lost their folder, no majority is left" in line for line in fleet.log_lines
    )
    assert "4 of the 5 voters needed have answered" in fleet.members["m0"].view().why
    assert fleet.submit_and_wait("m7", fleet.change({"k": b"2"}, "m7")).outcome is Outcome.UNKNOWN
    assert {m.document.revision for m in fleet.members.values()} == {1}  # they still get the known commits


def test_a_promise_in_flight_does_not_count_once_its_voter_has_lost_its_folder():
    fleet, late = AgreementFleet(5), []
    fleet.elect("m0", 1)
    # m3 tries to become the writer: only m4 gets its request, and that promise arrives late.
    fleet.delivers = (
        lambda source, target, message: late.append(message)
        if (source == "m4" and target == "m3" and isinstance(message, Promise))
        else (target == "m4" or not isinstance(message, Prepare))
    )
    fleet.lease["m3"] = 2
    fleet.wait_until(lambda: late)
    fleet.kill("m4", emptied=True)
    fleet.start("m4")
    fleet.delivers = lambda source, target, message: "m3" not in (source, target)
    fleet.wait_until(lambda: fleet.members["m4"].voter.voting)  # by m0, m1, m2
    fleet.delivers = lambda source, target, message: (
        "m3" not in (source, target)
        and not isinstance(message, CommitBatch)
        and not (target == "m2" and isinstance(message, Accept))
    )
    result = fleet.submit_and_wait("m0", fleet.change({"k": b"x"}, "m0"))
    assert result.outcome is Outcome.COMMITTED  # by m0, m1 and the new m4
    fleet.send_all("m3", fleet.members["m3"].receive(fleet.now, "m4", late[0]))
    fleet.delivers = lambda source, target, message: {source, target} in (
        {"m2", "m3"},
        {"m3", "m4"},
    ) and not (source == "m4" and isinstance(message, Promise))
    fleet.submit("m3", fleet.change({"k": b"y"}, "m3"))
    fleet.run(1)  # m2 knows the new incarnation of m4
    assert fleet.members["m3"].view().stage == "preparing"
    fleet.delivers = lambda source, target, message: True
    fleet.grant_lease("m3", 5)
    assert fleet.commit_change("m2", {"z": b"1"}) == 2


def test_a_recovered_voter_keeps_a_promise_that_others_know_of():
    fleet = AgreementFleet(5)
    fleet.elect("m0", 1)
    group = {"m2", "m3", "m4"}
    fleet.delivers = lambda source, target, message: {source, target} <= group
    fleet.lease["m3"] = 2
    fleet.wait_until(lambda: fleet.is_leading("m3"))
    fleet.kill("m4", emptied=True)
    fleet.start("m4")
    fleet.delivers = lambda source, target, message: "m3" not in (source, target) and (
        isinstance(message, Recover | Recovered)
    )
    fleet.wait_until(lambda: fleet.members["m4"].voter.voting)
    assert fleet.members["m4"].voter.promised == fleet.members["m3"].writer.ballot
    fleet.delivers = lambda source, target, message: {source, target} <= {"m0", "m1", "m4"}
    change = fleet.change({"k": b"x"}, "m0")
    fleet.send_all("m0", fleet.members["m0"].submit(fleet.now, change))
    fleet.lease["m0"] = None
    fleet.run(1)
    assert fleet.members["m0"].document.revision == 0


def test_each_loss_of_a_folder_makes_a_new_incarnation_and_replies_to_earlier_ones_do_not_count():
    fleet, captured = AgreementFleet(3), []
    fleet.delivers = (
        lambda source, target, message: captured.append((source, message)) or True
        if isinstance(message, Recovered)
        else True
    )
    for times in (2, 3, 4):
        fleet.kill("m2", emptied=True)
        fleet.start("m2")
        for source, message in list(captured):
            fleet.members["m2"].receive(fleet.now, source, message)
        assert not fleet.members["m2"].voter.voting
        fleet.wait_until(lambda: fleet.members["m2"].voter.voting)
        assert fleet.members["m0"].voter.vector["m2"] == times
        assert fleet.members["m2"].voter.vector["m2"] == times
    assert not any(
        isinstance(send.message, Recovered)
        for send in fleet.members["m0"].receive(fleet.now, "m2", Recover(1, 3))
    )  # a late request of the previous incarnation
    fleet.kill("m1", emptied=True)  # others have the incarnations that it knew
    fleet.start("m1")
    fleet.wait_until(lambda: fleet.members["m1"].voter.voting)
    assert fleet.members["m1"].voter.vector == {"m0": 1, "m1": 2, "m2": 4}


def test_a_member_killed_during_recovery_starts_it_again():
    fleet = AgreementFleet(5)
    fleet.elect("m0", 1)
    fleet.commit_change("m0")
    fleet.kill("m4", emptied=True)
    fleet.start("m4")
    fleet.is_cut = lambda a, b: {a, b} <= {"m2", "m3", "m4"} or "m4" in (a, b) and "m0" not in (a, b)
    fleet.run(2)
    assert fleet.members["m4"].document.revision == 1 and not fleet.members["m4"].voter.voting
    fleet.kill("m4")
    fleet.start("m4", bootstrap=True)  # without effect, as its folder is not empty
    fleet.run(1)
    assert not fleet.members["m4"].voter.voting
    fleet.is_cut = lambda a, b: False
    fleet.wait_until(lambda: fleet.members["m4"].voter.voting)


def test_a_change_in_progress_completes_after_all_members_restart():
    fleet = AgreementFleet(9)
    fleet.elect("m0", 1)
    fleet.commit_change("m0")
    fleet.delivers = lambda source, target, message: not isinstance(message, Vote)
    change = fleet.change({"k": b"x"}, "m0")
    fleet.submit("m0", change)
    fleet.run(0.1)
    for name in fleet.names:
        fleet.kill(name)
    fleet.delivers = lambda source, target, message: True
    for name in fleet.names:
        fleet.start(name)
    assert {m.document.revision for m in fleet.members.values()} == {1}
    fleet.elect("m8", 2)
    result = fleet.submit_and_wait("m3", change)
    assert (result.outcome, result.revision) == (Outcome.COMMITTED, 2)


def test_a_member_with_a_full_folder_does_not_vote_loses_nothing_and_logs_it():
    fleet = AgreementFleet(5)
    fleet.elect("m0", 1)
    fleet.full_folders = {"m0", "m1"}  # with the writer; the others are a majority
    assert fleet.submit_and_wait("m0", fleet.change({"a": b"1"}, "m0")).outcome is Outcome.COMMITTED
    fleet.full_folders = {"m0", "m1", "m2"}
    change = fleet.change({"b": b"1"}, "m3")
    assert fleet.submit_and_wait("m3", change).outcome is Outcome.UNKNOWN
    assert fleet.members["m2"].voter.pending is None
    assert fleet.members["m2"].counts["keep failed"] > 0 and fleet.members["m2"].view().folder_failing
    assert fleet.log_lines.count("the folder cannot be written: no vote until it can") >= 3
    fleet.full_folders = {"m1"}
    assert fleet.submit_and_wait("m4", change).outcome is Outcome.COMMITTED
    fleet.full_folders = set()
    fleet.run(2)
    assert not any(m.view().folder_failing for m in fleet.members.values())
    for name in fleet.names:
        fleet.kill(name)
        fleet.start(name)
        assert fleet.members[name].document.revision == 2


def test_a_rewritten_folder_has_the_whole_state():
    fleet = AgreementFleet(3, history=5)
    fleet.elect("m0", 1)
    for n in range(12):
        fleet.commit_change("m0", {f"k{n % 4}": b"%d" % n, "same": b"%d" % (n // 6)})
    fleet.delivers = lambda source, target, message: not isinstance(message, CommitBatch)
    fleet.commit_change("m1", {"x": b"1"})
    fleet.kill("m2", emptied=True)
    fleet.start("m2")
    fleet.wait_until(lambda: fleet.members["m2"].voter.voting)
    fleet.is_cut = lambda a, b: a == "m1"
    fleet.submit("m0", fleet.change({"x": b"2"}, "m0"))
    fleet.run(0.1)
    for name in fleet.names:
        old = fleet.members[name]
        records = old.records()
        fleet.kill(name)
        fleet.folders[name] = list(map(ENCODE, records))
        fleet.start(name)
        new = fleet.members[name]
        assert (new.document.revision, new.document.token, new.document.digest) == (
            old.document.revision,
            old.document.token,
            old.document.digest,
        )
        assert new.document.oldest() == old.document.oldest()
        assert [p.previous_values for p in new.document.history] == [
            p.previous_values for p in old.document.history
        ]
        assert (new.voter.promised, new.voter.pending, new.voter.vector) == (
            old.voter.promised,
            old.voter.pending,
            old.voter.vector,
        )
    assert fleet.members["m1"].voter.pending is not None


def test_a_folder_without_its_last_records_restores_an_earlier_state():
    fleet = AgreementFleet(3, history=2)
    fleet.elect("m0", 1)
    for n in range(5):
        fleet.commit_change("m0", {f"k{n}": b"v" * 60_000 for n in range(n, n + 5)})
    fleet.kill("m2", emptied=True)
    fleet.start("m2")
    fleet.wait_until(lambda: fleet.members["m2"].voter.voting)
    whole = fleet.folders["m2"]
    assert len(whole) > 4
    for length in range(len(whole)):
        fleet.kill("m2")
        fleet.folders["m2"] = whole[:length]
        fleet.start("m2")
        assert fleet.members["m2"].document.revision in (0, 5)


# Members that lack commits


@pytest.mark.parametrize("conditions", [Conditions(), Conditions(0.2, 0.2, (0.0, 0.2))])
def test_a_member_far_behind_gets_a_document_larger_than_a_frame_in_parts(conditions):
    fleet, sizes = AgreementFleet(5, history=16, seed=9), []
    fleet.elect("m0", 1)
    fleet.kill("m4")
    for n in range(40):
        fleet.commit_change("m1", {f"k{n}": bytes([n]) * 60_000})
    fleet.conditions = conditions
    fleet.delivers = (
        lambda source, target, message: sizes.append(len(ENCODE(message))) or True
        if isinstance(message, SnapshotReply | CommitBatch)
        else True
    )
    fleet.start("m4")
    fleet.run(1)
    source = fleet.members["m4"].catchup.source
    fleet.kill(source)  # during the transfer or after it
    if source == "m0":
        fleet.grant_lease("m1", 2)
    fleet.wait_until(lambda: fleet.members["m4"].document.revision >= 40, 120)
    assert fleet.members["m4"].document.digest == fleet.digest_by_revision[40]
    assert fleet.members["m4"].snapshots_installed == 1
    assert max(sizes) < 257 * 1024
    fleet.conditions = Conditions()
    fleet.kill("m4")
    fleet.start("m4")
    assert fleet.members["m4"].document.revision == 40


def test_a_member_that_lacks_a_few_commits_gets_only_these():
    fleet, sent = AgreementFleet(3), []
    fleet.elect("m0", 1)
    fleet.is_cut = lambda a, b: "m2" in (a, b)
    for n in range(5):
        assert fleet.submit_and_wait("m0", fleet.change({f"k{n}": b"1"}, "m0")).outcome is Outcome.COMMITTED
    fleet.delivers = lambda source, target, message: sent.append(message) or True if target == "m2" else True
    fleet.is_cut = lambda a, b: False
    fleet.wait_until(lambda: fleet.members["m2"].document.revision == 5)
    assert not any(isinstance(message, SnapshotReply) for message in sent)
    assert fleet.members["m2"].snapshots_installed == 0


def test_an_invalid_commit_is_not_applied_and_is_logged():
    fleet = AgreementFleet(3)
    fleet.elect("m0", 1)
    member = fleet.members["m1"]
    change = fleet.change({"k": b"1"}, "m1")
    member.receive(fleet.now, "m0", CommitBatch(1, (Commit(1, 1, change, b"w" * 16),)))
    assert member.document.revision == 0 and member.counts["unsound commit"] == 1
    assert any("another digest" in line for line in member.log_lines)
    member.receive(fleet.now, "m0", Heartbeat(Ballot(1, 1), 0, b"w" * 16))
    assert member.counts["digest differs"] == 1


def test_unknown_messages_and_messages_of_non_voters_are_only_counted():
    fleet = AgreementFleet(3)
    member = fleet.members["m1"]
    before = member.view()
    assert member.receive(0.1, "stranger", Prepare(Ballot(9, 9))) == []
    assert member.receive(0.1, "m0", Change(b"x" * 16, "a", 0, {})) == []
    assert member.counts == {"from a non-voter": 1, "unknown message": 1}
    assert member.view().promised == before.promised
    with pytest.raises(ValueError, match="not one of the voters"):
        AgreementCore("stranger", 1, fleet.names, Document(), lambda records: True, 0.0, Random(1))


# Random faults


def inconsistent_check(name, document, change):
    """A check whose result depends on the member and the revision."""
    if (change.id[0] + int(name[1:]) * 37 + document.revision * 11) % 6 == 0:
        raise DocumentError(f"refused by {name}")


class FaultSchedule:
    """A seeded schedule of faults in a fleet.

    Authors submit a change again, with its id, if its outcome is unknown or the member that has it dies.
    """

    def __init__(self, seed, number):
        self.random = Random(seed)
        self.fleet = AgreementFleet(
            number, seed, history=self.random.choice((3, 8, 4096)), check=inconsistent_check
        )
        self.changes, self.open_submissions, self.without_folder, self.token = {}, {}, set(), 0
        self.races_messages = seed % 2  # mostly late messages, changes of the writer and lost folders
        if self.races_messages:
            self.fleet.conditions = Conditions(0.1, 0.2, (0.0, 1.0))
        self.persisted_revisions = {}  # stored revision of each killed member

    def without_votes(self):
        """Members whose folder was emptied and that do not vote yet."""
        self.without_folder -= {name for name, member in self.fleet.members.items() if member.voter.voting}
        return self.without_folder

    def has_outcome(self, change_id):
        return any(result.outcome is not Outcome.UNKNOWN for result in self.fleet.outcomes.get(change_id, ()))

    def close_finished(self):
        """Drop submissions that have an outcome or whose member died."""
        for change_id, (member, known_results) in list(self.open_submissions.items()):
            if (
                len(self.fleet.outcomes.get(change_id, ())) > known_results
                or member not in self.fleet.members.values()
            ):
                del self.open_submissions[change_id]

    def submit(self, change_id, name):
        self.open_submissions[change_id] = (
            self.fleet.members[name],
            len(self.fleet.outcomes.get(change_id, ())),
        )
        self.fleet.submit(name, self.changes[change_id])

    def submit_new(self, name):
        revision = self.fleet.members[name].document.revision
        sets = {
            f"k{self.random.randrange(6)}": self.random.randbytes(3)
            for _ in range(self.random.randrange(1, 3))
        }
        change = self.fleet.change(sets, name, base=max(0, revision - self.random.randrange(3)))
        self.changes[change.id] = change
        self.submit(change.id, name)

    def ask_again(self, name):
        free = [i for i in self.changes if i not in self.open_submissions and not self.has_outcome(i)]
        if free:
            self.submit(self.random.choice(free), name)

    def lease(self, name):
        """Make a member believe that it holds the lease, with a new or a used token, or that it does not."""
        fleet, kind = self.fleet, self.random.random()
        if kind < 0.55:
            self.token += 1
            fleet.lease[name] = self.token
        elif kind < 0.75:
            fleet.lease[name] = self.random.randint(0, self.token)
        else:
            fleet.lease[name] = None
        if self.random.random() < 0.5:
            for other in fleet.lease:
                fleet.lease[other] = fleet.lease[other] if other == name else None

    def kill(self, name):
        fleet, voter = self.fleet, self.fleet.members[name].voter
        minority = (len(fleet.names) - 1) // 2
        emptied = self.random.random() < 0.5 and len(self.without_votes() | {name}) <= minority
        self.persisted_revisions[name] = 0 if emptied or voter.unpersisted else voter.document.revision
        fleet.kill(name, emptied)
        self.without_folder |= {name} if emptied else set()

    def start(self, name):
        self.fleet.start(name)
        assert self.fleet.members[name].document.revision >= self.persisted_revisions[name]

    def step(self):
        fleet, random = self.fleet, self.random
        alive = [name for name in fleet.members if name not in fleet.suspended]
        dead = [name for name in fleet.names if name not in fleet.members]
        kinds = {
            "submit": 40,
            "again": 10,
            "lease": 12,
            "kill": 8,
            "start": 10,
            "stop": 4,
            "go on": 5,
            "full": 3,
            "cut": 4,
            "conditions": 3,
            "all": 1,
        }
        if self.races_messages:
            kinds |= {"submit": 25, "lease": 25, "kill": 18, "start": 25, "full": 1, "conditions": 0}
        kind = random.choices(list(kinds), list(kinds.values()))[0]
        if alive and kind == "submit":
            self.submit_new(random.choice(alive))
        elif alive and kind == "again":
            self.ask_again(random.choice(alive))
        elif alive and kind == "lease":
            self.lease(random.choice(alive))
        elif alive and kind == "kill":
            self.kill(random.choice(alive))
        elif dead and kind == "start":
            self.start(random.choice(dead))
        elif alive and kind == "stop":
            fleet.suspend(random.choice(alive))
        elif fleet.suspended and kind == "go on":
            fleet.resume(random.choice(sorted(fleet.suspended)))
        elif kind == "full":
            fleet.full_folders ^= {random.choice(fleet.names)}
        elif kind == "cut":
            side = {name for name in fleet.names if random.random() < 0.4}
            fleet.is_cut = random.choice(
                (
                    lambda a, b: False,
                    lambda a, b: (a in side) != (b in side),
                    lambda a, b: a in side and b not in side,
                )
            )
        elif kind == "conditions":
            fleet.conditions = Conditions(
                random.choice((0.0, 0.05, 0.3)),
                random.choice((0.0, 0.3)),
                random.choice(((0.001, 0.002), (0.001, 0.3), (0.0, 2.0))),
            )
        elif kind == "all":
            for name in list(fleet.members):
                self.persisted_revisions[name] = (
                    0 if fleet.members[name].voter.unpersisted else fleet.seen_revisions[name]
                )
                fleet.kill(name)
            for name in fleet.names:
                self.start(name)
        fleet.run(random.choice((0.0, 0.002, 0.01, 0.1, 0.5, 1.5)))
        self.close_finished()

    def end_faults(self):
        """End all faults and give the lease to one member; returns its name."""
        fleet = self.fleet
        fleet.is_cut, fleet.conditions = lambda a, b: False, Conditions()
        fleet.full_folders.clear()
        for name in list(fleet.suspended):
            fleet.resume(name)
        for name in fleet.names:
            if name not in fleet.members:
                self.start(name)
        leader = self.random.choice(fleet.names)
        fleet.grant_lease(leader, self.token + 1)
        fleet.wait_until(
            lambda: fleet.is_leading(leader) and all(m.voter.voting for m in fleet.members.values()), 60
        )
        return leader

    def run_schedule(self, steps):
        fleet = self.fleet
        self.lease(fleet.names[0])
        for _ in range(steps):
            self.step()
        leader = self.end_faults()
        fleet.wait_until(lambda: not [self.close_finished(), *self.open_submissions][1:], 30)
        for change_id in self.changes:
            if not self.has_outcome(change_id):
                self.fleet.submit_and_wait(self.random.choice(fleet.names), self.changes[change_id])
        result = fleet.submit_and_wait(leader, fleet.change({"last": b"1"}, leader))
        while result.outcome is Outcome.REFUSED:  # the check depends on the revision
            result = fleet.submit_and_wait(leader, fleet.change({"last": b"1"}, leader))
        assert result.outcome is Outcome.COMMITTED
        fleet.wait_until(lambda: len({m.document.revision for m in fleet.members.values()}) == 1)
        self.check_outcomes()

    def check_outcomes(self):
        """Check all reported outcomes against the chosen commits."""
        fleet, ids = self.fleet, self.fleet.ids()
        assert sorted(fleet.chosen) == list(range(1, len(ids) + 1))
        assert len(set(ids)) == len(ids), "a change was committed twice"
        for change_id, results in fleet.outcomes.items():
            final = {(r.outcome, r.revision) for r in results if r.outcome is not Outcome.UNKNOWN}
            assert len(final) <= 1 or all(o is Outcome.LOST for o, _ in final), final
            for result in results:
                if result.outcome is Outcome.COMMITTED:
                    assert fleet.chosen[result.revision].change.id == change_id
                elif result.outcome in (Outcome.LOST, Outcome.REFUSED):
                    assert change_id not in ids, f"reported {result}"
                if result.outcome is Outcome.LOST:
                    change, other = self.changes[change_id], fleet.chosen[result.revision].change
                    assert result.revision > change.base and change.touched_keys() & other.touched_keys()


@pytest.mark.parametrize("number", [3, 5, 9])
def test_all_reported_outcomes_are_true_under_random_faults(number):
    for seed in range(2000 if LONG else 40):
        try:
            FaultSchedule(seed, number).run_schedule(60)
        except BaseException:
            print(f"seed {seed} with {number} members")
            raise
