"""A new process under an endpoint's name and address is not taken for the one before it."""

from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace

import pytest
from helpers import CLASSES, KEYED, settings

from willownotch.control import Controller
from willownotch.interface import (
    AttemptEnded,
    DedupScope,
    Endpoint,
    EndpointList,
    Message,
    Outcome,
    Send,
    Timer,
)
from willownotch.journal.records import AcceptedMessage
from willownotch.net.attempts import Relay
from willownotch.net.clock import Clock
from willownotch.net.registry import Host
from willownotch.net.start_conditions import StartConditions


@pytest.mark.parametrize(
    ("scope", "life", "repeats"),
    [
        (DedupScope.ENDPOINT, 0, True),
        (DedupScope.ENDPOINT, 5, False),
        (DedupScope.ALL, 5, True),
    ],
)
def test_a_repeat_does_not_go_to_a_new_process_that_remembers_nothing(scope, life, repeats):
    """Its key was remembered by the process before it alone, so it ran a second time there."""
    cell = replace(KEYED, name="cell", dedup_scope=scope)
    controller = Controller(settings(classes=(*CLASSES, cell)), 1)
    listed = EndpointList((Endpoint(1, 1, 0, 0),), True)
    first = controller.handle(0.0, [listed, Message("m", 1, len(CLASSES), 20.0)])
    assert any(isinstance(action, Send) for action in first)
    again = EndpointList((Endpoint(1, 1, 0, 0, life=life),), False)
    actions = controller.handle(0.1, [again, AttemptEnded("m", 0, 1, Outcome.ERROR, 0.1)])
    for step in range(40):
        actions += controller.handle(0.2 + step / 10, [Timer(1)])
    assert any(isinstance(action, Send) for action in actions) is repeats


def test_a_call_that_was_decided_on_for_the_process_before_is_not_begun():
    clock = Clock()
    host = Host(1, "s-1", ("127.0.0.1", 1), 7, True, since_ms=0)
    message = AcceptedMessage("m", 7, "status", "acme", clock.now() + timedelta(seconds=9))
    relay = Relay(message, 0, 1, host, clock.now(), clock.now() + timedelta(seconds=5))
    conditions = StartConditions(clock, SimpleNamespace(live={}), {1: host})
    assert not conditions.forbid(relay)
    conditions.hosts[1] = replace(host, since_ms=1000)
    assert conditions.forbid(relay)
