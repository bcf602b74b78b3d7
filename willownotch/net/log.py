"""The log: lines on standard error, limited per second for each event word."""

from __future__ import annotations

import os
import select
import stat
import sys
import threading
from datetime import UTC, datetime, timedelta

from willownotch.net.clock import Clock
from willownotch.net.counters import Counters

RATE_PERIOD = timedelta(seconds=1)
FULL_PIPE_POLLS, FULL_PIPE_POLL_MS = 3, 1  # a pipe that takes nothing in so many polls counts as full
MOST = 5  # lines of one event word in a period


def poll_stderr_pipe() -> select.poll | None:
    """A poll that tells whether standard error takes a line, if that is a pipe, which may be full."""
    try:
        mode = os.fstat(sys.stderr.fileno()).st_mode
    except (OSError, ValueError, AttributeError):
        return None
    if not stat.S_ISFIFO(mode):
        return None
    poll = select.poll()
    poll.register(sys.stderr, select.POLLOUT)
    return poll


class Log:
    """`say` prints a line under its event word.

    Lines over the limit are counted, and their number is logged.
    """

    def __init__(self, clock: Clock, name: str = "-", stream=None) -> None:
        self.clock, self.name, self.stream = clock, name, stream
        self.counters = Counters()  # log lines by event word, suppressed ones too, and what others count here
        self._full = False  # the pipe took nothing when the last line was due
        self._pipe = poll_stderr_pipe() if stream is None else None
        self._lock = threading.Lock()
        self._periods: dict[str, tuple[datetime, int]] = {}  # by event word: its period's start, lines in it

    def _writable(self) -> bool:
        """Whether a line can be written without blocking. Never raises."""
        try:
            # An interrupted poll returns nothing, too; a pipe that is full does so repeatedly.
            polls = 1 if self._full else FULL_PIPE_POLLS
            self._full = self._pipe is not None and not any(
                self._pipe.poll(FULL_PIPE_POLL_MS) for _ in range(polls)
            )
            return not self._full
        except OSError:
            return True  # not known for the moment: usually it can

    def say(self, event: str, text: str) -> None:
        """Print one line: time, sender, event word, text."""
        now = self.clock.now()
        self.counters.add("log line", event)
        with self._lock:
            began, count = self._periods.get(event, (now, 0))
            suppressed = max(0, count - MOST)
            if now - began >= RATE_PERIOD:
                began, count = now, 0
            self._periods[event] = (began, count + 1)
            if count >= MOST:
                return
            if not self._writable():
                self.counters.add("log line lost", "nobody reads them")  # a write would block indefinitely
                return
            more = f" ({suppressed} more such lines were suppressed)" if suppressed and count == 0 else ""
            # The wall clock, not this process's clock: the line is compared with logs of other programs.
            stamp = f"{datetime.now(UTC):%Y-%m-%dT%H:%M:%S.%f}Z"
            line = f"{stamp} {self.name} {event}: {text}{more}".replace("\n", " | ")
            try:
                print(line, file=sys.stderr if self.stream is None else self.stream, flush=True)
            except (OSError, ValueError):
                pass  # nobody reads the log any more: deliveries go on without it
