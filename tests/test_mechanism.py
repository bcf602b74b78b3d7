"""The design's window, cuts and caps, with figures worked by hand."""

from math import inf, sqrt

import pytest
from helpers import CLASSES, SAFE, UNSAFE, Sender, sends

from willownotch import concurrency_limit
from willownotch.interface import CancelAttempt, Decay, Message, MessageClass, Outcome
from willownotch.state import Unit, follow, job_of


def unit(**values):
    made = Unit(0.0, upper=256.0)
    for name, value in values.items():
        setattr(made, name, value)
    return made


def test_leaning_averages():
    assert follow(None, 4.0, 0.01, 0.1) == 4.0
    assert follow(4.0, 5.0, 0.01, 0.1) == pytest.approx(4.01)
    assert follow(4.0, 3.0, 0.01, 0.1) == pytest.approx(3.9)


def test_min_cost_and_max_rate_move_only_in_seconds_with_successes():
    u = unit()
    for took in (0.1, 0.3):
        concurrency_limit.success(u, took, 0.5)
    concurrency_limit.close_period(u, 1.0)
    assert (u.min_cost, u.max_rate) == (pytest.approx(0.2), 2.0)
    concurrency_limit.close_period(u, 2.0)
    assert (u.min_cost, u.max_rate) == (pytest.approx(0.2), 2.0)
    concurrency_limit.success(u, 0.1, 2.5)
    concurrency_limit.close_period(u, 3.0)
    assert u.min_cost == pytest.approx(0.19)  # falls at 0.1
    assert u.max_rate == pytest.approx(1.99)  # falls at 0.01


def test_m_is_the_smoothed_maximum_of_the_last_thirty_every_ten():
    u = unit()
    for n in range(9):
        concurrency_limit.success(u, 0.1 + n / 100, u.period_at)
    assert u.maxima == []
    concurrency_limit.success(u, 0.5, u.period_at)
    assert u.maxima == [0.5]
    concurrency_limit.close_period(u, 1.0)
    assert u.measured == 0.5
    for _ in range(30):
        concurrency_limit.success(u, 0.1, u.period_at)
    assert u.maxima == [0.5, 0.5, 0.1]
    concurrency_limit.close_period(u, 2.0)
    assert u.measured == pytest.approx(0.9 * 0.5 + 0.1 * (1.1 / 3))


def test_expected_is_twice_the_calm_p99():
    u = unit()
    for n in range(20):
        concurrency_limit.success(u, 0.01 * (n + 1), u.period_at)
    concurrency_limit.close_period(u, 1.0)
    assert u.expected == pytest.approx(2 * 0.19)
    u.failed_at = 1.5  # not a calm second: its latencies do not count
    for _ in range(50):
        concurrency_limit.success(u, 9.0, u.period_at)
    concurrency_limit.close_period(u, 2.0)
    assert u.expected == pytest.approx(2 * 0.19)


@pytest.mark.parametrize(
    ("measured", "failed_at", "window"),
    [
        (0.9, -inf, inf),  # M has not passed expected and nothing fails: does not bind
        (4.0, -inf, 10 * sqrt(1 / 4)),
        (0.8, 9.5, 10 / 0.8),  # calls fail, middle band: expected / M
        (0.4, 9.5, inf),  # calls fail, but F is infinite under half of expected
        (1000.0, -inf, 1.0),  # never below one
    ],
)
def test_window(measured, failed_at, window):
    u = unit(min_cost=0.5, max_rate=20.0, expected=1.0, measured=measured, failed_at=failed_at)
    assert concurrency_limit.window(u, 10.0) == pytest.approx(window)


def job(priority):
    made = job_of(Message("x", 1, 0, 20.0), CLASSES[0], 0.0, True)
    made.priority = priority
    return made


def test_bands_have_room_under_once_or_twice_the_window():
    u = unit(min_cost=0.5, max_rate=20.0, expected=1.0, measured=4.0, upper=200.0, lower=50.0, calls=5)
    assert concurrency_limit.window(u, 0.0) == pytest.approx(5.0)
    assert not concurrency_limit.admits(u, job(100.0), 0.0)
    assert not concurrency_limit.admits(u, job(10.0), 0.0)
    assert concurrency_limit.admits(u, job(220.0), 0.0)
    u.calls = 10
    assert not concurrency_limit.admits(u, job(220.0), 0.0)
    u.calls = 4
    assert concurrency_limit.admits(u, job(10.0), 0.0)
    assert (u.seen, u.top, u.passed, u.missed) == (5, 2, 0, 1)


def test_cuts_step_after_misses_and_drift_back_otherwise():
    u = unit(passed=20, missed=80, top=10)
    concurrency_limit.step_cuts(u)
    assert (u.lower, u.upper) == (8.0, 248.0)  # under half passed; 20 > a tenth of 10
    u.passed, u.missed, u.top = 80, 20, 1000
    concurrency_limit.step_cuts(u)
    assert (u.lower, u.upper) == (0.0, 256.0)  # over half passed; 80 < a tenth of 1000
    u.lower, u.upper = 80.0, 100.0
    concurrency_limit.step_cuts(u)
    assert (u.lower, u.upper) == (72.0, 108.0)


def test_cuts_step_every_two_hundred_messages():
    u = unit(min_cost=0.1, max_rate=1.0, expected=1.0, measured=4.0, calls=1)
    for _ in range(199):
        concurrency_limit.admits(u, job(100.0), 0.0)
    assert u.lower == 0.0
    concurrency_limit.admits(u, job(100.0), 0.0)
    assert u.lower == 8.0


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
    u = sender.control.store.routes[1].unit
    u.measured, u.expected, u.min_cost, u.max_rate = 2.0, 1.0, 10.0, 10.0
    assert len(sends(sender.step(*[sender.message() for _ in range(20)]))) == 4


def test_several_sick_destinations_together_take_half_of_the_slots():
    sender = Sender(rows=[(n, n, 0, 0) for n in (1, 2, 3)], slots=8)
    for n in (1, 2):
        u = sender.control.store.routes[n].unit
        u.measured, u.expected, u.min_cost, u.max_rate = 2.0, 1.0, 10.0, 10.0
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


def test_a_round_does_not_ask_again_for_each_of_many_held_messages():
    """Rounds that cost as much as all that is held starved the sockets on days with much traffic."""
    sender = Sender()
    asked, ready_at = [], sender.control._ready_at
    sender.control._ready_at = lambda route: asked.append(route) or ready_at(route)
    out = sender.step(*[sender.message() for _ in range(40)], after=0.1)
    assert len(sends(out)) == 6  # three quarters of eight slots
    assert len(asked) < 20


def test_a_closed_window_is_worked_out_once_a_round(monkeypatch):
    """Each of hundreds of held messages had it worked out anew; ends and answers came late for it."""
    sender = Sender()
    asked = []
    monkeypatch.setattr("willownotch.control.window", lambda unit, now: asked.append(unit) or 1.0)
    out = sender.step(*[sender.message() for _ in range(40)], after=0.1)
    assert (len(sends(out)), len(asked)) == (1, 1)


def test_a_call_that_others_overtook_is_called_off_when_no_slot_is_free():
    """Single calls whose connections died held slots for seconds each, until they held them all."""
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


def test_a_dead_connection_at_one_host_is_called_off_once_the_partners_other_host_answers():
    """Idle ones come first: with a dead call on it a host was never tried again, and its slot was held until
    the message's time ran out."""
    sender = Sender(rows=((1, 1, 0, 0), (2, 1, 0, 0), (3, 2, 0, 0)), slots=4, may_cancel=True)
    sender.serve(14, took=0.1)  # too few for the calm p99: what the last calls took is all that is known
    more = [1, 2, 2]  # the host with the dead call on it is not tried again while the other one is idle
    dead, *_ = sends(sender.step(*[sender.message(dest=dest) for dest in [*more, *[2] * 30]], after=0.1))
    began, off = sender.now, []
    while not off and sender.now < began + 5.0:
        answered = [s for s in sender.waiting() if s.endpoint != dead.endpoint]
        news = [sender.ended(s, Outcome.DELIVERED) for s in answered]
        sender.step(*news, *[sender.message(dest=dest) for dest in more], after=0.1)
        off = [a.ref for a in sender.tick() if isinstance(a, CancelAttempt)]
    assert off[0] == dead.ref and sender.now - began < 1.5 < sender.control.strange
