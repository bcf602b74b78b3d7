"""Where a book's copies and witnesses are: rendezvous hashing (Thaler, Ravishankar, 1998).

Each member has a weight for each book, and the highest ones are chosen. A member that goes moves only what it
had; one that comes takes over only what it is now the best place for.
"""

from __future__ import annotations

from collections.abc import Iterable


def ranked(book: str, names: Iterable[str], purpose: str = "copies") -> list[str]:
    """Names, the best place first; everybody who knows the names finds the same."""
    from xxhash import xxh64_intdigest

    def weight(name: str) -> tuple[int, str]:
        return xxh64_intdigest(f"{purpose}\0{book}\0{name}".encode()), name

    return sorted(names, key=weight, reverse=True)


def witnesses(book: str, own: str, names: Iterable[str], wanted: int) -> tuple[str, ...]:
    """An odd number of members, of whom a majority grants terms. A lone witness is never the owner itself."""
    line = ranked(book, {*names, own}, "witness")
    count = witness_count(len(line), wanted)
    if count == 1:
        return tuple(name for name in line if name != own)[:1]
    return tuple(line[:count])


def witness_count(members: int, wanted: int) -> int:
    """How many witnesses a book can have where there are so many members, its owner among them."""
    count = min(wanted, members)
    return max(1, count - (count % 2 == 0))


def majority(count: int) -> int:
    """More than half."""
    return count // 2 + 1
