"""As an owner, sends records to replicas, fills those that are behind, and closes books."""

from __future__ import annotations

import msgspec

from willownotch.replica import copies, wire
from willownotch.replica.actions import StoreBook
from willownotch.replica.books import INCOMPLETE_BOOK_KEEP_S, Follower, OwnedBook, Stage, resend_delay_s
from willownotch.replica.ids import IdLog
from willownotch.replica.roles.state import CoreState
from willownotch.replica.wire import LOG_START

AVOID_LEASES = 2  # leases that a silent member is not chosen for; doubles
MAX_AVOID_S = 30.0  # that a silent member is not chosen for at most
FILL_RETRY_S = 1.0  # from the last part to the restart of an unacknowledged fill
MAX_CLOSED_BOOKS = 256  # closed books remembered for replicas that missed the closing


class ReplicationRole(CoreState):
    """Replicates the books that this member owns."""

    def _on_acked(self, acked: wire.Acked) -> None:
        owned = self.owned.get(acked.book)
        follower = owned.followers.get(acked.source) if owned is not None else None
        if follower is None or acked.term != owned.term:
            return
        if acked.position != owned.position(acked.position[1]) or (
            acked.position[1] > max(owned.last, follower.fill_target)
        ):
            return  # another log; the replica will report its position
        follower.heard_at, follower.tries = self.now, 0
        self._silence_counts.pop(follower.name, None)
        if self._avoided_until.pop(follower.name, None) is not None:
            self._update_placement()
        follower.acked = max(follower.acked or 0, acked.position[1])
        if follower.pending_fill and follower.acked >= follower.fill_target:
            follower.pending_fill.clear()
        follower.sent = max(follower.sent, follower.acked)
        owned.trim()
        self._send_records(owned, acked.source)

    def _on_behind(self, behind: wire.Behind) -> None:
        owned = self.owned.get(behind.book)
        if owned is not None and self._needs_contents(owned, behind):
            self._send(behind.source, wire.Fetch(self.name, owned.book, owned.term))
            return
        if owned is None or owned.stage is not Stage.OWNED or behind.source not in owned.replica_names():
            if behind.book in self._closed_books or (owned is not None and owned.stage is Stage.OWNED):
                term = owned.term if owned is not None else behind.term
                self._send(behind.source, wire.Close(self.name, behind.book, term))
            elif owned is None and behind.book not in self._former_books:
                term = max(behind.term, self._highest_terms.get(behind.book, 0))
                self._send(behind.source, wire.Superseded(self.name, behind.book, term))
            return
        follower = self._follower(owned, behind.source)
        follower.heard_at = self.now
        position = behind.position
        ours = position == owned.position(position[1]) and owned.base_position[1] <= position[1] <= owned.last
        if ours and owned.has_records_after(position[1]):
            follower.acked = follower.sent = position[1]
            follower.pending_fill.clear()
            self._send_records(owned, behind.source)
        elif not follower.pending_fill or follower.reported_position != position:
            if follower.reported_position == position and self.now - follower.fill_sent_at < FILL_RETRY_S:
                return
            self._begin_fill(owned, follower, behind)

    def _needs_contents(self, owned: OwnedBook, behind: wire.Behind) -> bool:
        """Whether this owner has to take in what a member holds before the member may drop or replace it."""
        if owned.stage is not Stage.OWNED:
            return owned.stage is Stage.FETCHING
        if not owned.config.unheard or behind.source in owned.heard:
            return False
        if behind.position == LOG_START:
            self._mark_heard(owned, behind.source)
            return False
        return behind.position[0] < owned.term and behind.position != owned.base_position

    def _begin_fill(self, owned: OwnedBook, follower: Follower, behind: wire.Behind) -> None:
        """Starts to send a replica the ranges that differ, as the book is now."""
        last, entries = self.snapshot(owned.book)  # the journal may be ahead of the core
        mine = copies.range_digests(entries)
        theirs = behind.digests or (0,) * copies.RANGE_COUNT
        ranges = sum(1 << n for n in range(copies.RANGE_COUNT) if mine[n] != theirs[n])
        wanted = [
            (order, copies.pack(entry))
            for order, entry in entries
            if ranges >> copies.range_of(entry.message.ref) & 1
        ]
        wanted += copies.pack_ended(owned.ended_refs)
        pieces = list(copies.split_parts(wanted))
        follower.acked, follower.reported_position, follower.fill_target = None, behind.position, last
        follower.pending_fill.clear()
        for n, piece in enumerate(pieces):
            follower.pending_fill.append(
                wire.Fill(
                    self.name,
                    owned.book,
                    owned.term,
                    owned.position(last),
                    behind.position,
                    ranges,
                    n,
                    len(pieces),
                    piece,
                    self._wall,
                    owned.config,
                )
            )
        self._send_fill_parts(owned, follower)

    def _send_fill_parts(self, owned: OwnedBook, follower: Follower) -> None:
        """Sends parts of a fill within the repair rate."""
        rate = self.settings.rate
        self._repair_credit = min(
            float(rate), self._repair_credit + (self.now - self._repair_credit_at) * rate
        )
        self._repair_credit_at = self.now
        while follower.pending_fill and self._repair_credit > 0:
            part = follower.pending_fill.popleft()
            self._repair_credit -= sum(len(data) + 16 for _, data in part.entries) + 200
            self._send(follower.name, msgspec.structs.replace(part, sender_time=self._wall))
            follower.fill_sent_at = follower.sent_at = self.now
            follower.sent = follower.fill_target

    def _follower(self, owned: OwnedBook, name: str) -> Follower:
        follower = owned.followers.get(name)
        if follower is None:
            follower = owned.followers[name] = Follower(name, heard_at=self.now)
        return follower

    def _send_records(self, owned: OwnedBook, name: str) -> None:
        """Sends a replica the records that it has not been sent, within the window."""
        follower = owned.followers.get(name)
        if follower is None or owned.stage is not Stage.OWNED:
            return
        while True:
            before = follower.sent
            frames = owned.next_frames(follower)
            if not frames:
                return
            self._send_append(owned, follower, before, frames)

    def _send_append(
        self, owned: OwnedBook, follower: Follower, before: int, frames: tuple[bytes, ...]
    ) -> None:
        follower.sent_at = self.now
        config = owned.config if not before or not frames else None
        self._send(
            follower.name,
            wire.Append(
                self.name, owned.book, owned.term, owned.position(before), frames, self._wall, config
            ),
        )

    def _probe(self, owned: OwnedBook, name: str) -> None:
        """Asks a replica for its position; this also shows the replica that the owner is alive."""
        follower = self._follower(owned, name)
        # Asked at a record that the log no longer leads on from, a replica would confirm it and stay there.
        known = follower.acked is not None and owned.has_records_after(follower.sent)
        self._send_append(owned, follower, follower.sent if known else owned.last, ())

    def _maintain(self, owned: OwnedBook) -> None:
        """Renews the lease, resends to replicas that lag, and replaces silent ones."""
        if owned.next_claim_at <= self.now:
            if owned.stage is Stage.CLAIMING and not owned.accepts_messages and owned.is_split():
                return self._withdraw_claim(owned, 0.0)  # else each claimant renews its part for ever
            self._claim(owned)
        if owned.stage is Stage.FETCHING and owned.next_fetch_at <= self.now:
            self._fetch_on(owned)
        self._expire_orphans(owned)
        if owned.stage is not Stage.OWNED:
            return
        self._fetch_late(owned)
        for name in owned.replica_names():
            follower = self._follower(owned, name)
            if follower.pending_fill:
                self._send_fill_parts(owned, follower)
                continue
            lags = follower.acked is None or follower.acked < owned.last
            wait = resend_delay_s(follower.tries) if lags else self._lease_s() / 3
            if self.now - max(follower.sent_at, follower.heard_at if lags else 0.0) >= wait:
                follower.tries = min(follower.tries + 1, 8) if lags else 0
                if follower.acked is not None:
                    follower.sent = follower.acked
                    self._send_records(owned, name)
                if follower.acked is None or not lags or follower.sent == follower.acked:
                    self._probe(owned, name)
            silent = self.now - follower.heard_at > max(1.0, self._lease_s())
            if silent and name in self.peers and name not in self._avoided_until:
                times = self._silence_counts[name] = min(self._silence_counts.get(name, 0) + 1, 8)
                self._avoided_until[name] = self.now + min(
                    MAX_AVOID_S, AVOID_LEASES * self._lease_s() * 2 ** (times - 1)
                )
                self._update_placement()
        self._change_replicas(owned)
        lacks_some = owned.config.unheard or not owned.config.holds_all
        awaited = lacks_some and self.now - owned.created_at <= INCOMPLETE_BOOK_KEEP_S
        if not owned.open and not owned.accepts_messages and owned.proposed is None and not awaited:
            self._close(owned)

    def _close(self, owned: OwnedBook) -> None:
        """Closes a book that is empty and takes no more messages."""
        self._claim(owned, release=True, closed=True)
        for name in owned.replica_names():
            self._send(name, wire.Close(self.name, owned.book, owned.term))
        self._dismiss_id_holders(owned, self._id_logs.get(owned.book, IdLog()).holders)
        self._drop_owned(owned.book)
        self._closed_books[owned.book] = None
        while len(self._closed_books) > MAX_CLOSED_BOOKS:
            del self._closed_books[next(iter(self._closed_books))]
        self._emit(StoreBook(owned.book, None))
