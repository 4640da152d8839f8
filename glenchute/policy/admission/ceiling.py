"""Ceilings: hard limits over all gateways, which hold even if replies of the shared counter are wrong.

One half of a ceiling's burst is granted by the counter, to requests that waited for a reply. The other half
is divided evenly among the gateways, as the ceiling guard of each.
"""

from __future__ import annotations

from ..settings import Plan
from .tenant import Tenant

COUNTED_FRACTION = 0.5  # fraction of a ceiling's burst that the counter grants
COVERED_RESTARTS = 2  # restarts of all gateways, before a ceiling's bucket has filled, that do not exceed it


def guard_limit_units(plan: Plan) -> float:
    """Returns the total capacity of the ceiling guards of all gateways."""
    return plan.ceiling_burst_units * (1.0 - COUNTED_FRACTION)


def initial_guard_units(plan: Plan, age_ms: float, gateway_spread: int) -> float:
    """Returns the initial guard of a tenant that is new at this gateway. `age_ms`: time since this gateway
    started.

    A restart must not refill a ceiling. As long as the quota is kept, the ceiling's bucket holds at least the
    difference of the two bursts, as the ceiling fills faster than the quota. Half of that difference and the
    slack may therefore be granted when all gateways restart at once, and once more when they do so again
    before the bucket has filled.
    """
    difference = max(0.0, plan.ceiling_burst_units - plan.burst_units) if plan.burst_units else 0.0
    spare = difference / COVERED_RESTARTS
    spare += plan.ceiling_slack_units + plan.ceiling_rate_per_s * age_ms / 1000.0
    return min(guard_limit_units(plan), spare) / gateway_spread


def refill_guard(tenant: Tenant, elapsed_s: float) -> None:
    """Refills the guard by this gateway's even share of the part of the rate that the counter does not
    grant."""
    plan = tenant.plan
    limit = guard_limit_units(plan) / tenant.gateway_spread
    rate_per_s = plan.ceiling_rate_per_s * (1.0 - 0.5 * COUNTED_FRACTION) / tenant.gateway_spread
    max_units = max(limit, tenant.ceiling_guard_units)
    tenant.ceiling_guard_units = min(max_units, tenant.ceiling_guard_units + rate_per_s * elapsed_s)


def is_granted_by_counter(tenant: Tenant, has_total: bool) -> bool:
    """Returns whether the counter's total alone admits a request under the ceiling. `has_total`: the request
    waited for the reply that has just arrived.

    Even a short time may touch two windows, so each grants half of the counted fraction, either of the
    burst or of what the ceiling's rate fills in a window, whichever is less.
    """
    if not has_total or tenant.window_counter is None or not tenant.is_last_call_complete:
        return False
    plan = tenant.plan
    window_units = min(plan.ceiling_burst_units, plan.ceiling_rate_per_s * tenant.window_length_ms / 1e3)
    granted = tenant.window_counter.granted_fraction(tenant.gateway_spread)
    return tenant.counter_total_units <= 0.5 * COUNTED_FRACTION * window_units * granted
