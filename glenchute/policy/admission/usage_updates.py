"""Usage updates: the use of a quota as members report it by gossip, independently of the counter.

The counter's totals and these updates report the same units, and each may lack some. The larger value counts,
and only its increase is deducted from the bucket.
"""

from __future__ import annotations

import math

from ..events import UsageUpdate
from .tenants import TenantTable


def apply_usage_update(tenants: TenantTable, now_ms: float, update: UsageUpdate) -> None:
    """Deducts what members have used beyond what was known. An update for another window than the current one
    is dropped, and so is one for a tenant for which the table has no room."""
    if not tenants.make_room(now_ms, update.request):
        return
    tenant = tenants.lookup(now_ms, update.request)
    if tenant is None or update.window_start_ms != tenant.window_start_ms:
        return
    tenant.reporting_fraction = min(1.0, max(0.0, update.reporting_fraction))
    tenant.usage_update_ms = now_ms
    known_units = max(tenant.counter_others_units, tenant.member_others_units)
    tenant.member_others_units = max(tenant.member_others_units, update.window_units)
    # The previous window counts too: updates come with requests, and if these are rare, most of a window's
    # use may be reported only when it is over.
    # If the others' use in it was unknown, all of it is deducted: what the rate has refilled since then is in
    # the bucket already.
    is_unknown = math.isnan(tenant.previous_window_units)
    known_previous_units = 0.0 if is_unknown else tenant.previous_window_units
    tenant.previous_window_units = max(known_previous_units, update.previous_window_units)
    others_units = tenant.member_others_units - known_units
    others_units += tenant.previous_window_units - known_previous_units
    tenants.deduct_others_use(now_ms, tenant, max(0.0, others_units))
    if tenants.pacing.is_unavailable and tenant.reporting_fraction:
        tenant.counter_total_ms = now_ms
