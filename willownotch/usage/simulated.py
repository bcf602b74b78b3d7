"""A stand-in for tests and rigs: instances that count in simulated time, beside the true counts.

The members, their counts and the folders are the real cores; only the network, the time and the load are made
up, all from one seed.
"""

from __future__ import annotations

import copy
from dataclasses import dataclass, field
from random import Random

from willownotch.peers.lossy import Conditions, Network
from willownotch.peers.settings import PeersSettings
from willownotch.usage.core import Session, Usage
from willownotch.usage.layer import Exchanges
from willownotch.usage.settings import UsageSettings
from willownotch.usage.settled import Settled
from willownotch.usage.tally import Tally
from willownotch.usage.wire import LIFE_BITS, CountKind, Key

STEP = 0.02  # s between two looks at the load


@dataclass(slots=True)
class Folder:
    """What lasts of an instance: the lives of its own name, and the settled part."""

    sessions: list[Session] = field(default_factory=list)
    settled: Settled = field(default_factory=Settled)


@dataclass(slots=True)
class Instance:
    """A running one."""

    usage: Usage
    tally: Tally
    load: dict[Key, float] = field(default_factory=dict)  # messages a second
    next_at: dict[Key, float] = field(default_factory=dict)


class Fleet:
    """Instances on a bad network. `truth` is what was counted, all in all, by tenant and class."""

    def __init__(
        self,
        seed: int,
        conditions: Conditions | None = None,
        settings: UsageSettings | None = None,
        peers: PeersSettings | None = None,
    ) -> None:
        self.net = Network(seed, conditions, peers)
        self.random, self.settings = Random(seed + 1), settings or UsageSettings()
        self.running: dict[str, Instance] = {}
        self.truth: dict[Key, int] = {}
        self.clock_offset: dict[str, float] = {}

    @property
    def now(self) -> float:
        """The true time."""
        return self.net.now

    def own_time(self, name: str) -> float:
        """An instance's own clock."""
        return self.net.now + self.net.offsets[name]

    def start(
        self,
        name: str,
        seeds: tuple[str, ...] = (),
        folder: Folder | None = None,
        offset: float = 0.0,
        claims: str | None = None,
    ) -> Usage:
        """Start an instance with a folder, an empty one if none is given."""
        now = self.net.now + offset
        usage = Usage(
            claims or name,
            self.random.getrandbits(LIFE_BITS),
            self.settings,
            Random(self.random.getrandbits(64)),
            now,
        )
        folder = copy.deepcopy(folder) if folder else Folder()
        usage.lone = not seeds
        usage.load(folder.sessions, folder.settled)
        former = max(folder.sessions, key=lambda life: life.upto, default=None)
        self.running[name] = Instance(
            usage, Tally(self.settings.rows, former=former.rows if former else None, now=now)
        )
        self.net.add(name, seeds, offset, layers=(Exchanges(usage, now),), claims=claims)
        return usage

    def folder(self, name: str) -> Folder:
        """A copy of an instance's folder as it is now."""
        usage = self.running[name].usage
        sessions = [life for life in usage.sessions.values() if life.name == usage.name]
        return copy.deepcopy(Folder(sessions, usage.settled))

    def kill(self, name: str) -> Folder:
        """SIGKILL; what its folder holds."""
        folder = self.folder(name)
        self.net.kill(name)
        del self.running[name]
        return folder

    def load(self, name: str, key: Key, per_s: float) -> None:
        """From now on this instance takes on so many messages a second, at random times."""
        instance = self.running[name]
        instance.load[key] = per_s
        if per_s:
            instance.next_at[key] = self.now + self.random.expovariate(per_s)
        else:
            instance.next_at.pop(key, None)

    def count(self, name: str, key: Key, number: int = 1, sort: CountKind = CountKind.TAKEN) -> None:
        """Let an instance count at this moment."""
        instance, own = self.running[name], self.own_time(name)
        instance.usage.count(own, instance.tally.count(own, *key, sort, number))
        if sort is CountKind.TAKEN:
            self.truth[key] = self.truth.get(key, 0) + number

    def run(self, until: float) -> None:
        """Let time pass, with the load."""
        while self.now < until:
            self.net.run(min(until, self.now + STEP))
            for name, instance in self.running.items():
                if instance.usage.overdue:
                    instance.usage.renew(self.own_time(name))
                    instance.tally = Tally(self.settings.rows, instance.usage.own.rows)
                for key, at in instance.next_at.items():
                    while at <= self.now:
                        self.count(name, key)
                        at += self.random.expovariate(instance.load[key])
                    instance.next_at[key] = at

    def settle(self, most: float = 60.0) -> float:
        """Run until all instances hold the truth; how long that took."""
        began = self.now
        while not self.agreed():
            if self.now - began > most:
                held = {n: self.held(n) for n in self.running}
                raise AssertionError(f"not within {most} s: {held} of {self.truth}")
            self.run(self.now + 0.1)
        return self.now - began

    def held(self, name: str) -> dict[Key, int]:
        """What an instance holds, by tenant and class."""
        return self.running[name].usage.totals()

    def agreed(self) -> bool:
        """Whether all hold just what was counted."""
        return all(self.held(name) == self.truth for name in self.running)
