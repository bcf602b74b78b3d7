"""`willownotch bodies FOLDER`: the bodies of a folder by class, destination, step and age. Read-only."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta
from pathlib import Path

import msgspec

from willownotch.bodies.store import PREFIX, checksum
from willownotch.files.space import round_to_blocks
from willownotch.journal.records import AcceptedMessage


class Row(msgspec.Struct):
    """Bodies with the same class, destination and storage; ages in seconds."""

    message_class: str
    destination: int
    step: str
    bodies: int = 0
    bytes: int = 0
    youngest_s: float | None = None
    oldest_s: float | None = None


class FolderSummary(msgspec.Struct):
    """The bodies of a folder.

    `damaged` lists messages whose body is missing, truncated or, if bodies were read, of another checksum.
    """

    rows: list[Row]
    files: int
    files_bytes: int
    live_bytes: int
    damaged: list[str]


def step_of(message: AcceptedMessage) -> str:
    """Return where a body is stored, as far as the folder shows: a cached copy in memory is not seen."""
    if message.unkept:
        return "unkept"
    if message.place is not None or message.legacy_file:
        return "file"
    return "record"


def collect(messages: Iterable[AcceptedMessage], now: datetime) -> list[Row]:
    """Return the rows, largest first."""
    rows: dict[tuple[str, int, str], Row] = {}
    for message in messages:
        step = step_of(message)
        row = rows.setdefault(
            (message.message_class, message.destination, step),
            Row(message.message_class, message.destination, step),
        )
        row.bodies += 1
        row.bytes += message.body_size()
        if message.at is not None:
            age = max(timedelta(0), now - message.at).total_seconds()
            row.youngest_s = min(age, row.youngest_s if row.youngest_s is not None else age)
            row.oldest_s = max(age, row.oldest_s or 0.0)
    return sorted(rows.values(), key=lambda r: (-r.bytes, r.message_class, r.destination, r.step))


def look(folder: Path, messages: list[AcceptedMessage], now: datetime, verify: bool = False) -> FolderSummary:
    """Summarise a folder; with `verify` every body is read and its checksum compared."""
    found = ((f.name[len(PREFIX) :], f) for f in folder.glob(f"{PREFIX}*"))
    files = {int(number): file for number, file in found if number.isdigit()}
    sizes = {number: file.stat().st_size for number, file in files.items()}
    damaged = []
    for message in messages:
        place = message.place
        missing = message.legacy_file and not (folder / message.legacy_file).exists()
        if missing or (place is not None and sizes.get(place.segment, -1) < place.offset + place.size):
            damaged.append(message.ref)
        elif place is not None and verify:
            with files[place.segment].open("rb") as file:
                file.seek(place.offset)
                if checksum(file.read(place.size)) != place.checksum:
                    damaged.append(message.ref)
    live = sum(message.place.size for message in messages if message.place is not None)
    return FolderSummary(
        collect(messages, now), len(files), sum(map(round_to_blocks, sizes.values())), live, damaged
    )


def table(summary: FolderSummary) -> str:
    """Format the summary for people."""
    lines = [f"{'class':<16} {'dest':>6} {'step':<7} {'bodies':>7} {'bytes':>12} {'age':>17}"]
    for row in summary.rows:
        age = "-" if row.oldest_s is None else f"{row.youngest_s:.1f} to {row.oldest_s:.1f} s"
        lines.append(
            f"{row.message_class:<16} {row.destination:>6} {row.step:<7} {row.bodies:>7} "
            f"{row.bytes:>12} {age:>17}"
        )
    lines.append(
        f"{summary.files} files of {summary.files_bytes} bytes, {summary.live_bytes} of them live; "
        f"{len(summary.damaged)} bodies missing or damaged{': ' * bool(summary.damaged)}"
        f"{', '.join(summary.damaged[:20])}"
    )
    return "\n".join(lines)
