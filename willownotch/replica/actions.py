"""What the core decides: frames to send, state to store, and events for its caller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from willownotch.journal.records import Entry
from willownotch.replica import wire
from willownotch.replica.copies import Copy, Ordered
from willownotch.replica.terms import Term
from willownotch.replica.wire import LOG_START, BookConfig


@dataclass(frozen=True, slots=True)
class Send:
    """Sends a frame to a member."""

    to: str
    message: wire.Message


@dataclass(frozen=True, slots=True)
class StoreTerm:
    """Stores a term before the actions that follow."""

    term: Term


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Stores a copy: the appended `frames`, the whole copy (`frames` None), or its removal (`copy` None)."""

    book: str
    copy: Copy | None
    frames: tuple[bytes, ...] | None = None
    position: wire.Position = LOG_START  # position that the frames bring the copy to


@dataclass(frozen=True, slots=True)
class StoreBook:
    """Stores that this sender owns a book, or (`config` None) owns it no more."""

    book: str
    config: BookConfig | None
    term: int = 0


@dataclass(frozen=True, slots=True)
class StoreDisowned:
    """Stores that what the journal has of a book, or will have, is not this sender's to deliver.

    It holds until `StoreBook` names this sender as the owner.
    """

    book: str


@dataclass(frozen=True, slots=True)
class StoreEnded:
    """Stores that ids of a book that this sender owns have ended."""

    book: str
    refs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Acquired:
    """This sender has become a book's owner; `on_adopted` is called once the entries are in the journal.

    `replicas_answered` of `replicas_asked` replicas sent what they hold. `whole` says that the entries
    include every promised message; else more may follow as `LateEntries`, and ids that only id holders know
    are reported as `Expired` at their deadlines.
    """

    book: str
    term: int
    last: int  # number of the last record
    entries: tuple[Ordered, ...]
    replicas_answered: int
    replicas_asked: int
    previous_owner: str
    whole: bool = False
    late: tuple[Entry, ...] = ()  # messages that only this member's own copy had; each may have run
    ended: tuple[str, ...] = ()  # ids that ended, of which the log does not tell it yet

    def is_complete(self, wanted: int) -> bool:
        """Whether the entries include every message that had `wanted` copies."""
        return self.whole or (
            self.replicas_answered >= self.replicas_asked - wanted + 1 and self.replicas_answered > 0
        )


@dataclass(frozen=True, slots=True)
class LateEntries:
    """What a member had of a book after its new owner began without it. The messages may have run.

    The owner writes them to its journal as new records of the book, or calls `on_late_settled` for those that
    it needs no more. It withdraws messages whose ids are in `ended`, since their ends were reported before,
    and writes that they ended to the book.
    """

    book: str
    source: str
    entries: tuple[Entry, ...]
    ended: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Lost:
    """Another member owns a book: this sender may not send or end its messages any more."""

    book: str
    term: int
    owner: str


@dataclass(frozen=True, slots=True)
class Expired:
    """Messages that reached their deadlines while a book had no owner; they are to be reported as given up.

    With `acks` this sender owns the book and knows only their ids. It writes their ends to the book, and
    reports each once it has that many copies.
    """

    book: str
    entries: tuple[Entry, ...]
    refs: tuple[str, ...]
    acks: int = 0


@dataclass(frozen=True, slots=True)
class Report:
    """A log line for operators."""

    text: str


Stored = StoreTerm | StoreCopy | StoreBook | StoreDisowned | StoreEnded
Action = Send | Stored | Acquired | LateEntries | Lost | Expired | Report
Snapshot = Callable[[str], tuple[int, list[tuple[int, Entry]]]]  # by book: number of its last record, entries
