"""Leaderless usage counts: the replicated state in simulated time, under network faults and restarts."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from math import inf
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from willownotch.peers.lossy import Conditions
from willownotch.peers.node import decoder
from willownotch.usage.core import Session, Usage
from willownotch.usage.estimate import Interval, count_interval
from willownotch.usage.layer import UsageLayer
from willownotch.usage.limits import allowance, share_of_limit
from willownotch.usage.settings import UsageSettings
from willownotch.usage.settled import SettledCounts
from willownotch.usage.simulated import Fleet
from willownotch.usage.tally import Tally
from willownotch.usage.wire import (
    CountKind,
    Delta,
    DeltaReply,
    DeltaRequest,
    Row,
    SettledChunk,
    decode,
    encode,
)

KEY = b"acme", "status"
NAMES = [f"i{n}" for n in range(8)]
QUICK = UsageSettings(settle=timedelta(seconds=5), gone=timedelta(seconds=60))


def start_fleet(seed=1, conditions=None, names=NAMES, settings=QUICK, **more):
    fleet = Fleet(seed, conditions, settings, **more)
    for name in names:
        fleet.start(name, () if name == names[0] else (names[0],))
    return fleet


def inside(fleet, key=KEY):
    """Whether the interval of each instance contains the true count."""
    return [
        fleet.running[n].usage.fleet_count(fleet.own_time(n), *key).holds(fleet.truth[key])
        for n in fleet.running
    ]


@pytest.mark.parametrize(
    "conditions",
    [
        Conditions(),
        Conditions(loss=0.2, delay=0.3, jitter=0.05),
        Conditions(loss=0.5),
        Conditions(repeat=0.5, jitter=0.5),
    ],
    ids=["good", "loss and delay", "half lost", "duplicates and reordering"],
)
def test_intervals_contain_the_true_count_and_all_instances_converge(conditions):
    fleet = start_fleet(conditions=conditions)
    fleet.run(10)
    for n, name in enumerate(NAMES):
        fleet.set_load(name, KEY, 5.0 + n)
    checked, wrong = 0, 0
    fleet.run(13)
    while fleet.now < 40:
        fleet.run(fleet.now + 0.25)
        found = inside(fleet)
        checked, wrong = checked + len(found), wrong + found.count(False)
    assert wrong <= checked // 1000
    for name in NAMES:
        fleet.set_load(name, KEY, 0)
    fleet.run_until_agreed()


def test_counts_of_both_halves_are_kept_after_a_partition():
    fleet = start_fleet()
    fleet.run(5)
    for name in NAMES:
        fleet.set_load(name, KEY, 10.0)
    fleet.run(10)
    halves = set(NAMES[:4])
    fleet.net.conditions.cut = lambda a, b: (a in halves) != (b in halves)
    fleet.run(25)
    assert all(inside(fleet))
    fleet.net.conditions.cut = lambda a, b: False
    fleet.run(40)
    for name in NAMES:
        fleet.set_load(name, KEY, 0)
    fleet.run_until_agreed()


def test_counts_reach_an_instance_through_others_when_the_direct_path_is_cut():
    fleet = start_fleet()
    fleet.run(5)
    fleet.net.conditions.cut = lambda a, b: (a, b) == ("i1", "i2")
    fleet.count("i1", KEY, 7)
    assert fleet.run_until_agreed(10) < 10


def test_counts_survive_a_kill():
    fleet = start_fleet()
    fleet.run(5)
    fleet.count("i3", KEY, 11)
    folder = fleet.kill("i3")
    fleet.run(6)
    fleet.start("i3", ("i0",), folder)
    fleet.count("i3", KEY, 2)
    fleet.run_until_agreed()
    assert fleet.truth[KEY] == 13


def test_an_old_copy_of_the_folder_decreases_no_count():
    fleet = start_fleet()
    fleet.run(5)
    fleet.count("i3", KEY, 11)
    old = fleet.folder("i3")
    fleet.count("i3", KEY, 5)
    fleet.run(8)
    fleet.kill("i3")
    fleet.start("i3", ("i0",), old)
    fleet.count("i3", KEY, 1)
    fleet.run_until_agreed()
    assert fleet.truth[KEY] == 17


def test_an_empty_folder_under_the_old_name_decreases_no_count():
    fleet = start_fleet()
    fleet.run(5)
    fleet.count("i3", KEY, 11)
    fleet.run(8)
    fleet.kill("i3")
    fleet.start("i3", ("i0",))
    fleet.count("i3", KEY, 1)
    fleet.run_until_agreed()
    assert fleet.truth[KEY] == 12


def test_two_instances_with_the_same_name_are_both_counted():
    fleet = start_fleet()
    fleet.run(5)
    fleet.count("i3", KEY, 3)
    fleet.start("twin", ("i0",), fleet.folder("i3"), claims="i3")
    fleet.count("twin", KEY, 4)
    fleet.count("i3", KEY, 5)
    fleet.run_until_agreed()
    assert fleet.truth[KEY] == 12


def test_an_isolated_instance_exchanges_counts_after_it_rejoins():
    fleet = start_fleet()
    fleet.run(5)
    fleet.net.conditions.cut = lambda a, b: "i5" in (a, b)
    for name in NAMES:
        fleet.set_load(name, KEY, 20.0)
    fleet.run(20)
    fleet.net.conditions.cut = lambda a, b: False
    for name in NAMES:
        fleet.set_load(name, KEY, 0)
    fleet.run_until_agreed()


@pytest.mark.parametrize("offset", [5.0, -5.0, 1e6])
def test_clocks_need_not_agree(offset):
    fleet = Fleet(3, Conditions(loss=0.2, delay=0.1), QUICK)
    for n, name in enumerate(NAMES):
        fleet.start(name, () if n == 0 else ("i0",), offset=offset * (n % 2))
    fleet.run(5)
    for name in NAMES:
        fleet.set_load(name, KEY, 10.0)
    fleet.run(8)
    for _ in range(20):
        fleet.run(fleet.now + 0.5)
        assert all(inside(fleet))


def test_sessions_that_are_over_are_folded_once_and_their_counts_stay():
    fleet = start_fleet()
    fleet.run(5)
    for round_ in range(3):
        fleet.count("i3", KEY, 10 + round_)
        folder = fleet.kill("i3")
        fleet.run(fleet.now + 2)
        fleet.start("i3", ("i0",), folder)
    fleet.run_until_agreed()
    while any(len(i.usage.sessions) > 8 for i in fleet.running.values()):
        fleet.run(fleet.now + 1)
        assert fleet.agreed()
        assert fleet.now < 300
    assert len({i.usage.settled.digest for i in fleet.running.values()}) == 1
    assert all(len(i.usage.settled.sessions) == 3 for i in fleet.running.values())


def test_a_new_instance_gets_the_settled_counts_in_chunks():
    fleet = start_fleet(names=NAMES[:3])
    fleet.run(5)
    for n in range(300):
        fleet.count("i2", (b"tenant %d" % n, "status"), n + 1)
    folder = fleet.kill("i2")
    fleet.run(7)
    fleet.start("i2", ("i0",), folder)
    while not all(len(i.usage.settled.sessions) == 1 for i in fleet.running.values()):
        fleet.run(fleet.now + 1)
        assert fleet.now < 200
    fleet.start("new", ("i0",))
    fleet.run_until_agreed()
    assert fleet.running["new"].usage.settled.item_count() == 301


def test_an_instance_is_folded_after_a_long_absence_and_counted_again_when_it_returns():
    """An instance that hears no reply starts a new session before the others fold its old one."""
    fleet = start_fleet()
    fleet.run(5)
    for name in NAMES:
        fleet.count(name, KEY, 3)
    fleet.run_until_agreed()
    fleet.run(fleet.now + 5)
    fleet.net.conditions.cut = lambda a, b: "i5" in (a, b)
    fleet.run(fleet.now + 40)  # past half of `gone`, so a new session starts
    assert fleet.running["i5"].usage.counters["renewed"] == 1
    fleet.count("i5", KEY, 4)
    fleet.run(fleet.now + 60)
    assert len(fleet.running["i0"].usage.settled.sessions) == 1
    fleet.count("i5", KEY, 2)
    fleet.count("i1", KEY, 1)
    fleet.net.conditions.cut = lambda a, b: False
    fleet.run_until_agreed(120)
    assert fleet.truth[KEY] == 31


def test_an_old_session_that_was_not_folded_during_an_absence_counts_again():
    fleet = start_fleet(names=NAMES[:3])
    fleet.run(5)
    fleet.count("i2", KEY, 3)
    fleet.run_until_agreed()
    fleet.net.conditions.cut = lambda a, b: "i2" in (a, b)
    fleet.run(fleet.now + 40)
    assert fleet.running["i2"].usage.counters["renewed"] == 1
    fleet.count("i2", KEY, 4)
    fleet.net.conditions.cut = lambda a, b: False
    fleet.run_until_agreed(60)
    assert fleet.truth[KEY] == 7


def test_a_fleet_restarted_at_once_reads_its_counts_from_the_folders():
    fleet = start_fleet(names=NAMES[:4])
    fleet.run(5)
    for name in NAMES[:4]:
        fleet.count(name, KEY, 5)
    folders = {name: fleet.kill(name) for name in NAMES[:4]}
    for name in NAMES[:4]:
        fleet.start(name, () if name == "i0" else ("i0",), folders[name])
    fleet.run_until_agreed()
    assert fleet.truth[KEY] == 20


def test_counts_are_exact_beyond_2_to_the_53_and_stop_at_the_largest_value_on_the_wire():
    fleet = start_fleet(names=NAMES[:2])
    fleet.run(2)
    fleet.count("i0", KEY, 2**53)
    fleet.count("i0", KEY, 1)
    fleet.run_until_agreed()
    assert fleet.totals("i1")[KEY] == 2**53 + 1
    fleet.count("i0", KEY, 2**63)
    fleet.run(fleet.now + 5)
    assert fleet.totals("i1")[KEY] == 2**63 - 1


def test_ten_thousand_tenants_and_names_of_any_bytes():
    fleet = start_fleet(names=NAMES[:3])
    fleet.run(2)
    fleet.count("i0", (bytes(range(256)), "status"), 3)
    for n in range(10_000):
        fleet.count(NAMES[n % 3], (b"t%d" % n, "status"))
    fleet.run_until_agreed(120)
    assert len(fleet.totals("i2")) == 10_001


def test_tenants_beyond_the_maximum_are_counted_as_one():
    fleet = Fleet(1, None, UsageSettings(rows=2))
    fleet.start("i0")
    for n in range(5):
        fleet.count("i0", (b"t%d" % n, "status"))
    assert fleet.totals("i0") == {(b"t0", "status"): 1, (b"t1", "status"): 1, (b"", "status"): 3}


def test_outcomes_are_counted_beside_accepted_messages():
    fleet = start_fleet(names=NAMES[:2])
    fleet.run(2)
    fleet.count("i0", KEY, 5)
    fleet.count("i0", KEY, 3, CountKind.DELIVERED)
    fleet.run_until_agreed()
    (line,) = fleet.running["i1"].usage.report(fleet.own_time("i1")).lines
    assert [c.count for c in line.counts] == [5, 3, 0, 0, 0]


def test_a_member_without_received_counts_is_reported_by_name():
    fleet = start_fleet(names=NAMES[:2])
    fleet.net.conditions.cut = lambda a, b: False
    fleet.run(5)
    usage = fleet.running["i0"].usage
    assert usage.report(fleet.own_time("i0")).unheard == ()
    fleet.count("i0", KEY)
    assert usage.fleet_count(fleet.own_time("i0"), *KEY).high < inf
    usage._members.add("stranger")
    report = usage.report(fleet.own_time("i0"))
    assert report.unheard == ("stranger",)
    assert {interval.high for line in report.lines for interval in line.counts} == {inf}


def test_before_any_reply_there_is_no_upper_bound_unless_the_instance_is_alone():
    usage = new_usage()
    usage.add_own_row(0.0, Row(*KEY, 1, (3, 0, 0, 0, 0)))
    assert usage.fleet_count(0.0, *KEY) == Interval(3, 3, inf)
    usage.is_alone = True
    assert usage.fleet_count(0.0, *KEY) == Interval(3, 3, 3)


def test_rates_over_windows():
    fleet = start_fleet(names=NAMES[:2])
    fleet.run(2)
    fleet.set_load("i0", KEY, 50.0)
    fleet.run(70)
    (line,) = fleet.running["i1"].usage.report(fleet.own_time("i1")).lines
    assert 40 < line.short_rate < 60
    assert 45 < line.long_rate < 55


# Merge laws, for random histories


@dataclass
class History:
    """The rows of a session after each change, from which any delta can be cut."""

    rows: list[Row]

    def delta(self, from_version, to_version):
        newest = {row.key: row for row in self.rows if row.version <= to_version}
        changed = sorted((r for r in newest.values() if r.version > from_version), key=lambda r: r.version)
        return Delta(
            99,
            "other",
            False,
            from_version,
            to_version,
            0 if to_version == len(self.rows) else None,
            tuple(changed),
        )


def new_usage(now=0.0):
    return Usage("here", 1, QUICK, Random(1), now)


def held_rows(usage):
    session = usage.sessions.get(99)
    return (session.version, dict(session.rows)) if session else (0, {})


steps = st.lists(
    st.tuples(st.sampled_from([b"a", b"b", b"c"]), st.sampled_from(list(CountKind)), st.integers(1, 2**58)),
    min_size=1,
    max_size=12,
)
cuts = st.lists(st.tuples(st.integers(0, 12), st.integers(0, 12)), max_size=30)


def make_history(steps):
    tally = Tally(100)
    return History([tally.count(0.0, tenant, "status", kind, n) for tenant, kind, n in steps])


@given(steps, cuts, st.randoms())
def test_deltas_lost_repeated_or_reordered_never_show_what_was_not_counted(steps, cuts, random):
    history, usage = make_history(steps), new_usage()
    last = len(history.rows)
    deltas = [history.delta(min(a, b, last), min(max(a, b), last)) for a, b in cuts]
    random.shuffle(deltas)
    for delta in deltas:
        usage._merge(1.0, delta, 0.5)
        version, rows = held_rows(usage)
        assert rows == {row.key: row for row in history.rows if row.version <= version}
        assert usage.totals() == {key: row.counts[0] for key, row in rows.items()}
    usage._merge(1.0, history.delta(0, last), 0.5)
    assert held_rows(usage)[0] == last


@given(steps, cuts)
def test_merging_is_idempotent_and_commutes(steps, cuts):
    history = make_history(steps)
    last = len(history.rows)
    deltas = [history.delta(0, min(max(a, b), last)) for a, b in cuts]
    one, other = new_usage(), new_usage()
    for delta in [*deltas, *deltas]:
        one._merge(1.0, delta, 0.5)
    for delta in reversed(deltas):
        other._merge(1.0, delta, 0.5)
    assert held_rows(one) == held_rows(other)


@given(steps, st.integers(0, 12), st.integers(0, 12))
def test_merging_is_associative_through_a_third_instance(steps, first, second):
    """A delta merged at another instance first and sent on has the same effect as one received directly."""
    history = make_history(steps)
    last = len(history.rows)
    direct, through, end = new_usage(), new_usage(), new_usage()
    for version in (min(first, last), min(second, last), last):
        direct._merge(1.0, history.delta(0, version), 0.5)
        through._merge(1.0, history.delta(0, version), 0.5)
    (reply,) = through._handle_request(1.0, DeltaRequest("end", 5, 0, 0, 2**63 - 1))
    for delta in reply.deltas:
        end._merge(1.0, delta, 0.5)
    assert held_rows(end) == held_rows(direct)


@given(st.integers(0, 10**6), st.floats(0, 1e4), st.floats(0, 1e6), st.floats(1, 10))
def test_an_interval_begins_at_the_count_held_and_only_grows(held, peak, age, growth):
    now, later = count_interval(held, peak, age, growth), count_interval(held, peak, age + 1, growth)
    assert now.low == held <= now.high <= later.high


@pytest.mark.parametrize(
    ("own", "others", "by_load", "wanted"),
    [
        (0.0, [], 0.5, 1.0),
        (0.0, [0.0], 0.5, 0.5),
        (10.0, [0.0], 1.0, 1.0),
        (10.0, [0.0], 0.5, 0.75),
        (0.0, [10.0], 0.5, 0.25),
        (1.0, [3.0], 0.0, 0.5),
        (1.0, [3.0], 1.0, 0.25),
    ],
)
def test_the_remainder_is_shared_by_load_and_evenly(own, others, by_load, wanted):
    assert share_of_limit(own, others, by_load) == pytest.approx(wanted)


@given(st.lists(st.floats(0, 1e6), min_size=1, max_size=20), st.floats(0, 1))
def test_all_shares_add_up_to_at_most_one(rates, by_load):
    shares = [share_of_limit(rate, rates[:n] + rates[n + 1 :], by_load) for n, rate in enumerate(rates)]
    assert sum(shares) <= 1 + 1e-9


def test_nothing_is_allowed_when_the_limit_may_have_been_reached():
    assert allowance(100, Interval(50, 50, 120.0), 1.0, [1.0]).messages == 0
    assert allowance(100, Interval(50, 50, 60.0), 1.0, [1.0]).messages == 20
    assert allowance(100, Interval(50, 50, inf), 1.0, [1.0]).messages == 0


def test_a_partitioned_fleet_stays_within_its_limit():
    fleet = start_fleet(names=NAMES[:4])
    fleet.run(5)
    for name in NAMES[:4]:
        fleet.set_load(name, KEY, 20.0)
    fleet.run(20)
    for name in NAMES[:4]:
        fleet.set_load(name, KEY, 0)
    halves = set(NAMES[:2])
    fleet.net.conditions.cut = lambda a, b: (a in halves) != (b in halves)
    limit = fleet.truth[KEY] + 1000
    fleet.run(21)
    while fleet.now < 60:
        for name in NAMES[:4]:
            instance = fleet.running[name]
            rate, others = instance.usage.peak_rates([KEY])
            counted = instance.usage.fleet_count(fleet.own_time(name), *KEY)
            if allowance(limit, counted, rate, others).messages:
                fleet.count(name, KEY)
        fleet.run(fleet.now + 0.05)
    assert limit - 1000 < fleet.truth[KEY] <= limit


# Authentic messages with any content


amounts = st.integers(0, 3) | st.integers(0, 2**63 - 1)
counts = st.tuples(*[amounts] * len(CountKind))
names = st.sampled_from(["", "here", "other"])
rows = st.builds(Row, st.sampled_from([b"acme", b"b"]), st.just("status"), amounts, counts, amounts)
deltas = st.builds(
    Delta,
    amounts,
    names,
    st.booleans(),
    amounts,
    amounts,
    st.none() | amounts,
    st.lists(rows, max_size=3).map(tuple),
)
pairs = st.lists(st.tuples(amounts, amounts), max_size=3).map(tuple)
chunks = st.builds(
    SettledChunk,
    amounts,
    amounts,
    amounts,
    pairs,
    st.lists(st.tuples(st.just(b"acme"), st.just("status"), counts), max_size=2).map(tuple),
)
messages = st.one_of(
    st.builds(
        DeltaRequest,
        names,
        amounts,
        amounts,
        amounts,
        amounts,
        pairs,
        amounts,
        st.tuples(amounts, amounts),
    ),
    st.builds(
        DeltaReply, names, amounts, amounts, st.lists(deltas, max_size=3).map(tuple), st.none() | chunks
    ),
)


@given(st.lists(messages, max_size=8))
def test_no_message_breaks_the_counts(received):
    usage, tally = new_usage(), Tally(10)
    usage.add_own_row(0.0, tally.count(0.0, *KEY, CountKind.TAKEN, 5))
    for message in received:
        assert decode(encode(message)) == message
        if isinstance(message, DeltaReply):
            message = msgspec.structs.replace(message, session=usage.own.id, sent_at_us=0)
        usage.receive(1.0, ("127.0.0.1", 1), message)
        usage.start_exchange(1.0, [("other", ("127.0.0.1", 1))])
        usage.report(1.0)
        if usage.renewal_reason:
            usage.renew(1.0)
    assert usage.sessions[usage.own.id] is usage.own
    assert all(count >= 0 for kind in CountKind for count in usage.totals(kind).values())


@pytest.mark.parametrize(
    "delta",
    [
        Delta(
            99,
            "other",
            False,
            0,
            2,
            0,
            (Row(*KEY, 2, (6, 0, 0, 0, 0)), Row(b"b", "status", 1, (1, 0, 0, 0, 0))),
        ),
        Delta(99, "other", False, 0, 1, 0, (Row(*KEY, 2, (1, 0, 0, 0, 0)),)),
        Delta(99, "other", False, 1, 2, 0, (Row(*KEY, 2, (1, 0, 0, 0, 0)),)),
    ],
    ids=["out of order", "beyond its end", "decreasing"],
)
def test_an_implausible_delta_changes_nothing(delta):
    usage = new_usage()
    usage._merge(1.0, Delta(99, "other", False, 0, 1, 0, (Row(*KEY, 1, (5, 0, 0, 0, 0)),)), 0.5)
    usage._merge(1.0, delta, 0.5)
    assert usage.totals() == {KEY: 5}
    assert usage.counters["strange"] == 1


@given(st.binary(max_size=200))
def test_no_input_breaks_the_decoder(data):
    try:
        decoder([UsageLayer(new_usage(), 0.0)])(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        pass


# Folding


OTHER = [("other", ("127.0.0.1", 1))]


def usage_with_closed_session(version=1):
    """Returns a `Usage` that has had a reply, and holds a closed session of another instance."""
    usage = new_usage()
    usage._on_reply(0.0)
    usage._merge(0.0, Delta(99, "other", True, 0, version, 0, (Row(*KEY, version, (5, 0, 0, 0, 0)),)), 0.0)
    return usage


def send_request(usage, now, held, session=77, source="other"):
    return usage.receive(now, OTHER[0][1], DeltaRequest(source, session, 0, 0, 2**63 - 1, held))


@pytest.mark.parametrize(
    ("now", "held", "folded"),
    [
        (10.0, ((99, 1),), True),
        (1.0, ((99, 1),), False),
        (10.0, ((99, 2),), False),
        (10.0, (), False),
    ],
    ids=["all hold the same version", "closed just now", "another holds more", "another holds nothing of it"],
)
def test_a_closed_session_is_folded_once_all_hold_the_same_version(now, held, folded):
    usage = usage_with_closed_session()
    usage._on_reply(now)
    send_request(usage, now, held)
    usage.start_exchange(now, OTHER)
    assert (99 in usage.settled.sessions) is folded
    assert usage.totals() == {KEY: 5}


def test_nothing_is_folded_while_a_silent_member_may_hold_more():
    usage = usage_with_closed_session()
    usage._on_reply(10.0)
    send_request(usage, 10.0, ((99, 1),))
    usage.start_exchange(10.0, OTHER, ["silent"])
    assert usage.settled.sessions == {}


def test_nothing_is_folded_before_the_first_reply_unless_the_instance_is_alone():
    usage = new_usage()
    usage.load([Session(99, "here", version=1, rows={KEY: Row(*KEY, 1, (5, 0, 0, 0, 0))})], SettledCounts())
    usage.start_exchange(100.0, [])
    assert usage.settled.sessions == {}
    usage.is_alone = True
    usage.start_exchange(100.0, [])
    assert usage.settled.sessions == {99: 1}


def test_a_session_that_still_sends_requests_is_not_closed():
    usage = usage_with_closed_session()
    send_request(usage, 1.0, (), session=99)
    assert not usage.sessions[99].closed


def test_after_a_long_absence_nothing_held_before_is_sent_on():
    usage = usage_with_closed_session()
    usage.add_own_row(0.0, Row(*KEY, 1, (3, 0, 0, 0, 0)))
    before = usage.own.id
    usage.start_exchange(31.0, OTHER)
    assert usage.renewal_reason
    assert send_request(usage, 31.0, ()) == []
    usage.renew(31.0)
    (reply,) = send_request(usage, 31.0, ())
    assert {delta.session for delta in reply.message.deltas} == {usage.own.id} != {before}


def test_an_old_session_that_nobody_else_holds_counts_again():
    fleet = start_fleet(names=NAMES[:2])
    fleet.run(5)
    fleet.count("i1", KEY, 5)
    fleet.run_until_agreed()
    fleet.net.conditions.cut = lambda a, b: True
    fleet.run(fleet.now + 40)
    assert fleet.running["i1"].usage.counters["renewed"] == 1
    fleet.kill("i0")
    fleet.start("i0")
    fleet.net.conditions.cut = lambda a, b: False
    fleet.run_until_agreed(60)
    assert fleet.truth[KEY] == 5


def test_instances_that_folded_different_sessions_reach_the_same_sum():
    one, other = usage_with_closed_session(), usage_with_closed_session()
    rows = Row(b"b", "status", 1, (7, 0, 0, 0, 0))
    for usage in (one, other):
        usage._merge(0.0, Delta(98, "third", True, 0, 1, 0, (rows,)), 0.0)
    one._fold(one.sessions[99])
    other._fold(other.sessions[98])
    for usage, by in ((one, other), (other, one)):
        usage._receive_chunk(1.0, by.settled.chunk(0, 1000))
    assert one.settled.digest == other.settled.digest
    assert one.totals() == other.totals() == {KEY: 5, (b"b", "status"): 7}


def test_settled_counts_that_lack_a_folded_session_replace_none():
    usage = usage_with_closed_session()
    usage._fold(usage.sessions[99])
    smaller = SettledCounts()
    smaller.fold(55, 1, [Row(b"c", "status", 1, (1, 0, 0, 0, 0))])
    usage._receive_chunk(1.0, smaller.chunk(0, 1000))
    assert usage.totals() == {KEY: 5}


def test_an_instance_whose_session_was_folded_by_others_starts_a_new_one():
    usage = new_usage()
    usage.add_own_row(0.0, Row(*KEY, 1, (3, 0, 0, 0, 0)))
    other = SettledCounts()
    other.fold(usage.own.id, 1, usage.own.rows.values())
    usage._receive_chunk(1.0, other.chunk(0, 1000))
    assert usage.renewal_reason
    usage.renew(1.0)
    assert usage.own.id not in other.sessions


def test_a_reply_to_a_former_session_is_ignored():
    usage = new_usage()
    usage.receive(
        1.0,
        OTHER[0][1],
        DeltaReply(
            "other",
            usage.own.id + 1,
            0,
            (Delta(99, "other", False, 0, 1, 0, (Row(*KEY, 1, (5, 0, 0, 0, 0)),)),),
        ),
    )
    assert usage.totals() == {}
    assert usage.counters["strange"] == 1


def test_an_instance_that_has_ended_sends_no_requests():
    usage = new_usage()
    assert usage.start_exchange(1.0, OTHER)
    usage.close()
    assert usage.start_exchange(1.0, OTHER) == []


def test_a_session_is_folded_only_once():
    settled = SettledCounts()
    for _ in range(2):
        settled.fold(99, 1, [Row(*KEY, 1, (5, 0, 0, 0, 0))])
    assert settled.rows == {KEY: (5, 0, 0, 0, 0)}


def test_the_end_of_a_session_is_sent_after_the_counts_of_the_next():
    """Otherwise the interval would briefly lack what the next session has counted."""
    usage = usage_with_closed_session()
    usage._merge(0.0, Delta(5, "other", False, 0, 1, 0, (Row(*KEY, 1, (1, 0, 0, 0, 0)),)), 0.0)
    for session_id in range(200, 220):
        usage._merge(0.0, Delta(session_id, "x", True, 0, 1, 0, (Row(*KEY, 1, (1, 0, 0, 0, 0)),)), 0.0)
    deltas = [delta for send in send_request(usage, 1.0, ()) for delta in send.message.deltas]
    assert [delta.closed for delta in deltas] == sorted(delta.closed for delta in deltas)
