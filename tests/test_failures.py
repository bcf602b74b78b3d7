"""One test for each failure that a simulated day or an incident has shown."""

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


def test_the_paces_of_all_senders_together_have_a_floor_of_one_call():
    """i8ba1cc: twelve senders, each with a floor of its own, kept a small destination refusing."""
    sender = Sender(senders=12)
    unit = sender.control.store.routes[1].unit
    sent = sends(sender.step(sender.message()))[0]
    for _ in range(400):
        out = sender.step(Timer(1), sender.ended(sent, Outcome.REJECTED), sender.message(), after=0.6)
        while not sends(out):
            out = sender.tick(0.6)
        sent = sends(out)[0]
        if unit.pace == pytest.approx(1 / 12):
            break
    assert unit.pace == pytest.approx(1 / 12)


def test_fast_refusals_pace_a_unit_while_f_is_infinite():
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


def test_silence_counts_without_any_outcome():
    sender = Sender()
    sender.serve(30)
    sender.step(*[sender.message() for _ in range(3)], after=0.1)
    while sender.now < 20 and not sender.control.store.routes[1].failing:
        sender.tick()
    assert sender.control.store.routes[1].failing
    assert sender.control.store.destinations[1].sick


def test_one_rare_slow_call_among_answers_is_no_silence():
    sender = Sender()
    sender.serve(30)
    sender.step(sender.message(), after=0.1)
    for _ in range(30):
        sent = [s for s in sends(sender.step(sender.message(), after=0.1))]
        sender.step(*[sender.ended(s, Outcome.DELIVERED) for s in sent], after=0.1)
    assert not sender.control.store.routes[1].failing


def test_a_short_verdict_brings_no_ramp():
    """hoest-levering-dk overload: a full table of connections cost ten seconds of ramp."""
    sender = Sender(slots=20)
    sender.serve(30)
    out = sends(sender.step(*[sender.message() for _ in range(6)], after=0.1))
    sender.step(*[sender.ended(s, Outcome.UNREACHABLE) for s in out[:3]], after=0.1)
    assert sender.control.store.routes[1].failing
    sender.step(sender.ended(out[3], Outcome.DELIVERED), after=0.1)
    assert not sender.control.store.routes[1].failing
    assert sender.control.store.routes[1].back_at is None


def test_trials_go_on_while_hanging_calls_hold_half_of_the_slots():
    """i9b3581: calls hanging everywhere kept the sender from seeing that all was well again."""
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


def test_lost_calls_are_called_off_when_no_slot_is_free():
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
    assert len(sender.control.store.routes[1].unit.costs) == 1
    assert sender.control.store.slots_used == 0


def test_a_pile_up_for_one_destination_leaves_half_of_the_holding_room():
    sender = Sender(rows=[(1, 1, 0, 0)], slots=1, holding_room=40)
    out = sender.step(*[sender.message(SAFE if n % 2 else KEYED) for n in range(36)])
    given_up = answers(out)
    assert given_up and all(isinstance(a, Refuse) and a.retry_after_s > 0 for a in given_up)
    assert len(sender.control.store.destinations[1].held) <= 20
    assert {int(a.ref[1:]) % 2 for a in given_up} == {0}  # the cheaper class goes first


def test_a_tenant_past_its_share_is_worth_less():
    sender = Sender(senders=1, slots=1, tenants=(Tenant("a", 1.0), Tenant("b", 1.0)), over_share_worth=0.1)
    sender.step(*[sender.message(tenant=0) for _ in range(4)], sender.message(tenant=1))
    worths = [job.worth for job in sender.control.store.jobs.values()]
    assert worths == [1.0, 1.0, 0.1, 0.1, 1.0]


def test_a_part_of_a_quota_counted_over_all_senders_takes_the_guess_s_place():
    sender = Sender(senders=1, slots=1, tenants=(Tenant("a", 4.0), Tenant("b", 4.0)), over_share_worth=0.1)
    sender.step(TenantPart(0, 0.25))
    sender.step(*[sender.message(tenant=t) for t in (0, 0, 0, 1, 1, 1)])
    assert [job.worth for job in sender.control.store.jobs.values()] == [1.0, 1.0, 0.1, 1.0, 1.0, 1.0]


def test_sheds_never_break_a_promise():
    sender = Sender(slots=4, holding_room=4)
    out = sends(sender.step(*[sender.message(UNSAFE) for _ in range(3)]))
    later = sender.step(*[sender.ended(s, Outcome.BROKEN) for s in out], after=0.1)
    assert [type(a) for a in answers(later)] == [Fail] * len(out)


def test_news_of_the_list_at_the_end_of_a_period_is_no_division_by_zero():
    """lima-oficina, grown: a pre-empted endpoint's replacement came in the round that closed a period."""
    sender = Sender()
    sender.serve(12)
    sender.step(sender.listed([(2, 2, 0, 0)], whole=False), sender.message(dest=2), after=2.0)
    sent = sends(sender.step(sender.message(dest=2)))
    assert sent and not sender.step(sender.ended(sent[0], Outcome.DELIVERED, 0.0))


def test_whoever_was_refused_a_connection_closes_its_idle_ones():
    """hoest-levering-dk and dar-senders, grown: many senders' idle connections filled every endpoint."""
    sender = Sender(rows=[(1, 1, 0, 0), (2, 2, 0, 0)])
    sent = sends(sender.step(sender.message(dest=2)))[0]
    assert not [a for a in sender.step(sender.ended(sent, Outcome.DELIVERED)) if isinstance(a, CloseIdle)]
    sent = sends(sender.step(sender.message(dest=1), after=0.1))[0]
    sender.step(sender.ended(sent, Outcome.UNREACHABLE), after=0.1)
    sent = sends(sender.step(sender.message(dest=2), after=0.1))[0]  # another of its kind
    assert CloseIdle(2) in sender.step(sender.ended(sent, Outcome.DELIVERED), after=0.1)


def test_a_timer_that_rings_a_hair_early_is_followed_by_another():
    """A held message was forgotten when the caller's clock was a microsecond short of the time asked for."""
    sender = Sender(slots=1)
    out = sender.step(sender.message(), sender.message())
    for _ in range(3):
        wake = next(a for a in out if isinstance(a, SetTimer))
        out = sender.step(Timer(wake.label), after=wake.after_s - 1e-6)
        assert any(isinstance(a, SetTimer) for a in out)


def test_a_sender_with_hardly_a_call_tries_again_while_it_is_worth_something():
    """lima-oficina, grown: one call a second over forty senders came after the message's time was up."""
    sender = Sender(senders=200)
    sender.step(sender.ended(sends(sender.step(sender.message()))[0], Outcome.REJECTED), after=0.1)
    while sender.now < SAFE.deadline_s - 1.0:
        if sends(sender.tick(0.1)):
            return
    raise AssertionError("not tried again")


def test_short_patience_at_a_first_hand_in_is_no_lost_time():
    """hoest-levering-dk, grown: clients with little time were taken for messages long under way."""
    sender = Sender(clients_mark_retries=True, slots=1)
    sender.step(sender.message(left=1.5), replace(sender.message(left=1.5), is_retry=True))
    first, is_retry = sender.control.store.jobs.values()
    assert first.wanted_at > sender.now > is_retry.wanted_at


def reused(sender, outcome):
    """One call on an idle connection that ends so, after another; the next action at a third destination."""
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
def test_idle_connections_are_closed_before_use_once_some_were_dropped_unseen(outcome, closes):
    """retira-sul-main big-1, big-2: each next call on an idle connection broke or hung and was lost."""
    sender = Sender(rows=[(1, 1, 0, 0), (2, 2, 0, 0), (3, 3, 0, 0)], keepalive_s=10.0, handshake_price=0.04)
    out = reused(sender, outcome)
    assert [type(a) for a in out if not isinstance(a, SetTimer)][-2:] == [CloseIdle, Send] or not closes
    assert closes or CloseIdle(3) not in out
    assert sender.control.store.routes[1].failing is False


def test_where_hardly_any_reuse_breaks_connections_are_kept():
    """A crash breaks calls too: among many good reuses one break is worth no new connections."""
    sender = Sender(keepalive_s=10.0, handshake_price=0.04)
    sender.serve(60)
    sent = sends(sender.step(sender.message(), after=0.1))[0]
    out = sender.step(sender.ended(sent, Outcome.BROKEN), after=0.1)
    assert sends(out) and CloseIdle(1) not in out


def test_a_silent_call_that_is_answered_late_was_slow_and_closes_nothing():
    """retira-sul-main overload: a kind answered ten times slower, and idle connections were closed for it."""
    sender = Sender(rows=[(1, 1, 0, 0), (2, 2, 0, 0), (3, 3, 0, 0)], keepalive_s=10.0, handshake_price=0.04)
    for dest in (1, 2, 3):
        sender.serve(1, dest=dest)
    sent = sends(sender.step(sender.message(UNSAFE, dest=1), after=3.0))[0]
    sender.tick(3.0)
    sender.step(sender.ended(sent, Outcome.DELIVERED, 3.1), after=0.1)
    assert CloseIdle(3) not in sender.step(sender.message(UNSAFE, dest=3), after=0.5)


def test_where_much_is_turned_away_the_dearer_zone_takes_its_part():
    """hengtong-taipei big-1: the cheap routes refused what all senders sent, others stood idle."""
    sender = Sender(rows=[(1, 1, 2, 0), (2, 1, 2, 1)], zone_fees=(0.0, 0.03))
    sent = [sends(sender.step(sender.message(), after=0.5))[0] for _ in range(1)]
    for _ in range(5):
        assert sent[-1].endpoint == 1  # the cheap one while nothing is turned away
        sender.step(sender.ended(sent[-1], Outcome.DELIVERED), after=0.1)
        sent += sends(sender.step(sender.message(), after=0.5))
    sender.step(sender.ended(sent[-1], Outcome.REJECTED), after=0.1)
    is_retry, used = sender.waiting(), []
    for _ in range(30):
        sender.step(*[sender.ended(s, Outcome.DELIVERED) for s in is_retry], after=0.1)
        is_retry = sends(sender.step(sender.message(), after=8.0))
        used += [s.endpoint for s in is_retry]
        sender.control.turned[2] = 0.1  # others of the kind go on turning away
    assert 8 < used.count(2) < 22


def test_a_told_limit_paces_all_senders_together_near_it():
    """hengtong-taipei big-1: four tries in a deadline from 266 senders were four times the limit."""
    sender = Sender(senders=200)
    sent = sends(sender.step(sender.message()))[0]
    sender.step(sender.ended(sent, Outcome.REJECTED, limit_per_s=10.0), after=0.1)
    assert sender.control.store.routes[1].unit.pace * 200 <= 2 * 10.0


def test_what_others_tell_of_an_endpoint_holds_until_it_works_again():
    """hengtong-taipei big-2: each sender found each silent destination out for itself, a slot at a time."""
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


def test_own_answers_count_more_than_a_note():
    sender = Sender(may_tell=True)
    sender.serve(3)
    sender.step(PeerJudgement(1, works=False), after=0.1)
    assert sends(sender.step(sender.message(), after=0.1))


@pytest.mark.parametrize("may_tell", [True, False])
def test_a_verdict_and_a_return_are_told_once_where_that_is_allowed(may_tell):
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


def test_senders_that_ask_for_the_list_fail_apart_and_have_one_call_under_way():
    """A list that answers only when asked is asked again by all at once, and twice after two failures."""
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


def test_refusals_of_an_outage_do_not_cut_the_pace_and_its_end_lifts_it():
    """A partner that was shut was called once in two seconds for long after it was back."""
    sender = Sender(listed_rates=True)
    sender.serve(30)
    route = sender.control.store.routes[1]

    def go(outcome):
        for sent in sends(sender.step(sender.message(), Timer(1), after=0.1)):
            sender.step(sender.ended(sent, outcome))

    for _ in range(200):
        if not route.failing:
            go(Outcome.REJECTED)
    cut = route.unit.pace
    assert route.failing and cut < inf
    for _ in range(100):
        go(Outcome.REJECTED)
    assert route.failing and route.unit.pace == cut
    for _ in range(200):
        if route.failing:
            go(Outcome.DELIVERED)
    assert route.back_at is not None and route.unit.pace == inf  # the ramp says how fast
