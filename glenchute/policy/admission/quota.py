"""Quotas: which requests are admitted within the limits of their tenant's plan.

A request is checked against its plan's ceiling, its rate with burst (a token bucket over all gateways) and
its concurrency limit, in this order. The first limit that rejects it is the cause of the rejection.
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

ATTEMPT_STEP = 0.02  # weight of one attempt in the mean duration of attempts


class RejectionCause(Enum):
    """The limit that rejected a request."""

    CEILING = "ceiling"
    BUCKET_EMPTY = "empty"
    LOCAL_SHARE = "lot"  # the local share is used up, and no recent total of the counter is known
    COUNTER_UNAVAILABLE = "mute"  # the local share is used up, and the counter is unavailable
    FILL = "share"  # demand exceeds the quota, and only a fraction of the requests is admitted
    CONCURRENCY = "open"
    OVERLOAD = "overload"


class QuotaAccounting:
    """Decides which requests are admitted, and charges them to their tenant's buckets."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.tenants = TenantTable(settings, CallPacing(settings), CounterCalls())
        self.counter = CounterSync(settings, rng, self.tenants)
        self.rejection_cause: RejectionCause | None = None  # cause of the last rejection

    def admit(
        self, now_ms: float, tenant: Tenant, units: float, has_total: bool, is_total_missing: bool
    ) -> float | None:
        """Returns None if the request is admitted, else after how many milliseconds it may be retried.

        `has_total`: the request waited for a reply of the counter that has just arrived.
        `is_total_missing`: it needed such a reply, but the call was not made or failed.
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
            missing_units = units - tenant.ceiling_guard_units
            return missing_units / plan.ceiling_rate_per_s * tenant.gateway_spread * 1000.0
        if plan.rate_per_s:
            wait_ms = self.rate_wait_ms(tenant, units, has_total, uses_local_share)
        if wait_ms is None and plan.max_concurrent:
            wait_ms = self.concurrency_wait_ms(tenant, units, has_total, uses_local_share)
        return wait_ms

    def must_use_local_share(self, now_ms: float, tenant: Tenant, is_total_missing: bool) -> bool:
        """Returns whether the local bucket decides because the other gateways' use is not known; without it
        each gateway could admit a whole quota.

        A total younger than a window, which is the time in which the bucket fills, is recent enough. The
        errors of all gateways add up, so with many gateways a total must be younger.
        """
        if self.tenants.pacing.is_unavailable and not self.tenants.reporting_fraction(now_ms, tenant):
            return True
        max_age_ms = tenant.window_length_ms * min(1.0, local_share.PRIOR_REQUESTS / tenant.gateway_spread)
        return is_total_missing and now_ms - tenant.counter_total_ms > max_age_ms

    def rate_wait_ms(
        self, tenant: Tenant, units: float, has_total: bool, uses_local_share: bool
    ) -> float | None:
        """Checks the rate with its burst. Returns None if the request is admitted, else the milliseconds to
        wait.

        With a total that has just arrived the counter has put the requests of all gateways in order, so
        fractional admission (`fill`) is not applied. The wait is 0 for FILL, as the bucket holds enough units
        and an immediate retry has the same chance.
        """
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
        self, tenant: Tenant, units: float, has_total: bool, uses_local_share: bool
    ) -> float | None:
        """Checks the concurrency limit. Returns None if the request is admitted, else the milliseconds to
        wait. With a total that has just arrived, it admits a random fraction of the demand."""
        mean_attempt_s = self.tenants.mean_attempt_s
        if has_total:
            is_rejected = self.rng.random() > concurrency.admitted_fraction(tenant, mean_attempt_s)
        else:
            is_rejected = concurrency.is_full(tenant, units, self.tenants.headroom(tenant), uses_local_share)
        if not is_rejected:
            return None
        self.rejection_cause = RejectionCause.CONCURRENCY
        return mean_attempt_s * 1000.0

    def charge(self, tenant: Tenant, units: float, is_counted: bool, has_total: bool) -> None:
        """Charges an admitted request's units to its tenant. `is_counted`: they must not be reported to the
        counter, as a call has reserved them there, or may have."""
        tenant.credit_units -= units
        tenant.bucket_units = max(0.0, tenant.bucket_units - units)
        tenant.local_units = max(0.0, tenant.local_units - units)
        if not is_granted_by_counter(tenant, has_total):
            tenant.ceiling_guard_units -= units
        if self.settings.has_counter and not is_counted:
            tenant.unreported_units += units
            self.tenants.unreported[tenant.tenant_id] = tenant

    def refund(self, tenant: Tenant, units: float) -> None:
        """Refunds a charged request that has reached no server, except to the ceiling guard."""
        tenant.bucket_units = max(
            tenant.bucket_units, min(tenant.plan.burst_units, tenant.bucket_units + units)
        )
        local_limit = local_share.local_limit_units(tenant)
        tenant.local_units = max(tenant.local_units, min(local_limit, tenant.local_units + units))
        if self.settings.has_counter:
            tenant.unreported_units -= units
            # Under a ceiling a total is never decreased, so a refund waits until it offsets new units.
            is_deferred = tenant.unreported_units < 0.0 and tenant.plan.ceiling_rate_per_s
            if tenant.unreported_units and not is_deferred:
                self.tenants.unreported[tenant.tenant_id] = tenant

    def record_attempt_end(self, tenant: Tenant, duration_ms: float, is_valid: bool) -> None:
        """Records the end of an attempt. `is_valid`: this process was not stalled while it was in flight, so
        that its duration counts."""
        tenant.attempts_in_flight -= 1
        error_s = duration_ms / 1000.0 - self.tenants.mean_attempt_s
        self.tenants.mean_attempt_s += ATTEMPT_STEP * error_s * is_valid
