"""Nothing that the decision module is told may raise: the process would end, and again at each start."""

import pytest
from decision_stories import Story, emptied_destination
from helpers import settings
from refusal_stories import RefusalStory

from willownotch import interface as api
from willownotch.control import Controller


def test_a_tried_message_whose_destination_has_lost_its_last_endpoint_ends_no_process():
    controller = emptied_destination()
    for step in range(50):
        controller.handle(0.4 + step / 10, [api.Timer(1)])


@pytest.mark.parametrize("seed", range(150))
def test_no_drawn_story_raises(seed):
    Story(seed).play(150)


@pytest.mark.parametrize("seed", range(150))
def test_no_drawn_story_refuses_what_may_have_run_and_must_not_be_repeated(seed):
    """Its client may hand a refused message in again under another id: it would run twice."""
    story = RefusalStory(seed)
    story.play(150)
    assert not story.wrong, story.wrong


@pytest.mark.parametrize("seed", range(150))
def test_no_drawn_story_ends_untried_what_was_accepted_before(seed):
    """Accepted ones were shed when a restart or a book brought back more than may be held."""
    story = RefusalStory(seed)
    story.play(150)
    assert not story.untried, story.untried


@pytest.mark.parametrize("quiet_s", [3600.0, 86400.0, 30 * 86400.0])
def test_a_delivery_after_a_long_quiet_time_ends_no_process(quiet_s):
    """The pace grows with the seconds since the last success, and its power was out of a float's range."""
    controller = Controller(settings(), 1)
    listed = api.EndpointList((api.Endpoint(1, 1, 0, 0),), True)
    for number, now in enumerate((0.0, quiet_s)):
        events = [listed, api.Message(f"m{number}", 1, 0, 20.0)]
        assert any(isinstance(a, api.Send) for a in controller.handle(now, events))
        controller.handle(now + 0.1, [api.AttemptEnded(f"m{number}", 0, 1, api.Outcome.DELIVERED, 0.1, True)])


def test_destinations_that_come_and_go_are_not_remembered_without_end():
    controller = Controller(settings(), 1)
    for number in range(2000):
        entry = api.Endpoint(number, number, 0, 0)
        controller.handle(
            float(number), [api.EndpointList((entry,), True), api.Message(f"m{number}", number, 0, 0.5)]
        )
    assert len(controller.store.destinations) < 200
    assert len(controller.store.routes) < 200
