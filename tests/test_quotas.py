"""The quotas of tenants over a change of the settings."""

from helpers import settings

from willownotch import interface as api
from willownotch.quotas import TENANT_BURST_S, TenantQuotas

A, B, C = (api.Tenant(name, 8.0) for name in "abc")
PART = 0.5


def refused(quotas, number, count, now=1.0):
    """How many of so many hand-ins of a tenant are refused."""
    return sum(quotas.admit(number, now).refused for _ in range(count))


def test_a_reload_keeps_the_parts_of_the_tenants_that_stay():
    """Until the next part was told, 0.1 s later, whatever was handed in was accepted above a hard part."""
    quotas = TenantQuotas()
    quotas.configure(settings(tenants=(A, B)))
    quotas.set_part(api.TenantPart(0, PART, hard=True))
    quotas.set_part(api.TenantPart(1, 1.0))
    quotas.configure(settings(tenants=(C, A)))
    assert refused(quotas, 1, 20) == 20 - A.quota_per_s * PART * TENANT_BURST_S
    assert refused(quotas, 0, 20) == 0  # a part of its own was never told


def test_a_part_of_a_tenant_that_the_settings_do_not_have_changes_nothing():
    quotas = TenantQuotas()
    quotas.configure(settings(tenants=(A,)))
    quotas.set_part(api.TenantPart(3, PART, hard=True))
    quotas.configure(settings(tenants=(B, A)))
    assert refused(quotas, 1, 20) == 0
