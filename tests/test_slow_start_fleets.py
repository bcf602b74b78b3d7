"""Slow start in large fleets: many decision modules that call one destination, in simulated time.

`test_cold_endpoint.py` describes the failure. The version before the fix exceeded the budget of the worst
window by these parts of what the settings allow (seeds 1 to 3, an outage of 11.7 s, windows of 2 s): 45
senders without a reported limit +0.24, -0.09, +0.08, all in the last seconds of the slow start; with a load
of 1.5 x the limit +0.60 to +0.95; all restarted with their folders +2.75 to +3.44; 45 senders with one call
each in the outage, at an endpoint that hung, +0.02 to +1.46.
"""

from dataclasses import replace

from willownotch.lab.recovery.case import Case, Outage, OutageKind, Restart
from willownotch.lab.recovery.play import play

HANG = (Outage(0.0, 11.7, OutageKind.HANG),)
INCIDENT = {
    "all met the outage": Case(0, enforces=False),
    "24 senders": Case(0, senders=24, enforces=False),
    "4 senders": Case(0, senders=4, limit_per_s=10.0, enforces=False),
    "no limit reported": Case(0, tells_limit=False),
    "more to send than the limit": Case(0, load=1.5, enforces=False),
    "more to send, no limit reported": Case(0, load=1.5, tells_limit=False, listed=1.0),
    "40 s out": Case(0, outages=(Outage(0.0, 40.0, OutageKind.UNREACHABLE),), enforces=False),
    "restarted with folders": Case(0, restarts=(Restart(-1.1, 1.0),)),
    "few calls each, hanging": Case(0, limit_per_s=4.0, outages=HANG),
    "hanging, 200 senders": Case(0, senders=200, limit_per_s=10.0, outages=HANG),
}
SEEDS = (1, 2, 3)


def test_no_window_of_a_slow_start_has_more_calls_than_its_budget():
    results = [play(replace(case, seed=seed)) for case in INCIDENT.values() for seed in SEEDS]
    over = [result.text() for result in results if not result.kept]
    assert not over, "\n".join([f"{len(over)} of {len(results)}", *over])
