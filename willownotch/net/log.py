"""Lines to standard error by plain print, so many a second of each sort at the most."""

from __future__ import annotations

import os
import select
import stat
import sys
import threading
from datetime import UTC, datetime, timedelta

from willownotch.net.clock import Clock
from willownotch.net.counters import Counters

PERIOD = timedelta(seconds=1)
FULL_POLLS, FULL_MS = 3, 1  # until a pipe counts as full
MOST = 5  # lines of one sort in a period


def pipe_of_stderr() -> select.poll | None:
    """What tells whether standard error takes a line, where that is a pipe, which may be full."""
    try:
        mode = os.fstat(sys.stderr.fileno()).st_mode
    except (OSError, ValueError, AttributeError):
        return None
    if not stat.S_ISFIFO(mode):
        return None
    found = select.poll()
    found.register(sys.stderr, select.POLLOUT)
    return found


class Log:
    """`say` prints a line under its sort; what the rate keeps back is counted and told afterwards."""

    def __init__(self, clock: Clock, name: str = "-", stream=None) -> None:
        self.clock, self.name, self.stream = clock, name, stream
        self.counters = Counters()  # of lines by sort, those kept back too, and of what others count here
        self._full = False  # nobody read it when a line was last due
        self._pipe = pipe_of_stderr() if stream is None else None
        self._lock = threading.Lock()
        self._spent: dict[str, tuple[datetime, int]] = {}

    def _writable(self) -> bool:
        """Whether a line can be written at once; said of it, nothing may fail here."""
        try:
            # A poll that was interrupted gives nothing: a full pipe does so again and again.
            polls = 1 if self._full else FULL_POLLS
            self._full = self._pipe is not None and not any(self._pipe.poll(FULL_MS) for _ in range(polls))
            return not self._full
        except OSError:
            return True  # not known for the moment: mostly it can

    def say(self, sort: str, text: str) -> None:
        """One line: time, sender, sort, text."""
        now = self.clock.now()
        self.counters.add("log line", sort)
        with self._lock:
            began, count = self._spent.get(sort, (now, 0))
            kept_back = max(0, count - MOST)
            if now - began >= PERIOD:
                began, count = now, 0
            self._spent[sort] = (began, count + 1)
            if count >= MOST:
                return
            if not self._writable():
                self.counters.add("log line lost", "nobody reads them")  # a write would wait for good
                return
            more = f" ({kept_back} more such lines were kept back)" if kept_back and count == 0 else ""
            stamp = f"{datetime.now(UTC):%Y-%m-%dT%H:%M:%S.%f}Z"  # as others read it: the wall clock
            line = f"{stamp} {self.name} {sort}: {text}{more}".replace("\n", " | ")
            try:
                print(line, file=sys.stderr if self.stream is None else self.stream, flush=True)
            except (OSError, ValueError):
                pass  # nobody reads the log any more: no reason to stop delivering
