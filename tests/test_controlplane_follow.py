"""Followers and members in simulated time, where the other side is slow, silent, behind or wrong."""

from collections import Counter
from datetime import timedelta
from random import Random

import msgspec
import pytest

from willownotch.controlplane import wire
from willownotch.controlplane.comparison import FIRST_PART, Comparison
from willownotch.controlplane.document import Change, Commit, Delta, Document
from willownotch.controlplane.fetching import WINDOW_PIECES, PartFetcher
from willownotch.controlplane.follower import Follower, rank_members
from willownotch.controlplane.held import MAX_STEPS, HeldDocument
from willownotch.controlplane.serving import RECENT_ARRIVAL_S, REMEMBERED_FACTOR, FollowerService
from willownotch.controlplane.settings import FollowedSettings, FollowSettings, MemberSettings
from willownotch.controlplane.simulated import MEMBERS, ZONES, Conditions, Plane
from willownotch.controlplane.token_bucket import TokenBucket
from willownotch.controlplane.wire import (
    MAX_DATAGRAM_BYTES,
    Fetch,
    FollowerCounts,
    Leave,
    Part,
    PartKind,
    Piece,
    Poll,
    PollReply,
    Push,
    RefusalReason,
    Refused,
    SnapshotDigests,
    UpdateMethod,
)

SETTINGS = FollowSettings(
    zone="z1",
    region="east",
    member={
        "near": FollowedSettings(("near", 1), "z1", "east"),
        "beside": FollowedSettings(("beside", 1), "z2", "east"),
        "far": FollowedSettings(("far", 1), "z4", "west"),
    },
)


def commit(document, sets, removes=(), token=None):
    number = document.revision + 1
    change = Change(number.to_bytes(16, "big"), "a", document.revision, sets, removes)
    committed = Commit(
        number, document.token if token is None else token, change, document.digest_after(change)
    )
    document.commit(committed)
    return committed


def document_of(revisions, token=1):
    document = Document()
    for n in range(revisions):
        commit(document, {f"k{n}": b"%d" % n}, token=token)
    return document


def held_of(document):
    held = HeldDocument()
    if document.revision:
        held.advance(document.delta(0))
        held.set_in_force(document.revision)
    return held


class FollowerRig:
    """One follower with scripted members; `sent` has what it has sent."""

    def __init__(self, document=None, settings=SETTINGS, seed=1):
        self.persisted, self.can_persist, self.now, self.sent = [], True, 0.0, []
        held = held_of(document or Document())
        self.follower = Follower("s1", 7, held, settings, self.now, Random(seed), self.persist)

    def persist(self, records):
        if self.can_persist:
            self.persisted += records
        return self.can_persist

    def run(self, until, answer=lambda send: None):
        """Advance the time; `answer` may answer each datagram at once with a message."""
        while (due := self.follower.due()) <= until:
            self.now = max(self.now, due)
            self.deliver(self.follower.tick(self.now), answer)
        self.now = until

    def deliver(self, sends, answer=lambda send: None):
        self.sent += sends
        for send in sends:
            if (message := answer(send)) is not None:
                self.deliver(self.follower.receive(self.now, send.address, message), answer)

    def receive(self, message):
        sends = self.follower.receive(self.now, ("x", 1), message)
        self.sent += sends
        return sends

    def sent_messages(self, kind=Poll):
        return [send.message for send in self.sent if isinstance(send.message, kind)]


def replies_of(document, **other):
    """A function that answers polls as a member with this document does."""

    def answer(send):
        poll = send.message
        if not isinstance(poll, Poll):
            return None
        delta = document.delta(poll.revision) if poll.revision < document.revision else None
        method, data = (UpdateMethod.INLINE, wire.encode(delta)) if delta else (UpdateMethod.NOTHING, b"")
        reply = PollReply(
            poll.member,
            poll.number,
            document.revision,
            document.token,
            document.digest,
            method,
            len(data),
            data,
        )
        return msgspec.structs.replace(reply, **other)

    return answer


def only_from(member, answer):
    return lambda send: answer(send) if send.address[0] == member else None


# A fleet


@pytest.mark.parametrize(("loss", "repeat", "jitter"), [(0.0, 0.0, 0.003), (0.05, 0.1, 0.5), (0.3, 0.3, 0.5)])
def test_each_change_comes_in_force_everywhere_in_order(loss, repeat, jitter):
    plane = Plane(1, 30, Conditions(loss, jitter=jitter, repeat=repeat), entries=100)
    plane.start_all()
    for _ in range(12):
        plane.run(plane.now + 2.0)
        revision = plane.change()
    plane.until(lambda: plane.in_force(revision), 60)
    digest = plane.truth.digest
    for node in plane.followers():
        assert node.core.held.document.digest == digest
        revisions = [revision for _, revision in node.in_force_history]
        assert revisions == sorted(set(revisions))


def test_an_idle_fleet_costs_little_and_spreads_evenly():
    plane = Plane(2, 91)
    plane.start_all()
    plane.run(60.0)
    assert all(node.sent + node.received < 150 * 60 for node in plane.followers())
    counted = [len(node.core.followers) for node in plane.members()]
    assert sum(counted) == 91 and max(counted) <= 2 * 91 / 9


def test_the_same_seed_gives_the_same_run():
    def run():
        plane = Plane(5, 20, Conditions(0.2, repeat=0.1, jitter=0.2), entries=50)
        plane.start_all()
        for _ in range(4):
            plane.run(plane.now + 3.0)
            plane.change()
        plane.run(plane.now + 20.0)
        return [(node.sent, node.received, node.in_force_history) for node in plane.nodes.values()]

    assert run() == run()


def test_followers_of_a_dead_member_move_and_come_back():
    plane = Plane(3, 40, follow=FollowSettings(home=timedelta(seconds=20)))
    plane.start_all()
    plane.run(10.0)
    theirs = set(plane.nodes["c0"].core.followers)
    assert theirs
    plane.kill("c0")
    plane.run(25.0)
    revision = plane.change()
    plane.until(lambda: plane.in_force(revision), 11.0)
    assert all(plane.nodes[name].core.member == "c1" for name in theirs)  # the other member of the zone
    assert all(node.core.member != "c0" for node in plane.followers())
    plane.start_member("c0")
    plane.until(lambda: set(plane.nodes["c0"].core.followers) == theirs, 120.0)
    plane.run(plane.now + 5.0)
    view = plane.nodes["c1"].core.status(plane.now)
    assert (
        view.known == 40 and view.unheard == 0 and not view.missing
    )  # each is counted once, whichever member it follows


def test_followers_of_a_region_that_is_cut_off_go_on_and_report_since_when():
    plane = Plane(4, 30, entries=20)
    plane.start_all()
    plane.run(10.0)
    plane.conditions.cut = lambda a, b: ZONES[a] != ZONES[b]
    revision = plane.change()
    plane.run(40.0)
    west = [node for node in plane.followers() if ZONES[node.zone] == "west"]
    east = [node for node in plane.followers() if ZONES[node.zone] == "east"]
    assert {node.core.held.in_force for node in east} == {revision}
    assert {node.core.held.in_force for node in west} == {revision - 1}
    assert all(ZONES[MEMBERS[node.core.member]] == "west" for node in west)  # served, if with an old revision
    assert all(25.0 < node.core.unheard_s(plane.now) < 35.0 for node in west)
    assert all(node.core.unheard_s(plane.now) < 5.0 for node in east)
    plane.conditions.cut = lambda a, b: False
    plane.until(lambda: plane.in_force(revision), 11.0)
    plane.run(plane.now + 5.0)
    assert all(node.core.unheard_s(plane.now) < 5.0 for node in west)


def test_a_follower_looks_for_a_member_that_hears_a_majority():
    plane = Plane(5, 20, entries=20)
    plane.start_all()
    plane.run(10.0)
    isolated_zones, followers = {"z1"}, [node for node in plane.followers() if node.zone == "z1"]
    real = plane.is_isolated
    # Isolated from members, not from followers.
    plane.is_isolated = lambda node: node.zone in isolated_zones or real(node)
    plane.run(50.0)
    revision = plane.change()
    plane.until(lambda: plane.in_force(revision), 11.0)
    assert all(MEMBERS[node.core.member] not in isolated_zones for node in followers)
    isolated_zones.clear()
    plane.run(200.0)
    assert all(MEMBERS[node.core.member] == "z1" for node in followers)


@pytest.mark.parametrize("empty", [False, True])
def test_followers_started_at_once_are_admitted_at_the_rate_of_each_member(empty):
    plane = Plane(6, 200, member=MemberSettings(admissions=10), entries=20)
    plane.start_all()
    plane.run(15.0)
    for node in plane.followers():
        plane.kill(node.name)
    for name in MEMBERS:
        plane.kill(name)
        plane.start_member(name)
    began = plane.now
    plane.start_all(empty)
    while plane.now < began + 8.0:
        plane.run(plane.now + 1.0)
        for node in plane.members():
            assert node.core.counters["admitted"] <= 10 * (plane.now - began + 1.0)
    assert sum(node.core.counters["refused: rate"] for node in plane.members()) > 0
    plane.until(lambda: plane.in_force(plane.truth.revision), 11.0)
    revision = plane.change()
    plane.until(lambda: plane.in_force(revision), 11.0)


def test_a_member_that_is_full_sends_the_others_on():
    plane = Plane(7, 40, member=MemberSettings(most_followers=8), spread=lambda n: "z1")
    plane.start_all()
    plane.run(60.0)
    assert all(len(node.core.followers) <= 8 for node in plane.members())
    assert sum(len(node.core.followers) for node in plane.members()) == 40


def test_whole_copies_are_served_a_few_at_once_in_the_order_asked_for():
    plane = Plane(8, 12, member=MemberSettings(copies=2, rate=200_000), entries=1500, spread=lambda n: "z5")
    plane.nodes["c8"].core.settings = plane.member
    plane.start_all(empty=True)
    most = 0
    while not plane.in_force(1):
        plane.run(plane.now + 0.5)
        most = max(most, len(plane.nodes["c8"].core._copies))
        assert plane.now < 120.0
    assert most == 2 and plane.nodes["c8"].core.counters["copies"] == 12
    assert plane.nodes["c8"].core.counters["refused: copies"] > 0
    sent = plane.nodes["c8"].sent
    assert sent / plane.now < 200_000 * 1.1
    assert {node.core.held.document.digest for node in plane.followers()} == {plane.truth.digest}


def test_a_whole_copy_outlives_loss_changes_and_its_member():
    plane = Plane(9, 1, Conditions(0.2, repeat=0.1, jitter=0.1), entries=3000)
    plane.start_all(empty=True)
    plane.until(lambda: len(plane.nodes["s0"].core._buckets) > 800, 60)
    for _ in range(3):
        plane.change()
    first = plane.nodes["s0"].core.member
    had = plane.nodes["s0"].received
    plane.kill(first)
    plane.until(lambda: plane.in_force(plane.truth.revision), 90)
    node = plane.nodes["s0"]
    assert node.core.member != first and node.core.held.document.digest == plane.truth.digest
    assert node.received - had < had * 4  # pieces received before were not requested again
    assert node.core.counters["wrong digest"] == 0


def test_only_the_buckets_that_differ_are_fetched_where_the_history_is_gone():
    plane = Plane(10, 1, entries=3000)
    plane.start_all(empty=True)
    plane.until(lambda: plane.in_force(1), 60)
    node = plane.nodes["s0"]
    plane.kill("s0")
    for _ in range(10):
        plane.change()
    plane.run(plane.now + 2.0)
    for member in plane.members():
        member.document.history.clear()
    had = node.received
    plane.start("s0")
    plane.until(lambda: plane.in_force(11), 20)
    assert node.core.counters["copied"] == 1 and node.received - had < 60_000
    assert node.core.held.document.digest == plane.truth.digest


def test_a_large_change_is_fetched_in_pieces():
    plane = Plane(11, 5, Conditions(0.1, repeat=0.1, jitter=0.1))
    plane.start_all()
    plane.run(5.0)
    plane.change(size=30_000)
    plane.until(lambda: plane.in_force(1), 20)
    assert all(node.core.counters["copied"] == 0 for node in plane.followers())


def test_a_restarted_follower_begins_where_it_was_and_never_goes_back():
    plane = Plane(12, 3, entries=20)
    plane.start_all()
    plane.run(5.0)
    revision = plane.change()
    plane.until(lambda: plane.in_force(revision), 5)
    behind = plane.nodes["s0"].core.member
    for name in MEMBERS:  # no member is up
        plane.kill(name)
    plane.kill("s0")
    plane.start("s0")
    plane.run(60.0)
    follower = plane.nodes["s0"].core
    assert follower.held.in_force == revision and dict(follower.held.entries_in_force()) == dict(
        plane.truth.items()
    )
    for name in MEMBERS:  # all members with an old folder
        plane.nodes[name].document = Document()
        plane.start_member(name)
    plane._catch_up = lambda node: None
    plane.run(200.0)
    assert follower.held.in_force == revision and follower.counters["behind"] >= 3
    assert behind in MEMBERS


def test_a_revision_that_a_sender_cannot_apply_is_reported_and_the_last_one_stays():
    plane = Plane(13, 10, entries=20)
    plane.start_all()
    plane.run(5.0)
    first = plane.change()
    plane.until(lambda: plane.in_force(first), 5)
    bad = "s3", first + 1
    plane.refusal_of = lambda name, document: "no such place" if (name, document.revision) == bad else ""
    plane.change()
    plane.run(plane.now + 5.0)
    follower = plane.nodes["s3"].core
    assert follower.held.in_force == first and follower.held.document.revision == first + 1
    view = plane.nodes["c0"].core.status(plane.now)
    assert [(row[1], row[2], row[3]) for row in view.nacks] == [("s3", first + 1, "no such place")]
    assert view.nacked == 1 and view.in_force == {str(first + 1): 9, str(first): 1} and view.lagging == 1
    plane.kill("s3")
    plane.start("s3")  # begins with the last revision in force
    assert plane.nodes["s3"].core.held.in_force == first
    third = plane.change()  # the next one can be applied
    plane.until(lambda: plane.in_force(third), 8)
    plane.run(plane.now + 2.0)
    assert plane.nodes["c0"].core.status(plane.now).nacked == 0


# Members that are slow, silent, behind or wrong


def test_a_member_of_the_own_zone_is_asked_first_then_of_the_own_region():
    assert rank_members("s1", SETTINGS) == ["near", "beside", "far"]
    names = {f"m{n}": FollowedSettings(("m", n), "z1", "east") for n in range(4)}
    settings = msgspec.structs.replace(SETTINGS, member=names)
    firsts = Counter(rank_members(f"s{n}", settings)[0] for n in range(400))
    assert min(firsts.values()) > 60
    fewer = msgspec.structs.replace(settings, member={n: m for n, m in names.items() if n != "m2"})
    for n in range(100):  # only followers of the removed member move
        assert rank_members(f"s{n}", fewer) == [
            name for name in rank_members(f"s{n}", settings) if name != "m2"
        ]


def test_three_polls_without_an_answer_and_another_is_followed():
    rig = FollowerRig()
    rig.run(2.0, replies_of(Document()))
    assert rig.follower.member == "near"
    rig.sent.clear()
    rig.run(20.0, only_from("beside", replies_of(Document())))
    polls = [poll.member for poll in rig.sent_messages()]
    assert polls[:4] == ["near", "near", "near", "beside"] and rig.follower.member == "beside"


def test_without_a_member_it_polls_seldom_and_goes_on():
    rig = FollowerRig(document_of(3))
    rig.run(600.0)
    late = [poll for poll in rig.sent_messages() if poll.number > 40]
    assert late and len(rig.sent_messages()) < 600 / 3
    assert rig.follower.held.in_force == 3 and rig.follower.unheard_s(600.0) == 600.0


def test_a_refusal_is_obeyed_until_its_delay_is_over():
    rig = FollowerRig()
    times = []

    def answer(send):
        times.append((round(rig.now, 6), send.address[0]))
        if send.address[0] == "near" and len(times) == 1:
            return Refused("near", send.message.number, RefusalReason.RATE, 4000)
        return replies_of(Document())(send) if send.address[0] == "near" else None

    rig.run(6.0, answer)
    assert [name for _, name in times[:2]] == ["near", "near"] and times[1][0] - times[0][0] >= 4.0
    rig = FollowerRig()
    rig.run(
        10.0,
        lambda send: Refused("near", send.message.number, RefusalReason.FULL, 25_000)
        if send.address[0] == "near"
        else replies_of(Document())(send),
    )
    assert rig.follower.member == "beside" and [p.member for p in rig.sent_messages()].count("near") == 1


def test_an_older_revision_is_not_accepted_and_its_member_is_left():
    rig = FollowerRig(document_of(5))
    old = document_of(3)
    rig.run(30.0, lambda send: replies_of(old if send.address[0] == "near" else document_of(5))(send))
    assert rig.follower.member == "beside" and rig.follower.held.document.revision == 5
    assert rig.follower.counters["behind"] == 3 and not rig.follower.offered
    assert rig.follower.unheard_s(rig.now) < 5.0


def test_a_higher_revision_of_a_lower_token_is_not_accepted():
    rig = FollowerRig(document_of(3, token=9))
    other = document_of(5, token=4)
    rig.run(8.0, replies_of(other))
    assert rig.follower.held.document.revision == 3 and not rig.follower.offered
    rig.receive(Push(rig.follower.member, 5, 4, wire.encode(other.delta(3))))
    assert rig.follower.held.document.revision == 3


def test_the_same_revision_with_another_digest_is_not_accepted():
    rig = FollowerRig(document_of(3))
    wrong = replies_of(document_of(3), digest=bytes(16))
    rig.run(10.0, lambda send: (wrong if send.address[0] == "near" else replies_of(document_of(3)))(send))
    assert rig.follower.member == "beside" and rig.follower.counters["disagrees"] == 1
    assert [poll.member for poll in rig.sent_messages()].count("near") == 1


def test_a_wrong_difference_changes_nothing_and_the_digests_are_fetched():
    rig, right = FollowerRig(document_of(3)), document_of(4)
    delta = msgspec.structs.replace(right.delta(3), sets={"k3": b"forged"})
    before = rig.follower.held.document.digest
    rig.run(2.0, replies_of(right, delta=wire.encode(delta)))
    assert rig.follower.held.document.digest == before and not rig.follower.offered and not rig.persisted
    assert [fetch.part.kind for fetch in rig.sent_messages(Fetch)][:1] == [PartKind.GROUPS]
    fetch = rig.sent_messages(Fetch)[0]
    forged = wire.encode(SnapshotDigests(4, 1, right.digest, b"".join(document_of(5).groups())))
    rig.receive(Piece("near", fetch.number, 0, 1, forged))
    assert rig.follower.member is None and rig.follower.counters["wrong digest"] == 2
    rig.run(12.0, replies_of(right))
    assert rig.follower.member == "beside" and rig.follower.held.document.digest == right.digest


def compare(document, buckets):
    """Compare with a snapshot of three entries down to the buckets; returns the parts of entries to fetch."""
    snapshot = document_of(3)
    comparison = Comparison(document, buckets)
    part = FIRST_PART
    for _ in range(2):
        (part, _), *more = comparison.on_part(part, FollowerService._encoded(snapshot, part))
    return snapshot, comparison, [part, *(one for one, _ in more)]


def test_entries_that_do_not_match_their_digest_or_bucket():
    snapshot, comparison, parts = compare(Document(), {})
    entries = wire.read_entries(FollowerService._encoded(snapshot, parts[0]))
    for wrong in ({key: b"forged" for key in entries}, {}, entries | {"elsewhere": b"1"}):
        with pytest.raises(ValueError, match="another"):
            comparison.on_part(parts[0], wire.encode(wrong))
    for part in parts:
        assert comparison.on_part(part, FollowerService._encoded(snapshot, part)) == []
    assert comparison.is_complete() and dict(comparison.delta().sets) == dict(snapshot.items())


def test_buckets_that_were_fetched_are_not_asked_for_again():
    snapshot, first, parts = compare(Document(), buckets := {})
    first.on_part(parts[0], FollowerService._encoded(snapshot, parts[0]))
    _, second, again = compare(Document(), buckets)
    assert len(parts) == 3 and again == parts[1:]
    for part in again:
        second.on_part(part, FollowerService._encoded(snapshot, part))
    assert second.is_complete() and dict(second.delta().sets) == dict(snapshot.items())


def test_digests_of_an_unapplicable_snapshot_count_as_wrong():
    rig = FollowerRig(document_of(3))
    core = FollowerService("near", document_of(2, token=5), MemberSettings(), 0.0, Random(1))

    def carry(sends):
        for send in sends:
            if send.address[0] != "near":
                continue
            for reply in core.receive(rig.now, ("s1", 1), send.message):
                message = reply.message
                if isinstance(message, PollReply):
                    message = msgspec.structs.replace(message, revision=9, method=UpdateMethod.TREE)
                carry(rig.follower.receive(rig.now, ("near", 1), message))

    while rig.now < 2.0:
        rig.now = max(rig.now, rig.follower.due())
        carry(rig.follower.tick(rig.now))
    assert rig.follower.counters["copied"] == rig.follower.counters["wrong digest"] == 1
    assert rig.follower.member != "near" and rig.follower.held.document.revision == 3


@pytest.mark.parametrize(
    "data", [b"", b"\xc1", b"\x93\x01\x02\x03", wire.encode(document_of(1).delta(0)) + b"x"]
)
def test_undecodable_data_counts_as_wrong(data):
    rig = FollowerRig(document_of(3))
    rig.run(2.0, replies_of(document_of(4), delta=data))
    assert rig.follower.held.document.revision == 3 and rig.follower.counters["wrong digest"] == 1


def test_a_revision_that_is_announced_and_never_delivered():
    for method in (UpdateMethod.NOTHING, UpdateMethod.DELTA, UpdateMethod.TREE):
        rig, right = FollowerRig(document_of(3)), document_of(4)
        lie = replies_of(right, method=method, size=5000, delta=b"", revision=9)
        rig.run(
            60.0,
            lambda send, lie=lie, right=right: (lie if send.address[0] == "near" else replies_of(right))(
                send
            ),
        )
        assert rig.follower.counters["undelivered"] == 1, method
        assert rig.follower.member == "beside" and rig.follower.held.document.digest == right.digest


def test_a_member_that_says_it_is_busy_is_waited_for_but_not_for_ever():
    rig, right = FollowerRig(document_of(3)), document_of(4)

    def answer(send):
        if send.address[0] != "near":
            return replies_of(right)(send)
        if isinstance(send.message, Fetch):
            return Refused("near", send.message.number, RefusalReason.BUSY, 1500)
        return (
            replies_of(right, method=UpdateMethod.DELTA, size=5000, delta=b"", revision=9)(send)
            if isinstance(send.message, Poll)
            else None
        )

    rig.run(100.0, answer)
    assert rig.follower.member == "near" and rig.follower.counters["told to wait"] > 10
    rig.run(150.0, answer)
    assert rig.follower.member == "beside" and rig.follower.counters["undelivered"] == 1


def test_only_messages_of_the_member_followed_are_handled():
    rig, right = FollowerRig(document_of(3)), document_of(4)
    rig.run(2.0, replies_of(document_of(3)))
    rig.receive(Push("far", 4, 1, wire.encode(right.delta(3))))
    assert rig.follower.held.document.revision == 3 and rig.follower.counters["not followed"] == 1
    rig.receive(Push("near", 4, 1, wire.encode(right.delta(3))))
    rig.receive(Push("near", 4, 1, wire.encode(right.delta(3))))  # a duplicate
    assert rig.follower.held.document.revision == 4 and len(rig.follower.offered) == 1


def test_a_late_answer_is_ignored():
    rig = FollowerRig(document_of(3))
    rig.run(8.0, replies_of(document_of(3)))
    number = rig.sent_messages()[0].number
    rig.receive(PollReply("near", number, 9, 9, bytes(16), UpdateMethod.DELTA, 5000))
    rig.receive(PollReply("near", 10_000, 9, 9, bytes(16), UpdateMethod.DELTA, 5000))
    assert rig.follower.counters["late"] == 2 and not rig.sent_messages(Fetch)


def test_a_difference_from_before_the_held_revision_is_applied():
    rig, right = FollowerRig(document_of(3)), document_of(6)
    rig.run(2.0, replies_of(document_of(3)))
    rig.receive(Push("near", 6, 1, wire.encode(right.delta(1))))
    assert rig.follower.held.document.digest == right.digest
    later = document_of(9)
    rig.receive(Push("near", 9, 1, wire.encode(later.delta(8))))  # one from a later revision is not
    assert rig.follower.held.document.revision == 6 and rig.follower.counters["gap"] == 1


def test_nothing_is_offered_before_it_is_stored():
    rig, right = FollowerRig(document_of(3)), document_of(4)
    rig.can_persist = False
    rig.run(10.0, replies_of(right))
    assert not rig.follower.offered and {poll.revision for poll in rig.sent_messages()} == {3}
    assert rig.follower.counters["not kept"] > 1
    rig.can_persist = True
    rig.run(20.0, replies_of(right))
    assert [offer.revision for offer in rig.follower.offered] == [4] and rig.sent_messages()[-1].revision == 4
    assert (
        HeldDocument.restored([*document_records(document_of(3)), *rig.persisted]).document.digest
        == right.digest
    )


def document_records(document):
    return held_of(document).compacted_records()


def test_a_stopped_follower_tells_its_member():
    rig = FollowerRig()
    rig.run(2.0, replies_of(Document()))
    assert [send.message for send in rig.follower.stop(rig.now)] == [Leave("s1", 7, "near")]


def test_changed_settings_move_it_off_a_removed_member():
    rig = FollowerRig()
    rig.run(2.0, replies_of(Document()))
    fewer = {name: member for name, member in SETTINGS.member.items() if name != "near"}
    rig.follower.configure(msgspec.structs.replace(SETTINGS, member=fewer), rig.now)
    rig.run(8.0, replies_of(Document()))
    assert rig.follower.member == "beside"


# Held documents


def test_entries_in_force_and_entries_held_are_kept_apart():
    source, held, records = Document(), HeldDocument(), []
    states = {0: {}}
    for n in range(6):
        commit(source, {"a": b"%d" % n, f"b{n}": b"1"}, (f"b{n - 1}",) if n else ())
        delta = source.delta(n)
        held.advance(delta)
        records += delta_records(delta)
        states[n + 1] = dict(source.items())
        if n == 2:
            held.set_in_force(2)
            records.append(msgspec.msgpack.encode(["x"]))
            records.pop()
            records += in_force_records(2)
    for one in (held, HeldDocument.restored(records), HeldDocument.restored(held.compacted_records())):
        assert one.in_force == 2 and dict(one.entries_in_force()) == states[2]
        assert dict(one.document.items()) == states[6] and one.document.digest == source.digest
        assert one.get_in_force("a") == b"1" and one.get_in_force("b5") is None
        assert one.changed_keys() >= {"a", "b1", "b5"}
    with pytest.raises(ValueError, match="not held"):
        held.set_in_force(1)
    with pytest.raises(ValueError, match="not held"):
        held.set_in_force(7)
    held.set_in_force(6)
    again = HeldDocument.restored(held.compacted_records())
    assert dict(again.entries_in_force()) == states[6] and again.in_force == 6 and not again.steps


def delta_records(delta):
    from willownotch.controlplane.held import step_records

    return step_records(delta)


def in_force_records(revision):
    from willownotch.controlplane.held import InForce, encode

    return [encode(InForce(revision))]


def test_an_incomplete_step_in_the_folder_is_ignored():
    source = Document()
    commit(source, {f"k{n}": bytes(100) for n in range(4000)})
    records = delta_records(source.delta(0))
    assert len(records) > 3 and max(map(len, records)) < 256 * 1024
    assert HeldDocument.restored(records).document.digest == source.digest
    assert HeldDocument.restored(records[:-1]).document.revision == 0
    with pytest.raises(ValueError):
        HeldDocument.restored(records[1:])
    with pytest.raises(ValueError, match="cannot be read"):
        HeldDocument.restored([b"\xc1"])


def test_steps_that_are_not_in_force_are_bounded():
    source, held = Document(), HeldDocument()
    for n in range(MAX_STEPS + 20):
        commit(source, {"a": b"%d" % n, f"k{n}": b"1"})
        held.advance(source.delta(n))
        if n == 9:
            held.set_in_force(10)
    assert len(held.steps) == MAX_STEPS and held.get_in_force("a") == b"9"
    assert dict(held.entries_in_force()) == {"a": b"9"} | {f"k{n}": b"1" for n in range(10)}


# The member's side


class Member:
    """A `FollowerService` with scripted followers."""

    def __init__(self, revisions=3, **settings):
        self.document = document_of(revisions)
        self.core = FollowerService("near", self.document, MemberSettings(**settings), 0.0, Random(1))

    def poll(self, now, name="s1", revision=0, number=None, uid=7, **more):
        number = int(now * 1000) if number is None else number
        poll = Poll(
            name,
            uid,
            number,
            "near",
            3000,
            revision,
            1 if revision else 0,
            more.pop("in_force", revision),
            **more,
        )
        return [send.message for send in self.core.receive(now, (name, 1), poll)]

    def fetch(self, now, part, pieces=(0,), name="s1", number=1):
        fetch = Fetch(name, "near", number, part, pieces)
        return [send.message for send in self.core.receive(now, (name, 1), fetch)]


def test_a_poll_is_answered_with_the_missing_difference():
    member = Member()
    (reply,) = member.poll(0.0, revision=1)
    delta = wire.read_delta(reply.delta)
    assert (reply.method, reply.revision, delta.since, delta.revision) == (UpdateMethod.INLINE, 3, 1, 3)
    assert member.poll(1.0, revision=3)[0].method is UpdateMethod.NOTHING
    assert member.poll(2.0, revision=9)[0].method is UpdateMethod.NOTHING
    member.document.history.clear()
    assert member.poll(3.0, revision=1)[0].method is UpdateMethod.TREE
    commit(member.document, {"big": bytes(5000)})
    (reply,) = member.poll(4.0, revision=3)
    assert reply.method is UpdateMethod.DELTA and reply.size > 5000
    pieces = member.fetch(4.0, Part(PartKind.DELTA, 4, 3), (0, 1, 2, 3, 4, 9))
    assert [piece.piece for piece in pieces] == [0, 1, 2, 3, 4] and {p.pieces for p in pieces} == {5}
    assert isinstance(wire.read_delta(b"".join(piece.data for piece in pieces)), Delta)


def test_a_commit_is_pushed_within_the_rate():
    member = Member(rate=4096)
    for n in range(40):
        member.poll(n * 0.1, f"s{n}", revision=3)
    committed = commit(member.document, {"new": bytes(200)})
    now, times = 10.0, []
    sends = member.core.committed(now, committed)
    while len(times) < 40:
        times += [now for send in sends if isinstance(send.message, Push)]
        now = max(now, member.core.due())
        sends = member.core.tick(now)
        assert now < 60.0
    assert 40 * 300 / 4096 * 0.6 < times[-1] - 10.0 < 40 * 400 / 4096 * 1.5
    for n in range(40):
        assert sum(isinstance(m, Push) for m in member.poll(now, f"s{n}", revision=4)) == 0


def test_a_push_that_is_not_acknowledged_is_repeated_a_few_times():
    member = Member()
    for name in ("s1", "s2"):
        member.poll(0.0, name, revision=3)
    sends = member.core.committed(1.0, commit(member.document, {"new": b"1"}))
    assert [send.address[0] for send in sends] == ["s1", "s2"]
    member.poll(1.5, "s1", revision=4)
    pushed = []
    for tenth in range(11, 100):
        pushed += [(tenth / 10, send.address[0]) for send in member.core.tick(tenth / 10)]
    assert pushed == [(2.0, "s2"), (3.0, "s2")]


def test_a_follower_that_asks_too_often_is_not_answered():
    member = Member()
    answers = [len(member.poll(0.0, number=n)) for n in range(500)]
    assert sum(answers) <= 101 and member.core.counters["too often"] == 500 - sum(answers)
    assert member.poll(3.0, "s2")


def test_refused_followers_get_successive_slots():
    member = Member(admissions=10)
    refused = []
    for n in range(100):
        (answer,) = member.poll(0.0, f"s{n}")
        if isinstance(answer, Refused):
            refused.append((answer.after_ms, n))
    assert len(refused) == 90 and [ms for ms, _ in refused] == sorted({ms for ms, _ in refused})
    assert refused[-1][0] == 9000
    assert member.poll(0.0, "s99")[0].after_ms == 9000  # polling again changes nothing
    for ms, n in refused:
        assert isinstance(member.poll(ms / 1000 + 0.01, f"s{n}")[0], PollReply)
    crowd = [member.poll(20.0, f"t{n}")[0] for n in range(400)]
    late = {
        reason: [
            answer.after_ms for answer in crowd if isinstance(answer, Refused) and answer.reason is reason
        ]
        for reason in (RefusalReason.RATE, RefusalReason.FULL)
    }
    assert (
        late[RefusalReason.FULL]
        and max(late[RefusalReason.FULL]) <= 45_000
        and max(late[RefusalReason.RATE]) <= 30_000
    )
    assert len(member.core._slots) <= 310


def test_a_probe_does_not_make_a_follower():
    member = Member()
    (reply,) = member.poll(0.0, probe=True, revision=1)
    assert reply.method is UpdateMethod.NOTHING and not member.core.followers
    assert member.core.counts(0.0).followers == 0


def test_a_copy_needs_a_slot_and_slots_are_released():
    member = Member(copies=1)
    for name in ("s1", "s2", "s3"):
        member.poll(0.0, name)
    groups = Part(PartKind.GROUPS, 0)
    assert isinstance(member.fetch(0.0, groups, name="s1")[0], Piece)
    for name in ("s2", "s3"):
        (answer,) = member.fetch(0.1, groups, name=name)
        assert answer.reason is RefusalReason.COPIES
    assert (
        member.fetch(0.2, Part(PartKind.BUCKETS, 3, 0, 1), name="s2")[0].reason is RefusalReason.GONE
    )  # a copy is not begun this way either
    assert member.fetch(0.2, Part(PartKind.BUCKETS, 2, 0, 1), name="s1")[0].reason is RefusalReason.GONE
    member.poll(5.0, "s1", revision=3)  # its copy is complete
    assert member.fetch(5.1, groups, name="s3")[0].reason is RefusalReason.COPIES  # s2 was first
    assert isinstance(member.fetch(5.2, groups, name="s2")[0], Piece)
    for at in (9.0, 13.0):
        member.fetch(at, groups, name="s3")
    member.core.tick(16.0)  # s2 was silent and lost its slot
    assert isinstance(member.fetch(16.1, groups, name="s3")[0], Piece)


def test_a_snapshot_is_shared_while_it_is_newer_than_what_followers_hold():
    member = Member()
    tops = []
    for name, revision in (("s1", 0), ("s2", 1), ("s3", 3)):
        member.poll(0.0, name, revision=revision)
        (piece,) = member.fetch(0.0, Part(PartKind.GROUPS, 0), name=name)
        tops.append(wire.read_snapshot_digests(piece.data).revision)
        if name == "s2":
            commit(member.document, {"new": b"1"})
    assert tops == [3, 3, 4]  # s3 holds the shared snapshot's revision already


@pytest.mark.parametrize(
    "part",
    [
        Part(PartKind.DELTA, 3, 99),
        Part(PartKind.DELTA, 1 << 60, 1),
        Part(PartKind.ENTRIES, 3, 64, 1),
        Part(PartKind.ENTRIES, 3, -1, 1),
        Part(PartKind.ENTRIES, 3, 0, 1 << 64),
        Part(PartKind.ENTRIES, 3, 0, -1),
    ],
)
def test_a_part_that_does_not_exist(part):
    member = Member()
    member.poll(0.0)
    member.fetch(0.0, Part(PartKind.GROUPS, 0))
    (answer,) = member.fetch(0.1, part)
    assert answer.reason is RefusalReason.GONE
    assert member.fetch(0.1, part, name="stranger") == []


def test_pieces_that_wait_are_bounded():
    member = Member(rate=4096)
    member.poll(0.0)
    commit(member.document, {"big": bytes(60_000)})
    member.poll(0.1, revision=3)
    part, answers = Part(PartKind.DELTA, 4, 3), []
    for first in range(0, 48, 16):
        answers += member.fetch(0.2, part, tuple(range(first, first + 16)))
    assert isinstance(answers[-1], Refused) and answers[-1].reason is RefusalReason.BUSY
    assert len(member.core._pieces) <= 64
    other = Member(rate=4096)
    other.poll(0.0)
    commit(other.document, {"big": bytes(60_000)})
    other.poll(0.1, revision=3)
    for _ in range(4):  # the same pieces are queued already
        answers = other.fetch(0.2, part, tuple(range(16)))
        assert not any(isinstance(answer, Refused) for answer in answers)
    assert len(other.core._pieces) <= 16


def test_counts_name_who_lags_who_refused_and_who_is_unheard():
    member = Member()
    member.poll(0.0, "s1", revision=3)
    member.poll(0.0, "s2", revision=3, in_force=2)
    member.poll(0.0, "s3", revision=3, in_force=2, refused=3, text="no")
    member.poll(0.0, "s4", revision=3)
    for name in ("s1", "s2", "s3"):
        member.poll(
            15.0,
            name,
            revision=3,
            in_force=3 if name == "s1" else 2,
            **({"refused": 3, "text": "no"} if name == "s3" else {}),
        )
    counts = member.core.counts(20.0)
    assert (counts.followers, counts.in_force) == (4, ((3, 2), (2, 2)))
    assert sorted((one.name, one.in_force, one.for_ms) for one in counts.laggards) == [
        ("s2", 2, 20_000),
        ("s3", 2, 20_000),
    ]
    assert [(one.name, one.revision, one.text) for one in counts.nacks] == [("s3", 3, "no")]
    assert [(one.name, one.for_ms) for one in counts.unheard_names] == [("s4", 20_000)]
    member.core.tick(700.0)
    assert member.core.counts(700.0).followers == 0  # forgotten after a long silence


def test_counts_and_what_is_remembered_are_bounded():
    member = Member(admissions=10_000, most_followers=50)
    member.core._admits = lambda now, name: None
    for n in range(400):
        member.poll(n * 0.1, f"s{n}", revision=2)
        member.core.tick(n * 0.1)
        assert len(member.core.followers) <= REMEMBERED_FACTOR * 50 + 10
    member = Member(admissions=10_000, most_followers=2000)
    for n in range(2000):
        member.poll(0.0, f"s{n}", revision=3, in_force=n % 3, refused=3, text="x" * 200)
    counts = member.core.counts(1.0)
    assert counts.lagging == 2000 and counts.nacked == 2000 and len(wire.encode(counts)) < 32_000


def test_a_follower_that_went_to_another_member_is_counted_once():
    here, there = Member(), Member()
    here.poll(0.0, revision=3)
    there.core.name = "near"
    there.poll(10.0, revision=3)
    here.core.heard(11.0, "far", there.core.counts(11.0))
    assert not here.core.followers
    here.poll(12.0, revision=3)  # it came back
    here.core.heard(12.5, "far", there.core.counts(12.5))
    assert set(here.core.followers) == {"s1"}
    assert not there.core.counts(10.0 + RECENT_ARRIVAL_S + 0.1).arrived


def test_status_lists_all_members_and_the_missing_ones():
    member = Member(voters=("near", "far", "gone"))
    member.poll(0.0, revision=3)
    other = FollowerCounts("far", 2, 1, 500, 5, ((2, 3), (1, 2)), 0, 2, (), 0, (), 1, (), ())
    member.core.heard(0.0, "far", other)
    view = member.core.status(5.0)
    assert view.known == 6 and view.in_force == {"3": 1, "2": 3, "1": 2} and view.missing == ["gone"]
    assert [(row.name, row.followers, row.apart_s) for row in view.members] == [
        ("far", 5, 0.5),
        ("near", 1, 0.0),
    ]
    assert member.core.status(30.0).missing == ["far", "gone"]
    msgspec.json.encode(view)


def test_an_older_poll_that_comes_late_changes_nothing():
    member = Member()
    member.poll(1.0, revision=3, number=5)
    member.poll(2.0, revision=1, number=4)
    assert member.core.followers["s1"].in_force == 3
    member.poll(3.0, revision=2, number=1, uid=8)  # another process under the name
    assert member.core.followers["s1"].in_force == 2
    gone = Leave("s1", 7, "near")
    member.core.receive(3.1, ("s1", 1), gone)
    assert "s1" in member.core.followers  # that was the process before
    member.core.receive(3.1, ("s1", 1), msgspec.structs.replace(gone, uid=8))
    assert not member.core.followers


def test_what_is_meant_for_another_member_or_is_no_question():
    member = Member()
    assert member.core.receive(0.0, ("s1", 1), Poll("s1", 7, 1, "far", 3000, 0, 0, 0)) == []
    assert member.core.receive(0.0, ("s1", 1), PollReply("s1", 1, 9, 9, bytes(16))) == []
    assert member.core.counters == {"for another": 1, "unexpected": 1} and not member.core.followers


# Messages and pieces


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        b"\x90",
        wire.encode(["x"]),
        wire.encode([200, "x"]),
        wire.encode(Poll("", 7, 1, "near", 3000, 0, 0, 0)),
        wire.encode(Poll("s" * 101, 7, 1, "near", 3000, 0, 0, 0)),
        wire.encode(Poll("s1", 7, 1, "near", 3000, 0, 0, 0, 1, "x" * 201)),
        wire.encode(Fetch("s1", "near", 1, Part(PartKind.DELTA, 1), ())),
        wire.encode(Fetch("s1", "near", 1, Part(PartKind.DELTA, 1), tuple(range(17)))),
        wire.encode(Refused("near", 1, RefusalReason.FULL, 1))[:-1],
        wire.encode([83, "near", 1, 99, 1]),
    ],
)
def test_bytes_that_are_not_a_message(data):
    with pytest.raises((msgspec.DecodeError, UnicodeDecodeError)):
        wire.decode(data)


def test_all_messages_fit_a_datagram():
    name, large = "n" * 100, (1 << 63) - 1
    for message in (
        Poll(name, large, large, name, large, large, large, large, large, "x" * 200, True),
        PollReply(
            name,
            large,
            large,
            large,
            bytes(16),
            UpdateMethod.INLINE,
            large,
            bytes(wire.MAX_INLINE_BYTES),
            large,
        ),
        Push(name, large, large, bytes(wire.MAX_INLINE_BYTES)),
        Piece(name, large, large, large, bytes(wire.PIECE_BYTES)),
        Fetch(name, name, large, Part(PartKind.ENTRIES, large, 63, (1 << 64) - 1), (large,) * 16),
    ):
        data = wire.encode(message)
        assert wire.decode(data) == message and len(data) + 32 <= MAX_DATAGRAM_BYTES


def test_a_window_a_rate_and_repeats_of_what_was_lost():
    fetching = PartFetcher("s1", "near", 10_000, 1.0, 0.0, 0)
    fetching.add_part(Part(PartKind.DELTA, 2, 1), 100)
    first = [piece for fetch in fetching.next_requests(0.0) for piece in fetch.pieces]
    assert first == list(range(WINDOW_PIECES)) and fetching.next_requests(0.5) == []
    for piece in first[5:]:
        fetching.on_piece(0.6, Piece("near", 1, piece, 100, b"x"))
    again = [piece for fetch in fetching.next_requests(1.0) for piece in fetch.pieces]
    assert again[:5] == first[:5] and len(again) * 1250 <= 10_000 + 1250
    assert (
        fetching.on_piece(1.0, Piece("near", 1, 3, 99, b"x")) is None
    )  # another number of pieces than before
    assert fetching.on_piece(1.0, Piece("near", 9, 3, 100, b"x")) is None  # a part that was not requested
    assert fetching.on_piece(1.0, Piece("near", 1, 100, 100, b"x")) is None
    whole = [fetching.on_piece(2.0, Piece("near", 1, piece, 100, b"%d," % piece)) for piece in range(100)]
    assert whole[-1] is not None and fetching.due() is None and not fetching.next_requests(9.0)
    assert whole[-1][1].startswith(b"0,1,2,3,4,x")
    fetching.add_part(Part(PartKind.DELTA, 3, 1), 50)
    assert fetching.next_requests(10.0)
    fetching.pause(11.0, 5.0)
    assert (
        fetching.next_requests(15.0) == []
        and fetching.due() >= 16.0
        and fetching.next_requests(16.0)[0].pieces[0] == 0
    )


def test_a_rate_is_kept_and_its_debt_is_bounded():
    rate = TokenBucket(10.0, 5.0, 0.0)
    assert sum(rate.try_spend(0.0) for _ in range(20)) == 5
    assert rate.ready_at(0.0, 1.0) == pytest.approx(0.1) and rate.try_spend(0.1)
    for _ in range(100):
        rate.spend_into_debt(0.1, 5.0)
    assert rate.available(0.1) == -10.0 and not rate.try_spend(1.0) and rate.try_spend(1.2)
