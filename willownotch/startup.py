"""Steps of the start that may fail for a moment, tried again until they succeed or it is the operator's turn.

An address that is still in use, a descriptor or some memory too few, a disk that does not answer: each
passes by itself, and a process that ended for it would only be started again. What an operator has to change
ends the start at once.
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
PATIENCE = timedelta(seconds=6)  # of the 10 s that a restarted process has until it is ready
PAUSE, PAUSE_MOST = timedelta(milliseconds=20), timedelta(milliseconds=300)  # between tries, doubling
TELL_EACH_S = 1.0  # between two lines on one step
PASSING = frozenset(
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
    """Tries steps. `stopped` says whether the process was told to end meanwhile."""

    def __init__(self, log: Log, stopped: Callable[[], bool]) -> None:
        self.log, self.stopped = log, stopped

    def attempt(self, what: str, step: Callable[[], T], patience: timedelta | None = PATIENCE) -> T:
        """The step's result. The last `OSError` once `patience` is over; None: it is tried for good.

        `InterruptedError` if the process is to end.
        """
        began, pause, told = time.monotonic(), seconds(PAUSE), 0.0
        while True:
            try:
                return step()
            except OSError as fault:
                waited = time.monotonic() - began
                if fault.errno not in PASSING or (patience is not None and waited >= seconds(patience)):
                    raise
                if time.monotonic() - told >= TELL_EACH_S:
                    told = time.monotonic()
                    self.log.say("starting", f"waits for {what}: {fault}")
            if self.stopped():
                raise InterruptedError
            time.sleep(pause)
            pause = min(seconds(PAUSE_MOST), 2 * pause)
