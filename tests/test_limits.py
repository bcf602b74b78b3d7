"""Size limits of the decision module, and its determinism."""

import random
from pathlib import Path

from helpers import CLASSES, Sender, sends

from willownotch.interface import Outcome

ROOT = Path(__file__).parent.parent


def test_the_module_stays_within_its_limits():
    lines = (ROOT / "willownotch" / "control.py").read_text(encoding="utf-8").splitlines()
    assert len([line for line in lines if line.strip()]) <= 560
    assert max(len(line) for line in lines) <= 110
    assert "willownotch/interface.py" in "\n".join(lines[:8])


def play(seed):
    chance, log = random.Random(3), []
    sender = Sender(seed=seed, rows=[(1, 1, 0, 0), (2, 1, 0, 0), (3, 2, 1, 0)])
    out = []
    for _ in range(460):
        events = [sender.ended(s, chance.choice(list(Outcome))) for s in out]
        events += [sender.message(chance.choice(CLASSES), dest=chance.choice([1, 2]))]
        actions = sender.step(*events, after=0.05)
        out = sends(actions)
        log += [repr(a) for a in actions]
    return log


def test_equal_events_give_equal_actions():
    assert play(1) == play(1)
