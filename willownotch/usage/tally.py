"""This instance's own counts: each count produces the row that replaces the previous one."""

from __future__ import annotations

from collections.abc import Mapping

from willownotch.usage.windows import PEAK_WINDOW_S, PeakRate
from willownotch.usage.wire import MAX_COUNT, ZERO_COUNTS, CountKind, Key, Row

OVERFLOW_TENANT = b""  # stands for all tenants beyond the number that is counted separately


class Tally:
    """The rows of one session, written only by its own process.

    `max_rows` bounds their number and `rows` are the initial ones. `former` are the rows of the previous
    session: their peak rates stay in force until this session has had the time to measure its own.
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
        self._former_peaks = {
            key: row.peak_milli_per_s for key, row in (former or {}).items() if row.peak_milli_per_s
        }
        self._former_peaks_until = now + PEAK_WINDOW_S
        self._peaks: dict[Key, PeakRate] = {}

    def count(self, now: float, tenant: bytes, cls: str, kind: CountKind, number: int = 1) -> Row:
        """Counts `number` messages of a tenant and class, and returns the row as it is now."""
        key = tenant, cls
        if key not in self.rows and len(self.rows) >= self.max_rows:
            key = OVERFLOW_TENANT, cls
        old = self.rows.get(key)
        counts = list(old.counts if old else ZERO_COUNTS)
        counts[kind] = min(MAX_COUNT, counts[kind] + number)
        peak = self._peaks.get(key)
        if peak is None:
            peak = self._peaks[key] = PeakRate()
        peak.add(now, kind, number)
        if self._former_peaks and now >= self._former_peaks_until:
            self._former_peaks.clear()
        self.version += 1
        row = self.rows[key] = Row(
            *key,
            self.version,
            tuple(counts),
            min(MAX_COUNT, max(peak.milli_per_s(), self._former_peaks.get(key, 0))),
        )
        return row
