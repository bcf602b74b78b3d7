"""As an owner, chooses the replicas of each book, and the book for new messages."""

from __future__ import annotations

import msgspec

from willownotch.replica import wire
from willownotch.replica.actions import StoreBook
from willownotch.replica.books import MIN_RESEND_S, OwnedBook, Stage
from willownotch.replica.placement import ranked, witness_count, witnesses
from willownotch.replica.roles.state import CoreState
from willownotch.replica.wire import BookConfig


class ReplicaSetRole(CoreState):
    """Follows the membership with the replica sets of owned books."""

    def _eligible(self) -> list[str]:
        return [name for name in self.peers if name not in self._avoided_until]

    def _update_placement(self) -> None:
        """Chooses the replicas of each book after members joined, left or changed their state.

        A change waits for half a lease unless a current replica is gone.
        """
        names = self._eligible()
        for owned in self.owned.values():
            wanted = tuple(ranked(owned.book, names)[: self.settings.copies])
            known = self._desired_replicas.get(owned.book)
            if wanted and (known is None or known[0] != wanted):
                gone = any(name not in names for name in owned.config.replicas)
                self._desired_replicas[owned.book] = wanted, self.now + (0.0 if gone else self._lease_s() / 2)

    def _change_replicas(self, owned: OwnedBook) -> None:
        wanted, at = self._desired_replicas.get(owned.book, (owned.config.replicas, 0.0))
        if (
            wanted
            and at <= self.now
            and not owned.proposal_sent
            and set(wanted) != set(owned.proposed or owned.config.replicas)
        ):
            owned.propose(wanted if set(wanted) != set(owned.config.replicas) else None)
            for name in owned.proposed or ():
                self._probe(owned, name)
        if (
            owned.proposal_sent or owned.proposal_ready()
        ) and self.now - owned.proposal_sent_at >= MIN_RESEND_S:
            owned.proposal_sent_at, owned.proposal_sent = self.now, True
            self._claim(owned)

    def _commit_replicas(self, owned: OwnedBook, version: int) -> None:
        """Switches to the new replica set, which a majority of witnesses has recorded."""
        old = owned.config.replicas
        owned.config = msgspec.structs.replace(owned.config, version=version, replicas=owned.proposed)
        owned.propose(None)
        for name in old:
            if name not in owned.config.replicas and name != self.name:
                owned.followers.pop(name, None)
                if name in owned.config.unheard:
                    continue  # it may hold what this owner lacks
                self._send(name, wire.Close(self.name, owned.book, owned.term))
        self._emit(StoreBook(owned.book, owned.config, owned.term))
        for name in owned.config.replicas:
            self._probe(owned, name)

    def _choose_current_book(self) -> None:
        """Keeps a book for new messages whose witnesses are all present, as many as the membership allows."""
        names = self._eligible()
        if not names:
            return
        current = self.owned.get(self.current or "")
        pending = next((o for o in self.owned.values() if o.accepts_messages and o is not current), None)
        if (
            pending is not None
            and pending.stage is Stage.OWNED
            and not self._less_replicated(pending, current)
        ):
            if current is not None:
                current.accepts_messages = False
            self.current, current, pending = pending.book, pending, None
        if pending is not None:
            if self.now - pending.created_at < 2 * self._lease_s():
                return
            if pending.stage is Stage.OWNED:
                pending.accepts_messages = (
                    False  # its replicas do not answer; it is closed, since it is empty
                )
            else:
                self._drop_owned(pending.book)  # no majority granted its claims
        if current is not None:
            present = sum(name in names or name == self.name for name in current.config.witnesses)
            possible = witness_count(len(names) + 1, self.settings.witnesses)
            healthy = present == len(current.config.witnesses) >= possible and not current.contested
            if healthy or self.now - current.created_at < self._lease_s():
                return
        self._open_book(names)

    def _less_replicated(self, pending: OwnedBook, current: OwnedBook | None) -> bool:
        """Whether the pending book cannot have as many copies yet as the current one."""
        return current is not None and any(
            current.can_replicate(self.now, wanted, self._lease_s())
            and not pending.can_replicate(self.now, wanted, self._lease_s())
            for wanted in self.settings.ack_levels()
        )

    def _open_book(self, names: list[str]) -> None:
        self._book_count += 1
        book = f"{self.name}/{self.uid:012x}.{self._book_count}"
        config = BookConfig(
            self.name,
            self.uid,
            1,
            tuple(ranked(book, names)[: self.settings.copies]),
            witnesses(book, self.name, names, self.settings.witnesses),
            holds_all=True,
        )
        owned = self.owned[book] = OwnedBook(book, 1, config, created_at=self.now)
        self._claim(owned)
