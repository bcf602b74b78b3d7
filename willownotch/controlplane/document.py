"""The document that members agree on and senders follow: keyed entries, their digest, changes. No I/O.

Each revision results from the previous one and a change; its digest covers all entries. The digest is the
sum of one hash for each entry (AdHash: Bellare and Micciancio, 1997; Lewi et al., 2019, use a similar hash to
distribute configuration), so that its update costs only as much as the change. It detects faults, not
forgeries: frames are authenticated separately.

Entries are grouped into 64 x 64 buckets by a hash of their key, and each bucket has a digest. Two documents
that differ are compared as a tree of two levels, like anti-entropy with Merkle trees (Dynamo, 2007).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import msgspec
from blake3 import blake3

GROUPS = 64  # of buckets
BUCKETS = GROUPS * GROUPS
DIGEST_BYTES = 16
MODULUS = 1 << 8 * DIGEST_BYTES
MAX_KEY_BYTES, MAX_VALUE_BYTES, MAX_ENTRIES = 200, 64 * 1024, 200_000
MAX_CHANGE_BYTES = 512 * 1024  # so that a change fits in one frame between members
MAX_HISTORY = 4096  # commits that are kept for deltas, conflict checks and roll-back


class DocumentError(ValueError):
    """A change, commit or delta does not fit the document; the text says why."""


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A change by an author: the keys to set (to JSON texts) and to remove, based on revision `base`."""

    id: bytes  # 16 random bytes; the same for every submission of this change
    author: str
    base: int
    sets: dict[str, bytes]
    removes: tuple[str, ...] = ()

    def touched_keys(self) -> set[str]:
        """The keys that it sets or removes."""
        return {*self.sets, *self.removes}


class Commit(msgspec.Struct, frozen=True, array_like=True):
    """A change with its revision, the writer's lease token, and the digest of the document after it."""

    revision: int
    token: int
    change: Change
    digest: bytes


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """The difference between two revisions, and the digest of the document after it is applied."""

    since: int
    revision: int
    token: int
    sets: dict[str, bytes]
    removes: tuple[str, ...]
    digest: bytes


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A commit, and the values of its keys before it (None where there was no entry)."""

    commit: Commit
    previous_values: dict[str, bytes | None]


def bucket_of(key: str) -> int:
    """The number of a key's bucket, 0 to `BUCKETS` - 1."""
    return int.from_bytes(blake3(key.encode()).digest(length=2), "big") % BUCKETS


def entry_hash(key: str, value: bytes) -> int:
    """The hash of one entry, as it is added to the digests."""
    name = key.encode()
    return int.from_bytes(blake3(b"%d:%s" % (len(name), name) + value).digest(length=DIGEST_BYTES), "big")


def check_change(change: Change) -> None:
    """Raise `DocumentError` if a change breaks a limit that holds for all keys."""
    if len(change.id) != 16:
        raise DocumentError("a change's id has 16 bytes")
    if not change.sets and not change.removes:
        raise DocumentError("the change is empty, wanted: an entry to set or to remove")
    if both := sorted(set(change.sets) & set(change.removes)):
        raise DocumentError(f"{both[0]!r} is both set and removed, allowed: one of them")
    if len(set(change.removes)) != len(change.removes):
        raise DocumentError("a key is removed twice, allowed: once")
    size = 0
    for key in change.touched_keys():
        value = change.sets.get(key, b"")
        size += len(key.encode()) + len(value)
        if not key or len(key.encode()) > MAX_KEY_BYTES:
            raise DocumentError(
                f"the key {key[:40]!r} is empty or too long, allowed: 1 to {MAX_KEY_BYTES} bytes"
            )
        if len(value) > MAX_VALUE_BYTES:
            raise DocumentError(f"{key!r} has {len(value)} bytes, allowed: up to {MAX_VALUE_BYTES}")
    if size > MAX_CHANGE_BYTES:
        raise DocumentError(f"the change has {size} bytes, allowed: up to {MAX_CHANGE_BYTES}")


class Document:
    """One revision of the document, which commits and deltas update in place, with its latest commits."""

    def __init__(self, max_history: int = MAX_HISTORY) -> None:
        self.revision = 0
        self.token = 0  # of the revision's commit
        self.max_history = max_history
        self.history: deque[HistoryEntry] = deque()
        self.count = self.size = 0  # number of entries, and the bytes of their keys and values
        self._buckets: list[dict[str, bytes]] = [{} for _ in range(BUCKETS)]
        self._sums = [0] * BUCKETS
        self._total = 0
        self._by_id: dict[bytes, int] = {}

    def get(self, key: str) -> bytes | None:
        """The value of an entry, or None."""
        return self._buckets[bucket_of(key)].get(key)

    def items(self) -> Iterator[tuple[str, bytes]]:
        """All entries, in no particular order."""
        for bucket in self._buckets:
            yield from bucket.items()

    @property
    def digest(self) -> bytes:
        """The digest of all entries."""
        return self._total.to_bytes(DIGEST_BYTES, "big")

    def groups(self) -> list[bytes]:
        """The digest of each group of buckets."""
        return [
            (sum(self._sums[at : at + GROUPS]) % MODULUS).to_bytes(DIGEST_BYTES, "big")
            for at in range(0, BUCKETS, GROUPS)
        ]

    def buckets(self, group: int) -> list[bytes]:
        """The digest of each bucket of a group."""
        return [n.to_bytes(DIGEST_BYTES, "big") for n in self._sums[group * GROUPS : (group + 1) * GROUPS]]

    def bucket(self, number: int) -> dict[str, bytes]:
        """A copy of a bucket's entries."""
        return dict(self._buckets[number])

    def copy(self) -> Document:
        """A copy with the same entries, revision and token, and without the history."""
        document = Document(self.max_history)
        document.revision, document.token = self.revision, self.token
        document.count, document.size = self.count, self.size
        document._buckets = [dict(bucket) for bucket in self._buckets]
        document._sums, document._total = list(self._sums), self._total
        return document

    def _put(self, key: str, value: bytes | None) -> bytes | None:
        """Set one entry, or remove it if `value` is None; returns its previous value."""
        number = bucket_of(key)
        bucket = self._buckets[number]
        old_value = bucket.get(key)
        hash_change = 0
        if old_value is not None:
            hash_change -= entry_hash(key, old_value)
            self.count -= 1
            self.size -= len(key.encode()) + len(old_value)
            del bucket[key]
        if value is not None:
            hash_change += entry_hash(key, value)
            self.count += 1
            self.size += len(key.encode()) + len(value)
            bucket[key] = value
        self._sums[number] = (self._sums[number] + hash_change) % MODULUS
        self._total = (self._total + hash_change) % MODULUS
        return old_value

    def _write(self, sets: Mapping[str, bytes], removes: Iterable[str]) -> dict[str, bytes | None]:
        previous_values: dict[str, bytes | None] = {}
        for key in removes:
            previous_values.setdefault(key, self._put(key, None))  # keep the first if a key appears twice
        for key, value in sets.items():
            previous_values.setdefault(key, self._put(key, value))
        return previous_values

    def committed_revision(self, change_id: bytes) -> int | None:
        """The revision of a committed change, or None if it is not in the history."""
        return self._by_id.get(change_id)

    def conflict(self, change: Change) -> Commit | None:
        """The latest commit after the change's base that touches one of its keys: the change loses to it.

        Raises `DocumentError` if the base is later than this revision or older than the history.
        """
        if change.base > self.revision:
            raise DocumentError(f"the change is based on revision {change.base}, the last is {self.revision}")
        if change.base < self.oldest():
            raise DocumentError(
                f"the change is based on revision {change.base}, older than is "
                f"remembered ({self.oldest()}): base it on a later revision"
            )
        keys = change.touched_keys()
        for entry in reversed(self.history):
            if entry.commit.revision <= change.base:
                break
            if keys & entry.commit.change.touched_keys():
                return entry.commit
        return None

    def oldest(self) -> int:
        """The oldest revision from which a delta can start."""
        return self.history[0].commit.revision - 1 if self.history else self.revision

    def digest_after(self, change: Change) -> bytes:
        """The digest of the document after a change."""
        total = self._total
        for key in change.removes:
            if (old_value := self.get(key)) is not None:
                total -= entry_hash(key, old_value)
        for key, value in change.sets.items():
            if (old_value := self.get(key)) is not None:
                total -= entry_hash(key, old_value)
            total += entry_hash(key, value)
        return (total % MODULUS).to_bytes(DIGEST_BYTES, "big")

    def commit(self, commit: Commit) -> None:
        """Apply the commit of the next revision.

        Raises `DocumentError`, with nothing changed, if it is not the next one or its digest does not match.
        """
        if commit.revision != self.revision + 1:
            raise DocumentError(f"revision {commit.revision} does not follow {self.revision}")
        if commit.token < self.token:
            raise DocumentError(f"token {commit.token} is below {self.token}")
        if self.digest_after(commit.change) != commit.digest:
            raise DocumentError(f"revision {commit.revision} has another digest than its change results in")
        previous_values = self._write(commit.change.sets, commit.change.removes)
        self.revision, self.token = commit.revision, commit.token
        self.history.append(HistoryEntry(commit, previous_values))
        self._by_id[commit.change.id] = commit.revision
        while len(self.history) > self.max_history:
            self._by_id.pop(self.history.popleft().commit.change.id, None)

    def commits(self, since: int) -> list[Commit] | None:
        """The commits after a revision, in order, or None if the history does not reach back to it."""
        if not self.oldest() <= since <= self.revision:
            return None
        behind = self.revision - since
        return [self.history[at].commit for at in range(len(self.history) - behind, len(self.history))]

    def delta(self, since: int) -> Delta | None:
        """The delta from an earlier revision, or None if the history does not reach back to it."""
        commits = self.commits(since)
        if commits is None:
            return None
        touched_keys: dict[str, None] = {}
        for commit in commits:
            touched_keys |= dict.fromkeys(commit.change.sets) | dict.fromkeys(commit.change.removes)
        now = {key: self.get(key) for key in touched_keys}
        return Delta(
            since,
            self.revision,
            self.token,
            {k: v for k, v in now.items() if v is not None},
            tuple(k for k, v in now.items() if v is None),
            self.digest,
        )

    def apply(self, delta: Delta) -> None:
        """Apply a delta and clear the history, which followers do not need.

        Raises `DocumentError`, with nothing changed, if the delta starts at another revision, does not lead
        to a later one, or its digest does not match.
        """
        if delta.since != self.revision or delta.revision <= self.revision or delta.token < self.token:
            raise DocumentError(
                f"a delta from {delta.since} to {delta.revision} (token {delta.token}) "
                f"does not apply to revision {self.revision} (token {self.token})"
            )
        previous_values = self._write(delta.sets, delta.removes)
        if self.digest != delta.digest:
            self._write(
                {k: v for k, v in previous_values.items() if v is not None},
                [k for k, v in previous_values.items() if v is None],
            )
            raise DocumentError(f"revision {delta.revision} has another digest than its delta results in")
        self.revision, self.token = delta.revision, delta.token
        self.history.clear()
        self._by_id.clear()

    def edits_to_restore(self, revision: int) -> tuple[dict[str, bytes], tuple[str, ...]]:
        """The keys to set and to remove that restore the entries of an earlier revision.

        Raises `DocumentError` if the history does not reach back to it.
        """
        if not self.oldest() <= revision <= self.revision:
            raise DocumentError(
                f"revision {revision} is not remembered, allowed: {self.oldest()} to " f"{self.revision}"
            )
        old_values: dict[str, bytes | None] = {}
        for entry in reversed(self.history):
            if entry.commit.revision <= revision:
                break
            old_values |= entry.previous_values
        now = {key: self.get(key) for key in old_values}
        return (
            {k: v for k, v in old_values.items() if v is not None and v != now[k]},
            tuple(sorted(k for k, v in old_values.items() if v is None and now[k] is not None)),
        )

    @classmethod
    def from_entries(
        cls,
        revision: int,
        token: int,
        entries: Iterable[tuple[str, bytes]],
        digest: bytes,
        max_history: int = MAX_HISTORY,
    ) -> Document:
        """A document with these entries; raises `DocumentError` if their digest is not `digest`."""
        document = cls(max_history)
        for key, value in entries:
            document._put(key, value)
        if document.digest != digest:
            raise DocumentError(f"revision {revision} has another digest than its {document.count} entries")
        document.revision, document.token = revision, token
        return document
