"""The soak's destination that fails, returns cold, and falls under more calls than its budget.

It counts each call by its sender in every window of the settings' `fallS`, and falls at the first that has
more than the budget grants. Windows are judged from the return until the settings' `coldS` is over.
"""

from __future__ import annotations

import socket
import threading
import time
from bisect import bisect_left
from collections import Counter
from random import Random

from willownotch.lab.recovery.destination import granted
from willownotch.lab.soak.endpoints import Server, wait_until_given_up
from willownotch.lab.soak.plan import ColdPlan, OutageKind
from willownotch.lab.soak.records import Call, Fall, Records
from willownotch.net import http

TOOK_S = (0.02, 0.12)  # a call, from and to
LIMIT_BURST_S = 1.0  # of the limit: so much may come at once
LOOK_S = 0.02


class ColdEndpoint(Server):
    """The one endpoint of such a destination. Times of its plan count from `began`."""

    def __init__(self, records: Records, plan: ColdPlan, senders: int, seed: int) -> None:
        self.records, self.plan, self.senders, self.random = records, plan, senders, Random(seed)
        self.began = float("inf")
        self.times: list[float] = []  # of calls since the last return
        self.callers: list[int] = []
        self.aware: set[int] = set()  # senders that may have seen a call fail in the outage
        self.counting = threading.Lock()
        self.left, self.filled_at = plan.limit_per_s * LIMIT_BURST_S, time.monotonic()
        super().__init__()

    def start(self, began: float) -> None:
        """Begin the plan."""
        self.began = began
        threading.Thread(target=self._follow, daemon=True).start()

    def _follow(self) -> None:
        """Close and open the address as the plan has it."""
        for outage in self.plan.outages:
            if self.closing.wait(max(0.0, self.began + outage.from_s - time.monotonic())):
                return
            self._begin_outage(outage.kind)
            if self.closing.wait(max(0.0, self.began + outage.to_s - time.monotonic())):
                return
            if outage.kind is OutageKind.UNREACHABLE:
                self.listen_again()
            with self.counting:
                self.times, self.callers = [], []

    def _begin_outage(self, kind: OutageKind) -> None:
        if kind is OutageKind.UNREACHABLE:
            self.stop_listening()
            with self.counting:  # connections that are refused tell nobody's name: all may have seen it
                self.aware = set(range(self.senders))

    def outage_kind(self, at: float) -> OutageKind | None:
        """What is wrong at a time of the plan."""
        return next((o.kind for o in self.plan.outages if o.from_s <= at < o.to_s), None)

    def since_return(self, at: float) -> float | None:
        """Seconds since the last outage ended; None before the first has."""
        ends = [o.to_s for o in self.plan.outages if o.to_s <= at]
        return at - max(ends) if ends else None

    def answer(self, sock: socket.socket, head: http.Head, body: bytes) -> bool:
        """See `Server`."""
        now = time.monotonic()
        at, ref = now - self.began, head.headers.get("request-id", "")
        call = Call(ref, now, body, head.headers.get("idempotency-key", ""))
        sender = int(ref[:2] or "0", 16)
        with self.records.lock:
            self.records.calls.append(call)
        kind = self.outage_kind(at)
        if kind is not None:
            with self.counting:
                self.aware.add(sender)
            return self._fail(sock, call, kind)
        with self.counting:
            self._count(sender, at)
            takes = self._takes(now)
            left = self.left
        if self.records.falls:
            return self._write(sock, call, 503, ())
        told = ()
        if self.plan.tells_limit:
            told = (("Server-Load", f"x0={left / self.plan.limit_per_s:.3f},x1={self.plan.limit_per_s:.1f}"),)
            if not takes:
                return self._write(sock, call, 503, told)
        self.closing.wait(self.random.uniform(*TOOK_S))
        return self._write(sock, call, 200, told)

    def _takes(self, now: float) -> bool:
        limit = self.plan.limit_per_s
        self.left = min(limit * LIMIT_BURST_S, self.left + limit * (now - self.filled_at))
        self.filled_at = now
        takes = self.left >= 1.0
        self.left -= takes
        return takes

    def _count(self, sender: int, at: float) -> None:
        """Count a call, and fall if the window that it ends has too many."""
        since = self.since_return(at)
        if since is None or since > self.plan.cold_s or self.records.falls:
            return
        self.times.append(since)
        self.callers.append(sender)
        first = bisect_left(self.times, since - self.plan.fall_s)
        calls, begin = len(self.times) - first, max(0.0, since - self.plan.fall_s)
        expected = self.plan.budget(begin)
        with self.records.lock:
            self.records.fullest = max(self.records.fullest, (calls - granted(expected)) / expected)
        if calls > granted(expected):
            inside = self.callers[first:]
            aware = sum(caller in self.aware for caller in inside) / calls
            with self.records.lock:
                self.records.falls.append(
                    Fall(since, calls, granted(expected), aware, dict(Counter(inside).most_common()))
                )

    def _fail(self, sock: socket.socket, call: Call, kind: OutageKind) -> bool:
        if kind is OutageKind.ERROR:
            return self._write(sock, call, 500, ())
        if kind is OutageKind.REFUSED:
            return self._write(sock, call, 503, ())
        if kind is OutageKind.HANG:
            wait_until_given_up(sock)
        call.ended = time.monotonic()
        return False

    def _write(self, sock: socket.socket, call: Call, status: int, headers: tuple) -> bool:
        call.status, call.ended = status, time.monotonic()
        sock.sendall(http.write_answer(status, headers))
        return True
