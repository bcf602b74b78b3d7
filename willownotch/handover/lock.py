"""The lock on the folder that lasts: whoever holds it writes there. It dies with its holder."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

NAME = "lock"


class FolderLock:
    """An advisory lock on an empty file, as all versions from this one on take it."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._file = os.open(folder / NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def take(self) -> bool:
        """Take it, if nobody has it."""
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    def release(self) -> None:
        """Let it go, for good."""
        fcntl.flock(self._file, fcntl.LOCK_UN)

    def fileno(self) -> int:
        """The descriptor that holds the lock. Whoever gets a copy of it holds the lock, too."""
        return self._file

    def leave(self) -> None:
        """Close this process's descriptor. The lock stays with who has a copy of it."""
        file, self._file = self._file, -1
        os.close(file)

    def adopt(self, descriptor: int) -> None:
        """Hold the lock by another process's descriptor from now on."""
        file, self._file = self._file, descriptor
        os.close(file)
