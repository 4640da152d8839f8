"""The engine's quota accounting with exact values in place of some of its estimates: an error that remains
was not caused by those estimates."""

from __future__ import annotations

import random
from collections import defaultdict
from typing import TYPE_CHECKING

from glenchute.policy.actions import IncrementCounter
from glenchute.policy.admission.call_pacing import CallPacing
from glenchute.policy.admission.counter_calls import CounterCalls
from glenchute.policy.admission.counter_sync import CounterSync
from glenchute.policy.admission.epoch_markers import WindowCounter
from glenchute.policy.admission.quota import QuotaAccounting
from glenchute.policy.admission.tenant import Tenant
from glenchute.policy.admission.tenants import TenantTable
from glenchute.policy.admission.windows import window_start_ms
from glenchute.policy.events import CounterReply, Request
from glenchute.policy.settings import Settings

if TYPE_CHECKING:  # the world makes its engines with this accounting
    from lab.sim.quotas import QuotaWorld

# By name, what `exact` can replace by exact values or remove. It may also have "store", by which the exact
# bucket decides alone, and "reads" (see `InformedCounterSync.call_for_request`).
EXACT = (
    "answers",  # each counter call is answered
    "refused",  # units of rejected requests leave the counter's total at once
    "overflow",  # exact overflow and over-admission between two totals
    "window",  # exact level at the start of a window or at the first request of a customer
    "word",  # the counter's total at each decision, without a call
    "untold",  # units of other gateways that have not reached the counter yet
    "owed",  # units over quota are known and not deducted, as in the exact bucket
    "lot",  # the estimated level instead of an even share, where a total is missing
    "fraction",  # without a counter call, the bucket alone decides, not a share of the demand
    "ceiling",  # no ceiling, and so no ceiling guard
    "clocks",  # equal clocks at all gateways; otherwise they differ by up to 50 ms
)  # fmt: skip


class InformedTenantTable(TenantTable):
    """The engine's tenant table with exact values for what `exact` names."""

    sync: InformedCounterSync

    def __init__(
        self, settings: Settings, pacing: CallPacing, calls: CounterCalls, world: QuotaWorld, number: int
    ) -> None:
        super().__init__(settings, pacing, calls)
        self.world, self.number, self.exact = world, number, world.exact
        # By tenant: time, level and overflow when the last total was applied or the window began.
        self.baselines: dict[str, tuple[float, float, float]] = {}
        self.read_only_tenant = ""  # tenant for which the last counter reply was only a read
        # By tenant: units that this gateway has admitted since the baseline.
        self.own_units: defaultdict[str, float] = defaultdict(float)

    def set_baseline(self, tenant: Tenant, now: float, level: float) -> None:
        """Records the state against which the next total is compared. `now` is by the gateway's clock."""
        world_now = now - self.world.skew[self.number]
        overflow = self.world.counter_bucket(tenant.tenant_id).state_at(world_now)[1]
        self.baselines[tenant.tenant_id] = world_now, level, overflow
        self.own_units[tenant.tenant_id] = 0

    def lookup(self, now_ms: float, request: Request) -> Tenant | None:
        tenant, self.read_only_tenant = super().lookup(now_ms, request), ""
        if tenant is not None:
            if "word" in self.exact and tenant.window_counter is not None:
                self.sync.apply_total(now_ms, tenant, tenant.window_counter, 0.0, 0.0, 0.0, 0.0)
            if "fraction" in self.exact:
                tenant.credit_units = 1e9
        return tenant

    def refresh(self, now_ms: float, tenant: Tenant) -> None:
        start = window_start_ms(now_ms, tenant.tenant_id, tenant.plan)
        if start <= tenant.window_start_ms:
            super().refresh(now_ms, tenant)
            return
        self.refill(start, tenant)
        if "window" in self.exact:
            # The level at the start of the window, less the units this gateway has admitted and not reported.
            world_start = start - self.world.skew[self.number]
            level = self.world.counter_bucket(tenant.tenant_id).state_at(world_start)[0]
            tenant.bucket_units = level - max(0.0, tenant.unreported_units)
            tenant.updated_ms, tenant.assumed_drain_units = start, 0.0
        level = tenant.bucket_units
        super().refresh(now_ms, tenant)
        self.set_baseline(tenant, start, level)

    def deduct_others_use(self, now_ms: float, tenant: Tenant, units: float) -> None:
        super().deduct_others_use(now_ms, tenant, units)
        if "overflow" in self.exact and tenant.tenant_id in self.baselines:
            since, level, overflow_before = self.baselines[tenant.tenant_id]
            world_now = now_ms - self.world.skew[self.number]
            refilled = tenant.plan.rate_per_s * (world_now - since) / 1000.0
            overflow = self.world.counter_bucket(tenant.tenant_id).state_at(world_now)[1] - overflow_before
            level = level + refilled - self.own_units[tenant.tenant_id] - units - overflow
            tenant.bucket_units = min(tenant.plan.burst_units, level)
        self.set_baseline(tenant, now_ms, tenant.bucket_units)


class InformedCounterSync(CounterSync):
    """The engine's counter calls with exact values for what `exact` names."""

    def __init__(self, settings: Settings, rng: random.Random, tenants: InformedTenantTable) -> None:
        super().__init__(settings, rng, tenants)
        self.informed = tenants
        self.world, self.number, self.exact = tenants.world, tenants.number, tenants.exact
        tenants.sync = self

    def apply_total(
        self,
        now_ms: float,
        tenant: Tenant,
        window_counter: WindowCounter,
        total: float,
        units: float,
        marker: float,
        later_units: float,
    ) -> None:
        if "word" in self.exact and window_counter is tenant.window_counter:
            key = tenant.counter_key
            total = self.world.total(key) - self.world.unacknowledged_units[self.number, key]
        own = tenant.own_units_since_reply - later_units
        counted = total - round(total / window_counter.marker) * window_counter.marker
        rise = counted - tenant.counter_total_units - own
        is_current, had_lost = window_counter is tenant.window_counter, window_counter.has_lost_memory
        super().apply_total(now_ms, tenant, window_counter, total, units, marker, later_units)
        has_lost = window_counter.has_lost_memory != had_lost
        if "refused" in self.exact and is_current and rise < -0.5 and not has_lost:
            self.tenants.deduct_others_use(now_ms, tenant, rise)

    def call_for_request(self, now_ms: float, tenant: Tenant, request: Request) -> IncrementCounter | None:
        """With "reads", only reads the total where half of the bucket or less is left.

        Units that are then admitted are reported by another call, and a rejected request leaves no units on
        the counter. Plans with a ceiling are exempt, as a ceiling grants only what the same call has added.
        """
        is_half_full = tenant.bucket_units > 0.5 * tenant.plan.burst_units
        if "reads" not in self.exact or tenant.plan.ceiling_rate_per_s or is_half_full:
            return super().call_for_request(now_ms, tenant, request)
        if self.rng.random() > self.pacing.call_fraction:
            return None
        return self.make_call(now_ms, tenant, 0.0, request.request_id)

    def handle_reply(self, now_ms: float, reply: CounterReply) -> str | None:
        calls = () if reply.is_late else self.calls.in_flight.get(reply.key, ())
        call = calls[0] if calls else None
        is_read = call is not None and call.request_id and not call.reserved_units
        self.informed.read_only_tenant = call.tenant.tenant_id if call is not None and is_read else ""
        return super().handle_reply(now_ms, reply)

    def refund_reserved(self, tenant: Tenant) -> None:
        if "refused" not in self.exact or not self.reserved_units or tenant.window_counter is None:
            super().refund_reserved(tenant)
            return
        self.world.remove_units(tenant.tenant_id, tenant.counter_key, self.reserved_units)
        tenant.counter_total_units -= self.reserved_units
        tenant.window_counter.units -= self.reserved_units
        tenant.window_counter.confirmed_units -= self.reserved_units


class InformedQuotaAccounting(QuotaAccounting):
    """The engine's quota accounting with exact values for what `exact` names."""

    def __init__(self, settings: Settings, rng: random.Random, world: QuotaWorld, number: int) -> None:
        super().__init__(settings, rng)
        self.world, self.number, self.exact = world, number, world.exact
        pacing, calls = self.counter.pacing, self.counter.calls
        self.informed = InformedTenantTable(settings, pacing, calls, world, number)
        self.tenants = self.informed
        self.counter = InformedCounterSync(settings, rng, self.informed)

    def charge(self, tenant: Tenant, units: float, is_counted: bool, has_total: bool) -> None:
        if is_counted and self.informed.read_only_tenant == tenant.tenant_id:
            is_counted, self.informed.read_only_tenant, tenant.last_call_ms = False, "", -1e9
        super().charge(tenant, units, is_counted, has_total)
        self.informed.own_units[tenant.tenant_id] += units

    def admit(
        self, now_ms: float, tenant: Tenant, units: float, has_total: bool, is_total_missing: bool
    ) -> float | None:
        if "lot" in self.exact:
            is_total_missing = False
        if "store" in self.exact:
            account = self.world.accounts[tenant.tenant_id]
            tenant.bucket_units = self.world.ledger.bucket(account).refill(self.world.now)
            tenant.credit_units = 1e9
            return super().admit(now_ms, tenant, units, has_total, False)
        if "untold" not in self.exact:
            return super().admit(now_ms, tenant, units, has_total, is_total_missing)
        level = tenant.bucket_units
        tenant.bucket_units = max(0.0, level - self.world.units_not_at_counter(tenant.tenant_id, self.number))
        deducted = level - tenant.bucket_units
        wait_ms = super().admit(now_ms, tenant, units, has_total, is_total_missing)
        tenant.bucket_units += deducted
        return wait_ms
