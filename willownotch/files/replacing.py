"""Atomic replacement of a small file: after a kill it has either the old content or the new one."""

from __future__ import annotations

from pathlib import Path

from willownotch.files.layer import Files


def replace_file(files: Files, path: Path, data: bytes) -> None:
    """Write `data` to a temporary file beside `path` and rename it to `path`; raise `OSError` on failure."""
    new = path.with_name(path.name + ".new")
    file = files.create(new)
    try:
        files.append_all(file, data)
        files.replace(new, path)
    except OSError:
        try:
            files.remove(new)
        except OSError:
            pass  # the next call truncates it
        raise
    finally:
        files.close(file)
