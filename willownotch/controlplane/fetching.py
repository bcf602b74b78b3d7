"""Parts in pieces: what a follower asks its member for, within a window and a rate, again where it was lost.
No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice

from willownotch.controlplane.token_bucket import ROUNDING_SLACK
from willownotch.controlplane.wire import MAX_PIECES_PER_FETCH, Fetch, Part, PartKind, Piece

WINDOW = 32  # pieces that are asked for and not there yet
BATCH = 8  # pieces that there is room for, before more are asked for
PIECES_MOST = 16_384  # of one part: 18 MB
WHOLE_PIECE = 1250  # bytes on the wire of a piece, near enough for the rate


@dataclass(slots=True)
class Wanted:
    """A part, the pieces that came, and when those that did not were asked for."""

    part: Part
    pieces: int | None = None  # in all, once one came
    came: dict[int, bytes] = field(default_factory=dict)
    asked: dict[int, float] = field(default_factory=dict)
    next: int = 0


class Fetching:
    """The parts wanted of one member, oldest first. `rate`: bytes a second; `again`: s until a piece is asked
    for once more."""

    def __init__(self, source: str, member: str, rate: int, again: float, now: float, number: int) -> None:
        self.source, self.member, self.rate, self.again = source, member, rate, again
        self.wanted: dict[int, Wanted] = {}
        self.number = number  # the last that was given
        self.progress_at = now
        self.wait_until = now  # the member said so
        self._left, self._at = float(WINDOW * WHOLE_PIECE), now

    def want(self, part: Part, pieces: int | None = None) -> None:
        """Ask for a part too; how many pieces it has, where that is known."""
        self.number += 1
        self.wanted[self.number] = Wanted(part, pieces)

    def busy(self, now: float, after: float) -> None:
        """The member wants to be left alone for so long; what was asked for is asked for again then."""
        self.wait_until = now + after
        for wanted in self.wanted.values():
            wanted.asked.clear()
            wanted.next = 0

    def take(self, now: float, piece: Piece) -> tuple[Part, bytes] | None:
        """A piece came: the part, if it is whole now. What nobody asked for changes nothing."""
        wanted = self.wanted.get(piece.number)
        if wanted is None or not 0 <= piece.piece < piece.pieces <= PIECES_MOST or piece.piece in wanted.came:
            return None
        if wanted.pieces is not None and wanted.pieces != piece.pieces:
            return None
        wanted.pieces = piece.pieces
        wanted.came[piece.piece] = piece.data
        for number in [n for n in wanted.asked if n == piece.piece or n >= piece.pieces]:
            del wanted.asked[number]
        self.progress_at = now
        if len(wanted.came) < piece.pieces:
            return None
        del self.wanted[piece.number]
        return wanted.part, b"".join(wanted.came[n] for n in range(piece.pieces))

    def asks(self, now: float) -> list[Fetch]:
        """What to ask for now."""
        self._left = min(float(WINDOW * WHOLE_PIECE), self._left + (now - self._at) * self.rate)
        self._at = now
        if now < self.wait_until:
            return []
        room = WINDOW
        for wanted in self.wanted.values():
            for piece in [n for n, at in wanted.asked.items() if now - at >= self.again - 1e-9]:
                del wanted.asked[piece]
                wanted.next = min(wanted.next, piece)
            room -= len(wanted.asked)
        found = []
        room = min(room, int(self._left / WHOLE_PIECE + ROUNDING_SLACK))
        if room < BATCH:
            return []
        for number, wanted in self.wanted.items():
            while chosen := self._choose(wanted, min(room, MAX_PIECES_PER_FETCH)):
                wanted.asked |= dict.fromkeys(chosen, now)
                room -= len(chosen)
                self._left -= len(chosen) * WHOLE_PIECE
                found.append(Fetch(self.source, self.member, number, wanted.part, tuple(chosen)))
            if room <= 0:
                break
        return found

    @staticmethod
    def _choose(wanted: Wanted, most: int) -> list[int]:
        """Pieces that are neither there nor on their way; of a part of unknown size, the first."""
        first = 1 if wanted.part.kind is PartKind.GROUPS else 4
        pieces = first if wanted.pieces is None else wanted.pieces
        if most <= 0:
            return []
        while wanted.next < pieces and (wanted.next in wanted.came or wanted.next in wanted.asked):
            wanted.next += 1
        left = (n for n in range(wanted.next, pieces) if n not in wanted.came and n not in wanted.asked)
        return list(islice(left, most))

    def due(self) -> float | None:
        """When something may be asked for, or again."""
        if not self.wanted:
            return None
        asked = [at for wanted in self.wanted.values() for at in wanted.asked.values()]
        again = min(asked, default=self._at) + self.again
        if len(asked) <= WINDOW - BATCH and any(self._choose(wanted, 1) for wanted in self.wanted.values()):
            again = min(again, self._at + max(0.0, BATCH * WHOLE_PIECE - self._left) / self.rate)
        return max(again, self.wait_until)
