"""A follower's stored document, and what it was at the revision in force. No I/O.

A revision is held (complete and checked) before it is applied. One that cannot be applied is held as well,
since the next one builds on it. So the steps after the revision in force are kept, and the entries in force
are computed from them: a restarted follower begins with those.

In the folder, `StepPart` records and the `Step` that ends them are one step; `InForce` marks a revision as
applied. Records are tagged msgpack.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from willownotch.controlplane.document import Delta, Document, DocumentError

RECORD_BYTES = 128 * 1024  # of entries in one record, at most plus one entry
MAX_STEPS = 256  # kept apart while no revision comes in force; beyond it the oldest two are joined


class StepPart(msgspec.Struct, tag=95, frozen=True, array_like=True):
    """Some entries of a step whose last record is a `Step`."""

    sets: dict[str, bytes]
    removes: tuple[str, ...]


class Step(msgspec.Struct, tag=96, frozen=True, array_like=True):
    """The last part of a step, with the digest of the document after the whole step."""

    delta: Delta


class InForce(msgspec.Struct, tag=97, frozen=True, array_like=True):
    """A revision was applied."""

    revision: int


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(StepPart | Step | InForce).decode


@dataclass(slots=True)
class HeldStep:
    """A step after the revision in force, with the values that its keys had before it."""

    revision: int
    token: int
    digest: bytes
    previous: dict[str, bytes | None]


def step_records(delta: Delta) -> list[bytes]:
    """Encode a step as records of bounded size."""
    parts, sets, size = [], {}, 0
    for key, value in delta.sets.items():
        if size > RECORD_BYTES:
            parts.append(encode(StepPart(sets, ())))
            sets, size = {}, 0
        sets[key] = value
        size += len(key) + len(value) + 8
    removes = delta.removes
    while len(removes) > 2000:
        parts.append(encode(StepPart({}, removes[:2000])))
        removes = removes[2000:]
    return [*parts, encode(Step(msgspec.structs.replace(delta, sets=sets, removes=removes)))]


class HeldDocument:
    """A follower's document, with the steps that are not in force yet."""

    def __init__(self) -> None:
        self.document = Document()
        self.in_force = 0  # revision; 0 if none is
        self.steps: deque[HeldStep] = deque()
        self._token_in_force, self._digest_in_force = 0, self.document.digest

    def advance(self, delta: Delta) -> None:
        """Apply a difference that begins at the held revision or before it.

        Raises `DocumentError` and changes nothing if it does not lead forward or its digest is wrong. A
        difference from an earlier revision has the last value of every key that changed since, so it may be
        applied to any revision in between.
        """
        document = self.document
        if delta.since > document.revision:
            raise DocumentError(
                f"difference begins at revision {delta.since}, after the held revision {document.revision}"
            )
        previous = {key: document.get(key) for key in (*delta.sets, *delta.removes)}
        document.apply(msgspec.structs.replace(delta, since=document.revision))
        previous = {key: value for key, value in previous.items() if value != document.get(key)}
        self.steps.append(HeldStep(document.revision, document.token, document.digest, previous))
        if len(self.steps) > MAX_STEPS:
            first = self.steps.popleft()
            self.steps[0].previous |= first.previous

    def set_in_force(self, revision: int) -> None:
        """Mark a held revision as in force; `ValueError` if it is not held or older than the one in force."""
        if revision == self.in_force:
            return
        if revision not in [step.revision for step in self.steps]:
            raise ValueError(f"revision {revision} cannot come in force: it is not held")
        while self.in_force < revision:
            step = self.steps.popleft()
            self.in_force, self._token_in_force = step.revision, step.token
            self._digest_in_force = step.digest

    def changed_keys(self) -> frozenset[str]:
        """Keys whose values may differ between the held revision and the one in force."""
        return frozenset(key for step in self.steps for key in step.previous)

    def entries_in_force(self) -> Iterator[tuple[str, bytes]]:
        """All entries of the revision in force."""
        earlier = self._previous_values()
        for key, value in self.document.items():
            if key not in earlier:
                yield key, value
        yield from ((key, value) for key, value in earlier.items() if value is not None)

    def get_in_force(self, key: str) -> bytes | None:
        """The value of a key in the revision in force; None if it has none."""
        for step in self.steps:
            if key in step.previous:
                return step.previous[key]
        return self.document.get(key)

    def _previous_values(self) -> dict[str, bytes | None]:
        earlier: dict[str, bytes | None] = {}
        for step in reversed(self.steps):
            earlier |= step.previous
        return earlier

    def compacted_records(self) -> list[bytes]:
        """All records for a rewritten folder: the revision in force, then the step to the held one."""
        if not self.steps:
            complete = Delta(
                0,
                self.document.revision,
                self.document.token,
                dict(self.document.items()),
                (),
                self.document.digest,
            )
            return [*step_records(complete), encode(InForce(self.in_force))] if self.document.revision else []
        records = []
        if self.in_force:
            earlier = dict(self.entries_in_force())
            records += step_records(
                Delta(0, self.in_force, self._token_in_force, earlier, (), self._digest_in_force)
            )
            records.append(encode(InForce(self.in_force)))
        now = {key: self.document.get(key) for key in self._previous_values()}
        last = Delta(
            self.in_force,
            self.document.revision,
            self.document.token,
            {key: value for key, value in now.items() if value is not None},
            tuple(key for key, value in now.items() if value is None),
            self.document.digest,
        )
        return records + step_records(last)

    @classmethod
    def restored(cls, records: Iterable[bytes]) -> HeldDocument:
        """Rebuild the document from a folder's records; `ValueError` if they cannot be decoded or joined."""
        held = cls()
        sets: dict[str, bytes] = {}
        removes: list[str] = []
        for data in records:
            try:
                record = decode(data)
            except (msgspec.DecodeError, UnicodeDecodeError) as fault:
                raise ValueError(f"record of the follower's folder cannot be read: {fault}") from None
            if isinstance(record, StepPart):
                sets |= record.sets
                removes += record.removes
            elif isinstance(record, Step):
                delta = record.delta
                held.advance(
                    msgspec.structs.replace(delta, sets=sets | delta.sets, removes=(*removes, *delta.removes))
                )
                sets, removes = {}, []
            else:
                held.set_in_force(record.revision)
        return held
