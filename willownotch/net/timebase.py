"""Keeps the clock's origin in the state folder, so that the next process counts the same times.

Journal records hold dates. A process counts them on the monotonic clock from one reading of the wall clock,
its origin. The origin is kept in a file with the id of the boot: a later process of the same boot continues
from it, so a step of the wall clock between the two changes no duration. After a reboot, or where the file
does not fit the running clock, the wall clock is read again.
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
from willownotch.json_text import decode_json
from willownotch.net.clock import Clock, seconds
from willownotch.net.log import Log

NAME = "clock"
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
ORIGIN_YEARS = range(1970, 9000)  # what is added to a later origin may be beyond all dates
MIN_LOGGED_STEP = timedelta(seconds=1)  # a smaller difference to the wall clock is not logged
WRITE_RETRY_DELAY = timedelta(seconds=1)


class Origin(msgspec.Struct, frozen=True):
    """A time, and the monotonic clock's seconds at that time in the boot with this id."""

    boot: str
    time: datetime
    monotonic_s: float


def read_boot_id() -> str:
    """The kernel's id of this boot; empty if there is none, and then no origin is continued."""
    try:
        return BOOT_ID.read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        return ""


def read_origin(files: Files, folder: Path) -> Origin | None:
    """The origin that the previous process wrote; None if there is none that can be used.

    Raises `OSError` if the file cannot be read.
    """
    try:
        return decode_json(files.read_whole(folder / NAME), Origin)
    except FileNotFoundError:
        return None
    except msgspec.DecodeError:
        return None


def continues(origin: Origin | None, boot: str, monotonic_s: float) -> bool:
    """Whether times may be counted from `origin`: it is of this boot, and not ahead of its clock."""
    if origin is None or not boot or origin.boot != boot:
        return False
    sound = origin.time.tzinfo is not None and origin.time.year in ORIGIN_YEARS
    return sound and 0.0 <= origin.monotonic_s <= monotonic_s


def restore_early(clock: Clock, folder: Path, files: Files) -> None:
    """`restore` before anything has used the clock, if the origin can be read at once.

    Another process may still hold the folder: its origin is the same for all processes of a boot.
    """
    try:
        found = read_origin(files, folder)
    except OSError:
        return  # `restore` reads it again
    _continue_from(clock, found)


def _continue_from(clock: Clock, origin: Origin | None) -> bool:
    """Have the clock count from `origin` if that is valid; whether it is."""
    if not continues(origin, read_boot_id(), time.monotonic()):
        return False
    clock.adopt((origin.time, origin.monotonic_s))
    return True


def restore(clock: Clock, folder: Path, files: Files, log: Log) -> Callable[[], None] | None:
    """Have the clock count from the origin in the folder, or else write the clock's own origin there.

    Returns work for a thread if the origin could not be written. Raises `OSError` if it could not be read.
    """
    found = read_origin(files, folder)
    if _continue_from(clock, found):
        step = datetime.now(UTC) - clock.now()
        if abs(step) >= MIN_LOGGED_STEP:
            log.say(
                "clock",
                f"the wall clock was stepped by {seconds(step):+.0f} s since the first process "
                "of this boot: times continue on the monotonic clock",
            )
        return None
    if found is not None:
        log.say("clock", "the machine has rebooted since the last process: times continue on the wall clock")
    return keep(clock, folder, files, log)


def keep(clock: Clock, folder: Path, files: Files, log: Log) -> Callable[[], None] | None:
    """Write the clock's origin into the folder. Returns work for a thread if that failed: it tries again."""
    began, monotonic_s = clock.origin()
    data = msgspec.json.encode(Origin(read_boot_id(), began, monotonic_s))

    def write() -> bool:
        try:
            replace_file(files, folder / NAME, data)
        except OSError as fault:
            log.say("clock", f"cannot write the clock's origin, will retry: {fault}")
            return False
        return True

    def write_later() -> None:
        pause = threading.Event()  # never set: used to sleep
        while not write():
            pause.wait(seconds(WRITE_RETRY_DELAY))

    return None if write() else write_later
