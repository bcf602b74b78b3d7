"""The lifecycle of a sender: pairs of events in both orders, and what each state means."""

from datetime import UTC, datetime, timedelta

import pytest

from willownotch.lifecycle import QUIESCE_GRACE, REQUEST_TRANSIT_TIME, Event, Lifecycle, State

NOW = datetime(2026, 1, 1, tzinfo=UTC)
LATER = NOW + QUIESCE_GRACE


def after(*events):
    lifecycle = Lifecycle()
    for event in events:
        lifecycle = lifecycle.after_event(event, NOW)
    return lifecycle


E, S = Event, State
# Events after LISTED, the state at once and after the grace time, whether the sender is ready.
PAIRS = [
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
    lifecycle = after(E.LISTED, *events)
    assert (lifecycle.state(NOW), lifecycle.state(LATER), lifecycle.ready()) == (at_once, later, ready)
    early = after(*events, E.LISTED)
    assert early == lifecycle  # the list may come at any time, and changes nothing else


@pytest.mark.parametrize("events", [pair[0] for pair in PAIRS])
def test_without_a_list_readiness_never_says_yes(events):
    assert not after(*events).ready()


def test_a_drain_takes_what_is_under_way_and_then_hands_back():
    lifecycle = after(E.LISTED, E.QUIESCE)
    assert lifecycle.accepts_messages(LATER - timedelta(milliseconds=1)) and not lifecycle.accepts_messages(
        LATER
    )
    assert lifecycle.closes_after_answer() and not after(E.LISTED).closes_after_answer()
    assert not lifecycle.closes_idle(NOW - timedelta(hours=1), NOW)  # too early for any client to know of it
    assert lifecycle.closes_idle(NOW - timedelta(hours=1), NOW + REQUEST_TRANSIT_TIME)
    assert not lifecycle.closes_idle(NOW + REQUEST_TRANSIT_TIME / 2, NOW + REQUEST_TRANSIT_TIME)
    assert not after(E.LISTED).closes_idle(NOW - timedelta(hours=1), LATER)


def test_a_second_quiesce_does_not_begin_the_drain_again():
    lifecycle = after(E.LISTED, E.QUIESCE)
    assert lifecycle.after_event(E.QUIESCE, LATER) is lifecycle
