"""A simulated fleet for tests and benchmarks: instances that count in simulated time, with the true counts.

The members, their counts and their saved state are the real implementations; only the network, the time and
the load are simulated, all from one seed.
"""

from __future__ import annotations

import copy
from dataclasses import dataclass, field
from random import Random

from willownotch.peers.lossy import Conditions, Network
from willownotch.peers.settings import PeersSettings
from willownotch.usage.core import Session, Usage
from willownotch.usage.layer import UsageLayer
from willownotch.usage.settings import UsageSettings
from willownotch.usage.settled import SettledCounts
from willownotch.usage.tally import Tally
from willownotch.usage.wire import SESSION_ID_BITS, CountKind, Key

STEP_S = 0.02  # between two checks of the load


@dataclass(slots=True)
class SavedState:
    """What an instance's folder keeps: the sessions of its own name, and the settled counts."""

    sessions: list[Session] = field(default_factory=list)
    settled: SettledCounts = field(default_factory=SettledCounts)


@dataclass(slots=True)
class Instance:
    """A running instance."""

    usage: Usage
    tally: Tally
    load: dict[Key, float] = field(default_factory=dict)  # messages a second
    next_at: dict[Key, float] = field(default_factory=dict)


class Fleet:
    """Instances on an unreliable network. `truth` is the number of accepted messages, by tenant and class."""

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
        """Returns the time on an instance's own clock."""
        return self.net.now + self.net.offsets[name]

    def start(
        self,
        name: str,
        seeds: tuple[str, ...] = (),
        folder: SavedState | None = None,
        offset: float = 0.0,
        claims: str | None = None,
    ) -> Usage:
        """Starts an instance, with an empty folder if none is given.

        `offset` is its clock's distance to the true time; `claims` is a name that it uses in place of `name`.
        """
        now = self.net.now + offset
        usage = Usage(
            claims or name,
            self.random.getrandbits(SESSION_ID_BITS),
            self.settings,
            Random(self.random.getrandbits(64)),
            now,
        )
        folder = copy.deepcopy(folder) if folder else SavedState()
        usage.is_alone = not seeds
        usage.load(folder.sessions, folder.settled)
        former = max(folder.sessions, key=lambda session: session.version, default=None)
        self.running[name] = Instance(
            usage, Tally(self.settings.rows, former=former.rows if former else None, now=now)
        )
        self.net.add(name, seeds, offset, layers=(UsageLayer(usage, now),), claims=claims)
        return usage

    def folder(self, name: str) -> SavedState:
        """Returns a copy of an instance's folder as it is now."""
        usage = self.running[name].usage
        sessions = [session for session in usage.sessions.values() if session.name == usage.name]
        return copy.deepcopy(SavedState(sessions, usage.settled))

    def kill(self, name: str) -> SavedState:
        """Kills an instance as SIGKILL does; returns what its folder holds."""
        folder = self.folder(name)
        self.net.kill(name)
        del self.running[name]
        return folder

    def set_load(self, name: str, key: Key, per_s: float) -> None:
        """Sets how many messages a second an instance accepts from now on, at random times."""
        instance = self.running[name]
        instance.load[key] = per_s
        if per_s:
            instance.next_at[key] = self.now + self.random.expovariate(per_s)
        else:
            instance.next_at.pop(key, None)

    def count(self, name: str, key: Key, number: int = 1, kind: CountKind = CountKind.TAKEN) -> None:
        """Makes an instance count messages at this moment."""
        instance, own_now = self.running[name], self.own_time(name)
        instance.usage.add_own_row(own_now, instance.tally.count(own_now, *key, kind, number))
        if kind is CountKind.TAKEN:
            self.truth[key] = self.truth.get(key, 0) + number

    def run(self, until: float) -> None:
        """Advances the time, under the load that is set."""
        while self.now < until:
            self.net.run(min(until, self.now + STEP_S))
            for name, instance in self.running.items():
                if instance.usage.renewal_reason:
                    instance.usage.renew(self.own_time(name))
                    instance.tally = Tally(self.settings.rows, instance.usage.own.rows)
                for key, at in instance.next_at.items():
                    while at <= self.now:
                        self.count(name, key)
                        at += self.random.expovariate(instance.load[key])
                    instance.next_at[key] = at

    def run_until_agreed(self, timeout_s: float = 60.0) -> float:
        """Runs until all instances hold the true counts; returns how many seconds that took."""
        began = self.now
        while not self.agreed():
            if self.now - began > timeout_s:
                held = {name: self.totals(name) for name in self.running}
                raise AssertionError(f"no agreement within {timeout_s} s: {held}, true counts {self.truth}")
            self.run(self.now + 0.1)
        return self.now - began

    def totals(self, name: str) -> dict[Key, int]:
        """Returns the counts that an instance holds, by tenant and class."""
        return self.running[name].usage.totals()

    def agreed(self) -> bool:
        """Whether all instances hold exactly the true counts."""
        return all(self.totals(name) == self.truth for name in self.running)
