"""A small file that is replaced whole: after a kill it has the old content or the new one."""

from __future__ import annotations

from pathlib import Path

from willownotch.files.layer import Files


def replace_file(files: Files, path: Path, data: bytes) -> None:
    """Write `data` to a new file beside `path` and let it take that one's place; `OSError` if that fails."""
    new = path.with_name(path.name + ".new")
    file = files.create(new)
    try:
        files.append_all(file, data)
        files.replace(new, path)
    except OSError:
        try:
            files.remove(new)
        except OSError:
            pass  # the next one empties it
        raise
    finally:
        files.close(file)
