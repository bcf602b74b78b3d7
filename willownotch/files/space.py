"""One limit on a folder, shared by the journal and the body store. Counts only: no file is touched here.

The journal must always be able to stand twice: what it holds now, and beside it what it is written anew from.
So at any moment

    journal file + journal's live records + bodies on the disk (dead ones too) + bodies about to be written <=
    room

and the bodies' part ends where the journal's stated part begins, so that neither starves the other.
"""

from __future__ import annotations

import threading

BLOCK = 512  # bytes: the unit in which the platform counts every file
SPARE_SHARE = 0.1  # of the room, left free of live records: else the journal is rewritten constantly
JOURNAL_SHARE = 0.25  # of the room that bodies never take


def round_to_blocks(size: int) -> int:
    """A file's size as the limit counts it."""
    return -(-size // BLOCK) * BLOCK


class Space:
    """The ledger. All figures are bytes; any thread may call."""

    def __init__(self, disk_bytes: int, journal_share: float = JOURNAL_SHARE) -> None:
        self.room = disk_bytes // BLOCK * BLOCK - 2 * BLOCK  # both journal files may end inside a block
        self.journal_share = journal_share
        self._lock = threading.Lock()
        self._journal = self._live = self._bodies = self._claimed = 0

    @property
    def bodies(self) -> int:
        """On the disk for bodies or about to be, dead ones among them."""
        with self._lock:
            return self._bodies + self._claimed

    @property
    def bodies_most(self) -> int:
        """What bodies may take together, whatever the journal holds."""
        return int((1 - self.journal_share) * self.room)

    def set_journal_size(self, size: int, live: int) -> None:
        """The journal's file, and its live records with all that may follow."""
        with self._lock:
            self._journal, self._live = size, live

    def max_journal_size(self, live: int) -> int:
        """How large the journal's file may grow, so that one of the live records still fits beside it."""
        return self.room - self.bodies - live

    def records_fit(self, live: int) -> bool:
        """Whether so many bytes of live records may be owed."""
        return 2 * live + self.bodies <= (1 - SPARE_SHARE) * self.room

    def claim(self, size: int, reserve: int = 0) -> bool:
        """Set bytes aside for a body's file, and leave `reserve` of the bodies' part free; False if it cannot
        be.

        Follow it by `settle`, in any case.
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
        """A claim is over: by so much have the files of bodies grown."""
        with self._lock:
            self._claimed -= claimed
            self._bodies += grown

    def freed(self, size: int) -> None:
        """A file of bodies is gone, or cut off by so much."""
        with self._lock:
            self._bodies -= size

    def blocked_by_journal(self, size: int) -> bool:
        """Whether a claim of so much fails only because the journal has not been written anew."""
        with self._lock:
            bodies = self._bodies + self._claimed + size
            return bodies + self._journal + self._live > self.room >= bodies + 2 * self._live
