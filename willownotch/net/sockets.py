"""Socket calls that outlast a failure of the moment.

The kernel may fail a call for want of memory, or report on one call what the next does not find (an
unreachable route, a time-out of the path). Such a call is made again a few times: a connection that is really
over says so in the next call, by its end or by a reset.
"""

from __future__ import annotations

import errno
import select
import socket
import time
from collections.abc import Callable
from typing import TypeVar

from willownotch.net.counters import Counters

T = TypeVar("T")
TRIES = 4
RETRIES = Counters()  # of this process, by call and error
RETRY_S = 0.002  # between tries, doubling
# Without effect on the connection, or cleared by being reported once.
TRANSIENT_ERRORS = frozenset(
    {
        errno.EINTR,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ETIMEDOUT,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.ENETDOWN,
        errno.EHOSTDOWN,
        errno.EPROTO,
    }
)
# Of this machine and not of the peer: nothing has left it.
LOCAL_SHORTAGES = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
    }
)
# Of one connection that came and went, or of the moment: the next one may be accepted at once.
ACCEPT_RETRY_ERRORS = TRANSIENT_ERRORS | {errno.ECONNABORTED}


def retry_transient(call: str, make: Callable[[], T]) -> T:
    """What a call gives, made again where it failed for a moment. `TimeoutError` without an `errno` is the
    socket's own time-out, which is told at once."""
    for attempt in range(TRIES):
        try:
            return make()
        except OSError as fault:
            if fault.errno not in TRANSIENT_ERRORS or attempt + 1 == TRIES:
                raise
            _pause(call, fault, attempt)
    raise AssertionError("unreachable")


def receive(sock: socket.socket, size: int) -> bytes:
    """As `recv`."""
    return retry_transient("recv", lambda: sock.recv(size))


def _pause(call: str, fault: OSError, attempt: int) -> None:
    RETRIES.add(f"{call} again", errno.errorcode[fault.errno])
    time.sleep(RETRY_S * 2**attempt)


def send_all(sock: socket.socket, data: bytes) -> None:
    """As `sendall`, each byte once: what was written before a failure is not written again."""
    timeout = sock.gettimeout()
    ends = None if timeout is None else time.monotonic() + timeout
    view, failures = memoryview(data), 0
    while view:
        try:
            view, failures = view[sock.send(view) :], 0
        except OSError as fault:
            failures += 1
            if fault.errno not in TRANSIENT_ERRORS or failures == TRIES:
                raise
            _pause("send", fault, failures - 1)
        if view and ends is not None:
            left = ends - time.monotonic()
            if left <= 0:
                raise TimeoutError("timed out")
            sock.settimeout(left)


def wait(poll: select.poll, timeout_ms: int | None) -> list[tuple[int, int]]:
    """As `poll.poll`."""
    found = retry_transient("poll", lambda: poll.poll(timeout_ms))
    # Interrupted with no time left it gives nothing, whatever there is.
    return found if found or timeout_ms != 0 else retry_transient("poll", lambda: poll.poll(0))


def disable_nagle(sock: socket.socket) -> None:
    """Have small writes leave at once. A connection on which that cannot be set works all the same."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        pass
