"""Fetches parts from a member in pieces, within a window and a rate, and repeats lost requests. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice

from willownotch.controlplane.token_bucket import ROUNDING_SLACK
from willownotch.controlplane.wire import MAX_PIECES_PER_FETCH, Fetch, Part, PartKind, Piece

WINDOW_PIECES = 32  # requested and not received yet, at most
MIN_BATCH_PIECES = 8  # smallest room in the window and the rate for further requests
MAX_PIECES_PER_PART = 16_384  # 18 MB
PIECE_WIRE_BYTES = 1250  # about what a piece takes with its headers; for the rate


@dataclass(slots=True)
class WantedPart:
    """A part that is being fetched, its pieces so far, and when the missing ones were requested."""

    part: Part
    pieces: int | None = None  # in all; None until it is known
    received: dict[int, bytes] = field(default_factory=dict)
    requested_at: dict[int, float] = field(default_factory=dict)
    next: int = 0  # every piece before it is received or requested


class PartFetcher:
    """Fetches parts from one member, oldest first.

    `rate` is in bytes per second; a piece that did not come within `retry_s` seconds is requested again.
    """

    def __init__(self, source: str, member: str, rate: int, retry_s: float, now: float, number: int) -> None:
        self.source, self.member, self.rate, self.retry_s = source, member, rate, retry_s
        self.wanted: dict[int, WantedPart] = {}
        self.last_number = number  # of the last part that was added
        self.progress_at = now
        self.wait_until = now  # by the member's answer
        self._allowance_bytes, self._allowance_at = float(WINDOW_PIECES * PIECE_WIRE_BYTES), now

    def add_part(self, part: Part, pieces: int | None = None) -> None:
        """Fetch another part; `pieces` is its number of pieces, where that is known."""
        self.last_number += 1
        self.wanted[self.last_number] = WantedPart(part, pieces)

    def pause(self, now: float, duration_s: float) -> None:
        """Send no requests for `duration_s` seconds; then all missing pieces are requested again."""
        self.wait_until = now + duration_s
        for wanted in self.wanted.values():
            wanted.requested_at.clear()
            wanted.next = 0

    def on_piece(self, now: float, piece: Piece) -> tuple[Part, bytes] | None:
        """Handle a piece; returns the part if it is complete now. Pieces of other parts are ignored."""
        wanted = self.wanted.get(piece.number)
        if (
            wanted is None
            or not 0 <= piece.piece < piece.pieces <= MAX_PIECES_PER_PART
            or piece.piece in wanted.received
        ):
            return None
        if wanted.pieces is not None and wanted.pieces != piece.pieces:
            return None
        wanted.pieces = piece.pieces
        wanted.received[piece.piece] = piece.data
        for number in [n for n in wanted.requested_at if n == piece.piece or n >= piece.pieces]:
            del wanted.requested_at[number]
        self.progress_at = now
        if len(wanted.received) < piece.pieces:
            return None
        del self.wanted[piece.number]
        return wanted.part, b"".join(wanted.received[n] for n in range(piece.pieces))

    def next_requests(self, now: float) -> list[Fetch]:
        """The requests to send now."""
        self._allowance_bytes = min(
            float(WINDOW_PIECES * PIECE_WIRE_BYTES),
            self._allowance_bytes + (now - self._allowance_at) * self.rate,
        )
        self._allowance_at = now
        if now < self.wait_until:
            return []
        room = WINDOW_PIECES
        for wanted in self.wanted.values():
            for piece in [n for n, at in wanted.requested_at.items() if now - at >= self.retry_s - 1e-9]:
                del wanted.requested_at[piece]
                wanted.next = min(wanted.next, piece)
            room -= len(wanted.requested_at)
        requests = []
        room = min(room, int(self._allowance_bytes / PIECE_WIRE_BYTES + ROUNDING_SLACK))
        if room < MIN_BATCH_PIECES:
            return []
        for number, wanted in self.wanted.items():
            while chosen := self._missing_pieces(wanted, min(room, MAX_PIECES_PER_FETCH)):
                wanted.requested_at |= dict.fromkeys(chosen, now)
                room -= len(chosen)
                self._allowance_bytes -= len(chosen) * PIECE_WIRE_BYTES
                requests.append(Fetch(self.source, self.member, number, wanted.part, tuple(chosen)))
            if room <= 0:
                break
        return requests

    @staticmethod
    def _missing_pieces(wanted: WantedPart, limit: int) -> list[int]:
        """At most `limit` pieces not received or requested yet; of a part of unknown size, the first few."""
        first_pieces = 1 if wanted.part.kind is PartKind.GROUPS else 4
        pieces = first_pieces if wanted.pieces is None else wanted.pieces
        if limit <= 0:
            return []
        while wanted.next < pieces and (wanted.next in wanted.received or wanted.next in wanted.requested_at):
            wanted.next += 1
        missing = (
            n for n in range(wanted.next, pieces) if n not in wanted.received and n not in wanted.requested_at
        )
        return list(islice(missing, limit))

    def due(self) -> float | None:
        """When the next request may be sent, first or repeated; None if nothing is wanted."""
        if not self.wanted:
            return None
        pending_since = [since for wanted in self.wanted.values() for since in wanted.requested_at.values()]
        due_at = min(pending_since, default=self._allowance_at) + self.retry_s
        if len(pending_since) <= WINDOW_PIECES - MIN_BATCH_PIECES and any(
            self._missing_pieces(wanted, 1) for wanted in self.wanted.values()
        ):
            due_at = min(
                due_at,
                self._allowance_at
                + max(0.0, MIN_BATCH_PIECES * PIECE_WIRE_BYTES - self._allowance_bytes) / self.rate,
            )
        return max(due_at, self.wait_until)
