"""Loads the keys file that a settings file names."""

from __future__ import annotations

from pathlib import Path

from willownotch.peers.seal import KeysError, read_keys


def load_keys(path: str) -> list[tuple[int, bytes]]:
    """The keys of a file; `KeysError` with path, line and column of what is wrong."""
    try:
        return read_keys(Path(path).read_text(encoding="utf-8"))
    except OSError as fault:
        what = f"cannot be read ({fault.strerror}), wanted: a readable file of keys"
        raise KeysError(f"{path}:1:1: {what}") from None
    except ValueError as fault:
        raise KeysError(
            f"{path}:{fault}" if isinstance(fault, KeysError) else f"{path}:1:1: is not UTF-8, wanted: text"
        ) from None
