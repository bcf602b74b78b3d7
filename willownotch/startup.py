"""Retries steps of the start that may fail temporarily.

An address still in use, too few descriptors, too little memory, a disk that does not respond: each of these
passes by itself, and a process that ended because of it would only be started again. An error that an
operator has to correct ends the start at once.
"""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

from willownotch.net.clock import seconds
from willownotch.net.log import Log

T = TypeVar("T")
RETRY_TIMEOUT = timedelta(seconds=6)  # of the 10 s in which a restarted process has to be ready
MIN_RETRY_DELAY, MAX_RETRY_DELAY = timedelta(milliseconds=20), timedelta(milliseconds=300)  # doubles
LOG_INTERVAL_S = 1.0  # between two log lines about one step
TEMPORARY_ERRORS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EMFILE,
        errno.ENFILE,
        errno.EAGAIN,
        errno.EINTR,
        errno.EIO,
        errno.ENOSPC,
        errno.EDQUOT,
        errno.ESTALE,
        errno.EBUSY,
        errno.ETIMEDOUT,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTUNREACH,
        errno.EPROTO,
        errno.ENOLCK,
        errno.ECONNABORTED,
        errno.ETXTBSY,
    }
)


class Startup:
    """Runs steps of the start. `stopped` tells whether the process was asked to end in the meantime."""

    def __init__(self, log: Log, stopped: Callable[[], bool]) -> None:
        self.log, self.stopped = log, stopped

    def attempt(self, what: str, step: Callable[[], T], timeout: timedelta | None = RETRY_TIMEOUT) -> T:
        """The result of `step`, repeated while it fails temporarily. `what` names it in the log.

        Raises the last `OSError` after `timeout` (None: never), and at once an error that does not pass by
        itself. Raises `InterruptedError` if the process is to end.
        """
        began, delay, logged_s = time.monotonic(), seconds(MIN_RETRY_DELAY), 0.0
        while True:
            try:
                return step()
            except OSError as fault:
                waited = time.monotonic() - began
                if fault.errno not in TEMPORARY_ERRORS or (
                    timeout is not None and waited >= seconds(timeout)
                ):
                    raise
                if time.monotonic() - logged_s >= LOG_INTERVAL_S:
                    logged_s = time.monotonic()
                    self.log.say("starting", f"waits for {what}: {fault}")
            if self.stopped():
                raise InterruptedError
            time.sleep(delay)
            delay = min(seconds(MAX_RETRY_DELAY), 2 * delay)
