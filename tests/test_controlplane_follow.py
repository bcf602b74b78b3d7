"""Followers and members in simulated time: what each does when the other is slow, silent, behind or wrong."""
import pytest

from willownotch.controlplane.simulated import Plane, Weather


@pytest.mark.parametrize(("loss", "repeat", "jitter"), [(0.0, 0.0, 0.003), (0.05, 0.1, 0.5), (0.3, 0.3, 0.5)])
def test_each_change_comes_in_force_everywhere_in_order(loss, repeat, jitter):
    plane = Plane(1, 30, Weather(loss, jitter=jitter, repeat=repeat), entries=100)
    plane.start_all()
    for _ in range(12):
        plane.run(plane.now + 2.0)
        revision = plane.change()
    plane.until(lambda: plane.in_force(revision), 60)
    digest = plane.truth.digest
    for node in plane.followers():
        assert node.core.held.document.digest == digest
        revisions = [revision for _, revision in node.forces]
        assert revisions == sorted(set(revisions))


def test_an_idle_fleet_costs_little_and_spreads_evenly():
    plane = Plane(2, 91)
    plane.start_all()
    plane.run(60.0)
    assert all(node.sent + node.received < 150 * 60 for node in plane.followers())
    counted = [len(node.core.followers) for node in plane.members()]
    assert sum(counted) == 91 and max(counted) <= 2 * 91 / 9
