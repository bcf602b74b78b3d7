"""Plans which records bring the messages of an acquired book into the journal. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from datetime import datetime
from typing import TYPE_CHECKING

from willownotch.journal.records import Entry, Record, RelayStarted

if TYPE_CHECKING:
    from willownotch.replica.actions import Acquired

UNKNOWN_HOST = "?"  # the host of a call that may have been made according to the copies


@dataclass(frozen=True, slots=True)
class AdoptionPlan:
    """What a new owner writes to its journal, and the messages that it owns then."""

    removed: tuple[str, ...]  # ids of the book's entries in the journal, which the others replace
    copied: tuple[Record, ...]  # the book's records, as its replicas have them
    new: tuple[Record, ...]  # records that replicas lack
    known: tuple[str, ...]  # ids that this sender delivers already, or has ended
    deadlines: dict[str, datetime]  # of the adopted messages, in the book's order


def may_have_run_marks(entries: Iterable[Entry], now: datetime) -> list[Record]:
    """Return records by which each of these messages counts as one that may have run, unless it has ended."""
    return [
        RelayStarted(entry.message.ref, entry.count(), now, UNKNOWN_HOST)
        for entry in entries
        if entry.ended is None
    ]


def plan_adoption(
    acquired: Acquired,
    local: dict[str, Entry],
    withdrawn: Collection[str],
    is_known: Callable[[str], bool],
    now: datetime,
) -> AdoptionPlan:
    """Plan the adoption of a book of which the journal has the entries `local`.

    Those that were `withdrawn` are only removed. `is_known` tells whether this sender delivers a message
    already, or has ended it.
    """
    found = {entry.message.ref: entry for _, entry in acquired.entries}
    # An entry that only this folder has is kept only if the copies that answered cannot rule out that it is
    # still outstanding.
    kept = [
        entry
        for ref, entry in local.items()
        if ref not in found
        and ref not in withdrawn
        and ref not in acquired.ended
        and not acquired.is_complete(entry.message.custody.acks)
    ]
    kept_refs = {entry.message.ref for entry in kept}
    late = [
        entry
        for entry in acquired.late
        if not is_known(entry.message.ref) and entry.message.ref not in kept_refs
    ]
    known = tuple(ref for ref in found if is_known(ref))
    copied = [entry for ref, entry in found.items() if ref not in known]
    uncertain = [entry for entry in [*copied, *kept] if not acquired.is_complete(entry.message.custody.acks)]
    added = [*kept, *late]
    return AdoptionPlan(
        removed=tuple(local),
        copied=tuple(record for entry in copied for record in entry.records()),
        new=(
            *(record for entry in added for record in entry.records()),
            *may_have_run_marks([*uncertain, *late], now),
        ),
        known=known,
        deadlines={entry.message.ref: entry.message.ends_at for entry in [*copied, *added]},
    )
