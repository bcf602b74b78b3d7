"""A file system that fails on demand: no space, I/O errors, short writes, stalls, kills at the Nth operation.

For tests and rigs only; `serve` never imports it. Operations are numbered from 1 in the order in which they
begin. Like SQLite's tests, a test can fail the Nth operation for every N.
"""

from __future__ import annotations

import errno
import os
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from fnmatch import fnmatch
from pathlib import Path

from willownotch.files.layer import Files

STALL_POLL_S = 0.005  # interval at which a stalled operation checks whether the fault was lifted


class Kind(Enum):
    """Kind of failure."""

    NO_SPACE = "no-space"
    IO_ERROR = "io-error"
    SHORT = "short"  # a write that accepts only half of its data
    STALL = "stall"  # the operation blocks for as long as the fault is set
    DIE = "die"  # SIGKILL to this process, before the operation
    DIE_TORN = "die-torn"  # SIGKILL to this process after half of a write


ERRNO = {Kind.NO_SPACE: errno.ENOSPC, Kind.IO_ERROR: errno.EIO}
WRITES = ("append",)


@dataclass(frozen=True)
class Fault:
    """A failure of operations and file names that match patterns, or of one operation by its number."""

    kind: Kind
    operation: str = "*"
    name: str = "*"
    number: int | None = None

    def matches(self, operation: str, name: str, number: int) -> bool:
        """Return whether the fault applies to this operation."""
        if self.number is not None and self.number != number:
            return False
        return fnmatch(operation, self.operation) and fnmatch(name, self.name)


def read_faults(text: str) -> list[Fault]:
    """Parse faults, one per line: `kind operation name [number]`."""
    faults = []
    for line in text.splitlines():
        kind, operation, name, *number = line.split()
        faults.append(Fault(Kind(kind), operation, name, int(number[0]) if number else None))
    return faults


def from_file(path: Path) -> Callable[[], list[Fault]]:
    """Return a function that reads the current faults from a file.

    A test writes and removes the file while another process runs; no file means no faults.
    """

    def read() -> list[Fault]:
        try:
            return read_faults(path.read_text(encoding="utf-8"))
        except FileNotFoundError:
            return []

    return read


class Faulty(Files):
    """Calls `faults` before each operation and applies the first one that matches.

    `operations` records (number, operation, file name) of every operation begun.
    """

    def __init__(
        self,
        faults: Callable[[], list[Fault]] = list,
        die: Callable[[], None] | None = None,
        begun: Callable[[int, str, str], None] | None = None,
    ) -> None:
        self.faults, self.begun = faults, begun
        self.die = die or (lambda: os.kill(os.getpid(), signal.SIGKILL))
        self.count = 0
        self.operations: list[tuple[int, str, str]] = []
        self._lock = threading.Lock()
        self._names: dict[int, str] = {}  # file names by open descriptor

    def _begin(self, operation: str, name: str) -> Kind | None:
        """Count an operation; raise, stall or kill the process if a fault matches.

        Returns the kind of a short or torn write, which the caller carries out; None if no fault matches.
        """
        with self._lock:
            self.count += 1
            number = self.count
            self.operations.append((number, operation, name))
        if self.begun:
            self.begun(number, operation, name)
        while kinds := [f.kind for f in self.faults() if f.matches(operation, name, number)]:
            kind = kinds[0]
            if kind is Kind.STALL:
                time.sleep(STALL_POLL_S)
                continue
            if kind is Kind.DIE or (kind is Kind.DIE_TORN and operation not in WRITES):
                self.die()
            elif kind in ERRNO:
                raise OSError(ERRNO[kind], os.strerror(ERRNO[kind]), name)
            return kind
        return None

    def make_folder(self, path: Path) -> None:
        """See `Files`."""
        self._begin("make_folder", path.name)
        super().make_folder(path)

    def create(self, path: Path) -> int:
        """See `Files`."""
        self._begin("create", path.name)
        file = super().create(path)
        self._names[file] = path.name
        return file

    def open_to_append(self, path: Path) -> int:
        """See `Files`."""
        self._begin("open_to_append", path.name)
        file = super().open_to_append(path)
        self._names[file] = path.name
        return file

    def append(self, file: int, data: bytes | memoryview) -> int:
        """See `Files`."""
        kind = self._begin("append", self._names.get(file, "?"))
        if kind in (Kind.SHORT, Kind.DIE_TORN) and len(data) > 1:
            written = super().append(file, data[: len(data) // 2])
            if kind is Kind.DIE_TORN:
                self.die()
            return written
        return super().append(file, data)

    def sync(self, file: int) -> None:
        """See `Files`."""
        self._begin("sync", self._names.get(file, "?"))
        super().sync(file)

    def truncate(self, file: int, size: int) -> None:
        """See `Files`."""
        self._begin("truncate", self._names.get(file, "?"))
        super().truncate(file, size)

    def open_to_read(self, path: Path) -> int:
        """See `Files`."""
        self._begin("open_to_read", path.name)
        file = super().open_to_read(path)
        self._names[file] = path.name
        return file

    def read_at(self, file: int, size: int, offset: int) -> bytes:
        """See `Files`."""
        self._begin("read_at", self._names.get(file, "?"))
        return super().read_at(file, size, offset)

    def read_whole(self, path: Path) -> bytes:
        """See `Files`."""
        self._begin("read_whole", path.name)
        return super().read_whole(path)

    def size(self, path: Path) -> int:
        """See `Files`."""
        self._begin("size", path.name)
        return super().size(path)

    def names(self, folder: Path) -> list[str]:
        """See `Files`."""
        self._begin("names", folder.name)
        return super().names(folder)

    def replace(self, old: Path, new: Path) -> None:
        """See `Files`."""
        self._begin("replace", new.name)
        super().replace(old, new)
        for file, name in list(self._names.items()):
            if name == old.name:
                self._names[file] = new.name

    def remove(self, path: Path) -> None:
        """See `Files`."""
        self._begin("remove", path.name)
        super().remove(path)

    def close(self, file: int) -> None:
        """See `Files`; never fails, as the descriptor is released in any case."""
        self._names.pop(file, None)
        super().close(file)
