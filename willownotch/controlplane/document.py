"""The document that members agree on and senders follow: keyed entries, their digest, changes. No I/O.

A revision is made of the one before it by a change; its digest is that of all entries. The digest is a sum
of one hash an entry (AdHash: Bellare and Micciancio, 1997; Lewi et al. use its kin to distribute
configuration, 2019), so it follows a change at the cost of what changes. It tells faults, not forgers: frames
are sealed.

Entries lie in 64 x 64 buckets by a hash of their key, and each bucket has its digest: two documents that
differ are compared as a tree of two levels, as anti-entropy by Merkle trees does (Dynamo, 2007).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import msgspec
from blake3 import blake3

GROUPS = 64  # of buckets
BUCKETS = GROUPS * GROUPS
DIGEST_BYTES = 16  # bytes of a digest
MODULUS = 1 << 8 * DIGEST_BYTES
KEY_MOST, VALUE_MOST, ENTRIES_MOST = 200, 64 * 1024, 200_000  # bytes of a key and a value; entries
CHANGE_MOST = 512 * 1024  # bytes of a change: it goes in one frame between members
HISTORY_MOST = 4096  # changes that are kept for differences, conflicts and roll-back


class DocumentError(ValueError):
    """What does not fit the document; the text says why."""


class Change(msgspec.Struct, frozen=True, array_like=True):
    """What an author wants: keys set (to JSON texts) and removed, as of the revision that was looked at."""

    id: bytes  # 16 random bytes: asked again, it is the same change
    author: str
    base: int
    sets: dict[str, bytes]
    removes: tuple[str, ...] = ()

    def touched(self) -> set[str]:
        """The keys of all that it sets or removes."""
        return {*self.sets, *self.removes}


class Commit(msgspec.Struct, frozen=True, array_like=True):
    """A change that was accepted: its revision, the token it was accepted under, the digest made by it."""

    revision: int
    token: int
    change: Change
    digest: bytes


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """All that differs between two revisions, and the digest that must come of it."""

    since: int
    revision: int
    token: int
    sets: dict[str, bytes]
    removes: tuple[str, ...]
    digest: bytes


@dataclass(frozen=True, slots=True)
class Past:
    """A commit, and what its keys had before it (None: they were not there)."""

    commit: Commit
    before: dict[str, bytes | None]


def bucket_of(key: str) -> int:
    """The bucket of a key, 0 to `BUCKETS` - 1."""
    return int.from_bytes(blake3(key.encode()).digest(length=2), "big") % BUCKETS


def entry_hash(key: str, value: bytes) -> int:
    """One entry's part of the digest."""
    name = key.encode()
    return int.from_bytes(blake3(b"%d:%s" % (len(name), name) + value).digest(length=DIGEST_BYTES), "big")


def check_change(change: Change) -> None:
    """Bounds that hold for every change, whatever its keys mean; `DocumentError`."""
    if len(change.id) != 16:
        raise DocumentError("a change's id has 16 bytes")
    if not change.sets and not change.removes:
        raise DocumentError("the change is empty, wanted: an entry to set or to remove")
    if both := sorted(set(change.sets) & set(change.removes)):
        raise DocumentError(f"{both[0]!r} is both set and removed, allowed: one of them")
    if len(set(change.removes)) != len(change.removes):
        raise DocumentError("a key is removed twice, allowed: once")
    size = 0
    for key in change.touched():
        value = change.sets.get(key, b"")
        size += len(key.encode()) + len(value)
        if not key or len(key.encode()) > KEY_MOST:
            raise DocumentError(f"the key {key[:40]!r} is empty or too long, allowed: 1 to {KEY_MOST} bytes")
        if len(value) > VALUE_MOST:
            raise DocumentError(f"{key!r} has {len(value)} bytes, allowed: up to {VALUE_MOST}")
    if size > CHANGE_MOST:
        raise DocumentError(f"the change has {size} bytes, allowed: up to {CHANGE_MOST}")


class Document:
    """One revision of the document, which commits and deltas move on in place, and the commits before it."""

    def __init__(self, history_most: int = HISTORY_MOST) -> None:
        self.revision = 0
        self.token = 0  # of the revision's commit
        self.history_most = history_most
        self.history: deque[Past] = deque()
        self.count = self.size = 0  # entries, and bytes of their keys and values
        self._buckets: list[dict[str, bytes]] = [{} for _ in range(BUCKETS)]
        self._sums = [0] * BUCKETS
        self._total = 0
        self._by_id: dict[bytes, int] = {}

    def get(self, key: str) -> bytes | None:
        """An entry's value, or None."""
        return self._buckets[bucket_of(key)].get(key)

    def items(self) -> Iterator[tuple[str, bytes]]:
        """All entries, in no order."""
        for bucket in self._buckets:
            yield from bucket.items()

    @property
    def digest(self) -> bytes:
        """Of all entries."""
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
        """The same entries, revision and token without the history: a snapshot to serve or to build on."""
        made = Document(self.history_most)
        made.revision, made.token = self.revision, self.token
        made.count, made.size = self.count, self.size
        made._buckets = [dict(bucket) for bucket in self._buckets]
        made._sums, made._total = list(self._sums), self._total
        return made

    def _put(self, key: str, value: bytes | None) -> bytes | None:
        """Set or remove one entry; what it was."""
        number = bucket_of(key)
        bucket = self._buckets[number]
        old = bucket.get(key)
        moved = 0
        if old is not None:
            moved -= entry_hash(key, old)
            self.count -= 1
            self.size -= len(key.encode()) + len(old)
            del bucket[key]
        if value is not None:
            moved += entry_hash(key, value)
            self.count += 1
            self.size += len(key.encode()) + len(value)
            bucket[key] = value
        self._sums[number] = (self._sums[number] + moved) % MODULUS
        self._total = (self._total + moved) % MODULUS
        return old

    def _write(self, sets: Mapping[str, bytes], removes: Iterable[str]) -> dict[str, bytes | None]:
        before: dict[str, bytes | None] = {}
        for key in removes:
            before.setdefault(key, self._put(key, None))  # the first counts, where a key comes twice
        for key, value in sets.items():
            before.setdefault(key, self._put(key, value))
        return before

    def found(self, change_id: bytes) -> int | None:
        """The revision that a change became, as far back as the history goes."""
        return self._by_id.get(change_id)

    def conflict(self, change: Change) -> Commit | None:
        """The latest commit after the change's base that touches one of its keys: the change lost to it.

        `DocumentError` if its base is from the future or older than the history.
        """
        if change.base > self.revision:
            raise DocumentError(f"the change is based on revision {change.base}, the last is {self.revision}")
        if change.base < self.oldest():
            raise DocumentError(
                f"the change is based on revision {change.base}, older than is "
                f"remembered ({self.oldest()}): look again"
            )
        keys = change.touched()
        for past in reversed(self.history):
            if past.commit.revision <= change.base:
                break
            if keys & past.commit.change.touched():
                return past.commit
        return None

    def oldest(self) -> int:
        """The oldest revision that a difference can begin from."""
        return self.history[0].commit.revision - 1 if self.history else self.revision

    def digest_after(self, change: Change) -> bytes:
        """The digest that a change would make."""
        total = self._total
        for key in change.removes:
            if (old := self.get(key)) is not None:
                total -= entry_hash(key, old)
        for key, value in change.sets.items():
            if (old := self.get(key)) is not None:
                total -= entry_hash(key, old)
            total += entry_hash(key, value)
        return (total % MODULUS).to_bytes(DIGEST_BYTES, "big")

    def commit(self, commit: Commit) -> None:
        """Move on by one revision; `DocumentError`, and nothing changed, if it is not the next one or its
        digest is not what comes of it."""
        if commit.revision != self.revision + 1:
            raise DocumentError(f"revision {commit.revision} does not follow {self.revision}")
        if commit.token < self.token:
            raise DocumentError(f"token {commit.token} is below {self.token}")
        if self.digest_after(commit.change) != commit.digest:
            raise DocumentError(f"revision {commit.revision} has another digest than what comes of it")
        before = self._write(commit.change.sets, commit.change.removes)
        self.revision, self.token = commit.revision, commit.token
        self.history.append(Past(commit, before))
        self._by_id[commit.change.id] = commit.revision
        while len(self.history) > self.history_most:
            self._by_id.pop(self.history.popleft().commit.change.id, None)

    def commits(self, since: int) -> list[Commit] | None:
        """The commits after a revision, in order; None where the history does not go back so far."""
        if not self.oldest() <= since <= self.revision:
            return None
        behind = self.revision - since
        return [self.history[at].commit for at in range(len(self.history) - behind, len(self.history))]

    def delta(self, since: int) -> Delta | None:
        """What differs from an earlier revision, or None where the history does not go back so far."""
        commits = self.commits(since)
        if commits is None:
            return None
        touched: dict[str, None] = {}
        for commit in commits:
            touched |= dict.fromkeys(commit.change.sets) | dict.fromkeys(commit.change.removes)
        now = {key: self.get(key) for key in touched}
        return Delta(
            since,
            self.revision,
            self.token,
            {k: v for k, v in now.items() if v is not None},
            tuple(k for k, v in now.items() if v is None),
            self.digest,
        )

    def apply(self, delta: Delta) -> None:
        """Move on by a delta; `DocumentError`, and nothing changed, if it begins elsewhere, does not lead
        forward or makes another digest. The history is lost with it, as followers need none."""
        if delta.since != self.revision or delta.revision <= self.revision or delta.token < self.token:
            raise DocumentError(
                f"a difference from {delta.since} to {delta.revision} (token {delta.token}) "
                f"does not lead on from {self.revision} (token {self.token})"
            )
        before = self._write(delta.sets, delta.removes)
        if self.digest != delta.digest:
            self._write(
                {k: v for k, v in before.items() if v is not None},
                [k for k, v in before.items() if v is None],
            )
            raise DocumentError(f"revision {delta.revision} has another digest than comes of the difference")
        self.revision, self.token = delta.revision, delta.token
        self.history.clear()
        self._by_id.clear()

    def edits_to_restore(self, revision: int) -> tuple[dict[str, bytes], tuple[str, ...]]:
        """What to set and to remove so that the entries are those of an earlier revision; `DocumentError`
        where the history does not go back so far."""
        if not self.oldest() <= revision <= self.revision:
            raise DocumentError(
                f"revision {revision} is not remembered, allowed: {self.oldest()} to " f"{self.revision}"
            )
        then: dict[str, bytes | None] = {}
        for past in reversed(self.history):
            if past.commit.revision <= revision:
                break
            then |= past.before
        now = {key: self.get(key) for key in then}
        return (
            {k: v for k, v in then.items() if v is not None and v != now[k]},
            tuple(sorted(k for k, v in then.items() if v is None and now[k] is not None)),
        )

    @classmethod
    def whole(
        cls,
        revision: int,
        token: int,
        entries: Iterable[tuple[str, bytes]],
        digest: bytes,
        history_most: int = HISTORY_MOST,
    ) -> Document:
        """A document of all its entries; `DocumentError` if its digest is another."""
        made = cls(history_most)
        for key, value in entries:
            made._put(key, value)
        if made.digest != digest:
            raise DocumentError(f"revision {revision} has another digest than its {made.count} entries")
        made.revision, made.token = revision, token
        return made
