"""What two processes must have in common to hand a state over."""

from __future__ import annotations

import functools
from importlib.util import source_hash
from pathlib import Path

SOURCES = (
    "control.py",
    "concurrency_limit.py",
    "pacing.py",
    "quotas.py",
    "repeats.py",
    "silence.py",
    "slow_start.py",
    "state.py",
    "interface.py",
    "handover/state.py",
    "handover/pickled.py",
    "net/config.py",
    "journal/records.py",
    "net/registry.py",
    "net/rules.py",
    "bodies/plan.py",
)


@functools.cache
def version() -> bytes:
    """Return a checksum of the sources that define the state, computed from the files at the first call.

    It is the interpreter's own checksum of sources: hashlib would load a cryptographic library of 3.5 MB.
    """
    root = Path(__file__).parents[1]
    return source_hash(b"".join(source_hash((root / name).read_bytes()) for name in SOURCES))
