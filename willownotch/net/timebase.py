"""The times of one process as the next one reads them, whatever was done to the wall clock in between.

Journal records hold dates. A process counts them on the monotonic clock from one reading of the wall clock,
its origin. The origin stands in a file of the folder that lasts, with the id of the boot: a later process of
the same boot goes on from it, and a step of the wall clock between the two changes no span. Over a reboot, or
where the two cannot belong together, the wall clock is read anew.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path

import msgspec

from willownotch.files.layer import Files
from willownotch.files.replacing import replace_file
from willownotch.net.clock import Clock, seconds
from willownotch.net.log import Log

NAME = "clock"
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
STEP_TOLD = timedelta(seconds=1)  # a difference to the wall clock that is worth a line
WRITE_AGAIN = timedelta(seconds=1)


class Origin(msgspec.Struct, frozen=True):
    """A time, and what the monotonic clock of a boot said then, in seconds."""

    boot: str
    time: datetime
    monotonic_s: float


def read_boot_id() -> str:
    """The kernel's name for this boot; empty where it has none, and then nothing is carried on."""
    try:
        return BOOT_ID.read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        return ""


def read_origin(files: Files, folder: Path) -> Origin | None:
    """What the process before wrote; None if it wrote nothing that can be used. `OSError` if that is not
    known."""
    try:
        return msgspec.json.decode(files.read_whole(folder / NAME), type=Origin)
    except FileNotFoundError:
        return None
    except msgspec.DecodeError:
        return None


def continues(origin: Origin | None, boot: str, monotonic_s: float) -> bool:
    """Whether times may be counted on from there: in the same boot, whose clock has gone on since."""
    return origin is not None and bool(boot) and origin.boot == boot and origin.monotonic_s <= monotonic_s


def restore_early(clock: Clock, folder: Path, files: Files) -> None:
    """The same as `restore` where the origin can be read at once, before anything has counted by the clock.

    The folder may be another process's still: its origin is the same for all processes of a boot.
    """
    try:
        found = read_origin(files, folder)
    except OSError:
        return  # `restore` tries it again
    _go_on(clock, found)


def _go_on(clock: Clock, origin: Origin | None) -> bool:
    """Have a clock go on from there if it may; whether it does."""
    if not continues(origin, read_boot_id(), time.monotonic()):
        return False
    clock.adopt((origin.time, origin.monotonic_s))
    return True


def restore(clock: Clock, folder: Path, files: Files, log: Log) -> Callable[[], None] | None:
    """Have a clock go on from the origin in the folder, or else put its own there.

    What has still to be done where the file could not be written, for a thread; `OSError` if it could not be
    read.
    """
    found = read_origin(files, folder)
    if _go_on(clock, found):
        step = datetime.now(UTC) - clock.now()
        if abs(step) >= STEP_TOLD:
            log.say(
                "clock",
                f"the wall clock was stepped by {seconds(step):+.0f} s since the first process "
                "of this boot: times go on by the monotonic clock",
            )
        return None
    if found is not None:
        log.say("clock", "another boot than the process before: times go on by the wall clock")
    return keep(clock, folder, files, log)


def keep(clock: Clock, folder: Path, files: Files, log: Log) -> Callable[[], None] | None:
    """Put a clock's origin into the folder. What has still to be done if that failed, for a thread."""
    began, monotonic_s = clock.origin()
    data = msgspec.json.encode(Origin(read_boot_id(), began, monotonic_s))

    def write() -> bool:
        try:
            replace_file(files, folder / NAME, data)
        except OSError as fault:
            log.say("clock", f"the origin of times could not be written, tried again: {fault}")
            return False
        return True

    def write_later() -> None:
        pause = threading.Event()  # never set: a wait of a moment
        while not write():
            pause.wait(seconds(WRITE_AGAIN))

    return None if write() else write_later
