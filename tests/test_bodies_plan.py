"""The body store's decisions: a table for each rule, and properties that hold for any input."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from willownotch.bodies import plan
from willownotch.bodies.plan import (
    CachedDestination,
    Candidate,
    DeliveryForecast,
    Limits,
    SegmentView,
    Step,
    Steps,
    Usage,
    Verdict,
)
from willownotch.bodies.settings import BodiesSettings, for_class
from willownotch.interface import Idempotency

LIMITS = Limits(
    memory=1000,
    memory_low=750,
    room=1000,
    room_low=850,
    destination=500,
    inline=100,
    inline_low=10,
)
IDEMPOTENCY = {"status": Idempotency.SAFE, "order": Idempotency.KEYED, "fee": Idempotency.UNSAFE}
WORTH = {"status": 1.0, "order": 1.0, "fee": 3.0}
PLANS = {  # shares: none for status, 20% for each of the others
    name: plan.ClassPlan(name, WORTH[name], idempotency, for_class(BodiesSettings(), name, idempotency))
    for name, idempotency in IDEMPOTENCY.items()
}
KEEP, DROP, TRY, REFUSE = Verdict.KEEP, Verdict.DROP_FIRST, Verdict.ONE_TRY, Verdict.REFUSE


def usage(**class_bytes):
    """Return a usage with bytes by class, each class at a destination of its own."""
    made = Usage()
    for number, (cls, size) in enumerate(class_bytes.items()):
        made.add(cls, 100 + number, size)
    return made


@pytest.mark.parametrize(
    ("class_bytes", "disk_full", "cls", "destination", "size", "verdict"),
    [
        ({}, False, "status", 1, 100, KEEP),
        ({"status": 900}, False, "status", 1, 100, KEEP),  # a droppable class may use all free room
        ({"status": 900}, False, "status", 1, 101, TRY),
        ({"status": 900}, False, "order", 1, 101, DROP),  # within its share: status must make room
        ({"status": 900}, False, "fee", 1, 200, DROP),
        ({"status": 900}, False, "fee", 1, 201, REFUSE),  # beyond it
        ({"order": 700}, False, "order", 1, 100, KEEP),
        (
            {"order": 700},
            False,
            "order",
            1,
            101,
            REFUSE,
        ),  # 20% stay free for fees, as orders are not droppable
        ({"order": 700}, False, "fee", 1, 200, KEEP),
        ({"order": 700, "fee": 200}, False, "fee", 1, 100, KEEP),
        ({"order": 700, "fee": 200}, False, "status", 1, 101, TRY),
        ({"status": 860}, True, "status", 1, 10, TRY),  # the last step is still in force
        ({"status": 860}, True, "fee", 1, 10, KEEP),  # but within its share a class is admitted
        ({"status": 450}, False, "status", 100, 51, TRY),  # over one destination's limit
        ({"status": 450}, False, "fee", 100, 51, DROP),
        ({"status": 450}, False, "status", 1, 51, KEEP),
        ({}, False, "fee", 1, 501, REFUSE),
    ],
)
def test_admission(class_bytes, disk_full, cls, destination, size, verdict):
    assert (
        plan.admit(PLANS, LIMITS, usage(**class_bytes), disk_full, cls, destination, size).verdict is verdict
    )


def test_no_more_is_dropped_than_is_needed():
    found = plan.admit(PLANS, LIMITS, usage(status=950), False, "fee", 1, 120)
    assert (found.bytes_needed, found.destination) == (70, None)
    found = plan.admit(PLANS, LIMITS, usage(status=450), False, "fee", 100, 120)
    assert (found.bytes_needed, found.destination) == (70, 100)


@pytest.mark.parametrize(("step", "max_bytes"), [(Step.MEMORY, 100), (Step.FILES, 10), (Step.UNKEPT, 10)])
def test_small_bodies_are_stored_in_journal_records(step, max_bytes):
    assert plan.max_inline_bytes(step, LIMITS) == max_bytes


CANDIDATES = [
    Candidate("near", "status", 1, 100, 1.0),
    Candidate("far", "status", 2, 60, 9.0),
    Candidate("large", "status", 2, 90, 9.0),
    Candidate("fee", "fee", 2, 500, 99.0),
]


@pytest.mark.parametrize(
    ("cls", "bytes_needed", "destination", "chosen"),
    [
        ("fee", 50, None, ["large"]),
        ("fee", 91, None, ["large", "far"]),
        ("fee", 151, None, ["large", "far", "near"]),
        ("fee", 251, None, []),  # not enough room: no message is ended
        ("fee", 50, 1, ["near"]),
        ("fee", 101, 1, []),
        ("status", 50, None, []),
        ("order", 50, None, ["large"]),
    ],
)
def test_which_messages_make_room(cls, bytes_needed, destination, chosen):
    found = plan.victims(PLANS, 1000, usage(status=250, fee=500), cls, bytes_needed, CANDIDATES, destination)
    assert [candidate.ref for candidate in found] == chosen


def test_a_class_keeps_its_own_share_when_others_need_room():
    settings = BodiesSettings()
    plans = {
        **PLANS,
        "news": plan.ClassPlan(
            "news",
            1.0,
            Idempotency.SAFE,
            plan.ClassBodies(
                share=0.2,
                at_limit=for_class(settings, "x", Idempotency.SAFE).at_limit,
                drop=for_class(settings, "x", Idempotency.SAFE).drop,
            ),
        ),
    }
    candidates = [Candidate(f"n{n}", "news", 1, 100, 1.0) for n in range(3)]
    assert len(plan.victims(plans, 1000, usage(news=300), "fee", 100, candidates)) == 1
    assert plan.victims(plans, 1000, usage(news=300), "fee", 101, candidates) == []


sizes = st.integers(1, 300)
moves = st.lists(
    st.tuples(st.sampled_from(list(IDEMPOTENCY)), st.integers(1, 3), sizes, st.booleans()),
    max_size=60,
)


@given(moves)
def test_limits_hold_and_shares_stay_available_in_any_sequence(steps):
    """A body within its class's share is refused only if dropping other messages could not make room."""
    stored, bodies = Usage(), {}
    for number, (cls, destination, size, leaves) in enumerate(steps):
        if leaves and bodies:
            gone = bodies.pop(next(iter(bodies)))
            stored.add(gone.cls, gone.destination, -gone.size)
            continue
        body = Candidate(str(number), cls, destination, size, float(number % 5))
        found = plan.admit(PLANS, LIMITS, stored, False, cls, destination, size)
        if found.verdict is DROP:
            others = [b for b in bodies.values() if b.cls == "status"]
            chosen = plan.victims(
                PLANS, LIMITS.room, stored, cls, found.bytes_needed, others, found.destination
            )
            for victim in chosen:
                del bodies[victim.ref]
                stored.add(victim.cls, victim.destination, -victim.size)
            if chosen:
                found = plan.admit(PLANS, LIMITS, stored, False, cls, destination, size)
                assert found.verdict in (KEEP, DROP)
            else:
                there = [b.size for b in others if found.destination in (None, b.destination)]
                assert sum(sorted(there, reverse=True)[: plan.MAX_VICTIMS]) < found.bytes_needed
        if found.verdict is KEEP:
            bodies[body.ref] = body
            stored.add(cls, destination, size)
        assert stored.total == sum(b.size for b in bodies.values()) <= LIMITS.room
        assert all(size <= LIMITS.destination for size in stored.destinations.values())
    # Classes that are not droppable leave every share free, or in use by droppable ones.
    for name in ("order", "fee"):
        share = PLANS[name].share(LIMITS.room)
        fixed = stored.total - stored.classes.get("status", 0)
        assert LIMITS.room - fixed >= share - stored.classes.get(name, 0)


@given(st.lists(st.integers(0, 1100), max_size=200))
def test_the_step_changes_only_when_usage_crosses_both_thresholds(levels):
    steps, stored, last = Steps(), Usage(), None
    for level in levels:
        stored.memory = min(level, LIMITS.memory)
        stored.total = stored.memory
        if level > LIMITS.memory:
            if steps.set_memory_full():
                assert last != "in"
                last = "in"
            steps.set_disk_full()
        elif steps.update(LIMITS, stored):
            assert stored.memory <= LIMITS.room_low
        if not steps.memory_full:
            last = "out"
        assert (steps.current is Step.MEMORY) == (not steps.memory_full and not steps.disk_full)
        if LIMITS.memory_low < level <= LIMITS.memory:
            assert not steps.update(LIMITS, stored) or level <= LIMITS.room_low


def test_which_destination_loses_a_cached_body_first():
    destinations = [CachedDestination(1, 2.0), CachedDestination(2, 9.0), CachedDestination(3, 9.0)]
    assert plan.choose_spill(destinations, 5.0) == 2
    assert plan.choose_spill(destinations, 9.0) is None  # the new one is needed last: it is not cached
    assert plan.choose_spill([], 0.0) is None


def test_when_a_destination_needs_its_next_body():
    """A failing destination needs a body later than one that delivers; the last body is needed latest."""
    quick, slow, failing, waiting = (
        DeliveryForecast(),
        DeliveryForecast(),
        DeliveryForecast(),
        DeliveryForecast(),
    )
    for n in range(50):
        quick.delivered(n * 0.1)
        slow.delivered(n * 1.0)
    failing.delivered(0.0)
    failing.failed(1.0)
    failing.failed(3.0)
    waiting.failed(5.0, wait_s=4.5)
    now = 5.0
    assert (
        quick.expected_wait_s(now, 0)
        < slow.expected_wait_s(now, 0)
        < failing.expected_wait_s(now, 0)
        < waiting.expected_wait_s(now, 0)
    )
    assert quick.expected_wait_s(now, 9) == pytest.approx(10 * quick.expected_wait_s(now, 0))
    failing.delivered(6.0)
    assert failing.expected_wait_s(6.0, 0) < 2.0  # it delivers again


@pytest.mark.parametrize(
    ("segments", "urgent", "chosen"),
    [
        ([], True, None),
        ([SegmentView(1, 10_240, 10_240, 3)], True, None),  # nothing to free
        ([SegmentView(1, 10_240, 9_000, 3), SegmentView(2, 10_240, 100, 1)], True, 2),
        ([SegmentView(1, 10_240, 9_000, 3), SegmentView(2, 10_240, 1_300, 1)], False, None),  # too few dead
        ([SegmentView(1, 10_240, 4_000, 3), SegmentView(2, 10_240, 100, 1)], False, 2),
        ([SegmentView(1, 102_400, 70_000, 3)], True, None),  # too many live bytes to copy
    ],
)
def test_which_segment_is_reclaimed(segments, urgent, chosen):
    assert plan.choose_segment(segments, 0.5, urgent, 65_536) == chosen


@pytest.mark.parametrize(
    ("idempotency", "may_have_run", "outcome"),
    [
        (Idempotency.SAFE, False, "handed_back"),
        (Idempotency.SAFE, True, "handed_back"),
        (Idempotency.KEYED, False, "handed_back"),
        (Idempotency.KEYED, True, "given_up"),
        (Idempotency.UNSAFE, False, "given_up"),
        (Idempotency.UNSAFE, True, "given_up"),
    ],
)
def test_outcome_of_a_message_without_a_body(idempotency, may_have_run, outcome):
    assert plan.outcome_without_body(idempotency, may_have_run) == outcome
