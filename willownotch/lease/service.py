"""Duties in a running sender: grants and fences in the folder, acts done and taken, what operators ask.

The membership's thread runs the core under its lock. A grant is in the folder before it is answered; the
file is small, and written anew in one step each time, so that it is whole or the one before."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from random import Random

import msgspec

from willownotch.files.layer import Files
from willownotch.lease.core import Duties, Stage
from willownotch.lease.settings import LeaseSettings

NAME, NEW_NAME = "duties", "duties.new"
LAST_ACTS = 16  # of each duty that are shown


class StoredGrant(msgspec.Struct, frozen=True, array_like=True):
    """What the folder has of a duty: a grant, or a fence where there is no holder."""

    duty: str
    token: int
    holder: str
    uid: int


class ActView(msgspec.Struct, frozen=True):
    """An act that was taken here."""

    token: int
    source: str
    ago_s: float
    body: str


class DutyView(msgspec.Struct, frozen=True):
    """A duty, as this sender knows it."""

    duty: str
    holder: str  # empty: nobody is known to hold it
    token: int  # the highest that is known
    left_s: float  # of the holder's lease, as last heard
    here: str  # how far this sender has come with it
    acts: int  # done by this sender
    taken: int
    refused: int
    last: tuple[ActView, ...]


class LeaseView(msgspec.Struct, frozen=True):
    """All duties."""

    name: str
    electors: tuple[str, ...]
    span_s: float
    duties: tuple[DutyView, ...]


class Leases:
    """The duties of one sender. `lock` is the membership's, set before it is started."""

    def __init__(
        self,
        settings: LeaseSettings,
        name: str,
        uid: int,
        folder: Path,
        files: Files,
        now: float,
        random: Random,
        say: Callable[[str], None],
    ) -> None:
        self.settings, self.name, self.files, self.say = settings, name, files, say
        self.folder, self.path, self.lock = folder, folder / NAME, threading.Lock()
        self.kept: dict[tuple[str, bool], StoredGrant] = {}
        self.layer = Duties(name, uid, settings, now, random, self._keep, self._took)
        self.act_handlers: dict[str, Callable[[bytes], None]] = {}  # on an act, by its first word
        self._last: dict[str, deque[tuple[float, int, str, bytes]]] = {}
        self._read()

    def _read(self) -> None:
        try:
            found = msgspec.msgpack.decode(self.files.read_whole(self.path), type=list[StoredGrant])
        except FileNotFoundError:
            return
        except (OSError, msgspec.DecodeError) as fault:
            # As if it were new: nothing is granted for a lease's span, and fences are learnt anew.
            return self.say(f"what was granted before cannot be read: {fault}")
        for kept in found:
            self.kept[kept.duty, bool(kept.holder)] = kept
            self.layer.restore(kept.duty, kept.token, kept.holder, kept.uid)

    def _keep(self, duty: str, token: int, holder: str, uid: int) -> bool:
        key, kept = (duty, bool(holder)), StoredGrant(duty, token, holder, uid)
        fresh = {**self.kept, key: kept}
        try:
            new = self.folder / NEW_NAME
            file = self.files.create(new)
            try:
                self.files.append_all(file, msgspec.msgpack.encode(list(fresh.values())))
            finally:
                self.files.close(file)
            self.files.replace(new, self.path)
        except OSError as fault:
            self.say(f"a grant of {duty} was not given, since it could not be kept: {fault}")
            return False
        self.kept = fresh
        return True

    def _took(self, duty: str, token: int, source: str, body: bytes) -> None:
        line = self._last.setdefault(duty, deque(maxlen=LAST_ACTS))
        line.append((time.monotonic(), token, source, body))
        word = body.partition(b" ")[0].decode("ascii", "replace")
        if word in self.act_handlers:
            self.act_handlers[word](body.partition(b" ")[2])

    def before(self, now: float) -> None:
        """Say what became of duties here."""
        while self.layer.news:
            self.say(self.layer.news.pop(0))

    def holds(self, duty: str) -> bool:
        """Whether this sender may act on a duty at this moment; any thread."""
        with self.lock:
            return self.layer.token(duty, time.monotonic()) is not None

    def act(self, duty: str, body: bytes) -> bool:
        """Do something everywhere under a duty; False if it is not held here. Any thread."""
        with self.lock:
            return self.layer.act(time.monotonic(), duty, body) is not None

    def reload(self, settings: LeaseSettings) -> None:
        """Take other settings, under the lock."""
        self.settings = settings
        self.layer.configure(settings)

    def view(self) -> LeaseView:
        """For who asks."""
        with self.lock:
            now, found = time.monotonic(), []
            for name, duty in sorted(self.layer.duties.items()):
                alive = duty.holder and now < duty.holder_until
                last = tuple(
                    ActView(token, source, round(now - at, 3), body.decode("ascii", "replace"))
                    for at, token, source, body in self._last.get(name, ())
                )
                here = duty.stage.value
                if duty.stage is Stage.HELD and self.layer.token(name, now) is None:
                    here = "lapsed"  # its own clock says so, and the next tick will
                found.append(
                    DutyView(
                        name,
                        duty.holder if alive else "",
                        max(duty.highest, duty.fence, duty.token),
                        round(max(0.0, duty.holder_until - now), 3) if alive else 0.0,
                        here,
                        duty.acts,
                        duty.taken,
                        duty.refused,
                        last,
                    )
                )
            return LeaseView(
                self.name, self.settings.electors, self.settings.span.total_seconds(), tuple(found)
            )
