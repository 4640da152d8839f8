"""Concurrency limits: how many attempts of a tenant may be in flight at once over all gateways."""

from __future__ import annotations

from .tenant import Tenant

# Fraction of a concurrency limit that the mean demand may use; the rest is for bursts of attempts.
CONCURRENCY_FILL = 0.6


def admitted_fraction(tenant: Tenant, mean_attempt_s: float) -> float:
    """Returns which fraction of the demand the limit covers, by Little's law: attempts in flight are the
    demand times the mean duration of an attempt. A result above 1 covers all of it."""
    demand_per_s = tenant.own_demand_per_s + tenant.others_demand_per_s
    return CONCURRENCY_FILL * tenant.plan.max_concurrent / max(demand_per_s * mean_attempt_s, 1e-9)


def is_full(tenant: Tenant, units: float, headroom: float, uses_local_share: bool) -> bool:
    """Returns whether the limit rejects a request at this gateway. Its even share of the limit is always
    available to it; beyond that, the headroom decides.

    `headroom`: what the tenant's quotas are estimated to admit over all gateways (`TenantTable.headroom`).
    `uses_local_share`: nothing recent is known of the other gateways, so that the units of the local share
    decide in place of the headroom.
    """
    even_share = tenant.plan.max_concurrent // tenant.gateway_spread
    if uses_local_share:
        return tenant.local_units < units and tenant.attempts_in_flight >= even_share
    return tenant.attempts_in_flight >= max(1, even_share) and headroom < 1.0
