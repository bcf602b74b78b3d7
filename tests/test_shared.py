"""Shared state by itself: parts of budgets under any story, the laws of merging, what is bounded and how."""

from __future__ import annotations

import heapq
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from willownotch.control import Controller
from willownotch.interface import (
    DestinationKind,
    Endpoint,
    EndpointList,
    Idempotency,
    Message,
    MessageClass,
    Refuse,
    Send,
    Settings,
    Tenant,
    TenantPart,
)
from willownotch.peers.lossy import Network, Weather
from willownotch.shared.budgets import WHOLE_PPM, Budgets, Loan, Wish
from willownotch.shared.judgements import Judgements, Row
from willownotch.shared.layer import Ask, Found, Lend, SharingLayer

SPAN = 3.0


def budgets_of(name, number=4, now=0.0, keep=0.1):
    made = Budgets(name, number, now, Random(int(name[1:])), SPAN, keep)
    made.configure({"acme": 100.0})
    return made


class Story:
    """Instances whose clocks run at different speeds, and messages that are lost, late or repeated."""

    def __init__(self, seed, number=4):
        self.random, self.now, self.number, self.queue, self.count = Random(seed), 0.0, number, [], 0
        self.rates = [1 + self.random.uniform(-0.02, 0.02) for _ in range(number)]
        self.offsets = [self.random.uniform(0, 100) for _ in range(number)]
        self.made = [self.fresh(n) for n in range(number)]
        self.cut = set()

    def clock(self, n):
        return self.offsets[n] + self.now * self.rates[n]

    def fresh(self, n):
        return budgets_of(f"i{n}", self.number, self.clock(n))

    def post(self, source, target, what):
        for _ in range(self.random.choice([0, 1, 1, 1, 2])):
            late = self.random.choice([0.01, 0.1, 1.0, 5.0])
            self.count += 1
            heapq.heappush(self.queue, (self.now + late, self.count, source, target, what))

    def step(self, span=0.1):
        ends = self.now + span
        while self.queue and self.queue[0][0] <= ends:
            self.now, _, source, target, what = heapq.heappop(self.queue)
            if source in self.cut or target in self.cut:
                continue
            kind, stamp, body = what
            own = self.clock(target)
            if kind == "ask":
                if loans := self.made[target].lend(own, f"i{source}", body):
                    self.post(target, source, ("lend", stamp, loans))
            else:
                self.made[target].borrowed(own, f"i{source}", stamp, body)
            self.check()
        self.now = ends
        for n, made in enumerate(self.made):
            others = [f"i{m}" for m in range(self.number) if m != n]
            for name, wishes in made.ask(self.clock(n), others).items():
                self.post(n, int(name[1:]), ("ask", self.clock(n), wishes))
        self.check()

    def check(self):
        total = sum(made.part("acme", self.clock(n)) for n, made in enumerate(self.made))
        assert total <= WHOLE_PPM, total


@settings(max_examples=40, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    moves=st.lists(
        st.tuples(
            st.sampled_from(["load", "cut", "heal", "restart", "wait"]), st.integers(0, 3), st.integers(0, 60)
        ),
        max_size=25,
    ),
)
def test_no_story_ever_lets_more_than_the_whole_be_spent(seed, moves):
    story = Story(seed)
    for _ in range(40):
        story.step()
    for what, n, amount in moves:
        if what == "load":
            story.made[n].record_demand(story.clock(n), [("acme", amount)])
        elif what == "cut":
            story.cut.add(n)
        elif what == "heal":
            story.cut.clear()
        elif what == "restart":
            story.made[n] = story.fresh(n)  # it knows of no loans that it made before
        for _ in range(5):
            story.step()


def test_what_is_idle_is_lent_to_who_has_more_to_do_and_comes_back():
    story = Story(1)
    for _ in range(40):
        story.step()
    for _ in range(60):
        story.made[0].record_demand(story.clock(0), [("acme", 9)])  # 90 a second of 100
        story.step()
    busy = story.made[0].part("acme", story.clock(0))
    assert busy > 0.6 * WHOLE_PPM
    for _ in range(80):
        for n in range(4):
            story.made[n].record_demand(story.clock(n), [("acme", 9)])  # all want more than there is
        story.step()
    parts = [made.part("acme", story.clock(n)) for n, made in enumerate(story.made)]
    assert min(parts) > 0.2 * WHOLE_PPM


def test_who_hears_nothing_has_its_own_part_again_within_a_loan():
    story = Story(2)
    for _ in range(90):
        story.made[0].record_demand(story.clock(0), [("acme", 9)])
        story.step()
    story.cut |= {0, 1, 2, 3}
    for _ in range(33):
        story.step()
    assert [made.part("acme", story.clock(n)) for n, made in enumerate(story.made)] == [WHOLE_PPM // 4] * 4


@pytest.mark.parametrize(
    "loan",
    [
        Loan(1, "acme", WHOLE_PPM, SPAN),
        Loan(2, "acme", -5, SPAN),
        Loan(3, "nobody", 1000, SPAN),
        Loan(4, "acme", WHOLE_PPM // 4 + 1, 1e9),
    ],
)
def test_nobody_lends_what_it_cannot_own(loan):
    made = budgets_of("i0")
    made.borrowed(10.0, "i1", 9.9, [loan])
    assert made.part("acme", 10.0) == WHOLE_PPM // 4


def test_a_lying_lender_gives_no_more_than_one_part():
    made = budgets_of("i0")
    for number in range(50):
        made.borrowed(10.0, "i1", 9.9, [Loan(number, "acme", WHOLE_PPM // 8, SPAN)])
    assert made.part("acme", 10.0) == WHOLE_PPM // 2
    assert made.part("acme", 13.0) == WHOLE_PPM // 4


def test_a_process_that_begins_spends_at_first_only_what_is_never_lent():
    made = budgets_of("i0", now=100.0)
    assert made.part("acme", 101.0) == WHOLE_PPM // 40
    assert made.lend(101.0, "i1", [Wish("acme", 1000)]) == []
    assert made.part("acme", 103.1) == WHOLE_PPM // 4


# Judgements


def judge(name="me", life=0, **more):
    asked = {"span": 5.0, "sources": 2, "most_share": 0.5, "rows_most": 100, **more}
    return Judgements(name, life, **asked)


rows = st.builds(
    Row,
    life=st.integers(1, 4),
    source=st.sampled_from(["a", "b", "c"]),
    endpoint=st.sampled_from(["e1", "e2"]),
    version=st.integers(1, 4),
    failing=st.sampled_from([True, False, None]),
    limit=st.none(),
    age_ms=st.integers(0, 6000),
)
histories = st.lists(st.lists(rows, max_size=6), max_size=6)


def told_by_version(history):
    """Rows as honest sources write them: one content for each version."""
    known = {}
    return [[known.setdefault((r.life, r.endpoint, r.version), r) for r in some] for some in history]


def content(made):
    return {key: (held.row.version, held.row.failing, round(held.at, 6)) for key, held in made.held.items()}


@settings(deadline=None)
@given(history=histories, seed=st.integers(0, 2**32))
def test_merging_needs_no_order_and_no_count(history, seed):
    history = told_by_version(history)
    one, other = judge(), judge()
    for some in history:
        one.merge(10.0, some)
    shuffled = [row for some in history for row in some] * 2
    Random(seed).shuffle(shuffled)
    for row in shuffled:
        other.merge(10.0, [row])
    third = judge()  # joined from two halves that were merged apart
    halves = [judge(), judge()]
    for n, some in enumerate(history):
        halves[n % 2].merge(10.0, some)
    for half in halves:
        third.merge(10.0, [held.row for held in half.held.values()])
    assert content(one) == content(other)
    assert {k: v[:2] for k, v in content(one).items()} == {k: v[:2] for k, v in content(third).items()}


def said(life, endpoint, failing=True, version=1, source=None, limit=None, age_ms=0):
    return Row(life, source or f"s{life}", endpoint, version, failing, limit, age_ms)


LISTED = {"e1": 7, "e2": 7, "e3": 7, "e4": 7, "x1": 8}


def test_one_that_is_wrong_changes_nothing_whatever_it_says_and_however_often_it_begins_anew():
    made = judge()
    for life in range(1, 40):
        made.merge(1.0, [said(life, e, source="liar") for e in LISTED])
    assert made.verdicts(1.0, LISTED) == {}


def test_many_that_are_wrong_black_out_no_destination():
    made = judge()
    for life in range(1, 9):
        made.merge(1.0, [said(life, e) for e in LISTED])
    down = [v.endpoint for v in made.verdicts(1.0, LISTED).values() if v.failing]
    assert sum(LISTED[e] == 7 for e in down) == 2
    assert "x1" not in down  # its only one


def test_what_is_not_affirmed_is_over_within_its_span_and_says_so_by_its_age():
    made = judge()
    made.merge(1.0, [said(1, "e1", age_ms=1000), said(2, "e1")])
    assert made.verdicts(4.9, LISTED)["e1"].sources == 2
    made.tick(5.1)  # the first was said at 0.0
    assert made.verdicts(5.1, LISTED) == {}


def test_where_enough_say_it_nobody_else_affirms_it():
    made = judge(life=9)
    made.told(0.0, "e1", works=False)
    made.merge(1.5, [said(life, "e1") for life in (1, 2, 3)])
    made.tick(2.0)
    assert made.own["e1"].version == 1
    made.tick(4.0)  # those are old by now
    assert made.own["e1"].version == 2


def test_a_limit_is_the_middle_of_what_enough_others_were_told():
    made = judge()
    made.merge(1.0, [said(n, "e1", failing=None, limit=x) for n, x in ((1, 10.0), (2, 12.0), (3, 9e9))])
    made.merge(1.0, [said(1, "e2", failing=None, limit=5.0)])
    assert made.limits(LISTED) == {"e1": 12.0}


def test_rows_are_bounded():
    made = judge()
    made.merge(1.0, [said(n, "e1") for n in range(1, 300)])
    assert (len(made.held), made.left_out) == (100, 199)


# The layer in simulated time


def fleet(number, weather, seed=1):
    net = Network(seed, weather)
    layers = {}
    for n in range(number):
        name = f"i{n}"
        made = budgets_of(name, number)
        layers[name] = SharingLayer(name, lambda: 0.2, Random(n), made, judge(name, n + 1), 0.0)
        net.add(name, ("i0",) if n else (), offset=5.0 * n, layers=(layers[name],))
    return net, layers


def test_findings_reach_all_through_loss_and_delay_and_are_forgotten_when_their_sources_fall_silent():
    net, layers = fleet(8, Weather(loss=0.2, delay=0.3))
    net.run(8.0)
    for name in ("i0", "i1"):
        layers[name].judgements.told(net.now + net.offsets[name], "e1", works=False)

    def know(count):
        return (
            sum("e1" in layers[n].judgements.verdicts(net.now + net.offsets[n], LISTED) for n in net.living())
            == count
        )

    net.until(lambda: know(6), 6.0)  # the two themselves hear one other each
    net.kill("i0")
    net.kill("i1")
    net.until(lambda: know(0), 6.5)


@settings(max_examples=200, deadline=None)
@given(
    message=st.one_of(
        st.builds(
            Ask,
            source=st.text(max_size=5),
            stamp=st.integers(),
            wishes=st.lists(st.tuples(st.text(max_size=4), st.integers(), st.integers()), max_size=3).map(
                tuple
            ),
        ),
        st.builds(
            Lend,
            source=st.text(max_size=5),
            stamp=st.integers(),
            loans=st.lists(
                st.tuples(st.integers(), st.sampled_from(["acme", "x"]), st.integers(), st.integers()),
                max_size=3,
            ).map(tuple),
        ),
        st.builds(Found, source=st.text(max_size=5), rows=st.lists(rows, max_size=3).map(tuple)),
    )
)
def test_whatever_comes_the_own_part_stands_and_nothing_fails(message):
    made = budgets_of("i0")
    layer = SharingLayer("i0", lambda: 0.2, Random(1), made, judge("i0", 99), 0.0)
    layer.receive(10.0, ("127.0.0.1", 1), message)
    layer.receive(10.0, ("127.0.0.1", 1), message)
    assert made.part("acme", 10.0) <= WHOLE_PPM // 2 + 1


# The decisions


def test_the_module_turns_away_what_is_above_a_hard_part_and_says_when_to_come_again():
    order = MessageClass("order", 1.0, 2.0, 10.0, 0.3, Idempotency.SAFE)
    asked = Settings(
        (order,), (DestinationKind("k"),), 50, 100, (Tenant("acme", 10.0),), max_retry_after_s=5.0
    )
    for hard in (False, True):
        control = Controller(asked, 1)
        control.handle(0.0, [EndpointList((Endpoint(1, 7, 0, 0),), True), TenantPart(0, 0.25, hard)])
        out = control.handle(0.1, [Message(f"m{n}", 7, 0, 10.0) for n in range(20)])
        back = [a for a in out if isinstance(a, Refuse)]
        assert len(back) == (15 if hard else 0)  # 2 s of 2.5 a second may come at once
        assert all(a.retry_after_s == pytest.approx(0.4) for a in back)
        assert [a for a in out if isinstance(a, Send)]
