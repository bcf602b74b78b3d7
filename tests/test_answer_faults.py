"""Answers that reach a sender repeated, cut, late or unasked, with real processes (issue 60).

Endpoints stand behind a proxy that spoils answers; the verdicts are the soak's, counted from outside.
"""

import pytest

from willownotch.lab.faults.answers import AnswerFault
from willownotch.lab.soak.plan import Conditions, Plan
from willownotch.lab.soak.run import play

SECONDS = 3.0
STRUCK_LEAST = 20  # answers, or the play showed nothing


def struck_plan(*faults, seed=31, notice_share=0.0):
    """Two senders beside endpoints that refuse a quarter of the calls, and answers that are struck."""
    conditions = Conditions(
        0.0, refuse=0.25, answer_faults=faults, answer_share=0.15, notice_share=notice_share
    )
    return Plan(seed, SECONDS, 2, 9, 0, 6, (), (conditions, Conditions(SECONDS)), (), ())


@pytest.mark.parametrize("fault", AnswerFault, ids=lambda fault: fault.name.lower())
def test_a_spoilt_answer_loses_no_message_runs_none_twice_and_keeps_the_order(fault):
    """A second copy of an earlier answer was taken for the answer of the next call on the connection."""
    report = play(struck_plan(fault))
    assert not report.broken, report.text()
    assert report.records.struck_answers[fault.name] >= STRUCK_LEAST, report.text()
