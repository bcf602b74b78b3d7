"""Shared state by itself: budgets never exceed the whole, merging needs no order, all state is bounded."""

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
from willownotch.peers.lossy import Conditions, Network
from willownotch.shared.budgets import WHOLE_PPM, Budgets, Loan, LoanRequest
from willownotch.shared.judgements import Judgements, Row
from willownotch.shared.layer import JudgementRows, LoanGrants, LoanRequests, SharingLayer

LOAN_S = 3.0


def new_budgets(name, instances=4, now=0.0, reserved_share=0.1):
    budgets = Budgets(name, instances, now, Random(int(name[1:])), LOAN_S, reserved_share)
    budgets.configure({"acme": 100.0})
    return budgets


class Simulation:
    """Instances whose clocks run at different speeds, and messages that are lost, delayed or repeated."""

    def __init__(self, seed, number=4):
        self.random, self.now, self.number, self.queue, self.count = Random(seed), 0.0, number, [], 0
        self.rates = [1 + self.random.uniform(-0.02, 0.02) for _ in range(number)]
        self.offsets = [self.random.uniform(0, 100) for _ in range(number)]
        self.instances = [self.started(n) for n in range(number)]
        self.cut = set()

    def clock(self, n):
        return self.offsets[n] + self.now * self.rates[n]

    def started(self, n):
        return new_budgets(f"i{n}", self.number, self.clock(n))

    def post(self, source, target, message):
        for _ in range(self.random.choice([0, 1, 1, 1, 2])):
            delay = self.random.choice([0.01, 0.1, 1.0, 5.0])
            self.count += 1
            heapq.heappush(self.queue, (self.now + delay, self.count, source, target, message))

    def step(self, seconds=0.1):
        ends = self.now + seconds
        while self.queue and self.queue[0][0] <= ends:
            self.now, _, source, target, message = heapq.heappop(self.queue)
            if source in self.cut or target in self.cut:
                continue
            kind, stamp, body = message
            local_now = self.clock(target)
            if kind == "request":
                if loans := self.instances[target].lend(local_now, f"i{source}", body):
                    self.post(target, source, ("grant", stamp, loans))
            else:
                self.instances[target].record_loans(local_now, f"i{source}", stamp, body)
            self.check()
        self.now = ends
        for n, budgets in enumerate(self.instances):
            others = [f"i{m}" for m in range(self.number) if m != n]
            for name, requests in budgets.loan_requests(self.clock(n), others).items():
                self.post(n, int(name[1:]), ("request", self.clock(n), requests))
        self.check()

    def check(self):
        total = sum(budgets.part("acme", self.clock(n)) for n, budgets in enumerate(self.instances))
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
def test_the_parts_never_exceed_the_whole_budget(seed, moves):
    simulation = Simulation(seed)
    for _ in range(40):
        simulation.step()
    for move, n, amount in moves:
        if move == "load":
            simulation.instances[n].record_demand(simulation.clock(n), [("acme", amount)])
        elif move == "cut":
            simulation.cut.add(n)
        elif move == "heal":
            simulation.cut.clear()
        elif move == "restart":
            simulation.instances[n] = simulation.started(n)  # it does not know the loans that it had granted
        for _ in range(5):
            simulation.step()


def test_idle_parts_are_lent_to_a_busy_instance_and_returned():
    simulation = Simulation(1)
    for _ in range(40):
        simulation.step()
    for _ in range(60):
        simulation.instances[0].record_demand(simulation.clock(0), [("acme", 9)])  # 90 a second of 100
        simulation.step()
    busy = simulation.instances[0].part("acme", simulation.clock(0))
    assert busy > 0.6 * WHOLE_PPM
    for _ in range(80):
        for n in range(4):
            # together more than the budget
            simulation.instances[n].record_demand(simulation.clock(n), [("acme", 9)])
        simulation.step()
    parts = [budgets.part("acme", simulation.clock(n)) for n, budgets in enumerate(simulation.instances)]
    assert min(parts) > 0.2 * WHOLE_PPM


def test_an_instance_that_is_cut_off_has_its_own_part_after_a_loan():
    simulation = Simulation(2)
    for _ in range(90):
        simulation.instances[0].record_demand(simulation.clock(0), [("acme", 9)])
        simulation.step()
    simulation.cut |= {0, 1, 2, 3}
    for _ in range(33):
        simulation.step()
    assert [budgets.part("acme", simulation.clock(n)) for n, budgets in enumerate(simulation.instances)] == [
        WHOLE_PPM // 4
    ] * 4


@pytest.mark.parametrize(
    "loan",
    [
        Loan(1, "acme", WHOLE_PPM, LOAN_S),
        Loan(2, "acme", -5, LOAN_S),
        Loan(3, "nobody", 1000, LOAN_S),
        Loan(4, "acme", WHOLE_PPM // 4 + 1, 1e9),
    ],
)
def test_an_impossible_loan_is_ignored(loan):
    budgets = new_budgets("i0")
    budgets.record_loans(10.0, "i1", 9.9, [loan])
    assert budgets.part("acme", 10.0) == WHOLE_PPM // 4


def test_a_lender_cannot_grant_more_than_its_own_part_in_many_loans():
    budgets = new_budgets("i0")
    for number in range(50):
        budgets.record_loans(10.0, "i1", 9.9, [Loan(number, "acme", WHOLE_PPM // 8, LOAN_S)])
    assert budgets.part("acme", 10.0) == WHOLE_PPM // 2
    assert budgets.part("acme", 13.0) == WHOLE_PPM // 4


def test_a_new_process_spends_only_the_reserved_share_for_one_loans_duration():
    budgets = new_budgets("i0", now=100.0)
    assert budgets.part("acme", 101.0) == WHOLE_PPM // 40
    assert budgets.lend(101.0, "i1", [LoanRequest("acme", 1000)]) == []
    assert budgets.part("acme", 103.1) == WHOLE_PPM // 4


# Judgements


def new_judgements(name="me", uid=0, **changes):
    options = {"lifetime_s": 5.0, "sources": 2, "max_failing_share": 0.5, "max_rows": 100, **changes}
    return Judgements(name, uid, **options)


rows = st.builds(
    Row,
    uid=st.integers(1, 4),
    source=st.sampled_from(["a", "b", "c"]),
    endpoint=st.sampled_from(["e1", "e2"]),
    version=st.integers(1, 4),
    failing=st.sampled_from([True, False, None]),
    limit=st.none(),
    age_ms=st.integers(0, 6000),
)
histories = st.lists(st.lists(rows, max_size=6), max_size=6)


def consistent(history):
    """Makes all rows of one version the same, as a source that follows the protocol does."""
    known = {}
    return [[known.setdefault((r.uid, r.endpoint, r.version), r) for r in batch] for batch in history]


def content(judgements):
    return {
        key: (stored.row.version, stored.row.failing, round(stored.affirmed_at, 6))
        for key, stored in judgements.rows.items()
    }


@settings(deadline=None)
@given(history=histories, seed=st.integers(0, 2**32))
def test_merging_is_idempotent_commutative_and_associative(history, seed):
    history = consistent(history)
    one, other = new_judgements(), new_judgements()
    for batch in history:
        one.merge(10.0, batch)
    shuffled = [row for batch in history for row in batch] * 2
    Random(seed).shuffle(shuffled)
    for row in shuffled:
        other.merge(10.0, [row])
    third = new_judgements()  # merged from two halves
    halves = [new_judgements(), new_judgements()]
    for n, batch in enumerate(history):
        halves[n % 2].merge(10.0, batch)
    for half in halves:
        third.merge(10.0, [stored.row for stored in half.rows.values()])
    assert content(one) == content(other)
    assert {k: v[:2] for k, v in content(one).items()} == {k: v[:2] for k, v in content(third).items()}


def new_row(uid, endpoint, failing=True, version=1, source=None, limit=None, age_ms=0):
    return Row(uid, source or f"s{uid}", endpoint, version, failing, limit, age_ms)


LISTED = {"e1": 7, "e2": 7, "e3": 7, "e4": 7, "x1": 8}


def test_one_wrong_source_changes_nothing_however_often_it_restarts():
    judgements = new_judgements()
    for uid in range(1, 40):
        judgements.merge(1.0, [new_row(uid, e, source="liar") for e in LISTED])
    assert judgements.verdicts(1.0, LISTED) == {}


def test_many_wrong_sources_take_out_no_destination():
    judgements = new_judgements()
    for uid in range(1, 9):
        judgements.merge(1.0, [new_row(uid, e) for e in LISTED])
    failing = [v.endpoint for v in judgements.verdicts(1.0, LISTED).values() if v.failing]
    assert sum(LISTED[e] == 7 for e in failing) == 2
    assert "x1" not in failing  # the only endpoint of its destination


def test_a_row_that_is_not_affirmed_is_dropped_after_its_lifetime_counted_by_its_age():
    judgements = new_judgements()
    judgements.merge(1.0, [new_row(1, "e1", age_ms=1000), new_row(2, "e1")])
    assert judgements.verdicts(4.9, LISTED)["e1"].sources == 2
    judgements.tick(5.1)  # the first was affirmed at 0.0
    assert judgements.verdicts(5.1, LISTED) == {}


def test_a_judgement_that_enough_others_affirm_is_not_affirmed_here():
    judgements = new_judgements(uid=9)
    judgements.told(0.0, "e1", works=False)
    judgements.merge(1.5, [new_row(uid, "e1") for uid in (1, 2, 3)])
    judgements.tick(2.0)
    assert judgements.own["e1"].version == 1
    judgements.tick(4.0)  # the others' rows are no longer recent
    assert judgements.own["e1"].version == 2


def test_a_limit_is_the_median_of_what_enough_others_were_told():
    judgements = new_judgements()
    judgements.merge(
        1.0, [new_row(n, "e1", failing=None, limit=x) for n, x in ((1, 10.0), (2, 12.0), (3, 9e9))]
    )
    judgements.merge(1.0, [new_row(1, "e2", failing=None, limit=5.0)])
    assert judgements.limits(LISTED) == {"e1": 12.0}


def test_rows_are_bounded():
    judgements = new_judgements()
    judgements.merge(1.0, [new_row(n, "e1") for n in range(1, 300)])
    assert (len(judgements.rows), judgements.left_out) == (100, 199)


# The layer in simulated time


def simulated_fleet(number, conditions, seed=1):
    net = Network(seed, conditions)
    layers = {}
    for n in range(number):
        name = f"i{n}"
        budgets = new_budgets(name, number)
        layers[name] = SharingLayer(name, lambda: 0.2, Random(n), budgets, new_judgements(name, n + 1), 0.0)
        net.add(name, ("i0",) if n else (), offset=5.0 * n, layers=(layers[name],))
    return net, layers


def test_judgements_reach_all_through_loss_and_delay_and_expire_when_their_sources_die():
    net, layers = simulated_fleet(8, Conditions(loss=0.2, delay=0.3))
    net.run(8.0)
    for name in ("i0", "i1"):
        layers[name].judgements.told(net.now + net.offsets[name], "e1", works=False)

    def known_by(count):
        return (
            sum(
                "e1" in layers[n].judgements.verdicts(net.now + net.offsets[n], LISTED)
                for n in net.running_members()
            )
            == count
        )

    net.until(lambda: known_by(6), 6.0)  # the two sources themselves hear of one other only
    net.kill("i0")
    net.kill("i1")
    net.until(lambda: known_by(0), 6.5)


@settings(max_examples=200, deadline=None)
@given(
    message=st.one_of(
        st.builds(
            LoanRequests,
            source=st.text(max_size=5),
            stamp=st.integers(),
            requests=st.lists(st.tuples(st.text(max_size=4), st.integers(), st.integers()), max_size=3).map(
                tuple
            ),
        ),
        st.builds(
            LoanGrants,
            source=st.text(max_size=5),
            stamp=st.integers(),
            loans=st.lists(
                st.tuples(st.integers(), st.sampled_from(["acme", "x"]), st.integers(), st.integers()),
                max_size=3,
            ).map(tuple),
        ),
        st.builds(JudgementRows, source=st.text(max_size=5), rows=st.lists(rows, max_size=3).map(tuple)),
    )
)
def test_any_message_leaves_the_own_part_and_raises_nothing(message):
    budgets = new_budgets("i0")
    layer = SharingLayer("i0", lambda: 0.2, Random(1), budgets, new_judgements("i0", 99), 0.0)
    layer.receive(10.0, ("127.0.0.1", 1), message)
    layer.receive(10.0, ("127.0.0.1", 1), message)
    assert budgets.part("acme", 10.0) <= WHOLE_PPM // 2 + 1


# The decision module


def test_messages_above_a_hard_part_are_rejected_with_a_time_to_retry():
    order = MessageClass("order", 1.0, 2.0, 10.0, 0.3, Idempotency.SAFE)
    module_settings = Settings(
        (order,), (DestinationKind("k"),), 50, 100, (Tenant("acme", 10.0),), max_retry_after_s=5.0
    )
    for hard in (False, True):
        control = Controller(module_settings, 1)
        control.handle(0.0, [EndpointList((Endpoint(1, 7, 0, 0),), True), TenantPart(0, 0.25, hard)])
        out = control.handle(0.1, [Message(f"m{n}", 7, 0, 10.0) for n in range(20)])
        rejected = [a for a in out if isinstance(a, Refuse)]
        assert len(rejected) == (15 if hard else 0)  # a burst of 2 s at 2.5 a second is allowed
        assert all(a.retry_after_s == pytest.approx(0.4) for a in rejected)
        assert [a for a in out if isinstance(a, Send)]
