"""What two processes must have in common to hand a state over."""

from __future__ import annotations

import functools
from pathlib import Path

SOURCES = (
    "control.py",
    "concurrency_limit.py",
    "pacing.py",
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
    """Return a checksum of the sources that define the state, computed from the files at the first call."""
    from xxhash import xxh3_128  # hashlib would load a cryptographic library of 3.5 MB

    root, digest = Path(__file__).parents[1], xxh3_128()
    for name in SOURCES:
        digest.update((root / name).read_bytes())
    return digest.digest()
