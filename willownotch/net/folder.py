"""Opens the state folder: the journal and the body store, which share one limit on disk space."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from willownotch.bodies.settings import BodiesSettings
from willownotch.bodies.store import Bodies
from willownotch.files.layer import Files
from willownotch.files.space import Space
from willownotch.interface import MessageClass
from willownotch.journal.records import BodyMoved, Entry
from willownotch.net.clock import Clock
from willownotch.net.journal import Journal
from willownotch.net.log import Log


def open_folder(
    folder: Path,
    disk_bytes: int,
    files: Files,
    clock: Clock,
    log: Log,
    classes: Iterable[MessageClass],
    settings: BodiesSettings,
    memory_mb: float = 192.0,
    live: dict[str, Entry] | None = None,
    finished: Iterable[str] = (),
) -> tuple[Journal, Bodies, list[str]]:
    """The journal and the body store, and the ids of messages whose body was not found.

    `live` is the journal's content as another process handed it over, and `finished` the ids that it knows to
    have ended; nothing is read then. Raises `OSError`.
    """
    space = Space(disk_bytes, settings.journal_share)
    journal = Journal(folder, space, files)
    try:
        if live is None:
            journal.open(clock.now())
        else:
            journal.adopt(live, finished)
        bodies = Bodies(folder, files, space, clock, log, classes, settings, memory_mb)
        lost = bodies.open([entry.message for entry in journal.live.values() if entry.ended is None])
    except OSError:
        journal.close()
        raise
    journal.bodies, bodies.place_of, bodies.compact_journal = bodies, journal.place_of, journal.compact
    bodies.moved = lambda ref, place: journal.append([BodyMoved(ref, place)])
    return journal, bodies, lost
