"""One disk limit shared by the journal and the body store. Only accounting: no file is accessed here.

The journal must always have room to be rewritten: its current file and a second one with its live records
have to fit at the same time. So at any moment

    journal file + journal's live records + body files (dead bodies included) + claimed body bytes <= room

The bodies' part ends where the journal's configured share begins, so that neither can starve the other.
"""

from __future__ import annotations

import threading

BLOCK = 512  # bytes: the unit in which the platform accounts for files
SPARE_SHARE = 0.1  # of the room, kept free of live records: without it the journal is rewritten constantly
JOURNAL_SHARE = 0.25  # of the room, which bodies never use


def round_to_blocks(size: int) -> int:
    """Return a file's size in bytes as the limit counts it: rounded up to whole blocks."""
    return -(-size // BLOCK) * BLOCK


class Space:
    """Accounts for the disk use of journal and bodies. All figures are bytes; thread-safe."""

    def __init__(self, disk_bytes: int, journal_share: float = JOURNAL_SHARE) -> None:
        self.room = disk_bytes // BLOCK * BLOCK - 2 * BLOCK  # both journal files may end inside a block
        self.journal_share = journal_share
        self._lock = threading.Lock()
        self._journal = self._live = self._bodies = self._claimed = 0

    @property
    def bodies(self) -> int:
        """Bytes of body files, dead bodies included, plus bytes claimed for bodies not written yet."""
        with self._lock:
            return self._bodies + self._claimed

    @property
    def max_bodies_bytes(self) -> int:
        """Upper bound for all bodies together, whatever the journal uses."""
        return int((1 - self.journal_share) * self.room)

    def set_journal_size(self, size: int, live: int) -> None:
        """Record the journal file's size and its live records, with the space reserved for more."""
        with self._lock:
            self._journal, self._live = size, live

    def max_journal_size(self, live: int) -> int:
        """Return how large the journal's file may grow so that a rewritten one of `live` bytes still fits."""
        return self.room - self.bodies - live

    def records_fit(self, live: int) -> bool:
        """Return whether the journal may have `live` bytes of live records."""
        return 2 * live + self.bodies <= (1 - SPARE_SHARE) * self.room

    def claim(self, size: int, reserve: int = 0) -> bool:
        """Claim bytes for a body's file while `reserve` bytes of the bodies' part stay free.

        Returns False if there is no room. Every claim that succeeds must be followed by `settle`.
        """
        with self._lock:
            bodies = self._bodies + self._claimed + size
            fits = (
                bodies + reserve <= int((1 - self.journal_share) * self.room)
                and bodies + self._journal + self._live <= self.room
                and bodies + 2 * self._live <= (1 - SPARE_SHARE) * self.room
            )
            if fits:
                self._claimed += size
            return fits

    def settle(self, claimed: int, grown: int) -> None:
        """End a claim of `claimed` bytes after the body files have grown by `grown` bytes."""
        with self._lock:
            self._claimed -= claimed
            self._bodies += grown

    def freed(self, size: int) -> None:
        """Record that a body file of `size` bytes was removed, or one was cut by that much."""
        with self._lock:
            self._bodies -= size

    def blocked_by_journal(self, size: int) -> bool:
        """Return whether a claim of `size` bytes would fit once the journal is rewritten."""
        with self._lock:
            bodies = self._bodies + self._claimed + size
            return bodies + self._journal + self._live > self.room >= bodies + 2 * self._live
