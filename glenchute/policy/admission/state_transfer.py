"""Quota state across a handover between two processes of one gateway.

A gateway may be two processes for a while. To the others they are one, so each keeps to half of the gateway's
local shares and ceiling guards, and one of them alone marks the counter keys of a window.
"""

from __future__ import annotations

import math

from ..events import QuotaSnapshot
from .local_share import local_limit_units
from .tenant import Tenant
from .tenants import MAX_TENANTS, TenantTable


def start_handover(tenants: TenantTable, now_ms: float) -> tuple[QuotaSnapshot, ...]:
    """The successor runs: halves what this process may admit by itself, and leaves the markers to the
    successor. The tenants' state for it, those seen last first."""
    tenants.markers_from_ms = math.inf
    snapshots = [split_off_half(tenants, now_ms, tenant) for tenant in list(tenants.by_id.values())]
    tenants.set_process_count(2)
    return tuple(reversed(snapshots))


def split_off_half(tenants: TenantTable, now_ms: float, tenant: Tenant) -> QuotaSnapshot:
    """One tenant's state for the successor. Half of the ceiling guard and of the reported own units moves to
    it; half of the own demand is copied and stays here too."""
    tenants.refresh(now_ms, tenant)
    tenant.ceiling_guard_units *= 0.5
    tenant.reported_own_units *= 0.5
    has_total = tenant.window_counter is not None and tenant.counter_total_ms >= tenant.window_start_ms
    total_units = tenant.counter_total_units + tenant.own_units_since_reply
    return QuotaSnapshot(
        tenant=tenant.tenant_id,
        plan=tenant.plan.name,
        gateway_spread=tenant.gateway_spread // tenants.process_count,
        bucket_units=tenant.bucket_units,
        ceiling_guard_units=tenant.ceiling_guard_units,
        own_demand_per_s=0.5 * tenant.own_demand_per_s,
        others_demand_per_s=tenant.others_demand_per_s,
        reported_own_units=tenant.reported_own_units,
        reported_units=tenant.reported_units,
        window_start_ms=tenant.window_start_ms,
        window_total_units=total_units if has_total else math.inf,
    )


def restore(tenants: TenantTable, now_ms: float, snapshots: tuple[QuotaSnapshot, ...]) -> None:
    """Takes over the predecessor's state. A tenant that this process knows already is kept as it is; of more
    than the table holds, those seen last come first."""
    tenants.markers_from_ms = now_ms
    tenants.set_process_count(2)
    room = max(0, MAX_TENANTS - len(tenants.by_id))
    for stored in reversed(snapshots[:room]):
        if stored.plan in tenants.plans and stored.tenant not in tenants.by_id:
            restore_tenant(tenants, now_ms, stored)


def restore_tenant(tenants: TenantTable, now_ms: float, stored: QuotaSnapshot) -> None:
    """One tenant from the predecessor's state."""
    plan = tenants.plans[stored.plan]
    tenant = Tenant(
        stored.tenant,
        plan,
        tenants.spread_of(stored.gateway_spread),
        now_ms,
        min(stored.bucket_units, plan.burst_units),
        0.0,
        min(stored.ceiling_guard_units, 0.5 * plan.ceiling_burst_units),
        now_ms,
    )
    tenant.own_demand_per_s = stored.own_demand_per_s
    tenant.others_demand_per_s = stored.others_demand_per_s
    tenant.reported_own_units = stored.reported_own_units
    tenant.reported_units = max(stored.reported_units, stored.reported_own_units)
    tenant.local_units = local_limit_units(tenant)
    tenants.refresh(now_ms, tenant)
    if tenant.window_start_ms == stored.window_start_ms and stored.window_total_units < math.inf:
        # The bucket is less by these units already.
        tenant.counter_total_units, tenant.counter_total_ms = stored.window_total_units, now_ms
    tenants.by_id[tenant.tenant_id] = tenant


def end_handover(tenants: TenantTable, now_ms: float) -> None:
    """The other process has ended."""
    tenants.markers_from_ms = min(tenants.markers_from_ms, now_ms)
    tenants.set_process_count(1)
