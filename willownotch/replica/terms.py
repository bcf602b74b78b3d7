"""A witness's register: who owns which book, at which term, until when. No I/O, no clock.

Terms are granted by the same rule as leases; what comes with one here is the set of replicas. What it
answers must be in the folder first: a grant that is forgotten could be given twice. Leases are not kept:
after a restart each may still run for its whole span.
"""

from __future__ import annotations

import msgspec

from willownotch.lease.register import GrantRequest, GrantTable
from willownotch.replica.wire import BookConfig, Claim, Granted, Refused

BOOKS_MOST = 8192  # kept at the most; of those that are over, the oldest go first
KEEP_S = 3600.0  # s that a book is kept after its last lease
NOBODY = BookConfig("", 0, 0, (), ())


class Term(msgspec.Struct, frozen=True, array_like=True):
    """What the register keeps of a book."""

    book: str
    term: int
    config: BookConfig
    closed: bool = False


class Register:
    """The books that this member is a witness of. `began` is the start of this process."""

    def __init__(self, began: float, span: float) -> None:
        self.grants = GrantTable(began, span)
        self.held: dict[str, Term] = {}

    def __len__(self) -> int:
        return len(self.held)

    def restore(self, held: Term) -> None:
        """What the folder has. Its lease may have been granted a moment before the end."""
        self.held[held.book] = held
        self.grants.restore(held.book, held.term, held.config.owner, held.config.life, held.closed)

    def claim(self, now: float, claim: Claim) -> tuple[Granted | Refused, Term | None]:
        """The answer to a claim, and what must be in the folder before it is given."""
        config = claim.config
        held = self.held.get(claim.book) or Term(claim.book, 0, NOBODY)
        wanted = GrantRequest(
            claim.term, config.owner, config.life, claim.span_ms / 1000, claim.release, claim.closed
        )
        # Its first owner may have it at once: nobody else knows of it.
        if self.grants.ask(now, claim.book, wanted, new=claim.term == 1) is None:
            left = round(self.grants.left(now, claim.book) * 1000)
            refused = Refused(
                "",
                claim.book,
                claim.number,
                held.term,
                held.config.owner,
                held.config.life,
                left,
                held.closed,
            )
            return refused, None
        if config.version < held.config.version:  # the set that is on record stays
            config = msgspec.structs.replace(
                config, version=held.config.version, replicas=held.config.replicas
            )
        fresh = self.held[claim.book] = Term(claim.book, claim.term, config, claim.closed)
        self._trim(now)
        granted = Granted("", claim.book, claim.term, claim.number, config.version, config.replicas)
        return granted, fresh if fresh != held else None

    def over(self, now: float) -> list[str]:
        """Books that nobody will ask for again, the oldest first."""
        ends = sorted((self.grants.grants[book].until, book) for book in self.held)
        return [book for until, book in ends if now - until > KEEP_S]

    def forget(self, books: list[str]) -> None:
        """Drop these."""
        for book in books:
            self.held.pop(book, None)
            self.grants.forget(book)

    def _trim(self, now: float) -> None:
        if len(self.held) > BOOKS_MOST:
            closed = [book for book, term in self.held.items() if term.closed]
            self.forget((closed + self.over(now))[: len(self.held) - BOOKS_MOST])

    def term(self, book: str) -> int:
        """The highest term granted here."""
        return self.grants.token(book)
