"""Crowds that finish no request: the sender stays under the least memory, and others are answered in time."""

import pytest

from willownotch.lab.soak.crowd import FULL_SPEED, CrowdKind
from willownotch.lab.soak.plan import Action, Step, pressure
from willownotch.lab.soak.run import play

CLIENTS, MEMORY_MB, SECONDS = 400, 32.0, 4.0
IN_TIME_MOST_LATE = 10  # %, of the requests of others


FEW = dict.fromkeys(FULL_SPEED, 4)


@pytest.mark.parametrize("kind", CrowdKind, ids=lambda kind: kind.value)
def test_a_crowd_passes_no_memory_limit_and_keeps_nobody_from_an_answer(kind):
    report = play(pressure(kind, FEW.get(kind, CLIENTS), MEMORY_MB, seconds=SECONDS))
    assert not report.broken, report.text()
    assert report.counts()["answered in time, %"] >= 100 - IN_TIME_MOST_LATE, report.text()


@pytest.mark.parametrize(
    "action", [Action.RESTART, Action.UPGRADE, Action.KILL, Action.DRAIN], ids=lambda action: action.name
)
def test_a_crowd_passes_no_memory_limit_while_its_sender_is_replaced(action):
    report = play(pressure(CrowdKind.MIXED, CLIENTS, MEMORY_MB, (Step(1.0, 0, action),), seconds=SECONDS))
    assert "memory" not in report.rules(), report.text()
    assert "crash" not in report.rules(), report.text()
