"""The module and messages that were accepted before it had them: nothing of a hand-in is decided again."""

from math import inf
from random import Random

import pytest
from helpers import CLASSES, SAFE, UNSAFE, answers, sends, settings

from willownotch import interface as api
from willownotch.control import DEST_HELD_SHARE, Controller
from willownotch.quotas import TENANT_BURST_S
from willownotch.slow_start import State

LISTED = api.EndpointList((api.Endpoint(1, 1, 0, 0),), True)
# Exact in binary, so that no sum depends on how it is split.
QUOTA_PER_S, PART, STEP_S = 8.0, 0.5, 1 / 64
SPAN_S, LEFT_S = 6.0, 1000.0


def new_controller(**changes):
    """A controller with one tenant, whose part of the quota is hard."""
    changes = {"tenants": (api.Tenant("a", QUOTA_PER_S),), "holding_room": 1000, **changes}
    controller = Controller(settings(**changes), 1)
    controller.handle(0.0, [api.TenantPart(0, PART, hard=True)])
    return controller


def message(ref, cls=SAFE, **more):
    return api.Message(ref, 1, CLASSES.index(cls), LEFT_S, **more)


def test_untried_messages_that_were_accepted_before_are_not_refused_above_a_hard_part():
    """A restart refused what it found accepted and untried, though its quota was spent before."""
    controller = new_controller()
    out = controller.handle(1.0, [message(f"m{n}", UNSAFE, accepted=True) for n in range(50)])
    assert answers(out) == []
    assert sends(controller.handle(1.1, [LISTED]))


def test_messages_with_attempts_of_another_process_are_not_refused_above_a_hard_part():
    """What has attempts has been accepted, whether or not it is said to be."""
    controller = new_controller()
    past = (api.PastAttempt(1, 0.5, may_have_run=False),)
    assert answers(controller.handle(1.0, [message(f"m{n}", past=past) for n in range(50)])) == []


def accepted_at(times, restart_at=None):
    """Which of the hand-ins at these times are accepted, with a restart of the sender while all are owed."""
    controller, accepted = new_controller(), []
    for now in times:
        if restart_at is not None and now >= restart_at:
            controller = new_controller()
            spent = api.QuotaSpent(0, tuple(restart_at - at for at in accepted))
            again = [message(f"m{at}", accepted=True) for at in accepted]
            controller.handle(restart_at, [api.TenantPart(0, PART, hard=True), spent, *again])
            restart_at = None
        if not answers(controller.handle(now, [message(f"m{now}")])):
            accepted.append(now)
    return accepted


@pytest.mark.parametrize("seed", range(50))
def test_a_restart_grants_a_tenant_neither_more_nor_less_of_its_part(seed):
    """Neither the burst anew, nor less because what is owed is charged once more."""
    random = Random(f"hand-ins {seed}")
    steps = sorted(random.sample(range(int(SPAN_S / STEP_S)), random.choice((20, 60, 200))))
    times = [1.0 + step * STEP_S for step in steps]
    restart_at = 1.0 + random.randrange(int(SPAN_S / STEP_S)) * STEP_S
    assert accepted_at(times, restart_at) == accepted_at(times)


def test_limits_of_holding_stay_as_they_are_for_hand_ins_beside_what_was_accepted_before():
    """What a restart brings back takes no room from hand-ins, and gives them none."""
    room = 10
    controller = Controller(settings(holding_room=room), 1)
    again = [message(f"again{n}", accepted=True) for n in range(5 * room)]
    assert answers(controller.handle(1.0, again)) == []
    out = controller.handle(1.1, [message(f"new{n}") for n in range(2 * room)])
    kept = 2 * room - len(answers(out))
    assert 0 < kept <= DEST_HELD_SHARE * room
    assert all(answer.ref.startswith("new") for answer in answers(out))


def test_what_was_above_its_tenants_quota_stays_worth_less_and_the_rest_does_not_become_so():
    """A restart decided it again: the first few had their full worth, whatever they had been."""
    worth = 0.25
    tenants = (api.Tenant("a", QUOTA_PER_S),)
    before = Controller(settings(tenants=tenants, over_share_worth=worth), 1)
    before.handle(0.0, [api.TenantPart(0, PART)])
    refs = [f"m{n}" for n in range(20)]
    before.handle(1.0, [message(ref) for ref in refs])
    over = [before.is_over_share(ref) for ref in refs]
    assert over.count(True) == 20 - QUOTA_PER_S * PART * TENANT_BURST_S
    after = Controller(settings(tenants=tenants, over_share_worth=worth), 1)
    after.handle(
        2.0,
        [
            message(ref, accepted=True, over_share=was)
            for ref, was in zip(reversed(refs), reversed(over), strict=True)
        ],
    )
    assert [after.store.jobs[ref].worth for ref in refs] == [before.store.jobs[ref].worth for ref in refs]


def test_messages_that_were_accepted_before_are_no_arrivals():
    """They were counted when they were handed in; a restart took its backlog for a burst of demand."""
    tenants = (api.Tenant("a", QUOTA_PER_S), api.Tenant("b", QUOTA_PER_S))
    controller = Controller(settings(tenants=tenants, senders=50, holding_room=1000), 1)
    controller.handle(1.0, [message(f"m{n}", accepted=True) for n in range(500)])
    assert controller.quotas.arrivals.at(1.0) == 0.0
    assert controller.store.destinations[1].demand_rate(1.0) == 0.0
    assert controller.quotas.part(0, 1.0).part == 1 / 50


def test_a_backlog_that_is_restored_before_the_list_replaces_no_recorded_demand():
    """The slow start of a cold endpoint is bounded by the demand: a backlog of 500 was 500 a second."""
    usual_per_s = 5.0
    controller = Controller(settings(holding_room=1000), 1)
    record = api.SlowStartRecord(
        1, State.RECOVERING.value, 0.0, 0.0, 0.9, 0.9, 11.0, False, False, 0.9, usual_per_s, 50.0, inf
    )
    controller.handle(1.0, [api.SlowStartRecords((record,), 0.95)])
    controller.handle(1.3, [message(f"m{n}", accepted=True) for n in range(500)])
    controller.handle(1.4, [LISTED])
    assert controller.store.destinations[1].demand_rate(1.4) == pytest.approx(usual_per_s)


def test_a_reload_to_a_smaller_room_ends_nothing_that_was_accepted():
    """Limits of holding are for hand-ins: a reload sheds what this very process has accepted."""
    controller = Controller(settings(holding_room=100), 1)
    assert answers(controller.handle(1.0, [message(f"m{n}") for n in range(40)])) == []
    smaller = api.SettingsChanged(settings(holding_room=10))
    assert answers(controller.handle(2.0, [smaller])) == []
