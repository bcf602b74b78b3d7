"""What a member's snapshot has that a document has not, found from the top of the tree of digests down: the
groups that differ, their buckets that differ, the entries of those. No I/O.

Each level has to add up to the one above it, so what is wrong is known at the first part that does not.
"""

from __future__ import annotations

from willownotch.controlplane.document import (
    DIGEST_BYTES,
    GROUPS,
    MODULUS,
    Delta,
    Document,
    bucket_of,
    entry_hash,
)
from willownotch.controlplane.wire import (
    PIECE_BYTES,
    Part,
    PartKind,
    SnapshotDigests,
    read_entries,
    read_snapshot_digests,
)

Buckets = dict[int, tuple[bytes, dict[str, bytes]]]  # by number: the digest, the entries
FIRST = Part(PartKind.GROUPS, 0)  # what is to be fetched first, of one piece


class Comparison:
    """One of a document, which must not move on meanwhile, with a snapshot. `buckets` is what was fetched: it
    outlives this one, so that another need not ask for it again."""

    def __init__(self, document: Document, buckets: Buckets) -> None:
        self.document, self.buckets = document, buckets
        self.top: SnapshotDigests | None = None
        self.wanted: dict[int, bytes] = {}  # buckets that differ, and the snapshot's digests of them
        self.awaited = 1  # parts

    def take(self, part: Part, data: bytes) -> list[tuple[Part, int | None]]:
        """A part that was fetched: the parts to be fetched next, and of how many pieces they are, if that is
        known; `ValueError` if it does not add up or cannot be read."""
        wanted = {
            PartKind.GROUPS: self._groups,
            PartKind.BUCKETS: self._group_buckets,
            PartKind.ENTRIES: self._entries,
        }[part.kind](part, data)
        self.awaited += len(wanted) - 1
        return wanted

    def whole(self) -> bool:
        """Whether all that differs is there."""
        return self.awaited == 0

    def delta(self) -> Delta:
        """All that differs, once it is whole."""
        sets, removes = {}, []
        for number in self.wanted:
            ours, theirs = self.document.bucket(number), self.buckets[number][1]
            sets |= {key: value for key, value in theirs.items() if ours.get(key) != value}
            removes += [key for key in ours if key not in theirs]
        return Delta(
            self.document.revision, self.top.revision, self.top.token, sets, tuple(removes), self.top.digest
        )

    def _groups(self, part: Part, data: bytes) -> list[tuple[Part, int | None]]:
        self.top = read_snapshot_digests(data)
        sums = _digests(self.top.groups)
        if len(sums) != GROUPS or _sum(sums) != self.top.digest:
            raise ValueError("a tree that does not add up")
        mask = sum(
            (ours != theirs) << number
            for number, (ours, theirs) in enumerate(zip(self.document.groups(), sums, strict=True))
        )
        pieces = -(-mask.bit_count() * GROUPS * DIGEST_BYTES // PIECE_BYTES)
        return [(Part(PartKind.BUCKETS, self.top.revision, 0, mask), pieces)] if mask else []

    def _group_buckets(self, part: Part, data: bytes) -> list[tuple[Part, int | None]]:
        groups = [number for number in range(GROUPS) if part.mask >> number & 1]
        sums, tops = _digests(data), _digests(self.top.groups)
        if len(sums) != len(groups) * GROUPS:
            raise ValueError("digests of other groups")
        found = []
        for place, group in enumerate(groups):
            theirs = sums[place * GROUPS : (place + 1) * GROUPS]
            if _sum(theirs) != tops[group]:
                raise ValueError("a group that does not add up")
            if mask := self._lacking(group, theirs):
                found.append((Part(PartKind.ENTRIES, self.top.revision, group, mask), None))
        return found

    def _lacking(self, group: int, sums: list[bytes]) -> int:
        """A bit for each bucket of a group that differs and was not fetched before."""
        mask = 0
        for at, (ours, theirs) in enumerate(zip(self.document.buckets(group), sums, strict=True)):
            number = group * GROUPS + at
            if ours != theirs:
                self.wanted[number] = theirs
                mask |= (number not in self.buckets or self.buckets[number][0] != theirs) << at
        return mask

    def _entries(self, part: Part, data: bytes) -> list[tuple[Part, int | None]]:
        found: dict[int, dict[str, bytes]] = {
            part.node * GROUPS + at: {} for at in range(GROUPS) if part.mask >> at & 1
        }
        for key, value in read_entries(data).items():
            if (number := bucket_of(key)) not in found:
                raise ValueError("an entry of another bucket")
            found[number][key] = value
        for number, entries in found.items():
            total = sum(entry_hash(key, value) for key, value in entries.items()) % MODULUS
            if total.to_bytes(DIGEST_BYTES, "big") != self.wanted[number]:
                raise ValueError("a bucket with another digest")
            self.buckets[number] = self.wanted[number], entries
        return []


def _digests(data: bytes) -> list[bytes]:
    return [data[at : at + DIGEST_BYTES] for at in range(0, len(data), DIGEST_BYTES)]


def _sum(digests: list[bytes]) -> bytes:
    return (sum(int.from_bytes(one, "big") for one in digests) % MODULUS).to_bytes(DIGEST_BYTES, "big")
