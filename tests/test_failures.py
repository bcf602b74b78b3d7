"""Regression tests: one for each failure seen in a simulation or an incident."""

from dataclasses import replace
from math import inf

import pytest
from helpers import KEYED, SAFE, UNSAFE, Sender, answers, sends

from willownotch.interface import (
    CancelAttempt,
    CloseIdle,
    Fail,
    ListFailed,
    Outcome,
    PeerJudgement,
    PublishJudgement,
    Refuse,
    Send,
    SetTimer,
    Subscribe,
    Tenant,
    TenantPart,
    Timer,
)


def test_the_paces_of_all_senders_together_have_a_floor_of_one_call_per_second():
    """Twelve senders, each with a floor of its own, kept a small destination over its limit."""
    sender = Sender(senders=12)
    pool = sender.control.store.routes[1].pool
    sent = sends(sender.step(sender.message()))[0]
    for _ in range(400):
        out = sender.step(Timer(1), sender.ended(sent, Outcome.REJECTED), sender.message(), after=0.6)
        while not sends(out):
            out = sender.tick(0.6)
        sent = sends(out)[0]
        if pool.pace == pytest.approx(1 / 12):
            break
    assert pool.pace == pytest.approx(1 / 12)


def test_fast_refusals_start_a_pace_while_the_window_is_infinite():
    sender = Sender(slots=40)
    sender.serve(10, gap=0.4)
    out = sends(sender.step(*[sender.message() for _ in range(20)], after=0.1))
    sender.step(*[sender.ended(s, Outcome.REJECTED) for s in out])
    start, count = sender.now, 0
    while sender.now < start + 2.0:
        for sent in sends(sender.tick()):
            count += 1
            sender.step(sender.ended(sent, Outcome.DELIVERED))
    assert 1 <= count <= 8


def test_silence_counts_as_failure_without_any_outcome():
    sender = Sender()
    sender.serve(30)
    sender.step(*[sender.message() for _ in range(3)], after=0.1)
    while sender.now < 20 and not sender.control.store.routes[1].failing:
        sender.tick()
    assert sender.control.store.routes[1].failing
    assert sender.control.store.destinations[1].degraded


def test_one_slow_call_among_answers_is_no_failure():
    sender = Sender()
    sender.serve(30)
    sender.step(sender.message(), after=0.1)
    for _ in range(30):
        sent = [s for s in sends(sender.step(sender.message(), after=0.1))]
        sender.step(*[sender.ended(s, Outcome.DELIVERED) for s in sent], after=0.1)
    assert not sender.control.store.routes[1].failing


def test_a_short_failure_starts_no_slow_start():
    """A full connection table at an endpoint caused ten seconds of slow start."""
    sender = Sender(slots=20)
    sender.serve(30)
    out = sends(sender.step(*[sender.message() for _ in range(6)], after=0.1))
    sender.step(*[sender.ended(s, Outcome.UNREACHABLE) for s in out[:3]], after=0.1)
    assert sender.control.store.routes[1].failing
    sender.step(sender.ended(out[3], Outcome.DELIVERED), after=0.1)
    assert not sender.control.store.routes[1].failing
    assert sender.control.store.routes[1].returned_at is None


def test_trials_go_on_while_hanging_calls_hold_half_of_the_slots():
    """Calls that hung at all destinations kept the sender from noticing that they had recovered."""
    sender = Sender(rows=[(n, n, 0, 0) for n in range(1, 5)], slots=12)
    for n in range(1, 5):
        sender.serve(25, dest=n)
    for n in range(1, 5):
        sender.step(*[sender.message(UNSAFE, dest=n) for _ in range(2)], after=0.01)
    routes = sender.control.store.routes.values()
    while sender.now < 60 and not all(r.failing for r in routes):
        sender.tick()
    assert sender.control.store.slots_used == 8
    out = sender.step(*[sender.message(KEYED, dest=n) for n in range(1, 5)], after=3.0)
    assert len(sends(out)) == 1  # up to three quarters of the slots: 9 of 12


def test_lost_calls_are_cancelled_when_no_slot_is_free():
    sender = Sender(rows=[(1, 1, 0, 0), (2, 2, 0, 0)], slots=4, may_cancel=True)
    sender.serve(25)
    sender.step(*[sender.message(UNSAFE, dest=d) for d in (1, 1, 1, 2, 2, 2)], after=0.1)
    assert sender.control.store.slots_used == 4
    start, seen = sender.now, []
    while not seen and sender.now < start + 10:
        seen = [a for a in sender.tick() if isinstance(a, CancelAttempt)]
    assert seen and sender.now - start > UNSAFE.wanted_s


def test_evidence_counts_calls_not_messages():
    sender = Sender(rows=[(1, 1, 1, 0)])
    sent = sends(sender.step(*[sender.message() for _ in range(10)]))
    assert len(sent) == 10 and sender.control.store.slots_used == 1
    sender.step(*[sender.ended(s, Outcome.DELIVERED) for s in sent], after=0.1)
    assert len(sender.control.store.routes[1].pool.costs) == 1
    assert sender.control.store.slots_used == 0


def test_a_backlog_for_one_destination_leaves_half_of_the_holding_room():
    sender = Sender(rows=[(1, 1, 0, 0)], slots=1, holding_room=40)
    out = sender.step(*[sender.message(SAFE if n % 2 else KEYED) for n in range(36)])
    given_up = answers(out)
    assert given_up and all(isinstance(a, Refuse) and a.retry_after_s > 0 for a in given_up)
    assert len(sender.control.store.destinations[1].held) <= 20
    assert {int(a.ref[1:]) % 2 for a in given_up} == {0}  # the class of less worth goes first


def test_messages_above_a_tenants_quota_are_worth_less():
    sender = Sender(senders=1, slots=1, tenants=(Tenant("a", 1.0), Tenant("b", 1.0)), over_share_worth=0.1)
    sender.step(*[sender.message(tenant=0) for _ in range(4)], sender.message(tenant=1))
    worths = [job.worth for job in sender.control.store.jobs.values()]
    assert worths == [1.0, 1.0, 0.1, 0.1, 1.0]


def test_a_counted_part_of_a_quota_replaces_the_estimate():
    sender = Sender(senders=1, slots=1, tenants=(Tenant("a", 4.0), Tenant("b", 4.0)), over_share_worth=0.1)
    sender.step(TenantPart(0, 0.25))
    sender.step(*[sender.message(tenant=t) for t in (0, 0, 0, 1, 1, 1)])
    assert [job.worth for job in sender.control.store.jobs.values()] == [1.0, 1.0, 0.1, 1.0, 1.0, 1.0]


def test_a_shed_message_that_may_have_run_is_failed_not_refused():
    sender = Sender(slots=4, holding_room=4)
    out = sends(sender.step(*[sender.message(UNSAFE) for _ in range(3)]))
    later = sender.step(*[sender.ended(s, Outcome.BROKEN) for s in out], after=0.1)
    assert [type(a) for a in answers(later)] == [Fail] * len(out)


def test_an_endpoint_listed_at_the_end_of_a_period_causes_no_division_by_zero():
    """The replacement of an endpoint was listed in the round that closed a period."""
    sender = Sender()
    sender.serve(12)
    sender.step(sender.listed([(2, 2, 0, 0)], whole=False), sender.message(dest=2), after=2.0)
    sent = sends(sender.step(sender.message(dest=2)))
    assert sent and not sender.step(sender.ended(sent[0], Outcome.DELIVERED, 0.0))


def test_a_refused_connection_closes_idle_ones_of_its_kind():
    """Idle connections of many senders filled the connection tables of all endpoints."""
    sender = Sender(rows=[(1, 1, 0, 0), (2, 2, 0, 0)])
    sent = sends(sender.step(sender.message(dest=2)))[0]
    assert not [a for a in sender.step(sender.ended(sent, Outcome.DELIVERED)) if isinstance(a, CloseIdle)]
    sent = sends(sender.step(sender.message(dest=1), after=0.1))[0]
    sender.step(sender.ended(sent, Outcome.UNREACHABLE), after=0.1)
    sent = sends(sender.step(sender.message(dest=2), after=0.1))[0]  # another of its kind
    assert CloseIdle(2) in sender.step(sender.ended(sent, Outcome.DELIVERED), after=0.1)


def test_a_timer_that_fires_slightly_early_is_set_again():
    """If the caller's clock was a microsecond early, no timer followed, and a held message was never sent."""
    sender = Sender(slots=1)
    out = sender.step(sender.message(), sender.message())
    for _ in range(3):
        wake = next(a for a in out if isinstance(a, SetTimer))
        out = sender.step(Timer(wake.label), after=wake.after_s - 1e-6)
        assert any(isinstance(a, SetTimer) for a in out)


def test_a_sparse_sender_retries_before_the_deadline():
    """With one call per second over forty senders the retry came after the message's deadline."""
    sender = Sender(senders=200)
    sender.step(sender.ended(sends(sender.step(sender.message()))[0], Outcome.REJECTED), after=0.1)
    while sender.now < SAFE.deadline_s - 1.0:
        if sends(sender.tick(0.1)):
            return
    raise AssertionError("not retried")


def test_little_time_left_at_a_first_hand_in_is_no_lost_time():
    """Messages of clients that give little time were treated as if they had been on their way for long."""
    sender = Sender(clients_mark_retries=True, slots=1)
    sender.step(sender.message(left=1.5), replace(sender.message(left=1.5), is_retry=True))
    first, retry = sender.control.store.jobs.values()
    assert first.wanted_at > sender.now > retry.wanted_at


def reused(sender, outcome):
    """The actions for a call to a third destination after one on an idle connection ended with `outcome`."""
    for dest in (1, 2, 3):
        sender.serve(1, dest=dest)
    sent = sends(sender.step(sender.message(UNSAFE, dest=1), after=3.0))[0]
    if outcome is not None:
        sender.step(sender.ended(sent, outcome), after=0.1)
    return sender.step(sender.message(UNSAFE, dest=3), after=3.0)


@pytest.mark.parametrize(
    ("outcome", "closes"),
    [
        (Outcome.BROKEN, True),
        (Outcome.TIMED_OUT, True),
        (None, True),
        (Outcome.DELIVERED, False),
    ],
)
def test_idle_connections_are_closed_before_use_once_some_were_dropped_unnoticed(outcome, closes):
    """Each further call on an idle connection broke or hung, and was lost."""
    sender = Sender(rows=[(1, 1, 0, 0), (2, 2, 0, 0), (3, 3, 0, 0)], keepalive_s=10.0, handshake_price=0.04)
    out = reused(sender, outcome)
    assert [type(a) for a in out if not isinstance(a, SetTimer)][-2:] == [CloseIdle, Send] or not closes
    assert closes or CloseIdle(3) not in out
    assert sender.control.store.routes[1].failing is False


def test_one_broken_reuse_among_many_closes_no_connections():
    """A crash also breaks calls: one loss among many successful reuses is cheaper than new connections."""
    sender = Sender(keepalive_s=10.0, handshake_price=0.04)
    sender.serve(60)
    sent = sends(sender.step(sender.message(), after=0.1))[0]
    out = sender.step(sender.ended(sent, Outcome.BROKEN), after=0.1)
    assert sends(out) and CloseIdle(1) not in out


def test_a_silent_call_that_is_answered_late_was_slow_and_closes_nothing():
    """Idle connections were closed because destinations of one kind answered ten times slower."""
    sender = Sender(rows=[(1, 1, 0, 0), (2, 2, 0, 0), (3, 3, 0, 0)], keepalive_s=10.0, handshake_price=0.04)
    for dest in (1, 2, 3):
        sender.serve(1, dest=dest)
    sent = sends(sender.step(sender.message(UNSAFE, dest=1), after=3.0))[0]
    sender.tick(3.0)
    sender.step(sender.ended(sent, Outcome.DELIVERED, 3.1), after=0.1)
    assert CloseIdle(3) not in sender.step(sender.message(UNSAFE, dest=3), after=0.5)


def test_with_many_rejections_the_dearer_zone_gets_its_part():
    """The cheap zone's endpoints rejected the calls of all senders while others were idle."""
    sender = Sender(rows=[(1, 1, 2, 0), (2, 1, 2, 1)], zone_fees=(0.0, 0.03))
    sent = [sends(sender.step(sender.message(), after=0.5))[0] for _ in range(1)]
    for _ in range(5):
        assert sent[-1].endpoint == 1  # the cheap one while nothing is rejected
        sender.step(sender.ended(sent[-1], Outcome.DELIVERED), after=0.1)
        sent += sends(sender.step(sender.message(), after=0.5))
    sender.step(sender.ended(sent[-1], Outcome.REJECTED), after=0.1)
    calls, used = sender.waiting(), []
    for _ in range(30):
        sender.step(*[sender.ended(s, Outcome.DELIVERED) for s in calls], after=0.1)
        calls = sends(sender.step(sender.message(), after=8.0))
        used += [s.endpoint for s in calls]
        sender.control.refused[2] = 0.1  # others of the kind go on rejecting
    assert 8 < used.count(2) < 22


def test_a_reported_limit_paces_all_senders_together_near_it():
    """Four tries per deadline from each of 266 senders were four times the limit."""
    sender = Sender(senders=200)
    sent = sends(sender.step(sender.message()))[0]
    sender.step(sender.ended(sent, Outcome.REJECTED, limit_per_s=10.0), after=0.1)
    assert sender.control.store.routes[1].pool.pace * 200 <= 2 * 10.0


def test_a_peers_judgement_holds_until_the_endpoint_works_again():
    """Each sender had to find each silent destination by itself, at the cost of a slot each time."""
    sender = Sender(rows=[(1, 1, 0, 0), (2, 1, 0, 0)], may_tell=True, senders=200)
    sender.step(PeerJudgement(1, works=False), PeerJudgement(99, works=False), after=3.0)
    out = sender.step(*[sender.message() for _ in range(4)], after=0.1)
    assert {s.endpoint for s in sends(out)} == {2}
    sender.step(*[sender.ended(s, Outcome.DELIVERED) for s in sends(out)], after=0.1)
    sender.step(PeerJudgement(1, works=True), after=30.0)
    start, used = sender.now, []
    while sender.now < start + 30.0:
        out = sends(sender.step(Timer(1), sender.message(), after=0.5))
        used += [s.endpoint for s in out]
        sender.step(*[sender.ended(s, Outcome.DELIVERED) for s in out])
    assert 1 in used


def test_own_answers_count_more_than_a_peers_judgement():
    sender = Sender(may_tell=True)
    sender.serve(3)
    sender.step(PeerJudgement(1, works=False), after=0.1)
    assert sends(sender.step(sender.message(), after=0.1))


@pytest.mark.parametrize("may_tell", [True, False])
def test_a_failure_and_a_return_are_published_once_if_allowed(may_tell):
    sender = Sender(may_tell=may_tell)
    sent = sends(sender.step(sender.message()))[0]
    out = sender.step(sender.ended(sent, Outcome.UNREACHABLE, took=1.5), after=1.5)
    while not sends(out):
        out += sender.tick(0.1)
    out += sender.step(sender.ended(sends(out)[0], Outcome.DELIVERED), after=0.1)
    assert [a for a in out if isinstance(a, PublishJudgement)] == [
        PublishJudgement(1, False),
        PublishJudgement(1, True),
    ] * may_tell


def test_senders_retry_a_failed_list_request_at_random_times_and_one_call_at_a_time():
    """All senders asked for the list again at once, and made two calls after two failures."""
    times = []
    for seed in range(10):
        sender = Sender(seed=seed, must_subscribe=True)
        out, asked = sender.step(ListFailed(), ListFailed(), after=1.0), 0
        assert not [a for a in out if isinstance(a, Subscribe)]
        wakes = [a for a in out if isinstance(a, SetTimer)]
        assert len(wakes) == 1 and wakes[0].after_s <= sender.settings.rules.ask_within_s
        for _ in range(3):
            asked += len(
                [
                    a
                    for a in sender.step(Timer(wakes[0].label), after=wakes[0].after_s)
                    if isinstance(a, Subscribe)
                ]
            )
        times.append(round(wakes[0].after_s, 3))
        assert asked == 1
    assert len(set(times)) > 5


def test_refusals_in_an_outage_do_not_cut_the_pace_and_its_end_removes_it():
    """A destination was called once in two seconds for a long time after it had returned."""
    sender = Sender(listed_rates=True)
    sender.serve(30)
    route = sender.control.store.routes[1]

    def go(outcome):
        for sent in sends(sender.step(sender.message(), Timer(1), after=0.1)):
            sender.step(sender.ended(sent, outcome))

    for _ in range(200):
        if not route.failing:
            go(Outcome.REJECTED)
    cut = route.pool.pace
    assert route.failing and cut < inf
    for _ in range(100):
        go(Outcome.REJECTED)
    assert route.failing and route.pool.pace == cut
    for _ in range(200):
        if route.failing:
            go(Outcome.DELIVERED)
    assert route.returned_at is not None and route.pool.pace == inf  # the slow start is the bound now
