"""The process of a control-plane member: sockets, folder and threads around the agreement and the followers.

The membership and the writer's lease share a datagram socket, as in `mesh`. Members exchange frames over TCP
at the same port, followers send to another datagram socket, and operators to a control socket. One lock
guards the agreement and the followers. The membership has its own, which is taken second where both are held.
"""

from __future__ import annotations

import os
import secrets
import signal
import socket
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random

import msgspec
from blake3 import blake3

from willownotch.blocks import Blocks
from willownotch.channel.server import BadRequestError, Server
from willownotch.cli import EXIT_FAULTY, THREAD_STACK_BYTES, Threads, load_blocks
from willownotch.controlplane import agreement, entries, operators, wire
from willownotch.controlplane.commit import AgreementCore, AgreementTiming, Result, Stage
from willownotch.controlplane.commit import Send as MemberSend
from willownotch.controlplane.document import Change, Document, DocumentError, check_change
from willownotch.controlplane.serving import FollowerService
from willownotch.controlplane.settings import MemberSettings
from willownotch.controlplane.store import START_OVER_HINT, Store, StoreError
from willownotch.files.layer import REAL, Files
from willownotch.lease.service import Leases
from willownotch.lease.settings import DutySettings, LeaseSettings
from willownotch.links.transport import LinkKind
from willownotch.links.transport import TcpTransport as Links
from willownotch.mesh import UID_BITS, bind
from willownotch.net import memory
from willownotch.net.clock import Clock
from willownotch.net.log import Log
from willownotch.peers.core import Membership
from willownotch.peers.core import Send as FollowerSend
from willownotch.peers.keys import load_keys
from willownotch.peers.node import Node
from willownotch.peers.seal import Seal
from willownotch.peers.transport import Budget, UdpTransport, format_address
from willownotch.peers.wire import Address

LINK_VERSION = 34  # of frames between members
LEASE_CHECK_S = 0.05  # between checks of the lease
ADDRESSES_S = 0.2  # between updates of the other members' addresses
CHECK_S = 1.0  # between all other checks, and between messages with counts
ISOLATED_AFTER_S = 3.0  # of silence of so many voters that those heard are no majority
MAX_RECEIVE_BATCH = 64  # datagrams handled before the lock is released
STOP_GRACE_S = 1.0  # for changes in progress when the process stops
RECEIVE_BUFFER_BYTES = 1 << 20  # of the socket for followers

Say = Callable[[str, str], None]


class MemberError(ValueError):
    """The settings are not valid for a member; the text says why."""


class MemberFrame(msgspec.Struct, frozen=True, array_like=True):
    """A frame between members. `voters`: the digest of the source's voters. Frames of a member with other
    voters are ignored, since its majorities are different ones."""

    source: str
    voters: bytes
    message: agreement.Message | wire.FollowerCounts


_encode = msgspec.msgpack.Encoder().encode
_record = msgspec.msgpack.Decoder(agreement.Record).decode
LINKS = LinkKind(
    "member",
    LINK_VERSION,
    msgspec.msgpack.Decoder(MemberFrame).decode,
    lambda message: len(_encode(message)) + 64,
)


class ChangeWaiter:
    """A thread that waits for the outcome of a change."""

    def __init__(self) -> None:
        self.done, self.result = threading.Event(), None


def digest_of_voters(voters: tuple[str, ...]) -> bytes:
    """The digest of the voters' names, in any order."""
    return blake3(" ".join(sorted(voters)).encode()).digest(length=8)


def bind_follower_socket(address: Address) -> socket.socket:
    """Opens the datagram socket for followers."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(address)
    except OSError as fault:
        sock.close()
        raise OSError(fault.errno, f"followers {format_address(address)}: {fault.strerror}") from None
    return sock


def writer_duty(voters: tuple[str, ...]) -> str:
    """The name of the lease whose holder is the writer; it differs between different sets of voters."""
    return f"config-{digest_of_voters(voters).hex()[:8]}"


def lease_settings(settings: MemberSettings) -> LeaseSettings:
    """The settings of the lease that makes one member the writer."""
    return LeaseSettings(
        electors=settings.voters, span=settings.lease, duty={writer_duty(settings.voters): DutySettings()}
    )


def read_reference(settings: MemberSettings) -> bytes | None:
    """The reference configuration that changes are checked against, or None. Raises `OSError`."""
    return None if settings.reference is None else Path(settings.reference).read_bytes()


class Member:
    """A member; raises `MemberError`, `StoreError`, `SettingsError`, `KeysError` or `OSError`."""

    def __init__(self, blocks: Blocks, bootstrap: bool, files: Files, say: Say) -> None:
        settings = blocks.member
        if not settings.enabled():
            raise MemberError("no block member with 'folder', wanted: one in the settings file")
        if blocks.peers.name is None or blocks.peers.name not in settings.voters:
            raise MemberError(
                f"the name {blocks.peers.name!r} of peers is not one of 'voters', allowed: "
                f"{', '.join(settings.voters)}"
            )
        self.blocks, self.say, self.name = blocks, say, blocks.peers.name
        keys, self.reference = load_keys(blocks.peers.keys), read_reference(settings)
        folder, uid, now = Path(settings.folder), secrets.randbits(UID_BITS), time.monotonic()
        self.voters, self._duty = digest_of_voters(settings.voters), writer_duty(settings.voters)
        self.store = Store(folder, files, f"member {self.name} of {', '.join(sorted(settings.voters))}")
        self.document = Document(settings.history)
        records = self._load(folder)
        self.lock = threading.Lock()
        self.woken = threading.Condition(self.lock)
        random = Random(secrets.randbits(64))
        try:
            self.commits = AgreementCore(
                self.name,
                uid,
                settings.voters,
                self.document,
                self._append_records,
                now,
                random,
                AgreementTiming(),
                self._check_change,
                records,
                bootstrap,
            )
        except DocumentError as fault:
            raise StoreError(f"{folder}: its records are inconsistent ({fault}); {START_OVER_HINT}") from None
        self.serving = FollowerService(self.name, self.document, settings, now, Random(secrets.randbits(64)))
        self._compacted_bytes = self.store.size
        self.sock = bind_follower_socket(settings.followers)
        self.seal = Seal(uid, keys, wire.decode, wire.VERSION, wire.MAX_DATAGRAM_BYTES)
        self._open_peers(uid, keys, folder, files, now)
        self.channel = (
            None
            if blocks.control.socket is None
            else Server(
                blocks.control.socket, operators.MAX_REQUEST_BYTES, lambda name, work: self._start(name, work)
            )
        )
        self.traffic: Counter[str] = Counter()
        self._waiting: dict[bytes, list[ChangeWaiter]] = {}
        # Outcomes with revisions that this member does not have yet. An author that was told earlier would
        # base its next change on an older revision here, and that change would lose to its own.
        self._outcomes_ahead: list[Result] = []
        self._started_at, self._heard = now, {}  # by other voter: when it was last heard
        self._snapshots_installed, self._writing, self._isolated = (
            self.commits.snapshots_installed,
            False,
            False,
        )
        self._check_at = self._addresses_at = now
        self._stopping, self._refused = False, Counter()
        self._logged_nacks: dict[str, int] = {}

    def _load(self, folder: Path) -> list[agreement.Record]:
        found = self.store.load()
        if self.store.torn_bytes:
            self.say("folder", f"{self.store.torn_bytes} bytes of a torn write were cut off")
        try:
            return [_record(payload) for payload in found]
        except msgspec.DecodeError as fault:
            raise StoreError(
                f"{folder}: a record of another kind ({fault}); wanted: the version of the "
                "program that wrote it"
            ) from None

    def _open_peers(
        self, uid: int, keys: list[tuple[int, bytes]], folder: Path, files: Files, now: float
    ) -> None:
        peers = self.blocks.peers
        self.peers_sock, listener = bind(peers.listen, both=True)
        address = peers.advertise or self.peers_sock.getsockname()
        membership = Membership(self.name, address, uid, peers, Random(secrets.randbits(64)))
        self.leases = Leases(
            lease_settings(self.blocks.member),
            self.name,
            uid,
            folder,
            files,
            now,
            Random(secrets.randbits(64)),
            lambda text: self.say("lease", text),
        )
        node = Node(membership, (self.leases.layer,))
        self.transport = UdpTransport(
            self.peers_sock,
            node,
            Seal(uid, keys, node.decode),
            peers.budget,
            lambda text: self.say("peers", text),
            self.leases.before,
        )
        self.leases.lock = self.transport.lock
        self.links = Links(
            LINKS,
            listener,
            peers.listen[0],
            uid,
            keys,
            self._take_frame,
            lambda name, work: self._start(name, work),
        )

    # The folder

    def _append_records(self, records: list[agreement.Record]) -> bool:
        try:
            self.store.append([_encode(record) for record in records])
        except OSError as fault:
            self.say("folder", f"records could not be written: {fault}")
            return False
        return True

    def _compact_if_needed(self) -> None:
        if not self.store.worth_rewriting(self._compacted_bytes):
            return
        try:
            self.store.rewrite(map(_encode, self.commits.records()))
        except OSError as fault:
            self.say("folder", f"the records could not be compacted: {fault}")
            self._compacted_bytes = self.store.size // 2  # retries once the file has grown by as much
            return
        self._compacted_bytes = self.store.size
        self.commits.on_rewritten()

    def _check_change(self, document: Document, change: Change) -> None:
        entries.check(document, change, self.reference)

    # Threads

    def start(self, start: Callable[[str, Callable[[], None], bool], None]) -> None:
        """Starts the threads by `start(name, work, forever)`; a thread that is `forever` must not end."""
        self._start = lambda name, work: start(name, work, False)
        for what, address in (
            ("peers", self.peers_sock.getsockname()),
            ("followers", self.sock.getsockname()),
        ):
            self.say("member", f"{self.name} listens for {what} on {format_address(address)}")
        start("peers", lambda: self.transport.run(self.blocks.peers.seeds), False)
        start("member", self.run, False)
        start("member-in", self.links.run, True)
        start("followers", self._receive, True)
        if self.channel is not None:
            self.channel.handlers.update(
                {
                    "status": lambda parameters: self.status(),
                    "change": self._submit_change,
                    "entries": lambda parameters: self._with_lock(
                        lambda: operators.entries_of(self.document, parameters)
                    ),
                    "history": lambda parameters: self._with_lock(
                        lambda: operators.history_of(self.document, parameters)
                    ),
                    "peers": lambda parameters: self.transport.view(),
                    "leases": lambda parameters: self.leases.view(),
                }
            )
            start("control", self.channel.run, False)

    def _with_lock(self, look: Callable[[], object]) -> object:
        with self.lock:
            return look()

    def run(self) -> None:
        """Checks the lease and does what is due, until the process stops."""
        with self.woken:
            while not self._stopping:
                due = min(self.commits.due(), self.serving.due() or self._check_at, self._check_at)
                self.woken.wait(max(0.0, min(LEASE_CHECK_S, due - time.monotonic())))
                self._step(time.monotonic())

    def _step(self, now: float) -> None:
        self._send_to_members(self.commits.lead(now, self._token(now)))
        if self.commits.due() <= now:
            self._send_to_members(self.commits.tick(now))
        self._apply_results(now)
        if (due := self.serving.due()) is not None and due <= now:
            self._send_to_followers(self.serving.tick(now))
        if self._addresses_at <= now:
            self._addresses_at = now + ADDRESSES_S
            self._update_addresses()
        if self._check_at <= now:
            self._check_at = now + CHECK_S
            self._check_periodically(now)

    def _token(self, now: float) -> int | None:
        with self.transport.lock:
            return None if self._stopping else self.leases.layer.token(self._duty, now)

    def _apply_results(self, now: float) -> None:
        """Logs the commits of the agreement, tells the followers, and hands outcomes to waiting threads."""
        commits = self.commits
        moved = False
        for commit in commits.committed:
            moved = True
            change = commit.change
            self.say(
                "commit",
                f"revision {commit.revision} of {change.author}, {len(change.sets)} set and "
                f"{len(change.removes)} removed, change {change.id.hex()}",
            )
        if commits.snapshots_installed != self._snapshots_installed:
            self._snapshots_installed, moved = commits.snapshots_installed, True
            self.say("commit", f"a snapshot of revision {self.document.revision} was installed")
        if moved:
            last = commits.committed[-1] if commits.committed else None
            commits.committed.clear()
            self._send_to_followers(self.serving.committed(now, last))
            self.woken.notify()
        results, self._outcomes_ahead = [*self._outcomes_ahead, *commits.results], []
        commits.results.clear()
        for result in results:
            for waiter in self._waiting.get(result.id, ()):
                waiter.result = result
            if result.revision > self.document.revision:
                self._outcomes_ahead.append(result)
                continue
            for waiter in self._waiting.pop(result.id, ()):
                waiter.done.set()
        for line in commits.log_lines:
            self.say("agreement", line)
        commits.log_lines.clear()
        writing = commits.writer.stage is Stage.LEADING
        if writing != self._writing:
            self._writing = writing
            self.say(
                "agreement",
                f"this member is the writer from revision {self.document.revision} on, under token "
                f"{commits.writer.ballot.token}"
                if writing
                else "this member is no longer the writer",
            )

    # Members

    def _take_frame(self, frame: msgspec.Struct) -> None:
        now = time.monotonic()
        with self.lock:
            if self._stopping:
                return
            if frame.source not in self.blocks.member.voters or frame.source == self.name:
                self.traffic["frames of no voter"] += 1
                return
            if frame.voters != self.voters:
                self.traffic["frames of other voters"] += 1
                self.say(
                    "voters", f"{frame.source} has other 'voters' than this member: its frames are ignored"
                )
                return
            self._heard[frame.source] = now
            if isinstance(frame.message, wire.FollowerCounts):
                self.serving.heard(now, frame.source, frame.message)
            else:
                self._send_to_members(self.commits.receive(now, frame.source, frame.message))
                self._apply_results(now)

    def _send_to_members(self, sends: list[MemberSend]) -> None:
        for send in sends:
            self.links.send(send.name, MemberFrame(self.name, self.voters, send.message))

    # Followers

    def _receive(self) -> None:
        while True:
            try:
                found = [self.sock.recvfrom(2 * wire.MAX_DATAGRAM_BYTES)]
            except OSError:  # an earlier datagram was refused at its address
                self.traffic["follower receive failed"] += 1
                continue
            self.sock.setblocking(False)
            try:
                while len(found) < MAX_RECEIVE_BATCH:
                    found.append(self.sock.recvfrom(2 * wire.MAX_DATAGRAM_BYTES))
            except OSError:
                pass
            self.sock.setblocking(True)
            with self.lock:
                for data, address in found:
                    self._take_datagram(data, address)

    def _take_datagram(self, data: bytes, address: Address) -> None:
        self.traffic["follower received"] += 1
        self.traffic["follower received bytes"] += len(data)
        message = self.seal.open(data)
        if message is not None:
            self._send_to_followers(self.serving.receive(time.monotonic(), address, message))

    def _send_to_followers(self, sends: list[FollowerSend]) -> None:
        for send in sends:
            try:
                data = self.seal.close(send.message)
                self.sock.sendto(data, send.address)
            except (OSError, ValueError):
                self.traffic["follower send failed"] += 1
                continue
            self.traffic["follower sent"] += 1
            self.traffic["follower sent bytes"] += len(data)

    # Periodic checks

    def _update_addresses(self) -> None:
        """Updates the voters' addresses, also of those that the membership takes for dead: the agreement does
        not depend on its judgement."""
        with self.transport.lock:
            members = self.transport.node.membership.members.values()
            self.links.addresses = {m.name: m.address for m in members if m.name in self.blocks.member.voters}

    def _check_periodically(self, now: float) -> None:
        counts = MemberFrame(self.name, self.voters, self.serving.counts(now))
        for name in self.blocks.member.voters:
            if name != self.name:
                self.links.send(name, counts)
        self._check_isolated(now)
        self._log_refused()
        self._log_nacks(counts.message)
        self._compact_if_needed()

    def _check_isolated(self, now: float) -> None:
        """Updates whether a majority is heard, and since when it is not."""
        others_needed = agreement.majority(len(self.blocks.member.voters)) - 1
        heard = sorted(
            (
                self._heard.get(name, self._started_at)
                for name in self.blocks.member.voters
                if name != self.name
            ),
            reverse=True,
        )
        since = heard[others_needed - 1] if others_needed else now
        isolated = now - since > ISOLATED_AFTER_S
        if isolated != self._isolated:
            self._isolated = isolated
            self.say(
                "apart",
                f"no majority of the voters has been heard for {now - since:.0f} s: revision "
                f"{self.document.revision} stays, no change is accepted"
                if isolated
                else f"a majority of the voters is heard again, revision {self.document.revision}",
            )
        self.serving.isolated_since = since if isolated else None

    def _log_refused(self) -> None:
        found: Counter[str] = Counter()
        for what, refused in (
            ("datagrams for followers", self.seal.refused),
            ("frames of members", self.links.seal.refused),
        ):
            found.update({f"{what} {why}": count for why, count in dict(refused).items()})
        found["frames of members too long"] += self.links.traffic["too long"]
        found["frames of members cut off"] += self.links.traffic["cut off"]
        for what in ("frames of no voter", "frames of other voters"):
            found[what] += self.traffic[what]
        if grown := +(found - self._refused):
            self.say("refused", ", ".join(f"{count} {what}" for what, count in sorted(grown.items())))
        self._refused = found

    def _log_nacks(self, counts: wire.FollowerCounts) -> None:
        for nack in counts.nacks:
            if self._logged_nacks.get(nack.name) != nack.revision:
                self.say("nack", f"{nack.name} could not apply revision {nack.revision}: {nack.text}")
        self._logged_nacks = {nack.name: nack.revision for nack in counts.nacks}

    # Operators

    def _submit_change(self, parameters: dict[str, str]) -> operators.ChangeReply:
        change, waiter = operators.read_change(parameters), ChangeWaiter()
        try:
            check_change(change)
        except DocumentError as fault:  # it may be too large to be passed on to the writer
            return operators.reply_of(Result(change.id, agreement.Outcome.REFUSED, 0, str(fault)))
        now = time.monotonic()
        with self.lock:
            if self._stopping:
                raise BadRequestError("this member is stopping; ask another one")
            self._waiting.setdefault(change.id, []).append(waiter)
            self._send_to_members(self.commits.submit(now, change))
            self._apply_results(now)
        # The agreement always reports an outcome, which may be that it is not known.
        waiter.done.wait(2 * self.commits.pace.patience)
        return operators.reply_of(
            waiter.result or Result(change.id, agreement.Outcome.UNKNOWN, 0, "no outcome")
        )

    def status(self) -> operators.MemberStatus:
        """The status for operators."""
        with self.lock:
            now = time.monotonic()
            since = self.serving.isolated_since
            heard = {
                name: round(now - self._heard[name], 3) if name in self._heard else None
                for name in self.blocks.member.voters
                if name != self.name
            }
            traffic = +(Counter(self.traffic) | self._refused)
            traffic.update({f"member {what}": count for what, count in dict(self.links.traffic).items()})
            apart = None if since is None else round(now - since, 3)
            return operators.MemberStatus(
                self.name,
                self._writing,
                self.commits.leader,
                apart,
                heard,
                self.commits.view(),
                self.serving.status(now),
                dict(traffic),
            )

    # Signals

    def reload(self, blocks: Blocks) -> str:
        """Applies changed settings and keys; returns the names of those that take effect at the next start.

        Raises `ValueError` or `OSError`, and changes nothing, if they are not valid.
        """
        old, settings = self.blocks, blocks.member
        if not settings.enabled() or blocks.peers.keys is None:
            raise MemberError("no block member with 'folder', or no 'keys' of peers")
        keys, reference = load_keys(blocks.peers.keys), read_reference(settings)
        later = [
            f"member {word}"
            for word in ("folder", "voters", "followers", "history")
            if getattr(old.member, word) != getattr(settings, word)
        ]
        later += [
            f"peers {word}"
            for word in ("listen", "advertise", "name", "seeds")
            if getattr(old.peers, word) != getattr(blocks.peers, word)
        ]
        later += ["control socket"] * (old.control != blocks.control)
        # The settings of the agreement stay as they were until the next start.
        settings = msgspec.structs.replace(
            settings,
            voters=old.member.voters,
            folder=old.member.folder,
            followers=old.member.followers,
            history=old.member.history,
        )
        with self.lock:
            self.seal.rotate_keys(keys)
            self.links.rotate_keys(keys)
            self.reference = reference
            self.serving.configure(settings, time.monotonic())
            with self.transport.lock:
                self.transport.seal.rotate_keys(keys)
                if blocks.peers != old.peers:
                    self.transport.node.membership.settings = blocks.peers
                    self.transport.budget = Budget(blocks.peers.budget, time.monotonic())
                self.leases.reload(lease_settings(settings))
            self.blocks = msgspec.structs.replace(blocks, member=settings)
        return ", ".join(later)

    def stop(self) -> None:
        """Stops gracefully: gives changes in progress time for their outcome, hands the lease on, and tells
        the other members that this one leaves."""
        ends = time.monotonic() + STOP_GRACE_S
        while time.monotonic() < ends:
            with self.lock:
                waiters = [waiter for line in self._waiting.values() for waiter in line]
            if not waiters or not waiters[0].done.wait(ends - time.monotonic()):
                break
        with self.woken:
            self._stopping = True
            self._send_to_members(self.commits.lead(time.monotonic(), None))
            self.woken.notify()
        self.transport.send_last(self.leases.layer.leave)
        self.transport.stop()
        if self.channel is not None:
            self.channel.close()
        with self.lock:
            self.store.close()


def main(path: str | None, bootstrap: bool, files: Files = REAL) -> int:
    """Runs a member until a signal stops it; returns the exit code."""
    ends, reloads = {signal.SIGTERM, signal.SIGINT}, {signal.SIGHUP}
    # Blocked before any other thread starts, so that only this thread receives these signals.
    signal.pthread_sigmask(signal.SIG_BLOCK, ends | reloads)
    threading.stack_size(THREAD_STACK_BYTES)
    memory.configure_malloc()
    clock = Clock()
    log = Log(clock)
    try:
        blocks = load_blocks(path)
        log.name = blocks.peers.name or "-"
        member = Member(blocks, bootstrap, files, log.say)
    except (ValueError, OSError, StoreError) as fault:
        for line in str(fault).splitlines():
            print(f"willownotch member: cannot start: {line}", file=sys.stderr)
        return EXIT_FAULTY
    member.start(Threads(log, "member").start)
    while signal.sigwait(ends | reloads) in reloads:
        try:
            later = member.reload(load_blocks(path))
        except (ValueError, OSError) as fault:
            log.say("reload", f"the old settings stay: {fault}")
        else:
            log.say(
                "reload",
                f"the settings of {path} hold now"
                + f"; {later} as changed will hold from the next start" * bool(later),
            )
    member.stop()
    log.say("end", "ended; the committed changes are in the folder")
    sys.stderr.flush()
    os._exit(0)
