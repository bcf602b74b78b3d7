"""Finds the differences between a document and a member's snapshot, down the tree of digests.

The groups that differ are compared first, then their buckets, then the entries of those. The digests of each
level must add up to the one above, so wrong data is detected at the first part that does not. No I/O.
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

Buckets = dict[int, tuple[bytes, dict[str, bytes]]]  # by number: digest and entries
FIRST_PART = Part(PartKind.GROUPS, 0)  # fetched first; one piece


class Comparison:
    """Compares a document, which must not change meanwhile, with a snapshot.

    Fetched buckets are put into `buckets`, which outlives the comparison, so that the next one need not fetch
    them again.
    """

    def __init__(self, document: Document, buckets: Buckets) -> None:
        self.document, self.buckets = document, buckets
        self.snapshot: SnapshotDigests | None = None
        self.differing: dict[int, bytes] = {}  # snapshot's digests of the buckets that differ
        self.parts_awaited = 1

    def on_part(self, part: Part, data: bytes) -> list[tuple[Part, int | None]]:
        """Handle a fetched part; returns the parts to fetch next, each with its number of pieces if known.

        `ValueError` if the digests do not add up or the part cannot be decoded.
        """
        wanted = {
            PartKind.GROUPS: self._on_groups,
            PartKind.BUCKETS: self._on_buckets,
            PartKind.ENTRIES: self._on_entries,
        }[part.kind](part, data)
        self.parts_awaited += len(wanted) - 1
        return wanted

    def is_complete(self) -> bool:
        """Whether all differences have been fetched."""
        return self.parts_awaited == 0

    def delta(self) -> Delta:
        """The difference between the document and the snapshot, once the comparison is complete."""
        sets, removes = {}, []
        for number in self.differing:
            ours, theirs = self.document.bucket(number), self.buckets[number][1]
            sets |= {key: value for key, value in theirs.items() if ours.get(key) != value}
            removes += [key for key in ours if key not in theirs]
        return Delta(
            self.document.revision,
            self.snapshot.revision,
            self.snapshot.token,
            sets,
            tuple(removes),
            self.snapshot.digest,
        )

    def _on_groups(self, part: Part, data: bytes) -> list[tuple[Part, int | None]]:
        self.snapshot = read_snapshot_digests(data)
        digests = _split_digests(self.snapshot.groups)
        if len(digests) != GROUPS or _sum_digests(digests) != self.snapshot.digest:
            raise ValueError("digests of the groups do not add up to the snapshot's digest")
        mask = sum(
            (ours != theirs) << number
            for number, (ours, theirs) in enumerate(zip(self.document.groups(), digests, strict=True))
        )
        pieces = -(-mask.bit_count() * GROUPS * DIGEST_BYTES // PIECE_BYTES)
        return [(Part(PartKind.BUCKETS, self.snapshot.revision, 0, mask), pieces)] if mask else []

    def _on_buckets(self, part: Part, data: bytes) -> list[tuple[Part, int | None]]:
        groups = [number for number in range(GROUPS) if part.mask >> number & 1]
        digests, group_digests = _split_digests(data), _split_digests(self.snapshot.groups)
        if len(digests) != len(groups) * GROUPS:
            raise ValueError("number of bucket digests does not match the requested groups")
        found = []
        for index, group in enumerate(groups):
            theirs = digests[index * GROUPS : (index + 1) * GROUPS]
            if _sum_digests(theirs) != group_digests[group]:
                raise ValueError("digests of the buckets do not add up to their group's digest")
            if mask := self._buckets_to_fetch(group, theirs):
                found.append((Part(PartKind.ENTRIES, self.snapshot.revision, group, mask), None))
        return found

    def _buckets_to_fetch(self, group: int, digests: list[bytes]) -> int:
        """A mask of the buckets of a group that differ and have not been fetched before."""
        mask = 0
        for at, (ours, theirs) in enumerate(zip(self.document.buckets(group), digests, strict=True)):
            number = group * GROUPS + at
            if ours != theirs:
                self.differing[number] = theirs
                mask |= (number not in self.buckets or self.buckets[number][0] != theirs) << at
        return mask

    def _on_entries(self, part: Part, data: bytes) -> list[tuple[Part, int | None]]:
        found: dict[int, dict[str, bytes]] = {
            part.node * GROUPS + at: {} for at in range(GROUPS) if part.mask >> at & 1
        }
        for key, value in read_entries(data).items():
            if (number := bucket_of(key)) not in found:
                raise ValueError("entry belongs to another bucket")
            found[number][key] = value
        for number, entries in found.items():
            total = sum(entry_hash(key, value) for key, value in entries.items()) % MODULUS
            if total.to_bytes(DIGEST_BYTES, "big") != self.differing[number]:
                raise ValueError("entries of a bucket have another digest")
            self.buckets[number] = self.differing[number], entries
        return []


def _split_digests(data: bytes) -> list[bytes]:
    return [data[at : at + DIGEST_BYTES] for at in range(0, len(data), DIGEST_BYTES)]


def _sum_digests(digests: list[bytes]) -> bytes:
    return (sum(int.from_bytes(digest, "big") for digest in digests) % MODULUS).to_bytes(DIGEST_BYTES, "big")
