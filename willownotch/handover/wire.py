"""Frames between the two processes: a kind, some bytes, and descriptors. `Frames` opens nothing."""

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
MOST = 64 << 20  # bytes of a frame
LOCK_WANTED = b"lock"
DESCRIPTORS = 250  # in one frame: the kernel passes 253 at a time
READ = 1 << 18
BEGIN_TIME = timedelta(seconds=2)  # until a frame's first byte is written, where the caller has no limit
FINISH_TIME = timedelta(seconds=5)  # for the rest of a frame that has been begun: half of one ends the link
RETRY_TIME = timedelta(milliseconds=5)  # between tries where the kernel is short of something
SHORTAGES = frozenset({errno.ENOBUFS, errno.ENOMEM, errno.ETOOMANYREFS, errno.EAGAIN, errno.EINTR})


class Kind(IntEnum):
    """What a frame says."""

    HELLO = 1  # new to old: the version that asks
    NOT_NOW = 2  # old to new: ask again
    STATE = 3  # old to new: everything; the listening socket and kept connections come along
    PLAIN = 4  # old to new: the same without an state: start from the journal
    TOOK = 5  # new to old: it is read, and can be used; with `LOCK_WANTED` it takes the lock as a descriptor
    HANDED_OVER = (
        6  # old to new: it is yours from now on; the descriptor that holds the lock, if it was wanted
    )
    CLIENT = 7  # old to new: a client's connection, and the request that it has made, if any
    ENDED = 8  # old to new: a call that was out has ended
    WITHDRAWN = 9  # old to new: a client was gone before it could hear that its message was taken on
    CALL_OFF = 10  # new to old: stop waiting for a call
    ADOPTED = 11  # new to old: a client's connection is here, the old process may close its own descriptor
    NOT_ADOPTED = 12  # new to old: it could not be taken: the old process answers it


class BadFrameError(ValueError):
    """What came is no frame of ours."""


@dataclass(frozen=True)
class Frame:
    """One of them."""

    kind: Kind
    data: bytes
    fds: tuple[int, ...] = ()
    truncated: bool = False  # descriptors of it did not arrive: this process has no room for them


@dataclass
class Frames:
    """Cuts frames out of a stream. Descriptors arrive with a frame's first byte, in order.

    The kernel drops descriptors that the receiver has no room for. `None` stands for them in `_fds`, so that
    a frame never gets those of the next one.
    """

    _data: bytearray = field(default_factory=bytearray)
    _fds: deque[int | None] = field(default_factory=deque)

    def feed(self, data: bytes, fds: list[int], truncated: bool = False) -> list[Frame]:
        """The frames that are whole now. `truncated`: descriptors of the last frame begun were dropped."""
        self._data += data
        self._fds += fds
        if truncated:
            self._fds.append(None)
        found = []
        while len(self._data) >= HEAD.size:
            magic, kind, count, length = HEAD.unpack_from(self._data)
            if magic != MAGIC or kind not in set(Kind) or length > MOST:
                raise BadFrameError("no frame of a hand-over")
            if len(self._data) < HEAD.size + length:
                break
            body = bytes(self._data[HEAD.size : HEAD.size + length])
            del self._data[: HEAD.size + length]
            found.append(Frame(Kind(kind), body, *self._descriptors(count)))
        return found

    def _descriptors(self, count: int) -> tuple[tuple[int, ...], bool]:
        """The next descriptors, and whether some of them were dropped."""
        found: list[int] = []
        while len(found) < count:
            if not self._fds:
                raise BadFrameError("descriptors of a frame are missing")
            descriptor = self._fds.popleft()
            if descriptor is None:
                return tuple(found), True
            found.append(descriptor)
        return tuple(found), False


class Link:
    """One connection between the two. Any thread may send; one receives.

    A frame is written whole or not at all. Where the other side does not read, nothing is begun once the
    sender's patience is over, and the link stays good; a frame that was begun and cannot be finished ends
    the link, since what came behind it would be read as its rest.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.broken = False
        self._frames, self._ready = Frames(), deque[Frame]()
        self._lock = threading.Lock()

    def send(
        self, kind: Kind, data: bytes = b"", fds: tuple[int, ...] = (), patience: timedelta = BEGIN_TIME
    ) -> None:
        """Send one frame whole. `TimeoutError`, or `EBADF` for a descriptor of it that is closed: nothing was
        written, and the link stays good; another `OSError` ends it."""
        if len(fds) > DESCRIPTORS:
            raise ValueError("too many descriptors for a frame")
        whole = memoryview(HEAD.pack(MAGIC, kind, len(fds), len(data)) + data)
        ends = time.monotonic() + seconds(patience)
        if not self._lock.acquire(timeout=max(0.0, seconds(patience))):
            raise TimeoutError("the other process does not read")
        sent = 0
        try:
            if self.broken:
                raise BrokenPipeError(errno.EPIPE, "the link to the other process is over")
            sent = self._write(whole, fds, ends)
            ends = time.monotonic() + seconds(FINISH_TIME)
            while sent < len(whole):
                sent += self._write(whole[sent:], (), ends)
        except TimeoutError:
            if not sent:
                raise
            self.shut()
            raise BrokenPipeError(errno.EPIPE, "half a frame was written") from None
        except OSError as fault:
            # A descriptor that is closed is its owner's fault, and ends nothing: no byte was written.
            if sent or fault.errno != errno.EBADF or self.sock.fileno() == -1:
                self.shut()
            raise
        finally:
            self._lock.release()

    def _write(self, data: memoryview, fds: tuple[int, ...], ends: float) -> int:
        """Write what the kernel takes; at least one byte by the time `ends`."""
        while True:
            try:
                if fds:
                    return socket.send_fds(self.sock, [data], fds, socket.MSG_DONTWAIT)
                return self.sock.send(data, socket.MSG_DONTWAIT)
            except OSError as fault:
                if fault.errno not in SHORTAGES:
                    raise
                full = fault.errno == errno.EAGAIN
            left = ends - time.monotonic()
            if left <= 0:
                raise TimeoutError("the other process does not read")
            if full:
                self._wait_writable(min(left, 1.0))
            else:
                time.sleep(min(left, seconds(RETRY_TIME)))

    def _wait_writable(self, wait_s: float) -> None:
        waiting = select.poll()
        waiting.register(self.sock, select.POLLOUT)
        sockets.wait(waiting, max(1, int(wait_s * 1000)))

    def shut(self) -> None:
        """End it both ways. What the other side had sent by then can be received still."""
        self.broken = True
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # it is over already

    def receive(self, patience: timedelta | None) -> Frame | None:
        """The next frame; None at the connection's end. `TimeoutError` if nothing comes in time."""
        while not self._ready:
            self.sock.settimeout(None if patience is None else seconds(patience))
            data, fds, flags, _ = sockets.retry_transient("recvmsg", self._receive)
            if not data:
                return None
            self._ready += self._frames.feed(data, fds, bool(flags & socket.MSG_CTRUNC))
        return self._ready.popleft()

    def _receive(self) -> tuple[bytes, list[int], int, object]:
        return socket.recv_fds(self.sock, READ, DESCRIPTORS)

    def close(self) -> None:
        """End the connection."""
        self.broken = True
        self.sock.close()


def address(folder: Path, folder_fd: int) -> str:
    """The socket's path. One that is longer than an address can hold has a short name under /proc."""
    path = str(folder / "handover")
    return path if len(path.encode()) < 100 else f"/proc/self/fd/{folder_fd}/handover"
