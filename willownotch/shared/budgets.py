"""Parts of budgets, held in escrow and lent for a limited time. No I/O, no clock.

A budget is a rate for the whole fleet. Each of N instances permanently owns one N-th of it and may lend some
of that to an instance with more demand. A loan ends by itself, and on each side's own clock: for the borrower
before it does for the lender. So whatever messages are lost, delayed, repeated or cut off, the instances
never spend more than the whole budget together, and a lost message costs at most the lent amount for one
loan's duration. This follows O'Neil's escrow (1986) and the bounded counters of Balegas and others (2015),
but with loans in place of transfers: a transfer would have to survive the loss of a state folder, a loan does
not.

Parts are integers in millionths (ppm) of a budget, so that sums are exact.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

WHOLE_PPM = 1_000_000
MAX_DRIFT_SHARE = 0.05  # how much two clocks may differ in speed
DEMAND_HEADROOM = 1.25  # times the demand: kept before anything is lent, and the total that is borrowed up to
DEMAND_WINDOW_S = 2.0  # over which demand is averaged
MAX_REQUESTS = 24  # loan requests to one member in an exchange
MIN_LOAN_PPM = WHOLE_PPM // 1000  # smaller loans are not worth their bytes
MAX_BUDGETS = 20_000


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A request for a part of a budget, in ppm; `renew` is the number of an earlier loan, 0 for a new one."""

    budget: str
    amount: int
    renew: int = 0


@dataclass(frozen=True, slots=True)
class Loan:
    """A loan as the lender grants it: ppm of a budget for a number of seconds from when it was requested."""

    number: int
    budget: str
    amount: int
    duration_s: float


@dataclass(slots=True)
class LentLoan:
    """A loan as its lender keeps it."""

    number: int
    borrower: str
    amount: int
    until: float


@dataclass(slots=True)
class BorrowedLoan:
    """A loan as its borrower keeps it."""

    number: int
    lender: str
    amount: int
    until: float
    requested_at: float


@dataclass(slots=True)
class Budget:
    """One budget as this instance sees it."""

    name: str
    per_s: float
    lent: dict[int, LentLoan] = field(default_factory=dict)
    borrowed: dict[tuple[str, int], BorrowedLoan] = field(default_factory=dict)
    demand: float = 0.0  # messages a second, averaged over `DEMAND_WINDOW_S`
    counted_at: float = 0.0
    declined_until: dict[str, float] = field(default_factory=dict)  # members that had nothing to lend


class Budgets:
    """This instance's parts of all budgets.

    `instances` is the number that may run at once, including those that are dead or cut off. `loan_s` is the
    duration of a loan, `reserved_share` the share of the own part that is never lent.

    A new process does not know the loans that its predecessor granted, so for one loan's duration it treats
    all but the reserved share as lent.
    """

    def __init__(
        self, name: str, instances: int, now: float, random: Random, loan_s: float, reserved_share: float
    ) -> None:
        self.name, self.instances, self.random, self.loan_s, self.reserved_share = (
            name,
            instances,
            random,
            loan_s,
            reserved_share,
        )
        self.started_at, self.budgets = now, {}  # type: float, dict[str, Budget]
        self._last_number = random.getrandbits(40)

    # Queries

    def own_part(self) -> int:
        """Returns the ppm of each budget that this instance owns."""
        return WHOLE_PPM // self.instances

    def part(self, name: str, now: float, lead_s: float = 0.0) -> int:
        """Returns the ppm of a budget that may be spent now; with a lead, excluding loans that end before."""
        budget = self.budgets[name]
        self._drop_expired(budget, now)
        borrowed = sum(loan.amount for loan in budget.borrowed.values() if loan.until > now + lead_s)
        return self._unlent(budget, now) + borrowed

    def _reserved(self) -> int:
        """Returns the ppm of each budget that are never lent."""
        return int(self.own_part() * self.reserved_share)

    def _unlent(self, budget: Budget, now: float) -> int:
        """Returns the ppm of the own part that are not lent."""
        if now - self.started_at < self.loan_s:
            return self._reserved()
        return self.own_part() - sum(loan.amount for loan in budget.lent.values())

    # Input

    def configure(self, quotas: dict[str, float]) -> None:
        """Sets the budgets: messages a second by name."""
        for name in list(self.budgets):
            if name not in quotas:
                del self.budgets[name]
        for name, per_s in list(quotas.items())[:MAX_BUDGETS]:
            budget = self.budgets.get(name)
            if budget is None:
                self.budgets[name] = Budget(name, per_s, counted_at=self.started_at)
            else:
                budget.per_s = per_s

    def record_demand(self, now: float, counts: Iterable[tuple[str, int]]) -> None:
        """Counts messages that asked for their budgets, accepted or not."""
        for name, count in counts:
            budget = self.budgets.get(name)
            if budget is not None:
                self._decay_demand(budget, now)
                budget.demand += count / DEMAND_WINDOW_S

    @staticmethod
    def _decay_demand(budget: Budget, now: float) -> None:
        budget.demand *= max(0.0, 1 - (now - budget.counted_at) / DEMAND_WINDOW_S)
        budget.counted_at = now

    def _drop_expired(self, budget: Budget, now: float) -> None:
        for number in [n for n, loan in budget.lent.items() if loan.until <= now]:
            del budget.lent[number]
        for key in [k for k, loan in budget.borrowed.items() if loan.until <= now]:
            del budget.borrowed[key]

    def _needed(self, budget: Budget, now: float) -> int:
        """Returns the ppm of a budget that the present demand, with headroom, could use."""
        self._decay_demand(budget, now)
        return (
            min(WHOLE_PPM, int(DEMAND_HEADROOM * budget.demand / budget.per_s * WHOLE_PPM))
            if budget.per_s > 0
            else 0
        )

    def loan_requests(self, now: float, others: list[str]) -> dict[str, list[LoanRequest]]:
        """Returns requests by lender: renewals of loans still needed, and more from two random members."""
        by_lender: dict[str, list[LoanRequest]] = {}
        for budget in self.budgets.values():
            if not budget.demand and not budget.borrowed:
                continue
            self._drop_expired(budget, now)
            needed, unlent = self._needed(budget, now), self._unlent(budget, now)
            missing = needed - unlent
            for loan in sorted(budget.borrowed.values(), key=lambda loan: -loan.amount):
                renewed = min(loan.amount, max(0, missing))
                missing -= renewed
                if renewed >= MIN_LOAN_PPM and loan.until - now < self.loan_s / 2:
                    by_lender.setdefault(loan.lender, []).append(
                        LoanRequest(budget.name, renewed, loan.number)
                    )
            if missing >= MIN_LOAN_PPM:
                lenders = [name for name in others if budget.declined_until.get(name, 0.0) <= now]
                for name in self.random.sample(lenders, min(2, len(lenders))):
                    by_lender.setdefault(name, []).append(LoanRequest(budget.name, missing))
        return {name: requests[:MAX_REQUESTS] for name, requests in by_lender.items()}

    def lend(self, now: float, borrower: str, requests: Iterable[LoanRequest]) -> list[Loan]:
        """Grants loans to a member; a loan of amount 0 says that there is nothing to lend."""
        granted = []
        for request in requests:
            budget = self.budgets.get(request.budget)
            if budget is None or now - self.started_at < self.loan_s:
                continue
            self._drop_expired(budget, now)
            old = budget.lent.get(request.renew) if request.renew else None
            if request.renew and (old is None or old.borrower != borrower):
                continue
            spare = self._unlent(budget, now) - max(self._reserved(), self._needed(budget, now))
            # A renewed loan keeps its amount only as far as its owner does not need it.
            available = spare + old.amount if old is not None else spare // 2
            amount = min(request.amount, max(0, available))
            if amount < MIN_LOAN_PPM:
                granted.append(Loan(request.renew, request.budget, 0, 0.0))
                continue
            if old is not None:
                # The borrower may spend the old amount until the old end, even if this answer is lost.
                old.amount, old.until = max(old.amount, amount), now + self.loan_s
                granted.append(Loan(old.number, request.budget, amount, self.loan_s))
            else:
                self._last_number += 1
                budget.lent[self._last_number] = LentLoan(
                    self._last_number, borrower, amount, now + self.loan_s
                )
                granted.append(Loan(self._last_number, request.budget, amount, self.loan_s))
        return granted

    def record_loans(self, now: float, lender: str, requested_at: float, loans: Iterable[Loan]) -> None:
        """Takes the loans that a member has granted; their duration counts from when they were requested."""
        for loan in loans:
            budget = self.budgets.get(loan.budget)
            if budget is None:
                continue
            if not loan.amount:
                budget.declined_until[lender] = now + self.loan_s / 2
                continue
            until = requested_at + min(loan.duration_s, self.loan_s) * (1 - MAX_DRIFT_SHARE)
            known = budget.borrowed.get((lender, loan.number))
            if until <= now or (known is not None and known.requested_at >= requested_at):
                continue  # late, or a repeat
            others = sum(
                n.amount for key, n in budget.borrowed.items() if key[0] == lender and key[1] != loan.number
            )
            if not 0 < loan.amount <= self.own_part() - others:
                continue  # a member cannot lend more than it owns
            budget.borrowed[lender, loan.number] = BorrowedLoan(
                loan.number, lender, loan.amount, until, requested_at
            )
            if len(budget.declined_until) > 1024:
                budget.declined_until.clear()
