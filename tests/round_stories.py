"""Drawn stories of whole rounds of the decision loop, in simulated time, with a real journal and hosts."""

import json
from datetime import timedelta
from random import Random
from types import SimpleNamespace

import msgspec
from test_crossings import config

from willownotch.files.layer import REAL
from willownotch.files.space import Space
from willownotch.interface import Outcome
from willownotch.journal.records import AcceptedMessage, RelayStarted
from willownotch.lifecycle import SharedLifecycle
from willownotch.net import answers
from willownotch.net.attempts import RelayEnded
from willownotch.net.clock import Clock
from willownotch.net.decision_loop import DecisionLoop
from willownotch.net.events import BodyLost, HandIn, NoticesAnswered, SettingsUpdate, Withdraw
from willownotch.net.journal import Journal, JournalFullError
from willownotch.net.log import Log
from willownotch.net.pending import PendingReply
from willownotch.net.registry import Hosts
from willownotch.net.slow_start_file import SlowStartFile
from willownotch.net.watch_decoder import WatchDecoder

PAUSES_S = (0.0, 0.005, 0.02, 0.1, 0.4, 2.0, 30.0, 7200.0)
ADDRESSES = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "a..b:1", "127.0.0.1:99999", "x")
WEIGHTS = (0.0, 20.0, -1.0, 1e308, 1e-300, "20")
HEADERS = (
    {},
    {"retry-after": "0.2"},
    {"retry-after": "86399"},
    {"retry-after": "-5"},
    {"retry-after": "nan"},
    {"server-load": "x0=0.0,x1=0.0000001"},
    {"server-load": "x0=-1,x1=1e300"},
    {"server-load": "x0=0.9,x1=25"},
    {"server-load": "=,,x1=inf"},
    {"x-line-busy": "1"},
)
STATUSES = (200, 200, 200, 500, 429, 503, 504, 410, 302, 999)


class SetClock(Clock):
    """A clock that the story sets."""

    def __init__(self):
        super().__init__()
        self.at = super().now()

    def now(self):
        return self.at


class RoundStory:
    """One sender's rounds over several processes; `play` raises whatever a round raises."""

    def __init__(self, seed, folder):
        self.random, self.folder, self.clock = Random(f"rounds {seed}"), folder, SetClock()
        self.config, self.count, self.index = config(), 0, 0
        self.known = []  # ids handed in
        self.start()

    def start(self):
        """A process: it reads the folder that the one before it left."""
        self.relays, self.notices = [], []
        self.journal = Journal(self.folder, Space(1 << 18))
        self.journal.open(self.clock.now())
        log = Log(self.clock, stream=SimpleNamespace(write=lambda text: None, flush=lambda: None))
        kinds = tuple(kind.name for kind in self.config.settings.kinds)
        self.hosts = Hosts(kinds, ("here",), self.clock, log)
        bodies = SimpleNamespace(
            discard=lambda message: None,
            observe=lambda *seen: None,
            forecasts={},
            forget_destinations=lambda known: None,
            settings=SimpleNamespace(come_back=timedelta(seconds=1)),
        )
        lifecycle = SharedLifecycle()
        self.loop = DecisionLoop(self.config, self.clock, log, self.journal, self.hosts, bodies, lifecycle)
        self.loop.slow_starts = SlowStartFile(self.folder, REAL, self.clock, log)
        self.loop.submit = lambda *relays: self.relays.extend(relays)
        self.loop.cancel = lambda relay: self.loop.post(RelayEnded(relay, Outcome.CANCELLED))
        self.loop.notify = self.notices.append
        self.decoder = WatchDecoder()
        self.loop._recover()

    def play(self, rounds):
        for _ in range(rounds):
            self.clock.at += timedelta(seconds=self.random.choice(PAUSES_S))
            if self.random.random() < 0.04:
                self.journal.close()
                self.start()
            items = [self.item() for _ in range(self.random.randint(0, 4))]
            while not self.loop._inbox.empty():
                items.append(self.loop._inbox.get())
            self.loop._round([item for item in items if item is not None])
        self.journal.close()

    def item(self):
        lot = self.random.random()
        if lot < 0.2:
            return self.update()
        if lot < 0.55:
            return self.hand_in()
        if lot < 0.85:
            return self.ended()
        ref = self.random.choice([*self.known, "none"])
        return self.random.choice(
            (
                NoticesAnswered([notice.message for notice in self.notices[-3:]]),
                Withdraw(ref, None),
                BodyLost(ref),
                SettingsUpdate(self.config),
            )
        )

    def update(self):
        """A list with entries of which some are unsound, as its text."""
        self.index += 1
        entries = [
            {
                "name": f"s-{self.random.randint(0, 5)}",
                "address": self.random.choice(ADDRESSES),
                "zone": self.random.choice(("here", "there")),
                "type": self.random.choice(("haulier", "haulier", "haulier", "none")),
                "group": self.random.choice((7, 7, 8, 9, -1, 7.5)),
                "status": self.random.choice(("Ready", "Ready", "Terminating", "Gone", "Odd")),
                "weight": self.random.choice(WEIGHTS),
                "since_ms": self.random.choice((0, 5, 10**13, -1, 2**62)),
            }
            for _ in range(self.random.randint(0, 6))
        ]
        whole = self.random.random() < 0.5
        text = json.dumps({"index": self.index, "snapshot": whole, "endpoints": entries})
        try:
            return self.decoder.feed(text.encode() + b"\n")[0][0]
        except msgspec.DecodeError:
            return None

    def hand_in(self):
        self.count += 1
        ref = self.random.choice([*self.known[-5:], f"m{self.count}", f"m{self.count}", f"m{self.count}"])
        self.known.append(ref)
        name = self.random.choice(list(self.config.rules))
        now = self.clock.now()
        message = AcceptedMessage(
            ref,
            self.random.choice((7, 8, 9, 10)),
            name,
            self.random.choice(("acme", "nobody")),
            now + timedelta(seconds=self.random.choice((-1.0, 0.05, 4.0, 20.0, 999_999.0))),
            self.random.choice((None, None, "k")) if self.config.rules[name].in_order else None,
            is_retry=self.random.random() < 0.2,
            at=now,
            body=b"x",
            rules=self.config.rules[name],
        )
        return HandIn(message, PendingReply())

    def ended(self):
        if not self.relays:
            return None
        relay = self.relays.pop(self.random.randrange(len(self.relays)))
        if self.random.random() < 0.4:
            return RelayEnded(relay, self.random.choice(list(Outcome)))
        if self.random.random() < 0.8:
            try:
                self.journal.append([started(relay, self.clock.now())])
            except JournalFullError:
                pass
        found = answers.read_outcome(relay, self.random.choice(STATUSES), self.random.choice(HEADERS))
        found.took = self.clock.now() - relay.begun_at
        return found


def started(relay, now):
    return RelayStarted(relay.message.ref, relay.number, now, relay.host.name)
