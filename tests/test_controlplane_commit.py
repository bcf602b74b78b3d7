"""Agreement among members: each hard case by itself, and seeded schedules of faults, seen from outside."""

from __future__ import annotations

import heapq
import os
from dataclasses import dataclass
from random import Random

import msgspec
import pytest

from willownotch.controlplane.agreement import (
    NONE,
    Accept,
    Accepted,
    Answer,
    Ballot,
    Beat,
    CommitBatch,
    Piece,
    Prepare,
    Promise,
    Recover,
    Recovered,
    Submit,
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
DECODE, READ = msgspec.msgpack.Decoder(Message).decode, msgspec.msgpack.Decoder(Record).decode
PACE = AgreementTiming(patience=3.0, queue=4)


@dataclass
class Conditions:
    loss: float = 0.0
    double: float = 0.0
    delay: tuple[float, float] = (0.001, 0.002)


class Plane:
    """Members, their folders, what is on its way, and who believes to hold the lease."""

    def __init__(
        self,
        number=5,
        seed=1,
        pace=PACE,
        history=4096,
        check=lambda name, document, change: None,
        bootstrap=True,
    ):
        self.random, self.pace, self.history, self.check = Random(seed), pace, history, check
        self.names = tuple(f"m{n}" for n in range(number))
        self.now, self.conditions, self.cut = 0.0, Conditions(), lambda a, b: False
        self.folders = {name: [] for name in self.names}
        self.full, self.stopped, self.uids, self.sent = set(), set(), 0, 0
        self.members, self.lease, self.wire, self.late = {}, {}, [], {name: [] for name in self.names}
        self.truth = {}  # revision -> commit, as first seen anywhere
        self.digests = {0: Document().digest}
        self.outcomes = {}  # change id -> results
        self.seen = dict.fromkeys(self.names, 0)  # revision of each
        self.log_lines, self.watch = [], lambda source, target, message: True
        for name in self.names:
            self.start(name, bootstrap)

    def start(self, name, bootstrap=False):
        self.uids += 1
        folder = self.folders[name]

        def keep(records):
            if name in self.full:
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
            self.pace,
            lambda of, change: self.check(name, of, change),
            [READ(data) for data in folder],
            bootstrap,
        )
        self.seen[name] = document.revision
        self._look(name)

    def kill(self, name, emptied=False):
        del self.members[name]
        self.lease.pop(name, None)
        self.stopped.discard(name)
        self.late[name] = []
        if emptied:
            self.folders[name] = []

    def stop(self, name):
        self.stopped.add(name)

    def go_on(self, name):
        """What came in the meantime is there at once; it looks at its lease after that."""
        self.stopped.discard(name)
        late, self.late[name] = self.late[name], []
        for source, data in late:
            self._deliver(source, name, data)

    def give(self, name, token):
        """The lease goes to one member: the others know that they have it no more."""
        for other in self.lease:
            self.lease[other] = None
        self.lease[name] = token

    def post(self, source, sends):
        for send in sends:
            self.sent += 1
            if not self.watch(source, send.name, send.message):
                continue
            for _ in range(1 + (self.random.random() < self.conditions.double)):
                if self.random.random() >= self.conditions.loss and not self.cut(source, send.name):
                    at = self.now + self.random.uniform(*self.conditions.delay)
                    heapq.heappush(
                        self.wire,
                        (at, self.sent, self.random.random(), source, send.name, ENCODE(send.message)),
                    )
        self._look(source)

    def _deliver(self, source, name, data):
        if name in self.stopped:
            self.late[name].append((source, data))
        elif name in self.members:
            self.post(name, self.members[name].receive(self.now, source, DECODE(data)))

    def _look(self, name):
        """What can be seen of a member from outside, after each of its steps."""
        member = self.members[name]
        for result in member.results:
            self.outcomes.setdefault(result.id, []).append(result)
        for commit in member.committed:
            assert self.truth.setdefault(commit.revision, commit) == commit, f"two of {commit.revision}"
            self.digests[commit.revision] = commit.digest
        self.log_lines += member.log_lines
        member.results.clear()
        member.committed.clear()
        member.log_lines.clear()
        revision = member.document.revision
        assert revision >= self.seen[name], f"{name} went back from {self.seen[name]} to {revision}"
        assert self.digests[revision] == member.document.digest
        self.seen[name] = revision

    def run(self, span):
        ends = self.now + span
        while True:
            awake = [name for name in self.members if name not in self.stopped]
            due = min((self.members[name].due() for name in awake), default=ends)
            at = min(due, self.wire[0][0] if self.wire else ends)
            if at >= ends:
                self.now = ends
                return
            self.now = max(self.now, at)
            while self.wire and self.wire[0][0] <= self.now:
                _, _, _, source, name, data = heapq.heappop(self.wire)
                self._deliver(source, name, data)
            for name in awake:
                member = self.members.get(name)
                if member is not None and member.due() <= self.now:
                    if name in self.lease:
                        self.post(name, member.lead(self.now, self.lease[name]))
                    self.post(name, member.tick(self.now))

    def until(self, condition, most=20.0, step=0.01):
        ends = self.now + most
        while not condition():
            assert self.now < ends, "waited in vain"
            self.run(step)

    def change(self, sets=None, name=None, author="me", base=None):
        """A change as of the last revision that the member asked has."""
        base = self.members[name].document.revision if base is None else base
        return Change(self.random.randbytes(16), author, base, sets or {"k": b"1"})

    def ask(self, name, change):
        self.post(name, self.members[name].submit(self.now, change))
        return change.id

    def outcome(self, change_id):
        return self.outcomes[change_id][-1].outcome if change_id in self.outcomes else None

    def told(self, name, change, most=20.0):
        """Ask, and wait for the outcome."""
        before = len(self.outcomes.get(change.id, ()))
        self.ask(name, change)
        self.until(lambda: len(self.outcomes.get(change.id, ())) > before, most)
        return self.outcomes[change.id][-1]

    def put(self, name, sets=None):
        """A change that is committed, and known everywhere that lives and is not cut off."""
        result = self.told(name, self.change(sets, name))
        assert result.outcome is Outcome.COMMITTED, result
        self.run(2 * self.pace.beat)
        return result.revision

    def leading(self, name):
        return self.members[name].view().stage == "leading"

    def led(self, name, token):
        self.give(name, token)
        self.until(lambda: self.leading(name))

    def ids(self):
        return [self.truth[revision].change.id for revision in sorted(self.truth)]


def test_a_change_asked_for_anywhere_is_committed_everywhere_in_one_order():
    plane = Plane(9)
    plane.led("m0", 1)
    for n, name in enumerate(plane.names):
        assert plane.put(name, {f"k{n}": b"%d" % n}) == n + 1
    assert {m.document.revision for m in plane.members.values()} == {9}
    assert len({m.document.digest for m in plane.members.values()}) == 1
    assert [commit.token for commit in plane.truth.values()] == [1] * 9


# The rules, one by one

B1, B2, B3 = Ballot(1, 7), Ballot(2, 3), Ballot(2, 5)
X = Commit(4, 1, Change(b"x" * 16, "a", 3, {"k": b"1"}), b"d" * 16)
Y = Commit(4, 2, Change(b"y" * 16, "b", 3, {"k": b"2"}), b"e" * 16)


@pytest.mark.parametrize(
    ("promised", "ballot", "given"),
    [(NONE, B1, True), (B1, B1, True), (B1, B2, True), (B2, B1, False), (B3, B2, False), (B2, B3, True)],
)
def test_a_promise_is_kept(promised, ballot, given):
    assert may_promise(promised, ballot) == given


@pytest.mark.parametrize(
    ("promised", "pending", "revision", "accept", "wanted"),
    [
        (NONE, None, 3, Accept(B1, 4, X), Accepted(B1, 4, X)),
        (B1, None, 3, Accept(B1, 4, X), Accepted(B1, 4, X)),
        (B2, None, 3, Accept(B1, 4, X), None),  # a higher ballot was promised
        (B3, None, 3, Accept(B2, 4, X), None),  # so it was, with the same token
        (B1, Accepted(B1, 4, X), 3, Accept(B2, 4, Y), Accepted(B2, 4, Y)),
        (NONE, None, 4, Accept(B1, 4, X), None),  # it has that revision
        (NONE, None, 2, Accept(B1, 4, X), None),  # it lacks the one before
        (B1, Accepted(B1, 4, X), 3, Accept(B2, 4, None), Accepted(B2, 4, None)),  # what is older is forgotten
        (B2, Accepted(B2, 4, Y), 3, Accept(B2, 4, None), Accepted(B2, 4, Y)),  # a late one takes nothing away
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
        ([Accepted(B2, 4, None), Accepted(B2, 4, Y)], Accepted(B2, 4, Y)),  # one heard less of its writer
        ([Accepted(B2, 3, X), Accepted(B2, 5, X), Accepted(B1, 4, X)], Accepted(B1, 4, X)),
    ],
)
def test_what_is_committed_again_is_what_the_highest_ballot_proposed(pendings, wanted):
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


# Writers that stop, die or meet


@pytest.mark.parametrize("others", [{}, {"k": b"2"}])
@pytest.mark.parametrize("saw", [("m0",), ("m0", "m1"), ("m0", "m1", "m2")])
def test_a_writer_stopped_mid_change_and_continued_puts_nothing_in_force_by_itself(saw, others):
    plane = Plane(5)
    plane.led("m0", 1)
    plane.put("m0")
    plane.watch = lambda source, target, message: (
        target in saw if isinstance(message, Accept) and source == "m0" else True
    )
    change = plane.change({"k": b"x"}, "m0")
    plane.ask("m0", change)
    plane.run(0.0015)
    plane.stop("m0")
    plane.run(0.1)  # the accepts are there, their votes reach nobody
    unseen = set(saw) & {"m1"}
    plane.cut = lambda a, b: bool({a, b} & unseen)
    plane.give("m3", 2)
    plane.lease["m0"] = 1  # as it believes when it goes on
    plane.until(lambda: plane.leading("m3"))
    if others:
        plane.told("m4", plane.change(others, "m4"))
    plane.cut = lambda a, b: False
    plane.watch = lambda source, target, message: True
    plane.go_on("m0")
    plane.run(0.001)
    plane.lease["m0"] = None
    plane.until(lambda: plane.outcome(change.id))
    plane.run(3)
    result = plane.outcomes[change.id][-1]
    known = "m2" in saw  # the next writer sees it, so it goes on
    if known or not others:
        assert result.outcome is Outcome.COMMITTED
    else:
        assert (result.outcome, result.revision) == (Outcome.LOST, 2)
    assert plane.ids().count(change.id) == (result.outcome is Outcome.COMMITTED)
    assert len({m.document.digest for m in plane.members.values()}) == 1


def test_a_writer_killed_between_majority_and_answer_loses_no_change_and_its_author_learns_the_one_outcome():
    plane = Plane(5)
    plane.led("m0", 1)
    plane.watch = lambda source, target, message: not (
        source == "m0"
        and isinstance(message, CommitBatch | Answer)
        or isinstance(message, Accept)
        and target in ("m3", "m4")
    )
    change = plane.change({"k": b"x"}, "m4")
    plane.ask("m4", change)
    plane.until(lambda: plane.members["m0"].document.revision == 1)
    plane.kill("m0")
    plane.watch = lambda source, target, message: True
    plane.cut = lambda a, b: "m1" in (a, b)  # of those that accepted, one is left
    plane.led("m3", 2)
    assert plane.told("m4", change).outcome is Outcome.COMMITTED
    for name in ("m4", "m2", "m3"):  # asked again by its id, anywhere
        result = plane.told(name, change)
        assert (result.outcome, result.revision) == (Outcome.COMMITTED, 1)
    assert plane.members["m3"].counts["committed again"] == 1
    assert plane.put("m2", {"other": b"1"}) == 2
    assert plane.ids().count(change.id) == 1


@pytest.mark.parametrize("tokens", [(1, 1), (1, 2), (5, 3)])
def test_two_that_believe_to_hold_the_lease_agree_all_the_same(tokens):
    plane = Plane(5, seed=sum(tokens))
    plane.lease = {"m0": tokens[0], "m1": tokens[1]}
    asked = []
    for n in range(12):
        name = plane.names[n % 5]
        asked.append(plane.ask(name, plane.change({f"k{n % 3}": b"%d" % n}, name)))
        plane.run(0.3)
    plane.give("m1", 6)
    for change_id in asked:
        plane.until(lambda at=change_id: plane.outcome(at))
    assert len(plane.ids()) == len(set(plane.ids())) > 3
    for change_id in asked:
        assert (plane.outcome(change_id) is Outcome.COMMITTED) <= (change_id in plane.ids())
        assert (plane.outcome(change_id) is Outcome.LOST) <= (change_id not in plane.ids())


def test_a_writer_begins_no_ballot_twice_and_takes_none_below_what_it_knows():
    plane, ballots = Plane(3), []
    plane.watch = (
        lambda source, target, message: ballots.append(message.ballot) or True
        if isinstance(message, Prepare) and target == "m1"
        else True
    )
    for _ in range(3):
        plane.led("m0", 1)
        plane.lease["m0"] = None
        plane.run(0.2)
    assert len(set(ballots)) == 3 and ballots == sorted(ballots)
    highest = max(ballots)
    plane.led("m2", 1)  # its token is below what m0 has used: tokens may be forgotten with folders
    assert plane.members["m2"].writer.ballot > highest
    assert plane.put("m1") == 1


def test_a_writer_proposes_nothing_with_a_token_below_the_document():
    plane, tokens = Plane(5), []
    plane.led("m0", 1)
    plane.watch = lambda source, target, message: not isinstance(message, Accept) or (
        tokens.append(message.commit.token) or True
    )
    document = plane.members["m0"].document
    change = plane.change({"a": b"1"}, "m0")
    later = Commit(1, 9, change, document.digest_after(change))  # of a writer that m0 has not heard of
    plane.post("m0", plane.members["m0"].receive(plane.now, "m1", CommitBatch(1, (later,))))
    plane.told("m0", plane.change({"b": b"1"}, "m0"))
    assert min(tokens) >= 9


def test_answers_to_an_earlier_ballot_count_for_nothing():
    plane = Plane(5)
    held = []
    plane.watch = (
        lambda source, target, message: held.append((source, message))
        if (target == "m0" and isinstance(message, Promise))
        else True
    )
    plane.lease["m0"] = 1
    plane.run(0.1)
    plane.lease["m0"] = None
    plane.run(0.4)
    plane.lease["m0"] = 2
    plane.cut = lambda a, b: True
    plane.run(0.4)
    assert {message.ballot.token for _, message in held} == {1}
    for source, message in held:
        plane.members["m0"].receive(plane.now, source, message)
    assert plane.members["m0"].view().stage == "preparing"


def test_votes_under_an_earlier_ballot_count_for_nothing():
    plane, held = Plane(5), []
    plane.led("m0", 1)
    plane.watch = (
        lambda source, target, message: held.append((source, message))
        if (target == "m0" and isinstance(message, Vote))
        else True
    )
    change = plane.change({"k": b"1"}, "m0")
    plane.ask("m0", change)
    plane.run(0.1)
    plane.watch = lambda source, target, message: not isinstance(message, Accept)
    plane.give("m0", 2)
    plane.until(lambda: plane.members["m0"].counts["committed again"])
    assert len(held) == 4
    for source, message in held:
        plane.members["m0"].receive(plane.now, source, message)
    assert plane.members["m0"].document.revision == 0


def test_a_new_writer_catches_up_before_it_looks_at_what_is_pending():
    plane = Plane(3)
    plane.led("m0", 1)
    plane.cut = lambda a, b: "m2" in (a, b)
    change = plane.change({"k": b"x"}, "m0")
    assert plane.told("m0", change).outcome is Outcome.COMMITTED
    plane.run(1)
    plane.kill("m0")
    plane.cut = lambda a, b: False
    plane.watch = lambda source, target, message: not isinstance(message, CommitBatch)
    plane.give("m2", 2)
    plane.ask("m2", plane.change({"k": b"y"}, "m2", base=0))
    plane.run(1)
    assert plane.members["m2"].view().stage == "preparing"
    plane.watch = lambda source, target, message: True
    plane.until(lambda: plane.leading("m2"))
    assert plane.told("m1", plane.change({"k": b"z"}, base=0)).outcome is Outcome.LOST


# Refusals


def test_a_vote_for_nothing_is_no_vote_for_a_change():
    plane = Plane(3, check=lambda name, document, change: refuse() if "bad" in change.sets else None)

    def refuse():
        raise DocumentError("it is bad")

    plane.led("m0", 1)
    held = []
    plane.watch = (
        lambda source, target, message: held.append((source, message)) or True
        if isinstance(message, Vote)
        else True
    )
    result = plane.told("m1", plane.change({"bad": b"1"}, "m1"))
    assert (result.outcome, result.text) == (Outcome.REFUSED, "it is bad")
    plane.watch = lambda source, target, message: not isinstance(message, Accept)
    change = plane.change({"good": b"1"}, "m1")
    plane.ask("m1", change)
    plane.run(0.1)
    assert held and all(message.id == b"" for _, message in held)
    for source, message in held:  # doubled, and late
        plane.post("m0", plane.members["m0"].receive(plane.now, source, message))
    assert plane.members["m0"].document.revision == 0
    plane.watch = lambda source, target, message: True
    plane.until(lambda: plane.outcome(change.id) is Outcome.COMMITTED)


def test_a_change_that_was_refused_does_not_come_back_by_a_voter_that_accepted_an_earlier_try():
    def check(name, document, change):
        if name != "m0" and "picky" in change.sets:
            raise DocumentError("not here")

    plane = Plane(5, check=check)
    plane.led("m0", 1)
    plane.watch = lambda source, target, message: not isinstance(message, Accept) or target == "m1"
    change = plane.change({"picky": b"1"}, "m0")
    plane.ask("m0", change)
    plane.run(0.1)
    assert plane.members["m1"].voter.pending.commit.change == change
    plane.kill("m0")
    plane.watch = lambda source, target, message: True
    plane.cut = lambda a, b: "m1" in (a, b)
    plane.led("m2", 2)
    assert plane.told("m3", change).outcome is Outcome.REFUSED
    plane.kill("m2")
    plane.cut = lambda a, b: False
    plane.led("m1", 3)
    assert plane.put("m1", {"other": b"1"}) == 1
    plane.run(3)
    assert change.id not in plane.ids()


def test_what_was_refused_stays_so_for_a_doubled_question_and_a_question_is_for_one_ballot():
    liked = []

    def check(name, document, change):
        if not liked:
            raise DocumentError("not now")

    plane = Plane(3, check=check)
    plane.led("m0", 1)
    ballot = plane.members["m0"].writer.ballot
    change = plane.change({"k": b"1"}, "m1")
    assert plane.told("m1", change).outcome is Outcome.REFUSED
    liked.append(True)
    for asked in (ballot, Ballot(ballot.token, ballot.uid + 1), Ballot(0, 1)):
        other = change if asked == ballot else plane.change({"k": b"2"}, "m1")
        plane.post("m0", plane.members["m0"].receive(plane.now, "m1", Submit(asked, other)))
        plane.run(1)
    assert plane.ids() == []


def test_a_refusal_of_an_overtaken_writer_is_not_told_once_the_next_one_was_asked():
    plane = Plane(3)
    plane.led("m0", 1)
    member, old = plane.members["m1"], plane.members["m0"].writer.ballot
    plane.watch = lambda source, target, message: not isinstance(message, Submit)
    change = plane.change({"k": b"1"}, "m1")
    plane.ask("m1", change)
    later = Ballot(7, 7)
    member.receive(plane.now, "m2", Beat(later, 0, member.document.digest))
    member.receive(plane.now, "m0", Answer(old, change.id, Outcome.REFUSED, 0, "late"))
    assert plane.outcome(change.id) is None and not member.results
    member.receive(plane.now, "m2", Answer(later, change.id, Outcome.REFUSED, 0, "no"))
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
    plane = Plane(3)
    plane.led("m0", 1)
    plane.put("m1", {"a": b"1"})
    result = plane.told("m2", plane.change(sets, base=base))
    assert result.outcome is outcome
    assert result.text.startswith(text) and bool(text) == bool(result.text)


def test_of_a_change_older_than_what_is_remembered_it_is_not_told_that_it_is_not_in():
    plane = Plane(3, history=4)
    plane.led("m0", 1)
    change = plane.change({"a": b"1"}, "m0")
    assert plane.told("m0", change).outcome is Outcome.COMMITTED
    for n in range(6):
        plane.put("m0", {f"k{n}": b"1"})
    result = plane.told("m1", change)
    assert result.outcome is Outcome.UNKNOWN and "known are 3 to 7" in result.text


def test_queues_are_bounded_and_what_does_not_fit_is_said():
    plane = Plane(3, pace=AgreementTiming(queue=4, asks=9, patience=3.0))
    plane.led("m0", 1)
    plane.cut = lambda a, b: True
    asked = [plane.ask("m0", plane.change({f"k{n}": b"1"}, "m0")) for n in range(12)]
    told = [plane.outcomes[i][-1] for i in asked if i in plane.outcomes]
    assert len(told) == 12 - 5  # one is proposed, four wait
    assert all(r.outcome is Outcome.UNKNOWN and "nothing was done" in r.text for r in told)
    asked = [plane.ask("m1", plane.change({f"k{n}": b"1"}, "m1")) for n in range(12)]
    assert [i in plane.outcomes for i in asked] == [False] * 9 + [True] * 3
    plane.run(4)
    assert all(plane.outcome(i) is Outcome.UNKNOWN for i in asked)
    assert "ask again by the id" in plane.outcomes[asked[0]][-1].text
    plane.cut = lambda a, b: False
    plane.until(lambda: plane.members["m0"].view().waiting == 0)
    assert plane.put("m2", {"z": b"1"})


# Folders that are lost, full, restarted


@pytest.mark.parametrize("learnt", [False, True])
def test_a_change_outlives_four_of_nine_folders_lost_at_once(learnt):
    plane = Plane(9)
    plane.led("m0", 1)
    few = {"m0", "m1", "m2", "m3", "m4"}
    plane.watch = lambda source, target, message: (
        target in few
        if isinstance(message, Accept)
        else learnt and target == "m4"
        if isinstance(message, CommitBatch)
        else True
    )
    change = plane.change({"k": b"x"}, "m0")
    assert plane.told("m0", change).outcome is Outcome.COMMITTED
    plane.run(0.05)
    assert plane.members["m4"].document.revision == learnt
    for name in ("m0", "m1", "m2", "m3"):
        plane.kill(name, emptied=True)
    for name in ("m0", "m1", "m2", "m3"):
        plane.start(name)
    # Of those that have it, one is left; it is heard once, and then cut off.
    plane.watch = lambda source, target, message: not isinstance(message, CommitBatch)
    plane.run(1)
    back = [plane.members[name].voter.voting for name in ("m0", "m1", "m2", "m3")]
    assert back == [not learnt] * 4  # they catch up before they vote
    plane.cut = lambda a, b: "m4" in (a, b)
    plane.give("m5", 2)
    plane.run(3)
    plane.watch = lambda source, target, message: True
    plane.run(3)
    plane.cut = lambda a, b: False
    result = plane.told("m6", plane.change({"k": b"y"}, base=0))
    assert (result.outcome, result.revision) == (Outcome.LOST, 1)
    assert plane.truth[1].change.id == change.id
    plane.until(lambda: {m.document.revision for m in plane.members.values()} == {1})
    assert [plane.members[name].voter.vector[name] for name in plane.names] == [2] * 4 + [1] * 5
    assert any("votes again, as incarnation 2" in line for line in plane.log_lines)


def test_with_five_of_nine_folders_lost_nothing_is_voted_and_it_is_said():
    plane = Plane(9)
    plane.led("m0", 1)
    plane.put("m0")
    for name in plane.names[:5]:
        plane.kill(name, emptied=True)
        plane.start(name)
    plane.give("m7", 2)
    plane.run(30)
    assert not any(plane.members[name].voter.voting for name in plane.names[:5])
    assert not plane.leading("m7")
    assert any(
        "5 of 9 voters have lost their folder, no majority is left" in line for line in plane.log_lines
    )
    assert "4 of the 5 voters needed have answered" in plane.members["m0"].view().why
    assert plane.told("m7", plane.change({"k": b"2"}, "m7")).outcome is Outcome.UNKNOWN
    assert {m.document.revision for m in plane.members.values()} == {1}  # it is known all the same


def test_a_promise_on_its_way_counts_for_nothing_once_its_voter_has_lost_its_folder():
    plane, late = Plane(5), []
    plane.led("m0", 1)
    # m3 is about to write: only m4's promise comes of it, and that late.
    plane.watch = (
        lambda source, target, message: late.append(message)
        if (source == "m4" and target == "m3" and isinstance(message, Promise))
        else (target == "m4" or not isinstance(message, Prepare))
    )
    plane.lease["m3"] = 2
    plane.until(lambda: late)
    plane.kill("m4", emptied=True)
    plane.start("m4")
    plane.watch = lambda source, target, message: "m3" not in (source, target)
    plane.until(lambda: plane.members["m4"].voter.voting)  # by m0, m1, m2
    plane.watch = lambda source, target, message: (
        "m3" not in (source, target)
        and not isinstance(message, CommitBatch)
        and not (target == "m2" and isinstance(message, Accept))
    )
    result = plane.told("m0", plane.change({"k": b"x"}, "m0"))
    assert result.outcome is Outcome.COMMITTED  # by m0, m1 and the new m4
    plane.post("m3", plane.members["m3"].receive(plane.now, "m4", late[0]))
    plane.watch = lambda source, target, message: {source, target} in ({"m2", "m3"}, {"m3", "m4"}) and not (
        source == "m4" and isinstance(message, Promise)
    )
    plane.ask("m3", plane.change({"k": b"y"}, "m3"))
    plane.run(1)  # m2 knows that m4 is a new one
    assert plane.members["m3"].view().stage == "preparing"
    plane.watch = lambda source, target, message: True
    plane.give("m3", 5)
    assert plane.put("m2", {"z": b"1"}) == 2


def test_a_voter_whose_folder_was_lost_keeps_a_promise_that_others_know():
    plane = Plane(5)
    plane.led("m0", 1)
    group = {"m2", "m3", "m4"}
    plane.watch = lambda source, target, message: {source, target} <= group
    plane.lease["m3"] = 2
    plane.until(lambda: plane.leading("m3"))
    plane.kill("m4", emptied=True)
    plane.start("m4")
    plane.watch = lambda source, target, message: "m3" not in (source, target) and (
        isinstance(message, Recover | Recovered)
    )
    plane.until(lambda: plane.members["m4"].voter.voting)
    assert plane.members["m4"].voter.promised == plane.members["m3"].writer.ballot
    plane.watch = lambda source, target, message: {source, target} <= {"m0", "m1", "m4"}
    change = plane.change({"k": b"x"}, "m0")
    plane.post("m0", plane.members["m0"].submit(plane.now, change))
    plane.lease["m0"] = None
    plane.run(1)
    assert plane.members["m0"].document.revision == 0


def test_a_folder_lost_twice_makes_another_incarnation_and_answers_to_the_first_count_for_nothing():
    plane, held = Plane(3), []
    plane.watch = (
        lambda source, target, message: held.append((source, message)) or True
        if isinstance(message, Recovered)
        else True
    )
    for times in (2, 3, 4):
        plane.kill("m2", emptied=True)
        plane.start("m2")
        for source, message in list(held):
            plane.members["m2"].receive(plane.now, source, message)
        assert not plane.members["m2"].voter.voting
        plane.until(lambda: plane.members["m2"].voter.voting)
        assert plane.members["m0"].voter.vector["m2"] == times
        assert plane.members["m2"].voter.vector["m2"] == times
    assert not any(
        isinstance(send.message, Recovered)
        for send in plane.members["m0"].receive(plane.now, "m2", Recover(1, 3))
    )  # of the one before, late
    plane.kill("m1", emptied=True)  # what it knew of m2 is known to others
    plane.start("m1")
    plane.until(lambda: plane.members["m1"].voter.voting)
    assert plane.members["m1"].voter.vector == {"m0": 1, "m1": 2, "m2": 4}


def test_a_member_cut_down_in_its_recovery_begins_it_anew():
    plane = Plane(5)
    plane.led("m0", 1)
    plane.put("m0")
    plane.kill("m4", emptied=True)
    plane.start("m4")
    plane.cut = lambda a, b: {a, b} <= {"m2", "m3", "m4"} or "m4" in (a, b) and "m0" not in (a, b)
    plane.run(2)
    assert plane.members["m4"].document.revision == 1 and not plane.members["m4"].voter.voting
    plane.kill("m4")
    plane.start("m4", bootstrap=True)  # its folder is not empty, so this says nothing
    plane.run(1)
    assert not plane.members["m4"].voter.voting
    plane.cut = lambda a, b: False
    plane.until(lambda: plane.members["m4"].voter.voting)


def test_all_restarted_mid_change_go_on_with_it():
    plane = Plane(9)
    plane.led("m0", 1)
    plane.put("m0")
    plane.watch = lambda source, target, message: not isinstance(message, Vote)
    change = plane.change({"k": b"x"}, "m0")
    plane.ask("m0", change)
    plane.run(0.1)
    for name in plane.names:
        plane.kill(name)
    plane.watch = lambda source, target, message: True
    for name in plane.names:
        plane.start(name)
    assert {m.document.revision for m in plane.members.values()} == {1}
    plane.led("m8", 2)
    result = plane.told("m3", change)
    assert (result.outcome, result.revision) == (Outcome.COMMITTED, 2)


def test_a_full_folder_answers_nothing_loses_nothing_and_is_said():
    plane = Plane(5)
    plane.led("m0", 1)
    plane.full = {"m0", "m1"}  # the writer, too: the others are a majority
    assert plane.told("m0", plane.change({"a": b"1"}, "m0")).outcome is Outcome.COMMITTED
    plane.full = {"m0", "m1", "m2"}
    change = plane.change({"b": b"1"}, "m3")
    assert plane.told("m3", change).outcome is Outcome.UNKNOWN
    assert plane.members["m2"].voter.pending is None
    assert plane.members["m2"].counts["keep failed"] > 0 and plane.members["m2"].view().folder_failing
    assert plane.log_lines.count("the folder cannot be written: no vote until it can") >= 3
    plane.full = {"m1"}
    assert plane.told("m4", change).outcome is Outcome.COMMITTED
    plane.full = set()
    plane.run(2)
    assert not any(m.view().folder_failing for m in plane.members.values())
    for name in plane.names:
        plane.kill(name)
        plane.start(name)
        assert plane.members[name].document.revision == 2


def test_a_new_folder_holds_all_that_the_old_one_held():
    plane = Plane(3, history=5)
    plane.led("m0", 1)
    for n in range(12):
        plane.put("m0", {f"k{n % 4}": b"%d" % n, "same": b"%d" % (n // 6)})
    plane.watch = lambda source, target, message: not isinstance(message, CommitBatch)
    plane.put("m1", {"x": b"1"})
    plane.kill("m2", emptied=True)
    plane.start("m2")
    plane.until(lambda: plane.members["m2"].voter.voting)
    plane.cut = lambda a, b: a == "m1"
    plane.ask("m0", plane.change({"x": b"2"}, "m0"))
    plane.run(0.1)
    for name in plane.names:
        old = plane.members[name]
        records = old.records()
        plane.kill(name)
        plane.folders[name] = list(map(ENCODE, records))
        plane.start(name)
        new = plane.members[name]
        assert (new.document.revision, new.document.token, new.document.digest) == (
            old.document.revision,
            old.document.token,
            old.document.digest,
        )
        assert new.document.oldest() == old.document.oldest()
        assert [p.before for p in new.document.history] == [p.before for p in old.document.history]
        assert (new.voter.promised, new.voter.pending, new.voter.vector) == (
            old.voter.promised,
            old.voter.pending,
            old.voter.vector,
        )
    assert plane.members["m1"].voter.pending is not None


def test_a_folder_whose_last_records_are_torn_off_is_one_of_before():
    plane = Plane(3, history=2)
    plane.led("m0", 1)
    for n in range(5):
        plane.put("m0", {f"k{n}": b"v" * 60_000 for n in range(n, n + 5)})
    plane.kill("m2", emptied=True)
    plane.start("m2")
    plane.until(lambda: plane.members["m2"].voter.voting)
    whole = plane.folders["m2"]
    assert len(whole) > 4
    for length in range(len(whole)):
        plane.kill("m2")
        plane.folders["m2"] = whole[:length]
        plane.start("m2")
        assert plane.members["m2"].document.revision in (0, 5)


# Members that lack commits


@pytest.mark.parametrize("conditions", [Conditions(), Conditions(0.2, 0.2, (0.0, 0.2))])
def test_a_member_far_behind_gets_a_document_larger_than_a_frame_in_pieces(conditions):
    plane, sizes = Plane(5, history=16, seed=9), []
    plane.led("m0", 1)
    plane.kill("m4")
    for n in range(40):
        plane.put("m1", {f"k{n}": bytes([n]) * 60_000})
    plane.conditions = conditions
    plane.watch = (
        lambda source, target, message: sizes.append(len(ENCODE(message))) or True
        if isinstance(message, Piece | CommitBatch)
        else True
    )
    plane.start("m4")
    plane.run(1)
    source = plane.members["m4"].catchup.source
    plane.kill(source)  # midway, or already done
    if source == "m0":
        plane.give("m1", 2)
    plane.until(lambda: plane.members["m4"].document.revision >= 40, 120)
    assert plane.members["m4"].document.digest == plane.digests[40]
    assert plane.members["m4"].snapshots_installed == 1
    assert max(sizes) < 257 * 1024
    plane.conditions = Conditions()
    plane.kill("m4")
    plane.start("m4")
    assert plane.members["m4"].document.revision == 40


def test_a_member_that_missed_a_few_gets_just_these():
    plane, sent = Plane(3), []
    plane.led("m0", 1)
    plane.cut = lambda a, b: "m2" in (a, b)
    for n in range(5):
        assert plane.told("m0", plane.change({f"k{n}": b"1"}, "m0")).outcome is Outcome.COMMITTED
    plane.watch = lambda source, target, message: sent.append(message) or True if target == "m2" else True
    plane.cut = lambda a, b: False
    plane.until(lambda: plane.members["m2"].document.revision == 5)
    assert not any(isinstance(message, Piece) for message in sent)
    assert plane.members["m2"].snapshots_installed == 0


def test_an_unsound_commit_is_not_taken_and_is_said():
    plane = Plane(3)
    plane.led("m0", 1)
    member = plane.members["m1"]
    change = plane.change({"k": b"1"}, "m1")
    member.receive(plane.now, "m0", CommitBatch(1, (Commit(1, 1, change, b"w" * 16),)))
    assert member.document.revision == 0 and member.counts["unsound commit"] == 1
    assert any("another digest" in line for line in member.log_lines)
    member.receive(plane.now, "m0", Beat(Ballot(1, 1), 0, b"w" * 16))
    assert member.counts["digest differs"] == 1


def test_what_is_no_message_and_who_is_no_voter_is_counted_and_nothing_else():
    plane = Plane(3)
    member = plane.members["m1"]
    before = member.view()
    assert member.receive(0.1, "stranger", Prepare(Ballot(9, 9))) == []
    assert member.receive(0.1, "m0", Change(b"x" * 16, "a", 0, {})) == []
    assert member.counts == {"from a non-voter": 1, "unknown message": 1}
    assert member.view().promised == before.promised
    with pytest.raises(ValueError, match="not one of the voters"):
        AgreementCore("stranger", 1, plane.names, Document(), lambda records: True, 0.0, Random(1))


# All of it at once


def fickle(name, document, change):
    """A check that differs from member to member and from revision to revision."""
    if (change.id[0] + int(name[1:]) * 37 + document.revision * 11) % 6 == 0:
        raise DocumentError(f"not liked by {name}")


class Storm:
    """One seeded schedule of faults over a plane, and authors who ask again by the id when they are told
    'unknown' or the member they asked dies."""

    def __init__(self, seed, number):
        self.random = Random(seed)
        self.plane = Plane(number, seed, history=self.random.choice((3, 8, 4096)), check=fickle)
        self.changes, self.open, self.lost, self.token = {}, {}, set(), 0
        self.racing = seed % 2  # late messages, writers that change and folders that go, rather than all else
        if self.racing:
            self.plane.conditions = Conditions(0.1, 0.2, (0.0, 1.0))
        self.went = {}  # revision with which a member died, where its folder had it

    def emptied(self):
        """Members whose folder was emptied and that do not vote again yet."""
        self.lost -= {name for name, member in self.plane.members.items() if member.voter.voting}
        return self.lost

    def settled(self, change_id):
        return any(result.outcome is not Outcome.UNKNOWN for result in self.plane.outcomes.get(change_id, ()))

    def close(self):
        """Askings that have their answer are over."""
        for change_id, (member, told) in list(self.open.items()):
            if (
                len(self.plane.outcomes.get(change_id, ())) > told
                or member not in self.plane.members.values()
            ):
                del self.open[change_id]

    def ask(self, change_id, name):
        self.open[change_id] = self.plane.members[name], len(self.plane.outcomes.get(change_id, ()))
        self.plane.ask(name, self.changes[change_id])

    def submit(self, name):
        revision = self.plane.members[name].document.revision
        sets = {
            f"k{self.random.randrange(6)}": self.random.randbytes(3)
            for _ in range(self.random.randrange(1, 3))
        }
        change = self.plane.change(sets, name, base=max(0, revision - self.random.randrange(3)))
        self.changes[change.id] = change
        self.ask(change.id, name)

    def ask_again(self, name):
        free = [i for i in self.changes if i not in self.open and not self.settled(i)]
        if free:
            self.ask(self.random.choice(free), name)

    def lease(self, name):
        """Somebody believes to hold it: with a new token, or one that another has, too; or knows better."""
        plane, kind = self.plane, self.random.random()
        if kind < 0.55:
            self.token += 1
            plane.lease[name] = self.token
        elif kind < 0.75:
            plane.lease[name] = self.random.randint(0, self.token)
        else:
            plane.lease[name] = None
        if self.random.random() < 0.5:
            for other in plane.lease:
                plane.lease[other] = plane.lease[other] if other == name else None

    def kill(self, name):
        plane, voter = self.plane, self.plane.members[name].voter
        minority = (len(plane.names) - 1) // 2
        emptied = self.random.random() < 0.5 and len(self.emptied() | {name}) <= minority
        self.went[name] = 0 if emptied or voter.unkept else voter.document.revision
        plane.kill(name, emptied)
        self.lost |= {name} if emptied else set()

    def start(self, name):
        self.plane.start(name)
        assert self.plane.members[name].document.revision >= self.went[name]

    def step(self):
        plane, random = self.plane, self.random
        alive = [name for name in plane.members if name not in plane.stopped]
        dead = [name for name in plane.names if name not in plane.members]
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
            "weather": 3,
            "all": 1,
        }
        if self.racing:
            kinds |= {"submit": 25, "lease": 25, "kill": 18, "start": 25, "full": 1, "weather": 0}
        kind = random.choices(list(kinds), list(kinds.values()))[0]
        if alive and kind == "submit":
            self.submit(random.choice(alive))
        elif alive and kind == "again":
            self.ask_again(random.choice(alive))
        elif alive and kind == "lease":
            self.lease(random.choice(alive))
        elif alive and kind == "kill":
            self.kill(random.choice(alive))
        elif dead and kind == "start":
            self.start(random.choice(dead))
        elif alive and kind == "stop":
            plane.stop(random.choice(alive))
        elif plane.stopped and kind == "go on":
            plane.go_on(random.choice(sorted(plane.stopped)))
        elif kind == "full":
            plane.full ^= {random.choice(plane.names)}
        elif kind == "cut":
            side = {name for name in plane.names if random.random() < 0.4}
            plane.cut = random.choice(
                (
                    lambda a, b: False,
                    lambda a, b: (a in side) != (b in side),
                    lambda a, b: a in side and b not in side,
                )
            )
        elif kind == "weather":
            plane.conditions = Conditions(
                random.choice((0.0, 0.05, 0.3)),
                random.choice((0.0, 0.3)),
                random.choice(((0.001, 0.002), (0.001, 0.3), (0.0, 2.0))),
            )
        elif kind == "all":
            for name in list(plane.members):
                self.went[name] = 0 if plane.members[name].voter.unkept else plane.seen[name]
                plane.kill(name)
            for name in plane.names:
                self.start(name)
        plane.run(random.choice((0.0, 0.002, 0.01, 0.1, 0.5, 1.5)))
        self.close()

    def heal(self):
        """Faults end; one holds the lease."""
        plane = self.plane
        plane.cut, plane.conditions = lambda a, b: False, Conditions()
        plane.full.clear()
        for name in list(plane.stopped):
            plane.go_on(name)
        for name in plane.names:
            if name not in plane.members:
                self.start(name)
        leader = self.random.choice(plane.names)
        plane.give(leader, self.token + 1)
        plane.until(lambda: plane.leading(leader) and all(m.voter.voting for m in plane.members.values()), 60)
        return leader

    def play(self, steps):
        plane = self.plane
        self.lease(plane.names[0])
        for _ in range(steps):
            self.step()
        leader = self.heal()
        plane.until(lambda: not [self.close(), *self.open][1:], 30)
        for change_id in self.changes:
            if not self.settled(change_id):
                self.plane.told(self.random.choice(plane.names), self.changes[change_id])
        result = plane.told(leader, plane.change({"last": b"1"}, leader))
        while result.outcome is Outcome.REFUSED:  # the check is fickle
            result = plane.told(leader, plane.change({"last": b"1"}, leader))
        assert result.outcome is Outcome.COMMITTED
        plane.until(lambda: len({m.document.revision for m in plane.members.values()}) == 1)
        self.judge()

    def judge(self):
        """All that was told is true."""
        plane, ids = self.plane, self.plane.ids()
        assert sorted(plane.truth) == list(range(1, len(ids) + 1))
        assert len(set(ids)) == len(ids), "a change is in it twice"
        for change_id, results in plane.outcomes.items():
            final = {(r.outcome, r.revision) for r in results if r.outcome is not Outcome.UNKNOWN}
            assert len(final) <= 1 or all(o is Outcome.LOST for o, _ in final), final
            for result in results:
                if result.outcome is Outcome.COMMITTED:
                    assert plane.truth[result.revision].change.id == change_id
                elif result.outcome in (Outcome.LOST, Outcome.REFUSED):
                    assert change_id not in ids, f"told {result}"
                if result.outcome is Outcome.LOST:
                    change, other = self.changes[change_id], plane.truth[result.revision].change
                    assert result.revision > change.base and change.touched() & other.touched()


@pytest.mark.parametrize("number", [3, 5, 9])
def test_all_that_is_told_is_true_whatever_fails(number):
    for seed in range(2000 if LONG else 40):
        try:
            Storm(seed, number).play(60)
        except BaseException:
            print(f"seed {seed} with {number} members")
            raise
