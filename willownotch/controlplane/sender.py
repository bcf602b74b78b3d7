"""A sender's side of the control plane: a thread, a UDP socket, the folder, and the way to the settings.

The follower decides; this carries it out. A revision that is offered is laid over the configuration file by
the path that SIGHUP uses, and counts as in force once the owner has taken it in a round of its own. Nothing
of the sender waits for anything here: without a member it goes on with what it has.
"""

from __future__ import annotations

import queue
import secrets
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random

import msgspec

from willownotch.controlplane import wire
from willownotch.controlplane.entries import CONFIG, config_entries, overlay
from willownotch.controlplane.follower import Follower, FollowView
from willownotch.controlplane.held import HeldDocument
from willownotch.controlplane.settings import FollowSettings
from willownotch.controlplane.store import BusyError, Store
from willownotch.files.layer import REAL, Files
from willownotch.net.config import Config, ConfigError, Overlay
from willownotch.peers.keys import load_keys
from willownotch.peers.seal import Seal
from willownotch.peers.transport import Budget
from willownotch.peers.wire import Address

IDLE_S = 1.0  # s between two rounds at the most
FOLDER_S = 0.25  # s between two looks at a folder that another process still has
ROUND_MOST = 64  # datagrams taken before the timers are looked at again
UID_BITS = 48
UNHEARD_S = 30.0  # without a member, and the log says so


def laid(held: HeldDocument) -> Overlay | None:
    """What lies over the file with the revision in force; None if none is."""
    if not held.in_force:
        return None
    entries = config_entries(held.entries_in_force())
    return lambda file: overlay(file, entries)


def stored_overlay(settings: FollowSettings, name: str, files: Files = REAL) -> Overlay | None:
    """The revision that was in force last, as the folder has it, for a start with nobody to ask.

    `ValueError`, `StoreError` or `OSError` if the folder cannot be used. Another process may have it open:
    that one hands over.
    """
    return laid(HeldDocument.restored(Store(Path(settings.folder), files, settings.name or name).peek()))


class FollowerThread:
    """Follows the control plane for a running sender. `lay_over` applies a revision: `Reloads.lay_over`."""

    def __init__(
        self,
        settings: FollowSettings,
        name: str,
        files: Files,
        say: Callable[[str], None],
        lay_over: Callable[[Overlay], Config | None],
        given: Callable[[], bool],
    ) -> None:
        self.settings, self.name, self.say = settings, settings.name or name, say
        self.lay_over, self.given = lay_over, given
        self.store = Store(Path(settings.folder), files, self.name)
        self.held = HeldDocument()
        self.follower: Follower | None = None  # until the folder is open
        self.traffic: Counter[str] = Counter()
        self.lock = threading.Lock()
        uid = secrets.randbits(UID_BITS)
        self.seal = Seal(uid, load_keys(settings.keys), wire.decode, wire.VERSION)
        self.budget = Budget(settings.budget + settings.rate, time.monotonic())
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.sock.bind(settings.listen)
        except OSError:
            self.sock.close()
            raise
        self._uid = uid
        self._taken: queue.SimpleQueue[Config] = queue.SimpleQueue()  # by the owner
        self._waiting: tuple[Config, int] | None = None  # for the owner, and the revision that then holds
        self._followed: str | None = None  # as the log has it
        self._unheard = False
        self._stopping, self._stopped = False, threading.Event()

    def config_applied(self, config: Config) -> None:
        """The owner has taken a configuration; it calls."""
        self._taken.put(config)
        self._wake()

    def _wake(self) -> None:
        """End the wait for datagrams, by one of no bytes."""
        try:
            self.sock.sendto(b"", self.sock.getsockname())
        except OSError:
            pass  # the round ends all the same, a moment later

    def run(self) -> None:
        """Follow until stopped, or until another process has the sender's messages."""
        try:
            self._open()
            while not self._stopping and not self.given():
                self._round()
            if self.follower is not None:
                with self.lock:
                    self._send(self.follower.stop(time.monotonic()))
        finally:
            self.store.close()
            self._stopped.set()

    def _open(self) -> None:
        """Open the folder: at once, or as soon as the process before has let it go."""
        pause = threading.Event()
        while not self._stopping and not self.given():
            try:
                found = self.store.load()
            except BusyError:
                pause.wait(FOLDER_S)
                continue
            self.held = HeldDocument.restored(found)
            self.follower = Follower(
                self.name,
                self._uid,
                self.held,
                self.settings,
                time.monotonic(),
                Random(secrets.randbits(64)),
                self._keep,
            )
            if (behind := laid(self.held)) is not None:
                self.say(f"begins with revision {self.held.in_force} in force")
                try:
                    self.lay_over(behind)  # a process that handed over may have moved on meanwhile
                except ConfigError as fault:
                    self.say(f"revision {self.held.in_force} does not fit the file any more: {fault}")
            return

    def _round(self) -> None:
        """Wait for a datagram or a timer, and take what there is."""
        with self.lock:
            due = self.follower.due()
        wait = max(0.0005, min(IDLE_S, due - time.monotonic()))
        found = self._receive(wait)
        with self.lock:
            for _ in range(ROUND_MOST):
                if found is None:
                    break
                self._take(*found)
                found = self._receive(0.0)
            now = time.monotonic()
            if self.follower.due() <= now:
                self._send(self.follower.tick(now))
            self._owner_took(now)
            self._apply(now)
            self._log(now)

    def _apply(self, now: float) -> None:
        """Lay what was offered over the file: the latest, since it has all of those before it."""
        if not self.follower.offered or self._waiting is not None:
            return
        offer = self.follower.offered[-1]
        self.follower.offered.clear()
        if not any(key.startswith(CONFIG + "/") for key in offer.changed):
            return self._in_force(now, offer.revision)
        entries = config_entries(self.held.document.items())
        try:
            taken = self.lay_over(lambda file: overlay(file, entries))
        except ConfigError as fault:
            self.say(f"revision {offer.revision} is refused, {self.held.in_force} stays in force: {fault}")
            return self.follower.refused(now, offer.revision, str(fault))
        if taken is None:
            return self._in_force(now, offer.revision)
        self._waiting = taken, offer.revision

    def _owner_took(self, now: float) -> None:
        while not self._taken.empty():
            taken = self._taken.get()
            if self._waiting is not None and taken is self._waiting[0]:
                revision, self._waiting = self._waiting[1], None
                self._in_force(now, revision)

    def _in_force(self, now: float, revision: int) -> None:
        self.follower.in_force(now, revision)
        self.say(f"revision {revision} is in force")

    def _log(self, now: float) -> None:
        if self.follower.member != self._followed:
            self._followed = self.follower.member
            self.say(f"follows {self._followed}" if self._followed else "follows no member")
        unheard = self.follower.unheard_s(now) >= UNHEARD_S
        if unheard != self._unheard:
            self._unheard = unheard
            self.say(
                f"no member was heard for {UNHEARD_S:g} s, revision {self.held.in_force} stays in force"
                if unheard
                else "a member is heard again"
            )

    def _receive(self, wait: float) -> tuple[bytes, Address] | None:
        self.sock.settimeout(wait)
        try:
            return self.sock.recvfrom(2 * wire.MAX_DATAGRAM_BYTES)
        except (BlockingIOError, TimeoutError):
            return None
        except OSError:  # an earlier datagram found nobody
            self.traffic["receive failed"] += 1
            return None

    def _take(self, data: bytes, address: Address) -> None:
        if not data:
            return
        self.traffic["received"] += 1
        self.traffic["received bytes"] += len(data)
        message = self.seal.open(data)
        if message is not None:
            self._send(self.follower.receive(time.monotonic(), address, message))

    def _send(self, sends: list) -> None:
        for send in sends:
            data = self.seal.close(send.message)
            if not self.budget.spend(time.monotonic(), len(data)):
                self.traffic["over budget"] += 1
                continue
            try:
                self.sock.sendto(data, send.address)
            except OSError:
                self.traffic["send failed"] += 1
                continue
            self.traffic["sent"] += 1
            self.traffic["sent bytes"] += len(data)

    def _keep(self, records: list[bytes]) -> bool:
        """Before a revision is offered, and when one is in force."""
        try:
            self.store.append(records)
        except OSError as fault:
            self.say(f"what is followed could not be kept: {fault}")
            return False
        if self.store.worth_rewriting(self._live()):
            try:
                self.store.rewrite(self.held.records())
            except OSError as fault:
                self.say(f"the folder could not be written anew: {fault}")
        return True

    def _live(self) -> int:
        """Bytes, about, of a folder written anew."""
        return self.held.document.size

    def reload(self, settings: FollowSettings) -> None:
        """Take other members, spans or keys; `ValueError`, and nothing changed, if these cannot be read."""
        keys = load_keys(settings.keys)
        with self.lock:
            self.seal.rotate_keys(keys)
            self.settings = settings
            if self.follower is not None:
                self.follower.configure(settings, time.monotonic())

    def view(self) -> FollowView | None:
        """For who asks; None until the folder is open."""
        with self.lock:
            if self.follower is None:
                return None
            view = self.follower.view(time.monotonic())
            refused = {f"not opened: {why}": count for why, count in self.seal.refused.items()}
            return msgspec.structs.replace(view, counters=view.counters | self.traffic | refused)

    def stop(self, most_s: float = 1.0) -> None:
        """End the rounds, so that the folder is free; any other thread may call it."""
        self._stopping = True
        self._wake()
        self._stopped.wait(most_s)
