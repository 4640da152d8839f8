"""The table of tenants at this gateway, and how their buckets and windows advance with time."""

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

USAGE_UPDATE_TTL_MS = 1500.0  # how long a usage update of the members is valid
MAX_TENANTS = 50_000  # records, which take about 32 MB
EVICTION_BATCH = 256  # number of records evicted at a time to make room
FULL_CHECK_MS = 1000.0  # interval between searches of a full table from which no record could be evicted
MAX_NEXT_WINDOW = 1.5  # a window that starts up to this many lengths after another one is the next
# Added to the time in which others used units: just after a window begins, a few would show a huge rate.
MIN_DEMAND_TIME_S = 0.1
OTHERS_USE_TTL_S = 1.5  # the others' use is assumed to go on for this long without a total, then to decay


class TenantTable:
    """The quota state of each tenant, for at most `MAX_TENANTS` tenants.

    When the table is full, the least recently seen tenants are evicted; they start with a full bucket when
    they return. A tenant with anything in flight, with units to report or with a ceiling is never evicted: a
    new ceiling guard would let it exceed its ceiling.
    """

    # No record can be evicted until then. A class attribute, as snapshots of older versions don't hold it.
    full_until_ms = -math.inf

    def __init__(self, settings: Settings, pacing: CallPacing, calls: CounterCalls) -> None:
        self.settings = settings
        self.pacing = pacing
        self.calls = calls
        self.plans = {plan.name: plan for plan in settings.plans}
        self.by_id: dict[str, Tenant] = {}  # least recently seen first
        self.unreported: dict[str, Tenant] = {}  # tenants with units to report to the counter
        self.started_ms = math.inf  # time of the engine's first event
        self.markers_from_ms = -math.inf  # this process may mark windows that begin at this time or later
        self.process_count = 1  # processes of this gateway, which divide its local shares evenly
        self.mean_attempt_s = 0.2  # mean duration of an attempt

    def lookup(self, now_ms: float, request: Request) -> Tenant | None:
        """Returns the tenant's record, brought up to date and created if need be. An unknown plan has no
        quota: None."""
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
        """Returns whether the request's tenant has a record or there is room for one, evicting others if
        needed."""
        is_known = request.tenant in self.by_id or request.plan not in self.plans
        if is_known or len(self.by_id) < MAX_TENANTS:
            return True
        if now_ms < self.full_until_ms:
            return False
        evictable = (tenant for tenant in self.by_id.values() if self.is_evictable(tenant))
        evicted = list(islice(evictable, EVICTION_BATCH))
        for tenant in evicted:
            self.forget(tenant)
        if not evicted:
            self.full_until_ms = now_ms + FULL_CHECK_MS
        return bool(evicted)

    def is_evictable(self, tenant: Tenant) -> bool:
        """Returns whether a tenant may be evicted to make room, however recently it was seen."""
        has_work = tenant.attempts_in_flight or tenant.calls_in_flight or tenant.unreported_units
        return not has_work and not tenant.plan.ceiling_rate_per_s

    def forget(self, tenant: Tenant) -> None:
        """Removes a tenant's record and all references to it."""
        del self.by_id[tenant.tenant_id]
        self.unreported.pop(tenant.tenant_id, None)
        self.calls.timed_out.pop(tenant.counter_key, None)

    def spread_of(self, gateway_spread: int) -> int:
        """Returns the number of processes that receive a tenant's requests, from its number of gateways."""
        return max(1, min(gateway_spread, self.settings.gateway_count)) * self.process_count

    def refresh(self, now_ms: float, tenant: Tenant) -> None:
        """Advances a tenant's buckets to `now_ms`, and its counter key to the current window."""
        tenant.window_length_ms = window_length_ms(tenant.plan)
        start_ms = window_start_ms(now_ms, tenant.tenant_id, tenant.plan)
        if start_ms > tenant.window_start_ms:
            self.begin_window(start_ms, tenant)
        self.refill(now_ms, tenant)

    def begin_window(self, start_ms: float, tenant: Tenant) -> None:
        """Starts a window with a new counter key. A key holds the use of one window, so the first total that
        a gateway gets for it shows how much of the bucket is used up, however old the total before is."""
        self.refill(start_ms, tenant)
        plan, ended = tenant.plan, tenant.window_counter
        is_busy = tenant.own_demand_per_s > tenant.largest_request_units
        # During a handover the spread counts both processes of a gateway, of which only one adds markers.
        if ended is not None and ended.marker_count > 0 and is_busy and self.process_count == 1:
            self.pacing.monitor.record_window(min(1.0, ended.marker_count / tenant.gateway_spread))
        self.calls.timed_out.pop(tenant.counter_key, None)
        tenant.previous_window_units = self.units_before(start_ms, tenant)
        tenant.window_start_ms = start_ms
        tenant.counter_key = stable_key(f"{tenant.tenant_id}/{start_ms:.0f}")
        marker = marker_value(
            plan.burst_units, plan.rate_per_s, tenant.window_length_ms / 1000.0, plan.ceiling_burst_units
        )
        may_add_marker = start_ms >= max(self.started_ms, self.markers_from_ms)
        tenant.window_counter = WindowCounter(marker, may_add_marker)
        tenant.assumed_drain_units = tenant.counter_total_units = tenant.own_units_since_reply = 0.0
        tenant.counter_others_units = tenant.member_others_units = tenant.reporting_fraction = 0.0
        tenant.unreported_units = max(0.0, tenant.unreported_units)
        tenant.calls_in_flight = 0

    def units_before(self, start_ms: float, tenant: Tenant) -> float:
        """Returns the other gateways' units in the window before the one that starts at `start_ms`; nan if
        the tenant's record is of an older window, as after a pause, or of none."""
        # Starts are multiples of the length up to rounding.
        windows = (start_ms - tenant.window_start_ms) / tenant.window_length_ms
        if windows > MAX_NEXT_WINDOW:
            return math.nan
        return max(tenant.counter_others_units, tenant.member_others_units)

    def refill(self, now_ms: float, tenant: Tenant) -> None:
        """Refills the buckets up to `now_ms`, and drains the quota's bucket by the other gateways' assumed
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
        """Refills the quota's bucket, and drains it by the other gateways' assumed use.

        While the counter is unavailable and members report their use, this gateway and those members together
        keep to their fraction of the quota, as the other gateways, partitioned from them, may do the same.
        """
        plan = tenant.plan
        is_unavailable = self.pacing.is_unavailable
        reporting = self.reporting_fraction(now_ms, tenant)
        if is_unavailable and not reporting:
            drain_per_s = 0.0
        else:
            age_s = max(0.0, tenant.updated_ms - tenant.counter_total_ms) / 1000.0
            # The assumed use decays: a surge elsewhere that has ended must not keep the bucket empty while no
            # total arrives.
            drain_per_s = tenant.others_demand_per_s * math.exp(min(0.0, OTHERS_USE_TTL_S - age_s))
        drain_units = min(drain_per_s * min(elapsed_s, FILL_WINDOW_S), max(0.0, tenant.bucket_units))
        tenant.assumed_drain_units += drain_units
        fraction = reporting if is_unavailable and reporting else 1.0
        tenant.bucket_units = min(
            max(tenant.bucket_units, plan.burst_units) * fraction,
            tenant.bucket_units - drain_units + plan.rate_per_s * fraction * elapsed_s,
        )

    def reporting_fraction(self, now_ms: float, tenant: Tenant) -> float:
        """Returns the fraction of the gateways whose use in this window is known by recent usage updates; 0
        if it is unknown or the last update is too old."""
        is_recent = now_ms - tenant.usage_update_ms < USAGE_UPDATE_TTL_MS
        return tenant.reporting_fraction if is_recent else 0.0

    def deduct_others_use(self, now_ms: float, tenant: Tenant, units: float) -> None:
        """Deducts units that the other gateways have used beyond what was known. While the counter is
        unavailable and members report, the bucket may go below 0, to make up for what several gateways
        admitted at the same time before they knew of each other's use."""
        burst_units = tenant.plan.burst_units
        may_go_negative = self.pacing.is_unavailable and self.reporting_fraction(now_ms, tenant)
        min_units = -burst_units if may_go_negative else 0.0
        since_ms = max(tenant.counter_total_ms, tenant.window_start_ms)
        elapsed_s = max(now_ms - since_ms, 1.0) / 1000.0
        total_age_ms = max(now_ms - tenant.counter_total_ms, 1.0)
        weight = 1.0 - math.exp(-total_age_ms / 1000.0 / FILL_WINDOW_S)
        tenant.others_demand_per_s += (
            units / (elapsed_s + MIN_DEMAND_TIME_S) - tenant.others_demand_per_s
        ) * weight
        tenant.bucket_units = min(
            burst_units, max(min_units, tenant.bucket_units + tenant.assumed_drain_units - units)
        )
        tenant.assumed_drain_units = 0.0

    def headroom(self, tenant: Tenant) -> float:
        """Returns how much the tenant's quotas are estimated to admit now: the lesser of the units left and
        the attempts left, with one attempt compared as one unit."""
        plan = tenant.plan
        left = tenant.bucket_units if plan.rate_per_s else math.inf
        if plan.max_concurrent:
            others_in_flight = tenant.others_demand_per_s * self.mean_attempt_s
            left = min(left, plan.max_concurrent - tenant.attempts_in_flight - others_in_flight)
        return left

    def set_process_count(self, process_count: int) -> None:
        """Sets how many processes of this gateway run, and adapts the tenants' gateway spread."""
        for tenant in self.by_id.values():
            tenant.gateway_spread = tenant.gateway_spread // self.process_count * process_count
        self.process_count = process_count

    def evict_idle(self, now_ms: float) -> None:
        """Evicts tenants that were not seen for `TENANT_IDLE_MS`, least recently seen first, up to the first
        that was seen since then or has anything in flight."""
        while self.by_id:
            tenant = next(iter(self.by_id.values()))
            is_recent = now_ms - tenant.last_seen_ms < TENANT_IDLE_MS
            if is_recent or tenant.attempts_in_flight or tenant.calls_in_flight:
                return
            self.forget(tenant)
