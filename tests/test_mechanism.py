"""The concurrency limit's window, cuts and slot shares, checked against values computed by hand."""

from math import inf, sqrt

import pytest
from helpers import CLASSES, SAFE, UNSAFE, Sender, sends

from willownotch import concurrency_limit
from willownotch.interface import CancelAttempt, Decay, Message, MessageClass, Outcome
from willownotch.state import Pool, ewma, job_of


def make_pool(**values):
    made = Pool(0.0, upper_cut=256.0)
    for name, value in values.items():
        setattr(made, name, value)
    return made


def test_averages_with_different_weights_up_and_down():
    assert ewma(None, 4.0, 0.01, 0.1) == 4.0
    assert ewma(4.0, 5.0, 0.01, 0.1) == pytest.approx(4.01)
    assert ewma(4.0, 3.0, 0.01, 0.1) == pytest.approx(3.9)


def test_min_cost_and_max_rate_move_only_in_seconds_with_successes():
    pool = make_pool()
    for took in (0.1, 0.3):
        concurrency_limit.record_success(pool, took, 0.5)
    concurrency_limit.close_period(pool, 1.0)
    assert (pool.min_cost, pool.max_rate) == (pytest.approx(0.2), 2.0)
    concurrency_limit.close_period(pool, 2.0)
    assert (pool.min_cost, pool.max_rate) == (pytest.approx(0.2), 2.0)
    concurrency_limit.record_success(pool, 0.1, 2.5)
    concurrency_limit.close_period(pool, 3.0)
    assert pool.min_cost == pytest.approx(0.19)  # falls at 0.1
    assert pool.max_rate == pytest.approx(1.99)  # falls at 0.01


def test_m_is_the_smoothed_maximum_of_the_last_thirty_latencies_every_ten():
    pool = make_pool()
    for n in range(9):
        concurrency_limit.record_success(pool, 0.1 + n / 100, pool.period_began_at)
    assert pool.maxima == []
    concurrency_limit.record_success(pool, 0.5, pool.period_began_at)
    assert pool.maxima == [0.5]
    concurrency_limit.close_period(pool, 1.0)
    assert pool.high_latency == 0.5
    for _ in range(30):
        concurrency_limit.record_success(pool, 0.1, pool.period_began_at)
    assert pool.maxima == [0.5, 0.5, 0.1]
    concurrency_limit.close_period(pool, 2.0)
    assert pool.high_latency == pytest.approx(0.9 * 0.5 + 0.1 * (1.1 / 3))


def test_expected_is_twice_the_calm_p99():
    pool = make_pool()
    for n in range(20):
        concurrency_limit.record_success(pool, 0.01 * (n + 1), pool.period_began_at)
    concurrency_limit.close_period(pool, 1.0)
    assert pool.expected == pytest.approx(2 * 0.19)
    pool.failed_at = 1.5  # a period with a failure: its latencies do not count
    for _ in range(50):
        concurrency_limit.record_success(pool, 9.0, pool.period_began_at)
    concurrency_limit.close_period(pool, 2.0)
    assert pool.expected == pytest.approx(2 * 0.19)


@pytest.mark.parametrize(
    ("high_latency", "failed_at", "window"),
    [
        (0.9, -inf, inf),  # M has not passed expected and nothing fails: does not bind
        (4.0, -inf, 10 * sqrt(1 / 4)),
        (0.8, 9.5, 10 / 0.8),  # calls fail, middle band: expected / M
        (0.4, 9.5, inf),  # calls fail, but F is infinite under half of expected
        (1000.0, -inf, 1.0),  # never below one
    ],
)
def test_window(high_latency, failed_at, window):
    pool = make_pool(
        min_cost=0.5, max_rate=20.0, expected=1.0, high_latency=high_latency, failed_at=failed_at
    )
    assert concurrency_limit.window(pool, 10.0) == pytest.approx(window)


def job(priority):
    made = job_of(Message("x", 1, 0, 20.0), CLASSES[0], 0.0, True)
    made.priority = priority
    return made


def test_messages_above_the_upper_cut_have_twice_the_window():
    pool = make_pool(
        min_cost=0.5, max_rate=20.0, expected=1.0, high_latency=4.0, upper_cut=200.0, lower_cut=50.0, calls=5
    )
    assert concurrency_limit.window(pool, 0.0) == pytest.approx(5.0)
    assert not concurrency_limit.admits(pool, job(100.0), 0.0)
    assert not concurrency_limit.admits(pool, job(10.0), 0.0)
    assert concurrency_limit.admits(pool, job(220.0), 0.0)
    pool.calls = 10
    assert not concurrency_limit.admits(pool, job(220.0), 0.0)
    pool.calls = 4
    assert concurrency_limit.admits(pool, job(10.0), 0.0)
    assert (pool.cut_messages, pool.top_messages, pool.middle_admitted, pool.middle_rejected) == (5, 2, 0, 1)


def test_cuts_step_after_rejections_and_drift_back_otherwise():
    pool = make_pool(middle_admitted=20, middle_rejected=80, top_messages=10)
    concurrency_limit.step_cuts(pool)
    assert (pool.lower_cut, pool.upper_cut) == (8.0, 248.0)  # under half admitted; 20 > a tenth of 10
    pool.middle_admitted, pool.middle_rejected, pool.top_messages = 80, 20, 1000
    concurrency_limit.step_cuts(pool)
    assert (pool.lower_cut, pool.upper_cut) == (0.0, 256.0)  # over half admitted; 80 < a tenth of 1000
    pool.lower_cut, pool.upper_cut = 80.0, 100.0
    concurrency_limit.step_cuts(pool)
    assert (pool.lower_cut, pool.upper_cut) == (72.0, 108.0)


def test_cuts_step_every_two_hundred_messages():
    pool = make_pool(min_cost=0.1, max_rate=1.0, expected=1.0, high_latency=4.0, calls=1)
    for _ in range(199):
        concurrency_limit.admits(pool, job(100.0), 0.0)
    assert pool.lower_cut == 0.0
    concurrency_limit.admits(pool, job(100.0), 0.0)
    assert pool.lower_cut == 8.0


def test_priority_is_worth_on_the_range_plus_a_seeded_fraction():
    sender = Sender(slots=1)
    sender.step(sender.message(SAFE), sender.message(UNSAFE))
    low, high = sender.control.store.jobs["m1"].priority, sender.control.store.jobs["m2"].priority
    assert 63.75 <= low < 64.75
    assert 255.0 <= high < 256.0


def test_one_destination_takes_three_quarters_of_the_slots():
    sender = Sender(slots=9)
    assert len(sends(sender.step(*[sender.message() for _ in range(20)]))) == 6


def test_a_slow_destination_takes_half_of_the_slots():
    sender = Sender(slots=8)
    pool = sender.control.store.routes[1].pool
    pool.high_latency, pool.expected, pool.min_cost, pool.max_rate = 2.0, 1.0, 10.0, 10.0
    assert len(sends(sender.step(*[sender.message() for _ in range(20)]))) == 4


def test_several_degraded_destinations_together_take_half_of_the_slots():
    sender = Sender(rows=[(n, n, 0, 0) for n in (1, 2, 3)], slots=8)
    for n in (1, 2):
        pool = sender.control.store.routes[n].pool
        pool.high_latency, pool.expected, pool.min_cost, pool.max_rate = 2.0, 1.0, 10.0, 10.0
    out = sender.step(*[sender.message(dest=d) for d in (1, 2) for _ in range(6)])
    assert len(sends(out)) == 4
    assert len(sends(sender.step(*[sender.message(dest=3) for _ in range(6)]))) == 4


def test_most_worth_first_then_oldest():
    sender = Sender(slots=1)
    first = sends(sender.step(sender.message(SAFE)))[0]
    sender.step(sender.message(SAFE), sender.message(UNSAFE), after=0.01)
    out = sender.step(sender.ended(first, Outcome.DELIVERED), after=0.1)
    assert [a.ref for a in sends(out)] == ["m3"]


def test_worth_falls_as_the_settings_say():
    cls = MessageClass("c", 4.0, 2.0, 12.0, 0.3, SAFE.idempotency)
    made = job_of(Message("x", 1, 0, 12.0), cls, 0.0, True)
    made.worth = 4.0
    assert made.worth_at(2.0, Decay.EVEN) == 4.0
    assert made.worth_at(7.0, Decay.EVEN) == pytest.approx(4 * 0.65)
    assert made.worth_at(4.0, Decay.BY_HALF) == pytest.approx(2.0)
    assert made.worth_at(11.0, Decay.BY_HALF) == pytest.approx(4 * 0.3)


def test_a_round_computes_readiness_once_for_many_held_messages():
    """The cost of a round grew with all held messages, and with much traffic the sockets were served late."""
    sender = Sender()
    asked, ready_at = [], sender.control._ready_at
    sender.control._ready_at = lambda route: asked.append(route) or ready_at(route)
    out = sender.step(*[sender.message() for _ in range(40)], after=0.1)
    assert len(sends(out)) == 6  # three quarters of eight slots
    assert len(asked) < 20


def test_a_closed_window_is_computed_once_per_round(monkeypatch):
    """It was computed for each of hundreds of held messages, which delayed outcomes and answers."""
    sender = Sender()
    asked = []
    monkeypatch.setattr("willownotch.control.window", lambda pool, now: asked.append(pool) or 1.0)
    out = sender.step(*[sender.message() for _ in range(40)], after=0.1)
    assert (len(sends(out)), len(asked)) == (1, 1)


def test_a_call_that_others_overtook_is_cancelled_when_no_slot_is_free():
    """Calls on dead connections kept their slots for seconds each, until they had all of them."""
    sender = Sender(rows=((1, 1, 0, 0), (2, 2, 0, 0)), slots=4, may_cancel=True)
    sender.serve(30)
    out = sender.step(*[sender.message() for _ in range(60)], sender.message(dest=2), after=0.1)
    stuck, began = next(s for s in sends(out) if s.endpoint == 1), sender.now
    off = []
    while not off and sender.now < began + 2.0:
        answered = [s for s in sender.waiting() if s.endpoint == 1 and s.ref != stuck.ref]
        sender.step(*[sender.ended(s, Outcome.DELIVERED) for s in answered], after=0.1)
        off = [a.ref for a in sender.tick() if isinstance(a, CancelAttempt)]
    assert off == [stuck.ref]
    assert sender.now - began < 1.5


def test_a_call_on_a_dead_connection_is_cancelled_once_another_endpoint_of_the_destination_answers():
    """Idle endpoints come first, so one with a dead call was never tried again, and the call kept its slot
    until the message's deadline."""
    sender = Sender(rows=((1, 1, 0, 0), (2, 1, 0, 0), (3, 2, 0, 0)), slots=4, may_cancel=True)
    sender.serve(14, took=0.1)  # too few for the calm p99: only the last latencies are known
    more = [1, 2, 2]  # the endpoint with the dead call is not tried again while the other one is idle
    dead, *_ = sends(sender.step(*[sender.message(dest=dest) for dest in [*more, *[2] * 30]], after=0.1))
    began, off = sender.now, []
    while not off and sender.now < began + 5.0:
        answered = [s for s in sender.waiting() if s.endpoint != dead.endpoint]
        news = [sender.ended(s, Outcome.DELIVERED) for s in answered]
        sender.step(*news, *[sender.message(dest=dest) for dest in more], after=0.1)
        off = [a.ref for a in sender.tick() if isinstance(a, CancelAttempt)]
    assert off[0] == dead.ref and sender.now - began < 1.5 < sender.control.default_silence_s
