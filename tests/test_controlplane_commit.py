"""Agreement among members: each hard case by itself, and seeded schedules of faults, seen from outside."""
from __future__ import annotations

import heapq
import os
from dataclasses import dataclass
from random import Random

import msgspec

from willownotch.controlplane.commit import CommitPace, Commits, Message, Outcome, Record
from willownotch.controlplane.document import Change, Document

LONG = bool(os.environ.get("WILLOWNOTCH_LONG"))
ENCODE = msgspec.msgpack.Encoder().encode
DECODE, READ = msgspec.msgpack.Decoder(Message).decode, msgspec.msgpack.Decoder(Record).decode
PACE = CommitPace(patience=3.0, queue=4)


@dataclass
class Weather:
    loss: float = 0.0
    double: float = 0.0
    delay: tuple[float, float] = (0.001, 0.002)


class Plane:
    """Members, their folders, what is on its way, and who believes to hold the lease."""

    def __init__(self, number=5, seed=1, pace=PACE, history=4096, check=lambda name, document, change: None,
                 bootstrap=True):
        self.random, self.pace, self.history, self.check = Random(seed), pace, history, check
        self.names = tuple(f"m{n}" for n in range(number))
        self.now, self.weather, self.cut = 0.0, Weather(), lambda a, b: False
        self.folders = {name: [] for name in self.names}
        self.full, self.stopped, self.uids, self.sent = set(), set(), 0, 0
        self.members, self.lease, self.wire, self.late = {}, {}, [], {name: [] for name in self.names}
        self.truth = {}  # revision -> commit, as first seen anywhere
        self.digests = {0: Document().digest}
        self.outcomes = {}  # change id -> results
        self.seen = dict.fromkeys(self.names, 0)  # revision of each
        self.said, self.watch = [], lambda source, target, message: True
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
        self.members[name] = Commits(
            name, self.uids * 1000 + self.random.randrange(1000), self.names, document, keep, self.now,
            Random(self.random.random()), self.pace, lambda of, change: self.check(name, of, change),
            [READ(data) for data in folder], bootstrap)
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
            for _ in range(1 + (self.random.random() < self.weather.double)):
                if self.random.random() >= self.weather.loss and not self.cut(source, send.name):
                    at = self.now + self.random.uniform(*self.weather.delay)
                    heapq.heappush(self.wire, (at, self.sent, self.random.random(), source, send.name,
                                               ENCODE(send.message)))
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
        self.said += member.said
        member.results.clear()
        member.committed.clear()
        member.said.clear()
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
