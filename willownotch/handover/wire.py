"""Frames between the two processes: a kind, some bytes, and descriptors. `Frames` opens nothing."""
from __future__ import annotations

import socket
import threading
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum
from pathlib import Path
from struct import Struct

from willownotch.net.clock import seconds

HEAD = Struct("<4sBBI")
MAGIC = b"wnH1"
MOST = 64 << 20  # bytes of a frame
DESCRIPTORS = 250  # in one frame: the kernel passes 253 at a time
READ = 1 << 18


class Kind(IntEnum):
    """What a frame says."""

    HELLO = 1  # new to old: the version that asks
    NOT_NOW = 2  # old to new: ask again
    ESTATE = 3  # old to new: everything; the listening socket and kept connections come along
    PLAIN = 4  # old to new: the same without an estate: start from the journal
    TOOK = 5  # new to old: it is read, and can be used
    GIVEN = 6  # old to new: it is yours from now on
    CLIENT = 7  # old to new: a client's connection, and the request that it has made, if any
    ENDED = 8  # old to new: a call that was out has ended
    WITHDRAWN = 9  # old to new: a client was gone before it could hear that its message was taken on
    CALL_OFF = 10  # new to old: stop waiting for a call


class BadFrameError(ValueError):
    """What came is no frame of ours."""


@dataclass(frozen=True)
class Frame:
    """One of them."""

    kind: Kind
    data: bytes
    fds: tuple[int, ...] = ()


@dataclass
class Frames:
    """Cuts frames out of a stream. Descriptors arrive with a frame's first byte, in order."""

    _data: bytearray = field(default_factory=bytearray)
    _fds: deque[int] = field(default_factory=deque)

    def feed(self, data: bytes, fds: list[int]) -> list[Frame]:
        """The frames that are whole now."""
        self._data += data
        self._fds += fds
        found = []
        while len(self._data) >= HEAD.size:
            magic, kind, count, length = HEAD.unpack_from(self._data)
            if magic != MAGIC or kind not in set(Kind) or length > MOST:
                raise BadFrameError("no frame of a hand-over")
            if len(self._data) < HEAD.size + length:
                break
            if len(self._fds) < count:
                raise BadFrameError("descriptors of a frame are missing")
            body = bytes(self._data[HEAD.size:HEAD.size + length])
            del self._data[:HEAD.size + length]
            found.append(Frame(Kind(kind), body, tuple(self._fds.popleft() for _ in range(count))))
        return found


class Link:
    """One connection between the two. Any thread may send; one receives."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._frames, self._ready = Frames(), deque[Frame]()
        self._lock = threading.Lock()

    def send(self, kind: Kind, data: bytes = b"", fds: tuple[int, ...] = ()) -> None:
        """Send one frame whole."""
        if len(fds) > DESCRIPTORS:
            raise ValueError("too many descriptors for a frame")
        whole = memoryview(HEAD.pack(MAGIC, kind, len(fds), len(data)) + data)
        with self._lock:
            sent = socket.send_fds(self.sock, [whole], fds) if fds else 0
            self.sock.sendall(whole[sent:])

    def receive(self, patience: timedelta | None) -> Frame | None:
        """The next frame; None at the connection's end. `TimeoutError` if nothing comes in time."""
        while not self._ready:
            self.sock.settimeout(None if patience is None else seconds(patience))
            data, fds, _, _ = socket.recv_fds(self.sock, READ, DESCRIPTORS)
            if not data:
                return None
            self._ready += self._frames.feed(data, fds)
        return self._ready.popleft()

    def close(self) -> None:
        """End the connection."""
        self.sock.close()


def address(folder: Path, folder_fd: int) -> str:
    """The socket's path. One that is longer than an address can hold has a short name under /proc."""
    path = str(folder / "handover")
    return path if len(path.encode()) < 100 else f"/proc/self/fd/{folder_fd}/handover"
