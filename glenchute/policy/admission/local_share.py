"""The local share of a quota: what one gateway admits on its own while the counter is unavailable.

It is an even share that moves towards the fraction of the tenant's use that came through this gateway by the
last totals. Requests are spread unevenly, and with even shares one gateway would reject requests while units
are unused at another.
"""

from __future__ import annotations

from .concurrency import CONCURRENCY_FILL
from .tenant import Tenant

PRIOR_REQUESTS = 4.0  # weight of the even share, in requests: this many reported requests weigh as much
MIN_LOCAL_REQUESTS = 2.0  # smallest capacity of a local bucket in requests, whatever the gateway spread
# Factor on older totals at each new one, as the distribution of a tenant's use over the gateways changes.
REPORT_DECAY = 0.85


def local_fraction(tenant: Tenant) -> float:
    """Returns this gateway's fraction of the tenant's quota, 0 to 1."""
    prior_units = PRIOR_REQUESTS * tenant.largest_request_units
    own_units = tenant.reported_own_units + prior_units / tenant.gateway_spread
    return own_units / (tenant.reported_units + prior_units)


def local_limit_units(tenant: Tenant) -> float:
    """Returns the capacity of the local bucket."""
    plan = tenant.plan
    share = (plan.burst_units or plan.max_concurrent) * local_fraction(tenant)
    return max(share, MIN_LOCAL_REQUESTS * tenant.largest_request_units)


def record_total(tenant: Tenant, own_units: float, others_units: float) -> None:
    """Records a total of the counter: own and other gateways' units since the total before."""
    tenant.reported_own_units = REPORT_DECAY * tenant.reported_own_units + own_units
    tenant.reported_units = REPORT_DECAY * tenant.reported_units + own_units + others_units


def refill(tenant: Tenant, elapsed_s: float, mean_attempt_s: float) -> None:
    """Refills the local bucket at its fraction of the plan's rate or, for a plan without a rate, of the rate
    that the concurrency limit allows."""
    plan = tenant.plan
    plan_rate_per_s = plan.rate_per_s or CONCURRENCY_FILL * plan.max_concurrent / mean_attempt_s
    rate_per_s = plan_rate_per_s * local_fraction(tenant)
    max_units = max(tenant.local_units, local_limit_units(tenant))
    tenant.local_units = min(max_units, tenant.local_units + rate_per_s * elapsed_s)
