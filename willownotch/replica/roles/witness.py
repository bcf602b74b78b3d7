"""As a witness, grants terms; as an id holder, keeps the outstanding ids of a book."""

from __future__ import annotations

import msgspec

from willownotch.replica import wire
from willownotch.replica.actions import StoreTerm
from willownotch.replica.ids import IdIndex
from willownotch.replica.roles.state import CoreState


class WitnessRole(CoreState):
    """Handles claims of terms, and ids that owners send."""

    def _on_claim(self, claim: wire.Claim) -> None:
        answer, keep = self.register.claim(self.now, claim)
        if keep is not None:
            self._emit(StoreTerm(keep))
        answer = msgspec.structs.replace(answer, source=self.name)
        if isinstance(answer, wire.Granted) and claim.source != self.name and claim.book in self.id_indexes:
            index = self.id_indexes[claim.book]
            index.heard_at = self.now
            if claim.closed:
                del self.id_indexes[claim.book]
            elif claim.config.version > index.config.version:  # its replicas have changed
                index.config = claim.config
        self._send(claim.source, answer)

    def _on_refs(self, refs: wire.Refs) -> None:
        index = self.id_indexes.get(refs.book)
        if index is not None and refs.term < index.term or refs.book in self.owned:
            return
        if refs.after_step < 0 and refs.config is None:
            self.id_indexes.pop(refs.book, None)
            return
        if index is None or index.term < refs.term:
            if refs.config is None:
                return self._send(refs.source, wire.RefsAcked(self.name, refs.book, refs.term, -1, True))
            index = self.id_indexes[refs.book] = IdIndex(refs.config, refs.term, self.now, {})
        missed = index.apply_step(self.now, refs.after_step, refs.step, refs.outstanding, refs.ended_refs)
        self._send(refs.source, wire.RefsAcked(self.name, refs.book, refs.term, index.known_step, missed))
