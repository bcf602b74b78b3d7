"""The quotas of tenants: whether a hand-in is within this sender's part of its tenant's quota.

A quota is a rate for the whole fleet, of which each sender has a part. The part is told (`TenantPart`) or
estimated from what is handed in here. Each part is a token bucket with a burst of `TENANT_BURST_S`.

Times are seconds on the caller's clock; there is no clock, socket or thread here.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import inf

from willownotch import interface as api
from willownotch.state import Bucket, FadingSum

TENANT_BURST_S = 2.0  # of a quota that may be used at once
ARRIVALS_MEAN_S = 10.0  # time that hand-ins are averaged over


def quota_burst(rate: float) -> float:
    """How many messages a quota of `rate` messages per second may accept at once.

    Room for at least one, or a sender with little traffic would be over quota with each.
    """
    return max(1.0, rate * TENANT_BURST_S)


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """Whether a hand-in is within its tenant's quota, and if it is not, whether it has to be refused.

    `next_in_s` is the time in seconds until the quota has room for one more.
    """

    within: bool
    refused: bool = False
    next_in_s: float = 0.0


class TenantQuotas:
    """This sender's parts of all tenants' quotas."""

    def __init__(self) -> None:
        self.tenants: tuple[api.Tenant, ...] = ()
        self.senders = 1
        self.arrivals = FadingSum(ARRIVALS_MEAN_S)  # hand-ins of all tenants
        self._buckets: dict[str, Bucket] = {}  # by the tenant's name
        self._parts: dict[int, api.TenantPart] = {}  # as told, by the tenant's number

    def configure(self, settings: api.Settings) -> None:
        """Use these tenants from now on. Those that stay keep their part, and what is left of their quota."""
        parts = {self.tenants[number].name: part for number, part in self._parts.items()}
        self.tenants, self.senders = settings.tenants, settings.senders
        self._parts = {
            number: replace(parts[tenant.name], tenant=number)
            for number, tenant in enumerate(settings.tenants)
            if tenant.name in parts
        }
        fresh = {t.name: Bucket(t.quota_per_s * TENANT_BURST_S, 0.0) for t in settings.tenants}
        self._buckets = {name: self._buckets.get(name, bucket) for name, bucket in fresh.items()}

    def set_part(self, part: api.TenantPart) -> None:
        """Use a part that was counted or lent, in place of the estimate."""
        if self._tenant(part.tenant) is not None:
            self._parts[part.tenant] = part

    def admit(self, number: int | None, now: float) -> QuotaDecision:
        """Count a hand-in of a tenant, and spend one of its quota if there is one."""
        self.arrivals.add(1.0, now)
        tenant = self._tenant(number)
        if tenant is None:
            return QuotaDecision(within=True)
        own = self.part(number, now)
        rate = own.part * tenant.quota_per_s
        within = self._buckets[tenant.name].take(rate, now, quota_burst(rate))
        return QuotaDecision(within, own.hard and not within, 1 / max(rate, 0.1))

    def charge_spent(self, spent: api.QuotaSpent, now: float) -> None:
        """Take from a quota what the former process spent: else a restart would grant its burst anew."""
        tenant = self._tenant(spent.tenant)
        if tenant is None:
            return
        rate = self.part(spent.tenant, now).part * tenant.quota_per_s
        burst = quota_burst(rate)
        replayed = Bucket(burst, now - max(spent.ago_s, default=0.0))
        for ago_s in sorted(spent.ago_s, reverse=True):
            replayed.take(rate, now - ago_s, burst)
        replayed.refill(rate, now, burst)
        bucket = self._buckets[tenant.name]
        bucket.refill(rate, now, burst)
        bucket.tokens = min(bucket.tokens, replayed.tokens)

    def part(self, number: int, now: float) -> api.TenantPart:
        """This sender's part of a tenant's quota: as it was told, or estimated from its hand-ins."""
        quotas = ARRIVALS_MEAN_S * sum(t.quota_per_s for t in self.tenants) or inf
        part = max(1 / self.senders, min(1.0, self.arrivals.at(now) / quotas))
        return self._parts.get(number) or api.TenantPart(number, part)

    def _tenant(self, number: int | None) -> api.Tenant | None:
        """The tenant of that number; None if the settings have none."""
        return self.tenants[number] if number is not None and number < len(self.tenants) else None
