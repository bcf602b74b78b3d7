"""Slow start of one sender: its states, the bound on its calls, and what is stored across restarts."""

from dataclasses import replace
from datetime import timedelta
from io import StringIO
from math import inf

import msgspec
import pytest
from helpers import SAFE, Sender, sends

from willownotch.files.layer import REAL
from willownotch.interface import (
    Endpoint,
    EndpointList,
    Outcome,
    PeerJudgement,
    Rules,
    SetTimer,
    SlowStartRecord,
    SlowStartRecords,
    Timer,
)
from willownotch.net.clock import Clock
from willownotch.net.log import Log
from willownotch.net.slow_start_file import MAX_FILE_BYTES, NAME, SlowStartFile, SlowStartSnapshot
from willownotch.slow_start import Bounds, SlowStart, State, Traffic

RULES = Rules(cold_share=0.2, cold_s=10.0)
FAILING = SlowStartRecord(1, "failing", -6.0, inf, -inf, -inf, -inf, False, False, -7.0, 2.0, 0.0, inf)


def slow_start(sender, number=1):
    return sender.control.store.routes[number].slow_start


def listed(*numbers, whole=True):
    return EndpointList(tuple(Endpoint(n, 1, 0, 0) for n in numbers), whole)


def calls(usual=0.0, fair=0.0, fleet=0.0, senders=1, **more):
    return Bounds(Traffic(usual, fair, fleet, **more), RULES, senders)


def out_for(sender, seconds, outcome=Outcome.UNREACHABLE):
    """Let all calls fail for some seconds."""
    ends = sender.now + seconds
    while sender.now < ends:
        for sent in sends(sender.step(Timer(1), after=0.05)):
            sender.step(sender.ended(sent, outcome))


def answered(sender, seconds, fresh=0):
    """The times of all calls, each answered at once, with `fresh` new messages in each step."""
    times, ends = [], sender.now + seconds
    while sender.now < ends:
        out = sender.step(Timer(1), *[sender.message(SAFE) for _ in range(fresh)], after=0.05)
        while out := sends(out):
            times += [sender.now] * len(out)
            out = sender.step(*[sender.ended(sent, Outcome.DELIVERED) for sent in out])
    return times


def test_a_backlog_is_not_released_at_the_end_of_a_slow_start():
    """All senders released theirs, each by its own estimate of the return: 253 calls in a second that had
    room for 132."""
    sender = Sender(slots=40, holding_room=1000)
    sender.serve(40)
    usual = sender.control.store.routes[1].pool.mean_rate
    sender.fail()
    out_for(sender, 6.0)
    sender.step(*[sender.message(SAFE) for _ in range(300)])
    times = answered(sender, 22.0)
    back = times[0]
    for begin in range(8, 20):
        count = sum(back + begin <= at < back + begin + 1 for at in times)
        assert count <= 1.25 * usual * (1 + 0.08 * max(0, begin - 9)) + 3, begin
    assert len(times) > 80  # and the rate goes on growing


def test_a_slow_start_ends_once_nothing_waits():
    sender = Sender()
    sender.serve(40)
    sender.fail()
    out_for(sender, 6.0)
    assert slow_start(sender).state is State.FAILING
    answered(sender, 12.0)
    sender.step(sender.message(SAFE), after=2.0)
    assert slow_start(sender).state is State.HEALTHY


@pytest.mark.parametrize("outcome", [Outcome.UNREACHABLE, Outcome.ERROR, Outcome.BROKEN])
def test_a_failure_in_a_slow_start_is_an_outage_and_does_not_end_it(outcome):
    """An answer within 2 s of the one before it counted as no outage, and the slow start was over."""
    sender = Sender(slots=40)
    sender.serve(40)
    sender.fail()
    out_for(sender, 6.0)
    sender.step(*[sender.message(SAFE) for _ in range(30)])
    answered(sender, 2.0)
    assert slow_start(sender).state is State.RECOVERING
    out = []
    while not out:
        out = sends(sender.step(Timer(1), after=0.05))
    slow_start(sender).unreachable_at = inf
    for call in list(sender.control.store.routes[1].calls):
        call.idle_s = None  # on a new connection
    sender.step(sender.ended(out[0], outcome))
    assert slow_start(sender).state is State.FAILING
    sender.control.store.routes[1].last_ok = sender.now  # another call's answer, just before
    out = []
    while not out:
        out = sends(sender.step(Timer(1), after=0.05))
        sender.control.store.routes[1].last_ok = sender.now
    sender.step(sender.ended(out[0], Outcome.DELIVERED))
    assert slow_start(sender).state is State.RECOVERING


def test_a_silent_call_in_a_slow_start_is_no_new_outage():
    """A cold endpoint is slow: each slow start began again at the first call that took long."""
    sender = Sender(slots=40)
    sender.serve(40)
    sender.fail()
    out_for(sender, 6.0)
    sender.step(*[sender.message(SAFE) for _ in range(30)])
    answered(sender, 2.0)
    route, out = sender.control.store.routes[1], []
    while not out:
        out = sends(sender.step(Timer(1), after=0.05))
    for call in list(route.calls):
        call.idle_s = None
    route.last_ok = sender.now
    sender.step(sender.ended(out[0], Outcome.TIMED_OUT))
    assert slow_start(sender).state is State.RECOVERING


def test_an_endpoint_is_warm_cold_s_after_its_first_answer_not_after_the_assumed_return():
    start = SlowStart()
    start.fail(0.0, 1.0)
    start.unreachable_at = 10.0
    assert start.estimate_return(16.0) == 13.0
    start.recover(16.0, RULES, 13.0)
    assert not start.advance(25.9, 0) and start.state is State.RECOVERING
    assert start.advance(26.0, 0) and start.state is State.HEALTHY


@pytest.mark.parametrize("outcome", [Outcome.UNREACHABLE, Outcome.ERROR, Outcome.TIMED_OUT])
def test_one_failed_call_is_an_outage_if_nothing_was_answered_recently(outcome):
    """45 senders with one call each in an outage all went on at their full rate."""
    sender = Sender(senders=45, keepalive_s=5.0)
    sender.serve(3)
    sent = sends(sender.step(sender.message(SAFE), after=6.0))  # on a new connection: others are closed
    out = sender.step(sender.ended(sent[0], outcome))
    assert slow_start(sender).state is State.FAILING
    assert sends(out) == []


def test_one_reset_is_followed_by_a_call_that_decides():
    """After single resets sparse senders waited 16 s for a trial at an endpoint that was not out."""
    sender = Sender(senders=45, keepalive_s=5.0)
    sender.serve(3)
    sent = sends(sender.step(sender.message(SAFE), after=6.0))
    out = sends(sender.step(sender.ended(sent[0], Outcome.BROKEN)))
    assert len(out) == 1
    sender.step(sender.ended(out[0], Outcome.UNREACHABLE))
    assert slow_start(sender).state is State.FAILING


def test_a_late_answer_of_the_silent_call_itself_is_no_return():
    """Each slow call to a destination with few calls counted as an outage and caused 14 s of slow start."""
    sender = Sender(senders=45, keepalive_s=5.0)
    sender.serve(3)
    sent = sends(sender.step(sender.message(SAFE), after=6.0))
    sender.tick(2.1)
    assert slow_start(sender).state is State.FAILING
    sender.step(sender.ended(sent[0], Outcome.DELIVERED, took=2.2), after=0.1)
    assert slow_start(sender).state is State.HEALTHY


def test_one_failed_call_among_answers_is_no_outage():
    sender = Sender(senders=45)
    sender.serve(20)
    sent = sends(sender.step(sender.message(SAFE), after=0.1))
    sender.step(sender.ended(sent[0], Outcome.ERROR))
    assert slow_start(sender).state is State.HEALTHY


def test_refusals_without_a_success_between_are_an_outage():
    """The pace that they cut made them too rare to be judged, and was at full rate again after some calls."""
    sender = Sender(senders=45, slots=40)
    sender.serve(20)
    sent = sends(sender.step(sender.message(SAFE), after=0.1))
    while sender.now < 15.0 and slow_start(sender).state is State.HEALTHY:
        out = sender.step(*[sender.ended(s, Outcome.REJECTED) for s in sent], Timer(1), after=0.2)
        sent = sends(out)
    assert slow_start(sender).state is State.FAILING
    assert sender.now < 15.0


def test_refusals_with_a_reported_limit_are_no_outage():
    sender = Sender(senders=45, slots=40)
    sender.serve(20)
    sent = sends(sender.step(sender.message(SAFE), after=0.1))
    for _ in range(60):
        ended = [sender.ended(s, Outcome.REJECTED, limit_per_s=5.0, room_left=0.0) for s in sent]
        sent = sends(sender.step(*ended, Timer(1), after=0.2))
    assert slow_start(sender).state is State.HEALTHY


def test_the_planned_call_is_updated_by_what_becomes_known_before_it():
    """Planned once by a process that knew nothing, the next call stayed 11 s away whatever became known."""
    start = SlowStart()
    start.assume(0.0, RULES, 0.0)
    start.charge(0.0, 1.0)
    start.plan(0.0, calls(senders=45))
    late = start.next_at
    start.plan(2.0, calls(usual=2.0, senders=45))
    assert 2.0 <= start.next_at < 4.0 < late


def test_one_timer_is_set_for_many_near_events():
    """Each event before the next due time set another timer, and each that fired set one again."""
    sender = Sender(slots=400, holding_room=1000)
    sender.step(sender.message(SAFE))
    pool = sender.control.store.routes[1].pool
    pool.pace, pool.next_at = 80.0, 0.01
    sender.step(*[sender.message(SAFE) for _ in range(300)], after=0.001)
    asked = [a for _ in range(10) for a in sender.step(Timer(1), after=0.0005) if isinstance(a, SetTimer)]
    assert len(asked) <= 1


# Records of the previous process


def restarted(*events, senders=12):
    sender = Sender(rows=(), senders=senders)
    sender.step(*events)
    return sender


def test_a_process_continues_an_outage_that_the_previous_one_recorded():
    sender = restarted(SlowStartRecords((FAILING,), 0.0), listed(1))
    assert slow_start(sender).state is State.FAILING
    assert sends(sender.step(*[sender.message(SAFE) for _ in range(10)])) == []


def test_a_process_continues_a_slow_start():
    recovering = replace(FAILING, state="recovering", returned_at=-2.0, answered_at=-1.0, warm_at=9.0)
    sender = restarted(SlowStartRecords((recovering,), 0.0), listed(1))
    times = answered(sender, 3.0, fresh=1)
    assert slow_start(sender).state is State.RECOVERING
    assert 1 <= len(times) <= 3 * 1.25 * 0.6 * 2.0 + 2


@pytest.mark.parametrize(
    "saved_at,state", [(None, State.RECOVERING), (-3.0, State.RECOVERING), (-1.0, State.HEALTHY)]
)
def test_endpoints_may_be_cold_if_the_record_is_missing_or_old(saved_at, state):
    sender = restarted(SlowStartRecords((), saved_at), listed(1))
    assert slow_start(sender).state is state


def test_an_endpoint_that_is_new_on_the_list_may_be_cold():
    sender = restarted(SlowStartRecords((), -1.0), listed(1))
    sender.step(listed(2, whole=False), after=30.0)
    assert (slow_start(sender, 1).state, slow_start(sender, 2).state) == (State.HEALTHY, State.RECOVERING)


def test_a_failed_call_ends_an_assumed_slow_start():
    sender = restarted(SlowStartRecords((), None), listed(1))
    sent = sends(sender.step(sender.message(SAFE)))
    sender.step(sender.ended(sent[0], Outcome.UNREACHABLE))
    assert slow_start(sender).state is State.FAILING


def test_the_first_answer_sets_the_return_of_an_assumed_slow_start():
    start = SlowStart()
    start.assume(0.0, RULES, 0.0)
    start.answer(4.0, RULES)
    start.answer(6.0, RULES)
    assert (start.returned_at, start.warm_at) == (4.0, 14.0)


def test_healthy_endpoints_are_not_recorded_and_assumed_slow_starts_only_as_unknown():
    sender = restarted(SlowStartRecords((), None), listed(1))
    assert sender.control.slow_starts() == SlowStartRecords((), None)
    sender.step(at=20.0)
    assert sender.control.slow_starts() == SlowStartRecords((), 20.0)


def test_a_state_is_restored_as_it_was_recorded():
    sender = Sender(senders=12)
    sender.serve(20)
    sender.fail()
    out_for(sender, 3.0)
    known = sender.control.slow_starts()
    other = restarted(known, listed(1))
    before, after = slow_start(sender), slow_start(other)
    assert after.state is State.FAILING
    assert (after.failing_since, after.unreachable_at) == (before.failing_since, before.unreachable_at)


def test_a_peers_judgement_starts_a_slow_start():
    sender = Sender(may_tell=True)
    sender.serve(5)
    sender.step(PeerJudgement(1, works=False), after=3.0)
    sender.step(PeerJudgement(1, works=True), after=1.0)
    assert slow_start(sender).state is State.RECOVERING


# The file


class ShiftableClock(Clock):
    """A clock that the test can shift, like the clock of another boot."""

    def shift(self, seconds):
        self._began += timedelta(seconds=seconds)


def record_file(folder, clock, files=REAL):
    return SlowStartFile(folder, files, clock, Log(clock, stream=StringIO()))


def test_the_next_process_reads_names_and_times_from_the_file(tmp_path):
    clock = Clock()
    record_file(tmp_path, clock).write(SlowStartRecords((FAILING,), 0.0), {1: "s-one"}.get, clock.now())
    found = record_file(tmp_path, clock).read({"s-one": 8}.get)
    assert found.records[0].endpoint == 8
    assert found.records[0].failing_since == pytest.approx(-6.0)
    assert found.records[0].unreachable_at == inf
    assert found.saved_at == pytest.approx(clock.module_s(clock.now()), abs=1.0)


def test_times_of_another_boot_are_shifted_and_future_ones_ignored(tmp_path):
    clock, later, earlier = Clock(), ShiftableClock(), ShiftableClock()
    record_file(tmp_path, clock).write(SlowStartRecords((FAILING,), 0.0), {1: "s-one"}.get, clock.now())
    later.shift(60.0)
    assert record_file(tmp_path, later).read(lambda name: 1).records[0].failing_since < -60.0
    earlier.shift(-60.0)
    assert record_file(tmp_path, earlier).read(lambda name: 1) == SlowStartRecords((), None)


@pytest.mark.parametrize("data", [b"", b"\x93", b"nonsense", msgspec.msgpack.encode([1, 2, 3])])
def test_with_an_unreadable_file_everything_is_unknown(tmp_path, data):
    (tmp_path / NAME).write_bytes(data)
    assert record_file(tmp_path, Clock()).read(lambda name: 1) == SlowStartRecords((), None)


def test_the_file_stays_small_and_is_marked_as_incomplete(tmp_path):
    clock = Clock()
    many = tuple(replace(FAILING, endpoint=n) for n in range(3200))
    record_file(tmp_path, clock).write(SlowStartRecords(many, 0.0), lambda n: f"s-{n:08x}", clock.now())
    data = (tmp_path / NAME).read_bytes()
    assert len(data) <= MAX_FILE_BYTES
    kept = msgspec.msgpack.decode(data, type=SlowStartSnapshot)
    assert len(kept.rows) >= 50 and not kept.complete
    assert record_file(tmp_path, clock).read(lambda name: 1).saved_at is None


def test_no_window_has_more_calls_than_its_beginning_allows():
    """With a slow start of 4 s and windows of 1 s the share grows by a third up to the middle of a window."""
    rules = Rules(cold_share=0.2, cold_s=4.0, fall_multiple=2.0, fall_s=1.0)
    start = SlowStart()
    start.fail(-9.0, 60.0)
    start.unreachable_at = 0.0
    start.recover(0.0, rules, 0.0)
    bound = Bounds(Traffic(60.0, 60.0, 60.0, reported=True, certain=True), rules, 1)
    now, times = 0.0, []
    while now < 4.0:
        start.charge(now, 1.0)
        start.plan(now, bound)
        now = start.next_at
        times.append(now)
    for begin in (0.1 * n for n in range(30)):
        count = sum(begin <= at < begin + 1.0 for at in times)
        # The capacity is 1.2 x the reported limit, as in the fleets of the other tests.
        assert count <= 2.0 * 1.2 * 60.0 * (0.2 + 0.8 * begin / 4.0) + 1, begin
