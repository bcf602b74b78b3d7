"""A destination that returns cold from an outage must not fail again under the calls of all its senders.

In the incident of 2026-12-02 destinations that had been out for 11 s returned and failed a second time under
the sum of some 45 senders. Each cause is tested on its own:
- The end of the slow start: each sender raised its calls over `coldS` and then released all held messages,
  by its own estimate of the return, which is too early for half of the senders.
- A restart in the outage: the new process knew nothing of the outage and sent what its folder held at once.
- A process without a folder, which knows nothing at all.

The version before the fix failed with 12 senders, limit 60 per second, windows of 1 s and a slow start of
4 s: 3.73 and 3.86 s after the return at 131 of 130 and 135 of 134 calls (limit not reported, load 1.2 x the
limit); 0.20 and 0.26 s after it at 48 of 48 (killed in the outage, with folders); 0.99 and 1.46 s after it
(without folders). `test_slow_start_fleets.py` tests more senders in simulated time.

Runs real processes over loopback. The fake endpoint counts calls by sender and fails above its budget.
"""

from itertools import cycle

import pytest

from willownotch.lab.recovery.case import OutageKind
from willownotch.lab.soak.plan import Action, ColdOutage, ColdPlan, Conditions, Plan, Step
from willownotch.lab.soak.run import play

SENDERS, LIMIT = 12, 60.0
OUT_FROM_S, OUT_TO_S = 3.0, 9.0
COLD_S, FALL_S = 4.0, 1.0
SECONDS = 14.0


def cold(kind=OutageKind.UNREACHABLE, **more):
    return ColdPlan(LIMIT, (ColdOutage(OUT_FROM_S, OUT_TO_S, kind),), cold_s=COLD_S, fall_s=FALL_S, **more)


def fleet(destination, *steps):
    """A run without other faults; each of `steps` is applied to one sender, in turn."""
    return Plan(
        seed=1,
        seconds=SECONDS,
        senders=SENDERS,
        clients=0,
        idle=0,
        endpoints=1,
        steps=tuple(Step(at, sender, action) for sender, (at, action) in zip(range(SENDERS), cycle(steps))),
        conditions=(Conditions(0.0),),
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
