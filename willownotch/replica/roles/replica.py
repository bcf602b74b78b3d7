"""As a replica, applies the records of owners and answers new ones with what it holds."""

from __future__ import annotations

from datetime import datetime

from willownotch.replica import copies, wire
from willownotch.replica.actions import Report, StoreCopy
from willownotch.replica.books import Stage
from willownotch.replica.copies import Copy
from willownotch.replica.roles.state import CoreState
from willownotch.replica.wire import LOG_START, BookConfig


class ReplicaRole(CoreState):
    """Handles the frames of owners of books that this member has copies of."""

    def _copy_for_owner(self, book: str, term: int, source: str) -> Copy | None:
        """Returns the copy that an owner's frame is for. Returns None if there is no copy, or if the term has
        ended; the sender of the frame is then told."""
        copy = self.copies.get(book)
        known, owned = copy.term if copy else 0, self.owned.get(book)
        if owned is not None and owned.stage is not Stage.CLAIMING:
            known = max(known, owned.term)
        if term < known:
            self._send(source, wire.Superseded(self.name, book, known))
            return None
        if owned is not None:  # the sender of an owner's frame was granted the term by a majority
            if term >= owned.term:
                self._lose(owned, term, source)
            elif owned.stage is not Stage.CLAIMING:
                return None
        elif book in self._former_books and term > self._former_books[book][1]:
            self._lose_former_book(book, term, source)
        return self.copies.get(book)

    def _on_append(self, append: wire.Append) -> None:
        copy = self._copy_for_owner(append.book, append.term, append.source)
        if copy is None:
            if (
                append.book in self.copies
                or append.book in self.owned
                or self._full_until.get(append.book, 0.0) > self.now
            ):
                return
            if append.previous != LOG_START or append.config is None:
                self._send(append.source, wire.Behind(self.name, append.book, append.term, LOG_START, ()))
                return
            copy = self.copies[append.book] = Copy(append.book, append.config, append.term)
            self._emit(StoreCopy(append.book, copy))
        self._note_owner(copy, append.term, append.config, append.sender_time)
        held = copy.count_held(append)
        if held is None:
            if copy.position[0] != append.term or copy.position[1] < append.previous[1]:
                self._send_behind(copy, append.source)
            else:  # a late message; newer records are held
                self._send(append.source, wire.Acked(self.name, append.book, append.term, copy.position))
            return
        if sum(c.size for c in self.copies.values()) + sum(map(len, append.frames)) > self.max_copy_bytes:
            self._report_full(append.book)
            return
        fresh = append.frames[held:]
        copy.append(append, held)
        if fresh:
            self._emit(StoreCopy(append.book, copy, fresh, copy.position))
        self._send(append.source, wire.Acked(self.name, append.book, append.term, copy.position))

    def _note_owner(self, copy: Copy, term: int, config: BookConfig | None, owner_time: datetime) -> None:
        """Records a frame from the owner at a current term."""
        changed = term > copy.term or (config is not None and config != copy.config)
        if term > copy.term:
            copy.partial_fill, copy.clock_offset = None, None
        copy.term, copy.config = term, config or copy.config
        copy.observe_clock(self._wall, owner_time)
        copy.heard_at = self.now
        self._claim_times.pop(copy.book, None)
        if changed:
            self._emit(StoreCopy(copy.book, copy))

    def _report_full(self, book: str) -> None:
        if self._full_until.get(book, 0.0) <= self.now:
            self._emit(
                Report(f"copies use all of their {self.max_copy_bytes} bytes: {book} is not replicated here")
            )
        self._full_until[book] = self.now + 1.0

    def _send_behind(self, copy: Copy, source: str) -> None:
        self._send(
            source,
            wire.Behind(self.name, copy.book, copy.term, copy.position, copies.range_digests(copy.entries())),
        )

    def _on_fill(self, fill: wire.Fill) -> None:
        copy = self._copy_for_owner(fill.book, fill.term, fill.source)
        if copy is None:
            if fill.book in self.copies or fill.book in self.owned:
                return
            if self._full_until.get(fill.book, 0.0) > self.now:
                return
            copy = self.copies[fill.book] = Copy(fill.book, fill.config, fill.term, confirmed=False)
        size = sum(len(data) for _, data in fill.entries)
        if sum(c.size for c in self.copies.values()) + size > self.max_copy_bytes:
            self._report_full(fill.book)
            return
        self._note_owner(copy, fill.term, fill.config, fill.sender_time)
        if copy.add_fill_part(fill):
            self._emit(StoreCopy(fill.book, copy))
            self._send(fill.source, wire.Acked(self.name, fill.book, fill.term, copy.position))
        elif fill.reported_position != copy.position and fill.part + 1 == fill.parts:
            self._send_behind(copy, fill.source)

    def _on_fetch(self, fetch: wire.Fetch) -> None:
        copy = self._copy_for_owner(fetch.book, fetch.term, fetch.source)
        if (copy is None and fetch.book in self.copies) or fetch.book in self.owned:
            return
        index = self.id_indexes.get(fetch.book)
        refs = index.with_ms_left(self.now) if index else ()
        if copy is None:
            self._send(
                fetch.source,
                wire.Contents(
                    self.name, fetch.book, fetch.term, LOG_START, False, False, 0, 1, (), self._wall, refs
                ),
            )
            return
        if fetch.term > copy.term:  # nothing of a lower term is accepted from here on
            copy.term, copy.partial_fill = fetch.term, None
            self._emit(StoreCopy(copy.book, copy))
        copy.heard_at = self.now
        pieces = list(copies.split_parts(self._packed(copy)))
        for n, piece in enumerate(pieces):
            self._send(
                fetch.source,
                wire.Contents(
                    self.name,
                    copy.book,
                    fetch.term,
                    copy.position,
                    copy.confirmed,
                    True,
                    n,
                    len(pieces),
                    piece,
                    self._wall,
                    refs if n == 0 else (),
                    copy.owner_term,
                    copy.config.unheard,
                    copy.config.history,
                    copy.config.holds_all,
                ),
            )

    @staticmethod
    def _packed(copy: Copy) -> list[tuple[int, bytes]]:
        """Returns a copy's entries and ended ids, encoded, with times converted to this sender's clock."""
        return copy.packed(copy.clock_offset or copies.NO_TIME)

    def _on_close(self, close: wire.Close) -> None:
        copy = self.copies.get(close.book)
        if copy is not None and close.term >= copy.term:
            self._drop_copy(close.book)

    def _drop_copy(self, book: str) -> None:
        copy, index = self.copies.pop(book), self.id_indexes.get(book)
        self._emit(StoreCopy(book, None))
        if index is not None and copy.term > index.term:  # a later owner had these ids, and ends them
            for ref in (*copy.live, *copy.ended_refs):
                index.refs.pop(ref, None)
