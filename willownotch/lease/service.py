"""Duties in a running sender: stores grants and fences in the folder, performs and records acts, and shows
the state to operators.

The membership's thread runs the core under its lock. A grant is stored before it is answered. The file is
small and replaced as a whole each time, so that it always has either the old or the new content."""

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
MAX_SHOWN_ACTS = 16  # the latest ones of each duty


class StoredGrant(msgspec.Struct, frozen=True, array_like=True):
    """A stored grant, or a fence (a lowest token) if `holder` is empty."""

    duty: str
    token: int
    holder: str
    uid: int


class ActView(msgspec.Struct, frozen=True):
    """An act that was accepted here."""

    token: int
    source: str
    ago_s: float
    body: str


class DutyView(msgspec.Struct, frozen=True):
    """A duty as this sender knows it."""

    duty: str
    holder: str  # empty if none is known
    token: int  # the highest known
    left_s: float  # of the holder's lease, as last reported
    here: str  # this sender's stage for the duty
    acts: int  # performed by this sender
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
    """The duties of one sender. `lock` is replaced by the membership's before that is started."""

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
        self.stored: dict[tuple[str, bool], StoredGrant] = {}
        self.layer = Duties(name, uid, settings, now, random, self._store, self._record_act)
        self.act_handlers: dict[str, Callable[[bytes], None]] = {}  # by an act's first word
        self._last_acts: dict[str, deque[tuple[float, int, str, bytes]]] = {}
        self._load()

    def _load(self) -> None:
        try:
            found = msgspec.msgpack.decode(self.files.read_whole(self.path), type=list[StoredGrant])
        except FileNotFoundError:
            return
        except (OSError, msgspec.DecodeError) as fault:
            # Safe to go on as with a new folder: nothing is granted for one span, and fences are relearned.
            return self.say(f"stored grants cannot be read: {fault}")
        for grant in found:
            self.stored[grant.duty, bool(grant.holder)] = grant
            self.layer.restore(grant.duty, grant.token, grant.holder, grant.uid)

    def _store(self, duty: str, token: int, holder: str, uid: int) -> bool:
        """Writes a grant or fence to the folder; False if that failed."""
        key, grant = (duty, bool(holder)), StoredGrant(duty, token, holder, uid)
        fresh = {**self.stored, key: grant}
        try:
            new = self.folder / NEW_NAME
            file = self.files.create(new)
            try:
                self.files.append_all(file, msgspec.msgpack.encode(list(fresh.values())))
            finally:
                self.files.close(file)
            self.files.replace(new, self.path)
        except OSError as fault:
            self.say(f"a grant of {duty} was refused, as it could not be stored: {fault}")
            return False
        self.stored = fresh
        return True

    def _record_act(self, duty: str, token: int, source: str, body: bytes) -> None:
        """Keeps an accepted act for `view`, and calls the handler of its first word."""
        line = self._last_acts.setdefault(duty, deque(maxlen=MAX_SHOWN_ACTS))
        line.append((time.monotonic(), token, source, body))
        word = body.partition(b" ")[0].decode("ascii", "replace")
        if word in self.act_handlers:
            self.act_handlers[word](body.partition(b" ")[2])

    def before(self, now: float) -> None:
        """Logs what has changed since the last round."""
        while self.layer.log_lines:
            self.say(self.layer.log_lines.pop(0))

    def holds(self, duty: str) -> bool:
        """Whether this sender may act under the duty now. May be called from any thread."""
        with self.lock:
            return self.layer.token(duty, time.monotonic()) is not None

    def act(self, duty: str, body: bytes) -> bool:
        """Sends an act to all members; False if the duty is not held here. May be called from any thread."""
        with self.lock:
            return self.layer.act(time.monotonic(), duty, body) is not None

    def reload(self, settings: LeaseSettings) -> None:
        """Applies new settings. The caller holds the lock."""
        self.settings = settings
        self.layer.configure(settings)

    def view(self) -> LeaseView:
        """The present state for operators. May be called from any thread."""
        with self.lock:
            now, found = time.monotonic(), []
            for name, duty in sorted(self.layer.duties.items()):
                alive = duty.holder and now < duty.holder_until
                last = tuple(
                    ActView(token, source, round(now - at, 3), body.decode("ascii", "replace"))
                    for at, token, source, body in self._last_acts.get(name, ())
                )
                here = duty.stage.value
                if duty.stage is Stage.HELD and self.layer.token(name, now) is None:
                    here = "lapsed"  # the lease has run out, and the next tick will change the stage
                found.append(
                    DutyView(
                        name,
                        duty.holder if alive else "",
                        max(duty.highest, duty.fence, duty.token),
                        round(max(0.0, duty.holder_until - now), 3) if alive else 0.0,
                        here,
                        duty.acts,
                        duty.accepted,
                        duty.refused,
                        last,
                    )
                )
            return LeaseView(
                self.name, self.settings.electors, self.settings.span.total_seconds(), tuple(found)
            )
