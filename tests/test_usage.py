"""Counts without a leader: the replicated state in simulated time, under each fault that is named."""

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
from willownotch.usage.estimate import Interval, interval
from willownotch.usage.layer import Exchanges
from willownotch.usage.limits import allowance, share
from willownotch.usage.settings import UsageSettings
from willownotch.usage.settled import Settled
from willownotch.usage.simulated import Fleet
from willownotch.usage.tally import Tally
from willownotch.usage.wire import Ask, Chunk, CountKind, Part, Row, Tell, decode, encode

KEY = b"acme", "status"
NAMES = [f"i{n}" for n in range(8)]
QUICK = UsageSettings(settle=timedelta(seconds=5), gone=timedelta(seconds=60))


def fleet(seed=1, conditions=None, names=NAMES, settings=QUICK, **more):
    made = Fleet(seed, conditions, settings, **more)
    for name in names:
        made.start(name, () if name == names[0] else (names[0],))
    return made


def inside(made, key=KEY):
    """Whether each instance's interval holds the truth."""
    return [
        made.running[n].usage.fleet_count(made.own_time(n), *key).holds(made.truth[key]) for n in made.running
    ]


@pytest.mark.parametrize(
    "conditions",
    [
        Conditions(),
        Conditions(loss=0.2, delay=0.3, jitter=0.05),
        Conditions(loss=0.5),
        Conditions(repeat=0.5, jitter=0.5),
    ],
    ids=["good", "loss and delay", "half lost", "repeats and overtaking"],
)
def test_all_hold_the_truth_and_every_interval_holds_it_meanwhile(conditions):
    made = fleet(conditions=conditions)
    made.run(10)
    for n, name in enumerate(NAMES):
        made.load(name, KEY, 5.0 + n)
    looked, wrong = 0, 0
    made.run(13)
    while made.now < 40:
        made.run(made.now + 0.25)
        found = inside(made)
        looked, wrong = looked + len(found), wrong + found.count(False)
    assert wrong <= looked // 1000
    for name in NAMES:
        made.load(name, KEY, 0)
    made.settle()


def test_a_partition_that_heals_counts_both_halves():
    made = fleet()
    made.run(5)
    for name in NAMES:
        made.load(name, KEY, 10.0)
    made.run(10)
    halves = set(NAMES[:4])
    made.net.conditions.cut = lambda a, b: (a in halves) != (b in halves)
    made.run(25)
    assert all(inside(made))
    made.net.conditions.cut = lambda a, b: False
    made.run(40)
    for name in NAMES:
        made.load(name, KEY, 0)
    made.settle()


def test_who_cannot_send_to_one_is_heard_of_through_the_others():
    made = fleet()
    made.run(5)
    made.net.conditions.cut = lambda a, b: (a, b) == ("i1", "i2")
    made.count("i1", KEY, 7)
    assert made.settle(10) < 10


def test_counts_outlast_a_kill():
    made = fleet()
    made.run(5)
    made.count("i3", KEY, 11)
    folder = made.kill("i3")
    made.run(6)
    made.start("i3", ("i0",), folder)
    made.count("i3", KEY, 2)
    made.settle()
    assert made.truth[KEY] == 13


def test_an_old_copy_of_the_folder_counts_nothing_backwards():
    made = fleet()
    made.run(5)
    made.count("i3", KEY, 11)
    old = made.folder("i3")
    made.count("i3", KEY, 5)
    made.run(8)
    made.kill("i3")
    made.start("i3", ("i0",), old)
    made.count("i3", KEY, 1)
    made.settle()
    assert made.truth[KEY] == 17


def test_an_empty_folder_under_the_old_name_counts_nothing_backwards():
    made = fleet()
    made.run(5)
    made.count("i3", KEY, 11)
    made.run(8)
    made.kill("i3")
    made.start("i3", ("i0",))
    made.count("i3", KEY, 1)
    made.settle()
    assert made.truth[KEY] == 12


def test_two_that_claim_one_name_are_both_counted():
    made = fleet()
    made.run(5)
    made.count("i3", KEY, 3)
    made.start("twin", ("i0",), made.folder("i3"), claims="i3")
    made.count("twin", KEY, 4)
    made.count("i3", KEY, 5)
    made.settle()
    assert made.truth[KEY] == 12


def test_who_rejoins_with_stale_counts_learns_the_rest_and_gives_its_own():
    made = fleet()
    made.run(5)
    made.net.conditions.cut = lambda a, b: "i5" in (a, b)
    for name in NAMES:
        made.load(name, KEY, 20.0)
    made.run(20)
    made.net.conditions.cut = lambda a, b: False
    for name in NAMES:
        made.load(name, KEY, 0)
    made.settle()


@pytest.mark.parametrize("offset", [5.0, -5.0, 1e6])
def test_clocks_need_not_agree(offset):
    made = Fleet(3, Conditions(loss=0.2, delay=0.1), QUICK)
    for n, name in enumerate(NAMES):
        made.start(name, () if n == 0 else ("i0",), offset=offset * (n % 2))
    made.run(5)
    for name in NAMES:
        made.load(name, KEY, 10.0)
    made.run(8)
    for _ in range(20):
        made.run(made.now + 0.5)
        assert all(inside(made))


def test_lives_that_are_over_are_folded_once_and_their_counts_stay():
    made = fleet()
    made.run(5)
    for round_ in range(3):
        made.count("i3", KEY, 10 + round_)
        folder = made.kill("i3")
        made.run(made.now + 2)
        made.start("i3", ("i0",), folder)
    made.settle()
    while any(len(i.usage.sessions) > 8 for i in made.running.values()):
        made.run(made.now + 1)
        assert made.agreed()
        assert made.now < 300
    assert len({i.usage.settled.digest for i in made.running.values()}) == 1
    assert all(len(i.usage.settled.sessions) == 3 for i in made.running.values())


def test_who_comes_new_gets_the_settled_part_in_pieces():
    made = fleet(names=NAMES[:3])
    made.run(5)
    for n in range(300):
        made.count("i2", (b"tenant %d" % n, "status"), n + 1)
    folder = made.kill("i2")
    made.run(7)
    made.start("i2", ("i0",), folder)
    while not all(len(i.usage.settled.sessions) == 1 for i in made.running.values()):
        made.run(made.now + 1)
        assert made.now < 200
    made.start("new", ("i0",))
    made.settle()
    assert made.running["new"].usage.settled.items() == 301


def test_who_is_gone_for_long_is_folded_and_counted_on_when_it_comes_back():
    """The rule of time: it takes a new life on its own side before the others fold the old one."""
    made = fleet()
    made.run(5)
    for name in NAMES:
        made.count(name, KEY, 3)
    made.settle()
    made.run(made.now + 5)
    made.net.conditions.cut = lambda a, b: "i5" in (a, b)
    made.run(made.now + 40)  # past half of `gone`: a new life
    assert made.running["i5"].usage.counters["renewed"] == 1
    made.count("i5", KEY, 4)
    made.run(made.now + 60)
    assert len(made.running["i0"].usage.settled.sessions) == 1
    made.count("i5", KEY, 2)
    made.count("i1", KEY, 1)
    made.net.conditions.cut = lambda a, b: False
    made.settle(120)
    assert made.truth[KEY] == 31


def test_after_an_absence_that_nobody_folded_the_old_life_is_taken_up_again():
    made = fleet(names=NAMES[:3])
    made.run(5)
    made.count("i2", KEY, 3)
    made.settle()
    made.net.conditions.cut = lambda a, b: "i2" in (a, b)
    made.run(made.now + 40)
    assert made.running["i2"].usage.counters["renewed"] == 1
    made.count("i2", KEY, 4)
    made.net.conditions.cut = lambda a, b: False
    made.settle(60)
    assert made.truth[KEY] == 7


def test_the_fleet_that_restarts_at_once_has_its_counts_from_the_folders():
    made = fleet(names=NAMES[:4])
    made.run(5)
    for name in NAMES[:4]:
        made.count(name, KEY, 5)
    folders = {name: made.kill(name) for name in NAMES[:4]}
    for name in NAMES[:4]:
        made.start(name, () if name == "i0" else ("i0",), folders[name])
    made.settle()
    assert made.truth[KEY] == 20


def test_counts_are_exact_beyond_2_to_the_53_and_stop_at_what_the_wire_carries():
    made = fleet(names=NAMES[:2])
    made.run(2)
    made.count("i0", KEY, 2**53)
    made.count("i0", KEY, 1)
    made.settle()
    assert made.held("i1")[KEY] == 2**53 + 1
    made.count("i0", KEY, 2**63)
    made.run(made.now + 5)
    assert made.held("i1")[KEY] == 2**63 - 1


def test_tenants_of_any_bytes_and_ten_thousand_of_them():
    made = fleet(names=NAMES[:3])
    made.run(2)
    made.count("i0", (bytes(range(256)), "status"), 3)
    for n in range(10_000):
        made.count(NAMES[n % 3], (b"t%d" % n, "status"))
    made.settle(120)
    assert len(made.held("i2")) == 10_001


def test_tenants_beyond_the_most_are_counted_as_one():
    made = Fleet(1, None, UsageSettings(rows=2))
    made.start("i0")
    for n in range(5):
        made.count("i0", (b"t%d" % n, "status"))
    assert made.held("i0") == {(b"t0", "status"): 1, (b"t1", "status"): 1, (b"", "status"): 3}


def test_ends_are_counted_beside_what_is_taken_on():
    made = fleet(names=NAMES[:2])
    made.run(2)
    made.count("i0", KEY, 5)
    made.count("i0", KEY, 3, CountKind.DELIVERED)
    made.settle()
    (line,) = made.running["i1"].usage.answer(made.own_time("i1")).lines
    assert [c.count for c in line.counts] == [5, 3, 0, 0, 0]


def test_a_member_that_has_told_nothing_is_named():
    made = fleet(names=NAMES[:2])
    made.net.conditions.cut = lambda a, b: False
    made.run(5)
    usage = made.running["i0"].usage
    assert usage.answer(made.own_time("i0")).unheard == ()
    made.count("i0", KEY)
    assert usage.fleet_count(made.own_time("i0"), *KEY).high < inf
    usage._members.add("stranger")
    answer = usage.answer(made.own_time("i0"))
    assert answer.unheard == ("stranger",)
    assert {interval.high for line in answer.lines for interval in line.counts} == {inf}


def test_before_any_answer_nothing_is_bounded_above_unless_it_is_alone():
    made = usage()
    made.count(0.0, Row(*KEY, 1, (3, 0, 0, 0, 0)))
    assert made.fleet_count(0.0, *KEY) == Interval(3, 3, inf)
    made.lone = True
    assert made.fleet_count(0.0, *KEY) == Interval(3, 3, 3)


def test_rates_over_windows():
    made = fleet(names=NAMES[:2])
    made.run(2)
    made.load("i0", KEY, 50.0)
    made.run(70)
    (line,) = made.running["i1"].usage.answer(made.own_time("i1")).lines
    assert 40 < line.short_rate < 60
    assert 45 < line.long_rate < 55


# Merge laws, over random histories


@dataclass
class History:
    """A life's rows after each change, and parts cut from it at will."""

    rows: list[Row]

    def part(self, after, upto):
        newest = {row.key: row for row in self.rows if row.version <= upto}
        changed = sorted((r for r in newest.values() if r.version > after), key=lambda r: r.version)
        return Part(99, "other", False, after, upto, 0 if upto == len(self.rows) else None, tuple(changed))


def usage(now=0.0):
    return Usage("here", 1, QUICK, Random(1), now)


def counted(made):
    life = made.sessions.get(99)
    return (life.upto, dict(life.rows)) if life else (0, {})


steps = st.lists(
    st.tuples(st.sampled_from([b"a", b"b", b"c"]), st.sampled_from(list(CountKind)), st.integers(1, 2**58)),
    min_size=1,
    max_size=12,
)
cuts = st.lists(st.tuples(st.integers(0, 12), st.integers(0, 12)), max_size=30)


def written(steps):
    tally = Tally(100)
    return History([tally.count(0.0, tenant, "status", sort, n) for tenant, sort, n in steps])


@given(steps, cuts, st.randoms())
def test_parts_in_any_order_again_and_lost_never_show_what_was_not_counted(steps, cuts, random):
    history, made = written(steps), usage()
    last = len(history.rows)
    parts = [history.part(min(a, b, last), min(max(a, b), last)) for a, b in cuts]
    random.shuffle(parts)
    for part in parts:
        made._merge(1.0, part, 0.5)
        upto, rows = counted(made)
        assert rows == {row.key: row for row in history.rows if row.version <= upto}
        assert made.totals() == {key: row.counts[0] for key, row in rows.items()}
    made._merge(1.0, history.part(0, last), 0.5)
    assert counted(made)[0] == last


@given(steps, cuts)
def test_merging_is_idempotent_and_commutes(steps, cuts):
    history = written(steps)
    last = len(history.rows)
    parts = [history.part(0, min(max(a, b), last)) for a, b in cuts]
    one, other = usage(), usage()
    for part in [*parts, *parts]:
        one._merge(1.0, part, 0.5)
    for part in reversed(parts):
        other._merge(1.0, part, 0.5)
    assert counted(one) == counted(other)


@given(steps, st.integers(0, 12), st.integers(0, 12))
def test_merging_is_associative_through_a_third_instance(steps, first, second):
    """What was merged elsewhere first and handed on is as good as what came directly."""
    history = written(steps)
    last = len(history.rows)
    direct, through, end = usage(), usage(), usage()
    for upto in (min(first, last), min(second, last), last):
        direct._merge(1.0, history.part(0, upto), 0.5)
        through._merge(1.0, history.part(0, upto), 0.5)
    (answer,) = through._asked(1.0, Ask("end", 5, 0, 0, 2**63 - 1))
    for part in answer.parts:
        end._merge(1.0, part, 0.5)
    assert counted(end) == counted(direct)


@given(st.integers(0, 10**6), st.floats(0, 1e4), st.floats(0, 1e6), st.floats(1, 10))
def test_an_interval_begins_at_what_is_held_and_only_grows(held, peak, age, growth):
    now, later = interval(held, peak, age, growth), interval(held, peak, age + 1, growth)
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
def test_the_rest_is_shared_by_load_and_evenly(own, others, by_load, wanted):
    assert share(own, others, by_load) == pytest.approx(wanted)


@given(st.lists(st.floats(0, 1e6), min_size=1, max_size=20), st.floats(0, 1))
def test_all_shares_together_are_the_whole_at_most(rates, by_load):
    shares = [share(rate, rates[:n] + rates[n + 1 :], by_load) for n, rate in enumerate(rates)]
    assert sum(shares) <= 1 + 1e-9


def test_nothing_is_allowed_where_the_limit_may_have_been_reached():
    assert allowance(100, Interval(50, 50, 120.0), 1.0, [1.0]).messages == 0
    assert allowance(100, Interval(50, 50, 60.0), 1.0, [1.0]).messages == 20
    assert allowance(100, Interval(50, 50, inf), 1.0, [1.0]).messages == 0


def test_a_fleet_under_a_limit_stays_within_it_when_halves_do_not_hear_of_each_other():
    made = fleet(names=NAMES[:4])
    made.run(5)
    for name in NAMES[:4]:
        made.load(name, KEY, 20.0)
    made.run(20)
    for name in NAMES[:4]:
        made.load(name, KEY, 0)
    halves = set(NAMES[:2])
    made.net.conditions.cut = lambda a, b: (a in halves) != (b in halves)
    limit = made.truth[KEY] + 1000
    made.run(21)
    while made.now < 60:
        for name in NAMES[:4]:
            instance = made.running[name]
            rate, others = instance.usage.rates([KEY])
            counted = instance.usage.fleet_count(made.own_time(name), *KEY)
            if allowance(limit, counted, rate, others).messages:
                made.count(name, KEY)
        made.run(made.now + 0.05)
    assert limit - 1000 < made.truth[KEY] <= limit


# Whatever comes, authentic as it may be


amounts = st.integers(0, 3) | st.integers(0, 2**63 - 1)
counts = st.tuples(*[amounts] * len(CountKind))
names = st.sampled_from(["", "here", "other"])
rows = st.builds(Row, st.sampled_from([b"acme", b"b"]), st.just("status"), amounts, counts, amounts)
parts = st.builds(
    Part,
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
    Chunk,
    amounts,
    amounts,
    amounts,
    pairs,
    st.lists(st.tuples(st.just(b"acme"), st.just("status"), counts), max_size=2).map(tuple),
)
messages = st.one_of(
    st.builds(Ask, names, amounts, amounts, amounts, amounts, pairs, amounts, st.tuples(amounts, amounts)),
    st.builds(Tell, names, amounts, amounts, st.lists(parts, max_size=3).map(tuple), st.none() | chunks),
)


@given(st.lists(messages, max_size=8))
def test_no_message_can_stop_the_counts(found):
    made, tally = usage(), Tally(10)
    made.count(0.0, tally.count(0.0, *KEY, CountKind.TAKEN, 5))
    for message in found:
        assert decode(encode(message)) == message
        if isinstance(message, Tell):
            message = msgspec.structs.replace(message, life=made.own.id, stamp=0)
        made.receive(1.0, ("127.0.0.1", 1), message)
        made.exchange(1.0, [("other", ("127.0.0.1", 1))])
        made.answer(1.0)
        if made.overdue:
            made.renew(1.0)
    assert made.sessions[made.own.id] is made.own
    assert all(count >= 0 for sort in CountKind for count in made.totals(sort).values())


@pytest.mark.parametrize(
    "part",
    [
        Part(
            99,
            "other",
            False,
            0,
            2,
            0,
            (Row(*KEY, 2, (6, 0, 0, 0, 0)), Row(b"b", "status", 1, (1, 0, 0, 0, 0))),
        ),
        Part(99, "other", False, 0, 1, 0, (Row(*KEY, 2, (1, 0, 0, 0, 0)),)),
        Part(99, "other", False, 1, 2, 0, (Row(*KEY, 2, (1, 0, 0, 0, 0)),)),
    ],
    ids=["out of order", "beyond its end", "counting down"],
)
def test_a_part_that_no_counting_can_have_made_changes_nothing(part):
    made = usage()
    made._merge(1.0, Part(99, "other", False, 0, 1, 0, (Row(*KEY, 1, (5, 0, 0, 0, 0)),)), 0.5)
    made._merge(1.0, part, 0.5)
    assert made.totals() == {KEY: 5}
    assert made.counters["strange"] == 1


@given(st.binary(max_size=200))
def test_no_bytes_can_stop_the_decoder(data):
    try:
        decoder([Exchanges(usage(), 0.0)])(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        pass


# Folding, one rule at a time


OTHER = [("other", ("127.0.0.1", 1))]


def holding(version=1):
    """An instance that holds a closed life of another, which somebody has answered for."""
    made = usage()
    made._answered(0.0)
    made._merge(0.0, Part(99, "other", True, 0, version, 0, (Row(*KEY, version, (5, 0, 0, 0, 0)),)), 0.0)
    return made


def asked(made, now, held, life=77, source="other"):
    return made.receive(now, OTHER[0][1], Ask(source, life, 0, 0, 2**63 - 1, held))


@pytest.mark.parametrize(
    ("now", "held", "folded"),
    [
        (10.0, ((99, 1),), True),
        (1.0, ((99, 1),), False),
        (10.0, ((99, 2),), False),
        (10.0, (), False),
    ],
    ids=["all hold it alike", "closed only now", "another holds more", "another has not heard of it"],
)
def test_a_closed_life_is_folded_once_all_hold_it_alike(now, held, folded):
    made = holding()
    made._answered(now)
    asked(made, now, held)
    made.exchange(now, OTHER)
    assert (99 in made.settled.sessions) is folded
    assert made.totals() == {KEY: 5}


def test_nothing_is_folded_while_a_silent_member_may_hold_more():
    made = holding()
    made._answered(10.0)
    asked(made, 10.0, ((99, 1),))
    made.exchange(10.0, OTHER, ["silent"])
    assert made.settled.sessions == {}


def test_nothing_is_folded_before_anybody_answered_unless_it_is_alone():
    made = usage()
    made.load([Session(99, "here", upto=1, rows={KEY: Row(*KEY, 1, (5, 0, 0, 0, 0))})], Settled())
    made.exchange(100.0, [])
    assert made.settled.sessions == {}
    made.lone = True
    made.exchange(100.0, [])
    assert made.settled.sessions == {99: 1}


def test_a_life_that_still_asks_is_not_over_whoever_says_so():
    made = holding()
    asked(made, 1.0, (), life=99)
    assert not made.sessions[99].closed


def test_after_a_long_absence_nothing_held_before_is_handed_on():
    made = holding()
    made.count(0.0, Row(*KEY, 1, (3, 0, 0, 0, 0)))
    before = made.own.id
    made.exchange(31.0, OTHER)
    assert made.overdue
    assert asked(made, 31.0, ()) == []
    made.renew(31.0)
    (answer,) = asked(made, 31.0, ())
    assert {part.life for part in answer.message.parts} == {made.own.id} != {before}


def test_an_old_life_that_nobody_else_holds_is_taken_up_again():
    made = fleet(names=NAMES[:2])
    made.run(5)
    made.count("i1", KEY, 5)
    made.settle()
    made.net.conditions.cut = lambda a, b: True
    made.run(made.now + 40)
    assert made.running["i1"].usage.counters["renewed"] == 1
    made.kill("i0")
    made.start("i0")
    made.net.conditions.cut = lambda a, b: False
    made.settle(60)
    assert made.truth[KEY] == 5


def test_two_that_have_folded_different_lives_come_to_the_same_sum():
    one, other = holding(), holding()
    rows = Row(b"b", "status", 1, (7, 0, 0, 0, 0))
    for made in (one, other):
        made._merge(0.0, Part(98, "third", True, 0, 1, 0, (rows,)), 0.0)
    one._fold(one.sessions[99])
    other._fold(other.sessions[98])
    for made, by in ((one, other), (other, one)):
        made._take_chunk(1.0, by.settled.chunk(0, 1000))
    assert one.settled.digest == other.settled.digest
    assert one.totals() == other.totals() == {KEY: 5, (b"b", "status"): 7}


def test_a_settled_part_that_lacks_a_folded_life_takes_nobody_s_place():
    made = holding()
    made._fold(made.sessions[99])
    lesser = Settled()
    lesser.fold(55, 1, [Row(b"c", "status", 1, (1, 0, 0, 0, 0))])
    made._take_chunk(1.0, lesser.chunk(0, 1000))
    assert made.totals() == {KEY: 5}


def test_who_finds_its_own_life_folded_takes_a_new_one():
    made = usage()
    made.count(0.0, Row(*KEY, 1, (3, 0, 0, 0, 0)))
    theirs = Settled()
    theirs.fold(made.own.id, 1, made.own.rows.values())
    made._take_chunk(1.0, theirs.chunk(0, 1000))
    assert made.overdue
    made.renew(1.0)
    assert made.own.id not in theirs.sessions


def test_an_answer_to_a_former_life_is_not_taken():
    made = usage()
    made.receive(
        1.0,
        OTHER[0][1],
        Tell(
            "other",
            made.own.id + 1,
            0,
            (Part(99, "other", False, 0, 1, 0, (Row(*KEY, 1, (5, 0, 0, 0, 0)),)),),
        ),
    )
    assert made.totals() == {}
    assert made.counters["strange"] == 1


def test_who_has_ended_asks_no_more():
    made = usage()
    assert made.exchange(1.0, OTHER)
    made.close()
    assert made.exchange(1.0, OTHER) == []


def test_a_life_is_folded_once_only():
    made = Settled()
    for _ in range(2):
        made.fold(99, 1, [Row(*KEY, 1, (5, 0, 0, 0, 0))])
    assert made.rows == {KEY: (5, 0, 0, 0, 0)}


def test_the_end_of_a_life_is_told_after_the_counts_of_the_next():
    """Else the interval would leave out, for a moment, what the next one has counted."""
    made = holding()
    made._merge(0.0, Part(5, "other", False, 0, 1, 0, (Row(*KEY, 1, (1, 0, 0, 0, 0)),)), 0.0)
    for life in range(200, 220):
        made._merge(0.0, Part(life, "x", True, 0, 1, 0, (Row(*KEY, 1, (1, 0, 0, 0, 0)),)), 0.0)
    parts = [part for send in asked(made, 1.0, ()) for part in send.message.parts]
    assert [part.closed for part in parts] == sorted(part.closed for part in parts)
