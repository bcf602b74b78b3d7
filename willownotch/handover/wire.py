"""Frames between the two processes: a kind, data and file descriptors. `Frames` does no I/O."""

from __future__ import annotations

import errno
import select
import socket
import threading
import time
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum
from pathlib import Path
from struct import Struct

from willownotch.net import sockets
from willownotch.net.clock import seconds

HEAD = Struct("<4sBBI")
MAGIC = b"wnH1"
MAX_FRAME_BYTES = 64 << 20
LOCK_WANTED = b"lock"
MAX_DESCRIPTORS = 250  # per frame: the kernel passes at most 253 at a time
READ_BYTES = 1 << 18
BEGIN_TIMEOUT = timedelta(seconds=2)  # to write a frame's first byte, unless the caller sets another
FINISH_TIMEOUT = timedelta(seconds=5)  # to write the rest of a frame: one that is cut off ends the link
RETRY_DELAY = timedelta(milliseconds=5)  # between tries while the kernel is short of a resource
SHORTAGE_ERRORS = frozenset({errno.ENOBUFS, errno.ENOMEM, errno.ETOOMANYREFS, errno.EAGAIN, errno.EINTR})


class Kind(IntEnum):
    """Kind of frame. "Old" is the process that hands over, "new" the one that takes over."""

    HELLO = 1  # new to old: the version of the process that asks for the state
    NOT_NOW = 2  # old to new: not possible now, ask again
    STATE = 3  # old to new: the state, with the listening socket and idle connections to endpoints
    LISTENER_ONLY = 4  # old to new: the listening socket without a state: start from the journal
    STATE_READ = 5  # new to old: the state was read; with `LOCK_WANTED` the lock's descriptor is asked for
    HANDED_OVER = 6  # old to new: everything is handed over; has the lock's descriptor if it was asked for
    CLIENT = 7  # old to new: a client's connection, and its unanswered request, if any
    ENDED = 8  # old to new: a call that was in progress has ended
    WITHDRAWN = 9  # old to new: a client disconnected before it was told that its message was accepted
    CANCEL = 10  # new to old: stop waiting for a call
    ADOPTED = 11  # new to old: a client's connection was adopted, the old process may close its descriptor
    NOT_ADOPTED = 12  # new to old: it could not be adopted: the old process answers it


class BadFrameError(ValueError):
    """The received data is not a valid frame, or not one that is expected."""


@dataclass(frozen=True)
class Frame:
    """A received frame."""

    kind: Kind
    data: bytes
    fds: tuple[int, ...] = ()
    truncated: bool = False  # descriptors of it were dropped, as this process has too few free ones


@dataclass
class Frames:
    """Cuts frames out of a stream. Descriptors arrive with a frame's first byte, in order.

    The kernel drops descriptors that the receiver has no room for. `None` stands for them in `_fds`, so that
    a frame never gets those of the next one.
    """

    _data: bytearray = field(default_factory=bytearray)
    _fds: deque[int | None] = field(default_factory=deque)

    def feed(self, data: bytes, fds: list[int], truncated: bool = False) -> list[Frame]:
        """Return the frames that are complete now.

        `truncated`: descriptors of the frame that began last were dropped.
        """
        self._data += data
        self._fds += fds
        if truncated:
            self._fds.append(None)
        found = []
        while len(self._data) >= HEAD.size:
            magic, kind, count, length = HEAD.unpack_from(self._data)
            if magic != MAGIC or kind not in set(Kind) or length > MAX_FRAME_BYTES:
                raise BadFrameError("not a hand-over frame")
            if len(self._data) < HEAD.size + length:
                break
            body = bytes(self._data[HEAD.size : HEAD.size + length])
            del self._data[: HEAD.size + length]
            found.append(Frame(Kind(kind), body, *self._descriptors(count)))
        return found

    def _descriptors(self, count: int) -> tuple[tuple[int, ...], bool]:
        """Return the next `count` descriptors, and whether some of them were dropped."""
        found: list[int] = []
        while len(found) < count:
            if not self._fds:
                raise BadFrameError("a frame came without its descriptors")
            descriptor = self._fds.popleft()
            if descriptor is None:
                return tuple(found), True
            found.append(descriptor)
        return tuple(found), False


class Link:
    """The connection between the two processes. Any thread may send; one thread receives.

    A frame is written completely or not at all. If the other side does not read, a frame is not begun once
    the sender's patience is over, and the link stays usable. A frame that was begun and cannot be finished
    ends the link, since the following bytes would be read as its rest.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.broken = False
        self._frames, self._ready = Frames(), deque[Frame]()
        self._lock = threading.Lock()

    def send(
        self, kind: Kind, data: bytes = b"", fds: tuple[int, ...] = (), patience: timedelta = BEGIN_TIMEOUT
    ) -> None:
        """Send one frame.

        `TimeoutError`, or `EBADF` for a closed descriptor among `fds`: nothing was written, and the link
        stays usable. Any other `OSError` ends the link.
        """
        if len(fds) > MAX_DESCRIPTORS:
            raise ValueError("too many descriptors for a frame")
        whole = memoryview(HEAD.pack(MAGIC, kind, len(fds), len(data)) + data)
        deadline = time.monotonic() + seconds(patience)
        if not self._lock.acquire(timeout=max(0.0, seconds(patience))):
            raise TimeoutError("the other process does not read from the link")
        sent = 0
        try:
            if self.broken:
                raise BrokenPipeError(errno.EPIPE, "the link to the other process is closed")
            sent = self._write(whole, fds, deadline)
            deadline = time.monotonic() + seconds(FINISH_TIMEOUT)
            while sent < len(whole):
                sent += self._write(whole[sent:], (), deadline)
        except TimeoutError:
            if not sent:
                raise
            self.shut()
            raise BrokenPipeError(errno.EPIPE, "only a part of a frame was written") from None
        except OSError as fault:
            # A closed descriptor is the caller's error and does not end the link: no byte was written.
            if sent or fault.errno != errno.EBADF or self.sock.fileno() == -1:
                self.shut()
            raise
        finally:
            self._lock.release()

    def _write(self, data: memoryview, fds: tuple[int, ...], deadline: float) -> int:
        """Write what the kernel accepts, at least one byte; return how many. `TimeoutError` at `deadline`."""
        while True:
            try:
                if fds:
                    return socket.send_fds(self.sock, [data], fds, socket.MSG_DONTWAIT)
                return self.sock.send(data, socket.MSG_DONTWAIT)
            except OSError as fault:
                if fault.errno not in SHORTAGE_ERRORS:
                    raise
                full = fault.errno == errno.EAGAIN
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                raise TimeoutError("the other process does not read from the link")
            if full:
                self._wait_writable(min(left_s, 1.0))
            else:
                time.sleep(min(left_s, seconds(RETRY_DELAY)))

    def _wait_writable(self, wait_s: float) -> None:
        poll = select.poll()
        poll.register(self.sock, select.POLLOUT)
        sockets.wait(poll, max(1, int(wait_s * 1000)))

    def shut(self) -> None:
        """Shut the link down in both directions. What the other side has sent can still be received."""
        self.broken = True
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # it was closed before

    def receive(self, patience: timedelta | None) -> Frame | None:
        """Return the next frame; None at the end of the link. `TimeoutError` if nothing arrives in time."""
        while not self._ready:
            self.sock.settimeout(None if patience is None else seconds(patience))
            data, fds, flags, _ = sockets.retry_transient("recvmsg", self._receive)
            if not data:
                return None
            self._ready += self._frames.feed(data, fds, bool(flags & socket.MSG_CTRUNC))
        return self._ready.popleft()

    def _receive(self) -> tuple[bytes, list[int], int, object]:
        return socket.recv_fds(self.sock, READ_BYTES, MAX_DESCRIPTORS)

    def close(self) -> None:
        """Close the link."""
        self.broken = True
        self.sock.close()


def address(folder: Path, folder_fd: int) -> str:
    """Return the path of the hand-over socket; under /proc where it is too long for a socket address."""
    path = str(folder / "handover")
    return path if len(path.encode()) < 100 else f"/proc/self/fd/{folder_fd}/handover"
