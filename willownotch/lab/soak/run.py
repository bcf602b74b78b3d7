"""Plays a plan, and reports."""

from __future__ import annotations

import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random

from willownotch.lab.faults.answers import AnswerFault, AnswerProxy
from willownotch.lab.faults.proxy import Proxy, Trouble
from willownotch.lab.soak import crowd
from willownotch.lab.soak.clients import KEYED_SHARE, Client, IdleCrowd
from willownotch.lab.soak.cold import ColdEndpoint
from willownotch.lab.soak.endpoints import (
    COLD_DESTINATION,
    SIDE_DESTINATION,
    STEADY_DESTINATION,
    Endpoint,
    Platform,
)
from willownotch.lab.soak.plan import Conditions, Plan, Step
from willownotch.lab.soak.processes import ROOT, SenderProcesses
from willownotch.lab.soak.records import Ending, Records
from willownotch.lab.soak.verdict import Broken, judge

SETTLE_S = 12.0  # after the last request, for all endings: longer than any message is given, and a restart
HEARTBEAT_S = 0.005
IN_TIME_S = 0.4  # for which a client waits
MEMORY_EVERY_S = 0.1
SIDE_ENDPOINTS, SIDE_PAUSE_S = 3, 0.02  # of the destination that list changes empty; between its messages
JITTER_S = 0.002  # of the way to endpoints


@dataclass
class Report:
    """What one run came to."""

    plan: Plan
    records: Records
    broken: list[Broken]
    seconds: float

    def rules(self) -> dict[str, int]:
        """How often each rule was broken."""
        return dict(Counter(b.rule for b in self.broken))

    def counts(self) -> dict[str, int]:
        """Requests by their end, and what else there was."""
        requests = self.records.requests
        answered = [r for r in requests if r.ending is Ending.ANSWERED]
        found = dict(Counter(r.ending.value for r in requests))
        in_time = sum(r.ended - r.began <= IN_TIME_S for r in answered)
        found |= {
            "answered in time, %": int(100 * in_time / len(requests)) if requests else 0,
            "202": sum(r.status == 202 for r in answered),
            "503": sum(r.status == 503 for r in answered),
            "answered after 0.4 s": sum(r.ended - r.written > 0.4 for r in answered),
            "slowest answer, ms": int(1000 * max((r.ended - r.began for r in answered), default=0.0)),
            "peak memory, MB": round(max((x.peak_mb for x in self.records.lifetimes), default=0.0), 1),
            "the harness late by at most, ms": int(self.records.late_s * 1000),
            "calls": len(self.records.calls),
            "notices": len(self.records.notices),
            "processes": len(self.records.lifetimes),
            "failed system calls": sum(self.records.struck.values()),
            "answers struck": sum(self.records.struck_answers.values()),
        }
        if self.plan.cold is not None:
            found["fullest cold window over its budget, % of N"] = int(100 * self.records.fullest)
        return found

    def text(self) -> str:
        """The plan's line, the counts, and what was broken."""
        lines = [self.plan.describe(), f"  {self.counts()}"]
        lines += [f"  BROKEN {b.rule}: {b.text}" for b in self.broken[:20]]
        if len(self.broken) > 20:
            lines.append(f"  ... {len(self.broken) - 20} more")
        return "\n".join(lines)


class Run:
    """One plan, played once."""

    def __init__(self, plan: Plan, folder: Path, program: Path = ROOT) -> None:
        self.plan, self.records, self.began = plan, Records(), time.monotonic()
        self.records.quota_per_s = plan.quota.quota_per_s if plan.quota else 0.0
        self.endpoints = [
            Endpoint(self.records, self.conditions, plan.seed + n) for n in range(plan.endpoints)
        ]
        self.draws, self.draws_lock = Random(f"struck {plan.seed}"), threading.Lock()
        self.answer_proxies = self._answer_proxies()
        targets = self.answer_proxies or self.endpoints
        self.proxies = [Proxy(target.address, plan.seed + n) for n, target in enumerate(targets)]
        # The first is steady: its destination shares the slots with the one that list changes empty.
        self.side = [
            Endpoint(self.records, self.conditions, plan.seed + 100 + n)
            for n in range(SIDE_ENDPOINTS if plan.list_changes else 0)
        ]
        self.cold = ColdEndpoint(self.records, plan.cold, plan.senders, plan.seed) if plan.cold else None
        self.platform = Platform(
            self.records,
            [proxy.address for proxy in self.proxies],
            self.conditions,
            self.cold.address if self.cold else None,
            plan.cold.limit_per_s if plan.cold else 0.0,
            tuple(endpoint.address for endpoint in self.side[1:]),
            self.side[0].address if self.side else None,
        )
        discovery = f"127.0.0.1:{self.platform.address[1]}"
        self.senders = [
            SenderProcesses(n, plan, self.records, folder, discovery, program) for n in range(plan.senders)
        ]
        self.stop, self.settling = threading.Event(), False

    def _answer_proxies(self) -> list[AnswerProxy]:
        """One in front of each endpoint, if the plan strikes answers at all."""
        if not any(span.answer_faults for span in self.plan.conditions):
            return []
        return [
            AnswerProxy(endpoint.address, self._answer_fault, self.plan.seed + n)
            for n, endpoint in enumerate(self.endpoints)
        ]

    def _answer_fault(self) -> AnswerFault | None:
        """What befalls the next answer, drawn as the conditions of the moment have it."""
        span = self.conditions()
        with self.draws_lock:
            if not span.answer_faults or self.draws.random() >= span.answer_share:
                return None
            return self.draws.choice(span.answer_faults)

    def conditions(self) -> Conditions:
        """The plan's, as of now."""
        at = time.monotonic() - self.began
        return [w for w in self.plan.conditions if w.from_s <= at][-1] if at >= 0 else self.plan.conditions[0]

    def play(self) -> Report:
        """Start all, carry the steps out, wait for all endings, and judge."""
        played = time.monotonic()
        try:
            lives = [(sender, sender.start()) for sender in self.senders]
            for sender, life in lives:
                sender.wait_ready(life)
            self.began = self.records.began = time.monotonic()
            if self.cold is not None:
                self.cold.start(self.began)
            clients = self._clients()
            for client in clients:
                client.thread.start()
            threads = [threading.Thread(target=self._steps, args=(sender,)) for sender in self.senders]
            threads.append(threading.Thread(target=self._change_proxy))
            if self.plan.list_changes:
                threads.append(threading.Thread(target=self._change_list))
            if self.plan.crowd is not None:
                threads.append(threading.Thread(target=self._trouble))
            threading.Thread(target=self._measure_lateness, daemon=True).start()
            threading.Thread(target=self._measure_memory, daemon=True).start()
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.stop.wait(max(0.0, self.began + self.plan.seconds - time.monotonic()))
            self.settling = True
            self.stop.set()
            for client in clients:
                client.thread.join(10.0)
            self._settle()
        finally:
            self.settling = False
            self.stop.set()
            now = time.monotonic()
            for sender in self.senders:
                sender.close()
            for server in (
                *self.proxies,
                *self.answer_proxies,
                *self.endpoints,
                *self.side,
                self.platform,
                self.cold,
            ):
                if server is not None:
                    server.close()
            for proxy in self.answer_proxies:
                for fault, count in proxy.struck.items():
                    self.records.struck_answers[fault.name] += count
        broken = judge(self.records, now)
        return Report(self.plan, self.records, broken, time.monotonic() - played)

    def _clients(self) -> list[Client | IdleCrowd]:
        found: list[Client | IdleCrowd] = []
        for sender in self.senders:
            found += [
                Client(
                    self.records,
                    sender.number,
                    sender.address,
                    n,
                    Random(self.plan.seed * 7919 + sender.number * 101 + n),
                    self.stop,
                    self.plan.clients * self.plan.senders,
                    pause_s=self.plan.pause_s,
                    holders=sender.holders,
                    keyed_share=self.plan.quota.keyed_share if self.plan.quota else KEYED_SHARE,
                )
                for n in range(self.plan.clients)
            ]
            found += self._cold_clients(sender)
            found += self._side_clients(sender)
            if self.plan.idle:
                found.append(IdleCrowd(sender.address, self.plan.idle, self.stop))
        return found

    def _cold_clients(self, sender: SenderProcesses) -> list[Client]:
        """Clients whose messages go to the cold destination, at the load that the plan has together."""
        cold = self.plan.cold
        if cold is None:
            return []
        every_s = cold.clients * self.plan.senders / (cold.load * cold.limit_per_s)
        return [
            Client(
                self.records,
                sender.number,
                sender.address,
                n,
                Random(self.plan.seed * 6101 + sender.number * 211 + n),
                self.stop,
                destination=COLD_DESTINATION,
                pause_s=every_s,
                holders=sender.holders,
            )
            for n in range(self.plan.clients, self.plan.clients + cold.clients)
        ]

    def _side_clients(self, sender: SenderProcesses) -> list[Client]:
        """Clients of the destination that list changes empty and fill, and of the steady one beside it."""
        if not self.side:
            return []
        number = self.plan.clients + (self.plan.cold.clients if self.plan.cold else 0)
        return [
            Client(
                self.records,
                sender.number,
                sender.address,
                number + n,
                Random(self.plan.seed * 4211 + sender.number * 307 + n),
                self.stop,
                destination=destination,
                pause_s=SIDE_PAUSE_S * self.plan.senders,
                holders=sender.holders,
            )
            for n, destination in enumerate((SIDE_DESTINATION, STEADY_DESTINATION))
        ]

    def _change_list(self) -> None:
        for change in self.plan.list_changes:
            if self.stop.wait(max(0.0, self.began + change.at_s - time.monotonic())):
                return
            self.platform.change(change.kind)

    def _steps(self, sender: SenderProcesses) -> None:
        for step in [s for s in self.plan.steps if s.sender == sender.number]:
            self._step(sender, step)

    def _step(self, sender: SenderProcesses, step: Step) -> None:
        late = self.began + step.at_s - time.monotonic()
        if late > 0:
            self.stop.wait(late)
        if time.monotonic() > self.began + self.plan.seconds:
            return  # what came before took its time
        with self.records.lock:
            self.records.actions.append(
                f"{time.monotonic() - self.began:.2f} n{sender.number} " f"{step.action.value}"
            )
        sender.act(step.action)

    def _change_proxy(self) -> None:
        for conditions in self.plan.conditions:
            if self.stop.wait(max(0.0, self.began + conditions.from_s - time.monotonic())):
                return
            for proxy in self.proxies:
                proxy.trouble = Trouble(jitter_s=JITTER_S, reset=conditions.break_pieces)

    def _trouble(self) -> None:
        """Run the plan's crowd at each sender."""
        plan = self.plan.crowd
        if self.stop.wait(max(0.0, self.began + plan.from_s - time.monotonic())):
            return
        crowds = [
            crowd.start(sender.address, plan.kind, plan.count, plan.to_s - plan.from_s, self.plan.seed)
            for sender in self.senders
        ]
        for process in crowds:
            process.wait()

    def _measure_memory(self) -> None:
        while not self.stop.wait(MEMORY_EVERY_S * len(self.senders)):
            for sender in self.senders:
                sender.watch_memory()

    def _measure_lateness(self) -> None:
        """How late this process itself is: its threads share one interpreter and the machine."""
        while not self.stop.is_set() or self.settling:
            began = time.monotonic()
            time.sleep(HEARTBEAT_S)
            late = time.monotonic() - began - HEARTBEAT_S
            self.records.late_s = max(self.records.late_s, late)

    def _settle(self) -> None:
        """Until every accepted message has an end, or there has been time for it."""
        ends = time.monotonic() + SETTLE_S
        while time.monotonic() < ends:
            with self.records.lock:
                accepted = {r.ref for r in self.records.requests if r.status in (200, 202)}
                ended = {c.ref for c in self.records.calls if c.status == 200}
                ended |= {n.ref for n in self.records.notices}
            if accepted <= ended:
                return
            time.sleep(0.1)


def play(plan: Plan, program: Path = ROOT) -> Report:
    """Play a plan in a folder of its own, with the program that is in `program`."""
    with tempfile.TemporaryDirectory() as folder:
        return Run(plan, Path(folder), program).play()
