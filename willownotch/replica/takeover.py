"""What a new owner of a book makes of the answers to its fetch. Performs no I/O and reads no clock.

A majority of witnesses fences off the owner before; it does not bring the book's contents. These are whole if
R - W + 1 of the replicas answered, so that one of them has whatever had W copies, or if the member that owned
the book last answered with what its journal held.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from willownotch.journal.records import Entry
from willownotch.replica import copies
from willownotch.replica.books import FetchAnswer, OwnedBook
from willownotch.replica.copies import Copy, Ordered, unpack_ended
from willownotch.replica.placement import majority
from willownotch.replica.wire import LOG_START, UNKNOWN_TERM, BookConfig, Position

# Added to the number of a log's last record where a copy of the log may differ from what replicas have at
# that number, so that its position equals none of theirs.
POSITION_GAP = 2**32
MAX_HISTORY = 64  # latest positions that a book's configuration names


@dataclass(frozen=True, slots=True)
class Contents:
    """The contents that a new owner begins with. `base` is None if no answer has any."""

    base: FetchAnswer | None
    confirmed_replicas: int  # replicas that answered with a confirmed copy
    whole: bool  # the entries include every message that was promised


def copy_of_journal(
    book: str, config: BookConfig, term: int, position: Position, entries: Iterable[Ordered], changed: bool
) -> Copy:
    """Makes a copy of what the journal of a book's owner holds at a position.

    `changed` says that the entries may differ from what replicas have at that position.
    """
    number = position[1] + POSITION_GAP if changed else position[1]
    copy = Copy(book, config, term, (position[0], number), owner_term=term)
    copy.put_entries((order, copies.pack(entry)) for order, entry in entries)
    return copy


def copy_answer(copy: Copy, pieces: list[tuple[tuple[int, bytes], ...]]) -> FetchAnswer:
    """Returns the answer of this member's own copy; `pieces` are its entries on this member's clock."""
    return FetchAnswer(
        copy.position,
        copy.confirmed,
        True,
        len(pieces),
        received_parts=dict(enumerate(pieces)),
        owner_term=copy.owner_term,
        unheard=copy.config.unheard,
        history=copy.config.history,
        holds_all=copy.config.holds_all,
    )


def read_entries(answer: FetchAnswer) -> list[Ordered]:
    """Returns the entries of a complete answer, in the book's order and on this member's clock."""
    return [
        (order, copies.shift_times(entry, answer.clock_offset))
        for part in sorted(answer.received_parts)
        for order, data in answer.received_parts[part]
        if (entry := copies.unpack(data)) is not None
    ]


def complete_answers(owned: OwnedBook) -> dict[str, FetchAnswer]:
    """Returns the answers of which all parts have arrived, by member."""
    return {name: answer for name, answer in owned.fetch_answers.items() if answer.is_complete()}


def is_last_owner(owned: OwnedBook, own_name: str, member: str, answer: FetchAnswer) -> bool:
    """Whether a member answered with the journal of the book's last owner: no term was granted in between.

    A later term of this member itself does not count against its own journal: its folder would name that
    term if the member had acted on it.
    """
    known = list(owned.previous_terms.values())
    if not answer.owner_term or len(known) < majority(len(owned.config.witnesses)):
        return False
    terms = [other_member if member == own_name else other for other, other_member in known]
    return UNKNOWN_TERM not in terms and max(terms) <= answer.owner_term


def confirmed_replicas(owned: OwnedBook) -> int:
    """Returns how many of the book's replicas answered with a confirmed copy."""
    complete = complete_answers(owned)
    return sum(a.has_copy and a.confirmed for name, a in complete.items() if name in owned.config.replicas)


def choose_contents(owned: OwnedBook, own_name: str, least_acks: int) -> Contents:
    """Chooses the contents to begin with. `least_acks` is the lowest W of any class."""
    complete = complete_answers(owned)
    confirmed = confirmed_replicas(owned)
    enough = confirmed >= len(owned.config.replicas) - least_acks + 1 and confirmed > 0
    last_owners = [a for name, a in complete.items() if is_last_owner(owned, own_name, name, a)]
    if enough:  # a journal outside of the set may hold messages that nobody was promised
        candidates = [
            answer
            for name, answer in complete.items()
            if answer.has_copy and (name in owned.config.replicas or not answer.owner_term)
        ]
    else:
        candidates = last_owners or [answer for answer in complete.values() if answer.has_copy]
    base = max(candidates, key=lambda answer: answer.position, default=None)
    return Contents(base, confirmed, enough or bool(last_owners))


def members_without_answer(owned: OwnedBook, own_name: str, contents: Contents) -> tuple[str, ...]:
    """Returns the members that may hold messages which these contents lack; none if they are whole."""
    unheard = set(contents.base.unheard) if contents.base is not None else set()
    if not contents.whole:
        unheard |= {*owned.config.replicas, owned.former_owner[0]} - set(complete_answers(owned))
    return tuple(sorted(unheard - {own_name, ""}))


def read_ended(answer: FetchAnswer) -> set[str]:
    """Returns the ids that a complete answer tells to have ended since the first term."""
    ended = (unpack_ended(data) for part in answer.received_parts.values() for _, data in part)
    return {ref for ref in ended if ref is not None}


def ended_in_longer_copy(owned: OwnedBook, answer: FetchAnswer) -> set[str]:
    """Returns the ids that this log began with and that a longer copy of the same term no longer has.

    The owner of that term ended them behind the records that this owner began with.
    """
    position, base = answer.position, owned.base_position
    if not answer.has_copy or answer.owner_term or position[0] != base[0] or position[1] <= base[1]:
        return set()
    return owned.replicated_refs - {entry.message.ref for _, entry in read_entries(answer)}


def holds_all(contents: Contents) -> bool:
    """Whether a log that goes on from these contents has had every message that was promised."""
    return contents.whole and contents.base is not None and contents.base.holds_all


def extend_history(answer: FetchAnswer) -> tuple[Position, ...]:
    """Returns the history of a log that goes on from these contents."""
    if answer.position == LOG_START:
        return answer.history
    return (*answer.history, answer.position)[-MAX_HISTORY:]


def late_entries(owned: OwnedBook, answer: FetchAnswer) -> list[Entry]:
    """Returns the entries of a late answer that the log of an owner who began without them lacks.

    Two copies of one term's log agree up to the shorter one, so what the log of that term had is known. A
    journal is a log's end, and a restarted process numbers its entries anew.
    """
    entries = read_entries(answer)
    shared = 0 if answer.owner_term else dict(owned.history()).get(answer.position[0], 0)
    known = owned.known_refs | owned.ended_refs
    return [entry for order, entry in entries if order > shared and entry.message.ref not in known]
