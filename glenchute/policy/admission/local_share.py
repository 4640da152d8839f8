"""The local share of a quota: what one gateway admits by itself while the counter is unavailable.

An even share, moved towards the fraction of the tenant's use that came this way by the last totals. Requests
come in unevenly, and even shares leave units unused at one gateway while another rejects.
"""

from __future__ import annotations

from .concurrency import CONCURRENCY_FILL
from .tenant import Tenant

PRIOR_REQUESTS = 4.0  # reported requests after which the fraction they show counts as much as an even share
LEAST_REQUESTS = 2.0  # that a local bucket holds, however many gateways share the quota
REPORT_DECAY = 0.85  # of older totals at each new one: the busy gateways of a tenant change


def local_fraction(tenant: Tenant) -> float:
    """This gateway's fraction of the tenant's quota, 0 to 1."""
    prior_units = PRIOR_REQUESTS * tenant.largest_request_units
    own_units = tenant.reported_own_units + prior_units / tenant.gateway_spread
    return own_units / (tenant.reported_units + prior_units)


def local_limit_units(tenant: Tenant) -> float:
    """The most that the local bucket holds."""
    plan = tenant.plan
    share = (plan.burst_units or plan.max_concurrent) * local_fraction(tenant)
    return max(share, LEAST_REQUESTS * tenant.largest_request_units)


def record_total(tenant: Tenant, own_units: float, others_units: float) -> None:
    """A total of the counter: own and other gateways' units since the one before."""
    tenant.reported_own_units = REPORT_DECAY * tenant.reported_own_units + own_units
    tenant.reported_units = REPORT_DECAY * tenant.reported_units + own_units + others_units


def refill(tenant: Tenant, elapsed_s: float, mean_attempt_s: float) -> None:
    """Refills the local bucket by its fraction of the plan's rate; of a plan without one, by what its
    concurrency limit lets through."""
    plan = tenant.plan
    through_per_s = plan.rate_per_s or CONCURRENCY_FILL * plan.max_concurrent / mean_attempt_s
    rate_per_s = through_per_s * local_fraction(tenant)
    most = max(tenant.local_units, local_limit_units(tenant))
    tenant.local_units = min(most, tenant.local_units + rate_per_s * elapsed_s)
