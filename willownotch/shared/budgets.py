"""Parts of budgets, held in escrow and lent for a time. No I/O, no clock.

A budget is a rate for the whole fleet. Each of N instances owns one N-th of it for good, and may lend some
to another that has more to do. A loan ends by itself: for who borrowed it before it does for who lent it, by
each one's own clock. So whatever is lost, late, repeated or cut off, at no moment can more than the whole be
spent; what is lost is at most a loan's span of what was lent. After O'Neil's escrow (1986) and the bounded
counters of Balegas and others (2015), with loans in place of transfers: a transfer must outlast a lost
folder, a loan need not.

Parts are whole millionths, so that sums are exact.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

WHOLE_PPM = 1_000_000
DRIFT = 0.05  # how much two clocks may differ in speed
ROOM = 1.25  # x the demand: what is kept before any of it is lent, and what is asked for
DEMAND_S = 2.0  # that demand is averaged over
ASK_MOST = 24  # budgets in one message
LEAST = WHOLE_PPM // 1000  # a loan that is not worth the bytes
TENANTS_MOST = 20_000


@dataclass(frozen=True, slots=True)
class Wish:
    """So much more of a budget is wanted; `renew` names a loan of the one who is asked."""

    budget: str
    amount: int
    renew: int = 0


@dataclass(frozen=True, slots=True)
class Loan:
    """So much of a budget is lent, for a span from when it was asked for."""

    number: int
    budget: str
    amount: int
    span: float


@dataclass(slots=True)
class Lent:
    """A loan as its lender has it."""

    number: int
    to: str
    amount: int
    until: float


@dataclass(slots=True)
class Borrowed:
    """A loan as its borrower has it."""

    number: int
    lender: str
    amount: int
    until: float
    asked_at: float


@dataclass(slots=True)
class Budget:
    """One budget as this instance has it."""

    name: str
    per_s: float
    lent: dict[int, Lent] = field(default_factory=dict)
    borrowed: dict[tuple[str, int], Borrowed] = field(default_factory=dict)
    demand: float = 0.0  # messages a second, fading
    counted_at: float = 0.0
    spared: dict[str, float] = field(default_factory=dict)  # who had nothing to lend lately, until when


class Budgets:
    """This instance's parts. `instances` is how many may run at once, dead or cut off ones among them.

    A process that has just begun knows of no loans that the one before it made: for one span it counts all
    but what is never lent as lent."""

    def __init__(
        self, name: str, instances: int, now: float, random: Random, span: float, keep: float
    ) -> None:
        self.name, self.instances, self.random, self.span, self.keep = name, instances, random, span, keep
        self.began, self.budgets = now, {}  # type: float, dict[str, Budget]
        self._number = random.getrandbits(40)

    # What is asked of it

    def own(self) -> int:
        """What this instance owns of each budget."""
        return WHOLE_PPM // self.instances

    def part(self, name: str, now: float, lead: float = 0.0) -> int:
        """What it may spend of a budget now; with a lead, only what it may still spend so much later."""
        budget = self.budgets[name]
        self._expire(budget, now)
        borrowed = sum(loan.amount for loan in budget.borrowed.values() if loan.until > now + lead)
        return self._left(budget, now) + borrowed

    def _kept(self) -> int:
        return int(self.own() * self.keep)

    def _left(self, budget: Budget, now: float) -> int:
        """Of the own part, what is not lent."""
        if now - self.began < self.span:
            return self._kept()
        return self.own() - sum(loan.amount for loan in budget.lent.values())

    # What is fed to it

    def configure(self, quotas: dict[str, float]) -> None:
        """The budgets there are: messages a second by name."""
        for name in list(self.budgets):
            if name not in quotas:
                del self.budgets[name]
        for name, per_s in list(quotas.items())[:TENANTS_MOST]:
            budget = self.budgets.get(name)
            if budget is None:
                self.budgets[name] = Budget(name, per_s, counted_at=self.began)
            else:
                budget.per_s = per_s

    def record_demand(self, now: float, counts: Iterable[tuple[str, int]]) -> None:
        """So many messages have asked for their budgets, let through or not."""
        for name, count in counts:
            budget = self.budgets.get(name)
            if budget is not None:
                self._fade(budget, now)
                budget.demand += count / DEMAND_S

    @staticmethod
    def _fade(budget: Budget, now: float) -> None:
        budget.demand *= max(0.0, 1 - (now - budget.counted_at) / DEMAND_S)
        budget.counted_at = now

    def _expire(self, budget: Budget, now: float) -> None:
        for number in [n for n, loan in budget.lent.items() if loan.until <= now]:
            del budget.lent[number]
        for key in [k for k, loan in budget.borrowed.items() if loan.until <= now]:
            del budget.borrowed[key]

    def _need(self, budget: Budget, now: float) -> int:
        """What it could use of a budget."""
        self._fade(budget, now)
        return min(WHOLE_PPM, int(ROOM * budget.demand / budget.per_s * WHOLE_PPM)) if budget.per_s > 0 else 0

    def ask(self, now: float, others: list[str]) -> dict[str, list[Wish]]:
        """Whom to ask for what: loans still wanted are renewed, and more is asked of a few at random."""
        asks: dict[str, list[Wish]] = {}
        for budget in self.budgets.values():
            if not budget.demand and not budget.borrowed:
                continue
            self._expire(budget, now)
            need, have = self._need(budget, now), self._left(budget, now)
            missing = need - have
            for loan in sorted(budget.borrowed.values(), key=lambda loan: -loan.amount):
                record_demand = min(loan.amount, max(0, missing))
                missing -= record_demand
                if record_demand >= LEAST and loan.until - now < self.span / 2:
                    asks.setdefault(loan.lender, []).append(Wish(budget.name, record_demand, loan.number))
            if missing >= LEAST:
                free = [name for name in others if budget.spared.get(name, 0.0) <= now]
                for name in self.random.sample(free, min(2, len(free))):
                    asks.setdefault(name, []).append(Wish(budget.name, missing))
        return {name: wishes[:ASK_MOST] for name, wishes in asks.items()}

    def lend(self, now: float, to: str, wishes: Iterable[Wish]) -> list[Loan]:
        """Loans for who asks; of amount 0 where there is nothing to spare."""
        given = []
        for wish in wishes:
            budget = self.budgets.get(wish.budget)
            if budget is None or now - self.began < self.span:
                continue
            self._expire(budget, now)
            old = budget.lent.get(wish.renew) if wish.renew else None
            if wish.renew and (old is None or old.to != to):
                continue
            spare = self._left(budget, now) - max(self._kept(), self._need(budget, now))
            # A loan that goes on keeps what it has only as far as its owner does not need it.
            most = spare + old.amount if old is not None else spare // 2
            amount = min(wish.amount, max(0, most))
            if amount < LEAST:
                given.append(Loan(wish.renew, wish.budget, 0, 0.0))
                continue
            if old is not None:
                # The old amount may be spent until the old end, whatever becomes of this answer.
                old.amount, old.until = max(old.amount, amount), now + self.span
                given.append(Loan(old.number, wish.budget, amount, self.span))
            else:
                self._number += 1
                budget.lent[self._number] = Lent(self._number, to, amount, now + self.span)
                given.append(Loan(self._number, wish.budget, amount, self.span))
        return given

    def borrowed(self, now: float, lender: str, asked_at: float, loans: Iterable[Loan]) -> None:
        """What was lent; its span counts from before it was asked for."""
        for loan in loans:
            budget = self.budgets.get(loan.budget)
            if budget is None:
                continue
            if not loan.amount:
                budget.spared[lender] = now + self.span / 2
                continue
            until = asked_at + min(loan.span, self.span) * (1 - DRIFT)
            known = budget.borrowed.get((lender, loan.number))
            if until <= now or (known is not None and known.asked_at >= asked_at):
                continue  # late, or a repeat
            others = sum(
                n.amount for key, n in budget.borrowed.items() if key[0] == lender and key[1] != loan.number
            )
            if not 0 < loan.amount <= self.own() - others:
                continue  # nobody can lend what it does not own
            budget.borrowed[lender, loan.number] = Borrowed(loan.number, lender, loan.amount, until, asked_at)
            if len(budget.spared) > 1024:
                budget.spared.clear()
