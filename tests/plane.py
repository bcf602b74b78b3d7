"""A control plane of real member processes, its followers, and a faulty network between all of them.

`FollowerHost` is a sender without its messages: the real follower, with the real seal and store, on a socket
of its own. It records each revision that comes into force there, with its entries. Tests rely on these
records and not on what members report. Many hosts share a thread (`FollowerLoop`).

`Plane.check` compares what was in force anywhere with the accepted changes, revision by revision and entry by
entry.
"""

from __future__ import annotations

import contextlib
import heapq
import itertools
import json
import os
import queue
import re
import secrets
import selectors
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

from harness import ROOT, Discovery, Host, Sender, until

from willownotch.channel.client import AskError, ask
from willownotch.controlplane.entries import encode
from willownotch.controlplane.follower import Follower
from willownotch.controlplane.held import HeldDocument
from willownotch.controlplane.settings import FollowedSettings, FollowSettings
from willownotch.controlplane.store import Store
from willownotch.controlplane.wire import VERSION, decode
from willownotch.files.layer import Files
from willownotch.lab.faults.net import Relay
from willownotch.peers.lossy import Conditions
from willownotch.peers.seal import Seal, read_keys

KEYS = f"1 {'ab' * 32}\n"
PATIENCE = 30.0  # s; enough for nine processes to start and find each other
MAX_UDP_BYTES = 65535
MAX_DATAGRAMS_PER_TURN = 64  # of one socket, before the other sockets have their turn
MAX_WAIT_S = 1.0  # between two rounds of the loop
PLACES = (
    ("north", "n1"),
    ("north", "n1"),
    ("north", "n2"),
    ("north", "n2"),
    ("north", "n3"),
    ("north", "n3"),
    ("south", "s1"),
    ("south", "s1"),
    ("south", "s2"),
)
FAST_PEERS = """ period 200ms
 patience 100ms
 suspicion 2
 gossip 50ms
 sync 1s
 rejoin 500ms
"""


@dataclass(frozen=True, slots=True)
class InForce:
    """A revision that came into force at a follower, and when (s of the machine's monotonic clock)."""

    at: float
    revision: int
    entries: dict[str, bytes] | None = None  # None where they are not recorded


class Unsynced(Files):
    """Files without fsync: here hundreds of folders share a disk, where in production each has its own."""

    def sync(self, file):
        pass


class FollowerHost:
    """One follower on a socket. `cut` (members' addresses) and `loss` (a share) apply in both directions."""

    def __init__(self, name, settings, keys, host="127.0.0.1", seed=0, files=None, entries=True):
        self.name, self.settings, self.keys, self.entries = name, settings, keys, entries
        self.files, self.random = files or Files(), Random(seed)
        self.folder = Path(settings.folder)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, 0))
        self.sock.setblocking(False)
        self.history = []  # of InForce, over all its starts
        self.starts = []  # indexes in the history at which it was started
        self.loss, self.cut = 0.0, frozenset()
        self.sent = self.sent_bytes = self.received = self.received_bytes = self.dropped = 0
        self.reject_reason = None  # a function from offered entries to why they cannot be applied, or None
        self.follower = self.store = self.seal = self.held = None

    @property
    def running(self):
        return self.follower is not None

    def begin(self):
        """Starts the follower with the contents of its folder."""
        uid = self.random.getrandbits(48)
        self.seal = Seal(uid, self.keys, decode, VERSION)
        self.store = Store(self.folder, self.files, self.name)
        self.held = HeldDocument.restored(self.store.load())
        self.starts.append(len(self.history))
        self.follower = Follower(
            self.name, uid, self.held, self.settings, time.monotonic(), self.random, self._keep
        )
        if self.held.in_force:
            self._record_in_force()
        self._apply_offers()

    def end(self):
        """Stops as if killed: sends no message."""
        self.store.close()
        self.follower = self.store = self.seal = self.held = None

    def _keep(self, records):
        try:
            self.store.append(records)
        except OSError:
            return False
        return True

    def _drops(self, address):
        if address in self.cut or (self.loss and self.random.random() < self.loss):
            self.dropped += 1
            return True
        return False

    def readable(self):
        """Handles the datagrams that have arrived."""
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, address = self.sock.recvfrom(MAX_UDP_BYTES)
            except OSError:
                return
            if not self.running or self._drops(address):
                continue
            self.received += 1
            self.received_bytes += len(data)
            if (message := self.seal.open(data)) is not None:
                self._send(self.follower.receive(time.monotonic(), address, message))

    def tick(self):
        """Does what is due."""
        self._send(self.follower.tick(time.monotonic()))

    def _send(self, sends):
        for each in sends:
            data = self.seal.close(each.message)
            self.sent += 1
            self.sent_bytes += len(data)
            if not self._drops(each.address):
                with contextlib.suppress(OSError):
                    self.sock.sendto(data, each.address)
        self._apply_offers()

    def _apply_offers(self):
        """Puts the offered revisions in force, or refuses them."""
        while self.follower.offered:
            offer = self.follower.offered.pop(0)
            reason = (
                self.reject_reason(dict(self.held.document.items()))
                if self.reject_reason is not None
                else None
            )
            if reason is not None:
                self.follower.refused(time.monotonic(), offer.revision, reason)
                continue
            self.follower.in_force(time.monotonic(), offer.revision)
            self._record_in_force()

    def _record_in_force(self):
        entries = dict(self.held.entries_in_force()) if self.entries else None
        self.history.append(InForce(time.monotonic(), self.held.in_force, entries))

    @property
    def revision(self):
        """The revision in force, or 0."""
        return self.history[-1].revision if self.history else 0


class FollowerLoop:
    """Runs many followers on one thread. Other threads pass it calls with `do` or `later`."""

    def __init__(self):
        self.selector, self.calls = selectors.DefaultSelector(), queue.SimpleQueue()
        self.all, self.due, self.order = [], [], itertools.count()
        self.wake_reader, self.wake_writer = socket.socketpair()
        self.wake_reader.setblocking(False)
        self.selector.register(self.wake_reader, selectors.EVENT_READ, None)
        self.ending = False

    def add(self, host):
        """Adds a follower that has not started yet."""
        self.all.append(host)
        self.selector.register(host.sock, selectors.EVENT_READ, host)

    def schedule(self, host):
        """Schedules the follower's next tick."""
        if host.running and (due := host.follower.due()) is not None:
            heapq.heappush(self.due, (due, next(self.order), host))

    def round(self):
        """Waits for a datagram, a timer or a call, and handles what is there."""
        wait = min(MAX_WAIT_S, max(0.0, self.due[0][0] - time.monotonic())) if self.due else MAX_WAIT_S
        if not self.calls.empty():
            wait = 0.0
        for key, _ in self.selector.select(wait):
            if key.data is None:
                with contextlib.suppress(OSError):
                    self.wake_reader.recv(MAX_UDP_BYTES)
            else:
                key.data.readable()
                self.schedule(key.data)
        if not self.calls.empty():  # one call a round, so that the followers do not wait for many
            self.calls.get()()
        now = time.monotonic()
        while self.due and self.due[0][0] <= now:
            host = heapq.heappop(self.due)[2]
            if host.running and (due := host.follower.due()) is not None and due <= now:
                host.tick()
                self.schedule(host)

    def run(self):
        while not self.ending:
            self.round()

    def later(self, work):
        """Passes a call to the loop's thread; any thread may do so."""
        self.calls.put(work)
        self.wake_writer.send(b"x")

    def do(self, work):
        """Runs a call on the loop's thread and returns its result; not for use on that thread."""
        done = queue.SimpleQueue()

        def run():
            try:
                done.put((work(), None))
            except Exception as fault:  # raised again in the calling thread
                done.put((None, fault))

        self.later(run)
        found, fault = done.get(timeout=PATIENCE)
        if fault is not None:
            raise fault
        return found

    def begin(self, host):
        host.begin()
        self.schedule(host)

    def close(self):
        for host in self.all:
            if host.running:
                host.end()
            host.sock.close()
        self.selector.close()
        self.wake_reader.close()
        self.wake_writer.close()


class Member:
    """A member process; its folder outlives the process."""

    def __init__(self, plane, number):
        self.plane, self.number, self.name = plane, number, f"m{number}"
        self.host = f"127.0.0.{11 + number}"
        self.region, self.zone = plane.places[number]
        self.folder, self.socket = plane.path / self.name, plane.path / f"{self.name}.s"
        self.settings = plane.path / f"{self.name}.conf"
        self.peers = plane.relay.door(self.name) if plane.relay else None
        self.followers = plane.relay.door(f"{self.name}/f") if plane.doors else None
        self.process, self.lines, self.stopped = None, [], False
        self.port = 0  # for followers; kept over restarts where followers are configured with it

    def start(self, bootstrap=False):
        """Starts a process; it logs its addresses once it listens."""
        self.settings.write_text(self.plane.member_settings(self), encoding="utf-8")
        words = [sys.executable, "-m", "willownotch", "member", "--settings", str(self.settings)]
        self.process = subprocess.Popen(
            [*words, *["--bootstrap"] * bootstrap],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
            env={"PATH": os.environ["PATH"]},
        )
        self.lines = []
        threading.Thread(target=self._read, args=(self.process.stderr, self.lines), daemon=True).start()

    def _read(self, stderr, lines):
        with stderr:
            lines.extend(iter(stderr.readline, ""))

    def listen_address(self, what):
        """Waits for the address in its log, and returns it."""
        prefix = f"{self.name} listens for {what} on "

        def found():
            assert self.process.poll() is None, f"{self.name} has ended: {self.lines[-5:]}"
            return next((line.rsplit(" ", 1)[1].strip() for line in self.lines if prefix in line), None)

        host, port = until(found, PATIENCE).rsplit(":", 1)
        return host, int(port)

    def register_addresses(self):
        """Waits until it listens, and registers its addresses with the network."""
        peers, followers = self.listen_address("peers"), self.listen_address("followers")
        if self.plane.doors:
            self.plane.relay.behind(f"{self.name}/f", followers)
        else:
            self.followers, self.port = followers, followers[1]
        if self.plane.relay:
            self.plane.relay.behind(self.name, peers)
        else:
            self.peers = peers

    def signal(self, number):
        self.process.send_signal(number)
        self.stopped = number == signal.SIGSTOP

    def kill(self):
        self.process.kill()
        self.process.wait(PATIENCE)
        self.stopped = False

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None and not self.stopped

    def ask(self, question, about=None, patience=10.0):
        return ask(self.socket, question, about, patience)

    def holds(self, change):
        """Whether its folder has a change, accepted or committed."""
        wanted = bytes.fromhex(change.id)
        return any(wanted in path.read_bytes() for path in self.folder.rglob("records"))


class RealSender(Sender):
    """A sender process that follows a member. `revisions`: those in force by its log, over all its processes.
    The log skips some when they come fast. A new process logs the revision that it starts with."""

    IN_FORCE_LINE = re.compile(r"follow: (?:revision (\d+) is in force|begins with revision (\d+) in force)")

    def __init__(self, plane, name, host, region, zone, **more):
        self.name, self.control = name, plane.path / f"{name}.s"
        # The log of ended processes, and the indexes in `revisions` at which a process started.
        self.earlier_lines, self.starts = [], []
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:  # to find a free port of the host
            free.bind((host, 0))
            self.address = free.getsockname()
        members = "".join(
            f" member {m.name} {{\n  address {format_address(m.followers)}\n  zone {m.zone}\n"
            f"  region {m.region}\n }}\n"
            for m in plane.members
        )
        super().__init__(
            more.pop("discovery"),
            settings=(
                f"follow {{\n folder {plane.path / name}\n keys {plane.keys}\n name {name}\n zone {zone}\n"
                f" region {region}\n listen {format_address(self.address)}\n{plane.pace}"
                f"{members}}}\ncontrol {{\n socket {self.control}\n}}\n"
            ),
            **more,
        )

    def launch(self, *more, **named):
        """Starts another process on the same folder."""
        self.earlier_lines += getattr(self, "lines", [])
        self.lines = []
        self.starts.append(len(self.revisions))
        super().launch(*more, **named)

    @property
    def revisions(self):
        found = [self.IN_FORCE_LINE.search(line) for line in [*self.earlier_lines, *self.lines]]
        return [int(one[1] or one[2]) for one in found if one]

    def following(self):
        """The reply of its control socket: member, revision in force; empty if there is none."""
        with contextlib.suppress(AskError):
            return ask(self.control, "follow") or {}
        return {}

    @property
    def revision(self):
        return self.following().get("in_force", 0)

    def follows(self):
        return self.following().get("member")


@dataclass(slots=True)
class SubmittedChange:
    """A change that an author submitted, and its outcome as the author knows it."""

    id: str
    member: str
    sets: dict  # of plain values
    removes: tuple = ()
    base: int = 0
    outcome: str = "unknown"  # or committed, lost, refused
    revision: int = 0
    text: str = ""


class Plane:
    """Members, followers and the network between them. `Authors` submit changes during the faults."""

    def __init__(
        self,
        path,
        places=PLACES,
        followers=(),
        seed=1,
        conditions=None,
        network=True,
        member="",
        lease="800ms",
        peers=FAST_PEERS,
        follow=None,
        entries=True,
        doors=True,
    ):
        self.path, self.places, self.seed = Path(path), places, seed
        self.member, self.lease, self.peers, self.follow = member, lease, peers, follow or {}
        self.pace = "".join(f" {word} {span.total_seconds():g}s\n" for word, span in self.follow.items())
        self.relay = Relay(seed, conditions) if network else None
        self.doors = network and doors  # whether the network also relays the members' addresses for followers
        self.keys = self.path / "keys"
        self.keys.write_text(KEYS, encoding="utf-8")
        self.where = {f"m{n}": place for n, place in enumerate(places)}
        self.members = [Member(self, n) for n in range(len(places))]
        self.changes, self.lock = [], threading.Lock()
        self.follower_loop, self.followers, self.senders, self.parties = FollowerLoop(), [], [], []
        self.thread = threading.Thread(target=self.follower_loop.run, daemon=True)
        self.thread.start()
        try:
            self.begin()
            for number, (region, zone) in enumerate(followers):
                self.add_follower(number, region, zone, entries)
        except BaseException:
            self.close()  # leaves no process behind
            raise

    # Members.

    def begin(self):
        """Starts all members for the first time."""
        for member in self.members:
            member.start(bootstrap=True)
            if not self.relay:  # the next members need its address as a seed
                member.register_addresses()
        for member in self.members:
            member.register_addresses()

    def member_settings(self, member):
        """The settings file of one member."""
        voters = " ".join(m.name for m in self.members)
        advertise = f" advertise {format_address(member.peers)}\n" if self.relay else ""
        seeds = " ".join(format_address(m.peers) for m in self.members[:3] if m is not member and m.peers)
        return (
            f"peers {{\n listen {member.host}:0\n{advertise} name {member.name}\n keys {self.keys}\n"
            f"{f' seeds {seeds}' if seeds else ''}\n{self.peers}}}\n"
            f"member {{\n folder {member.folder}\n voters {voters}\n"
            f" followers {member.host}:{member.port}\n lease {self.lease}\n{self.member}}}\n"
            f"control {{\n socket {member.socket}\n}}\n"
        )

    def running(self):
        return [member for member in self.members if member.running]

    def restart(self, member, emptied=False):
        """Starts a killed member again, on its folder or on an empty one."""
        if emptied:
            shutil.rmtree(member.folder)
        member.start()
        member.register_addresses()

    def writer(self, among=None):
        """Waits until a member says that it is the writer, and returns it."""

        def found():
            for member in among or self.running():
                with contextlib.suppress(AskError):
                    if member.ask("status")["writing"]:
                        return member
            return None

        return until(found, PATIENCE)

    # Followers.

    def add_follower(self, number, region, zone, entries=True):
        """Adds a follower that has not started yet; the network knows it by its name."""
        name = f"t{number}"
        self.where[name] = region, zone
        settings = FollowSettings(
            folder=str(self.path / name),
            keys=str(self.keys),
            name=name,
            zone=zone,
            region=region,
            member={m.name: FollowedSettings(m.followers, m.zone, m.region) for m in self.members},
            **self.follow,
        )
        host = FollowerHost(
            name,
            settings,
            read_keys(KEYS),
            f"127.0.1.{1 + number}",
            self.seed * 1000 + number,
            entries=entries,
        )
        if self.doors:
            self.relay.door(name)
            self.relay.behind(name, host.sock.getsockname())
        self.followers.append(host)
        self.follower_loop.do(lambda: self.follower_loop.add(host))
        return host

    def add_sender(self, number, region, zone):
        """Starts a real sender and returns it."""
        name = f"r{number}"
        self.where[name] = region, zone
        if not self.parties:
            host = Host()
            self.parties += [host, Discovery([host])]
        sender = RealSender(self, name, f"127.0.1.{1 + number}", region, zone, discovery=self.parties[1])
        if self.doors:
            self.relay.door(name)
            self.relay.behind(name, sender.address)
        self.senders.append(sender)
        return sender

    def start_followers(self):
        for host in self.followers:
            self.follower_loop.do(lambda h=host: self.follower_loop.begin(h))
        return self

    def end_follower(self, host):
        self.follower_loop.do(host.end)

    def begin_follower(self, host):
        self.follower_loop.do(lambda: self.follower_loop.begin(host))

    # The network.

    def cut(self, apart):
        """Drops what is sent between names for which `apart(name, name)` is true, until conditions change."""

        def between(source, target):
            a, b = source.partition("/")[0], target.partition("/")[0]
            return bool(a and b) and apart(a, b)

        self.relay.conditions = Conditions(cut=between)

    def cut_off(self, names):
        """Cuts these off from all others."""
        self.cut(lambda a, b: (a in names) != (b in names))

    def in_region(self, region):
        """The names of all members, followers and senders in a region."""
        return {name for name, (other, _) in self.where.items() if other == region}

    def heal(self):
        self.relay.conditions = Conditions()

    # Changes.

    def change(self, member, sets, removes=(), base=None, patience=PATIENCE):
        """Submits a change to a member; returns it with its outcome. Its default base is the member's
        revision, or the last that an author knows of if that is later: the member may learn of it a
        little later."""
        if base is None:
            try:
                base = max(member.ask("entries", {"key": ""}, patience)["revision"], self.last())
            except AskError as fault:
                # Nothing was submitted.
                return SubmittedChange("", member.name, sets, removes, text=str(fault))
        change = SubmittedChange(secrets.token_hex(16), member.name, sets, removes, base)
        with self.lock:
            self.changes.append(change)
        return self.resubmit(change, member, patience)

    def commit(self, member, sets):
        """Submits a change that has to be committed; asks for its outcome until it is known."""
        change = until(lambda: (found := self.change(member, sets)).id and found, PATIENCE)
        until(lambda: change.outcome != "unknown" or self.resubmit(change).outcome != "unknown", PATIENCE)
        assert change.outcome == "committed", change
        return change

    def submit_in_background(self, member, sets):
        """Submits a change on a thread of its own; returns the change and the thread."""
        change = SubmittedChange(
            secrets.token_hex(16), member.name, sets, (), member.ask("entries", {"key": ""})["revision"]
        )
        self.changes.append(change)
        thread = threading.Thread(target=self.resubmit, args=(change, member, 3.0), daemon=True)
        thread.start()
        return change, thread

    def resubmit(self, change, member=None, patience=PATIENCE):
        """Submits a change again with its id, to any member, and records the outcome in it."""
        member = member or next(iter(self.running()))
        text = json.dumps(
            {
                "id": change.id,
                "author": change.member,
                "base": change.base,
                "sets": change.sets,
                "removes": change.removes,
            }
        )
        try:
            reply = member.ask("change", {"change": text}, patience)
        except AskError as fault:
            change.text = str(fault)
            return change
        # A known outcome never changes.
        assert change.outcome in ("unknown", reply["outcome"]), (change, reply)
        change.outcome, change.revision, change.text = reply["outcome"], reply["revision"], reply["text"]
        return change

    def resolve_outcomes(self):
        """Submits each change with an unknown outcome again until its outcome is known."""
        until(
            lambda: all(
                a.outcome != "unknown" or self.resubmit(a).outcome != "unknown" for a in self.changes
            ),
            PATIENCE,
        )

    # Checks of what followers had in force.

    def last(self):
        """The highest revision that an author knows of."""
        return max((a.revision for a in self.changes if a.outcome == "committed"), default=0)

    def wait_in_force(self, among=None, patience=PATIENCE):
        """Waits until the last revision is in force at all followers, or at those of `among`."""
        last = self.last()
        until(lambda: all(h.revision >= last for h in among or self.followers), patience)
        return self

    def check(self, restored=()):
        """Asserts that each revision in force anywhere has exactly the entries that the committed changes
        make, so that it contains no refused or lost change, and that no follower went back to an older
        revision, except for those that were `restored` from an older folder."""
        accepted = {}
        for change in self.changes:
            if change.outcome == "committed":
                assert (
                    accepted.setdefault(change.revision, change) is change
                ), f"two changes made revision {change.revision}"
        assert sorted(accepted) == list(range(1, len(accepted) + 1)), sorted(accepted)
        made, wanted = [{}], {}
        for revision in range(1, len(accepted) + 1):
            change = accepted[revision]
            wanted = {k: v for k, v in wanted.items() if k not in change.removes} | {
                key: encode(value) for key, value in change.sets.items()
            }
            made.append(wanted)
        for host in self.followers:
            for number, (before, after) in enumerate(itertools.pairwise(host.history), 1):
                started = number in host.starts  # it starts with the revision that it had
                assert (
                    before.revision < after.revision
                    or (started and host in restored)
                    or (started and before.revision == after.revision)
                ), (host.name, before, after)
            for seen in host.history:
                assert seen.entries == made[seen.revision], f"{host.name} at {seen.revision}"

    def show(self):
        """Prints the state of each member, follower and sender, for a failed test."""
        for member in self.members:
            try:
                reply = member.ask("status", patience=2.0) if member.running else "it does not run"
            except AskError as fault:
                reply = fault
            print(member.name, json.dumps(reply, default=str), *member.lines[-12:], sep="\n  ")
        for host in self.followers:
            view = host.follower.view(time.monotonic()) if host.running else "it does not run"
            print(host.name, [seen.revision for seen in host.history], host.starts, view)
        for sender in self.senders:
            print(sender.name, sender.revisions, sender.starts, *sender.lines[-20:], sep="\n  ")
        print(*[a for a in self.changes if a.outcome == "unknown"], sep="\n")

    def close(self):
        self.follower_loop.ending = True
        self.follower_loop.later(lambda: None)
        self.thread.join(PATIENCE)
        self.follower_loop.close()
        for member in self.members:
            if member.process is not None:
                member.process.kill()
                member.process.wait(PATIENCE)
        for party in self.parties:
            party.close()
        if self.relay:
            self.relay.close()


class Authors:
    """Threads that submit one change after the other to running members drawn at random. Half of the changes
    are of keys that all threads change."""

    def __init__(self, plane, count=3, members=None, seed=None):
        self.plane, self.members, self.ending = plane, members, threading.Event()
        self.faults = []
        seed = plane.seed if seed is None else seed
        self.threads = [
            threading.Thread(target=self._run, args=(n, Random(f"{seed}-{n}")), daemon=True)
            for n in range(count)
        ]
        for thread in self.threads:
            thread.start()

    def _run(self, number, random):
        try:
            for count in itertools.count():
                if self.ending.is_set():
                    return
                member = random.choice(self.members or self.plane.members)
                if not member.running:
                    self.ending.wait(0.02)
                    continue
                key = random.choice([f"data/author{number}", f"data/shared{random.randrange(2)}"])
                self.plane.change(member, {key: f"{number}-{count}"}, patience=3.0)
        except Exception as fault:
            self.faults.append(fault)
            raise

    def end(self):
        """Stops the threads; the changes with their outcomes are in the plane's `changes`."""
        self.ending.set()
        for thread in self.threads:
            thread.join(PATIENCE)
        assert not self.faults, self.faults


def format_address(address):
    """An address as `host:port`."""
    return f"{address[0]}:{address[1]}"
