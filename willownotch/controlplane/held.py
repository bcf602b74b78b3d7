"""What a follower holds: a document, and what it was at the revision that is in force. No I/O.

A revision is held (whole and checked) before it is applied; one that cannot be applied is held all the same,
since the next one builds on it. So the steps since the one in force are kept, and the entries in force are
always told from those held: a restarted follower begins with the former.

In the folder: `More` records and the `Step` that ends them are one step; `InForce` says that a revision is
applied. Records are msgpack, tagged.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from willownotch.controlplane.document import Delta, Document, DocumentError

RECORD = 128 * 1024  # bytes of entries in one record
STEPS_MOST = 256  # that are kept apart while nothing new comes in force; then the oldest are joined


class More(msgspec.Struct, tag=95, frozen=True, array_like=True):
    """Entries of the step that a later record ends."""

    sets: dict[str, bytes]
    removes: tuple[str, ...]


class Step(msgspec.Struct, tag=96, frozen=True, array_like=True):
    """The last part of a step; its digest is that of the whole."""

    delta: Delta


class InForce(msgspec.Struct, tag=97, frozen=True, array_like=True):
    """A revision is applied."""

    revision: int


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(More | Step | InForce).decode


@dataclass(slots=True)
class Moved:
    """A step that was taken, and what its keys had before it."""

    revision: int
    token: int
    digest: bytes
    before: dict[str, bytes | None]


def records_of(delta: Delta) -> list[bytes]:
    """A step as records of bounded size."""
    parts, sets, size = [], {}, 0
    for key, value in delta.sets.items():
        if size > RECORD:
            parts.append(encode(More(sets, ())))
            sets, size = {}, 0
        sets[key] = value
        size += len(key) + len(value) + 8
    removes = delta.removes
    while len(removes) > 2000:
        parts.append(encode(More({}, removes[:2000])))
        removes = removes[2000:]
    return [*parts, encode(Step(msgspec.structs.replace(delta, sets=sets, removes=removes)))]


class HeldDocument:
    """A follower's document with the steps that are not in force yet."""

    def __init__(self) -> None:
        self.document = Document()
        self.in_force = 0  # a revision; 0: none is
        self.steps: deque[Moved] = deque()
        self._token_in_force, self._digest_in_force = 0, self.document.digest

    def lead(self, delta: Delta) -> None:
        """Move on by a difference that begins at the revision held or before it; `DocumentError`, and nothing
        changed, if it does not lead forward or its digest is wrong.

        A difference from an earlier revision has the last value of all that was touched since, so it may be
        applied to any revision between.
        """
        document = self.document
        if delta.since > document.revision:
            raise DocumentError(f"a difference from {delta.since} does not begin at {document.revision}")
        before = {key: document.get(key) for key in (*delta.sets, *delta.removes)}
        document.apply(msgspec.structs.replace(delta, since=document.revision))
        before = {key: value for key, value in before.items() if value != document.get(key)}
        self.steps.append(Moved(document.revision, document.token, document.digest, before))
        if len(self.steps) > STEPS_MOST:
            first = self.steps.popleft()
            self.steps[0].before |= first.before

    def applied(self, revision: int) -> None:
        """A revision that was held is in force, not older than the one before; `ValueError`."""
        if revision == self.in_force:
            return
        if revision not in [step.revision for step in self.steps]:
            raise ValueError(f"revision {revision} cannot come in force: it is not held")
        while self.in_force < revision:
            step = self.steps.popleft()
            self.in_force, self._token_in_force = step.revision, step.token
            self._digest_in_force = step.digest

    def changed(self) -> frozenset[str]:
        """Keys that may differ between what is held and what is in force."""
        return frozenset(key for step in self.steps for key in step.before)

    def entries_in_force(self) -> Iterator[tuple[str, bytes]]:
        """All entries as they are in force."""
        then = self._then()
        for key, value in self.document.items():
            if key not in then:
                yield key, value
        yield from ((key, value) for key, value in then.items() if value is not None)

    def get_in_force(self, key: str) -> bytes | None:
        """An entry as it is in force."""
        for step in self.steps:
            if key in step.before:
                return step.before[key]
        return self.document.get(key)

    def _then(self) -> dict[str, bytes | None]:
        then: dict[str, bytes | None] = {}
        for step in reversed(self.steps):
            then |= step.before
        return then

    def records(self) -> list[bytes]:
        """All of it anew, for a folder that is worth rewriting: what is in force, then what is held."""
        if not self.steps:
            whole = Delta(
                0,
                self.document.revision,
                self.document.token,
                dict(self.document.items()),
                (),
                self.document.digest,
            )
            return [*records_of(whole), encode(InForce(self.in_force))] if self.document.revision else []
        found = []
        if self.in_force:
            then = dict(self.entries_in_force())
            found += records_of(
                Delta(0, self.in_force, self._token_in_force, then, (), self._digest_in_force)
            )
            found.append(encode(InForce(self.in_force)))
        now = {key: self.document.get(key) for key in self._then()}
        last = Delta(
            self.in_force,
            self.document.revision,
            self.document.token,
            {key: value for key, value in now.items() if value is not None},
            tuple(key for key, value in now.items() if value is None),
            self.document.digest,
        )
        return found + records_of(last)

    @classmethod
    def restored(cls, records: Iterable[bytes]) -> HeldDocument:
        """What the folder has; `ValueError` if records do not make one whole."""
        made = cls()
        sets: dict[str, bytes] = {}
        removes: list[str] = []
        for data in records:
            try:
                record = decode(data)
            except (msgspec.DecodeError, UnicodeDecodeError) as fault:
                raise ValueError(f"a record of the folder cannot be read: {fault}") from None
            if isinstance(record, More):
                sets |= record.sets
                removes += record.removes
            elif isinstance(record, Step):
                delta = record.delta
                made.lead(
                    msgspec.structs.replace(delta, sets=sets | delta.sets, removes=(*removes, *delta.removes))
                )
                sets, removes = {}, []
            else:
                made.applied(record.revision)
        return made
