"""Runs a sender's follower of the control plane: its thread, UDP socket, folder and path to the settings.

`Follower` decides; this module does the I/O. An offered revision is laid over the configuration file on the
path that SIGHUP uses, and counts as in force once the decision loop has applied it. Nothing in the sender
waits for this thread: without a member it goes on with the configuration it has.
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

MAX_ROUND_WAIT_S = 1.0
FOLDER_RETRY_S = 0.25  # between two attempts to open a folder that another process still has
MAX_DATAGRAMS_PER_ROUND = 64  # received before the timers are checked again
UID_BITS = 48
UNHEARD_LOG_S = 30.0  # without word from a member, until it is logged


def overlay_in_force(held: HeldDocument) -> Overlay | None:
    """The overlay that the revision in force puts over the configuration file; None if none is in force."""
    if not held.in_force:
        return None
    entries = config_entries(held.entries_in_force())
    return lambda file: overlay(file, entries)


def stored_overlay(settings: FollowSettings, name: str, files: Files = REAL) -> Overlay | None:
    """The overlay of the last revision in force in the folder, so that a start needs no member.

    `ValueError`, `StoreError` or `OSError` if the folder cannot be used. The process that is handing over may
    still have it open.
    """
    return overlay_in_force(
        HeldDocument.restored(Store(Path(settings.folder), files, settings.name or name).peek())
    )


class FollowerThread:
    """Follows the control plane for a running sender.

    `apply_overlay` puts a revision over the configuration file (`ConfigReloader.apply_overlay`) and returns
    the configuration that the decision loop is to apply, or None if nothing changes for it. `handed_over`
    returns whether another process has taken the sender's messages over.
    """

    def __init__(
        self,
        settings: FollowSettings,
        name: str,
        files: Files,
        say: Callable[[str], None],
        apply_overlay: Callable[[Overlay], Config | None],
        handed_over: Callable[[], bool],
    ) -> None:
        self.settings, self.name, self.say = settings, settings.name or name, say
        self.apply_overlay, self.handed_over = apply_overlay, handed_over
        self.store = Store(Path(settings.folder), files, self.name)
        self.held = HeldDocument()
        self.follower: Follower | None = None  # None until the folder is open
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
        self._configs_applied: queue.SimpleQueue[Config] = queue.SimpleQueue()  # by the decision loop
        self._awaiting: tuple[Config, int] | None = None  # to be applied, and its revision
        self._member_logged: str | None = None
        self._unheard_logged = False
        self._stopping, self._stopped = False, threading.Event()

    def config_applied(self, config: Config) -> None:
        """Called by the decision loop when it has applied a configuration."""
        self._configs_applied.put(config)
        self._wake()

    def _wake(self) -> None:
        """End the wait for datagrams by sending an empty one."""
        try:
            self.sock.sendto(b"", self.sock.getsockname())
        except OSError:
            pass  # the round ends after MAX_ROUND_WAIT_S all the same

    def run(self) -> None:
        """Follow until stopped, or until another process has taken the sender's messages over."""
        try:
            self._open()
            while not self._stopping and not self.handed_over():
                self._round()
            if self.follower is not None:
                with self.lock:
                    self._send(self.follower.stop(time.monotonic()))
        finally:
            self.store.close()
            self.sock.close()
            self._stopped.set()

    def _open(self) -> None:
        """Open the folder as soon as the previous process has released it, and start the follower."""
        pause = threading.Event()
        while not self._stopping and not self.handed_over():
            try:
                records = self.store.load()
            except BusyError:
                pause.wait(FOLDER_RETRY_S)
                continue
            self.held = HeldDocument.restored(records)
            self.follower = Follower(
                self.name,
                self._uid,
                self.held,
                self.settings,
                time.monotonic(),
                Random(secrets.randbits(64)),
                self._store_records,
            )
            if (last_overlay := overlay_in_force(self.held)) is not None:
                self.say(f"begins with revision {self.held.in_force} in force")
                try:
                    self.apply_overlay(last_overlay)  # a process that handed over may have moved on meanwhile
                except ConfigError as fault:
                    self.say(f"revision {self.held.in_force} no longer fits the configuration file: {fault}")
            return

    def _round(self) -> None:
        """Wait for a datagram or a timer, then handle all that is there."""
        with self.lock:
            due = self.follower.due()
        wait_s = max(0.0005, min(MAX_ROUND_WAIT_S, due - time.monotonic()))
        datagram = self._receive(wait_s)
        with self.lock:
            for _ in range(MAX_DATAGRAMS_PER_ROUND):
                if datagram is None:
                    break
                self._handle_datagram(*datagram)
                datagram = self._receive(0.0)
            now = time.monotonic()
            if self.follower.due() <= now:
                self._send(self.follower.tick(now))
            self._handle_applied(now)
            self._apply_offered(now)
            self._log_changes(now)

    def _apply_offered(self, now: float) -> None:
        """Apply the latest offered revision, which includes all earlier ones."""
        if not self.follower.offered or self._awaiting is not None:
            return
        offer = self.follower.offered[-1]
        self.follower.offered.clear()
        if not any(key.startswith(CONFIG + "/") for key in offer.changed):
            return self._report_in_force(now, offer.revision)
        entries = config_entries(self.held.document.items())
        try:
            config = self.apply_overlay(lambda file: overlay(file, entries))
        except ConfigError as fault:
            self.say(f"revision {offer.revision} is refused, {self.held.in_force} stays in force: {fault}")
            return self.follower.refused(now, offer.revision, str(fault))
        if config is None:
            return self._report_in_force(now, offer.revision)
        self._awaiting = config, offer.revision

    def _handle_applied(self, now: float) -> None:
        """Report the awaited revision as in force once the decision loop has applied its configuration."""
        while not self._configs_applied.empty():
            config = self._configs_applied.get()
            if self._awaiting is not None and config is self._awaiting[0]:
                revision, self._awaiting = self._awaiting[1], None
                self._report_in_force(now, revision)

    def _report_in_force(self, now: float, revision: int) -> None:
        self.follower.in_force(now, revision)
        self.say(f"revision {revision} is in force")

    def _log_changes(self, now: float) -> None:
        if self.follower.member != self._member_logged:
            self._member_logged = self.follower.member
            self.say(f"follows {self._member_logged}" if self._member_logged else "follows no member")
        unheard = self.follower.unheard_s(now) >= UNHEARD_LOG_S
        if unheard != self._unheard_logged:
            self._unheard_logged = unheard
            self.say(
                f"no member was heard for {UNHEARD_LOG_S:g} s, revision {self.held.in_force} stays in force"
                if unheard
                else "a member is heard again"
            )

    def _receive(self, wait_s: float) -> tuple[bytes, Address] | None:
        self.sock.settimeout(wait_s)
        try:
            return self.sock.recvfrom(2 * wire.MAX_DATAGRAM_BYTES)
        except (BlockingIOError, TimeoutError):
            return None
        except OSError:  # an earlier datagram was not delivered (ICMP port unreachable)
            self.traffic["receive failed"] += 1
            return None

    def _handle_datagram(self, data: bytes, address: Address) -> None:
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

    def _store_records(self, records: list[bytes]) -> bool:
        """Store records before a revision is offered and when one is in force; False if that failed."""
        try:
            self.store.append(records)
        except OSError as fault:
            self.say(f"a followed revision could not be stored: {fault}")
            return False
        if self.store.worth_rewriting(self._live_bytes()):
            try:
                self.store.rewrite(self.held.compacted_records())
            except OSError as fault:
                self.say(f"the follower's folder could not be rewritten: {fault}")
        return True

    def _live_bytes(self) -> int:
        """Approximate size of a rewritten folder, in bytes."""
        return self.held.document.size

    def reload(self, settings: FollowSettings) -> None:
        """Apply changed members, intervals or keys; `ValueError` and no change if the keys cannot be read."""
        keys = load_keys(settings.keys)
        with self.lock:
            self.seal.rotate_keys(keys)
            self.settings = settings
            if self.follower is not None:
                self.follower.configure(settings, time.monotonic())

    def view(self) -> FollowView | None:
        """The follower's state for operators; None until the folder is open."""
        with self.lock:
            if self.follower is None:
                return None
            view = self.follower.view(time.monotonic())
            refused = {f"not opened: {reason}": count for reason, count in self.seal.refused.items()}
            return msgspec.structs.replace(view, counters=view.counters | self.traffic | refused)

    def stop(self, timeout_s: float = 1.0) -> None:
        """End the thread so that folder and address are free. Any other thread may call it; it waits."""
        self._stopping = True
        self._wake()
        self._stopped.wait(timeout_s)
