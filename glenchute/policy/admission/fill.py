"""Fractional admission: which requests a quota admits when demand exceeds it.

While demand is above the rate, each gateway admits the fraction of its requests that the rate and the bucket
cover: each request adds that fraction of its units to a credit, and is admitted when the credit covers it.
"""

from __future__ import annotations

from .tenant import Tenant

SPEND_S = 0.4  # time over which the units in a bucket are offered to the demand
MAX_CREDIT_REQUESTS = 2.0  # largest credit, in multiples of the request's units


def add_credit(tenant: Tenant, units: float, bucket_units: float) -> None:
    """Adds the admitted fraction of a request's units to the tenant's credit. `bucket_units`: the units in
    the bucket that decides on the request."""
    offered_per_s = tenant.plan.rate_per_s + max(0.0, bucket_units) / SPEND_S
    demand_per_s = tenant.own_demand_per_s + tenant.others_demand_per_s
    fraction = min(1.0, offered_per_s / max(demand_per_s, 1e-9))
    tenant.credit_units = min(tenant.credit_units + fraction * units, MAX_CREDIT_REQUESTS * units)
