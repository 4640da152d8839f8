"""The tenants of this gateway: their records, and how buckets and windows follow the clock."""

from __future__ import annotations

import math
from itertools import islice

from ..events import Request
from ..settings import Settings
from . import ceiling, local_share
from .call_pacing import CallPacing
from .counter_calls import CounterCalls
from .epoch_markers import WindowCounter, marker_value
from .tenant import Tenant
from .windows import FILL_WINDOW_S, TENANT_IDLE_MS, stable_key, window_length_ms, window_start_ms

USAGE_UPDATE_TTL_MS = 1500.0  # members' usage updates count for this long
MAX_TENANTS = 50_000  # records; some 32 MB
EVICTION_BATCH = 256  # records that make room at a time
FULL_CHECK_MS = 1000.0  # between two walks over a table of which nothing can be forgotten
OTHERS_USE_TTL_S = 1.5  # the others' use is expected to go on for this long, then fades


class TenantTable:
    """The quota state of each tenant, of `MAX_TENANTS` at most.

    Past that the tenants seen least recently are forgotten, and begin with a full bucket when they return.
    One that has something in flight, units to report or a ceiling is not, as a forgotten ceiling could be
    passed.
    """

    full_until_ms = -math.inf  # until then nothing can be forgotten; snapshots of before have none

    def __init__(self, settings: Settings, pacing: CallPacing, calls: CounterCalls) -> None:
        self.settings = settings
        self.pacing = pacing
        self.calls = calls
        self.plans = {plan.name: plan for plan in settings.plans}
        self.by_id: dict[str, Tenant] = {}  # the least recently seen first
        self.unreported: dict[str, Tenant] = {}  # those with units to report to the counter
        self.started_ms = math.inf  # when this gateway had its first event
        self.markers_from_ms = -math.inf  # windows that begin from then on may be marked by this process
        self.process_count = 1  # processes of this gateway; local shares are even ones of them all
        self.mean_attempt_s = 0.2  # mean time that an attempt is in flight

    def lookup(self, now_ms: float, request: Request) -> Tenant | None:
        """The tenant's record, up to date; None where the plan is unknown, which is read as no quota."""
        if (plan := self.plans.get(request.plan)) is None:
            return None
        tenant = self.by_id.pop(request.tenant, None)
        spread = self.spread_of(request.gateway_spread)
        if tenant is None:
            guard_units = ceiling.initial_guard_units(plan, now_ms - self.started_ms, spread)
            tenant = Tenant(request.tenant, plan, spread, now_ms, plan.burst_units, 0.0, guard_units, now_ms)
            tenant.local_units = local_share.local_limit_units(tenant)
        self.by_id[request.tenant] = tenant
        tenant.gateway_spread, tenant.last_seen_ms = spread, now_ms
        tenant.largest_request_units = max(tenant.largest_request_units, request.units)
        self.refresh(now_ms, tenant)
        return tenant

    def make_room(self, now_ms: float, request: Request) -> bool:
        """Whether the request's tenant has a record, or there is room for one."""
        is_known = request.tenant in self.by_id or request.plan not in self.plans
        if is_known or len(self.by_id) < MAX_TENANTS:
            return True
        if now_ms < self.full_until_ms:
            return False
        oldest = (tenant for tenant in self.by_id.values() if self.is_evictable(tenant))
        evicted = list(islice(oldest, EVICTION_BATCH))
        for tenant in evicted:
            self.forget(tenant)
        if not evicted:
            self.full_until_ms = now_ms + FULL_CHECK_MS
        return bool(evicted)

    def is_evictable(self, tenant: Tenant) -> bool:
        """Whether a tenant may be forgotten for another, however recently it was seen."""
        has_work = tenant.attempts_in_flight or tenant.calls_in_flight or tenant.unreported_units
        return not has_work and not tenant.plan.ceiling_rate_per_s

    def forget(self, tenant: Tenant) -> None:
        """Drops a tenant's record, and what refers to it."""
        del self.by_id[tenant.tenant_id]
        self.unreported.pop(tenant.tenant_id, None)
        self.calls.timed_out.pop(tenant.counter_key, None)

    def spread_of(self, gateway_spread: int) -> int:
        """Processes over which a tenant's requests come in, by the number of its gateways."""
        return max(1, min(gateway_spread, self.settings.gateway_count)) * self.process_count

    def refresh(self, now_ms: float, tenant: Tenant) -> None:
        """Brings a tenant's buckets up to the present, and its counter key to the window in force."""
        tenant.window_length_ms = window_length_ms(tenant.plan)
        start_ms = window_start_ms(now_ms, tenant.tenant_id, tenant.plan)
        if start_ms > tenant.window_start_ms:
            self.begin_window(start_ms, tenant)
        self.refill(now_ms, tenant)

    def begin_window(self, start_ms: float, tenant: Tenant) -> None:
        """Begins a window. A key holds one window's use, so a gateway's first total of it tells how much of
        the bucket is used up, however long ago the last total was."""
        self.refill(start_ms, tenant)
        plan, ended = tenant.plan, tenant.window_counter
        is_busy = tenant.own_demand_per_s > tenant.largest_request_units
        if ended is not None and ended.marker_count > 0 and is_busy and self.process_count == 1:
            self.pacing.monitor.record_window(min(1.0, ended.marker_count / tenant.gateway_spread))
        self.calls.timed_out.pop(tenant.counter_key, None)
        tenant.window_start_ms = start_ms
        tenant.counter_key = stable_key(f"{tenant.tenant_id}/{start_ms:.0f}")
        marker = marker_value(
            plan.burst_units, plan.rate_per_s, tenant.window_length_ms / 1000.0, plan.ceiling_burst_units
        )
        may_add_marker = start_ms >= max(self.started_ms, self.markers_from_ms)
        tenant.window_counter = WindowCounter(marker, may_add_marker)
        tenant.previous_window_units = max(tenant.counter_others_units, tenant.member_others_units)
        tenant.assumed_drain_units = tenant.counter_total_units = tenant.own_units_since_reply = 0.0
        tenant.counter_others_units = tenant.member_others_units = tenant.reporting_fraction = 0.0
        tenant.unreported_units = max(0.0, tenant.unreported_units)
        tenant.calls_in_flight = 0

    def refill(self, now_ms: float, tenant: Tenant) -> None:
        """Refills the buckets up to a moment, and drains them by what the other gateways are expected to
        use."""
        elapsed_s = (now_ms - tenant.updated_ms) / 1000.0
        if elapsed_s <= 0:
            return
        self.refill_bucket(now_ms, tenant, elapsed_s)
        local_share.refill(tenant, elapsed_s, self.mean_attempt_s)
        ceiling.refill_guard(tenant, elapsed_s)
        tenant.own_demand_per_s *= math.exp(-elapsed_s / FILL_WINDOW_S)
        tenant.updated_ms = now_ms

    def refill_bucket(self, now_ms: float, tenant: Tenant, elapsed_s: float) -> None:
        """Refills and drains the quota's bucket.

        While the counter is unavailable and members report their use, a gateway and those keep to their
        fraction of the quota: the rest may be half of the gateways, doing the same.
        """
        plan = tenant.plan
        is_unavailable = self.pacing.is_unavailable
        reporting = self.reporting_fraction(now_ms, tenant)
        if is_unavailable and not reporting:
            drain_per_s = 0.0
        else:
            age_s = max(0.0, tenant.updated_ms - tenant.counter_total_ms) / 1000.0
            # A surge of theirs that has ended must not keep the bucket empty while no total comes.
            drain_per_s = tenant.others_demand_per_s * math.exp(min(0.0, OTHERS_USE_TTL_S - age_s))
        drain = min(drain_per_s * min(elapsed_s, FILL_WINDOW_S), max(0.0, tenant.bucket_units))
        tenant.assumed_drain_units += drain
        fraction = reporting if is_unavailable and reporting else 1.0
        tenant.bucket_units = min(
            max(tenant.bucket_units, plan.burst_units) * fraction,
            tenant.bucket_units - drain + plan.rate_per_s * fraction * elapsed_s,
        )

    def reporting_fraction(self, now_ms: float, tenant: Tenant) -> float:
        """The fraction of the gateways whose use of this window members have reported; 0: unknown, or old."""
        is_recent = now_ms - tenant.usage_update_ms < USAGE_UPDATE_TTL_MS
        return tenant.reporting_fraction if is_recent else 0.0

    def deduct_others_use(self, now_ms: float, tenant: Tenant, units: float) -> None:
        """The other gateways have used so many units more than was known. By members' reports alone the
        bucket may go below 0: what several gateways admitted at once, before they knew of each other, is made
        up for."""
        burst = tenant.plan.burst_units
        may_owe = self.pacing.is_unavailable and self.reporting_fraction(now_ms, tenant)
        least = -burst if may_owe else 0.0
        since_ms = max(tenant.counter_total_ms, tenant.window_start_ms)
        elapsed_s = max(now_ms - since_ms, 1.0) / 1000.0
        total_age_ms = max(now_ms - tenant.counter_total_ms, 1.0)
        weight = 1.0 - math.exp(-total_age_ms / 1000.0 / FILL_WINDOW_S)
        tenant.others_demand_per_s += (units / (elapsed_s + 0.1) - tenant.others_demand_per_s) * weight
        tenant.bucket_units = min(burst, max(least, tenant.bucket_units + tenant.assumed_drain_units - units))
        tenant.assumed_drain_units = 0.0

    def headroom(self, tenant: Tenant) -> float:
        """What the tenant's quotas are thought to admit at once: the least of units left and attempts left,
        as a request counts as one of either."""
        plan = tenant.plan
        left = tenant.bucket_units if plan.rate_per_s else math.inf
        if plan.max_concurrent:
            others_in_flight = tenant.others_demand_per_s * self.mean_attempt_s
            left = min(left, plan.max_concurrent - tenant.attempts_in_flight - others_in_flight)
        return left

    def set_process_count(self, process_count: int) -> None:
        """So many processes of this gateway run from now on."""
        for tenant in self.by_id.values():
            tenant.gateway_spread = tenant.gateway_spread // self.process_count * process_count
        self.process_count = process_count

    def evict_idle(self, now_ms: float) -> None:
        """Forgets tenants unseen for `TENANT_IDLE_MS`, oldest first, up to the first that was seen since or
        has something in flight."""
        while self.by_id:
            tenant = next(iter(self.by_id.values()))
            is_recent = now_ms - tenant.last_seen_ms < TENANT_IDLE_MS
            if is_recent or tenant.attempts_in_flight or tenant.calls_in_flight:
                return
            self.forget(tenant)
