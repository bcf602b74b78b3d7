"""A scenario on sockets: the model's story with real senders in place of its own."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

from willownotch import interface as api
from willownotch.interface import Readiness
from willownotch.lab.load.hand_in import request
from willownotch.lab.model.ledger import DRAIN_S, Item, Result
from willownotch.lab.model.partners import Endpoint, State
from willownotch.lab.model.scenario import Scenario
from willownotch.lab.model.story import Story
from willownotch.lab.twin.loop import RealWorld
from willownotch.lab.twin.servers import STATUS, Client, Discovery, Door

READY_S = 10.0  # that a sender may take to start
DRAIN_SLACK_S = 0.25  # what was written before the second was over may be read after it
BODY = b"w" * 500


class Process:
    """One sender in a process of its own, as the story knows its nodes."""

    def __init__(self, story: Twin, number: int, folder: Path) -> None:
        self.story, self.number, self.folder = story, number, folder
        self.up = False
        self.open = self.out = 0
        self.seen_failing: dict[int, float] = {}
        self.told = lambda item, what, retry_after_s: None
        self.discovery = Discovery(story.world, self._noticed)
        self.client = Client(story.world, self._answered)
        self.told_off: dict[int, float] = {}
        self.items: dict[str, Item] = {}
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it, and wait until it listens."""
        config = self.folder / "config.json"
        config.write_text(json.dumps(self.story.config(self)), encoding="utf-8")
        env = {"PATH": os.environ["PATH"], "LB_CONFIG": str(config), "LB_STATE": str(self.folder / "state")}
        self._process = subprocess.Popen(
            [sys.executable, "-m", "willownotch"],
            env=env,
            text=True,
            stderr=subprocess.PIPE,
            cwd=Path(__file__).parents[3],
        )
        listening = threading.Event()
        threading.Thread(target=self._read, args=(self._process, listening), daemon=True).start()
        if not listening.wait(READY_S):
            raise RuntimeError(f"sender {self.number} has not started")
        self.up = True

    def _read(self, process: subprocess.Popen, listening: threading.Event) -> None:
        with (self.folder / "log").open("a", encoding="utf-8") as log:
            for line in process.stderr:
                log.write(line)
                if found := re.search(r"start: listening on [\d.]+:(\d+)", line):
                    self.client.port = int(found[1])
                    listening.set()

    def hear_list(self, entries: tuple[api.Endpoint, ...], whole: bool) -> None:
        """News of the list: the sender hears it now."""
        for entry in entries:
            if entry.readiness is Readiness.SERVING:
                self.told_off.pop(entry.number, None)
            else:
                self.told_off.setdefault(entry.number, self.story.world.now)
        self.discovery.change({entry.number: self.story.listed(entry) for entry in entries})

    def take(self, item: Item, again: bool) -> bool:
        """Hand a message in."""
        if not self.up:
            return False
        self.items[item.ref] = item
        return self.client.hand_in(item.ref, self.story.request(item, again))

    def _answered(self, ref: str, status: int, wait_s: float) -> None:
        item = self.items[ref]
        if status == 202 or item.delivered_at is not None:
            item.ended = item.ended or ""
        elif status == 500:
            self.told(item, "failed", 0.0)
        else:  # turned away, or the connection broke
            self.told(item, "refused", wait_s)

    def _noticed(self, ref: str, outcome: str, retry_after_s: float) -> None:
        item = self.items.get(ref)
        if item is not None:
            self.told(item, "refused" if outcome == "handed_back" else "failed", retry_after_s)

    def crash(self) -> None:
        """SIGKILL."""
        self.up = False
        self._process.kill()
        self._process.wait()

    def restart(self, entries: tuple[api.Endpoint, ...]) -> None:
        """Back, with the folder that lasts."""
        self.start()

    def stop(self) -> None:
        """End it."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


class Twin(Story):
    """A story with processes for senders. What a sender does inside cannot be seen, so of the rules only
    those are watched that show from outside: effects, drains, key order at the partner systems, and
    endings."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path) -> None:
        self.folder = folder
        self.doors: dict[int, Door] = {}
        super().__init__(scenario, "module", seed)
        for number, endpoint in self.endpoints.items():
            self._open(number, endpoint)
        self.running: dict[str, str] = {}  # keys of ordered messages that are at a partner system, by message

    def make_world(self) -> RealWorld:
        """Real time."""
        return RealWorld(self.seed)

    def make_nodes(self, make: object) -> list[Process]:
        """Processes, not started yet."""
        nodes = []
        for number in range(self.scenario.senders):
            place = self.folder / f"n{number}"
            place.mkdir(parents=True, exist_ok=True)
            nodes.append(Process(self, number, place))
            nodes[-1].told = lambda item, what, wait, node=nodes[-1]: self._told(node, item, what, wait)
        return nodes

    def _number(self, endpoint: Endpoint) -> None:
        super()._number(endpoint)
        if self.doors:  # it comes in the middle of the story
            self._open(endpoint.number, endpoint)

    def _open(self, number: int, endpoint: Endpoint) -> None:
        self.doors[number] = Door(
            self.world,
            endpoint,
            lambda ref: self.takes[self.ledger.items[ref].cls],
            self._arrived,
            self._delivered,
            self._connected,
        )

    def listed(self, entry: api.Endpoint) -> dict:
        """An entry as the platform writes it."""
        host, port = self.doors[entry.number].listener.address
        partner = self.endpoints[entry.number].partner
        return {
            "name": f"e{entry.number}",
            "address": f"{host}:{port}",
            "zone": "here",
            "type": partner.kind,
            "group": entry.destination,
            "status": STATUS[entry.readiness],
            "weight": entry.rate,
            "since_ms": 0,
        }

    def config(self, node: Process) -> dict:
        """A sender's configuration, as the platform writes it."""
        settings, scenario = self.settings, self.scenario
        return {
            "name": f"n{node.number}",
            "listen": "127.0.0.1:0",
            "discovery": node.discovery.address,
            "seed": f"{self.seed * 1000 + node.number:x}",
            "limits": {"sockets": 4096, "disk_mb": 64, "memory_mb": 192},
            "settings": {
                "services": [
                    {
                        "name": c.name,
                        "credit": c.worth,
                        "promiseS": c.wanted_s,
                        "hardLimitS": c.deadline_s,
                        "lateShare": c.late_share,
                        "idempotency": c.idempotency.value,
                        "group": c.dedup_scope.value,
                        "memorySpanS": c.dedup_window_s,
                        "oneAtATime": c.in_order,
                    }
                    for c in self.classes
                ],
                "models": list(scenario.kinds()),
                "peersTotal": settings.senders,
                "orgs": [{"name": t.name, "quotaPerS": t.quota_per_s} for t in settings.tenants],
                "familyInfo": {"slots": settings.slots, "decay": "even"},
                "policyLimits": {
                    "maxOpen": settings.holding_room,
                    "maxAttempts": settings.max_attempts,
                    "connectTimeoutS": 1.0,
                    "keepaliveS": settings.keepalive_s,
                    "maxRetryAfterS": settings.max_retry_after_s,
                    "mayCancel": True,
                    "retryAfter": True,
                    "secondCopies": True,
                },
                "rules": {
                    "coldShare": settings.rules.cold_share,
                    "coldS": settings.rules.cold_s,
                    "fallMultiple": settings.rules.fall_multiple,
                    "fallS": settings.rules.fall_s,
                    "keyQuietS": settings.rules.key_quiet_s,
                },
                "callers": {"marksRetry": True},
                "weightKind": "rough",
                "zones": ["here"],
                "overShareWorth": settings.over_share_worth,
            },
        }

    def request(self, item: Item, again: bool) -> bytes:
        """A hand-in's bytes."""
        left = max(1, round(1000 * (item.ends_at - self.world.now)))
        return request(
            "lab",
            "/api",
            item.ref,
            self.classes[item.cls].name,
            list(self.tenants)[item.tenant],
            left,
            item.dest,
            item.key,
            int(again),
            BODY,
        )

    def run(self) -> Result:
        """Start the senders, then play as the model does."""
        try:
            for node in self.nodes:
                node.hear_list(self.entries(), False)
                # Its watch is answered by this loop, so it becomes ready while the story's first moments run.
                node.start()
            self.world.begin()
            self.world.run(1.0)
            self.world.begin()
            result = super().run()
        finally:
            for node in self.nodes:
                node.stop()
        for item in self.ledger.items.values():
            if not item.ended and item.delivered_at is None:
                self.ledger.breach("no ending in time", item.ends_at, item.ref)
        return result

    def _connected(self) -> None:
        self.ledger.connections += 1

    def _arrived(self, ref: str, endpoint: Endpoint) -> None:
        """A request has come to an endpoint."""
        now, item = self.world.now, self.ledger.items[ref]
        self.ledger.attempts += 1
        told = [node.told_off.get(endpoint.number) for node in self.nodes if ref in node.items]
        if told and all(at is not None and now > at + DRAIN_S + DRAIN_SLACK_S for at in told):
            self.ledger.breach("drain", now, ref, f"endpoint {endpoint.number}")
        if item.key is not None and self.classes[item.cls].in_order:
            other = self.running.get(item.key)
            if other not in (None, ref) and self.ledger.items[other].at > item.at:
                self.ledger.breach("order", now, ref, f"endpoint {endpoint.number}, after {other}")
            self.running[item.key] = ref

    def _delivered(self, ref: str) -> None:
        item = self.ledger.items[ref]
        if item.delivered_at is None:
            item.delivered_at, item.ended = self.world.now, "delivered"
            self.delivered += 1

    def _gone(self, partner: object, endpoint: Endpoint) -> None:
        super()._gone(partner, endpoint)
        self.doors[endpoint.number].gone()

    def _replace(self, partner: object, slowly: bool, span: float) -> None:
        old = partner.endpoints[0]
        super()._replace(partner, slowly, span)
        if old.state is State.GONE:
            self.doors[old.number].gone()


def play(scenario: Scenario, seed: int = 1, folder: Path | None = None) -> Result:
    """One story on sockets; logs and folders of the senders stay where a folder is given."""
    if folder is not None:
        return Twin(scenario, seed, folder).run()
    with tempfile.TemporaryDirectory() as made:
        return Twin(scenario, seed, Path(made)).run()
