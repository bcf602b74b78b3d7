"""Wall-clock times that never run backwards, and their conversion to the decision module's seconds."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta

ZERO = timedelta(0)


class Clock:
    """Reads the wall clock once and counts on the monotonic clock from there.

    Setting the wall clock changes no time that it gives.
    """

    def __init__(self) -> None:
        self._began = datetime.now(UTC)
        self._monotonic_s = time.monotonic()

    def origin(self) -> tuple[datetime, float]:
        """A time and the monotonic clock's seconds at it; all processes of a machine share that clock."""
        return self._began, self._monotonic_s

    def adopt(self, origin: tuple[datetime, float]) -> None:
        """Count from another process's `origin`, so that both give the same times."""
        self._began, self._monotonic_s = origin

    def now(self) -> datetime:
        """The current time, in UTC."""
        return self._began + timedelta(seconds=time.monotonic() - self._monotonic_s)

    def module_s(self, when: datetime) -> float:
        """A time as the decision module counts it: seconds since this clock's origin."""
        return (when - self._began).total_seconds()


def seconds(span: timedelta) -> float:
    """A duration in seconds, as the decision module and socket calls take it."""
    return span.total_seconds()


def span(of_seconds: float) -> timedelta:
    """A duration given in seconds."""
    return timedelta(seconds=of_seconds)


def millis(of_span: timedelta) -> int:
    """A duration in whole milliseconds, as headers carry it; never below zero."""
    return max(0, of_span // timedelta(milliseconds=1))
