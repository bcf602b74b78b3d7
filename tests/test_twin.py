"""The socket twin: real senders under the model's troubles, with the same rules and endings."""

from __future__ import annotations

from datetime import timedelta

import msgspec
import pytest

from willownotch.lab.model.scenario import Scenario, Trouble, TroubleBlock
from willownotch.lab.model.story import Story
from willownotch.lab.twin.play import Twin

S = timedelta(seconds=1)
CLASSES = {
    name: msgspec.structs.replace(c, deadline=3 * S, wanted=S) for name, c in Scenario().classes().items()
}


def scenario(kind, **more):
    return Scenario(
        duration=4 * S,
        partners=4,
        senders=2,
        rate=15.0,
        class_=CLASSES,
        list_high=S,
        trouble={"a": TroubleBlock(kind=kind, at=S, for_=2 * S, share=0.5)},
        **more,
    )


@pytest.mark.parametrize("kind", [Trouble.HANG, Trouble.CRASH, Trouble.DRAIN])
def test_real_senders_end_each_message_once_and_break_no_rule(kind, tmp_path):
    twin = Twin(scenario(kind), 3, tmp_path)
    result = twin.run()
    assert result.messages == len(twin.plan) > 40
    assert {b.rule for b in result.breaches} <= {"pushed over"}
    assert not any("open" in ends for ends in result.outcomes.values())
    assert sum(ends.get("delivered", 0) for ends in result.outcomes.values()) > 0.5 * result.messages


def test_both_ways_play_the_same_day(tmp_path):
    model, twin = Story(scenario(Trouble.HOT), "module", 7), Twin(scenario(Trouble.HOT), 7, tmp_path)
    assert model.plan.digest() == twin.plan.digest()
    assert [(p.kind, p.pace, len(p.endpoints)) for p in model.partners] == [
        (p.kind, p.pace, len(p.endpoints)) for p in twin.partners
    ]
    assert model.settings == twin.settings
