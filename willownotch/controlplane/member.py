"""A member's process: sockets, folder and threads around the cores of agreement and serving.

Peers' membership and the writer's lease share a datagram socket, as in `mesh`; members agree by links over
TCP at the same port; followers ask at a datagram socket of their own, operators at a control socket. One lock
is held around the cores, whoever calls them; the membership's is its own and is taken second, if at all.
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
from willownotch.controlplane.commit import Send as ToMember
from willownotch.controlplane.document import Change, Document, DocumentError
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
from willownotch.peers.core import Send as ToFollower
from willownotch.peers.keys import load_keys
from willownotch.peers.node import Node
from willownotch.peers.seal import Seal
from willownotch.peers.transport import Budget, UdpTransport, format_address
from willownotch.peers.wire import Address

LINK_VERSION = 34  # of frames between members
STEP_S = 0.05  # between two looks at the lease
ADDRESSES_S = 0.2  # between two looks at where the other members are
LOOK_S = 1.0  # between two looks at all else, and two tellings of counts
APART_S = 3.0  # without a word of so many voters that no majority is left
RECEIVED_MOST = 64  # datagrams that are taken before others have the lock
LAST_S = 1.0  # for changes under way where the process ends
RECEIVE_BYTES = 1 << 20  # of datagrams that may wait in the socket

Say = Callable[[str, str], None]


class MemberError(ValueError):
    """The settings do not make a member; the text says why."""


class Said(msgspec.Struct, frozen=True, array_like=True):
    """A frame between members. `voters`: the digest of whom the source takes for the voters; members with
    other ones than these have another majority, and are not listened to."""

    source: str
    voters: bytes
    message: agreement.Message | wire.FollowerCounts


_encode = msgspec.msgpack.Encoder().encode
_record = msgspec.msgpack.Decoder(agreement.Record).decode
LINKS = LinkKind(
    "member", LINK_VERSION, msgspec.msgpack.Decoder(Said).decode, lambda message: len(_encode(message)) + 64
)


class Waiter:
    """Somebody who waits for what becomes of a change."""

    def __init__(self) -> None:
        self.done, self.result = threading.Event(), None


def digest_of(voters: tuple[str, ...]) -> bytes:
    """Of the voters' names, in whatever order."""
    return blake3(" ".join(sorted(voters)).encode()).digest(length=8)


def bind_followers(address: Address) -> socket.socket:
    """The socket that followers ask at."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.bind(address)
    except OSError as fault:
        sock.close()
        raise OSError(fault.errno, f"followers {format_address(address)}: {fault.strerror}") from None
    return sock


def duty_of(voters: tuple[str, ...]) -> str:
    """The lease whose holder writes: members with other voters ask for another one."""
    return f"config-{digest_of(voters).hex()[:8]}"


def lease_settings(settings: MemberSettings) -> LeaseSettings:
    """The lease that makes one member the writer."""
    return LeaseSettings(
        electors=settings.voters, span=settings.lease, duty={duty_of(settings.voters): DutySettings()}
    )


def read_reference(settings: MemberSettings) -> bytes | None:
    """A sender's configuration that changes are tried on; `OSError`."""
    return None if settings.reference is None else Path(settings.reference).read_bytes()


class Member:
    """All of one member. What cannot be opened is `MemberError`, `StoreError`, `SettingsError`, `KeysError`
    or `OSError`."""

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
        self.voters, self._duty = digest_of(settings.voters), duty_of(settings.voters)
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
                self._keep,
                now,
                random,
                AgreementTiming(),
                self._check,
                records,
                bootstrap,
            )
        except DocumentError as fault:
            raise StoreError(f"{folder}: its records make no document ({fault}); {START_OVER_HINT}") from None
        self.serving = FollowerService(self.name, self.document, settings, now, Random(secrets.randbits(64)))
        self._live = self.store.size
        self.sock = bind_followers(settings.followers)
        self.seal = Seal(uid, keys, wire.decode, wire.VERSION, wire.MAX_DATAGRAM_BYTES)
        self._open_peers(uid, keys, folder, files, now)
        self.channel = (
            None
            if blocks.control.socket is None
            else Server(
                blocks.control.socket, operators.QUESTION_MOST, lambda name, work: self._start(name, work)
            )
        )
        self.traffic: Counter[str] = Counter()
        self._waiting: dict[bytes, list[Waiter]] = {}
        # Outcomes by revisions that this member has not got yet: who was told and looks here would find an
        # older one, and its next change would lose to its own.
        self._ahead: list[Result] = []
        self._began, self._heard = now, {}  # when each other voter was heard last
        self._installed, self._writing, self._apart = self.commits.snapshots_installed, False, False
        self._look_at = self._addresses_at = now
        self._ending, self._refused = False, Counter()
        self._nacks: dict[str, int] = {}

    def _load(self, folder: Path) -> list[agreement.Record]:
        found = self.store.load()
        if self.store.torn_bytes:
            self.say("folder", f"{self.store.cut} bytes of a torn write were cut off")
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

    def _keep(self, records: list[agreement.Record]) -> bool:
        try:
            self.store.append([_encode(record) for record in records])
        except OSError as fault:
            self.say("folder", f"what was agreed on could not be kept: {fault}")
            return False
        return True

    def _rewrite(self) -> None:
        if not self.store.worth_rewriting(self._live):
            return
        try:
            self.store.rewrite(map(_encode, self.commits.records()))
        except OSError as fault:
            self.say("folder", f"the folder could not be written anew: {fault}")
            self._live = self.store.size // 2  # it is tried again once it has grown as much
            return
        self._live = self.store.size
        self.commits.on_rewritten()

    def _check(self, document: Document, change: Change) -> None:
        entries.check(document, change, self.reference)

    # Threads

    def start(self, start: Callable[[str, Callable[[], None], bool], None]) -> None:
        """Start its threads; `start` makes one, and with True one that must not end."""
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
                    "status": lambda about: self.status(),
                    "change": self._asked,
                    "entries": lambda about: self._with_lock(
                        lambda: operators.entries_of(self.document, about)
                    ),
                    "history": lambda about: self._with_lock(
                        lambda: operators.history_of(self.document, about)
                    ),
                    "peers": lambda about: self.transport.view(),
                    "leases": lambda about: self.leases.view(),
                }
            )
            start("control", self.channel.run, False)

    def _with_lock(self, look: Callable[[], object]) -> object:
        with self.lock:
            return look()

    def run(self) -> None:
        """Look at the lease and let time pass, until the process ends."""
        with self.woken:
            while not self._ending:
                due = min(self.commits.due(), self.serving.due() or self._look_at, self._look_at)
                self.woken.wait(max(0.0, min(STEP_S, due - time.monotonic())))
                self._round(time.monotonic())

    def _round(self, now: float) -> None:
        self._send(self.commits.lead(now, self._token(now)))
        if self.commits.due() <= now:
            self._send(self.commits.tick(now))
        self._settle(now)
        if (due := self.serving.due()) is not None and due <= now:
            self._serve(self.serving.tick(now))
        if self._addresses_at <= now:
            self._addresses_at = now + ADDRESSES_S
            self._look_where()
        if self._look_at <= now:
            self._look_at = now + LOOK_S
            self._look(now)

    def _token(self, now: float) -> int | None:
        with self.transport.lock:
            return None if self._ending else self.leases.layer.token(self._duty, now)

    def _settle(self, now: float) -> None:
        """Take what the agreement has led to."""
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
        if commits.snapshots_installed != self._installed:
            self._installed, moved = commits.snapshots_installed, True
            self.say("commit", f"revision {self.document.revision} was taken over whole")
        if moved:
            last = commits.committed[-1] if commits.committed else None
            commits.committed.clear()
            self._serve(self.serving.committed(now, last))
            self.woken.notify()
        results, self._ahead = [*self._ahead, *commits.results], []
        commits.results.clear()
        for result in results:
            for waiter in self._waiting.get(result.id, ()):
                waiter.result = result
            if result.revision > self.document.revision:
                self._ahead.append(result)
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
                f"writes from revision {self.document.revision} on, under token "
                f"{commits.writer.ballot.token}"
                if writing
                else "writes no more",
            )

    # Members

    def _take_frame(self, said: msgspec.Struct) -> None:
        now = time.monotonic()
        with self.lock:
            if self._ending:
                return
            if said.source not in self.blocks.member.voters or said.source == self.name:
                self.traffic["frames of no voter"] += 1
                return
            if said.voters != self.voters:
                self.traffic["frames of other voters"] += 1
                self.say("voters", f"{said.source} has other 'voters' than this member: not listened to")
                return
            self._heard[said.source] = now
            if isinstance(said.message, wire.FollowerCounts):
                self.serving.heard(now, said.source, said.message)
            else:
                self._send(self.commits.receive(now, said.source, said.message))
                self._settle(now)

    def _send(self, sends: list[ToMember]) -> None:
        for send in sends:
            self.links.send(send.name, Said(self.name, self.voters, send.message))

    # Followers

    def _receive(self) -> None:
        while True:
            try:
                found = [self.sock.recvfrom(2 * wire.MAX_DATAGRAM_BYTES)]
            except OSError:  # an earlier datagram found nobody
                self.traffic["follower receive failed"] += 1
                continue
            self.sock.setblocking(False)
            try:
                while len(found) < RECEIVED_MOST:
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
            self._serve(self.serving.receive(time.monotonic(), address, message))

    def _serve(self, sends: list[ToFollower]) -> None:
        for send in sends:
            try:
                data = self.seal.close(send.message)
                self.sock.sendto(data, send.address)
            except (OSError, ValueError):
                self.traffic["follower send failed"] += 1
                continue
            self.traffic["follower sent"] += 1
            self.traffic["follower sent bytes"] += len(data)

    # Each second

    def _look_where(self) -> None:
        """Also those that are taken for dead: the agreement does not wait for who was wrong about them."""
        with self.transport.lock:
            members = self.transport.node.membership.members.values()
            self.links.addresses = {m.name: m.address for m in members if m.name in self.blocks.member.voters}

    def _look(self, now: float) -> None:
        counts = Said(self.name, self.voters, self.serving.counts(now))
        for name in self.blocks.member.voters:
            if name != self.name:
                self.links.send(name, counts)
        self._look_apart(now)
        self._look_refused()
        self._look_nacks(counts.message)
        self._rewrite()

    def _look_apart(self, now: float) -> None:
        """Whether a majority was heard lately; since when not."""
        others = agreement.majority(len(self.blocks.member.voters)) - 1
        heard = sorted(
            (self._heard.get(name, self._began) for name in self.blocks.member.voters if name != self.name),
            reverse=True,
        )
        since = heard[others - 1] if others else now
        apart = now - since > APART_S
        if apart != self._apart:
            self._apart = apart
            self.say(
                "apart",
                f"no majority of the voters has been heard for {now - since:.0f} s: revision "
                f"{self.document.revision} stays, no change is taken"
                if apart
                else f"a majority of the voters is heard again, revision {self.document.revision}",
            )
        self.serving.isolated_since = since if apart else None

    def _look_refused(self) -> None:
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

    def _look_nacks(self, counts: wire.FollowerCounts) -> None:
        for nack in counts.nacks:
            if self._nacks.get(nack.name) != nack.revision:
                self.say("nack", f"{nack.name} could not apply revision {nack.revision}: {nack.text}")
        self._nacks = {nack.name: nack.revision for nack in counts.nacks}

    # Operators

    def _asked(self, about: dict[str, str]) -> operators.Told:
        change, waiter = operators.read_change(about), Waiter()
        now = time.monotonic()
        with self.lock:
            if self._ending:
                raise BadRequestError("this member ends, ask another")
            self._waiting.setdefault(change.id, []).append(waiter)
            self._send(self.commits.submit(now, change))
            self._settle(now)
        # The agreement gives an outcome in any case, be it that it is not known.
        waiter.done.wait(2 * self.commits.pace.patience)
        return operators.told(waiter.result or Result(change.id, agreement.Outcome.UNKNOWN, 0, "no outcome"))

    def status(self) -> operators.MemberStatus:
        """For who asks."""
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
        """Take other settings, keys among them; which of them hold only from the next start.

        `ValueError` or `OSError`, and nothing changed, if they are not sound.
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
        # A member's part in the agreement stays what it was until the next start.
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
        """End in good order: changes under way get their outcome, the lease is handed on, the others hear
        that this member goes."""
        ends = time.monotonic() + LAST_S
        while time.monotonic() < ends:
            with self.lock:
                waiters = [waiter for line in self._waiting.values() for waiter in line]
            if not waiters or not waiters[0].done.wait(ends - time.monotonic()):
                break
        with self.woken:
            self._ending = True
            self._send(self.commits.lead(time.monotonic(), None))
            self.woken.notify()
        self.transport.send_last(self.leases.layer.leave)
        self.transport.stop()
        if self.channel is not None:
            self.channel.close()
        with self.lock:
            self.store.close()


def main(path: str | None, bootstrap: bool, files: Files = REAL) -> int:
    """Run a member until it is told to stop; the exit code."""
    ends, reloads = {signal.SIGTERM, signal.SIGINT}, {signal.SIGHUP}
    signal.pthread_sigmask(signal.SIG_BLOCK, ends | reloads)  # before any thread: this one takes them
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
    log.say("end", "ended; what was agreed on stands in the folder")
    sys.stderr.flush()
    os._exit(0)
