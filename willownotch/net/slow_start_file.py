"""Stores the slow-start state of endpoints in the state folder, for the next process.

Without it, a process that starts during an outage or a slow start would take the endpoint for healthy. The
file is replaced atomically, at most once a second; its time tells how long no process has watched.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from math import isfinite, isnan
from pathlib import Path

import msgspec

from willownotch.files.layer import Files
from willownotch.files.replacing import replace_file
from willownotch.interface import SlowStartRecord, SlowStartRecords
from willownotch.net.clock import ZERO, Clock
from willownotch.net.log import Log

NAME = "slow-start"
WRITE_INTERVAL = timedelta(seconds=1)
MAX_FILE_BYTES = 16 * 1024  # about 140 endpoints; small compared with any folder's limit
RESERVED_BYTES = 2 * MAX_FILE_BYTES  # of the folder's limit, for the file and its replacement
STATE_PRIORITY = ("failing", "recovering", "settling", "healthy")  # records to keep first if not all fit


class EndpointRow(msgspec.Struct, array_like=True):
    """The record of an endpoint, by name: numbers differ between processes."""

    name: str
    record: SlowStartRecord


class SlowStartSnapshot(msgspec.Struct, array_like=True):
    """The file's content. Times in rows are the module's seconds in the process that wrote them; `saved_s` is
    `saved_at` in those."""

    saved_at: datetime
    saved_s: float
    rows: list[EndpointRow]
    complete: bool = True  # endpoints without a row were healthy


def check_snapshot(snapshot: SlowStartSnapshot) -> None:
    """Raise `ValueError` if no process can have written this."""
    if snapshot.saved_at.tzinfo is None or not isfinite(snapshot.saved_s):
        raise ValueError("its time is no time")
    for row in snapshot.rows:
        record = row.record
        times = (
            record.failing_since,
            record.unreachable_at,
            record.returned_at,
            record.answered_at,
            record.warm_at,
            record.last_answer,
        )
        amounts = (record.usual, record.limit, record.pace)
        unsound = any(isnan(at) for at in times) or not all(amount >= 0.0 for amount in amounts)
        if record.state not in STATE_PRIORITY or unsound:
            raise ValueError(f"the record of {row.name!r} is unsound")


class SlowStartFile:
    """Reads the state that the previous process left, and writes this one's."""

    def __init__(self, folder: Path, files: Files, clock: Clock, log: Log) -> None:
        self._path, self._files, self._clock, self._log = folder / NAME, files, clock, log
        self._written_at: datetime | None = None
        self._write_failing = False

    def read(self, number_of: Callable[[str], int]) -> SlowStartRecords:
        """The previous process's state with times on this process's clock. Empty if it cannot be read."""
        try:
            snapshot = msgspec.msgpack.decode(self._files.read_whole(self._path), type=SlowStartSnapshot)
            check_snapshot(snapshot)
        except FileNotFoundError:
            return SlowStartRecords((), None)
        except (OSError, ValueError, RecursionError) as fault:  # msgspec's errors are ValueErrors
            self._log.say("slow start", f"the saved state of endpoints cannot be read: {fault}")
            return SlowStartRecords((), None)
        now = self._clock.now()
        elapsed = now - snapshot.saved_at
        if elapsed < ZERO:  # rebooted with the clock set back: the times are useless
            return SlowStartRecords((), None)
        shift = self._clock.module_s(snapshot.saved_at) - snapshot.saved_s
        records = tuple(_shift_times(row.record, number_of(row.name), shift) for row in snapshot.rows)
        names = ", ".join(f"{row.name} {row.record.state}" for row in snapshot.rows[:10])
        self._log.say(
            "slow start",
            f"{len(records)} endpoints were known not to be healthy {elapsed.total_seconds():.1f} s ago: "
            f"{names or 'none'}",
        )
        return SlowStartRecords(
            records, self._clock.module_s(snapshot.saved_at) if snapshot.complete else None
        )

    def due(self, now: datetime) -> bool:
        """Whether the file should be written again."""
        return self._written_at is None or now - self._written_at >= WRITE_INTERVAL

    def write(self, current: SlowStartRecords, name_of: Callable[[int], str | None], now: datetime) -> None:
        """Replace the file. On failure the old one stays, which is merely older, until the next write."""
        self._written_at = now
        named = [(name_of(record.endpoint), record) for record in current.records]
        rows = [EndpointRow(name, record) for name, record in named if name is not None]
        rows.sort(key=lambda row: STATE_PRIORITY.index(row.record.state))
        data = self._encode(rows, current.saved_at is not None, now)
        while len(data) > MAX_FILE_BYTES:
            rows = rows[: len(rows) // 2]
            data = self._encode(rows, False, now)
        try:
            replace_file(self._files, self._path, data)
        except OSError as fault:
            if not self._write_failing:
                self._log.say("slow start", f"the state of endpoints cannot be saved: {fault}")
            self._write_failing = True
        else:
            self._write_failing = False

    def _encode(self, rows: list[EndpointRow], complete: bool, now: datetime) -> bytes:
        return msgspec.msgpack.encode(SlowStartSnapshot(now, self._clock.module_s(now), rows, complete))


def _shift_times(record: SlowStartRecord, number: int, shift: float) -> SlowStartRecord:
    """A copy of a record with this process's number of the endpoint, and times later by `shift` seconds."""
    return SlowStartRecord(
        number,
        record.state,
        record.failing_since + shift,
        record.unreachable_at + shift,
        record.returned_at + shift,
        record.answered_at + shift,
        record.warm_at + shift,
        record.assumed,
        record.unknown,
        record.last_answer + shift,
        record.usual,
        record.limit,
        record.pace,
    )
