"""Drawn stories of custody in which, beside all other faults, disks refuse writes."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import rule
from test_replica_story import Story, Wider, names

MOST_REFUSED_WRITES, LONGEST_REFUSAL_S = 4, 3.0


class DiskRefusals:
    """Rules by which disks refuse writes. What a disk refused is not on it, whatever the sender does then."""

    @rule(name=names, after=st.integers(1, 6), count=st.integers(1, MOST_REFUSED_WRITES))
    def disk_refuses_writes(self, name, after, count):
        if name in self.fleet.disks:
            disk = self.fleet.disks[name]
            disk.refused_writes = range(disk.write_count + after, disk.write_count + after + count)

    @rule(name=names, span=st.sampled_from([0.2, 1.0, LONGEST_REFUSAL_S]))
    def disk_refuses_for(self, name, span):
        if name in self.fleet.disks:
            self.fleet.disks[name].refuses_until = self.fleet.now + span


class DiskStory(DiskRefusals, Story):
    """Two copies, one acknowledged."""


class WiderDiskStory(DiskRefusals, Wider):
    """Three copies, two acknowledged."""
