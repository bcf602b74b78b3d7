"""The process's memory: what is resident, and the C library's allocator.

The allocator is tuned for many threads with small stacks and bodies of up to 64 KiB. By default each thread
that allocates gets an arena of its own, and each arena keeps what was freed: with 26 threads and bodies of
64 KiB this held 5 MB more than was in use. One arena is enough, since Python's own lock lets one thread
allocate at a time. Blocks as large as a body are better returned to the system at once.
"""

from __future__ import annotations

import resource
from pathlib import Path

M_ARENA_MAX, M_MMAP_THRESHOLD = -8, -3  # of glibc's malloc.h
MMAP_THRESHOLD_BYTES = 32 * 1024
STATM = Path("/proc/self/statm")
BYTES_PER_MB = 1_000_000


def resident_mb() -> float:
    """The resident memory of this process, in MB; 0 if the system does not tell."""
    try:
        pages = int(STATM.read_text(encoding="ascii").split()[1])
    except (OSError, ValueError, IndexError):
        return 0.0
    return pages * resource.getpagesize() / BYTES_PER_MB


def configure_malloc() -> bool:
    """Set it for this process, before any thread starts; False if the C library has no `mallopt`."""
    import ctypes

    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(mallopt(M_ARENA_MAX, 1)) and bool(mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))
