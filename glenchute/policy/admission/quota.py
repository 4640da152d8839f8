"""Quotas: which requests are admitted within the limits of their tenant's plan.

A request passes its plan's ceiling, its rate with burst (a token bucket over all gateways), and its
concurrency limit, in this order; the first that rejects it names the cause.
"""

from __future__ import annotations

import random
from enum import Enum

from ..settings import Settings
from . import concurrency, fill, local_share
from .call_pacing import CallPacing
from .ceiling import is_granted_by_counter
from .counter_calls import CounterCalls
from .counter_sync import CounterSync
from .tenant import Tenant
from .tenants import TenantTable
from .windows import FILL_WINDOW_S

ATTEMPT_STEP = 0.02  # weight of one attempt in their mean duration


class RejectionCause(Enum):
    """The limit that rejected a request."""

    CEILING = "ceiling"
    BUCKET_EMPTY = "empty"
    LOCAL_SHARE = "lot"  # the local share is used up, and a call to the counter failed
    COUNTER_UNAVAILABLE = "mute"  # the same while the counter is unavailable
    FILL = "share"  # of more demand than quota only a fraction is admitted
    CONCURRENCY = "open"
    OVERLOAD = "overload"


class QuotaAccounting:
    """Which requests are admitted, and what they take from their tenant's buckets."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.tenants = TenantTable(settings, CallPacing(settings), CounterCalls())
        self.counter = CounterSync(settings, rng, self.tenants)
        self.rejection_cause: RejectionCause | None = None  # of the last rejection

    def admit(
        self, now_ms: float, tenant: Tenant, units: float, has_total: bool, is_total_missing: bool
    ) -> float | None:
        """None to admit a request, else the milliseconds for which a rejected client should stay away.

        `has_total`: the request waited for a reply of the counter that came just now. `is_total_missing`: it
        should have, but the call was not made or failed.
        """
        uses_local_share = self.must_use_local_share(now_ms, tenant, is_total_missing)
        tenant.own_demand_per_s += units / FILL_WINDOW_S
        plan = tenant.plan
        wait_ms: float | None = None
        if (
            plan.ceiling_rate_per_s
            and tenant.ceiling_guard_units < units
            and not is_granted_by_counter(tenant, has_total)
        ):
            self.rejection_cause = RejectionCause.CEILING
            missing = units - tenant.ceiling_guard_units
            return missing / plan.ceiling_rate_per_s * tenant.gateway_spread * 1000.0
        if plan.rate_per_s:
            wait_ms = self.rate_wait_ms(tenant, units, has_total, uses_local_share)
        if wait_ms is None and plan.max_concurrent:
            wait_ms = self.concurrency_wait_ms(tenant, units, has_total, uses_local_share)
        return wait_ms

    def must_use_local_share(self, now_ms: float, tenant: Tenant, is_total_missing: bool) -> bool:
        """Whether the local bucket decides, as the others' use is not known: else each gateway would spend
        all of a quota. A total younger than the time in which the bucket turns over still tells of it. The
        errors of many gateways add up, so the age that counts as young falls with their number."""
        if self.tenants.pacing.is_unavailable and not self.tenants.reporting_fraction(now_ms, tenant):
            return True
        most_age_ms = tenant.window_length_ms * min(1.0, local_share.PRIOR_REQUESTS / tenant.gateway_spread)
        return is_total_missing and now_ms - tenant.counter_total_ms > most_age_ms

    def rate_wait_ms(
        self, tenant: Tenant, units: float, has_total: bool, uses_local_share: bool
    ) -> float | None:
        """The rate with its burst. A total of just now orders the requests of all gateways, so no fraction is
        needed then. 0 for FILL: the bucket holds enough, and a retry at once has the same chance."""
        bucket_units = tenant.bucket_units
        if uses_local_share:
            bucket_units = min(tenant.local_units, bucket_units)
        fill.add_credit(tenant, units, bucket_units)
        if bucket_units >= units and (tenant.credit_units >= units or has_total):
            return None
        if tenant.bucket_units < units:
            self.rejection_cause = RejectionCause.BUCKET_EMPTY
        elif bucket_units >= units:
            self.rejection_cause = RejectionCause.FILL
        elif self.tenants.pacing.is_unavailable:
            self.rejection_cause = RejectionCause.COUNTER_UNAVAILABLE
        else:
            self.rejection_cause = RejectionCause.LOCAL_SHARE
        return max(0.0, units - bucket_units) / tenant.plan.rate_per_s * 1000.0

    def concurrency_wait_ms(
        self, tenant: Tenant, units: float, has_total: bool, uses_local_bucket: bool
    ) -> float | None:
        """The concurrency limit: with a total of just now, as a fraction of the demand."""
        mean_attempt_s = self.tenants.mean_attempt_s
        if has_total:
            is_rejected = self.rng.random() > concurrency.admitted_fraction(tenant, mean_attempt_s)
        else:
            is_rejected = concurrency.is_full(tenant, units, self.tenants.headroom(tenant), uses_local_bucket)
        if not is_rejected:
            return None
        self.rejection_cause = RejectionCause.CONCURRENCY
        return mean_attempt_s * 1000.0

    def charge(self, tenant: Tenant, units: float, is_counted: bool, has_total: bool) -> None:
        """Takes an admitted request's units. `is_counted`: the counter holds them already."""
        tenant.credit_units -= units
        tenant.bucket_units = max(0.0, tenant.bucket_units - units)
        tenant.local_units = max(0.0, tenant.local_units - units)
        if not is_granted_by_counter(tenant, has_total):
            tenant.ceiling_guard_units -= units
        if self.settings.has_counter and not is_counted:
            tenant.unreported_units += units
            self.tenants.unreported[tenant.tenant_id] = tenant

    def refund(self, tenant: Tenant, units: float) -> None:
        """A charged request has reached no server. The ceiling guard takes no notice."""
        tenant.bucket_units = max(
            tenant.bucket_units, min(tenant.plan.burst_units, tenant.bucket_units + units)
        )
        local_limit = local_share.local_limit_units(tenant)
        tenant.local_units = max(tenant.local_units, min(local_limit, tenant.local_units + units))
        if self.settings.has_counter:
            tenant.unreported_units -= units
            is_kept = tenant.unreported_units < 0.0 and tenant.plan.ceiling_rate_per_s
            if tenant.unreported_units and not is_kept:
                self.tenants.unreported[tenant.tenant_id] = tenant

    def record_attempt_end(self, tenant: Tenant, duration_ms: float, is_valid: bool) -> None:
        """An attempt has ended. `is_valid`: this process did not stand still meanwhile."""
        tenant.attempts_in_flight -= 1
        error_s = duration_ms / 1000.0 - self.tenants.mean_attempt_s
        self.tenants.mean_attempt_s += ATTEMPT_STEP * error_s * is_valid
