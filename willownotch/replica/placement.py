"""Places a book's copies and witnesses by rendezvous hashing (Thaler and Ravishankar, 1998).

Each member has a weight for each book, and the members with the highest weights are chosen. A member that
leaves moves only what it held; one that joins takes over only the books that it ranks first for.
"""

from __future__ import annotations

from collections.abc import Iterable


def ranked(book: str, names: Iterable[str], purpose: str = "copies") -> list[str]:
    """Returns the names by weight, highest first; the same on every member that knows the same names."""
    from xxhash import xxh64_intdigest

    def weight(name: str) -> tuple[int, str]:
        return xxh64_intdigest(f"{purpose}\0{book}\0{name}".encode()), name

    return sorted(names, key=weight, reverse=True)


def witnesses(book: str, own: str, names: Iterable[str], wanted: int) -> tuple[str, ...]:
    """Chooses an odd number of witnesses, whose majority grants terms. A single witness is never the
    owner."""
    line = ranked(book, {*names, own}, "witness")
    count = witness_count(len(line), wanted)
    if count == 1:
        return tuple(name for name in line if name != own)[:1]
    return tuple(line[:count])


def witness_count(members: int, wanted: int) -> int:
    """Returns how many witnesses a book can have among `members` (with its owner): an odd number."""
    count = min(wanted, members)
    return max(1, count - (count % 2 == 0))


def majority(count: int) -> int:
    """Returns the smallest number that is more than half of `count`."""
    return count // 2 + 1
