"""Ceilings: a hard limit over all gateways, kept without trust in any one reply.

Half of a ceiling's burst is counted: the shared counter grants it, to requests that waited for a reply. The
other half is split evenly over the gateways, as the ceiling guard of each.
"""

from __future__ import annotations

from ..settings import Plan
from .tenant import Tenant

COUNTED_FRACTION = 0.5  # of a ceiling's burst that the counter grants


def guard_limit_units(plan: Plan) -> float:
    """What the ceiling guards of all gateways hold at most, together."""
    return plan.ceiling_burst_units * (1.0 - COUNTED_FRACTION)


def initial_guard_units(plan: Plan, age_ms: float, gateway_spread: int) -> float:
    """The guard of a tenant that is new here. `age_ms`: of this gateway.

    A restart does not refill a ceiling. While quotas are kept its bucket holds at least its burst less the
    quota's, as it fills faster; half of that and the slack are thus left if all gateways restart at once, and
    once more before the bucket has filled again.
    """
    spare = 0.5 * max(0.0, plan.ceiling_burst_units - plan.burst_units) if plan.burst_units else 0.0
    spare += plan.ceiling_slack_units + plan.ceiling_rate_per_s * age_ms / 1000.0
    return min(guard_limit_units(plan), spare) / gateway_spread


def refill_guard(tenant: Tenant, elapsed_s: float) -> None:
    """Refills the guard by this gateway's even share of the rate that is not counted."""
    plan = tenant.plan
    limit = guard_limit_units(plan) / tenant.gateway_spread
    rate_per_s = plan.ceiling_rate_per_s * (1.0 - 0.5 * COUNTED_FRACTION) / tenant.gateway_spread
    most = max(limit, tenant.ceiling_guard_units)
    tenant.ceiling_guard_units = min(most, tenant.ceiling_guard_units + rate_per_s * elapsed_s)


def is_granted_by_counter(tenant: Tenant, has_total: bool) -> bool:
    """Whether the counter alone keeps a request under the ceiling. `has_total`: the request waited for the
    reply that came just now.

    Two windows may touch, so each grants half of the counted fraction, of the burst and of what the ceiling's
    rate fills in a window.
    """
    if not has_total or tenant.window_counter is None or not tenant.is_last_call_complete:
        return False
    plan = tenant.plan
    window_units = min(plan.ceiling_burst_units, plan.ceiling_rate_per_s * tenant.window_length_ms / 1e3)
    granted = tenant.window_counter.granted_fraction(tenant.gateway_spread)
    return tenant.counter_total_units <= 0.5 * COUNTED_FRACTION * window_units * granted
