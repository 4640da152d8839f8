"""Concurrency limits: how many attempts of a tenant may be in flight at once, over all gateways."""

from __future__ import annotations

from .tenant import Tenant

CONCURRENCY_FILL = 0.6  # of a limit that a steady flow fills at most: attempts come in bursts


def admitted_fraction(tenant: Tenant, mean_attempt_s: float) -> float:
    """The fraction of the demand that fits a limit, taken as a rate: attempts leave as fast as they end."""
    demand_per_s = tenant.own_demand_per_s + tenant.others_demand_per_s
    return CONCURRENCY_FILL * tenant.plan.max_concurrent / max(demand_per_s * mean_attempt_s, 1e-9)


def is_full(tenant: Tenant, units: float, headroom: float, uses_local_bucket: bool) -> bool:
    """Whether this gateway's even part of the limit is in use.

    `headroom`: attempts thought to be left over all gateways. `uses_local_bucket`: nothing recent is known
    of the other gateways, and the local bucket decides.
    """
    even_part = tenant.plan.max_concurrent // tenant.gateway_spread
    if uses_local_bucket:
        return tenant.local_units < units and tenant.attempts_in_flight >= even_part
    return tenant.attempts_in_flight >= max(1, even_part) and headroom < 1.0
