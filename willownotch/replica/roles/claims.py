"""Claims of terms: sent to the witnesses, renewed, and withdrawn."""

from __future__ import annotations

import msgspec

from willownotch.replica import wire
from willownotch.replica.books import OwnedBook, Stage
from willownotch.replica.roles.state import CoreState
from willownotch.replica.wire import BookConfig

CLAIM_TURNS_A_LEASE = 4  # candidates for a book without an owner that claim it one after the other


class ClaimRole(CoreState):
    """Claims books at terms."""

    def _random_pause(self) -> float:
        return self.random.uniform(0.1, 0.5) * self._lease_s()

    def _claim(
        self, owned: OwnedBook, release: bool = False, closed: bool = False, unused: bool = False
    ) -> None:
        """Sends a round of claims to all witnesses; repeated for as long as the book is owned."""
        held = self.now < owned.lease_until
        owned.next_claim_at = self.now + (self._lease_s() / 3 if held else min(0.2, self._lease_s() / 3))
        config = owned.config
        if owned.stage is Stage.OWNED and owned.proposal_sent:
            config = msgspec.structs.replace(config, version=owned.next_version(), replicas=owned.proposed)
        elif owned.stage is not Stage.OWNED and not owned.accepts_messages:
            config = msgspec.structs.replace(config, version=0, replicas=())
        number = owned.begin_round(self.now, config.version)
        claim = wire.Claim(
            self.name,
            owned.book,
            owned.term,
            config,
            round(self._lease_s() * 1000),
            number,
            release,
            closed,
            unused,
        )
        for name in owned.config.witnesses:
            if name == self.name:
                self._on_claim(claim)
            else:
                self._send(name, claim)

    def _withdraw_claim(self, owned: OwnedBook, wait: float) -> None:
        """Gives up a claim: releases what witnesses granted, and tries again later."""
        self._claim(owned, release=True, unused=owned.stage is not Stage.OWNED)
        self._drop_owned(owned.book)
        self._claim_times[owned.book] = self.now + wait + self._random_pause()

    def _claim_in_turn(self, book: str, config: BookConfig, term: int, place: int) -> None:
        """Claims a book when it is this member's turn: `place` quarters of a lease after the first
        candidate."""
        owned = self.owned.get(book)
        if (
            owned is None
            and self._claim_times.setdefault(book, self.now + place * self._lease_s() / CLAIM_TURNS_A_LEASE)
            <= self.now
        ):
            self._claim_next_term(book, config, term)
        elif (
            owned is not None
            and owned.stage is Stage.CLAIMING
            and self.now - owned.created_at > 2 * self._lease_s()
        ):
            self._withdraw_claim(owned, 0.0)  # no majority granted it

    def _claim_next_term(self, book: str, config: BookConfig, term: int) -> None:
        """Claims a book at the term after the highest one known."""
        term = max(term, self._highest_terms.get(book, 0), self.register.term(book)) + 1
        self._highest_terms[book] = term
        self._claim_times[book] = self.now + self._lease_s() + self._random_pause()
        mine = msgspec.structs.replace(config, owner=self.name, uid=self.uid, holds_all=False)
        owned = self.owned[book] = OwnedBook(
            book,
            term,
            mine,
            created_at=self.now,
            accepts_messages=False,
            former_owner=(config.owner, config.uid),
        )
        self._claim(owned)
