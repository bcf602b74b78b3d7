"""A witness's register of books: owner, term and lease of each. Performs no I/O and reads no clock.

Terms are granted by the rule for leases, together with a replica set. A grant must be stored before it is
answered, since a forgotten one could be given twice. Lease ends are not stored: after a restart each lease is
assumed to run for its whole duration.
"""

from __future__ import annotations

import msgspec

from willownotch.lease.register import GrantRequest, GrantTable
from willownotch.replica.wire import UNKNOWN_TERM, BookConfig, Claim, Granted, Refused

MAX_BOOKS = 8192  # above this, closed books are dropped, then finished ones, oldest first
KEEP_FINISHED_S = 3600.0  # after the end of a book's last lease
NO_OWNER = BookConfig("", 0, 0, (), ())


class Term(msgspec.Struct, frozen=True, array_like=True):
    """What the register stores for a book."""

    book: str
    term: int
    config: BookConfig
    closed: bool = False
    previous_term: int = UNKNOWN_TERM  # highest term granted before to another process
    previous_member_term: int = UNKNOWN_TERM  # highest term granted before to another member
    unused: bool = False  # its owner gave the term up without having acted


class TermRegister:
    """The books that this member is a witness of. `began` is the start time of this process."""

    def __init__(self, began: float, span: float) -> None:
        self.grants = GrantTable(began, span)
        self.terms: dict[str, Term] = {}

    def __len__(self) -> int:
        return len(self.terms)

    def restore(self, held: Term) -> None:
        """Restores a stored term. Its lease may have been granted just before the process ended."""
        self.terms[held.book] = held
        self.grants.restore(held.book, held.term, held.config.owner, held.config.uid, held.closed)

    def claim(self, now: float, claim: Claim) -> tuple[Granted | Refused, Term | None]:
        """Returns the reply to a claim, and the term to store before the reply is sent (None: nothing
        changed)."""
        config = claim.config
        held = self.terms.get(claim.book) or Term(claim.book, 0, NO_OWNER, False, 0, 0)
        wanted = GrantRequest(
            claim.term, config.owner, config.uid, claim.lease_ms / 1000, claim.release, claim.closed
        )
        # Term 1 needs no wait after a restart: only the book's first owner can claim it.
        if self.grants.ask(now, claim.book, wanted, new=claim.term == 1) is None:
            left = round(self.grants.left(now, claim.book) * 1000)
            refused = Refused(
                "",
                claim.book,
                claim.round_number,
                held.term,
                held.config.owner,
                held.config.uid,
                left,
                held.closed,
                held.config.holds_all,
            )
            return refused, None
        if config.version < held.config.version:  # keep the replica set on record
            config = msgspec.structs.replace(
                config, version=held.config.version, replicas=held.config.replicas
            )
        same_process = (held.config.owner, held.config.uid) == (config.owner, config.uid)
        last_used = held.previous_term if held.unused else held.term
        previous = held.previous_term if same_process else last_used
        previous_member = held.previous_member_term if held.config.owner == config.owner else last_used
        granted_term = self.terms[claim.book] = Term(
            claim.book, claim.term, config, claim.closed, previous, previous_member, claim.unused
        )
        self._trim(now)
        granted = Granted(
            "",
            claim.book,
            claim.term,
            claim.round_number,
            config.version,
            config.replicas,
            previous,
            previous_member,
        )
        return granted, granted_term if granted_term != held else None

    def finished_books(self, now: float) -> list[str]:
        """Returns the books whose last lease ended long ago, oldest first; no member will claim them
        again."""
        ends = sorted((self.grants.grants[book].until, book) for book in self.terms)
        return [book for until, book in ends if now - until > KEEP_FINISHED_S]

    def forget(self, books: list[str]) -> None:
        """Drops these books."""
        for book in books:
            self.terms.pop(book, None)
            self.grants.forget(book)

    def _trim(self, now: float) -> None:
        if len(self.terms) > MAX_BOOKS:
            closed = [book for book, term in self.terms.items() if term.closed]
            self.forget((closed + self.finished_books(now))[: len(self.terms) - MAX_BOOKS])

    def term(self, book: str) -> int:
        """Returns the highest term granted here for a book."""
        return self.grants.token(book)
