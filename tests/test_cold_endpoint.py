"""The incident of 2026-12-02: a destination that had come back cold fell again under the calls that it got.

Symptom: destinations that had been out for 11 s came back and fell a second time, each under the sum of
some 45 senders, most of which had met the outage.

Sequence and causes, each played here on its own:
- The end of the slow start. Each sender grew its calls over the settings' `coldS` and then let go of all
  that it held, by its own date of the return, which for half of them lies before the true one.
- A restart in the outage. The new process knew nothing of the outage and sent what it found in its folder
  at once. The incident's log shows it: "1 messages owed" in the outage, and nothing of endpoints for 15 s.
- A process without a folder, which knows nothing at all.

Figures that settled it, by the version before: 12 senders, limit 60 a second, windows of 1 s, a slow start
of 4 s: fell 3.73 and 3.86 s after the return at 131 of 130 and 135 of 134 calls (not told a limit, 1.2 of
it to send); 0.20 and 0.26 s after it at 48 of 48 (killed in the outage, with their folders); 0.99 and 1.46
s after it (without). In simulated time, with more senders: `test_slow_start_fleets.py`.

Real processes over loopback. The stand-in counts each call by its sender and falls at its budget.
"""

from itertools import cycle

import pytest

from willownotch.lab.recovery.case import OutageKind
from willownotch.lab.soak.plan import Action, ColdOutage, ColdPlan, Plan, Step, Weather
from willownotch.lab.soak.run import play

SENDERS, LIMIT = 12, 60.0
OUT_FROM_S, OUT_TO_S = 3.0, 9.0
COLD_S, FALL_S = 4.0, 1.0
SECONDS = 14.0


def cold(kind=OutageKind.UNREACHABLE, **more):
    return ColdPlan(LIMIT, (ColdOutage(OUT_FROM_S, OUT_TO_S, kind),), cold_s=COLD_S, fall_s=FALL_S, **more)


def fleet(destination, *steps):
    """A run in which nothing else goes wrong; `steps` are done to the senders in turn, one to each."""
    return Plan(
        seed=1,
        seconds=SECONDS,
        senders=SENDERS,
        clients=0,
        idle=0,
        endpoints=1,
        steps=tuple(Step(at, sender, action) for sender, (at, action) in zip(range(SENDERS), cycle(steps))),
        weather=(Weather(0.0),),
        call_faults=(),
        clock_steps_s=(),
        cold=destination,
    )


PLANS = {
    "the end of the slow start": fleet(cold(tells_limit=False, load=1.6)),
    "restarts in the outage": fleet(cold(), (OUT_TO_S - 1.5, Action.KILL), (OUT_TO_S - 1.0, Action.LOSE)),
}


@pytest.mark.parametrize("name", PLANS)
def test_a_cold_endpoint_stays_up_under_the_sum_of_its_senders(name):
    report = play(PLANS[name])
    assert not report.records.falls, report.text()
    assert not report.broken, report.text()
    delivered = sum(call.status == 200 for call in report.records.calls)
    assert delivered > 0.5 * LIMIT * (SECONDS - (OUT_TO_S - OUT_FROM_S)), report.text()
