"""This instance's own counts, as they are made: each count gives the row that replaces the one before."""

from __future__ import annotations

from collections.abc import Mapping

from willownotch.usage.windows import PEAK_SLOTS, Peak
from willownotch.usage.wire import COUNT_MOST, NOTHING, CountKind, Key, Row

REST = b""  # the tenant that stands for all those beyond the most that are counted apart


class Tally:
    """The rows of one life, written by its process alone.

    `most` bounds them; `rows` are those it begins with, `former` those of the life before, whose rates hold
    on until this life has its own.
    """

    def __init__(
        self,
        max_rows: int,
        rows: Mapping[Key, Row] | None = None,
        former: Mapping[Key, Row] | None = None,
        now: float = 0.0,
    ) -> None:
        self.max_rows, self.rows = max_rows, dict(rows or {})
        self.version = max((row.version for row in self.rows.values()), default=0)
        self._former = {key: row.peak for key, row in (former or {}).items() if row.peak}
        self._former_until = now + PEAK_SLOTS
        self._peaks: dict[Key, Peak] = {}

    def count(self, now: float, tenant: bytes, cls: str, sort: CountKind, number: int = 1) -> Row:
        """Count messages of a tenant and class; the row as it is now."""
        key = tenant, cls
        if key not in self.rows and len(self.rows) >= self.max_rows:
            key = REST, cls
        old = self.rows.get(key)
        counts = list(old.counts if old else NOTHING)
        counts[sort] = min(COUNT_MOST, counts[sort] + number)
        peak = self._peaks.get(key)
        if peak is None:
            peak = self._peaks[key] = Peak()
        peak.add(now, sort, number)
        if self._former and now >= self._former_until:
            self._former.clear()
        self.version += 1
        row = self.rows[key] = Row(
            *key, self.version, tuple(counts), min(COUNT_MOST, max(peak.milli(), self._former.get(key, 0)))
        )
        return row
