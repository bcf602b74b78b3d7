"""The `bodies` block of the settings file."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import Annotated

import msgspec

from willownotch.interface import Idempotency
from willownotch.settings.types import ChoiceType, DurationType, Flag, NamedBlocks, ShareType, SizeType, YesNo

WRITE_PATIENCE_RANGE = (
    timedelta(milliseconds=10),
    timedelta(milliseconds=250),  # a client waits 400 ms for its answer
)


class AtLimit(Enum):
    """What happens to a hand-in whose body finds no room."""

    REFUSE = "refuse"  # rejected, to be retried by the client
    ONE_TRY = "one-try"  # accepted, its body in memory for one relay and stored nowhere


class ClassBodies(msgspec.Struct, frozen=True):
    """How the bodies of one class are treated. Defaults depend on the class's idempotency."""

    share: Annotated[float, ShareType()] | None = None  # of the bodies' room, reserved for the class
    at_limit: Annotated[AtLimit, ChoiceType(AtLimit)] | None = None
    drop: YesNo | None = None  # whether a message may be ended to make room for one that is worth more


class BodiesSettings(msgspec.Struct, frozen=True):
    """All settings, with defaults for the smallest platform."""

    memory: Annotated[int, SizeType(0, 10**12)] | None = None  # bytes; default: a share of the machine's
    memory_low: Annotated[float, ShareType()] = 0.75  # of memory: below it, bodies are cached again
    inline: Annotated[int, SizeType(0, 64 * 1024)] = 2048  # largest body stored in its journal record
    inline_low: Annotated[int, SizeType(0, 64 * 1024)] = 256  # the same while memory is used up
    segment: Annotated[int, SizeType(4096, 10**9)] | None = None  # bytes of a file; default: a share of disk
    journal_share: Annotated[float, ShareType(0.05, 0.9)] = 0.25  # of disk_mb, which bodies never use
    disk_low: Annotated[float, ShareType()] = 0.85  # of the bodies' room: below it, bodies are stored again
    destination_share: Annotated[float, ShareType(0.01)] = 0.5  # of the room, for one destination
    reclaim: Annotated[float, ShareType(0.05)] = 0.5  # dead share from which files are reclaimed
    write_patience: Annotated[timedelta, DurationType(*WRITE_PATIENCE_RANGE)] = timedelta(milliseconds=200)
    come_back: Annotated[timedelta, DurationType(timedelta(0), timedelta(hours=1))] = timedelta(
        milliseconds=500
    )
    class_: Annotated[dict[str, ClassBodies], NamedBlocks(ClassBodies)] = {}

    def faults(self) -> list[tuple[str, str]]:
        """Return contradictions between the settings, as pairs of field and text."""
        found = []
        if sum(c.share or 0.0 for c in self.class_.values()) > 1.0:
            found.append(("class_", "the shares of all classes are over 100% together, allowed: 100%"))
        if self.inline_low > self.inline:
            found.append(("inline_low", f"'inline-low' is above 'inline', allowed: up to {self.inline}B"))
        return found


def for_class(settings: BodiesSettings, name: str, idempotency: Idempotency) -> ClassBodies:
    """Return a class's treatment with defaults filled in.

    Unless the settings say otherwise, only messages that can safely be repeated are dropped.
    """
    own = settings.class_.get(name, ClassBodies())
    safe = idempotency is Idempotency.SAFE
    return ClassBodies(
        share=own.share if own.share is not None else 0.0 if safe else 0.2,
        at_limit=own.at_limit or (AtLimit.ONE_TRY if safe else AtLimit.REFUSE),
        drop=own.drop if own.drop is not None else Flag.YES if safe else Flag.NO,
    )
