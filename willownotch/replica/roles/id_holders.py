"""As an owner, keeps id holders up to date: members without a copy that know the outstanding ids."""

from __future__ import annotations

from collections.abc import Iterable

from willownotch.replica import wire
from willownotch.replica.books import OwnedBook, Stage
from willownotch.replica.ids import IdLog
from willownotch.replica.placement import ranked
from willownotch.replica.roles.state import CoreState

ID_HOLDER_COUNT = 2  # members without a copy that know a book's ids


class IdHolderRole(CoreState):
    """Chooses id holders of owned books and sends them changes."""

    def _choose_id_holders(self, owned: OwnedBook) -> list[str]:
        """Chooses members without a copy, preferably witnesses, that report the messages' ends if all copies
        are lost."""
        names = owned.replica_names()
        preferred = [
            n
            for n in owned.config.witnesses
            if n in self.peers and n not in self._avoided_until and n not in names
        ]
        return ranked(owned.book, preferred or [n for n in self._eligible() if n not in names], "ids")[
            :ID_HOLDER_COUNT
        ]

    def _maintain_id_holders(self, owned: OwnedBook) -> None:
        """Updates the id holders of a book and sends them changes."""
        if owned.stage is Stage.OWNED:
            ids = self._id_logs.setdefault(owned.book, IdLog())
            self._dismiss_id_holders(owned, ids.set_holders(self._choose_id_holders(owned)))
            ids.flush()
            self._send_id_changes(owned, ids)

    def _dismiss_id_holders(self, owned: OwnedBook, names: Iterable[str]) -> None:
        for name in names:
            self._send(name, wire.Refs(self.name, owned.book, owned.term, -1, 0, (), ()))

    def _send_id_changes(self, owned: OwnedBook, ids: IdLog) -> None:
        for name in ids.holders:
            if not ids.is_due(self.now, name):
                continue
            found, config = ids.next_changes(self.now, name), None
            if found is None:
                after, outstanding, ended, config = -1, owned.open, (), owned.config
            else:
                after, (outstanding, ended) = found
            with_ms_left = tuple(
                (ref, max(0, round((at - self._wall).total_seconds() * 1000)))
                for ref, at in outstanding.items()
            )
            self._send(
                name,
                wire.Refs(self.name, owned.book, owned.term, after, ids.step, with_ms_left, ended, config),
            )

    def _on_refsacked(self, ack: wire.RefsAcked) -> None:
        owned, ids = self.owned.get(ack.book), self._id_logs.get(ack.book)
        if owned is None or ids is None or ack.term != owned.term or owned.stage is not Stage.OWNED:
            return
        ids.on_ack(self.now, ack.source, ack.step, ack.missed)
        self._send_id_changes(owned, ids)
