"""Budgets and judgements on top of the membership: what is sent to whom, and when. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, log2
from random import Random

import msgspec

from willownotch.peers.core import Membership, Send
from willownotch.peers.node import alive_members
from willownotch.peers.wire import Address
from willownotch.shared.budgets import Budgets, Loan, LoanRequest
from willownotch.shared.judgements import Judgements, Row

FANOUT = 3  # members that judgements are sent to in each exchange


class LoanRequests(msgspec.Struct, tag=40, frozen=True, array_like=True):
    """Requests loans. `stamp` is the sender's clock in microseconds; the answer returns it unchanged."""

    source: str
    stamp: int
    requests: tuple[tuple[str, int, int], ...]  # budget, ppm, number of the loan to renew or 0


class LoanGrants(msgspec.Struct, tag=41, frozen=True, array_like=True):
    """Grants loans; an amount of 0 says that there is nothing to lend."""

    source: str
    stamp: int
    loans: tuple[tuple[int, str, int, int], ...]  # number, budget, ppm, duration in ms


class JudgementRows(msgspec.Struct, tag=42, frozen=True, array_like=True):
    """Judgements of endpoints, the sender's own and others' that it passes on."""

    source: str
    rows: tuple[Row, ...]


class SharingLayer:
    """Exchanges budgets and judgements with the other members. Either may be off (`None`).

    `exchange_s` returns the seconds between two exchanges, which a reload may change.
    """

    messages = (LoanRequests, LoanGrants, JudgementRows)

    def __init__(
        self,
        name: str,
        exchange_s: Callable[[], float],
        random: Random,
        budgets: Budgets | None,
        judgements: Judgements | None,
        now: float,
    ) -> None:
        self.name, self.exchange_s, self.random = name, exchange_s, random
        self.budgets, self.judgements = budgets, judgements
        self._due_at, self._rounds = now, 0

    def due(self) -> float:
        """Returns when the next exchange is due."""
        return self._due_at

    def tick(self, now: float, membership: Membership) -> list[Send]:
        """Requests missing parts of budgets and sends new judgements."""
        self._due_at = now + self.exchange_s() * self.random.uniform(0.9, 1.1)
        self._rounds += 1
        others = dict(alive_members(membership))
        sends = []
        if self.budgets is not None:
            for name, requests in self.budgets.loan_requests(now, sorted(others)).items():
                if name in others:
                    wire_requests = tuple((r.budget, r.amount, r.renew) for r in requests)
                    sends.append(Send(others[name], LoanRequests(self.name, round(now * 1e6), wire_requests)))
        if self.judgements is not None:
            self.judgements.tick(now)
            times = 3 * max(1, ceil(log2(len(others) + 1))) // FANOUT + 1
            rows = self.judgements.unsent_rows(now, times)
            if not rows and self._rounds % 10 == 0:
                rows = self.judgements.some_rows(now, self.random.randrange(1 << 20))
            if rows:
                for name in self.random.sample(sorted(others), min(FANOUT, len(others))):
                    sends.append(Send(others[name], JudgementRows(self.name, rows)))
        return split(sends)

    def receive(self, now: float, address: Address, message: msgspec.Struct) -> list[Send]:
        """Handles a message of another member; returns the answers to send."""
        if isinstance(message, LoanRequests) and self.budgets is not None:
            loans = self.budgets.lend(
                now, message.source, [LoanRequest(*request) for request in message.requests]
            )
            granted = tuple((n.number, n.budget, n.amount, round(n.duration_s * 1000)) for n in loans)
            return [Send(address, LoanGrants(self.name, message.stamp, granted))] if granted else []
        if isinstance(message, LoanGrants) and self.budgets is not None:
            requested_at = message.stamp / 1e6
            if requested_at <= now:
                loans = [
                    Loan(number, budget, amount, duration_ms / 1000)
                    for number, budget, amount, duration_ms in message.loans
                ]
                self.budgets.record_loans(now, message.source, requested_at, loans)
        elif isinstance(message, JudgementRows) and self.judgements is not None:
            self.judgements.merge(now, message.rows)
        return []


def split(sends: list[Send]) -> list[Send]:
    """Splits messages that would not fit a datagram, which can happen with long names."""
    found = []
    for send in sends:
        message = send.message
        items = message.rows if isinstance(message, JudgementRows) else message.requests
        if len(items) > 1 and len(msgspec.msgpack.encode(message)) > 1200:
            half = len(items) // 2
            kind = "rows" if isinstance(message, JudgementRows) else "requests"
            pieces = [
                msgspec.structs.replace(message, **{kind: part}) for part in (items[:half], items[half:])
            ]
            found += split([Send(send.address, piece) for piece in pieces])
        else:
            found.append(send)
    return found
