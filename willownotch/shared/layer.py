"""Budgets and judgements on top of the membership: what is said to whom, and when. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, log2
from random import Random

import msgspec

from willownotch.peers.core import Membership, Send
from willownotch.peers.node import there
from willownotch.peers.wire import Address
from willownotch.shared.budgets import Budgets, Loan, Wish
from willownotch.shared.judgements import Judgements, Row

FANOUT = 3  # members that news goes to in each exchange


class Ask(msgspec.Struct, tag=40, frozen=True, array_like=True):
    """Lend me of these budgets. `stamp`: the asker's clock in microseconds, to come back."""

    source: str
    stamp: int
    wishes: tuple[tuple[str, int, int], ...]


class Lend(msgspec.Struct, tag=41, frozen=True, array_like=True):
    """So much is lent, of amount 0 where there is nothing."""

    source: str
    stamp: int
    loans: tuple[tuple[int, str, int, int], ...]  # number, budget, amount, span in ms


class Found(msgspec.Struct, tag=42, frozen=True, array_like=True):
    """What is held of endpoints."""

    source: str
    rows: tuple[Row, ...]


class SharingLayer:
    """The layer. Either half may be off (`None`)."""

    messages = (Ask, Lend, Found)

    def __init__(
        self,
        name: str,
        exchange: Callable[[], float],
        random: Random,
        budgets: Budgets | None,
        judgements: Judgements | None,
        now: float,
    ) -> None:
        self.name, self.exchange, self.random = name, exchange, random
        self.budgets, self.judgements = budgets, judgements
        self._at, self._rounds = now, 0

    def due(self) -> float:
        """When the next exchange is."""
        return self._at

    def tick(self, now: float, membership: Membership) -> list[Send]:
        """Ask for what is missing, and tell what is new."""
        self._at = now + self.exchange() * self.random.uniform(0.9, 1.1)
        self._rounds += 1
        others = dict(there(membership))
        sent = []
        if self.budgets is not None:
            for name, wishes in self.budgets.ask(now, sorted(others)).items():
                if name in others:
                    asked = tuple((w.budget, w.amount, w.renew) for w in wishes)
                    sent.append(Send(others[name], Ask(self.name, round(now * 1e6), asked)))
        if self.judgements is not None:
            self.judgements.tick(now)
            times = 3 * max(1, ceil(log2(len(others) + 1))) // FANOUT + 1
            rows = self.judgements.news(now, times)
            if not rows and self._rounds % 10 == 0:
                rows = self.judgements.some(now, self.random.randrange(1 << 20))
            if rows:
                for name in self.random.sample(sorted(others), min(FANOUT, len(others))):
                    sent.append(Send(others[name], Found(self.name, rows)))
        return split(sent)

    def receive(self, now: float, address: Address, message: msgspec.Struct) -> list[Send]:
        """A message of another member."""
        if isinstance(message, Ask) and self.budgets is not None:
            loans = self.budgets.lend(now, message.source, [Wish(*wish) for wish in message.wishes])
            given = tuple((n.number, n.budget, n.amount, round(n.span * 1000)) for n in loans)
            return [Send(address, Lend(self.name, message.stamp, given))] if given else []
        if isinstance(message, Lend) and self.budgets is not None:
            asked_at = message.stamp / 1e6
            if asked_at <= now:
                loans = [
                    Loan(number, budget, amount, span / 1000)
                    for number, budget, amount, span in message.loans
                ]
                self.budgets.borrowed(now, message.source, asked_at, loans)
        elif isinstance(message, Found) and self.judgements is not None:
            self.judgements.merge(now, message.rows)
        return []


def split(sent: list[Send]) -> list[Send]:
    """Messages that fit a datagram each: rows and wishes go in pieces where names are long."""
    found = []
    for send in sent:
        message = send.message
        many = message.rows if isinstance(message, Found) else message.wishes
        if len(many) > 1 and len(msgspec.msgpack.encode(message)) > 1200:
            half = len(many) // 2
            kind = "rows" if isinstance(message, Found) else "wishes"
            pieces = [msgspec.structs.replace(message, **{kind: part}) for part in (many[:half], many[half:])]
            found += split([Send(send.address, piece) for piece in pieces])
        else:
            found.append(send)
    return found
