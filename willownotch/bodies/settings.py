"""The `bodies` block of the settings file."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import Annotated

import msgspec

from willownotch.interface import Idempotency
from willownotch.settings.types import ChoiceType, DurationType, Flag, NamedBlocks, ShareType, SizeType, YesNo

PATIENCE = timedelta(milliseconds=10), timedelta(milliseconds=250)  # a client waits 400 ms for its answer


class AtLimit(Enum):
    """What becomes of a hand-in whose body finds no room."""

    REFUSE = "refuse"  # a back-off answer: nothing is promised
    ONE_TRY = "one-try"  # taken on, its body in memory for one relay and kept nowhere


class ClassBodies(msgspec.Struct, frozen=True):
    """How one class is treated. What is left out follows from what a repeat of the class does."""

    share: Annotated[float, ShareType()] | None = None  # of the bodies' room: always to be had
    at_limit: Annotated[AtLimit, ChoiceType(AtLimit)] | None = None
    drop: YesNo | None = None  # whether an owed message may end to make room for what is worth more


class BodiesSettings(msgspec.Struct, frozen=True):
    """All that can be set, with defaults for the smallest platform."""

    memory: Annotated[int, SizeType(0, 10**12)] | None = None  # bytes; else a part of the machine's memory
    memory_low: Annotated[float, ShareType()] = 0.75  # of it: below that, bodies stay in memory again
    inline: Annotated[int, SizeType(0, 64 * 1024)] = 2048  # a body up to this stands in its journal record
    inline_low: Annotated[int, SizeType(0, 64 * 1024)] = 256  # the same once memory is used up
    segment: Annotated[int, SizeType(4096, 10**9)] | None = None  # bytes of a file; else a part of the disk
    journal_share: Annotated[float, ShareType(0.05, 0.9)] = 0.25  # of disk_mb that bodies never take
    disk_low: Annotated[float, ShareType()] = 0.85  # of the bodies' room: below that, the last step is left
    destination_share: Annotated[float, ShareType(0.01)] = 0.5  # of the room, for one destination
    reclaim: Annotated[float, ShareType(0.05)] = 0.5  # dead share: from there on files are written anew
    write_patience: Annotated[timedelta, DurationType(*PATIENCE)] = timedelta(milliseconds=200)
    come_back: Annotated[timedelta, DurationType(timedelta(0), timedelta(hours=1))] = timedelta(
        milliseconds=500
    )
    class_: Annotated[dict[str, ClassBodies], NamedBlocks(ClassBodies)] = {}

    def faults(self) -> list[tuple[str, str]]:
        """What does not go together: field and text."""
        found = []
        if sum(c.share or 0.0 for c in self.class_.values()) > 1.0:
            found.append(("class_", "the shares of all classes are over 100% together, allowed: 100%"))
        if self.inline_low > self.inline:
            found.append(("inline_low", f"'inline-low' is above 'inline', allowed: up to {self.inline}B"))
        return found


def for_class(settings: BodiesSettings, name: str, effect: Idempotency) -> ClassBodies:
    """A class's treatment, complete. News that may be repeated gives way; nothing else is dropped unasked."""
    own = settings.class_.get(name, ClassBodies())
    safe = effect is Idempotency.SAFE
    return ClassBodies(
        share=own.share if own.share is not None else 0.0 if safe else 0.2,
        at_limit=own.at_limit or (AtLimit.ONE_TRY if safe else AtLimit.REFUSE),
        drop=own.drop if own.drop is not None else Flag.YES if safe else Flag.NO,
    )
