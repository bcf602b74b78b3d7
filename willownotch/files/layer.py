"""The real file system behind the narrow interface."""

from __future__ import annotations

import os
from pathlib import Path

MODE = 0o600


class Files:
    """Every call may raise `OSError`. Descriptors are plain numbers; sizes and offsets are bytes."""

    def make_folder(self, path: Path) -> None:
        """Make a folder and those above it; one that is there is fine."""
        path.mkdir(parents=True, exist_ok=True)

    def create(self, path: Path) -> int:
        """A new, empty file to append to and read from; an old one of that name is emptied."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, MODE)

    def open_to_append(self, path: Path) -> int:
        """A file that is there, to append to and read from."""
        return os.open(path, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)

    def append(self, file: int, data: bytes | memoryview) -> int:
        """Write at the file's end; how many bytes were written, which may be fewer than given."""
        return os.write(file, data)

    def append_all(self, file: int, data: bytes | memoryview) -> None:
        """Append until all is written. An error may leave part of it in the file."""
        view = memoryview(data)
        while view:
            view = view[self.append(file, view) :]

    def sync(self, file: int) -> None:
        """Have all that was written to a file, or all names of a folder, outlast a loss of power."""
        os.fsync(file)

    def truncate(self, file: int, size: int) -> None:
        """Cut a file off behind so many bytes."""
        os.ftruncate(file, size)

    def open_to_read(self, path: Path) -> int:
        """A descriptor to read from."""
        return os.open(path, os.O_RDONLY | os.O_CLOEXEC)

    def read_at(self, file: int, size: int, offset: int) -> bytes:
        """So many bytes from an offset; fewer at the file's end."""
        return os.pread(file, size, offset)

    def read_whole(self, path: Path) -> bytes:
        """All bytes of a file."""
        return path.read_bytes()

    def size(self, path: Path) -> int:
        """Bytes in a file."""
        return path.stat().st_size

    def names(self, folder: Path) -> list[str]:
        """The names in a folder, sorted."""
        return sorted(os.listdir(folder))

    def replace(self, old: Path, new: Path) -> None:
        """Let a file take another's place in one step."""
        os.replace(old, new)

    def remove(self, path: Path) -> None:
        """Remove a file; one that is not there is fine."""
        path.unlink(missing_ok=True)

    def close(self, file: int) -> None:
        """Close a descriptor."""
        os.close(file)


REAL = Files()
