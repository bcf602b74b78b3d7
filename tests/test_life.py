"""The states of a sender: every two events in both orders, and what each state means."""

from datetime import UTC, datetime, timedelta

import pytest

from willownotch.lifecycle import QUIESCE_GRACE, REQUEST_TRANSIT_TIME, Event, Lifecycle, State

NOW = datetime(2026, 1, 1, tzinfo=UTC)
LATER = NOW + QUIESCE_GRACE


def after(*events):
    life = Lifecycle()
    for event in events:
        life = life.after_event(event, NOW)
    return life


E, S = Event, State
PAIRS = [  # what happened to a listed sender, its state at once and later, whether readiness says yes
    ((), S.READY, S.READY, True),
    ((E.QUIESCE,), S.QUIESCING, S.QUIESCED, False),
    ((E.QUIESCE, E.QUIESCE), S.QUIESCING, S.QUIESCED, False),
    ((E.RESUME,), S.READY, S.READY, True),
    ((E.QUIESCE, E.RESUME), S.READY, S.READY, True),
    ((E.RESUME, E.QUIESCE), S.QUIESCING, S.QUIESCED, False),
    ((E.QUIESCE, E.STOP), S.STOPPING, S.STOPPING, False),
    ((E.STOP, E.QUIESCE), S.STOPPING, S.STOPPING, False),
    ((E.STOP,), S.STOPPING, S.STOPPING, True),
    ((E.STOP, E.RESUME), S.STOPPING, S.STOPPING, True),
    ((E.HAND_OVER,), S.HANDING_OVER, S.HANDING_OVER, True),
    ((E.HAND_OVER, E.HAND_OVER_FAILED), S.READY, S.READY, True),
    ((E.HAND_OVER, E.HANDED_OVER), S.RETIRED, S.RETIRED, False),
    ((E.HANDED_OVER, E.HAND_OVER_FAILED), S.RETIRED, S.RETIRED, False),
    ((E.HANDED_OVER, E.RESUME), S.RETIRED, S.RETIRED, False),
    ((E.HANDED_OVER, E.STOP), S.RETIRED, S.RETIRED, False),
    ((E.STOP, E.HAND_OVER), S.STOPPING, S.STOPPING, True),
    ((E.HAND_OVER, E.QUIESCE, E.HAND_OVER_FAILED), S.QUIESCING, S.QUIESCED, False),
    ((E.QUIESCE, E.HAND_OVER, E.RESUME, E.HAND_OVER_FAILED), S.READY, S.READY, True),
]


@pytest.mark.parametrize("events,at_once,later,ready", PAIRS)
def test_what_happened_gives_one_state(events, at_once, later, ready):
    life = after(E.LISTED, *events)
    assert (life.state(NOW), life.state(LATER), life.ready()) == (at_once, later, ready)
    early = after(*events, E.LISTED)
    assert early == life  # the list may come at any time, and changes no order


@pytest.mark.parametrize("events", [pair[0] for pair in PAIRS])
def test_without_a_list_readiness_never_says_yes(events):
    assert not after(*events).ready()


def test_a_drain_takes_what_is_under_way_and_then_hands_back():
    life = after(E.LISTED, E.QUIESCE)
    assert life.accepts_messages(LATER - timedelta(milliseconds=1)) and not life.accepts_messages(LATER)
    assert life.closes_after_answer() and not after(E.LISTED).closes_after_answer()
    assert not life.closes_idle(NOW - timedelta(hours=1), NOW)  # told this moment: nobody has heard of it
    assert life.closes_idle(NOW - timedelta(hours=1), NOW + REQUEST_TRANSIT_TIME)
    assert not life.closes_idle(NOW + REQUEST_TRANSIT_TIME / 2, NOW + REQUEST_TRANSIT_TIME)
    assert not after(E.LISTED).closes_idle(NOW - timedelta(hours=1), LATER)


def test_a_second_quiesce_does_not_begin_the_drain_again():
    life = after(E.LISTED, E.QUIESCE)
    assert life.after_event(E.QUIESCE, LATER) is life
