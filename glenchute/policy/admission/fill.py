"""Greedy fill: what a quota admits of more demand than it has units.

While demand is above the rate, each gateway admits the fraction of its requests that the rate and the bucket
cover: a fraction of each request is added to a credit, and a request goes on when the credit holds it.
"""

from __future__ import annotations

from .tenant import Tenant

SPEND_S = 0.4  # a bucket's units are offered to the demand over this long
MOST_CREDIT_REQUESTS = 2.0  # a credit holds so many times the request's units at most


def add_credit(tenant: Tenant, units: float, bucket_units: float) -> None:
    """Adds a request's fraction to the tenant's credit. `bucket_units`: what the bucket that decides
    holds."""
    offered_per_s = tenant.plan.rate_per_s + max(0.0, bucket_units) / SPEND_S
    demand_per_s = tenant.own_demand_per_s + tenant.others_demand_per_s
    fraction = min(1.0, offered_per_s / max(demand_per_s, 1e-9))
    tenant.credit_units = min(tenant.credit_units + fraction * units, MOST_CREDIT_REQUESTS * units)
