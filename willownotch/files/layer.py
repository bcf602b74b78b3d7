"""The real file system behind the interface that `willownotch.files.faulty` can replace."""

from __future__ import annotations

import os
from pathlib import Path

FILE_MODE = 0o600


class Files:
    """File operations. Each may raise `OSError`. Descriptors are ints; sizes and offsets are in bytes."""

    def make_folder(self, path: Path) -> None:
        """Create a folder and its parents; do nothing if it exists."""
        path.mkdir(parents=True, exist_ok=True)

    def create(self, path: Path) -> int:
        """Open an empty file for appending and reading; an existing file of that name is truncated."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, FILE_MODE)

    def open_to_append(self, path: Path) -> int:
        """Open an existing file for appending and reading."""
        return os.open(path, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)

    def append(self, file: int, data: bytes | memoryview) -> int:
        """Write at the end of the file; return the number of bytes written, which may be fewer than given."""
        return os.write(file, data)

    def append_all(self, file: int, data: bytes | memoryview) -> None:
        """Append all of `data`. An error may leave part of it in the file."""
        view = memoryview(data)
        while view:
            view = view[self.append(file, view) :]

    def sync(self, file: int) -> None:
        """Flush a file's data, or a folder's entries, to the disk, so that they survive a power loss."""
        os.fsync(file)

    def truncate(self, file: int, size: int) -> None:
        """Cut a file to `size` bytes."""
        os.ftruncate(file, size)

    def open_to_read(self, path: Path) -> int:
        """Open a file for reading."""
        return os.open(path, os.O_RDONLY | os.O_CLOEXEC)

    def read_at(self, file: int, size: int, offset: int) -> bytes:
        """Read `size` bytes at an offset; fewer at the end of the file."""
        return os.pread(file, size, offset)

    def read_whole(self, path: Path) -> bytes:
        """Return all bytes of a file."""
        return path.read_bytes()

    def size(self, path: Path) -> int:
        """Return a file's size in bytes."""
        return path.stat().st_size

    def names(self, folder: Path) -> list[str]:
        """Return the names in a folder, sorted."""
        return sorted(os.listdir(folder))

    def replace(self, old: Path, new: Path) -> None:
        """Rename `old` to `new` atomically, replacing a file that is there."""
        os.replace(old, new)

    def remove(self, path: Path) -> None:
        """Remove a file; do nothing if it does not exist."""
        path.unlink(missing_ok=True)

    def close(self, file: int) -> None:
        """Close a descriptor."""
        os.close(file)


REAL = Files()
