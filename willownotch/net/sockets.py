"""Socket calls that are repeated after a transient failure.

The kernel may fail a call for want of memory, or report in one call an error that the next one no longer sees
(an unreachable route, a time-out on the path). Such a call is repeated a few times. A connection that is
really over shows it again in the next call, by its end or a reset.
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
MAX_TRIES = 8  # of one call: 78 ms with the delays between them, well inside a client's 400 ms
RETRIES = Counters()  # of this process, by call and error
RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.002, 0.016  # before the first repetition; doubles
# They leave the connection as it is, or are cleared by being reported once.
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
# Shortages on this machine, not of the peer: nothing was sent.
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
# A route that is missing for a moment. A host that is really away fails the next tries alike.
ROUTE_ERRORS = frozenset(
    {errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN, errno.EHOSTDOWN, errno.ETIMEDOUT}
)
# Of the path or the peer: the connection may be over, although the kernel reports that only once.
PATH_ERRORS = ROUTE_ERRORS | {errno.EPROTO}
TCP_CLOSE_WAIT = 8  # state of a connection whose peer has ended it (Linux, tcp_states.h)
# Of one connection that is already gone, or transient: the next one can be accepted at once.
ACCEPT_RETRY_ERRORS = TRANSIENT_ERRORS | {errno.ECONNABORTED}


def ignore_error(fault: OSError) -> None:
    """Do nothing about a transient error."""


def retry_transient(
    call: str, make: Callable[[], T], on_error: Callable[[OSError], None] = ignore_error
) -> T:
    """The result of `make`, repeated after transient errors; `call` names it in the counters.

    `on_error` is told each of these errors. A `TimeoutError` without an `errno` is the socket's own time-out,
    and is raised at once.
    """
    for attempt in range(MAX_TRIES):
        try:
            return make()
        except OSError as fault:
            if fault.errno not in TRANSIENT_ERRORS or attempt + 1 == MAX_TRIES:
                raise
            on_error(fault)
            _wait_before_retry(call, fault, attempt)
    raise AssertionError("unreachable")


def receive(sock: socket.socket, size: int, on_error: Callable[[OSError], None] = ignore_error) -> bytes:
    """`recv`, repeated after transient errors, which `on_error` is told."""
    return retry_transient("recv", lambda: sock.recv(size), on_error)


def receive_into(sock: socket.socket, space: memoryview) -> int:
    """`recv_into`, repeated after transient errors; the number of bytes, 0 at the connection's end."""
    return retry_transient("recv", lambda: sock.recv_into(space))


def closed_by_peer(sock: socket.socket) -> bool:
    """Whether a connection that has no more to read was ended by its peer, in order.

    One that broke with an error reads as ended, too, once the error has been reported.
    """
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE_WAIT
    except OSError:
        return False


def _wait_before_retry(call: str, fault: OSError, attempt: int) -> None:
    RETRIES.add(f"{call} again", errno.errorcode[fault.errno])
    time.sleep(min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2**attempt))


def send_all(sock: socket.socket, data: bytes) -> None:
    """`sendall`, continued after transient errors behind the last byte that was sent."""
    timeout = sock.gettimeout()
    ends = None if timeout is None else time.monotonic() + timeout
    view, failures = memoryview(data), 0
    while view:
        try:
            view, failures = view[sock.send(view) :], 0
        except OSError as fault:
            failures += 1
            if fault.errno not in TRANSIENT_ERRORS or failures == MAX_TRIES:
                raise
            _wait_before_retry("send", fault, failures - 1)
        if view and ends is not None:
            left = ends - time.monotonic()
            if left <= 0:
                raise TimeoutError("timed out")
            sock.settimeout(left)


def wait(poll: select.poll, timeout_ms: int | None) -> list[tuple[int, int]]:
    """`poll.poll`, repeated after transient errors."""
    found = retry_transient("poll", lambda: poll.poll(timeout_ms))
    # A poll that is interrupted and has no time left returns nothing, even if something is ready.
    return found if found or timeout_ms != 0 else retry_transient("poll", lambda: poll.poll(0))


def disable_nagle(sock: socket.socket) -> None:
    """Have small writes sent at once. A connection that does not allow it is used without."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        pass
