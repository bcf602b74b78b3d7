"""The state that all roles of the core share, and how they send frames and hand out actions."""

from __future__ import annotations

from random import Random

from willownotch.replica import wire
from willownotch.replica.actions import Action, Send, Snapshot
from willownotch.replica.books import OwnedBook
from willownotch.replica.copies import Copy
from willownotch.replica.ids import IdIndex, IdLog
from willownotch.replica.settings import ReplicaSettings
from willownotch.replica.terms import TermRegister
from willownotch.replica.wire import BookConfig


class CoreState:
    """What one sender knows of books, members and terms.

    `snapshot` returns a book's content as the journal has it.
    """

    def __init__(
        self,
        name: str,
        uid: int,
        settings: ReplicaSettings,
        now: float,
        random: Random,
        snapshot: Snapshot,
        max_copy_bytes: int = 10**9,
    ) -> None:
        self.name, self.uid, self.settings, self.random = name, uid, settings, random
        self.snapshot, self.max_copy_bytes = snapshot, max_copy_bytes
        self.register = TermRegister(now, self._lease_s())
        self.owned: dict[str, OwnedBook] = {}
        self.copies: dict[str, Copy] = {}
        self.id_indexes: dict[str, IdIndex] = {}
        self.peers: dict[str, int] = {}  # other members by name, and their process ids
        self.current: str | None = None  # the book for new messages
        self.now = now
        self._actions: list[Action] = []
        self._book_count = 0  # books opened by this process
        self._avoided_until: dict[str, float] = {}  # silent members, until when they are not chosen
        self._silence_counts: dict[str, int] = {}  # by member, how often in a row it was silent
        self._witness_answers: dict[str, dict[str, float]] = {}  # by book and witness, when it last answered
        self._orphaned_at: dict[str, float] = {}  # by book, when its owner was found to be gone
        self._claim_times: dict[str, float] = {}  # by book without an owner, when to claim it
        self._highest_terms: dict[str, int] = {}  # by book, the highest term known
        self._former_books: dict[
            str, tuple[BookConfig, int]
        ] = {}  # books of this sender's former processes, terms
        self._former_ended: dict[str, set[str]] = {}  # by book of former processes, ids that ended
        self._asked_at: dict[str, float] = {}  # by copy, when its silent owner was last asked
        self._id_logs: dict[str, IdLog] = {}  # by owned book, for its id holders
        self._full_until: dict[str, float] = {}  # books without space for a copy, until when
        self._closed_books: dict[str, None] = {}  # books closed last by this sender
        self._repair_credit, self._repair_credit_at = 0.0, now  # bytes that fills may send now
        self._desired_replicas: dict[str, tuple[tuple[str, ...], float]] = {}
        self._stopping = False
        self._ticked_at = now

    def _lease_s(self) -> float:
        return self.settings.lease.total_seconds()

    def _drop_owned(self, book: str) -> None:
        """Removes a book that was owned or claimed, with the state kept for owned books."""
        for table in (self.owned, self._id_logs, self._desired_replicas):
            table.pop(book, None)

    def _emit(self, action: Action) -> None:
        self._actions.append(action)

    def _send(self, to: str, message: wire.Message) -> None:
        if to == self.name:  # this sender may be a witness of its own books
            getattr(self, f"_on_{type(message).__name__.lower()}")(message)
        else:
            self._emit(Send(to, message))

    def _drain_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
