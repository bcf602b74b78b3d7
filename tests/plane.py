"""A control plane of real member processes, who follows it, and a bad network between all of them.

`Hollow` is a sender without its messages: the real follower, with the real seal and store, on a socket of its
own. It writes down each revision that comes into force there, with its entries: what a test counts is that,
and no member's word. Many of them share a thread (`Hollows`).

`Plane.check` holds what was in force anywhere against the changes that were accepted: revision by revision,
entry by entry.
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
PATIENCE = 30.0  # s; nine processes start and find each other within it
LARGEST = 65535
ROUND_MOST = 64  # datagrams of a socket before the others have their turn
IDLE_S = 1.0  # s between two rounds at the most
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
    """A revision that came into force at a follower, and when (s, the machine's monotonic clock)."""

    at: float
    revision: int
    entries: dict[str, bytes] | None = None  # where they are asked for


class Unsynced(Files):
    """Files that are not waited for: hundreds of folders share a disk here that each would have alone."""

    def sync(self, file):
        pass


class FollowerHost:
    """One follower on a socket. `cut` (members' addresses) and `loss` hold for its datagrams, both ways."""

    def __init__(self, name, settings, keys, host="127.0.0.1", seed=0, files=None, entries=True):
        self.name, self.settings, self.keys, self.entries = name, settings, keys, entries
        self.files, self.random = files or Files(), Random(seed)
        self.folder = Path(settings.folder)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, 0))
        self.sock.setblocking(False)
        self.history = []  # of InForce, over all its processes
        self.lives = []  # where in the history a process began
        self.loss, self.cut = 0.0, frozenset()
        self.sent = self.sent_bytes = self.received = self.received_bytes = self.dropped = 0
        self.unsound = None  # from an offered document's entries to why they cannot be applied, or None
        self.follower = self.store = self.seal = self.held = None

    @property
    def running(self):
        return self.follower is not None

    def begin(self):
        """A process's start, with what the folder has."""
        uid = self.random.getrandbits(48)
        self.seal = Seal(uid, self.keys, decode, VERSION)
        self.store = Store(self.folder, self.files, self.name)
        self.held = HeldDocument.restored(self.store.load())
        self.lives.append(len(self.history))
        self.follower = Follower(
            self.name, uid, self.held, self.settings, time.monotonic(), self.random, self._keep
        )
        if self.held.in_force:
            self._in_force()
        self._take()

    def end(self):
        """As a kill does it: nothing is said."""
        self.store.close()
        self.follower = self.store = self.seal = self.held = None

    def _keep(self, records):
        try:
            self.store.append(records)
        except OSError:
            return False
        return True

    def _lost(self, address):
        if address in self.cut or (self.loss and self.random.random() < self.loss):
            self.dropped += 1
            return True
        return False

    def readable(self):
        """Take the datagrams that there are."""
        for _ in range(ROUND_MOST):
            try:
                data, address = self.sock.recvfrom(LARGEST)
            except OSError:
                return
            if not self.running or self._lost(address):
                continue
            self.received += 1
            self.received_bytes += len(data)
            if (message := self.seal.open(data)) is not None:
                self._send(self.follower.receive(time.monotonic(), address, message))

    def tick(self):
        """What is due by the clock."""
        self._send(self.follower.tick(time.monotonic()))

    def _send(self, sends):
        for each in sends:
            data = self.seal.close(each.message)
            self.sent += 1
            self.sent_bytes += len(data)
            if not self._lost(each.address):
                with contextlib.suppress(OSError):
                    self.sock.sendto(data, each.address)
        self._take()

    def _take(self):
        """Put what is offered in force."""
        while self.follower.offered:
            offer = self.follower.offered.pop(0)
            why = self.unsound(dict(self.held.document.items())) if self.unsound is not None else None
            if why is not None:
                self.follower.refused(time.monotonic(), offer.revision, why)
                continue
            self.follower.in_force(time.monotonic(), offer.revision)
            self._in_force()

    def _in_force(self):
        entries = dict(self.held.entries_in_force()) if self.entries else None
        self.history.append(InForce(time.monotonic(), self.held.in_force, entries))

    @property
    def revision(self):
        """The one in force, 0 before any."""
        return self.history[-1].revision if self.history else 0


class FollowerLoop:
    """Many followers on one thread. Other threads hand it what is to be done (`do`)."""

    def __init__(self):
        self.selector, self.wanted = selectors.DefaultSelector(), queue.SimpleQueue()
        self.all, self.due, self.order = [], [], itertools.count()
        self.woken, self.waking = socket.socketpair()
        self.woken.setblocking(False)
        self.selector.register(self.woken, selectors.EVENT_READ, None)
        self.ending = False

    def add(self, hollow):
        """Have one run on this thread; it has not begun."""
        self.all.append(hollow)
        self.selector.register(hollow.sock, selectors.EVENT_READ, hollow)

    def schedule(self, hollow):
        """Look again when it has something due."""
        if hollow.running and (due := hollow.follower.due()) is not None:
            heapq.heappush(self.due, (due, next(self.order), hollow))

    def round(self):
        """Wait for a datagram or a timer, and do what there is."""
        wait = min(IDLE_S, max(0.0, self.due[0][0] - time.monotonic())) if self.due else IDLE_S
        if not self.wanted.empty():
            wait = 0.0
        for key, _ in self.selector.select(wait):
            if key.data is None:
                with contextlib.suppress(OSError):
                    self.woken.recv(LARGEST)
            else:
                key.data.readable()
                self.schedule(key.data)
        if not self.wanted.empty():  # one a round: the followers are not to wait for many
            self.wanted.get()()
        now = time.monotonic()
        while self.due and self.due[0][0] <= now:
            hollow = heapq.heappop(self.due)[2]
            if hollow.running and (due := hollow.follower.due()) is not None and due <= now:
                hollow.tick()
                self.schedule(hollow)

    def run(self):
        while not self.ending:
            self.round()

    def later(self, work):
        """Have this thread do something when the followers' turn has been; any thread may call it."""
        self.wanted.put(work)
        self.waking.send(b"x")

    def do(self, work):
        """The same, and return what came of it; another thread calls it."""
        done = queue.SimpleQueue()

        def run():
            try:
                done.put((work(), None))
            except Exception as fault:  # the caller's
                done.put((None, fault))

        self.later(run)
        found, fault = done.get(timeout=PATIENCE)
        if fault is not None:
            raise fault
        return found

    def begin(self, hollow):
        hollow.begin()
        self.schedule(hollow)

    def close(self):
        for hollow in self.all:
            if hollow.running:
                hollow.end()
            hollow.sock.close()
        self.selector.close()
        self.woken.close()
        self.waking.close()


class Member:
    """A member's process, with a folder that lasts."""

    def __init__(self, plane, number):
        self.plane, self.number, self.name = plane, number, f"m{number}"
        self.host = f"127.0.0.{11 + number}"
        self.region, self.zone = plane.places[number]
        self.folder, self.socket = plane.path / self.name, plane.path / f"{self.name}.s"
        self.settings = plane.path / f"{self.name}.conf"
        self.peers = plane.relay.door(self.name) if plane.relay else None
        self.followers = plane.relay.door(f"{self.name}/f") if plane.doors else None
        self.process, self.lines, self.stopped = None, [], False
        self.port = 0  # for followers; the one that it had, where they know it by that

    def start(self, bootstrap=False):
        """Begin, and say where it listens once it does."""
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

    def listens(self, what):
        """Its own address, once it has said so."""
        said = f"{self.name} listens for {what} on "

        def found():
            assert self.process.poll() is None, f"{self.name} has ended: {self.lines[-5:]}"
            return next((line.rsplit(" ", 1)[1].strip() for line in self.lines if said in line), None)

        host, port = until(found, PATIENCE).rsplit(":", 1)
        return host, int(port)

    def register_addresses(self):
        """Let the network know where it is."""
        peers, followers = self.listens("peers"), self.listens("followers")
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

    def holds(self, asked):
        """Whether its folder has a change, accepted or committed."""
        wanted = bytes.fromhex(asked.id)
        return any(wanted in path.read_bytes() for path in self.folder.rglob("records"))


class RealSender(Sender):
    """A sender's process that follows. `revisions` are those in force by its log, over all its processes;
    some are kept back there where they come fast. A process begins with the one that it had."""

    SAID = re.compile(r"follow: (?:revision (\d+) is in force|begins with revision (\d+) in force)")

    def __init__(self, plane, name, host, region, zone, **more):
        self.name, self.control = name, plane.path / f"{name}.s"
        self.earlier, self.lives = [], []  # lines of ended processes; where in the revisions one began
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:  # of an address that is its own
            free.bind((host, 0))
            self.address = free.getsockname()
        members = "".join(
            f" member {m.name} {{\n  address {shown(m.followers)}\n  zone {m.zone}\n"
            f"  region {m.region}\n }}\n"
            for m in plane.members
        )
        super().__init__(
            more.pop("discovery"),
            settings=(
                f"follow {{\n folder {plane.path / name}\n keys {plane.keys}\n name {name}\n zone {zone}\n"
                f" region {region}\n listen {shown(self.address)}\n{plane.pace}"
                f"{members}}}\ncontrol {{\n socket {self.control}\n}}\n"
            ),
            **more,
        )

    def launch(self, *more, **named):
        """Another process, on the folder as it is."""
        self.earlier += getattr(self, "lines", [])
        self.lines = []
        self.lives.append(len(self.revisions))
        super().launch(*more, **named)

    @property
    def revisions(self):
        found = [self.SAID.search(line) for line in [*self.earlier, *self.lines]]
        return [int(one[1] or one[2]) for one in found if one]

    def following(self):
        """What it answers: whom it follows, what is in force; empty until it does."""
        with contextlib.suppress(AskError):
            return ask(self.control, "follow") or {}
        return {}

    @property
    def revision(self):
        return self.following().get("in_force", 0)

    def follows(self):
        return self.following().get("member")


@dataclass(slots=True)
class Asked:
    """A change that an author handed in, and what it was told of it."""

    id: str
    member: str
    sets: dict  # of plain values
    removes: tuple = ()
    base: int = 0
    outcome: str = "unknown"  # or committed, lost, refused
    revision: int = 0
    text: str = ""


class Plane:
    """Members, followers and the network between them. `authors` hand changes in while faults go on."""

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
        self.doors = network and doors  # before the members' addresses for followers, too
        self.keys = self.path / "keys"
        self.keys.write_text(KEYS, encoding="utf-8")
        self.where = {f"m{n}": place for n, place in enumerate(places)}
        self.members = [Member(self, n) for n in range(len(places))]
        self.asked, self.lock = [], threading.Lock()
        self.follower_loop, self.followers, self.senders, self.parties = FollowerLoop(), [], [], []
        self.thread = threading.Thread(target=self.follower_loop.run, daemon=True)
        self.thread.start()
        try:
            self.begin()
            for number, (region, zone) in enumerate(followers):
                self.add_follower(number, region, zone, entries)
        except BaseException:
            self.close()  # no process outlives it
            raise

    # Members.

    def begin(self):
        """The first start of all."""
        for member in self.members:
            member.start(bootstrap=True)
            if not self.relay:  # the seeds have to be known
                member.register_addresses()
        for member in self.members:
            member.register_addresses()

    def member_settings(self, member):
        """The settings file of one member."""
        voters = " ".join(m.name for m in self.members)
        advertise = f" advertise {shown(member.peers)}\n" if self.relay else ""
        seeds = " ".join(shown(m.peers) for m in self.members[:3] if m is not member and m.peers)
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
        """A killed one comes back, on its folder or on an empty one."""
        if emptied:
            shutil.rmtree(member.folder)
        member.start()
        member.register_addresses()

    def writer(self, among=None):
        """Wait until there is one that says it is the writer."""

        def found():
            for member in among or self.running():
                with contextlib.suppress(AskError):
                    if member.ask("status")["writing"]:
                        return member
            return None

        return until(found, PATIENCE)

    # Followers.

    def add_follower(self, number, region, zone, entries=True):
        """One more, which has not begun; the network knows it by its name."""
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
        hollow = FollowerHost(
            name,
            settings,
            read_keys(KEYS),
            f"127.0.1.{1 + number}",
            self.seed * 1000 + number,
            entries=entries,
        )
        if self.doors:
            self.relay.door(name)
            self.relay.behind(name, hollow.sock.getsockname())
        self.followers.append(hollow)
        self.follower_loop.do(lambda: self.follower_loop.add(hollow))
        return hollow

    def add_sender(self, number, region, zone):
        """A real sender, which runs."""
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
        for hollow in self.followers:
            self.follower_loop.do(lambda h=hollow: self.follower_loop.begin(h))
        return self

    def end_follower(self, hollow):
        self.follower_loop.do(hollow.end)

    def begin_follower(self, hollow):
        self.follower_loop.do(lambda: self.follower_loop.begin(hollow))

    # The network.

    def cut(self, apart):
        """No way between two of whom `apart(name, name)` says so; it goes on until another weather."""

        def between(source, target):
            a, b = source.partition("/")[0], target.partition("/")[0]
            return bool(a and b) and apart(a, b)

        self.relay.conditions = Conditions(cut=between)

    def cut_off(self, names):
        """These are cut off from all others."""
        self.cut(lambda a, b: (a in names) != (b in names))

    def in_region(self, region):
        """The names of all that are there."""
        return {name for name, (other, _) in self.where.items() if other == region}

    def heal(self):
        self.relay.conditions = Conditions()

    # Changes.

    def change(self, member, sets, removes=(), base=None, patience=PATIENCE):
        """Hand a change in at a member; what was told of it. Unless a base is given, it is made on what the
        member holds, or on the last that authors were told of: the member may learn of it a little later."""
        if base is None:
            try:
                base = max(member.ask("entries", {"key": ""}, patience)["revision"], self.last())
            except AskError as fault:
                return Asked("", member.name, sets, removes, text=str(fault))  # nothing was handed in
        asked = Asked(secrets.token_hex(16), member.name, sets, removes, base)
        with self.lock:
            self.asked.append(asked)
        return self.again(asked, member, patience)

    def commit(self, member, sets):
        """Hand a change in that has to be accepted; asked again for as long as its outcome is not known."""
        asked = until(lambda: (found := self.change(member, sets)).id and found, PATIENCE)
        until(lambda: asked.outcome != "unknown" or self.again(asked).outcome != "unknown", PATIENCE)
        assert asked.outcome == "committed", asked
        return asked

    def later(self, member, sets):
        """Hand a change in on a thread of its own; the change, and the thread."""
        asked = Asked(
            secrets.token_hex(16), member.name, sets, (), member.ask("entries", {"key": ""})["revision"]
        )
        self.asked.append(asked)
        thread = threading.Thread(target=self.again, args=(asked, member, 3.0), daemon=True)
        thread.start()
        return asked, thread

    def again(self, asked, member=None, patience=PATIENCE):
        """Ask for a change by its id, at any member; what was told stands in it."""
        member = member or next(iter(self.running()))
        text = json.dumps(
            {
                "id": asked.id,
                "author": asked.member,
                "base": asked.base,
                "sets": asked.sets,
                "removes": asked.removes,
            }
        )
        try:
            told = member.ask("change", {"change": text}, patience)
        except AskError as fault:
            asked.text = str(fault)
            return asked
        assert asked.outcome in ("unknown", told["outcome"]), (asked, told)  # one outcome, once it is known
        asked.outcome, asked.revision, asked.text = told["outcome"], told["revision"], told["text"]
        return asked

    def settle(self):
        """Ask again after each change whose outcome nobody was told, until it has one."""
        until(
            lambda: all(a.outcome != "unknown" or self.again(a).outcome != "unknown" for a in self.asked),
            PATIENCE,
        )

    # What was seen from outside.

    def last(self):
        """The highest revision that an author was told of."""
        return max((a.revision for a in self.asked if a.outcome == "committed"), default=0)

    def arrive(self, among=None, patience=PATIENCE):
        """Wait until the last revision is in force at all followers, or at some."""
        last = self.last()
        until(lambda: all(h.revision >= last for h in among or self.followers), patience)
        return self

    def check(self, restored=()):
        """Each revision in force anywhere is what the accepted changes make of it, so that none that was
        refused or lost is in any; and none goes back, but to the older folder that one was given."""
        accepted = {}
        for asked in self.asked:
            if asked.outcome == "committed":
                assert accepted.setdefault(asked.revision, asked) is asked, f"two became {asked.revision}"
        assert sorted(accepted) == list(range(1, len(accepted) + 1)), sorted(accepted)
        made, wanted = [{}], {}
        for revision in range(1, len(accepted) + 1):
            asked = accepted[revision]
            wanted = {k: v for k, v in wanted.items() if k not in asked.removes} | {
                key: encode(value) for key, value in asked.sets.items()
            }
            made.append(wanted)
        for hollow in self.followers:
            for number, (before, after) in enumerate(itertools.pairwise(hollow.history), 1):
                fresh = number in hollow.lives  # it begins with the one that it had
                assert (
                    before.revision < after.revision
                    or (fresh and hollow in restored)
                    or (fresh and before.revision == after.revision)
                ), (hollow.name, before, after)
            for seen in hollow.history:
                assert seen.entries == made[seen.revision], f"{hollow.name} at {seen.revision}"

    def show(self):
        """Print how each member and follower is, for a test that fails."""
        for member in self.members:
            try:
                told = member.ask("status", patience=2.0) if member.running else "it does not run"
            except AskError as fault:
                told = fault
            print(member.name, json.dumps(told, default=str), *member.lines[-12:], sep="\n  ")
        for hollow in self.followers:
            view = hollow.follower.view(time.monotonic()) if hollow.running else "it does not run"
            print(hollow.name, [seen.revision for seen in hollow.history], hollow.lives, view)
        for sender in self.senders:
            print(sender.name, sender.revisions, sender.lives, *sender.lines[-20:], sep="\n  ")
        print(*[a for a in self.asked if a.outcome == "unknown"], sep="\n")

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
    """Threads that hand in one change after the other, each at members drawn from those that run: half of
    them on keys that all of them change."""

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
        """No more; what they were told stands in the plane's `asked`."""
        self.ending.set()
        for thread in self.threads:
            thread.join(PATIENCE)
        assert not self.faults, self.faults


def shown(address):
    """As `host:port`."""
    return f"{address[0]}:{address[1]}"
