"""Quota state during a handover between two processes of one gateway.

During a handover a gateway consists of two processes, which the other gateways count as one. Therefore each
process has half of the gateway's local shares and ceiling guards, and only one of them adds markers to the
counter keys of a window. A predecessor that ends its admission gives up its halves to the successor.
"""

from __future__ import annotations

import math

from ..events import LimitShare, QuotaSnapshot
from .ceiling import guard_limit_units
from .local_share import local_limit_units
from .tenant import Tenant
from .tenants import MAX_TENANTS, TenantTable


def start_handover(tenants: TenantTable, now_ms: float) -> tuple[QuotaSnapshot, ...]:
    """Starts the handover to a successor: halves what this process may admit on its own and stops adding
    markers. Returns the tenants' state for the successor, most recently seen first."""
    tenants.markers_from_ms = math.inf
    snapshots = [split_off_half(tenants, now_ms, tenant) for tenant in list(tenants.by_id.values())]
    tenants.set_process_count(2)
    return tuple(reversed(snapshots))


def split_off_half(tenants: TenantTable, now_ms: float, tenant: Tenant) -> QuotaSnapshot:
    """Returns one tenant's state for the successor. Half of the ceiling guard and of the reported own units
    move to the successor; half of the own demand is copied, and this process keeps all of it."""
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
    """Applies the predecessor's state. Tenants that this process already knows are not changed. If the table
    can't hold all tenants, the most recently seen are restored."""
    tenants.markers_from_ms = now_ms
    tenants.set_process_count(2)
    room = max(0, MAX_TENANTS - len(tenants.by_id))
    for snapshot in reversed(snapshots[:room]):
        if snapshot.plan in tenants.plans and snapshot.tenant not in tenants.by_id:
            restore_tenant(tenants, now_ms, snapshot)


def restore_tenant(tenants: TenantTable, now_ms: float, snapshot: QuotaSnapshot) -> None:
    """Creates one tenant from the predecessor's state."""
    plan = tenants.plans[snapshot.plan]
    tenant = Tenant(
        snapshot.tenant,
        plan,
        tenants.spread_of(snapshot.gateway_spread),
        now_ms,
        min(snapshot.bucket_units, plan.burst_units),
        0.0,
        min(snapshot.ceiling_guard_units, 0.5 * plan.ceiling_burst_units),
        now_ms,
    )
    tenant.own_demand_per_s = snapshot.own_demand_per_s
    tenant.others_demand_per_s = snapshot.others_demand_per_s
    tenant.reported_own_units = snapshot.reported_own_units
    tenant.reported_units = max(snapshot.reported_units, snapshot.reported_own_units)
    tenant.local_units = local_limit_units(tenant)
    tenants.refresh(now_ms, tenant)
    if tenant.window_start_ms == snapshot.window_start_ms and snapshot.window_total_units < math.inf:
        # The predecessor has deducted these units from the bucket already.
        tenant.counter_total_units, tenant.counter_total_ms = snapshot.window_total_units, now_ms
    tenants.by_id[tenant.tenant_id] = tenant


def give_up_shares(tenants: TenantTable, now_ms: float) -> tuple[LimitShare, ...]:
    """Takes what is left of this process's ceiling guards and its reported own units from the tenants, and
    returns them for the successor, most recently seen tenants first."""
    return tuple(give_up_share(tenants, now_ms, tenant) for tenant in reversed(tenants.by_id.values()))


def give_up_share(tenants: TenantTable, now_ms: float, tenant: Tenant) -> LimitShare:
    """Takes one tenant's share."""
    tenants.refresh(now_ms, tenant)
    share = LimitShare(tenant.tenant_id, max(0.0, tenant.ceiling_guard_units), tenant.reported_own_units)
    tenant.ceiling_guard_units -= share.ceiling_guard_units
    tenant.reported_own_units = 0.0
    return share


def add_shares(tenants: TenantTable, now_ms: float, shares: tuple[LimitShare, ...]) -> None:
    """Adds the predecessor's shares, as far as this gateway's limits allow. Tenants unknown to this process
    are ignored."""
    for share in shares:
        if (tenant := tenants.by_id.get(share.tenant)) is not None:
            add_share(tenants, now_ms, tenant, share)


def add_share(tenants: TenantTable, now_ms: float, tenant: Tenant, share: LimitShare) -> None:
    """Adds the predecessor's share of one tenant's limits."""
    tenants.refresh(now_ms, tenant)
    gateway_limit = guard_limit_units(tenant.plan) / tenant.gateway_spread * tenants.process_count
    guard_units = tenant.ceiling_guard_units + share.ceiling_guard_units
    tenant.ceiling_guard_units = max(tenant.ceiling_guard_units, min(gateway_limit, guard_units))
    own_units = tenant.reported_own_units + share.reported_own_units
    tenant.reported_own_units = max(tenant.reported_own_units, min(tenant.reported_units, own_units))


def end_handover(tenants: TenantTable, now_ms: float) -> None:
    """Ends the handover when the other process has ended."""
    tenants.markers_from_ms = min(tenants.markers_from_ms, now_ms)
    tenants.set_process_count(1)
