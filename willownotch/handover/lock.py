"""The lock on the state folder: only its holder writes there. The kernel releases it when the holder ends."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

NAME = "lock"


class FolderLock:
    """An advisory lock on an empty file. All versions that can hand over use the same file."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._file = os.open(folder / NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def take(self) -> bool:
        """Acquire the lock without waiting; return whether this process holds it."""
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    def release(self) -> None:
        """Release the lock, for all processes that share the descriptor."""
        fcntl.flock(self._file, fcntl.LOCK_UN)

    def fileno(self) -> int:
        """Return the descriptor that holds the lock. A process that gets a copy of it holds the lock too."""
        return self._file

    def leave(self) -> None:
        """Close this process's descriptor. The lock stays with processes that have a copy of it."""
        file, self._file = self._file, -1
        os.close(file)

    def adopt(self, descriptor: int) -> None:
        """Hold the lock by a descriptor received from another process."""
        file, self._file = self._file, descriptor
        os.close(file)
