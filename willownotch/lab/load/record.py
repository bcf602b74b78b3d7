"""What a run measured: latencies in HDR histograms that merge, and how well the schedule was kept.

Latency runs from the time that a message was meant to go out, so a target that stalls does not hide what
would have been sent meanwhile ("coordinated omission", Tene). Values are microseconds, kept to three digits.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

from willownotch.columns import table as columns

MOST_US, DIGITS = 3_600_000_000, 3
POINTS = (50.0, 90.0, 99.0, 99.9)


def histogram() -> HdrHistogram:
    """An empty one; all are alike, so that they merge."""
    return HdrHistogram(1, MOST_US, DIGITS)


class Summary(msgspec.Struct, frozen=True):
    """A histogram in short; milliseconds."""

    count: int
    p50: float
    p90: float
    p99: float
    p999: float
    most: float


def summary(values: HdrHistogram) -> Summary:
    """Its percentiles."""
    if not values.total_count:
        return Summary(0, 0.0, 0.0, 0.0, 0.0, 0.0)
    points = [values.get_value_at_percentile(p) / 1000 for p in POINTS]
    return Summary(values.total_count, *points, values.get_max_value() / 1000)


@dataclass
class Record:
    """What happened, by class and outcome. `late` is how late the generator itself was, `queued` how long a
    message then waited for a connection; both are in the latency."""

    latency: dict[tuple[str, str], HdrHistogram] = field(default_factory=dict)
    late: HdrHistogram = field(default_factory=histogram)
    queued: HdrHistogram = field(default_factory=histogram)
    planned: int = 0
    retried: int = 0
    connections: int = 0
    first_us: int = 0  # when the first and the last message went out, from the start
    last_us: int = 0

    def answer(self, cls: str, outcome: str, latency_us: int) -> None:
        """A message is over."""
        values = self.latency.get((cls, outcome))
        if values is None:
            values = self.latency[cls, outcome] = histogram()
        values.record_value(min(MOST_US, max(1, latency_us)))

    def sent(self, at_us: int, late_us: int, queued_us: int) -> None:
        """A message goes out for the first time."""
        self.late.record_value(min(MOST_US, max(1, late_us)))
        self.queued.record_value(min(MOST_US, max(1, queued_us)))
        self.first_us = min(self.first_us, at_us) if self.late.total_count > 1 else at_us
        self.last_us = max(self.last_us, at_us)

    def add(self, other: Record) -> None:
        """Take another worker's record in."""
        for key, values in other.latency.items():
            if key not in self.latency:
                self.latency[key] = histogram()
            self.latency[key].add(values)
        if other.late.total_count:
            both = self.late.total_count > 0
            self.first_us = min(self.first_us, other.first_us) if both else other.first_us
        self.late.add(other.late)
        self.queued.add(other.queued)
        self.planned += other.planned
        self.retried += other.retried
        self.connections += other.connections
        self.last_us = max(self.last_us, other.last_us)

    def all(self) -> HdrHistogram:
        """Latencies of all messages, whatever became of them."""
        values = histogram()
        for each in self.latency.values():
            values.add(each)
        return values

    def count(self, outcome: str) -> int:
        """Messages that ended so."""
        return sum(values.total_count for (_, what), values in self.latency.items() if what == outcome)

    def to_bytes(self) -> bytes:
        """For another process or a file."""
        return msgspec.msgpack.encode(
            [
                [[cls, outcome, values.encode()] for (cls, outcome), values in self.latency.items()],
                self.late.encode(),
                self.queued.encode(),
                self.planned,
                self.retried,
                self.connections,
                self.first_us,
                self.last_us,
            ]
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> Record:
        """Back again."""
        rows, late, queued, *rest = msgspec.msgpack.decode(data)
        return cls(
            {(name, outcome): HdrHistogram.decode(values) for name, outcome, values in rows},
            HdrHistogram.decode(late),
            HdrHistogram.decode(queued),
            *rest,
        )


class Kept(msgspec.Struct, frozen=True):
    """How well the schedule was kept."""

    late: Summary
    queued: Summary
    planned: int
    sent: int
    wanted_rate: float
    sent_rate: float
    kept: bool


class Report(msgspec.Struct, frozen=True):
    """A run, for a program to read; milliseconds."""

    all: Summary
    rows: list[tuple[str, str, Summary]]
    schedule: Kept
    retried: int
    connections: int


def report(record: Record, wanted_rate: float, late_most_ms: float) -> Report:
    """What to say of a run. The schedule counts as kept if the generator's own lateness stayed in bounds and
    nothing planned was left unsent."""
    late = summary(record.late)
    sent = record.late.total_count
    span = max(1e-6, (record.last_us - record.first_us) / 1e6)
    return Report(
        summary(record.all()),
        [(*key, summary(values)) for key, values in sorted(record.latency.items())],
        Kept(
            late,
            summary(record.queued),
            record.planned,
            sent,
            round(wanted_rate, 3),
            round(sent / span, 3),
            late.p99 <= late_most_ms and sent == record.planned,
        ),
        record.retried,
        record.connections,
    )


def table(found: Report) -> str:
    """For people."""
    heads = ["CLASS", "OUTCOME", "MESSAGES", "P50 MS", "P90", "P99", "P99.9", "MOST"]
    rows = [[cls, outcome, *_cells(values)] for cls, outcome, values in [*found.rows, ("all", "", found.all)]]
    lines, kept = [columns(heads, rows)], found.schedule
    lines.append(
        f"sent {kept.sent} of {kept.planned} planned, {kept.sent_rate:.1f} a second of "
        f"{kept.wanted_rate:.1f} wanted; {found.connections} connections, {found.retried} retries"
    )
    lines.append(
        f"own lateness p50 {kept.late.p50:.2f} ms, p99 {kept.late.p99:.2f}, most "
        f"{kept.late.most:.2f}; waits for a connection p99 {kept.queued.p99:.2f}, most "
        f"{kept.queued.most:.2f}"
    )
    if not kept.kept:
        lines.append("THE SCHEDULE WAS NOT KEPT: this run asked less of the target than planned, or later")
    return "\n".join(lines)


def _cells(values: Summary) -> list[str]:
    points = values.p50, values.p90, values.p99, values.p999, values.most
    return [str(values.count), *(f"{point:.2f}" for point in points)]
