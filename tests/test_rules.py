"""The six service rules and the limits of the settings, tested with a single sender."""

import pytest
from helpers import CLASSES, KEYED, ORDERED, SAFE, UNSAFE, ZONED, Sender, answers, sends

from willownotch.interface import Fail, Outcome, Refuse, Send, Timer, Withdrawn
from willownotch.slow_start import USUAL_SPARE

MAY_HAVE_RUN = [Outcome.ERROR, Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED]
NEVER_RAN = [Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT]


def retried(sender, outcome, cls, wait=3.0):
    """The sends and answers within `wait` seconds after one attempt with this outcome."""
    sent = sends(sender.step(sender.message(cls), after=0.1))[0]
    out = sender.step(sender.ended(sent, outcome), after=0.1)
    for _ in range(int(wait / 0.02)):
        out += sender.tick()
    return [a for a in out if isinstance(a, Send | Refuse | Fail)]


# 1. No message is lost


def test_a_held_message_is_refused_before_its_time_is_up():
    sender = Sender(rows=())
    sender.step(sender.message(SAFE, left=1.0))
    seen = []
    while not seen and sender.now < 2.0:
        seen = answers(sender.tick())
    assert isinstance(seen[0], Refuse)
    assert 0.9 < sender.now < 1.0
    assert sender.control.store.jobs == {}


def test_time_outs_never_pass_the_time_left():
    for cls in CLASSES:
        sender = Sender()
        sent = sends(sender.step(sender.message(cls, left=0.7)))[0]
        assert sent.time_out_s <= 0.7


@pytest.mark.parametrize(("cls", "answer"), [(SAFE, Refuse), (KEYED, Refuse), (ZONED, Fail), (UNSAFE, Fail)])
def test_a_time_out_at_the_deadline_is_answered_in_the_same_round(cls, answer):
    sender = Sender()
    sent = sends(sender.step(sender.message(cls, left=1.0)))[0]
    out = sender.step(sender.ended(sent, Outcome.TIMED_OUT), at=1.0)
    assert [type(a) for a in answers(out)] == [answer]
    assert sends(out) == []


def test_nothing_goes_out_for_a_message_that_is_over():
    sender = Sender()
    message = sender.message()
    sent = sends(sender.step(message))[0]
    sender.step(Withdrawn(message.ref))
    out = sender.step(sender.ended(sent, Outcome.REJECTED), after=0.1)
    for _ in range(200):
        out += sender.tick()
    assert sends(out) == [] and answers(out) == []
    assert sender.control.store.jobs == {} and sender.control.store.slots_used == 0


# 2. No message takes effect twice


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_an_unsafe_message_that_may_have_run_is_failed_at_once(outcome):
    assert [type(a) for a in retried(Sender(), outcome, UNSAFE)] == [Fail]


@pytest.mark.parametrize("outcome", NEVER_RAN)
@pytest.mark.parametrize("cls", CLASSES)
def test_a_message_that_never_ran_is_sent_again(outcome, cls):
    assert [type(a) for a in retried(Sender(), outcome, cls)][:1] == [Send]


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_a_keyed_message_is_sent_again_only_in_its_dedup_scope(outcome):
    rows = [(1, 1, 0, 0), (2, 1, 0, 1), (3, 1, 0, 0), (4, 1, 0, 1)]
    for first in range(4):
        sender = Sender(rows=rows[first:] + rows[:first])
        sent = sends(sender.step(sender.message(ZONED)))[0]
        for _ in range(6):
            out = sender.step(sender.ended(sent, outcome), after=0.1)
            again = sends(out)
            while not again and sender.now < 5:
                again = sends(sender.tick())
            assert again[0].endpoint % 2 == sent.endpoint % 2  # zones 0 and 1 hold the odd and the even ones
            sent = again[0]


@pytest.mark.parametrize(("cls", "answer"), [(KEYED, Refuse), (ZONED, Fail)])
def test_a_keyed_message_is_given_up_after_its_dedup_window(cls, answer):
    sender = Sender()
    sent = sends(sender.step(sender.message(cls)))[0]
    out = sender.step(sender.ended(sent, Outcome.TIMED_OUT), at=9.995)
    assert sends(out) == []
    assert [type(a) for a in answers(out)] == [answer]


def test_the_dedup_window_starts_at_the_first_attempt_that_may_have_run():
    sender = Sender()
    sent = sends(sender.step(sender.message(KEYED)))[0]
    out = sender.step(sender.ended(sent, Outcome.TIMED_OUT), at=6.0)
    while not sends(out):  # nothing was ever answered here: it is sent again as a trial
        out = sender.tick()
    sent = sends(out)[0]
    assert sender.now < 9.0
    out = sender.step(sender.ended(sent, Outcome.TIMED_OUT), at=10.5)
    assert sends(out) == [] and len(answers(out)) == 1


def test_attempts_are_limited():
    sender = Sender(max_attempts=2)
    sent = sends(sender.step(sender.message()))[0]
    out = sender.step(sender.ended(sent, Outcome.ERROR), after=0.5)
    sent = (sends(out) or sends(sender.step(Timer(1), after=3.0)))[0]
    out = sender.step(sender.ended(sent, Outcome.ERROR), after=0.5)
    assert [type(a) for a in answers(out)] == [Refuse]


# 3. Draining endpoints get no new calls


@pytest.mark.parametrize("whole", [True, False])
def test_nothing_new_goes_to_a_draining_or_missing_endpoint(whole):
    from willownotch.interface import Endpoint, EndpointList, Readiness

    sender = Sender(rows=[(1, 1, 0, 0), (2, 1, 0, 0)])
    entries = (Endpoint(2, 1, 0, 0),) if whole else (Endpoint(1, 1, 0, 0, Readiness.DRAINING),)
    out = sender.step(EndpointList(entries, whole), *[sender.message() for _ in range(4)])
    assert {s.endpoint for s in sends(out)} == {2}
    assert len(sends(out)) == 4


# 4. A returning destination is not overloaded


def test_a_failing_route_gets_single_trials_no_faster_than_its_cold_share():
    sender = Sender()
    sender.serve(40)
    sender.fail()
    usual = sender.control.store.routes[1].pool.mean_rate
    start, trials = sender.now, 0
    sender.step(*[sender.message() for _ in range(30)])
    while sender.now < start + 10.0:
        for sent in sends(sender.tick()):
            trials += 1
            sender.step(sender.ended(sent, Outcome.UNREACHABLE))
    assert 1 <= trials <= 10 * max(0.2 * usual, 1 / 2) + 1


def test_calls_to_a_returning_route_grow_from_its_cold_share():
    sender = Sender()
    sender.serve(60, gap=0.1)
    usual = sender.control.store.routes[1].pool.mean_rate
    sender.fail()
    start = sender.now
    while sender.now < start + 4.0:  # long enough out to be cold
        for sent in sends(sender.tick()):
            sender.step(sender.ended(sent, Outcome.UNREACHABLE))
            last_trial = sender.now
    start, back, sent_at = sender.now, None, []
    while sender.now < start + 14.0:
        out = sender.step(Timer(1), sender.message(), sender.message(), after=0.02)
        while (out := sends(out)) and len(sent_at) < 1000:  # each is answered, or calls would accumulate
            back = back if back is not None else sender.now
            sent_at += [sender.now - back] * len(out)
            out = sender.step(*[sender.ended(sent, Outcome.DELIVERED) for sent in out])
    earlier = (back - last_trial) / 2  # its return is estimated halfway since then
    for since in range(8):  # the slow start ends 10 s after the return
        window = [t for t in sent_at if since <= t < since + 1.5]
        share = 0.2 + 0.8 * (since + 1.5 + earlier) / 10
        assert len(window) <= 1.5 * share * USUAL_SPARE * usual + 2, since
    assert len([t for t in sent_at if 10 < t < 11]) > usual


def test_a_long_wait_ends_in_a_slow_start_not_in_one_round_for_all_senders():
    """Destinations that reported when they would open again got the calls of all senders at that time."""
    first = []
    for seed in range(20):
        sender = Sender(seed=seed)
        sender.serve(20)
        sent = sends(sender.step(sender.message(), after=0.1))[0]
        sender.step(sender.ended(sent, Outcome.REJECTED, wait=6.0), *[sender.message() for _ in range(5)])
        opens, sent_at = sender.now + 6.0, []
        while sender.now < opens + 2.0:
            for sent in sends(sender.tick()):
                sent_at.append(sender.now - opens)
                sender.step(sender.ended(sent, Outcome.DELIVERED))
        assert not sent_at or sent_at[0] >= 0
        usual = 5.0  # calls a second that were served
        assert len(sent_at) <= 2.0 * 0.5 * usual + 1
        first += sent_at[:1]
    assert sum(at < 0.1 for at in first) < 10


def test_a_few_refusals_without_a_success_between_are_an_outage_to_a_sparse_sender():
    """With one call in some seconds there were never nine refusals before a closed endpoint opened again."""
    sender = Sender(senders=200)
    sent, refused = sends(sender.step(sender.message())), 0
    while refused < 3 and sender.now < 60.0:
        refused += len(sent)
        sender.step(*[sender.ended(s, Outcome.REJECTED) for s in sent], after=0.1)
        sent = sends(sender.step(sender.message(), after=4.0))
    assert sender.control.store.routes[1].failing
    at_a_limit = Sender(senders=200)
    for n in range(8):
        sent = sends(at_a_limit.step(at_a_limit.message(), after=60.0))
        assert sent
        outcome = Outcome.REJECTED if n % 2 else Outcome.DELIVERED
        at_a_limit.step(*[at_a_limit.ended(s, outcome) for s in sent], after=0.1)
    assert not at_a_limit.control.store.routes[1].failing


def test_a_cold_endpoint_gets_no_calls_with_several_messages():
    """A call with many messages costs a cold endpoint several times as much as one with a single message."""
    sender = Sender(rows=[(1, 1, 1, 0)])
    sent = sends(sender.step(sender.message()))[0]
    sender.step(sender.ended(sent, Outcome.REJECTED, wait=3.0), *[sender.message() for _ in range(9)])
    opens = sender.now + 3.0
    while sender.now < opens + 5.0:
        out = sends(sender.tick())
        assert len(out) <= 1
        sender.step(*[sender.ended(s, Outcome.DELIVERED) for s in out])


# 5. Messages of a key are delivered in order


def test_messages_of_one_key_go_one_at_a_time_in_order():
    sender = Sender(rows=[(1, 1, 0, 0), (2, 2, 0, 0)])
    out = sender.step(
        sender.message(ORDERED, key="k"),
        sender.message(ORDERED, dest=2, key="k"),
        sender.message(ORDERED, key="other"),
        sender.message(SAFE, key="k"),
    )
    assert {s.ref for s in sends(out)} == {"m1", "m3", "m4"}
    first = next(s for s in sends(out) if s.ref == "m1")
    assert sends(sender.tick()) == []
    out = sender.step(sender.ended(first, Outcome.DELIVERED), after=0.1)
    assert [s.ref for s in sends(out)] == ["m2"]


@pytest.mark.parametrize(
    "outcome, unreadable",
    [
        (Outcome.TIMED_OUT, False),
        (Outcome.BROKEN, False),
        (Outcome.CANCELLED, False),
        (Outcome.ERROR, True),
    ],
)
def test_a_key_stays_quiet_after_an_attempt_that_may_still_run(outcome, unreadable):
    sender = Sender(max_attempts=1)
    sent = sends(sender.step(sender.message(ORDERED, key="k")))[0]
    ended = sender.ended(sent, outcome, unreadable=unreadable)
    out = sender.step(ended, sender.message(ORDERED, key="k"), after=1.0)
    assert len(answers(out)) == 1
    answered_at = sender.now
    while not sends(out) and sender.now < answered_at + 5:
        out = sender.tick()
    assert sender.now >= answered_at + 0.5


def test_a_key_waits_for_the_attempts_of_a_withdrawn_message():
    sender = Sender()
    first = sender.message(ORDERED, key="k")
    sent = sends(sender.step(first))[0]
    out = sender.step(Withdrawn(first.ref), sender.message(ORDERED, key="k"), after=0.1)
    assert sends(out) == []
    out = sender.step(sender.ended(sent, Outcome.ERROR), after=0.1)
    assert [s.ref for s in sends(out)] == ["m2"]


# 6. Requested waits are respected


def send_times(sender, until, dest=1):
    times = []
    while sender.now < until:
        for sent in sends(sender.step(Timer(1), sender.message(dest=dest), after=0.02)):
            times.append((sender.now, sent.endpoint))
            sender.step(sender.ended(sent, Outcome.DELIVERED))
    return times


def test_a_requested_wait_applies_to_the_whole_destination():
    sender = Sender(rows=[(1, 1, 0, 0), (2, 1, 0, 0)])
    sender.serve(40, gap=0.05)  # so that its rate alone would lead to a call within the wait
    sent = sends(sender.step(sender.message(), after=0.1))[0]
    sender.step(sender.ended(sent, Outcome.REJECTED, wait=0.8))
    rejected_at = sender.now
    first = min(t for t, _ in send_times(sender, rejected_at + 3.0))
    assert rejected_at + 0.8 <= first < rejected_at + 1.0


def test_a_requested_wait_applies_to_one_route_if_routes_are_separate():
    sender = Sender(rows=[(1, 1, 2, 0), (2, 1, 2, 0)])
    sent = sends(sender.step(sender.message()))[0]
    sender.step(sender.ended(sent, Outcome.REJECTED, wait=0.8))
    times = send_times(sender, 3.0)
    assert min(t for t, e in times if e == sent.endpoint) >= 0.8
    assert min(t for t, e in times if e != sent.endpoint) < 0.1


def test_the_longest_wait_requested_in_one_call_counts():
    sender = Sender(rows=[(1, 1, 1, 0)])
    sent = sends(sender.step(sender.message(), sender.message()))
    sender.step(
        sender.ended(sent[0], Outcome.REJECTED, wait=0.2),
        sender.ended(sent[1], Outcome.REJECTED, wait=0.9),
    )
    assert min(t for t, _ in send_times(sender, 3.0)) >= 0.9


def test_a_requested_wait_is_kept_when_all_endpoints_change():
    sender = Sender(rows=[(1, 1, 0, 0)])
    sent = sends(sender.step(sender.message()))[0]
    sender.step(sender.ended(sent, Outcome.REJECTED, wait=0.8))
    sender.step(sender.listed([]), after=0.05)
    sender.step(sender.listed([]), at=0.9)
    pool = sender.control.store.destinations[1].pool
    sender.step(sender.listed([(2, 1, 0, 0)]), after=0.05)
    assert sender.control.store.routes[2].pool is pool
    assert min(t for t, _ in send_times(sender, 3.0)) >= 0.8


def test_a_route_listed_again_still_waits():
    sender = Sender(rows=[(1, 1, 2, 0)])
    sent = sends(sender.step(sender.message()))[0]
    sender.step(sender.ended(sent, Outcome.REJECTED, wait=0.8))
    sender.step(sender.listed([]), after=0.05)
    sender.step(sender.listed([(1, 1, 2, 0)]), after=0.05)
    assert min(t for t, _ in send_times(sender, 3.0)) >= 0.8
