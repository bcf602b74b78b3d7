"""Wall-clock times that never run backwards, and the one place where they become the module's seconds."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta

ZERO = timedelta(0)


class Clock:
    """Reads the wall clock once and the monotonic one from then on, so that a set clock moves nothing."""

    def __init__(self) -> None:
        self._began = datetime.now(UTC)
        self._monotonic = time.monotonic()

    def origin(self) -> tuple[datetime, float]:
        """What its times stand on; the monotonic clock is the same for all processes of a machine."""
        return self._began, self._monotonic

    def adopt(self, origin: tuple[datetime, float]) -> None:
        """Count as another process did, whose times go on here."""
        self._began, self._monotonic = origin

    def now(self) -> datetime:
        """The present time."""
        return self._began + timedelta(seconds=time.monotonic() - self._monotonic)

    def module_s(self, when: datetime) -> float:
        """A time as the decision module counts it: seconds since this clock was made."""
        return (when - self._began).total_seconds()


def seconds(span: timedelta) -> float:
    """A span in the module's (and the socket calls') float seconds."""
    return span.total_seconds()


def span(of_seconds: float) -> timedelta:
    """The module's float seconds as a span."""
    return timedelta(seconds=of_seconds)


def millis(of_span: timedelta) -> int:
    """A span in whole milliseconds, as headers carry it; never below zero."""
    return max(0, of_span // timedelta(milliseconds=1))
